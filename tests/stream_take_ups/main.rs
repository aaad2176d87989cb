//! Drawn plays of streams that clients take up while several software versions serve.
//!
//! `DUNLINSPRING_CASES` sets the number of plays of each kind and `DUNLINSPRING_SEED` the first seed.

mod model;
#[path = "../support_replicas/mod.rs"]
mod support_replicas;

use model::{Draw, Play, PlayCounts, PlayEvent, PlaySetup};

/// Number of replicas of the first version.
const REPLICAS: u64 = 6;
/// Time at which the second version begins to replace the first one, in milliseconds.
const RELEASE_MS: u64 = 3_000;
/// Lowest ratio of the share of take-ups that go on to the share of new streams that begin.
const LOWEST_RATIO: f64 = 0.95;

fn setting(name: &str, usual: u64) -> u64 {
    let text = std::env::var(name);
    text.map_or(usual, |text| text.parse().expect("a number"))
}

/// Events of a play, to which each kind adds its troubles.
struct PlayScript {
    draw: Draw,
    setup: PlaySetup,
}

impl PlayScript {
    /// A site whose replicas run one version.
    fn new(seed: u64) -> Self {
        let mut draw = Draw(seed ^ 0x5eed);
        let setup = PlaySetup {
            entries: draw.range(4, 6) as usize,
            hosts: draw.range(5, 8) as usize,
            max_lag_ms: 50,
            loss_percent: 1,
            events: Vec::new(),
        };
        let mut script = Self { draw, setup };
        for number in 0..REPLICAS {
            script.start(10, number, "v1");
        }
        script
    }

    fn add(&mut self, at_ms: u64, event: PlayEvent) {
        self.setup.events.push((at_ms, event));
    }

    fn start(&mut self, at_ms: u64, number: u64, version: &'static str) {
        let event = PlayEvent::Start {
            id: format!("r{number}"),
            version: Some(version),
            holds: true,
        };
        self.add(at_ms, event);
    }

    /// Starts the replicas of the service to which the route may move.
    fn start_other_service(&mut self) {
        for number in 0..REPLICAS {
            let event = PlayEvent::StartOther {
                id: format!("o{number}"),
                version: "v1",
            };
            self.add(20, event);
        }
    }

    fn drain(&mut self, at_ms: u64, number: u64) {
        let lasts_ms = self.draw.range(1_000, 4_000);
        self.add(at_ms, PlayEvent::Drain(format!("r{number}")));
        self.add(at_ms + lasts_ms, PlayEvent::End(format!("r{number}")));
    }

    /// Replaces replicas one after another: the new one starts first.
    fn release(&mut self, at_ms: u64, old: u64, new: u64, count: u64, version: &'static str) {
        for number in 0..count {
            let at_ms = at_ms + number * 1_500;
            self.start(at_ms, new + number, version);
            self.drain(at_ms + 300, old + number);
        }
    }

    fn streams(&mut self, count: u64, from_ms: u64, to_ms: u64, entry: Option<usize>) {
        for _ in 0..count {
            let at_ms = self.draw.range(from_ms, to_ms);
            self.add(at_ms, PlayEvent::Begin(entry));
        }
    }

    /// Half of the replicas are replaced while streams begin and break.
    fn half_release(seed: u64) -> Self {
        let mut script = Self::new(seed);
        script.streams(250, 1_000, 12_000, None);
        script.release(RELEASE_MS, 0, 10, REPLICAS / 2, "v2");
        script
    }

    fn any_entry(&mut self) -> usize {
        self.draw.range(0, self.setup.entries as u64 - 1) as usize
    }
}

