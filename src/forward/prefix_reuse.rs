//! Which requests call for the reuse of cached prompt parts: those whose shared tokens take a
//! substantial part of the shortest latency target of their service to prefill. A request with a
//! longer target counts as well, because its prefill delays the others.
//!
//! Pure. The prefill time is measured over the requests of one service at this entry.

use crate::forward::need::Need;
use crate::forward::prompt_parts::shared_tokens;

/// Fraction of the latency target from which the prefill of the shared tokens calls for reuse.
const CALL_FRACTION: f64 = 0.15;
/// Fraction of a service's requests that call for reuse, from which it is prefill-bound.
const BOUND_FRACTION: f64 = 0.1;
/// Fraction below which a service is no longer prefill-bound. Half of the other, so that a mix of
/// requests near the limit does not switch back and forth.
const UNBOUND_FRACTION: f64 = 0.05;
/// Weight of the newest request in the fraction that calls for reuse: covers about the last
/// hundred requests.
const CALL_WEIGHT: f64 = 0.01;
/// Weight of a response in the prefill time, if it is faster.
const FALL_WEIGHT: f64 = 0.3;
/// Factor by which one slower response raises the prefill time at most: slower responses come from
/// queues of other entries and from prompts that were not cached. With a weight of 0.01, some
/// seconds of overload made short shared parts call for reuse.
const MAX_RISE: f64 = 1.0005;
/// Responses of which the fastest one counts: replicas that have just started are slow.
const FIRST_RESPONSES: u32 = 5;
/// Smallest own part of a prompt whose response is measured, in tokens: with less, the time of the
/// first decode steps and of the way there dominates.
const MIN_OWN_TOKENS: f64 = 1_000.0;
/// Smallest fraction of a prompt that counts as prefilled. With less, the time until the first
/// event says little about the prefill.
const MIN_OWN_FRACTION: f64 = 0.25;

/// Prefill time of a service, and how many of its requests call for reuse.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReuseStats {
    ms_per_token: Option<f64>,
    responses: u32,
    requests: u32,
    calling: f64,
    prefill_bound: bool,
}

impl ReuseStats {
    /// Records the time until a response started. `tokens_ahead` is the number of tokens that were
    /// to be processed before it, including the request's own.
    pub fn observe_response(&mut self, need: &Need, tokens_ahead: u64, took_ms: f64) {
        let prompt = need.prompt_tokens as f64;
        // Behind a known queue the time includes the prefill of other prompts.
        if need.model.is_none() || need.prompt_tokens == 0 || tokens_ahead > need.tokens {
            return;
        }
        // Other entries may have sent the shared parts to the replica. If they count as prefilled,
        // cached prompts make the prefill look faster than it is: a service would no longer call
        // for reuse because of the success of reuse.
        // Negative if the headers of the prompt contradict each other.
        let own = prompt - f64::from(shared_tokens(need));
        if (0.0..MIN_OWN_TOKENS).contains(&own) {
            return;
        }
        let ms_per_token = took_ms / own.max(prompt * MIN_OWN_FRACTION);
        let known = self.ms_per_token.unwrap_or(ms_per_token);
        let updated = match ms_per_token < known {
            true if self.responses < FIRST_RESPONSES => ms_per_token,
            true => known + (ms_per_token - known) * FALL_WEIGHT,
            false => ms_per_token.min(known * MAX_RISE),
        };
        self.ms_per_token = Some(updated);
        self.responses = self.responses.saturating_add(1);
    }

    /// Records that a request is sent. Returns whether that changed whether the service is
    /// prefill-bound.
    pub fn observe_request(&mut self, need: &Need, shortest_ms: Option<u64>) -> bool {
        let was_bound = self.prefill_bound;
        self.requests = self.requests.saturating_add(1);
        // The first requests have equal weight, so that the fraction is accurate early.
        let step = CALL_WEIGHT.max(1.0 / f64::from(self.requests));
        let calls = f64::from(u8::from(self.calls_for_reuse(need, shortest_ms)));
        self.calling += (calls - self.calling) * step;
        self.prefill_bound = match self.prefill_bound {
            true => self.calling >= UNBOUND_FRACTION,
            false => self.calling >= BOUND_FRACTION,
        };
        self.prefill_bound != was_bound
    }

    /// Whether the prefill of the shared tokens would take a substantial part of the latency target.
    /// `shortest_ms` is the shortest one of the service's routes, if a configuration is known.
    pub fn calls_for_reuse(&self, need: &Need, shortest_ms: Option<u64>) -> bool {
        let shared = shared_tokens(need);
        let prefill_ms = self.prefill_ms(u64::from(shared));
        let limit_ms = shortest_ms.unwrap_or(u64::MAX).min(need.limit_ms);
        shared > 0 && prefill_ms.is_some_and(|ms| ms >= limit_ms as f64 * CALL_FRACTION)
    }

    /// Returns the time to prefill a number of tokens; `None` until it was measured.
    pub fn prefill_ms(&self, tokens: u64) -> Option<f64> {
        self.ms_per_token.map(|ms| ms * tokens as f64)
    }

    /// Whether enough requests call for reuse.
    pub fn is_prefill_bound(&self) -> bool {
        self.prefill_bound
    }
}
