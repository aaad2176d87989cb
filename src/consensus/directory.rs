//! The replicas that registered themselves, as the log holds them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{HallName, ModelName, ReplicaId, ReplicaLife, ServiceName};

/// Replicas whose ended lives are remembered, so that a late heartbeat cannot bring one back.
const MAX_ENDED: usize = 1024;

/// Where a replica is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaPhase {
    /// Takes requests.
    Ready,
    /// Leaves: no new requests.
    Draining,
    /// Not heard from for a while: the last choice.
    Silent,
}

/// A replica in one life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRecord {
    /// Its id.
    pub id: ReplicaId,
    /// The service it runs for.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: HallName,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Where it is in its life.
    pub phase: ReplicaPhase,
    /// The models it holds, each with its adapters.
    pub models: BTreeMap<ModelName, BTreeSet<String>>,
    /// Models with a copy in host memory.
    pub in_memory: BTreeSet<ModelName>,
    /// Models with a copy on disk.
    pub on_disk: BTreeSet<ModelName>,
    /// The number of the heartbeat that told this, which rises with each; 0 where they
    /// carry none.
    pub beat: u64,
    /// When this life began, in milliseconds since the epoch by the replica's clock; 0 where
    /// it does not tell.
    pub born_ms: u64,
    /// For how much longer it warms up, in milliseconds; 0 once it is warm, and where its
    /// service names no rate for it.
    pub cold_ms: u64,
}

impl ReplicaRecord {
    /// This life.
    pub fn life(&self) -> ReplicaLife {
        ReplicaLife {
            id: self.id.clone(),
            born_ms: self.born_ms,
        }
    }

    /// What tells one word on whether it is warm from another: each comes with a heartbeat, or
    /// with a life.
    pub fn warm_up_word(&self) -> (u64, u64) {
        (self.born_ms, self.cold_ms)
    }

    /// Whether an adapter of a model is there.
    pub fn holds_adapter(&self, model: &ModelName, adapter: &str) -> bool {
        let held = self.models.get(model);
        held.is_some_and(|adapters| adapters.contains(adapter))
    }

    /// What members follow of it: not the copies at hand, which only matter to whoever
    /// orders loads, and change as often as adapters do.
    pub fn for_members(&self) -> Self {
        Self {
            in_memory: BTreeSet::new(),
            on_disk: BTreeSet::new(),
            beat: 0,
            id: self.id.clone(),
            service: self.service.clone(),
            address: self.address,
            hall: self.hall.clone(),
            slots: self.slots,
            phase: self.phase,
            models: self.models.clone(),
            born_ms: self.born_ms,
            cold_ms: self.cold_ms,
        }
    }
}

/// What a heartbeat changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BeatNews {
    /// Nothing that the log does not hold.
    Known,
    /// Something that must be committed.
    New,
    /// It comes from a life that has ended.
    Ended,
    /// It is for a service that nobody configured: another writer's.
    Foreign,
}

/// What an order has done to an adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdapterEffect {
    /// It is there, or on its way.
    There,
    /// It goes once no request uses it.
    Goes,
    /// It is gone.
    Gone,
}

/// How long an order's effect on an adapter outweighs heartbeats, which may have
/// left before it, in milliseconds.
const ORDER_FRESH_MS: u64 = 3_000;

/// All replicas in their current lives.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaDirectory {
    records: BTreeMap<ReplicaId, ReplicaRecord>,
    /// The newest ended life of each replica, oldest first.
    ended: VecDeque<ReplicaLife>,
    /// Models ordered out that a replica still tells of, with their adapters: no requests
    /// go there, and they take room.
    leaving: BTreeMap<ReplicaId, BTreeMap<ModelName, BTreeSet<String>>>,
    /// Models ordered in that a replica does not tell of yet: they take room.
    loading: BTreeMap<ReplicaId, BTreeSet<ModelName>>,
    /// Adapters ordered in, by replica, until they are there or their order is settled.
    adapters_coming: BTreeMap<ReplicaId, BTreeSet<(ModelName, String)>>,
    /// Adapters ordered out while in use, until a heartbeat lacks them: they take places.
    adapters_going: BTreeMap<ReplicaId, BTreeSet<(ModelName, String)>>,
    /// Replicas of which no heartbeat was put since an order changed something.
    unheard: BTreeSet<ReplicaId>,
    /// When an order last changed an adapter of a replica, in the state's clock.
    ordered_ms: BTreeMap<ReplicaId, BTreeMap<(ModelName, String), u64>>,
    /// Until when a replica is taken for cold whatever it tells, in the state's clock.
    cold_until_ms: BTreeMap<ReplicaId, u64>,
}

