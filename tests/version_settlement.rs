//! When the leader lets one software version count as the only one again.

mod support_replicas;

use std::collections::BTreeSet;

use dunlinspring::consensus::directory::ReplicaRecord;
use dunlinspring::consensus::software_versions::{SoftwareVersion, VersionMix};
use dunlinspring::consensus::state::{Command, SiteState, Stamped};
use dunlinspring::ids::{Position, ServiceName, VersionName};
use dunlinspring::placement::version_settlement::{OPENING_MS, VersionSettlement};
use dunlinspring::table::configuration::{
    Configuration, ConfigurationRecord, RouteKind, RouteSpec, ServiceSpec,
};
use support_replicas::ready_replica;

fn service() -> ServiceName {
    ServiceName::from("llm")
}

fn configuration() -> Configuration {
    let route = RouteSpec {
        name: "streams".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/".to_owned(),
        kind: RouteKind::Streaming,
        timeout_ms: 5_000,
        latency_goal_ms: 1_000,
        max_event_gap_ms: 1_000,
        priority: 0,
        attempts: 3,
        resumable: true,
        public: true,
        regions: BTreeSet::new(),
        split: vec![(service(), 1)],
    };
    let spec = ServiceSpec {
        max_connections: 9,
        warm_up: None,
        engine: None,
    };
    Configuration {
        version: 1,
        routes: vec![route],
        services: [(service(), spec)].into(),
        ..Configuration::default()
    }
}

/// Time for which one version must serve alone.
fn memory_ms() -> u64 {
    configuration().stream_memory_ms(&service())
}

fn commit(state: &mut SiteState, command: Command) {
    let position = Position(state.position.0 + 1);
    state.apply(position, &Stamped { at_ms: 0, command });
}

fn register(state: &mut SiteState, id: &str, version: &str) -> ReplicaRecord {
    let port = id.bytes().map(u16::from).sum::<u16>();
    let record = ReplicaRecord {
        address: ([127, 0, 0, 1], port).into(),
        ..ready_replica(id, "llm")
    };
    let version = VersionName::from(version);
    let command = Command::VersionedReplica(Box::new(record.clone()), version);
    commit(state, command);
    record
}

fn end(state: &mut SiteState, record: &ReplicaRecord) {
    commit(state, Command::ReplicaEnded(record.incarnation()));
}

/// State in which `v2` alone serves after `v1`, with its first replica.
fn released() -> SiteState {
    let mut state = SiteState::default();
    let record = ConfigurationRecord {
        configuration: configuration().into(),
        source: Default::default(),
    };
    commit(&mut state, Command::Configure(Box::new(record)));
    let old = register(&mut state, "a", "v1");
    register(&mut state, "b", "v2");
    commit(&mut state, Command::VersionsOpened(service()));
    end(&mut state, &old);
    state
}

/// The command after so many changes of the service's versions.
fn settled(changes: u64) -> Vec<Command> {
    let version = SoftwareVersion::Named(VersionName::from("v2"));
    vec![Command::VersionSettled(service(), version, changes)]
}

/// Returns when a leader settles the version, if it checks from `from_ms` on every second.
fn settled_ms(settlement: &mut VersionSettlement, state: &SiteState, from_ms: u64) -> Option<u64> {
    let mut checks = (0..200).map(|number| from_ms + number * 1_000);
    checks.find(|now_ms| {
        settlement.check(state, *now_ms) == settled(state.versions().changes(&service()))
    })
}

#[test]
fn a_version_that_serves_alone_is_settled_after_the_time_of_streams() {
    let mut state = released();
    let mut settlement = VersionSettlement::default();
    assert!(memory_ms() >= 2 * 5_000);
    let at_ms = settled_ms(&mut settlement, &state, 10_000);
    assert_eq!(at_ms, Some(10_000 + memory_ms()));
    commit(&mut state, settled(1).remove(0));
    let mix = state.versions().mixes().get(&service());
    let version = SoftwareVersion::Named(VersionName::from("v2"));
    assert_eq!(mix, Some(&VersionMix::Sole(version)));
    let later_ms = 10_000 + memory_ms() + 1_000;
    assert_eq!(settlement.check(&state, later_ms), []);
}

#[test]
fn a_new_leader_waits_anew() {
    let state = released();
    let mut first = VersionSettlement::default();
    let last_ms = 10_000 + memory_ms() - 1_000;
    for now_ms in (10_000..=last_ms).step_by(1_000) {
        assert_eq!(first.check(&state, now_ms), []);
    }
    let mut second = VersionSettlement::default();
    let at_ms = settled_ms(&mut second, &state, last_ms);
    assert_eq!(at_ms, Some(last_ms + memory_ms()));
}

#[test]
fn a_second_version_in_between_restarts_the_wait() {
    let mut state = released();
    let mut settlement = VersionSettlement::default();
    assert_eq!(settlement.check(&state, 10_000), []);
    let other = register(&mut state, "c", "v3");
    assert_eq!(settlement.check(&state, 15_000), []);
    end(&mut state, &other);
    let at_ms = settled_ms(&mut settlement, &state, 16_000);
    assert_eq!(at_ms, Some(16_000 + memory_ms()));
}

