//! What an entry knows of the replicas, and the choice among them.
//!
//! Pure: the caller passes in the time. A replica's load is what it told last on
//! an answer, corrected by this entry's own requests since; what others sent
//! fades with the report's age.

mod blocks;

use std::collections::{BTreeMap, BTreeSet};

use crate::consensus::directory::{ReplicaPhase, ReplicaRecord};
use crate::forward::answer_separation::AnswerMix;
use crate::forward::locality::{EntryPlace, HallDistance};
use crate::forward::need::URGENCIES;
pub use crate::forward::need::{ChoicePolicy, Need};
use crate::forward::replica_state::{
    CROWD_MS, CrowdNote, PACE_PART, ReadPace, ReplicaNote, ToldLoad,
};
use crate::ids::{HallName, ReplicaId, ServiceName};
use crate::placement::crowd::WaitingTokens;
use crate::routing::backoff::{BackoffBook, SendBar};
use crate::routing::limited_peers::LimitedPeers;
use crate::routing::permit_pace::PermitPace;
use crate::routing::warm_up::WarmupBook;
use crate::table::configuration::WarmupSpec;
pub use blocks::ReplicaBar;

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
pub enum TryEnd {
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
pub struct EjectNews {
    /// The replica.
    pub replica: ReplicaId,
    /// Its failure rate, from 0 to 1.
    pub failing: f64,
    /// It is passed over for so long, in milliseconds.
    pub pause_ms: u64,
    /// How it failed last.
    pub end: TryEnd,
}

/// Part of the time limit from which a predicted beginning is told to the leader.
const CROWDING_PART: f64 = 0.3;
/// Replicas that one log line describes.
const MAX_DESCRIBED: usize = 4;
/// Shared starts remembered for each replica.
const MAX_PREFIXES: usize = 256;
/// Weight of the newest outcome in the failure rate.
const FAIL_STEP: f64 = 0.25;
/// Failure rate from which a replica is passed over for a while.
const EJECT_RATE: f64 = 0.55;
/// How long a replica is passed over for adapters after a refusal, in milliseconds.
const NO_FETCH_MS: u64 = 500;
/// How long a replica that said so is taken for full, in milliseconds.
const FULL_MS: u64 = 100;

/// All replicas that an entry knows.
#[derive(Clone, Debug, Default)]
pub struct ReplicaBook {
    policy: ChoicePolicy,
    place: EntryPlace,
    notes: BTreeMap<ReplicaId, ReplicaNote>,
    news: Vec<EjectNews>,
    mixes: BTreeMap<ServiceName, AnswerMix>,
    /// Over the replicas of a service, for those of which nothing is known.
    paces: BTreeMap<ServiceName, ReadPace>,
    /// Until when the leader's word on crowded replicas counts.
    crowd_until_ms: u64,
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

impl ReplicaBook {
    /// An empty book of an entry at a place.
    pub fn new(policy: ChoicePolicy, place: EntryPlace) -> Self {
        Self {
            policy,
            place,
            notes: BTreeMap::new(),
            news: Vec::new(),
            mixes: BTreeMap::new(),
            paces: BTreeMap::new(),
            crowd_until_ms: 0,
            backoffs: BackoffBook::default(),
            warm_ups: WarmupBook::default(),
            limits: LimitedPeers::default(),
            permit_pace: PermitPace::default(),
            warm_up_specs: BTreeMap::new(),
            evacuated: BTreeSet::new(),
        }
    }

    /// What it has come to believe since the last call, to be logged.
    pub fn take_news(&mut self) -> Vec<EjectNews> {
        std::mem::take(&mut self.news)
    }

    /// Takes over the records that are in force.
    pub fn follow(&mut self, now_ms: u64, records: &BTreeMap<ReplicaId, ReplicaRecord>) {
        self.notes.retain(|id, _| records.contains_key(id));
        for (id, record) in records {
            let note = self.notes.get_mut(id);
            let known = note.as_ref().map(|note| &note.record);
            if known == Some(record) {
                continue;
            }
            if known.is_none_or(|known| known.warm_up_word() != record.warm_up_word()) {
                self.warm_ups.tell(now_ms, id, record.cold_ms);
            }
            match note {
                Some(note) if note.record.born_ms != record.born_ms => note.begin_life(record),
                Some(note) => note.record = record.clone(),
                None => {
                    let note = ReplicaNote::new(record.clone());
                    self.notes.insert(id.clone(), note);
                }
            }
        }
    }

