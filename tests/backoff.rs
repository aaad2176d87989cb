//! Backoff periods that peers request in their responses, and which requests may be sent to them:
//! single cases, and random event sequences checked against an independent count.

mod support_place;
mod support_replicas;

use std::collections::BTreeMap;

use dunlinspring::consensus::directory::{ReplicaPhase, ReplicaRecord};
use dunlinspring::forward::replica_table::{
    Choice, ChoicePolicy, EngineBounds, Need, ReplicaTable,
};
use dunlinspring::ids::{ReplicaId, ServiceName};
use dunlinspring::routing::backoff::{
    BackoffTracker, Blocked, MAX_BACKOFF_MS, RequestedBackoff, SlotOutcome,
};
use proptest::prelude::*;
use support_place::flat_location;
use support_replicas::ready_replica;

const STARTED_MS: u64 = 7;

fn backed_off(ms: u64) -> BackoffTracker<&'static str> {
    let mut tracker = BackoffTracker::default();
    tracker.back_off(1_000, &"r", RequestedBackoff { ms });
    tracker
}

fn parsed_ms(values: &[&str]) -> Option<u64> {
    RequestedBackoff::parse(values.iter().copied()).map(|backoff| backoff.ms)
}

#[test]
fn a_backoff_period_is_the_largest_positive_number_of_seconds() {
    assert_eq!(parsed_ms(&["3"]), Some(3_000));
    assert_eq!(parsed_ms(&["0.2001"]), Some(201));
    assert_eq!(parsed_ms(&["1", "3", "2"]), Some(3_000));
    assert_eq!(parsed_ms(&["1, 3"]), Some(3_000));
    assert_eq!(parsed_ms(&["1e9"]), Some(1_000_000_000_000));
    assert_eq!(parsed_ms(&["1e300"]), Some(u64::MAX));
    for text in ["", " ", "0", "-1", "inf", "NaN", "soon", "1 s"] {
        assert_eq!(parsed_ms(&[text]), None, "{text}");
    }
    assert_eq!(parsed_ms(&["Wed, 21 Oct 2099 07:28:00 GMT"]), None);
    assert_eq!(parsed_ms(&[]), None);
}

#[test]
fn a_backoff_period_ends_exactly_on_time() {
    let mut tracker = backed_off(3_000);
    assert_eq!(
        tracker.blocked_by(1_000, &"r", STARTED_MS),
        Some(Blocked::Paused { left_ms: 3_000 })
    );
    assert!(tracker.acquire(3_999, &"r", STARTED_MS).is_err());
    assert!(tracker.acquire(4_000, &"r", STARTED_MS).is_ok());
    assert_eq!(tracker.blocked_by(2_000, &"other", STARTED_MS), None);
}

#[test]
fn a_later_backoff_extends_the_period_and_never_shortens_it() {
    let mut tracker = backed_off(3_000);
    tracker.back_off(2_000, &"r", RequestedBackoff { ms: 500 });
    assert!(tracker.blocked_by(3_999, &"r", STARTED_MS).is_some());
    tracker.back_off(3_000, &"r", RequestedBackoff { ms: 4_000 });
    assert!(tracker.blocked_by(6_999, &"r", STARTED_MS).is_some());
    assert_eq!(tracker.blocked_by(7_000, &"r", STARTED_MS), None);
}

#[test]
fn after_a_backoff_one_request_goes_first_and_then_more() {
    let mut tracker = backed_off(3_000);
    let first = tracker.acquire(4_000, &"r", STARTED_MS).unwrap();
    assert_eq!(
        tracker.acquire(4_001, &"r", STARTED_MS),
        Err(Blocked::Reopening)
    );
    tracker.release(4_020, &"r", first, SlotOutcome::Accepted);
    let _second = tracker.acquire(4_021, &"r", STARTED_MS).unwrap();
    let _third = tracker.acquire(4_022, &"r", STARTED_MS).unwrap();
    assert_eq!(
        tracker.acquire(4_023, &"r", STARTED_MS),
        Err(Blocked::Reopening)
    );
    // After a while the limit ends, although the first requests still have no response.
    for _ in 0..50 {
        let _more = tracker.acquire(6_000, &"r", STARTED_MS).unwrap();
    }
    tracker.prune(6_000);
    assert_eq!(tracker.blocked_by(6_000, &"r", STARTED_MS), None);
}

