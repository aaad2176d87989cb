//! Self-registered replicas, as stored in the replicated log.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{HallName, ModelName, ReplicaId, ReplicaIncarnation, ServiceName};

/// Maximum number of replicas whose ended incarnation is remembered, so that a late heartbeat
/// cannot register it again.
const MAX_ENDED_REPLICAS: usize = 1024;

/// Lifecycle phase of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaPhase {
    /// Accepts requests.
    Ready,
    /// Shutting down: receives no new requests.
    Draining,
    /// No heartbeat received for a while: used only as the last choice.
    Silent,
}

/// State of a replica in its current incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRecord {
    /// Replica id.
    pub id: ReplicaId,
    /// Service that the replica belongs to.
    pub service: ServiceName,
    /// Address on which the replica listens.
    pub address: SocketAddr,
    /// Data hall of the replica.
    pub hall: HallName,
    /// Number of requests that the replica processes concurrently.
    pub slots: u32,
    /// Lifecycle phase.
    pub phase: ReplicaPhase,
    /// Loaded models, each with its loaded adapters.
    pub models: BTreeMap<ModelName, BTreeSet<String>>,
    /// Models with a copy in host memory.
    pub in_memory: BTreeSet<ModelName>,
    /// Models with a copy on disk.
    pub on_disk: BTreeSet<ModelName>,
    /// Sequence number of the heartbeat that reported this state; increases with each
    /// heartbeat. 0 where heartbeats carry none.
    pub seq: u64,
    /// Start time of this incarnation, in milliseconds since the epoch by the replica's clock;
    /// 0 where the replica does not report it.
    pub started_ms: u64,
    /// Remaining warm-up time, in milliseconds; 0 once the replica is warm, and where its
    /// service sets no warm-up rate.
    pub cold_ms: u64,
}

impl ReplicaRecord {
    /// Returns the identity of this incarnation.
    pub fn incarnation(&self) -> ReplicaIncarnation {
        ReplicaIncarnation {
            id: self.id.clone(),
            started_ms: self.started_ms,
        }
    }

    /// Returns what distinguishes two reports of the warm-up state: the start of the incarnation
    /// and the remaining warm-up time.
    pub fn warm_up_report(&self) -> (u64, u64) {
        (self.started_ms, self.cold_ms)
    }

    /// Returns whether the replica holds an adapter of a model.
    pub fn holds_adapter(&self, model: &ModelName, adapter: &str) -> bool {
        let held = self.models.get(model);
        held.is_some_and(|adapters| adapters.contains(adapter))
    }

    /// Returns the part of the record that members follow. Leaves out model copies in host
    /// memory and on disk: only the component that orders loads needs them, and they change as
    /// often as adapters do.
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

/// Effect of a heartbeat on the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HeartbeatStatus {
    /// Contains nothing that the log does not hold already.
    Known,
    /// Contains a change that must be committed.
    New,
    /// Comes from an incarnation that has ended.
    Ended,
    /// Names a service that is not configured: it comes from an unrelated sender.
    Foreign,
}

/// Effect of an order on an adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdapterEffect {
    /// Loaded, or being loaded.
    Present,
    /// Unloaded once no request uses it.
    Unloading,
    /// Unloaded.
    Absent,
}

/// Time for which an order's effect on an adapter overrides heartbeats, in milliseconds: they
/// may have been sent before the order.
const ORDER_PRECEDENCE_MS: u64 = 3_000;

/// All replicas in their current incarnations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaDirectory {
    records: BTreeMap<ReplicaId, ReplicaRecord>,
    /// Latest ended incarnation of each replica, oldest first.
    ended: VecDeque<ReplicaIncarnation>,
    /// Models ordered to unload that the replica still reports, with their adapters: they
    /// receive no requests, but take up memory.
    unloading: BTreeMap<ReplicaId, BTreeMap<ModelName, BTreeSet<String>>>,
    /// Models ordered to load that the replica does not report yet: they take up memory.
    loading: BTreeMap<ReplicaId, BTreeSet<ModelName>>,
    /// Adapters ordered to load, by replica, until they are loaded or their order is settled.
    adapters_loading: BTreeMap<ReplicaId, BTreeSet<(ModelName, String)>>,
    /// Adapters ordered to unload while in use, until a heartbeat no longer lists them: they
    /// take up adapter slots.
    adapters_unloading: BTreeMap<ReplicaId, BTreeSet<(ModelName, String)>>,
    /// Replicas without a committed heartbeat since an order changed their state.
    unsynced: BTreeSet<ReplicaId>,
    /// Time at which an order last changed each adapter of a replica, by the state's clock.
    ordered_ms: BTreeMap<ReplicaId, BTreeMap<(ModelName, String), u64>>,
    /// Time until which a replica counts as cold regardless of its heartbeats, by the state's
    /// clock.
    cold_until_ms: BTreeMap<ReplicaId, u64>,
}

