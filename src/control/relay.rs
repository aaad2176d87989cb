//! Control host without a disk. It keeps no log and never votes. Replicas and operators may
//! call it like any other control host: it forwards their calls to the hosts that keep the log,
//! and names those hosts to processes that know no other.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::StreamExt;
use futures::future::BoxFuture;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::TcpListener;

use crate::clock;
use crate::consensus::claims::{ClaimKey, ClaimRecord};
use crate::consensus::crashes::CrashStore;
use crate::consensus::directory::HeartbeatStatus;
use crate::consensus::membership::LeaveStatus;
use crate::consensus::part_crashes::PartStore;
use crate::consensus::paxos::{self, PaxosAcceptor, PaxosReply, PaxosRequest};
use crate::consensus::raft::RaftMessage;
use crate::consensus::software_versions::{ReplicaHeartbeat, VersionMix};
use crate::consensus::state::{Command, Reply};
use crate::control::bootstrap;
use crate::control::origin_store::OriginStore;
use crate::ids::{HallName, HostName, Incarnation, NodeId, Position, ReplicaId, ServiceName};
use crate::placement::advertised_limits::{LimitPage, LimitReport};
use crate::placement::congestion::{QueueReport, QueuedTokens};
use crate::placement::order::AdapterPlacement;
use crate::placement::replica_rates::{PermitReply, PermitRequest};
use crate::placement::report::{EntryReport, ReportReply};
use crate::placement::suspect_leases::{
    SuspectLeaseRelease, SuspectLeaseReply, SuspectLeaseRequest,
};
use crate::placement::target_controller::{AgentHeartbeat, EntryHeartbeat};
use crate::process::daemon::{self, DaemonError};
use crate::process::metrics::{MetricKey, MetricRegistry};
use crate::process::pages::{SyncReply, ValueSlice};
use crate::process::peers::{self, ControlLink, PeerError, SiteSecret};
use crate::process::settings::CommonSettings;
use crate::process::transfer::{PieceError, TransferId, ValuePiece};
use crate::process::wire::{
    AccountStatus, AgentHeartbeatReply, ControlRefusal, ControlStatus, ControlWire,
    ControlWireClient, DetachedPayloads, EntryHeartbeatReply, PositionUpdate, TableStatus,
};
use crate::routing::stream_origins::{OriginBatch, StreamKey, StreamOrigin};
use crate::table::quota::{QuotaGrants, QuotaRequest};

/// Delay of the reply to a caller that knows nothing yet: such a caller calls again at once.
const EMPTY_UPDATE_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of enrolled hosts that a relay remembers, to name them to other hosts.
const MAX_ENROLLED_HOSTS: usize = 64;
/// Time without a leader after which the relay is not ready, in milliseconds.
const STALE_MS: u64 = 10_000;
/// Longest time for which a control host may hold back its reply, in milliseconds.
const WATCH_WAIT_MS: u64 = 1_000;
/// Timeout of a call that may be held for [`WATCH_WAIT_MS`].
const WATCH_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Pause between two calls to the same control host.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);

/// A running relay.
pub struct RelayDaemon {
    /// Address for peers.
    pub address: SocketAddr,
    /// Address that serves metrics and health.
    pub watch: SocketAddr,
    hosts: Arc<HostRegistry>,
}

impl RelayDaemon {
    /// Starts on the current runtime.
    pub async fn start(settings: CommonSettings, secret: SiteSecret) -> Result<Self, DaemonError> {
        let listener = daemon::bind("listen", settings.listen).await?;
        Self::start_on(listener, settings, secret).await
    }

    /// Starts on a listener that is already bound.
    pub async fn start_on(
        listener: TcpListener,
        settings: CommonSettings,
        secret: SiteSecret,
    ) -> Result<Self, DaemonError> {
        Self::open(listener, settings, secret, None).await
    }

