//! I/O of the control daemon: sockets and tasks around the voter's thread.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::mpsc::Receiver;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::task::AbortHandle;

use crate::clock;
use crate::consensus::claims::{ClaimKey, ClaimRecord};
use crate::consensus::crashes::CrashStore;
use crate::consensus::directory::HeartbeatStatus;
use crate::consensus::membership::LeaveStatus;
use crate::consensus::part_crashes::PartStore;
use crate::consensus::paxos::{PaxosReply, PaxosRequest};
use crate::consensus::raft::RaftMessage;
use crate::consensus::software_versions::{ReplicaHeartbeat, VersionMix};
use crate::consensus::state::{Command, EncodedCommand, Reply};
use crate::control::bootstrap::{self, InitialRole};
use crate::control::event::{ControlEvent, ControlHandle};
use crate::control::journal::{self, DataFolder, JournalError};
use crate::control::origin_store::OriginStore;
use crate::control::outbox::{self, OpenPeer, PeerOutbox};
use crate::control::voter::ControlLoop;
use crate::ids::{HostName, NodeId, Position, ReplicaId, ServiceName};
use crate::placement::advertised_limits::{LimitPage, LimitReport};
use crate::placement::congestion::{QueueReport, QueuedTokens};
use crate::placement::order::{AdapterPlacement, ReplicaOrder};
use crate::placement::replica_rates::{PermitReply, PermitRequest};
use crate::placement::report::{EntryReport, ReportReply};
use crate::placement::suspect_leases::{
    SuspectLeaseRelease, SuspectLeaseReply, SuspectLeaseRequest,
};
use crate::placement::target_controller::{AgentHeartbeat, EntryHeartbeat};
use crate::process::daemon::{self, DaemonError};
use crate::process::memory::MemoryUse;
use crate::process::metrics::{MetricKey, MetricRegistry};
use crate::process::pages::{EncodedConfigurations, SyncReply, ValueSlice};
use crate::process::peers::{self, ControlLink, PeerError, PeerPool, SiteSecret};
use crate::process::settings::{ControlSettings, VoterSettings};
use crate::process::transfer::{PieceError, TransferId, TransferStore, ValuePiece};
use crate::process::wire::{
    AccountStatus, AgentHeartbeatReply, ControlRefusal, ControlStatus, ControlWire,
    ControlWireClient, DetachedPayloads, EntryHeartbeatReply, PositionUpdate, TableStatus,
};
use crate::routing::stream_origins::{OriginBatch, StreamKey, StreamOrigin};
use crate::table::quota::{QuotaGrants, QuotaRequest};

/// Timeout of one message to a peer.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval of queries to the leader for the newest configuration; it adds to the age of the
/// configuration at members.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of reads of the platform's list, of enrolments and of announcements.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time for which a stopping voter asks the leader to drop it.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay before a step of the start that the disk refused is tried again.
const DISK_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Attempts of such a step between two log lines.
const ATTEMPTS_PER_LOG_LINE: u64 = 100;
/// Pause between two such requests.
const LEAVE_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of full snapshots in transit. After a power loss all members request one at
/// once, and each is a megabyte with thousands of replicas.
const MAX_FULL_SNAPSHOTS: usize = 24;
/// Time for which a full snapshot counts as in transit.
const FULL_SNAPSHOT_HOLD: Duration = Duration::from_millis(200);
/// Longest wait for one of the [`MAX_FULL_SNAPSHOTS`] slots; afterwards the caller is refused,
/// as another host may have a free one.
const FULL_SNAPSHOT_WAIT: Duration = Duration::from_millis(300);
/// Maximum number of concurrent calls on one connection.
const MAX_CALLS_PER_PEER: usize = 4096;

/// Addresses of control hosts. Those named at the start may be gone for good by now, so later
/// settings add to them.
#[derive(Clone, Debug, Default)]
pub struct ContactList(Arc<Mutex<BTreeSet<String>>>);

impl ContactList {
    /// Adds addresses.
    pub fn add(&self, addresses: impl IntoIterator<Item = String>) {
        peers::lock(&self.0).extend(addresses);
    }

    fn all(&self) -> BTreeSet<String> {
        peers::lock(&self.0).clone()
    }
}

/// Whether a host starts with its site or after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartKind {
    /// The first start of the whole site.
    First,
    /// Any later start.
    Later,
}

