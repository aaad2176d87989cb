//! Origins of streams: their bounded memory, the control hosts that own them, and the steps of an
//! entry that searches for one.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use dunlinspring::consensus::software_versions::{SoftwareVersion, VersionMix};
use dunlinspring::ids::{ReplicaIncarnation, ServiceName, VersionName};
use dunlinspring::routing::stream_origins::{
    ConnectionProof, EventBinding, EventSource, HOSTS_ASKED, MAX_ORIGINS, ORIGIN_COPIES,
    OriginBatch, OriginMemory, OriginSearch, OriginSource, OriginStep, StartReport, StreamKey,
    StreamOrigin, TakeUpRefusal, bind_events, may_send, prove_connection, required_version,
};

const KEEP_MS: u64 = 1_000;

fn named(version: &str) -> SoftwareVersion {
    SoftwareVersion::Named(VersionName::from(version))
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: ServiceName::from("llm"),
        version: named(version),
    }
}

fn key(number: usize) -> StreamKey {
    StreamKey::new("account", &number.to_string())
}

fn hosts(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("10.0.0.{n}:7000")).collect()
}

#[test]
fn an_origin_is_kept_for_its_time_and_dropped_after_twice_that_time() {
    let mut memory = OriginMemory::default();
    memory.record(KEEP_MS, KEEP_MS, key(0), &origin("v1"));
    memory.record(2 * KEEP_MS - 1, KEEP_MS, key(1), &origin("v1"));
    // Older by a generation, still known.
    memory.record(2 * KEEP_MS, KEEP_MS, key(2), &origin("v1"));
    assert_eq!(memory.find(&key(0)), Some(&origin("v1")));
    assert_eq!(memory.find(&key(1)), Some(&origin("v1")));
    assert_eq!(memory.len(), 3);
    memory.record(3 * KEEP_MS, KEEP_MS, key(3), &origin("v1"));
    assert_eq!(memory.find(&key(0)), None);
    assert_eq!(memory.find(&key(1)), None);
    assert_eq!(memory.find(&key(2)), Some(&origin("v1")));
    assert_eq!(memory.len(), 2);
}

#[test]
fn the_number_of_origins_is_bounded_and_the_newest_stay() {
    let mut memory = OriginMemory::default();
    for number in 0..3 * MAX_ORIGINS {
        memory.record(1, u64::MAX, key(number), &origin("v1"));
        assert!(memory.len() <= 2 * MAX_ORIGINS);
    }
    assert_eq!(memory.find(&key(0)), None);
    for number in 2 * MAX_ORIGINS..3 * MAX_ORIGINS {
        assert!(memory.find(&key(number)).is_some());
    }
}

#[test]
fn a_stream_with_two_origins_has_none_that_is_known() {
    let mut memory = OriginMemory::default();
    memory.record(0, KEEP_MS, key(0), &origin("v1"));
    memory.record(1, KEEP_MS, key(0), &origin("v1"));
    assert_eq!(memory.find(&key(0)), Some(&origin("v1")));
    memory.record(2, KEEP_MS, key(0), &origin("v2"));
    assert_eq!(memory.find(&key(0)), None);
    // Neither a repetition nor the change of generations brings one back.
    memory.record(KEEP_MS + 3, KEEP_MS, key(0), &origin("v1"));
    assert_eq!(memory.find(&key(0)), None);
    assert_eq!(memory.of_service(&ServiceName::from("llm")).count(), 0);
}

#[test]
fn a_stream_that_is_recorded_with_another_origin_in_the_next_generation_is_unknown() {
    let mut memory = OriginMemory::default();
    memory.record(KEEP_MS, KEEP_MS, key(0), &origin("v1"));
    memory.record(2 * KEEP_MS, KEEP_MS, key(0), &origin("v2"));
    assert_eq!(memory.find(&key(0)), None);
}

#[test]
fn streams_of_one_origin_share_it() {
    let mut memory = OriginMemory::default();
    for number in 0..10 {
        memory.record(0, KEEP_MS, key(number), &origin("v1"));
    }
    let shared = memory.find(&key(0)).unwrap();
    assert!((1..10).all(|number| std::ptr::eq(shared, memory.find(&key(number)).unwrap())));
}

