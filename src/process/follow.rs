//! A member's copy of what the log holds, fed by every control host.
//!
//! Each control host is asked for its position only; the changes are pulled
//! once, from the first host that is ahead. So a host that is cut off, frozen or
//! behind delays nothing as long as another one is up to date.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::Notify;

use crate::clock;
use crate::ids::{HallName, Position};
use crate::process::peers::{self, ControlLink, PeerError};
use crate::process::wire::{ControlRefusal, Notice};
use crate::routing::freshness::ProofCache;
use crate::routing::view::SiteView;

/// Longest wait for one notice.
const NOTICE_WAIT_MS: u64 = 1_000;
/// Time for a call that waits [`NOTICE_WAIT_MS`].
const NOTICE_TIME: Duration = Duration::from_millis(1_600);
/// Time for one pull: all of thousands of replicas takes a second over a link of 10 Mbit/s,
/// and others may be served first. Other hosts are pulled from meanwhile.
const PULL_TIME: Duration = Duration::from_millis(4_000);
/// Pause after another task's pull, before this host is pulled from as well.
const PULL_PAUSE: Duration = Duration::from_millis(60);
/// The same pause where all is pulled: five copies at once would take five times as long.
const WHOLE_PULL_PAUSE: Duration = Duration::from_millis(1_500);
/// How long a host of the same hall that was heard is waited for with what others tell of,
/// in milliseconds: bytes between halls are dear, and each host answers once a second.
const NEAR_MS: u64 = 1_500;
/// Pause after a host that did not answer; it doubles while others answer.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// Time without word of a leader from which the pause stays short, in milliseconds:
/// after a loss of power of all hosts each one that returns must be found at once.
const LOST_MS: u64 = 1_500;

/// The copy, shared by a process's tasks.
pub struct ControlFollower {
    link: Arc<ControlLink>,
    hall: HallName,
    /// When a control host of the same hall was last heard that has news.
    near_ms: AtomicU64,
    view: Mutex<SiteView>,
    watched: Mutex<BTreeSet<String>>,
    /// Held while all or a part is pulled.
    turn: tokio::sync::Mutex<()>,
    fresh_ms: AtomicU64,
    proofs: Mutex<ProofCache>,
    changed: Notify,
    proven: Notify,
}

impl ControlFollower {
    /// A copy of nothing, for a member in that hall.
    pub fn new(link: Arc<ControlLink>, hall: HallName) -> Self {
        Self {
            link,
            hall,
            near_ms: AtomicU64::new(0),
            view: Mutex::new(SiteView::default()),
            watched: Mutex::new(BTreeSet::new()),
            turn: tokio::sync::Mutex::new(()),
            fresh_ms: AtomicU64::new(0),
            proofs: Mutex::default(),
            changed: Notify::new(),
            proven: Notify::new(),
        }
    }

    /// The way to the control hosts.
    pub fn link(&self) -> &Arc<ControlLink> {
        &self.link
    }

    /// The copy.
    pub fn view(&self) -> MutexGuard<'_, SiteView> {
        self.view
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    /// How far the copy follows the log.
    pub fn position(&self) -> Position {
        self.view().position
    }

    /// How long no control host with a leader has been heard, in milliseconds.
    pub fn stale_ms(&self) -> u64 {
        clock::monotonic_ms().saturating_sub(self.fresh_ms.load(Ordering::SeqCst))
    }

    /// Returns once the copy has changed.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// For how long nothing newer than the configuration `version` is known not to exist,
    /// in milliseconds; none where it never was.
    pub fn unproven_ms(&self, version: u64) -> Option<u64> {
        let proven_ms = peers::lock(&self.proofs).fresh_at_ms(version)?;
        Some(clock::monotonic_ms().saturating_sub(proven_ms))
    }

    /// Returns once a further proof has come.
    pub async fn proven(&self) {
        self.proven.notified().await;
    }

    /// Watches a control host, and from then on each that it names.
    pub fn watch(self: &Arc<Self>, address: &str) {
        self.link.learn(address);
        let mut watched = self.watched.lock().unwrap_or_else(|b| b.into_inner());
        if watched.insert(address.to_owned()) {
            tokio::spawn(watch_host(self.clone(), address.to_owned()));
        }
    }

    fn heard(self: &Arc<Self>, notice: &Notice, asked_ms: u64) {
        for host in &notice.hosts {
            self.watch(host.as_str());
        }
        if notice.hall == self.hall && notice.position >= self.position() {
            let now_ms = clock::monotonic_ms();
            self.near_ms.fetch_max(now_ms, Ordering::SeqCst);
        }
        let fresh_ms = asked_ms.saturating_sub(notice.leaderless_ms);
        self.fresh_ms.fetch_max(fresh_ms, Ordering::SeqCst);
        if let Some(proof) = notice.proof {
            peers::lock(&self.proofs).record(proof, asked_ms);
            self.proven.notify_waiters();
        }
    }

    /// Whether a host of the same hall may be left to bring what another one tells of.
    fn leaves_to_near(&self, hall: &HallName) -> bool {
        let near_ms = self.near_ms.load(Ordering::SeqCst);
        *hall != self.hall && clock::monotonic_ms() < near_ms + NEAR_MS
    }

    async fn catch_up(&self, address: &str, hall: &HallName, target: Position) {
        if self.leaves_to_near(hall) {
            tokio::time::sleep(PULL_PAUSE).await;
        }
        let pause = match self.position() {
            Position(0) => WHOLE_PULL_PAUSE,
            _ => PULL_PAUSE,
        };
        // One at a time, but for one that takes too long.
        let _turn = tokio::time::timeout(pause, self.turn.lock()).await;
        if self.position() >= target {
            return;
        }
        let cursor = self.position();
        let pulled = self
            .link
            .call_at(address, "sync", |client| async move {
                let context = peers::within(PULL_TIME);
                client.sync(context, cursor, 0, false).await
            })
            .await;
        if let Ok(Ok(page)) = pulled
            && self.view().follow(&page)
        {
            self.changed.notify_one();
        }
    }
}

async fn watch_host(follower: Arc<ControlFollower>, address: String) {
    let mut pause = FIRST_PAUSE;
    let mut reached = None;
    loop {
        let cursor = follower.position();
        let asked_ms = clock::monotonic_ms();
        let answer = ask(&follower, &address, cursor).await;
        let answered = matches!(answer, Ok(Ok(_)));
        if reached != Some(answered) {
            tracing::info!(peer = %address, answered, "control host");
            reached = Some(answered);
        }
        match answer {
            Ok(Ok(notice)) => {
                pause = FIRST_PAUSE;
                follower.heard(&notice, asked_ms);
                if notice.position > cursor {
                    follower
                        .catch_up(&address, &notice.hall, notice.position)
                        .await;
                }
            }
            _ => {
                tokio::time::sleep(pause).await;
                pause = match follower.stale_ms() {
                    stale_ms if stale_ms > LOST_MS => FIRST_PAUSE,
                    _ => (pause * 2).min(LONGEST_PAUSE),
                };
            }
        }
    }
}

async fn ask(
    follower: &ControlFollower,
    address: &str,
    cursor: Position,
) -> Result<Result<Notice, ControlRefusal>, PeerError> {
    let link = &follower.link;
    link.call_at(address, "notice", |client| async move {
        client
            .notice(peers::within(NOTICE_TIME), cursor, NOTICE_WAIT_MS)
            .await
    })
    .await
}
