//! The leader's orders on adapters: brought where an entry wishes for one, and
//! taken away where a replica has no place left, the least used first.

use std::collections::{BTreeMap, BTreeSet};

use crate::consensus::directory::{ReplicaDirectory, ReplicaRecord};
use crate::ids::{ModelName, ReplicaId};
use crate::placement::order::{AdapterPlacement, OrderKind, OrderOutcome};

/// What becomes of a wish.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdapterDecision {
    /// It is there, or on its way.
    Known,
    /// It is to be ordered in.
    Load,
    /// This one is to be ordered out first.
    Evict(AdapterPlacement),
    /// Not there, and not soon.
    Refused,
}

/// Adapters that may be on their way to one replica.
const AT_ONCE: usize = 4;
/// An adapter used so lately is not taken away, in milliseconds.
const LATELY_MS: u64 = 2_000;
/// Time in which an order's effect shows in the directory, in milliseconds.
const SHOWS_MS: u64 = 4_000;
/// Time in which heartbeats tell of an adapter that is ordered out and still in use,
/// in milliseconds: longer than they are outweighed by the order.
const GOES_MS: u64 = 6_000;
/// How long an adapter of which an order out has no answer, or that the leader before
/// ordered, is left alone, in milliseconds: mostly heartbeats tell meanwhile what became of
/// it. It takes its place all the while, and after it.
const LATE_MS: u64 = 13_000;
/// Pause after a replica was busy, in milliseconds.
const BUSY_MS: u64 = 500;
/// Pause before a load that got no answer is sent again, in milliseconds.
const AGAIN_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug)]
struct PendingOrder {
    kind: OrderKind,
    /// Until when it counts; none while it has no outcome.
    until_ms: Option<u64>,
    /// When it is to be sent; none while an answer or its effect is awaited.
    send_ms: Option<u64>,
    /// It was sent without an answer, by this leader or the one before, and may still be
    /// carried out.
    unanswered: bool,
}

/// Room of a replica for further adapters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdapterCapacity {
    /// So many more may be on their way to it.
    pub may_come: usize,
    /// So many of its places are free.
    pub free_places: usize,
}

/// Orders on adapters that are under way, and when adapters were used.
#[derive(Clone, Debug, Default)]
pub struct AdapterOrders {
    pending: BTreeMap<AdapterPlacement, PendingOrder>,
    used_ms: BTreeMap<AdapterPlacement, u64>,
    busy_ms: BTreeMap<ReplicaId, u64>,
    /// The orders of the leader before have been taken over.
    adopted: bool,
}

impl AdapterOrders {
    /// An adapter was used.
    pub fn note_used(&mut self, place: AdapterPlacement, now_ms: u64) {
        self.used_ms.insert(place, now_ms);
    }

    /// Decides on a wish for a replica with `slots` places.
    pub fn decide(
        &mut self,
        record: &ReplicaRecord,
        slots: usize,
        replicas: &ReplicaDirectory,
        wish: &AdapterPlacement,
        now_ms: u64,
    ) -> AdapterDecision {
        let Some(held) = record.models.get(&wish.model) else {
            return AdapterDecision::Refused;
        };
        match self.pending.get(wish) {
            Some(order) if order.kind == OrderKind::Load => return AdapterDecision::Known,
            Some(_) => return AdapterDecision::Refused,
            None if held.contains(&wish.adapter) => return AdapterDecision::Known,
            None if replicas.is_adapter_going(&record.id, &wish.model, &wish.adapter) => {
                return AdapterDecision::Refused;
            }
            None => {}
        }
        match self.room(record, slots, replicas, now_ms) {
            room if room.may_come == 0 => AdapterDecision::Refused,
            room if room.free_places > 0 => {
                self.bring(wish.clone(), now_ms);
                AdapterDecision::Load
            }
            _ => self.evict(record, now_ms),
        }
    }

    fn evict(&mut self, record: &ReplicaRecord, now_ms: u64) -> AdapterDecision {
        match self.least_used(record, now_ms) {
            Some(victim) => {
                self.open(victim.clone(), OrderKind::Unload, now_ms);
                AdapterDecision::Evict(victim)
            }
            None => AdapterDecision::Refused,
        }
    }

