//! Drives one request: performs the steps of its [`RequestLifecycle`] by calls to control hosts
//! and agents, enforces the caller's wait limit, and passes the response to the caller.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::admission::controller::{
    AttemptStatus, EngineCall, NotRun, RefuseCause, RunEnd, RunRequest,
};
use crate::admission::runs::BEGINNING_MS;
use crate::clock;
use crate::consensus::claims::{ClaimKey, ClaimRequest, Settlement};
use crate::consensus::crashes::ContentStanding;
use crate::consensus::part_crashes::SoundReport;
use crate::consensus::state::{Command, MemberInfo, Reply};
use crate::entry::shell::{EntryShared, InFlightGuard, outcome_names};
use crate::ids::{CallKey, ContentDigest, Incarnation, PartnerName, RowId, TargetName};
use crate::process::wire::{AgentReply, AgentWireClient};
use crate::process::{crash_report, member, peers};
use crate::routing::content::{self, ContentParts};
use crate::routing::lifecycle::{
    AttemptPolicy, DEFAULT_RETRY_MS, EndCause, RequestEvent, RequestLifecycle, RequestOutcome,
    RequestStep, TargetAttempt,
};
use crate::routing::refusals::HomeRequest;
use crate::routing::route::{self, HomeCandidate, RouteRequest};
use crate::routing::suspects::{PromptStanding, prompt_standing};
use crate::table::rows::Row;

/// Timeout of a start or seal call to an agent.
const START_TIMEOUT: Duration = Duration::from_millis(1000);
/// Maximum time that an agent waits for new pieces in one pull call.
const MAX_PULL_WAIT_MS: u64 = 1000;
/// Timeout of a pull call; longer than [`MAX_PULL_WAIT_MS`].
const PULL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Timeout of recording a claim, the end of a claimed attempt, or a cleared content.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(3000);
/// Timeout of each step of an abandoned request, and of a cancel call.
const FINAL_STEP_TIMEOUT: Duration = Duration::from_millis(300);
/// Delay before a retry, so that a refused request does not retry in a busy loop.
const RETRY_DELAY: Duration = Duration::from_millis(5);
/// Maximum time to wait for a ready home.
const MAX_HOME_WAIT: Duration = Duration::from_secs(5);
/// Interval between two checks for a ready home.
const HOME_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum size of a response that is recorded with its claim.
const MAX_RECORDED_BYTES: usize = 64 << 10;
/// Number of leading characters of a prompt that identify its cached prefix.
const PREFIX_CHARS: usize = 64;
/// Maximum number of response parts that are queued for a slow caller.
pub const MAX_PENDING_PARTS: usize = 64;

/// A validated request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Partner of the caller.
    pub partner: PartnerName,
    /// Row that applies to the request.
    pub row: RowId,
    /// The row as of the arrival of the request.
    pub fields: Row,
    /// Idempotency key, if the class requires one.
    pub key: Option<CallKey>,
    /// Digest of the path and the body.
    pub digest: [u8; 32],
    /// Digests of the parts of the prompt that other requests may share.
    pub parts: Vec<ContentDigest>,
    /// Call to run on the target.
    pub call: EngineCall,
    /// Request ID in logs and responses.
    pub id: String,
}

/// Part of the response that the driver passes to the HTTP handler.
#[derive(Debug)]
pub enum ResponsePart {
    /// Next pieces of the response.
    Pieces(Vec<String>),
    /// Outcome; always the last part.
    End(RequestOutcome),
}

