//! Simulation of entries that draw from the quota of one account.

use dunlinspring::ids::{AccountName, HostName};
use dunlinspring::table::accounts::{AccountList, AccountSpec, QuotaSpec, QuotaUnit};
use dunlinspring::table::quota::{
    EntryIncarnation, QuotaCharge, QuotaGrantor, QuotaGrants, QuotaHolder, QuotaRequest,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Transit time of a quota request to the leader, or of its reply.
const TRANSIT_MS: u64 = 3;
/// Time between two regular quota requests.
const REQUEST_INTERVAL_MS: u64 = 500;
/// Longest time for which a client request waits for quota.
const MAX_WAIT_MS: u64 = 150;
/// Time after which a missing reply counts as lost.
const REPLY_TIMEOUT_MS: u64 = 150;
/// Minimum time between two quota requests.
const MIN_REQUEST_GAP_MS: u64 = 10;

pub const ACCOUNT: &str = "acme";

/// Quota of the account and distribution of its demand over entries.
#[derive(Clone, Copy)]
pub struct SiteShape {
    pub entries: usize,
    /// Quota in tokens a second; the burst equals one second of it.
    pub per_s: f64,
    /// Demand as a fraction of the quota.
    pub load: f64,
    /// Exponent by which demand decreases from entry to entry; 0 for equal demand.
    pub skew: f64,
}

impl SiteShape {
    pub fn large() -> Self {
        Self {
            entries: 31,
            per_s: 200_000.0,
            load: 1.0,
            skew: 0.0,
        }
    }

    pub fn small() -> Self {
        Self {
            per_s: 18_000.0,
            ..Self::large()
        }
    }

    pub fn quota(&self) -> QuotaSpec {
        QuotaSpec {
            unit: QuotaUnit::Tokens,
            per_s: self.per_s,
            burst: self.per_s,
            plain_tokens: 200,
        }
    }
}

/// Returns a list of one account with this quota.
pub fn account_list(quota: QuotaSpec) -> AccountList {
    let account = AccountSpec {
        name: AccountName::from(ACCOUNT),
        keys: Vec::new(),
        priority: None,
        quota: Some(quota),
        regions: Default::default(),
    };
    AccountList {
        accounts: vec![account],
    }
}

struct WaitingRequest {
    cost: u64,
    since_ms: u64,
}

/// A quota request in transit to the leader.
struct SentRequest {
    due_ms: u64,
    made_ms: u64,
    request: QuotaRequest,
}

/// A reply in transit to the entry.
struct SentGrants {
    due_ms: u64,
    made_ms: u64,
    number: u64,
    grants: QuotaGrants,
}

/// One entry, with its messages in transit to and from the leader.
pub struct QuotaEntry {
    number: usize,
    holder: QuotaHolder,
    waiting: Vec<WaitingRequest>,
    requested_ms: u64,
    /// When the quota request that has no reply yet was made.
    pending_since_ms: Option<u64>,
    requests: Vec<SentRequest>,
    replies: Vec<SentGrants>,
    /// Relative weight of the entry's demand.
    weight: f64,
    /// Time until which the entry is cut off from the leader.
    pub cut_until_ms: u64,
    /// Time until which the entry is suspended.
    pub frozen_until_ms: u64,
}

impl QuotaEntry {
    fn new(number: usize, incarnation: u64, weight: f64, now_ms: u64) -> Self {
        let entry = EntryIncarnation {
            host: HostName(format!("entry-{number}")),
            incarnation,
        };
        Self {
            number,
            holder: QuotaHolder::new(entry, now_ms),
            waiting: Vec::new(),
            requested_ms: 0,
            pending_since_ms: None,
            requests: Vec::new(),
            replies: Vec::new(),
            weight,
            cut_until_ms: 0,
            frozen_until_ms: 0,
        }
    }
}

/// A site in simulated time, in steps of 1 ms.
pub struct QuotaSite {
    pub shape: SiteShape,
    pub entries: Vec<QuotaEntry>,
    pub leader: Option<QuotaGrantor>,
    pub now_ms: u64,
    version: u64,
    account_list: AccountList,
    rng: SmallRng,
    incarnations: u64,
    /// Time and tokens of each request that ran.
    ran: Vec<(u64, u64)>,
    /// Time and tokens of each request that arrived.
    pub demanded: Vec<(u64, u64)>,
    pub refused: usize,
}

impl QuotaSite {
    pub fn new(shape: SiteShape, seed: u64) -> Self {
        let mut site = Self {
            shape,
            entries: Vec::new(),
            leader: Some(QuotaGrantor::new(0)),
            now_ms: 0,
            version: 1,
            account_list: account_list(shape.quota()),
            rng: SmallRng::seed_from_u64(seed),
            incarnations: 0,
            ran: Vec::new(),
            demanded: Vec::new(),
            refused: 0,
        };
        for _ in 0..shape.entries {
            site.join();
        }
        // Entries are idle for 10 s before the first request arrives.
        site.now_ms = 10_000;
        site
    }

    /// Adds an entry.
    pub fn join(&mut self) {
        self.incarnations += 1;
        let number = self.entries.len();
        let weight = 1.0 / ((number + 1) as f64).powf(self.shape.skew);
        let entry = QuotaEntry::new(number, self.incarnations, weight, self.now_ms);
        self.entries.push(entry);
    }

    /// Restarts an entry, which loses its state.
    pub fn restart(&mut self, number: usize) {
        self.incarnations += 1;
        let weight = self.entries[number].weight;
        self.entries[number] = QuotaEntry::new(number, self.incarnations, weight, self.now_ms);
    }

    /// Replaces the leader; the new one does not know its predecessor's grants.
    pub fn change_leader(&mut self) {
        self.leader = Some(QuotaGrantor::new(self.now_ms));
    }

    pub fn set_limit(&mut self, quota: QuotaSpec) {
        self.version += 1;
        self.account_list = account_list(quota);
        for entry in &mut self.entries {
            entry.holder.clear_short();
        }
    }

    pub fn run(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms {
            self.now_ms += 1;
            self.add_arrivals();
            for number in 0..self.entries.len() {
                if self.now_ms >= self.entries[number].frozen_until_ms {
                    self.step(number);
                }
            }
        }
    }

    /// Adds the random arrivals of this step, with a mean of 2,400 tokens each.
    fn add_arrivals(&mut self) {
        const MEAN: f64 = 2_400.0;
        let chance = self.shape.per_s * self.shape.load / MEAN / 1_000.0;
        let mut left = chance;
        while left > 0.0 {
            if self.rng.random_bool(left.min(1.0)) {
                let cost = (MEAN * self.rng.random_range(0.2..1.8)) as u64;
                self.demanded.push((self.now_ms, cost));
                let number = self.pick_entry();
                let now_ms = self.now_ms;
                let holder = &mut self.entries[number].holder;
                holder.record_request(&AccountName::from(ACCOUNT), cost);
                let since_ms = now_ms;
                self.charge(number, WaitingRequest { cost, since_ms });
            }
            left -= 1.0;
        }
    }

    fn charge(&mut self, number: usize, waiting: WaitingRequest) {
        let account = AccountName::from(ACCOUNT);
        let entry = &mut self.entries[number];
        match entry.holder.charge(self.now_ms, &account, waiting.cost) {
            QuotaCharge::Paid => self.ran.push((self.now_ms, waiting.cost)),
            QuotaCharge::Ask if self.now_ms < waiting.since_ms + MAX_WAIT_MS => {
                entry.waiting.push(waiting);
            }
            QuotaCharge::Ask | QuotaCharge::Limited(_) | QuotaCharge::Unknown => self.refused += 1,
        }
    }

    fn pick_entry(&mut self) -> usize {
        let all: f64 = self.entries.iter().map(|entry| entry.weight).sum();
        let mut draw = self.rng.random_range(0.0..all);
        let found = self.entries.iter().position(|entry| {
            draw -= entry.weight;
            draw < 0.0
        });
        found.unwrap_or(0)
    }

    fn step(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let entry = &mut self.entries[number];
        let cut = now_ms < entry.cut_until_ms;
        // The leader replies to the requests that have arrived.
        for sent in entry.requests.extract_if(.., |sent| sent.due_ms <= now_ms) {
            if let (Some(leader), false) = (&mut self.leader, cut) {
                leader.set_limits(self.version, Some(&self.account_list));
                entry.replies.push(SentGrants {
                    due_ms: now_ms + TRANSIT_MS,
                    made_ms: sent.made_ms,
                    number: sent.request.number,
                    grants: leader.grant(now_ms, &sent.request),
                });
            }
        }
        let mut granted = false;
        for sent in entry.replies.extract_if(.., |sent| sent.due_ms <= now_ms) {
            if !cut {
                granted = true;
                entry.pending_since_ms = None;
                let holder = &mut entry.holder;
                holder.apply_grants(sent.number, sent.made_ms, now_ms, &sent.grants);
            }
        }
        if granted {
            for waiting in std::mem::take(&mut entry.waiting) {
                self.charge(number, waiting);
            }
        }
        let entry = &mut self.entries[number];
        let late_ms = now_ms.saturating_sub(REPLY_TIMEOUT_MS);
        let lost = entry
            .pending_since_ms
            .is_some_and(|made_ms| made_ms < late_ms);
        if lost {
            entry.pending_since_ms = None;
            entry.holder.record_missing_reply();
            for waiting in std::mem::take(&mut entry.waiting) {
                self.charge(number, waiting);
            }
        }
        let entry = &mut self.entries[number];
        let since_ms = now_ms - entry.requested_ms;
        let has_unmet_demand = entry.holder.has_unmet_demand() && since_ms >= MIN_REQUEST_GAP_MS;
        if entry.pending_since_ms.is_none()
            && (has_unmet_demand || since_ms >= REQUEST_INTERVAL_MS + entry.number as u64)
        {
            entry.requested_ms = now_ms;
            if let Some(request) = entry.holder.next_request(now_ms) {
                entry.pending_since_ms = Some(now_ms);
                entry.requests.push(SentRequest {
                    due_ms: now_ms + TRANSIT_MS,
                    made_ms: now_ms,
                    request,
                });
            }
        }
    }

    /// Returns the tokens that ran between two times after the idle phase, as a fraction of the
    /// quota.
    pub fn given_of_limit(&self, from_ms: u64, until_ms: u64) -> f64 {
        let given = self.ran_between(10_000 + from_ms, 10_000 + until_ms);
        given as f64 / (self.shape.per_s * (until_ms - from_ms) as f64 / 1_000.0)
    }

    pub fn ran_between(&self, from_ms: u64, until_ms: u64) -> u64 {
        let within = |(at_ms, _): &&(u64, u64)| (from_ms..until_ms).contains(at_ms);
        self.ran.iter().filter(within).map(|(_, cost)| cost).sum()
    }

    /// Returns the maximum number of tokens that ran within any window, from a time on.
    pub fn most_within(&self, window_ms: u64, from_ms: u64) -> u64 {
        let starts = self.ran.iter().filter(|(at_ms, _)| *at_ms >= from_ms);
        let sums = starts.map(|(at_ms, _)| self.ran_between(*at_ms, at_ms + window_ms));
        sums.max().unwrap_or(0)
    }

    pub fn refused_share(&self) -> f64 {
        self.refused as f64 / self.demanded.len() as f64
    }

    /// Returns the share of requests that a single bucket for all entries would refuse.
    pub fn refused_by_one_bucket(&self) -> f64 {
        let quota = self.shape.quota();
        let (mut level, mut at_ms, mut refused) = (quota.burst, 0, 0);
        for (now_ms, cost) in &self.demanded {
            let filled = (now_ms - at_ms) as f64 / 1_000.0 * quota.per_s;
            level = f64::min(level + filled, quota.burst);
            at_ms = *now_ms;
            match level >= *cost as f64 {
                true => level -= *cost as f64,
                false => refused += 1,
            }
        }
        f64::from(refused) / self.demanded.len() as f64
    }
}