    /// What own requests have waiting, by replica.
    pub fn waiting(&self) -> WaitingTokens {
        let tokens = |note: &ReplicaNote| note.waiting_tokens.iter().sum::<u64>();
        let all = self.notes.iter().map(|(id, note)| (id, tokens(note)));
        let waiting = all.filter(|(_, tokens)| *tokens > 0);
        waiting.map(|(id, tokens)| (id.clone(), tokens)).collect()
    }

    /// Takes the leader's word on crowded replicas; `own` is what this entry had told.
    pub fn follow_crowd(&mut self, now_ms: u64, own: &WaitingTokens, crowded: &WaitingTokens) {
        self.crowd_until_ms = now_ms + CROWD_MS;
        for (id, note) in &mut self.notes {
            let told = crowded.get(id).map(|tokens| CrowdNote {
                tokens: tokens.saturating_sub(own.get(id).copied().unwrap_or(0)),
                at_ms: now_ms,
            });
            note.crowd = told.unwrap_or_default();
        }
    }

    /// Whether a request that was just sent makes a replica worth telling of: its answer
    /// begins late, or nothing is known of the replica yet.
    pub fn is_crowding(&self, id: &ReplicaId, need: &Need, ahead: u64) -> bool {
        let note = self.notes.get(id).filter(|_| need.model.is_some());
        note.is_some_and(|note| match note.pace.smooth_ms {
            Some(pace_ms) => pace_ms * ahead as f64 > need.limit_ms as f64 * CROWDING_PART,
            None => true,
        })
    }

    /// The replicas that are known.
    pub fn ids(&self) -> impl Iterator<Item = &ReplicaId> {
        self.notes.keys()
    }

    /// When a replica is likely to have room for a need, in milliseconds from now;
    /// none where no replica holds what is needed.
    pub fn room_in_ms(&self, now_ms: u64, need: &Need) -> Option<u64> {
        let fade_ms = self.policy.fade_ms;
        let suited = self.notes.values().filter(|note| self.suits(note, need));
        let waits = suited.filter_map(|note| {
            let paused_ms = match self.bar(note, now_ms) {
                Some(ReplicaBar::Evacuated | ReplicaBar::Asked(SendBar::Leaving)) => return None,
                Some(
                    ReplicaBar::Asked(SendBar::Paused { left_ms })
                    | ReplicaBar::RateLimited { left_ms },
                ) => left_ms as f64,
                Some(ReplicaBar::Asked(SendBar::Reopening)) | None => 0.0,
            };
            let (waiting, running) = note.loads(now_ms, fade_ms);
            let full = waiting + running >= f64::from(note.slots);
            let ahead = note.ahead(need, now_ms, fade_ms);
            let begin_ms = self.pace_ms(note, need, now_ms) * ahead as f64;
            let over_ms = begin_ms - need.limit_ms as f64 * PACE_PART;
            let room_ms = match full {
                true => over_ms.max(need.limit_ms as f64),
                false => over_ms.max(0.0),
            };
            Some(room_ms.max(paused_ms))
        });
        let least = waits.min_by(f64::total_cmp)?;
        Some(least as u64)
    }

    /// What is believed of the replicas that could meet a need, for a log line:
    /// load, predicted beginning, the age of the report, and what is against them.
    pub fn describe(&self, now_ms: u64, need: &Need) -> String {
        let fade_ms = self.policy.fade_ms;
        let suited = self.notes.values().filter(|note| self.suits(note, need));
        let lines = suited.take(MAX_DESCRIBED).map(|note| {
            let (waiting, running) = note.loads(now_ms, fade_ms);
            let ahead = note.ahead(need, now_ms, fade_ms) as f64;
            let begin_ms = self.pace_ms(note, need, now_ms) * ahead;
            let age_ms = now_ms.saturating_sub(note.told.at_ms);
            let ejected_ms = note.ejected_until_ms.saturating_sub(now_ms);
            let pause_ms = note.pause.at(now_ms);
            let others = note.crowd.at(now_ms);
            format!(
                "{} waiting {waiting:.1} running {running:.1} of {} begins in {begin_ms:.0} ms, \
                 others have {others} tokens waiting, pauses {pause_ms:.0} ms, told {age_ms} ms ago, {:?}, passed over for {ejected_ms} ms, {}, adapter {}",
                note.record.id,
                note.slots,
                note.record.phase,
                blocks::bar_text(self.bar(note, now_ms)),
                self.holds_adapter(note, need)
            )
        });
        lines.collect::<Vec<String>>().join("; ")
    }

