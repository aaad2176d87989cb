//! Membership changes of the log: hosts come, go and lose their disks, and any host may
//! enrol. Over all processes of all hosts there is at most one leader in a term and at most
//! one process that decides at a time.
//!
//! A process is a node id and an incarnation. A message reaches the process that runs on the
//! host at delivery, as on the network. Any number of disks may be lost: the log may then
//! stall, but never has two leaders.

use std::collections::{BTreeMap, BTreeSet};

use dunlinspring::consensus::membership::{VoterPolicy, VoterRoster};
use dunlinspring::consensus::raft::{
    DiskImage, LogEntry, LogMark, Payload, RaftMessage, RaftTiming,
};
use dunlinspring::consensus::replica::{LogReplica, ReplicaOutput};
use dunlinspring::consensus::state::Command;
use dunlinspring::ids::{HostName, NodeId, Position, Term};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const HOSTS: usize = 6;
const BOOTSTRAP_HOSTS: usize = 3;
const TIMING: RaftTiming = RaftTiming {
    election_ms: 100,
    heartbeat_ms: 20,
};
/// Clock rates in thousandths: up to 5% off true time.
const RATES: [u64; HOSTS] = [1000, 950, 1050, 1050, 950, 1000];
/// The silence is the same multiple of the election timeout as in production.
const POLICY: VoterPolicy = VoterPolicy {
    bearable_losses: 1,
    silent_ms: 200,
};
/// Number of entries after which the log is compacted.
const COMPACT_AFTER: usize = 12;
/// Delivery passes in a fault-free round, which bound the length of a chain of messages.
const DELIVERIES_PER_ROUND: usize = 4;
/// Length of a fault-free round, in milliseconds.
const ROUND_MS: u64 = 15;
/// Maximum number of messages in flight.
const MAX_WAITING: usize = 250;
/// Rounds within which a voter must become a candidate: twice the longest election timeout.
const CANDIDACY_ROUNDS: usize = 30;
/// Fault-free rounds at the end: time for several elections and a change of every voter.
const RECOVERY_ROUNDS: usize = 250;

#[derive(Clone, Debug)]
pub enum MemberStep {
    /// Delivers a message; with `double` it also stays in flight.
    Deliver {
        pick: usize,
        double: bool,
    },
    Lose {
        pick: usize,
    },
    /// Advances time and ticks all hosts.
    Wait {
        ms: u64,
    },
    /// Advances time and ticks one host.
    Tick {
        host: usize,
        ms: u64,
    },
    FaultFree {
        rounds: usize,
    },
    /// Partitions the hosts in the mask from the rest.
    Cut {
        mask: u8,
    },
    /// Freezes a process or lets it go on.
    Freeze {
        host: usize,
        frozen: bool,
    },
    Kill {
        host: usize,
    },
    /// Loses power while it handles a message: `kept` records reach the disk, and none of its
    /// messages and replies is sent.
    PowerLoss {
        host: usize,
        pick: usize,
        kept: usize,
    },
    KillAll,
    Restart {
        host: usize,
    },
    /// Restarts with a blank disk and a new node id.
    Wipe {
        host: usize,
    },
    HandOver {
        host: usize,
    },
    Propose {
        host: usize,
    },
    /// Asks all hosts that it reaches to become a voter.
    Enroll {
        host: usize,
    },
    /// Isolates the leader for some rounds; the other hosts go on, some of them restarted.
    CutLeader {
        restarts: u8,
        rounds: usize,
    },
    /// Freezes the leader for some rounds.
    FreezeLeader {
        rounds: usize,
    },
    /// Holds back vote requests sent while the leader is cut off, and delivers them after the
    /// candidate was cut off for some rounds instead and the leader has just been cut off again.
    LateVotes {
        rounds: usize,
    },
    /// The leader hands over and is killed later. With `cut`, it is cut off after one delivery
    /// pass, so that its successor knows and the leader receives nothing of the election.
    StopLeader {
        cut: bool,
        rounds: usize,
    },
}

