//! State that an entry keeps of each replica, and the choice of a replica for a request.
//!
//! Pure: the caller passes in the time. A replica's load is the last one it reported in a response,
//! corrected by this entry's own requests since then; the part caused by other entries fades with
//! the age of the report.

mod blocks;
mod cost;
pub mod queue_room;
mod quotes;

use std::collections::{BTreeMap, BTreeSet};

use crate::consensus::directory::{ReplicaPhase, ReplicaRecord};
use crate::consensus::software_versions::{NamedVersions, SoftwareVersion};
use crate::forward::answer_separation::AnswerStats;
use crate::forward::locality::EntryLocation;
use crate::forward::need::URGENCY_LEVELS;
pub use crate::forward::need::{ChoicePolicy, Need};
use crate::forward::prefix_reuse::ReuseStats;
use crate::forward::replica_state::{
    CONGESTION_TTL_MS, CongestionSample, PrefillTime, ReplicaState, ReportedLoad, START_FRACTION,
};
use crate::ids::{HallName, ReplicaId, ReplicaIncarnation, ServiceName};
use crate::placement::congestion::QueuedTokens;
use crate::routing::backoff::{BackoffTracker, Blocked};
use crate::routing::limited_peers::LimitedPeers;
use crate::routing::permit_throttle::PermitThrottle;
use crate::routing::warm_up::WarmupTracker;
use crate::table::configuration::WarmupSpec;
pub use blocks::SendBlock;
use cost::HomePreferences;
use queue_room::ServiceQueue;
pub use quotes::Quotes;

/// Result of choosing a replica for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// Send to this replica.
    Send(ReplicaId),
    /// This replica holds the model and has free capacity, but must load the adapter first.
    Fetch(ReplicaId),
    /// All candidates are at capacity.
    Full,
    /// Replicas with free capacity hold the model, but none has the adapter or can load it now.
    NoAdapter,
    /// All candidates requested a backoff; the first one ends after this many milliseconds.
    BackingOff(u64),
    /// All candidates are rate limited and have used up their rate; the first one may take another
    /// request after this many milliseconds.
    RateLimited(u64),
    /// All candidates are in evacuated data halls, and the request needs no model that could be
    /// loaded elsewhere.
    Evacuated,
    /// No replica holds the model.
    Absent,
}

/// Limits of a service's engines; all zero for services without engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineBounds {
    /// Tokens that fit into a replica's memory; 0 for no limit.
    pub memory: u64,
    /// Adapters that a replica holds at once.
    pub adapter_slots: u32,
}

/// Load that a replica reported in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run at once.
    pub slots: u32,
    /// Duration of work on the replica's host, in percent of the usual duration; `None` if not
    /// reported.
    pub work_percent: Option<u32>,
}

/// Parses a load header: running, waiting, slots and, optionally, the duration of work in percent.
pub fn parse_load(text: &str) -> Option<LoadReport> {
    let mut parts = text.split(',').map(|part| part.trim().parse::<u32>());
    let mut next = || parts.next()?.ok();
    let (running, waiting, slots) = (next()?, next()?, next()?);
    let work_percent = next();
    Some(LoadReport {
        running,
        waiting,
        slots,
        work_percent,
    })
}

/// Result of one attempt, as it affects the replica's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// A valid response.
    Good,
    /// The replica reported that it is full.
    Full,
    /// A server error, a malformed response, or no response in time.
    Failed,
    /// No connection could be opened.
    Unreached,
    /// Says nothing about the replica: the client disconnected, or the request ran out of time.
    Neutral,
}

/// A replica that is ejected: it is skipped for a while, after failures.
#[derive(Clone, Debug, PartialEq)]
pub struct Ejection {
    /// The ejected replica.
    pub replica: ReplicaId,
    /// Failure rate of the replica, from 0 to 1.
    pub failure_rate: f64,
    /// Length of the ejection, in milliseconds.
    pub duration_ms: u64,
    /// Result of the last attempt.
    pub end: AttemptResult,
}

