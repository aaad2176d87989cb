//! Orders are in transit only while their leader holds its lease.

use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};

use dunlinspring::clock;
use dunlinspring::control::event::{ControlEvent, ControlHandle, SendPermit};
use dunlinspring::control::order_dispatcher::{self, EngineCall, EngineDialect, EngineReport};
use dunlinspring::ids::{HostName, ModelName, ReplicaId, Term};
use dunlinspring::placement::order::{OrderKind, OrderOutcome, ReplicaOrder};
use dunlinspring::process::wire::ControlRefusal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

fn dialect() -> EngineDialect {
    EngineDialect {
        order: |_, _| EngineCall {
            method: "POST",
            path: "/order",
            headers: Vec::new(),
            body: "{}".to_owned(),
        },
        report: |_| EngineCall {
            method: "GET",
            path: "/report",
            headers: Vec::new(),
            body: String::new(),
        },
        read_report: |_| Some(EngineReport::default()),
        outcome: |status| match status {
            202 => OrderOutcome::Taken,
            _ => OrderOutcome::Refused,
        },
    }
}

/// Time for which a slow disk blocks the voter.
const DISK_STALL: Duration = Duration::from_secs(5);
/// Length of a lease of the stand-in voter, in milliseconds.
const LEASE_MS: u64 = 200;

fn lease() -> Result<SendPermit, ControlRefusal> {
    Ok(SendPermit {
        until_ms: clock::monotonic_ms() + LEASE_MS,
    })
}

fn deposed() -> Result<SendPermit, ControlRefusal> {
    Err(ControlRefusal::NotLeader(None))
}

/// Starts a stand-in for the voter's thread. It replies to each permit request by the number of
/// earlier requests, forwards the outcome of the order, and then ends.
fn start_voter(
    permit: impl Fn(u32) -> Result<SendPermit, ControlRefusal> + Send + 'static,
) -> (ControlHandle, UnboundedReceiver<OrderOutcome>) {
    let (events, inbox) = mpsc::channel();
    let (ended, end) = unbounded_channel();
    std::thread::spawn(move || {
        let mut requests = 0;
        for event in inbox {
            match event {
                ControlEvent::OrderPermit(Term(7), reply) => {
                    // A requester that timed out has dropped its end.
                    let _ = reply.send(permit(requests));
                    requests += 1;
                }
                ControlEvent::OrderDone(_, outcome) => {
                    ended.send(outcome).unwrap();
                    return;
                }
                _ => panic!("unexpected event"),
            }
        }
    });
    (ControlHandle(events), end)
}

/// Returns an order of term 7 to one incarnation of an engine.
fn order_of(started_ms: u64, address: SocketAddr) -> ReplicaOrder {
    ReplicaOrder {
        number: 1,
        replica: ReplicaId::from("r"),
        started_ms,
        address,
        holder: HostName::from("c1"),
        fence: Term(7),
        kind: OrderKind::Load,
        model: ModelName::from("m"),
        adapter: None,
    }
}

/// Dispatches one order of term 7 to `address`.
fn start_order(handle: ControlHandle, address: SocketAddr, dialect: EngineDialect) {
    let (orders, ordered) = unbounded_channel();
    ntex::rt::spawn(order_dispatcher::run(ordered, handle, dialect));
    let order = order_of(1, address);
    orders.send(order).unwrap();
}

/// Reads a request and returns its request line.
async fn read_line(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = vec![0; 4096];
    let read = stream.read(&mut bytes).await.unwrap();
    let text = String::from_utf8_lossy(&bytes[..read]).into_owned();
    text.lines().next().map(str::to_owned)
}

async fn reply(stream: &mut TcpStream, line: &str) {
    let status = if line.starts_with("POST") { 202 } else { 200 };
    let text = format!("HTTP/1.1 {status} Any\r\nContent-Length: 0\r\n\r\n");
    stream.write_all(text.as_bytes()).await.unwrap();
}