    /// Starts at the first start of the whole site. Only then may the relay take part in the
    /// agreement on the bootstrap host: a later process cannot know which host an earlier one
    /// accepted.
    pub async fn start_first(
        settings: CommonSettings,
        secret: SiteSecret,
    ) -> Result<Self, DaemonError> {
        let listener = daemon::bind("listen", settings.listen).await?;
        Self::start_first_on(listener, settings, secret).await
    }

    /// [`RelayDaemon::start_first`] on a listener that is already bound.
    pub async fn start_first_on(
        listener: TcpListener,
        settings: CommonSettings,
        secret: SiteSecret,
    ) -> Result<Self, DaemonError> {
        let configured = settings.control.iter().map(|voter| voter.host.clone());
        let configured: BTreeSet<HostName> = configured.collect();
        let is_configured = configured.contains(&settings.host);
        let acceptor =
            is_configured.then(|| PaxosAcceptor::new(configured, Incarnation(rand::random())));
        Self::open(listener, settings, secret, acceptor).await
    }

    async fn open(
        listener: TcpListener,
        settings: CommonSettings,
        secret: SiteSecret,
        acceptor: Option<PaxosAcceptor>,
    ) -> Result<Self, DaemonError> {
        let address = daemon::address_of("listen", &listener)?;
        let configured = settings.control.iter();
        let others = configured.filter(|voter| voter.host != settings.host);
        let others: Vec<String> = others.map(|voter| voter.address.to_string()).collect();
        let link = Arc::new(ControlLink::new(secret.clone(), Vec::new()));
        let hosts = Arc::new(HostRegistry {
            own: settings.host.clone(),
            hall: settings.hall.clone(),
            link,
            leader_seen_ms: AtomicU64::new(0),
        });
        for other in &others {
            hosts.watch(other);
        }
        let relay = RelayServer {
            hosts: hosts.clone(),
            enrolled: Arc::default(),
            agreement: Arc::new(BootstrapAgreement {
                others,
                acceptor: acceptor.map(Mutex::new),
                chosen: tokio::sync::Mutex::default(),
            }),
            origins: OriginStore::default(),
        };
        serve(listener, secret, relay);
        let watch = serve_health(settings.watch, hosts.clone()).await?;
        tracing::info!(%address, %watch, "relay started without a disk");
        Ok(Self {
            address,
            watch,
            hosts,
        })
    }

    /// Watches further control hosts, after a change of the settings.
    pub fn add_control_hosts(&self, control: &[SocketAddr]) {
        for address in control {
            self.hosts.watch(&address.to_string());
        }
    }

    /// Returns the link to the hosts that keep the log.
    pub fn link(&self) -> &Arc<ControlLink> {
        &self.hosts.link
    }
}

fn serve(listener: TcpListener, secret: SiteSecret, relay: RelayServer) {
    let serve = move |transport| {
        let relay = relay.clone();
        let channel = BaseChannel::with_defaults(transport);
        tokio::spawn(channel.execute(relay.serve()).for_each(|call| async {
            tokio::spawn(call);
        }));
    };
    tokio::spawn(peers::listen(listener, secret, serve));
}

async fn serve_health(
    address: SocketAddr,
    hosts: Arc<HostRegistry>,
) -> Result<SocketAddr, DaemonError> {
    let read = move || {
        let stale_ms = hosts.stale_ms();
        let mut metrics = MetricRegistry::default();
        metrics.gauge(MetricKey::new("dunlinspring_relay_stale_ms", &[]), stale_ms);
        let page = daemon::HealthPage {
            ready: stale_ms < STALE_MS,
            metrics: metrics.render(),
        };
        Box::pin(async move { page }) as daemon::HealthFuture
    };
    daemon::serve_health(address, Arc::new(read)).await
}

/// Control hosts that a relay knows, and when one of them last knew a leader.
struct HostRegistry {
    own: HostName,
    hall: HallName,
    link: Arc<ControlLink>,
    /// When a leader was last known to lead, in milliseconds of this host's monotonic clock.
    leader_seen_ms: AtomicU64,
}

