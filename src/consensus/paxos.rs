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
pub struct NamingBallot {
    /// Counts up; first, as it decides which ballot goes before.
    pub round: u64,
    /// The process that tries.
    pub life: Incarnation,
}

/// What one named host asks of all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamingAsk {
    /// The named hosts, as the asker was told.
    pub named: BTreeSet<HostName>,
    /// The try.
    pub ballot: NamingBallot,
    /// Record this name; without one, promise to record nothing for lower ballots.
    pub name: Option<HostName>,
}

impl NamingAsk {
    /// The second half of the same try.
    pub fn record(mut self, name: HostName) -> Self {
        self.name = Some(name);
        self
    }
}

/// What a named host answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NamingAnswer {
    /// Promised or recorded; with what stands recorded.
    Granted(Option<(NamingBallot, HostName)>),
    /// A higher ballot was promised.
    Outbid(NamingBallot),
    /// This host does not know what it recorded, or was told of other hosts.
    Abstains,
}

/// One named host's part, from the site's first start until its process ends.
#[derive(Clone, Debug)]
pub struct NamingBook {
    named: BTreeSet<HostName>,
    life: Incarnation,
    promised: NamingBallot,
    recorded: Option<(NamingBallot, HostName)>,
    /// The highest round that was tried or heard of.
    round: u64,
}

impl NamingBook {
    /// A book with nothing in it; `life` must be new with each process.
    pub fn new(named: BTreeSet<HostName>, life: Incarnation) -> Self {
        Self {
            named,
            life,
            promised: NamingBallot::default(),
            recorded: None,
            round: 0,
        }
    }

    /// Answers a named host, this one among them.
    pub fn answer(&mut self, ask: &NamingAsk) -> NamingAnswer {
        if ask.named != self.named {
            return NamingAnswer::Abstains;
        }
        if ask.ballot < self.promised {
            return NamingAnswer::Outbid(self.promised);
        }
        self.promised = ask.ballot;
        if let Some(name) = &ask.name {
            self.recorded = Some((ask.ballot, name.clone()));
        }
        NamingAnswer::Granted(self.recorded.clone())
    }

    /// Begins a try, above all that this host has heard of.
    pub fn begin(&mut self) -> NamingAsk {
        self.round = self.round.max(self.promised.round) + 1;
        NamingAsk {
            named: self.named.clone(),
            ballot: NamingBallot {
                round: self.round,
                life: self.life,
            },
            name: None,
        }
    }

    /// Whether a majority granted what was asked; one answer a host.
    pub fn is_granted(&mut self, answers: &[NamingAnswer]) -> bool {
        for answer in answers {
            if let NamingAnswer::Outbid(ballot) = answer {
                self.round = self.round.max(ballot.round);
            }
        }
        let granted = |answer: &&NamingAnswer| matches!(answer, NamingAnswer::Granted(_));
        answers.iter().filter(granted).count() * 2 > self.named.len()
    }
}

/// The name that must be recorded after these promises: the newest that may be agreed on
/// already, else `fresh`.
pub fn name_after(answers: &[NamingAnswer], fresh: &HostName) -> HostName {
    let recorded = answers.iter().filter_map(|answer| match answer {
        NamingAnswer::Granted(recorded) => recorded.as_ref(),
        _ => None,
    });
    let newest = recorded.max_by_key(|(ballot, _)| *ballot);
    newest.map_or(fresh, |(_, name)| name).clone()
}
