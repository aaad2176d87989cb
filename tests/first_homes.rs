//! A model that is requested without having a home gets one before any other model gets more.

mod support_replicas;
mod support_state;

use std::collections::{BTreeMap, BTreeSet};

use dunlinspring::consensus::state::Command;
use dunlinspring::ids::{HallName, HostName, ModelName, ReplicaId, Term};
use dunlinspring::placement::fleet::{FleetController, FleetPolicy};
use dunlinspring::placement::fleet_plan::{PlanModel, PlanReplica, plan};
use dunlinspring::placement::order::OrderKind;
use dunlinspring::placement::report::EntryReport;
use dunlinspring::placement::unserved::{RefusedNames, ServedName};
use dunlinspring::table::configuration::{EngineModel, EngineSpec, ServiceSpec};

const MODEL_MB: u64 = 70;
const LOAD_MS: u64 = 9_000;
const PRICE: f64 = 1.0;

fn name(text: &str) -> ModelName {
    ModelName::from(text)
}

fn replica(id: &str, held: &[&str]) -> PlanReplica {
    PlanReplica {
        id: ReplicaId::from(id),
        hall: HallName::from("here"),
        version: None,
        accepts_orders: true,
        first_homes_only: false,
        adapters: BTreeMap::new(),
        protected: BTreeSet::new(),
        free_mb: 0,
        held: held.iter().copied().map(name).collect(),
        loading: BTreeSet::new(),
        cached_load_ms: BTreeMap::new(),
    }
}

fn model(level: f64, unserved_ms: u64) -> PlanModel {
    PlanModel {
        weights_mb: MODEL_MB,
        load_ms: LOAD_MS,
        level,
        is_requested: true,
        unserved_adapters: 0,
        unserved_ms,
        stream_ms: 0,
    }
}

fn models<const N: usize>(specs: [(&str, PlanModel); N]) -> BTreeMap<ModelName, PlanModel> {
    BTreeMap::from(specs.map(|(text, model)| (name(text), model)))
}

#[test]
fn a_waiting_model_takes_the_place_of_a_further_home_whatever_its_demand() {
    let models = models([
        ("busy", model(400.0, 0)),
        ("rare", model(0.1, 2 * LOAD_MS)),
        ("other", model(1.0, 0)),
    ]);
    let mut in_turn = replica("r3", &["other"]);
    in_turn.protected.insert(name("other"));
    let replicas = vec![replica("r1", &["busy"]), replica("r2", &["busy"]), in_turn];
    let steps = plan(replicas, &models, PRICE, 1);
    let exchange = steps
        .iter()
        .find(|step| step.for_model == Some(name("rare")));
    let exchange = exchange.expect("a place for the model without a home");
    assert_eq!(exchange.kind, OrderKind::Unload);
    assert_eq!(
        exchange.model,
        name("busy"),
        "the other home is in its turn"
    );
}

#[test]
fn no_model_gets_a_further_home_while_one_waits_for_its_first() {
    let models = models([("busy", model(400.0, 0)), ("rare", model(0.1, 2_000))]);
    let mut open = replica("r2", &[]);
    open.free_mb = MODEL_MB;
    open.cached_load_ms.insert(name("busy"), 1_000);
    let replicas = vec![replica("r1", &["busy"]), open];
    // The interval between loads from the store has not passed.
    assert_eq!(plan(replicas.clone(), &models, PRICE, 0), []);
    let steps = plan(replicas, &models, PRICE, 1);
    assert_eq!((steps.len(), &steps[0].model), (1, &name("rare")));
}

/// Callers of adapters without service wait as well.
#[test]
fn the_homes_of_a_model_stay_while_its_adapters_wait() {
    let crowded = PlanModel {
        unserved_adapters: 4,
        ..model(400.0, 0)
    };
    let models = models([("busy", crowded), ("rare", model(0.1, 2 * LOAD_MS))]);
    let full = vec![replica("r1", &["busy"]), replica("r2", &["busy"])];
    assert_eq!(plan(full, &models, PRICE, 1), []);
    let mut open = replica("r2", &[]);
    open.free_mb = MODEL_MB;
    let steps = plan(vec![replica("r1", &["busy"]), open], &models, PRICE, 1);
    assert_eq!((steps.len(), &steps[0].model), (1, &name("rare")));
}

#[test]
fn the_model_that_has_waited_longest_gets_its_first_home_first() {
    let models = models([
        ("asked", model(9.0, 2 * LOAD_MS)),
        ("busy", model(400.0, 0)),
        ("rare", model(0.1, 2 * LOAD_MS + 1_000)),
    ]);
    let replicas = vec![replica("r1", &["busy"]), replica("r2", &["busy"])];
    let steps = plan(replicas, &models, PRICE, 1);
    assert_eq!(steps[0].for_model, Some(name("rare")));
}

/// A load-balanced caller meets another entry at each attempt.
#[test]
fn refusals_at_different_entries_are_one_claim() {
    let spec = EngineModel {
        weights_mb: MODEL_MB,
        load_ms: LOAD_MS,
        warm_ms: None,
        disk_ms: None,
        adapters: 0,
        adapter_mb: 1,
    };
    let engine = EngineSpec {
        slots: 4,
        kv_tokens: 1_000,
        weights_mb: MODEL_MB,
        adapter_slots: 0,
        event_tokens: 1,
        load_gap_ms: 700,
        models: ["busy", "rare"].map(|text| (name(text), spec)).into(),
    };
    let service = ServiceSpec {
        max_connections: 10,
        warm_up: None,
        engine: Some(engine),
    };
    let mut state = support_state::configured("llm", service);
    let mut holder = support_replicas::ready_replica("r1", "llm");
    holder.models.insert(name("busy"), BTreeSet::new());
    support_state::apply(&mut state, 0, Command::Replica(Box::new(holder)));
    let policy = FleetPolicy::default();
    let mut controller = FleetController::new(policy, HostName::from("c"), Term(1), 0);
    let rare = ServedName {
        model: name("rare"),
        adapter: None,
    };
    let mut entries = vec![RefusedNames::default(); 5];
    for now_ms in (500..=12_000).step_by(500) {
        if now_ms % 2_000 == 0 && now_ms <= 10_000 {
            entries[now_ms as usize / 2_000 - 1].record_refusal(now_ms, &rare);
        }
        for (number, names) in entries.iter_mut().enumerate() {
            let report = EntryReport {
                host: format!("e{number}"),
                unserved: names.report(now_ms),
                ..EntryReport::default()
            };
            controller.on_report(now_ms, report);
        }
    }
    let summary = controller.unserved_summary(12_000);
    assert_eq!((summary.names, summary.longest_ms), (1, 10_000));
}
