//! Whether a request may be sent to a replica: checked when the replica is chosen, and again right
//! before the request is written. Considers backoff and draining announced by the replica, rate
//! limits, and evacuated data halls.

use std::collections::{BTreeMap, BTreeSet};

use crate::consensus::directory::{ReplicaPhase, ReplicaRecord};
use crate::forward::permits::RatePermit;
use crate::forward::replica_state::ReplicaState;
use crate::ids::{HallName, ReplicaId, ReplicaIncarnation, ServiceName};
use crate::routing::backoff::{Blocked, RequestedBackoff, SendSlot, SlotOutcome};
use crate::routing::limited_peers::LimitedPeers;
use crate::routing::permit_throttle::PermitThrottle;
use crate::table::configuration::ServiceSpec;

use super::{Choice, ReplicaTable};

/// Why nothing may be sent to a replica now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendBlock {
    /// An operator evacuated its data hall.
    Evacuated,
    /// It warms up or advertises a rate limit, and no permit is available now.
    RateLimited {
        /// Time until the next permit may be requested, in milliseconds.
        left_ms: u64,
    },
    /// The replica announced this in a response.
    Asked(Blocked),
}

impl ReplicaTable {
    /// Records that a replica requested a backoff.
    pub fn back_off(&mut self, now_ms: u64, id: &ReplicaId, requested: RequestedBackoff) {
        self.backoffs.back_off(now_ms, id, requested);
    }

    /// Records that a replica is draining. Returns whether this was not known before.
    pub fn record_draining(&mut self, now_ms: u64, incarnation: &ReplicaIncarnation) -> bool {
        let known = self.is_draining(incarnation);
        self.backoffs
            .record_draining(now_ms, &incarnation.id, incarnation.started_ms);
        !known
    }

    /// Whether a replica has announced that it is draining.
    pub fn is_draining(&self, incarnation: &ReplicaIncarnation) -> bool {
        self.backoffs
            .is_draining(&incarnation.id, incarnation.started_ms)
    }

    /// Makes the final check before a request is sent to a replica. `permit` is the leader's
    /// permit, if one was requested.
    pub fn claim(
        &mut self,
        now_ms: u64,
        incarnation: &ReplicaIncarnation,
        permit: Option<RatePermit>,
    ) -> Result<SendSlot, SendBlock> {
        let permit = permit.filter(|permit| permit.is_valid_for(now_ms, incarnation));
        let record = self.record(&incarnation.id);
        if record.is_some_and(|record| self.is_evacuated(record)) {
            return Err(SendBlock::Evacuated);
        }
        let cold = record.is_some_and(|record| self.warms_up(now_ms, record));
        if permit.is_none() && (cold || self.limits.is_limited(incarnation)) {
            return Err(SendBlock::RateLimited { left_ms: 0 });
        }
        let claimed = self
            .backoffs
            .acquire(now_ms, &incarnation.id, incarnation.started_ms);
        claimed.map_err(SendBlock::Asked)
    }

    /// Whether each request to a replica needs a permit from the leader.
    pub fn needs_permit(&self, now_ms: u64, id: &ReplicaId) -> bool {
        self.record(id)
            .is_some_and(|record| self.is_rate_limited(now_ms, record))
    }

    fn is_rate_limited(&self, now_ms: u64, record: &ReplicaRecord) -> bool {
        self.warms_up(now_ms, record) || self.limits.is_limited(&record.incarnation())
    }

    /// Returns the rate limits that replicas advertise.
    pub fn limits(&self) -> &LimitedPeers {
        &self.limits
    }

    /// Returns the same, mutably.
    pub fn limits_mut(&mut self) -> &mut LimitedPeers {
        &mut self.limits
    }

    /// Whether a replica is warming up.
    pub fn is_cold(&self, now_ms: u64, id: &ReplicaId) -> bool {
        self.record(id)
            .is_some_and(|record| self.warms_up(now_ms, record))
    }

    fn warms_up(&self, now_ms: u64, record: &ReplicaRecord) -> bool {
        let silent = record.phase == ReplicaPhase::Silent;
        let limited = self.warm_up_specs.contains_key(&record.service);
        limited && (silent || self.warm_ups.is_cold(now_ms, &record.id))
    }

    pub(super) fn is_evacuated(&self, record: &ReplicaRecord) -> bool {
        self.evacuated.contains(&record.hall)
    }

    /// Returns the limiter of permit requests, mutably.
    pub fn permit_throttle_mut(&mut self) -> &mut PermitThrottle<ReplicaId> {
        &mut self.permit_throttle
    }

