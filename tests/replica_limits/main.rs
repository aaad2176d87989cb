//! Advertised rate limits over all entries together: arrivals are counted against the limit
//! while leaders are lost and entries restart, freeze and are cut off.

#[path = "../support_spans/mod.rs"]
mod support_spans;
mod world;

use dunlinspring::ids::{ReplicaIncarnation, Term};
use dunlinspring::placement::advertised_limits::{
    AdvertisedLimits, IncarnationState, LimitCursor, LimitEnd, LimitObservation, LimitReport,
    PermitStamp,
};
use dunlinspring::placement::advertised_rate::AdvertisedRate;
use dunlinspring::routing::limited_peers::LimitedPeers;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use support_spans::most_within;
use world::{Phase, Step, World, replica};

/// Window in which arrivals are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// Time after the replica starts to advertise a limit in which arrivals are not counted, in ms.
/// The users who run the replicas allow 3 s.
const LIMIT_SETTLING_MS: u64 = 1_500;
/// Time after an entry learns of a limit in which its requests are not counted, in milliseconds.
const ENTRY_SETTLING_MS: u64 = 500;
/// Numbers of entries in the tested deployments.
const SIZES: [usize; 4] = [1, 5, 60, 360];

/// Returns the most arrivals in a window, as required by the users who run the replicas.
fn allowed(per_s: f64) -> usize {
    (1.5 * per_s * WINDOW_MS as f64 / 1_000.0) as usize + 5
}

/// Returns the most arrivals in a window of a phase, from entries that knew the limit.
fn max_in_window(world: &World, phase: &Phase) -> usize {
    let from_ms = phase.from_ms + LIMIT_SETTLING_MS;
    let counted = world.arrivals.iter().filter(|arrival| {
        let known_ms = arrival.known_ms;
        let knew = known_ms.is_some_and(|ms| ms + ENTRY_SETTLING_MS <= arrival.at_ms);
        knew && (from_ms..phase.until_ms).contains(&arrival.at_ms)
    });
    most_within(counted.map(|arrival| arrival.at_ms), WINDOW_MS)
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        12 => (1u64..400).prop_map(Step::Wait),
        3 => (400u64..3_000).prop_map(Step::Wait),
        10 => (any::<usize>(), 1u32..20).prop_map(|(entry, count)| Step::Demand(entry, count)),
        6 => (1usize..400).prop_map(Step::DemandAll),
        2 => (200u32..20_000).prop_map(Step::Advertise),
        1 => Just(Step::Advertise(0)),
        1 => Just(Step::Withdraw),
        1 => (1u64..2_000).prop_map(Step::Slow),
        1 => Just(Step::LoseLeader),
        1 => any::<usize>().prop_map(Step::Restart),
        1 => (any::<usize>(), 100u64..6_000).prop_map(|(entry, ms)| Step::Freeze(entry, ms)),
        1 => (any::<usize>(), 100u64..6_000).prop_map(|(entry, ms)| Step::Cut(entry, ms)),
    ]
}

fn cases() -> u32 {
    let named = std::env::var("DUNLINSPRING_CASES");
    named.ok().and_then(|text| text.parse().ok()).unwrap_or(100)
}

proptest! {
    #![proptest_config(Config {
        cases: cases(),
        rng_seed: RngSeed::Fixed(46),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn no_window_exceeds_the_advertised_limit(
        size in prop::sample::select(&SIZES[..]),
        seed in any::<u64>(),
        first in 200u32..20_000,
        steps in prop::collection::vec(step(), 50..150),
    ) {
        let mut world = World::new(size, seed);
        world.step(Step::Advertise(first));
        for step in steps {
            world.step(step);
        }
        for phase in &world.phases {
            let most = max_in_window(&world, phase);
            let allowed = allowed(phase.per_s);
            prop_assert!(most <= allowed, "{} in a window, {} allowed, {:?}", most, allowed, phase);
        }
    }
}

/// Sends requests at the first `size` entries every 20 ms for a time.
fn send_load(world: &mut World, size: usize, for_ms: u64) {
    for _ in 0..for_ms / 20 {
        world.step(Step::DemandAll(size));
        world.step(Step::Wait(20));
    }
}

#[test]
fn most_of_the_limit_is_used_under_load() {
    for size in SIZES {
        for thousandths in [200, 1_000, 5_000, 20_000] {
            let mut world = World::new(size, 1);
            world.step(Step::Advertise(thousandths));
            send_load(&mut world, size, 5_000);
            let (before, permit_requests) = (world.arrivals.len(), world.permit_requests);
            send_load(&mut world, size, 60_000);
            let got = world.arrivals.len() - before;
            let limit = f64::from(thousandths) / 1_000.0 * 60.0;
            println!(
                "{size} entries, {limit} allowed in 60 s: {got} came, {} permit requests",
                world.permit_requests - permit_requests
            );
            assert!(
                got as f64 >= limit * 0.8,
                "{size} entries: {got} of {limit}"
            );
        }
    }
}

