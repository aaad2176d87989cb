//! Control hosts, their processes, disks and network, in steps of simulated time. What may be
//! lost, and which voters live, is counted here, not by the code under test.

use std::collections::{BTreeMap, BTreeSet};

use dunlinspring::consensus::membership::{LeaveStatus, VoterPolicy, VoterRoster};
use dunlinspring::consensus::raft::{DiskImage, LogEntry, RaftMessage, RaftTiming};
use dunlinspring::consensus::replica::LogReplica;
use dunlinspring::consensus::state::Command;
use dunlinspring::ids::{HostName, Incarnation, NodeId, Position};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// Time for which a host counts as lost after it is back, and its predecessor after the start of a
/// successor, in milliseconds.
pub const CATCH_UP_MS: u64 = 4_000;
/// Time after the last disruption within which a leader decides, in milliseconds.
const LEADER_MS: u64 = 4_000;
/// Number of hosts that may be lost at once.
const BEARABLE: usize = 2;
const TIMING: RaftTiming = RaftTiming {
    election_ms: 500,
    heartbeat_ms: 120,
};
const POLICY: VoterPolicy = VoterPolicy {
    bearable_losses: BEARABLE,
    silent_ms: 1_000,
};
const COMPACT_AFTER: usize = 60;
/// Hosts at the first start, and how many of them found the site.
const FIRST_HOSTS: usize = 5;
const FOUNDERS: usize = 3;
/// Number of hosts in a list of seeds.
const SEEDS: usize = 3;
/// Age of the operator's list of seeds, in milliseconds.
const SEED_LAG_MS: u64 = 3_000;
/// Most hosts of voters that the log may name: more are gone for good.
const MAX_RECORDED_HOSTS: usize = 12;
/// Number of events shown with a finding.
const MAX_FINDING_EVENTS: usize = 16;
/// Interval in which the settings name the operator's seeds anew.
const SETTINGS_MS: u64 = 1_000;
const STEP_MS: u64 = 5;
const TICK_MS: u64 = 10;
const ENROLL_MS: u64 = 500;
const PROPOSE_MS: u64 = 50;
/// Longest time that a stop takes, and pause between two requests to be dropped.
const STOP_MS: u64 = 3_000;
const LEAVE_RETRY_MS: u64 = 50;

/// How a host is replaced by an empty one at another address.
#[derive(Clone, Copy, Debug)]
pub enum Replacement {
    /// It is lost; its successor starts later.
    Unplanned { pause_ms: u64 },
    /// Its successor starts; later it is told to stop.
    Planned { overlap_ms: u64 },
}

/// A disruption of one host.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Replace(Replacement),
    /// Loses its disk and starts again at its address.
    LoseDisk {
        down_ms: u64,
    },
    /// Ends and starts again with its disk.
    Restart {
        down_ms: u64,
    },
    Freeze {
        ms: u64,
    },
    /// Is cut off from all others.
    Cut {
        ms: u64,
    },
}

/// Result of a history.
#[derive(Debug, Default)]
pub struct HistoryReport {
    /// Broken promises.
    pub findings: Vec<String>,
    /// For each successor, the time from its start until the set held it and no voter that is gone,
    /// in milliseconds.
    pub settled_ms: Vec<u64>,
}

struct Process {
    replica: LogReplica,
    roster: VoterRoster,
    started_ms: u64,
    /// Hosts that are asked for enrolment.
    known: BTreeSet<usize>,
    enroll_due_ms: u64,
    propose_due_ms: u64,
    led: Option<u64>,
    /// The host stops for good: since when, and when it asks the leader next.
    stopping: Option<(u64, u64)>,
}

struct Host {
    node: NodeId,
    disk: DiskImage,
    process: Option<Process>,
    seeds: Vec<usize>,
    gone_ms: Option<u64>,
    frozen_until_ms: u64,
    cut_until_ms: u64,
}

enum HostMessage {
    Raft(RaftMessage),
    Enroll,
    Named(BTreeSet<usize>),
    Leave,
    LeaveReply(LeaveStatus),
}

struct Envelope {
    from: (usize, NodeId),
    to: usize,
    message: HostMessage,
}

/// A later action of a fault.
#[derive(Debug)]
enum Action {
    Start { host: usize },
    StartSuccessor,
    Stop { host: usize },
}