/// Runs one request to its outcome and sends the response to `parts`. If the receiver is closed
/// because the caller has disconnected, the request is ended.
pub async fn drive(
    entry: Arc<EntryShared>,
    request: CallerRequest,
    parts: mpsc::Sender<ResponsePart>,
    guard: InFlightGuard,
) {
    let started = Instant::now();
    let fields = &request.fields.fields;
    let now_ms = clock::monotonic_ms();
    let admitted = entry
        .state()
        .shares
        .acquire(&request.row, fields.max_running, now_ms);
    let outcome = match admitted {
        true => {
            let mut driver = RequestDriver::new(&entry, &request, &parts, started);
            let outcome = driver.run().await;
            let suspect = matches!(driver.standing(), ContentStanding::Suspect(_));
            if outcome == RequestOutcome::Done && suspect {
                driver.start_clearing_content();
            }
            if outcome == RequestOutcome::Done && !driver.is_sound {
                driver.report_sound_run();
            }
            entry.state().shares.release(&request.row);
            outcome
        }
        false => RequestOutcome::NotRun {
            cause: EndCause::Limit,
            retry_after_ms: DEFAULT_RETRY_MS,
        },
    };
    entry.record(&request, &outcome, started);
    let (name, cause) = outcome_names(&outcome);
    tracing::debug!(request = %request.id, outcome = name, cause, "ended");
    let _ = parts.send(ResponsePart::End(outcome)).await;
    drop(guard);
}

struct RequestDriver<'a> {
    entry: &'a Arc<EntryShared>,
    request: &'a CallerRequest,
    parts: &'a mpsc::Sender<ResponsePart>,
    started: Instant,
    /// End of the caller's wait limit, by [`clock::monotonic_ms`].
    deadline_ms: u64,
    /// Identifies what the request asks for, over all its attempts.
    content: ContentDigest,
    lifecycle: RequestLifecycle,
    response: String,
    /// When the first piece came, if one came.
    begun_ms: Option<u64>,
    /// Whether a run went on after its beginning.
    is_sound: bool,
    /// Whether the deadline has passed or the caller has disconnected.
    abandoned: bool,
    attempted: Vec<TargetName>,
    /// Counts the current attempt in the load of its target.
    load: Option<LoadGuard>,
}

/// Counts an attempt in the load of its target until it is dropped.
struct LoadGuard {
    entry: Arc<EntryShared>,
    target: TargetName,
}

impl LoadGuard {
    fn new(entry: &Arc<EntryShared>, target: &TargetName) -> Self {
        entry.state().loads.record_sent(target);
        Self {
            entry: entry.clone(),
            target: target.clone(),
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.entry.state().loads.record_ended(&self.target);
    }
}

/// A home and its agent.
type Home<'a> = (&'a TargetName, &'a MemberInfo);

/// Result of choosing a home for an attempt.
enum Pick {
    /// Attempt at the chosen home.
    Home(TargetAttempt),
    /// All homes would refuse the attempt. Holds the refusal with the shortest time until a
    /// retry.
    Refused(NotRun),
    /// The model has no ready home.
    NoHome,
}

impl<'a> RequestDriver<'a> {
    fn new(
        entry: &'a Arc<EntryShared>,
        request: &'a CallerRequest,
        parts: &'a mpsc::Sender<ResponsePart>,
        started: Instant,
    ) -> Self {
        let fields = &request.fields.fields;
        let policy = AttemptPolicy {
            max_attempts: entry.settings.route.attempts,
            max_timeouts: 2,
            at_most_once: fields.at_most_once,
        };
        Self {
            entry,
            request,
            parts,
            started,
            deadline_ms: clock::monotonic_ms().saturating_add(fields.patience_ms),
            content: content::digest(&ContentParts {
                caller: request.partner.as_str(),
                host: "",
                target: request.row.as_str(),
                body: &request.digest,
            }),
            lifecycle: RequestLifecycle::new(policy),
            response: String::new(),
            begun_ms: None,
            is_sound: false,
            abandoned: false,
            attempted: Vec::new(),
            load: None,
        }
    }

    /// Returns the time until the deadline.
    fn remaining(&self) -> Duration {
        Duration::from_millis(self.deadline_ms.saturating_sub(clock::monotonic_ms()))
    }

    async fn run(&mut self) -> RequestOutcome {
        loop {
            let step = self.lifecycle.step();
            let attempt = step.attempt().cloned();
            self.track_load(&step);
            let event = match step {
                RequestStep::Finish(outcome) => return outcome,
                RequestStep::Choose { first } => self.choose(first).await,
                step => self.perform_before_deadline(step).await,
            };
            self.record_refusal(attempt.as_ref(), &event);
            let pieces = self.lifecycle.on(event);
            if !pieces.is_empty() {
                self.deliver(pieces).await;
            }
        }
    }

