//! Where prompts pile up: the tokens that wait to be read at each replica, summed by the
//! leader over all entries.
//!
//! An entry sees only its own requests and, on answers, what a replica tells of all. Where
//! 31 entries share a home that answers eight requests a second, each hears of it once in
//! four seconds, and together they keep a queue there that none of them sees.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::{HostName, ReplicaId};

/// Most replicas that an entry is told of: bounds the answer to a report.
const MAX_CROWDED: usize = 32;
/// How long an entry's report counts, in milliseconds: four regular reports.
const REPORT_MS: u64 = 2_000;

/// Tokens of prompts that wait, by replica.
pub type WaitingTokens = BTreeMap<ReplicaId, u64>;

/// What one entry's requests have waiting.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrowdReport {
    /// The entry's host.
    pub host: HostName,
    /// Replicas at which nothing waits are left out.
    pub waiting: WaitingTokens,
}

#[derive(Debug)]
struct CrowdNote {
    heard_ms: u64,
    waiting: WaitingTokens,
}

/// The leader's sums over all entries.
#[derive(Debug, Default)]
pub struct CrowdSums {
    entries: BTreeMap<HostName, CrowdNote>,
    swept_ms: u64,
    sums: WaitingTokens,
    /// By tokens, so that the most crowded are found without a look at all replicas.
    ranked: BTreeSet<(u64, ReplicaId)>,
}

impl CrowdSums {
    /// Takes an entry's report in place of its last one. Returns the most crowded replicas,
    /// of those with so many waiting tokens or more.
    pub fn take(&mut self, now_ms: u64, report: CrowdReport, least_tokens: u64) -> WaitingTokens {
        self.lapse(now_ms);
        self.add(&report.waiting);
        let note = CrowdNote {
            heard_ms: now_ms,
            waiting: report.waiting,
        };
        if let Some(last) = self.entries.insert(report.host, note) {
            self.subtract(&last.waiting);
        }
        let most = self.ranked.iter().rev();
        let crowded = most.take_while(|(tokens, _)| *tokens >= least_tokens);
        let listed = crowded.take(MAX_CROWDED);
        listed.map(|(tokens, id)| (id.clone(), *tokens)).collect()
    }

    /// Forgets entries that have fallen silent, once in a while.
    fn lapse(&mut self, now_ms: u64) {
        if now_ms < self.swept_ms + REPORT_MS {
            return;
        }
        self.swept_ms = now_ms;
        let entries = std::mem::take(&mut self.entries).into_iter();
        let (heard, gone): (BTreeMap<_, _>, BTreeMap<_, _>) =
            entries.partition(|(_, note)| now_ms < note.heard_ms + REPORT_MS);
        self.entries = heard;
        for note in gone.values() {
            self.subtract(&note.waiting);
        }
    }

    fn add(&mut self, waiting: &WaitingTokens) {
        for (id, tokens) in waiting {
            self.change(id, |sum| sum.saturating_add(*tokens));
        }
    }

    fn subtract(&mut self, waiting: &WaitingTokens) {
        for (id, tokens) in waiting {
            self.change(id, |sum| sum.saturating_sub(*tokens));
        }
    }

    fn change(&mut self, id: &ReplicaId, change: impl FnOnce(u64) -> u64) {
        let sum = self.sums.remove(id).unwrap_or(0);
        self.ranked.remove(&(sum, id.clone()));
        let sum = change(sum);
        if sum > 0 {
            self.sums.insert(id.clone(), sum);
            self.ranked.insert((sum, id.clone()));
        }
    }
}
