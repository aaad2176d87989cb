//! Order of the requests that wait at an entry for free capacity.
//!
//! Pure: the caller passes in the time. There is one line for each service and model, and only the
//! first request in a line may take capacity. Requests are ordered by rank, then by the recent work
//! done for their account, so that an account with an excess cannot displace others, then by the
//! time left until their latency target.
//!
//! A request with slack goes behind all requests without. Once its slack is used up it goes before
//! the other requests of its rank, but behind those of more urgent ranks, so that it is not
//! starved. It does so only while its kind has recently been served no better than the other
//! requests of its rank: under lasting overload the kind with slack would otherwise be served
//! completely, at the expense of the more urgent kind.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use crate::ids::{AccountName, ModelName, ServiceName};

/// Half-life of the work done for an account and of the outcomes of a kind, in milliseconds. One of
/// many entries sees about one request of an account per second, so a shorter one would measure
/// noise; with a longer one, an account pays long for an excess that has ended.
const HALF_LIFE_MS: f64 = 5_000.0;
/// Time after which the work done for an account that waits for nothing is forgotten, in
/// milliseconds: less than 2% of it is left then.
const FORGET_MS: u64 = 30_000;
/// A request may use this fraction of its latency target as slack: it waits for at most half of
/// its target, and the second half of that wait is left to find capacity.
const SLACK_DIVISOR: u64 = 4;
/// Ranks from this one on share their outcomes, to bound their number.
const MAX_RANK: u32 = 15;

/// What a line waits for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LineKey {
    /// The service.
    pub service: ServiceName,
    /// The model; `None` for services without models.
    pub model: Option<ModelName>,
}

/// A request that waits for capacity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Account of the caller. Callers without an account share one.
    pub account: Option<AccountName>,
    /// Rank; 0 is the most urgent.
    pub rank: u32,
    /// Whether its latency target is long compared with the shortest one of its service.
    pub can_wait: bool,
    /// When the request arrived.
    pub arrived_ms: u64,
    /// Its latency target, counted from the arrival.
    pub target_ms: u64,
}

impl WaitingRequest {
    /// Time at which the slack is used up.
    fn slack_end_ms(&self) -> u64 {
        let slack_ms = match self.can_wait {
            true => self.target_ms / SLACK_DIVISOR,
            false => 0,
        };
        self.arrived_ms + slack_ms
    }

    fn kind(&self) -> RequestKind {
        RequestKind {
            rank: self.rank.min(MAX_RANK),
            can_wait: self.can_wait,
        }
    }
}

/// Place of a request in a line.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitTicket {
    line: LineKey,
    number: u64,
}

impl WaitTicket {
    /// Number of the ticket, unique within its [`WaitingLines`].
    pub fn number(&self) -> u64 {
        self.number
    }
}

/// Requests of one rank, with or without slack.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RequestKind {
    rank: u32,
    can_wait: bool,
}

/// Sum that halves every [`HALF_LIFE_MS`].
#[derive(Clone, Copy, Debug, Default)]
struct DecayingSum {
    sum: f64,
    at_ms: u64,
}

impl DecayingSum {
    fn at(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.sum * (-age_ms / HALF_LIFE_MS).exp2()
    }

    fn add(&mut self, now_ms: u64, amount: f64) {
        self.sum = self.at(now_ms) + amount;
        self.at_ms = now_ms;
    }
}

/// Recent outcomes of one kind of requests.
#[derive(Clone, Copy, Debug, Default)]
struct KindOutcomes {
    ended: DecayingSum,
    served: DecayingSum,
}

impl KindOutcomes {
    fn served_share(&self, now_ms: u64) -> f64 {
        match self.ended.at(now_ms) {
            ended if ended > 0.0 => self.served.at(now_ms) / ended,
            _ => 1.0,
        }
    }
}

/// What an entry remembers of one service.
#[derive(Clone, Debug, Default)]
struct ServiceHistory {
    work: BTreeMap<Option<AccountName>, DecayingSum>,
    outcomes: BTreeMap<RequestKind, KindOutcomes>,
}

impl ServiceHistory {
    fn work(&self, now_ms: u64, account: &Option<AccountName>) -> f64 {
        self.work.get(account).map_or(0.0, |work| work.at(now_ms))
    }

