//! Choice of a replica by the quotes of the agents beside them.
//!
//! A quote shows the replica's load now; what an entry knows otherwise is some seconds old. What
//! blocks a replica, and which ones were tried or are ejected, holds for both choices alike.

use std::collections::{BTreeMap, BTreeSet};

use crate::admission::quote::QuoteReply;
use crate::consensus::directory::ReplicaRecord;
use crate::forward::locality::HallDistance;
use crate::forward::need::Need;
use crate::forward::prompt_parts::shared_tokens;
use crate::forward::replica_state::ReplicaState;
use crate::ids::ReplicaId;

use super::{Choice, EngineBounds, ReplicaTable};

/// Quotes for one request.
pub type Quotes = BTreeMap<ReplicaId, QuoteReply>;

/// Fraction of the time limit that the quoted time to the first event may take. More than for a
/// prediction by old loads, which needs a margin for what the entry does not see.
const QUOTED_START_FRACTION: f64 = 0.9;
/// Homes that are asked because they come first in the order that all entries share: they are
/// the ones that probably have the shared parts of the prompt cached.
const ASKED_IN_ORDER: usize = 2;
/// Cost of a stream that would become late, as a fraction of the time limit.
const LATE_STREAM_FRACTION: f64 = 0.5;
/// Cost of a replica that is reserved for requests of the other kind (prefill or decode), as a
/// fraction of the time limit: it is used if the others would use up half of the limit.
const RESERVED_FRACTION: f64 = 0.5;
/// Cost of prefilling shared tokens that are not cached, as a multiple of their prefill time: at the
/// first home in order, at the second and at others. Later requests for the same parts go to the
/// first homes; what another home prefills is prefilled again.
const UNCACHED_FACTORS: [f64; 3] = [0.5, 1.0, 2.0];
/// Part of the time limit that a quoted first event may take at a home that holds the adapter before
/// the adapter is loaded at another one: the load and its way through the log take time as well.
const HOLDER_START_FRACTION: f64 = 0.5;
/// Cost of a replica in another data hall, in milliseconds: about a round trip.
const HALL_COST_MS: f64 = 1.0;

/// Cost of beginning a stream at the only home of a software version, in milliseconds.
const SOLE_HOME_COST_MS: f64 = 1.0;

/// The homes for a request in the order that all entries share, and those among them that are
/// reserved for requests of the other kind, or the only home of their software version.
struct HomeOrder<'a> {
    homes: Vec<&'a ReplicaId>,
    reserved: BTreeSet<&'a ReplicaId>,
    sole_homes: BTreeSet<&'a ReplicaId>,
}

/// A candidate with its quote.
struct QuotedHome<'a> {
    state: &'a ReplicaState,
    quote: &'a QuoteReply,
    /// Predicted time to the first event, in milliseconds.
    first_event_ms: f64,
    cost_ms: f64,
    /// Position in the order that all entries share.
    position: usize,
}

impl ReplicaTable {
    /// Returns the replicas whose agents should be asked for a request, at most `ask_homes` of the
    /// policy and none of `already_asked`: first homes in the order that all entries share, then
    /// the cheapest ones, with one that holds the adapter among them.
    pub fn quote_candidates(
        &self,
        now_ms: u64,
        need: &Need,
        attempted: &BTreeSet<ReplicaId>,
        bounds: EngineBounds,
        already_asked: &BTreeSet<ReplicaId>,
    ) -> Vec<&ReplicaRecord> {
        let limit = self.policy.ask_homes as usize;
        let Ok((mut left, preferences)) = self.remaining(now_ms, need, attempted, bounds) else {
            return Vec::new();
        };
        left.retain(|state| {
            let asked = already_asked.contains(&state.record.id);
            !asked && state.full_until_ms <= now_ms
        });
        let mut first = self.homes_in_order(need);
        first.retain(|id| left.iter().any(|state| state.record.id == **id));
        first.truncate(ASKED_IN_ORDER.min(limit));
        let (mut asked, mut left): (Vec<_>, Vec<_>) = left
            .into_iter()
            .partition(|state| first.contains(&&state.record.id));
        while asked.len() < limit {
            // Among the quoted homes there must be one with the adapter, if there is any: else the
            // adapter would be loaded once more.
            let has_holder = asked.iter().any(|state| self.holds_adapter(state, need));
            let holders = left.iter().copied();
            let holders = holders.filter(|state| !has_holder && self.holds_adapter(state, need));
            let holder = self.cheapest(holders, need, &preferences, now_ms);
            let any = || self.cheapest(left.iter().copied(), need, &preferences, now_ms);
            let Some(next) = holder.or_else(any) else {
                break;
            };
            left.retain(|state| state.record.id != next.record.id);
            asked.push(next);
        }
        asked.into_iter().map(|state| &state.record).collect()
    }

