//! Carries the leader's orders to engines, one at a time to each.
//!
//! Every order names the count of orders that the engine must have taken so far.
//! So an order without an answer can be sent again, and takes effect once at
//! most, however late either of them is carried out.
//!
//! Each is on its way only while its leader decides: it leaves by a permit of the voter, and
//! is reset at the permit's end unless that is renewed before. A leader that stood still, was
//! cut off, or whose link holds its bytes, would else have it arrive beside the next one's.
//! Where the process itself stands still, its kernel gives up soon after: see
//! [`Connection::limit_send_time`].

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use snafu::Snafu;
use tokio::sync::{Mutex, mpsc};

use crate::clock;
use crate::control::event::{ControlEvent, ControlHandle, SendPermit};
use crate::forward::head;
use crate::forward::upstream::{Connection, Exchange, ExchangeError, OutgoingRequest};
use crate::ids::{ModelName, ReplicaId, ReplicaLife};
use crate::placement::order::{EngineOrder, OrderKind, OrderOutcome};
use crate::process::daemon;

/// Time for one call to an engine.
const CALL_TIME: Duration = Duration::from_millis(800);
/// Time to connect to an engine.
const CONNECT_TIME: Duration = Duration::from_millis(400);
/// Pause before an engine's report shows what came before.
const REPORT_LAG: Duration = Duration::from_millis(300);
/// Time in which an adapter arrives after its order was taken.
const ADAPTER_TIME: Duration = Duration::from_millis(30);
/// Time between two renewals of the permit of an order that is on its way: several in a
/// lease, which lasts for some 400 ms.
const RENEW_EVERY: Duration = Duration::from_millis(50);
/// Tries of one order.
const MAX_TRIES: u32 = 4;
/// Longest body of an engine's answer, in bytes.
const MAX_BODY: usize = 1024 * 1024;

/// A call to an engine, as its deployment words it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineCall {
    /// The method.
    pub method: &'static str,
    /// The path.
    pub path: &'static str,
    /// Headers besides those of every call.
    pub headers: Vec<(&'static str, String)>,
    /// The body, JSON; empty for none.
    pub body: String,
}

/// What an engine reports of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Orders taken in this life.
    pub orders: u64,
    /// An order is under way.
    pub busy: bool,
    /// The models that are there, each with its adapters, those on their way in as well.
    pub models: BTreeMap<ModelName, BTreeSet<String>>,
}

impl EngineReport {
    /// Whether what an order asks for holds.
    fn shows(&self, order: &EngineOrder) -> bool {
        let held = self.models.get(&order.model);
        let there = match &order.adapter {
            Some(adapter) => held.is_some_and(|adapters| adapters.contains(adapter)),
            None => held.is_some(),
        };
        there == (order.kind == OrderKind::Load)
    }
}

/// How calls to engines are worded.
#[derive(Clone, Copy)]
pub struct EngineDialect {
    /// An order that expects a count of orders.
    pub order: fn(&EngineOrder, u64) -> EngineCall,
    /// The question for a report.
    pub report: fn(&ReplicaId) -> EngineCall,
    /// Reads a report.
    pub read_report: fn(&[u8]) -> Option<EngineReport>,
    /// What a status says of an order.
    pub outcome: fn(u16) -> OrderOutcome,
}

/// The count of orders that an engine has taken, where it is known.
type OrderCount = Rc<Mutex<Option<u64>>>;

/// Sends orders until the channel closes.
pub async fn run(
    mut orders: mpsc::UnboundedReceiver<EngineOrder>,
    handle: ControlHandle,
    dialect: EngineDialect,
) {
    let counts: RefCell<BTreeMap<ReplicaLife, OrderCount>> = RefCell::default();
    while let Some(order) = orders.recv().await {
        let count = count_of(&mut counts.borrow_mut(), order.life());
        let handle = handle.clone();
        daemon::spawn_local(async move {
            let mut count = count.lock().await;
            let outcome = carry_out(&order, &mut count, &handle, &dialect).await;
            tracing::info!(
                order = %order.id(), replica = %order.replica, kind = ?order.kind,
                model = %order.model, adapter = order.adapter, term = %order.fence,
                count = *count, ?outcome, "order"
            );
            drop(count);
            if order.adapter.is_some() && outcome == OrderOutcome::Taken {
                tokio::time::sleep(ADAPTER_TIME).await;
            }
            handle.tell(ControlEvent::Ordered(order, outcome));
        });
    }
}

