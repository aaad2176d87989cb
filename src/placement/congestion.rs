//! Where prompts pile up: the tokens that wait to be read at each replica, summed by the
//! leader over all entries.
//!
//! An entry sees only its own requests and, on answers, what a replica tells of all. Where
//! 31 entries share a home that answers eight requests a second, each hears of it once in
//! four seconds, and together they keep a queue there that none of them sees.
//!
//! A queue that goes by itself is left alone, as its requests are served late at worst. One
//! that stands makes all requests late and serves none more: entries are told of it (the
//! distinction, and the idea of a least time, are those of CoDel: Nichols and Jacobson,
//! "Controlling Queue Delay", ACM Queue 10(5), 2012).

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::{HostName, ReplicaId};

/// Most replicas that an entry is told of: bounds the answer to a report.
const MAX_CROWDED: usize = 32;
/// How long an entry's report counts, in milliseconds: four regular reports.
const REPORT_MS: u64 = 2_000;

/// Tokens of prompts that wait, by replica.
pub type QueuedTokens = BTreeMap<ReplicaId, u64>;

/// What one entry's requests have waiting.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueReport {
    /// The entry's host.
    pub host: HostName,
    /// Replicas at which nothing waits are left out.
    pub waiting: QueuedTokens,
}

/// The last report of an entry.
#[derive(Debug)]
struct HeardReport {
    heard_ms: u64,
    waiting: QueuedTokens,
}

/// The leader's sums over all entries.
#[derive(Debug, Default)]
pub struct QueueTotals {
    entries: BTreeMap<HostName, HeardReport>,
    swept_ms: u64,
    sums: QueuedTokens,
    /// By tokens, so that the most crowded are found without a look at all replicas.
    ranked: BTreeSet<(u64, ReplicaId)>,
    /// Since when each crowded replica has been so, without a pause.
    since: BTreeMap<ReplicaId, u64>,
}

/// From when on a replica counts as crowded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CongestionThreshold {
    /// Tokens that wait there.
    pub tokens: u64,
    /// For so long without a pause, in milliseconds.
    pub for_ms: u64,
}

impl QueueTotals {
    /// Takes an entry's report in place of its last one. Returns the most crowded replicas.
    pub fn take(
        &mut self,
        now_ms: u64,
        report: QueueReport,
        bound: CongestionThreshold,
    ) -> QueuedTokens {
        self.lapse(now_ms, bound);
        // First what is new: a replica that is crowded by both reports stays so.
        for (id, tokens) in &report.waiting {
            self.change(now_ms, bound, id, |sum| sum.saturating_add(*tokens));
        }
        let heard = HeardReport {
            heard_ms: now_ms,
            waiting: report.waiting,
        };
        if let Some(last) = self.entries.insert(report.host, heard) {
            self.forget(now_ms, bound, &last.waiting);
        }
        let most = self.ranked.iter().rev();
        let crowded = most.take_while(|(tokens, _)| *tokens >= bound.tokens);
        let stands = |id: &ReplicaId| {
            let since_ms = self.since.get(id);
            since_ms.is_some_and(|since_ms| now_ms >= since_ms + bound.for_ms)
        };
        // Bounded before the filter: a burst may crowd thousands for a moment.
        let listed = crowded.take(MAX_CROWDED);
        let listed = listed.filter(|(_, id)| stands(id));
        listed.map(|(tokens, id)| (id.clone(), *tokens)).collect()
    }

    /// Forgets entries that have fallen silent, once in a while.
    fn lapse(&mut self, now_ms: u64, bound: CongestionThreshold) {
        if now_ms < self.swept_ms + REPORT_MS {
            return;
        }
        self.swept_ms = now_ms;
        let entries = std::mem::take(&mut self.entries).into_iter();
        let (heard, gone): (BTreeMap<_, _>, BTreeMap<_, _>) =
            entries.partition(|(_, last)| now_ms < last.heard_ms + REPORT_MS);
        self.entries = heard;
        for last in gone.values() {
            self.forget(now_ms, bound, &last.waiting);
        }
    }

    fn forget(&mut self, now_ms: u64, bound: CongestionThreshold, waiting: &QueuedTokens) {
        for (id, tokens) in waiting {
            self.change(now_ms, bound, id, |sum| sum.saturating_sub(*tokens));
        }
    }

    /// Changes one sum, its rank, and since when the replica is crowded.
    fn change(
        &mut self,
        now_ms: u64,
        bound: CongestionThreshold,
        id: &ReplicaId,
        change: impl FnOnce(u64) -> u64,
    ) {
        let sum = self.sums.remove(id).unwrap_or(0);
        self.ranked.remove(&(sum, id.clone()));
        let sum = change(sum);
        if sum > 0 {
            self.sums.insert(id.clone(), sum);
            self.ranked.insert((sum, id.clone()));
        }
        match sum >= bound.tokens.max(1) {
            true => {
                self.since.entry(id.clone()).or_insert(now_ms);
            }
            false => {
                self.since.remove(id);
            }
        }
    }
}
