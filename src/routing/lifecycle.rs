//! State machine of one request, which ends with exactly one outcome. Pure: the entry's shell
//! performs each [`RequestStep`] and returns the resulting [`RequestEvent`].

use crate::admission::controller::{
    AnswerPage, AttemptStatus, EngineSoftware, NotRun, RefuseCause, RunEnd,
};
use crate::consensus::claims::{ClaimRecord, ClaimReply, Settlement};
use crate::ids::{AttemptId, Incarnation, TargetName};
use crate::routing::suspects::QUARANTINE_RETRY_MS;

/// Retry delay reported where no agent gave one, in milliseconds.
pub const DEFAULT_RETRY_MS: u64 = 1000;

/// One attempt at one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetAttempt {
    /// Attempt ID.
    pub id: AttemptId,
    /// Target it is sent to.
    pub target: TargetName,
    /// Incarnation of the target's agent.
    pub incarnation: Incarnation,
}

/// Limits on the attempts of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptPolicy {
    /// Maximum number of attempts.
    pub max_attempts: u32,
    /// Consecutive calls without a reply that are tolerated; one more loses the attempt.
    pub max_timeouts: u32,
    /// Whether the request must not run more than once: each attempt is then claimed first.
    pub at_most_once: bool,
}

/// Why a request ended without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndCause {
    /// The row's limit on running requests is reached.
    Limit,
    /// This entry's copy of the table may be outdated.
    Stale,
    /// This entry is shutting down.
    Stopping,
    /// No home was available.
    NoHome,
    /// An agent refused the request.
    Refused(RefuseCause),
    /// Too many targets crashed while they ran its content.
    Quarantined,
    /// No quorum recorded the claim.
    NoQuorum,
    /// The idempotency key was used with another body.
    KeyReused,
    /// The idempotency key is older than the retention period of claims.
    KeyTooOld,
    /// The wait limit of the caller has passed.
    DeadlinePassed,
    /// The target was lost after the attempt may have started.
    TargetLost,
    /// An earlier attempt with this idempotency key has an unknown outcome.
    KeyUnknown,
}

impl EndCause {
    /// Returns the name of the cause in responses and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Limit => "limit",
            Self::Stale => "stale-table",
            Self::Stopping => "stopping",
            Self::NoHome => "no-home",
            Self::Refused(RefuseCause::Leaving) => "leaving",
            Self::Refused(RefuseCause::NotHome) => "not-home",
            Self::Refused(RefuseCause::Overload) => "overload",
            Self::Refused(RefuseCause::Expired) => "expired",
            Self::Refused(RefuseCause::Sealed) => "sealed",
            Self::Refused(RefuseCause::Cancelled) => "cancelled",
            Self::Refused(RefuseCause::Behind) => "table-changed",
            Self::Refused(RefuseCause::Engine) => "engine-refused",
            Self::Refused(RefuseCause::NoLease) => "no-lease",
            Self::Refused(RefuseCause::OtherSoftware) => "other-software",
            Self::Quarantined => "targets-ended",
            Self::NoQuorum => "no-quorum",
            Self::KeyReused => "key-reused",
            Self::KeyTooOld => "key-too-old",
            Self::DeadlinePassed => "patience",
            Self::TargetLost => "target-lost",
            Self::KeyUnknown => "key-unknown",
        }
    }
}

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Ran to its end, and all pieces were delivered.
    Done,
    /// Ran to its end in an earlier attempt; holds the recorded response if it was kept.
    Replayed(Option<String>),
    /// Proven not to have run.
    NotRun {
        /// Cause.
        cause: EndCause,
        /// Time after which to retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// May have run.
    Unknown(EndCause),
}

/// Next step of the shell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestStep {
    /// Choose a target; a retry must be covered by the retry budget.
    Choose {
        /// Whether this is the first attempt.
        first: bool,
    },
    /// Have the claim of the attempt recorded by a quorum.
    Claim(TargetAttempt),
    /// Request the agent to start the attempt, after the pieces that the caller has.
    Start(TargetAttempt),
    /// Request the response of the attempt from this piece on.
    Pull(TargetAttempt, u32),
    /// Request the agent to end the attempt unless it has started.
    Seal(TargetAttempt),
    /// Record how the claimed attempt ended.
    Settle(TargetAttempt, Settlement),
    /// Notify the agent that the caller no longer waits; the reply is ignored.
    Cancel(TargetAttempt),
    /// Report the outcome to the caller.
    Finish(RequestOutcome),
}

