//! First homes of models that are requested without having one. They come before all other moves but
//! further homes for adapters without service, those that have waited longest first. Demand decides
//! what makes room for them, until they have waited for too long.

use crate::ids::ModelName;

use super::{
    Candidate, MAX_CANDIDATE_MODELS, PlanState, REPLICA_DEMAND_WEIGHT, STREAM_HOME_VALUE,
    UNSERVED_COST_PER_S,
};

/// Number of loads for which a model waits before a home of another model may give way to it whatever
/// the demand. Models of which adapters wait keep theirs: these are names without service as well.
const MAX_WAIT_LOADS: u64 = 2;

/// Whether a waiting model can be placed in this round.
enum FirstHome {
    /// By this move.
    Now(Candidate),
    /// Once the interval between loads from the weight store has passed.
    AfterInterval,
    /// No replica can take it.
    NoPlace,
}

impl PlanState<'_> {
    /// Returns the models that wait for their first home, those for longest first. A model for which
    /// no replica has enough memory does not count.
    pub(super) fn waiting_models(&self) -> Vec<&ModelName> {
        let waiting = self.models.iter();
        let waiting =
            waiting.filter(|(model, spec)| spec.unserved_ms > 0 && self.homes(model) == 0);
        let mut waiting: Vec<_> = waiting.collect();
        if !waiting.is_empty() {
            let largest_mb = self.largest_capacity_mb();
            waiting.retain(|(_, spec)| spec.weights_mb <= largest_mb);
        }
        waiting.sort_by_key(|(_, spec)| std::cmp::Reverse(spec.unserved_ms));
        waiting.into_iter().map(|(model, _)| model).collect()
    }

    /// Returns the memory of the replica that could have most for models, in MB.
    fn largest_capacity_mb(&self) -> u64 {
        let weight = |model: &ModelName| self.models.get(model).map_or(0, |m| m.weights_mb);
        let capacities = self.replicas.iter().map(|replica| {
            let loaded = replica.held.union(&replica.loading).map(weight);
            replica.free_mb + loaded.sum::<u64>()
        });
        capacities.max().unwrap_or(0)
    }

    /// Returns the move for the model that has waited longest of those that a replica can take.
    pub(super) fn first_home(
        &self,
        waiting: &[&ModelName],
        store_load_allowed: bool,
    ) -> Option<Candidate> {
        for model in waiting.iter().take(MAX_CANDIDATE_MODELS) {
            match self.first_home_of(model, store_load_allowed) {
                FirstHome::Now(candidate) => return Some(candidate),
                // The replica is kept for the model that has waited longer.
                FirstHome::AfterInterval => return None,
                FirstHome::NoPlace => {}
            }
        }
        None
    }

    fn first_home_of(&self, model: &ModelName, store_load_allowed: bool) -> FirstHome {
        let numbers = 0..self.replicas.len();
        let candidates = numbers.filter_map(|number| self.first_home_at(number, model));
        let all: Vec<Candidate> = candidates.collect();
        let is_allowed = |candidate: &Candidate| {
            let replica = &self.replicas[candidate.replica];
            store_load_allowed || replica.cached_load_ms.contains_key(model)
        };
        let is_possible = !all.is_empty();
        let allowed = all.into_iter().filter(is_allowed);
        match allowed.max_by(|a, b| a.rank.total_cmp(&b.rank)) {
            Some(candidate) => FirstHome::Now(candidate),
            None if is_possible => FirstHome::AfterInterval,
            None => FirstHome::NoPlace,
        }
    }

    /// Returns the move of a waiting model to a replica, if it is possible. Its rank counts what the
    /// move costs: the loss, and the time until the model is there.
    pub(super) fn first_home_at(&self, number: usize, model: &ModelName) -> Option<Candidate> {
        let replica = &self.replicas[number];
        let spec = self.models.get(model)?;
        if !replica.accepts_orders || replica.has_or_loads(model) {
            return None;
        }
        let gain = self.gain(model);
        let is_overdue = spec.unserved_ms >= MAX_WAIT_LOADS * spec.load_ms;
        let eviction = self.eviction_for(replica, spec.weights_mb, |evicted| {
            let outweighs = || gain - self.loss(evicted) > self.price_of(model) * 2.0;
            let is_overdue = is_overdue && self.unserved_adapters(evicted) == 0;
            self.may_evict(replica, evicted, true) && (is_overdue || outweighs())
        })?;
        let load_ms = replica.cached_load_ms.get(model).unwrap_or(&spec.load_ms);
        let delay_cost = *load_ms as f64 / 1_000.0 * UNSERVED_COST_PER_S;
        let mut cost =
            eviction.loss + delay_cost + self.replica_demand(replica) * REPLICA_DEMAND_WEIGHT;
        if eviction.takes_stream_home {
            cost += STREAM_HOME_VALUE;
        }
        Some(Candidate {
            rank: -cost,
            replica: number,
            model: model.clone(),
            evicted: eviction.model,
        })
    }
}