#[test]
fn a_batch_records_each_stream_with_its_origin() {
    let mut batch = OriginBatch {
        keep_ms: KEEP_MS,
        ..OriginBatch::default()
    };
    batch.streams.insert(origin("v1"), vec![key(0), key(1)]);
    batch.streams.insert(origin("v2"), vec![key(2)]);
    let mut memory = OriginMemory::default();
    memory.record_batch(0, &batch);
    assert_eq!(memory.find(&key(1)), Some(&origin("v1")));
    assert_eq!(memory.find(&key(2)), Some(&origin("v2")));
}

#[test]
fn a_stream_of_another_account_has_another_key() {
    assert_ne!(StreamKey::new("a", "1"), StreamKey::new("b", "1"));
    assert_ne!(StreamKey::new("a", "b1"), StreamKey::new("ab", "1"));
    assert_ne!(StreamKey::new("", "a1"), StreamKey::new("a", "1"));
}

#[test]
fn a_host_that_joins_or_leaves_moves_only_its_share() {
    const KEYS: usize = 6_000;
    let (before, after) = (hosts(9), hosts(10));
    let joined = &after[9];
    let mut first = 0;
    for number in 0..KEYS {
        let key = key(number);
        let kept = |owners: Vec<&String>| -> Vec<String> {
            let others = owners.into_iter().filter(|owner| *owner != joined);
            others.cloned().collect()
        };
        // The order of the other hosts stays.
        assert_eq!(kept(key.owners(&before)), kept(key.owners(&after)));
        first += usize::from(key.owners(&after)[0] == joined);
    }
    let share = first as f64 / KEYS as f64;
    assert!((0.08..0.12).contains(&share), "share {share}");
}

#[test]
fn owners_are_spread_evenly() {
    const KEYS: usize = 6_000;
    let hosts = hosts(8);
    for host in &hosts {
        let stored = (0..KEYS).filter(|n| key(*n).storing_hosts(&hosts).any(|h| h == host));
        let share = stored.count() as f64 / KEYS as f64;
        let expected = ORIGIN_COPIES as f64 / hosts.len() as f64;
        assert!((share - expected).abs() < 0.03, "share {share} at {host}");
    }
}

#[test]
fn copies_and_asked_hosts_overlap_after_a_host_joined_or_left() {
    let set = |hosts: Vec<&String>| -> BTreeSet<String> { hosts.into_iter().cloned().collect() };
    for number in 0..2_000 {
        let key = key(number);
        let all = hosts(9);
        for changed in 0..all.len() {
            let mut fewer = all.clone();
            let left = fewer.remove(changed);
            for (storing, asking) in [(&all, &fewer), (&fewer, &all)] {
                let copies = set(key.storing_hosts(storing).collect());
                let asked = set(key.asked_hosts(asking).collect());
                assert_eq!((copies.len(), asked.len()), (ORIGIN_COPIES, HOSTS_ASKED));
                // All copies are asked except that on the host that has left.
                let reachable: BTreeSet<String> =
                    copies.into_iter().filter(|host| *host != left).collect();
                assert!(reachable.len() >= ORIGIN_COPIES - 1);
                assert!(reachable.is_subset(&asked));
            }
        }
    }
}

fn search(key: Option<StreamKey>) -> OriginSearch {
    OriginSearch {
        key,
        service: ServiceName::from("llm"),
    }
}

#[test]
fn an_origin_is_searched_in_own_memory_then_at_the_leader_then_on_hosts() {
    let search = search(Some(key(0)));
    let known = OriginStep::Known(origin("v1"), OriginSource::Own);
    assert_eq!(
        search.first_step(Some(origin("v1")), Some(&VersionMix::Several)),
        known
    );
    assert_eq!(search.first_step(None, None), OriginStep::AskLeader);
    assert_eq!(
        search.first_step(None, Some(&VersionMix::Several)),
        OriginStep::AskHosts(key(0))
    );
    let sole = search.after_leader(Some(VersionMix::Sole(named("v1"))));
    let known = OriginStep::Known(origin("v1"), OriginSource::SoleVersion);
    assert_eq!(sole, known);
    for mix in [Some(VersionMix::Several), None] {
        assert_eq!(search.after_leader(mix), OriginStep::AskHosts(key(0)));
    }
    let known = OriginStep::Known(origin("v2"), OriginSource::Stored);
    assert_eq!(search.after_hosts(Some(origin("v2"))), known);
    assert_eq!(search.after_hosts(None), OriginStep::Unknown);
}

