//! The choice of a replica for a request, and the wait for one.

use std::time::{Duration, Instant};

use crate::clock;
use crate::forward::max_wait;
use crate::forward::own_answer::Refusal;
use crate::forward::replica_table::Choice;
use crate::forward::suspect_leases::Clearance;
use crate::ids::ReplicaId;

use super::{Flight, LEAST_LEFT};

/// Longest pause between two looks at the replicas while a request waits.
const LOOK_AGAIN: Duration = Duration::from_millis(50);

impl Flight<'_> {
    /// Waits until a replica may take the request, or it must be refused.
    pub(super) async fn place(&mut self) -> Result<ReplicaId, Refusal> {
        let since = Instant::now();
        loop {
            if self.left() < LEAST_LEFT {
                return Err(Refusal::Late);
            }
            let changed = self.core.changed.notified();
            let now_ms = clock::monotonic_ms();
            let choice = self.choose(now_ms);
            let waited = since.elapsed();
            let (refusal, limit) = match choice {
                // It is chosen once more, without this replica for a while.
                Choice::Send(replica) if !self.has_permit(&replica).await => continue,
                Choice::Send(replica) => match self.clear_turn(&replica).await {
                    Clearance::Go(turn) => {
                        self.turn = turn;
                        self.log.placed(waited);
                        return Ok(replica);
                    }
                    Clearance::Barred => return Err(Refusal::Barred),
                    Clearance::Elsewhere if self.shared.insert(replica.clone()) => {
                        self.passed.insert(replica);
                        continue;
                    }
                    Clearance::Elsewhere | Clearance::Wait => (Refusal::Turn, self.room_wait()),
                },
                Choice::Fetch(replica) => {
                    self.core.wish(&replica, &self.need);
                    (Refusal::Adapter, self.aim().min(self.left() / 2))
                }
                Choice::Full => {
                    self.core.crowd_seen.notify_one();
                    (Refusal::Full, self.room_wait())
                }
                Choice::NoAdapter => (Refusal::Adapter, self.room_wait()),
                Choice::Paused(left_ms) => {
                    let refusal = Refusal::Paused;
                    (refusal, self.wait_for(refusal, waited, left_ms)?)
                }
                Choice::RateLimited(left_ms) => {
                    let refusal = Refusal::RateLimited;
                    (refusal, self.wait_for(refusal, waited, left_ms)?)
                }
                Choice::Evacuated => return Err(Refusal::Evacuated),
                Choice::Absent => {
                    let wait = max_wait::wait_for_load(self.load_time(), waited, self.left());
                    (Refusal::Absent, wait)
                }
            };
            // A stopping entry would end before what the request waits for.
            if waited >= limit || self.core.is_stopping() {
                return Err(refusal);
            }
            let pause = LOOK_AGAIN.min(limit - waited);
            let _ = tokio::time::timeout(pause, changed).await;
        }
    }

    /// Whether a replica takes any number of requests, or the leader lets this one go to it.
    async fn has_permit(&mut self, replica: &ReplicaId) -> bool {
        self.permit = None;
        let core = self.core;
        let Some(record) = core.limited_record(replica) else {
            return true;
        };
        self.permit = core.ask_permit(&record).await;
        self.permit.is_some()
    }

    /// How long a request waits that has waited for so long, where a replica takes one in
    /// `left_ms`. One that surely comes too late is refused now.
    fn wait_for(
        &self,
        refusal: Refusal,
        waited: Duration,
        left_ms: u64,
    ) -> Result<Duration, Refusal> {
        let limit = self.room_wait();
        let ends = waited + Duration::from_millis(left_ms);
        match ends > limit.min(self.left()) {
            true => Err(refusal),
            false => Ok(limit),
        }
    }

    fn room_wait(&self) -> Duration {
        max_wait::wait_for_room(self.aim(), self.core.choice().room_part)
    }

    fn choose(&self, now_ms: u64) -> Choice {
        let book = self.core.book.borrow();
        book.choose(now_ms, &self.need, &self.passed, self.bounds)
    }
}
