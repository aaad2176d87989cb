//! The leader's duties over the replicas that registered themselves: who is
//! still heard from, which models go where, and the orders that bring them there.
//!
//! Pure. Soft state only: a new leader starts with none, and gives no order
//! until the lease of whoever led before it has run out.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::configuration::EngineSpec;
use crate::demand::DemandBook;
use crate::directory::{ReplicaDirectory, ReplicaPhase, ReplicaRecord};
use crate::ids::{HostName, ModelName, Position, ReplicaId, ServiceName, TargetName, Term};
use crate::placement::{self, PlaceMove, PlacePolicy};
use crate::site::{ModelKind, ModelSpec, SiteSpec, TargetSpec};
use crate::state::{Command, HomeInfo, HomePhase, MemberInfo, MemberRole, MoveKind, SiteState};

/// How the fleet is watched and ordered.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetPolicy {
    /// Silence after which a replica is the last choice, in milliseconds.
    pub silent_ms: u64,
    /// Silence after which a replica has ended, in milliseconds.
    pub lost_ms: u64,
    /// Time that a new leader waits before its first order, in milliseconds.
    pub order_lease_ms: u64,
    /// Time between placement rounds, in milliseconds.
    pub round_ms: u64,
    /// Relief in concurrent requests that a load for demand must bring.
    pub move_price: f64,
    /// Homes that each model keeps where memory allows.
    pub spread: usize,
    /// Follow demand; else only repair and spread.
    pub by_demand: bool,
    /// Time after which an order that shows no effect is forgotten, in milliseconds.
    pub order_ms: u64,
}

impl Default for FleetPolicy {
    fn default() -> Self {
        Self {
            silent_ms: 5_000,
            lost_ms: 30_000,
            order_lease_ms: 3_000,
            round_ms: 100,
            move_price: 0.5,
            spread: 1,
            by_demand: true,
            order_ms: 20_000,
        }
    }
}

/// What an order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderKind {
    /// Bring the model or adapter in.
    Load,
    /// Take it out.
    Unload,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The replica's life that is meant.
    pub replica: ReplicaId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Who orders.
    pub holder: HostName,
    /// The fencing token: the leader's term.
    pub fence: Term,
    /// In or out.
    pub kind: OrderKind,
    /// The model.
    pub model: ModelName,
    /// The adapter, where not the model itself is meant.
    pub adapter: Option<String>,
}

/// How an order ended at the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// It is being carried out.
    Taken,
    /// It holds already.
    Held,
    /// The engine is busy, or its count of orders is another.
    Busy,
    /// Another holder has a higher fencing token.
    Fenced,
    /// The engine refuses it, or is another one.
    Refused,
    /// No answer: it may be carried out, or not.
    Unknown,
}

/// What an entry asks of the leader and tells it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EntryReport {
    /// The entry's host.
    pub host: String,
    /// Requests of each model under way, waiting or refused lately.
    pub busy: BTreeMap<ModelName, f64>,
    /// Adapters in use by replica.
    pub adapters: BTreeSet<(ReplicaId, ModelName, String)>,
}

/// An entry wants an adapter on a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterWish {
    /// The replica.
    pub replica: ReplicaId,
    /// The base model, which is there.
    pub model: ModelName,
    /// The adapter.
    pub adapter: String,
}

/// What the leader must do now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetActions {
    /// To be proposed.
    pub commands: Vec<Command>,
    /// To be sent to engines.
    pub orders: Vec<EngineOrder>,
}

#[derive(Clone, Debug)]
struct PendingOrder {
    kind: OrderKind,
    model: ModelName,
    since_ms: u64,
    /// When it is to be sent; none while an answer or its effect is awaited.
    send_ms: Option<u64>,
}

#[derive(Clone, Debug)]
struct EntryNote {
    heard_ms: u64,
    busy: BTreeMap<ModelName, f64>,
}

#[derive(Clone, Copy, Debug)]
struct AdapterOrder {
    kind: OrderKind,
    since_ms: u64,
}

/// An adapter on a replica.
type AdapterPlace = (ReplicaId, ModelName, String);

/// The leader's soft state.
#[derive(Debug)]
pub struct FleetDuties {
    policy: FleetPolicy,
    holder: HostName,
    term: Term,
    since_ms: u64,
    heard: BTreeMap<ReplicaId, u64>,
    entries: BTreeMap<String, EntryNote>,
    demand: DemandBook,
    sampled_ms: u64,
    round_due_ms: u64,
    last_load_ms: BTreeMap<ServiceName, u64>,
    pending: BTreeMap<ReplicaId, PendingOrder>,
    adapters_pending: BTreeMap<AdapterPlace, AdapterOrder>,
    adapters_used: BTreeMap<AdapterPlace, u64>,
    wishes: VecDeque<AdapterWish>,
    fenced: BTreeSet<ReplicaId>,
}

