//! Memory of the readers of answers, against servers whose bytes never end: each holds a bounded
//! number of them, and so does an entry with many such answers at once.

#[path = "../control_memory/counting.rs"]
mod counting;
#[allow(dead_code)]
#[path = "../forwarding/support/mod.rs"]
mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use dunlinspring::agent::engine::EngineClient;
use dunlinspring::agent::report_connection::ReportConnection;
use dunlinspring::forward::upstream::{Connection, Exchange, OutgoingRequest, SendProgress};
use dunlinspring::ids::{AttemptId, Incarnation};
use dunlinspring::process::daemon;
use ntex::util::Bytes;
use ntex::web;

use counting::{CountingAllocator, peak_of};
use support::{Behaviour, ForwardSite, RouteShape};

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

const MIB: usize = 1024 * 1024;
const OK: &str = "HTTP/1.1 200 OK\r\n";
/// Heads and bodies: beginning, and what is repeated.
const ANSWERS: [(&str, &str); 13] = [
    ("", "no response "),
    ("HTTP/1.1 200 ", "a"),
    ("HTTP/1.1 200 OK\r\nX: ", "a"),
    (OK, "X: a\r\n"),
    ("", "HTTP/1.1 103 Early\r\n\r\n"),
    ("HTTP/1.1 200 OK\r\n\r\n", "a"),
    ("HTTP/1.1 200 OK\r\n\r\n", "data: a"),
    ("HTTP/1.1 200 OK\r\n\r\n", ": c\n\n"),
    (
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
        "a",
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffff\r\n",
        "a",
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "1\r\na\r\n",
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
        "a",
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        "T: a\r\n",
    ),
];
/// Longest time for which a reader may go on.
const READ_TIME: Duration = Duration::from_secs(2);
/// Most bytes of a request without end that a server may take; the sockets hold a part of them.
const MOST_TAKEN: usize = 64 * MIB;

/// Answers each connection without end, on threads of its own.
fn endless_server(begin: &'static str, unit: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            std::thread::spawn(move || answer(stream.unwrap(), begin, unit));
        }
    });
    address
}

fn answer(mut stream: TcpStream, begin: &str, unit: &str) -> std::io::Result<()> {
    let mut request = [0; 4096];
    if stream.read(&mut request)? == 0 {
        return Ok(());
    }
    stream.write_all(begin.as_bytes())?;
    let block = unit.repeat(16 * 1024 / unit.len());
    loop {
        stream.write_all(block.as_bytes())?;
    }
}

/// Runs a reader against each endless answer and checks the most bytes that it held.
fn check(name: &str, limit: usize, read: impl AsyncFn(SocketAddr) + Copy + 'static) {
    for (begin, unit) in ANSWERS {
        let address = endless_server(begin, unit);
        let system = ntex::rt::System::build().build(ntex::rt::DefaultRuntime);
        let ((), peak) = peak_of(|| {
            system.block_on(async move {
                let _ = tokio::time::timeout(READ_TIME, read(address)).await;
                // What a reader has left open would go on.
                tokio::time::sleep(Duration::from_millis(200)).await;
            })
        });
        println!("{name} {begin:?} {unit:?}: {peak} bytes");
        assert!(peak < limit, "{name} {begin:?} {unit:?}: {peak} bytes");
    }
}

const RUN: AttemptId = AttemptId {
    entry: Incarnation(1),
    number: 1,
};

#[test]
fn readers_of_engines_hold_a_bounded_number_of_bytes() {
    check("report", 4 * MIB, async |address| {
        let client = EngineClient::new(&format!("http://{address}")).await;
        let _ = client.report().await;
    });
    check("stream", 4 * MIB, async |address| {
        let client = EngineClient::new(&format!("http://{address}")).await;
        if let Ok(mut stream) = client.resume(RUN, 0).await {
            while stream.next().await.is_ok() {}
        }
    });
    // Its answer has no content that matters: the body stays unread.
    check("cancel", 4 * MIB, async |address| {
        let client = EngineClient::new(&format!("http://{address}")).await;
        let _ = client.cancel(RUN).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
    });
}