/// Sends one order of a leader that still holds its lease or was deposed. Returns the request
/// lines that the engine received, and the outcome.
async fn send_order(decides: bool) -> (Vec<String>, OrderOutcome) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (handle, mut end) = start_voter(move |_| if decides { lease() } else { deposed() });
    start_order(handle, listener.local_addr().unwrap(), dialect());
    let mut lines = Vec::new();
    let outcome = loop {
        tokio::select! {
            outcome = end.recv() => break outcome.unwrap(),
            accepted = listener.accept() => {
                let (mut stream, _) = accepted.unwrap();
                let Some(line) = read_line(&mut stream).await else {
                    continue;
                };
                reply(&mut stream, &line).await;
                lines.push(line);
            }
        }
    };
    (lines, outcome)
}

/// A leader that was frozen for 5 s sent an order after it woke, between two orders of its
/// successor.
#[ntex::test]
async fn an_order_is_sent_only_while_its_leader_holds_the_lease() {
    let (lines, outcome) = send_order(true).await;
    assert_eq!(lines, ["GET /report HTTP/1.1", "POST /order HTTP/1.1"]);
    assert_eq!(outcome, OrderOutcome::Taken);
    let (lines, outcome) = send_order(false).await;
    assert_eq!(lines, ["GET /report HTTP/1.1"]);
    // `Busy`: it was certainly never sent, so the next leader need not wait for its effect.
    assert_eq!(outcome, OrderOutcome::Busy);
}

/// Sends an order that gets no reply, and acts as a network link that delays its bytes. The
/// voter replies with `permit`, which receives whether the order is in transit. Returns what
/// the link sees next from the sender, and after how long.
async fn hold_order(
    permit: impl Fn(bool) -> Result<SendPermit, ControlRefusal> + Send + 'static,
) -> (std::io::Result<usize>, Duration) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let in_transit = Arc::new(AtomicBool::new(false));
    let sent = in_transit.clone();
    let (handle, _end) = start_voter(move |_| permit(sent.load(Ordering::SeqCst)));
    start_order(handle, listener.local_addr().unwrap(), dialect());
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let Some(line) = read_line(&mut stream).await else {
            continue;
        };
        if line.starts_with("POST") {
            in_transit.store(true, Ordering::SeqCst);
            let started = Instant::now();
            let seen = stream.read(&mut [0; 16]).await;
            return (seen, started.elapsed());
        }
        reply(&mut stream, &line).await;
    }
}

/// The failure: two hosts sent orders to one target that does not check fences. The lease was
/// checked only before an order was sent. A link delayed its bytes, the lease ended, and the
/// leader waited for the reply longer than its successor waits before its first order. Then it
/// closed the connection with a FIN, so its kernel went on to retransmit the bytes, and they
/// arrived among the orders of the successor. A reset drops them.
#[ntex::test]
async fn an_order_in_transit_is_reset_when_the_lease_ends() {
    let (seen, _) = hold_order(|in_transit| if in_transit { deposed() } else { lease() }).await;
    let kind = seen.map_err(|error| error.kind());
    assert_eq!(kind, Err(ErrorKind::ConnectionReset));
}

/// The call times out before the lease ends. The order may be sent again, so nothing of this
/// attempt may still arrive.
#[ntex::test]
async fn an_order_that_times_out_leaves_nothing_in_transit() {
    let (seen, _) = hold_order(|_| lease()).await;
    let kind = seen.map_err(|error| error.kind());
    assert_eq!(kind, Err(ErrorKind::ConnectionReset));
}

/// A leader whose lease is renewed goes on waiting for a slow reply.
#[ntex::test]
async fn an_order_outlives_a_lease_that_is_renewed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (renewed, mut renewal) = unbounded_channel();
    let (handle, mut end) = start_voter(move |requests| {
        renewed.send(requests).unwrap();
        lease()
    });
    start_order(handle, listener.local_addr().unwrap(), dialect());
    let outcome = loop {
        tokio::select! {
            outcome = end.recv() => break outcome.unwrap(),
            accepted = listener.accept() => {
                let (mut stream, _) = accepted.unwrap();
                let Some(line) = read_line(&mut stream).await else {
                    continue;
                };
                if line.starts_with("POST") {
                    // The second request comes at the end of the first lease.
                    while renewal.recv().await.is_some_and(|requests| requests == 0) {}
                }
                reply(&mut stream, &line).await;
            }
        }
    };
    assert_eq!(outcome, OrderOutcome::Taken);
}

