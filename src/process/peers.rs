//! Connections between the system's own processes: framing, the handshake by which both sides
//! prove that they know the shared secret, and clients that reconnect.

use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use futures::{SinkExt, StreamExt};
use hmac::{Hmac, Mac};
use rand::Rng;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use snafu::Snafu;
use tarpc::client::RpcError;
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::bytes::Bytes;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::process::call_trace::CallTrace;
use crate::process::transfer::{self, PIECE_TIMEOUT, PieceError, TransferId, ValuePiece};
use crate::process::wire::{AgentWireClient, ControlRefusal, ControlWireClient, PROTOCOL};

/// Maximum length of a frame during the handshake.
const MAX_HANDSHAKE_FRAME_BYTES: usize = 4096;
/// Maximum length of a frame after the handshake: a snapshot of the largest site fits.
const MAX_FRAME_BYTES: usize = 64 << 20;
/// Timeout of the handshake, with the connection setup on the client's side.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout of the connection setup. A host without power does not respond, and a lost first
/// packet is sent again only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time without a response after which another connection is started: far above a round trip
/// within a region, and a fifth of [`CONNECT_TIMEOUT`].
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Minimum interval between two attempts to reach the same peer.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of connections in their handshake.
const MAX_HANDSHAKES: usize = 256;

type Frames = Framed<TcpStream, LengthDelimitedCodec>;
/// Framed, authenticated connection that carries calls.
pub type PeerTransport<In, Out> =
    tarpc::serde_transport::Transport<TcpStream, In, Out, Bincode<In, Out>>;

/// Reason why a peer could not be reached or authenticated, or did not do what it was called
/// for.
#[derive(Debug, Snafu)]
pub enum PeerError {
    /// The connection failed.
    #[snafu(display("cannot {step} peer {peer}: {source}"))]
    Io {
        /// The operation.
        step: &'static str,
        /// Address of the peer.
        peer: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The peer has another protocol version.
    #[snafu(display("peer {peer} speaks protocol {theirs}, this process {PROTOCOL}"))]
    Version {
        /// Address of the peer.
        peer: String,
        /// Protocol version of the peer.
        theirs: u32,
    },
    /// The peer does not know the secret.
    #[snafu(display("peer {peer} failed the proof of the shared secret"))]
    Proof {
        /// Address of the peer.
        peer: String,
    },
    /// The peer closed the connection or did not respond during the handshake, or was
    /// unreachable a moment ago.
    #[snafu(display("peer {peer} did not finish the handshake"))]
    Handshake {
        /// Address of the peer.
        peer: String,
    },
    /// A call failed.
    #[snafu(display("call {step} to peer {peer} failed: {source}"))]
    Call {
        /// Name of the call.
        step: &'static str,
        /// Address of the peer.
        peer: String,
        /// The cause.
        source: RpcError,
    },
    /// The peer refused a piece of a large value.
    #[snafu(display("peer {peer} refused a piece of a large value: {source}"))]
    Transfer {
        /// Address of the peer.
        peer: String,
        /// The cause.
        source: PieceError,
    },
    /// No control host accepted a call.
    #[snafu(display("call {step} to control failed at {peer}: {refusal:?}"))]
    Refused {
        /// Name of the call.
        step: &'static str,
        /// Address of the last host that was called.
        peer: String,
        /// Its refusal.
        refusal: ControlRefusal,
    },
}

impl PeerError {
    /// Returns the reason without the peer and the call.
    pub(super) fn reason(&self) -> String {
        match self {
            Self::Io { step, source, .. } => format!("cannot {step}: {}", source.kind()),
            Self::Version { theirs, .. } => format!("protocol {theirs}"),
            Self::Proof { .. } => "failed proof".to_owned(),
            Self::Handshake { .. } => "no handshake".to_owned(),
            Self::Call { source, .. } => source.to_string(),
            Self::Transfer { source, .. } => source.to_string(),
            Self::Refused { refusal, .. } => format!("{refusal:?}"),
        }
    }
}

/// Secret that all processes of a site share. Its text is never shown.
#[derive(Clone)]
pub struct SiteSecret(Arc<[u8]>);

impl SiteSecret {
    /// Creates the secret from its text in the settings.
    pub fn new(text: &str) -> Self {
        Self(text.as_bytes().into())
    }

    fn prove(&self, side: &str, nonces: [&[u8; 32]; 2]) -> [u8; 32] {
        self.mac(side, nonces).finalize().into_bytes().into()
    }

