//! Code that entries and agents share: joining the site and following its log.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::Notify;

use crate::consensus::state::{Command, MemberRole, Reply};
use crate::ids::{HostName, Incarnation, Position};
use crate::process::daemon::DaemonError;
use crate::process::pages;
use crate::process::peers::{self, ControlLink, PeerError};
use crate::process::settings::CommonSettings;
use crate::process::wire::ControlWireClient;
use crate::routing::view::{SiteView, SyncPage};

/// Longest time for which a control host may hold back its reply, in milliseconds.
const SYNC_WAIT_MS: u64 = 1_000;
/// Timeout of a call that may be held for [`SYNC_WAIT_MS`].
const SYNC_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Delay after a control host did not reply.
const SYNC_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Timeout of joining, after which the start of a process fails.
const JOIN_TIMEOUT: Duration = Duration::from_secs(30);

/// A member's copy of the site's state, shared by its tasks.
pub struct SiteFollower {
    link: Arc<ControlLink>,
    view: Mutex<SiteView>,
    /// Highest position that a peer reported.
    observed: AtomicU64,
    behind: Notify,
}

impl SiteFollower {
    /// Creates an empty copy.
    pub fn new(link: Arc<ControlLink>) -> Self {
        Self {
            link,
            view: Mutex::new(SiteView::default()),
            observed: AtomicU64::new(0),
            behind: Notify::new(),
        }
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

    /// Records the position that a peer reported. If the copy stays behind it, another control
    /// host is queried.
    pub fn observe_position(&self, position: Position) {
        let known = self.observed.fetch_max(position.0, Ordering::SeqCst);
        if position.0 > known {
            self.behind.notify_one();
        }
    }

    /// Returns once the copy is still behind a reported position after [`SYNC_RETRY_DELAY`].
    async fn sync_overdue(&self) {
        loop {
            self.behind.notified().await;
            tokio::time::sleep(SYNC_RETRY_DELAY).await;
            if self.position().0 < self.observed.load(Ordering::SeqCst) {
                return;
            }
        }
    }

    /// Fills the copy with a linearizable read.
    pub async fn start(&self) -> Result<(), PeerError> {
        let page = pages::read_newest(&self.link, JOIN_TIMEOUT).await?;
        self.view().follow(&page);
        Ok(())
    }

    /// Pulls the changes after a cursor from the control host with that index.
    async fn pull(&self, number: usize, cursor: Position) -> Result<SyncPage, PeerError> {
        let address = self.link.address(number);
        let call = |client: ControlWireClient| async move {
            let context = peers::within(SYNC_TIMEOUT);
            client.sync(context, cursor, SYNC_WAIT_MS, false).await
        };
        let reply = self.link.call_at(&address, "sync", call).await?;
        let reply = reply.map_err(|refusal| PeerError::Refused {
            step: "sync",
            peer: address.clone(),
            refusal,
        })?;
        pages::complete(&self.link, &address, reply).await
    }

    /// Follows the log forever. `seed` spreads members over the control hosts; `changed` is
    /// called after each page that was applied.
    pub async fn run(&self, seed: usize, mut changed: impl FnMut(&SiteView)) {
        let mut number = seed;
        loop {
            let cursor = self.position();
            let answer = tokio::select! {
                answer = self.pull(number, cursor) => Some(answer),
                () = self.sync_overdue() => None,
            };
            match answer {
                Some(Ok(page)) => {
                    let mut view = self.view();
                    if view.follow(&page) {
                        changed(&view);
                    }
                }
                None => number += 1,
                Some(_) => {
                    number += 1;
                    tokio::time::sleep(SYNC_RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Joins the site and returns the new incarnation.
pub async fn join(
    link: &ControlLink,
    common: &CommonSettings,
    role: MemberRole,
    address: &str,
) -> Result<Incarnation, DaemonError> {
    let (host, hall) = (&common.host, &common.hall);
    let command = Command::Join(host.clone(), role, address.to_owned(), hall.clone());
    match propose(link, "join", JOIN_TIMEOUT, command).await? {
        Reply::Joined(incarnation) => Ok(incarnation),
        reply => unreachable!("unexpected reply to a join: {reply:?}"),
    }
}

/// Resumes an incarnation that was considered lost. Returns false if another process has taken
/// the host name.
pub async fn rejoin(
    link: &ControlLink,
    common: &CommonSettings,
    role: MemberRole,
    address: &str,
    incarnation: Incarnation,
) -> Result<bool, PeerError> {
    let (host, hall) = (&common.host, &common.hall);
    let command = Command::Rejoin(
        host.clone(),
        role,
        address.to_owned(),
        hall.clone(),
        incarnation,
    );
    let reply = propose(link, "rejoin", SYNC_TIMEOUT, command).await?;
    Ok(reply == Reply::Joined(incarnation))
}

/// Commits a command.
pub async fn propose(
    link: &ControlLink,
    step: &'static str,
    timeout: Duration,
    command: Command,
) -> Result<Reply, PeerError> {
    let answer = propose_at(link, step, timeout, command).await;
    answer.map(|(_, reply)| reply)
}

/// Commits a command and returns its position in the log as well.
pub async fn propose_at(
    link: &ControlLink,
    step: &'static str,
    timeout: Duration,
    command: Command,
) -> Result<(Position, Reply), PeerError> {
    link.call_leader(step, timeout, |client, context| {
        let command = command.clone();
        async move { client.propose(context, command).await }
    })
    .await
}

/// Returns a number derived from the host name, to spread members over control hosts.
pub fn spread_seed(host: &HostName) -> usize {
    crc32fast::hash(host.as_str().as_bytes()) as usize
}
