//! State that an entry keeps of one replica: its own requests there, the load reported by the
//! replica and by the leader, and how the replica responded.

use std::collections::BTreeSet;

use crate::consensus::directory::ReplicaRecord;
use crate::consensus::software_versions::SoftwareVersion;
use crate::forward::need::{Need, URGENCY_LEVELS};
use crate::forward::prompt_parts::PromptMemory;
use crate::forward::replica_table::queue_room::ReplicaQueue;

/// Weight of the newest response in the moving average of the time per token.
const PREFILL_WEIGHT: f64 = 0.2;
/// Weight of the newest response in the best time per token, if it is better.
const BEST_FALL_WEIGHT: f64 = 0.3;
/// The same if it is worse: most worse values come from queues of other entries.
const BEST_RISE_WEIGHT: f64 = 0.03;
/// Fraction of the time limit that the predicted time to the first event may take.
pub(super) const START_FRACTION: f64 = 0.6;
/// Weight of the newest gap in the moving average of event gaps: covers about a tenth of a second
/// at the event rate of a few streams.
const GAP_WEIGHT: f64 = 0.15;
/// Age at which observed event gaps have faded out, in milliseconds.
const GAP_FADE_MS: u64 = 1_000;
/// How long the leader's totals of queued tokens are valid, in milliseconds: two further reports
/// may go unanswered.
pub(super) const CONGESTION_TTL_MS: u64 = 1_500;

/// Work duration in percent that a host reports under normal conditions.
const BASELINE_PERCENT: u32 = 100;

/// Load that a replica reported in a response, without this entry's own requests.
#[derive(Clone, Debug, Default)]
pub(super) struct ReportedLoad {
    pub(super) others_waiting: f64,
    pub(super) others_running: f64,
    pub(super) at_ms: u64,
}

/// Milliseconds until a response starts, for each token to be processed before it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PrefillTime {
    /// Moving average; rises with the queues of other entries, which this entry does not see.
    pub(super) smoothed_ms: Option<f64>,
    /// Best value of recent responses; shows the replica alone.
    pub(super) best_ms: Option<f64>,
}

impl PrefillTime {
    pub(super) fn observe(&mut self, ms_per_token: f64) {
        let smoothed_ms = self.smoothed_ms.unwrap_or(ms_per_token);
        self.smoothed_ms = Some(smoothed_ms + (ms_per_token - smoothed_ms) * PREFILL_WEIGHT);
        let best_ms = self.best_ms.unwrap_or(ms_per_token);
        let step = match ms_per_token < best_ms {
            true => BEST_FALL_WEIGHT,
            false => BEST_RISE_WEIGHT,
        };
        self.best_ms = Some(best_ms + (ms_per_token - best_ms) * step);
    }
}

/// Tokens of other entries queued at a replica, as reported by the leader.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CongestionSample {
    pub(super) tokens: u64,
    pub(super) at_ms: u64,
}

impl CongestionSample {
    pub(super) fn at(&self, now_ms: u64) -> u64 {
        match now_ms.saturating_sub(self.at_ms) {
            age_ms if age_ms < CONGESTION_TTL_MS => self.tokens,
            _ => 0,
        }
    }
}

/// Gap between stream events of a replica, as this entry sees it. All streams of an engine advance
/// in the same steps, so a few of them show the gap of all.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EventGap {
    smoothed_ms: f64,
    at_ms: u64,
}

impl EventGap {
    pub(super) fn observe(&mut self, now_ms: u64, gap_ms: f64) {
        let known_ms = self.at(now_ms);
        self.smoothed_ms = known_ms + (gap_ms - known_ms) * GAP_WEIGHT;
        self.at_ms = now_ms;
    }

    /// Returns the expected gap now. Observations fade with time.
    pub(super) fn at(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms);
        self.smoothed_ms * (1.0 - age_ms as f64 / GAP_FADE_MS as f64).max(0.0)
    }
}

/// Duration of work on a replica's host, as last reported.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HostSlowdown {
    percent: u32,
    at_ms: u64,
}

impl HostSlowdown {
    pub(super) fn observe(&mut self, now_ms: u64, percent: u32) {
        self.percent = percent;
        self.at_ms = now_ms;
    }

    /// Excess over the normal duration, as a fraction of it. It halves every `half_ms` since the
    /// report.
    pub(super) fn excess(&self, now_ms: u64, half_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        let reported = f64::from(self.percent.saturating_sub(BASELINE_PERCENT)) / 100.0;
        reported * (-age_ms / half_ms.max(1) as f64).exp2()
    }
}