impl ReplicaDirectory {
    /// Returns the replicas by id.
    pub fn records(&self) -> &BTreeMap<ReplicaId, ReplicaRecord> {
        &self.records
    }

    /// Returns whether a replica sends no heartbeats: orders to it wait until it does.
    pub fn is_silent(&self, id: &ReplicaId) -> bool {
        let record = self.records.get(id);
        record.is_some_and(|record| record.phase == ReplicaPhase::Silent)
    }

    /// Returns whether a model that was ordered to unload is still loaded.
    pub fn is_unloading(&self, id: &ReplicaId, model: &ModelName) -> bool {
        let unloading = self.unloading.get(id);
        unloading.is_some_and(|models| models.contains_key(model))
    }

    /// Returns the models that were ordered to unload and are still loaded.
    pub fn unloading(&self, id: &ReplicaId) -> impl Iterator<Item = &ModelName> {
        let unloading = self.unloading.get(id);
        unloading.into_iter().flat_map(BTreeMap::keys)
    }

    /// Returns the models that were ordered to load and are not loaded yet.
    pub fn loading(&self, id: &ReplicaId) -> impl Iterator<Item = &ModelName> {
        self.loading.get(id).into_iter().flatten()
    }

    /// Returns the adapters that take up slots because of orders, regardless of heartbeats:
    /// ordered to load and not settled yet, or ordered to unload and possibly still loaded.
    pub fn adapters_ordered(&self, id: &ReplicaId) -> impl Iterator<Item = &(ModelName, String)> {
        let unloading = self.adapters_unloading.get(id).into_iter().flatten();
        self.adapters_loading(id).chain(unloading)
    }

    /// Returns the adapters that were ordered to load and are not settled yet.
    pub fn adapters_loading(&self, id: &ReplicaId) -> impl Iterator<Item = &(ModelName, String)> {
        self.adapters_loading.get(id).into_iter().flatten()
    }

    /// Returns whether an adapter was ordered to unload while in use and no heartbeat has
    /// confirmed the unload yet.
    pub fn is_adapter_unloading(&self, id: &ReplicaId, model: &ModelName, adapter: &str) -> bool {
        let mut unloading = self.adapters_unloading.get(id).into_iter().flatten();
        unloading.any(|(base, name)| base == model && name == adapter)
    }

    /// Records an order to load an adapter, before the order is sent.
    pub fn record_adapter_order(&mut self, id: &ReplicaId, model: &ModelName, adapter: &str) {
        if self.records.contains_key(id) {
            let loading = self.adapters_loading.entry(id.clone()).or_default();
            loading.insert((model.clone(), adapter.to_owned()));
        }
    }

    /// Records that no order to load an adapter is in progress any more.
    pub fn settle_adapter(&mut self, id: &ReplicaId, model: &ModelName, adapter: &str) {
        if let Some(loading) = self.adapters_loading.get_mut(id) {
            loading.remove(&(model.clone(), adapter.to_owned()));
        }
    }

