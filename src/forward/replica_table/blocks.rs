//! Whether a replica may be sent to: asked when it is chosen, and again right before the bytes
//! leave. What it asked for, whether it takes few requests, and whether its data hall is open.

use std::collections::{BTreeMap, BTreeSet};

use crate::consensus::directory::{ReplicaPhase, ReplicaRecord};
use crate::forward::permits::RatePermit;
use crate::forward::replica_state::ReplicaState;
use crate::ids::{HallName, ReplicaId, ReplicaLife, ServiceName};
use crate::routing::backoff::{AskedPause, ClaimEnd, SendBar, SendClaim};
use crate::routing::limited_peers::LimitedPeers;
use crate::routing::permit_pace::PermitPace;
use crate::table::configuration::ServiceSpec;

use super::{Choice, ReplicaTable};

/// Why nothing may be sent to a replica now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendBlock {
    /// An operator wants nothing sent to its data hall.
    Evacuated,
    /// It warms up or names a limit, and has got what it takes.
    RateLimited {
        /// Until it may be asked for again, in milliseconds.
        left_ms: u64,
    },
    /// It asked for that itself.
    Asked(SendBar),
}

impl ReplicaTable {
    /// A replica asks to be left alone.
    pub fn back_off(&mut self, now_ms: u64, id: &ReplicaId, requested: AskedPause) {
        self.backoffs.pause(now_ms, id, requested);
    }

    /// A replica says that it leaves. Returns whether that is news.
    pub fn record_draining(&mut self, now_ms: u64, incarnation: &ReplicaLife) -> bool {
        let known = self.is_draining(incarnation);
        self.backoffs
            .leave(now_ms, &incarnation.id, incarnation.born_ms);
        !known
    }

    /// Whether a replica has said that it leaves.
    pub fn is_draining(&self, incarnation: &ReplicaLife) -> bool {
        self.backoffs.leaves(&incarnation.id, incarnation.born_ms)
    }

    /// The last look, right before a request leaves for a replica; `permit` is the leader's,
    /// where it was asked.
    pub fn claim(
        &mut self,
        now_ms: u64,
        incarnation: &ReplicaLife,
        permit: Option<RatePermit>,
    ) -> Result<SendClaim, SendBlock> {
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
            .claim(now_ms, &incarnation.id, incarnation.born_ms);
        claimed.map_err(SendBlock::Asked)
    }

    /// Whether the leader is asked for each request to a replica.
    pub fn needs_permit(&self, now_ms: u64, id: &ReplicaId) -> bool {
        self.record(id)
            .is_some_and(|record| self.is_rate_limited(now_ms, record))
    }

    fn is_rate_limited(&self, now_ms: u64, record: &ReplicaRecord) -> bool {
        self.warms_up(now_ms, record) || self.limits.is_limited(&record.life())
    }

    /// Which replicas name a limit.
    pub fn limits(&self) -> &LimitedPeers {
        &self.limits
    }

    /// The same, to be changed.
    pub fn limits_mut(&mut self) -> &mut LimitedPeers {
        &mut self.limits
    }

    /// Whether a replica warms up.
    pub fn is_cold(&self, now_ms: u64, id: &ReplicaId) -> bool {
        self.record(id)
            .is_some_and(|record| self.warms_up(now_ms, record))
    }

    fn warms_up(&self, now_ms: u64, record: &ReplicaRecord) -> bool {
        let silent = record.phase == ReplicaPhase::Silent;
        let limited = self.warm_up_specs.contains_key(&record.service);
        limited && (silent || self.warm_ups.is_cold(now_ms, &record.id))
    }

    fn is_evacuated(&self, record: &ReplicaRecord) -> bool {
        self.evacuated.contains(&record.hall)
    }

    /// When permits for replicas that take few requests may be asked for.
    pub fn permit_pace_mut(&mut self) -> &mut PermitPace<ReplicaId> {
        &mut self.permit_pace
    }

