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
const MAX_CONGESTED_REPLICAS: usize = 32;
/// How long an entry's report counts, in milliseconds: four regular reports.
const REPORT_TTL_MS: u64 = 2_000;

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
struct EntrySample {
    received_ms: u64,
    waiting: QueuedTokens,
}

/// The leader's sums over all entries.
#[derive(Debug, Default)]
pub struct QueueTotals {
    entries: BTreeMap<HostName, EntrySample>,
    last_expiry_ms: u64,
    totals: QueuedTokens,
    /// By tokens, so that the most crowded are found without a look at all replicas.
    by_tokens: BTreeSet<(u64, ReplicaId)>,
    /// Since when each crowded replica has been so, without a pause.
    congested_since_ms: BTreeMap<ReplicaId, u64>,
}

/// From when on a replica counts as crowded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CongestionThreshold {
    /// Tokens that wait there.
    pub tokens: u64,
    /// For so long without a pause, in milliseconds.
    pub min_duration_ms: u64,
}

impl QueueTotals {
    /// Takes an entry's report in place of its last one. Returns the most crowded replicas.
    pub fn record(
        &mut self,
        now_ms: u64,
        report: QueueReport,
        threshold: CongestionThreshold,
    ) -> QueuedTokens {
        self.expire_reports(now_ms, threshold);
        // First what is new: a replica that is crowded by both reports stays so.
        for (id, tokens) in &report.waiting {
            self.update_total(now_ms, threshold, id, |total| total.saturating_add(*tokens));
        }
        let sample = EntrySample {
            received_ms: now_ms,
            waiting: report.waiting,
        };
        if let Some(last) = self.entries.insert(report.host, sample) {
            self.subtract_report(now_ms, threshold, &last.waiting);
        }
        let most = self.by_tokens.iter().rev();
        let congested = most.take_while(|(tokens, _)| *tokens >= threshold.tokens);
        let is_standing = |id: &ReplicaId| {
            let since_ms = self.congested_since_ms.get(id);
            since_ms.is_some_and(|since_ms| now_ms >= since_ms + threshold.min_duration_ms)
        };
        // Bounded before the filter: a burst may crowd thousands for a moment.
        let reported = congested.take(MAX_CONGESTED_REPLICAS);
        let reported = reported.filter(|(_, id)| is_standing(id));
        reported.map(|(tokens, id)| (id.clone(), *tokens)).collect()
    }

    /// Forgets entries that have fallen silent, once in a while.
    fn expire_reports(&mut self, now_ms: u64, threshold: CongestionThreshold) {
        if now_ms < self.last_expiry_ms + REPORT_TTL_MS {
            return;
        }
        self.last_expiry_ms = now_ms;
        let entries = std::mem::take(&mut self.entries).into_iter();
        let (fresh, expired): (BTreeMap<_, _>, BTreeMap<_, _>) =
            entries.partition(|(_, last)| now_ms < last.received_ms + REPORT_TTL_MS);
        self.entries = fresh;
        for last in expired.values() {
            self.subtract_report(now_ms, threshold, &last.waiting);
        }
    }

    fn subtract_report(
        &mut self,
        now_ms: u64,
        threshold: CongestionThreshold,
        waiting: &QueuedTokens,
    ) {
        for (id, tokens) in waiting {
            self.update_total(now_ms, threshold, id, |total| total.saturating_sub(*tokens));
        }
    }

    /// Changes one sum, its rank, and since when the replica is crowded.
    fn update_total(
        &mut self,
        now_ms: u64,
        threshold: CongestionThreshold,
        id: &ReplicaId,
        update: impl FnOnce(u64) -> u64,
    ) {
        let total = self.totals.remove(id).unwrap_or(0);
        self.by_tokens.remove(&(total, id.clone()));
        let total = update(total);
        if total > 0 {
            self.totals.insert(id.clone(), total);
            self.by_tokens.insert((total, id.clone()));
        }
        match total >= threshold.tokens.max(1) {
            true => {
                self.congested_since_ms.entry(id.clone()).or_insert(now_ms);
            }
            false => {
                self.congested_since_ms.remove(id);
            }
        }
    }
}