/// A slow disk blocks the voter when the permit of an order ends. If the order waited for the
/// reply to its renewal request, it would stay in transit without a permit.
#[ntex::test]
async fn an_order_ends_with_its_permit_while_the_voter_is_blocked() {
    let (seen, elapsed_time) = hold_order(|in_transit| {
        if in_transit {
            std::thread::sleep(DISK_STALL);
        }
        lease()
    })
    .await;
    let kind = seen.map_err(|error| error.kind());
    assert_eq!(kind, Err(ErrorKind::ConnectionReset));
    let elapsed_ms = elapsed_time.as_millis() as u64;
    assert!(
        elapsed_ms < LEASE_MS * 3,
        "the link sees the end of a permit of {LEASE_MS} ms after {elapsed_ms} ms"
    );
}

/// How the engine replies to one order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EngineReply {
    Status(u16),
    /// Closes the connection; the order may be carried out later.
    NoReply,
}

/// Dialect that sends the expected count in a header and reads reports of a count and models.
fn counting() -> EngineDialect {
    EngineDialect {
        order: |_, expected| EngineCall {
            method: "POST",
            path: "/order",
            headers: vec![("Expected", expected.to_string())],
            body: "{}".to_owned(),
        },
        read_report: |body| {
            let mut words = std::str::from_utf8(body).ok()?.split_whitespace();
            let orders = words.next()?.parse().ok()?;
            let models = words.map(|name| (ModelName::from(name), BTreeSet::new()));
            Some(EngineReport {
                orders,
                models: models.collect(),
                ..EngineReport::default()
            })
        },
        outcome: |status| match status {
            200 => OrderOutcome::Held,
            202 => OrderOutcome::Taken,
            409 => OrderOutcome::Busy,
            _ => OrderOutcome::Refused,
        },
        ..dialect()
    }
}

/// Reads a call in the [`counting`] dialect. Returns the expected count if it is an order.
async fn read_attempt(stream: &mut TcpStream) -> Option<u64> {
    let mut bytes = vec![0; 4096];
    let read = stream.read(&mut bytes).await.unwrap();
    let text = String::from_utf8_lossy(&bytes[..read]).into_owned();
    let expected = text
        .lines()
        .find_map(|line| line.strip_prefix("Expected: "));
    expected.map(|count| count.parse().unwrap())
}

async fn reply_with(stream: &mut TcpStream, status: u16, report: &str) {
    let length = report.len();
    let reply = format!("HTTP/1.1 {status} Any\r\nContent-Length: {length}\r\n\r\n{report}");
    stream.write_all(reply.as_bytes()).await.unwrap();
}

