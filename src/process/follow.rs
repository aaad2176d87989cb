//! A member's copy of the log's state, fed by all control hosts.
//!
//! Each control host is only queried for its position; the changes are pulled once, from the
//! first host that is ahead. So a host that is partitioned, suspended or behind delays nothing
//! as long as another one is up to date.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::Notify;

use crate::clock;
use crate::ids::{HallName, Position};
use crate::process::pages;
use crate::process::peers::{self, ControlLink, PeerError};
use crate::process::wire::{ControlRefusal, PositionUpdate};
use crate::routing::freshness::ProofCache;
use crate::routing::view::SiteView;

/// Longest time for which a control host may hold back its position, in milliseconds.
const UPDATE_WAIT_MS: u64 = 1_000;
/// Timeout of a call that may be held for [`UPDATE_WAIT_MS`].
const UPDATE_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Timeout of one pull. A full snapshot with thousands of replicas takes a second over a link
/// of 10 Mbit/s, and other members may be served first. Meanwhile the copy is pulled from other
/// hosts.
const PULL_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Longest wait for the pull of another task before this host is pulled from as well, and the
/// head start of hosts in the same hall.
const PULL_LOCK_WAIT: Duration = Duration::from_millis(60);
/// The same wait for a full snapshot: five copies at once would take five times as long.
const FULL_PULL_LOCK_WAIT: Duration = Duration::from_millis(1_500);
/// Time for which a control host in the same hall has precedence after its reply, in
/// milliseconds: traffic between halls is expensive, and each host replies once a second.
const LOCAL_HALL_TTL_MS: u64 = 1_500;
/// Delay after a control host did not reply. It doubles with each failure while a leader is
/// known.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Upper limit of that delay.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time without a leader after which the delay stays short, in milliseconds: after a power loss
/// of all hosts, each one that returns must be found at once.
const LEADER_LOST_MS: u64 = 1_500;

/// Copy of the state, shared by the tasks of a process.
pub struct ControlFollower {
    link: Arc<ControlLink>,
    hall: HallName,
    /// When a control host in the same hall last reported a position that is not behind this
    /// copy.
    local_hall_seen_ms: AtomicU64,
    view: Mutex<SiteView>,
    watched: Mutex<BTreeSet<String>>,
    /// Held during a pull.
    pull_lock: tokio::sync::Mutex<()>,
    leader_seen_ms: AtomicU64,
    proofs: Mutex<ProofCache>,
    changed: Notify,
    proof_received: Notify,
}

impl ControlFollower {
    /// Creates an empty copy for a member in that hall.
    pub fn new(link: Arc<ControlLink>, hall: HallName) -> Self {
        Self {
            link,
            hall,
            local_hall_seen_ms: AtomicU64::new(0),
            view: Mutex::new(SiteView::default()),
            watched: Mutex::new(BTreeSet::new()),
            pull_lock: tokio::sync::Mutex::new(()),
            leader_seen_ms: AtomicU64::new(0),
            proofs: Mutex::default(),
            changed: Notify::new(),
            proof_received: Notify::new(),
        }
    }

    /// Returns the link to the control hosts.
    pub fn link(&self) -> &Arc<ControlLink> {
        &self.link
    }

    /// Locks the copy.
    pub fn view(&self) -> MutexGuard<'_, SiteView> {
        self.view
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    /// Returns the log position of the copy.
    pub fn position(&self) -> Position {
        self.view().position
    }

    /// Returns the time since a control host last knew a leader, in milliseconds.
    pub fn stale_ms(&self) -> u64 {
        clock::monotonic_ms().saturating_sub(self.leader_seen_ms.load(Ordering::SeqCst))
    }

    /// Returns once the copy has changed.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Returns the age of the latest proof that no configuration newer than `version` had been
    /// acknowledged, in milliseconds; `None` without a proof.
    pub fn proof_age_ms(&self, version: u64) -> Option<u64> {
        let proven_ms = peers::lock(&self.proofs).fresh_at_ms(version)?;
        Some(clock::monotonic_ms().saturating_sub(proven_ms))
    }

