//! What an entry notes of one replica: its own requests there, what it and others told, and
//! how it answered.

use std::collections::{BTreeSet, VecDeque};

use crate::consensus::directory::ReplicaRecord;
use crate::forward::need::{Need, URGENCIES};

/// Weight of the newest answer in a pace.
const PACE_STEP: f64 = 0.2;
/// Weight of the newest answer in the best pace, where it is better.
const PACE_FALL: f64 = 0.3;
/// The same where it is worse: most are so as others had requests waiting.
const PACE_RISE: f64 = 0.03;
/// Part of the time limit that the predicted beginning may take.
pub(super) const PACE_PART: f64 = 0.6;
/// Weight of the newest pause between two events in a replica's pauses: about a
/// tenth of a second at the rate of a few streams.
const PAUSE_STEP: f64 = 0.15;
/// Time by which what was seen of pauses has faded, in milliseconds.
const PAUSE_FADE_MS: u64 = 1_000;
/// How long the leader's word on crowded replicas counts, in milliseconds: two more reports
/// may go unanswered.
pub(super) const CROWD_MS: u64 = 1_500;

/// What a host tells on which work takes as long as usual.
const USUAL_PERCENT: u32 = 100;

/// The load that a replica told on an answer, without this entry's own requests.
#[derive(Clone, Debug, Default)]
pub(super) struct ToldLoad {
    pub(super) others_waiting: f64,
    pub(super) others_running: f64,
    pub(super) at_ms: u64,
}

/// Milliseconds until an answer begins, for each token that is read before.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReadPace {
    /// As answers show it: the higher, the more others have waiting unseen.
    pub(super) smooth_ms: Option<f64>,
    /// As answers show it at their best: of the replica alone.
    pub(super) best_ms: Option<f64>,
}

impl ReadPace {
    pub(super) fn note(&mut self, pace_ms: f64) {
        let smooth_ms = self.smooth_ms.unwrap_or(pace_ms);
        self.smooth_ms = Some(smooth_ms + (pace_ms - smooth_ms) * PACE_STEP);
        let best_ms = self.best_ms.unwrap_or(pace_ms);
        let step = match pace_ms < best_ms {
            true => PACE_FALL,
            false => PACE_RISE,
        };
        self.best_ms = Some(best_ms + (pace_ms - best_ms) * step);
    }
}

/// What other entries have waiting at a replica, as the leader told it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CrowdNote {
    pub(super) tokens: u64,
    pub(super) at_ms: u64,
}

impl CrowdNote {
    pub(super) fn at(&self, now_ms: u64) -> u64 {
        match now_ms.saturating_sub(self.at_ms) {
            age_ms if age_ms < CROWD_MS => self.tokens,
            _ => 0,
        }
    }
}

/// The pauses between events of a replica's streams, as this entry sees them. All
/// streams of an engine share its steps, so that few of them tell of all.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StreamPause {
    smooth_ms: f64,
    at_ms: u64,
}

impl StreamPause {
    pub(super) fn note(&mut self, now_ms: u64, pause_ms: f64) {
        let known_ms = self.at(now_ms);
        self.smooth_ms = known_ms + (pause_ms - known_ms) * PAUSE_STEP;
        self.at_ms = now_ms;
    }

    /// The pause to be expected now: what was seen fades where nothing is seen.
    pub(super) fn at(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms);
        self.smooth_ms * (1.0 - age_ms as f64 / PAUSE_FADE_MS as f64).max(0.0)
    }
}

/// How long work takes on a replica's host, by its newest word.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WorkPace {
    percent: u32,
    at_ms: u64,
}

impl WorkPace {
    pub(super) fn note(&mut self, now_ms: u64, percent: u32) {
        self.percent = percent;
        self.at_ms = now_ms;
    }

    /// How much longer than usual, as a part of the usual; of an old word so much less.
    pub(super) fn excess(&self, now_ms: u64, half_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        let told = f64::from(self.percent.saturating_sub(USUAL_PERCENT)) / 100.0;
        told * (-age_ms / half_ms.max(1) as f64).exp2()
    }
}

