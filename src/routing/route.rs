//! Chooses the home for one attempt.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use rand::Rng;

use crate::ids::{HallName, TargetName};

/// A report older than this says nothing.
const STALE_MS: u64 = 2_000;

/// How homes are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoutePolicy {
    /// Most homes of a model that one entry uses, so that what it knows does
    /// not grow with all homes.
    pub subset: usize,
    /// Requests that the home with the warm prefix may be ahead of the other
    /// choice and still be taken; zero turns affinity off.
    pub affinity_slack: u32,
    /// Requests that a home in another hall must be less loaded by.
    pub hall_slack: u32,
    /// Weigh load at all; else choose at random.
    pub by_load: bool,
}

/// Load as an agent last told it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct LoadNote {
    reported: u32,
    at_ms: u64,
    sent_since: u32,
    in_flight: u32,
}

/// What one entry knows of the targets' load: bounded by the homes it uses.
#[derive(Debug, Default)]
pub struct LoadBook {
    notes: BTreeMap<TargetName, LoadNote>,
}

impl LoadBook {
    /// Notes a request sent.
    pub fn sent(&mut self, target: &TargetName) {
        let note = self.notes.entry(target.clone()).or_default();
        note.sent_since += 1;
        note.in_flight += 1;
    }

    /// Notes a request ended.
    pub fn ended(&mut self, target: &TargetName) {
        if let Some(note) = self.notes.get_mut(target) {
            note.in_flight = note.in_flight.saturating_sub(1);
        }
    }

    /// Notes a target's own count of queued and running requests.
    pub fn reported(&mut self, target: &TargetName, load: u32, now_ms: u64) {
        let note = self.notes.entry(target.clone()).or_default();
        note.reported = load;
        note.at_ms = now_ms;
        note.sent_since = 0;
    }

    /// Estimated requests at the target: its report and what was sent since,
    /// or the own requests in flight where the report is old.
    pub fn estimate(&self, target: &TargetName, now_ms: u64) -> u32 {
        match self.notes.get(target) {
            Some(note) if note.at_ms + STALE_MS > now_ms => {
                (note.reported + note.sent_since).max(note.in_flight)
            }
            Some(note) => note.in_flight,
            None => 0,
        }
    }

    /// Drops notes of targets that `keep` no longer names.
    pub fn retain(&mut self, keep: impl Fn(&TargetName) -> bool) {
        self.notes.retain(|target, _| keep(target));
    }
}

/// A home that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct RouteChoice<'a> {
    /// The target.
    pub target: &'a TargetName,
    /// Its hall.
    pub hall: &'a HallName,
}

/// What the choice is for.
#[derive(Clone, Copy, Debug)]
pub struct RouteAsk<'a> {
    /// The choosing entry's number: entries use different subsets.
    pub entry: u64,
    /// The entry's hall.
    pub hall: &'a HallName,
    /// The start of the prompt, whose KV may be cached.
    pub prefix: &'a str,
}

/// Chooses a home: the one with the warm prefix unless it is busier than the
/// better of two random ones.
pub fn choose<'a>(
    policy: &RoutePolicy,
    ask: &RouteAsk<'_>,
    homes: &[RouteChoice<'a>],
    book: &LoadBook,
    now_ms: u64,
    rng: &mut impl Rng,
) -> Option<&'a TargetName> {
    let homes = subset(policy, ask.entry, homes);
    if homes.is_empty() {
        return None;
    }
    let one = homes[rng.random_range(0..homes.len())];
    if !policy.by_load {
        return Some(one.target);
    }
    let two = homes[rng.random_range(0..homes.len())];
    let cost = |home: &RouteChoice<'_>| {
        let away = if home.hall == ask.hall {
            0
        } else {
            policy.hall_slack
        };
        book.estimate(home.target, now_ms) + away
    };
    let best = if cost(&two) < cost(&one) { two } else { one };
    let warm = homes.iter().max_by_key(|home| mix(ask.prefix, home.target));
    match warm {
        Some(warm) if cost(warm) < cost(&best) + policy.affinity_slack => Some(warm.target),
        _ => Some(best.target),
    }
}

/// The homes that the fewest of a request's attempts went to. One that refuses at
/// once seems idle, and would draw all further attempts otherwise.
pub fn least_tried<'a>(homes: &[RouteChoice<'a>], tried: &[TargetName]) -> Vec<RouteChoice<'a>> {
    let times = |home: &RouteChoice<'_>| tried.iter().filter(|one| *one == home.target).count();
    let least = homes.iter().map(times).min();
    let homes = homes.iter().filter(|home| Some(times(home)) == least);
    homes.copied().collect()
}

/// Rendezvous hashing: each entry keeps its subset while homes come and go.
fn subset<'a>(policy: &RoutePolicy, entry: u64, homes: &[RouteChoice<'a>]) -> Vec<RouteChoice<'a>> {
    let mut homes = homes.to_vec();
    if homes.len() > policy.subset {
        homes.sort_by_cached_key(|home| mix(entry, home.target));
        homes.truncate(policy.subset);
    }
    homes
}

fn mix(seed: impl Hash, target: &TargetName) -> u64 {
    let mut hasher = DefaultHasher::new();
    seed.hash(&mut hasher);
    target.hash(&mut hasher);
    hasher.finish()
}