impl RequestStep {
    /// Returns the attempt that the step concerns.
    pub fn attempt(&self) -> Option<&TargetAttempt> {
        match self {
            Self::Claim(attempt)
            | Self::Start(attempt)
            | Self::Pull(attempt, _)
            | Self::Seal(attempt)
            | Self::Settle(attempt, _)
            | Self::Cancel(attempt) => Some(attempt),
            Self::Choose { .. } | Self::Finish(_) => None,
        }
    }
}

/// Result of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEvent {
    /// The chosen attempt; `None` if no target may be tried.
    Chosen(Option<TargetAttempt>),
    /// All homes would refuse the request, by their agents' refusals of similar ones.
    Refused(NotRun),
    /// Too many targets crashed while they ran this content.
    Quarantined,
    /// Result of the claim.
    Claimed(ClaimReply),
    /// Status of the attempt, from its agent.
    Status(AttemptStatus),
    /// The peer of the step gave no usable reply in time.
    NoReply,
    /// The end of the attempt is recorded.
    Settled,
    /// The cancellation was sent.
    Cancelled,
    /// The wait limit of the caller has passed.
    DeadlinePassed,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    Choosing,
    Claiming(TargetAttempt),
    Starting(TargetAttempt),
    Following(TargetAttempt),
    Sealing(TargetAttempt),
    Settling(TargetAttempt, Settlement),
    Cancelling(TargetAttempt),
    Finished(RequestOutcome),
}

/// State of one request.
#[derive(Debug)]
pub struct RequestLifecycle {
    policy: AttemptPolicy,
    stage: Stage,
    attempts_made: u32,
    sent: u32,
    /// Software that generated the pieces delivered, if it is known.
    software: Option<EngineSoftware>,
    /// Value of `sent` when the current attempt was chosen.
    base: u32,
    timeouts: u32,
    /// Whether an attempt may have run without its end being known.
    maybe_ran: bool,
    deadline_passed: bool,
    /// Outcome to report once the current attempt is settled.
    pending_outcome: Option<RequestOutcome>,
    last_refusal: Option<NotRun>,
}

impl RequestLifecycle {
    /// Creates the state of a new request.
    pub fn new(policy: AttemptPolicy) -> Self {
        Self {
            policy,
            stage: Stage::Choosing,
            attempts_made: 0,
            sent: 0,
            software: None,
            base: 0,
            timeouts: 0,
            maybe_ran: false,
            deadline_passed: false,
            pending_outcome: None,
            last_refusal: None,
        }
    }

    /// Returns the number of pieces delivered; a new attempt continues after them.
    pub fn delivered(&self) -> u32 {
        self.sent
    }

    /// Returns the software that generated the pieces delivered; a new attempt must run on the
    /// same one. `None` if no piece was delivered.
    pub fn software(&self) -> Option<&EngineSoftware> {
        self.software.as_ref()
    }

    /// Returns the next step.
    pub fn step(&self) -> RequestStep {
        match &self.stage {
            Stage::Choosing => RequestStep::Choose {
                first: self.attempts_made == 0,
            },
            Stage::Claiming(attempt) => RequestStep::Claim(attempt.clone()),
            Stage::Starting(attempt) => RequestStep::Start(attempt.clone()),
            Stage::Following(attempt) => RequestStep::Pull(attempt.clone(), self.sent - self.base),
            Stage::Sealing(attempt) => RequestStep::Seal(attempt.clone()),
            Stage::Settling(attempt, end) => RequestStep::Settle(attempt.clone(), end.clone()),
            Stage::Cancelling(attempt) => RequestStep::Cancel(attempt.clone()),
            Stage::Finished(outcome) => RequestStep::Finish(outcome.clone()),
        }
    }

    /// Applies an event and returns the pieces to deliver to the caller.
    pub fn on(&mut self, event: RequestEvent) -> Vec<String> {
        let stage = std::mem::replace(&mut self.stage, Stage::Choosing);
        match (stage, event) {
            (Stage::Finished(outcome), _) => self.stage = Stage::Finished(outcome),
            (stage, RequestEvent::DeadlinePassed) => self.on_deadline(stage),
            (Stage::Choosing, RequestEvent::Chosen(attempt)) => self.on_chosen(attempt),
            (Stage::Choosing, RequestEvent::Refused(refusal)) => {
                self.last_refusal = Some(refusal);
                self.end_not_run(EndCause::Refused(refusal.cause));
            }
            (Stage::Choosing, RequestEvent::Quarantined) => self.end_not_run(EndCause::Quarantined),
            (Stage::Claiming(attempt), RequestEvent::Claimed(reply)) => {
                self.on_claimed(attempt, reply)
            }
            (Stage::Claiming(attempt), _) => self.on_claim_timeout(attempt),
            (
                Stage::Starting(attempt) | Stage::Following(attempt) | Stage::Sealing(attempt),
                RequestEvent::Status(status),
            ) => return self.on_status(attempt, status),
            (Stage::Starting(attempt), _) => self.stage = Stage::Sealing(attempt),
            (Stage::Following(attempt), _) => self.on_no_reply(attempt, Stage::Following),
            (Stage::Sealing(attempt), _) => self.on_no_reply(attempt, Stage::Sealing),
            (Stage::Settling(_, end), event) => self.on_settled(end, event),
            (Stage::Cancelling(_), _) => {
                self.stage = Stage::Finished(RequestOutcome::Unknown(EndCause::DeadlinePassed));
            }
            (Stage::Choosing, _) => self.stage = Stage::Choosing,
        }
        Vec::new()
    }

