//! Quotas of client accounts, enforced over all entries together: the leader keeps one token
//! bucket per account, and entries draw from it.
//!
//! An entry with high demand for an account prefetches. Otherwise, and whenever little is left,
//! it draws only the cost of its waiting requests and returns the rest, as units that lie
//! unspent at many entries would be lost to all. Drawn units occupy the bucket until they are
//! spent, returned, or their lease expires. Under one leader, the units that all entries spend
//! in any window are thus at most the burst plus what the window adds.
//!
//! An entry whose request gets no reply borrows for an account that was not short as of the
//! last reply: its share of the limit by demand, as the leader granted it, or one request.
//! Borrowed units are deducted from the bucket once they are reported to the leader. A new
//! leader does not know what was drawn before. Units borrowed while there was no leader do not
//! count, as nothing was drawn in that time.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::{AccountName, HostName};
use crate::table::accounts::{AccountList, QuotaSpec};

/// Lease of drawn units, counted from when their request was made, and time for which an entry
/// borrows after the last reply, in milliseconds: an election takes one to two seconds.
pub const LEASE_MS: u64 = 4_000;
/// Maximum fill of a new leader's bucket, as a fraction of its depth, while earlier leases may
/// last: what all entries together may spend beyond the limit per change of leader. The bucket
/// starts full if no entry has drawn from a leader before, as after a power loss of the site.
const INITIAL_FRACTION: f64 = 0.5;
/// Fraction of the bucket below which an account is short: entries do not prefetch then.
const LOW_FRACTION: f64 = 0.2;
/// Minimum depth of a bucket, in seconds of its rate: with less, tokens added between two
/// requests of the entries would be lost.
const MIN_DEPTH_S: f64 = 0.25;
/// Prefetch of an entry, in seconds of its demand. An account that uses half of its limit
/// leaves half of the bucket to bursts.
const PREFETCH_S: f64 = 1.0;
/// Minimum number of requests within [`PREFETCH_S`] for which prefetching saves calls to the
/// leader.
const MIN_PREFETCH_REQUESTS: f64 = 2.0;
/// Time constant of the moving average of demand, in seconds.
const DEMAND_WINDOW_S: f64 = 2.0;
/// Demand below which an account is dropped, in units per second.
const MIN_DEMAND_PER_S: f64 = 1.0;
/// Minimum and maximum retry delay for a short account, in milliseconds: callers are told the
/// delay, and each request costs the leader a call.
const RETRY_RANGE_MS: (u64, u64) = (50, 1_000);
/// Borrowing allowance, in seconds of the entry's share of the limit.
const BORROW_S: f64 = 1.0;
/// Minimum interval between requests that only refill, in milliseconds.
const MIN_REFILL_INTERVAL_MS: u64 = 100;

/// Identifies one run of an entry process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EntryIncarnation {
    /// Host of the entry.
    pub host: HostName,
    /// Random number drawn at the start of the process.
    pub incarnation: u64,
}

/// Report of an entry about one account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaClaim {
    /// Drawn units spent by this incarnation, minus refunds for requests that did not run.
    pub spent: i64,
    /// Units drawn and not spent.
    pub balance: u64,
    /// Units spent without having been drawn, not reported before.
    pub borrowed: u64,
    /// Cost of the cheapest waiting request.
    pub cheapest: u64,
    /// Cost of all waiting requests.
    pub needed: u64,
    /// Units to hold beyond the waiting requests.
    pub prefetch: u64,
    /// Recent demand, in units per second.
    pub demand: u64,
}

/// Request of an entry to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// Requesting entry.
    pub entry: EntryIncarnation,
    /// Increases with each request of this incarnation.
    pub number: u64,
    /// Claims by account; accounts without demand are left out.
    pub claims: BTreeMap<AccountName, QuotaClaim>,
}

/// Grant to an entry for one account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// Units granted on top of the reported balance.
    pub drawn: u64,
    /// Time until more may be available, in milliseconds; 0 if everything needed was granted.
    pub retry_after_ms: u64,
    /// Units per second that may be borrowed while no leader replies.
    pub lent_per_s: u64,
}

