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
/// long at most. Where a longer one was named, [`MOST_TRIALS`] bounds what comes after.
pub const LONGEST_PAUSE_MS: u64 = 600_000;
/// Requests that a peer gets within the time that it named, once the longest pause is over.
/// A peer that means its time gets no more of them; one that serves has taken it back.
const MOST_TRIALS: u32 = 2;
/// After a pause the requests that may be unanswered at once double each so many
/// milliseconds, besides once for each good answer: one that answers late is not kept waiting
/// for more than two seconds, one that still turns away sees one request, not a crowd.
const STEP_MS: u64 = 300;
/// So many of them are no bound any more.
const NO_LIMIT: u32 = 64;
/// How long the word of a peer that leaves is kept, in milliseconds: it ends much sooner, and
/// its record may be told for as long as it lives.
const LEAVING_KEPT_MS: u64 = 3_600_000;

/// A pause that a peer asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AskedPause {
    /// Its length, in milliseconds.
    pub ms: u64,
}

impl AskedPause {
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
pub enum SendBar {
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
pub struct SendClaim {
    /// It is one of those whose number is bounded.
    bounded: bool,
}

/// What an answer shows of the peer's will to take more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimEnd {
    /// It took the request.
    Taken,
    /// It did not, or nothing is known.
    Other,
}

/// The life of a peer that leaves.
#[derive(Clone, Copy, Debug)]
struct LeavingLife {
    life: u64,
    told_ms: u64,
}

/// What one peer asked for.
#[derive(Clone, Debug, Default)]
struct PeerNote {
    /// Until when it is left alone.
    until_ms: u64,
    /// The same as it named it, where that is longer.
    named_until_ms: u64,
    /// Requests sent within the time that it named.
    trials: u32,
    /// Requests without an answer, of those sent since it asked first.
    open: u32,
    /// Most of them after the pause, before time raises it.
    limit: u32,
    leaving: Option<LeavingLife>,
}

impl PeerNote {
    fn limit_at(&self, now_ms: u64) -> u32 {
        let steps = now_ms.saturating_sub(self.until_ms) / STEP_MS;
        let factor = 1 << steps.min(6);
        self.limit.saturating_mul(factor)
    }

    fn bar(&self, now_ms: u64, life: u64) -> Option<SendBar> {
        let paused = |until_ms: u64| SendBar::Paused {
            left_ms: until_ms - now_ms,
        };
        match self {
            note if note.leaves(life) => Some(SendBar::Leaving),
            note if now_ms < note.until_ms => Some(paused(note.until_ms)),
            note if now_ms < note.named_until_ms && note.trials >= MOST_TRIALS => {
                Some(paused(note.named_until_ms))
            }
            note if note.limit > 0 && note.open >= note.limit_at(now_ms) => {
                Some(SendBar::Reopening)
            }
            _ => None,
        }
    }

    fn leaves(&self, life: u64) -> bool {
        self.leaving.is_some_and(|leaving| leaving.life == life)
    }

    /// Whether it still says anything.
    fn counts(&self, now_ms: u64) -> bool {
        let leaving = |leaving: LeavingLife| leaving.told_ms + LEAVING_KEPT_MS > now_ms;
        let paused = now_ms < self.until_ms.max(self.named_until_ms);
        let reopening = self.limit > 0 && self.limit_at(now_ms) < NO_LIMIT;
        paused || reopening || self.leaving.is_some_and(leaving)
    }
}

/// What all peers asked for, by their id. A pause holds for all lives of an id, as nobody can
/// tell which of two lives answered while one follows the other; that it leaves, for one life.
#[derive(Clone, Debug)]
pub struct BackoffBook<Id> {
    notes: BTreeMap<Id, PeerNote>,
}

impl<Id> Default for BackoffBook<Id> {
    fn default() -> Self {
        Self {
            notes: BTreeMap::new(),
        }
    }
}

impl<Id: Ord + Clone> BackoffBook<Id> {
    /// A peer asks to be left alone. A later word moves the end of an earlier one further
    /// away, never nearer.
    pub fn pause(&mut self, now_ms: u64, id: &Id, asked: AskedPause) {
        let note = self.notes.entry(id.clone()).or_default();
        if now_ms >= note.named_until_ms {
            note.trials = 0;
        }
        let kept_ms = now_ms.saturating_add(asked.ms.min(LONGEST_PAUSE_MS));
        note.until_ms = note.until_ms.max(kept_ms);
        let named_ms = now_ms.saturating_add(asked.ms);
        note.named_until_ms = note.named_until_ms.max(named_ms);
        note.limit = 1;
    }

    /// A peer leaves, in this life of it.
    pub fn leave(&mut self, now_ms: u64, id: &Id, life: u64) {
        let note = self.notes.entry(id.clone()).or_default();
        let told_ms = now_ms;
        match note.leaving {
            // The late word of a life before.
            Some(known) if known.life > life => {}
            _ => note.leaving = Some(LeavingLife { life, told_ms }),
        }
    }

    /// Whether nobody has asked for anything that still counts.
    pub fn is_empty(&self) -> bool {
        self.notes.is_empty()
    }

    /// Why nothing may be sent to a life of a peer now; none where something may.
    pub fn bar(&self, now_ms: u64, id: &Id, life: u64) -> Option<SendBar> {
        self.notes.get(id)?.bar(now_ms, life)
    }

    /// Whether a peer leaves in this life.
    pub fn leaves(&self, id: &Id, life: u64) -> bool {
        self.notes.get(id).is_some_and(|note| note.leaves(life))
    }

    /// The last look, right before a request leaves.
    pub fn claim(&mut self, now_ms: u64, id: &Id, life: u64) -> Result<SendClaim, SendBar> {
        let Some(note) = self.notes.get_mut(id) else {
            return Ok(SendClaim { bounded: false });
        };
        if let Some(bar) = note.bar(now_ms, life) {
            return Err(bar);
        }
        note.trials += u32::from(now_ms < note.named_until_ms);
        note.open += 1;
        Ok(SendClaim { bounded: true })
    }

    /// A request that was let through is answered, or given up.
    pub fn release(&mut self, now_ms: u64, id: &Id, claim: SendClaim, end: ClaimEnd) {
        let Some(note) = self.notes.get_mut(id).filter(|_| claim.bounded) else {
            return;
        };
        note.open = note.open.saturating_sub(1);
        // An answer from before the pause says nothing of what comes after it.
        if end == ClaimEnd::Taken && now_ms >= note.until_ms {
            note.limit = note.limit.saturating_mul(2);
            note.named_until_ms = note.named_until_ms.min(now_ms);
        }
    }

    /// Forgets what says nothing any more.
    pub fn prune(&mut self, now_ms: u64) {
        self.notes.retain(|_, note| note.counts(now_ms));
    }
}