    fn on_chosen(&mut self, attempt: Option<TargetAttempt>) {
        match attempt {
            Some(attempt) => {
                self.attempts_made += 1;
                self.base = self.sent;
                self.timeouts = 0;
                self.stage = match self.policy.at_most_once {
                    true => Stage::Claiming(attempt),
                    false => Stage::Starting(attempt),
                };
            }
            None => {
                let cause = self
                    .last_refusal
                    .map(|refusal| EndCause::Refused(refusal.cause));
                self.end_not_run(cause.unwrap_or(EndCause::NoHome));
            }
        }
    }

    fn on_claimed(&mut self, attempt: TargetAttempt, reply: ClaimReply) {
        match reply {
            ClaimReply::Granted(_) => self.stage = Stage::Starting(attempt),
            ClaimReply::Taken(record) => self.on_taken(record),
            ClaimReply::OtherBody => self.end_not_run(EndCause::KeyReused),
            ClaimReply::TooOld => {
                self.stage = Stage::Finished(RequestOutcome::Unknown(EndCause::KeyTooOld));
            }
        }
    }

    /// Handles a claim without a reply. The same attempt may claim again, whether or not the first
    /// claim was recorded.
    fn on_claim_timeout(&mut self, attempt: TargetAttempt) {
        self.timeouts += 1;
        match self.timeouts > self.policy.max_timeouts {
            false => self.stage = Stage::Claiming(attempt),
            // The attempt was not started. Another attempt that finds its claim can only seal it.
            true => self.end_not_run(EndCause::NoQuorum),
        }
    }

    /// Handles a key that another attempt holds: takes its recorded end, else seals it if it has
    /// not started or follows it if it has.
    fn on_taken(&mut self, record: ClaimRecord) {
        self.stage = match record.settled {
            Some(Settlement::Done { answer }) => Stage::Finished(RequestOutcome::Replayed(answer)),
            Some(Settlement::Unknown) => {
                Stage::Finished(RequestOutcome::Unknown(EndCause::KeyUnknown))
            }
            Some(Settlement::NotRun) | None => Stage::Sealing(TargetAttempt {
                id: record.attempt,
                target: record.target,
                incarnation: record.incarnation,
            }),
        };
    }

    fn on_status(&mut self, attempt: TargetAttempt, status: AttemptStatus) -> Vec<String> {
        self.timeouts = 0;
        match status {
            AttemptStatus::Page(page) if page.attempt == attempt.id => self.on_page(attempt, page),
            AttemptStatus::Page(_) => {
                self.stage = Stage::Following(attempt);
                Vec::new()
            }
            AttemptStatus::Unseen | AttemptStatus::OtherIncarnation(_) => {
                self.on_attempt_lost(attempt);
                Vec::new()
            }
        }
    }

    fn on_page(&mut self, attempt: TargetAttempt, page: AnswerPage) -> Vec<String> {
        let next_piece = self.sent - self.base;
        // A delayed page repeats pieces; a page that starts after a gap is ignored.
        let new_pieces = match next_piece.checked_sub(page.offset) {
            Some(skip) => page.pieces.into_iter().skip(skip as usize).collect(),
            None => Vec::new(),
        };
        if !new_pieces.is_empty() && !self.accept_software(page.software) {
            self.on_attempt_lost(attempt);
            return Vec::new();
        }
        self.sent += new_pieces.len() as u32;
        let received = self.sent - self.base;
        match page.end {
            Some(RunEnd::Complete { pieces }) if received == pieces => self.on_complete(attempt),
            Some(RunEnd::NotRun(refusal)) => self.on_not_run(attempt, refusal),
            Some(RunEnd::Broken) => self.on_attempt_lost(attempt),
            Some(RunEnd::Complete { .. }) | None => self.stage = Stage::Following(attempt),
        }
        new_pieces
    }

