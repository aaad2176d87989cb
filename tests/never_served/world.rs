//! Simulation of callers, a leader, and replicas that are lost and carry out orders late.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use dunlinspring::consensus::directory::{HeartbeatStatus, ReplicaPhase, ReplicaRecord};
use dunlinspring::consensus::state::{Command, SiteState};
use dunlinspring::ids::{HallName, HostName, ModelName, ReplicaId, Term};
use dunlinspring::placement::fleet::{FleetController, FleetPolicy};
use dunlinspring::placement::order::{AdapterPlacement, OrderKind, OrderOutcome, ReplicaOrder};
use dunlinspring::placement::report::EntryReport;
use dunlinspring::placement::unserved::{RefusedNames, ServedName};
use dunlinspring::table::configuration::{EngineModel, EngineSpec, ServiceSpec};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::support_replicas::ready_replica;
use crate::support_state::{apply, configured};

/// Duration of one step, in milliseconds.
const STEP_MS: u64 = 10;
/// Time between two heartbeats of a replica, and two reports of an entry, in milliseconds.
const REPORT_MS: u64 = 500;
/// Time after which an order without a response is sent again: the timeout of a call, and the time
/// until the engine's report shows the effect of the order, in milliseconds.
const RETRY_MS: u64 = 700;
/// When copies of an order are sent while it has no response, in milliseconds.
const COPIES_MS: [u64; 3] = [0, 100, 200];
/// Number of attempts of one order.
const MAX_ATTEMPTS: u32 = 4;
/// When a late order is carried out, in milliseconds after it was sent.
const LATE_MS: std::ops::Range<u64> = 2_000..12_000;
/// Share of the requests that find a replica of their model with free capacity.
const ROOM_SHARE: f64 = 0.7;
/// Memory of a replica, in MB: three models and its adapters.
const WEIGHTS_MB: u64 = 230_000;
/// Size of a model, in MB.
const MODEL_MB: u64 = 70_000;
/// Time to load a model from the weight store, in milliseconds.
pub const LOAD_MS: u64 = 6_000;
/// Time for which a model has a home without being requested after which its callers no longer count
/// as waiting, in milliseconds: a turn of two loads.
const OFFER_MS: u64 = 2 * LOAD_MS;
/// Adapter slots of a replica.
pub const SLOTS: usize = 8;

/// Size of a site and its demand.
#[derive(Clone, Debug)]
pub struct SiteSize {
    /// Number of replicas.
    pub replicas: usize,
    /// Number of adapters of each model.
    pub adapters: Vec<u32>,
    /// Homes of each model at the start.
    pub homes: Vec<usize>,
    /// Requested names: model, adapter, and requests per second.
    pub demand: Vec<(usize, Option<u32>, f64)>,
    /// Number of entries, over which requests are balanced.
    pub entries: usize,
    /// Time that a model takes to be unloaded, in milliseconds: its runs end first.
    pub unload_ms: u64,
    /// Time to load a model that the replica has held before, in milliseconds, if it keeps copies.
    pub disk_ms: Option<u64>,
}

pub fn model(number: usize) -> ModelName {
    ModelName(format!("m{number:02}"))
}

/// What an engine holds and executes.
struct Engine {
    record: ReplicaRecord,
    alive: bool,
    unload_ms: u64,
    disk_ms: Option<u64>,
    orders_taken: u64,
    /// The model order that is being executed, and when it ends.
    executing: Option<(u64, OrderKind, ModelName)>,
    /// Orders that are carried out later: when, the order, and the expected count.
    late: Vec<(u64, ReplicaOrder, u64)>,
}

impl Engine {
    /// Carries out an order, if it expects the right count.
    fn execute(&mut self, now_ms: u64, order: &ReplicaOrder, expected: u64) -> OrderOutcome {
        if self.executing.is_some() || self.orders_taken != expected {
            return OrderOutcome::Busy;
        }
        let models = &mut self.record.models;
        let outcome = match (&order.adapter, order.kind) {
            (Some(name), OrderKind::Load) => match models.get_mut(&order.model) {
                None => return OrderOutcome::Refused,
                Some(adapters) if adapters.contains(name) => return OrderOutcome::Held,
                Some(adapters) => {
                    adapters.insert(name.clone());
                    OrderOutcome::Taken
                }
            },
            (Some(name), OrderKind::Unload) => {
                let adapters = models.get_mut(&order.model);
                if !adapters.is_some_and(|adapters| adapters.remove(name)) {
                    return OrderOutcome::Held;
                }
                OrderOutcome::Held
            }
            (None, OrderKind::Load) if models.contains_key(&order.model) => {
                return OrderOutcome::Held;
            }
            (None, OrderKind::Unload) if !models.contains_key(&order.model) => {
                return OrderOutcome::Held;
            }
            (None, kind) => {
                let disk_ms = self
                    .disk_ms
                    .filter(|_| self.record.on_disk.contains(&order.model));
                let takes_ms = match kind {
                    OrderKind::Load => disk_ms.unwrap_or(LOAD_MS),
                    OrderKind::Unload => self.unload_ms,
                };
                self.executing = Some((now_ms + takes_ms, kind, order.model.clone()));
                OrderOutcome::Taken
            }
        };
        self.orders_taken += 1;
        self.check_limits();
        outcome
    }

