//! Raft consensus for the replicated log: terms, votes, leases and replication.
//!
//! Pure: the caller passes in the time and messages, and takes [`Output`] out. The caller must
//! sync everything in `Output::records` to disk before it sends any of `Output::messages`, except
//! those that [`crate::consensus::write_queue`] releases before.
//!
//! Implements Raft (Ongaro and Ousterhout, 2014) with pre-vote, leader stickiness, quorum
//! leases, single-step membership changes, and leadership transfer.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

pub use crate::consensus::entries::{
    DiskImage, DiskRecord, LogEntry, LogMark, LogSnapshot, LogUsage, Payload, RaftMessage,
};
use crate::ids::{NodeId, Position, Term};

/// Maximum number of entries in one append message.
const MAX_APPEND_ENTRIES: usize = 512;
/// Number of compacted entries kept in memory for followers that lag slightly. Compaction finds
/// all followers one round trip behind; without these entries, each of them was sent the whole
/// state: 5 MB/s per voter at 3,000 replicas.
const MAX_RETAINED_ENTRIES: usize = 1024;
/// Maximum size of these entries, in bytes: with large configurations, their number does not bound
/// them.
const MAX_RETAINED_BYTES: usize = 8 * 1024 * 1024;
/// Size of an append message from which no further entry is added, in bytes.
const MAX_APPEND_BYTES: usize = 1024 * 1024;
/// Size of the entries that a follower has not confirmed from which it is sent no further one, in
/// bytes. What is under way to a slow follower, and waits for its disk, is at most this and an entry.
const MAX_IN_FLIGHT_BYTES: usize = 1024 * 1024;
/// Size from which a command counts as large, in bytes.
const LARGE_COMMAND_BYTES: usize = 1024 * 1024;
/// Size of the uncommitted entries from which no large command is accepted, in bytes.
const MAX_UNCOMMITTED_BYTES: usize = 1024 * 1024;
/// Size of the records to be written from which no large command is accepted, in bytes.
const MAX_UNSAVED_BYTES: usize = 8 * 1024 * 1024;
/// Time allowed for a snapshot to arrive before it is sent again, in milliseconds. When sent
/// with every heartbeat, copies of several megabytes filled the leader's memory.
const SNAPSHOT_RESEND_MS: u64 = 1_000;
/// Maximum factor on the election timeouts after elections without a result.
const MAX_ELECTION_SCALE: u64 = 4;
/// Length of a leader's lease, in thousandths of the minimum election timeout. The lease ends
/// before a follower whose clock runs up to 10% fast may vote.
const LEASE_PER_MILLE: u64 = 850;

/// Election timing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RaftTiming {
    /// Minimum time without a leader before a voter starts an election, in milliseconds; the
    /// maximum is twice this.
    pub election_ms: u64,
    /// Interval between a leader's heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
}

/// Actions for the caller, in this order: sync the records, send the messages, apply the
/// committed entries.
#[derive(Debug, Default, PartialEq)]
pub struct Output {
    /// Records to sync first, in order.
    pub records: Vec<DiskRecord>,
    /// Messages to send once the records are synced.
    pub messages: Vec<(NodeId, RaftMessage)>,
    /// Snapshot that replaces the state machine before `committed` is applied.
    pub restored: Option<LogSnapshot>,
    /// Entries to apply, in order.
    pub committed: Vec<LogEntry>,
}

/// Reason why a proposal was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// This voter is not the leader; holds the known leader, if any.
    NotLeader(Option<NodeId>),
    /// A membership change is still in progress, or the proposed one is not a single step.
    VotersBusy,
    /// Too many bytes are not committed or not on disk yet.
    Backlog,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
}

#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    matched: Position,
    next: Position,
    /// First entry that counts as sent and not lost.
    sent_from: Position,
    /// Latest timestamp of the leader's own clock that this follower has echoed.
    echoed_ms: Option<u64>,
    /// Time until which a sent snapshot counts as in flight.
    install_until_ms: u64,
}

impl Progress {
    /// Progress of a follower that is presumed to have all entries before `next`.
    fn starting_at(next: Position) -> Self {
        Self {
            next,
            sent_from: next,
            ..Self::default()
        }
    }
}

