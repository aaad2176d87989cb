//! Decides which model is loaded at which replica of an engine service.
//!
//! Pure code. Models that are requested without having a home come first; see `first_homes`. Then a
//! greedy choice by the value of each move: a model without a home costs a multiple of its demand,
//! any other model its demand per home. A replica takes one order at a time, so the order of the
//! moves matters as much as the moves themselves.

mod first_home_limits;
mod first_homes;

use std::collections::{BTreeMap, BTreeSet};

use crate::consensus::software_versions::SoftwareVersion;
use crate::ids::{HallName, ModelName, ReplicaId};
use crate::placement::order::OrderKind;

pub use first_home_limits::{FirstHomeLimit, first_home_limits};

/// Cost of a model without a home, as a multiple of its demand.
const ABSENCE_COST_FACTOR: f64 = 4.0;
/// Cost of a model without a home and without demand, in concurrent requests, where there is
/// capacity for all models: enough to replace a further home of a model with little demand. Where
/// capacity is short, it counts only while there is free memory; otherwise models without demand
/// would take all further homes of the busy ones.
const FIRST_HOME_VALUE: f64 = 2.0;
/// Upper limit of the price of a model's first home, in concurrent requests.
const MAX_FIRST_HOME_PRICE: f64 = 0.5;
/// Number of models considered for each step: those with the highest gain.
const MAX_CANDIDATE_MODELS: usize = 8;
/// Maximum number of steps in one round.
const MAX_STEPS_PER_ROUND: usize = 8;
/// Weight of a replica's own demand against the value of a move.
const REPLICA_DEMAND_WEIGHT: f64 = 0.1;
/// Value of a home in a further hall.
const NEW_HALL_VALUE: f64 = 0.05;
/// Number of homes of a model that stay loaded at each software version for streams.
const HOMES_FOR_STREAMS: usize = 2;
/// Cost of unloading one of these homes, in concurrent requests. It only decides which home makes
/// room for a model without any.
const STREAM_HOME_VALUE: f64 = 0.5;
/// Cost of unloading the last home of a model that is requested now and then, in concurrent
/// requests.
const REQUESTED_HOME_VALUE: f64 = 2.0;
/// Cost of unloading an adapter together with its model, in concurrent requests: it has to be
/// loaded at another home, in the place of another one.
const ADAPTER_VALUE: f64 = 0.1;
/// Cost of a model without a home for each second in which its requests were refused, in concurrent
/// requests: it exceeds any other cost in the end.
const UNSERVED_COST_PER_S: f64 = 0.25;
/// Gain of a further home for each adapter of the model without service, in concurrent requests.
const UNSERVED_ADAPTER_VALUE: f64 = 0.3;
/// Fixed time of a move in addition to the load, in milliseconds.
const MOVE_OVERHEAD_MS: f64 = 1_000.0;

/// A replica as input of the plan.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanReplica {
    /// Id of the replica.
    pub id: ReplicaId,
    /// Data hall of the replica.
    pub hall: HallName,
    /// Software version, if only replicas of the same one can continue its streams.
    pub version: Option<SoftwareVersion>,
    /// The replica can take an order now.
    pub accepts_orders: bool,
    /// Only a model without a home may be loaded: adapters without service wait for the replica.
    pub first_homes_only: bool,
    /// Memory that no model occupies or may come to occupy, in MB.
    pub free_mb: u64,
    /// Models that the replica holds and keeps.
    pub held: BTreeSet<ModelName>,
    /// Number of adapters that the replica holds of each model.
    pub adapters: BTreeMap<ModelName, usize>,
    /// Models that were loaded so recently that their last homes stay.
    pub protected: BTreeSet<ModelName>,
    /// Models that are being loaded.
    pub loading: BTreeSet<ModelName>,
    /// Models with a copy in host memory or on disk, with the time of a load from it, in
    /// milliseconds.
    pub cached_load_ms: BTreeMap<ModelName, u64>,
}

impl PlanReplica {
    fn has_or_loads(&self, model: &ModelName) -> bool {
        self.held.contains(model) || self.loading.contains(model)
    }
}

/// A model as input of the plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlanModel {
    /// Size of the weights, in MB.
    pub weights_mb: u64,
    /// Time of a load from the weight store, in milliseconds.
    pub load_ms: u64,
    /// Demand, in concurrent requests.
    pub level: f64,
    /// Requests for it came lately, even if none runs now.
    pub is_requested: bool,
    /// Number of its adapters that have gone without service.
    pub unserved_adapters: usize,
    /// Time for which it has gone without service while no ready replica held it, in milliseconds.
    pub unserved_ms: u64,
    /// Longest time that its streams last, in milliseconds; 0 if none runs or may be taken up again.
    pub stream_ms: u64,
}

