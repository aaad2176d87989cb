//! The leader's orders to load adapters that no replica holds; see [`crate::placement::preload`].

use std::collections::{BTreeMap, BTreeSet};

use crate::consensus::directory::{ReplicaPhase, ReplicaRecord};
use crate::consensus::state::SiteState;
use crate::ids::{ModelName, ReplicaId, ServiceName};
use crate::placement::order::AdapterPlacement;
use crate::placement::preload::{self, MissingAdapters, PreloadReplica};
use crate::table::configuration::EngineSpec;

use super::{FleetController, open_records};

/// Number of pending adapter loads of all replicas at which no adapter is preloaded: adapter
/// requests come first.
const MAX_LOADS_WITH_PRELOADS: usize = 32;

impl FleetController {
    /// Starts to load adapters that no replica holds at a home of their model, before a request
    /// needs them.
    pub(super) fn preload_adapters(
        &mut self,
        state: &SiteState,
        service: &ServiceName,
        engine: &EngineSpec,
        now_ms: u64,
    ) {
        if engine.adapter_slots == 0 {
            return;
        }
        let ready = |record: &&ReplicaRecord| record.phase == ReplicaPhase::Ready;
        let records = open_records(state, service).filter(ready);
        let records: Vec<&ReplicaRecord> = records.collect();
        let ids: BTreeSet<&ReplicaId> = records.iter().map(|record| &record.id).collect();
        let loads = self.adapters.pending_loads();
        let loads = loads.filter(|placement| ids.contains(&placement.replica));
        let loads: Vec<&AdapterPlacement> = loads.collect();
        let limit = MAX_LOADS_WITH_PRELOADS.saturating_sub(loads.len());
        let missing = self.missing_adapters(engine, &records, &loads);
        if limit == 0 || missing.is_empty() {
            return;
        }
        let replicas = records
            .into_iter()
            .filter_map(|record| self.preload_replica(state, record, engine, now_ms));
        let mut replicas: Vec<PreloadReplica> = replicas.collect();
        for placement in preload::plan_preloads(&missing, &mut replicas, limit) {
            self.adapters.start_load(placement.clone(), now_ms);
            self.queue_adapter_load(placement);
        }
    }

    /// Returns the adapters that none of these replicas holds and none of these loads brings, with the models of highest demand first.
    fn missing_adapters(
        &self,
        engine: &EngineSpec,
        records: &[&ReplicaRecord],
        loads: &[&AdapterPlacement],
    ) -> Vec<MissingAdapters> {
        let mut loaded_or_loading: BTreeMap<&ModelName, BTreeSet<&str>> = BTreeMap::new();
        for placement in loads {
            let names = loaded_or_loading.entry(&placement.model).or_default();
            names.insert(&placement.adapter);
        }
        for (model, held) in records.iter().flat_map(|record| &record.models) {
            let names = loaded_or_loading.entry(model).or_default();
            names.extend(held.iter().map(String::as_str));
        }
        let nothing = BTreeSet::new();
        let missing = engine.models.iter().filter_map(|(model, spec)| {
            let loaded_or_loading = loaded_or_loading.get(model).unwrap_or(&nothing);
            MissingAdapters::of(model, spec.adapters, loaded_or_loading)
        });
        let mut missing: Vec<MissingAdapters> = missing.collect();
        let level = |missing: &MissingAdapters| self.demand.level(&missing.model);
        missing.sort_by(|a, b| level(b).total_cmp(&level(a)));
        missing
    }

    /// Returns the capacity of a replica for preloading; `None` for a replica that is warming up or
    /// accepts no adapter orders.
    fn preload_replica(
        &self,
        state: &SiteState,
        record: &ReplicaRecord,
        engine: &EngineSpec,
        now_ms: u64,
    ) -> Option<PreloadReplica> {
        if record.cold_ms > 0 || !self.accepts_adapter_orders(state, record) {
            return None;
        }
        let slots = engine.adapter_slots as usize;
        let capacity = self
            .adapters
            .capacity(record, slots, &state.replicas, now_ms);
        Some(PreloadReplica {
            id: record.id.clone(),
            models: record.models.keys().cloned().collect(),
            free_slots: capacity.free_slots,
            loads_allowed: capacity.loads_allowed,
        })
    }
}
