//! The connection over which an agent reads the report of its replica. It is kept open, since each
//! new connection has a price at the replica.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use snafu::{ResultExt, Snafu};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::forward::chunked::ChunkDecoder;
use crate::forward::head::{self, Framing, ResponseHead};

/// Timeout of one report, including the connection.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Shortest time between two connections, so that a replica that fails, or closes each connection,
/// does not get one for each report.
pub const RECONNECT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Longest head or body of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 * 1024;
/// Bytes read at once.
const READ_SIZE: usize = 4 * 1024;

/// Why no report could be read.
#[derive(Debug, Snafu)]
pub enum FetchError {
    /// No connection could be opened.
    #[snafu(display("cannot connect: {source}"))]
    Connect {
        /// The I/O error.
        source: io::Error,
    },
    /// The connection failed.
    #[snafu(display("connection lost: {source}"))]
    Broken {
        /// The I/O error.
        source: io::Error,
    },
    /// The replica closed the connection before its response was complete.
    #[snafu(display("connection closed before the response was complete"))]
    Closed,
    /// No complete response came in time.
    #[snafu(display("no response within {} ms", FETCH_TIMEOUT.as_millis()))]
    TimedOut,
    /// The bytes received are not a response.
    #[snafu(display("invalid response: {reason}"))]
    Malformed {
        /// What is wrong.
        reason: String,
    },
    /// The response is not a report.
    #[snafu(display("status {status}"))]
    Status {
        /// Status of the response.
        status: u16,
    },
}

impl FetchError {
    /// Whether the connection was refused: no process listens at the address.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect { source } if source.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Whether the connection ended, as one that was idle may at any time.
    fn is_disconnect(&self) -> bool {
        matches!(self, Self::Broken { .. } | Self::Closed)
    }
}

/// Connection for reports; opened when it is needed.
#[derive(Debug)]
pub struct ReportConnection {
    peer: SocketAddr,
    request: String,
    reconnect_interval: Duration,
    stream: Option<TcpStream>,
    opened_at: Option<Instant>,
    buffer: Vec<u8>,
    body: Vec<u8>,
}

impl ReportConnection {
    /// Creates a connection to a replica, which gives its report under `path`.
    pub fn new(peer: SocketAddr, path: &str, reconnect_interval: Duration) -> Self {
        Self {
            peer,
            request: format!(
                "GET {path} HTTP/1.1\r\nHost: {peer}\r\nAccept: application/json\r\n\r\n"
            ),
            reconnect_interval,
            stream: None,
            opened_at: None,
            buffer: Vec::new(),
            body: Vec::new(),
        }
    }

    /// Reads the report. Waits first if a connection was opened a moment ago and is needed again.
    pub async fn fetch(&mut self) -> Result<&[u8], FetchError> {
        let is_reused = self.is_open();
        let mut read = self.try_fetch().await;
        // A connection may close while the request is on its way; a report can be asked for again.
        if is_reused && read.as_ref().is_err_and(FetchError::is_disconnect) {
            read = self.try_fetch().await;
        }
        read.map(|()| self.body.as_slice())
    }

    /// Closes the connection.
    pub fn close(&mut self) {
        self.stream = None;
    }

    /// Whether the connection is open, and no unexpected bytes have arrived.
    fn is_open(&mut self) -> bool {
        let mut probe = [0; 1];
        let is_quiet = |stream: &TcpStream| match stream.try_read(&mut probe) {
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
            Ok(_) => false,
        };
        if !self.stream.as_ref().is_some_and(is_quiet) {
            self.stream = None;
        }
        self.stream.is_some()
    }

    async fn try_fetch(&mut self) -> Result<(), FetchError> {
        if let (None, Some(opened_at)) = (&self.stream, self.opened_at) {
            tokio::time::sleep_until(opened_at + self.reconnect_interval).await;
        }
        let exchange = tokio::time::timeout(FETCH_TIMEOUT, self.exchange()).await;
        let read = exchange.unwrap_or(Err(FetchError::TimedOut));
        match &read {
            Ok(is_reusable) if *is_reusable => {}
            _ => self.close(),
        }
        read.map(|_| ())
    }

    /// Reads one response into `body`. Returns whether the connection may carry another request.
    async fn exchange(&mut self) -> Result<bool, FetchError> {
        if self.stream.is_none() {
            self.opened_at = Some(Instant::now());
            let stream = TcpStream::connect(self.peer).await.context(ConnectSnafu)?;
            let _ = stream.set_nodelay(true);
            self.stream = Some(stream);
        }
        let Some(stream) = &mut self.stream else {
            return Err(FetchError::Closed);
        };
        self.buffer.clear();
        self.body.clear();
        let written = stream.write_all(self.request.as_bytes()).await;
        written.context(BrokenSnafu)?;
        let head = read_head(stream, &mut self.buffer).await?;
        let has_end = read_body(stream, &head, &mut self.buffer, &mut self.body).await?;
        let closes = !head.is_http11 || head::names_token(&head.headers, "connection", "close");
        match head.status {
            200 => Ok(has_end && !closes && self.buffer.is_empty()),
            status => Err(FetchError::Status { status }),
        }
    }
}

/// Reads the head of the final response and removes it from the buffer.
async fn read_head(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> Result<ResponseHead, FetchError> {
    loop {
        match head::parse_response(buffer, "GET") {
            Ok(Some((head, len))) => {
                buffer.drain(..len);
                match head.status {
                    100..=199 => {}
                    _ => return Ok(head),
                }
            }
            Ok(None) => fill(stream, buffer).await?,
            Err(error) => return Err(malformed(&error.to_string())),
        }
    }
}

/// Reads a body. Returns whether it ended before the connection did.
async fn read_body(
    stream: &mut TcpStream,
    head: &ResponseHead,
    buffer: &mut Vec<u8>,
    body: &mut Vec<u8>,
) -> Result<bool, FetchError> {
    match head.framing {
        Framing::Length(length) => {
            let length = usize::try_from(length).unwrap_or(usize::MAX);
            if length > MAX_RESPONSE_BYTES {
                return Err(malformed("the body is too long"));
            }
            while buffer.len() < length {
                fill(stream, buffer).await?;
            }
            body.extend(buffer.drain(..length));
            Ok(true)
        }
        Framing::Chunked => {
            let mut decoder = ChunkDecoder::default();
            loop {
                let taken = decoder.decode(buffer, body);
                let taken = taken.map_err(|error| malformed(&error.to_string()))?;
                buffer.drain(..taken);
                match decoder.is_done() {
                    true => return Ok(true),
                    false if body.len() > MAX_RESPONSE_BYTES => {
                        return Err(malformed("the body is too long"));
                    }
                    false => fill(stream, buffer).await?,
                }
            }
        }
        Framing::Close => loop {
            match fill(stream, buffer).await {
                Ok(()) => {}
                Err(FetchError::Closed) => {
                    body.append(buffer);
                    return Ok(false);
                }
                Err(error) => return Err(error),
            }
        },
    }
}

/// Reads more bytes; an error if the connection has ended or the buffer is full.
async fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Result<(), FetchError> {
    if buffer.len() > MAX_RESPONSE_BYTES {
        return Err(malformed("the response is too long"));
    }
    buffer.reserve(READ_SIZE);
    match stream.read_buf(buffer).await.context(BrokenSnafu)? {
        0 => Err(FetchError::Closed),
        _ => Ok(()),
    }
}

fn malformed(reason: &str) -> FetchError {
    FetchError::Malformed {
        reason: reason.to_owned(),
    }
}
