//! Handling of one request, from its route to its one final response.
//!
//! Once a byte has been sent to a replica, a request that may not be repeated is resent only if the
//! response states that it did not run. A request whose execution is unknown ends with 502 or 504,
//! never with 503.

mod answer_heads;
mod asking;
mod attempt_guard;
mod continuing;
mod crashes;
mod incarnation;
mod placing;
mod waiting;
mod wire_heads;

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::clock;
use crate::forward::arrivals::ReplicaArrival;
use crate::forward::caller::{self, CallerIdentity, CallerRefusal};
use crate::forward::client::{AfterResponse, ClientRequest, ClientWriter};
use crate::forward::crashes::{CrashInvestigation, SentTo};
use crate::forward::daemon::{EntryCore, Routing};
use crate::forward::events::{self, EventBuffer};
use crate::forward::head::{self, ResponseHead};
use crate::forward::locality::AllowedRegions;
use crate::forward::own_answer::{
    self, AnsweredRequest, OwnStatus, Refusal, UNKNOWN_RETRY, closes_connection, finish,
    refuse_unrouted,
};
use crate::forward::permits::RatePermit;
use crate::forward::prompt_parts;
use crate::forward::quotas::QuotaRefusal;
use crate::forward::replica_table::{self, AttemptResult, EngineBounds, Need};
use crate::forward::request_log::{Outcome, RequestLog};
use crate::forward::suspect_leases::SuspectLeaseGuard;
use crate::forward::upstream::{
    Connection, Exchange, ExchangeError, OutgoingRequest, SendProgress,
};
use crate::ids::{ContentDigest, ReplicaId, ServiceName};
use crate::routing::backoff::SlotOutcome;
use crate::routing::run_proof::{ReplicaRefusal, SendTally};
use crate::routing::stream_origins::EventSource;
use crate::routing::suspects::QUARANTINE_RETRY_MS;
use crate::table::configuration::{EngineSpec, RouteKind, RouteSpec, SLACK_RANKS};

use asking::QuotesAtHand;
use attempt_guard::AttemptGuard;

/// Largest response that is buffered until it is complete, in bytes.
const MAX_BUFFERED_BYTES: usize = 1024 * 1024;
/// Most bytes of comments in a stream without an event.
const MAX_COMMENT_BYTES: usize = 64 * 1024;
/// A refused request is told to retry no sooner than its latency target divided by this.
const RETRY_DIVISOR: u32 = 4;
/// Replica refusals after which a request may still be resent.
const MAX_REPLICA_REFUSALS: u32 = 4;
/// A request waits for the first configuration for its deadline divided by this, at most.
const CONFIG_WAIT_DIVISOR: u32 = 4;
/// Smallest gap between two stream events that a stopping entry assumes, in milliseconds: the gap
/// of engines at half load.
const MIN_EVENT_GAP_MS: f64 = 50.0;
/// Factor on the predicted duration of a stream: gaps grow while load shifts between replicas.
const STREAM_TIME_FACTOR: f64 = 2.0;
/// Factor on the latency target of a route for the expected duration of its plain requests.
const TARGET_TIME_FACTOR: u32 = 2;
/// Retry time if all replicas are in evacuated data halls.
const EVACUATED_RETRY: Duration = Duration::from_millis(1_000);
/// Retry time of a stream that no replica can continue: only a replica of a version that was taken
/// out of service could.
const GONE_RETRY: Duration = Duration::from_millis(30_000);
/// A request with less time left than this is not sent.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// Outcome of an attempt at one replica.
enum AttemptOutcome {
    /// The response was sent to the client, or the client disconnected.
    Answered(AfterResponse),
    /// The replica did not run the request.
    NotRun,
    /// The replica does not hold the model or adapter, or is another instance than expected.
    Misplaced,
    /// Nothing was sent.
    NotSent,
    /// The request may have run; nothing was sent to the client.
    Unknown,
    /// The request may have run; a part of the response was sent to the client.
    PartlyAnswered,
    /// No response, or no complete one, arrived in time.
    TimedOut,
    /// Nothing was sent: the caller is no longer authorized.
    CallerRefused(CallerRefusal),
}

impl AttemptOutcome {
    /// Name for the log.
    fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "passed on",
            Self::NotRun => "not run",
            Self::Misplaced => "misplaced",
            Self::NotSent | Self::CallerRefused(_) => "not sent",
            Self::Unknown => "may have run",
            Self::PartlyAnswered => "broke off",
            Self::TimedOut => "no answer in time",
        }
    }
}