/// Fraction of the time limit from which the predicted time to the first event triggers a report of
/// queued tokens to the leader.
const CONGESTION_FRACTION: f64 = 0.3;
/// Replicas described in one log line.
const MAX_DESCRIBED_REPLICAS: usize = 4;
/// Weight of the newest attempt in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.25;
/// Failure rate from which a replica is ejected.
const EJECT_FAILURE_RATE: f64 = 0.55;
/// How long no adapter is requested on a replica after the leader refused one, in milliseconds. A
/// fraction of the latency targets of 500 ms and more, within which a request waits for an adapter:
/// with 500 ms, a request that all homes had refused was never served.
const FETCH_REFUSED_MS: u64 = 150;
/// How long a replica that reported so is treated as full, in milliseconds.
const FULL_BACKOFF_MS: u64 = 100;

/// All replicas that an entry knows.
#[derive(Clone, Debug, Default)]
pub struct ReplicaTable {
    policy: ChoicePolicy,
    location: EntryLocation,
    states: BTreeMap<ReplicaId, ReplicaState>,
    new_ejections: Vec<Ejection>,
    answer_stats: BTreeMap<ServiceName, AnswerStats>,
    reuse_stats: BTreeMap<ServiceName, ReuseStats>,
    /// Services that have become prefill-bound, or no longer are, to be logged.
    prefill_bound_changes: Vec<(ServiceName, bool)>,
    service_queues: BTreeMap<ServiceName, ServiceQueue>,
    /// Shortest latency target of each service's routes.
    shortest_targets_ms: BTreeMap<ServiceName, u64>,
    /// Number of entries, once the leader has reported it.
    entries: Option<u32>,
    /// Per service, for replicas without measurements of their own.
    prefill_times: BTreeMap<ServiceName, PrefillTime>,
    /// Until when the leader's figures on congested replicas are valid.
    congestion_until_ms: u64,
    /// Backoff and draining that replicas announced in responses.
    backoffs: BackoffTracker<ReplicaId>,
    /// Which replicas are warming up.
    warm_ups: WarmupTracker<ReplicaId>,
    /// Which replicas advertise a rate limit.
    limits: LimitedPeers,
    /// When permits for rate-limited replicas may be requested.
    permit_throttle: PermitThrottle<ReplicaId>,
    /// Services whose replicas take fewer requests while they warm up.
    warm_up_specs: BTreeMap<ServiceName, WarmupSpec>,
    /// Data halls to whose replicas nothing is sent.
    evacuated: BTreeSet<HallName>,
}

impl ReplicaTable {
    /// Creates an empty table for an entry at the given location.
    pub fn new(policy: ChoicePolicy, location: EntryLocation) -> Self {
        Self {
            policy,
            location,
            states: BTreeMap::new(),
            new_ejections: Vec::new(),
            answer_stats: BTreeMap::new(),
            reuse_stats: BTreeMap::new(),
            prefill_bound_changes: Vec::new(),
            service_queues: BTreeMap::new(),
            shortest_targets_ms: BTreeMap::new(),
            entries: None,
            prefill_times: BTreeMap::new(),
            congestion_until_ms: 0,
            backoffs: BackoffTracker::default(),
            warm_ups: WarmupTracker::default(),
            limits: LimitedPeers::default(),
            permit_throttle: PermitThrottle::default(),
            warm_up_specs: BTreeMap::new(),
            evacuated: BTreeSet::new(),
        }
    }

    /// Returns the ejections since the last call, to be logged.
    pub fn take_ejections(&mut self) -> Vec<Ejection> {
        std::mem::take(&mut self.new_ejections)
    }

    /// Returns the services that have become prefill-bound, or no longer are, since the last call.
    pub fn take_prefill_bound_changes(&mut self) -> Vec<(ServiceName, bool)> {
        std::mem::take(&mut self.prefill_bound_changes)
    }

    /// Replaces the replica records by those of the log and drops replicas that are gone. A replica
    /// that restarted under its id begins with fresh state. Returns whether replicas have come, gone,
    /// restarted, or changed their service or phase.
    pub fn update_records(
        &mut self,
        now_ms: u64,
        records: &BTreeMap<ReplicaId, ReplicaRecord>,
    ) -> bool {
        let before = self.states.len();
        self.states.retain(|id, _| records.contains_key(id));
        let mut changed = self.states.len() < before;
        for (id, record) in records {
            let state = self.states.get_mut(id);
            let known = state.as_ref().map(|state| &state.record);
            if known == Some(record) {
                continue;
            }
            changed |= known.is_none_or(|known| is_other_run(known, record));
            if known.is_none_or(|known| known.warm_up_report() != record.warm_up_report()) {
                self.warm_ups.record_report(now_ms, id, record.cold_ms);
            }
            match state {
                Some(state) if state.record.started_ms != record.started_ms => state.reset(record),
                Some(state) => state.record = record.clone(),
                None => {
                    let state = ReplicaState::new(record.clone());
                    self.states.insert(id.clone(), state);
                }
            }
        }
        changed
    }

