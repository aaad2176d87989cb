//! Fuzz of the reader of responses: drawn responses, cut into drawn pieces and ended in drawn ways,
//! against an oracle that looks at all bytes at once.

use std::time::Duration;

use dunlinspring::forward::upstream::{Connection, Exchange, OutgoingRequest, SendProgress};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Longest line of the chunked coding that the reader accepts, without its line feed, in bytes.
const MAX_LINE_BYTES: usize = 1024;

/// How a body is framed.
#[derive(Clone, Debug)]
enum BodyFraming {
    Length,
    /// Sizes of the chunks, and the length of an extension of each.
    Chunks(Vec<(usize, usize)>),
    Close,
}

/// How the replica ends the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    Close,
    Reset,
}

/// A response and how it is sent.
#[derive(Clone, Debug)]
struct DrawnResponse {
    method: &'static str,
    status: u16,
    is_http11: bool,
    interim: usize,
    body: Vec<u8>,
    framing: BodyFraming,
    /// Bytes that are not sent, from the end.
    missing: usize,
    /// Sizes of the pieces in which it is sent.
    cuts: Vec<usize>,
    end: ConnectionEnd,
}

impl DrawnResponse {
    fn is_bodiless(&self) -> bool {
        self.method == "HEAD" || matches!(self.status, 204 | 304)
    }

    /// Whether a line of the chunked coding is longer than readers accept.
    fn has_long_line(&self) -> bool {
        let BodyFraming::Chunks(sizes) = &self.framing else {
            return false;
        };
        let mut left = self.body.len();
        sizes.iter().any(|(size, extension)| {
            let taken = left.min(*size);
            left -= taken;
            let text = format!("{taken:x};e=\r");
            taken > 0 && *extension > 0 && text.len() + extension > MAX_LINE_BYTES
        })
    }

    /// Returns the head and the framed body.
    fn encode(&self) -> (Vec<u8>, Vec<u8>) {
        let version = if self.is_http11 { "1.1" } else { "1.0" };
        let mut head = "HTTP/1.1 103 Early\r\nLink: x\r\n\r\n".repeat(self.interim);
        head += &format!("HTTP/{version} {} Any\r\nId: 1\r\n", self.status);
        let mut framed = Vec::new();
        match &self.framing {
            BodyFraming::Length => {
                head += &format!("Content-Length: {}\r\n", self.body.len());
                framed.extend_from_slice(&self.body);
            }
            BodyFraming::Chunks(sizes) => {
                head += "Transfer-Encoding: chunked\r\n";
                let mut rest = &self.body[..];
                let all = (usize::MAX, 0);
                for (size, extension) in sizes.iter().copied().chain([all]) {
                    let (chunk, after) = rest.split_at(size.min(rest.len()));
                    rest = after;
                    if chunk.is_empty() {
                        continue;
                    }
                    let extension = match extension {
                        0 => String::new(),
                        length => format!(";e={}", "x".repeat(length)),
                    };
                    framed.extend(format!("{:x}{extension}\r\n", chunk.len()).bytes());
                    framed.extend_from_slice(chunk);
                    framed.extend_from_slice(b"\r\n");
                }
                framed.extend_from_slice(b"0\r\nTrailer: x\r\n\r\n");
            }
            BodyFraming::Close => framed.extend_from_slice(&self.body),
        }
        if self.is_bodiless() {
            framed.clear();
        }
        head += "\r\n";
        (head.into_bytes(), framed)
    }

    /// Returns the body if the response is complete, as all of its bytes show.
    fn expected(&self) -> Option<Vec<u8>> {
        let (head, framed) = self.encode();
        let sent = head.len() + framed.len() - self.missing(head.len() + framed.len());
        let whole = match &self.framing {
            _ if sent < head.len() => false,
            _ if self.is_bodiless() => true,
            _ if self.has_long_line() => false,
            // A part of it cannot be told from the whole.
            BodyFraming::Close => self.end == ConnectionEnd::Close,
            _ => sent == head.len() + framed.len(),
        };
        let body = match &self.framing {
            _ if self.is_bodiless() => Vec::new(),
            BodyFraming::Close => framed[..sent.saturating_sub(head.len())].to_vec(),
            _ => self.body.clone(),
        };
        whole.then_some(body)
    }

    fn missing(&self, length: usize) -> usize {
        self.missing.min(length)
    }
}

