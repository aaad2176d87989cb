//! The agent's decisions: which attempts run, what each may be told, and which
//! orders the engine gets. Pure; the agent's shell moves the messages.

use std::collections::{BTreeMap, BTreeSet};

use crate::admission::ledger::{
    EngineReport, MemoryLedger, ModelPhase, OrderCheck, OrderSeq, OrderStamp,
};
use crate::admission::lost_runs::{CrashedIncarnation, LostRuns};
pub use crate::admission::orders::{EngineOrder, OrderAct, TargetPlan};
use crate::admission::queue::{QueuePolicy, QueuedRun, RunQueue};
pub use crate::admission::runs::{
    AnswerPage, AttemptStatus, EngineCall, NotRun, RefuseCause, RunDispatch, RunEnd, RunEvent,
    RunRequest,
};
use crate::ids::{AttemptId, Incarnation, ModelName, Position, RowId};

/// A finished attempt is remembered this long after its last touch.
const ATTEMPT_RETENTION_MS: u64 = 120_000;
/// Most entry lives whose attempt floors are remembered.
const MAX_ENTRY_FLOORS: usize = 4096;
/// Where no run of a class was timed yet.
const DEFAULT_SERVICE_MS: u64 = 20;
/// Weight of the newest sample in the moving average of service times: 1/8.
const SERVICE_SAMPLE_DIVISOR: u64 = 8;
/// Silence of an engine after which it is taken for dead.
const ENGINE_SILENCE_MS: u64 = 2500;
/// A lapse of the lease that queued runs wait out: a change of leaders.
const LEASE_GRACE_MS: u64 = 1000;
/// Time to come back after a refusal that no forecast covers.
pub const REFUSAL_RETRY_MS: u64 = 200;

/// The settings that the gate decides by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionPolicy {
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
    request: Option<RunRequest>,
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
pub struct AdmissionController {
    life: Incarnation,
    policy: AdmissionPolicy,
    ledger: MemoryLedger,
    queue: RunQueue,
    attempts: BTreeMap<AttemptId, Attempt>,
    running: BTreeSet<AttemptId>,
    /// Attempts at or below were seen and forgotten: they never start again.
    attempt_floors: BTreeMap<Incarnation, u64>,
    /// Entry lives below this have lost their floor.
    min_entry: Incarnation,
    row_versions: BTreeMap<RowId, Position>,
    service_ms: BTreeMap<RowId, u64>,
    fixed_services: BTreeSet<ModelName>,
    plan: Option<TargetPlan>,
    lease_until_ms: u64,
    draining: bool,
    last_seq: u64,
    fence: OrderSeq,
    fence_needed: bool,
    boot: Option<u64>,
    /// Runs whose engine may have ended under them.
    lost: LostRuns,
    last_report_ms: u64,
    order_in_flight: bool,
}

impl AdmissionController {
    /// Starts a life. `fixed_services` are plain services that are always there.
    pub fn new(
        life: Incarnation,
        policy: AdmissionPolicy,
        fixed_services: BTreeSet<ModelName>,
        now_ms: u64,
    ) -> Self {
        let late_ms = match policy.check {
            OrderCheck::Fenced => 0,
            OrderCheck::LateBound(bound) => bound,
        };
        let open_after_ms = now_ms + policy.lease_ms + late_ms;
        Self {
            life,
            policy,
            ledger: MemoryLedger::new(policy.capacity_mib, policy.check, open_after_ms),
            queue: RunQueue::new(policy.queue),
            attempts: BTreeMap::new(),
            running: BTreeSet::new(),
            attempt_floors: BTreeMap::new(),
            min_entry: Incarnation(0),
            row_versions: BTreeMap::new(),
            service_ms: BTreeMap::new(),
            fixed_services,
            plan: None,
            lease_until_ms: 0,
            draining: false,
            last_seq: 0,
            fence: OrderSeq { life, number: 0 },
            fence_needed: policy.check == OrderCheck::Fenced,
            boot: None,
            lost: LostRuns::default(),
            last_report_ms: now_ms,
            order_in_flight: false,
        }
    }

