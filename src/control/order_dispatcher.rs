//! Sends the leader's orders to engines, one at a time to each engine.
//!
//! Every order carries the count of orders that the engine must have taken so far. So an order
//! without a response can be sent again and takes effect at most once, however late either of
//! the two is executed.
//!
//! An order is in transit only while its leader may decide: it is sent under a permit of the
//! voter, and its connection is reset when the permit expires without renewal. Otherwise an
//! order of a leader that was suspended, was partitioned off, or whose connection buffers its
//! bytes could arrive among those of the next leader. If the process itself is suspended, its
//! kernel gives up soon after: see [`Connection::limit_send_time`].

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use snafu::Snafu;
use tokio::sync::{Mutex, mpsc};

use crate::clock;
use crate::control::event::{ControlEvent, ControlHandle, SendPermit};
use crate::forward::head;
use crate::forward::upstream::{
    Connection, Exchange, ExchangeError, OutgoingRequest, SendProgress,
};
use crate::ids::{ModelName, ReplicaId, ReplicaIncarnation};
use crate::placement::order::{OrderKind, OrderOutcome, ReplicaOrder};
use crate::process::daemon;

/// Timeout of one call to an engine. Engines respond within milliseconds, and an order without a
/// response can be sent again safely.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a connection to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without a response after which a further copy of an order is sent. At most one copy takes
/// effect, as they expect the same count.
const COPY_DELAY: Duration = Duration::from_millis(100);
/// Number of copies of an order in one attempt.
const MAX_COPIES: u32 = 3;
/// Delay until an engine's report includes the effect of earlier orders.
const REPORT_DELAY: Duration = Duration::from_millis(300);
/// Time that an adapter takes to load after its order was taken.
const ADAPTER_LOAD_DELAY: Duration = Duration::from_millis(30);
/// Interval of permit renewals while an order is in transit: several in a lease, which lasts
/// for some 400 ms.
const RENEW_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of attempts of one order.
const MAX_ATTEMPTS: u32 = 4;
/// Limit on the body of an engine's response, in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// HTTP request to an engine, in the format of its deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineCall {
    /// Method.
    pub method: &'static str,
    /// Path.
    pub path: &'static str,
    /// Headers in addition to those of every call.
    pub headers: Vec<(&'static str, String)>,
    /// JSON body; empty for none.
    pub body: String,
}

/// State that an engine reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Number of orders taken in this incarnation.
    pub orders: u64,
    /// An order is being executed.
    pub busy: bool,
    /// Models in memory with their adapters, including those that are being loaded.
    pub models: BTreeMap<ModelName, BTreeSet<String>>,
}

impl EngineReport {
    /// Returns whether the engine is in the state that an order requests.
    fn is_fulfilled(&self, order: &ReplicaOrder) -> bool {
        let held = self.models.get(&order.model);
        let there = match &order.adapter {
            Some(adapter) => held.is_some_and(|adapters| adapters.contains(adapter)),
            None => held.is_some(),
        };
        there == (order.kind == OrderKind::Load)
    }
}

/// Format of the calls to engines.
#[derive(Clone, Copy)]
pub struct EngineDialect {
    /// Builds the request of an order that expects a count of orders.
    pub order: fn(&ReplicaOrder, u64) -> EngineCall,
    /// Builds the request for a report.
    pub report: fn(&ReplicaId) -> EngineCall,
    /// Parses a report.
    pub read_report: fn(&[u8]) -> Option<EngineReport>,
    /// Maps the HTTP status of an order's response to its outcome.
    pub outcome: fn(u16) -> OrderOutcome,
}

/// Number of orders that an engine has taken, as far as its responses show it.
///
/// An assumed count may be one too high, or too low after a late order of an earlier leader: the
/// engine refuses the next order, and the count is corrected. If that order gets no response
/// instead, it can only be executed after one more order: after its own repetition it changes
/// nothing, and after another order it is a late one like any other, whose slot stays claimed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum KnownCount {
    /// Not known: read from the engine's report.
    #[default]
    Unknown,
    /// After an order that was accepted, or as reported.
    Confirmed(u64),
    /// After an unload of an adapter that was answered as held. It is counted if the adapter was
    /// there, which the response does not tell.
    Assumed(u64),
}

impl KnownCount {
    fn value(self) -> Option<u64> {
        match self {
            Self::Unknown => None,
            Self::Confirmed(count) | Self::Assumed(count) => Some(count),
        }
    }
}

/// Count of one incarnation of an engine; locked while an order is delivered to it.
type OrderCount = Rc<Mutex<KnownCount>>;

