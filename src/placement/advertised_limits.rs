//! Rate limits that replicas advertise, as observed in responses by all entries. The leader keeps
//! them and sends each entry the changes since the last ones it has.
//!
//! A limit begins with the first response that advertises it. It ends with a response without a
//! limit to a request that was permitted after the limit had begun. A replica advertises its limit
//! in all responses, so no older response can lack it. If the order of two responses is unknown,
//! the one with the limit counts.
//!
//! Pure code with soft state: entries report the limits that they know to a new leader.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{ReplicaIncarnation, Term};
use crate::placement::advertised_rate::AdvertisedRate;

/// Time for which an ended limit is kept, and a limit of a replica that the log does not know, in
/// milliseconds. Older observations are ignored, as their end may have been removed.
const RETENTION_MS: u64 = 600_000;
/// Time for which a new leader gathers the limits that entries know, in milliseconds: two regular
/// reports.
const STARTUP_GATHER_MS: u64 = 1_250;

/// Proof of when a request was permitted, by the clock of one leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitStamp {
    /// Term of the leader.
    pub term: Term,
    /// Time by the leader's monotonic clock, in milliseconds.
    pub granted_ms: u64,
}

/// Observation of a response that advertises a limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitObservation {
    /// The replica.
    pub replica: ReplicaIncarnation,
    /// The advertised rate.
    pub rate: AdvertisedRate,
    /// Time since the response was received, in milliseconds.
    pub age_ms: u64,
    /// Permit of the request, if it needed one.
    pub permit: Option<PermitStamp>,
}

/// Observation of a response that no longer advertises a limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitEnd {
    /// The replica.
    pub replica: ReplicaIncarnation,
    /// Permit of the request.
    pub permit: PermitStamp,
}

/// Position in the changes of one leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LimitCursor {
    /// Term of the leader.
    pub term: Term,
    /// Revision of the last change.
    pub revision: u64,
}

/// Observations of an entry, and the changes that it has.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Responses with a limit.
    pub observed: Vec<LimitObservation>,
    /// Responses without a limit after earlier ones with it.
    pub ended: Vec<LimitEnd>,
    /// Changes that the entry has.
    pub cursor: LimitCursor,
}

/// Limit of one replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitState {
    /// The replica.
    pub replica: ReplicaIncarnation,
    /// The advertised rate; `None` if the replica no longer advertises one.
    pub rate: Option<AdvertisedRate>,
}

/// Changes of limits for an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitPage {
    /// Position of the entry after these changes.
    pub cursor: LimitCursor,
    /// The page is a full snapshot: limits of replicas that it does not list have ended.
    pub full: bool,
    /// The changes.
    pub limits: Vec<LimitState>,
}

#[derive(Debug, Default)]
struct LimitRecord {
    rate: Option<AdvertisedRate>,
    /// When this rate was first reported, in milliseconds of the leader's clock.
    observed_ms: u64,
    /// Grant time of the permit whose response showed the end of the limit or a higher rate.
    /// Responses received up to then are ignored.
    relaxed_ms: Option<u64>,
    /// Revision of the last change.
    revision: u64,
    /// When the log last knew the replica, or when the limit last changed.
    retained_since_ms: u64,
}

/// All limits known to one leader.
#[derive(Debug)]
pub struct AdvertisedLimits {
    term: Term,
    since_ms: u64,
    records: BTreeMap<ReplicaIncarnation, LimitRecord>,
    /// Replicas by the revision of their last change.
    changes: BTreeMap<u64, ReplicaIncarnation>,
    revision: u64,
    /// Changes up to this revision may have been removed.
    pruned_through: u64,
}

impl AdvertisedLimits {
    /// Creates the empty state of a leader of this term that leads since `now_ms`.
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

    /// Returns the rate that a replica advertises.
    pub fn rate(&self, replica: &ReplicaIncarnation) -> Option<AdvertisedRate> {
        self.records.get(replica)?.rate
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the replicas that advertise a limit.
    pub fn limited(&self) -> impl Iterator<Item = &ReplicaIncarnation> {
        let limited = self
            .records
            .iter()
            .filter(|(_, record)| record.rate.is_some());
        limited.map(|(replica, _)| replica)
    }

    /// Returns whether a cursor belongs to the term of this leader.
    pub fn is_current(&self, cursor: LimitCursor) -> bool {
        cursor.term == self.term
    }

    /// Returns the stamp of a permit that is granted now.
    pub fn stamp(&self, now_ms: u64) -> PermitStamp {
        PermitStamp {
            term: self.term,
            granted_ms: now_ms,
        }
    }

    /// Records a response that advertises a limit. Returns whether the limit is new or stricter
    /// than the known one.
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

    /// Records a response that no longer advertises a limit. Returns whether the limit ends.
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

    fn record_change(&mut self, replica: &ReplicaIncarnation) {
        self.revision += 1;
        let Some(record) = self.records.get_mut(replica) else {
            return;
        };
        self.changes.remove(&record.revision);
        record.revision = self.revision;
        self.changes.insert(self.revision, replica.clone());
    }

    /// Returns the changes for an entry, with the state of all replicas that its report covers.
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

    /// Returns the changes since an entry's cursor. While a new leader gathers the limits that
    /// entries know, it ends none of them at an entry whose cursor it does not know.
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

    /// Removes limits that ended long ago and those of replaced incarnations. `state_of` looks up
    /// an incarnation in the log.
    pub fn prune(
        &mut self,
        now_ms: u64,
        state_of: impl Fn(&ReplicaIncarnation) -> IncarnationState,
    ) {
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

/// State of a replica's incarnation in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncarnationState {
    /// The log knows the replica and no later incarnation.
    Current,
    /// The replica has started again since.
    Replaced,
    /// The log knows no replica with this id.
    Unknown,
}
