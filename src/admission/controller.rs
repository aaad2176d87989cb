//! Decisions of an agent: which attempts run, what is reported to each entry about its attempt,
//! and which orders the engine receives. Pure; the agent's shell moves the messages.

use std::collections::{BTreeMap, BTreeSet};

use crate::admission::ledger::{
    EngineReport, MemoryLedger, ModelPhase, OrderCheck, OrderSeq, OrderStamp,
};
use crate::admission::lost_runs::{CrashedIncarnation, LostRuns};
pub use crate::admission::orders::{EngineOrder, OrderAct, TargetPlan};
use crate::admission::queue::{QueuePolicy, QueuedRun, RunQueue};
use crate::admission::runs::BEGINNING_MS;
pub use crate::admission::runs::{
    AnswerPage, AttemptStatus, EngineCall, EngineProcess, EngineSoftware, NotRun, RefuseCause,
    RunDispatch, RunEnd, RunEvent, RunRequest,
};
use crate::consensus::software_versions::version_name;
use crate::ids::{AttemptId, ContentDigest, Incarnation, ModelName, Position, RowId};

/// How long an ended attempt is remembered after its last use, in milliseconds.
const ATTEMPT_RETENTION_MS: u64 = 120_000;
/// Maximum number of entry incarnations whose attempt floors are remembered.
const MAX_ENTRY_FLOORS: usize = 4096;
/// Expected duration of a run whose row has no sample yet, in milliseconds.
const DEFAULT_SERVICE_MS: u64 = 20;
/// Divisor that gives the newest sample its weight in the moving average of service times: 1/8.
const SERVICE_SAMPLE_DIVISOR: u64 = 8;
/// Time without a report after which an engine is considered dead, in milliseconds.
const ENGINE_SILENCE_MS: u64 = 2500;
/// How long queued runs wait after the lease expired, in milliseconds: long enough for a change of
/// leaders.
const LEASE_GRACE_MS: u64 = 1000;
/// Retry delay after a refusal without a forecast, in milliseconds.
pub const REFUSAL_RETRY_MS: u64 = 200;

/// Settings of the admission controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionPolicy {
    /// Memory of the target, in MiB.
    pub capacity_mib: u64,
    /// How the engine treats late orders.
    pub check: OrderCheck,
    /// Longest lease that control grants, in milliseconds.
    pub lease_ms: u64,
    /// Settings of the queue.
    pub queue: QueuePolicy,
}

#[derive(Debug)]
struct Attempt {
    request: Option<RunRequest>,
    pieces: Vec<String>,
    stage: Stage,
    touched_ms: u64,
    started_ms: u64,
    /// Boot ID of the engine incarnation that it was sent to.
    boot: u64,
    resumed: bool,
    /// Software that generated the pieces, or will generate them; `None` if it is not known.
    software: Option<EngineSoftware>,
    /// When its first piece came.
    first_ms: Option<u64>,
    /// When its connection was lost first.
    lost_ms: Option<u64>,
}

