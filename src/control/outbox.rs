//! Outgoing Raft messages, by peer.

use std::collections::BTreeMap;

use tokio::sync::mpsc;

use crate::consensus::raft::RaftMessage;
use crate::ids::HostName;
use crate::process::transfer::LARGE_BYTES;

/// Maximum number of messages queued for one peer.
const MESSAGE_CAPACITY: usize = 64;
/// Maximum number of large messages queued for one peer, beside the one that is being sent.
const LARGE_MESSAGE_CAPACITY: usize = 1;

/// Opens a channel to a host that had none.
pub type OpenPeer = Box<dyn Fn(&HostName) -> PeerSender + Send>;

/// Queues of the messages to one peer. Large messages have a queue of their own, so that
/// heartbeats do not wait for them.
pub struct PeerSender {
    messages: mpsc::Sender<RaftMessage>,
    large_messages: mpsc::Sender<RaftMessage>,
}

/// Receiving ends of a peer's queues.
pub struct PeerReceiver {
    /// Messages that are sent in one piece.
    pub messages: mpsc::Receiver<RaftMessage>,
    /// Messages that are sent in several pieces.
    pub large_messages: mpsc::Receiver<RaftMessage>,
}

/// Creates the queues of a peer.
pub fn peer_channel() -> (PeerSender, PeerReceiver) {
    let (messages, received) = mpsc::channel(MESSAGE_CAPACITY);
    let (large_messages, large_received) = mpsc::channel(LARGE_MESSAGE_CAPACITY);
    let sender = PeerSender {
        messages,
        large_messages,
    };
    let receiver = PeerReceiver {
        messages: received,
        large_messages: large_received,
    };
    (sender, receiver)
}

impl PeerSender {
    fn send(&self, message: RaftMessage) {
        let queue = match message.payload_bytes() >= LARGE_BYTES {
            true => &self.large_messages,
            false => &self.messages,
        };
        let _ = queue.try_send(message);
    }
}

/// Bounded queues of messages to peers. When the queue of a peer is full, further messages to
/// it are dropped, as by a network.
#[derive(Default)]
pub struct PeerOutbox {
    /// Channel of each known peer.
    pub senders: BTreeMap<HostName, PeerSender>,
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
            sender.send(message);
        }
    }
}
