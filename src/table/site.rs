//! Site description provided by the platform: models and targets.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{HallName, ModelName, TargetName};
use crate::table::limits::LimitPolicy;

/// Kind of a catalogue entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ModelKind {
    /// Base model, loaded from the weight store.
    Base,
    /// Adapter: resides only where its base model does.
    Adapter(ModelName),
    /// Plain service: fixed on the listed targets, never loaded or moved.
    Service(Vec<TargetName>),
}

/// Catalogue entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Kind of the entry.
    pub kind: ModelKind,
    /// Accelerator memory for the weights, in MiB.
    pub weights_mib: u64,
    /// KV memory per token of context, in KiB.
    #[serde(default)]
    pub kv_kib_per_token: u64,
}

/// Target as described by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSpec {
    /// Data hall: the failure domain of the target.
    pub hall: HallName,
    /// Accelerator memory, in MiB; 0 for a plain service.
    pub memory_mib: u64,
    /// Memory reserved for KV, in MiB.
    #[serde(default)]
    pub kv_floor_mib: u64,
    /// Number of accelerators of this target.
    #[serde(default = "default_accelerators")]
    pub accelerators: u32,
}

fn default_accelerators() -> u32 {
    1
}

impl TargetSpec {
    /// Returns the memory available for weights, in MiB.
    pub fn weights_capacity_mib(&self) -> u64 {
        self.memory_mib.saturating_sub(self.kv_floor_mib)
    }
}

/// Catalogue and targets. Replicated, so that all voters check edits alike.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteSpec {
    /// Generation; increased by the operator of the settings file with each change of this
    /// section.
    pub generation: u64,
    /// Number of largest targets whose loss every edit must tolerate.
    #[serde(default)]
    pub spare_targets: usize,
    /// Minimum interval between the starts of two loads, in milliseconds: the weight store's
    /// rate (714 for 1.4 loads per second).
    pub load_gap_ms: u64,
    /// Maximum number of concurrent loads from the weight store.
    pub loads_at_once: usize,
    /// Policy for sharing row limits between entries.
    pub limits: LimitPolicy,
    /// Base models, adapters and plain services by name.
    pub models: BTreeMap<ModelName, ModelSpec>,
    /// Targets by name.
    pub targets: BTreeMap<TargetName, TargetSpec>,
}
