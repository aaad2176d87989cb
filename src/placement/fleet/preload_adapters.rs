//! The leader's orders for adapters that are nowhere; see [`crate::placement::preload`].

use std::collections::{BTreeMap, BTreeSet};

use crate::consensus::directory::ReplicaRecord;
use crate::consensus::state::{Command, SiteState};
use crate::ids::{ModelName, ServiceName};
use crate::placement::preload::{self, MissingAdapters, PreloadReplica};
use crate::table::configuration::EngineSpec;

use super::{FleetController, open_records};

/// Adapters on their way in from which none are brought before somebody asks: wishes go first.
const MAX_AHEAD: usize = 32;

impl FleetController {
    /// Brings adapters that are nowhere to a home of their model, before somebody asks.
    pub(super) fn bring_ahead(
        &mut self,
        state: &SiteState,
        service: &ServiceName,
        engine: &EngineSpec,
        now_ms: u64,
    ) {
        let under_way = self.adapters.loads().count();
        let most = MAX_AHEAD.saturating_sub(under_way);
        if most == 0 || engine.adapter_slots == 0 {
            return;
        }
        let records: Vec<&ReplicaRecord> = open_records(state, service).collect();
        let missing = self.missing_adapters(engine, &records);
        if missing.is_empty() {
            return;
        }
        let replicas = records
            .into_iter()
            .filter_map(|record| self.ahead_replica(state, record, engine, now_ms));
        let mut replicas: Vec<PreloadReplica> = replicas.collect();
        for place in preload::plan_preloads(&missing, &mut replicas, most) {
            self.adapters.bring(place.clone(), now_ms);
            let (id, model) = (place.replica, place.model);
            let command = Command::ReplicaAdapterOrdered(id, model, place.adapter);
            self.proposed.push(command);
        }
    }

    /// The adapters that none of these replicas holds or is to hold, those of the most wanted
    /// model first.
    fn missing_adapters(
        &self,
        engine: &EngineSpec,
        records: &[&ReplicaRecord],
    ) -> Vec<MissingAdapters> {
        let mut known: BTreeMap<&ModelName, BTreeSet<&str>> = BTreeMap::new();
        for place in self.adapters.loads() {
            let names = known.entry(&place.model).or_default();
            names.insert(&place.adapter);
        }
        for (model, held) in records.iter().flat_map(|record| &record.models) {
            let names = known.entry(model).or_default();
            names.extend(held.iter().map(String::as_str));
        }
        let nothing = BTreeSet::new();
        let missing = engine.models.iter().filter_map(|(model, spec)| {
            let known = known.get(model).unwrap_or(&nothing);
            MissingAdapters::of(model, spec.adapters, known)
        });
        let mut missing: Vec<MissingAdapters> = missing.collect();
        let level = |missing: &MissingAdapters| self.demand.level(&missing.model);
        missing.sort_by(|a, b| level(b).total_cmp(&level(a)));
        missing
    }

    /// A replica that adapters may be brought to.
    fn ahead_replica(
        &self,
        state: &SiteState,
        record: &ReplicaRecord,
        engine: &EngineSpec,
        now_ms: u64,
    ) -> Option<PreloadReplica> {
        if record.cold_ms > 0 || !self.takes_adapters(state, record) {
            return None;
        }
        let slots = engine.adapter_slots as usize;
        let room = self.adapters.room(record, slots, &state.replicas, now_ms);
        Some(PreloadReplica {
            id: record.id.clone(),
            models: record.models.keys().cloned().collect(),
            free_places: room.free_places,
            may_come: room.may_come,
        })
    }
}