/// Reply of the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaGrants {
    /// Grants for the requested accounts.
    pub accounts: BTreeMap<AccountName, QuotaGrant>,
    /// All accounts of which little is left.
    pub short: BTreeSet<AccountName>,
}

/// Result of charging a request to an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaCharge {
    /// The request is paid for.
    Paid,
    /// The balance is too low: a grant must be requested from the leader first.
    Ask,
    /// The account is at its limit for this many milliseconds.
    Limited(u64),
    /// The leader does not reply, and nothing more may be borrowed.
    Unknown,
}

#[derive(Clone, Copy, Debug, Default)]
struct AccountQuota {
    balance: u64,
    expires_ms: u64,
    spent: i64,
    /// Units requested since the last request to the leader, and the number of requests.
    requested: u64,
    requests: u64,
    /// Moving averages of units and requests per second.
    demand: f64,
    rate: f64,
    /// Cheapest and total cost of the requests that wait for the next request to the leader.
    cheapest: u64,
    needed: u64,
    retry_after_ms: u64,
    /// Units spent without having been drawn since the last reply.
    borrowed: u64,
    lent_per_s: u64,
}

impl AccountQuota {
    fn expire(&mut self, now_ms: u64) {
        if now_ms >= self.expires_ms {
            self.balance = 0;
        }
    }

    fn spend(&mut self, cost: u64) {
        self.balance -= cost;
        self.spent = self.spent.saturating_add_unsigned(cost);
    }

    /// Returns the units to hold beyond the waiting requests.
    fn prefetch(&self) -> u64 {
        match self.rate * PREFETCH_S >= MIN_PREFETCH_REQUESTS {
            true => (self.demand * PREFETCH_S) as u64,
            false => 0,
        }
    }

    /// Returns whether a request may be paid for without the leader, `silent_ms` after the last
    /// request to it that got a reply.
    fn may_borrow(&self, cost: u64, silent_ms: u64) -> bool {
        let window_s = silent_ms as f64 / 1_000.0 + BORROW_S;
        self.borrowed == 0 || (self.borrowed + cost) as f64 <= self.lent_per_s as f64 * window_s
    }

    fn add_waiting(&mut self, cost: u64) {
        self.needed += cost;
        self.cheapest = match self.cheapest {
            0 => cost,
            cheapest => cheapest.min(cost),
        };
    }

    fn clear_waiting(&mut self) {
        self.needed = 0;
        self.cheapest = 0;
    }

    fn update_demand(&mut self, window_s: f64) {
        let new_weight = 1.0 - (-window_s / DEMAND_WINDOW_S).exp();
        self.demand += new_weight * (self.requested as f64 / window_s - self.demand);
        self.rate += new_weight * (self.requests as f64 / window_s - self.rate);
        self.requested = 0;
        self.requests = 0;
    }

    fn is_idle(&self) -> bool {
        self.balance == 0
            && self.needed == 0
            && self.requested == 0
            && self.borrowed == 0
            && self.demand < MIN_DEMAND_PER_S
    }
}

/// Quota balances of one entry for all accounts.
#[derive(Debug)]
pub struct QuotaHolder {
    entry: EntryIncarnation,
    accounts: BTreeMap<AccountName, AccountQuota>,
    /// Accounts that were short as of the last reply.
    short: BTreeSet<AccountName>,
    number: u64,
    requested_ms: u64,
    /// Time at which the last request that got a reply was made.
    answered_ms: Option<u64>,
    /// Whether the last request got no reply.
    unanswered: bool,
    unmet_demand: bool,
}

impl QuotaHolder {
    /// Creates a holder without any balance.
    pub fn new(entry: EntryIncarnation, now_ms: u64) -> Self {
        Self {
            entry,
            accounts: BTreeMap::new(),
            short: BTreeSet::new(),
            number: 0,
            requested_ms: now_ms,
            answered_ms: None,
            unanswered: false,
            unmet_demand: false,
        }
    }

    /// Records a caller's request for an account.
    pub fn record_request(&mut self, account: &AccountName, cost: u64) {
        let held = self.accounts.entry(account.clone()).or_default();
        held.requested += cost;
        held.requests += 1;
    }

