//! The shell of the entry daemon: start, stop, heartbeats, and the state that requests share.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::clock;
use crate::consensus::state::MemberRole;
use crate::entry::caller;
use crate::entry::request_driver::CallerRequest;
use crate::ids::{AttemptId, Incarnation, ModelName, Position, RowId};
use crate::placement::target_controller::EntryHeartbeat;
use crate::process::daemon::{self, DaemonError};
use crate::process::member::{self, SiteFollower};
use crate::process::metrics::{MetricKey, MetricRegistry};
use crate::process::peers::{self, ControlLink, PeerPool, SiteSecret};
use crate::process::settings::EntrySettings;
use crate::process::wire::{AgentWireClient, EntryHeartbeatReply};
use crate::routing::lifecycle::{EndCause, RequestOutcome};
use crate::routing::refusals::RefusalTracker;
use crate::routing::retry::RetryBudget;
use crate::routing::route::LoadTracker;
use crate::table::limits::ShareHolder;

/// Interval between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a heartbeat call.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum time that a planned stop waits for requests in flight.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(120);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Mutable state of an entry.
pub(crate) struct EntryState {
    pub(crate) loads: LoadTracker,
    pub(crate) shares: ShareHolder,
    pub(crate) retries: RetryBudget,
    /// Refusals received from agents.
    pub(crate) refusals: RefusalTracker,
    /// Number of refusals for overload of each model since the last heartbeat.
    pub(crate) refusal_counts: BTreeMap<ModelName, u32>,
    pub(crate) rng: SmallRng,
}

/// State shared by the entry's tasks and HTTP threads.
pub struct EntryShared {
    /// The settings.
    pub settings: EntrySettings,
    /// Connection to the control hosts.
    pub link: Arc<ControlLink>,
    /// Copy of the site state.
    pub follower: SiteFollower,
    pub(crate) agents: PeerPool<AgentWireClient>,
    incarnation: Incarnation,
    address: String,
    state: Mutex<EntryState>,
    metrics: Mutex<MetricRegistry>,
    next_attempt: AtomicU64,
    confirmed_ms: AtomicU64,
    stopping: AtomicBool,
    in_flight: AtomicUsize,
}

/// A running entry daemon.
pub struct EntryDaemon {
    /// Address for callers and operators.
    pub callers: SocketAddr,
    /// Address of the metrics and health endpoints.
    pub watch: SocketAddr,
    shared: Arc<EntryShared>,
    server: ntex::server::Server,
}

impl EntryDaemon {
    /// Joins the site and starts on the current runtime.
    pub async fn start(settings: EntrySettings, secret: SiteSecret) -> Result<Self, DaemonError> {
        let (listener, callers) = daemon::bind_http("callers", settings.callers)?;
        let control = settings.common.control.iter();
        let control = control.map(|voter| voter.address.to_string()).collect();
        let link = Arc::new(ControlLink::new(secret.clone(), control));
        let address = callers.to_string();
        let role = MemberRole::Entry;
        let incarnation = member::join(&link, &settings.common, role, &address).await?;
        let requested_ms = clock::monotonic_ms();
        let follower = SiteFollower::new(link.clone());
        follower.start().await?;
        let limits = follower.view().site.limits;
        let state = EntryState {
            loads: LoadTracker::default(),
            shares: ShareHolder::new(limits),
            retries: RetryBudget::new(settings.route.retries()),
            refusals: RefusalTracker::default(),
            refusal_counts: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(incarnation.0),
        };
        let shared = Arc::new(EntryShared {
            link,
            follower,
            agents: PeerPool::new(secret, peers::dial_agent),
            incarnation,
            address,
            state: Mutex::new(state),
            metrics: Mutex::new(MetricRegistry::default()),
            next_attempt: AtomicU64::new(1),
            confirmed_ms: AtomicU64::new(requested_ms),
            stopping: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            settings,
        });
        let server = caller::serve(shared.clone(), listener)?;
        let watch = serve_health(&shared).await?;
        start_tasks(&shared);
        tracing::info!(%callers, %watch, life = %incarnation, "entry started");
        Ok(Self {
            callers,
            watch,
            shared,
            server,
        })
    }

