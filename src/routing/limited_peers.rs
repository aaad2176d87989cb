//! Tracks which replicas advertise a rate limit, by their responses to one entry and by the
//! leader's updates.
//!
//! The leader counts the requests of all entries to such a replica, see
//! [`crate::placement::replica_rates`]. A limit that the leader withdraws has ended, unless this
//! entry received it in a response that the leader has not processed yet.
//!
//! Pure: the caller passes in the time.

use std::collections::BTreeMap;

use crate::ids::ReplicaIncarnation;
use crate::placement::advertised_limits::{
    LimitCursor, LimitEnd, LimitObservation, LimitPage, LimitReport, LimitState, PermitStamp,
};
use crate::placement::advertised_rate::AdvertisedRate;

/// Limit advertised in a response.
#[derive(Clone, Copy, Debug)]
struct ReceivedLimit {
    rate: AdvertisedRate,
    received_ms: u64,
    permit: Option<PermitStamp>,
    /// Whether the leader has processed it.
    acknowledged: bool,
}

#[derive(Clone, Debug, Default)]
struct PeerLimit {
    /// Rate by the leader's last update.
    known: Option<AdvertisedRate>,
    /// Time of that update, in milliseconds.
    known_ms: u64,
    /// Last limit that a response to this entry advertised.
    last: Option<ReceivedLimit>,
    /// Permit of the last response that no longer advertised a limit, until the leader has
    /// processed it.
    ended: Option<PermitStamp>,
}

/// Advertised rate limits known to one entry.
#[derive(Clone, Debug, Default)]
pub struct LimitedPeers {
    peers: BTreeMap<ReplicaIncarnation, PeerLimit>,
    cursor: LimitCursor,
    /// Whether a report is due before the next regular one.
    report_due: bool,
}

impl LimitedPeers {
    /// Records a limit that a response advertised. Returns whether the rate differs from the known
    /// one.
    pub fn record_limit(
        &mut self,
        now_ms: u64,
        replica: &ReplicaIncarnation,
        rate: AdvertisedRate,
        permit: Option<PermitStamp>,
    ) -> bool {
        let peer = self.peers.entry(replica.clone()).or_default();
        let known = peer.known.or(peer.last.map(|last| last.rate));
        let is_new_rate = known != Some(rate);
        peer.last = Some(ReceivedLimit {
            rate,
            received_ms: now_ms,
            permit,
            acknowledged: false,
        });
        self.report_due |= is_new_rate;
        is_new_rate
    }

    /// Records that a response to a request with this permit advertised no limit. Returns whether
    /// that may end a known limit.
    pub fn record_no_limit(&mut self, replica: &ReplicaIncarnation, permit: PermitStamp) -> bool {
        let Some(peer) = self.peers.get_mut(replica) else {
            return false;
        };
        peer.ended = Some(permit);
        self.report_due = true;
        true
    }

    /// Whether an update of the leader changes the leader's rate for a replica.
    pub fn changes_rate(&self, update: &LimitState) -> bool {
        let peer = self.peers.get(&update.replica);
        peer.and_then(|peer| peer.known) != update.rate
    }

    /// Whether a replica is known to advertise a limit.
    pub fn is_limited(&self, replica: &ReplicaIncarnation) -> bool {
        let peer = self.peers.get(replica);
        peer.is_some_and(|peer| peer.known.is_some() || peer.last.is_some())
    }

    /// Returns the last limit that a replica advertised to this entry, for the leader.
    pub fn latest_limit(
        &self,
        now_ms: u64,
        replica: &ReplicaIncarnation,
    ) -> Option<LimitObservation> {
        let last = self.peers.get(replica)?.last?;
        Some(LimitObservation {
            replica: replica.clone(),
            rate: last.rate,
            age_ms: now_ms.saturating_sub(last.received_ms),
            permit: last.permit,
        })
    }

    /// Returns the position up to which the leader's changes are applied.
    pub fn cursor(&self) -> LimitCursor {
        self.cursor
    }

    /// Whether the changes of a leader are applied.
    pub fn follows_leader(&self) -> bool {
        self.cursor != LimitCursor::default()
    }

