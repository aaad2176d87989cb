//! Adapters that are preloaded before any request needs them, and which requests can be served
//! while there is no leader to load adapters.

mod support_place;
mod support_replicas;
mod support_state;

use std::collections::BTreeSet;

use dunlinspring::consensus::directory::ReplicaRecord;
use dunlinspring::consensus::state::{Command, SiteState};
use dunlinspring::forward::need::ChoicePolicy;
use dunlinspring::forward::replica_table::{Choice, EngineBounds, Need, ReplicaTable};
use dunlinspring::ids::{HallName, HostName, ModelName, ReplicaId, ServiceName, Term};
use dunlinspring::placement::fleet::{FleetController, FleetPolicy};
use dunlinspring::placement::order::OrderOutcome;
use dunlinspring::placement::preload::{
    MissingAdapters, PreloadReplica, RESERVED_SLOTS, plan_preloads,
};
use dunlinspring::table::configuration::{EngineModel, EngineSpec, ServiceSpec};
use support_place::flat_location;
use support_replicas::ready_replica;
use support_state::{apply, configured};

const SLOTS: u32 = 8;
const MODELS: u32 = 12;
const ADAPTERS: u32 = 9;

fn model(number: u32) -> ModelName {
    ModelName(format!("m{number}"))
}

fn engine() -> EngineSpec {
    let spec = EngineModel {
        weights_mb: 70,
        load_ms: 8_000,
        warm_ms: None,
        disk_ms: None,
        adapters: ADAPTERS,
        adapter_mb: 1,
    };
    EngineSpec {
        slots: 4,
        kv_tokens: 1_000,
        weights_mb: 220,
        adapter_slots: SLOTS,
        event_tokens: 1,
        load_gap_ms: 10,
        models: (0..MODELS).map(|number| (model(number), spec)).collect(),
    }
}

/// Returns a replica that holds two models and no adapters.
fn record(number: u32) -> ReplicaRecord {
    let models = [number % MODELS, (number + 5) % MODELS];
    let models = models
        .into_iter()
        .map(|number| (model(number), BTreeSet::new()));
    ReplicaRecord {
        address: format!("127.0.0.1:{}", number + 1).parse().unwrap(),
        hall: HallName::from("here"),
        models: models.collect(),
        ..ready_replica(ReplicaId(format!("r{number}")), "llm")
    }
}

fn site(replicas: u32) -> SiteState {
    let service = ServiceSpec {
        max_connections: 9,
        warm_up: None,
        engine: Some(engine()),
    };
    let mut state = configured("llm", service);
    for number in 0..replicas {
        apply(&mut state, 0, Command::Replica(Box::new(record(number))));
    }
    state
}

/// Runs a leader's rounds, in which each adapter order is taken. Returns the number of adapter
/// orders.
fn run_leader(state: &mut SiteState, for_ms: u64) -> usize {
    let mut controller =
        FleetController::new(FleetPolicy::default(), HostName::from("c"), Term(1), 0);
    let mut sent = 0;
    for now_ms in (0..for_ms).step_by(50) {
        let ids: Vec<ReplicaId> = state.replicas.records().keys().cloned().collect();
        controller.on_heartbeats(now_ms, &ids);
        let actions = controller.round(state, now_ms);
        for command in actions.commands {
            apply(state, 0, command);
        }
        for order in actions
            .orders
            .into_iter()
            .filter(|order| order.adapter.is_some())
        {
            sent += 1;
            for command in controller.on_outcome(now_ms, &order, OrderOutcome::Taken) {
                apply(state, 0, command);
            }
        }
    }
    sent
}

