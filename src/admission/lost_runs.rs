//! Tracks runs that may have been lost to a crash of their engine. A later report of the same
//! engine incarnation clears them; one of another incarnation proves the crash.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::ContentDigest;

/// Maximum number of lost runs that wait for a report: several batches of an engine.
const MAX_LOST: usize = 1_024;

/// Engine incarnation that crashed, and what it ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashedIncarnation {
    /// Boot ID of the engine incarnation.
    pub boot: u64,
    /// Contents of the runs that it lost.
    pub contents: BTreeSet<ContentDigest>,
}

#[derive(Debug)]
struct LostRun {
    boot: u64,
    content: ContentDigest,
    lost_ms: u64,
}

/// Lost runs of one target.
#[derive(Debug, Default)]
pub struct LostRuns {
    waiting: Vec<LostRun>,
}

impl LostRuns {
    /// Records that the connection of a run to this engine incarnation closed without an end.
    pub fn record(&mut self, boot: u64, content: ContentDigest, now_ms: u64) {
        if self.waiting.len() < MAX_LOST {
            self.waiting.push(LostRun {
                boot,
                content,
                lost_ms: now_ms,
            });
        }
    }

    /// Applies a report that was requested at `requested_ms`. Returns the engine incarnations that
    /// crashed during runs.
    pub fn on_report(&mut self, boot: u64, requested_ms: u64) -> Vec<CrashedIncarnation> {
        let mut ended: BTreeMap<u64, BTreeSet<ContentDigest>> = BTreeMap::new();
        self.waiting.retain(|run| match run.boot == boot {
            // The incarnation is alive, which clears the runs lost before the report was requested.
            true => run.lost_ms >= requested_ms,
            false => {
                ended.entry(run.boot).or_default().insert(run.content);
                false
            }
        });
        let incarnations = ended.into_iter();
        incarnations
            .map(|(boot, contents)| CrashedIncarnation { boot, contents })
            .collect()
    }
}
