//! When one entry may ask again for a permit to send to a peer: not while the leader has none
//! to give, and not with more questions at once than can be answered with a permit.
//!
//! Pure: the caller passes in the time.

use std::collections::BTreeMap;

use crate::placement::named_rate::NamedRate;
use crate::placement::replica_rates::PermitRefusal;

/// Time after which a question gets no answer any more, in milliseconds.
pub const ASK_MS: u64 = 125;
/// Questions at once after a permit was given; after a refusal it is one.
const MOST_ASKING: usize = 2;
/// When it is looked again whether a question has been answered, in milliseconds.
const LOOK_MS: u64 = 10;

#[derive(Clone, Debug, Default)]
struct PaceNote {
    refused_until_ms: u64,
    /// The limit under which it was refused.
    rate: Option<NamedRate>,
    /// When each question that has no answer was asked.
    asking: Vec<u64>,
    granted: bool,
}

impl PaceNote {
    fn left_ms(&self, now_ms: u64) -> Option<u64> {
        let most = if self.granted { MOST_ASKING } else { 1 };
        let open = self.asking.iter().filter(|at| now_ms < **at + ASK_MS);
        match self.refused_until_ms.saturating_sub(now_ms) {
            0 if open.count() < most => None,
            0 => Some(LOOK_MS),
            left_ms => Some(left_ms),
        }
    }
}

/// The pace of all peers, by their id.
#[derive(Clone, Debug)]
pub struct PermitPace<Id> {
    notes: BTreeMap<Id, PaceNote>,
}

impl<Id> Default for PermitPace<Id> {
    fn default() -> Self {
        Self {
            notes: BTreeMap::new(),
        }
    }
}

impl<Id: Ord + Clone> PermitPace<Id> {
    /// A permit is asked for.
    pub fn ask(&mut self, now_ms: u64, id: &Id) {
        let note = self.notes.entry(id.clone()).or_default();
        note.asking.retain(|at| now_ms < at + ASK_MS);
        note.asking.push(now_ms);
    }

    /// What was asked at `asked_ms` is permitted.
    pub fn grant(&mut self, asked_ms: u64, id: &Id) {
        let note = self.notes.entry(id.clone()).or_default();
        note.asking.retain(|at| *at != asked_ms);
        note.granted = true;
    }

    /// What was asked at `asked_ms` is refused, and so is all else for a time.
    pub fn refuse(&mut self, now_ms: u64, asked_ms: u64, id: &Id, refusal: PermitRefusal) {
        let note = self.notes.entry(id.clone()).or_default();
        note.asking.retain(|at| *at != asked_ms);
        note.granted = false;
        note.refused_until_ms = now_ms.saturating_add(refusal.wait_ms);
        note.rate = refusal.rate;
    }

    /// A peer names another limit: what was refused under the one before says nothing.
    pub fn follow(&mut self, id: &Id, rate: Option<NamedRate>) {
        if self.notes.get(id).is_some_and(|note| note.rate != rate) {
            self.notes.remove(id);
        }
    }

    /// Time until a permit may be asked for, in milliseconds; none where it may now.
    pub fn left_ms(&self, now_ms: u64, id: &Id) -> Option<u64> {
        self.notes.get(id)?.left_ms(now_ms)
    }

    /// Forgets what says nothing any more.
    pub fn prune(&mut self, now_ms: u64) {
        self.notes.retain(|_, note| note.left_ms(now_ms).is_some());
    }
}