    /// Chooses the replica with the least cost by its quote; [`Choice::Full`] if none of the
    /// quoted ones has free capacity in time.
    pub fn choose_quoted(
        &self,
        now_ms: u64,
        need: &Need,
        attempted: &BTreeSet<ReplicaId>,
        bounds: EngineBounds,
        quotes: &Quotes,
    ) -> Choice {
        let (candidates, preferences) = match self.remaining(now_ms, need, attempted, bounds) {
            Ok(remaining) => remaining,
            Err(choice) => return choice,
        };
        let order = HomeOrder {
            homes: self.homes_in_order(need),
            reserved: preferences.reserved,
            sole_homes: preferences.sole_homes,
        };
        let homes = candidates.iter().filter_map(|state| {
            let quote = quotes.get(&state.record.id)?;
            let home = self.quoted_home(state, quote, need, now_ms, &order);
            (home.starts_in_time(need) && state.full_until_ms <= now_ms).then_some(home)
        });
        let homes: BTreeMap<&ReplicaId, QuotedHome> =
            homes.map(|home| (&home.state.record.id, home)).collect();
        let states: Vec<&ReplicaState> = homes.values().map(|home| home.state).collect();
        let home = |state: &ReplicaState| homes.get(&state.record.id);
        self.choose_among(
            &states,
            need,
            now_ms,
            bounds,
            |states| {
                let homes = states.iter().filter_map(|state| home(state));
                let best = homes.min_by(|a, b| {
                    let by_cost = a.cost_ms.total_cmp(&b.cost_ms);
                    by_cost.then(a.position.cmp(&b.position))
                });
                best.map(|home| home.state)
            },
            |state| home(state).is_some_and(|home| home.starts_early(need)),
        )
    }

    /// Chooses by the known loads among the replicas without a quote.
    pub fn choose_unquoted(
        &self,
        now_ms: u64,
        need: &Need,
        attempted: &BTreeSet<ReplicaId>,
        bounds: EngineBounds,
        quotes: &Quotes,
    ) -> Choice {
        let (mut candidates, preferences) = match self.remaining(now_ms, need, attempted, bounds) {
            Ok(remaining) => remaining,
            Err(choice) => return choice,
        };
        candidates.retain(|state| {
            let quoted = quotes.contains_key(&state.record.id);
            !quoted && self.has_capacity(state, need, now_ms, bounds.memory)
        });
        self.choose_among(
            &candidates,
            need,
            now_ms,
            bounds,
            |states| self.cheapest(states.iter().copied(), need, &preferences, now_ms),
            |state| self.is_lightly_loaded(state, now_ms),
        )
    }

    /// Returns the predicted time from sending a request to its first event, in milliseconds.
    pub fn quoted_first_event_ms(&self, need: &Need, quote: &QuoteReply) -> f64 {
        let tokens = u64::from(quote.queued_tokens) + u64::from(quote.uncached_tokens);
        let own_ms = || self.prefill_ms(need, tokens);
        quote.first_event_ms.map_or_else(own_ms, f64::from)
    }