    fn mac<const N: usize>(&self, side: &str, nonces: [&[u8; 32]; N]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("any length is a key");
        mac.update(side.as_bytes());
        for nonce in nonces {
            mac.update(nonce);
        }
        mac
    }

    /// Verifies a proof in constant time.
    fn check(&self, side: &str, nonces: [&[u8; 32]; 2], proof: &[u8; 32]) -> bool {
        self.mac(side, nonces).verify_slice(proof).is_ok()
    }

    /// Computes the authentication code of a datagram.
    pub(super) fn tag(&self, bytes: &[u8]) -> [u8; 32] {
        self.datagram_mac(bytes).finalize().into_bytes().into()
    }

    /// Compares a truncated authentication code of a datagram in constant time.
    pub(super) fn matches_tag(&self, bytes: &[u8], tag: &[u8]) -> bool {
        self.datagram_mac(bytes).verify_truncated_left(tag).is_ok()
    }

    fn datagram_mac(&self, bytes: &[u8]) -> Hmac<Sha256> {
        self.mac("datagram", []).chain_update(bytes)
    }
}

impl std::fmt::Debug for SiteSecret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SiteSecret(..)")
    }
}

#[derive(Serialize, Deserialize)]
struct Challenge {
    protocol: u32,
    nonce: [u8; 32],
}

#[derive(Serialize, Deserialize)]
struct Proof {
    protocol: u32,
    nonce: [u8; 32],
    proof: [u8; 32],
}

#[derive(Serialize, Deserialize)]
struct Welcome {
    proof: [u8; 32],
}

fn codec(max: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(max)
        .new_codec()
}

async fn send<T: Serialize>(frames: &mut Frames, peer: &str, value: &T) -> Result<(), PeerError> {
    let bytes = bincode::serialize(value).expect("handshake messages encode into memory");
    frames
        .send(Bytes::from(bytes))
        .await
        .map_err(|source| PeerError::Io {
            step: "greet",
            peer: peer.to_owned(),
            source,
        })
}

async fn receive<T: DeserializeOwned>(frames: &mut Frames, peer: &str) -> Result<T, PeerError> {
    let lost = || PeerError::Handshake {
        peer: peer.to_owned(),
    };
    let frame = frames.next().await.ok_or_else(lost)?.map_err(|_| lost())?;
    bincode::deserialize(&frame).map_err(|_| lost())
}

fn check_version(peer: &str, theirs: u32) -> Result<(), PeerError> {
    match theirs {
        PROTOCOL => Ok(()),
        theirs => Err(PeerError::Version {
            peer: peer.to_owned(),
            theirs,
        }),
    }
}

async fn server_handshake(
    stream: TcpStream,
    peer: &str,
    secret: &SiteSecret,
) -> Result<Frames, PeerError> {
    let mut frames = Framed::new(stream, codec(MAX_HANDSHAKE_FRAME_BYTES));
    let nonce: [u8; 32] = rand::rng().random();
    let challenge = Challenge {
        protocol: PROTOCOL,
        nonce,
    };
    send(&mut frames, peer, &challenge).await?;
    let answer: Proof = receive(&mut frames, peer).await?;
    check_version(peer, answer.protocol)?;
    if !secret.check("client", [&nonce, &answer.nonce], &answer.proof) {
        return Err(PeerError::Proof {
            peer: peer.to_owned(),
        });
    }
    let proof = secret.prove("server", [&nonce, &answer.nonce]);
    send(&mut frames, peer, &Welcome { proof }).await?;
    Ok(frames)
}

async fn client_handshake(
    stream: TcpStream,
    peer: &str,
    secret: &SiteSecret,
) -> Result<Frames, PeerError> {
    let mut frames = Framed::new(stream, codec(MAX_HANDSHAKE_FRAME_BYTES));
    let challenge: Challenge = receive(&mut frames, peer).await?;
    check_version(peer, challenge.protocol)?;
    let nonce: [u8; 32] = rand::rng().random();
    let answer = Proof {
        protocol: PROTOCOL,
        nonce,
        proof: secret.prove("client", [&challenge.nonce, &nonce]),
    };
    send(&mut frames, peer, &answer).await?;
    let welcome: Welcome = receive(&mut frames, peer).await?;
    match secret.check("server", [&challenge.nonce, &nonce], &welcome.proof) {
        true => Ok(frames),
        false => Err(PeerError::Proof {
            peer: peer.to_owned(),
        }),
    }
}