/// A planned step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanStep {
    /// The replica.
    pub replica: ReplicaId,
    /// The model.
    pub model: ModelName,
    /// Load or unload.
    pub kind: OrderKind,
    /// The load comes from the weight store.
    pub from_store: bool,
    /// The model that an unload frees memory for.
    pub for_model: Option<ModelName>,
}

/// Counts the occurrences of each model.
fn count<'a>(models: impl Iterator<Item = &'a ModelName>) -> BTreeMap<ModelName, usize> {
    let mut counts = BTreeMap::new();
    for model in models {
        *counts.entry(model.clone()).or_default() += 1;
    }
    counts
}

/// Counts the replicas of each software version that have each model, by the models of a replica.
fn count_by_version(
    replicas: &[PlanReplica],
    models: impl Fn(&PlanReplica) -> BTreeSet<ModelName>,
) -> BTreeMap<SoftwareVersion, BTreeMap<ModelName, usize>> {
    let mut counts: BTreeMap<SoftwareVersion, BTreeMap<ModelName, usize>> = BTreeMap::new();
    for replica in replicas {
        let Some(version) = &replica.version else {
            continue;
        };
        let counts = counts.entry(version.clone()).or_default();
        for model in models(replica) {
            *counts.entry(model).or_default() += 1;
        }
    }
    counts
}

struct PlanState<'a> {
    replicas: Vec<PlanReplica>,
    models: &'a BTreeMap<ModelName, PlanModel>,
    /// Number of replicas that hold a model or are to hold it.
    homes: BTreeMap<ModelName, usize>,
    /// Number of replicas that hold a model now.
    holders: BTreeMap<ModelName, usize>,
    /// As `homes`, for each software version.
    version_homes: BTreeMap<SoftwareVersion, BTreeMap<ModelName, usize>>,
    /// As `holders`, for each software version.
    version_holders: BTreeMap<SoftwareVersion, BTreeMap<ModelName, usize>>,
    price: f64,
    /// There is capacity for all models.
    all_fit: bool,
    /// Size of the largest model, in MB.
    largest_mb: u64,
    /// Cost of a model without a home and without demand, as the replicas are now.
    first_home_value: f64,
}

/// A possible move.
struct Candidate {
    rank: f64,
    replica: usize,
    model: ModelName,
    evicted: Option<ModelName>,
}

/// What a load costs at a replica besides the load itself.
struct Eviction {
    /// The model to unload, if any.
    model: Option<ModelName>,
    /// Immediate loss of that model, in concurrent requests.
    loss: f64,
    /// Streams of the replica's software version may need the home.
    takes_stream_home: bool,
}

/// Plans the steps to take now. `store_loads` is the maximum number of loads from the weight store,
/// and `price` the minimum relief of a move, in concurrent requests.
pub fn plan(
    replicas: Vec<PlanReplica>,
    models: &BTreeMap<ModelName, PlanModel>,
    price: f64,
    store_loads: usize,
) -> Vec<PlanStep> {
    let mut plan_state = PlanState::new(replicas, models, price);
    let mut left = store_loads;
    let mut steps = Vec::new();
    while steps.len() < MAX_STEPS_PER_ROUND {
        let Some(candidate) = plan_state.best_candidate(left > 0) else {
            break;
        };
        let step = plan_state.apply(candidate);
        left -= usize::from(step.from_store);
        steps.push(step);
    }
    steps
}

/// Returns how many models of the largest size the replicas can hold in total.
fn model_capacity(
    replicas: &[PlanReplica],
    models: &BTreeMap<ModelName, PlanModel>,
    largest_mb: u64,
) -> usize {
    let weight = |model: &ModelName| models.get(model).map_or(0, |model| model.weights_mb);
    let capacities = replicas.iter().map(|replica| {
        let taken: u64 = replica.held.union(&replica.loading).map(weight).sum();
        (replica.free_mb + taken) / largest_mb.max(1)
    });
    capacities.sum::<u64>() as usize
}

