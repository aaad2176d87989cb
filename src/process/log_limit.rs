//! Limits the log lines per second of each call site, so that the volume of the log does not
//! grow with load. Suppressed lines are counted.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use tracing::callsite::Identifier;
use tracing::{Event, Subscriber};
use tracing_subscriber::layer::{Context, Layer};

/// Limit on the lines of one call site.
pub const MAX_LINES_PER_SECOND: u32 = 100;

/// Number of suppressed lines in this process.
static SUPPRESSED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns the number of suppressed lines, for the metrics.
pub fn suppressed_lines() -> u64 {
    SUPPRESSED_LINES.load(Ordering::Relaxed)
}

/// Number of lines in the current second, by call site.
#[derive(Debug, Default)]
struct SecondCount {
    second: u64,
    lines: HashMap<Identifier, u32>,
}

/// Layer that suppresses the lines beyond the limit.
#[derive(Debug)]
pub struct LineLimiter {
    clock_ms: fn() -> u64,
    count: Mutex<SecondCount>,
}

impl LineLimiter {
    /// Creates a limiter that counts by a monotonic clock in milliseconds.
    pub fn new(clock_ms: fn() -> u64) -> Self {
        Self {
            clock_ms,
            count: Mutex::default(),
        }
    }

    fn admits(&self, callsite: Identifier) -> bool {
        let second = (self.clock_ms)() / 1_000;
        let mut count = self.count.lock().unwrap_or_else(|b| b.into_inner());
        if count.second != second {
            count.second = second;
            count.lines.clear();
        }
        let lines = count.lines.entry(callsite).or_default();
        *lines += 1;
        *lines <= MAX_LINES_PER_SECOND
    }
}

impl<S: Subscriber> Layer<S> for LineLimiter {
    fn event_enabled(&self, event: &Event<'_>, _: Context<'_, S>) -> bool {
        let admitted = self.admits(event.metadata().callsite());
        if !admitted {
            SUPPRESSED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        admitted
    }
}
