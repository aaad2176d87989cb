//! The replicas that registered themselves, as the log holds them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{HallName, ModelName, ReplicaId, ReplicaIncarnation, ServiceName};

/// Replicas whose ended lives are remembered, so that a late heartbeat cannot bring one back.
const MAX_ENDED_REPLICAS: usize = 1024;

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
    pub seq: u64,
    /// When this life began, in milliseconds since the epoch by the replica's clock; 0 where
    /// it does not tell.
    pub started_ms: u64,
    /// For how much longer it warms up, in milliseconds; 0 once it is warm, and where its
    /// service names no rate for it.
    pub cold_ms: u64,
}

impl ReplicaRecord {
    /// This life.
    pub fn incarnation(&self) -> ReplicaIncarnation {
        ReplicaIncarnation {
            id: self.id.clone(),
            started_ms: self.started_ms,
        }
    }

    /// What tells one word on whether it is warm from another: each comes with a heartbeat, or
    /// with a life.
    pub fn warm_up_report(&self) -> (u64, u64) {
        (self.started_ms, self.cold_ms)
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
            seq: 0,
            id: self.id.clone(),
            service: self.service.clone(),
            address: self.address,
            hall: self.hall.clone(),
            slots: self.slots,
            phase: self.phase,
            models: self.models.clone(),
            started_ms: self.started_ms,
            cold_ms: self.cold_ms,
        }
    }
}

/// What a heartbeat changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HeartbeatStatus {
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
    Present,
    /// It goes once no request uses it.
    Unloading,
    /// It is gone.
    Absent,
}

/// How long an order's effect on an adapter outweighs heartbeats, which may have
/// left before it, in milliseconds.
const ORDER_PRECEDENCE_MS: u64 = 3_000;

