//! Orders are on their way only while their leader decides.

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
use dunlinspring::placement::order::{EngineOrder, OrderKind, OrderOutcome};
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

/// How long a disk holds the voter up.
const HELD_UP: Duration = Duration::from_secs(5);
/// How long the lease lasts that the voter's stand-in gives, in milliseconds.
const LEASE_MS: u64 = 200;

fn lease() -> Result<SendPermit, ControlRefusal> {
    Ok(SendPermit {
        until_ms: clock::monotonic_ms() + LEASE_MS,
    })
}

fn deposed() -> Result<SendPermit, ControlRefusal> {
    Err(ControlRefusal::NotLeader(None))
}

/// Stands for the voter's thread: answers whether an order may leave, by how often it was
/// asked before, and tells of the order's outcome, with which it ends.
fn start_voter(
    permit: impl Fn(u32) -> Result<SendPermit, ControlRefusal> + Send + 'static,
) -> (ControlHandle, UnboundedReceiver<OrderOutcome>) {
    let (events, inbox) = mpsc::channel();
    let (ended, end) = unbounded_channel();
    std::thread::spawn(move || {
        let mut asked = 0;
        for event in inbox {
            match event {
                ControlEvent::OrderPermit(Term(7), answer) => {
                    // An asker that gave up has dropped its end.
                    let _ = answer.send(permit(asked));
                    asked += 1;
                }
                ControlEvent::OrderDone(_, outcome) => {
                    ended.send(outcome).unwrap();
                    return;
                }
                _ => panic!("nothing else is asked"),
            }
        }
    });
    (ControlHandle(events), end)
}

/// An order of term 7 to a life of an engine.
fn order_of(started_ms: u64, address: SocketAddr) -> EngineOrder {
    EngineOrder {
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

/// Has one order of term 7 carried to `address`.
fn start_order(handle: ControlHandle, address: SocketAddr, dialect: EngineDialect) {
    let (orders, ordered) = unbounded_channel();
    ntex::rt::spawn(order_dispatcher::run(ordered, handle, dialect));
    let order = order_of(1, address);
    orders.send(order).unwrap();
}

/// Reads the next request of a new connection: its first line.
async fn read_line(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = vec![0; 4096];
    let read = stream.read(&mut bytes).await.unwrap();
    let text = String::from_utf8_lossy(&bytes[..read]).into_owned();
    text.lines().next().map(str::to_owned)
}

async fn answer(stream: &mut TcpStream, line: &str) {
    let status = if line.starts_with("POST") { 202 } else { 200 };
    let text = format!("HTTP/1.1 {status} Any\r\nContent-Length: 0\r\n\r\n");
    stream.write_all(text.as_bytes()).await.unwrap();
}

/// Sends one order of a leader that decides, or does not any more. Returns the first lines
/// that the engine got, and the outcome.
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
                answer(&mut stream, &line).await;
                lines.push(line);
            }
        }
    };
    (lines, outcome)
}

/// Found on a day on which the leader stood still for five seconds: woken, it sent an order
/// between two of its successor's.
#[ntex::test]
async fn an_order_leaves_only_while_its_leader_decides() {
    let (lines, outcome) = send_order(true).await;
    assert_eq!(lines, ["GET /report HTTP/1.1", "POST /order HTTP/1.1"]);
    assert_eq!(outcome, OrderOutcome::Taken);
    let (lines, outcome) = send_order(false).await;
    assert_eq!(lines, ["GET /report HTTP/1.1"]);
    // It surely never left: whoever leads needs not wait for what it may still do.
    assert_eq!(outcome, OrderOutcome::Busy);
}

