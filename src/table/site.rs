//! The site: models, targets and partners, as the platform provides them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{HallName, ModelName, TargetName};
use crate::table::limits::LimitPolicy;

/// What a catalogue entry is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ModelKind {
    /// A base model, loaded from the weight store.
    Base,
    /// An adapter: lives only where its base model lives.
    Adapter(ModelName),
    /// A plain service: fixed on the named targets, never loaded or moved.
    Service(Vec<TargetName>),
}

/// A catalogue entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// What it is.
    pub kind: ModelKind,
    /// Accelerator memory that the weights take, in MiB.
    pub weights_mib: u64,
    /// KV memory that one token of context takes, in KiB.
    #[serde(default)]
    pub kv_kib_per_token: u64,
}

/// A target as the platform describes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSpec {
    /// Its failure domain.
    pub hall: HallName,
    /// Accelerator memory, in MiB; zero for a plain service.
    pub memory_mib: u64,
    /// Memory kept free of weights, for KV, in MiB.
    #[serde(default)]
    pub kv_floor_mib: u64,
    /// Accelerators in use on this target.
    #[serde(default = "default_accelerators")]
    pub accelerators: u32,
}

fn default_accelerators() -> u32 {
    1
}

impl TargetSpec {
    /// The memory that weights may take, in MiB.
    pub fn weights_capacity_mib(&self) -> u64 {
        self.memory_mib.saturating_sub(self.kv_floor_mib)
    }
}

/// The catalogue and the targets. Replicated, so that each voter checks edits alike.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteSpec {
    /// Raised by the operator of the settings file with each change of this section.
    pub generation: u64,
    /// An edit must leave room for the loss of this many largest targets.
    #[serde(default)]
    pub spare_targets: usize,
    /// Least time between the starts of two loads, in milliseconds: the weight
    /// store's rate (714 for 1.4 loads a second).
    pub load_gap_ms: u64,
    /// Loads that the weight store allows at once.
    pub loads_at_once: usize,
    /// How row limits are shared by the entries.
    pub limits: LimitPolicy,
    /// Base models, adapters and plain services.
    pub models: BTreeMap<ModelName, ModelSpec>,
    /// Targets.
    pub targets: BTreeMap<TargetName, TargetSpec>,
}