impl<'a> PlanState<'a> {
    fn new(
        replicas: Vec<PlanReplica>,
        models: &'a BTreeMap<ModelName, PlanModel>,
        price: f64,
    ) -> Self {
        let held = replicas.iter().flat_map(|replica| &replica.held);
        let holders = count(held);
        let known = replicas
            .iter()
            .flat_map(|replica| replica.held.iter().chain(&replica.loading));
        let homes = count(known);
        let held = |replica: &PlanReplica| replica.held.iter().cloned().collect();
        let version_holders = count_by_version(&replicas, held);
        let known = |replica: &PlanReplica| replica.held.union(&replica.loading).cloned().collect();
        let version_homes = count_by_version(&replicas, known);
        let largest_mb = models.values().map(|model| model.weights_mb).max();
        let largest_mb = largest_mb.unwrap_or(0);
        let all_fit = model_capacity(&replicas, models, largest_mb) >= models.len();
        Self {
            replicas,
            models,
            homes,
            holders,
            version_homes,
            version_holders,
            price,
            all_fit,
            largest_mb,
            first_home_value: 0.0,
        }
    }

    /// Returns the cost of a model with this number of homes.
    fn cost(&self, model: &ModelName, homes: usize) -> f64 {
        let spec = self.models.get(model);
        let level = spec.map_or(0.0, |spec| spec.level);
        let unserved_ms = spec.map_or(0, |spec| spec.unserved_ms);
        let unserved_cost = unserved_ms as f64 / 1_000.0 * UNSERVED_COST_PER_S;
        match homes {
            0 => level * ABSENCE_COST_FACTOR + self.first_home_value + unserved_cost,
            homes => level / homes as f64,
        }
    }

    /// Returns the cost of a model without a home and without demand: 0 where it could only replace
    /// another model.
    fn first_home_value_now(&self) -> f64 {
        let free =
            |replica: &PlanReplica| replica.accepts_orders && replica.free_mb >= self.largest_mb;
        match self.all_fit || self.replicas.iter().any(free) {
            true => FIRST_HOME_VALUE,
            false => 0.0,
        }
    }

    fn homes(&self, model: &ModelName) -> usize {
        self.homes.get(model).copied().unwrap_or(0)
    }

    fn holders(&self, model: &ModelName) -> usize {
        self.holders.get(model).copied().unwrap_or(0)
    }

    /// Whether streams may need a replica's home of a model: at most two of the replica's software
    /// version are left.
    fn is_stream_home(&self, replica: &PlanReplica, model: &ModelName) -> bool {
        let has_streams = self.models.get(model).is_some_and(|m| m.stream_ms > 0);
        let version = replica.version.as_ref().filter(|_| has_streams);
        let holders = version.and_then(|version| self.version_holders.get(version));
        let count = holders.and_then(|holders| holders.get(model));
        count.is_some_and(|count| *count <= HOMES_FOR_STREAMS)
    }

    /// Returns the models that have a single home at some software version.
    fn sole_homes(&self) -> BTreeSet<&ModelName> {
        let homes = self.version_homes.values().flatten();
        let sole = homes.filter(|(_, count)| **count == 1);
        sole.map(|(model, _)| model).collect()
    }

    /// Returns the streams at one home of a model that can be continued elsewhere if it ends, once
    /// there is another home at its software version after `load_ms`.
    fn stream_gain(&self, model: &ModelName, load_ms: u64) -> f64 {
        let Some(spec) = self.models.get(model).filter(|spec| spec.stream_ms > 0) else {
            return 0.0;
        };
        let outlast = 1.0 - (load_ms as f64 + MOVE_OVERHEAD_MS) / spec.stream_ms as f64;
        spec.level / self.homes(model).max(1) as f64 * outlast.max(0.0)
    }

    /// Returns the gain of a second home at a replica's software version. A load from the weight
    /// store takes too long for the streams that run.
    fn version_gain(&self, replica: &PlanReplica, model: &ModelName) -> f64 {
        let load_ms = replica.cached_load_ms.get(model);
        let version = replica.version.as_ref();
        let homes = version.and_then(|version| self.version_homes.get(version));
        match (homes.and_then(|homes| homes.get(model)), load_ms) {
            (Some(1), Some(load_ms)) => self.stream_gain(model, *load_ms),
            _ => 0.0,
        }
    }

    fn gain(&self, model: &ModelName) -> f64 {
        let homes = self.homes(model);
        // A further home has slots for adapters that the others have none for.
        let adapters_gain = self.unserved_adapters(model) as f64 * UNSERVED_ADAPTER_VALUE;
        self.cost(model, homes) - self.cost(model, homes + 1) + adapters_gain
    }

    /// Number of adapters of a model that have gone without service.
    fn unserved_adapters(&self, model: &ModelName) -> usize {
        self.models.get(model).map_or(0, |m| m.unserved_adapters)
    }

