//! Log lines on voters that are silent: which ones, since when, and the quorum. A set that counts
//! lost hosts looks complete until its next loss.

use crate::consensus::raft::RaftCore;
use crate::ids::NodeId;
use crate::process::wire::SilentVoter;

/// Silence after which a voter is reported, in milliseconds.
pub const SILENT_MS: u64 = 1_000;
/// Interval of log lines while voters stay silent, in milliseconds.
const REPEAT_MS: u64 = 5_000;

/// Decides when the silent voters are logged: when they change, and again while there are any.
#[derive(Debug, Default)]
pub struct VoterWatch {
    logged: Vec<NodeId>,
    logged_ms: u64,
}

impl VoterWatch {
    /// Takes the voters that are silent now, in the order of their nodes. Returns whether to log
    /// them.
    pub fn is_due(&mut self, now_ms: u64, silent: &[(NodeId, u64)]) -> bool {
        let nodes = || silent.iter().map(|(node, _)| *node);
        let repeats = !silent.is_empty() && now_ms >= self.logged_ms + REPEAT_MS;
        if !repeats && nodes().eq(self.logged.iter().copied()) {
            return false;
        }
        self.logged = nodes().collect();
        self.logged_ms = now_ms;
        true
    }
}

/// Logs the voters that are silent.
pub fn log(raft: &RaftCore, silent: &[SilentVoter]) {
    let (leads, voters) = (raft.is_leader(), raft.voters().len());
    if silent.is_empty() {
        tracing::info!(leads, voters, "no silent voters");
        return;
    }
    let (live, quorum) = (voters - silent.len(), voters / 2 + 1);
    let silent: Vec<String> = silent.iter().map(SilentVoter::to_string).collect();
    let silent = silent.join(", ");
    tracing::warn!(leads, voters, live, quorum, silent, "silent voters");
}
