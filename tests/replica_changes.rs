//! Changes of replicas that members receive: the newest record of each replica, and only the
//! fields that members use.

mod support_replicas;

use std::collections::{BTreeMap, BTreeSet};

use dunlinspring::consensus::directory::{HeartbeatStatus, ReplicaPhase, ReplicaRecord};
use dunlinspring::consensus::state::{Change, Command, SiteState, Stamped};
use dunlinspring::ids::{ModelName, Position, ReplicaId, ServiceName};
use dunlinspring::routing::view::{SiteView, page_after};
use dunlinspring::table::configuration::{Configuration, ConfigurationRecord, ServiceSpec};
use support_replicas::ready_replica;

fn record(id: &str, port: u16) -> ReplicaRecord {
    ReplicaRecord {
        address: ([127, 0, 0, 1], port).into(),
        slots: 8,
        models: BTreeMap::from([(ModelName::from("m"), BTreeSet::new())]),
        ..ready_replica(id, "llm")
    }
}

/// Commits one command at the next position.
fn commit(state: &mut SiteState, record: &ReplicaRecord) {
    let position = Position(state.position.0 + 1);
    let command = Command::Replica(Box::new(record.clone()));
    state.apply(position, &Stamped { at_ms: 0, command });
}

#[test]
fn a_page_holds_only_the_newest_record_of_each_replica() {
    let mut state = SiteState::default();
    commit(&mut state, &record("a", 1));
    // With its first replica beside "a", the service has several software versions.
    commit(&mut state, &record("b", 99));
    let cursor = state.changed();
    for number in 0..20 {
        let mut changed = record("a", 1);
        let model = ModelName(format!("m{number}"));
        changed.models.insert(model, BTreeSet::new());
        commit(&mut state, &changed);
        commit(&mut state, &record("b", 100 + number));
    }
    let page = page_after(&state, cursor);
    let newest: Vec<(&ReplicaId, u16)> = page
        .changes
        .iter()
        .map(|change| match change {
            Change::Replica(id, Some(record)) => (id, record.address.port()),
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(
        newest,
        [(&ReplicaId::from("a"), 1), (&ReplicaId::from("b"), 119)]
    );
    let mut copy = SiteView::default();
    copy.position = cursor;
    assert!(copy.follow(&page));
    assert_eq!(copy.replicas, *state.replicas.records());
}

#[test]
fn local_copies_are_kept_in_the_log_and_not_sent_to_members() {
    let mut state = SiteState::default();
    commit(&mut state, &record("a", 1));
    let published = state.changed();
    let mut copies = record("a", 1);
    copies.in_memory.insert(ModelName::from("m"));
    copies.on_disk.insert(ModelName::from("n"));
    commit(&mut state, &copies);
    assert_eq!(state.changed(), published);
    let held = &state.replicas.records()[&ReplicaId::from("a")];
    assert_eq!((held.in_memory.len(), held.on_disk.len()), (1, 1));
    let page = page_after(&state, Position(0));
    let published = page.changes.iter().find_map(|change| match change {
        Change::Replica(_, record) => record.as_ref(),
        _ => None,
    });
    assert_eq!(published, Some(&record("a", 1)));
}

/// A heartbeat for a service that is not in the configuration comes from a foreign replica.
#[test]
fn a_replica_of_an_unknown_service_changes_nothing() {
    let mut state = SiteState::default();
    let service = ServiceSpec {
        max_connections: 9,
        warm_up: None,
        engine: None,
    };
    let named = |version: u64, names: &[&str]| {
        let services = names
            .iter()
            .map(|name| (ServiceName::from(*name), service.clone()));
        let configuration = Configuration {
            version,
            services: services.collect(),
            ..Configuration::default()
        };
        Command::Configure(Box::new(ConfigurationRecord {
            configuration: configuration.into(),
            source: Default::default(),
        }))
    };
    let apply = |state: &mut SiteState, command: Command| {
        let position = Position(state.position.0 + 1);
        state.apply(position, &Stamped { at_ms: 0, command });
    };
    // Replicas may register before the first configuration.
    commit(&mut state, &record("a", 1));
    apply(&mut state, named(1, &["llm"]));
    let mut foreign = record("b", 1);
    foreign.service = ServiceName::from("other");
    assert_eq!(state.compare_heartbeat(&foreign), HeartbeatStatus::Foreign);
    let before = state.replicas.clone();
    commit(&mut state, &foreign);
    assert_eq!(state.replicas, before);
    let mut taken_over = record("a", 1);
    taken_over.service = ServiceName::from("other");
    assert_eq!(
        state.compare_heartbeat(&taken_over),
        HeartbeatStatus::Foreign
    );
    // Heartbeats of a replica whose service was removed still count, as it may wait for the
    // acknowledgement that it may shut down.
    apply(&mut state, named(2, &["other"]));
    let mut leaves = record("a", 1);
    leaves.phase = ReplicaPhase::Draining;
    assert_eq!(state.compare_heartbeat(&leaves), HeartbeatStatus::New);
    commit(&mut state, &leaves);
    let held = &state.replicas.records()[&ReplicaId::from("a")];
    assert_eq!(held.phase, ReplicaPhase::Draining);
}