    fn served_share(&self, now_ms: u64, kind: RequestKind) -> Option<f64> {
        let outcomes = self.outcomes.get(&kind)?;
        Some(outcomes.served_share(now_ms))
    }

    /// Whether requests with slack have been served better than the others of their rank.
    fn favours_slack(&self, now_ms: u64, rank: u32) -> bool {
        let share = |can_wait| self.served_share(now_ms, RequestKind { rank, can_wait });
        let (with_slack, without) = (share(true), share(false));
        with_slack.zip(without).is_some_and(|(a, b)| a > b)
    }
}

#[derive(Clone, Debug)]
struct Waiter {
    request: WaitingRequest,
    /// Round in which the request found no capacity that it could use.
    passed_over: Option<u64>,
}

/// Position of a request in the order of its line; the least is first.
#[derive(Clone, Copy, Debug, PartialEq)]
struct OrderKey {
    has_slack: bool,
    /// Twice the rank, so that a request whose slack is used up fits between two ranks.
    level: u32,
    /// Whether its kind is served better than the others of its rank.
    favoured: bool,
    work: f64,
    target_at_ms: u64,
    number: u64,
}

impl OrderKey {
    fn compare(&self, other: &Self) -> Ordering {
        let place = |key: &Self| (key.has_slack, key.level, key.favoured);
        let then = |key: &Self| (key.target_at_ms, key.number);
        place(self)
            .cmp(&place(other))
            .then_with(|| self.work.total_cmp(&other.work))
            .then_with(|| then(self).cmp(&then(other)))
    }
}

/// All lines of an entry. Its size is bounded by the waiting requests and the accounts that were
/// active within [`FORGET_MS`].
#[derive(Clone, Debug, Default)]
pub struct WaitingLines {
    lines: BTreeMap<LineKey, BTreeMap<u64, Waiter>>,
    history: BTreeMap<ServiceName, ServiceHistory>,
    issued: u64,
    /// Counts the events that may have freed capacity.
    round: u64,
}

impl WaitingLines {
    /// Adds a request to a line.
    pub fn join(&mut self, now_ms: u64, line: LineKey, request: WaitingRequest) -> WaitTicket {
        self.start_account(now_ms, &line.service, &request.account);
        self.issued += 1;
        let number = self.issued;
        let waiter = Waiter {
            request,
            passed_over: None,
        };
        self.lines
            .entry(line.clone())
            .or_default()
            .insert(number, waiter);
        WaitTicket { line, number }
    }

    /// Removes a request from its line.
    pub fn leave(&mut self, ticket: &WaitTicket) {
        if let Some(line) = self.lines.get_mut(&ticket.line) {
            line.remove(&ticket.number);
            if line.is_empty() {
                self.lines.remove(&ticket.line);
            }
        }
    }

