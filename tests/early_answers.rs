//! Replicas that answer without a length, before or after they have read a request, and end the
//! connection in different ways: a reset never ends an answer, whoever sees it first.

use std::time::Duration;

use dunlinspring::forward::upstream::{Connection, Exchange, OutgoingRequest, SendProgress};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const HEAD: &str = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n";
/// Fits into the buffers of the sockets.
const SMALL: usize = 1_000;
/// Is longer than all buffers.
const LARGE: usize = 64 * 1024 * 1024;
/// Number of times that each case is run: what is polled first is drawn.
const ROUNDS: usize = 24;

/// How a replica ends its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    /// By a close; it becomes a reset if bytes of the request are unread.
    Close,
    Reset,
    /// By the end of its direction, followed by a reset.
    EndAndReset,
    /// By the end of its direction; it stays to read.
    HalfClose,
}

/// What a replica does.
#[derive(Clone, Copy, Debug)]
struct EarlyAnswer {
    request: usize,
    /// Bytes of the request that it reads before it answers.
    read: usize,
    /// Pieces in which it sends its head and 1,000 bytes of its body.
    pieces: usize,
    /// Whether the caller runs between the last piece and the end.
    pauses: bool,
    end: ConnectionEnd,
}

impl EarlyAnswer {
    /// Whether the answer has ended: the replica has read the request and closed its direction.
    fn is_whole(&self) -> bool {
        let is_read = self.read == self.request;
        match self.end {
            ConnectionEnd::Close | ConnectionEnd::HalfClose => is_read,
            ConnectionEnd::Reset | ConnectionEnd::EndAndReset => false,
        }
    }
}

fn cases() -> Vec<EarlyAnswer> {
    let mut cases = Vec::new();
    for (request, reads) in [
        (SMALL, vec![0, 1, SMALL]),
        (LARGE, vec![0, 1, SMALL, LARGE]),
    ] {
        for read in reads {
            for end in [
                ConnectionEnd::Close,
                ConnectionEnd::Reset,
                ConnectionEnd::EndAndReset,
                ConnectionEnd::HalfClose,
            ] {
                // A request that the sockets hold is written, whether its replica reads it or not.
                if request == SMALL && read < SMALL && end == ConnectionEnd::HalfClose {
                    continue;
                }
                for (pieces, pauses) in [(1, false), (1, true), (2, false), (5, true)] {
                    // The caller may have read the end before the reset comes.
                    if end == ConnectionEnd::EndAndReset && pauses {
                        continue;
                    }
                    cases.push(EarlyAnswer {
                        request,
                        read,
                        pieces,
                        pauses,
                        end,
                    });
                }
            }
        }
    }
    cases
}

async fn yield_for_a_while() {
    for _ in 0..8 {
        tokio::task::yield_now().await;
    }
}

async fn answer(mut stream: TcpStream, case: EarlyAnswer) -> TcpStream {
    let mut left = case.read;
    let mut buffer = vec![0; 256 * 1024];
    while left > 0 {
        let len = left.min(buffer.len());
        left -= stream.read(&mut buffer[..len]).await.unwrap();
    }
    let text = format!("{HEAD}{}", "x".repeat(1_000));
    let size = text.len().div_ceil(case.pieces);
    for piece in text.as_bytes().chunks(size) {
        stream.write_all(piece).await.unwrap();
        if case.pieces > 1 {
            yield_for_a_while().await;
        }
    }
    if case.pauses {
        yield_for_a_while().await;
    }
    let shut = matches!(
        case.end,
        ConnectionEnd::EndAndReset | ConnectionEnd::HalfClose
    );
    if shut {
        SockRef::from(&stream)
            .shutdown(std::net::Shutdown::Write)
            .unwrap();
    }
    if matches!(case.end, ConnectionEnd::Reset | ConnectionEnd::EndAndReset) {
        SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }
    stream
}

/// Returns the number of bytes of the body if the reader takes the answer for whole.
async fn read_whole(connection: Connection, request: &[u8]) -> Option<usize> {
    let outgoing = OutgoingRequest {
        bytes: request,
        body: &[],
        method: "POST",
        identity: Some(("Id", "1")),
        on_head: &|_| {},
        progress: &SendProgress::default(),
    };
    let (mut exchange, _) = Exchange::send(connection, &outgoing).await.ok()?;
    let mut count = 0;
    while let Some(bytes) = exchange.next().await.ok()? {
        count += bytes.len();
    }
    Some(count)
}

async fn play(case: EarlyAnswer, request: &[u8]) -> Option<usize> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let limit = Duration::from_secs(60);
    let (opened, accepted) = tokio::join!(Connection::open(address, limit), listener.accept());
    let (stream, _) = accepted.unwrap();
    let replica = async {
        let stream = answer(stream, case).await;
        match case.end {
            ConnectionEnd::HalfClose => Some(stream),
            _ => None,
        }
    };
    let reads = read_whole(opened.unwrap(), &request[..case.request]);
    tokio::join!(reads, replica).0
}

/// Guards against a part of an answer that is taken for the whole as a write saw the reset.
#[test]
fn an_answer_without_length_is_whole_only_if_its_connection_was_closed_in_order() {
    let request = vec![b'x'; LARGE];
    let runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = { runtime }.enable_all().build().unwrap();
    let mut wrong = Vec::new();
    for case in cases() {
        let rounds = if case.read == LARGE { 2 } else { ROUNDS };
        let expected = case.is_whole().then_some(1_000);
        let reads = (0..rounds).map(|_| runtime.block_on(play(case, &request)));
        let count = reads.filter(|read| *read != expected).count();
        if count > 0 {
            wrong.push(format!("{count} of {rounds}: {case:?}"));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}