    /// Pays for a request if the balance suffices. After [`QuotaCharge::Ask`], the request
    /// waits for the next reply and is charged again.
    pub fn charge(&mut self, now_ms: u64, account: &AccountName, cost: u64) -> QuotaCharge {
        let held = self.accounts.entry(account.clone()).or_default();
        held.expire(now_ms);
        let short = self.short.contains(account);
        match now_ms.checked_sub(held.retry_after_ms) {
            _ if held.balance >= cost => {
                held.spend(cost);
                let running_low = !short && held.balance < held.prefetch() / 2;
                self.unmet_demand |=
                    running_low && now_ms >= self.requested_ms + MIN_REFILL_INTERVAL_MS;
                QuotaCharge::Paid
            }
            None => QuotaCharge::Limited(held.retry_after_ms - now_ms),
            Some(_) if !self.unanswered => {
                held.add_waiting(cost);
                self.unmet_demand = true;
                QuotaCharge::Ask
            }
            Some(_) => {
                self.unmet_demand = true;
                let silent_ms = self
                    .answered_ms
                    .map(|answered_ms| now_ms.saturating_sub(answered_ms));
                match silent_ms.filter(|ms| *ms < LEASE_MS && !short) {
                    Some(ms) if held.may_borrow(cost, ms) => {
                        held.borrowed += cost;
                        QuotaCharge::Paid
                    }
                    _ => QuotaCharge::Unknown,
                }
            }
        }
    }

    /// Refunds the cost of a request that did not run.
    pub fn refund(&mut self, now_ms: u64, account: &AccountName, cost: u64) {
        let held = self.accounts.entry(account.clone()).or_default();
        held.expire(now_ms);
        // Units drawn under an expired lease cannot be spent again.
        if now_ms < held.expires_ms {
            held.balance += cost;
            held.spent = held.spent.saturating_sub_unsigned(cost);
        }
    }

    /// Returns whether to request units before the next periodic request.
    pub fn has_unmet_demand(&self) -> bool {
        self.unmet_demand
    }

    /// Creates the next request to the leader; `None` if no account has demand.
    pub fn next_request(&mut self, now_ms: u64) -> Option<QuotaRequest> {
        let window_s = now_ms.saturating_sub(self.requested_ms).max(1) as f64 / 1_000.0;
        self.requested_ms = now_ms;
        self.unmet_demand = false;
        self.number += 1;
        self.accounts.retain(|_, held| !held.is_idle());
        let mut claims = BTreeMap::new();
        for (account, held) in &mut self.accounts {
            held.expire(now_ms);
            held.update_demand(window_s);
            let prefetch = match self.short.contains(account) {
                true => 0,
                false => held.prefetch(),
            };
            // Return units that are not needed here.
            held.balance = held.balance.min(prefetch * 2);
            let claim = QuotaClaim {
                spent: held.spent,
                balance: held.balance,
                borrowed: held.borrowed,
                cheapest: held.cheapest,
                needed: held.needed,
                prefetch,
                demand: held.demand as u64,
            };
            claims.insert(account.clone(), claim);
        }
        (!claims.is_empty()).then(|| QuotaRequest {
            entry: self.entry.clone(),
            number: self.number,
            claims,
        })
    }

    /// Applies the reply to the request `number`, made at `requested_ms`. The reply to an
    /// earlier request is dropped: the leader has counted its units as returned.
    pub fn apply_grants(
        &mut self,
        number: u64,
        requested_ms: u64,
        now_ms: u64,
        grants: &QuotaGrants,
    ) {
        if number != self.number {
            return;
        }
        self.unanswered = false;
        self.answered_ms = Some(requested_ms);
        self.short = grants.short.clone();
        for (account, held) in &mut self.accounts {
            held.clear_waiting();
            let Some(grant) = grants.accounts.get(account) else {
                continue;
            };
            held.borrowed = 0;
            held.lent_per_s = grant.lent_per_s;
            held.expires_ms = requested_ms + LEASE_MS;
            held.balance += grant.drawn;
            held.expire(now_ms);
            if grant.retry_after_ms > 0 {
                held.retry_after_ms = now_ms + grant.retry_after_ms;
            }
        }
    }

    /// Clears the short accounts after a change of limits.
    pub fn clear_short(&mut self) {
        self.short.clear();
        for held in self.accounts.values_mut() {
            held.retry_after_ms = 0;
        }
    }

