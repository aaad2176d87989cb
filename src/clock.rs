//! The clocks of the shell. The core never reads one.

use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// Milliseconds since this process first asked; goes on while it is frozen, and while its
/// machine is suspended: a lease must not outlast either.
pub fn monotonic_ms() -> u64 {
    static START: OnceLock<Duration> = OnceLock::new();
    let now = since_boot();
    let start = *START.get_or_init(|| now);
    now.saturating_sub(start).as_millis() as u64
}

/// The clock that the standard library's steady one leaves out: it counts suspended time.
fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the system has a clock since boot");
    Duration::from(now)
}

/// Milliseconds since the epoch, as this process first read them, carried on by the steady
/// clock: where the time of day jumps, what is stamped with it neither ages at once nor
/// stays new.
pub fn stamp_ms() -> u64 {
    static START_MS: OnceLock<u64> = OnceLock::new();
    // Both clocks are read together, so that the steady one counts from here.
    let now_ms = monotonic_ms();
    let start_ms = START_MS.get_or_init(|| wall_ms().saturating_sub(now_ms));
    start_ms + now_ms
}

/// Milliseconds since the epoch.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