#[test]
fn a_refused_first_request_holds_back_the_others() {
    let mut tracker = backed_off(3_000);
    let first = tracker.acquire(4_000, &"r", STARTED_MS).unwrap();
    tracker.back_off(4_010, &"r", RequestedBackoff { ms: 3_000 });
    tracker.release(4_010, &"r", first, SlotOutcome::Other);
    assert!(tracker.acquire(7_009, &"r", STARTED_MS).is_err());
    let _next = tracker.acquire(7_010, &"r", STARTED_MS).unwrap();
    assert_eq!(
        tracker.acquire(7_011, &"r", STARTED_MS),
        Err(Blocked::Reopening)
    );
}

#[test]
fn a_very_long_backoff_allows_two_probes_or_ends_with_an_accepted_one() {
    let mut tracker = backed_off(1_000_000_000_000);
    let mut at_ms = 1_000 + MAX_BACKOFF_MS;
    for _ in 0..2 {
        assert!(tracker.acquire(at_ms - 1, &"r", STARTED_MS).is_err());
        let probe = tracker.acquire(at_ms, &"r", STARTED_MS).unwrap();
        tracker.back_off(at_ms, &"r", RequestedBackoff { ms: 1_000 });
        tracker.release(at_ms, &"r", probe, SlotOutcome::Other);
        at_ms += 1_000;
    }
    assert!(
        tracker
            .acquire(at_ms + MAX_BACKOFF_MS, &"r", STARTED_MS)
            .is_err()
    );
    // A peer that accepts a probe revokes its very long period.
    let mut tracker = backed_off(1_000_000_000_000);
    let at_ms = 1_000 + MAX_BACKOFF_MS;
    let probe = tracker.acquire(at_ms, &"r", STARTED_MS).unwrap();
    tracker.release(at_ms + 5, &"r", probe, SlotOutcome::Accepted);
    for step in 0..9 {
        assert!(
            tracker
                .acquire(at_ms + 10_000 + step, &"r", STARTED_MS)
                .is_ok()
        );
    }
}

#[test]
fn a_draining_incarnation_is_blocked_and_the_next_one_is_not() {
    let mut tracker: BackoffTracker<&str> = BackoffTracker::default();
    tracker.record_draining(1_000, &"r", STARTED_MS);
    assert_eq!(
        tracker.blocked_by(500_000, &"r", STARTED_MS),
        Some(Blocked::Leaving)
    );
    assert_eq!(
        tracker.acquire(500_000, &"r", STARTED_MS),
        Err(Blocked::Leaving)
    );
    assert_eq!(tracker.blocked_by(1_000, &"r", STARTED_MS + 1), None);
    // A late report about the previous incarnation.
    tracker.record_draining(2_000, &"r", STARTED_MS + 1);
    tracker.record_draining(2_001, &"r", STARTED_MS);
    assert_eq!(
        tracker.blocked_by(2_002, &"r", STARTED_MS + 1),
        Some(Blocked::Leaving)
    );
}

fn record(id: &str, phase: ReplicaPhase) -> ReplicaRecord {
    ReplicaRecord {
        slots: 8,
        phase,
        started_ms: STARTED_MS,
        ..ready_replica(id, "plain")
    }
}

