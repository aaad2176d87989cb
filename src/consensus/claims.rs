//! Claims of calls that may run at most once: key to the one attempt that may run it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{AttemptId, CallKey, Incarnation, PartnerName, Position, TargetName};

/// Names one call of one partner.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The caller's partner.
    pub partner: PartnerName,
    /// The caller's idempotency key.
    pub key: CallKey,
}

/// Asks that one attempt may run the call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The call.
    pub key: ClaimKey,
    /// Digest of the request: the same key with another body is refused.
    pub digest: [u8; 32],
    /// The attempt.
    pub attempt: AttemptId,
    /// Where it will run.
    pub target: TargetName,
    /// The agent's life that may run it.
    pub incarnation: Incarnation,
    /// Where a caller's key carries the time of its making: refused once it is
    /// older than the retention, in milliseconds since the epoch.
    pub key_created_ms: Option<u64>,
}

/// How a claimed attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settlement {
    /// Proven not to have run and never to run: the key is free again.
    NotRun,
    /// Ran to its end.
    Done {
        /// The answer; none where it was longer than is kept.
        answer: Option<String>,
    },
    /// May or may not have run. Final: it is never run again on a guess.
    Unknown,
}

/// A claim as recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Digest of the request.
    pub digest: [u8; 32],
    /// The attempt that holds the claim.
    pub attempt: AttemptId,
    /// Where it runs.
    pub target: TargetName,
    /// The agent's life that may run it.
    pub incarnation: Incarnation,
    /// When it was claimed, in the log's clock.
    pub at_ms: u64,
    /// How it ended, once that is known.
    pub settled: Option<Settlement>,
}

/// The answer to a [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The attempt holds the claim; the position rises with each claim.
    Granted(Position),
    /// Another attempt holds it, or the call has ended.
    Taken(ClaimRecord),
    /// The key was used with another body.
    OtherBody,
    /// The key is older than the retention, so nothing can be said of it.
    TooOld,
}

/// All claims within the retention.
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

    /// Records how an attempt ended. An attempt that lost its claim, or one
    /// already settled, changes nothing. Returns whether this was the record.
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

    /// Looks a claim up.
    pub fn get(&self, key: &ClaimKey) -> Option<&ClaimRecord> {
        self.records.get(key)
    }

    /// Forgets claims made before `before_ms`, whatever their end.
    pub fn prune(&mut self, before_ms: u64) {
        self.pruned_before_ms = self.pruned_before_ms.max(before_ms);
        self.records.retain(|_, record| record.at_ms >= before_ms);
    }

    /// The number of claims kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no claim is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