/// Returns the share of all adapters for which an entry can send a request without a leader.
fn served_share(state: &SiteState) -> f64 {
    let mut table = ReplicaTable::new(ChoicePolicy::default(), flat_location("here"));
    table.update_records(0, state.replicas.records());
    let bounds = EngineBounds {
        memory: 0,
        adapter_slots: SLOTS,
    };
    let served = |model: &ModelName, adapter: u32| {
        let need = Need {
            service: Some(ServiceName::from("llm")),
            model: Some(model.clone()),
            adapter: Some(format!("a{adapter}")),
            ..Need::default()
        };
        matches!(
            table.choose(0, &need, &BTreeSet::new(), bounds),
            Choice::Send(_)
        )
    };
    let all = (0..MODELS).flat_map(|number| (1..=ADAPTERS).map(move |a| (model(number), a)));
    let served = all
        .filter(|(model, adapter)| served(model, *adapter))
        .count();
    served as f64 / f64::from(MODELS * ADAPTERS)
}

/// While a leader was cut off, one request in twenty was refused: each needed an adapter that no
/// home had loaded, and only a leader orders adapter loads.
#[test]
fn requests_for_adapters_are_served_without_a_leader() {
    let mut state = site(24);
    assert_eq!(served_share(&state), 0.0);
    run_leader(&mut state, 30_000);
    assert_eq!(served_share(&state), 1.0);
}

#[test]
fn each_adapter_is_preloaded_once_and_slots_stay_free_for_requests() {
    let mut state = site(24);
    let sent = run_leader(&mut state, 30_000);
    assert_eq!(sent, (MODELS * ADAPTERS) as usize);
    for record in state.replicas.records().values() {
        let held: usize = record.models.values().map(BTreeSet::len).sum();
        assert!(
            held + RESERVED_SLOTS <= SLOTS as usize,
            "{}: {held}",
            record.id
        );
    }
}

#[test]
fn scarce_adapter_slots_go_to_the_first_models_in_the_list() {
    let home = PreloadReplica {
        id: ReplicaId::from("r"),
        models: BTreeSet::from([model(1), model(2)]),
        free_slots: RESERVED_SLOTS + 2,
        loads_allowed: 4,
    };
    let none = BTreeSet::new();
    let missing: Vec<MissingAdapters> = [
        MissingAdapters::of(&model(2), 1, &none),
        MissingAdapters::of(&model(3), 5, &none),
        MissingAdapters::of(&model(1), 5, &BTreeSet::from(["a1"])),
    ]
    .into_iter()
    .flatten()
    .collect();
    let preloads = plan_preloads(&missing, &mut [home.clone()], 9);
    let planned: Vec<(ModelName, &str)> = preloads
        .iter()
        .map(|preload| (preload.model.clone(), preload.adapter.as_str()))
        .collect();
    assert_eq!(planned, [(model(2), "a1"), (model(1), "a2")]);
    assert_eq!(plan_preloads(&missing, &mut [home.clone()], 1).len(), 1);
    let full = PreloadReplica {
        loads_allowed: 0,
        ..home
    };
    assert_eq!(plan_preloads(&missing, &mut [full], 9), []);
    let all = BTreeSet::from(["a1", "a2"]);
    assert_eq!(MissingAdapters::of(&model(1), 2, &all), None);
}

/// The refusal names the missing adapter as its cause, although all homes refused to load it.
#[test]
fn an_adapter_that_no_replica_loads_is_not_reported_as_full_replicas() {
    let state = site(1);
    let mut table = ReplicaTable::new(ChoicePolicy::default(), flat_location("here"));
    table.update_records(0, state.replicas.records());
    let need = Need {
        service: Some(ServiceName::from("llm")),
        model: Some(model(0)),
        adapter: Some("a1".to_owned()),
        ..Need::default()
    };
    let bounds = EngineBounds {
        memory: 0,
        adapter_slots: SLOTS,
    };
    let id = ReplicaId::from("r0");
    let choose = |table: &ReplicaTable| table.choose(0, &need, &BTreeSet::new(), bounds);
    assert_eq!(choose(&table), Choice::Fetch(id.clone()));
    table.record_fetch_refusal(0, &id);
    assert_eq!(choose(&table), Choice::NoAdapter);
}
