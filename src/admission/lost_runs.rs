//! Runs whose engine may have ended under them, until a report shows whether it did: a later
//! one of the same engine life clears them, one of another life proves it.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::ContentDigest;

/// Lost runs that wait for a report, at most: an engine's batch, some times over.
const MAX_LOST: usize = 1_024;

/// What one engine life had running when it ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashedIncarnation {
    /// The engine's life.
    pub boot: u64,
    /// What ran there.
    pub contents: BTreeSet<ContentDigest>,
}

#[derive(Debug)]
struct LostRun {
    boot: u64,
    content: ContentDigest,
    lost_ms: u64,
}

/// The lost runs of one target.
#[derive(Debug, Default)]
pub struct LostRuns {
    waiting: Vec<LostRun>,
}

impl LostRuns {
    /// The connection of a run closed without an end, in that life of the engine.
    pub fn record(&mut self, boot: u64, content: ContentDigest, now_ms: u64) {
        if self.waiting.len() < MAX_LOST {
            self.waiting.push(LostRun {
                boot,
                content,
                lost_ms: now_ms,
            });
        }
    }

    /// Takes a report that was asked for at `asked_ms`. Returns the lives that have ended
    /// under runs.
    pub fn on_report(&mut self, boot: u64, asked_ms: u64) -> Vec<CrashedIncarnation> {
        let mut ended: BTreeMap<u64, BTreeSet<ContentDigest>> = BTreeMap::new();
        self.waiting.retain(|run| match run.boot == boot {
            // It lives on, as far as was asked after the loss.
            true => run.lost_ms >= asked_ms,
            false => {
                ended.entry(run.boot).or_default().insert(run.content);
                false
            }
        });
        let lives = ended.into_iter();
        lives
            .map(|(boot, contents)| CrashedIncarnation { boot, contents })
            .collect()
    }
}
