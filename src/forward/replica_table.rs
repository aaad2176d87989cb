//! What an entry knows of the replicas, and the choice among them.
//!
//! Pure: the caller passes in the time. A replica's load is what it told last on
//! an answer, corrected by this entry's own requests since; what others sent
//! fades with the report's age.

mod blocks;

use std::collections::{BTreeMap, BTreeSet};

use crate::consensus::directory::{ReplicaPhase, ReplicaRecord};
use crate::forward::answer_separation::AnswerStats;
use crate::forward::locality::{EntryLocation, HallDistance};
use crate::forward::need::URGENCY_LEVELS;
pub use crate::forward::need::{ChoicePolicy, Need};
use crate::forward::replica_state::{
    CONGESTION_TTL_MS, CongestionSample, PrefillTime, ReplicaState, ReportedLoad, START_FRACTION,
};
use crate::ids::{HallName, ReplicaId, ServiceName};
use crate::placement::crowd::WaitingTokens;
use crate::routing::backoff::{BackoffBook, SendBar};
use crate::routing::limited_peers::LimitedPeers;
use crate::routing::permit_pace::PermitPace;
use crate::routing::warm_up::WarmupBook;
use crate::table::configuration::WarmupSpec;
pub use blocks::SendBlock;

/// The choice.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// This replica.
    Send(ReplicaId),
    /// A replica holds the model and has room, but needs the adapter first.
    Fetch(ReplicaId),
    /// All that could take it are full.
    Full,
    /// Replicas hold the model and have room, but none has the adapter or gets it now.
    NoAdapter,
    /// All that could take it asked to be left alone; the first one for so much longer, in
    /// milliseconds.
    Paused(u64),
    /// All that could take it take few requests, and have got them; the first one may take
    /// another in so many milliseconds.
    RateLimited(u64),
    /// All that could take it are in evacuated halls, and the leader brings no others.
    Evacuated,
    /// No replica holds the model.
    Absent,
}

/// Bounds of a service's engines; all zero for plain services.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineBounds {
    /// Most tokens that a replica holds.
    pub memory: u64,
    /// Most adapters that a replica holds.
    pub adapter_slots: u32,
}

/// A load that a replica told on an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run at once.
    pub slots: u32,
    /// How long work takes on its host now, in hundredths of the usual; none where it does not
    /// tell.
    pub work_percent: Option<u32>,
}

/// Reads a load header: running, waiting, slots, and how long work takes.
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

/// How a try at a replica ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// A proper answer.
    Good,
    /// The replica said that it is full.
    Full,
    /// It failed: an error of its own, bytes that are no answer, or silence.
    Failed,
    /// It could not be reached.
    Unreached,
    /// Nothing is said of the replica: the caller left, or time ran out.
    Neutral,
}

/// What an entry has come to believe of a replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Ejection {
    /// The replica.
    pub replica: ReplicaId,
    /// Its failure rate, from 0 to 1.
    pub failure_rate: f64,
    /// It is passed over for so long, in milliseconds.
    pub duration_ms: u64,
    /// How it failed last.
    pub end: AttemptResult,
}

/// Part of the time limit from which a predicted beginning is told to the leader.
const CONGESTION_FRACTION: f64 = 0.3;
/// Replicas that one log line describes.
const MAX_DESCRIBED_REPLICAS: usize = 4;
/// Shared starts remembered for each replica.
const MAX_PREFIXES: usize = 256;
/// Weight of the newest outcome in the failure rate.
const FAILURE_WEIGHT: f64 = 0.25;
/// Failure rate from which a replica is passed over for a while.
const EJECT_FAILURE_RATE: f64 = 0.55;
/// How long a replica is passed over for adapters after a refusal, in milliseconds.
const FETCH_REFUSED_MS: u64 = 500;
/// How long a replica that said so is taken for full, in milliseconds.
const FULL_BACKOFF_MS: u64 = 100;

