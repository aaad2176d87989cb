//! Connections of clients: reads complete requests, has each one served, and detects when the
//! client disconnects.

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::{Duration, Instant};

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use crate::clock;
use crate::forward::chunked::ChunkDecoder;
use crate::forward::client_bytes::{ByteHold, ClientBytes};
use crate::forward::client_slots::{ClientSlot, SlotState};
use crate::forward::daemon::EntryCore;
#[cfg(doc)]
use crate::forward::daemon::ForwardSettings;
use crate::forward::head::{self, Framing, HeadError, RequestHead};
use crate::forward::own_answer::{self, AnsweredRequest, OwnStatus};
use crate::forward::request;
use crate::routing::run_proof::NotRunProof;
use crate::table::configuration::ClientLimits;

/// Bytes read at once.
const READ_SIZE: usize = 16 * 1024;
/// Bytes of later requests that are read while one is being served.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;
/// Longest body that is outside of the budget for clients' bytes: ordinary requests are read even if
/// large ones have exhausted it.
const FREE_BODY_BYTES: usize = 16 * 1024;
/// Bytes by which the room for a larger body grows: half of it, between these bounds.
const MIN_GROWTH_BYTES: usize = 32 * 1024;
const MAX_GROWTH_BYTES: usize = 128 * 1024;
/// Retry time of a request for whose body there was no room.
const ROOM_RETRY: Duration = Duration::from_millis(1_000);
/// How long the bytes of a refused client are read before its connection is closed, so that the
/// client can read the refusal.
const LINGER_TIME: Duration = Duration::from_millis(300);

/// A complete request.
#[derive(Debug)]
pub struct ClientRequest {
    /// The head.
    pub head: RequestHead,
    /// The body.
    pub body: Vec<u8>,
    /// Its bytes in the budget; `None` for a small body.
    pub hold: Option<ByteHold>,
    /// When the head was complete.
    pub since: Instant,
    /// The same on the clock of [`clock::monotonic_ms`], which the deadline is based on.
    pub since_ms: u64,
}

/// Writes responses to one client.
pub struct ClientWriter {
    stream: OwnedWriteHalf,
    /// Whether bytes of the current response were sent.
    begun: bool,
    /// Whether a close ends a stream, as the client speaks HTTP/1.0 and reads no chunks.
    ends_by_close: bool,
    /// Longest time in which the client may accept no bytes.
    stall: Duration,
}

impl ClientWriter {
    /// Whether bytes of the current response were sent.
    pub fn has_begun(&self) -> bool {
        self.begun
    }

    /// Writes bytes of the current response. No more of the response is read meanwhile, so that at
    /// most one piece is buffered for a slow client. A client that accepts nothing for
    /// [`ForwardSettings::stall_ms`] counts as disconnected, as its replica would have to buffer
    /// the rest.
    pub async fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.begun = true;
        let mut rest = bytes;
        while !rest.is_empty() {
            let written = tokio::time::timeout(self.stall, self.stream.write(rest));
            match written.await {
                Ok(Ok(0)) => return Err(ErrorKind::WriteZero.into()),
                Ok(Ok(count)) => rest = &rest[count..],
                Ok(Err(error)) => return Err(error),
                Err(_) => return Err(ErrorKind::TimedOut.into()),
            }
        }
        Ok(())
    }

    /// Ends the connection so that its last response does not look complete.
    fn cut(self) {
        if self.ends_by_close {
            let _ = SockRef::from(self.stream.as_ref()).set_linger(Some(Duration::ZERO));
            // Dropping this half would close it before the reset.
            self.stream.forget();
        }
    }
}

/// What happens to the connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterResponse {
    /// It may carry another request.
    Keep,
    /// It is closed gracefully.
    Close,
    /// It is cut, so that the response does not look complete.
    Cut,
}