#[test]
fn permit_requests_do_not_grow_with_entries_times_rate() {
    let mut world = World::new(360, 1);
    world.step(Step::Advertise(1_000));
    send_load(&mut world, 360, 20_000);
    let before = world.permit_requests;
    send_load(&mut world, 360, 60_000);
    // One for each request sent, and one from each entry every 10 s.
    let most = 60 + 360 * 6;
    assert!(
        world.permit_requests - before <= most + most / 10,
        "{}",
        world.permit_requests - before
    );
}

#[test]
fn after_a_response_without_a_limit_all_entries_are_unlimited_within_a_second() {
    for size in SIZES {
        for seed in 0..20 {
            let mut world = World::new(size, seed);
            world.step(Step::Advertise(2_000));
            send_load(&mut world, size, 6_000);
            assert_eq!(world.limited(), size);
            world.step(Step::Withdraw);
            while world.limited() > 0 {
                send_load(&mut world, size.min(2), 20);
                let first_unlimited_ms = world.first_unlimited_ms.unwrap_or(world.now_ms());
                assert!(
                    world.now_ms() < first_unlimited_ms + 1_000,
                    "{} entries still",
                    world.limited()
                );
            }
        }
    }
}

#[test]
fn the_lowest_valid_limit_in_a_head_counts() {
    let gap_us =
        |values: &[&str]| AdvertisedRate::parse(values.iter().copied()).map(|rate| rate.gap_us);
    assert_eq!(gap_us(&["2"]), Some(500_000));
    assert_eq!(gap_us(&[" 0.5 "]), Some(2_000_000));
    assert_eq!(gap_us(&["3"]), Some(333_334));
    assert_eq!(gap_us(&["5", "2"]), Some(500_000));
    assert_eq!(gap_us(&["2, 5", "x"]), Some(500_000));
    assert_eq!(gap_us(&["1e9"]), Some(1));
    for next_to_nothing in ["0", "-0", "1e-9", "1e-320"] {
        assert_eq!(gap_us(&[next_to_nothing]), Some(10_000_000));
    }
    for none in ["", "-1", "inf", "NaN", "-inf", "soon", "1;2", "0x10"] {
        assert_eq!(gap_us(&[none]), None, "{none}");
    }
    assert_eq!(gap_us(&[]), None);
}

/// A new leader that has not learned of a limit would let requests through as to any unlimited
/// replica.
#[test]
fn a_new_leader_grants_no_permit_to_entries_that_know_a_limit_of_the_previous_term() {
    for seed in 0..20 {
        let mut world = World::new(60, seed);
        world.step(Step::Advertise(200));
        send_load(&mut world, 1, 6_000);
        assert_eq!(world.limited(), 60);
        // Only entry 0 has received a response that advertises the limit.
        world.step(Step::Restart(0));
        world.step(Step::LoseLeader);
        let before = world.arrivals.len();
        for _ in 0..200 {
            (1..60).for_each(|entry| world.step(Step::Demand(entry, 1)));
            world.step(Step::Wait(20));
        }
        let sent = world.arrivals.len() - before;
        assert!(sent <= allowed(0.2), "{sent} sent, seed {seed}");
    }
}

const TERM: Term = Term(3);

fn stamp(granted_ms: u64) -> PermitStamp {
    PermitStamp {
        term: TERM,
        granted_ms,
    }
}

fn observation(per_s: &str, age_ms: u64, permit: Option<PermitStamp>) -> LimitObservation {
    LimitObservation {
        replica: replica(),
        rate: AdvertisedRate::parse([per_s].into_iter()).unwrap(),
        age_ms,
        permit,
    }
}

fn end(permit: PermitStamp) -> LimitEnd {
    LimitEnd {
        replica: replica(),
        permit,
    }
}

#[test]
fn a_late_older_response_neither_ends_nor_starts_a_limit() {
    let mut limits = AdvertisedLimits::new(TERM, 0);
    assert!(limits.observe(5_000, &observation("2", 0, None)));
    // Its request left before the limit was observed.
    assert!(!limits.observe_end(6_000, &end(stamp(5_000))));
    let other_leader = PermitStamp {
        term: Term(2),
        granted_ms: 9_000,
    };
    assert!(!limits.observe_end(6_000, &end(other_leader)));
    assert!(limits.rate(&replica()).is_some());
    assert!(limits.observe_end(7_000, &end(stamp(6_000))));
    // Received before the request left whose response showed the end.
    assert!(!limits.observe(7_500, &observation("2", 1_500, None)));
    assert!(limits.rate(&replica()).is_none());
    assert!(limits.observe(7_500, &observation("2", 1_499, None)));
}

