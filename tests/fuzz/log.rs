//! The replicated log, table and claims under lost, late, duplicated and reordered messages,
//! crashes with unsynced records, slow and lost disks, partitions and clock drift.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use dunlinspring::consensus::claims::{ClaimKey, ClaimReply, ClaimRequest, Settlement};
use dunlinspring::consensus::raft::{
    DiskImage, LogEntry, LogMark, Payload, RaftMessage, RaftTiming,
};
use dunlinspring::consensus::replica::LogReplica;
use dunlinspring::consensus::state::{Command, Reply, SiteState, Stamped};
use dunlinspring::consensus::write_queue::{ReleasedOutput, WriteBatch, WriteQueue};
use dunlinspring::ids::*;
use dunlinspring::table::limits::LimitPolicy;
use dunlinspring::table::rows::{EditRefusal, RowChange, RowEdit, RowFields, Urgency};
use dunlinspring::table::site::{ModelKind, ModelSpec, SiteSpec, TargetSpec};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const VOTERS: usize = 3;
const TIMING: RaftTiming = RaftTiming {
    election_ms: 100,
    heartbeat_ms: 20,
};
/// Clock rates of the voters in thousandths: up to 5% off true time.
const RATES: [u64; VOTERS] = [1000, 950, 1050];

/// Delivery passes in a fault-free round, which bound the length of a chain of messages.
const DELIVERIES_PER_ROUND: usize = 4;
/// Maximum number of messages that wait for voters that are cut off.
const MAX_WAITING: usize = 100;

