//! One line and the figures of each request, at its end; lines are bounded each second,
//! those of failures apart from the others.

use std::time::{Duration, Instant};

use crate::clock;
use crate::forward::caller::CallerIdentity;
use crate::forward::daemon::EntryCore;
use crate::forward::replica_table::Need;
use crate::ids::{ContentDigest, ReplicaId};
use crate::process::metrics::MetricKey;
use crate::table::configuration::RouteSpec;

/// Log lines a second for requests that went well.
const MAX_SUCCESS_LINES: u32 = 10;
/// Log lines a second for requests that failed or were refused.
const MAX_FAILURE_LINES: u32 = 40;
/// Longest part of a header's value that a line shows, in characters.
const MAX_SHOWN_CHARS: usize = 32;

/// How a request ended, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A replica's answer was passed on whole.
    Answered,
    /// It did not run.
    Refused,
    /// It may have run.
    Unknown,
    /// Broken off midway.
    Cut,
    /// The client left first.
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

/// What is logged of one request, in one line at its end.
#[derive(Debug)]
pub struct RequestLog {
    id: String,
    account: String,
    route: String,
    service: String,
    model: String,
    prompt_tokens: u64,
    /// The route's bounds on the first event, or a whole answer, and on a pause.
    aim: Duration,
    gap: Duration,
    since: Instant,
    replica: Option<ReplicaId>,
    attempts: u32,
    resent: u32,
    waited: Duration,
    first: Option<Duration>,
    longest_pause: Duration,
    notes: Vec<String>,
    content: Option<ContentDigest>,
    end: (Outcome, u16, &'static str),
}

impl RequestLog {
    /// A request that has no end yet.
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
            route: route.name.clone(),
            service: need.service.as_ref().map_or(String::new(), |s| s.0.clone()),
            model: format!("{model}{}", adapter.unwrap_or_default()),
            prompt_tokens: need.prompt_tokens,
            aim: Duration::from_millis(route.aim_ms),
            gap: Duration::from_millis(route.gap_ms),
            since,
            replica: None,
            attempts: 0,
            resent: 0,
            waited: Duration::ZERO,
            first: None,
            longest_pause: Duration::ZERO,
            notes: Vec::new(),
            content: None,
            end: (Outcome::Left, 0, "the client left"),
        }
    }

    /// A replica was found after a wait.
    pub fn record_wait(&mut self, waited: Duration) {
        self.waited += waited;
    }

    /// It goes to a replica.
    pub fn record_attempt(&mut self, replica: &ReplicaId) {
        self.attempts += 1;
        self.replica = Some(replica.clone());
    }

    /// Whether the budget let it be sent again.
    pub fn resent(&mut self, allowed: bool) {
        match allowed {
            true => self.resent += 1,
            false => self.note("no budget to send it again"),
        }
    }

    /// Something that happened on the way.
    pub fn note(&mut self, text: &str) {
        self.notes.push(text.to_owned());
    }

    /// A replica did not run it, and suffix for so long a pause.
    pub fn refused(&mut self, replica: &ReplicaId, pause: Option<&str>) {
        let suffix = retry_after_suffix(pause);
        self.notes
            .push(format!("refused by the replica {replica}{suffix}"));
    }

    /// A replica failed it by a status of its own, and suffix for so long a pause.
    pub fn failed_by(&mut self, replica: &ReplicaId, status: u16, pause: Option<&str>) {
        let suffix = retry_after_suffix(pause);
        self.notes
            .push(format!("the replica {replica} failed: {status}{suffix}"));
    }

    /// What it asks: shown where a replica broke off under it, or it is refused for that.
    pub fn content(&mut self, digest: ContentDigest) {
        self.content = Some(digest);
    }

    /// The first event leaves.
    pub fn first_event(&mut self) {
        let since = self.since;
        self.first.get_or_insert_with(|| since.elapsed());
    }

    /// An event came so long after the one before.
    pub fn record_gap(&mut self, pause: Duration) {
        self.longest_pause = self.longest_pause.max(pause);
    }

    /// A replica's answer was passed on.
    pub fn answered(&mut self, status: u16) {
        self.end = (Outcome::Answered, status, "");
    }

    /// Whether a replica's whole answer was passed on.
    pub fn is_answered(&self) -> bool {
        self.end.0 == Outcome::Answered
    }

    /// It ends without a replica's answer.
    pub fn set_end(&mut self, outcome: Outcome, status: u16, reason: &'static str) {
        self.end = (outcome, status, reason);
    }

    /// Which bound of its route an answer missed; empty for none.
    fn late(&self, took: Duration) -> &'static str {
        match self.first {
            _ if self.end.0 != Outcome::Answered => "",
            Some(first) if first > self.aim => "first event",
            Some(_) if self.longest_pause > self.gap => "pause",
            None if took > self.aim => "whole answer",
            _ => "",
        }
    }

    /// Writes the line and the metrics.
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
        let good = outcome == Outcome::Answered && status < 500;
        if core.lines.borrow_mut().may_write(good) {
            let millis = |time: Duration| time.as_millis() as u64;
            tracing::info!(
                request = self.id,
                account = self.account,
                route = self.route,
                service = self.service,
                model = self.model,
                prompt_tokens = self.prompt_tokens,
                version = core.version(),
                replica = self.replica.as_ref().map_or("", |id| id.as_str()),
                tries = self.attempts,
                resent = self.resent,
                waited_ms = millis(self.waited),
                first_ms = self.first.map(millis),
                longest_pause_ms = self.first.map(|_| millis(self.longest_pause)),
                took_ms = millis(took),
                late = self.late(took),
                status,
                outcome = outcome.name(),
                reason,
                notes = self.notes.join("; "),
                content = self.content.map(|digest| digest.to_string()),
                "request"
            );
        }
    }
}

/// The pause that came with a refusal, for a line; empty for none.
fn retry_after_suffix(pause: Option<&str>) -> String {
    let shown = pause.map(|text| text.chars().take(MAX_SHOWN_CHARS).collect::<String>());
    shown.map_or(String::new(), |text| format!(", retry after {text}"))
}

/// Log lines that may be written in the current second.
#[derive(Debug, Default)]
pub(super) struct LogLineLimit {
    second: u64,
    good: u32,
    bad: u32,
    suppressed: u32,
}

impl LogLineLimit {
    /// Whether one more line may be written; what went well has a bound of its own.
    pub(super) fn may_write(&mut self, good: bool) -> bool {
        let second = clock::monotonic_ms() / 1_000;
        if second != self.second {
            if self.suppressed > 0 {
                tracing::info!(lines = self.suppressed, "request lines passed over");
            }
            *self = Self {
                second,
                ..Self::default()
            };
        }
        let (count, most) = match good {
            true => (&mut self.good, MAX_SUCCESS_LINES),
            false => (&mut self.bad, MAX_FAILURE_LINES),
        };
        *count += 1;
        let allowed = *count <= most;
        self.suppressed += u32::from(!allowed);
        allowed
    }
}
