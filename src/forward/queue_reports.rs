//! Reports the tokens of this entry's waiting requests to the leader, and receives the totals over
//! all entries.

use std::rc::Rc;
use std::time::Duration;

use crate::clock;
use crate::forward::daemon::EntryCore;
use crate::placement::congestion::QueueReport;

/// Longest time between two reports of an entry with waiting requests.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest time between two reports, for an entry that sees congestion.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Further wait after a report that failed: control hosts without a leader have other work. At 300
/// hosts, after all processes had been killed, it took 8.5 s without this wait and 1 s with it
/// until requests were served again (one run each).
const RETRY_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time limit of a report: a later reply would be outdated.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);

/// Reports regularly while requests wait at replicas, and earlier if a replica is congested.
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
        let report = QueueReport {
            host: core.host().clone(),
            waiting,
        };
        let reply = core
            .link()
            .call_leader("crowd", REPORT_TIMEOUT, |client, context| {
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
                core.notify_changed();
            }
            Err(error) => {
                tracing::debug!(%error, "report of queued tokens failed");
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
        tokio::time::sleep(MIN_REPORT_INTERVAL).await;
    }
}
