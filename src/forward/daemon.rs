//! The entry that forwards requests directly to replicas: its shared state and its tasks.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use futures::future::Abortable;
use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use crate::clock;
use crate::consensus::directory::ReplicaRecord;
use crate::forward::agent_client::{AgentAddress, AgentClient};
use crate::forward::budget::{ResendBudget, ResendPolicy};
use crate::forward::capacity_waiters::CapacityWaiters;
use crate::forward::client::{self, ReadProgress, UnreadRequest};
use crate::forward::client_bytes::ClientBytes;
use crate::forward::client_slots::ClientSlots;
use crate::forward::crashes::CrashTracker;
use crate::forward::dialect::HeaderNames;
use crate::forward::limits;
use crate::forward::locality::EntryLocation;
use crate::forward::queue_reports;
use crate::forward::quotas::{self, QuotaClient};
use crate::forward::replica_table::{ChoicePolicy, Ejection, Need, ReplicaTable};
use crate::forward::request_log::{LineKind, LogLineLimit};
use crate::forward::start_reports::StartReports;
use crate::forward::stream_origins::OriginKeeper;
use crate::forward::unknown_headers::UnknownHeaders;
use crate::forward::upstream::ConnectionPool;
use crate::ids::{HallName, HostName, ModelName, RegionName, ReplicaId, ServiceName};
use crate::placement::order::AdapterPlacement;
use crate::placement::report::EntryReport;
use crate::placement::unserved::{RefusedNames, ServedName};
use crate::process::daemon::{self, DaemonError};
use crate::process::follow::ControlFollower;
use crate::process::metrics::{MetricKey, MetricRegistry};
use crate::process::peers::{ControlLink, SiteSecret};
use crate::process::settings::LogSettings;
use crate::routing::run_proof::NotRunProof;
use crate::routing::view::SiteView;
use crate::table::accounts::KeyIndex;
use crate::table::configuration::{ClientLimits, Configuration, RouteIndex, slack_ranks};
use crate::table::quota::{EntryIncarnation, QuotaHolder};

/// Time between two reports to the leader.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time limit of a report or an adapter request.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Shortest time between two requests for the same adapter, in milliseconds.
const ADAPTER_REQUEST_INTERVAL_MS: u64 = 150;
/// Time between two checks whether a configuration whose proof has arrived is present.
const AUTHORITY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Most log lines on new replicas, and on removed ones, for one update: an entry that has just
/// started learns of thousands at once.
const MAX_REPLICA_LOG_LINES: usize = 32;
/// Time between two prunings of replica state and idle connections.
const PRUNE_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two checks whether a stopping entry is idle.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time before the exit of a stopping entry at which it gives up the requests that are left, so that
/// their answers are written.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(200);

/// Default of [`ForwardSettings::connect_ms`].
pub const CONNECT_MS: u64 = 400;
/// Default of [`ForwardSettings::stale_ms`].
pub const STALE_MS: u64 = 10_000;
/// Default of [`ForwardSettings::stall_ms`]: clients abandon a stream after a pause of some
/// seconds, and replicas cut a stream that stays unread for longer.
pub const STALL_MS: u64 = 5_000;
/// Default of [`ForwardSettings::config_wait_ms`].
pub const CONFIG_WAIT_MS: u64 = 1_000;

/// Default of [`ForwardSettings::client_bytes`].
pub const CLIENT_BYTES: usize = 256 * 1024 * 1024;
/// Default of [`ForwardSettings::max_clients`].
pub const MAX_CLIENTS: usize = 16_384;