    /// The longest time between two events that streams of a need now show, in
    /// milliseconds; 0 where this entry has seen none lately.
    pub fn pause_ms(&self, now_ms: u64, need: &Need) -> f64 {
        let suited = self.notes.values().filter(|note| self.suits(note, need));
        let pauses = suited.map(|note| note.pause.at(now_ms));
        pauses.fold(0.0, f64::max)
    }

    /// The record of a replica.
    pub fn record(&self, id: &ReplicaId) -> Option<&ReplicaRecord> {
        self.notes.get(id).map(|note| &note.record)
    }

    /// Chooses a replica for a need. `passed` names those that this request has
    /// tried already.
    pub fn choose(
        &self,
        now_ms: u64,
        need: &Need,
        passed: &BTreeSet<ReplicaId>,
        bounds: EngineBounds,
    ) -> Choice {
        let all = self.notes.values();
        let suited: Vec<&ReplicaNote> = all.filter(|note| self.suits(note, need)).collect();
        // Before anything that falls back on what is left: what a replica asked for holds
        // also where it is the last one.
        let open = match self.unbarred(&suited, now_ms) {
            Ok(open) => open,
            // What a replica loads can be loaded elsewhere.
            Err(Choice::Evacuated) if need.model.is_some() => return Choice::Absent,
            Err(choice) => return choice,
        };
        let apart = self.set_apart(&suited, need);
        let mut suited = open;
        let fresh = |note: &ReplicaNote| !passed.contains(&note.record.id);
        if suited.iter().any(|note| fresh(note)) {
            suited.retain(|note| fresh(note));
        }
        let sound = |note: &ReplicaNote| self.is_sound(note, now_ms);
        if suited.iter().any(|note| sound(note)) {
            suited.retain(|note| sound(note));
        }
        // A replica that this request could not reach, or that failed it, is not tried again
        // before its pause is over: with one home it would dial without end.
        suited.retain(|note| fresh(note) || sound(note));
        suited.retain(|note| self.has_room(note, need, now_ms, bounds.memory));
        let Some(best) = self.cheapest(suited.iter().copied(), need, &apart, now_ms) else {
            return Choice::Full;
        };
        if self.holds_adapter(best, need) {
            return Choice::Send(best.record.id.clone());
        }
        let ready = suited.iter().copied();
        let ready = ready.filter(|note| self.holds_adapter(note, need));
        let holder = self.cheapest(ready, need, &apart, now_ms);
        let open = |note: &&ReplicaNote| note.no_fetch_until_ms <= now_ms;
        let open = suited.iter().copied().filter(open);
        let (full, free): (Vec<_>, Vec<_>) =
            open.partition(|note| note.adapters() >= bounds.adapter_slots as usize);
        let fetcher = self
            .cheapest(free.into_iter(), need, &apart, now_ms)
            .or_else(|| self.cheapest(full.into_iter(), need, &apart, now_ms));
        match (holder, fetcher) {
            // A second home of an adapter is worth its load only where the first is busy.
            (Some(holder), _) if self.is_slack(holder, now_ms) => {
                Choice::Send(holder.record.id.clone())
            }
            (_, Some(fetcher)) => Choice::Fetch(fetcher.record.id.clone()),
            (Some(holder), None) => Choice::Send(holder.record.id.clone()),
            (None, None) => Choice::NoAdapter,
        }
    }

    fn cheapest<'a>(
        &self,
        notes: impl Iterator<Item = &'a ReplicaNote>,
        need: &Need,
        apart: &BTreeSet<&ReplicaId>,
        now_ms: u64,
    ) -> Option<&'a ReplicaNote> {
        // Entries that know nothing of each other's requests find the same replica cheapest:
        // each request has its own order among those that cost the same, so that they spread.
        let costs = notes.map(|note| {
            let other = apart.contains(&note.record.id);
            let other_cost = if other { self.policy.apart_cost } else { 0.0 };
            let cost = self.cost(note, need, now_ms) + other_cost;
            (cost, drawn_rank(need.draw, &note.record.id), note)
        });
        let least = costs.min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
        least.map(|(_, _, note)| note)
    }

