//! What replicas get that take few requests, over all entries together: those that warm up, by
//! the rate of their service, and those that name a limit. Where both hold, the lower rate
//! counts.
//!
//! One leader's state; see [`crate::placement::rate_limit`] and
//! [`crate::placement::named_limits`].

use serde::{Deserialize, Serialize};

use crate::ids::{ReplicaLife, ServiceName, Term};
use crate::placement::named_limits::{
    AdvertisedLimits, IncarnationState, LimitCursor, LimitObservation, LimitPage, LimitReport,
    PermitStamp,
};
use crate::placement::named_rate::AdvertisedRate;
use crate::placement::rate_limit::RateLimiter;
use crate::table::configuration::WarmupSpec;

/// When an entry asks again that has not heard of this leader, in milliseconds.
const SYNC_RETRY_MS: u64 = 100;
/// Time between two looks at what can be forgotten, in milliseconds.
const PRUNE_INTERVAL_MS: u64 = 1_000;

/// An entry asks to send one request to a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The replica.
    pub replica: ReplicaLife,
    /// Its service.
    pub service: ServiceName,
    /// It warms up, as far as the entry knows.
    pub is_cold: bool,
    /// It names a limit, as far as the entry knows.
    pub is_limited: bool,
    /// The last answer with a limit that the entry heard.
    pub observed: Option<LimitObservation>,
    /// The changes of limits that the entry has.
    pub cursor: LimitCursor,
}

/// What the leader says to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitReply {
    /// One request may go there.
    Granted(PermitStamp),
    /// None may for now.
    Refused(PermitRefusal),
}

/// Why a permit is not given, and for how long.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRefusal {
    /// Time until the entry asks again, in milliseconds.
    pub wait_ms: u64,
    /// The limit that the replica names, as the leader knows it.
    pub rate: Option<AdvertisedRate>,
}

/// Rates and limits as one leader knows them.
#[derive(Debug)]
pub struct ReplicaRateLimits {
    limits: AdvertisedLimits,
    limiter: RateLimiter,
    prune_due_ms: u64,
}

impl ReplicaRateLimits {
    /// Those of a leader of this term, who leads since `now_ms`.
    pub fn new(term: Term, now_ms: u64) -> Self {
        Self {
            limits: AdvertisedLimits::new(term, now_ms),
            limiter: RateLimiter::new(now_ms),
            prune_due_ms: now_ms,
        }
    }

    /// Answers a request for a permit; `warm_up` is what the replica's service names.
    pub fn permit(
        &mut self,
        now_ms: u64,
        request: &PermitRequest,
        warm_up: Option<WarmupSpec>,
    ) -> PermitReply {
        if let Some(observation) = &request.observed {
            self.observe(now_ms, observation);
        }
        // The entry tells this leader first what it knows by the one before.
        if request.is_limited && !self.limits.is_current(request.cursor) {
            return PermitReply::Refused(PermitRefusal {
                wait_ms: SYNC_RETRY_MS,
                rate: None,
            });
        }
        let warm_up = warm_up.filter(|_| request.is_cold);
        let cold_us = warm_up.map(|spec| spec.request_gap_ms.saturating_mul(1_000));
        let rate = self.limits.rate(&request.replica);
        let taken = match cold_us.max(rate.map(|rate| rate.gap_us)) {
            Some(gap_us) => self.limiter.try_acquire(now_ms, &request.replica, gap_us),
            // The entry has not heard yet that it may send freely.
            None => Ok(()),
        };
        match taken {
            Ok(()) => PermitReply::Granted(self.limits.stamp(now_ms)),
            Err(wait_ms) => PermitReply::Refused(PermitRefusal { wait_ms, rate }),
        }
    }

    /// Takes what an entry heard of limits. Returns what changed for it.
    pub fn report(&mut self, now_ms: u64, report: &LimitReport) -> LimitPage {
        for observation in &report.observed {
            self.observe(now_ms, observation);
        }
        for end in &report.ended {
            if self.limits.observe_end(now_ms, end) {
                tracing::info!(replica = %end.replica, "limit of a replica ended");
            }
        }
        self.limits.report(now_ms, report)
    }

    /// What changed since an entry's last page.
    pub fn page(&self, now_ms: u64, cursor: LimitCursor) -> LimitPage {
        self.limits.page(now_ms, cursor)
    }

    /// The last change of limits.
    pub fn revision(&self) -> u64 {
        self.limits.revision()
    }

    /// Replicas that name a limit.
    pub fn limited(&self) -> impl Iterator<Item = &ReplicaLife> {
        self.limits.limited()
    }

    /// Forgets what is over, once in a while.
    pub fn prune(&mut self, now_ms: u64, state_of: impl Fn(&ReplicaLife) -> IncarnationState) {
        if now_ms >= self.prune_due_ms {
            self.prune_due_ms = now_ms + PRUNE_INTERVAL_MS;
            self.limits.prune(now_ms, state_of);
        }
    }

    fn observe(&mut self, now_ms: u64, observation: &LimitObservation) {
        if !self.limits.observe(now_ms, observation) {
            return;
        }
        self.limiter
            .clear_tokens(now_ms, &observation.replica, observation.rate.gap_us);
        let (replica, per_s) = (&observation.replica, observation.rate.per_s());
        tracing::info!(%replica, per_s, age_ms = observation.age_ms, "replica names a limit");
    }
}
