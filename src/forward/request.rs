//! One request, from its route to its one final answer.
//!
//! After a byte has gone to a replica, a request that may not be repeated is
//! sent again only where the answer says that it did not run. What is not known
//! to have run or not is a 502 or 504, never a 503.

mod answer_heads;
mod attempt_guard;
mod crashes;
mod placing;
mod wire_heads;

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::clock;
use crate::forward::caller::{self, CallerIdentity, CallerRefusal};
use crate::forward::client::{AfterAnswer, ClientRequest, ClientWriter};
use crate::forward::crashes::{CrashCase, SentTo};
use crate::forward::daemon::{EntryCore, Routing};
use crate::forward::events::EventCutter;
use crate::forward::head::{self, ResponseHead};
use crate::forward::locality::AllowedRegions;
use crate::forward::own_answer::{self, Refusal, UNKNOWN_RETRY, closes, finish, refuse_plainly};
use crate::forward::permits::RatePermit;
use crate::forward::quotas::QuotaRefusal;
use crate::forward::replica_table::{self, EngineBounds, Need, TryEnd};
use crate::forward::request_log::{Outcome, RequestLog};
use crate::forward::suspect_leases::TurnGuard;
use crate::forward::upstream::{Connection, Exchange, ExchangeError, Outgoing};
use crate::ids::{ContentDigest, ReplicaId};
use crate::routing::backoff::ClaimEnd;
use crate::routing::suspects::BARRED_RETRY_MS;
use crate::table::configuration::{RouteKind, RouteSpec};

use attempt_guard::TryGuard;

/// Largest answer that is held until it is whole, in bytes.
const MAX_HELD: usize = 1024 * 1024;
/// Part of the aim after which a refused request comes back at the soonest.
const RETURN_PART: u32 = 4;
/// Refusals by replicas that one request takes before it is refused itself.
const MAX_REFUSALS: u32 = 4;
/// Part of its time that a request waits for the first configuration.
const CONFIG_WAIT_PART: u32 = 4;
/// Least time between two events of a stream that a stopping entry counts with, in
/// milliseconds: what engines show that are half full.
const LEAST_PAUSE_MS: f64 = 50.0;
/// How much longer than predicted a stream may last: pauses grow while demand moves.
const STREAM_MARGIN: f64 = 2.0;
/// When a request comes back whose replicas are all in evacuated halls.
const EVACUATED_RETRY: Duration = Duration::from_millis(1_000);
/// Time that is left for a request to be worth sending.
const LEAST_LEFT: Duration = Duration::from_millis(20);

/// How a try at one replica ended.
enum Tried {
    /// The client has its answer.
    Answered(AfterAnswer),
    /// The replica did not run it.
    NotRun,
    /// The replica does not hold what is asked for, or is another one.
    Misplaced,
    /// Nothing was sent.
    Unsent,
    /// It may have run; the client has nothing yet.
    Unknown,
    /// It may have run; the client has a part of the answer.
    Begun,
    /// The replica was too slow for a request that may be repeated.
    Slow,
    /// Nothing was sent: the caller may not act any more.
    Barred(CallerRefusal),
}

/// Answers one request.
pub async fn answer(
    core: &Rc<EntryCore>,
    request: &ClientRequest,
    writer: &mut ClientWriter,
) -> AfterAnswer {
    let patience = config_wait(core, request);
    let Some(routing) = core.await_routing(patience).await else {
        return refuse_plainly(core, request, writer, 503, "no configuration yet").await;
    };
    let host = asked_host(&request.head.headers);
    let path = request.head.target.split('?').next().unwrap_or_default();
    let routes = &routing.configuration.routes;
    let Some(number) = routing.index.find(routes, host, path) else {
        return refuse_plainly(core, request, writer, 404, "no such route").await;
    };
    let (route, slack) = (&routes[number], routing.slack_ranks[number]);
    let headers = &request.head.headers;
    let caller = match caller::identify(core, &routing, route, headers, patience).await {
        Ok(caller) => caller,
        Err(refusal) => {
            let (status, reason) = (refusal.status(), refusal.text());
            return refuse_plainly(core, request, writer, status, reason).await;
        }
    };
    let mut flight = Flight::new(core, request, &routing, (route, slack), caller);
    flight.run(writer).await
}

