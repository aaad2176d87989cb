//! Determines whether a replica crashed during the runs whose connections it lost, and reports
//! crashes, with the contents and prompt parts that ran, to the replicated log.
//!
//! A lost connection proves nothing: a reset, a malformed response and a planned exit look alike. A
//! replica whose process has exited refuses connections at once, and one that has restarted reports
//! its new incarnation: the first shows within milliseconds, the second within a heartbeat. Silence
//! proves nothing either: the link may be down.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use crate::clock;
use crate::consensus::crashes::{ContentStanding, CrashReport};
use crate::consensus::directory::{ReplicaPhase, ReplicaRecord};
use crate::consensus::part_crashes::PartStandings;
use crate::forward::daemon::EntryCore;
use crate::forward::request_log::join_digests;
use crate::forward::sound_runs::SoundRuns;
use crate::forward::upstream::{Connection, ExchangeError};
use crate::ids::{ContentDigest, ReplicaIncarnation};
use crate::process::crash_report::BegunParts;
use crate::process::{crash_report, daemon};
use crate::routing::suspects::{PromptStanding, SuspectIndex, prompt_standing};
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
/// Most contents, and most prompt parts, named in one log line: a batch of an engine, so that each refused request finds
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

/// What may have crashed a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExposedRuns {
    /// Contents that were running.
    pub contents: BTreeSet<ContentDigest>,
    /// Shared parts of the prompts whose runs had just begun, or not begun yet.
    pub parts: BTreeSet<ContentDigest>,
}

impl ExposedRuns {
    fn extend(&mut self, other: Self) {
        self.contents.extend(other.contents);
        self.parts.extend(other.parts);
    }
}

/// Runs whose connections one replica lost at about the same time, and the state of their
/// investigation.
pub struct CrashInvestigation {
    at: SentTo,
    /// When the first connection was lost, by the monotonic clock.
    lost_ms: u64,
    runs: RefCell<ExposedRuns>,
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
    runs: ExposedRuns,
    /// When its connections were lost, by the monotonic clock; `None` if none was.
    lost_ms: Option<u64>,
    until_ms: u64,
}

/// What an entry knows of crashes.
#[derive(Default)]
pub struct CrashTracker {
    suspects: RefCell<SuspectIndex>,
    open: RefCell<BTreeMap<ReplicaIncarnation, Rc<CrashInvestigation>>>,
    watched: RefCell<VecDeque<WatchedReplica>>,
    /// Notified when standings of prompt parts change.
    parts_changed: Notify,
    pub(super) sound_runs: SoundRuns,
}

impl CrashTracker {
    /// Whether no content is suspect, so that no digests of requests are needed.
    pub fn has_no_suspects(&self) -> bool {
        self.suspects.borrow().is_empty()
    }

    /// Returns the verdict on a prompt with these parts.
    pub fn prompt_standing(&self, parts: &[ContentDigest]) -> PromptStanding {
        self.with_parts(|standings| prompt_standing(standings, parts))
    }

    /// Calls a function with the standings of prompt parts.
    pub(super) fn with_parts<T>(&self, function: impl FnOnce(&PartStandings) -> T) -> T {
        function(self.suspects.borrow().parts())
    }

    /// Returns once one of the parts of a prompt is quarantined.
    pub async fn quarantined(&self, parts: &[ContentDigest]) {
        loop {
            let changed = self.parts_changed.notified();
            if matches!(self.prompt_standing(parts), PromptStanding::Quarantined(_)) {
                return;
            }
            changed.await;
        }
    }

    fn watch(&self, at: SentTo, runs: ExposedRuns, lost_ms: Option<u64>, for_ms: u64) {
        let mut watched = self.watched.borrow_mut();
        watched.push_back(WatchedReplica {
            at,
            runs,
            lost_ms,
            until_ms: clock::monotonic_ms() + for_ms,
        });
        if watched.len() > MAX_WATCHED {
            watched.pop_front();
        }
    }

    /// Removes a crashed incarnation from the watch list. Returns what may have run there, and when
    /// its connections were lost.
    fn take_watched(&self, ended: &ReplicaIncarnation) -> (ExposedRuns, Option<u64>) {
        let now_ms = clock::monotonic_ms();
        let mut watched = self.watched.borrow_mut();
        let same =
            |other: &WatchedReplica| other.at.incarnation == *ended && other.until_ms > now_ms;
        let lost_ms = watched.iter().filter(|other| same(other));
        let lost_ms = lost_ms.filter_map(|other| other.lost_ms).min();
        let mut runs = ExposedRuns::default();
        for other in watched.iter().filter(|other| same(other)) {
            runs.extend(other.runs.clone());
        }
        watched.retain(|other| other.at.incarnation != *ended);
        (runs, lost_ms)
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
        runs: ExposedRuns,
    ) -> Option<Rc<CrashInvestigation>> {
        if self.is_leaving(&at.incarnation) {
            return None;
        }
        let mut open = self.crashes.open.borrow_mut();
        let known = open.get(&at.incarnation).cloned();
        let investigation = known.unwrap_or_else(|| {
            let investigation = Rc::new(CrashInvestigation {
                at: at.clone(),
                lost_ms: clock::monotonic_ms(),
                runs: RefCell::default(),
                finished: Cell::new(false),
                done: Notify::new(),
            });
            open.insert(at.incarnation.clone(), investigation.clone());
            daemon::spawn_local(investigate(self.clone(), investigation.clone()));
            investigation
        });
        investigation.runs.borrow_mut().extend(runs);
        Some(investigation)
    }