    /// Of the replicas that suit a need, those that are for requests of the other kind.
    fn set_apart<'a>(&self, suited: &[&'a ReplicaNote], need: &Need) -> BTreeSet<&'a ReplicaId> {
        let mix = need.service.as_ref().and_then(|s| self.mixes.get(s));
        let (Some(mix), Some(model)) = (mix, &need.model) else {
            return BTreeSet::new();
        };
        // By the directory alone: other entries must come to the same order.
        let ready = |note: &&&ReplicaNote| note.record.phase == ReplicaPhase::Ready;
        let ids = suited.iter().filter(ready).map(|note| &note.record.id);
        let draw = u64::from(crc32fast::hash(model.as_str().as_bytes()));
        let mut homes: Vec<(u64, &ReplicaId)> = ids.map(|id| (drawn_rank(draw, id), id)).collect();
        homes.sort_unstable();
        let range = mix.homes_for(need, homes.len());
        let places = homes.into_iter().enumerate();
        let others = places.filter(|(place, _)| !range.holds(*place));
        others.map(|(_, (_, id))| id).collect()
    }

    /// Whether a replica serves what is needed, where it may be served, and stays.
    fn suits(&self, note: &ReplicaNote, need: &Need) -> bool {
        holds_need(note, need) && self.place.may_serve(&note.record.hall, &need.regions)
    }

    fn holds_adapter(&self, note: &ReplicaNote, need: &Need) -> bool {
        match (&need.model, &need.adapter) {
            (Some(model), Some(adapter)) => {
                let adapters = note.record.models.get(model);
                adapters.is_some_and(|adapters| adapters.contains(adapter))
            }
            _ => true,
        }
    }

    fn is_slack(&self, note: &ReplicaNote, now_ms: u64) -> bool {
        let (waiting, running) = note.loads(now_ms, self.policy.fade_ms);
        waiting + running < f64::from(note.slots) / 4.0
    }

    fn is_sound(&self, note: &ReplicaNote, now_ms: u64) -> bool {
        let probing = note.ejections > 0 && note.waiting + note.running > 0;
        note.record.phase == ReplicaPhase::Ready && note.ejected_until_ms <= now_ms && !probing
    }

    fn has_room(&self, note: &ReplicaNote, need: &Need, now_ms: u64, memory: u64) -> bool {
        let (waiting, running) = note.loads(now_ms, self.policy.fade_ms);
        let fits = memory == 0 || note.tokens + need.tokens <= memory || note.tokens == 0;
        let pace_ms = self.pace_ms(note, need, now_ms);
        let quick = note.is_quick(need, now_ms, self.policy.fade_ms, pace_ms);
        let room = waiting + running < f64::from(note.slots);
        fits && quick && room && note.full_until_ms <= now_ms
    }

    /// A replica's pace, or where no answer of it has come, that of its service. While the
    /// leader tells what others have waiting it is that of the replica alone; otherwise the
    /// others are in it.
    fn pace_ms(&self, note: &ReplicaNote, need: &Need, now_ms: u64) -> f64 {
        let known = |pace: &ReadPace| match now_ms < self.crowd_until_ms {
            true => pace.best_ms,
            false => pace.smooth_ms,
        };
        let usual = || {
            need.service
                .as_ref()
                .and_then(|s| known(self.paces.get(s)?))
        };
        known(&note.pace).or_else(usual).unwrap_or(0.0)
    }

    /// An event of a stream came so long after the one before.
    pub fn note_pause(&mut self, now_ms: u64, id: &ReplicaId, pause_ms: f64) {
        if let Some(note) = self.notes.get_mut(id) {
            note.pause.note(now_ms, pause_ms);
        }
    }

    fn cost(&self, note: &ReplicaNote, need: &Need, now_ms: u64) -> f64 {
        let policy = &self.policy;
        let (waiting, running) = note.loads(now_ms, policy.fade_ms);
        let warm = need
            .prefix
            .is_some_and(|prefix| note.prefixes.contains(&prefix));
        let way = match self.place.distance(&note.record.hall) {
            HallDistance::Here => 0.0,
            HallDistance::Region => policy.hall_cost,
            HallDistance::Away => policy.region_cost,
        };
        let gain = if warm { policy.prefix_gain } else { 0.0 };
        let load = waiting + running * policy.running_cost;
        let slow = note.work.excess(now_ms, policy.work_fade_ms) * policy.work_cost;
        load + way + slow + note.failing * policy.failure_cost - gain
    }

    /// A request goes to a replica. Returns the tokens that are read before its
    /// answer can begin.
    pub fn start(&mut self, now_ms: u64, id: &ReplicaId, need: &Need) -> u64 {
        let fade_ms = self.policy.fade_ms;
        if let (Some(service), Some(_)) = (&need.service, &need.model) {
            self.mixes.entry(service.clone()).or_default().note(need);
        }
        let Some(note) = self.notes.get_mut(id) else {
            return 0;
        };
        let ahead = note.ahead(need, now_ms, fade_ms);
        note.waiting_tokens[need.urgency.min(URGENCIES - 1)] += need.tokens;
        note.waiting += 1;
        note.tokens += need.tokens;
        if let Some(prefix) = need.prefix {
            note.prefixes.retain(|known| *known != prefix);
            note.prefixes.push_back(prefix);
            if note.prefixes.len() > MAX_PREFIXES {
                note.prefixes.pop_front();
            }
        }
        ahead
    }

    /// The answer to a request begins, `took_ms` after it was sent.
    pub fn begin(&mut self, id: &ReplicaId, need: &Need, ahead: u64, took_ms: f64) {
        if let Some(note) = self.notes.get_mut(id) {
            note.stop_waiting(need);
            note.running += 1;
            if ahead > 0 {
                let pace_ms = took_ms / ahead as f64;
                note.pace.note(pace_ms);
                if let Some(service) = &need.service {
                    self.paces.entry(service.clone()).or_default().note(pace_ms);
                }
            }
        }
    }

    /// A replica told its load.
    pub fn tell(&mut self, now_ms: u64, id: &ReplicaId, report: LoadReport) {
        if let Some(note) = self.notes.get_mut(id) {
            let others = |told: u32, own: u32| f64::from(told.saturating_sub(own));
            note.told = ToldLoad {
                others_waiting: others(report.waiting, note.waiting),
                others_running: others(report.running, note.running),
                at_ms: now_ms,
            };
            note.slots = report.slots.max(1);
            if let Some(percent) = report.work_percent {
                note.work.note(now_ms, percent);
            }
        }
    }

    /// A request has left a replica. `begun` says whether its answer had begun.
    pub fn end(&mut self, now_ms: u64, id: &ReplicaId, need: &Need, begun: bool, end: TryEnd) {
        let policy = self.policy;
        let Some(note) = self.notes.get_mut(id) else {
            return;
        };
        match begun {
            true => note.running = note.running.saturating_sub(1),
            false => note.stop_waiting(need),
        }
        note.tokens = note.tokens.saturating_sub(need.tokens);
        match end {
            TryEnd::Good => {
                note.failing *= 1.0 - FAIL_STEP;
                note.ejections = 0;
            }
            TryEnd::Full => note.full_until_ms = now_ms + FULL_MS,
            TryEnd::Failed => {
                note.failing += (1.0 - note.failing) * FAIL_STEP;
                if note.failing >= EJECT_RATE {
                    let news = eject(note, &policy, now_ms, end);
                    self.news.extend(news);
                }
            }
            TryEnd::Unreached => {
                let news = eject(note, &policy, now_ms, end);
                self.news.extend(news);
            }
            TryEnd::Neutral => {}
        }
    }

    /// A replica will not get an adapter soon.
    pub fn refuse_fetch(&mut self, now_ms: u64, id: &ReplicaId) {
        if let Some(note) = self.notes.get_mut(id) {
            note.no_fetch_until_ms = now_ms + NO_FETCH_MS;
        }
    }

    /// A replica says that it does not hold the model or adapter.
    pub fn correct(&mut self, id: &ReplicaId, need: &Need) {
        let note = self.notes.get_mut(id);
        let (Some(note), Some(model)) = (note, &need.model) else {
            return;
        };
        match &need.adapter {
            Some(adapter) => {
                if let Some(adapters) = note.record.models.get_mut(model) {
                    adapters.remove(adapter);
                }
            }
            None => {
                note.record.models.remove(model);
            }
        }
    }
}

