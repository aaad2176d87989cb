//! Callers of each model and adapter are served in the end, while replicas are lost and their
//! orders are carried out late.

#[path = "../support_replicas/mod.rs"]
mod support_replicas;
#[path = "../support_state/mod.rs"]
mod support_state;
mod world;

use world::{LOAD_MS, SLOTS, SiteSize, World};

/// Number of plays of each history; `DUNLINSPRING_CASES` draws more.
const CASES: u64 = 8;
/// Mean time until a late order takes effect, in milliseconds: two seconds at least, and several
/// attempts a second apart.
const LATE_ORDER_MS: u64 = 4_500;

fn cases() -> u64 {
    let cases = std::env::var("DUNLINSPRING_CASES").ok();
    cases.and_then(|cases| cases.parse().ok()).unwrap_or(CASES)
}

/// Time until the leader counts a replica as silent, and the first entries report, in milliseconds.
const NOTICE_MS: u64 = 6_000;

/// Longest time that a new leader waits for its predecessor's lease, in milliseconds.
const LEASE_MS: u64 = 4_000;
/// Time without a quorum, in milliseconds.
const NO_QUORUM_MS: u64 = 8_000;
/// Time for which an adapter in use keeps its slot while others wait, in milliseconds.
const TURN_MS: u64 = 8_000;

/// Time to unload a model in use, in milliseconds.
const UNLOAD_MS: u64 = 2_000;
/// Time between the rounds of the leader and until heartbeats and outcomes show in them, in
/// milliseconds.
const NOTICE_ROUNDS_MS: u64 = 1_500;
/// Interval between loads from the weight store, in milliseconds.
const LOAD_INTERVAL_MS: u64 = 120;
/// Time for which the last home of a model stays loaded: two loads, in milliseconds.
const MODEL_TURN_MS: u64 = 2 * LOAD_MS;
/// Models that a replica holds.
const MODELS_PER_REPLICA: usize = 3;

/// A site with as many places as requested models once replicas are lost, with a skewed demand.
fn site() -> SiteSize {
    let mut adapters = vec![20, 6, 5, 4, 4, 3, 3];
    adapters.resize(26, 0);
    let mut homes = vec![5, 3, 3, 2, 2];
    homes.resize(26, 1);
    let mut demand = Vec::new();
    for (number, count) in adapters.iter().enumerate().take(22) {
        let rate = 2.0 / (1.0 + number as f64 / 3.0);
        demand.push((number, None, rate.max(0.4)));
        demand.extend((1..=*count).map(|name| (number, Some(name), (rate / 2.0).max(0.4))));
    }
    SiteSize {
        replicas: 14,
        adapters,
        homes,
        demand,
        entries: 3,
        unload_ms: 200,
        disk_ms: None,
    }
}

/// A site of which half of the replicas can hold three quarters of the requested models. Few models
/// get most requests and most homes, the others are requested each few seconds, at any of five entries.
fn crowded_site() -> SiteSize {
    let mut adapters = vec![12, 0, 4, 0, 3];
    adapters.resize(39, 0);
    let mut homes = vec![8, 3, 3, 2, 2];
    homes.resize(39, 1);
    let mut demand: Vec<_> = [40.0, 15.0, 10.0, 8.0, 8.0]
        .into_iter()
        .enumerate()
        .collect();
    demand.extend((5..36).map(|number| (number, 0.2)));
    let mut names: Vec<_> = demand
        .iter()
        .map(|(number, rate)| (*number, None, *rate))
        .collect();
    for (number, count) in adapters.iter().enumerate() {
        names.extend((1..=*count).map(|name| (number, Some(name), 0.3)));
    }
    SiteSize {
        replicas: 18,
        adapters,
        homes,
        demand: names,
        entries: 5,
        unload_ms: UNLOAD_MS,
        disk_ms: Some(1_700),
    }
}

/// What callers got in one play.
struct PlayResult {
    never_served: Vec<String>,
    asked: usize,
    longest_ms: u64,
    longest_name: String,
    bound_ms: u64,
}

/// Plays a history, which returns the longest time that a name may go without service.
fn play(seed: u64, size: SiteSize, history: impl Fn(&mut World) -> u64) -> PlayResult {
    let mut world = World::new(seed, size);
    world.run(14_000, false);
    world.run(1_000, true);
    let bound_ms = history(&mut world);
    let never_served = world
        .asked_names()
        .filter(|(_, record)| record.served == 0)
        .map(|(name, record)| format!("{name} asked {}", record.asked));
    let waits = world.asked_names();
    let longest = waits.map(|(name, record)| (record.longest_ms, name.to_string()));
    let (longest_ms, longest_name) = longest.max().unwrap_or_default();
    PlayResult {
        never_served: never_served.collect(),
        asked: world.asked_names().count(),
        longest_ms,
        longest_name,
        bound_ms,
    }
}

