//! The agent's decisions: which attempts run, what each may be told, and which
//! orders the engine gets. Pure; the agent's shell moves the messages.

use std::collections::{BTreeMap, BTreeSet};

use crate::admission::ledger::{
    EngineReport, HoldPhase, MemoryLedger, OrderCheck, OrderSeq, OrderStamp,
};
use crate::admission::lost_runs::{EndedLife, LostRuns};
pub use crate::admission::orders::{EngineOrder, OrderAct, TargetPlan};
use crate::admission::queue::{QueuePolicy, QueuedRun, RunQueue};
pub use crate::admission::runs::{
    AnswerPage, AttemptWord, EngineCall, NotRun, RefuseCause, RunAsk, RunDispatch, RunEnd, RunEvent,
};
use crate::ids::{AttemptId, Incarnation, ModelName, Position, RowId};

/// A finished attempt is remembered this long after its last touch.
const KEEP_MS: u64 = 120_000;
/// Most entry lives whose attempt floors are remembered.
const MAX_FLOORS: usize = 4096;
/// Where no run of a class was timed yet.
const FIRST_GUESS_MS: u64 = 20;
/// Weight of the newest sample in the moving average of service times: 1/8.
const SAMPLE_SHARE: u64 = 8;
/// Silence of an engine after which it is taken for dead.
const BLIND_MS: u64 = 2500;
/// A lapse of the lease that queued runs wait out: a change of leaders.
const ORPHAN_MS: u64 = 1000;
/// Time to come back after a refusal that no forecast covers.
pub const RETRY_SOON_MS: u64 = 200;

/// The settings that the gate decides by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatePolicy {
    /// The target's memory, in MiB.
    pub capacity_mib: u64,
    /// How the engine treats late orders.
    pub check: OrderCheck,
    /// Longest lease that control grants, in milliseconds.
    pub lease_ms: u64,
    /// The queue's settings.
    pub queue: QueuePolicy,
}

#[derive(Debug)]
struct Attempt {
    ask: Option<RunAsk>,
    pieces: Vec<String>,
    stage: Stage,
    touched_ms: u64,
    started_ms: u64,
    /// The engine's life that it was sent to.
    boot: u64,
    resumed: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    Queued,
    Running,
    Ended(RunEnd),
}

/// All decisions of one agent in one life.
#[derive(Debug)]
pub struct TargetGate {
    life: Incarnation,
    policy: GatePolicy,
    ledger: MemoryLedger,
    queue: RunQueue,
    attempts: BTreeMap<AttemptId, Attempt>,
    running: BTreeSet<AttemptId>,
    /// Attempts at or below were seen and forgotten: they never start again.
    floors: BTreeMap<Incarnation, u64>,
    /// Entry lives below this have lost their floor.
    least_entry: Incarnation,
    versions: BTreeMap<RowId, Position>,
    service_ms: BTreeMap<RowId, u64>,
    fixed: BTreeSet<ModelName>,
    plan: Option<TargetPlan>,
    lease_until_ms: u64,
    leaving: bool,
    last_seq: u64,
    fence: OrderSeq,
    fence_needed: bool,
    boot: Option<u64>,
    /// Runs whose engine may have ended under them.
    lost: LostRuns,
    reported_ms: u64,
    order_open: bool,
}

impl TargetGate {
    /// Starts a life. `fixed` are plain services that are always there.
    pub fn new(
        life: Incarnation,
        policy: GatePolicy,
        fixed: BTreeSet<ModelName>,
        now_ms: u64,
    ) -> Self {
        let late = match policy.check {
            OrderCheck::Fenced => 0,
            OrderCheck::LateBound(bound) => bound,
        };
        let open_after_ms = now_ms + policy.lease_ms + late;
        Self {
            life,
            policy,
            ledger: MemoryLedger::new(policy.capacity_mib, policy.check, open_after_ms),
            queue: RunQueue::new(policy.queue),
            attempts: BTreeMap::new(),
            running: BTreeSet::new(),
            floors: BTreeMap::new(),
            least_entry: Incarnation(0),
            versions: BTreeMap::new(),
            service_ms: BTreeMap::new(),
            fixed,
            plan: None,
            lease_until_ms: 0,
            leaving: false,
            last_seq: 0,
            fence: OrderSeq { life, number: 0 },
            fence_needed: policy.check == OrderCheck::Fenced,
            boot: None,
            lost: LostRuns::default(),
            reported_ms: now_ms,
            order_open: false,
        }
    }

