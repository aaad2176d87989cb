//! How old a member's word on client accounts may be: proofs that no configuration newer
//! than a version had been acknowledged at some moment, and the newest such moment.
//!
//! A proof begins at a leader whose lease holds, and is handed on as a version and an age.
//! Each hop counts the age from before its own question, by its steady clock, so that
//! neither a delay nor a process that stood still makes it look younger.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// That `version` was the newest configuration so many milliseconds ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FreshnessProof {
    /// The version; 0 for none.
    pub version: u64,
    /// Age when the answer left, in milliseconds.
    pub age_ms: u64,
}

/// Proofs kept: configurations that come in quick succession outrun a copy by a few.
const MAX_PROOFS: usize = 8;

/// The proofs that one member has heard.
#[derive(Clone, Debug, Default)]
pub struct ProofCache {
    /// When each version was surely the newest, by the own steady clock; of two proofs
    /// the one for the higher version is the younger one.
    fresh_at_ms: BTreeMap<u64, u64>,
}

impl ProofCache {
    /// Takes a proof from an answer to a question that was asked at `requested_ms`.
    pub fn record(&mut self, proof: FreshnessProof, requested_ms: u64) {
        let at_ms = requested_ms.saturating_sub(proof.age_ms);
        let known = self.fresh_at_ms(proof.version);
        if known.is_some_and(|known_ms| known_ms >= at_ms) {
            return;
        }
        // Whoever holds a higher version holds all that this one proves.
        self.fresh_at_ms
            .retain(|version, known_ms| *version < proof.version || *known_ms > at_ms);
        self.fresh_at_ms.insert(proof.version, at_ms);
        while self.fresh_at_ms.len() > MAX_PROOFS {
            self.fresh_at_ms.pop_first();
        }
    }

    /// The latest moment at which nothing newer than `version` had been acknowledged.
    pub fn fresh_at_ms(&self, version: u64) -> Option<u64> {
        let older = self.fresh_at_ms.range(..=version);
        older.map(|(_, at_ms)| *at_ms).max()
    }
}