#[derive(Clone, Debug)]
pub enum Step {
    /// Delivers a message; with `double` it also stays in flight.
    Deliver {
        pick: usize,
        double: bool,
    },
    /// Loses a message.
    Lose {
        pick: usize,
    },
    /// Advances time and ticks all voters.
    Wait {
        ms: u64,
    },
    /// Runs rounds without new faults: clocks tick, and messages arrive in order.
    FaultFree {
        rounds: usize,
    },
    /// Cuts a voter off or reconnects it; its messages wait meanwhile.
    Cut {
        voter: usize,
        cut: bool,
    },
    /// Crashes a voter; with `unsynced`, its last records do not reach the disk.
    Crash {
        voter: usize,
        unsynced: bool,
    },
    Restart {
        voter: usize,
    },
    /// Makes a voter's disk slow or fast. A slow one writes only in its own steps, and in rounds
    /// without faults.
    SlowDisk {
        voter: usize,
        slow: bool,
    },
    /// Writes the oldest batch of a voter.
    Write {
        voter: usize,
    },
    /// Cuts off one follower for some rounds, then the leader instead. The other follower, the
    /// only one that knows of the leader's lease, may restart.
    StaleLeader {
        follower: usize,
        missed_rounds: usize,
        restart_witness: bool,
        rounds: usize,
    },
    /// Sends an earlier edit again.
    Resend {
        voter: usize,
        pick: usize,
    },
    /// Crashes a voter and replaces its disk by a blank one.
    LoseDisk {
        voter: usize,
    },
    /// Hands over leadership, as before a planned stop.
    HandOver {
        voter: usize,
    },
    Edit {
        voter: usize,
        edit: usize,
        row: usize,
        partner: usize,
        guess: usize,
    },
    Claim {
        voter: usize,
        key: usize,
        body: u8,
    },
    Settle {
        voter: usize,
        key: usize,
        done: bool,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let voter = 0..VOTERS;
    prop_oneof![
        8 => (any::<usize>(), prop::bool::weighted(0.2))
            .prop_map(|(pick, double)| Step::Deliver { pick, double }),
        2 => any::<usize>().prop_map(|pick| Step::Lose { pick }),
        3 => (1u64..150).prop_map(|ms| Step::Wait { ms }),
        5 => (1usize..12).prop_map(|rounds| Step::FaultFree { rounds }),
        1 => (voter.clone(), any::<bool>()).prop_map(|(voter, cut)| Step::Cut { voter, cut }),
        1 => (voter.clone(), any::<bool>())
            .prop_map(|(voter, unsynced)| Step::Crash { voter, unsynced }),
        2 => voter.clone().prop_map(|voter| Step::Restart { voter }),
        2 => (voter.clone(), any::<bool>())
            .prop_map(|(voter, slow)| Step::SlowDisk { voter, slow }),
        3 => voter.clone().prop_map(|voter| Step::Write { voter }),
        1 => voter.clone().prop_map(|voter| Step::LoseDisk { voter }),
        1 => voter.clone().prop_map(|voter| Step::HandOver { voter }),
        2 => (0usize..2, 0usize..14, any::<bool>(), 1usize..14).prop_map(
            |(follower, missed_rounds, restart_witness, rounds)| Step::StaleLeader { follower, missed_rounds, restart_witness, rounds }
        ),
        3 => (voter.clone(), any::<usize>())
            .prop_map(|(voter, pick)| Step::Resend { voter, pick }),
        5 => (voter.clone(), 0usize..12, 0usize..3, 0usize..2, 0usize..3).prop_map(
            |(voter, edit, row, partner, guess)| Step::Edit { voter, edit, row, partner, guess }
        ),
        3 => (voter.clone(), 0usize..3, 0u8..2)
            .prop_map(|(voter, key, body)| Step::Claim { voter, key, body }),
        2 => (voter, 0usize..3, any::<bool>())
            .prop_map(|(voter, key, done)| Step::Settle { voter, key, done }),
    ]
}

/// Steps do not depend on the state: indexes such as `pick` wrap around.
pub struct LogScript;

impl ReferenceStateMachine for LogScript {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        step().boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct Voter {
    id: NodeId,
    disk: DiskImage,
    replica: Option<LogReplica>,
    writes: WriteQueue,
    unwritten: VecDeque<WriteBatch>,
    slow: bool,
    cut: bool,
    clock_base: u64,
    started_at: u64,
    /// Position up to which entries were compared with those of other voters.
    compared: Position,
}

/// All voters, the messages between them, and the acknowledged changes.
pub struct LogWorld {
    voters: Vec<Voter>,
    hosts: BTreeMap<NodeId, usize>,
    in_flight: Vec<(NodeId, NodeId, RaftMessage)>,
    now: u64,
    next_id: u64,
    attempts: u64,
    /// The first committed entry seen at each index; all voters must have the same.
    agreed: BTreeMap<Position, LogEntry>,
    leaders: BTreeMap<Term, NodeId>,
    /// The highest position whose reply was sent.
    acknowledged: Position,
    waiting: BTreeMap<(NodeId, LogMark), ()>,
    replies: BTreeMap<Position, Reply>,
    lost_disks: usize,
    sent: Vec<RowEdit>,
}

fn site() -> SiteSpec {
    let model = ModelSpec {
        kind: ModelKind::Base,
        weights_mib: 10,
        kv_kib_per_token: 0,
    };
    let target = TargetSpec {
        hall: HallName::from("hall"),
        memory_mib: 100,
        kv_floor_mib: 0,
        accelerators: 1,
    };
    SiteSpec {
        generation: 1,
        spare_targets: 0,
        load_gap_ms: 0,
        loads_at_once: 1,
        limits: LimitPolicy::default(),
        models: BTreeMap::from([(ModelName::from("m"), model)]),
        targets: BTreeMap::from([(TargetName::from("t"), target)]),
    }
}

fn partner(number: usize) -> PartnerName {
    PartnerName::from(["fiji", "heredia"][number])
}

impl LogWorld {
    fn new() -> Self {
        let ids: BTreeSet<NodeId> = (0..VOTERS as u64).map(NodeId).collect();
        let image = LogReplica::bootstrap_image(ids.clone());
        let voters = ids.iter().map(|id| Voter {
            id: *id,
            disk: image.clone(),
            replica: None,
            writes: WriteQueue::default(),
            unwritten: VecDeque::new(),
            slow: false,
            cut: false,
            clock_base: 1000 * (id.0 + 1),
            started_at: 0,
            compared: Position(0),
        });
        let mut world = Self {
            voters: voters.collect(),
            hosts: ids.iter().map(|id| (*id, id.0 as usize)).collect(),
            in_flight: Vec::new(),
            now: 0,
            next_id: 100,
            attempts: 0,
            agreed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            acknowledged: Position(0),
            waiting: BTreeMap::new(),
            replies: BTreeMap::new(),
            lost_disks: 0,
            sent: Vec::new(),
        };
        for voter in 0..VOTERS {
            world.restart(voter);
        }
        world
    }

