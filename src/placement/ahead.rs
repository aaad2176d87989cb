//! Adapters that are brought before anybody asks for them: each to one home of its model.
//!
//! Without a leader, and for a lease after it, nobody brings an adapter: a request for one that
//! is nowhere could only be refused for as long.
//!
//! Pure. Only places that stay free beside are used, so that a wish never has to wait for one
//! to be taken away.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{ModelName, ReplicaId};
use crate::placement::order::AdapterPlace;

/// Places of a replica that are left to wishes.
pub const SPARE_PLACES: usize = 2;

/// A replica that adapters may be brought to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AheadReplica {
    /// Its id.
    pub id: ReplicaId,
    /// The models that it holds.
    pub models: BTreeSet<ModelName>,
    /// Places that nothing takes or may come to take.
    pub free_places: usize,
    /// Adapters that may be on their way to it besides.
    pub may_come: usize,
}

/// What is brought where, `most` at a time. `adapters` counts those of each model, the most
/// wanted model first, and `known` names those that some replica holds or is to hold.
pub fn plan_ahead(
    adapters: &[(ModelName, u32)],
    known: &BTreeMap<ModelName, BTreeSet<String>>,
    replicas: &mut [AheadReplica],
    most: usize,
) -> Vec<AdapterPlace> {
    let mut places = Vec::new();
    for (model, count) in adapters {
        let there = known.get(model);
        let missing = (1..=*count)
            .map(|number| format!("a{number}"))
            .filter(|name| !there.is_some_and(|names| names.contains(name)));
        for adapter in missing {
            if places.len() >= most {
                return places;
            }
            let homes = replicas.iter_mut();
            let homes = homes.filter(|home| home.models.contains(model) && home.has_place());
            let Some(home) = homes.max_by_key(|home| home.free_places) else {
                break;
            };
            home.free_places -= 1;
            home.may_come -= 1;
            places.push(AdapterPlace {
                replica: home.id.clone(),
                model: model.clone(),
                adapter,
            });
        }
    }
    places
}

impl AheadReplica {
    fn has_place(&self) -> bool {
        self.free_places > SPARE_PLACES && self.may_come > 0
    }
}
