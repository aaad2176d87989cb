//! The leader's controller for the fleet, the replicas that register themselves: their liveness,
//! the placement of models, and the orders that carry it out.
//!
//! Pure code with soft state: a new leader starts with no state. It sends no order while an order
//! of a previous leader may still arrive or may have arrived too recently.

mod plan_input;
mod preload_adapters;
mod serve_unserved;
mod unserved_status;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::consensus::directory::{AdapterEffect, ReplicaDirectory, ReplicaPhase, ReplicaRecord};
use crate::consensus::software_versions::{SoftwareVersion, VersionMix};
use crate::consensus::state::{Command, SiteState};
use crate::ids::{HostName, ModelName, ReplicaId, ReplicaIncarnation, ServiceName, Term};
use crate::placement::adapters::{AdapterDecision, AdapterOrders};
use crate::placement::congestion::{CongestionThreshold, QueueReport, QueueTotals, QueuedTokens};
use crate::placement::demand::DemandTracker;
use crate::placement::fleet_plan::{self, PlanModel, PlanReplica, PlanStep};
use crate::placement::order::{AdapterPlacement, OrderKind, OrderOutcome, ReplicaOrder};
use crate::placement::report::EntryReport;
use crate::placement::unserved::{ServedName, UnservedNames};
use crate::placement::version_settlement::VersionSettlement;
use crate::table::configuration::{ConfigurationRecord, EngineSpec};

/// Settings of the fleet controller.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetPolicy {
    /// Time without a heartbeat after which a replica is used only as a last choice, in
    /// milliseconds.
    pub silent_ms: u64,
    /// Time without a heartbeat after which a replica counts as ended, in milliseconds.
    pub lost_ms: u64,
    /// Minimum time between orders of two leaders to one replica, in milliseconds.
    pub order_lease_ms: u64,
    /// Longest time that an order is in transit after the end of its leader's lease, in
    /// milliseconds: the retransmissions by the kernel of a suspended sender, and one trip to the
    /// engine.
    pub order_transit_ms: u64,
    /// Time between placement rounds, in milliseconds.
    pub round_ms: u64,
    /// Minimum relief of a load for demand, in concurrent requests.
    pub move_price: f64,
    /// Share of a model's demand that remains after each lower sample, one every half second. With
    /// 0.7, past demand fades within two seconds, about the duration of a stream.
    pub demand_fall: f64,
    /// Time after which an accepted order without a visible effect is sent again, in milliseconds.
    pub order_ms: u64,
    /// Number of waiting tokens from which a replica is congested: a quarter of a second of work
    /// for an engine that processes 16 prompt tokens in a millisecond. A shorter queue is processed
    /// before entries learn of it.
    pub crowded_tokens: u64,
    /// Time for which the queue must stand without interruption, in milliseconds. A queue that
    /// stands for less empties by itself.
    pub crowded_ms: u64,
}

impl Default for FleetPolicy {
    fn default() -> Self {
        Self {
            silent_ms: 5_000,
            lost_ms: 30_000,
            order_lease_ms: 3_000,
            order_transit_ms: 700,
            round_ms: 100,
            move_price: 1.0,
            demand_fall: 0.7,
            order_ms: 20_000,
            crowded_tokens: 4_000,
            crowded_ms: 500,
        }
    }
}

/// Actions of one round.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetActions {
    /// Commands to propose.
    pub commands: Vec<Command>,
    /// Orders to send to engines.
    pub orders: Vec<ReplicaOrder>,
}

#[derive(Clone, Debug)]
struct PendingOrder {
    kind: OrderKind,
    model: ModelName,
    /// The model that an unload frees memory for.
    for_model: Option<ModelName>,
    /// The log has shown the order's command as committed.
    committed: bool,
    since_ms: u64,
    /// When the order is to be sent; `None` while a response is awaited.
    send_ms: Option<u64>,
    /// The engine refused the order and the log has not settled it yet. Until then the order is
    /// neither sent again nor taken over from the log anew.
    refused: bool,
}

