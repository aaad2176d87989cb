//! Locations of entries in tests.

use std::collections::BTreeMap;

use dunlinspring::forward::locality::EntryLocation;
use dunlinspring::ids::HallName;

/// Returns the location of an entry in `hall`, on a site without regions.
pub fn flat_location(hall: &str) -> EntryLocation {
    EntryLocation::new(HallName::from(hall), BTreeMap::new())
}