    /// This life.
    pub fn incarnation(&self) -> Incarnation {
        self.life
    }

    /// The memory account.
    pub fn ledger(&self) -> &MemoryLedger {
        &self.ledger
    }

    /// Whether new work is refused.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Turns new work away from now on.
    pub fn drain(&mut self) {
        self.draining = true;
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
        let running = running.filter_map(|attempt| attempt.request.as_ref());
        let running = running.map(|request| &request.call.model);
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
        let loaded = loaded.filter(|(_, phase)| *phase == ModelPhase::Resident);
        let loaded = loaded.map(|(model, _)| model.clone());
        loaded.chain(self.fixed_services.iter().cloned()).collect()
    }

    /// Learns the versions of rows, so that an entry that acts on an older one
    /// is told to catch up first.
    pub fn record_row_version(&mut self, row: &RowId, version: Position) {
        let known = self.row_versions.entry(row.clone()).or_default();
        *known = (*known).max(version);
    }

    /// Starts an attempt, once. A doubled ask gets the state of the first.
    pub fn start(&mut self, now_ms: u64, request: RunRequest) -> AttemptStatus {
        let attempt = request.attempt;
        if request.incarnation != self.life {
            return AttemptStatus::OtherIncarnation(self.life);
        }
        if self.attempts.contains_key(&attempt) {
            return self.page(now_ms, attempt, 0);
        }
        if self.was_forgotten(attempt) {
            return self.refused(attempt, RefuseCause::Sealed, REFUSAL_RETRY_MS);
        }
        self.record_row_version(&request.row, request.version);
        let behind = self.row_versions.get(&request.row) > Some(&request.version);
        let refusal = match &request {
            _ if self.draining => Some(RefuseCause::Leaving),
            _ if behind => Some(RefuseCause::Behind),
            _ if self.is_engine_silent(now_ms) => Some(RefuseCause::Engine),
            _ if self.is_lease_grace_over(now_ms) => Some(RefuseCause::NoLease),
            request if !self.serves(&request.call.model) => Some(RefuseCause::NotHome),
            _ => None,
        };
        let end = match refusal {
            Some(cause) => Some(not_run(cause, REFUSAL_RETRY_MS)),
            None => self.enqueue(now_ms, &request),
        };
        let stage = end.map_or(Stage::Queued, Stage::Ended);
        self.insert_attempt(now_ms, attempt, Some(request), stage);
        self.page(now_ms, attempt, 0)
    }

