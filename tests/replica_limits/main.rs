//! Limits that replicas name, over all entries together: what arrives is counted against what
//! they named, while leaders are lost, and entries start again, stand still and are cut off.

#[path = "../support_spans/mod.rs"]
mod support_spans;
mod world;

use dunlinspring::ids::{ReplicaIncarnation, Term};
use dunlinspring::placement::named_limits::{
    AdvertisedLimits, IncarnationState, LimitCursor, LimitEnd, LimitObservation, LimitReport,
    PermitStamp,
};
use dunlinspring::placement::named_rate::AdvertisedRate;
use dunlinspring::routing::limited_peers::LimitedPeers;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use support_spans::most_within;
use world::{Phase, Step, World, replica};

/// The span in which arrivals are counted, in milliseconds.
const SPAN_MS: u64 = 4_000;
/// Time from the first answer that names a limit on, in milliseconds; its users allow 3 s.
const FIRST_MS: u64 = 1_500;
/// Time from when an entry knows of it on, in milliseconds.
const KNOWN_MS: u64 = 500;
/// Sizes of the deployments that are drawn.
const SIZES: [usize; 4] = [1, 5, 60, 360];

/// What may arrive in a span, as the replicas' users state it.
fn allowed(per_s: f64) -> usize {
    (1.5 * per_s * SPAN_MS as f64 / 1_000.0) as usize + 5
}

/// Most arrivals in a span of a phase, from entries that knew.
fn most_in_a_span(world: &World, phase: &Phase) -> usize {
    let from_ms = phase.from_ms + FIRST_MS;
    let counted = world.arrivals.iter().filter(|arrival| {
        let known_ms = arrival.known_ms;
        let knew = known_ms.is_some_and(|ms| ms + KNOWN_MS <= arrival.at_ms);
        knew && (from_ms..phase.until_ms).contains(&arrival.at_ms)
    });
    most_within(counted.map(|arrival| arrival.at_ms), SPAN_MS)
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        12 => (1u64..400).prop_map(Step::Wait),
        3 => (400u64..3_000).prop_map(Step::Wait),
        10 => (any::<usize>(), 1u32..20).prop_map(|(entry, count)| Step::Demand(entry, count)),
        6 => (1usize..400).prop_map(Step::Crowd),
        2 => (200u32..20_000).prop_map(Step::Name),
        1 => Just(Step::Name(0)),
        1 => Just(Step::Recover),
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
    fn no_span_brings_more_than_a_replica_named(
        size in prop::sample::select(&SIZES[..]),
        seed in any::<u64>(),
        first in 200u32..20_000,
        steps in prop::collection::vec(step(), 50..150),
    ) {
        let mut world = World::new(size, seed);
        world.step(Step::Name(first));
        for step in steps {
            world.step(step);
        }
        for phase in &world.phases {
            let most = most_in_a_span(&world, phase);
            let allowed = allowed(phase.per_s);
            prop_assert!(most <= allowed, "{} in a span, {} allowed, {:?}", most, allowed, phase);
        }
    }
}

/// Demand at all entries for so long.
fn press(world: &mut World, size: usize, for_ms: u64) {
    for _ in 0..for_ms / 20 {
        world.step(Step::Crowd(size));
        world.step(Step::Wait(20));
    }
}

#[test]
fn while_there_is_demand_most_of_the_limit_is_used() {
    for size in SIZES {
        for thousandths in [200, 1_000, 5_000, 20_000] {
            let mut world = World::new(size, 1);
            world.step(Step::Name(thousandths));
            press(&mut world, size, 5_000);
            let (before, asked) = (world.arrivals.len(), world.asked);
            press(&mut world, size, 60_000);
            let got = world.arrivals.len() - before;
            let limit = f64::from(thousandths) / 1_000.0 * 60.0;
            println!(
                "{size} entries, {limit} allowed in 60 s: {got} came, {} asked",
                world.asked - asked
            );
            assert!(
                got as f64 >= limit * 0.8,
                "{size} entries: {got} of {limit}"
            );
        }
    }
}

#[test]
fn permits_asked_do_not_grow_with_the_entries_times_the_rate() {
    let mut world = World::new(360, 1);
    world.step(Step::Name(1_000));
    press(&mut world, 360, 20_000);
    let before = world.asked;
    press(&mut world, 360, 60_000);
    // One each for the requests that go, and each entry looks again every 10 s.
    let most = 60 + 360 * 6;
    assert!(
        world.asked - before <= most + most / 10,
        "{}",
        world.asked - before
    );
}

#[test]
fn after_an_answer_without_a_limit_all_entries_send_freely_within_a_second() {
    for size in SIZES {
        for seed in 0..20 {
            let mut world = World::new(size, seed);
            world.step(Step::Name(2_000));
            press(&mut world, size, 6_000);
            assert_eq!(world.limited(), size);
            world.step(Step::Recover);
            while world.limited() > 0 {
                press(&mut world, size.min(2), 20);
                let free_ms = world.free_ms.unwrap_or(world.now_ms());
                assert!(
                    world.now_ms() < free_ms + 1_000,
                    "{} entries still",
                    world.limited()
                );
            }
        }
    }
}