impl HostRegistry {
    fn stale_ms(&self) -> u64 {
        clock::monotonic_ms().saturating_sub(self.leader_seen_ms.load(Ordering::SeqCst))
    }

    /// Watches a control host, and all further hosts that it names.
    fn watch(self: &Arc<Self>, address: &str) {
        if address != self.own.0 && self.link.add_host(address) {
            tokio::spawn(watch_host(self.clone(), address.to_owned()));
        }
    }

    async fn query(&self, address: &str, cursor: Position) -> Result<PositionUpdate, PeerError> {
        let context = peers::within(WATCH_TIMEOUT);
        let call = |client: ControlWireClient| async move {
            client.notice(context, cursor, WATCH_WAIT_MS).await
        };
        let reply = self.link.call_at(address, "notice", call).await?;
        reply.map_err(|refusal| PeerError::Refused {
            step: "notice",
            peer: address.to_owned(),
            refusal,
        })
    }
}

/// Polls one control host forever. Boxed because it starts the same task for each host that is
/// named.
fn watch_host(hosts: Arc<HostRegistry>, address: String) -> BoxFuture<'static, ()> {
    Box::pin(async move {
        loop {
            // Without a leader, the relay requests all names at once. Otherwise the call only
            // checks that the host is alive, and is held for the full wait.
            let cursor = match hosts.stale_ms() {
                stale_ms if stale_ms > 2 * WATCH_WAIT_MS => Position(0),
                _ => Position(u64::MAX),
            };
            let requested_ms = clock::monotonic_ms();
            match hosts.query(&address, cursor).await {
                Ok(update) => {
                    for host in &update.hosts {
                        hosts.watch(host.as_str());
                    }
                    let leader_seen_ms = requested_ms.saturating_sub(update.leaderless_ms);
                    hosts
                        .leader_seen_ms
                        .fetch_max(leader_seen_ms, Ordering::SeqCst);
                }
                Err(error) => tracing::debug!(%error, "control host did not reply"),
            }
            tokio::time::sleep(WATCH_INTERVAL).await;
        }
    })
}

#[derive(Clone)]
struct RelayServer {
    hosts: Arc<HostRegistry>,
    /// Hosts with a disk that enrolled here to become voters.
    enrolled: Arc<Mutex<BTreeSet<HostName>>>,
    agreement: Arc<BootstrapAgreement>,
    /// Origins of streams that entries stored here.
    origins: OriginStore,
}

/// Agreement of the configured hosts on the bootstrap host, as far as this relay knows it.
struct BootstrapAgreement {
    /// Addresses of the other configured hosts.
    others: Vec<String>,
    /// Paxos acceptor of this relay; `None` if this is not the site's first start, as an
    /// earlier process may have accepted another host, or if this host is not configured.
    acceptor: Option<Mutex<PaxosAcceptor>>,
    /// The chosen bootstrap host. Locked during the agreement, so that a second caller waits
    /// for the attempt of the first.
    chosen: tokio::sync::Mutex<Option<HostName>>,
}

impl BootstrapAgreement {
    /// Runs one round that proposes `host`. Returns the chosen host, which is an earlier one if
    /// it may have been chosen already; `None` without a majority.
    async fn run_round(&self, link: &ControlLink, host: &HostName) -> Option<HostName> {
        let acceptor = self.acceptor.as_ref()?;
        let request = peers::lock(acceptor).prepare();
        let promises = self.query_all(link, acceptor, &request).await?;
        let founder = paxos::value_to_accept(&promises, host);
        let request = request.accept(founder.clone());
        self.query_all(link, acceptor, &request)
            .await
            .map(|_| founder)
    }