/// A running control daemon.
pub struct ControlDaemon {
    /// Address for peers.
    pub address: SocketAddr,
    /// Address that serves metrics and health.
    pub watch: SocketAddr,
    handle: ControlHandle,
    pool: Arc<PeerPool<ControlWireClient>>,
    node: NodeId,
    open_membership: bool,
    /// Control hosts that are asked to let this one vote.
    contacts: ContactList,
    /// The task that asks to vote.
    enrolment: Option<AbortHandle>,
    orders: Option<mpsc::UnboundedReceiver<ReplicaOrder>>,
    ended: oneshot::Receiver<Result<(), DaemonError>>,
}

impl ControlDaemon {
    /// Starts on the current runtime.
    pub async fn start(settings: ControlSettings, secret: SiteSecret) -> Result<Self, DaemonError> {
        let listener = daemon::bind("listen", settings.common.listen).await?;
        Self::start_on(listener, settings, secret).await
    }

    /// Starts at the first start of the whole site: the configured hosts that have a disk
    /// bootstrap it, each through [`ControlDaemon::start_first`].
    pub async fn start_first(
        settings: ControlSettings,
        secret: SiteSecret,
    ) -> Result<Self, DaemonError> {
        let listener = daemon::bind("listen", settings.common.listen).await?;
        Self::start_first_on(listener, settings, secret).await
    }

    /// [`ControlDaemon::start_first`] on a listener that is already bound.
    pub async fn start_first_on(
        listener: TcpListener,
        settings: ControlSettings,
        secret: SiteSecret,
    ) -> Result<Self, DaemonError> {
        let folder = DataFolder::from(&settings.data_folder);
        Self::start_in(folder, StartKind::First, listener, settings, secret).await
    }

    /// Starts on a listener that is already bound.
    pub async fn start_on(
        listener: TcpListener,
        settings: ControlSettings,
        secret: SiteSecret,
    ) -> Result<Self, DaemonError> {
        let folder = DataFolder::from(&settings.data_folder);
        Self::start_in(folder, StartKind::Later, listener, settings, secret).await
    }

    /// Starts on a listener that is already bound, with the data folder given, in place of that of
    /// the settings.
    pub async fn start_in(
        folder: DataFolder,
        kind: StartKind,
        listener: TcpListener,
        mut settings: ControlSettings,
        secret: SiteSecret,
    ) -> Result<Self, DaemonError> {
        let address = daemon::address_of("listen", &listener)?;
        let pool = Arc::new(PeerPool::new(secret.clone(), peers::dial_control));
        let (events, inbox) = std::sync::mpsc::channel();
        let handle = ControlHandle(events);
        // Recorded before other hosts count this one among the founders.
        if kind == StartKind::First {
            await_disk(&inbox, || begin_first_start(&folder, &settings)).await?;
        }
        // The bootstrap hosts query each other before any of them has a log.
        serve(listener, secret.clone(), handle.clone());
        // Also resumes an interrupted first start, which only this disk still records.
        let unfinished = || unfinished_first_start(&folder, &settings);
        if let Some(initial) = await_disk(&inbox, unfinished).await? {
            if let InitialRole::Founds(hosts) = determine_role(secret, &settings, &initial).await {
                let init_voter = || bootstrap::init_voter(&folder, &settings, hosts.iter());
                await_disk(&inbox, init_voter).await?;
            }
            // Until there is a leader, the bootstrap hosts know each other only from these
            // names.
            let control = &mut settings.common.control;
            let others = initial.into_iter().filter(|voter| !control.contains(voter));
            let others: Vec<VoterSettings> = others.collect();
            control.extend(others);
        }
        let open = || ControlLoop::open_in(&folder, settings.clone());
        let open = || journal::set_aside_damage(&folder, open);
        let mut control = await_disk(&inbox, open).await?;
        let node = control.node();
        control.send_messages(open_outbox(&settings, node, &pool));
        let (orders, ordered) = mpsc::unbounded_channel();
        control.send_orders(orders);
        let learner = control.is_learner();
        let (end, ended) = oneshot::channel();
        let spawned = thread::Builder::new()
            .name("voter".to_owned())
            .spawn(move || {
                daemon::enter_log_span();
                let result = control.run(inbox).map_err(DaemonError::from);
                let _ = end.send(result);
            });
        spawned.map_err(|source| DaemonError::Thread { source })?;
        let contacts = ContactList::default();
        let named = settings.common.control.iter();
        contacts.add(named.map(|voter| voter.address.to_string()));
        let enrolment = (learner || settings.open_membership).then(|| {
            let contacts = contacts.clone();
            let enrolled = enroll(
                pool.clone(),
                settings.clone(),
                node,
                handle.clone(),
                contacts,
            );
            tokio::spawn(enrolled).abort_handle()
        });
        if let Some(url) = settings.platform_url.clone() {
            daemon::spawn_local(watch_platform(url, handle.clone()));
        }
        tokio::spawn(confirm(pool.clone(), handle.clone()));
        let open_membership = settings.open_membership;
        let watch = serve_health(&settings, handle.clone()).await?;
        tracing::info!(%address, %watch, %node, learner, "control started");
        Ok(Self {
            address,
            watch,
            handle,
            pool,
            node,
            open_membership,
            contacts,
            enrolment,
            orders: Some(ordered),
            ended,
        })
    }

