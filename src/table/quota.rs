//! Quotas of client accounts, kept over all entries together: the leader holds one token
//! bucket for each account, and entries draw from it.
//!
//! An entry with much demand for an account draws ahead; otherwise, and wherever little is
//! left, it draws what its waiting requests cost and gives the rest back: what lies
//! unspent at many entries would be lost to all. What is drawn is a part of the bucket
//! until it is spent, given back, or its lease is over. So, under one leader, what all
//! entries spend in any span is at most the burst and what the span adds.
//!
//! An entry whose question gets no answer borrows for an account that was not short at
//! the last word: its part of the limit by demand, as the leader told it, or one request.
//! What it borrowed is taken from the bucket once the leader hears of it. A new leader does
//! not know what was drawn before; what was borrowed while nobody led it does not count, as
//! nothing was drawn then.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::{AccountName, HostName};
use crate::table::accounts::{AccountList, QuotaSpec};

/// How long what was drawn may be spent, from before it was asked for, and how long an
/// entry borrows after the last answer, in milliseconds: an election takes one to two
/// seconds.
pub const LEASE_MS: u64 = 4_000;
/// Part of the burst that a new leader holds at most while earlier leases may last: what
/// all entries together may spend beyond the limit, once a change of leader. Where no entry
/// has drawn from a leader before, as after a loss of all power, it holds all of it.
const INITIAL_FRACTION: f64 = 0.5;
/// Part of the bucket below which an account is short: entries draw nothing ahead.
const LOW_FRACTION: f64 = 0.2;
/// Least depth of a bucket, as seconds of its rate: with less, tokens that come between
/// two asks of the entries would be lost.
const MIN_DEPTH_S: f64 = 0.25;
/// How far ahead an entry draws, in seconds of its demand. An account that uses half of its
/// limit leaves half of the bucket to bursts.
const PREFETCH_S: f64 = 1.0;
/// Requests that the demand of [`PREFETCH_S`] must hold for drawing ahead to spare questions.
const MIN_PREFETCH_REQUESTS: f64 = 2.0;
/// Time over which demand is averaged, in seconds.
const DEMAND_WINDOW_S: f64 = 2.0;
/// Demand below which an account is forgotten, in units a second.
const MIN_DEMAND_PER_S: f64 = 1.0;
/// Least and most time until a short account is asked for again, in milliseconds: callers
/// are told it, and each ask costs the leader a call.
const RETRY_RANGE_MS: (u64, u64) = (50, 1_000);
/// How far ahead an entry borrows, in seconds of its part of the limit.
const BORROW_S: f64 = 1.0;
/// Least time between two asks that only refill, in milliseconds.
const MIN_REFILL_INTERVAL_MS: u64 = 100;

/// One life of an entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EntryIncarnation {
    /// Its host.
    pub host: HostName,
    /// Drawn at its start.
    pub incarnation: u64,
}

/// What an entry says of one account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaClaim {
    /// Drawn units spent in this life; less where a request did not run.
    pub spent: i64,
    /// Units drawn and not spent.
    pub balance: u64,
    /// Units spent without having been drawn, not told before.
    pub borrowed: u64,
    /// What the cheapest waiting request costs.
    pub cheapest: u64,
    /// What all waiting requests cost.
    pub needed: u64,
    /// Units that it would hold beyond that.
    pub prefetch: u64,
    /// Units asked for a second lately.
    pub demand: u64,
}

/// What an entry asks of the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// Who asks.
    pub entry: EntryIncarnation,
    /// Rises with each ask of this life.
    pub number: u64,
    /// By account; those without demand are left out.
    pub claims: BTreeMap<AccountName, QuotaClaim>,
}

/// What an entry may draw of one account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// Units on top of the balance that was told.
    pub drawn: u64,
    /// Time until more may be there, in milliseconds; 0 where all that was needed was drawn.
    pub retry_after_ms: u64,
    /// Units a second that may be borrowed while no leader answers.
    pub lent_per_s: u64,
}