/// Memory that an unload freed for a model: no other model may take it for a while.
#[derive(Clone, Debug)]
struct Reservation {
    model: ModelName,
    until_ms: u64,
}

#[derive(Clone, Debug)]
struct EntrySample {
    received_ms: u64,
    busy: BTreeMap<ModelName, f64>,
}

/// Soft state of the leader.
#[derive(Debug)]
pub struct FleetController {
    policy: FleetPolicy,
    holder: HostName,
    term: Term,
    /// Number of orders issued in this term.
    orders_issued: u64,
    since_ms: u64,
    last_seen_ms: BTreeMap<ReplicaId, u64>,
    entries: BTreeMap<String, EntrySample>,
    queue_totals: QueueTotals,
    demand: DemandTracker,
    /// When requests of each model were last reported.
    last_busy_ms: BTreeMap<ModelName, u64>,
    last_sample_ms: u64,
    round_due_ms: u64,
    preload_due_ms: u64,
    last_load_ms: BTreeMap<ServiceName, u64>,
    pending: BTreeMap<ReplicaId, PendingOrder>,
    reservations: BTreeMap<ReplicaId, Reservation>,
    adapters: AdapterOrders,
    unserved: UnservedNames,
    unserved_due_ms: u64,
    /// Replicas that are to load an adapter without service before the next model order.
    owed_adapters: BTreeSet<ReplicaId>,
    /// Replicas whose last order concerned a model.
    last_order_was_model: BTreeSet<ReplicaId>,
    /// When each model last had a ready home.
    home_ms: BTreeMap<ModelName, u64>,
    /// When this leader's loads of models took effect.
    loaded_ms: BTreeMap<(ReplicaId, ModelName), u64>,
    version_settlement: VersionSettlement,
    /// Incarnations that refuse this leader's orders. An engine forgets fences when it restarts.
    fenced: BTreeSet<ReplicaIncarnation>,
    /// Incarnations that advertise a rate limit.
    limited: BTreeSet<ReplicaIncarnation>,
    /// Revision of the limits that `limited` was taken from.
    limits_revision: u64,
    /// Commands for the next round.
    queued_commands: Vec<Command>,
    /// Commands that follow from the state of the log, each with the time of its proposal. The log
    /// stays the same until they are committed.
    uncommitted: Vec<(u64, Command)>,
}

/// Divisor for the margin that is added to a wait, as the clock of this host may run 5% fast.
const CLOCK_DRIFT_DIVISOR: u64 = 20;
/// Time between two samples of demand, in milliseconds.
const DEMAND_SAMPLE_INTERVAL_MS: u64 = 500;
/// Time for which an entry's report counts, in milliseconds.
const ENTRY_REPORT_TTL_MS: u64 = 2_500;
/// Delay before an order is sent again to an engine that was busy or did not respond, in
/// milliseconds.
const RESEND_DELAY_MS: u64 = 1_000;
/// Time within which a command is expected to be committed, in milliseconds.
const COMMIT_TIMEOUT_MS: u64 = 2_000;
/// Time for which a new leader without any known demand unloads no model, in milliseconds. It would
/// replace further homes of models that will be busy by models that will not.
const NO_DEMAND_WAIT_MS: u64 = 30_000;
/// Time for which freed memory is reserved for a model, in milliseconds.
const RESERVATION_MS: u64 = 4_000;

/// Time between two rounds of loading adapters that have gone without service, in milliseconds.
const UNSERVED_INTERVAL_MS: u64 = 50;
/// Time between two rounds of preloading, in milliseconds.
const PRELOAD_INTERVAL_MS: u64 = 500;

fn adapter_name(placement: &AdapterPlacement) -> ServedName {
    ServedName {
        model: placement.model.clone(),
        adapter: Some(placement.adapter.clone()),
    }
}