    /// A replica could not be reached, or broke off: it may be another one by now, that has
    /// just started.
    pub fn suspect_restart(&mut self, now_ms: u64, id: &ReplicaId) {
        let record = self.record(id);
        let spec = record.and_then(|record| self.warm_up_specs.get(&record.service));
        if let Some(spec) = spec {
            self.warm_ups.suspect(now_ms, id, spec.lasts_ms);
        }
    }

    /// A request that was let through is answered, or given up.
    pub fn release(&mut self, now_ms: u64, id: &ReplicaId, claim: SendClaim, end: ClaimEnd) {
        self.backoffs.release(now_ms, id, claim, end);
    }

    /// Forgets what is known of replicas, where it says nothing any more.
    pub fn prune(&mut self, now_ms: u64) {
        self.backoffs.prune(now_ms);
        self.warm_ups.prune(now_ms);
        self.permit_pace.prune(now_ms);
        let states = &self.states;
        let is_over = |incarnation: &ReplicaLife| {
            let known = states.get(&incarnation.id);
            known.is_some_and(|state| state.record.born_ms > incarnation.born_ms)
        };
        self.limits.prune(is_over);
    }

    /// Why nothing may be sent to a replica now.
    pub(super) fn block(&self, state: &ReplicaState, now_ms: u64) -> Option<SendBlock> {
        let record = &state.record;
        match self.backoffs.bar(now_ms, &record.id, record.born_ms) {
            _ if self.is_evacuated(record) => Some(SendBlock::Evacuated),
            Some(block) => Some(SendBlock::Asked(block)),
            None if self.is_rate_limited(now_ms, record) => {
                let left_ms = self.permit_pace.left_ms(now_ms, &record.id)?;
                Some(SendBlock::RateLimited { left_ms })
            }
            None => None,
        }
    }

    /// Takes over how replicas of services warm up.
    pub fn update_services(&mut self, services: &BTreeMap<ServiceName, ServiceSpec>) {
        let specs = services.iter();
        let limited = specs.filter_map(|(name, spec)| Some((name.clone(), spec.warm_up?)));
        self.warm_up_specs = limited.collect();
    }

    /// Takes over which data halls are to get nothing. Returns whether that is news.
    pub fn update_evacuated(&mut self, evacuated: &BTreeSet<HallName>) -> bool {
        let is_news = self.evacuated != *evacuated;
        if is_news {
            self.evacuated = evacuated.clone();
        }
        is_news
    }

    /// Of some replicas, those that nothing bars; else what is left to choose.
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

/// Of what is left to choose without another replica, and with one that is barred, what comes
/// sooner.
fn earlier_choice(choice: Choice, block: SendBlock) -> Choice {
    use SendBlock::{Asked, Evacuated, RateLimited};
    match (choice, block) {
        // It shows within some hundred milliseconds whether it has room.
        (Choice::Full, _) | (_, Asked(SendBar::Reopening)) => Choice::Full,
        (Choice::Absent, Evacuated) => Choice::Evacuated,
        (choice, Evacuated | Asked(SendBar::Leaving)) => choice,
        (
            choice @ (Choice::Paused(known_ms) | Choice::RateLimited(known_ms)),
            Asked(SendBar::Paused { left_ms }) | RateLimited { left_ms },
        ) if known_ms <= left_ms => choice,
        (_, Asked(SendBar::Paused { left_ms })) => Choice::Paused(left_ms),
        (_, RateLimited { left_ms }) => Choice::RateLimited(left_ms),
    }
}

pub(super) fn block_text(block: Option<SendBlock>) -> String {
    use SendBlock::{Asked, Evacuated, RateLimited};
    match block {
        Some(Evacuated) => "in an evacuated hall".to_owned(),
        Some(RateLimited { left_ms }) => format!("takes few requests, the next in {left_ms} ms"),
        Some(Asked(SendBar::Paused { left_ms })) => format!("asked for {left_ms} ms more of pause"),
        Some(Asked(SendBar::Reopening)) => "opens again after a pause".to_owned(),
        Some(Asked(SendBar::Leaving)) => "says that it leaves".to_owned(),
        None => "open".to_owned(),
    }
}