/// Sends an order whose answer does not come, and plays the link that holds its bytes. The
/// voter answers as `permit` says of whether the order is on its way. Returns what the link
/// sees next of the sender, and after how long.
async fn hold_order(
    permit: impl Fn(bool) -> Result<SendPermit, ControlRefusal> + Send + 'static,
) -> (std::io::Result<usize>, Duration) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let on_its_way = Arc::new(AtomicBool::new(false));
    let sent = on_its_way.clone();
    let (handle, _end) = start_voter(move |_| permit(sent.load(Ordering::SeqCst)));
    start_order(handle, listener.local_addr().unwrap(), dialect());
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let Some(line) = read_line(&mut stream).await else {
            continue;
        };
        if line.starts_with("POST") {
            on_its_way.store(true, Ordering::SeqCst);
            let begun = Instant::now();
            let seen = stream.read(&mut [0; 16]).await;
            return (seen, begun.elapsed());
        }
        answer(&mut stream, &line).await;
    }
}

/// **What users saw:** two hosts ordered one target that does not check fences.
///
/// **Order of events:** a leader was allowed to send an order, and a link held its bytes. Its
/// lease ended; it went on waiting for the answer, for longer than a successor's head start,
/// and then closed the connection in good order: its kernel still had the bytes, and sent
/// them again and again. They arrived when the successor had begun to order.
///
/// **Cause:** the lease was looked at before the bytes left, and nothing tied them to it
/// afterwards.
///
/// **Evidence:** on the code before, the link sees the connection closed in good order, so
/// that what it holds is still delivered; a reset tells it to drop that.
#[ntex::test]
async fn an_order_on_its_way_ends_with_its_leaders_lease() {
    let (seen, _) = hold_order(|on_its_way| if on_its_way { deposed() } else { lease() }).await;
    let kind = seen.map_err(|error| error.kind());
    assert_eq!(kind, Err(ErrorKind::ConnectionReset));
}

/// The time for a call ends before the lease does: the order may be sent again, so that
/// nothing of this try may still arrive.
#[ntex::test]
async fn an_order_that_is_given_up_leaves_nothing_on_its_way() {
    let (seen, _) = hold_order(|_| lease()).await;
    let kind = seen.map_err(|error| error.kind());
    assert_eq!(kind, Err(ErrorKind::ConnectionReset));
}

/// A leader whose lease is confirmed anew waits on for an answer that is slow.
#[ntex::test]
async fn an_order_outlives_a_lease_that_is_confirmed_anew() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (renewed, mut renewal) = unbounded_channel();
    let (handle, mut end) = start_voter(move |asked| {
        renewed.send(asked).unwrap();
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
                    // The second question comes at the end of the first lease.
                    while renewal.recv().await.is_some_and(|asked| asked == 0) {}
                }
                answer(&mut stream, &line).await;
            }
        }
    };
    assert_eq!(outcome, OrderOutcome::Taken);
}

/// **Order of events:** a leader was allowed to send an order, and its voter is held up by
/// a slow disk when the permit ends. Nobody renews the permit; the question for its renewal
/// waits for the disk, and the order stays on its way meanwhile.
#[ntex::test]
async fn an_order_ends_with_its_permit_also_while_the_voter_is_held_up() {
    let (seen, span) = hold_order(|on_its_way| {
        if on_its_way {
            std::thread::sleep(HELD_UP);
        }
        lease()
    })
    .await;
    let kind = seen.map_err(|error| error.kind());
    assert_eq!(kind, Err(ErrorKind::ConnectionReset));
    let span_ms = span.as_millis() as u64;
    assert!(
        span_ms < LEASE_MS * 3,
        "a permit of {LEASE_MS} ms, the link sees its end after {span_ms} ms"
    );
}

/// What the engine does with one order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EngineAnswer {
    Status(u16),
    /// The connection closes: perhaps it is carried out later.
    Nothing,
}

/// Names the expected count in a header, and reads a report of a count and models.
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

/// Reads a call to an engine that speaks [`counting`]: the count that it expects, where it is
/// an order.
async fn read_try(stream: &mut TcpStream) -> Option<u64> {
    let mut bytes = vec![0; 4096];
    let read = stream.read(&mut bytes).await.unwrap();
    let text = String::from_utf8_lossy(&bytes[..read]).into_owned();
    let expected = text
        .lines()
        .find_map(|line| line.strip_prefix("Expected: "));
    expected.map(|count| count.parse().unwrap())
}