    /// Replaces the names of the replicas' software versions by those of the log. To be called after
    /// [`Self::update_records`], which resets the version of a replica that restarted. Returns whether
    /// a version has changed.
    pub fn update_versions(&mut self, named: &NamedVersions) -> bool {
        let mut changed = false;
        // Both are in the order of ids, so that nothing is looked up.
        let mut named = named.iter().peekable();
        for (id, state) in &mut self.states {
            let run = (id, state.record.started_ms);
            let is_before = |other: &ReplicaIncarnation| (&other.id, other.started_ms) < run;
            while named.next_if(|(other, _)| is_before(other)).is_some() {}
            let is_run = |other: &ReplicaIncarnation| (&other.id, other.started_ms) == run;
            let name = named.next_if(|(other, _)| is_run(other));
            let is_same = match (name, &state.version) {
                (Some((_, name)), SoftwareVersion::Named(known)) => known == name,
                (None, SoftwareVersion::Unnamed(known)) => is_run(known),
                _ => false,
            };
            if !is_same {
                let name = name.map(|(_, name)| SoftwareVersion::Named(name.clone()));
                let unnamed = || SoftwareVersion::Unnamed(state.record.incarnation());
                state.version = name.unwrap_or_else(unnamed);
                changed = true;
            }
        }
        changed
    }

    /// Returns the software version of a replica's current incarnation.
    pub fn version(&self, id: &ReplicaId) -> Option<&SoftwareVersion> {
        self.states.get(id).map(|state| &state.version)
    }

    /// Whether a replica of a service that is not draining runs a software version.
    pub fn runs_version(&self, service: &ServiceName, version: &SoftwareVersion) -> bool {
        self.states.values().any(|state| {
            state.record.service == *service
                && state.record.phase != ReplicaPhase::Draining
                && state.version == *version
        })
    }

    /// Returns the software versions that ready replicas of each service run.
    pub fn versions(&self) -> BTreeSet<(&ServiceName, &SoftwareVersion)> {
        let ready = self.states.values();
        let ready = ready.filter(|state| state.record.phase == ReplicaPhase::Ready);
        ready
            .map(|state| (&state.record.service, &state.version))
            .collect()
    }

    /// Returns the prompt and answer tokens of this entry's waiting requests, by replica.
    pub fn queued_tokens(&self) -> QueuedTokens {
        let tokens = |state: &ReplicaState| state.waiting_tokens.iter().sum::<u64>();
        let all = self.states.iter().map(|(id, state)| (id, tokens(state)));
        let waiting = all.filter(|(_, tokens)| *tokens > 0);
        waiting.map(|(id, tokens)| (id.clone(), tokens)).collect()
    }

    /// Records the leader's totals of queued tokens at congested replicas. `own` is the part that
    /// this entry had reported, which is subtracted.
    pub fn update_congestion(&mut self, now_ms: u64, own: &QueuedTokens, congested: &QueuedTokens) {
        self.congestion_until_ms = now_ms + CONGESTION_TTL_MS;
        for (id, state) in &mut self.states {
            let reported = congested.get(id).map(|tokens| CongestionSample {
                tokens: tokens.saturating_sub(own.get(id).copied().unwrap_or(0)),
                at_ms: now_ms,
            });
            state.congestion = reported.unwrap_or_default();
        }
    }

    /// Whether a request that was just sent makes an early report to the leader worthwhile: its
    /// response is predicted to start late, or the replica has no measurements yet.
    pub fn causes_congestion(&self, id: &ReplicaId, need: &Need, tokens_ahead: u64) -> bool {
        let state = self.states.get(id).filter(|_| need.model.is_some());
        state.is_some_and(|state| match state.prefill.smoothed_ms {
            Some(ms) => ms * tokens_ahead as f64 > need.limit_ms as f64 * CONGESTION_FRACTION,
            None => true,
        })
    }

