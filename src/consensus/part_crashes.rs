//! Parts of prompts whose requests had just begun to run when replicas crashed, as stored in the
//! replicated log.
//!
//! A part may crash each replica that begins to answer a prompt with it, while no two of the
//! requests are alike. All that ran beside it is part of the same crash, so a number of crashes
//! proves nothing by itself. Two more signals separate a guilty part from those that ran beside it:
//! runs of the part that went on after their beginning, and crashes that another guilty part explains
//! already. Where neither decides, a part is held: it runs one at a time until a run shows which it is.
//!
//! A replica may also end for another reason as a held part begins to run. So a crash of a held part
//! convicts it only if no other part explains the same crashes, and a quarantined part is held once
//! more after a while, for a trial.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::consensus::crash_causes::MANY_CRASHES;
use crate::consensus::crashes::ContentStanding;
use crate::ids::{ContentDigest, ReplicaIncarnation};

/// Number of crashes from which a part may be held or quarantined.
pub const MIN_GUILTY_CRASHES: u32 = 3;
/// Sound runs that a guilty part may have for each crash after the second. A part that crashes
/// seven of ten replicas has one for two crashes.
const MAX_SOUND_PER_CRASH: u32 = 4;
/// Crashes from which a part that ran soundly only after its first crash is quarantined without a
/// run by itself.
const CERTAIN_CRASHES: u32 = 4;
/// Crashes by which a part must surpass another one with the same crashes to be the guilty one.
const DISTINGUISHING_CRASHES: usize = 2;
/// Sound runs for each crash after which a part is no longer watched.
const CLEARING_SOUND_PER_CRASH: u32 = 16;
/// Crashes of a held part that convict it while another part explains the same crashes.
const RIVAL_HELD_CRASHES: usize = 2;
/// Time from the quarantine of a part that had run soundly to its first trial, in milliseconds.
const DOUBTFUL_TRIAL_MS: u64 = 10_000;
/// Time from the quarantine to a trial otherwise, in milliseconds.
pub const TRIAL_MS: u64 = 600_000;
/// Crashes from which a part has no early trial: guilty ones cost a replica.
const MAX_EARLY_TRIAL_CRASHES: u32 = 5;
/// Crashes of a held part after which it has no trial.
const MAX_HELD_CRASHES: usize = 3;
/// Crashes remembered for each part, the newest.
const MAX_KNOWN_CRASHES: usize = 8;
/// Maximum number of watched parts: 400 kB of state.
pub const MAX_PARTS: usize = 1_024;

/// Parts of one entry's runs that had just begun, or not begun yet, at a replica when it crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCrashReport {
    /// Incarnation that crashed.
    pub replica: ReplicaIncarnation,
    /// The parts, and whether the entry had seen a sound run of each.
    pub parts: BTreeMap<ContentDigest, bool>,
}

/// Crash of a replica, and when it was observed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObservedPartCrash {
    /// Parts that had just begun.
    pub report: PartCrashReport,
    /// Time from the crash to this report, in milliseconds.
    pub age_ms: u64,
}

/// Runs of watched parts at one entry that went on after their beginning.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoundReport {
    /// Number of runs by part.
    pub runs: BTreeMap<ContentDigest, u32>,
    /// Parts that ran under a suspect lease, thus apart from other suspects.
    pub leased: BTreeSet<ContentDigest>,
}

/// Verdict on a part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PartStanding {
    /// Not watched.
    Harmless,
    /// Ran when a replica crashed: its sound runs are counted.
    #[default]
    Watched,
    /// Runs one at a time.
    Suspect,
    /// Runs one at a time, and not together with another held part.
    Held,
    /// Not sent, until a trial after a while or until an operator lifts the quarantine.
    Barred,
}

impl PartStanding {
    /// Returns the standing that decides on a suspect lease.
    pub fn for_lease(self) -> ContentStanding {
        match self {
            Self::Harmless | Self::Watched => ContentStanding::Harmless,
            Self::Suspect | Self::Held => ContentStanding::Suspect(MIN_GUILTY_CRASHES as u8 - 1),
            Self::Barred => ContentStanding::Barred,
        }
    }
}

/// Standings of parts.
pub type PartStandings = BTreeMap<ContentDigest, PartStanding>;

/// Crash record of one part.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRecord {
    /// Replicas that crashed as it began, newest last; at most [`MAX_KNOWN_CRASHES`].
    known_crashes: VecDeque<ReplicaIncarnation>,
    /// Number of crashes.
    crashes: u32,
    /// Those of them that happened while it was held, thus apart from other suspects.
    held_crashes: BTreeSet<ReplicaIncarnation>,
    /// Sound runs since the first crash.
    sound: u32,
    /// Whether it had run soundly before the first crash.
    sound_before: bool,
    /// Time of the latest crash, by the state's clock.
    last_ms: u64,
    standing: PartStanding,
}

