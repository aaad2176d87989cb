//! Contents under which replicas ended, as the log holds them.
//!
//! An attempt that is repeated has another id each time, and comes to another entry: no
//! single process sees what all of its repeats have done. So each entry that loses a run to a
//! replica's end tells the log, and all entries follow it. It is kept in the log and not
//! with the leader, because it has to outlive leaders and a loss of power of everything: a
//! content that was forgotten would end replicas anew.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::{ContentDigest, ReplicaIncarnation};

/// Replicas that may end under a content before it is sent no more.
pub const MAX_CRASHES: u8 = 3;
/// Contents that are remembered: 200 kB of state. What is harmless by all that is known is
/// not among them; each is there because a replica ended under it.
pub const MAX_CONTENTS: usize = 4_096;

/// What one entry had running at a replica when it ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The replica, in the life that ended.
    pub replica: ReplicaIncarnation,
    /// What ran there.
    pub contents: BTreeSet<ContentDigest>,
}

/// What is to be made of a content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ContentStanding {
    /// No replica is known to have ended under it.
    Harmless,
    /// So many have, and it may be what did it: one attempt at a time.
    Suspect(u8),
    /// Too many have: it is sent no more until an operator lifts that.
    Barred,
}

impl ContentStanding {
    /// What so many ended replicas make of a content.
    pub fn of(crashes: u8) -> Self {
        match crashes {
            0 => Self::Harmless,
            MAX_CRASHES.. => Self::Barred,
            crashes => Self::Suspect(crashes),
        }
    }
}

/// One content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContentRecord {
    /// Replicas that ended under it, oldest first; [`MAX_CRASHES`] at most.
    pub crashes: Vec<ReplicaIncarnation>,
    /// When the last of them ended, in the state's clock.
    pub last_ms: u64,
}

impl ContentRecord {
    /// How many replicas have ended under it.
    pub fn count(&self) -> u8 {
        self.crashes.len() as u8
    }
}

/// All contents that are suspect or barred.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashStore {
    records: BTreeMap<ContentDigest, ContentRecord>,
}

/// How often replicas have ended under contents; 0 for one that is forgotten.
pub type CrashCounts = BTreeMap<ContentDigest, u8>;

impl CrashStore {
    /// The contents by digest.
    pub fn records(&self) -> &BTreeMap<ContentDigest, ContentRecord> {
        &self.records
    }

    /// How many replicas have ended under a content.
    pub fn count(&self, content: &ContentDigest) -> u8 {
        self.records.get(content).map_or(0, ContentRecord::count)
    }

    /// All counts.
    pub fn counts(&self) -> CrashCounts {
        let counts = self.records.iter();
        counts
            .map(|(content, record)| (*content, record.count()))
            .collect()
    }

    /// Notes the end of a replica. One end counts once for a content, however many entries
    /// tell of it, and however often. Returns what has changed.
    pub fn record(&mut self, report: &CrashReport, clock_ms: u64) -> CrashCounts {
        let mut changed = CrashCounts::new();
        for content in &report.contents {
            let record = self.records.entry(*content).or_insert(ContentRecord {
                crashes: Vec::new(),
                last_ms: clock_ms,
            });
            if record.count() < MAX_CRASHES && !record.crashes.contains(&report.replica) {
                record.crashes.push(report.replica.clone());
                record.last_ms = clock_ms;
                changed.insert(*content, record.count());
            }
        }
        while self.records.len() > MAX_CONTENTS {
            self.evict_least(&mut changed);
        }
        changed
    }

    /// Forgets the content with the fewest crashes, of those the oldest: a barred one goes
    /// only where all are barred.
    fn evict_least(&mut self, changed: &mut CrashCounts) {
        let rank =
            |(_, record): &(&ContentDigest, &ContentRecord)| (record.count(), record.last_ms);
        let victim = self.records.iter().min_by_key(rank);
        if let Some(content) = victim.map(|(content, _)| *content) {
            self.records.remove(&content);
            changed.insert(content, 0);
        }
    }

    /// A run of a content has come to its end, and its replica lives: it ends none. What is
    /// barred stays so. Returns whether that changes anything.
    pub fn clear(&mut self, content: &ContentDigest) -> bool {
        let suspect = self.records.get(content).map(ContentRecord::count);
        let clears = suspect.is_some_and(|count| count < MAX_CRASHES);
        clears && self.records.remove(content).is_some()
    }

    /// An operator lets a barred content be tried again. It stays a suspect that one more
    /// crash bars. Returns whether that changes anything.
    pub fn lift(&mut self, content: &ContentDigest) -> bool {
        match self.records.get_mut(content) {
            Some(record) if record.count() >= MAX_CRASHES => {
                record.crashes.remove(0);
                true
            }
            _ => false,
        }
    }

    /// Forgets suspects under which no replica has ended since. What is barred stays: it has
    /// no end in time. Returns what has changed.
    pub fn prune(&mut self, before_ms: u64) -> CrashCounts {
        let old =
            |record: &ContentRecord| record.count() < MAX_CRASHES && record.last_ms < before_ms;
        let gone = self.records.iter().filter(|(_, record)| old(record));
        let gone: CrashCounts = gone.map(|(content, _)| (*content, 0)).collect();
        self.records
            .retain(|content, _| !gone.contains_key(content));
        gone
    }
}