    /// Returns once a further proof was received.
    pub async fn proof_received(&self) {
        self.proof_received.notified().await;
    }

    /// Watches a control host, and all further hosts that it names.
    pub fn watch(self: &Arc<Self>, address: &str) {
        self.link.add_host(address);
        let mut watched = self.watched.lock().unwrap_or_else(|b| b.into_inner());
        if watched.insert(address.to_owned()) {
            tokio::spawn(watch_host(self.clone(), address.to_owned()));
        }
    }

    fn on_update(self: &Arc<Self>, update: &PositionUpdate, requested_ms: u64) {
        for host in &update.hosts {
            self.watch(host.as_str());
        }
        if update.hall == self.hall && update.position >= self.position() {
            let now_ms = clock::monotonic_ms();
            self.local_hall_seen_ms.fetch_max(now_ms, Ordering::SeqCst);
        }
        let leader_seen_ms = requested_ms.saturating_sub(update.leaderless_ms);
        self.leader_seen_ms
            .fetch_max(leader_seen_ms, Ordering::SeqCst);
        if let Some(proof) = update.proof {
            peers::lock(&self.proofs).record(proof, requested_ms);
            self.proof_received.notify_waiters();
        }
    }

    /// Returns whether a pull from a host in `hall` waits, because a host in the own hall is
    /// expected to have the same changes.
    fn prefers_local_hall(&self, hall: &HallName) -> bool {
        let local_hall_seen_ms = self.local_hall_seen_ms.load(Ordering::SeqCst);
        *hall != self.hall && clock::monotonic_ms() < local_hall_seen_ms + LOCAL_HALL_TTL_MS
    }

    async fn catch_up(&self, address: &str, hall: &HallName, target: Position) {
        if self.prefers_local_hall(hall) {
            tokio::time::sleep(PULL_LOCK_WAIT).await;
        }
        let pause = match self.position() {
            Position(0) => FULL_PULL_LOCK_WAIT,
            _ => PULL_LOCK_WAIT,
        };
        // One pull at a time, unless it takes too long.
        let _guard = tokio::time::timeout(pause, self.pull_lock.lock()).await;
        if self.position() >= target {
            return;
        }
        let cursor = self.position();
        let pulled = self
            .link
            .call_at(address, "sync", |client| async move {
                let context = peers::within(PULL_TIMEOUT);
                client.sync(context, cursor, 0, false).await
            })
            .await;
        let Ok(Ok(reply)) = pulled else {
            return;
        };
        if let Ok(page) = pages::complete(&self.link, address, reply).await
            && self.view().follow(&page)
        {
            self.changed.notify_one();
        }
    }
}

async fn watch_host(follower: Arc<ControlFollower>, address: String) {
    let mut pause = MIN_RETRY_DELAY;
    let mut reached = None;
    loop {
        let cursor = follower.position();
        let requested_ms = clock::monotonic_ms();
        let answer = query_update(&follower, &address, cursor).await;
        let answered = matches!(answer, Ok(Ok(_)));
        if reached != Some(answered) {
            tracing::info!(peer = %address, answered, "control host reachability changed");
            reached = Some(answered);
        }
        match answer {
            Ok(Ok(update)) => {
                pause = MIN_RETRY_DELAY;
                follower.on_update(&update, requested_ms);
                if update.position > cursor {
                    follower
                        .catch_up(&address, &update.hall, update.position)
                        .await;
                }
            }
            _ => {
                tokio::time::sleep(pause).await;
                pause = match follower.stale_ms() {
                    stale_ms if stale_ms > LEADER_LOST_MS => MIN_RETRY_DELAY,
                    _ => (pause * 2).min(MAX_RETRY_DELAY),
                };
            }
        }
    }
}

async fn query_update(
    follower: &ControlFollower,
    address: &str,
    cursor: Position,
) -> Result<Result<PositionUpdate, ControlRefusal>, PeerError> {
    let link = &follower.link;
    link.call_at(address, "notice", |client| async move {
        client
            .notice(peers::within(UPDATE_TIMEOUT), cursor, UPDATE_WAIT_MS)
            .await
    })
    .await
}