/// Sends orders until the channel closes.
pub async fn run(
    mut orders: mpsc::UnboundedReceiver<ReplicaOrder>,
    handle: ControlHandle,
    dialect: EngineDialect,
) {
    let counts: RefCell<BTreeMap<ReplicaIncarnation, OrderCount>> = RefCell::default();
    while let Some(order) = orders.recv().await {
        let count = order_count(&mut counts.borrow_mut(), order.incarnation());
        let handle = handle.clone();
        daemon::spawn_local(async move {
            let mut count = count.lock().await;
            let outcome = deliver(&order, &mut count, &handle, &dialect).await;
            tracing::info!(
                order = %order.id(), replica = %order.replica, kind = ?order.kind,
                model = %order.model, adapter = order.adapter, term = %order.fence,
                count = count.value(), ?outcome, "order"
            );
            drop(count);
            if order.adapter.is_some() && outcome == OrderOutcome::Taken {
                tokio::time::sleep(ADAPTER_LOAD_DELAY).await;
            }
            handle.notify(ControlEvent::OrderDone(order, outcome));
        });
    }
}

/// Returns the count of one incarnation, and drops that of an earlier one with the same id: the
/// next incarnation counts from zero.
fn order_count(
    counts: &mut BTreeMap<ReplicaIncarnation, OrderCount>,
    incarnation: ReplicaIncarnation,
) -> OrderCount {
    counts.retain(|other, _| other.id != incarnation.id || *other == incarnation);
    counts.entry(incarnation).or_default().clone()
}

async fn deliver(
    order: &ReplicaOrder,
    count: &mut KnownCount,
    handle: &ControlHandle,
    dialect: &EngineDialect,
) -> OrderOutcome {
    let mut unconfirmed: Option<u64> = None;
    let mut refused_counts: Vec<u64> = Vec::new();
    for number in 1..=MAX_ATTEMPTS {
        let expected = match count.value() {
            Some(known) => known,
            None => match query_report(order, dialect).await {
                // A higher count does not show whose order was taken: one of an earlier leader
                // may have been executed only now. The loaded models show whether this order is
                // fulfilled.
                Some(report)
                    if unconfirmed.is_some_and(|sent_count| report.orders > sent_count)
                        && report.is_fulfilled(order) =>
                {
                    *count = KnownCount::Confirmed(report.orders);
                    return match order.kind {
                        OrderKind::Load => OrderOutcome::Taken,
                        OrderKind::Unload => OrderOutcome::Held,
                    };
                }
                Some(report) => report.orders,
                None => continue,
            },
        };
        let permits = PermitClient {
            handle,
            order,
            number,
        };
        let (end, copies) = attempt_copies(permits, expected, dialect).await;
        let outcome = match end {
            // The refusal may follow from an earlier copy, which was executed.
            AttemptEnd::Answered(OrderOutcome::Busy) if copies > 1 => OrderOutcome::Unknown,
            AttemptEnd::NotSent if copies > 1 => OrderOutcome::Unknown,
            AttemptEnd::Answered(outcome) => outcome,
            AttemptEnd::NoReply => OrderOutcome::Unknown,
            AttemptEnd::NotSent if unconfirmed.is_some() => return OrderOutcome::Unknown,
            // An order that was certainly not sent may be issued again at once, by any leader.
            AttemptEnd::NotSent => return OrderOutcome::Busy,
        };
        match outcome {
            OrderOutcome::Taken => {
                *count = KnownCount::Confirmed(expected + 1);
                return outcome;
            }
            OrderOutcome::Held if unloads_adapter(order) => {
                *count = KnownCount::Assumed(expected + 1);
                return outcome;
            }
            OrderOutcome::Unknown => {
                unconfirmed = Some(expected);
                *count = KnownCount::Unknown;
            }
            // This says nothing of the earlier attempt, which may still be executed.
            OrderOutcome::Busy if unconfirmed.is_some() => {
                *count = KnownCount::Unknown;
                return OrderOutcome::Unknown;
            }
            OrderOutcome::Busy => {
                refused_counts.push(expected);
                let next = next_count(*count, &refused_counts, order, dialect).await;
                *count = KnownCount::Unknown;
                match next {
                    Ok(next) if number < MAX_ATTEMPTS => *count = KnownCount::Confirmed(next),
                    Ok(_) => return OrderOutcome::CountMismatch,
                    Err(outcome) => return outcome,
                }
                // The engine has executed nothing: the next attempt needs no newer report.
                continue;
            }
            // The leader decides on its current state whether to issue the order again.
            OrderOutcome::CountMismatch
            | OrderOutcome::Held
            | OrderOutcome::Fenced
            | OrderOutcome::Refused => {
                *count = KnownCount::Unknown;
                return outcome;
            }
        }
        tokio::time::sleep(REPORT_DELAY).await;
    }
    OrderOutcome::Unknown
}

