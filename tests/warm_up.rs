//! Replicas that warm up: the rate of all entries together to one replica, and the warm-up state
//! in the log.

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
/// Time between two requests, in microseconds.
const GAP_US: u64 = SPEC.request_gap_ms * 1_000;
/// Requests that a cold replica can handle in any second, as stated by the users who run the
/// replicas: 1.5 times its rate plus 5.
const MAX_PER_S: usize = 3 * 1_000 / (2 * SPEC.request_gap_ms as usize) + 5;

fn wait(wait_ms: u64) -> PermitRefusal {
    PermitRefusal {
        wait_ms,
        rate: None,
    }
}

fn incarnation() -> ReplicaIncarnation {
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

/// An event at entries and leaders.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Advances time by milliseconds.
    Wait(u64),
    /// An entry requests a permit; the reply, and then the request, take this many milliseconds.
    Request(u64, u64),
    /// Forty entries request a permit at once.
    RequestMany(u64),
    /// A new leader starts without knowledge of the granted permits.
    NewLeader,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (1u64..200).prop_map(Step::Wait),
        8 => (0u64..200, 0u64..200).prop_map(|(reply, transit)| Step::Request(reply, transit)),
        3 => (0u64..250).prop_map(Step::RequestMany),
        1 => Just(Step::NewLeader),
    ]
}

