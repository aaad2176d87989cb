//! Cost of sending a request to a replica, and the replicas that a request prefers.

use std::collections::{BTreeMap, BTreeSet};

use crate::consensus::directory::ReplicaPhase;
use crate::consensus::software_versions::SoftwareVersion;
use crate::forward::home_order::{self, hash_rank};
use crate::forward::locality::HallDistance;
use crate::forward::need::Need;
use crate::forward::prefix_reuse::ReuseStats;
use crate::forward::prompt_parts::shared_tokens;
use crate::forward::replica_state::ReplicaState;
use crate::ids::{ReplicaId, ServiceName, VersionName};

use super::ReplicaTable;

/// Smallest weight of a load in the cost of a request that calls for reuse. Without it, a prompt
/// that is shared almost entirely would ignore the load.
const MIN_LOAD_WEIGHT: f64 = 0.25;

/// Cost of beginning a stream at a replica that no other one could continue it for, in waiting
/// requests.
const SOLE_HOME_COST: f64 = 0.2;

/// Replicas that a request prefers or avoids.
pub(super) struct HomePreferences<'a> {
    /// Reserved for requests of the other kind (long or short answers).
    pub(super) reserved: BTreeSet<&'a ReplicaId>,
    /// Only homes of their software version, while another version has several: if one of them ends,
    /// no other replica can continue its streams.
    pub(super) sole_homes: BTreeSet<&'a ReplicaId>,
    /// Only for a request that calls for the reuse of cached prompt parts.
    reuse: Option<ReusePreference<'a>>,
}

/// Where the shared parts of a prompt are likely to be cached.
struct ReusePreference<'a> {
    /// The first and the second home in the order that all entries share.
    first_homes: [Option<&'a ReplicaId>; 2],
    /// Parts that this entry sent to a home before this time may have been evicted there.
    known_since_ms: u64,
    /// Weight of a home's load.
    load_weight: f64,
}

impl ReplicaTable {
    /// Returns the ready homes for a request in the order that all entries share: that of the
    /// deepest shared part of its prompt, or of its model if there is none.
    pub fn homes_in_order(&self, need: &Need) -> Vec<&ReplicaId> {
        let states = self.states.values();
        let candidates: Vec<&ReplicaState> =
            states.filter(|state| self.can_serve(state, need)).collect();
        let reserved = self.reserved_for_others(&candidates, need);
        self.in_shared_order(&candidates, &reserved, need)
    }