/// One replica, as this entry sees it.
#[derive(Clone, Debug)]
pub(super) struct ReplicaState {
    pub(super) record: ReplicaRecord,
    /// Software version of the record's incarnation.
    pub(super) version: SoftwareVersion,
    /// Own requests whose response has not started.
    pub(super) waiting: u32,
    /// Own requests whose response has started.
    pub(super) running: u32,
    pub(super) tokens: u64,
    /// Tokens of own waiting requests, by urgency.
    pub(super) waiting_tokens: [u64; URGENCY_LEVELS],
    pub(super) prefill: PrefillTime,
    pub(super) reported: ReportedLoad,
    pub(super) congestion: CongestionSample,
    pub(super) event_gap: EventGap,
    pub(super) slowdown: HostSlowdown,
    pub(super) slots: u32,
    pub(super) queue: ReplicaQueue,
    pub(super) failure_rate: f64,
    pub(super) ejected_until_ms: u64,
    pub(super) ejections: u32,
    pub(super) full_until_ms: u64,
    pub(super) fetch_refused_until_ms: u64,
    /// Prompts that this entry sent.
    pub(super) prompts: PromptMemory,
}

impl ReplicaState {
    pub(super) fn new(record: ReplicaRecord) -> Self {
        Self {
            slots: record.slots.max(1),
            version: SoftwareVersion::Unnamed(record.incarnation()),
            record,
            waiting: 0,
            running: 0,
            tokens: 0,
            waiting_tokens: [0; URGENCY_LEVELS],
            prefill: PrefillTime::default(),
            reported: ReportedLoad::default(),
            congestion: CongestionSample::default(),
            event_gap: EventGap::default(),
            slowdown: HostSlowdown::default(),
            queue: ReplicaQueue::default(),
            failure_rate: 0.0,
            ejected_until_ms: 0,
            ejections: 0,
            full_until_ms: 0,
            fetch_refused_until_ms: 0,
            prompts: PromptMemory::default(),
        }
    }

    /// Resets the state after a restart of the replica under the same id. Only this entry's
    /// outstanding requests are kept.
    pub(super) fn reset(&mut self, record: &ReplicaRecord) {
        *self = Self {
            waiting: self.waiting,
            running: self.running,
            tokens: self.tokens,
            waiting_tokens: self.waiting_tokens,
            ..Self::new(record.clone())
        };
    }

    pub(super) fn stop_waiting(&mut self, need: &Need) {
        let tokens = &mut self.waiting_tokens[need.urgency.min(URGENCY_LEVELS - 1)];
        *tokens = tokens.saturating_sub(need.tokens);
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Tokens to be processed before the response to a request can start, including its own.
    pub(super) fn tokens_ahead(&self, need: &Need, now_ms: u64, fade_ms: u64) -> u64 {
        let urgency = need.urgency.min(URGENCY_LEVELS - 1);
        let own: u64 = self.waiting_tokens[..=urgency].iter().sum();
        own + need.tokens + self.others(need, now_ms, fade_ms)
    }

    /// Tokens queued by other entries, from the newer source: the load in the replica's responses,
    /// or the leader's totals.
    fn others(&self, need: &Need, now_ms: u64, fade_ms: u64) -> u64 {
        match self.congestion.at(now_ms) {
            tokens if tokens > 0 && self.congestion.at_ms >= self.reported.at_ms => tokens,
            _ => {
                let reported = self.reported_load(now_ms, fade_ms);
                (reported.others_waiting * need.tokens as f64) as u64
            }
        }
    }

    /// Whether a response is likely to start in time, at the given milliseconds per token.
    pub(super) fn starts_in_time(
        &self,
        need: &Need,
        now_ms: u64,
        fade_ms: u64,
        ms_per_token: f64,
    ) -> bool {
        let tokens_ahead = self.tokens_ahead(need, now_ms, fade_ms);
        // A replica without a visible queue has to be tried: its time per token is learned only
        // from responses.
        let idle = self.waiting == 0 && self.congestion.at(now_ms) == 0;
        let predicted_ms = ms_per_token * tokens_ahead as f64;
        idle || need.model.is_none() || predicted_ms <= need.limit_ms as f64 * START_FRACTION
    }

    pub(super) fn adapters(&self) -> usize {
        self.record.models.values().map(BTreeSet::len).sum()
    }

    /// Returns the reported load, faded by its age.
    fn reported_load(&self, now_ms: u64, fade_ms: u64) -> ReportedLoad {
        let age_ms = now_ms.saturating_sub(self.reported.at_ms);
        let left = 1.0 - (age_ms as f64 / fade_ms.max(1) as f64).min(1.0);
        ReportedLoad {
            others_waiting: self.reported.others_waiting * left,
            others_running: self.reported.others_running * left,
            at_ms: self.reported.at_ms,
        }
    }

    /// Returns the numbers of waiting and running requests: its own and those reported of other
    /// entries.
    pub(super) fn loads(&self, now_ms: u64, fade_ms: u64) -> (f64, f64) {
        let reported = self.reported_load(now_ms, fade_ms);
        let waiting = f64::from(self.waiting) + reported.others_waiting;
        let running = f64::from(self.running) + reported.others_running;
        (waiting, running)
    }
}
