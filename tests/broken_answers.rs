//! Readers of engines, replicas and the platform, against a server whose answers are no HTTP: each
//! reader refuses them, and takes the same answer in its sound form.

use std::net::SocketAddr;
use std::time::Duration;

use dunlinspring::agent::engine::EngineClient;
use dunlinspring::agent::report_connection::ReportConnection;
use dunlinspring::forward::head::{self, HeadError};
use dunlinspring::forward::upstream::{Connection, Exchange, OutgoingRequest, SendProgress};
use dunlinspring::ids::{AttemptId, Incarnation};
use dunlinspring::process::daemon;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Body of all answers; each reader takes it.
const BODY: &str = r#"{"orders":5}"#;
/// Statuses that no final answer has.
const BAD_STATUSES: [u16; 10] = [0, 1, 42, 99, 101, 600, 700, 900, 998, 999];

fn answer(status: &str, line: &str) -> String {
    let length = BODY.len();
    format!("HTTP/1.1 {status} Any\r\n{line}Content-Length: {length}\r\n\r\n{BODY}")
}

/// Starts a server that answers each connection with these bytes and closes it.
async fn serve(bytes: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4096];
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(bytes.as_bytes()).await;
            let _ = stream.shutdown().await;
            let _ = stream.read(&mut request).await;
        }
    });
    address
}

/// Whether the reader of replicas, which control hosts use for orders and entries for requests,
/// takes the answer for whole.
async fn replica_reader_takes(address: SocketAddr) -> bool {
    let connection = Connection::open(address, Duration::from_secs(60))
        .await
        .unwrap();
    let request = OutgoingRequest {
        bytes: b"GET / HTTP/1.1\r\n\r\n",
        method: "GET",
        identity: None,
        on_head: &|_| {},
        progress: &SendProgress::default(),
    };
    let Ok((mut exchange, _)) = Exchange::send(connection, &request).await else {
        return false;
    };
    let mut body = Vec::new();
    while let Ok(Some(bytes)) = exchange.next().await {
        body.extend_from_slice(&bytes);
    }
    exchange.finish().is_some() && body == BODY.as_bytes()
}

async fn agent_takes(address: SocketAddr) -> bool {
    let mut connection = ReportConnection::new(address, "/report", Duration::ZERO);
    connection.fetch().await.is_ok()
}

async fn document_reader_takes(address: SocketAddr) -> bool {
    let read = daemon::get_json::<serde_json::Value>(&format!("http://{address}/")).await;
    read.is_ok()
}

async fn engine_reader_takes(address: SocketAddr) -> bool {
    let client = EngineClient::new(&format!("http://{address}")).await;
    let run = AttemptId {
        entry: Incarnation(1),
        number: 1,
    };
    client.cancel(run).await.is_ok()
}

/// Returns which readers take an answer.
async fn readers_of(bytes: &str) -> [bool; 4] {
    let address = serve(bytes.to_owned()).await;
    [
        replica_reader_takes(address).await,
        agent_takes(address).await,
        document_reader_takes(address).await,
        engine_reader_takes(address).await,
    ]
}

#[ntex::test]
async fn every_reader_takes_the_sound_answer() {
    assert_eq!(readers_of(&answer("200", "X: a\r\n")).await, [true; 4]);
}

/// Guards against a status that is none and is passed on as one.
#[test]
fn a_head_with_a_status_that_is_none_is_malformed() {
    let parse = |status: &str| head::parse_response(answer(status, "").as_bytes(), "GET");
    for status in 0..=999 {
        let parsed = parse(&format!("{status:03}"));
        match status {
            100 | 102..=599 => assert_eq!(parsed.unwrap().unwrap().0.status, status),
            _ => assert_eq!(parsed, Err(HeadError::Malformed), "{status}"),
        }
    }
    for status in ["", "2", "20", "2000", "-20", "+20", "2 0", "0x1", "２００"] {
        assert_eq!(parse(status), Err(HeadError::Malformed), "{status:?}");
    }
}

#[ntex::test]
async fn no_reader_takes_an_answer_whose_status_is_none() {
    for status in BAD_STATUSES {
        let bytes = answer(&format!("{status:03}"), "");
        assert_eq!(readers_of(&bytes).await, [false; 4], "{status:03}");
    }
}

/// Guards against the document of an error that is read as the one that was asked for.
#[ntex::test]
async fn a_document_is_read_from_a_success_alone() {
    for status in ["103", "204", "302", "404", "500", "503", "599"] {
        let address = serve(answer(status, "")).await;
        assert!(!document_reader_takes(address).await, "{status}");
    }
}
