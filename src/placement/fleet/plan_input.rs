//! The replicas and models as input of the plan; see [`crate::placement::fleet_plan`].

use std::collections::{BTreeMap, BTreeSet};

use crate::consensus::directory::{ReplicaPhase, ReplicaRecord};
use crate::consensus::state::SiteState;
use crate::ids::{ModelName, ReplicaId, ServiceName};
use crate::placement::fleet_plan::{PlanModel, PlanReplica};
use crate::placement::order::OrderKind;
use crate::table::configuration::EngineSpec;

use super::{
    FleetController, NO_DEMAND_WAIT_MS, binds_streams_to_versions, named_version, open_records,
};

/// Time after the last request for a model for which it counts as requested, in milliseconds.
const REQUESTED_MS: u64 = 15_000;
/// Time for which the last home of a model stays loaded, as a multiple of the time of a load.
const MIN_TURN_LOADS: u64 = 2;
/// The same if no request for the model has come since it was loaded. Callers of a rare model come
/// back some seconds after a refusal, and others took their turn meanwhile.
const UNUSED_TURN_LOADS: u64 = 4;
/// Demand for a model from which a home that advertises a rate limit does not count as a home, in
/// concurrent requests.
const LIMITED_HOME_MAX_DEMAND: f64 = 1.0;

fn is_ready(record: &ReplicaRecord) -> bool {
    record.phase == ReplicaPhase::Ready
}

impl FleetController {
    /// Returns the replicas and the models of a service as input of the plan.
    pub(super) fn plan_input(
        &self,
        state: &SiteState,
        service: &ServiceName,
        engine: &EngineSpec,
        now_ms: u64,
    ) -> (Vec<PlanReplica>, BTreeMap<ModelName, PlanModel>) {
        let configuration = state.configuration.as_ref();
        let (stream_ms, memory_ms) = configuration.map_or((0, 0), |record| {
            let configuration = &record.configuration;
            let stream_ms = configuration.longest_stream_ms(service);
            (stream_ms, configuration.stream_memory_ms(service))
        });
        let streams_since_ms = now_ms.saturating_sub(memory_ms);
        let models = self.plan_models(state, service, engine, stream_ms, streams_since_ms, now_ms);
        let bound = binds_streams_to_versions(state, service);
        let largest_mb = models.values().map(|model| model.weights_mb).max();
        let demand_unknown = self.demand.is_empty() && now_ms < self.since_ms + NO_DEMAND_WAIT_MS;
        let replicas = open_records(state, service).map(|record| {
            let mut replica = self.plan_replica(state, record, engine, now_ms);
            replica.version = bound.then(|| named_version(state, record)).flatten();
            // Without known demand, only replicas that fit any model without an unload.
            replica.accepts_orders &= !demand_unknown || replica.free_mb >= largest_mb.unwrap_or(0);
            replica
        });
        (replicas.collect(), models)
    }

    /// Returns the models of an engine as input of the plan. `stream_ms` is the longest time that a
    /// stream may last, and `streams_since_ms` the time from which streams that ran may be taken up
    /// again.
    fn plan_models(
        &self,
        state: &SiteState,
        service: &ServiceName,
        engine: &EngineSpec,
        stream_ms: u64,
        streams_since_ms: u64,
        now_ms: u64,
    ) -> BTreeMap<ModelName, PlanModel> {
        let since_ms = self.unserved.models_since_ms();
        let unserved_adapters = self.unheld_adapters(state, service);
        let models = engine.models.iter().map(|(name, model)| {
            // A new leader has not seen the streams of its predecessor's time.
            let busy_ms = self.last_busy_ms.get(name).unwrap_or(&self.since_ms);
            let has_streams = *busy_ms >= streams_since_ms;
            let plan = PlanModel {
                weights_mb: model.weights_mb,
                load_ms: model.load_ms,
                level: self.demand.level(name),
                is_requested: self
                    .last_busy_ms
                    .get(name)
                    .is_some_and(|busy_ms| busy_ms + REQUESTED_MS > now_ms),
                unserved_ms: since_ms.get(name).map_or(0, |since_ms| {
                    let home_ms = self.home_ms.get(name).copied().unwrap_or(0);
                    now_ms.saturating_sub(home_ms.max(*since_ms))
                }),
                unserved_adapters: unserved_adapters.get(name).copied().unwrap_or(0),
                stream_ms: if has_streams { stream_ms } else { 0 },
            };
            (name.clone(), plan)
        });
        models.collect()
    }