impl Attempt {
    /// Whether its connection was lost before it ran beyond its beginning.
    fn was_beginning(&self, now_ms: u64) -> bool {
        let lost_ms = self.lost_ms.unwrap_or(now_ms);
        let begun = self.first_ms;
        begun.is_none_or(|first_ms| lost_ms < first_ms + BEGINNING_MS)
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    Queued,
    Running,
    Ended(RunEnd),
}

/// Admission controller of one agent incarnation.
#[derive(Debug)]
pub struct AdmissionController {
    /// Incarnation of the agent; its orders carry it as `life`.
    life: Incarnation,
    policy: AdmissionPolicy,
    ledger: MemoryLedger,
    queue: RunQueue,
    attempts: BTreeMap<AttemptId, Attempt>,
    running: BTreeSet<AttemptId>,
    /// Highest forgotten attempt of each entry incarnation; attempts up to it never start again.
    attempt_floors: BTreeMap<Incarnation, u64>,
    /// Entry incarnations below this one have lost their floor.
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
    /// Software of the engine by its newest report.
    software: Option<EngineSoftware>,
    /// Runs that may have been lost to a crash of the engine.
    lost_runs: LostRuns,
    last_report_ms: u64,
    order_in_flight: bool,
}

impl AdmissionController {
    /// Creates the controller of an incarnation. `fixed_services` are plain services that are
    /// always available.
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
            software: None,
            lost_runs: LostRuns::default(),
            last_report_ms: now_ms,
            order_in_flight: false,
        }
    }

    /// Returns the incarnation of the agent.
    pub fn incarnation(&self) -> Incarnation {
        self.life
    }

    /// Returns the memory account.
    pub fn ledger(&self) -> &MemoryLedger {
        &self.ledger
    }

    /// Whether new work is refused.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Refuses new work from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Returns the number of runs at the engine.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Whether an attempt runs at the engine.
    pub fn is_running(&self, attempt: AttemptId) -> bool {
        self.running.contains(&attempt)
    }

    /// Returns the number of waiting runs.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of queued and running requests of each model.
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

    /// Returns the models that serve at the target.
    pub fn ready_models(&self) -> Vec<ModelName> {
        let loaded = self.ledger.models();
        let loaded = loaded.filter(|(_, phase)| *phase == ModelPhase::Resident);
        let loaded = loaded.map(|(model, _)| model.clone());
        loaded.chain(self.fixed_services.iter().cloned()).collect()
    }

    /// Records the version of a row. An entry that uses an older one is refused until it has caught
    /// up.
    pub fn record_row_version(&mut self, row: &RowId, version: Position) {
        let known = self.row_versions.entry(row.clone()).or_default();
        *known = (*known).max(version);
    }

    /// Starts an attempt once. A repeated request returns the status of the first.
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
            request if request.continues.is_some() && request.continues != self.software => {
                Some(RefuseCause::OtherSoftware)
            }
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

    /// Ends an attempt for good unless it has started, and returns its status.
    pub fn seal(
        &mut self,
        now_ms: u64,
        attempt: AttemptId,
        incarnation: Incarnation,
    ) -> AttemptStatus {
        if incarnation != self.life {
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

    /// Returns the response of an attempt from a piece on.
    pub fn pull(
        &mut self,
        now_ms: u64,
        attempt: AttemptId,
        incarnation: Incarnation,
        offset: u32,
    ) -> AttemptStatus {
        match incarnation {
            incarnation if incarnation != self.life => AttemptStatus::OtherIncarnation(self.life),
            _ => self.page(now_ms, attempt, offset),
        }
    }

    /// Ends a queued attempt whose caller no longer waits. Returns whether the engine must cancel a
    /// running one.
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

    /// Returns the next run that the engine can take.
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
            debug_assert!(fits.is_ok(), "the queue returned a run that does not fit");
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

    /// Applies an event of a run. Returns the piece to resume from if the same engine should be
    /// asked to resume a broken stream.
    pub fn on_run_event(&mut self, now_ms: u64, id: AttemptId, event: RunEvent) -> Option<u32> {
        let attempt = self.attempts.get_mut(&id)?;
        if attempt.stage != Stage::Running {
            return None;
        }
        attempt.touched_ms = now_ms;
        match event {
            RunEvent::Opened(process) => {
                let software = process.map(|process| process.software(self.life));
                let continues = software.is_some() && software == attempt.software;
                match attempt.pieces.is_empty() {
                    true => attempt.software = software,
                    false if continues => {}
                    false => {
                        attempt.resumed = true;
                        return self.on_run_event(now_ms, id, RunEvent::Lost);
                    }
                }
            }
            RunEvent::Piece { index, text } => {
                attempt.first_ms.get_or_insert(now_ms);
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
            // A refusal to resume a stream does not prove that the first call did not run.
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
                attempt.lost_ms = Some(now_ms);
                return Some(attempt.pieces.len() as u32);
            }
            RunEvent::Lost | RunEvent::Refused => {
                if let Some(request) = &attempt.request {
                    let parts: &[ContentDigest] = match attempt.was_beginning(now_ms) {
                        true => &request.parts,
                        false => &[],
                    };
                    let lost = &mut self.lost_runs;
                    lost.record(attempt.boot, request.content, parts, now_ms);
                }
                self.ledger.disconnect_run(id, now_ms);
                self.fence_needed = true;
                self.finish(now_ms, id, RunEnd::Broken);
            }
        }
        None
    }

    /// Applies a plan of control. Returns false for a plan of an older term or position, or for
    /// another incarnation.
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

    /// Returns the log position of the current plan.
    pub fn plan_position(&self) -> Position {
        self.plan.as_ref().map_or(Position(0), |plan| plan.position)
    }

    /// Whether the lease from control is valid.
    pub fn has_lease(&self, now_ms: u64) -> bool {
        now_ms < self.lease_until_ms
    }

    /// Returns the next order. Orders are given one at a time: the next one follows `order_closed`.
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

    /// Records that the connection of an order closed, with or without a response.
    pub fn order_closed(&mut self, now_ms: u64, order: &EngineOrder) {
        self.order_in_flight = false;
        match &order.act {
            OrderAct::Fence => {}
            OrderAct::Load(model, _) | OrderAct::Unload(model) => {
                self.ledger.close_order(model, now_ms)
            }
        }
    }

    /// Whether the engine has not reported for so long that it is considered dead.
    pub fn is_engine_silent(&self, now_ms: u64) -> bool {
        self.policy.capacity_mib > 0 && self.last_report_ms + ENGINE_SILENCE_MS < now_ms
    }

    /// Applies a report that was requested at `requested_ms`. Returns the engine incarnations that
    /// crashed during runs.
    pub fn on_report(
        &mut self,
        report: &EngineReport,
        requested_ms: u64,
    ) -> Vec<CrashedIncarnation> {
        self.last_report_ms = self.last_report_ms.max(requested_ms);
        let fenced = self.policy.check == OrderCheck::Fenced;
        let restarted = self.boot.is_some_and(|boot| boot != report.boot);
        self.boot = Some(report.boot);
        let process = EngineProcess {
            boot: report.boot,
            version: report.version.as_deref().and_then(version_name),
        };
        self.software = Some(process.software(self.life));
        let unfenced = report.run_fence < self.fence && !self.order_in_flight;
        self.ledger.apply_report(report, requested_ms, self.life);
        let unproven = !self.order_in_flight && self.ledger.needs_fence(report);
        self.fence_needed |= restarted || unfenced || unproven;
        self.fence_needed &= fenced;
        self.lost_runs.on_report(report.boot, requested_ms)
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
            if let Some((incarnation, _)) = self.attempt_floors.pop_first() {
                self.min_entry = Incarnation(incarnation.0 + 1);
            }
        }
    }

    /// Whether no run is queued or running.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.running() == 0
    }

    /// Returns the number of remembered attempts.
    pub fn remembered(&self) -> usize {
        self.attempts.len()
    }

    /// Whether runs are held back for lack of a lease. An agent that was replaced must send no
    /// runs, because its successor could not account for their memory.
    fn lacks_lease(&self, now_ms: u64) -> bool {
        self.policy.capacity_mib > 0 && !self.has_lease(now_ms)
    }

    /// Whether the lease expired so long ago that waiting for it is pointless, so that runs are
    /// refused at once.
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
            software: None,
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
            software: None,
            first_ms: None,
            lost_ms: None,
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
            software: attempt.software.clone(),
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
            let expected = row.map_or(DEFAULT_SERVICE_MS, |row| self.estimated_service_ms(row));
            let spent = now_ms - attempt.started_ms;
            expected.saturating_sub(spent)
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

    /// Refuses queued runs whose model is gone, so that their entries can send them elsewhere.
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

    /// Whether a running or queued attempt keeps a model from being unloaded.
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
