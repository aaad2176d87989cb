//! The voter's event loop: one thread owns the voter and its disk. Calls and messages reach it
//! as events, so that one sync serves all events of a batch.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use crate::clock;
use crate::consensus::membership::{VoterPolicy, VoterRoster};
use crate::consensus::raft::{LogMark, ProposeError};
use crate::consensus::replica::LogReplica;
use crate::consensus::state::{Command, Reply, SiteState};
use crate::consensus::write_queue::{ReleasedOutput, WriteQueue};
use crate::control::bootstrap;
use crate::control::event::{ControlEvent, ReplySender, SendPermit};
use crate::control::journal::{DataFolder, DiskCheck, DiskJournal, JournalError};
use crate::control::log_writer::{LogWriter, WriteProgress};
use crate::control::outbox::PeerOutbox;
use crate::control::stall_monitor::StallMonitor;
use crate::control::voter_watch::{self, VoterWatch};
use crate::ids::{HostName, NodeId, Position, ReplicaIncarnation, TargetName, Term};
use crate::placement::advertised_limits::{IncarnationState, LimitPage, LimitReport};
use crate::placement::fleet::FleetController;
use crate::placement::order::{AdapterPlacement, OrderOutcome, ReplicaOrder};
use crate::placement::replica_rates::{PermitReply, PermitRequest, ReplicaRateLimits};
use crate::placement::report::{EntryReport, ReportReply};
use crate::placement::suspect_leases::{SuspectLeaseReply, SuspectLeaseRequest, SuspectLeases};
use crate::placement::target_controller::{AgentHeartbeat, EntryHeartbeat, TargetController};
use crate::process::memory::MemoryUse;
use crate::process::settings::ControlSettings;
use crate::process::wire::{
    self, AccountStatus, AgentHeartbeatReply, ControlRefusal, ControlStatus, EntryHeartbeatReply,
    LimitStatus, PositionUpdate, SilentVoter, TableStatus,
};
use crate::routing::freshness::FreshnessProof;
use crate::routing::route_changes;
use crate::routing::view::{self, SyncPage};
use crate::table::accounts::{AccountList, AccountSpec};
use crate::table::quota::QuotaGrantor;

/// Longest interval between two checks of the clock.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of events, after the first one, that share a sync.
const MAX_BATCH_EVENTS: usize = 1024;
/// Longest wait of a [`ControlEvent::Sync`], in milliseconds.
const MAX_SYNC_WAIT_MS: u64 = 2_000;
/// Minimum interval between two notifications of members, in milliseconds. A single change is
/// reported at once; where replicas change hundreds of times a second, a member queries and
/// pulls ten times a second rather than for each change.
const NOTIFY_INTERVAL_MS: u64 = 100;
/// Silence after which a voter counts as lost, in milliseconds.
const LOST_VOTER_MS: u64 = 1_000;
/// The first term, whose leader has no predecessor.
const FIRST_TERM: Term = Term(1);
/// Time between two groups of log lines on names without service, in milliseconds.
const UNSERVED_LOG_INTERVAL_MS: u64 = 5_000;
/// Time for which events are discarded while the disk is full.
const DISK_FULL_PAUSE: Duration = Duration::from_millis(100);
/// A voter waits for a write for its heartbeat interval divided by this, then goes on.
const WRITE_WAIT_DIVISOR: u32 = 2;
/// Number of batches to be written from which the voter waits for the disk.
const MAX_UNSAVED_BATCHES: usize = 256;
/// Time for which a stopping leader waits for its successor, in milliseconds.
const HANDOVER_TIMEOUT_MS: u64 = 2_000;

enum WaiterReply {
    Page(ReplySender<SyncPage>),
    PositionUpdate(ReplySender<PositionUpdate>),
}

struct SyncWaiter {
    cursor: Position,
    until_ms: u64,
    answer: WaiterReply,
}

/// Whether the event loop continues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunState {
    Runs,
    Stopped,
}

