//! Whether the agents beside replicas reply to quotes.
//!
//! Pure: the caller passes in the time. Only agents with missed replies have an entry.

use std::collections::BTreeMap;

use crate::ids::ReplicaId;

/// Quotes in a row without a reply from which an agent is not asked for a while: a single datagram
/// may be lost.
const MISSES_BEFORE_PAUSE: u32 = 2;
/// Length of the first pause, in milliseconds. It doubles with each further miss.
const FIRST_PAUSE_MS: u64 = 250;
/// Longest pause, in milliseconds.
const MAX_PAUSE_MS: u64 = 8_000;

/// Quotes in a row to which one agent did not reply.
#[derive(Clone, Copy, Debug, Default)]
struct MissedQuotes {
    count: u32,
    /// When the current pause began, and when it ends.
    paused_from_ms: u64,
    paused_until_ms: u64,
}

/// Which agents do not reply, and until when they are not asked.
#[derive(Clone, Debug, Default)]
pub struct AgentBackoff {
    missed: BTreeMap<ReplicaId, MissedQuotes>,
}

impl AgentBackoff {
    /// Whether the agent beside a replica may be asked now.
    pub fn may_ask(&self, now_ms: u64, replica: &ReplicaId) -> bool {
        let missed = self.missed.get(replica);
        missed.is_none_or(|missed| missed.paused_until_ms <= now_ms)
    }

    /// Records a quote that was sent at `sent_ms` and had no reply in time. Returns the length of
    /// the pause, in milliseconds, if this is the miss with which the agent counts as silent.
    pub fn record_miss(&mut self, now_ms: u64, sent_ms: u64, replica: &ReplicaId) -> Option<u64> {
        let missed = self.missed.entry(replica.clone()).or_default();
        // Quotes that were under way together when the agent fell silent show one failure, and do
        // not lengthen the pause.
        if missed.count >= MISSES_BEFORE_PAUSE && sent_ms < missed.paused_from_ms {
            return None;
        }
        missed.count = missed.count.saturating_add(1);
        let doublings = missed.count.checked_sub(MISSES_BEFORE_PAUSE)?;
        let pause_ms = FIRST_PAUSE_MS << doublings.min(MAX_PAUSE_MS.ilog2());
        let pause_ms = pause_ms.min(MAX_PAUSE_MS);
        missed.paused_from_ms = now_ms;
        missed.paused_until_ms = now_ms + pause_ms;
        (doublings == 0).then_some(pause_ms)
    }

    /// Records a reply. Returns whether the agent counted as silent before.
    pub fn record_reply(&mut self, replica: &ReplicaId) -> bool {
        let missed = self.missed.remove(replica);
        missed.is_some_and(|missed| missed.count >= MISSES_BEFORE_PAUSE)
    }

    /// Drops the agents of replicas that are gone.
    pub fn prune(&mut self, is_known: impl Fn(&ReplicaId) -> bool) {
        self.missed.retain(|replica, _| is_known(replica));
    }

    /// Returns the number of agents with missed replies.
    pub fn len(&self) -> usize {
        self.missed.len()
    }

    /// Whether all agents reply.
    pub fn is_empty(&self) -> bool {
        self.missed.is_empty()
    }
}
