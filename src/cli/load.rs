//! Load generator: sends a mix of request classes with open-loop arrivals and checks every
//! response against the guarantees given to callers.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use hdrhistogram::Histogram;
use ntex::client::{Client, ClientResponse};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::Instant;

use crate::ids::ModelName;
use crate::process::read_limit;
use crate::process::settings::{SettingsError, ValidatedSettings};
use crate::standin;

/// Maximum number of requests in flight. Arrivals beyond it are counted as not sent.
const MAX_IN_FLIGHT: usize = 20_000;
/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Time to wait for responses after the longest `patience_ms` of the mix has passed.
const RESPONSE_GRACE: Duration = Duration::from_secs(5);
/// Maximum recorded latency: one hour, in microseconds.
const MAX_LATENCY_US: u64 = 3_600_000_000;
/// Maximum number of connections to the entries.
const MAX_CONNECTIONS: usize = 4096;

/// Request class of a mix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadClass {
    /// Key of the caller.
    pub key: String,
    /// Name of the request class.
    pub class: String,
    /// Model or adapter; with `service_path`, a plain service.
    pub model: ModelName,
    /// Mean request rate, in requests per second.
    pub rate: f64,
    /// Number of output tokens requested.
    #[serde(default)]
    pub tokens: u32,
    /// Deadline for a response, in milliseconds.
    pub patience_ms: u64,
    /// Whether to send an idempotency key.
    #[serde(default)]
    pub at_most_once: bool,
    /// Path of the call to a plain service.
    #[serde(default)]
    pub service_path: Option<String>,
    /// Whether to request a streamed response.
    #[serde(default)]
    pub stream: bool,
    /// Number of distinct prompt prefixes. Each prompt begins with one of them.
    #[serde(default = "one")]
    pub prefixes: u32,
}

fn one() -> u32 {
    1
}

/// Phase of the run in which some request rates are multiplied, or an entry is crowded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPhase {
    /// Start of the phase, in seconds since the start of the run.
    pub from_s: f64,
    /// Factors by class; 1 for a class that is not listed.
    #[serde(default)]
    pub factors: BTreeMap<String, f64>,
    /// Entry that gets more requests than others; by default all get the same.
    #[serde(default)]
    pub crowd: Option<EntryCrowd>,
}

/// Skew of the requests over entries.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryCrowd {
    /// Index of the crowded entry among those of the run, modulo their number.
    pub entry: usize,
    /// Fraction of the requests that it gets beyond an even share of the others.
    pub share: f64,
}

/// Request mix to send.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadMix {
    /// Request classes.
    pub classes: Vec<LoadClass>,
    /// Phases, sorted by start. The last one that has started applies.
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
            _ if !sorted => invalid("phases.from_s", "must be sorted"),
            mix if mix.crowds().any(|c| !(0.0..=1.0).contains(&c.share)) => {
                invalid("phases.crowd.share", "must be from 0 to 1")
            }
            _ => Ok(()),
        }
    }
}

impl LoadMix {
    fn crowds(&self) -> impl Iterator<Item = EntryCrowd> {
        self.phases.iter().filter_map(|phase| phase.crowd)
    }

    fn phase_at(&self, second: f64) -> Option<&LoadPhase> {
        self.phases
            .iter()
            .rev()
            .find(|phase| phase.from_s <= second)
    }

    /// Draws which of `entries` entries gets a request that is due at this second.
    pub fn draw_entry(&self, second: f64, entries: usize, random: &mut SmallRng) -> usize {
        let even = random.random_range(0..entries);
        let crowd = self.phase_at(second).and_then(|phase| phase.crowd);
        match crowd {
            Some(crowd) if random.random_bool(crowd.share) => crowd.entry % entries,
            _ => even,
        }
    }
}

