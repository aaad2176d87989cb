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
use crate::table::accounts::{AccountBook, QuotaSpec};

/// How long what was drawn may be spent, from before it was asked for, and how long an
/// entry borrows after the last answer, in milliseconds: an election takes one to two
/// seconds.
pub const LEASE_MS: u64 = 4_000;
/// Part of the burst that a new leader holds at most while earlier leases may last: what
/// all entries together may spend beyond the limit, once a change of leader. Where no entry
/// has drawn from a leader before, as after a loss of all power, it holds all of it.
const YOUNG_PART: f64 = 0.5;
/// Part of the bucket below which an account is short: entries draw nothing ahead.
const SHORT_PART: f64 = 0.2;
/// Least depth of a bucket, as seconds of its rate: with less, tokens that come between
/// two asks of the entries would be lost.
const LEAST_DEPTH_S: f64 = 0.25;
/// How far ahead an entry draws, in seconds of its demand. An account that uses half of its
/// limit leaves half of the bucket to bursts.
const COVER_S: f64 = 1.0;
/// Requests that the demand of [`COVER_S`] must hold for drawing ahead to spare questions.
const COVER_REQUESTS: f64 = 2.0;
/// Time over which demand is averaged, in seconds.
const DEMAND_S: f64 = 2.0;
/// Demand below which an account is forgotten, in units a second.
const NO_DEMAND: f64 = 1.0;
/// Least and most time until a short account is asked for again, in milliseconds: callers
/// are told it, and each ask costs the leader a call.
const AGAIN_MS: (u64, u64) = (50, 1_000);
/// How far ahead an entry borrows, in seconds of its part of the limit.
const BORROW_S: f64 = 1.0;
/// Least time between two asks that only refill, in milliseconds.
const REFILL_MS: u64 = 100;

/// One life of an entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EntryLife {
    /// Its host.
    pub host: HostName,
    /// Drawn at its start.
    pub life: u64,
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
    pub least: u64,
    /// What all waiting requests cost.
    pub needed: u64,
    /// Units that it would hold beyond that.
    pub ahead: u64,
    /// Units asked for a second lately.
    pub demand: u64,
}

/// What an entry asks of the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaAsk {
    /// Who asks.
    pub entry: EntryLife,
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
    pub again_ms: u64,
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
    Short(u64),
    /// The leader is silent, and nothing more may be borrowed.
    Unknown,
}

#[derive(Clone, Copy, Debug, Default)]
struct HeldQuota {
    balance: u64,
    until_ms: u64,
    spent: i64,
    /// Units asked for since the last ask, and by how many requests.
    asked: u64,
    requests: u64,
    /// Units and requests asked for a second, averaged.
    demand: f64,
    rate: f64,
    /// Of the requests that wait for the next ask.
    least: u64,
    needed: u64,
    again_ms: u64,
    /// Spent without having been drawn since the last answer.
    borrowed: u64,
    lent_per_s: u64,
}

impl HeldQuota {
    fn lapse(&mut self, now_ms: u64) {
        if now_ms >= self.until_ms {
            self.balance = 0;
        }
    }

    fn spend(&mut self, cost: u64) {
        self.balance -= cost;
        self.spent = self.spent.saturating_add_unsigned(cost);
    }

    /// Units to hold beyond what waits.
    fn ahead(&self) -> u64 {
        match self.rate * COVER_S >= COVER_REQUESTS {
            true => (self.demand * COVER_S) as u64,
            false => 0,
        }
    }

    /// Whether a request may be paid for without a leader's word, so long after the last.
    fn may_borrow(&self, cost: u64, silent_ms: u64) -> bool {
        let span_s = silent_ms as f64 / 1_000.0 + BORROW_S;
        self.borrowed == 0 || (self.borrowed + cost) as f64 <= self.lent_per_s as f64 * span_s
    }

    fn wait(&mut self, cost: u64) {
        self.needed += cost;
        self.least = match self.least {
            0 => cost,
            least => least.min(cost),
        };
    }

    fn forget_waiting(&mut self) {
        self.needed = 0;
        self.least = 0;
    }

    fn average(&mut self, span_s: f64) {
        let newest = 1.0 - (-span_s / DEMAND_S).exp();
        self.demand += newest * (self.asked as f64 / span_s - self.demand);
        self.rate += newest * (self.requests as f64 / span_s - self.rate);
        self.asked = 0;
        self.requests = 0;
    }

    fn is_idle(&self) -> bool {
        self.balance == 0
            && self.needed == 0
            && self.asked == 0
            && self.borrowed == 0
            && self.demand < NO_DEMAND
    }
}

