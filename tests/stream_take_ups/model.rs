//! Seeded discrete-event model of a site whose service runs several software versions: the log, the
//! entries' copies of it, control hosts, replicas and clients that take broken streams up. Decisions
//! are those of the library; messages, time and processes are simulated.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use dunlinspring::consensus::directory::ReplicaRecord;
use dunlinspring::consensus::software_versions::SoftwareVersion;
use dunlinspring::consensus::state::{Command, SiteState, Stamped};
use dunlinspring::forward::locality::EntryLocation;
use dunlinspring::forward::need::{ChoicePolicy, Need};
use dunlinspring::forward::replica_table::{Choice, EngineBounds, ReplicaTable};
use dunlinspring::ids::{
    ModelName, Position, ReplicaId, ReplicaIncarnation, ServiceName, VersionName,
};
use dunlinspring::placement::version_settlement::VersionSettlement;
use dunlinspring::routing::route_changes::{self, RouteChanges};
use dunlinspring::routing::stream_origins::{
    ConnectionProof, EventBinding, EventSource, OriginMemory, OriginSearch, OriginSource,
    OriginStep, StartReport, StreamKey, StreamOrigin, TakeUpRefusal, bind_events, may_send,
    mixed_services, prove_connection, required_version,
};
use dunlinspring::routing::view::{SiteView, SyncPage, page_after};
use dunlinspring::table::configuration::{
    Configuration, ConfigurationRecord, RouteKind, RouteSpec, ServiceSpec,
};

use crate::support_replicas::ready_replica;

/// Maximum duration of a stream, in milliseconds.
pub const STREAM_MS: u64 = 5_000;
/// Time for which an entry looks an origin up, in milliseconds.
const SEARCH_MS: u64 = 1_500;
/// Timeout of one call to a control host, in milliseconds.
const CALL_MS: u64 = 1_000;
/// Delay before a failed call to the leader or a failed store is repeated, in milliseconds.
const RETRY_MS: u64 = 100;
/// Time after which an origin that could not be stored is dropped, in milliseconds.
const STORE_MS: u64 = 5_000;
/// Delay before control hosts are asked again, in milliseconds.
const ASK_AGAIN_MS: u64 = 60;
/// Longest wait for the replies of control hosts that are asked before the leader, in milliseconds.
const ASK_TIMEOUT_MS: u64 = 200;
/// Number of times that control hosts are asked.
const MAX_ASKS: u32 = 3;
/// Number of replicas that one request is sent to.
const MAX_TRIES: u32 = 3;
/// Interval at which entries fetch the log, in milliseconds.
const SYNC_MS: u64 = 500;
/// Longest wait for the proof that a connection leads to the expected incarnation, in milliseconds.
const PROOF_MS: u64 = 1_000;
/// Interval at which an attempt looks for that proof, in milliseconds.
const PROOF_CHECK_MS: u64 = 5;
/// Percentage of attempts that use a kept connection, if there is one.
const KEPT_PERCENT: u64 = 70;
/// Number of times that a client comes back with one stream.
const MAX_RETURNS: u32 = 4;

/// Random numbers of a play, by SplitMix64.
#[derive(Clone, Debug)]
pub struct Draw(pub u64);

impl Draw {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Draws a number from `from` to `to`, both included.
    pub fn range(&mut self, from: u64, to: u64) -> u64 {
        from + self.next() % (to - from + 1)
    }

    /// Draws whether something that happens in `percent` of cases happens.
    pub fn percent(&mut self, percent: u64) -> bool {
        self.range(1, 100) <= percent
    }
}

/// A replica's process, as it is.
#[derive(Clone, Debug)]
struct ReplicaProcess {
    record: ReplicaRecord,
    version: SoftwareVersion,
    drains: bool,
}

#[derive(Debug, Default)]
struct ControlHost {
    memory: OriginMemory,
    is_down: bool,
}

#[derive(Debug)]
struct EntryProcess {
    life: u32,
    is_down: bool,
    cut_until_ms: u64,
    frozen_until_ms: u64,
    lag_ms: u64,
    view: SiteView,
    replicas: ReplicaTable,
    several: BTreeSet<ServiceName>,
    /// Configuration in force.
    applied: Option<Configuration>,
    routes: RouteChanges,
    memory: OriginMemory,
    /// The newest report of each replica's start time.
    reports: BTreeMap<ReplicaId, StartReport>,
    /// Replicas that are being asked for a report.
    asked: BTreeSet<ReplicaId>,
    /// A kept connection to each replica.
    kept: BTreeMap<ReplicaId, ReplicaConnection>,
}

/// A connection of an entry to a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ReplicaConnection {
    opened: Instant,
    /// The incarnation that it leads to, which the entry does not see.
    leads_to: ReplicaIncarnation,
}

impl EntryProcess {
    fn new(life: u32, lag_ms: u64) -> Self {
        Self {
            life,
            lag_ms,
            is_down: false,
            cut_until_ms: 0,
            frozen_until_ms: 0,
            view: SiteView::default(),
            replicas: ReplicaTable::new(ChoicePolicy::default(), EntryLocation::default()),
            several: BTreeSet::new(),
            applied: None,
            routes: RouteChanges::default(),
            memory: OriginMemory::default(),
            reports: BTreeMap::new(),
            asked: BTreeSet::new(),
            kept: BTreeMap::new(),
        }
    }

    fn may_serve(&self) -> bool {
        !self.is_down && self.view.configuration.is_some()
    }

    /// Version of the configuration in force.
    fn version(&self) -> u64 {
        self.applied.as_ref().map_or(0, |applied| applied.version)
    }

    /// Whether the route of streams leads to a service, as the entry knows.
    fn leads_to(&self, service: &ServiceName) -> bool {
        let route = self
            .applied
            .as_ref()
            .and_then(|applied| applied.routes.first());
        route.is_some_and(|route| route.leads_to(service))
    }

