//! The log line and the metrics of each request, written at its end. Lines are limited per second,
//! with separate limits for successes and failures.

use std::time::{Duration, Instant};

use crate::clock;
use crate::forward::arrivals::ReplicaArrival;
use crate::forward::caller::CallerIdentity;
use crate::forward::daemon::EntryCore;
use crate::forward::dialect::HeaderNames;
use crate::forward::head::ResponseHead;
use crate::forward::replica_table::Need;
use crate::ids::{ContentDigest, ReplicaId, ServiceName};
use crate::process::metrics::MetricKey;
use crate::routing::run_proof::NotRunProof;
use crate::table::configuration::RouteSpec;

/// Log lines per second for successful requests.
const MAX_SUCCESS_LINES: u32 = 10;
/// Log lines per second for failed or refused requests.
const MAX_FAILURE_LINES: u32 = 40;
/// Log lines per second for requests that were sent more than once, or sent and then refused.
const MAX_RESENT_LINES: u32 = 40;
/// Longest part of a header value shown in a log line, in characters.
const MAX_SHOWN_CHARS: usize = 32;

/// How a request ended, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A replica's complete response was forwarded.
    Answered,
    /// The request did not run.
    Refused,
    /// The request may have run.
    Unknown,
    /// The response was cut off.
    Cut,
    /// The client disconnected first.
    Left,
}

impl Outcome {
    fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
            Self::Cut => "cut",
            Self::Left => "left",
        }
    }
}

/// Data for the log line of one request.
#[derive(Debug)]
pub struct RequestLog {
    id: String,
    account: String,
    rank: u32,
    route: String,
    service: String,
    model: String,
    prompt_tokens: u64,
    /// The route's limits on the time to the first event, or to a complete response, and on the gap
    /// between events.
    aim: Duration,
    gap: Duration,
    since: Instant,
    replica: Option<ReplicaId>,
    attempts: u32,
    /// Where it was sent.
    arrivals: Vec<ReplicaArrival>,
    /// Why it surely did not run, if it was refused.
    proof: Option<NotRunProof>,
    resent: u32,
    waited: Duration,
    /// When the wait for a replica began, if it has not ended.
    waits_since: Option<Instant>,
    first: Option<Duration>,
    longest_pause: Duration,
    notes: Vec<String>,
    content: Option<ContentDigest>,
    /// Digests of the shared parts of its prompt.
    parts: Vec<ContentDigest>,
    /// The part for which the request was refused or withdrawn.
    part: Option<ContentDigest>,
    /// Agents that were asked for quotes, and how many replied.
    agents: (usize, usize),
    /// Quoted time to the first event at the chosen replica, or the shortest one, and the age of the
    /// report on which it is based, in milliseconds.
    quote: Option<(u64, u32)>,
    end: (Outcome, u16, &'static str),
}

impl RequestLog {
    /// Creates the log of a request that has not ended.
    pub fn new(
        id: &str,
        route: &RouteSpec,
        need: &Need,
        caller: Option<&CallerIdentity>,
        since: Instant,
    ) -> Self {
        let model = need.model.as_ref().map_or("", |model| model.as_str());
        let adapter = need.adapter.as_deref().map(|name| format!("/{name}"));
        Self {
            id: id.to_owned(),
            account: caller.map_or(String::new(), |caller| caller.account.0.clone()),
            rank: caller
                .and_then(|caller| caller.priority)
                .unwrap_or(route.priority),
            route: route.name.clone(),
            service: need.service.as_ref().map_or(String::new(), |s| s.0.clone()),
            model: format!("{model}{}", adapter.unwrap_or_default()),
            prompt_tokens: need.prompt_tokens,
            aim: Duration::from_millis(route.latency_goal_ms),
            gap: Duration::from_millis(route.max_event_gap_ms),
            since,
            replica: None,
            attempts: 0,
            arrivals: Vec::new(),
            proof: None,
            resent: 0,
            waited: Duration::ZERO,
            waits_since: None,
            first: None,
            longest_pause: Duration::ZERO,
            notes: Vec::new(),
            content: None,
            parts: need.part_digests.clone(),
            part: None,
            agents: (0, 0),
            quote: None,
            end: (Outcome::Left, 0, "the client left"),
        }
    }

    /// Records that the request begins to wait for a replica.
    pub fn begin_wait(&mut self) {
        self.waits_since = Some(Instant::now());
    }

    /// Records that the request has a replica, or is refused.
    pub fn end_wait(&mut self) {
        self.waited = self.waited();
        self.waits_since = None;
    }

    /// Time spent waiting for a replica. A request that its client abandons may still wait.
    fn waited(&self) -> Duration {
        let waits = self.waits_since.map(|since| since.elapsed());
        self.waited + waits.unwrap_or_default()
    }

