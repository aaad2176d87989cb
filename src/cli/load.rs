//! The load tool: open-loop arrivals of a mix of request classes, with every
//! answer checked against what its caller may expect.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use hdrhistogram::Histogram;
use ntex::client::{Client, ClientResponse, Connector};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::Instant;

use crate::ids::ModelName;
use crate::process::settings::{SettingsError, ValidatedSettings};
use crate::standin;

/// Most requests in flight; arrivals beyond it are counted as not sent.
const MAX_IN_FLIGHT: usize = 20_000;
/// Longest answer read, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Time beyond the last patience that the tool waits for answers.
const RESPONSE_GRACE: Duration = Duration::from_secs(5);
/// Longest recorded time: an hour, in microseconds.
const MAX_LATENCY_US: u64 = 3_600_000_000;
/// Connections to the entries.
const MAX_CONNECTIONS: usize = 4096;

/// One class of the mix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadClass {
    /// The caller's key.
    pub key: String,
    /// The request class.
    pub class: String,
    /// Model, adapter or, with `service_path`, plain service.
    pub model: ModelName,
    /// Requests a second.
    pub rate: f64,
    /// Pieces asked for.
    #[serde(default)]
    pub tokens: u32,
    /// How long the caller waits, in milliseconds.
    pub patience_ms: u64,
    /// Send an idempotency key.
    #[serde(default)]
    pub at_most_once: bool,
    /// The path of a plain service's call.
    #[serde(default)]
    pub service_path: Option<String>,
    /// Ask for a stream.
    #[serde(default)]
    pub stream: bool,
    /// Prompts share one of this many beginnings.
    #[serde(default = "one")]
    pub prefixes: u32,
}

fn one() -> u32 {
    1
}

/// A time of the run in which some rates are multiplied.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPhase {
    /// From this second of the run on.
    pub from_s: f64,
    /// Factors by class; 1 where a class is not named.
    pub factors: BTreeMap<String, f64>,
}

/// What is sent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadMix {
    /// The classes.
    pub classes: Vec<LoadClass>,
    /// Phases in order of their start.
    #[serde(default)]
    pub phases: Vec<LoadPhase>,
}

impl ValidatedSettings for LoadMix {
    fn check(&self) -> Result<(), (&'static str, String)> {
        let invalid = |field, reason: &str| Err((field, reason.to_owned()));
        let sorted = self.phases.is_sorted_by(|a, b| a.from_s <= b.from_s);
        match self {
            mix if mix.classes.is_empty() => invalid("classes", "must name at least one"),
            mix if mix
                .classes
                .iter()
                .any(|c| !c.rate.is_finite() || c.rate < 0.0) =>
            {
                invalid("classes.rate", "must be zero or more")
            }
            mix if mix.classes.iter().any(|c| c.patience_ms == 0) => {
                invalid("classes.patience_ms", "must be at least 1")
            }
            mix if mix
                .classes
                .iter()
                .any(|c| c.service_path.is_none() && c.tokens == 0) =>
            {
                invalid("classes.tokens", "must be at least 1")
            }
            _ if !sorted => invalid("phases.from_s", "must rise"),
            _ => Ok(()),
        }
    }
}

/// Reads and checks a mix.
pub fn load_mix(path: &Path) -> Result<LoadMix, SettingsError> {
    crate::process::settings::load(path)
}

/// How the tool runs.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Entries, as `ip:port`.
    pub entries: Vec<String>,
    /// What is sent.
    pub mix: LoadMix,
    /// For how long, in seconds.
    pub seconds: f64,
    /// Seed of arrivals and prompts.
    pub seed: u64,
    /// Answers are the stand-in engine's, so that their text can be checked.
    pub check_standin_text: bool,
}

/// What one caller asked and was told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LoadRecord {
    /// The class.
    pub class: String,
    /// The prompt or document: no two are the same.
    pub prompt: String,
    /// `done`, `not-run`, `unknown`, or empty where no answer came.
    pub outcome: String,
    /// The cause, where there is one.
    pub cause: String,
}