impl ReplicaDirectory {
    /// The replicas by id.
    pub fn records(&self) -> &BTreeMap<ReplicaId, ReplicaRecord> {
        &self.records
    }

    /// Whether a model that was ordered out is still there.
    pub fn is_leaving(&self, id: &ReplicaId, model: &ModelName) -> bool {
        let leaving = self.leaving.get(id);
        leaving.is_some_and(|models| models.contains_key(model))
    }

    /// Models that were ordered out and are still there.
    pub fn leaving(&self, id: &ReplicaId) -> impl Iterator<Item = &ModelName> {
        let leaving = self.leaving.get(id);
        leaving.into_iter().flat_map(BTreeMap::keys)
    }

    /// Models that were ordered in and are not there yet.
    pub fn loading(&self, id: &ReplicaId) -> impl Iterator<Item = &ModelName> {
        self.loading.get(id).into_iter().flatten()
    }

    /// Adapters that take places by orders, whatever heartbeats tell: ordered in and not
    /// settled yet, or ordered out and perhaps still there.
    pub fn adapters_ordered(&self, id: &ReplicaId) -> impl Iterator<Item = &(ModelName, String)> {
        let going = self.adapters_going.get(id).into_iter().flatten();
        self.adapters_coming(id).chain(going)
    }

    /// Adapters that were ordered in and are not settled yet.
    pub fn adapters_coming(&self, id: &ReplicaId) -> impl Iterator<Item = &(ModelName, String)> {
        self.adapters_coming.get(id).into_iter().flatten()
    }

    /// Whether an adapter was ordered out while in use, and no heartbeat lacks it yet.
    pub fn is_adapter_going(&self, id: &ReplicaId, model: &ModelName, adapter: &str) -> bool {
        let mut going = self.adapters_going.get(id).into_iter().flatten();
        going.any(|(base, name)| base == model && name == adapter)
    }

    /// Notes that an adapter is ordered into a replica, before the order leaves.
    pub fn order_adapter(&mut self, id: &ReplicaId, model: &ModelName, adapter: &str) {
        if self.records.contains_key(id) {
            let coming = self.adapters_coming.entry(id.clone()).or_default();
            coming.insert((model.clone(), adapter.to_owned()));
        }
    }

    /// Notes that no order on an adapter is under way any more.
    pub fn settle_adapter(&mut self, id: &ReplicaId, model: &ModelName, adapter: &str) {
        if let Some(coming) = self.adapters_coming.get_mut(id) {
            coming.remove(&(model.clone(), adapter.to_owned()));
        }
    }

    /// Compares a heartbeat with what is known; `clock_ms` is the state's clock.
    pub fn news(&self, record: &ReplicaRecord, clock_ms: u64) -> BeatNews {
        let gone = |model: &ModelName| !record.models.contains_key(model);
        let left = self.leaving.get(&record.id);
        let left = left.is_some_and(|models| models.keys().any(gone));
        match self.records.get(&record.id) {
            // A later birth is another life, whatever is known of the one before: its numbers
            // begin anew, and it neither leaves nor holds anything because that did.
            Some(known) if record.born_ms > known.born_ms => BeatNews::New,
            // It comes from the life before, or from somebody else.
            Some(known) if record.born_ms < known.born_ms => BeatNews::Known,
            // What a replica told before says nothing of what it holds by now: a host that
            // stood still passes on what it heard seconds ago.
            Some(known) if record.beat <= known.beat && known.beat > 0 => BeatNews::Known,
            // A ready heartbeat from before the draining one may come late.
            Some(known) if known.phase == ReplicaPhase::Draining => BeatNews::Known,
            // While one is cold each counts: the state's clock, by which it is warm again, moves
            // with what is committed only.
            Some(known) if known.cold_ms > 0 || record.cold_ms > 0 => BeatNews::New,
            // The first one after an order is put for its number: else one from before the
            // order could come later still, and be taken for the newest.
            Some(_) if record.beat > 0 && self.unheard.contains(&record.id) => BeatNews::New,
            Some(known) if !left && self.tells_the_same(known, record, clock_ms) => BeatNews::Known,
            Some(_) => BeatNews::New,
            None if self.has_ended(record) => BeatNews::Ended,
            None => BeatNews::New,
        }
    }