/// Raft state of one voter, or of one learner that is not a voter yet.
#[derive(Debug)]
pub struct RaftCore {
    id: NodeId,
    timing: RaftTiming,
    rng: SmallRng,
    term: Term,
    vote: Option<NodeId>,
    snapshot: LogSnapshot,
    entries: Vec<LogEntry>,
    /// Latest entries already covered by the snapshot; used only to replicate to followers.
    retained: Vec<LogEntry>,
    commit: Position,
    delivered: Position,
    /// Commit index on disk.
    persisted_commit: Position,
    /// Time of the latest periodic check whether to persist the commit index.
    persisted_ms: u64,
    role: Role,
    leader: Option<NodeId>,
    leader_seen_ms: Option<u64>,
    election_due_ms: u64,
    /// Factor on the election timeout. Doubles with each election without a result: with votes
    /// that take longer than the timeout to be saved, elections would replace each other forever.
    election_scale: u64,
    /// Whether this voter has voted in an election whose result it does not know.
    election_open: bool,
    heartbeat_due_ms: u64,
    /// Time at which this voter last became leader.
    leader_since_ms: u64,
    /// Time until which this voter neither votes nor starts an election, except on a handover.
    /// Set after a restart, since the voter may have confirmed a lease just before, and after
    /// stepping down, since the voter belongs to the quorum behind its own lease.
    no_vote_until_ms: u64,
    granted: BTreeSet<NodeId>,
    progress: BTreeMap<NodeId, Progress>,
    learners: BTreeSet<NodeId>,
    /// When a message of each voter last arrived.
    contact_ms: BTreeMap<NodeId, u64>,
    /// Last index and commit index most recently sent to all followers.
    broadcast: (Position, Position),
    /// First entry that may not be on disk yet; `None` if all are.
    unsaved_from: Option<Position>,
    /// Size of the records that are not on disk yet.
    unsaved_bytes: usize,
    output: Output,
}

impl RaftCore {
    /// Restores the state from a disk image. `seed` drives the election jitter.
    pub fn new(id: NodeId, timing: RaftTiming, image: DiskImage, now_ms: u64, seed: u64) -> Self {
        let start = image.snapshot.last.index;
        let mut core = Self {
            id,
            timing,
            rng: SmallRng::seed_from_u64(seed),
            term: image.vote.0,
            vote: image.vote.1,
            snapshot: image.snapshot,
            entries: image.entries,
            retained: Vec::new(),
            commit: start,
            delivered: start,
            persisted_commit: image.commit,
            persisted_ms: now_ms,
            role: Role::Follower,
            leader: None,
            leader_seen_ms: None,
            election_due_ms: 0,
            election_scale: 1,
            election_open: false,
            heartbeat_due_ms: 0,
            leader_since_ms: 0,
            no_vote_until_ms: now_ms + timing.election_ms,
            granted: BTreeSet::new(),
            progress: BTreeMap::new(),
            learners: BTreeSet::new(),
            contact_ms: BTreeMap::new(),
            broadcast: (Position(0), Position(0)),
            unsaved_from: None,
            unsaved_bytes: 0,
            output: Output::default(),
        };
        core.schedule_election(now_ms);
        let known = image.commit.min(core.last().index);
        core.commit_up_to(known);
        core
    }