    fn clock(&self, voter: usize) -> u64 {
        let base = self.voters[voter].clock_base;
        base + (self.now - self.voters[voter].started_at) * RATES[voter] / 1000
    }

    fn restart(&mut self, voter: usize) {
        if self.voters[voter].replica.is_some() {
            return;
        }
        // The clock starts anew with each process.
        self.voters[voter].started_at = self.now;
        let clock = self.clock(voter);
        let node = &mut self.voters[voter];
        let seed = node.id.0 * 7919 + self.now;
        let replica = LogReplica::new(node.id, TIMING, node.disk.clone(), clock, seed, 12);
        node.replica = Some(replica);
        node.compared = Position(0);
    }

    fn enroll(&mut self) {
        let blank: Vec<NodeId> = self.voters.iter().map(|voter| voter.id).collect();
        for node in &mut self.voters {
            let (cut, own) = (node.cut, node.id);
            if let Some(replica) = node.replica.as_mut().filter(|_| !cut) {
                for id in blank.iter().filter(|id| **id != own) {
                    replica.raft_mut().add_learner(*id);
                }
            }
        }
    }

    fn tick(&mut self, voter: usize) {
        let clock = self.clock(voter);
        let hosts = self.hosts.clone();
        if let Some(replica) = &mut self.voters[voter].replica {
            replica.tick(clock);
            replica.replace_voter(clock, |node| {
                hosts.get(&node).map(|host| HostName(host.to_string()))
            });
        }
        self.flush(voter);
    }

    /// Takes a voter's output, and writes its records unless the disk is slow.
    fn flush(&mut self, voter: usize) {
        self.take_output(voter);
        while !self.voters[voter].slow && self.write(voter) {}
        self.record_agreed(voter);
    }

    fn take_output(&mut self, voter: usize) {
        let clock = self.clock(voter);
        let node = &mut self.voters[voter];
        let Some(replica) = &mut node.replica else {
            return;
        };
        let output = replica.finish(clock);
        let (batch, released) = node.writes.push(output);
        node.unwritten.extend(batch);
        let unsaved_from = node.writes.unsaved_from();
        replica.raft_mut().set_unsaved_from(unsaved_from);
        self.deliver_released(voter, released);
    }

    /// Writes the oldest batch to the disk. Returns whether there was one.
    fn write(&mut self, voter: usize) -> bool {
        let clock = self.clock(voter);
        let node = &mut self.voters[voter];
        let Some(batch) = node.unwritten.pop_front() else {
            return false;
        };
        for record in batch.records {
            node.disk.apply(record);
        }
        let released = node.writes.saved(batch.number);
        if let Some(replica) = &mut node.replica {
            let unsaved_from = node.writes.unsaved_from();
            replica.raft_mut().set_unsaved_from(unsaved_from);
            if released.vote_saved {
                replica.raft_mut().vote_saved(clock);
            }
        }
        self.deliver_released(voter, released);
        // What the write has committed is applied before the next step.
        self.take_output(voter);
        true
    }

    /// Sends messages and records replies.
    fn deliver_released(&mut self, voter: usize, released: ReleasedOutput) {
        let id = self.voters[voter].id;
        for (to, message) in released.messages {
            self.in_flight.push((id, to, message));
        }
        for (mark, reply) in released.replies {
            let known = self.replies.entry(mark.index).or_insert(reply.clone());
            assert_eq!(*known, reply, "two voters replied differently to {mark:?}");
            if self.waiting.remove(&(id, mark)).is_some() {
                self.acknowledged = self.acknowledged.max(mark.index);
            }
        }
    }

