//! Performs the steps of one request's flight: calls to control and agents,
//! the caller's patience, and the answer's way to the caller.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::admission::controller::{
    AttemptStatus, EngineCall, NotRun, RefuseCause, RunEnd, RunRequest,
};
use crate::clock;
use crate::consensus::claims::{ClaimKey, ClaimRequest, Settlement};
use crate::consensus::crashes::ContentStanding;
use crate::consensus::state::{Command, MemberInfo, Reply};
use crate::entry::shell::{EntryShared, InFlight, outcome_names};
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
use crate::table::rows::Row;

/// Time for an agent to answer a start or a seal.
const START_TIME: Duration = Duration::from_millis(1000);
/// Longest wait of one pull.
const PULL_WAIT_MS: u64 = 1000;
/// Time for a pull's answer.
const PULL_TIME: Duration = Duration::from_millis(1500);
/// Time for a claim or its end to be recorded.
const CLAIM_TIME: Duration = Duration::from_millis(3000);
/// Time for the last word of an agent on a request that is given up.
const LAST_WORD_TIME: Duration = Duration::from_millis(300);
/// Pause before a retry, so that a refused request does not spin.
const RETRY_PAUSE: Duration = Duration::from_millis(5);
/// Longest wait for a home to be ready, and the time between two looks.
const HOME_WAIT: Duration = Duration::from_secs(5);
const HOME_LOOK: Duration = Duration::from_millis(20);
/// Longest answer that is recorded with a claim, in bytes.
const MAX_RECORDED: usize = 64 << 10;
/// Characters of a prompt that stand for its cached prefix.
const PREFIX_LEN: usize = 64;
/// Pages that wait for a slow reader.
pub const NOTES: usize = 64;

/// A caller's request, checked.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The caller's partner.
    pub partner: PartnerName,
    /// The row that covers it.
    pub row: RowId,
    /// The row as it was when the request came.
    pub fields: Row,
    /// The idempotency key, where the class needs one.
    pub key: Option<CallKey>,
    /// Digest of the body.
    pub digest: [u8; 32],
    /// What to run.
    pub call: EngineCall,
    /// Names the request in logs and answers.
    pub id: String,
}

/// What a flight tells its caller.
#[derive(Debug)]
pub enum FlightNote {
    /// More of the answer.
    Pieces(Vec<String>),
    /// The one outcome.
    End(RequestOutcome),
}

/// Runs one request to its outcome, and tells `notes` as it goes. A caller
/// that has gone ends it.
pub async fn fly(
    entry: Arc<EntryShared>,
    request: CallerRequest,
    notes: mpsc::Sender<FlightNote>,
    guard: InFlight,
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
            let mut flying = FlyingRequest::new(&entry, &request, &notes, started);
            let outcome = flying.run().await;
            let suspect = matches!(flying.standing(), ContentStanding::Suspect(_));
            if outcome == RequestOutcome::Done && suspect {
                flying.clear();
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
    let _ = notes.send(FlightNote::End(outcome)).await;
    drop(guard);
}

struct FlyingRequest<'a> {
    entry: &'a Arc<EntryShared>,
    request: &'a CallerRequest,
    notes: &'a mpsc::Sender<FlightNote>,
    started: Instant,
    /// When the caller's patience ends, by [`clock::monotonic_ms`].
    until_ms: u64,
    /// Names what it asks.
    content: ContentDigest,
    flight: RequestLifecycle,
    answer: String,
    answered: bool,
    over: bool,
    tried: Vec<TargetName>,
}

/// A home, and the agent that keeps it.
type Home<'a> = (&'a TargetName, &'a MemberInfo);

/// Where an attempt may go.
enum Pick {
    /// To this home.
    Home(TargetAttempt),
    /// Nowhere: all homes would refuse it, and the first to take it does so then.
    Refused(NotRun),
    /// Nowhere: there is no home.
    Homeless,
}

