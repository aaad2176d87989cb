//! Replicas that warm up: what all entries together send to one, and what the log tells of it.

mod support_place;
mod support_replicas;
mod support_spans;
mod support_state;

use std::collections::BTreeMap;

use dunlinspring::consensus::directory::{HeartbeatStatus, ReplicaPhase, ReplicaRecord};
use dunlinspring::consensus::state::{Change, Command, SiteState};
use dunlinspring::forward::need::ChoicePolicy;
use dunlinspring::forward::replica_table::{Choice, EngineBounds, Need, ReplicaTable, SendBlock};
use dunlinspring::ids::{HallName, ReplicaId, ReplicaIncarnation, ServiceName};
use dunlinspring::placement::rate_limit::{PERMIT_VALIDITY_MS, RateLimiter};
use dunlinspring::placement::replica_rates::PermitRefusal;
use dunlinspring::routing::permit_throttle::PermitThrottle;
use dunlinspring::routing::warm_up::WarmupTracker;
use dunlinspring::table::configuration::{ServiceSpec, WarmupSpec};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use support_place::flat_location;
use support_replicas::ready_replica;
use support_spans::most_within;
use support_state::{apply, configured};

const SPEC: WarmupSpec = WarmupSpec {
    request_gap_ms: 140,
    lasts_ms: 3_000,
};
/// The time between two requests, in microseconds.
const GAP_US: u64 = SPEC.request_gap_ms * 1_000;
/// What a replica bears in any second, as its users state it: half more than its rate, and
/// a few.
const MOST_PER_S: usize = 3 * 1_000 / (2 * SPEC.request_gap_ms as usize) + 5;

fn wait(wait_ms: u64) -> PermitRefusal {
    PermitRefusal {
        wait_ms,
        rate: None,
    }
}

fn life() -> ReplicaIncarnation {
    ReplicaIncarnation {
        id: ReplicaId::from("r"),
        started_ms: 7,
    }
}

fn record(cold_ms: u64, seq: u64) -> ReplicaRecord {
    ReplicaRecord {
        seq,
        started_ms: 7,
        cold_ms,
        ..ready_replica("r", "plain")
    }
}

fn plain_service(warm_up: Option<WarmupSpec>) -> ServiceSpec {
    ServiceSpec {
        max_connections: 9,
        warm_up,
        engine: None,
    }
}

fn cold_service() -> ServiceSpec {
    plain_service(Some(SPEC))
}

/// Something that happens to entries and leaders.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// So many milliseconds go by.
    Wait(u64),
    /// An entry asks; the answer, and then the request, take so long.
    Ask(u64, u64),
    /// Many entries ask at once.
    Crowd(u64),
    /// Another leader follows; it knows nothing of what was given.
    Lead,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (1u64..200).prop_map(Step::Wait),
        8 => (0u64..200, 0u64..200).prop_map(|(answer, way)| Step::Ask(answer, way)),
        3 => (0u64..250).prop_map(Step::Crowd),
        1 => Just(Step::Lead),
    ]
}

/// When requests leave for one replica, by what entries and leaders do.
fn departures(steps: &[Step]) -> Vec<u64> {
    let mut now_ms = 10_000;
    let mut limiter = RateLimiter::new(0);
    let mut sent = Vec::new();
    let ask = |limiter: &mut RateLimiter, now_ms: u64, lag_ms: u64| {
        let granted = limiter.try_acquire(now_ms, &life(), GAP_US).is_ok();
        // The entry counts from before it asked, and looks again right before it sends.
        (granted && lag_ms < PERMIT_VALIDITY_MS).then_some(now_ms + lag_ms)
    };
    for step in steps {
        match *step {
            Step::Wait(for_ms) => now_ms += for_ms,
            Step::Ask(answer_ms, way_ms) => {
                sent.extend(ask(&mut limiter, now_ms, answer_ms + way_ms))
            }
            Step::Crowd(lag_ms) => {
                let many = (0..40).filter_map(|_| ask(&mut limiter, now_ms, lag_ms));
                sent.extend(many);
            }
            Step::Lead => limiter = RateLimiter::new(now_ms),
        }
    }
    sent.sort_unstable();
    sent
}

