//! How long a request waits at the entry before it is rejected as not run.
//!
//! Pure. What surely cannot be served in time is rejected at once, and what can be served,
//! if late, is not given up before that.

use std::time::Duration;

/// Time from the first request for a model that is nowhere until its load begins: the
/// leader learns of the demand, and another model has to go first.
const LOAD_START_DELAY: Duration = Duration::from_millis(2_000);

/// How long a request waits for room where all homes are full; `fraction` of its aim.
pub fn capacity_wait(aim: Duration, fraction: f64) -> Duration {
    aim.mul_f64(fraction)
}

/// How long a request waits in all for a model that no replica holds: until its load,
/// which takes `load`, should be over; not at all where that is after the request's time.
/// A load that has begun is over sooner than a whole one takes, so what was waited counts.
pub fn load_wait(load: Duration, waited: Duration, left: Duration) -> Duration {
    let expected = LOAD_START_DELAY + load;
    match expected.saturating_sub(waited) < left {
        true => expected,
        false => Duration::ZERO,
    }
}