/// Settings of an entry that forwards to replicas that register themselves.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ForwardSettings {
    /// This host.
    pub host: HostName,
    /// Its data hall.
    pub hall: HallName,
    /// Region of each data hall. A hall that is not listed has none.
    #[serde(default)]
    pub regions: BTreeMap<HallName, RegionName>,
    /// Address for clients.
    pub clients: SocketAddr,
    /// Address for readiness, health and metrics.
    pub watch: SocketAddr,
    /// Control hosts to start with; they report the others.
    pub control: Vec<SocketAddr>,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
    /// How replicas are chosen.
    #[serde(default)]
    pub choice: ChoicePolicy,
    /// How many requests may be resent.
    #[serde(default)]
    pub resend: ResendPolicy,
    /// UDP port of the agents beside replicas, at the replicas' addresses; no agents are asked if
    /// it is not set.
    #[serde(default)]
    pub agent_port: Option<u16>,
    /// Time limit to connect to a replica, in milliseconds.
    #[serde(default = "default_connect")]
    pub connect_ms: u64,
    /// Longest time without contact to a leader during which the entry reports itself as ready, in
    /// milliseconds.
    #[serde(default = "default_stale")]
    pub stale_ms: u64,
    /// Greatest age of the proof that the known client accounts are current, in milliseconds. A
    /// revoked key is refused everywhere after this time.
    #[serde(default = "default_authority")]
    pub authority_ms: u64,
    /// Longest wait of a request for the first configuration, in milliseconds: control hosts that
    /// start together with the entry deliver it within this time, and a refused caller retries.
    #[serde(default = "default_config_wait")]
    pub config_wait_ms: u64,
    /// Longest time in which a client may accept no bytes of its response, in milliseconds; then
    /// its connection is cut.
    #[serde(default = "default_stall")]
    pub stall_ms: u64,
    /// Bytes of the bodies of all requests that may be held at once, without small ones.
    #[serde(default = "default_client_bytes")]
    pub client_bytes: usize,
    /// Most connections of clients; connections to replicas need further descriptors.
    #[serde(default = "default_max_clients")]
    pub max_clients: usize,
    /// Shortest time from a stop request to the exit, in milliseconds: callers must have noticed
    /// the stop by then.
    #[serde(default = "default_stop")]
    pub stop_ms: u64,
    /// Longest time from a stop request to the exit, in milliseconds.
    #[serde(default = "default_grace")]
    pub grace_ms: u64,
}

fn default_connect() -> u64 {
    CONNECT_MS
}

fn default_stale() -> u64 {
    STALE_MS
}

fn default_authority() -> u64 {
    4_000
}

fn default_config_wait() -> u64 {
    CONFIG_WAIT_MS
}

fn default_stall() -> u64 {
    STALL_MS
}

fn default_client_bytes() -> usize {
    CLIENT_BYTES
}

fn default_max_clients() -> usize {
    MAX_CLIENTS
}

fn default_stop() -> u64 {
    3_000
}

fn default_grace() -> u64 {
    7_500
}

/// A configuration with its indexes.
#[derive(Debug)]
pub struct Routing {
    /// The configuration, shared with the copy of the log.
    pub configuration: Arc<Configuration>,
    /// Index of its routes.
    pub index: RouteIndex,
    /// Slack rank of each route: how well its requests can wait.
    pub slack_ranks: Vec<u32>,
    /// Index of its accounts by key.
    pub keys: KeyIndex,
}

/// State shared by an entry's tasks, all on one thread.
pub struct EntryCore {
    /// Names of headers.
    pub names: HeaderNames,
    /// State of the replicas.
    pub replicas: RefCell<ReplicaTable>,
    /// Idle connections.
    pub pool: RefCell<ConnectionPool>,
    /// Budget for resends.
    pub budget: RefCell<ResendBudget>,
    /// Notified when a replica may have free capacity, or another replica may be available.
    pub changed: Notify,
    /// Requests that wait for capacity in order.
    pub waiters: CapacityWaiters,
    /// Crashes, and the contents that are suspect because of them.
    pub crashes: CrashTracker,
    /// What began the streams of this entry.
    pub origins: OriginKeeper,
    /// Start times that replicas reported.
    pub(super) start_reports: StartReports,
    /// Budget for the bytes of clients.
    pub client_bytes: Rc<ClientBytes>,
    client_slots: Rc<ClientSlots>,
    /// Client for the agents beside replicas; `None` if none are to be asked.
    pub agents: Option<AgentClient>,
    settings: ForwardSettings,
    follower: Arc<ControlFollower>,
    routing: RefCell<Option<Rc<Routing>>>,
    in_flight: RefCell<BTreeMap<ModelName, u32>>,
    recent_demand: RefCell<BTreeMap<ModelName, f64>>,
    adapters: RefCell<BTreeSet<AdapterPlacement>>,
    adapter_requests: RefCell<BTreeMap<AdapterPlacement, u64>>,
    refused_names: RefCell<RefusedNames>,
    /// Quotas drawn for accounts.
    pub quotas: QuotaClient,
    /// Notified when this entry sees a congested replica.
    pub congestion_seen: Notify,
    /// Notified when a change of a replica's rate limit should be reported to the leader.
    pub limit_changed: Notify,
    active: Cell<usize>,
    stopping: Arc<AtomicBool>,
    stop_requested: Notify,
    stopped_at: Cell<Option<Instant>>,
    ready: Arc<AtomicBool>,
    pub(super) metrics: Arc<Mutex<MetricRegistry>>,
    pub(super) lines: RefCell<LogLineLimit>,
    pub(super) unknown_headers: RefCell<UnknownHeaders>,
}

