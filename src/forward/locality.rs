//! Location of an entry, and its distance to data halls.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{HallName, RegionName};

/// Distance from an entry to a data hall.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HallDistance {
    /// The entry's own hall.
    SameHall,
    /// Another hall in the entry's region.
    SameRegion,
    /// A hall in another region: links between regions have high latency, low bandwidth and high
    /// cost.
    OtherRegion,
}

/// An entry's data hall, and the regions of all halls.
#[derive(Clone, Debug, Default)]
pub struct EntryLocation {
    hall: Option<HallName>,
    regions: BTreeMap<HallName, RegionName>,
}

impl EntryLocation {
    /// Creates the location of an entry in `hall`.
    pub fn new(hall: HallName, regions: BTreeMap<HallName, RegionName>) -> Self {
        Self {
            hall: Some(hall),
            regions,
        }
    }

    /// Returns the distance to a data hall. Halls without a region count as one region.
    pub fn distance(&self, hall: &HallName) -> HallDistance {
        let own = self.hall.as_ref();
        let region = |hall: &HallName| self.regions.get(hall);
        match own.is_some_and(|own| region(own) == region(hall)) {
            _ if own == Some(hall) => HallDistance::SameHall,
            true => HallDistance::SameRegion,
            false => HallDistance::OtherRegion,
        }
    }

    /// Whether a request limited to these regions may be served in a data hall.
    pub fn may_serve(&self, hall: &HallName, regions: &AllowedRegions) -> bool {
        match regions {
            AllowedRegions::All => true,
            AllowedRegions::Only(regions) => self
                .regions
                .get(hall)
                .is_some_and(|region| regions.contains(region)),
        }
    }
}

/// Regions in which a request may be served.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum AllowedRegions {
    /// All regions.
    #[default]
    All,
    /// Only these regions.
    Only(BTreeSet<RegionName>),
}

impl AllowedRegions {
    /// Combines the regions of a route and of an account. Both apply; an empty set is no
    /// restriction.
    pub fn of(route: &BTreeSet<RegionName>, account: Option<&BTreeSet<RegionName>>) -> Self {
        let account = account.filter(|regions| !regions.is_empty());
        match (route.is_empty(), account) {
            (true, None) => Self::All,
            (true, Some(account)) => Self::Only(account.clone()),
            (false, None) => Self::Only(route.clone()),
            (false, Some(account)) => Self::Only(route & account),
        }
    }

    /// Whether no region is allowed.
    pub fn is_none(&self) -> bool {
        matches!(self, Self::Only(regions) if regions.is_empty())
    }
}
