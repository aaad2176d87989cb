//! The rate limit that a replica advertises in its responses: the number of requests per second
//! that it accepts from all entries together.

use serde::{Deserialize, Serialize};

/// Longest gap between two requests, in microseconds. Only a response shows that a limit has ended,
/// so a replica that advertises a rate close to 0 is still sent a request this often.
const MAX_GAP_US: u64 = 10_000_000;
const US_PER_S: f64 = 1e6;

/// A rate, as the time between two requests. A longer gap is a stricter rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AdvertisedRate {
    /// Time between two requests, in microseconds.
    pub gap_us: u64,
}

impl AdvertisedRate {
    /// Parses the values of a header, in requests per second, and returns the lowest rate; `None`
    /// if no value is a finite number of at least 0.
    pub fn parse<'a>(values: impl Iterator<Item = &'a str>) -> Option<Self> {
        let parts = values.flat_map(|value| value.split(','));
        let rates = parts.filter_map(|part| part.trim().parse::<f64>().ok());
        let rates = rates.filter(|rate| rate.is_finite() && *rate >= 0.0);
        let lowest = rates.min_by(f64::total_cmp)?;
        // A quotient that is too large saturates at the largest integer.
        let gap_us = (US_PER_S / lowest.abs()).ceil() as u64;
        Some(Self {
            gap_us: gap_us.min(MAX_GAP_US),
        })
    }

    /// Returns the rate in requests per second.
    pub fn per_s(self) -> f64 {
        US_PER_S / self.gap_us.max(1) as f64
    }
}
