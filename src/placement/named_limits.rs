//! Which replicas name a limit, by what all entries heard of their answers: kept by the leader,
//! and told to all entries as changes since the last they know.
//!
//! A limit begins once an answer that names one has come. It ends by an answer without one to a
//! request that was permitted after the limit had begun: as a replica says so in all its
//! answers, no older answer can be without it. Of two answers whose order cannot be known, the
//! one with the limit counts.
//!
//! Pure, and soft state: entries tell a new leader what they know.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{ReplicaLife, Term};
use crate::placement::named_rate::AdvertisedRate;

/// How long an ended limit is remembered, and one whose replica the log does not know, in
/// milliseconds. What was heard longer ago is not believed: its end may be forgotten.
const KEPT_MS: u64 = 600_000;
/// How long a new leader gathers what entries know, in milliseconds: two regular reports.
const GATHER_MS: u64 = 1_250;

/// Proof of when a request was let through: a moment of a leader's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitStamp {
    /// The leader's term.
    pub term: Term,
    /// By its steady clock, in milliseconds.
    pub granted_ms: u64,
}

/// An answer that names a limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitObservation {
    /// The replica.
    pub replica: ReplicaLife,
    /// What it takes.
    pub rate: AdvertisedRate,
    /// Time since the answer came, in milliseconds.
    pub age_ms: u64,
    /// Of the request that was answered, where it needed one.
    pub permit: Option<PermitStamp>,
}

/// An answer that names no limit any more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitEnd {
    /// The replica.
    pub replica: ReplicaLife,
    /// Of the request that was answered.
    pub permit: PermitStamp,
}

/// Up to where an entry knows what a leader knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LimitCursor {
    /// The leader's term.
    pub term: Term,
    /// The last change.
    pub revision: u64,
}

/// What an entry heard, and what it knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Answers with a limit.
    pub named: Vec<LimitObservation>,
    /// Answers without one any more.
    pub ended: Vec<LimitEnd>,
    /// The changes that it has.
    pub cursor: LimitCursor,
}

/// What is known of one replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitState {
    /// The replica.
    pub replica: ReplicaLife,
    /// None where it names no limit any more.
    pub rate: Option<AdvertisedRate>,
}

/// Changes for an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitPage {
    /// Up to where the entry knows all, with these.
    pub cursor: LimitCursor,
    /// These are all limits: what the entry has of other replicas has ended.
    pub whole: bool,
    /// The changes.
    pub limits: Vec<LimitState>,
}

#[derive(Debug, Default)]
struct LimitNote {
    rate: Option<AdvertisedRate>,
    /// When this rate was heard of first.
    named_ms: u64,
    /// When the request was permitted whose answer showed the end or a higher rate: answers that
    /// came before say nothing.
    settled_ms: Option<u64>,
    /// Its last change.
    revision: u64,
    /// When the log knew the replica last, or the limit ended.
    kept_since_ms: u64,
}

/// All limits that one leader knows.
#[derive(Debug)]
pub struct AdvertisedLimits {
    term: Term,
    since_ms: u64,
    notes: BTreeMap<ReplicaLife, LimitNote>,
    /// Replicas by their last change.
    changes: BTreeMap<u64, ReplicaLife>,
    revision: u64,
    /// Changes up to this one are not known any more.
    forgotten: u64,
}

impl AdvertisedLimits {
    /// Nothing is known yet by a leader of this term, who leads since `now_ms`.
    pub fn new(term: Term, now_ms: u64) -> Self {
        Self {
            term,
            since_ms: now_ms,
            notes: BTreeMap::new(),
            changes: BTreeMap::new(),
            revision: 0,
            forgotten: 0,
        }
    }

    /// The rate that a replica names.
    pub fn rate(&self, replica: &ReplicaLife) -> Option<AdvertisedRate> {
        self.notes.get(replica)?.rate
    }

    /// The last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Replicas that name a limit.
    pub fn limited(&self) -> impl Iterator<Item = &ReplicaLife> {
        let limited = self.notes.iter().filter(|(_, note)| note.rate.is_some());
        limited.map(|(replica, _)| replica)
    }

    /// Whether an entry follows this leader.
    pub fn is_followed(&self, cursor: LimitCursor) -> bool {
        cursor.term == self.term
    }

    /// The stamp of a permit that is given now.
    pub fn stamp(&self, now_ms: u64) -> PermitStamp {
        PermitStamp {
            term: self.term,
            granted_ms: now_ms,
        }
    }