/// Loads and validates a mix.
pub fn load_mix(path: &Path) -> Result<LoadMix, SettingsError> {
    crate::process::settings::load(path)
}

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Entries, as `ip:port`.
    pub entries: Vec<String>,
    /// Request mix to send.
    pub mix: LoadMix,
    /// Time during which requests are sent, in seconds.
    pub seconds: f64,
    /// Random seed of arrivals and prompts.
    pub seed: u64,
    /// Whether to compare response texts with those of the stand-in engine.
    pub check_standin_text: bool,
}

/// Outcome of one request, as reported to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LoadRecord {
    /// Name of the request class.
    pub class: String,
    /// Prompt, or body of a service call; unique within a run.
    pub prompt: String,
    /// `done`, `not-run` or `unknown`; empty if there was no complete
    /// response or it had no outcome.
    pub outcome: String,
    /// Cause of the outcome; may be empty.
    pub cause: String,
}

/// Results of one class.
#[derive(Clone, Debug)]
pub struct ClassStats {
    /// Number of requests sent.
    pub sent: u64,
    /// Number of requests with outcome `done`.
    pub done: u64,
    /// Number of those completed before their deadline.
    pub within: u64,
    /// Number of requests with outcome `not-run`, by cause.
    pub not_run: BTreeMap<String, u64>,
    /// Number of requests with outcome `unknown`, by cause.
    pub unknown: BTreeMap<String, u64>,
    /// Number of requests without one of these outcomes.
    pub lost: u64,
    /// Time until the end of the response of `done` requests, in microseconds.
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

    /// Returns the fraction of sent requests that were done before their deadline; 1 if none was
    /// sent.
    pub fn attainment(&self) -> f64 {
        match self.sent {
            0 => 1.0,
            sent => self.within as f64 / sent as f64,
        }
    }

    /// Returns a quantile of the latency of `done` requests, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latencies_us.value_at_quantile(quantile) as f64 / 1000.0
    }
}

/// Results of a run.
#[derive(Debug, Default)]
pub struct LoadReport {
    /// Results by class.
    pub classes: BTreeMap<String, ClassStats>,
    /// Descriptions of responses that violate a guarantee.
    pub violations: Vec<String>,
    /// Outcomes of all requests.
    pub records: Vec<LoadRecord>,
    /// Number of arrivals not sent because too many requests were in flight.
    pub unsent: u64,
}

impl LoadReport {
    /// Returns the number of requests done before their deadline, over all classes.
    pub fn within(&self) -> u64 {
        self.classes.values().map(|stats| stats.within).sum()
    }

    /// Formats the results as a table.
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

    /// Formats the results as JSON.
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

/// Sends the mix and waits for the responses. Runs on the current thread.
pub async fn run(plan: LoadPlan) -> LoadReport {
    let connector = read_limit::connector().limit(MAX_CONNECTIONS);
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
    let longest_ms = state
        .plan
        .mix
        .classes
        .iter()
        .map(|class| class.patience_ms)
        .max();
    let until = Instant::now() + Duration::from_millis(longest_ms.unwrap_or(0)) + RESPONSE_GRACE;
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
    let factor = mix
        .phase_at(second)
        .and_then(|phase| phase.factors.get(class));
    factor.copied().unwrap_or(1.0)
}

/// Sends the requests of one class, with exponentially distributed gaps.
async fn generate_arrivals(state: Rc<LoadState>, class: usize, started: Instant) {
    let plan = &state.plan;
    let spec = &plan.mix.classes[class];
    let mut rng = SmallRng::seed_from_u64(plan.seed * 1009 + class as u64);
    let mut due = 0.0;
    let mut number = 0;
    loop {
        let rate = spec.rate * factor_at(&plan.mix, &spec.class, due);
        // At rate zero, checks every 0.1 s whether a phase has raised the rate.
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
        let entry = plan.mix.draw_entry(due, plan.entries.len(), &mut rng);
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

/// Returns how a response violates the guarantees, if it does.
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
    // A stream that was cut off has no outcome event, so it does not count as done.
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