    /// Returns the control hosts that this one asks to let it vote, to add further ones.
    pub fn contacts(&self) -> ContactList {
        self.contacts.clone()
    }

    /// Returns the handle of the voter's thread.
    pub fn handle(&self) -> ControlHandle {
        self.handle.clone()
    }

    /// Takes the channel of the orders that this host issues to engines while it leads; `None`
    /// after the first call.
    pub fn take_orders(&mut self) -> Option<mpsc::UnboundedReceiver<ReplicaOrder>> {
        self.orders.take()
    }

    /// Returns the status of this voter.
    pub async fn status(&self) -> Option<ControlStatus> {
        status(&self.handle).await
    }

    /// Waits until the voter's thread ends by itself because its disk failed or it panicked.
    pub async fn ended(&mut self) -> Result<(), DaemonError> {
        let ended = (&mut self.ended).await;
        ended.unwrap_or(Err(DaemonError::ThreadPanicked { thread: "voter" }))
    }

    /// Hands over the leadership, leaves the voters if they can spare this one, and stops.
    pub async fn stop(&self) {
        if let Some(enrolment) = &self.enrolment {
            enrolment.abort();
        }
        if self.open_membership {
            let (answer, handed_over) = oneshot::channel();
            self.handle.notify(ControlEvent::HandOver(answer));
            let _ = handed_over.await;
            let left = leave(&self.pool, &self.handle, self.node);
            if tokio::time::timeout(LEAVE_TIMEOUT, left).await.is_err() {
                tracing::info!("stops as a voter: no leader replied in time");
            }
        }
        let (answer, done) = oneshot::channel();
        self.handle.notify(ControlEvent::Stop(answer));
        let _ = done.await;
    }
}

/// Asks the leader to drop this voter, until it has done so or has none to spare.
async fn leave(pool: &PeerPool<ControlWireClient>, handle: &ControlHandle, node: NodeId) {
    loop {
        let local = handle.request(|answer| ControlEvent::Leave(node, answer));
        if let Err(ControlRefusal::NotLeader(Some(leader))) = local.await {
            let context = peers::within(MESSAGE_TIMEOUT);
            let call = |client: ControlWireClient| async move { client.leave(context, node).await };
            match pool.call(&leader, "leave", call).await {
                Ok(Ok(LeaveStatus::Pending)) => {}
                Ok(Ok(status)) => {
                    tracing::info!(?status, peer = %leader, "stop announced to the leader");
                    return;
                }
                Ok(Err(refusal)) => tracing::debug!(?refusal, peer = %leader, "stop not announced"),
                Err(error) => tracing::debug!(%error, "stop not announced"),
            }
        }
        tokio::time::sleep(LEAVE_RETRY_DELAY).await;
    }
}

/// Returns the hosts of a first start that was interrupted.
fn unfinished_first_start(
    folder: &DataFolder,
    settings: &ControlSettings,
) -> Result<Option<Vec<VoterSettings>>, JournalError> {
    let own = bootstrap::voter_id(&settings.common.host);
    let read = || journal::unfinished_first_start(folder, own);
    journal::set_aside_damage(folder, read)
}