/// Counts a client connection as busy from the first byte of a request on.
pub struct BusyGuard<'a> {
    core: &'a EntryCore,
    marked: Cell<bool>,
}

impl BusyGuard<'_> {
    /// Marks the connection as busy: a request has begun to arrive.
    pub fn mark(&self) {
        if !self.marked.replace(true) {
            self.core.active.set(self.core.active.get() + 1);
        }
    }
}

impl Drop for BusyGuard<'_> {
    fn drop(&mut self) {
        if self.marked.get() {
            self.core.active.set(self.core.active.get() - 1);
        }
    }
}

/// Counts a request in the demand for its model while it is present.
pub struct DemandGuard<'a> {
    core: &'a EntryCore,
    model: Option<ModelName>,
    since: Instant,
    refused: Cell<bool>,
}

impl DemandGuard<'_> {
    /// Marks the request as refused: it counts as demand for a whole report interval.
    pub fn refuse(&self) {
        self.refused.set(true);
    }
}

impl Drop for DemandGuard<'_> {
    fn drop(&mut self) {
        let Some(model) = &self.model else {
            return;
        };
        if let Some(count) = self.core.in_flight.borrow_mut().get_mut(model) {
            *count = count.saturating_sub(1);
        }
        // The time that the request was present, as a fraction of the report interval. A refused
        // request would have been present for longer.
        let fraction = match self.refused.get() {
            true => 1.0,
            false => self.since.elapsed().as_secs_f64() / REPORT_INTERVAL.as_secs_f64(),
        };
        let mut recent_demand = self.core.recent_demand.borrow_mut();
        *recent_demand.entry(model.clone()).or_default() += fraction.min(1.0);
    }
}

impl EntryCore {
    /// Returns the configuration in force, if one is known.
    pub fn routing(&self) -> Option<Rc<Routing>> {
        self.routing.borrow().clone()
    }

    /// Waits for the first configuration and returns it, or the one in force. A stopping entry does
    /// not wait.
    pub async fn await_routing(&self, max_wait: Duration) -> Option<Rc<Routing>> {
        let deadline = Instant::now() + max_wait;
        loop {
            let changed = self.changed.notified();
            let routing = self.routing();
            if routing.is_some() || self.is_stopping() || Instant::now() >= deadline {
                return routing;
            }
            let _ = tokio::time::timeout_at(deadline.into(), changed).await;
        }
    }

    /// Whether the known client accounts are proven recently enough to authorize requests.
    pub fn has_authority(&self) -> bool {
        let proof_age_ms = self.follower.proof_age_ms(self.version());
        proof_age_ms.is_some_and(|age_ms| age_ms < self.settings.authority_ms)
    }

    /// Waits up to `max_wait` for a proof of the newest configuration.
    pub async fn await_authority(&self, max_wait: Duration) -> bool {
        let deadline = Instant::now() + max_wait;
        loop {
            let proven = self.follower.proof_received();
            let known = self.has_authority();
            if known || self.is_stopping() || Instant::now() >= deadline {
                return known;
            }
            // The proof may be for a configuration that is still in transit.
            let until = deadline.min(Instant::now() + AUTHORITY_POLL_INTERVAL);
            let _ = tokio::time::timeout_at(until.into(), proven).await;
        }
    }

    /// Applies a newer configuration at once, if the local copy of the log has one.
    pub fn catch_up(self: &Rc<Self>) {
        let held = self.version();
        let view = self.follower.view();
        let newer = view
            .configuration
            .as_ref()
            .is_some_and(|c| c.version > held);
        drop(view);
        if newer {
            self.follow();
        }
    }

    /// Returns the limits on clients.
    pub fn limits(&self) -> ClientLimits {
        let routing = self.routing.borrow();
        let limits = routing.as_ref().map(|routing| routing.configuration.limits);
        limits.unwrap_or_default()
    }

    /// Wakes the requests that wait for a replica: one may have free capacity, or another one may be
    /// available.
    pub fn notify_changed(&self) {
        self.changed.notify_waiters();
        self.waiters.capacity_changed();
    }

    /// Whether the entry was requested to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Time in which a stopping entry still answers requests; `None` if it is not stopping.
    pub fn time_to_answer(&self) -> Option<Duration> {
        let since = self.stopped_at.get()?;
        let grace = Duration::from_millis(self.settings.grace_ms);
        Some(grace.saturating_sub(LAST_ANSWER_TIME + since.elapsed()))
    }

    /// Whether callers must have noticed that the entry stops.
    pub fn is_stop_noticed(&self) -> bool {
        let notice = Duration::from_millis(self.settings.stop_ms);
        let since = self.stopped_at.get();
        since.is_some_and(|since| since.elapsed() >= notice)
    }