/// Hosts with their network.
pub struct LossWorld {
    rng: SmallRng,
    now_ms: u64,
    hosts: Vec<Host>,
    next_node: u64,
    in_flight: Vec<Envelope>,
    actions: Vec<(u64, Action)>,
    /// Ends of the times for which hosts count as lost.
    lost_until_ms: BTreeMap<usize, u64>,
    /// Ends of the times for which successors count as new. Their predecessors count as lost
    /// meanwhile, so they are no further losses, and no voters to rely on.
    new_until_ms: BTreeMap<usize, u64>,
    /// When a host was last struck, or came back, or a leader was asked to hand over.
    disrupted_ms: u64,
    /// Successors that the set does not hold yet, with their start.
    joining: Vec<(usize, u64)>,
    agreed: BTreeMap<Position, LogEntry>,
    acknowledged: Position,
    /// Faults and changes of the voters, for findings.
    events: Vec<String>,
    known_voters: BTreeSet<NodeId>,
    report: HistoryReport,
}

fn name(host: usize) -> HostName {
    HostName(format!("host{host}"))
}

fn number(host: &HostName) -> usize {
    host.0.trim_start_matches("host").parse().unwrap()
}

impl LossWorld {
    /// Founds a site with five hosts.
    pub fn new(seed: u64) -> Self {
        let mut world = Self {
            rng: SmallRng::seed_from_u64(seed),
            now_ms: 0,
            hosts: Vec::new(),
            next_node: 100,
            in_flight: Vec::new(),
            actions: Vec::new(),
            lost_until_ms: BTreeMap::new(),
            new_until_ms: BTreeMap::new(),
            disrupted_ms: 0,
            joining: Vec::new(),
            agreed: BTreeMap::new(),
            acknowledged: Position(0),
            events: Vec::new(),
            known_voters: BTreeSet::new(),
            report: HistoryReport::default(),
        };
        let founders: BTreeSet<NodeId> = (0..FOUNDERS as u64).map(NodeId).collect();
        let image = LogReplica::bootstrap_image(founders);
        for host in 0..FIRST_HOSTS {
            world.hosts.push(Host {
                node: NodeId(host as u64),
                disk: match host < FOUNDERS {
                    true => image.clone(),
                    false => DiskImage::default(),
                },
                process: None,
                seeds: (0..SEEDS).collect(),
                gone_ms: None,
                frozen_until_ms: 0,
                cut_until_ms: 0,
            });
            world.start(host);
        }
        world
    }

    /// Ends the history.
    pub fn into_report(self) -> HistoryReport {
        self.report
    }

    fn start(&mut self, host: usize) {
        let machine = &mut self.hosts[host];
        let disk = machine.disk.clone();
        let seed = machine.node.0 * 7919 + self.now_ms;
        let replica = LogReplica::new(machine.node, TIMING, disk, 0, seed, COMPACT_AFTER);
        let mut hosts: BTreeMap<NodeId, HostName> = BTreeMap::new();
        // Founders are known by their identities.
        let founders = machine.seeds.iter().filter(|seed| **seed < FOUNDERS);
        hosts.extend(founders.map(|seed| (NodeId(*seed as u64), name(*seed))));
        hosts.extend(replica.logged_hosts());
        hosts.insert(machine.node, name(host));
        machine.process = Some(Process {
            replica,
            roster: VoterRoster::new(POLICY, hosts),
            started_ms: self.now_ms,
            known: machine.seeds.iter().copied().collect(),
            enroll_due_ms: ENROLL_MS,
            propose_due_ms: 0,
            led: None,
            stopping: None,
        });
    }

    /// Returns a list of seeds as the operator has it.
    fn drawn_seeds(&mut self) -> Vec<usize> {
        let oldest_ms = self.now_ms.saturating_sub(SEED_LAG_MS);
        let listed = |host: &usize| {
            let gone_ms = self.hosts[*host].gone_ms;
            gone_ms.is_none_or(|gone_ms| gone_ms > oldest_ms)
        };
        let listed: Vec<usize> = (0..self.hosts.len()).filter(listed).collect();
        let drawn = listed.choose_multiple(&mut self.rng, SEEDS);
        drawn.copied().collect()
    }

    fn fresh_node(&mut self) -> NodeId {
        self.next_node += 1;
        NodeId(self.next_node)
    }

    fn lost_now(&self) -> usize {
        let counted = self.lost_until_ms.values();
        counted.filter(|until_ms| **until_ms > self.now_ms).count()
    }

