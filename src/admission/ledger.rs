//! Accounting of the memory of an agent's target.
//!
//! An order without a response is counted for both possible outcomes until a later report proves
//! one of them. The accounted sum is therefore never less than what the engine may hold.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::{AttemptId, Incarnation, ModelName};

/// Sequence of the orders to one target. All orders of a newer agent incarnation are above those of
/// older ones.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct OrderSeq {
    /// Incarnation of the agent; named `life` in the engine's JSON and in log lines.
    pub life: Incarnation,
    /// Number of the order in that incarnation; rises by one with each.
    pub number: u64,
}

/// Report of an engine about its state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Boot ID, which changes when the engine restarts with empty memory.
    pub boot: u64,
    /// Highest load, unload or fence order received. If the engine checks orders, it refuses lower
    /// ones that have not arrived by now.
    pub fence: OrderSeq,
    /// Highest fence order received. Runs sent under a lower one are refused.
    pub run_fence: OrderSeq,
    /// Models resident or being loaded, with their memory in MiB.
    pub resident: BTreeMap<ModelName, ResidentInfo>,
    /// Runs in progress.
    pub running: Vec<RunningInfo>,
    /// Software version, if the engine names one.
    #[serde(default)]
    pub version: Option<String>,
}

/// Run in an engine's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningInfo {
    /// Attempt ID of the run.
    pub attempt: AttemptId,
    /// KV memory, in MiB.
    pub mib: u64,
}

/// Model in an engine's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResidentInfo {
    /// Memory used, in MiB.
    pub mib: u64,
    /// Whether the model can serve.
    pub ready: bool,
}

/// Known phase of a model on the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ModelPhase {
    /// A load was ordered; the model may be in memory or not.
    Loading,
    /// The model is in memory and serves.
    Resident,
    /// An unload was ordered; the model may be in memory or not.
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
    /// Whether the connection closed without an end: the run may continue or arrive later.
    disconnected: bool,
}

/// Sequence of an order and when it was sent; the time is for engines that do not check orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderStamp {
    /// Sequence of the order.
    pub seq: OrderSeq,
    /// Time at which its connection was last known to be open, in milliseconds of the agent's
    /// clock.
    pub open_ms: u64,
}

/// Whether an engine refuses late orders, or how late an order may arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderCheck {
    /// The engine refuses orders below its fence.
    Fenced,
    /// The engine accepts any order; none arrives later than this many milliseconds after its
    /// connection closed.
    LateBound(u64),
}

/// Failure of a reservation that does not fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InsufficientMemory {
    /// Missing memory, in MiB.
    pub short_mib: u64,
}

/// Memory account of one target.
#[derive(Debug)]
pub struct MemoryLedger {
    capacity_mib: u64,
    check: OrderCheck,
    models: BTreeMap<ModelName, ModelUsage>,
    runs: BTreeMap<AttemptId, RunUsage>,
    /// Whether a report has shown what the target holds, under this incarnation's fence if the
    /// engine checks orders. Until then all memory counts as used.
    initialized: bool,
    open_after_ms: u64,
    /// Boot ID of the engine incarnation that the account describes.
    boot: Option<u64>,
}

impl MemoryLedger {
    /// Creates the account of a target of unknown state.
    ///
    /// If the engine does not check orders, only reports requested after `open_after_ms` count: no
    /// order of an earlier agent can arrive after that.
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

    /// Returns the memory that may be in use, in MiB.
    pub fn used_mib(&self) -> u64 {
        if !self.initialized {
            return self.capacity_mib;
        }
        let models: u64 = self.models.values().map(|used| used.mib).sum();
        let runs: u64 = self.runs.values().map(|used| used.mib).sum();
        models + runs
    }

    /// Returns the memory that is certainly free, in MiB.
    pub fn free_mib(&self) -> u64 {
        self.capacity_mib.saturating_sub(self.used_mib())
    }

    /// Returns the phase of a model that may be in memory.
    pub fn phase(&self, model: &ModelName) -> Option<ModelPhase> {
        self.models.get(model).map(|used| used.phase)
    }

    /// Returns all models that may be in memory.
    pub fn models(&self) -> impl Iterator<Item = (&ModelName, ModelPhase)> {
        self.models.iter().map(|(model, used)| (model, used.phase))
    }

    /// Whether a lost order or run could still be accepted by an engine with the fences of this
    /// report, so that a new fence is needed.
    pub fn needs_fence(&self, report: &EngineReport) -> bool {
        let model =
            |used: &ModelUsage| used.phase != ModelPhase::Resident && used.stamp.seq > report.fence;
        let run = |used: &RunUsage| used.disconnected && used.stamp.seq >= report.run_fence;
        self.models.values().any(model) || self.runs.values().any(run)
    }

