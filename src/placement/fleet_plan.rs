//! Decides which model goes to which replica of an engine service.
//!
//! Pure. A greedy choice by what a move is worth: a model without a home costs
//! all its demand and more, a crowded one costs its demand by home. A replica
//! takes one order at a time, so the order of moves counts as much as the moves.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{HallName, ModelName, ReplicaId};
use crate::placement::order::OrderKind;

/// What the absence of a model costs, by its demand.
const ABSENT_COST: f64 = 4.0;
/// What the absence of a model costs without any demand, in concurrent requests, where
/// there is a place for each model: enough to take the room of a further home of a model
/// with little demand. Where there are fewer places, it is worth free room only: else
/// models that nobody asks for take all further homes of the busy ones.
const HOME_WORTH: f64 = 2.0;
/// What the load of a model without a home must bring at most, in concurrent requests.
const HOME_PRICE: f64 = 0.5;
/// Models that are looked at for each step, those with most to gain.
const CANDIDATES: usize = 8;
/// Most steps of one round.
const MAX_STEPS: usize = 8;
/// Weight of a replica's own load against what a move is worth.
const LOAD_WEIGHT: f64 = 0.1;
/// What a further hall is worth.
const HALL_WORTH: f64 = 0.05;
/// Fixed time of a move besides the load, in milliseconds.
const MOVE_MS: f64 = 1_000.0;

/// A replica as the plan sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanReplica {
    /// This life.
    pub id: ReplicaId,
    /// Its data hall.
    pub hall: HallName,
    /// It may take an order now.
    pub open: bool,
    /// Room that no model takes or may come to take, in MB.
    pub free_mb: u64,
    /// Models that are there and stay.
    pub held: BTreeSet<ModelName>,
    /// Models that are on their way in.
    pub coming: BTreeSet<ModelName>,
    /// Models with a copy at hand, and the time of their load, in milliseconds.
    pub at_hand: BTreeMap<ModelName, u64>,
}

/// A model as the plan sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlanModel {
    /// Size, in MB.
    pub weights_mb: u64,
    /// Time of a load from the weight store, in milliseconds.
    pub load_ms: u64,
    /// Demand, in concurrent requests.
    pub level: f64,
}

/// A decided step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanStep {
    /// The replica.
    pub replica: ReplicaId,
    /// The model.
    pub model: ModelName,
    /// In or out.
    pub kind: OrderKind,
    /// The load comes from the weight store.
    pub from_store: bool,
    /// The model that an unload makes room for.
    pub for_model: Option<ModelName>,
}

/// How often each model stands in a list.
fn count<'a>(models: impl Iterator<Item = &'a ModelName>) -> BTreeMap<ModelName, usize> {
    let mut counts = BTreeMap::new();
    for model in models {
        *counts.entry(model.clone()).or_default() += 1;
    }
    counts
}

struct Board<'a> {
    replicas: Vec<PlanReplica>,
    models: &'a BTreeMap<ModelName, PlanModel>,
    /// Replicas that hold a model or are to hold it.
    homes: BTreeMap<ModelName, usize>,
    /// Replicas that hold a model now.
    present: BTreeMap<ModelName, usize>,
    price: f64,
    /// There is a place for each model.
    all_fit: bool,
    /// Size of the largest model, in MB.
    largest_mb: u64,
    /// What the absence of a model costs without any demand, as the replicas stand now.
    home_worth: f64,
}

/// A move that could be made.
struct Offer {
    rank: f64,
    replica: usize,
    model: ModelName,
    victim: Option<ModelName>,
}

