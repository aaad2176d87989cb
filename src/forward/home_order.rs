//! Order of a model's homes, by rendezvous hashing: all entries compute the same one without
//! communication, and a home that comes or goes moves no other.

use crate::forward::need::Need;
use crate::ids::ReplicaId;

/// Returns the key by which the homes for a request are ordered: the deepest shared part of its
/// prompt, or else its model.
pub fn home_key(need: &Need) -> u64 {
    match need.parts.last() {
        Some(part) => part.chain,
        None => need
            .model
            .as_ref()
            .map_or(0, |model| name_key(model.as_str())),
    }
}

/// Returns the key by which homes are ordered for a model, or for all models of a service.
pub fn name_key(name: &str) -> u64 {
    u64::from(crc32fast::hash(name.as_bytes()))
}

/// Sorts replicas into the order of a key.
pub fn in_order<'a>(key: u64, ids: impl Iterator<Item = &'a ReplicaId>) -> Vec<&'a ReplicaId> {
    let mut ranked: Vec<(u64, &ReplicaId)> = ids.map(|id| (hash_rank(key, id), id)).collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, id)| id).collect()
}

/// Returns the position of a replica in the pseudo-random order of a key.
pub fn hash_rank(key: u64, id: &ReplicaId) -> u64 {
    splitmix64(key ^ u64::from(crc32fast::hash(id.as_str().as_bytes())))
}

/// Spreads adjacent numbers over the whole range: the finalizer of the generator SplitMix64.
fn splitmix64(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    number ^ (number >> 31)
}
