//! Stand-in for an engine: batches runs, accounts for memory, streams, resumes and cancels. Keeps
//! its own record of every run.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::{self, HttpRequest, HttpResponse, types};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::admission::controller::{EngineOrder, OrderAct};
use crate::admission::ledger::{EngineReport, OrderSeq, ResidentInfo, RunningInfo};
use crate::agent::engine::{BOOT_HEADER, DONE_MARKER, EnginePiece, EngineRun, VERSION_HEADER};
use crate::ids::{AttemptId, ModelName};
use crate::process::daemon::{self, DaemonError};

/// Maximum number of cached prefixes.
const MAX_CACHED_PREFIXES: usize = 64;
/// Number of leading characters of a prompt that form its prefix.
const PREFIX_CHARS: usize = 64;

/// Properties of an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineTraits {
    /// Accelerator memory, in MiB.
    pub memory_mib: u64,
    /// Whether the engine refuses orders and runs below its fences, or for another boot ID.
    pub fenced: bool,
    /// Duration of a load, in milliseconds.
    pub load_ms: u64,
    /// Time before the first piece if the prefix is not cached, in microseconds; a tenth of it if
    /// it is.
    pub prefill_us: u64,
    /// Time per piece of a run that is alone in the batch, in microseconds.
    pub piece_us: u64,
    /// Time that each further run in the batch adds per piece, in microseconds.
    pub batch_us: u64,
    /// Lag of reports, in milliseconds: a request returns the newest report that is at least this
    /// old, or else the oldest one.
    pub report_lag_ms: u64,
    /// HTTP URL of the weight store that is queried before each load, if any.
    pub store_url: Option<String>,
    /// Software version that the engine names; it names none if this is null.
    #[serde(default = "default_version")]
    pub version: Option<String>,
    /// Whether the text of each piece begins with the software version that generated it.
    #[serde(default)]
    pub marks_pieces: bool,
}

/// Returns the software version of engines whose traits don't say otherwise.
pub fn default_version() -> Option<String> {
    Some("v1".to_owned())
}

/// Record of one run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Attempt ID.
    pub attempt: AttemptId,
    /// Model.
    pub model: ModelName,
    /// Prompt.
    pub prompt: String,
    /// Whether the run completed.
    pub whole: bool,
}

/// Record of what an engine has done so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRecord {
    /// All runs that were started.
    pub runs: Vec<RunRecord>,
    /// Number of loads and unloads begun.
    pub moves: u64,
    /// Peak memory use, in MiB.
    pub peak_mib: u64,
    /// Number of times that a load or a run took more memory than there is.
    pub overcommits: u64,
    /// Number of orders refused because of the fence or the boot ID.
    pub fenced_off: u64,
}

/// Faults injected by a test. Each number is decremented when its fault occurs.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Number of orders to apply and then answer with an error.
    pub drop_answers: u32,
    /// Number of orders to fail before they are applied.
    pub drop_orders: u32,
    /// Number of streams to cut after their next pieces.
    pub cut_streams: u32,
    /// Replacement of the engine by another process at the same address.
    pub replacement: Option<EngineReplacement>,
}

/// Process that takes the place of an engine at its address.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineReplacement {
    /// Software version of the new process.
    pub version: Option<String>,
    /// Number of pieces that a stream must have before the engine is replaced; at once if 0.
    pub after_pieces: u32,
    /// Whether the new process still has the models and accepts the IDs of earlier runs.
    pub keeps_runs: bool,
}

struct Run {
    call: EngineRun,
    pieces: u32,
    ended: bool,
    cancelled: bool,
    progress: Arc<Notify>,
}

#[derive(Default)]
struct EngineState {
    boot: u64,
    version: Option<String>,
    fence: OrderSeq,
    run_fence: OrderSeq,
    resident: BTreeMap<ModelName, ResidentInfo>,
    runs: BTreeMap<AttemptId, Run>,
    prefixes: VecDeque<u32>,
    record: EngineRecord,
    faults: EngineFaults,
}

impl EngineState {
    fn used_mib(&self) -> u64 {
        let models: u64 = self.resident.values().map(|info| info.mib).sum();
        let live = self.runs.values().filter(|run| !run.ended);
        models + live.map(|run| run.call.kv_mib).sum::<u64>()
    }

    fn record_memory(&mut self, capacity: u64) {
        let used = self.used_mib();
        self.record.peak_mib = self.record.peak_mib.max(used);
        if used > capacity {
            self.record.overcommits += 1;
        }
    }

    /// Simulates that another process takes this one's place: all streams are cut.
    fn replace(&mut self, replacement: EngineReplacement) {
        self.boot = rand::random();
        self.version = replacement.version;
        for run in self.runs.values() {
            run.progress.notify_waiters();
        }
        if !replacement.keeps_runs {
            self.fence = OrderSeq::default();
            self.run_fence = OrderSeq::default();
            self.resident.clear();
            self.runs.clear();
            self.prefixes.clear();
        }
    }

