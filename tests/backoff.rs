//! What peers asked for in their answers, and what may be sent to them: by cases, and by any
//! order of events against a count of its own.

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
use support_place::flat_place;
use support_replicas::ready_replica;

const LIFE: u64 = 7;

fn paused(ms: u64) -> BackoffTracker<&'static str> {
    let mut book = BackoffTracker::default();
    book.back_off(1_000, &"r", RequestedBackoff { ms });
    book
}

fn pause_of(values: &[&str]) -> Option<u64> {
    RequestedBackoff::parse(values.iter().copied()).map(|pause| pause.ms)
}

#[test]
fn a_pause_is_a_positive_number_of_seconds_the_longest_of_several() {
    assert_eq!(pause_of(&["3"]), Some(3_000));
    assert_eq!(pause_of(&["0.2001"]), Some(201));
    assert_eq!(pause_of(&["1", "3", "2"]), Some(3_000));
    assert_eq!(pause_of(&["1, 3"]), Some(3_000));
    assert_eq!(pause_of(&["1e9"]), Some(1_000_000_000_000));
    assert_eq!(pause_of(&["1e300"]), Some(u64::MAX));
    for word in ["", " ", "0", "-1", "inf", "NaN", "soon", "1 s"] {
        assert_eq!(pause_of(&[word]), None, "{word}");
    }
    assert_eq!(pause_of(&["Wed, 21 Oct 2099 07:28:00 GMT"]), None);
    assert_eq!(pause_of(&[]), None);
}

#[test]
fn a_pause_lasts_to_its_end_and_no_longer() {
    let mut book = paused(3_000);
    assert_eq!(
        book.blocked_by(1_000, &"r", LIFE),
        Some(Blocked::Paused { left_ms: 3_000 })
    );
    assert!(book.acquire(3_999, &"r", LIFE).is_err());
    assert!(book.acquire(4_000, &"r", LIFE).is_ok());
    assert_eq!(book.blocked_by(2_000, &"other", LIFE), None);
}

#[test]
fn a_later_word_moves_the_end_further_away_and_never_nearer() {
    let mut book = paused(3_000);
    book.back_off(2_000, &"r", RequestedBackoff { ms: 500 });
    assert!(book.blocked_by(3_999, &"r", LIFE).is_some());
    book.back_off(3_000, &"r", RequestedBackoff { ms: 4_000 });
    assert!(book.blocked_by(6_999, &"r", LIFE).is_some());
    assert_eq!(book.blocked_by(7_000, &"r", LIFE), None);
}

#[test]
fn after_a_pause_one_request_goes_first_and_then_more() {
    let mut book = paused(3_000);
    let first = book.acquire(4_000, &"r", LIFE).unwrap();
    assert_eq!(book.acquire(4_001, &"r", LIFE), Err(Blocked::Reopening));
    book.release(4_020, &"r", first, SlotOutcome::Accepted);
    let _second = book.acquire(4_021, &"r", LIFE).unwrap();
    let _third = book.acquire(4_022, &"r", LIFE).unwrap();
    assert_eq!(book.acquire(4_023, &"r", LIFE), Err(Blocked::Reopening));
    // One that answers late is not kept from work for it.
    for _ in 0..50 {
        let _more = book.acquire(6_000, &"r", LIFE).unwrap();
    }
    book.prune(6_000);
    assert_eq!(book.blocked_by(6_000, &"r", LIFE), None);
}

#[test]
fn a_refused_first_request_leaves_the_others_away() {
    let mut book = paused(3_000);
    let first = book.acquire(4_000, &"r", LIFE).unwrap();
    book.back_off(4_010, &"r", RequestedBackoff { ms: 3_000 });
    book.release(4_010, &"r", first, SlotOutcome::Other);
    assert!(book.acquire(7_009, &"r", LIFE).is_err());
    let _next = book.acquire(7_010, &"r", LIFE).unwrap();
    assert_eq!(book.acquire(7_011, &"r", LIFE), Err(Blocked::Reopening));
}

#[test]
fn a_very_long_pause_ends_with_two_trials_or_with_a_good_answer() {
    let mut book = paused(1_000_000_000_000);
    let mut at_ms = 1_000 + MAX_BACKOFF_MS;
    for _ in 0..2 {
        assert!(book.acquire(at_ms - 1, &"r", LIFE).is_err());
        let trial = book.acquire(at_ms, &"r", LIFE).unwrap();
        book.back_off(at_ms, &"r", RequestedBackoff { ms: 1_000 });
        book.release(at_ms, &"r", trial, SlotOutcome::Other);
        at_ms += 1_000;
    }
    assert!(book.acquire(at_ms + MAX_BACKOFF_MS, &"r", LIFE).is_err());
    // A liar serves, and has taken it back.
    let mut book = paused(1_000_000_000_000);
    let at_ms = 1_000 + MAX_BACKOFF_MS;
    let trial = book.acquire(at_ms, &"r", LIFE).unwrap();
    book.release(at_ms + 5, &"r", trial, SlotOutcome::Accepted);
    for step in 0..9 {
        assert!(book.acquire(at_ms + 10_000 + step, &"r", LIFE).is_ok());
    }
}

