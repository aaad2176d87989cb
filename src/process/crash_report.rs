//! Reports to the log on contents and prompt parts during which replicas or engines crashed, and on
//! those that ran without a crash.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock;
use crate::consensus::crashes::CrashReport;
use crate::consensus::part_crashes::{ObservedPartCrash, PartCrashReport, SoundReport};
use crate::consensus::state::Command;
use crate::ids::{ContentDigest, Position, ReplicaIncarnation};
use crate::process::member;
use crate::process::peers::ControlLink;

/// Timeout of one report to the log.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay before a report that failed is sent again.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of attempts of a report: together longer than the control hosts are without a
/// leader.
const MAX_REPORT_ATTEMPTS: u32 = 60;

/// Prompt parts that had just begun at a replica when it crashed.
#[derive(Clone, Debug)]
pub struct BegunParts {
    /// The parts, and whether each had run soundly before.
    pub parts: BTreeMap<ContentDigest, bool>,
    /// When the crash was observed, by the monotonic clock.
    pub observed_ms: u64,
}

impl BegunParts {
    fn report(&self, replica: &ReplicaIncarnation) -> ObservedPartCrash {
        ObservedPartCrash {
            report: PartCrashReport {
                replica: replica.clone(),
                parts: self.parts.clone(),
            },
            age_ms: clock::monotonic_ms().saturating_sub(self.observed_ms),
        }
    }
}

/// Reports a crash to the log until it is committed: the contents that ran and, if there are any, the
/// prompt parts that had just begun. Returns the position of the contents, or `None` after the last
/// attempt.
pub async fn report_crash(
    link: &ControlLink,
    report: &CrashReport,
    begun: BegunParts,
) -> Option<Position> {
    let replica = &report.replica;
    let commit_parts = async {
        if !begun.parts.is_empty() {
            let parts = || Command::PartCrashObserved(begun.report(replica));
            commit_crash(link, replica, parts).await;
        }
    };
    let contents = || Command::Crashed(report.clone());
    let commit_contents = commit_crash(link, replica, contents);
    let (position, ()) = futures::join!(commit_contents, commit_parts);
    position
}

async fn commit_crash(
    link: &ControlLink,
    replica: &ReplicaIncarnation,
    command: impl Fn() -> Command,
) -> Option<Position> {
    for _ in 0..MAX_REPORT_ATTEMPTS {
        match member::propose_at(link, "crash", REPORT_TIMEOUT, command()).await {
            Ok((position, _)) => return Some(position),
            Err(error) => {
                tracing::warn!(%error, %replica, "crash report not committed");
                tokio::time::sleep(REPORT_RETRY_DELAY).await;
            }
        }
    }
    None
}

/// Reports sound runs of prompt parts to the log, once: a report that may be committed already
/// would count twice.
pub async fn report_sound_runs(link: &ControlLink, report: SoundReport) {
    let parts = report.runs.len();
    if let Err(error) =
        member::propose(link, "sound", REPORT_TIMEOUT, Command::PartsSound(report)).await
    {
        tracing::debug!(%error, parts, "sound runs not reported");
    }
}

/// Reports to the log that a content ran to completion and is no longer suspect.
pub async fn clear_content(link: &ControlLink, timeout: Duration, content: ContentDigest) {
    let command = Command::ContentCleared(content);
    match member::propose(link, "clear", timeout, command).await {
        Ok(_) => tracing::info!(%content, "content cleared: it ran to completion"),
        Err(error) => tracing::debug!(%error, %content, "content not cleared"),
    }
}
