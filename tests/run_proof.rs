//! Proofs that a request did not run, over drawn histories of one request.

use dunlinspring::routing::run_proof::{NotRunProof, ReplicaRefusal, SendTally};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Histories that are drawn.
const HISTORIES: u64 = 10_000;
/// Most arrivals of one request.
const MAX_ARRIVALS: u64 = 6;
/// Statuses that replicas and middle boxes send.
const STATUSES: [u16; 12] = [200, 204, 301, 400, 404, 408, 421, 429, 500, 502, 503, 504];

/// Guards against a promise for a request that a replica may have run.
#[test]
fn no_history_with_an_arrival_that_was_not_turned_away_has_a_proof() {
    let (mut proven, mut unproven) = (0, 0);
    for seed in 0..HISTORIES {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut tally = SendTally::default();
        let mut may_run = false;
        for connection in 0..random.random_range(0..=MAX_ARRIVALS) {
            assert!(tally.may_use(connection), "seed {seed}");
            tally.record_sent(connection);
            assert!(!tally.may_use(connection), "seed {seed}");
            let status = STATUSES[random.random_range(0..STATUSES.len())];
            let (is_answered, is_marked) = (random.random_bool(0.9), random.random_bool(0.7));
            let turned_away = status == 421 || (is_marked && status >= 400);
            match ReplicaRefusal::read(status, is_marked).filter(|_| is_answered) {
                Some(refusal) => tally.record_refusal(refusal),
                None => assert!(!(is_answered && turned_away), "seed {seed}: {status}"),
            }
            may_run |= !(is_answered && turned_away);
        }
        assert_eq!(tally.proof().is_none(), may_run, "seed {seed}: {tally:?}");
        match tally.proof() {
            Some(_) => proven += 1,
            None => unproven += 1,
        }
    }
    assert!(proven > 0 && unproven > 0);
}

#[test]
fn a_success_that_is_marked_as_not_executed_proves_nothing() {
    assert_eq!(ReplicaRefusal::read(200, true), None);
    assert!(ReplicaRefusal::read(503, true).is_some());
    assert!(ReplicaRefusal::read(421, false).is_some());
    assert_eq!(ReplicaRefusal::read(503, false), None);
}

#[test]
fn proofs_are_named_for_operators() {
    let mut tally = SendTally::default();
    let unsent = tally.proof().map(NotRunProof::name);
    tally.record_sent(7);
    tally.record_refusal(ReplicaRefusal::read(503, true).unwrap());
    let names = [unsent, tally.proof().map(NotRunProof::name)];
    assert_eq!(names, [Some("not sent"), Some("turned away")]);
    assert_eq!(NotRunProof::unread().name(), "not read");
}
