//! Demand for each model, as the leader estimates it from heartbeats and reports.

use std::collections::BTreeMap;

use crate::ids::ModelName;

/// Smoothed demand for each model, in concurrent requests. Rises quickly and decays slowly.
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

/// Default share of the level that remains after a sample below it.
const DEFAULT_DECAY: f64 = 0.97;
/// Share of the distance to a higher sample by which the level rises.
const RISE_FACTOR: f64 = 0.5;

impl DemandTracker {
    /// Creates a tracker without demand. `decay` is the share of a level that remains after a
    /// sample below it.
    pub fn with_decay(decay: f64) -> Self {
        Self {
            levels: BTreeMap::new(),
            decay,
        }
    }

    /// Updates the levels from a sample of the concurrent requests of all models.
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

    /// Returns whether no model has demand.
    pub fn is_empty(&self) -> bool {
        self.levels.is_empty()
    }

    /// Returns the demand for one model.
    pub fn level(&self, model: &ModelName) -> f64 {
        self.levels.get(model).copied().unwrap_or(0.0)
    }
}
