//! The leader's adapter orders: loads adapters on request and evicts the least recently used one
//! where a replica has no free slot.

use std::collections::{BTreeMap, BTreeSet};

use crate::consensus::directory::{ReplicaDirectory, ReplicaPhase, ReplicaRecord};
use crate::ids::{ModelName, ReplicaId};
use crate::placement::order::{AdapterPlacement, OrderKind, OrderOutcome};

/// Decision on an adapter request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdapterDecision {
    /// The adapter is loaded, a load is pending, or a slot is being freed for it.
    Available,
    /// A load was started.
    Load,
    /// This adapter must be unloaded first; its unload was started. The load follows; see
    /// [`AdapterOrders::start_waiting_loads`].
    Evict(AdapterPlacement),
    /// The adapter is not available and no load was started.
    Refused,
}

/// Maximum number of pending adapter loads at one replica.
const MAX_LOADS_PER_REPLICA: usize = 4;
/// An adapter used within this time is not evicted, in milliseconds.
const RECENT_USE_MS: u64 = 2_000;
/// Time within which an accepted load shows in the directory, in milliseconds.
const LOAD_EFFECT_MS: u64 = 4_000;
/// Time after an accepted unload within which heartbeats show whether the adapter is still there,
/// in milliseconds. Longer than the time for which the directory ranks the order above heartbeats.
const UNLOAD_EFFECT_MS: u64 = 6_000;
/// Time for which an adapter is left alone when the outcome of its order is unknown, in
/// milliseconds: after an unload without a response, and before a load of the previous leader is
/// sent again. Heartbeats usually show the outcome within this time. The slot stays occupied until
/// the outcome is known.
const UNKNOWN_OUTCOME_MS: u64 = 13_000;
/// Time for which no load is started at a replica that did not accept an order, in milliseconds.
const BUSY_BACKOFF_MS: u64 = 500;
/// Time after the last request for an adapter within which it is loaded when its slot becomes free,
/// in milliseconds. Its requests have been refused or served elsewhere by then.
const REQUEST_TTL_MS: u64 = 1_000;
/// Delay before a load without a response is sent again, in milliseconds.
const RESEND_DELAY_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug)]
struct PendingOrder {
    kind: OrderKind,
    /// When the order is forgotten; `None` while its outcome is open.
    expires_ms: Option<u64>,
    /// When the order is to be sent; `None` while a response or its effect is awaited.
    send_at_ms: Option<u64>,
    /// When the order was given to be sent; `None` once it has an outcome.
    sent_ms: Option<u64>,
    /// The order was sent without a response, by this leader or the previous one, and may still
    /// take effect.
    may_be_running: bool,
}

/// State of the slot that a requested load waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
enum SlotState {
    /// The unload of this adapter is in progress.
    Unloading(AdapterPlacement),
    /// The unload is done: the slot is reserved.
    Freed,
    /// The unload takes effect later, if at all: any slot that becomes free is used.
    Open,
}

/// A requested load that waits for a slot.
#[derive(Clone, Debug)]
struct WaitingLoad {
    /// When the adapter was last requested.
    requested_ms: u64,
    slot: SlotState,
}

impl WaitingLoad {
    fn is_current(&self, now_ms: u64) -> bool {
        self.requested_ms + REQUEST_TTL_MS > now_ms
    }
}

/// Capacity of a replica for further adapters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdapterCapacity {
    /// Number of further loads that may be started now.
    pub loads_allowed: usize,
    /// Number of free slots.
    pub free_slots: usize,
}

/// Pending adapter orders, and when each adapter was last used.
#[derive(Clone, Debug, Default)]
pub struct AdapterOrders {
    pending: BTreeMap<AdapterPlacement, PendingOrder>,
    /// By the requested adapter.
    waiting: BTreeMap<AdapterPlacement, WaitingLoad>,
    used_ms: BTreeMap<AdapterPlacement, u64>,
    busy_ms: BTreeMap<ReplicaId, u64>,
    /// The loads of the previous leader have been taken over.
    adopted: bool,
}

