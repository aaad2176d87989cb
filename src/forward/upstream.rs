//! Connections to replicas. Each carries one request at a time; a response is matched to its
//! request, and an error shows whether the request may have been sent.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use snafu::Snafu;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::clock;
use crate::forward::chunked::ChunkDecoder;
use crate::forward::head::{self, Framing, ResponseHead};
use crate::ids::ReplicaId;

/// Longest response head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Bytes read at once.
const READ_SIZE: usize = 16 * 1024;
/// Responses to other requests that are skipped while the due one is awaited.
const MAX_SURPLUS_RESPONSES: usize = 4;
/// Bytes of the bodies of such responses that are skipped.
const MAX_SURPLUS_BYTES: usize = 1024 * 1024;
/// An idle connection is dropped after this fraction of the peer's keep-alive time.
const KEEP_ALIVE_FRACTION: f64 = 0.8;
/// Longest idle time if the peer gives no keep-alive time.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Most idle connections kept per replica.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Why an exchange with a replica failed.
#[derive(Debug, Snafu)]
pub enum ExchangeError {
    /// No connection could be opened; nothing was sent.
    #[snafu(display("cannot connect to {peer}: {source}"))]
    Connect {
        /// Address of the replica.
        peer: SocketAddr,
        /// The I/O error.
        source: io::Error,
    },
    /// The connection failed after something was sent.
    #[snafu(display("connection to {peer} lost: {source}"))]
    Broken {
        /// Address of the replica.
        peer: SocketAddr,
        /// The I/O error.
        source: io::Error,
    },
    /// The replica closed the connection before its response was complete.
    #[snafu(display("{peer} closed the connection before its response was complete"))]
    Closed {
        /// Address of the replica.
        peer: SocketAddr,
    },
    /// The bytes received are not a response to the request.
    #[snafu(display("{peer} sent an invalid response: {reason}"))]
    Malformed {
        /// Address of the replica.
        peer: SocketAddr,
        /// What is wrong.
        reason: String,
    },
}

impl ExchangeError {
    /// Whether the connection was refused: no process listens at the address.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect { source, .. } if source.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Whether the connection was lost during a request that may have run.
    pub fn connection_lost(&self) -> bool {
        matches!(self, Self::Broken { .. } | Self::Closed { .. })
    }
}

/// Number of connections that this process has opened.
static OPENED: AtomicU64 = AtomicU64::new(0);

/// A connection to a replica.
#[derive(Debug)]
pub struct Connection {
    /// Unique within the process.
    number: u64,
    /// Number of requests that were sent on it.
    carried: u32,
    peer: SocketAddr,
    stream: TcpStream,
    opened: Instant,
    buffer: Vec<u8>,
    /// Start of the idle time, on the clock of [`clock::monotonic_ms`]: the replica's idle time
    /// also counts while this machine is suspended.
    idle_since_ms: u64,
    keep_alive: Duration,
    /// Error of a write. The kernel reports an error once, to the write or to the read.
    write_error: Option<io::Error>,
    /// Whether a request was sent whose response is not complete.
    is_exchanging: bool,
}

