//! Outputs of a voter whose records are not on its disk yet: which messages are sent before, and
//! which wait.
//!
//! A leader's heartbeats must not wait for a disk, nor the replies by which followers confirm its
//! lease. With writes longer than the election timeout, each leader would otherwise be replaced
//! before it commits an entry.
//!
//! Pure: the caller writes the batches in order, reports each one as saved, and passes
//! [`WriteQueue::unsaved_from`] to the voter before its next step.

use std::collections::VecDeque;

use crate::consensus::raft::{DiskRecord, LogMark, RaftMessage};
use crate::consensus::replica::ReplicaOutput;
use crate::consensus::state::Reply;
use crate::ids::{NodeId, Position, Term};

/// Records to write.
#[derive(Debug)]
pub struct WriteBatch {
    /// Number of the batch; rises by one.
    pub number: u64,
    /// The records.
    pub records: Vec<DiskRecord>,
}

/// Part of an output that may be delivered.
#[derive(Debug, Default)]
pub struct ReleasedOutput {
    /// Messages to send.
    pub messages: Vec<(NodeId, RaftMessage)>,
    /// Replies to committed commands.
    pub replies: Vec<(LogMark, Reply)>,
    /// Whether a vote, or the change of term before it, was saved.
    pub vote_saved: bool,
}

/// Output that waits for its batch.
#[derive(Debug)]
struct HeldOutput {
    number: u64,
    /// Lowest log position that the records change.
    changes_from: Option<Position>,
    /// Whether the records change the term or the vote.
    has_vote: bool,
    /// Size of the records.
    bytes: usize,
    messages: Vec<(NodeId, RaftMessage)>,
    replies: Vec<(LogMark, Reply)>,
}

/// Outputs that wait for their records to be saved.
#[derive(Debug, Default)]
pub struct WriteQueue {
    batches: u64,
    unsaved: VecDeque<HeldOutput>,
}

impl WriteQueue {
    /// Adds an output. Returns the batch to write, if it has records, and the part of the output
    /// that may be delivered before.
    pub fn push(&mut self, output: ReplicaOutput) -> (Option<WriteBatch>, ReleasedOutput) {
        let batch = self.hold(&output.records);
        let batch = batch.map(|number| WriteBatch {
            number,
            records: output.records,
        });
        let mut released = ReleasedOutput::default();
        let term_saved = self.unsaved.iter().all(|held| !held.has_vote);
        let unsaved_from = self.unsaved_from();
        let Some(held) = self.unsaved.back_mut() else {
            released.messages = output.messages;
            released.replies = output.replies;
            return (batch, released);
        };
        for (to, message) in output.messages {
            match needs_records(&message) {
                false => released.messages.push((to, message)),
                true => {
                    let confirmation = confirmation_of(&message).filter(|_| term_saved);
                    released
                        .messages
                        .extend(confirmation.map(|early| (to, early)));
                    held.messages.push((to, message));
                }
            }
        }
        let is_saved = |mark: &LogMark| unsaved_from.is_none_or(|from| mark.index < from);
        for (mark, reply) in output.replies {
            match is_saved(&mark) {
                true => released.replies.push((mark, reply)),
                false => held.replies.push((mark, reply)),
            }
        }
        (batch, released)
    }

    /// Records that all batches up to `number` are on disk. Returns what waited for them.
    pub fn saved(&mut self, number: u64) -> ReleasedOutput {
        let mut released = ReleasedOutput::default();
        let saved = self.unsaved.partition_point(|held| held.number <= number);
        for held in self.unsaved.drain(..saved) {
            released.messages.extend(held.messages);
            released.replies.extend(held.replies);
            released.vote_saved |= held.has_vote;
        }
        released
    }

    /// Returns the lowest log position that a batch changes which is not saved.
    pub fn unsaved_from(&self) -> Option<Position> {
        let changed = self.unsaved.iter().filter_map(|held| held.changes_from);
        changed.min()
    }

    /// Returns the size of the records that are not saved, in bytes.
    pub fn unsaved_bytes(&self) -> usize {
        self.unsaved.iter().map(|held| held.bytes).sum()
    }

    /// Returns the number of batches that are not saved.
    pub fn len(&self) -> usize {
        self.unsaved.len()
    }

    /// Returns whether all batches are saved.
    pub fn is_empty(&self) -> bool {
        self.unsaved.is_empty()
    }

    fn hold(&mut self, records: &[DiskRecord]) -> Option<u64> {
        if records.is_empty() {
            return None;
        }
        self.batches += 1;
        self.unsaved.push_back(HeldOutput {
            number: self.batches,
            changes_from: records.iter().filter_map(changed_position).min(),
            has_vote: records.iter().any(|r| matches!(r, DiskRecord::Vote(..))),
            bytes: records.iter().map(DiskRecord::size).sum(),
            messages: Vec::new(),
            replies: Vec::new(),
        });
        Some(self.batches)
    }
}

fn changed_position(record: &DiskRecord) -> Option<Position> {
    match record {
        DiskRecord::Append(entry) => Some(entry.mark.index),
        DiskRecord::Truncate(from) => Some(*from),
        DiskRecord::Install(snapshot) => Some(snapshot.last.index),
        DiskRecord::Vote(..) | DiskRecord::Commit(_) => None,
    }
}

/// Returns whether a message states something that must be on disk before it is sent.
///
/// What a leader sends states nothing of its own disk: it counts its entries as replicated to
/// itself only once they are saved. Pre-votes promise nothing.
fn needs_records(message: &RaftMessage) -> bool {
    match message {
        RaftMessage::Append { .. }
        | RaftMessage::Install { .. }
        | RaftMessage::Handover { .. }
        | RaftMessage::PreVote { .. }
        | RaftMessage::PreVoteReply { .. } => false,
        RaftMessage::Vote { .. }
        | RaftMessage::VoteReply { .. }
        | RaftMessage::AppendReply { .. } => true,
    }
}

/// Returns the reply that confirms a leader's lease without confirming any entry. The promise
/// behind it, not to vote for a while, is kept in memory, and after a restart by waiting.
fn confirmation_of(message: &RaftMessage) -> Option<RaftMessage> {
    let confirmation = |term: Term, sent_ms: u64| RaftMessage::AppendReply {
        term,
        at: Position(0),
        matched: true,
        sent_ms,
    };
    match *message {
        RaftMessage::AppendReply {
            term,
            matched: true,
            sent_ms,
            ..
        } => Some(confirmation(term, sent_ms)),
        _ => None,
    }
}
