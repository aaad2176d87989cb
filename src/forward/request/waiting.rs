//! The place of a request in the line of those that wait for the same capacity.

use std::time::Duration;

use crate::forward::capacity_waiters::LinePlace;
use crate::forward::locality::AllowedRegions;
use crate::forward::max_wait;
use crate::forward::own_answer::Refusal;
use crate::forward::waiting_line::{LineKey, WaitingRequest};
use crate::ids::ReplicaId;

use super::ForwardedRequest;

impl<'a> ForwardedRequest<'a> {
    /// Returns the line in which the request waits for capacity; `None` if requests of its service
    /// wait in no order.
    pub(super) fn line(&self) -> Option<LineKey> {
        let service = self.need.service.as_ref()?;
        let replicas = self.core.replicas.borrow();
        let ordered = match &self.need.model {
            Some(_) => replicas.is_prefill_bound(service),
            None => replicas.queues_requests(service),
        };
        let applies = ordered && replicas.applies(self.core.choice().ordered_wait);
        applies.then(|| LineKey {
            service: service.clone(),
            model: self.need.model.clone(),
        })
    }

    /// Joins a line.
    pub(super) fn join(&self, line: &LineKey) -> LinePlace<'a> {
        let core = self.core;
        core.waiters.join(line.clone(), self.waiting_request())
    }

    /// Joins a line in which others wait already, so that the request does not overtake them.
    pub(super) fn join_behind_others(&self, line: Option<&LineKey>) -> Option<LinePlace<'a>> {
        let line = line.filter(|line| self.core.waiters.is_waited_for(line))?;
        Some(self.join(line))
    }

    /// Whether other requests of the same line may find capacity where this one finds none.
    pub(super) fn is_limited_to_some_replicas(&self) -> bool {
        self.need.regions != AllowedRegions::All
            || !self.attempted.is_empty()
            || self.need.version.is_some()
    }

    /// How long the request waits in a line.
    pub(super) fn line_wait(&self) -> Duration {
        let wait = self.max_wait();
        match self.can_wait {
            true => wait.max(max_wait::slack_wait(self.aim())),
            false => wait,
        }
    }

    /// Records the work taken by the request, or that it got no capacity. Other refusals say
    /// nothing about the order.
    pub(super) fn record_line_end(&self, line: &LineKey, chosen: &Result<ReplicaId, Refusal>) {
        let work = match chosen {
            Ok(_) => Some(self.need.tokens.max(1) as f64),
            Err(Refusal::Full | Refusal::DeadlinePassed) => None,
            Err(_) => return,
        };
        let waiters = &self.core.waiters;
        waiters.record_end(line, &self.waiting_request(), work);
    }

    fn waiting_request(&self) -> WaitingRequest {
        WaitingRequest {
            account: self.caller.as_ref().map(|caller| caller.account.clone()),
            rank: self.rank,
            can_wait: self.can_wait,
            arrived_ms: self.request.since_ms,
            target_ms: self.route.latency_goal_ms,
        }
    }
}
