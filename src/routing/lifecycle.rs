//! Follows one request to its one outcome. Pure: the entry's shell performs
//! each [`FlightStep`] and brings back the [`FlightEvent`].

use crate::admission::controller::{AnswerPage, AttemptWord, NotRun, RefuseCause, RunEnd};
use crate::consensus::claims::{ClaimAnswer, ClaimRecord, Settlement};
use crate::ids::{AttemptId, Incarnation, TargetName};
use crate::routing::suspects::BARRED_RETRY_MS;

/// Time to come back where no agent gave one, in milliseconds.
pub const DEFAULT_RETRY_MS: u64 = 1000;

/// One attempt on one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FlightTrial {
    /// The attempt.
    pub attempt: AttemptId,
    /// Its target.
    pub target: TargetName,
    /// The agent's life it is meant for.
    pub life: Incarnation,
}

/// Limits on one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlightPolicy {
    /// Most attempts.
    pub attempts: u32,
    /// Lost pulls in a row before an attempt counts as lost.
    pub lost_pulls: u32,
    /// The call may run at most once: each attempt is claimed first.
    pub at_most_once: bool,
}

/// Why a request ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndCause {
    /// The row's limit is reached.
    Limit,
    /// This entry's copy of the table may be old.
    Stale,
    /// This entry is stopping.
    Stopping,
    /// No home could be tried.
    NoHome,
    /// An agent refused it.
    Refused(RefuseCause),
    /// Too many targets ended under it.
    Barred,
    /// No quorum recorded the claim.
    NoQuorum,
    /// The idempotency key was used with another body.
    KeyReused,
    /// The idempotency key is older than the retention.
    KeyTooOld,
    /// The caller's patience ended.
    Patience,
    /// The target was lost after it may have started.
    TargetLost,
    /// An earlier attempt of this key ended unknown.
    KeyUnknown,
}

impl EndCause {
    /// The cause as callers and metrics show it.
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
            Self::Barred => "targets-ended",
            Self::NoQuorum => "no-quorum",
            Self::KeyReused => "key-reused",
            Self::KeyTooOld => "key-too-old",
            Self::Patience => "patience",
            Self::TargetLost => "target-lost",
            Self::KeyUnknown => "key-unknown",
        }
    }
}

/// The one outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FlightOutcome {
    /// Ran to its end; all pieces were handed over.
    Done,
    /// Ran to its end earlier; this is the recorded answer, if it was kept.
    DoneBefore(Option<String>),
    /// Proven not to have run.
    NotRun {
        /// Why.
        cause: EndCause,
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// May have run.
    Unknown(EndCause),
}

/// What the shell does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FlightStep {
    /// Choose a target; `first` is false when a retry needs a budget.
    Choose {
        /// Whether this is the first attempt.
        first: bool,
    },
    /// Have the attempt's claim recorded on a quorum.
    Claim(FlightTrial),
    /// Ask the agent to start, giving it the pieces that the caller has.
    Start(FlightTrial),
    /// Ask the agent for the answer from this piece of the attempt on.
    Pull(FlightTrial, u32),
    /// Ask the agent to end the attempt if it has not started.
    Seal(FlightTrial),
    /// Record how the claimed attempt ended.
    Settle(FlightTrial, Settlement),
    /// Tell the agent that the caller has gone; the answer does not matter.
    Cancel(FlightTrial),
    /// Tell the caller.
    Finish(FlightOutcome),
}

impl FlightStep {
    /// The attempt that it is about.
    pub fn trial(&self) -> Option<&FlightTrial> {
        match self {
            Self::Claim(trial)
            | Self::Start(trial)
            | Self::Pull(trial, _)
            | Self::Seal(trial)
            | Self::Settle(trial, _)
            | Self::Cancel(trial) => Some(trial),
            Self::Choose { .. } | Self::Finish(_) => None,
        }
    }
}

