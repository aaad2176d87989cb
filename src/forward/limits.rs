//! Tells the leader of limits that replicas name, and hears of those that others heard of.

use std::rc::Rc;
use std::time::Duration;

use crate::clock;
use crate::forward::daemon::EntryCore;
use crate::ids::ReplicaIncarnation;
use crate::placement::named_limits::{LimitPage, PermitStamp};
use crate::placement::named_rate::AdvertisedRate;

/// Least time between two reports.
const PAUSE: Duration = Duration::from_millis(50);
/// Pause after a report that was not heard, or not by a leader that knows all limits.
const DUE_PAUSE: Duration = Duration::from_millis(300);
/// Time for a report.
const REPORT_TIME: Duration = Duration::from_millis(250);

/// Reports at once what is heard of limits. The first report is empty: it brings what others
/// heard before this entry started.
pub async fn tell_limits(core: Rc<EntryCore>) {
    let mut due = true;
    loop {
        let heard = core.limit_heard.notified();
        if !due && !core.book.borrow().limits().is_report_due() {
            heard.await;
        }
        let told = tell_once(&core).await;
        // A new leader that still gathers what entries know has told nothing yet.
        due = !told || !core.book.borrow().limits().follows_leader();
        tokio::time::sleep(if due { DUE_PAUSE } else { PAUSE }).await;
    }
}

/// Returns whether the leader heard it.
async fn tell_once(core: &EntryCore) -> bool {
    let asked_ms = clock::monotonic_ms();
    let report = core.book.borrow_mut().limits_mut().report(asked_ms);
    let told = core
        .link()
        .call_leader("limits", REPORT_TIME, |client, context| {
            let report = report.clone();
            async move { client.limits(context, report).await }
        })
        .await;
    match told {
        Ok(page) => {
            let mut book = core.book.borrow_mut();
            book.limits_mut().acknowledge(asked_ms, &report);
            drop(book);
            core.follow_limits(&page);
            true
        }
        Err(error) => {
            tracing::debug!(%error, "limits of replicas were not told");
            core.book.borrow_mut().limits_mut().record_failed_report();
            false
        }
    }
}

impl EntryCore {
    /// An answer of a replica names a limit.
    pub fn hear_limit(
        &self,
        replica: &ReplicaIncarnation,
        rate: AdvertisedRate,
        permit: Option<PermitStamp>,
    ) {
        let now_ms = clock::monotonic_ms();
        let mut book = self.book.borrow_mut();
        if book
            .limits_mut()
            .record_limit(now_ms, replica, rate, permit)
        {
            self.count("dunlinspring_limits_named_total", &[]);
            tracing::info!(%replica, per_s = rate.per_s(), "replica names a limit");
            self.limit_heard.notify_one();
        }
    }

    /// An answer of a replica, to a request that needed a permit, names no limit.
    pub fn hear_no_limit(&self, replica: &ReplicaIncarnation, permit: PermitStamp) {
        let mut book = self.book.borrow_mut();
        if book.limits_mut().record_no_limit(replica, permit) {
            tracing::info!(%replica, "replica names no limit any more");
            self.limit_heard.notify_one();
        }
    }

    /// Takes over the leader's changes of limits.
    pub fn follow_limits(&self, page: &LimitPage) {
        let mut book = self.book.borrow_mut();
        for state in &page.limits {
            if book.limits().changes_rate(state) {
                let per_s = state.rate.map(|rate| rate.per_s());
                tracing::info!(replica = %state.replica, per_s, "limit of a replica");
                book.pace_mut().update_rate(&state.replica.id, state.rate);
            }
        }
        let limits = book.limits_mut();
        let ended = limits.apply_page(clock::monotonic_ms(), page);
        let has_news = limits.is_report_due();
        drop(book);
        if ended {
            self.changed.notify_waiters();
        }
        if has_news {
            self.limit_heard.notify_one();
        }
    }
}
