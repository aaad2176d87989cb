//! One control host, one entry, and replicas that follow a script.

pub mod mortal;
#[path = "../../support_names/mod.rs"]
mod support_names;
#[path = "../../support_replicas/mod.rs"]
mod support_replicas;
#[path = "../../support_spans/mod.rs"]
pub mod support_spans;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dunlinspring::consensus::crashes::CrashStore;
use dunlinspring::consensus::directory::{ReplicaPhase, ReplicaRecord};
use dunlinspring::consensus::raft::RaftTiming;
use dunlinspring::consensus::state::{Command, HallStanding, Reply};
use dunlinspring::control::bootstrap;
use dunlinspring::control::registry::{LogAccess, Registry, RegistryError};
use dunlinspring::control::shell::ControlDaemon;
use dunlinspring::forward::chunked::ChunkDecoder;
use dunlinspring::forward::daemon::{ForwardDaemon, ForwardSettings};
use dunlinspring::forward::head::{self, Framing, Header};
use dunlinspring::ids::{ContentDigest, HallName, HostName, ModelName, ReplicaId, ServiceName};
use dunlinspring::process::peers::{ControlLink, SiteSecret};
use dunlinspring::process::settings::{CommonSettings, ControlSettings, VoterSettings};
use dunlinspring::process::wire::{AccountStatus, ControlWireClient};
use dunlinspring::table::accounts::AccountList;
use dunlinspring::table::configuration::{
    Configuration, EngineModel, EngineSpec, RouteKind, RouteSpec, ServiceSpec,
};
use mortal::MortalReplica;
use support_names::NAMES;
use support_replicas::ready_replica;
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// What a replica that leaves says in its heads.
pub const LEAVING: &str = "Leaving: 1\r\n";

/// Longest wait for a condition that must come; reaching it is a failure.
const PATIENCE: Duration = Duration::from_secs(60);

/// Time of a request on every route, in milliseconds.
pub const TIMEOUT_MS: u64 = 20_000;

/// Time for a connection to a replica: longer than a kernel takes to ask a full listener
/// again.
const CONNECT_MS: u64 = 10_000;

/// Time in which a client takes nothing before it is cut.
const STALL_MS: u64 = 300;

/// A route of the test's service.
#[derive(Clone, Copy)]
pub struct RouteShape {
    prefix: &'static str,
    kind: RouteKind,
    resumable: bool,
    public: bool,
    service: &'static str,
}

impl RouteShape {
    /// Streams of a model; its engines load it within 100 ms.
    pub const fn model(prefix: &'static str) -> Self {
        Self {
            prefix,
            kind: RouteKind::Streaming,
            resumable: false,
            public: false,
            service: "llm",
        }
    }

    pub const fn plain(prefix: &'static str) -> Self {
        Self {
            prefix,
            kind: RouteKind::Safe,
            resumable: false,
            public: false,
            service: "plain",
        }
    }

    /// A plain route for which nobody needs a key.
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
            service: "plain",
        }
    }

    pub const fn stream(prefix: &'static str, resumable: bool) -> Self {
        Self {
            prefix,
            kind: RouteKind::Streaming,
            resumable,
            public: false,
            service: "plain",
        }
    }

    fn spec(&self) -> RouteSpec {
        RouteSpec {
            name: self.prefix.to_owned(),
            host: "h.example".to_owned(),
            prefix: self.prefix.to_owned(),
            kind: self.kind,
            timeout_ms: TIMEOUT_MS,
            latency_goal_ms: 800,
            max_event_gap_ms: 400,
            priority: 1,
            attempts: 3,
            resumable: self.resumable,
            public: self.public,
            regions: BTreeSet::new(),
            split: vec![(ServiceName::from(self.service), 1)],
        }
    }
}