    /// Waits for a future until the deadline `until_ms` on the clock of [`clock::monotonic_ms`], or
    /// until a stopping entry gives up the requests that are left; returns `None` then.
    pub async fn wait_until<T>(&self, until_ms: u64, future: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            done = clock::wait_until(until_ms, future) => done,
            () = self.last_answers_due() => None,
        }
    }

    /// Returns once a stopping entry gives up the requests that are left.
    pub async fn last_answers_due(&self) {
        self.before_exit(LAST_ANSWER_TIME).await;
    }

    /// Returns once a stopping entry cuts the answers that their clients do not read.
    pub async fn cut_due(&self) {
        self.before_exit(LAST_ANSWER_TIME / 2).await;
    }

    /// Returns at some time before a stopping entry exits.
    async fn before_exit(&self, time: Duration) {
        self.stop_begins().await;
        let since = self.stopped_at.get().unwrap_or_else(Instant::now);
        let grace = Duration::from_millis(self.settings.grace_ms);
        tokio::time::sleep_until((since + grace.saturating_sub(time)).into()).await;
    }

    /// Returns once the entry stops and an idle connection should be closed: immediately if it has
    /// served a request, otherwise when the listener closes.
    pub async fn idle_close_due(&self, served: bool) {
        match served {
            true => self.stop_begins().await,
            false => self.listener_close_due().await,
        }
    }

    /// Returns once the entry is requested to stop.
    async fn stop_begins(&self) {
        loop {
            let notified = self.stop_requested.notified();
            if self.is_stopping() {
                return;
            }
            notified.await;
        }
    }

    /// Returns once callers must have noticed that the entry stops.
    async fn listener_close_due(&self) {
        self.stop_begins().await;
        // Counted from the stop request, as this connection may have come at any time since.
        let since = self.stopped_at.get().unwrap_or_else(Instant::now);
        let until = since + Duration::from_millis(self.settings.stop_ms);
        tokio::time::sleep_until(until.into()).await;
    }

    /// How replicas are chosen.
    pub fn choice(&self) -> &ChoicePolicy {
        &self.settings.choice
    }

    /// Returns the address of the agent beside a replica, if agents are used.
    pub fn agent_of(&self, record: &ReplicaRecord) -> Option<AgentAddress> {
        let port = self.agents.as_ref().and(self.settings.agent_port)?;
        Some(AgentAddress {
            replica: record.id.clone(),
            address: SocketAddr::new(record.address.ip(), port),
        })
    }

    /// Time limit to connect to a replica.
    pub fn connect_time(&self) -> Duration {
        Duration::from_millis(self.settings.connect_ms)
    }

    /// Longest time in which a client may accept no bytes.
    pub fn stall_time(&self) -> Duration {
        Duration::from_millis(self.settings.stall_ms)
    }

    /// Client for calls to the control hosts.
    pub fn link(&self) -> &ControlLink {
        self.follower.link()
    }

    /// This host.
    pub fn host(&self) -> &HostName {
        &self.settings.host
    }

    /// Longest wait of a request for the first configuration.
    pub fn config_wait(&self) -> Duration {
        Duration::from_millis(self.settings.config_wait_ms)
    }

    /// Returns a guard that marks a connection as busy once a request begins to arrive.
    pub fn busy_guard(&self) -> BusyGuard<'_> {
        BusyGuard {
            core: self,
            marked: Cell::new(false),
        }
    }

    /// Counts a request in the demand for its model until the guard is dropped.
    pub fn track_demand(&self, need: &Need) -> DemandGuard<'_> {
        if let Some(model) = &need.model {
            *self
                .in_flight
                .borrow_mut()
                .entry(model.clone())
                .or_default() += 1;
        }
        DemandGuard {
            core: self,
            model: need.model.clone(),
            since: Instant::now(),
            refused: Cell::new(false),
        }
    }

    /// Records that an adapter is used on a replica, for the next report.
    pub fn record_adapter_use(&self, replica: &ReplicaId, need: &Need) {
        if let Some(slot) = adapter_slot(replica, need) {
            self.adapters.borrow_mut().insert(slot);
        }
    }

    /// Requests an adapter on a replica from the leader, unless it was requested just before.
    pub fn request_adapter(self: &Rc<Self>, replica: &ReplicaId, need: &Need) {
        let Some(request) = adapter_slot(replica, need) else {
            return;
        };
        let now_ms = clock::monotonic_ms();
        let mut recent = self.adapter_requests.borrow_mut();
        recent.retain(|_, at_ms| *at_ms + ADAPTER_REQUEST_INTERVAL_MS > now_ms);
        if recent.contains_key(&request) {
            return;
        }
        recent.insert(request.clone(), now_ms);
        daemon::spawn_local(send_adapter_request(self.clone(), request));
    }

    /// Records that a request was refused because no replica could take it.
    pub fn record_refusal(&self, need: &Need) {
        if let Some(name) = served_name(need) {
            let now_ms = clock::monotonic_ms();
            self.refused_names
                .borrow_mut()
                .record_refusal(now_ms, &name);
        }
    }

    /// Records that a replica answered a request.
    pub fn record_service(&self, need: &Need) {
        if let Some(name) = served_name(need) {
            self.refused_names.borrow_mut().record_service(&name);
        }
    }

    /// Counts a connection opened to a replica.
    pub fn count_opened(&self) {
        self.count("dunlinspring_replica_connections_total", &[]);
    }

    pub(super) fn count(&self, name: &'static str, labels: &[(&'static str, &str)]) {
        let mut metrics = self.metrics.lock().unwrap_or_else(|b| b.into_inner());
        metrics.count(MetricKey::new(name, labels), 1);
    }

    /// Shows in the metrics how many bytes and connections of clients are held.
    fn show_client_bytes(&self) {
        let mut metrics = self.metrics.lock().unwrap_or_else(|b| b.into_inner());
        let key = MetricKey::new("dunlinspring_client_bytes", &[]);
        metrics.gauge(key, self.client_bytes.held() as u64);
        let key = MetricKey::new("dunlinspring_client_connections", &[]);
        metrics.gauge(key, self.client_slots.taken() as u64);
    }

    /// Logs a request that was refused before forwarding began.
    pub fn log_plain(&self, id: &str, status: u16, reason: &str) {
        let text = status.to_string();
        self.count("dunlinspring_unrouted_total", &[("status", &text)]);
        if self.lines.borrow_mut().may_write(LineKind::Failed) {
            let version = self.version();
            tracing::info!(request = id, status, reason, version, "request");
        }
    }

    /// Counts and logs a request that was refused before it was read to its end.
    pub(super) fn log_unread(&self, unread: &UnreadRequest, read: &ReadProgress) {
        let status = unread.status.to_string();
        self.count("dunlinspring_unread_total", &[("status", &status)]);
        if self.lines.borrow_mut().may_write(LineKind::Failed) {
            tracing::info!(
                request = unread.id.as_deref().unwrap_or_default(),
                status = unread.status,
                reason = unread.reason,
                proof = NotRunProof::unread().name(),
                bytes_read = read.bytes,
                served_before = read.served,
                took_ms = read.since.elapsed().as_millis() as u64,
                "request"
            );
        }
    }

    /// Counts and logs ejected replicas.
    pub fn log_ejected(&self, ejections: &[Ejection]) {
        for ejection in ejections {
            self.count("dunlinspring_ejections_total", &[]);
            tracing::warn!(
                replica = %ejection.replica,
                failing = ejection.failure_rate,
                pause_ms = ejection.duration_ms,
                end = ?ejection.end,
                "replica ejected"
            );
        }
    }

    /// Version of the configuration in force; 0 for none.
    pub(super) fn version(&self) -> u64 {
        let routing = self.routing.borrow();
        routing
            .as_ref()
            .map_or(0, |routing| routing.configuration.version)
    }

    /// Applies the state of the log.
    fn follow(self: &Rc<Self>) {
        let view = self.follower.view();
        self.update_crashes(&view);
        self.update_version_mixes(&view);
        self.log_replicas(&view);
        let mut replicas = self.replicas.borrow_mut();
        if replicas.update_evacuated(&view.evacuated) {
            let (evacuated, position) = (&view.evacuated, view.position);
            tracing::info!(?evacuated, %position, "evacuated halls changed");
        }
        let has_other_runs = replicas.update_records(clock::monotonic_ms(), &view.replicas);
        let has_other_versions = replicas.update_versions(&view.versions);
        if has_other_runs || has_other_versions {
            self.show_versions(&replicas);
        }
        drop(replicas);
        let held = self.version();
        let newer = view.configuration.as_ref().filter(|c| c.version > held);
        if let Some(configuration) = newer {
            let index = RouteIndex::new(&configuration.routes);
            let version = configuration.version;
            let routes = configuration.routes.len();
            let configuration = configuration.clone();
            let services = &configuration.services;
            let mut replicas = self.replicas.borrow_mut();
            replicas.update_services(services);
            replicas.update_routes(&configuration.routes);
            drop(replicas);
            let accounts = configuration.accounts.as_ref();
            let keys = accounts.map(KeyIndex::new).unwrap_or_default();
            let slack_ranks = slack_ranks(&configuration.routes);
            let routing = Routing {
                slack_ranks,
                configuration,
                index,
                keys,
            };
            let before = self.routing.replace(Some(Rc::new(routing)));
            let before = before.as_ref().map(|before| &*before.configuration);
            if let Some(routing) = self.routing() {
                self.update_rerouted(before, &routing.configuration);
            }
            self.quotas.forget_short();
            let position = view.position;
            tracing::info!(version, held, routes, %position, "configuration in force");
        }
        self.update_earlier_routes(&view);
        drop(view);
        self.update_readiness();
        self.notify_changed();
    }

    /// Logs new and changed replicas, by phase and models, and removed ones. Adapters change too
    /// often to be logged.
    fn log_replicas(&self, view: &SiteView) {
        let replicas = self.replicas.borrow();
        let position = view.position;
        let is_new = |(id, record): &(&ReplicaId, &ReplicaRecord)| {
            let known = replicas.record(id);
            let same = known.is_some_and(|known| {
                known.phase == record.phase && known.models.keys().eq(record.models.keys())
            });
            !same
        };
        let mut known = view.replicas.iter().filter(is_new);
        for (id, record) in known.by_ref().take(MAX_REPLICA_LOG_LINES) {
            let models: Vec<&str> = record.models.keys().map(ModelName::as_str).collect();
            let models = models.join(",");
            let (software, born_ms) = (view.version(record), record.started_ms);
            tracing::info!(
                replica = %id, service = %record.service, phase = ?record.phase, models, %software, born_ms,
                %position, "replica known"
            );
        }
        let mut gone = replicas.ids().filter(|id| !view.replicas.contains_key(*id));
        for id in gone.by_ref().take(MAX_REPLICA_LOG_LINES) {
            tracing::info!(replica = %id, %position, "replica gone");
        }
        let (more_known, more_gone) = (known.count(), gone.count());
        if more_known + more_gone > 0 {
            tracing::info!(more_known, more_gone, %position, "more replicas known or gone");
        }
    }

    /// Shows the software versions of each service in the metrics.
    fn show_versions(&self, replicas: &ReplicaTable) {
        let mut counts: BTreeMap<&ServiceName, u64> = BTreeMap::new();
        for (service, _) in replicas.versions() {
            *counts.entry(service).or_default() += 1;
        }
        let mut metrics = self.metrics.lock().unwrap_or_else(|b| b.into_inner());
        for (service, count) in counts {
            let labels = [("service", service.as_str())];
            let key = MetricKey::new("dunlinspring_service_versions", &labels);
            metrics.gauge(key, count);
        }
    }

    /// Time since a control host last knew a leader, as this entry knows, in milliseconds.
    pub(super) fn view_age_ms(&self) -> u64 {
        self.follower.stale_ms()
    }

    fn update_readiness(&self) {
        let routing = self.routing();
        let known = routing.is_some();
        let fresh = self.follower.stale_ms() < self.settings.stale_ms;
        let keyed = routing.is_some_and(|routing| routing.configuration.accounts.is_some());
        let authorized = !keyed || self.has_authority();
        let ready = known && fresh && authorized && !self.is_stopping();
        if self.ready.swap(ready, Ordering::SeqCst) != ready {
            let stale_ms = self.follower.stale_ms();
            tracing::info!(ready, stale_ms, "readiness");
        }
    }

    fn report(&self) -> EntryReport {
        let mut busy = std::mem::take(&mut *self.recent_demand.borrow_mut());
        for (model, count) in self.in_flight.borrow().iter() {
            *busy.entry(model.clone()).or_default() += f64::from(*count);
        }
        self.in_flight.borrow_mut().retain(|_, count| *count > 0);
        EntryReport {
            host: self.settings.host.0.clone(),
            busy,
            adapters: std::mem::take(&mut *self.adapters.borrow_mut()),
            unserved: self
                .refused_names
                .borrow_mut()
                .report(clock::monotonic_ms()),
            limits: self.replicas.borrow().limits().cursor(),
        }
    }
}