/// All replicas that an entry knows.
#[derive(Clone, Debug, Default)]
pub struct ReplicaTable {
    policy: ChoicePolicy,
    location: EntryLocation,
    states: BTreeMap<ReplicaId, ReplicaState>,
    new_ejections: Vec<Ejection>,
    answer_stats: BTreeMap<ServiceName, AnswerStats>,
    /// Over the replicas of a service, for those of which nothing is known.
    prefill_times: BTreeMap<ServiceName, PrefillTime>,
    /// Until when the leader's word on crowded replicas counts.
    congestion_until_ms: u64,
    /// What replicas asked for in their answers.
    backoffs: BackoffBook<ReplicaId>,
    /// Which replicas warm up.
    warm_ups: WarmupBook<ReplicaId>,
    /// Which replicas name a limit.
    limits: LimitedPeers,
    /// When permits for those that take few requests may be asked for.
    permit_pace: PermitPace<ReplicaId>,
    /// Services whose replicas bear fewer requests while they warm up.
    warm_up_specs: BTreeMap<ServiceName, WarmupSpec>,
    /// Data halls whose replicas are to get nothing.
    evacuated: BTreeSet<HallName>,
}

impl ReplicaTable {
    /// An empty book of an entry at a place.
    pub fn new(policy: ChoicePolicy, location: EntryLocation) -> Self {
        Self {
            policy,
            location,
            states: BTreeMap::new(),
            new_ejections: Vec::new(),
            answer_stats: BTreeMap::new(),
            prefill_times: BTreeMap::new(),
            congestion_until_ms: 0,
            backoffs: BackoffBook::default(),
            warm_ups: WarmupBook::default(),
            limits: LimitedPeers::default(),
            permit_pace: PermitPace::default(),
            warm_up_specs: BTreeMap::new(),
            evacuated: BTreeSet::new(),
        }
    }

    /// What it has come to believe since the last call, to be logged.
    pub fn take_ejections(&mut self) -> Vec<Ejection> {
        std::mem::take(&mut self.new_ejections)
    }

    /// Takes over the records that are in force.
    pub fn update_records(&mut self, now_ms: u64, records: &BTreeMap<ReplicaId, ReplicaRecord>) {
        self.states.retain(|id, _| records.contains_key(id));
        for (id, record) in records {
            let state = self.states.get_mut(id);
            let known = state.as_ref().map(|state| &state.record);
            if known == Some(record) {
                continue;
            }
            if known.is_none_or(|known| known.warm_up_word() != record.warm_up_word()) {
                self.warm_ups.tell(now_ms, id, record.cold_ms);
            }
            match state {
                Some(state) if state.record.born_ms != record.born_ms => state.restart(record),
                Some(state) => state.record = record.clone(),
                None => {
                    let state = ReplicaState::new(record.clone());
                    self.states.insert(id.clone(), state);
                }
            }
        }
    }

    /// What own requests have waiting, by replica.
    pub fn queued_tokens(&self) -> WaitingTokens {
        let tokens = |state: &ReplicaState| state.waiting_tokens.iter().sum::<u64>();
        let all = self.states.iter().map(|(id, state)| (id, tokens(state)));
        let waiting = all.filter(|(_, tokens)| *tokens > 0);
        waiting.map(|(id, tokens)| (id.clone(), tokens)).collect()
    }

    /// Takes the leader's word on crowded replicas; `own` is what this entry had told.
    pub fn update_congestion(
        &mut self,
        now_ms: u64,
        own: &WaitingTokens,
        congested: &WaitingTokens,
    ) {
        self.congestion_until_ms = now_ms + CONGESTION_TTL_MS;
        for (id, state) in &mut self.states {
            let reported = congested.get(id).map(|tokens| CongestionSample {
                tokens: tokens.saturating_sub(own.get(id).copied().unwrap_or(0)),
                at_ms: now_ms,
            });
            state.congestion = reported.unwrap_or_default();
        }
    }

    /// Whether a request that was just sent makes a replica worth telling of: its answer
    /// begins late, or nothing is known of the replica yet.
    pub fn causes_congestion(&self, id: &ReplicaId, need: &Need, tokens_ahead: u64) -> bool {
        let state = self.states.get(id).filter(|_| need.model.is_some());
        state.is_some_and(|state| match state.prefill.smoothed_ms {
            Some(ms) => ms * tokens_ahead as f64 > need.limit_ms as f64 * CONGESTION_FRACTION,
            None => true,
        })
    }

