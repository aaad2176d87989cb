//! Bounds the age of a member's client-account configuration: a proof states that no configuration
//! newer than a version had been acknowledged at a given time.
//!
//! A leader with a valid lease issues a proof, which is passed on as a version and an age. Each hop
//! counts the age by its monotonic clock from before it sent its own request, so that neither a
//! delay nor a suspended process makes the proof look younger.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// States that `version` was the newest configuration `age_ms` ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FreshnessProof {
    /// Configuration version; 0 if there was none.
    pub version: u64,
    /// Age when the reply was sent, in milliseconds.
    pub age_ms: u64,
}

/// Maximum number of proofs kept. A copy lags a few versions behind when configurations follow each
/// other quickly.
const MAX_PROOFS: usize = 8;

/// Proofs received by one member.
#[derive(Clone, Debug, Default)]
pub struct ProofCache {
    /// Time of the local monotonic clock at which each version was proven to be the newest. A
    /// higher version always has the later time.
    fresh_at_ms: BTreeMap<u64, u64>,
}

impl ProofCache {
    /// Records a proof from the reply to a request that was sent at `requested_ms`.
    pub fn record(&mut self, proof: FreshnessProof, requested_ms: u64) {
        let at_ms = requested_ms.saturating_sub(proof.age_ms);
        let known = self.fresh_at_ms(proof.version);
        if known.is_some_and(|known_ms| known_ms >= at_ms) {
            return;
        }
        // This proof also covers every higher version, which makes earlier proofs of those
        // redundant.
        self.fresh_at_ms
            .retain(|version, known_ms| *version < proof.version || *known_ms > at_ms);
        self.fresh_at_ms.insert(proof.version, at_ms);
        while self.fresh_at_ms.len() > MAX_PROOFS {
            self.fresh_at_ms.pop_first();
        }
    }

    /// Returns the latest time at which nothing newer than `version` had been acknowledged; `None`
    /// if that was never proven.
    pub fn fresh_at_ms(&self, version: u64) -> Option<u64> {
        let older = self.fresh_at_ms.range(..=version);
        older.map(|(_, at_ms)| *at_ms).max()
    }
}