/// The steps to take now. `permits` bounds loads from the weight store, and
/// `price` is the relief in concurrent requests that a move must bring.
pub fn plan(
    replicas: Vec<PlanReplica>,
    models: &BTreeMap<ModelName, PlanModel>,
    price: f64,
    permits: usize,
) -> Vec<PlanStep> {
    let held = replicas.iter().flat_map(|replica| &replica.held);
    let present = count(held);
    let known = replicas
        .iter()
        .flat_map(|replica| replica.held.iter().chain(&replica.coming));
    let homes = count(known);
    let largest_mb = models.values().map(|model| model.weights_mb).max();
    let largest_mb = largest_mb.unwrap_or(0);
    let all_fit = places(&replicas, models, largest_mb) >= models.len();
    let mut board = Board {
        replicas,
        models,
        homes,
        present,
        price,
        all_fit,
        largest_mb,
        home_worth: 0.0,
    };
    let mut left = permits;
    let mut steps = Vec::new();
    while steps.len() < MAX_STEPS {
        let Some(offer) = board.best(left > 0) else {
            break;
        };
        let step = board.take(offer);
        left -= usize::from(step.from_store);
        steps.push(step);
    }
    steps
}

/// How many of the largest models all replicas hold together.
fn places(
    replicas: &[PlanReplica],
    models: &BTreeMap<ModelName, PlanModel>,
    largest_mb: u64,
) -> usize {
    let weight = |model: &ModelName| models.get(model).map_or(0, |model| model.weights_mb);
    let rooms = replicas.iter().map(|replica| {
        let taken: u64 = replica.held.union(&replica.coming).map(weight).sum();
        (replica.free_mb + taken) / largest_mb.max(1)
    });
    rooms.sum::<u64>() as usize
}

