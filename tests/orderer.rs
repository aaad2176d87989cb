//! Orders leave only while their leader decides.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::mpsc;

use dunlinspring::control::orderer::{self, EngineCall, EngineDialect, EngineReport};
use dunlinspring::control::voter::{ControlEvent, ControlHandle};
use dunlinspring::ids::{HostName, ModelName, ReplicaId, Term};
use dunlinspring::placement::order::{EngineOrder, OrderKind, OrderOutcome};
use dunlinspring::process::wire::ControlRefusal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

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

fn order_to(address: SocketAddr) -> EngineOrder {
    EngineOrder {
        replica: ReplicaId::from("r"),
        address,
        holder: HostName::from("c1"),
        fence: Term(7),
        kind: OrderKind::Load,
        model: ModelName::from("m"),
        adapter: None,
    }
}

/// Sends one order of a leader that decides, or does not any more. Returns the first lines
/// that the engine got, and the outcome.
async fn send_order(decides: bool) -> (Vec<String>, OrderOutcome) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (events, inbox) = mpsc::channel();
    let (ended, mut end) = tokio::sync::mpsc::unbounded_channel();
    // Stands for the voter's thread: it ends with the order's outcome.
    let voter = std::thread::spawn(move || {
        for event in inbox {
            match event {
                ControlEvent::MayOrder(term, answer) => {
                    let refusal = Err(ControlRefusal::NotLeader(None));
                    let may = decides && term == Term(7);
                    answer.send(if may { Ok(()) } else { refusal }).unwrap();
                }
                ControlEvent::Ordered(_, outcome) => {
                    ended.send(outcome).unwrap();
                    return;
                }
                _ => panic!("nothing else is asked"),
            }
        }
    });
    let (orders, ordered) = tokio::sync::mpsc::unbounded_channel();
    ntex::rt::spawn(orderer::run(ordered, ControlHandle(events), dialect()));
    orders.send(order_to(address)).unwrap();
    let mut lines = Vec::new();
    let outcome = loop {
        tokio::select! {
            outcome = end.recv() => break outcome.unwrap(),
            accepted = listener.accept() => {
                let (mut stream, _) = accepted.unwrap();
                let mut bytes = vec![0; 4096];
                let read = stream.read(&mut bytes).await.unwrap();
                let text = String::from_utf8_lossy(&bytes[..read]).into_owned();
                let Some(line) = text.lines().next().map(str::to_owned) else {
                    continue;
                };
                let status = if line.starts_with("POST") { 202 } else { 200 };
                let answer = format!("HTTP/1.1 {status} Any\r\nContent-Length: 0\r\n\r\n");
                stream.write_all(answer.as_bytes()).await.unwrap();
                lines.push(line);
            }
        }
    };
    voter.join().unwrap();
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
    assert_eq!(outcome, OrderOutcome::Unknown);
}

/// What the engine does with one order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Status(u16),
    /// The connection closes: perhaps it is carried out later.
    Nothing,
}

/// Sends one order to an engine that answers each try in turn and then reports a count of
/// orders. Returns the counts that the tries expected, and the outcome.
async fn try_order(turns: &[(Answer, &'static str)]) -> (Vec<u64>, OrderOutcome) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (events, inbox) = mpsc::channel();
    let (ended, mut end) = tokio::sync::mpsc::unbounded_channel();
    let voter = std::thread::spawn(move || {
        for event in inbox {
            match event {
                ControlEvent::MayOrder(_, answer) => answer.send(Ok(())).unwrap(),
                ControlEvent::Ordered(_, outcome) => {
                    ended.send(outcome).unwrap();
                    return;
                }
                _ => panic!("nothing else is asked"),
            }
        }
    });
    let counting = EngineDialect {
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
    };
    let (orders, ordered) = tokio::sync::mpsc::unbounded_channel();
    ntex::rt::spawn(orderer::run(ordered, ControlHandle(events), counting));
    orders.send(order_to(address)).unwrap();
    let mut report = "4";
    let mut turns = turns.iter();
    let mut expected = Vec::new();
    let outcome = loop {
        tokio::select! {
            outcome = end.recv() => break outcome.unwrap(),
            accepted = listener.accept() => {
                let (mut stream, _) = accepted.unwrap();
                let mut bytes = vec![0; 4096];
                let read = stream.read(&mut bytes).await.unwrap();
                let text = String::from_utf8_lossy(&bytes[..read]).into_owned();
                let tried = text.lines().find_map(|line| line.strip_prefix("Expected: "));
                let status = match tried {
                    Some(tried) => {
                        expected.push(tried.parse().unwrap());
                        let (answer, then) = turns.next().expect("one more try");
                        report = *then;
                        match answer {
                            Answer::Status(status) => *status,
                            Answer::Nothing => continue,
                        }
                    }
                    None => 200,
                };
                let length = report.len();
                let answer = format!("HTTP/1.1 {status} Any\r\nContent-Length: {length}\r\n\r\n{report}");
                stream.write_all(answer.as_bytes()).await.unwrap();
            }
        }
    };
    voter.join().unwrap();
    (expected, outcome)
}

/// Found on a day on which leaders stood still while orders were answered late: the order of
/// the leader before had moved the count, and the next one's own was believed to be taken.
#[ntex::test]
async fn a_count_that_has_risen_does_not_say_whose_order_was_taken() {
    let turns = [(Answer::Nothing, "5"), (Answer::Status(202), "6")];
    let (expected, outcome) = try_order(&turns).await;
    assert_eq!(expected, [4, 5]);
    assert_eq!(outcome, OrderOutcome::Taken);
}

/// What is there shows it, once the count has gone past the try: it isn't sent again.
#[ntex::test]
async fn a_try_without_an_answer_was_taken_where_its_effect_is_reported() {
    let (expected, outcome) = try_order(&[(Answer::Nothing, "5 m")]).await;
    assert_eq!(expected, [4]);
    assert_eq!(outcome, OrderOutcome::Taken);
}

/// A refusal of the second try says nothing of the first, which may still be carried out.
#[ntex::test]
async fn a_try_without_an_answer_may_still_act_when_the_next_finds_the_engine_busy() {
    let turns = [(Answer::Nothing, "4"), (Answer::Status(409), "4")];
    let (expected, outcome) = try_order(&turns).await;
    assert_eq!(expected, [4, 4]);
    assert_eq!(outcome, OrderOutcome::Unknown);
}