    /// Records that the last request got no reply.
    pub fn record_missing_reply(&mut self) {
        self.unanswered = true;
        for held in self.accounts.values_mut() {
            held.clear_waiting();
        }
    }
}

/// Units that an entry may still hold, as far as the leader knows.
#[derive(Clone, Copy, Debug)]
struct EntryGrant {
    /// Units spent and held together, as of the newest request and its grant.
    credited: i64,
    outstanding: u64,
    /// Units that its waiting requests did not get.
    lacking: u64,
    /// Demand in units per second.
    demand: u64,
    expires_ms: u64,
}

/// Key of an entry's incarnation at one leader, never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EntryKey(u64);

/// Grants of one account by entry, with their totals. A request costs the logarithm of the
/// number of entries that hold units: 960 entries with 1,000 accounts send several requests per
/// second each.
#[derive(Debug, Default)]
struct GrantTracker {
    entries: BTreeMap<EntryKey, EntryGrant>,
    /// Entries in the order in which their leases expire.
    by_expiry: BTreeSet<(u64, EntryKey)>,
    outstanding: u64,
    lacking: u64,
    demand: u64,
}

impl GrantTracker {
    fn put(&mut self, entry: EntryKey, drawn: EntryGrant) {
        self.remove(entry);
        self.outstanding += drawn.outstanding;
        self.lacking += drawn.lacking;
        self.demand += drawn.demand;
        self.by_expiry.insert((drawn.expires_ms, entry));
        self.entries.insert(entry, drawn);
    }

    fn remove(&mut self, entry: EntryKey) -> Option<EntryGrant> {
        let drawn = self.entries.remove(&entry)?;
        self.outstanding -= drawn.outstanding;
        self.lacking -= drawn.lacking;
        self.demand -= drawn.demand;
        self.by_expiry.remove(&(drawn.expires_ms, entry));
        Some(drawn)
    }

    /// Removes expired grants.
    fn expire(&mut self, now_ms: u64) {
        while let Some((expires_ms, entry)) = self.by_expiry.first().copied() {
            if now_ms < expires_ms {
                return;
            }
            self.remove(entry);
        }
    }
}

/// Leader's token bucket of one account.
#[derive(Debug)]
struct QuotaBucket {
    level: f64,
    filled_ms: u64,
    drawn: GrantTracker,
}

impl QuotaBucket {
    fn new(quota: &QuotaSpec, max_fill: f64, since_ms: u64) -> Self {
        Self {
            level: depth(quota) * max_fill,
            filled_ms: since_ms,
            drawn: GrantTracker::default(),
        }
    }

    fn fill(&mut self, now_ms: u64, quota: &QuotaSpec, max_fill: f64) {
        let window_s = now_ms.saturating_sub(self.filled_ms) as f64 / 1_000.0;
        self.filled_ms = self.filled_ms.max(now_ms);
        let depth = depth(quota);
        let capacity = (depth - self.drawn.outstanding as f64).max(0.0);
        self.level = (self.level + window_s * quota.per_s).min(capacity.min(depth * max_fill));
    }

    fn is_short(&self, quota: &QuotaSpec) -> bool {
        self.level < depth(quota) * LOW_FRACTION
    }

    /// Returns the units to grant: the cost of all waiting requests if available, else what is
    /// available if it covers the cheapest one. Prefetch is granted only above a reserve for
    /// other entries' immediate needs.
    fn amount_for(&self, claim: &QuotaClaim, quota: &QuotaSpec) -> u64 {
        let level = self.level.max(0.0) as u64;
        let reserved = (depth(quota) * LOW_FRACTION) as u64;
        let spare = level.saturating_sub(claim.needed + reserved);
        let prefetch = claim.prefetch.saturating_sub(claim.balance).min(spare);
        match level {
            level if level >= claim.needed => claim.needed + prefetch,
            level if level >= claim.cheapest => level,
            _ => 0,
        }
    }