/// Time between two samples of demand, in milliseconds.
const SAMPLE_MS: u64 = 500;
/// An entry that has not reported for so long counts no more, in milliseconds.
const ENTRY_MS: u64 = 2_500;
/// Adapters that may be on their way to one replica.
const ADAPTERS_AT_ONCE: usize = 4;
/// Time after which an adapter's order is forgotten, in milliseconds.
const ADAPTER_ORDER_MS: u64 = 4_000;
/// Pause before an order to a busy engine is sent again, in milliseconds.
const BUSY_MS: u64 = 1_000;
/// Wishes kept for the next round.
const MAX_WISHES: usize = 256;
/// Time in which an order's command is committed, in milliseconds.
const COMMIT_MS: u64 = 2_000;
/// Loads at once where the configuration names no bound.
const LOADS_AT_ONCE: usize = 64;

/// Whether an order stands in the log and its effect does not show yet.
fn under_way(replicas: &ReplicaDirectory, id: &ReplicaId, order: &PendingOrder) -> bool {
    match order.kind {
        OrderKind::Load => replicas.loading(id).any(|model| *model == order.model),
        OrderKind::Unload => replicas.leaving(id).any(|model| *model == order.model),
    }
}

impl FleetDuties {
    /// A new leader's duties.
    pub fn new(policy: FleetPolicy, holder: HostName, term: Term, now_ms: u64) -> Self {
        Self {
            policy,
            holder,
            term,
            since_ms: now_ms,
            heard: BTreeMap::new(),
            entries: BTreeMap::new(),
            demand: DemandBook::default(),
            sampled_ms: now_ms,
            round_due_ms: now_ms,
            last_load_ms: BTreeMap::new(),
            pending: BTreeMap::new(),
            adapters_pending: BTreeMap::new(),
            adapters_used: BTreeMap::new(),
            wishes: VecDeque::new(),
            fenced: BTreeSet::new(),
        }
    }

    /// The term these duties belong to.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Replicas that some control host has heard.
    pub fn on_heard(&mut self, now_ms: u64, ids: &[ReplicaId]) {
        for id in ids {
            self.heard.insert(id.clone(), now_ms);
        }
    }

    /// An entry's report. Returns how many entries report.
    pub fn on_report(&mut self, now_ms: u64, report: EntryReport) -> u32 {
        for place in report.adapters {
            self.adapters_used.insert(place, now_ms);
        }
        let note = EntryNote {
            heard_ms: now_ms,
            busy: report.busy,
        };
        self.entries.insert(report.host, note);
        self.entries.len() as u32
    }

    /// An entry's wish; it is looked at in the next round.
    pub fn on_wish(&mut self, wish: AdapterWish) {
        if self.wishes.len() < MAX_WISHES && !self.wishes.contains(&wish) {
            self.wishes.push_back(wish);
        }
    }

    /// An engine's answer to an order. Returns what it proves.
    pub fn on_outcome(
        &mut self,
        now_ms: u64,
        order: &EngineOrder,
        outcome: OrderOutcome,
    ) -> Vec<Command> {
        if outcome == OrderOutcome::Fenced {
            self.fenced.insert(order.replica.clone());
        }
        let failed = !matches!(outcome, OrderOutcome::Taken | OrderOutcome::Held);
        match &order.adapter {
            Some(adapter) => {
                let place = (order.replica.clone(), order.model.clone(), adapter.clone());
                if failed {
                    // One without an answer still counts until its time is over.
                    if outcome != OrderOutcome::Unknown {
                        self.adapters_pending.remove(&place);
                    }
                    return Vec::new();
                }
                self.adapters_used.insert(place, now_ms);
                let held = order.kind == OrderKind::Load;
                let (id, model) = (order.replica.clone(), order.model.clone());
                vec![Command::ReplicaAdapter(id, model, adapter.clone(), held)]
            }
            None => self.on_model_outcome(now_ms, order, outcome),
        }
    }

