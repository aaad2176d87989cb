//! The daemon beside a replica that registers itself: reads the replica's report, and answers the
//! quotes of entries.
//!
//! It runs on one thread and holds one UDP socket and one connection to the replica. It sends
//! no orders; without it, entries serve requests by the load that replicas report in responses.

use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::admission::quote::{AgentRequest, QuoteReply};
use crate::admission::replica_load::{ReplicaLoad, ReplicaReport};
use crate::agent::report_connection::ReportConnection;
use crate::clock;
use crate::ids::{HallName, HostName, ServiceName};
use crate::process::daemon::DaemonError;
use crate::process::datagram::{self, DatagramError, MAX_DATAGRAM_BYTES};
use crate::process::peers::SiteSecret;
use crate::process::settings::LogSettings;

/// Interval of reports while they are needed.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Time after a quote request during which reports are read, in milliseconds.
const QUOTE_INTEREST_MS: u64 = 2_000;
/// Interval of the log line with counts.
const COUNTS_INTERVAL: Duration = Duration::from_secs(10);
/// Pause after an error of the socket.
const SOCKET_ERROR_PAUSE: Duration = Duration::from_millis(10);

/// Settings of an agent beside a replica.
#[derive(Clone, Debug)]
pub struct ReplicaAgentSettings {
    /// Name of the host.
    pub host: HostName,
    /// Data hall of the host.
    pub hall: HallName,
    /// Address for datagrams of entries.
    pub listen: SocketAddr,
    /// Address of the replica.
    pub replica: SocketAddr,
    /// Shortest time between two connections to the replica, normally
    /// [`RECONNECT_INTERVAL`](crate::agent::report_connection::RECONNECT_INTERVAL).
    pub reconnect_interval: Duration,
    /// Service of the replica, for log lines.
    pub service: Option<ServiceName>,
    /// Logging.
    pub log: LogSettings,
}

/// How a replica's report is read, in the format of its deployment.
#[derive(Clone, Copy, Debug)]
pub struct ReportDialect {
    /// Path of the report.
    pub path: &'static str,
    /// Decodes the body.
    pub read: fn(&[u8]) -> Result<ReplicaReport, serde_json::Error>,
}

/// Whether the replica gives its report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Contact {
    #[default]
    Untried,
    Reached,
    Lost,
}

/// Counts since the last log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct AgentCounts {
    quotes: u32,
    /// Quotes for models that the replica does not hold.
    not_held: u32,
    sent: u32,
    /// Notices of runs beyond the number that is kept.
    not_kept: u32,
    ended: u32,
    /// Datagrams of another secret.
    forged: u32,
    /// Datagrams of another version.
    other_version: u32,
    malformed: u32,
    /// Replies that the socket did not take.
    unsent: u32,
    polls: u32,
    failed_polls: u32,
}

#[derive(Debug, Default)]
struct AgentState {
    load: ReplicaLoad,
    contact: Contact,
    quoted_ms: Option<u64>,
    counts: AgentCounts,
}

impl AgentState {
    fn needs_reports(&mut self, now_ms: u64) -> bool {
        self.load.expire(now_ms);
        let is_recent = |quoted_ms| now_ms.saturating_sub(quoted_ms) < QUOTE_INTEREST_MS;
        self.load.has_runs() || self.quoted_ms.is_some_and(is_recent)
    }

    fn handle(&mut self, request: AgentRequest, now_ms: u64) -> Option<QuoteReply> {
        match request {
            AgentRequest::Quote { query, run, .. } => {
                self.counts.quotes += 1;
                self.quoted_ms = Some(now_ms);
                let reply = self.load.quote(query, &run, now_ms);
                self.counts.not_held += u32::from(reply.is_none());
                reply
            }
            AgentRequest::Sent { run, .. } => {
                self.counts.sent += 1;
                let kept = self.load.record_sent(run, now_ms);
                self.counts.not_kept += u32::from(!kept);
                None
            }
            AgentRequest::Ended { request, .. } => {
                self.counts.ended += 1;
                self.load.record_ended(&request);
                None
            }
        }
    }

    fn count_drop(&mut self, error: &DatagramError) {
        let count = match error {
            DatagramError::Forged => &mut self.counts.forged,
            DatagramError::Version { .. } => &mut self.counts.other_version,
            DatagramError::Malformed | DatagramError::TooLong { .. } => &mut self.counts.malformed,
        };
        *count += 1;
    }

    fn on_report(&mut self, report: &ReplicaReport, now_ms: u64) {
        self.counts.polls += 1;
        if self.load.apply_report(report, now_ms) {
            tracing::warn!("replica restarted");
        }
        if self.contact == Contact::Lost {
            tracing::info!("replica regained");
        }
        self.contact = Contact::Reached;
    }

    fn on_failure(&mut self, reason: &str, is_refused: bool) {
        self.counts.polls += 1;
        self.counts.failed_polls += 1;
        if is_refused {
            self.load.forget();
        }
        if self.contact != Contact::Lost {
            tracing::warn!(reason, "replica lost");
        }
        self.contact = Contact::Lost;
    }

