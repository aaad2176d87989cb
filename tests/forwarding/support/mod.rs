//! One control host, one or more entries, and replicas that follow a script.

pub mod crashing;
#[path = "../../support_names/mod.rs"]
mod support_names;
#[path = "../../support_replicas/mod.rs"]
mod support_replicas;
#[path = "../../support_spans/mod.rs"]
pub mod support_spans;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crashing::CrashingReplica;
use dunlinspring::consensus::crashes::CrashStore;
use dunlinspring::consensus::directory::{ReplicaPhase, ReplicaRecord};
use dunlinspring::consensus::part_crashes::{PartCrashReport, PartStore};
use dunlinspring::consensus::raft::RaftTiming;
use dunlinspring::consensus::software_versions::ReplicaHeartbeat;
use dunlinspring::consensus::state::{Command, HallStanding, Reply};
use dunlinspring::control::bootstrap;
use dunlinspring::control::registry::{LogAccess, Registry, RegistryError};
use dunlinspring::control::shell::ControlDaemon;
use dunlinspring::forward::budget::ResendPolicy;
use dunlinspring::forward::chunked::ChunkDecoder;
use dunlinspring::forward::daemon::{CLIENT_BYTES, ForwardDaemon, ForwardSettings, MAX_CLIENTS};
use dunlinspring::forward::head::{self, Framing, Header};
use dunlinspring::forward::need::ChoicePolicy;
use dunlinspring::ids::{
    ContentDigest, HallName, HostName, ModelName, ReplicaId, ReplicaIncarnation, ServiceName,
    VersionName,
};
use dunlinspring::process::peers::{ControlLink, SiteSecret};
use dunlinspring::process::settings::{CommonSettings, ControlSettings, VoterSettings};
use dunlinspring::process::wire::{AccountStatus, ControlWireClient};
use dunlinspring::table::accounts::AccountList;
use dunlinspring::table::configuration::{
    Configuration, EngineModel, EngineSpec, RouteKind, RouteSpec, ServiceSpec,
};
use socket2::SockRef;
use support_names::NAMES;
use support_replicas::ready_replica;
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;

/// Response header line of a replica that drains.
pub const DRAINING: &str = "Leaving: 1\r\n";

/// Software version of replicas whose version does not matter.
const SOFTWARE: &str = "v1";

/// Start time of replicas whose version matters, in milliseconds.
const FIRST_START_MS: u64 = 1_000;

/// Longest wait for a condition; a test fails once it has passed.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Request timeout on every route, in milliseconds.
pub const TIMEOUT_MS: u64 = 20_000;

/// Connect timeout to a replica, in milliseconds. Longer than the kernel's interval between
/// SYN retransmissions to a full listener.
const CONNECT_MS: u64 = 10_000;

/// Time between the copy of a refusal and the response due.
const COPY_LEAD: Duration = Duration::from_millis(50);

/// Time without progress after which an entry cuts off a client, in milliseconds.
const STALL_MS: u64 = 300;

/// A route of the test configuration.
#[derive(Clone, Copy)]
pub struct RouteShape {
    prefix: &'static str,
    kind: RouteKind,
    resumable: bool,
    public: bool,
    split: &'static [(&'static str, u32)],
    priority: u32,
}

impl RouteShape {
    /// A streaming route to a model, which engines load in 100 ms.
    pub const fn model(prefix: &'static str) -> Self {
        Self {
            prefix,
            kind: RouteKind::Streaming,
            resumable: false,
            public: false,
            split: &[("llm", 1)],
            priority: 1,
        }
    }

    pub const fn plain(prefix: &'static str) -> Self {
        Self {
            prefix,
            kind: RouteKind::Safe,
            resumable: false,
            public: false,
            split: &[("plain", 1)],
            priority: 1,
        }
    }

    /// A plain route that needs no API key.
    pub const fn open(prefix: &'static str) -> Self {
        Self {
            public: true,
            ..Self::plain(prefix)
        }
    }

    pub const fn unsafe_(prefix: &'static str) -> Self {
        Self {
            prefix,
            kind: RouteKind::Unsafe,
            resumable: false,
            public: false,
            split: &[("plain", 1)],
            priority: 1,
        }
    }

    pub const fn stream(prefix: &'static str, resumable: bool) -> Self {
        Self {
            prefix,
            kind: RouteKind::Streaming,
            resumable,
            public: false,
            split: &[("plain", 1)],
            priority: 1,
        }
    }

    pub const fn ranked(self, priority: u32) -> Self {
        Self { priority, ..self }
    }

    /// The route with other services and their weights.
    pub const fn split(self, split: &'static [(&'static str, u32)]) -> Self {
        Self { split, ..self }
    }

    fn spec(&self) -> RouteSpec {
        let split = self.split.iter();
        let split = split.map(|(service, weight)| (ServiceName::from(*service), *weight));
        RouteSpec {
            name: self.prefix.to_owned(),
            host: "h.example".to_owned(),
            prefix: self.prefix.to_owned(),
            kind: self.kind,
            timeout_ms: TIMEOUT_MS,
            latency_goal_ms: 800,
            max_event_gap_ms: 400,
            priority: self.priority,
            attempts: 3,
            resumable: self.resumable,
            public: self.public,
            regions: BTreeSet::new(),
            split: split.collect(),
        }
    }
}