impl PartRecord {
    /// Returns the replicas that crashed as it began, newest last.
    pub fn known_crashes(&self) -> impl Iterator<Item = &ReplicaIncarnation> {
        self.known_crashes.iter()
    }

    /// Returns the number of crashes.
    pub fn crashes(&self) -> u32 {
        self.crashes
    }

    /// Returns the number of sound runs since the first crash.
    pub fn sound(&self) -> u32 {
        self.sound
    }

    /// Returns the time of the latest crash, by the state's clock.
    pub fn last_ms(&self) -> u64 {
        self.last_ms
    }

    /// Returns the verdict on it.
    pub fn standing(&self) -> PartStanding {
        self.standing
    }

    fn may_be_guilty(&self) -> bool {
        self.crashes >= MIN_GUILTY_CRASHES && self.sound <= max_sound(self.crashes)
    }

    /// Whether it may be the cause of a crash in which it was.
    fn is_suspicious(&self) -> bool {
        self.may_be_guilty() || self.is_suspect()
    }

    /// Whether it crashed more than one replica and never ran soundly.
    fn is_suspect(&self) -> bool {
        self.crashes + 1 >= MIN_GUILTY_CRASHES && self.sound == 0 && !self.sound_before
    }

    /// Number of its known crashes outside of `explained`.
    fn unexplained(&self, explained: &BTreeSet<&ReplicaIncarnation>) -> usize {
        let crashes = self.known_crashes.iter();
        crashes.filter(|crash| !explained.contains(crash)).count()
    }

    /// Whether another part explains so much of the same that either may be the guilty one.
    fn rivals(&self, other: &Self, explained: &BTreeSet<&ReplicaIncarnation>) -> bool {
        let own = self.known_crashes.iter();
        let own = own.filter(|crash| !explained.contains(crash));
        let (shared, others): (Vec<_>, Vec<_>) =
            own.partition(|crash| other.known_crashes.contains(crash));
        self.sound_before == other.sound_before
            && shared.len() >= MIN_GUILTY_CRASHES as usize
            && others.len() < DISTINGUISHING_CRASHES
    }

    /// Whether its crashes may have had other causes, as it ran soundly as well.
    fn is_doubtful(&self) -> bool {
        self.sound_before || (self.sound > 0 && self.crashes < CERTAIN_CRASHES)
    }

    /// Whether a quarantined part is tried again. It may have been quarantined as replicas ended for
    /// other reasons.
    fn is_trial_due(&self, clock_ms: u64) -> bool {
        let held_crashes = self.held_crashes.len();
        let is_early = held_crashes <= 1 && self.crashes < MAX_EARLY_TRIAL_CRASHES;
        let has_run_soundly = self.sound_before || self.sound > 0;
        let wait_ms = match has_run_soundly && is_early {
            true => DOUBTFUL_TRIAL_MS,
            false => TRIAL_MS,
        };
        held_crashes < MAX_HELD_CRASHES && clock_ms >= self.last_ms.saturating_add(wait_ms)
    }

    fn has_crashed(&mut self, replica: &ReplicaIncarnation, clock_ms: u64) {
        self.known_crashes.push_back(replica.clone());
        if self.known_crashes.len() > MAX_KNOWN_CRASHES {
            self.known_crashes.pop_front();
        }
        if self.standing == PartStanding::Held && self.held_crashes.len() < MAX_KNOWN_CRASHES {
            self.held_crashes.insert(replica.clone());
        }
        self.crashes += 1;
        self.last_ms = clock_ms;
    }

    /// Whether it is known to have crashed no replica before these.
    fn began_with(&self, crashes: &BTreeSet<ReplicaIncarnation>) -> bool {
        self.crashes as usize == self.known_crashes.len()
            && self
                .known_crashes
                .iter()
                .all(|crash| crashes.contains(crash))
    }

    /// Counts crashes of the same moment, which have a cause in common, as one that proves nothing
    /// of a run by itself.
    fn merge(&mut self, moment: &BTreeSet<ReplicaIncarnation>) {
        let known = self.known_crashes.len();
        let mut is_first = true;
        self.known_crashes
            .retain(|crash| !moment.contains(crash) || std::mem::take(&mut is_first));
        self.held_crashes.retain(|crash| !moment.contains(crash));
        let merged = known - self.known_crashes.len();
        self.crashes = self.crashes.saturating_sub(merged as u32);
    }

    /// Makes a quarantined part a suspect with two crashes. Returns its known crashes before.
    fn lift(&mut self) -> VecDeque<ReplicaIncarnation> {
        let known = self.known_crashes.clone();
        self.crashes = MIN_GUILTY_CRASHES - 1;
        let older = known.len().saturating_sub(self.crashes as usize);
        self.known_crashes.drain(..older);
        self.held_crashes.clear();
        self.sound = 0;
        self.sound_before = false;
        known
    }

