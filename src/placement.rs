//! Decides which models move: repair first, then spread, then what demand is worth.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{HallName, ModelName, TargetName};
use crate::packing;
use crate::site::{ModelKind, SiteSpec};
use crate::state::{HomeInfo, HomePhase, MoveKind, SiteState};

/// How moves are decided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacePolicy {
    /// Relief that a load for demand must bring, in concurrent requests a
    /// home. High: few moves; low: follow demand closely.
    pub move_price: f64,
    /// Homes that each model keeps where memory allows.
    pub spread: usize,
    /// Follow demand at all; else only repair and spread.
    pub by_demand: bool,
}

/// A decided move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlaceMove {
    /// The target.
    pub target: TargetName,
    /// The model.
    pub model: ModelName,
    /// In or out.
    pub kind: MoveKind,
}

/// Demand of each model in concurrent requests: rises at once, falls slowly.
#[derive(Clone, Debug, Default)]
pub struct DemandBook {
    levels: BTreeMap<ModelName, f64>,
}

/// Part of the level that remains after each quieter sample.
const FALL: f64 = 0.97;
/// Part of the way that a higher sample takes the level up.
const RISE: f64 = 0.5;

impl DemandBook {
    /// Takes a sample of all models' concurrent requests.
    pub fn sample(&mut self, now: &BTreeMap<ModelName, f64>) {
        for (model, level) in &mut self.levels {
            let sample = now.get(model).copied().unwrap_or(0.0);
            *level = match sample > *level {
                true => *level + (sample - *level) * RISE,
                false => (*level * FALL).max(sample),
            };
        }
        for (model, sample) in now {
            let level = sample * RISE;
            self.levels.entry(model.clone()).or_insert(level);
        }
        self.levels.retain(|_, level| *level > 0.01);
    }

    /// The level of one model.
    pub fn level(&self, model: &ModelName) -> f64 {
        self.levels.get(model).copied().unwrap_or(0.0)
    }
}

/// The moves to order now, most urgent first; the weight store's limits are kept.
pub fn plan(state: &SiteState, policy: &PlacePolicy, demand: &DemandBook) -> Vec<PlaceMove> {
    let mut board = PlaceBoard::new(state);
    let mut moves = Vec::new();
    let wanted = packing::resident_set(&state.site, state.table.models());
    // Bases come before the adapters that need them.
    let mut ordered: Vec<&ModelName> = wanted.iter().copied().collect();
    ordered.sort_by_key(|model| (board.base_of(model).is_some(), *model));
    let permits = load_permits(state);
    for model in &ordered {
        if board.homes(model) == 0 {
            board.add_home(model, &wanted, &mut moves);
        }
    }
    for model in &ordered {
        if board.homes(model) > 0 && board.homes(model) < policy.spread {
            board.add_spare(model, &mut moves);
        }
    }
    if policy.by_demand && moves.is_empty() {
        board.follow_demand(policy, demand, &ordered, &wanted, &mut moves);
    }
    limit_loads(moves, permits)
}

/// Loads that may start now, by the weight store's rate and its loads at once.
fn load_permits(state: &SiteState) -> usize {
    let loading = state.homes.values().flat_map(|homes| homes.values());
    let loading = loading
        .filter(|home| home.phase == HomePhase::Loading)
        .count();
    let room = state.site.loads_at_once.saturating_sub(loading);
    let due = state.clock_ms >= state.last_load_ms + state.site.load_gap_ms;
    match due || state.site.load_gap_ms == 0 {
        true if state.site.load_gap_ms > 0 => room.min(1),
        true => room,
        false => 0,
    }
}

fn limit_loads(moves: Vec<PlaceMove>, permits: usize) -> Vec<PlaceMove> {
    let mut left = permits;
    let allowed = |step: &PlaceMove| match step.kind {
        MoveKind::Unload => true,
        MoveKind::Load if left > 0 => {
            left -= 1;
            true
        }
        MoveKind::Load => false,
    };
    moves.into_iter().filter(allowed).collect()
}

struct BoardTarget<'a> {
    hall: &'a HallName,
    free_mib: u64,
    homes: BTreeMap<&'a ModelName, HomeInfo>,
}

struct PlaceBoard<'a> {
    site: &'a SiteSpec,
    targets: BTreeMap<&'a TargetName, BoardTarget<'a>>,
}

impl<'a> PlaceBoard<'a> {
    /// Only targets with a live agent that stays.
    fn new(state: &'a SiteState) -> Self {
        let mut targets = BTreeMap::new();
        for (target, spec) in &state.site.targets {
            let stays = state.keeper(target).is_some_and(|keeper| !keeper.leaving);
            if !stays || spec.memory_mib == 0 {
                continue;
            }
            let homes: BTreeMap<&ModelName, HomeInfo> = state
                .homes
                .get(target)
                .into_iter()
                .flatten()
                .map(|(model, home)| (model, *home))
                .collect();
            let weights = |model: &&&ModelName| state.site.models.get(**model);
            let taken: u64 = homes
                .keys()
                .filter_map(|model| weights(&model))
                .map(|spec| spec.weights_mib)
                .sum();
            let board = BoardTarget {
                hall: &spec.hall,
                free_mib: spec.room_mib().saturating_sub(taken),
                homes,
            };
            targets.insert(target, board);
        }
        Self {
            site: &state.site,
            targets,
        }
    }