    /// Returns the time to prefill tokens by the measurements of this entry, in milliseconds; 0
    /// without one.
    fn prefill_ms(&self, need: &Need, tokens: u64) -> f64 {
        let stats = self.reuse_stats_for(need);
        let prefill_ms = stats.and_then(|stats| stats.prefill_ms(tokens));
        prefill_ms.unwrap_or(0.0)
    }

    /// Returns the shortest quoted time to the first event less the time limit, in milliseconds:
    /// when one of the quoted replicas should have free capacity for the request.
    pub fn quoted_capacity_in_ms(&self, need: &Need, quotes: &Quotes) -> Option<u64> {
        let first = quotes.values();
        let first = first.map(|quote| self.quoted_first_event_ms(need, quote));
        let soonest_ms = first.min_by(f64::total_cmp)?;
        Some((soonest_ms - need.limit_ms as f64).max(0.0) as u64)
    }

    fn quoted_home<'a>(
        &self,
        state: &'a ReplicaState,
        quote: &'a QuoteReply,
        need: &Need,
        now_ms: u64,
        order: &HomeOrder<'_>,
    ) -> QuotedHome<'a> {
        let first_event_ms = self.quoted_first_event_ms(need, quote);
        let late_ms = f64::from(quote.late_streams) * need.limit_ms as f64 * LATE_STREAM_FRACTION;
        let gap_ms = match need.max_gap_ms {
            0 => 0,
            allowed_ms => u64::from(quote.gap_ms).saturating_sub(allowed_ms),
        };
        // The unit of the policy's costs is the prefill of one prompt.
        let prompt_ms = self.ms_per_token(state, need, now_ms) * need.tokens as f64;
        let hall_ms = match self.location.distance(&state.record.hall) {
            HallDistance::SameHall => 0.0,
            HallDistance::SameRegion => HALL_COST_MS,
            HallDistance::OtherRegion => HALL_COST_MS + self.policy.region_cost * prompt_ms,
        };
        // A replica that fails its requests has few of them, so its quotes are good.
        let failure_ms = state.failure_rate * self.policy.failure_cost * prompt_ms;
        let id = &state.record.id;
        let position = order.homes.iter().position(|home| *home == id);
        let position = position.unwrap_or(order.homes.len());
        let reserved_ms = match order.reserved.contains(id) {
            true => need.limit_ms as f64 * RESERVED_FRACTION,
            false => 0.0,
        };
        let sole_home_ms = match order.sole_homes.contains(id) {
            true => SOLE_HOME_COST_MS,
            false => 0.0,
        };
        let uncached = u64::from(quote.uncached_tokens.min(shared_tokens(need)));
        let uncached_factor = UNCACHED_FACTORS[position.min(UNCACHED_FACTORS.len() - 1)];
        let uncached_ms = self.prefill_ms(need, uncached) * uncached_factor;
        let wait_ms = first_event_ms + late_ms + gap_ms as f64;
        QuotedHome {
            state,
            quote,
            first_event_ms,
            cost_ms: wait_ms + reserved_ms + uncached_ms + hall_ms + failure_ms + sole_home_ms,
            position,
        }
    }
}

impl QuotedHome<'_> {
    fn starts_early(&self, need: &Need) -> bool {
        self.first_event_ms <= need.limit_ms as f64 * HOLDER_START_FRACTION
    }

    /// Whether the replica has free capacity for the request within its time limit.
    fn starts_in_time(&self, need: &Need) -> bool {
        let quote = self.quote;
        // A request that no replica can start in time is served late rather than never.
        let idle = quote.running == 0 && quote.waiting == 0;
        // An agent that predicts the first event includes the wait for a slot and for memory.
        let has_room = quote.first_event_ms.is_some()
            || (u64::from(quote.free_tokens) >= need.tokens
                && quote.running.saturating_add(quote.waiting) < self.state.slots);
        let in_time = self.first_event_ms <= need.limit_ms as f64 * QUOTED_START_FRACTION;
        idle || (has_room && in_time)
    }
}
