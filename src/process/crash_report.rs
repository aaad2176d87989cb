//! Reports to the log on contents during which replicas or engines crashed, and on contents
//! that ran to completion.

use std::time::Duration;

use crate::consensus::crashes::CrashReport;
use crate::consensus::state::Command;
use crate::ids::{ContentDigest, Position};
use crate::process::member;
use crate::process::peers::ControlLink;

/// Timeout of one report to the log.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay before a report that failed is sent again.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of attempts of a report: together longer than the control hosts are without a
/// leader.
const MAX_REPORT_ATTEMPTS: u32 = 60;

/// Reports a crash to the log until it is committed. Returns its position, or `None` after the
/// last attempt.
pub async fn report_crash(link: &ControlLink, report: &CrashReport) -> Option<Position> {
    for _ in 0..MAX_REPORT_ATTEMPTS {
        let command = Command::Crashed(report.clone());
        match member::propose_at(link, "crash", REPORT_TIMEOUT, command).await {
            Ok((position, _)) => return Some(position),
            Err(error) => {
                tracing::warn!(%error, replica = %report.replica, "crash report not committed");
                tokio::time::sleep(REPORT_RETRY_DELAY).await;
            }
        }
    }
    None
}

/// Reports to the log that a content ran to completion and is no longer suspect.
pub async fn clear_content(link: &ControlLink, timeout: Duration, content: ContentDigest) {
    let command = Command::ContentCleared(content);
    match member::propose(link, "clear", timeout, command).await {
        Ok(_) => tracing::info!(%content, "content cleared: it ran to completion"),
        Err(error) => tracing::debug!(%error, %content, "content not cleared"),
    }
}
