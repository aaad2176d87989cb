//! Rate limits of replicas over all entries: the warm-up rate of their service, and the rates that
//! replicas advertise. If both apply, the lower rate counts.
//!
//! This is the state of one leader; see [`crate::placement::rate_limit`] and
//! [`crate::placement::advertised_limits`].

use serde::{Deserialize, Serialize};

use crate::ids::{ReplicaIncarnation, ServiceName, Term};
use crate::placement::advertised_limits::{
    AdvertisedLimits, IncarnationState, LimitCursor, LimitObservation, LimitPage, LimitReport,
    PermitStamp,
};
use crate::placement::advertised_rate::AdvertisedRate;
use crate::placement::rate_limit::RateLimiter;
use crate::table::configuration::WarmupSpec;

/// Time after which an entry that has not synchronized its limits with this leader requests a
/// permit again, in milliseconds.
const SYNC_RETRY_MS: u64 = 100;
/// Time between two prunings, in milliseconds.
const PRUNE_INTERVAL_MS: u64 = 1_000;

/// Request of an entry for a permit to send one request to a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The replica.
    pub replica: ReplicaIncarnation,
    /// Service of the replica.
    pub service: ServiceName,
    /// The replica is warming up, as far as the entry knows.
    pub is_cold: bool,
    /// The replica advertises a rate limit, as far as the entry knows.
    pub is_limited: bool,
    /// The last response with a limit that the entry received.
    pub observed: Option<LimitObservation>,
    /// Changes of limits that the entry has.
    pub cursor: LimitCursor,
}

/// Reply to a permit request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitReply {
    /// One request may be sent.
    Granted(PermitStamp),
    /// No request may be sent now.
    Refused(PermitRefusal),
}

/// Refusal of a permit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRefusal {
    /// Time until the entry is to request a permit again, in milliseconds.
    pub wait_ms: u64,
    /// The rate that the replica advertises, as far as the leader knows.
    pub rate: Option<AdvertisedRate>,
}

/// Rate limits as one leader knows them.
#[derive(Debug)]
pub struct ReplicaRateLimits {
    limits: AdvertisedLimits,
    limiter: RateLimiter,
    prune_due_ms: u64,
}

impl ReplicaRateLimits {
    /// Creates the rate limits of a leader of this term that leads since `now_ms`.
    pub fn new(term: Term, now_ms: u64) -> Self {
        Self {
            limits: AdvertisedLimits::new(term, now_ms),
            limiter: RateLimiter::new(now_ms),
            prune_due_ms: now_ms,
        }
    }

    /// Handles a permit request; `warm_up` is the warm-up setting of the replica's service.
    pub fn permit(
        &mut self,
        now_ms: u64,
        request: &PermitRequest,
        warm_up: Option<WarmupSpec>,
    ) -> PermitReply {
        if let Some(observation) = &request.observed {
            self.observe(now_ms, observation);
        }
        // The entry must first report to this leader the limits that it knows from the previous
        // one.
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
            // No limit applies any more, which the entry does not know yet.
            None => Ok(()),
        };
        match taken {
            Ok(()) => PermitReply::Granted(self.limits.stamp(now_ms)),
            Err(wait_ms) => PermitReply::Refused(PermitRefusal { wait_ms, rate }),
        }
    }

    /// Records the limits that an entry has observed. Returns the changes for the entry.
    pub fn report(&mut self, now_ms: u64, report: &LimitReport) -> LimitPage {
        for observation in &report.observed {
            self.observe(now_ms, observation);
        }
        for end in &report.ended {
            if self.limits.observe_end(now_ms, end) {
                tracing::info!(replica = %end.replica, "rate limit of a replica ended");
            }
        }
        self.limits.report(now_ms, report)
    }

    /// Returns the changes since an entry's cursor.
    pub fn page(&self, now_ms: u64, cursor: LimitCursor) -> LimitPage {
        self.limits.page(now_ms, cursor)
    }

    /// Returns the revision of the last change of limits.
    pub fn revision(&self) -> u64 {
        self.limits.revision()
    }

    /// Returns the replicas that advertise a rate limit.
    pub fn limited(&self) -> impl Iterator<Item = &ReplicaIncarnation> {
        self.limits.limited()
    }

    /// Removes state that is no longer needed, at most once per second.
    pub fn prune(
        &mut self,
        now_ms: u64,
        state_of: impl Fn(&ReplicaIncarnation) -> IncarnationState,
    ) {
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
        tracing::info!(%replica, per_s, age_ms = observation.age_ms, "replica advertises a rate limit");
    }
}