fn unloads_adapter(order: &ReplicaOrder) -> bool {
    order.kind == OrderKind::Unload && order.adapter.is_some()
}

/// Returns the count to expect after an engine refused an order as busy, or the outcome if there is
/// none to try. `refused_counts` are those that the order has expected so far. Only an assumed count
/// is corrected here: if another one is refused, orders of an earlier leader were executed, and the
/// leader decides on its current state.
async fn next_count(
    count: KnownCount,
    refused_counts: &[u64],
    order: &ReplicaOrder,
    dialect: &EngineDialect,
) -> Result<u64, OrderOutcome> {
    // The unload before found nothing to unload, and was not counted.
    if let KnownCount::Assumed(assumed) = count {
        return Ok(assumed - 1);
    }
    match query_report(order, dialect).await {
        None => Err(OrderOutcome::Busy),
        Some(report) if report.busy => Err(OrderOutcome::Busy),
        Some(report) if refused_counts.len() > 1 && !refused_counts.contains(&report.orders) => {
            Ok(report.orders)
        }
        Some(_) => Err(OrderOutcome::CountMismatch),
    }
}

/// End of one attempt of an order.
enum AttemptEnd {
    /// The engine responded.
    Answered(OrderOutcome),
    /// No response: the order may be executed or not.
    NoReply,
    /// Not sent: the leader may no longer send orders.
    NotSent,
}

/// Sends an order, and further copies while the engine is silent. Returns the first response, and the
/// number of copies sent until then.
async fn attempt_copies(
    permits: PermitClient<'_>,
    expected: u64,
    dialect: &EngineDialect,
) -> (AttemptEnd, u32) {
    let mut copies = FuturesUnordered::new();
    let mut sent = 0;
    loop {
        copies.push(attempt_once(permits, expected, dialect));
        sent += 1;
        let silence = match sent < MAX_COPIES {
            true => COPY_DELAY,
            false => CALL_TIMEOUT,
        };
        match tokio::time::timeout(silence, first_end(&mut copies)).await {
            Ok(end) => return (end, sent),
            Err(_) if sent == MAX_COPIES => return (AttemptEnd::NoReply, sent),
            Err(_) => {}
        }
    }
}

/// Waits for the first response to one of the copies, or until all have ended without one.
async fn first_end(copies: &mut FuturesUnordered<impl Future<Output = AttemptEnd>>) -> AttemptEnd {
    let mut last = AttemptEnd::NoReply;
    while let Some(end) = copies.next().await {
        match end {
            AttemptEnd::Answered(_) => return end,
            // An earlier copy may have been sent.
            AttemptEnd::NotSent | AttemptEnd::NoReply => last = end,
        }
    }
    last
}

async fn attempt_once(
    permits: PermitClient<'_>,
    expected: u64,
    dialect: &EngineDialect,
) -> AttemptEnd {
    let PermitClient { order, number, .. } = permits;
    let call = (dialect.order)(order, expected);
    match exchange(order.address, &call, Some(permits)).await {
        Ok((status, _)) => AttemptEnd::Answered((dialect.outcome)(status)),
        Err(CallError::NotLeader) => {
            tracing::info!(
                order = %order.id(), number, replica = %order.replica, term = %order.fence,
                "an order was not sent: its leader may no longer send orders"
            );
            AttemptEnd::NotSent
        }
        Err(CallError::LeaseExpired) => {
            tracing::warn!(
                order = %order.id(), number, replica = %order.replica, term = %order.fence,
                "an order was reset: the lease of its leader expired"
            );
            AttemptEnd::NoReply
        }
        Err(error) => {
            tracing::warn!(
                %error, order = %order.id(), number, replica = %order.replica,
                "an order got no answer"
            );
            AttemptEnd::NoReply
        }
    }
}

async fn query_report(order: &ReplicaOrder, dialect: &EngineDialect) -> Option<EngineReport> {
    let call = (dialect.report)(&order.replica);
    match exchange(order.address, &call, None).await {
        Ok((200, body)) => (dialect.read_report)(&body),
        _ => None,
    }
}

/// Reason why a call has no response.
#[derive(Debug, Snafu)]
enum CallError {
    /// The connection failed, or the call timed out.
    #[snafu(display("{source}"), context(false))]
    Exchange {
        /// The cause, with the address of the engine.
        source: ExchangeError,
    },
    /// Nothing was sent: the leader may no longer send orders.
    #[snafu(display("the leader may no longer send orders"))]
    NotLeader,
    /// The connection was reset, perhaps after the order was sent: the permit expired without
    /// renewal.
    #[snafu(display("the leader's lease expired before a response arrived"))]
    LeaseExpired,
}