/// Returns the times at which requests leave for one replica.
fn departures(steps: &[Step]) -> Vec<u64> {
    let mut now_ms = 10_000;
    let mut limiter = RateLimiter::new(0);
    let mut sent = Vec::new();
    let request = |limiter: &mut RateLimiter, now_ms: u64, lag_ms: u64| {
        let granted = limiter.try_acquire(now_ms, &incarnation(), GAP_US).is_ok();
        // The entry counts the validity from its request and checks it again before it sends.
        (granted && lag_ms < PERMIT_VALIDITY_MS).then_some(now_ms + lag_ms)
    };
    for step in steps {
        match *step {
            Step::Wait(for_ms) => now_ms += for_ms,
            Step::Request(reply_ms, transit_ms) => {
                sent.extend(request(&mut limiter, now_ms, reply_ms + transit_ms))
            }
            Step::RequestMany(lag_ms) => {
                let many = (0..40).filter_map(|_| request(&mut limiter, now_ms, lag_ms));
                sent.extend(many);
            }
            Step::NewLeader => limiter = RateLimiter::new(now_ms),
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
    fn no_second_exceeds_what_a_cold_replica_can_handle(steps in prop::collection::vec(step(), 100..200)) {
        let sent = departures(&steps);
        let most = most_within(sent, 1_000);
        prop_assert!(most <= MAX_PER_S, "{} in a second, {} allowed", most, MAX_PER_S);
    }
}

#[test]
fn most_of_the_rate_is_used_under_load() {
    let mut limiter = RateLimiter::new(0);
    let granted = (10_000..20_000)
        .step_by(10)
        .filter(|now_ms| limiter.try_acquire(*now_ms, &incarnation(), GAP_US).is_ok())
        .count();
    let rate = 10_000 / SPEC.request_gap_ms as usize;
    assert!(granted * 10 >= rate * 8, "{granted} of {rate}");
    assert!(granted <= rate + 2, "{granted} of {rate}");
}

#[test]
fn each_incarnation_has_its_own_rate_and_a_new_leader_grants_nothing_at_first() {
    let mut limiter = RateLimiter::new(5_000);
    let refused = limiter.try_acquire(5_100, &incarnation(), GAP_US);
    assert!(refused.is_err_and(|wait_ms| wait_ms > 900));
    let next = ReplicaIncarnation {
        started_ms: 8,
        ..incarnation()
    };
    let mut request = |replica: &ReplicaIncarnation| limiter.try_acquire(9_000, replica, GAP_US);
    assert_eq!(
        (request(&incarnation()), request(&incarnation())),
        (Ok(()), Ok(()))
    );
    assert_eq!(request(&incarnation()), Err(SPEC.request_gap_ms));
    assert_eq!(request(&next), Ok(()));
}

#[test]
fn a_suspected_restart_lasts_until_the_replica_reports_or_would_be_warm() {
    let mut tracker = WarmupTracker::default();
    tracker.suspect_restart(1_000, &"r", 3_000);
    assert!(tracker.is_cold(3_999, &"r") && !tracker.is_cold(4_000, &"r"));
    tracker.record_report(2_000, &"r", 500);
    assert!(tracker.is_cold(2_499, &"r") && !tracker.is_cold(2_500, &"r"));
    tracker.record_report(2_040, &"r", 0);
    assert!(!tracker.is_cold(2_040, &"r"));
    let mut throttle = PermitThrottle::default();
    throttle.record_refusal(2_000, 2_000, &"r", wait(100));
    assert_eq!(throttle.wait_ms(2_040, &"r"), Some(60));
    assert_eq!(throttle.wait_ms(2_100, &"r"), None);
}

fn need() -> Need {
    Need {
        service: Some(ServiceName::from("plain")),
        ..Need::default()
    }
}

fn choose(table: &ReplicaTable, now_ms: u64) -> Choice {
    table.choose(
        now_ms,
        &need(),
        &Default::default(),
        EngineBounds::default(),
    )
}

#[test]
fn an_entry_sends_to_a_cold_replica_only_with_a_permit() {
    let mut table = ReplicaTable::new(ChoicePolicy::default(), flat_location("hall"));
    let id = ReplicaId::from("r");
    table.update_services(&BTreeMap::from([(
        ServiceName::from("plain"),
        cold_service(),
    )]));
    table.update_records(1_000, &BTreeMap::from([(id.clone(), record(2_000, 1))]));
    // A permit may be requested for it, but nothing is sent without one.
    assert_eq!(choose(&table, 1_100), Choice::Send(id.clone()));
    assert!(table.is_cold(1_100, &id));
    let blocked = table.claim(1_100, &incarnation(), None);
    assert_eq!(blocked, Err(SendBlock::RateLimited { left_ms: 0 }));
    table
        .permit_throttle_mut()
        .record_refusal(1_100, 1_100, &id, wait(140));
    assert_eq!(choose(&table, 1_200), Choice::RateLimited(40));
    assert_eq!(table.capacity_in_ms(1_200, &need()), Some(40));
    assert_eq!(choose(&table, 1_240), Choice::Send(id.clone()));
    // It is warm after the announced time, or once it reports so.
    assert!(table.claim(3_000, &incarnation(), None).is_ok());
    table.update_records(1_300, &BTreeMap::from([(id.clone(), record(0, 2))]));
    assert!(table.claim(1_300, &incarnation(), None).is_ok());
    // A replica that could not be reached, or has been silent for long, may have restarted.
    table.suspect_restart(5_000, &id);
    assert!(table.claim(5_001, &incarnation(), None).is_err());
    assert!(table.claim(8_000, &incarnation(), None).is_ok());
    let silent = ReplicaRecord {
        phase: ReplicaPhase::Silent,
        ..record(0, 2)
    };
    table.update_records(9_000, &BTreeMap::from([(id.clone(), silent)]));
    assert!(table.is_cold(60_000, &id));
    // After a refusal it gets nothing for the refusal's wait time, as with other replicas.
    table
        .permit_throttle_mut()
        .record_refusal(60_000, 60_000, &id, wait(300));
    assert_eq!(choose(&table, 60_299), Choice::RateLimited(1));
    table.prune(60_100);
    assert_eq!(choose(&table, 60_200), Choice::RateLimited(100));
    assert_eq!(choose(&table, 60_300), Choice::Send(id.clone()));
}

fn cold_ms(state: &SiteState) -> u64 {
    state.replicas.records()[&ReplicaId::from("r")].cold_ms
}

fn heartbeat(state: &mut SiteState, at_ms: u64, record: ReplicaRecord) {
    apply(state, at_ms, Command::Replica(Box::new(record)));
}

#[test]
fn members_receive_the_warm_up_of_a_replica_and_its_end() {
    let mut state = configured("plain", cold_service());
    for (number, cold) in [(1, 2_900), (2, 1_700), (3, 500), (4, 0), (5, 0)] {
        let before = state.position;
        heartbeat(&mut state, number * 1_200, record(cold, number));
        assert_eq!(cold_ms(&state), cold);
        let changes = state.changes_after(before).unwrap();
        let published = changes
            .iter()
            .any(|change| matches!(change, Change::Replica(..)));
        assert_eq!(published, number < 5, "heartbeat {number}");
    }
}

/// Extreme values in a foreign heartbeat or a configuration do not block a replica or overflow.
#[test]
fn a_replica_is_cold_for_at_most_the_warm_up_time_of_its_service() {
    let mut state = configured("plain", cold_service());
    heartbeat(&mut state, 0, record(u64::MAX, 1));
    assert_eq!(cold_ms(&state), SPEC.lasts_ms);
    let mut tracker = WarmupTracker::default();
    tracker.record_report(5, &"r", u64::MAX);
    tracker.suspect_restart(5, &"r", u64::MAX);
    let mut throttle = PermitThrottle::default();
    throttle.record_refusal(5, 5, &"r", wait(u64::MAX));
    assert!(throttle.wait_ms(u64::MAX - 1, &"r").is_some());
    assert!(tracker.is_cold(u64::MAX - 1, &"r"));
    let mut limiter = RateLimiter::new(0);
    assert_eq!(limiter.try_acquire(9_000, &incarnation(), u64::MAX), Ok(()));
    assert!(
        limiter
            .try_acquire(9_000, &incarnation(), u64::MAX)
            .is_err()
    );
}

/// Otherwise each heartbeat of a warm-up would be committed for replicas without a warm-up rate.
#[test]
fn a_warm_up_changes_nothing_if_the_service_has_no_rate() {
    let mut state = configured("plain", plain_service(None));
    heartbeat(&mut state, 0, record(2_900, 1));
    let changed = state.changed();
    heartbeat(&mut state, 1_200, record(1_700, 2));
    assert_eq!((cold_ms(&state), state.changed()), (0, changed));
}

/// The failure: a hall was opened again just after its replicas had turned cold, and one of them
/// got 16 requests in a second where 15 were allowed. Entries used its heartbeat from before it
/// turned cold.
#[test]
fn replicas_of_a_reopened_hall_are_cold_despite_a_late_heartbeat() {
    let hall = HallName::from("hall");
    let mut state = configured("plain", cold_service());
    heartbeat(&mut state, 0, record(0, 1));
    apply(&mut state, 10_000, Command::Evacuate(hall.clone()));
    apply(&mut state, 20_000, Command::Restore(hall));
    assert_eq!(cold_ms(&state), SPEC.lasts_ms);
    // The clock of the state only advances with commits, and nothing else is committed.
    assert_eq!(state.compare_heartbeat(&record(0, 2)), HeartbeatStatus::New);
    heartbeat(&mut state, 21_000, record(0, 2));
    assert_eq!(cold_ms(&state), SPEC.lasts_ms - 1_000);
    heartbeat(&mut state, 23_000, record(0, 3));
    assert_eq!(cold_ms(&state), 0);
}