    /// Ends an attempt that has not started, for good; tells what there is of
    /// one that has.
    pub fn seal(&mut self, now_ms: u64, attempt: AttemptId, life: Incarnation) -> AttemptStatus {
        if life != self.life {
            return AttemptStatus::OtherIncarnation(self.life);
        }
        let stage = self.attempts.get(&attempt).map(|a| a.stage.clone());
        match stage {
            None if self.was_forgotten(attempt) => return AttemptStatus::Unseen,
            None => {
                let end = not_run(RefuseCause::Sealed, REFUSAL_RETRY_MS);
                self.insert_attempt(now_ms, attempt, None, Stage::Ended(end));
            }
            Some(Stage::Queued) => {
                self.queue.remove(attempt);
                self.finish(
                    now_ms,
                    attempt,
                    not_run(RefuseCause::Sealed, REFUSAL_RETRY_MS),
                );
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
    ) -> AttemptStatus {
        match life {
            life if life != self.life => AttemptStatus::OtherIncarnation(self.life),
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
                    not_run(RefuseCause::Cancelled, REFUSAL_RETRY_MS),
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
        self.refuse_missing_models(now_ms);
        if self.lacks_lease(now_ms) {
            self.refuse_without_lease(now_ms);
            return None;
        }
        let ledger = &self.ledger;
        let fixed_services = &self.fixed_services;
        let running = self.running();
        let run = self.queue.pop(running, |run| {
            fixed_services.contains(&run.model) || ledger.free_mib() >= run.kv_mib
        })?;
        let stamp = OrderStamp {
            seq: self.fence,
            open_ms: now_ms,
        };
        if !self.fixed_services.contains(&run.model) {
            let fits = self.ledger.reserve_run(run.attempt, run.kv_mib, stamp);
            debug_assert!(fits.is_ok(), "the queue was asked for a run that fits");
        }
        let attempt = self.attempts.get_mut(&run.attempt)?;
        self.running.insert(run.attempt);
        attempt.stage = Stage::Running;
        attempt.started_ms = now_ms;
        attempt.boot = self.boot.unwrap_or_default();
        let request = attempt.request.as_ref()?;
        Some(RunDispatch {
            attempt: run.attempt,
            call: request.call.clone(),
            urgency: request.urgency,
            fence: self.fence,
            boot: attempt.boot,
        })
    }

    /// Takes what happened to a run. Returns the piece to resume from where a
    /// broken stream is worth resuming at the same engine.
    pub fn on_run_event(&mut self, now_ms: u64, id: AttemptId, event: RunEvent) -> Option<u32> {
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
                    attempt.request.as_ref().map(|request| request.row.clone()),
                    now_ms - attempt.started_ms,
                );
                self.ledger.end_run(id);
                self.record_service_time(row, spent);
                self.finish(now_ms, id, RunEnd::Complete { pieces });
            }
            // A refusal to resume a stream says nothing of the first try.
            RunEvent::Refused if !attempt.resumed => {
                self.ledger.end_run(id);
                self.finish(now_ms, id, not_run(RefuseCause::Engine, REFUSAL_RETRY_MS));
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
                if let Some(request) = &attempt.request {
                    self.lost.record(attempt.boot, request.content, now_ms);
                }
                self.ledger.disconnect_run(id, now_ms);
                self.fence_needed = true;
                self.finish(now_ms, id, RunEnd::Broken);
            }
        }
        None
    }