    /// Service to which the route sends a request.
    fn pick(&self, draw: u64) -> ServiceName {
        let route = self
            .applied
            .as_ref()
            .and_then(|applied| applied.routes.first());
        let picked = route.and_then(|route| route.pick(draw));
        picked.cloned().unwrap_or_else(service)
    }
}

/// How a client names the stream that it takes up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Naming {
    First,
    OtherAccounts,
    None,
}

/// A client's stream over all its attempts.
#[derive(Clone, Debug)]
struct ClientStream {
    account: String,
    naming: Naming,
    home_entry: Option<usize>,
    /// The attempt that brought the first event, with the version that it came from.
    first: Option<(String, SoftwareVersion)>,
    /// Service of the replica that sent the first event.
    first_service: Option<ServiceName>,
    attempts: u32,
    returns: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestPhase {
    Waiting,
    Running,
    Ended,
}

/// One attempt of a client at an entry.
#[derive(Clone, Debug)]
struct ClientRequest {
    stream: usize,
    entry: usize,
    life: u32,
    id: String,
    search: OriginSearch,
    is_take_up: bool,
    /// Whether the attempt counts for the shares.
    counts: bool,
    need: Need,
    until_ms: u64,
    attempted: BTreeSet<ReplicaId>,
    tries: u32,
    sent: Option<EventSource>,
    connection: Option<ReplicaConnection>,
    /// Until when the attempt waits for the proof of its connection.
    proof_until_ms: u64,
    has_events: bool,
    phase: RequestPhase,
}

/// Something that happens at a time.
#[derive(Clone, Debug)]
pub enum PlayEvent {
    /// A replica starts.
    Start {
        /// Its id.
        id: String,
        /// The version that it names.
        version: Option<&'static str>,
        /// Whether it holds the streams' model.
        holds: bool,
    },
    /// A replica of the second service starts.
    StartOther {
        /// Its id.
        id: String,
        /// The version that it names.
        version: &'static str,
    },
    /// The route leads to the services with other weights, from a later configuration on.
    Reroute {
        /// Weight of the first service.
        first: u32,
        /// Weight of the second service.
        other: u32,
    },
    /// A replica drains.
    Drain(String),
    /// A replica ends.
    End(String),
    /// An entry is killed.
    KillEntry(usize),
    /// An entry starts.
    StartEntry(usize),
    /// An entry is cut off from all control hosts for a time.
    CutEntry(usize, u64),
    /// An entry is frozen for a time.
    FreezeEntry(usize, u64),
    /// A control host is killed, and started after a time.
    KillHost(usize, u64),
    /// All entries and all control processes are killed, and start after a time.
    KillAll(u64),
    /// There is no leader for a time.
    LoseLeader(u64),
    /// A client begins a stream, at a certain entry or any.
    Begin(Option<usize>),
    /// All clients of an entry are disconnected.
    Reset(usize),
    #[doc(hidden)]
    Internal(InternalEvent),
}

/// Consequence of another event.
#[derive(Clone, Debug)]
pub enum InternalEvent {
    StartHost(usize),
    Commit(Command),
    Settle,
    Sync,
    Page(usize, u32, SyncPage),
    Return(usize),
    AskLeader(usize),
    AskHostsFirst(usize, StreamKey),
    AskHosts(usize, StreamKey, u32),
    /// What control hosts replied; the flag is whether they were asked before the leader.
    Found(usize, Option<StreamOrigin>, bool),
    Choose(usize),
    Send(usize, ReplicaId),
    Arrive(usize),
    ReadReport(usize, u32, ReplicaId, Instant),
    Reported(usize, u32, ReplicaId, Option<StartReport>),
    Break(usize),
    Store(usize, u32, usize, StreamKey, StreamOrigin, u64),
    Stored(usize, StreamKey, StreamOrigin),
}

use InternalEvent as In;

/// Settings of a play.
#[derive(Clone, Debug)]
pub struct PlaySetup {
    /// Number of entries.
    pub entries: usize,
    /// Number of control hosts.
    pub hosts: usize,
    /// Longest delay of an entry's view, in milliseconds; each entry draws its own.
    pub max_lag_ms: u64,
    /// Percentage of calls between entries and control hosts that are lost.
    pub loss_percent: u64,
    /// What happens, with times.
    pub events: Vec<(u64, PlayEvent)>,
}

/// Counts of one or more plays.
#[derive(Clone, Debug, Default)]
pub struct PlayCounts {
    /// Streams that clients began at entries in touch, and those of them that brought an event.
    pub begins: (u64, u64),
    /// Take-ups at entries in touch while two replicas of the version held the model, and those of
    /// them that brought an event.
    pub take_ups: (u64, u64),
    /// All take-ups.
    pub all_take_ups: u64,
    /// Take-ups that went on, by how the origin was known.
    pub sources: BTreeMap<&'static str, u64>,
    /// Refused take-ups of those that count, by reason.
    pub refusals: BTreeMap<&'static str, u64>,
    /// All refused take-ups, by reason.
    pub all_refusals: BTreeMap<&'static str, u64>,
    /// Streams with events of two versions.
    pub mixed: u64,
    /// Answers with events that were sent without a version.
    pub begun_anew: u64,
    /// Take-ups that named another account's stream and were given its origin.
    pub leaked: u64,
    /// Continuations by entries within an answer.
    pub continued: u64,
}

impl PlayCounts {
    /// Adds the counts of another play.
    pub fn add(&mut self, other: Self) {
        let add_pair = |one: &mut (u64, u64), two: (u64, u64)| {
            one.0 += two.0;
            one.1 += two.1;
        };
        add_pair(&mut self.begins, other.begins);
        add_pair(&mut self.take_ups, other.take_ups);
        self.all_take_ups += other.all_take_ups;
        self.mixed += other.mixed;
        self.begun_anew += other.begun_anew;
        self.leaked += other.leaked;
        self.continued += other.continued;
        let maps = [
            (&mut self.sources, other.sources),
            (&mut self.refusals, other.refusals),
            (&mut self.all_refusals, other.all_refusals),
        ];
        for (counts, more) in maps {
            for (name, count) in more {
                *counts.entry(name).or_default() += count;
            }
        }
    }

