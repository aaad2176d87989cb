//! The agent's queue of accepted runs: by urgency, then fairly between rows,
//! then by deadline.

use std::collections::BTreeMap;

use crate::ids::{AttemptId, ModelName, RowId};
use crate::table::rows::Urgency;

/// A row's share of the target is measured in this many units a millisecond of
/// work at weight one.
const SHARE_UNITS_PER_MS: u64 = 1000;

/// A run that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRun {
    /// The attempt.
    pub attempt: AttemptId,
    /// Its row.
    pub row: RowId,
    /// The row's urgency.
    pub urgency: Urgency,
    /// The row's weight.
    pub weight: u32,
    /// The model it needs.
    pub model: ModelName,
    /// When its caller's patience ends, in the agent's clock.
    pub deadline_ms: u64,
    /// How long it is expected to run.
    pub service_ms: u64,
    /// KV memory it needs, in MiB.
    pub kv_mib: u64,
}

/// How the queue orders and refuses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuePolicy {
    /// Runs that the engine batches at once.
    pub slots: usize,
    /// Slots that Batch may not take.
    pub batch_headroom: usize,
    /// Refuse at once what is predicted to miss its patience.
    pub refuse_early: bool,
    /// Order by urgency and share; else first come, first served.
    pub ordered: bool,
    /// Most runs that wait.
    pub limit: usize,
}

/// A run that was not taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueRefusal {
    /// When room is expected, in milliseconds from now.
    pub retry_after_ms: u64,
}

/// The runs that wait on one target.
#[derive(Debug)]
pub struct RunQueue {
    policy: QueuePolicy,
    runs: Vec<QueuedRun>,
    /// Work done for each row over its weight: the least goes next.
    shares: BTreeMap<RowId, u64>,
}

impl RunQueue {
    /// An empty queue.
    pub fn new(policy: QueuePolicy) -> Self {
        Self {
            policy,
            runs: Vec::new(),
            shares: BTreeMap::new(),
        }
    }

    /// The number of waiting runs.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Expected time until a run of this urgency starts, given the time that
    /// each running one still needs.
    pub fn wait_ms(&self, urgency: Urgency, running_left_ms: &[u64]) -> u64 {
        let slots = self.slots_for(urgency);
        if running_left_ms.len() < slots && self.ahead_of(urgency).next().is_none() {
            return 0;
        }
        let queued: u64 = self.ahead_of(urgency).map(|run| run.service_ms).sum();
        let running: u64 = running_left_ms.iter().sum();
        (queued + running) / slots.max(1) as u64
    }

    /// Takes a run in, or refuses it when it would wait past its deadline.
    pub fn push(
        &mut self,
        now_ms: u64,
        run: QueuedRun,
        running_left_ms: &[u64],
    ) -> Result<(), QueueRefusal> {
        let wait = self.wait_ms(run.urgency, running_left_ms);
        let late = now_ms + wait + run.service_ms > run.deadline_ms;
        let full = self.runs.len() >= self.policy.limit;
        if full || (self.policy.refuse_early && late && wait > 0) {
            let retry_after_ms = wait.max(1);
            return Err(QueueRefusal { retry_after_ms });
        }
        self.raise_idle_share(&run.row);
        self.runs.push(run);
        Ok(())
    }

    /// Takes the next run that `fits`, given how many run already.
    pub fn pop(
        &mut self,
        running: usize,
        mut fits: impl FnMut(&QueuedRun) -> bool,
    ) -> Option<QueuedRun> {
        let mut order: Vec<usize> = (0..self.runs.len()).collect();
        if self.policy.ordered {
            order.sort_by_key(|at| self.priority(&self.runs[*at]));
        }
        let at = order.into_iter().find(|at| {
            let run = &self.runs[*at];
            running < self.slots_for(run.urgency) && fits(run)
        })?;
        let run = self.runs.remove(at);
        let cost = (run.service_ms * SHARE_UNITS_PER_MS / u64::from(run.weight.max(1))).max(1);
        *self.shares.entry(run.row.clone()).or_default() += cost;
        Some(run)
    }

    /// The waiting runs.
    pub fn runs(&self) -> &[QueuedRun] {
        &self.runs
    }

    /// Takes out the runs whose deadline has passed.
    pub fn expire(&mut self, now_ms: u64) -> Vec<QueuedRun> {
        let expired = |run: &mut QueuedRun| run.deadline_ms <= now_ms;
        self.runs.extract_if(.., expired).collect()
    }

    /// Takes one run out.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<QueuedRun> {
        let at = self.runs.iter().position(|run| run.attempt == attempt)?;
        Some(self.runs.remove(at))
    }

    fn slots_for(&self, urgency: Urgency) -> usize {
        match urgency {
            Urgency::Batch if self.policy.ordered => {
                self.policy.slots.saturating_sub(self.policy.batch_headroom)
            }
            _ => self.policy.slots,
        }
    }

    fn ahead_of(&self, urgency: Urgency) -> impl Iterator<Item = &QueuedRun> {
        let ordered = self.policy.ordered;
        let runs = self.runs.iter();
        runs.filter(move |run| !ordered || run.urgency <= urgency)
    }

    fn priority(&self, run: &QueuedRun) -> (Urgency, u64, u64) {
        let share = self.shares.get(&run.row).copied().unwrap_or(0);
        (run.urgency, share, run.deadline_ms)
    }

    /// A row that was idle starts level with the others, so that it cannot
    /// spend what it did not use.
    fn raise_idle_share(&mut self, row: &RowId) {
        let share_of = |shares: &BTreeMap<RowId, u64>, run: &QueuedRun| {
            shares.get(&run.row).copied().unwrap_or(0)
        };
        let least = self
            .runs
            .iter()
            .map(|run| share_of(&self.shares, run))
            .min();
        let idle = !self.runs.iter().any(|run| run.row == *row);
        if let (Some(least), true) = (least, idle) {
            let share = self.shares.entry(row.clone()).or_default();
            *share = (*share).max(least);
        }
    }
}
