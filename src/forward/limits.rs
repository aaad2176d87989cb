//! Reports to the leader the rate limits that replicas advertise, and receives those seen by other
//! entries.

use std::rc::Rc;
use std::time::Duration;

use crate::clock;
use crate::forward::daemon::EntryCore;
use crate::ids::ReplicaIncarnation;
use crate::placement::advertised_limits::{LimitPage, PermitStamp};
use crate::placement::advertised_rate::AdvertisedRate;

/// Shortest time between two reports.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Wait after a report that failed, or that reached a leader which does not know all limits yet.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Time limit of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);

/// Reports changes of rate limits immediately. The first report is empty: its reply brings the
/// limits that other entries saw before this one started.
pub async fn report_limits(core: Rc<EntryCore>) {
    let mut due = true;
    loop {
        let changed = core.limit_changed.notified();
        if !due && !core.replicas.borrow().limits().is_report_due() {
            changed.await;
        }
        let reply = report_once(&core).await;
        // A new leader that still collects the limits known to entries has returned none.
        due = !reply || !core.replicas.borrow().limits().follows_leader();
        tokio::time::sleep(if due {
            RETRY_INTERVAL
        } else {
            MIN_REPORT_INTERVAL
        })
        .await;
    }
}

/// Returns whether the leader received the report.
async fn report_once(core: &EntryCore) -> bool {
    let sent_ms = clock::monotonic_ms();
    let report = core.replicas.borrow_mut().limits_mut().report(sent_ms);
    let reply = core
        .link()
        .call_leader("limits", REPORT_TIMEOUT, |client, context| {
            let report = report.clone();
            async move { client.limits(context, report).await }
        })
        .await;
    match reply {
        Ok(page) => {
            let mut replicas = core.replicas.borrow_mut();
            replicas.limits_mut().acknowledge(sent_ms, &report);
            drop(replicas);
            core.apply_limits(&page);
            true
        }
        Err(error) => {
            tracing::debug!(%error, "report of rate limits failed");
            core.replicas
                .borrow_mut()
                .limits_mut()
                .record_failed_report();
            false
        }
    }
}

impl EntryCore {
    /// Records a rate limit that a replica advertised in a response.
    pub fn record_limit(
        &self,
        replica: &ReplicaIncarnation,
        rate: AdvertisedRate,
        permit: Option<PermitStamp>,
    ) {
        let now_ms = clock::monotonic_ms();
        let mut replicas = self.replicas.borrow_mut();
        if replicas
            .limits_mut()
            .record_limit(now_ms, replica, rate, permit)
        {
            self.count("dunlinspring_limits_named_total", &[]);
            tracing::info!(%replica, per_s = rate.per_s(), "replica advertises a rate limit");
            self.limit_changed.notify_one();
        }
    }

    /// Records a response without a rate limit, to a request that needed a permit.
    pub fn record_limit_end(&self, replica: &ReplicaIncarnation, permit: PermitStamp) {
        let mut replicas = self.replicas.borrow_mut();
        if replicas.limits_mut().record_no_limit(replica, permit) {
            tracing::info!(%replica, "replica no longer advertises a rate limit");
            self.limit_changed.notify_one();
        }
    }

    /// Applies changes of rate limits from the leader.
    pub fn apply_limits(&self, page: &LimitPage) {
        let mut replicas = self.replicas.borrow_mut();
        for state in &page.limits {
            if replicas.limits().changes_rate(state) {
                let per_s = state.rate.map(|rate| rate.per_s());
                tracing::info!(replica = %state.replica, per_s, "rate limit of a replica changed");
                replicas
                    .permit_throttle_mut()
                    .update_rate(&state.replica.id, state.rate);
            }
        }
        let limits = replicas.limits_mut();
        let ended = limits.apply_page(clock::monotonic_ms(), page);
        let has_news = limits.is_report_due();
        drop(replicas);
        if ended {
            self.notify_changed();
        }
        if has_news {
            self.limit_changed.notify_one();
        }
    }
}
