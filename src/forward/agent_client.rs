//! Asks the agents beside replicas for quotes, and tells them what is sent to their replicas.
//!
//! An entry has one socket for all agents and keeps no state of them other than which ones do not
//! reply. A lost datagram is a missing reply, or a notice that the agent does without.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::Rng;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::admission::quote::{AgentRequest, QuoteReply, RunOutline};
use crate::clock;
use crate::forward::agent_backoff::AgentBackoff;
use crate::ids::ReplicaId;
use crate::process::datagram::{self, DatagramError, MAX_DATAGRAM_BYTES};
use crate::process::metrics::{MetricKey, MetricRegistry};
use crate::process::peers::SiteSecret;

/// Longest wait for replies: a hundredth of a latency target of 800 ms, and several times a round
/// trip between data halls.
const REPLY_LIMIT: Duration = Duration::from_millis(8);
/// Oldest report of the replica on which a usable reply is based, in milliseconds. An agent polls
/// every 25 ms, so an older report means that the replica does not respond to it.
const MAX_REPORT_AGE_MS: u32 = 1_000;
/// Datagrams read in one go, so that a flood of them does not stop other tasks.
const MAX_DATAGRAMS_PER_READ: usize = 256;
/// Pause after an error of the socket.
const ERROR_PAUSE: Duration = Duration::from_millis(20);

/// An agent to be asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentAddress {
    /// The replica beside which the agent runs.
    pub replica: ReplicaId,
    /// Address of the agent.
    pub address: SocketAddr,
}

/// Replies to one set of quotes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AskedQuotes {
    /// Agents that were asked.
    pub asked: usize,
    /// Usable replies.
    pub quotes: BTreeMap<ReplicaId, QuoteReply>,
}

/// Quotes that are awaited together.
#[derive(Debug, Default)]
struct OpenQuotes {
    quotes: RefCell<BTreeMap<ReplicaId, QuoteReply>>,
    complete: Notify,
}

/// One quote that awaits its reply.
#[derive(Debug)]
struct PendingQuote {
    replica: ReplicaId,
    open: Rc<OpenQuotes>,
}

/// The queries of one set of quotes; drops what is still pending with it.
struct PendingQueries<'a> {
    client: &'a AgentClient,
    queries: Vec<u64>,
}

impl PendingQueries<'_> {
    fn are_answered(&self) -> bool {
        let pending = self.client.pending.borrow();
        !self.queries.iter().any(|query| pending.contains_key(query))
    }
}

impl Drop for PendingQueries<'_> {
    fn drop(&mut self) {
        let mut pending = self.client.pending.borrow_mut();
        for query in &self.queries {
            pending.remove(query);
        }
    }
}

/// An entry's client for the agents beside replicas.
#[derive(Debug)]
pub struct AgentClient {
    socket: UdpSocket,
    secret: SiteSecret,
    next_query: Cell<u64>,
    pending: RefCell<BTreeMap<u64, PendingQuote>>,
    backoff: RefCell<AgentBackoff>,
    metrics: Arc<Mutex<MetricRegistry>>,
}

impl AgentClient {
    /// Opens the socket, for agents with addresses of the same family as `like`.
    pub async fn open(
        like: IpAddr,
        secret: SiteSecret,
        metrics: Arc<Mutex<MetricRegistry>>,
    ) -> io::Result<Self> {
        let local: IpAddr = match like {
            IpAddr::V4(_) => Ipv4Addr::UNSPECIFIED.into(),
            IpAddr::V6(_) => Ipv6Addr::UNSPECIFIED.into(),
        };
        let socket = UdpSocket::bind((local, 0)).await?;
        // Until then, the runtime would take the socket as busy and send nothing.
        socket.writable().await?;
        Ok(Self {
            socket,
            secret,
            // A reply to an earlier process with the same port must not match.
            next_query: Cell::new(rand::rng().random()),
            pending: RefCell::default(),
            backoff: RefCell::default(),
            metrics,
        })
    }

    /// Returns the address of the socket.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Whether the agent beside a replica may be asked now.
    pub fn may_ask(&self, replica: &ReplicaId) -> bool {
        self.backoff
            .borrow()
            .may_ask(clock::monotonic_ms(), replica)
    }

    /// Asks several agents at once for a quote. Returns once all have replied, or after 8 ms.
    /// Agents that do not reply lately are not asked.
    pub async fn ask(&self, agents: &[AgentAddress], run: &RunOutline) -> AskedQuotes {
        self.ask_until(agents, run, tokio::time::sleep(REPLY_LIMIT))
            .await
    }

    /// As [`Self::ask`], with another end of the wait.
    pub async fn ask_until(
        &self,
        agents: &[AgentAddress],
        run: &RunOutline,
        limit: impl Future<Output = ()>,
    ) -> AskedQuotes {
        let sent_ms = clock::monotonic_ms();
        let open = Rc::new(OpenQuotes::default());
        let pending = self.send_quotes(agents, run, &open);
        let asked = pending.queries.len();
        let all_replied = async {
            loop {
                let complete = open.complete.notified();
                if pending.are_answered() {
                    return;
                }
                complete.await;
            }
        };
        tokio::select! {
            biased;
            () = all_replied => {}
            // On a busy thread, replies that arrived in time may not have been read yet.
            () = limit => self.read_datagrams(),
        }
        self.record_misses(sent_ms, &pending);
        drop(pending);
        let quotes = open.quotes.take();
        self.count_quotes("replied", quotes.len());
        self.count_quotes("none", asked - quotes.len());
        AskedQuotes { asked, quotes }
    }