fn step() -> impl Strategy<Value = MemberStep> {
    let host = 0..HOSTS;
    let picks = any::<usize>();
    prop_oneof![
        8 => (picks, prop::bool::weighted(0.2))
            .prop_map(|(pick, double)| MemberStep::Deliver { pick, double }),
        1 => picks.prop_map(|pick| MemberStep::Lose { pick }),
        2 => (1u64..150).prop_map(|ms| MemberStep::Wait { ms }),
        2 => (host.clone(), 1u64..150).prop_map(|(host, ms)| MemberStep::Tick { host, ms }),
        7 => (1usize..14).prop_map(|rounds| MemberStep::FaultFree { rounds }),
        2 => (0u8..64).prop_map(|mask| MemberStep::Cut { mask }),
        1 => Just(MemberStep::Cut { mask: 0 }),
        1 => (host.clone(), any::<bool>())
            .prop_map(|(host, frozen)| MemberStep::Freeze { host, frozen }),
        1 => host.clone().prop_map(|host| MemberStep::Kill { host }),
        2 => (host.clone(), picks, 0usize..4)
            .prop_map(|(host, pick, kept)| MemberStep::PowerLoss { host, pick, kept }),
        1 => Just(MemberStep::KillAll),
        4 => host.clone().prop_map(|host| MemberStep::Restart { host }),
        2 => host.clone().prop_map(|host| MemberStep::Wipe { host }),
        1 => host.clone().prop_map(|host| MemberStep::HandOver { host }),
        3 => host.clone().prop_map(|host| MemberStep::Propose { host }),
        3 => host.prop_map(|host| MemberStep::Enroll { host }),
        1 => (0u8..64, 1usize..30)
            .prop_map(|(restarts, rounds)| MemberStep::CutLeader { restarts, rounds }),
        1 => (1usize..30).prop_map(|rounds| MemberStep::FreezeLeader { rounds }),
        1 => (1usize..20).prop_map(|rounds| MemberStep::LateVotes { rounds }),
        1 => (any::<bool>(), 1usize..10)
            .prop_map(|(cut, rounds)| MemberStep::StopLeader { cut, rounds }),
    ]
}

/// The state is whether the last two hosts share a name; steps do not depend on it.
pub struct MemberScript;

impl ReferenceStateMachine for MemberScript {
    type State = bool;
    type Transition = MemberStep;

    fn init_state() -> BoxedStrategy<bool> {
        prop::bool::weighted(0.2).boxed()
    }

    fn transitions(_: &bool) -> BoxedStrategy<MemberStep> {
        step().boxed()
    }

    fn apply(shared_name: bool, _: &MemberStep) -> bool {
        shared_name
    }
}

struct Host {
    id: NodeId,
    /// Number of processes started on this host.
    incarnation: u64,
    disk: DiskImage,
    replica: Option<LogReplica>,
    frozen: bool,
    started_at: u64,
}

struct Envelope {
    from: (usize, NodeId),
    to: NodeId,
    message: RaftMessage,
}

pub struct MemberWorld {
    shared_name: bool,
    hosts: Vec<Host>,
    /// The host of every node id ever used.
    host_of_node: BTreeMap<NodeId, usize>,
    in_flight: Vec<Envelope>,
    cut: u8,
    now: u64,
    next_id: u64,
    agreed: BTreeMap<Position, LogEntry>,
    /// The process that led each term.
    leaders: BTreeMap<Term, (NodeId, u64)>,
    waiting: BTreeSet<(NodeId, u64, LogMark)>,
    /// The highest position whose reply was sent.
    acknowledged: Position,
    /// Number of lost disks, for the failure message.
    wiped: usize,
}

fn name(shared_name: bool, host: usize) -> HostName {
    let number = match shared_name {
        true => host.min(HOSTS - 2),
        false => host,
    };
    HostName(format!("host{number}"))
}