    /// Records that the request is sent to a replica.
    pub fn record_attempt(&mut self, replica: &ReplicaId) {
        self.attempts += 1;
        self.replica = Some(replica.clone());
    }

    /// Records that the request is about to be sent on a connection.
    pub fn record_arrival(&mut self, arrival: ReplicaArrival) {
        self.arrivals.push(arrival);
    }

    /// Records the head of the response to the last arrival.
    pub fn record_head(&mut self, head: &ResponseHead, names: &HeaderNames) {
        if let Some(arrival) = self.arrivals.last_mut() {
            arrival.record_head(head, names);
        }
    }

    /// Records what was concluded of the last arrival. An attempt that sent nothing is none.
    pub fn end_arrival(&mut self, end: &'static str) {
        if let Some(arrival) = self.arrivals.last_mut() {
            arrival.end(end);
        }
    }

    /// Records whether the budget allowed a resend.
    pub fn resent(&mut self, allowed: bool) {
        match allowed {
            true => self.resent += 1,
            false => self.note("resend budget exhausted"),
        }
    }

    /// Records how many agents were asked for quotes, and how many replied.
    pub fn record_asked(&mut self, asked: usize, replied: usize) {
        self.agents.0 += asked;
        self.agents.1 += replied;
    }

    /// Records the quote of the chosen replica, or the best one if none has free capacity.
    pub fn record_quote(&mut self, first_event_ms: u64, report_age_ms: u32) {
        self.quote = Some((first_event_ms, report_age_ms));
    }

    /// Adds a note to the log line.
    pub fn note(&mut self, text: &str) {
        self.notes.push(text.to_owned());
    }

    /// Records that a replica did not run the request, and its `Retry-After` value.
    pub fn refused(&mut self, replica: &ReplicaId, retry_after: Option<&str>) {
        let suffix = retry_after_suffix(retry_after);
        self.notes
            .push(format!("refused by replica {replica}{suffix}"));
    }

    /// Records that a replica failed with a status of its own, and its `Retry-After` value.
    pub fn failed_by(&mut self, replica: &ReplicaId, status: u16, retry_after: Option<&str>) {
        let suffix = retry_after_suffix(retry_after);
        self.notes
            .push(format!("replica {replica} failed: {status}{suffix}"));
    }

    /// Records the content digest: shown if a replica lost the connection during the request, or if
    /// the request was refused for its content.
    pub fn content(&mut self, digest: ContentDigest) {
        self.content = Some(digest);
    }

    /// Records the service, if it is another one than the request's route named first.
    pub fn service(&mut self, service: &ServiceName) {
        self.service = service.0.clone();
    }

    /// Records the part of the prompt for which the request is refused or withdrawn.
    pub fn part(&mut self, part: ContentDigest) {
        self.part = Some(part);
    }

    /// Records when the first event is sent.
    pub fn first_event(&mut self) {
        let since = self.since;
        self.first.get_or_insert_with(|| since.elapsed());
    }

    /// Records the gap between two events.
    pub fn record_gap(&mut self, gap: Duration) {
        self.longest_pause = self.longest_pause.max(gap);
    }

    /// Records that a replica's response was forwarded.
    pub fn answered(&mut self, status: u16) {
        self.end = (Outcome::Answered, status, "");
    }

    /// Whether a replica's complete response was forwarded.
    pub fn is_answered(&self) -> bool {
        self.end.0 == Outcome::Answered
    }

    /// Records an end without a replica's complete response.
    pub fn set_end(&mut self, outcome: Outcome, status: u16, reason: &'static str) {
        self.end = (outcome, status, reason);
    }

    /// Records that the request is refused, and why it surely did not run.
    pub fn refuse(&mut self, status: u16, reason: &'static str, proof: NotRunProof) {
        self.proof = Some(proof);
        self.set_end(Outcome::Refused, status, reason);
    }

    /// Which limit on log lines applies.
    fn line_kind(&self) -> LineKind {
        match self.end {
            _ if self.arrivals.len() > 1 => LineKind::Resent,
            (Outcome::Refused, ..) if !self.arrivals.is_empty() => LineKind::Resent,
            (Outcome::Answered, ..500, _) => LineKind::Answered,
            _ => LineKind::Failed,
        }
    }

    /// Returns which latency limit of its route a response missed; empty if none.
    fn late(&self, took: Duration) -> &'static str {
        match self.first {
            _ if self.end.0 != Outcome::Answered => "",
            Some(first) if first > self.aim => "first event",
            Some(_) if self.longest_pause > self.gap => "pause",
            None if took > self.aim => "whole answer",
            _ => "",
        }
    }

