//! Software versions of replicas in the log, and in the copies that members follow.

mod support_replicas;

use dunlinspring::consensus::directory::{HeartbeatStatus, ReplicaRecord};
use dunlinspring::consensus::software_versions::{
    ReplicaHeartbeat, SoftwareVersion, VersionMix, version_name,
};
use dunlinspring::consensus::state::{Command, SiteState, Stamped};
use dunlinspring::ids::{Position, ReplicaIncarnation, ServiceName, VersionName};
use dunlinspring::routing::view::{SiteView, page_after};
use support_replicas::ready_replica;

fn commit(state: &mut SiteState, command: Command) {
    let position = Position(state.position.0 + 1);
    state.apply(position, &Stamped { at_ms: 0, command });
}

fn register(state: &mut SiteState, record: &ReplicaRecord, version: Option<&str>) {
    let record = Box::new(record.clone());
    let command = match version {
        Some(version) => Command::VersionedReplica(record, VersionName::from(version)),
        None => Command::Replica(record),
    };
    commit(state, command);
}

fn replica(id: &str, port: u16, started_ms: u64) -> ReplicaRecord {
    ReplicaRecord {
        address: ([127, 0, 0, 1], port).into(),
        started_ms,
        ..ready_replica(id, "llm")
    }
}

fn named(version: &str) -> SoftwareVersion {
    SoftwareVersion::Named(VersionName::from(version))
}

fn mix(state: &SiteState) -> Option<&VersionMix> {
    state.versions().mixes().get(&ServiceName::from("llm"))
}

#[test]
fn a_version_belongs_to_an_incarnation_and_not_to_an_id_or_an_address() {
    let mut state = SiteState::default();
    let first = replica("a", 1, 1_000);
    register(&mut state, &first, Some("v1"));
    assert_eq!(state.versions().version(&first), named("v1"));
    let again = replica("a", 1, 2_000);
    register(&mut state, &again, Some("v2"));
    assert_eq!(state.versions().version(&again), named("v2"));
    // The ended incarnation is forgotten: its version is not known any more.
    assert_eq!(
        state.versions().version(&first),
        SoftwareVersion::Unnamed(first.incarnation())
    );
    let other = replica("b", 1, 0);
    register(&mut state, &other, None);
    assert_eq!(
        state.versions().version(&other),
        SoftwareVersion::Unnamed(other.incarnation())
    );
    assert_eq!(state.versions().named().len(), 0);
}

#[test]
fn replicas_that_name_no_version_have_no_version_in_common() {
    let mut state = SiteState::default();
    let (a, b) = (replica("a", 1, 0), replica("b", 2, 0));
    register(&mut state, &a, None);
    register(&mut state, &b, None);
    assert_ne!(state.versions().version(&a), state.versions().version(&b));
    let first = state.versions().version(&a);
    assert_eq!(mix(&state), Some(&VersionMix::Opening(first)));
}

#[test]
fn a_service_has_one_version_again_once_the_leader_says_so_and_no_other_one_serves() {
    let mut state = SiteState::default();
    register(&mut state, &replica("a", 1, 0), Some("v1"));
    register(&mut state, &replica("b", 2, 0), Some("v1"));
    assert_eq!(mix(&state), Some(&VersionMix::Sole(named("v1"))));
    register(&mut state, &replica("c", 3, 0), Some("v2"));
    assert_eq!(mix(&state), Some(&VersionMix::Opening(named("v1"))));
    let opened = Command::VersionsOpened(ServiceName::from("llm"));
    commit(&mut state, opened.clone());
    assert_eq!(mix(&state), Some(&VersionMix::Several));
    let settled = Command::VersionSettled(ServiceName::from("llm"), named("v2"), 1);
    commit(&mut state, settled.clone());
    assert_eq!(mix(&state), Some(&VersionMix::Several));
    for id in ["a", "b"] {
        let ended = ReplicaIncarnation {
            id: id.into(),
            started_ms: 0,
        };
        commit(&mut state, Command::ReplicaEnded(ended));
        // Streams of the replicas that have just ended may still be continued.
        assert_eq!(mix(&state), Some(&VersionMix::Several));
    }
    // Another version that registered and ended meanwhile may have begun streams.
    let outdated = Command::VersionSettled(ServiceName::from("llm"), named("v2"), 0);
    commit(&mut state, outdated);
    assert_eq!(mix(&state), Some(&VersionMix::Several));
    commit(&mut state, settled);
    assert_eq!(mix(&state), Some(&VersionMix::Sole(named("v2"))));
    commit(&mut state, opened);
    assert_eq!(mix(&state), Some(&VersionMix::Sole(named("v2"))));
}