/// A replica's place in the order that a request's draw gives.
fn drawn_rank(draw: u64, id: &ReplicaId) -> u64 {
    mix(draw ^ u64::from(crc32fast::hash(id.as_str().as_bytes())))
}

/// Spreads close numbers over the whole range: the finalizer of the generator SplitMix64.
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    number ^ (number >> 31)
}

/// Whether a replica holds what is needed and stays.
fn holds_need(note: &ReplicaNote, need: &Need) -> bool {
    let record = &note.record;
    let model = need.model.as_ref();
    need.service.as_ref() == Some(&record.service)
        && record.phase != ReplicaPhase::Draining
        && model.is_none_or(|model| record.models.contains_key(model))
}

fn eject(
    note: &mut ReplicaNote,
    policy: &ChoicePolicy,
    now_ms: u64,
    end: TryEnd,
) -> Option<EjectNews> {
    if note.ejected_until_ms > now_ms {
        return None;
    }
    let pause_ms = policy.eject_ms << note.ejections.min(6);
    let pause_ms = pause_ms.min(policy.eject_max_ms);
    let news = EjectNews {
        replica: note.record.id.clone(),
        failing: note.failing,
        pause_ms,
        end,
    };
    note.ejected_until_ms = now_ms + pause_ms;
    note.ejections += 1;
    note.failing *= 0.5;
    Some(news)
}
