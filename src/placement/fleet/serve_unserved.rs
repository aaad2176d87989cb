//! The leader's orders to load adapters that have gone without service, those for longest first.
//!
//! A request for an adapter is decided when it arrives, as long as replicas answer promptly. What is
//! refused is decided here, when a replica can take the next order: a replica that answers late
//! takes few orders, and none of them may be for what happened to be requested when the last one
//! ended.

use std::collections::{BTreeMap, BTreeSet};

use crate::consensus::directory::{ReplicaPhase, ReplicaRecord};
use crate::consensus::state::SiteState;
use crate::ids::{ModelName, ReplicaId, ServiceName};
use crate::placement::adapters::AdapterDecision;
use crate::placement::order::{AdapterPlacement, OrderKind, ReplicaOrder};
use crate::placement::preload;
use crate::table::configuration::EngineSpec;

use super::{FleetController, open_records};

/// Time after an adapter order in which a model that has gone without service for longer may take the
/// replica, in milliseconds: longer than the time between two rounds of the plan.
const MODEL_TURN_MS: u64 = 150;

/// An adapter without service.
struct UnservedAdapter {
    model: ModelName,
    adapter: String,
    since_ms: u64,
}

impl UnservedAdapter {
    fn at(&self, record: &ReplicaRecord) -> AdapterPlacement {
        AdapterPlacement {
            replica: record.id.clone(),
            model: self.model.clone(),
            adapter: self.adapter.clone(),
        }
    }
}

impl FleetController {
    /// Starts to load the adapters of a service that have gone without service. Returns the unloads
    /// to send.
    pub(super) fn serve_unserved_adapters(
        &mut self,
        state: &SiteState,
        service: &ServiceName,
        engine: &EngineSpec,
        now_ms: u64,
    ) -> Vec<ReplicaOrder> {
        let adapters = self.unserved_adapters(engine);
        let mut homes: BTreeMap<&ModelName, Vec<&ReplicaRecord>> = BTreeMap::new();
        for adapter in &adapters {
            homes.entry(&adapter.model).or_default();
        }
        if homes.is_empty() {
            return Vec::new();
        }
        let records = open_records(state, service);
        for record in records.filter(|record| record.phase == ReplicaPhase::Ready) {
            for model in record.models.keys() {
                if let Some(homes) = homes.get_mut(model) {
                    homes.push(record);
                }
            }
        }
        let absent_since_ms = self.absent_since_ms(state, service, engine);
        let mut orders = Vec::new();
        for adapter in &adapters {
            let homes = &homes[&adapter.model];
            let model_waits = absent_since_ms.is_some_and(|since_ms| since_ms < adapter.since_ms);
            let unload = self.serve_adapter(state, engine, adapter, homes, (model_waits, now_ms));
            orders.extend(unload);
        }
        orders
    }

    /// Whether a replica that takes few orders is to load adapters that have gone without service for
    /// longer than this one.
    pub(super) fn others_come_first(
        &self,
        record: &ReplicaRecord,
        request: &AdapterPlacement,
    ) -> bool {
        let oldest = self.unserved.oldest_first().into_iter();
        let mut missing = oldest.filter(|(name, _)| match &name.adapter {
            Some(adapter) => {
                let held = record.models.get(&name.model);
                held.is_some_and(|held| !held.contains(adapter))
            }
            None => false,
        });
        let first = missing.next().map(|(name, _)| name);
        first.is_some_and(|name| *name != super::adapter_name(request))
    }

    /// Whether an adapter order was the last one at a replica, and the plan has had no time since.
    fn is_turn_of_models(&self, id: &ReplicaId, now_ms: u64) -> bool {
        !self.last_order_was_model.contains(id)
            && self.adapters.answered_ms(id) + MODEL_TURN_MS > now_ms
    }

