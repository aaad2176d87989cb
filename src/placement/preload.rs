//! Adapters that are brought before anybody asks for them: each to one home of its model.
//!
//! Without a leader, and for a lease after it, nobody brings an adapter: a request for one that
//! is nowhere could only be refused for as long.
//!
//! Pure. Only placements that stay free beside are used, so that a wish never has to wait for one
//! to be taken away.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{ModelName, ReplicaId};
use crate::placement::order::AdapterPlacement;

/// Places of a replica that are left to wishes.
pub const RESERVED_SLOTS: usize = 2;

/// The adapters of a model that are nowhere.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MissingAdapters {
    /// The model.
    pub model: ModelName,
    /// Their names.
    pub names: Vec<String>,
}

impl MissingAdapters {
    /// Those of a model with `count` of them, named `a1`, `a2` and so forth, but for those that
    /// are `known` to be somewhere or to come.
    pub fn of(model: &ModelName, count: u32, known: &BTreeSet<&str>) -> Option<Self> {
        let all = (1..=count).map(|number| format!("a{number}"));
        let names: Vec<String> = all.filter(|name| !known.contains(name.as_str())).collect();
        let model = model.clone();
        (!names.is_empty()).then_some(Self { model, names })
    }
}

/// A replica that adapters may be brought to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PreloadReplica {
    /// Its id.
    pub id: ReplicaId,
    /// The models that it holds.
    pub models: BTreeSet<ModelName>,
    /// Places that nothing takes or may come to take.
    pub free_slots: usize,
    /// Adapters that may be on their way to it besides.
    pub loads_allowed: usize,
}

impl PreloadReplica {
    fn has_free_slot(&self) -> bool {
        self.free_slots > RESERVED_SLOTS && self.loads_allowed > 0
    }
}

/// What is brought where, `limit` at a time, in the order of what is `missing`.
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

/// The numbers of the replicas that hold each model: a look at all of them for each adapter
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