/// Sends one order to an engine that replies to each attempt in turn and then reports a count
/// of orders. Returns the counts that the attempts expected, and the outcome.
async fn send_attempts(replies: &[(EngineReply, &'static str)]) -> (Vec<u64>, OrderOutcome) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (handle, mut end) = start_voter(|_| lease());
    start_order(handle, address, counting());
    let mut report = "4";
    let mut replies = replies.iter();
    let mut expected = Vec::new();
    let outcome = loop {
        tokio::select! {
            outcome = end.recv() => break outcome.unwrap(),
            accepted = listener.accept() => {
                let (mut stream, _) = accepted.unwrap();
                let attempted = read_attempt(&mut stream).await;
                let status = match attempted {
                    Some(attempted) => {
                        expected.push(attempted);
                        let (reply, next_report) = replies.next().expect("a reply for each attempt");
                        report = *next_report;
                        match reply {
                            EngineReply::Status(status) => *status,
                            EngineReply::NoReply => continue,
                        }
                    }
                    None => 200,
                };
                reply_with(&mut stream, status, report).await;
            }
        }
    };
    (expected, outcome)
}

/// With frozen leaders and late replies, an order of the previous leader raised the count, and
/// the next leader took its own order for accepted.
#[ntex::test]
async fn a_raised_count_does_not_show_whose_order_was_taken() {
    let replies = [(EngineReply::NoReply, "5"), (EngineReply::Status(202), "6")];
    let (expected, outcome) = send_attempts(&replies).await;
    assert_eq!(expected, [4, 5]);
    assert_eq!(outcome, OrderOutcome::Taken);
}

/// Once the count has passed that of the attempt and the report shows its effect, the order is
/// not sent again.
#[ntex::test]
async fn an_attempt_without_a_reply_was_taken_if_its_effect_is_reported() {
    let (expected, outcome) = send_attempts(&[(EngineReply::NoReply, "5 m")]).await;
    assert_eq!(expected, [4]);
    assert_eq!(outcome, OrderOutcome::Taken);
}

/// A refusal of the second attempt says nothing about the first, which may still be carried
/// out.
#[ntex::test]
async fn an_attempt_without_a_reply_may_still_act_when_the_next_finds_the_engine_busy() {
    let replies = [(EngineReply::NoReply, "4"), (EngineReply::Status(409), "4")];
    let (expected, outcome) = send_attempts(&replies).await;
    assert_eq!(expected, [4, 4]);
    assert_eq!(outcome, OrderOutcome::Unknown);
}

/// An engine that restarts under its id counts orders from 0, so the earlier count is not
/// expected.
#[ntex::test]
async fn the_count_of_an_incarnation_is_not_expected_of_the_next() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (events, inbox) = mpsc::channel();
    let (sent_outcomes, mut outcomes) = unbounded_channel();
    std::thread::spawn(move || {
        for event in inbox {
            match event {
                ControlEvent::OrderPermit(_, reply) => drop(reply.send(lease())),
                ControlEvent::OrderDone(order, outcome) => {
                    sent_outcomes.send((order.started_ms, outcome)).unwrap()
                }
                _ => panic!("unexpected event"),
            }
        }
    });
    let (orders, ordered) = unbounded_channel();
    ntex::rt::spawn(order_dispatcher::run(
        ordered,
        ControlHandle(events),
        counting(),
    ));
    let mut seen = Vec::new();
    for (started_ms, report) in [(1, "4"), (2, "0")] {
        orders.send(order_of(started_ms, address)).unwrap();
        let outcome = loop {
            tokio::select! {
                outcome = outcomes.recv() => break outcome.unwrap(),
                accepted = listener.accept() => {
                    let (mut stream, _) = accepted.unwrap();
                    let attempted = read_attempt(&mut stream).await;
                    seen.extend(attempted);
                    let status = if attempted.is_some() { 202 } else { 200 };
                    reply_with(&mut stream, status, report).await;
                }
            }
        };
        assert_eq!(outcome, (started_ms, OrderOutcome::Taken));
    }
    assert_eq!(seen, [4, 0]);
}

/// Engine that counts orders as the platform does: an adapter that no request uses is unloaded
/// immediately, which is answered with 200 and counted, while a 200 for an effect that already
/// holds is not counted.
#[derive(Default)]
struct CountingEngine {
    orders: u64,
    adapters: BTreeSet<String>,
    /// Count in its reports, if they are older than its state.
    reported: Option<u64>,
    /// Another order is being executed.
    busy: bool,
    /// Number of orders to receive without a reply, and without executing them.
    lost: u32,
}

impl CountingEngine {
    /// Executes an order or returns the report; no status if there is no reply.
    fn handle(&mut self, call: &EngineCallText) -> (Option<u16>, String) {
        let Some(expected) = call.expected else {
            let orders = self.reported.unwrap_or(self.orders);
            let busy = if self.busy { " busy" } else { "" };
            return (Some(200), format!("{orders}{busy}"));
        };
        if self.lost > 0 {
            self.lost -= 1;
            return (None, String::new());
        }
        let held = self.adapters.contains(&call.adapter);
        let status = match call.kind.as_str() {
            _ if self.busy || expected != self.orders => 409,
            "Load" if held => 200,
            "Unload" if !held => 200,
            "Load" => {
                self.orders += 1;
                self.adapters.insert(call.adapter.clone());
                202
            }
            _ => {
                self.orders += 1;
                self.adapters.remove(&call.adapter);
                200
            }
        };
        (Some(status), String::new())
    }
}

/// A call in the [`adapter_dialect`].
struct EngineCallText {
    /// Expected count; `None` for a request for the report.
    expected: Option<u64>,
    kind: String,
    adapter: String,
}

/// Dialect for orders on adapters; reports consist of a count, and `busy` if an order is being
/// executed.
fn adapter_dialect() -> EngineDialect {
    EngineDialect {
        order: |order, expected| EngineCall {
            method: "POST",
            path: "/order",
            headers: vec![
                ("Expected", expected.to_string()),
                ("Kind", format!("{:?}", order.kind)),
                ("Adapter", order.adapter.clone().unwrap()),
            ],
            body: "{}".to_owned(),
        },
        read_report: |body| {
            let text = std::str::from_utf8(body).ok()?;
            let orders = text.split_whitespace().next()?.parse().ok()?;
            Some(EngineReport {
                orders,
                busy: text.ends_with("busy"),
                ..EngineReport::default()
            })
        },
        ..counting()
    }
}

async fn read_call(stream: &mut TcpStream) -> EngineCallText {
    let mut bytes = vec![0; 4096];
    let read = stream.read(&mut bytes).await.unwrap();
    let text = String::from_utf8_lossy(&bytes[..read]).into_owned();
    let header = |name: &str| {
        let value = text.lines().find_map(|line| line.strip_prefix(name));
        value.map(str::to_owned)
    };
    EngineCallText {
        expected: header("Expected: ").map(|count| count.parse().unwrap()),
        kind: header("Kind: ").unwrap_or_default(),
        adapter: header("Adapter: ").unwrap_or_default(),
    }
}

/// Dispatches one order after the other, each once the one before has its outcome, and lets `change`
/// alter the engine before each. Returns the counts that the attempts of each order expected, and
/// the outcomes.
async fn dispatch(
    engine: &mut CountingEngine,
    orders: &[(OrderKind, &str)],
    mut change: impl FnMut(usize, &mut CountingEngine),
) -> Vec<(Vec<u64>, OrderOutcome)> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (events, inbox) = mpsc::channel();
    let (sent_outcomes, mut outcomes) = unbounded_channel();
    std::thread::spawn(move || {
        for event in inbox {
            match event {
                ControlEvent::OrderPermit(_, reply) => drop(reply.send(lease())),
                ControlEvent::OrderDone(_, outcome) => sent_outcomes.send(outcome).unwrap(),
                _ => panic!("unexpected event"),
            }
        }
    });
    let (dispatcher, ordered) = unbounded_channel();
    let handle = ControlHandle(events);
    ntex::rt::spawn(order_dispatcher::run(ordered, handle, adapter_dialect()));
    let mut seen = Vec::new();
    for (number, (kind, adapter)) in orders.iter().enumerate() {
        change(number, engine);
        let order = ReplicaOrder {
            kind: *kind,
            adapter: Some((*adapter).to_owned()),
            ..order_of(1, address)
        };
        dispatcher.send(order).unwrap();
        let mut expected = Vec::new();
        let outcome = loop {
            tokio::select! {
                outcome = outcomes.recv() => break outcome.unwrap(),
                accepted = listener.accept() => {
                    let (mut stream, _) = accepted.unwrap();
                    let call = read_call(&mut stream).await;
                    expected.extend(call.expected);
                    if let (Some(status), text) = engine.handle(&call) {
                        reply_with(&mut stream, status, &text).await;
                    }
                }
            }
        };
        seen.push((expected, outcome));
    }
    seen
}