impl Drop for Connection {
    /// Resets the connection if its exchange is given up. After a close the kernel would go on
    /// sending the request to a replica that is silent, which would get it long after its deadline.
    fn drop(&mut self) {
        if self.is_exchanging {
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl Connection {
    /// Opens a connection.
    pub async fn open(peer: SocketAddr, limit: Duration) -> Result<Self, ExchangeError> {
        let late = |_| io::Error::from(io::ErrorKind::TimedOut);
        let opened = tokio::time::timeout(limit, TcpStream::connect(peer)).await;
        let stream = opened.map_err(late).and_then(|opened| opened);
        let stream = stream.map_err(|source| ExchangeError::Connect { peer, source })?;
        let _ = stream.set_nodelay(true);
        Ok(Self {
            number: OPENED.fetch_add(1, Ordering::Relaxed),
            carried: 0,
            peer,
            stream,
            opened: Instant::now(),
            buffer: Vec::new(),
            idle_since_ms: clock::monotonic_ms(),
            keep_alive: DEFAULT_KEEP_ALIVE,
            write_error: None,
            is_exchanging: false,
        })
    }

    /// Returns when it was opened.
    pub fn opened(&self) -> Instant {
        self.opened
    }

    /// Describes it before a request is sent on it.
    pub fn describe(&self) -> ConnectionUse {
        ConnectionUse {
            number: self.number,
            age: self.opened.elapsed(),
            carried: self.carried,
        }
    }

    /// Limits how long unacknowledged data may be in transit: dropping the connection resets it. If
    /// this process is suspended meanwhile, the kernel gives up by itself; without the limit it
    /// would retransmit for minutes. The kernel checks the limit only when it retransmits, first
    /// about 200 ms after the write, and counts from there: with all packets lost, it gave up 427
    /// ms after the write with a limit of 1 ms, and 859 ms after it with 425 ms.
    pub fn limit_send_time(&self, left: Duration) -> Result<(), ExchangeError> {
        // Zero would select the system's default.
        let left = left.max(Duration::from_millis(1));
        let socket = SockRef::from(&self.stream);
        let bounded = socket
            .set_tcp_user_timeout(Some(left))
            .and_then(|()| socket.set_linger(Some(Duration::ZERO)));
        let peer = self.peer;
        bounded.map_err(|source| ExchangeError::Connect { peer, source })
    }

    /// Whether the connection may carry another request: no unexpected bytes have arrived, the
    /// replica has not closed it, and it was not idle for too long.
    fn is_reusable(&self) -> bool {
        let mut probe = [0; 1];
        let quiet = match self.stream.try_read(&mut probe) {
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
            Ok(_) => false,
        };
        let idle_ms = clock::monotonic_ms().saturating_sub(self.idle_since_ms);
        quiet && self.buffer.is_empty() && Duration::from_millis(idle_ms) < self.keep_alive
    }

    /// Reads more bytes. Returns whether any came before the end of the connection.
    async fn fill(&mut self) -> Result<bool, ExchangeError> {
        self.buffer.reserve(READ_SIZE);
        let read = self.stream.read_buf(&mut self.buffer).await;
        self.conclude_read(read)
    }

    /// Returns whether bytes were read. An end is an error if the connection was reset.
    fn conclude_read(&mut self, read: io::Result<usize>) -> Result<bool, ExchangeError> {
        let peer = self.peer;
        let broken = |source| Err(ExchangeError::Broken { peer, source });
        match read {
            Ok(0) => {
                let reset = self.write_error.take().or_else(|| self.pending_error());
                reset.map_or(Ok(false), broken)
            }
            Ok(_) => Ok(true),
            Err(source) => broken(source),
        }
    }

    /// Returns the error that the kernel has not reported yet. A reset after the end of the
    /// connection is not reported to reads.
    fn pending_error(&self) -> Option<io::Error> {
        self.stream.take_error().unwrap_or_else(Some)
    }
}

/// A connection as it was when a request was sent on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionUse {
    /// Unique within the process.
    pub number: u64,
    /// Time since it was opened.
    pub age: Duration,
    /// Number of requests that were sent on it before.
    pub carried: u32,
}

/// Idle connections by replica.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: BTreeMap<ReplicaId, Vec<Connection>>,
}

impl ConnectionPool {
    /// Takes the most recently used connection that is still usable.
    pub fn take(&mut self, id: &ReplicaId) -> Option<Connection> {
        self.take_where(id, |_| true)
    }

    /// Like [`Self::take`], of the connections whose number `may_use` accepts.
    pub fn take_where(
        &mut self,
        id: &ReplicaId,
        may_use: impl Fn(u64) -> bool,
    ) -> Option<Connection> {
        let idle = self.idle.get_mut(id)?;
        loop {
            let newest = idle.iter().rposition(|kept| may_use(kept.number))?;
            let connection = idle.remove(newest);
            if connection.is_reusable() {
                return Some(connection);
            }
        }
    }

    /// Closes the idle connections to a replica that is draining.
    pub fn forget(&mut self, id: &ReplicaId) {
        self.idle.remove(id);
    }