    fn on_model_outcome(
        &mut self,
        now_ms: u64,
        order: &EngineOrder,
        outcome: OrderOutcome,
    ) -> Vec<Command> {
        let id = &order.replica;
        let Some(pending) = self.pending.get_mut(id) else {
            return Vec::new();
        };
        match outcome {
            // Its effect will show; an unknown one counts as under way as well.
            OrderOutcome::Taken | OrderOutcome::Held | OrderOutcome::Unknown => Vec::new(),
            // Perhaps with this very order, given by the leader before.
            OrderOutcome::Busy => {
                pending.send_ms = Some(now_ms + BUSY_MS);
                Vec::new()
            }
            OrderOutcome::Fenced | OrderOutcome::Refused => {
                self.pending.remove(id);
                vec![Command::ReplicaSettled(id.clone(), order.model.clone())]
            }
        }
    }

    /// One look at the clock: marks the silent, and plans where a round is due.
    pub fn round(&mut self, state: &SiteState, now_ms: u64) -> FleetActions {
        let mut actions = FleetActions {
            commands: self.watch(&state.replicas, now_ms),
            orders: Vec::new(),
        };
        self.sample(now_ms);
        let Some(record) = &state.configuration else {
            return actions;
        };
        if now_ms < self.since_ms + self.policy.order_lease_ms {
            return actions;
        }
        let settled = self.settle(&state.replicas, now_ms);
        actions.commands.extend(settled);
        actions.orders = self.send_due(&state.replicas, now_ms);
        let engines = record.configuration.services.iter();
        let engines = engines.filter_map(|(name, spec)| Some((name, spec.engine.as_ref()?)));
        let engines: Vec<(&ServiceName, &EngineSpec)> = engines.collect();
        self.grant_wishes(state, &engines, now_ms, &mut actions);
        if now_ms >= self.round_due_ms {
            self.round_due_ms = now_ms + self.policy.round_ms;
            for (service, engine) in engines {
                self.place(state, service, engine, now_ms, &mut actions);
            }
        }
        actions
    }

    fn watch(&mut self, replicas: &ReplicaDirectory, now_ms: u64) -> Vec<Command> {
        let records = replicas.records();
        self.heard.retain(|id, _| records.contains_key(id));
        let mut commands = Vec::new();
        for (id, record) in records {
            let heard_ms = *self.heard.entry(id.clone()).or_insert(now_ms);
            let silent_ms = now_ms.saturating_sub(heard_ms);
            if silent_ms >= self.policy.lost_ms {
                commands.push(Command::ReplicaEnded(id.clone()));
            } else if silent_ms >= self.policy.silent_ms && record.phase == ReplicaPhase::Ready {
                commands.push(Command::ReplicaSilent(id.clone()));
            }
        }
        commands
    }

    fn sample(&mut self, now_ms: u64) {
        if now_ms < self.sampled_ms + SAMPLE_MS {
            return;
        }
        self.sampled_ms = now_ms;
        self.entries.retain(|_, note| note.heard_ms + ENTRY_MS > now_ms);
        let mut sum: BTreeMap<ModelName, f64> = BTreeMap::new();
        for note in self.entries.values() {
            for (model, busy) in &note.busy {
                *sum.entry(model.clone()).or_default() += busy;
            }
        }
        self.demand.sample(&sum);
    }

    /// Forgets orders whose effect shows, or that show none for too long, and
    /// takes over those of the leader before.
    fn settle(&mut self, replicas: &ReplicaDirectory, now_ms: u64) -> Vec<Command> {
        let records = replicas.records();
        let limit_ms = self.policy.order_ms;
        let mut commands = Vec::new();
        self.pending.retain(|id, order| {
            if !records.contains_key(id) {
                return false;
            }
            let late = now_ms >= order.since_ms + limit_ms;
            if late {
                commands.push(Command::ReplicaSettled(id.clone(), order.model.clone()));
            }
            // Until its command is committed, its effect cannot show.
            let waits = order.since_ms + COMMIT_MS > now_ms;
            !late && (waits || under_way(replicas, id, order))
        });
        for id in records.keys() {
            let loading = replicas.loading(id).map(|model| (OrderKind::Load, model));
            let leaving = replicas.leaving(id).map(|model| (OrderKind::Unload, model));
            if let Some((kind, model)) = loading.chain(leaving).next()
                && !self.pending.contains_key(id)
            {
                let order = PendingOrder {
                    kind,
                    model: model.clone(),
                    since_ms: now_ms,
                    send_ms: Some(now_ms),
                };
                self.pending.insert(id.clone(), order);
            }
        }
        let shows = |(id, model, name): &AdapterPlace, kind: OrderKind| {
            let held = records.get(id).and_then(|record| record.models.get(model));
            let held = held.is_some_and(|adapters| adapters.contains(name));
            held == (kind == OrderKind::Load)
        };
        self.adapters_pending.retain(|place, order| {
            now_ms < order.since_ms + ADAPTER_ORDER_MS && !shows(place, order.kind)
        });
        self.adapters_used
            .retain(|(id, _, _), _| records.contains_key(id));
        self.fenced.retain(|id| records.contains_key(id));
        commands
    }

