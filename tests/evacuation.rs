//! Evacuated data halls: state in the log, changes sent to members, choices of entries and
//! placement of models by the leader.

mod support_place;
mod support_replicas;
mod support_state;

use std::collections::{BTreeMap, BTreeSet};

use dunlinspring::consensus::directory::ReplicaRecord;
use dunlinspring::consensus::state::{
    Change, Command, HallStanding, HomeReport, MemberRole, MoveKind, SiteState,
};
use dunlinspring::forward::need::ChoicePolicy;
use dunlinspring::forward::replica_table::{Choice, EngineBounds, Need, ReplicaTable, SendBlock};
use dunlinspring::ids::{
    EditId, HallName, HostName, ModelName, PartnerName, Position, ReplicaId, RowId, ServiceName,
    TargetName, Term,
};
use dunlinspring::placement::fleet::{FleetController, FleetPolicy};
use dunlinspring::placement::moves::{self, DemandTracker, PlacementPolicy};
use dunlinspring::placement::order::{AdapterPlacement, OrderKind};
use dunlinspring::routing::view::{SiteView, page_after};
use dunlinspring::table::configuration::{EngineModel, EngineSpec, ServiceSpec};
use dunlinspring::table::rows::{RowChange, RowEdit, RowFields, Urgency};
use dunlinspring::table::site::{ModelKind, ModelSpec, SiteSpec, TargetSpec};
use support_place::flat_location;
use support_replicas::ready_replica;
use support_state::{apply, configured};

const MODEL: &str = "m";

fn record(id: &str, port: u16, hall: &str, models: &[&str]) -> ReplicaRecord {
    let models = models.iter();
    ReplicaRecord {
        address: format!("127.0.0.1:{port}").parse().unwrap(),
        hall: HallName::from(hall),
        models: models
            .map(|model| (ModelName::from(*model), BTreeSet::new()))
            .collect(),
        ..ready_replica(id, "llm")
    }
}

/// Returns a state with two replicas that hold the model in hall `old`, an empty replica there and
/// an empty one in `new`.
fn two_halls() -> SiteState {
    let model = EngineModel {
        weights_mb: 70,
        load_ms: 1_000,
        warm_ms: None,
        disk_ms: None,
        adapters: 2,
        adapter_mb: 1,
    };
    let engine = EngineSpec {
        slots: 4,
        kv_tokens: 1_000,
        weights_mb: 150,
        adapter_slots: 2,
        event_tokens: 1,
        load_gap_ms: 0,
        models: BTreeMap::from([(ModelName::from(MODEL), model)]),
    };
    let service = ServiceSpec {
        max_connections: 9,
        warm_up: None,
        engine: Some(engine),
    };
    let mut state = configured("llm", service);
    let records = [
        record("old-1", 1, "old", &[MODEL]),
        record("old-2", 2, "old", &[MODEL]),
        record("old-3", 3, "old", &[]),
        record("new-1", 4, "new", &[]),
    ];
    for record in records {
        apply(&mut state, 0, Command::Replica(Box::new(record)));
    }
    state
}

fn evacuate(state: &mut SiteState) {
    apply(state, 0, Command::Evacuate(HallName::from("old")));
}

fn restore(state: &mut SiteState) {
    apply(state, 0, Command::Restore(HallName::from("old")));
}

#[test]
fn members_receive_an_evacuation_by_changes_and_from_an_empty_view() {
    let mut state = two_halls();
    let mut view = SiteView::default();
    view.follow(&page_after(&state, view.position));
    evacuate(&mut state);
    let once = state.changed();
    // Repeating the command changes nothing.
    evacuate(&mut state);
    assert_eq!(state.changed(), once);
    let page = page_after(&state, view.position);
    let expected = Change::Hall(HallName::from("old"), HallStanding::Evacuated);
    assert!(page.changes.contains(&expected));
    view.follow(&page);
    let evacuated = BTreeSet::from([HallName::from("old")]);
    assert_eq!(view.evacuated, evacuated);
    let mut late = SiteView::default();
    late.follow(&page_after(&state, late.position));
    assert_eq!(late.evacuated, evacuated);
    restore(&mut state);
    view.follow(&page_after(&state, view.position));
    assert_eq!(view.evacuated, BTreeSet::new());
}

#[test]
fn a_snapshot_keeps_the_evacuated_halls() {
    let mut state = two_halls();
    evacuate(&mut state);
    let bytes = bincode::serialize(&state).unwrap();
    let read: SiteState = bincode::deserialize(&bytes).unwrap();
    assert_eq!(read.evacuated, BTreeSet::from([HallName::from("old")]));
}

#[test]
fn an_entry_sends_nothing_to_an_evacuated_hall_even_if_already_chosen() {
    let mut table = ReplicaTable::new(ChoicePolicy::default(), flat_location("old"));
    let mut state = two_halls();
    table.update_records(0, state.replicas.records());
    let need = Need {
        service: Some(ServiceName::from("llm")),
        model: Some(ModelName::from(MODEL)),
        ..Need::default()
    };
    let choose =
        |table: &ReplicaTable| table.choose(0, &need, &BTreeSet::new(), EngineBounds::default());
    let Choice::Send(chosen) = choose(&table) else {
        panic!("both replicas have free capacity");
    };
    let incarnation = state.replicas.records()[&chosen].incarnation();
    evacuate(&mut state);
    table.update_evacuated(&state.evacuated);
    assert_eq!(
        table.claim(0, &incarnation, None),
        Err(SendBlock::Evacuated)
    );
    // The model counts as absent: the leader loads it elsewhere.
    assert_eq!(choose(&table), Choice::Absent);
    // A service without models is not placed elsewhere: its requests are refused at once.
    let plain = Need {
        model: None,
        ..need.clone()
    };
    let mut of_hall = state.replicas.records().clone();
    of_hall.retain(|_, record| record.hall == HallName::from("old"));
    table.update_records(0, &of_hall);
    let choice = table.choose(0, &plain, &BTreeSet::new(), EngineBounds::default());
    assert_eq!(choice, Choice::Evacuated);
    table.update_records(0, state.replicas.records());
    restore(&mut state);
    table.update_evacuated(&state.evacuated);
    assert!(table.claim(0, &incarnation, None).is_ok());
}