/// Returns an engine that has taken 4 orders and holds these adapters. Its reports stay those of
/// its start.
fn engine_with_old_reports(adapters: &[&str]) -> CountingEngine {
    CountingEngine {
        orders: 4,
        reported: Some(4),
        adapters: adapters.iter().map(|name| (*name).to_owned()).collect(),
        ..CountingEngine::default()
    }
}

/// After an unload that was answered with 200, the next orders were refused with 409 for some
/// 200 ms: the count was read from a report that was older than the unload.
#[ntex::test]
async fn an_unload_that_took_effect_at_once_counts_as_an_order() {
    let mut engine = engine_with_old_reports(&["x", "y"]);
    let orders = [
        (OrderKind::Unload, "x"),
        (OrderKind::Unload, "y"),
        (OrderKind::Load, "z"),
        // Not there: the engine does not count this one.
        (OrderKind::Unload, "x"),
        (OrderKind::Load, "x"),
        (OrderKind::Load, "y"),
    ];
    let seen = dispatch(&mut engine, &orders, |_, _| {}).await;
    let expected = [
        (vec![4], OrderOutcome::Held),
        (vec![5], OrderOutcome::Held),
        (vec![6], OrderOutcome::Taken),
        (vec![7], OrderOutcome::Held),
        (vec![8, 7], OrderOutcome::Taken),
        (vec![8], OrderOutcome::Taken),
    ];
    assert_eq!(seen, expected);
    assert_eq!(engine.orders, 9);
}

