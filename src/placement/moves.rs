//! Decides which models move: repair first, then spread, then what demand is worth.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::consensus::state::{HomeInfo, HomePhase, MoveKind, SiteState};
use crate::ids::{HallName, ModelName, TargetName};
pub use crate::placement::demand::DemandTracker;
use crate::table::packing::{self, Layout};
use crate::table::site::{ModelKind, SiteSpec};

/// How moves are decided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementPolicy {
    /// Relief that a load for demand must bring, in concurrent requests a
    /// home. High: few moves; low: follow demand closely.
    pub move_price: f64,
    /// Homes that each model keeps where memory allows.
    pub spread: usize,
    /// Follow demand at all; else only repair and spread.
    pub by_demand: bool,
}

/// What a spare home is worth by itself, in concurrent requests a home.
const SPARE_WORTH: f64 = 1.0;

/// A decided move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementMove {
    /// The target.
    pub target: TargetName,
    /// The model.
    pub model: ModelName,
    /// In or out.
    pub kind: MoveKind,
}

/// The moves to order now, most urgent first; the weight store's limits are kept.
///
/// `wall_ms` is the proposer's clock: the state's stands still while nothing is
/// committed, and a repair must not wait for that.
pub fn plan(
    state: &SiteState,
    policy: &PlacementPolicy,
    demand: &DemandTracker,
    wall_ms: u64,
) -> Vec<PlacementMove> {
    let mut board = PlacementSnapshot::new(state);
    let mut moves = Vec::new();
    let wanted = packing::resident_set(&state.site, state.table.models());
    // Bases come before the adapters that need them, large ones before small:
    // they are the hardest to place.
    let mut ordered: Vec<&ModelName> = wanted.iter().copied().collect();
    ordered.sort_by_key(|model| {
        let adapter = board.base_of(model).is_some();
        (adapter, Reverse(board.mib(model)), *model)
    });
    let permits = load_permits(state, wall_ms);
    let homeless: Vec<&ModelName> = ordered
        .iter()
        .copied()
        .filter(|model| board.homes(model) == 0)
        .collect();
    for model in &homeless {
        board.add_home(model, &wanted, &mut moves);
    }
    // A spare home must not take the room that is being made for a first one,
    // nor that for a home which relieves more than a spare is worth.
    let claimed = !homeless.is_empty()
        || policy.by_demand && board.follow_demand(policy, demand, &ordered, &wanted, &mut moves);
    if !claimed {
        for model in &ordered {
            if board.homes(model) < policy.spread {
                board.add_spare(model, &mut moves);
            }
        }
    }
    limit_loads(moves, permits)
}

/// Loads that may start now, by the weight store's rate and its loads at once.
fn load_permits(state: &SiteState, wall_ms: u64) -> usize {
    let loading = state.homes.values().flat_map(|homes| homes.values());
    let loading = loading
        .filter(|home| home.phase == HomePhase::Loading)
        .count();
    let room = state.site.loads_at_once.saturating_sub(loading);
    let due = wall_ms.max(state.clock_ms) >= state.last_load_ms + state.site.load_gap_ms;
    match due || state.site.load_gap_ms == 0 {
        true if state.site.load_gap_ms > 0 => room.min(1),
        true => room,
        false => 0,
    }
}

fn limit_loads(moves: Vec<PlacementMove>, permits: usize) -> Vec<PlacementMove> {
    let mut left = permits;
    let allowed = |step: &PlacementMove| match step.kind {
        MoveKind::Unload => true,
        MoveKind::Load if left > 0 => {
            left -= 1;
            true
        }
        MoveKind::Load => false,
    };
    moves.into_iter().filter(allowed).collect()
}

struct TargetSnapshot<'a> {
    hall: &'a HallName,
    free_mib: u64,
    homes: BTreeMap<&'a ModelName, HomeInfo>,
}