/// One class's sums.
#[derive(Clone, Debug)]
pub struct ClassStats {
    /// Requests sent.
    pub sent: u64,
    /// Done, whole and correct.
    pub done: u64,
    /// Of these, within patience.
    pub within: u64,
    /// Told not run, by cause.
    pub not_run: BTreeMap<String, u64>,
    /// Told unknown, by cause.
    pub unknown: BTreeMap<String, u64>,
    /// No answer.
    pub lost: u64,
    /// Times to the end of done answers, in microseconds.
    pub latencies_us: Histogram<u64>,
}

impl ClassStats {
    fn new() -> Self {
        Self {
            sent: 0,
            done: 0,
            within: 0,
            not_run: BTreeMap::new(),
            unknown: BTreeMap::new(),
            lost: 0,
            latencies_us: Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)
                .expect("the bounds are constants"),
        }
    }

    /// Part of the requests sent that were done within patience.
    pub fn attainment(&self) -> f64 {
        match self.sent {
            0 => 1.0,
            sent => self.within as f64 / sent as f64,
        }
    }

    /// A quantile of the times of done answers, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latencies_us.value_at_quantile(quantile) as f64 / 1000.0
    }
}

/// What came of a run.
#[derive(Debug, Default)]
pub struct LoadReport {
    /// Sums by class.
    pub classes: BTreeMap<String, ClassStats>,
    /// Answers that broke a promise.
    pub violations: Vec<String>,
    /// Every request.
    pub records: Vec<LoadRecord>,
    /// Arrivals that were not sent, as too many were in flight.
    pub unsent: u64,
}

impl LoadReport {
    /// Requests done within patience.
    pub fn within(&self) -> u64 {
        self.classes.values().map(|stats| stats.within).sum()
    }

    /// As a table for people.
    pub fn text(&self) -> String {
        let mut text = format!(
            "{:<22} {:>6} {:>6} {:>7} {:>7} {:>5} {:>8} {:>8} {:>8} {:>7}\n",
            "class",
            "sent",
            "done",
            "not-run",
            "unknown",
            "lost",
            "p50 ms",
            "p95 ms",
            "p99 ms",
            "within"
        );
        for (class, stats) in &self.classes {
            let sum = |causes: &BTreeMap<String, u64>| causes.values().sum::<u64>();
            text.push_str(&format!(
                "{:<22} {:>6} {:>6} {:>7} {:>7} {:>5} {:>8.1} {:>8.1} {:>8.1} {:>7.4}\n",
                class,
                stats.sent,
                stats.done,
                sum(&stats.not_run),
                sum(&stats.unknown),
                stats.lost,
                stats.quantile_ms(0.5),
                stats.quantile_ms(0.95),
                stats.quantile_ms(0.99),
                stats.attainment(),
            ));
        }
        text
    }

    /// As JSON for programs.
    pub fn json(&self) -> serde_json::Value {
        let classes = self.classes.iter().map(|(class, stats)| {
            let value = json!({
                "sent": stats.sent, "done": stats.done, "within": stats.within,
                "not_run": stats.not_run, "unknown": stats.unknown, "lost": stats.lost,
                "p50_ms": stats.quantile_ms(0.5), "p95_ms": stats.quantile_ms(0.95),
                "p99_ms": stats.quantile_ms(0.99), "attainment": stats.attainment(),
            });
            (class.clone(), value)
        });
        json!({
            "classes": classes.collect::<serde_json::Map<_, _>>(),
            "broken": self.violations, "unsent": self.unsent,
        })
    }
}

struct LoadState {
    plan: LoadPlan,
    client: Client,
    report: RefCell<LoadReport>,
    in_flight: RefCell<usize>,
}

