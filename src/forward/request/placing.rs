//! Choice of a replica for a request, and the wait for one.

use std::time::{Duration, Instant};

use crate::forward::capacity_waiters::LinePlace;
use crate::forward::max_wait;
use crate::forward::own_answer::Refusal;
use crate::forward::replica_table::Choice;
use crate::forward::suspect_leases::Clearance;
use crate::forward::waiting_line::LineKey;
use crate::ids::ReplicaId;

use super::{ForwardedRequest, MIN_TIME_LEFT};

/// Longest time between two checks of the replicas while a request waits.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The same for a request that has quotes: agents learn of a change within 25 ms.
const QUOTED_RECHECK_INTERVAL: Duration = Duration::from_millis(25);

impl ForwardedRequest<'_> {
    /// Waits until a replica may take the request, or the request must be refused.
    pub(super) async fn choose_replica(&mut self) -> Result<ReplicaId, Refusal> {
        let line = self.line();
        self.log.begin_wait();
        let chosen = self.await_replica(line.as_ref()).await;
        self.log.end_wait();
        if let Some(line) = &line {
            self.record_line_end(line, &chosen);
        }
        chosen
    }

    async fn await_replica(&mut self, line: Option<&LineKey>) -> Result<ReplicaId, Refusal> {
        let since = Instant::now();
        let mut place = self.join_behind_others(line);
        loop {
            if self.left() < MIN_TIME_LEFT {
                return Err(Refusal::DeadlinePassed);
            }
            if self.would_outlive_entry() {
                return Err(Refusal::Stopping);
            }
            let changed = self.core.changed.notified();
            // A verdict also applies to requests that wait.
            self.check_suspects()?;
            self.require_version();
            let may_try = place.as_ref().is_none_or(LinePlace::is_first);
            let choice = match may_try {
                true => self.choose().await,
                false => Choice::Full,
            };
            let waited = since.elapsed();
            let (refusal, limit) = match choice {
                // The next round chooses again; the refused permit blocks this replica for a while.
                Choice::Send(replica) if !self.obtain_permit(&replica).await => continue,
                Choice::Send(replica) => match self.request_suspect_leases(&replica).await {
                    Clearance::Go(leases) => {
                        self.leases = leases;
                        return Ok(replica);
                    }
                    Clearance::Quarantined => return Err(Refusal::Quarantined),
                    Clearance::Elsewhere if self.shared_with_suspects.insert(replica.clone()) => {
                        self.attempted.insert(replica);
                        continue;
                    }
                    Clearance::Elsewhere | Clearance::Wait => (Refusal::Suspect, self.max_wait()),
                },
                Choice::Fetch(replica) => {
                    self.core.request_adapter(&replica, &self.need);
                    (Refusal::Adapter, self.adapter_wait())
                }
                Choice::Full => {
                    self.core.congestion_seen.notify_one();
                    let limit = line.map_or_else(|| self.max_wait(), |_| self.line_wait());
                    (Refusal::Full, limit)
                }
                Choice::NoAdapter => (Refusal::Adapter, self.adapter_wait()),
                Choice::BackingOff(left_ms) => {
                    let refusal = Refusal::BackingOff;
                    (refusal, self.wait_limit(refusal, waited, left_ms)?)
                }
                Choice::RateLimited(left_ms) => {
                    let refusal = Refusal::RateLimited;
                    (refusal, self.wait_limit(refusal, waited, left_ms)?)
                }
                Choice::Evacuated => return Err(Refusal::Evacuated),
                Choice::Absent if self.version_is_gone() => return Err(Refusal::VersionGone),
                Choice::Absent => {
                    let wait = max_wait::load_wait(self.load_time(), waited, self.left());
                    (Refusal::Absent, wait)
                }
            };
            // A stopping entry would end before the request could be served.
            if waited >= limit || self.core.is_stopping() {
                return Err(refusal);
            }
            place = match (refusal, line, place) {
                (Refusal::Full, Some(_), Some(place)) => Some(place),
                (Refusal::Full, Some(line), None) => Some(self.join(line)),
                _ => None,
            };
            let pause = self.recheck_interval().min(limit - waited);
            match &place {
                Some(place) => {
                    if may_try && self.is_limited_to_some_replicas() {
                        place.pass_over();
                    }
                    place.wait(pause).await;
                }
                None => {
                    let _ = tokio::time::timeout(pause, changed).await;
                }
            }
        }
    }

    /// Longest time until the replicas are checked again: less with quotes, which expire earlier.
    fn recheck_interval(&self) -> Duration {
        match self.quotes_expire() {
            true => QUOTED_RECHECK_INTERVAL,
            false => RECHECK_INTERVAL,
        }
    }

    /// Whether the replica is not rate limited, or the leader grants a permit for this request.
    async fn obtain_permit(&mut self, replica: &ReplicaId) -> bool {
        self.permit = None;
        let core = self.core;
        let Some(record) = core.rate_limited_record(replica) else {
            return true;
        };
        self.permit = core.request_permit(&record).await;
        self.permit.is_some()
    }

    /// How long the request may wait in total if a replica is available in `left_ms`. A request
    /// that would certainly be too late is refused at once.
    fn wait_limit(
        &self,
        refusal: Refusal,
        waited: Duration,
        left_ms: u64,
    ) -> Result<Duration, Refusal> {
        let limit = self.max_wait();
        let ends = waited + Duration::from_millis(left_ms);
        match ends > limit.min(self.left()) {
            true => Err(refusal),
            false => Ok(limit),
        }
    }

    pub(super) fn max_wait(&self) -> Duration {
        max_wait::capacity_wait(self.aim(), self.core.choice().room_part)
    }

    fn adapter_wait(&self) -> Duration {
        max_wait::adapter_wait(self.aim(), self.left())
    }
}
