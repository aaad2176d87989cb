//! Bounds the lines that one place in the code may log each second, so that no load
//! makes the log's volume grow. What is passed over is counted.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use tracing::callsite::Identifier;
use tracing::{Event, Subscriber};
use tracing_subscriber::layer::{Context, Layer};

/// Lines a second of one place in the code.
pub const MAX_LINES_PER_SECOND: u32 = 100;

/// Lines that were passed over in this process.
static SUPPRESSED_LINES: AtomicU64 = AtomicU64::new(0);

/// Lines of this process that were passed over, for its metrics.
pub fn suppressed_lines() -> u64 {
    SUPPRESSED_LINES.load(Ordering::Relaxed)
}

/// The lines of the current second, by the place that logs them.
#[derive(Debug, Default)]
struct SecondCount {
    second: u64,
    lines: HashMap<Identifier, u32>,
}

/// A layer that leaves out what is beyond the bound.
#[derive(Debug)]
pub struct LineLimiter {
    clock_ms: fn() -> u64,
    count: Mutex<SecondCount>,
}

impl LineLimiter {
    /// Counts by a steady clock.
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
