//! The shell of the agent daemon: passes messages between control, entries, the admission
//! controller and the target.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::TcpListener;
use tokio::sync::Notify;

use crate::admission::controller::{
    AdmissionController, AdmissionPolicy, AttemptStatus, EngineOrder, RunDispatch, RunEvent,
    RunRequest,
};
use crate::admission::ledger::ModelPhase;
use crate::admission::lost_runs::CrashedIncarnation;
use crate::agent::engine::{EngineClient, EngineError, EngineStream, StreamPart};
use crate::clock;
use crate::consensus::crashes::CrashReport;
use crate::consensus::state::MemberRole;
use crate::ids::{AttemptId, Incarnation, ModelName, Position, ReplicaId, ReplicaIncarnation};
use crate::placement::target_controller::AgentHeartbeat;
use crate::process::crash_report::{self, BegunParts};
use crate::process::daemon::{self, DaemonError};
use crate::process::member::{self, SiteFollower};
use crate::process::metrics::{MetricKey, MetricRegistry};
use crate::process::peers::{self, ControlLink, SiteSecret};
use crate::process::settings::AgentSettings;
use crate::process::wire::{AgentHeartbeatReply, AgentReply, AgentWire};
use crate::routing::view::SiteView;

/// Interval between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of a heartbeat call.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum interval between two checks of the queue.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between two removals of old attempts.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time that a pull call waits for new pieces.
const MAX_PULL_WAIT_MS: u64 = 2_000;
/// Maximum number of concurrent calls on one connection of an entry.
const MAX_CALLS_PER_PEER: usize = 8192;
/// Maximum time that a stopping agent waits for work in flight.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(120);
/// Time that a stopping agent keeps serving before and after the drain: entries learn from
/// control that it is draining, and read the last pages.
const DRAIN_NOTICE: Duration = Duration::from_millis(500);

struct AgentShared {
    settings: AgentSettings,
    link: Arc<ControlLink>,
    follower: SiteFollower,
    admission: Mutex<AdmissionController>,
    incarnation: Incarnation,
    address: String,
    wake: Notify,
    readers: Mutex<BTreeMap<AttemptId, Arc<Notify>>>,
}

impl AgentShared {
    fn admission(&self) -> MutexGuard<'_, AdmissionController> {
        self.admission
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn readers(&self) -> MutexGuard<'_, BTreeMap<AttemptId, Arc<Notify>>> {
        self.readers
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn reader(&self, attempt: AttemptId) -> Arc<Notify> {
        self.readers().entry(attempt).or_default().clone()
    }

    fn wake_reader(&self, attempt: AttemptId) {
        if let Some(reader) = self.readers().get(&attempt) {
            reader.notify_waiters();
        }
    }

    /// Wakes all waiting pull calls: their attempts may have been refused from the queue.
    fn wake_all_readers(&self) {
        for reader in self.readers().values() {
            reader.notify_waiters();
        }
    }

    fn reply(&self, status: AttemptStatus) -> AgentReply {
        // Lock order: the lock of the copy is never taken while the admission controller is
        // locked.
        let position = self.follower.position();
        let admission = self.admission();
        AgentReply {
            status,
            load: (admission.queued() + admission.running()) as u32,
            position,
        }
    }
}

/// A running agent daemon.
pub struct AgentDaemon {
    /// Address for entries.
    pub address: SocketAddr,
    /// Address of the metrics and health endpoints.
    pub watch: SocketAddr,
    shared: Arc<AgentShared>,
}

