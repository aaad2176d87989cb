//! What the models and adapters that are not served wait for, for the log and the metrics.

use crate::consensus::directory::{ReplicaPhase, ReplicaRecord};
use crate::consensus::state::SiteState;
use crate::placement::unserved::{ServedName, UnservedSummary};

use super::FleetController;

/// Maximum number of names that are described at once.
const MAX_DESCRIBED_NAMES: usize = 8;
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
    /// What the first of these replicas are waiting for.
    pub waits_for: String,
}

impl FleetController {
    /// Returns the number of names without service, and the longest time.
    pub fn unserved_summary(&self, now_ms: u64) -> UnservedSummary {
        self.unserved.summary(now_ms)
    }

    /// Describes the names that have gone without service for longest.
    pub fn unserved_status(&self, state: &SiteState, now_ms: u64) -> Vec<UnservedStatus> {
        let oldest = self.unserved.oldest_first().into_iter();
        let described = oldest.take(MAX_DESCRIBED_NAMES).map(|(name, since_ms)| {
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
            let waits = first.map(|record| self.describe_lane(state, record, now_ms));
            UnservedStatus {
                name: name.clone(),
                unserved_ms: now_ms.saturating_sub(since_ms),
                holders: homes.iter().filter(holds).count(),
                waits_for: waits.collect::<Vec<String>>().join("; "),
                homes: homes.len(),
            }
        });
        described.collect()
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