    /// Logs the counts, if there are any, and starts them anew.
    fn log_counts(&mut self, now_ms: u64) {
        let counts = std::mem::take(&mut self.counts);
        if counts == AgentCounts::default() {
            return;
        }
        let time = self.load.prefill_time(now_ms);
        let prefill_ms = time.map(|time| (time.ms_per_token * 10_000.0).round() / 10.0);
        let fixed_ms = time.map(|time| time.fixed_ms.round());
        tracing::info!(
            quotes = counts.quotes,
            not_held = counts.not_held,
            sent = counts.sent,
            not_kept = counts.not_kept,
            ended = counts.ended,
            forged = counts.forged,
            other_version = counts.other_version,
            malformed = counts.malformed,
            unsent = counts.unsent,
            polls = counts.polls,
            failed_polls = counts.failed_polls,
            prefill_ms_per_1000_tokens = prefill_ms,
            first_event_fixed_ms = fixed_ms,
            cached_parts = self.load.parts().len(),
            cached_tokens = self.load.parts().tokens(),
            runs = self.load.announced_runs(),
            "agent counts"
        );
    }
}

/// An agent that has its socket.
#[derive(Debug)]
pub struct ReplicaAgent {
    /// Address for datagrams of entries.
    pub address: SocketAddr,
    socket: UdpSocket,
    settings: ReplicaAgentSettings,
    secret: SiteSecret,
    dialect: ReportDialect,
}

impl ReplicaAgent {
    /// Opens the socket.
    pub async fn bind(
        settings: ReplicaAgentSettings,
        secret: SiteSecret,
        dialect: ReportDialect,
    ) -> Result<Self, DaemonError> {
        let failed = |source| DaemonError::Listen {
            field: "listen",
            address: settings.listen.to_string(),
            source,
        };
        let socket = UdpSocket::bind(settings.listen).await.map_err(failed)?;
        let address = socket.local_addr().map_err(failed)?;
        Ok(Self {
            address,
            socket,
            settings,
            secret,
            dialect,
        })
    }

    /// Runs until `stop` is ready.
    pub async fn run(self, stop: impl Future<Output = ()>) {
        let ReplicaAgentSettings {
            replica, service, ..
        } = &self.settings;
        let service = service.as_ref().map(ServiceName::as_str);
        tracing::info!(address = %self.address, %replica, service, "agent started");
        let state = RefCell::new(AgentState::default());
        let wake = Notify::new();
        tokio::select! {
            () = stop => {}
            () = self.serve(&state, &wake) => {}
            () = self.poll(&state, &wake) => {}
            () = log_counts(&state) => {}
        }
        state.borrow_mut().log_counts(clock::monotonic_ms());
        tracing::info!("agent stopped");
    }

    /// Receives datagrams, and replies to quote requests.
    async fn serve(&self, state: &RefCell<AgentState>, wake: &Notify) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                tokio::time::sleep(SOCKET_ERROR_PAUSE).await;
                continue;
            };
            let mut state = state.borrow_mut();
            let request = match length {
                0..=MAX_DATAGRAM_BYTES => datagram::decode(&self.secret, &buffer[..length]),
                _ => Err(DatagramError::TooLong { length }),
            };
            let reply = match request {
                Ok(request) => state.handle(request, clock::monotonic_ms()),
                Err(error) => {
                    state.count_drop(&error);
                    continue;
                }
            };
            wake.notify_one();
            let bytes = reply.and_then(|reply| datagram::encode(&self.secret, &reply).ok());
            // An entry does without a reply that the socket does not take now.
            let sent = bytes.map(|bytes| self.socket.try_send_to(&bytes, from));
            state.counts.unsent += u32::from(matches!(sent, Some(Err(_))));
        }
    }

    /// Reads the replica's report while it is needed.
    async fn poll(&self, state: &RefCell<AgentState>, wake: &Notify) {
        let settings = &self.settings;
        let mut connection = ReportConnection::new(
            settings.replica,
            self.dialect.path,
            settings.reconnect_interval,
        );
        loop {
            while !state.borrow_mut().needs_reports(clock::monotonic_ms()) {
                wake.notified().await;
            }
            let started_at = Instant::now();
            let read = connection.fetch().await;
            let report = read.map(|body| (self.dialect.read)(body));
            let now_ms = clock::monotonic_ms();
            match report {
                Ok(Ok(report)) => state.borrow_mut().on_report(&report, now_ms),
                Ok(Err(error)) => {
                    connection.close();
                    state.borrow_mut().on_failure(&error.to_string(), false);
                }
                Err(error) => {
                    let reason = error.to_string();
                    state.borrow_mut().on_failure(&reason, error.is_refused());
                }
            }
            tokio::time::sleep_until(started_at + POLL_INTERVAL).await;
        }
    }
}

async fn log_counts(state: &RefCell<AgentState>) {
    loop {
        tokio::time::sleep(COUNTS_INTERVAL).await;
        state.borrow_mut().log_counts(clock::monotonic_ms());
    }
}
