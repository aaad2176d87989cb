//! Keeps the refusals of agents for the next attempts of an entry, which would otherwise repeat
//! requests that an agent has just refused.
//!
//! Pure: the caller passes in the time. Uses the same tracker as replicas without agents.

use crate::admission::controller::REFUSAL_RETRY_MS;
use crate::admission::runs::{NotRun, RefuseCause};
use crate::ids::{Incarnation, ModelName, RowId, TargetName};
use crate::routing::backoff::{BackoffTracker, Blocked, RequestedBackoff};

/// Attempts that a refusal applies to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RefusalScope {
    /// All attempts at the target.
    Target,
    /// Attempts for one model, which the target does not hold.
    Model(ModelName),
    /// Attempts for one model, which the target's engine refuses.
    Engine(ModelName),
    /// Attempts of one row, which all have its urgency and its wait limit.
    Row(RowId),
}

impl RefusalScope {
    /// Returns the cause reported to callers whose attempts such a refusal holds back.
    fn cause(&self) -> RefuseCause {
        match self {
            Self::Target => RefuseCause::NoLease,
            Self::Model(_) => RefuseCause::NotHome,
            Self::Engine(_) => RefuseCause::Engine,
            Self::Row(_) => RefuseCause::Overload,
        }
    }
}

/// Properties of an attempt that refusals depend on.
#[derive(Clone, Copy, Debug)]
pub struct HomeRequest<'a> {
    /// Target of the attempt.
    pub target: &'a TargetName,
    /// Incarnation of the target's agent.
    pub incarnation: Incarnation,
    /// Row of the request.
    pub row: &'a RowId,
    /// Model that it needs.
    pub model: &'a ModelName,
    /// Wait limit of the caller, in milliseconds.
    pub wait_limit_ms: u64,
}

/// Refusals received by one entry.
#[derive(Debug, Default)]
pub struct RefusalTracker {
    backoffs: BackoffTracker<(TargetName, RefusalScope)>,
}

impl RefusalTracker {
    /// Records that an agent refused an attempt.
    pub fn record(&mut self, now_ms: u64, request: &HomeRequest<'_>, refusal: &NotRun) {
        let retry_ms = refusal.retry_after_ms;
        let (scope, ms) = match refusal.cause {
            RefuseCause::Leaving => {
                let id = (request.target.clone(), RefusalScope::Target);
                return self
                    .backoffs
                    .record_draining(now_ms, &id, request.incarnation.0);
            }
            RefuseCause::NoLease => (RefusalScope::Target, retry_ms),
            RefuseCause::NotHome => (RefusalScope::Model(request.model.clone()), retry_ms),
            RefuseCause::Engine => (RefusalScope::Engine(request.model.clone()), retry_ms),
            // The agent reports when its queue will be empty, but it accepts the next request of
            // the row as soon as the work before it fits into the row's wait limit. A row that
            // keeps a home busy by itself would otherwise leave it idle.
            RefuseCause::Overload => (
                RefusalScope::Row(request.row.clone()),
                retry_ms.saturating_sub(request.wait_limit_ms),
            ),
            // These causes concern that attempt alone.
            RefuseCause::Behind
            | RefuseCause::Expired
            | RefuseCause::Sealed
            | RefuseCause::Cancelled
            | RefuseCause::OtherSoftware => return,
        };
        if ms > 0 {
            let id = (request.target.clone(), scope);
            self.backoffs.back_off(now_ms, &id, RequestedBackoff { ms });
        }
    }

    /// Returns the refusal to expect for an attempt, by the agent's earlier refusals; `None` if the
    /// agent is to be asked.
    pub fn known_refusal(&self, now_ms: u64, request: &HomeRequest<'_>) -> Option<NotRun> {
        // Called for each home of each request; most homes have refused nothing lately.
        if self.backoffs.is_empty() {
            return None;
        }
        let scopes = [
            RefusalScope::Target,
            RefusalScope::Model(request.model.clone()),
            RefusalScope::Engine(request.model.clone()),
            RefusalScope::Row(request.row.clone()),
        ];
        let refusals = scopes.into_iter().filter_map(|scope| {
            let id = (request.target.clone(), scope);
            match self
                .backoffs
                .blocked_by(now_ms, &id, request.incarnation.0)?
            {
                Blocked::Leaving => Some(NotRun {
                    cause: RefuseCause::Leaving,
                    retry_after_ms: REFUSAL_RETRY_MS,
                }),
                Blocked::Paused { left_ms } => Some(NotRun {
                    cause: id.1.cause(),
                    retry_after_ms: left_ms,
                }),
                // Agents queue requests, so no slot is reserved and no attempt is held back.
                Blocked::Reopening => None,
            }
        });
        refusals.max_by_key(|refusal| refusal.retry_after_ms)
    }

    /// Removes refusals that no longer apply.
    pub fn prune(&mut self, now_ms: u64) {
        self.backoffs.prune(now_ms);
    }
}
