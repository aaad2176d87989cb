//! Tells the log of contents under which replicas or engines ended, and of those that ran to
//! their end.

use std::time::Duration;

use crate::consensus::crashes::CrashReport;
use crate::consensus::state::Command;
use crate::ids::{ContentDigest, Position};
use crate::process::member;
use crate::process::peers::ControlLink;

/// Time for one report to the log.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pause before a report that was not taken is made again.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Reports are tried so often: longer than control hosts are without a leader.
const MAX_REPORT_ATTEMPTS: u32 = 60;

/// Tells the log of an end, until it holds it. Returns where; none where it was not taken.
pub async fn report_crash(link: &ControlLink, report: &CrashReport) -> Option<Position> {
    for _ in 0..MAX_REPORT_ATTEMPTS {
        let command = Command::Crashed(report.clone());
        match member::propose_at(link, "crash", REPORT_TIMEOUT, command).await {
            Ok((position, _)) => return Some(position),
            Err(error) => {
                tracing::warn!(%error, replica = %report.replica, "a crash was not told");
                tokio::time::sleep(REPORT_RETRY_DELAY).await;
            }
        }
    }
    None
}

/// Tells the log that a content ran to its end: it is no suspect any more.
pub async fn clear_content(link: &ControlLink, timeout: Duration, content: ContentDigest) {
    let command = Command::ContentCleared(content);
    match member::propose(link, "clear", timeout, command).await {
        Ok(_) => tracing::info!(%content, "content cleared: it ran to its end"),
        Err(error) => tracing::debug!(%error, %content, "a content was not cleared"),
    }
}