    /// Sends the orders that are due and whose commands are committed.
    fn send_due(&mut self, replicas: &ReplicaDirectory, now_ms: u64) -> Vec<EngineOrder> {
        let mut due = Vec::new();
        for (id, order) in &mut self.pending {
            let is_due = order.send_ms.is_some_and(|at_ms| at_ms <= now_ms);
            if is_due && under_way(replicas, id, order) {
                order.send_ms = None;
                due.push((id.clone(), order.kind, order.model.clone()));
            }
        }
        let records = replicas.records();
        let due = due.into_iter();
        due.filter_map(|(id, kind, model)| Some(self.order(records.get(&id)?, kind, &model, None)))
            .collect()
    }

    fn order(
        &self,
        record: &ReplicaRecord,
        kind: OrderKind,
        model: &ModelName,
        adapter: Option<&str>,
    ) -> EngineOrder {
        EngineOrder {
            replica: record.id.clone(),
            address: record.address,
            holder: self.holder.clone(),
            fence: self.term,
            kind,
            model: model.clone(),
            adapter: adapter.map(str::to_owned),
        }
    }

    fn may_order(&self, record: &ReplicaRecord) -> bool {
        record.phase == ReplicaPhase::Ready && !self.fenced.contains(&record.id)
    }

    fn grant_wishes(
        &mut self,
        state: &SiteState,
        engines: &[(&ServiceName, &EngineSpec)],
        now_ms: u64,
        actions: &mut FleetActions,
    ) {
        for wish in std::mem::take(&mut self.wishes) {
            let Some(record) = state.replicas.records().get(&wish.replica) else {
                continue;
            };
            let engine = engines.iter().find(|(name, _)| **name == record.service);
            if let Some((_, engine)) = engine {
                self.grant(record, engine, &wish, now_ms, actions);
            }
        }
    }

    fn grant(
        &mut self,
        record: &ReplicaRecord,
        engine: &EngineSpec,
        wish: &AdapterWish,
        now_ms: u64,
        actions: &mut FleetActions,
    ) {
        let Some(held) = record.models.get(&wish.model) else {
            return;
        };
        let place = (wish.replica.clone(), wish.model.clone(), wish.adapter.clone());
        let known = held.contains(&wish.adapter) || self.adapters_pending.contains_key(&place);
        let leaving = self.pending.get(&record.id);
        let leaving = leaving.is_some_and(|order| order.model == wish.model);
        if known || leaving || !self.may_order(record) {
            return;
        }
        let coming = |((id, _, _), order): &(&AdapterPlace, &AdapterOrder)| {
            *id == record.id && order.kind == OrderKind::Load
        };
        let coming = self.adapters_pending.iter().filter(coming).count();
        let held: usize = record.models.values().map(BTreeSet::len).sum();
        if coming >= ADAPTERS_AT_ONCE {
            return;
        }
        if held + coming >= engine.adapter_slots as usize {
            if let Some((model, adapter)) = self.least_used(record) {
                let victim = (record.id.clone(), model.clone(), adapter.clone());
                let going = AdapterOrder {
                    kind: OrderKind::Unload,
                    since_ms: now_ms,
                };
                self.adapters_pending.insert(victim, going);
                let order = self.order(record, OrderKind::Unload, &model, Some(&adapter));
                actions.orders.push(order);
            }
            // The wish comes again once there is room.
            return;
        }
        let coming = AdapterOrder {
            kind: OrderKind::Load,
            since_ms: now_ms,
        };
        self.adapters_pending.insert(place, coming);
        let order = self.order(record, OrderKind::Load, &wish.model, Some(&wish.adapter));
        actions.orders.push(order);
    }

    fn least_used(&self, record: &ReplicaRecord) -> Option<(ModelName, String)> {
        let held = record.models.iter();
        let held = held.flat_map(|(model, names)| names.iter().map(move |name| (model, name)));
        let used = |model: &ModelName, name: &String| {
            let place = (record.id.clone(), model.clone(), name.clone());
            let pending = self.adapters_pending.contains_key(&place);
            (!pending).then(|| self.adapters_used.get(&place).copied().unwrap_or(0))
        };
        held.filter_map(|(model, name)| Some((used(model, name)?, model, name)))
            .min()
            .map(|(_, model, name)| (model.clone(), name.clone()))
    }

