//! Helpers for tests of several voters in one process.

use dunlinspring::consensus::raft::{RaftCore, RaftMessage};
use dunlinspring::ids::NodeId;

/// A message with its sender and its recipient.
pub type SentMessage = (NodeId, NodeId, RaftMessage);

/// Flushes all voters after a batch of steps and returns the messages that they send.
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