    /// Share of begun streams that brought an event.
    pub fn begin_share(&self) -> f64 {
        self.begins.1 as f64 / self.begins.0.max(1) as f64
    }

    /// Share of take-ups that brought an event.
    pub fn take_up_share(&self) -> f64 {
        self.take_ups.1 as f64 / self.take_ups.0.max(1) as f64
    }
}

/// One play.
#[derive(Debug)]
pub struct Play {
    draw: Draw,
    setup: PlaySetup,
    now_ms: u64,
    /// The instant of time 0.
    origin: Instant,
    sequence: u64,
    events: BTreeMap<(u64, u64), PlayEvent>,
    state: SiteState,
    settlement: VersionSettlement,
    leaderless_until_ms: u64,
    host_names: Vec<String>,
    hosts: Vec<ControlHost>,
    entries: Vec<EntryProcess>,
    processes: BTreeMap<ReplicaId, ReplicaProcess>,
    streams: Vec<ClientStream>,
    requests: Vec<ClientRequest>,
    sources: BTreeMap<usize, OriginSource>,
    /// Accounts whose requests recorded an origin under a key.
    recorders: BTreeMap<StreamKey, BTreeSet<String>>,
    /// Streams that name another account's stream, by the key that results.
    claims: BTreeMap<StreamKey, usize>,
    ports: u16,
    counts: PlayCounts,
}

fn service() -> ServiceName {
    ServiceName::from("llm")
}

/// Service to which the route leads only after it was changed.
fn other_service() -> ServiceName {
    ServiceName::from("other")
}

fn model() -> ModelName {
    ModelName::from("m")
}

fn configuration() -> Configuration {
    configuration_with(1, vec![(service(), 1)])
}

fn configuration_with(version: u64, split: Vec<(ServiceName, u32)>) -> Configuration {
    let route = RouteSpec {
        name: "streams".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/".to_owned(),
        kind: RouteKind::Streaming,
        timeout_ms: STREAM_MS,
        latency_goal_ms: 1_000,
        max_event_gap_ms: 1_000,
        priority: 0,
        attempts: MAX_TRIES,
        resumable: true,
        public: true,
        regions: BTreeSet::new(),
        split,
    };
    let spec = ServiceSpec {
        max_connections: 1_000,
        warm_up: None,
        engine: None,
    };
    Configuration {
        version,
        routes: vec![route],
        services: BTreeMap::from([(service(), spec.clone()), (other_service(), spec)]),
        ..Configuration::default()
    }
}

impl Play {
    /// Prepares a play.
    pub fn new(seed: u64, setup: PlaySetup) -> Self {
        let mut play = Self {
            draw: Draw(seed),
            now_ms: 0,
            origin: Instant::now(),
            sequence: 0,
            events: BTreeMap::new(),
            state: SiteState::default(),
            settlement: VersionSettlement::default(),
            leaderless_until_ms: 0,
            host_names: (0..setup.hosts).map(|n| format!("control-{n}")).collect(),
            hosts: (0..setup.hosts).map(|_| ControlHost::default()).collect(),
            entries: Vec::new(),
            processes: BTreeMap::new(),
            streams: Vec::new(),
            requests: Vec::new(),
            sources: BTreeMap::new(),
            recorders: BTreeMap::new(),
            claims: BTreeMap::new(),
            ports: 1_000,
            counts: PlayCounts::default(),
            setup,
        };
        for _ in 0..play.setup.entries {
            let lag_ms = play.draw.range(1, play.setup.max_lag_ms);
            let mut process = EntryProcess::new(0, lag_ms);
            // It has served for long, unlike those that start during the play.
            process.applied = Some(configuration());
            play.entries.push(process);
        }
        play.configure(configuration());
        play.after(1, In::Sync);
        play.after(1, In::Settle);
        for (at_ms, event) in std::mem::take(&mut play.setup.events) {
            play.push(at_ms, event);
        }
        play
    }

    /// Runs the play and returns its counts.
    pub fn run(mut self) -> PlayCounts {
        let last = self.events.keys().next_back();
        let until_ms = last.map_or(0, |(at_ms, _)| at_ms + 4 * STREAM_MS);
        while let Some(((at_ms, _), event)) = self.events.pop_first() {
            if at_ms > until_ms {
                break;
            }
            self.now_ms = at_ms;
            match event {
                PlayEvent::Internal(event) => self.handle_internal(event),
                event => self.handle(event),
            }
        }
        self.counts
    }

    fn configure(&mut self, configuration: Configuration) {
        let record = ConfigurationRecord {
            source: configuration.version.to_be_bytes().to_vec().into(),
            configuration: configuration.into(),
        };
        self.after(0, In::Commit(Command::Configure(Box::new(record))));
    }

    fn push(&mut self, at_ms: u64, event: PlayEvent) {
        self.sequence += 1;
        self.events.insert((at_ms, self.sequence), event);
    }

    fn after(&mut self, delay_ms: u64, event: InternalEvent) {
        self.push(self.now_ms + delay_ms, PlayEvent::Internal(event));
    }