    /// Writes the log line and the metrics.
    pub fn write(&self, core: &EntryCore) {
        let (outcome, status, reason) = self.end;
        let took = self.since.elapsed();
        let labels = [
            ("service", self.service.as_str()),
            ("outcome", outcome.name()),
        ];
        let mut metrics = core.metrics.lock().unwrap_or_else(|b| b.into_inner());
        metrics.count(MetricKey::new("dunlinspring_requests_total", &labels), 1);
        let micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let key = MetricKey::new("dunlinspring_request_seconds", &labels);
        metrics.time(key, micros(took));
        let key = MetricKey::new("dunlinspring_waited_seconds", &labels);
        metrics.time(key, micros(self.waited()));
        if !self.account.is_empty() {
            let labels = [
                ("account", metrics.account_label(&self.account)),
                ("outcome", outcome.name()),
            ];
            let key = MetricKey::new("dunlinspring_account_requests_total", &labels);
            metrics.count(key, 1);
            let key = MetricKey::new("dunlinspring_account_seconds", &labels[..1]);
            metrics.time(key, micros(took));
        }
        if let Some(first) = self.first {
            let key = MetricKey::new("dunlinspring_first_event_seconds", &labels[..1]);
            metrics.time(key, micros(first));
            let key = MetricKey::new("dunlinspring_longest_pause_seconds", &labels[..1]);
            metrics.time(key, micros(self.longest_pause));
        }
        drop(metrics);
        if core.lines.borrow_mut().may_write(self.line_kind()) {
            let millis = |time: Duration| time.as_millis() as u64;
            let (asked, replied) = self.agents;
            tracing::info!(
                request = self.id,
                account = self.account,
                rank = self.rank,
                route = self.route,
                service = self.service,
                model = self.model,
                prompt_tokens = self.prompt_tokens,
                version = core.version(),
                replica = self.replica.as_ref().map_or("", |id| id.as_str()),
                tries = self.attempts,
                resent = self.resent,
                waited_ms = millis(self.waited()),
                first_ms = self.first.map(millis),
                longest_pause_ms = self.first.map(|_| millis(self.longest_pause)),
                took_ms = millis(took),
                late = self.late(took),
                status,
                outcome = outcome.name(),
                reason,
                proof = self.proof.map(NotRunProof::name),
                arrivals = join_arrivals(&self.arrivals),
                notes = self.notes.join("; "),
                content = self.content.map(|digest| digest.to_string()),
                parts = self.content.map(|_| join_digests(&self.parts)),
                part = self.part.map(|digest| digest.to_string()),
                agents_asked = (asked > 0).then_some(asked),
                agents_replied = (asked > 0).then_some(replied),
                quoted_first_ms = self.quote.map(|(first_ms, _)| first_ms),
                quote_age_ms = self.quote.map(|(_, age_ms)| age_ms),
                "request"
            );
        }
    }
}

/// Describes arrivals in their order.
fn join_arrivals(arrivals: &[ReplicaArrival]) -> String {
    let arrivals: Vec<String> = arrivals.iter().map(ToString::to_string).collect();
    arrivals.join("; ")
}

/// Joins digests by commas.
pub(super) fn join_digests<'a>(digests: impl IntoIterator<Item = &'a ContentDigest>) -> String {
    let digests: Vec<String> = digests.into_iter().map(ToString::to_string).collect();
    digests.join(",")
}

/// Returns the `Retry-After` value as a suffix for a note; empty if there is none.
fn retry_after_suffix(retry_after: Option<&str>) -> String {
    let shown = retry_after.map(|text| text.chars().take(MAX_SHOWN_CHARS).collect::<String>());
    shown.map_or(String::new(), |text| format!(", retry after {text}"))
}

/// Log lines with a limit of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LineKind {
    /// A replica's response was forwarded.
    Answered,
    /// The request failed, or was refused before it was sent.
    Failed,
    /// The request was sent more than once, or refused as the replica that it was sent to turned it
    /// away.
    Resent,
}

/// Counts the log lines of the current second.
#[derive(Debug, Default)]
pub(super) struct LogLineLimit {
    second: u64,
    answered: u32,
    failed: u32,
    resent: u32,
    suppressed: u32,
}

impl LogLineLimit {
    /// Whether one more line may be written.
    pub(super) fn may_write(&mut self, kind: LineKind) -> bool {
        let second = clock::monotonic_ms() / 1_000;
        if second != self.second {
            if self.suppressed > 0 {
                tracing::info!(lines = self.suppressed, "request log lines suppressed");
            }
            *self = Self {
                second,
                ..Self::default()
            };
        }
        let (count, most) = match kind {
            LineKind::Answered => (&mut self.answered, MAX_SUCCESS_LINES),
            LineKind::Failed => (&mut self.failed, MAX_FAILURE_LINES),
            LineKind::Resent => (&mut self.resent, MAX_RESENT_LINES),
        };
        *count += 1;
        let allowed = *count <= most;
        self.suppressed += u32::from(!allowed);
        allowed
    }
}