    /// Removes crashes that have another cause.
    fn forget(&mut self, crashes: &VecDeque<ReplicaIncarnation>) {
        let known = self.known_crashes.len();
        self.known_crashes.retain(|crash| !crashes.contains(crash));
        self.held_crashes.retain(|crash| !crashes.contains(crash));
        let forgotten = known - self.known_crashes.len();
        self.crashes = self.crashes.saturating_sub(forgotten as u32);
    }
}

/// Most sound runs that a guilty part has after a number of crashes.
fn max_sound(crashes: u32) -> u32 {
    MAX_SOUND_PER_CRASH * crashes.saturating_sub(MIN_GUILTY_CRASHES - 1)
}

/// All watched parts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartStore {
    records: BTreeMap<ContentDigest, PartRecord>,
}

impl PartStore {
    /// Returns the records by part.
    pub fn records(&self) -> &BTreeMap<ContentDigest, PartRecord> {
        &self.records
    }

    /// Returns the standing of a part.
    pub fn standing(&self, part: &ContentDigest) -> PartStanding {
        let record = self.records.get(part);
        record.map_or(PartStanding::Harmless, PartRecord::standing)
    }

    /// Returns the standings of all watched parts.
    pub fn standings(&self) -> PartStandings {
        let records = self.records.iter();
        records
            .map(|(part, record)| (*part, record.standing()))
            .collect()
    }

    /// Records the crash of a replica. A crash counts once per part, however many entries report it
    /// and however often. Returns the changed standings.
    pub fn record(&mut self, report: &PartCrashReport, clock_ms: u64) -> PartStandings {
        let moment = BTreeSet::from([report.replica.clone()]);
        self.record_moment(report, &moment, clock_ms)
    }

    /// Records the crash of a replica, given all replicas that crashed at the same moment.
    pub fn record_moment(
        &mut self,
        report: &PartCrashReport,
        moment: &BTreeSet<ReplicaIncarnation>,
        clock_ms: u64,
    ) -> PartStandings {
        let before = self.standings();
        for (part, sound_before) in &report.parts {
            let record = self.records.entry(*part).or_default();
            if !record.known_crashes.contains(&report.replica) {
                record.has_crashed(&report.replica, clock_ms);
            }
            // Entries that saw the same first crash may know more.
            record.sound_before |= *sound_before && record.began_with(moment);
        }
        if moment.len() >= MANY_CRASHES {
            self.records
                .values_mut()
                .for_each(|record| record.merge(moment));
        }
        while self.records.len() > MAX_PARTS {
            self.evict_least();
        }
        self.judge(&before, clock_ms)
    }

    /// Whether nothing but this part can be guilty of enough crashes that happened while it was held.
    fn is_convicted(&self, part: &ContentDigest, record: &PartRecord) -> bool {
        let others = || self.records.iter().filter(|(other, _)| *other != part);
        let alone = |crash: &&ReplicaIncarnation| {
            others()
                .all(|(_, other)| !other.known_crashes.contains(crash) || !other.is_suspicious())
        };
        let held = record.held_crashes.iter().filter(alone).count();
        let mut may_be_guilty = others().filter(|(_, other)| other.may_be_guilty());
        match may_be_guilty.any(|(_, other)| record.rivals(other, &BTreeSet::new())) {
            true => held >= RIVAL_HELD_CRASHES,
            false => held > 0,
        }
    }

    /// Records sound runs. Returns the changed standings.
    pub fn record_sound(&mut self, report: &SoundReport, clock_ms: u64) -> PartStandings {
        let before = self.standings();
        for (part, runs) in &report.runs {
            let Some(record) = self.records.get_mut(part) else {
                continue;
            };
            record.sound = record.sound.saturating_add(*runs);
            if report.leased.contains(part) && record.standing() != PartStanding::Barred {
                // Nothing else could have crashed the replica, and it did not crash.
                record.sound = record.sound.max(max_sound(record.crashes) + 1);
            }
        }
        let is_clear = |record: &PartRecord| {
            record.standing() != PartStanding::Barred
                && record.sound >= CLEARING_SOUND_PER_CRASH * record.crashes
        };
        self.records.retain(|_, record| !is_clear(record));
        self.judge(&before, clock_ms)
    }