/// Handles one request.
pub async fn answer(
    core: &Rc<EntryCore>,
    request: &ClientRequest,
    writer: &mut ClientWriter,
) -> AfterResponse {
    let max_wait = config_wait(core, request);
    let Some(routing) = core.await_routing(max_wait).await else {
        return refuse_unrouted(core, request, writer, 503, "no configuration yet").await;
    };
    let host = request_host(&request.head.headers);
    let path = request.head.target.split('?').next().unwrap_or_default();
    let routes = &routing.configuration.routes;
    let Some(number) = routing.index.find(routes, host, path) else {
        return refuse_unrouted(core, request, writer, 404, "no such route").await;
    };
    let (route, slack) = (&routes[number], routing.slack_ranks[number]);
    let headers = &request.head.headers;
    let caller = match caller::identify(core, &routing, route, headers, max_wait).await {
        Ok(caller) => caller,
        Err(refusal) => {
            let (status, reason) = (refusal.status(), refusal.text());
            return refuse_unrouted(core, request, writer, status, reason).await;
        }
    };
    let mut forwarded = ForwardedRequest::new(core, request, &routing, (route, slack), caller);
    forwarded.run(writer).await
}

/// Returns the requested host without its port.
fn request_host(headers: &[head::Header]) -> &str {
    let host = head::find(headers, "host").unwrap_or_default();
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}

/// Returns the deadline that the client set in its header, in milliseconds.
fn request_deadline_ms(core: &EntryCore, request: &ClientRequest) -> Option<u64> {
    let deadline = head::find(&request.head.headers, core.names.deadline_ms)?;
    deadline.trim().parse().ok()
}

/// How long a request waits for the first configuration of an entry that has just started.
fn config_wait(core: &EntryCore, request: &ClientRequest) -> Duration {
    let longest = core.config_wait();
    let part = request_deadline_ms(core, request)
        .map(|ms| Duration::from_millis(ms) / CONFIG_WAIT_DIVISOR);
    part.map_or(longest, |part| part.min(longest))
}

/// Hash of a request's id, so that a resend makes the same choices.
fn id_hash(id: &str) -> u64 {
    u64::from(crc32fast::hash(id.as_bytes()))
}

/// One request being forwarded.
struct ForwardedRequest<'a> {
    core: &'a Rc<EntryCore>,
    request: &'a ClientRequest,
    routing: &'a Routing,
    route: &'a RouteSpec,
    caller: Option<CallerIdentity>,
    /// Units of the account's quota that are paid for a run that has not begun.
    paid: u64,
    id: String,
    need: Need,
    /// Rank of its account, or of its route; 0 is the most urgent.
    rank: u32,
    /// Whether its latency target is long compared with the shortest one of its service.
    can_wait: bool,
    bounds: EngineBounds,
    /// Tokens in one event of a stream; 0 if the service has no engines.
    event_tokens: u32,
    /// Deadline of the request, on the clock of [`clock::monotonic_ms`].
    until_ms: u64,
    attempted: BTreeSet<ReplicaId>,
    /// Quotes of agents, if the request asks for them.
    quoted: QuotesAtHand,
    /// Attempts that may have run the request.
    runs: u32,
    /// Arrivals at replicas, and how many of them were turned away.
    tally: SendTally,
    refusals: u32,
    /// Whether a resend was spent that has not been sent.
    resend_paid: bool,
    event_buffer: EventBuffer,
    log: RequestLog,
    /// Digest of the content, computed on first use.
    content: Option<ContentDigest>,
    /// Leases to run a suspect content and suspect parts of the prompt.
    leases: Vec<SuspectLeaseGuard>,
    /// The leader's permit, if the chosen replica is rate limited.
    permit: Option<RatePermit>,
    /// Where the request was sent, while it may still run there.
    sent: Option<SentTo>,
    /// Where the events of the current attempt come from.
    source: Option<EventSource>,
    /// Where the first event of the response came from.
    first_source: Option<EventSource>,
    /// How it is known what began the stream that the client takes up.
    origin_source: Option<&'static str>,
    /// When the response of the current attempt began.
    begun: Option<Instant>,
    /// Whether the current attempt has run beyond its beginning.
    is_sound: bool,
    /// Whether the complete response was seen to end by itself.
    has_ended: bool,
    /// Investigation of the replica that lost the connection during the last run.
    investigation: Option<Rc<CrashInvestigation>>,
    /// Replicas that run other suspect contents; also excluded from the choice.
    shared_with_suspects: BTreeSet<ReplicaId>,
}

impl Drop for ForwardedRequest<'_> {
    fn drop(&mut self) {
        self.abandon_run();
        self.refund();
        self.refund_resend();
        self.log.write(self.core);
    }
}