#[test]
fn one_that_leaves_gets_nothing_in_that_life_and_its_next_one_does() {
    let mut book: BackoffTracker<&str> = BackoffTracker::default();
    book.record_draining(1_000, &"r", LIFE);
    assert_eq!(book.blocked_by(500_000, &"r", LIFE), Some(Blocked::Leaving));
    assert_eq!(book.acquire(500_000, &"r", LIFE), Err(Blocked::Leaving));
    assert_eq!(book.blocked_by(1_000, &"r", LIFE + 1), None);
    // A late word of the life before.
    book.record_draining(2_000, &"r", LIFE + 1);
    book.record_draining(2_001, &"r", LIFE);
    assert_eq!(
        book.blocked_by(2_002, &"r", LIFE + 1),
        Some(Blocked::Leaving)
    );
}

fn record(id: &str, phase: ReplicaPhase) -> ReplicaRecord {
    ReplicaRecord {
        slots: 8,
        phase,
        started_ms: LIFE,
        ..ready_replica(id, "plain")
    }
}

/// A record that goes and comes back, with another leader or relay, brings nothing back that
/// the replica itself has asked for; nor does an older heartbeat that says `ready`.
#[test]
fn what_a_replica_asked_for_outlives_its_record() {
    let ready = || {
        let records = ["a", "b"].map(|id| (ReplicaId::from(id), record(id, ReplicaPhase::Ready)));
        BTreeMap::from(records)
    };
    let need = Need {
        service: Some(ServiceName::from("plain")),
        ..Need::default()
    };
    let mut book = ReplicaTable::new(ChoicePolicy::default(), flat_place("hall"));
    book.update_records(0, &ready());
    let (a, b) = (ReplicaId::from("a"), ReplicaId::from("b"));
    book.back_off(1_000, &a, RequestedBackoff { ms: 3_000 });
    book.record_draining(1_000, &ready()[&b].incarnation());
    book.update_records(0, &BTreeMap::new());
    book.update_records(0, &ready());
    let choose = |book: &ReplicaTable, at_ms| {
        book.choose(at_ms, &need, &Default::default(), EngineBounds::default())
    };
    assert_eq!(choose(&book, 1_500), Choice::BackingOff(2_500));
    assert_eq!(book.capacity_in_ms(1_500, &need), Some(2_500));
    assert_eq!(choose(&book, 4_000), Choice::Send(a.clone()));
    // The one that asked is the only one, and is not asked all the same.
    let only = BTreeMap::from([(a.clone(), record("a", ReplicaPhase::Ready))]);
    book.update_records(0, &only);
    assert_eq!(choose(&book, 3_999), Choice::BackingOff(1));
    assert!(book.claim(3_999, &only[&a].incarnation(), None).is_err());
}

/// One step of a play with a peer.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Time goes by.
    Wait(u64),
    /// A request wants to leave.
    Send,
    /// The oldest one without an answer gets one.
    Answer,
    /// It is refused, and asked for a pause.
    Refuse(u64),
    /// Its record goes and comes back, and what says nothing any more is forgotten.
    Prune,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (1u64..700).prop_map(Step::Wait),
        1 => (1u64..2 * MAX_BACKOFF_MS).prop_map(Step::Wait),
        6 => Just(Step::Send),
        2 => Just(Step::Answer),
        2 => (1u64..9_000).prop_map(Step::Refuse),
        1 => Just(Step::Refuse(5_000_000)),
        1 => Just(Step::Prune),
    ]
}

fn cases() -> u32 {
    let named = std::env::var("DUNLINSPRING_CASES");
    named.map_or(512, |text| text.parse().expect("a number of cases"))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(cases()))]

    /// Whatever the order of events, at most two requests arrive within a time that the peer
    /// named, from half a second after its word on; none, where the time is not very long.
    #[test]
    fn a_named_time_brings_two_requests_at_most(steps in prop::collection::vec(step(), 1..200)) {
        let mut book: BackoffTracker<&str> = BackoffTracker::default();
        let mut now_ms = 10;
        let mut open = Vec::new();
        let mut windows: Vec<(u64, u64, u32)> = Vec::new();
        for step in steps {
            match step {
                Step::Wait(ms) => now_ms += ms,
                Step::Prune => book.prune(now_ms),
                Step::Send => {
                    if let Ok(claim) = book.acquire(now_ms, &"r", LIFE) {
                        open.push(claim);
                        for (from_ms, until_ms, count) in &mut windows {
                            *count += u32::from((*from_ms..*until_ms).contains(&now_ms));
                        }
                    }
                }
                Step::Answer if open.is_empty() => {}
                Step::Answer => {
                    book.release(now_ms, &"r", open.remove(0), SlotOutcome::Accepted);
                    // It serves after the longest pause: what it had named is taken back.
                    let kept = |(from_ms, until_ms, _): &(u64, u64, u32)| {
                        (from_ms - 500 + MAX_BACKOFF_MS).min(*until_ms) > now_ms
                    };
                    if !windows.iter().any(kept) {
                        windows.clear();
                    }
                }
                Step::Refuse(_) if open.is_empty() => {}
                Step::Refuse(ms) => {
                    book.back_off(now_ms, &"r", RequestedBackoff { ms });
                    book.release(now_ms, &"r", open.remove(0), SlotOutcome::Other);
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
