//! Tracks which peers are warming up, as one entry sees it.
//!
//! A peer that warms up can serve only a few requests. The leader counts the requests of all
//! entries to it, see [`crate::placement::replica_rates`]; each entry keeps until when it treats a
//! peer as cold.
//!
//! Pure: the caller passes in the time.

use std::collections::BTreeMap;

/// Warm-up state of one peer.
#[derive(Clone, Copy, Debug, Default)]
struct WarmupState {
    /// End of the warm-up by the peer's last report.
    reported_until_ms: u64,
    /// End of the warm-up if the peer has restarted since that report.
    suspected_until_ms: u64,
}

impl WarmupState {
    fn cold_until_ms(&self) -> u64 {
        self.reported_until_ms.max(self.suspected_until_ms)
    }
}

/// Warm-up state of all peers, by ID.
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
    /// Records a peer's report of its remaining warm-up time. The latest report applies and
    /// replaces a suspected restart.
    pub fn record_report(&mut self, now_ms: u64, id: &Id, cold_ms: u64) {
        if cold_ms == 0 {
            self.peers.remove(id);
            return;
        }
        let peer = self.peers.entry(id.clone()).or_default();
        peer.reported_until_ms = now_ms.saturating_add(cold_ms);
        peer.suspected_until_ms = 0;
    }

    /// Records that a peer may have restarted and would then be cold for `cold_ms`.
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

    /// Removes peers that are no longer cold.
    pub fn prune(&mut self, now_ms: u64) {
        self.peers.retain(|_, peer| now_ms < peer.cold_until_ms());
    }
}