    fn is_sound(&self, host: usize) -> bool {
        let mut ends = [&self.lost_until_ms, &self.new_until_ms].into_iter();
        let is_over = |ends: &BTreeMap<usize, u64>| {
            let until_ms = ends.get(&host);
            until_ms.is_none_or(|until_ms| *until_ms <= self.now_ms)
        };
        ends.all(is_over)
    }

    /// Disrupts a host that does not count as lost, if one more may be lost now.
    pub fn strike(&mut self, fault: Fault) {
        if self.lost_now() >= BEARABLE {
            return;
        }
        let sound = |host: &usize| {
            let machine = &self.hosts[*host];
            machine.process.is_some() && machine.gone_ms.is_none() && self.is_sound(*host)
        };
        let sound: Vec<usize> = (0..self.hosts.len()).filter(sound).collect();
        let leader = self.leader();
        // Leaders are struck more often than by chance.
        let drawn = sound.choose(&mut self.rng).copied();
        let host = match leader.filter(|leader| sound.contains(leader)) {
            Some(leader) if self.rng.random_bool(0.3) => Some(leader),
            _ => drawn,
        };
        if let Some(host) = host {
            self.strike_at(host, fault);
        }
    }

    /// Disrupts that host.
    pub fn strike_at(&mut self, host: usize, fault: Fault) {
        let now_ms = self.now_ms;
        self.disrupted_ms = now_ms;
        self.note(format!("{} {fault:?}", name(host)));
        let back_ms = match fault {
            Fault::Replace(Replacement::Unplanned { pause_ms }) => {
                self.hosts[host].process = None;
                self.hosts[host].gone_ms = Some(now_ms);
                let start = Action::StartSuccessor;
                self.actions.push((now_ms + pause_ms, start));
                now_ms + pause_ms
            }
            Fault::Replace(Replacement::Planned { overlap_ms }) => {
                let successor = self.start_successor();
                self.actions
                    .push((now_ms + overlap_ms, Action::Stop { host }));
                self.lost_until_ms.insert(successor, now_ms + CATCH_UP_MS);
                return;
            }
            Fault::LoseDisk { down_ms } => {
                self.hosts[host].process = None;
                self.hosts[host].disk = DiskImage::default();
                self.hosts[host].node = self.fresh_node();
                self.actions
                    .push((now_ms + down_ms, Action::Start { host }));
                now_ms + down_ms
            }
            Fault::Restart { down_ms } => {
                self.hosts[host].process = None;
                self.actions
                    .push((now_ms + down_ms, Action::Start { host }));
                now_ms + down_ms
            }
            Fault::Freeze { ms } => {
                self.hosts[host].frozen_until_ms = now_ms + ms;
                now_ms + ms
            }
            Fault::Cut { ms } => {
                self.hosts[host].cut_until_ms = now_ms + ms;
                now_ms + ms
            }
        };
        self.lost_until_ms.insert(host, back_ms + CATCH_UP_MS);
    }

    fn start_successor(&mut self) -> usize {
        let seeds = self.drawn_seeds();
        let node = self.fresh_node();
        self.hosts.push(Host {
            node,
            disk: DiskImage::default(),
            process: None,
            seeds,
            gone_ms: None,
            frozen_until_ms: 0,
            cut_until_ms: 0,
        });
        let host = self.hosts.len() - 1;
        self.start(host);
        self.joining.push((host, self.now_ms));
        self.new_until_ms.insert(host, self.now_ms + CATCH_UP_MS);
        host
    }

    /// Strikes at drawn times for that long, then lets all come back.
    pub fn run_drawn(&mut self, duration_ms: u64) {
        let until_ms = self.now_ms + duration_ms;
        while self.now_ms < until_ms {
            let fault = self.drawn_fault();
            self.strike(fault);
            if self.rng.random_bool(0.1) {
                self.hand_over();
            }
            let pause_ms = match self.rng.random_range(0..4) {
                0 => 0,
                1 => self.rng.random_range(0..500),
                2 => self.rng.random_range(0..3_000),
                _ => self.rng.random_range(3_000..7_000),
            };
            self.run_until(self.now_ms + pause_ms);
        }
        self.run_until(until_ms + 15_000);
    }