    /// Returns the earliest time since which a model has gone without service that no ready replica
    /// holds, and that none is to load.
    fn absent_since_ms(
        &self,
        state: &SiteState,
        service: &ServiceName,
        engine: &EngineSpec,
    ) -> Option<u64> {
        let mut present: BTreeSet<&ModelName> = BTreeSet::new();
        let ready = |record: &&ReplicaRecord| record.phase == ReplicaPhase::Ready;
        for record in open_records(state, service).filter(ready) {
            present.extend(record.models.keys());
            let pending = self.pending.get(&record.id);
            present.extend(pending.map(|order| order.for_model.as_ref().unwrap_or(&order.model)));
            let reserved = self.reservations.get(&record.id);
            present.extend(reserved.map(|reservation| &reservation.model));
        }
        let oldest = self.unserved.oldest_first().into_iter();
        let mut absent = oldest.filter(|(name, _)| {
            engine.models.contains_key(&name.model) && !present.contains(&name.model)
        });
        absent.next().map(|(_, since_ms)| since_ms)
    }

    /// Returns the adapters of an engine that have gone without service, those for longest first.
    fn unserved_adapters(&self, engine: &EngineSpec) -> Vec<UnservedAdapter> {
        let oldest = self.unserved.oldest_first().into_iter();
        let adapters = oldest.filter_map(|(name, since_ms)| {
            let adapter = name.adapter.clone()?;
            let spec = engine.models.get(&name.model)?;
            let exists = preload::adapter_names(spec.adapters).any(|known| known == adapter);
            exists.then(|| UnservedAdapter {
                model: name.model.clone(),
                adapter,
                since_ms,
            })
        });
        adapters.collect()
    }

    /// Starts to load an adapter at one of the homes of its model, unless it is loaded or being
    /// loaded at one. Returns the unload to send, if it needs one. `model_waits` is whether a model
    /// without a home has waited for longer.
    fn serve_adapter(
        &mut self,
        state: &SiteState,
        engine: &EngineSpec,
        adapter: &UnservedAdapter,
        homes: &[&ReplicaRecord],
        (model_waits, now_ms): (bool, u64),
    ) -> Option<ReplicaOrder> {
        let held =
            |record: &&&ReplicaRecord| record.holds_adapter(&adapter.model, &adapter.adapter);
        if homes.iter().any(|record| held(&record)) {
            return None;
        }
        let mut places = homes.iter().map(|record| adapter.at(record));
        if places.clone().any(|place| self.adapters.is_loading(&place)) {
            return None;
        }
        let waiting = places.find(|place| self.adapters.waits_for_slot(place));
        let slots = engine.adapter_slots as usize;
        let mut open = Vec::new();
        for record in homes {
            let is_left_to_models = model_waits && self.is_turn_of_models(&record.id, now_ms);
            if self.accepts_adapter_orders(state, record) && !is_left_to_models {
                let capacity = self
                    .adapters
                    .capacity(record, slots, &state.replicas, now_ms);
                open.push((capacity.free_slots, *record));
            }
        }
        if let Some(place) = &waiting {
            // A slot that is free elsewhere need not be waited for.
            self.adapters.renew_waiting(place, now_ms);
            open.retain(|(free_slots, _)| *free_slots > 0);
        }
        open.sort_by_key(|(free_slots, _)| std::cmp::Reverse(*free_slots));
        for (_, record) in open {
            let placement = adapter.at(record);
            let times = (adapter.since_ms, now_ms);
            let decision =
                self.adapters
                    .serve_unserved(record, slots, &state.replicas, &placement, times);
            match decision {
                AdapterDecision::Load => {
                    if let Some(place) = &waiting {
                        self.adapters.stop_waiting(place);
                    }
                    self.queue_adapter_load(placement);
                    return None;
                }
                AdapterDecision::Evict(victim) => {
                    self.last_order_was_model.remove(&record.id);
                    let name = Some(victim.adapter.as_str());
                    return Some(self.order(record, OrderKind::Unload, &victim.model, name));
                }
                AdapterDecision::Available => return None,
                AdapterDecision::Refused => {}
            }
        }
        if waiting.is_some() {
            return None;
        }
        let waits_for = homes.iter().map(|record| record.id.clone());
        self.owed_adapters.extend(waits_for);
        None
    }
}