    /// An answer named a limit. Returns whether the replica takes less than was known.
    pub fn name(&mut self, now_ms: u64, notice: &LimitObservation) -> bool {
        if notice.age_ms >= KEPT_MS {
            return false;
        }
        let heard_ms = now_ms.saturating_sub(notice.age_ms);
        let note = self.notes.entry(notice.replica.clone()).or_default();
        if note
            .settled_ms
            .is_some_and(|settled_ms| heard_ms <= settled_ms)
        {
            return false;
        }
        let proof = notice.permit.filter(|permit| permit.term == self.term);
        let proof = proof.filter(|permit| permit.granted_ms > note.named_ms);
        let tightens = match (note.rate, proof) {
            (None, _) => true,
            (Some(known), _) if notice.rate > known => true,
            (Some(known), Some(permit)) if notice.rate < known => {
                note.settled_ms = Some(permit.granted_ms);
                false
            }
            _ => return false,
        };
        note.rate = Some(notice.rate);
        note.named_ms = now_ms;
        note.kept_since_ms = now_ms;
        self.note_change(&notice.replica);
        tightens
    }

    /// An answer named no limit any more. Returns whether one ends by it.
    pub fn end(&mut self, now_ms: u64, end: &LimitEnd) -> bool {
        let granted_ms = end.permit.granted_ms;
        let note = self.notes.get_mut(&end.replica);
        let limited = note.filter(|note| note.rate.is_some() && granted_ms > note.named_ms);
        let Some(note) = limited.filter(|_| end.permit.term == self.term) else {
            return false;
        };
        note.rate = None;
        note.settled_ms = Some(granted_ms);
        note.kept_since_ms = now_ms;
        self.note_change(&end.replica);
        true
    }

    fn note_change(&mut self, replica: &ReplicaLife) {
        self.revision += 1;
        let Some(note) = self.notes.get_mut(replica) else {
            return;
        };
        self.changes.remove(&note.revision);
        note.revision = self.revision;
        self.changes.insert(self.revision, replica.clone());
    }

    /// Takes what an entry heard. Returns what changed for it, with the state of all replicas
    /// that it told of.
    pub fn report(&mut self, now_ms: u64, report: &LimitReport) -> LimitPage {
        let mut page = self.page(now_ms, report.cursor);
        let named = report.named.iter().map(|notice| &notice.replica);
        let ended = report.ended.iter().map(|end| &end.replica);
        let told = named.chain(ended).map(|replica| LimitState {
            replica: replica.clone(),
            rate: self.rate(replica),
        });
        page.limits.extend(told);
        page
    }

    /// What changed since an entry's last page. While a new leader gathers what entries know, it
    /// takes nothing back.
    pub fn page(&self, now_ms: u64, cursor: LimitCursor) -> LimitPage {
        let known = cursor.term == self.term && cursor.revision >= self.forgotten;
        let gathers = now_ms < self.since_ms + GATHER_MS;
        let from = match known {
            true => cursor.revision,
            false => 0,
        };
        let changes = self.changes.range(from + 1..);
        let limits = changes.filter_map(|(_, replica)| {
            Some(LimitState {
                replica: replica.clone(),
                rate: self.notes.get(replica)?.rate,
            })
        });
        LimitPage {
            limits: limits.collect(),
            whole: !known && !gathers,
            cursor: match gathers && !known {
                true => LimitCursor::default(),
                false => LimitCursor {
                    term: self.term,
                    revision: self.revision,
                },
            },
        }
    }

    /// Forgets limits that ended long ago, and those of lives that are over;
    /// `life_of` looks a life up in the log.
    pub fn prune(&mut self, now_ms: u64, life_of: impl Fn(&ReplicaLife) -> IncarnationState) {
        let mut over = Vec::new();
        for (replica, note) in &mut self.notes {
            let kept_ms = match (note.rate, life_of(replica)) {
                (None, _) | (Some(_), IncarnationState::Unknown) => KEPT_MS,
                (Some(_), IncarnationState::Over) => 0,
                (Some(_), IncarnationState::Known) => {
                    note.kept_since_ms = now_ms;
                    continue;
                }
            };
            if now_ms >= note.kept_since_ms + kept_ms {
                over.push((replica.clone(), note.revision));
            }
        }
        for (replica, revision) in over {
            self.notes.remove(&replica);
            self.changes.remove(&revision);
            self.forgotten = self.forgotten.max(revision);
        }
    }
}

/// What the log tells of a replica's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncarnationState {
    /// It lives.
    Known,
    /// The replica has started again.
    Over,
    /// The log knows no replica of this id.
    Unknown,
}