    fn drawn_fault(&mut self) -> Fault {
        let rng = &mut self.rng;
        match rng.random_range(0..9) {
            0..=2 => Fault::Replace(Replacement::Unplanned {
                pause_ms: rng.random_range(300..2_500),
            }),
            3 => Fault::Replace(Replacement::Planned {
                overlap_ms: rng.random_range(300..6_000),
            }),
            4 => Fault::LoseDisk {
                down_ms: rng.random_range(300..3_500),
            },
            5 => Fault::Restart {
                down_ms: rng.random_range(200..4_000),
            },
            6 => Fault::Freeze {
                ms: rng.random_range(300..6_000),
            },
            _ => Fault::Cut {
                ms: rng.random_range(300..8_000),
            },
        }
    }

    fn hand_over(&mut self) {
        if let Some(leader) = self.leader() {
            self.disrupted_ms = self.now_ms;
            self.note(format!("{} hands over", name(leader)));
            let now_ms = self.now_ms;
            let process = self.hosts[leader].process.as_mut().unwrap();
            let clock_ms = now_ms - process.started_ms;
            process.replica.raft_mut().hand_over(clock_ms);
            self.flush(leader);
        }
    }

    /// Runs the hosts up to a time.
    pub fn run_until(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            self.now_ms += STEP_MS;
            self.act();
            let arriving = std::mem::take(&mut self.in_flight);
            for envelope in arriving {
                self.deliver(envelope);
            }
            if self.now_ms.is_multiple_of(TICK_MS) {
                for host in 0..self.hosts.len() {
                    self.tick(host);
                    self.go_on_stopping(host);
                }
            }
            self.check();
        }
    }

    fn act(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<(u64, Action)> = self
            .actions
            .extract_if(.., |(at_ms, _)| *at_ms <= now_ms)
            .collect();
        for (_, action) in due {
            self.disrupted_ms = now_ms;
            self.note(format!("{action:?}"));
            match action {
                Action::Start { host } => {
                    self.hosts[host].seeds = self.drawn_seeds();
                    self.start(host);
                }
                Action::StartSuccessor => {
                    self.start_successor();
                }
                Action::Stop { host } => self.stop(host),
            }
        }
    }

    /// Begins the stop of a process that will not come back.
    fn stop(&mut self, host: usize) {
        if let Some(process) = &mut self.hosts[host].process {
            process.stopping = Some((self.now_ms, self.now_ms));
        }
    }

    /// Hands over, then asks the leader to be dropped; ends once that is done or takes too long.
    fn go_on_stopping(&mut self, host: usize) {
        let now_ms = self.now_ms;
        let node = self.hosts[host].node;
        let Some(process) = self.hosts[host].process.as_mut() else {
            return;
        };
        let Some((since_ms, due_ms)) = process.stopping else {
            return;
        };
        if now_ms >= since_ms + STOP_MS {
            return self.end(host);
        }
        if process.replica.raft().is_leader() {
            let clock_ms = now_ms - process.started_ms;
            process.replica.raft_mut().hand_over(clock_ms);
            self.disrupted_ms = now_ms;
            return self.flush(host);
        }
        let state = process.replica.state();
        let leader = process.replica.raft().leader();
        let leader = leader
            .and_then(|node| process.roster.host_of(state, node))
            .map(number);
        if let Some(to) = leader.filter(|_| now_ms >= due_ms) {
            process.stopping = Some((since_ms, now_ms + LEAVE_RETRY_MS));
            self.in_flight.push(Envelope {
                from: (host, node),
                to,
                message: HostMessage::Leave,
            });
        }
    }

    fn end(&mut self, host: usize) {
        self.note(format!("{} ends", name(host)));
        self.disrupted_ms = self.now_ms;
        self.hosts[host].process = None;
        self.hosts[host].gone_ms = Some(self.now_ms);
    }

    fn runs(&self, host: usize) -> bool {
        let machine = &self.hosts[host];
        machine.process.is_some() && machine.frozen_until_ms <= self.now_ms
    }

    fn is_cut(&self, host: usize) -> bool {
        self.hosts[host].cut_until_ms > self.now_ms
    }

    fn deliver(&mut self, envelope: Envelope) {
        let Envelope { from, to, message } = envelope;
        let (peer, node) = from;
        if !self.runs(to) || self.is_cut(to) || self.is_cut(peer) {
            return;
        }
        let now_ms = self.now_ms;
        let own = self.hosts[to].node;
        let process = self.hosts[to].process.as_mut().unwrap();
        let clock_ms = now_ms - process.started_ms;
        match message {
            HostMessage::Raft(message) => {
                process.roster.learn(node, name(peer));
                process.replica.receive(clock_ms, node, message);
            }
            HostMessage::Leave => {
                if process.replica.raft().may_decide(clock_ms) && process.stopping.is_none() {
                    let status = process.roster.leave(&process.replica, node, clock_ms);
                    self.in_flight.push(Envelope {
                        from: (to, own),
                        to: peer,
                        message: HostMessage::LeaveReply(status),
                    });
                }
            }
            HostMessage::LeaveReply(LeaveStatus::Pending) => {}
            HostMessage::LeaveReply(_) => return self.end(to),
            HostMessage::Enroll => {
                process.roster.enroll(node, name(peer));
                if process.replica.raft().is_leader() {
                    process.replica.raft_mut().add_learner(node);
                }
                let state = process.replica.state();
                let mut named: BTreeSet<usize> = state.voter_hosts.values().map(number).collect();
                let leader = process.replica.raft().leader();
                named.extend(
                    leader
                        .and_then(|node| process.roster.host_of(state, node))
                        .map(number),
                );
                named.insert(to);
                self.in_flight.push(Envelope {
                    from: (to, own),
                    to: peer,
                    message: HostMessage::Named(named),
                });
            }
            HostMessage::Named(hosts) => process.known.extend(hosts),
        }
        self.flush(to);
    }

    fn tick(&mut self, host: usize) {
        if !self.runs(host) {
            return;
        }
        let now_ms = self.now_ms;
        let node = self.hosts[host].node;
        if now_ms.is_multiple_of(SETTINGS_MS) {
            self.hosts[host].seeds = self.drawn_seeds();
        }
        let seeds = self.hosts[host].seeds.clone();
        let process = self.hosts[host].process.as_mut().unwrap();
        let clock_ms = now_ms - process.started_ms;
        process.replica.tick(clock_ms);
        let term = process.replica.term().0;
        match process.replica.raft().is_leader() {
            true if process.led == Some(term) => {}
            true => {
                process.led = Some(term);
                process.roster.lead();
            }
            false => process.led = None,
        }
        for command in process.roster.update_hosts(&process.replica, clock_ms) {
            let _ = process.replica.propose(now_ms, command);
        }
        process.roster.adjust(&mut process.replica, clock_ms);
        if process.replica.raft().is_leader() && clock_ms >= process.propose_due_ms {
            process.propose_due_ms = clock_ms + PROPOSE_MS;
            let command = Command::Lost(HostName::from("none"), Incarnation(0));
            let _ = process.replica.propose(now_ms, command);
        }
        let raft = process.replica.raft();
        let settled = raft.voters().contains(&node) && raft.leader().is_some();
        let settled = settled || process.stopping.is_some();
        if clock_ms >= process.enroll_due_ms {
            process.enroll_due_ms = clock_ms + ENROLL_MS;
            let logged = process.replica.state().voter_hosts.values();
            process.known.extend(logged.map(number));
            process.known.extend(&seeds);
            let asked = process.known.iter().filter(|_| !settled).copied();
            let asked: Vec<usize> = asked.filter(|peer| *peer != host).collect();
            self.in_flight.extend(asked.into_iter().map(|to| Envelope {
                from: (host, node),
                to,
                message: HostMessage::Enroll,
            }));
        }
        self.flush(host);
    }

    /// Writes records, sends messages and records replies, in this order.
    fn flush(&mut self, host: usize) {
        let now_ms = self.now_ms;
        let machine = &mut self.hosts[host];
        let Some(process) = machine.process.as_mut() else {
            return;
        };
        let output = process.replica.finish(now_ms - process.started_ms);
        for record in output.records {
            machine.disk.apply(record);
        }
        for (node, message) in output.messages {
            if let Some(to) = process.roster.host_of(process.replica.state(), node) {
                self.in_flight.push(Envelope {
                    from: (host, machine.node),
                    to: number(to),
                    message: HostMessage::Raft(message),
                });
            }
        }
        let replied = output.replies.iter().map(|(mark, _)| mark.index).max();
        self.acknowledged = self.acknowledged.max(replied.unwrap_or_default());
        let commit = process.replica.raft().commit();
        for entry in process.replica.raft().tail() {
            if entry.mark.index <= commit {
                let known = self.agreed.entry(entry.mark.index);
                assert_eq!(
                    known.or_insert(entry.clone()),
                    entry,
                    "committed entries differ"
                );
            }
        }
        let oldest = Position(commit.0.saturating_sub(1_000));
        self.agreed = self.agreed.split_off(&oldest);
    }

    /// Returns the host that decides.
    fn leader(&self) -> Option<usize> {
        let decides = |host: &usize| {
            let process = self.hosts[*host].process.as_ref();
            process.is_some_and(|process| {
                let clock_ms = self.now_ms - process.started_ms;
                self.runs(*host) && process.replica.raft().may_decide(clock_ms)
            })
        };
        (0..self.hosts.len()).find(decides)
    }

    fn recorded_hosts(&self, host: usize) -> usize {
        let process = self.hosts[host].process.as_ref();
        process.map_or(0, |process| process.replica.state().voter_hosts.len())
    }

    fn note(&mut self, event: String) {
        self.events.push(format!("{} {event}", self.now_ms));
    }

    /// Adds a finding with the events before it.
    fn find(&mut self, finding: String) {
        let recent = self.events.len().saturating_sub(MAX_FINDING_EVENTS);
        let events = self.events[recent..].join("; ");
        let at = self.now_ms;
        let finding = format!("{at} ms: {finding}, after: {events}");
        self.report.findings.push(finding);
    }

    fn note_voters(&mut self, leader: usize, voters: &BTreeSet<NodeId>) {
        if *voters == self.known_voters {
            return;
        }
        self.known_voters = voters.clone();
        let host_of = |node: &NodeId| self.hosts.iter().position(|host| host.node == *node);
        let hosts: Vec<String> = voters
            .iter()
            .map(|node| host_of(node).map_or("lost disk".to_owned(), |host| host.to_string()))
            .collect();
        self.note(format!("host{leader} leads voters {}", hosts.join(" ")));
    }

    fn check(&mut self) {
        let calm_ms = self.now_ms - self.last_disruption_ms();
        let Some(leader) = self.leader() else {
            if calm_ms > LEADER_MS && self.report.findings.is_empty() {
                self.find(format!("no leader after {calm_ms} ms without a disruption"));
            }
            return;
        };
        let replica = &self.hosts[leader].process.as_ref().unwrap().replica;
        let position = replica.position();
        let voters = replica.raft().voters().clone();
        let is_behind = replica.is_behind();
        self.note_voters(leader, &voters);
        if position < self.acknowledged && !is_behind {
            let acknowledged = self.acknowledged;
            self.find(format!(
                "{acknowledged} is acknowledged, the leader has {position}"
            ));
        }
        let host_of = |node: &NodeId| {
            let mut hosts = self.hosts.iter();
            hosts.position(|host| host.node == *node && host.process.is_some())
        };
        let live = voters.iter().filter_map(host_of);
        let sound = live.filter(|host| self.is_sound(*host)).count();
        let further = BEARABLE - self.lost_now().min(BEARABLE);
        let quorum = voters.len() / 2 + 1;
        // The first hosts need their time as well.
        if sound < quorum + further
            && self.now_ms > 2 * CATCH_UP_MS
            && self.report.findings.is_empty()
        {
            let lost = self.lost_now();
            self.find(format!(
                "of {} voters {sound} are sound, {lost} hosts count as lost and {further} more may \
                 be",
                voters.len()
            ));
        }
        // Each host that may vote, its successor, and one that came back with another disk.
        let recorded = self.recorded_hosts(leader);
        if recorded > MAX_RECORDED_HOSTS {
            self.find(format!("the log names {recorded} hosts"));
        }
        let is_gone = |node: &NodeId| {
            let host = self.hosts.iter().position(|host| host.node == *node);
            host.is_none_or(|host| self.hosts[host].gone_ms.is_some())
        };
        if voters.iter().any(is_gone) {
            return;
        }
        let (hosts, now_ms) = (&self.hosts, self.now_ms);
        let joined = self
            .joining
            .extract_if(.., |(host, _)| voters.contains(&hosts[*host].node));
        let settled = joined.map(|(_, started_ms)| now_ms - started_ms);
        self.report.settled_ms.extend(settled);
    }

    /// Returns when a host was last struck or came back.
    fn last_disruption_ms(&self) -> u64 {
        let now_ms = self.now_ms;
        let ends = self
            .hosts
            .iter()
            .flat_map(|host| [host.frozen_until_ms, host.cut_until_ms]);
        let past = ends.filter(|end_ms| *end_ms <= now_ms).max();
        self.disrupted_ms.max(past.unwrap_or(0))
    }
}