/// What came of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FlightEvent {
    /// The chosen trial; none where no target may be tried.
    Chosen(Option<FlightTrial>),
    /// All homes would refuse it, by what their agents said of others like it.
    Refused(NotRun),
    /// Too many targets have ended under what it asks.
    Barred,
    /// The log's answer to the claim.
    Claimed(ClaimAnswer),
    /// The agent's word.
    Word(AttemptWord),
    /// The step's peer gave no answer in time.
    Lost,
    /// The end is recorded.
    Settled,
    /// The cancel was sent.
    Cancelled,
    /// The caller's patience ended.
    PatienceOver,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    Choosing,
    Claiming(FlightTrial),
    Starting(FlightTrial),
    Following(FlightTrial),
    Sealing(FlightTrial),
    Settling(FlightTrial, Settlement),
    Cancelling(FlightTrial),
    Finished(FlightOutcome),
}

/// The state of one request.
#[derive(Debug)]
pub struct RequestFlight {
    policy: FlightPolicy,
    stage: Stage,
    tried: u32,
    delivered: u32,
    /// Pieces delivered before the current attempt began.
    base: u32,
    lost: u32,
    /// An attempt may have run without its end being known.
    maybe_ran: bool,
    out_of_time: bool,
    /// What is told after the current settlement.
    verdict: Option<FlightOutcome>,
    refusal: Option<NotRun>,
}

impl RequestFlight {
    /// Starts a request.
    pub fn new(policy: FlightPolicy) -> Self {
        Self {
            policy,
            stage: Stage::Choosing,
            tried: 0,
            delivered: 0,
            base: 0,
            lost: 0,
            maybe_ran: false,
            out_of_time: false,
            verdict: None,
            refusal: None,
        }
    }

    /// Pieces handed over so far; a new attempt continues after them.
    pub fn delivered(&self) -> u32 {
        self.delivered
    }

    /// What to do next.
    pub fn step(&self) -> FlightStep {
        match &self.stage {
            Stage::Choosing => FlightStep::Choose {
                first: self.tried == 0,
            },
            Stage::Claiming(trial) => FlightStep::Claim(trial.clone()),
            Stage::Starting(trial) => FlightStep::Start(trial.clone()),
            Stage::Following(trial) => FlightStep::Pull(trial.clone(), self.delivered - self.base),
            Stage::Sealing(trial) => FlightStep::Seal(trial.clone()),
            Stage::Settling(trial, end) => FlightStep::Settle(trial.clone(), end.clone()),
            Stage::Cancelling(trial) => FlightStep::Cancel(trial.clone()),
            Stage::Finished(outcome) => FlightStep::Finish(outcome.clone()),
        }
    }

    /// Takes an event in; returns the pieces to hand to the caller.
    pub fn on(&mut self, event: FlightEvent) -> Vec<String> {
        let stage = std::mem::replace(&mut self.stage, Stage::Choosing);
        match (stage, event) {
            (Stage::Finished(outcome), _) => self.stage = Stage::Finished(outcome),
            (stage, FlightEvent::PatienceOver) => self.on_patience_over(stage),
            (Stage::Choosing, FlightEvent::Chosen(trial)) => self.on_chosen(trial),
            (Stage::Choosing, FlightEvent::Refused(refusal)) => {
                self.refusal = Some(refusal);
                self.finish_not_run(EndCause::Refused(refusal.cause));
            }
            (Stage::Choosing, FlightEvent::Barred) => self.finish_not_run(EndCause::Barred),
            (Stage::Claiming(trial), FlightEvent::Claimed(answer)) => {
                self.on_claimed(trial, answer)
            }
            (Stage::Claiming(trial), _) => self.on_unclaimed(trial),
            (
                Stage::Starting(trial) | Stage::Following(trial) | Stage::Sealing(trial),
                FlightEvent::Word(word),
            ) => return self.on_word(trial, word),
            (Stage::Starting(trial), _) => self.stage = Stage::Sealing(trial),
            (Stage::Following(trial), _) => self.on_lost(trial, Stage::Following),
            (Stage::Sealing(trial), _) => self.on_lost(trial, Stage::Sealing),
            (Stage::Settling(_, end), event) => self.on_settled(end, event),
            (Stage::Cancelling(_), _) => {
                self.stage = Stage::Finished(FlightOutcome::Unknown(EndCause::Patience));
            }
            (Stage::Choosing, _) => self.stage = Stage::Choosing,
        }
        Vec::new()
    }