    /// Counts the adapters of each model that have gone without service and that no ready replica of
    /// the service holds.
    fn unheld_adapters(
        &self,
        state: &SiteState,
        service: &ServiceName,
    ) -> BTreeMap<ModelName, usize> {
        let mut missing: BTreeSet<(&ModelName, &str)> = BTreeSet::new();
        for (name, _) in self.unserved.oldest_first() {
            let adapter = name.adapter.as_deref();
            missing.extend(adapter.map(|adapter| (&name.model, adapter)));
        }
        for record in open_records(state, service) {
            if missing.is_empty() {
                break;
            }
            for (model, adapters) in record.models.iter().filter(|_| is_ready(record)) {
                for adapter in adapters {
                    missing.remove(&(model, adapter.as_str()));
                }
            }
        }
        let mut counts = BTreeMap::new();
        for (model, _) in missing {
            *counts.entry(model.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns a replica as input of the plan. What a replica that is not ready holds, or was ordered to
    /// load, counts as gone; its memory stays claimed.
    fn plan_replica(
        &self,
        state: &SiteState,
        record: &ReplicaRecord,
        engine: &EngineSpec,
        now_ms: u64,
    ) -> PlanReplica {
        let adapter_mb = engine.models.values().map(|model| model.adapter_mb).max();
        let adapters_mb = adapter_mb.unwrap_or(0) * u64::from(engine.adapter_slots);
        let mut loading: BTreeSet<ModelName> =
            state.replicas.loading(&record.id).cloned().collect();
        let mut unloading: BTreeSet<ModelName> =
            state.replicas.unloading(&record.id).cloned().collect();
        let mut held: BTreeSet<ModelName> = record.models.keys().cloned().collect();
        match self.pending.get(&record.id) {
            Some(order) if order.kind == OrderKind::Load => {
                loading.insert(order.model.clone());
            }
            Some(order) => {
                held.remove(&order.model);
                unloading.insert(order.model.clone());
            }
            None => {}
        }
        let unload_for = self.pending.get(&record.id);
        let unload_for = unload_for.and_then(|order| order.for_model.clone());
        let reserved = self.reservations.get(&record.id);
        let reserved = reserved.map(|reservation| reservation.model.clone());
        let weight = |model: &ModelName| engine.models.get(model).map_or(0, |m| m.weights_mb);
        // Models that may occupy memory, whether or not their orders are carried out.
        let taken: BTreeSet<&ModelName> = held.iter().chain(&loading).chain(&unloading).collect();
        let taken_mb: u64 = taken.into_iter().map(weight).sum();
        let open = !self.pending.contains_key(&record.id) && reserved.is_none();
        loading.extend(unload_for.or(reserved));
        let stays = is_ready(record);
        if !stays {
            // What such a replica was ordered to load may never be there.
            loading.clear();
        }
        let load_ms = |name: &ModelName, memory: bool| {
            let model = engine.models.get(name)?;
            Some((
                name.clone(),
                if memory { model.warm_ms } else { model.disk_ms }?,
            ))
        };
        let disk = record
            .on_disk
            .iter()
            .filter_map(|name| load_ms(name, false));
        let memory = record
            .in_memory
            .iter()
            .filter_map(|name| load_ms(name, true));
        let limited = self.limited.contains(&record.incarnation());
        if !stays {
            held.clear();
        } else if limited {
            held.retain(|model| self.demand.level(model) < LIMITED_HOME_MAX_DEMAND);
        }
        PlanReplica {
            id: record.id.clone(),
            hall: record.hall.clone(),
            version: None,
            accepts_orders: open
                && !limited
                && !self.adapters_come_first(&record.id, now_ms)
                && self.accepts_orders(record),
            first_homes_only: self.owed_adapters.contains(&record.id),
            free_mb: match stays {
                true => engine.weights_mb.saturating_sub(adapters_mb + taken_mb),
                false => 0,
            },
            adapters: record
                .models
                .iter()
                .map(|(model, names)| (model.clone(), names.len()))
                .collect(),
            protected: held
                .iter()
                .filter(|model| self.is_recent_home(&record.id, model, engine, now_ms))
                .cloned()
                .collect(),
            held,
            loading,
            cached_load_ms: disk.chain(memory).collect(),
        }
    }

    /// Whether a model was loaded so recently that its load has not paid off yet.
    fn is_recent_home(
        &self,
        id: &ReplicaId,
        model: &ModelName,
        engine: &EngineSpec,
        now_ms: u64,
    ) -> bool {
        let Some(loaded_ms) = self.loaded_ms.get(&(id.clone(), model.clone())) else {
            return false;
        };
        let is_used = self
            .last_busy_ms
            .get(model)
            .is_some_and(|busy_ms| busy_ms > loaded_ms);
        let loads = match is_used {
            true => MIN_TURN_LOADS,
            false => UNUSED_TURN_LOADS,
        };
        let load_ms = engine.models.get(model).map_or(0, |model| model.load_ms);
        loaded_ms + loads * load_ms > now_ms
    }

    /// Whether a model order would go stale behind an adapter order that is being sent, or an adapter
    /// without service is to be loaded first. Model orders and adapters take turns.
    pub(super) fn adapters_come_first(&self, id: &ReplicaId, now_ms: u64) -> bool {
        let owed = self.owed_adapters.contains(id) && self.last_order_was_model.contains(id);
        owed || self.adapters.unanswered(id, now_ms).is_some()
    }
}
