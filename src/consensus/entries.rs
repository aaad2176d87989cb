//! The replicated log's entries, what goes to disk, and the messages between voters.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::ids::{NodeId, Position, Term};

/// An index of the log and the term of its entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogMark {
    /// The entry's term. First, as the newer log is judged by it first.
    pub term: Term,
    /// The entry's index.
    pub index: Position,
}

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: opens a term.
    Noop,
    /// The voters from this entry on.
    Voters(BTreeSet<NodeId>),
    /// A command to the state machine, encoded.
    Command(Vec<u8>),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Where it stands.
    pub mark: LogMark,
    /// What it carries.
    pub payload: Payload,
}

/// The state machine up to an index, encoded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogSnapshot {
    /// The last entry that it includes.
    pub last: LogMark,
    /// The voters at that entry.
    pub voters: BTreeSet<NodeId>,
    /// The encoded state.
    pub state: Vec<u8>,
}

/// A durable change; see the module's rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DiskRecord {
    /// The current term and the vote given in it.
    Vote(Term, Option<NodeId>),
    /// Entries are dropped from this index on, then others may follow.
    Truncate(Position),
    /// An entry after all before it.
    Append(LogEntry),
    /// Replaces the log up to the snapshot.
    Install(LogSnapshot),
    /// Entries up to this one are committed. Written along with other records,
    /// so that a restarted voter knows them before it has heard a leader.
    Commit(Position),
}

/// What a restarted voter reads back from its disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DiskImage {
    /// Term and vote.
    pub vote: (Term, Option<NodeId>),
    /// The last snapshot.
    pub snapshot: LogSnapshot,
    /// The entries after it.
    pub entries: Vec<LogEntry>,
    /// The highest entry that is known to be committed.
    pub commit: Position,
}

impl DiskImage {
    /// Replays one record.
    pub fn apply(&mut self, record: DiskRecord) {
        match record {
            DiskRecord::Vote(term, vote) => self.vote = (term, vote),
            DiskRecord::Truncate(from) => self.entries.retain(|e| e.mark.index < from),
            DiskRecord::Append(entry) => self.entries.push(entry),
            DiskRecord::Commit(index) => self.commit = self.commit.max(index),
            DiskRecord::Install(snapshot) => {
                self.entries.retain(|e| e.mark.index > snapshot.last.index);
                self.snapshot = snapshot;
            }
        }
    }
}

/// A message between voters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RaftMessage {
    /// Asks whether a vote in `term` would be given.
    PreVote {
        /// The term the candidate would open.
        term: Term,
        /// The candidate's last entry.
        last: LogMark,
    },
    /// Answers a pre-vote.
    PreVoteReply {
        /// The term asked about, or the voter's own when refused.
        term: Term,
        /// Whether a vote would be given.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// The candidate's term.
        term: Term,
        /// The candidate's last entry.
        last: LogMark,
        /// The old leader asked for this election and gave up its lease.
        handover: bool,
    },
    /// Answers a vote.
    VoteReply {
        /// The voter's term.
        term: Term,
        /// Whether the vote was given.
        granted: bool,
    },
    /// Replicates entries; a heartbeat where there are none.
    Append {
        /// The leader's term.
        term: Term,
        /// The entry before the first one sent.
        prev: LogMark,
        /// The entries.
        entries: Vec<LogEntry>,
        /// The leader's commit index.
        commit: Position,
        /// The leader's clock when it sent this; echoed for its lease.
        sent_ms: u64,
    },
    /// Answers an append.
    AppendReply {
        /// The follower's term.
        term: Term,
        /// On success the last matching index, else where to try next.
        at: Position,
        /// Whether `prev` matched.
        matched: bool,
        /// Echo of the leader's clock.
        sent_ms: u64,
    },
    /// Replaces a follower's log that is too far behind.
    Install {
        /// The leader's term.
        term: Term,
        /// The snapshot.
        snapshot: LogSnapshot,
        /// The leader's clock; echoed for its lease.
        sent_ms: u64,
    },
    /// Asks the receiver to stand for election at once.
    Handover {
        /// The leader's term.
        term: Term,
    },
}

impl RaftMessage {
    /// The sender's term.
    pub fn term(&self) -> Term {
        match self {
            Self::PreVote { term, .. }
            | Self::PreVoteReply { term, .. }
            | Self::Vote { term, .. }
            | Self::VoteReply { term, .. }
            | Self::Append { term, .. }
            | Self::AppendReply { term, .. }
            | Self::Install { term, .. }
            | Self::Handover { term } => *term,
        }
    }
}
