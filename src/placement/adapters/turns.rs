//! Which adapter of a replica gives way to another one.

use crate::consensus::directory::ReplicaRecord;
use crate::placement::order::AdapterPlacement;

use super::{AdapterOrders, placement_of};

/// An adapter used within this time is not evicted, in milliseconds.
const RECENT_USE_MS: u64 = 2_000;
/// Time for which an adapter stays loaded before an adapter without service may take its slot, in
/// milliseconds: its own callers come back within it.
const MIN_TURN_MS: u64 = 6_000;
/// The same if the adapter is in use. Loads take a fraction of it, so that turns cost little.
const IN_USE_TURN_MS: u64 = 8_000;

impl AdapterOrders {
    /// Returns the adapters of a replica that no order concerns, each with the time since which it
    /// has been there, as far as known.
    fn evictable<'a>(
        &'a self,
        record: &'a ReplicaRecord,
    ) -> impl Iterator<Item = (u64, AdapterPlacement)> + 'a {
        let held = record.models.iter();
        let held = held.flat_map(|(model, names)| names.iter().map(move |name| (model, name)));
        let placements = held.map(|(model, name)| placement_of(&record.id, model, name));
        let settled = placements.filter(|placement| !self.pending.contains_key(placement));
        settled.map(|placement| {
            let loaded_ms = self.loaded_ms.get(&placement).copied();
            (loaded_ms.unwrap_or(0), placement)
        })
    }

    /// Returns the adapter that has not been used for longest, if it is idle and had its turn.
    pub(super) fn least_recently_used(
        &self,
        record: &ReplicaRecord,
        now_ms: u64,
    ) -> Option<AdapterPlacement> {
        let idle = self.evictable(record).filter_map(|(loaded_ms, placement)| {
            let used_ms = self.used_ms.get(&placement).copied().unwrap_or(0);
            let is_idle = used_ms + RECENT_USE_MS <= now_ms;
            let had_turn = loaded_ms == 0 || loaded_ms + MIN_TURN_MS <= now_ms;
            (is_idle && had_turn).then_some((used_ms, placement))
        });
        idle.min().map(|(_, placement)| placement)
    }

    /// Returns the adapter that has been loaded for longest, even if it is in use.
    pub(super) fn longest_loaded(
        &self,
        record: &ReplicaRecord,
        now_ms: u64,
    ) -> Option<AdapterPlacement> {
        let adapters = self.evictable(record);
        let had_turn = adapters.filter(|(loaded_ms, _)| loaded_ms + IN_USE_TURN_MS <= now_ms);
        had_turn.min().map(|(_, placement)| placement)
    }
}
