//! Throttles the permit requests of one entry: no request while the leader refuses permits for a
//! peer, and no more requests in flight than are likely to be granted.
//!
//! Pure: the caller passes in the time.

use std::collections::BTreeMap;

use crate::placement::advertised_rate::AdvertisedRate;
use crate::placement::replica_rates::PermitRefusal;

/// Timeout of a permit request, in milliseconds.
pub const PERMIT_REQUEST_TIMEOUT_MS: u64 = 125;
/// Maximum number of requests in flight for one peer after a grant; after a refusal it is one.
const MAX_PENDING_REQUESTS: usize = 2;
/// Time to wait for the reply to a request in flight before checking again, in milliseconds.
const REPLY_CHECK_MS: u64 = 10;

#[derive(Clone, Debug, Default)]
struct PermitState {
    refused_until_ms: u64,
    /// Advertised rate by which the last request was refused.
    rate: Option<AdvertisedRate>,
    /// Send time of each request without a reply.
    pending_ms: Vec<u64>,
    /// Whether the last reply was a grant.
    granted: bool,
}

impl PermitState {
    fn wait_ms(&self, now_ms: u64) -> Option<u64> {
        let max_pending = if self.granted {
            MAX_PENDING_REQUESTS
        } else {
            1
        };
        let pending = self
            .pending_ms
            .iter()
            .filter(|at| now_ms < **at + PERMIT_REQUEST_TIMEOUT_MS);
        match self.refused_until_ms.saturating_sub(now_ms) {
            0 if pending.count() < max_pending => None,
            0 => Some(REPLY_CHECK_MS),
            left_ms => Some(left_ms),
        }
    }
}

/// Permit requests for all peers, by ID.
#[derive(Clone, Debug)]
pub struct PermitThrottle<Id> {
    peers: BTreeMap<Id, PermitState>,
}

impl<Id> Default for PermitThrottle<Id> {
    fn default() -> Self {
        Self {
            peers: BTreeMap::new(),
        }
    }
}

impl<Id: Ord + Clone> PermitThrottle<Id> {
    /// Records that a permit is requested.
    pub fn record_request(&mut self, now_ms: u64, id: &Id) {
        let peer = self.peers.entry(id.clone()).or_default();
        peer.pending_ms
            .retain(|at| now_ms < at + PERMIT_REQUEST_TIMEOUT_MS);
        peer.pending_ms.push(now_ms);
    }

    /// Records a grant for the request sent at `requested_ms`.
    pub fn record_grant(&mut self, requested_ms: u64, id: &Id) {
        let peer = self.peers.entry(id.clone()).or_default();
        peer.pending_ms.retain(|at| *at != requested_ms);
        peer.granted = true;
    }

    /// Records a refusal of the request sent at `requested_ms`. No permit may be requested for the
    /// time that it states.
    pub fn record_refusal(
        &mut self,
        now_ms: u64,
        requested_ms: u64,
        id: &Id,
        refusal: PermitRefusal,
    ) {
        let peer = self.peers.entry(id.clone()).or_default();
        peer.pending_ms.retain(|at| *at != requested_ms);
        peer.granted = false;
        peer.refused_until_ms = now_ms.saturating_add(refusal.wait_ms);
        peer.rate = refusal.rate;
    }

    /// Clears the state of a peer that advertises another rate: a refusal by the previous rate no
    /// longer applies.
    pub fn update_rate(&mut self, id: &Id, rate: Option<AdvertisedRate>) {
        if self.peers.get(id).is_some_and(|peer| peer.rate != rate) {
            self.peers.remove(id);
        }
    }

    /// Returns the time until a permit may be requested, in milliseconds; `None` if one may be now.
    pub fn wait_ms(&self, now_ms: u64, id: &Id) -> Option<u64> {
        self.peers.get(id)?.wait_ms(now_ms)
    }

    /// Removes state that delays no request.
    pub fn prune(&mut self, now_ms: u64) {
        self.peers.retain(|_, peer| peer.wait_ms(now_ms).is_some());
    }
}