    fn batch_size(&self) -> u64 {
        self.runs.values().filter(|run| !run.ended).count() as u64
    }
}

struct EngineShared {
    traits: EngineTraits,
    state: Mutex<EngineState>,
    reports: Mutex<VecDeque<(u64, EngineReport)>>,
}

impl EngineShared {
    fn state(&self) -> MutexGuard<'_, EngineState> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Returns the text of a piece. It is derived from the prompt and the index, so that a caller can
/// check that a response is complete and belongs to its prompt.
pub fn piece_text(prompt: &str, index: u32) -> String {
    format!("{:08x}.{index} ", crc32fast::hash(prompt.as_bytes()))
}

/// A running engine stand-in.
pub struct EngineStandin {
    /// Address on which it serves.
    pub address: SocketAddr,
    shared: Arc<EngineShared>,
    server: ntex::server::Server,
}

impl EngineStandin {
    /// Starts on an address; with port 0, the system chooses the port.
    pub async fn start(address: SocketAddr, traits: EngineTraits) -> Result<Self, DaemonError> {
        let (listener, address) = daemon::bind_http("engine", address)?;
        let state = EngineState {
            boot: rand::random(),
            version: traits.version.clone(),
            ..EngineState::default()
        };
        let shared = Arc::new(EngineShared {
            traits,
            state: Mutex::new(state),
            reports: Mutex::new(VecDeque::new()),
        });
        let engine = shared.clone();
        let app = async move || {
            web::App::new()
                .state(engine.clone())
                .state(types::JsonConfig::default().limit(4 << 20))
                .route("/v1/completions", web::post().to(run))
                .route("/v1/runs/{id}", web::get().to(resume))
                .route("/v1/runs/{id}", web::delete().to(cancel))
                .route("/control/orders", web::post().to(order))
                .route("/control/report", web::get().to(report))
                .route("/record", web::get().to(record))
                .route("/faults", web::post().to(faults))
        };
        let server = daemon::run_http(listener, 1, app)?;
        Ok(Self {
            address,
            shared,
            server,
        })
    }

    /// Returns a copy of the record.
    pub fn record(&self) -> EngineRecord {
        self.shared.state().record.clone()
    }

