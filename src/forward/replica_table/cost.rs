//! Cost of sending a request to a replica, and the replicas that a request prefers.

use std::collections::BTreeSet;

use crate::consensus::directory::ReplicaPhase;
use crate::forward::home_order::{self, hash_rank};
use crate::forward::locality::HallDistance;
use crate::forward::need::Need;
use crate::forward::replica_state::ReplicaState;
use crate::ids::{ReplicaId, ServiceName};

use super::ReplicaTable;

/// Replicas that a request prefers or avoids.
pub(super) struct HomePreferences<'a> {
    /// Reserved for requests of the other kind (long or short answers).
    reserved: BTreeSet<&'a ReplicaId>,
    /// The first and the second home in the order that all entries share, if the request calls
    /// for the reuse of cached prompt parts.
    reuse: Option<[Option<&'a ReplicaId>; 2]>,
}

impl ReplicaTable {
    /// Returns the ready homes for a request in the order that all entries share: that of the
    /// deepest shared part of its prompt, or of its model if there is none.
    pub fn homes_in_order(&self, need: &Need) -> Vec<&ReplicaId> {
        let states = self.states.values();
        let homes = states.filter(|state| {
            let ready = state.record.phase == ReplicaPhase::Ready;
            ready && self.can_serve(state, need) && !self.is_evacuated(&state.record)
        });
        home_order::in_order(
            home_order::home_key(need),
            homes.map(|state| &state.record.id),
        )
    }

    /// Whether prefilling the shared tokens of a request would take a substantial part of its time
    /// limit. Not if the prefill time of its service has not been measured.
    pub fn calls_for_reuse(&self, need: &Need) -> bool {
        let service = need.service.as_ref();
        let stats = service.and_then(|service| self.reuse_stats.get(service));
        stats.is_some_and(|stats| stats.calls_for_reuse(need))
    }

    /// Whether at least a tenth of a service's requests at this entry call for the reuse of cached
    /// prompt parts.
    pub fn is_prefill_bound(&self, service: &ServiceName) -> bool {
        let stats = self.reuse_stats.get(service);
        stats.is_some_and(|stats| stats.is_prefill_bound())
    }

    pub(super) fn preferences<'a>(
        &'a self,
        candidates: &[&'a ReplicaState],
        need: &Need,
    ) -> HomePreferences<'a> {
        let reuse = self.calls_for_reuse(need).then(|| {
            let mut homes = self.homes_in_order(need).into_iter();
            [homes.next(), homes.next()]
        });
        HomePreferences {
            reserved: self.reserved_for_others(candidates, need),
            reuse,
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
            let prompt_cost = self.prompt_cost(state, need, preferences);
            let cost = self.cost(state, now_ms) + prompt_cost + reserved_cost;
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
        // Uses the directory alone, so that all entries compute the same order.
        let ready = |state: &&&ReplicaState| state.record.phase == ReplicaPhase::Ready;
        let ids = candidates
            .iter()
            .filter(ready)
            .map(|state| &state.record.id);
        let homes = home_order::in_order(home_order::model_key(model), ids);
        let range = answers.homes_for(need, homes.len());
        let indexed = homes.into_iter().enumerate();
        let others = indexed.filter(|(index, _)| !range.contains(*index));
        others.map(|(_, id)| id).collect()
    }

    /// Cost of a replica whatever the prompt is.
    fn cost(&self, state: &ReplicaState, now_ms: u64) -> f64 {
        let policy = &self.policy;
        let (waiting, running) = state.loads(now_ms, policy.fade_ms);
        let distance_cost = match self.location.distance(&state.record.hall) {
            HallDistance::SameHall => 0.0,
            HallDistance::SameRegion => policy.hall_cost,
            HallDistance::OtherRegion => policy.region_cost,
        };
        let load = waiting + running * policy.running_cost;
        let slowdown_cost = state.slowdown.excess(now_ms, policy.work_fade_ms) * policy.work_cost;
        load + distance_cost + slowdown_cost + state.failure_rate * policy.failure_cost
    }

    /// Cost of the request's own prompt. The unit is the prefill of one prompt, of which cached
    /// tokens take off their share.
    fn prompt_cost(
        &self,
        state: &ReplicaState,
        need: &Need,
        preferences: &HomePreferences<'_>,
    ) -> f64 {
        let Some(first_homes) = preferences.reuse else {
            let known = state.prompts.has_prompt(&need.parts);
            return if known { -self.policy.prefix_gain } else { 0.0 };
        };
        let shared = need.parts.last().map_or(0, |part| part.end_tokens);
        let id = Some(&state.record.id);
        let assumed = match first_homes {
            [first, _] if first == id => shared,
            [_, second] if second == id => shared / 2,
            _ => 0,
        };
        let cached = assumed.max(state.prompts.known_tokens(&need.parts));
        // The number of prompt tokens is another header of the client, which may be absent.
        let prompt = need.prompt_tokens.max(u64::from(shared)).max(1);
        1.0 - f64::from(cached) / prompt as f64
    }
}