    /// Sends a quote request to each agent that may be asked.
    fn send_quotes(
        &self,
        agents: &[AgentAddress],
        run: &RunOutline,
        open: &Rc<OpenQuotes>,
    ) -> PendingQueries<'_> {
        let mut queries = Vec::new();
        let open_agents = agents.iter().filter(|agent| self.may_ask(&agent.replica));
        for agent in open_agents {
            let query = self.next_query.get();
            self.next_query.set(query.wrapping_add(1));
            let request = AgentRequest::Quote {
                query,
                replica: agent.replica.clone(),
                run: run.clone(),
            };
            if self.send(agent.address, &request) {
                let quote = PendingQuote {
                    replica: agent.replica.clone(),
                    open: open.clone(),
                };
                self.pending.borrow_mut().insert(query, quote);
                queries.push(query);
            }
        }
        PendingQueries {
            client: self,
            queries,
        }
    }

    /// Tells an agent that a request is sent to its replica now.
    pub fn notify_sent(&self, agent: &AgentAddress, run: RunOutline) {
        let replica = agent.replica.clone();
        self.send(agent.address, &AgentRequest::Sent { replica, run });
    }

    /// Tells an agent that a request is no longer at its replica.
    pub fn notify_ended(&self, agent: &AgentAddress, request: &str) {
        let ended = AgentRequest::Ended {
            replica: agent.replica.clone(),
            request: request.to_owned(),
        };
        self.send(agent.address, &ended);
    }

    /// Drops what is known of the agents of replicas that are gone.
    pub fn prune(&self, is_known: impl Fn(&ReplicaId) -> bool) {
        self.backoff.borrow_mut().prune(is_known);
    }

    /// Receives replies until the task ends.
    pub async fn receive(&self) {
        loop {
            match self.socket.readable().await {
                Ok(()) => self.read_datagrams(),
                Err(error) => {
                    tracing::warn!(%error, "cannot receive from agents");
                    tokio::time::sleep(ERROR_PAUSE).await;
                }
            }
            tokio::task::yield_now().await;
        }
    }

    fn read_datagrams(&self) {
        // One byte more than a datagram may have: a longer one fails its authentication.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..MAX_DATAGRAMS_PER_READ {
            match self.socket.try_recv_from(&mut buffer) {
                Ok((length, _)) => self.accept(&buffer[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) => self.count_dropped("unreceived"),
            }
        }
    }

    /// Takes in one datagram.
    fn accept(&self, bytes: &[u8]) {
        let reply: QuoteReply = match datagram::decode(&self.secret, bytes) {
            Ok(reply) => reply,
            Err(error) => return self.count_dropped(cause(&error)),
        };
        let Some(quote) = self.pending.borrow_mut().remove(&reply.query) else {
            return self.count_dropped("unknown_query");
        };
        let PendingQuote { replica, open } = quote;
        if self.backoff.borrow_mut().record_reply(&replica) {
            tracing::info!(%replica, "agent replies again");
        }
        if reply.report_age_ms <= MAX_REPORT_AGE_MS {
            open.quotes.borrow_mut().insert(replica, reply);
        }
        open.complete.notify_one();
    }

    fn record_misses(&self, sent_ms: u64, queries: &PendingQueries) {
        let now_ms = clock::monotonic_ms();
        let pending = self.pending.borrow();
        let missed = queries.queries.iter();
        for quote in missed.filter_map(|query| pending.get(query)) {
            let replica = &quote.replica;
            let mut backoff = self.backoff.borrow_mut();
            if let Some(pause_ms) = backoff.record_miss(now_ms, sent_ms, replica) {
                tracing::warn!(%replica, pause_ms, "agent does not reply");
            }
        }
    }

    /// Sends a datagram. Returns whether it was sent.
    fn send(&self, to: SocketAddr, message: &AgentRequest) -> bool {
        let bytes = match datagram::encode(&self.secret, message) {
            Ok(bytes) => bytes,
            Err(error) => {
                self.count_dropped(cause(&error));
                return false;
            }
        };
        let sent = self.socket.try_send_to(&bytes, to).is_ok();
        if !sent {
            self.count_dropped("unsent");
        }
        sent
    }

    fn count_dropped(&self, cause: &'static str) {
        let labels = [("cause", cause)];
        self.count("dunlinspring_agent_datagrams_dropped_total", &labels, 1);
    }

    fn count_quotes(&self, outcome: &'static str, count: usize) {
        if count > 0 {
            let labels = [("outcome", outcome)];
            self.count("dunlinspring_quotes_total", &labels, count as u64);
        }
    }

    fn count(&self, name: &'static str, labels: &[(&'static str, &str)], by: u64) {
        let mut metrics = self.metrics.lock().unwrap_or_else(|b| b.into_inner());
        metrics.count(MetricKey::new(name, labels), by);
    }
}

/// Label of a datagram that was dropped.
fn cause(error: &DatagramError) -> &'static str {
    match error {
        DatagramError::Forged => "forged",
        DatagramError::Version { .. } => "version",
        DatagramError::Malformed => "malformed",
        DatagramError::TooLong { .. } => "too_long",
    }
}