/// Returns whether an order is in the log and its effect does not show yet.
fn is_under_way(replicas: &ReplicaDirectory, id: &ReplicaId, order: &PendingOrder) -> bool {
    match order.kind {
        OrderKind::Load => replicas.loading(id).any(|model| *model == order.model),
        OrderKind::Unload => replicas.unloading(id).any(|model| *model == order.model),
    }
}

/// Returns the replicas of a service in open halls. Nothing is placed in an evacuated hall, and
/// what its replicas hold counts as gone.
fn open_records<'a>(
    state: &'a SiteState,
    service: &'a ServiceName,
) -> impl Iterator<Item = &'a ReplicaRecord> {
    let records = state.replicas.records().values();
    let open = |record: &ReplicaRecord| !state.evacuated.contains(&record.hall);
    records.filter(move |record| record.service == *service && open(record))
}

/// Returns the software version that a replica named. Without a name, no other replica can continue
/// its streams, and its homes need not stay for them.
fn named_version(state: &SiteState, record: &ReplicaRecord) -> Option<SoftwareVersion> {
    match state.versions().version(record) {
        SoftwareVersion::Unnamed(_) => None,
        named => Some(named),
    }
}

/// Whether the ready replicas of a service run several software versions, so that a stream cannot
/// continue at any of them.
fn binds_streams_to_versions(state: &SiteState, service: &ServiceName) -> bool {
    let mix = state.versions().mixes().get(service);
    if matches!(mix, None | Some(VersionMix::Sole(_))) {
        return false;
    }
    let ready = open_records(state, service).filter(|record| record.phase == ReplicaPhase::Ready);
    let mut versions = ready.map(|record| state.versions().version(record));
    let first = versions.next();
    versions.any(|version| Some(version) != first)
}

impl FleetController {
    /// Creates the controller of a new leader.
    pub fn new(policy: FleetPolicy, holder: HostName, term: Term, now_ms: u64) -> Self {
        Self {
            policy,
            holder,
            term,
            orders_issued: 0,
            since_ms: now_ms,
            last_seen_ms: BTreeMap::new(),
            entries: BTreeMap::new(),
            queue_totals: QueueTotals::default(),
            demand: DemandTracker::with_decay(policy.demand_fall),
            last_busy_ms: BTreeMap::new(),
            last_sample_ms: now_ms,
            round_due_ms: now_ms,
            preload_due_ms: now_ms,
            last_load_ms: BTreeMap::new(),
            pending: BTreeMap::new(),
            reservations: BTreeMap::new(),
            adapters: AdapterOrders::default(),
            unserved: UnservedNames::default(),
            unserved_due_ms: now_ms,
            owed_adapters: BTreeSet::new(),
            last_order_was_model: BTreeSet::new(),
            home_ms: BTreeMap::new(),
            loaded_ms: BTreeMap::new(),
            version_settlement: VersionSettlement::default(),
            fenced: BTreeSet::new(),
            limited: BTreeSet::new(),
            limits_revision: 0,
            queued_commands: Vec::new(),
            uncommitted: Vec::new(),
        }
    }

    /// Returns the term of the leader.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Records that a control host has received heartbeats of these replicas.
    pub fn on_heartbeats(&mut self, now_ms: u64, ids: &[ReplicaId]) {
        for id in ids {
            self.last_seen_ms.insert(id.clone(), now_ms);
        }
    }

    /// Records an entry's report. Returns the number of entries that report.
    pub fn on_report(&mut self, now_ms: u64, report: EntryReport) -> u32 {
        self.unserved.record_report(now_ms, &report.unserved);
        for placement in report.adapters {
            let name = adapter_name(&placement);
            self.unserved.record_service(now_ms, &name);
            self.adapters.record_use(placement, now_ms);
        }
        let busy = report.busy.iter().filter(|(_, level)| **level > 0.0);
        let busy = busy.map(|(model, _)| (model.clone(), now_ms));
        self.last_busy_ms.extend(busy);
        let sample = EntrySample {
            received_ms: now_ms,
            busy: report.busy,
        };
        self.entries.insert(report.host, sample);
        self.entries.len() as u32
    }

