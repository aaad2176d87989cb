//! The leader's orders for adapters that are nowhere; see [`crate::placement::ahead`].

use std::collections::{BTreeMap, BTreeSet};

use crate::consensus::directory::ReplicaRecord;
use crate::consensus::state::{Command, SiteState};
use crate::ids::{ModelName, ServiceName};
use crate::placement::ahead::{self, AheadReplica};
use crate::table::configuration::EngineSpec;

use super::FleetDuties;

/// Adapters on their way in from which none are brought before somebody asks: wishes go first.
const MAX_AHEAD: usize = 32;

impl FleetDuties {
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
        let with_adapters = engine.models.iter().filter(|(_, model)| model.adapters > 0);
        let mut adapters: Vec<(ModelName, u32)> = with_adapters
            .map(|(name, model)| (name.clone(), model.adapters))
            .collect();
        if most == 0 || adapters.is_empty() {
            return;
        }
        adapters.sort_by(|a, b| {
            let level = |model: &ModelName| self.demand.level(model);
            level(&b.0).total_cmp(&level(&a.0))
        });
        let mut known: BTreeMap<ModelName, BTreeSet<String>> = BTreeMap::new();
        for place in self.adapters.loads() {
            let names = known.entry(place.model.clone()).or_default();
            names.insert(place.adapter.clone());
        }
        let mut replicas = Vec::new();
        for record in state.replicas.records().values() {
            if record.service != *service || state.evacuated.contains(&record.hall) {
                continue;
            }
            for (model, held) in &record.models {
                let names = known.entry(model.clone()).or_default();
                names.extend(held.iter().cloned());
            }
            replicas.extend(self.ahead_replica(state, record, engine, now_ms));
        }
        for place in ahead::plan_ahead(&adapters, &known, &mut replicas, most) {
            self.adapters.bring(place.clone(), now_ms);
            let (id, model) = (place.replica, place.model);
            let command = Command::ReplicaAdapterOrdered(id, model, place.adapter);
            self.proposed.push(command);
        }
    }

    /// A replica that adapters may be brought to; none while a model comes or goes there.
    fn ahead_replica(
        &self,
        state: &SiteState,
        record: &ReplicaRecord,
        engine: &EngineSpec,
        now_ms: u64,
    ) -> Option<AheadReplica> {
        let loading = state.replicas.loading(&record.id).next();
        let under_way = loading.or(state.replicas.leaving(&record.id).next());
        let ordered = under_way.is_some() || self.pending.contains_key(&record.id);
        if ordered || record.cold_ms > 0 || !self.may_order(record) {
            return None;
        }
        let slots = engine.adapter_slots as usize;
        let room = self.adapters.room(record, slots, &state.replicas, now_ms);
        Some(AheadReplica {
            id: record.id.clone(),
            models: record.models.keys().cloned().collect(),
            free_places: room.free_places,
            may_come: room.may_come,
        })
    }
}