    /// Checks that the entries that a voter takes for committed are the same at all voters, and
    /// on all disks those up to the commit index that the disk holds. The entries of a slow disk
    /// above that index may have been replaced in memory.
    fn record_agreed(&mut self, voter: usize) {
        let node = &self.voters[voter];
        let Some(replica) = &node.replica else {
            return;
        };
        let commit = replica.raft().commit();
        let up_to = |entries: &[LogEntry], commit: Position| {
            let committed = entries.iter().filter(|entry| entry.mark.index <= commit);
            committed.cloned().collect::<Vec<_>>()
        };
        let mut committed = up_to(replica.raft().tail(), commit);
        committed.extend(up_to(&node.disk.entries, node.disk.commit));
        for entry in committed {
            let known = self.agreed.entry(entry.mark.index).or_insert(entry.clone());
            assert_eq!(*known, entry, "committed entries differ");
        }
        self.voters[voter].compared = commit;
    }

    fn crash(&mut self, voter: usize, unsynced: bool) {
        if !unsynced {
            self.flush(voter);
            while self.write(voter) {}
        }
        let node = &mut self.voters[voter];
        let id = node.id;
        node.replica = None;
        node.writes = WriteQueue::default();
        node.unwritten.clear();
        self.waiting.retain(|(node, _), ()| *node != id);
    }

    fn lose_disk(&mut self, voter: usize) {
        // A log of three voters tolerates only one lost disk at a time.
        let has_disk = |node: &Voter| node.disk != DiskImage::default();
        let healed = self.voters.iter().all(|node| {
            let known = node
                .disk
                .entries
                .iter()
                .rev()
                .find_map(|entry| match &entry.payload {
                    Payload::Voters(voters) => Some(voters),
                    _ => None,
                });
            let voters = known.unwrap_or(&node.disk.snapshot.voters);
            has_disk(node) && voters.len() == VOTERS && voters.contains(&node.id)
        });
        if !healed || self.lost_disks >= 2 {
            return;
        }
        self.lost_disks += 1;
        self.crash(voter, true);
        let id = NodeId(self.next_id);
        self.next_id += 1;
        self.hosts.insert(id, voter);
        self.voters[voter].id = id;
        self.voters[voter].disk = DiskImage::default();
    }

    fn deliver(&mut self, at: usize, double: bool) {
        let (from, to, message) = match double {
            true => self.in_flight[at].clone(),
            false => self.in_flight.remove(at),
        };
        let find = |id: NodeId| self.voters.iter().position(|voter| voter.id == id);
        let (Some(sender), Some(receiver)) = (find(from), find(to)) else {
            return;
        };
        if self.voters[sender].cut || self.voters[receiver].cut {
            self.in_flight.push((from, to, message));
            return;
        }
        let clock = self.clock(receiver);
        if let Some(replica) = &mut self.voters[receiver].replica {
            replica.receive(clock, from, message);
        }
        self.flush(receiver);
    }

    /// Delivers each message once; those to and from voters that are cut off wait.
    fn deliver_all(&mut self) {
        for (from, to, message) in std::mem::take(&mut self.in_flight) {
            self.in_flight.push((from, to, message));
            self.deliver(self.in_flight.len() - 1, false);
            self.check();
        }
        let spare = self.in_flight.len().saturating_sub(MAX_WAITING);
        self.in_flight.drain(..spare);
    }

    fn run_fault_free(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.now += 15;
            self.enroll();
            for voter in 0..VOTERS {
                self.tick(voter);
                while self.write(voter) {}
            }
            for _ in 0..DELIVERIES_PER_ROUND {
                self.deliver_all();
            }
        }
    }

