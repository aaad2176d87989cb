//! Agreement on the bootstrap host of a new site, for the case that none of the configured
//! hosts has a disk. The agreement is reached once, by hosts that keep its state in memory
//! only.
//!
//! Single-value consensus (Lamport, "Paxos Made Simple", 2001) by a majority of the configured
//! hosts. A restarted host cannot know what it accepted, so it no longer takes part: with three
//! hosts, one may be lost before agreement. If more are lost, no host is chosen, rather than
//! two.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::ids::{HostName, Incarnation};

/// Ballot of one attempt to reach agreement. Unique, as it contains the incarnation of its
/// proposer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PaxosBallot {
    /// Round number. First field, as it takes precedence in the order of ballots.
    pub round: u64,
    /// Incarnation of the proposing process.
    pub incarnation: Incarnation,
}

/// Request of one configured host to all of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaxosRequest {
    /// Configured hosts, as known to the proposer.
    pub hosts: BTreeSet<HostName>,
    /// Ballot of this attempt.
    pub ballot: PaxosBallot,
    /// Value to accept; `None` asks for a promise to accept nothing for lower ballots.
    pub value: Option<HostName>,
}

impl PaxosRequest {
    /// Returns the accept request (phase 2) of the same ballot.
    pub fn accept(mut self, value: HostName) -> Self {
        self.value = Some(value);
        self
    }
}

/// Reply of a configured host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PaxosReply {
    /// Promised or accepted; holds the accepted value, if any.
    Granted(Option<(PaxosBallot, HostName)>),
    /// A higher ballot was promised.
    Preempted(PaxosBallot),
    /// This host does not know what it accepted, or has a different set of configured hosts.
    Abstained,
}

/// Paxos state of one configured host, from the site's first start until its process ends.
#[derive(Clone, Debug)]
pub struct PaxosAcceptor {
    hosts: BTreeSet<HostName>,
    incarnation: Incarnation,
    promised: PaxosBallot,
    accepted: Option<(PaxosBallot, HostName)>,
    /// Highest round attempted or observed.
    round: u64,
}

impl PaxosAcceptor {
    /// Creates an empty state; `incarnation` must be unique to each process.
    pub fn new(hosts: BTreeSet<HostName>, incarnation: Incarnation) -> Self {
        Self {
            hosts,
            incarnation,
            promised: PaxosBallot::default(),
            accepted: None,
            round: 0,
        }
    }

    /// Replies to a request of a configured host, possibly this one.
    pub fn respond(&mut self, request: &PaxosRequest) -> PaxosReply {
        if request.hosts != self.hosts {
            return PaxosReply::Abstained;
        }
        if request.ballot < self.promised {
            return PaxosReply::Preempted(self.promised);
        }
        self.promised = request.ballot;
        if let Some(value) = &request.value {
            self.accepted = Some((request.ballot, value.clone()));
        }
        PaxosReply::Granted(self.accepted.clone())
    }

    /// Starts a new attempt (phase 1) with a ballot above all observed ones.
    pub fn prepare(&mut self) -> PaxosRequest {
        self.round = self.round.max(self.promised.round) + 1;
        PaxosRequest {
            hosts: self.hosts.clone(),
            ballot: PaxosBallot {
                round: self.round,
                incarnation: self.incarnation,
            },
            value: None,
        }
    }

    /// Returns whether a majority granted the request; expects one reply per host.
    pub fn has_majority(&mut self, replies: &[PaxosReply]) -> bool {
        for reply in replies {
            if let PaxosReply::Preempted(ballot) = reply {
                self.round = self.round.max(ballot.round);
            }
        }
        let granted = |reply: &&PaxosReply| matches!(reply, PaxosReply::Granted(_));
        replies.iter().filter(granted).count() * 2 > self.hosts.len()
    }
}

/// Returns the value to accept after these promises: the accepted one with the highest ballot,
/// as it may be agreed on already, else `fresh`.
pub fn value_to_accept(replies: &[PaxosReply], fresh: &HostName) -> HostName {
    let accepted = replies.iter().filter_map(|reply| match reply {
        PaxosReply::Granted(accepted) => accepted.as_ref(),
        _ => None,
    });
    let newest = accepted.max_by_key(|(ballot, _)| *ballot);
    newest.map_or(fresh, |(_, value)| value).clone()
}
