//! The clocks of the shell. The core never reads one.

use std::future::Future;
use std::pin::pin;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
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
    Duration::from(now) + Duration::from_millis(SUSPENDED_MS.load(Ordering::SeqCst))
}

/// Time that tests have let pass as on a suspended machine, in milliseconds.
static SUSPENDED_MS: AtomicU64 = AtomicU64::new(0);

/// Lets time pass as on a suspended machine, for tests of it: the clocks here go on by so
/// much, and the steady clock behind timers stands still.
pub fn simulate_suspension(time: Duration) {
    let millis = time.as_millis() as u64;
    SUSPENDED_MS.fetch_add(millis, Ordering::SeqCst);
}

/// Longest time for which a wait goes on after a suspension that lasted past its end.
const MAX_WAIT_STEP: Duration = Duration::from_millis(200);

/// Waits for a future until a moment of [`monotonic_ms`]; none where that comes first.
/// Timers stand still while the machine is suspended: this looks at the clock meanwhile.
pub async fn wait_until<T>(until_ms: u64, future: impl Future<Output = T>) -> Option<T> {
    let mut future = pin!(future);
    loop {
        let left = Duration::from_millis(until_ms.saturating_sub(monotonic_ms()));
        let waited = tokio::time::timeout(left.min(MAX_WAIT_STEP), &mut future).await;
        match waited {
            Ok(value) => return Some(value),
            Err(_) if left <= MAX_WAIT_STEP => return None,
            Err(_) => {}
        }
    }
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
