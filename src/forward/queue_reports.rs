//! Tells the leader what this entry has waiting at replicas, and hears what all entries have.

use std::rc::Rc;
use std::time::Duration;

use crate::clock;
use crate::forward::daemon::EntryCore;
use crate::placement::crowd::CrowdReport;

/// Longest time between two reports of an entry that has something waiting.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Least time between two reports, of an entry that sees a crowd.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after a report that was not heard: control hosts without a leader have other work.
/// At 300 hosts it took 8.5 s without it, and 1 s with it, until requests were served again
/// after all processes had been killed (one play each).
const RETRY_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time for a report: what is told later is of little use.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);

/// Reports regularly while requests wait at replicas, and sooner where one is crowded.
pub async fn report_queued_tokens(core: Rc<EntryCore>) {
    let mut reported_empty = true;
    loop {
        let congestion = core.congestion_seen.notified();
        let _ = tokio::time::timeout(REPORT_INTERVAL, congestion).await;
        let waiting = core.replicas.borrow().queued_tokens();
        let empty = waiting.is_empty();
        if empty && reported_empty {
            continue;
        }
        let report = CrowdReport {
            host: core.host().clone(),
            waiting,
        };
        let reply = core
            .link()
            .decide("crowd", REPORT_TIMEOUT, |client, context| {
                let report = report.clone();
                async move { client.crowd(context, report).await }
            })
            .await;
        match reply {
            Ok(congested) => {
                reported_empty = empty;
                let mut replicas = core.replicas.borrow_mut();
                replicas.update_congestion(clock::monotonic_ms(), &report.waiting, &congested);
                drop(replicas);
                core.changed.notify_waiters();
            }
            Err(error) => {
                tracing::debug!(%error, "a report of a crowd was not heard");
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
        tokio::time::sleep(MIN_REPORT_INTERVAL).await;
    }
}
