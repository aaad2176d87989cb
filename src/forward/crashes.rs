//! Finds out whether a replica ended under the runs that broke off there, and tells the log.
//!
//! A broken connection is no proof: a reset, a garbled answer and a planned end look alike. A
//! replica whose process has ended refuses connections at once, and one that started again
//! tells so: the first shows within milliseconds, the second within a heartbeat. Silence
//! proves nothing: it may be the link.

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
use crate::forward::upstream::Connection;
use crate::ids::{ContentDigest, ReplicaIncarnation};
use crate::process::{crash_report, daemon};
use crate::routing::suspects::SuspectIndex;
use crate::routing::view::SiteView;

/// Time in which the connections that a replica's end breaks are seen to break, all of them.
const GATHER: Duration = Duration::from_millis(10);
/// Time in which a process that ended refuses a connection: a round trip between halls.
const PROBE_TIME: Duration = Duration::from_millis(150);
/// Pauses before a replica that said nothing is asked again: links lose packets.
const PROBE_PAUSES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(200),
    Duration::from_millis(800),
];
/// How long a replica that may have ended is watched for word of a new life, in
/// milliseconds: it is back after some seconds, and tells so by its first heartbeat.
const WATCH_MS: u64 = 15_000;
/// The same where it took a connection right after: it may have been back by then.
const SHORT_WATCH_MS: u64 = 2_000;
/// How long a request that this entry gave up may still end its replica, in milliseconds:
/// most replicas drop it, the others begin it within their queue's time.
const LEFT_MS: u64 = 5_000;
/// Lives that are watched at most, the newest.
const MAX_WATCHED: usize = 1_024;
/// Contents that one log line names: a batch of an engine, so that each refused request finds
/// the ends behind it.
const MAX_NAMED: usize = 64;

/// Where a request was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentTo {
    /// The replica, in the life that was meant.
    pub life: ReplicaIncarnation,
    /// Its address.
    pub address: SocketAddr,
}

impl SentTo {
    /// A replica as it is known now.
    pub fn new(record: &ReplicaRecord) -> Self {
        Self {
            life: record.incarnation(),
            address: record.address,
        }
    }
}

/// Runs that broke off at one replica at about the same time, and what is found out of it.
pub struct CrashCase {
    at: SentTo,
    contents: RefCell<BTreeSet<ContentDigest>>,
    closed: Cell<bool>,
    found: Notify,
}

impl CrashCase {
    /// Returns once it is known whether the replica ended, as far as it ever will be, and
    /// the log holds it if it did.
    pub async fn found(&self) {
        loop {
            let found = self.found.notified();
            if self.closed.get() {
                return;
            }
            found.await;
        }
    }
}

/// A replica that may have ended, or may end under a request that was given up.
struct WatchedLife {
    at: SentTo,
    contents: BTreeSet<ContentDigest>,
    until_ms: u64,
}

/// What an entry knows of crashes.
#[derive(Default)]
pub struct CrashWatch {
    suspects: RefCell<SuspectIndex>,
    open: RefCell<BTreeMap<ReplicaIncarnation, Rc<CrashCase>>>,
    watched: RefCell<VecDeque<WatchedLife>>,
}

impl CrashWatch {
    /// Whether no content is suspect, so that nobody needs a request's digest.
    pub fn is_quiet(&self) -> bool {
        self.suspects.borrow().is_empty()
    }

    fn watch(&self, at: SentTo, contents: BTreeSet<ContentDigest>, for_ms: u64) {
        let mut watched = self.watched.borrow_mut();
        watched.push_back(WatchedLife {
            at,
            contents,
            until_ms: clock::monotonic_ms() + for_ms,
        });
        if watched.len() > MAX_WATCHED {
            watched.pop_front();
        }
    }

    /// What else may have run in a life that has ended.
    fn take_watched(&self, life: &ReplicaIncarnation) -> BTreeSet<ContentDigest> {
        let now_ms = clock::monotonic_ms();
        let mut watched = self.watched.borrow_mut();
        let same = |other: &WatchedLife| other.at.life == *life && other.until_ms > now_ms;
        let found = watched.iter().filter(|other| same(other));
        let contents = found
            .flat_map(|other| other.contents.iter().copied())
            .collect();
        watched.retain(|other| other.at.life != *life);
        contents
    }

    /// What is to be made of a content.
    pub fn standing(&self, content: &ContentDigest) -> ContentStanding {
        self.suspects.borrow().standing(content)
    }
}

