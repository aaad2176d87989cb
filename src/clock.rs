//! Clocks of the shell. The core never reads a clock.

use std::future::Future;
use std::pin::pin;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// Returns the milliseconds since the first call in this process. Includes time during which
/// the process is frozen or the machine is suspended, as a lease must not outlast either.
pub fn monotonic_ms() -> u64 {
    static START: OnceLock<Duration> = OnceLock::new();
    let now = since_boot();
    let start = *START.get_or_init(|| now);
    now.saturating_sub(start).as_millis() as u64
}

/// Reads `CLOCK_BOOTTIME`, which counts suspended time, unlike `std::time::Instant`.
fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("CLOCK_BOOTTIME is readable");
    Duration::from(now) + Duration::from_millis(SUSPENDED_MS.load(Ordering::SeqCst))
}

/// Simulated suspension time added by tests, in milliseconds.
static SUSPENDED_MS: AtomicU64 = AtomicU64::new(0);

/// Simulates a suspension of the machine, for tests: advances the clocks of this module by
/// `time`, but not the monotonic clock behind Tokio's timers.
pub fn simulate_suspension(time: Duration) {
    let millis = time.as_millis() as u64;
    SUSPENDED_MS.fetch_add(millis, Ordering::SeqCst);
}

/// Interval at which [`wait_until`] re-reads the clock: the longest overrun of a wait whose
/// deadline passed during a suspension.
const MAX_WAIT_STEP: Duration = Duration::from_millis(200);

/// Waits for a future until the deadline `until_ms` on the [`monotonic_ms`] clock; returns
/// `None` if the deadline comes first. Re-reads the clock at intervals, because timers stand
/// still while the machine is suspended.
pub async fn wait_until<T>(until_ms: u64, future: impl Future<Output = T>) -> Option<T> {
    let mut future = pin!(future);
    loop {
        let remaining = Duration::from_millis(until_ms.saturating_sub(monotonic_ms()));
        let waited = tokio::time::timeout(remaining.min(MAX_WAIT_STEP), &mut future).await;
        match waited {
            Ok(value) => return Some(value),
            Err(_) if remaining <= MAX_WAIT_STEP => return None,
            Err(_) => {}
        }
    }
}

/// Returns the milliseconds since the epoch: the wall clock as first read by this process,
/// advanced by the monotonic clock. A jump of the wall clock thus neither expires timestamps at
/// once nor keeps them fresh.
pub fn stamp_ms() -> u64 {
    static START_MS: OnceLock<u64> = OnceLock::new();
    // Reads both clocks together, so that monotonic time counts from here.
    let now_ms = monotonic_ms();
    let start_ms = START_MS.get_or_init(|| wall_ms().saturating_sub(now_ms));
    start_ms + now_ms
}

/// Returns the wall clock, in milliseconds since the epoch.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