struct PlacementSnapshot<'a> {
    site: &'a SiteSpec,
    targets: BTreeMap<&'a TargetName, TargetSnapshot<'a>>,
    /// Homes of each model that are not on their way out, kept along: counting
    /// them anew would cost models × targets.
    counts: BTreeMap<&'a ModelName, usize>,
}

impl<'a> PlacementSnapshot<'a> {
    /// Only targets with a live agent that stays, in halls that are open.
    fn new(state: &'a SiteState) -> Self {
        let mut targets = BTreeMap::new();
        for (target, spec) in &state.site.targets {
            let stays = state.keeper(target).is_some_and(|keeper| !keeper.leaving);
            let open = !state.evacuated.contains(&spec.hall);
            if !stays || !open || spec.memory_mib == 0 {
                continue;
            }
            let homes: BTreeMap<&ModelName, HomeInfo> = state
                .homes
                .get(target)
                .into_iter()
                .flatten()
                .map(|(model, home)| (model, *home))
                .collect();
            let taken: u64 = homes
                .keys()
                .filter_map(|model| state.site.models.get(*model))
                .map(|spec| spec.weights_mib)
                .sum();
            let board = TargetSnapshot {
                hall: &spec.hall,
                free_mib: spec.room_mib().saturating_sub(taken),
                homes,
            };
            targets.insert(target, board);
        }
        let mut counts = BTreeMap::new();
        for board in targets.values() {
            for (model, home) in &board.homes {
                let kept = home.phase != HomePhase::Unloading;
                *counts.entry(*model).or_default() += usize::from(kept);
            }
        }
        Self {
            site: &state.site,
            targets,
            counts,
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

    fn is_home(board: &TargetSnapshot<'_>, model: &ModelName) -> bool {
        let home = board.homes.get(model);
        home.is_some_and(|home| home.phase != HomePhase::Unloading)
    }

    fn homes(&self, model: &ModelName) -> usize {
        self.counts.get(model).copied().unwrap_or(0)
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

    fn load(&mut self, target: &'a TargetName, model: &ModelName, moves: &mut Vec<PlacementMove>) {
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
            *self.counts.entry(name).or_default() += 1;
            moves.push(place(target, model, MoveKind::Load));
        }
    }

    /// A first home: where it fits, else where room can be made, for an adapter
    /// if need be with a further home of its base.
    fn add_home(
        &mut self,
        model: &ModelName,
        wanted: &BTreeSet<&'a ModelName>,
        moves: &mut Vec<PlacementMove>,
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
            |board: &TargetSnapshot<'_>| !board.homes.contains_key(base) && board.free_mib >= mib;
        let boards = self.targets.iter().filter(|(_, board)| fits(board));
        let best = boards.max_by_key(|(_, board)| board.free_mib);
        best.map(|(target, _)| *target)
    }

    fn add_spare(&mut self, model: &ModelName, moves: &mut Vec<PlacementMove>) {
        if let Some(target) = self.fitting(model) {
            self.load(target, model, moves);
        }
    }

    /// Whether a home may go: nobody wants the model, or it has another ready
    /// home. A base goes only without its adapters.
    fn is_dispensable(
        &self,
        board: &TargetSnapshot<'a>,
        model: &ModelName,
        wanted: &BTreeSet<&'a ModelName>,
    ) -> bool {
        let ready = self.targets.values().filter(|other| {
            let home = other.homes.get(model);
            home.is_some_and(|home| home.phase == HomePhase::Ready)
        });
        let missed = wanted.contains(model) && ready.count() <= 1;
        !missed && !self.carries(board, model)
    }

    /// Whether adapters of the model are on the target.
    fn carries(&self, board: &TargetSnapshot<'a>, model: &ModelName) -> bool {
        let mut neighbours = board.homes.keys();
        neighbours.any(|other| self.base_of(other) == Some(model))
    }

    /// The homes on a target that may go, each by itself, those missed least first.
    fn dispensable(
        &self,
        board: &TargetSnapshot<'a>,
        wanted: &BTreeSet<&'a ModelName>,
    ) -> Vec<&'a ModelName> {
        let homes = board.homes.iter();
        let homes = homes.filter(|(_, home)| home.phase != HomePhase::Unloading);
        let mut models: Vec<&ModelName> = homes
            .map(|(model, _)| *model)
            .filter(|model| self.is_dispensable(board, model, wanted))
            .collect();
        models.sort_by_key(|model| (wanted.contains(model), self.mib(model)));
        models
    }

    /// Unloads what can be spared on the target where that takes least.
    fn make_room(
        &mut self,
        model: &ModelName,
        wanted: &BTreeSet<&'a ModelName>,
        moves: &mut Vec<PlacementMove>,
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
            None if self.eject(model, wanted, moves) => {}
            None => self.follow_packing(wanted, moves),
        }
    }

