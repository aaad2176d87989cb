//! Placement of models while a service runs several software versions: homes that streams of a
//! version may need again stay loaded.

mod support_replicas;

use std::collections::{BTreeMap, BTreeSet};

use dunlinspring::consensus::directory::{ReplicaPhase, ReplicaRecord};
use dunlinspring::consensus::software_versions::SoftwareVersion;
use dunlinspring::consensus::state::{Command, SiteState, Stamped};
use dunlinspring::ids::{
    HallName, HostName, ModelName, Position, ReplicaId, ServiceName, Term, VersionName,
};
use dunlinspring::placement::fleet::{FleetActions, FleetController, FleetPolicy};
use dunlinspring::placement::fleet_plan::{PlanModel, PlanReplica, plan};
use dunlinspring::placement::order::{OrderKind, OrderOutcome, ReplicaOrder};
use dunlinspring::placement::report::EntryReport;
use dunlinspring::table::configuration::{
    Configuration, ConfigurationRecord, EngineModel, EngineSpec, RouteKind, RouteSpec, ServiceSpec,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use support_replicas::ready_replica;

const SERVICE: &str = "llm";
const MODELS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
/// Weights of a model, in MB; a replica holds two.
const MODEL_MB: u64 = 70;
/// Time after which an order of a new leader may be sent, in milliseconds.
const LEADER_WAIT_MS: u64 = 4_000;
/// Longest time that a stream lasts, in milliseconds.
const STREAM_MS: u64 = 15_000;
/// Time for which streams may return after they ran, in milliseconds.
const STREAM_MEMORY_MS: u64 = 2 * STREAM_MS + 10_000;

fn home(id: &str, port: u16, models: &[&str]) -> ReplicaRecord {
    let models = models
        .iter()
        .map(|model| (ModelName::from(*model), BTreeSet::new()));
    ReplicaRecord {
        address: ([127, 0, 0, 1], port).into(),
        hall: HallName::from("here"),
        models: models.collect(),
        ..ready_replica(id, SERVICE)
    }
}

fn stream_route() -> RouteSpec {
    RouteSpec {
        name: "streams".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/".to_owned(),
        kind: RouteKind::Streaming,
        timeout_ms: STREAM_MS,
        latency_goal_ms: 1_000,
        max_event_gap_ms: 500,
        priority: 1,
        attempts: 2,
        resumable: true,
        public: false,
        regions: BTreeSet::new(),
        split: vec![(ServiceName::from(SERVICE), 1)],
    }
}

/// A leader's controller, and a state that applies commands as they are proposed.
struct VersionedFleet {
    state: SiteState,
    controller: FleetController,
    orders: Vec<ReplicaOrder>,
}

impl VersionedFleet {
    fn new(models: &[&str]) -> Self {
        let spec = EngineModel {
            weights_mb: MODEL_MB,
            load_ms: 9_000,
            warm_ms: Some(800),
            disk_ms: Some(2_000),
            adapters: 0,
            adapter_mb: 0,
        };
        let models = models.iter().map(|name| (ModelName::from(*name), spec));
        let engine = EngineSpec {
            slots: 4,
            kv_tokens: 1_000,
            weights_mb: 2 * MODEL_MB + 1,
            adapter_slots: 0,
            event_tokens: 1,
            load_gap_ms: 700,
            models: models.collect(),
        };
        let service = ServiceSpec {
            max_connections: 10,
            warm_up: None,
            engine: Some(engine),
        };
        let configuration = Configuration {
            version: 1,
            services: BTreeMap::from([(ServiceName::from(SERVICE), service)]),
            routes: vec![stream_route()],
            ..Configuration::default()
        };
        let record = ConfigurationRecord {
            configuration: configuration.into(),
            source: Default::default(),
        };
        let policy = FleetPolicy::default();
        let mut fleet = Self {
            state: SiteState::default(),
            controller: FleetController::new(policy, HostName::from("c1"), Term(1), 0),
            orders: Vec::new(),
        };
        fleet.apply(Command::Configure(Box::new(record)));
        fleet
    }

    fn apply(&mut self, command: Command) {
        let position = Position(self.state.position.0 + 1);
        self.state.apply(position, &Stamped { at_ms: 0, command });
    }

    /// Registers a replica; `version` is the software version that it names.
    fn register(&mut self, record: &ReplicaRecord, version: Option<&str>) {
        let record = Box::new(record.clone());
        self.apply(match version {
            Some(version) => Command::VersionedReplica(record, VersionName::from(version)),
            None => Command::Replica(record),
        });
    }

    fn round(&mut self, now_ms: u64, busy: &[(&str, f64)]) -> FleetActions {
        let levels = busy
            .iter()
            .map(|(model, level)| (ModelName::from(*model), *level));
        let report = EntryReport {
            host: "e1".to_owned(),
            busy: levels.collect(),
            ..EntryReport::default()
        };
        self.controller.on_report(now_ms, report);
        let ids: Vec<ReplicaId> = self.state.replicas.records().keys().cloned().collect();
        self.controller.on_heartbeats(now_ms, &ids);
        let actions = self.controller.round(&self.state, now_ms);
        for command in &actions.commands {
            self.apply(command.clone());
        }
        self.orders.extend(actions.orders.iter().cloned());
        actions
    }

    fn rounds(&mut self, from_ms: u64, until_ms: u64, busy: &[(&str, f64)]) {
        for now_ms in (from_ms..until_ms).step_by(100) {
            self.round(now_ms, busy);
        }
    }

    fn unloads(&self) -> Vec<(&str, &str)> {
        let unloads = self.orders.iter();
        let unloads = unloads.filter(|order| order.kind == OrderKind::Unload);
        unloads
            .map(|order| (order.replica.as_str(), order.model.as_str()))
            .collect()
    }
}

/// Returns a fleet in which model `b` can only gain a home in exchange for one of the two homes of
/// model `a` at version `v1`.
fn fleet_with_two_homes_at_v1(other: Option<&str>) -> VersionedFleet {
    let mut fleet = VersionedFleet::new(&["a", "b", "c"]);
    for (id, port) in [("r1", 1), ("r2", 2)] {
        fleet.register(&home(id, port, &["a", "c"]), Some("v1"));
    }
    let mut full = home("r3", 3, &["a", "b"]);
    full.hall = HallName::from("there");
    fleet.register(&full, other);
    fleet
}

const BUSY: [(&str, f64); 3] = [("a", 0.5), ("b", 20.0), ("c", 0.5)];

#[test]
fn the_second_home_of_a_version_is_not_unloaded_while_several_versions_serve() {
    let mut fleet = fleet_with_two_homes_at_v1(Some("v2"));
    fleet.rounds(0, 3 * LEADER_WAIT_MS, &BUSY);
    assert_eq!(fleet.unloads(), []);

    let mut fleet = fleet_with_two_homes_at_v1(Some("v1"));
    fleet.rounds(0, 3 * LEADER_WAIT_MS, &BUSY);
    assert!(!fleet.unloads().is_empty(), "one version serves");
}

#[test]
fn a_home_is_unloaded_once_one_version_is_left() {
    let mut fleet = fleet_with_two_homes_at_v1(Some("v2"));
    fleet.rounds(0, 3 * LEADER_WAIT_MS, &BUSY);
    assert_eq!(fleet.unloads(), []);
    let record = fleet.state.replicas.records()[&ReplicaId::from("r3")].clone();
    fleet.apply(Command::ReplicaEnded(record.incarnation()));
    fleet.register(&home("r4", 4, &["a", "b"]), Some("v1"));
    fleet.rounds(3 * LEADER_WAIT_MS, 4 * LEADER_WAIT_MS, &BUSY);
    assert!(!fleet.unloads().is_empty());
}

#[test]
fn a_third_home_of_a_version_is_unloaded_while_several_versions_serve() {
    let mut fleet = fleet_with_two_homes_at_v1(Some("v2"));
    fleet.register(&home("r5", 5, &["a", "c"]), Some("v1"));
    fleet.rounds(0, 3 * LEADER_WAIT_MS, &BUSY);
    let homes = |model: &str| {
        let unloaded = fleet.unloads();
        3 - unloaded.iter().filter(|(_, other)| *other == model).count()
    };
    assert!(!fleet.unloads().is_empty());
    assert!(homes("a") >= 2 && homes("c") >= 2, "{:?}", fleet.unloads());
}

#[test]
fn a_home_is_unloaded_for_a_model_without_one_while_several_versions_serve() {
    let mut fleet = VersionedFleet::new(&["a", "b", "c"]);
    for (id, port, version) in [("r1", 1, "v1"), ("r2", 2, "v1"), ("r3", 3, "v2")] {
        fleet.register(&home(id, port, &["a", "b"]), Some(version));
    }
    fleet.rounds(0, 2 * LEADER_WAIT_MS, &[("a", 1.0), ("b", 1.0), ("c", 1.0)]);
    assert_eq!(fleet.unloads().len(), 1);
}

#[test]
fn a_first_home_takes_the_place_of_one_that_no_stream_needs() {
    let replica = |id: &str, held: &[&str], version: Option<&str>| PlanReplica {
        id: ReplicaId::from(id),
        hall: HallName::from("here"),
        version: version.map(|name| SoftwareVersion::Named(VersionName::from(name))),
        accepts_orders: held.len() > 1,
        first_homes_only: false,
        adapters: BTreeMap::new(),
        protected: BTreeSet::new(),
        free_mb: 0,
        held: held.iter().map(|model| ModelName::from(*model)).collect(),
        loading: BTreeSet::new(),
        cached_load_ms: BTreeMap::new(),
    };
    let model = |level| PlanModel {
        weights_mb: MODEL_MB,
        load_ms: 9_000,
        level,
        unserved_adapters: 0,
        unserved_ms: 0,
        is_requested: false,
        stream_ms: STREAM_MS,
    };
    let levels = [("a", 3.0), ("b", 0.2), ("c", 1.0)];
    let models = levels.map(|(name, level)| (ModelName::from(name), model(level)));
    let models = BTreeMap::from(models);
    for (version, unloaded) in [(Some("v1"), "a"), (None, "b")] {
        let replicas = vec![
            replica("r1", &["a", "b"], version),
            replica("r2", &["a", "b"], version),
            replica("r3", &["a"], version),
        ];
        let steps = plan(replicas, &models, 1.0, 1);
        assert_eq!(steps[0].for_model, Some(ModelName::from("c")));
        assert_eq!(steps[0].model, ModelName::from(unloaded), "{version:?}");
    }
}

#[test]
fn a_home_of_a_model_without_streams_that_may_return_is_unloaded() {
    let mut fleet = fleet_with_two_homes_at_v1(Some("v2"));
    fleet.rounds(0, 2 * LEADER_WAIT_MS, &BUSY);
    assert_eq!(fleet.unloads(), []);
    let from_ms = 2 * LEADER_WAIT_MS;
    let until_ms = from_ms + 2 * STREAM_MEMORY_MS;
    fleet.rounds(from_ms, until_ms, &[("b", 20.0), ("c", 0.5)]);
    let unloads = fleet.unloads();
    assert!(!unloads.is_empty());
    assert!(
        unloads.iter().all(|(_, model)| *model == "a"),
        "{unloads:?}"
    );
}

/// Returns what is loaded where model `a`, with this demand, has one home at each of two versions,
/// and `copy` of it lies in the memory of another replica of `v1`.
fn loads_beside_sole_homes(level: f64, versions: [&str; 2], copy: Option<&str>) -> Vec<String> {
    let mut fleet = VersionedFleet::new(&["a", "b"]);
    fleet.register(&home("r1", 1, &["a", "b"]), Some(versions[0]));
    let mut free = home("r2", 2, &["b"]);
    free.in_memory.extend(copy.map(ModelName::from));
    fleet.register(&free, Some(versions[0]));
    fleet.register(&home("r3", 3, &["a", "b"]), Some(versions[1]));
    fleet.rounds(0, 2 * LEADER_WAIT_MS, &[("a", level), ("b", 0.1)]);
    let loads = fleet
        .orders
        .iter()
        .filter(|order| order.kind == OrderKind::Load);
    loads
        .map(|order| format!("{} at {}", order.model, order.replica))
        .collect()
}

#[test]
fn a_busy_model_gets_a_second_home_at_a_version_from_a_copy_at_hand() {
    let loads = loads_beside_sole_homes(3.0, ["v1", "v2"], Some("a"));
    assert_eq!(loads, ["a at r2"]);
    let none: [&str; 0] = [];
    assert_eq!(loads_beside_sole_homes(3.0, ["v1", "v1"], Some("a")), none);
    assert_eq!(loads_beside_sole_homes(3.0, ["v1", "v2"], None), none);
    assert_eq!(loads_beside_sole_homes(0.5, ["v1", "v2"], Some("a")), none);
}

/// Plays a drawn site whose replicas all name `version`, or none. Returns the actions of all rounds.
fn play(seed: u64, version: Option<&str>) -> Vec<FleetActions> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut fleet = VersionedFleet::new(&MODELS);
    let replicas: u16 = random.random_range(2..9);
    for port in 1..=replicas {
        let mut models: Vec<&str> = Vec::new();
        for _ in 0..random.random_range(0..3) {
            let model = MODELS[random.random_range(0..MODELS.len())];
            if !models.contains(&model) {
                models.push(model);
            }
        }
        let mut record = home(&format!("r{port}"), port, &models);
        record.hall = HallName::from(["here", "there"][random.random_range(0..2)]);
        if random.random_bool(0.3) {
            record.in_memory.insert(ModelName::from(MODELS[0]));
        }
        if random.random_bool(0.1) {
            record.phase = ReplicaPhase::Draining;
        }
        fleet.register(&record, version);
    }
    // Replicas that name no version have several, which are not being opened any more.
    fleet.apply(Command::VersionsOpened(ServiceName::from(SERVICE)));
    let mut busy: Vec<(&str, f64)> = Vec::new();
    let mut actions = Vec::new();
    for now_ms in (0..20_000).step_by(100) {
        if now_ms % 2_000 == 0 {
            let mut level = |model| (model, f64::from(random.random_range(0..6_u8)));
            busy = MODELS.into_iter().map(&mut level).collect();
        }
        let round = fleet.round(now_ms, &busy);
        for order in &round.orders {
            for command in fleet
                .controller
                .on_outcome(now_ms, order, OrderOutcome::Held)
            {
                fleet.apply(command);
            }
            // The effect shows in the next heartbeat.
            let mut record = fleet.state.replicas.records()[&order.replica].clone();
            match order.kind {
                OrderKind::Load => record.models.insert(order.model.clone(), BTreeSet::new()),
                OrderKind::Unload => record.models.remove(&order.model),
            };
            record.seq += 1;
            fleet.register(&record, version);
        }
        actions.push(round);
    }
    actions
}

#[test]
fn one_version_gets_the_same_actions_as_replicas_that_name_none() {
    let mut orders = 0;
    for seed in 0..200 {
        let named = play(seed, Some("v1"));
        let settled = |action: &Command| matches!(action, Command::VersionSettled(..));
        assert!(!named.iter().flat_map(|round| &round.commands).any(settled));
        assert_eq!(named, play(seed, None), "seed {seed}");
        orders += named.iter().map(|round| round.orders.len()).sum::<usize>();
    }
    assert!(orders > 1_000, "{orders} orders");
}