/// What a replica does with one request.
#[derive(Clone, Copy, Debug)]
pub enum Behaviour {
    /// Answers, signed.
    Answer(u16, &'static str),
    /// Answers after so many milliseconds.
    Slow(u64, &'static str),
    /// Answers a success without a signature.
    Unsigned,
    /// Says that it did not run it.
    NotExecuted,
    /// The same, with a line of the head.
    Refuse(&'static str),
    /// The same after so many milliseconds.
    RefuseLater(u64, &'static str),
    /// Answers by a status, with a line of the head.
    Headed(u16, &'static str),
    /// Says that it leaves in the answer to another request, and answers.
    LeavingSurplus,
    /// Sends so many events of a stream under a head that says that it leaves.
    LeavingStream(u32),
    /// Closes without an answer.
    Close,
    /// Sends another request's answer first.
    SurplusFirst(&'static str),
    /// Sends another answer after the due one.
    SurplusAfter(&'static str),
    /// Closes within the body.
    CutBody,
    /// Sends so many events and a part of the next one, then closes.
    CutStream(u32),
    /// Sends events up to this one, from the one after the caller's last.
    Events(u32),
    /// A stream without an end, as fast as it is taken.
    Flood,
    /// Sends so many events, and nothing more.
    HangAfter(u32),
}

/// A request as a replica saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: Instant,
    pub method: String,
    pub target: String,
    pub headers: Vec<Header>,
    pub body: String,
}

impl Seen {
    pub fn header(&self, name: &str) -> Option<&str> {
        head::find(&self.headers, name)
    }
}

/// An answer as a client saw it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<Header>,
    pub body: String,
    /// Its end came in the protocol.
    pub whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        head::find(&self.headers, name)
    }
}

#[derive(Default)]
struct ReplicaState {
    script: VecDeque<Behaviour>,
    seen: Vec<Seen>,
    closed: bool,
    /// It accepts no connections for now.
    shut: bool,
}

type SharedReplica = Rc<RefCell<ReplicaState>>;

pub struct ForwardSite {
    _folder: TempDir,
    control: ControlDaemon,
    registry: Rc<Registry>,
    link: Arc<ControlLink>,
    settings: ForwardSettings,
    entries: Vec<ForwardDaemon>,
    mortals: Vec<Rc<MortalReplica>>,
    replicas: BTreeMap<String, (ReplicaRecord, SharedReplica)>,
}

pub async fn answered<T>(what: &str, mut look: impl AsyncFnMut() -> Option<T>) -> T {
    let give_up = Instant::now() + PATIENCE;
    loop {
        if let Some(found) = look().await {
            return found;
        }
        assert!(Instant::now() < give_up, "waited in vain for {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Nothing where no quorum took a call in time, as on a host whose disk is busy.
fn past_quorum<T>(called: Result<T, RegistryError>) -> Option<Result<T, RegistryError>> {
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
        fleet: Default::default(),
        site: Default::default(),
    };
    bootstrap::bootstrap(&settings).unwrap();
    let control = ControlDaemon::start_on(listener, settings, secret())
        .await
        .unwrap();
    (control, address)
}

fn secret() -> SiteSecret {
    SiteSecret::new("a secret of these tests")
}

impl ForwardSite {
    pub async fn start(routes: &[RouteShape]) -> Self {
        let site = Self::start_bare().await;
        let configured = async || site.configure(1, routes).await.ok();
        answered("a leader", configured).await;
        let known = async || {
            let answer = site.ask("GET", "/no-route/", "probe", "").await;
            (answer.status == 404).then_some(())
        };
        answered("the configuration", known).await;
        site
    }

    /// A site without a configuration.
    pub async fn start_bare() -> Self {
        let patience_ms = PATIENCE.as_millis() as u64;
        Self::start_waiting(patience_ms, patience_ms).await
    }

    /// A site whose entry obeys keys by word of so many milliseconds at most. Requests wait
    /// a second for newer word.
    pub async fn start_bounded(authority_ms: u64) -> Self {
        Self::start_waiting(authority_ms, 1_000).await
    }

    async fn start_waiting(authority_ms: u64, config_wait_ms: u64) -> Self {
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
            choice: Default::default(),
            resend: Default::default(),
            connect_ms: CONNECT_MS,
            stale_ms: 60_000,
            authority_ms,
            config_wait_ms,
            stall_ms: STALL_MS,
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
            mortals: Vec::new(),
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

    /// How many entries there are.
    pub fn entries(&self) -> usize {
        self.entries.len()
    }

    /// Starts a further entry, and waits until it has the configuration.
    pub async fn add_entry(&mut self) -> usize {
        let entry = self.start_entry().await;
        answered("the configuration at a further entry", async || {
            let answer = self.ask_at(entry, "/no-route/", "probe", "").await;
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

    /// A configuration with client accounts. Without a quorum it is sent again: what was
    /// taken before is taken once more.
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
                (ServiceName::from("plain"), plain),
                (ServiceName::from("llm"), engine_service()),
            ]),
            accounts,
            ..Configuration::default()
        };
        let source = format!("{version} {}", routes.len()).into_bytes();
        let configure = async || {
            let sent = (configuration.clone(), source.clone());
            past_quorum(self.registry.configure(sent.0, sent.1).await)
        };
        answered("a quorum", configure).await.map(|_| ())
    }

    /// An operator's word on a data hall.
    pub async fn set_hall(&self, hall: &str, standing: HallStanding) -> Result<(), RegistryError> {
        let set = async || {
            let hall = HallName::from(hall);
            past_quorum(self.registry.set_hall(hall, standing).await)
        };
        answered("a quorum", set).await
    }

    pub async fn configuration_read(&self) -> u64 {
        let read = async || past_quorum(self.registry.configuration().await);
        let record = answered("a quorum", read).await.unwrap();
        record.unwrap().configuration.version
    }

    /// The client accounts, as operators are told of them.
    pub async fn account_statuses(&self) -> Vec<AccountStatus> {
        let call =
            |client: ControlWireClient, context| async move { client.accounts(context).await };
        self.link
            .call_leader("accounts", PATIENCE, call)
            .await
            .unwrap()
    }

    /// The contents under which replicas ended, as operators are told of them.
    pub async fn contents(&self) -> CrashStore {
        let call =
            |client: ControlWireClient, context| async move { client.contents(context).await };
        self.link
            .call_leader("contents", PATIENCE, call)
            .await
            .unwrap()
    }

    /// Lets a content be tried again. Returns whether it was barred.
    pub async fn lift(&self, content: ContentDigest) -> bool {
        let call = |client: ControlWireClient, context| async move {
            client
                .propose(context, Command::ContentLifted(content))
                .await
        };
        let (_, reply) = self.link.call_leader("lift", PATIENCE, call).await.unwrap();
        reply == Reply::Lifted(true)
    }

    /// Starts a replica, and waits until the entry sends to it.
    pub async fn add_replica(&mut self, name: &str, script: Vec<Behaviour>) {
        self.add("plain", name, BTreeMap::new(), script).await;
    }

    /// Starts a replica that holds a model and answers by one event.
    pub async fn add_model_replica(&mut self, name: &str, model: &str) {
        let models = BTreeMap::from([(ModelName::from(model), Default::default())]);
        self.add("llm", name, models, vec![Behaviour::Events(1); 9])
            .await;
    }

    async fn add(
        &mut self,
        service: &str,
        name: &str,
        models: BTreeMap<ModelName, BTreeSet<String>>,
        script: Vec<Behaviour>,
    ) {
        let listener = small_listener();
        let record = ReplicaRecord {
            address: listener.local_addr().unwrap(),
            slots: 8,
            models,
            ..ready_replica(name, service)
        };
        let state = SharedReplica::default();
        state.borrow_mut().script = script.into();
        ntex::rt::spawn(serve_replica(listener, name.to_owned(), state.clone()));
        // Heartbeats come again and again: one that met no quorum changes nothing.
        answered("the entry to know the replica", async || {
            let _ = past_quorum(self.registry.heartbeat(record.clone()).await)?;
            self.entries[0].knows(&ReplicaId::from(name)).then_some(())
        })
        .await;
        self.replicas.insert(name.to_owned(), (record, state));
    }

    /// Has a replica accept no new connections, until it is opened again. Returns once its
    /// listener is full.
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

    pub fn seen(&self, name: &str) -> Vec<Seen> {
        self.replicas[name].1.borrow().seen.clone()
    }

    /// Whether a connection was closed while the replica was at work on it.
    pub fn closed(&self, name: &str) -> bool {
        self.replicas[name].1.borrow().closed
    }

    pub async fn drain(&self, name: &str) {
        let mut record = self.replicas[name].0.clone();
        record.phase = ReplicaPhase::Draining;
        let told = async || past_quorum(self.registry.heartbeat(record.clone()).await);
        answered("a quorum", told).await.unwrap();
    }

    /// Ends the one control host: nothing newer is heard from then on.
    pub async fn stop_control(&self) {
        self.control.stop().await;
    }

    pub async fn stop(&self) {
        self.entries[0].stop().await;
    }

    pub async fn ask(&self, method: &str, target: &str, id: &str, body: &str) -> Answer {
        let length = body.len();
        let text = format!(
            "{method} {target} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: {TIMEOUT_MS}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        self.send_raw(&text).await
    }

    /// Posts to one of the entries.
    pub async fn ask_at(&self, entry: usize, target: &str, id: &str, body: &str) -> Answer {
        let length = body.len();
        let text = format!(
            "POST {target} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: {TIMEOUT_MS}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        self.send_raw_at(entry, &text).await
    }

    /// Asks with a key, and with more lines of a head.
    pub async fn ask_as(&self, target: &str, id: &str, key: &str, more: &str) -> Answer {
        let text = format!(
            "GET {target} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: {TIMEOUT_MS}\r\nConnection: close\r\nAuthorization: Bearer {key}\r\n{more}\r\n"
        );
        self.send_raw(&text).await
    }

    /// Sends bytes on a connection of their own, and reads one answer.
    pub async fn send_raw(&self, text: &str) -> Answer {
        self.send_raw_at(0, text).await
    }

    async fn send_raw_at(&self, entry: usize, text: &str) -> Answer {
        let mut stream = TcpStream::connect(self.entries[entry].address)
            .await
            .unwrap();
        let _ = stream.write_all(text.as_bytes()).await;
        let mut bytes = Vec::new();
        let _ = stream.read_to_end(&mut bytes).await;
        parse_answer(&bytes)
    }

    /// Opens a connection, sends nothing, and returns when it is closed.
    pub async fn silent_connection(&self) {
        let mut stream = TcpStream::connect(self.entries[0].address).await.unwrap();
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest).await;
    }

    /// Sends a request, waits for something, and leaves without an answer.
    pub async fn send_and_leave(&self, text: &str, waits_for: impl AsyncFnMut() -> Option<()>) {
        let mut stream = TcpStream::connect(self.entries[0].address).await.unwrap();
        stream.write_all(text.as_bytes()).await.unwrap();
        answered("what is waited for", waits_for).await;
    }

    /// Sends a request and reads nothing, until something has come about.
    pub async fn ask_without_reading(&self, target: &str, until: impl AsyncFnMut() -> Option<()>) {
        let text = format!("GET {target} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: idle\r\n\r\n");
        self.send_and_leave(&text, until).await;
    }

    /// Sends a request, reads a first part of its answer, and leaves.
    pub async fn ask_and_leave(&self, target: &str, id: &str) {
        let mut stream = TcpStream::connect(self.entries[0].address).await.unwrap();
        let text = format!("GET {target} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\n\r\n");
        stream.write_all(text.as_bytes()).await.unwrap();
        let mut first = [0; 16];
        stream.read_exact(&mut first).await.unwrap();
    }
}

fn parse_answer(bytes: &[u8]) -> Answer {
    let parsed = head::parse_response(bytes, "GET").unwrap();
    let (head, len) = parsed.expect("a whole head");
    let rest = &bytes[len..];
    let (body, whole) = match head.framing {
        Framing::Length(length) => (rest.to_vec(), rest.len() as u64 == length),
        Framing::Chunked => {
            let mut decoder = ChunkDecoder::default();
            let mut body = Vec::new();
            decoder.decode(rest, &mut body).unwrap();
            (body, decoder.is_done())
        }
        Framing::Close => (rest.to_vec(), true),
    };
    Answer {
        status: head.status,
        headers: head.headers,
        body: String::from_utf8(body).unwrap(),
        whole,
    }
}

/// A listener that is full with a few connections.
fn small_listener() -> TcpListener {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(loopback()).unwrap();
    socket.listen(64).unwrap()
}

async fn serve_replica(listener: TcpListener, name: String, state: SharedReplica) {
    loop {
        while state.borrow().shut {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let Ok((stream, _)) = listener.accept().await else {
            return;
        };
        ntex::rt::spawn(serve_connection(stream, name.clone(), state.clone()));
    }
}

async fn serve_connection(mut stream: TcpStream, name: String, state: SharedReplica) {
    let mut buffer = Vec::new();
    while let Some(seen) = read_request(&mut stream, &mut buffer).await {
        let id = seen.header("request-id").unwrap_or_default().to_owned();
        let last = seen
            .header("last-event")
            .and_then(|id| id.parse().ok())
            .unwrap_or(0);
        state.borrow_mut().seen.push(seen);
        let next = state.borrow_mut().script.pop_front();
        let behaviour = next.unwrap_or(Behaviour::Answer(200, "unscripted"));
        if !behave(&mut stream, behaviour, &name, &id, last, &state).await {
            return;
        }
    }
}

async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Seen> {
    loop {
        if let Some((head, len)) = head::parse_request(buffer).unwrap() {
            let Framing::Length(length) = head.framing else {
                panic!("an entry sends bodies with a length");
            };
            let end = len + length as usize;
            if buffer.len() >= end {
                let body = String::from_utf8(buffer[len..end].to_vec()).unwrap();
                buffer.drain(..end);
                return Some(Seen {
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

fn whole_answer(status: u16, name: &str, id: &str, body: &str, extra: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} Any\r\nRequest-Id: {id}\r\nStamp: {name}\r\nX-Other: kept\r\n\
         {extra}Content-Length: {length}\r\n\r\n{body}"
    )
}

fn refusal(name: &str, id: &str, line: &str) -> String {
    whole_answer(503, name, id, "", &format!("Not-Executed: 1\r\n{line}"))
}

fn event_chunks(from: u32, to: u32) -> String {
    let event = |number: u32| {
        let text = format!("id: {number}\ndata: {number}\n\n");
        format!("{:x}\r\n{text}\r\n", text.len())
    };
    (from..=to).map(event).collect()
}

/// Sends events without end. Returns once nobody takes them.
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

/// Returns whether the connection stays open.
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
        Behaviour::Answer(status, body) => whole_answer(status, name, id, body, ""),
        Behaviour::Slow(millis, body) => {
            tokio::time::sleep(Duration::from_millis(millis)).await;
            whole_answer(200, name, id, body, "")
        }
        Behaviour::Unsigned => {
            format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: 2\r\n\r\nhi")
        }
        Behaviour::NotExecuted => refusal(name, id, ""),
        Behaviour::Refuse(line) => refusal(name, id, line),
        Behaviour::RefuseLater(millis, line) => {
            tokio::time::sleep(Duration::from_millis(millis)).await;
            refusal(name, id, line)
        }
        Behaviour::Headed(status, line) => whole_answer(status, name, id, "well", line),
        Behaviour::LeavingSurplus => {
            whole_answer(200, name, "another", "not yours", LEAVING)
                + &whole_answer(200, name, id, "yours", "")
        }
        Behaviour::LeavingStream(count) => {
            let head = stream_head.replacen("\r\n", &format!("\r\n{LEAVING}"), 1);
            head + &event_chunks(last + 1, count) + "0\r\n\r\n"
        }
        Behaviour::Close => return false,
        Behaviour::SurplusFirst(body) => {
            let surplus = whole_answer(200, name, "another", "not yours", "");
            surplus + &whole_answer(200, name, id, body, "")
        }
        Behaviour::SurplusAfter(body) => {
            whole_answer(200, name, id, body, "") + &whole_answer(200, name, id, "again", "")
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
        Behaviour::HangAfter(count) => stream_head + &event_chunks(1, count),
    };
    let _ = stream.write_all(text.as_bytes()).await;
    match behaviour {
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
