//! Room in the queues of plain services: whether a replica with a full set of slots would still
//! serve one more request in time.
//!
//! The prediction needs a load that the replica reported lately, the measured time of one request
//! and the number of entries; without one of them a replica counts as full once its slots are
//! taken. Several entries act on reports of the same replica at once. If each used all of the room
//! that it sees, they would together exceed it by the number of entries; so each entry keeps to its
//! part of the requests that the replica can serve in time.

use crate::forward::need::Need;
use crate::forward::replica_state::ReplicaState;
use crate::ids::ServiceName;
use crate::table::configuration::RouteSpec;

use super::{LoadReport, ReplicaTable};

/// Weight of the newest response in the moving average of the time of one request.
const REQUEST_TIME_WEIGHT: f64 = 0.1;
/// Entries are of unequal size, and not all of them use all replicas: each may use twice its equal
/// part. The reported load limits the sum wherever it is not outdated.
const FAIR_FACTOR: f64 = 2.0;
/// Part of the predicted room that requests of each rank may use; further ranks use the last one. A
/// plain service serves its queue in the order of arrival, so that without a margin, bursts of a
/// less urgent rank would fill it before urgent requests arrive.
const RANK_PARTS: [f64; 3] = [1.0, 0.75, 0.5];

/// Moving average of the time that a replica works on one request, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct RequestTime {
    smoothed_ms: Option<f64>,
}

impl RequestTime {
    fn observe(&mut self, ms: f64) {
        let known_ms = self.smoothed_ms.unwrap_or(ms);
        self.smoothed_ms = Some(known_ms + (ms - known_ms) * REQUEST_TIME_WEIGHT);
    }
}

/// Queue of one replica, as this entry knows it.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::forward) struct ReplicaQueue {
    report: Option<LoadReport>,
    /// Requests of other entries in the report.
    others: u32,
    request_time: RequestTime,
    /// Waiting requests at which the replica last refused one.
    limit: Option<u32>,
}

impl ReplicaQueue {
    /// Records a report that came with a response. `own` counts the requests of this entry at the
    /// replica, with the one that the response ends: the report no longer counts that one.
    pub(super) fn record_report(&mut self, report: LoadReport, own: u32) {
        let all = report.running.saturating_add(report.waiting);
        self.others = all.saturating_sub(own.saturating_sub(1));
        self.report = Some(report);
        // The queue has become longer than the one that refused a request.
        self.limit = self.limit.filter(|limit| *limit >= report.waiting);
    }

    /// Records that the replica refused a request as full, right after its report.
    pub(super) fn record_refusal(&mut self) {
        let waiting = self.report.map(|report| report.waiting);
        self.limit = waiting.filter(|waiting| *waiting > 0).or(self.limit);
    }
}

/// Requests of a plain service at its replicas, as this entry knows them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceQueue {
    /// For replicas without measurements of their own.
    request_time: RequestTime,
    /// Whether a replica has reported waiting requests.
    queues: bool,
}

impl ServiceQueue {
    /// Records that a replica reported waiting requests.
    pub(super) fn record_waiting(&mut self) {
        self.queues = true;
    }

    /// Records the response of a replica `took_ms` after its request was sent. The load in the
    /// response shows how many requests were waiting; in a steady state as many were ahead of this
    /// one.
    pub(super) fn record_response(&mut self, replica: &mut ReplicaQueue, took_ms: f64) {
        if let Some(report) = replica.report {
            let ahead = f64::from(report.waiting) / f64::from(report.slots.max(1));
            let request_ms = took_ms / (1.0 + ahead);
            replica.request_time.observe(request_ms);
            self.request_time.observe(request_ms);
        }
    }
}

/// What the rule weighs for one replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueView {
    /// Running and waiting requests, of all entries.
    pub load: f64,
    /// Those of this entry.
    pub own: u32,
    /// Waiting requests.
    pub waiting: f64,
    /// Waiting requests at which the replica last refused one.
    pub limit: Option<u32>,
    /// Requests that may run at once.
    pub slots: u32,
    /// Measured time of one request, in milliseconds.
    pub request_ms: f64,
    /// Number of entries.
    pub entries: u32,
}

impl QueueView {
    /// Whether one more request of this urgency would end within the latency target, and this entry
    /// has not used up its part of the requests that the replica can serve in that time.
    pub fn has_room(&self, limit_ms: u64, urgency: usize) -> bool {
        let rank_part = RANK_PARTS[urgency.min(RANK_PARTS.len() - 1)];
        let slots = f64::from(self.slots.max(1));
        let spare_ms = limit_ms as f64 - self.request_ms;
        let wait_ms = (self.load - slots + 1.0) * self.request_ms / slots;
        let most = slots + spare_ms * slots / self.request_ms.max(f64::MIN_POSITIVE);
        let part = most * FAIR_FACTOR / f64::from(self.entries.max(1));
        let queue_full = self
            .limit
            .is_some_and(|limit| self.waiting >= f64::from(limit));
        wait_ms <= spare_ms * rank_part && f64::from(self.own) + 1.0 <= part.max(1.0) && !queue_full
    }
}

impl ReplicaTable {
    /// Sets the number of entries, as the leader reports it.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = Some(entries.max(1));
    }

    /// Replaces the shortest latency targets of services.
    pub fn update_routes(&mut self, routes: &[RouteSpec]) {
        self.shortest_targets_ms.clear();
        for route in routes {
            for (service, _) in &route.split {
                let known = self.shortest_targets_ms.entry(service.clone());
                let shortest_ms = known.or_insert(route.latency_goal_ms);
                *shortest_ms = route.latency_goal_ms.min(*shortest_ms);
            }
        }
    }

    /// Whether replicas of a plain service queue requests beyond their slots: one has reported
    /// waiting requests.
    pub fn queues_requests(&self, service: &ServiceName) -> bool {
        let queue = self.service_queues.get(service);
        queue.is_some_and(|queue| queue.queues)
    }

    /// Whether a replica of a plain service with no free slot is predicted to serve one more
    /// request in time.
    pub(super) fn has_queue_room(&self, state: &ReplicaState, need: &Need, now_ms: u64) -> bool {
        let fresh = now_ms.saturating_sub(state.reported.at_ms) < self.policy.fade_ms;
        if need.model.is_some() || !fresh || !self.applies(self.policy.queue_room) {
            return false;
        }
        // Requests with a long target would otherwise fill the queue up to it, and leave no room for
        // those with a short one.
        let shortest_ms = self.shortest_targets_ms.get(&state.record.service);
        let limit_ms = shortest_ms.map_or(need.limit_ms, |ms| need.limit_ms.min(*ms));
        let view = self.queue_view(state);
        view.is_some_and(|view| view.has_room(limit_ms, need.urgency))
    }

    fn queue_view(&self, state: &ReplicaState) -> Option<QueueView> {
        state.queue.report?;
        let of_service = || {
            let queue = self.service_queues.get(&state.record.service)?;
            queue.request_time.smoothed_ms
        };
        let request_ms = state.queue.request_time.smoothed_ms.or_else(of_service)?;
        let own = state.waiting + state.running;
        // Not faded: a queue that was reported counts in full until its report is too old.
        let load = f64::from(own) + f64::from(state.queue.others);
        Some(QueueView {
            load,
            own,
            waiting: (load - f64::from(state.slots)).max(0.0),
            limit: state.queue.limit,
            slots: state.slots,
            request_ms,
            entries: self.entries?,
        })
    }
}
