//! The voter's messages to its peers.

use std::collections::BTreeMap;

use tokio::sync::mpsc;

use crate::consensus::raft::RaftMessage;
use crate::ids::HostName;

/// Opens the way to a host that was not known before.
pub type OpenPeer = Box<dyn Fn(&HostName) -> mpsc::Sender<RaftMessage> + Send>;

/// Messages to one peer wait here; when it is full, they are dropped, as a
/// network would.
#[derive(Default)]
pub struct PeerOutbox {
    /// The ways that are open.
    pub senders: BTreeMap<HostName, mpsc::Sender<RaftMessage>>,
    /// Opens further ones, where any host may become a voter.
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
