//! Which peers may be sent to, by what they asked for in their answers: to be left alone for
//! a time, or for good as they leave.
//!
//! Pure: the caller passes in the time. One place for replicas and for agents' targets, asked
//! when a peer is chosen and, where it counts arrivals, once more right before the bytes
//! leave: what lies between may take longer than the answer that forbids it. It is kept apart
//! from what the log tells of peers, so that a record that goes and comes back does not bring
//! back a peer that asked to be left alone.

use std::collections::BTreeMap;

/// Longest pause that one answer gets, in milliseconds: one wrong word costs a home for so
/// long at most. Where a longer one was named, [`MAX_PROBES`] bounds what comes after.
pub const MAX_BACKOFF_MS: u64 = 600_000;
/// Requests that a peer gets within the time that it named, once the longest pause is over.
/// A peer that means its time gets no more of them; one that serves has taken it back.
const MAX_PROBES: u32 = 2;
/// After a pause the requests that may be unanswered at once double each so many
/// milliseconds, besides once for each good answer: one that answers late is not kept waiting
/// for more than two seconds, one that still turns away sees one request, not a crowd.
const REOPENING_STEP_MS: u64 = 300;
/// So many of them are no bound any more.
const UNLIMITED_REQUESTS: u32 = 64;
/// How long the word of a peer that leaves is kept, in milliseconds: it ends much sooner, and
/// its record may be told for as long as it lives.
const DRAINING_TTL_MS: u64 = 3_600_000;

/// A pause that a peer asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestedBackoff {
    /// Its length, in milliseconds.
    pub ms: u64,
}

impl RequestedBackoff {
    /// Reads the values of a `Retry-After` header, in seconds with fractions. Of several the
    /// longest counts; what is no positive number of seconds (a date, a word) asks for nothing.
    pub fn parse<'a>(values: impl Iterator<Item = &'a str>) -> Option<Self> {
        let parts = values.flat_map(|value| value.split(','));
        let seconds = parts.filter_map(|part| part.trim().parse::<f64>().ok());
        let positive = seconds.filter(|seconds| seconds.is_finite() && *seconds > 0.0);
        let longest = positive.max_by(f64::total_cmp)?;
        // A conversion of what is too large ends at the largest number.
        let ms = (longest * 1000.0).ceil() as u64;
        Some(Self { ms })
    }
}

/// Why nothing may be sent to a peer now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Blocked {
    /// It asked to be left alone.
    Paused {
        /// For so much longer, in milliseconds.
        left_ms: u64,
    },
    /// Its pause is over, and first requests show whether it takes more.
    Reopening,
    /// It leaves.
    Leaving,
}

/// A request that was let through; to be given back once.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct SendSlot {
    /// It is one of those whose number is bounded.
    is_bounded: bool,
}

/// What an answer shows of the peer's will to take more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotOutcome {
    /// It took the request.
    Accepted,
    /// It did not, or nothing is known.
    Other,
}

/// The life of a peer that leaves.
#[derive(Clone, Copy, Debug)]
struct DrainingPeer {
    incarnation: u64,
    at_ms: u64,
}

/// What one peer asked for.
#[derive(Clone, Debug, Default)]
struct PeerState {
    /// Until when it is left alone.
    until_ms: u64,
    /// The same as it named it, where that is longer.
    requested_until_ms: u64,
    /// Requests sent within the time that it named.
    probes: u32,
    /// Requests without an answer, of those sent since it asked first.
    in_flight: u32,
    /// Most of them after the pause, before time raises it.
    limit: u32,
    draining: Option<DrainingPeer>,
}

impl PeerState {
    fn limit_at(&self, now_ms: u64) -> u32 {
        let steps = now_ms.saturating_sub(self.until_ms) / REOPENING_STEP_MS;
        let factor = 1 << steps.min(6);
        self.limit.saturating_mul(factor)
    }

    fn blocked_by(&self, now_ms: u64, incarnation: u64) -> Option<Blocked> {
        let paused = |until_ms: u64| Blocked::Paused {
            left_ms: until_ms - now_ms,
        };
        match self {
            peer if peer.is_draining(incarnation) => Some(Blocked::Leaving),
            peer if now_ms < peer.until_ms => Some(paused(peer.until_ms)),
            peer if now_ms < peer.requested_until_ms && peer.probes >= MAX_PROBES => {
                Some(paused(peer.requested_until_ms))
            }
            peer if peer.limit > 0 && peer.in_flight >= peer.limit_at(now_ms) => {
                Some(Blocked::Reopening)
            }
            _ => None,
        }
    }