proptest! {
    #![proptest_config(Config {
        cases: 500,
        rng_seed: RngSeed::Fixed(42),
        failure_persistence: None,
        ..Config::default()
    })]

    /// 500 cases of up to 200 steps: over 50,000 in all.
    #[test]
    fn no_second_brings_more_than_a_replica_bears(steps in prop::collection::vec(step(), 100..200)) {
        let sent = departures(&steps);
        let most = most_within(sent, 1_000);
        prop_assert!(most <= MOST_PER_S, "{} in a second, {} allowed", most, MOST_PER_S);
    }
}

#[test]
fn while_there_is_demand_most_of_the_rate_is_used() {
    let mut limiter = RateLimiter::new(0);
    let granted = (10_000..20_000)
        .step_by(10)
        .filter(|now_ms| limiter.try_acquire(*now_ms, &life(), GAP_US).is_ok())
        .count();
    let rate = 10_000 / SPEC.request_gap_ms as usize;
    assert!(granted * 10 >= rate * 8, "{granted} of {rate}");
    assert!(granted <= rate + 2, "{granted} of {rate}");
}

#[test]
fn each_life_has_a_rate_of_its_own_and_a_new_leader_gives_nothing_at_first() {
    let mut limiter = RateLimiter::new(5_000);
    let refused = limiter.try_acquire(5_100, &life(), GAP_US);
    assert!(refused.is_err_and(|wait_ms| wait_ms > 900));
    let next = ReplicaIncarnation {
        started_ms: 8,
        ..life()
    };
    let mut ask = |replica: &ReplicaIncarnation| limiter.try_acquire(9_000, replica, GAP_US);
    assert_eq!((ask(&life()), ask(&life())), (Ok(()), Ok(())));
    assert_eq!(ask(&life()), Err(SPEC.request_gap_ms));
    assert_eq!(ask(&next), Ok(()));
}

#[test]
fn a_suspicion_lasts_until_the_replica_tells_or_would_be_warm() {
    let mut book = WarmupTracker::default();
    book.suspect_restart(1_000, &"r", 3_000);
    assert!(book.is_cold(3_999, &"r") && !book.is_cold(4_000, &"r"));
    book.record_report(2_000, &"r", 500);
    assert!(book.is_cold(2_499, &"r") && !book.is_cold(2_500, &"r"));
    book.record_report(2_040, &"r", 0);
    assert!(!book.is_cold(2_040, &"r"));
    let mut pace = PermitThrottle::default();
    pace.record_refusal(2_000, 2_000, &"r", wait(100));
    assert_eq!(pace.wait_ms(2_040, &"r"), Some(60));
    assert_eq!(pace.wait_ms(2_100, &"r"), None);
}

fn need() -> Need {
    Need {
        service: Some(ServiceName::from("plain")),
        ..Need::default()
    }
}

fn choose(book: &ReplicaTable, now_ms: u64) -> Choice {
    book.choose(
        now_ms,
        &need(),
        &Default::default(),
        EngineBounds::default(),
    )
}

#[test]
fn an_entry_sends_to_a_cold_replica_by_the_leaders_permit_only() {
    let mut book = ReplicaTable::new(ChoicePolicy::default(), flat_location("hall"));
    let id = ReplicaId::from("r");
    book.update_services(&BTreeMap::from([(
        ServiceName::from("plain"),
        cold_service(),
    )]));
    book.update_records(1_000, &BTreeMap::from([(id.clone(), record(2_000, 1))]));
    // It may be asked for, but nothing leaves without an answer.
    assert_eq!(choose(&book, 1_100), Choice::Send(id.clone()));
    assert!(book.is_cold(1_100, &id));
    let barred = book.claim(1_100, &life(), None);
    assert_eq!(barred, Err(SendBlock::RateLimited { left_ms: 0 }));
    book.permit_pace_mut()
        .record_refusal(1_100, 1_100, &id, wait(140));
    assert_eq!(choose(&book, 1_200), Choice::RateLimited(40));
    assert_eq!(book.capacity_in_ms(1_200, &need()), Some(40));
    assert_eq!(choose(&book, 1_240), Choice::Send(id.clone()));
    // By time, or by its own word, it is warm.
    assert!(book.claim(3_000, &life(), None).is_ok());
    book.update_records(1_300, &BTreeMap::from([(id.clone(), record(0, 2))]));
    assert!(book.claim(1_300, &life(), None).is_ok());
    // One that could not be reached may be another one by now, and so may one that nobody
    // has heard for long.
    book.suspect_restart(5_000, &id);
    assert!(book.claim(5_001, &life(), None).is_err());
    assert!(book.claim(8_000, &life(), None).is_ok());
    let silent = ReplicaRecord {
        phase: ReplicaPhase::Silent,
        ..record(0, 2)
    };
    book.update_records(9_000, &BTreeMap::from([(id.clone(), silent)]));
    assert!(book.is_cold(60_000, &id));
    // Refused, it is left alone as the others are.
    book.permit_pace_mut()
        .record_refusal(60_000, 60_000, &id, wait(300));
    assert_eq!(choose(&book, 60_299), Choice::RateLimited(1));
    book.prune(60_100);
    assert_eq!(choose(&book, 60_200), Choice::RateLimited(100));
    assert_eq!(choose(&book, 60_300), Choice::Send(id.clone()));
}