    /// This life.
    pub fn life(&self) -> Incarnation {
        self.life
    }

    /// The memory account.
    pub fn ledger(&self) -> &MemoryLedger {
        &self.ledger
    }

    /// Whether new work is refused.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Turns new work away from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Runs at the engine.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Runs that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Queued and running requests of each model.
    pub fn busy(&self) -> BTreeMap<ModelName, u32> {
        let running = self.running.iter().filter_map(|id| self.attempts.get(id));
        let running = running.filter_map(|attempt| attempt.ask.as_ref());
        let running = running.map(|ask| &ask.call.model);
        let queued = self.queue.runs().iter().map(|run| &run.model);
        let mut busy = BTreeMap::new();
        for model in running.chain(queued) {
            *busy.entry(model.clone()).or_default() += 1;
        }
        busy
    }

    /// Models that serve here.
    pub fn ready_models(&self) -> Vec<ModelName> {
        let loaded = self.ledger.models();
        let loaded = loaded.filter(|(_, phase)| *phase == HoldPhase::Resident);
        let loaded = loaded.map(|(model, _)| model.clone());
        loaded.chain(self.fixed.iter().cloned()).collect()
    }

    /// Learns the versions of rows, so that an entry that acts on an older one
    /// is told to catch up first.
    pub fn learn_row(&mut self, row: &RowId, version: Position) {
        let known = self.versions.entry(row.clone()).or_default();
        *known = (*known).max(version);
    }

    /// Starts an attempt, once. A doubled ask gets the state of the first.
    pub fn start(&mut self, now_ms: u64, ask: RunAsk) -> AttemptWord {
        let attempt = ask.attempt;
        if ask.life != self.life {
            return AttemptWord::OtherLife(self.life);
        }
        if self.attempts.contains_key(&attempt) {
            return self.page(now_ms, attempt, 0);
        }
        if self.was_forgotten(attempt) {
            return self.refused(attempt, RefuseCause::Sealed, RETRY_SOON_MS);
        }
        self.learn_row(&ask.row, ask.version);
        let behind = self.versions.get(&ask.row) > Some(&ask.version);
        let refusal = match &ask {
            _ if self.leaving => Some(RefuseCause::Leaving),
            _ if behind => Some(RefuseCause::Behind),
            _ if self.is_blind(now_ms) => Some(RefuseCause::Engine),
            _ if self.is_orphaned(now_ms) => Some(RefuseCause::NoLease),
            ask if !self.serves(&ask.call.model) => Some(RefuseCause::NotHome),
            _ => None,
        };
        let end = match refusal {
            Some(cause) => Some(not_run(cause, RETRY_SOON_MS)),
            None => self.enqueue(now_ms, &ask),
        };
        let stage = end.map_or(Stage::Queued, Stage::Ended);
        self.record(now_ms, attempt, Some(ask), stage);
        self.page(now_ms, attempt, 0)
    }