/// The count of one life: the next one counts from the start, and that of the life before
/// would be taken for it where both have the same id.
fn count_of(counts: &mut BTreeMap<ReplicaLife, OrderCount>, life: ReplicaLife) -> OrderCount {
    counts.retain(|other, _| other.id != life.id || *other == life);
    counts.entry(life).or_default().clone()
}

async fn carry_out(
    order: &EngineOrder,
    count: &mut Option<u64>,
    handle: &ControlHandle,
    dialect: &EngineDialect,
) -> OrderOutcome {
    let mut unanswered: Option<u64> = None;
    for number in 1..=MAX_TRIES {
        let expected = match *count {
            Some(known) => known,
            None => match ask_report(order, dialect).await {
                // A count that has risen doesn't show whose order was taken: a leader before
                // may have sent one that is carried out only now. What is there shows it.
                Some(report)
                    if unanswered.is_some_and(|tried| report.orders > tried)
                        && report.shows(order) =>
                {
                    *count = Some(report.orders);
                    return match order.kind {
                        OrderKind::Load => OrderOutcome::Taken,
                        OrderKind::Unload => OrderOutcome::Held,
                    };
                }
                Some(report) => report.orders,
                None => continue,
            },
        };
        let permission = Permission {
            handle,
            order,
            number,
        };
        let outcome = match try_once(permission, expected, dialect).await {
            TryEnd::Answered(outcome) => outcome,
            TryEnd::NoAnswer => OrderOutcome::Unknown,
            TryEnd::HeldBack if unanswered.is_some() => return OrderOutcome::Unknown,
            // What surely never left may be given again at once, by whoever leads.
            TryEnd::HeldBack => return OrderOutcome::Busy,
        };
        match outcome {
            OrderOutcome::Taken => {
                *count = Some(expected + 1);
                return outcome;
            }
            OrderOutcome::Unknown => {
                unanswered = Some(expected);
                *count = None;
            }
            // It says nothing of the try before, which may still be carried out.
            OrderOutcome::Busy if unanswered.is_some() => {
                *count = None;
                return OrderOutcome::Unknown;
            }
            // The count is another, or an order is under way: the leader decides
            // when to try again, by what it knows then.
            OrderOutcome::Busy
            | OrderOutcome::Held
            | OrderOutcome::Fenced
            | OrderOutcome::Refused => {
                *count = None;
                return outcome;
            }
        }
        tokio::time::sleep(REPORT_LAG).await;
    }
    OrderOutcome::Unknown
}

/// What became of one try of an order.
enum TryEnd {
    /// The engine answered.
    Answered(OrderOutcome),
    /// It may be carried out, or not.
    NoAnswer,
    /// It never left: its leader decides no more.
    HeldBack,
}

async fn try_once(permission: Permission<'_>, expected: u64, dialect: &EngineDialect) -> TryEnd {
    let Permission { order, number, .. } = permission;
    let call = (dialect.order)(order, expected);
    match exchange(order.address, &call, Some(permission)).await {
        Ok((status, _)) => TryEnd::Answered((dialect.outcome)(status)),
        Err(CallError::Deposed) => {
            tracing::info!(
                order = %order.id(), number, replica = %order.replica, term = %order.fence,
                "an order was held back: its leader decides no more"
            );
            TryEnd::HeldBack
        }
        Err(CallError::CutOff) => {
            tracing::warn!(
                order = %order.id(), number, replica = %order.replica, term = %order.fence,
                "an order was cut off: its leader's lease ended"
            );
            TryEnd::NoAnswer
        }
        Err(error) => {
            tracing::warn!(
                %error, order = %order.id(), number, replica = %order.replica,
                "an order got no answer"
            );
            TryEnd::NoAnswer
        }
    }
}

async fn ask_report(order: &EngineOrder, dialect: &EngineDialect) -> Option<EngineReport> {
    let call = (dialect.report)(&order.replica);
    match exchange(order.address, &call, None).await {
        Ok((200, body)) => (dialect.read_report)(&body),
        _ => None,
    }
}