    /// Returns an entry's share of the limit by demand. The shares of all entries add up to the
    /// limit: what one entry leaves unused, as requests arrive unevenly, is not needed by
    /// another.
    fn lent_per_s(&self, claim: &QuotaClaim, quota: &QuotaSpec) -> u64 {
        (claim.demand as f64 * quota.per_s / self.drawn.demand.max(1) as f64) as u64
    }

    /// Returns the time until the bucket covers all waiting requests of all entries.
    fn retry_after_ms(&self, lacking: u64, quota: &QuotaSpec) -> u64 {
        if lacking == 0 {
            return 0;
        }
        let (shortest_ms, longest_ms) = RETRY_RANGE_MS;
        let wait_s = (self.drawn.lacking as f64 - self.level) / quota.per_s.max(f64::MIN_POSITIVE);
        let wait_ms = (wait_s * 1_000.0).clamp(0.0, longest_ms as f64) as u64;
        wait_ms.max(shortest_ms)
    }
}

fn depth(quota: &QuotaSpec) -> f64 {
    quota.burst.max(quota.per_s * MIN_DEPTH_S)
}

/// Leader's record of one entry's incarnation.
#[derive(Clone, Copy, Debug)]
struct KnownEntry {
    index: EntryKey,
    /// Number of its newest request.
    number: u64,
    /// Time until which the record is kept.
    expires_ms: u64,
}

/// Current usage of one account's quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaUsage {
    /// Units available for drawing.
    pub level: u64,
    /// Units that entries hold and have not spent.
    pub drawn: u64,
    /// Demand in units per second.
    pub demand: u64,
    /// Number of entries that hold grants.
    pub entries: usize,
    /// Whether little is left.
    pub short: bool,
}

/// Leader's buckets for all quotas.
#[derive(Debug)]
pub struct QuotaGrantor {
    /// Version of the configuration that the limits come from.
    version: u64,
    limits: BTreeMap<AccountName, QuotaSpec>,
    buckets: BTreeMap<AccountName, QuotaBucket>,
    short: BTreeSet<AccountName>,
    entries: BTreeMap<EntryIncarnation, KnownEntry>,
    /// Time at which expired entry records were last removed.
    pruned_ms: u64,
    next: EntryKey,
    since_ms: u64,
    /// Whether an earlier leader may have issued grants.
    has_predecessor: bool,
}

impl QuotaGrantor {
    /// Creates the state of the site's first leader: no grants exist.
    pub fn of_first_leader(now_ms: u64) -> Self {
        Self {
            has_predecessor: false,
            ..Self::new(now_ms)
        }
    }

    /// Creates the state of a new leader.
    pub fn new(now_ms: u64) -> Self {
        Self {
            version: 0,
            limits: BTreeMap::new(),
            buckets: BTreeMap::new(),
            short: BTreeSet::new(),
            entries: BTreeMap::new(),
            pruned_ms: now_ms,
            next: EntryKey(0),
            since_ms: now_ms,
            has_predecessor: true,
        }
    }

    /// Applies the limits of the configuration with this version.
    pub fn set_limits(&mut self, version: u64, list: Option<&AccountList>) {
        if version == self.version {
            return;
        }
        self.version = version;
        let accounts = list.map_or(&[][..], |list| &list.accounts);
        let limited = accounts
            .iter()
            .filter_map(|account| Some((account.name.clone(), account.quota?)));
        self.limits = limited.collect();
        let limits = &self.limits;
        self.buckets
            .retain(|account, _| limits.contains_key(account));
        self.short.retain(|account| limits.contains_key(account));
    }

    /// Handles a request. Accounts without a limit get no grant. A request that is not newer
    /// than all earlier ones of the same incarnation gets none either: the entry applies only
    /// the reply to its newest request.
    pub fn grant(&mut self, now_ms: u64, request: &QuotaRequest) -> QuotaGrants {
        let Some(entry) = self.admit(now_ms, request) else {
            return QuotaGrants::default();
        };
        let mut accounts = BTreeMap::new();
        for (account, claim) in &request.claims {
            if let Some(quota) = self.limits.get(account).copied() {
                let grant = self.draw(now_ms, entry, account, claim, &quota);
                accounts.insert(account.clone(), grant);
            }
        }
        QuotaGrants {
            accounts,
            short: self.short.clone(),
        }
    }