impl AdapterOrders {
    /// Records that an adapter was used.
    pub fn record_use(&mut self, placement: AdapterPlacement, now_ms: u64) {
        self.used_ms.insert(placement, now_ms);
    }

    /// Decides on a request for an adapter at a replica with `slots` adapter slots, and starts the
    /// load or eviction that it needs.
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
            Some(order) if order.kind == OrderKind::Load => return AdapterDecision::Available,
            Some(_) => return AdapterDecision::Refused,
            None if held.contains(&request.adapter) => {
                self.record_use(request.clone(), now_ms);
                return AdapterDecision::Available;
            }
            None if replicas.is_adapter_unloading(&record.id, &request.model, &request.adapter) => {
                return AdapterDecision::Refused;
            }
            None => {}
        }
        match self.waiting.get_mut(request) {
            Some(waiting) if matches!(waiting.slot, SlotState::Unloading(_)) => {
                waiting.requested_ms = now_ms;
                return AdapterDecision::Available;
            }
            // The load starts once the log shows that the slot is free.
            Some(waiting) if waiting.slot == SlotState::Freed && waiting.is_current(now_ms) => {
                return AdapterDecision::Available;
            }
            _ => {}
        }
        match self.capacity(record, slots, replicas, now_ms) {
            capacity if capacity.loads_allowed == 0 => AdapterDecision::Refused,
            capacity if capacity.free_slots > 0 => {
                self.start_requested_load(request.clone(), now_ms);
                AdapterDecision::Load
            }
            _ => self.start_eviction(record, request, now_ms),
        }
    }

    fn start_eviction(
        &mut self,
        record: &ReplicaRecord,
        request: &AdapterPlacement,
        now_ms: u64,
    ) -> AdapterDecision {
        match self.least_recently_used(record, now_ms) {
            Some(victim) => {
                self.insert_pending(victim.clone(), OrderKind::Unload, now_ms);
                let waiting = WaitingLoad {
                    requested_ms: now_ms,
                    slot: SlotState::Unloading(victim.clone()),
                };
                self.waiting.insert(request.clone(), waiting);
                AdapterDecision::Evict(victim)
            }
            None => AdapterDecision::Refused,
        }
    }

    /// Starts the loads whose slots have become free since they were requested, at the replicas for
    /// which `slots` returns a number of adapter slots. Returns them.
    pub fn start_waiting_loads(
        &mut self,
        replicas: &ReplicaDirectory,
        slots: impl Fn(&ReplicaRecord) -> Option<usize>,
        now_ms: u64,
    ) -> Vec<AdapterPlacement> {
        let records = replicas.records();
        self.waiting.retain(|request, waiting| {
            let record = records.get(&request.replica);
            let is_missing = record.is_some_and(|record| {
                record.models.contains_key(&request.model) && !holds(record, request)
            });
            is_missing && waiting.is_current(now_ms)
        });
        // An unload ends without an outcome if its model is gone.
        for waiting in self.waiting.values_mut() {
            let unload = match &waiting.slot {
                SlotState::Unloading(victim) => self.pending.get(victim),
                SlotState::Freed | SlotState::Open => continue,
            };
            if unload.is_none() {
                waiting.slot = SlotState::Open;
            }
        }
        let mut started = Vec::new();
        for (request, waiting) in self.waiting.clone() {
            let record = &records[&request.replica];
            let Some(slots) = slots(record) else {
                continue;
            };
            // The slot that is reserved for this adapter is free for it.
            self.waiting.remove(&request);
            let capacity = self.capacity(record, slots, replicas, now_ms);
            if capacity.free_slots > 0 && capacity.loads_allowed > 0 {
                self.start_requested_load(request.clone(), now_ms);
                started.push(request);
            } else {
                self.waiting.insert(request, waiting);
            }
        }
        started
    }

    /// Number of slots of a replica that were freed for adapters whose loads have not started.
    fn reserved_slots(&self, id: &ReplicaId) -> usize {
        let here = self.waiting.iter();
        let here = here.filter(|(request, _)| request.replica == *id);
        here.filter(|(_, waiting)| waiting.slot == SlotState::Freed)
            .count()
    }

    /// Updates the load that waits for the unload of `victim`.
    fn set_slot(&mut self, victim: &AdapterPlacement, slot: SlotState) {
        for waiting in self.waiting.values_mut() {
            if matches!(&waiting.slot, SlotState::Unloading(other) if other == victim) {
                waiting.slot = slot.clone();
            }
        }
    }

    /// Starts a load for a request that waits for it. It counts as a use: entries report uses only
    /// twice a second, and the adapter would be the next one to be evicted.
    fn start_requested_load(&mut self, request: AdapterPlacement, now_ms: u64) {
        self.record_use(request.clone(), now_ms);
        self.start_load(request, now_ms);
    }

    /// Returns how many more loads may be started at a replica, and how many of its slots are
    /// neither occupied, nor claimed by an order that may still take effect, nor freed for another
    /// adapter.
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
            false => MAX_LOADS_PER_REPLICA.saturating_sub(self.pending_load_count(&record.id)),
        };
        let taken = self.occupied_slots(record, replicas) + self.reserved_slots(&record.id);
        let free_slots = slots.saturating_sub(taken);
        AdapterCapacity {
            loads_allowed,
            free_slots,
        }
    }

    /// Starts to load an adapter. The caller has checked [`Self::capacity`].
    pub fn start_load(&mut self, placement: AdapterPlacement, now_ms: u64) {
        self.waiting.remove(&placement);
        self.insert_pending(placement, OrderKind::Load, now_ms);
    }

    /// Returns the orders at a replica that are being sent, and since when the first of them is, in
    /// milliseconds.
    pub fn unanswered(&self, id: &ReplicaId) -> Option<(usize, u64)> {
        let here = self.pending_at(id);
        let sent = here.filter_map(|(_, order)| order.sent_ms);
        let since_ms = sent.clone().min()?;
        Some((sent.count(), since_ms))
    }

    /// Returns the pending orders of a replica.
    fn pending_at<'a>(
        &'a self,
        id: &'a ReplicaId,
    ) -> impl Iterator<Item = (&'a AdapterPlacement, &'a PendingOrder)> + Clone {
        let first = AdapterPlacement {
            replica: id.clone(),
            model: ModelName(String::new()),
            adapter: String::new(),
        };
        let from_here = self.pending.range(first..);
        from_here.take_while(move |(placement, _)| placement.replica == *id)
    }

    /// Returns the adapters whose loads are pending.
    pub fn pending_loads(&self) -> impl Iterator<Item = &AdapterPlacement> {
        let loads = self.pending.iter();
        let loads = loads.filter(|(_, order)| order.kind == OrderKind::Load);
        loads.map(|(placement, _)| placement)
    }

    /// Handles the outcome of an order. Returns whether the engine has accepted the order or its
    /// effect already holds.
    pub fn on_outcome(
        &mut self,
        placement: &AdapterPlacement,
        outcome: OrderOutcome,
        now_ms: u64,
    ) -> bool {
        let Some(order) = self.pending.get_mut(placement) else {
            return false;
        };
        order.sent_ms = None;
        match outcome {
            OrderOutcome::Held if order.kind == OrderKind::Unload => {
                self.pending.remove(placement);
                self.set_slot(placement, SlotState::Freed);
                true
            }
            OrderOutcome::Taken | OrderOutcome::Held => {
                let effect_ms = match order.kind {
                    OrderKind::Load => LOAD_EFFECT_MS,
                    OrderKind::Unload => UNLOAD_EFFECT_MS,
                };
                order.expires_ms = Some(now_ms + effect_ms);
                order.may_be_running = false;
                self.set_slot(placement, SlotState::Open);
                true
            }
            OrderOutcome::Unknown if order.kind == OrderKind::Unload => {
                order.expires_ms = Some(now_ms + UNKNOWN_OUTCOME_MS);
                self.set_slot(placement, SlotState::Open);
                false
            }
            // The slot stays occupied until a response shows that the earlier attempt is over. An
            // engine that counts orders carries out at most one of the attempts.
            OrderOutcome::Unknown => {
                order.may_be_running = true;
                order.send_at_ms = Some(now_ms + RESEND_DELAY_MS);
                false
            }
            OrderOutcome::Busy | OrderOutcome::CountMismatch if order.may_be_running => {
                order.send_at_ms = Some(now_ms + RESEND_DELAY_MS);
                false
            }
            // Nothing else is running there: the next request may order at once.
            OrderOutcome::CountMismatch => {
                self.pending.remove(placement);
                self.set_slot(placement, SlotState::Open);
                false
            }
            OrderOutcome::Busy | OrderOutcome::Fenced | OrderOutcome::Refused => {
                self.pending.remove(placement);
                self.set_slot(placement, SlotState::Open);
                let expires_ms = now_ms + BUSY_BACKOFF_MS;
                self.busy_ms.insert(placement.replica.clone(), expires_ms);
                false
            }
        }
    }

    /// Returns the loads that are due and whose slots are committed to the log. A later leader must
    /// know that a slot is claimed before an order fills it.
    pub fn take_due(&mut self, replicas: &ReplicaDirectory, now_ms: u64) -> Vec<AdapterPlacement> {
        let silent = |placement: &AdapterPlacement| {
            let record = replicas.records().get(&placement.replica);
            record.is_some_and(|record| record.phase == ReplicaPhase::Silent)
        };
        let mut due = Vec::new();
        for (placement, order) in &mut self.pending {
            let unloading = replicas.is_unloading(&placement.replica, &placement.model);
            let is_due = order.send_at_ms.is_some_and(|at_ms| at_ms <= now_ms)
                && !unloading
                && !silent(placement);
            if is_due && is_load_committed(replicas, placement) {
                order.send_at_ms = None;
                order.sent_ms = Some(now_ms);
                due.push(placement.clone());
            }
        }
        due
    }

    /// Removes orders that have expired or whose effect shows in the directory, and takes over the
    /// loads of the previous leader. Returns the adapters that the log lists as ordered and that
    /// have no pending order any more.
    pub fn settle(&mut self, replicas: &ReplicaDirectory, now_ms: u64) -> Vec<AdapterPlacement> {
        let records = replicas.records();
        self.adopt(replicas, now_ms);
        self.pending.retain(|placement, order| {
            let record = records.get(&placement.replica);
            let expired = order
                .expires_ms
                .is_some_and(|expires_ms| expires_ms <= now_ms);
            let visible = record.is_some_and(|record| holds(record, placement));
            let has_outcome = order.expires_ms.is_some() || order.may_be_running;
            let done = order.kind == OrderKind::Load && visible && has_outcome;
            // Without its model the adapter cannot be loaded. An order that loads the model again
            // raises the engine's order count beyond all earlier orders.
            let has_model = record
                .is_some_and(|record| record.models.contains_key(&placement.model))
                || replicas.is_unloading(&placement.replica, &placement.model);
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

    /// Takes over the loads of the previous leader as loads without a response.
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
                    sent_ms: None,
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
            // The caller sends an unload immediately.
            send_at_ms: (kind == OrderKind::Load).then_some(now_ms),
            sent_ms: (kind == OrderKind::Unload).then_some(now_ms),
            may_be_running: false,
        };
        self.pending.insert(placement, order);
    }

    fn pending_load_count(&self, id: &ReplicaId) -> usize {
        let loads = self.pending_at(id);
        loads
            .filter(|(_, order)| order.kind == OrderKind::Load)
            .count()
    }

    /// Number of slots that are occupied, or claimed by an order that may still take effect.
    fn occupied_slots(&self, record: &ReplicaRecord, replicas: &ReplicaDirectory) -> usize {
        let held: usize = record.models.values().map(BTreeSet::len).sum();
        let pending = self.pending_at(&record.id);
        let pending = pending.map(|(placement, _)| placement.clone());
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

/// Returns the adapters that the log lists as ordered into a replica.
fn ordered_adapters<'a>(
    replicas: &'a ReplicaDirectory,
    id: &'a ReplicaId,
) -> impl Iterator<Item = AdapterPlacement> + 'a {
    let adapters = replicas.adapters_loading(id);
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