    /// Counts an attempt in the load of its target from its start until its end is known.
    fn track_load(&mut self, step: &RequestStep) {
        self.load = match step {
            RequestStep::Start(attempt) => Some(LoadGuard::new(self.entry, &attempt.target)),
            RequestStep::Pull(..) | RequestStep::Seal(_) | RequestStep::Cancel(_) => {
                self.load.take()
            }
            RequestStep::Choose { .. }
            | RequestStep::Claim(_)
            | RequestStep::Settle(..)
            | RequestStep::Finish(_) => None,
        };
    }

    /// Records an agent's refusal, which applies to the next requests as well. A refusal for
    /// overload also counts as unmet demand for the model, whether an agent has just sent it or
    /// it is expected from an earlier one.
    fn record_refusal(&self, attempt: Option<&TargetAttempt>, event: &RequestEvent) {
        let (refusal, refused_attempt) = match event {
            RequestEvent::Refused(refusal) => (refusal, None),
            RequestEvent::Status(AttemptStatus::Page(page)) => match &page.end {
                Some(RunEnd::NotRun(refusal)) => (refusal, attempt),
                _ => return,
            },
            _ => return,
        };
        let mut state = self.entry.state();
        if let Some(attempt) = refused_attempt {
            let home = self.home_request(&attempt.target, attempt.incarnation);
            state.refusals.record(clock::monotonic_ms(), &home, refusal);
        }
        if refusal.cause == RefuseCause::Overload {
            let model = self.request.call.model.clone();
            *state.refusal_counts.entry(model).or_default() += 1;
        }
    }