    /// Ends an attempt that has not started, for good; tells what there is of
    /// one that has.
    pub fn seal(&mut self, now_ms: u64, attempt: AttemptId, life: Incarnation) -> AttemptWord {
        if life != self.life {
            return AttemptWord::OtherLife(self.life);
        }
        let stage = self.attempts.get(&attempt).map(|a| a.stage.clone());
        match stage {
            None if self.was_forgotten(attempt) => return AttemptWord::Unseen,
            None => {
                let end = not_run(RefuseCause::Sealed, RETRY_SOON_MS);
                self.record(now_ms, attempt, None, Stage::Ended(end));
            }
            Some(Stage::Queued) => {
                self.queue.remove(attempt);
                self.finish(now_ms, attempt, not_run(RefuseCause::Sealed, RETRY_SOON_MS));
            }
            Some(_) => {}
        }
        self.page(now_ms, attempt, 0)
    }

    /// The answer from a piece on.
    pub fn pull(
        &mut self,
        now_ms: u64,
        attempt: AttemptId,
        life: Incarnation,
        offset: u32,
    ) -> AttemptWord {
        match life {
            life if life != self.life => AttemptWord::OtherLife(self.life),
            _ => self.page(now_ms, attempt, offset),
        }
    }

    /// Ends an attempt whose caller has gone. Returns whether the engine is to
    /// be told.
    pub fn cancel(&mut self, now_ms: u64, attempt: AttemptId) -> bool {
        match self.attempts.get(&attempt).map(|a| &a.stage) {
            Some(Stage::Queued) => {
                self.queue.remove(attempt);
                self.finish(
                    now_ms,
                    attempt,
                    not_run(RefuseCause::Cancelled, RETRY_SOON_MS),
                );
                false
            }
            Some(Stage::Running) => true,
            Some(Stage::Ended(_)) | None => false,
        }
    }

    /// The next run that the engine can take.
    pub fn next_run(&mut self, now_ms: u64) -> Option<RunDispatch> {
        for run in self.queue.expire(now_ms) {
            self.finish(now_ms, run.attempt, not_run(RefuseCause::Expired, 0));
        }
        self.drop_homeless(now_ms);
        if self.must_hold_runs(now_ms) {
            self.refuse_orphans(now_ms);
            return None;
        }
        let ledger = &self.ledger;
        let fixed = &self.fixed;
        let running = self.running();
        let run = self.queue.pop(running, |run| {
            fixed.contains(&run.model) || ledger.free_mib() >= run.kv_mib
        })?;
        let stamp = OrderStamp {
            seq: self.fence,
            open_ms: now_ms,
        };
        if !self.fixed.contains(&run.model) {
            let fits = self.ledger.reserve_run(run.attempt, run.kv_mib, stamp);
            debug_assert!(fits.is_ok(), "the queue was asked for a run that fits");
        }
        let attempt = self.attempts.get_mut(&run.attempt)?;
        self.running.insert(run.attempt);
        attempt.stage = Stage::Running;
        attempt.started_ms = now_ms;
        attempt.boot = self.boot.unwrap_or_default();
        let ask = attempt.ask.as_ref()?;
        Some(RunDispatch {
            attempt: run.attempt,
            call: ask.call.clone(),
            urgency: ask.urgency,
            fence: self.fence,
            boot: attempt.boot,
        })
    }

    /// Takes what happened to a run. Returns the piece to resume from where a
    /// broken stream is worth resuming at the same engine.
    pub fn on_run(&mut self, now_ms: u64, id: AttemptId, event: RunEvent) -> Option<u32> {
        let attempt = self.attempts.get_mut(&id)?;
        if attempt.stage != Stage::Running {
            return None;
        }
        attempt.touched_ms = now_ms;
        match event {
            RunEvent::Piece { index, text } => {
                if index as usize == attempt.pieces.len() {
                    attempt.pieces.push(text);
                }
            }
            RunEvent::Ended => {
                let pieces = attempt.pieces.len() as u32;
                let (row, spent) = (
                    attempt.ask.as_ref().map(|ask| ask.row.clone()),
                    now_ms - attempt.started_ms,
                );
                self.ledger.end_run(id);
                self.learn_service(row, spent);
                self.finish(now_ms, id, RunEnd::Whole { pieces });
            }
            // A refusal to resume a stream says nothing of the first try.
            RunEvent::Refused if !attempt.resumed => {
                self.ledger.end_run(id);
                self.finish(now_ms, id, not_run(RefuseCause::Engine, RETRY_SOON_MS));
            }
            RunEvent::Cancelled => {
                self.ledger.end_run(id);
                self.finish(now_ms, id, RunEnd::Broken);
            }
            RunEvent::Lost if !attempt.resumed => {
                attempt.resumed = true;
                return Some(attempt.pieces.len() as u32);
            }
            RunEvent::Lost | RunEvent::Refused => {
                if let Some(ask) = &attempt.ask {
                    self.lost.note(attempt.boot, ask.content, now_ms);
                }
                self.ledger.lose_run(id, now_ms);
                self.fence_needed = true;
                self.finish(now_ms, id, RunEnd::Broken);
            }
        }
        None
    }