    fn handle(&mut self, event: PlayEvent) {
        match event {
            PlayEvent::Start { id, version, holds } => self.start(&id, "llm", version, holds),
            PlayEvent::StartOther { id, version } => {
                self.start(&id, "other", Some(version), true);
            }
            PlayEvent::Reroute { first, other } => {
                let known = self.state.configuration.as_ref();
                let known = known.map_or(0, |record| record.configuration.version);
                let split = vec![(service(), first), (other_service(), other)];
                self.configure(configuration_with(known + 1, split));
            }
            PlayEvent::Drain(id) => {
                let id = ReplicaId::from(id.as_str());
                if let Some(process) = self.processes.get_mut(&id) {
                    process.drains = true;
                }
                self.after(5, In::Commit(Command::ReplicaDrains(id)));
            }
            PlayEvent::End(id) => self.end(&ReplicaId::from(id.as_str())),
            PlayEvent::KillEntry(entry) => {
                self.break_streams(entry);
                let EntryProcess { life, lag_ms, .. } = self.entries[entry];
                self.entries[entry] = EntryProcess::new(life + 1, lag_ms);
                self.entries[entry].is_down = true;
            }
            PlayEvent::StartEntry(entry) => {
                self.entries[entry].is_down = false;
                self.send_page(entry);
            }
            PlayEvent::CutEntry(entry, ms) => self.entries[entry].cut_until_ms = self.now_ms + ms,
            PlayEvent::FreezeEntry(entry, ms) => {
                self.entries[entry].frozen_until_ms = self.now_ms + ms;
                self.break_streams(entry);
            }
            PlayEvent::KillHost(host, ms) => {
                self.hosts[host] = ControlHost::default();
                self.hosts[host].is_down = true;
                self.after(ms, In::StartHost(host));
            }
            PlayEvent::KillAll(ms) => {
                for entry in 0..self.entries.len() {
                    self.handle(PlayEvent::KillEntry(entry));
                    let start_ms = ms + self.draw.range(0, 200);
                    self.push(self.now_ms + start_ms, PlayEvent::StartEntry(entry));
                }
                for host in 0..self.hosts.len() {
                    self.handle(PlayEvent::KillHost(host, ms));
                }
                self.handle(PlayEvent::LoseLeader(ms + 500));
            }
            PlayEvent::LoseLeader(ms) => {
                self.leaderless_until_ms = self.now_ms + ms;
                self.settlement = VersionSettlement::default();
            }
            PlayEvent::Begin(entry) => self.begin(entry),
            PlayEvent::Reset(entry) => self.break_streams(entry),
            PlayEvent::Internal(event) => self.handle_internal(event),
        }
    }

    fn handle_internal(&mut self, event: InternalEvent) {
        if let Some(thaw_ms) = self.frozen_until_ms(&event) {
            return self.push(thaw_ms, PlayEvent::Internal(event));
        }
        match event {
            In::StartHost(host) => self.hosts[host].is_down = false,
            In::Commit(command) if self.is_leaderless() => {
                self.after(RETRY_MS, In::Commit(command))
            }
            In::Commit(command) => self.commit(command),
            In::Settle => self.settle(),
            In::Sync => {
                for entry in 0..self.entries.len() {
                    self.send_page(entry);
                }
                self.after(SYNC_MS, In::Sync);
            }
            In::Page(entry, life, page) => self.follow(entry, life, &page),
            In::Return(stream) => self.client_returns(stream),
            In::AskLeader(request) => self.ask_leader(request),
            In::AskHostsFirst(request, key) => self.ask_hosts_first(request, key),
            In::AskHosts(request, key, asked) => self.ask_hosts(request, key, asked),
            In::Found(request, origin, is_first) => {
                let search = &self.requests[request].search;
                let step = match is_first {
                    true => search.after_first_hosts(origin),
                    false => search.after_hosts(origin),
                };
                self.take_step(request, step);
            }
            In::Choose(request) => self.choose(request),
            In::Send(request, id) => self.send(request, &id),
            In::Arrive(request) => self.arrive(request),
            In::ReadReport(entry, life, id, asked) => {
                let process = self.processes.get(&id);
                let report = process.map(|process| StartReport {
                    started_ms: process.record.started_ms,
                    asked,
                });
                let delay_ms = self.draw.range(1, 60);
                self.after(delay_ms, In::Reported(entry, life, id, report));
            }
            In::Reported(entry, life, id, report) => {
                let process = &mut self.entries[entry];
                if process.life == life {
                    process.asked.remove(&id);
                    process.reports.extend(report.map(|report| (id, report)));
                }
            }
            In::Break(request) => self.break_stream(request),
            In::Store(entry, life, host, key, origin, until_ms) => {
                self.store(entry, life, host, key, origin, until_ms);
            }
            In::Stored(host, key, origin) => {
                if !self.hosts[host].is_down {
                    let keep_ms = self.stream_memory_ms();
                    let memory = &mut self.hosts[host].memory;
                    memory.record(self.now_ms, keep_ms, key, &origin);
                }
            }
        }
    }

    /// Returns when an event's entry is continued, if it is frozen.
    fn frozen_until_ms(&self, event: &InternalEvent) -> Option<u64> {
        let entry = match event {
            In::Page(entry, ..) | In::Store(entry, ..) | In::Reported(entry, ..) => *entry,
            In::AskLeader(request)
            | In::AskHostsFirst(request, _)
            | In::AskHosts(request, ..)
            | In::Found(request, ..)
            | In::Choose(request)
            | In::Send(request, _)
            | In::Arrive(request) => self.requests[*request].entry,
            _ => return None,
        };
        let until_ms = self.entries[entry].frozen_until_ms;
        (until_ms > self.now_ms).then_some(until_ms)
    }

    fn is_leaderless(&self) -> bool {
        self.now_ms < self.leaderless_until_ms
    }

    fn is_cut(&self, entry: usize) -> bool {
        self.now_ms < self.entries[entry].cut_until_ms
    }

    fn is_in_touch(&self, entry: usize) -> bool {
        let frozen = self.now_ms < self.entries[entry].frozen_until_ms;
        !self.is_cut(entry) && !frozen && self.entries[entry].may_serve()
    }

    fn is_lost(&mut self, entry: usize) -> bool {
        let percent = self.setup.loss_percent;
        self.draw.percent(percent) || self.is_cut(entry)
    }

    fn stream_memory_ms(&self) -> u64 {
        configuration().stream_memory_ms(&service())
    }

    // The log and its copies.

    fn commit(&mut self, command: Command) {
        let position = Position(self.state.position.0 + 1);
        let stamped = Stamped {
            at_ms: self.now_ms,
            command,
        };
        self.state.apply(position, &stamped);
        for entry in 0..self.entries.len() {
            self.send_page(entry);
        }
    }

