//! The agent's account of its target's memory.
//!
//! An order without an answer counts in both possible outcomes until a report
//! from after the order proves one. So the sum held is never less than what the
//! engine may hold.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::{AttemptId, Incarnation, ModelName};

/// Orders of one target in the order of their issue; a newer agent life is
/// above all orders of older ones.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct OrderSeq {
    /// The agent's life.
    pub life: Incarnation,
    /// Rises by one with each order of that life.
    pub number: u64,
}

/// An engine's account of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Changes when the engine restarts and its memory is empty.
    pub boot: u64,
    /// The highest load, unload or fence order seen. Where the engine checks
    /// orders, lower ones that have not arrived by now are refused.
    pub fence: OrderSeq,
    /// The highest fence order seen. Runs sent under a lower one are refused.
    pub run_fence: OrderSeq,
    /// Models resident or being loaded, with their memory in MiB.
    pub resident: BTreeMap<ModelName, ResidentInfo>,
    /// Runs in progress.
    pub running: Vec<RunningInfo>,
}

/// A run in an engine's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningInfo {
    /// The run.
    pub attempt: AttemptId,
    /// Its KV memory, in MiB.
    pub mib: u64,
}

/// A model in an engine's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResidentInfo {
    /// Memory taken, in MiB.
    pub mib: u64,
    /// Whether it can serve.
    pub ready: bool,
}

/// What is known of one model on the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ModelPhase {
    /// A load was ordered: it may be there or not.
    Loading,
    /// It is there and serves.
    Resident,
    /// An unload was ordered: it may be there or not.
    Unloading,
}

#[derive(Clone, Copy, Debug)]
struct ModelUsage {
    mib: u64,
    phase: ModelPhase,
    stamp: OrderStamp,
}

#[derive(Clone, Copy, Debug)]
struct RunUsage {
    mib: u64,
    stamp: OrderStamp,
    /// The connection closed without an end: the run may go on or yet arrive.
    disconnected: bool,
}

/// When an order left, for engines that do not check orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderStamp {
    /// Its place.
    pub seq: OrderSeq,
    /// When its connection was last open, in milliseconds of the agent's clock.
    pub open_ms: u64,
}

/// Whether an engine refuses orders that come late, or how late they may come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderCheck {
    /// The engine refuses orders below its fence.
    Fenced,
    /// The engine takes any order; none arrives later than this many
    /// milliseconds after its connection closed.
    LateBound(u64),
}

/// A reservation that does not fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InsufficientMemory {
    /// MiB missing.
    pub short_mib: u64,
}

/// The account of one target.
#[derive(Debug)]
pub struct MemoryLedger {
    capacity_mib: u64,
    check: OrderCheck,
    models: BTreeMap<ModelName, ModelUsage>,
    runs: BTreeMap<AttemptId, RunUsage>,
    /// Until a report under this life's own fence, all memory counts as taken.
    initialized: bool,
    open_after_ms: u64,
    /// The engine's life that this account is of.
    boot: Option<u64>,
}

impl MemoryLedger {
    /// Starts the account of a target of which nothing is known.
    ///
    /// Where the engine does not check orders, only reports asked for after
    /// `open_after_ms` count: by then no order of an earlier agent may be
    /// under way.
    pub fn new(capacity_mib: u64, check: OrderCheck, open_after_ms: u64) -> Self {
        Self {
            capacity_mib,
            check,
            models: BTreeMap::new(),
            runs: BTreeMap::new(),
            initialized: false,
            open_after_ms,
            boot: None,
        }
    }

    /// Whether a report has shown what the target holds.
    pub fn is_initialized(&self) -> bool {
        self.initialized
    }

    /// The memory that may be taken, in MiB.
    pub fn used_mib(&self) -> u64 {
        if !self.initialized {
            return self.capacity_mib;
        }
        let models: u64 = self.models.values().map(|hold| hold.mib).sum();
        let runs: u64 = self.runs.values().map(|hold| hold.mib).sum();
        models + runs
    }

    /// The memory surely free, in MiB.
    pub fn free_mib(&self) -> u64 {
        self.capacity_mib.saturating_sub(self.used_mib())
    }

    /// What is known of a model.
    pub fn phase(&self, model: &ModelName) -> Option<ModelPhase> {
        self.models.get(model).map(|hold| hold.phase)
    }

    /// All models that may be there.
    pub fn models(&self) -> impl Iterator<Item = (&ModelName, ModelPhase)> {
        self.models.iter().map(|(model, hold)| (model, hold.phase))
    }

    /// Whether a lost order or run could still arrive at an engine that stands
    /// at the report's fences, so that a new fence is due.
    pub fn needs_fence(&self, report: &EngineReport) -> bool {
        let model =
            |hold: &ModelUsage| hold.phase != ModelPhase::Resident && hold.stamp.seq > report.fence;
        let run = |hold: &RunUsage| hold.disconnected && hold.stamp.seq >= report.run_fence;
        self.models.values().any(model) || self.runs.values().any(run)
    }

    /// Reserves memory for a load before its order leaves.
    pub fn reserve_load(
        &mut self,
        model: &ModelName,
        mib: u64,
        stamp: OrderStamp,
    ) -> Result<(), InsufficientMemory> {
        let held = self.models.get(model).map_or(0, |hold| hold.mib);
        let extra = mib.saturating_sub(held);
        self.fits(extra)?;
        let hold = ModelUsage {
            mib: mib.max(held),
            phase: ModelPhase::Loading,
            stamp,
        };
        self.models.insert(model.clone(), hold);
        Ok(())
    }

