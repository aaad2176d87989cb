//! Turns of suspect contents: the leader lets one attempt of each run at a time, over all
//! entries, so that its next crash is known before the next attempt leaves.
//!
//! A crash makes suspects of all that ran at the replica, up to a batch of its engine, and
//! one of them did it. Suspects are kept apart so that they do not share the next crash, too:
//! those with one crash where another replica is free of suspects, those with more always.
//! So who ran beside is not drawn along to the third.
//!
//! Pure, and soft state: a new leader knows of no turns, and one attempt more may run then.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::consensus::crashes::ContentStanding;
use crate::ids::{ContentDigest, ReplicaId};

/// Longest turn, in milliseconds: an entry that ended tells of no end.
const MAX_SUSPECT_LEASE_MS: u64 = 60_000;
/// Crashes from which a suspect shares a replica with no other suspect.
const EXCLUSIVE_CRASHES: u8 = 2;

/// An entry asks for the turn of one attempt at a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectLeaseRequest {
    /// What it asks.
    pub content: ContentDigest,
    /// Where it is to run.
    pub replica: ReplicaId,
    /// Drawn for this ask: tells the turn apart from others that were asked for.
    pub ticket: u64,
    /// How long it may run, in milliseconds.
    pub duration_ms: u64,
    /// No replica is free of suspects, as far as the entry knows.
    pub no_free_replica: bool,
}

/// An attempt has ended, and what it has done is known; or it never left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectLeaseRelease {
    /// What it asked.
    pub content: ContentDigest,
    /// The attempt.
    pub ticket: u64,
}

/// What the leader says to an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuspectLeaseReply {
    /// It may run there now.
    Granted,
    /// Another attempt of the same content runs.
    Wait,
    /// Another suspect runs there: another replica is better.
    Elsewhere,
    /// It is sent no more.
    Barred,
}

#[derive(Clone, Debug)]
struct ActiveLease {
    ticket: u64,
    replica: ReplicaId,
    crashes: u8,
    expires_ms: u64,
}

/// The turns that are taken.
#[derive(Debug, Default)]
pub struct SuspectLeases {
    active: BTreeMap<ContentDigest, ActiveLease>,
}

impl SuspectLeases {
    /// Answers an ask; `standing` is what the log says of its content.
    pub fn request(
        &mut self,
        now_ms: u64,
        standing: ContentStanding,
        request: &SuspectLeaseRequest,
    ) -> SuspectLeaseReply {
        self.active.retain(|_, lease| lease.expires_ms > now_ms);
        let crashes = match standing {
            // Its entry has not heard yet that it was cleared.
            ContentStanding::Harmless => return SuspectLeaseReply::Granted,
            ContentStanding::Barred => return SuspectLeaseReply::Barred,
            ContentStanding::Suspect(crashes) => crashes,
        };
        let current = self.active.get(&request.content);
        if current.is_some_and(|lease| lease.ticket != request.ticket) {
            return SuspectLeaseReply::Wait;
        }
        let sharing = self
            .active
            .iter()
            .filter(|(key, lease)| **key != request.content && lease.replica == request.replica);
        let max_crashes = sharing.map(|(_, lease)| lease.crashes).max();
        match max_crashes {
            Some(max_crashes)
                if !request.no_free_replica || max_crashes.max(crashes) >= EXCLUSIVE_CRASHES =>
            {
                SuspectLeaseReply::Elsewhere
            }
            _ => {
                let lease = ActiveLease {
                    ticket: request.ticket,
                    replica: request.replica.clone(),
                    crashes,
                    expires_ms: now_ms + request.duration_ms.min(MAX_SUSPECT_LEASE_MS),
                };
                self.active.insert(request.content, lease);
                SuspectLeaseReply::Granted
            }
        }
    }

    /// Ends a turn.
    pub fn release(&mut self, release: SuspectLeaseRelease) {
        let active = self.active.get(&release.content);
        if active.is_some_and(|lease| lease.ticket == release.ticket) {
            self.active.remove(&release.content);
        }
    }
}
