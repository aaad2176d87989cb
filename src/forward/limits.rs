//! Tells the leader of limits that replicas name, and hears of those that others heard of.

use std::rc::Rc;
use std::time::Duration;

use crate::clock;
use crate::forward::daemon::EntryCore;
use crate::ids::ReplicaLife;
use crate::placement::named_limits::{LimitPage, PermitStamp};
use crate::placement::named_rate::NamedRate;

/// Least time between two reports.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Pause after a report that was not heard, or not by a leader that knows all limits.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Time for a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);

/// Reports at once what is heard of limits. The first report is empty: it brings what others
/// heard before this entry started.
pub async fn report_limits(core: Rc<EntryCore>) {
    let mut due = true;
    loop {
        let changed = core.limit_changed.notified();
        if !due && !core.replicas.borrow().limits().has_news() {
            changed.await;
        }
        let reply = report_once(&core).await;
        // A new leader that still gathers what entries know has told nothing yet.
        due = !reply || !core.replicas.borrow().limits().follows();
        tokio::time::sleep(if due {
            RETRY_INTERVAL
        } else {
            MIN_REPORT_INTERVAL
        })
        .await;
    }
}

/// Returns whether the leader heard it.
async fn report_once(core: &EntryCore) -> bool {
    let sent_ms = clock::monotonic_ms();
    let report = core.replicas.borrow_mut().limits_mut().report(sent_ms);
    let reply = core
        .link()
        .decide("limits", REPORT_TIMEOUT, |client, context| {
            let report = report.clone();
            async move { client.limits(context, report).await }
        })
        .await;
    match reply {
        Ok(page) => {
            let mut replicas = core.replicas.borrow_mut();
            replicas.limits_mut().confirm(sent_ms, &report);
            drop(replicas);
            core.apply_limits(&page);
            true
        }
        Err(error) => {
            tracing::debug!(%error, "limits of replicas were not told");
            core.replicas.borrow_mut().limits_mut().miss();
            false
        }
    }
}

impl EntryCore {
    /// An answer of a replica names a limit.
    pub fn record_limit(
        &self,
        replica: &ReplicaLife,
        rate: NamedRate,
        permit: Option<PermitStamp>,
    ) {
        let now_ms = clock::monotonic_ms();
        let mut replicas = self.replicas.borrow_mut();
        if replicas.limits_mut().hear(now_ms, replica, rate, permit) {
            self.count("dunlinspring_limits_named_total", &[]);
            tracing::info!(%replica, per_s = rate.per_s(), "replica names a limit");
            self.limit_changed.notify_one();
        }
    }

    /// An answer of a replica, to a request that needed a permit, names no limit.
    pub fn record_limit_end(&self, replica: &ReplicaLife, permit: PermitStamp) {
        let mut replicas = self.replicas.borrow_mut();
        if replicas.limits_mut().hear_none(replica, permit) {
            tracing::info!(%replica, "replica names no limit any more");
            self.limit_changed.notify_one();
        }
    }

    /// Takes over the leader's changes of limits.
    pub fn apply_limits(&self, page: &LimitPage) {
        let mut replicas = self.replicas.borrow_mut();
        for state in &page.limits {
            if replicas.limits().is_news(state) {
                let per_s = state.rate.map(|rate| rate.per_s());
                tracing::info!(replica = %state.replica, per_s, "limit of a replica");
                replicas
                    .permit_pace_mut()
                    .follow(&state.replica.id, state.rate);
            }
        }
        let limits = replicas.limits_mut();
        let ended = limits.follow(clock::monotonic_ms(), page);
        let has_news = limits.has_news();
        drop(replicas);
        if ended {
            self.changed.notify_waiters();
        }
        if has_news {
            self.limit_changed.notify_one();
        }
    }
}