/// Discards events for a while, as a network would: callers are refused and turn to another
/// host. A stop is still obeyed.
fn discard_events(events: &Receiver<ControlEvent>) -> RunState {
    let until_ms = clock::monotonic_ms() + DISK_FULL_PAUSE.as_millis() as u64;
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

/// State of the voter's thread.
pub struct ControlLoop {
    settings: ControlSettings,
    replica: LogReplica,
    writer: LogWriter,
    writes: WriteQueue,
    targets: Option<TargetController>,
    fleet: Option<FleetController>,
    quotas: Option<QuotaGrantor>,
    suspect_leases: Option<SuspectLeases>,
    rates: Option<ReplicaRateLimits>,
    /// Version of the newest configuration that a leader confirmed, and when this host queried
    /// it.
    confirmed: Option<(u64, u64)>,
    orders: Option<mpsc::UnboundedSender<ReplicaOrder>>,
    pending_proposals: BTreeMap<Position, (Term, ReplySender<(Position, Reply)>)>,
    waiters: Vec<SyncWaiter>,
    /// When members were last notified of a change.
    notified_ms: u64,
    roster: VoterRoster,
    /// When names without service were last logged.
    unserved_logged_ms: u64,
    outbox: PeerOutbox,
    /// Linearizable reads that wait for the end of this batch of events.
    deferred: Vec<ControlEvent>,
    stopping: Option<StopRequest>,
    /// Latest expiry of all send permits that were given.
    permitted_until_ms: u64,
    stalls: StallMonitor,
    watch: VoterWatch,
}

/// A requested stop.
struct StopRequest {
    since_ms: u64,
    /// Receives the end of the handover.
    handed_over_reply: Option<oneshot::Sender<()>>,
    /// Receives the end of the event loop, which follows the handover.
    stopped_reply: Option<oneshot::Sender<()>>,
    /// A successor has been asked to stand for election. Until then the handover is retried:
    /// this voter may win an election in progress, or receive replies of its
    /// followers again.
    handed_over: bool,
}

impl ControlLoop {
    /// Opens the data folder of the settings.
    pub fn open(settings: ControlSettings) -> Result<Self, JournalError> {
        Self::open_in(&DataFolder::from(&settings.data_folder), settings)
    }

    /// Opens a data folder.
    pub fn open_in(folder: &DataFolder, settings: ControlSettings) -> Result<Self, JournalError> {
        let (journal, image) = DiskJournal::open(folder, None)?;
        let node = journal.identity().node;
        tracing::info!(
            %node,
            log_bytes = journal.written(),
            entries = image.entries.len(),
            snapshot = image.snapshot.last.index.0,
            commit = image.commit.0,
            "data folder read"
        );
        let replica = LogReplica::new(
            node,
            settings.timing,
            image,
            clock::monotonic_ms(),
            node.0 ^ clock::wall_ms(),
            settings.compact_after,
        );
        let voters = settings.common.control.iter();
        let hosts = voters.map(|voter| (bootstrap::voter_id(&voter.host), voter.host.clone()));
        let mut hosts: BTreeMap<NodeId, HostName> = hosts.collect();
        // The latest hosts may be in entries that are not yet known to be committed.
        hosts.extend(replica.logged_hosts());
        hosts.insert(node, settings.common.host.clone());
        let policy = VoterPolicy {
            bearable_losses: settings.bearable_losses,
            silent_ms: LOST_VOTER_MS,
        };
        Ok(Self {
            stalls: StallMonitor::new(settings.timing.heartbeat_ms),
            settings,
            replica,
            writer: LogWriter::new(journal),
            writes: WriteQueue::default(),
            targets: None,
            fleet: None,
            quotas: None,
            suspect_leases: None,
            rates: None,
            confirmed: None,
            orders: None,
            pending_proposals: BTreeMap::new(),
            waiters: Vec::new(),
            notified_ms: 0,
            roster: VoterRoster::new(policy, hosts),
            unserved_logged_ms: 0,
            outbox: PeerOutbox::default(),
            deferred: Vec::new(),
            stopping: None,
            permitted_until_ms: 0,
            watch: VoterWatch::default(),
        })
    }

    /// Sets the channels to the other voters.
    pub fn send_messages(&mut self, outbox: PeerOutbox) {
        self.outbox = outbox;
    }

    /// Sets the channel for the orders of this leader.
    pub fn send_orders(&mut self, orders: mpsc::UnboundedSender<ReplicaOrder>) {
        self.orders = Some(orders);
    }

    /// Installs a check of each call on the disk, for tests of failing disks.
    pub fn set_disk_check(&mut self, disk_check: DiskCheck) {
        self.writer.set_disk_check(disk_check);
    }

    /// Returns the identity of this voter's disk.
    pub fn node(&self) -> NodeId {
        self.writer.node()
    }

    /// Returns whether this disk does not vote, as far as it knows.
    pub fn is_learner(&self) -> bool {
        !self.replica.raft().voters().contains(&self.node())
    }

    /// Runs until it is stopped or its disk fails. After a failure the voter sends nothing
    /// more, as it cannot know what was saved.
    pub fn run(mut self, events: Receiver<ControlEvent>) -> Result<(), JournalError> {
        self.writer.start();
        loop {
            let received = events.recv_timeout(TICK_INTERVAL);
            self.stalls.turn_begins(clock::monotonic_ms());
            match received {
                Ok(event) => {
                    self.handle(event);
                    for event in events.try_iter().take(MAX_BATCH_EVENTS) {
                        self.handle(event);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            self.on_tick();
            if self.finish(&events)? == RunState::Stopped || self.is_stopped() {
                return Ok(());
            }
            for event in std::mem::take(&mut self.deferred) {
                self.handle(event);
            }
            self.stalls.turn_ends(self.replica.raft());
        }
    }

    fn handle(&mut self, event: ControlEvent) {
        let now_ms = clock::monotonic_ms();
        match event {
            event if event.needs_newest() && self.replica.is_behind() => self.deferred.push(event),
            ControlEvent::Raft(from, host, message) => {
                self.roster.learn(from, host);
                self.replica.receive(now_ms, from, message);
            }
            ControlEvent::Enroll(node, host, answer) => {
                self.enroll(node, host);
                let _ = answer.send(Ok(self.position_update(now_ms)));
            }
            ControlEvent::Propose(command, answer) => self.propose(command, Some(answer)),
            ControlEvent::ProposeEncoded(command, answer) => {
                let propose =
                    |replica: &mut LogReplica, at_ms| replica.propose_encoded(at_ms, &command);
                self.propose_with(propose, Some(answer));
            }
            ControlEvent::Sync {
                cursor,
                wait_ms,
                fresh,
                answer,
            } => self.on_sync(now_ms, cursor, wait_ms, fresh, answer),
            ControlEvent::AgentHeartbeat(agent, answer) => self.on_agent(now_ms, &agent, answer),
            ControlEvent::EntryHeartbeat(entry, answer) => self.on_entry(now_ms, &entry, answer),
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
            ControlEvent::LeavingHosts(leaving) => {
                if let Some(targets) = &mut self.targets {
                    targets.on_leaving_hosts(leaving);
                }
            }
            ControlEvent::PositionUpdate {
                cursor,
                wait_ms,
                answer,
            } => self.waiters.push(SyncWaiter {
                cursor,
                until_ms: now_ms + wait_ms.min(MAX_SYNC_WAIT_MS),
                answer: WaiterReply::PositionUpdate(answer),
            }),
            ControlEvent::Configuration(answer) => {
                let held = self.replica.state().configuration.as_deref().cloned();
                let _ = answer.send(Ok(held));
            }
            ControlEvent::Confirm(answer) => {
                let newest = self.replica.newest(now_ms);
                let version = newest.map(configured_version);
                let _ = answer.send(version.ok_or_else(|| self.not_leader()));
            }
            ControlEvent::Confirmed { version, sent_ms } => {
                self.confirmed = Some((version, sent_ms));
            }
            ControlEvent::Accounts(answer) => {
                let _ = answer.send(self.account_statuses(now_ms));
            }
            ControlEvent::Quota(request, answer) => {
                let granted = self.with_quotas(now_ms, |quotas, _| quotas.grant(now_ms, &request));
                let _ = answer.send(granted);
            }
            ControlEvent::ReplicasSeen(ids, answer) => {
                self.with_fleet(answer, |fleet| fleet.on_heartbeats(now_ms, &ids));
            }
            ControlEvent::Report(report, answer) => {
                let _ = answer.send(self.on_report(now_ms, report));
            }
            ControlEvent::QueuedTokens(report, answer) => {
                self.with_fleet(answer, |fleet| fleet.on_queue_report(now_ms, report));
            }
            ControlEvent::AdapterRequest(request, answer) => {
                let _ = answer.send(self.on_adapter_request(now_ms, &request));
            }
            ControlEvent::SuspectLease(request, answer) => {
                let _ = answer.send(self.on_suspect_lease(now_ms, &request));
            }
            ControlEvent::SuspectLeaseEnd(end, answer) => {
                let ended = self
                    .suspect_leases
                    .as_mut()
                    .map(|leases| leases.release(end));
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
                let crashes = newest.map(|state| state.crashes.clone());
                let _ = answer.send(crashes.ok_or_else(|| self.not_leader()));
            }
            ControlEvent::Parts(answer) => {
                let newest = self.replica.newest(now_ms);
                let parts = newest.map(|state| state.parts().clone());
                let _ = answer.send(parts.ok_or_else(|| self.not_leader()));
            }
            ControlEvent::VersionMix(service, answer) => {
                let newest = self.replica.newest(now_ms);
                let mix = newest.map(|state| route_changes::confirmed_mix(state, &service));
                let _ = answer.send(mix.ok_or_else(|| self.not_leader()));
            }
            ControlEvent::OrderPermit(term, answer) => {
                let _ = answer.send(self.permit_order(now_ms, term));
            }
            ControlEvent::OrderDone(order, outcome) => self.on_order_done(now_ms, &order, outcome),
            ControlEvent::Compare(heartbeat, answer) => {
                let _ = answer.send(Ok(self.replica.state().compare_versioned(&heartbeat)));
            }
            ControlEvent::Leave(node, answer) => {
                let decides = self.replica.newest(now_ms).is_some() && self.stopping.is_none();
                let status = decides.then(|| self.roster.leave(&self.replica, node, now_ms));
                let _ = answer.send(status.ok_or_else(|| self.not_leader()));
            }
            ControlEvent::HandOver(answer) => {
                self.stop_request(now_ms).handed_over_reply = Some(answer);
            }
            ControlEvent::Stop(answer) => {
                self.stop_request(now_ms).stopped_reply = Some(answer);
            }
        }
    }

    fn propose(&mut self, command: Command, answer: Option<ReplySender<(Position, Reply)>>) {
        self.propose_with(|replica, at_ms| replica.propose(at_ms, command), answer);
    }

    fn propose_with(
        &mut self,
        propose: impl FnOnce(&mut LogReplica, u64) -> Result<LogMark, ProposeError>,
        answer: Option<ReplySender<(Position, Reply)>>,
    ) {
        let refusal = match self.stopping {
            Some(_) => Err(ControlRefusal::Stopping),
            None => {
                let mark = propose(&mut self.replica, clock::stamp_ms());
                mark.map_err(|error| match error {
                    ProposeError::Backlog => ControlRefusal::Busy,
                    ProposeError::NotLeader(_) | ProposeError::VotersBusy => self.not_leader(),
                })
            }
        };
        match (refusal, answer) {
            (Ok(mark), Some(answer)) => {
                self.pending_proposals
                    .insert(mark.index, (mark.term, answer));
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
        if let Some(targets) = &mut self.targets {
            targets.await_position(last);
        }
    }

    fn on_sync(
        &mut self,
        now_ms: u64,
        cursor: Position,
        wait_ms: u64,
        fresh: bool,
        answer: ReplySender<SyncPage>,
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
                answer: WaiterReply::Page(answer),
            }),
        }
    }

    /// Makes a disk a learner, if this voter leads.
    fn enroll(&mut self, node: NodeId, host: HostName) {
        self.roster.enroll(node, host);
        if !self.replica.raft().is_leader() {
            return;
        }
        self.replica.raft_mut().add_learner(node);
    }

    /// Records in the log on which host each disk is reached, for a restart of all voters and for
    /// the next leader.
    fn update_hosts(&mut self, now_ms: u64) {
        if self.settings.open_membership {
            for command in self.roster.update_hosts(&self.replica, now_ms) {
                self.propose(command, None);
            }
        }
    }

    fn with_fleet<T>(
        &mut self,
        answer: ReplySender<T>,
        update: impl FnOnce(&mut FleetController) -> T,
    ) {
        let updated = match &mut self.fleet {
            Some(fleet) => Ok(update(fleet)),
            None => Err(self.not_leader()),
        };
        let _ = answer.send(updated);
    }

    fn account_statuses(&mut self, now_ms: u64) -> Result<Vec<AccountStatus>, ControlRefusal> {
        self.with_quotas(now_ms, |quotas, table| {
            let accounts = table.map_or(&[][..], |table| &table.accounts);
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

    /// Calls `make` with the leader's quotas, updated to the accounts of the newest
    /// configuration.
    fn with_quotas<T>(
        &mut self,
        now_ms: u64,
        make: impl FnOnce(&mut QuotaGrantor, Option<&AccountList>) -> T,
    ) -> Result<T, ControlRefusal> {
        let (Some(state), Some(quotas)) = (self.replica.newest(now_ms), &mut self.quotas) else {
            return Err(self.not_leader());
        };
        let record = state.configuration.as_ref();
        let accounts = record.and_then(|record| record.configuration.accounts.as_ref());
        quotas.set_limits(configured_version(state), accounts);
        Ok(make(quotas, accounts))
    }

    fn on_adapter_request(
        &mut self,
        now_ms: u64,
        request: &AdapterPlacement,
    ) -> Result<bool, ControlRefusal> {
        let (Some(state), Some(fleet)) = (self.replica.newest(now_ms), &mut self.fleet) else {
            return Err(self.not_leader());
        };
        let (soon, order) = fleet.on_adapter_request(state, now_ms, request);
        if let Some(order) = order {
            self.send_order(now_ms, order);
        }
        Ok(soon)
    }

    fn on_suspect_lease(
        &mut self,
        now_ms: u64,
        request: &SuspectLeaseRequest,
    ) -> Result<SuspectLeaseReply, ControlRefusal> {
        let (Some(state), Some(leases)) = (self.replica.newest(now_ms), &mut self.suspect_leases)
        else {
            return Err(self.not_leader());
        };
        let standing = state.lease_standing(&request.content);
        let answer = leases.request(now_ms, standing, request);
        let (content, replica) = (request.content, &request.replica);
        tracing::debug!(%content, %replica, ?standing, ?answer, "suspect lease requested");
        Ok(answer)
    }

    fn on_permit(
        &mut self,
        now_ms: u64,
        request: &PermitRequest,
    ) -> Result<PermitReply, ControlRefusal> {
        self.with_rates(now_ms, |rates, state| {
            rates.permit(now_ms, request, state.warm_up(&request.service))
        })
    }

    fn on_limits(
        &mut self,
        now_ms: u64,
        report: &LimitReport,
    ) -> Result<LimitPage, ControlRefusal> {
        self.with_rates(now_ms, |rates, _| rates.report(now_ms, report))
    }

    fn with_rates<T>(
        &mut self,
        now_ms: u64,
        make: impl FnOnce(&mut ReplicaRateLimits, &SiteState) -> T,
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
        let report = drop_invalid_figures(report);
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
        self.permitted_until_ms = self.permitted_until_ms.max(until_ms);
        Ok(SendPermit { until_ms })
    }

    /// Hands over the leadership after a stop was requested and all send permits have expired.
    /// A permit promises that no other leader decides before its expiry; a successor, elected
    /// within milliseconds, would send its orders in parallel with a permitted one.
    fn hand_over_after_permits(&mut self, now_ms: u64) {
        match &mut self.stopping {
            Some(stop) if !stop.handed_over && now_ms >= self.permitted_until_ms => {
                stop.handed_over = self.replica.raft_mut().hand_over(now_ms);
            }
            _ => {}
        }
    }

    fn send_order(&self, now_ms: u64, order: ReplicaOrder) {
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

    fn on_order_done(&mut self, now_ms: u64, order: &ReplicaOrder, outcome: OrderOutcome) {
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
            fleet.update_limited(rates.revision(), rates.limited());
        }
        let actions = fleet.round(state, now_ms);
        for command in actions.commands {
            tracing::info!(?command, "fleet decision");
            self.propose(command, None);
        }
        for order in actions.orders {
            self.send_order(now_ms, order);
        }
        self.log_unserved(now_ms);
    }

    fn log_unserved(&mut self, now_ms: u64) {
        if now_ms < self.unserved_logged_ms + UNSERVED_LOG_INTERVAL_MS {
            return;
        }
        let (Some(state), Some(fleet)) = (self.replica.newest(now_ms), &self.fleet) else {
            return;
        };
        let summary = fleet.unserved_summary(now_ms);
        if summary.names == 0 {
            return;
        }
        self.unserved_logged_ms = now_ms;
        let (names, longest_ms) = (summary.names, summary.longest_ms);
        tracing::warn!(
            names,
            longest_ms,
            "models and adapters requested without service"
        );
        for status in fleet.unserved_status(state, now_ms) {
            tracing::warn!(
                name = %status.name, unserved_ms = status.unserved_ms, homes = status.homes,
                holders = status.holders, waits_for = status.waits_for, "requested without service"
            );
        }
    }

    fn on_agent(
        &mut self,
        now_ms: u64,
        heartbeat: &AgentHeartbeat,
        answer: ReplySender<AgentHeartbeatReply>,
    ) {
        let (Some(state), Some(targets)) = (self.replica.newest(now_ms), &mut self.targets) else {
            let _ = answer.send(Err(self.not_leader()));
            return;
        };
        let commands = targets.on_agent_heartbeat(state, now_ms, heartbeat);
        let target = TargetName(heartbeat.host.0.clone());
        let member = state.members.get(&heartbeat.host);
        let current = member.is_some_and(|member| member.incarnation == heartbeat.incarnation);
        let orders = AgentHeartbeatReply {
            plan: current.then(|| targets.target_plan(state, &target, heartbeat)),
            position: state.changed(),
        };
        let _ = answer.send(Ok(orders));
        for command in commands {
            self.propose(command, None);
        }
    }

    fn on_entry(
        &mut self,
        now_ms: u64,
        heartbeat: &EntryHeartbeat,
        answer: ReplySender<EntryHeartbeatReply>,
    ) {
        let (Some(state), Some(targets)) = (self.replica.newest(now_ms), &mut self.targets) else {
            let _ = answer.send(Err(self.not_leader()));
            return;
        };
        let (grants, commands) = targets.on_entry_heartbeat(state, now_ms, heartbeat);
        let member = state.members.get(&heartbeat.host);
        let orders = EntryHeartbeatReply {
            grants,
            rejoin: member.is_none_or(|member| member.incarnation != heartbeat.incarnation),
            position: state.changed(),
        };
        let _ = answer.send(Ok(orders));
        for command in commands {
            self.propose(command, None);
        }
    }

    fn read_table(&self, now_ms: u64) -> Result<TableStatus, ControlRefusal> {
        match (self.replica.newest(now_ms), &self.targets) {
            (Some(state), Some(targets)) => Ok(wire::table_status(state, |version| {
                targets.in_force(state, version)
            })),
            _ => Err(self.not_leader()),
        }
    }

    fn status(&self, now_ms: u64) -> ControlStatus {
        let raft = self.replica.raft();
        let state = self.replica.state();
        let leader = raft.leader().and_then(|node| self.host_of(node));
        let fleet = self.fleet.as_ref();
        let fleet = fleet.map(|fleet| fleet.unserved_summary(now_ms));
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
            unserved: fleet.unwrap_or_default(),
            silent_voters: self.silent_voters(now_ms),
            log: raft.log_usage(),
        }
    }

    fn silent_voters(&self, now_ms: u64) -> Vec<SilentVoter> {
        let raft = self.replica.raft();
        let silent = raft.silent_voters(now_ms, voter_watch::SILENT_MS);
        let named = silent.into_iter().map(|(node, silent_ms)| SilentVoter {
            node,
            host: self.host_of(node).cloned(),
            silent_ms,
        });
        named.collect()
    }

    fn host_of(&self, node: NodeId) -> Option<&HostName> {
        self.roster.host_of(self.replica.state(), node)
    }

    fn not_leader(&self) -> ControlRefusal {
        let leader = self.replica.raft().leader();
        let host = leader.and_then(|node| self.host_of(node));
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

    fn on_tick(&mut self) {
        let now_ms = clock::monotonic_ms();
        self.hand_over_after_permits(now_ms);
        self.replica.tick(now_ms);
        self.update_leadership(now_ms);
        let commands = match (self.replica.newest(now_ms), &mut self.targets) {
            (Some(state), Some(targets)) => targets.round(state, now_ms, clock::stamp_ms()),
            _ => Vec::new(),
        };
        self.propose_all(commands);
        self.fleet_round(now_ms);
        let _ = self.with_rates(now_ms, |rates, state| {
            rates.prune(now_ms, |incarnation| incarnation_state(state, incarnation));
        });
        self.update_hosts(now_ms);
        let changed = match self.settings.open_membership {
            true => self.roster.adjust(&mut self.replica, now_ms),
            false => {
                let known = self.roster.hosts();
                self.replica
                    .replace_voter(now_ms, |node| known.get(&node).cloned())
            }
        };
        if changed {
            let voters = self.replica.raft().voters();
            tracing::info!(?voters, "change of the voters proposed");
        }
        let raft = self.replica.raft();
        let silent = raft.silent_voters(now_ms, voter_watch::SILENT_MS);
        if self.watch.is_due(now_ms, &silent) {
            voter_watch::log(raft, &self.silent_voters(now_ms));
        }
    }

    fn update_leadership(&mut self, now_ms: u64) {
        let leads = self.replica.raft().is_leader();
        let term = self.replica.raft().term();
        let known = self.targets.as_ref().map(|targets| targets.term());
        match leads {
            true if known == Some(term) => {}
            true => {
                let policy = self.settings.duties.policy();
                let state = self.replica.state();
                self.targets = Some(TargetController::new(policy, state, term, now_ms));
                let holder = self.settings.common.host.clone();
                let fleet = FleetController::new(self.settings.fleet, holder, term, now_ms);
                self.fleet = Some(fleet);
                self.suspect_leases = Some(SuspectLeases::default());
                self.rates = Some(ReplicaRateLimits::new(term, now_ms));
                self.quotas = Some(match term {
                    FIRST_TERM => QuotaGrantor::of_first_leader(now_ms),
                    _ => QuotaGrantor::new(now_ms),
                });
                tracing::info!(%term, "leads");
                self.propose(Command::Site(self.settings.site.clone()), None);
                self.roster.lead();
            }
            false => {
                if let Some(fleet) = self.fleet.take() {
                    let leader = self.replica.raft().leader();
                    tracing::info!(term = %fleet.term(), ?leader, "leads no more");
                }
                self.targets = None;
                self.quotas = None;
                self.suspect_leases = None;
                self.rates = None;
                self.fail_pending();
            }
        }
    }

    /// Refuses all pending proposals of a former leader; they may still be committed.
    fn fail_pending(&mut self) {
        let pending = std::mem::take(&mut self.pending_proposals);
        if !pending.is_empty() {
            let (term, pending) = (self.replica.term(), pending.len());
            tracing::info!(%term, pending, "proposals of a former leader refused");
        }
        for (_, (_, answer)) in pending {
            let _ = answer.send(Err(ControlRefusal::NoQuorum));
        }
    }

    fn finish(&mut self, events: &Receiver<ControlEvent>) -> Result<RunState, JournalError> {
        while let Some(progress) = self.writer.progress(Duration::ZERO) {
            if self.on_write_progress(progress, events)? == RunState::Stopped {
                return Ok(RunState::Stopped);
            }
        }
        let was_behind = !self.writes.is_empty();
        let now_ms = clock::monotonic_ms();
        let output = self.replica.finish(now_ms);
        if output.compacted {
            self.log_compaction();
        }
        let (batch, released) = self.writes.push(output);
        self.deliver(released);
        if let Some(batch) = batch {
            self.writer.write(batch);
            self.update_unsaved();
            if self.await_write(was_behind, events)? == RunState::Stopped {
                return Ok(RunState::Stopped);
            }
        }
        self.reply_to_waiters(now_ms);
        Ok(RunState::Runs)
    }

    fn log_compaction(&self) {
        let usage = self.replica.raft().log_usage();
        let memory = MemoryUse::read().unwrap_or_default();
        tracing::info!(
            snapshot_bytes = usage.snapshot_bytes,
            retained_bytes = usage.retained_bytes,
            resident_bytes = memory.resident_bytes,
            peak_bytes = memory.peak_bytes,
            unsaved_bytes = self.writes.unsaved_bytes(),
            "log compacted"
        );
    }

    /// Waits for the write of this turn, not much longer than a write usually takes: the followers
    /// of a leader with a slow disk must not miss its heartbeats. A voter that is its own quorum
    /// waits until the write is done, as its state holds entries that no other disk has.
    fn await_write(
        &mut self,
        was_behind: bool,
        events: &Receiver<ControlEvent>,
    ) -> Result<RunState, JournalError> {
        let alone = self.replica.raft().voters().len() == 1;
        let heartbeat = Duration::from_millis(self.settings.timing.heartbeat_ms);
        let wait = heartbeat / WRITE_WAIT_DIVISOR;
        while !self.writes.is_empty() {
            let must_wait = alone || self.writes.len() >= MAX_UNSAVED_BATCHES;
            if was_behind && !must_wait {
                return Ok(RunState::Runs);
            }
            match self.writer.progress(wait) {
                Some(progress) => {
                    if self.on_write_progress(progress, events)? == RunState::Stopped {
                        return Ok(RunState::Stopped);
                    }
                }
                None if must_wait => {}
                None => return Ok(RunState::Runs),
            }
        }
        Ok(RunState::Runs)
    }

    /// Delivers what waited for a write. While the disk is full, discards events until the write
    /// is done: the voter confirms nothing that it cannot save.
    fn on_write_progress(
        &mut self,
        mut progress: WriteProgress,
        events: &Receiver<ControlEvent>,
    ) -> Result<RunState, JournalError> {
        loop {
            match progress {
                WriteProgress::Saved(number) => {
                    self.on_saved(number);
                    return Ok(RunState::Runs);
                }
                WriteProgress::Failed(error) => return Err(error),
                WriteProgress::DiskFull => {}
            }
            progress = loop {
                if discard_events(events) == RunState::Stopped {
                    return Ok(RunState::Stopped);
                }
                if let Some(progress) = self.writer.progress(Duration::ZERO) {
                    break progress;
                }
            };
        }
    }

    fn on_saved(&mut self, number: u64) {
        let released = self.writes.saved(number);
        self.update_unsaved();
        if released.vote_saved {
            let now_ms = clock::monotonic_ms();
            self.replica.raft_mut().vote_saved(now_ms);
        }
        self.deliver(released);
    }

    fn update_unsaved(&mut self) {
        let raft = self.replica.raft_mut();
        raft.set_unsaved_bytes(self.writes.unsaved_bytes());
        raft.set_unsaved_from(self.writes.unsaved_from());
    }

    fn deliver(&mut self, released: ReleasedOutput) {
        for (node, message) in released.messages {
            if let Some(host) = self.roster.host_of(self.replica.state(), node) {
                self.outbox.send(host, message);
            }
        }
        for (mark, reply) in released.replies {
            if let Some((term, answer)) = self.pending_proposals.remove(&mark.index) {
                let same_term = term == mark.term;
                let reply = Ok((mark.index, reply));
                let _ = answer.send(reply.and_then(|reply| match same_term {
                    true => Ok(reply),
                    false => Err(ControlRefusal::NoQuorum),
                }));
            }
        }
    }

    fn reply_to_waiters(&mut self, now_ms: u64) {
        let changed = self.replica.state().changed();
        let may_send = now_ms >= self.notified_ms + NOTIFY_INTERVAL_MS;
        let is_behind = |waiter: &SyncWaiter| changed > waiter.cursor;
        let due =
            |waiter: &mut SyncWaiter| waiter.until_ms <= now_ms || (may_send && is_behind(waiter));
        let due: Vec<SyncWaiter> = self.waiters.extract_if(.., due).collect();
        if due.iter().any(is_behind) {
            self.notified_ms = now_ms;
        }
        for waiter in due {
            match waiter.answer {
                WaiterReply::Page(answer) => {
                    let page = view::page_after(self.replica.state(), waiter.cursor);
                    let _ = answer.send(Ok(page));
                }
                WaiterReply::PositionUpdate(answer) => {
                    let _ = answer.send(Ok(self.position_update(now_ms)));
                }
            }
        }
    }

    fn position_update(&self, now_ms: u64) -> PositionUpdate {
        let state = self.replica.state();
        let mut hosts: BTreeSet<HostName> = state.voter_hosts.values().cloned().collect();
        hosts.insert(self.settings.common.host.clone());
        let leader = self.replica.raft().leader();
        hosts.extend(leader.and_then(|node| self.host_of(node)).cloned());
        PositionUpdate {
            hall: self.settings.common.hall.clone(),
            position: state.changed(),
            leaderless_ms: self.replica.raft().leaderless_ms(now_ms),
            hosts: hosts.into_iter().collect(),
            proof: self.proof(now_ms),
        }
    }

    /// Returns a proof of which configuration was the newest, and how long ago.
    fn proof(&self, now_ms: u64) -> Option<FreshnessProof> {
        match (self.replica.newest(now_ms), self.confirmed) {
            (Some(state), _) if !self.replica.is_behind() => Some(FreshnessProof {
                version: configured_version(state),
                age_ms: 0,
            }),
            (_, Some((version, sent_ms))) => Some(FreshnessProof {
                version,
                age_ms: now_ms.saturating_sub(sent_ms),
            }),
            _ => None,
        }
    }

    fn stop_request(&mut self, now_ms: u64) -> &mut StopRequest {
        self.stopping.get_or_insert(StopRequest {
            since_ms: now_ms,
            handed_over_reply: None,
            stopped_reply: None,
            handed_over: false,
        })
    }

    /// Answers requests to hand over and to stop, once another voter leads or has had its time.
    /// Returns whether the event loop ends.
    fn is_stopped(&mut self) -> bool {
        let now_ms = clock::monotonic_ms();
        let raft = self.replica.raft();
        let has_successor = raft.leader().is_some_and(|leader| leader != raft.id());
        let is_over =
            |stop: &StopRequest| has_successor || stop.since_ms + HANDOVER_TIMEOUT_MS < now_ms;
        let Some(stop) = self.stopping.as_mut().filter(|stop| is_over(stop)) else {
            return false;
        };
        if let Some(reply) = stop.handed_over_reply.take() {
            let _ = reply.send(());
        }
        let stopped = stop.stopped_reply.take();
        stopped.map(|reply| reply.send(())).is_some()
    }
}

fn configured_version(state: &SiteState) -> u64 {
    let record = state.configuration.as_ref();
    record.map_or(0, |record| record.configuration.version)
}

/// Compares an incarnation of a replica with the state; it is over once a later one is known.
fn incarnation_state(state: &SiteState, incarnation: &ReplicaIncarnation) -> IncarnationState {
    match state.replicas.records().get(&incarnation.id) {
        Some(record) if record.started_ms > incarnation.started_ms => IncarnationState::Replaced,
        Some(_) => IncarnationState::Current,
        None => IncarnationState::Unknown,
    }
}

/// Drops the figures of an implausible report. The entry still counts among those that report,
/// and keeps its limits.
fn drop_invalid_figures(report: EntryReport) -> EntryReport {
    match report.check() {
        Ok(()) => report,
        Err(error) => {
            tracing::warn!(host = report.host, %error, "implausible report, figures ignored");
            EntryReport {
                host: report.host,
                limits: report.limits,
                ..EntryReport::default()
            }
        }
    }
}