    /// Returns the ids of all known replicas.
    pub fn ids(&self) -> impl Iterator<Item = &ReplicaId> {
        self.states.keys()
    }

    /// Estimates when a replica will have free capacity for a request, in milliseconds from now.
    /// `None` if no replica can serve it, or all that could are draining or evacuated.
    pub fn capacity_in_ms(&self, now_ms: u64, need: &Need) -> Option<u64> {
        let fade_ms = self.policy.fade_ms;
        let candidates = self
            .states
            .values()
            .filter(|state| self.can_serve(state, need));
        let waits = candidates.filter_map(|state| {
            let blocked_ms = match self.block(state, now_ms) {
                Some(SendBlock::Evacuated | SendBlock::Asked(Blocked::Leaving)) => return None,
                Some(
                    SendBlock::Asked(Blocked::Paused { left_ms })
                    | SendBlock::RateLimited { left_ms },
                ) => left_ms as f64,
                Some(SendBlock::Asked(Blocked::Reopening)) | None => 0.0,
            };
            let (waiting, running) = state.loads(now_ms, fade_ms);
            let full = waiting + running >= f64::from(state.slots);
            let tokens_ahead = state.tokens_ahead(need, now_ms, fade_ms);
            let predicted_ms = self.ms_per_token(state, need, now_ms) * tokens_ahead as f64;
            let excess_ms = predicted_ms - need.limit_ms as f64 * START_FRACTION;
            let capacity_ms = match full {
                true => excess_ms.max(need.limit_ms as f64),
                false => excess_ms.max(0.0),
            };
            Some(capacity_ms.max(blocked_ms))
        });
        let soonest = waits.min_by(f64::total_cmp)?;
        Some(soonest as u64)
    }

    /// Describes the replicas that could serve a request, for a log line: load, predicted start of
    /// the response, age of the load report, and what blocks them.
    pub fn describe(&self, now_ms: u64, need: &Need) -> String {
        let fade_ms = self.policy.fade_ms;
        let candidates = self
            .states
            .values()
            .filter(|state| self.can_serve(state, need));
        let lines = candidates.take(MAX_DESCRIBED_REPLICAS).map(|state| {
            let (waiting, running) = state.loads(now_ms, fade_ms);
            let tokens_ahead = state.tokens_ahead(need, now_ms, fade_ms) as f64;
            let predicted_ms = self.ms_per_token(state, need, now_ms) * tokens_ahead;
            let age_ms = now_ms.saturating_sub(state.reported.at_ms);
            let ejected_ms = state.ejected_until_ms.saturating_sub(now_ms);
            let gap_ms = state.event_gap.at(now_ms);
            let others = state.congestion.at(now_ms);
            format!(
                "{} waiting {waiting:.1} running {running:.1} of {} starts in {predicted_ms:.0} ms, \
                 others queued {others} tokens, event gap {gap_ms:.0} ms, load {age_ms} ms old, {:?}, ejected for {ejected_ms} ms, {}, adapter {}",
                state.record.id,
                state.slots,
                state.record.phase,
                blocks::block_text(self.block(state, now_ms)),
                self.holds_adapter(state, need)
            )
        });
        lines.collect::<Vec<String>>().join("; ")
    }

    /// Longest gap between two stream events that the replicas for a request show now, in
    /// milliseconds; 0 if this entry has seen none recently.
    pub fn event_gap_ms(&self, now_ms: u64, need: &Need) -> f64 {
        let candidates = self
            .states
            .values()
            .filter(|state| self.can_serve(state, need));
        let gaps = candidates.map(|state| state.event_gap.at(now_ms));
        gaps.fold(0.0, f64::max)
    }

    /// Returns the record of a replica.
    pub fn record(&self, id: &ReplicaId) -> Option<&ReplicaRecord> {
        self.states.get(id).map(|state| &state.record)
    }

    /// Chooses a replica for a request. `attempted` holds the replicas that this request has
    /// already tried.
    pub fn choose(
        &self,
        now_ms: u64,
        need: &Need,
        attempted: &BTreeSet<ReplicaId>,
        bounds: EngineBounds,
    ) -> Choice {
        self.choose_unquoted(now_ms, need, attempted, bounds, &Quotes::new())
    }

