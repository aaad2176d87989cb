//! Load of one replica as the agent beside it knows it: what was announced by entries, corrected by
//! the replica's reports. Answers quotes. Pure.
//!
//! A replica prefills prompts one after another, in chunks between the decode steps of its streams.
//! It admits requests by urgency, then by order of arrival; what it has admitted is not overtaken.

use std::collections::VecDeque;

use crate::admission::part_cache::PartCache;
use crate::admission::prefill_meter::{PrefillMeter, PrefillProgress, PrefillTime, UnitTime};
use crate::admission::quote::{QuoteReply, RunOutline};
use crate::ids::ModelName;

/// Maximum number of announced runs. Those beyond are counted by the report alone.
pub const MAX_ANNOUNCED_RUNS: usize = 512;
/// Longest lease of an announced run, in milliseconds, whatever its deadline.
pub const MAX_LEASE_MS: u64 = 600_000;
/// Time within which a run that was sent appears in the report, in milliseconds.
const ARRIVAL_MS: u64 = 250;
/// Period of the recent prefill, in milliseconds.
const RECENT_MS: u64 = 1_000;
/// Maximum number of ended prefills that are kept for the recent prefill.
const MAX_RECENT_PREFILLS: usize = 64;
/// Time until a run ends if nothing is known of the runs there, in milliseconds.
const UNKNOWN_END_MS: f64 = 1_000.0;
/// Number of output tokens over which the decode time is averaged.
const AVERAGE_OUTPUT_TOKENS: f64 = 4_000.0;
/// Weight of the newest prompt in the moving average of uncached tokens.
const MEAN_TOKENS_WEIGHT: f64 = 0.1;
/// Maximum number of runs whose ends are predicted.
const MAX_PREDICTED_ENDS: usize = 64;

/// Run that has produced an event, as a replica reports it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportedRun {
    /// Request id.
    pub request: String,
    /// Tokens in memory.
    pub tokens: u32,
    /// Events produced.
    pub events: u32,
}

/// Report of a replica about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaReport {
    /// Number of orders taken; starts again from zero when the replica restarts.
    pub orders: u64,
    /// Models that the replica holds.
    pub models: Vec<ModelName>,
    /// Requests that the replica has not begun.
    pub queued: u32,
    /// Requests in progress, including those that are being prefilled.
    pub running: u32,
    /// Memory in use, in tokens.
    pub used_tokens: u64,
    /// Memory, in tokens.
    pub total_tokens: u64,
    /// Prompt tokens of the first request that is queued.
    pub next_tokens: u32,
    /// Runs that have produced an event.
    pub runs: Vec<ReportedRun>,
}

