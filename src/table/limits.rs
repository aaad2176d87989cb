//! Row limits shared by many entries: a fixed floor for each, and leases on the rest.
//!
//! The sum over all entries never exceeds the limit: the leader counts for each
//! entry the most that it may still hold, and an entry says what it holds.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, RowId};

/// How limits are shared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitPolicy {
    /// Most entries of the site: each owns this part of a limit without a lease.
    pub entries: u32,
    /// How long a share is leased, in milliseconds.
    pub lease_ms: u64,
}

impl LimitPolicy {
    /// What each entry may always run.
    pub fn floor(&self, limit: u32) -> u32 {
        limit / self.entries.max(1)
    }

    /// What is given out by lease.
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

/// What an entry says of one row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitClaim {
    /// The most above the floor that it may be using now.
    pub held: u32,
    /// What it would use above the floor.
    pub wanted: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct LeasedShare {
    share: u32,
    expires_ms: u64,
    running: u32,
    refused: u32,
}

/// One entry's shares.
#[derive(Debug)]
pub struct ShareHolder {
    policy: LimitPolicy,
    rows: BTreeMap<RowId, LeasedShare>,
    request_number: u64,
}

impl ShareHolder {
    /// No leases yet: only the floors.
    pub fn new(policy: LimitPolicy) -> Self {
        Self {
            policy,
            rows: BTreeMap::new(),
            request_number: 0,
        }
    }

    /// Takes one place under the row's limit.
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

    /// Gives a place back.
    pub fn release(&mut self, row: &RowId) {
        if let Some(held) = self.rows.get_mut(row) {
            held.running = held.running.saturating_sub(1);
        }
    }

    /// Requests of the row that run.
    pub fn running(&self, row: &RowId) -> u32 {
        self.rows.get(row).map_or(0, |held| held.running)
    }

    /// Makes the next ask: its number, and a claim for each row in use.
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

    /// Takes the grants for the ask of that number; late ones are dropped, as
    /// the leader counts on what the newest ask said.
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

/// The leader's account of all shares.
#[derive(Debug)]
pub struct ShareGrantor {
    policy: LimitPolicy,
    rows: BTreeMap<RowId, BTreeMap<Incarnation, GrantedShare>>,
    /// The newest ask of each entry.
    request_number: BTreeMap<Incarnation, u64>,
    since_ms: u64,
}

impl ShareGrantor {
    /// A new leader's account.
    pub fn new(policy: LimitPolicy, now_ms: u64) -> Self {
        Self {
            policy,
            rows: BTreeMap::new(),
            request_number: BTreeMap::new(),
            since_ms: now_ms,
        }
    }

    /// Whether this ask is newer than all before it. An older or doubled one
    /// is not granted again: it says less than the entry holds by now.
    pub fn is_new(&mut self, entry: Incarnation, request_number: u64) -> bool {
        let newest = self.request_number.entry(entry).or_default();
        let new = request_number > *newest;
        *newest = (*newest).max(request_number);
        new
    }

    /// Forgets entries that `keep` no longer names.
    pub fn retain(&mut self, keep: impl Fn(Incarnation) -> bool) {
        self.request_number.retain(|entry, _| keep(*entry));
    }

    /// Grants one entry its share of one row above the floor.
    ///
    /// `patience_ms` is the row's: requests that run when a lease ends count
    /// until their patience ends.
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
        // What runs under an earlier leader's leases is not known yet: until it
        // has ended, entries keep what they hold and get no more.
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
