//! Orders leave only while their leader decides.

use std::sync::mpsc;

use dunlinspring::clock;
use dunlinspring::control::orderer::{self, EngineCall, EngineDialect, EngineReport};
use dunlinspring::control::voter::{ControlEvent, ControlHandle, SendPermit};
use dunlinspring::ids::{HostName, ModelName, ReplicaId, Term};
use dunlinspring::placement::order::{EngineOrder, OrderId, OrderKind, OrderOutcome};
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
        read_report: |_| {
            Some(EngineReport {
                orders: 0,
                busy: false,
            })
        },
        outcome: |status| match status {
            202 => OrderOutcome::Taken,
            _ => OrderOutcome::Refused,
        },
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
                    let permit = SendPermit {
                        until_ms: clock::monotonic_ms() + 400,
                    };
                    answer.send(if may { Ok(permit) } else { refusal }).unwrap();
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
    let order = EngineOrder {
        id: OrderId {
            term: Term(7),
            number: 1,
        },
        replica: ReplicaId::from("r"),
        address,
        holder: HostName::from("c1"),
        fence: Term(7),
        kind: OrderKind::Load,
        model: ModelName::from("m"),
        adapter: None,
    };
    orders.send(order).unwrap();
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
