//! Measures how long a replica takes to prefill prompts. Pure.
//!
//! An event takes several decode steps after the prefill, and a report shows it late by up to the
//! time between two reports, so the time of a single run is more than its prefill. Two measurements
//! separate them:
//!
//! - A run that is prefilled alone, from when the replica begins it until it has produced an event.
//!   Its time grows with its tokens; a linear regression gives the time per token and the fixed time
//!   of the event. Periods of several runs do not count: prefill may pause between two of them,
//!   while the first is in the decode steps of its event.
//! - A saturated period, in which several runs are in their prefill all along, from the first event
//!   of one run to that of another. Both come equally late, so the fixed time cancels out.

/// Number of units over which the average of saturated periods is taken; earlier ones fade.
const AVERAGE_TOKENS: f64 = 100_000.0;
/// Number of single runs over which the regression is taken; earlier ones fade.
const AVERAGE_RUNS: f64 = 64.0;
/// Least standard deviation of the tokens of single runs from which their fixed time is known.
const MIN_TOKENS_DEVIATION: f64 = 300.0;
/// Least part of the mean time per token that is prefill, whatever the regression gives: a bound on
/// the effect of wrong samples, such as prompts that are cached without being known to be.
const MIN_PREFILL_PART: f64 = 0.3;
/// Shortest saturated period, in milliseconds. The first events of runs come closer to each other
/// than their prefills when the last of several prefills has ended, which distorts short ones.
const MIN_SATURATED_MS: f64 = 2_000.0;
/// Longest time between two reports of a period, in milliseconds. Across a longer one it is not
/// known whether the replica was busy.
const MAX_REPORT_GAP_MS: u64 = 100;
/// Time for which single runs are preferred to saturated periods, in milliseconds. Hosts are shared,
/// so speeds change.
const SINGLE_SAMPLE_MS: u64 = 30_000;

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

/// Time of prefills: a fixed time until the first event, and a time per token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillTime {
    /// Prefill time per token, in milliseconds.
    pub ms_per_token: f64,
    /// Time to the first event beyond the prefill, in milliseconds.
    pub fixed_ms: f64,
}

/// Linear regression of the time of single runs over their tokens.
#[derive(Clone, Copy, Debug, Default)]
struct RunRegression {
    count: f64,
    tokens: f64,
    ms: f64,
    tokens_squared: f64,
    tokens_by_ms: f64,
}

impl RunRegression {
    fn add(&mut self, tokens: f64, ms: f64) {
        let kept = 1.0 - 1.0 / AVERAGE_RUNS;
        self.count = self.count * kept + 1.0;
        self.tokens = self.tokens * kept + tokens;
        self.ms = self.ms * kept + ms;
        self.tokens_squared = self.tokens_squared * kept + tokens * tokens;
        self.tokens_by_ms = self.tokens_by_ms * kept + tokens * ms;
    }

    fn time(&self) -> Option<PrefillTime> {
        if self.tokens <= 0.0 {
            return None;
        }
        let mean = self.ms / self.tokens;
        let determinant = self.count * self.tokens_squared - self.tokens * self.tokens;
        let deviation = determinant.max(0.0).sqrt() / self.count;
        let ms_per_token = match deviation >= MIN_TOKENS_DEVIATION {
            true => {
                let slope = (self.count * self.tokens_by_ms - self.tokens * self.ms) / determinant;
                slope.clamp(mean * MIN_PREFILL_PART, mean)
            }
            false => mean,
        };
        let fixed_ms = (self.ms - ms_per_token * self.tokens) / self.count;
        Some(PrefillTime {
            ms_per_token,
            fixed_ms: fixed_ms.max(0.0),
        })
    }
}

/// What a report shows of prefills.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefillProgress {
    /// Uncached tokens of the runs that produced their first event since the last report.
    pub tokens: u32,
    /// Number of these runs.
    pub runs: u32,
    /// Whether runs of unknown length produced their first event as well.
    pub unknown_runs: bool,
    /// Runs in progress that have not produced an event.
    pub prefilling: u32,
    /// Runs that the replica has not begun.
    pub queued: u32,
}

#[derive(Clone, Copy, Debug)]
struct OpenPeriod {
    since_ms: f64,
    tokens: u32,
    runs: u32,
    is_saturated: bool,
}