/// Sends the mix, and waits for the answers. Runs on the current thread.
pub async fn run(plan: LoadPlan) -> LoadReport {
    let connector = Connector::new().limit(MAX_CONNECTIONS);
    let client = Client::builder()
        .connector::<()>(connector)
        .disable_timeout();
    let client = client.build(ntex::SharedCfg::default()).await;
    let state = Rc::new(LoadState {
        client: client.expect("a client without middleware builds"),
        report: RefCell::new(LoadReport::default()),
        in_flight: RefCell::new(0),
        plan,
    });
    let started = Instant::now();
    let classes = 0..state.plan.mix.classes.len();
    let generators = classes.map(|class| generate_arrivals(state.clone(), class, started));
    futures::future::join_all(generators).await;
    let patience = state
        .plan
        .mix
        .classes
        .iter()
        .map(|class| class.patience_ms)
        .max();
    let until = Instant::now() + Duration::from_millis(patience.unwrap_or(0)) + RESPONSE_GRACE;
    while *state.in_flight.borrow() > 0 && Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let left = *state.in_flight.borrow();
    let mut report = state.report.take();
    if left > 0 {
        report
            .violations
            .push(format!("{left} requests got no response"));
    }
    report
}

fn factor_at(mix: &LoadMix, class: &str, second: f64) -> f64 {
    let now = mix.phases.iter().rev().find(|phase| phase.from_s <= second);
    let factor = now.and_then(|phase| phase.factors.get(class));
    factor.copied().unwrap_or(1.0)
}

/// Arrivals of one class, at exponential times.
async fn generate_arrivals(state: Rc<LoadState>, class: usize, started: Instant) {
    let plan = &state.plan;
    let spec = &plan.mix.classes[class];
    let mut rng = SmallRng::seed_from_u64(plan.seed * 1009 + class as u64);
    let mut due = 0.0;
    let mut number = 0;
    loop {
        let rate = spec.rate * factor_at(&plan.mix, &spec.class, due);
        // A quiet class looks again for its next phase.
        let gap = match rate > 0.0 {
            true => -rng.random::<f64>().max(f64::MIN_POSITIVE).ln() / rate,
            false => 0.1,
        };
        due += gap;
        if due >= plan.seconds {
            return;
        }
        tokio::time::sleep_until(started + Duration::from_secs_f64(due)).await;
        if rate <= 0.0 {
            continue;
        }
        if *state.in_flight.borrow() >= MAX_IN_FLIGHT {
            state.report.borrow_mut().unsent += 1;
            continue;
        }
        number += 1;
        let prefix = rng.random_range(0..spec.prefixes.max(1));
        let entry = rng.random_range(0..plan.entries.len());
        *state.in_flight.borrow_mut() += 1;
        let state = state.clone();
        ntex::rt::spawn(async move {
            run_request(&state, class, prefix, number, entry).await;
            *state.in_flight.borrow_mut() -= 1;
        });
    }
}

struct CallResult {
    outcome: String,
    cause: String,
    text: String,
    retry: bool,
}

async fn run_request(state: &LoadState, class: usize, prefix: u32, number: u64, entry: usize) {
    let plan = &state.plan;
    let spec = &plan.mix.classes[class];
    let prefix_text = format!("{} {} beginning {prefix} ", spec.class, spec.model);
    let prompt = format!("{prefix_text:-<64} {}-{number}", plan.seed);
    let started = Instant::now();
    let result = send_request(state, spec, &prompt, &plan.entries[entry]).await;
    let elapsed = started.elapsed();
    let mut report = state.report.borrow_mut();
    if let Some(violation) = find_violation(plan, spec, &prompt, &result) {
        report
            .violations
            .push(format!("{}: {violation}: {prompt}", spec.class));
    }
    let stats = report
        .classes
        .entry(spec.class.clone())
        .or_insert_with(ClassStats::new);
    stats.sent += 1;
    match result.outcome.as_str() {
        "done" => {
            stats.done += 1;
            stats
                .latencies_us
                .saturating_record(elapsed.as_micros() as u64);
            stats.within += u64::from(elapsed <= Duration::from_millis(spec.patience_ms));
        }
        "not-run" => *stats.not_run.entry(result.cause.clone()).or_default() += 1,
        "unknown" => *stats.unknown.entry(result.cause.clone()).or_default() += 1,
        _ => stats.lost += 1,
    }
    report.records.push(LoadRecord {
        class: spec.class.clone(),
        prompt,
        outcome: result.outcome,
        cause: result.cause,
    });
}

