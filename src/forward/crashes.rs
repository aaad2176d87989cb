//! Determines whether a replica crashed during the runs whose connections it lost, and reports
//! crashes to the replicated log.
//!
//! A lost connection proves nothing: a reset, a malformed response and a planned exit look alike. A
//! replica whose process has exited refuses connections at once, and one that has restarted reports
//! its new incarnation: the first shows within milliseconds, the second within a heartbeat. Silence
//! proves nothing either: the link may be down.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::clock;
use crate::consensus::crashes::{ContentStanding, CrashReport};
use crate::consensus::directory::{ReplicaPhase, ReplicaRecord};
use crate::forward::daemon::EntryCore;
use crate::forward::request_log::join_digests;
use crate::forward::upstream::Connection;
use crate::ids::{ContentDigest, ReplicaIncarnation};
use crate::process::{crash_report, daemon};
use crate::routing::suspects::SuspectIndex;
use crate::routing::view::SiteView;

/// Time in which all connections that a crash breaks are seen to break.
const GATHER_TIME: Duration = Duration::from_millis(10);
/// Time in which the host of an exited process refuses a connection: a round trip between halls.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Delays before the attempts to probe a silent replica: links lose packets.
const PROBE_PAUSES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(200),
    Duration::from_millis(800),
];
/// How long a replica that may have crashed is watched for a new incarnation, in milliseconds: it
/// is back after some seconds, and its first heartbeat reports the incarnation.
const WATCH_MS: u64 = 15_000;
/// The same if it accepted a connection right after: it may have restarted by then.
const SHORT_WATCH_MS: u64 = 2_000;
/// How long an abandoned request may still crash its replica, in milliseconds: most replicas drop
/// it, the others start it within their queue time.
const ABANDONED_MS: u64 = 5_000;
/// Most replica incarnations that are watched; the oldest are dropped.
const MAX_WATCHED: usize = 1_024;
/// Most contents named in one log line: a batch of an engine, so that each refused request finds
/// the crashes behind its refusal.
const MAX_LOGGED_CONTENTS: usize = 64;

/// Where a request was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentTo {
    /// The intended incarnation of the replica.
    pub incarnation: ReplicaIncarnation,
    /// Address of the replica.
    pub address: SocketAddr,
}

impl SentTo {
    /// Creates the target from a replica's current record.
    pub fn new(record: &ReplicaRecord) -> Self {
        Self {
            incarnation: record.incarnation(),
            address: record.address,
        }
    }
}

/// Runs whose connections one replica lost at about the same time, and the state of their
/// investigation.
pub struct CrashInvestigation {
    at: SentTo,
    contents: RefCell<BTreeSet<ContentDigest>>,
    finished: Cell<bool>,
    done: Notify,
}

impl CrashInvestigation {
    /// Returns once the investigation is over: if the replica crashed, the log holds the report.
    pub async fn finished(&self) {
        loop {
            let done = self.done.notified();
            if self.finished.get() {
                return;
            }
            done.await;
        }
    }
}

/// A replica that may have crashed, or may crash because of an abandoned request.
struct WatchedReplica {
    at: SentTo,
    contents: BTreeSet<ContentDigest>,
    until_ms: u64,
}

/// What an entry knows of crashes.
#[derive(Default)]
pub struct CrashTracker {
    suspects: RefCell<SuspectIndex>,
    open: RefCell<BTreeMap<ReplicaIncarnation, Rc<CrashInvestigation>>>,
    watched: RefCell<VecDeque<WatchedReplica>>,
}

impl CrashTracker {
    /// Whether no content is suspect, so that no digests of requests are needed.
    pub fn has_no_suspects(&self) -> bool {
        self.suspects.borrow().is_empty()
    }

    fn watch(&self, at: SentTo, contents: BTreeSet<ContentDigest>, for_ms: u64) {
        let mut watched = self.watched.borrow_mut();
        watched.push_back(WatchedReplica {
            at,
            contents,
            until_ms: clock::monotonic_ms() + for_ms,
        });
        if watched.len() > MAX_WATCHED {
            watched.pop_front();
        }
    }

    /// Removes a crashed incarnation from the watch list and returns the contents that may have run
    /// there.
    fn take_watched(&self, ended: &ReplicaIncarnation) -> BTreeSet<ContentDigest> {
        let now_ms = clock::monotonic_ms();
        let mut watched = self.watched.borrow_mut();
        let same =
            |other: &WatchedReplica| other.at.incarnation == *ended && other.until_ms > now_ms;
        let found = watched.iter().filter(|other| same(other));
        let contents = found
            .flat_map(|other| other.contents.iter().copied())
            .collect();
        watched.retain(|other| other.at.incarnation != *ended);
        contents
    }

    /// Returns the standing of a content: harmless, suspect or quarantined.
    pub fn standing(&self, content: &ContentDigest) -> ContentStanding {
        self.suspects.borrow().standing(content)
    }
}

