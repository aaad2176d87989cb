//! The leader's adapter orders: loads adapters on request and evicts the least recently used one
//! where a replica has no free slot.

mod late_answers;
mod turns;

use std::collections::{BTreeMap, BTreeSet};

use crate::consensus::directory::{ReplicaDirectory, ReplicaRecord};
use crate::ids::{ModelName, ReplicaId};
use crate::placement::order::{AdapterPlacement, OrderKind, OrderOutcome};

use late_answers::LATE_ANSWER_MS;

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
    /// Since when the adapter has been requested: the first one is sent first.
    requested_ms: u64,
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
    /// Since when the adapter has been requested.
    since_ms: u64,
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
    /// Until when each replica counts as answering late.
    late_until_ms: BTreeMap<ReplicaId, u64>,
    /// When an order to each replica last had an outcome.
    answered_ms: BTreeMap<ReplicaId, u64>,
    /// When each adapter was loaded, as far as this leader ordered it.
    loaded_ms: BTreeMap<AdapterPlacement, u64>,
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
                self.start_requested_load(request.clone(), now_ms, now_ms);
                AdapterDecision::Load
            }
            _ => {
                let victim = self.least_recently_used(record, now_ms);
                self.start_eviction(victim, request, (now_ms, now_ms))
            }
        }
    }

    /// Starts the load, or the eviction that it needs, of an adapter that has gone without service
    /// since `since_ms`. The caller has checked that the replica holds its model and not the adapter.
    pub fn serve_unserved(
        &mut self,
        record: &ReplicaRecord,
        slots: usize,
        replicas: &ReplicaDirectory,
        request: &AdapterPlacement,
        (since_ms, now_ms): (u64, u64),
    ) -> AdapterDecision {
        let is_leaving =
            replicas.is_adapter_unloading(&record.id, &request.model, &request.adapter)
                || self.pending.contains_key(request);
        match self.capacity(record, slots, replicas, now_ms) {
            _ if is_leaving => AdapterDecision::Refused,
            capacity if capacity.loads_allowed == 0 => AdapterDecision::Refused,
            capacity if capacity.free_slots > 0 => {
                self.start_requested_load(request.clone(), since_ms, now_ms);
                AdapterDecision::Load
            }
            _ => {
                let idle = self.least_recently_used(record, now_ms);
                let victim = idle.or_else(|| self.longest_loaded(record, now_ms));
                self.start_eviction(victim, request, (since_ms, now_ms))
            }
        }
    }

    /// Whether a load of this adapter is pending, or a slot is being freed for it.
    pub fn is_coming(&self, placement: &AdapterPlacement) -> bool {
        self.is_loading(placement) || self.waiting.contains_key(placement)
    }

    /// Whether a load of this adapter is pending.
    pub fn is_loading(&self, placement: &AdapterPlacement) -> bool {
        let order = self.pending.get(placement);
        order.is_some_and(|order| order.kind == OrderKind::Load)
    }

    /// Whether a slot is being freed for this adapter.
    pub fn waits_for_slot(&self, placement: &AdapterPlacement) -> bool {
        let waiting = self.waiting.get(placement);
        waiting.is_some_and(|waiting| waiting.slot != SlotState::Open)
    }

    /// Gives up a load that waits for a slot, as the adapter is loaded elsewhere.
    pub fn stop_waiting(&mut self, placement: &AdapterPlacement) {
        self.waiting.remove(placement);
    }

    /// Keeps a load that waits for a slot, as its adapter is still without service.
    pub fn renew_waiting(&mut self, placement: &AdapterPlacement, now_ms: u64) {
        if let Some(waiting) = self.waiting.get_mut(placement) {
            waiting.requested_ms = now_ms;
        }
    }

    fn start_eviction(
        &mut self,
        victim: Option<AdapterPlacement>,
        request: &AdapterPlacement,
        (since_ms, now_ms): (u64, u64),
    ) -> AdapterDecision {
        let may_send = self.sends_allowed(&request.replica, now_ms) > 0;
        match victim.filter(|_| may_send) {
            Some(victim) => {
                self.insert_pending(victim.clone(), OrderKind::Unload, now_ms);
                let waiting = WaitingLoad {
                    since_ms,
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
        let mut oldest_first: Vec<_> = self.waiting.clone().into_iter().collect();
        oldest_first.sort_by_key(|(_, waiting)| waiting.since_ms);
        for (request, waiting) in oldest_first {
            let record = &records[&request.replica];
            let Some(slots) = slots(record) else {
                continue;
            };
            // The slot that is reserved for this adapter is free for it.
            self.waiting.remove(&request);
            let capacity = self.capacity(record, slots, replicas, now_ms);
            if capacity.free_slots > 0 && capacity.loads_allowed > 0 {
                self.start_requested_load(request.clone(), waiting.since_ms, now_ms);
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
    fn start_requested_load(&mut self, request: AdapterPlacement, since_ms: u64, now_ms: u64) {
        self.record_use(request.clone(), now_ms);
        self.start_load(request.clone(), now_ms);
        if let Some(order) = self.pending.get_mut(&request) {
            order.requested_ms = since_ms;
        }
    }

    /// Records that an adapter has been loaded. Its callers are given time to use it.
    fn record_loaded(&mut self, placement: AdapterPlacement, now_ms: u64) {
        self.record_use(placement.clone(), now_ms);
        self.loaded_ms.insert(placement, now_ms);
    }

    /// Number of loads at a replica that have not been sent yet.
    fn unsent_loads(&self, id: &ReplicaId) -> usize {
        let unsent = |order: &PendingOrder| order.send_at_ms.is_some() && !order.may_be_running;
        self.pending_at(id)
            .filter(|(_, order)| unsent(order))
            .count()
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
        let is_late = self.is_late(&record.id, now_ms);
        let open = MAX_LOADS_PER_REPLICA.saturating_sub(self.pending_load_count(&record.id));
        let loads_allowed = match busy_ms {
            Some(expires_ms) if *expires_ms > now_ms => 0,
            _ if is_late => {
                let sends = self.sends_allowed(&record.id, now_ms);
                open.min(sends.saturating_sub(self.unsent_loads(&record.id)))
            }
            _ => open,
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
        let sent_ms = order.sent_ms.take();
        let took_ms = sent_ms.map_or(0, |sent_ms| now_ms.saturating_sub(sent_ms));
        let is_late = outcome == OrderOutcome::Unknown || took_ms > LATE_ANSWER_MS;
        self.record_answer(&placement.replica, is_late, now_ms);
        let Some(order) = self.pending.get_mut(placement) else {
            return false;
        };
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
                if order.kind == OrderKind::Load {
                    self.record_loaded(placement.clone(), now_ms);
                }
                self.set_slot(placement, SlotState::Open);
                true
            }
            OrderOutcome::Unknown if order.kind == OrderKind::Unload => {
                order.may_be_running = true;
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
        let is_due = |placement: &AdapterPlacement, order: &PendingOrder| {
            order.send_at_ms.is_some_and(|at_ms| at_ms <= now_ms)
                && !replicas.is_unloading(&placement.replica, &placement.model)
                && !replicas.is_silent(&placement.replica)
                && is_load_committed(replicas, placement)
        };
        let due = self.pending.iter();
        let due = due.filter(|(placement, order)| is_due(placement, order));
        let due = due.map(|(placement, order)| (order.requested_ms, placement.clone()));
        let mut due: Vec<(u64, AdapterPlacement)> = due.collect();
        due.sort();
        let mut sent = Vec::new();
        for (_, placement) in due {
            if self.sends_allowed(&placement.replica, now_ms) == 0 {
                continue;
            }
            if let Some(order) = self.pending.get_mut(&placement) {
                order.send_at_ms = None;
                order.sent_ms = Some(now_ms);
                sent.push(placement);
            }
        }
        sent
    }

    /// Removes orders that have expired or whose effect shows in the directory, and takes over the
    /// loads of the previous leader. Returns the adapters that the log lists as ordered and that
    /// have no pending order any more.
    pub fn settle(&mut self, replicas: &ReplicaDirectory, now_ms: u64) -> Vec<AdapterPlacement> {
        let records = replicas.records();
        self.adopt(replicas, now_ms);
        let mut loaded = Vec::new();
        self.pending.retain(|placement, order| {
            let record = records.get(&placement.replica);
            let expired = order
                .expires_ms
                .is_some_and(|expires_ms| expires_ms <= now_ms);
            let visible = record.is_some_and(|record| holds(record, placement));
            let has_outcome = order.expires_ms.is_some() || order.may_be_running;
            let done = match order.kind {
                OrderKind::Load => visible && has_outcome,
                // The heartbeat shows what no response did: the slot is free.
                OrderKind::Unload => !visible && order.may_be_running,
            };
            // Without its model the adapter cannot be loaded. An order that loads the model again
            // raises the engine's order count beyond all earlier orders.
            if done && order.kind == OrderKind::Load && order.may_be_running {
                loaded.push(placement.clone());
            }
            let has_model = record
                .is_some_and(|record| record.models.contains_key(&placement.model))
                || replicas.is_unloading(&placement.replica, &placement.model);
            has_model && !expired && !done
        });
        for placement in loaded {
            self.record_loaded(placement, now_ms);
        }
        let ordered = records.keys().flat_map(|id| ordered_adapters(replicas, id));
        let settled = ordered.filter(|placement| !self.pending.contains_key(placement));
        let settled = settled.collect();
        self.used_ms
            .retain(|placement, _| records.contains_key(&placement.replica));
        let pending = &self.pending;
        self.loaded_ms.retain(|placement, _| {
            let record = records.get(&placement.replica);
            let held = record.is_some_and(|record| holds(record, placement));
            held || pending.contains_key(placement)
        });
        self.busy_ms.retain(|_, expires_ms| *expires_ms > now_ms);
        self.answered_ms.retain(|id, _| records.contains_key(id));
        self.late_until_ms
            .retain(|_, expires_ms| *expires_ms > now_ms);
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
                    requested_ms: now_ms,
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
            requested_ms: now_ms,
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