    /// Keeps a connection for the next request.
    pub fn put(&mut self, id: &ReplicaId, mut connection: Connection) {
        connection.idle_since_ms = clock::monotonic_ms();
        let idle = self.idle.entry(id.clone()).or_default();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    /// Closes connections that are no longer usable, and those to replicas that `keep` rejects.
    pub fn prune(&mut self, keep: impl Fn(&ReplicaId) -> bool) {
        self.idle.retain(|id, _| keep(id));
        for idle in self.idle.values_mut() {
            idle.retain(Connection::is_reusable);
        }
    }
}

/// Called with the head of each response on a connection, including responses to other requests:
/// what a peer announces about itself holds in any case.
pub type HeadObserver<'a> = &'a dyn Fn(&ResponseHead);

/// How far a request was sent, kept up to date even if the exchange fails or is dropped.
#[derive(Debug, Default)]
pub struct SendProgress {
    /// Bytes that the kernel took.
    pub written: Cell<usize>,
    /// Responses to other requests that were skipped.
    pub skipped: Cell<u32>,
}

/// A request to be sent.
pub struct OutgoingRequest<'a> {
    /// Head, and the body unless it follows.
    pub bytes: &'a [u8],
    /// Body that follows the bytes.
    pub body: &'a [u8],
    /// The method.
    pub method: &'a str,
    /// Name and value of the header that matches a response to its request; the value is empty if
    /// the response to this request has no such header. `None` if the connection carries no other
    /// request.
    pub identity: Option<(&'a str, &'a str)>,
    /// Called with each head before it is processed.
    pub on_head: HeadObserver<'a>,
    /// Set as the request is sent.
    pub progress: &'a SendProgress,
}

impl OutgoingRequest<'_> {
    /// Number of bytes of head and body.
    pub fn size(&self) -> usize {
        self.bytes.len() + self.body.len()
    }

    /// Returns bytes that are still to be written; empty if there are none.
    fn left(&self) -> &[u8] {
        let written = self.progress.written.get();
        match written.checked_sub(self.bytes.len()) {
            Some(written) => &self.body[written..],
            None => &self.bytes[written..],
        }
    }
}

enum BodyState {
    Length(u64),
    Chunked(ChunkDecoder),
    Close,
    Done,
}

impl BodyState {
    fn new(framing: Framing) -> Self {
        match framing {
            Framing::Length(0) => Self::Done,
            Framing::Length(length) => Self::Length(length),
            Framing::Chunked => Self::Chunked(ChunkDecoder::default()),
            Framing::Close => Self::Close,
        }
    }
}

/// A request in progress on a connection, from the head of its response on.
pub struct Exchange {
    connection: Connection,
    body: BodyState,
    reusable: bool,
    /// Whether the body has a length or chunks, so that its end shows.
    delimited: bool,
    /// Whether the whole request was written.
    is_written: bool,
}

impl Exchange {
    /// Sends a request and reads the head of its response.
    pub async fn send(
        mut connection: Connection,
        request: &OutgoingRequest<'_>,
    ) -> Result<(Self, ResponseHead), ExchangeError> {
        connection.carried += 1;
        connection.is_exchanging = true;
        let progress = request.progress;
        let mut skipped = 0;
        for _ in 0..=MAX_SURPLUS_RESPONSES {
            let head = read_head(&mut connection, request).await?;
            (request.on_head)(&head);
            let is_written = progress.written.get() == request.size();
            let reusable = keeps_alive(&head) && is_written;
            if let Some(time) = keep_alive_time(&head) {
                connection.keep_alive = time;
            }
            let body = BodyState::new(head.framing);
            let mut exchange = Self {
                connection,
                body,
                reusable,
                delimited: head.framing != Framing::Close,
                is_written,
            };
            let belongs = match request.identity {
                Some((name, value)) => head::find(&head.headers, name).unwrap_or_default() == value,
                None => true,
            };
            match head.status {
                100..=199 => {}
                _ if belongs => return Ok((exchange, head)),
                _ if head.framing == Framing::Close => {
                    return Err(
                        exchange.malformed("it belongs to another request and has no length")
                    );
                }
                // A response to another request; its body is skipped.
                _ => {
                    progress.skipped.set(progress.skipped.get() + 1);
                    while let Some(bytes) = exchange.next().await? {
                        skipped += bytes.len();
                        if skipped > MAX_SURPLUS_BYTES {
                            return Err(exchange.malformed("it belongs to another request"));
                        }
                    }
                }
            }
            connection = exchange.connection;
        }
        Err(ExchangeError::Malformed {
            peer: connection.peer,
            reason: "too many responses to other requests".to_owned(),
        })
    }

    /// Returns the next bytes of the body, or `None` after its end. A body that ends with its
    /// connection has no end if the connection was reset, or if it was closed before the request was
    /// written, as the close becomes a reset once the rest arrives.
    pub async fn next(&mut self) -> Result<Option<Vec<u8>>, ExchangeError> {
        loop {
            if let Some(bytes) = self.decode()? {
                return Ok(Some(bytes));
            }
            if matches!(self.body, BodyState::Done) {
                return Ok(None);
            }
            if !self.connection.fill().await? {
                return match self.body {
                    BodyState::Close if self.is_written => {
                        self.body = BodyState::Done;
                        self.reusable = false;
                        Ok(None)
                    }
                    _ => Err(ExchangeError::Closed {
                        peer: self.connection.peer,
                    }),
                };
            }
        }
    }