    /// An engine that is ordered to load more than it can hold crashes.
    fn check_limits(&self) {
        let loading = self.executing.iter();
        let loading = loading.filter(|(_, kind, _)| *kind == OrderKind::Load);
        let models = (self.record.models.len() + loading.count()) as u64;
        assert!(models * MODEL_MB <= WEIGHTS_MB, "{models} models");
        let adapters: usize = self.record.models.values().map(BTreeSet::len).sum();
        assert!(adapters <= SLOTS, "{adapters} adapters");
    }

    fn step(&mut self, now_ms: u64) {
        match &self.executing {
            Some((until_ms, kind, model)) if *until_ms <= now_ms => {
                match kind {
                    OrderKind::Load => {
                        self.record.models.insert(model.clone(), BTreeSet::new());
                        let copies = self.disk_ms.map(|_| model.clone());
                        self.record.on_disk.extend(copies);
                    }
                    OrderKind::Unload => {
                        self.record.models.remove(model);
                    }
                }
                self.executing = None;
            }
            _ => {}
        }
        let due = |late: &mut (u64, ReplicaOrder, u64)| late.0 <= now_ms;
        let due: Vec<_> = self.late.extract_if(.., due).collect();
        for (_, order, expected) in due {
            self.execute(now_ms, &order, expected);
        }
    }

    fn fulfils(&self, order: &ReplicaOrder) -> bool {
        let executing = self.executing.as_ref();
        let loading = executing.is_some_and(|(_, _, model)| *model == order.model);
        let held = self.record.models.get(&order.model);
        let there = match &order.adapter {
            Some(name) => held.is_some_and(|adapters| adapters.contains(name)),
            None => held.is_some() || loading,
        };
        there == (order.kind == OrderKind::Load) || loading
    }
}

/// An order that is being sent, as the dispatcher does it.
struct Delivery {
    order: ReplicaOrder,
    attempts: u32,
    /// When the next attempt may begin.
    next_ms: u64,
    /// Count that the last attempt without a response expected.
    unconfirmed: Option<u64>,
}

/// What callers of one name got.
#[derive(Clone, Copy, Debug, Default)]
pub struct NameRecord {
    /// Number of requests.
    pub asked: u64,
    /// Number of requests that were served.
    pub served: u64,
    /// Time of the first request, in milliseconds.
    pub first_ms: u64,
    /// Time of the last request, in milliseconds.
    pub last_ms: u64,
    /// Time of the first refusal since the last service, in milliseconds.
    refused_since_ms: Option<u64>,
    /// Time for which a request would have been served since the last one, in milliseconds.
    offered_ms: u64,
    /// Longest time without service while requests came, in milliseconds.
    pub longest_ms: u64,
}

pub struct World {
    rng: SmallRng,
    pub now_ms: u64,
    size: SiteSize,
    state: SiteState,
    controller: FleetController,
    term: u64,
    /// Without a quorum, nothing is decided or committed.
    pub has_quorum: bool,
    /// Share of the orders that get no response and are carried out late.
    pub late_share: f64,
    engines: BTreeMap<ReplicaId, Engine>,
    lanes: BTreeMap<ReplicaId, VecDeque<Delivery>>,
    refused: Vec<RefusedNames>,
    busy: BTreeMap<ModelName, f64>,
    used: BTreeSet<AdapterPlacement>,
    records: BTreeMap<ServedName, NameRecord>,
}

fn id(number: usize) -> ReplicaId {
    ReplicaId(format!("r{number:02}"))
}

fn leader(term: u64, now_ms: u64) -> FleetController {
    FleetController::new(
        FleetPolicy::default(),
        HostName::from("c"),
        Term(term),
        now_ms,
    )
}