    fn settle(&mut self) {
        if !self.is_leaderless() {
            for command in self.settlement.check(&self.state, self.now_ms) {
                self.commit(command);
            }
        }
        self.after(SYNC_MS, In::Settle);
    }

    fn send_page(&mut self, entry: usize) {
        let process = &self.entries[entry];
        let (life, is_down) = (process.life, process.is_down);
        if is_down || self.is_lost(entry) {
            return;
        }
        let page = page_after(&self.state, self.entries[entry].view.position);
        let lag_ms = self.entries[entry].lag_ms + self.draw.range(0, 20);
        self.after(lag_ms, In::Page(entry, life, page));
    }

    fn follow(&mut self, entry: usize, life: u32, page: &SyncPage) {
        let now_ms = self.now_ms;
        let process = &mut self.entries[entry];
        if process.life != life || !process.view.follow(page) {
            return;
        }
        process
            .replicas
            .update_records(now_ms, &process.view.replicas);
        process.replicas.update_versions(&process.view.versions);
        let several = mixed_services(&process.view.version_mixes);
        let before = std::mem::replace(&mut process.several, several.clone());
        let mut stored = several.clone();
        let configuration = process.view.configuration.as_deref();
        if let Some(configuration) = configuration.filter(|c| c.version > process.version()) {
            let routes = &mut process.routes;
            stored.extend(routes.update(now_ms, process.applied.as_ref(), configuration));
            process.applied = Some(configuration.clone());
        }
        let logged = &process.view.earlier_routes;
        stored.extend(process.routes.set_logged(now_ms, logged));
        let mut streams = Vec::new();
        for service in stored.difference(&before) {
            let all = process.memory.of_service(service);
            streams.extend(all.map(|(key, origin)| (key, origin.clone())));
        }
        for (key, origin) in streams {
            self.store_at_owners(entry, key, &origin);
        }
    }

    // Replicas.

    fn start(&mut self, id: &str, service: &str, version: Option<&'static str>, holds: bool) {
        let models = match holds {
            true => BTreeMap::from([(model(), BTreeSet::new())]),
            false => BTreeMap::new(),
        };
        self.ports += 1;
        let record = ReplicaRecord {
            address: ([127, 0, 0, 1], self.ports).into(),
            started_ms: self.now_ms + 1,
            slots: 4_000,
            models,
            ..ready_replica(id, service)
        };
        let (version, command) = match version {
            Some(name) => {
                let name = VersionName::from(name);
                let record = Box::new(record.clone());
                (
                    SoftwareVersion::Named(name.clone()),
                    Command::VersionedReplica(record, name),
                )
            }
            None => (
                SoftwareVersion::Unnamed(record.incarnation()),
                Command::Replica(Box::new(record.clone())),
            ),
        };
        self.end(&record.id);
        let process = ReplicaProcess {
            record,
            version,
            drains: false,
        };
        self.processes.insert(process.record.id.clone(), process);
        let delay_ms = self.draw.range(2, 20);
        self.after(delay_ms, In::Commit(command));
    }

    fn end(&mut self, id: &ReplicaId) {
        let Some(process) = self.processes.remove(id) else {
            return;
        };
        let incarnation = process.record.incarnation();
        let delay_ms = self.draw.range(1, 1_000);
        self.after(
            delay_ms,
            In::Commit(Command::ReplicaEnded(incarnation.clone())),
        );
        for number in 0..self.requests.len() {
            let request = &mut self.requests[number];
            let source = request.sent.as_ref().map(|source| &source.incarnation);
            if request.phase == RequestPhase::Running && source == Some(&incarnation) {
                // The entry continues the stream within the answer.
                request.phase = RequestPhase::Waiting;
                request.tries = 0;
                self.counts.continued += 1;
                self.after(1, In::Choose(number));
            }
        }
    }

    fn homes_of(&self, service: &ServiceName, version: &SoftwareVersion) -> usize {
        let serving = self.processes.values().filter(|process| {
            !process.drains
                && process.record.service == *service
                && process.version == *version
                && process.record.models.contains_key(&model())
        });
        serving.count()
    }

    // Clients.

    fn begin(&mut self, home_entry: Option<usize>) {
        let naming = match self.draw.range(1, 100) {
            1..=4 => Naming::None,
            5..=8 => Naming::OtherAccounts,
            _ => Naming::First,
        };
        self.streams.push(ClientStream {
            account: format!("account-{}", self.streams.len() % 7),
            naming,
            home_entry,
            first: None,
            first_service: None,
            attempts: 0,
            returns: 0,
        });
        self.client_sends(self.streams.len() - 1, home_entry);
    }

    fn client_returns(&mut self, stream: usize) {
        let same = self.draw.percent(20);
        let entry = self.streams[stream].home_entry.filter(|_| same);
        self.client_sends(stream, entry);
    }

