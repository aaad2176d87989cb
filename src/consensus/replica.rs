//! One voter of the replicated log: Raft and the state machine that it drives.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;

use crate::consensus::raft::{
    DiskImage, DiskRecord, LogEntry, LogMark, LogSnapshot, Payload, ProposeError, RaftCore,
    RaftMessage, RaftTiming,
};
use crate::consensus::state::{Command, EncodedCommand, Reply, SiteState, Stamped};
use crate::ids::{HostName, NodeId, Position, Term};

/// Size of applied entries up to which the log is not compacted for its size, in bytes.
const MIN_COMPACTED_BYTES: usize = 4 * 1024 * 1024;
/// Size of applied entries from which the log is compacted, in snapshots: each compaction writes
/// one.
const COMPACTED_SNAPSHOTS: usize = 2;

/// Actions for the caller after a step. Records must be synced before messages are sent.
#[derive(Debug, Default)]
pub struct ReplicaOutput {
    /// Records to sync first.
    pub records: Vec<DiskRecord>,
    /// Messages to send after the sync.
    pub messages: Vec<(NodeId, RaftMessage)>,
    /// Replies to committed commands, to be delivered after the sync.
    pub replies: Vec<(LogMark, Reply)>,
    /// Whether the log was compacted in this step.
    pub compacted: bool,
}

/// One voter of the replicated log.
#[derive(Debug)]
pub struct LogReplica {
    raft: RaftCore,
    state: SiteState,
    compact_after: usize,
}

impl LogReplica {
    /// Restores the voter from a disk image. The log is compacted once more than `compact_after`
    /// applied entries follow the snapshot.
    pub fn new(
        id: NodeId,
        timing: RaftTiming,
        image: DiskImage,
        now_ms: u64,
        seed: u64,
        compact_after: usize,
    ) -> Self {
        let state = decode_state(&image.snapshot);
        let mut replica = Self {
            raft: RaftCore::new(id, timing, image, now_ms, seed),
            state,
            compact_after,
        };
        for entry in replica.raft.take_output().committed {
            replica.apply(&entry);
        }
        replica
    }

    /// Returns the disk image of a new site with its initial voters.
    pub fn bootstrap_image(voters: BTreeSet<NodeId>) -> DiskImage {
        let mut image = DiskImage::default();
        image.snapshot.voters = voters;
        image.snapshot.state = encode_state(&SiteState::default());
        image
    }

    /// Returns the host of each voter's disk, from the state and from entries that may not be
    /// committed yet.
    pub fn logged_hosts(&self) -> BTreeMap<NodeId, HostName> {
        let mut hosts = self.state.voter_hosts.clone();
        for entry in self.raft.tail() {
            let Payload::Command(bytes) = &entry.payload else {
                continue;
            };
            let stamped = bincode::deserialize::<Stamped>(bytes);
            if let Ok(Command::VoterHost(node, host)) = stamped.map(|stamped| stamped.command) {
                hosts.insert(node, host);
            }
        }
        hosts
    }

    /// Returns the Raft state.
    pub fn raft(&self) -> &RaftCore {
        &self.raft
    }

    /// Returns the Raft state for membership changes.
    pub fn raft_mut(&mut self) -> &mut RaftCore {
        &mut self.raft
    }

    /// Returns the state as committed at this voter.
    pub fn state(&self) -> &SiteState {
        &self.state
    }

    /// Returns the state if it is guaranteed to be the newest; see [`RaftCore::may_decide`].
    pub fn newest(&self, now_ms: u64) -> Option<&SiteState> {
        self.raft.may_decide(now_ms).then_some(&self.state)
    }

    /// Returns whether committed entries are not yet applied to the state. Until the end of
    /// this batch of steps, a read would miss writes that a previous leader acknowledged.
    pub fn is_behind(&self) -> bool {
        self.state.position < self.raft.commit()
    }

    /// Proposes a command if this voter is the leader.
    pub fn propose(&mut self, at_ms: u64, command: Command) -> Result<LogMark, ProposeError> {
        let stamped = Stamped { at_ms, command };
        let bytes = bincode::serialize(&stamped).expect("commands encode into memory");
        self.raft.propose(bytes)
    }