    /// Simulates a crash: ends all runs, drops all models and stops serving. The record stays
    /// readable.
    pub async fn kill(&self) {
        {
            let mut state = self.shared.state();
            state.resident.clear();
            for run in state.runs.values_mut() {
                run.cancelled = true;
                run.ended = true;
                run.progress.notify_waiters();
            }
        }
        self.server.stop(false).await;
    }
}

type Engine = types::State<Arc<EngineShared>>;

fn status(code: StatusCode) -> HttpResponse {
    HttpResponse::new(code)
}

async fn run(engine: Engine, call: types::Json<EngineRun>) -> HttpResponse {
    let call = call.into_inner();
    let id = call.request_id;
    let prefix_cached = {
        let mut state = engine.state();
        let ready = state
            .resident
            .get(&call.model)
            .is_some_and(|info| info.ready);
        let stale = call.fence < state.run_fence || call.boot != state.boot;
        if engine.traits.fenced && stale {
            return status(StatusCode::CONFLICT);
        }
        if !ready {
            return status(StatusCode::NOT_FOUND);
        }
        if state.runs.contains_key(&id) {
            return status(StatusCode::CONFLICT);
        }
        start_run(&mut state, &call);
        state.record_memory(engine.traits.memory_mib);
        cache_prefix(&mut state, &call.prompt)
    };
    ntex::rt::spawn(generate(Arc::clone(&engine), id, prefix_cached));
    stream(&engine, id, 0)
}

fn start_run(state: &mut EngineState, call: &EngineRun) {
    state.record.runs.push(RunRecord {
        attempt: call.request_id,
        model: call.model.clone(),
        prompt: call.prompt.clone(),
        whole: false,
    });
    let run = Run {
        call: call.clone(),
        pieces: 0,
        ended: false,
        cancelled: false,
        progress: Arc::new(Notify::new()),
    };
    state.runs.insert(call.request_id, run);
}

/// Adds the prefix of the prompt to the cache. Returns whether it was cached before.
fn cache_prefix(state: &mut EngineState, prompt: &str) -> bool {
    let prefix: String = prompt.chars().take(PREFIX_CHARS).collect();
    let hash = crc32fast::hash(prefix.as_bytes());
    let prefix_cached = state.prefixes.contains(&hash);
    if !prefix_cached {
        state.prefixes.push_back(hash);
    }
    if state.prefixes.len() > MAX_CACHED_PREFIXES {
        state.prefixes.pop_front();
    }
    prefix_cached
}

async fn generate(engine: Arc<EngineShared>, id: AttemptId, prefix_cached: bool) {
    let traits = &engine.traits;
    let prefill = if prefix_cached {
        traits.prefill_us / 10
    } else {
        traits.prefill_us
    };
    tokio::time::sleep(Duration::from_micros(prefill)).await;
    // Pieces are due on an absolute schedule, so that coarse timers do not slow generation down.
    let mut due = tokio::time::Instant::now();
    loop {
        let batch_size = engine.state().batch_size().saturating_sub(1);
        due += Duration::from_micros(traits.piece_us + traits.batch_us * batch_size);
        tokio::time::sleep_until(due).await;
        let mut state = engine.state();
        let Some(run) = state.runs.get_mut(&id) else {
            return;
        };
        if run.cancelled {
            run.ended = true;
            run.progress.notify_waiters();
            return;
        }
        run.pieces += 1;
        let complete = run.call.given + run.pieces >= run.call.max_tokens;
        run.ended = complete;
        run.progress.notify_waiters();
        if complete {
            let mut records = state.record.runs.iter_mut().rev();
            if let Some(record) = records.find(|record| record.attempt == id) {
                record.whole = true;
            }
            return;
        }
    }
}

struct StreamReader {
    engine: Arc<EngineShared>,
    id: AttemptId,
    /// Boot ID of the process that the stream comes from.
    boot: u64,
    next: u32,
    finished: bool,
}

fn stream(engine: &Engine, id: AttemptId, from: u32) -> HttpResponse {
    let (boot, version) = {
        let state = engine.state();
        (state.boot, state.version.clone())
    };
    let reader = StreamReader {
        engine: Arc::clone(engine),
        id,
        boot,
        next: from,
        finished: false,
    };
    let events = futures::stream::unfold(reader, |mut reader| async move {
        let text = reader.next_events().await?;
        Some((Ok::<_, std::io::Error>(Bytes::from(text)), reader))
    });
    let mut response = HttpResponse::Ok();
    response.content_type("text/event-stream");
    response.set_header(BOOT_HEADER, boot.to_string());
    if let Some(version) = version {
        response.set_header(VERSION_HEADER, version);
    }
    response.streaming(Box::pin(events))
}

impl StreamReader {
    /// Waits for the next events; returns `None` at the end of the stream.
    async fn next_events(&mut self) -> Option<String> {
        if self.finished {
            return None;
        }
        loop {
            let progress = self.engine.state().runs.get(&self.id)?.progress.clone();
            let wait = progress.notified();
            tokio::pin!(wait);
            wait.as_mut().enable();
            if let Some(text) = self.take_events() {
                return Some(text);
            }
            if self.finished {
                return None;
            }
            wait.await;
        }
    }