    fn client_sends(&mut self, stream: usize, entry: Option<usize>) {
        let serving = (0..self.entries.len()).filter(|entry| self.entries[*entry].may_serve());
        let serving: Vec<usize> = serving.collect();
        if serving.is_empty() {
            return;
        }
        let drawn = serving[self.draw.range(0, serving.len() as u64 - 1) as usize];
        let entry = entry.filter(|e| serving.contains(e)).unwrap_or(drawn);
        let others = self.draw.range(0, self.streams.len() as u64 - 1) as usize;
        let other = self.streams[others].clone();
        let client = &mut self.streams[stream];
        client.home_entry = Some(entry);
        client.attempts += 1;
        let id = format!("{stream}-{}", client.attempts);
        let client = &self.streams[stream];
        let is_take_up = client.first.is_some();
        let named = match (&client.first, client.naming) {
            (None, _) => Some(id.clone()),
            (Some(_), Naming::None) => None,
            (Some((first, _)), Naming::First) => Some(first.clone()),
            (Some((first, _)), Naming::OtherAccounts) => match other.first {
                // Two streams of an account under one name would be one stream by its own word.
                Some((other_id, _)) if other.account != client.account => {
                    let key = StreamKey::new(&client.account, &other_id);
                    match *self.claims.entry(key).or_insert(stream) == stream {
                        true => Some(other_id),
                        false => Some(first.clone()),
                    }
                }
                _ => Some(first.clone()),
            },
        };
        let homes = client
            .first
            .as_ref()
            .zip(client.first_service.as_ref())
            .map(
                |((_, version), service)| match self.entries[entry].leads_to(service) {
                    true => self.homes_of(service, version),
                    false => 0,
                },
            );
        let counts = self.is_in_touch(entry)
            && homes.is_none_or(|homes| homes >= 2 && client.naming == Naming::First);
        let key = named.map(|id| StreamKey::new(&client.account, &id));
        let id_hash = self.draw.range(0, u64::MAX - 1);
        let service = self.entries[entry].pick(id_hash);
        let request = ClientRequest {
            stream,
            entry,
            life: self.entries[entry].life,
            id,
            search: OriginSearch {
                key,
                service: service.clone(),
            },
            is_take_up,
            counts,
            need: Need {
                service: Some(service),
                model: Some(model()),
                id_hash,
                ..Need::default()
            },
            until_ms: self.now_ms + SEARCH_MS,
            attempted: BTreeSet::new(),
            tries: 0,
            sent: None,
            connection: None,
            proof_until_ms: 0,
            has_events: false,
            phase: RequestPhase::Waiting,
        };
        self.requests.push(request);
        let number = self.requests.len() - 1;
        if !is_take_up {
            self.counts.begins.0 += u64::from(counts);
            return self.after(1, In::Choose(number));
        }
        self.counts.all_take_ups += 1;
        self.counts.take_ups.0 += u64::from(counts);
        let search = &self.requests[number].search;
        let process = &self.entries[entry];
        let own = search
            .key
            .and_then(|key| process.memory.find(&key).cloned());
        let mix = process.view.version_mixes.get(&search.service);
        let history = process.routes.history(&search.service, self.now_ms);
        let step = search.first_step(own, mix, history);
        self.take_step(number, step);
    }

    /// The client's connection breaks.
    fn break_stream(&mut self, number: usize) {
        if self.requests[number].phase == RequestPhase::Ended {
            return;
        }
        self.requests[number].phase = RequestPhase::Ended;
        self.come_back(self.requests[number].stream);
    }

    fn come_back(&mut self, stream: usize) {
        self.streams[stream].returns += 1;
        if self.streams[stream].returns > MAX_RETURNS {
            return;
        }
        let delay_ms = match self.draw.range(0, 2) {
            0 => 1,
            1 => self.draw.range(10, 500),
            _ => 2_000,
        };
        self.after(delay_ms, In::Return(stream));
    }

    fn break_streams(&mut self, entry: usize) {
        for number in 0..self.requests.len() {
            if self.requests[number].entry == entry {
                self.break_stream(number);
            }
        }
    }

    // The entry's side of a request.

    /// Whether the entry still serves the request.
    fn is_open(&self, number: usize) -> bool {
        let request = &self.requests[number];
        request.phase != RequestPhase::Ended && request.life == self.entries[request.entry].life
    }

    fn take_step(&mut self, number: usize, step: OriginStep) {
        if !self.is_open(number) {
            return;
        }
        match step {
            OriginStep::AskLeader => self.after(1, In::AskLeader(number)),
            OriginStep::AskHostsFirst(key) => self.after(1, In::AskHostsFirst(number, key)),
            OriginStep::AskHosts(key) => self.after(1, In::AskHosts(number, key, 0)),
            OriginStep::Known(..) | OriginStep::Unknown => {
                let request = &mut self.requests[number];
                let entry = &self.entries[request.entry];
                let found = match step {
                    OriginStep::Known(origin, source) => {
                        self.sources.insert(number, source);
                        Some(origin)
                    }
                    _ => None,
                };
                match request
                    .search
                    .required_origin(found, |service| entry.leads_to(service))
                {
                    Ok(origin) => {
                        request.need.service = Some(origin.service);
                        request.need.version = Some(origin.version);
                        self.after(1, In::Choose(number));
                    }
                    Err(TakeUpRefusal::OriginUnknown) => self.refuse(number, "unknown"),
                    Err(TakeUpRefusal::VersionGone) => self.refuse(number, "other service"),
                }
            }
        }
        self.check_leak(number);
    }

    fn check_leak(&mut self, number: usize) {
        let request = &self.requests[number];
        let account = &self.streams[request.stream].account;
        let source = self.sources.get(&number);
        let knows = matches!(source, Some(OriginSource::Own | OriginSource::Stored));
        let recorders = request.search.key.and_then(|key| self.recorders.get(&key));
        let is_own = recorders.is_some_and(|accounts| accounts.iter().eq([account]));
        if knows && !is_own {
            self.counts.leaked += 1;
        }
    }

    fn ask_leader(&mut self, number: usize) {
        let request = &self.requests[number];
        let (entry, until_ms) = (request.entry, request.until_ms);
        if self.now_ms >= until_ms {
            return self.take_step(number, OriginStep::Unknown);
        }
        if self.is_leaderless() || self.is_lost(entry) {
            return self.after(RETRY_MS, In::AskLeader(number));
        }
        let search = &self.requests[number].search;
        let mix = route_changes::confirmed_mix(&self.state, &search.service);
        let step = search.after_leader(mix);
        self.take_step(number, step);
    }

    fn ask_hosts(&mut self, number: usize, key: StreamKey, asked: u32) {
        let request = &self.requests[number];
        let (entry, until_ms) = (request.entry, request.until_ms);
        if self.now_ms >= until_ms {
            return self.take_step(number, OriginStep::Unknown);
        }
        let (found, is_whole) = self.stored_at_hosts(entry, key);
        let wait_ms = match is_whole {
            true => ASK_AGAIN_MS,
            false => CALL_MS,
        };
        let delay_ms = self.draw.range(1, 5);
        match found {
            Some(origin) => self.after(delay_ms, In::Found(number, Some(origin), false)),
            None if asked + 1 < MAX_ASKS => {
                self.after(wait_ms, In::AskHosts(number, key, asked + 1));
            }
            None => self.after(delay_ms, In::Found(number, None, false)),
        }
    }