#[test]
fn a_lower_limit_counts_at_once_and_a_higher_one_by_a_newer_request() {
    let mut limits = AdvertisedLimits::new(TERM, 0);
    let gap_us = |limits: &AdvertisedLimits| limits.rate(&replica()).unwrap().gap_us;
    limits.observe(5_000, &observation("2", 0, None));
    limits.observe(5_500, &observation("1", 0, Some(stamp(100))));
    assert_eq!(gap_us(&limits), 1_000_000);
    limits.observe(6_000, &observation("4", 0, Some(stamp(5_500))));
    assert_eq!(gap_us(&limits), 1_000_000);
    limits.observe(6_500, &observation("4", 0, Some(stamp(5_501))));
    assert_eq!(gap_us(&limits), 250_000);
}

#[test]
fn a_limit_ends_with_its_incarnation_but_not_with_its_record() {
    let later = ReplicaIncarnation {
        started_ms: 8,
        ..replica()
    };
    let mut limits = AdvertisedLimits::new(TERM, 0);
    limits.observe(5_000, &observation("2", 0, None));
    assert!(limits.rate(&later).is_none());
    limits.prune(500_000, |_| IncarnationState::Unknown);
    assert!(limits.rate(&replica()).is_some());
    limits.prune(500_000, |_| IncarnationState::Current);
    limits.prune(1_000_000, |_| IncarnationState::Unknown);
    assert!(limits.rate(&replica()).is_some());
    limits.prune(1_000_001, |_| IncarnationState::Replaced);
    assert!(limits.rate(&replica()).is_none());
    // An entry that knew the limit gets a full page of the remaining ones.
    let had = LimitCursor {
        term: TERM,
        revision: 0,
    };
    let page = limits.page(1_000_001, had);
    assert!(page.full && page.limits.is_empty());

    let mut peers = LimitedPeers::default();
    peers.record_limit(1_000, &replica(), observation("2", 0, None).rate, None);
    assert!(peers.is_limited(&replica()) && !peers.is_limited(&later));
    peers.prune(|incarnation| incarnation.started_ms < 8);
    assert!(!peers.is_limited(&replica()));
}

#[test]
fn an_entry_cut_off_while_a_limit_ended_drops_it() {
    let mut limits = AdvertisedLimits::new(TERM, 0);
    let mut peers = LimitedPeers::default();
    peers.record_limit(5_000, &replica(), observation("2", 0, None).rate, None);
    let reported = peers.report(5_000);
    let page = {
        limits.observe(5_010, &reported.observed[0]);
        limits.report(5_010, &reported)
    };
    peers.acknowledge(5_000, &reported);
    peers.apply_page(5_020, &page);
    // Observed once more, but not reported.
    peers.record_limit(5_500, &replica(), observation("2", 0, None).rate, None);
    limits.observe_end(9_000, &end(stamp(8_000)));
    let missed = limits.page(9_500, peers.cursor());
    peers.apply_page(9_500, &missed);
    assert!(peers.is_limited(&replica()) && peers.is_report_due());
    let report: LimitReport = peers.report(9_600);
    limits.observe(9_610, &report.observed[0]);
    let page = limits.report(9_610, &report);
    peers.acknowledge(9_600, &report);
    peers.apply_page(9_620, &page);
    assert!(!peers.is_limited(&replica()));
}

#[test]
fn a_raised_limit_takes_effect_soon() {
    for size in SIZES {
        let mut world = World::new(size, 1);
        world.step(Step::Advertise(0));
        send_load(&mut world, size, 25_000);
        world.step(Step::Advertise(20_000));
        // The response to the next request advertises the new limit.
        send_load(&mut world, size, 12_000);
        let before = world.arrivals.len();
        send_load(&mut world, size, 5_000);
        let got = world.arrivals.len() - before;
        assert!(got >= 80, "{size} entries: {got} of 100");
    }
}

#[test]
fn an_older_page_after_a_newer_one_ends_no_limit() {
    let mut limits = AdvertisedLimits::new(TERM, 0);
    let mut peers = LimitedPeers::default();
    limits.observe(5_000, &observation("2", 0, None));
    limits.observe_end(6_000, &end(stamp(5_500)));
    let older = limits.page(6_000, peers.cursor());
    limits.observe(6_100, &observation("2", 0, None));
    let newer = limits.page(6_100, peers.cursor());
    peers.apply_page(6_200, &newer);
    peers.apply_page(6_210, &older);
    assert!(peers.is_limited(&replica()));
}
