//! Readers of engines, replicas and the platform, against a server whose bytes never end: each one
//! reads a bounded number of them, fails, and closes the connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use dunlinspring::agent::engine::EngineClient;
use dunlinspring::agent::report_connection::ReportConnection;
use dunlinspring::ids::{AttemptId, Incarnation};
use dunlinspring::process::daemon;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const OK: &str = "HTTP/1.1 200 OK\r\n";
/// Bodies: framing, and what is repeated.
const BODIES: [(&str, &str); 6] = [
    ("\r\n", "a"),
    ("Content-Length: 99999999999\r\n\r\n", "a"),
    ("Transfer-Encoding: chunked\r\n\r\nfffffffffff\r\n", "a"),
    ("Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"),
    ("Transfer-Encoding: chunked\r\n\r\n1;", "a"),
    ("Transfer-Encoding: chunked\r\n\r\n0\r\n", "T: a\r\n"),
];
/// Heads: beginning, and what is repeated.
const HEADS: [(&str, &str); 4] = [
    ("", "no response "),
    ("HTTP/1.1 200 OK\r\nX: ", "a"),
    (OK, "X: a\r\n"),
    ("", "HTTP/1.1 103 Early\r\n\r\n"),
];

/// A server that answers each request without end.
struct EndlessServer {
    address: SocketAddr,
    open: Arc<AtomicUsize>,
}

impl EndlessServer {
    async fn start(begin: String, unit: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let open = Arc::new(AtomicUsize::new(0));
        let counted = open.clone();
        tokio::task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                counted.fetch_add(1, Ordering::SeqCst);
                let (begin, counted) = (begin.clone(), counted.clone());
                tokio::task::spawn(async move {
                    let _ = answer(stream, &begin, unit).await;
                    counted.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Self { address, open }
    }

    /// Waits until the reader has closed all connections.
    async fn closed(&self) {
        while self.open.load(Ordering::SeqCst) > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

async fn answer(mut stream: TcpStream, begin: &str, unit: &str) -> std::io::Result<()> {
    let mut request = [0; 1024];
    if stream.read(&mut request).await? == 0 {
        return Ok(());
    }
    stream.write_all(begin.as_bytes()).await?;
    let block = unit.repeat(4096 / unit.len());
    loop {
        stream.write_all(block.as_bytes()).await?;
    }
}

/// Returns all heads and bodies without end, and those that follow `head`.
fn responses() -> Vec<(String, &'static str)> {
    let heads = HEADS.iter().map(|(begin, unit)| (begin.to_string(), *unit));
    let bodies = BODIES
        .iter()
        .map(|(framing, unit)| (format!("{OK}{framing}"), *unit));
    heads.chain(bodies).collect()
}

#[ntex::test]
async fn reports_of_engines_end_at_a_limit() {
    for (begin, unit) in responses() {
        let server = EndlessServer::start(begin.clone(), unit).await;
        let client = EngineClient::new(&format!("http://{}", server.address)).await;
        assert!(client.report().await.is_err(), "{begin:?} {unit:?}");
        drop(client);
        server.closed().await;
    }
}

/// Lines that are no events counted as progress: a stream of them went on for ever.
#[ntex::test]
async fn streams_of_engines_end_without_pieces() {
    for unit in ["data: a", ": c\n\n", "\n"] {
        let server = EndlessServer::start(format!("{OK}\r\n"), unit).await;
        let client = EngineClient::new(&format!("http://{}", server.address)).await;
        let run = AttemptId {
            entry: Incarnation(1),
            number: 1,
        };
        let mut stream = client.resume(run, 0).await.unwrap();
        assert!(stream.next().await.is_err(), "{unit:?}");
        drop((stream, client));
        server.closed().await;
    }
}

#[ntex::test]
async fn reports_of_replicas_end_at_a_limit() {
    for (begin, unit) in responses() {
        let server = EndlessServer::start(begin.clone(), unit).await;
        let mut reports = ReportConnection::new(server.address, "/self", Duration::ZERO);
        assert!(reports.fetch().await.is_err(), "{begin:?} {unit:?}");
        drop(reports);
        server.closed().await;
    }
}

#[ntex::test]
async fn documents_of_the_platform_end_at_a_limit() {
    for (begin, unit) in responses() {
        let server = EndlessServer::start(begin.clone(), unit).await;
        let url = format!("http://{}/hosts", server.address);
        let read = daemon::get_json::<Vec<String>>(&url).await;
        assert!(read.is_err(), "{begin:?} {unit:?}");
        server.closed().await;
    }
}