impl MemberWorld {
    fn new(shared_name: bool) -> Self {
        let bootstrap_hosts: BTreeSet<NodeId> = (0..BOOTSTRAP_HOSTS as u64).map(NodeId).collect();
        let image = LogReplica::bootstrap_image(bootstrap_hosts);
        let host = |number: usize| Host {
            id: NodeId(number as u64),
            incarnation: 0,
            disk: match number < BOOTSTRAP_HOSTS {
                true => image.clone(),
                false => DiskImage::default(),
            },
            replica: None,
            frozen: false,
            started_at: 0,
        };
        let mut world = Self {
            shared_name,
            hosts: (0..HOSTS).map(host).collect(),
            host_of_node: (0..HOSTS).map(|host| (NodeId(host as u64), host)).collect(),
            in_flight: Vec::new(),
            cut: 0,
            now: 0,
            next_id: 100,
            agreed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            waiting: BTreeSet::new(),
            acknowledged: Position(0),
            wiped: 0,
        };
        for host in 0..HOSTS {
            world.restart(host);
        }
        world
    }

    /// Returns the clock of the process on a host: it starts at 0 with the process and goes on
    /// while the process is frozen.
    fn clock(&self, host: usize) -> u64 {
        (self.now - self.hosts[host].started_at) * RATES[host] / 1000
    }

    fn reaches(&self, one: usize, other: usize) -> bool {
        (self.cut >> one) & 1 == (self.cut >> other) & 1
    }

    fn restart(&mut self, host: usize) {
        if self.hosts[host].replica.is_some() {
            return;
        }
        self.hosts[host].started_at = self.now;
        let machine = &mut self.hosts[host];
        machine.incarnation += 1;
        machine.frozen = false;
        let seed = machine.id.0 * 7919 + self.now;
        let disk = machine.disk.clone();
        let replica = LogReplica::new(machine.id, TIMING, disk, 0, seed, COMPACT_AFTER);
        machine.replica = Some(replica);
    }

    fn kill(&mut self, host: usize) {
        self.hosts[host].replica = None;
    }

    fn wipe(&mut self, host: usize) {
        self.kill(host);
        self.wiped += 1;
        let id = NodeId(self.next_id);
        self.next_id += 1;
        self.host_of_node.insert(id, host);
        self.hosts[host].id = id;
        self.hosts[host].disk = DiskImage::default();
        self.restart(host);
    }

    fn running(&mut self, host: usize) -> Option<&mut LogReplica> {
        let machine = &mut self.hosts[host];
        machine.replica.as_mut().filter(|_| !machine.frozen)
    }

    fn tick(&mut self, host: usize) {
        let clock = self.clock(host);
        let hosts = self.host_of_node.iter();
        let hosts = hosts.map(|(node, host)| (*node, name(self.shared_name, *host)));
        let roster = VoterRoster::new(POLICY, hosts.collect());
        if let Some(replica) = self.running(host) {
            replica.tick(clock);
            roster.adjust(replica, clock);
            self.flush(host);
        }
    }

    fn finish(&mut self, host: usize) -> Option<ReplicaOutput> {
        let clock = self.clock(host);
        self.running(host).map(|replica| replica.finish(clock))
    }

    /// Writes records to the disk, sends messages and records replies, in this order.
    fn flush(&mut self, host: usize) {
        let Some(output) = self.finish(host) else {
            return;
        };
        let machine = &mut self.hosts[host];
        for record in output.records {
            machine.disk.apply(record);
        }
        let (id, incarnation) = (machine.id, machine.incarnation);
        let envelopes = output.messages.into_iter().map(|(to, message)| Envelope {
            from: (host, id),
            to,
            message,
        });
        self.in_flight.extend(envelopes);
        for (mark, _) in output.replies {
            if self.waiting.remove(&(id, incarnation, mark)) {
                self.acknowledged = self.acknowledged.max(mark.index);
            }
        }
        self.record_agreed(host);
    }