/// The leader's answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaGrants {
    /// By account, for those that were asked for.
    pub accounts: BTreeMap<AccountName, QuotaGrant>,
    /// All accounts of which little is left.
    pub short: BTreeSet<AccountName>,
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaCharge {
    /// It is paid for.
    Paid,
    /// The leader has to be asked first.
    Ask,
    /// The account is at its limit for so many milliseconds.
    Limited(u64),
    /// The leader is silent, and nothing more may be borrowed.
    Unknown,
}

#[derive(Clone, Copy, Debug, Default)]
struct AccountQuota {
    balance: u64,
    expires_ms: u64,
    spent: i64,
    /// Units asked for since the last ask, and by how many requests.
    requested: u64,
    requests: u64,
    /// Units and requests asked for a second, averaged.
    demand: f64,
    rate: f64,
    /// Of the requests that wait for the next ask.
    cheapest: u64,
    needed: u64,
    retry_after_ms: u64,
    /// Spent without having been drawn since the last answer.
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

    /// Units to hold beyond what waits.
    fn prefetch(&self) -> u64 {
        match self.rate * PREFETCH_S >= MIN_PREFETCH_REQUESTS {
            true => (self.demand * PREFETCH_S) as u64,
            false => 0,
        }
    }

    /// Whether a request may be paid for without a leader's word, so long after the last.
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

/// What one entry holds of all accounts' quotas.
#[derive(Debug)]
pub struct QuotaHolder {
    entry: EntryIncarnation,
    accounts: BTreeMap<AccountName, AccountQuota>,
    /// Accounts of which little was left at the last word.
    short: BTreeSet<AccountName>,
    number: u64,
    requested_ms: u64,
    /// When the last ask that was answered had been made.
    granted_ms: Option<u64>,
    /// The last ask got no answer.
    unanswered: bool,
    unmet_demand: bool,
}

impl QuotaHolder {
    /// Holds nothing yet.
    pub fn new(entry: EntryIncarnation, now_ms: u64) -> Self {
        Self {
            entry,
            accounts: BTreeMap::new(),
            short: BTreeSet::new(),
            number: 0,
            requested_ms: now_ms,
            granted_ms: None,
            unanswered: false,
            unmet_demand: false,
        }
    }

    /// Notes that a request of an account has come.
    pub fn record_request(&mut self, account: &AccountName, cost: u64) {
        let held = self.accounts.entry(account.clone()).or_default();
        held.requested += cost;
        held.requests += 1;
    }

    /// Pays for a request where there is enough. One that is told to ask waits for the
    /// next answer, and is charged anew then.
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
                    .granted_ms
                    .map(|granted_ms| now_ms.saturating_sub(granted_ms));
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

    /// Gives back what a request cost that did not run.
    pub fn refund(&mut self, now_ms: u64, account: &AccountName, cost: u64) {
        let held = self.accounts.entry(account.clone()).or_default();
        held.expire(now_ms);
        // What was drawn under a lease that is over cannot be spent again.
        if now_ms < held.expires_ms {
            held.balance += cost;
            held.spent = held.spent.saturating_sub_unsigned(cost);
        }
    }

    /// Whether the leader should be asked before the next regular ask.
    pub fn has_unmet_demand(&self) -> bool {
        self.unmet_demand
    }

    /// Makes the next ask; none where no account has demand.
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
            // What is of no use here is given back.
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

    /// Takes the answer to the ask of that number, made at `requested_ms`. An earlier ask's
    /// answer is dropped: the leader has counted it as given back.
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
        self.granted_ms = Some(requested_ms);
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

    /// Forgets which accounts were short: limits have changed.
    pub fn clear_short(&mut self) {
        self.short.clear();
        for held in self.accounts.values_mut() {
            held.retry_after_ms = 0;
        }
    }