    /// Returns the minimum relief of a move for a model. It is lower for the first home, as each
    /// model should stay reachable.
    fn price_of(&self, model: &ModelName) -> f64 {
        match self.homes(model) {
            0 => self.price.min(MAX_FIRST_HOME_PRICE),
            _ => self.price,
        }
    }

    /// Returns the immediate loss when a replica unloads a model. A home that is still loading
    /// serves no requests yet and does not count.
    fn loss(&self, model: &ModelName) -> f64 {
        let holders = self.holders(model);
        let is_requested = self.models.get(model).is_some_and(|m| m.is_requested);
        let last_home = match is_requested && holders <= 1 && !self.all_fit {
            true => REQUESTED_HOME_VALUE,
            false => 0.0,
        };
        let without = self.cost(model, holders.saturating_sub(1));
        let adapters_loss = self.unserved_adapters(model) as f64 * UNSERVED_ADAPTER_VALUE;
        without - self.cost(model, holders.max(1)) + last_home + adapters_loss
    }

    /// Returns the demand on a replica, where each model's demand is split evenly over its homes.
    fn replica_demand(&self, replica: &PlanReplica) -> f64 {
        let level = |model: &ModelName| {
            let level = self.models.get(model).map_or(0.0, |model| model.level);
            level / self.homes(model).max(1) as f64
        };
        replica.held.iter().chain(&replica.loading).map(level).sum()
    }

    fn best_candidate(&mut self, store_load_allowed: bool) -> Option<Candidate> {
        // Computed once per step: all costs below use it, and only a step changes it.
        self.first_home_value = self.first_home_value_now();
        let waiting = self.waiting_models();
        let first_home = self.first_home(&waiting, store_load_allowed);
        if first_home.is_some() {
            return first_home;
        }
        // No further home takes a replica that a waiting model may take next, unless adapters wait.
        let may_have_more =
            |model: &ModelName| waiting.is_empty() || self.unserved_adapters(model) > 0;
        let sole_homes = self.sole_homes();
        // The gain at the best replica.
        let most = |model: &ModelName| match sole_homes.contains(model) {
            true => self.gain(model) + self.stream_gain(model, 0),
            false => self.gain(model),
        };
        let mut gains: Vec<(f64, &ModelName)> = self
            .models
            .keys()
            .filter(|model| may_have_more(model))
            .map(|model| (most(model), model))
            .filter(|(gain, model)| *gain > self.price_of(model))
            .collect();
        gains.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
        let candidates = gains.into_iter().take(MAX_CANDIDATE_MODELS);
        let candidates =
            candidates.filter_map(|(_, model)| self.best_candidate_for(model, store_load_allowed));
        candidates.max_by(|a, b| a.rank.total_cmp(&b.rank))
    }

    fn best_candidate_for(&self, model: &ModelName, store_load_allowed: bool) -> Option<Candidate> {
        let halls = self.halls_of(model);
        let numbers = 0..self.replicas.len();
        let candidates = numbers
            .filter_map(|number| self.candidate_at(number, model, &halls, store_load_allowed));
        candidates.max_by(|a, b| a.rank.total_cmp(&b.rank))
    }

    /// Returns the data halls in which a model has homes.
    fn halls_of(&self, model: &ModelName) -> BTreeSet<&HallName> {
        let homes = self
            .replicas
            .iter()
            .filter(|replica| replica.has_or_loads(model));
        homes.map(|replica| &replica.hall).collect()
    }

    /// Returns the move of a model, with homes in `halls`, to a replica, if it is possible and worth
    /// its price.
    fn candidate_at(
        &self,
        number: usize,
        model: &ModelName,
        halls: &BTreeSet<&HallName>,
        store_load_allowed: bool,
    ) -> Option<Candidate> {
        let replica = &self.replicas[number];
        let spec = self.models.get(model)?;
        let is_first = self.homes(model) == 0;
        let is_closed = !replica.accepts_orders || (replica.first_homes_only && !is_first);
        if is_closed || replica.has_or_loads(model) {
            return None;
        }
        let load_ms = match replica.cached_load_ms.get(model) {
            Some(load_ms) => *load_ms,
            None if store_load_allowed => spec.load_ms,
            None => return None,
        };
        let eviction = self.eviction_for(replica, spec.weights_mb, |evicted| {
            self.may_evict(replica, evicted, is_first)
        })?;
        let loss = eviction.loss;
        let gain = self.gain(model) + self.version_gain(replica, model);
        let spread = match halls.contains(&replica.hall) {
            true => 0.0,
            false => NEW_HALL_VALUE,
        };
        let mut value = gain - loss + spread - self.replica_demand(replica) * REPLICA_DEMAND_WEIGHT;
        if eviction.takes_stream_home {
            value -= STREAM_HOME_VALUE;
        }
        let evicted = eviction.model;
        let price = self.price_of(model) * if evicted.is_some() { 2.0 } else { 1.0 };
        let rank = value / ((load_ms as f64 + MOVE_OVERHEAD_MS) / MOVE_OVERHEAD_MS);
        (gain - loss > price).then(|| Candidate {
            rank,
            replica: number,
            model: model.clone(),
            evicted,
        })
    }