async fn answer_with(stream: &mut TcpStream, status: u16, report: &str) {
    let length = report.len();
    let answer = format!("HTTP/1.1 {status} Any\r\nContent-Length: {length}\r\n\r\n{report}");
    stream.write_all(answer.as_bytes()).await.unwrap();
}

/// Sends one order to an engine that answers each try in turn and then reports a count of
/// orders. Returns the counts that the tries expected, and the outcome.
async fn try_order(turns: &[(EngineAnswer, &'static str)]) -> (Vec<u64>, OrderOutcome) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (handle, mut end) = start_voter(|_| lease());
    start_order(handle, address, counting());
    let mut report = "4";
    let mut turns = turns.iter();
    let mut expected = Vec::new();
    let outcome = loop {
        tokio::select! {
            outcome = end.recv() => break outcome.unwrap(),
            accepted = listener.accept() => {
                let (mut stream, _) = accepted.unwrap();
                let tried = read_try(&mut stream).await;
                let status = match tried {
                    Some(tried) => {
                        expected.push(tried);
                        let (answer, then) = turns.next().expect("one more try");
                        report = *then;
                        match answer {
                            EngineAnswer::Status(status) => *status,
                            EngineAnswer::Nothing => continue,
                        }
                    }
                    None => 200,
                };
                answer_with(&mut stream, status, report).await;
            }
        }
    };
    (expected, outcome)
}

/// Found on a day on which leaders stood still while orders were answered late: the order of
/// the leader before had moved the count, and the next one's own was believed to be taken.
#[ntex::test]
async fn a_count_that_has_risen_does_not_say_whose_order_was_taken() {
    let turns = [
        (EngineAnswer::Nothing, "5"),
        (EngineAnswer::Status(202), "6"),
    ];
    let (expected, outcome) = try_order(&turns).await;
    assert_eq!(expected, [4, 5]);
    assert_eq!(outcome, OrderOutcome::Taken);
}

/// What is there shows it, once the count has gone past the try: it isn't sent again.
#[ntex::test]
async fn a_try_without_an_answer_was_taken_where_its_effect_is_reported() {
    let (expected, outcome) = try_order(&[(EngineAnswer::Nothing, "5 m")]).await;
    assert_eq!(expected, [4]);
    assert_eq!(outcome, OrderOutcome::Taken);
}

/// A refusal of the second try says nothing of the first, which may still be carried out.
#[ntex::test]
async fn a_try_without_an_answer_may_still_act_when_the_next_finds_the_engine_busy() {
    let turns = [
        (EngineAnswer::Nothing, "4"),
        (EngineAnswer::Status(409), "4"),
    ];
    let (expected, outcome) = try_order(&turns).await;
    assert_eq!(expected, [4, 4]);
    assert_eq!(outcome, OrderOutcome::Unknown);
}

/// An engine that started again under its id counts from the start: what was counted before
/// is not expected of it.
#[ntex::test]
async fn the_count_of_a_life_is_not_expected_of_the_next() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (events, inbox) = mpsc::channel();
    let (told, mut outcomes) = unbounded_channel();
    std::thread::spawn(move || {
        for event in inbox {
            match event {
                ControlEvent::OrderPermit(_, answer) => drop(answer.send(lease())),
                ControlEvent::OrderDone(order, outcome) => {
                    told.send((order.started_ms, outcome)).unwrap()
                }
                _ => panic!("nothing else is asked"),
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
                    let tried = read_try(&mut stream).await;
                    seen.extend(tried);
                    let status = if tried.is_some() { 202 } else { 200 };
                    answer_with(&mut stream, status, report).await;
                }
            }
        };
        assert_eq!(outcome, (started_ms, OrderOutcome::Taken));
    }
    assert_eq!(seen, [4, 0]);
}
