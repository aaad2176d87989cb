//! Outgoing Raft messages, by peer.

use std::collections::BTreeMap;

use tokio::sync::mpsc;

use crate::consensus::raft::RaftMessage;
use crate::ids::HostName;

/// Opens a channel to a host that had none.
pub type OpenPeer = Box<dyn Fn(&HostName) -> mpsc::Sender<RaftMessage> + Send>;

/// Bounded queues of messages to peers. When the queue of a peer is full, further messages to
/// it are dropped, as by a network.
#[derive(Default)]
pub struct PeerOutbox {
    /// Channel of each known peer.
    pub senders: BTreeMap<HostName, mpsc::Sender<RaftMessage>>,
    /// Opens further channels; set where any host may become a voter.
    pub open: Option<OpenPeer>,
}

impl PeerOutbox {
    pub(super) fn send(&mut self, host: &HostName, message: RaftMessage) {
        if let Some(open) = &self.open
            && !self.senders.contains_key(host)
        {
            self.senders.insert(host.clone(), open(host));
        }
        if let Some(sender) = self.senders.get(host) {
            let _ = sender.try_send(message);
        }
    }
}