    fn propose(&mut self, voter: usize, command: Command, flush: bool) {
        let at_ms = self.now;
        let node = &mut self.voters[voter];
        let (id, cut) = (node.id, node.cut);
        if let Some(replica) = node.replica.as_mut().filter(|_| !cut)
            && let Ok(mark) = replica.propose(at_ms, command)
        {
            self.waiting.insert((id, mark), ());
        }
        if flush {
            self.flush(voter);
        }
    }

    fn edit(&mut self, voter: usize, edit: usize, row: usize, owner: usize, guess: usize) {
        let row = RowId(format!("row{row}"));
        let Some(replica) = &self.voters[voter].replica else {
            return;
        };
        let known = replica
            .state()
            .table
            .rows()
            .get(&row)
            .map(|row| row.version);
        let expected = match guess {
            0 => Position(0),
            1 => Position(3),
            _ => known.unwrap_or_default(),
        };
        let fields = RowFields {
            model: ModelName::from("m"),
            class: row.0.clone(),
            urgency: Urgency::Standard,
            weight: 1 + edit as u32,
            max_running: 1,
            patience_ms: 1000,
            at_most_once: false,
            whole: false,
        };
        let change = match edit % 5 {
            4 => RowChange::Delete,
            _ => RowChange::Put(fields),
        };
        let edit = RowEdit {
            id: EditId(format!("edit{edit}")),
            partner: partner(owner),
            row,
            expected,
            change,
        };
        self.sent.push(edit.clone());
        self.propose(voter, Command::Site(site()), false);
        self.propose(voter, Command::Edit(edit), true);
    }

    fn resend(&mut self, voter: usize, pick: usize) {
        if !self.sent.is_empty() {
            let edit = self.sent[pick % self.sent.len()].clone();
            self.propose(voter, Command::Edit(edit), true);
        }
    }

    fn isolate(&mut self, voter: usize) {
        for other in 0..VOTERS {
            self.voters[other].cut = other == voter;
        }
    }

    fn stale_leader(
        &mut self,
        follower: usize,
        missed_rounds: usize,
        restart_witness: bool,
        rounds: usize,
    ) {
        let leads = |voter: &Voter| {
            let replica = voter.replica.as_ref();
            replica.is_some_and(|replica| replica.raft().is_leader())
        };
        let Some(leader) = self.voters.iter().position(leads) else {
            return;
        };
        let followers: Vec<usize> = (0..VOTERS).filter(|voter| *voter != leader).collect();
        let (missing, witness) = (followers[follower], followers[1 - follower]);
        self.isolate(missing);
        self.run_fault_free(missed_rounds);
        self.isolate(leader);
        if restart_witness {
            self.crash(witness, false);
            self.restart(witness);
        }
        self.run_fault_free(rounds);
    }

    fn claim(&mut self, voter: usize, key: usize, body: u8) {
        self.attempts += 1;
        let request = ClaimRequest {
            key: claim_key(key),
            digest: [body; 32],
            attempt: AttemptId {
                entry: Incarnation(1),
                number: self.attempts,
            },
            target: TargetName::from("t"),
            incarnation: Incarnation(1),
            key_created_ms: None,
        };
        self.propose(voter, Command::Claim(request), true);
    }

    fn settle(&mut self, voter: usize, key: usize, done: bool) {
        let key = claim_key(key);
        let Some(replica) = &self.voters[voter].replica else {
            return;
        };
        let Some(record) = replica.state().claims.get(&key) else {
            return;
        };
        let attempt = record.attempt;
        let end = match done {
            true => Settlement::Done { answer: None },
            false => Settlement::NotRun,
        };
        self.propose(voter, Command::Settle(key, attempt, end), true);
    }

    fn check(&mut self) {
        let mut deciding = 0;
        for voter in 0..VOTERS {
            let clock = self.clock(voter);
            let Some(replica) = &self.voters[voter].replica else {
                continue;
            };
            if replica.raft().is_leader() {
                let id = replica.raft().id();
                let known = *self.leaders.entry(replica.term()).or_insert(id);
                assert_eq!(known, id, "two leaders in one term");
            }
            if let Some(state) = replica.newest(clock) {
                deciding += 1;
                assert!(
                    state.position >= self.acknowledged,
                    "a linearizable read misses an acknowledged change"
                );
            }
        }
        assert!(deciding <= 1, "two voters decide at the same moment");
    }

