//! What proves that a request did not run. Only a response built from such a proof may promise it.

/// Proof that a request did not run and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRunProof(ProofKind);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProofKind {
    Unread,
    Unsent,
    TurnedAway,
}

impl NotRunProof {
    /// Proof for a request that was not read to its end, so that nothing of it was sent.
    pub fn unread() -> Self {
        Self(ProofKind::Unread)
    }

    /// Proof for a request that is refused before it is forwarded.
    pub fn unrouted() -> Self {
        Self(ProofKind::Unsent)
    }

    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self.0 {
            ProofKind::Unread => "not read",
            ProofKind::Unsent => "not sent",
            ProofKind::TurnedAway => "turned away",
        }
    }
}

/// A replica's statement that it did not run the request of one arrival.
#[derive(Debug, PartialEq, Eq)]
pub struct ReplicaRefusal(());

impl ReplicaRefusal {
    /// Reads the statement from the head of the response to that arrival. A success that is marked
    /// as not executed contradicts itself and proves nothing.
    pub fn read(status: u16, is_marked: bool) -> Option<Self> {
        let refuses = status == 421 || (is_marked && status >= 400);
        refuses.then_some(Self(()))
    }
}

/// Records on which connections a request was sent and how often it was turned away.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SendTally {
    /// Numbers of the connections.
    connections: Vec<u64>,
    turned_away: usize,
}

impl SendTally {
    /// Records that the request is about to be sent on a connection: from now on it may run there.
    pub fn record_sent(&mut self, connection: u64) {
        self.connections.push(connection);
    }

    /// Whether the request may be sent on a connection. The id of a response does not tell which of
    /// two arrivals on the same connection it answers.
    pub fn may_use(&self, connection: u64) -> bool {
        !self.connections.contains(&connection)
    }

    /// Records that the last replica it was sent to turned it away.
    pub fn record_refusal(&mut self, _refusal: ReplicaRefusal) {
        self.turned_away += 1;
    }

    /// Returns the proof that the request did not run anywhere, if there is one.
    pub fn proof(&self) -> Option<NotRunProof> {
        match self.connections.len() {
            0 => Some(NotRunProof(ProofKind::Unsent)),
            sent if sent == self.turned_away => Some(NotRunProof(ProofKind::TurnedAway)),
            _ => None,
        }
    }
}