#[test]
fn a_stream_that_is_not_named_goes_on_only_at_a_sole_version() {
    let search = search(None);
    assert_eq!(
        search.first_step(None, Some(&VersionMix::Several)),
        OriginStep::Unknown
    );
    assert_eq!(search.first_step(None, None), OriginStep::AskLeader);
    let several = search.after_leader(Some(VersionMix::Several));
    assert_eq!(several, OriginStep::Unknown);
    assert_eq!(search.after_leader(None), OriginStep::Unknown);
}

#[test]
fn a_stream_goes_on_only_at_its_service_and_version() {
    let search = search(Some(key(0)));
    let required = |origin| search.required_origin(origin, |other| *other == search.service);
    assert_eq!(required(Some(origin("v1"))), Ok(origin("v1")));
    let unknown = required(None);
    assert_eq!(unknown, Err(TakeUpRefusal::OriginUnknown));
    let other = StreamOrigin {
        service: ServiceName::from("other"),
        ..origin("v1")
    };
    let gone = required(Some(other));
    assert_eq!(gone, Err(TakeUpRefusal::VersionGone));
}

fn incarnation(started_ms: u64) -> ReplicaIncarnation {
    ReplicaIncarnation {
        id: "r".into(),
        started_ms,
    }
}

#[test]
fn events_of_a_replaced_incarnation_bind_a_stream_to_it_alone() {
    let (old, new) = (incarnation(1), incarnation(2));
    let unnamed = SoftwareVersion::Unnamed(old.clone());
    let v1 = named("v1");
    let source = |incarnation: &ReplicaIncarnation, version: &SoftwareVersion| EventSource {
        incarnation: incarnation.clone(),
        version: version.clone(),
    };
    let sent = source(&old, &v1);
    let known = EventBinding::Known(v1.clone());
    assert_eq!(bind_events(None, &sent, Some(&sent)), known);
    assert_eq!(bind_events(Some(&v1), &sent, Some(&sent)), known);
    let renamed = source(&old, &named("v2"));
    for current in [source(&new, &v1), renamed] {
        let replaced = EventBinding::Replaced(unnamed.clone());
        assert_eq!(bind_events(None, &sent, Some(&current)), replaced);
        let rejected = bind_events(Some(&v1), &sent, Some(&current));
        assert_eq!(rejected, EventBinding::Rejected);
    }
}

#[test]
fn a_stream_begins_at_the_first_version_until_the_second_one_is_opened() {
    let (v1, v2) = (named("v1"), named("v2"));
    let opening = VersionMix::Opening(v1.clone());
    assert_eq!(required_version(None, Some(&opening)), Some(v1.clone()));
    assert_eq!(required_version(None, Some(&VersionMix::Several)), None);
    let continued = required_version(Some(&v2), Some(&opening));
    assert_eq!(continued, Some(v2));
}

#[test]
fn a_stream_is_sent_only_to_a_replica_of_its_version() {
    let unnamed = |started_ms| SoftwareVersion::Unnamed(incarnation(started_ms));
    assert!(may_send(None, &named("v1")));
    assert!(may_send(Some(&named("v1")), &named("v1")));
    assert!(may_send(Some(&unnamed(1)), &unnamed(1)));
    assert!(!may_send(Some(&named("v1")), &named("v2")));
    assert!(!may_send(Some(&unnamed(1)), &unnamed(2)));
    assert!(!may_send(Some(&named("v1")), &unnamed(1)));
}

#[test]
fn a_report_proves_connections_that_were_opened_before_it_was_asked_for() {
    let zero = Instant::now();
    let at = |ms| zero + Duration::from_millis(ms);
    let report = |started_ms, asked| StartReport {
        started_ms,
        asked: at(asked),
    };
    let prove =
        |report: Option<StartReport>, opened| prove_connection(report.as_ref(), 50, at(opened));
    assert_eq!(prove(None, 1), ConnectionProof::Unknown);
    assert_eq!(prove(Some(report(50, 2)), 1), ConnectionProof::Expected);
    assert_eq!(prove(Some(report(50, 2)), 2), ConnectionProof::Unknown);
    assert_eq!(prove(Some(report(50, 2)), 3), ConnectionProof::Unknown);
    // An earlier incarnation's report says nothing of connections that were opened since.
    assert_eq!(prove(Some(report(40, 2)), 1), ConnectionProof::Other);
    assert_eq!(prove(Some(report(40, 2)), 3), ConnectionProof::Unknown);
    // A later incarnation shows that the expected one has ended.
    assert_eq!(prove(Some(report(60, 2)), 1), ConnectionProof::Other);
    assert_eq!(prove(Some(report(60, 2)), 3), ConnectionProof::Other);
}
