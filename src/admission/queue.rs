//! Queue of accepted runs at an agent: ordered by urgency, then by fair share between rows, then by
//! deadline.

use std::collections::BTreeMap;

use crate::ids::{AttemptId, ModelName, RowId};
use crate::table::rows::Urgency;

/// Units of a row's share for each millisecond of work at weight one.
const SHARE_UNITS_PER_MS: u64 = 1000;

/// Run that waits for the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRun {
    /// Attempt ID.
    pub attempt: AttemptId,
    /// Row of the run.
    pub row: RowId,
    /// Urgency of the row.
    pub urgency: Urgency,
    /// Weight of the row.
    pub weight: u32,
    /// Model that it needs.
    pub model: ModelName,
    /// End of the caller's wait limit, by the agent's clock.
    pub deadline_ms: u64,
    /// Expected duration, in milliseconds.
    pub service_ms: u64,
    /// KV memory that it needs, in MiB.
    pub kv_mib: u64,
}

/// How the queue orders and refuses runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuePolicy {
    /// Maximum number of runs that the engine batches.
    pub slots: usize,
    /// Number of slots that runs of `Batch` urgency may not use.
    pub batch_headroom: usize,
    /// Whether a run that is predicted to miss its deadline is refused at once.
    pub refuse_early: bool,
    /// Whether runs are ordered by urgency and share; otherwise first come, first served.
    pub ordered: bool,
    /// Maximum number of waiting runs.
    pub limit: usize,
}

/// Refusal of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueRefusal {
    /// Expected wait, in milliseconds; at least one.
    pub retry_after_ms: u64,
}

/// Runs that wait at one target.
#[derive(Debug)]
pub struct RunQueue {
    policy: QueuePolicy,
    runs: Vec<QueuedRun>,
    /// Work done for each row, divided by its weight; the row with the least is next.
    shares: BTreeMap<RowId, u64>,
}

impl RunQueue {
    /// Creates an empty queue.
    pub fn new(policy: QueuePolicy) -> Self {
        Self {
            policy,
            runs: Vec::new(),
            shares: BTreeMap::new(),
        }
    }

    /// Returns the number of waiting runs.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Whether no run waits.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns the expected time until a run of this urgency starts, in milliseconds, given the
    /// remaining time of each running one.
    pub fn wait_ms(&self, urgency: Urgency, running_left_ms: &[u64]) -> u64 {
        let slots = self.slots_for(urgency);
        if running_left_ms.len() < slots && self.ahead_of(urgency).next().is_none() {
            return 0;
        }
        let queued: u64 = self.ahead_of(urgency).map(|run| run.service_ms).sum();
        let running: u64 = running_left_ms.iter().sum();
        (queued + running) / slots.max(1) as u64
    }

    /// Adds a run. Refuses it if the queue is full or, with `refuse_early`, if waiting would make
    /// it miss its deadline.
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

    /// Removes and returns the next run that `fits`, given the number of running ones.
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

    /// Returns the waiting runs.
    pub fn runs(&self) -> &[QueuedRun] {
        &self.runs
    }

    /// Removes and returns the runs whose deadline has passed.
    pub fn expire(&mut self, now_ms: u64) -> Vec<QueuedRun> {
        let expired = |run: &mut QueuedRun| run.deadline_ms <= now_ms;
        self.runs.extract_if(.., expired).collect()
    }

    /// Removes and returns one run.
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

    /// Raises the share of an idle row to the lowest among waiting rows, so that it cannot use up
    /// later what it did not use while idle.
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