    /// Asks control hosts once, before the leader.
    fn ask_hosts_first(&mut self, number: usize, key: StreamKey) {
        let (found, is_whole) = self.stored_at_hosts(self.requests[number].entry, key);
        let delay_ms = match found.is_some() || is_whole {
            true => self.draw.range(1, 5),
            false => ASK_TIMEOUT_MS,
        };
        self.after(delay_ms, In::Found(number, found, true));
    }

    /// Returns the origin that control hosts have stored, and whether no call to them was lost.
    fn stored_at_hosts(&mut self, entry: usize, key: StreamKey) -> (Option<StreamOrigin>, bool) {
        let hosts: Vec<usize> = key
            .asked_hosts(&self.host_names)
            .filter_map(|name| self.host_names.iter().position(|other| other == name))
            .collect();
        let (mut found, mut is_whole) = (None, true);
        for host in hosts {
            if self.is_lost(entry) {
                is_whole = false;
            } else if !self.hosts[host].is_down {
                found = found.or_else(|| self.hosts[host].memory.find(&key).cloned());
            }
        }
        (found, is_whole)
    }

    fn choose(&mut self, number: usize) {
        if !self.is_open(number) {
            return;
        }
        let request = &mut self.requests[number];
        if request.has_events && request.need.version.is_none() {
            self.counts.begun_anew += 1;
        }
        if request.tries >= MAX_TRIES {
            return self.refuse(number, "tries");
        }
        request.tries += 1;
        self.require_version(number);
        let request = &self.requests[number];
        let bounds = EngineBounds::default();
        let replicas = &self.entries[request.entry].replicas;
        let choice = replicas.choose(self.now_ms, &request.need, &request.attempted, bounds);
        match choice {
            Choice::Send(id) => {
                // A lease, a permit or a busy entry may lie between the choice and the attempt.
                let delay_ms = match self.draw.percent(5) {
                    true => self.draw.range(20, 500),
                    false => 1,
                };
                self.after(delay_ms, In::Send(number, id));
            }
            Choice::Absent => self.refuse(number, "gone"),
            Choice::Full => self.refuse(number, "full"),
            _ => self.refuse(number, "other"),
        }
    }

    /// Requires the version of the stream, or the one at which streams begin.
    fn require_version(&mut self, number: usize) {
        let request = &mut self.requests[number];
        let is_continuing = request.is_take_up || request.has_events;
        let stream = request.need.version.as_ref().filter(|_| is_continuing);
        let mixes = &self.entries[request.entry].view.version_mixes;
        let mix = request
            .need
            .service
            .as_ref()
            .and_then(|service| mixes.get(service));
        request.need.version = required_version(stream, mix);
    }

    /// Returns the run that an entry takes for registered under the id of a replica.
    fn registered_source(&self, entry: usize, id: &ReplicaId) -> Option<EventSource> {
        let replicas = &self.entries[entry].replicas;
        let (record, version) = replicas.record(id).zip(replicas.version(id))?;
        Some(EventSource {
            incarnation: record.incarnation(),
            version: version.clone(),
        })
    }

    fn send(&mut self, number: usize, id: &ReplicaId) {
        if !self.is_open(number) {
            return;
        }
        self.require_version(number);
        let registered = self.registered_source(self.requests[number].entry, id);
        let request = &mut self.requests[number];
        request.attempted.insert(id.clone());
        let required = request.need.version.as_ref();
        let source = registered.filter(|source| may_send(required, &source.version));
        let Some(source) = source else {
            return self.after(1, In::Choose(number));
        };
        request.sent = Some(source.clone());
        let entry = request.entry;
        let Some(connection) = self.connect(entry, id) else {
            return self.after(1, In::Choose(number));
        };
        if self.proof(entry, &source, &connection) == ConnectionProof::Other {
            return self.after(1, In::Choose(number));
        }
        self.ask_start_time(entry, &source, &connection);
        self.requests[number].connection = Some(connection);
        self.requests[number].proof_until_ms = 0;
        // The replica begins.
        let delay_ms = self.draw.range(1, 150);
        self.after(delay_ms, In::Arrive(number));
    }

    /// Takes a kept connection to a replica that is still open, or opens one: to the process that
    /// runs now under the id.
    fn connect(&mut self, entry: usize, id: &ReplicaId) -> Option<ReplicaConnection> {
        let leads_to = self.processes.get(id)?.record.incarnation();
        let may_keep = self.draw.percent(KEPT_PERCENT);
        let kept = self.entries[entry].kept.get(id);
        let kept = kept.filter(|kept| may_keep && kept.leads_to == leads_to);
        let connection = kept.cloned().unwrap_or(ReplicaConnection {
            opened: self.now(),
            leads_to,
        });
        self.entries[entry]
            .kept
            .insert(id.clone(), connection.clone());
        Some(connection)
    }

    fn now(&self) -> Instant {
        self.origin + Duration::from_millis(self.now_ms)
    }

    fn proof(
        &self,
        entry: usize,
        source: &EventSource,
        connection: &ReplicaConnection,
    ) -> ConnectionProof {
        let EventSource { incarnation, .. } = source;
        let report = self.entries[entry].reports.get(&incarnation.id);
        prove_connection(report, incarnation.started_ms, connection.opened)
    }

    /// Asks a replica for its start time, unless its connection is proven or it is being asked.
    fn ask_start_time(
        &mut self,
        entry: usize,
        source: &EventSource,
        connection: &ReplicaConnection,
    ) {
        let id = &source.incarnation.id;
        let is_proven = self.proof(entry, source, connection) != ConnectionProof::Unknown;
        if is_proven || !self.entries[entry].asked.insert(id.clone()) {
            return;
        }
        let life = self.entries[entry].life;
        let asked = self.now() + Duration::from_millis(1);
        let delay_ms = self.draw.range(1, 60);
        let event = In::ReadReport(entry, life, id.clone(), asked);
        self.after(1 + delay_ms, event);
    }

