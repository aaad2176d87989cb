//! The control daemon: one thread owns the voter and its disk; calls and
//! messages reach it as events, so that one sync serves all that wait for it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use crate::clock;
use crate::consensus::crashes::ContentStanding;
use crate::consensus::raft::DiskRecord;
use crate::consensus::replica::LogReplica;
use crate::consensus::state::{Command, Reply, SiteState};
use crate::control::event::{Answer, ControlEvent, SendPermit};
use crate::control::founding;
use crate::control::journal::{DiskJournal, JournalError, WriteCheck};
use crate::control::outbox::PeerOutbox;
use crate::ids::{HostName, NodeId, Position, ReplicaLife, TargetName, Term};
use crate::placement::duties::{AgentBeat, EntryBeat, LeaderDuties};
use crate::placement::fleet::FleetDuties;
use crate::placement::named_limits::{LifeState, LimitPage, LimitReport};
use crate::placement::order::{AdapterPlace, EngineOrder, OrderOutcome};
use crate::placement::replica_rates::{PermitReply, PermitRequest, ReplicaRates};
use crate::placement::report::{EntryReport, ReportReply};
use crate::placement::turns::{TurnAnswer, TurnAsk, TurnDesk};
use crate::process::settings::ControlSettings;
use crate::process::wire::{
    self, AccountStatus, AgentOrders, ControlRefusal, ControlStatus, EntryOrders, LimitStatus,
    Notice, TableStatus,
};
use crate::routing::freshness::FreshnessProof;
use crate::routing::view::{self, SyncPage};
use crate::table::accounts::{AccountBook, AccountSpec};
use crate::table::quota::QuotaGrantor;

/// Longest pause between two looks at the clock.
const TICK: Duration = Duration::from_millis(10);
/// Most events that share one sync.
const MAX_BATCH: usize = 1024;
/// Longest wait of a [`ControlEvent::Sync`].
const MAX_SYNC_WAIT_MS: u64 = 2_000;
/// Least time between two tellings of changes to members, in milliseconds. A change that
/// comes alone is told at once; where replicas change hundreds of times a second, a member
/// asks and pulls ten times a second rather than each time.
const NEWS_GAP_MS: u64 = 100;
/// Silence after which an even set of voters sheds one, in milliseconds.
const SHED_MS: u64 = 3_000;
/// Whoever leads in it has no predecessor.
const FIRST_TERM: Term = Term(1);
/// Pause before a full disk is tried again.
const FULL_PAUSE: Duration = Duration::from_millis(100);
/// Time that a stopping leader waits for its heir.
const HANDOVER_MS: u64 = 2_000;

enum WaiterAnswer {
    Page(Answer<SyncPage>),
    Notice(Answer<Notice>),
}

struct SyncWaiter {
    cursor: Position,
    until_ms: u64,
    answer: WaiterAnswer,
}

/// Whether the voter goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunState {
    Runs,
    Stopped,
}

/// Drops what comes for a while, as a network would: askers are refused and go
/// elsewhere. A stop is obeyed.
fn pass_over(events: &Receiver<ControlEvent>) -> RunState {
    let until_ms = clock::monotonic_ms() + FULL_PAUSE.as_millis() as u64;
    loop {
        let left_ms = until_ms.saturating_sub(clock::monotonic_ms());
        match events.recv_timeout(Duration::from_millis(left_ms)) {
            Ok(ControlEvent::Stop(answer)) => {
                let _ = answer.send(());
                return RunState::Stopped;
            }
            Ok(_) => {}
            Err(RecvTimeoutError::Timeout) => return RunState::Runs,
            Err(RecvTimeoutError::Disconnected) => return RunState::Stopped,
        }
    }
}