impl EntryCore {
    /// Starts or joins an investigation of a replica that lost the connection during a run. Returns
    /// `None` if the replica is known to be draining.
    pub fn investigate_crash(
        self: &Rc<Self>,
        at: &SentTo,
        content: ContentDigest,
    ) -> Option<Rc<CrashInvestigation>> {
        let drains = |record: &ReplicaRecord| record.phase == ReplicaPhase::Draining;
        let replicas = self.replicas.borrow();
        if replicas.is_draining(&at.incarnation)
            || replicas.record(&at.incarnation.id).is_some_and(drains)
        {
            return None;
        }
        drop(replicas);
        let mut open = self.crashes.open.borrow_mut();
        let known = open.get(&at.incarnation).cloned();
        let investigation = known.unwrap_or_else(|| {
            let investigation = Rc::new(CrashInvestigation {
                at: at.clone(),
                contents: RefCell::default(),
                finished: Cell::new(false),
                done: Notify::new(),
            });
            open.insert(at.incarnation.clone(), investigation.clone());
            daemon::spawn_local(investigate(self.clone(), investigation.clone()));
            investigation
        });
        investigation.contents.borrow_mut().insert(content);
        Some(investigation)
    }

    /// Watches a replica for which a sent request was abandoned, as the caller left or the time ran
    /// out: it may still run the request.
    pub fn abandon_run(&self, at: SentTo, content: ContentDigest) {
        let contents = BTreeSet::from([content]);
        self.crashes.watch(at, contents, ABANDONED_MS);
    }

    /// Takes over the standings in the log, and looks for new incarnations of watched replicas.
    pub(super) fn update_crashes(self: &Rc<Self>, view: &SiteView) {
        let mut suspects = self.crashes.suspects.borrow_mut();
        suspects.follow(view.position, &view.contents);
        drop(suspects);
        let now_ms = clock::monotonic_ms();
        let mut watched = self.crashes.watched.borrow_mut();
        watched.retain(|watched| watched.until_ms > now_ms);
        let restarted = |watched: &&WatchedReplica| has_restarted(view, &watched.at);
        let ended = watched.iter().filter(restarted);
        let ended: BTreeSet<ReplicaIncarnation> = ended
            .map(|watched| watched.at.incarnation.clone())
            .collect();
        drop(watched);
        for incarnation in ended {
            let contents = self.crashes.take_watched(&incarnation);
            let replica = incarnation;
            let report = CrashReport { replica, contents };
            daemon::spawn_local(report_crash(self.clone(), report, "replica restarted"));
        }
    }
}

/// Whether another incarnation is registered at the replica's address.
fn has_restarted(view: &SiteView, at: &SentTo) -> bool {
    let known = view.replicas.get(&at.incarnation.id);
    match known {
        Some(record) if record.incarnation() == at.incarnation => false,
        _ => {
            let mut others = view.replicas.values();
            others.any(|other| other.address == at.address && other.incarnation() != at.incarnation)
        }
    }
}

/// Probes a replica, reports a crash or watches the replica further, and ends the investigation.
async fn investigate(core: Rc<EntryCore>, investigation: Rc<CrashInvestigation>) {
    tokio::time::sleep(GATHER_TIME).await;
    let incarnation = investigation.at.incarnation.clone();
    let probe = probe_repeatedly(&core, &investigation.at).await;
    core.crashes.open.borrow_mut().remove(&incarnation);
    let mut contents = investigation.contents.borrow().clone();
    match probe {
        Probe::Ended => {
            contents.extend(core.crashes.take_watched(&incarnation));
            let replica = incarnation;
            let report = CrashReport { replica, contents };
            report_crash(core.clone(), report, "connection refused").await;
        }
        Probe::Alive => core
            .crashes
            .watch(investigation.at.clone(), contents, SHORT_WATCH_MS),
        Probe::Silent => core
            .crashes
            .watch(investigation.at.clone(), contents, WATCH_MS),
    }
    investigation.finished.set(true);
    investigation.done.notify_waiters();
}

/// Result of connecting to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Probe {
    /// The replica accepts the connection.
    Alive,
    /// The connection is refused: no process listens there.
    Ended,
    /// No result in time.
    Silent,
}

async fn probe_repeatedly(core: &EntryCore, at: &SentTo) -> Probe {
    for pause in PROBE_PAUSES {
        tokio::time::sleep(pause).await;
        match probe(core, at).await {
            Probe::Silent => {}
            probe => return probe,
        }
    }
    Probe::Silent
}

async fn probe(core: &EntryCore, at: &SentTo) -> Probe {
    // An idle connection that is still open proves the same without opening a new one.
    let kept = core.pool.borrow_mut().take(&at.incarnation.id);
    let opened = match kept {
        Some(connection) => Ok(connection),
        None => {
            core.count_opened();
            Connection::open(at.address, PROBE_TIMEOUT).await
        }
    };
    match opened {
        Ok(connection) => {
            core.pool.borrow_mut().put(&at.incarnation.id, connection);
            Probe::Alive
        }
        Err(error) if error.is_refused() => Probe::Ended,
        Err(_) => Probe::Silent,
    }
}

/// Logs a crash and reports it until the replicated log holds it.
async fn report_crash(core: Rc<EntryCore>, report: CrashReport, proof: &'static str) {
    core.count("dunlinspring_replica_crashes_total", &[]);
    log_crash(&report, proof);
    core.crashes
        .suspects
        .borrow_mut()
        .record_crash(&report, None);
    if let Some(position) = crash_report::report_crash(core.link(), &report).await {
        let mut suspects = core.crashes.suspects.borrow_mut();
        suspects.record_crash(&report, Some(position));
    }
}

fn log_crash(report: &CrashReport, proof: &str) {
    let logged = report.contents.iter().take(MAX_LOGGED_CONTENTS);
    tracing::warn!(
        replica = %report.replica.id,
        born_ms = report.replica.started_ms,
        contents = join_digests(logged),
        count = report.contents.len(),
        proof,
        "replica ended under requests"
    );
}