    /// Watches a replica for which a sent request was abandoned, as the caller left or the time ran
    /// out: it may still run the request.
    pub fn abandon_run(&self, at: SentTo, runs: ExposedRuns) {
        self.crashes.watch(at, runs, None, ABANDONED_MS);
    }

    /// Whether the incarnation of a replica still runs that has just closed a connection without
    /// telling whether its response was complete. `None` if that is not known.
    pub(super) async fn outlives_close(self: &Rc<Self>, at: &SentTo) -> Option<bool> {
        let closed = Instant::now();
        // An idle connection would not prove it: its own close may still be on the way.
        let opened = open_probe(self, at).await;
        match conclude_probe(self, at, opened) {
            // Another incarnation may listen at the address by now.
            Probe::Alive => self.has_run_since(at, closed).await,
            Probe::Ended => Some(false),
            Probe::Silent => None,
        }
    }

    /// Whether a replica is known to be draining.
    fn is_leaving(&self, incarnation: &ReplicaIncarnation) -> bool {
        let drains = |record: &ReplicaRecord| record.phase == ReplicaPhase::Draining;
        let replicas = self.replicas.borrow();
        replicas.is_draining(incarnation) || replicas.record(&incarnation.id).is_some_and(drains)
    }

    /// Takes over the standings in the log, and looks for new incarnations of watched replicas.
    pub(super) fn update_crashes(self: &Rc<Self>, view: &SiteView) {
        let mut suspects = self.crashes.suspects.borrow_mut();
        suspects.follow(view.position, &view.contents);
        let parts_changed = suspects.follow_parts(&view.parts);
        drop(suspects);
        if parts_changed {
            self.crashes.parts_changed.notify_waiters();
        }
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
            let (runs, lost_ms) = self.crashes.take_watched(&incarnation);
            let lost_ms = lost_ms.unwrap_or(now_ms);
            let proof = "replica restarted";
            daemon::spawn_local(report_crash(
                self.clone(),
                incarnation,
                runs,
                lost_ms,
                proof,
            ));
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
    let mut runs = investigation.runs.borrow().clone();
    let lost_ms = investigation.lost_ms;
    let watch = |runs, for_ms| {
        let at = investigation.at.clone();
        core.crashes.watch(at, runs, Some(lost_ms), for_ms);
    };
    match probe {
        Probe::Ended => {
            runs.extend(core.crashes.take_watched(&incarnation).0);
            let proof = "connection refused";
            report_crash(core.clone(), incarnation, runs, lost_ms, proof).await;
        }
        Probe::Alive => watch(runs, SHORT_WATCH_MS),
        Probe::Silent => watch(runs, WATCH_MS),
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
        None => open_probe(core, at).await,
    };
    conclude_probe(core, at, opened)
}

async fn open_probe(core: &EntryCore, at: &SentTo) -> Result<Connection, ExchangeError> {
    core.count_opened();
    Connection::open(at.address, PROBE_TIMEOUT).await
}

/// Returns what a connection shows, and keeps it for the next request.
fn conclude_probe(
    core: &EntryCore,
    at: &SentTo,
    opened: Result<Connection, ExchangeError>,
) -> Probe {
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
async fn report_crash(
    core: Rc<EntryCore>,
    replica: ReplicaIncarnation,
    runs: ExposedRuns,
    lost_ms: u64,
    proof: &'static str,
) {
    core.count("dunlinspring_replica_crashes_total", &[]);
    log_crash(&replica, &runs, proof);
    let parts = runs.parts.iter();
    let parts = parts.map(|part| (*part, core.crashes.sound_runs.has_run(part)));
    let begun = BegunParts {
        parts: parts.collect(),
        observed_ms: lost_ms,
    };
    let report = CrashReport {
        replica,
        contents: runs.contents,
    };
    core.crashes
        .suspects
        .borrow_mut()
        .record_crash(&report, None);
    if let Some(position) = crash_report::report_crash(core.link(), &report, begun).await {
        let mut suspects = core.crashes.suspects.borrow_mut();
        suspects.record_crash(&report, Some(position));
    }
}

fn log_crash(replica: &ReplicaIncarnation, runs: &ExposedRuns, proof: &str) {
    tracing::warn!(
        replica = %replica.id,
        born_ms = replica.started_ms,
        contents = join_digests(runs.contents.iter().take(MAX_LOGGED_CONTENTS)),
        parts = join_digests(runs.parts.iter().take(MAX_LOGGED_CONTENTS)),
        count = runs.contents.len(),
        proof,
        "replica ended under requests"
    );
}