/// The voter's thread.
pub struct ControlLoop {
    settings: ControlSettings,
    replica: LogReplica,
    journal: DiskJournal,
    duties: Option<LeaderDuties>,
    fleet: Option<FleetDuties>,
    quotas: Option<QuotaGrantor>,
    turns: Option<TurnDesk>,
    rates: Option<ReplicaRates>,
    /// The newest configuration that a leader confirmed, and when this host asked.
    confirmed: Option<(u64, u64)>,
    orders: Option<mpsc::UnboundedSender<EngineOrder>>,
    awaiting: BTreeMap<Position, (Term, Answer<(Position, Reply)>)>,
    waiters: Vec<SyncWaiter>,
    /// When members were last told of a change.
    told_ms: u64,
    hosts: BTreeMap<NodeId, HostName>,
    /// Hosts that this leader has proposed to note.
    noted: BTreeSet<(NodeId, HostName)>,
    outbox: PeerOutbox,
    /// Reads that wait for the end of this batch of events.
    deferred: Vec<ControlEvent>,
    stopping: Option<VoterStop>,
    /// The latest end of a [`SendPermit`] that was given.
    permitted_ms: u64,
}

/// A stop that was asked for.
struct VoterStop {
    since_ms: u64,
    answer: oneshot::Sender<()>,
    /// An heir has been asked to stand. Until then it is tried again: this voter may win an
    /// election that was under way, or its followers may be heard again.
    handed_over: bool,
}

impl ControlLoop {
    /// Opens the data folder.
    pub fn open(settings: ControlSettings) -> Result<Self, JournalError> {
        let (journal, image) = DiskJournal::open(&settings.data_folder, None)?;
        let node = journal.identity().node;
        let replica = LogReplica::new(
            node,
            settings.timing,
            image,
            clock::monotonic_ms(),
            node.0 ^ clock::wall_ms(),
            settings.compact_after,
        );
        let voters = settings.common.control.iter();
        let hosts = voters.map(|voter| (founding::founder_id(&voter.host), voter.host.clone()));
        let mut hosts: BTreeMap<NodeId, HostName> = hosts.collect();
        // The newest hosts may stand in entries that are not known to be committed.
        hosts.extend(replica.logged_hosts());
        hosts.insert(node, settings.common.host.clone());
        Ok(Self {
            settings,
            replica,
            journal,
            duties: None,
            fleet: None,
            quotas: None,
            turns: None,
            rates: None,
            confirmed: None,
            orders: None,
            awaiting: BTreeMap::new(),
            waiters: Vec::new(),
            told_ms: 0,
            hosts,
            noted: BTreeSet::new(),
            outbox: PeerOutbox::default(),
            deferred: Vec::new(),
            stopping: None,
            permitted_ms: 0,
        })
    }

    /// The ways to the other voters.
    pub fn send_messages(&mut self, outbox: PeerOutbox) {
        self.outbox = outbox;
    }

    /// Has the orders of this leader sent by whoever holds the other end.
    pub fn send_orders(&mut self, orders: mpsc::UnboundedSender<EngineOrder>) {
        self.orders = Some(orders);
    }

    /// Has each write to the disk checked first, for tests of disks that fail.
    pub fn check_writes(&mut self, check: WriteCheck) {
        self.journal.check_writes(check);
    }

    /// This voter's disk.
    pub fn node(&self) -> NodeId {
        self.journal.identity().node
    }

    /// Whether this disk is no voter, as far as it knows.
    pub fn is_learner(&self) -> bool {
        !self.replica.raft().voters().contains(&self.node())
    }

