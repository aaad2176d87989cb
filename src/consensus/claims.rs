//! Claims of calls that may run at most once: each key maps to the one attempt that may run it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{AttemptId, CallKey, Incarnation, PartnerName, Position, TargetName};

/// Identifies one call of one partner.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Partner of the caller.
    pub partner: PartnerName,
    /// Caller's idempotency key.
    pub key: CallKey,
}

/// Requests the right to run a call in one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Call to claim.
    pub key: ClaimKey,
    /// Digest of the request: the same key with a different body is refused.
    pub digest: [u8; 32],
    /// Attempt that claims the call.
    pub attempt: AttemptId,
    /// Target that will run the call.
    pub target: TargetName,
    /// Incarnation of the agent that may run the call.
    pub incarnation: Incarnation,
    /// Creation time of the key, in milliseconds since the epoch, where the key carries one.
    /// Keys older than the retention are refused.
    pub key_created_ms: Option<u64>,
}

/// Outcome of a claimed attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settlement {
    /// Proven not to have run and never to run: the key can be claimed again.
    NotRun,
    /// Ran to completion.
    Done {
        /// Response body; `None` where it exceeds the size that is kept.
        answer: Option<String>,
    },
    /// May or may not have run. Final: the call is never run again on a guess.
    Unknown,
}

/// State of a recorded claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Digest of the request.
    pub digest: [u8; 32],
    /// The attempt that holds the claim.
    pub attempt: AttemptId,
    /// Target that runs the call.
    pub target: TargetName,
    /// Incarnation of the agent that may run the call.
    pub incarnation: Incarnation,
    /// Time of the claim, by the state's clock.
    pub at_ms: u64,
    /// Outcome, once known.
    pub settled: Option<Settlement>,
}

/// Reply to a [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The attempt holds the claim; the position increases with each claim.
    Granted(Position),
    /// Another attempt holds the claim, or the call has ended.
    Taken(ClaimRecord),
    /// The key was used with a different body.
    OtherBody,
    /// The key is older than the retention, so the outcome of its call is unknown.
    TooOld,
}

/// All claims within the retention period.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClaimStore {
    records: BTreeMap<ClaimKey, ClaimRecord>,
    pruned_before_ms: u64,
}

impl ClaimStore {
    /// Applies a claim at a log position.
    pub fn claim(&mut self, position: Position, at_ms: u64, request: &ClaimRequest) -> ClaimReply {
        match (self.records.get(&request.key), request.key_created_ms) {
            (Some(record), _) if record.digest != request.digest => return ClaimReply::OtherBody,
            (Some(record), _) if record.attempt == request.attempt => {
                return ClaimReply::Granted(position);
            }
            (Some(record), _) if record.settled != Some(Settlement::NotRun) => {
                return ClaimReply::Taken(record.clone());
            }
            (None, Some(created)) if created < self.pruned_before_ms => return ClaimReply::TooOld,
            _ => {}
        }
        let record = ClaimRecord {
            digest: request.digest,
            attempt: request.attempt,
            target: request.target.clone(),
            incarnation: request.incarnation,
            at_ms,
            settled: None,
        };
        self.records.insert(request.key.clone(), record);
        ClaimReply::Granted(position)
    }

    /// Records the outcome of an attempt. Changes nothing if the attempt does not hold the
    /// claim or is already settled. Returns whether `end` is now the recorded outcome.
    pub fn settle(&mut self, key: &ClaimKey, attempt: AttemptId, end: &Settlement) -> bool {
        match self.records.get_mut(key) {
            Some(record) if record.attempt == attempt && record.settled.is_none() => {
                record.settled = Some(end.clone());
                true
            }
            Some(record) => record.attempt == attempt && record.settled.as_ref() == Some(end),
            None => false,
        }
    }

    /// Returns the record of a claim.
    pub fn get(&self, key: &ClaimKey) -> Option<&ClaimRecord> {
        self.records.get(key)
    }

    /// Removes claims made before `before_ms`, whatever their outcome.
    pub fn prune(&mut self, before_ms: u64) {
        self.pruned_before_ms = self.pruned_before_ms.max(before_ms);
        self.records.retain(|_, record| record.at_ms >= before_ms);
    }

    /// Returns the number of stored claims.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no claim is stored.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
