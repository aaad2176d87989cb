//! Chooses the home for one attempt.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use rand::Rng;

use crate::ids::{HallName, TargetName};

/// A report older than this says nothing.
const REPORT_TTL_MS: u64 = 2_000;

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
struct TargetLoad {
    reported: u32,
    reported_at_ms: u64,
    sent_since_report: u32,
    in_flight: u32,
}

/// What one entry knows of the targets' load: bounded by the homes it uses.
#[derive(Debug, Default)]
pub struct LoadTracker {
    targets: BTreeMap<TargetName, TargetLoad>,
}

impl LoadTracker {
    /// Notes a request sent.
    pub fn record_sent(&mut self, target: &TargetName) {
        let known = self.targets.entry(target.clone()).or_default();
        known.sent_since_report += 1;
        known.in_flight += 1;
    }

    /// Notes a request ended.
    pub fn record_ended(&mut self, target: &TargetName) {
        if let Some(known) = self.targets.get_mut(target) {
            known.in_flight = known.in_flight.saturating_sub(1);
        }
    }

    /// Notes a target's own count of queued and running requests.
    pub fn record_report(&mut self, target: &TargetName, load: u32, now_ms: u64) {
        let known = self.targets.entry(target.clone()).or_default();
        known.reported = load;
        known.reported_at_ms = now_ms;
        known.sent_since_report = 0;
    }

    /// Estimated requests at the target: its report and what was sent since,
    /// or the own requests in flight where the report is old.
    pub fn estimate(&self, target: &TargetName, now_ms: u64) -> u32 {
        match self.targets.get(target) {
            Some(known) if known.reported_at_ms + REPORT_TTL_MS > now_ms => {
                (known.reported + known.sent_since_report).max(known.in_flight)
            }
            Some(known) => known.in_flight,
            None => 0,
        }
    }

    /// Drops notes of targets that `keep` no longer names.
    pub fn retain(&mut self, keep: impl Fn(&TargetName) -> bool) {
        self.targets.retain(|target, _| keep(target));
    }
}

/// A home that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct HomeCandidate<'a> {
    /// The target.
    pub target: &'a TargetName,
    /// Its hall.
    pub hall: &'a HallName,
}

/// What the choice is for.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
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
    request: &RouteRequest<'_>,
    homes: &[HomeCandidate<'a>],
    loads: &LoadTracker,
    now_ms: u64,
    rng: &mut impl Rng,
) -> Option<&'a TargetName> {
    let homes = subset(policy, request.entry, homes);
    if homes.is_empty() {
        return None;
    }
    let first = homes[rng.random_range(0..homes.len())];
    if !policy.by_load {
        return Some(first.target);
    }
    let second = homes[rng.random_range(0..homes.len())];
    let cost = |home: &HomeCandidate<'_>| {
        let away = if home.hall == request.hall {
            0
        } else {
            policy.hall_slack
        };
        loads.estimate(home.target, now_ms) + away
    };
    let best = if cost(&second) < cost(&first) {
        second
    } else {
        first
    };
    let warm = homes
        .iter()
        .max_by_key(|home| hash_target(request.prefix, home.target));
    match warm {
        Some(warm) if cost(warm) < cost(&best) + policy.affinity_slack => Some(warm.target),
        _ => Some(best.target),
    }
}

/// The homes that the fewest of a request's attempts went to. One that refuses at
/// once seems idle, and would draw all further attempts otherwise.
pub fn least_attempted<'a>(
    homes: &[HomeCandidate<'a>],
    prior: &[TargetName],
) -> Vec<HomeCandidate<'a>> {
    let times = |home: &HomeCandidate<'_>| prior.iter().filter(|one| *one == home.target).count();
    let least = homes.iter().map(times).min();
    let homes = homes.iter().filter(|home| Some(times(home)) == least);
    homes.copied().collect()
}

/// Rendezvous hashing: each entry keeps its subset while homes come and go.
fn subset<'a>(
    policy: &RoutePolicy,
    entry: u64,
    homes: &[HomeCandidate<'a>],
) -> Vec<HomeCandidate<'a>> {
    let mut homes = homes.to_vec();
    if homes.len() > policy.subset {
        homes.sort_by_cached_key(|home| hash_target(entry, home.target));
        homes.truncate(policy.subset);
    }
    homes
}

fn hash_target(seed: impl Hash, target: &TargetName) -> u64 {
    let mut hasher = DefaultHasher::new();
    seed.hash(&mut hasher);
    target.hash(&mut hasher);
    hasher.finish()
}
