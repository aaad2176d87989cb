//! The leader's orders on adapters: brought where an entry wishes for one, and
//! taken away where a replica has no place left, the least used first.

use std::collections::{BTreeMap, BTreeSet};

use crate::consensus::directory::{ReplicaDirectory, ReplicaRecord};
use crate::ids::{ModelName, ReplicaId};
use crate::placement::order::{AdapterPlacement, OrderKind, OrderOutcome};

/// What becomes of a wish.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdapterDecision {
    /// It is there, or on its way.
    Known,
    /// It is to be ordered in.
    Load,
    /// This one is to be ordered out first.
    Evict(AdapterPlacement),
    /// Not there, and not soon.
    Refused,
}

/// Adapters that may be on their way to one replica.
const MAX_PENDING_LOADS: usize = 4;
/// An adapter used so lately is not taken away, in milliseconds.
const RECENT_USE_MS: u64 = 2_000;
/// Time in which an order's effect shows in the directory, in milliseconds.
const LOAD_EFFECT_MS: u64 = 4_000;
/// Time in which heartbeats tell of an adapter that is ordered out and still in use,
/// in milliseconds: longer than they are outweighed by the order.
const UNLOAD_EFFECT_MS: u64 = 6_000;
/// How long an adapter of which an order out has no answer, or that the leader before
/// ordered, is left alone, in milliseconds: mostly heartbeats tell meanwhile what became of
/// it. It takes its place all the while, and after it.
const UNKNOWN_OUTCOME_MS: u64 = 13_000;
/// Pause after a replica was busy, in milliseconds.
const BUSY_BACKOFF_MS: u64 = 500;
/// Pause before a load that got no answer is sent again, in milliseconds.
const RESEND_DELAY_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug)]
struct PendingOrder {
    kind: OrderKind,
    /// Until when it counts; none while it has no outcome.
    expires_ms: Option<u64>,
    /// When it is to be sent; none while an answer or its effect is awaited.
    send_at_ms: Option<u64>,
    /// It was sent without an answer, by this leader or the one before, and may still be
    /// carried out.
    may_be_running: bool,
}

/// Room of a replica for further adapters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdapterCapacity {
    /// So many more may be on their way to it.
    pub loads_allowed: usize,
    /// So many of its places are free.
    pub free_slots: usize,
}

/// Orders on adapters that are under way, and when adapters were used.
#[derive(Clone, Debug, Default)]
pub struct AdapterOrders {
    pending: BTreeMap<AdapterPlacement, PendingOrder>,
    used_ms: BTreeMap<AdapterPlacement, u64>,
    busy_ms: BTreeMap<ReplicaId, u64>,
    /// The orders of the leader before have been taken over.
    adopted: bool,
}

impl AdapterOrders {
    /// An adapter was used.
    pub fn record_use(&mut self, placement: AdapterPlacement, now_ms: u64) {
        self.used_ms.insert(placement, now_ms);
    }

    /// Decides on a wish for a replica with `slots` places.
    pub fn decide(
        &mut self,
        record: &ReplicaRecord,
        slots: usize,
        replicas: &ReplicaDirectory,
        request: &AdapterPlacement,
        now_ms: u64,
    ) -> AdapterDecision {
        let Some(held) = record.models.get(&request.model) else {
            return AdapterDecision::Refused;
        };
        match self.pending.get(request) {
            Some(order) if order.kind == OrderKind::Load => return AdapterDecision::Known,
            Some(_) => return AdapterDecision::Refused,
            None if held.contains(&request.adapter) => return AdapterDecision::Known,
            None if replicas.is_adapter_going(&record.id, &request.model, &request.adapter) => {
                return AdapterDecision::Refused;
            }
            None => {}
        }
        match self.capacity(record, slots, replicas, now_ms) {
            capacity if capacity.loads_allowed == 0 => AdapterDecision::Refused,
            capacity if capacity.free_slots > 0 => {
                self.start_load(request.clone(), now_ms);
                AdapterDecision::Load
            }
            _ => self.start_eviction(record, now_ms),
        }
    }

    fn start_eviction(&mut self, record: &ReplicaRecord, now_ms: u64) -> AdapterDecision {
        match self.least_recently_used(record, now_ms) {
            Some(victim) => {
                self.insert_pending(victim.clone(), OrderKind::Unload, now_ms);
                AdapterDecision::Evict(victim)
            }
            None => AdapterDecision::Refused,
        }
    }