#[test]
fn a_limit_is_read_as_the_lowest_number_there_is() {
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

/// A leader that was not told of a limit would let requests go as to any other replica.
#[test]
fn a_new_leader_gives_no_permit_to_an_entry_that_knows_of_a_limit_by_the_one_before() {
    for seed in 0..20 {
        let mut world = World::new(60, seed);
        world.step(Step::Name(200));
        press(&mut world, 1, 6_000);
        assert_eq!(world.limited(), 60);
        // Entry 0 alone has heard an answer that names the limit.
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

fn notice(per_s: &str, age_ms: u64, permit: Option<PermitStamp>) -> LimitObservation {
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
fn an_older_answer_that_comes_late_neither_ends_nor_begins_a_limit() {
    let mut limits = AdvertisedLimits::new(TERM, 0);
    assert!(limits.observe(5_000, &notice("2", 0, None)));
    // Its request left before the limit was heard of.
    assert!(!limits.observe_end(6_000, &end(stamp(5_000))));
    let other_leader = PermitStamp {
        term: Term(2),
        granted_ms: 9_000,
    };
    assert!(!limits.observe_end(6_000, &end(other_leader)));
    assert!(limits.rate(&replica()).is_some());
    assert!(limits.observe_end(7_000, &end(stamp(6_000))));
    // It came before the request left that showed the end.
    assert!(!limits.observe(7_500, &notice("2", 1_500, None)));
    assert!(limits.rate(&replica()).is_none());
    assert!(limits.observe(7_500, &notice("2", 1_499, None)));
}

#[test]
fn a_lower_number_counts_at_once_and_a_higher_one_by_a_newer_request() {
    let mut limits = AdvertisedLimits::new(TERM, 0);
    let gap_us = |limits: &AdvertisedLimits| limits.rate(&replica()).unwrap().gap_us;
    limits.observe(5_000, &notice("2", 0, None));
    limits.observe(5_500, &notice("1", 0, Some(stamp(100))));
    assert_eq!(gap_us(&limits), 1_000_000);
    limits.observe(6_000, &notice("4", 0, Some(stamp(5_500))));
    assert_eq!(gap_us(&limits), 1_000_000);
    limits.observe(6_500, &notice("4", 0, Some(stamp(5_501))));
    assert_eq!(gap_us(&limits), 250_000);
}

#[test]
fn no_limit_outlives_a_life_and_none_goes_with_a_record() {
    let later = ReplicaIncarnation {
        started_ms: 8,
        ..replica()
    };
    let mut limits = AdvertisedLimits::new(TERM, 0);
    limits.observe(5_000, &notice("2", 0, None));
    assert!(limits.rate(&later).is_none());
    limits.prune(500_000, |_| IncarnationState::Unknown);
    assert!(limits.rate(&replica()).is_some());
    limits.prune(500_000, |_| IncarnationState::Current);
    limits.prune(1_000_000, |_| IncarnationState::Unknown);
    assert!(limits.rate(&replica()).is_some());
    limits.prune(1_000_001, |_| IncarnationState::Replaced);
    assert!(limits.rate(&replica()).is_none());
    // An entry that had it is told all that is left.
    let had = LimitCursor {
        term: TERM,
        revision: 0,
    };
    let page = limits.page(1_000_001, had);
    assert!(page.full && page.limits.is_empty());

    let mut peers = LimitedPeers::default();
    peers.record_limit(1_000, &replica(), notice("2", 0, None).rate, None);
    assert!(peers.is_limited(&replica()) && !peers.is_limited(&later));
    peers.prune(|life| life.started_ms < 8);
    assert!(!peers.is_limited(&replica()));
}

#[test]
fn an_entry_that_was_cut_off_while_a_limit_ended_gives_it_up() {
    let mut limits = AdvertisedLimits::new(TERM, 0);
    let mut peers = LimitedPeers::default();
    peers.record_limit(5_000, &replica(), notice("2", 0, None).rate, None);
    let told = peers.report(5_000);
    let page = {
        limits.observe(5_010, &told.observed[0]);
        limits.report(5_010, &told)
    };
    peers.acknowledge(5_000, &told);
    peers.apply_page(5_020, &page);
    // Heard once more, but not told.
    peers.record_limit(5_500, &replica(), notice("2", 0, None).rate, None);
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
fn a_replica_that_names_a_higher_limit_gets_it_soon() {
    for size in SIZES {
        let mut world = World::new(size, 1);
        world.step(Step::Name(0));
        press(&mut world, size, 25_000);
        world.step(Step::Name(20_000));
        // The next request that goes there brings it.
        press(&mut world, size, 12_000);
        let before = world.arrivals.len();
        press(&mut world, size, 5_000);
        let got = world.arrivals.len() - before;
        assert!(got >= 80, "{size} entries: {got} of 100");
    }
}

#[test]
fn an_older_page_that_comes_after_a_newer_one_ends_no_limit() {
    let mut limits = AdvertisedLimits::new(TERM, 0);
    let mut peers = LimitedPeers::default();
    limits.observe(5_000, &notice("2", 0, None));
    limits.observe_end(6_000, &end(stamp(5_500)));
    let older = limits.page(6_000, peers.cursor());
    limits.observe(6_100, &notice("2", 0, None));
    let newer = limits.page(6_100, peers.cursor());
    peers.apply_page(6_200, &newer);
    peers.apply_page(6_210, &older);
    assert!(peers.is_limited(&replica()));
}