fn drawn_response() -> impl Strategy<Value = DrawnResponse> {
    let sizes = prop::collection::vec(
        (1usize..40, prop_oneof![3 => Just(0), 1 => 1usize..1500]),
        0..6,
    );
    let framing = prop_oneof![
        Just(BodyFraming::Length),
        sizes.prop_map(BodyFraming::Chunks),
        Just(BodyFraming::Close),
    ];
    let method = prop_oneof![4 => Just("POST"), 1 => Just("HEAD")];
    let status = prop_oneof![4 => Just(200), 1 => Just(204), 1 => Just(304), 1 => Just(500)];
    let body = prop::collection::vec(any::<u8>(), 0..200);
    let missing = prop_oneof![2 => Just(0), 1 => 1usize..300];
    let cuts = prop::collection::vec(1usize..60, 0..40);
    let end = prop_oneof![2 => Just(ConnectionEnd::Close), 1 => Just(ConnectionEnd::Reset)];
    let response = (
        method,
        status,
        any::<bool>(),
        0usize..3,
        body,
        framing,
        missing,
        cuts,
        end,
    );
    response.prop_map(
        |(method, status, is_http11, interim, body, framing, missing, cuts, end)| DrawnResponse {
            method,
            status,
            is_http11,
            interim,
            body,
            framing,
            missing,
            cuts,
            end,
        },
    )
}

/// Sends the response in its pieces, so that the reader runs between any two.
async fn send_in_pieces(mut stream: TcpStream, response: &DrawnResponse) {
    let mut request = [0; 64];
    let _ = stream.read(&mut request).await;
    let (head, framed) = response.encode();
    let bytes = [head, framed].concat();
    let mut rest = &bytes[..bytes.len() - response.missing(bytes.len())];
    for cut in response.cuts.iter().copied().chain([usize::MAX]) {
        let (piece, after) = rest.split_at(cut.min(rest.len()));
        rest = after;
        let _ = stream.write_all(piece).await;
        for _ in 0..4 {
            tokio::task::yield_now().await;
        }
    }
    if response.end == ConnectionEnd::Reset {
        SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }
}

/// Returns the body if the reader takes the response for complete.
async fn read_whole(connection: Connection, method: &str) -> Option<Vec<u8>> {
    let request = OutgoingRequest {
        bytes: b"POST / HTTP/1.1\r\n\r\n",
        body: &[],
        method,
        identity: Some(("Id", "1")),
        on_head: &|_| {},
        progress: &SendProgress::default(),
    };
    // Dropping it resets it, so that no case leaves a port behind.
    connection.limit_send_time(Duration::from_secs(60)).ok()?;
    let (mut exchange, _) = Exchange::send(connection, &request).await.ok()?;
    let mut body = Vec::new();
    while let Some(bytes) = exchange.next().await.ok()? {
        body.extend_from_slice(&bytes);
    }
    Some(body)
}

fn read_as_sent(response: &DrawnResponse) -> Option<Vec<u8>> {
    let runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = { runtime }.enable_all().build().unwrap();
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let limit = Duration::from_secs(60);
        let (opened, accepted) = tokio::join!(Connection::open(address, limit), listener.accept());
        let sends = send_in_pieces(accepted.unwrap().0, response);
        tokio::join!(read_whole(opened.unwrap(), response.method), sends).0
    })
}

proptest! {
    #![proptest_config(Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(60),
        ..Config::with_cases(2_000)
    })]

    #[test]
    fn a_response_is_whole_exactly_if_all_of_it_came(response in drawn_response()) {
        prop_assert_eq!(read_as_sent(&response), response.expected());
    }
}

#[test]
fn an_answer_that_came_before_the_request_was_sent_is_not_lost_to_the_close() {
    let runtime = { tokio::runtime::Builder::new_current_thread() }
        .enable_all()
        .build()
        .unwrap();
    let read = runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let limit = Duration::from_secs(60);
        let (opened, accepted) = tokio::join!(Connection::open(address, limit), listener.accept());
        let (mut stream, _) = accepted.unwrap();
        let answer = b"HTTP/1.1 503 Busy\r\nId: 1\r\nContent-Length: 0\r\n\r\n";
        stream.write_all(answer).await.unwrap();
        // Unread bytes make the close a reset; the request is longer than any socket buffer.
        let bytes = vec![b'x'; 64 * 1024 * 1024];
        let request = OutgoingRequest {
            bytes: &bytes,
            body: &[],
            method: "POST",
            identity: Some(("Id", "1")),
            on_head: &|_| {},
            progress: &SendProgress::default(),
        };
        let closes = async {
            stream.read_exact(&mut [0; 1]).await.unwrap();
            drop(stream);
        };
        let (sent, ()) = tokio::join!(Exchange::send(opened.unwrap(), &request), closes);
        sent.map(|(_, head)| head.status).ok()
    });
    assert_eq!(read, Some(503));
}
