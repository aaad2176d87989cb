//! Measures how long a replica takes to prefill one token. Pure.
//!
//! Reports show the end of a prefill late, by up to the time between two reports. A busy period, in
//! which the replica prefills without a pause, is measured from the end of one prefill to the end
//! of another: both are seen late, and the errors of successive periods cancel out. Single runs are
//! used only where there was no busy period lately; their time includes the decode steps of the
//! first event.

/// Number of units over which an average is taken; earlier ones fade.
const AVERAGE_TOKENS: f64 = 40_000.0;
/// Fewest prefilled tokens of a sample per run: the time of shorter prefills is mostly decode
/// steps and the delay of reports.
const MIN_SAMPLE_TOKENS: u32 = 512;
/// Longest time between two reports of a sample, in milliseconds. Across a longer one it is not
/// known whether the replica was busy.
const MAX_REPORT_GAP_MS: u64 = 100;
/// Time for which a busy period is preferred to single runs, in milliseconds. Hosts are shared,
/// so speeds change.
const BUSY_SAMPLE_MS: u64 = 30_000;

/// Moving average of the time per unit of work, weighted by the work.
#[derive(Clone, Copy, Debug, Default)]
pub struct UnitTime {
    units: f64,
    ms: f64,
}

impl UnitTime {
    /// Adds work and the time that it took. Earlier work fades beyond `window` units.
    pub fn add(&mut self, units: f64, ms: f64, window: f64) {
        self.units += units;
        self.ms += ms;
        if self.units > window {
            let kept = window / self.units;
            self.units *= kept;
            self.ms *= kept;
        }
    }

    /// Returns the milliseconds per unit; `None` without samples.
    pub fn ms_per_unit(&self) -> Option<f64> {
        (self.units > 0.0).then(|| self.ms / self.units)
    }
}

/// What a report shows of prefills.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefillProgress {
    /// Uncached tokens of the runs that produced their first event since the last report.
    pub tokens: u32,
    /// Number of these runs.
    pub runs: u32,
    /// Whether runs of unknown length ended their prefill, too.
    pub unknown_runs: bool,
    /// Whether some prompt is certainly being prefilled.
    pub is_busy: bool,
}

/// Measures the prefill time per token.
#[derive(Clone, Debug, Default)]
pub struct PrefillMeter {
    busy: UnitTime,
    busy_sampled_ms: u64,
    single: UnitTime,
    /// Since when the replica has prefilled without a pause, at the end of some prefill.
    busy_since_ms: Option<u64>,
    reported_ms: Option<u64>,
}

impl PrefillMeter {
    /// Returns the prefill time per token, in milliseconds; `None` until it was measured.
    pub fn ms_per_token(&self, now_ms: u64) -> Option<f64> {
        let is_recent = now_ms.saturating_sub(self.busy_sampled_ms) < BUSY_SAMPLE_MS;
        let busy = self.busy.ms_per_unit();
        let single = self.single.ms_per_unit();
        match is_recent {
            true => busy.or(single),
            false => single.or(busy),
        }
    }

    /// Records a report.
    pub fn on_report(&mut self, progress: &PrefillProgress, now_ms: u64) {
        if self.report_gap_ms(now_ms).is_none() {
            self.interrupt();
        }
        let ended = progress.runs > 0 || progress.unknown_runs;
        let since_ms = self.busy_since_ms;
        match since_ms.filter(|_| ended && !progress.unknown_runs) {
            Some(since_ms) if progress.tokens >= MIN_SAMPLE_TOKENS * progress.runs => {
                let took_ms = now_ms.saturating_sub(since_ms) as f64;
                self.busy
                    .add(f64::from(progress.tokens), took_ms, AVERAGE_TOKENS);
                self.busy_sampled_ms = now_ms;
            }
            _ => {}
        }
        self.busy_since_ms = match progress.is_busy {
            true if ended => Some(now_ms),
            true => since_ms,
            false => None,
        };
        self.reported_ms = Some(now_ms);
    }

    /// Records the first event of a run that found the replica without other prefills, and was sent
    /// at `sent_ms`. Called before [`PrefillMeter::on_report`] of the report that shows it.
    pub fn on_single_run(&mut self, tokens: u32, sent_ms: u64, now_ms: u64) {
        match self.report_gap_ms(now_ms) {
            Some(gap_ms) if tokens >= MIN_SAMPLE_TOKENS => {
                // The event came at an unknown time since the last report.
                let event_ms = now_ms as f64 - gap_ms as f64 / 2.0;
                let took_ms = (event_ms - sent_ms as f64).max(1.0);
                self.single.add(f64::from(tokens), took_ms, AVERAGE_TOKENS);
            }
            _ => {}
        }
    }

    /// Ends a busy period without a sample: a prefill may have ended early.
    pub fn interrupt(&mut self) {
        self.busy_since_ms = None;
    }

    /// Returns the time since the last report; `None` if it is too long for a sample.
    fn report_gap_ms(&self, now_ms: u64) -> Option<u64> {
        let gap_ms = now_ms.saturating_sub(self.reported_ms?);
        (gap_ms <= MAX_REPORT_GAP_MS).then_some(gap_ms)
    }
}
