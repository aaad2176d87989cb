//! Control hosts that are lost for good, in drawn histories beside cuts, freezes, restarts and lost
//! disks: never more of them at once than the settings name, each counted until a stated time after
//! it is back or after its successor has started.
//!
//! `DUNLINSPRING_CASES` sets the number of histories and `DUNLINSPRING_SEED` the first seed.

mod world;

use std::ops::Range;
use std::thread;

use world::{CATCH_UP_MS, Fault, HistoryReport, LossWorld, Replacement};

/// Number of drawn histories in CI.
const HISTORIES: u64 = 60;
/// Length of a drawn history, in milliseconds.
const HISTORY_MS: u64 = 40_000;

fn environment(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn seeds() -> Range<u64> {
    let first = environment("DUNLINSPRING_SEED").unwrap_or(1);
    first..first + environment("DUNLINSPRING_CASES").unwrap_or(HISTORIES)
}

/// Plays a history with each seed, on several threads, and returns the reports in the order of the
/// seeds.
fn play_all(play: impl Fn(&mut LossWorld) + Sync) -> Vec<(u64, HistoryReport)> {
    let seeds: Vec<u64> = seeds().collect();
    let threads = thread::available_parallelism().map_or(1, |count| count.get());
    let share = seeds.len().div_ceil(threads).max(1);
    let play_seed = |seed: u64| {
        let mut world = LossWorld::new(seed);
        play(&mut world);
        (seed, world.into_report())
    };
    let play_share = |share: &[u64]| -> Vec<(u64, HistoryReport)> {
        share.iter().map(|seed| play_seed(*seed)).collect()
    };
    thread::scope(|scope| {
        let shares = seeds.chunks(share);
        let running: Vec<_> = shares
            .map(|share| scope.spawn(move || play_share(share)))
            .collect();
        let ended = running.into_iter().map(|share| share.join().unwrap());
        ended.flatten().collect()
    })
}

fn assert_no_findings(reports: &[(u64, HistoryReport)]) {
    let broken = reports
        .iter()
        .filter(|(_, report)| !report.findings.is_empty());
    let shown: Vec<String> = broken
        .map(|(seed, report)| format!("seed {seed}: {}", report.findings[0]))
        .collect();
    let total = reports.len();
    assert!(
        shown.is_empty(),
        "{} of {total} histories: {shown:#?}",
        shown.len()
    );
}

/// Two of five hosts are lost at one moment, and two more as soon as that may be: lost voters that
/// stay in the set would leave no quorum.
#[test]
fn pairs_of_hosts_lost_for_good_leave_a_quorum() {
    let reports = play_all(|world| {
        world.run_until(10_000);
        for pair in 0..4 {
            let at_ms = 10_000 + pair * (1_700 + CATCH_UP_MS + 100);
            world.run_until(at_ms);
            for _ in 0..2 {
                world.strike(Fault::Replace(Replacement::Unplanned { pause_ms: 1_700 }));
            }
        }
        world.run_until(40_000);
    });
    assert_no_findings(&reports);
}

/// Once a successor has had its time, the set holds it and bears as many losses as the settings
/// name, whatever was lost, cut off, frozen or restarted before.
#[test]
fn drawn_losses_leave_a_set_that_bears_the_next_ones() {
    let reports = play_all(|world| {
        world.run_until(10_000);
        world.run_drawn(HISTORY_MS);
    });
    let mut settled: Vec<u64> = reports
        .iter()
        .flat_map(|(_, report)| report.settled_ms.iter().copied())
        .collect();
    settled.sort_unstable();
    let part = |per_mille: usize| settled.get(settled.len() * per_mille / 1000);
    println!(
        "{} successors; ms until the set holds them and none that is gone: median {:?}, 99 in 100 \
         {:?}, longest {:?}",
        settled.len(),
        part(500),
        part(990),
        settled.last()
    );
    assert_no_findings(&reports);
}

/// Disks are lost one after the other, each host back after 3 s: a leader that never heard of the
/// old disk of a host must not keep it as a voter beside the new one.
#[test]
fn disks_lost_one_after_the_other_leave_a_quorum() {
    let reports = play_all(|world| {
        for loss in 0..12 {
            world.run_until(10_000 + loss * 3_550);
            world.strike(Fault::LoseDisk { down_ms: 3_000 });
        }
        world.run_until(60_000);
    });
    assert_no_findings(&reports);
}

/// A voter that was dropped while it was cut off joins again, although all hosts that its settings
/// named are gone for good.
#[test]
fn a_voter_whose_first_contacts_are_gone_comes_back() {
    let reports = play_all(|world| {
        let lost = Fault::Replace(Replacement::Unplanned { pause_ms: 500 });
        for founder in 0..3 {
            world.run_until(10_000 + founder as u64 * 6_000);
            world.strike_at(founder, lost);
        }
        world.run_until(30_000);
        world.strike_at(4, Fault::Cut { ms: 6_000 });
        world.run_until(30_300);
        world.strike_at(3, lost);
        world.run_until(45_000);
    });
    assert_no_findings(&reports);
}