/// Requests and renews the send permit for one attempt of an order.
#[derive(Clone, Copy)]
struct PermitClient<'a> {
    handle: &'a ControlHandle,
    order: &'a ReplicaOrder,
    /// Number of the attempt, from 1.
    number: u32,
}

impl PermitClient<'_> {
    /// Requests a permit; returns `None` if the leader may no longer send orders.
    async fn request(self) -> Option<SendPermit> {
        let term = self.order.fence;
        let may = self
            .handle
            .request(|answer| ControlEvent::OrderPermit(term, answer));
        may.await.ok()
    }

    /// Returns once the permit has expired. Renews it well before, as the voter may be blocked
    /// by its disk for longer than the permit lasts.
    async fn expired(self, mut permit: SendPermit) {
        while let Some(left) = remaining(permit) {
            tokio::time::sleep(RENEW_INTERVAL.min(left)).await;
            let left = remaining(permit).unwrap_or_default();
            match tokio::time::timeout(left, self.request()).await {
                Ok(Some(renewed)) => permit = renewed,
                // No other leader decides before the permit ends, even if this one is deposed.
                Ok(None) => tokio::time::sleep(left).await,
                Err(_) => return,
            }
        }
    }

    fn log_sent(self, left: Duration) {
        let lease_left_ms = left.as_millis() as u64;
        tracing::info!(
            order = %self.order.id(), number = self.number, replica = %self.order.replica,
            lease_left_ms, "order sent"
        );
    }
}

/// Returns the time until a permit expires; `None` once it has.
fn remaining(permit: SendPermit) -> Option<Duration> {
    let left_ms = permit.until_ms.checked_sub(clock::monotonic_ms());
    let left_ms = left_ms.filter(|left_ms| *left_ms > 0);
    left_ms.map(Duration::from_millis)
}

/// Makes one call on a new connection; an order is sent only under a permit.
async fn exchange(
    address: SocketAddr,
    call: &EngineCall,
    permits: Option<PermitClient<'_>>,
) -> Result<(u16, Vec<u8>), CallError> {
    let late = |_| ExchangeError::Closed { peer: address };
    let called =
        tokio::time::timeout(CALL_TIMEOUT, exchange_unbounded(address, call, permits)).await;
    called.map_err(late)?
}

async fn exchange_unbounded(
    address: SocketAddr,
    call: &EngineCall,
    permits: Option<PermitClient<'_>>,
) -> Result<(u16, Vec<u8>), CallError> {
    let connection = Connection::open(address, CONNECT_TIMEOUT).await?;
    let text = request_text(address, call);
    let Some(permits) = permits else {
        return send_request(connection, call.method, &text).await;
    };
    let permit = permits.request().await.ok_or(CallError::NotLeader)?;
    let left = remaining(permit).ok_or(CallError::LeaseExpired)?;
    connection.limit_send_time(left)?;
    permits.log_sent(left);
    tokio::select! {
        // The expiry is checked right before the first write, and again before anything else
        // after this process was suspended. Dropping the call resets its connection.
        biased;
        () = permits.expired(permit) => Err(CallError::LeaseExpired),
        answered = send_request(connection, call.method, &text) => answered,
    }
}

fn request_text(address: SocketAddr, call: &EngineCall) -> String {
    let mut text = format!("{} {} HTTP/1.1\r\n", call.method, call.path);
    head::push_header(&mut text, "Host", &address.to_string());
    head::push_header(&mut text, "Connection", "close");
    for (name, value) in &call.headers {
        head::push_header(&mut text, name, value);
    }
    if !call.body.is_empty() {
        head::push_header(&mut text, "Content-Type", "application/json");
        head::push_header(&mut text, "Content-Length", &call.body.len().to_string());
    }
    text.push_str("\r\n");
    text.push_str(&call.body);
    text
}

async fn send_request(
    connection: Connection,
    method: &str,
    text: &str,
) -> Result<(u16, Vec<u8>), CallError> {
    let outgoing = OutgoingRequest {
        bytes: text.as_bytes(),
        body: &[],
        method,
        identity: None,
        on_head: &|_| {},
        progress: &SendProgress::default(),
    };
    let (mut exchange, head) = Exchange::send(connection, &outgoing).await?;
    let mut body = Vec::new();
    while let Some(bytes) = exchange.next().await? {
        body.extend_from_slice(&bytes);
        if body.len() > MAX_BODY_BYTES {
            break;
        }
    }
    exchange.close();
    Ok((head.status, body))
}
