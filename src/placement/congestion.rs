//! Queue congestion: prompt tokens that wait to be processed at each replica, summed by the leader
//! over all entries.
//!
//! An entry sees only its own requests and the load that a replica reports in its responses. Where
//! 31 entries share a home that responds to eight requests a second, each entry gets such a report
//! about once in four seconds. Together they keep a queue at the home that none of them sees.
//!
//! A queue that empties by itself is left alone: at worst its requests are served late. A standing
//! queue delays all requests and increases throughput for none, so entries are notified of it. The
//! distinction and the minimum duration follow CoDel (Nichols and Jacobson, "Controlling Queue
//! Delay", ACM Queue 10(5), 2012).

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::{HostName, ReplicaId};

/// Maximum number of replicas in the reply to a report; bounds its size.
const MAX_CONGESTED_REPLICAS: usize = 32;
/// Time for which the report of an entry counts, in milliseconds: four regular report intervals.
const REPORT_TTL_MS: u64 = 2_000;

/// Waiting prompt tokens by replica.
pub type QueuedTokens = BTreeMap<ReplicaId, u64>;

/// The prompt tokens of one entry's requests that wait at replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueReport {
    /// Host of the entry.
    pub host: HostName,
    /// Waiting tokens by replica; replicas without any are left out.
    pub waiting: QueuedTokens,
}

/// The last report of an entry.
#[derive(Debug)]
struct EntrySample {
    received_ms: u64,
    waiting: QueuedTokens,
}

/// Waiting tokens summed over all entries.
#[derive(Debug, Default)]
pub struct QueueTotals {
    entries: BTreeMap<HostName, EntrySample>,
    last_expiry_ms: u64,
    totals: QueuedTokens,
    /// Replicas ordered by tokens, to find the most congested ones without scanning all replicas.
    by_tokens: BTreeSet<(u64, ReplicaId)>,
    /// Since when each congested replica has been at the token threshold without interruption.
    congested_since_ms: BTreeMap<ReplicaId, u64>,
}

/// Conditions under which a replica is reported as congested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CongestionThreshold {
    /// Minimum number of waiting tokens.
    pub tokens: u64,
    /// Minimum time for which the number was reached without interruption, in milliseconds.
    pub min_duration_ms: u64,
}

impl QueueTotals {
    /// Replaces the last report of an entry. Returns the most congested replicas with their waiting
    /// tokens.
    pub fn record(
        &mut self,
        now_ms: u64,
        report: QueueReport,
        threshold: CongestionThreshold,
    ) -> QueuedTokens {
        self.expire_reports(now_ms, threshold);
        // Adds the new report before subtracting the last one, so that a replica that is congested
        // under both keeps its start time.
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
        // The limit applies before the filter: a burst may congest thousands of replicas for a
        // moment.
        let reported = congested.take(MAX_CONGESTED_REPLICAS);
        let reported = reported.filter(|(_, id)| is_standing(id));
        reported.map(|(tokens, id)| (id.clone(), *tokens)).collect()
    }

    /// Removes the reports of entries that have not reported within [`REPORT_TTL_MS`]. Runs at most
    /// once in that time.
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

    /// Updates the total of one replica, its rank, and since when it is congested.
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