/// Why a call brought no answer.
#[derive(Debug, Snafu)]
enum CallError {
    /// The connection failed, or the time was over.
    #[snafu(display("{source}"), context(false))]
    Exchange {
        /// Why, and the peer.
        source: ExchangeError,
    },
    /// Nothing was sent: the leader decides no more.
    #[snafu(display("the leader decides no more"))]
    Deposed,
    /// It was reset, perhaps after it was sent: nobody renewed the permit.
    #[snafu(display("the leader's lease ended before an answer came"))]
    CutOff,
}

/// Who is asked whether an order may leave.
#[derive(Clone, Copy)]
struct Permission<'a> {
    handle: &'a ControlHandle,
    order: &'a EngineOrder,
    /// Which try of the order it is, from 1.
    number: u32,
}

impl Permission<'_> {
    /// Leave to send; none where the leader decides no more.
    async fn ask(self) -> Option<SendPermit> {
        let term = self.order.fence;
        let may = self
            .handle
            .ask(|answer| ControlEvent::MayOrder(term, answer));
        may.await.ok()
    }

    /// Returns once the permit has ended. It is renewed before, as the voter may be held up
    /// by its disk for longer than it lasts.
    async fn ended(self, mut permit: SendPermit) {
        while let Some(left) = rest_of(permit) {
            tokio::time::sleep(RENEW_EVERY.min(left)).await;
            let left = rest_of(permit).unwrap_or_default();
            match tokio::time::timeout(left, self.ask()).await {
                Ok(Some(renewed)) => permit = renewed,
                // Until its end no other leader decides, whatever became of this one.
                Ok(None) => tokio::time::sleep(left).await,
                Err(_) => return,
            }
        }
    }

    fn note_sent(self, left: Duration) {
        let lease_left_ms = left.as_millis() as u64;
        tracing::info!(
            order = %self.order.id(), number = self.number, replica = %self.order.replica,
            lease_left_ms, "order sent"
        );
    }
}

/// How long a permit still lasts; none after its end.
fn rest_of(permit: SendPermit) -> Option<Duration> {
    let left_ms = permit.until_ms.checked_sub(clock::monotonic_ms());
    let left_ms = left_ms.filter(|left_ms| *left_ms > 0);
    left_ms.map(Duration::from_millis)
}

/// One call on a connection of its own; an order leaves only while its leader decides.
async fn exchange(
    address: SocketAddr,
    call: &EngineCall,
    permission: Option<Permission<'_>>,
) -> Result<(u16, Vec<u8>), CallError> {
    let late = |_| ExchangeError::Closed { peer: address };
    let called = tokio::time::timeout(CALL_TIME, exchange_in_time(address, call, permission)).await;
    called.map_err(late)?
}

async fn exchange_in_time(
    address: SocketAddr,
    call: &EngineCall,
    permission: Option<Permission<'_>>,
) -> Result<(u16, Vec<u8>), CallError> {
    let connection = Connection::open(address, CONNECT_TIME).await?;
    let text = call_text(address, call);
    let Some(permission) = permission else {
        return call_on(connection, call.method, &text).await;
    };
    let permit = permission.ask().await.ok_or(CallError::Deposed)?;
    let left = rest_of(permit).ok_or(CallError::CutOff)?;
    connection.limit_send_time(left)?;
    permission.note_sent(left);
    tokio::select! {
        // The clock is looked at right before the first write, and again first of all where
        // this process stood still. Dropping the call resets its connection.
        biased;
        () = permission.ended(permit) => Err(CallError::CutOff),
        answered = call_on(connection, call.method, &text) => answered,
    }
}

fn call_text(address: SocketAddr, call: &EngineCall) -> String {
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

async fn call_on(
    connection: Connection,
    method: &str,
    text: &str,
) -> Result<(u16, Vec<u8>), CallError> {
    let outgoing = OutgoingRequest {
        bytes: text.as_bytes(),
        method,
        identity: None,
        on_head: &|_| {},
    };
    let (mut exchange, head) = Exchange::send(connection, &outgoing).await?;
    let mut body = Vec::new();
    while let Some(bytes) = exchange.next().await? {
        body.extend_from_slice(&bytes);
        if body.len() > MAX_BODY {
            break;
        }
    }
    exchange.close();
    Ok((head.status, body))
}
