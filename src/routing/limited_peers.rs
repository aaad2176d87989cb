//! Which peers name a limit, as one entry knows: by their answers, and by what the leader tells.
//!
//! How many requests such a peer gets from all entries together is counted by the leader, see
//! [`crate::placement::replica_rates`]. What the leader takes back has ended; but what was heard
//! here and not told yet is told first.
//!
//! Pure: the caller passes in the time.

use std::collections::BTreeMap;

use crate::ids::ReplicaIncarnation;
use crate::placement::named_limits::{
    LimitCursor, LimitEnd, LimitObservation, LimitPage, LimitReport, LimitState, PermitStamp,
};
use crate::placement::named_rate::AdvertisedRate;

/// The last answer with a limit.
#[derive(Clone, Copy, Debug)]
struct HeardLimit {
    rate: AdvertisedRate,
    at_ms: u64,
    permit: Option<PermitStamp>,
    /// The leader has weighed it.
    told: bool,
}

#[derive(Clone, Debug, Default)]
struct LimitNote {
    /// As the leader told.
    known: Option<AdvertisedRate>,
    /// When it told so.
    known_ms: u64,
    heard: Option<HeardLimit>,
    /// The newest permit whose answer named no limit any more.
    ended: Option<PermitStamp>,
}

/// What an entry knows of all limits.
#[derive(Clone, Debug, Default)]
pub struct LimitedPeers {
    notes: BTreeMap<ReplicaIncarnation, LimitNote>,
    cursor: LimitCursor,
    /// Something is to be told before the next regular report.
    has_news: bool,
}

impl LimitedPeers {
    /// An answer named a limit. Returns whether that is news.
    pub fn hear(
        &mut self,
        now_ms: u64,
        peer: &ReplicaIncarnation,
        rate: AdvertisedRate,
        permit: Option<PermitStamp>,
    ) -> bool {
        let note = self.notes.entry(peer.clone()).or_default();
        let known = note.known.or(note.heard.map(|heard| heard.rate));
        let is_news = known != Some(rate);
        note.heard = Some(HeardLimit {
            rate,
            at_ms: now_ms,
            permit,
            told: false,
        });
        self.has_news |= is_news;
        is_news
    }

    /// An answer to a request that needed this permit named no limit. Returns whether it may
    /// end one.
    pub fn hear_none(&mut self, peer: &ReplicaIncarnation, permit: PermitStamp) -> bool {
        let Some(note) = self.notes.get_mut(peer) else {
            return false;
        };
        note.ended = Some(permit);
        self.has_news = true;
        true
    }

    /// Whether the leader tells another rate of a peer than before.
    pub fn is_news(&self, state: &LimitState) -> bool {
        let note = self.notes.get(&state.replica);
        note.and_then(|note| note.known) != state.rate
    }

    /// Whether a peer names a limit.
    pub fn is_limited(&self, peer: &ReplicaIncarnation) -> bool {
        let note = self.notes.get(peer);
        note.is_some_and(|note| note.known.is_some() || note.heard.is_some())
    }

    /// The last answer of a peer that named a limit, for the leader.
    pub fn last_notice(&self, now_ms: u64, peer: &ReplicaIncarnation) -> Option<LimitObservation> {
        let heard = self.notes.get(peer)?.heard?;
        Some(LimitObservation {
            replica: peer.clone(),
            rate: heard.rate,
            age_ms: now_ms.saturating_sub(heard.at_ms),
            permit: heard.permit,
        })
    }

    /// Up to where the leader's changes are known.
    pub fn cursor(&self) -> LimitCursor {
        self.cursor
    }

    /// Whether it follows a leader.
    pub fn follows(&self) -> bool {
        self.cursor != LimitCursor::default()
    }

    /// Whether something is to be told at once.
    pub fn has_news(&self) -> bool {
        self.has_news
    }

    /// What is to be told: ends, and limits that the leader has not weighed.
    pub fn report(&mut self, now_ms: u64) -> LimitReport {
        self.has_news = false;
        let untold = self.notes.iter().filter(|(_, note)| match &note.heard {
            Some(heard) => !heard.told,
            None => false,
        });
        let named = untold.filter_map(|(peer, _)| self.last_notice(now_ms, peer));
        let ended = self.notes.iter().filter_map(|(peer, note)| {
            Some(LimitEnd {
                replica: peer.clone(),
                permit: note.ended?,
            })
        });
        LimitReport {
            observed: named.collect(),
            ended: ended.collect(),
            cursor: self.cursor,
        }
    }

    /// The leader has weighed a report that was made at `asked_ms`.
    pub fn confirm(&mut self, asked_ms: u64, report: &LimitReport) {
        for end in &report.ended {
            match self.notes.get_mut(&end.replica) {
                Some(note) if note.ended == Some(end.permit) => note.ended = None,
                _ => {}
            }
        }
        for notice in &report.observed {
            self.confirm_notice(asked_ms, &notice.replica);
        }
    }

    /// The leader has weighed the last answer of a peer as it was at `asked_ms`.
    pub fn confirm_notice(&mut self, asked_ms: u64, peer: &ReplicaIncarnation) {
        let note = self.notes.get_mut(peer);
        match note.and_then(|note| note.heard.as_mut()) {
            Some(heard) if heard.at_ms <= asked_ms => heard.told = true,
            _ => {}
        }
    }

    /// A report could not be told.
    pub fn miss(&mut self) {
        self.has_news = true;
    }

    /// Takes over the leader's changes. Returns whether a limit has ended by it.
    pub fn follow(&mut self, now_ms: u64, page: &LimitPage) -> bool {
        // Two questions may be under way, and the later answer may come first.
        let gathers = page.cursor == LimitCursor::default();
        if page.cursor < self.cursor && !gathers {
            return false;
        }
        let before = self.limited();
        let is_new_leader = page.cursor.term != self.cursor.term;
        self.cursor = page.cursor;
        if is_new_leader {
            self.report_anew(now_ms);
        }
        if page.full {
            for note in self.notes.values_mut() {
                note.known = None;
                note.heard = note.heard.filter(|heard| !heard.told);
            }
        }
        for state in &page.limits {
            self.take(now_ms, state);
        }
        self.notes
            .retain(|_, note| note.known.is_some() || note.heard.is_some() || note.ended.is_some());
        self.limited() < before
    }

    fn limited(&self) -> usize {
        let notes = self.notes.values();
        notes
            .filter(|note| note.known.is_some() || note.heard.is_some())
            .count()
    }

    /// Another leader knows nothing of what the one before told or was told.
    fn report_anew(&mut self, now_ms: u64) {
        for note in self.notes.values_mut() {
            let known = note.known.map(|rate| HeardLimit {
                rate,
                at_ms: note.known_ms.min(now_ms),
                permit: None,
                told: false,
            });
            note.heard = note.heard.or(known);
            if let Some(heard) = &mut note.heard {
                heard.told = false;
            }
            note.ended = None;
            self.has_news |= note.heard.is_some();
        }
    }

    fn take(&mut self, now_ms: u64, state: &LimitState) {
        let note = self.notes.entry(state.replica.clone()).or_default();
        note.known = state.rate;
        note.known_ms = now_ms;
        if state.rate.is_none() {
            note.heard = note.heard.filter(|heard| !heard.told);
            self.has_news |= note.heard.is_some();
        }
    }

    /// Forgets lives that are over; `is_over` knows which.
    pub fn prune(&mut self, is_over: impl Fn(&ReplicaIncarnation) -> bool) {
        self.notes.retain(|peer, _| !is_over(peer));
    }
}
