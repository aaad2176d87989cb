//! Membership of the voters where any host may enrol: which host each voter's disk is on, which
//! learners become voters, and which voters are dropped.
//!
//! Changes one voter at a time. Dropping a lost voter never raises the quorum. Adding a voter raises
//! it only where the set was odd, and that waits until no voter is silent. So no single step lowers
//! the number of further losses that leave a quorum, even if the new voter is the next one lost, and
//! no joint step is needed.
//!
//! Pure: the caller passes in the time and proposes the returned commands.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::consensus::raft::RaftCore;
use crate::consensus::replica::LogReplica;
use crate::consensus::state::{Command, SiteState};
use crate::ids::{HostName, NodeId};

/// Maximum number of voters, unless the losses to be borne need more: each further voter slows down
/// each commit.
const MAX_VOTERS: usize = 9;

/// Time for which an announced stop counts: longer than a process takes to stop, and over before
/// one that was started again would be dropped for it.
const LEAVING_MS: u64 = 1_500;

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
    /// Returns the number of voters that bears these losses.
    fn min_voters(&self) -> usize {
        2 * self.bearable_losses + 1
    }

    /// Returns whether a set of this size may lose a voter without a successor.
    fn can_spare(&self, voters: usize) -> bool {
        voters > self.min_voters()
    }

    /// Returns whether a set of this size may lose a voter for a moment, until its successor joins:
    /// a quorum must not shrink to as many disks as may be lost. That of an odd set stays.
    fn may_drop(&self, voters: usize) -> bool {
        voters > 1 && (!voters.is_multiple_of(2) || voters > 2 * self.bearable_losses)
    }

    /// Returns whether a learner may join a set of this size. The quorum of an odd set grows with
    /// it, so a voter that is silent or stops must return or go first, where the set is large enough.
    fn may_add(&self, voters: usize, all_stay: bool) -> bool {
        let has_room = voters < MAX_VOTERS.max(self.min_voters() + 1);
        has_room && (all_stay || voters.is_multiple_of(2) || voters < self.min_voters())
    }
}

/// Reply to a voter that is about to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaveStatus {
    /// It does not vote any more.
    Left,
    /// It is being dropped.
    Pending,
    /// The set has no voter to spare: it stays a voter while it is stopped.
    Stays,
}

/// Hosts of the disks that vote or ask to vote, and the next change of the voters.
#[derive(Debug)]
pub struct VoterRoster {
    policy: VoterPolicy,
    hosts: BTreeMap<NodeId, HostName>,
    /// Hosts of disks that this leader has proposed to record.
    proposed: BTreeSet<(NodeId, HostName)>,
    /// Disks whose hosts this leader has proposed to remove.
    removed: BTreeSet<NodeId>,
    /// Voters that are about to stop, with the time until which this counts.
    leaving: BTreeMap<NodeId, u64>,
}

impl VoterRoster {
    /// Creates a roster with the hosts that are known at the start.
    pub fn new(policy: VoterPolicy, hosts: BTreeMap<NodeId, HostName>) -> Self {
        Self {
            policy,
            hosts,
            proposed: BTreeSet::new(),
            removed: BTreeSet::new(),
            leaving: BTreeMap::new(),
        }
    }

    /// Records the host of a disk that sent a message.
    pub fn learn(&mut self, node: NodeId, host: HostName) {
        self.hosts.insert(node, host);
    }

    /// Returns the host of a disk, from its messages or else from the log. A voter that began with an
    /// empty disk may become leader before it has received a message of each other voter.
    pub fn host_of<'a>(&'a self, state: &'a SiteState, node: NodeId) -> Option<&'a HostName> {
        self.hosts
            .get(&node)
            .or_else(|| state.voter_hosts.get(&node))
    }

    /// Records that a disk asks to vote, after a stop that it had announced as well.
    pub fn enroll(&mut self, node: NodeId, host: HostName) {
        self.leaving.remove(&node);
        self.learn(node, host);
    }

    /// Returns the hosts of disks that are known without the log.
    pub fn hosts(&self) -> &BTreeMap<NodeId, HostName> {
        &self.hosts
    }

    /// Starts a term of this voter as leader.
    pub fn lead(&mut self) {
        self.proposed.clear();
        self.removed.clear();
    }

