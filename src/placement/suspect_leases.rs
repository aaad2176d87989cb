//! Leases for attempts of suspect contents. The leader lets one attempt of each content run at a
//! time, over all entries, so that a crash during it is known before the next attempt is sent.
//!
//! A crash makes all contents that ran at the replica suspects, up to a batch of its engine, while
//! only one of them caused it. Suspects are kept apart so that they do not share the next crash as
//! well: those with one crash while another replica is free of suspects, those with more crashes
//! always. A content that merely ran at the same replica thus does not reach the third crash.
//!
//! Pure code with soft state: a new leader knows no leases, so one further attempt may run then.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::consensus::crashes::ContentStanding;
use crate::ids::{ContentDigest, ReplicaId};

/// Longest lease, in milliseconds: an entry that has ended does not release its leases.
const MAX_SUSPECT_LEASE_MS: u64 = 60_000;
/// Number of crashes from which a suspect does not share a replica with another suspect.
const EXCLUSIVE_CRASHES: u8 = 2;

/// Request of an entry for the lease of one attempt at a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectLeaseRequest {
    /// Content of the attempt.
    pub content: ContentDigest,
    /// Replica that the attempt is to run at.
    pub replica: ReplicaId,
    /// Random number of this request, which distinguishes its lease from others of the content.
    pub ticket: u64,
    /// Time for which the attempt may run, in milliseconds.
    pub duration_ms: u64,
    /// No replica is free of suspects, as far as the entry knows.
    pub no_free_replica: bool,
}

/// Release of a lease: the attempt has ended and its effect is known, or it was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectLeaseRelease {
    /// Content of the attempt.
    pub content: ContentDigest,
    /// Ticket of the lease request.
    pub ticket: u64,
}

/// Reply to a lease request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuspectLeaseReply {
    /// The attempt may run at the replica now.
    Granted,
    /// Another attempt of the same content is running.
    Wait,
    /// Another suspect runs at the replica; another replica should be used.
    Elsewhere,
    /// The content is quarantined and must not be sent.
    Barred,
}

#[derive(Clone, Debug)]
struct ActiveLease {
    ticket: u64,
    replica: ReplicaId,
    crashes: u8,
    expires_ms: u64,
}

/// The active leases.
#[derive(Debug, Default)]
pub struct SuspectLeases {
    active: BTreeMap<ContentDigest, ActiveLease>,
}

impl SuspectLeases {
    /// Handles a lease request; `standing` is the standing of its content in the log.
    pub fn request(
        &mut self,
        now_ms: u64,
        standing: ContentStanding,
        request: &SuspectLeaseRequest,
    ) -> SuspectLeaseReply {
        self.active.retain(|_, lease| lease.expires_ms > now_ms);
        let crashes = match standing {
            // The entry has not received the update yet that cleared the content.
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

    /// Releases a lease.
    pub fn release(&mut self, release: SuspectLeaseRelease) {
        let active = self.active.get(&release.content);
        if active.is_some_and(|lease| lease.ticket == release.ticket) {
            self.active.remove(&release.content);
        }
    }
}