/// Guards against orders that are refused for good after an assumption that was wrong twice: an
/// order of an earlier leader was executed after the unload.
#[ntex::test]
async fn the_count_is_read_again_when_neither_assumption_holds() {
    let mut engine = engine_with_old_reports(&["x"]);
    let orders = [(OrderKind::Unload, "x"), (OrderKind::Load, "y")];
    let seen = dispatch(&mut engine, &orders, |number, engine| {
        if number == 1 {
            engine.orders = 9;
            engine.reported = Some(9);
        }
    })
    .await;
    assert_eq!(seen[1], (vec![5, 4, 9], OrderOutcome::Taken));
}

/// An order with an assumed count that gets no reply is treated as any other: it may be executed
/// later, so a refusal of its repetition does not show that it was not.
#[ntex::test]
async fn an_order_with_an_assumed_count_may_be_executed_late() {
    let orders = [(OrderKind::Unload, "x"), (OrderKind::Load, "y")];
    let lose_one = |reported| {
        move |number, engine: &mut CountingEngine| {
            if number == 1 {
                engine.lost = 1;
                engine.reported = Some(reported);
            }
        }
    };
    let mut engine = engine_with_old_reports(&["x"]);
    let seen = dispatch(&mut engine, &orders, lose_one(5)).await;
    assert_eq!(seen[1], (vec![5, 5], OrderOutcome::Taken));
    // The report that is read after the lost attempt is older than the unload.
    let mut engine = engine_with_old_reports(&["x"]);
    let seen = dispatch(&mut engine, &orders, lose_one(4)).await;
    assert_eq!(seen[1], (vec![5, 4], OrderOutcome::Unknown));
}

/// A replica that refused an order for its count, and at which nothing else ran, counted as busy
/// and got no load for 500 ms.
#[ntex::test]
async fn a_wrong_count_is_not_reported_as_a_busy_engine() {
    let orders = [(OrderKind::Load, "x")];
    let mut outdated = engine_with_old_reports(&[]);
    outdated.orders = 5;
    let seen = dispatch(&mut outdated, &orders, |_, _| {}).await;
    assert_eq!(seen, [(vec![4], OrderOutcome::CountMismatch)]);
    let mut busy = engine_with_old_reports(&[]);
    busy.busy = true;
    let seen = dispatch(&mut busy, &orders, |_, _| {}).await;
    assert_eq!(seen, [(vec![4], OrderOutcome::Busy)]);
}
