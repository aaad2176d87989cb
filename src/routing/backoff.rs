//! Tracks backoff that peers request in their responses, and peers that are draining.
//!
//! Pure: the caller passes in the time. Serves replicas as well as agents' targets. It is checked
//! when a peer is chosen and, where in-flight requests are counted, again right before a request is
//! sent, because a response that forbids sending may arrive in between. It is kept apart from the
//! replicated peer records, so that a record that is removed and added again does not cancel a
//! backoff.

use std::collections::BTreeMap;

/// Longest backoff applied for one response, in milliseconds, so that one wrong value makes a home
/// unavailable for at most this long. If a peer requested a longer one, [`MAX_PROBES`] limits the
/// requests sent until that has passed.
pub const MAX_BACKOFF_MS: u64 = 600_000;
/// Maximum number of requests sent to a peer between the end of the longest backoff and the end
/// that the peer requested. A peer that rejects them gets no more until then; one that accepts a
/// request ends its own backoff.
const MAX_PROBES: u32 = 2;
/// Interval in which the limit of unanswered requests doubles after a backoff, in milliseconds.
/// Each accepted request doubles it as well. A peer that responds late is unrestricted after two
/// seconds; one that still rejects requests receives one instead of a burst.
const REOPENING_STEP_MS: u64 = 300;
/// Limit of unanswered requests from which a peer counts as unrestricted.
const UNLIMITED_REQUESTS: u32 = 64;
/// How long a draining peer is remembered, in milliseconds. The peer exits much sooner, but its
/// record may be advertised until then.
const DRAINING_TTL_MS: u64 = 3_600_000;

/// Backoff requested by a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestedBackoff {
    /// Duration, in milliseconds.
    pub ms: u64,
}

impl RequestedBackoff {
    /// Parses the values of a `Retry-After` header, in seconds with fractions. The longest of
    /// several values counts; a value that is not a positive number of seconds, such as a date or a
    /// word, is ignored.
    pub fn parse<'a>(values: impl Iterator<Item = &'a str>) -> Option<Self> {
        let parts = values.flat_map(|value| value.split(','));
        let seconds = parts.filter_map(|part| part.trim().parse::<f64>().ok());
        let positive = seconds.filter(|seconds| seconds.is_finite() && *seconds > 0.0);
        let longest = positive.max_by(f64::total_cmp)?;
        // The conversion saturates at the largest number.
        let ms = (longest * 1000.0).ceil() as u64;
        Some(Self { ms })
    }
}

/// Why no request may be sent to a peer now. Log lines show the names of the variants and their
/// fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Blocked {
    /// The peer requested a backoff.
    Paused {
        /// Remaining time, in milliseconds.
        left_ms: u64,
    },
    /// The backoff has ended, and the limit of unanswered requests is reached.
    Reopening,
    /// The peer is draining.
    Leaving,
}

/// Permission to send one request, to be returned once with [`BackoffTracker::release`].
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct SendSlot {
    /// Whether the request counts towards the peer's limit.
    is_bounded: bool,
}

/// Whether a peer accepted the request of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotOutcome {
    /// The peer accepted the request.
    Accepted,
    /// The peer rejected the request, or the result is unknown.
    Other,
}

/// Incarnation of a peer that is draining.
#[derive(Clone, Copy, Debug)]
struct DrainingPeer {
    incarnation: u64,
    at_ms: u64,
}

/// Backoff and draining state of one peer.
#[derive(Clone, Debug, Default)]
struct PeerState {
    /// End of the backoff, at most [`MAX_BACKOFF_MS`] after the response.
    until_ms: u64,
    /// End of the backoff as the peer requested it.
    requested_until_ms: u64,
    /// Requests sent before `requested_until_ms`.
    probes: u32,
    /// Unanswered requests among those sent since the first backoff.
    in_flight: u32,
    /// Limit of unanswered requests when the backoff ends; grows with time.
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

    /// Whether this state still affects any request.
    fn is_relevant(&self, now_ms: u64) -> bool {
        let draining = |draining: DrainingPeer| draining.at_ms + DRAINING_TTL_MS > now_ms;
        let paused = now_ms < self.until_ms.max(self.requested_until_ms);
        let reopening = self.limit > 0 && self.limit_at(now_ms) < UNLIMITED_REQUESTS;
        paused || reopening || self.draining.is_some_and(draining)
    }
}

/// Backoff and draining state of all peers, by ID. A backoff holds for all incarnations of an ID,
/// because a response cannot be attributed to one of two incarnations while one replaces the other.
/// Draining holds for one incarnation.
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
    /// Records a requested backoff. A later one extends the end of an earlier one but never
    /// shortens it.
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

    /// Records that an incarnation of a peer is draining.
    pub fn record_draining(&mut self, now_ms: u64, id: &Id, incarnation: u64) {
        let peer = self.peers.entry(id.clone()).or_default();
        let at_ms = now_ms;
        match peer.draining {
            // A late report about an earlier incarnation.
            Some(known) if known.incarnation > incarnation => {}
            _ => peer.draining = Some(DrainingPeer { incarnation, at_ms }),
        }
    }

    /// Whether no state is recorded for any peer.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns why no request may be sent to an incarnation of a peer now; `None` if one may.
    pub fn blocked_by(&self, now_ms: u64, id: &Id, incarnation: u64) -> Option<Blocked> {
        self.peers.get(id)?.blocked_by(now_ms, incarnation)
    }

    /// Whether an incarnation of a peer is draining.
    pub fn is_draining(&self, id: &Id, incarnation: u64) -> bool {
        self.peers
            .get(id)
            .is_some_and(|peer| peer.is_draining(incarnation))
    }

    /// Final check right before a request is sent: reserves a slot for it.
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

    /// Returns the slot of a request that was answered or abandoned.
    pub fn release(&mut self, now_ms: u64, id: &Id, slot: SendSlot, outcome: SlotOutcome) {
        let Some(peer) = self.peers.get_mut(id).filter(|_| slot.is_bounded) else {
            return;
        };
        peer.in_flight = peer.in_flight.saturating_sub(1);
        // A response that arrives during the backoff says nothing about the time after it.
        if outcome == SlotOutcome::Accepted && now_ms >= peer.until_ms {
            peer.limit = peer.limit.saturating_mul(2);
            peer.requested_until_ms = peer.requested_until_ms.min(now_ms);
        }
    }

    /// Removes state that no longer affects any request.
    pub fn prune(&mut self, now_ms: u64) {
        self.peers.retain(|_, peer| peer.is_relevant(now_ms));
    }
}