    /// Returns the usage of an account; `None` if it has no limit.
    pub fn usage(&mut self, now_ms: u64, account: &AccountName) -> Option<QuotaUsage> {
        let quota = self.limits.get(account).copied()?;
        let max_fill = self.max_fill(now_ms);
        let Some(bucket) = self.buckets.get_mut(account) else {
            return Some(QuotaUsage {
                level: (depth(&quota) * max_fill) as u64,
                ..QuotaUsage::default()
            });
        };
        bucket.drawn.expire(now_ms);
        bucket.fill(now_ms, &quota, max_fill);
        Some(QuotaUsage {
            level: bucket.level.max(0.0) as u64,
            drawn: bucket.drawn.outstanding,
            demand: bucket.drawn.demand,
            entries: bucket.drawn.entries.len(),
            short: self.short.contains(account),
        })
    }

    /// Returns the maximum fill of a bucket, as a fraction of its depth. The first entry to
    /// send a request may not know of an earlier leader, which may have granted everything to
    /// another entry.
    fn max_fill(&self, now_ms: u64) -> f64 {
        match self.has_predecessor && self.overlaps_predecessor(now_ms) {
            true => INITIAL_FRACTION,
            false => 1.0,
        }
    }

    /// Returns whether grants of an earlier leader may still be spent.
    fn overlaps_predecessor(&self, now_ms: u64) -> bool {
        now_ms < self.since_ms + LEASE_MS
    }

    /// Records a request; returns `None` if it is not the newest of its entry's incarnation.
    fn admit(&mut self, now_ms: u64, request: &QuotaRequest) -> Option<EntryKey> {
        if now_ms >= self.pruned_ms + LEASE_MS {
            self.pruned_ms = now_ms;
            self.entries.retain(|_, known| now_ms < known.expires_ms);
        }
        let expires_ms = now_ms + 2 * LEASE_MS;
        if let Some(known) = self.entries.get_mut(&request.entry) {
            let newer = request.number > known.number;
            known.number = known.number.max(request.number);
            known.expires_ms = expires_ms;
            return newer.then_some(known.index);
        }
        let index = self.next;
        self.next = EntryKey(index.0 + 1);
        let known = KnownEntry {
            index,
            number: request.number,
            expires_ms,
        };
        self.entries.insert(request.entry.clone(), known);
        Some(index)
    }

    fn draw(
        &mut self,
        now_ms: u64,
        entry: EntryKey,
        account: &AccountName,
        claim: &QuotaClaim,
        quota: &QuotaSpec,
    ) -> QuotaGrant {
        let overlaps = self.overlaps_predecessor(now_ms);
        let since_ms = self.since_ms;
        let max_fill = self.max_fill(now_ms);
        let bucket = self.buckets.entry(account.clone());
        let bucket = bucket.or_insert_with(|| QuotaBucket::new(quota, max_fill, since_ms));
        bucket.drawn.expire(now_ms);
        let reported = claim.spent.saturating_add_unsigned(claim.balance);
        if let Some(before) = bucket.drawn.remove(entry) {
            // What the entry neither spent nor holds was returned, or lost in transit.
            bucket.level += before.credited.saturating_sub(reported).max(0) as f64;
        }
        let mut drawn = EntryGrant {
            credited: reported,
            outstanding: claim.balance,
            lacking: 0,
            demand: claim.demand,
            expires_ms: now_ms + LEASE_MS,
        };
        bucket.drawn.put(entry, drawn);
        bucket.fill(now_ms, quota, max_fill);
        if !overlaps {
            bucket.level -= claim.borrowed as f64;
        }
        let amount = bucket.amount_for(claim, quota);
        bucket.level -= amount as f64;
        drawn.outstanding += amount;
        drawn.credited = reported.saturating_add_unsigned(amount);
        drawn.lacking = claim.needed.saturating_sub(amount);
        bucket.drawn.put(entry, drawn);
        match bucket.is_short(quota) {
            true => self.short.insert(account.clone()),
            false => self.short.remove(account),
        };
        QuotaGrant {
            drawn: amount,
            retry_after_ms: bucket.retry_after_ms(drawn.lacking, quota),
            lent_per_s: bucket.lent_per_s(claim, quota),
        }
    }
}
