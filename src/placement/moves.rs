//! Decides which models move between targets: first homes come first, then demand, then spare
//! homes.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::consensus::state::{HomeInfo, HomePhase, MoveKind, SiteState};
use crate::ids::{HallName, ModelName, TargetName};
pub use crate::placement::demand::DemandTracker;
use crate::table::packing::{self, Layout};
use crate::table::site::{ModelKind, SiteSpec};

/// Placement settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementPolicy {
    /// Minimum relief of a load for demand, in concurrent requests per home. A high value gives few
    /// moves; with a low one, placement follows demand closely.
    pub move_price: f64,
    /// Number of homes that each model keeps where memory allows.
    pub spread: usize,
    /// Whether placement follows demand; otherwise it only repairs and spreads.
    pub by_demand: bool,
}

/// Value of a spare home by itself, in concurrent requests per home.
const SPARE_HOME_VALUE: f64 = 1.0;

/// A planned move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementMove {
    /// The target.
    pub target: TargetName,
    /// The model.
    pub model: ModelName,
    /// Load or unload.
    pub kind: MoveKind,
}

/// Returns the moves to order now, most urgent first, within the limits of the weight store.
///
/// `wall_ms` is the clock of the proposer. The clock of the state stands still while nothing is
/// committed, and a repair must not wait for that.
pub fn plan(
    state: &SiteState,
    policy: &PlacementPolicy,
    demand: &DemandTracker,
    wall_ms: u64,
) -> Vec<PlacementMove> {
    let mut snapshot = PlacementSnapshot::new(state);
    let mut moves = Vec::new();
    let wanted = packing::resident_set(&state.site, state.table.models());
    // Base models come before the adapters that need them, and large models before small ones, as
    // they are the hardest to place.
    let mut ordered: Vec<&ModelName> = wanted.iter().copied().collect();
    ordered.sort_by_key(|model| {
        let adapter = snapshot.base_of(model).is_some();
        (adapter, Reverse(snapshot.mib(model)), *model)
    });
    let loads_allowed = loads_allowed_now(state, wall_ms);
    let homeless: Vec<&ModelName> = ordered
        .iter()
        .copied()
        .filter(|model| snapshot.homes(model) == 0)
        .collect();
    for model in &homeless {
        snapshot.add_home(model, &wanted, &mut moves);
    }
    // A spare home must not take memory that is being freed for a first home, nor memory for a home
    // that relieves more than a spare home is worth.
    let claimed = !homeless.is_empty()
        || policy.by_demand
            && snapshot.relieve_busiest(policy, demand, &ordered, &wanted, &mut moves);
    if !claimed {
        for model in &ordered {
            if snapshot.homes(model) < policy.spread {
                snapshot.add_spare(model, &mut moves);
            }
        }
    }
    cap_loads(moves, loads_allowed)
}

/// Returns how many loads may start now, by the weight store's rate and its limit on concurrent
/// loads.
fn loads_allowed_now(state: &SiteState, wall_ms: u64) -> usize {
    let loading = state.homes.values().flat_map(|homes| homes.values());
    let loading = loading
        .filter(|home| home.phase == HomePhase::Loading)
        .count();
    let free_loads = state.site.loads_at_once.saturating_sub(loading);
    let due = wall_ms.max(state.clock_ms) >= state.last_load_ms + state.site.load_gap_ms;
    match due || state.site.load_gap_ms == 0 {
        true if state.site.load_gap_ms > 0 => free_loads.min(1),
        true => free_loads,
        false => 0,
    }
}

fn cap_loads(moves: Vec<PlacementMove>, loads_allowed: usize) -> Vec<PlacementMove> {
    let mut left = loads_allowed;
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
    /// Number of homes of each model that are not being unloaded. Kept up to date, as counting them
    /// anew would cost models × targets.
    counts: BTreeMap<&'a ModelName, usize>,
}