    fn has_ended(&self, record: &ReplicaRecord) -> bool {
        let mut ended = self.ended.iter();
        ended.any(|life| life.id == record.id && life.born_ms >= record.born_ms)
    }

    /// Forgets what was known of a replica's life before, as a later one has begun. What was
    /// ordered in stays: its order may be on its way still, names the id that the replica
    /// still has, and would be carried out in the new life.
    fn begin_life(&mut self, id: &ReplicaId) {
        self.leaving.remove(id);
        self.adapters_going.remove(id);
        self.unheard.remove(id);
        self.ordered_ms.remove(id);
        self.cold_until_ms.remove(id);
    }

    /// Whether a heartbeat brings nothing but its number.
    fn tells_the_same(&self, known: &ReplicaRecord, record: &ReplicaRecord, clock_ms: u64) -> bool {
        let mut merged = self.merge(known, record, clock_ms);
        merged.beat = known.beat;
        *known == merged
    }

    /// What a heartbeat says, corrected by the orders that it may not know of.
    fn merge(&self, known: &ReplicaRecord, record: &ReplicaRecord, clock_ms: u64) -> ReplicaRecord {
        let mut merged = record.clone();
        merged
            .models
            .retain(|model, _| !self.is_leaving(&record.id, model));
        let cold_until_ms = self.cold_until_ms.get(&record.id).copied().unwrap_or(0);
        merged.cold_ms = merged.cold_ms.max(cold_until_ms.saturating_sub(clock_ms));
        let ordered = self.ordered_ms.get(&record.id).into_iter().flatten();
        for ((model, adapter), at_ms) in ordered {
            let held = known.holds_adapter(model, adapter);
            match merged.models.get_mut(model) {
                _ if at_ms + ORDER_FRESH_MS <= clock_ms => {}
                Some(adapters) if held => {
                    adapters.insert(adapter.clone());
                }
                Some(adapters) => {
                    adapters.remove(adapter);
                }
                None => {}
            }
        }
        merged
    }

    /// Puts a record. Returns the ids of those that it replaces: an address has one replica.
    pub fn put(&mut self, record: &ReplicaRecord, clock_ms: u64) -> Option<Vec<ReplicaId>> {
        if self.news(record, clock_ms) != BeatNews::New {
            return None;
        }
        let known = self.records.get(&record.id);
        if known.is_some_and(|known| known.born_ms < record.born_ms) {
            self.begin_life(&record.id);
        }
        if let Some(models) = self.leaving.get_mut(&record.id) {
            models.retain(|model, _| record.models.contains_key(model));
        }
        if let Some(models) = self.loading.get_mut(&record.id) {
            models.retain(|model| !record.models.contains_key(model));
        }
        self.unheard.remove(&record.id);
        let merged = match self.records.get(&record.id) {
            Some(known) => self.merge(known, record, clock_ms),
            None => record.clone(),
        };
        if let Some(going) = self.adapters_going.get_mut(&record.id) {
            going.retain(|(model, adapter)| {
                record.holds_adapter(model, adapter) && !merged.holds_adapter(model, adapter)
            });
        }
        let same =
            |other: &&ReplicaRecord| other.address == record.address && other.id != record.id;
        let replaced = self.records.values().filter(same);
        let replaced: Vec<ReplicaId> = replaced.map(|other| other.id.clone()).collect();
        for id in &replaced {
            self.end(id);
        }
        self.records.insert(record.id.clone(), merged);
        Some(replaced)
    }

    /// Marks a replica as not heard from. Returns whether that is new.
    pub fn silence(&mut self, id: &ReplicaId) -> bool {
        match self.records.get_mut(id) {
            Some(record) if record.phase == ReplicaPhase::Ready => {
                record.phase = ReplicaPhase::Silent;
                true
            }
            _ => false,
        }
    }

    /// Takes a replica for cold for so long, as it may have turned so unheard: a heartbeat
    /// from before that may come late. Returns whether it is known.
    pub fn cool(&mut self, id: &ReplicaId, cold_ms: u64, clock_ms: u64) -> bool {
        let Some(record) = self.records.get_mut(id) else {
            return false;
        };
        record.cold_ms = cold_ms;
        self.cold_until_ms
            .retain(|_, until_ms| *until_ms > clock_ms);
        let until_ms = clock_ms.saturating_add(cold_ms);
        self.cold_until_ms.insert(id.clone(), until_ms);
        true
    }