    fn is_draining(&self, incarnation: u64) -> bool {
        self.draining
            .is_some_and(|draining| draining.incarnation == incarnation)
    }

    /// Whether it still says anything.
    fn is_relevant(&self, now_ms: u64) -> bool {
        let draining = |draining: DrainingPeer| draining.at_ms + DRAINING_TTL_MS > now_ms;
        let paused = now_ms < self.until_ms.max(self.requested_until_ms);
        let reopening = self.limit > 0 && self.limit_at(now_ms) < UNLIMITED_REQUESTS;
        paused || reopening || self.draining.is_some_and(draining)
    }
}

/// What all peers asked for, by their id. A pause holds for all lives of an id, as nobody can
/// tell which of two lives answered while one follows the other; that it leaves, for one life.
#[derive(Clone, Debug)]
pub struct BackoffTracker<Id> {
    peers: BTreeMap<Id, PeerState>,
}

impl<Id> Default for BackoffTracker<Id> {
    fn default() -> Self {
        Self {
            peers: BTreeMap::new(),
        }
    }
}

impl<Id: Ord + Clone> BackoffTracker<Id> {
    /// A peer asks to be left alone. A later word moves the end of an earlier one further
    /// away, never nearer.
    pub fn back_off(&mut self, now_ms: u64, id: &Id, backoff: RequestedBackoff) {
        let peer = self.peers.entry(id.clone()).or_default();
        if now_ms >= peer.requested_until_ms {
            peer.probes = 0;
        }
        let capped_ms = now_ms.saturating_add(backoff.ms.min(MAX_BACKOFF_MS));
        peer.until_ms = peer.until_ms.max(capped_ms);
        let requested_ms = now_ms.saturating_add(backoff.ms);
        peer.requested_until_ms = peer.requested_until_ms.max(requested_ms);
        peer.limit = 1;
    }

    /// A peer leaves, in this life of it.
    pub fn record_draining(&mut self, now_ms: u64, id: &Id, incarnation: u64) {
        let peer = self.peers.entry(id.clone()).or_default();
        let at_ms = now_ms;
        match peer.draining {
            // The late word of a life before.
            Some(known) if known.incarnation > incarnation => {}
            _ => peer.draining = Some(DrainingPeer { incarnation, at_ms }),
        }
    }

    /// Whether nobody has asked for anything that still counts.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Why nothing may be sent to a life of a peer now; none where something may.
    pub fn blocked_by(&self, now_ms: u64, id: &Id, incarnation: u64) -> Option<Blocked> {
        self.peers.get(id)?.blocked_by(now_ms, incarnation)
    }

    /// Whether a peer leaves in this life.
    pub fn is_draining(&self, id: &Id, incarnation: u64) -> bool {
        self.peers
            .get(id)
            .is_some_and(|peer| peer.is_draining(incarnation))
    }

    /// The last look, right before a request leaves.
    pub fn acquire(&mut self, now_ms: u64, id: &Id, incarnation: u64) -> Result<SendSlot, Blocked> {
        let Some(peer) = self.peers.get_mut(id) else {
            return Ok(SendSlot { is_bounded: false });
        };
        if let Some(block) = peer.blocked_by(now_ms, incarnation) {
            return Err(block);
        }
        peer.probes += u32::from(now_ms < peer.requested_until_ms);
        peer.in_flight += 1;
        Ok(SendSlot { is_bounded: true })
    }

    /// A request that was let through is answered, or given up.
    pub fn release(&mut self, now_ms: u64, id: &Id, slot: SendSlot, outcome: SlotOutcome) {
        let Some(peer) = self.peers.get_mut(id).filter(|_| slot.is_bounded) else {
            return;
        };
        peer.in_flight = peer.in_flight.saturating_sub(1);
        // An answer from before the pause says nothing of what comes after it.
        if outcome == SlotOutcome::Accepted && now_ms >= peer.until_ms {
            peer.limit = peer.limit.saturating_mul(2);
            peer.requested_until_ms = peer.requested_until_ms.min(now_ms);
        }
    }

    /// Forgets what says nothing any more.
    pub fn prune(&mut self, now_ms: u64) {
        self.peers.retain(|_, peer| peer.is_relevant(now_ms));
    }
}