    /// Whether a replica's home of a model may be unloaded for another model, whose first home it is
    /// if `is_first`. The last home of a model is unloaded only for the first home of another, or,
    /// where capacity is short, if it has no demand. A home that streams may need is unloaded only for
    /// the first home of another model.
    fn may_evict(&self, replica: &PlanReplica, evicted: &ModelName, is_first: bool) -> bool {
        let is_idle = |model: &PlanModel| model.level <= 0.0 && !model.is_requested;
        let idle = self.models.get(evicted).is_none_or(is_idle);
        let stays = replica.protected.contains(evicted);
        let is_last = self.holders(evicted) <= 1;
        let for_streams = !is_first && self.is_stream_home(replica, evicted);
        !for_streams && (!is_last || (!stays && (is_first || (!self.all_fit && idle))))
    }

    /// Returns the model to unload from a replica to free `need_mb`, if any, and the loss; `None`
    /// where no single unload that `may_evict` accepts frees enough.
    fn eviction_for(
        &self,
        replica: &PlanReplica,
        need_mb: u64,
        may_evict: impl Fn(&ModelName) -> bool,
    ) -> Option<Eviction> {
        if replica.free_mb >= need_mb {
            return Some(Eviction {
                model: None,
                loss: 0.0,
                takes_stream_home: false,
            });
        }
        let weight = |model: &ModelName| self.models.get(model).map_or(0, |m| m.weights_mb);
        let fits = |model: &&ModelName| replica.free_mb + weight(model) >= need_mb;
        let held = replica.held.iter().filter(fits);
        let held = held.filter(|model| may_evict(model));
        let adapters = |model: &ModelName| replica.adapters.get(model).copied().unwrap_or(0);
        let evictions = held.map(|model| Eviction {
            model: Some(model.clone()),
            loss: self.loss(model) + adapters(model) as f64 * ADAPTER_VALUE,
            takes_stream_home: self.is_stream_home(replica, model),
        });
        evictions.min_by(|a, b| {
            let by_streams = a.takes_stream_home.cmp(&b.takes_stream_home);
            by_streams.then(a.loss.total_cmp(&b.loss))
        })
    }

    fn apply(&mut self, candidate: Candidate) -> PlanStep {
        let replica = &mut self.replicas[candidate.replica];
        replica.accepts_orders = false;
        if let Some(version) = &replica.version {
            let homes = self.version_homes.entry(version.clone()).or_default();
            *homes.entry(candidate.model.clone()).or_default() += 1;
        }
        match candidate.evicted {
            Some(evicted) => {
                replica.held.remove(&evicted);
                if let Some(version) = &replica.version {
                    for counts in [&mut self.version_holders, &mut self.version_homes] {
                        let counts = counts.entry(version.clone()).or_default();
                        *counts.entry(evicted.clone()).or_default() -= 1;
                    }
                }
                // The memory is claimed, although the load comes later.
                replica.loading.insert(candidate.model.clone());
                *self.homes.entry(evicted.clone()).or_default() -= 1;
                *self.holders.entry(evicted.clone()).or_default() -= 1;
                *self.homes.entry(candidate.model.clone()).or_default() += 1;
                PlanStep {
                    replica: replica.id.clone(),
                    model: evicted,
                    kind: OrderKind::Unload,
                    from_store: false,
                    for_model: Some(candidate.model),
                }
            }
            None => {
                let weights_mb = self
                    .models
                    .get(&candidate.model)
                    .map_or(0, |m| m.weights_mb);
                replica.free_mb = replica.free_mb.saturating_sub(weights_mb);
                replica.loading.insert(candidate.model.clone());
                *self.homes.entry(candidate.model.clone()).or_default() += 1;
                PlanStep {
                    replica: replica.id.clone(),
                    from_store: !replica.cached_load_ms.contains_key(&candidate.model),
                    model: candidate.model,
                    kind: OrderKind::Load,
                    for_model: None,
                }
            }
        }
    }
}