    fn take_events(&mut self) -> Option<String> {
        let mut state = self.engine.state();
        if state.boot != self.boot {
            self.finished = true;
            return None;
        }
        let run = state.runs.get(&self.id)?;
        let mark = match (&state.version, self.engine.traits.marks_pieces) {
            (Some(version), true) => format!("{version}:"),
            (_, _) => String::new(),
        };
        let mut text = String::new();
        for index in self.next..run.pieces {
            let piece = piece_text(&run.call.prompt, run.call.given + index);
            let piece = EnginePiece {
                index,
                text: format!("{mark}{piece}"),
            };
            let json = serde_json::to_string(&piece).unwrap_or_default();
            text.push_str(&format!("data: {json}\n\n"));
        }
        self.next = self.next.max(run.pieces);
        match (run.ended, run.cancelled) {
            (true, true) => self.finished = true,
            (true, false) => {
                text.push_str(&format!("data: {DONE_MARKER}\n\n"));
                self.finished = true;
            }
            (false, _) => {}
        }
        if state.faults.cut_streams > 0 && !text.is_empty() {
            state.faults.cut_streams -= 1;
            self.finished = true;
            text = text.replace(DONE_MARKER, "cut");
            let cut = text.find("data: cut").unwrap_or(text.len());
            text.truncate(cut);
        }
        let due = |replacement: &mut EngineReplacement| self.next >= replacement.after_pieces;
        if let Some(replacement) = state.faults.replacement.take_if(due) {
            state.replace(replacement);
        }
        (!text.is_empty()).then_some(text)
    }
}

fn parse_id(text: &str) -> Option<AttemptId> {
    let (entry, number) = text.split_once('-')?;
    Some(AttemptId {
        entry: crate::ids::Incarnation(entry.parse().ok()?),
        number: number.parse().ok()?,
    })
}

async fn resume(engine: Engine, request: HttpRequest, id: types::Path<String>) -> HttpResponse {
    let from = request.query_string().strip_prefix("from=");
    let from = from.and_then(|text| text.parse().ok()).unwrap_or(0);
    let known = |id: &AttemptId| {
        let state = engine.state();
        state.runs.get(id).is_some_and(|run| !run.cancelled)
    };
    match parse_id(&id).filter(known) {
        Some(id) => stream(&engine, id, from),
        None => status(StatusCode::NOT_FOUND),
    }
}

async fn cancel(engine: Engine, id: types::Path<String>) -> HttpResponse {
    let mut state = engine.state();
    let run = parse_id(&id).and_then(|id| state.runs.get_mut(&id));
    match run {
        Some(run) => {
            run.cancelled = !run.ended;
            run.ended = true;
            run.progress.notify_waiters();
            status(StatusCode::OK)
        }
        None => status(StatusCode::NOT_FOUND),
    }
}

async fn order(engine: Engine, order: types::Json<EngineOrder>) -> HttpResponse {
    let order = order.into_inner();
    let traits = &engine.traits;
    let load = {
        let mut state = engine.state();
        if state.faults.drop_orders > 0 {
            state.faults.drop_orders -= 1;
            return status(StatusCode::INTERNAL_SERVER_ERROR);
        }
        let stale = order.seq <= state.fence || order.boot != state.boot;
        if traits.fenced && stale {
            state.record.fenced_off += 1;
            return status(StatusCode::CONFLICT);
        }
        state.fence = state.fence.max(order.seq);
        apply_order(&mut state, traits, &order)
    };
    if let Some(model) = load {
        ntex::rt::spawn(finish_load(Arc::clone(&engine), model));
    }
    let mut state = engine.state();
    if state.faults.drop_answers > 0 {
        state.faults.drop_answers -= 1;
        return status(StatusCode::INTERNAL_SERVER_ERROR);
    }
    status(StatusCode::OK)
}

/// Applies an order; memory is taken or freed at once. Returns the model whose load begins.
fn apply_order(
    state: &mut EngineState,
    traits: &EngineTraits,
    order: &EngineOrder,
) -> Option<ModelName> {
    match &order.act {
        OrderAct::Fence => {
            state.run_fence = state.run_fence.max(order.seq);
            None
        }
        OrderAct::Unload(model) => {
            if state.resident.remove(model).is_some() {
                state.record.moves += 1;
            }
            None
        }
        OrderAct::Load(model, _) if state.resident.contains_key(model) => None,
        OrderAct::Load(model, mib) => {
            let info = ResidentInfo {
                mib: *mib,
                ready: false,
            };
            state.resident.insert(model.clone(), info);
            state.record.moves += 1;
            state.record_memory(traits.memory_mib);
            Some(model.clone())
        }
    }
}

async fn finish_load(engine: Arc<EngineShared>, model: ModelName) {
    let allowed = match &engine.traits.store_url {
        Some(url) => daemon::get_json::<bool>(&format!("{url}/load")).await,
        None => Ok(true),
    };
    tokio::time::sleep(Duration::from_millis(engine.traits.load_ms)).await;
    let mut state = engine.state();
    match allowed {
        Ok(true) => {
            if let Some(info) = state.resident.get_mut(&model) {
                info.ready = true;
            }
        }
        _ => {
            state.resident.remove(&model);
        }
    }
}

async fn report(engine: Engine) -> HttpResponse {
    let now_ms = crate::clock::monotonic_ms();
    let fresh = {
        let state = engine.state();
        let live = state.runs.iter().filter(|(_, run)| !run.ended);
        EngineReport {
            boot: state.boot,
            version: state.version.clone(),
            fence: state.fence,
            run_fence: state.run_fence,
            resident: state.resident.clone(),
            running: live
                .map(|(id, run)| RunningInfo {
                    attempt: *id,
                    mib: run.call.kv_mib,
                })
                .collect(),
        }
    };
    let mut reports = engine
        .reports
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    reports.push_back((now_ms, fresh));
    let lag_ms = engine.traits.report_lag_ms;
    while reports.len() > 1 && reports[1].0 + lag_ms <= now_ms {
        reports.pop_front();
    }
    HttpResponse::Ok().json(&reports[0].1)
}

async fn record(engine: Engine) -> HttpResponse {
    HttpResponse::Ok().json(&engine.state().record)
}

async fn faults(engine: Engine, faults: types::Json<EngineFaults>) -> HttpResponse {
    let mut state = engine.state();
    state.faults = faults.into_inner();
    let at_once = |replacement: &mut EngineReplacement| replacement.after_pieces == 0;
    if let Some(replacement) = state.faults.replacement.take_if(at_once) {
        state.replace(replacement);
    }
    status(StatusCode::OK)
}

impl EngineRecord {
    /// Returns the prompts of all runs that were started, to compare with the outcomes that callers
    /// received.
    pub fn prompts(&self) -> BTreeSet<&str> {
        self.runs.iter().map(|run| run.prompt.as_str()).collect()
    }
}
