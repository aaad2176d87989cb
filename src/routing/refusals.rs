//! What agents said when they refused attempts, kept for an entry's next ones: without it each
//! request asks anew what the one before was told.
//!
//! Pure: the caller passes in the time. By the same book as replicas without agents.

use crate::admission::controller::REFUSAL_RETRY_MS;
use crate::admission::runs::{NotRun, RefuseCause};
use crate::ids::{Incarnation, ModelName, RowId, TargetName};
use crate::routing::backoff::{BackoffTracker, Blocked, RequestedBackoff};

/// Which attempts a refusal speaks of.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RefusalScope {
    /// All at the target.
    Target,
    /// Those for one model.
    Model(ModelName),
    /// Those of one row: all have its urgency and its patience.
    Row(RowId),
}

impl RefusalScope {
    /// What callers are told who are held back by such a refusal.
    fn cause(&self) -> RefuseCause {
        match self {
            Self::Target => RefuseCause::NoLease,
            Self::Model(_) => RefuseCause::NotHome,
            Self::Row(_) => RefuseCause::Overload,
        }
    }
}

/// An attempt, as far as refusals speak of it.
#[derive(Clone, Copy, Debug)]
pub struct HomeRequest<'a> {
    /// Where it goes.
    pub target: &'a TargetName,
    /// The agent's life there.
    pub incarnation: Incarnation,
    /// Whose it is.
    pub row: &'a RowId,
    /// What it needs.
    pub model: &'a ModelName,
    /// How long its caller waits, in milliseconds.
    pub wait_limit_ms: u64,
}

/// What one entry was told.
#[derive(Debug, Default)]
pub struct RefusalTracker {
    backoffs: BackoffTracker<(TargetName, RefusalScope)>,
}

impl RefusalTracker {
    /// An agent refused an attempt.
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
            RefuseCause::NotHome | RefuseCause::Engine => {
                (RefusalScope::Model(request.model.clone()), retry_ms)
            }
            // What is told is when the queue is empty. The row's next request is taken as
            // soon as what is before it is no longer than its patience: a row that keeps a
            // home busy by itself would leave it idle otherwise.
            RefuseCause::Overload => (
                RefusalScope::Row(request.row.clone()),
                retry_ms.saturating_sub(request.wait_limit_ms),
            ),
            // These speak of that attempt alone.
            RefuseCause::Behind
            | RefuseCause::Expired
            | RefuseCause::Sealed
            | RefuseCause::Cancelled => return,
        };
        if ms > 0 {
            let id = (request.target.clone(), scope);
            self.backoffs.back_off(now_ms, &id, RequestedBackoff { ms });
        }
    }

    /// What an agent would say of an attempt, as far as it has said so; none where it is to
    /// be asked.
    pub fn known_refusal(&self, now_ms: u64, request: &HomeRequest<'_>) -> Option<NotRun> {
        // Each request asks this of each home: most have refused nothing lately.
        if self.backoffs.is_empty() {
            return None;
        }
        let scopes = [
            RefusalScope::Target,
            RefusalScope::Model(request.model.clone()),
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
                // Agents queue what comes: none is claimed, and none held back.
                Blocked::Reopening => None,
            }
        });
        refusals.max_by_key(|refusal| refusal.retry_after_ms)
    }

    /// Forgets what says nothing any more.
    pub fn prune(&mut self, now_ms: u64) {
        self.backoffs.prune(now_ms);
    }
}