    /// Returns the replicas that may be tried now, whether or not they have free capacity, or the
    /// choice that is left if there are none. Also returns which of them the request prefers.
    fn remaining(
        &self,
        now_ms: u64,
        need: &Need,
        attempted: &BTreeSet<ReplicaId>,
        bounds: EngineBounds,
    ) -> Result<(Vec<&ReplicaState>, HomePreferences<'_>), Choice> {
        let all = self.states.values();
        let candidates: Vec<&ReplicaState> =
            all.filter(|state| self.can_serve(state, need)).collect();
        // Checked before any fallback to the remaining replicas: a backoff holds even for the last
        // replica.
        let open = match self.unblocked(&candidates, now_ms) {
            Ok(open) => open,
            // A model, unlike a plain service, can be loaded in another hall.
            Err(Choice::Evacuated) if need.model.is_some() => return Err(Choice::Absent),
            Err(choice) => return Err(choice),
        };
        let preferences = self.preferences(now_ms, &candidates, need, bounds.memory);
        let mut candidates = open;
        let untried = |state: &ReplicaState| !attempted.contains(&state.record.id);
        if candidates.iter().any(|state| untried(state)) {
            candidates.retain(|state| untried(state));
        }
        let healthy = |state: &ReplicaState| self.is_healthy(state, now_ms);
        if candidates.iter().any(|state| healthy(state)) {
            candidates.retain(|state| healthy(state));
        }
        // A replica that this request could not reach, or that failed it, is not tried again while
        // it is ejected; with a single replica the request would otherwise reconnect in a tight
        // loop.
        candidates.retain(|state| untried(state) || healthy(state));
        Ok((candidates, preferences))
    }