async fn with_handshake_timeout<T>(
    peer: &str,
    handshake: impl Future<Output = Result<T, PeerError>>,
) -> Result<T, PeerError> {
    let late = |_| PeerError::Handshake {
        peer: peer.to_owned(),
    };
    tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake)
        .await
        .map_err(late)?
}

fn transport<In, Out>(frames: Frames) -> PeerTransport<In, Out>
where
    In: DeserializeOwned,
    Out: Serialize,
{
    // Nothing can be buffered here: the peer sends more only after the handshake.
    let framed = Framed::new(frames.into_inner(), codec(MAX_FRAME_BYTES));
    tarpc::serde_transport::new(framed, Bincode::default())
}

/// Connects to a peer and authenticates it.
pub async fn dial<In, Out>(
    address: &str,
    secret: &SiteSecret,
) -> Result<PeerTransport<In, Out>, PeerError>
where
    In: DeserializeOwned,
    Out: Serialize,
{
    let connect = async {
        let stream = connect(address).await;
        let stream = stream.and_then(|stream| {
            stream.set_nodelay(true)?;
            Ok(stream)
        });
        let stream = stream.map_err(|source| PeerError::Io {
            step: "connect to",
            peer: address.to_owned(),
            source,
        })?;
        client_handshake(stream, address, secret).await
    };
    Ok(transport(with_handshake_timeout(address, connect).await?))
}

/// Opens a connection. While there is no response, further attempts are started: the first
/// packet to a host that is just coming back is lost, and is sent again only after a second.
async fn connect(address: &str) -> io::Result<TcpStream> {
    let mut pending = FuturesUnordered::new();
    let tries = async {
        pending.push(TcpStream::connect(address));
        loop {
            match tokio::time::timeout(CONNECT_RETRY_DELAY, pending.next()).await {
                Ok(Some(connected)) => return connected,
                Ok(None) | Err(_) => pending.push(TcpStream::connect(address)),
            }
        }
    };
    let late = |_| io::Error::from(io::ErrorKind::TimedOut);
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, tries).await;
    connected.map_err(late).and_then(|connected| connected)
}

/// Accepts peers in an endless loop; `serve` gets the connection of each peer that proved the
/// secret.
pub async fn listen<In, Out>(
    listener: TcpListener,
    secret: SiteSecret,
    serve: impl Fn(PeerTransport<In, Out>) + Clone + Send + 'static,
) where
    In: DeserializeOwned + Send + 'static,
    Out: Serialize + Send + 'static,
{
    let handshake = Arc::new(tokio::sync::Semaphore::new(MAX_HANDSHAKES));
    loop {
        let Ok(permit) = handshake.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, address)) = listener.accept().await else {
            // Most likely there are no free file descriptors: wait until some connections
            // close.
            tokio::time::sleep(RECONNECT_DELAY).await;
            continue;
        };
        let (secret, serve) = (secret.clone(), serve.clone());
        tokio::spawn(async move {
            let peer = address.to_string();
            let _ = stream.set_nodelay(true);
            let authenticated =
                with_handshake_timeout(&peer, server_handshake(stream, &peer, &secret)).await;
            drop(permit);
            match authenticated {
                Ok(frames) => serve(transport(frames)),
                Err(error) => tracing::warn!(%peer, %error, "peer rejected in the handshake"),
            }
        });
    }
}

/// Returns the context of a call whose reply must arrive within `time`.
pub fn within(time: Duration) -> tarpc::context::Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + time;
    context
}

/// Function that connects a client of one kind.
pub type DialClient<C> = fn(String, SiteSecret) -> BoxFuture<'static, Result<C, PeerError>>;

/// Connects a client of a control host.
pub fn dial_control(
    address: String,
    secret: SiteSecret,
) -> BoxFuture<'static, Result<ControlWireClient, PeerError>> {
    Box::pin(async move {
        let transport = dial(&address, &secret).await?;
        Ok(ControlWireClient::new(Default::default(), transport).spawn())
    })
}

/// Locks a value even if an earlier holder panicked: every change of these values is a single
/// step.
pub(crate) fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(|broken| broken.into_inner())
}

/// Connects a client of an agent.
pub fn dial_agent(
    address: String,
    secret: SiteSecret,
) -> BoxFuture<'static, Result<AgentWireClient, PeerError>> {
    Box::pin(async move {
        let transport = dial(&address, &secret).await?;
        Ok(AgentWireClient::new(Default::default(), transport).spawn())
    })
}

enum PeerSlot<C> {
    Open(C),
    Broken(Instant),
}