impl EntryCore {
    /// A run broke off at a replica, and it is to be found out whether that ended. None
    /// where it is known to leave anyway.
    pub fn suspect_crash(
        self: &Rc<Self>,
        at: &SentTo,
        content: ContentDigest,
    ) -> Option<Rc<CrashCase>> {
        let drains = |record: &ReplicaRecord| record.phase == ReplicaPhase::Draining;
        let book = self.book.borrow();
        if book.leaves(&at.life) || book.record(&at.life.id).is_some_and(drains) {
            return None;
        }
        drop(book);
        let mut open = self.crashes.open.borrow_mut();
        let known = open.get(&at.life).cloned();
        let case = known.unwrap_or_else(|| {
            let case = Rc::new(CrashCase {
                at: at.clone(),
                contents: RefCell::default(),
                closed: Cell::new(false),
                found: Notify::new(),
            });
            open.insert(at.life.clone(), case.clone());
            daemon::spawn_local(examine(self.clone(), case.clone()));
            case
        });
        case.contents.borrow_mut().insert(content);
        Some(case)
    }

    /// A request that was sent is given up, as its caller left or its time went by: its
    /// replica may still run it.
    pub fn leave_run(&self, at: SentTo, content: ContentDigest) {
        let contents = BTreeSet::from([content]);
        self.crashes.watch(at, contents, LEFT_MS);
    }

    /// Takes over what the log holds, and looks for new lives of replicas that may have ended.
    pub(super) fn follow_crashes(self: &Rc<Self>, view: &SiteView) {
        let mut suspects = self.crashes.suspects.borrow_mut();
        suspects.follow(view.position, &view.contents);
        drop(suspects);
        let now_ms = clock::monotonic_ms();
        let mut watched = self.crashes.watched.borrow_mut();
        watched.retain(|watched| watched.until_ms > now_ms);
        let born_again = |watched: &&WatchedLife| has_next_life(view, &watched.at);
        let ended = watched.iter().filter(born_again);
        let ended: BTreeSet<ReplicaIncarnation> =
            ended.map(|watched| watched.at.life.clone()).collect();
        drop(watched);
        for life in ended {
            let contents = self.crashes.take_watched(&life);
            let replica = life;
            let report = CrashReport { replica, contents };
            daemon::spawn_local(report_crash(self.clone(), report, "it started again"));
        }
    }
}

/// Whether another life has begun where a replica was.
fn has_next_life(view: &SiteView, at: &SentTo) -> bool {
    let known = view.replicas.get(&at.life.id);
    match known {
        Some(record) if record.incarnation() == at.life => false,
        _ => {
            let mut others = view.replicas.values();
            others.any(|record| record.address == at.address && record.incarnation() != at.life)
        }
    }
}

/// Finds out whether a replica has ended.
async fn examine(core: Rc<EntryCore>, case: Rc<CrashCase>) {
    tokio::time::sleep(GATHER).await;
    let life = case.at.life.clone();
    let probe = probe_again(&core, &case.at).await;
    core.crashes.open.borrow_mut().remove(&life);
    let mut contents = case.contents.borrow().clone();
    match probe {
        Probe::Ended => {
            contents.extend(core.crashes.take_watched(&life));
            let replica = life;
            let report = CrashReport { replica, contents };
            report_crash(core.clone(), report, "it refuses connections").await;
        }
        Probe::Lives => core
            .crashes
            .watch(case.at.clone(), contents, SHORT_WATCH_MS),
        Probe::Silent => core.crashes.watch(case.at.clone(), contents, WATCH_MS),
    }
    case.closed.set(true);
    case.found.notify_waiters();
}

/// What a replica does with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Probe {
    /// It takes it.
    Lives,
    /// Nobody listens there.
    Ended,
    /// Nothing is heard.
    Silent,
}

async fn probe_again(core: &EntryCore, at: &SentTo) -> Probe {
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
    // Where one that rests is still open, a new one need not be paid for.
    let kept = core.pool.borrow_mut().take(&at.life.id);
    let opened = match kept {
        Some(connection) => Ok(connection),
        None => {
            core.count_opened();
            Connection::open(at.address, PROBE_TIME).await
        }
    };
    match opened {
        Ok(connection) => {
            core.pool.borrow_mut().put(&at.life.id, connection);
            Probe::Lives
        }
        Err(error) if error.is_refused() => Probe::Ended,
        Err(_) => Probe::Silent,
    }
}

/// Tells the log of a replica's end, until it holds it.
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
    let named = report.contents.iter().take(MAX_NAMED);
    let named: Vec<String> = named.map(ToString::to_string).collect();
    tracing::warn!(
        replica = %report.replica.id,
        born_ms = report.replica.started_ms,
        contents = named.join(","),
        count = report.contents.len(),
        proof,
        "replica ended under requests"
    );
}