/// Records that this host takes part in the first start, unless its disk has been in use.
fn begin_first_start(folder: &DataFolder, settings: &ControlSettings) -> Result<(), JournalError> {
    let is_blank = journal::is_blank(folder.path());
    match unfinished_first_start(folder, settings)? {
        None if is_blank => journal::begin_first_start(folder, &settings.common.control),
        _ => Ok(()),
    }
}

/// Returns this host's role in the site's first start, among the hosts that were configured then.
async fn determine_role(
    secret: SiteSecret,
    settings: &ControlSettings,
    configured: &[VoterSettings],
) -> InitialRole {
    let link = ControlLink::new(secret, Vec::new());
    let role = bootstrap::determine_role(&link, &settings.common.host, configured).await;
    tracing::info!(?role, "the site starts for the first time");
    role
}

/// Repeats a step of the start until the disk takes it: a process that ended would find the same
/// disk at its next start. Requests that come meanwhile are refused.
async fn await_disk<T>(
    events: &Receiver<ControlEvent>,
    step: impl Fn() -> Result<T, JournalError>,
) -> Result<T, JournalError> {
    for attempt in 0u64.. {
        match step() {
            Err(error) if error.may_pass() && attempt % ATTEMPTS_PER_LOG_LINE == 0 => {
                tracing::warn!(%error, attempt, "the start waits for the disk");
            }
            Err(error) if error.may_pass() => {}
            done => return done,
        }
        events.try_iter().for_each(drop);
        tokio::time::sleep(DISK_RETRY_DELAY).await;
    }
    unreachable!("the attempts end only with a result")
}

fn open_outbox(
    settings: &ControlSettings,
    node: NodeId,
    pool: &Arc<PeerPool<ControlWireClient>>,
) -> PeerOutbox {
    let own = settings.common.host.clone();
    let from = (node, own.clone());
    let runtime = tokio::runtime::Handle::current();
    let pool = pool.clone();
    let open = move |peer: String| {
        let (sender, receiver) = outbox::peer_channel();
        tracing::debug!(%peer, "channel to a voter opened");
        let link = PeerLink {
            pool: pool.clone(),
            from: from.clone(),
            peer,
        };
        runtime.spawn(send_messages(link.clone(), receiver.messages));
        runtime.spawn(send_large_messages(link, receiver.large_messages));
        sender
    };
    let configured = settings.common.control.iter();
    let configured = configured.filter(|voter| voter.host != own);
    let senders = configured.map(|voter| (voter.host.clone(), open(voter.address.to_string())));
    PeerOutbox {
        senders: senders.collect(),
        open: settings
            .open_membership
            .then(|| Box::new(move |host: &HostName| open(host.0.clone())) as OpenPeer),
    }
}

/// Way to one peer.
#[derive(Clone)]
struct PeerLink {
    pool: Arc<PeerPool<ControlWireClient>>,
    /// This voter and its host.
    from: (NodeId, HostName),
    peer: String,
}

impl PeerLink {
    async fn send(&self, message: RaftMessage) -> Result<(), PeerError> {
        let (node, host) = self.from.clone();
        let context = peers::within(MESSAGE_TIMEOUT);
        let call = |client: ControlWireClient| async move {
            client.raft(context, node, host, message).await
        };
        self.pool.call(&self.peer, "raft", call).await
    }

    /// Sends the payloads of a message in pieces, then the rest of it.
    async fn send_large(&self, mut message: RaftMessage) -> Result<(), PeerError> {
        let payloads = message.detach_payloads();
        let transfer = self.pool.send_value(&self.peer, &payloads).await?;
        let lens = payloads.iter().map(Bytes::len).collect();
        let (node, host) = self.from.clone();
        let context = peers::within(MESSAGE_TIMEOUT);
        let call = |client: ControlWireClient| async move {
            let parts = DetachedPayloads { transfer, lens };
            client.raft_large(context, node, host, message, parts).await
        };
        self.pool.call(&self.peer, "raft_large", call).await
    }
}

/// Sends the messages for one peer in order. A lost message is made up for by the next
/// heartbeat.
async fn send_messages(link: PeerLink, mut messages: mpsc::Receiver<RaftMessage>) {
    while let Some(message) = messages.recv().await {
        if let Err(error) = link.send(message).await {
            tracing::debug!(%error, "Raft message lost");
        }
    }
}