    fn unloading_mib(&self, board: &TargetSnapshot<'_>) -> u64 {
        let homes = board.homes.iter();
        let leaving = homes.filter(|(_, home)| home.phase == HomePhase::Unloading);
        leaving.map(|(model, _)| self.mib(model)).sum()
    }

    fn unload(
        &mut self,
        target: &'a TargetName,
        model: &'a ModelName,
        moves: &mut Vec<PlacementMove>,
    ) {
        if let Some(board) = self.targets.get_mut(target)
            && let Some(home) = board.homes.get_mut(model)
        {
            home.phase = HomePhase::Unloading;
            *self.counts.entry(model).or_default() -= 1;
            moves.push(place(target, model, MoveKind::Unload));
        }
    }

    /// Room is there but split: gives one sole home that is in the way a second
    /// home elsewhere, so that the first can go later.
    fn eject(
        &mut self,
        model: &ModelName,
        wanted: &BTreeSet<&'a ModelName>,
        moves: &mut Vec<PlacementMove>,
    ) -> bool {
        let need = self.mib(model);
        let base = self.base_of(model);
        let mut best: Option<(u64, &'a TargetName, &'a ModelName)> = None;
        for board in self.targets.values() {
            if !base.is_none_or(|base| Self::is_home(board, base)) {
                continue;
            }
            let spare = self.dispensable(board, wanted);
            let spare: u64 = spare.iter().map(|model| self.mib(model)).sum();
            let room = board.free_mib + spare + self.unloading_mib(board);
            for (sole, home) in &board.homes {
                let mib = self.mib(sole);
                let stuck = home.phase == HomePhase::Ready && self.homes(sole) == 1;
                let helps = room + mib >= need && Some(*sole) != base;
                let cheaper = best.is_none_or(|(least, _, _)| mib < least);
                if stuck && helps && cheaper && !self.carries(board, sole) {
                    best = self
                        .fitting(sole)
                        .map(|target| (mib, target, *sole))
                        .or(best);
                }
            }
        }
        match best {
            Some((_, target, sole)) => {
                self.load(target, sole, moves);
                true
            }
            None => false,
        }
    }

    /// Goes over, step by step, to a layout that is known to fit, always
    /// loading before unloading.
    fn follow_packing(&mut self, wanted: &BTreeSet<&'a ModelName>, moves: &mut Vec<PlacementMove>) {
        let live = self.targets.keys().copied();
        let Ok(layout) = packing::pack_live(self.site, live, wanted.iter().copied()) else {
            return;
        };
        let before = moves.len();
        self.clear_for(&layout, wanted, moves);
        for (model, target) in &layout {
            let Some((target, board)) = self.targets.get_key_value(target) else {
                continue;
            };
            let base = self.base_of(model);
            let based = base.is_none_or(|base| Self::is_home(board, base));
            let fits = board.free_mib >= self.mib(model);
            if based && fits && !board.homes.contains_key(model) {
                self.load(target, model, moves);
            }
        }
        if moves.len() == before {
            self.borrow_room(&layout, moves);
        }
    }