    /// Returns the replies of all configured hosts if a majority granted the request.
    async fn query_all(
        &self,
        link: &ControlLink,
        acceptor: &Mutex<PaxosAcceptor>,
        request: &PaxosRequest,
    ) -> Option<Vec<PaxosReply>> {
        let mut answers = bootstrap::query_configured_hosts(link, &self.others, request).await;
        let mut acceptor = peers::lock(acceptor);
        answers.push(acceptor.respond(request));
        acceptor.has_majority(&answers).then_some(answers)
    }
}

impl RelayServer {
    fn not_leader(&self) -> ControlRefusal {
        ControlRefusal::NotLeader(self.hosts.link.confirmed())
    }

    fn known_hosts(&self) -> PositionUpdate {
        let known = self.hosts.link.addresses().into_iter().map(HostName);
        let enrolled = peers::lock(&self.enrolled).clone();
        let others = known.chain(enrolled);
        let hosts: BTreeSet<HostName> = others.collect();
        PositionUpdate {
            hall: self.hosts.hall.clone(),
            position: Position(0),
            leaderless_ms: clock::monotonic_ms(),
            hosts: hosts.into_iter().collect(),
            proof: None,
        }
    }
}

impl ControlWire for RelayServer {
    async fn raft(self, _: Context, from: NodeId, _: HostName, _: RaftMessage) {
        tracing::debug!(%from, "Raft message received by a host without a log");
    }

    async fn transfer(self, _: Context, _: ValuePiece) -> Result<(), PieceError> {
        Err(PieceError::Busy)
    }

    async fn raft_large(
        self,
        _: Context,
        from: NodeId,
        _: HostName,
        _: RaftMessage,
        _: DetachedPayloads,
    ) {
        tracing::debug!(%from, "Raft message received by a host without a log");
    }

    async fn enroll(
        self,
        _: Context,
        _: NodeId,
        host: HostName,
    ) -> Result<PositionUpdate, ControlRefusal> {
        let mut enrolled = peers::lock(&self.enrolled);
        if enrolled.len() < MAX_ENROLLED_HOSTS {
            enrolled.insert(host);
        }
        drop(enrolled);
        Ok(self.known_hosts())
    }

    async fn sync(
        self,
        _: Context,
        _: Position,
        _: u64,
        _: bool,
    ) -> Result<SyncReply, ControlRefusal> {
        Err(self.not_leader())
    }

    async fn propose(self, _: Context, _: Command) -> Result<(Position, Reply), ControlRefusal> {
        Err(self.not_leader())
    }

    async fn propose_large(
        self,
        _: Context,
        _: TransferId,
    ) -> Result<(Position, Reply), ControlRefusal> {
        Err(self.not_leader())
    }

    async fn agent_beat(
        self,
        _: Context,
        _: AgentHeartbeat,
    ) -> Result<AgentHeartbeatReply, ControlRefusal> {
        Err(self.not_leader())
    }

    async fn entry_beat(
        self,
        _: Context,
        _: EntryHeartbeat,
    ) -> Result<EntryHeartbeatReply, ControlRefusal> {
        Err(self.not_leader())
    }

    async fn table(self, _: Context) -> Result<TableStatus, ControlRefusal> {
        Err(self.not_leader())
    }

    async fn claim(self, _: Context, _: ClaimKey) -> Result<Option<ClaimRecord>, ControlRefusal> {
        Err(self.not_leader())
    }

    async fn notice(
        self,
        _: Context,
        cursor: Position,
        wait_ms: u64,
    ) -> Result<PositionUpdate, ControlRefusal> {
        let wait = Duration::from_millis(wait_ms);
        // A caller that follows the log learns nothing from a relay.
        let pause = match cursor {
            Position(0) => EMPTY_UPDATE_DELAY.min(wait),
            _ => wait,
        };
        tokio::time::sleep(pause).await;
        Ok(self.known_hosts())
    }

    async fn configuration_text(
        self,
        _: Context,
        _: u64,
        _: u64,
    ) -> Result<ValueSlice, ControlRefusal> {
        Err(self.not_leader())
    }

