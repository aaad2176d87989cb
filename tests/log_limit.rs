//! Rate limit of log lines for each call site.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use dunlinspring::process::log_limit::{self, LineLimiter, MAX_LINES_PER_SECOND};
use tracing_subscriber::layer::SubscriberExt;

/// Clock of the limiter, in milliseconds.
static NOW_MS: AtomicU64 = AtomicU64::new(0);

#[derive(Clone, Default)]
struct SharedLines(Arc<Mutex<Vec<u8>>>);

impl Write for SharedLines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl SharedLines {
    fn count(&self, pattern: &str) -> u32 {
        let text = String::from_utf8(self.0.lock().unwrap().clone()).unwrap();
        text.lines().filter(|line| line.contains(pattern)).count() as u32
    }
}

fn log_many_lines() {
    for number in 0..MAX_LINES_PER_SECOND * 10 {
        tracing::info!(number, "much");
    }
    tracing::info!("little");
}

#[test]
fn a_noisy_call_site_is_limited_and_hides_no_other() {
    let lines = SharedLines::default();
    let writer = lines.clone();
    let subscriber = tracing_subscriber::fmt()
        .with_ansi(false)
        .with_writer(move || writer.clone())
        .finish()
        .with(LineLimiter::new(|| NOW_MS.load(Ordering::SeqCst)));
    tracing::subscriber::with_default(subscriber, || {
        log_many_lines();
        assert_eq!(lines.count("much"), MAX_LINES_PER_SECOND);
        assert_eq!(lines.count("little"), 1);
        assert_eq!(
            log_limit::suppressed_lines(),
            u64::from(MAX_LINES_PER_SECOND) * 9
        );
        NOW_MS.store(1_000, Ordering::SeqCst);
        log_many_lines();
        assert_eq!(lines.count("much"), MAX_LINES_PER_SECOND * 2);
        assert_eq!(lines.count("little"), 2);
    });
}