    /// The replicas that are known.
    pub fn ids(&self) -> impl Iterator<Item = &ReplicaId> {
        self.states.keys()
    }

    /// When a replica is likely to have room for a need, in milliseconds from now;
    /// none where no replica holds what is needed.
    pub fn capacity_in_ms(&self, now_ms: u64, need: &Need) -> Option<u64> {
        let fade_ms = self.policy.fade_ms;
        let candidates = self
            .states
            .values()
            .filter(|state| self.can_serve(state, need));
        let waits = candidates.filter_map(|state| {
            let paused_ms = match self.block(state, now_ms) {
                Some(SendBlock::Evacuated | SendBlock::Asked(SendBar::Leaving)) => return None,
                Some(
                    SendBlock::Asked(SendBar::Paused { left_ms })
                    | SendBlock::RateLimited { left_ms },
                ) => left_ms as f64,
                Some(SendBlock::Asked(SendBar::Reopening)) | None => 0.0,
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
            Some(capacity_ms.max(paused_ms))
        });
        let least = waits.min_by(f64::total_cmp)?;
        Some(least as u64)
    }

    /// What is believed of the replicas that could meet a need, for a log line:
    /// load, predicted beginning, the age of the report, and what is against them.
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
                "{} waiting {waiting:.1} running {running:.1} of {} begins in {predicted_ms:.0} ms, \
                 others have {others} tokens waiting, pauses {gap_ms:.0} ms, told {age_ms} ms ago, {:?}, passed over for {ejected_ms} ms, {}, adapter {}",
                state.record.id,
                state.slots,
                state.record.phase,
                blocks::block_text(self.block(state, now_ms)),
                self.holds_adapter(state, need)
            )
        });
        lines.collect::<Vec<String>>().join("; ")
    }

    /// The longest time between two events that streams of a need now show, in
    /// milliseconds; 0 where this entry has seen none lately.
    pub fn event_gap_ms(&self, now_ms: u64, need: &Need) -> f64 {
        let candidates = self
            .states
            .values()
            .filter(|state| self.can_serve(state, need));
        let pauses = candidates.map(|state| state.event_gap.at(now_ms));
        pauses.fold(0.0, f64::max)
    }

    /// The record of a replica.
    pub fn record(&self, id: &ReplicaId) -> Option<&ReplicaRecord> {
        self.states.get(id).map(|state| &state.record)
    }

    /// Chooses a replica for a need. `attempted` names those that this request has
    /// tried already.
    pub fn choose(
        &self,
        now_ms: u64,
        need: &Need,
        attempted: &BTreeSet<ReplicaId>,
        bounds: EngineBounds,
    ) -> Choice {
        let all = self.states.values();
        let candidates: Vec<&ReplicaState> =
            all.filter(|state| self.can_serve(state, need)).collect();
        // Before anything that falls back on what is left: what a replica asked for holds
        // also where it is the last one.
        let open = match self.unblocked(&candidates, now_ms) {
            Ok(open) => open,
            // What a replica loads can be loaded elsewhere.
            Err(Choice::Evacuated) if need.model.is_some() => return Choice::Absent,
            Err(choice) => return choice,
        };
        let reserved = self.reserved_for_others(&candidates, need);
        let mut candidates = open;
        let untried = |state: &ReplicaState| !attempted.contains(&state.record.id);
        if candidates.iter().any(|state| untried(state)) {
            candidates.retain(|state| untried(state));
        }
        let healthy = |state: &ReplicaState| self.is_healthy(state, now_ms);
        if candidates.iter().any(|state| healthy(state)) {
            candidates.retain(|state| healthy(state));
        }
        // A replica that this request could not reach, or that failed it, is not tried again
        // before its pause is over: with one home it would dial without end.
        candidates.retain(|state| untried(state) || healthy(state));
        candidates.retain(|state| self.has_capacity(state, need, now_ms, bounds.memory));
        let Some(best) = self.cheapest(candidates.iter().copied(), need, &reserved, now_ms) else {
            return Choice::Full;
        };
        if self.holds_adapter(best, need) {
            return Choice::Send(best.record.id.clone());
        }
        let ready = candidates.iter().copied();
        let ready = ready.filter(|state| self.holds_adapter(state, need));
        let holder = self.cheapest(ready, need, &reserved, now_ms);
        let open = |state: &&ReplicaState| state.fetch_refused_until_ms <= now_ms;
        let open = candidates.iter().copied().filter(open);
        let (full, free): (Vec<_>, Vec<_>) =
            open.partition(|state| state.adapters() >= bounds.adapter_slots as usize);
        let fetcher = self
            .cheapest(free.into_iter(), need, &reserved, now_ms)
            .or_else(|| self.cheapest(full.into_iter(), need, &reserved, now_ms));
        match (holder, fetcher) {
            // A second home of an adapter is worth its load only where the first is busy.
            (Some(holder), _) if self.is_lightly_loaded(holder, now_ms) => {
                Choice::Send(holder.record.id.clone())
            }
            (_, Some(fetcher)) => Choice::Fetch(fetcher.record.id.clone()),
            (Some(holder), None) => Choice::Send(holder.record.id.clone()),
            (None, None) => Choice::NoAdapter,
        }
    }

    fn cheapest<'a>(
        &self,
        states: impl Iterator<Item = &'a ReplicaState>,
        need: &Need,
        reserved: &BTreeSet<&ReplicaId>,
        now_ms: u64,
    ) -> Option<&'a ReplicaState> {
        // Entries that know nothing of each other's requests find the same replica cheapest:
        // each request has its own order among those that cost the same, so that they spread.
        let costs = states.map(|state| {
            let other = reserved.contains(&state.record.id);
            let other_cost = if other { self.policy.apart_cost } else { 0.0 };
            let cost = self.cost(state, need, now_ms) + other_cost;
            (cost, hash_rank(need.id_hash, &state.record.id), state)
        });
        let least = costs.min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
        least.map(|(_, _, state)| state)
    }

    /// Of the replicas that suit a need, those that are for requests of the other kind.
    fn reserved_for_others<'a>(
        &self,
        candidates: &[&'a ReplicaState],
        need: &Need,
    ) -> BTreeSet<&'a ReplicaId> {
        let answers = need.service.as_ref().and_then(|s| self.answer_stats.get(s));
        let (Some(answers), Some(model)) = (answers, &need.model) else {
            return BTreeSet::new();
        };
        // By the directory alone: other entries must come to the same order.
        let ready = |state: &&&ReplicaState| state.record.phase == ReplicaPhase::Ready;
        let ids = candidates
            .iter()
            .filter(ready)
            .map(|state| &state.record.id);
        let id_hash = u64::from(crc32fast::hash(model.as_str().as_bytes()));
        let mut homes: Vec<(u64, &ReplicaId)> =
            ids.map(|id| (hash_rank(id_hash, id), id)).collect();
        homes.sort_unstable();
        let range = answers.homes_for(need, homes.len());
        let indexed = homes.into_iter().enumerate();
        let others = indexed.filter(|(index, _)| !range.contains(*index));
        others.map(|(_, (_, id))| id).collect()
    }

    /// Whether a replica serves what is needed, where it may be served, and stays.
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
        let quick = state.starts_in_time(need, now_ms, self.policy.fade_ms, ms_per_token);
        let room = waiting + running < f64::from(state.slots);
        fits && quick && room && state.full_until_ms <= now_ms
    }

    /// A replica's pace, or where no answer of it has come, that of its service. While the
    /// leader tells what others have waiting it is that of the replica alone; otherwise the
    /// others are in it.
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

    /// An event of a stream came so long after the one before.
    pub fn record_event_gap(&mut self, now_ms: u64, id: &ReplicaId, gap_ms: f64) {
        if let Some(state) = self.states.get_mut(id) {
            state.event_gap.observe(now_ms, gap_ms);
        }
    }

    fn cost(&self, state: &ReplicaState, need: &Need, now_ms: u64) -> f64 {
        let policy = &self.policy;
        let (waiting, running) = state.loads(now_ms, policy.fade_ms);
        let has_prefix = need
            .prefix
            .is_some_and(|prefix| state.prefixes.contains(&prefix));
        let distance_cost = match self.location.distance(&state.record.hall) {
            HallDistance::SameHall => 0.0,
            HallDistance::SameRegion => policy.hall_cost,
            HallDistance::OtherRegion => policy.region_cost,
        };
        let gain = if has_prefix { policy.prefix_gain } else { 0.0 };
        let load = waiting + running * policy.running_cost;
        let slowdown_cost = state.slowdown.excess(now_ms, policy.work_fade_ms) * policy.work_cost;
        load + distance_cost + slowdown_cost + state.failure_rate * policy.failure_cost - gain
    }

    /// A request goes to a replica. Returns the tokens that are read before its
    /// answer can begin.
    pub fn record_sent(&mut self, now_ms: u64, id: &ReplicaId, need: &Need) -> u64 {
        let fade_ms = self.policy.fade_ms;
        if let (Some(service), Some(_)) = (&need.service, &need.model) {
            self.answer_stats
                .entry(service.clone())
                .or_default()
                .observe(need);
        }
        let Some(state) = self.states.get_mut(id) else {
            return 0;
        };
        let tokens_ahead = state.tokens_ahead(need, now_ms, fade_ms);
        state.waiting_tokens[need.urgency.min(URGENCY_LEVELS - 1)] += need.tokens;
        state.waiting += 1;
        state.tokens += need.tokens;
        if let Some(prefix) = need.prefix {
            state.prefixes.retain(|known| *known != prefix);
            state.prefixes.push_back(prefix);
            if state.prefixes.len() > MAX_PREFIXES {
                state.prefixes.pop_front();
            }
        }
        tokens_ahead
    }

    /// The answer to a request begins, `took_ms` after it was sent.
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
            if tokens_ahead > 0 {
                let ms_per_token = took_ms / tokens_ahead as f64;
                state.prefill.observe(ms_per_token);
                if let Some(service) = &need.service {
                    self.prefill_times
                        .entry(service.clone())
                        .or_default()
                        .observe(ms_per_token);
                }
            }
        }
    }

    /// A replica told its load.
    pub fn record_load(&mut self, now_ms: u64, id: &ReplicaId, report: LoadReport) {
        if let Some(state) = self.states.get_mut(id) {
            let others = |reported: u32, own: u32| f64::from(reported.saturating_sub(own));
            state.reported = ReportedLoad {
                others_waiting: others(report.waiting, state.waiting),
                others_running: others(report.running, state.running),
                at_ms: now_ms,
            };
            state.slots = report.slots.max(1);
            if let Some(percent) = report.work_percent {
                state.slowdown.observe(now_ms, percent);
            }
        }
    }

    /// A request has left a replica. `begun` says whether its answer had begun.
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
            AttemptResult::Full => state.full_until_ms = now_ms + FULL_BACKOFF_MS,
            AttemptResult::Failed => {
                state.failure_rate += (1.0 - state.failure_rate) * FAILURE_WEIGHT;
                if state.failure_rate >= EJECT_FAILURE_RATE {
                    let new_ejections = eject(state, &policy, now_ms, end);
                    self.new_ejections.extend(new_ejections);
                }
            }
            AttemptResult::Unreached => {
                let new_ejections = eject(state, &policy, now_ms, end);
                self.new_ejections.extend(new_ejections);
            }
            AttemptResult::Neutral => {}
        }
    }

    /// A replica will not get an adapter soon.
    pub fn record_fetch_refusal(&mut self, now_ms: u64, id: &ReplicaId) {
        if let Some(state) = self.states.get_mut(id) {
            state.fetch_refused_until_ms = now_ms + FETCH_REFUSED_MS;
        }
    }

    /// A replica says that it does not hold the model or adapter.
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

/// A replica's place in the order that a request's draw gives.
fn hash_rank(id_hash: u64, id: &ReplicaId) -> u64 {
    splitmix64(id_hash ^ u64::from(crc32fast::hash(id.as_str().as_bytes())))
}

/// Spreads close numbers over the whole range: the finalizer of the generator SplitMix64.
fn splitmix64(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    number ^ (number >> 31)
}

/// Whether a replica holds what is needed and stays.
fn serves_need(state: &ReplicaState, need: &Need) -> bool {
    let record = &state.record;
    let model = need.model.as_ref();
    need.service.as_ref() == Some(&record.service)
        && record.phase != ReplicaPhase::Draining
        && model.is_none_or(|model| record.models.contains_key(model))
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
