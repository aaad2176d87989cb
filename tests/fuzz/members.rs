//! A log whose hosts come, go and lose their disks, where any host may enrol: one leader a
//! term and one that decides, across all processes that ever were.
//!
//! A process is an identity and a life. A message reaches whichever process is on a host by
//! then, as on the wire. Disks are lost without bound: then the log may rest, but no two
//! lead.

use std::collections::{BTreeMap, BTreeSet};

use dunlinspring::consensus::raft::{
    DiskImage, LogEntry, LogMark, Payload, RaftMessage, RaftTiming,
};
use dunlinspring::consensus::replica::{LogReplica, ReplicaOutput};
use dunlinspring::consensus::state::Command;
use dunlinspring::ids::{HostName, NodeId, Position, Term};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const HOSTS: usize = 6;
const FOUNDERS: usize = 3;
const TIMING: RaftTiming = RaftTiming {
    election_ms: 100,
    heartbeat_ms: 20,
};
/// Clock rates in thousandths: 5% apart from true time.
const RATES: [u64; HOSTS] = [1000, 950, 1050, 1050, 950, 1000];
/// Silence after which an even set of voters sheds one: as many election timeouts as in use.
const SHED_MS: u64 = 600;
/// Entries after which the log is compacted.
const COMPACT_AFTER: usize = 12;
/// Messages follow each other at most so far within one round of calm.
const CALM_HOPS: usize = 4;
/// Length of such a round, in milliseconds.
const ROUND_MS: u64 = 15;
/// Most messages under way.
const MAX_WAITING: usize = 250;
/// Rounds until someone must have stood for election: twice the longest wait for one.
const STAND_ROUNDS: usize = 30;
/// Rounds of calm at the end: several elections, and a change of every voter.
const LAST_ROUNDS: usize = 250;

#[derive(Clone, Debug)]
pub enum MemberStep {
    /// Delivers a message; doubled ones stay.
    Deliver {
        pick: usize,
        double: bool,
    },
    Lose {
        pick: usize,
    },
    /// Time passes, and all look at their clocks.
    Wait {
        ms: u64,
    },
    /// Time passes, and one host looks at its clock.
    Tick {
        host: usize,
        ms: u64,
    },
    Calm {
        rounds: usize,
    },
    /// Hosts of the mask and the others do not reach each other.
    Cut {
        mask: u8,
    },
    /// Stands still, or goes on.
    Freeze {
        host: usize,
        frozen: bool,
    },
    Kill {
        host: usize,
    },
    /// Loses power while it takes a message: some records are on the disk, none is told.
    PowerLoss {
        host: usize,
        pick: usize,
        kept: usize,
    },
    KillAll,
    Restart {
        host: usize,
    },
    /// Comes back with a blank disk.
    Wipe {
        host: usize,
    },
    HandOver {
        host: usize,
    },
    Propose {
        host: usize,
    },
    /// Asks whoever it reaches to be made a voter.
    Enroll {
        host: usize,
    },
    /// The leader is alone for a while, and the others go on, some of them restarted.
    CutLeader {
        restarts: u8,
        rounds: usize,
    },
    /// The leader stands still for a while.
    FreezeLeader {
        rounds: usize,
    },
    /// Votes are asked for while the leader is cut off, and arrive when it leads again and
    /// has just been cut off once more.
    LateVotes {
        rounds: usize,
    },
    /// The leader hands over and is killed later; with `cut`, it is cut off once its heir
    /// knows, and hears nothing of the election.
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
        7 => (1usize..14).prop_map(|rounds| MemberStep::Calm { rounds }),
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

/// Whether the last two hosts carry one name; then steps that do not depend on the state.
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

    fn apply(twins: bool, _: &MemberStep) -> bool {
        twins
    }
}

struct Host {
    id: NodeId,
    /// Counts the processes of this host.
    life: u64,
    disk: DiskImage,
    replica: Option<LogReplica>,
    frozen: bool,
    started_at: u64,
}

struct Letter {
    from: (usize, NodeId),
    to: NodeId,
    message: RaftMessage,
}

pub struct MemberWorld {
    twins: bool,
    hosts: Vec<Host>,
    /// The host of each identity that ever was.
    places: BTreeMap<NodeId, usize>,
    bag: Vec<Letter>,
    cut: u8,
    now: u64,
    next_id: u64,
    agreed: BTreeMap<Position, LogEntry>,
    /// Which process led a term.
    leaders: BTreeMap<Term, (NodeId, u64)>,
    waiting: BTreeSet<(NodeId, u64, LogMark)>,
    /// The highest position whose reply was given out.
    acknowledged: Position,
    /// What was played, for the reader of a failure.
    wiped: usize,
}

fn name(twins: bool, host: usize) -> HostName {
    let number = match twins {
        true => host.min(HOSTS - 2),
        false => host,
    };
    HostName(format!("host{number}"))
}

