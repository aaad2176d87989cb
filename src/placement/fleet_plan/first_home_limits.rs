//! What keeps each replica from taking the first home of a model, for the log.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{ModelName, ReplicaId};

use super::{PlanModel, PlanReplica, PlanState};

/// What keeps a replica that accepts orders from taking a model's first home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FirstHomeLimit {
    /// No single model may be unloaded that frees enough memory.
    Memory,
    /// What would be unloaded has more demand.
    Value,
    /// At most the interval between loads from the weight store.
    LoadInterval,
}

impl FirstHomeLimit {
    /// Returns the text for log lines.
    pub fn text(self) -> &'static str {
        match self {
            Self::Memory => "models that stay",
            Self::Value => "models valued more",
            Self::LoadInterval => "the interval between loads",
        }
    }
}

/// Returns, for each of the `wanted` models, what keeps the replicas that accept orders from taking its
/// first home. `price` is the minimum relief of a move, in concurrent requests.
pub fn first_home_limits(
    replicas: Vec<PlanReplica>,
    models: &BTreeMap<ModelName, PlanModel>,
    price: f64,
    wanted: &BTreeSet<ModelName>,
) -> BTreeMap<ModelName, BTreeMap<ReplicaId, FirstHomeLimit>> {
    let mut plan_state = PlanState::new(replicas, models, price);
    plan_state.first_home_value = plan_state.first_home_value_now();
    let known = wanted
        .iter()
        .filter_map(|model| Some((model, models.get(model)?)));
    let limits = known.map(|(model, spec)| {
        let replicas = plan_state.replicas.iter().enumerate();
        let open = replicas.filter(|(_, replica)| replica.accepts_orders);
        let limits = open.map(|(number, replica)| {
            let limit = plan_state.first_home_limit(number, model, spec);
            (replica.id.clone(), limit)
        });
        (model.clone(), limits.collect())
    });
    limits.collect()
}

impl PlanState<'_> {
    fn first_home_limit(
        &self,
        number: usize,
        model: &ModelName,
        spec: &PlanModel,
    ) -> FirstHomeLimit {
        let replica = &self.replicas[number];
        let may_evict = |evicted: &ModelName| self.may_evict(replica, evicted, true);
        match self.eviction_for(replica, spec.weights_mb, may_evict) {
            None => FirstHomeLimit::Memory,
            Some(_) if self.first_home_at(number, model).is_none() => FirstHomeLimit::Value,
            Some(_) => FirstHomeLimit::LoadInterval,
        }
    }
}