impl<'a> PlacementSnapshot<'a> {
    /// Includes only targets in open halls whose agent is alive and not draining.
    fn new(state: &'a SiteState) -> Self {
        let mut targets = BTreeMap::new();
        for (target, spec) in &state.site.targets {
            let remains = state.agent_of(target).is_some_and(|keeper| !keeper.leaving);
            let open = !state.evacuated.contains(&spec.hall);
            if !remains || !open || spec.memory_mib == 0 {
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
            let snapshot = TargetSnapshot {
                hall: &spec.hall,
                free_mib: spec.weights_capacity_mib().saturating_sub(taken),
                homes,
            };
            targets.insert(target, snapshot);
        }
        let mut counts = BTreeMap::new();
        for snapshot in targets.values() {
            for (model, home) in &snapshot.homes {
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

    fn is_home(snapshot: &TargetSnapshot<'_>, model: &ModelName) -> bool {
        let home = snapshot.homes.get(model);
        home.is_some_and(|home| home.phase != HomePhase::Unloading)
    }

    fn homes(&self, model: &ModelName) -> usize {
        self.counts.get(model).copied().unwrap_or(0)
    }

    /// Returns the best target that fits the model without an unload: in a hall without it if
    /// possible, then with the most free memory. An adapter fits only where its base model has a
    /// home.
    fn best_fit(&self, model: &ModelName) -> Option<&'a TargetName> {
        let mib = self.mib(model);
        let base = self.base_of(model);
        let halls: BTreeSet<&HallName> = self
            .targets
            .values()
            .filter(|snapshot| Self::is_home(snapshot, model))
            .map(|snapshot| snapshot.hall)
            .collect();
        self.targets
            .iter()
            .filter(|(_, snapshot)| !snapshot.homes.contains_key(model) && snapshot.free_mib >= mib)
            .filter(|(_, snapshot)| base.is_none_or(|base| Self::is_home(snapshot, base)))
            .max_by_key(|(_, snapshot)| (!halls.contains(snapshot.hall), snapshot.free_mib))
            .map(|(target, _)| *target)
    }

    fn load(&mut self, target: &'a TargetName, model: &ModelName, moves: &mut Vec<PlacementMove>) {
        let mib = self.mib(model);
        if let Some((name, _)) = self.site.models.get_key_value(model)
            && let Some(snapshot) = self.targets.get_mut(target)
        {
            snapshot.free_mib = snapshot.free_mib.saturating_sub(mib);
            let home = HomeInfo {
                phase: HomePhase::Loading,
                order: crate::ids::Position(0),
            };
            snapshot.homes.insert(name, home);
            *self.counts.entry(name).or_default() += 1;
            moves.push(new_move(target, model, MoveKind::Load));
        }
    }

    /// Adds a first home: where the model fits, otherwise where memory can be freed. An adapter may
    /// first need a further home of its base model.
    fn add_home(
        &mut self,
        model: &ModelName,
        wanted: &BTreeSet<&'a ModelName>,
        moves: &mut Vec<PlacementMove>,
    ) {
        match (self.best_fit(model), self.base_of(model)) {
            (Some(target), _) => self.load(target, model, moves),
            (None, Some(base)) if self.homes(base) > 0 => {
                let with_room = self.best_fit_with_base(base, model);
                match with_room {
                    Some(target) => self.load(target, base, moves),
                    None => self.make_room(model, wanted, moves),
                }
            }
            (None, _) => self.make_room(model, wanted, moves),
        }
    }

    fn best_fit_with_base(&self, base: &ModelName, adapter: &ModelName) -> Option<&'a TargetName> {
        let mib = self.mib(base) + self.mib(adapter);
        let fits =
            |view: &TargetSnapshot<'_>| !view.homes.contains_key(base) && view.free_mib >= mib;
        let candidates = self.targets.iter().filter(|(_, snapshot)| fits(snapshot));
        let best = candidates.max_by_key(|(_, snapshot)| snapshot.free_mib);
        best.map(|(target, _)| *target)
    }

    fn add_spare(&mut self, model: &ModelName, moves: &mut Vec<PlacementMove>) {
        if let Some(target) = self.best_fit(model) {
            self.load(target, model, moves);
        }
    }

    /// Returns whether a home may be unloaded: the model is not wanted or has another ready home,
    /// and none of its adapters is on the target.
    fn is_dispensable(
        &self,
        snapshot: &TargetSnapshot<'a>,
        model: &ModelName,
        wanted: &BTreeSet<&'a ModelName>,
    ) -> bool {
        let ready = self.targets.values().filter(|other| {
            let home = other.homes.get(model);
            home.is_some_and(|home| home.phase == HomePhase::Ready)
        });
        let missed = wanted.contains(model) && ready.count() <= 1;
        !missed && !self.has_adapters_of(snapshot, model)
    }

    /// Returns whether adapters of the model are on the target.
    fn has_adapters_of(&self, snapshot: &TargetSnapshot<'a>, model: &ModelName) -> bool {
        let mut neighbours = snapshot.homes.keys();
        neighbours.any(|other| self.base_of(other) == Some(model))
    }

    /// Returns the homes on a target that may be unloaded, each considered by itself: unwanted
    /// models first, then small ones.
    fn dispensable(
        &self,
        snapshot: &TargetSnapshot<'a>,
        wanted: &BTreeSet<&'a ModelName>,
    ) -> Vec<&'a ModelName> {
        let homes = snapshot.homes.iter();
        let homes = homes.filter(|(_, home)| home.phase != HomePhase::Unloading);
        let mut models: Vec<&ModelName> = homes
            .map(|(model, _)| *model)
            .filter(|model| self.is_dispensable(snapshot, model, wanted))
            .collect();
        models.sort_by_key(|model| (wanted.contains(model), self.mib(model)));
        models
    }

    /// Frees memory for a model on the target that needs the fewest unloads. If no target has
    /// enough, prepares for it with loads elsewhere.
    fn make_room(
        &mut self,
        model: &ModelName,
        wanted: &BTreeSet<&'a ModelName>,
        moves: &mut Vec<PlacementMove>,
    ) {
        let need = self.mib(model);
        let base = self.base_of(model);
        let mut best: Option<(usize, &'a TargetName, Vec<&'a ModelName>)> = None;
        for (target, snapshot) in &self.targets {
            if !base.is_none_or(|base| Self::is_home(snapshot, base)) {
                continue;
            }
            let pending = self.unloading_mib(snapshot);
            let mut gain = snapshot.free_mib + pending;
            let mut out = Vec::new();
            for spare in self.dispensable(snapshot, wanted) {
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
            None if self.relocate_sole_home(model, wanted, moves) => {}
            None => self.step_to_packing(wanted, moves),
        }
    }

    fn unloading_mib(&self, snapshot: &TargetSnapshot<'_>) -> u64 {
        let homes = snapshot.homes.iter();
        let leaving = homes.filter(|(_, home)| home.phase == HomePhase::Unloading);
        leaving.map(|(model, _)| self.mib(model)).sum()
    }

    fn unload(
        &mut self,
        target: &'a TargetName,
        model: &'a ModelName,
        moves: &mut Vec<PlacementMove>,
    ) {
        if let Some(snapshot) = self.targets.get_mut(target)
            && let Some(home) = snapshot.homes.get_mut(model)
        {
            home.phase = HomePhase::Unloading;
            *self.counts.entry(model).or_default() -= 1;
            moves.push(new_move(target, model, MoveKind::Unload));
        }
    }

    /// Handles fragmented memory: gives a model whose only home is in the way a second home
    /// elsewhere, so that the first can be unloaded later. Returns whether that was possible.
    fn relocate_sole_home(
        &mut self,
        model: &ModelName,
        wanted: &BTreeSet<&'a ModelName>,
        moves: &mut Vec<PlacementMove>,
    ) -> bool {
        let need = self.mib(model);
        let base = self.base_of(model);
        let mut best: Option<(u64, &'a TargetName, &'a ModelName)> = None;
        for snapshot in self.targets.values() {
            if !base.is_none_or(|base| Self::is_home(snapshot, base)) {
                continue;
            }
            let spare = self.dispensable(snapshot, wanted);
            let spare: u64 = spare.iter().map(|model| self.mib(model)).sum();
            let available_mib = snapshot.free_mib + spare + self.unloading_mib(snapshot);
            for (only_home, home) in &snapshot.homes {
                let mib = self.mib(only_home);
                let stuck = home.phase == HomePhase::Ready && self.homes(only_home) == 1;
                let helps = available_mib + mib >= need && Some(*only_home) != base;
                let cheaper = best.is_none_or(|(least, _, _)| mib < least);
                if stuck && helps && cheaper && !self.has_adapters_of(snapshot, only_home) {
                    best = self
                        .best_fit(only_home)
                        .map(|target| (mib, target, *only_home))
                        .or(best);
                }
            }
        }
        match best {
            Some((_, target, only_home)) => {
                self.load(target, only_home, moves);
                true
            }
            None => false,
        }
    }

    /// Takes the next steps towards a layout that is known to fit. A model is loaded at its new
    /// home before its last ready home is unloaded.
    fn step_to_packing(
        &mut self,
        wanted: &BTreeSet<&'a ModelName>,
        moves: &mut Vec<PlacementMove>,
    ) {
        let live = self.targets.keys().copied();
        let Ok(layout) = packing::pack_live(self.site, live, wanted.iter().copied()) else {
            return;
        };
        let before = moves.len();
        self.unload_for_layout(&layout, wanted, moves);
        for (model, target) in &layout {
            let Some((target, snapshot)) = self.targets.get_key_value(target) else {
                continue;
            };
            let base = self.base_of(model);
            let has_base = base.is_none_or(|base| Self::is_home(snapshot, base));
            let fits = snapshot.free_mib >= self.mib(model);
            if has_base && fits && !snapshot.homes.contains_key(model) {
                self.load(target, model, moves);
            }
        }
        if moves.len() == before {
            self.break_cycle(&layout, moves);
        }
    }

    /// Returns the size of the models that the layout puts on a target and that are not there, in
    /// MiB.
    fn missing_mib(&self, layout: &Layout, target: &TargetName) -> u64 {
        let snapshot = &self.targets[target];
        let here = layout.iter().filter(|(_, home)| *home == target);
        let absent = here.filter(|(model, _)| !snapshot.homes.contains_key(model));
        absent.map(|(model, _)| self.mib(model)).sum()
    }

    /// Unloads dispensable homes from targets that need the memory for the layout.
    fn unload_for_layout(
        &mut self,
        layout: &Layout,
        wanted: &BTreeSet<&'a ModelName>,
        moves: &mut Vec<PlacementMove>,
    ) {
        let targets: Vec<&'a TargetName> = self.targets.keys().copied().collect();
        for target in targets {
            let missing_mib = self.missing_mib(layout, target);
            for model in self.dispensable(&self.targets[target], wanted) {
                let snapshot = &self.targets[target];
                let short = snapshot.free_mib + self.unloading_mib(snapshot) < missing_mib;
                let misplaced = layout.get(model) != Some(target);
                // An earlier unload may have made this the last ready home.
                if short && misplaced && self.is_dispensable(snapshot, model, wanted) {
                    self.unload(target, model, moves);
                }
            }
        }
    }

    /// Breaks a cycle of models that wait for each other's memory: loads one of them at a further
    /// home on any target that fits it.
    fn break_cycle(&mut self, layout: &Layout, moves: &mut Vec<PlacementMove>) {
        let mut stuck = Vec::new();
        for (target, snapshot) in &self.targets {
            let short = snapshot.free_mib < self.missing_mib(layout, target);
            for model in snapshot.homes.keys().filter(|_| short) {
                let misplaced = layout.get(*model) != Some(*target);
                if misplaced && self.homes(model) == 1 && !self.has_adapters_of(snapshot, model) {
                    stuck.push((self.mib(model), *model));
                }
            }
        }
        stuck.sort();
        let step = stuck
            .into_iter()
            .find_map(|(_, model)| Some((self.best_fit(model)?, model)));
        if let Some((target, model)) = step {
            self.load(target, model, moves);
        }
    }

    /// Plans one load for the model with the highest relief from a further home, if the relief
    /// exceeds the price. Returns whether memory is claimed for it.
    fn relieve_busiest(
        &mut self,
        policy: &PlacementPolicy,
        demand: &DemandTracker,
        ordered: &[&'a ModelName],
        wanted: &BTreeSet<&'a ModelName>,
        moves: &mut Vec<PlacementMove>,
    ) -> bool {
        let relief = |snapshot: &Self, model: &ModelName| {
            let homes = snapshot.homes(model) as f64;
            let level = demand.level(model);
            match homes > 0.0 {
                true => level / homes - level / (homes + 1.0),
                false => 0.0,
            }
        };
        let busiest = ordered
            .iter()
            .map(|model| (relief(self, model), *model))
            .filter(|(relief, _)| *relief > policy.move_price)
            .max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(a.1)));
        let Some((gain, model)) = busiest else {
            return false;
        };
        let pending = |snapshot: &TargetSnapshot<'_>| self.unloading_mib(snapshot) > 0;
        match self.best_fit(model) {
            Some(target) => self.load(target, model, moves),
            // Memory that is already being freed is used first.
            None if self.targets.values().any(pending) => {}
            None => return self.swap_surplus_home(model, gain, policy, demand, wanted, moves),
        }
        true
    }

    /// Unloads the surplus home with the least loss, if the loss plus the move price is below
    /// `gain`. Returns whether one was unloaded.
    fn swap_surplus_home(
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
                SPARE_HOME_VALUE
            } else {
                0.0
            };
            match homes > 1.0 {
                true => spare + level / (homes - 1.0) - level / homes,
                false => 0.0,
            }
        };
        let open = self.targets.iter().filter(|(_, snapshot)| {
            !snapshot.homes.contains_key(model)
                && self.unloading_mib(snapshot) == 0
                && base.is_none_or(|base| Self::is_home(snapshot, base))
        });
        let offers = open.flat_map(|(target, snapshot)| {
            let spare = self.dispensable(snapshot, wanted).into_iter();
            let enough = spare.filter(|out| snapshot.free_mib + self.mib(out) >= need);
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

fn new_move(target: &TargetName, model: &ModelName, kind: MoveKind) -> PlacementMove {
    PlacementMove {
        target: target.clone(),
        model: model.clone(),
        kind,
    }
}
