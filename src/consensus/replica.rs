//! One voter's whole logic: the log's agreement, and the state machine behind it.

use std::collections::{BTreeMap, BTreeSet};

use crate::consensus::raft::{
    DiskImage, DiskRecord, LogEntry, LogMark, LogSnapshot, Payload, ProposeError, RaftCore,
    RaftMessage, RaftTiming,
};
use crate::consensus::state::{Command, Reply, SiteState, Stamped};
use crate::ids::{HostName, NodeId, Position, Term};

/// Most voters where any host may enrol; more only slow each agreement.
const MAX_VOTERS: usize = 9;

/// What to do after a step; the records are synced before the messages leave.
#[derive(Debug, Default)]
pub struct ReplicaOutput {
    /// To be synced first.
    pub records: Vec<DiskRecord>,
    /// To be sent then.
    pub messages: Vec<(NodeId, RaftMessage)>,
    /// Replies to what was committed. They are given out after the sync too.
    pub replies: Vec<(LogMark, Reply)>,
}

/// One voter.
#[derive(Debug)]
pub struct LogReplica {
    raft: RaftCore,
    state: SiteState,
    compact_after: usize,
}

impl LogReplica {
    /// Starts from a disk. The log is compacted when its tail has `compact_after` entries.
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

    /// The image of a new site: its founding voters.
    pub fn bootstrap_image(voters: BTreeSet<NodeId>) -> DiskImage {
        let mut image = DiskImage::default();
        image.snapshot.voters = voters;
        image.snapshot.state = encode_state(&SiteState::default());
        image
    }

    /// Where disks are reached, by the state and by entries that may not be committed.
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

    /// The log's agreement.
    pub fn raft(&self) -> &RaftCore {
        &self.raft
    }

    /// The log's agreement, for changes of its members.
    pub fn raft_mut(&mut self) -> &mut RaftCore {
        &mut self.raft
    }

    /// The state as far as it is committed here.
    pub fn state(&self) -> &SiteState {
        &self.state
    }

    /// The state, where nothing newer can exist elsewhere.
    pub fn newest(&self, now_ms: u64) -> Option<&SiteState> {
        self.raft.may_decide(now_ms).then_some(&self.state)
    }

    /// Whether entries are committed that the state does not hold yet: until the end
    /// of this batch of steps, a read would miss what a leader before acknowledged.
    pub fn is_behind(&self) -> bool {
        self.state.position < self.raft.commit()
    }

    /// Proposes a command where this voter leads.
    pub fn propose(&mut self, at_ms: u64, command: Command) -> Result<LogMark, ProposeError> {
        let stamped = Stamped { at_ms, command };
        let bytes = bincode::serialize(&stamped).expect("commands encode into memory");
        self.raft.propose(bytes)
    }

    /// A host that came back with a blank disk takes its old disk's place: the
    /// old one is removed first, then the new one added, one step at a time.
    /// Returns whether a step was proposed.
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
        let raft = &self.raft;
        let replied = |node: &&NodeId| **node == raft.id() || raft.replied_recently(**node, now_ms);
        let alive = voters.iter().filter(replied).count();
        alive * 2 > voters.len() && self.raft.propose_voters(voters).is_ok()
    }

    /// Where any host may enrol: takes one step towards a set of all live voters.
    ///
    /// A disk that came to the host of another voter replaces it, a learner that
    /// has caught up becomes a voter, and a set of an even size sheds a voter
    /// that has been silent for `silent_ms`: its successor is in already.
    pub fn adjust_voters(
        &mut self,
        now_ms: u64,
        silent_ms: u64,
        host_of: impl Fn(NodeId) -> Option<HostName>,
    ) -> bool {
        if !self.raft.may_decide(now_ms) {
            return false;
        }
        let mut voters: BTreeSet<NodeId> = self.raft.voters().clone();
        let learner = self.raft.ready_learners().first().copied();
        let same_host = learner.and_then(|learner| {
            let host = host_of(learner);
            let mut others = voters.iter().copied();
            others.find(|node| host.is_some() && host_of(*node) == host)
        });
        let raft = &self.raft;
        let most_silent = voters
            .iter()
            .copied()
            .map(|node| (raft.silence_ms(node, now_ms), node))
            .max();
        let silent = most_silent.filter(|(silence_ms, _)| *silence_ms >= silent_ms);
        match (same_host, learner, silent) {
            (Some(old), _, _) => voters.remove(&old),
            (None, Some(learner), _) if voters.len() < MAX_VOTERS => voters.insert(learner),
            (None, _, Some((_, old))) if voters.len().is_multiple_of(2) && voters.len() > 2 => {
                voters.remove(&old)
            }
            _ => return false,
        };
        let replied = |node: &&NodeId| **node == raft.id() || raft.replied_recently(**node, now_ms);
        let alive = voters.iter().filter(replied).count();
        alive * 2 > voters.len() && self.raft.propose_voters(voters).is_ok()
    }

    /// Handles a message.
    pub fn receive(&mut self, now_ms: u64, from: NodeId, message: RaftMessage) {
        self.raft.receive(now_ms, from, message);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now_ms: u64) {
        self.raft.tick(now_ms);
    }

    /// Ends a batch of steps: sends what was proposed, and applies what was committed.
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
        if self.raft.tail_len() > self.compact_after {
            self.raft.compact(encode_state(&self.state));
            all.records.extend(self.raft.take_output().records);
        }
        all
    }

    /// The term that an awaited entry must still have, else it was replaced.
    pub fn term(&self) -> Term {
        self.raft.term()
    }

    /// How far the state has come.
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
            // Every voter skips alike what none can read.
            Err(_) => {
                self.state.skip(position);
                None
            }
        }
    }
}

fn encode_state(state: &SiteState) -> Vec<u8> {
    bincode::serialize(state).expect("the state encodes into memory")
}

fn decode_state(snapshot: &LogSnapshot) -> SiteState {
    match snapshot.state.is_empty() {
        true => SiteState::default(),
        false => bincode::deserialize(&snapshot.state).expect("a checked snapshot decodes"),
    }
}