    /// Returns commands that bring the log's hosts in line with the voters and learners: they record
    /// those that the log lacks, and remove those of disks that are neither.
    ///
    /// The log keeps one disk of each host, so the new disk of a host is recorded only once the old
    /// one votes no more, or must stay until the new one votes. Before that a new leader needs the old
    /// record to know what the new disk replaces.
    pub fn update_hosts(&mut self, replica: &LogReplica, now_ms: u64) -> Vec<Command> {
        let (raft, state) = (replica.raft(), replica.state());
        if !raft.is_leader() {
            return Vec::new();
        }
        let voters = raft.voters();
        let mut commands = Vec::new();
        for node in voters.iter().chain(raft.learners()) {
            let Some(host) = self.hosts.get(node) else {
                continue;
            };
            if state.voter_hosts.get(node) == Some(host) {
                continue;
            }
            let mut others = voters.iter().filter(|other| *other != node);
            let replaces = self.policy.may_drop(voters.len())
                && others.any(|other| self.host_of(state, *other) == Some(host));
            if !replaces && self.proposed.insert((*node, host.clone())) {
                self.removed.remove(node);
                commands.push(Command::VoterHost(*node, host.clone()));
            }
        }
        let is_gone = |node: &NodeId| !voters.contains(node) && !raft.learners().contains(node);
        // A set that is not committed may be replaced by an earlier one.
        let settled = raft.may_decide(now_ms) && !raft.has_pending_voters();
        let gone = state
            .voter_hosts
            .keys()
            .filter(|node| settled && is_gone(node));
        for node in gone {
            if self.removed.insert(*node) {
                self.proposed.retain(|(other, _)| other != node);
                commands.push(Command::VoterHostGone(*node));
            }
        }
        commands
    }

    /// Returns whether the log has the host of a disk, or will have it before what is proposed next.
    fn is_recorded(&self, state: &SiteState, node: NodeId) -> bool {
        let host = self.host_of(state, node);
        host.is_some_and(|host| {
            state.voter_hosts.get(&node) == Some(host)
                || self.proposed.contains(&(node, host.clone()))
        })
    }

    /// Records that a voter is about to stop. If the set can spare it, it is dropped while it still
    /// replies, so that the set bears as many losses when it is gone.
    pub fn leave(&mut self, replica: &LogReplica, node: NodeId, now_ms: u64) -> LeaveStatus {
        let raft = replica.raft();
        let voters = raft.voters().len();
        let has_successor = !raft.ready_learners().is_empty();
        self.leaving.insert(node, now_ms + LEAVING_MS);
        match raft.voters().contains(&node) {
            false if raft.has_pending_voters() => LeaveStatus::Pending,
            false => LeaveStatus::Left,
            true if self.policy.can_spare(voters) || has_successor => LeaveStatus::Pending,
            true => LeaveStatus::Stays,
        }
    }

    /// Proposes one change of the voters. Returns whether one was proposed.
    ///
    /// A new disk on the host of a voter replaces that voter. A voter that stops or has been silent
    /// for too long is dropped if the set has one to spare, or a learner to take its place. A learner
    /// that has caught up becomes a voter.
    pub fn adjust(&self, replica: &mut LogReplica, now_ms: u64) -> bool {
        let (raft, state) = (replica.raft(), replica.state());
        if !raft.may_decide(now_ms) {
            return false;
        }
        let replied = |node: &NodeId| raft.replied_recently(*node, now_ms);
        let mut voters = raft.voters().clone();
        let learner = raft.ready_learners().into_iter().find(replied);
        let same_host = learner.and_then(|learner| {
            let host = self.host_of(state, learner)?;
            let mut others = voters.iter().copied();
            others.find(|node| self.host_of(state, *node) == Some(host))
        });
        let learner = learner.filter(|learner| self.is_recorded(state, *learner));
        let lost = self.lost_voter(raft, now_ms);
        let stays = |node: &NodeId| replied(node) && !self.leaves(*node, now_ms);
        let all_stay = voters.iter().all(stays);
        match (same_host, lost, learner) {
            (Some(old), _, _) if self.policy.may_drop(voters.len()) => voters.remove(&old),
            (_, Some(lost), None) if self.policy.can_spare(voters.len()) => voters.remove(&lost),
            (_, Some(lost), Some(_)) if self.policy.may_drop(voters.len()) => voters.remove(&lost),
            (_, _, Some(learner)) if self.policy.may_add(voters.len(), all_stay) => {
                voters.insert(learner)
            }
            _ => return false,
        };
        replica.propose_voters(now_ms, voters)
    }

    fn leaves(&self, node: NodeId, now_ms: u64) -> bool {
        let until_ms = self.leaving.get(&node);
        until_ms.is_some_and(|until_ms| *until_ms > now_ms)
    }

    /// Returns the voter that has been silent for longest, if that is too long, or else one that is
    /// about to stop. The latter still counts: it stays in an odd set while another voter is silent.
    fn lost_voter(&self, raft: &RaftCore, now_ms: u64) -> Option<NodeId> {
        let voters = raft.voters();
        let timed = voters
            .iter()
            .map(|node| (raft.silence_ms(*node, now_ms), *node));
        let silent = timed
            .filter(|(silent_ms, _)| *silent_ms >= self.policy.silent_ms)
            .max();
        let all_reply = voters
            .iter()
            .all(|node| raft.replied_recently(*node, now_ms));
        let leaves = |node: &&NodeId| **node != raft.id() && self.leaves(**node, now_ms);
        match silent {
            Some((_, node)) => Some(node),
            None if all_reply || voters.len().is_multiple_of(2) => {
                voters.iter().find(leaves).copied()
            }
            None => None,
        }
    }
}