    /// Records the waiting tokens of an entry's requests. Returns the most congested replicas.
    pub fn on_queue_report(&mut self, now_ms: u64, report: QueueReport) -> QueuedTokens {
        let bound = CongestionThreshold {
            tokens: self.policy.crowded_tokens,
            min_duration_ms: self.policy.crowded_ms,
        };
        self.queue_totals.record(now_ms, report, bound)
    }

    /// Updates which replicas advertise a rate limit, unless `revision` is the one already taken
    /// over.
    pub fn update_limited<'a>(
        &mut self,
        revision: u64,
        limited: impl Iterator<Item = &'a ReplicaIncarnation>,
    ) {
        if self.limits_revision != revision {
            self.limits_revision = revision;
            self.limited = limited.cloned().collect();
        }
    }

    /// Handles an entry's request for an adapter. Returns whether it will be available soon, and
    /// the order to send.
    pub fn on_adapter_request(
        &mut self,
        state: &SiteState,
        now_ms: u64,
        request: &AdapterPlacement,
    ) -> (bool, Option<ReplicaOrder>) {
        let record = state.replicas.records().get(&request.replica);
        let configuration = state.configuration.as_ref().map(|held| &held.configuration);
        let (Some(record), Some(configuration)) = (record, configuration) else {
            return (false, None);
        };
        let service = configuration.services.get(&record.service);
        let Some(engine) = service.and_then(|service| service.engine.as_ref()) else {
            return (false, None);
        };
        if !record.holds_adapter(&request.model, &request.adapter) {
            let name = adapter_name(request);
            self.unserved.record_refusals(&name, now_ms, now_ms);
        }
        if self.must_wait_for_predecessor(now_ms) || !self.accepts_adapter_orders(state, record) {
            return (false, None);
        }
        let is_late = self.adapters.is_late(&record.id, now_ms);
        if is_late && !self.adapters.is_coming(request) && self.others_come_first(record, request) {
            return (false, None);
        }
        let slots = engine.adapter_slots as usize;
        match self
            .adapters
            .decide(record, slots, &state.replicas, request, now_ms)
        {
            AdapterDecision::Available => (true, None),
            AdapterDecision::Refused => (false, None),
            AdapterDecision::Load => {
                self.queue_adapter_load(request.clone());
                (true, None)
            }
            AdapterDecision::Evict(placement) => {
                let adapter = Some(placement.adapter.as_str());
                (
                    true,
                    Some(self.order(record, OrderKind::Unload, &placement.model, adapter)),
                )
            }
        }
    }

    /// Queues the command that must be committed before the order of an adapter load is sent.
    fn queue_adapter_load(&mut self, placement: AdapterPlacement) {
        self.last_order_was_model.remove(&placement.replica);
        let (id, model) = (placement.replica, placement.model);
        let command = Command::ReplicaAdapterOrdered(id, model, placement.adapter);
        self.queued_commands.push(command);
    }

    /// Starts the requested adapter loads whose slots have become free.
    fn start_waiting_adapter_loads(
        &mut self,
        state: &SiteState,
        configuration: &ConfigurationRecord,
        now_ms: u64,
    ) {
        let mut adapters = std::mem::take(&mut self.adapters);
        let slots = |record: &ReplicaRecord| {
            let services = &configuration.configuration.services;
            let engine = services.get(&record.service)?.engine.as_ref()?;
            let accepts = self.accepts_adapter_orders(state, record);
            accepts.then_some(engine.adapter_slots as usize)
        };
        let started = adapters.start_waiting_loads(&state.replicas, slots, now_ms);
        self.adapters = adapters;
        for placement in started {
            self.queue_adapter_load(placement);
        }
    }

    /// Handles the outcome of an order. Returns the commands that follow from it.
    pub fn on_outcome(
        &mut self,
        now_ms: u64,
        order: &ReplicaOrder,
        outcome: OrderOutcome,
    ) -> Vec<Command> {
        if outcome == OrderOutcome::Fenced {
            self.fenced.insert(order.incarnation());
        }
        match &order.adapter {
            Some(adapter) => {
                let placement = AdapterPlacement {
                    replica: order.replica.clone(),
                    model: order.model.clone(),
                    adapter: adapter.clone(),
                };
                if !self.adapters.on_outcome(&placement, outcome, now_ms) {
                    return Vec::new();
                }
                let effect = match (order.kind, outcome) {
                    (OrderKind::Load, _) => AdapterEffect::Present,
                    (OrderKind::Unload, OrderOutcome::Held) => AdapterEffect::Absent,
                    (OrderKind::Unload, _) => AdapterEffect::Unloading,
                };
                let (id, model) = (placement.replica, placement.model);
                vec![Command::ReplicaAdapter(
                    id,
                    model,
                    placement.adapter,
                    effect,
                )]
            }
            None => self.on_model_outcome(now_ms, order, outcome),
        }
    }

    fn on_model_outcome(
        &mut self,
        now_ms: u64,
        order: &ReplicaOrder,
        outcome: OrderOutcome,
    ) -> Vec<Command> {
        let id = &order.replica;
        if outcome == OrderOutcome::Unknown {
            self.adapters.record_answer(id, true, now_ms);
        }
        let Some(pending) = self.pending.get_mut(id) else {
            return Vec::new();
        };
        // No order is settled by time alone: one without a response may be carried out much later,
        // and an accepted one may wait for running requests. It occupies memory until its effect
        // shows, and is sent again meanwhile. The engine's order count lets only one attempt take
        // effect.
        match outcome {
            OrderOutcome::Taken | OrderOutcome::Held => {
                pending.send_ms = Some(now_ms + self.policy.order_ms);
            }
            // The engine may be busy with this same order, sent earlier or by the previous leader.
            OrderOutcome::Busy | OrderOutcome::CountMismatch | OrderOutcome::Unknown => {
                pending.send_ms = Some(now_ms + RESEND_DELAY_MS);
            }
            OrderOutcome::Fenced | OrderOutcome::Refused => {
                pending.refused = true;
                pending.send_ms = None;
            }
        }
        Vec::new()
    }

    /// Drops commands that were proposed within the last [`COMMIT_TIMEOUT_MS`].
    fn propose_once(&mut self, now_ms: u64, mut commands: Vec<Command>) -> Vec<Command> {
        self.uncommitted
            .retain(|(at_ms, _)| at_ms + COMMIT_TIMEOUT_MS > now_ms);
        commands.retain(|command| !self.uncommitted.iter().any(|(_, other)| other == command));
        let proposed = commands.iter().map(|command| (now_ms, command.clone()));
        self.uncommitted.extend(proposed);
        commands
    }

    /// Handles a timer tick: marks silent and lost replicas, returns the orders that are due, and
    /// plans placement where a round is due.
    pub fn round(&mut self, state: &SiteState, now_ms: u64) -> FleetActions {
        let liveness = self.check_liveness(&state.replicas, now_ms);
        let mut actions = FleetActions {
            commands: self.propose_once(now_ms, liveness),
            orders: Vec::new(),
        };
        self.sample_demand(now_ms);
        let Some(record) = &state.configuration else {
            return actions;
        };
        let settled = self.version_settlement.check(state, now_ms);
        actions.commands.extend(self.propose_once(now_ms, settled));
        if self.must_wait_for_predecessor(now_ms) {
            return actions;
        }
        let settled = self.settle_orders(&state.replicas, now_ms);
        actions.commands.extend(self.propose_once(now_ms, settled));
        self.start_waiting_adapter_loads(state, record, now_ms);
        actions.commands.append(&mut self.queued_commands);
        actions.orders = self.send_due(&state.replicas, now_ms);
        let engines = record.configuration.services.iter();
        let engines = engines.filter_map(|(name, spec)| Some((name, spec.engine.as_ref()?)));
        let engines: Vec<(&ServiceName, &EngineSpec)> = engines.collect();
        if now_ms >= self.unserved_due_ms {
            self.unserved_due_ms = now_ms + UNSERVED_INTERVAL_MS;
            self.owed_adapters.clear();
            for (service, engine) in &engines {
                let orders = self.serve_unserved_adapters(state, service, engine, now_ms);
                actions.orders.extend(orders);
            }
        }
        if now_ms >= self.round_due_ms {
            self.round_due_ms = now_ms + self.policy.round_ms;
            self.last_busy_ms.retain(|model, _| {
                let mut known = engines.iter();
                known.any(|(_, engine)| engine.models.contains_key(model))
            });
            self.home_ms.retain(|model, _| {
                let mut known = engines.iter();
                known.any(|(_, engine)| engine.models.contains_key(model))
            });
            self.unserved.prune(now_ms, |name| {
                let mut known = engines.iter();
                known.any(|(_, engine)| engine.models.contains_key(&name.model))
            });
            for (service, engine) in &engines {
                self.plan_service(state, service, engine, now_ms, &mut actions);
            }
        }
        if now_ms >= self.preload_due_ms {
            self.preload_due_ms = now_ms + PRELOAD_INTERVAL_MS;
            for (service, engine) in engines {
                self.preload_adapters(state, service, engine, now_ms);
            }
        }
        actions
    }

    fn check_liveness(&mut self, replicas: &ReplicaDirectory, now_ms: u64) -> Vec<Command> {
        let records = replicas.records();
        self.last_seen_ms.retain(|id, _| records.contains_key(id));
        let mut commands = Vec::new();
        for (id, record) in records {
            let last_seen_ms = *self.last_seen_ms.entry(id.clone()).or_insert(now_ms);
            let silent_ms = now_ms.saturating_sub(last_seen_ms);
            if silent_ms >= self.policy.lost_ms {
                commands.push(Command::ReplicaEnded(record.incarnation()));
            } else if silent_ms >= self.policy.silent_ms && record.phase == ReplicaPhase::Ready {
                commands.push(Command::ReplicaSilent(id.clone()));
            }
        }
        commands
    }

    fn sample_demand(&mut self, now_ms: u64) {
        if now_ms < self.last_sample_ms + DEMAND_SAMPLE_INTERVAL_MS {
            return;
        }
        self.last_sample_ms = now_ms;
        self.entries
            .retain(|_, sample| sample.received_ms + ENTRY_REPORT_TTL_MS > now_ms);
        let mut sum: BTreeMap<ModelName, f64> = BTreeMap::new();
        for sample in self.entries.values() {
            for (model, busy) in &sample.busy {
                *sum.entry(model.clone()).or_default() += busy;
            }
        }
        self.demand.sample(&sum);
    }

    /// Removes orders whose effect shows or whose refusal is settled, and takes over those of the
    /// previous leader from the log. Returns commands that settle orders in the log.
    fn settle_orders(&mut self, replicas: &ReplicaDirectory, now_ms: u64) -> Vec<Command> {
        let records = replicas.records();
        let mut commands = Vec::new();
        let mut to_reserve = Vec::new();
        let mut loaded = Vec::new();
        self.pending.retain(|id, order| {
            if !records.contains_key(id) {
                return false;
            }
            let open = is_under_way(replicas, id, order);
            if order.refused {
                if open {
                    commands.push(Command::ReplicaSettled(id.clone(), order.model.clone()));
                }
                return open;
            }
            // The effect cannot show before the command is committed.
            order.committed |= open;
            let awaits_commit = !order.committed && order.since_ms + COMMIT_TIMEOUT_MS > now_ms;
            let stays = awaits_commit || open;
            if !stays && order.kind == OrderKind::Load {
                loaded.push((id.clone(), order.model.clone()));
            }
            if !stays {
                let model = order.for_model.take();
                to_reserve.extend(model.map(|model| (id.clone(), model)));
            }
            stays
        });
        self.loaded_ms
            .extend(loaded.into_iter().map(|home| (home, now_ms)));
        self.loaded_ms.retain(|(id, model), _| {
            let record = records.get(id);
            record.is_some_and(|record| record.models.contains_key(model))
        });
        for (id, model) in to_reserve {
            let until_ms = now_ms + RESERVATION_MS;
            self.reservations
                .insert(id, Reservation { model, until_ms });
        }
        self.reservations
            .retain(|id, reservation| records.contains_key(id) && reservation.until_ms > now_ms);
        for id in records.keys() {
            let loading = replicas.loading(id).map(|model| (OrderKind::Load, model));
            let leaving = replicas
                .unloading(id)
                .map(|model| (OrderKind::Unload, model));
            if let Some((kind, model)) = loading.chain(leaving).next()
                && !self.pending.contains_key(id)
            {
                let order = PendingOrder {
                    kind,
                    model: model.clone(),
                    for_model: None,
                    committed: true,
                    since_ms: now_ms,
                    send_ms: Some(now_ms),
                    refused: false,
                };
                self.pending.insert(id.clone(), order);
            }
        }
        for placement in self.adapters.settle(replicas, now_ms) {
            let (id, model) = (placement.replica, placement.model);
            commands.push(Command::ReplicaAdapterSettled(id, model, placement.adapter));
        }
        self.last_order_was_model
            .retain(|id| records.contains_key(id));
        self.fenced.retain(|incarnation| {
            records
                .get(&incarnation.id)
                .is_some_and(|record| record.incarnation() == *incarnation)
        });
        commands
    }

    /// Returns the orders that are due and whose commands are committed.
    fn send_due(&mut self, replicas: &ReplicaDirectory, now_ms: u64) -> Vec<ReplicaOrder> {
        let records = replicas.records();
        let mut due = Vec::new();
        for (id, order) in &mut self.pending {
            let is_due =
                order.send_ms.is_some_and(|at_ms| at_ms <= now_ms) && !replicas.is_silent(id);
            if is_due && is_under_way(replicas, id, order) {
                order.send_ms = None;
                due.push((id.clone(), order.kind, order.model.clone()));
            }
        }
        let mut orders = Vec::new();
        for (id, kind, model) in due {
            let record = records.get(&id);
            orders.extend(record.map(|record| self.order(record, kind, &model, None)));
        }
        for placement in self.adapters.take_due(replicas, now_ms) {
            let record = records.get(&placement.replica);
            let adapter = Some(placement.adapter.as_str());
            let order = |record| self.order(record, OrderKind::Load, &placement.model, adapter);
            orders.extend(record.map(order));
        }
        orders
    }

    fn order(
        &mut self,
        record: &ReplicaRecord,
        kind: OrderKind,
        model: &ModelName,
        adapter: Option<&str>,
    ) -> ReplicaOrder {
        self.orders_issued += 1;
        ReplicaOrder {
            number: self.orders_issued,
            replica: record.id.clone(),
            started_ms: record.started_ms,
            address: record.address,
            holder: self.holder.clone(),
            fence: self.term,
            kind,
            model: model.clone(),
            adapter: adapter.map(str::to_owned),
        }
    }

    /// Returns whether an order of the previous leader may still arrive, or may have arrived within
    /// the minimum time between orders of two leaders. The previous lease had ended when this
    /// leader was elected.
    fn must_wait_for_predecessor(&self, now_ms: u64) -> bool {
        let wait_ms = self.policy.order_lease_ms + self.policy.order_transit_ms;
        now_ms < self.since_ms + wait_ms + wait_ms / CLOCK_DRIFT_DIVISOR
    }

    /// Returns whether adapters may be ordered to a replica: no model is being loaded or unloaded
    /// there, and its hall is open.
    fn accepts_adapter_orders(&self, state: &SiteState, record: &ReplicaRecord) -> bool {
        // Checks the log as well: the previous leader may have ordered a model to be unloaded that
        // is still there with its adapters, and the first round after the lease may not have run
        // yet.
        let loading = state.replicas.loading(&record.id).next();
        let model_order = loading.or(state.replicas.unloading(&record.id).next());
        let ordered = model_order.is_some() || self.pending.contains_key(&record.id);
        let open = !state.evacuated.contains(&record.hall);
        !ordered && open && self.accepts_orders(record)
    }

    fn accepts_orders(&self, record: &ReplicaRecord) -> bool {
        record.phase == ReplicaPhase::Ready && !self.fenced.contains(&record.incarnation())
    }

    fn plan_service(
        &mut self,
        state: &SiteState,
        service: &ServiceName,
        engine: &EngineSpec,
        now_ms: u64,
        actions: &mut FleetActions,
    ) {
        for record in open_records(state, service) {
            if record.phase == ReplicaPhase::Ready {
                let models = record.models.keys();
                self.home_ms
                    .extend(models.map(|model| (model.clone(), now_ms)));
            }
        }
        let (replicas, models) = self.plan_input(state, service, engine, now_ms);
        let last_ms = self.last_load_ms.get(service).copied();
        let due = last_ms.is_none_or(|at_ms| at_ms + engine.load_gap_ms <= now_ms);
        let store_loads = match engine.load_gap_ms {
            0 => usize::MAX,
            _ => usize::from(due),
        };
        let (kept, from_store) = self.use_reservations(&replicas, &models, store_loads > 0);
        let store_loads = store_loads.saturating_sub(from_store);
        let price = self.policy.move_price;
        let steps = fleet_plan::plan(replicas, &models, price, store_loads);
        for step in kept.into_iter().chain(steps) {
            self.start_step(service, step, now_ms, actions);
        }
    }

    /// Plans the loads into reserved memory. Returns the steps, and how many of them load from the
    /// weight store.
    fn use_reservations(
        &mut self,
        replicas: &[PlanReplica],
        models: &BTreeMap<ModelName, PlanModel>,
        store_load_allowed: bool,
    ) -> (Vec<PlanStep>, usize) {
        let mut steps = Vec::new();
        let mut from_store = 0;
        for replica in replicas {
            let Some(reservation) = self.reservations.get(&replica.id) else {
                continue;
            };
            let cached = replica.cached_load_ms.contains_key(&reservation.model);
            let size_mb = models.get(&reservation.model).map(|model| model.weights_mb);
            let fits = size_mb.is_some_and(|size_mb| replica.free_mb >= size_mb);
            let permitted = cached || (store_load_allowed && from_store == 0);
            if !fits || !permitted || self.pending.contains_key(&replica.id) {
                continue;
            }
            from_store += usize::from(!cached);
            steps.push(PlanStep {
                replica: replica.id.clone(),
                model: reservation.model.clone(),
                kind: OrderKind::Load,
                from_store: !cached,
                for_model: None,
            });
        }
        for step in &steps {
            self.reservations.remove(&step.replica);
        }
        (steps, from_store)
    }

    fn start_step(
        &mut self,
        service: &ServiceName,
        step: PlanStep,
        now_ms: u64,
        actions: &mut FleetActions,
    ) {
        let id = step.replica;
        self.last_order_was_model.insert(id.clone());
        let pending = PendingOrder {
            kind: step.kind,
            model: step.model.clone(),
            for_model: step.for_model,
            committed: false,
            since_ms: now_ms,
            send_ms: Some(now_ms),
            refused: false,
        };
        self.pending.insert(id.clone(), pending);
        if step.from_store {
            self.last_load_ms.insert(service.clone(), now_ms);
        }
        // The order is sent once its command is committed: a later leader must know which memory it
        // takes, and entries must have stopped sending to a model that is unloaded.
        let command = match step.kind {
            OrderKind::Load => Command::ReplicaLoad(id, step.model),
            OrderKind::Unload => Command::ReplicaUnload(id, step.model),
        };
        actions.commands.push(command);
    }
}