    /// Replays the agreed entries through a simple oracle and the state machine, and compares
    /// them with all replies that were sent.
    fn replay(&self) {
        let mut oracle = PlainOracle::default();
        let mut state = SiteState::default();
        for (at, (index, entry)) in self.agreed.iter().enumerate() {
            if index.0 != at as u64 + 1 {
                break;
            }
            let Payload::Command(bytes) = &entry.payload else {
                continue;
            };
            let stamped: Stamped = bincode::deserialize(bytes).unwrap();
            let reply = state.apply(*index, &stamped);
            oracle.check(*index, &stamped.command, &reply);
            if let Some(given) = self.replies.get(index) {
                assert_eq!(*given, reply, "a reply differs from the replay at {index}");
            }
        }
        oracle.check_rows(&state);
    }
}

fn claim_key(key: usize) -> ClaimKey {
    ClaimKey {
        partner: partner(0),
        key: CallKey(format!("key{key}")),
    }
}

/// A simple model that applies edits and claims one after the other.
#[derive(Default)]
struct PlainOracle {
    open: bool,
    rows: BTreeMap<RowId, (PartnerName, Position, u32)>,
    first: BTreeMap<(PartnerName, EditId), (RowEdit, Reply)>,
    running: BTreeMap<ClaimKey, AttemptId>,
}

impl PlainOracle {
    fn check(&mut self, position: Position, command: &Command, reply: &Reply) {
        match (command, reply) {
            (Command::Site(_), _) => self.open = true,
            (Command::Edit(edit), Reply::Edit(_)) => self.check_edit(position, edit, reply),
            (Command::Claim(request), Reply::Claim(ClaimReply::Granted(_))) => {
                let holder = self.running.insert(request.key.clone(), request.attempt);
                assert!(
                    holder.is_none() || holder == Some(request.attempt),
                    "two attempts hold one claim"
                );
            }
            (Command::Settle(key, attempt, Settlement::NotRun), Reply::Settled(true))
                if self.running.get(key) == Some(attempt) =>
            {
                self.running.remove(key);
            }
            _ => {}
        }
    }

    fn check_edit(&mut self, position: Position, edit: &RowEdit, reply: &Reply) {
        let slot = (edit.partner.clone(), edit.id.clone());
        if let Some((first, answer)) = self.first.get(&slot) {
            match first == edit {
                true => assert_eq!(answer, reply, "a resent edit got a different reply"),
                false => assert_eq!(*reply, Reply::Edit(Err(EditRefusal::IdReused))),
            }
            return;
        }
        self.first.insert(slot, (edit.clone(), reply.clone()));
        let current = self.rows.get(&edit.row);
        let owner = current.is_none_or(|(owner, _, _)| *owner == edit.partner);
        let version = current.map_or(Position(0), |(_, version, _)| *version);
        let deletes_nothing = edit.change == RowChange::Delete && current.is_none();
        let fits = self.open && owner && version == edit.expected && !deletes_nothing;
        assert_eq!(
            *reply == Reply::Edit(Ok(position)),
            fits,
            "wrongly accepted or refused: {edit:?} {reply:?}"
        );
        match (&edit.change, fits) {
            (RowChange::Put(fields), true) => {
                let row = (edit.partner.clone(), position, fields.weight);
                self.rows.insert(edit.row.clone(), row);
            }
            (RowChange::Delete, true) => {
                self.rows.remove(&edit.row);
            }
            (_, false) => {}
        }
    }