/// Measures the prefill time.
#[derive(Clone, Debug, Default)]
pub struct PrefillMeter {
    single: RunRegression,
    /// When the last single run was measured.
    single_ms: u64,
    saturated: UnitTime,
    period: Option<OpenPeriod>,
    reported_ms: Option<u64>,
    /// Whether the last report showed a run that had not produced an event.
    was_prefilling: bool,
}

impl PrefillMeter {
    /// Returns the measured time; `None` until one was measured.
    pub fn time(&self, now_ms: u64) -> Option<PrefillTime> {
        let is_recent = now_ms.saturating_sub(self.single_ms) < SINGLE_SAMPLE_MS;
        let single = self.single.time();
        let saturated = self
            .saturated
            .ms_per_unit()
            .map(|ms_per_token| PrefillTime {
                ms_per_token,
                fixed_ms: single.map_or(0.0, |single| single.fixed_ms),
            });
        match is_recent {
            true => single.or(saturated),
            false => saturated.or(single),
        }
    }

    /// Records that a run was sent while the replica was idle.
    pub fn on_idle_arrival(&mut self, now_ms: u64) {
        self.period = Some(OpenPeriod {
            since_ms: now_ms as f64,
            tokens: 0,
            runs: 0,
            is_saturated: false,
        });
    }

    /// Records a report.
    pub fn on_report(&mut self, progress: &PrefillProgress, now_ms: u64) {
        let now = now_ms as f64;
        let last_ms = self.reported_ms.replace(now_ms);
        let was_prefilling = std::mem::replace(&mut self.was_prefilling, progress.prefilling > 0);
        let gap_ms = last_ms.map(|last_ms| now_ms.saturating_sub(last_ms));
        let Some(gap_ms) = gap_ms.filter(|gap_ms| *gap_ms <= MAX_REPORT_GAP_MS) else {
            // A period that began since the last report can go on.
            let last_ms = last_ms.unwrap_or(0) as f64;
            let period = self.period.filter(|period| period.since_ms >= last_ms);
            self.period = period.filter(|_| progress.runs == 0 && !progress.unknown_runs);
            return;
        };
        // What was seen now came at an unknown time since the last report.
        let seen_ms = now - gap_ms as f64 / 2.0;
        self.period = match self.period {
            _ if progress.unknown_runs => None,
            Some(mut period) => {
                period.tokens = period.tokens.saturating_add(progress.tokens);
                period.runs = period.runs.saturating_add(progress.runs);
                self.go_on(period, progress, now_ms, seen_ms)
            }
            None if progress.prefilling > 0 && !was_prefilling => Some(OpenPeriod {
                since_ms: seen_ms,
                tokens: 0,
                runs: 0,
                is_saturated: false,
            }),
            None if progress.prefilling >= 2 && progress.runs > 0 => Some(OpenPeriod {
                since_ms: now,
                tokens: 0,
                runs: 0,
                is_saturated: true,
            }),
            None => None,
        };
    }

    /// Returns what a period becomes with a report, and takes a sample where it ends.
    fn go_on(
        &mut self,
        period: OpenPeriod,
        progress: &PrefillProgress,
        now_ms: u64,
        seen_ms: f64,
    ) -> Option<OpenPeriod> {
        let has_ended = progress.runs > 0;
        let tokens = f64::from(period.tokens);
        let took_ms = now_ms as f64 - period.since_ms;
        match (period.is_saturated, progress.prefilling) {
            (false, 0) if has_ended => {
                if period.runs == 1 {
                    self.single
                        .add(tokens, (seen_ms - period.since_ms).max(1.0));
                    self.single_ms = now_ms;
                }
                None
            }
            // It waits for a slot or memory.
            (false, 0) if progress.queued > 0 => None,
            // It is on its way.
            (false, 0) => Some(period),
            (is_saturated, 2..) if has_ended && took_ms >= MIN_SATURATED_MS => {
                if is_saturated {
                    self.saturated.add(tokens, took_ms, AVERAGE_TOKENS);
                }
                Some(OpenPeriod {
                    since_ms: now_ms as f64,
                    tokens: 0,
                    runs: 0,
                    is_saturated: true,
                })
            }
            (true, 0 | 1) => None,
            _ => Some(period),
        }
    }

    /// Ends a period without a sample: a prefill may have ended early.
    pub fn interrupt(&mut self) {
        self.period = None;
    }
}