    /// As [`Self::homes_in_order`], among `candidates`. Homes of a prefill-bound service that are
    /// reserved for requests of the other kind come last.
    fn in_shared_order<'a>(
        &self,
        candidates: &[&'a ReplicaState],
        reserved: &BTreeSet<&ReplicaId>,
        need: &Need,
    ) -> Vec<&'a ReplicaId> {
        let open = candidates.iter().filter(|state| {
            state.record.phase == ReplicaPhase::Ready && !self.is_evacuated(&state.record)
        });
        let ids = open.map(|state| &state.record.id);
        let by_work = self.serves_prefill_bound(need);
        let (others, own): (Vec<_>, Vec<_>) = ids.partition(|id| by_work && reserved.contains(id));
        let key = home_order::home_key(need);
        let mut order = home_order::in_order(key, own.into_iter());
        order.extend(home_order::in_order(key, others.into_iter()));
        order
    }

    /// Whether a request is for a prefill-bound service.
    fn serves_prefill_bound(&self, need: &Need) -> bool {
        let stats = self.reuse_stats_for(need);
        stats.is_some_and(ReuseStats::is_prefill_bound)
    }

    pub(super) fn reuse_stats_for(&self, need: &Need) -> Option<&ReuseStats> {
        self.reuse_stats.get(need.service.as_ref()?)
    }

    /// Whether prefilling the shared tokens of a request would take a substantial part of its time
    /// limit. Not if the prefill time of its service has not been measured.
    pub fn calls_for_reuse(&self, need: &Need) -> bool {
        let service = need.service.as_ref();
        let shortest_ms = service.and_then(|service| self.shortest_targets_ms.get(service));
        let stats = self.reuse_stats_for(need);
        stats.is_some_and(|stats| stats.calls_for_reuse(need, shortest_ms.copied()))
    }

    /// Whether at least a tenth of a service's requests at this entry call for the reuse of cached
    /// prompt parts.
    pub fn is_prefill_bound(&self, service: &ServiceName) -> bool {
        let stats = self.reuse_stats.get(service);
        stats.is_some_and(|stats| stats.is_prefill_bound())
    }

    /// Whether a policy applies whose setting may be absent: then it does if any service of this
    /// entry is prefill-bound.
    pub fn applies(&self, setting: Option<bool>) -> bool {
        let by_default = || self.reuse_stats.values().any(ReuseStats::is_prefill_bound);
        setting.unwrap_or_else(by_default)
    }

    /// `memory` is the number of tokens that fit into a replica's memory; 0 for no limit.
    pub(super) fn preferences<'a>(
        &'a self,
        now_ms: u64,
        candidates: &[&'a ReplicaState],
        need: &Need,
        memory: u64,
    ) -> HomePreferences<'a> {
        let reserved = self.reserved_for_others(candidates, need);
        let reuse = self.calls_for_reuse(need).then(|| {
            let homes = self.in_shared_order(candidates, &reserved, need);
            self.reuse_preference(now_ms, homes, need, memory)
        });
        HomePreferences {
            reserved,
            sole_homes: self.sole_homes_of_versions(candidates, need),
            reuse,
        }
    }

    /// Returns the candidates that are the only home at their software version, if another version
    /// has several homes and the request begins a stream.
    fn sole_homes_of_versions<'a>(
        &self,
        candidates: &[&'a ReplicaState],
        need: &Need,
    ) -> BTreeSet<&'a ReplicaId> {
        let first = candidates.first().map(|state| &state.version);
        let mut versions = candidates.iter().map(|state| &state.version);
        if !need.begins_stream || versions.all(|version| Some(version) == first) {
            return BTreeSet::new();
        }
        let mut homes: BTreeMap<&VersionName, Vec<&ReplicaId>> = BTreeMap::new();
        let mut unnamed = Vec::new();
        for state in candidates {
            let open = !self.is_evacuated(&state.record);
            let id = &state.record.id;
            match &state.version {
                _ if !open || state.record.phase != ReplicaPhase::Ready => {}
                SoftwareVersion::Named(name) => homes.entry(name).or_default().push(id),
                SoftwareVersion::Unnamed(_) => unnamed.push(id),
            }
        }
        if homes.values().all(|homes| homes.len() == 1) {
            return BTreeSet::new();
        }
        let sole = homes.into_values().filter(|homes| homes.len() == 1);
        sole.flatten().chain(unnamed).collect()
    }

    fn reuse_preference<'a>(
        &self,
        now_ms: u64,
        homes: Vec<&'a ReplicaId>,
        need: &Need,
        memory: u64,
    ) -> ReusePreference<'a> {
        let mut homes = homes.into_iter();
        let stats = self.reuse_stats_for(need);
        let refill_ms = match memory {
            0 => None,
            tokens => stats.and_then(|stats| stats.prefill_ms(tokens)),
        };
        ReusePreference {
            first_homes: [homes.next(), homes.next()],
            // All entries together cannot fill a replica's memory faster than it prefills.
            known_since_ms: refill_ms.map_or(0, |ms| now_ms.saturating_sub(ms as u64)),
            // Most of the requests at a home were sent there for their cached parts, so they take
            // as much of a whole prefill as this one does where it is cached. At full weight, four
            // running requests would outweigh half of the shared tokens of a brief, and homes
            // would prefill the parts of each other.
            load_weight: uncached_fraction(need, shared_tokens(need)).max(MIN_LOAD_WEIGHT),
        }
    }

    pub(super) fn cheapest<'a>(
        &self,
        states: impl Iterator<Item = &'a ReplicaState>,
        need: &Need,
        preferences: &HomePreferences<'_>,
        now_ms: u64,
    ) -> Option<&'a ReplicaState> {
        // Entries do not see each other's newest requests and find the same replica cheapest. A
        // per-request hash breaks ties, so that requests spread over replicas of equal cost.
        let costs = states.map(|state| {
            let is_reserved = preferences.reserved.contains(&state.record.id);
            let reserved_cost = if is_reserved {
                self.policy.apart_cost
            } else {
                0.0
            };
            let mut cost = self.cost(state, need, preferences, now_ms) + reserved_cost;
            if preferences.sole_homes.contains(&state.record.id) {
                cost += SOLE_HOME_COST;
            }
            (cost, hash_rank(need.id_hash, &state.record.id), state)
        });
        let best = costs.min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
        best.map(|(_, _, state)| state)
    }

    /// Returns the candidates that are reserved for requests of the other kind (long or short
    /// answers).
    fn reserved_for_others<'a>(
        &self,
        candidates: &[&'a ReplicaState],
        need: &Need,
    ) -> BTreeSet<&'a ReplicaId> {
        let answers = need.service.as_ref().and_then(|s| self.answer_stats.get(s));
        let (Some(answers), Some(model)) = (answers, &need.model) else {
            return BTreeSet::new();
        };
        let by_work = self.serves_prefill_bound(need);
        // Uses the directory alone, so that all entries compute the same order.
        let ready = |state: &&&ReplicaState| {
            let usable = !by_work || !self.is_evacuated(&state.record);
            state.record.phase == ReplicaPhase::Ready && usable
        };
        let ids = candidates
            .iter()
            .filter(ready)
            .map(|state| &state.record.id);
        // The prefill of one model pauses the streams of all models of a replica. So the order is
        // the same for all models where that decides which replicas are reserved.
        let key = match (&need.service, by_work) {
            (Some(service), true) => home_order::name_key(service.as_str()),
            _ => home_order::name_key(model.as_str()),
        };
        let homes = home_order::in_order(key, ids);
        let range = match by_work {
            true => answers.homes_by_work(need, homes.len()),
            false => answers.homes_for(need, homes.len()),
        };
        let indexed = homes.into_iter().enumerate();
        let others = indexed.filter(|(index, _)| !range.contains(*index));
        others.map(|(_, id)| id).collect()
    }

    fn cost(
        &self,
        state: &ReplicaState,
        need: &Need,
        preferences: &HomePreferences<'_>,
        now_ms: u64,
    ) -> f64 {
        let policy = &self.policy;
        let (waiting, running) = state.loads(now_ms, policy.fade_ms);
        let distance_cost = match self.location.distance(&state.record.hall) {
            HallDistance::SameHall => 0.0,
            HallDistance::SameRegion => policy.hall_cost,
            HallDistance::OtherRegion => policy.region_cost,
        };
        let load = waiting + running * policy.running_cost;
        let slowdown_cost = state.slowdown.excess(now_ms, policy.work_fade_ms) * policy.work_cost;
        let others_cost =
            |load| load + distance_cost + slowdown_cost + state.failure_rate * policy.failure_cost;
        match &preferences.reuse {
            Some(reuse) => others_cost(load * reuse.load_weight) + reuse.prompt_cost(state, need),
            None if state.prompts.has_prompt(&need.parts) => others_cost(load) - policy.prefix_gain,
            None => others_cost(load),
        }
    }
}

impl ReusePreference<'_> {
    /// Cost of the request's own prompt. The unit is the prefill of one prompt, of which cached
    /// tokens take off their share.
    fn prompt_cost(&self, state: &ReplicaState, need: &Need) -> f64 {
        let id = Some(&state.record.id);
        let assumed = match self.first_homes {
            [first, _] if first == id => shared_tokens(need),
            [_, second] if second == id => shared_tokens(need) / 2,
            _ => 0,
        };
        let sent = state.prompts.known_tokens(&need.parts, self.known_since_ms);
        uncached_fraction(need, assumed.max(sent))
    }
}

fn uncached_fraction(need: &Need, cached: u32) -> f64 {
    // The number of prompt tokens is in another header of the client, which may be absent.
    let prompt = need.prompt_tokens.max(u64::from(shared_tokens(need)));
    1.0 - f64::from(cached) / prompt.max(1) as f64
}
