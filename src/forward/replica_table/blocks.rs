//! Whether a replica may be sent to: asked when it is chosen, and again right before the bytes
//! leave. What it asked for, whether it takes few requests, and whether its data hall is open.

use std::collections::{BTreeMap, BTreeSet};

use crate::consensus::directory::{ReplicaPhase, ReplicaRecord};
use crate::forward::permits::RatePermit;
use crate::forward::replica_state::ReplicaNote;
use crate::ids::{HallName, ReplicaId, ReplicaLife, ServiceName};
use crate::routing::backoff::{AskedPause, ClaimEnd, SendBar, SendClaim};
use crate::routing::limited_peers::LimitedPeers;
use crate::routing::permit_pace::PermitPace;
use crate::table::configuration::ServiceSpec;

use super::{Choice, ReplicaBook};

/// Why nothing may be sent to a replica now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaBar {
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

impl ReplicaBook {
    /// A replica asks to be left alone.
    pub fn pause(&mut self, now_ms: u64, id: &ReplicaId, asked: AskedPause) {
        self.backoffs.pause(now_ms, id, asked);
    }

    /// A replica says that it leaves. Returns whether that is news.
    pub fn leave(&mut self, now_ms: u64, life: &ReplicaLife) -> bool {
        let known = self.leaves(life);
        self.backoffs.leave(now_ms, &life.id, life.born_ms);
        !known
    }

    /// Whether a replica has said that it leaves.
    pub fn leaves(&self, life: &ReplicaLife) -> bool {
        self.backoffs.leaves(&life.id, life.born_ms)
    }

    /// The last look, right before a request leaves for a replica; `permit` is the leader's,
    /// where it was asked.
    pub fn claim(
        &mut self,
        now_ms: u64,
        life: &ReplicaLife,
        permit: Option<RatePermit>,
    ) -> Result<SendClaim, ReplicaBar> {
        let permit = permit.filter(|permit| permit.holds(now_ms, life));
        let record = self.record(&life.id);
        if record.is_some_and(|record| self.is_evacuated(record)) {
            return Err(ReplicaBar::Evacuated);
        }
        let cold = record.is_some_and(|record| self.warms_up(now_ms, record));
        if permit.is_none() && (cold || self.limits.is_limited(life)) {
            return Err(ReplicaBar::RateLimited { left_ms: 0 });
        }
        let claimed = self.backoffs.claim(now_ms, &life.id, life.born_ms);
        claimed.map_err(ReplicaBar::Asked)
    }

    /// Whether the leader is asked for each request to a replica.
    pub fn needs_permit(&self, now_ms: u64, id: &ReplicaId) -> bool {
        self.record(id)
            .is_some_and(|record| self.takes_few(now_ms, record))
    }

    fn takes_few(&self, now_ms: u64, record: &ReplicaRecord) -> bool {
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
    pub fn pace_mut(&mut self) -> &mut PermitPace<ReplicaId> {
        &mut self.permit_pace
    }

    /// A replica could not be reached, or broke off: it may be another one by now, that has
    /// just started.
    pub fn suspect_start(&mut self, now_ms: u64, id: &ReplicaId) {
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
        let notes = &self.notes;
        let is_over = |life: &ReplicaLife| {
            let known = notes.get(&life.id);
            known.is_some_and(|note| note.record.born_ms > life.born_ms)
        };
        self.limits.prune(is_over);
    }

    /// Why nothing may be sent to a replica now.
    pub(super) fn bar(&self, note: &ReplicaNote, now_ms: u64) -> Option<ReplicaBar> {
        let record = &note.record;
        match self.backoffs.bar(now_ms, &record.id, record.born_ms) {
            _ if self.is_evacuated(record) => Some(ReplicaBar::Evacuated),
            Some(bar) => Some(ReplicaBar::Asked(bar)),
            None if self.takes_few(now_ms, record) => {
                let left_ms = self.permit_pace.left_ms(now_ms, &record.id)?;
                Some(ReplicaBar::RateLimited { left_ms })
            }
            None => None,
        }
    }

    /// Takes over how replicas of services warm up.
    pub fn follow_services(&mut self, services: &BTreeMap<ServiceName, ServiceSpec>) {
        let specs = services.iter();
        let limited = specs.filter_map(|(name, spec)| Some((name.clone(), spec.warm_up?)));
        self.warm_up_specs = limited.collect();
    }

    /// Takes over which data halls are to get nothing. Returns whether that is news.
    pub fn follow_halls(&mut self, evacuated: &BTreeSet<HallName>) -> bool {
        let is_news = self.evacuated != *evacuated;
        if is_news {
            self.evacuated = evacuated.clone();
        }
        is_news
    }

    /// Of some replicas, those that nothing bars; else what is left to choose.
    pub(super) fn unbarred<'a>(
        &self,
        suited: &[&'a ReplicaNote],
        now_ms: u64,
    ) -> Result<Vec<&'a ReplicaNote>, Choice> {
        let mut open = Vec::new();
        let mut otherwise = Choice::Absent;
        for &note in suited {
            match self.bar(note, now_ms) {
                None => open.push(note),
                Some(bar) => otherwise = sooner(otherwise, bar),
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
fn sooner(choice: Choice, bar: ReplicaBar) -> Choice {
    use ReplicaBar::{Asked, Evacuated, RateLimited};
    match (choice, bar) {
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

pub(super) fn bar_text(bar: Option<ReplicaBar>) -> String {
    use ReplicaBar::{Asked, Evacuated, RateLimited};
    match bar {
        Some(Evacuated) => "in an evacuated hall".to_owned(),
        Some(RateLimited { left_ms }) => format!("takes few requests, the next in {left_ms} ms"),
        Some(Asked(SendBar::Paused { left_ms })) => format!("asked for {left_ms} ms more of pause"),
        Some(Asked(SendBar::Reopening)) => "opens again after a pause".to_owned(),
        Some(Asked(SendBar::Leaving)) => "says that it leaves".to_owned(),
        None => "open".to_owned(),
    }
}