/// The host that is asked for, without a port.
fn asked_host(headers: &[head::Header]) -> &str {
    let host = head::find(headers, "host").unwrap_or_default();
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}

/// How long the client will wait, by its own word, in milliseconds.
fn asked_ms(core: &EntryCore, request: &ClientRequest) -> Option<u64> {
    let asked = head::find(&request.head.headers, core.names.deadline_ms)?;
    asked.trim().parse().ok()
}

/// How long a request waits for the first configuration of an entry that has just
/// started.
fn config_wait(core: &EntryCore, request: &ClientRequest) -> Duration {
    let longest = core.config_wait();
    let part = asked_ms(core, request).map(|ms| Duration::from_millis(ms) / CONFIG_WAIT_PART);
    part.map_or(longest, |part| part.min(longest))
}

/// A number drawn for a request by its id, so that a resend takes the same way.
fn draw(id: &str) -> u64 {
    u64::from(crc32fast::hash(id.as_bytes()))
}

/// One request on its way.
struct Flight<'a> {
    core: &'a Rc<EntryCore>,
    request: &'a ClientRequest,
    routing: &'a Routing,
    route: &'a RouteSpec,
    caller: Option<CallerIdentity>,
    /// Units of its account's quota that are paid for a run that has not begun.
    paid: u64,
    id: String,
    need: Need,
    bounds: EngineBounds,
    /// Tokens in one event of a stream; 0 where the service has no engines.
    event_tokens: u32,
    /// When it has to be over, by [`clock::monotonic_ms`].
    until_ms: u64,
    passed: BTreeSet<ReplicaId>,
    /// Replicas that may have run it.
    runs: u32,
    refusals: u32,
    cutter: EventCutter,
    log: RequestLog,
    /// Its name, once somebody needed it.
    content: Option<ContentDigest>,
    /// Its turn, where its content is suspect.
    turn: Option<TurnGuard>,
    /// The leader's permit to send it, where the chosen replica takes few requests.
    permit: Option<RatePermit>,
    /// Where it was sent, while it may run there.
    sent: Option<SentTo>,
    /// What is being found out of a replica that broke off under it.
    case: Option<Rc<CrashCase>>,
    /// Replicas where other suspects run; passed as well.
    shared: BTreeSet<ReplicaId>,
}

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        self.leave_run();
        self.refund();
        self.log.end(self.core);
    }
}