enum ReadError {
    /// The client disconnected, or was idle for too long.
    Disconnected,
    /// The entry is stopping, and no request has arrived.
    Idle,
    /// The request is refused, and nothing more is read.
    Refused(UnreadRequest),
}

/// A request that is refused before it was read to its end.
#[derive(Debug)]
pub(super) struct UnreadRequest {
    /// Status of the response.
    pub(super) status: u16,
    /// Reason shown to the client.
    pub(super) reason: &'static str,
    /// Its method; empty if its head was not read.
    pub(super) method: String,
    /// Its id, if its head was read.
    pub(super) id: Option<String>,
}

/// How far the current request was read.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadProgress {
    /// Bytes received, with the framing.
    pub(super) bytes: usize,
    /// When its first byte arrived.
    pub(super) since: Instant,
    /// Requests that were served on the connection before.
    pub(super) served: u32,
}

/// Refuses a request whose head is not known.
fn refused(status: u16, reason: &'static str) -> ReadError {
    ReadError::Refused(UnreadRequest {
        status,
        reason,
        method: String::new(),
        id: None,
    })
}

/// Refuses a request that is not read by the time at which a stopping entry gives its last answers.
fn entry_stops() -> ReadError {
    refused(503, "this entry stops before the request is read")
}

fn no_room() -> ReadError {
    refused(503, "no room for the body")
}

/// Makes room for `needed` bytes of a body of up to `longest` bytes, as far as the budget has any.
async fn make_room(
    budget: &Rc<ClientBytes>,
    hold: &mut Option<ByteHold>,
    body: &mut Vec<u8>,
    needed: usize,
    longest: usize,
) -> Result<(), ReadError> {
    let held = body.capacity();
    if needed <= held {
        return Ok(());
    }
    let growth = (held / 2).clamp(MIN_GROWTH_BYTES, MAX_GROWTH_BYTES);
    let capacity = (held + growth).min(longest).max(needed);
    let hold = hold.get_or_insert_with(|| budget.begin(Instant::now()));
    let grown = hold.grow(capacity - held).await;
    grown.map_err(|_| no_room())?;
    body.reserve_exact(capacity - body.len());
    Ok(())
}

struct ClientReader {
    stream: OwnedReadHalf,
    buffer: Vec<u8>,
    /// Bytes of the request that is being read in the budget.
    hold: Option<ByteHold>,
    progress: ReadProgress,
}

impl ClientReader {
    async fn fill(&mut self) -> Result<(), ReadError> {
        self.buffer.reserve(READ_SIZE);
        self.read().await
    }

    /// Reads what the buffer has room for.
    async fn read(&mut self) -> Result<(), ReadError> {
        let read = self.stream.read_buf(&mut self.buffer);
        let read = match &self.hold {
            None => read.await,
            Some(hold) => tokio::select! {
                biased;
                () = hold.yielded() => return Err(no_room()),
                read = read => read,
            },
        };
        match read {
            Ok(0) | Err(_) => Err(ReadError::Disconnected),
            Ok(count) => {
                self.progress.bytes += count;
                Ok(())
            }
        }
    }

    /// Begins the next request, of which bytes may have been received already.
    fn begin(&mut self) {
        self.progress.bytes = self.buffer.len();
        self.progress.since = Instant::now();
    }

    /// Frees what was read of a request that is refused.
    fn discard(&mut self) {
        self.buffer = Vec::new();
        self.hold = None;
    }

    /// Returns when the client has disconnected.
    async fn disconnected(&mut self) {
        loop {
            if self.buffer.len() > MAX_PIPELINED_BYTES {
                return std::future::pending().await;
            }
            if self.fill().await.is_err() {
                return;
            }
        }
    }

