//! How long a request waits at an entry before it is rejected as not run.
//!
//! Pure. A request that cannot be served in time is rejected at once; one that can still be served,
//! even if late, is not rejected before that.

use std::time::Duration;

/// Time from the first request for a model that no replica holds until its load starts: the leader
/// has to learn of the demand, and another model to be unloaded first.
const LOAD_START_DELAY: Duration = Duration::from_millis(2_000);

/// How long a request waits for free capacity if all replicas are full: a fraction of its latency
/// target.
pub fn capacity_wait(aim: Duration, fraction: f64) -> Duration {
    aim.mul_f64(fraction)
}

/// How long a request waits for an adapter that its replicas do not hold, whether or not the leader
/// has refused to load it so far: a refusal ends when an order at the replica does, and within the
/// wait the leader is asked again.
pub fn adapter_wait(aim: Duration, left: Duration) -> Duration {
    aim.min(left / 2)
}

/// How long a request waits in total for a model that no replica holds: until its load, which takes
/// `load`, should be complete, or not at all if that is after the deadline. A load that has already
/// started completes earlier, so the time waited so far counts.
pub fn load_wait(load: Duration, waited: Duration, left: Duration) -> Duration {
    let expected = LOAD_START_DELAY + load;
    match expected.saturating_sub(waited) < left {
        true => expected,
        false => Duration::ZERO,
    }
}