/// Runs plays of a kind, prints their counts and checks that no stream has events of two versions.
fn play(kind: &str, script: impl Fn(u64) -> PlayScript) -> PlayCounts {
    let first = setting("DUNLINSPRING_SEED", 1);
    let mut counts = PlayCounts::default();
    for seed in first..first + setting("DUNLINSPRING_CASES", 4) {
        let of_seed = Play::new(seed, script(seed).setup).run();
        assert_eq!(of_seed.begun_anew, 0, "{kind}, seed {seed}: begun anew");
        assert_eq!(of_seed.mixed, 0, "{kind}, seed {seed}: mixed");
        assert_eq!(of_seed.leaked, 0, "{kind}, seed {seed}: leaked");
        counts.add(of_seed);
    }
    let ratio = counts.take_up_share() / counts.begin_share();
    println!("{kind}: ratio {ratio:.3}, {counts:?}");
    assert!(counts.all_take_ups > 0, "{kind}: no take-up");
    counts
}

/// Also checks that streams go on nearly as often as they begin.
fn check_plays(kind: &str, script: impl Fn(u64) -> PlayScript) -> PlayCounts {
    let counts = play(kind, script);
    assert!(counts.take_ups.0 > 0, "{kind}: no take-up counts");
    let ratio = counts.take_up_share() / counts.begin_share();
    assert!(ratio >= LOWEST_RATIO, "{kind}: ratio {ratio:.3}");
    counts
}

#[test]
fn streams_go_on_during_a_release() {
    let counts = check_plays("release", PlayScript::half_release);
    assert!(counts.continued > 0);
    for source in ["own", "sole-version", "stored"] {
        assert!(counts.sources.contains_key(source), "{source}");
    }
}

#[test]
fn streams_go_on_after_their_entry_dies() {
    check_plays("entry dies", |seed| {
        let mut script = PlayScript::half_release(seed);
        script.streams(1_000, RELEASE_MS + 300, RELEASE_MS + 2_500, Some(0));
        script.add(RELEASE_MS + 2_700, PlayEvent::KillEntry(0));
        script.add(RELEASE_MS + 5_000, PlayEvent::StartEntry(0));
        script
    });
}

#[test]
fn streams_go_on_while_an_entry_is_cut_off() {
    check_plays("entry cut off", |seed| {
        let mut script = PlayScript::half_release(seed);
        let (entry, at_ms) = (script.any_entry(), script.draw.range(2_000, 7_000));
        let ms = script.draw.range(1_000, 5_000);
        script.add(at_ms, PlayEvent::CutEntry(entry, ms));
        script.add(at_ms + ms / 2, PlayEvent::Reset(entry));
        script
    });
}

#[test]
fn streams_go_on_elsewhere_while_the_entry_that_began_them_is_cut_off() {
    check_plays("begun at an entry that is cut off", |seed| {
        let mut script = PlayScript::half_release(seed);
        let at_ms = script.draw.range(RELEASE_MS - 1_000, RELEASE_MS + 1_000);
        let ms = script.draw.range(2_000, 4_000);
        script.streams(250, at_ms - 500, at_ms + ms, Some(0));
        script.add(at_ms, PlayEvent::CutEntry(0, ms));
        script.add(at_ms + ms - 500, PlayEvent::Reset(0));
        script
    });
}

#[test]
fn streams_go_on_while_an_entry_is_frozen() {
    check_plays("entry frozen", |seed| {
        let mut script = PlayScript::half_release(seed);
        let (entry, at_ms) = (script.any_entry(), script.draw.range(2_000, 7_000));
        let ms = script.draw.range(500, 4_000);
        script.add(at_ms, PlayEvent::FreezeEntry(entry, ms));
        script
    });
}

#[test]
fn streams_go_on_at_entries_that_have_just_started() {
    check_plays("entries just started", |seed| {
        let mut script = PlayScript::half_release(seed);
        for entry in 0..script.setup.entries - 1 {
            let at_ms = RELEASE_MS + 1_500 + 1_000 * entry as u64;
            script.add(at_ms, PlayEvent::KillEntry(entry));
            script.add(at_ms + 500, PlayEvent::StartEntry(entry));
        }
        script
    });
}