    /// Checks that entries up to the commit index are the same on all disks.
    fn record_agreed(&mut self, host: usize) {
        let machine = &self.hosts[host];
        let Some(replica) = &machine.replica else {
            return;
        };
        let commit = replica.raft().commit();
        let entries = machine.disk.entries.iter();
        for entry in entries.filter(|entry| entry.mark.index <= commit) {
            let known = self.agreed.entry(entry.mark.index).or_insert(entry.clone());
            assert_eq!(known, entry, "committed entries differ");
        }
    }

    /// Returns whether the receiving process can take the message now.
    fn arrives(&self, envelope: &Envelope) -> bool {
        let to = self.host_of_node[&envelope.to];
        self.reaches(envelope.from.0, to) && !self.hosts[to].frozen
    }

    fn deliver(&mut self, at: usize, double: bool) {
        if !self.arrives(&self.in_flight[at]) {
            return;
        }
        let envelope = &self.in_flight[at];
        let (from, to, message) = (
            envelope.from.1,
            self.host_of_node[&envelope.to],
            envelope.message.clone(),
        );
        if !double {
            self.in_flight.remove(at);
        }
        let clock = self.clock(to);
        if let Some(replica) = self.running(to) {
            replica.receive(clock, from, message);
        }
        self.flush(to);
    }

    /// Handles a message, if there is one, and a tick; then loses power with the first `kept`
    /// records on the disk.
    fn lose_power(&mut self, host: usize, pick: usize, kept: usize) {
        let envelopes = (0..self.in_flight.len())
            .filter(|at| self.host_of_node[&self.in_flight[*at].to] == host);
        let envelopes: Vec<usize> = envelopes.collect();
        let clock = self.clock(host);
        if !envelopes.is_empty() {
            let envelope = self.in_flight.remove(envelopes[pick % envelopes.len()]);
            if let Some(replica) = self.running(host) {
                replica.receive(clock, envelope.from.1, envelope.message);
            }
        }
        if let Some(replica) = self.running(host) {
            replica.tick(clock);
        }
        if let Some(output) = self.finish(host) {
            let machine = &mut self.hosts[host];
            let kept = output.records.into_iter().take(kept);
            kept.for_each(|record| machine.disk.apply(record));
        }
        self.kill(host);
    }

    /// Delivers each message once; those that cannot arrive stay in flight.
    fn deliver_all(&mut self) {
        let mut at = 0;
        for _ in 0..self.in_flight.len() {
            match self.arrives(&self.in_flight[at]) {
                true => self.deliver(at, false),
                false => at += 1,
            }
            self.check();
        }
        let spare = self.in_flight.len().saturating_sub(MAX_WAITING);
        self.in_flight.drain(..spare);
    }

    fn run_fault_free(&mut self, rounds: usize) {
        for round in 0..rounds {
            self.now += ROUND_MS;
            if round % 3 == 0 {
                (0..HOSTS).for_each(|host| self.enroll(host));
            }
            (0..HOSTS).for_each(|host| self.tick(host));
            for _ in 0..DELIVERIES_PER_ROUND {
                self.deliver_all();
            }
        }
    }

    /// Asks all reachable hosts to make a non-voter a voter; only a leader acts on it.
    fn enroll(&mut self, host: usize) {
        let id = self.hosts[host].id;
        let voters = self.running(host).map(|r| r.raft().voters().contains(&id));
        if voters != Some(false) {
            return;
        }
        for other in (0..HOSTS).filter(|other| *other != host) {
            if !self.reaches(host, other) {
                continue;
            }
            let command = Command::VoterHost(id, name(self.shared_name, host));
            let at_ms = self.now;
            let Some(replica) = self.running(other).filter(|r| r.raft().is_leader()) else {
                continue;
            };
            replica.raft_mut().add_learner(id);
            if !replica.state().voter_hosts.contains_key(&id) {
                let _ = replica.propose(at_ms, command);
            }
            self.flush(other);
        }
    }

