//! Which replicas answer orders late, and how many orders may be sent to a replica at once.

use crate::ids::ReplicaId;

use super::AdapterOrders;

/// Maximum number of orders to a replica that are being sent. They are sent one at a time, so a
/// later decision is based on newer requests.
const MAX_UNANSWERED_ORDERS: usize = 2;
/// The same for a replica that answers late.
const MAX_UNANSWERED_LATE_ORDERS: usize = 1;
/// Time without a response after which a replica counts as answering late, in milliseconds.
pub(super) const LATE_ANSWER_MS: u64 = 300;
/// Time for which a replica counts as answering late, in milliseconds, unless it answers sooner.
const LATE_TTL_MS: u64 = 10_000;
/// Longest time that an order is being sent, in milliseconds: some attempts of it, and of the order
/// before it. The outcome of one that takes longer is lost.
const MAX_SENDING_MS: u64 = 15_000;

impl AdapterOrders {
    /// Records that a replica answered an order late or not at all, or promptly.
    pub fn record_answer(&mut self, id: &ReplicaId, is_late: bool, now_ms: u64) {
        self.answered_ms.insert(id.clone(), now_ms);
        match is_late {
            true => self.late_until_ms.insert(id.clone(), now_ms + LATE_TTL_MS),
            false => self.late_until_ms.remove(id),
        };
    }

    /// When an order to a replica last had an outcome, in milliseconds; 0 if none had.
    pub fn answered_ms(&self, id: &ReplicaId) -> u64 {
        self.answered_ms.get(id).copied().unwrap_or(0)
    }

    /// Whether a replica answers orders late.
    pub fn is_late(&self, id: &ReplicaId, now_ms: u64) -> bool {
        let until_ms = self.late_until_ms.get(id).copied().unwrap_or(0);
        let unanswered = self.unanswered(id, now_ms);
        until_ms > now_ms
            || unanswered.is_some_and(|(_, since_ms)| since_ms + LATE_ANSWER_MS <= now_ms)
    }

    /// Number of orders that may be sent to a replica now, before one of those that are being sent
    /// has an outcome.
    pub(super) fn sends_allowed(&self, id: &ReplicaId, now_ms: u64) -> usize {
        let limit = match self.is_late(id, now_ms) {
            true => MAX_UNANSWERED_LATE_ORDERS,
            false => MAX_UNANSWERED_ORDERS,
        };
        let unanswered = self.unanswered(id, now_ms).map_or(0, |(count, _)| count);
        limit.saturating_sub(unanswered)
    }

    /// Returns the orders at a replica that are being sent, and since when the first of them is, in
    /// milliseconds.
    pub fn unanswered(&self, id: &ReplicaId, now_ms: u64) -> Option<(usize, u64)> {
        let here = self.pending_at(id);
        let sent = here.filter_map(|(_, order)| order.sent_ms);
        let sent = sent.filter(|sent_ms| sent_ms + MAX_SENDING_MS > now_ms);
        let since_ms = sent.clone().min()?;
        Some((sent.count(), since_ms))
    }
}
