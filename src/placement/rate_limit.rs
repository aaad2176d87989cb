//! Token buckets of the leader for replicas with a limited request rate, shared by all entries.
//!
//! An entry requests a permit for each request right before sending it, and may use the permit only
//! within [`PERMIT_VALIDITY_MS`]. The number of requests that a replica receives in any window is
//! thus bounded by its rate, even if entries stall in between. Without a leader, no entry sends to
//! such a replica.
//!
//! Pure code with soft state: a new leader grants nothing until no permit of the previous leader
//! can fall into the same window as its own.

use std::collections::BTreeMap;

use crate::ids::ReplicaIncarnation;

/// Validity of a permit from the time it was requested, in milliseconds: covers a call between
/// halls and the opening of a connection.
pub const PERMIT_VALIDITY_MS: u64 = 250;
/// Window in which the arrivals at a replica that warms up are counted, in milliseconds.
const COUNT_WINDOW_MS: u64 = 1_000;
/// Number of requests that may be sent at once after an idle time.
const BURST: u64 = 2;
/// Longest time until a refused entry requests a permit again, in milliseconds. Other entries may
/// have stopped requesting since.
const MAX_WAIT_MS: u64 = 10_000;
/// Number of different retry times of entries that are given the longest wait, and the time between
/// two of them in microseconds. Keeps these entries from returning at the same time.
const SPREAD_STEPS: u64 = 64;
const SPREAD_STEP_US: u64 = 8_000;
/// Number of buckets from which idle ones are removed.
const PRUNE_THRESHOLD: usize = 64;

/// Request schedule of one replica.
#[derive(Clone, Copy, Debug, Default)]
struct TokenBucket {
    /// When the next request is due, in microseconds.
    due_us: u64,
    /// Retry time given to the last refused entry, in microseconds.
    last_offer_us: u64,
    /// Number of entries that were given the longest wait.
    max_wait_count: u64,
    /// Last known time between two requests, in microseconds.
    gap_us: u64,
}

impl TokenBucket {
    /// Sets the time between two requests. After a decrease, no request waits for the longer gap.
    fn set_gap(&mut self, now_us: u64, gap_us: u64) {
        if gap_us < self.gap_us {
            self.due_us = self.due_us.min(now_us.saturating_add(gap_us));
            self.last_offer_us = 0;
        }
        self.gap_us = gap_us;
    }

    /// Returns when the next refused entry is to request a permit again.
    fn next_offer_us(&mut self, now_us: u64, due_us: u64) -> u64 {
        let latest_us = now_us.saturating_add(MAX_WAIT_MS * 1_000);
        let next_us = self.last_offer_us.saturating_add(self.gap_us);
        if next_us > latest_us {
            self.max_wait_count += 1;
            let spread_us = self.max_wait_count % SPREAD_STEPS * SPREAD_STEP_US;
            return due_us.max(latest_us - spread_us);
        }
        self.last_offer_us = next_us.max(due_us);
        self.last_offer_us
    }

    fn idle_from_us(&self) -> u64 {
        self.due_us.max(self.last_offer_us)
    }
}

/// The token buckets of one leader.
#[derive(Debug)]
pub struct RateLimiter {
    starts_ms: u64,
    buckets: BTreeMap<ReplicaIncarnation, TokenBucket>,
}

impl RateLimiter {
    /// Creates the limiter of a leader that leads since `now_ms`.
    pub fn new(now_ms: u64) -> Self {
        Self {
            starts_ms: now_ms + COUNT_WINDOW_MS + PERMIT_VALIDITY_MS,
            buckets: BTreeMap::new(),
        }
    }

    /// Grants a permit for one request to a replica that accepts one request per `gap_us`, or
    /// returns the time until the entry is to request it again, in milliseconds.
    pub fn try_acquire(
        &mut self,
        now_ms: u64,
        replica: &ReplicaIncarnation,
        gap_us: u64,
    ) -> Result<(), u64> {
        if now_ms < self.starts_ms {
            return Err(self.starts_ms - now_ms);
        }
        let now_us = now_ms.saturating_mul(1_000);
        self.forget_idle(now_us);
        let bucket = self.buckets.entry(replica.clone()).or_default();
        bucket.set_gap(now_us, gap_us);
        // Due times in the past expire, except for the burst.
        let burst_us = gap_us.saturating_mul(BURST - 1);
        let due_us = bucket.due_us.max(now_us.saturating_sub(burst_us));
        if due_us <= now_us {
            bucket.due_us = due_us.saturating_add(gap_us);
            return Ok(());
        }
        // Each refused entry gets a retry time of its own. If all returned for the next due
        // request, all but one would request in vain.
        let wait_us = bucket.next_offer_us(now_us, due_us) - now_us;
        Err(wait_us.div_ceil(1_000).min(MAX_WAIT_MS))
    }

    /// Removes the tokens of a replica: those accumulated under another rate do not count.
    pub fn clear_tokens(&mut self, now_ms: u64, replica: &ReplicaIncarnation, gap_us: u64) {
        let bucket = self.buckets.entry(replica.clone()).or_default();
        let next_us = now_ms.saturating_mul(1_000).saturating_add(gap_us);
        bucket.due_us = bucket.due_us.max(next_us);
    }

    fn forget_idle(&mut self, now_us: u64) {
        if self.buckets.len() >= PRUNE_THRESHOLD {
            self.buckets
                .retain(|_, bucket| bucket.idle_from_us() > now_us);
        }
    }
}