    fn propose(&mut self, host: usize) {
        let (id, incarnation, at_ms) =
            (self.hosts[host].id, self.hosts[host].incarnation, self.now);
        let command = Command::VoterHost(id, name(self.shared_name, host));
        if let Some(replica) = self.running(host)
            && let Ok(mark) = replica.propose(at_ms, command)
        {
            self.waiting.insert((id, incarnation, mark));
        }
        self.flush(host);
    }

    fn hand_over(&mut self, host: usize) {
        let clock = self.clock(host);
        if let Some(replica) = self.running(host) {
            replica.raft_mut().hand_over(clock);
        }
        self.flush(host);
    }

    /// Returns the host of the leader with the highest term.
    fn leader(&self) -> Option<usize> {
        let leads = |host: &usize| {
            let replica = self.hosts[*host].replica.as_ref();
            replica.is_some_and(|replica| replica.raft().is_leader())
        };
        let term = |host: &usize| self.hosts[*host].replica.as_ref().map(LogReplica::term);
        (0..HOSTS).filter(leads).max_by_key(term)
    }

    fn cut_leader(&mut self, restarts: u8, rounds: usize) {
        let Some(leader) = self.leader() else {
            return;
        };
        self.cut = 1 << leader;
        for host in (0..HOSTS).filter(|host| *host != leader && (restarts >> host) & 1 == 1) {
            self.kill(host);
            self.restart(host);
        }
        self.run_fault_free(rounds);
    }

    fn freeze_leader(&mut self, rounds: usize) {
        if let Some(leader) = self.leader() {
            self.hosts[leader].frozen = true;
            self.run_fault_free(rounds);
            self.hosts[leader].frozen = false;
            self.check();
        }
    }

    fn late_votes(&mut self, rounds: usize) {
        let Some(leader) = self.leader() else {
            return;
        };
        let asks_vote =
            |envelope: &mut Envelope| matches!(envelope.message, RaftMessage::Vote { .. });
        self.cut = 1 << leader;
        let mut held = Vec::new();
        for _ in 0..CANDIDACY_ROUNDS {
            self.now += ROUND_MS;
            (0..HOSTS).for_each(|host| self.tick(host));
            self.deliver_all();
            held.extend(self.in_flight.extract_if(.., asks_vote));
            if !held.is_empty() {
                break;
            }
        }
        let Some(candidate) = held.first().map(|envelope| envelope.from.0) else {
            return;
        };
        self.cut = 1 << candidate;
        self.run_fault_free(rounds);
        self.cut = 1 << leader;
        self.in_flight.extend(held);
        for _ in 0..DELIVERIES_PER_ROUND {
            self.deliver_all();
        }
    }

    fn stop_leader(&mut self, cut: bool, rounds: usize) {
        if let Some(leader) = self.leader() {
            self.hand_over(leader);
            self.check();
            if cut {
                self.deliver_all();
                self.cut = 1 << leader;
            }
            self.run_fault_free(rounds);
            self.kill(leader);
        }
    }

    fn check(&mut self) {
        let mut deciding = Vec::new();
        for host in 0..HOSTS {
            let clock = self.clock(host);
            let machine = &self.hosts[host];
            let Some(replica) = &machine.replica else {
                continue;
            };
            let process = (machine.id, machine.incarnation);
            if replica.raft().is_leader() {
                let known = *self.leaders.entry(replica.term()).or_insert(process);
                assert_eq!(known, process, "two processes led the same term");
            }
            if let Some(state) = replica.newest(clock) {
                deciding.push((host, replica.term()));
                assert!(
                    state.position >= self.acknowledged,
                    "a linearizable read misses an acknowledged change"
                );
            }
        }
        assert!(
            deciding.len() <= 1,
            "two processes decide at once: {deciding:?}"
        );
    }

