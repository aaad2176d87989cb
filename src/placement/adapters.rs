//! The leader's orders on adapters: brought where an entry wishes for one, and
//! taken away where a replica has no place left, the least used first.

use std::collections::{BTreeMap, BTreeSet};

use crate::consensus::directory::{ReplicaDirectory, ReplicaRecord};
use crate::ids::ReplicaId;
use crate::placement::order::{AdapterPlace, OrderKind, OrderOutcome};

/// What becomes of a wish.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WishAnswer {
    /// It is there, or on its way.
    Known,
    /// It is to be ordered in.
    Load,
    /// This one is to be ordered out first.
    Evict(AdapterPlace),
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
/// Time within which an order without an answer may still be carried out, in milliseconds.
const LATE_MS: u64 = 13_000;
/// Pause after a replica was busy, in milliseconds.
const BUSY_MS: u64 = 500;

#[derive(Clone, Copy, Debug)]
struct PendingOrder {
    kind: OrderKind,
    /// Until when it counts; none while it has no outcome.
    until_ms: Option<u64>,
    /// It has left for the engine.
    sent: bool,
}

/// Orders on adapters that are under way, and when adapters were used.
#[derive(Clone, Debug, Default)]
pub struct AdapterOrders {
    pending: BTreeMap<AdapterPlace, PendingOrder>,
    used_ms: BTreeMap<AdapterPlace, u64>,
    busy_ms: BTreeMap<ReplicaId, u64>,
    /// The orders of the leader before have been taken over.
    adopted: bool,
}

impl AdapterOrders {
    /// An adapter was used.
    pub fn note_used(&mut self, place: AdapterPlace, now_ms: u64) {
        self.used_ms.insert(place, now_ms);
    }

    /// Decides on a wish for a replica with `slots` places.
    pub fn decide(
        &mut self,
        record: &ReplicaRecord,
        slots: usize,
        replicas: &ReplicaDirectory,
        wish: &AdapterPlace,
        now_ms: u64,
    ) -> WishAnswer {
        let Some(held) = record.models.get(&wish.model) else {
            return WishAnswer::Refused;
        };
        let place = wish.clone();
        let busy = self
            .busy_ms
            .get(&record.id)
            .is_some_and(|until_ms| *until_ms > now_ms);
        match self.pending.get(&place) {
            Some(order) if order.kind == OrderKind::Load => return WishAnswer::Known,
            Some(_) => return WishAnswer::Refused,
            None if held.contains(&wish.adapter) => return WishAnswer::Known,
            None if busy || self.coming(&record.id) >= AT_ONCE => return WishAnswer::Refused,
            None => {}
        }
        if self.taken(record, replicas) < slots {
            self.open(place, OrderKind::Load);
            return WishAnswer::Load;
        }
        match self.least_used(record, now_ms) {
            Some(victim) => {
                self.open(victim.clone(), OrderKind::Unload);
                WishAnswer::Evict(victim)
            }
            None => WishAnswer::Refused,
        }
    }

    /// An engine answered. Returns whether the order holds.
    pub fn on_outcome(&mut self, place: &AdapterPlace, outcome: OrderOutcome, now_ms: u64) -> bool {
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
                true
            }
            OrderOutcome::Unknown => {
                order.until_ms = Some(now_ms + LATE_MS);
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

    /// The loads whose places are committed and that have not left yet. Whoever
    /// leads next must know of a place before an order takes it.
    pub fn take_due(&mut self, replicas: &ReplicaDirectory) -> Vec<AdapterPlace> {
        let mut due = Vec::new();
        for (place, order) in &mut self.pending {
            let unsent = order.kind == OrderKind::Load && !order.sent;
            if unsent && is_coming(replicas, place) {
                order.sent = true;
                due.push(place.clone());
            }
        }
        due
    }

    /// Forgets what shows in the directory, or counts no more, and takes over the
    /// orders of the leader before. Returns places whose orders are settled.
    pub fn settle(&mut self, replicas: &ReplicaDirectory, now_ms: u64) -> Vec<AdapterPlace> {
        let records = replicas.records();
        self.adopt(replicas, now_ms);
        self.pending.retain(|place, order| {
            let record = records.get(&place.replica);
            let over = order.until_ms.is_some_and(|until_ms| until_ms <= now_ms);
            let shows = record.is_some_and(|record| holds(record, place));
            let done = order.kind == OrderKind::Load && shows && order.until_ms.is_some();
            record.is_some() && !over && !done
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
                    until_ms: Some(now_ms + LATE_MS),
                    sent: true,
                };
                self.pending.entry(place).or_insert(order);
            }
        }
    }

    fn open(&mut self, place: AdapterPlace, kind: OrderKind) {
        let order = PendingOrder {
            kind,
            until_ms: None,
            sent: kind == OrderKind::Unload,
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
        let ordered: BTreeSet<AdapterPlace> =
            pending.chain(coming_places(replicas, &record.id)).collect();
        held + ordered.iter().filter(|place| !holds(record, place)).count()
    }

    fn least_used(&self, record: &ReplicaRecord, now_ms: u64) -> Option<AdapterPlace> {
        let held = record.models.iter();
        let held = held.flat_map(|(model, names)| names.iter().map(move |name| (model, name)));
        let places = held.map(|(model, name)| AdapterPlace {
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
) -> impl Iterator<Item = AdapterPlace> + 'a {
    replicas
        .adapters_coming(id)
        .map(|(model, adapter)| AdapterPlace {
            replica: id.clone(),
            model: model.clone(),
            adapter: adapter.clone(),
        })
}

fn is_coming(replicas: &ReplicaDirectory, place: &AdapterPlace) -> bool {
    coming_places(replicas, &place.replica).any(|coming| coming == *place)
}

fn holds(record: &ReplicaRecord, place: &AdapterPlace) -> bool {
    let held = record.models.get(&place.model);
    held.is_some_and(|adapters| adapters.contains(&place.adapter))
}