    async fn read_head(
        &mut self,
        limits: &ClientLimits,
        core: &EntryCore,
        first_byte: &dyn Fn(),
    ) -> Result<RequestHead, ReadError> {
        let idle = Duration::from_millis(limits.idle_ms);
        if self.buffer.is_empty() {
            let served = self.progress.served > 0;
            tokio::select! {
                // A request that has already arrived is served before the connection is closed.
                biased;
                first = tokio::time::timeout(idle, self.fill()) => {
                    first.map_err(|_| ReadError::Disconnected)??;
                }
                () = core.idle_close_due(served) => return Err(ReadError::Idle),
            }
            self.progress.since = Instant::now();
        }
        first_byte();
        let complete = async {
            loop {
                match head::parse_request(&self.buffer) {
                    Ok(Some((head, len))) => {
                        self.buffer.drain(..len);
                        return Ok(head);
                    }
                    Ok(None) if self.buffer.len() > limits.header_bytes => {
                        return Err(refused(431, "the head is too long"));
                    }
                    Ok(None) => self.fill().await?,
                    Err(HeadError::TooMany) => {
                        return Err(refused(431, "the head has too many fields"));
                    }
                    Err(HeadError::Malformed) => {
                        return Err(refused(400, "the head is malformed"));
                    }
                    Err(HeadError::Framing) => {
                        return Err(refused(400, "the body's length is not clear"));
                    }
                }
            }
        };
        let limit = Duration::from_millis(limits.header_ms);
        let timed_out = refused(408, "the head took too long");
        tokio::select! {
            biased;
            head = tokio::time::timeout(limit, complete) => head.map_err(|_| timed_out)?,
            () = core.last_answers_due() => Err(entry_stops()),
        }
    }

    async fn read_body(
        &mut self,
        framing: Framing,
        limits: &ClientLimits,
        budget: &Rc<ClientBytes>,
    ) -> Result<Vec<u8>, ReadError> {
        let too_long = || refused(413, "the body is too long");
        match framing {
            Framing::Length(length) if length > limits.body_bytes as u64 => Err(too_long()),
            Framing::Length(length) => {
                let length = length as usize;
                while self.buffer.len() < length {
                    if length <= FREE_BODY_BYTES {
                        self.fill().await?;
                        continue;
                    }
                    let (buffer, hold) = (&mut self.buffer, &mut self.hold);
                    let needed = buffer.len() + 1;
                    make_room(budget, hold, buffer, needed, length).await?;
                    self.read().await?;
                }
                let rest = self.buffer.split_off(length);
                Ok(std::mem::replace(&mut self.buffer, rest))
            }
            Framing::Chunked => {
                let mut decoder = ChunkDecoder::default();
                let mut body = Vec::new();
                loop {
                    // The decoded bytes are no more than the received ones.
                    let needed = body.len() + self.buffer.len();
                    if needed > FREE_BODY_BYTES {
                        let longest = limits.body_bytes;
                        make_room(budget, &mut self.hold, &mut body, needed, longest).await?;
                    }
                    let taken = decoder.decode(&self.buffer, &mut body);
                    let malformed = |_| refused(400, "the chunks are malformed");
                    let taken = taken.map_err(malformed)?;
                    self.buffer.drain(..taken);
                    match decoder.is_done() {
                        true => return Ok(body),
                        false if body.len() > limits.body_bytes => return Err(too_long()),
                        false => self.fill().await?,
                    }
                }
            }
            Framing::Close => Err(refused(400, "the body's length is not clear")),
        }
    }

    /// Reads and discards what the client still sends, so that it can read the refusal.
    async fn linger(&mut self) {
        self.discard();
        let drain = async {
            while self.fill().await.is_ok() {
                self.buffer.clear();
            }
        };
        let _ = tokio::time::timeout(LINGER_TIME, drain).await;
    }
}