/// A running entry.
pub struct ForwardDaemon {
    /// Address for clients.
    pub address: SocketAddr,
    /// Address for readiness, health and metrics.
    pub watch: SocketAddr,
    core: Rc<EntryCore>,
}

impl ForwardDaemon {
    /// Starts an entry on the current thread's runtime.
    pub async fn start(
        settings: ForwardSettings,
        secret: SiteSecret,
        names: HeaderNames,
    ) -> Result<Self, DaemonError> {
        let listener = TcpListener::bind(settings.clients).await;
        let listener = listener.map_err(|source| DaemonError::Listen {
            field: "clients",
            address: settings.clients.to_string(),
            source,
        })?;
        let address = daemon::address_of("clients", &listener)?;
        let control: Vec<String> = settings.control.iter().map(ToString::to_string).collect();
        let metrics: Arc<Mutex<MetricRegistry>> = Arc::default();
        let agents = open_agent_client(&settings, secret.clone(), metrics.clone()).await;
        let link = Arc::new(ControlLink::new(secret, control.clone()));
        let follower = Arc::new(ControlFollower::new(link, settings.hall.clone()));
        let incarnation = EntryIncarnation {
            host: settings.host.clone(),
            incarnation: rand::rng().random(),
        };
        let core = Rc::new(EntryCore {
            names,
            replicas: RefCell::new(ReplicaTable::new(
                settings.choice,
                EntryLocation::new(settings.hall.clone(), settings.regions.clone()),
            )),
            pool: RefCell::default(),
            budget: RefCell::new(ResendBudget::new(settings.resend)),
            changed: Notify::new(),
            waiters: CapacityWaiters::default(),
            crashes: CrashTracker::default(),
            origins: OriginKeeper::default(),
            start_reports: StartReports::default(),
            client_slots: Rc::new(ClientSlots::new(settings.max_clients)),
            client_bytes: Rc::new(ClientBytes::new(settings.client_bytes)),
            agents,
            follower: follower.clone(),
            routing: RefCell::default(),
            in_flight: RefCell::default(),
            recent_demand: RefCell::default(),
            adapters: RefCell::default(),
            adapter_requests: RefCell::default(),
            refused_names: RefCell::default(),
            quotas: QuotaClient::new(QuotaHolder::new(incarnation, clock::monotonic_ms())),
            congestion_seen: Notify::new(),
            limit_changed: Notify::new(),
            active: Cell::new(0),
            stopping: Arc::default(),
            stop_requested: Notify::new(),
            stopped_at: Cell::default(),
            ready: Arc::default(),
            metrics,
            lines: RefCell::default(),
            unknown_headers: RefCell::default(),
            settings,
        });
        let watch = serve_health(&core).await?;
        for address in control {
            follower.watch(&address);
        }
        daemon::spawn_local(follow(core.clone()));
        daemon::spawn_local(report(core.clone()));
        daemon::spawn_local(quotas::draw_quotas(core.clone()));
        daemon::spawn_local(queue_reports::report_queued_tokens(core.clone()));
        daemon::spawn_local(limits::report_limits(core.clone()));
        daemon::spawn_local(prune(core.clone()));
        daemon::spawn_local(receive_quotes(core.clone()));
        daemon::spawn_local(accept(core.clone(), listener));
        tracing::info!(clients = %address, "entry started");
        Ok(Self {
            address,
            watch,
            core,
        })
    }