    /// Takes control's wish. One of an older term or position, or for another
    /// life, is refused.
    pub fn on_plan(&mut self, asked_ms: u64, plan: TargetPlan) -> bool {
        let newest = self.plan.as_ref().map(|p| (p.term, p.position));
        if plan.life != self.life || Some((plan.term, plan.position)) < newest {
            return false;
        }
        let lease = asked_ms + plan.lease_ms.min(self.policy.lease_ms);
        self.lease_until_ms = self.lease_until_ms.max(lease);
        self.plan = Some(plan);
        true
    }

    /// The position of the plan that this agent acts on.
    pub fn plan_position(&self) -> Position {
        self.plan.as_ref().map_or(Position(0), |plan| plan.position)
    }

    /// Whether control's lease still holds.
    pub fn has_lease(&self, now_ms: u64) -> bool {
        now_ms < self.lease_until_ms
    }

    /// The next order, one at a time: the next is given after `order_closed`.
    pub fn next_order(&mut self, now_ms: u64) -> Option<EngineOrder> {
        if self.order_open || !self.has_lease(now_ms) {
            return None;
        }
        let boot = self.boot?;
        let act = self.next_act()?;
        self.last_seq += 1;
        let seq = OrderSeq {
            life: self.life,
            number: self.last_seq,
        };
        let stamp = OrderStamp {
            seq,
            open_ms: now_ms,
        };
        match &act {
            OrderAct::Fence => self.fence = seq,
            OrderAct::Load(model, mib) => {
                self.ledger.reserve_load(model, *mib, stamp).ok()?;
            }
            OrderAct::Unload(model) => self.ledger.begin_unload(model, stamp),
        }
        self.order_open = true;
        Some(EngineOrder { seq, boot, act })
    }

    /// Notes that an order's connection closed, whether or not it was answered.
    pub fn order_closed(&mut self, now_ms: u64, order: &EngineOrder) {
        self.order_open = false;
        match &order.act {
            OrderAct::Fence => {}
            OrderAct::Load(model, _) | OrderAct::Unload(model) => {
                self.ledger.close_order(model, now_ms)
            }
        }
    }

    /// Whether the engine has not reported for so long that it is taken for dead.
    pub fn is_blind(&self, now_ms: u64) -> bool {
        self.policy.capacity_mib > 0 && self.reported_ms + BLIND_MS < now_ms
    }

    /// Takes a report that was asked for at `asked_ms`. Returns the lives of the engine that
    /// have ended under runs.
    pub fn on_report(&mut self, report: &EngineReport, asked_ms: u64) -> Vec<EndedLife> {
        self.reported_ms = self.reported_ms.max(asked_ms);
        let fenced = self.policy.check == OrderCheck::Fenced;
        let reborn = self.boot.is_some_and(|boot| boot != report.boot);
        self.boot = Some(report.boot);
        let unfenced = report.run_fence < self.fence && !self.order_open;
        self.ledger.prove(report, asked_ms, self.life);
        let unproven = !self.order_open && self.ledger.needs_fence(report);
        self.fence_needed |= reborn || unfenced || unproven;
        self.fence_needed &= fenced;
        self.lost.on_report(report.boot, asked_ms)
    }

