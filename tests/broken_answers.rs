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

/// Lines that belong in no head: names with a blank, a control byte or a byte that is not ASCII,
/// names that are empty, lines that continue the one before, and values with control bytes.
const BAD_LINES: [&[u8]; 34] = [
    b"X Y: a\r\n",
    b"X : a\r\n",
    b"X\t: a\r\n",
    b"X\tY: a\r\n",
    b" X: a\r\n",
    b"\tX: a\r\n",
    b" a\r\n",
    b"\ta\r\n",
    b" \r\n",
    b"X: a\r\n b\r\n",
    b"X: a\r\n\tb\r\n",
    b": a\r\n",
    b":\r\n",
    b" : a\r\n",
    b"X\r\n",
    b"\0: a\r\n",
    b"X\0: a\r\n",
    b"X\0Y: a\r\n",
    b"X\x01: a\r\n",
    b"X\x0b: a\r\n",
    b"X\x1f: a\r\n",
    b"X\x7f: a\r\n",
    b"X\r: a\r\n",
    b"X\x80: a\r\n",
    b"X\xc3\xa9: a\r\n",
    b"X\xff: a\r\n",
    b"X: \0\r\n",
    b"X: a\0b\r\n",
    b"X: a\x01\r\n",
    b"X: a\x0b\r\n",
    b"X: a\x1f\r\n",
    b"X: a\x7f\r\n",
    b"X: a\rb\r\n",
    b"X: a\r\r\n",
];

fn answer(status: &str, line: &str) -> Vec<u8> {
    let length = BODY.len();
    let text = format!("HTTP/1.1 {status} Any\r\n{line}Content-Length: {length}\r\n\r\n{BODY}");
    text.into_bytes()
}

/// Returns an answer with one line at the beginning, in the middle and at the end of its head.
fn answers_with(line: &[u8]) -> [Vec<u8>; 3] {
    let length = format!("Content-Length: {}\r\n", BODY.len());
    let lines = [length.as_bytes(), b"Y: b\r\n"];
    [0, 1, 2].map(|place| {
        let (before, after) = lines.split_at(place);
        let head = [before.concat(), line.to_vec(), after.concat()].concat();
        let status = b"HTTP/1.1 200 OK\r\n";
        [status, head.as_slice(), b"\r\n", BODY.as_bytes()].concat()
    })
}

/// Returns an answer in chunks with these trailers.
fn chunked_answer(trailers: &[u8]) -> Vec<u8> {
    let length = BODY.len();
    let text = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{BODY}\r\n0\r\n"
    );
    [text.as_bytes(), trailers, b"\r\n"].concat()
}

/// Starts a server that answers each connection with these bytes and closes it.
async fn serve(bytes: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4096];
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(&bytes).await;
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
        body: &[],
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
async fn readers_of(bytes: &[u8]) -> [bool; 4] {
    let address = serve(bytes.to_vec()).await;
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
    let parse = |status: &str| head::parse_response(&answer(status, ""), "GET");
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

#[ntex::test]
async fn no_reader_takes_an_answer_whose_head_has_a_malformed_line() {
    for answer in answers_with(b"X-Y: a b\r\n") {
        assert_eq!(readers_of(&answer).await, [true; 4]);
    }
    for line in BAD_LINES {
        for answer in answers_with(line) {
            let text = line.escape_ascii().to_string();
            assert_eq!(readers_of(&answer).await, [false; 4], "{text}");
        }
    }
}

/// Guards against a body whose trailers are no header lines and that is taken for whole.
#[ntex::test]
async fn no_reader_takes_an_answer_with_a_malformed_trailer() {
    let sound = readers_of(&chunked_answer(b"X-Y: a b\r\nZ:\r\n")).await;
    assert!(sound[0] && sound[1], "{sound:?}");
    for line in BAD_LINES {
        for trailers in [line.to_vec(), [b"Y: b\r\n", line].concat()] {
            let taken = readers_of(&chunked_answer(&trailers)).await;
            assert_eq!(taken[..3], [false; 3], "{}", trailers.escape_ascii());
        }
    }
}