    fn base_of(&self, model: &ModelName) -> Option<&'a ModelName> {
        match &self.site.models.get(model)?.kind {
            ModelKind::Adapter(base) => Some(base),
            ModelKind::Base | ModelKind::Service(_) => None,
        }
    }

    fn mib(&self, model: &ModelName) -> u64 {
        let spec = self.site.models.get(model);
        spec.map_or(0, |spec| spec.weights_mib)
    }

    fn is_home(board: &BoardTarget<'_>, model: &ModelName) -> bool {
        let home = board.homes.get(model);
        home.is_some_and(|home| home.phase != HomePhase::Unloading)
    }

    fn homes(&self, model: &ModelName) -> usize {
        let boards = self.targets.values();
        boards.filter(|board| Self::is_home(board, model)).count()
    }

    /// Targets that could take the model as they are, best first: in a hall
    /// without it, then with the most room.
    fn fitting(&self, model: &ModelName) -> Option<&'a TargetName> {
        let mib = self.mib(model);
        let base = self.base_of(model);
        let halls: BTreeSet<&HallName> = self
            .targets
            .values()
            .filter(|board| Self::is_home(board, model))
            .map(|board| board.hall)
            .collect();
        self.targets
            .iter()
            .filter(|(_, board)| !board.homes.contains_key(model) && board.free_mib >= mib)
            .filter(|(_, board)| base.is_none_or(|base| Self::is_home(board, base)))
            .max_by_key(|(_, board)| (!halls.contains(board.hall), board.free_mib))
            .map(|(target, _)| *target)
    }

    fn load(&mut self, target: &'a TargetName, model: &ModelName, moves: &mut Vec<PlaceMove>) {
        let mib = self.mib(model);
        if let Some((name, _)) = self.site.models.get_key_value(model)
            && let Some(board) = self.targets.get_mut(target)
        {
            board.free_mib = board.free_mib.saturating_sub(mib);
            let home = HomeInfo {
                phase: HomePhase::Loading,
                order: crate::ids::Position(0),
            };
            board.homes.insert(name, home);
            moves.push(place(target, model, MoveKind::Load));
        }
    }

    /// A first home: where it fits, else where room can be made, for an adapter
    /// if need be with a further home of its base.
    fn add_home(
        &mut self,
        model: &ModelName,
        wanted: &BTreeSet<&'a ModelName>,
        moves: &mut Vec<PlaceMove>,
    ) {
        match (self.fitting(model), self.base_of(model)) {
            (Some(target), _) => self.load(target, model, moves),
            (None, Some(base)) if self.homes(base) > 0 => {
                let with_room = self.fitting_family(base, model);
                match with_room {
                    Some(target) => self.load(target, base, moves),
                    None => self.make_room(model, wanted, moves),
                }
            }
            (None, _) => self.make_room(model, wanted, moves),
        }
    }

    fn fitting_family(&self, base: &ModelName, adapter: &ModelName) -> Option<&'a TargetName> {
        let mib = self.mib(base) + self.mib(adapter);
        let fits =
            |board: &BoardTarget<'_>| !board.homes.contains_key(base) && board.free_mib >= mib;
        let boards = self.targets.iter().filter(|(_, board)| fits(board));
        let best = boards.max_by_key(|(_, board)| board.free_mib);
        best.map(|(target, _)| *target)
    }

    fn add_spare(&mut self, model: &ModelName, moves: &mut Vec<PlaceMove>) {
        if let Some(target) = self.fitting(model) {
            self.load(target, model, moves);
        }
    }

    /// Models on a target that may go: unwanted ones, and those with another
    /// ready home. A base goes only without its adapters.
    fn dispensable(
        &self,
        board: &BoardTarget<'a>,
        wanted: &BTreeSet<&'a ModelName>,
    ) -> Vec<&'a ModelName> {
        let carries = |base: &ModelName| {
            let mut adapters = board.homes.keys();
            adapters.any(|model| self.base_of(model) == Some(base))
        };
        let spare = |model: &ModelName| {
            let boards = self.targets.values();
            let ready = boards.filter(|other| {
                let home = other.homes.get(model);
                home.is_some_and(|home| home.phase == HomePhase::Ready)
            });
            ready.count() > 1
        };
        let homes = board.homes.iter();
        let homes = homes.filter(|(_, home)| home.phase != HomePhase::Unloading);
        let models = homes.map(|(model, _)| *model);
        let mut models: Vec<&ModelName> = models
            .filter(|model| !carries(model) && (!wanted.contains(*model) || spare(model)))
            .collect();
        models.sort_by_key(|model| (wanted.contains(model), self.mib(model)));
        models
    }

    /// Unloads what can be spared on the target where that gives the room, or
    /// moves a sole home elsewhere so that it can be spared later.
    fn make_room(
        &mut self,
        model: &ModelName,
        wanted: &BTreeSet<&'a ModelName>,
        moves: &mut Vec<PlaceMove>,
    ) {
        let need = self.mib(model);
        let base = self.base_of(model);
        let mut best: Option<(usize, &'a TargetName, Vec<&'a ModelName>)> = None;
        for (target, board) in &self.targets {
            if !base.is_none_or(|base| Self::is_home(board, base)) {
                continue;
            }
            let pending = self.unloading_mib(board);
            let mut gain = board.free_mib + pending;
            let mut out = Vec::new();
            for spare in self.dispensable(board, wanted) {
                if gain >= need || Some(spare) == base {
                    continue;
                }
                gain += self.mib(spare);
                out.push(spare);
            }
            let fewer = best.as_ref().is_none_or(|(count, _, _)| out.len() < *count);
            if gain >= need && fewer {
                best = Some((out.len(), target, out));
            }
        }
        match best {
            Some((_, target, out)) => {
                for spare in out {
                    self.unload(target, spare, moves);
                }
            }
            None => self.shift_sole_home(model, moves),
        }
    }

    fn unloading_mib(&self, board: &BoardTarget<'_>) -> u64 {
        let homes = board.homes.iter();
        let leaving = homes.filter(|(_, home)| home.phase == HomePhase::Unloading);
        leaving.map(|(model, _)| self.mib(model)).sum()
    }

    fn unload(&mut self, target: &'a TargetName, model: &'a ModelName, moves: &mut Vec<PlaceMove>) {
        if let Some(board) = self.targets.get_mut(target)
            && let Some(home) = board.homes.get_mut(model)
        {
            home.phase = HomePhase::Unloading;
            moves.push(place(target, model, MoveKind::Unload));
        }
    }

    /// Room is there but split: a small sole home moves into a gap elsewhere,
    /// by loading first.
    fn shift_sole_home(&mut self, model: &ModelName, moves: &mut Vec<PlaceMove>) {
        let need = self.mib(model);
        let movable = self.targets.iter().flat_map(|(target, board)| {
            board
                .homes
                .iter()
                .map(move |(model, home)| (*target, board, *model, *home))
        });
        let helpful = movable.filter(|(_, board, sole, home)| {
            home.phase == HomePhase::Ready
                && self.homes(sole) == 1
                && self.mib(sole) < need
                && board.free_mib + self.mib(sole) >= need
        });
        let step = helpful
            .filter_map(|(_, _, sole, _)| Some((self.mib(sole), self.fitting(sole)?, sole)))
            .min_by_key(|(mib, target, _)| (*mib, *target));
        if let Some((_, target, sole)) = step {
            self.load(target, sole, moves);
        }
    }

    /// One load for the model whose homes are most crowded, if worth its price.
    fn follow_demand(
        &mut self,
        policy: &PlacePolicy,
        demand: &DemandBook,
        ordered: &[&'a ModelName],
        wanted: &BTreeSet<&'a ModelName>,
        moves: &mut Vec<PlaceMove>,
    ) {
        let relief = |board: &Self, model: &ModelName| {
            let homes = board.homes(model) as f64;
            let level = demand.level(model);
            match homes > 0.0 {
                true => level / homes - level / (homes + 1.0),
                false => 0.0,
            }
        };
        let crowded = ordered
            .iter()
            .map(|model| (relief(self, model), *model))
            .filter(|(relief, _)| *relief > policy.move_price)
            .max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(a.1)));
        let Some((gain, model)) = crowded else {
            return;
        };
        match self.fitting(model) {
            Some(target) => self.load(target, model, moves),
            None => self.trade(model, gain, policy, demand, wanted, moves),
        }
    }

    /// Unloads the surplus home that is missed least, where that is less than
    /// the gain by the price of both moves.
    fn trade(
        &mut self,
        model: &ModelName,
        gain: f64,
        policy: &PlacePolicy,
        demand: &DemandBook,
        wanted: &BTreeSet<&'a ModelName>,
        moves: &mut Vec<PlaceMove>,
    ) {
        let need = self.mib(model);
        let base = self.base_of(model);
        let loss = |model: &ModelName| {
            let homes = self.homes(model) as f64;
            let level = demand.level(model);
            match homes > 1.0 {
                true => level / (homes - 1.0) - level / homes,
                false => 0.0,
            }
        };
        let open = self.targets.iter().filter(|(_, board)| {
            !board.homes.contains_key(model)
                && self.unloading_mib(board) == 0
                && base.is_none_or(|base| Self::is_home(board, base))
        });
        let offers = open.flat_map(|(target, board)| {
            let spare = self.dispensable(board, wanted).into_iter();
            let enough = spare.filter(|out| board.free_mib + self.mib(out) >= need);
            enough.map(|out| (loss(out), *target, out))
        });
        let cheap = offers.filter(|(loss, _, out)| {
            *loss + policy.move_price < gain && Some(*out) != base && *out != model
        });
        let best = cheap.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
        if let Some((_, target, out)) = best {
            self.unload(target, out, moves);
        }
    }
}

fn place(target: &TargetName, model: &ModelName, kind: MoveKind) -> PlaceMove {
    PlaceMove {
        target: target.clone(),
        model: model.clone(),
        kind,
    }
}