/// One replica, as this entry sees it.
#[derive(Clone, Debug)]
pub(super) struct ReplicaNote {
    pub(super) record: ReplicaRecord,
    /// Own requests that have no first byte yet.
    pub(super) waiting: u32,
    /// Own requests whose answer has begun.
    pub(super) running: u32,
    pub(super) tokens: u64,
    /// Tokens of own requests that wait, by urgency.
    pub(super) waiting_tokens: [u64; URGENCIES],
    pub(super) pace: ReadPace,
    pub(super) told: ToldLoad,
    pub(super) crowd: CrowdNote,
    pub(super) pause: StreamPause,
    pub(super) work: WorkPace,
    pub(super) slots: u32,
    pub(super) failing: f64,
    pub(super) ejected_until_ms: u64,
    pub(super) ejections: u32,
    pub(super) full_until_ms: u64,
    pub(super) no_fetch_until_ms: u64,
    pub(super) prefixes: VecDeque<u64>,
}

impl ReplicaNote {
    pub(super) fn new(record: ReplicaRecord) -> Self {
        Self {
            slots: record.slots.max(1),
            record,
            waiting: 0,
            running: 0,
            tokens: 0,
            waiting_tokens: [0; URGENCIES],
            pace: ReadPace::default(),
            told: ToldLoad::default(),
            crowd: CrowdNote::default(),
            pause: StreamPause::default(),
            work: WorkPace::default(),
            failing: 0.0,
            ejected_until_ms: 0,
            ejections: 0,
            full_until_ms: 0,
            no_fetch_until_ms: 0,
            prefixes: VecDeque::new(),
        }
    }

    /// The replica has started again under its id: nothing of the life before tells of this
    /// one, but for the requests that this entry still has there.
    pub(super) fn begin_life(&mut self, record: &ReplicaRecord) {
        *self = Self {
            waiting: self.waiting,
            running: self.running,
            tokens: self.tokens,
            waiting_tokens: self.waiting_tokens,
            ..Self::new(record.clone())
        };
    }

    pub(super) fn stop_waiting(&mut self, need: &Need) {
        let tokens = &mut self.waiting_tokens[need.urgency.min(URGENCIES - 1)];
        *tokens = tokens.saturating_sub(need.tokens);
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Tokens that are read before the answer to a request can begin, its own
    /// among them.
    pub(super) fn ahead(&self, need: &Need, now_ms: u64, fade_ms: u64) -> u64 {
        let urgency = need.urgency.min(URGENCIES - 1);
        let own: u64 = self.waiting_tokens[..=urgency].iter().sum();
        own + need.tokens + self.others(need, now_ms, fade_ms)
    }

    /// Tokens that others have waiting, by the newest word: what the replica told of all its
    /// requests, or what the leader told of all entries.
    fn others(&self, need: &Need, now_ms: u64, fade_ms: u64) -> u64 {
        match self.crowd.at(now_ms) {
            tokens if tokens > 0 && self.crowd.at_ms >= self.told.at_ms => tokens,
            _ => {
                let told = self.told_load(now_ms, fade_ms);
                (told.others_waiting * need.tokens as f64) as u64
            }
        }
    }

    /// Whether an answer is likely to begin in time, at so many milliseconds a token.
    pub(super) fn is_quick(&self, need: &Need, now_ms: u64, fade_ms: u64, pace_ms: f64) -> bool {
        let ahead = self.ahead(need, now_ms, fade_ms);
        // Without word of others it has to be tried: its pace is learned by answers alone.
        let idle = self.waiting == 0 && self.crowd.at(now_ms) == 0;
        let predicted_ms = pace_ms * ahead as f64;
        idle || need.model.is_none() || predicted_ms <= need.limit_ms as f64 * PACE_PART
    }

    pub(super) fn adapters(&self) -> usize {
        self.record.models.values().map(BTreeSet::len).sum()
    }

    /// What is left of the told load: it fades with its age.
    fn told_load(&self, now_ms: u64, fade_ms: u64) -> ToldLoad {
        let age_ms = now_ms.saturating_sub(self.told.at_ms);
        let left = 1.0 - (age_ms as f64 / fade_ms.max(1) as f64).min(1.0);
        ToldLoad {
            others_waiting: self.told.others_waiting * left,
            others_running: self.told.others_running * left,
            at_ms: self.told.at_ms,
        }
    }

    /// Requests that wait, and that run: its own and what was told of others.
    pub(super) fn loads(&self, now_ms: u64, fade_ms: u64) -> (f64, f64) {
        let told = self.told_load(now_ms, fade_ms);
        let waiting = f64::from(self.waiting) + told.others_waiting;
        let running = f64::from(self.running) + told.others_running;
        (waiting, running)
    }
}