#[test]
fn a_second_version_between_two_checks_restarts_the_wait() {
    let mut state = released();
    let mut settlement = VersionSettlement::default();
    assert_eq!(settlement.check(&state, 10_000), []);
    let other = register(&mut state, "c", "v3");
    end(&mut state, &other);
    let at_ms = settled_ms(&mut settlement, &state, 11_000);
    assert_eq!(at_ms, Some(11_000 + memory_ms()));
}

/// A service at whose first version a replica serves and at whose second one another has registered.
fn opening() -> SiteState {
    let mut state = SiteState::default();
    register(&mut state, "a", "v1");
    register(&mut state, "b", "v2");
    let record = ConfigurationRecord {
        configuration: configuration().into(),
        source: Default::default(),
    };
    commit(&mut state, Command::Configure(Box::new(record)));
    state
}

#[test]
fn a_second_version_begins_streams_after_a_time() {
    let state = opening();
    let mut settlement = VersionSettlement::default();
    let mut checks = (10_000..).step_by(100);
    let opened = vec![Command::VersionsOpened(service())];
    let opened_ms = checks.find(|now_ms| settlement.check(&state, *now_ms) == opened);
    assert_eq!(opened_ms, Some(10_000 + OPENING_MS));
}

#[test]
fn a_second_version_begins_streams_at_once_where_none_can_begin_at_the_first() {
    let mut state = opening();
    let mut settlement = VersionSettlement::default();
    assert_eq!(settlement.check(&state, 10_000), []);
    commit(&mut state, Command::ReplicaDrains("a".into()));
    let opened = vec![Command::VersionsOpened(service())];
    assert_eq!(settlement.check(&state, 10_100), opened);
}

fn configure(state: &mut SiteState, configuration: Configuration) {
    let record = ConfigurationRecord {
        configuration: configuration.into(),
        source: Default::default(),
    };
    commit(state, Command::Configure(Box::new(record)));
}

/// The second configuration, with another time-out and other services of the route.
fn changed(timeout_ms: u64, split: Vec<(ServiceName, u32)>) -> Configuration {
    let mut changed = configuration();
    changed.version = 2;
    let other = changed.services[&service()].clone();
    changed.services.insert(ServiceName::from("other"), other);
    changed.routes[0].timeout_ms = timeout_ms;
    changed.routes[0].split = split;
    changed
}

/// Returns when a leader first issues a command, if it checks from `from_ms` on every second.
fn issued_ms(
    settlement: &mut VersionSettlement,
    state: &SiteState,
    from_ms: u64,
    is_wanted: impl Fn(&Command) -> bool,
) -> Option<u64> {
    let mut checks = (0..200).map(|number| from_ms + number * 1_000);
    checks.find(|now_ms| settlement.check(state, *now_ms).iter().any(&is_wanted))
}

/// A configuration with shorter time-outs, or one whose routes lead elsewhere, had the leader settle
/// a version while streams of the version before might still return.
#[test]
fn a_version_is_not_settled_while_streams_of_an_earlier_configuration_may_return() {
    let elsewhere = vec![(ServiceName::from("other"), 1)];
    for later in [changed(100, vec![(service(), 1)]), changed(100, elsewhere)] {
        let mut state = released();
        let mut settlement = VersionSettlement::default();
        assert_eq!(settlement.check(&state, 10_000), []);
        configure(&mut state, later);
        let is_settled = |command: &Command| matches!(command, Command::VersionSettled(..));
        let at_ms = issued_ms(&mut settlement, &state, 11_000, is_settled);
        assert_eq!(at_ms, Some(10_000 + memory_ms()));
    }
}

#[test]
fn earlier_routes_are_settled_after_the_time_of_their_streams_and_a_new_leader_waits_anew() {
    let mut state = SiteState::default();
    configure(&mut state, configuration());
    let elsewhere = vec![(ServiceName::from("other"), 1)];
    configure(&mut state, changed(100, elsewhere));
    assert!(state.streams().is_moved(&service()));
    let changes = state.streams().by_service()[&service()].changes;
    let is_settled = |command: &Command| {
        matches!(command, Command::EarlierRoutesSettled(name, count)
            if *name == service() && *count == changes)
    };
    let mut first = VersionSettlement::default();
    let at_ms = issued_ms(&mut first, &state, 10_000, is_settled);
    assert_eq!(at_ms, Some(10_000 + memory_ms()));
    let mut second = VersionSettlement::default();
    let at_ms = issued_ms(&mut second, &state, 40_000, is_settled);
    assert_eq!(at_ms, Some(40_000 + memory_ms()));
    commit(
        &mut state,
        Command::EarlierRoutesSettled(service(), changes),
    );
    assert!(!state.streams().is_moved(&service()));
}

#[test]
fn a_further_change_of_the_routes_restarts_the_wait() {
    let mut state = SiteState::default();
    configure(&mut state, configuration());
    let elsewhere = vec![(ServiceName::from("other"), 1)];
    configure(&mut state, changed(100, elsewhere));
    let before = state.streams().by_service()[&service()];
    let mut back = changed(200, vec![(service(), 1)]);
    back.version = 3;
    configure(&mut state, back);
    let after = state.streams().by_service()[&service()];
    assert!(after.changes > before.changes);
    // Streams that began under the first configuration may last longest.
    assert_eq!(after.keep_ms, memory_ms());
    commit(
        &mut state,
        Command::EarlierRoutesSettled(service(), before.changes),
    );
    assert!(state.streams().is_moved(&service()));
}
