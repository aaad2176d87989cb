//! Tells the leader what this entry has waiting at replicas, and hears what all entries have.

use std::rc::Rc;
use std::time::Duration;

use crate::clock;
use crate::forward::daemon::EntryCore;
use crate::placement::crowd::CrowdReport;

/// Longest time between two reports of an entry that has something waiting.
const REGULAR: Duration = Duration::from_millis(500);
/// Least time between two reports, of an entry that sees a crowd.
const PAUSE: Duration = Duration::from_millis(100);
/// Pause after a report that was not heard: control hosts without a leader have other work.
/// At 300 hosts it took 8.5 s without it, and 1 s with it, until requests were served again
/// after all processes had been killed (one play each).
const UNHEARD_PAUSE: Duration = Duration::from_millis(1_000);
/// Time for a report: what is told later is of little use.
const REPORT_TIME: Duration = Duration::from_millis(250);

/// Reports regularly while requests wait at replicas, and sooner where one is crowded.
pub async fn tell_crowd(core: Rc<EntryCore>) {
    let mut told_empty = true;
    loop {
        let seen = core.crowd_seen.notified();
        let _ = tokio::time::timeout(REGULAR, seen).await;
        let waiting = core.book.borrow().waiting();
        let empty = waiting.is_empty();
        if empty && told_empty {
            continue;
        }
        let report = CrowdReport {
            host: core.host().clone(),
            waiting,
        };
        let heard = core
            .link()
            .decide("crowd", REPORT_TIME, |client, context| {
                let report = report.clone();
                async move { client.crowd(context, report).await }
            })
            .await;
        match heard {
            Ok(crowded) => {
                told_empty = empty;
                let mut book = core.book.borrow_mut();
                book.follow_crowd(clock::monotonic_ms(), &report.waiting, &crowded);
                drop(book);
                core.changed.notify_waiters();
            }
            Err(error) => {
                tracing::debug!(%error, "a report of a crowd was not heard");
                tokio::time::sleep(UNHEARD_PAUSE).await;
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
}