    /// The request has arrived at the replica, and the first event at the entry.
    fn arrive(&mut self, number: usize) {
        if !self.is_open(number) {
            return;
        }
        let request = &self.requests[number];
        let sent = request.sent.clone().zip(request.connection.clone());
        let Some((source, connection)) = sent else {
            return;
        };
        // A replica that restarted accepts requests that name its id.
        let process = self.processes.get(&source.incarnation.id);
        let process = process.filter(|process| process.record.incarnation() == connection.leads_to);
        let Some(process) = process
            .filter(|process| !process.drains && process.record.models.contains_key(&model()))
        else {
            return self.after(1, In::Choose(number));
        };
        let true_version = process.version.clone();
        match self.proof(request.entry, &source, &connection) {
            ConnectionProof::Expected => {}
            ConnectionProof::Other => return self.after(1, In::Choose(number)),
            ConnectionProof::Unknown => return self.await_proof(number, &source, &connection),
        }
        let request = &self.requests[number];
        let current = self.registered_source(request.entry, &source.incarnation.id);
        let required = request.need.version.as_ref();
        let (bound, may_record) = match bind_events(required, &source, current.as_ref()) {
            EventBinding::Known(version) => (version, true),
            EventBinding::Replaced(version) => (version, false),
            EventBinding::Rejected => return self.refuse(number, "rejected"),
        };
        let request = &mut self.requests[number];
        request.need.version = Some(bound.clone());
        request.phase = RequestPhase::Running;
        let (entry, key) = (request.entry, request.search.key);
        let service = request.need.service.clone().unwrap_or_else(service);
        let is_first = !std::mem::replace(&mut request.has_events, true);
        if let (Some(key), true) = (key, may_record) {
            let account = self.streams[self.requests[number].stream].account.clone();
            self.recorders.entry(key).or_default().insert(account);
            let origin = StreamOrigin {
                service: service.clone(),
                version: bound,
            };
            self.record_origin(entry, key, &origin);
        }
        self.client_receives(number, &service, &true_version, is_first);
    }

    /// Holds the first event back until the connection is proven, for a bounded time.
    fn await_proof(&mut self, number: usize, source: &EventSource, connection: &ReplicaConnection) {
        let now_ms = self.now_ms;
        let request = &mut self.requests[number];
        if request.proof_until_ms == 0 {
            request.proof_until_ms = now_ms + PROOF_MS;
        }
        if now_ms >= request.proof_until_ms {
            return self.after(1, In::Choose(number));
        }
        let entry = request.entry;
        self.ask_start_time(entry, source, connection);
        self.after(PROOF_CHECK_MS, In::Arrive(number));
    }

    fn client_receives(
        &mut self,
        number: usize,
        service: &ServiceName,
        version: &SoftwareVersion,
        is_first: bool,
    ) {
        let request = &self.requests[number];
        let counts = u64::from(request.counts && is_first);
        match request.is_take_up {
            true => self.counts.take_ups.1 += counts,
            false => self.counts.begins.1 += counts,
        }
        // The first event of an answer may be lost with its connection.
        if is_first && self.draw.percent(5) {
            return self.break_stream(number);
        }
        let request = &self.requests[number];
        let client = &mut self.streams[request.stream];
        match &client.first {
            None => {
                client.first = Some((request.id.clone(), version.clone()));
                client.first_service = Some(service.clone());
            }
            Some((_, first)) => {
                let is_same = first == version && client.first_service.as_ref() == Some(service);
                self.counts.mixed += u64::from(!is_same);
            }
        }
        if !is_first {
            return;
        }
        if request.is_take_up {
            let source = self.sources.get(&number).map_or("none", |s| s.name());
            *self.counts.sources.entry(source).or_default() += 1;
        }
        let lasts_ms = self.draw.range(50, STREAM_MS - 1_000);
        self.after(lasts_ms, In::Break(number));
    }

    fn refuse(&mut self, number: usize, reason: &'static str) {
        let request = &mut self.requests[number];
        request.phase = RequestPhase::Ended;
        let stream = request.stream;
        if request.is_take_up && !request.has_events {
            if request.counts {
                *self.counts.refusals.entry(reason).or_default() += 1;
            }
            *self.counts.all_refusals.entry(reason).or_default() += 1;
        }
        self.come_back(stream);
    }

    // Origins.

    fn record_origin(&mut self, entry: usize, key: StreamKey, origin: &StreamOrigin) {
        let keep_ms = self.stream_memory_ms();
        let process = &mut self.entries[entry];
        process.memory.record(self.now_ms, keep_ms, key, origin);
        let is_moved = process.routes.is_moved(&origin.service, self.now_ms);
        if process.several.contains(&origin.service) || is_moved {
            self.store_at_owners(entry, key, origin);
        }
    }

    fn store_at_owners(&mut self, entry: usize, key: StreamKey, origin: &StreamOrigin) {
        let life = self.entries[entry].life;
        let hosts: Vec<usize> = key
            .storing_hosts(&self.host_names)
            .filter_map(|name| self.host_names.iter().position(|other| other == name))
            .collect();
        for host in hosts {
            let until_ms = self.now_ms + STORE_MS;
            let event = In::Store(entry, life, host, key, origin.clone(), until_ms);
            self.after(1, event);
        }
    }

    fn store(
        &mut self,
        entry: usize,
        life: u32,
        host: usize,
        key: StreamKey,
        origin: StreamOrigin,
        until_ms: u64,
    ) {
        if self.entries[entry].life != life || self.now_ms >= until_ms {
            return;
        }
        if self.is_lost(entry) || self.hosts[host].is_down {
            let event = In::Store(entry, life, host, key, origin, until_ms);
            return self.after(RETRY_MS, event);
        }
        let delay_ms = self.draw.range(1, 5);
        self.after(delay_ms, In::Stored(host, key, origin));
    }
}