    fn home_request<'b>(
        &'b self,
        target: &'b TargetName,
        incarnation: Incarnation,
    ) -> HomeRequest<'b> {
        HomeRequest {
            target,
            incarnation,
            row: &self.request.row,
            model: &self.request.call.model,
            wait_limit_ms: self.request.fields.fields.patience_ms,
        }
    }

    /// Performs a step, and aborts it when the deadline passes or the caller disconnects. After
    /// that, each step is limited to [`FINAL_STEP_TIMEOUT`].
    async fn perform_before_deadline(&mut self, step: RequestStep) -> RequestEvent {
        let deadline_ms = match self.abandoned {
            true => clock::monotonic_ms() + FINAL_STEP_TIMEOUT.as_millis() as u64,
            false => self.deadline_ms,
        };
        let abandoned = self.abandoned;
        let parts = self.parts;
        let early = tokio::select! {
            event = clock::wait_until(deadline_ms, self.perform(step)) => event,
            () = parts.closed(), if !abandoned => None,
        };
        match early {
            Some(event) => event,
            None if abandoned => RequestEvent::NoReply,
            None => {
                self.abandoned = true;
                RequestEvent::DeadlinePassed
            }
        }
    }

    async fn perform(&self, step: RequestStep) -> RequestEvent {
        match step {
            RequestStep::Claim(attempt) => self.claim(attempt).await,
            RequestStep::Start(attempt) => self.start(attempt).await,
            RequestStep::Pull(attempt, offset) => self.pull(attempt, offset).await,
            RequestStep::Seal(attempt) => self.seal(attempt).await,
            RequestStep::Settle(attempt, end) => self.settle(attempt, end).await,
            RequestStep::Cancel(attempt) => self.cancel(attempt).await,
            RequestStep::Choose { .. } | RequestStep::Finish(_) => RequestEvent::NoReply,
        }
    }

    async fn choose(&mut self, first: bool) -> RequestEvent {
        if self.standing() == ContentStanding::Barred || self.has_guilty_part() {
            return RequestEvent::Quarantined;
        }
        if !first {
            tokio::time::sleep(RETRY_DELAY).await;
        }
        let row = &self.request.row;
        {
            let mut state = self.entry.state();
            match first {
                true => state.retries.earn(row),
                false if !state.retries.spend(row) => return RequestEvent::Chosen(None),
                false => {}
            }
        }
        let pick = self.await_home().await;
        if !first && !matches!(pick, Pick::Home(_)) {
            self.entry.state().retries.refund(row);
        }
        match pick {
            Pick::Home(attempt) => {
                self.attempted.push(attempt.target.clone());
                RequestEvent::Chosen(Some(attempt))
            }
            Pick::Refused(refusal) => RequestEvent::Refused(refusal),
            Pick::NoHome => RequestEvent::Chosen(None),
        }
    }

    /// Returns the log's verdict on the content of the request.
    fn standing(&self) -> ContentStanding {
        let view = self.entry.follower.view();
        let count = view.contents.get(&self.content);
        ContentStanding::of(count.copied().unwrap_or(0))
    }

    /// Whether a part of the prompt is quarantined, or two of them are held.
    fn has_guilty_part(&self) -> bool {
        let view = self.entry.follower.view();
        let standing = prompt_standing(&view.parts, &self.request.parts);
        matches!(
            standing,
            PromptStanding::Quarantined(_) | PromptStanding::HeldTogether(_)
        )
    }

    /// Reports to the log in the background that a run of the watched parts of the prompt went on
    /// after its beginning.
    fn report_sound_run(&mut self) {
        self.is_sound = true;
        let view = self.entry.follower.view();
        let watched = self.request.parts.iter();
        let watched = watched.filter(|part| view.parts.contains_key(part));
        let report = SoundReport {
            runs: watched.map(|part| (*part, 1)).collect(),
            ..SoundReport::default()
        };
        drop(view);
        if !report.runs.is_empty() {
            let entry = self.entry.clone();
            tokio::spawn(async move {
                crash_report::report_sound_runs(&entry.link, report).await;
            });
        }
    }

    /// Reports to the log in the background that the content is no longer suspect: it ran to
    /// completion without a crash of its target.
    fn start_clearing_content(&self) {
        let (entry, content) = (self.entry.clone(), self.content);
        tokio::spawn(async move {
            crash_report::clear_content(&entry.link, CLAIM_TIMEOUT, content).await;
        });
    }

    /// Picks a home, and waits if there is none: control loads a model without a ready home again,
    /// and a home that refuses may soon have capacity. Waits at most half of the remaining time and
    /// [`MAX_HOME_WAIT`], and not at all if the homes would still refuse the attempt after that.
    async fn await_home(&self) -> Pick {
        let wait = (self.remaining() / 2).min(MAX_HOME_WAIT);
        let until = Instant::now() + wait;
        loop {
            let pick = self.pick();
            let remaining = until.saturating_duration_since(Instant::now());
            let waits = match &pick {
                Pick::Home(_) => false,
                Pick::Refused(refusal) => Duration::from_millis(refusal.retry_after_ms) < remaining,
                Pick::NoHome => !remaining.is_zero(),
            };
            if !waits || self.parts.is_closed() {
                return pick;
            }
            tokio::time::sleep(HOME_POLL_INTERVAL).await;
        }
    }

    /// Picks one of the least attempted homes, among those that are not expected to refuse the
    /// attempt.
    fn pick(&self) -> Pick {
        let view = self.entry.follower.view();
        let homes: Vec<_> = view.ready_homes(&self.request.call.model).collect();
        let (homes, refusals) = self.split_refusing(homes);
        let refused = refusals.into_iter().min_by_key(|r| r.retry_after_ms);
        let otherwise = refused.map_or(Pick::NoHome, Pick::Refused);
        self.pick_open_home(&homes).map_or(otherwise, Pick::Home)
    }

    /// Splits off the homes that are expected to refuse the attempt, and returns their refusals.
    fn split_refusing<'b>(&self, homes: Vec<Home<'b>>) -> (Vec<Home<'b>>, Vec<NotRun>) {
        let state = self.entry.state();
        let now_ms = clock::monotonic_ms();
        let (mut open, mut refusals) = (Vec::new(), Vec::new());
        for (target, member) in homes {
            let request = self.home_request(target, member.incarnation);
            match state.refusals.known_refusal(now_ms, &request) {
                Some(refusal) => refusals.push(refusal),
                None => open.push((target, member)),
            }
        }
        (open, refusals)
    }

    fn pick_open_home(&self, homes: &[Home<'_>]) -> Option<TargetAttempt> {
        let choices: Vec<HomeCandidate<'_>> = homes
            .iter()
            .map(|(target, member)| HomeCandidate {
                target,
                hall: &member.hall,
            })
            .collect();
        let choices = route::least_attempted(&choices, &self.attempted);
        let prompt = &self.request.call.prompt;
        let end = prompt
            .char_indices()
            .nth(PREFIX_CHARS)
            .map_or(prompt.len(), |(at, _)| at);
        let settings = &self.entry.settings;
        let request = RouteRequest {
            entry: u64::from(crc32fast::hash(settings.common.host.as_str().as_bytes())),
            hall: &settings.common.hall,
            prefix: &prompt[..end],
        };
        let mut state = self.entry.state();
        let state = &mut *state;
        let now_ms = clock::monotonic_ms();
        let policy = settings.route.policy();
        let target = route::choose(
            &policy,
            &request,
            &choices,
            &state.loads,
            now_ms,
            &mut state.rng,
        )?;
        let (_, member) = homes.iter().find(|(home, _)| *home == target)?;
        Some(TargetAttempt {
            id: self.entry.next_attempt(),
            target: target.clone(),
            incarnation: member.incarnation,
        })
    }

    async fn claim(&self, attempt: TargetAttempt) -> RequestEvent {
        let Some(key) = self.claim_key() else {
            return RequestEvent::NoReply;
        };
        let request = ClaimRequest {
            key_created_ms: key_time_ms(key.key.as_str()),
            key,
            digest: self.request.digest,
            attempt: attempt.id,
            target: attempt.target,
            incarnation: attempt.incarnation,
        };
        let command = Command::Claim(request);
        match member::propose(&self.entry.link, "claim", CLAIM_TIMEOUT, command).await {
            Ok(Reply::Claim(reply)) => RequestEvent::Claimed(reply),
            Ok(_) => RequestEvent::NoReply,
            Err(error) => {
                tracing::info!(request = %self.request.id, %error, "claim not recorded");
                RequestEvent::NoReply
            }
        }
    }

    async fn settle(&self, attempt: TargetAttempt, end: Settlement) -> RequestEvent {
        let Some(key) = self.claim_key() else {
            return RequestEvent::NoReply;
        };
        let end = match end {
            Settlement::Done { .. } => Settlement::Done {
                answer: (self.response.len() <= MAX_RECORDED_BYTES).then(|| self.response.clone()),
            },
            end => end,
        };
        let command = Command::Settle(key, attempt.id, end);
        match member::propose(&self.entry.link, "settle", CLAIM_TIMEOUT, command).await {
            Ok(Reply::Settled(true)) => RequestEvent::Settled,
            Ok(_) => RequestEvent::NoReply,
            Err(error) => {
                tracing::info!(request = %self.request.id, %error, "end of claim not recorded");
                RequestEvent::NoReply
            }
        }
    }

    fn claim_key(&self) -> Option<ClaimKey> {
        let key = self.request.key.clone()?;
        Some(ClaimKey {
            partner: self.request.partner.clone(),
            key,
        })
    }

    async fn start(&self, attempt: TargetAttempt) -> RequestEvent {
        let remaining = self.remaining();
        let fields = &self.request.fields.fields;
        let version = {
            let view = self.entry.follower.view();
            let row = view.rows.get(&self.request.row);
            row.map_or(self.request.fields.version, |row| row.version)
        };
        let mut call = self.request.call.clone();
        call.given = self.lifecycle.delivered();
        let request = RunRequest {
            attempt: attempt.id,
            incarnation: attempt.incarnation,
            row: self.request.row.clone(),
            version,
            urgency: fields.urgency,
            weight: fields.weight,
            at_most_once: fields.at_most_once,
            content: self.content,
            parts: self.request.parts.clone(),
            continues: self.lifecycle.software().cloned(),
            patience_ms: remaining.as_millis() as u64,
            call,
        };
        let position = self.entry.follower.position();
        self.call_agent(&attempt, "start", |client| async move {
            client
                .start(peers::within(START_TIMEOUT), position, request)
                .await
        })
        .await
    }

    async fn pull(&self, attempt: TargetAttempt, offset: u32) -> RequestEvent {
        let (attempt_id, incarnation) = (attempt.id, attempt.incarnation);
        self.call_agent(&attempt, "pull", |client| async move {
            let context = peers::within(PULL_TIMEOUT);
            client
                .pull(context, attempt_id, incarnation, offset, MAX_PULL_WAIT_MS)
                .await
        })
        .await
    }

    async fn seal(&self, attempt: TargetAttempt) -> RequestEvent {
        let (attempt_id, incarnation) = (attempt.id, attempt.incarnation);
        self.call_agent(&attempt, "seal", |client| async move {
            client
                .seal(peers::within(START_TIMEOUT), attempt_id, incarnation)
                .await
        })
        .await
    }

    async fn cancel(&self, attempt: TargetAttempt) -> RequestEvent {
        let Some(address) = self.address_of(&attempt) else {
            return RequestEvent::Cancelled;
        };
        let attempt_id = attempt.id;
        let sent = self
            .entry
            .agents
            .call(&address, "cancel", |client| async move {
                client
                    .cancel(peers::within(FINAL_STEP_TIMEOUT), attempt_id)
                    .await
            });
        if let Err(error) = sent.await {
            tracing::debug!(request = %self.request.id, %error, "cancel call failed");
        }
        RequestEvent::Cancelled
    }

    async fn call_agent<F>(
        &self,
        attempt: &TargetAttempt,
        step: &'static str,
        send: impl FnOnce(AgentWireClient) -> F,
    ) -> RequestEvent
    where
        F: Future<Output = Result<AgentReply, tarpc::client::RpcError>>,
    {
        // Control considers the target lost, so there is no agent to call.
        let Some(address) = self.address_of(attempt) else {
            tokio::time::sleep(RETRY_DELAY).await;
            return RequestEvent::NoReply;
        };
        match self.entry.agents.call(&address, step, send).await {
            Ok(reply) => {
                self.entry.follower.observe_position(reply.position);
                let now_ms = clock::monotonic_ms();
                self.entry
                    .state()
                    .loads
                    .record_report(&attempt.target, reply.load, now_ms);
                RequestEvent::Status(reply.status)
            }
            Err(error) => {
                tracing::info!(request = %self.request.id, %error, "agent call failed");
                RequestEvent::NoReply
            }
        }
    }

    fn address_of(&self, attempt: &TargetAttempt) -> Option<String> {
        let view = self.entry.follower.view();
        view.member_of(&attempt.target)
            .map(|agent| agent.address.clone())
    }

    async fn deliver(&mut self, pieces: Vec<String>) {
        let now_ms = clock::monotonic_ms();
        match self.begun_ms {
            None => {
                self.begun_ms = Some(now_ms);
                self.entry.record_first_piece(self.request, self.started);
            }
            Some(begun_ms) if !self.is_sound && now_ms >= begun_ms + BEGINNING_MS => {
                self.report_sound_run();
            }
            Some(_) => {}
        }
        // Kept only if and as far as a claim can record it.
        if self.request.key.is_some() && self.response.len() <= MAX_RECORDED_BYTES {
            pieces
                .iter()
                .for_each(|piece| self.response.push_str(piece));
        }
        let sent = self.parts.send(ResponsePart::Pieces(pieces));
        let sent = clock::wait_until(self.deadline_ms, sent).await;
        // A caller that does not read until the deadline is treated as disconnected.
        if !matches!(sent, Some(Ok(()))) {
            self.abandoned = true;
            self.lifecycle.on(RequestEvent::DeadlinePassed);
        }
    }
}

/// Returns the creation time of a key that is a version 7 UUID, in milliseconds since the epoch.
fn key_time_ms(key: &str) -> Option<u64> {
    let hex: String = key.chars().filter(|c| *c != '-').collect();
    let is_v7 = key.len() == 36 && hex.len() == 32 && hex.as_bytes()[12] == b'7';
    match is_v7 && hex.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        true => u64::from_str_radix(&hex[..12], 16).ok(),
        false => None,
    }
}
