//! Entries of the replicated log, records on disk, and messages between voters.

use std::collections::BTreeSet;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ids::{NodeId, Position, Term};

/// Index of a log entry and its term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogMark {
    /// Term of the entry. First field, as it takes precedence when two logs are compared.
    pub term: Term,
    /// Index of the entry.
    pub index: Position,
}

/// Payload of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No operation: appended by a new leader to open its term.
    Noop,
    /// Voters from this entry on.
    Voters(BTreeSet<NodeId>),
    /// Encoded command for the state machine. Copies of an entry share it.
    Command(Bytes),
}

impl Payload {
    fn bytes(&self) -> &[u8] {
        match self {
            Self::Command(bytes) => bytes,
            Self::Noop | Self::Voters(_) => &[],
        }
    }

    fn bytes_mut(&mut self) -> Option<&mut Bytes> {
        match self {
            Self::Command(bytes) => Some(bytes),
            Self::Noop | Self::Voters(_) => None,
        }
    }
}

/// Log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Index and term of the entry.
    pub mark: LogMark,
    /// Payload of the entry.
    pub payload: Payload,
}

impl LogEntry {
    /// Returns the approximate size of the entry, in memory and on disk, in bytes.
    pub fn size(&self) -> usize {
        let payload = match &self.payload {
            Payload::Noop => 0,
            Payload::Voters(voters) => voters.len() * size_of::<NodeId>(),
            Payload::Command(bytes) => bytes.len(),
        };
        size_of::<Self>() + payload
    }
}

/// Sizes of the parts of a log that a voter holds in memory, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogUsage {
    /// Entries after the snapshot.
    pub entry_bytes: usize,
    /// Entries that the snapshot includes, kept for followers that lag slightly.
    pub retained_bytes: usize,
    /// State machine in the snapshot.
    pub snapshot_bytes: usize,
}

/// Encoded state machine up to an index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogSnapshot {
    /// Last entry that the snapshot includes.
    pub last: LogMark,
    /// Voters as of that entry.
    pub voters: BTreeSet<NodeId>,
    /// Encoded state. Copies of a snapshot share it.
    pub state: Bytes,
}

/// Record of a durable change. Synced before dependent messages are sent; see
/// [`crate::consensus::raft`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DiskRecord {
    /// Current term and the vote given in it.
    Vote(Term, Option<NodeId>),
    /// Removes all entries from this index on; others may follow.
    Truncate(Position),
    /// Appends an entry after all previous ones.
    Append(LogEntry),
    /// Replaces the log up to the snapshot.
    Install(LogSnapshot),
    /// Entries up to this index are committed. Written along with other records, so that a
    /// restarted voter knows them before it receives anything from a leader.
    Commit(Position),
}

impl DiskRecord {
    /// Returns the approximate size of the record, in memory and on disk, in bytes.
    pub fn size(&self) -> usize {
        match self {
            Self::Append(entry) => entry.size(),
            Self::Install(snapshot) => size_of::<Self>() + snapshot.state.len(),
            Self::Vote(..) | Self::Truncate(_) | Self::Commit(_) => size_of::<Self>(),
        }
    }
}

/// Contents of a voter's disk, as read on a restart.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DiskImage {
    /// Current term and the vote given in it.
    pub vote: (Term, Option<NodeId>),
    /// Latest snapshot.
    pub snapshot: LogSnapshot,
    /// Entries after the snapshot.
    pub entries: Vec<LogEntry>,
    /// Highest index known to be committed.
    pub commit: Position,
}

impl DiskImage {
    /// Applies one record.
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

/// Message between voters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RaftMessage {
    /// Queries whether a vote in `term` would be granted.
    PreVote {
        /// Term that the candidate would start.
        term: Term,
        /// Candidate's last entry.
        last: LogMark,
    },
    /// Reply to a pre-vote.
    PreVoteReply {
        /// Term of the request, or the voter's own term if refused.
        term: Term,
        /// Whether a vote would be granted.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// Candidate's term.
        term: Term,
        /// Candidate's last entry.
        last: LogMark,
        /// Whether the previous leader requested this election and gave up its lease.
        handover: bool,
    },
    /// Reply to a vote request.
    VoteReply {
        /// Voter's term.
        term: Term,
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Replicates entries; a heartbeat if there are none.
    Append {
        /// Leader's term.
        term: Term,
        /// Entry before the first one in the message.
        prev: LogMark,
        /// Entries to append.
        entries: Vec<LogEntry>,
        /// Leader's commit index.
        commit: Position,
        /// Leader's clock at the time of sending; echoed to extend its lease.
        sent_ms: u64,
    },
    /// Reply to an append or install message.
    AppendReply {
        /// Follower's term.
        term: Term,
        /// Last matching index on success, else the index to try next.
        at: Position,
        /// Whether `prev` matched.
        matched: bool,
        /// Echo of the leader's clock.
        sent_ms: u64,
    },
    /// Replaces a follower's log that is too far behind.
    Install {
        /// Leader's term.
        term: Term,
        /// Snapshot to install.
        snapshot: LogSnapshot,
        /// Leader's clock at the time of sending; echoed to extend its lease.
        sent_ms: u64,
    },
    /// Requests that the receiver start an election at once.
    Handover {
        /// Leader's term.
        term: Term,
    },
}

impl RaftMessage {
    /// Returns the size of the commands and the state in the message, in bytes.
    pub fn payload_bytes(&self) -> usize {
        match self {
            Self::Append { entries, .. } => entries
                .iter()
                .map(|entry| entry.payload.bytes().len())
                .sum(),
            Self::Install { snapshot, .. } => snapshot.state.len(),
            _ => 0,
        }
    }

    /// Takes the commands and the state out of the message, to be sent apart from it.
    pub fn detach_payloads(&mut self) -> Vec<Bytes> {
        self.payloads_mut().map(std::mem::take).collect()
    }

    /// Puts back what [`Self::detach_payloads`] took out; `lens` are the lengths. Returns whether
    /// the bytes fit.
    pub fn attach_payloads(&mut self, lens: &[usize], mut bytes: Bytes) -> bool {
        let fits = lens.len() == self.payloads_mut().count()
            && lens
                .iter()
                .try_fold(0, |sum: usize, len| sum.checked_add(*len))
                == Some(bytes.len());
        if fits {
            for (payload, len) in self.payloads_mut().zip(lens) {
                *payload = bytes.split_to(*len);
            }
        }
        fits
    }

    fn payloads_mut(&mut self) -> Box<dyn Iterator<Item = &mut Bytes> + '_> {
        match self {
            Self::Append { entries, .. } => {
                let payloads = entries.iter_mut().map(|entry| &mut entry.payload);
                Box::new(payloads.filter_map(Payload::bytes_mut))
            }
            Self::Install { snapshot, .. } => Box::new(std::iter::once(&mut snapshot.state)),
            _ => Box::new(std::iter::empty()),
        }
    }

    /// Returns the sender's term.
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