    /// How many more adapters may be on their way to a replica, and how many of its places
    /// nothing takes or may come to take.
    pub fn room(
        &self,
        record: &ReplicaRecord,
        slots: usize,
        replicas: &ReplicaDirectory,
        now_ms: u64,
    ) -> AdapterCapacity {
        let busy_ms = self.busy_ms.get(&record.id);
        let may_come = match busy_ms.is_some_and(|until_ms| *until_ms > now_ms) {
            true => 0,
            false => AT_ONCE.saturating_sub(self.coming(&record.id)),
        };
        let free_places = slots.saturating_sub(self.taken(record, replicas));
        AdapterCapacity {
            may_come,
            free_places,
        }
    }

    /// Begins to bring an adapter for which there is [`Self::room`].
    pub fn bring(&mut self, place: AdapterPlacement, now_ms: u64) {
        self.open(place, OrderKind::Load, now_ms);
    }

    /// Adapters that are on their way in.
    pub fn loads(&self) -> impl Iterator<Item = &AdapterPlacement> {
        let loads = self.pending.iter();
        let loads = loads.filter(|(_, order)| order.kind == OrderKind::Load);
        loads.map(|(place, _)| place)
    }

    /// An engine answered. Returns whether the order holds.
    pub fn on_outcome(
        &mut self,
        place: &AdapterPlacement,
        outcome: OrderOutcome,
        now_ms: u64,
    ) -> bool {
        let Some(order) = self.pending.get_mut(place) else {
            return false;
        };
        match outcome {
            OrderOutcome::Held if order.kind == OrderKind::Unload => {
                self.pending.remove(place);
                true
            }
            OrderOutcome::Taken | OrderOutcome::Held => {
                let shows_ms = match order.kind {
                    OrderKind::Load => SHOWS_MS,
                    OrderKind::Unload => GOES_MS,
                };
                order.until_ms = Some(now_ms + shows_ms);
                order.unanswered = false;
                true
            }
            OrderOutcome::Unknown if order.kind == OrderKind::Unload => {
                order.until_ms = Some(now_ms + LATE_MS);
                false
            }
            // Its place stays taken until an answer shows that the try before is over: an
            // engine that counts orders carries out one of them at most.
            OrderOutcome::Unknown => {
                order.unanswered = true;
                order.send_ms = Some(now_ms + AGAIN_MS);
                false
            }
            OrderOutcome::Busy if order.unanswered => {
                order.send_ms = Some(now_ms + AGAIN_MS);
                false
            }
            OrderOutcome::Busy | OrderOutcome::Fenced | OrderOutcome::Refused => {
                self.pending.remove(place);
                let until_ms = now_ms + BUSY_MS;
                self.busy_ms.insert(place.replica.clone(), until_ms);
                false
            }
        }
    }

    /// The loads that are to be sent and whose places are committed. Whoever leads next
    /// must know of a place before an order takes it.
    pub fn take_due(&mut self, replicas: &ReplicaDirectory, now_ms: u64) -> Vec<AdapterPlacement> {
        let mut due = Vec::new();
        for (place, order) in &mut self.pending {
            let goes = replicas.is_leaving(&place.replica, &place.model);
            let is_due = order.send_ms.is_some_and(|at_ms| at_ms <= now_ms) && !goes;
            if is_due && is_coming(replicas, place) {
                order.send_ms = None;
                due.push(place.clone());
            }
        }
        due
    }