/// What one entry holds of all accounts' quotas.
#[derive(Debug)]
pub struct QuotaHolder {
    entry: EntryLife,
    accounts: BTreeMap<AccountName, HeldQuota>,
    /// Accounts of which little was left at the last word.
    short: BTreeSet<AccountName>,
    number: u64,
    asked_ms: u64,
    /// When the last ask that was answered had been made.
    told_ms: Option<u64>,
    /// The last ask got no answer.
    silent: bool,
    hungry: bool,
}

impl QuotaHolder {
    /// Holds nothing yet.
    pub fn new(entry: EntryLife, now_ms: u64) -> Self {
        Self {
            entry,
            accounts: BTreeMap::new(),
            short: BTreeSet::new(),
            number: 0,
            asked_ms: now_ms,
            told_ms: None,
            silent: false,
            hungry: false,
        }
    }

    /// Notes that a request of an account has come.
    pub fn note(&mut self, account: &AccountName, cost: u64) {
        let held = self.accounts.entry(account.clone()).or_default();
        held.asked += cost;
        held.requests += 1;
    }

    /// Pays for a request where there is enough. One that is told to ask waits for the
    /// next answer, and is charged anew then.
    pub fn charge(&mut self, now_ms: u64, account: &AccountName, cost: u64) -> QuotaCharge {
        let held = self.accounts.entry(account.clone()).or_default();
        held.lapse(now_ms);
        let short = self.short.contains(account);
        match now_ms.checked_sub(held.again_ms) {
            _ if held.balance >= cost => {
                held.spend(cost);
                let low = !short && held.balance < held.ahead() / 2;
                self.hungry |= low && now_ms >= self.asked_ms + REFILL_MS;
                QuotaCharge::Paid
            }
            None => QuotaCharge::Short(held.again_ms - now_ms),
            Some(_) if !self.silent => {
                held.wait(cost);
                self.hungry = true;
                QuotaCharge::Ask
            }
            Some(_) => {
                self.hungry = true;
                let silent_ms = self.told_ms.map(|told_ms| now_ms.saturating_sub(told_ms));
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
        held.lapse(now_ms);
        // What was drawn under a lease that is over cannot be spent again.
        if now_ms < held.until_ms {
            held.balance += cost;
            held.spent = held.spent.saturating_sub_unsigned(cost);
        }
    }

    /// Whether the leader should be asked before the next regular ask.
    pub fn is_hungry(&self) -> bool {
        self.hungry
    }

    /// Makes the next ask; none where no account has demand.
    pub fn ask(&mut self, now_ms: u64) -> Option<QuotaAsk> {
        let span_s = now_ms.saturating_sub(self.asked_ms).max(1) as f64 / 1_000.0;
        self.asked_ms = now_ms;
        self.hungry = false;
        self.number += 1;
        self.accounts.retain(|_, held| !held.is_idle());
        let mut claims = BTreeMap::new();
        for (account, held) in &mut self.accounts {
            held.lapse(now_ms);
            held.average(span_s);
            let ahead = match self.short.contains(account) {
                true => 0,
                false => held.ahead(),
            };
            // What is of no use here is given back.
            held.balance = held.balance.min(ahead * 2);
            let claim = QuotaClaim {
                spent: held.spent,
                balance: held.balance,
                borrowed: held.borrowed,
                least: held.least,
                needed: held.needed,
                ahead,
                demand: held.demand as u64,
            };
            claims.insert(account.clone(), claim);
        }
        (!claims.is_empty()).then(|| QuotaAsk {
            entry: self.entry.clone(),
            number: self.number,
            claims,
        })
    }

    /// Takes the answer to the ask of that number, made at `asked_ms`. An earlier ask's
    /// answer is dropped: the leader has counted it as given back.
    pub fn take(&mut self, number: u64, asked_ms: u64, now_ms: u64, grants: &QuotaGrants) {
        if number != self.number {
            return;
        }
        self.silent = false;
        self.told_ms = Some(asked_ms);
        self.short = grants.short.clone();
        for (account, held) in &mut self.accounts {
            held.forget_waiting();
            let Some(grant) = grants.accounts.get(account) else {
                continue;
            };
            held.borrowed = 0;
            held.lent_per_s = grant.lent_per_s;
            held.until_ms = asked_ms + LEASE_MS;
            held.balance += grant.drawn;
            held.lapse(now_ms);
            if grant.again_ms > 0 {
                held.again_ms = now_ms + grant.again_ms;
            }
        }
    }

    /// Forgets which accounts were short: limits have changed.
    pub fn forget_short(&mut self) {
        self.short.clear();
        for held in self.accounts.values_mut() {
            held.again_ms = 0;
        }
    }

    /// Notes that the last ask got no answer.
    pub fn miss(&mut self) {
        self.silent = true;
        for held in self.accounts.values_mut() {
            held.forget_waiting();
        }
    }
}

/// What an entry may still hold, as far as the leader knows.
#[derive(Clone, Copy, Debug)]
struct DrawnQuota {
    /// Spent and held together, as of its newest ask and the grant for it.
    credited: i64,
    outstanding: u64,
    /// What its waiting requests did not get.
    lacking: u64,
    /// Units asked for a second.
    demand: u64,
    until_ms: u64,
}

/// Number of an entry's life at one leader, never given twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EntryIndex(u64);

/// What is drawn of one account, by entry, with the sums over all of them. An ask costs
/// the logarithm of their number, however many others hold something: 960 entries with
/// 1,000 accounts ask several times a second each.
#[derive(Debug, Default)]
struct DrawnBook {
    entries: BTreeMap<EntryIndex, DrawnQuota>,
    /// In the order in which their leases end.
    ends: BTreeSet<(u64, EntryIndex)>,
    outstanding: u64,
    lacking: u64,
    demand: u64,
}

impl DrawnBook {
    fn put(&mut self, entry: EntryIndex, drawn: DrawnQuota) {
        self.remove(entry);
        self.outstanding += drawn.outstanding;
        self.lacking += drawn.lacking;
        self.demand += drawn.demand;
        self.ends.insert((drawn.until_ms, entry));
        self.entries.insert(entry, drawn);
    }

    fn remove(&mut self, entry: EntryIndex) -> Option<DrawnQuota> {
        let drawn = self.entries.remove(&entry)?;
        self.outstanding -= drawn.outstanding;
        self.lacking -= drawn.lacking;
        self.demand -= drawn.demand;
        self.ends.remove(&(drawn.until_ms, entry));
        Some(drawn)
    }

    /// Forgets what can no longer be spent.
    fn lapse(&mut self, now_ms: u64) {
        while let Some((until_ms, entry)) = self.ends.first().copied() {
            if now_ms < until_ms {
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
    drawn: DrawnBook,
}

impl QuotaBucket {
    fn new(quota: &QuotaSpec, part: f64, since_ms: u64) -> Self {
        Self {
            level: depth(quota) * part,
            filled_ms: since_ms,
            drawn: DrawnBook::default(),
        }
    }

    fn fill(&mut self, now_ms: u64, quota: &QuotaSpec, part: f64) {
        let span_s = now_ms.saturating_sub(self.filled_ms) as f64 / 1_000.0;
        self.filled_ms = self.filled_ms.max(now_ms);
        let depth = depth(quota);
        let free = (depth - self.drawn.outstanding as f64).max(0.0);
        self.level = (self.level + span_s * quota.per_s).min(free.min(depth * part));
    }

    fn is_short(&self, quota: &QuotaSpec) -> bool {
        self.level < depth(quota) * SHORT_PART
    }

    /// All that waiting requests need, or as many of them as there is; ahead only of what
    /// lies above the part that others need at once.
    fn share_of(&self, claim: &QuotaClaim, quota: &QuotaSpec) -> u64 {
        let level = self.level.max(0.0) as u64;
        let kept = (depth(quota) * SHORT_PART) as u64;
        let spare = level.saturating_sub(claim.needed + kept);
        let ahead = claim.ahead.saturating_sub(claim.balance).min(spare);
        match level {
            level if level >= claim.needed => claim.needed + ahead,
            level if level >= claim.least => level,
            _ => 0,
        }
    }

    /// An entry's part of the limit by demand. All parts together are the limit: what one
    /// entry leaves over, as requests come unevenly, no other one needs.
    fn lent_per_s(&self, claim: &QuotaClaim, quota: &QuotaSpec) -> u64 {
        (claim.demand as f64 * quota.per_s / self.drawn.demand.max(1) as f64) as u64
    }

    /// Time until all that waits at entries has come.
    fn again_ms(&self, lacking: u64, quota: &QuotaSpec) -> u64 {
        if lacking == 0 {
            return 0;
        }
        let (shortest_ms, longest_ms) = AGAIN_MS;
        let wait_s = (self.drawn.lacking as f64 - self.level) / quota.per_s.max(f64::MIN_POSITIVE);
        let wait_ms = (wait_s * 1_000.0).clamp(0.0, longest_ms as f64) as u64;
        wait_ms.max(shortest_ms)
    }
}

fn depth(quota: &QuotaSpec) -> f64 {
    quota.burst.max(quota.per_s * LEAST_DEPTH_S)
}

/// What the leader knows of one entry's life.
#[derive(Clone, Copy, Debug)]
struct AskedEntry {
    index: EntryIndex,
    /// Its newest ask.
    number: u64,
    /// Until when that is known.
    until_ms: u64,
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
    entries: BTreeMap<EntryLife, AskedEntry>,
    /// When entries were looked through last for those that are gone.
    swept_ms: u64,
    next: EntryIndex,
    since_ms: u64,
    /// A leader before may have given grants.
    succeeds: bool,
}

impl QuotaGrantor {
    /// The account of the site's first leader: nobody has given anything.
    pub fn of_first_leader(now_ms: u64) -> Self {
        Self {
            succeeds: false,
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
            swept_ms: now_ms,
            next: EntryIndex(0),
            since_ms: now_ms,
            succeeds: true,
        }
    }

    /// Takes the limits over from the configuration of that version.
    pub fn follow(&mut self, version: u64, book: Option<&AccountBook>) {
        if version == self.version {
            return;
        }
        self.version = version;
        let accounts = book.map_or(&[][..], |book| &book.accounts);
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
    pub fn grant(&mut self, now_ms: u64, ask: &QuotaAsk) -> QuotaGrants {
        let Some(entry) = self.admit(now_ms, ask) else {
            return QuotaGrants::default();
        };
        let mut accounts = BTreeMap::new();
        for (account, claim) in &ask.claims {
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
        let part = self.part(now_ms);
        let Some(bucket) = self.buckets.get_mut(account) else {
            return Some(QuotaUsage {
                level: (depth(&quota) * part) as u64,
                ..QuotaUsage::default()
            });
        };
        bucket.drawn.lapse(now_ms);
        bucket.fill(now_ms, &quota, part);
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
    fn part(&self, now_ms: u64) -> f64 {
        match self.succeeds && self.is_young(now_ms) {
            true => YOUNG_PART,
            false => 1.0,
        }
    }

    /// Whether what a leader before gave may still be spent.
    fn is_young(&self, now_ms: u64) -> bool {
        now_ms < self.since_ms + LEASE_MS
    }

    /// Notes an ask; nothing where it is not the newest of its entry's life.
    fn admit(&mut self, now_ms: u64, ask: &QuotaAsk) -> Option<EntryIndex> {
        if now_ms >= self.swept_ms + LEASE_MS {
            self.swept_ms = now_ms;
            self.entries.retain(|_, asked| now_ms < asked.until_ms);
        }
        let until_ms = now_ms + 2 * LEASE_MS;
        if let Some(asked) = self.entries.get_mut(&ask.entry) {
            let newer = ask.number > asked.number;
            asked.number = asked.number.max(ask.number);
            asked.until_ms = until_ms;
            return newer.then_some(asked.index);
        }
        let index = self.next;
        self.next = EntryIndex(index.0 + 1);
        let asked = AskedEntry {
            index,
            number: ask.number,
            until_ms,
        };
        self.entries.insert(ask.entry.clone(), asked);
        Some(index)
    }

    fn draw(
        &mut self,
        now_ms: u64,
        entry: EntryIndex,
        account: &AccountName,
        claim: &QuotaClaim,
        quota: &QuotaSpec,
    ) -> QuotaGrant {
        let young = self.is_young(now_ms);
        let since_ms = self.since_ms;
        let part = self.part(now_ms);
        let bucket = self.buckets.entry(account.clone());
        let bucket = bucket.or_insert_with(|| QuotaBucket::new(quota, part, since_ms));
        bucket.drawn.lapse(now_ms);
        let told = claim.spent.saturating_add_unsigned(claim.balance);
        if let Some(before) = bucket.drawn.remove(entry) {
            // What it neither spent nor holds has been given back, or was lost on its way.
            bucket.level += before.credited.saturating_sub(told).max(0) as f64;
        }
        let mut drawn = DrawnQuota {
            credited: told,
            outstanding: claim.balance,
            lacking: 0,
            demand: claim.demand,
            until_ms: now_ms + LEASE_MS,
        };
        bucket.drawn.put(entry, drawn);
        bucket.fill(now_ms, quota, part);
        if !young {
            bucket.level -= claim.borrowed as f64;
        }
        let amount = bucket.share_of(claim, quota);
        bucket.level -= amount as f64;
        drawn.outstanding += amount;
        drawn.credited = told.saturating_add_unsigned(amount);
        drawn.lacking = claim.needed.saturating_sub(amount);
        bucket.drawn.put(entry, drawn);
        match bucket.is_short(quota) {
            true => self.short.insert(account.clone()),
            false => self.short.remove(account),
        };
        QuotaGrant {
            drawn: amount,
            again_ms: bucket.again_ms(drawn.lacking, quota),
            lent_per_s: bucket.lent_per_s(claim, quota),
        }
    }
}