impl AgentDaemon {
    /// Joins the site and starts on the current runtime.
    pub async fn start(settings: AgentSettings, secret: SiteSecret) -> Result<Self, DaemonError> {
        let listener = daemon::bind("listen", settings.common.listen).await?;
        let address = daemon::address_of("listen", &listener)?;
        let control = settings.common.control.iter();
        let control = control.map(|voter| voter.address.to_string()).collect();
        let link = Arc::new(ControlLink::new(secret.clone(), control));
        let common = &settings.common;
        let advertised = address.to_string();
        let incarnation = member::join(&link, common, MemberRole::Agent, &advertised).await?;
        let follower = SiteFollower::new(link.clone());
        follower.start().await?;
        let services = settings.services.iter().cloned().collect();
        let policy = AdmissionPolicy {
            capacity_mib: settings.memory_mib,
            check: settings.check,
            lease_ms: settings.lease_ms,
            queue: settings.queue.policy(),
        };
        let admission =
            AdmissionController::new(incarnation, policy, services, clock::monotonic_ms());
        let engine = EngineClient::new(&settings.target_url).await;
        let shared = Arc::new(AgentShared {
            settings,
            link,
            follower,
            admission: Mutex::new(admission),
            incarnation,
            address: advertised,
            wake: Notify::new(),
            readers: Mutex::new(BTreeMap::new()),
        });
        record_rows(&shared, &shared.follower.view());
        serve(listener, secret, shared.clone());
        let watch = serve_health(&shared).await?;
        start_tasks(&shared, &engine);
        tracing::info!(%address, %watch, life = %incarnation, "agent started");
        Ok(Self {
            address,
            watch,
            shared,
        })
    }

    /// Refuses new work, waits for work in flight, and leaves the site.
    pub async fn stop(&self) {
        let shared = &self.shared;
        shared.admission().drain();
        let drained = async {
            // Meanwhile entries learn from control that this agent is draining.
            tokio::time::sleep(DRAIN_NOTICE).await;
            while !shared.admission().is_idle() {
                tokio::time::sleep(DISPATCH_INTERVAL).await;
            }
        };
        if tokio::time::timeout(DRAIN_TIMEOUT, drained).await.is_err() {
            tracing::warn!("drain timed out; stopping with work in flight");
        }
        // Entries read the last pages within one pull call.
        tokio::time::sleep(DRAIN_NOTICE).await;
        let heartbeat = make_heartbeat(shared, true);
        if let Err(error) = send_heartbeat(shared, heartbeat).await {
            tracing::debug!(%error, "last heartbeat failed; control was not notified of the stop");
        }
    }
}

fn start_tasks(shared: &Arc<AgentShared>, engine: &EngineClient) {
    let agent = shared.clone();
    tokio::spawn(async move {
        let seed = member::spread_seed(&agent.settings.common.host);
        let follower = &agent.follower;
        follower.run(seed, |view| record_rows(&agent, view)).await;
    });
    let agent = shared.clone();
    tokio::spawn(async move { heartbeat_loop(&agent).await });
    let agent = shared.clone();
    tokio::spawn(async move { sweep_loop(&agent).await });
    daemon::spawn_local(dispatch_loop(shared.clone(), engine.clone()));
    if shared.settings.memory_mib > 0 {
        daemon::spawn_local(report_loop(shared.clone(), engine.clone()));
    }
}

fn record_rows(agent: &AgentShared, view: &SiteView) {
    let mut admission = agent.admission();
    for (id, row) in &view.rows {
        admission.record_row_version(id, row.version);
    }
}

async fn sweep_loop(agent: &AgentShared) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        agent.admission().forget(clock::monotonic_ms());
        agent
            .readers()
            .retain(|_, reader| Arc::strong_count(reader) > 1);
    }
}

fn make_heartbeat(agent: &AgentShared, stopped: bool) -> AgentHeartbeat {
    let position = agent.follower.position();
    let admission = agent.admission();
    let ledger = admission.ledger();
    let fixed = agent.settings.services.iter();
    let fixed = fixed.map(|service| (service.clone(), true));
    let loaded = ledger.models();
    let loaded = loaded.map(|(model, phase)| (model.clone(), phase == ModelPhase::Resident));
    let known = ledger.is_initialized() || agent.settings.memory_mib == 0;
    AgentHeartbeat {
        host: agent.settings.common.host.clone(),
        incarnation: agent.incarnation,
        position,
        plan: admission.plan_position(),
        holds: known.then(|| loaded.chain(fixed).collect()),
        busy: admission.busy(),
        leaving: admission.is_draining(),
        stopped,
    }
}

