//! Contents whose requests were running when replicas crashed, as stored in the replicated log.
//!
//! A retried request has a new attempt id each time and may reach another entry, so no single
//! process observes all of its attempts. Each entry that loses a run to a replica's crash
//! reports it to the log, and all entries follow the log. The records are replicated rather
//! than kept by the leader, so that they survive leader changes and a power loss of the whole
//! site: a forgotten content would crash replicas again.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::{ContentDigest, ReplicaIncarnation};

/// Number of replica crashes after which a content is quarantined.
pub const MAX_CRASHES: u8 = 3;
/// Maximum number of remembered contents: 200 kB of state. Contents that are harmless as far as
/// known are not stored; each stored one was running during a replica's crash.
pub const MAX_CONTENTS: usize = 4_096;

/// Contents that one entry had running at a replica when it crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Incarnation that crashed.
    pub replica: ReplicaIncarnation,
    /// Contents that were running there.
    pub contents: BTreeSet<ContentDigest>,
}

/// Verdict on a content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ContentStanding {
    /// No replica is known to have crashed while running it.
    Harmless,
    /// This number of replicas crashed while running it, and it may be the cause: attempts run
    /// one at a time.
    Suspect(u8),
    /// Quarantined after too many crashes: not sent again until an operator lifts the
    /// quarantine.
    Barred,
}

impl ContentStanding {
    /// Returns the verdict for a number of crashed replicas.
    pub fn of(crashes: u8) -> Self {
        match crashes {
            0 => Self::Harmless,
            MAX_CRASHES.. => Self::Barred,
            crashes => Self::Suspect(crashes),
        }
    }
}

/// Crash record of one content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContentRecord {
    /// Replicas that crashed while running it, oldest first; at most [`MAX_CRASHES`].
    pub crashes: Vec<ReplicaIncarnation>,
    /// Time of the latest crash, by the state's clock.
    pub last_ms: u64,
}

impl ContentRecord {
    /// Returns the number of replicas that crashed while running it.
    pub fn count(&self) -> u8 {
        self.crashes.len() as u8
    }
}

/// All suspect and quarantined contents.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashStore {
    records: BTreeMap<ContentDigest, ContentRecord>,
}

/// Number of replica crashes by content; 0 for a content whose record was removed.
pub type CrashCounts = BTreeMap<ContentDigest, u8>;

impl CrashStore {
    /// Returns the records by content.
    pub fn records(&self) -> &BTreeMap<ContentDigest, ContentRecord> {
        &self.records
    }

    /// Returns the number of replicas that crashed while running a content.
    pub fn count(&self, content: &ContentDigest) -> u8 {
        self.records.get(content).map_or(0, ContentRecord::count)
    }

    /// Returns the crash counts of all contents.
    pub fn counts(&self) -> CrashCounts {
        let counts = self.records.iter();
        counts
            .map(|(content, record)| (*content, record.count()))
            .collect()
    }

    /// Records the crash of a replica. A crash counts once per content, however many entries
    /// report it and however often. Returns the changed counts.
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

    /// Evicts the content with the fewest crashes, the oldest among these. A quarantined one is
    /// evicted only if all are quarantined.
    fn evict_least(&mut self, changed: &mut CrashCounts) {
        let rank =
            |(_, record): &(&ContentDigest, &ContentRecord)| (record.count(), record.last_ms);
        let victim = self.records.iter().min_by_key(rank);
        if let Some(content) = victim.map(|(content, _)| *content) {
            self.records.remove(&content);
            changed.insert(content, 0);
        }
    }

    /// Clears a suspect content after one of its runs completed without a crash. Quarantined
    /// contents stay quarantined. Returns whether that is a change.
    pub fn clear(&mut self, content: &ContentDigest) -> bool {
        let suspect = self.records.get(content).map(ContentRecord::count);
        let clears = suspect.is_some_and(|count| count < MAX_CRASHES);
        clears && self.records.remove(content).is_some()
    }

    /// Lifts the quarantine of a content at an operator's request. The content remains suspect,
    /// and one more crash quarantines it again. Returns whether that is a change.
    pub fn lift(&mut self, content: &ContentDigest) -> bool {
        match self.records.get_mut(content) {
            Some(record) if record.count() >= MAX_CRASHES => {
                record.crashes.remove(0);
                true
            }
            _ => false,
        }
    }

    /// Removes suspect contents without a crash since `before_ms`. Quarantined ones never
    /// expire. Returns the changed counts.
    pub fn prune(&mut self, before_ms: u64) -> CrashCounts {
        let old =
            |record: &ContentRecord| record.count() < MAX_CRASHES && record.last_ms < before_ms;
        let removed = self.records.iter().filter(|(_, record)| old(record));
        let removed: CrashCounts = removed.map(|(content, _)| (*content, 0)).collect();
        self.records
            .retain(|content, _| !removed.contains_key(content));
        removed
    }
}