    /// Refuses new requests, waits for those in flight, and leaves the site.
    pub async fn stop(&self) {
        let shared = &self.shared;
        shared.stopping.store(true, Ordering::SeqCst);
        let drained = async {
            while shared.in_flight.load(Ordering::SeqCst) > 0 {
                tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        if tokio::time::timeout(DRAIN_TIMEOUT, drained).await.is_err() {
            tracing::warn!("drain timed out; stopping with requests in flight");
        }
        let (_, heartbeat) = make_heartbeat(shared, true);
        let _ = send_heartbeat(shared, &heartbeat).await;
        self.server.stop(true).await;
    }
}

fn start_tasks(shared: &Arc<EntryShared>) {
    let entry = shared.clone();
    tokio::spawn(async move {
        let seed = member::spread_seed(&entry.settings.common.host);
        entry.follower.run(seed, |_| {}).await;
    });
    let entry = shared.clone();
    tokio::spawn(async move { heartbeat_loop(&entry).await });
}

impl EntryShared {
    /// Counts a request as in flight until the guard is dropped. Refuses it while the entry is
    /// stopping or its copy of the table is stale.
    pub fn admit(self: &Arc<Self>) -> Result<InFlightGuard, EndCause> {
        let guard = InFlightGuard(self.clone());
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        match self.is_stopping() {
            true => Err(EndCause::Stopping),
            false if self.is_stale() => Err(EndCause::Stale),
            false => Ok(guard),
        }
    }

    /// Whether new requests are refused.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Whether the leader has not confirmed this copy of the table for longer than `stale_ms`.
    pub fn is_stale(&self) -> bool {
        let confirmed = self.confirmed_ms.load(Ordering::SeqCst);
        confirmed + self.settings.stale_ms < clock::monotonic_ms()
    }

    /// Records the outcome and the duration of a request, by partner and class.
    pub fn record(&self, request: &CallerRequest, outcome: &RequestOutcome, started: Instant) {
        let (name, cause) = outcome_names(outcome);
        let labels = [
            ("partner", request.partner.as_str()),
            ("class", request.fields.fields.class.as_str()),
            ("outcome", name),
            ("cause", cause),
        ];
        let mut registry = self.metrics();
        registry.count(MetricKey::new("dunlinspring_requests_total", &labels), 1);
        let key = MetricKey::new("dunlinspring_request_seconds", &labels[..3]);
        registry.time(key, started.elapsed().as_micros() as u64);
    }

    pub(crate) fn record_first_piece(&self, request: &CallerRequest, started: Instant) {
        let labels = [
            ("partner", request.partner.as_str()),
            ("class", request.fields.fields.class.as_str()),
        ];
        let key = MetricKey::new("dunlinspring_first_piece_seconds", &labels);
        self.metrics()
            .time(key, started.elapsed().as_micros() as u64);
    }

    fn metrics(&self) -> MutexGuard<'_, MetricRegistry> {
        self.metrics
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, EntryState> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub(crate) fn next_attempt(&self) -> AttemptId {
        AttemptId {
            entry: self.incarnation,
            number: self.next_attempt.fetch_add(1, Ordering::SeqCst),
        }
    }
}

/// Counts a request as in flight until it is dropped.
pub struct InFlightGuard(Arc<EntryShared>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Returns the names of the outcome and the cause in responses and metrics.
pub fn outcome_names(outcome: &RequestOutcome) -> (&'static str, &'static str) {
    match outcome {
        RequestOutcome::Done | RequestOutcome::Replayed(_) => ("done", ""),
        RequestOutcome::NotRun { cause, .. } => ("not-run", cause.name()),
        RequestOutcome::Unknown(cause) => ("unknown", cause.name()),
    }
}

fn make_heartbeat(entry: &EntryShared, stopped: bool) -> (u64, EntryHeartbeat) {
    let limits = {
        let view = entry.follower.view();
        let rows = view.rows.iter();
        let rows = rows.map(|(id, row)| (id.clone(), row.fields.max_running));
        rows.collect::<BTreeMap<RowId, u32>>()
    };
    // Lock order: the lock of the copy is never taken while the state is locked.
    let position = entry.follower.position();
    let mut state = entry.state();
    let now_ms = clock::monotonic_ms();
    let (request_number, claims) = state
        .shares
        .next_request(now_ms, |row| limits.get(row).copied());
    let heartbeat = EntryHeartbeat {
        host: entry.settings.common.host.clone(),
        incarnation: entry.incarnation,
        position,
        number: request_number,
        limits: claims,
        refused: std::mem::take(&mut state.refusal_counts),
        stopped,
    };
    (request_number, heartbeat)
}

async fn send_heartbeat(
    entry: &EntryShared,
    heartbeat: &EntryHeartbeat,
) -> Result<EntryHeartbeatReply, peers::PeerError> {
    entry
        .link
        .call_leader("entry_beat", HEARTBEAT_TIMEOUT, |client, context| {
            let heartbeat = heartbeat.clone();
            async move { client.entry_beat(context, heartbeat).await }
        })
        .await
}

async fn heartbeat_loop(entry: &EntryShared) {
    // Send time and replied position of a heartbeat. The copy is confirmed as of that time once it
    // has reached the position.
    let mut unconfirmed: Option<(u64, Position)> = None;
    loop {
        let requested_ms = clock::monotonic_ms();
        let (request_number, heartbeat) = make_heartbeat(entry, false);
        match send_heartbeat(entry, &heartbeat).await {
            Ok(reply) => {
                entry.follower.observe_position(reply.position);
                entry
                    .state()
                    .shares
                    .apply_grants(request_number, requested_ms, &reply.grants);
                unconfirmed = unconfirmed.or(Some((requested_ms, reply.position)));
                if reply.rejoin {
                    rejoin(entry).await;
                }
            }
            Err(error) => tracing::debug!(%error, "heartbeat failed"),
        }
        if let Some((requested_ms, position)) = unconfirmed
            && entry.follower.position() >= position
        {
            entry.confirmed_ms.fetch_max(requested_ms, Ordering::SeqCst);
            unconfirmed = None;
        }
        prune_state(entry);
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

async fn rejoin(entry: &EntryShared) {
    let role = MemberRole::Entry;
    let common = &entry.settings.common;
    match member::rejoin(&entry.link, common, role, &entry.address, entry.incarnation).await {
        Ok(true) => tracing::info!("rejoined after being considered lost"),
        Ok(false) => {
            tracing::error!("another process has taken this host name; refusing new requests");
            entry.stopping.store(true, Ordering::SeqCst);
        }
        Err(error) => tracing::debug!(%error, "rejoin failed"),
    }
}

/// Removes the state of targets, rows and agents that no longer exist, and expired
/// refusals.
fn prune_state(entry: &EntryShared) {
    let view = entry.follower.view();
    let mut state = entry.state();
    state
        .loads
        .retain(|target| view.member_of(target).is_some());
    state.retries.retain(|row| view.rows.contains_key(row));
    state.refusals.prune(clock::monotonic_ms());
    drop(state);
    let known = |address: &str| {
        view.members
            .values()
            .any(|member| member.address == address)
    };
    entry.agents.retain(known);
}

async fn serve_health(shared: &Arc<EntryShared>) -> Result<SocketAddr, DaemonError> {
    let entry = shared.clone();
    let read = move || {
        let entry = entry.clone();
        Box::pin(async move {
            daemon::HealthPage {
                ready: !entry.is_stopping() && !entry.is_stale(),
                metrics: render(&entry),
            }
        }) as daemon::HealthFuture
    };
    daemon::serve_health(shared.settings.common.watch, Arc::new(read)).await
}

fn render(entry: &EntryShared) -> String {
    let position = entry.follower.position();
    let mut registry = entry.metrics();
    let in_flight = entry.in_flight.load(Ordering::SeqCst) as u64;
    registry.gauge(
        MetricKey::new("dunlinspring_table_position", &[]),
        position.0,
    );
    registry.gauge(MetricKey::new("dunlinspring_in_flight", &[]), in_flight);
    registry.gauge(
        MetricKey::new("dunlinspring_stale", &[]),
        u64::from(entry.is_stale()),
    );
    registry.render()
}