fn run_leader(
    state: &mut SiteState,
    controller: &mut FleetController,
    from_ms: u64,
) -> Vec<(OrderKind, ReplicaId)> {
    let mut orders = Vec::new();
    for now_ms in (from_ms..from_ms + 3_000).step_by(100) {
        let ids: Vec<ReplicaId> = state.replicas.records().keys().cloned().collect();
        controller.on_heartbeats(now_ms, &ids);
        let actions = controller.round(state, now_ms);
        for command in actions.commands {
            apply(state, 0, command);
        }
        orders.extend(
            actions
                .orders
                .into_iter()
                .map(|order| (order.kind, order.replica)),
        );
    }
    orders
}

#[test]
fn the_leader_replaces_homes_of_an_evacuated_hall_and_places_nothing_there() {
    let mut state = two_halls();
    let policy = FleetPolicy {
        order_transit_ms: 0,
        ..FleetPolicy::default()
    };
    let mut controller = FleetController::new(policy, HostName::from("c"), Term(1), 0);
    assert_eq!(run_leader(&mut state, &mut controller, 4_000), []);
    evacuate(&mut state);
    let orders = run_leader(&mut state, &mut controller, 8_000);
    assert!(!orders.is_empty());
    let elsewhere = |(kind, id): &(OrderKind, ReplicaId)| {
        *kind == OrderKind::Load && *id == ReplicaId::from("new-1")
    };
    assert!(orders.iter().all(elsewhere), "{orders:?}");
    let adapter_request = AdapterPlacement {
        replica: ReplicaId::from("old-1"),
        model: ModelName::from(MODEL),
        adapter: "a1".to_owned(),
    };
    assert_eq!(
        controller.on_adapter_request(&state, 12_000, &adapter_request),
        (false, None)
    );
    restore(&mut state);
    assert_eq!(
        controller.on_adapter_request(&state, 12_000, &adapter_request),
        (true, None)
    );
}

/// Guards the same rule for targets with agents.
#[test]
fn homes_of_targets_in_an_evacuated_hall_are_replaced_elsewhere() {
    let model = ModelName::from(MODEL);
    let spec = ModelSpec {
        kind: ModelKind::Base,
        weights_mib: 10,
        kv_kib_per_token: 0,
    };
    let target = |hall: &str| TargetSpec {
        hall: HallName::from(hall),
        memory_mib: 100,
        kv_floor_mib: 0,
        accelerators: 1,
    };
    let site = SiteSpec {
        generation: 1,
        loads_at_once: 15,
        models: BTreeMap::from([(model.clone(), spec)]),
        targets: BTreeMap::from([
            (TargetName::from("t-old"), target("old")),
            (TargetName::from("t-new"), target("new")),
        ]),
        ..SiteSpec::default()
    };
    let row = RowEdit {
        id: EditId::from("e"),
        partner: PartnerName::from("fiji"),
        row: RowId::from("row"),
        expected: Position(0),
        change: RowChange::Put(RowFields {
            model: model.clone(),
            class: "chat".to_owned(),
            urgency: Urgency::Standard,
            weight: 1,
            max_running: 1,
            patience_ms: 1_000,
            at_most_once: false,
            whole: false,
        }),
    };
    let join = |host: &str, hall: &str| {
        let (host, hall) = (HostName::from(host), HallName::from(hall));
        Command::Join(host, MemberRole::Agent, "127.0.0.1:9".to_owned(), hall)
    };
    let mut state = SiteState::default();
    apply(&mut state, 0, Command::Site(site));
    apply(&mut state, 0, join("t-old", "old"));
    apply(&mut state, 0, join("t-new", "new"));
    apply(&mut state, 0, Command::Edit(row));
    let old = TargetName::from("t-old");
    apply(
        &mut state,
        0,
        Command::Move(old.clone(), model.clone(), MoveKind::Load),
    );
    let incarnation = state.members[&HostName::from("t-old")].incarnation;
    let resident = HomeReport::Resident;
    apply(
        &mut state,
        0,
        Command::Home(old.clone(), incarnation, model.clone(), resident),
    );
    let policy = PlacementPolicy {
        move_price: 1.0,
        spread: 1,
        by_demand: false,
    };
    let plan = |state: &SiteState| moves::plan(state, &policy, &DemandTracker::default(), 60_000);
    let homes = |state: &SiteState| {
        let mut view = SiteView::default();
        view.follow(&page_after(state, view.position));
        view.ready_homes(&model).count()
    };
    assert_eq!((plan(&state).len(), homes(&state)), (0, 1));
    evacuate(&mut state);
    let planned = plan(&state);
    let loads: Vec<&TargetName> = planned.iter().map(|planned| &planned.target).collect();
    assert_eq!(loads, [&TargetName::from("t-new")]);
    assert_eq!(homes(&state), 0);
    restore(&mut state);
    assert_eq!((plan(&state).len(), homes(&state)), (0, 1));
}
