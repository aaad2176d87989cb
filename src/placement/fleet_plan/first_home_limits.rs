//! What keeps each replica from taking the first home of a model, for the log.

use std::collections::BTreeMap;

use crate::ids::{ModelName, ReplicaId};

use super::{PlanModel, PlanReplica, PlanState};

/// What keeps a replica that accepts orders from taking a model's first home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FirstHomeLimit {
    /// No single model may be unloaded that frees enough memory: each is the last home of a model, and
    /// was loaded too recently.
    Memory,
    /// The plan values what would be unloaded more highly.
    Value,
    /// Only the interval between loads from the weight store.
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

/// Returns, for each replica that accepts orders, what keeps it from taking the first home of `model`.
/// `price` is the minimum relief of a move, in concurrent requests.
pub fn first_home_limits(
    replicas: Vec<PlanReplica>,
    models: &BTreeMap<ModelName, PlanModel>,
    price: f64,
    model: &ModelName,
) -> BTreeMap<ReplicaId, FirstHomeLimit> {
    let mut plan_state = PlanState::new(replicas, models, price);
    plan_state.first_home_value = plan_state.first_home_value_now();
    let Some(spec) = models.get(model) else {
        return BTreeMap::new();
    };
    let replicas = plan_state.replicas.iter().enumerate();
    let open = replicas.filter(|(_, replica)| replica.accepts_orders);
    let limits = open.map(|(number, replica)| {
        let may_evict = |evicted: &ModelName| plan_state.may_evict(replica, evicted, true);
        let limit = match plan_state.eviction_for(replica, spec.weights_mb, may_evict) {
            None => FirstHomeLimit::Memory,
            Some(_) if plan_state.first_home_at(number, model).is_none() => FirstHomeLimit::Value,
            Some(_) => FirstHomeLimit::LoadInterval,
        };
        (replica.id.clone(), limit)
    });
    limits.collect()
}