impl ReplicaReport {
    /// Returns the number of runs in progress that have not produced an event.
    fn prefilling(&self) -> u32 {
        let listed = u32::try_from(self.runs.len()).unwrap_or(u32::MAX);
        self.running.saturating_sub(listed)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunStage {
    /// Not begun by the replica, or on its way.
    Waiting,
    /// Admitted, without an event so far.
    Begun { since_ms: u64 },
    /// Listed in the last report, with its tokens in memory.
    Listed { tokens: u32 },
}

#[derive(Debug)]
struct AnnouncedRun {
    request: String,
    prompt_tokens: u32,
    answer_tokens: u32,
    uncached_tokens: u32,
    urgency: u8,
    max_gap_ms: u32,
    sent_ms: u64,
    expires_ms: u64,
    stage: RunStage,
}

impl AnnouncedRun {
    fn is_listed(&self) -> bool {
        matches!(self.stage, RunStage::Listed { .. })
    }

    fn begun_ms(&self) -> Option<u64> {
        match self.stage {
            RunStage::Begun { since_ms } => Some(since_ms),
            _ => None,
        }
    }
}

/// Figures of the last report.
#[derive(Debug)]
struct LastReport {
    orders: u64,
    models: Vec<ModelName>,
    queued: u32,
    running: u32,
    listed: u32,
    free_tokens: u64,
    next_tokens: u32,
    /// Unannounced requests that have produced no event.
    unannounced: u32,
    received_ms: u64,
}

impl LastReport {
    /// Whether requests wait for a slot or memory: some are queued while none is prefilled.
    fn is_blocked(&self) -> bool {
        self.queued > 0 && self.running <= self.listed
    }
}

/// Uncached tokens and number of requests that wait at the replica.
#[derive(Clone, Copy, Debug, Default)]
struct QueueTotals {
    /// Uncached tokens of all waiting requests.
    tokens: f64,
    /// Those of them that are prefilled before the request in question.
    tokens_ahead: f64,
    /// Waiting requests.
    requests: u32,
    /// Requests that are admitted before the one in question, and are not admitted yet.
    requests_ahead: u32,
    /// Prompt tokens of these.
    prompts_ahead: u64,
    /// Requests that are admitted and have produced no event.
    begun: u32,
}

/// Load of one replica.
#[derive(Debug, Default)]
pub struct ReplicaLoad {
    /// In order of arrival.
    runs: Vec<AnnouncedRun>,
    parts: PartCache,
    meter: PrefillMeter,
    /// Decode time per output token of one run.
    decode: UnitTime,
    /// Moving average of the uncached tokens of announced runs.
    mean_tokens: Option<f64>,
    /// Time and uncached tokens of ended prefills.
    recent: VecDeque<(u64, u32)>,
    /// When the last prefill ended.
    prefill_ended_ms: u64,
    /// Most requests that the replica runs at once, once they were seen to be the limit.
    slots: Option<u32>,
    last: Option<LastReport>,
}

impl ReplicaLoad {
    /// Applies a report that was received at `now_ms`. Returns whether it shows that the replica
    /// restarted, so that everything before it was forgotten.
    pub fn apply_report(&mut self, report: &ReplicaReport, now_ms: u64) -> bool {
        let restarted = self
            .last
            .as_ref()
            .is_some_and(|last| report.orders < last.orders);
        if restarted {
            self.forget();
        }
        self.expire(now_ms);
        self.learn_slots(report);
        let progress = self.match_runs(report, now_ms);
        self.drop_unseen(report, now_ms);
        let unlisted = self.runs.iter().filter(|run| !run.is_listed()).count();
        let reported = report.prefilling().saturating_add(report.queued);
        let unannounced = reported.saturating_sub(unlisted as u32);
        self.mark_begun(report.prefilling(), now_ms);
        let progress = PrefillProgress {
            prefilling: report.prefilling(),
            queued: report.queued,
            ..progress
        };
        self.meter.on_report(&progress, now_ms);
        if unlisted == 0 && report.prefilling() == 0 {
            // What was sent to the idle replica has ended without an event.
            self.meter.interrupt();
        }
        self.parts.retain_models(&report.models);
        let free_tokens = report.total_tokens.saturating_sub(report.used_tokens);
        self.parts.limit(free_tokens);
        // The list of models seldom changes, and is copied only then.
        let last = self.last.take().map(|last| last.models);
        let models = last.filter(|models| *models == report.models);
        self.last = Some(LastReport {
            orders: report.orders,
            models: models.unwrap_or_else(|| report.models.clone()),
            queued: report.queued,
            running: report.running,
            listed: report.runs.len() as u32,
            free_tokens,
            next_tokens: report.next_tokens,
            unannounced,
            received_ms: now_ms,
        });
        restarted
    }

    /// Forgets everything: the replica restarted, or nothing listens at its address.
    pub fn forget(&mut self) {
        *self = Self::default();
    }

    /// Records that an entry sends a request to the replica. Returns `false` if too many runs
    /// are announced already.
    pub fn record_sent(&mut self, run: RunOutline, now_ms: u64) -> bool {
        self.expire(now_ms);
        self.record_ended(&run.request);
        let uncached_tokens = self.parts.uncached_tokens(&run);
        self.parts.touch(&run);
        if self.runs.len() >= MAX_ANNOUNCED_RUNS {
            return false;
        }
        let mean = self.mean_tokens.unwrap_or(f64::from(uncached_tokens));
        let change = (f64::from(uncached_tokens) - mean) * MEAN_TOKENS_WEIGHT;
        self.mean_tokens = Some(mean + change);
        let is_empty = |last: &LastReport| last.queued == 0 && last.running <= last.listed;
        let is_idle = self.runs.iter().all(AnnouncedRun::is_listed)
            && self.last.as_ref().is_none_or(is_empty);
        if is_idle {
            self.meter.on_idle_arrival(now_ms);
        }
        let lease_ms = u64::from(run.deadline_ms).min(MAX_LEASE_MS);
        self.runs.push(AnnouncedRun {
            request: run.request,
            prompt_tokens: run.prompt_tokens,
            answer_tokens: run.answer_tokens,
            uncached_tokens,
            urgency: run.urgency,
            max_gap_ms: run.max_gap_ms,
            sent_ms: now_ms,
            expires_ms: now_ms.saturating_add(lease_ms),
            stage: match is_idle {
                true => RunStage::Begun { since_ms: now_ms },
                false => RunStage::Waiting,
            },
        });
        true
    }

    /// Records that a request is no longer at the replica.
    pub fn record_ended(&mut self, request: &str) {
        self.remove_runs(|run| run.request == request);
    }

    /// Removes the runs whose leases have expired.
    pub fn expire(&mut self, now_ms: u64) {
        self.remove_runs(|run| run.expires_ms <= now_ms);
    }

    /// Whether any announced run is known.
    pub fn has_runs(&self) -> bool {
        !self.runs.is_empty()
    }

    /// Returns the number of announced runs.
    pub fn announced_runs(&self) -> usize {
        self.runs.len()
    }

    /// Returns the cached parts.
    pub fn parts(&self) -> &PartCache {
        &self.parts
    }

    /// Returns the measured prefill time.
    pub fn prefill_time(&self, now_ms: u64) -> Option<PrefillTime> {
        self.meter.time(now_ms)
    }

    fn ms_per_token(&self, now_ms: u64) -> f64 {
        self.meter
            .time(now_ms)
            .map_or(0.0, |time| time.ms_per_token)
    }

    /// Returns the age of the last report in milliseconds; `None` without a report.
    pub fn report_age_ms(&self, now_ms: u64) -> Option<u64> {
        let last = self.last.as_ref()?;
        Some(now_ms.saturating_sub(last.received_ms))
    }

    /// Answers a quote request. Changes nothing. `None` if the replica does not hold the model.
    pub fn quote(&self, query: u64, run: &RunOutline, now_ms: u64) -> Option<QuoteReply> {
        let holds = |last: &LastReport| last.models.contains(&run.model);
        if !self.last.as_ref().is_none_or(holds) {
            return None;
        }
        let uncached_tokens = self.parts.uncached_tokens(run);
        let own = f64::from(uncached_tokens);
        let queue = self.queue_totals(run.urgency, now_ms);
        let time = self.meter.time(now_ms);
        let first_event = |time: PrefillTime| {
            let ahead_ms = queue.tokens_ahead * time.ms_per_token;
            let room_ms = self.room_wait_ms(run, &queue, now_ms);
            (ahead_ms.max(room_ms) + own * time.ms_per_token + time.fixed_ms) as u32
        };
        let queued_ms = queue.tokens * self.ms_per_token(now_ms);
        let row_ms = queued_ms + own * self.ms_per_token(now_ms);
        let is_late = |run: &&AnnouncedRun| {
            run.is_listed() && run.max_gap_ms > 0 && f64::from(run.max_gap_ms) < row_ms
        };
        let last = self.last.as_ref();
        let free_tokens = last.map_or(0, |last| last.free_tokens);
        let age_ms = self.report_age_ms(now_ms);
        Some(QuoteReply {
            query,
            first_event_ms: time.map(first_event),
            uncached_tokens,
            queued_tokens: queue.tokens as u32,
            late_streams: self.active(now_ms).filter(is_late).count() as u32,
            gap_ms: (queued_ms + self.prefill_share(now_ms) * self.prompt_ms(now_ms)) as u32,
            running: last.map_or(0, |last| last.listed),
            waiting: queue.requests,
            free_tokens: u32::try_from(free_tokens).unwrap_or(u32::MAX),
            report_age_ms: age_ms.map_or(u32::MAX, |age_ms| {
                u32::try_from(age_ms).unwrap_or(u32::MAX - 1)
            }),
        })
    }

    fn active(&self, now_ms: u64) -> impl Iterator<Item = &AnnouncedRun> {
        self.runs.iter().filter(move |run| run.expires_ms > now_ms)
    }

    /// Returns the work that waits at the replica, and the part of it that is admitted before a
    /// request of this urgency.
    fn queue_totals(&self, urgency: u8, now_ms: u64) -> QueueTotals {
        let mut totals = QueueTotals::default();
        let mut begun_ms = None;
        for run in self.active(now_ms) {
            let tokens = f64::from(run.uncached_tokens);
            let is_ahead = match run.stage {
                RunStage::Listed { .. } => continue,
                RunStage::Begun { since_ms } => {
                    totals.begun += 1;
                    begun_ms = Some(begun_ms.map_or(since_ms, |first: u64| first.min(since_ms)));
                    true
                }
                RunStage::Waiting if run.urgency <= urgency => {
                    totals.requests_ahead += 1;
                    totals.prompts_ahead += u64::from(run.prompt_tokens);
                    true
                }
                RunStage::Waiting => false,
            };
            totals.requests += 1;
            totals.tokens += tokens;
            totals.tokens_ahead += if is_ahead { tokens } else { 0.0 };
        }
        let done = begun_ms.map_or(0.0, |since_ms| self.begun_progress(since_ms, now_ms));
        totals.tokens -= done;
        totals.tokens_ahead -= done;
        if let Some(last) = &self.last {
            // Nothing is known of their urgency, so all of them go before.
            let mean = self.mean_tokens.unwrap_or(f64::from(last.next_tokens));
            let tokens = f64::from(last.unannounced) * mean;
            totals.requests += last.unannounced;
            totals.requests_ahead += last.unannounced.min(last.queued);
            totals.tokens += tokens;
            totals.tokens_ahead += tokens;
        }
        totals
    }

    /// Returns the tokens that have been prefilled of the runs that have begun, the first of them
    /// at `since_ms`.
    fn begun_progress(&self, since_ms: u64, now_ms: u64) -> f64 {
        let ms_per_token = self.ms_per_token(now_ms);
        if ms_per_token <= 0.0 {
            return 0.0;
        }
        let since_ms = since_ms.max(self.prefill_ended_ms);
        let begun = self.active(now_ms).filter(|run| run.begun_ms().is_some());
        let total: f64 = begun.map(|run| f64::from(run.uncached_tokens)).sum();
        let done = now_ms.saturating_sub(since_ms) as f64 / ms_per_token;
        done.min(total)
    }

    /// Returns the time until a slot and memory for a request are free.
    fn room_wait_ms(&self, run: &RunOutline, queue: &QueueTotals, now_ms: u64) -> f64 {
        let Some(last) = &self.last else {
            return 0.0;
        };
        let occupied = last.running.max(last.listed.saturating_add(queue.begun));
        let taken = occupied.saturating_add(queue.requests_ahead);
        let needed = queue.prompts_ahead + u64::from(run.prompt_tokens);
        let ends = match self.slots {
            Some(slots) if taken >= slots => taken - slots + 1,
            _ if last.is_blocked() || needed > last.free_tokens => queue.requests_ahead + 1,
            _ => return 0.0,
        };
        self.end_ms(ends, now_ms)
    }

    /// Returns the time until this many of the runs have ended, if all use up their output tokens.
    fn end_ms(&self, ends: u32, now_ms: u64) -> f64 {
        let Some(ms_per_token) = self.decode.ms_per_unit() else {
            return UNKNOWN_END_MS;
        };
        let mut left = [0; MAX_PREDICTED_ENDS];
        let mut count = 0;
        for run in self.active(now_ms).take(MAX_PREDICTED_ENDS) {
            if let RunStage::Listed { tokens } = run.stage {
                let produced = tokens.saturating_sub(run.prompt_tokens);
                left[count] = run.answer_tokens.saturating_sub(produced);
                count += 1;
            }
        }
        left[..count].sort_unstable();
        let index = (ends as usize)
            .saturating_sub(1)
            .min(count.saturating_sub(1));
        match left[..count].get(index) {
            Some(tokens) => f64::from(*tokens) * ms_per_token,
            None => UNKNOWN_END_MS,
        }
    }

    /// Returns the share of the last second that the replica spent on prefill.
    fn prefill_share(&self, now_ms: u64) -> f64 {
        let recent = self.recent.iter();
        let recent = recent.filter(|(ended_ms, _)| now_ms.saturating_sub(*ended_ms) < RECENT_MS);
        let tokens: f64 = recent.map(|(_, tokens)| f64::from(*tokens)).sum();
        (tokens * self.ms_per_token(now_ms) / RECENT_MS as f64).min(1.0)
    }

    /// Returns the mean prefill time of one prompt.
    fn prompt_ms(&self, now_ms: u64) -> f64 {
        self.mean_tokens.unwrap_or(0.0) * self.ms_per_token(now_ms)
    }

    /// Removes runs. If one of them had begun, its prefill may have ended early.
    fn remove_runs(&mut self, is_gone: impl Fn(&AnnouncedRun) -> bool) {
        let begun = self.runs.iter().filter(|run| run.begun_ms().is_some());
        if begun.into_iter().any(&is_gone) {
            self.meter.interrupt();
        }
        self.runs.retain(|run| !is_gone(run));
    }

    /// The number of slots is not reported: it is what runs while a request is queued that has the
    /// memory that it needs.
    fn learn_slots(&mut self, report: &ReplicaReport) {
        let free_tokens = report.total_tokens.saturating_sub(report.used_tokens);
        let lacks_slot = report.queued > 0
            && report.prefilling() == 0
            && free_tokens >= u64::from(report.next_tokens);
        let known = self.slots.unwrap_or(0);
        match self.slots {
            _ if lacks_slot && report.running > known => self.slots = Some(report.running),
            Some(slots) if report.running > slots => self.slots = Some(report.running),
            _ => {}
        }
    }

    /// Matches the announced runs with those that the report lists. Returns which prefills have
    /// ended, and whether those of other runs have.
    fn match_runs(&mut self, report: &ReplicaReport, now_ms: u64) -> PrefillProgress {
        let mut progress = PrefillProgress::default();
        let gap_ms = self.report_age_ms(now_ms).unwrap_or(0) as f64;
        self.runs.retain_mut(|run| {
            let mut listed = report.runs.iter();
            let listed = listed.find(|listed| listed.request == run.request);
            match (run.stage, listed) {
                (RunStage::Listed { .. }, None) => return false,
                (_, None) => {}
                (RunStage::Listed { tokens }, Some(listed)) => {
                    let produced = f64::from(listed.tokens.saturating_sub(tokens));
                    self.decode.add(produced, gap_ms, AVERAGE_OUTPUT_TOKENS);
                    run.stage = RunStage::Listed {
                        tokens: listed.tokens,
                    };
                }
                (_, Some(listed)) => {
                    progress.tokens = progress.tokens.saturating_add(run.uncached_tokens);
                    progress.runs += 1;
                    self.recent.push_back((now_ms, run.uncached_tokens));
                    self.prefill_ended_ms = now_ms;
                    run.stage = RunStage::Listed {
                        tokens: listed.tokens,
                    };
                }
            }
            true
        });
        while self.recent.len() > MAX_RECENT_PREFILLS {
            self.recent.pop_front();
        }
        // A run without an announcement that has produced a single event was prefilled just now.
        let is_unknown = |listed: &ReportedRun| {
            listed.events <= 1 && !self.runs.iter().any(|run| run.request == listed.request)
        };
        progress.unknown_runs = report.runs.iter().any(is_unknown);
        progress
    }

    /// Drops runs that should have arrived by now, but are more than the report counts: those first
    /// that would have been admitted first.
    fn drop_unseen(&mut self, report: &ReplicaReport, now_ms: u64) {
        let is_due = |run: &AnnouncedRun| {
            !run.is_listed() && now_ms.saturating_sub(run.sent_ms) >= ARRIVAL_MS
        };
        let reported = report.prefilling().saturating_add(report.queued) as usize;
        let mut due = self.runs.iter().filter(|run| is_due(run)).count();
        while due > reported {
            let runs = self.runs.iter().enumerate();
            let runs = runs.filter(|(_, run)| is_due(run));
            let first =
                runs.min_by_key(|(index, run)| (run.begun_ms().is_none(), run.urgency, *index));
            if let Some((index, _)) = first {
                self.runs.remove(index);
                self.meter.interrupt();
            }
            due -= 1;
        }
    }

    /// Marks as many runs as begun as the report counts, in the order of admission.
    fn mark_begun(&mut self, prefilling: u32, now_ms: u64) {
        let mut left = prefilling;
        for run in &mut self.runs {
            match run.stage {
                RunStage::Begun { .. } if left > 0 => left -= 1,
                RunStage::Begun { .. } => run.stage = RunStage::Waiting,
                _ => {}
            }
        }
        while left > 0 {
            let runs = self.runs.iter_mut().enumerate();
            let waiting = runs.filter(|(_, run)| run.stage == RunStage::Waiting);
            let Some((_, run)) = waiting.min_by_key(|(index, run)| (run.urgency, *index)) else {
                return;
            };
            run.stage = RunStage::Begun { since_ms: now_ms };
            left -= 1;
        }
    }
}