    /// Returns when its connection was opened.
    pub fn opened(&self) -> Instant {
        self.connection.opened
    }

    /// Whether the body tells by itself where it ends. One that ends with its connection may have
    /// been cut off.
    pub fn is_delimited(&self) -> bool {
        self.delimited
    }

    /// Closes the connection gracefully once the complete response has arrived, which proves that
    /// the request did.
    pub fn close(mut self) {
        self.connection.is_exchanging = false;
        // If this fails, the connection is reset, which the peer tolerates as well.
        let _ = SockRef::from(&self.connection.stream).set_linger(None);
    }

    /// Returns the connection if it may carry another request.
    pub fn finish(mut self) -> Option<Connection> {
        let done = matches!(self.body, BodyState::Done);
        self.connection.is_exchanging = !done;
        let clean = self.connection.buffer.is_empty();
        (done && clean && self.reusable).then_some(self.connection)
    }

    fn malformed(&self, reason: &str) -> ExchangeError {
        ExchangeError::Malformed {
            peer: self.connection.peer,
            reason: reason.to_owned(),
        }
    }

    fn decode(&mut self) -> Result<Option<Vec<u8>>, ExchangeError> {
        let buffer = &mut self.connection.buffer;
        if buffer.is_empty() {
            return Ok(None);
        }
        match &mut self.body {
            BodyState::Done => Ok(None),
            BodyState::Close => Ok(Some(std::mem::take(buffer))),
            BodyState::Length(left) => {
                let len = buffer
                    .len()
                    .min(usize::try_from(*left).unwrap_or(usize::MAX));
                let rest = buffer.split_off(len);
                let bytes = std::mem::replace(buffer, rest);
                *left -= len as u64;
                if *left == 0 {
                    self.body = BodyState::Done;
                }
                Ok(Some(bytes))
            }
            BodyState::Chunked(decoder) => {
                let mut bytes = Vec::new();
                let decoded = decoder.decode(buffer, &mut bytes);
                let done = decoder.is_done();
                let Ok(taken) = decoded else {
                    return Err(self.malformed("malformed chunked body"));
                };
                buffer.drain(..taken);
                if done {
                    self.body = BodyState::Done;
                }
                Ok((!bytes.is_empty()).then_some(bytes))
            }
        }
    }
}

fn keeps_alive(head: &ResponseHead) -> bool {
    head.is_http11 && !head::names_token(&head.headers, "connection", "close")
}

/// How long the connection may be idle, by the replica's `Keep-Alive` header.
fn keep_alive_time(head: &ResponseHead) -> Option<Duration> {
    let text = head::find(&head.headers, "keep-alive")?;
    let mut parts = text.split(',').map(str::trim);
    let seconds = parts.find_map(|part| part.strip_prefix("timeout="))?;
    let seconds: f64 = seconds.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds * KEEP_ALIVE_FRACTION).ok()
}

/// Writes the rest of the request and reads until a head is complete. The response may start before
/// the request is fully written.
async fn read_head(
    connection: &mut Connection,
    request: &OutgoingRequest<'_>,
) -> Result<ResponseHead, ExchangeError> {
    let written = &request.progress.written;
    let peer = connection.peer;
    loop {
        let parsed = head::parse_response(&connection.buffer, request.method);
        match parsed {
            Ok(Some((head, len))) => {
                connection.buffer.drain(..len);
                return Ok(head);
            }
            Ok(None) if connection.buffer.len() <= MAX_HEAD_BYTES => {}
            Ok(None) => {
                let reason = "head too long".to_owned();
                return Err(ExchangeError::Malformed { peer, reason });
            }
            Err(error) => {
                let reason = error.to_string();
                return Err(ExchangeError::Malformed { peer, reason });
            }
        }
        let left = request.left();
        connection.buffer.reserve(READ_SIZE);
        let may_write = connection.write_error.is_none() && !left.is_empty();
        let (mut reader, mut writer) = connection.stream.split();
        let read = tokio::select! {
            sent = writer.write(left), if may_write => {
                match sent {
                    Ok(count) => written.set(written.get() + count),
                    // The response may have come before the replica closed the connection.
                    Err(error) => connection.write_error = Some(error),
                }
                continue;
            }
            read = reader.read_buf(&mut connection.buffer) => read,
        };
        if !connection.conclude_read(read)? {
            return Err(ExchangeError::Closed { peer });
        }
    }
}