async fn send_heartbeat(
    agent: &AgentShared,
    heartbeat: AgentHeartbeat,
) -> Result<AgentHeartbeatReply, peers::PeerError> {
    agent
        .link
        .call_leader("agent_beat", HEARTBEAT_TIMEOUT, |client, context| {
            let heartbeat = heartbeat.clone();
            async move { client.agent_beat(context, heartbeat).await }
        })
        .await
}

async fn heartbeat_loop(agent: &AgentShared) {
    loop {
        let requested_ms = clock::monotonic_ms();
        // A target whose engine does not report is announced as stopped, so that its models are
        // loaded elsewhere. It rejoins with the same incarnation once the engine reports again.
        let engine_silent = agent.admission().is_engine_silent(requested_ms);
        let heartbeat = make_heartbeat(agent, engine_silent);
        match send_heartbeat(agent, heartbeat).await {
            Ok(_) if engine_silent => {}
            Ok(reply) => on_heartbeat_reply(agent, requested_ms, reply).await,
            Err(error) => tracing::debug!(%error, "heartbeat failed"),
        }
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

async fn on_heartbeat_reply(agent: &AgentShared, requested_ms: u64, reply: AgentHeartbeatReply) {
    agent.follower.observe_position(reply.position);
    match reply.plan {
        Some(plan) => {
            if !agent.admission().on_plan(requested_ms, plan) {
                tracing::info!("plan refused: outdated or for another incarnation");
            }
            agent.wake.notify_one();
        }
        None => {
            let common = &agent.settings.common;
            let role = MemberRole::Agent;
            let rejoined =
                member::rejoin(&agent.link, common, role, &agent.address, agent.incarnation).await;
            match rejoined {
                Ok(true) => tracing::info!("rejoined after being considered lost"),
                Ok(false) => {
                    tracing::error!("another process has taken this host name; refusing new work");
                    agent.admission().drain();
                }
                Err(error) => tracing::debug!(%error, "rejoin failed"),
            }
        }
    }
}

async fn report_loop(agent: Arc<AgentShared>, engine: EngineClient) {
    loop {
        let requested_ms = clock::monotonic_ms();
        match engine.report().await {
            Ok(report) => {
                let crashes = agent.admission().on_report(&report, requested_ms);
                for crashed in crashes {
                    tokio::spawn(report_crash(agent.clone(), crashed));
                }
            }
            Err(error) => tracing::debug!(%error, "engine report failed"),
        }
        agent.wake.notify_one();
        let pause = Duration::from_millis(agent.settings.report_ms);
        tokio::time::sleep(pause).await;
    }
}

/// Reports a crash of the engine to the log, with retries.
async fn report_crash(agent: Arc<AgentShared>, crashed: CrashedIncarnation) {
    let report = CrashReport {
        replica: ReplicaIncarnation {
            id: ReplicaId::from(agent.settings.common.host.as_str()),
            started_ms: crashed.boot,
        },
        contents: crashed.contents,
    };
    tracing::warn!(
        replica = %report.replica.id, boot = crashed.boot, count = report.contents.len(),
        "engine crashed during requests"
    );
    // Entries report sound runs, and this process knows of none before.
    let parts = crashed.parts.into_iter().map(|part| (part, false));
    let begun = BegunParts {
        parts: parts.collect(),
        observed_ms: clock::monotonic_ms(),
    };
    crash_report::report_crash(&agent.link, &report, begun).await;
}

/// Starts the runs that the engine can take, and sends due orders one at a time.
async fn dispatch_loop(agent: Arc<AgentShared>, engine: EngineClient) {
    loop {
        let _ = tokio::time::timeout(DISPATCH_INTERVAL, agent.wake.notified()).await;
        let now_ms = clock::monotonic_ms();
        let before = agent.admission().queued();
        let mut started = 0;
        loop {
            let next = agent.admission().next_run(now_ms);
            let Some(dispatch) = next else { break };
            started += 1;
            daemon::spawn_local(run(agent.clone(), engine.clone(), dispatch));
        }
        if agent.admission().queued() + started < before {
            agent.wake_all_readers();
        }
        let order = agent.admission().next_order(now_ms);
        if let Some(order) = order {
            daemon::spawn_local(send_order(agent.clone(), engine.clone(), order));
        }
    }
}

async fn send_order(agent: Arc<AgentShared>, engine: EngineClient, order: EngineOrder) {
    let result = engine.order(&order).await;
    agent
        .admission()
        .order_closed(clock::monotonic_ms(), &order);
    match result {
        Ok(()) => tracing::debug!(?order, "ordered"),
        Err(error) => tracing::warn!(%error, ?order, "order to the engine failed"),
    }
    agent.wake.notify_one();
}

async fn run(agent: Arc<AgentShared>, engine: EngineClient, dispatch: RunDispatch) {
    let attempt = dispatch.attempt;
    if dispatch.call.path.is_some() {
        let event = match engine.call_service(&dispatch).await {
            Ok(text) => {
                let piece = RunEvent::Piece { index: 0, text };
                apply_run_event(&agent, attempt, piece);
                RunEvent::Ended
            }
            Err(EngineError::Refused { .. }) => RunEvent::Refused,
            Err(EngineError::Lost { .. }) => {
                // The first loss asks to resume the stream, which a plain service does not have.
                apply_run_event(&agent, attempt, RunEvent::Lost);
                RunEvent::Lost
            }
        };
        apply_run_event(&agent, attempt, event);
        return;
    }
    let mut stream = engine.run(&dispatch).await;
    loop {
        let event = follow_stream(&agent, attempt, &mut stream).await;
        match apply_run_event(&agent, attempt, event) {
            Some(from) => stream = engine.resume(attempt, from).await,
            None => return,
        }
    }
}

/// Applies the pieces of a stream until it ends, and returns how it ended.
async fn follow_stream(
    agent: &AgentShared,
    attempt: AttemptId,
    stream: &mut Result<EngineStream, EngineError>,
) -> RunEvent {
    let stream = match stream {
        Ok(stream) => stream,
        Err(EngineError::Refused { .. }) => return RunEvent::Refused,
        Err(EngineError::Lost { .. }) => return RunEvent::Lost,
    };
    apply_run_event(agent, attempt, RunEvent::Opened(stream.process.clone()));
    if !agent.admission().is_running(attempt) {
        tracing::info!(%attempt, process = ?stream.process, "stream of other software dropped");
        return RunEvent::Lost;
    }
    loop {
        match stream.next().await {
            Ok(StreamPart::Piece(index, text)) => {
                apply_run_event(agent, attempt, RunEvent::Piece { index, text });
            }
            Ok(StreamPart::End) => return RunEvent::Ended,
            Err(error) => {
                tracing::info!(%attempt, %error, "stream interrupted");
                return RunEvent::Lost;
            }
        }
    }
}

fn apply_run_event(agent: &AgentShared, attempt: AttemptId, event: RunEvent) -> Option<u32> {
    let ended = !matches!(event, RunEvent::Opened(_) | RunEvent::Piece { .. });
    let resume = agent
        .admission()
        .on_run_event(clock::monotonic_ms(), attempt, event);
    agent.wake_reader(attempt);
    if ended {
        agent.wake.notify_one();
    }
    resume
}

#[derive(Clone)]
struct AgentServer {
    shared: Arc<AgentShared>,
    cancels: tokio::sync::mpsc::UnboundedSender<AttemptId>,
}

impl AgentWire for AgentServer {
    async fn start(self, _: Context, position: Position, request: RunRequest) -> AgentReply {
        let agent = &self.shared;
        agent.follower.observe_position(position);
        let status = agent.admission().start(clock::monotonic_ms(), request);
        agent.wake.notify_one();
        agent.reply(status)
    }

    async fn pull(
        self,
        _: Context,
        attempt: AttemptId,
        incarnation: Incarnation,
        offset: u32,
        wait_ms: u64,
    ) -> AgentReply {
        let agent = &self.shared;
        let wait = Duration::from_millis(wait_ms.min(MAX_PULL_WAIT_MS));
        let reader = agent.reader(attempt);
        let until = tokio::time::Instant::now() + wait;
        loop {
            let notified = reader.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            let status =
                agent
                    .admission()
                    .pull(clock::monotonic_ms(), attempt, incarnation, offset);
            if !is_empty(&status) {
                return agent.reply(status);
            }
            if tokio::time::timeout_at(until, notified).await.is_err() {
                return agent.reply(status);
            }
        }
    }

    async fn seal(self, _: Context, attempt: AttemptId, incarnation: Incarnation) -> AgentReply {
        let agent = &self.shared;
        let status = agent
            .admission()
            .seal(clock::monotonic_ms(), attempt, incarnation);
        agent.wake_reader(attempt);
        agent.reply(status)
    }

    async fn cancel(self, _: Context, attempt: AttemptId) {
        let running = self
            .shared
            .admission()
            .cancel(clock::monotonic_ms(), attempt);
        if running {
            let _ = self.cancels.send(attempt);
        }
        self.shared.wake_reader(attempt);
    }
}

fn is_empty(status: &AttemptStatus) -> bool {
    match status {
        AttemptStatus::Page(page) => page.pieces.is_empty() && page.end.is_none(),
        AttemptStatus::Unseen | AttemptStatus::OtherIncarnation(_) => false,
    }
}

fn serve(listener: TcpListener, secret: SiteSecret, shared: Arc<AgentShared>) {
    let (cancels, mut cancel_requests) = tokio::sync::mpsc::unbounded_channel();
    let agent = shared.clone();
    daemon::spawn_local(async move {
        let engine = EngineClient::new(&agent.settings.target_url).await;
        while let Some(attempt) = cancel_requests.recv().await {
            if engine.cancel(attempt).await.is_ok() {
                apply_run_event(&agent, attempt, RunEvent::Cancelled);
            }
        }
    });
    let serve = move |transport| {
        let server = AgentServer {
            shared: shared.clone(),
            cancels: cancels.clone(),
        };
        let channel =
            BaseChannel::with_defaults(transport).max_concurrent_requests(MAX_CALLS_PER_PEER);
        tokio::spawn(channel.execute(server.serve()).for_each(|call| async {
            tokio::spawn(call);
        }));
    };
    tokio::spawn(peers::listen(listener, secret, serve));
}

async fn serve_health(shared: &Arc<AgentShared>) -> Result<SocketAddr, DaemonError> {
    let address = shared.settings.common.watch;
    let agent = shared.clone();
    let read = move || {
        let agent = agent.clone();
        Box::pin(async move {
            // Separate statements: each locks the admission controller.
            let ready = agent.admission().has_lease(clock::monotonic_ms());
            let metrics = render(&agent);
            daemon::HealthPage { ready, metrics }
        }) as daemon::HealthFuture
    };
    daemon::serve_health(address, Arc::new(read)).await
}

fn render(agent: &AgentShared) -> String {
    let position = agent.follower.position();
    let admission = agent.admission();
    let gauges = [
        ("dunlinspring_table_position", position.0),
        ("dunlinspring_running", admission.running() as u64),
        ("dunlinspring_queued", admission.queued() as u64),
        (
            "dunlinspring_memory_used_mib",
            admission.ledger().used_mib(),
        ),
        (
            "dunlinspring_memory_free_mib",
            admission.ledger().free_mib(),
        ),
        (
            "dunlinspring_attempts_remembered",
            admission.remembered() as u64,
        ),
        ("dunlinspring_leaving", u64::from(admission.is_draining())),
    ];
    let mut registry = MetricRegistry::default();
    for (name, value) in gauges {
        registry.gauge(MetricKey::new(name, &[]), value);
    }
    let ready: Vec<ModelName> = admission.ready_models();
    registry.gauge(
        MetricKey::new("dunlinspring_models", &[]),
        ready.len() as u64,
    );
    registry.render()
}