    /// Whether requests wait in this line.
    pub fn is_waited_for(&self, line: &LineKey) -> bool {
        self.lines.contains_key(line)
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.lines.values().map(BTreeMap::len).sum()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Number of accounts whose work is remembered.
    pub fn accounts(&self) -> usize {
        self.history
            .values()
            .map(|service| service.work.len())
            .sum()
    }

    /// Whether a request is the first in its line, and so may take capacity.
    pub fn is_first(&self, now_ms: u64, ticket: &WaitTicket) -> bool {
        self.first(now_ms, &ticket.line) == Some(ticket.number)
    }

    /// Number of the ticket that is first in a line: the next to be woken.
    pub fn first(&self, now_ms: u64, line: &LineKey) -> Option<u64> {
        let waiters = self.lines.get(line)?;
        let open = waiters
            .iter()
            .filter(|(_, waiter)| waiter.passed_over != Some(self.round));
        let keys = open.map(|(number, waiter)| {
            self.order_key(now_ms, &line.service, &waiter.request, *number)
        });
        let first = keys.min_by(OrderKey::compare)?;
        Some(first.number)
    }

    /// Numbers of the tickets that are first in their lines.
    pub fn all_first(&self, now_ms: u64) -> Vec<u64> {
        let lines = self.lines.keys();
        lines.filter_map(|line| self.first(now_ms, line)).collect()
    }

    /// Lets the requests behind this one try, until capacity may have become free again: it found
    /// no capacity that it can use, for a reason of its own.
    pub fn pass_over(&mut self, ticket: &WaitTicket) {
        let line = self.lines.get_mut(&ticket.line);
        if let Some(waiter) = line.and_then(|line| line.get_mut(&ticket.number)) {
            waiter.passed_over = Some(self.round);
        }
    }

    /// Ends the effect of [`Self::pass_over`].
    pub fn reopen(&mut self, ticket: &WaitTicket) {
        let line = self.lines.get_mut(&ticket.line);
        if let Some(waiter) = line.and_then(|line| line.get_mut(&ticket.number)) {
            waiter.passed_over = None;
        }
    }

    /// Records that capacity may have become free.
    pub fn start_round(&mut self) {
        self.round += 1;
    }

    /// Records work done for an account, in any unit that is the same for all requests of the
    /// service.
    pub fn record_work(
        &mut self,
        now_ms: u64,
        service: &ServiceName,
        account: &Option<AccountName>,
        work: f64,
    ) {
        self.start_account(now_ms, service, account);
        let history = self.history.entry(service.clone()).or_default();
        let known = history.work.entry(account.clone()).or_default();
        known.add(now_ms, work);
    }

    /// Records whether a request got capacity.
    pub fn record_outcome(
        &mut self,
        now_ms: u64,
        service: &ServiceName,
        request: &WaitingRequest,
        served: bool,
    ) {
        let history = self.history.entry(service.clone()).or_default();
        let outcomes = history.outcomes.entry(request.kind()).or_default();
        outcomes.ended.add(now_ms, 1.0);
        outcomes.served.add(now_ms, f64::from(u8::from(served)));
    }

    /// Forgets accounts that have no waiting request and for which little work was done.
    pub fn prune(&mut self, now_ms: u64) {
        let lines = &self.lines;
        for (service, history) in &mut self.history {
            history.work.retain(|account, work| {
                now_ms.saturating_sub(work.at_ms) < FORGET_MS
                    || waiters_of(lines, service).any(|request| request.account == *account)
            });
        }
        self.history.retain(|_, history| !history.work.is_empty());
    }

    /// Starts an account that was idle at the least work of the waiting accounts of its service, so
    /// that it cannot use up now what it did not use while idle.
    fn start_account(&mut self, now_ms: u64, service: &ServiceName, account: &Option<AccountName>) {
        let history = self.history.entry(service.clone()).or_default();
        let known = history.work.get(account);
        let waits = || waiters_of(&self.lines, service).any(|request| request.account == *account);
        let idle =
            known.is_none_or(|work| now_ms.saturating_sub(work.at_ms) >= FORGET_MS && !waits());
        if idle {
            let waiting = waiters_of(&self.lines, service);
            let least = waiting
                .map(|request| history.work(now_ms, &request.account))
                .min_by(f64::total_cmp);
            let start = DecayingSum {
                sum: least.unwrap_or(0.0),
                at_ms: now_ms,
            };
            history.work.insert(account.clone(), start);
        }
    }

    fn order_key(
        &self,
        now_ms: u64,
        service: &ServiceName,
        request: &WaitingRequest,
        number: u64,
    ) -> OrderKey {
        let history = self.history.get(service);
        let has_slack = now_ms < request.slack_end_ms();
        let was_slack = request.can_wait && !has_slack;
        let kind = request.kind();
        let favoured =
            was_slack && history.is_some_and(|history| history.favours_slack(now_ms, kind.rank));
        let rank_level = request.rank.saturating_mul(2).saturating_add(1);
        OrderKey {
            has_slack,
            level: match was_slack && !favoured {
                true => rank_level - 1,
                false => rank_level,
            },
            favoured,
            work: history.map_or(0.0, |history| history.work(now_ms, &request.account)),
            target_at_ms: request.arrived_ms + request.target_ms,
            number,
        }
    }
}

fn waiters_of<'a>(
    lines: &'a BTreeMap<LineKey, BTreeMap<u64, Waiter>>,
    service: &'a ServiceName,
) -> impl Iterator<Item = &'a WaitingRequest> {
    let lines = lines
        .iter()
        .filter(move |(line, _)| line.service == *service);
    lines.flat_map(|(_, waiters)| waiters.values().map(|waiter| &waiter.request))
}