impl World {
    pub fn new(seed: u64, size: SiteSize) -> Self {
        let specs = size.adapters.iter().enumerate().map(|(number, adapters)| {
            let spec = EngineModel {
                weights_mb: MODEL_MB,
                load_ms: LOAD_MS,
                warm_ms: None,
                disk_ms: size.disk_ms,
                adapters: *adapters,
                adapter_mb: 60,
            };
            (model(number), spec)
        });
        let engine = EngineSpec {
            slots: 32,
            kv_tokens: 100_000,
            weights_mb: WEIGHTS_MB,
            adapter_slots: SLOTS as u32,
            event_tokens: 1,
            load_gap_ms: 120,
            models: specs.collect(),
        };
        let service = ServiceSpec {
            max_connections: 100,
            warm_up: None,
            engine: Some(engine),
        };
        let mut world = Self {
            rng: SmallRng::seed_from_u64(seed),
            now_ms: 0,
            state: configured("llm", service),
            controller: leader(1, 0),
            term: 1,
            has_quorum: true,
            late_share: 0.0,
            engines: BTreeMap::new(),
            lanes: BTreeMap::new(),
            refused: vec![RefusedNames::default(); size.entries],
            busy: BTreeMap::new(),
            used: BTreeSet::new(),
            records: BTreeMap::new(),
            size,
        };
        world.start_replicas();
        world
    }

    fn start_replicas(&mut self) {
        for number in 0..self.size.replicas {
            let record = ReplicaRecord {
                address: format!("127.0.0.1:{}", number + 1).parse().unwrap(),
                hall: HallName(format!("h{}", number % 3)),
                seq: 1,
                ..ready_replica(id(number), "llm")
            };
            let engine = Engine {
                record,
                alive: true,
                unload_ms: self.size.unload_ms,
                disk_ms: self.size.disk_ms,
                orders_taken: 0,
                executing: None,
                late: Vec::new(),
            };
            self.engines.insert(id(number), engine);
        }
        let homes = self.size.homes.clone();
        for (number, count) in homes.into_iter().enumerate() {
            let free = |engine: &&mut Engine| {
                engine.record.models.len() < 3 && !engine.record.models.contains_key(&model(number))
            };
            let mut free: Vec<&mut Engine> = self.engines.values_mut().filter(free).collect();
            free.sort_by_key(|engine| engine.record.models.len());
            for engine in free.into_iter().take(count) {
                let models = &mut engine.record.models;
                models.insert(model(number), BTreeSet::new());
                let copies = self.size.disk_ms.map(|_| model(number));
                engine.record.on_disk.extend(copies);
            }
        }
    }

    /// Runs the world for a time, with callers or without.
    pub fn run(&mut self, for_ms: u64, with_callers: bool) {
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms {
            self.now_ms += STEP_MS;
            let now_ms = self.now_ms;
            for engine in self.engines.values_mut().filter(|engine| engine.alive) {
                engine.step(now_ms);
            }
            self.deliver();
            if now_ms.is_multiple_of(REPORT_MS) {
                self.record_offers();
                self.send_heartbeats();
                self.report();
            }
            if with_callers {
                self.request_names();
            }
            if self.has_quorum {
                let actions = self.controller.round(&self.state, now_ms);
                for command in actions.commands {
                    apply(&mut self.state, now_ms, command);
                }
                actions
                    .orders
                    .into_iter()
                    .for_each(|order| self.queue(order));
            }
        }
    }

    fn queue(&mut self, order: ReplicaOrder) {
        let lane = self.lanes.entry(order.replica.clone()).or_default();
        lane.push_back(Delivery {
            order,
            attempts: 0,
            next_ms: 0,
            unconfirmed: None,
        });
    }