    fn on_chosen(&mut self, trial: Option<FlightTrial>) {
        match trial {
            Some(trial) => {
                self.tried += 1;
                self.base = self.delivered;
                self.lost = 0;
                self.stage = match self.policy.at_most_once {
                    true => Stage::Claiming(trial),
                    false => Stage::Starting(trial),
                };
            }
            None => {
                let cause = self.refusal.map(|refusal| EndCause::Refused(refusal.cause));
                self.finish_not_run(cause.unwrap_or(EndCause::NoHome));
            }
        }
    }

    fn on_claimed(&mut self, trial: FlightTrial, answer: ClaimAnswer) {
        match answer {
            ClaimAnswer::Granted(_) => self.stage = Stage::Starting(trial),
            ClaimAnswer::Taken(record) => self.on_taken(record),
            ClaimAnswer::OtherBody => self.finish_not_run(EndCause::KeyReused),
            ClaimAnswer::TooOld => {
                self.stage = Stage::Finished(FlightOutcome::Unknown(EndCause::KeyTooOld));
            }
        }
    }

    /// The claim got no answer in time. The same attempt may claim once more, whether it holds
    /// the claim by now or not.
    fn on_unclaimed(&mut self, trial: FlightTrial) {
        self.lost += 1;
        match self.lost > self.policy.lost_pulls {
            false => self.stage = Stage::Claiming(trial),
            // Nothing was started, and a later resolver can only seal it.
            true => self.finish_not_run(EndCause::NoQuorum),
        }
    }

    /// Another attempt holds the key: end it if it has not started, else follow it.
    fn on_taken(&mut self, record: ClaimRecord) {
        self.stage = match record.settled {
            Some(Settlement::Done { answer }) => Stage::Finished(FlightOutcome::DoneBefore(answer)),
            Some(Settlement::Unknown) => {
                Stage::Finished(FlightOutcome::Unknown(EndCause::KeyUnknown))
            }
            Some(Settlement::NotRun) | None => Stage::Sealing(FlightTrial {
                attempt: record.attempt,
                target: record.target,
                life: record.incarnation,
            }),
        };
    }

    fn on_word(&mut self, trial: FlightTrial, word: AttemptWord) -> Vec<String> {
        self.lost = 0;
        match word {
            AttemptWord::Page(page) if page.attempt == trial.attempt => self.on_page(trial, page),
            AttemptWord::Page(_) => {
                self.stage = Stage::Following(trial);
                Vec::new()
            }
            AttemptWord::Unseen | AttemptWord::OtherLife(_) => {
                self.on_vanished(trial);
                Vec::new()
            }
        }
    }

    fn on_page(&mut self, trial: FlightTrial, page: AnswerPage) -> Vec<String> {
        let wanted = self.delivered - self.base;
        // A late page repeats pieces; one from further on leaves a gap.
        let fresh = match wanted.checked_sub(page.offset) {
            Some(skip) => page.pieces.into_iter().skip(skip as usize).collect(),
            None => Vec::new(),
        };
        self.delivered += fresh.len() as u32;
        let have = self.delivered - self.base;
        match page.end {
            Some(RunEnd::Whole { pieces }) if have == pieces => self.on_whole(trial),
            Some(RunEnd::NotRun(refusal)) => self.on_not_run(trial, refusal),
            Some(RunEnd::Broken) => self.on_vanished(trial),
            Some(RunEnd::Whole { .. }) | None => self.stage = Stage::Following(trial),
        }
        fresh
    }