fn check(from_seed: u64, size: &SiteSize, history: impl Fn(&mut World) -> u64) {
    let mut failures = Vec::new();
    for seed in from_seed..from_seed + cases() {
        let result = play(seed, size.clone(), &history);
        let (never, longest_ms, bound_ms) =
            (&result.never_served, result.longest_ms, result.bound_ms);
        let text = format!(
            "seed {seed}: {} of {} never served, {} longest, {longest_ms} ms of {bound_ms}",
            never.len(),
            result.asked,
            result.longest_name
        );
        println!("{text}");
        if !never.is_empty() || longest_ms > bound_ms {
            failures.push(format!("{text} {never:?}"));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Longest time without service that two orders for each lost name allow, one that frees a place and
/// one that takes it, shared by the replicas that live.
fn late_bound_ms(world: &World) -> u64 {
    let rounds = world.lost_names().div_ceil(world.alive()) as u64;
    NOTICE_MS + rounds * 2 * LATE_ORDER_MS + LOAD_MS
}

/// Longest time without service while orders are prompt. The names that wait are served oldest first.
/// A replica exchanges one model at a time, and keeps a model for its turn; the store takes one load
/// per interval. The names that wait at once are those that were lost, or, where the models that are
/// requested do not all fit, those for which there is no place and those that are being exchanged.
/// Adapters wait for their model, for the replica, and for their turns in the slots.
fn prompt_bound_ms(world: &World) -> u64 {
    let alive = world.alive();
    let exchange_ms = NOTICE_ROUNDS_MS + UNLOAD_MS + LOAD_MS;
    let places = alive * MODELS_PER_REPLICA;
    let requested = world.requested_models().count();
    let without_place = (requested + alive).saturating_sub(places);
    let waiting = world.lost_models().max(without_place);
    let per_replica_ms = exchange_ms.max((exchange_ms + MODEL_TURN_MS) / MODELS_PER_REPLICA as u64);
    let models_ms =
        waiting.div_ceil(alive) as u64 * per_replica_ms + waiting as u64 * LOAD_INTERVAL_MS;
    let adapter_turns = world.most_adapters().div_ceil(SLOTS) as u64;
    NOTICE_MS + models_ms + exchange_ms + adapter_turns * TURN_MS
}

#[test]
fn every_name_is_served_while_half_of_the_replicas_are_lost_and_orders_are_prompt() {
    check(3_001, &crowded_site(), |world| {
        world.lose_replicas(0.5);
        let bound_ms = prompt_bound_ms(world);
        world.run(90_000, true);
        bound_ms
    });
}

#[test]
fn every_name_is_served_while_replicas_are_lost_and_orders_are_late() {
    check(1, &site(), |world| {
        world.lose_replicas(0.4);
        world.late_share = 0.9;
        let bound_ms = late_bound_ms(world);
        world.run(60_000, true);
        bound_ms
    });
}

/// A leader decides after its predecessor's lease, and without a quorum nothing is decided.
#[test]
fn every_name_is_served_while_leaders_change_and_a_quorum_is_lost() {
    check(1_001, &site(), |world| {
        world.lose_replicas(0.4);
        world.late_share = 0.5;
        let bound_ms = late_bound_ms(world) + NO_QUORUM_MS + 2 * LEASE_MS;
        world.run(8_000, true);
        world.change_leader();
        world.run(10_000, true);
        world.has_quorum = false;
        world.run(NO_QUORUM_MS, true);
        world.has_quorum = true;
        world.change_leader();
        world.run(50_000, true);
        bound_ms
    });
}

#[test]
fn adapters_that_are_all_in_use_take_turns_in_too_few_slots() {
    let mut demand: Vec<_> = (0..9).map(|number| (number, None, 1.0)).collect();
    demand.extend((1..=24).map(|adapter| (0, Some(adapter), 1.0)));
    let mut adapters = vec![24];
    adapters.resize(9, 0);
    let size = SiteSize {
        replicas: 3,
        adapters,
        homes: vec![1; 9],
        demand,
        entries: 3,
        unload_ms: 200,
        disk_ms: None,
    };
    check(2_001, &size, |world| {
        world.run(60_000, true);
        24_u64.div_ceil(SLOTS as u64) * TURN_MS + TURN_MS / 4
    });
}