#[test]
fn readers_of_reports_hold_a_bounded_number_of_bytes() {
    check("replica report", 2 * MIB, async |address| {
        let mut reports = ReportConnection::new(address, "/self", Duration::ZERO);
        let _ = reports.fetch().await;
    });
}

#[test]
fn readers_of_platform_documents_hold_a_bounded_number_of_bytes() {
    check("document", 16 * MIB, async |address| {
        let url = format!("http://{address}/hosts");
        let _ = daemon::get_json::<Vec<String>>(&url).await;
    });
}

#[test]
fn heads_of_replicas_hold_a_bounded_number_of_bytes() {
    check("head", MIB, async |address| {
        let connection = Connection::open(address, READ_TIME).await.unwrap();
        let request = OutgoingRequest {
            bytes: b"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
            body: &[],
            method: "GET",
            identity: Some(("request-id", "id-1")),
            on_head: &|_| {},
            progress: &SendProgress::default(),
        };
        let _ = Exchange::send(connection, &request).await;
    });
}

/// Sends a request without end, and returns how much of it the server took.
fn bytes_taken(address: SocketAddr, begin: &str, unit: &str) -> usize {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_write_timeout(Some(READ_TIME)).unwrap();
    stream.write_all(begin.as_bytes()).unwrap();
    let block = unit.repeat(64 * 1024 / unit.len());
    let mut taken = 0;
    while taken < MOST_TAKEN && stream.write_all(block.as_bytes()).is_ok() {
        taken += block.len();
    }
    taken
}

/// The extension of a chunk was kept until its end.
#[test]
fn servers_take_a_bounded_number_of_bytes() {
    // `ntex::test` would start a logger whose captured lines count as memory of all tests.
    let system = ntex::rt::System::build().build(ntex::rt::DefaultRuntime);
    system.block_on(check_endless_requests());
}

async fn check_endless_requests() {
    let (listener, address) = daemon::bind_http("test", "127.0.0.1:0".parse().unwrap()).unwrap();
    let app = async || {
        let post = web::post().to(async |body: Bytes| body.len().to_string());
        web::App::new().route("/x", post)
    };
    let server = daemon::run_http(listener, 1, app).unwrap();
    for (framing, unit) in [
        ("X: ", "a"),
        ("", "X: a\r\n"),
        ("Transfer-Encoding: chunked\r\n\r\n1;", "a"),
        ("Transfer-Encoding: chunked\r\n\r\nfffffffffff\r\n", "a"),
        ("Transfer-Encoding: chunked\r\n\r\n0\r\n", "T: a\r\n"),
    ] {
        let begin = format!("POST /x HTTP/1.1\r\nHost: h\r\n{framing}");
        let taken = tokio::task::spawn_blocking(move || bytes_taken(address, &begin, unit));
        let taken = taken.await.unwrap();
        println!("server {framing:?} {unit:?}: {taken} bytes");
        assert!(taken < MOST_TAKEN, "{framing:?} {unit:?}: {taken} bytes");
    }
    server.stop(false).await;
}

/// Answers of many replicas at once were each held up to the limit of one.
#[test]
fn many_endless_answers_hold_a_bounded_number_of_bytes() {
    const ANSWERS: usize = 200;
    let begin = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nStamp: r1\r\n\r\n";
    for (target, unit) in [("/once/x", "a"), ("/stream/x", "data: a")] {
        let system = ntex::rt::System::build().build(ntex::rt::DefaultRuntime);
        let (answers, peak) = peak_of(|| {
            system.block_on(async move {
                let routes = [
                    RouteShape::unsafe_("/once/"),
                    RouteShape::stream("/stream/", false),
                ];
                let mut site = ForwardSite::start(&routes).await;
                let script = vec![Behaviour::Endless(begin, unit); 2 * ANSWERS];
                site.add_replica("r1", script).await;
                let calls = (0..ANSWERS).map(async |at| {
                    site.send("POST", target, &format!("id-{at}"), "")
                        .await
                        .status
                });
                futures::future::join_all(calls).await
            })
        });
        println!("{target}: {peak} bytes for {ANSWERS} answers");
        assert!(answers.iter().all(|status| *status >= 500), "{answers:?}");
        assert!(peak < 96 * MIB, "{target}: {peak} bytes");
    }
}