    /// How many more adapters may be on their way to a replica, and how many of its places
    /// nothing takes or may come to take.
    pub fn capacity(
        &self,
        record: &ReplicaRecord,
        slots: usize,
        replicas: &ReplicaDirectory,
        now_ms: u64,
    ) -> AdapterCapacity {
        let busy_ms = self.busy_ms.get(&record.id);
        let loads_allowed = match busy_ms.is_some_and(|expires_ms| *expires_ms > now_ms) {
            true => 0,
            false => MAX_PENDING_LOADS.saturating_sub(self.pending_load_count(&record.id)),
        };
        let free_slots = slots.saturating_sub(self.occupied_slots(record, replicas));
        AdapterCapacity {
            loads_allowed,
            free_slots,
        }
    }

    /// Begins to bring an adapter for which there is [`Self::capacity`].
    pub fn start_load(&mut self, placement: AdapterPlacement, now_ms: u64) {
        self.insert_pending(placement, OrderKind::Load, now_ms);
    }

    /// Adapters that are on their way in.
    pub fn pending_loads(&self) -> impl Iterator<Item = &AdapterPlacement> {
        let loads = self.pending.iter();
        let loads = loads.filter(|(_, order)| order.kind == OrderKind::Load);
        loads.map(|(placement, _)| placement)
    }

    /// An engine answered. Returns whether the order holds.
    pub fn on_outcome(
        &mut self,
        placement: &AdapterPlacement,
        outcome: OrderOutcome,
        now_ms: u64,
    ) -> bool {
        let Some(order) = self.pending.get_mut(placement) else {
            return false;
        };
        match outcome {
            OrderOutcome::Held if order.kind == OrderKind::Unload => {
                self.pending.remove(placement);
                true
            }
            OrderOutcome::Taken | OrderOutcome::Held => {
                let effect_ms = match order.kind {
                    OrderKind::Load => LOAD_EFFECT_MS,
                    OrderKind::Unload => UNLOAD_EFFECT_MS,
                };
                order.expires_ms = Some(now_ms + effect_ms);
                order.may_be_running = false;
                true
            }
            OrderOutcome::Unknown if order.kind == OrderKind::Unload => {
                order.expires_ms = Some(now_ms + UNKNOWN_OUTCOME_MS);
                false
            }
            // Its place stays taken until an answer shows that the try before is over: an
            // engine that counts orders carries out one of them at most.
            OrderOutcome::Unknown => {
                order.may_be_running = true;
                order.send_at_ms = Some(now_ms + RESEND_DELAY_MS);
                false
            }
            OrderOutcome::Busy if order.may_be_running => {
                order.send_at_ms = Some(now_ms + RESEND_DELAY_MS);
                false
            }
            OrderOutcome::Busy | OrderOutcome::Fenced | OrderOutcome::Refused => {
                self.pending.remove(placement);
                let expires_ms = now_ms + BUSY_BACKOFF_MS;
                self.busy_ms.insert(placement.replica.clone(), expires_ms);
                false
            }
        }
    }

    /// The loads that are to be sent and whose places are committed. Whoever leads next
    /// must know of a place before an order takes it.
    pub fn take_due(&mut self, replicas: &ReplicaDirectory, now_ms: u64) -> Vec<AdapterPlacement> {
        let mut due = Vec::new();
        for (placement, order) in &mut self.pending {
            let unloading = replicas.is_leaving(&placement.replica, &placement.model);
            let is_due = order.send_at_ms.is_some_and(|at_ms| at_ms <= now_ms) && !unloading;
            if is_due && is_load_committed(replicas, placement) {
                order.send_at_ms = None;
                due.push(placement.clone());
            }
        }
        due
    }

