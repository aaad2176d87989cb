//! What a member knows of contents under which replicas ended: what the log holds, and what
//! it has seen itself and does not follow in the log yet.

use std::collections::BTreeMap;

use crate::consensus::crashes::{ContentStanding, CrashCounts, CrashReport};
use crate::ids::{ContentDigest, Position, ReplicaLife};

/// When a caller comes back whose content is sent no more, in milliseconds: nothing it could
/// do helps, and an operator needs minutes to look at it.
pub const QUARANTINE_RETRY_MS: u64 = 60_000;

/// Where in the log an end stands; none while the log was not told.
type LoggedAt = Option<Position>;

/// A member's knowledge.
#[derive(Debug, Default)]
pub struct SuspectIndex {
    logged: CrashCounts,
    /// Ends that this member saw and does not follow in the log yet.
    observed: BTreeMap<ContentDigest, BTreeMap<ReplicaLife, LoggedAt>>,
}

impl SuspectIndex {
    /// Whether all contents are harmless: then nobody needs a request's digest.
    pub fn is_empty(&self) -> bool {
        self.logged.is_empty() && self.observed.is_empty()
    }

    /// Takes over what the log holds at a position.
    pub fn follow(&mut self, position: Position, counts: &CrashCounts) {
        if self.logged != *counts {
            self.logged = counts.clone();
        }
        self.observed.retain(|_, replicas| {
            replicas.retain(|_, logged_at| logged_at.is_none_or(|at| at > position));
            !replicas.is_empty()
        });
    }

    /// Notes an end that this member saw, and where the log holds it, if it does.
    pub fn record_crash(&mut self, report: &CrashReport, logged_at: LoggedAt) {
        for content in &report.contents {
            let replicas = self.observed.entry(*content).or_default();
            replicas.insert(report.replica.clone(), logged_at);
        }
    }

    /// What is to be made of a content. Where both this member and others know of ends, they
    /// may be the same ones: the leader, who is asked before a suspect runs, knows all.
    pub fn standing(&self, content: &ContentDigest) -> ContentStanding {
        let logged = self.logged.get(content).copied().unwrap_or(0);
        let observed = self.observed.get(content).map_or(0, BTreeMap::len);
        ContentStanding::of(logged.max(observed as u8))
    }
}