    /// Chooses among replicas with free capacity. `cheapest` and `is_lightly_loaded` judge them by
    /// what is known of their load.
    fn choose_among<'a>(
        &self,
        candidates: &[&'a ReplicaState],
        need: &Need,
        now_ms: u64,
        bounds: EngineBounds,
        cheapest: impl Fn(&[&'a ReplicaState]) -> Option<&'a ReplicaState>,
        is_lightly_loaded: impl Fn(&ReplicaState) -> bool,
    ) -> Choice {
        let Some(best) = cheapest(candidates) else {
            return Choice::Full;
        };
        if self.holds_adapter(best, need) {
            return Choice::Send(best.record.id.clone());
        }
        let ready = candidates.iter().copied();
        let ready = ready.filter(|state| self.holds_adapter(state, need));
        let holder = cheapest(&ready.collect::<Vec<_>>());
        let open = |state: &&ReplicaState| {
            state.fetch_refused_until_ms <= now_ms && !self.holds_adapter(state, need)
        };
        let open = candidates.iter().copied().filter(open);
        let (full, free): (Vec<_>, Vec<_>) =
            open.partition(|state| state.adapters() >= bounds.adapter_slots as usize);
        let fetcher = cheapest(&free).or_else(|| cheapest(&full));
        match (holder, fetcher) {
            // Loading the adapter on a second replica pays off only if the first holder is busy,
            // and no other adapter has to be evicted for it.
            (Some(holder), _) if free.is_empty() || is_lightly_loaded(holder) => {
                Choice::Send(holder.record.id.clone())
            }
            (_, Some(fetcher)) => Choice::Fetch(fetcher.record.id.clone()),
            (Some(holder), None) => Choice::Send(holder.record.id.clone()),
            (None, None) => Choice::NoAdapter,
        }
    }

    /// Whether a replica serves what the request needs, is not draining, and is in an allowed
    /// region.
    fn can_serve(&self, state: &ReplicaState, need: &Need) -> bool {
        serves_need(state, need) && self.location.may_serve(&state.record.hall, &need.regions)
    }

    fn holds_adapter(&self, state: &ReplicaState, need: &Need) -> bool {
        match (&need.model, &need.adapter) {
            (Some(model), Some(adapter)) => {
                let adapters = state.record.models.get(model);
                adapters.is_some_and(|adapters| adapters.contains(adapter))
            }
            _ => true,
        }
    }

    fn is_lightly_loaded(&self, state: &ReplicaState, now_ms: u64) -> bool {
        let (waiting, running) = state.loads(now_ms, self.policy.fade_ms);
        waiting + running < f64::from(state.slots) / 4.0
    }

    fn is_healthy(&self, state: &ReplicaState, now_ms: u64) -> bool {
        let probing = state.ejections > 0 && state.waiting + state.running > 0;
        state.record.phase == ReplicaPhase::Ready && state.ejected_until_ms <= now_ms && !probing
    }

    fn has_capacity(&self, state: &ReplicaState, need: &Need, now_ms: u64, memory: u64) -> bool {
        let (waiting, running) = state.loads(now_ms, self.policy.fade_ms);
        let fits = memory == 0 || state.tokens + need.tokens <= memory || state.tokens == 0;
        let ms_per_token = self.ms_per_token(state, need, now_ms);
        let in_time = state.starts_in_time(need, now_ms, self.policy.fade_ms, ms_per_token);
        let has_slot =
            waiting + running < f64::from(state.slots) || self.has_queue_room(state, need, now_ms);
        fits && in_time && has_slot && state.full_until_ms <= now_ms
    }

    /// Milliseconds until a response starts, for each token to be processed before it: measured at
    /// this replica, or else over its service. While the leader's totals of queued tokens are
    /// valid, this is the best value, which shows the replica alone; otherwise the smoothed value,
    /// which includes the queues of other entries.
    fn ms_per_token(&self, state: &ReplicaState, need: &Need, now_ms: u64) -> f64 {
        let known = |prefill: &PrefillTime| match now_ms < self.congestion_until_ms {
            true => prefill.best_ms,
            false => prefill.smoothed_ms,
        };
        let usual = || {
            need.service
                .as_ref()
                .and_then(|s| known(self.prefill_times.get(s)?))
        };
        known(&state.prefill).or_else(usual).unwrap_or(0.0)
    }

    /// Records the gap between two events of a stream.
    pub fn record_event_gap(&mut self, now_ms: u64, id: &ReplicaId, gap_ms: f64) {
        if let Some(state) = self.states.get_mut(id) {
            state.event_gap.observe(now_ms, gap_ms);
        }
    }

    /// Records that a request is sent to a replica. Returns the number of tokens to be processed
    /// before its response can start.
    pub fn record_sent(&mut self, now_ms: u64, id: &ReplicaId, need: &Need) -> u64 {
        let fade_ms = self.policy.fade_ms;
        if let (Some(service), Some(_)) = (&need.service, &need.model) {
            self.answer_stats
                .entry(service.clone())
                .or_default()
                .observe(need);
            let shortest_ms = self.shortest_targets_ms.get(service).copied();
            let stats = self.reuse_stats.entry(service.clone()).or_default();
            if stats.observe_request(need, shortest_ms) {
                let change = (service.clone(), stats.is_prefill_bound());
                self.prefill_bound_changes.push(change);
            }
        }
        let Some(state) = self.states.get_mut(id) else {
            return 0;
        };
        let tokens_ahead = state.tokens_ahead(need, now_ms, fade_ms);
        state.waiting_tokens[need.urgency.min(URGENCY_LEVELS - 1)] += need.tokens;
        state.waiting += 1;
        state.tokens += need.tokens;
        state.prompts.record(now_ms, &need.parts);
        tokens_ahead
    }

    /// Records that the response to a request has started, `took_ms` after the request was sent.
    pub fn record_response_start(
        &mut self,
        id: &ReplicaId,
        need: &Need,
        tokens_ahead: u64,
        took_ms: f64,
    ) {
        if let Some(state) = self.states.get_mut(id) {
            state.stop_waiting(need);
            state.running += 1;
            if let (None, Some(service)) = (&need.model, &need.service) {
                let queue = self.service_queues.entry(service.clone()).or_default();
                queue.record_response(&mut state.queue, took_ms);
            }
            if tokens_ahead > 0 {
                let ms_per_token = took_ms / tokens_ahead as f64;
                state.prefill.observe(ms_per_token);
                if let Some(service) = &need.service {
                    self.prefill_times
                        .entry(service.clone())
                        .or_default()
                        .observe(ms_per_token);
                    self.reuse_stats
                        .entry(service.clone())
                        .or_default()
                        .observe_response(need, tokens_ahead, took_ms);
                }
            }
        }
    }

    /// Records the load that a replica reported.
    pub fn record_load(&mut self, now_ms: u64, id: &ReplicaId, report: LoadReport) {
        if let Some(state) = self.states.get_mut(id) {
            let others = |reported: u32, own: u32| f64::from(reported.saturating_sub(own));
            state.reported = ReportedLoad {
                others_waiting: others(report.waiting, state.waiting),
                others_running: others(report.running, state.running),
                at_ms: now_ms,
            };
            state.slots = report.slots.max(1);
            let own = state.waiting + state.running;
            state.queue.record_report(report, own);
            if let Some(percent) = report.work_percent {
                state.slowdown.observe(now_ms, percent);
            }
            if report.waiting > 0 {
                let service = &state.record.service;
                let queue = self.service_queues.entry(service.clone()).or_default();
                queue.record_waiting();
            }
        }
    }

    /// Records the end of an attempt at a replica. `begun` is whether its response had started.
    pub fn record_end(
        &mut self,
        now_ms: u64,
        id: &ReplicaId,
        need: &Need,
        begun: bool,
        end: AttemptResult,
    ) {
        let policy = self.policy;
        let Some(state) = self.states.get_mut(id) else {
            return;
        };
        match begun {
            true => state.running = state.running.saturating_sub(1),
            false => state.stop_waiting(need),
        }
        state.tokens = state.tokens.saturating_sub(need.tokens);
        match end {
            AttemptResult::Good => {
                state.failure_rate *= 1.0 - FAILURE_WEIGHT;
                state.ejections = 0;
            }
            AttemptResult::Full => {
                state.full_until_ms = now_ms + FULL_BACKOFF_MS;
                state.queue.record_refusal();
            }
            AttemptResult::Failed => {
                state.failure_rate += (1.0 - state.failure_rate) * FAILURE_WEIGHT;
                if state.failure_rate >= EJECT_FAILURE_RATE {
                    let ejection = eject(state, &policy, now_ms, end);
                    self.new_ejections.extend(ejection);
                }
            }
            AttemptResult::Unreached => {
                let ejection = eject(state, &policy, now_ms, end);
                self.new_ejections.extend(ejection);
            }
            AttemptResult::Neutral => {}
        }
    }

    /// Records that the leader will not load an adapter on a replica soon.
    pub fn record_fetch_refusal(&mut self, now_ms: u64, id: &ReplicaId) {
        if let Some(state) = self.states.get_mut(id) {
            state.fetch_refused_until_ms = now_ms + FETCH_REFUSED_MS;
        }
    }

    /// Removes a model or adapter that a replica reported as missing from its record.
    pub fn forget_model(&mut self, id: &ReplicaId, need: &Need) {
        let state = self.states.get_mut(id);
        let (Some(state), Some(model)) = (state, &need.model) else {
            return;
        };
        match &need.adapter {
            Some(adapter) => {
                if let Some(adapters) = state.record.models.get_mut(model) {
                    adapters.remove(adapter);
                }
            }
            None => {
                state.record.models.remove(model);
            }
        }
    }
}

/// Whether a replica serves the service at the required software version and holds the model, and is
/// not draining.
fn serves_need(state: &ReplicaState, need: &Need) -> bool {
    let record = &state.record;
    let model = need.model.as_ref();
    need.service.as_ref() == Some(&record.service)
        && record.phase != ReplicaPhase::Draining
        && need
            .version
            .as_ref()
            .is_none_or(|version| *version == state.version)
        && model.is_none_or(|model| record.models.contains_key(model))
}

/// Whether a record is that of another incarnation than the known one, or of another service or phase.
fn is_other_run(known: &ReplicaRecord, record: &ReplicaRecord) -> bool {
    let run = |record: &ReplicaRecord| (record.started_ms, record.phase);
    run(known) != run(record) || known.service != record.service
}

fn eject(
    state: &mut ReplicaState,
    policy: &ChoicePolicy,
    now_ms: u64,
    end: AttemptResult,
) -> Option<Ejection> {
    if state.ejected_until_ms > now_ms {
        return None;
    }
    let duration_ms = policy.eject_ms << state.ejections.min(6);
    let duration_ms = duration_ms.min(policy.eject_max_ms);
    let ejection = Ejection {
        replica: state.record.id.clone(),
        failure_rate: state.failure_rate,
        duration_ms,
        end,
    };
    state.ejected_until_ms = now_ms + duration_ms;
    state.ejections += 1;
    state.failure_rate *= 0.5;
    Some(ejection)
}
