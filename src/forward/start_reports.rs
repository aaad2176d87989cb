//! Start times that replicas report of themselves. They show whether a connection leads to the
//! incarnation of the replica that the view has: a replica may restart under its id unnoticed.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use crate::forward::crashes::SentTo;
use crate::forward::daemon::EntryCore;
use crate::forward::dialect::StartTimeReport;
use crate::forward::head::{self, ResponseHead};
use crate::forward::upstream::{Connection, Exchange, OutgoingRequest, SendProgress};
use crate::ids::ReplicaId;
use crate::process::daemon;
use crate::routing::stream_origins::{ConnectionProof, StartReport, prove_connection};

/// Time limit of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest report that is read, in bytes.
const MAX_REPORT_BYTES: usize = 256 * 1024;
/// Delay after a report that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest wait for the proof of a connection: a replica with a long queue resets some new
/// connections, and so the first reports.
const PROOF_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The newest reports of replicas.
#[derive(Default)]
pub struct StartReports {
    replicas: RefCell<BTreeMap<ReplicaId, Rc<ReplicaReports>>>,
}

/// Reports of one replica, of which one at most is under way.
#[derive(Default)]
struct ReplicaReports {
    newest: Cell<Option<StartReport>>,
    is_asking: Cell<bool>,
    /// When the newest connection that needs a proof was opened.
    wanted: Cell<Option<Instant>>,
    /// Notified after each report.
    answered: Notify,
}

impl StartReports {
    fn of(&self, id: &ReplicaId) -> Rc<ReplicaReports> {
        let mut replicas = self.replicas.borrow_mut();
        replicas.entry(id.clone()).or_default().clone()
    }

    /// Drops the reports of replicas that `keep` rejects.
    pub fn prune(&self, keep: impl Fn(&ReplicaId) -> bool) {
        self.replicas.borrow_mut().retain(|id, _| keep(id));
    }
}

impl EntryCore {
    /// Returns what the newest report shows of a connection to a replica.
    pub(super) fn connection_proof(&self, at: &SentTo, opened: Instant) -> ConnectionProof {
        let newest = self.start_reports.of(&at.incarnation.id).newest.get();
        prove_connection(newest.as_ref(), at.incarnation.started_ms, opened)
    }

    /// Asks a replica for its start time, for the proof of a connection that is open. Does not wait.
    pub(super) fn ask_start_time(self: &Rc<Self>, at: &SentTo, opened: Instant) {
        let reports = self.start_reports.of(&at.incarnation.id);
        reports.wanted.set(reports.wanted.get().max(Some(opened)));
        if !reports.is_asking.replace(true) {
            daemon::spawn_local(ask_while_wanted(self.clone(), at.clone(), reports));
        }
    }

    /// Returns whether a connection is shown to lead to the expected incarnation, as soon as a report
    /// shows it.
    pub(super) async fn await_connection_proof(
        self: &Rc<Self>,
        at: &SentTo,
        opened: Instant,
    ) -> bool {
        let proven = async {
            loop {
                let reports = self.start_reports.of(&at.incarnation.id);
                let answered = reports.answered.notified();
                match self.connection_proof(at, opened) {
                    ConnectionProof::Expected => return true,
                    ConnectionProof::Other => return false,
                    ConnectionProof::Unknown => self.ask_start_time(at, opened),
                }
                answered.await;
            }
        };
        let proven = tokio::time::timeout(PROOF_TIMEOUT, proven).await;
        proven.unwrap_or(false)
    }

    /// Whether an incarnation of a replica ran after `since`, as it reports. `None` if that is not
    /// known. Where start times are not known, each incarnation has an id of its own, and another one
    /// turns away a request that expects it.
    pub(super) async fn has_run_since(
        self: &Rc<Self>,
        at: &SentTo,
        since: Instant,
    ) -> Option<bool> {
        if self.names.start_time.is_none() {
            return Some(true);
        }
        if at.incarnation.started_ms == 0 {
            let answers = tokio::time::timeout(REPORT_TIMEOUT, self.answers_to_id(at)).await;
            return answers.ok().flatten();
        }
        let is_expected = self.await_connection_proof(at, since).await;
        match self.connection_proof(at, since) {
            _ if is_expected => Some(true),
            ConnectionProof::Other => Some(false),
            _ => None,
        }
    }