    /// Returns whether a voter can still be elected: a majority of its voters have their disks,
    /// with logs that are no newer than its own.
    fn can_go_on(&self) -> bool {
        let electable = |host: &Host| {
            let voters = voters_on(&host.disk);
            let votes = |other: &&Host| {
                voters.contains(&other.id) && last_on(&other.disk) <= last_on(&host.disk)
            };
            let votes = self.hosts.iter().filter(votes).count();
            voters.contains(&host.id) && votes * 2 > voters.len()
        };
        self.hosts.iter().any(electable)
    }
}

fn last_on(disk: &DiskImage) -> LogMark {
    let last = disk.entries.last();
    last.map_or(disk.snapshot.last, |entry| entry.mark)
}

fn voters_on(disk: &DiskImage) -> &BTreeSet<NodeId> {
    let mut entries = disk.entries.iter().rev();
    let named = entries.find_map(|entry| match &entry.payload {
        Payload::Voters(voters) => Some(voters),
        _ => None,
    });
    named.unwrap_or(&disk.snapshot.voters)
}

pub struct MemberTest;

impl StateMachineTest for MemberTest {
    type SystemUnderTest = MemberWorld;
    type Reference = MemberScript;

    fn init_test(shared_name: &bool) -> MemberWorld {
        MemberWorld::new(*shared_name)
    }

    fn apply(mut world: MemberWorld, _: &bool, step: MemberStep) -> MemberWorld {
        match step {
            MemberStep::Deliver { pick, double } if !world.in_flight.is_empty() => {
                let at = pick % world.in_flight.len();
                world.deliver(at, double);
            }
            MemberStep::Lose { pick } if !world.in_flight.is_empty() => {
                let at = pick % world.in_flight.len();
                world.in_flight.swap_remove(at);
            }
            MemberStep::Deliver { .. } | MemberStep::Lose { .. } => {}
            MemberStep::Wait { ms } => {
                world.now += ms;
                (0..HOSTS).for_each(|host| world.tick(host));
            }
            MemberStep::Tick { host, ms } => {
                world.now += ms;
                world.tick(host);
            }
            MemberStep::FaultFree { rounds } => world.run_fault_free(rounds),
            MemberStep::Cut { mask } => world.cut = mask,
            MemberStep::Freeze { host, frozen } => world.hosts[host].frozen = frozen,
            MemberStep::Kill { host } => world.kill(host),
            MemberStep::PowerLoss { host, pick, kept } => world.lose_power(host, pick, kept),
            MemberStep::KillAll => {
                (0..HOSTS).for_each(|host| world.kill(host));
                (0..HOSTS).for_each(|host| world.restart(host));
            }
            MemberStep::Restart { host } => world.restart(host),
            MemberStep::Wipe { host } => world.wipe(host),
            MemberStep::HandOver { host } => world.hand_over(host),
            MemberStep::Propose { host } => world.propose(host),
            MemberStep::Enroll { host } => world.enroll(host),
            MemberStep::CutLeader { restarts, rounds } => world.cut_leader(restarts, rounds),
            MemberStep::FreezeLeader { rounds } => world.freeze_leader(rounds),
            MemberStep::LateVotes { rounds } => world.late_votes(rounds),
            MemberStep::StopLeader { cut, rounds } => world.stop_leader(cut, rounds),
        }
        world.check();
        world
    }

    fn teardown(mut world: MemberWorld, _: bool) {
        world.cut = 0;
        for host in 0..HOSTS {
            world.hosts[host].frozen = false;
            world.restart(host);
        }
        let before = world.acknowledged;
        for _ in 0..RECOVERY_ROUNDS / 10 {
            world.run_fault_free(10);
            (0..HOSTS).for_each(|host| world.propose(host));
        }
        world.run_fault_free(10);
        let wiped = world.wiped;
        // A pending change of the voters may count voters whose disks are lost, and then no
        // majority is left.
        assert!(
            world.acknowledged > before || !world.can_go_on(),
            "no progress after all faults ended; {wiped} disks were lost"
        );
    }
}

prop_state_machine! {
    #![proptest_config(super::config(600))]

    #[test]
    fn at_most_one_leader_while_hosts_come_and_go(sequential 1..120 => MemberTest);
}
