//! Row limits shared by the entries: a fixed floor for each entry, and leases on the remainder.
//!
//! The sum over all entries never exceeds the limit: the leader counts for each entry the
//! maximum that it may still hold, and each entry reports what it holds.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, RowId};

/// Policy for sharing row limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitPolicy {
    /// Maximum number of entries of the site: each owns an equal part of every limit without a
    /// lease.
    pub entries: u32,
    /// Lease time of a share, in milliseconds.
    pub lease_ms: u64,
}

impl LimitPolicy {
    /// Returns the number of requests that each entry may always run.
    pub fn floor(&self, limit: u32) -> u32 {
        limit / self.entries.max(1)
    }

    /// Returns the part of the limit that is leased out.
    pub fn pool(&self, limit: u32) -> u32 {
        limit - self.floor(limit) * self.entries.max(1)
    }

    fn leased(&self, limit: u32, running: u32) -> u32 {
        running.saturating_sub(self.floor(limit))
    }
}

impl Default for LimitPolicy {
    fn default() -> Self {
        Self {
            entries: 4,
            lease_ms: 2000,
        }
    }
}

/// Report of an entry about one row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitClaim {
    /// Maximum number of requests above the floor that the entry may be running.
    pub held: u32,
    /// Number of requests above the floor that the entry would run.
    pub wanted: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct LeasedShare {
    share: u32,
    expires_ms: u64,
    running: u32,
    refused: u32,
}

/// Shares of one entry.
#[derive(Debug)]
pub struct ShareHolder {
    policy: LimitPolicy,
    rows: BTreeMap<RowId, LeasedShare>,
    request_number: u64,
}

impl ShareHolder {
    /// Creates a holder without leases: only the floors apply.
    pub fn new(policy: LimitPolicy) -> Self {
        Self {
            policy,
            rows: BTreeMap::new(),
            request_number: 0,
        }
    }

    /// Takes one slot under the row's limit; returns whether one was free.
    pub fn acquire(&mut self, row: &RowId, limit: u32, now_ms: u64) -> bool {
        let floor = self.policy.floor(limit);
        let held = self.rows.entry(row.clone()).or_default();
        let leased = if now_ms < held.expires_ms {
            held.share
        } else {
            0
        };
        if held.running < (floor + leased).min(limit) {
            held.running += 1;
            true
        } else {
            held.refused += 1;
            false
        }
    }

    /// Returns a slot.
    pub fn release(&mut self, row: &RowId) {
        if let Some(held) = self.rows.get_mut(row) {
            held.running = held.running.saturating_sub(1);
        }
    }

    /// Returns the number of the row's running requests.
    pub fn running(&self, row: &RowId) -> u32 {
        self.rows.get(row).map_or(0, |held| held.running)
    }

    /// Creates the next request to the leader: its number, and a claim for each row in use.
    pub fn next_request(
        &mut self,
        now_ms: u64,
        limit_of: impl Fn(&RowId) -> Option<u32>,
    ) -> (u64, BTreeMap<RowId, LimitClaim>) {
        self.request_number += 1;
        let policy = self.policy;
        let mut claims = BTreeMap::new();
        self.rows
            .retain(|_, held| held.running > 0 || held.refused > 0 || now_ms < held.expires_ms);
        for (row, held) in &mut self.rows {
            let Some(limit) = limit_of(row) else {
                continue;
            };
            let using = policy.leased(limit, held.running);
            let share = if now_ms < held.expires_ms {
                held.share
            } else {
                0
            };
            let claim = LimitClaim {
                held: share.max(using),
                wanted: policy.leased(limit, held.running + held.refused + 1),
            };
            held.refused = 0;
            claims.insert(row.clone(), claim);
        }
        (self.request_number, claims)
    }

    /// Applies the grants for the request `request_number`. Late grants are dropped, as the
    /// leader relies on the claims of the newest request.
    pub fn apply_grants(
        &mut self,
        request_number: u64,
        requested_ms: u64,
        grants: &BTreeMap<RowId, u32>,
    ) {
        if request_number != self.request_number {
            return;
        }
        for (row, share) in grants {
            let held = self.rows.entry(row.clone()).or_default();
            held.share = *share;
            held.expires_ms = requested_ms + self.policy.lease_ms;
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct GrantedShare {
    counted: u32,
    wanted: u32,
    expires_ms: u64,
}

/// Leader's record of all shares.
#[derive(Debug)]
pub struct ShareGrantor {
    policy: LimitPolicy,
    rows: BTreeMap<RowId, BTreeMap<Incarnation, GrantedShare>>,
    /// Number of the newest request of each entry.
    request_number: BTreeMap<Incarnation, u64>,
    since_ms: u64,
}

impl ShareGrantor {
    /// Creates the record of a new leader.
    pub fn new(policy: LimitPolicy, now_ms: u64) -> Self {
        Self {
            policy,
            rows: BTreeMap::new(),
            request_number: BTreeMap::new(),
            since_ms: now_ms,
        }
    }

    /// Returns whether this request is newer than all earlier ones of the entry. Older and
    /// duplicate requests get no grant: they may claim less than the entry holds by now.
    pub fn is_new(&mut self, entry: Incarnation, request_number: u64) -> bool {
        let newest = self.request_number.entry(entry).or_default();
        let new = request_number > *newest;
        *newest = (*newest).max(request_number);
        new
    }

    /// Removes entries that `keep` rejects.
    pub fn retain(&mut self, keep: impl Fn(Incarnation) -> bool) {
        self.request_number.retain(|entry, _| keep(*entry));
    }

    /// Grants one entry its share of one row above the floor.
    ///
    /// `patience_ms` is the row's wait limit: requests that are running when a lease ends count
    /// until this time has passed.
    pub fn grant(
        &mut self,
        now_ms: u64,
        entry: Incarnation,
        row: &RowId,
        limit: u32,
        patience_ms: u64,
        claim: LimitClaim,
    ) -> u32 {
        let pool = self.policy.pool(limit);
        let shares = self.rows.entry(row.clone()).or_default();
        shares.retain(|_, granted| now_ms < granted.expires_ms);
        let others = shares.iter().filter(|(other, _)| **other != entry);
        let (taken, wanted) = others.fold((0, 0), |(taken, wanted), (_, granted)| {
            (taken + granted.counted, wanted + granted.wanted)
        });
        let free = pool.saturating_sub(taken);
        let all = u64::from(wanted) + u64::from(claim.wanted);
        let fair = match all {
            0 => 0,
            all => (u64::from(pool) * u64::from(claim.wanted) / all) as u32,
        };
        // Requests running under an earlier leader's leases are unknown. Until they have ended,
        // entries keep what they hold and get no more.
        let freeze_until_ms = self.since_ms + self.policy.lease_ms + patience_ms;
        let share = match now_ms < freeze_until_ms {
            true => claim.held.min(free),
            false => fair.max(claim.wanted.min(1)).min(free),
        };
        let granted = GrantedShare {
            counted: share.max(claim.held),
            wanted: claim.wanted,
            expires_ms: now_ms + self.policy.lease_ms + patience_ms,
        };
        shares.insert(entry, granted);
        share
    }
}