    /// Runs until it is stopped, or the disk fails: then the voter says
    /// nothing more, as it cannot know what it has kept.
    pub fn run(mut self, events: Receiver<ControlEvent>) -> Result<(), JournalError> {
        loop {
            match events.recv_timeout(TICK) {
                Ok(event) => {
                    self.handle(event);
                    for event in events.try_iter().take(MAX_BATCH) {
                        self.handle(event);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            self.on_time();
            if self.finish(&events)? == RunState::Stopped || self.is_stopped() {
                return Ok(());
            }
            for event in std::mem::take(&mut self.deferred) {
                self.handle(event);
            }
        }
    }

    fn handle(&mut self, event: ControlEvent) {
        let now_ms = clock::monotonic_ms();
        match event {
            event if event.reads_newest() && self.replica.lags() => self.deferred.push(event),
            ControlEvent::Raft(from, host, message) => {
                self.hosts.insert(from, host);
                self.replica.receive(now_ms, from, message);
            }
            ControlEvent::Enroll(node, host, answer) => {
                self.enroll(node, host);
                let _ = answer.send(Ok(self.notice(now_ms)));
            }
            ControlEvent::Propose(command, answer) => self.propose(command, Some(answer)),
            ControlEvent::Sync {
                cursor,
                wait_ms,
                fresh,
                answer,
            } => self.on_sync(now_ms, cursor, wait_ms, fresh, answer),
            ControlEvent::Agent(beat, answer) => self.on_agent(now_ms, &beat, answer),
            ControlEvent::Entry(beat, answer) => self.on_entry(now_ms, &beat, answer),
            ControlEvent::Table(answer) => {
                let _ = answer.send(self.read_table(now_ms));
            }
            ControlEvent::Claim(key, answer) => {
                let newest = self.replica.newest(now_ms);
                let found = newest.map(|state| state.claims.get(&key).cloned());
                let _ = answer.send(found.ok_or_else(|| self.not_leader()));
            }
            ControlEvent::Status(answer) => {
                let _ = answer.send(self.status(now_ms));
            }
            ControlEvent::Platform(leaving) => {
                if let Some(duties) = &mut self.duties {
                    duties.on_platform(leaving);
                }
            }
            ControlEvent::Notice {
                cursor,
                wait_ms,
                answer,
            } => self.waiters.push(SyncWaiter {
                cursor,
                until_ms: now_ms + wait_ms.min(MAX_SYNC_WAIT_MS),
                answer: WaiterAnswer::Notice(answer),
            }),
            ControlEvent::Configuration(answer) => {
                let newest = self.replica.newest(now_ms);
                let held = newest.map(|state| state.configuration.as_deref().cloned());
                let _ = answer.send(held.ok_or_else(|| self.not_leader()));
            }
            ControlEvent::Confirm(answer) => {
                let newest = self.replica.newest(now_ms);
                let version = newest.map(configured_version);
                let _ = answer.send(version.ok_or_else(|| self.not_leader()));
            }
            ControlEvent::Confirmed { version, asked_ms } => {
                self.confirmed = Some((version, asked_ms));
            }
            ControlEvent::Accounts(answer) => {
                let _ = answer.send(self.account_statuses(now_ms));
            }
            ControlEvent::Quota(ask, answer) => {
                let granted = self.use_quotas(now_ms, |quotas, _| quotas.grant(now_ms, &ask));
                let _ = answer.send(granted);
            }
            ControlEvent::Heard(ids, answer) => {
                self.tell_fleet(answer, |fleet| fleet.on_heard(now_ms, &ids));
            }
            ControlEvent::Report(report, answer) => {
                let _ = answer.send(self.on_report(now_ms, report));
            }
            ControlEvent::Crowd(report, answer) => {
                self.tell_fleet(answer, |fleet| fleet.on_crowd(now_ms, report));
            }
            ControlEvent::Wish(wish, answer) => {
                let _ = answer.send(self.on_wish(now_ms, &wish));
            }
            ControlEvent::Turn(ask, answer) => {
                let _ = answer.send(self.on_turn(now_ms, &ask));
            }
            ControlEvent::TurnEnded(end, answer) => {
                let ended = self.turns.as_mut().map(|turns| turns.end(end));
                let _ = answer.send(ended.ok_or_else(|| self.not_leader()));
            }
            ControlEvent::Permit(request, answer) => {
                let _ = answer.send(self.on_permit(now_ms, &request));
            }
            ControlEvent::Limits(report, answer) => {
                let _ = answer.send(self.on_limits(now_ms, &report));
            }
            ControlEvent::Contents(answer) => {
                let newest = self.replica.newest(now_ms);
                let book = newest.map(|state| state.crashes.clone());
                let _ = answer.send(book.ok_or_else(|| self.not_leader()));
            }
            ControlEvent::MayOrder(term, answer) => {
                let _ = answer.send(self.permit_order(now_ms, term));
            }
            ControlEvent::Ordered(order, outcome) => self.on_ordered(now_ms, &order, outcome),
            ControlEvent::Compare(record, answer) => {
                let _ = answer.send(Ok(self.replica.state().replica_news(&record)));
            }
            ControlEvent::Stop(answer) => {
                self.stopping = Some(VoterStop {
                    since_ms: now_ms,
                    answer,
                    handed_over: false,
                });
            }
        }
    }

    fn propose(&mut self, command: Command, answer: Option<Answer<(Position, Reply)>>) {
        let refusal = match self.stopping {
            Some(_) => Err(ControlRefusal::Stopping),
            None => {
                let mark = self.replica.propose(clock::stamp_ms(), command);
                mark.map_err(|_| self.not_leader())
            }
        };
        match (refusal, answer) {
            (Ok(mark), Some(answer)) => {
                self.awaiting.insert(mark.index, (mark.term, answer));
            }
            (Err(refusal), Some(answer)) => {
                let _ = answer.send(Err(refusal));
            }
            (_, None) => {}
        }
    }

    fn propose_all(&mut self, commands: Vec<Command>) {
        if commands.is_empty() {
            return;
        }
        for command in commands {
            self.propose(command, None);
        }
        let last = self.replica.raft().last().index;
        if let Some(duties) = &mut self.duties {
            duties.await_position(last);
        }
    }

    fn on_sync(
        &mut self,
        now_ms: u64,
        cursor: Position,
        wait_ms: u64,
        fresh: bool,
        answer: Answer<SyncPage>,
    ) {
        let newest = self.replica.newest(now_ms).is_some();
        let state = self.replica.state();
        match fresh {
            true if !newest => {
                let _ = answer.send(Err(self.not_leader()));
            }
            true => {
                let _ = answer.send(Ok(view::page_after(state, cursor)));
            }
            false => self.waiters.push(SyncWaiter {
                cursor,
                until_ms: now_ms + wait_ms.min(MAX_SYNC_WAIT_MS),
                answer: WaiterAnswer::Page(answer),
            }),
        }
    }

    /// Only the leader acts on it, and only where it can reach the host's disk.
    fn enroll(&mut self, node: NodeId, host: HostName) {
        self.hosts.insert(node, host.clone());
        if !self.replica.raft().is_leader() {
            return;
        }
        self.replica.raft_mut().add_learner(node);
        self.note_host(node, host);
    }

    /// Keeps in the log where a disk is reached, for a restart of all voters.
    fn note_host(&mut self, node: NodeId, host: HostName) {
        let known = self.replica.state().voter_hosts.get(&node) == Some(&host);
        if self.settings.open_membership && !known && self.noted.insert((node, host.clone())) {
            self.propose(Command::VoterHost(node, host), None);
        }
    }

    fn tell_fleet<T>(&mut self, answer: Answer<T>, tell: impl FnOnce(&mut FleetDuties) -> T) {
        let told = match &mut self.fleet {
            Some(fleet) => Ok(tell(fleet)),
            None => Err(self.not_leader()),
        };
        let _ = answer.send(told);
    }

    fn account_statuses(&mut self, now_ms: u64) -> Result<Vec<AccountStatus>, ControlRefusal> {
        self.use_quotas(now_ms, |quotas, book| {
            let accounts = book.map_or(&[][..], |book| &book.accounts);
            let status = |account: &AccountSpec| AccountStatus {
                name: account.name.clone(),
                priority: account.priority,
                keys: account.keys.len(),
                limit: account.quota.map(|quota| LimitStatus {
                    quota,
                    usage: quotas.usage(now_ms, &account.name).unwrap_or_default(),
                }),
            };
            accounts.iter().map(status).collect()
        })
    }

    /// What a leader makes of its quotas, by the accounts of the newest configuration.
    fn use_quotas<T>(
        &mut self,
        now_ms: u64,
        make: impl FnOnce(&mut QuotaGrantor, Option<&AccountBook>) -> T,
    ) -> Result<T, ControlRefusal> {
        let (Some(state), Some(quotas)) = (self.replica.newest(now_ms), &mut self.quotas) else {
            return Err(self.not_leader());
        };
        let record = state.configuration.as_ref();
        let book = record.and_then(|record| record.configuration.accounts.as_ref());
        quotas.follow(configured_version(state), book);
        Ok(make(quotas, book))
    }

    fn on_wish(&mut self, now_ms: u64, wish: &AdapterPlace) -> Result<bool, ControlRefusal> {
        let (Some(state), Some(fleet)) = (self.replica.newest(now_ms), &mut self.fleet) else {
            return Err(self.not_leader());
        };
        let (soon, order) = fleet.on_wish(state, now_ms, wish);
        if let Some(order) = order {
            self.send_order(now_ms, order);
        }
        Ok(soon)
    }

    fn on_turn(&mut self, now_ms: u64, ask: &TurnAsk) -> Result<TurnAnswer, ControlRefusal> {
        let (Some(state), Some(turns)) = (self.replica.newest(now_ms), &mut self.turns) else {
            return Err(self.not_leader());
        };
        let standing = ContentStanding::of(state.crashes.count(&ask.content));
        let answer = turns.ask(now_ms, standing, ask);
        let (content, replica) = (ask.content, &ask.replica);
        tracing::debug!(%content, %replica, ?standing, ?answer, "turn of a suspect content");
        Ok(answer)
    }

    fn on_permit(
        &mut self,
        now_ms: u64,
        request: &PermitRequest,
    ) -> Result<PermitReply, ControlRefusal> {
        self.use_rates(now_ms, |rates, state| {
            rates.permit(now_ms, request, state.warm_up(&request.service))
        })
    }

    fn on_limits(
        &mut self,
        now_ms: u64,
        report: &LimitReport,
    ) -> Result<LimitPage, ControlRefusal> {
        self.use_rates(now_ms, |rates, _| rates.report(now_ms, report))
    }

    fn use_rates<T>(
        &mut self,
        now_ms: u64,
        make: impl FnOnce(&mut ReplicaRates, &SiteState) -> T,
    ) -> Result<T, ControlRefusal> {
        match (self.replica.newest(now_ms), &mut self.rates) {
            (Some(state), Some(rates)) => Ok(make(rates, state)),
            _ => Err(self.not_leader()),
        }
    }

    fn on_report(
        &mut self,
        now_ms: u64,
        report: EntryReport,
    ) -> Result<ReportReply, ControlRefusal> {
        let leads = self.replica.newest(now_ms).is_some();
        let (true, Some(fleet), Some(rates)) = (leads, &mut self.fleet, &self.rates) else {
            return Err(self.not_leader());
        };
        let report = believe(report);
        let limits = rates.page(now_ms, report.limits);
        Ok(ReportReply {
            entries: fleet.on_report(now_ms, report),
            limits,
        })
    }

    fn permit_order(&mut self, now_ms: u64, term: Term) -> Result<SendPermit, ControlRefusal> {
        let decides = self.replica.newest(now_ms).is_some();
        if !decides || term != self.replica.term() || self.stopping.is_some() {
            return Err(self.not_leader());
        }
        let until_ms = self.replica.raft().lease_until_ms(now_ms);
        self.permitted_ms = self.permitted_ms.max(until_ms);
        Ok(SendPermit { until_ms })
    }

    /// Hands over once asked to stop. A permit promises that no other decides until its end:
    /// an heir, which is elected within milliseconds, would order beside what was permitted.
    fn hand_over_when_free(&mut self, now_ms: u64) {
        match &mut self.stopping {
            Some(stop) if !stop.handed_over && now_ms >= self.permitted_ms => {
                stop.handed_over = self.replica.raft_mut().hand_over(now_ms);
            }
            _ => {}
        }
    }

    fn send_order(&self, now_ms: u64, order: EngineOrder) {
        let lease_left_ms = self
            .replica
            .raft()
            .lease_until_ms(now_ms)
            .saturating_sub(now_ms);
        tracing::info!(
            order = %order.id(), replica = %order.replica, kind = ?order.kind, model = %order.model,
            adapter = order.adapter, lease_left_ms, "order decided"
        );
        if let Some(orders) = &self.orders {
            let _ = orders.send(order);
        }
    }

    fn on_ordered(&mut self, now_ms: u64, order: &EngineOrder, outcome: OrderOutcome) {
        let Some(fleet) = &mut self.fleet else {
            return;
        };
        if fleet.term() != order.fence {
            return;
        }
        for command in fleet.on_outcome(now_ms, order, outcome) {
            self.propose(command, None);
        }
    }

    fn fleet_round(&mut self, now_ms: u64) {
        let (Some(state), Some(fleet)) = (self.replica.newest(now_ms), &mut self.fleet) else {
            return;
        };
        if let Some(rates) = &self.rates {
            fleet.follow_limits(rates.revision(), rates.limited());
        }
        let actions = fleet.round(state, now_ms);
        for command in actions.commands {
            tracing::info!(?command, "fleet decision");
            self.propose(command, None);
        }
        for order in actions.orders {
            self.send_order(now_ms, order);
        }
    }

    fn on_agent(&mut self, now_ms: u64, beat: &AgentBeat, answer: Answer<AgentOrders>) {
        let (Some(state), Some(duties)) = (self.replica.newest(now_ms), &mut self.duties) else {
            let _ = answer.send(Err(self.not_leader()));
            return;
        };
        let commands = duties.on_agent(state, now_ms, beat);
        let target = TargetName(beat.host.0.clone());
        let member = state.members.get(&beat.host);
        let current = member.is_some_and(|member| member.incarnation == beat.life);
        let orders = AgentOrders {
            plan: current.then(|| duties.target_plan(state, &target, beat)),
            position: state.changed(),
        };
        let _ = answer.send(Ok(orders));
        for command in commands {
            self.propose(command, None);
        }
    }

    fn on_entry(&mut self, now_ms: u64, beat: &EntryBeat, answer: Answer<EntryOrders>) {
        let (Some(state), Some(duties)) = (self.replica.newest(now_ms), &mut self.duties) else {
            let _ = answer.send(Err(self.not_leader()));
            return;
        };
        let (grants, commands) = duties.on_entry(state, now_ms, beat);
        let member = state.members.get(&beat.host);
        let orders = EntryOrders {
            grants,
            rejoin: member.is_none_or(|member| member.incarnation != beat.life),
            position: state.changed(),
        };
        let _ = answer.send(Ok(orders));
        for command in commands {
            self.propose(command, None);
        }
    }

    fn read_table(&self, now_ms: u64) -> Result<TableStatus, ControlRefusal> {
        match (self.replica.newest(now_ms), &self.duties) {
            (Some(state), Some(duties)) => Ok(wire::table_status(state, |version| {
                duties.in_force(state, version)
            })),
            _ => Err(self.not_leader()),
        }
    }

    fn status(&self, now_ms: u64) -> ControlStatus {
        let raft = self.replica.raft();
        let state = self.replica.state();
        let leader = raft.leader().and_then(|node| self.hosts.get(&node));
        ControlStatus {
            host: self.settings.common.host.clone(),
            node: raft.id(),
            term: raft.term(),
            leader: leader.cloned(),
            decides: raft.may_decide(now_ms),
            voters: raft.voters().iter().copied().collect(),
            position: state.position,
            members: state.members.clone(),
            moves: state.moves,
            claims: state.claims.len(),
        }
    }

    fn not_leader(&self) -> ControlRefusal {
        let leader = self.replica.raft().leader();
        let host = leader.and_then(|node| self.hosts.get(&node));
        let own = &self.settings.common.host;
        if self.settings.open_membership {
            let other = host.filter(|host| *host != own);
            return ControlRefusal::NotLeader(other.map(|host| host.0.clone()));
        }
        let named = self.settings.common.control.iter();
        let mut named = named.filter(|voter| voter.host != *own);
        let voter = host.and_then(|host| named.find(|voter| voter.host == *host));
        ControlRefusal::NotLeader(voter.map(|voter| voter.address.to_string()))
    }

    fn on_time(&mut self) {
        let now_ms = clock::monotonic_ms();
        self.hand_over_when_free(now_ms);
        self.replica.tick(now_ms);
        self.follow_leadership(now_ms);
        let commands = match (self.replica.newest(now_ms), &mut self.duties) {
            (Some(state), Some(duties)) => duties.round(state, now_ms, clock::stamp_ms()),
            _ => Vec::new(),
        };
        self.propose_all(commands);
        self.fleet_round(now_ms);
        let _ = self.use_rates(now_ms, |rates, state| {
            rates.prune(now_ms, |life| life_state(state, life));
        });
        let hosts = &self.hosts;
        let host_of = |node: NodeId| hosts.get(&node).cloned();
        let changed = match self.settings.open_membership {
            true => self.replica.adjust_voters(now_ms, SHED_MS, host_of),
            false => self.replica.replace_voter(now_ms, host_of),
        };
        if changed {
            let voters = self.replica.raft().voters();
            tracing::info!(?voters, "changes the voters");
        }
    }

    fn follow_leadership(&mut self, now_ms: u64) {
        let leads = self.replica.raft().is_leader();
        let term = self.replica.raft().term();
        let known = self.duties.as_ref().map(|duties| duties.term());
        match leads {
            true if known == Some(term) => {}
            true => {
                let policy = self.settings.duties.policy();
                let state = self.replica.state();
                self.duties = Some(LeaderDuties::new(policy, state, term, now_ms));
                let holder = self.settings.common.host.clone();
                let fleet = FleetDuties::new(self.settings.fleet, holder, term, now_ms);
                self.fleet = Some(fleet);
                self.turns = Some(TurnDesk::default());
                self.rates = Some(ReplicaRates::new(term, now_ms));
                self.quotas = Some(match term {
                    FIRST_TERM => QuotaGrantor::of_first_leader(now_ms),
                    _ => QuotaGrantor::new(now_ms),
                });
                tracing::info!(%term, "leads");
                self.propose(Command::Site(self.settings.site.clone()), None);
                self.noted.clear();
                for voter in self.replica.raft().voters().clone() {
                    if let Some(host) = self.hosts.get(&voter).cloned() {
                        self.note_host(voter, host);
                    }
                }
            }
            false => {
                if let Some(fleet) = self.fleet.take() {
                    let leader = self.replica.raft().leader();
                    tracing::info!(term = %fleet.term(), ?leader, "leads no more");
                }
                self.duties = None;
                self.quotas = None;
                self.turns = None;
                self.rates = None;
                self.abandon();
            }
        }
    }

    /// What was proposed by a leader that leads no more may still be committed.
    fn abandon(&mut self) {
        for (_, (_, answer)) in std::mem::take(&mut self.awaiting) {
            let _ = answer.send(Err(ControlRefusal::NoQuorum));
        }
    }

    fn finish(&mut self, events: &Receiver<ControlEvent>) -> Result<RunState, JournalError> {
        let now_ms = clock::monotonic_ms();
        let output = self.replica.finish(now_ms);
        if self.save(&output.records, events)? == RunState::Stopped {
            return Ok(RunState::Stopped);
        }
        for (node, message) in output.messages {
            let known = self.replica.state().voter_hosts.get(&node);
            if let Some(host) = self.hosts.get(&node).or(known) {
                self.outbox.send(host, message);
            }
        }
        for (mark, reply) in output.replies {
            if let Some((term, answer)) = self.awaiting.remove(&mark.index) {
                let same = term == mark.term;
                let reply = Ok((mark.index, reply));
                let _ = answer.send(reply.and_then(|reply| match same {
                    true => Ok(reply),
                    false => Err(ControlRefusal::NoQuorum),
                }));
            }
        }
        self.answer_waiters(now_ms);
        Ok(RunState::Runs)
    }

    /// Saves all records, and waits where the disk is full: until they are on it,
    /// nothing that follows from them may leave.
    fn save(
        &mut self,
        records: &[DiskRecord],
        events: &Receiver<ControlEvent>,
    ) -> Result<RunState, JournalError> {
        let mut left = records;
        let mut full_since_ms = None;
        while !left.is_empty() {
            match self.journal.save_part(left) {
                Ok(saved) => left = &left[saved..],
                Err(error) if error.is_full() => {
                    if full_since_ms.is_none() {
                        tracing::warn!(%error, "the disk is full: this voter waits for room");
                        full_since_ms = Some(clock::monotonic_ms());
                    }
                    if pass_over(events) == RunState::Stopped {
                        return Ok(RunState::Stopped);
                    }
                }
                Err(error) => return Err(error),
            }
        }
        if let Some(since_ms) = full_since_ms {
            let waited_ms = clock::monotonic_ms() - since_ms;
            tracing::info!(waited_ms, "the disk has room again");
        }
        Ok(RunState::Runs)
    }

    fn answer_waiters(&mut self, now_ms: u64) {
        let changed = self.replica.state().changed();
        let tells = now_ms >= self.told_ms + NEWS_GAP_MS;
        let has_news = |waiter: &SyncWaiter| changed > waiter.cursor;
        let due =
            |waiter: &mut SyncWaiter| waiter.until_ms <= now_ms || (tells && has_news(waiter));
        let due: Vec<SyncWaiter> = self.waiters.extract_if(.., due).collect();
        if due.iter().any(has_news) {
            self.told_ms = now_ms;
        }
        for waiter in due {
            match waiter.answer {
                WaiterAnswer::Page(answer) => {
                    let page = view::page_after(self.replica.state(), waiter.cursor);
                    let _ = answer.send(Ok(page));
                }
                WaiterAnswer::Notice(answer) => {
                    let _ = answer.send(Ok(self.notice(now_ms)));
                }
            }
        }
    }

    fn notice(&self, now_ms: u64) -> Notice {
        let state = self.replica.state();
        let mut hosts: BTreeSet<HostName> = state.voter_hosts.values().cloned().collect();
        hosts.insert(self.settings.common.host.clone());
        let leader = self.replica.raft().leader();
        hosts.extend(leader.and_then(|node| self.hosts.get(&node)).cloned());
        Notice {
            hall: self.settings.common.hall.clone(),
            position: state.changed(),
            leaderless_ms: self.replica.raft().leaderless_ms(now_ms),
            hosts: hosts.into_iter().collect(),
            proof: self.proof(now_ms),
        }
    }

    /// Which configuration surely was the newest, and how long ago.
    fn proof(&self, now_ms: u64) -> Option<FreshnessProof> {
        match (self.replica.newest(now_ms), self.confirmed) {
            (Some(state), _) if !self.replica.lags() => Some(FreshnessProof {
                version: configured_version(state),
                age_ms: 0,
            }),
            (_, Some((version, asked_ms))) => Some(FreshnessProof {
                version,
                age_ms: now_ms.saturating_sub(asked_ms),
            }),
            _ => None,
        }
    }

    fn is_stopped(&mut self) -> bool {
        let now_ms = clock::monotonic_ms();
        let raft = self.replica.raft();
        let heir = raft.leader().is_some_and(|leader| leader != raft.id());
        let done = |stop: &mut VoterStop| heir || stop.since_ms + HANDOVER_MS < now_ms;
        match self.stopping.take_if(done) {
            Some(stop) => {
                let _ = stop.answer.send(());
                true
            }
            None => false,
        }
    }
}

fn configured_version(state: &SiteState) -> u64 {
    let record = state.configuration.as_ref();
    record.map_or(0, |record| record.configuration.version)
}

/// An entry's report, without figures where one cannot be true: the entry still counts
/// among those that report.
fn life_state(state: &SiteState, life: &ReplicaLife) -> LifeState {
    match state.replicas.records().get(&life.id) {
        Some(record) if record.born_ms > life.born_ms => LifeState::Over,
        Some(_) => LifeState::Known,
        None => LifeState::Unknown,
    }
}

/// A report whose figures cannot be true tells of nothing but its entry.
fn believe(report: EntryReport) -> EntryReport {
    match report.check() {
        Ok(()) => report,
        Err(error) => {
            tracing::warn!(host = report.host, %error, "a report cannot be true");
            EntryReport {
                host: report.host,
                limits: report.limits,
                ..EntryReport::default()
            }
        }
    }
}