fn with_killed_hosts(seed: u64, count: u64) -> PlayScript {
    let mut script = PlayScript::half_release(seed);
    let at_ms = script.draw.range(RELEASE_MS + 500, 9_000);
    let first = script.draw.range(0, script.setup.hosts as u64 - 1);
    for number in 0..count {
        let host = (first + number) % script.setup.hosts as u64;
        let ms = script.draw.range(500, 4_000);
        script.add(at_ms, PlayEvent::KillHost(host as usize, ms));
    }
    script.add(at_ms, PlayEvent::LoseLeader(800));
    for entry in 0..script.setup.entries {
        script.add(at_ms + 200, PlayEvent::Reset(entry));
    }
    script
}

#[test]
fn streams_go_on_after_a_control_host_is_killed() {
    check_plays("one control host killed", |seed| with_killed_hosts(seed, 1));
}

#[test]
fn streams_go_on_after_two_control_hosts_are_killed_at_once() {
    check_plays("two control hosts killed", |seed| {
        with_killed_hosts(seed, 2)
    });
}

#[test]
fn streams_go_on_while_leaders_change() {
    check_plays("leader changes", |seed| {
        let mut script = PlayScript::half_release(seed);
        for number in 0..4 {
            let at_ms = 2_500 + number * 2_500 + script.draw.range(0, 1_500);
            let ms = script.draw.range(200, 1_200);
            script.add(at_ms, PlayEvent::LoseLeader(ms));
        }
        script
    });
}

#[test]
fn streams_go_on_while_views_are_late_and_no_leader_serves() {
    check_plays("views late, no leader", |seed| {
        let mut script = PlayScript::half_release(seed);
        script.setup.max_lag_ms = 3_000;
        script.streams(250, RELEASE_MS - 1_000, RELEASE_MS + 4_000, None);
        script.add(RELEASE_MS + 100, PlayEvent::LoseLeader(2_500));
        script
    });
}

#[test]
fn streams_go_on_while_views_are_late() {
    check_plays("views late", |seed| {
        let mut script = PlayScript::half_release(seed);
        script.setup.max_lag_ms = 4_000;
        script.streams(250, RELEASE_MS - 1_000, RELEASE_MS + 4_000, None);
        script
    });
}

#[test]
fn streams_go_on_while_calls_are_lost() {
    check_plays("calls lost", |seed| {
        let mut script = PlayScript::half_release(seed);
        script.setup.loss_percent = 15;
        script
    });
}

#[test]
fn streams_go_on_after_a_release_back_to_the_older_version() {
    check_plays("back to the older version", |seed| {
        let mut script = PlayScript::new(seed);
        script.streams(300, 1_000, 16_000, None);
        script.release(RELEASE_MS, 0, 10, REPLICAS / 2, "v2");
        script.release(RELEASE_MS + 6_000, 10, 20, REPLICAS / 2, "v1");
        script
    });
}

#[test]
fn streams_go_on_while_three_versions_serve() {
    check_plays("three versions", |seed| {
        let mut script = PlayScript::new(seed);
        script.streams(300, 1_000, 14_000, None);
        script.release(RELEASE_MS, 0, 10, 2, "v2");
        script.release(RELEASE_MS + 3_000, 2, 20, 2, "v3");
        script
    });
}

#[test]
fn streams_are_not_mixed_as_replicas_restart_under_their_ids() {
    check_plays("restart under an id", |seed| {
        let mut script = PlayScript::new(seed);
        script.streams(300, 1_000, 12_000, None);
        for number in 0..30 {
            let at_ms = RELEASE_MS + number * 250 + script.draw.range(0, 200);
            let version = ["v1", "v2"][script.draw.range(0, 1) as usize];
            let id = script.draw.range(0, 2);
            script.start(at_ms, id, version);
        }
        script
    });
}

#[test]
fn streams_are_not_mixed_as_one_version_alone_serves_again() {
    play("one version again", |seed| {
        let mut script = PlayScript::new(seed);
        script.streams(700, 1_000, 90_000, None);
        script.release(RELEASE_MS, 0, 10, REPLICAS, "v2");
        let back_ms = script.draw.range(32_000, 50_000);
        script.release(back_ms, 10, 20, REPLICAS, "v1");
        let again_ms = back_ms + script.draw.range(5_000, 30_000);
        script.release(again_ms, 20, 30, REPLICAS, "v3");
        script
    });
}

