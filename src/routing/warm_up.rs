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
struct WarmupNote {
    /// By its own word.
    told_until_ms: u64,
    /// As it may have started again since that word.
    suspected_until_ms: u64,
}

impl WarmupNote {
    fn cold_until_ms(&self) -> u64 {
        self.told_until_ms.max(self.suspected_until_ms)
    }
}

/// What is believed of all peers, by their id.
#[derive(Clone, Debug)]
pub struct WarmupBook<Id> {
    notes: BTreeMap<Id, WarmupNote>,
}

impl<Id> Default for WarmupBook<Id> {
    fn default() -> Self {
        Self {
            notes: BTreeMap::new(),
        }
    }
}

impl<Id: Ord + Clone> WarmupBook<Id> {
    /// A peer tells for how much longer it is cold; its newest word counts, and settles what
    /// was suspected before.
    pub fn tell(&mut self, now_ms: u64, id: &Id, cold_ms: u64) {
        if cold_ms == 0 {
            self.notes.remove(id);
            return;
        }
        let note = self.notes.entry(id.clone()).or_default();
        note.told_until_ms = now_ms.saturating_add(cold_ms);
        note.suspected_until_ms = 0;
    }

    /// A peer may have started again, and would be cold for so long; nobody knows yet.
    pub fn suspect(&mut self, now_ms: u64, id: &Id, cold_ms: u64) {
        let note = self.notes.entry(id.clone()).or_default();
        let until_ms = now_ms.saturating_add(cold_ms);
        note.suspected_until_ms = note.suspected_until_ms.max(until_ms);
    }

    /// Whether a peer is to be treated as cold.
    pub fn is_cold(&self, now_ms: u64, id: &Id) -> bool {
        let note = self.notes.get(id);
        note.is_some_and(|note| now_ms < note.cold_until_ms())
    }

    /// Forgets what says nothing any more.
    pub fn prune(&mut self, now_ms: u64) {
        self.notes.retain(|_, note| now_ms < note.cold_until_ms());
    }
}
