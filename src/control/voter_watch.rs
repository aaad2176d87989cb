//! Log lines on voters that are silent: which ones, since when, and how many more losses the set
//! of voters can bear. A set that counts lost hosts looks complete until its next loss.

use std::collections::BTreeSet;

use crate::consensus::raft::RaftCore;
use crate::ids::NodeId;
use crate::process::wire::SilentVoter;

/// Silence after which a voter is reported, in milliseconds.
pub const SILENT_MS: u64 = 1_000;
/// Interval of log lines while voters stay silent, in milliseconds.
const REPEAT_MS: u64 = 5_000;

/// Logs changes of the silent voters, and repeats the line while there are any.
#[derive(Debug, Default)]
pub struct VoterWatch {
    logged: BTreeSet<NodeId>,
    logged_ms: u64,
}

impl VoterWatch {
    /// Takes the voters that are silent now.
    pub fn observe(&mut self, now_ms: u64, raft: &RaftCore, silent: &[SilentVoter]) {
        let nodes: BTreeSet<NodeId> = silent.iter().map(|voter| voter.node).collect();
        let due = !nodes.is_empty() && now_ms >= self.logged_ms + REPEAT_MS;
        if nodes == self.logged && !due {
            return;
        }
        let voters = raft.voters().len();
        let (live, quorum) = (voters - nodes.len(), voters / 2 + 1);
        let leads = raft.is_leader();
        let silent: Vec<String> = silent.iter().map(SilentVoter::to_string).collect();
        let silent = silent.join(", ");
        match nodes.is_empty() {
            true => tracing::info!(leads, voters, "no silent voters"),
            false => tracing::warn!(leads, voters, live, quorum, silent, "silent voters"),
        }
        self.logged = nodes;
        self.logged_ms = now_ms;
    }
}
