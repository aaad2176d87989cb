//! What tests of several voters in one process share.

use dunlinspring::consensus::raft::{RaftCore, RaftMessage};
use dunlinspring::ids::NodeId;

/// A message, by whom and to whom.
pub type SentMessage = (NodeId, NodeId, RaftMessage);

/// Ends a batch of steps of all voters, and takes what they send.
pub fn take_sent(cores: &mut [RaftCore], now_ms: u64) -> Vec<SentMessage> {
    let mut sent = Vec::new();
    for core in cores {
        core.flush(now_ms);
        let from = core.id();
        let messages = core.take_output().messages.into_iter();
        sent.extend(messages.map(|(to, message)| (from, to, message)));
    }
    sent
}
