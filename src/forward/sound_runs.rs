//! Runs that went on after their beginning, by the parts of their prompts.
//!
//! Which parts ever ran soundly is remembered for a while; runs of parts that the log watches are
//! counted and reported to it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;

use crate::admission::runs::BEGINNING_MS;
use crate::consensus::part_crashes::{PartStandings, SoundReport};
use crate::forward::daemon::EntryCore;
use crate::ids::ContentDigest;
use crate::process::{crash_report, daemon};

/// [`BEGINNING_MS`] as a duration.
pub const BEGINNING: Duration = Duration::from_millis(BEGINNING_MS);
/// Delay of a report, in milliseconds: runs are reported together, and those of a part that other
/// entries have cleared meanwhile are not reported.
const REPORT_DELAY_MS: std::ops::Range<u64> = 100..400;
/// Parts remembered as sound; up to twice as many while the older half is still kept.
const MAX_REMEMBERED: usize = 1_024;

/// Sound runs at one entry.
#[derive(Debug, Default)]
pub struct SoundRuns {
    newer: RefCell<BTreeSet<ContentDigest>>,
    older: RefCell<BTreeSet<ContentDigest>>,
    unreported: RefCell<SoundReport>,
    /// Whether a report is due.
    is_due: Cell<bool>,
}

impl SoundRuns {
    /// Whether a run of the part was sound, as far as remembered.
    pub fn has_run(&self, part: &ContentDigest) -> bool {
        self.newer.borrow().contains(part) || self.older.borrow().contains(part)
    }

    fn remember(&self, part: &ContentDigest) {
        let mut newer = self.newer.borrow_mut();
        if newer.insert(*part) && newer.len() >= MAX_REMEMBERED {
            self.older.replace(std::mem::take(&mut newer));
        }
    }

    /// Counts a run if the part is watched. Returns whether a report must be scheduled.
    fn count(&self, part: &ContentDigest, watched: &PartStandings) -> bool {
        if !watched.contains_key(part) {
            return false;
        }
        let mut unreported = self.unreported.borrow_mut();
        *unreported.runs.entry(*part).or_default() += 1;
        !self.is_due.replace(true)
    }

    /// Takes the runs of parts that are still watched.
    fn take_report(&self, watched: &PartStandings) -> SoundReport {
        self.is_due.set(false);
        let mut report = self.unreported.take();
        report.runs.retain(|part, _| watched.contains_key(part));
        report
    }
}

impl EntryCore {
    /// Records that a run of a prompt with these parts is sound.
    pub(super) fn record_sound_run<'a>(
        self: &Rc<Self>,
        parts: impl IntoIterator<Item = &'a ContentDigest>,
    ) {
        let mut schedules = false;
        for part in parts {
            self.crashes.sound_runs.remember(part);
            let counted = self
                .crashes
                .with_parts(|watched| self.crashes.sound_runs.count(part, watched));
            schedules |= counted;
        }
        if schedules {
            daemon::spawn_local(report_later(self.clone()));
        }
    }
}

async fn report_later(core: Rc<EntryCore>) {
    let delay_ms = rand::rng().random_range(REPORT_DELAY_MS);
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    let report = core
        .crashes
        .with_parts(|watched| core.crashes.sound_runs.take_report(watched));
    if !report.runs.is_empty() {
        core.count("dunlinspring_sound_reports_total", &[]);
        crash_report::report_sound_runs(core.link(), report).await;
    }
}