    /// The models that the layout puts on a target and that are not there.
    fn missing(&self, layout: &Layout, target: &TargetName) -> u64 {
        let board = &self.targets[target];
        let here = layout.iter().filter(|(_, home)| *home == target);
        let missing = here.filter(|(model, _)| !board.homes.contains_key(model));
        missing.map(|(model, _)| self.mib(model)).sum()
    }

    /// Unloads what may go from targets that need the room.
    fn clear_for(
        &mut self,
        layout: &Layout,
        wanted: &BTreeSet<&'a ModelName>,
        moves: &mut Vec<PlacementMove>,
    ) {
        let targets: Vec<&'a TargetName> = self.targets.keys().copied().collect();
        for target in targets {
            let missing = self.missing(layout, target);
            for model in self.dispensable(&self.targets[target], wanted) {
                let board = &self.targets[target];
                let short = board.free_mib + self.unloading_mib(board) < missing;
                let misplaced = layout.get(model) != Some(target);
                // An unload before may have made this the last ready home.
                if short && misplaced && self.is_dispensable(board, model, wanted) {
                    self.unload(target, model, moves);
                }
            }
        }
    }

    /// A ring of models that wait for each other's room: one of them gets a
    /// further home wherever there is any.
    fn borrow_room(&mut self, layout: &Layout, moves: &mut Vec<PlacementMove>) {
        let mut stuck = Vec::new();
        for (target, board) in &self.targets {
            let short = board.free_mib < self.missing(layout, target);
            for model in board.homes.keys().filter(|_| short) {
                let misplaced = layout.get(*model) != Some(*target);
                if misplaced && self.homes(model) == 1 && !self.carries(board, model) {
                    stuck.push((self.mib(model), *model));
                }
            }
        }
        stuck.sort();
        let step = stuck
            .into_iter()
            .find_map(|(_, model)| Some((self.fitting(model)?, model)));
        if let Some((target, model)) = step {
            self.load(target, model, moves);
        }
    }

    /// One load for the model whose homes are most crowded, if worth its price.
    /// Returns whether free room is spoken for.
    fn follow_demand(
        &mut self,
        policy: &PlacementPolicy,
        demand: &DemandTracker,
        ordered: &[&'a ModelName],
        wanted: &BTreeSet<&'a ModelName>,
        moves: &mut Vec<PlacementMove>,
    ) -> bool {
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
            return false;
        };
        let pending = |board: &TargetSnapshot<'_>| self.unloading_mib(board) > 0;
        match self.fitting(model) {
            Some(target) => self.load(target, model, moves),
            // The room that was made before comes first.
            None if self.targets.values().any(pending) => {}
            None => return self.trade(model, gain, policy, demand, wanted, moves),
        }
        true
    }

    /// Unloads the surplus home that is missed least, where that is less than
    /// the gain by the price of both moves.
    fn trade(
        &mut self,
        model: &ModelName,
        gain: f64,
        policy: &PlacementPolicy,
        demand: &DemandTracker,
        wanted: &BTreeSet<&'a ModelName>,
        moves: &mut Vec<PlacementMove>,
    ) -> bool {
        let need = self.mib(model);
        let base = self.base_of(model);
        let loss = |model: &ModelName| {
            let homes = self.homes(model) as f64;
            let level = demand.level(model);
            let spare = if homes as usize <= policy.spread {
                SPARE_WORTH
            } else {
                0.0
            };
            match homes > 1.0 {
                true => spare + level / (homes - 1.0) - level / homes,
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
        match best {
            Some((_, target, out)) => {
                self.unload(target, out, moves);
                true
            }
            None => false,
        }
    }
}

fn place(target: &TargetName, model: &ModelName, kind: MoveKind) -> PlacementMove {
    PlacementMove {
        target: target.clone(),
        model: model.clone(),
        kind,
    }
}
