//! Demand of each model, as the leader estimates it from beats.

use std::collections::BTreeMap;

use crate::ids::ModelName;

/// Demand of each model in concurrent requests: rises at once, falls slowly.
#[derive(Clone, Debug)]
pub struct DemandTracker {
    levels: BTreeMap<ModelName, f64>,
    fall: f64,
}

impl Default for DemandTracker {
    fn default() -> Self {
        Self::falling(FALL)
    }
}

/// Part of the level that remains after each quieter sample, if nothing else is said.
const FALL: f64 = 0.97;
/// Part of the way that a higher sample takes the level up.
const RISE: f64 = 0.5;

impl DemandTracker {
    /// No demand yet; `fall` of a level remains after each quieter sample.
    pub fn falling(fall: f64) -> Self {
        Self {
            levels: BTreeMap::new(),
            fall,
        }
    }

    /// Takes a sample of all models' concurrent requests.
    pub fn sample(&mut self, now: &BTreeMap<ModelName, f64>) {
        for (model, level) in &mut self.levels {
            let sample = now.get(model).copied().unwrap_or(0.0);
            *level = match sample > *level {
                true => *level + (sample - *level) * RISE,
                false => (*level * self.fall).max(sample),
            };
        }
        for (model, sample) in now {
            let level = sample * RISE;
            self.levels.entry(model.clone()).or_insert(level);
        }
        self.levels.retain(|_, level| *level > 0.01);
    }

    /// Whether there is no demand for any model.
    pub fn is_empty(&self) -> bool {
        self.levels.is_empty()
    }

    /// The level of one model.
    pub fn level(&self, model: &ModelName) -> f64 {
        self.levels.get(model).copied().unwrap_or(0.0)
    }
}