impl<'a> FlyingRequest<'a> {
    fn new(
        entry: &'a Arc<EntryShared>,
        request: &'a CallerRequest,
        notes: &'a mpsc::Sender<FlightNote>,
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
            notes,
            started,
            until_ms: clock::monotonic_ms().saturating_add(fields.patience_ms),
            content: content::digest(&ContentParts {
                caller: request.partner.as_str(),
                host: "",
                target: request.row.as_str(),
                body: &request.digest,
            }),
            flight: RequestLifecycle::new(policy),
            answer: String::new(),
            answered: false,
            over: false,
            tried: Vec::new(),
        }
    }

    /// What is left of the caller's patience.
    fn left(&self) -> Duration {
        Duration::from_millis(self.until_ms.saturating_sub(clock::monotonic_ms()))
    }

    async fn run(&mut self) -> RequestOutcome {
        loop {
            let step = self.flight.step();
            let trial = step.attempt().cloned();
            let event = match step {
                RequestStep::Finish(outcome) => return outcome,
                RequestStep::Choose { first } => self.choose(first).await,
                step => self.perform_in_time(step).await,
            };
            self.note_refusal(trial.as_ref(), &event);
            let pieces = self.flight.on(event);
            if !pieces.is_empty() {
                self.hand_over(pieces).await;
            }
        }
    }

    /// What an agent said holds for the next requests as well. Overload is demand that the
    /// homes of the model do not meet, whoever finds it.
    fn note_refusal(&self, trial: Option<&TargetAttempt>, event: &RequestEvent) {
        let (refusal, heard) = match event {
            RequestEvent::Refused(refusal) => (refusal, None),
            RequestEvent::Status(AttemptStatus::Page(page)) => match &page.end {
                Some(RunEnd::NotRun(refusal)) => (refusal, trial),
                _ => return,
            },
            _ => return,
        };
        let mut state = self.entry.state();
        if let Some(trial) = heard {
            let ask = self.home_ask(&trial.target, trial.incarnation);
            state.refusals.record(clock::monotonic_ms(), &ask, refusal);
        }
        if refusal.cause == RefuseCause::Overload {
            let model = self.request.call.model.clone();
            *state.refused.entry(model).or_default() += 1;
        }
    }

    fn home_ask<'b>(&'b self, target: &'b TargetName, incarnation: Incarnation) -> HomeRequest<'b> {
        HomeRequest {
            target,
            incarnation,
            row: &self.request.row,
            model: &self.request.call.model,
            wait_limit_ms: self.request.fields.fields.patience_ms,
        }
    }

    /// A step ends early when patience is over or the caller has gone; from
    /// then on, each step gets only a moment.
    async fn perform_in_time(&mut self, step: RequestStep) -> RequestEvent {
        let until_ms = match self.over {
            true => clock::monotonic_ms() + LAST_WORD_TIME.as_millis() as u64,
            false => self.until_ms,
        };
        let over = self.over;
        let notes = self.notes;
        let early = tokio::select! {
            event = clock::wait_until(until_ms, self.perform(step)) => event,
            () = notes.closed(), if !over => None,
        };
        match early {
            Some(event) => event,
            None if over => RequestEvent::NoReply,
            None => {
                self.over = true;
                RequestEvent::DeadlinePassed
            }
        }
    }

    async fn perform(&self, step: RequestStep) -> RequestEvent {
        match step {
            RequestStep::Claim(trial) => self.claim(trial).await,
            RequestStep::Start(trial) => self.start(trial).await,
            RequestStep::Pull(trial, offset) => self.pull(trial, offset).await,
            RequestStep::Seal(trial) => self.seal(trial).await,
            RequestStep::Settle(trial, end) => self.settle(trial, end).await,
            RequestStep::Cancel(trial) => self.cancel(trial).await,
            RequestStep::Choose { .. } | RequestStep::Finish(_) => RequestEvent::NoReply,
        }
    }

    async fn choose(&mut self, first: bool) -> RequestEvent {
        if self.standing() == ContentStanding::Barred {
            return RequestEvent::Quarantined;
        }
        if !first {
            tokio::time::sleep(RETRY_PAUSE).await;
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
        match self.pick_in_time().await {
            Pick::Home(trial) => {
                self.tried.push(trial.target.clone());
                RequestEvent::Chosen(Some(trial))
            }
            Pick::Refused(refusal) => RequestEvent::Refused(refusal),
            Pick::Homeless => RequestEvent::Chosen(None),
        }
    }

    /// What the log says of what it asks.
    fn standing(&self) -> ContentStanding {
        let view = self.entry.follower.view();
        let count = view.contents.get(&self.content);
        ContentStanding::of(count.copied().unwrap_or(0))
    }

    /// It ran to its end, and its target lives: what it asks is no suspect any more.
    fn clear(&self) {
        let (entry, content) = (self.entry.clone(), self.content);
        tokio::spawn(async move {
            crash_report::clear_content(&entry.link, CLAIM_TIME, content).await;
        });
    }

    /// A model without a ready home is being brought back to one, and a home that refuses
    /// may have room soon: that is worth a part of the caller's patience. Where it surely is
    /// not enough, it is refused at once.
    async fn pick_in_time(&self) -> Pick {
        let wait = (self.left() / 2).min(HOME_WAIT);
        let until = Instant::now() + wait;
        loop {
            let pick = self.pick();
            let left = until.saturating_duration_since(Instant::now());
            let waits = match &pick {
                Pick::Home(_) => false,
                Pick::Refused(refusal) => Duration::from_millis(refusal.retry_after_ms) < left,
                Pick::Homeless => !left.is_zero(),
            };
            if !waits || self.notes.is_closed() {
                return pick;
            }
            tokio::time::sleep(HOME_LOOK).await;
        }
    }

    /// One of the homes that were tried least, of those that have not refused what is like it.
    fn pick(&self) -> Pick {
        let view = self.entry.follower.view();
        let homes: Vec<_> = view.ready_homes(&self.request.call.model).collect();
        let (homes, refusals) = self.split_refusing(homes);
        let refused = refusals.into_iter().min_by_key(|r| r.retry_after_ms);
        let otherwise = refused.map_or(Pick::Homeless, Pick::Refused);
        self.pick_among(&homes).map_or(otherwise, Pick::Home)
    }

    /// Homes that are to be asked, and what the others said.
    fn split_refusing<'b>(&self, homes: Vec<Home<'b>>) -> (Vec<Home<'b>>, Vec<NotRun>) {
        let state = self.entry.state();
        let now_ms = clock::monotonic_ms();
        let (mut open, mut refusals) = (Vec::new(), Vec::new());
        for (target, member) in homes {
            let ask = self.home_ask(target, member.incarnation);
            match state.refusals.known_refusal(now_ms, &ask) {
                Some(refusal) => refusals.push(refusal),
                None => open.push((target, member)),
            }
        }
        (open, refusals)
    }

    fn pick_among(&self, homes: &[Home<'_>]) -> Option<TargetAttempt> {
        let choices: Vec<HomeCandidate<'_>> = homes
            .iter()
            .map(|(target, member)| HomeCandidate {
                target,
                hall: &member.hall,
            })
            .collect();
        let choices = route::least_attempted(&choices, &self.tried);
        let prompt = &self.request.call.prompt;
        let end = prompt
            .char_indices()
            .nth(PREFIX_LEN)
            .map_or(prompt.len(), |(at, _)| at);
        let settings = &self.entry.settings;
        let ask = RouteRequest {
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
            &ask,
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

    async fn claim(&self, trial: TargetAttempt) -> RequestEvent {
        let Some(key) = self.claim_key() else {
            return RequestEvent::NoReply;
        };
        let ask = ClaimRequest {
            key_created_ms: key_time_ms(key.key.as_str()),
            key,
            digest: self.request.digest,
            attempt: trial.id,
            target: trial.target,
            incarnation: trial.incarnation,
        };
        let command = Command::Claim(ask);
        match member::propose(&self.entry.link, "claim", CLAIM_TIME, command).await {
            Ok(Reply::Claim(answer)) => RequestEvent::Claimed(answer),
            Ok(_) => RequestEvent::NoReply,
            Err(error) => {
                tracing::info!(request = %self.request.id, %error, "no claim");
                RequestEvent::NoReply
            }
        }
    }

    async fn settle(&self, trial: TargetAttempt, end: Settlement) -> RequestEvent {
        let Some(key) = self.claim_key() else {
            return RequestEvent::NoReply;
        };
        let end = match end {
            Settlement::Done { .. } => Settlement::Done {
                answer: (self.answer.len() <= MAX_RECORDED).then(|| self.answer.clone()),
            },
            end => end,
        };
        let command = Command::Settle(key, trial.id, end);
        match member::propose(&self.entry.link, "settle", CLAIM_TIME, command).await {
            Ok(Reply::Settled(true)) => RequestEvent::Settled,
            Ok(_) => RequestEvent::NoReply,
            Err(error) => {
                tracing::info!(request = %self.request.id, %error, "an end was not recorded");
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

    async fn start(&self, trial: TargetAttempt) -> RequestEvent {
        let left = self.left();
        let fields = &self.request.fields.fields;
        let version = {
            let view = self.entry.follower.view();
            let row = view.rows.get(&self.request.row);
            row.map_or(self.request.fields.version, |row| row.version)
        };
        let mut call = self.request.call.clone();
        call.given = self.flight.delivered();
        let ask = RunRequest {
            attempt: trial.id,
            incarnation: trial.incarnation,
            row: self.request.row.clone(),
            version,
            urgency: fields.urgency,
            weight: fields.weight,
            at_most_once: fields.at_most_once,
            content: self.content,
            patience_ms: left.as_millis() as u64,
            call,
        };
        let position = self.entry.follower.position();
        self.entry.state().loads.record_sent(&trial.target);
        self.ask(&trial, "start", |client| async move {
            client.start(peers::within(START_TIME), position, ask).await
        })
        .await
    }

    async fn pull(&self, trial: TargetAttempt, offset: u32) -> RequestEvent {
        let (attempt, life) = (trial.id, trial.incarnation);
        self.ask(&trial, "pull", |client| async move {
            let context = peers::within(PULL_TIME);
            client
                .pull(context, attempt, life, offset, PULL_WAIT_MS)
                .await
        })
        .await
    }

    async fn seal(&self, trial: TargetAttempt) -> RequestEvent {
        let (attempt, life) = (trial.id, trial.incarnation);
        self.ask(&trial, "seal", |client| async move {
            client.seal(peers::within(START_TIME), attempt, life).await
        })
        .await
    }

    async fn cancel(&self, trial: TargetAttempt) -> RequestEvent {
        let Some(address) = self.address_of(&trial) else {
            return RequestEvent::Cancelled;
        };
        let attempt = trial.id;
        let sent = self
            .entry
            .agents
            .call(&address, "cancel", |client| async move {
                client.cancel(peers::within(LAST_WORD_TIME), attempt).await
            });
        if let Err(error) = sent.await {
            tracing::debug!(request = %self.request.id, %error, "a cancel was lost");
        }
        RequestEvent::Cancelled
    }

    async fn ask<F>(
        &self,
        trial: &TargetAttempt,
        step: &'static str,
        make: impl FnOnce(AgentWireClient) -> F,
    ) -> RequestEvent
    where
        F: Future<Output = Result<AgentReply, tarpc::client::RpcError>>,
    {
        // A target that control has taken for lost: this life cannot be asked.
        let Some(address) = self.address_of(trial) else {
            tokio::time::sleep(RETRY_PAUSE).await;
            return RequestEvent::NoReply;
        };
        match self.entry.agents.call(&address, step, make).await {
            Ok(word) => {
                self.entry.follower.observe_position(word.position);
                let now_ms = clock::monotonic_ms();
                self.entry
                    .state()
                    .loads
                    .record_report(&trial.target, word.load, now_ms);
                RequestEvent::Status(word.status)
            }
            Err(error) => {
                tracing::info!(request = %self.request.id, %error, "no word of an agent");
                RequestEvent::NoReply
            }
        }
    }

    fn address_of(&self, trial: &TargetAttempt) -> Option<String> {
        let view = self.entry.follower.view();
        view.agent_of(&trial.target)
            .map(|keeper| keeper.address.clone())
    }

    async fn hand_over(&mut self, pieces: Vec<String>) {
        if !self.answered {
            self.answered = true;
            self.entry.record_first(self.request, self.started);
        }
        // Kept only as far as a claim records it.
        if self.request.key.is_some() && self.answer.len() <= MAX_RECORDED {
            pieces.iter().for_each(|piece| self.answer.push_str(piece));
        }
        let sent = self.notes.send(FlightNote::Pieces(pieces));
        let sent = clock::wait_until(self.until_ms, sent).await;
        // A reader that stays away longer than its patience has gone.
        if !matches!(sent, Some(Ok(()))) {
            self.over = true;
            self.flight.on(RequestEvent::DeadlinePassed);
        }
    }
}

/// The time of a key in the form of a version 7 UUID, in milliseconds.
fn key_time_ms(key: &str) -> Option<u64> {
    let hex: String = key.chars().filter(|c| *c != '-').collect();
    let is_v7 = key.len() == 36 && hex.len() == 32 && hex.as_bytes()[12] == b'7';
    match is_v7 && hex.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        true => u64::from_str_radix(&hex[..12], 16).ok(),
        false => None,
    }
}