    /// Sends the first order of each replica's line, as the dispatcher does.
    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let mut done = Vec::new();
        for (id, lane) in &mut self.lanes {
            let engine = self.engines.get_mut(id).expect("known");
            let Some(delivery) = lane.front_mut().filter(|first| first.next_ms <= now_ms) else {
                continue;
            };
            delivery.next_ms = now_ms + RETRY_MS;
            let order = &delivery.order;
            let count = engine.orders_taken;
            let confirmed = delivery.unconfirmed.is_some_and(|sent| count > sent);
            let outcome = match engine.alive {
                true if confirmed && engine.fulfils(order) => Some(match order.kind {
                    OrderKind::Load => OrderOutcome::Taken,
                    OrderKind::Unload => OrderOutcome::Held,
                }),
                _ if delivery.attempts >= MAX_ATTEMPTS => Some(OrderOutcome::Unknown),
                true => {
                    let mut late = COPIES_MS.iter().take_while(|copy_ms| {
                        let is_late = self.rng.random_bool(self.late_share);
                        if is_late {
                            let at_ms = now_ms + *copy_ms + self.rng.random_range(LATE_MS);
                            engine.late.push((at_ms, order.clone(), count));
                            delivery.unconfirmed = Some(count);
                        }
                        is_late
                    });
                    match late.by_ref().count() == COPIES_MS.len() {
                        true => None,
                        false => match engine.execute(now_ms, order, count) {
                            OrderOutcome::Busy if delivery.unconfirmed.is_some() => {
                                Some(OrderOutcome::Unknown)
                            }
                            outcome => Some(outcome),
                        },
                    }
                }
                false => None,
            };
            delivery.attempts += 1;
            if let Some(outcome) = outcome {
                let delivery = lane.pop_front().expect("checked");
                done.push((delivery.order, outcome));
            }
        }
        for (order, outcome) in done {
            if order.fence == self.controller.term() && self.has_quorum {
                for command in self.controller.on_outcome(now_ms, &order, outcome) {
                    apply(&mut self.state, now_ms, command);
                }
            }
        }
    }

    fn send_heartbeats(&mut self) {
        let mut seen = Vec::new();
        for engine in self.engines.values_mut().filter(|engine| engine.alive) {
            engine.record.seq += 1;
            seen.push(engine.record.clone());
        }
        if !self.has_quorum {
            return;
        }
        let ids: Vec<ReplicaId> = seen.iter().map(|record| record.id.clone()).collect();
        self.controller.on_heartbeats(self.now_ms, &ids);
        for record in seen {
            let replicas = &self.state.replicas;
            if replicas.compare_heartbeat(&record, self.now_ms) == HeartbeatStatus::New {
                apply(
                    &mut self.state,
                    self.now_ms,
                    Command::Replica(Box::new(record)),
                );
            }
        }
    }

    fn report(&mut self) {
        let (busy, used) = (
            std::mem::take(&mut self.busy),
            std::mem::take(&mut self.used),
        );
        if !self.has_quorum {
            return;
        }
        for (number, names) in self.refused.iter_mut().enumerate() {
            let first = number == 0;
            let report = EntryReport {
                host: format!("e{number}"),
                busy: if first { busy.clone() } else { BTreeMap::new() },
                adapters: if first { used.clone() } else { BTreeSet::new() },
                unserved: names.report(self.now_ms),
                ..EntryReport::default()
            };
            self.controller.on_report(self.now_ms, report);
        }
    }

    fn request_names(&mut self) {
        for number in 0..self.size.demand.len() {
            let (base, adapter, rate) = self.size.demand[number];
            if self.rng.random_bool(rate * STEP_MS as f64 / 1_000.0) {
                let name = ServedName {
                    model: model(base),
                    adapter: adapter.map(|number| format!("a{number}")),
                };
                self.request(name);
            }
        }
    }

    /// Records which models a request would have been served for. Adapters are brought by requests.
    fn record_offers(&mut self) {
        let mut records = std::mem::take(&mut self.records);
        let models = records
            .iter_mut()
            .filter(|(name, _)| name.adapter.is_none());
        for (name, record) in models {
            match self.homes(&name.model).is_empty() {
                true => record.offered_ms = 0,
                false => record.offered_ms += REPORT_MS,
            }
            if record.offered_ms >= OFFER_MS {
                record.refused_since_ms = None;
            }
        }
        self.records = records;
    }

    /// Returns the living replicas that hold a model and take requests for it.
    fn homes(&self, model: &ModelName) -> Vec<ReplicaId> {
        let homes = self.state.replicas.records().values().filter(|record| {
            let engine = &self.engines[&record.id];
            let real = engine.alive && engine.record.models.contains_key(model);
            real && record.phase != ReplicaPhase::Draining && record.models.contains_key(model)
        });
        homes.map(|record| record.id.clone()).collect()
    }

    /// One request, as an entry handles it.
    fn request(&mut self, name: ServedName) {
        let entry = self.rng.random_range(0..self.size.entries);
        let now_ms = self.now_ms;
        let homes = self.homes(&name.model);
        let holder = homes.iter().find(|id| match &name.adapter {
            Some(adapter) => {
                let held = &self.state.replicas.records()[*id];
                let real = &self.engines[*id].record;
                held.holds_adapter(&name.model, adapter) && real.holds_adapter(&name.model, adapter)
            }
            None => true,
        });
        let record = self.records.entry(name.clone()).or_default();
        if record.asked == 0 {
            record.first_ms = now_ms;
        }
        record.asked += 1;
        record.last_ms = now_ms;
        let busy = self.busy.entry(name.model.clone()).or_default();
        if let Some(holder) = holder {
            *busy += 0.3;
            record.served += 1;
            record.refused_since_ms = None;
            self.refused[entry].record_service(&name);
            self.used
                .extend(name.adapter.clone().map(|adapter| AdapterPlacement {
                    replica: holder.clone(),
                    model: name.model.clone(),
                    adapter,
                }));
            return;
        }
        *busy += 1.0;
        let since_ms = *record.refused_since_ms.get_or_insert(now_ms);
        record.longest_ms = record.longest_ms.max(now_ms - since_ms);
        self.refused[entry].record_refusal(now_ms, &name);
        let ready =
            |id: &&ReplicaId| self.state.replicas.records()[*id].phase == ReplicaPhase::Ready;
        let ready: Vec<ReplicaId> = homes.iter().filter(ready).cloned().collect();
        let (false, Some(adapter)) = (ready.is_empty(), name.adapter) else {
            return;
        };
        if !self.has_quorum || !self.rng.random_bool(ROOM_SHARE) {
            return;
        }
        let placement = AdapterPlacement {
            replica: ready[self.rng.random_range(0..ready.len())].clone(),
            model: name.model,
            adapter,
        };
        let (_, order) = self
            .controller
            .on_adapter_request(&self.state, now_ms, &placement);
        order.into_iter().for_each(|order| self.queue(order));
    }

    /// Loses a share of the replicas for good, drawn by lot.
    pub fn lose_replicas(&mut self, share: f64) {
        let count = (self.engines.len() as f64 * share).round() as usize;
        for _ in 0..count {
            let alive = self.engines.values_mut().filter(|engine| engine.alive);
            let mut alive: Vec<&mut Engine> = alive.collect();
            let number = self.rng.random_range(0..alive.len());
            alive[number].alive = false;
        }
    }

    /// Another host leads. It knows nothing but the log.
    pub fn change_leader(&mut self) {
        self.term += 1;
        self.controller = leader(self.term, self.now_ms);
        self.lanes.clear();
    }

    /// Number of requested names that no living replica holds.
    pub fn lost_names(&self) -> usize {
        let is_held = |base: usize, adapter: Option<u32>| {
            self.engines.values().any(|engine| {
                let held = engine.record.models.get(&model(base));
                let adapter = adapter.map(|number| format!("a{number}"));
                let names = held.filter(|_| engine.alive);
                names.is_some_and(|names| adapter.is_none_or(|name| names.contains(&name)))
            })
        };
        let demand = self.size.demand.iter();
        demand
            .filter(|(base, adapter, _)| !is_held(*base, *adapter))
            .count()
    }

    /// Number of requested models that no living replica holds.
    pub fn lost_models(&self) -> usize {
        let alive = self.engines.values().filter(|engine| engine.alive);
        let held: BTreeSet<&ModelName> = alive.flat_map(|e| e.record.models.keys()).collect();
        self.requested_models()
            .filter(|name| !held.contains(name))
            .count()
    }

    /// Largest number of requested adapters of one model.
    pub fn most_adapters(&self) -> usize {
        let demand = self.size.demand.iter();
        let count = |base: usize| {
            let same = self.size.demand.iter().filter(|(other, ..)| *other == base);
            same.filter(|(_, adapter, _)| adapter.is_some()).count()
        };
        demand.map(|(base, ..)| count(*base)).max().unwrap_or(0)
    }

    /// Models of the requested names.
    pub fn requested_models(&self) -> impl Iterator<Item = ModelName> {
        let demand = self.size.demand.iter();
        let models: BTreeSet<ModelName> = demand.map(|(base, _, _)| model(*base)).collect();
        models.into_iter()
    }

    /// Number of replicas that live.
    pub fn alive(&self) -> usize {
        self.engines.values().filter(|engine| engine.alive).count()
    }

    /// What callers of each name got, those that asked four times or more across 8 s.
    pub fn asked_names(&self) -> impl Iterator<Item = (&ServedName, &NameRecord)> {
        let names = self.records.iter();
        names.filter(|(_, record)| record.asked >= 4 && record.last_ms >= record.first_ms + 8_000)
    }
}
