//! Chooses the home for one attempt.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use rand::Rng;

use crate::ids::{HallName, TargetName};

/// Age from which a load report is ignored, in milliseconds.
const REPORT_TTL_MS: u64 = 2_000;

/// How a home is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoutePolicy {
    /// Maximum number of homes of a model that one entry uses, so that its load state does not grow
    /// with the number of homes.
    pub subset: usize,
    /// Number of requests by which the home with the cached prefix may exceed the other choice and
    /// still be preferred; zero turns affinity off.
    pub affinity_slack: u32,
    /// Number of requests by which a home in another hall must be less loaded.
    pub hall_slack: u32,
    /// Whether load is weighed; otherwise the choice is random.
    pub by_load: bool,
}

/// Load of one target: its last report, and what this entry sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct TargetLoad {
    reported: u32,
    reported_at_ms: u64,
    sent_since_report: u32,
    in_flight: u32,
}

/// Load of the targets as known to one entry, bounded by the homes that it uses.
#[derive(Debug, Default)]
pub struct LoadTracker {
    targets: BTreeMap<TargetName, TargetLoad>,
}

impl LoadTracker {
    /// Records that a request was sent.
    pub fn record_sent(&mut self, target: &TargetName) {
        let known = self.targets.entry(target.clone()).or_default();
        known.sent_since_report += 1;
        known.in_flight += 1;
    }

    /// Records that a request ended.
    pub fn record_ended(&mut self, target: &TargetName) {
        if let Some(known) = self.targets.get_mut(target) {
            known.in_flight = known.in_flight.saturating_sub(1);
        }
    }

    /// Records a target's report of its queued and running requests.
    pub fn record_report(&mut self, target: &TargetName, load: u32, now_ms: u64) {
        let known = self.targets.entry(target.clone()).or_default();
        known.reported = load;
        known.reported_at_ms = now_ms;
        known.sent_since_report = 0;
    }

    /// Estimates the requests at a target from its report and the requests sent since. Never less
    /// than this entry's requests in flight, which alone count where the report is old.
    pub fn estimate(&self, target: &TargetName, now_ms: u64) -> u32 {
        match self.targets.get(target) {
            Some(known) if known.reported_at_ms + REPORT_TTL_MS > now_ms => {
                (known.reported + known.sent_since_report).max(known.in_flight)
            }
            Some(known) => known.in_flight,
            None => 0,
        }
    }

    /// Removes targets that `keep` rejects.
    pub fn retain(&mut self, keep: impl Fn(&TargetName) -> bool) {
        self.targets.retain(|target, _| keep(target));
    }
}

/// Home that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct HomeCandidate<'a> {
    /// Target of the home.
    pub target: &'a TargetName,
    /// Data hall of the target.
    pub hall: &'a HallName,
}

/// Request that a home is chosen for.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// Number of the entry; each entry uses its own subset of homes.
    pub entry: u64,
    /// Data hall of the entry.
    pub hall: &'a HallName,
    /// Start of the prompt, whose KV cache a home may hold.
    pub prefix: &'a str,
}

/// Chooses a home: the one that the prefix is hashed to, unless it is busier than the better of two
/// random ones by the affinity slack.
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

/// Returns the homes with the fewest prior attempts of a request. A home that refuses at once looks
/// idle and would otherwise attract all further attempts.
pub fn least_attempted<'a>(
    homes: &[HomeCandidate<'a>],
    prior: &[TargetName],
) -> Vec<HomeCandidate<'a>> {
    let times = |home: &HomeCandidate<'_>| prior.iter().filter(|one| *one == home.target).count();
    let least = homes.iter().map(times).min();
    let homes = homes.iter().filter(|home| Some(times(home)) == least);
    homes.copied().collect()
}

/// Selects the entry's subset by rendezvous hashing, which keeps it stable while homes come and go.
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