impl<'a> Flight<'a> {
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
        let service = route.pick(draw(&id)).cloned();
        let limit_ms = asked_ms(core, request)
            .unwrap_or(u64::MAX)
            .min(route.timeout_ms);
        let mut need = wire_heads::need(core, headers, service.clone());
        let rank = caller.as_ref().and_then(|caller| caller.priority);
        need.urgency = core.choice().urgency(rank, route.priority, slack);
        need.limit_ms = route.aim_ms.min(limit_ms);
        need.draw = draw(&id);
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
            bounds: engine.map_or(EngineBounds::default(), |engine| EngineBounds {
                memory: engine.kv_tokens,
                adapter_slots: engine.adapter_slots,
            }),
            event_tokens: engine.map_or(0, |engine| engine.event_tokens),
            until_ms: request.since_ms.saturating_add(limit_ms),
            passed: BTreeSet::new(),
            runs: 0,
            refusals: 0,
            cutter: EventCutter::default(),
            content: None,
            turn: None,
            permit: None,
            sent: None,
            case: None,
            shared: BTreeSet::new(),
        }
    }

    fn left(&self) -> Duration {
        Duration::from_millis(self.until_ms.saturating_sub(clock::monotonic_ms()))
    }

    fn aim(&self) -> Duration {
        Duration::from_millis(self.route.aim_ms)
    }

    async fn run(&mut self, writer: &mut ClientWriter) -> AfterAnswer {
        let core = self.core;
        if self.outlives_entry() {
            return self.give_up(Refusal::Stopping, writer).await;
        }
        if self.is_barred() {
            return self.give_up(Refusal::Barred, writer).await;
        }
        if self.need.regions.is_none() {
            return self.give_up(Refusal::NoRegion, writer).await;
        }
        if let Err(refusal) = self.pay().await {
            return self.give_up(Refusal::Quota(refusal), writer).await;
        }
        let mark = core.track(&self.need);
        loop {
            let replica = match self.place().await {
                Ok(replica) => replica,
                Err(refusal) => {
                    mark.refuse();
                    return self.give_up(refusal, writer).await;
                }
            };
            let tried = self.try_at(&replica, writer).await;
            self.end_turn(&tried);
            self.passed.insert(replica);
            let again = match tried {
                Tried::Answered(after) => return after,
                Tried::Unsent => Ok(()),
                Tried::NotRun | Tried::Misplaced => self.may_resend(),
                Tried::Barred(refusal) => Err(Refusal::Caller(refusal)),
                Tried::Unknown | Tried::Slow | Tried::Begun => {
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

    /// Pays for one run, where its account has a quota and nothing is paid yet.
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

    /// Gives back what is paid for a run that has not begun.
    fn refund(&mut self) {
        let paid = std::mem::take(&mut self.paid);
        if let (Some(caller), true) = (&self.caller, paid > 0) {
            self.core.quotas.refund(&caller.account, paid);
        }
    }

    /// Whether this entry stops, and would have to cut the stream off: at the pace of
    /// others it might last for longer than the entry does.
    fn outlives_entry(&self) -> bool {
        let Some(left) = self.core.time_to_end() else {
            return false;
        };
        if self.route.kind != RouteKind::Streaming || self.event_tokens == 0 {
            return false;
        }
        let now_ms = clock::monotonic_ms();
        let pause_ms = self.core.book.borrow().pause_ms(now_ms, &self.need);
        let answer_tokens = self.need.tokens.saturating_sub(self.need.prompt_tokens);
        let events = answer_tokens as f64 / f64::from(self.event_tokens);
        let lasts_ms = events * pause_ms.max(LEAST_PAUSE_MS) * STREAM_MARGIN;
        lasts_ms > left.as_millis() as f64
    }

    /// Whether a request that did not run may be sent to another replica.
    fn may_resend(&mut self) -> Result<(), Refusal> {
        self.refusals += 1;
        match self.refusals <= MAX_REFUSALS && self.spend() {
            true => Ok(()),
            false => Err(Refusal::Budget),
        }
    }

    /// Whether a request that may have run may run once more.
    fn may_rerun(&mut self) -> Result<(), Refusal> {
        let allowed = self.route.is_repeatable() && self.runs < self.route.attempts;
        match allowed && self.spend() {
            true => Ok(()),
            false => Err(Refusal::Budget),
        }
    }

    fn spend(&mut self) -> bool {
        let service = self.need.service.as_ref();
        let spent = service.is_some_and(|s| self.core.budget.borrow_mut().spend(s));
        self.log.resent(spent);
        spent
    }

    /// The final answer of a request that no replica has answered.
    async fn give_up(&mut self, refusal: Refusal, writer: &mut ClientWriter) -> AfterAnswer {
        if writer.has_begun() {
            self.log.ends(Outcome::Cut, 0, "broken off midway");
            return AfterAnswer::Cut;
        }
        if refusal == Refusal::Barred {
            self.core.count("dunlinspring_barred_total", &[]);
        }
        let late = self.left() < LEAST_LEFT;
        let (status, reason) = match (self.runs, late) {
            (0, _) => (refusal.status(), refusal.text()),
            (_, true) => (504, "no answer in time; it may have run"),
            (_, false) => (502, "the replica failed; it may have run"),
        };
        if self.runs == 0 {
            let book = self.core.book.borrow();
            self.log
                .note(&book.describe(clock::monotonic_ms(), &self.need));
        }
        let retry = matches!(status, 429 | 503).then(|| self.come_back(refusal));
        let outcome = match self.runs {
            0 => Outcome::Refused,
            _ => Outcome::Unknown,
        };
        self.log.ends(outcome, status, reason);
        let close = closes(self.core, self.request);
        let bytes = own_answer::own_answer(self.core, status, reason, Some(&self.id), retry, close);
        finish(writer, &bytes, close).await
    }

    /// When a refused request is worth sending again.
    fn come_back(&self, refusal: Refusal) -> Duration {
        match refusal {
            Refusal::Absent => self.load_time(),
            Refusal::Evacuated => EVACUATED_RETRY,
            // Another entry takes it at once.
            Refusal::Stopping => Duration::ZERO,
            // Until an operator changes that.
            Refusal::Barred | Refusal::NoRegion => Duration::from_millis(BARRED_RETRY_MS),
            // About as long as the other attempt takes.
            Refusal::Turn => self.aim(),
            Refusal::Quota(QuotaRefusal::Over(short)) => short,
            Refusal::Quota(QuotaRefusal::Unknown) | Refusal::Caller(_) => UNKNOWN_RETRY,
            Refusal::Full
            | Refusal::Paused
            | Refusal::RateLimited
            | Refusal::Adapter
            | Refusal::Late
            | Refusal::Budget => {
                let now_ms = clock::monotonic_ms();
                let book = self.core.book.borrow();
                let room_ms = book.room_in_ms(now_ms, &self.need).unwrap_or(0);
                Duration::from_millis(room_ms).max(self.aim() / RETURN_PART)
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

    /// Until when a replica may begin its answer.
    fn try_until_ms(&self) -> u64 {
        let more = self.route.is_repeatable() && self.runs + 1 < self.route.attempts;
        let quick_ms = clock::monotonic_ms() + self.route.aim_ms * 2;
        match more {
            true => quick_ms.min(self.until_ms),
            false => self.until_ms,
        }
    }

    async fn try_at(&mut self, replica: &ReplicaId, writer: &mut ClientWriter) -> Tried {
        let core = self.core;
        let sent = core.book.borrow().record(replica).map(SentTo::new);
        let Some(sent) = sent else {
            return Tried::Unsent;
        };
        let mut guard = TryGuard::start(core, replica, &self.need);
        core.note_adapter(replica, &self.need);
        self.log.sent(replica);
        let kept = core.pool.borrow_mut().take(replica);
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
                guard.end = TryEnd::Unreached;
                self.suspect_start(replica);
                self.log.failed(&error);
                return Tried::Unsent;
            }
        };
        if let Err(refusal) = caller::may_act(core, self.caller.as_ref()) {
            core.pool.borrow_mut().put(replica, connection);
            return Tried::Barred(refusal);
        }
        // What the replica asked for may have come since it was chosen: a turn, a connection
        // that was slow to open and a suspension lie between.
        let permit = self.permit.take();
        guard.permit = permit.as_ref().map(|permit| permit.stamp);
        guard.claim = match self.claim(&sent, permit) {
            Ok(claim) => Some(claim),
            Err(_) => {
                core.pool.borrow_mut().put(replica, connection);
                return Tried::Unsent;
            }
        };
        let id = self.id.clone();
        let observer = answer_heads::observer(core, &sent, &id, guard.permit);
        self.sent = Some(sent);
        let bytes = self.outgoing(replica);
        let paid = std::mem::take(&mut self.paid);
        let method = self.request.head.method.clone();
        let outgoing = Outgoing {
            bytes: &bytes,
            method: &method,
            identity: Some((core.names.request_id, &id)),
            on_head: &observer,
        };
        let sent = Exchange::send(connection, &outgoing);
        let sent = clock::wait_until(self.try_until_ms(), sent).await;
        match sent {
            Some(Ok((exchange, head))) => {
                let tried = self.take_answer(exchange, head, &mut guard, writer).await;
                if matches!(tried, Tried::NotRun | Tried::Misplaced) {
                    self.paid = paid;
                }
                tried
            }
            Some(Err(error)) => {
                guard.end = TryEnd::Failed;
                self.broke_off(&error);
                Tried::Unknown
            }
            None => {
                guard.end = TryEnd::Failed;
                self.log.note("no answer in time");
                Tried::Slow
            }
        }
    }

    async fn take_answer(
        &mut self,
        exchange: Exchange,
        head: ResponseHead,
        guard: &mut TryGuard<'_>,
        writer: &mut ClientWriter,
    ) -> Tried {
        let core = self.core;
        let load = head::find(&head.headers, core.names.load).and_then(replica_table::parse_load);
        if let Some(load) = load {
            let now_ms = clock::monotonic_ms();
            core.book.borrow_mut().tell(now_ms, &guard.replica, load);
        }
        let not_executed = head::find(&head.headers, core.names.not_executed).is_some();
        let end = match head.status {
            421 | 429 | 500.. => ClaimEnd::Other,
            _ if not_executed => ClaimEnd::Other,
            _ => ClaimEnd::Taken,
        };
        guard.release(end);
        self.hear_end_of_limit(&head, guard.permit, end);
        if head.status == 421 || not_executed {
            return self.not_run(exchange, &head, guard).await;
        }
        let signed = head::find(&head.headers, core.names.stamp).is_some();
        let good = (200..300).contains(&head.status);
        // A promise that the replica did not make must not be passed on.
        let promise = matches!(head.status, 408 | 421 | 429 | 503);
        let fails = head.status >= 500 || (good && !signed) || promise;
        if fails && (self.route.is_repeatable() || promise || good || !signed) {
            guard.end = TryEnd::Failed;
            self.sent = None;
            self.log
                .failed_by(&guard.replica, head.status, answer_heads::pause_text(&head));
            keep(core, &guard.replica, exchange).await;
            return Tried::Unknown;
        }
        let streams = self.route.kind == RouteKind::Streaming && good;
        if writer.has_begun() && !streams {
            guard.end = TryEnd::Failed;
            self.log.note("the stream cannot go on there");
            return Tried::Begun;
        }
        guard.begin();
        match streams {
            true => self.pass_stream(exchange, &head, guard, writer).await,
            false => self.pass_whole(exchange, &head, guard, writer).await,
        }
    }

    async fn not_run(
        &mut self,
        exchange: Exchange,
        head: &ResponseHead,
        guard: &mut TryGuard<'_>,
    ) -> Tried {
        let misplaced = head.status == 421;
        guard.end = match misplaced {
            true => TryEnd::Neutral,
            false => TryEnd::Full,
        };
        match misplaced {
            true => self.log.note("misplaced"),
            false => self
                .log
                .refused(&guard.replica, answer_heads::pause_text(head)),
        }
        keep(self.core, &guard.replica, exchange).await;
        match misplaced {
            true => {
                let mut book = self.core.book.borrow_mut();
                book.correct(&guard.replica, &self.need);
                Tried::Misplaced
            }
            false => Tried::NotRun,
        }
    }

    /// Passes on an answer once it is whole.
    async fn pass_whole(
        &mut self,
        mut exchange: Exchange,
        head: &ResponseHead,
        guard: &mut TryGuard<'_>,
        writer: &mut ClientWriter,
    ) -> Tried {
        let mut body = Vec::new();
        loop {
            let next = clock::wait_until(self.until_ms, exchange.next()).await;
            match next {
                Some(Ok(Some(bytes))) => body.extend_from_slice(&bytes),
                Some(Ok(None)) => break,
                Some(Err(error)) => {
                    guard.end = TryEnd::Failed;
                    self.broke_off(&error);
                    return Tried::Unknown;
                }
                None => {
                    self.log.note("no whole answer in time");
                    return Tried::Slow;
                }
            }
            if body.len() > MAX_HELD {
                self.log.note("the answer is too long to be held");
                guard.end = TryEnd::Failed;
                return Tried::Unknown;
            }
        }
        guard.end = if head.status < 500 {
            TryEnd::Good
        } else {
            TryEnd::Failed
        };
        put_back(self.core, &guard.replica, exchange);
        let close = closes(self.core, self.request);
        let length = body.len().to_string();
        let mut bytes = self.answer_head(head, &[("Content-Length", &length)], close);
        if self.request.head.method != "HEAD" {
            bytes.extend_from_slice(&body);
        }
        self.log.answered(head.status);
        Tried::Answered(finish(writer, &bytes, close).await)
    }

    /// Passes on the events of a stream as they come whole.
    async fn pass_stream(
        &mut self,
        mut exchange: Exchange,
        head: &ResponseHead,
        guard: &mut TryGuard<'_>,
        writer: &mut ClientWriter,
    ) -> Tried {
        let core = self.core;
        let close = closes(core, self.request);
        let chunked = self.request.head.is_http11;
        let mut out = Vec::new();
        if !writer.has_begun() {
            let coding = [("Transfer-Encoding", "chunked")];
            out = self.answer_head(head, if chunked { &coding } else { &[] }, close);
        }
        self.cutter.drop_part();
        let mut last: Option<Instant> = None;
        loop {
            let next = clock::wait_until(self.until_ms, exchange.next()).await;
            let bytes = match next {
                Some(Ok(Some(bytes))) => bytes,
                Some(Ok(None)) => break,
                Some(Err(error)) => {
                    guard.end = TryEnd::Failed;
                    self.broke_off(&error);
                    return self.broken(writer);
                }
                None => {
                    self.log.note("the stream ran out of time");
                    self.runs = self.route.attempts;
                    return self.broken(writer);
                }
            };
            let Ok(events) = self.cutter.push(&bytes) else {
                guard.end = TryEnd::Failed;
                self.log.note("an event is too long");
                return self.broken(writer);
            };
            if events.is_empty() {
                continue;
            }
            self.log.first_event();
            let now = Instant::now();
            if let Some(last) = last.replace(now) {
                let pause_ms = (now - last).as_secs_f64() * 1000.0;
                let now_ms = clock::monotonic_ms();
                let mut book = core.book.borrow_mut();
                book.note_pause(now_ms, &guard.replica, pause_ms);
                drop(book);
                self.log.pause(now - last);
            }
            push_piece(&mut out, &events, chunked);
            if writer.write(&std::mem::take(&mut out)).await.is_err() {
                return Tried::Answered(AfterAnswer::Cut);
            }
        }
        if !self.cutter.is_between() {
            // A length or chunks that end inside an event: the replica broke off.
            guard.end = TryEnd::Failed;
            self.log.note("the stream ended inside an event");
            self.suspect_crash();
            return self.broken(writer);
        }
        guard.end = TryEnd::Good;
        put_back(self.core, &guard.replica, exchange);
        if chunked {
            out.extend_from_slice(b"0\r\n\r\n");
        }
        self.log.answered(head.status);
        // A stop may have been asked for since the head left.
        let close = close || !chunked || core.is_stopping();
        Tried::Answered(finish(writer, &out, close).await)
    }

    fn broken(&self, writer: &ClientWriter) -> Tried {
        match writer.has_begun() {
            true => Tried::Begun,
            false => Tried::Unknown,
        }
    }
}

fn push_piece(out: &mut Vec<u8>, bytes: &[u8], chunked: bool) {
    match chunked {
        true => {
            out.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
            out.extend_from_slice(bytes);
            out.extend_from_slice(b"\r\n");
        }
        false => out.extend_from_slice(bytes),
    }
}

/// Reads the rest of a short answer, so that its connection can be kept.
async fn keep(core: &EntryCore, replica: &ReplicaId, mut exchange: Exchange) {
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
