//! Which host founds a site, where no host that all were told of has a disk: agreed once,
//! by hosts that remember only while they run.
//!
//! Agreement on a single value (Lamport, "Paxos Made Simple", 2001) by a majority of the
//! named hosts. One that has restarted cannot know what it recorded, so it takes no part
//! any more: of three, one may be lost while the founder is named. With more, nobody is
//! named rather than a second one.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::ids::{HostName, Incarnation};

/// A try to have a founder agreed on. No two are alike: each has the life of its maker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PaxosBallot {
    /// Counts up; first, as it decides which ballot goes before.
    pub round: u64,
    /// The process that tries.
    pub incarnation: Incarnation,
}

/// What one named host asks of all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaxosRequest {
    /// The named hosts, as the asker was told.
    pub hosts: BTreeSet<HostName>,
    /// The try.
    pub ballot: PaxosBallot,
    /// Record this name; without one, promise to record nothing for lower ballots.
    pub value: Option<HostName>,
}

impl PaxosRequest {
    /// The second half of the same try.
    pub fn accept(mut self, value: HostName) -> Self {
        self.value = Some(value);
        self
    }
}

/// What a named host answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PaxosReply {
    /// Promised or recorded; with what stands recorded.
    Granted(Option<(PaxosBallot, HostName)>),
    /// A higher ballot was promised.
    Preempted(PaxosBallot),
    /// This host does not know what it recorded, or was told of other hosts.
    Abstained,
}

/// One named host's part, from the site's first start until its process ends.
#[derive(Clone, Debug)]
pub struct PaxosAcceptor {
    hosts: BTreeSet<HostName>,
    incarnation: Incarnation,
    promised: PaxosBallot,
    accepted: Option<(PaxosBallot, HostName)>,
    /// The highest round that was tried or heard of.
    round: u64,
}

impl PaxosAcceptor {
    /// A book with nothing in it; `incarnation` must be new with each process.
    pub fn new(hosts: BTreeSet<HostName>, incarnation: Incarnation) -> Self {
        Self {
            hosts,
            incarnation,
            promised: PaxosBallot::default(),
            accepted: None,
            round: 0,
        }
    }

    /// Answers a named host, this one among them.
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

    /// Begins a try, above all that this host has heard of.
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

    /// Whether a majority granted what was asked; one answer a host.
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

/// The name that must be recorded after these promises: the newest that may be agreed on
/// already, else `fresh`.
pub fn value_to_accept(replies: &[PaxosReply], fresh: &HostName) -> HostName {
    let accepted = replies.iter().filter_map(|reply| match reply {
        PaxosReply::Granted(accepted) => accepted.as_ref(),
        _ => None,
    });
    let newest = accepted.max_by_key(|(ballot, _)| *ballot);
    newest.map_or(fresh, |(_, value)| value).clone()
}
