//! Where entries of tests stand.

use std::collections::BTreeMap;

use dunlinspring::forward::locality::EntryLocation;
use dunlinspring::ids::HallName;

/// An entry in a hall of a site without regions.
pub fn flat_location(hall: &str) -> EntryLocation {
    EntryLocation::new(HallName::from(hall), BTreeMap::new())
}
