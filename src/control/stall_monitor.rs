//! Logs when a voter's thread falls behind: then leaders change although all hosts are up.

use crate::clock;
use crate::consensus::raft::RaftCore;
use crate::ids::Term;

/// Observes the turns of a voter's event loop.
#[derive(Debug)]
pub struct StallMonitor {
    /// Duration that counts as a stall, in milliseconds.
    threshold_ms: u64,
    /// When the latest turn ended.
    turn_ended_ms: u64,
    term: Term,
}

impl StallMonitor {
    /// Creates the monitor of a loop whose stalls of `threshold_ms` are logged.
    pub fn new(threshold_ms: u64) -> Self {
        Self {
            threshold_ms,
            turn_ended_ms: clock::monotonic_ms(),
            term: Term(0),
        }
    }

    /// Records that a turn has begun: the thread was not scheduled if it begins late.
    pub fn turn_begins(&self, now_ms: u64) {
        let stalled_ms = now_ms.saturating_sub(self.turn_ended_ms);
        if stalled_ms >= self.threshold_ms {
            tracing::info!(stalled_ms, "voter was not scheduled");
        }
    }

    /// Records the end of a turn. A term that has begun since the previous turn is logged.
    pub fn turn_ends(&mut self, raft: &RaftCore) {
        self.turn_ended_ms = clock::monotonic_ms();
        if self.term != raft.term() {
            self.term = raft.term();
            let (term, leader) = (self.term, raft.leader());
            let leaderless_ms = raft.leaderless_ms(self.turn_ended_ms);
            tracing::info!(%term, ?leader, leaderless_ms, "term begins");
        }
    }
}