    /// Forgets what shows in the directory, or counts no more, and takes over the
    /// orders of the leader before. Returns places whose orders are settled.
    pub fn settle(&mut self, replicas: &ReplicaDirectory, now_ms: u64) -> Vec<AdapterPlacement> {
        let records = replicas.records();
        self.adopt(replicas, now_ms);
        self.pending.retain(|place, order| {
            let record = records.get(&place.replica);
            let over = order.until_ms.is_some_and(|until_ms| until_ms <= now_ms);
            let shows = record.is_some_and(|record| holds(record, place));
            let answered = order.until_ms.is_some() || order.unanswered;
            let done = order.kind == OrderKind::Load && shows && answered;
            // Without its model it cannot come, and an order that brings the model back moves
            // the engine's count past whatever was sent before.
            let based = record.is_some_and(|record| record.models.contains_key(&place.model))
                || replicas.is_leaving(&place.replica, &place.model);
            based && !over && !done
        });
        let coming = records.keys().flat_map(|id| coming_places(replicas, id));
        let over = coming.filter(|place| !self.pending.contains_key(place));
        let over = over.collect();
        self.used_ms
            .retain(|place, _| records.contains_key(&place.replica));
        self.busy_ms.retain(|_, until_ms| *until_ms > now_ms);
        over
    }

    /// Orders of the leader before count as if they had no answer.
    fn adopt(&mut self, replicas: &ReplicaDirectory, now_ms: u64) {
        if std::mem::replace(&mut self.adopted, true) {
            return;
        }
        for id in replicas.records().keys() {
            for place in coming_places(replicas, id) {
                let order = PendingOrder {
                    kind: OrderKind::Load,
                    until_ms: None,
                    send_ms: Some(now_ms + LATE_MS),
                    unanswered: true,
                };
                self.pending.entry(place).or_insert(order);
            }
        }
    }

    fn open(&mut self, place: AdapterPlacement, kind: OrderKind, now_ms: u64) {
        let order = PendingOrder {
            kind,
            until_ms: None,
            // An order out leaves at once.
            send_ms: (kind == OrderKind::Load).then_some(now_ms),
            unanswered: false,
        };
        self.pending.insert(place, order);
    }

    fn coming(&self, id: &ReplicaId) -> usize {
        let here = self
            .pending
            .iter()
            .filter(|(place, _)| place.replica == *id);
        here.filter(|(_, order)| order.kind == OrderKind::Load)
            .count()
    }

    /// Places that are taken, by whatever order may still be carried out.
    fn taken(&self, record: &ReplicaRecord, replicas: &ReplicaDirectory) -> usize {
        let held: usize = record.models.values().map(BTreeSet::len).sum();
        let pending = self.pending.keys().cloned();
        let pending = pending.filter(|place| place.replica == record.id);
        let ordered = replicas.adapters_ordered(&record.id);
        let ordered = ordered.map(|(model, adapter)| place_of(&record.id, model, adapter));
        let ordered: BTreeSet<AdapterPlacement> = pending.chain(ordered).collect();
        held + ordered.iter().filter(|place| !holds(record, place)).count()
    }

    fn least_used(&self, record: &ReplicaRecord, now_ms: u64) -> Option<AdapterPlacement> {
        let held = record.models.iter();
        let held = held.flat_map(|(model, names)| names.iter().map(move |name| (model, name)));
        let places = held.map(|(model, name)| AdapterPlacement {
            replica: record.id.clone(),
            model: model.clone(),
            adapter: name.clone(),
        });
        let idle = places.filter_map(|place| {
            let used_ms = self.used_ms.get(&place).copied().unwrap_or(0);
            let free = !self.pending.contains_key(&place) && used_ms + LATELY_MS <= now_ms;
            free.then_some((used_ms, place))
        });
        idle.min().map(|(_, place)| place)
    }
}

/// The places of a replica that stand in the log as ordered.
fn coming_places<'a>(
    replicas: &'a ReplicaDirectory,
    id: &'a ReplicaId,
) -> impl Iterator<Item = AdapterPlacement> + 'a {
    let coming = replicas.adapters_coming(id);
    coming.map(|(model, adapter)| place_of(id, model, adapter))
}

fn place_of(id: &ReplicaId, model: &ModelName, adapter: &str) -> AdapterPlacement {
    AdapterPlacement {
        replica: id.clone(),
        model: model.clone(),
        adapter: adapter.to_owned(),
    }
}

fn is_coming(replicas: &ReplicaDirectory, place: &AdapterPlacement) -> bool {
    coming_places(replicas, &place.replica).any(|coming| coming == *place)
}

fn holds(record: &ReplicaRecord, place: &AdapterPlacement) -> bool {
    record.holds_adapter(&place.model, &place.adapter)
}