/// Clients of one kind by address. Each connects at its first use, and again after its
/// connection failed.
pub struct PeerPool<C> {
    secret: SiteSecret,
    dial: DialClient<C>,
    slots: Mutex<BTreeMap<String, PeerSlot<C>>>,
}

impl<C: Clone> PeerPool<C> {
    /// Creates a pool without connections.
    pub fn new(secret: SiteSecret, dial: DialClient<C>) -> Self {
        Self {
            secret,
            dial,
            slots: Mutex::new(BTreeMap::new()),
        }
    }

    /// Makes one call; `step` names it in errors.
    pub async fn call<T, F>(
        &self,
        address: &str,
        step: &'static str,
        make: impl FnOnce(C) -> F,
    ) -> Result<T, PeerError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let client = self.client(address).await?;
        let answer = make(client).await;
        if matches!(
            answer,
            // A partitioned peer does not respond: the next call opens a new connection.
            Err(RpcError::Shutdown
                | RpcError::Channel(_)
                | RpcError::Send(_)
                | RpcError::DeadlineExceeded)
        ) {
            self.put(address, PeerSlot::Broken(Instant::now()));
        }
        answer.map_err(|source| PeerError::Call {
            step,
            peer: address.to_owned(),
            source,
        })
    }

    /// Drops the connections to all addresses for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        self.lock().retain(|address, _| keep(address));
    }

    async fn client(&self, address: &str) -> Result<C, PeerError> {
        let broken = match self.lock().get(address) {
            Some(PeerSlot::Open(client)) => return Ok(client.clone()),
            Some(PeerSlot::Broken(at)) => at.elapsed() < RECONNECT_DELAY,
            None => false,
        };
        if broken {
            return Err(PeerError::Handshake {
                peer: address.to_owned(),
            });
        }
        let dialled = (self.dial)(address.to_owned(), self.secret.clone()).await;
        match &dialled {
            Ok(client) => self.put(address, PeerSlot::Open(client.clone())),
            Err(_) => self.put(address, PeerSlot::Broken(Instant::now())),
        }
        dialled
    }

    fn put(&self, address: &str, slot: PeerSlot<C>) {
        self.lock().insert(address.to_owned(), slot);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<String, PeerSlot<C>>> {
        self.slots
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }
}

impl PeerPool<ControlWireClient> {
    /// Sends a value in pieces, which the control host keeps until a call refers to them.
    pub async fn send_value(
        &self,
        address: &str,
        parts: &[Bytes],
    ) -> Result<TransferId, PeerError> {
        let transfer = TransferId(rand::rng().random());
        let send = async |piece: ValuePiece| {
            let context = within(PIECE_TIMEOUT);
            let call =
                |client: ControlWireClient| async move { client.transfer(context, piece).await };
            let stored = self.call(address, "transfer", call).await?;
            stored.map_err(|source| PeerError::Transfer {
                peer: address.to_owned(),
                source,
            })
        };
        transfer::send_pieces(transfer::split(transfer, parts), send).await?;
        Ok(transfer)
    }
}

/// Sends calls to the control hosts: to the leader for decisions, to any of them for other
/// calls.
pub struct ControlLink {
    pool: PeerPool<ControlWireClient>,
    addresses: Mutex<Vec<String>>,
    leader: Mutex<usize>,
    /// Host that last replied as one that keeps the log.
    confirmed: Mutex<Option<String>>,
}

/// Timeout of one call to one control host.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause between rounds over all control hosts.
const ROUND_PAUSE: Duration = Duration::from_millis(50);

impl ControlLink {
    /// Creates a link to the control hosts of a site.
    pub fn new(secret: SiteSecret, addresses: Vec<String>) -> Self {
        Self {
            pool: PeerPool::new(secret, dial_control),
            addresses: Mutex::new(addresses),
            leader: Mutex::new(0),
            confirmed: Mutex::default(),
        }
    }

    /// Returns the number of known control hosts.
    pub fn len(&self) -> usize {
        self.known().len()
    }

    /// Returns whether no control host is known.
    pub fn is_empty(&self) -> bool {
        self.known().is_empty()
    }

    /// Returns the addresses of the known control hosts.
    pub fn addresses(&self) -> Vec<String> {
        self.known().clone()
    }

    /// Adds a control host. Returns whether it was not known before.
    pub fn add_host(&self, address: &str) -> bool {
        let mut known = self.known();
        let new = !known.iter().any(|other| other == address);
        if new {
            known.push(address.to_owned());
        }
        new
    }

    /// Returns the control host that last replied as one that keeps the log, until it fails to
    /// do so. Callers may be redirected there; with a guess, relays would redirect to each
    /// other.
    pub fn confirmed(&self) -> Option<String> {
        lock(&self.confirmed).clone()
    }

