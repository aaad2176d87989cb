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
    /// Parts of the prompts whose runs had just begun, or not begun yet.
    pub parts: BTreeSet<ContentDigest>,
}

impl CrashedIncarnation {
    fn new(boot: u64) -> Self {
        Self {
            boot,
            contents: BTreeSet::new(),
            parts: BTreeSet::new(),
        }
    }
}

#[derive(Debug)]
struct LostRun {
    boot: u64,
    content: ContentDigest,
    parts: Vec<ContentDigest>,
    lost_ms: u64,
}

/// Lost runs of one target.
#[derive(Debug, Default)]
pub struct LostRuns {
    waiting: Vec<LostRun>,
}

impl LostRuns {
    /// Records that the connection of a run to this engine incarnation closed without an end.
    /// `parts` are those of its prompt that may be the cause.
    pub fn record(
        &mut self,
        boot: u64,
        content: ContentDigest,
        parts: &[ContentDigest],
        now_ms: u64,
    ) {
        if self.waiting.len() < MAX_LOST {
            self.waiting.push(LostRun {
                boot,
                content,
                parts: parts.to_vec(),
                lost_ms: now_ms,
            });
        }
    }

    /// Applies a report that was requested at `requested_ms`. Returns the engine incarnations that
    /// crashed during runs.
    pub fn on_report(&mut self, boot: u64, requested_ms: u64) -> Vec<CrashedIncarnation> {
        let mut ended: BTreeMap<u64, CrashedIncarnation> = BTreeMap::new();
        self.waiting.retain(|run| match run.boot == boot {
            // The incarnation is alive, which clears the runs lost before the report was requested.
            true => run.lost_ms >= requested_ms,
            false => {
                let new = || CrashedIncarnation::new(run.boot);
                let crashed = ended.entry(run.boot).or_insert_with(new);
                crashed.contents.insert(run.content);
                crashed.parts.extend(&run.parts);
                false
            }
        });
        ended.into_values().collect()
    }
}