    /// Whether pieces that this software generated may follow those delivered. The first pieces
    /// bind the response to their software; software that is not known equals no other.
    fn accept_software(&mut self, software: Option<EngineSoftware>) -> bool {
        // An agent binds each attempt to one software, known or not.
        let is_same_attempt = self.base == 0;
        match is_same_attempt {
            true if self.sent == 0 => {
                self.software = software;
                true
            }
            true => self.software == software,
            false => software.is_some() && self.software == software,
        }
    }

    fn on_complete(&mut self, attempt: TargetAttempt) {
        self.stage = match self.policy.at_most_once {
            true => {
                self.pending_outcome = Some(RequestOutcome::Done);
                Stage::Settling(attempt, Settlement::Done { answer: None })
            }
            false => Stage::Finished(RequestOutcome::Done),
        };
    }

    fn on_not_run(&mut self, attempt: TargetAttempt, refusal: NotRun) {
        self.last_refusal = Some(refusal);
        match self.policy.at_most_once {
            true => self.stage = Stage::Settling(attempt, Settlement::NotRun),
            false => self.retry(),
        }
    }

    /// Handles an attempt that may have run and whose response is lost.
    fn on_attempt_lost(&mut self, attempt: TargetAttempt) {
        self.maybe_ran = true;
        match self.policy.at_most_once {
            true => {
                self.pending_outcome = Some(RequestOutcome::Unknown(EndCause::TargetLost));
                self.stage = Stage::Settling(attempt, Settlement::Unknown);
            }
            false => self.retry(),
        }
    }

    fn on_no_reply(&mut self, attempt: TargetAttempt, same_stage: fn(TargetAttempt) -> Stage) {
        self.timeouts += 1;
        match self.timeouts > self.policy.max_timeouts || self.deadline_passed {
            false => self.stage = same_stage(attempt),
            // The claim is not settled: a retry by the caller may still reach the agent and learn
            // the end.
            true if self.policy.at_most_once => {
                self.stage = Stage::Finished(RequestOutcome::Unknown(EndCause::TargetLost));
            }
            true => {
                self.maybe_ran = true;
                self.retry();
            }
        }
    }

    fn on_settled(&mut self, end: Settlement, event: RequestEvent) {
        match (self.pending_outcome.take(), end, event) {
            (Some(outcome), _, _) => self.stage = Stage::Finished(outcome),
            (None, Settlement::NotRun, RequestEvent::Settled) => self.retry(),
            (None, _, _) => {
                let cause = self.last_refusal.map(|refusal| refusal.cause);
                let cause = cause.map_or(EndCause::NoQuorum, EndCause::Refused);
                self.end_not_run(cause);
            }
        }
    }

    fn on_deadline(&mut self, stage: Stage) {
        let first = !self.deadline_passed;
        self.deadline_passed = true;
        match stage {
            Stage::Choosing | Stage::Claiming(_) => self.end_not_run(EndCause::DeadlinePassed),
            Stage::Starting(attempt) | Stage::Following(attempt) if first && self.sent == 0 => {
                self.stage = Stage::Sealing(attempt);
            }
            Stage::Starting(attempt) | Stage::Following(attempt) | Stage::Sealing(attempt) => {
                self.stage = Stage::Cancelling(attempt);
            }
            Stage::Settling(_, end) => self.on_settled(end, RequestEvent::NoReply),
            Stage::Cancelling(_) => {
                self.stage = Stage::Finished(RequestOutcome::Unknown(EndCause::DeadlinePassed));
            }
            Stage::Finished(outcome) => self.stage = Stage::Finished(outcome),
        }
    }

    fn retry(&mut self) {
        let cause = match self.last_refusal {
            _ if self.deadline_passed => EndCause::DeadlinePassed,
            Some(refusal) => EndCause::Refused(refusal.cause),
            None => EndCause::TargetLost,
        };
        let is_bound = self.sent == 0 || self.software.is_some();
        let may_retry = self.attempts_made < self.policy.max_attempts && !self.deadline_passed;
        match may_retry && is_bound {
            true => self.stage = Stage::Choosing,
            false => self.end_not_run(cause),
        }
    }

    /// Ends the request. The outcome is `NotRun` only if no attempt may have run.
    fn end_not_run(&mut self, cause: EndCause) {
        let retry_after_ms = match self.last_refusal {
            _ if cause == EndCause::Quarantined => QUARANTINE_RETRY_MS,
            Some(refusal) if refusal.retry_after_ms > 0 => refusal.retry_after_ms,
            _ => DEFAULT_RETRY_MS,
        };
        let outcome = match self.maybe_ran {
            true => RequestOutcome::Unknown(cause),
            false => RequestOutcome::NotRun {
                cause,
                retry_after_ms,
            },
        };
        self.stage = Stage::Finished(outcome);
    }
}