    /// Lifts the quarantine of a part at an operator's request. It remains suspect, and one more
    /// crash quarantines it again. Returns the changed standings, none if it was not quarantined.
    pub fn lift(&mut self, part: &ContentDigest, clock_ms: u64) -> PartStandings {
        if self.standing(part) != PartStanding::Barred {
            return PartStandings::new();
        }
        let before = self.standings();
        let lifted = self.records.get_mut(part);
        let crashes = lifted.map(PartRecord::lift).unwrap_or_default();
        // What it explained is not held against others.
        for (_, record) in self.records.iter_mut().filter(|(other, _)| *other != part) {
            record.forget(&crashes);
        }
        self.records.retain(|_, record| record.crashes > 0);
        self.judge(&before, clock_ms)
    }

    /// Removes parts without a crash since `before_ms`, except quarantined ones. Returns the changed
    /// standings.
    pub fn prune(&mut self, before_ms: u64, clock_ms: u64) -> PartStandings {
        let before = self.standings();
        self.records.retain(|_, record| {
            record.standing() == PartStanding::Barred || record.last_ms >= before_ms
        });
        self.judge(&before, clock_ms)
    }

    /// Holds quarantined parts whose trial is due. Returns the changed standings.
    pub fn start_trials(&mut self, clock_ms: u64) -> PartStandings {
        let is_due = |record: &PartRecord| {
            record.standing() == PartStanding::Barred && record.is_trial_due(clock_ms)
        };
        match self.records.values().any(is_due) {
            true => self.judge(&self.standings(), clock_ms),
            false => PartStandings::new(),
        }
    }

    /// Evicts the part with the fewest crashes, the oldest among these; quarantined ones last.
    fn evict_least(&mut self) {
        let rank = |(_, record): &(&ContentDigest, &PartRecord)| {
            let barred = record.standing() == PartStanding::Barred;
            (barred, record.crashes, record.last_ms)
        };
        let victim = self.records.iter().min_by_key(rank).map(|(part, _)| *part);
        if let Some(part) = victim {
            self.records.remove(&part);
        }
    }

    /// Judges all parts anew. Returns the standings that differ from those before.
    fn judge(&mut self, before: &PartStandings, clock_ms: u64) -> PartStandings {
        let verdicts = self.verdicts();
        let mut changed = PartStandings::new();
        for (part, record) in &mut self.records {
            let standing = match verdicts.get(part) {
                Some(PartStanding::Barred) if record.is_trial_due(clock_ms) => PartStanding::Held,
                Some(standing) => *standing,
                None if record.is_suspect() => PartStanding::Suspect,
                None => PartStanding::Watched,
            };
            record.standing = standing;
            if before.get(part) != Some(&standing) {
                changed.insert(*part, standing);
            }
        }
        let gone = before
            .keys()
            .filter(|part| !self.records.contains_key(part));
        changed.extend(gone.map(|part| (*part, PartStanding::Harmless)));
        changed
    }

    /// Returns the verdicts on the parts that may be guilty: the fewest that explain the crashes
    /// are, and those that another one explains are not.
    fn verdicts(&self) -> PartStandings {
        let records = self.records.iter();
        let mut left: BTreeMap<&ContentDigest, &PartRecord> = records
            .filter(|(_, record)| record.may_be_guilty())
            .collect();
        let convicted = |part: &ContentDigest, record: &PartRecord| self.is_convicted(part, record);
        let mut explained = BTreeSet::new();
        let mut verdicts = PartStandings::new();
        loop {
            let rank = |(part, record): &(&&ContentDigest, &&PartRecord)| {
                let own = record.unexplained(&explained);
                (convicted(part, record), own, !record.sound_before)
            };
            let Some((part, record)) = left.iter().max_by_key(rank) else {
                return verdicts;
            };
            let (part, record) = (*part, *record);
            let is_convicted = convicted(part, record);
            if !is_convicted && record.unexplained(&explained) < MIN_GUILTY_CRASHES as usize {
                break;
            }
            left.remove(part);
            let rivals = left
                .iter()
                .filter(|(_, other)| record.rivals(other, &explained));
            let rivals: Vec<&ContentDigest> = rivals.map(|(part, _)| *part).collect();
            let standing = match is_convicted || (rivals.is_empty() && !record.is_doubtful()) {
                true => PartStanding::Barred,
                false => PartStanding::Held,
            };
            verdicts.insert(*part, standing);
            explained.extend(&record.known_crashes);
            for rival in rivals.into_iter().filter(|_| !is_convicted) {
                verdicts.insert(*rival, PartStanding::Held);
                let record = left.remove(rival);
                explained.extend(record.iter().flat_map(|record| &record.known_crashes));
            }
        }
        let rest = left.into_iter().map(|(part, record)| {
            let standing = match record.unexplained(&explained) {
                0 if record.sound_before => PartStanding::Watched,
                0 => PartStanding::Suspect,
                _ => PartStanding::Held,
            };
            (*part, standing)
        });
        verdicts.extend(rest);
        verdicts
    }
}