#[test]
fn a_version_that_serves_after_all_others_have_ended_is_a_second_one() {
    let mut state = SiteState::default();
    register(&mut state, &replica("a", 1, 0), Some("v1"));
    let ended = replica("a", 1, 0).incarnation();
    commit(&mut state, Command::ReplicaEnded(ended));
    register(&mut state, &replica("b", 2, 0), Some("v2"));
    assert_eq!(mix(&state), Some(&VersionMix::Opening(named("v1"))));
}

#[test]
fn members_know_the_version_of_each_replica_they_know() {
    let mut state = SiteState::default();
    let mut copy = SiteView::default();
    for (number, version) in ["v1", "v1", "v2"].into_iter().enumerate() {
        let id = format!("r{number}");
        register(
            &mut state,
            &replica(&id, number as u16 + 1, 0),
            Some(version),
        );
        assert!(copy.follow(&page_after(&state, copy.position)));
        let records = copy.replicas.values();
        for record in records {
            assert_eq!(copy.version(record), state.versions().version(record));
        }
        assert_eq!(copy.version_mixes, *state.versions().mixes());
    }
    let mut fresh = SiteView::default();
    assert!(fresh.follow(&page_after(&state, Position(0))));
    assert_eq!(fresh.versions, copy.versions);
    assert_eq!(fresh.version_mixes, copy.version_mixes);
    commit(
        &mut state,
        Command::ReplicaEnded(replica("r2", 3, 0).incarnation()),
    );
    assert!(copy.follow(&page_after(&state, copy.position)));
    assert_eq!(copy.versions, *state.versions().named());
}

#[test]
fn a_heartbeat_that_names_a_version_first_is_committed() {
    let mut state = SiteState::default();
    let record = replica("a", 1, 0);
    register(&mut state, &record, None);
    let heartbeat = |version: Option<&str>| ReplicaHeartbeat {
        record: record.clone(),
        version: version.map(VersionName::from),
    };
    assert_eq!(
        state.compare_versioned(&heartbeat(None)),
        HeartbeatStatus::Known
    );
    assert_eq!(
        state.compare_versioned(&heartbeat(Some("v1"))),
        HeartbeatStatus::New
    );
    register(&mut state, &record, Some("v1"));
    assert_eq!(
        state.compare_versioned(&heartbeat(Some("v1"))),
        HeartbeatStatus::Known
    );
    assert_eq!(state.versions().version(&record), named("v1"));
}

#[test]
fn a_snapshot_written_before_versions_were_stored_is_read_with_unknown_ones() {
    let mut state = SiteState::default();
    let record = replica("a", 1, 0);
    register(&mut state, &record, None);
    let bytes = bincode::serialize(&state).unwrap();
    let versions = bincode::serialize(state.versions()).unwrap();
    let before = &bytes[..bytes.len() - versions.len()];
    let mut read: SiteState = bincode::deserialize(before).unwrap();
    assert_eq!(mix(&read), None);
    assert_eq!(
        read.versions().version(&record),
        SoftwareVersion::Unnamed(record.incarnation())
    );
    // Beside replicas whose versions are unknown, the first named version is not the only one.
    register(&mut read, &replica("b", 2, 0), Some("v1"));
    assert_eq!(mix(&read), Some(&VersionMix::Several));
}

#[test]
fn version_names_are_bounded_and_stay_different() {
    assert_eq!(version_name("  "), None);
    assert_eq!(version_name("v1"), Some(VersionName::from("v1")));
    let long = |last: char| format!("{}{last}", "x".repeat(500));
    let (one, two) = (version_name(&long('1')), version_name(&long('2')));
    assert_ne!(one, two);
    assert!(one.unwrap().as_str().len() <= 64);
}
