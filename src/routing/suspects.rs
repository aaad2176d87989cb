//! What a member knows of contents under which replicas ended: what the log holds, and what
//! it has seen itself and does not follow in the log yet.

use std::collections::BTreeMap;

use crate::consensus::crashes::{ContentStanding, CrashCounts, CrashReport};
use crate::ids::{ContentDigest, Position, ReplicaIncarnation};

/// When a caller comes back whose content is sent no more, in milliseconds: nothing it could
/// do helps, and an operator needs minutes to look at it.
pub const BARRED_RETRY_MS: u64 = 60_000;

/// Where in the log an end stands; none while the log was not told.
type ToldAt = Option<Position>;

/// A member's knowledge.
#[derive(Debug, Default)]
pub struct SuspectBook {
    followed: CrashCounts,
    /// Ends that this member saw and does not follow in the log yet.
    seen: BTreeMap<ContentDigest, BTreeMap<ReplicaIncarnation, ToldAt>>,
}

impl SuspectBook {
    /// Whether all contents are harmless: then nobody needs a request's digest.
    pub fn is_empty(&self) -> bool {
        self.followed.is_empty() && self.seen.is_empty()
    }

    /// Takes over what the log holds at a position.
    pub fn follow(&mut self, position: Position, counts: &CrashCounts) {
        if self.followed != *counts {
            self.followed = counts.clone();
        }
        self.seen.retain(|_, lives| {
            lives.retain(|_, told| told.is_none_or(|at| at > position));
            !lives.is_empty()
        });
    }

    /// Notes an end that this member saw, and where the log holds it, if it does.
    pub fn note(&mut self, report: &CrashReport, told: ToldAt) {
        for content in &report.contents {
            let lives = self.seen.entry(*content).or_default();
            lives.insert(report.replica.clone(), told);
        }
    }

    /// What is to be made of a content. Where both this member and others know of ends, they
    /// may be the same ones: the leader, who is asked before a suspect runs, knows all.
    pub fn standing(&self, content: &ContentDigest) -> ContentStanding {
        let followed = self.followed.get(content).copied().unwrap_or(0);
        let seen = self.seen.get(content).map_or(0, BTreeMap::len);
        ContentStanding::of(followed.max(seen as u8))
    }
}