/// How a replica handles one request.
#[derive(Clone, Copy, Debug)]
pub enum Behaviour {
    /// Responds with a status and a body, with the `Stamp` header.
    Response(u16, &'static str),
    /// Responds with 200 after a delay in milliseconds.
    Slow(u64, &'static str),
    /// Responds with 200 without the `Stamp` header.
    Unsigned,
    /// Responds with 503 and `Not-Executed`.
    NotExecuted,
    /// Repeats the refusal of the request before on its connection, if there was one, then runs this
    /// one and responds with 200.
    RunAfterCopy(&'static str),
    /// As `NotExecuted`, with one more header line.
    Refuse(&'static str),
    /// As `Refuse`, after a delay in milliseconds.
    RefuseLater(u64, &'static str),
    /// Responds with a status and one more header line.
    Headed(u16, &'static str),
    /// Sends a response to another request that announces draining, then the response due.
    DrainingSurplus,
    /// Streams events up to this number under a head that announces draining.
    DrainingStream(u32),
    /// Closes the connection without a response.
    Close,
    /// Sends a response to another request, then the response due.
    SurplusFirst(&'static str),
    /// Sends a second response after the one due.
    SurplusAfter(&'static str),
    /// Closes the connection within the body.
    CutBody,
    /// Sends this many events and a part of the next one, then closes.
    CutStream(u32),
    /// Streams events up to this number, starting after the caller's `Last-Event`.
    Events(u32),
    /// Streams events without end, as fast as the entry reads them.
    Flood,
    /// Sends this many events, then stays silent.
    HangAfter(u32),
    /// Sends a status line and headers, to which it adds its own, a blank line and a body, and ends
    /// in this way.
    Wire(&'static str, &'static str, WireEnd),
    /// Sends this text, in which `ID` stands for the request's id, then the other one again and again
    /// until the entry closes the connection.
    Endless(&'static str, &'static str),
}

/// How a replica ends a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WireEnd {
    /// It keeps the connection.
    Keep,
    /// It closes the connection.
    Close,
    /// It resets the connection.
    Reset,
    /// It closes its direction of the connection and waits until the entry closes the other one.
    HalfClose,
    /// Its process ends: it closes its listener and the connection.
    End,
    /// Its process ends and starts again under its id and address.
    Restart,
    /// Its process ends, and one with another id starts at its address.
    Replace,
}

/// A request as a replica received it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub at: Instant,
    pub method: String,
    pub target: String,
    pub headers: Vec<Header>,
    pub body: String,
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        head::find(&self.headers, name)
    }
}

/// A response as a client received it.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<Header>,
    pub body: String,
    /// Whether the body ended as its framing requires.
    pub complete: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        head::find(&self.headers, name)
    }
}

#[derive(Default)]
struct ReplicaState {
    script: VecDeque<Behaviour>,
    /// Start time that it reports of itself, in milliseconds.
    started_ms: u64,
    /// Number of connections that it accepted.
    opened: usize,
    /// Number of reports of itself that it was asked for.
    reports: usize,
    /// Whether it answers them.
    withholds_reports: bool,
    /// Whether it answers the request before on the connection once more, with this body, before it
    /// answers them.
    copy_before_report: Option<&'static str>,
    /// Notified as it restarts, which closes its idle connections.
    restarted: Rc<Notify>,
    seen: Vec<ReceivedRequest>,
    /// Requests that it ran under `RunAfterCopy`.
    copied_runs: usize,
    closed: bool,
    /// Whether it accepts no connections for now.
    shut: bool,
    /// Notified as its process ends.
    ending: Rc<Notify>,
    /// Whether its process has ended.
    has_ended: bool,
    /// Whether it has another id than the one it was registered under.
    is_replaced: bool,
}

type SharedReplica = Rc<RefCell<ReplicaState>>;

pub struct ForwardSite {
    _folder: TempDir,
    control: ControlDaemon,
    registry: Rc<Registry>,
    link: Arc<ControlLink>,
    settings: ForwardSettings,
    entries: Vec<ForwardDaemon>,
    crashing_replicas: Vec<Rc<CrashingReplica>>,
    replicas: BTreeMap<String, (ReplicaRecord, SharedReplica)>,
}

pub async fn wait_for<T>(what: &str, mut poll: impl AsyncFnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + MAX_WAIT;
    loop {
        if let Some(found) = poll().await {
            return found;
        }
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Returns `None` if no quorum took a call in time, as on a host whose disk is busy.
fn unless_no_quorum<T>(called: Result<T, RegistryError>) -> Option<Result<T, RegistryError>> {
    match called {
        Err(RegistryError::NoQuorum) => None,
        called => Some(called),
    }
}

fn engine_service() -> ServiceSpec {
    let model = EngineModel {
        weights_mb: 10,
        load_ms: 100,
        warm_ms: None,
        disk_ms: None,
        adapters: 0,
        adapter_mb: 0,
    };
    ServiceSpec {
        max_connections: 99,
        warm_up: None,
        engine: Some(EngineSpec {
            slots: 4,
            kv_tokens: 1_000,
            weights_mb: 20,
            adapter_slots: 1,
            event_tokens: 1,
            load_gap_ms: 100,
            models: BTreeMap::from([(ModelName::from("m"), model)]),
        }),
    }
}

fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

async fn start_control(folder: &TempDir) -> (ControlDaemon, SocketAddr) {
    let listener = TcpListener::bind(loopback()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let host = HostName(address.to_string());
    let settings = ControlSettings {
        common: CommonSettings {
            host: host.clone(),
            hall: HallName::from("hall"),
            listen: address,
            watch: loopback(),
            control: vec![VoterSettings { host, address }],
            secret_file: Default::default(),
            log: Default::default(),
        },
        data_folder: folder.path().join("control"),
        timing: RaftTiming {
            election_ms: 200,
            heartbeat_ms: 40,
        },
        duties: Default::default(),
        compact_after: 50,
        platform_url: None,
        open_membership: true,
        bearable_losses: 1,
        fleet: Default::default(),
        site: Default::default(),
    };
    bootstrap::bootstrap(&settings).unwrap();
    let control = ControlDaemon::start_on(listener, settings, secret())
        .await
        .unwrap();
    (control, address)
}

/// Secret of the site.
pub fn secret() -> SiteSecret {
    SiteSecret::new("a secret of these tests")
}

impl ForwardSite {
    pub async fn start(routes: &[RouteShape]) -> Self {
        Self::start_with(routes, ChoicePolicy::default()).await
    }

    /// Starts a site whose entry chooses replicas by the given policy.
    pub async fn start_with(routes: &[RouteShape], choice: ChoicePolicy) -> Self {
        let wait_ms = MAX_WAIT.as_millis() as u64;
        let site = Self::start_with_waits(wait_ms, wait_ms, choice, None).await;
        site.configured_with(routes).await
    }

    /// Starts a site whose entry asks the agents at this port.
    pub async fn start_with_agents(routes: &[RouteShape], agent_port: u16) -> Self {
        let wait_ms = MAX_WAIT.as_millis() as u64;
        let (choice, port) = (ChoicePolicy::default(), Some(agent_port));
        let site = Self::start_with_waits(wait_ms, wait_ms, choice, port).await;
        site.configured_with(routes).await
    }

    async fn configured_with(self, routes: &[RouteShape]) -> Self {
        let site = self;
        let configured = async || site.configure(1, routes).await.ok();
        wait_for("a leader", configured).await;
        let known = async || {
            let answer = site.send("GET", "/no-route/", "probe", "").await;
            (answer.status == 404).then_some(())
        };
        wait_for("the configuration", known).await;
        site
    }

    /// Starts a site without a configuration.
    pub async fn start_bare() -> Self {
        let patience_ms = MAX_WAIT.as_millis() as u64;
        Self::start_with_waits(patience_ms, patience_ms, ChoicePolicy::default(), None).await
    }

    /// Starts a site whose entry accepts API keys for at most `authority_ms` after the last
    /// contact with the control host. Requests wait 1 s for newer state.
    pub async fn start_bounded(authority_ms: u64) -> Self {
        Self::start_with_waits(authority_ms, 1_000, ChoicePolicy::default(), None).await
    }

    /// Starts a site whose entry may resend as this policy allows.
    pub async fn start_with_resends(routes: &[RouteShape], resend: ResendPolicy) -> Self {
        let wait_ms = MAX_WAIT.as_millis() as u64;
        let waits = (wait_ms, wait_ms);
        let site = Self::start_set(waits, ChoicePolicy::default(), None, resend).await;
        site.configured_with(routes).await
    }

    async fn start_with_waits(
        authority_ms: u64,
        config_wait_ms: u64,
        choice: ChoicePolicy,
        agent_port: Option<u16>,
    ) -> Self {
        let waits = (authority_ms, config_wait_ms);
        Self::start_set(waits, choice, agent_port, ResendPolicy::default()).await
    }

    async fn start_set(
        (authority_ms, config_wait_ms): (u64, u64),
        choice: ChoicePolicy,
        agent_port: Option<u16>,
        resend: ResendPolicy,
    ) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let (control, address) = start_control(&folder).await;
        let link = Arc::new(ControlLink::new(secret(), vec![address.to_string()]));
        let registry = Rc::new(Registry::new(
            LogAccess::Local(control.handle()),
            link.clone(),
            BTreeSet::from([HallName::from("hall")]),
        ));
        let settings = ForwardSettings {
            host: HostName::from("entry"),
            hall: HallName::from("hall"),
            regions: BTreeMap::new(),
            clients: loopback(),
            watch: loopback(),
            control: vec![address],
            log: Default::default(),
            choice,
            resend,
            agent_port,
            connect_ms: CONNECT_MS,
            stale_ms: 60_000,
            authority_ms,
            config_wait_ms,
            stall_ms: STALL_MS,
            client_bytes: CLIENT_BYTES,
            max_clients: MAX_CLIENTS,
            stop_ms: 1_000,
            grace_ms: 5_000,
        };
        let mut site = Self {
            _folder: folder,
            control,
            registry,
            link,
            settings,
            entries: Vec::new(),
            crashing_replicas: Vec::new(),
            replicas: BTreeMap::new(),
        };
        site.start_entry().await;
        site
    }

    async fn start_entry(&mut self) -> usize {
        let number = self.entries.len();
        let mut settings = self.settings.clone();
        settings.host = HostName(format!("entry-{number}"));
        let entry = ForwardDaemon::start(settings, secret(), NAMES).await;
        self.entries.push(entry.unwrap());
        number
    }

    /// Returns the number of entries.
    pub fn entries(&self) -> usize {
        self.entries.len()
    }

    /// Starts another entry and waits until it has the configuration.
    pub async fn add_entry(&mut self) -> usize {
        let entry = self.start_entry().await;
        wait_for("the configuration at the new entry", async || {
            let answer = self.send_at(entry, "/no-route/", "probe", "").await;
            (answer.status == 404).then_some(())
        })
        .await;
        entry
    }

    pub async fn configure(
        &self,
        version: u64,
        routes: &[RouteShape],
    ) -> Result<(), RegistryError> {
        self.configure_accounts(version, routes, None).await
    }

    /// Sets a configuration with client accounts. It is sent again where no quorum took it
    /// in time, as setting the same configuration twice is accepted.
    pub async fn configure_accounts(
        &self,
        version: u64,
        routes: &[RouteShape],
        accounts: Option<AccountList>,
    ) -> Result<(), RegistryError> {
        let plain = ServiceSpec {
            max_connections: 99,
            warm_up: None,
            engine: None,
        };
        let configuration = Configuration {
            version,
            routes: routes.iter().map(RouteShape::spec).collect(),
            services: BTreeMap::from([
                (ServiceName::from("plain"), plain.clone()),
                (ServiceName::from("other"), plain),
                (ServiceName::from("llm"), engine_service()),
            ]),
            accounts,
            ..Configuration::default()
        };
        let source = format!("{version} {}", routes.len()).into_bytes();
        let configure = async || {
            let sent = (configuration.clone(), source.clone());
            unless_no_quorum(self.registry.configure(sent.0, sent.1).await)
        };
        wait_for("a quorum", configure).await.map(|_| ())
    }

    /// Evacuates a data hall or opens it again, as an operator does.
    pub async fn set_hall(&self, hall: &str, standing: HallStanding) -> Result<(), RegistryError> {
        let set = async || {
            let hall = HallName::from(hall);
            unless_no_quorum(self.registry.set_hall(hall, standing).await)
        };
        wait_for("a quorum", set).await
    }

    pub async fn configuration_read(&self) -> u64 {
        let read = async || unless_no_quorum(self.registry.configuration().await);
        let record = wait_for("a quorum", read).await.unwrap();
        record.unwrap().version
    }

    /// Returns the client accounts as the control host reports them to operators.
    pub async fn account_statuses(&self) -> Vec<AccountStatus> {
        let call =
            |client: ControlWireClient, context| async move { client.accounts(context).await };
        self.link
            .call_leader("accounts", MAX_WAIT, call)
            .await
            .unwrap()
    }

    /// Returns the contents that crashed replicas, as the control host reports them to
    /// operators.
    pub async fn contents(&self) -> CrashStore {
        let call =
            |client: ControlWireClient, context| async move { client.contents(context).await };
        self.link
            .call_leader("contents", MAX_WAIT, call)
            .await
            .unwrap()
    }

    /// Returns the prompt parts that ran when replicas crashed, as the control host reports them
    /// to operators.
    pub async fn parts(&self) -> PartStore {
        let call = |client: ControlWireClient, context| async move { client.parts(context).await };
        self.link
            .call_leader("parts", MAX_WAIT, call)
            .await
            .unwrap()
    }

    /// Reports the crash of an unrelated replica as a prompt part began there.
    pub async fn report_part_crash(&self, part: ContentDigest, crash: u64) {
        let report = PartCrashReport {
            replica: ReplicaIncarnation {
                id: ReplicaId::from("elsewhere"),
                started_ms: crash,
            },
            parts: BTreeMap::from([(part, false)]),
        };
        let call = |client: ControlWireClient, context| {
            let command = Command::PartsCrashed(report.clone());
            async move { client.propose(context, command).await }
        };
        self.link
            .call_leader("crash", MAX_WAIT, call)
            .await
            .unwrap();
    }

    /// Lifts the quarantine of a content or prompt part. Returns whether it was quarantined.
    pub async fn lift(&self, content: ContentDigest) -> bool {
        let call = |client: ControlWireClient, context| async move {
            client
                .propose(context, Command::ContentLifted(content))
                .await
        };
        let (_, reply) = self.link.call_leader("lift", MAX_WAIT, call).await.unwrap();
        reply == Reply::Lifted(true)
    }

    /// Starts a replica and waits until the first entry knows it.
    pub async fn add_replica(&mut self, name: &str, script: Vec<Behaviour>) {
        self.add("plain", name, BTreeMap::new(), script).await;
    }

    /// Starts a replica that runs a software version and waits until the first entry knows it.
    pub async fn add_versioned_replica(
        &mut self,
        name: &str,
        version: &str,
        script: Vec<Behaviour>,
    ) {
        self.add_replica_of("plain", name, version, script).await;
    }

    /// Starts a replica of a service that runs a software version and waits until the first entry
    /// knows it.
    pub async fn add_replica_of(
        &mut self,
        service: &str,
        name: &str,
        version: &str,
        script: Vec<Behaviour>,
    ) {
        let record = ReplicaRecord {
            slots: 8,
            started_ms: FIRST_START_MS,
            ..ready_replica(name, service)
        };
        self.register(record, version, script).await;
        self.replicas[name].1.borrow_mut().started_ms = FIRST_START_MS;
    }

    /// Restarts a replica under its id and address, without a heartbeat: the log still has the
    /// incarnation before.
    pub fn restart_unnoticed(&self, name: &str, script: Vec<Behaviour>) {
        let mut state = self.replicas[name].1.borrow_mut();
        state.started_ms += 1;
        state.script = script.into();
        state.restarted.notify_waiters();
    }

    /// A replica answers no requests for reports of itself from now on.
    pub fn withhold_reports(&self, name: &str) {
        self.replicas[name].1.borrow_mut().withholds_reports = true;
    }

    /// Returns how many requests a replica ran under `RunAfterCopy`.
    pub fn copied_runs(&self, name: &str) -> usize {
        self.replicas[name].1.borrow().copied_runs
    }

    /// A replica answers the request before on a connection once more, with this body, before it
    /// answers one for a report of itself.
    pub fn copy_before_report(&self, name: &str, body: &'static str) {
        self.replicas[name].1.borrow_mut().copy_before_report = Some(body);
    }

    /// Returns how many connections a replica accepted.
    pub fn opened(&self, name: &str) -> usize {
        self.replicas[name].1.borrow().opened
    }

    /// Returns how often a replica was asked for a report of itself.
    pub fn reports(&self, name: &str) -> usize {
        self.replicas[name].1.borrow().reports
    }

    /// Waits until an entry knows a replica.
    pub async fn known_at(&self, entry: usize, name: &str) {
        wait_for("the entry to know the replica", async || {
            let known = self.entries[entry].knows(&ReplicaId::from(name));
            known.then_some(())
        })
        .await;
    }

    /// Starts a replica that holds a model and responds with one event.
    pub async fn add_model_replica(&mut self, name: &str, model: &str) {
        let models = BTreeMap::from([(ModelName::from(model), Default::default())]);
        self.add("llm", name, models, vec![Behaviour::Events(1); 9])
            .await;
    }

    /// Starts a replica at this address that holds a model, with a script.
    pub async fn add_model_replica_at(
        &mut self,
        ip: Ipv4Addr,
        name: &str,
        model: &str,
        script: Vec<Behaviour>,
    ) {
        let models = BTreeMap::from([(ModelName::from(model), Default::default())]);
        self.add_at(ip, "llm", name, models, script).await;
    }

    async fn add(
        &mut self,
        service: &str,
        name: &str,
        models: BTreeMap<ModelName, BTreeSet<String>>,
        script: Vec<Behaviour>,
    ) {
        self.add_at(Ipv4Addr::LOCALHOST, service, name, models, script)
            .await;
    }

    async fn add_at(
        &mut self,
        ip: Ipv4Addr,
        service: &str,
        name: &str,
        models: BTreeMap<ModelName, BTreeSet<String>>,
        script: Vec<Behaviour>,
    ) {
        let record = ReplicaRecord {
            address: (ip, 0).into(),
            slots: 8,
            models,
            ..ready_replica(name, service)
        };
        self.register(record, SOFTWARE, script).await;
    }

    /// Starts a replica at a free port of the record's address.
    async fn register(&mut self, record: ReplicaRecord, version: &str, script: Vec<Behaviour>) {
        let IpAddr::V4(ip) = record.address.ip() else {
            panic!("replicas of these tests have IPv4 addresses");
        };
        let listener = small_listener(ip);
        let record = ReplicaRecord {
            address: listener.local_addr().unwrap(),
            ..record
        };
        let name = record.id.0.clone();
        let state = SharedReplica::default();
        state.borrow_mut().script = script.into();
        ntex::rt::spawn(serve_replica(listener, name.clone(), state.clone()));
        let heartbeat = ReplicaHeartbeat {
            record: record.clone(),
            version: Some(VersionName::from(version)),
        };
        // Heartbeats repeat, so one that no quorum took is simply sent again.
        wait_for("the entry to know the replica", async || {
            let _ = unless_no_quorum(self.registry.heartbeat(heartbeat.clone()).await)?;
            self.entries[0].knows(&record.id).then_some(())
        })
        .await;
        self.replicas.insert(name, (record, state));
    }

    /// Stops a replica from accepting connections until `open` is called. Returns the
    /// connections that fill its listener's backlog.
    pub async fn shut(&self, name: &str) -> Vec<TcpStream> {
        let (record, state) = &self.replicas[name];
        state.borrow_mut().shut = true;
        let mut waiting = Vec::new();
        loop {
            let opening = TcpStream::connect(record.address);
            match tokio::time::timeout(Duration::from_millis(200), opening).await {
                Ok(opened) => waiting.push(opened.unwrap()),
                Err(_) => return waiting,
            }
        }
    }

    pub fn open(&self, name: &str) {
        self.replicas[name].1.borrow_mut().shut = false;
    }

    /// Replaces a replica's script.
    pub fn set_script(&self, name: &str, script: Vec<Behaviour>) {
        self.replicas[name].1.borrow_mut().script = script.into();
    }

    pub fn seen(&self, name: &str) -> Vec<ReceivedRequest> {
        self.replicas[name].1.borrow().seen.clone()
    }

    /// Returns whether the entry closed a connection while the replica responded on it.
    pub fn closed(&self, name: &str) -> bool {
        self.replicas[name].1.borrow().closed
    }

    pub async fn drain(&self, name: &str) {
        let mut record = self.replicas[name].0.clone();
        record.phase = ReplicaPhase::Draining;
        let registered = async || unless_no_quorum(self.registry.heartbeat(record.clone()).await);
        wait_for("a quorum", registered).await.unwrap();
    }

    /// Stops the only control host, so that entries receive no newer state.
    pub async fn stop_control(&self) {
        self.control.stop().await;
    }

    pub async fn stop(&self) {
        self.entries[0].stop().await;
    }

    pub async fn send(&self, method: &str, target: &str, id: &str, body: &str) -> Response {
        let length = body.len();
        let text = format!(
            "{method} {target} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: {TIMEOUT_MS}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        self.send_raw(&text).await
    }

    /// Returns the number of requests that wait for capacity at the first entry.
    pub fn waiting(&self) -> usize {
        self.entries[0].waiting()
    }

    /// Reads the metrics of the first entry.
    pub async fn metrics(&self) -> String {
        let mut stream = TcpStream::connect(self.entries[0].watch).await.unwrap();
        let text = "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        stream.write_all(text.as_bytes()).await.unwrap();
        let mut bytes = Vec::new();
        let _ = stream.read_to_end(&mut bytes).await;
        decode_response(&bytes).body
    }

    /// Sends a POST request to the given entry.
    pub async fn send_at(&self, entry: usize, target: &str, id: &str, body: &str) -> Response {
        let length = body.len();
        let text = format!(
            "POST {target} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: {TIMEOUT_MS}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        self.send_raw_at(entry, &text).await
    }

    /// Sends a request for a stream to the given entry and reads the response until `count` events
    /// are complete. Returns the events and disconnects.
    pub async fn begin_stream(&self, entry: usize, target: &str, id: &str, count: u32) -> String {
        let text = format!(
            "POST {target} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: {TIMEOUT_MS}\r\nContent-Length: 0\r\n\r\n"
        );
        let mut stream = TcpStream::connect(self.entries[entry].address)
            .await
            .unwrap();
        stream.write_all(text.as_bytes()).await.unwrap();
        let mut bytes = Vec::new();
        loop {
            assert!(stream.read_buf(&mut bytes).await.unwrap() > 0, "{id} ended");
            let is_head_whole = head::parse_response(&bytes, "GET").unwrap().is_some();
            if is_head_whole {
                let body = decode_response(&bytes).body;
                if body.matches("\n\n").count() >= count as usize {
                    return body;
                }
            }
        }
    }

    /// Sends a request to the given entry that takes up the stream which the client's attempt
    /// `resumes` began, after the event `last`.
    pub async fn send_take_up(
        &self,
        entry: usize,
        target: &str,
        id: &str,
        resumes: &str,
        last: u32,
    ) -> Response {
        let text = format!(
            "POST {target} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\n\
             Resumes: {resumes}\r\nLast-Event: {last}\r\nDeadline-Ms: {TIMEOUT_MS}\r\n\
             Connection: close\r\nContent-Length: 0\r\n\r\n"
        );
        self.send_raw_at(entry, &text).await
    }

    /// Sends a GET request with an API key and more header lines.
    pub async fn send_as(&self, target: &str, id: &str, key: &str, more: &str) -> Response {
        let text = format!(
            "GET {target} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: {TIMEOUT_MS}\r\nConnection: close\r\nAuthorization: Bearer {key}\r\n{more}\r\n"
        );
        self.send_raw(&text).await
    }

    /// Sends bytes on a new connection and reads one response.
    pub async fn send_raw(&self, text: &str) -> Response {
        self.send_raw_at(0, text).await
    }

    async fn send_raw_at(&self, entry: usize, text: &str) -> Response {
        let mut stream = TcpStream::connect(self.entries[entry].address)
            .await
            .unwrap();
        let _ = stream.write_all(text.as_bytes()).await;
        let mut bytes = Vec::new();
        let _ = stream.read_to_end(&mut bytes).await;
        decode_response(&bytes)
    }

    /// Sends bytes on a new connection. Returns all bytes that came back, and whether the connection
    /// was closed rather than reset.
    pub async fn send_for_bytes(&self, text: &str) -> (String, bool) {
        let mut stream = TcpStream::connect(self.entries[0].address).await.unwrap();
        stream.write_all(text.as_bytes()).await.unwrap();
        let mut bytes = Vec::new();
        let ended = stream.read_to_end(&mut bytes).await;
        (String::from_utf8(bytes).unwrap(), ended.is_ok())
    }

    /// Like [`Self::send_for_bytes`], with bytes that follow once the first have been read.
    pub async fn send_in_two(&self, first: &str, second: &str) -> (String, bool) {
        let mut stream = TcpStream::connect(self.entries[0].address).await.unwrap();
        stream.write_all(first.as_bytes()).await.unwrap();
        tokio::time::sleep(Duration::from_millis(100)).await;
        stream.write_all(second.as_bytes()).await.unwrap();
        let mut bytes = Vec::new();
        let ended = stream.read_to_end(&mut bytes).await;
        (String::from_utf8(bytes).unwrap(), ended.is_ok())
    }

    /// Sends bytes on a new connection and further ones once a condition holds. Returns all bytes that
    /// came back.
    pub async fn send_rest_when(
        &self,
        first: &str,
        condition: impl AsyncFnMut() -> Option<()>,
        rest: &str,
    ) -> String {
        let mut stream = TcpStream::connect(self.entries[0].address).await.unwrap();
        stream.write_all(first.as_bytes()).await.unwrap();
        wait_for("the condition before the rest", condition).await;
        let _ = stream.write_all(rest.as_bytes()).await;
        let mut bytes = Vec::new();
        let _ = stream.read_to_end(&mut bytes).await;
        String::from_utf8(bytes).unwrap()
    }

    /// Whether the first entry accepts no more connections.
    pub async fn is_listener_closed(&self) -> bool {
        TcpStream::connect(self.entries[0].address).await.is_err()
    }

    /// Like [`Self::send_for_bytes`], but closes the client's direction once a condition holds.
    pub async fn half_close_when(
        &self,
        text: &str,
        condition: impl AsyncFnMut() -> Option<()>,
    ) -> String {
        let mut stream = TcpStream::connect(self.entries[0].address).await.unwrap();
        stream.write_all(text.as_bytes()).await.unwrap();
        wait_for("the condition before the half-close", condition).await;
        stream.shutdown().await.unwrap();
        let mut bytes = Vec::new();
        let _ = stream.read_to_end(&mut bytes).await;
        String::from_utf8(bytes).unwrap()
    }

    /// Opens a connection, sends nothing, and returns once the entry closes it.
    pub async fn silent_connection(&self) {
        let mut stream = TcpStream::connect(self.entries[0].address).await.unwrap();
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest).await;
    }

    /// Sends a request, waits for a condition, and disconnects without reading the response.
    pub async fn send_and_disconnect(
        &self,
        text: &str,
        waits_for: impl AsyncFnMut() -> Option<()>,
    ) {
        let mut stream = TcpStream::connect(self.entries[0].address).await.unwrap();
        stream.write_all(text.as_bytes()).await.unwrap();
        wait_for("the condition before the disconnect", waits_for).await;
    }

    /// Sends a request and reads nothing until a condition holds.
    pub async fn send_without_reading(&self, target: &str, until: impl AsyncFnMut() -> Option<()>) {
        let text = format!("GET {target} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: idle\r\n\r\n");
        self.send_and_disconnect(&text, until).await;
    }

    /// Sends a request, reads the first bytes of its response, and disconnects.
    pub async fn read_part_and_disconnect(&self, target: &str, id: &str) {
        let mut stream = TcpStream::connect(self.entries[0].address).await.unwrap();
        let text = format!("GET {target} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\n\r\n");
        stream.write_all(text.as_bytes()).await.unwrap();
        let mut first = [0; 16];
        stream.read_exact(&mut first).await.unwrap();
    }
}

fn decode_response(bytes: &[u8]) -> Response {
    let parsed = head::parse_response(bytes, "GET").unwrap();
    let (head, len) = parsed.expect("a complete response head");
    let rest = &bytes[len..];
    let (body, complete) = match head.framing {
        Framing::Length(length) => (rest.to_vec(), rest.len() as u64 == length),
        Framing::Chunked => {
            let mut decoder = ChunkDecoder::default();
            let mut body = Vec::new();
            decoder.decode(rest, &mut body).unwrap();
            (body, decoder.is_done())
        }
        Framing::Close => (rest.to_vec(), true),
    };
    Response {
        status: head.status,
        headers: head.headers,
        body: String::from_utf8(body).unwrap(),
        complete,
    }
}

/// Returns a listener with a backlog small enough for a test to fill.
fn small_listener(ip: Ipv4Addr) -> TcpListener {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind((ip, 0).into()).unwrap();
    socket.listen(64).unwrap()
}

async fn serve_replica(listener: TcpListener, name: String, state: SharedReplica) {
    let ending = state.borrow().ending.clone();
    loop {
        while state.borrow().shut {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = ending.notified() => break,
        };
        let Ok((stream, _)) = accepted else {
            return;
        };
        ntex::rt::spawn(serve_connection(stream, name.clone(), state.clone()));
    }
    drop(listener);
    state.borrow_mut().has_ended = true;
}

async fn serve_connection(mut stream: TcpStream, name: String, state: SharedReplica) {
    let mut buffer = Vec::new();
    state.borrow_mut().opened += 1;
    let restarted = state.borrow().restarted.clone();
    let mut previous: Option<String> = None;
    loop {
        let seen = tokio::select! {
            seen = read_request(&mut stream, &mut buffer) => seen,
            () = restarted.notified() => return,
        };
        let Some(seen) = seen else {
            return;
        };
        if seen.target == "/self" {
            state.borrow_mut().reports += 1;
            if state.borrow().withholds_reports {
                continue;
            }
            let copied = state.borrow().copy_before_report;
            if let (Some(body), Some(before)) = (copied, &previous) {
                let copy = full_response(200, &name, before, body, "");
                let _ = stream.write_all(copy.as_bytes()).await;
            }
            if state.borrow().is_replaced {
                let refusal = full_response(421, &name, "", "", "Not-Executed: 1\r\n");
                let _ = stream.write_all(refusal.as_bytes()).await;
                continue;
            }
            let started_ms = state.borrow().started_ms.to_string();
            let report = full_response(200, &name, "", &started_ms, "");
            let _ = stream.write_all(report.as_bytes()).await;
            continue;
        }
        let id = seen.header("request-id").unwrap_or_default().to_owned();
        let last = seen
            .header("last-event")
            .and_then(|id| id.parse().ok())
            .unwrap_or(0);
        state.borrow_mut().seen.push(seen);
        let next = state.borrow_mut().script.pop_front();
        let behaviour = next.unwrap_or(Behaviour::Response(200, "unscripted"));
        let before = previous.replace(id.clone());
        if let (Behaviour::RunAfterCopy(_), Some(before)) = (behaviour, before) {
            let copy = refusal(&name, &before, "");
            let _ = stream.write_all(copy.as_bytes()).await;
            // Apart from the response due, as it was sent on its own.
            tokio::time::sleep(COPY_LEAD).await;
        }
        if !behave(&mut stream, behaviour, &name, &id, last, &state).await {
            return;
        }
    }
}

async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<ReceivedRequest> {
    loop {
        if let Some((head, len)) = head::parse_request(buffer).unwrap() {
            let Framing::Length(length) = head.framing else {
                panic!("an entry sent a request without Content-Length");
            };
            let end = len + length as usize;
            if buffer.len() >= end {
                let body = String::from_utf8(buffer[len..end].to_vec()).unwrap();
                buffer.drain(..end);
                return Some(ReceivedRequest {
                    at: Instant::now(),
                    method: head.method,
                    target: head.target,
                    headers: head.headers,
                    body,
                });
            }
        }
        if stream.read_buf(buffer).await.unwrap_or(0) == 0 {
            return None;
        }
    }
}

fn full_response(status: u16, name: &str, id: &str, body: &str, extra: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} Any\r\nRequest-Id: {id}\r\nStamp: {name}\r\nX-Other: kept\r\n\
         {extra}Content-Length: {length}\r\n\r\n{body}"
    )
}

fn refusal(name: &str, id: &str, line: &str) -> String {
    full_response(503, name, id, "", &format!("Not-Executed: 1\r\n{line}"))
}

fn event_chunks(from: u32, to: u32) -> String {
    let event = |number: u32| {
        let text = format!("id: {number}\ndata: {number}\n\n");
        format!("{:x}\r\n{text}\r\n", text.len())
    };
    (from..=to).map(event).collect()
}

/// Sends events until a write fails.
async fn flood(stream: &mut TcpStream, head: &str) -> bool {
    let mut written = stream.write_all(head.as_bytes()).await;
    let mut number = 1;
    while written.is_ok() {
        let text = event_chunks(number, number + 99);
        written = stream.write_all(text.as_bytes()).await;
        number += 100;
    }
    true
}

/// Sends a text, then another one again and again until a write fails.
async fn repeat(stream: &mut TcpStream, begin: &str, unit: &str) -> bool {
    let block = unit.repeat(4096 / unit.len());
    let mut written = stream.write_all(begin.as_bytes()).await;
    while written.is_ok() {
        written = stream.write_all(block.as_bytes()).await;
    }
    true
}

/// Ends a response. Returns whether the connection stays open.
async fn end_wire(stream: &mut TcpStream, end: WireEnd, state: &SharedReplica) -> bool {
    match end {
        WireEnd::Keep => return true,
        WireEnd::Close => {}
        WireEnd::Reset => SockRef::from(&*stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap(),
        WireEnd::End => {
            state.borrow().ending.notify_one();
            let has_ended = async || state.borrow().has_ended.then_some(());
            wait_for("the end of the replica", has_ended).await;
        }
        WireEnd::Restart => state.borrow_mut().started_ms += 1,
        WireEnd::Replace => state.borrow_mut().is_replaced = true,
        WireEnd::HalfClose => {
            let _ = stream.shutdown().await;
            let mut probe = [0; 1];
            let left = stream.read(&mut probe).await.unwrap_or(0) == 0;
            state.borrow_mut().closed = left;
        }
    }
    false
}

/// Sends the scripted response. Returns whether the connection stays open.
async fn behave(
    stream: &mut TcpStream,
    behaviour: Behaviour,
    name: &str,
    id: &str,
    last: u32,
    state: &SharedReplica,
) -> bool {
    let stream_head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nStamp: {name}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let text = match behaviour {
        Behaviour::Response(status, body) => full_response(status, name, id, body, ""),
        Behaviour::Slow(millis, body) => {
            tokio::time::sleep(Duration::from_millis(millis)).await;
            full_response(200, name, id, body, "")
        }
        Behaviour::Unsigned => {
            format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: 2\r\n\r\nhi")
        }
        Behaviour::NotExecuted => refusal(name, id, ""),
        Behaviour::RunAfterCopy(body) => {
            state.borrow_mut().copied_runs += 1;
            full_response(200, name, id, body, "")
        }
        Behaviour::Refuse(line) => refusal(name, id, line),
        Behaviour::RefuseLater(millis, line) => {
            tokio::time::sleep(Duration::from_millis(millis)).await;
            refusal(name, id, line)
        }
        Behaviour::Headed(status, line) => full_response(status, name, id, "well", line),
        Behaviour::DrainingSurplus => {
            full_response(200, name, "another", "not yours", DRAINING)
                + &full_response(200, name, id, "yours", "")
        }
        Behaviour::DrainingStream(count) => {
            let head = stream_head.replacen("\r\n", &format!("\r\n{DRAINING}"), 1);
            head + &event_chunks(last + 1, count) + "0\r\n\r\n"
        }
        Behaviour::Close => return false,
        Behaviour::SurplusFirst(body) => {
            let surplus = full_response(200, name, "another", "not yours", "");
            surplus + &full_response(200, name, id, body, "")
        }
        Behaviour::SurplusAfter(body) => {
            full_response(200, name, id, body, "") + &full_response(200, name, id, "again", "")
        }
        Behaviour::CutBody => {
            format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nStamp: {name}\r\nContent-Length: 9\r\n\r\nhalf"
            )
        }
        Behaviour::CutStream(count) => stream_head + &event_chunks(1, count) + "6\r\nid: 9\n\r\n",
        Behaviour::Events(count) => stream_head + &event_chunks(last + 1, count) + "0\r\n\r\n",
        Behaviour::Flood => {
            state.borrow_mut().closed = flood(stream, &stream_head).await;
            return false;
        }
        Behaviour::Endless(begin, unit) => {
            let begin = begin.replace("ID", id);
            state.borrow_mut().closed = repeat(stream, &begin, unit).await;
            return false;
        }
        Behaviour::HangAfter(count) => stream_head + &event_chunks(1, count),
        Behaviour::Wire(head, body, _) => {
            format!("{head}Request-Id: {id}\r\nStamp: {name}\r\n\r\n{body}")
        }
    };
    let _ = stream.write_all(text.as_bytes()).await;
    match behaviour {
        Behaviour::Wire(_, _, end) => end_wire(stream, end, state).await,
        Behaviour::CutBody | Behaviour::CutStream(_) => false,
        Behaviour::HangAfter(_) => {
            let mut probe = [0; 1];
            let left = stream.read(&mut probe).await.unwrap_or(0) == 0;
            state.borrow_mut().closed = left;
            false
        }
        _ => true,
    }
}