    /// Notes that an unload is ordered. The memory stays counted.
    pub fn begin_unload(&mut self, model: &ModelName, stamp: OrderStamp) {
        if let Some(hold) = self.models.get_mut(model) {
            hold.phase = ModelPhase::Unloading;
            hold.stamp = stamp;
        }
    }

    /// Reserves KV memory for a run before it is sent.
    pub fn reserve_run(
        &mut self,
        attempt: AttemptId,
        mib: u64,
        stamp: OrderStamp,
    ) -> Result<(), InsufficientMemory> {
        self.fits(mib)?;
        let hold = RunUsage {
            mib,
            stamp,
            disconnected: false,
        };
        self.runs.insert(attempt, hold);
        Ok(())
    }

    /// Frees a run whose end the engine told.
    pub fn end_run(&mut self, attempt: AttemptId) {
        self.runs.remove(&attempt);
    }

    /// Notes that a run's connection closed without an end. It stays counted.
    pub fn disconnect_run(&mut self, attempt: AttemptId, now_ms: u64) {
        if let Some(hold) = self.runs.get_mut(&attempt) {
            hold.disconnected = true;
            hold.stamp.open_ms = now_ms;
        }
    }

    /// Notes that a model order's connection closed, answered or not.
    pub fn close_order(&mut self, model: &ModelName, now_ms: u64) {
        if let Some(hold) = self.models.get_mut(model) {
            hold.stamp.open_ms = now_ms;
        }
    }

    /// Takes a report that was asked for at `asked_ms` of the agent's clock.
    pub fn apply_report(&mut self, report: &EngineReport, asked_ms: u64, life: Incarnation) {
        let restarted = self.boot != Some(report.boot);
        self.boot = Some(report.boot);
        if restarted && self.check == OrderCheck::Fenced {
            self.initialized = false;
        }
        if !self.initialized && !self.initialize(report, asked_ms, life) {
            return;
        }
        let check = self.check;
        self.models.retain(|model, hold| {
            let settled = is_settled(check, hold.stamp, report.fence, asked_ms);
            match report.resident.get(model) {
                None => !settled,
                Some(info) => {
                    hold.mib = hold.mib.max(info.mib);
                    if settled && info.ready {
                        hold.phase = ModelPhase::Resident;
                    }
                    true
                }
            }
        });
        let running = report.running.iter().map(|run| run.attempt);
        let running: BTreeSet<AttemptId> = running.collect();
        self.runs.retain(|attempt, run| {
            let settled = is_run_settled(check, run.stamp, report.run_fence, asked_ms);
            !(run.disconnected && settled && !running.contains(attempt))
        });
        self.adopt_unknown(report, asked_ms, life);
    }

    /// Models and runs of an earlier life that are still there.
    fn adopt_unknown(&mut self, report: &EngineReport, asked_ms: u64, life: Incarnation) {
        let stamp = OrderStamp {
            seq: OrderSeq { life, number: 0 },
            open_ms: asked_ms,
        };
        for (model, info) in &report.resident {
            let phase = match info.ready {
                true => ModelPhase::Resident,
                false => ModelPhase::Loading,
            };
            self.models.entry(model.clone()).or_insert(ModelUsage {
                mib: info.mib,
                phase,
                stamp,
            });
        }
        for run in &report.running {
            self.runs.entry(run.attempt).or_insert(RunUsage {
                mib: run.mib,
                stamp,
                disconnected: true,
            });
        }
    }

    /// Opens the account with a report that nothing sent before can spoil.
    ///
    /// An engine that checks orders refuses those for its earlier lives, and
    /// those below this agent's fence, so such a report is the whole truth.
    fn initialize(&mut self, report: &EngineReport, asked_ms: u64, life: Incarnation) -> bool {
        self.initialized = match self.check {
            OrderCheck::Fenced => report.fence.life == life,
            OrderCheck::LateBound(_) => asked_ms > self.open_after_ms,
        };
        if self.initialized && self.check == OrderCheck::Fenced {
            self.models.clear();
            self.runs.clear();
        }
        self.initialized
    }

    fn fits(&self, mib: u64) -> Result<(), InsufficientMemory> {
        let free = self.free_mib();
        match mib.checked_sub(free) {
            None | Some(0) => Ok(()),
            Some(short_mib) => Err(InsufficientMemory { short_mib }),
        }
    }
}

fn is_settled(check: OrderCheck, stamp: OrderStamp, fence: OrderSeq, asked_ms: u64) -> bool {
    match check {
        OrderCheck::Fenced => fence >= stamp.seq,
        OrderCheck::LateBound(bound) => stamp.open_ms + bound < asked_ms,
    }
}

/// Runs share the seq of their fence, so only a higher one shuts them out.
fn is_run_settled(check: OrderCheck, stamp: OrderStamp, fence: OrderSeq, asked_ms: u64) -> bool {
    match check {
        OrderCheck::Fenced => fence > stamp.seq,
        OrderCheck::LateBound(bound) => stamp.open_ms + bound < asked_ms,
    }
}