impl MemberWorld {
    fn new(twins: bool) -> Self {
        let founders: BTreeSet<NodeId> = (0..FOUNDERS as u64).map(NodeId).collect();
        let image = LogReplica::bootstrap_image(founders);
        let host = |number: usize| Host {
            id: NodeId(number as u64),
            life: 0,
            disk: match number < FOUNDERS {
                true => image.clone(),
                false => DiskImage::default(),
            },
            replica: None,
            frozen: false,
            started_at: 0,
        };
        let mut world = Self {
            twins,
            hosts: (0..HOSTS).map(host).collect(),
            places: (0..HOSTS).map(|host| (NodeId(host as u64), host)).collect(),
            bag: Vec::new(),
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

    /// A process's clock starts anew with it, and goes on while it stands still.
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
        let place = &mut self.hosts[host];
        place.life += 1;
        place.frozen = false;
        let seed = place.id.0 * 7919 + self.now;
        let disk = place.disk.clone();
        let replica = LogReplica::new(place.id, TIMING, disk, 0, seed, COMPACT_AFTER);
        place.replica = Some(replica);
    }

    fn kill(&mut self, host: usize) {
        self.hosts[host].replica = None;
    }

    fn wipe(&mut self, host: usize) {
        self.kill(host);
        self.wiped += 1;
        let id = NodeId(self.next_id);
        self.next_id += 1;
        self.places.insert(id, host);
        self.hosts[host].id = id;
        self.hosts[host].disk = DiskImage::default();
        self.restart(host);
    }

    fn running(&mut self, host: usize) -> Option<&mut LogReplica> {
        let place = &mut self.hosts[host];
        place.replica.as_mut().filter(|_| !place.frozen)
    }

    fn tick(&mut self, host: usize) {
        let clock = self.clock(host);
        let (twins, places) = (self.twins, self.places.clone());
        let host_of = |node| Some(name(twins, *places.get(&node)?));
        if let Some(replica) = self.running(host) {
            replica.tick(clock);
            replica.adjust_voters(clock, SHED_MS, host_of);
            self.flush(host);
        }
    }

    fn finish(&mut self, host: usize) -> Option<ReplicaOutput> {
        let clock = self.clock(host);
        self.running(host).map(|replica| replica.finish(clock))
    }

    /// Syncs, sends and applies, in this order.
    fn flush(&mut self, host: usize) {
        let Some(output) = self.finish(host) else {
            return;
        };
        let place = &mut self.hosts[host];
        for record in output.records {
            place.disk.apply(record);
        }
        let (id, life) = (place.id, place.life);
        let letters = output.messages.into_iter().map(|(to, message)| Letter {
            from: (host, id),
            to,
            message,
        });
        self.bag.extend(letters);
        for (mark, _) in output.replies {
            if self.waiting.remove(&(id, life, mark)) {
                self.acknowledged = self.acknowledged.max(mark.index);
            }
        }
        self.note_agreed(host);
    }

    /// What a voter's disk holds up to its commit index is what all agree on.
    fn note_agreed(&mut self, host: usize) {
        let place = &self.hosts[host];
        let Some(replica) = &place.replica else {
            return;
        };
        let commit = replica.raft().commit();
        let entries = place.disk.entries.iter();
        for entry in entries.filter(|entry| entry.mark.index <= commit) {
            let known = self.agreed.entry(entry.mark.index).or_insert(entry.clone());
            assert_eq!(known, entry, "committed entries differ");
        }
    }

    /// Whether the process on its way's end could take it now.
    fn arrives(&self, letter: &Letter) -> bool {
        let to = self.places[&letter.to];
        self.reaches(letter.from.0, to) && !self.hosts[to].frozen
    }

    fn deliver(&mut self, at: usize, double: bool) {
        if !self.arrives(&self.bag[at]) {
            return;
        }
        let letter = &self.bag[at];
        let (from, to, message) = (
            letter.from.1,
            self.places[&letter.to],
            letter.message.clone(),
        );
        if !double {
            self.bag.remove(at);
        }
        let clock = self.clock(to);
        if let Some(replica) = self.running(to) {
            replica.receive(clock, from, message);
        }
        self.flush(to);
    }

    /// Takes a message, or the time; then the power goes with some records on the disk.
    fn lose_power(&mut self, host: usize, pick: usize, kept: usize) {
        let letters = (0..self.bag.len()).filter(|at| self.places[&self.bag[*at].to] == host);
        let letters: Vec<usize> = letters.collect();
        let clock = self.clock(host);
        if !letters.is_empty() {
            let letter = self.bag.remove(letters[pick % letters.len()]);
            if let Some(replica) = self.running(host) {
                replica.receive(clock, letter.from.1, letter.message);
            }
        }
        if let Some(replica) = self.running(host) {
            replica.tick(clock);
        }
        if let Some(output) = self.finish(host) {
            let place = &mut self.hosts[host];
            let kept = output.records.into_iter().take(kept);
            kept.for_each(|record| place.disk.apply(record));
        }
        self.kill(host);
    }

    /// Delivers each message once; those that cannot arrive wait.
    fn deliver_all(&mut self) {
        let mut at = 0;
        for _ in 0..self.bag.len() {
            match self.arrives(&self.bag[at]) {
                true => self.deliver(at, false),
                false => at += 1,
            }
            self.check();
        }
        let spare = self.bag.len().saturating_sub(MAX_WAITING);
        self.bag.drain(..spare);
    }

    fn calm(&mut self, rounds: usize) {
        for round in 0..rounds {
            self.now += ROUND_MS;
            if round % 3 == 0 {
                (0..HOSTS).for_each(|host| self.enroll(host));
            }
            (0..HOSTS).for_each(|host| self.tick(host));
            for _ in 0..CALM_HOPS {
                self.deliver_all();
            }
        }
    }

    /// A disk that does not vote asks all; only a leader acts on it.
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
            let note = Command::VoterHost(id, name(self.twins, host));
            let at_ms = self.now;
            let Some(replica) = self.running(other).filter(|r| r.raft().is_leader()) else {
                continue;
            };
            replica.raft_mut().add_learner(id);
            if !replica.state().voter_hosts.contains_key(&id) {
                let _ = replica.propose(at_ms, note);
            }
            self.flush(other);
        }
    }

    fn propose(&mut self, host: usize) {
        let (id, life, at_ms) = (self.hosts[host].id, self.hosts[host].life, self.now);
        let command = Command::VoterHost(id, name(self.twins, host));
        if let Some(replica) = self.running(host)
            && let Ok(mark) = replica.propose(at_ms, command)
        {
            self.waiting.insert((id, life, mark));
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

    /// The host whose leader has the highest term.
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
        self.calm(rounds);
    }

    fn freeze_leader(&mut self, rounds: usize) {
        if let Some(leader) = self.leader() {
            self.hosts[leader].frozen = true;
            self.calm(rounds);
            self.hosts[leader].frozen = false;
            self.check();
        }
    }

    fn late_votes(&mut self, rounds: usize) {
        let Some(leader) = self.leader() else {
            return;
        };
        let asks_vote = |letter: &mut Letter| matches!(letter.message, RaftMessage::Vote { .. });
        self.cut = 1 << leader;
        let mut held = Vec::new();
        for _ in 0..STAND_ROUNDS {
            self.now += ROUND_MS;
            (0..HOSTS).for_each(|host| self.tick(host));
            self.deliver_all();
            held.extend(self.bag.extract_if(.., asks_vote));
            if !held.is_empty() {
                break;
            }
        }
        let Some(candidate) = held.first().map(|letter| letter.from.0) else {
            return;
        };
        self.cut = 1 << candidate;
        self.calm(rounds);
        self.cut = 1 << leader;
        self.bag.extend(held);
        for _ in 0..CALM_HOPS {
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
            self.calm(rounds);
            self.kill(leader);
        }
    }

    fn check(&mut self) {
        let mut deciding = Vec::new();
        for host in 0..HOSTS {
            let clock = self.clock(host);
            let place = &self.hosts[host];
            let Some(replica) = &place.replica else {
                continue;
            };
            let process = (place.id, place.life);
            if replica.raft().is_leader() {
                let known = *self.leaders.entry(replica.term()).or_insert(process);
                assert_eq!(known, process, "two processes led one term");
            }
            if let Some(state) = replica.newest(clock) {
                deciding.push((host, replica.term()));
                assert!(
                    state.position >= self.acknowledged,
                    "a deciding read misses an acknowledged change"
                );
            }
        }
        assert!(deciding.len() <= 1, "two decide at once: {deciding:?}");
    }

    /// Whether a voter can still be elected: a majority of the voters that it knows of have
    /// their disks, with logs that are no newer than its own.
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

    fn init_test(twins: &bool) -> MemberWorld {
        MemberWorld::new(*twins)
    }

    fn apply(mut world: MemberWorld, _: &bool, step: MemberStep) -> MemberWorld {
        match step {
            MemberStep::Deliver { pick, double } if !world.bag.is_empty() => {
                let at = pick % world.bag.len();
                world.deliver(at, double);
            }
            MemberStep::Lose { pick } if !world.bag.is_empty() => {
                let at = pick % world.bag.len();
                world.bag.swap_remove(at);
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
            MemberStep::Calm { rounds } => world.calm(rounds),
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
        for _ in 0..LAST_ROUNDS / 10 {
            world.calm(10);
            (0..HOSTS).for_each(|host| world.propose(host));
        }
        world.calm(10);
        let wiped = world.wiped;
        // A change of the voters that was still on its way counts those that are lost.
        assert!(
            world.acknowledged > before || !world.can_go_on(),
            "no progress after all faults ended; {wiped} disks were lost"
        );
    }
}

prop_state_machine! {
    #![proptest_config(super::config(600))]

    #[test]
    fn one_leads_whoever_comes_and_goes(sequential 1..120 => MemberTest);
}