    async fn configuration(self, _: Context, _: u64, _: u64) -> Result<ValueSlice, ControlRefusal> {
        Err(self.not_leader())
    }

    async fn confirm(self, _: Context) -> Result<u64, ControlRefusal> {
        Err(self.not_leader())
    }

    async fn quota(self, _: Context, _: QuotaRequest) -> Result<QuotaGrants, ControlRefusal> {
        Err(self.not_leader())
    }

    async fn accounts(self, _: Context) -> Result<Vec<AccountStatus>, ControlRefusal> {
        Err(self.not_leader())
    }

    async fn heard(self, _: Context, _: Vec<ReplicaId>) -> Result<(), ControlRefusal> {
        Err(self.not_leader())
    }

    async fn report(self, _: Context, _: EntryReport) -> Result<ReportReply, ControlRefusal> {
        Err(self.not_leader())
    }

    async fn crowd(self, _: Context, _: QueueReport) -> Result<QueuedTokens, ControlRefusal> {
        Err(self.not_leader())
    }

    async fn wish(self, _: Context, _: AdapterPlacement) -> Result<bool, ControlRefusal> {
        Err(self.not_leader())
    }

    async fn turn(
        self,
        _: Context,
        _: SuspectLeaseRequest,
    ) -> Result<SuspectLeaseReply, ControlRefusal> {
        Err(self.not_leader())
    }

    async fn end_turn(self, _: Context, _: SuspectLeaseRelease) -> Result<(), ControlRefusal> {
        Err(self.not_leader())
    }

    async fn permit(self, _: Context, _: PermitRequest) -> Result<PermitReply, ControlRefusal> {
        Err(self.not_leader())
    }

    async fn limits(self, _: Context, _: LimitReport) -> Result<LimitPage, ControlRefusal> {
        Err(self.not_leader())
    }

    async fn contents(self, _: Context) -> Result<CrashStore, ControlRefusal> {
        Err(self.not_leader())
    }

    async fn leave(self, _: Context, _: NodeId) -> Result<LeaveStatus, ControlRefusal> {
        Err(self.not_leader())
    }

    async fn parts(self, _: Context) -> Result<PartStore, ControlRefusal> {
        Err(self.not_leader())
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
        _: ServiceName,
    ) -> Result<Option<VersionMix>, ControlRefusal> {
        Err(self.not_leader())
    }

    async fn compare(
        self,
        _: Context,
        _: ReplicaHeartbeat,
    ) -> Result<HeartbeatStatus, ControlRefusal> {
        Err(self.not_leader())
    }

    async fn keeps_log(self, _: Context) -> bool {
        false
    }

    async fn announce(self, _: Context, host: HostName) {
        self.hosts.watch(host.as_str());
    }

    async fn appoint(self, _: Context, host: HostName) -> Result<HostName, ControlRefusal> {
        let link = &self.hosts.link;
        let mut chosen = self.agreement.chosen.lock().await;
        if let Some(founder) = &*chosen {
            return Ok(founder.clone());
        }
        let Some(founder) = self.agreement.run_round(link, &host).await else {
            let founded = bootstrap::find_bootstrapped_host(link).await.map(Some);
            return Err(founded.map_or(ControlRefusal::NoQuorum, ControlRefusal::NotLeader));
        };
        self.hosts.watch(founder.as_str());
        tracing::info!(%founder, "bootstrap host of the site is chosen");
        *chosen = Some(founder.clone());
        Ok(founder)
    }

    async fn naming(self, _: Context, request: PaxosRequest) -> PaxosReply {
        let acceptor = self.agreement.acceptor.as_ref();
        acceptor.map_or(PaxosReply::Abstained, |acceptor| {
            peers::lock(acceptor).respond(&request)
        })
    }

    async fn status(self, _: Context) -> ControlStatus {
        ControlStatus::without_log(self.hosts.own.clone())
    }
}