    /// Takes control's wish. One of an older term or position, or for another
    /// life, is refused.
    pub fn on_plan(&mut self, requested_ms: u64, plan: TargetPlan) -> bool {
        let newest = self.plan.as_ref().map(|p| (p.term, p.position));
        if plan.incarnation != self.life || Some((plan.term, plan.position)) < newest {
            return false;
        }
        let lease = requested_ms + plan.lease_ms.min(self.policy.lease_ms);
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
        if self.order_in_flight || !self.has_lease(now_ms) {
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
        self.order_in_flight = true;
        Some(EngineOrder { seq, boot, act })
    }

    /// Notes that an order's connection closed, whether or not it was answered.
    pub fn order_closed(&mut self, now_ms: u64, order: &EngineOrder) {
        self.order_in_flight = false;
        match &order.act {
            OrderAct::Fence => {}
            OrderAct::Load(model, _) | OrderAct::Unload(model) => {
                self.ledger.close_order(model, now_ms)
            }
        }
    }

    /// Whether the engine has not reported for so long that it is taken for dead.
    pub fn is_engine_silent(&self, now_ms: u64) -> bool {
        self.policy.capacity_mib > 0 && self.last_report_ms + ENGINE_SILENCE_MS < now_ms
    }

    /// Takes a report that was asked for at `requested_ms`. Returns the lives of the engine that
    /// have ended under runs.
    pub fn on_report(
        &mut self,
        report: &EngineReport,
        requested_ms: u64,
    ) -> Vec<CrashedIncarnation> {
        self.last_report_ms = self.last_report_ms.max(requested_ms);
        let fenced = self.policy.check == OrderCheck::Fenced;
        let restarted = self.boot.is_some_and(|boot| boot != report.boot);
        self.boot = Some(report.boot);
        let unfenced = report.run_fence < self.fence && !self.order_in_flight;
        self.ledger.apply_report(report, requested_ms, self.life);
        let unproven = !self.order_in_flight && self.ledger.needs_fence(report);
        self.fence_needed |= restarted || unfenced || unproven;
        self.fence_needed &= fenced;
        self.lost.on_report(report.boot, requested_ms)
    }

    /// Forgets attempts that ended long ago; their numbers never start again.
    pub fn forget(&mut self, now_ms: u64) {
        let old = |attempt: &Attempt| {
            matches!(attempt.stage, Stage::Ended(_))
                && attempt.touched_ms + ATTEMPT_RETENTION_MS < now_ms
        };
        let gone: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| old(attempt))
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            self.attempts.remove(&id);
            let floor = self.attempt_floors.entry(id.entry).or_default();
            *floor = (*floor).max(id.number);
        }
        while self.attempt_floors.len() > MAX_ENTRY_FLOORS {
            if let Some((life, _)) = self.attempt_floors.pop_first() {
                self.min_entry = Incarnation(life.0 + 1);
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
    fn lacks_lease(&self, now_ms: u64) -> bool {
        self.policy.capacity_mib > 0 && !self.has_lease(now_ms)
    }

    /// Without a lease for so long, waiting for it is giving up: it is said at once.
    fn is_lease_grace_over(&self, now_ms: u64) -> bool {
        self.lacks_lease(now_ms) && self.lease_until_ms + LEASE_GRACE_MS < now_ms
    }

    fn refuse_without_lease(&mut self, now_ms: u64) {
        if self.is_lease_grace_over(now_ms) {
            let queued = self.queue.runs().iter().map(|run| run.attempt).collect();
            self.refuse_queued(now_ms, queued, RefuseCause::NoLease);
        }
    }

    fn refuse_queued(&mut self, now_ms: u64, queued: Vec<AttemptId>, cause: RefuseCause) {
        for id in queued {
            self.queue.remove(id);
            self.finish(now_ms, id, not_run(cause, REFUSAL_RETRY_MS));
        }
    }

    fn was_forgotten(&self, attempt: AttemptId) -> bool {
        let floor = self
            .attempt_floors
            .get(&attempt.entry)
            .copied()
            .unwrap_or(0);
        attempt.entry < self.min_entry || attempt.number <= floor
    }

    fn serves(&self, model: &ModelName) -> bool {
        let wanted = || {
            let plan = self.plan.as_ref();
            let want = plan.and_then(|plan| plan.desired_models.as_ref());
            want.is_none_or(|want| want.contains_key(model))
        };
        let resident = || self.ledger.phase(model) == Some(ModelPhase::Resident);
        self.fixed_services.contains(model) || (resident() && wanted())
    }

    fn refused(
        &self,
        attempt: AttemptId,
        cause: RefuseCause,
        retry_after_ms: u64,
    ) -> AttemptStatus {
        AttemptStatus::Page(AnswerPage {
            attempt,
            offset: 0,
            pieces: Vec::new(),
            end: Some(not_run(cause, retry_after_ms)),
        })
    }

    fn insert_attempt(
        &mut self,
        now_ms: u64,
        id: AttemptId,
        request: Option<RunRequest>,
        stage: Stage,
    ) {
        let attempt = Attempt {
            request,
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

    fn page(&mut self, now_ms: u64, id: AttemptId, offset: u32) -> AttemptStatus {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return AttemptStatus::Unseen;
        };
        attempt.touched_ms = now_ms;
        let end = match &attempt.stage {
            Stage::Ended(end) => Some(end.clone()),
            Stage::Queued | Stage::Running => None,
        };
        let pieces = attempt.pieces.get(offset as usize..).unwrap_or_default();
        AttemptStatus::Page(AnswerPage {
            attempt: id,
            offset,
            pieces: pieces.to_vec(),
            end,
        })
    }

    fn enqueue(&mut self, now_ms: u64, request: &RunRequest) -> Option<RunEnd> {
        let service_ms = self.estimated_service_ms(&request.row);
        let run = QueuedRun {
            attempt: request.attempt,
            row: request.row.clone(),
            urgency: request.urgency,
            weight: request.weight,
            model: request.call.model.clone(),
            deadline_ms: now_ms + request.patience_ms,
            service_ms,
            kv_mib: request.call.kv_mib,
        };
        let left = self.running_left_ms(now_ms);
        let refusal = self.queue.push(now_ms, run, &left).err()?;
        Some(not_run(RefuseCause::Overload, refusal.retry_after_ms))
    }

    fn estimated_service_ms(&self, row: &RowId) -> u64 {
        let estimate = self.service_ms.get(row).copied();
        estimate.unwrap_or(DEFAULT_SERVICE_MS)
    }

    fn running_left_ms(&self, now_ms: u64) -> Vec<u64> {
        let running = self.running.iter();
        let running = running.filter_map(|id| self.attempts.get(id));
        let left = running.map(|attempt| {
            let row = attempt.request.as_ref().map(|request| &request.row);
            let whole = row.map_or(DEFAULT_SERVICE_MS, |row| self.estimated_service_ms(row));
            let spent = now_ms - attempt.started_ms;
            whole.saturating_sub(spent)
        });
        left.collect()
    }

    fn record_service_time(&mut self, row: Option<RowId>, spent_ms: u64) {
        let Some(row) = row else {
            return;
        };
        let estimate = self.service_ms.entry(row).or_insert(spent_ms);
        *estimate = (*estimate * (SERVICE_SAMPLE_DIVISOR - 1) + spent_ms) / SERVICE_SAMPLE_DIVISOR;
    }

    /// A queued run whose model left meanwhile is refused, so that its entry
    /// can send it elsewhere.
    fn refuse_missing_models(&mut self, now_ms: u64) {
        let queued = self.queue.runs().iter();
        let missing = queued.filter(|run| !self.serves(&run.model));
        let missing = missing.map(|run| run.attempt).collect();
        self.refuse_queued(now_ms, missing, RefuseCause::NotHome);
    }

    fn next_act(&mut self) -> Option<OrderAct> {
        if self.fence_needed {
            self.fence_needed = false;
            return Some(OrderAct::Fence);
        }
        if !self.ledger.is_initialized() {
            return None;
        }
        let want = self.plan.as_ref()?.desired_models.as_ref()?;
        let unload = self.ledger.models().find(|(model, phase)| {
            *phase != ModelPhase::Unloading && !want.contains_key(*model) && !self.in_use(model)
        });
        if let Some((model, _)) = unload {
            return Some(OrderAct::Unload(model.clone()));
        }
        let load = want.iter().find(|(model, mib)| {
            let there = match self.ledger.phase(model) {
                Some(ModelPhase::Loading | ModelPhase::Resident) => true,
                Some(ModelPhase::Unloading) | None => false,
            };
            !there && self.ledger.free_mib() >= **mib
        });
        load.map(|(model, mib)| OrderAct::Load(model.clone(), *mib))
    }

    /// A running or queued attempt keeps its model from being unloaded.
    fn in_use(&self, model: &ModelName) -> bool {
        let running = self.running.iter().filter_map(|id| self.attempts.get(id));
        let mut requests = running.filter_map(|attempt| attempt.request.as_ref());
        let queued = self.queue.runs();
        requests.any(|request| request.call.model == *model)
            || queued.iter().any(|run| run.model == *model)
    }
}

fn not_run(cause: RefuseCause, retry_after_ms: u64) -> RunEnd {
    RunEnd::NotRun(NotRun {
        cause,
        retry_after_ms,
    })
}