fn engine_bounds(engine: Option<&EngineSpec>) -> EngineBounds {
    engine.map_or(EngineBounds::default(), |engine| EngineBounds {
        memory: engine.kv_tokens,
        adapter_slots: engine.adapter_slots,
    })
}

impl<'a> ForwardedRequest<'a> {
    fn new(
        core: &'a Rc<EntryCore>,
        request: &'a ClientRequest,
        routing: &'a Routing,
        (route, slack): (&'a RouteSpec, u32),
        caller: Option<CallerIdentity>,
    ) -> Self {
        let headers = &request.head.headers;
        let id = head::find(headers, core.names.request_id)
            .unwrap_or_default()
            .to_owned();
        // A stream is continued at the service that began it.
        let first_id = head::find(headers, core.names.resumes).unwrap_or(&id);
        let service = route.pick(id_hash(first_id)).cloned();
        let limit_ms = request_deadline_ms(core, request)
            .unwrap_or(u64::MAX)
            .min(route.timeout_ms);
        let mut need = wire_heads::need(core, headers, service.clone());
        let rank = caller.as_ref().and_then(|caller| caller.priority);
        need.urgency = core.choice().urgency(rank, route.priority, slack);
        need.limit_ms = route.latency_goal_ms.min(limit_ms);
        need.max_gap_ms = match route.kind {
            RouteKind::Streaming => route.max_event_gap_ms,
            _ => 0,
        };
        need.begins_stream = route.kind == RouteKind::Streaming && route.resumable;
        need.id_hash = id_hash(&id);
        let regions = caller.as_ref().map(|caller| &caller.regions);
        need.regions = AllowedRegions::of(&route.regions, regions);
        let spec = service
            .as_ref()
            .and_then(|s| routing.configuration.services.get(s));
        let engine = spec.and_then(|spec| spec.engine.as_ref());
        if let Some(service) = &service {
            core.budget.borrow_mut().earn(service);
        }
        Self {
            core,
            request,
            routing,
            route,
            log: RequestLog::new(&id, route, &need, caller.as_ref(), request.since),
            caller,
            paid: 0,
            id,
            need,
            rank: rank.unwrap_or(route.priority),
            can_wait: slack + 1 >= SLACK_RANKS,
            bounds: engine_bounds(engine),
            event_tokens: engine.map_or(0, |engine| engine.event_tokens),
            until_ms: request.since_ms.saturating_add(limit_ms),
            attempted: BTreeSet::new(),
            quoted: QuotesAtHand::default(),
            runs: 0,
            tally: SendTally::default(),
            refusals: 0,
            resend_paid: false,
            event_buffer: EventBuffer::default(),
            content: None,
            leases: Vec::new(),
            permit: None,
            sent: None,
            source: None,
            first_source: None,
            origin_source: None,
            begun: None,
            is_sound: false,
            has_ended: false,
            investigation: None,
            shared_with_suspects: BTreeSet::new(),
        }
    }

    /// Sends the request to another service of its route than the one that was drawn.
    fn change_service(&mut self, service: ServiceName) {
        let spec = self.routing.configuration.services.get(&service);
        let engine = spec.and_then(|spec| spec.engine.as_ref());
        self.bounds = engine_bounds(engine);
        self.event_tokens = engine.map_or(0, |engine| engine.event_tokens);
        let headers = &self.request.head.headers;
        let prefix = head::find(headers, self.core.names.prefix).unwrap_or_default();
        self.need.part_digests = prompt_parts::digests(service.as_str(), prefix);
        self.log.service(&service);
        self.need.service = Some(service);
    }

    fn left(&self) -> Duration {
        Duration::from_millis(self.until_ms.saturating_sub(clock::monotonic_ms()))
    }

    fn aim(&self) -> Duration {
        Duration::from_millis(self.route.latency_goal_ms)
    }

    async fn run(&mut self, writer: &mut ClientWriter) -> AfterResponse {
        let core = self.core;
        if self.would_outlive_entry() {
            return self.give_up(Refusal::Stopping, writer).await;
        }
        if let Err(refusal) = self.check_suspects() {
            return self.give_up(refusal, writer).await;
        }
        if self.need.regions.is_none() {
            return self.give_up(Refusal::NoRegion, writer).await;
        }
        if let Err(refusal) = self.require_origin().await {
            return self.give_up(refusal, writer).await;
        }
        if let Err(refusal) = self.pay().await {
            return self.give_up(Refusal::Quota(refusal), writer).await;
        }
        let demand = core.track_demand(&self.need);
        loop {
            let replica = match self.choose_replica().await {
                Ok(replica) => replica,
                Err(refusal) => {
                    demand.refuse();
                    return self.give_up(refusal, writer).await;
                }
            };
            let outcome = self.attempt(&replica, writer).await;
            self.log.end_arrival(outcome.name());
            self.end_attempt(&outcome);
            self.record_resend(&outcome);
            self.attempted.insert(replica);
            let again = match outcome {
                AttemptOutcome::Answered(after) => {
                    if self.log.is_answered() {
                        core.record_service(&self.need);
                    }
                    return after;
                }
                AttemptOutcome::NotSent => Ok(()),
                AttemptOutcome::NotRun | AttemptOutcome::Misplaced => self.may_resend(),
                AttemptOutcome::CallerRefused(refusal) => Err(Refusal::Caller(refusal)),
                AttemptOutcome::Unknown
                | AttemptOutcome::TimedOut
                | AttemptOutcome::PartlyAnswered => {
                    self.runs += 1;
                    match self.may_rerun() {
                        Ok(()) => self.rerun().await,
                        refused => refused,
                    }
                }
            };
            if let Err(refusal) = again {
                return self.give_up(refusal, writer).await;
            }
        }
    }

    /// Pays for one run, if the account has a quota and nothing is paid yet.
    async fn pay(&mut self) -> Result<(), QuotaRefusal> {
        let Some(caller) = self.caller.as_ref().filter(|_| self.paid == 0) else {
            return Ok(());
        };
        let Some(quota) = caller.quota else {
            return Ok(());
        };
        let counted = head::find(&self.request.head.headers, self.core.names.tokens);
        let cost = quota.cost(counted.map(|_| self.need.tokens));
        self.core.quotas.pay(&caller.account, cost).await?;
        self.paid = cost;
        Ok(())
    }

    /// Refunds what was paid for a run that has not begun.
    fn refund(&mut self) {
        let paid = std::mem::take(&mut self.paid);
        if let (Some(caller), true) = (&self.caller, paid > 0) {
            self.core.quotas.refund(&caller.account, paid);
        }
    }

    /// Whether this entry is stopping and the request might last longer than the entry. One that may
    /// have run goes on as long as the entry answers: its refusal could promise nothing.
    fn would_outlive_entry(&self) -> bool {
        let Some(left) = self.core.time_to_answer() else {
            return false;
        };
        if left.is_zero() || self.tally.proof().is_none() {
            return left.is_zero();
        }
        // Callers that have noticed the stop send only what crosses it: such a request is taken if
        // its deadline bounds it.
        let expected = match self.core.is_stop_noticed() {
            true => None,
            false => self.expected_time(),
        };
        expected.map_or(self.left(), |time| time.min(self.left())) > left
    }

    /// Expected duration of a run; `None` if nothing but the deadline is known to bound it.
    fn expected_time(&self) -> Option<Duration> {
        match self.route.kind {
            RouteKind::Streaming if self.event_tokens == 0 => None,
            RouteKind::Streaming => {
                let now_ms = clock::monotonic_ms();
                let gap_ms = self.core.replicas.borrow().event_gap_ms(now_ms, &self.need);
                let answer_tokens = self.need.tokens.saturating_sub(self.need.prompt_tokens);
                let events = answer_tokens as f64 / f64::from(self.event_tokens);
                let lasts_ms = events * gap_ms.max(MIN_EVENT_GAP_MS) * STREAM_TIME_FACTOR;
                Some(Duration::from_millis(lasts_ms as u64))
            }
            RouteKind::Safe | RouteKind::Unsafe => Some(self.aim() * TARGET_TIME_FACTOR),
        }
    }

    /// Whether a request that did not run may be sent to another replica.
    fn may_resend(&mut self) -> Result<(), Refusal> {
        self.refusals += 1;
        match self.refusals <= MAX_REPLICA_REFUSALS && self.spend() {
            true => Ok(()),
            false => Err(Refusal::Budget),
        }
    }

    /// Whether a request that may have run may run once more.
    fn may_rerun(&mut self) -> Result<(), Refusal> {
        let allowed = self.route.is_repeatable()
            && self.runs < self.route.attempts
            && self.event_buffer.can_resume();
        match allowed && self.spend() {
            true => Ok(()),
            false => Err(Refusal::Budget),
        }
    }

    fn spend(&mut self) -> bool {
        let service = self.need.service.as_ref();
        self.resend_paid = service.is_some_and(|s| self.core.budget.borrow_mut().spend(s));
        if !self.resend_paid {
            self.log.resent(false);
        }
        self.resend_paid
    }

    /// Counts a resend once it was sent.
    fn record_resend(&mut self, outcome: &AttemptOutcome) {
        if !matches!(outcome, AttemptOutcome::NotSent) && std::mem::take(&mut self.resend_paid) {
            self.log.resent(true);
        }
    }

    /// Refunds a resend that no replica could take.
    fn refund_resend(&mut self) {
        if let (Some(service), true) = (&self.need.service, self.resend_paid) {
            self.resend_paid = false;
            self.core.budget.borrow_mut().refund(service);
        }
    }

    /// Sends the final response of a request that no replica completed.
    async fn give_up(&mut self, refusal: Refusal, writer: &mut ClientWriter) -> AfterResponse {
        if writer.has_begun() {
            self.log.set_end(Outcome::Cut, 0, "broken off midway");
            return AfterResponse::Cut;
        }
        match refusal {
            Refusal::Quarantined => self.core.count("dunlinspring_barred_total", &[]),
            Refusal::PartQuarantined => self.core.count("dunlinspring_barred_parts_total", &[]),
            _ => {}
        }
        let is_entry_over = self
            .core
            .time_to_answer()
            .is_some_and(|left| left.is_zero());
        let late = is_entry_over || self.left() < MIN_TIME_LEFT;
        let proof = self.tally.proof();
        let (own, reason) = match (proof, late) {
            (Some(proof), _) => (OwnStatus::not_run(refusal.status(), proof), refusal.text()),
            (None, true) => (OwnStatus::TIMED_OUT, "no answer in time; it may have run"),
            (None, false) => (OwnStatus::FAILED, "the replica failed; it may have run"),
        };
        if proof.is_some() && refusal.is_for_lack_of_replicas() {
            self.core.record_refusal(&self.need);
        }
        if proof.is_some() {
            let replicas = self.core.replicas.borrow();
            self.log
                .note(&replicas.describe(clock::monotonic_ms(), &self.need));
        }
        let retry = matches!(own.code(), 429 | 503).then(|| self.retry_after(refusal));
        match proof {
            Some(proof) => self.log.refuse(own.code(), reason, proof),
            None => self.log.set_end(Outcome::Unknown, own.code(), reason),
        }
        let close = closes_connection(self.core, self.request);
        let answered = AnsweredRequest {
            method: &self.request.head.method,
            id: Some(&self.id),
        };
        let bytes = own_answer::own_answer(self.core, own, reason, answered, retry, close);
        finish(writer, &bytes, close).await
    }

    /// Returns when it is worth sending a refused request again.
    fn retry_after(&self, refusal: Refusal) -> Duration {
        match refusal {
            Refusal::Absent => self.load_time(),
            Refusal::Evacuated => EVACUATED_RETRY,
            // Another entry takes it at once.
            Refusal::Stopping => Duration::ZERO,
            // Only an operator can change this.
            Refusal::Quarantined | Refusal::PartQuarantined | Refusal::NoRegion => {
                Duration::from_millis(QUARANTINE_RETRY_MS)
            }
            Refusal::VersionGone => GONE_RETRY,
            // The other attempt takes about this long.
            Refusal::Suspect | Refusal::PartsHeld => self.aim(),
            Refusal::Quota(QuotaRefusal::Over(short)) => short,
            Refusal::Quota(QuotaRefusal::Unknown) | Refusal::Caller(_) | Refusal::OriginUnknown => {
                UNKNOWN_RETRY
            }
            Refusal::Full
            | Refusal::BackingOff
            | Refusal::RateLimited
            | Refusal::Adapter
            | Refusal::DeadlinePassed
            | Refusal::Budget => {
                let now_ms = clock::monotonic_ms();
                let replicas = self.core.replicas.borrow();
                let room_ms = match refusal {
                    Refusal::Full => self.quoted_capacity_in_ms(),
                    _ => None,
                };
                let room_ms = room_ms.or_else(|| replicas.capacity_in_ms(now_ms, &self.need));
                let room_ms = room_ms.unwrap_or(0);
                Duration::from_millis(room_ms).max(self.aim() / RETRY_DIVISOR)
            }
        }
    }

    fn load_time(&self) -> Duration {
        let services = &self.routing.configuration.services;
        let spec = self.need.service.as_ref().and_then(|s| services.get(s));
        let engine = spec.and_then(|spec| spec.engine.as_ref());
        let model = engine.zip(self.need.model.as_ref());
        let model = model.and_then(|(engine, model)| engine.models.get(model));
        Duration::from_millis(model.map_or(1_000, |model| model.load_ms))
    }

    /// Time until which a replica may start its response.
    fn attempt_until_ms(&self) -> u64 {
        let more = self.route.is_repeatable() && self.runs + 1 < self.route.attempts;
        let quick_ms = clock::monotonic_ms() + self.route.latency_goal_ms * 2;
        match more {
            true => quick_ms.min(self.until_ms),
            false => self.until_ms,
        }
    }

    async fn attempt(&mut self, replica: &ReplicaId, writer: &mut ClientWriter) -> AttemptOutcome {
        let core = self.core;
        let sent = core.replicas.borrow().record(replica).map(SentTo::new);
        let Some(sent) = sent else {
            return AttemptOutcome::NotSent;
        };
        let mut guard = AttemptGuard::start(core, replica, &self.need);
        core.record_adapter_use(replica, &self.need);
        self.log.record_attempt(replica);
        let may_use = |connection| self.tally.may_use(connection);
        let kept = core.pool.borrow_mut().take_where(replica, may_use);
        let opened = match kept {
            Some(connection) => Ok(connection),
            None => {
                core.count_opened();
                Connection::open(sent.address, core.connect_time()).await
            }
        };
        let connection = match opened {
            Ok(connection) => connection,
            Err(error) => {
                guard.end = AttemptResult::Unreached;
                self.suspect_restart(replica);
                self.log.failed(&error);
                return AttemptOutcome::NotSent;
            }
        };
        let Some(connection) = self.confirm_incarnation(connection, &sent).await else {
            self.log.note("not the expected incarnation");
            return AttemptOutcome::NotRun;
        };
        if let Err(refusal) = caller::recheck_caller(core, self.caller.as_ref()) {
            core.pool.borrow_mut().put(replica, connection);
            return AttemptOutcome::CallerRefused(refusal);
        }
        if self.check_suspects().is_err() || self.would_outlive_entry() {
            core.pool.borrow_mut().put(replica, connection);
            return AttemptOutcome::NotSent;
        }
        let Some(source) = self.event_source(&sent) else {
            return AttemptOutcome::NotSent;
        };
        // The replica may have requested a backoff since it was chosen: waiting for a suspect
        // lease, a slow connection or a suspended process may lie between.
        let permit = self.permit.take();
        guard.permit = permit.as_ref().map(|permit| permit.stamp);
        guard.claim = match self.claim(&sent, permit) {
            Ok(claim) => Some(claim),
            Err(_) => {
                core.pool.borrow_mut().put(replica, connection);
                return AttemptOutcome::NotSent;
            }
        };
        guard.announced = self.announce_run(&sent);
        let id = self.id.clone();
        let observer = answer_heads::observer(core, &sent, &id, guard.permit);
        self.begin_source(source);
        self.sent = Some(sent);
        let (bytes, body) = self.outgoing(replica);
        let paid = std::mem::take(&mut self.paid);
        let method = self.request.head.method.clone();
        let progress = Rc::new(SendProgress::default());
        let outgoing = OutgoingRequest {
            bytes: &bytes,
            body,
            method: &method,
            identity: Some((core.names.request_id, &id)),
            on_head: &observer,
            progress: &progress,
        };
        self.begin_attempt();
        let used = connection.describe();
        self.tally.record_sent(used.number);
        let arrival = ReplicaArrival::new(replica, used, outgoing.size(), progress.clone());
        self.log.record_arrival(arrival);
        let sent = Exchange::send(connection, &outgoing);
        let sent = core.wait_until(self.attempt_until_ms(), sent);
        let sent = tokio::select! {
            sent = sent => sent,
            // Most replicas drop a request whose connection closes.
            () = core.crashes.quarantined(&self.need.part_digests) => {
                return self.withdraw();
            }
        };
        match sent {
            Some(Ok((exchange, head))) => {
                self.log.record_head(&head, &core.names);
                let outcome = self
                    .handle_response(exchange, head, &mut guard, writer)
                    .await;
                if matches!(outcome, AttemptOutcome::NotRun | AttemptOutcome::Misplaced) {
                    self.paid = paid;
                }
                outcome
            }
            Some(Err(error)) => {
                guard.end = AttemptResult::Failed;
                self.handle_connection_lost(&error);
                AttemptOutcome::Unknown
            }
            None => {
                guard.end = AttemptResult::Failed;
                self.log.note("no response in time");
                AttemptOutcome::TimedOut
            }
        }
    }

    async fn handle_response(
        &mut self,
        exchange: Exchange,
        head: ResponseHead,
        guard: &mut AttemptGuard<'_>,
        writer: &mut ClientWriter,
    ) -> AttemptOutcome {
        let core = self.core;
        let load = head::find(&head.headers, core.names.load).and_then(replica_table::parse_load);
        if let Some(load) = load {
            let now_ms = clock::monotonic_ms();
            core.replicas
                .borrow_mut()
                .record_load(now_ms, &guard.replica, load);
        }
        let not_executed = head::find(&head.headers, core.names.not_executed).is_some();
        let end = match head.status {
            421 | 429 | 500.. => SlotOutcome::Other,
            _ if not_executed => SlotOutcome::Other,
            _ => SlotOutcome::Accepted,
        };
        guard.release(end);
        self.record_end_of_limit(&head, guard.permit, end);
        if let Some(refusal) = ReplicaRefusal::read(head.status, not_executed) {
            self.tally.record_refusal(refusal);
            return self.not_run(exchange, &head, guard).await;
        }
        let signed = head::find(&head.headers, core.names.stamp).is_some();
        let good = (200..300).contains(&head.status);
        // These statuses promise that the request did not run. Without the replica's own mark that
        // is not known, so they must not reach the client.
        let promise = own_answer::is_promise(head.status);
        let fails = head.status >= 500 || (good && !signed) || promise;
        if fails && (self.route.is_repeatable() || promise || good || !signed) {
            guard.end = AttemptResult::Failed;
            self.sent = None;
            self.log.failed_by(
                &guard.replica,
                head.status,
                answer_heads::retry_after_text(&head),
            );
            drain_and_keep(core, &guard.replica, exchange).await;
            return AttemptOutcome::Unknown;
        }
        let bodiless = head::is_bodiless(&self.request.head.method, head.status);
        let streams = self.route.kind == RouteKind::Streaming && good && !bodiless;
        if writer.has_begun() && !streams {
            guard.end = AttemptResult::Failed;
            self.log.note("the replica cannot resume the stream");
            return AttemptOutcome::PartlyAnswered;
        }
        guard.begin();
        match streams {
            true => self.forward_stream(exchange, &head, guard, writer).await,
            false => self.forward_buffered(exchange, &head, guard, writer).await,
        }
    }

    async fn not_run(
        &mut self,
        exchange: Exchange,
        head: &ResponseHead,
        guard: &mut AttemptGuard<'_>,
    ) -> AttemptOutcome {
        let misplaced = head.status == 421;
        guard.end = match misplaced {
            true => AttemptResult::Neutral,
            false => AttemptResult::Full,
        };
        match misplaced {
            true => self.log.note("misplaced"),
            false => self
                .log
                .refused(&guard.replica, answer_heads::retry_after_text(head)),
        }
        drain_and_keep(self.core, &guard.replica, exchange).await;
        match misplaced {
            true => {
                let mut replicas = self.core.replicas.borrow_mut();
                replicas.forget_model(&guard.replica, &self.need);
                AttemptOutcome::Misplaced
            }
            false => AttemptOutcome::NotRun,
        }
    }

    /// Forwards a response once it is complete.
    async fn forward_buffered(
        &mut self,
        mut exchange: Exchange,
        head: &ResponseHead,
        guard: &mut AttemptGuard<'_>,
        writer: &mut ClientWriter,
    ) -> AttemptOutcome {
        let mut body = Vec::new();
        loop {
            let next = self.core.wait_until(self.until_ms, exchange.next()).await;
            match next {
                Some(Ok(Some(bytes))) => {
                    self.record_progress();
                    body.extend_from_slice(&bytes);
                }
                Some(Ok(None)) => break,
                Some(Err(error)) => {
                    guard.end = AttemptResult::Failed;
                    self.handle_connection_lost(&error);
                    return AttemptOutcome::Unknown;
                }
                None => {
                    self.log.note("response not complete in time");
                    return AttemptOutcome::TimedOut;
                }
            }
            if body.len() > MAX_BUFFERED_BYTES {
                self.log.note("response too long to be buffered");
                guard.end = AttemptResult::Failed;
                return AttemptOutcome::Unknown;
            }
        }
        if !self.confirm_end(&exchange, head, body.is_empty()).await {
            guard.end = AttemptResult::Failed;
            return AttemptOutcome::Unknown;
        }
        guard.end = if head.status < 500 {
            AttemptResult::Good
        } else {
            AttemptResult::Failed
        };
        put_back(self.core, &guard.replica, exchange);
        let close = closes_connection(self.core, self.request);
        let bytes = self.whole_response(head, &body, close);
        self.log.answered(head.status);
        AttemptOutcome::Answered(finish(writer, &bytes, close).await)
    }

    /// Forwards the events of a stream, each one once it is complete.
    async fn forward_stream(
        &mut self,
        mut exchange: Exchange,
        head: &ResponseHead,
        guard: &mut AttemptGuard<'_>,
        writer: &mut ClientWriter,
    ) -> AttemptOutcome {
        let core = self.core;
        let close = closes_connection(core, self.request);
        let chunked = self.request.head.is_http11;
        let mut out = Vec::new();
        if !writer.has_begun() {
            let coding = [("Transfer-Encoding", "chunked")];
            out = self.response_head(head, if chunked { &coding } else { &[] }, close);
        }
        self.event_buffer.discard_partial();
        let mut last: Option<Instant> = None;
        // Comments before the first event: as long as nothing is passed on, another replica may
        // still answer.
        let mut held = Vec::new();
        let mut commented = 0;
        loop {
            let next = core.wait_until(self.until_ms, exchange.next()).await;
            let bytes = match next {
                Some(Ok(Some(bytes))) => bytes,
                Some(Ok(None)) => break,
                Some(Err(error)) => {
                    guard.end = AttemptResult::Failed;
                    self.handle_connection_lost(&error);
                    return self.broken(writer);
                }
                None => {
                    self.log.note("deadline passed during the stream");
                    self.runs = self.route.attempts;
                    return self.broken(writer);
                }
            };
            let Ok(events) = self.event_buffer.push(&bytes) else {
                guard.end = AttemptResult::Failed;
                self.log.note("stream event too long");
                return self.broken(writer);
            };
            if events.is_empty() {
                continue;
            }
            let has_event = events::has_event(&events);
            commented = match has_event {
                true => 0,
                false => commented + events.len(),
            };
            if commented > MAX_COMMENT_BYTES {
                guard.end = AttemptResult::Failed;
                self.log.note("too many comments without an event");
                return self.broken(writer);
            }
            if !has_event && !self.event_buffer.has_begun() {
                held.extend_from_slice(&events);
                continue;
            }
            let events = match held.is_empty() {
                true => events,
                false => [std::mem::take(&mut held), events].concat(),
            };
            if !self.accept_events(&events, exchange.opened()).await {
                guard.end = AttemptResult::Neutral;
                self.log
                    .note("the first event is not from the expected incarnation");
                return self.broken(writer);
            }
            self.log.first_event();
            self.record_progress();
            let now = Instant::now();
            if let Some(last) = last.replace(now) {
                let gap_ms = (now - last).as_secs_f64() * 1000.0;
                let now_ms = clock::monotonic_ms();
                let mut replicas = core.replicas.borrow_mut();
                replicas.record_event_gap(now_ms, &guard.replica, gap_ms);
                drop(replicas);
                self.log.record_gap(now - last);
            }
            push_chunk(&mut out, &events, chunked);
            if writer.write(&std::mem::take(&mut out)).await.is_err() {
                return AttemptOutcome::Answered(AfterResponse::Cut);
            }
        }
        if !self.event_buffer.is_at_boundary() {
            // The body ended inside an event: the replica lost the connection.
            guard.end = AttemptResult::Failed;
            self.log.note("stream ended inside an event");
            self.investigate_crash();
            return self.broken(writer);
        }
        let is_empty = last.is_none();
        if !self.confirm_end(&exchange, head, is_empty).await {
            guard.end = AttemptResult::Failed;
            return self.broken(writer);
        }
        guard.end = AttemptResult::Good;
        put_back(self.core, &guard.replica, exchange);
        if !held.is_empty() {
            push_chunk(&mut out, &held, chunked);
        }
        if chunked {
            out.extend_from_slice(b"0\r\n\r\n");
        }
        self.log.answered(head.status);
        // The entry may have begun to stop since the head was sent.
        let close = close || !chunked || core.is_stopping();
        AttemptOutcome::Answered(finish(writer, &out, close).await)
    }

    fn broken(&self, writer: &ClientWriter) -> AttemptOutcome {
        match writer.has_begun() {
            true => AttemptOutcome::PartlyAnswered,
            false => AttemptOutcome::Unknown,
        }
    }
}

fn push_chunk(out: &mut Vec<u8>, bytes: &[u8], chunked: bool) {
    match chunked {
        true => {
            out.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
            out.extend_from_slice(bytes);
            out.extend_from_slice(b"\r\n");
        }
        false => out.extend_from_slice(bytes),
    }
}

/// Reads the rest of a short response, so that the connection can be reused.
async fn drain_and_keep(core: &EntryCore, replica: &ReplicaId, mut exchange: Exchange) {
    let rest = async {
        let mut left = 64;
        while let Ok(Some(_)) = exchange.next().await {
            left -= 1;
            if left == 0 {
                return None;
            }
        }
        Some(exchange)
    };
    let rest = tokio::time::timeout(Duration::from_millis(5), rest).await;
    if let Ok(Some(exchange)) = rest {
        put_back(core, replica, exchange);
    }
}

fn put_back(core: &EntryCore, replica: &ReplicaId, exchange: Exchange) {
    if let Some(connection) = exchange.finish() {
        core.pool.borrow_mut().put(replica, connection);
    }
}

impl RequestLog {
    fn failed(&mut self, error: &ExchangeError) {
        self.note(&error.to_string());
    }
}