/// Sends the large messages for one peer in order. The reply to a heartbeat shows that one was
/// lost.
async fn send_large_messages(link: PeerLink, mut messages: mpsc::Receiver<RaftMessage>) {
    while let Some(message) = messages.recv().await {
        if let Err(error) = link.send_large(message).await {
            tracing::debug!(%error, "large Raft message lost");
        }
    }
}

/// Announces this host periodically to the control hosts of `link`: after a restart of all
/// hosts, those without a disk know no host that keeps the log.
pub async fn announce(own: HostName, link: Arc<ControlLink>) {
    loop {
        for address in link.addresses() {
            if address == own.0 {
                continue;
            }
            let (link, own) = (link.clone(), own.clone());
            tokio::spawn(async move {
                let context = peers::within(MESSAGE_TIMEOUT);
                let call =
                    |client: ControlWireClient| async move { client.announce(context, own).await };
                if let Err(error) = link.call_at(&address, "announce", call).await {
                    tracing::debug!(%error, "announcement to a control host failed");
                }
            });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Enrols a disk that does not vote, periodically and at all known control hosts; only the
/// leader acts on it.
async fn enroll(
    pool: Arc<PeerPool<ControlWireClient>>,
    settings: ControlSettings,
    node: NodeId,
    handle: ControlHandle,
    contacts: ContactList,
) {
    let own = settings.common.host.clone();
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let status = status(&handle).await;
        let is_settled =
            |status: &ControlStatus| status.voters.contains(&node) && status.leader.is_some();
        if status.as_ref().is_some_and(is_settled) {
            continue;
        }
        // The first contacts of a voter that comes back may all be gone for good.
        if settings.open_membership {
            let logged = handle.request(|answer| ControlEvent::PositionUpdate {
                cursor: Position(0),
                wait_ms: 0,
                answer,
            });
            let hosts = logged.await.into_iter().flat_map(|update| update.hosts);
            contacts.add(hosts.map(|host| host.0));
        }
        for peer in contacts.all().into_iter().filter(|peer| *peer != own.0) {
            let (pool, contacts, own) = (pool.clone(), contacts.clone(), own.clone());
            let open = settings.open_membership;
            tokio::spawn(async move {
                let context = peers::within(MESSAGE_TIMEOUT);
                let call = |client: ControlWireClient| async move {
                    client.enroll(context, node, own).await
                };
                let answer = pool.call(&peer, "enroll", call).await;
                if let (Ok(Ok(update)), true) = (answer, open) {
                    contacts.add(update.hosts.into_iter().map(|host| host.0));
                }
            });
        }
    }
}

/// Queries the leader periodically for the newest configuration, so that this host can report
/// to members how old its copy is.
async fn confirm(pool: Arc<PeerPool<ControlWireClient>>, handle: ControlHandle) {
    loop {
        tokio::time::sleep(CONFIRM_INTERVAL).await;
        let Err(ControlRefusal::NotLeader(Some(leader))) =
            handle.request(ControlEvent::Confirm).await
        else {
            continue;
        };
        let sent_ms = clock::monotonic_ms();
        let context = peers::within(MESSAGE_TIMEOUT);
        let call = |client: ControlWireClient| async move { client.confirm(context).await };
        match pool.call(&leader, "confirm", call).await {
            Ok(Ok(version)) => handle.notify(ControlEvent::Confirmed { version, sent_ms }),
            Ok(Err(refusal)) => tracing::debug!(?refusal, peer = %leader, "version not confirmed"),
            Err(error) => tracing::debug!(%error, "version not confirmed"),
        }
    }
}

async fn watch_platform(url: String, handle: ControlHandle) {
    loop {
        match daemon::get_json::<PlatformHosts>(&url).await {
            Ok(list) => handle.notify(ControlEvent::LeavingHosts(list.leaving)),
            Err(error) => tracing::debug!(%error, "cannot read the platform's list of hosts"),
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// The platform's list of hosts, which lags behind.
#[derive(Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct PlatformHosts {
    /// Hosts that are leaving.
    pub leaving: BTreeSet<HostName>,
}

#[derive(Clone)]
struct ControlServer {
    handle: ControlHandle,
    /// Slots for full snapshots in transit.
    full_snapshots: Arc<Semaphore>,
    /// Values that arrive in pieces.
    transfers: Arc<Mutex<TransferStore>>,
    /// Configurations that were left out of pages.
    encoded: Arc<Mutex<EncodedConfigurations>>,
    /// Origins of streams that entries stored here.
    origins: OriginStore,
}

impl ControlServer {
    /// Waits for a slot to send a full snapshot.
    async fn acquire_snapshot_slot(&self) -> Result<(), ControlRefusal> {
        let slot = self.full_snapshots.clone().acquire_owned();
        let Ok(Ok(permit)) = tokio::time::timeout(FULL_SNAPSHOT_WAIT, slot).await else {
            return Err(ControlRefusal::Busy);
        };
        tokio::spawn(async move {
            tokio::time::sleep(FULL_SNAPSHOT_HOLD).await;
            drop(permit);
        });
        Ok(())
    }
}

impl ControlWire for ControlServer {
    async fn raft(self, _: Context, from: NodeId, host: HostName, message: RaftMessage) {
        self.handle.notify(ControlEvent::Raft(from, host, message));
    }

    async fn transfer(self, _: Context, piece: ValuePiece) -> Result<(), PieceError> {
        peers::lock(&self.transfers).add(clock::monotonic_ms(), &piece)
    }

    async fn raft_large(
        self,
        _: Context,
        from: NodeId,
        host: HostName,
        mut message: RaftMessage,
        payloads: DetachedPayloads,
    ) {
        let bytes = peers::lock(&self.transfers).take(payloads.transfer);
        let attached = bytes.map(|bytes| message.attach_payloads(&payloads.lens, bytes));
        match attached {
            Some(true) => self.handle.notify(ControlEvent::Raft(from, host, message)),
            _ => tracing::debug!(%host, "large Raft message without its payloads"),
        }
    }

    async fn enroll(
        self,
        _: Context,
        node: NodeId,
        host: HostName,
    ) -> Result<PositionUpdate, ControlRefusal> {
        self.handle
            .request(|answer| ControlEvent::Enroll(node, host, answer))
            .await
    }

    async fn sync(
        self,
        _: Context,
        cursor: Position,
        wait_ms: u64,
        fresh: bool,
    ) -> Result<SyncReply, ControlRefusal> {
        if cursor == Position(0) {
            self.acquire_snapshot_slot().await?;
        }
        let event = |answer| ControlEvent::Sync {
            cursor,
            wait_ms,
            fresh,
            answer,
        };
        let page = self.handle.request(event).await?;
        Ok(peers::lock(&self.encoded).detach(page))
    }

    async fn propose(
        self,
        _: Context,
        command: Command,
    ) -> Result<(Position, Reply), ControlRefusal> {
        self.handle
            .request(|answer| ControlEvent::Propose(command, answer))
            .await
    }

    async fn propose_large(
        self,
        _: Context,
        transfer: TransferId,
    ) -> Result<(Position, Reply), ControlRefusal> {
        let bytes = peers::lock(&self.transfers).take(transfer);
        let command = bytes.map(EncodedCommand).ok_or(ControlRefusal::Busy)?;
        self.handle
            .request(|answer| ControlEvent::ProposeEncoded(command, answer))
            .await
    }

    async fn agent_beat(
        self,
        _: Context,
        beat: AgentHeartbeat,
    ) -> Result<AgentHeartbeatReply, ControlRefusal> {
        self.handle
            .request(|answer| ControlEvent::AgentHeartbeat(beat, answer))
            .await
    }

    async fn entry_beat(
        self,
        _: Context,
        beat: EntryHeartbeat,
    ) -> Result<EntryHeartbeatReply, ControlRefusal> {
        self.handle
            .request(|answer| ControlEvent::EntryHeartbeat(beat, answer))
            .await
    }

    async fn table(self, _: Context) -> Result<TableStatus, ControlRefusal> {
        self.handle.request(ControlEvent::Table).await
    }

    async fn claim(self, _: Context, key: ClaimKey) -> Result<Option<ClaimRecord>, ControlRefusal> {
        self.handle
            .request(|answer| ControlEvent::Claim(key, answer))
            .await
    }

    async fn notice(
        self,
        _: Context,
        cursor: Position,
        wait_ms: u64,
    ) -> Result<PositionUpdate, ControlRefusal> {
        let event = |answer| ControlEvent::PositionUpdate {
            cursor,
            wait_ms,
            answer,
        };
        self.handle.request(event).await
    }

    async fn configuration_text(
        self,
        _: Context,
        version: u64,
        offset: u64,
    ) -> Result<ValueSlice, ControlRefusal> {
        let held = self.handle.request(ControlEvent::Configuration).await?;
        let held = held.filter(|record| record.configuration.version == version);
        let record = held.ok_or(ControlRefusal::Busy)?;
        Ok(ValueSlice::new(&record.source, offset))
    }

    async fn configuration(
        self,
        _: Context,
        version: u64,
        offset: u64,
    ) -> Result<ValueSlice, ControlRefusal> {
        let encoded = peers::lock(&self.encoded);
        let bytes = encoded.get(version).ok_or(ControlRefusal::Busy)?;
        Ok(ValueSlice::new(bytes, offset))
    }

    async fn confirm(self, _: Context) -> Result<u64, ControlRefusal> {
        self.handle.request(ControlEvent::Confirm).await
    }

    async fn quota(self, _: Context, request: QuotaRequest) -> Result<QuotaGrants, ControlRefusal> {
        self.handle
            .request(|answer| ControlEvent::Quota(request, answer))
            .await
    }

    async fn accounts(self, _: Context) -> Result<Vec<AccountStatus>, ControlRefusal> {
        self.handle.request(ControlEvent::Accounts).await
    }

    async fn heard(self, _: Context, ids: Vec<ReplicaId>) -> Result<(), ControlRefusal> {
        self.handle
            .request(|answer| ControlEvent::ReplicasSeen(ids, answer))
            .await
    }

    async fn report(self, _: Context, report: EntryReport) -> Result<ReportReply, ControlRefusal> {
        self.handle
            .request(|answer| ControlEvent::Report(report, answer))
            .await
    }

    async fn crowd(self, _: Context, report: QueueReport) -> Result<QueuedTokens, ControlRefusal> {
        self.handle
            .request(|answer| ControlEvent::QueuedTokens(report, answer))
            .await
    }

    async fn wish(self, _: Context, request: AdapterPlacement) -> Result<bool, ControlRefusal> {
        self.handle
            .request(|answer| ControlEvent::AdapterRequest(request, answer))
            .await
    }

    async fn turn(
        self,
        _: Context,
        request: SuspectLeaseRequest,
    ) -> Result<SuspectLeaseReply, ControlRefusal> {
        self.handle
            .request(|answer| ControlEvent::SuspectLease(request, answer))
            .await
    }

    async fn end_turn(self, _: Context, end: SuspectLeaseRelease) -> Result<(), ControlRefusal> {
        self.handle
            .request(|answer| ControlEvent::SuspectLeaseEnd(end, answer))
            .await
    }

    async fn permit(
        self,
        _: Context,
        request: PermitRequest,
    ) -> Result<PermitReply, ControlRefusal> {
        self.handle
            .request(|answer| ControlEvent::Permit(request, answer))
            .await
    }

    async fn limits(self, _: Context, report: LimitReport) -> Result<LimitPage, ControlRefusal> {
        self.handle
            .request(|answer| ControlEvent::Limits(report, answer))
            .await
    }

    async fn contents(self, _: Context) -> Result<CrashStore, ControlRefusal> {
        self.handle.request(ControlEvent::Contents).await
    }

    async fn leave(self, _: Context, node: NodeId) -> Result<LeaveStatus, ControlRefusal> {
        self.handle
            .request(|answer| ControlEvent::Leave(node, answer))
            .await
    }

    async fn parts(self, _: Context) -> Result<PartStore, ControlRefusal> {
        self.handle.request(ControlEvent::Parts).await
    }

    async fn store_origins(self, _: Context, batch: OriginBatch) {
        self.origins.store(&batch);
    }

    async fn find_origins(self, _: Context, keys: Vec<StreamKey>) -> Vec<Option<StreamOrigin>> {
        self.origins.find_all(&keys)
    }

    async fn version_mix(
        self,
        _: Context,
        service: ServiceName,
    ) -> Result<Option<VersionMix>, ControlRefusal> {
        self.handle
            .request(|answer| ControlEvent::VersionMix(service, answer))
            .await
    }

    async fn compare(
        self,
        _: Context,
        heartbeat: ReplicaHeartbeat,
    ) -> Result<HeartbeatStatus, ControlRefusal> {
        self.handle
            .request(|answer| ControlEvent::Compare(Box::new(heartbeat), answer))
            .await
    }

    async fn keeps_log(self, _: Context) -> bool {
        true
    }

    async fn announce(self, _: Context, host: HostName) {
        // A host that keeps the log knows the others from it.
        tracing::trace!(%host, "announcement ignored: this host keeps the log");
    }

    async fn appoint(self, _: Context, _: HostName) -> Result<HostName, ControlRefusal> {
        // A host with a disk takes part in the bootstrap itself.
        Err(ControlRefusal::NotLeader(None))
    }

    async fn naming(self, _: Context, _: PaxosRequest) -> PaxosReply {
        PaxosReply::Abstained
    }

    async fn status(self, _: Context) -> ControlStatus {
        let status = status(&self.handle).await;
        status.unwrap_or_else(|| ControlStatus::without_log(HostName(String::new())))
    }
}

fn serve(listener: TcpListener, secret: SiteSecret, handle: ControlHandle) {
    let server = ControlServer {
        handle,
        full_snapshots: Arc::new(Semaphore::new(MAX_FULL_SNAPSHOTS)),
        transfers: Arc::default(),
        encoded: Arc::default(),
        origins: OriginStore::default(),
    };
    let serve = move |transport| {
        let server = server.clone();
        let channel =
            BaseChannel::with_defaults(transport).max_concurrent_requests(MAX_CALLS_PER_PEER);
        tokio::spawn(channel.execute(server.serve()).for_each(|call| async {
            tokio::spawn(call);
        }));
    };
    tokio::spawn(peers::listen(listener, secret, serve));
}

async fn status(handle: &ControlHandle) -> Option<ControlStatus> {
    let (answer, wait) = oneshot::channel();
    handle.notify(ControlEvent::Status(answer));
    wait.await.ok()
}

async fn serve_health(
    settings: &ControlSettings,
    handle: ControlHandle,
) -> Result<SocketAddr, DaemonError> {
    let folder = settings.data_folder.clone();
    let read = move || {
        let handle = handle.clone();
        let damaged = journal::damaged_files(&folder);
        Box::pin(async move {
            let status = status(&handle).await;
            let ready = status.as_ref().is_some_and(|s| s.leader.is_some());
            let metrics = status.map(|status| render(&status, damaged));
            let metrics = metrics.unwrap_or_default();
            daemon::HealthPage { ready, metrics }
        }) as daemon::HealthFuture
    };
    daemon::serve_health(settings.common.watch, Arc::new(read)).await
}

fn render(status: &ControlStatus, damaged_files: usize) -> String {
    let mut metrics = MetricRegistry::default();
    let gauges = [
        ("dunlinspring_log_position", status.position.0),
        ("dunlinspring_term", status.term.0),
        ("dunlinspring_leads", u64::from(status.decides)),
        ("dunlinspring_voters", status.voters.len() as u64),
        (
            "dunlinspring_voters_silent",
            status.silent_voters.len() as u64,
        ),
        (
            "dunlinspring_bearable_losses",
            status.bearable_losses() as u64,
        ),
        (
            "dunlinspring_votes",
            u64::from(status.voters.contains(&status.node)),
        ),
        ("dunlinspring_damaged_files", damaged_files as u64),
        ("dunlinspring_members", status.members.len() as u64),
        ("dunlinspring_moves_total", status.moves),
        ("dunlinspring_claims", status.claims as u64),
        ("dunlinspring_unserved_names", status.unserved.names),
        (
            "dunlinspring_unserved_longest_ms",
            status.unserved.longest_ms,
        ),
    ];
    for (name, value) in gauges {
        metrics.gauge(MetricKey::new(name, &[]), value);
    }
    let log = &status.log;
    let parts = [
        ("entries", log.entry_bytes),
        ("retained", log.retained_bytes),
        ("snapshot", log.snapshot_bytes),
    ];
    for (part, bytes) in parts {
        let key = MetricKey::new("dunlinspring_log_bytes", &[("part", part)]);
        metrics.gauge(key, bytes as u64);
    }
    for (kind, bytes) in MemoryUse::read().into_iter().flat_map(MemoryUse::by_kind) {
        let key = MetricKey::new("dunlinspring_memory_bytes", &[("kind", kind)]);
        metrics.gauge(key, bytes);
    }
    metrics.render()
}