    /// Whether a report is due now.
    pub fn is_report_due(&self) -> bool {
        self.report_due
    }

    /// Creates a report of ended limits and of limits that the leader has not processed.
    pub fn report(&mut self, now_ms: u64) -> LimitReport {
        self.report_due = false;
        let unacknowledged = self.peers.iter().filter(|(_, peer)| match &peer.last {
            Some(last) => !last.acknowledged,
            None => false,
        });
        let observations =
            unacknowledged.filter_map(|(replica, _)| self.latest_limit(now_ms, replica));
        let ended = self.peers.iter().filter_map(|(replica, peer)| {
            Some(LimitEnd {
                replica: replica.clone(),
                permit: peer.ended?,
            })
        });
        LimitReport {
            observed: observations.collect(),
            ended: ended.collect(),
            cursor: self.cursor,
        }
    }

    /// Records that the leader has processed a report that was created at `sent_ms`.
    pub fn acknowledge(&mut self, sent_ms: u64, report: &LimitReport) {
        for end in &report.ended {
            match self.peers.get_mut(&end.replica) {
                Some(peer) if peer.ended == Some(end.permit) => peer.ended = None,
                _ => {}
            }
        }
        for observation in &report.observed {
            self.acknowledge_limit(sent_ms, &observation.replica);
        }
    }

    /// Records that the leader has processed the last limit of a replica as of `sent_ms`.
    pub fn acknowledge_limit(&mut self, sent_ms: u64, replica: &ReplicaIncarnation) {
        let peer = self.peers.get_mut(replica);
        match peer.and_then(|peer| peer.last.as_mut()) {
            Some(last) if last.received_ms <= sent_ms => last.acknowledged = true,
            _ => {}
        }
    }

    /// Records that a report was not delivered.
    pub fn record_failed_report(&mut self) {
        self.report_due = true;
    }

    /// Applies the leader's changes. Returns whether that ended a limit.
    pub fn apply_page(&mut self, now_ms: u64, page: &LimitPage) -> bool {
        // Two requests may be in flight, and their replies may arrive in reverse order.
        let gathers = page.cursor == LimitCursor::default();
        if page.cursor < self.cursor && !gathers {
            return false;
        }
        let before = self.limited();
        let is_new_leader = page.cursor.term != self.cursor.term;
        self.cursor = page.cursor;
        if is_new_leader {
            self.reset_for_new_leader(now_ms);
        }
        if page.full {
            for peer in self.peers.values_mut() {
                peer.known = None;
                peer.last = peer.last.filter(|last| !last.acknowledged);
            }
        }
        for update in &page.limits {
            self.apply_state(now_ms, update);
        }
        self.peers
            .retain(|_, peer| peer.known.is_some() || peer.last.is_some() || peer.ended.is_some());
        self.limited() < before
    }

    fn limited(&self) -> usize {
        let peers = self.peers.values();
        peers
            .filter(|peer| peer.known.is_some() || peer.last.is_some())
            .count()
    }

    /// Makes all limits due for a report: a new leader knows neither the updates nor the reports of
    /// the previous one.
    fn reset_for_new_leader(&mut self, now_ms: u64) {
        for peer in self.peers.values_mut() {
            let known = peer.known.map(|rate| ReceivedLimit {
                rate,
                received_ms: peer.known_ms.min(now_ms),
                permit: None,
                acknowledged: false,
            });
            peer.last = peer.last.or(known);
            if let Some(last) = &mut peer.last {
                last.acknowledged = false;
            }
            peer.ended = None;
            self.report_due |= peer.last.is_some();
        }
    }

    fn apply_state(&mut self, now_ms: u64, update: &LimitState) {
        let peer = self.peers.entry(update.replica.clone()).or_default();
        peer.known = update.rate;
        peer.known_ms = now_ms;
        if update.rate.is_none() {
            peer.last = peer.last.filter(|last| !last.acknowledged);
            self.report_due |= peer.last.is_some();
        }
    }

    /// Removes replica incarnations that have ended by `is_over`.
    pub fn prune(&mut self, is_over: impl Fn(&ReplicaIncarnation) -> bool) {
        self.peers.retain(|replica, _| !is_over(replica));
    }
}