#[test]
fn streams_are_not_mixed_as_replicas_name_no_version() {
    play("no version named", |seed| {
        let mut script = PlayScript::half_release(seed);
        for number in 0..4 {
            let event = PlayEvent::Start {
                id: format!("u{number}"),
                version: None,
                holds: true,
            };
            script.add(RELEASE_MS + 700 * number, event);
        }
        script
    });
}

/// Version 2 has `homes` replicas that hold the model, and others that do not.
fn with_homes(seed: u64, homes: u64) -> PlayScript {
    let mut script = PlayScript::new(seed);
    script.streams(250, 1_000, 12_000, None);
    for number in 0..4 {
        let event = PlayEvent::Start {
            id: format!("r{}", 10 + number),
            version: Some("v2"),
            holds: number < homes,
        };
        script.add(RELEASE_MS + 500 * number, event);
    }
    let ends_ms = script.draw.range(6_000, 10_000);
    script.drain(ends_ms, 10);
    script
}

#[test]
fn streams_of_a_version_with_one_home_are_not_mixed() {
    let counts = check_plays("one home", |seed| with_homes(seed, 1));
    assert!(counts.all_refusals.contains_key("gone"));
}

#[test]
fn streams_go_on_beside_a_version_without_a_home() {
    check_plays("no home", |seed| with_homes(seed, 0));
}

/// An entry with 1,000 streams is killed at a time relative to the registration of the first replica
/// of a second version.
fn with_kill_near_release(seed: u64, kill_ms: u64) -> PlayScript {
    let mut script = PlayScript::half_release(seed);
    script.streams(1_000, 1_000, RELEASE_MS - 100, Some(0));
    script.add(kill_ms, PlayEvent::KillEntry(0));
    script
}

#[test]
fn streams_go_on_as_their_entry_dies_before_a_second_version_registers() {
    check_plays("killed before a second version", |seed| {
        with_kill_near_release(seed, RELEASE_MS - 20)
    });
}

#[test]
fn streams_go_on_as_their_entry_dies_after_a_second_version_registers() {
    check_plays("killed after a second version", |seed| {
        with_kill_near_release(seed, RELEASE_MS + 25)
    });
}

/// The route moves from one service to another, or to both, during a release of the first one, and
/// entries start just after.
fn with_rerouting(seed: u64, first: u32) -> PlayScript {
    let mut script = PlayScript::half_release(seed);
    script.start_other_service();
    let moves_ms = script.draw.range(RELEASE_MS - 500, RELEASE_MS + 3_000);
    script.add(moves_ms, PlayEvent::Reroute { first, other: 3 });
    for entry in 0..script.setup.entries - 1 {
        let at_ms = moves_ms + 200 + 700 * entry as u64;
        script.add(at_ms, PlayEvent::KillEntry(entry));
        script.add(at_ms + 300, PlayEvent::StartEntry(entry));
    }
    script
}

#[test]
fn streams_go_on_at_their_service_as_their_route_is_split_and_entries_start() {
    check_plays("route split", |seed| with_rerouting(seed, 1));
}

#[test]
fn streams_are_not_mixed_as_their_route_moves_to_another_service_and_entries_start() {
    play("route moved", |seed| with_rerouting(seed, 0));
}

#[test]
fn streams_go_on_that_begin_at_entries_started_after_their_route_moved() {
    check_plays("begun after a route moved", |seed| with_rerouting(seed, 0));
}

/// Kills all entries at one moment and starts them again.
fn kill_all_entries(script: &mut PlayScript, at_ms: u64) {
    for entry in 0..script.setup.entries {
        let down_ms = script.draw.range(100, 600);
        script.add(at_ms, PlayEvent::KillEntry(entry));
        script.add(at_ms + down_ms, PlayEvent::StartEntry(entry));
    }
}