    fn record_confirmed(&self, address: &str, answered: bool) {
        let mut confirmed = lock(&self.confirmed);
        match answered {
            true => *confirmed = Some(address.to_owned()),
            false if confirmed.as_deref() == Some(address) => *confirmed = None,
            false => {}
        }
    }

    /// Returns the control host that last decided, or else the next one to try.
    pub fn presumed_leader(&self) -> Option<String> {
        let number = *self.lock();
        (!self.is_empty()).then(|| self.address(number))
    }

    /// Sends a large value to one control host in pieces; see [`PeerPool::send_value`].
    pub async fn send_value_to(
        &self,
        address: &str,
        parts: &[Bytes],
    ) -> Result<TransferId, PeerError> {
        self.pool.send_value(address, parts).await
    }

    /// Calls one control host by its address.
    pub async fn call_at<T, F>(
        &self,
        address: &str,
        step: &'static str,
        make: impl FnOnce(ControlWireClient) -> F,
    ) -> Result<T, PeerError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        self.pool.call(address, step, make).await
    }

    fn known(&self) -> std::sync::MutexGuard<'_, Vec<String>> {
        self.addresses
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    /// Returns the address of the control host with that index.
    pub(super) fn address(&self, number: usize) -> String {
        let known = self.known();
        known[number % known.len()].clone()
    }

    /// Calls the control host with that index, for calls that any of them can handle.
    pub async fn call_any<T, F>(
        &self,
        number: usize,
        step: &'static str,
        make: impl FnOnce(ControlWireClient) -> F,
    ) -> Result<T, PeerError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let address = self.address(number);
        self.pool.call(&address, step, make).await
    }

    /// Calls the leader: follows the redirections of refusals, and tries all hosts in turn
    /// until one decides or `timeout` has passed.
    ///
    /// A call may be made more than once, so it must be safe to repeat.
    pub async fn call_leader<T, F>(
        &self,
        step: &'static str,
        timeout: Duration,
        make: impl Fn(ControlWireClient, tarpc::context::Context) -> F,
    ) -> Result<T, PeerError>
    where
        F: Future<Output = Result<Result<T, ControlRefusal>, RpcError>>,
    {
        let deadline = Instant::now() + timeout;
        let mut attempts = 0;
        let mut trace = CallTrace::start(step);
        loop {
            let number = *self.lock();
            let address = &self.address(number);
            let called = Instant::now();
            let left = deadline.saturating_duration_since(called);
            let context = within(left.min(CALL_TIMEOUT));
            let answer = self
                .pool
                .call(address, step, |client| make(client, context))
                .await;
            self.record_confirmed(address, matches!(answer, Ok(Ok(_))));
            let error = match answer {
                Ok(Ok(value)) => {
                    trace.log_decided(address);
                    return Ok(value);
                }
                Ok(Err(refusal)) => {
                    self.follow_refusal(number, &refusal);
                    PeerError::Refused {
                        step,
                        peer: address.clone(),
                        refusal,
                    }
                }
                Err(error) => {
                    *self.lock() = number + 1;
                    error
                }
            };
            trace.record_failure(address, &error, called.elapsed());
            attempts += 1;
            if Instant::now() + ROUND_PAUSE >= deadline {
                trace.log_failed();
                return Err(error);
            }
            if attempts % self.len() == 0 {
                tokio::time::sleep(ROUND_PAUSE).await;
            }
        }
    }

    /// Records the reply of the presumed leader: after a refusal, another host is presumed to
    /// lead.
    pub fn record_reply<T>(
        &self,
        address: &str,
        answer: Result<T, ControlRefusal>,
    ) -> Result<T, ControlRefusal> {
        self.record_confirmed(address, answer.is_ok());
        let number = self.known().iter().position(|known| known == address);
        match (&answer, number) {
            (Ok(_), Some(number)) => *self.lock() = number,
            (Err(refusal), Some(number)) => self.follow_refusal(number, refusal),
            (_, None) => {}
        }
        answer
    }

    fn follow_refusal(&self, number: usize, refusal: &ControlRefusal) {
        let named = match refusal {
            ControlRefusal::NotLeader(Some(address)) => {
                self.add_host(address);
                self.known().iter().position(|known| known == address)
            }
            // It still leads.
            ControlRefusal::Busy => Some(number),
            _ => None,
        };
        *self.lock() = named.unwrap_or(number + 1);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, usize> {
        self.leader
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }
}
