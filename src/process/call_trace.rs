//! Trace of one call to the leader: which hosts were called, how often and for how long, and why
//! none of them decided.

use std::fmt;
use std::time::{Duration, Instant};

use crate::process::peers::PeerError;

/// Duration from which a call to the leader is logged even if it succeeds.
const SLOW_CALL: Duration = Duration::from_millis(500);
/// Maximum number of different failures in one trace.
const MAX_FAILURES: usize = 8;

/// Failures of one call to the leader, in the order of their first occurrence.
#[derive(Debug)]
pub struct CallTrace {
    step: &'static str,
    started: Instant,
    failures: Vec<CallFailure>,
    /// Number of attempts, including those beyond [`MAX_FAILURES`].
    attempts: usize,
}

/// Attempts at one host that failed for the same reason.
#[derive(Debug)]
struct CallFailure {
    peer: String,
    reason: String,
    count: u32,
    waited: Duration,
}

impl CallTrace {
    /// Starts the trace of a call; `step` is the name of the call.
    pub fn start(step: &'static str) -> Self {
        Self {
            step,
            started: Instant::now(),
            failures: Vec::new(),
            attempts: 0,
        }
    }

    /// Records an attempt that failed after `waited`.
    pub fn record_failure(&mut self, peer: &str, error: &PeerError, waited: Duration) {
        self.attempts += 1;
        let reason = error.reason();
        let same = |known: &CallFailure| known.peer == peer && known.reason == reason;
        match self.failures.iter().position(same) {
            Some(index) => {
                self.failures[index].count += 1;
                self.failures[index].waited += waited;
            }
            None if self.failures.len() < MAX_FAILURES => self.failures.push(CallFailure {
                peer: peer.to_owned(),
                reason,
                count: 1,
                waited,
            }),
            None => {}
        }
    }

    /// Logs a call that failed.
    pub fn log_failed(&self) {
        let (step, attempts, waited_ms) = (self.step, self.attempts, self.waited_ms());
        tracing::info!(step, attempts, waited_ms, failures = %self, "no control host decided");
    }

    /// Logs a call that `peer` decided, if it took long.
    pub fn log_decided(&self, peer: &str) {
        if self.started.elapsed() >= SLOW_CALL {
            let (step, attempts, waited_ms) = (self.step, self.attempts, self.waited_ms());
            tracing::info!(step, %peer, attempts, waited_ms, failures = %self, "slow decision");
        }
    }

    fn waited_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

impl fmt::Display for CallTrace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, failure) in self.failures.iter().enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            let waited_ms = failure.waited.as_millis();
            let CallFailure { peer, reason, .. } = failure;
            write!(
                f,
                "{separator}{peer} {reason} x{} in {waited_ms} ms",
                failure.count
            )?;
        }
        Ok(())
    }
}
