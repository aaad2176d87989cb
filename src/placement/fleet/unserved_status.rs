//! What the models and adapters that are not served wait for, for the log and the metrics.

use std::collections::{BTreeMap, BTreeSet};

use crate::consensus::directory::{ReplicaPhase, ReplicaRecord};
use crate::consensus::state::SiteState;
use crate::ids::ModelName;
use crate::placement::fleet_plan;
use crate::placement::order::OrderKind;
use crate::placement::unserved::{ServedName, UnservedSummary};
use crate::table::configuration::EngineSpec;

use super::{FleetController, open_records};

/// Maximum number of names that are described at once.
const MAX_DESCRIBED_NAMES: usize = 32;
/// Maximum number of models without a home of which it is described what keeps replicas from loading
/// them.
const MAX_DESCRIBED_MODELS: usize = 8;
/// Maximum number of homes that are described for a name.
const MAX_DESCRIBED_HOMES: usize = 4;

/// A name that is requested without being served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnservedStatus {
    /// The name.
    pub name: ServedName,
    /// Time without service, in milliseconds.
    pub unserved_ms: u64,
    /// Number of ready replicas that hold its model.
    pub homes: usize,
    /// Number of these that hold the adapter as well, if one is requested.
    pub holders: usize,
    /// What the first of these replicas are waiting for, or, without any, how many replicas do not
    /// load the model, by reason.
    pub waits_for: String,
}

impl FleetController {
    /// Returns the number of names without service, and the longest time.
    pub fn unserved_summary(&self, now_ms: u64) -> UnservedSummary {
        self.unserved.summary(now_ms)
    }

    /// Describes the names that have gone without service for longest.
    pub fn unserved_status(&self, state: &SiteState, now_ms: u64) -> Vec<UnservedStatus> {
        let mut oldest = self.unserved.oldest_first();
        oldest.truncate(MAX_DESCRIBED_NAMES);
        let mut held: BTreeSet<&ModelName> = BTreeSet::new();
        for record in state.replicas.records().values() {
            if record.phase == ReplicaPhase::Ready {
                held.extend(record.models.keys());
            }
        }
        let absent = oldest.iter().map(|(name, _)| &name.model);
        let absent = absent.filter(|model| !held.contains(model)).cloned();
        let absent: BTreeSet<ModelName> = absent.take(MAX_DESCRIBED_MODELS).collect();
        let obstacles = self.first_home_obstacles(state, &absent, now_ms);
        let described = oldest.into_iter().map(|(name, since_ms)| {
            let records = state.replicas.records().values();
            let homes = records.filter(|record| {
                record.phase == ReplicaPhase::Ready && record.models.contains_key(&name.model)
            });
            let homes: Vec<&ReplicaRecord> = homes.collect();
            let holds = |record: &&&ReplicaRecord| match &name.adapter {
                Some(adapter) => record.holds_adapter(&name.model, adapter),
                None => true,
            };
            let first = homes.iter().take(MAX_DESCRIBED_HOMES);
            let mut waits: Vec<String> = first
                .map(|record| self.describe_lane(state, record, now_ms))
                .collect();
            let obstacles = obstacles.get(&name.model).into_iter().flatten();
            waits.extend(obstacles.map(|(reason, count)| format!("{count} replicas: {reason}")));
            UnservedStatus {
                name: name.clone(),
                unserved_ms: now_ms.saturating_sub(since_ms),
                holders: homes.iter().filter(holds).count(),
                waits_for: waits.join("; "),
                homes: homes.len(),
            }
        });
        described.collect()
    }

    /// Counts, for each of these models without a home, the replicas that do not load it, by reason.
    fn first_home_obstacles(
        &self,
        state: &SiteState,
        absent: &BTreeSet<ModelName>,
        now_ms: u64,
    ) -> BTreeMap<ModelName, BTreeMap<&'static str, usize>> {
        let mut obstacles: BTreeMap<ModelName, BTreeMap<&'static str, usize>> = BTreeMap::new();
        let configuration = state.configuration.as_ref().map(|held| &held.configuration);
        let services = configuration.into_iter().flat_map(|held| &held.services);
        let engines = services.filter_map(|(name, spec)| Some((name, spec.engine.as_ref()?)));
        let has_absent = |engine: &EngineSpec| {
            let mut models = absent.iter();
            models.any(|model| engine.models.contains_key(model))
        };
        for (service, engine) in engines.filter(|(_, engine)| has_absent(engine)) {
            let (replicas, models) = self.plan_input(state, service, engine, now_ms);
            let price = self.policy.move_price;
            let limits = fleet_plan::first_home_limits(replicas, &models, price, absent);
            for (model, limits) in limits {
                let counts = obstacles.entry(model).or_default();
                for record in open_records(state, service) {
                    let limit = limits.get(&record.id).map(|limit| limit.text());
                    let reason = self.order_obstacle(record, now_ms).or(limit);
                    *counts
                        .entry(reason.unwrap_or("no demand known"))
                        .or_default() += 1;
                }
            }
        }
        obstacles
    }

    /// Returns why a replica takes no model order now, if it does not.
    fn order_obstacle(&self, record: &ReplicaRecord, now_ms: u64) -> Option<&'static str> {
        let id = &record.id;
        match self.pending.get(id).map(|order| order.kind) {
            _ if record.phase != ReplicaPhase::Ready => Some("silent or draining"),
            _ if self.fenced.contains(&record.incarnation()) => Some("refuses this leader"),
            Some(OrderKind::Load) => Some("a load under way"),
            Some(OrderKind::Unload) => Some("an unload under way"),
            None if self.reservations.contains_key(id) => Some("memory freed for another model"),
            None if self.adapters_come_first(id, now_ms) => Some("adapter orders"),
            None if self.limited.contains(&record.incarnation()) => Some("a rate limit"),
            None => None,
        }
    }

    /// Describes the orders that are under way at a replica.
    fn describe_lane(&self, state: &SiteState, record: &ReplicaRecord, now_ms: u64) -> String {
        let id = &record.id;
        let age_ms = |since_ms: u64| now_ms.saturating_sub(since_ms);
        let model = self.pending.get(id).map(|order| {
            let (kind, model, age_ms) = (order.kind, &order.model, age_ms(order.since_ms));
            format!("{kind:?} of {model} for {age_ms} ms")
        });
        let adapters = self
            .adapters
            .unanswered(id, now_ms)
            .map(|(count, since_ms)| {
                let age_ms = age_ms(since_ms);
                format!("{count} adapter orders unanswered, the first for {age_ms} ms")
            });
        let held: usize = record.models.values().map(|names| names.len()).sum();
        let claimed = state.replicas.adapters_ordered(id).count();
        let slots = format!("{held} adapters held, {claimed} ordered");
        let parts = [model, adapters, Some(slots)];
        let parts: Vec<String> = parts.into_iter().flatten().collect();
        format!("{id}: {}", parts.join(", "))
    }
}