/// What is wrong with an answer, if anything is.
fn find_violation(
    plan: &LoadPlan,
    spec: &LoadClass,
    prompt: &str,
    result: &CallResult,
) -> Option<String> {
    let expected_text = || -> String {
        let pieces = 0..spec.tokens;
        pieces
            .map(|index| standin::piece_text(prompt, index))
            .collect()
    };
    let checks_text = plan.check_standin_text && spec.service_path.is_none();
    match result.outcome.as_str() {
        "done" if checks_text && result.text != expected_text() => {
            Some("text of a done response differs from the stand-in engine's".to_owned())
        }
        "not-run" if !result.retry => Some("not-run response without retry-after".to_owned()),
        "not-run" if !result.text.is_empty() => Some("not-run response with text".to_owned()),
        "done" | "not-run" | "unknown" | "" => None,
        outcome => Some(format!("unknown outcome '{outcome}'")),
    }
}

async fn send_request(
    state: &LoadState,
    spec: &LoadClass,
    prompt: &str,
    entry: &str,
) -> CallResult {
    let path = match &spec.service_path {
        Some(path) => format!("/services/{}/{path}", spec.model),
        None => "/v1/completions".to_owned(),
    };
    let call = state
        .client
        .post(format!("http://{entry}{path}"))
        .bearer_auth(&spec.key)
        .header("x-request-class", spec.class.as_str());
    let call = match spec.at_most_once {
        true => call.header("idempotency-key", prompt),
        false => call,
    };
    let body = json!({
        "model": spec.model, "prompt": prompt, "max_tokens": spec.tokens, "stream": spec.stream,
    });
    let sent = match &spec.service_path {
        Some(_) => call.send_body(prompt.to_owned()).await,
        None => call.send_json(&body).await,
    };
    match sent {
        Ok(response) => read_response(response).await,
        Err(_) => no_response(),
    }
}

fn no_response() -> CallResult {
    CallResult {
        outcome: String::new(),
        cause: String::new(),
        text: String::new(),
        retry: false,
    }
}

async fn read_response(response: ClientResponse) -> CallResult {
    let header = |name: &str| {
        let value = response.headers().get(name)?.to_str().ok()?;
        Some(value.to_owned())
    };
    let outcome = header("x-outcome").unwrap_or_default();
    let retry = header("retry-after").is_some();
    let streamed = header("content-type").as_deref() == Some("text/event-stream");
    let body = response
        .body()
        .limit(MAX_RESPONSE_BYTES)
        .timeout(ntex::time::Millis(3_600_000))
        .await;
    let Ok(body) = body else {
        return no_response();
    };
    let body = String::from_utf8_lossy(&body).into_owned();
    if streamed {
        return read_stream(&body);
    }
    let value: serde_json::Value = serde_json::from_str(&body).unwrap_or_default();
    let cause = value["error"]["code"].as_str().unwrap_or_default();
    let text = match value["choices"][0]["text"].as_str() {
        Some(text) => text.to_owned(),
        None => String::new(),
    };
    CallResult {
        outcome,
        cause: cause.to_owned(),
        text,
        retry,
    }
}

fn read_stream(body: &str) -> CallResult {
    let mut result = no_response();
    // A cut stream has no outcome, so it can't look whole.
    result.retry = true;
    for data in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        let Ok(event) = serde_json::from_str::<serde_json::Value>(data) else {
            continue;
        };
        match event["choices"][0]["text"].as_str() {
            Some(piece) => result.text.push_str(piece),
            None => {
                result.outcome = event["outcome"].as_str().unwrap_or_default().to_owned();
                result.cause = event["cause"].as_str().unwrap_or_default().to_owned();
            }
        }
    }
    result
}
