//! Which peers name a limit, as one entry knows: by their answers, and by what the leader tells.
//!
//! How many requests such a peer gets from all entries together is counted by the leader, see
//! [`crate::placement::replica_rates`]. What the leader takes back has ended; but what was heard
//! here and not told yet is told first.
//!
//! Pure: the caller passes in the time.

use std::collections::BTreeMap;

use crate::ids::ReplicaLife;
use crate::placement::named_limits::{
    LimitCursor, LimitEnd, LimitNotice, LimitPage, LimitReport, LimitState, PermitStamp,
};
use crate::placement::named_rate::NamedRate;

/// The last answer with a limit.
#[derive(Clone, Copy, Debug)]
struct ReceivedLimit {
    rate: NamedRate,
    received_ms: u64,
    permit: Option<PermitStamp>,
    /// The leader has weighed it.
    acknowledged: bool,
}

#[derive(Clone, Debug, Default)]
struct PeerLimit {
    /// As the leader told.
    known: Option<NamedRate>,
    /// When it told so.
    known_ms: u64,
    last: Option<ReceivedLimit>,
    /// The newest permit whose answer named no limit any more.
    ended: Option<PermitStamp>,
}

/// What an entry knows of all limits.
#[derive(Clone, Debug, Default)]
pub struct LimitedPeers {
    peers: BTreeMap<ReplicaLife, PeerLimit>,
    cursor: LimitCursor,
    /// Something is to be told before the next regular report.
    report_due: bool,
}

impl LimitedPeers {
    /// An answer named a limit. Returns whether that is news.
    pub fn record_limit(
        &mut self,
        now_ms: u64,
        replica: &ReplicaLife,
        rate: NamedRate,
        permit: Option<PermitStamp>,
    ) -> bool {
        let peer = self.peers.entry(replica.clone()).or_default();
        let known = peer.known.or(peer.last.map(|last| last.rate));
        let is_change = known != Some(rate);
        peer.last = Some(ReceivedLimit {
            rate,
            received_ms: now_ms,
            permit,
            acknowledged: false,
        });
        self.report_due |= is_change;
        is_change
    }

    /// An answer to a request that needed this permit named no limit. Returns whether it may
    /// end one.
    pub fn record_no_limit(&mut self, replica: &ReplicaLife, permit: PermitStamp) -> bool {
        let Some(peer) = self.peers.get_mut(replica) else {
            return false;
        };
        peer.ended = Some(permit);
        self.report_due = true;
        true
    }

    /// Whether the leader tells another rate of a peer than before.
    pub fn changes_rate(&self, update: &LimitState) -> bool {
        let peer = self.peers.get(&update.replica);
        peer.and_then(|peer| peer.known) != update.rate
    }

    /// Whether a peer names a limit.
    pub fn is_limited(&self, replica: &ReplicaLife) -> bool {
        let peer = self.peers.get(replica);
        peer.is_some_and(|peer| peer.known.is_some() || peer.last.is_some())
    }

    /// The last answer of a peer that named a limit, for the leader.
    pub fn latest_limit(&self, now_ms: u64, replica: &ReplicaLife) -> Option<LimitNotice> {
        let last = self.peers.get(replica)?.last?;
        Some(LimitNotice {
            replica: replica.clone(),
            rate: last.rate,
            age_ms: now_ms.saturating_sub(last.received_ms),
            permit: last.permit,
        })
    }

    /// Up to where the leader's changes are known.
    pub fn cursor(&self) -> LimitCursor {
        self.cursor
    }

    /// Whether it follows a leader.
    pub fn follows_leader(&self) -> bool {
        self.cursor != LimitCursor::default()
    }

    /// Whether something is to be told at once.
    pub fn is_report_due(&self) -> bool {
        self.report_due
    }

    /// What is to be told: ends, and limits that the leader has not weighed.
    pub fn report(&mut self, now_ms: u64) -> LimitReport {
        self.report_due = false;
        let unacknowledged = self.peers.iter().filter(|(_, peer)| match &peer.last {
            Some(last) => !last.acknowledged,
            None => false,
        });
        let named = unacknowledged.filter_map(|(replica, _)| self.latest_limit(now_ms, replica));
        let ended = self.peers.iter().filter_map(|(replica, peer)| {
            Some(LimitEnd {
                replica: replica.clone(),
                permit: peer.ended?,
            })
        });
        LimitReport {
            named: named.collect(),
            ended: ended.collect(),
            cursor: self.cursor,
        }
    }

    /// The leader has weighed a report that was made at `sent_ms`.
    pub fn acknowledge(&mut self, sent_ms: u64, report: &LimitReport) {
        for end in &report.ended {
            match self.peers.get_mut(&end.replica) {
                Some(peer) if peer.ended == Some(end.permit) => peer.ended = None,
                _ => {}
            }
        }
        for notice in &report.named {
            self.acknowledge_limit(sent_ms, &notice.replica);
        }
    }

    /// The leader has weighed the last answer of a peer as it was at `sent_ms`.
    pub fn acknowledge_limit(&mut self, sent_ms: u64, replica: &ReplicaLife) {
        let peer = self.peers.get_mut(replica);
        match peer.and_then(|peer| peer.last.as_mut()) {
            Some(last) if last.received_ms <= sent_ms => last.acknowledged = true,
            _ => {}
        }
    }

    /// A report could not be told.
    pub fn record_failed_report(&mut self) {
        self.report_due = true;
    }

    /// Takes over the leader's changes. Returns whether a limit has ended by it.
    pub fn apply_page(&mut self, now_ms: u64, page: &LimitPage) -> bool {
        // Two questions may be under way, and the later answer may come first.
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
        if page.whole {
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

    /// Another leader knows nothing of what the one before told or was told.
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

    /// Forgets lives that are over; `is_over` knows which.
    pub fn prune(&mut self, is_over: impl Fn(&ReplicaLife) -> bool) {
        self.peers.retain(|replica, _| !is_over(replica));
    }
}
