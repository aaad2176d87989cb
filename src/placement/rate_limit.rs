//! A token bucket for each replica that takes few requests: the leader counts them over all
//! entries together.
//!
//! An entry asks for each request, right before it leaves, and may use the permit for
//! [`PERMIT_VALIDITY_MS`] only: what a replica gets in any span is then bounded by its rate, whatever
//! happens to entries in between. Without a leader nobody sends to such a replica.
//!
//! Pure, and soft state: a new leader waits until nothing that the one before gave can count
//! beside its own.

use std::collections::BTreeMap;

use crate::ids::ReplicaLife;

/// How long a permit may be used from before it was asked for, in milliseconds: a call between
/// halls, and the opening of a connection.
pub const PERMIT_VALIDITY_MS: u64 = 250;
/// The span in which arrivals at a replica that warms up are counted, in milliseconds.
const COUNT_WINDOW_MS: u64 = 1_000;
/// Requests that may go at once, where none went for a while.
const BURST: u64 = 2;
/// Longest time until a refused entry asks again, in milliseconds: others may have stopped
/// asking since.
const MAX_WAIT_MS: u64 = 10_000;
/// Entries that are told the longest wait come back at so many times, so far apart, in
/// microseconds: not all at once.
const SPREAD_STEPS: u64 = 64;
const SPREAD_STEP_US: u64 = 8_000;
/// Replicas from which on those that are done are forgotten.
const PRUNE_THRESHOLD: usize = 64;

/// When requests of one replica are due, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
struct TokenBucket {
    /// The next one.
    due_us: u64,
    /// The one that the last refused entry was told to ask for.
    last_offer_us: u64,
    /// Entries that were told the longest wait.
    max_wait_count: u64,
    /// Time between two requests, as it was last.
    gap_us: u64,
}

impl TokenBucket {
    /// Takes over a gap; after a shorter one nothing waits for the longer one before.
    fn set_gap(&mut self, now_us: u64, gap_us: u64) {
        if gap_us < self.gap_us {
            self.due_us = self.due_us.min(now_us.saturating_add(gap_us));
            self.last_offer_us = 0;
        }
        self.gap_us = gap_us;
    }

    /// When the next refused entry asks again.
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

/// The buckets of one leader.
#[derive(Debug)]
pub struct RateLimiter {
    starts_ms: u64,
    buckets: BTreeMap<ReplicaLife, TokenBucket>,
}

impl RateLimiter {
    /// The limiter of a leader that leads since `now_ms`.
    pub fn new(now_ms: u64) -> Self {
        Self {
            starts_ms: now_ms + COUNT_WINDOW_MS + PERMIT_VALIDITY_MS,
            buckets: BTreeMap::new(),
        }
    }

    /// Lets one request go to a replica that takes one in `gap_us`, or returns for how long an
    /// entry waits until it asks again, in milliseconds.
    pub fn try_acquire(
        &mut self,
        now_ms: u64,
        replica: &ReplicaLife,
        gap_us: u64,
    ) -> Result<(), u64> {
        if now_ms < self.starts_ms {
            return Err(self.starts_ms - now_ms);
        }
        let now_us = now_ms.saturating_mul(1_000);
        self.forget_idle(now_us);
        let bucket = self.buckets.entry(replica.clone()).or_default();
        bucket.set_gap(now_us, gap_us);
        // As if requests had gone evenly until now, but for the few that may go at once.
        let burst_us = gap_us.saturating_mul(BURST - 1);
        let due_us = bucket.due_us.max(now_us.saturating_sub(burst_us));
        if due_us <= now_us {
            bucket.due_us = due_us.saturating_add(gap_us);
            return Ok(());
        }
        // Each refused entry is told a time of its own: if all came back for the next request,
        // all but one would have asked in vain.
        let wait_us = bucket.next_offer_us(now_us, due_us) - now_us;
        Err(wait_us.div_ceil(1_000).min(MAX_WAIT_MS))
    }

    /// Empties a replica's bucket: what was saved up under another rate does not count.
    pub fn clear_tokens(&mut self, now_ms: u64, replica: &ReplicaLife, gap_us: u64) {
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