/// A record that is removed and added again, with another leader or relay, does not cancel the
/// backoff or draining that the replica itself requested; nor does an older heartbeat with phase
/// `ready`.
#[test]
fn backoff_and_draining_outlive_the_replica_record() {
    let ready = || {
        let records = ["a", "b"].map(|id| (ReplicaId::from(id), record(id, ReplicaPhase::Ready)));
        BTreeMap::from(records)
    };
    let need = Need {
        service: Some(ServiceName::from("plain")),
        ..Need::default()
    };
    let mut table = ReplicaTable::new(ChoicePolicy::default(), flat_location("hall"));
    table.update_records(0, &ready());
    let (a, b) = (ReplicaId::from("a"), ReplicaId::from("b"));
    table.back_off(1_000, &a, RequestedBackoff { ms: 3_000 });
    table.record_draining(1_000, &ready()[&b].incarnation());
    table.update_records(0, &BTreeMap::new());
    table.update_records(0, &ready());
    let choose = |table: &ReplicaTable, at_ms| {
        table.choose(at_ms, &need, &Default::default(), EngineBounds::default())
    };
    assert_eq!(choose(&table, 1_500), Choice::BackingOff(2_500));
    assert_eq!(table.capacity_in_ms(1_500, &need), Some(2_500));
    assert_eq!(choose(&table, 4_000), Choice::Send(a.clone()));
    // The replica in backoff is the only one, and still gets no request.
    let only = BTreeMap::from([(a.clone(), record("a", ReplicaPhase::Ready))]);
    table.update_records(0, &only);
    assert_eq!(choose(&table, 3_999), Choice::BackingOff(1));
    assert!(table.claim(3_999, &only[&a].incarnation(), None).is_err());
}

/// One step of a random sequence of events with a peer.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The time in milliseconds passes.
    Wait(u64),
    /// A request is to be sent.
    Send,
    /// The peer accepts the oldest pending request.
    Accept,
    /// The peer refuses the oldest pending request and requests a backoff in milliseconds.
    Refuse(u64),
    /// Entries without effect are removed.
    Prune,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (1u64..700).prop_map(Step::Wait),
        1 => (1u64..2 * MAX_BACKOFF_MS).prop_map(Step::Wait),
        6 => Just(Step::Send),
        2 => Just(Step::Accept),
        2 => (1u64..9_000).prop_map(Step::Refuse),
        1 => Just(Step::Refuse(5_000_000)),
        1 => Just(Step::Prune),
    ]
}

fn cases() -> u32 {
    let setting = std::env::var("DUNLINSPRING_CASES");
    setting.map_or(512, |text| text.parse().expect("a number of cases"))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(cases()))]

    /// For any order of events, at most two requests are sent within a backoff period, counted from
    /// 500 ms after the peer's response; none if the period is not longer than `MAX_BACKOFF_MS`.
    #[test]
    fn at_most_two_requests_arrive_within_a_backoff_period(steps in prop::collection::vec(step(), 1..200)) {
        let mut tracker: BackoffTracker<&str> = BackoffTracker::default();
        let mut now_ms = 10;
        let mut open = Vec::new();
        let mut windows: Vec<(u64, u64, u32)> = Vec::new();
        for step in steps {
            match step {
                Step::Wait(ms) => now_ms += ms,
                Step::Prune => tracker.prune(now_ms),
                Step::Send => {
                    if let Ok(claim) = tracker.acquire(now_ms, &"r", STARTED_MS) {
                        open.push(claim);
                        for (from_ms, until_ms, count) in &mut windows {
                            *count += u32::from((*from_ms..*until_ms).contains(&now_ms));
                        }
                    }
                }
                Step::Accept if open.is_empty() => {}
                Step::Accept => {
                    tracker.release(now_ms, &"r", open.remove(0), SlotOutcome::Accepted);
                    // An accepted request after the longest backoff revokes the periods before.
                    let kept = |(from_ms, until_ms, _): &(u64, u64, u32)| {
                        (from_ms - 500 + MAX_BACKOFF_MS).min(*until_ms) > now_ms
                    };
                    if !windows.iter().any(kept) {
                        windows.clear();
                    }
                }
                Step::Refuse(_) if open.is_empty() => {}
                Step::Refuse(ms) => {
                    tracker.back_off(now_ms, &"r", RequestedBackoff { ms });
                    tracker.release(now_ms, &"r", open.remove(0), SlotOutcome::Other);
                    windows.push((now_ms + 500, now_ms + ms, 0));
                }
            }
            for (from_ms, until_ms, count) in &windows {
                let most = if until_ms - from_ms.min(until_ms) > MAX_BACKOFF_MS { 2 } else { 0 };
                prop_assert!(*count <= most, "{count} within {from_ms}..{until_ms}");
            }
        }
    }
}