    fn place(
        &mut self,
        state: &SiteState,
        service: &ServiceName,
        engine: &EngineSpec,
        now_ms: u64,
        actions: &mut FleetActions,
    ) {
        let board = self.board(state, service, engine);
        let policy = PlacePolicy {
            move_price: self.policy.move_price,
            spread: self.policy.spread,
            by_demand: self.policy.by_demand,
        };
        let wanted: BTreeSet<&ModelName> = board.site.models.keys().collect();
        let moves = placement::plan_resident(&board, &wanted, &policy, &self.demand, now_ms);
        for step in moves {
            self.order_move(state, service, &step, now_ms, actions);
        }
    }

    fn order_move(
        &mut self,
        state: &SiteState,
        service: &ServiceName,
        step: &PlaceMove,
        now_ms: u64,
        actions: &mut FleetActions,
    ) {
        let id = ReplicaId(step.target.0.clone());
        let Some(record) = state.replicas.records().get(&id) else {
            return;
        };
        if self.pending.contains_key(&id) || !self.may_order(record) {
            return;
        }
        let kind = match step.kind {
            MoveKind::Load => OrderKind::Load,
            MoveKind::Unload => OrderKind::Unload,
        };
        let pending = PendingOrder {
            kind,
            model: step.model.clone(),
            since_ms: now_ms,
            send_ms: Some(now_ms),
        };
        self.pending.insert(id.clone(), pending);
        // The order leaves once its command is committed: whoever leads next
        // must know of the room that it takes, and entries must have stopped
        // sending to what goes.
        let command = match kind {
            OrderKind::Load => {
                self.last_load_ms.insert(service.clone(), now_ms);
                Command::ReplicaLoad(id, step.model.clone())
            }
            OrderKind::Unload => Command::ReplicaUnload(id, step.model.clone()),
        };
        actions.commands.push(command);
    }

    /// The service's replicas as placement sees targets.
    fn board(&self, state: &SiteState, service: &ServiceName, engine: &EngineSpec) -> SiteState {
        let mut board = SiteState::default();
        board.last_load_ms = self.last_load_ms.get(service).copied().unwrap_or(0);
        board.site = SiteSpec {
            load_gap_ms: engine.load_gap_ms,
            loads_at_once: LOADS_AT_ONCE,
            ..SiteSpec::default()
        };
        for (name, model) in &engine.models {
            let spec = ModelSpec {
                kind: ModelKind::Base,
                weights_mib: model.weights_mb,
                kv_kib_per_token: 0,
            };
            board.site.models.insert(name.clone(), spec);
        }
        let adapter_mb = engine.models.values().map(|model| model.adapter_mb).max();
        let adapters_mb = adapter_mb.unwrap_or(0) * u64::from(engine.adapter_slots);
        let records = state.replicas.records().values();
        for record in records.filter(|record| record.service == *service) {
            self.add_target(&mut board, state, record, engine, adapters_mb);
        }
        board
    }

    fn add_target(
        &self,
        board: &mut SiteState,
        state: &SiteState,
        record: &ReplicaRecord,
        engine: &EngineSpec,
        adapters_mb: u64,
    ) {
        let target = TargetName(record.id.0.clone());
        let spec = TargetSpec {
            hall: record.hall.clone(),
            memory_mib: engine.weights_mb,
            kv_floor_mib: adapters_mb,
            accelerators: 1,
        };
        board.site.targets.insert(target.clone(), spec);
        let member = MemberInfo {
            role: MemberRole::Agent,
            incarnation: Default::default(),
            address: String::new(),
            hall: record.hall.clone(),
            leaving: record.phase != ReplicaPhase::Ready,
        };
        board.members.insert(HostName(record.id.0.clone()), member);
        let homes = board.homes.entry(target).or_default();
        let home = |phase| HomeInfo {
            phase,
            order: Position(0),
        };
        for model in record.models.keys() {
            homes.insert(model.clone(), home(HomePhase::Ready));
        }
        for model in state.replicas.loading(&record.id) {
            homes.insert(model.clone(), home(HomePhase::Loading));
        }
        for model in state.replicas.leaving(&record.id) {
            homes.insert(model.clone(), home(HomePhase::Unloading));
        }
        if let Some(order) = self.pending.get(&record.id) {
            let phase = match order.kind {
                OrderKind::Load => HomePhase::Loading,
                OrderKind::Unload => HomePhase::Unloading,
            };
            homes.insert(order.model.clone(), home(phase));
        }
    }
}