    /// Forgets what shows in the directory, or counts no more, and takes over the
    /// orders of the leader before. Returns places whose orders are settled.
    pub fn settle(&mut self, replicas: &ReplicaDirectory, now_ms: u64) -> Vec<AdapterPlacement> {
        let records = replicas.records();
        self.adopt(replicas, now_ms);
        self.pending.retain(|placement, order| {
            let record = records.get(&placement.replica);
            let expired = order
                .expires_ms
                .is_some_and(|expires_ms| expires_ms <= now_ms);
            let visible = record.is_some_and(|record| holds(record, placement));
            let answered = order.expires_ms.is_some() || order.may_be_running;
            let done = order.kind == OrderKind::Load && visible && answered;
            // Without its model it cannot come, and an order that brings the model back moves
            // the engine's count past whatever was sent before.
            let has_model = record
                .is_some_and(|record| record.models.contains_key(&placement.model))
                || replicas.is_leaving(&placement.replica, &placement.model);
            has_model && !expired && !done
        });
        let ordered = records.keys().flat_map(|id| ordered_adapters(replicas, id));
        let settled = ordered.filter(|placement| !self.pending.contains_key(placement));
        let settled = settled.collect();
        self.used_ms
            .retain(|placement, _| records.contains_key(&placement.replica));
        self.busy_ms.retain(|_, expires_ms| *expires_ms > now_ms);
        settled
    }

    /// Orders of the leader before count as if they had no answer.
    fn adopt(&mut self, replicas: &ReplicaDirectory, now_ms: u64) {
        if std::mem::replace(&mut self.adopted, true) {
            return;
        }
        for id in replicas.records().keys() {
            for placement in ordered_adapters(replicas, id) {
                let order = PendingOrder {
                    kind: OrderKind::Load,
                    expires_ms: None,
                    send_at_ms: Some(now_ms + UNKNOWN_OUTCOME_MS),
                    may_be_running: true,
                };
                self.pending.entry(placement).or_insert(order);
            }
        }
    }

    fn insert_pending(&mut self, placement: AdapterPlacement, kind: OrderKind, now_ms: u64) {
        let order = PendingOrder {
            kind,
            expires_ms: None,
            // An order out leaves at once.
            send_at_ms: (kind == OrderKind::Load).then_some(now_ms),
            may_be_running: false,
        };
        self.pending.insert(placement, order);
    }

    fn pending_load_count(&self, id: &ReplicaId) -> usize {
        let here = self
            .pending
            .iter()
            .filter(|(placement, _)| placement.replica == *id);
        here.filter(|(_, order)| order.kind == OrderKind::Load)
            .count()
    }

    /// Places that are taken, by whatever order may still be carried out.
    fn occupied_slots(&self, record: &ReplicaRecord, replicas: &ReplicaDirectory) -> usize {
        let held: usize = record.models.values().map(BTreeSet::len).sum();
        let pending = self.pending.keys().cloned();
        let pending = pending.filter(|placement| placement.replica == record.id);
        let ordered = replicas.adapters_ordered(&record.id);
        let ordered = ordered.map(|(model, adapter)| placement_of(&record.id, model, adapter));
        let ordered: BTreeSet<AdapterPlacement> = pending.chain(ordered).collect();
        held + ordered
            .iter()
            .filter(|placement| !holds(record, placement))
            .count()
    }

    fn least_recently_used(&self, record: &ReplicaRecord, now_ms: u64) -> Option<AdapterPlacement> {
        let held = record.models.iter();
        let held = held.flat_map(|(model, names)| names.iter().map(move |name| (model, name)));
        let placements = held.map(|(model, name)| AdapterPlacement {
            replica: record.id.clone(),
            model: model.clone(),
            adapter: name.clone(),
        });
        let idle = placements.filter_map(|placement| {
            let used_ms = self.used_ms.get(&placement).copied().unwrap_or(0);
            let evictable =
                !self.pending.contains_key(&placement) && used_ms + RECENT_USE_MS <= now_ms;
            evictable.then_some((used_ms, placement))
        });
        idle.min().map(|(_, placement)| placement)
    }
}

/// The places of a replica that stand in the log as ordered.
fn ordered_adapters<'a>(
    replicas: &'a ReplicaDirectory,
    id: &'a ReplicaId,
) -> impl Iterator<Item = AdapterPlacement> + 'a {
    let adapters = replicas.adapters_coming(id);
    adapters.map(|(model, adapter)| placement_of(id, model, adapter))
}

fn placement_of(id: &ReplicaId, model: &ModelName, adapter: &str) -> AdapterPlacement {
    AdapterPlacement {
        replica: id.clone(),
        model: model.clone(),
        adapter: adapter.to_owned(),
    }
}

fn is_load_committed(replicas: &ReplicaDirectory, placement: &AdapterPlacement) -> bool {
    ordered_adapters(replicas, &placement.replica).any(|ordered| ordered == *placement)
}

fn holds(record: &ReplicaRecord, placement: &AdapterPlacement) -> bool {
    record.holds_adapter(&placement.model, &placement.adapter)
}