fn cold_ms(state: &SiteState) -> u64 {
    state.replicas.records()[&ReplicaId::from("r")].cold_ms
}

fn beat(state: &mut SiteState, at_ms: u64, record: ReplicaRecord) {
    apply(state, at_ms, Command::Replica(Box::new(record)));
}

#[test]
fn members_are_told_while_a_replica_warms_up_and_once_it_is_warm() {
    let mut state = configured("plain", cold_service());
    for (number, cold) in [(1, 2_900), (2, 1_700), (3, 500), (4, 0), (5, 0)] {
        let before = state.position;
        beat(&mut state, number * 1_200, record(cold, number));
        assert_eq!(cold_ms(&state), cold);
        let changes = state.changes_after(before).unwrap();
        let told = changes
            .iter()
            .any(|change| matches!(change, Change::Replica(..)));
        assert_eq!(told, number < 5, "heartbeat {number}");
    }
}

/// Another writer's heartbeat, or a configuration with odd figures, stops nothing.
#[test]
fn a_replica_is_cold_for_no_longer_than_its_service_says_whatever_it_tells() {
    let mut state = configured("plain", cold_service());
    beat(&mut state, 0, record(u64::MAX, 1));
    assert_eq!(cold_ms(&state), SPEC.lasts_ms);
    let mut book = WarmupTracker::default();
    book.record_report(5, &"r", u64::MAX);
    book.suspect_restart(5, &"r", u64::MAX);
    let mut pace = PermitThrottle::default();
    pace.record_refusal(5, 5, &"r", wait(u64::MAX));
    assert!(pace.wait_ms(u64::MAX - 1, &"r").is_some());
    assert!(book.is_cold(u64::MAX - 1, &"r"));
    let mut limiter = RateLimiter::new(0);
    assert_eq!(limiter.try_acquire(9_000, &life(), u64::MAX), Ok(()));
    assert!(limiter.try_acquire(9_000, &life(), u64::MAX).is_err());
}

/// Each heartbeat of a start would be committed, for replicas that need no care.
#[test]
fn a_replica_whose_service_names_no_rate_tells_nothing_by_warming_up() {
    let mut state = configured("plain", plain_service(None));
    beat(&mut state, 0, record(2_900, 1));
    let changed = state.changed();
    beat(&mut state, 1_200, record(1_700, 2));
    assert_eq!((cold_ms(&state), state.changed()), (0, changed));
}

/// **What users saw:** a hall was taken back, its replicas had turned cold a moment before,
/// and one of them got 16 requests in a second where 15 were allowed.
///
/// **Cause:** entries went by the heartbeat from before the replica turned cold.
#[test]
fn replicas_of_a_hall_that_is_taken_back_are_cold_whatever_a_late_heartbeat_says() {
    let hall = HallName::from("hall");
    let mut state = configured("plain", cold_service());
    beat(&mut state, 0, record(0, 1));
    apply(&mut state, 10_000, Command::Evacuate(hall.clone()));
    apply(&mut state, 20_000, Command::Restore(hall));
    assert_eq!(cold_ms(&state), SPEC.lasts_ms);
    // Where nothing else is committed, the state's clock stands still.
    assert_eq!(state.compare_heartbeat(&record(0, 2)), HeartbeatStatus::New);
    beat(&mut state, 21_000, record(0, 2));
    assert_eq!(cold_ms(&state), SPEC.lasts_ms - 1_000);
    beat(&mut state, 23_000, record(0, 3));
    assert_eq!(cold_ms(&state), 0);
}