    /// Returns this voter's identity.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns whether this voter leads its current term. A newer term may exist; see
    /// [`Self::may_decide`].
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }

    /// Returns the last known leader.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// Returns the commit index.
    pub fn commit(&self) -> Position {
        self.commit
    }

    /// Returns the mark of the last log entry.
    pub fn last(&self) -> LogMark {
        self.entries
            .last()
            .map_or(self.snapshot.last, |entry| entry.mark)
    }

    /// Returns the entries after the snapshot, committed or not.
    pub fn tail(&self) -> &[LogEntry] {
        &self.entries
    }

    /// Returns the number of entries after the snapshot that a new snapshot could include.
    pub fn compactable_len(&self) -> usize {
        let len = self.delivered.0.saturating_sub(self.snapshot.last.index.0);
        len as usize
    }

    /// Returns the size of the entries after the snapshot that a new snapshot could include, in
    /// bytes.
    pub fn compactable_bytes(&self) -> usize {
        let delivered = self.entries.iter().take(self.compactable_len());
        delivered.map(LogEntry::size).sum()
    }

    /// Returns the size of the state machine in the snapshot, in bytes.
    pub fn snapshot_bytes(&self) -> usize {
        self.snapshot.state.len()
    }

    /// Returns what this voter holds of the log, by its part.
    pub fn log_usage(&self) -> LogUsage {
        let bytes = |entries: &[LogEntry]| entries.iter().map(LogEntry::size).sum();
        LogUsage {
            entry_bytes: bytes(&self.entries),
            retained_bytes: bytes(&self.retained),
            snapshot_bytes: self.snapshot_bytes(),
        }
    }

    /// Returns the voters set by the newest membership entry, committed or not.
    pub fn voters(&self) -> &BTreeSet<NodeId> {
        let named = |entry: &'_ LogEntry| matches!(entry.payload, Payload::Voters(_));
        match self.entries.iter().rev().find(|e| named(e)) {
            Some(LogEntry {
                payload: Payload::Voters(voters),
                ..
            }) => voters,
            _ => &self.snapshot.voters,
        }
    }

    /// Takes the pending actions; see the module documentation for the order of sync and send.
    pub fn take_output(&mut self) -> Output {
        if !self.output.records.is_empty() {
            self.persist_commit();
        }
        std::mem::take(&mut self.output)
    }

    /// Sets the first entry that may not be on disk yet, for a caller that sends messages of
    /// [`Self::take_output`] before it has synced the records; see
    /// [`crate::consensus::write_queue`]. A leader does not count entries as replicated to itself
    /// before they are on its disk.
    pub fn set_unsaved_from(&mut self, from: Option<Position>) {
        self.unsaved_from = from;
        if self.role == Role::Leader {
            self.advance_commit();
        }
    }

    /// Sets the size of the records that are not on disk yet, in bytes.
    pub fn set_unsaved_bytes(&mut self, bytes: usize) {
        self.unsaved_bytes = bytes;
    }

    /// Records that a vote is on disk: the time for its election counts from here.
    pub fn vote_saved(&mut self, now_ms: u64) {
        if self.election_open {
            self.schedule_election(now_ms);
        }
    }

    fn persist_commit(&mut self) {
        if self.commit > self.persisted_commit {
            self.persisted_commit = self.commit;
            self.output.records.push(DiskRecord::Commit(self.commit));
        }
    }

    /// Returns whether the committed state is guaranteed to be the newest: this voter leads, a
    /// quorum confirmed it within the lease, and an entry of its own term is committed.
    pub fn may_decide(&self, now_ms: u64) -> bool {
        self.role == Role::Leader
            && self.term_at(self.commit) == Some(self.term)
            && now_ms < self.lease_until_ms(now_ms)
    }

    /// Returns the end of the current lease on this voter's clock; 0 without a lease.
    pub fn lease_until_ms(&self, now_ms: u64) -> u64 {
        let lease_ms = self.timing.election_ms * LEASE_PER_MILLE / 1000;
        let mut echoes: Vec<u64> = self
            .voters()
            .iter()
            .filter_map(|voter| match voter {
                voter if *voter == self.id => Some(now_ms),
                voter => self.progress.get(voter).and_then(|p| p.echoed_ms),
            })
            .collect();
        echoes.sort_unstable_by(|a, b| b.cmp(a));
        match echoes.get(self.quorum() - 1) {
            Some(echoed) => echoed + lease_ms,
            None => 0,
        }
    }

    /// Appends a command if this voter is the leader, and returns its log position.
    pub fn propose(&mut self, command: impl Into<Bytes>) -> Result<LogMark, ProposeError> {
        if self.role != Role::Leader {
            return Err(ProposeError::NotLeader(self.leader));
        }
        let command = command.into();
        if command.len() >= LARGE_COMMAND_BYTES && self.has_backlog() {
            return Err(ProposeError::Backlog);
        }
        Ok(self.append_own(Payload::Command(command)))
    }

    /// Returns whether so many bytes are not committed or not on disk yet that a large command must
    /// wait.
    fn has_backlog(&self) -> bool {
        let newest = self.entries.iter().rev();
        let uncommitted = newest.take_while(|entry| entry.mark.index > self.commit);
        let uncommitted: usize = uncommitted.map(LogEntry::size).sum();
        uncommitted >= MAX_UNCOMMITTED_BYTES || self.unsaved_bytes >= MAX_UNSAVED_BYTES
    }

    /// Sends what was proposed or committed since the last call. Separate from `propose`, so
    /// that many proposals share one sync and one message.
    pub fn flush(&mut self, now_ms: u64) {
        let broadcast = (self.last().index, self.commit);
        // With nothing new, an append would trigger a reply, and the reply the next append.
        if self.role == Role::Leader && self.broadcast != broadcast {
            self.replicate(now_ms);
        }
    }

    /// Proposes a set of voters that differs from the current one by one voter.
    pub fn propose_voters(&mut self, voters: BTreeSet<NodeId>) -> Result<LogMark, ProposeError> {
        if self.role != Role::Leader {
            return Err(ProposeError::NotLeader(self.leader));
        }
        let steps = self.voters().symmetric_difference(&voters).count();
        let settled = self.term_at(self.commit) == Some(self.term);
        if steps != 1 || self.has_pending_voters() || !settled || voters.is_empty() {
            return Err(ProposeError::VotersBusy);
        }
        Ok(self.append_own(Payload::Voters(voters)))
    }

    /// Returns whether the newest set of voters is not committed yet.
    pub fn has_pending_voters(&self) -> bool {
        let newest = self.entries.iter().rev();
        let mut pending = newest.take_while(|entry| entry.mark.index > self.commit);
        pending.any(|entry| matches!(entry.payload, Payload::Voters(_)))
    }

    /// Starts to replicate to a process that is not a voter yet.
    pub fn add_learner(&mut self, node: NodeId) {
        if self.role == Role::Leader && !self.voters().contains(&node) {
            self.learners.insert(node);
            let next = Position(self.last().index.0 + 1);
            let entry = self.progress.entry(node);
            entry.or_insert(Progress::starting_at(next));
        }
    }

    /// Returns the processes that this leader replicates to although they do not vote.
    pub fn learners(&self) -> &BTreeSet<NodeId> {
        &self.learners
    }

    /// Returns the learners that have caught up with the commit index.
    pub fn ready_learners(&self) -> Vec<NodeId> {
        let voters = self.voters();
        let caught_up = |node: &&NodeId| {
            if voters.contains(node) {
                return false;
            }
            let matched = self.progress.get(node).map(|p| p.matched);
            matched.is_some_and(|at| at >= self.commit)
        };
        self.learners.iter().filter(caught_up).copied().collect()
    }

    /// Returns whether a node is this leader itself, or has replied to it within one election
    /// timeout.
    pub fn replied_recently(&self, node: NodeId, now_ms: u64) -> bool {
        let echoed = self.progress.get(&node).and_then(|p| p.echoed_ms);
        node == self.id || echoed.is_some_and(|at| at + self.timing.election_ms > now_ms)
    }

    /// Returns the time since a voter last replied to this leader, in milliseconds.
    pub fn silence_ms(&self, node: NodeId, now_ms: u64) -> u64 {
        let echoed = self.progress.get(&node).and_then(|p| p.echoed_ms);
        let since_ms = echoed.unwrap_or(0).max(self.leader_since_ms);
        match node == self.id {
            true => 0,
            false => now_ms.saturating_sub(since_ms),
        }
    }

    /// Returns the other voters that have been silent for at least `min_ms`, with the time since
    /// their last message. A follower of a leader gets messages of no other voter, and returns none.
    pub fn silent_voters(&self, now_ms: u64, min_ms: u64) -> Vec<(NodeId, u64)> {
        let leads = self.role == Role::Leader;
        if !leads && self.leaderless_ms(now_ms) < min_ms {
            return Vec::new();
        }
        let silence_ms = |node: NodeId| match leads {
            true => self.silence_ms(node, now_ms),
            false => {
                let contact_ms = self.contact_ms.get(&node).copied().unwrap_or(0);
                now_ms.saturating_sub(contact_ms.max(self.leader_seen_ms.unwrap_or(0)))
            }
        };
        let others = self.other_voters().into_iter();
        let timed = others.map(|node| (node, silence_ms(node)));
        timed
            .filter(|(_, silent_ms)| *silent_ms >= min_ms)
            .collect()
    }

    /// Returns the time since this voter last received a message from a leader, in
    /// milliseconds.
    pub fn leaderless_ms(&self, now_ms: u64) -> u64 {
        match self.role {
            Role::Leader => 0,
            _ => now_ms.saturating_sub(self.leader_seen_ms.unwrap_or(0)),
        }
    }

    /// Gives up the lease and asks the most up-to-date voter to start an election. Returns
    /// whether there was such a voter.
    pub fn hand_over(&mut self, now_ms: u64) -> bool {
        if self.role != Role::Leader {
            return false;
        }
        let voters = self.voters().clone();
        let successor = self
            .progress
            .iter()
            .filter(|(node, _)| **node != self.id && voters.contains(node))
            .filter(|(node, _)| self.replied_recently(**node, now_ms))
            .max_by_key(|(_, progress)| progress.matched)
            .map(|(node, _)| *node);
        match successor {
            Some(successor) => {
                let term = self.term;
                self.send(successor, RaftMessage::Handover { term });
                self.become_follower(now_ms);
                self.leader = None;
                true
            }
            None => false,
        }
    }

    /// Compacts the log up to the last delivered entry; `state` is the encoded state machine at
    /// that entry.
    pub fn compact(&mut self, state: impl Into<Bytes>) {
        let index = self.delivered;
        let Some(term) = self.term_at(index) else {
            return;
        };
        let voters = self.voters_at(index).clone();
        self.snapshot = LogSnapshot {
            last: LogMark { term, index },
            voters,
            state: state.into(),
        };
        let kept = self.entries.partition_point(|e| e.mark.index <= index);
        self.retained.extend(self.entries.drain(..kept));
        let newest = self.retained.iter().rev().take(MAX_RETAINED_ENTRIES);
        let sizes = newest.scan(0, |total, entry| {
            *total += entry.size();
            Some(*total)
        });
        let kept = sizes
            .take_while(|total| *total <= MAX_RETAINED_BYTES)
            .count();
        let old = self.retained.len() - kept;
        self.retained.drain(..old);
        let record = DiskRecord::Install(self.snapshot.clone());
        self.output.records.push(record);
    }

    /// Advances time: starts elections, sends heartbeats, steps down.
    pub fn tick(&mut self, now_ms: u64) {
        // The commit index is saved along with other records at no extra sync; without other
        // records it is saved at most once per heartbeat interval.
        if now_ms >= self.persisted_ms + self.timing.heartbeat_ms {
            self.persisted_ms = now_ms;
            self.persist_commit();
        }
        match self.role {
            Role::Leader => {
                if now_ms >= self.heartbeat_due_ms {
                    self.replicate(now_ms);
                }
                self.step_down_without_quorum(now_ms);
            }
            _ if now_ms >= self.election_due_ms => self.start_pre_vote(now_ms),
            _ => {}
        }
    }

    /// Handles a message from another voter.
    pub fn receive(&mut self, now_ms: u64, from: NodeId, message: RaftMessage) {
        if self.voters().contains(&from) {
            self.contact_ms.insert(from, now_ms);
        }
        let speculative = matches!(
            message,
            RaftMessage::PreVote { .. } | RaftMessage::PreVoteReply { granted: true, .. }
        );
        let ignored = match &message {
            RaftMessage::Vote { handover, .. } => !handover && self.is_bound_to_leader(now_ms),
            _ => false,
        };
        if ignored {
            return;
        }
        if message.term() > self.term && !speculative {
            self.enter_term(now_ms, message.term());
        }
        match message {
            RaftMessage::PreVote { term, last } => self.on_pre_vote(now_ms, from, term, last),
            RaftMessage::PreVoteReply { term, granted } => {
                self.on_pre_vote_reply(now_ms, from, term, granted)
            }
            RaftMessage::Vote { term, last, .. } => self.on_vote(now_ms, from, term, last),
            RaftMessage::VoteReply { term, granted } => {
                self.on_vote_reply(now_ms, from, term, granted)
            }
            RaftMessage::Append {
                term,
                prev,
                entries,
                commit,
                sent_ms,
            } => {
                if self.follow(now_ms, from, term) {
                    self.on_append(from, prev, entries, commit, sent_ms);
                }
            }
            RaftMessage::Install {
                term,
                snapshot,
                sent_ms,
            } => {
                if self.follow(now_ms, from, term) {
                    self.on_install(from, snapshot, sent_ms);
                }
            }
            RaftMessage::AppendReply {
                term,
                at,
                matched,
                sent_ms,
            } => {
                if self.role == Role::Leader && term == self.term {
                    self.on_append_reply(now_ms, from, at, matched, sent_ms);
                }
            }
            RaftMessage::Handover { term } => {
                if term == self.term && self.leader == Some(from) {
                    self.start_vote(now_ms, true);
                }
            }
        }
    }

    fn quorum(&self) -> usize {
        self.voters().len() / 2 + 1
    }

    fn is_voter(&self) -> bool {
        self.voters().contains(&self.id)
    }

    fn send(&mut self, to: NodeId, message: RaftMessage) {
        self.output.messages.push((to, message));
    }

    fn other_voters(&self) -> Vec<NodeId> {
        let others = self.voters().iter().filter(|node| **node != self.id);
        others.copied().collect()
    }

    fn term_at(&self, index: Position) -> Option<Term> {
        if index == self.snapshot.last.index {
            return Some(self.snapshot.last.term);
        }
        self.entry_at(index).map(|entry| entry.mark.term)
    }

    fn entry_at(&self, index: Position) -> Option<&LogEntry> {
        let offset = index.0.checked_sub(self.snapshot.last.index.0 + 1)?;
        self.entries.get(offset as usize)
    }

    fn voters_at(&self, index: Position) -> &BTreeSet<NodeId> {
        let mut voters = &self.snapshot.voters;
        for entry in self.entries.iter().filter(|e| e.mark.index <= index) {
            if let Payload::Voters(named) = &entry.payload {
                voters = named;
            }
        }
        voters
    }

    fn schedule_election(&mut self, now_ms: u64) {
        let least = self.timing.election_ms * self.election_scale;
        self.election_due_ms = now_ms + least + self.rng.random_range(0..least.max(1));
    }

    /// Returns whether this voter must not help another one get elected: it has recently
    /// received a message from a leader, may have done so before a restart, or holds a lease
    /// itself. The leader's lease relies on this.
    fn is_bound_to_leader(&self, now_ms: u64) -> bool {
        let leader_valid_ms = self
            .leader_seen_ms
            .map_or(0, |at| at + self.timing.election_ms);
        let leading = self.role == Role::Leader && now_ms < self.lease_until_ms(now_ms);
        now_ms < leader_valid_ms || now_ms < self.no_vote_until_ms || leading
    }

    fn enter_term(&mut self, now_ms: u64, term: Term) {
        self.term = term;
        self.vote = None;
        self.become_follower(now_ms);
        self.leader = None;
        self.record_vote();
    }

    fn become_follower(&mut self, now_ms: u64) {
        // Decisions made under the lease stay valid until it ends; do not vote before then.
        if self.role == Role::Leader {
            let lease_ms = self.lease_until_ms(now_ms);
            self.no_vote_until_ms = self.no_vote_until_ms.max(lease_ms);
        }
        self.role = Role::Follower;
        self.progress.clear();
        self.learners.clear();
        self.schedule_election(now_ms);
    }

    fn record_vote(&mut self) {
        let record = DiskRecord::Vote(self.term, self.vote);
        self.output.records.push(record);
    }

    fn start_pre_vote(&mut self, now_ms: u64) {
        if std::mem::take(&mut self.election_open) {
            self.election_scale = (self.election_scale * 2).min(MAX_ELECTION_SCALE);
        }
        self.schedule_election(now_ms);
        if !self.is_voter() || now_ms < self.no_vote_until_ms {
            return;
        }
        self.role = Role::PreCandidate;
        self.leader = None;
        self.granted = BTreeSet::from([self.id]);
        if self.granted.len() >= self.quorum() {
            return self.start_vote(now_ms, false);
        }
        let term = Term(self.term.0 + 1);
        let last = self.last();
        for peer in self.other_voters() {
            self.send(peer, RaftMessage::PreVote { term, last });
        }
    }

    fn start_vote(&mut self, now_ms: u64, handover: bool) {
        if !self.is_voter() {
            return;
        }
        self.term = Term(self.term.0 + 1);
        self.vote = Some(self.id);
        self.role = Role::Candidate;
        self.leader = None;
        self.granted = BTreeSet::from([self.id]);
        self.election_open = true;
        self.schedule_election(now_ms);
        self.record_vote();
        if self.granted.len() >= self.quorum() {
            return self.become_leader(now_ms);
        }
        let (term, last) = (self.term, self.last());
        for peer in self.other_voters() {
            let message = RaftMessage::Vote {
                term,
                last,
                handover,
            };
            self.send(peer, message);
        }
    }

    fn on_pre_vote(&mut self, now_ms: u64, from: NodeId, term: Term, last: LogMark) {
        let granted = term > self.term && last >= self.last() && !self.is_bound_to_leader(now_ms);
        let term = if granted { term } else { self.term };
        self.send(from, RaftMessage::PreVoteReply { term, granted });
    }

    fn on_pre_vote_reply(&mut self, now_ms: u64, from: NodeId, term: Term, granted: bool) {
        let mine = self.role == Role::PreCandidate && term.0 == self.term.0 + 1;
        if granted && mine && self.voters().contains(&from) {
            self.granted.insert(from);
            if self.granted.len() >= self.quorum() {
                self.start_vote(now_ms, false);
            }
        }
    }

    fn on_vote(&mut self, now_ms: u64, from: NodeId, term: Term, last: LogMark) {
        let free = self.vote.is_none() || self.vote == Some(from);
        let granted = term == self.term && free && last >= self.last();
        if granted {
            self.vote = Some(from);
            self.election_open = true;
            self.record_vote();
            self.schedule_election(now_ms);
        }
        let term = self.term;
        self.send(from, RaftMessage::VoteReply { term, granted });
    }

    fn on_vote_reply(&mut self, now_ms: u64, from: NodeId, term: Term, granted: bool) {
        let mine = self.role == Role::Candidate && term == self.term;
        if granted && mine && self.voters().contains(&from) {
            self.granted.insert(from);
            if self.granted.len() >= self.quorum() {
                self.become_leader(now_ms);
            }
        }
    }

    fn become_leader(&mut self, now_ms: u64) {
        self.role = Role::Leader;
        self.election_decided();
        self.leader_since_ms = now_ms;
        self.leader = Some(self.id);
        let voters = self.voters().clone();
        self.contact_ms.retain(|node, _| voters.contains(node));
        let next = Position(self.last().index.0 + 1);
        let fresh = Progress::starting_at(next);
        self.progress = self
            .other_voters()
            .into_iter()
            .map(|p| (p, fresh))
            .collect();
        self.append_own(Payload::Noop);
        self.replicate(now_ms);
    }

    fn election_decided(&mut self) {
        self.election_open = false;
        self.election_scale = 1;
    }

    fn append_own(&mut self, payload: Payload) -> LogMark {
        let mark = LogMark {
            term: self.term,
            index: Position(self.last().index.0 + 1),
        };
        let entry = LogEntry { mark, payload };
        self.output.records.push(DiskRecord::Append(entry.clone()));
        self.entries.push(entry);
        mark
    }

    /// Sends followers the entries that they lack, and commits what needs no reply: everything,
    /// if the leader alone is a quorum.
    fn replicate(&mut self, now_ms: u64) {
        self.heartbeat_due_ms = now_ms + self.timing.heartbeat_ms;
        self.broadcast = (self.last().index, self.commit);
        let voters = self.voters().clone();
        self.learners.retain(|node| !voters.contains(node));
        let mut peers: BTreeSet<NodeId> = self.other_voters().into_iter().collect();
        peers.extend(&self.learners);
        let next = Position(self.last().index.0 + 1);
        for peer in &peers {
            let entry = self.progress.entry(*peer);
            entry.or_insert(Progress::starting_at(next));
            self.send_append(now_ms, *peer);
        }
        self.progress.retain(|node, _| peers.contains(node));
        self.advance_commit();
    }

    fn send_append(&mut self, now_ms: u64, peer: NodeId) {
        let Some(progress) = self.progress.get(&peer).copied() else {
            return;
        };
        let index = Position(progress.next.0.saturating_sub(1));
        let (prev, entries) = match self.sendable_term_at(index) {
            Some(term) if self.is_window_full(&progress) => (LogMark { term, index }, Vec::new()),
            Some(term) => (LogMark { term, index }, self.entries_after(index)),
            None if progress.install_until_ms <= now_ms => return self.send_install(now_ms, peer),
            // While a snapshot is in flight, send only a heartbeat.
            None => return self.send_entries(now_ms, peer, self.snapshot.last, Vec::new()),
        };
        if let Some(progress) = self.progress.get_mut(&peer) {
            progress.next = Position(index.0 + 1 + entries.len() as u64);
        }
        self.send_entries(now_ms, peer, prev, entries);
    }

    fn send_entries(&mut self, now_ms: u64, peer: NodeId, prev: LogMark, entries: Vec<LogEntry>) {
        let message = RaftMessage::Append {
            term: self.term,
            prev,
            entries,
            commit: self.commit,
            sent_ms: now_ms,
        };
        self.send(peer, message);
    }

    fn send_install(&mut self, now_ms: u64, peer: NodeId) {
        if let Some(progress) = self.progress.get_mut(&peer) {
            progress.install_until_ms = now_ms + SNAPSHOT_RESEND_MS;
        }
        let message = RaftMessage::Install {
            term: self.term,
            snapshot: self.snapshot.clone(),
            sent_ms: now_ms,
        };
        self.send(peer, message);
    }

    /// Returns the term of an entry if the entries after it can be sent to followers.
    fn sendable_term_at(&self, index: Position) -> Option<Term> {
        let retained = || self.retained.binary_search_by_key(&index, |e| e.mark.index);
        let known = self.term_at(index);
        known.or_else(|| retained().ok().map(|at| self.retained[at].mark.term))
    }

    /// Returns whether a follower has to confirm entries before it is sent further ones.
    fn is_window_full(&self, progress: &Progress) -> bool {
        let from = progress.sent_from.max(Position(progress.matched.0 + 1));
        let sent = self.later_entries(Position(from.0.saturating_sub(1)));
        let sent = sent.take_while(|entry| entry.mark.index < progress.next);
        let mut bytes = 0;
        sent.map(LogEntry::size).any(|size| {
            bytes += size;
            bytes >= MAX_IN_FLIGHT_BYTES
        })
    }

    /// Returns the entries after an index, those included that the snapshot covers.
    fn later_entries(&self, index: Position) -> impl Iterator<Item = &LogEntry> {
        let from = self.retained.partition_point(|e| e.mark.index <= index);
        let first = self.snapshot.last.index.0;
        let skipped = index.0.saturating_sub(first) as usize;
        let kept = self.entries.iter().skip(skipped);
        self.retained[from..].iter().chain(kept)
    }

    /// Returns the next entries after one that [`Self::sendable_term_at`] knows.
    fn entries_after(&self, index: Position) -> Vec<LogEntry> {
        let mut bytes = 0;
        let sized = self.later_entries(index).take_while(|entry| {
            let has_room = bytes < MAX_APPEND_BYTES;
            bytes += entry.size();
            has_room
        });
        sized.take(MAX_APPEND_ENTRIES).cloned().collect()
    }

    fn step_down_without_quorum(&mut self, now_ms: u64) {
        let lost = self.lease_until_ms(now_ms) + 2 * self.timing.election_ms < now_ms;
        let settled = self.term_at(self.commit) == Some(self.term);
        if lost && (settled || now_ms >= self.election_due_ms) {
            self.become_follower(now_ms);
            self.leader = None;
        }
    }

    /// Accepts `from` as the leader of `term`, unless the term is outdated.
    fn follow(&mut self, now_ms: u64, from: NodeId, term: Term) -> bool {
        if term < self.term {
            let message = RaftMessage::AppendReply {
                term: self.term,
                at: Position(0),
                matched: false,
                sent_ms: 0,
            };
            self.send(from, message);
            return false;
        }
        if self.role != Role::Follower {
            self.become_follower(now_ms);
        }
        self.election_decided();
        self.leader = Some(from);
        self.leader_seen_ms = Some(now_ms);
        self.schedule_election(now_ms);
        true
    }

    fn on_append(
        &mut self,
        from: NodeId,
        prev: LogMark,
        entries: Vec<LogEntry>,
        commit: Position,
        sent_ms: u64,
    ) {
        let known = prev.index < self.snapshot.last.index;
        let matched = known || self.term_at(prev.index) == Some(prev.term);
        let at = if matched {
            let last = Position(prev.index.0 + entries.len() as u64);
            self.merge(entries);
            self.commit_up_to(commit.min(last));
            last
        } else {
            self.conflict_hint(prev.index)
        };
        let message = RaftMessage::AppendReply {
            term: self.term,
            at,
            matched,
            sent_ms,
        };
        self.send(from, message);
    }

    /// Returns the index for the leader to try next: before all entries of the conflicting
    /// term.
    fn conflict_hint(&self, index: Position) -> Position {
        let last = self.last().index;
        if index > last {
            return last;
        }
        let conflict = self.term_at(index);
        let first = self.entries.iter().find(|e| Some(e.mark.term) == conflict);
        let before = first.map_or(index.0, |entry| entry.mark.index.0);
        Position(before.saturating_sub(1).max(self.commit.0))
    }

    fn merge(&mut self, entries: Vec<LogEntry>) {
        for entry in entries {
            let index = entry.mark.index;
            match self.term_at(index) {
                _ if index <= self.snapshot.last.index => continue,
                Some(term) if term == entry.mark.term => continue,
                Some(_) => {
                    self.entries.retain(|e| e.mark.index < index);
                    self.output.records.push(DiskRecord::Truncate(index));
                }
                None => {}
            }
            self.output.records.push(DiskRecord::Append(entry.clone()));
            self.entries.push(entry);
        }
    }

    fn on_install(&mut self, from: NodeId, snapshot: LogSnapshot, sent_ms: u64) {
        let at = snapshot.last.index;
        if at > self.commit {
            let kept = self.term_at(at) == Some(snapshot.last.term);
            match kept {
                true => self.entries.retain(|e| e.mark.index > at),
                false => {
                    self.entries.clear();
                    let first = Position(self.snapshot.last.index.0 + 1);
                    self.output.records.push(DiskRecord::Truncate(first));
                }
            }
            self.retained.clear();
            self.snapshot = snapshot.clone();
            self.commit = at;
            self.delivered = at;
            let record = DiskRecord::Install(snapshot.clone());
            self.output.records.push(record);
            self.output.committed.clear();
            self.output.restored = Some(snapshot);
        }
        let message = RaftMessage::AppendReply {
            term: self.term,
            at,
            matched: true,
            sent_ms,
        };
        self.send(from, message);
    }

    fn on_append_reply(
        &mut self,
        now_ms: u64,
        from: NodeId,
        at: Position,
        matched: bool,
        sent_ms: u64,
    ) {
        let last = self.last().index;
        let installed = at >= self.snapshot.last.index;
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.echoed_ms = progress.echoed_ms.max(Some(sent_ms));
        let installing = progress.install_until_ms > now_ms;
        match matched {
            true => {
                if installed {
                    progress.install_until_ms = 0;
                }
                progress.matched = progress.matched.max(at);
                progress.next = progress.next.max(Position(at.0 + 1));
            }
            // A late rejection must not move `next` below what has matched since.
            false => {
                progress.next = Position(at.0.max(progress.matched.0) + 1);
                progress.sent_from = progress.next;
            }
        }
        let behind = progress.next <= last;
        self.advance_commit();
        // While a snapshot is in flight, a rejected heartbeat must not trigger another send.
        if (matched && behind) || (!matched && !installing) {
            self.send_append(now_ms, from);
        }
    }

    /// Returns the index of the last entry on this voter's own disk.
    fn last_saved(&self) -> Position {
        let last = self.last().index;
        let saved = self.unsaved_from.map(|from| from.0.saturating_sub(1));
        saved.map_or(last, |saved| last.min(Position(saved)))
    }

    fn advance_commit(&mut self) {
        let mut matched: Vec<Position> = self
            .voters()
            .iter()
            .map(|voter| match voter {
                voter if *voter == self.id => self.last_saved(),
                voter => self.progress.get(voter).map_or(Position(0), |p| p.matched),
            })
            .collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let agreed = matched[self.quorum() - 1];
        // Only entries of the leader's own term are committed by counting (Raft, section
        // 5.4.2).
        if agreed > self.commit && self.term_at(agreed) == Some(self.term) {
            self.commit_up_to(agreed);
            let removed = !self.voters_at(self.commit).contains(&self.id);
            if removed {
                self.role = Role::Follower;
                self.leader = None;
            }
        }
    }

    fn commit_up_to(&mut self, commit: Position) {
        self.commit = self.commit.max(commit);
        while self.delivered < self.commit {
            let next = Position(self.delivered.0 + 1);
            let Some(entry) = self.entry_at(next).cloned() else {
                return;
            };
            self.delivered = next;
            self.output.committed.push(entry);
        }
    }
}