    /// Compares a heartbeat with the known state; `clock_ms` is the state's clock.
    pub fn compare_heartbeat(&self, record: &ReplicaRecord, clock_ms: u64) -> HeartbeatStatus {
        let gone = |model: &ModelName| !record.models.contains_key(model);
        let left = self.unloading.get(&record.id);
        let left = left.is_some_and(|models| models.keys().any(gone));
        match self.records.get(&record.id) {
            // A later start time means a new incarnation: its sequence numbers start over, and
            // the draining phase and models of the previous one do not apply to it.
            Some(known) if record.started_ms > known.started_ms => HeartbeatStatus::New,
            // From the previous incarnation, or from a different process with the same id.
            Some(known) if record.started_ms < known.started_ms => HeartbeatStatus::Known,
            // An older heartbeat says nothing about the current state: a host that was frozen
            // forwards heartbeats that it received seconds ago.
            Some(known) if record.seq <= known.seq && known.seq > 0 => HeartbeatStatus::Known,
            // A ready heartbeat sent before the draining one may arrive late.
            Some(known) if known.phase == ReplicaPhase::Draining => HeartbeatStatus::Known,
            // While the replica is cold, each heartbeat is committed: only commits advance the
            // state's clock, by which the replica becomes warm.
            Some(known) if known.cold_ms > 0 || record.cold_ms > 0 => HeartbeatStatus::New,
            // Commit the first heartbeat after an order for its sequence number: otherwise one
            // from before the order could arrive even later and count as the newest.
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

    /// Drops the state of a replica's previous incarnation when a later one starts. Loads in
    /// progress are kept: their orders may still be on the way, carry the id that the replica
    /// still uses, and would be executed by the new incarnation.
    fn start_incarnation(&mut self, id: &ReplicaId) {
        self.unloading.remove(id);
        self.adapters_unloading.remove(id);
        self.unsynced.remove(id);
        self.ordered_ms.remove(id);
        self.cold_until_ms.remove(id);
    }

    /// Returns whether a heartbeat changes nothing but its sequence number.
    fn repeats(&self, known: &ReplicaRecord, record: &ReplicaRecord, clock_ms: u64) -> bool {
        let mut merged = self.merge(known, record, clock_ms);
        merged.seq = known.seq;
        *known == merged
    }

    /// Returns the heartbeat's record, corrected for orders that it may not reflect yet.
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

    /// Stores a record. Returns the ids of the replicas that it replaces, as an address belongs
    /// to one replica; `None` if the record is not stored.
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

    /// Marks a replica as silent. Returns whether that is a change.
    pub fn mark_silent(&mut self, id: &ReplicaId) -> bool {
        match self.records.get_mut(id) {
            Some(record) if record.phase == ReplicaPhase::Ready => {
                record.phase = ReplicaPhase::Silent;
                true
            }
            _ => false,
        }
    }

    /// Treats a replica as cold for `cold_ms`, since it may have become cold without reporting
    /// it yet, and a heartbeat from before may arrive late. Returns whether the replica is
    /// known.
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

    /// Marks a replica as draining. Returns whether that is a change.
    pub fn mark_draining(&mut self, id: &ReplicaId) -> bool {
        match self.records.get_mut(id) {
            Some(record) if record.phase != ReplicaPhase::Draining => {
                record.phase = ReplicaPhase::Draining;
                true
            }
            _ => false,
        }
    }

    /// Ends an incarnation permanently, unless a later one has started. Returns whether it was
    /// known.
    pub fn end_incarnation(&mut self, incarnation: &ReplicaIncarnation) -> bool {
        let known = self.records.get(&incarnation.id);
        known.is_some_and(|record| record.incarnation() == *incarnation)
            && self.end(&incarnation.id)
    }

    /// Ends a replica's current incarnation permanently. Returns whether it was known.
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

    /// Records the effect of an order on an adapter. Returns whether that is a change.
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
        // A future leader must know that the adapter may still be loaded.
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

    /// Records an order to unload a model. Returns whether that is a change.
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

    /// Records an order to load a model.
    pub fn record_load(&mut self, id: &ReplicaId, model: &ModelName) {
        let held = self.records.get(id);
        if held.is_some_and(|record| !record.models.contains_key(model)) {
            let loading = self.loading.entry(id.clone()).or_default();
            loading.insert(model.clone());
            self.unsynced.insert(id.clone());
        }
    }

    /// Records that no order on a model is in progress any more, so that heartbeats decide.
    /// Returns whether members observe a change.
    ///
    /// A model that was ordered to unload counts as loaded until a heartbeat no longer lists
    /// it, whatever the outcome of the order: otherwise its memory would be given away before
    /// the next heartbeat.
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