    fn check_rows(&self, state: &SiteState) {
        let rows = state.table.rows().iter();
        let rows: BTreeMap<RowId, (PartnerName, Position, u32)> = rows
            .map(|(id, row)| {
                let row = (row.partner.clone(), row.version, row.fields.weight);
                (id.clone(), row)
            })
            .collect();
        assert_eq!(rows, self.rows, "an accepted edit was lost or reverted");
    }
}

/// If each append reply triggered another append, an idle site would use a full core on each
/// control host.
#[test]
fn an_idle_leader_sends_heartbeats_only() {
    let mut world = LogWorld::new();
    world.run_fault_free(40);
    let leads = |voter: &Voter| {
        let replica = voter.replica.as_ref();
        replica.is_some_and(|replica| replica.raft().is_leader())
    };
    let leader = world.voters.iter().position(leads).unwrap();
    world.in_flight.clear();
    let mut sent = 0;
    for _ in 0..100 {
        world.now += 2;
        world.tick(leader);
        for _ in 0..DELIVERIES_PER_ROUND {
            sent += world.in_flight.len();
            world.deliver_all();
        }
    }
    // 200 ms with a heartbeat every 20 ms to two followers, each with a reply.
    assert!(sent <= 44, "{sent} messages in 200 idle ms");
}

pub struct LogTest;

impl StateMachineTest for LogTest {
    type SystemUnderTest = LogWorld;
    type Reference = LogScript;

    fn init_test((): &()) -> LogWorld {
        let mut world = LogWorld::new();
        world.run_fault_free(20);
        world
    }

    fn apply(mut world: LogWorld, (): &(), step: Step) -> LogWorld {
        match step {
            Step::Deliver { pick, double } if !world.in_flight.is_empty() => {
                let at = pick % world.in_flight.len();
                world.deliver(at, double);
            }
            Step::Lose { pick } if !world.in_flight.is_empty() => {
                let at = pick % world.in_flight.len();
                world.in_flight.swap_remove(at);
            }
            Step::Deliver { .. } | Step::Lose { .. } => {}
            Step::Wait { ms } => {
                world.now += ms;
                for voter in 0..VOTERS {
                    world.tick(voter);
                }
            }
            Step::FaultFree { rounds } => world.run_fault_free(rounds),
            Step::Cut { voter, cut } => world.voters[voter].cut = cut,
            Step::Crash { voter, unsynced } => world.crash(voter, unsynced),
            Step::Restart { voter } => world.restart(voter),
            Step::SlowDisk { voter, slow } => world.voters[voter].slow = slow,
            Step::Write { voter } => {
                world.write(voter);
            }
            Step::LoseDisk { voter } => world.lose_disk(voter),
            Step::HandOver { voter } => {
                let clock = world.clock(voter);
                if let Some(replica) = &mut world.voters[voter].replica {
                    replica.raft_mut().hand_over(clock);
                }
                world.flush(voter);
            }
            Step::Edit {
                voter,
                edit,
                row,
                partner,
                guess,
            } => world.edit(voter, edit, row, partner, guess),
            Step::StaleLeader {
                follower,
                missed_rounds,
                restart_witness,
                rounds,
            } => world.stale_leader(follower, missed_rounds, restart_witness, rounds),
            Step::Resend { voter, pick } => world.resend(voter, pick),
            Step::Claim { voter, key, body } => world.claim(voter, key, body),
            Step::Settle { voter, key, done } => world.settle(voter, key, done),
        }
        world.check();
        world
    }

    fn teardown(mut world: LogWorld, (): ()) {
        // Once all faults end, the log must make progress and keep acknowledged changes.
        for voter in 0..VOTERS {
            world.voters[voter].cut = false;
            world.voters[voter].slow = false;
            world.restart(voter);
        }
        let before = world.acknowledged;
        for _ in 0..12 {
            world.run_fault_free(12);
            for voter in 0..VOTERS {
                world.claim(voter, 0, 0);
            }
        }
        world.run_fault_free(10);
        assert!(
            world.acknowledged > before,
            "no progress after all faults ended"
        );
        world.replay();
    }
}

prop_state_machine! {
    #![proptest_config(super::config(2000))]

    #[test]
    fn the_log_keeps_acknowledged_changes(sequential 1..120 => LogTest);
}
