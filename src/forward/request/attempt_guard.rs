//! Accounting of one attempt at one replica in the replica table, from its start to its end.

use std::time::Instant;

use crate::clock;
use crate::forward::daemon::EntryCore;
use crate::forward::replica_table::{AttemptResult, Need};
use crate::ids::ReplicaId;
use crate::placement::advertised_limits::PermitStamp;
use crate::routing::backoff::{SendSlot, SlotOutcome};

use super::asking::AnnouncedRun;

/// Reports the end of an attempt to the replica table, even if the request is dropped midway.
pub(super) struct AttemptGuard<'a> {
    core: &'a EntryCore,
    pub(super) replica: ReplicaId,
    need: Need,
    begun: bool,
    pub(super) end: AttemptResult,
    since: Instant,
    /// Tokens to be processed before the response could start.
    tokens_ahead: u64,
    /// Claim to send, until a response or the end of the attempt releases it.
    pub(super) claim: Option<SendSlot>,
    /// The leader's permit, if the replica is rate limited.
    pub(super) permit: Option<PermitStamp>,
    /// The run, if the replica's agent was told of it.
    pub(super) announced: Option<AnnouncedRun>,
}

impl<'a> AttemptGuard<'a> {
    pub(super) fn start(core: &'a EntryCore, replica: &ReplicaId, need: &Need) -> Self {
        let mut replicas = core.replicas.borrow_mut();
        let tokens_ahead = replicas.record_sent(clock::monotonic_ms(), replica, need);
        if replicas.causes_congestion(replica, need, tokens_ahead) {
            core.congestion_seen.notify_one();
        }
        let changes = replicas.take_prefill_bound_changes();
        drop(replicas);
        for (service, prefill_bound) in changes {
            tracing::info!(%service, prefill_bound, "prefill-bound service changed");
        }
        Self {
            since: Instant::now(),
            tokens_ahead,
            core,
            replica: replica.clone(),
            need: need.clone(),
            begun: false,
            end: AttemptResult::Neutral,
            claim: None,
            permit: None,
            announced: None,
        }
    }

    /// Releases the claim, so that another request may be sent: a response has arrived, or none
    /// will.
    pub(super) fn release(&mut self, end: SlotOutcome) {
        if let Some(claim) = self.claim.take() {
            let now_ms = clock::monotonic_ms();
            let mut replicas = self.core.replicas.borrow_mut();
            replicas.release(now_ms, &self.replica, claim, end);
        }
    }

    pub(super) fn begin(&mut self) {
        if !self.begun {
            self.begun = true;
            let took_ms = self.since.elapsed().as_secs_f64() * 1000.0;
            let mut replicas = self.core.replicas.borrow_mut();
            replicas.record_response_start(&self.replica, &self.need, self.tokens_ahead, took_ms);
            drop(replicas);
            // Its prompt is no longer ahead of others.
            self.core.waiters.capacity_changed();
        }
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        self.release(SlotOutcome::Other);
        // The agent sees by the replica's report when a run ends there by itself.
        let announced = self.announced.take();
        if let (Some(run), false) = (announced, self.end == AttemptResult::Good) {
            run.end(self.core);
        }
        let now_ms = clock::monotonic_ms();
        let mut replicas = self.core.replicas.borrow_mut();
        replicas.record_end(now_ms, &self.replica, &self.need, self.begun, self.end);
        let ejections = replicas.take_ejections();
        drop(replicas);
        self.core.log_ejected(&ejections);
        self.core.notify_changed();
    }
}