/// Serves one client connection until it ends.
pub async fn serve(core: Rc<EntryCore>, stream: TcpStream, slot: ClientSlot) {
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let mut reader = ClientReader {
        stream: read,
        buffer: Vec::new(),
        hold: None,
        progress: ReadProgress {
            bytes: 0,
            since: Instant::now(),
            served: 0,
        },
    };
    let mut writer = ClientWriter {
        stream: write,
        begun: false,
        ends_by_close: false,
        stall: core.stall_time(),
    };
    loop {
        let after = serve_one(&core, &mut reader, &mut writer, &slot).await;
        slot.set(SlotState::Idle);
        match after {
            AfterResponse::Keep => reader.progress.served += 1,
            AfterResponse::Close => {
                let _ = writer.stream.shutdown().await;
                reader.linger().await;
                return;
            }
            AfterResponse::Cut => return writer.cut(),
        }
    }
}

async fn serve_one(
    core: &Rc<EntryCore>,
    reader: &mut ClientReader,
    writer: &mut ClientWriter,
    slot: &ClientSlot,
) -> AfterResponse {
    writer.begun = false;
    reader.begin();
    let limits = core.limits();
    let busy = core.busy_guard();
    let first_byte = || {
        busy.mark();
        slot.set(SlotState::Reading);
    };
    let request = match read_request(core, reader, writer, &limits, &first_byte).await {
        Ok(request) => request,
        Err(ReadError::Disconnected) => return AfterResponse::Cut,
        Err(ReadError::Idle) => return AfterResponse::Close,
        Err(ReadError::Refused(unread)) => {
            reader.discard();
            core.log_unread(&unread, &reader.progress);
            let own = OwnStatus::not_run(unread.status, NotRunProof::unread());
            let answered = AnsweredRequest {
                method: &unread.method,
                id: unread.id.as_deref(),
            };
            // While this entry stops, another one takes it at once.
            let retry = match unread.status {
                503 if core.is_stopping() => Some(Duration::ZERO),
                503 => Some(ROOM_RETRY),
                _ => None,
            };
            let answer = own_answer::own_answer(core, own, unread.reason, answered, retry, true);
            let _ = writer.write(&answer).await;
            return AfterResponse::Close;
        }
    };
    slot.set(SlotState::Serving);
    writer.ends_by_close = !request.head.is_http11;
    let answered = request::answer(core, &request, writer);
    tokio::select! {
        after = answered => after,
        // Dropping the response closes the connection to the replica.
        () = reader.disconnected() => AfterResponse::Cut,
        () = core.cut_due() => AfterResponse::Cut,
    }
}

async fn read_request(
    core: &EntryCore,
    reader: &mut ClientReader,
    writer: &mut ClientWriter,
    limits: &ClientLimits,
    first_byte: &dyn Fn(),
) -> Result<ClientRequest, ReadError> {
    let head = reader.read_head(limits, core, first_byte).await?;
    let (since, since_ms) = (Instant::now(), clock::monotonic_ms());
    // HTTP/1.0 has no interim responses: its clients would take one for the answer.
    let expects = head.is_http11 && head::names_token(&head.headers, "expect", "100-continue");
    if expects && reader.buffer.is_empty() && head.framing != Framing::Length(0) {
        let sent = writer.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        sent.map_err(|_| ReadError::Disconnected)?;
        writer.begun = false;
    }
    let limit = Duration::from_millis(limits.idle_ms);
    let body = reader.read_body(head.framing, limits, &core.client_bytes);
    let timed_out = |_| Err(refused(408, "the body took too long"));
    let body = tokio::select! {
        biased;
        body = tokio::time::timeout(limit, body) => body.unwrap_or_else(timed_out),
        () = core.last_answers_due() => Err(entry_stops()),
    };
    let body = body.map_err(|error| match error {
        ReadError::Refused(unread) => {
            let id = head::find(&head.headers, core.names.request_id).map(str::to_owned);
            let method = head.method.clone();
            ReadError::Refused(UnreadRequest {
                method,
                id,
                ..unread
            })
        }
        other => other,
    })?;
    let hold = reader.hold.take();
    if let Some(hold) = &hold {
        hold.end_reading();
    }
    Ok(ClientRequest {
        head,
        body,
        hold,
        since,
        since_ms,
    })
}