    fn on_whole(&mut self, trial: FlightTrial) {
        self.stage = match self.policy.at_most_once {
            true => {
                self.verdict = Some(FlightOutcome::Done);
                Stage::Settling(trial, Settlement::Done { answer: None })
            }
            false => Stage::Finished(FlightOutcome::Done),
        };
    }

    fn on_not_run(&mut self, trial: FlightTrial, refusal: NotRun) {
        self.refusal = Some(refusal);
        match self.policy.at_most_once {
            true => self.stage = Stage::Settling(trial, Settlement::NotRun),
            false => self.try_again(),
        }
    }

    /// The attempt may have run, and its answer is gone.
    fn on_vanished(&mut self, trial: FlightTrial) {
        self.maybe_ran = true;
        match self.policy.at_most_once {
            true => {
                self.verdict = Some(FlightOutcome::Unknown(EndCause::TargetLost));
                self.stage = Stage::Settling(trial, Settlement::Unknown);
            }
            false => self.try_again(),
        }
    }

    fn on_lost(&mut self, trial: FlightTrial, again: fn(FlightTrial) -> Stage) {
        self.lost += 1;
        match self.lost > self.policy.lost_pulls || self.out_of_time {
            false => self.stage = again(trial),
            // Not recorded as ended: a resend may still reach the agent and learn more.
            true if self.policy.at_most_once => {
                self.stage = Stage::Finished(FlightOutcome::Unknown(EndCause::TargetLost));
            }
            true => {
                self.maybe_ran = true;
                self.try_again();
            }
        }
    }

    fn on_settled(&mut self, end: Settlement, event: FlightEvent) {
        match (self.verdict.take(), end, event) {
            (Some(outcome), _, _) => self.stage = Stage::Finished(outcome),
            (None, Settlement::NotRun, FlightEvent::Settled) => self.try_again(),
            (None, _, _) => {
                let cause = self.refusal.map(|refusal| refusal.cause);
                let cause = cause.map_or(EndCause::NoQuorum, EndCause::Refused);
                self.finish_not_run(cause);
            }
        }
    }

    fn on_patience_over(&mut self, stage: Stage) {
        let first = !self.out_of_time;
        self.out_of_time = true;
        match stage {
            Stage::Choosing | Stage::Claiming(_) => self.finish_not_run(EndCause::Patience),
            Stage::Starting(trial) | Stage::Following(trial) if first && self.delivered == 0 => {
                self.stage = Stage::Sealing(trial);
            }
            Stage::Starting(trial) | Stage::Following(trial) | Stage::Sealing(trial) => {
                self.stage = Stage::Cancelling(trial);
            }
            Stage::Settling(_, end) => self.on_settled(end, FlightEvent::Lost),
            Stage::Cancelling(_) => {
                self.stage = Stage::Finished(FlightOutcome::Unknown(EndCause::Patience));
            }
            Stage::Finished(outcome) => self.stage = Stage::Finished(outcome),
        }
    }

    fn try_again(&mut self) {
        let cause = match self.refusal {
            _ if self.out_of_time => EndCause::Patience,
            Some(refusal) => EndCause::Refused(refusal.cause),
            None => EndCause::TargetLost,
        };
        match self.tried < self.policy.attempts && !self.out_of_time {
            true => self.stage = Stage::Choosing,
            false => self.finish_not_run(cause),
        }
    }

    /// Says `not run` only where no attempt may have run.
    fn finish_not_run(&mut self, cause: EndCause) {
        let retry_after_ms = match self.refusal {
            _ if cause == EndCause::Barred => BARRED_RETRY_MS,
            Some(refusal) if refusal.retry_after_ms > 0 => refusal.retry_after_ms,
            _ => DEFAULT_RETRY_MS,
        };
        let outcome = match self.maybe_ran {
            true => FlightOutcome::Unknown(cause),
            false => FlightOutcome::NotRun {
                cause,
                retry_after_ms,
            },
        };
        self.stage = Stage::Finished(outcome);
    }
}
