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
const RETENTION_MS: u64 = 600_000;
/// How long a new leader gathers what entries know, in milliseconds: two regular reports.
const STARTUP_GATHER_MS: u64 = 1_250;

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
    pub observed: Vec<LimitObservation>,
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
    pub full: bool,
    /// The changes.
    pub limits: Vec<LimitState>,
}

#[derive(Debug, Default)]
struct LimitRecord {
    rate: Option<AdvertisedRate>,
    /// When this rate was heard of first.
    observed_ms: u64,
    /// When the request was permitted whose answer showed the end or a higher rate: answers that
    /// came before say nothing.
    relaxed_ms: Option<u64>,
    /// Its last change.
    revision: u64,
    /// When the log knew the replica last, or the limit ended.
    retained_since_ms: u64,
}

/// All limits that one leader knows.
#[derive(Debug)]
pub struct AdvertisedLimits {
    term: Term,
    since_ms: u64,
    records: BTreeMap<ReplicaLife, LimitRecord>,
    /// Replicas by their last change.
    changes: BTreeMap<u64, ReplicaLife>,
    revision: u64,
    /// Changes up to this one are not known any more.
    pruned_through: u64,
}

impl AdvertisedLimits {
    /// Nothing is known yet by a leader of this term, who leads since `now_ms`.
    pub fn new(term: Term, now_ms: u64) -> Self {
        Self {
            term,
            since_ms: now_ms,
            records: BTreeMap::new(),
            changes: BTreeMap::new(),
            revision: 0,
            pruned_through: 0,
        }
    }

    /// The rate that a replica names.
    pub fn rate(&self, replica: &ReplicaLife) -> Option<AdvertisedRate> {
        self.records.get(replica)?.rate
    }

    /// The last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Replicas that name a limit.
    pub fn limited(&self) -> impl Iterator<Item = &ReplicaLife> {
        let limited = self
            .records
            .iter()
            .filter(|(_, record)| record.rate.is_some());
        limited.map(|(replica, _)| replica)
    }

    /// Whether an entry follows this leader.
    pub fn is_current(&self, cursor: LimitCursor) -> bool {
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
    pub fn observe(&mut self, now_ms: u64, observation: &LimitObservation) -> bool {
        if observation.age_ms >= RETENTION_MS {
            return false;
        }
        let received_ms = now_ms.saturating_sub(observation.age_ms);
        let record = self.records.entry(observation.replica.clone()).or_default();
        if record
            .relaxed_ms
            .is_some_and(|relaxed_ms| received_ms <= relaxed_ms)
        {
            return false;
        }
        let permit_proof = observation.permit.filter(|permit| permit.term == self.term);
        let permit_proof = permit_proof.filter(|permit| permit.granted_ms > record.observed_ms);
        let is_stricter = match (record.rate, permit_proof) {
            (None, _) => true,
            (Some(known), _) if observation.rate > known => true,
            (Some(known), Some(permit)) if observation.rate < known => {
                record.relaxed_ms = Some(permit.granted_ms);
                false
            }
            _ => return false,
        };
        record.rate = Some(observation.rate);
        record.observed_ms = now_ms;
        record.retained_since_ms = now_ms;
        self.record_change(&observation.replica);
        is_stricter
    }

    /// An answer named no limit any more. Returns whether one ends by it.
    pub fn observe_end(&mut self, now_ms: u64, end: &LimitEnd) -> bool {
        let granted_ms = end.permit.granted_ms;
        let record = self.records.get_mut(&end.replica);
        let limited =
            record.filter(|record| record.rate.is_some() && granted_ms > record.observed_ms);
        let Some(record) = limited.filter(|_| end.permit.term == self.term) else {
            return false;
        };
        record.rate = None;
        record.relaxed_ms = Some(granted_ms);
        record.retained_since_ms = now_ms;
        self.record_change(&end.replica);
        true
    }

    fn record_change(&mut self, replica: &ReplicaLife) {
        self.revision += 1;
        let Some(record) = self.records.get_mut(replica) else {
            return;
        };
        self.changes.remove(&record.revision);
        record.revision = self.revision;
        self.changes.insert(self.revision, replica.clone());
    }

    /// Takes what an entry heard. Returns what changed for it, with the state of all replicas
    /// that it told of.
    pub fn report(&mut self, now_ms: u64, report: &LimitReport) -> LimitPage {
        let mut page = self.page(now_ms, report.cursor);
        let observed = report
            .observed
            .iter()
            .map(|observation| &observation.replica);
        let ended = report.ended.iter().map(|end| &end.replica);
        let reported = observed.chain(ended).map(|replica| LimitState {
            replica: replica.clone(),
            rate: self.rate(replica),
        });
        page.limits.extend(reported);
        page
    }

    /// What changed since an entry's last page. While a new leader gathers what entries know, it
    /// takes nothing back.
    pub fn page(&self, now_ms: u64, cursor: LimitCursor) -> LimitPage {
        let known = cursor.term == self.term && cursor.revision >= self.pruned_through;
        let gathering = now_ms < self.since_ms + STARTUP_GATHER_MS;
        let from = match known {
            true => cursor.revision,
            false => 0,
        };
        let changes = self.changes.range(from + 1..);
        let limits = changes.filter_map(|(_, replica)| {
            Some(LimitState {
                replica: replica.clone(),
                rate: self.records.get(replica)?.rate,
            })
        });
        LimitPage {
            limits: limits.collect(),
            full: !known && !gathering,
            cursor: match gathering && !known {
                true => LimitCursor::default(),
                false => LimitCursor {
                    term: self.term,
                    revision: self.revision,
                },
            },
        }
    }

    /// Forgets limits that ended long ago, and those of lives that are over;
    /// `state_of` looks a life up in the log.
    pub fn prune(&mut self, now_ms: u64, state_of: impl Fn(&ReplicaLife) -> IncarnationState) {
        let mut expired = Vec::new();
        for (replica, record) in &mut self.records {
            let retention_ms = match (record.rate, state_of(replica)) {
                (None, _) | (Some(_), IncarnationState::Unknown) => RETENTION_MS,
                (Some(_), IncarnationState::Replaced) => 0,
                (Some(_), IncarnationState::Current) => {
                    record.retained_since_ms = now_ms;
                    continue;
                }
            };
            if now_ms >= record.retained_since_ms + retention_ms {
                expired.push((replica.clone(), record.revision));
            }
        }
        for (replica, revision) in expired {
            self.records.remove(&replica);
            self.changes.remove(&revision);
            self.pruned_through = self.pruned_through.max(revision);
        }
    }
}

/// What the log tells of a replica's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncarnationState {
    /// It lives.
    Current,
    /// The replica has started again.
    Replaced,
    /// The log knows no replica of this id.
    Unknown,
}
