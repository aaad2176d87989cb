//! When one entry may ask again for a permit to send to a peer: not while the leader has none
//! to give, and not with more questions at once than can be answered with a permit.
//!
//! Pure: the caller passes in the time.

use std::collections::BTreeMap;

use crate::placement::named_rate::NamedRate;
use crate::placement::replica_rates::PermitRefusal;

/// Time after which a question gets no answer any more, in milliseconds.
pub const PERMIT_REQUEST_TIMEOUT_MS: u64 = 125;
/// Questions at once after a permit was given; after a refusal it is one.
const MAX_PENDING_REQUESTS: usize = 2;
/// When it is looked again whether a question has been answered, in milliseconds.
const REPLY_CHECK_MS: u64 = 10;

#[derive(Clone, Debug, Default)]
struct PermitState {
    refused_until_ms: u64,
    /// The limit under which it was refused.
    rate: Option<NamedRate>,
    /// When each question that has no answer was asked.
    pending_ms: Vec<u64>,
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

/// The pace of all peers, by their id.
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
    /// A permit is asked for.
    pub fn record_request(&mut self, now_ms: u64, id: &Id) {
        let peer = self.peers.entry(id.clone()).or_default();
        peer.pending_ms
            .retain(|at| now_ms < at + PERMIT_REQUEST_TIMEOUT_MS);
        peer.pending_ms.push(now_ms);
    }

    /// What was asked at `requested_ms` is permitted.
    pub fn record_grant(&mut self, requested_ms: u64, id: &Id) {
        let peer = self.peers.entry(id.clone()).or_default();
        peer.pending_ms.retain(|at| *at != requested_ms);
        peer.granted = true;
    }

    /// What was asked at `requested_ms` is refused, and so is all else for a time.
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

    /// A peer names another limit: what was refused under the one before says nothing.
    pub fn update_rate(&mut self, id: &Id, rate: Option<NamedRate>) {
        if self.peers.get(id).is_some_and(|peer| peer.rate != rate) {
            self.peers.remove(id);
        }
    }

    /// Time until a permit may be asked for, in milliseconds; none where it may now.
    pub fn wait_ms(&self, now_ms: u64, id: &Id) -> Option<u64> {
        self.peers.get(id)?.wait_ms(now_ms)
    }

    /// Forgets what says nothing any more.
    pub fn prune(&mut self, now_ms: u64) {
        self.peers.retain(|_, peer| peer.wait_ms(now_ms).is_some());
    }
}
