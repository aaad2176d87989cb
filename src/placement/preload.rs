//! Preloading: adapters that no replica holds are loaded at one home of their model each, before a
//! request needs them.
//!
//! Without a leader, and until a new one has waited for the lease of the previous one, no adapter
//! is loaded. During that time a request for an adapter that no replica holds can only be refused.
//!
//! Pure code. Preloading leaves some slots of each replica free, so that an adapter request does
//! not have to wait for an eviction.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{ModelName, ReplicaId};
use crate::placement::order::AdapterPlacement;

/// Number of adapter slots of a replica that preloading leaves free for adapter requests.
pub const RESERVED_SLOTS: usize = 2;

/// Returns the names of a model's adapters.
pub fn adapter_names(count: u32) -> impl Iterator<Item = String> {
    (1..=count).map(|number| format!("a{number}"))
}

/// The adapters of one model that no replica holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MissingAdapters {
    /// The model.
    pub model: ModelName,
    /// Names of the adapters.
    pub names: Vec<String>,
}

impl MissingAdapters {
    /// Returns the adapters of a model that are not in `known`, the names that are loaded or being
    /// loaded; `None` if there are none. The model has `count` adapters, named `a1`, `a2` and so
    /// on.
    pub fn of(model: &ModelName, count: u32, known: &BTreeSet<&str>) -> Option<Self> {
        let all = adapter_names(count);
        let names: Vec<String> = all.filter(|name| !known.contains(name.as_str())).collect();
        let model = model.clone();
        (!names.is_empty()).then_some(Self { model, names })
    }
}

/// A replica at which adapters may be preloaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PreloadReplica {
    /// Id of the replica.
    pub id: ReplicaId,
    /// Models that the replica holds.
    pub models: BTreeSet<ModelName>,
    /// Number of slots that are neither occupied nor claimed by an order.
    pub free_slots: usize,
    /// Number of further loads that may be started at the replica.
    pub loads_allowed: usize,
}

impl PreloadReplica {
    fn has_free_slot(&self) -> bool {
        self.free_slots > RESERVED_SLOTS && self.loads_allowed > 0
    }
}

/// Plans up to `limit` loads, in the order of `missing`. Each goes to the home of its model with
/// the most free slots.
pub fn plan_preloads(
    missing: &[MissingAdapters],
    replicas: &mut [PreloadReplica],
    limit: usize,
) -> Vec<AdapterPlacement> {
    let homes = homes_by_model(replicas);
    let mut placements = Vec::new();
    for MissingAdapters { model, names } in missing {
        let homes = homes.get(model).map_or(&[][..], Vec::as_slice);
        for adapter in names {
            if placements.len() >= limit {
                return placements;
            }
            let open = homes.iter().filter(|home| replicas[**home].has_free_slot());
            let Some(home) = open.max_by_key(|home| replicas[**home].free_slots) else {
                break;
            };
            let home = &mut replicas[*home];
            home.free_slots -= 1;
            home.loads_allowed -= 1;
            placements.push(AdapterPlacement {
                replica: home.id.clone(),
                model: model.clone(),
                adapter: adapter.clone(),
            });
        }
    }
    placements
}

/// Returns the indexes of the replicas that hold each model. Scanning all replicas for each adapter
/// would cost adapters × replicas.
fn homes_by_model(replicas: &[PreloadReplica]) -> BTreeMap<ModelName, Vec<usize>> {
    let mut homes: BTreeMap<ModelName, Vec<usize>> = BTreeMap::new();
    for (number, replica) in replicas.iter().enumerate() {
        for model in &replica.models {
            homes.entry(model.clone()).or_default().push(number);
        }
    }
    homes
}