    /// Proposes an encoded command if this voter is the leader. One that cannot be decoded is
    /// skipped by all voters.
    pub fn propose_encoded(
        &mut self,
        at_ms: u64,
        command: &EncodedCommand,
    ) -> Result<LogMark, ProposeError> {
        self.raft.propose(command.stamp(at_ms))
    }

    /// Replaces the old disk of a host that came back with a blank one: first removes the old
    /// voter, then adds the new one, one step at a time. Returns whether a step was proposed.
    pub fn replace_voter(
        &mut self,
        now_ms: u64,
        host_of: impl Fn(NodeId) -> Option<HostName>,
    ) -> bool {
        if !self.raft.may_decide(now_ms) {
            return false;
        }
        let Some(learner) = self.raft.ready_learners().first().copied() else {
            return false;
        };
        let host = host_of(learner);
        let mut voters: BTreeSet<NodeId> = self.raft.voters().clone();
        let old = voters.iter().copied().find(|node| host_of(*node) == host);
        match old {
            Some(old) => voters.remove(&old),
            None => voters.insert(learner),
        };
        self.propose_voters(now_ms, voters)
    }

    /// Proposes a set of voters if a majority of it has replied of late. Returns whether it did.
    pub(super) fn propose_voters(&mut self, now_ms: u64, voters: BTreeSet<NodeId>) -> bool {
        let replied = |node: &&NodeId| self.raft.replied_recently(**node, now_ms);
        let live = voters.iter().filter(replied).count();
        live * 2 > voters.len() && self.raft.propose_voters(voters).is_ok()
    }

    /// Handles a message from another voter.
    pub fn receive(&mut self, now_ms: u64, from: NodeId, message: RaftMessage) {
        self.raft.receive(now_ms, from, message);
    }

    /// Advances time.
    pub fn tick(&mut self, now_ms: u64) {
        self.raft.tick(now_ms);
    }

    /// Ends a batch of steps: sends proposed entries and applies committed ones.
    pub fn finish(&mut self, now_ms: u64) -> ReplicaOutput {
        self.raft.flush(now_ms);
        let mut all = ReplicaOutput::default();
        let output = self.raft.take_output();
        all.records = output.records;
        all.messages = output.messages;
        if let Some(snapshot) = &output.restored {
            self.state = decode_state(snapshot);
        }
        for entry in output.committed {
            if let Some(reply) = self.apply(&entry) {
                all.replies.push((entry.mark, reply));
            }
        }
        if self.must_compact() {
            self.raft.compact(encode_state(&self.state));
            all.records.extend(self.raft.take_output().records);
            all.compacted = true;
        }
        all
    }

    /// Returns whether the applied entries are too many, or their size exceeds that of several
    /// snapshots: entries that each carry a whole configuration would fill disk and memory long
    /// before they are many.
    fn must_compact(&self) -> bool {
        let max_bytes = MIN_COMPACTED_BYTES.max(COMPACTED_SNAPSHOTS * self.raft.snapshot_bytes());
        self.raft.compactable_len() > self.compact_after
            || self.raft.compactable_bytes() > max_bytes
    }

    /// Returns the current term. A proposed entry whose mark has another term may have been
    /// replaced.
    pub fn term(&self) -> Term {
        self.raft.term()
    }

    /// Returns the log position up to which the state is applied.
    pub fn position(&self) -> Position {
        self.state.position
    }

    fn apply(&mut self, entry: &LogEntry) -> Option<Reply> {
        let position = entry.mark.index;
        let Payload::Command(bytes) = &entry.payload else {
            self.state.skip(position);
            return None;
        };
        match bincode::deserialize::<Stamped>(bytes) {
            Ok(stamped) => Some(self.state.apply(position, &stamped)),
            // All voters skip an undecodable command alike.
            Err(_) => {
                self.state.skip(position);
                None
            }
        }
    }
}

fn encode_state(state: &SiteState) -> Bytes {
    let bytes = bincode::serialize(state).expect("the state encodes into memory");
    bytes.into()
}

fn decode_state(snapshot: &LogSnapshot) -> SiteState {
    match snapshot.state.is_empty() {
        true => SiteState::default(),
        false => bincode::deserialize(&snapshot.state).expect("a checked snapshot decodes"),
    }
}