impl Board<'_> {
    /// What a model costs with so many homes.
    fn cost(&self, level: f64, homes: usize) -> f64 {
        match homes {
            0 => level * ABSENT_COST + self.home_worth,
            homes => level / homes as f64,
        }
    }

    /// What the absence of a model costs without any demand: nothing where it could only
    /// take the place of another.
    fn worth_of_home(&self) -> f64 {
        let free = |replica: &PlanReplica| replica.open && replica.free_mb >= self.largest_mb;
        match self.all_fit || self.replicas.iter().any(free) {
            true => HOME_WORTH,
            false => 0.0,
        }
    }

    fn homes(&self, model: &ModelName) -> usize {
        self.homes.get(model).copied().unwrap_or(0)
    }

    fn present(&self, model: &ModelName) -> usize {
        self.present.get(model).copied().unwrap_or(0)
    }

    fn gain(&self, model: &ModelName) -> f64 {
        let level = self.models.get(model).map_or(0.0, |model| model.level);
        let homes = self.homes(model);
        self.cost(level, homes) - self.cost(level, homes + 1)
    }

    /// What a move for a model must bring; less where the model has no home yet, as
    /// it must stay reachable.
    fn price_of(&self, model: &ModelName) -> f64 {
        match self.homes(model) {
            0 => self.price.min(HOME_PRICE),
            _ => self.price,
        }
    }

    /// What is lost at once where a model goes from a replica: a home that is still
    /// to come serves nobody yet.
    fn loss(&self, model: &ModelName) -> f64 {
        let level = self.models.get(model).map_or(0.0, |model| model.level);
        let present = self.present(model);
        self.cost(level, present.saturating_sub(1)) - self.cost(level, present.max(1))
    }

    /// Demand on a replica, shared with the other homes of its models.
    fn load(&self, replica: &PlanReplica) -> f64 {
        let level = |model: &ModelName| {
            let level = self.models.get(model).map_or(0.0, |model| model.level);
            level / self.homes(model).max(1) as f64
        };
        replica.held.iter().chain(&replica.coming).map(level).sum()
    }

    fn best(&mut self, store: bool) -> Option<Offer> {
        // Once a step: every cost below asks for it, and only a step changes it.
        self.home_worth = self.worth_of_home();
        let mut gains: Vec<(f64, &ModelName)> = self
            .models
            .keys()
            .map(|model| (self.gain(model), model))
            .filter(|(gain, model)| *gain > self.price_of(model))
            .collect();
        gains.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
        let offers = gains.into_iter().take(CANDIDATES);
        let offers = offers.filter_map(|(gain, model)| self.best_for(model, gain, store));
        offers.max_by(|a, b| a.rank.total_cmp(&b.rank))
    }

    fn best_for(&self, model: &ModelName, gain: f64, store: bool) -> Option<Offer> {
        let halls: BTreeSet<&HallName> = self
            .replicas
            .iter()
            .filter(|replica| replica.held.contains(model) || replica.coming.contains(model))
            .map(|replica| &replica.hall)
            .collect();
        let spec = self.models.get(model)?;
        let offers = self
            .replicas
            .iter()
            .enumerate()
            .filter_map(|(number, replica)| {
                let there = replica.held.contains(model) || replica.coming.contains(model);
                if there || !replica.open {
                    return None;
                }
                let load_ms = match replica.at_hand.get(model) {
                    Some(load_ms) => *load_ms,
                    None if store => spec.load_ms,
                    None => return None,
                };
                let (victim, loss) = self.room(replica, spec.weights_mb, self.homes(model) == 0)?;
                let spread = if halls.contains(&replica.hall) {
                    0.0
                } else {
                    HALL_WORTH
                };
                let worth = gain - loss + spread - self.load(replica) * LOAD_WEIGHT;
                let price = self.price_of(model) * if victim.is_some() { 2.0 } else { 1.0 };
                let rank = worth / ((load_ms as f64 + MOVE_MS) / MOVE_MS);
                (gain - loss > price).then(|| Offer {
                    rank,
                    replica: number,
                    model: model.clone(),
                    victim,
                })
            });
        offers.max_by(|a, b| a.rank.total_cmp(&b.rank))
    }

    /// What must go from a replica first to make room, and what that costs. The
    /// last home of a model goes only for the first one of another, or, where there are
    /// fewer places than models, if nobody asks for it.
    fn room(
        &self,
        replica: &PlanReplica,
        need_mb: u64,
        first: bool,
    ) -> Option<(Option<ModelName>, f64)> {
        if replica.free_mb >= need_mb {
            return Some((None, 0.0));
        }
        let weight = |model: &ModelName| self.models.get(model).map_or(0, |m| m.weights_mb);
        let enough = |model: &&ModelName| replica.free_mb + weight(model) >= need_mb;
        let idle = |model: &ModelName| self.models.get(model).is_none_or(|m| m.level <= 0.0);
        let unasked = |model: &ModelName| !self.all_fit && idle(model);
        let spare = |model: &&ModelName| first || self.present(model) > 1 || unasked(model);
        let held = replica.held.iter().filter(enough).filter(spare);
        let losses = held.map(|model| (self.loss(model), model));
        let least = losses.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some((Some(least.1.clone()), least.0))
    }

    fn take(&mut self, offer: Offer) -> PlanStep {
        let replica = &mut self.replicas[offer.replica];
        replica.open = false;
        match offer.victim {
            Some(victim) => {
                replica.held.remove(&victim);
                // The room is spoken for, though the load itself comes later.
                replica.coming.insert(offer.model.clone());
                *self.homes.entry(victim.clone()).or_default() -= 1;
                *self.present.entry(victim.clone()).or_default() -= 1;
                *self.homes.entry(offer.model.clone()).or_default() += 1;
                PlanStep {
                    replica: replica.id.clone(),
                    model: victim,
                    kind: OrderKind::Unload,
                    from_store: false,
                    for_model: Some(offer.model),
                }
            }
            None => {
                let weights_mb = self.models.get(&offer.model).map_or(0, |m| m.weights_mb);
                replica.free_mb = replica.free_mb.saturating_sub(weights_mb);
                replica.coming.insert(offer.model.clone());
                *self.homes.entry(offer.model.clone()).or_default() += 1;
                PlanStep {
                    replica: replica.id.clone(),
                    from_store: !replica.at_hand.contains_key(&offer.model),
                    model: offer.model,
                    kind: OrderKind::Load,
                    for_model: None,
                }
            }
        }
    }
}
