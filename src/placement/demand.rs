//! Demand of each model, as the leader estimates it from beats.

use std::collections::BTreeMap;

use crate::ids::ModelName;

/// Demand of each model in concurrent requests: rises at once, falls slowly.
#[derive(Clone, Debug)]
pub struct DemandTracker {
    levels: BTreeMap<ModelName, f64>,
    decay: f64,
}

impl Default for DemandTracker {
    fn default() -> Self {
        Self::with_decay(DEFAULT_DECAY)
    }
}

/// Part of the level that remains after each quieter sample, if nothing else is said.
const DEFAULT_DECAY: f64 = 0.97;
/// Part of the way that a higher sample takes the level up.
const RISE_FACTOR: f64 = 0.5;

impl DemandTracker {
    /// No demand yet; `decay` of a level remains after each quieter sample.
    pub fn with_decay(decay: f64) -> Self {
        Self {
            levels: BTreeMap::new(),
            decay,
        }
    }

    /// Takes a sample of all models' concurrent requests.
    pub fn sample(&mut self, samples: &BTreeMap<ModelName, f64>) {
        for (model, level) in &mut self.levels {
            let sample = samples.get(model).copied().unwrap_or(0.0);
            *level = match sample > *level {
                true => *level + (sample - *level) * RISE_FACTOR,
                false => (*level * self.decay).max(sample),
            };
        }
        for (model, sample) in samples {
            let level = sample * RISE_FACTOR;
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