    /// Notes that the last ask got no answer.
    pub fn record_missing_reply(&mut self) {
        self.unanswered = true;
        for held in self.accounts.values_mut() {
            held.clear_waiting();
        }
    }
}

/// What an entry may still hold, as far as the leader knows.
#[derive(Clone, Copy, Debug)]
struct EntryGrant {
    /// Spent and held together, as of its newest ask and the grant for it.
    credited: i64,
    outstanding: u64,
    /// What its waiting requests did not get.
    lacking: u64,
    /// Units asked for a second.
    demand: u64,
    expires_ms: u64,
}

/// Number of an entry's life at one leader, never given twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EntryKey(u64);

/// What is drawn of one account, by entry, with the sums over all of them. An ask costs
/// the logarithm of their number, however many others hold something: 960 entries with
/// 1,000 accounts ask several times a second each.
#[derive(Debug, Default)]
struct GrantTracker {
    entries: BTreeMap<EntryKey, EntryGrant>,
    /// In the order in which their leases end.
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

    /// Forgets what can no longer be spent.
    fn expire(&mut self, now_ms: u64) {
        while let Some((expires_ms, entry)) = self.by_expiry.first().copied() {
            if now_ms < expires_ms {
                return;
            }
            self.remove(entry);
        }
    }
}

/// The leader's bucket of one account.
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

    /// All that waiting requests need, or as many of them as there is; ahead only of what
    /// lies above the part that others need at once.
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

    /// An entry's part of the limit by demand. All parts together are the limit: what one
    /// entry leaves over, as requests come unevenly, no other one needs.
    fn lent_per_s(&self, claim: &QuotaClaim, quota: &QuotaSpec) -> u64 {
        (claim.demand as f64 * quota.per_s / self.drawn.demand.max(1) as f64) as u64
    }

    /// Time until all that waits at entries has come.
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

/// What the leader knows of one entry's life.
#[derive(Clone, Copy, Debug)]
struct KnownEntry {
    index: EntryKey,
    /// Its newest ask.
    number: u64,
    /// Until when that is known.
    expires_ms: u64,
}

/// What is drawn of one account's quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaUsage {
    /// Units that may be drawn at once.
    pub level: u64,
    /// Units that entries hold and have not spent.
    pub drawn: u64,
    /// Units asked for a second.
    pub demand: u64,
    /// Entries that draw.
    pub entries: usize,
    /// Little is left.
    pub short: bool,
}

/// The leader's account of all quotas.
#[derive(Debug)]
pub struct QuotaGrantor {
    /// The version of the configuration that the limits are from.
    version: u64,
    limits: BTreeMap<AccountName, QuotaSpec>,
    buckets: BTreeMap<AccountName, QuotaBucket>,
    short: BTreeSet<AccountName>,
    entries: BTreeMap<EntryIncarnation, KnownEntry>,
    /// When entries were looked through last for those that are gone.
    pruned_ms: u64,
    next: EntryKey,
    since_ms: u64,
    /// A leader before may have given grants.
    has_predecessor: bool,
}

impl QuotaGrantor {
    /// The account of the site's first leader: nobody has given anything.
    pub fn of_first_leader(now_ms: u64) -> Self {
        Self {
            has_predecessor: false,
            ..Self::new(now_ms)
        }
    }

    /// A new leader's account.
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

    /// Takes the limits over from the configuration of that version.
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

    /// Answers an ask. Accounts without a limit get nothing. One that is not newer than an
    /// earlier ask of the same life gets nothing: the entry takes grants only for its newest.
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

    /// What is drawn of an account that has a limit; none without one.
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

    /// Part of the bucket that may be full now. Whoever asks first may not have been told of
    /// a leader before, which may have given all of it to another entry.
    fn max_fill(&self, now_ms: u64) -> f64 {
        match self.has_predecessor && self.overlaps_predecessor(now_ms) {
            true => INITIAL_FRACTION,
            false => 1.0,
        }
    }

    /// Whether what a leader before gave may still be spent.
    fn overlaps_predecessor(&self, now_ms: u64) -> bool {
        now_ms < self.since_ms + LEASE_MS
    }

    /// Notes an ask; nothing where it is not the newest of its entry's life.
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
            // What it neither spent nor holds has been given back, or was lost on its way.
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