    /// Forgets attempts that ended long ago; their numbers never start again.
    pub fn forget(&mut self, now_ms: u64) {
        let old = |attempt: &Attempt| {
            matches!(attempt.stage, Stage::Ended(_)) && attempt.touched_ms + KEEP_MS < now_ms
        };
        let gone: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| old(attempt))
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            self.attempts.remove(&id);
            let floor = self.floors.entry(id.entry).or_default();
            *floor = (*floor).max(id.number);
        }
        while self.floors.len() > MAX_FLOORS {
            if let Some((life, _)) = self.floors.pop_first() {
                self.least_entry = Incarnation(life.0 + 1);
            }
        }
    }

    /// Whether nothing is queued or runs.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.running() == 0
    }

    /// Attempts that are remembered.
    pub fn remembered(&self) -> usize {
        self.attempts.len()
    }

    /// An agent that was replaced sends no more runs: its successor could not
    /// count their memory.
    fn must_hold_runs(&self, now_ms: u64) -> bool {
        self.policy.capacity_mib > 0 && !self.has_lease(now_ms)
    }

    /// Without a lease for so long, waiting for it is giving up: it is said at once.
    fn is_orphaned(&self, now_ms: u64) -> bool {
        self.must_hold_runs(now_ms) && self.lease_until_ms + ORPHAN_MS < now_ms
    }

    fn refuse_orphans(&mut self, now_ms: u64) {
        if self.is_orphaned(now_ms) {
            let queued = self.queue.runs().iter().map(|run| run.attempt).collect();
            self.refuse_queued(now_ms, queued, RefuseCause::NoLease);
        }
    }

    fn refuse_queued(&mut self, now_ms: u64, queued: Vec<AttemptId>, cause: RefuseCause) {
        for id in queued {
            self.queue.remove(id);
            self.finish(now_ms, id, not_run(cause, RETRY_SOON_MS));
        }
    }

    fn was_forgotten(&self, attempt: AttemptId) -> bool {
        let floor = self.floors.get(&attempt.entry).copied().unwrap_or(0);
        attempt.entry < self.least_entry || attempt.number <= floor
    }

    fn serves(&self, model: &ModelName) -> bool {
        let wanted = || {
            let plan = self.plan.as_ref();
            let want = plan.and_then(|plan| plan.want.as_ref());
            want.is_none_or(|want| want.contains_key(model))
        };
        let resident = || self.ledger.phase(model) == Some(HoldPhase::Resident);
        self.fixed.contains(model) || (resident() && wanted())
    }

    fn refused(&self, attempt: AttemptId, cause: RefuseCause, retry_after_ms: u64) -> AttemptWord {
        AttemptWord::Page(AnswerPage {
            attempt,
            offset: 0,
            pieces: Vec::new(),
            end: Some(not_run(cause, retry_after_ms)),
        })
    }

    fn record(&mut self, now_ms: u64, id: AttemptId, ask: Option<RunAsk>, stage: Stage) {
        let attempt = Attempt {
            ask,
            pieces: Vec::new(),
            stage,
            touched_ms: now_ms,
            started_ms: now_ms,
            boot: 0,
            resumed: false,
        };
        self.attempts.insert(id, attempt);
    }

    fn finish(&mut self, now_ms: u64, id: AttemptId, end: RunEnd) {
        self.running.remove(&id);
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.stage = Stage::Ended(end);
            attempt.touched_ms = now_ms;
        }
    }

    fn page(&mut self, now_ms: u64, id: AttemptId, offset: u32) -> AttemptWord {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return AttemptWord::Unseen;
        };
        attempt.touched_ms = now_ms;
        let end = match &attempt.stage {
            Stage::Ended(end) => Some(end.clone()),
            Stage::Queued | Stage::Running => None,
        };
        let pieces = attempt.pieces.get(offset as usize..).unwrap_or_default();
        AttemptWord::Page(AnswerPage {
            attempt: id,
            offset,
            pieces: pieces.to_vec(),
            end,
        })
    }

    fn enqueue(&mut self, now_ms: u64, ask: &RunAsk) -> Option<RunEnd> {
        let service_ms = self.service_guess(&ask.row);
        let run = QueuedRun {
            attempt: ask.attempt,
            row: ask.row.clone(),
            urgency: ask.urgency,
            weight: ask.weight,
            model: ask.call.model.clone(),
            deadline_ms: now_ms + ask.patience_ms,
            service_ms,
            kv_mib: ask.call.kv_mib,
        };
        let left = self.running_left_ms(now_ms);
        let refusal = self.queue.push(now_ms, run, &left).err()?;
        Some(not_run(RefuseCause::Overload, refusal.retry_after_ms))
    }

    fn service_guess(&self, row: &RowId) -> u64 {
        let guess = self.service_ms.get(row).copied();
        guess.unwrap_or(FIRST_GUESS_MS)
    }

    fn running_left_ms(&self, now_ms: u64) -> Vec<u64> {
        let running = self.running.iter();
        let running = running.filter_map(|id| self.attempts.get(id));
        let left = running.map(|attempt| {
            let row = attempt.ask.as_ref().map(|ask| &ask.row);
            let whole = row.map_or(FIRST_GUESS_MS, |row| self.service_guess(row));
            let spent = now_ms - attempt.started_ms;
            whole.saturating_sub(spent)
        });
        left.collect()
    }

    fn learn_service(&mut self, row: Option<RowId>, spent_ms: u64) {
        let Some(row) = row else {
            return;
        };
        let guess = self.service_ms.entry(row).or_insert(spent_ms);
        *guess = (*guess * (SAMPLE_SHARE - 1) + spent_ms) / SAMPLE_SHARE;
    }

    /// A queued run whose model left meanwhile is refused, so that its entry
    /// can send it elsewhere.
    fn drop_homeless(&mut self, now_ms: u64) {
        let queued = self.queue.runs().iter();
        let homeless = queued.filter(|run| !self.serves(&run.model));
        let homeless = homeless.map(|run| run.attempt).collect();
        self.refuse_queued(now_ms, homeless, RefuseCause::NotHome);
    }

    fn next_act(&mut self) -> Option<OrderAct> {
        if self.fence_needed {
            self.fence_needed = false;
            return Some(OrderAct::Fence);
        }
        if !self.ledger.is_open() {
            return None;
        }
        let want = self.plan.as_ref()?.want.as_ref()?;
        let unload = self.ledger.models().find(|(model, phase)| {
            *phase != HoldPhase::Unloading && !want.contains_key(*model) && !self.in_use(model)
        });
        if let Some((model, _)) = unload {
            return Some(OrderAct::Unload(model.clone()));
        }
        let load = want.iter().find(|(model, mib)| {
            let there = match self.ledger.phase(model) {
                Some(HoldPhase::Loading | HoldPhase::Resident) => true,
                Some(HoldPhase::Unloading) | None => false,
            };
            !there && self.ledger.free_mib() >= **mib
        });
        load.map(|(model, mib)| OrderAct::Load(model.clone(), *mib))
    }

    /// A running or queued attempt keeps its model from being unloaded.
    fn in_use(&self, model: &ModelName) -> bool {
        let running = self.running.iter().filter_map(|id| self.attempts.get(id));
        let mut asks = running.filter_map(|attempt| attempt.ask.as_ref());
        let queued = self.queue.runs();
        asks.any(|ask| ask.call.model == *model) || queued.iter().any(|run| run.model == *model)
    }
}

fn not_run(cause: RefuseCause, retry_after_ms: u64) -> RunEnd {
    RunEnd::NotRun(NotRun {
        cause,
        retry_after_ms,
    })
}