    /// Whether the entry knows the replica.
    pub fn knows(&self, replica: &ReplicaId) -> bool {
        self.core.replicas.borrow().record(replica).is_some()
    }

    /// Number of requests that wait for capacity in order.
    pub fn waiting(&self) -> usize {
        self.core.waiters.len()
    }

    /// Watches further control hosts, after a change of the settings.
    pub fn add_control_hosts(&self, control: &[SocketAddr]) {
        for address in control {
            self.core.follower.watch(&address.to_string());
        }
    }

    /// Stops accepting connections, finishes outstanding requests and returns.
    pub async fn stop(&self) {
        let core = &self.core;
        let since = Instant::now();
        core.stopped_at.set(Some(since));
        core.stopping.store(true, Ordering::SeqCst);
        core.stop_requested.notify_waiters();
        core.update_readiness();
        let least = Duration::from_millis(core.settings.stop_ms);
        let most = Duration::from_millis(core.settings.grace_ms);
        tracing::info!(active = core.active.get(), "stopping");
        loop {
            let idle = core.active.get() == 0 && since.elapsed() > least + STOP_POLL_INTERVAL;
            if idle || since.elapsed() >= most {
                tracing::info!(active = core.active.get(), "stopped");
                return;
            }
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
    }
}

async fn serve_health(core: &EntryCore) -> Result<SocketAddr, DaemonError> {
    let ready = core.ready.clone();
    let metrics = core.metrics.clone();
    let read = move || {
        let ready = ready.load(Ordering::SeqCst);
        let registry = metrics.lock().unwrap_or_else(|b| b.into_inner());
        let page = daemon::HealthPage {
            ready,
            metrics: registry.render(),
        };
        Box::pin(async move { page }) as daemon::HealthFuture
    };
    daemon::serve_health(core.settings.watch, Arc::new(read)).await
}

/// Opens the client for agents, if the settings name their port and agents are to be asked. Without
/// a socket, the entry serves as without agents.
async fn open_agent_client(
    settings: &ForwardSettings,
    secret: SiteSecret,
    metrics: Arc<Mutex<MetricRegistry>>,
) -> Option<AgentClient> {
    settings
        .agent_port
        .filter(|_| settings.choice.ask_homes > 0)?;
    match AgentClient::open(settings.clients.ip(), secret, metrics).await {
        Ok(agents) => Some(agents),
        Err(error) => {
            tracing::warn!(%error, "no socket for agents: none are asked");
            None
        }
    }
}

/// Receives the replies of agents, if agents are used.
async fn receive_quotes(core: Rc<EntryCore>) {
    if let Some(agents) = &core.agents {
        agents.receive().await;
    }
}

/// Accepts clients until some time after the stop request.
async fn accept(core: Rc<EntryCore>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = core.listener_close_due() => return,
        };
        match accepted {
            Ok((stream, _)) => serve_client(&core, stream).await,
            Err(error) => {
                tracing::warn!(%error, "cannot accept a client connection");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Serves a client in a task of its own if there is a slot for it.
async fn serve_client(core: &Rc<EntryCore>, stream: TcpStream) {
    let Some((slot, registration, closes)) = core.client_slots.take() else {
        core.count("dunlinspring_clients_closed_total", &[("which", "new")]);
        return;
    };
    let served = client::serve(core.clone(), stream, slot);
    let served = Abortable::new(served, registration);
    daemon::spawn_local(async move {
        let _ = served.await;
    });
    if closes {
        core.count("dunlinspring_clients_closed_total", &[("which", "waiting")]);
        // The connection is closed by its own task.
        tokio::task::yield_now().await;
    }
}

async fn follow(core: Rc<EntryCore>) {
    loop {
        let changed = core.follower.changed();
        let _ = tokio::time::timeout(Duration::from_millis(500), changed).await;
        core.follow();
    }
}

async fn report(core: Rc<EntryCore>) {
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        let report = core.report();
        let reply = core
            .follower
            .link()
            .call_leader("report", REPORT_TIMEOUT, |client, context| {
                let report = report.clone();
                async move { client.report(context, report).await }
            })
            .await;
        match reply {
            Ok(reply) => {
                core.budget.borrow_mut().set_entries(reply.entries);
                core.replicas.borrow_mut().set_entries(reply.entries);
                core.origins.set_entries(reply.entries);
                core.apply_limits(&reply.limits);
            }
            Err(error) => tracing::debug!(%error, "report to the leader failed"),
        }
    }
}

fn adapter_slot(replica: &ReplicaId, need: &Need) -> Option<AdapterPlacement> {
    Some(AdapterPlacement {
        replica: replica.clone(),
        model: need.model.clone()?,
        adapter: need.adapter.clone()?,
    })
}

fn served_name(need: &Need) -> Option<ServedName> {
    Some(ServedName {
        model: need.model.clone()?,
        adapter: need.adapter.clone(),
    })
}

async fn send_adapter_request(core: Rc<EntryCore>, request: AdapterPlacement) {
    let link = core.follower.link();
    let reply = link
        .call_leader("wish", REPORT_TIMEOUT, |client, context| {
            let request = request.clone();
            async move { client.wish(context, request).await }
        })
        .await;
    let (replica, model, adapter) = (&request.replica, &request.model, &request.adapter);
    match reply {
        Ok(soon) => {
            tracing::info!(%replica, %model, adapter, soon, "adapter requested");
            if !soon {
                let now_ms = clock::monotonic_ms();
                core.replicas
                    .borrow_mut()
                    .record_fetch_refusal(now_ms, replica);
                core.notify_changed();
            }
        }
        Err(error) => {
            tracing::warn!(%error, %replica, %model, adapter, "adapter request failed");
        }
    }
}

async fn prune(core: Rc<EntryCore>) {
    loop {
        tokio::time::sleep(PRUNE_INTERVAL).await;
        let mut replicas = core.replicas.borrow_mut();
        replicas.prune(clock::monotonic_ms());
        let mut pool = core.pool.borrow_mut();
        pool.prune(|id| replicas.record(id).is_some());
        core.start_reports.prune(|id| replicas.record(id).is_some());
        core.waiters.prune();
        core.show_client_bytes();
        if let Some(agents) = &core.agents {
            agents.prune(|id| replicas.record(id).is_some());
        }
    }
}