    /// Reserves memory for a load before its order is sent.
    pub fn reserve_load(
        &mut self,
        model: &ModelName,
        mib: u64,
        stamp: OrderStamp,
    ) -> Result<(), InsufficientMemory> {
        let held = self.models.get(model).map_or(0, |used| used.mib);
        let extra = mib.saturating_sub(held);
        self.fits(extra)?;
        let used = ModelUsage {
            mib: mib.max(held),
            phase: ModelPhase::Loading,
            stamp,
        };
        self.models.insert(model.clone(), used);
        Ok(())
    }

    /// Records that an unload was ordered. Its memory stays reserved.
    pub fn begin_unload(&mut self, model: &ModelName, stamp: OrderStamp) {
        if let Some(used) = self.models.get_mut(model) {
            used.phase = ModelPhase::Unloading;
            used.stamp = stamp;
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
        let used = RunUsage {
            mib,
            stamp,
            disconnected: false,
        };
        self.runs.insert(attempt, used);
        Ok(())
    }

    /// Releases a run whose end the engine reported.
    pub fn end_run(&mut self, attempt: AttemptId) {
        self.runs.remove(&attempt);
    }

    /// Records that the connection of a run closed without an end. Its memory stays reserved.
    pub fn disconnect_run(&mut self, attempt: AttemptId, now_ms: u64) {
        if let Some(used) = self.runs.get_mut(&attempt) {
            used.disconnected = true;
            used.stamp.open_ms = now_ms;
        }
    }

    /// Records that the connection of a load or unload order closed, with or without a response.
    pub fn close_order(&mut self, model: &ModelName, now_ms: u64) {
        if let Some(used) = self.models.get_mut(model) {
            used.stamp.open_ms = now_ms;
        }
    }

    /// Applies a report that was requested at `requested_ms` of the agent's clock.
    pub fn apply_report(&mut self, report: &EngineReport, requested_ms: u64, life: Incarnation) {
        let restarted = self.boot != Some(report.boot);
        self.boot = Some(report.boot);
        if restarted && self.check == OrderCheck::Fenced {
            self.initialized = false;
        }
        if !self.initialized && !self.initialize(report, requested_ms, life) {
            return;
        }
        let check = self.check;
        self.models.retain(|model, used| {
            let settled = is_settled(check, used.stamp, report.fence, requested_ms);
            match report.resident.get(model) {
                None => !settled,
                Some(info) => {
                    used.mib = used.mib.max(info.mib);
                    if settled && info.ready {
                        used.phase = ModelPhase::Resident;
                    }
                    true
                }
            }
        });
        let running = report.running.iter().map(|run| run.attempt);
        let running: BTreeSet<AttemptId> = running.collect();
        self.runs.retain(|attempt, run| {
            let settled = is_run_settled(check, run.stamp, report.run_fence, requested_ms);
            !(run.disconnected && settled && !running.contains(attempt))
        });
        self.adopt_unknown(report, requested_ms, life);
    }

    /// Adds models and runs of an earlier agent incarnation that are still in memory.
    fn adopt_unknown(&mut self, report: &EngineReport, requested_ms: u64, life: Incarnation) {
        let stamp = OrderStamp {
            seq: OrderSeq { life, number: 0 },
            open_ms: requested_ms,
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

    /// Initializes the account from a report that no earlier order can invalidate.
    ///
    /// An engine that checks orders refuses those for its earlier incarnations and those below this
    /// agent's fence, so such a report is complete.
    fn initialize(&mut self, report: &EngineReport, requested_ms: u64, life: Incarnation) -> bool {
        self.initialized = match self.check {
            OrderCheck::Fenced => report.fence.life == life,
            OrderCheck::LateBound(_) => requested_ms > self.open_after_ms,
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

fn is_settled(check: OrderCheck, stamp: OrderStamp, fence: OrderSeq, requested_ms: u64) -> bool {
    match check {
        OrderCheck::Fenced => fence >= stamp.seq,
        OrderCheck::LateBound(bound) => stamp.open_ms + bound < requested_ms,
    }
}

/// Runs carry the sequence of their fence, so only a higher fence excludes them.
fn is_run_settled(
    check: OrderCheck,
    stamp: OrderStamp,
    fence: OrderSeq,
    requested_ms: u64,
) -> bool {
    match check {
        OrderCheck::Fenced => fence > stamp.seq,
        OrderCheck::LateBound(bound) => stamp.open_ms + bound < requested_ms,
    }
}
