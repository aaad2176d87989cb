//! Which peers warm up, as one entry believes.
//!
//! A peer that warms up bears few requests. How many it gets from all entries together is
//! counted by the leader, see [`crate::placement::replica_rates`]; this is what each entry holds
//! by itself: until when it treats a peer as cold.
//!
//! Pure: the caller passes in the time.

use std::collections::BTreeMap;

/// What is believed of one peer.
#[derive(Clone, Copy, Debug, Default)]
struct WarmupState {
    /// By its own word.
    reported_until_ms: u64,
    /// As it may have started again since that word.
    suspected_until_ms: u64,
}

impl WarmupState {
    fn cold_until_ms(&self) -> u64 {
        self.reported_until_ms.max(self.suspected_until_ms)
    }
}

/// What is believed of all peers, by their id.
#[derive(Clone, Debug)]
pub struct WarmupTracker<Id> {
    peers: BTreeMap<Id, WarmupState>,
}

impl<Id> Default for WarmupTracker<Id> {
    fn default() -> Self {
        Self {
            peers: BTreeMap::new(),
        }
    }
}

impl<Id: Ord + Clone> WarmupTracker<Id> {
    /// A peer tells for how much longer it is cold; its newest word counts, and settles what
    /// was suspected before.
    pub fn record_report(&mut self, now_ms: u64, id: &Id, cold_ms: u64) {
        if cold_ms == 0 {
            self.peers.remove(id);
            return;
        }
        let peer = self.peers.entry(id.clone()).or_default();
        peer.reported_until_ms = now_ms.saturating_add(cold_ms);
        peer.suspected_until_ms = 0;
    }

    /// A peer may have started again, and would be cold for so long; nobody knows yet.
    pub fn suspect_restart(&mut self, now_ms: u64, id: &Id, cold_ms: u64) {
        let peer = self.peers.entry(id.clone()).or_default();
        let until_ms = now_ms.saturating_add(cold_ms);
        peer.suspected_until_ms = peer.suspected_until_ms.max(until_ms);
    }

    /// Whether a peer is to be treated as cold.
    pub fn is_cold(&self, now_ms: u64, id: &Id) -> bool {
        let peer = self.peers.get(id);
        peer.is_some_and(|peer| now_ms < peer.cold_until_ms())
    }

    /// Forgets what says nothing any more.
    pub fn prune(&mut self, now_ms: u64) {
        self.peers.retain(|_, peer| now_ms < peer.cold_until_ms());
    }
}
