//! What an entry notes of one replica: its own requests there, what it and others told, and
//! how it answered.

use std::collections::{BTreeSet, VecDeque};

use crate::consensus::directory::ReplicaRecord;
use crate::forward::need::{Need, URGENCY_LEVELS};

/// Weight of the newest answer in a pace.
const PREFILL_WEIGHT: f64 = 0.2;
/// Weight of the newest answer in the best pace, where it is better.
const BEST_FALL_WEIGHT: f64 = 0.3;
/// The same where it is worse: most are so as others had requests waiting.
const BEST_RISE_WEIGHT: f64 = 0.03;
/// Part of the time limit that the predicted beginning may take.
pub(super) const START_FRACTION: f64 = 0.6;
/// Weight of the newest pause between two events in a replica's pauses: about a
/// tenth of a second at the rate of a few streams.
const GAP_WEIGHT: f64 = 0.15;
/// Time by which what was seen of pauses has faded, in milliseconds.
const GAP_FADE_MS: u64 = 1_000;
/// How long the leader's word on crowded replicas counts, in milliseconds: two more reports
/// may go unanswered.
pub(super) const CONGESTION_TTL_MS: u64 = 1_500;

/// What a host tells on which work takes as long as usual.
const BASELINE_PERCENT: u32 = 100;

/// The load that a replica told on an answer, without this entry's own requests.
#[derive(Clone, Debug, Default)]
pub(super) struct ReportedLoad {
    pub(super) others_waiting: f64,
    pub(super) others_running: f64,
    pub(super) at_ms: u64,
}

/// Milliseconds until an answer begins, for each token that is read before.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PrefillTime {
    /// As answers show it: the higher, the more others have waiting unseen.
    pub(super) smoothed_ms: Option<f64>,
    /// As answers show it at their best: of the replica alone.
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

/// What other entries have waiting at a replica, as the leader told it.
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

/// The pauses between events of a replica's streams, as this entry sees them. All
/// streams of an engine share its steps, so that few of them tell of all.
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

    /// The pause to be expected now: what was seen fades where nothing is seen.
    pub(super) fn at(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms);
        self.smoothed_ms * (1.0 - age_ms as f64 / GAP_FADE_MS as f64).max(0.0)
    }
}

/// How long work takes on a replica's host, by its newest word.
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

    /// How much longer than usual, as a part of the usual; of an old word so much less.
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
    /// Own requests that have no first byte yet.
    pub(super) waiting: u32,
    /// Own requests whose answer has begun.
    pub(super) running: u32,
    pub(super) tokens: u64,
    /// Tokens of own requests that wait, by urgency.
    pub(super) waiting_tokens: [u64; URGENCY_LEVELS],
    pub(super) prefill: PrefillTime,
    pub(super) reported: ReportedLoad,
    pub(super) congestion: CongestionSample,
    pub(super) event_gap: EventGap,
    pub(super) slowdown: HostSlowdown,
    pub(super) slots: u32,
    pub(super) failure_rate: f64,
    pub(super) ejected_until_ms: u64,
    pub(super) ejections: u32,
    pub(super) full_until_ms: u64,
    pub(super) fetch_refused_until_ms: u64,
    pub(super) prefixes: VecDeque<u64>,
}

impl ReplicaState {
    pub(super) fn new(record: ReplicaRecord) -> Self {
        Self {
            slots: record.slots.max(1),
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
            failure_rate: 0.0,
            ejected_until_ms: 0,
            ejections: 0,
            full_until_ms: 0,
            fetch_refused_until_ms: 0,
            prefixes: VecDeque::new(),
        }
    }

    /// The replica has started again under its id: nothing of the incarnation before tells of this
    /// one, but for the requests that this entry still has there.
    pub(super) fn restart(&mut self, record: &ReplicaRecord) {
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

    /// Tokens that are read before the answer to a request can begin, its own
    /// among them.
    pub(super) fn tokens_ahead(&self, need: &Need, now_ms: u64, fade_ms: u64) -> u64 {
        let urgency = need.urgency.min(URGENCY_LEVELS - 1);
        let own: u64 = self.waiting_tokens[..=urgency].iter().sum();
        own + need.tokens + self.others(need, now_ms, fade_ms)
    }

    /// Tokens that others have waiting, by the newest word: what the replica told of all its
    /// requests, or what the leader told of all entries.
    fn others(&self, need: &Need, now_ms: u64, fade_ms: u64) -> u64 {
        match self.congestion.at(now_ms) {
            tokens if tokens > 0 && self.congestion.at_ms >= self.reported.at_ms => tokens,
            _ => {
                let reported = self.reported_load(now_ms, fade_ms);
                (reported.others_waiting * need.tokens as f64) as u64
            }
        }
    }

    /// Whether an answer is likely to begin in time, at so many milliseconds a token.
    pub(super) fn starts_in_time(
        &self,
        need: &Need,
        now_ms: u64,
        fade_ms: u64,
        ms_per_token: f64,
    ) -> bool {
        let tokens_ahead = self.tokens_ahead(need, now_ms, fade_ms);
        // Without word of others it has to be tried: its pace is learned by answers alone.
        let idle = self.waiting == 0 && self.congestion.at(now_ms) == 0;
        let predicted_ms = ms_per_token * tokens_ahead as f64;
        idle || need.model.is_none() || predicted_ms <= need.limit_ms as f64 * START_FRACTION
    }

    pub(super) fn adapters(&self) -> usize {
        self.record.models.values().map(BTreeSet::len).sum()
    }

    /// What is left of the told load: it fades with its age.
    fn reported_load(&self, now_ms: u64, fade_ms: u64) -> ReportedLoad {
        let age_ms = now_ms.saturating_sub(self.reported.at_ms);
        let left = 1.0 - (age_ms as f64 / fade_ms.max(1) as f64).min(1.0);
        ReportedLoad {
            others_waiting: self.reported.others_waiting * left,
            others_running: self.reported.others_running * left,
            at_ms: self.reported.at_ms,
        }
    }

    /// Requests that wait, and that run: its own and what was told of others.
    pub(super) fn loads(&self, now_ms: u64, fade_ms: u64) -> (f64, f64) {
        let reported = self.reported_load(now_ms, fade_ms);
        let waiting = f64::from(self.waiting) + reported.others_waiting;
        let running = f64::from(self.running) + reported.others_running;
        (waiting, running)
    }
}