/// All replicas in their current lives.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaDirectory {
    records: BTreeMap<ReplicaId, ReplicaRecord>,
    /// The newest ended life of each replica, oldest first.
    ended: VecDeque<ReplicaIncarnation>,
    /// Models ordered out that a replica still tells of, with their adapters: no requests
    /// go there, and they take room.
    unloading: BTreeMap<ReplicaId, BTreeMap<ModelName, BTreeSet<String>>>,
    /// Models ordered in that a replica does not tell of yet: they take room.
    loading: BTreeMap<ReplicaId, BTreeSet<ModelName>>,
    /// Adapters ordered in, by replica, until they are there or their order is settled.
    adapters_loading: BTreeMap<ReplicaId, BTreeSet<(ModelName, String)>>,
    /// Adapters ordered out while in use, until a heartbeat lacks them: they take places.
    adapters_unloading: BTreeMap<ReplicaId, BTreeSet<(ModelName, String)>>,
    /// Replicas of which no heartbeat was put since an order changed something.
    unsynced: BTreeSet<ReplicaId>,
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
    pub fn is_unloading(&self, id: &ReplicaId, model: &ModelName) -> bool {
        let unloading = self.unloading.get(id);
        unloading.is_some_and(|models| models.contains_key(model))
    }

    /// Models that were ordered out and are still there.
    pub fn unloading(&self, id: &ReplicaId) -> impl Iterator<Item = &ModelName> {
        let unloading = self.unloading.get(id);
        unloading.into_iter().flat_map(BTreeMap::keys)
    }

    /// Models that were ordered in and are not there yet.
    pub fn loading(&self, id: &ReplicaId) -> impl Iterator<Item = &ModelName> {
        self.loading.get(id).into_iter().flatten()
    }

    /// Adapters that take places by orders, whatever heartbeats tell: ordered in and not
    /// settled yet, or ordered out and perhaps still there.
    pub fn adapters_ordered(&self, id: &ReplicaId) -> impl Iterator<Item = &(ModelName, String)> {
        let unloading = self.adapters_unloading.get(id).into_iter().flatten();
        self.adapters_loading(id).chain(unloading)
    }

    /// Adapters that were ordered in and are not settled yet.
    pub fn adapters_loading(&self, id: &ReplicaId) -> impl Iterator<Item = &(ModelName, String)> {
        self.adapters_loading.get(id).into_iter().flatten()
    }

    /// Whether an adapter was ordered out while in use, and no heartbeat lacks it yet.
    pub fn is_adapter_unloading(&self, id: &ReplicaId, model: &ModelName, adapter: &str) -> bool {
        let mut unloading = self.adapters_unloading.get(id).into_iter().flatten();
        unloading.any(|(base, name)| base == model && name == adapter)
    }

    /// Notes that an adapter is ordered into a replica, before the order leaves.
    pub fn record_adapter_order(&mut self, id: &ReplicaId, model: &ModelName, adapter: &str) {
        if self.records.contains_key(id) {
            let loading = self.adapters_loading.entry(id.clone()).or_default();
            loading.insert((model.clone(), adapter.to_owned()));
        }
    }

    /// Notes that no order on an adapter is under way any more.
    pub fn settle_adapter(&mut self, id: &ReplicaId, model: &ModelName, adapter: &str) {
        if let Some(loading) = self.adapters_loading.get_mut(id) {
            loading.remove(&(model.clone(), adapter.to_owned()));
        }
    }

    /// Compares a heartbeat with what is known; `clock_ms` is the state's clock.
    pub fn compare_heartbeat(&self, record: &ReplicaRecord, clock_ms: u64) -> HeartbeatStatus {
        let gone = |model: &ModelName| !record.models.contains_key(model);
        let left = self.unloading.get(&record.id);
        let left = left.is_some_and(|models| models.keys().any(gone));
        match self.records.get(&record.id) {
            // A later birth is another life, whatever is known of the one before: its numbers
            // begin anew, and it neither leaves nor holds anything because that did.
            Some(known) if record.started_ms > known.started_ms => HeartbeatStatus::New,
            // It comes from the life before, or from somebody else.
            Some(known) if record.started_ms < known.started_ms => HeartbeatStatus::Known,
            // What a replica told before says nothing of what it holds by now: a host that
            // stood still passes on what it heard seconds ago.
            Some(known) if record.seq <= known.seq && known.seq > 0 => HeartbeatStatus::Known,
            // A ready heartbeat from before the draining one may come late.
            Some(known) if known.phase == ReplicaPhase::Draining => HeartbeatStatus::Known,
            // While one is cold each counts: the state's clock, by which it is warm again, moves
            // with what is committed only.
            Some(known) if known.cold_ms > 0 || record.cold_ms > 0 => HeartbeatStatus::New,
            // The first one after an order is put for its number: else one from before the
            // order could come later still, and be taken for the newest.
            Some(_) if record.seq > 0 && self.unsynced.contains(&record.id) => HeartbeatStatus::New,
            Some(known) if !left && self.repeats(known, record, clock_ms) => HeartbeatStatus::Known,
            Some(_) => HeartbeatStatus::New,
            None if self.has_ended(record) => HeartbeatStatus::Ended,
            None => HeartbeatStatus::New,
        }
    }

    fn has_ended(&self, record: &ReplicaRecord) -> bool {
        let mut ended = self.ended.iter();
        ended.any(|old| old.id == record.id && old.started_ms >= record.started_ms)
    }

    /// Forgets what was known of a replica's life before, as a later one has begun. What was
    /// ordered in stays: its order may be on its way still, names the id that the replica
    /// still has, and would be carried out in the new life.
    fn start_incarnation(&mut self, id: &ReplicaId) {
        self.unloading.remove(id);
        self.adapters_unloading.remove(id);
        self.unsynced.remove(id);
        self.ordered_ms.remove(id);
        self.cold_until_ms.remove(id);
    }

    /// Whether a heartbeat brings nothing but its number.
    fn repeats(&self, known: &ReplicaRecord, record: &ReplicaRecord, clock_ms: u64) -> bool {
        let mut merged = self.merge(known, record, clock_ms);
        merged.seq = known.seq;
        *known == merged
    }

    /// What a heartbeat says, corrected by the orders that it may not know of.
    fn merge(&self, known: &ReplicaRecord, record: &ReplicaRecord, clock_ms: u64) -> ReplicaRecord {
        let mut merged = record.clone();
        merged
            .models
            .retain(|model, _| !self.is_unloading(&record.id, model));
        let cold_until_ms = self.cold_until_ms.get(&record.id).copied().unwrap_or(0);
        merged.cold_ms = merged.cold_ms.max(cold_until_ms.saturating_sub(clock_ms));
        let ordered = self.ordered_ms.get(&record.id).into_iter().flatten();
        for ((model, adapter), at_ms) in ordered {
            let held = known.holds_adapter(model, adapter);
            match merged.models.get_mut(model) {
                _ if at_ms + ORDER_PRECEDENCE_MS <= clock_ms => {}
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
        if self.compare_heartbeat(record, clock_ms) != HeartbeatStatus::New {
            return None;
        }
        let known = self.records.get(&record.id);
        if known.is_some_and(|known| known.started_ms < record.started_ms) {
            self.start_incarnation(&record.id);
        }
        if let Some(models) = self.unloading.get_mut(&record.id) {
            models.retain(|model, _| record.models.contains_key(model));
        }
        if let Some(models) = self.loading.get_mut(&record.id) {
            models.retain(|model| !record.models.contains_key(model));
        }
        self.unsynced.remove(&record.id);
        let merged = match self.records.get(&record.id) {
            Some(known) => self.merge(known, record, clock_ms),
            None => record.clone(),
        };
        if let Some(unloading) = self.adapters_unloading.get_mut(&record.id) {
            unloading.retain(|(model, adapter)| {
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
    pub fn mark_silent(&mut self, id: &ReplicaId) -> bool {
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
    pub fn mark_cold(&mut self, id: &ReplicaId, cold_ms: u64, clock_ms: u64) -> bool {
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
    pub fn mark_draining(&mut self, id: &ReplicaId) -> bool {
        match self.records.get_mut(id) {
            Some(record) if record.phase != ReplicaPhase::Draining => {
                record.phase = ReplicaPhase::Draining;
                true
            }
            _ => false,
        }
    }

    /// Ends a life for good, unless a later one has begun. Returns whether it was known.
    pub fn end_incarnation(&mut self, incarnation: &ReplicaIncarnation) -> bool {
        let known = self.records.get(&incarnation.id);
        known.is_some_and(|record| record.incarnation() == *incarnation)
            && self.end(&incarnation.id)
    }

    /// Ends a replica's current life for good. Returns whether it was known.
    pub fn end(&mut self, id: &ReplicaId) -> bool {
        self.unloading.remove(id);
        self.loading.remove(id);
        self.adapters_loading.remove(id);
        self.adapters_unloading.remove(id);
        self.unsynced.remove(id);
        self.ordered_ms.remove(id);
        self.cold_until_ms.remove(id);
        let record = self.records.remove(id);
        if let Some(record) = &record {
            self.ended.retain(|incarnation| incarnation.id != *id);
            self.ended.push_back(record.incarnation());
        }
        if self.ended.len() > MAX_ENDED_REPLICAS {
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
        let slot = (model.clone(), adapter.to_owned());
        let present = effect == AdapterEffect::Present;
        let Some(record) = self.records.get_mut(id) else {
            return false;
        };
        let changed = match record.models.get_mut(model) {
            Some(adapters) if present => adapters.insert(adapter.to_owned()),
            Some(adapters) => adapters.remove(adapter),
            None => false,
        };
        let unloading = self.adapters_unloading.entry(id.clone()).or_default();
        // Whoever leads next must know that it may still be there.
        match effect {
            AdapterEffect::Unloading if changed => unloading.insert(slot.clone()),
            AdapterEffect::Unloading => false,
            AdapterEffect::Present | AdapterEffect::Absent => unloading.remove(&slot),
        };
        if present {
            self.settle_adapter(id, model, adapter);
        }
        if changed {
            let ordered = self.ordered_ms.entry(id.clone()).or_default();
            ordered.retain(|_, at_ms| *at_ms + ORDER_PRECEDENCE_MS > clock_ms);
            ordered.insert(slot, clock_ms);
            self.unsynced.insert(id.clone());
        }
        changed
    }

    /// Notes that a model is ordered out of a replica. Returns whether that is new.
    pub fn record_unload(&mut self, id: &ReplicaId, model: &ModelName) -> bool {
        let record = self.records.get_mut(id);
        let Some(adapters) = record.and_then(|record| record.models.remove(model)) else {
            return false;
        };
        let unloading = self.unloading.entry(id.clone()).or_default();
        unloading.insert(model.clone(), adapters);
        self.unsynced.insert(id.clone());
        true
    }

    /// Notes that a model is ordered into a replica.
    pub fn record_load(&mut self, id: &ReplicaId, model: &ModelName) {
        let held = self.records.get(id);
        if held.is_some_and(|record| !record.models.contains_key(model)) {
            let loading = self.loading.entry(id.clone()).or_default();
            loading.insert(model.clone());
            self.unsynced.insert(id.clone());
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
        let unloading = self.unloading.get_mut(id);
        let adapters = unloading.and_then(|models| models.remove(model));
        match (self.records.get_mut(id), adapters) {
            (Some(record), Some(adapters)) => {
                record.models.insert(model.clone(), adapters);
                true
            }
            _ => false,
        }
    }
}