/// Time at which a herd of kills strikes a release that begins at [`RELEASE_MS`].
fn herd_ms(script: &mut PlayScript) -> u64 {
    script.draw.range(RELEASE_MS - 500, RELEASE_MS + 10_000)
}

#[test]
fn streams_are_not_mixed_after_all_entries_are_killed_at_once() {
    play("all entries killed", |seed| {
        let mut script = PlayScript::half_release(seed);
        for _ in 0..3 {
            let at_ms = herd_ms(&mut script);
            kill_all_entries(&mut script, at_ms);
        }
        script
    });
}

#[test]
fn streams_are_not_mixed_after_all_entries_are_killed_as_the_old_version_leaves() {
    play("all entries killed as a version leaves", |seed| {
        let mut script = PlayScript::new(seed);
        script.streams(400, 1_000, 20_000, None);
        script.release(RELEASE_MS, 0, 10, REPLICAS, "v2");
        let left_ms = RELEASE_MS + 1_500 * REPLICAS;
        for after_ms in [0, 1_000, 3_600] {
            let at_ms = left_ms + after_ms + script.draw.range(0, 800);
            kill_all_entries(&mut script, at_ms);
        }
        script
    });
}

#[test]
fn streams_are_not_mixed_after_all_entries_and_control_hosts_are_killed_at_once() {
    play("all entries and control hosts killed", |seed| {
        let mut script = PlayScript::half_release(seed);
        script.release(RELEASE_MS + 6_000, 10, 20, REPLICAS / 2, "v1");
        for _ in 0..2 {
            let (at_ms, down_ms) = (herd_ms(&mut script), script.draw.range(200, 1_500));
            script.add(at_ms, PlayEvent::KillAll(down_ms));
        }
        script
    });
}

/// A leader and entries that all started after a route had moved did not know of it: an unknown
/// stream was confirmed as one of the service to which the route leads now.
#[test]
fn streams_are_not_mixed_after_all_are_killed_as_their_route_has_moved() {
    play("all killed after a route moved", |seed| {
        let mut script = PlayScript::half_release(seed);
        script.start_other_service();
        let moves_ms = script.draw.range(RELEASE_MS - 500, RELEASE_MS + 6_000);
        script.add(moves_ms, PlayEvent::Reroute { first: 0, other: 3 });
        let killed_ms = moves_ms + script.draw.range(50, 2_000);
        script.add(killed_ms, PlayEvent::KillAll(500));
        script
    });
}

/// Streams begin at all entries but the first, which is out of step as a second version joins, and
/// are broken off again and again while it is.
fn out_of_step(seed: u64, strike: impl Fn(usize, u64) -> PlayEvent) -> PlayScript {
    let mut script = PlayScript::new(seed);
    script.release(RELEASE_MS, 0, 10, REPLICAS / 2, "v2");
    let entries = script.setup.entries;
    for entry in 1..entries {
        script.streams(150, RELEASE_MS - 500, RELEASE_MS + 8_000, Some(entry));
    }
    for _ in 0..2 {
        let at_ms = script.draw.range(RELEASE_MS - 500, RELEASE_MS + 4_000);
        let ms = script.draw.range(1_000, 5_000);
        script.add(at_ms, strike(0, ms));
        for part in 1..=4 {
            let other = script.draw.range(1, entries as u64 - 1) as usize;
            script.add(at_ms + ms * part / 4, PlayEvent::Reset(other));
        }
    }
    script
}

#[test]
fn streams_are_not_mixed_at_an_entry_that_was_cut_off_as_a_version_joined() {
    play("cut off as a version joins", |seed| {
        out_of_step(seed, PlayEvent::CutEntry)
    });
}

#[test]
fn streams_are_not_mixed_at_an_entry_that_was_frozen_as_a_version_joined() {
    play("frozen as a version joins", |seed| {
        out_of_step(seed, PlayEvent::FreezeEntry)
    });
}
