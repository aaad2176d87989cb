//! Membership of the voters where any host may enrol: which host each voter's disk is on, which
//! learners become voters, and which voters are dropped.
//!
//! Changes one voter at a time. Adding a live voter and dropping a lost one never lowers the number
//! of further losses that leave a quorum: either the quorum stays, or it changes together with the
//! number of live voters. So a voter and its successor need no joint step, and either may be first.
//!
//! Pure: the caller passes in the time and proposes the returned commands.

use std::collections::{BTreeMap, BTreeSet};

use crate::consensus::replica::LogReplica;
use crate::consensus::state::Command;
use crate::ids::{HostName, NodeId};

/// Maximum number of voters, unless the losses to be borne need more: each further voter slows down
/// each commit.
const MAX_VOTERS: usize = 9;

/// When voters are added and dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoterPolicy {
    /// Number of voters whose loss at the same time must leave a quorum, and no acknowledged entry
    /// without a disk.
    pub bearable_losses: usize,
    /// Silence after which a voter counts as lost, in milliseconds.
    pub silent_ms: u64,
}

impl VoterPolicy {
    /// Returns the size that a lost voter must not shrink the set below. A quorum of this size has
    /// more disks than may be lost.
    pub fn min_voters(&self) -> usize {
        2 * self.bearable_losses + 1
    }

    /// Returns the size up to which learners are added. One more than the minimum, so that a
    /// successor can always join before the lost voter goes.
    pub fn max_voters(&self) -> usize {
        MAX_VOTERS.max(self.min_voters() + 1)
    }
}

/// Hosts of the disks that vote or ask to vote, and the next change of the voters.
#[derive(Debug)]
pub struct VoterRoster {
    policy: VoterPolicy,
    hosts: BTreeMap<NodeId, HostName>,
    /// Hosts of disks that this leader has proposed to record.
    proposed: BTreeSet<(NodeId, HostName)>,
}

impl VoterRoster {
    /// Creates a roster with the hosts that are known at the start.
    pub fn new(policy: VoterPolicy, hosts: BTreeMap<NodeId, HostName>) -> Self {
        Self {
            policy,
            hosts,
            proposed: BTreeSet::new(),
        }
    }

    /// Records the host of a disk that sent a message or asked to vote.
    pub fn learn(&mut self, node: NodeId, host: HostName) {
        self.hosts.insert(node, host);
    }

    /// Returns the host of a disk, if it is known.
    pub fn host_of(&self, node: NodeId) -> Option<&HostName> {
        self.hosts.get(&node)
    }

    /// Starts a term of this voter as leader.
    pub fn lead(&mut self) {
        self.proposed.clear();
    }

    /// Returns a command that records the host of a disk, for a restart of all voters, unless the
    /// log has it or this leader has proposed it.
    pub fn record(&mut self, replica: &LogReplica, node: NodeId) -> Option<Command> {
        let host = self.hosts.get(&node)?.clone();
        let known = replica.state().voter_hosts.get(&node) == Some(&host);
        let new = !known && self.proposed.insert((node, host.clone()));
        new.then_some(Command::VoterHost(node, host))
    }

    /// Proposes one change of the voters. Returns whether one was proposed.
    ///
    /// A new disk on the host of a voter replaces that voter. A voter that has been silent for too
    /// long is dropped, unless the set has no voter to spare. A learner that has caught up becomes a
    /// voter.
    pub fn adjust(&self, replica: &mut LogReplica, now_ms: u64) -> bool {
        let raft = replica.raft();
        if !raft.may_decide(now_ms) {
            return false;
        }
        let mut voters = raft.voters().clone();
        let learner = raft.ready_learners().first().copied();
        let same_host = learner.and_then(|learner| {
            let host = self.host_of(learner)?;
            voters
                .iter()
                .find(|node| self.host_of(**node) == Some(host))
        });
        let silences = voters
            .iter()
            .map(|node| (raft.silence_ms(*node, now_ms), *node));
        let most_silent = silences.max();
        let lost = most_silent.filter(|(silent_ms, _)| *silent_ms >= self.policy.silent_ms);
        let can_spare = voters.len() > self.policy.min_voters();
        let has_room = voters.len() < self.policy.max_voters();
        match (same_host.copied(), lost, learner) {
            (Some(old), _, _) => voters.remove(&old),
            (None, Some((_, lost)), _) if can_spare => voters.remove(&lost),
            (None, _, Some(learner)) if has_room => voters.insert(learner),
            _ => return false,
        };
        let replied = |node: &&NodeId| **node == raft.id() || raft.replied_recently(**node, now_ms);
        let live = voters.iter().filter(replied).count();
        live * 2 > voters.len() && replica.raft_mut().propose_voters(voters).is_ok()
    }
}