    /// Marks a replica as leaving. Returns whether that is new.
    pub fn drain(&mut self, id: &ReplicaId) -> bool {
        match self.records.get_mut(id) {
            Some(record) if record.phase != ReplicaPhase::Draining => {
                record.phase = ReplicaPhase::Draining;
                true
            }
            _ => false,
        }
    }

    /// Ends a life for good, unless a later one has begun. Returns whether it was known.
    pub fn end_life(&mut self, life: &ReplicaLife) -> bool {
        let known = self.records.get(&life.id);
        known.is_some_and(|record| record.life() == *life) && self.end(&life.id)
    }

    /// Ends a replica's current life for good. Returns whether it was known.
    pub fn end(&mut self, id: &ReplicaId) -> bool {
        self.leaving.remove(id);
        self.loading.remove(id);
        self.adapters_coming.remove(id);
        self.adapters_going.remove(id);
        self.unheard.remove(id);
        self.ordered_ms.remove(id);
        self.cold_until_ms.remove(id);
        let record = self.records.remove(id);
        if let Some(record) = &record {
            self.ended.retain(|life| life.id != *id);
            self.ended.push_back(record.life());
        }
        if self.ended.len() > MAX_ENDED {
            self.ended.pop_front();
        }
        record.is_some()
    }

    /// Notes what an order has done to an adapter. Returns whether that is new.
    pub fn set_adapter(
        &mut self,
        id: &ReplicaId,
        model: &ModelName,
        adapter: &str,
        effect: AdapterEffect,
        clock_ms: u64,
    ) -> bool {
        let place = (model.clone(), adapter.to_owned());
        let there = effect == AdapterEffect::There;
        let Some(record) = self.records.get_mut(id) else {
            return false;
        };
        let changed = match record.models.get_mut(model) {
            Some(adapters) if there => adapters.insert(adapter.to_owned()),
            Some(adapters) => adapters.remove(adapter),
            None => false,
        };
        let going = self.adapters_going.entry(id.clone()).or_default();
        // Whoever leads next must know that it may still be there.
        match effect {
            AdapterEffect::Goes if changed => going.insert(place.clone()),
            AdapterEffect::Goes => false,
            AdapterEffect::There | AdapterEffect::Gone => going.remove(&place),
        };
        if there {
            self.settle_adapter(id, model, adapter);
        }
        if changed {
            let ordered = self.ordered_ms.entry(id.clone()).or_default();
            ordered.retain(|_, at_ms| *at_ms + ORDER_FRESH_MS > clock_ms);
            ordered.insert(place, clock_ms);
            self.unheard.insert(id.clone());
        }
        changed
    }

    /// Notes that a model is ordered out of a replica. Returns whether that is new.
    pub fn unload(&mut self, id: &ReplicaId, model: &ModelName) -> bool {
        let record = self.records.get_mut(id);
        let Some(adapters) = record.and_then(|record| record.models.remove(model)) else {
            return false;
        };
        let leaving = self.leaving.entry(id.clone()).or_default();
        leaving.insert(model.clone(), adapters);
        self.unheard.insert(id.clone());
        true
    }

    /// Notes that a model is ordered into a replica.
    pub fn load(&mut self, id: &ReplicaId, model: &ModelName) {
        let held = self.records.get(id);
        if held.is_some_and(|record| !record.models.contains_key(model)) {
            let loading = self.loading.entry(id.clone()).or_default();
            loading.insert(model.clone());
            self.unheard.insert(id.clone());
        }
    }

    /// Notes that no order on a model is under way: heartbeats tell of it. Returns
    /// whether members follow what that changes.
    ///
    /// A model that was to go is there until a heartbeat lacks it, whatever became of its
    /// order: else its room would be given away between this and the next heartbeat.
    pub fn settle(&mut self, id: &ReplicaId, model: &ModelName) -> bool {
        if let Some(models) = self.loading.get_mut(id) {
            models.remove(model);
        }
        let leaving = self.leaving.get_mut(id);
        let adapters = leaving.and_then(|models| models.remove(model));
        match (self.records.get_mut(id), adapters) {
            (Some(record), Some(adapters)) => {
                record.models.insert(model.clone(), adapters);
                true
            }
            _ => false,
        }
    }
}