    /// Whether the replica at an address answers to the id.
    async fn answers_to_id(&self, at: &SentTo) -> Option<bool> {
        let report = self.names.start_time?;
        let connection = self.connect_for_report(at).await?;
        let (mut exchange, head) = self.request_report(connection, at, report).await?;
        read_report(&mut exchange).await?;
        if let Some(connection) = exchange.finish() {
            self.pool.borrow_mut().put(&at.incarnation.id, connection);
        }
        Some(head.status != 421)
    }

    /// Reads a replica's report, rather on an idle connection than on a new one.
    async fn read_start_report(&self, at: &SentTo) -> Option<StartReport> {
        let report = self.names.start_time?;
        let connection = self.connect_for_report(at).await?;
        let asked = Instant::now();
        let (exchange, started_ms) = self.read_start_time(connection, at, report).await?;
        if let Some(connection) = exchange.finish() {
            self.pool.borrow_mut().put(&at.incarnation.id, connection);
        }
        Some(StartReport { started_ms, asked })
    }

    async fn connect_for_report(&self, at: &SentTo) -> Option<Connection> {
        let kept = self.pool.borrow_mut().take(&at.incarnation.id);
        if kept.is_some() {
            return kept;
        }
        self.count_opened();
        Connection::open(at.address, self.connect_time()).await.ok()
    }

    async fn read_start_time(
        &self,
        connection: Connection,
        at: &SentTo,
        report: StartTimeReport,
    ) -> Option<(Exchange, u64)> {
        let (mut exchange, head) = self.request_report(connection, at, report).await?;
        let body = read_report(&mut exchange).await?;
        let started_ms = (report.read)(&body).filter(|_| head.status == 200)?;
        Some((exchange, started_ms))
    }

    async fn request_report(
        &self,
        connection: Connection,
        at: &SentTo,
        report: StartTimeReport,
    ) -> Option<(Exchange, ResponseHead)> {
        let mut text = format!("GET {} HTTP/1.1\r\n", report.path);
        head::push_header(&mut text, "Host", &at.address.to_string());
        let replica = at.incarnation.id.as_str();
        head::push_header(&mut text, self.names.expect_replica, replica);
        text.push_str("Content-Length: 0\r\n\r\n");
        let request = OutgoingRequest {
            bytes: text.as_bytes(),
            body: &[],
            method: "GET",
            identity: Some((self.names.request_id, "")),
            on_head: &|_| {},
            progress: &SendProgress::default(),
        };
        Exchange::send(connection, &request).await.ok()
    }
}

async fn read_report(exchange: &mut Exchange) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    while let Some(bytes) = exchange.next().await.ok()? {
        body.extend_from_slice(&bytes);
        if body.len() > MAX_REPORT_BYTES {
            return None;
        }
    }
    Some(body)
}

/// Reads reports until one was asked for after each connection that needs a proof was opened, or one
/// fails.
async fn ask_while_wanted(core: Rc<EntryCore>, at: SentTo, reports: Rc<ReplicaReports>) {
    loop {
        let reading = core.read_start_report(&at);
        let read = tokio::time::timeout(REPORT_TIMEOUT, reading).await;
        let report = read.ok().flatten();
        let result = report.map_or("failed", |_| "read");
        core.count("dunlinspring_start_reports_total", &[("result", result)]);
        let Some(report) = report else {
            tokio::time::sleep(RETRY_PAUSE).await;
            break;
        };
        let replaced = reports.newest.replace(Some(report));
        if replaced.map(|before| before.started_ms) != Some(report.started_ms) {
            let (replica, born_ms) = (&at.incarnation.id, report.started_ms);
            let expected_ms = at.incarnation.started_ms;
            tracing::info!(%replica, born_ms, expected_ms, "replica reports its start time");
        }
        reports.answered.notify_waiters();
        if reports.wanted.get() < Some(report.asked) {
            break;
        }
    }
    reports.is_asking.set(false);
    reports.answered.notify_waiters();
}