    /// Records that a replica could not be reached or lost the connection: it may have restarted
    /// and be warming up.
    pub fn suspect_restart(&mut self, now_ms: u64, id: &ReplicaId) {
        let record = self.record(id);
        let spec = record.and_then(|record| self.warm_up_specs.get(&record.service));
        if let Some(spec) = spec {
            self.warm_ups.suspect_restart(now_ms, id, spec.lasts_ms);
        }
    }

    /// Ends a claim: the request has its response, or was abandoned.
    pub fn release(&mut self, now_ms: u64, id: &ReplicaId, claim: SendSlot, end: SlotOutcome) {
        self.backoffs.release(now_ms, id, claim, end);
    }

    /// Drops expired state, and the limits of replicas that have restarted since.
    pub fn prune(&mut self, now_ms: u64) {
        self.backoffs.prune(now_ms);
        self.warm_ups.prune(now_ms);
        self.permit_throttle.prune(now_ms);
        let states = &self.states;
        let is_over = |incarnation: &ReplicaIncarnation| {
            let known = states.get(&incarnation.id);
            known.is_some_and(|state| state.record.started_ms > incarnation.started_ms)
        };
        self.limits.prune(is_over);
    }

    /// Returns why nothing may be sent to a replica now, if anything blocks it.
    pub(super) fn block(&self, state: &ReplicaState, now_ms: u64) -> Option<SendBlock> {
        let record = &state.record;
        match self
            .backoffs
            .blocked_by(now_ms, &record.id, record.started_ms)
        {
            _ if self.is_evacuated(record) => Some(SendBlock::Evacuated),
            Some(block) => Some(SendBlock::Asked(block)),
            None if self.is_rate_limited(now_ms, record) => {
                let left_ms = self.permit_throttle.wait_ms(now_ms, &record.id)?;
                Some(SendBlock::RateLimited { left_ms })
            }
            None => None,
        }
    }

    /// Replaces the warm-up settings of services.
    pub fn update_services(&mut self, services: &BTreeMap<ServiceName, ServiceSpec>) {
        let specs = services.iter();
        let limited = specs.filter_map(|(name, spec)| Some((name.clone(), spec.warm_up?)));
        self.warm_up_specs = limited.collect();
    }

    /// Replaces the set of evacuated data halls. Returns whether it changed.
    pub fn update_evacuated(&mut self, evacuated: &BTreeSet<HallName>) -> bool {
        let is_news = self.evacuated != *evacuated;
        if is_news {
            self.evacuated = evacuated.clone();
        }
        is_news
    }

    /// Returns the replicas that nothing blocks, or the choice that is left if all are blocked.
    pub(super) fn unblocked<'a>(
        &self,
        candidates: &[&'a ReplicaState],
        now_ms: u64,
    ) -> Result<Vec<&'a ReplicaState>, Choice> {
        let mut open = Vec::new();
        let mut otherwise = Choice::Absent;
        for &state in candidates {
            match self.block(state, now_ms) {
                None => open.push(state),
                Some(block) => otherwise = earlier_choice(otherwise, block),
            }
        }
        match open.is_empty() {
            true => Err(otherwise),
            false => Ok(open),
        }
    }
}

/// Combines the choice without a blocked replica with what the block allows: the one that is
/// available earlier wins.
fn earlier_choice(choice: Choice, block: SendBlock) -> Choice {
    use SendBlock::{Asked, Evacuated, RateLimited};
    match (choice, block) {
        // A reopening replica shows within some hundred milliseconds whether it has free capacity.
        (Choice::Full, _) | (_, Asked(Blocked::Reopening)) => Choice::Full,
        (Choice::Absent, Evacuated) => Choice::Evacuated,
        (choice, Evacuated | Asked(Blocked::Leaving)) => choice,
        (
            choice @ (Choice::BackingOff(known_ms) | Choice::RateLimited(known_ms)),
            Asked(Blocked::Paused { left_ms }) | RateLimited { left_ms },
        ) if known_ms <= left_ms => choice,
        (_, Asked(Blocked::Paused { left_ms })) => Choice::BackingOff(left_ms),
        (_, RateLimited { left_ms }) => Choice::RateLimited(left_ms),
    }
}

pub(super) fn block_text(block: Option<SendBlock>) -> String {
    use SendBlock::{Asked, Evacuated, RateLimited};
    match block {
        Some(Evacuated) => "in an evacuated hall".to_owned(),
        Some(RateLimited { left_ms }) => format!("rate limited, next permit in {left_ms} ms"),
        Some(Asked(Blocked::Paused { left_ms })) => format!("backing off for {left_ms} ms more"),
        Some(Asked(Blocked::Reopening)) => "reopening after a backoff".to_owned(),
        Some(Asked(Blocked::Leaving)) => "shutting down".to_owned(),
        None => "open".to_owned(),
    }
}
