//! Where an entry stands, and how far replicas are from it.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{HallName, RegionName};

/// How far a data hall is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HallDistance {
    /// The entry's own.
    SameHall,
    /// Another one in its region.
    SameRegion,
    /// In another region: links between regions are long, narrow and dear.
    OtherRegion,
}

/// An entry's data hall, and the regions of all halls.
#[derive(Clone, Debug, Default)]
pub struct EntryLocation {
    hall: Option<HallName>,
    regions: BTreeMap<HallName, RegionName>,
}

impl EntryLocation {
    /// The place of an entry in `hall`.
    pub fn new(hall: HallName, regions: BTreeMap<HallName, RegionName>) -> Self {
        Self {
            hall: Some(hall),
            regions,
        }
    }

    /// How far a data hall is. Halls without a region count as one region.
    pub fn distance(&self, hall: &HallName) -> HallDistance {
        let own = self.hall.as_ref();
        let region = |hall: &HallName| self.regions.get(hall);
        match own.is_some_and(|own| region(own) == region(hall)) {
            _ if own == Some(hall) => HallDistance::SameHall,
            true => HallDistance::SameRegion,
            false => HallDistance::OtherRegion,
        }
    }

    /// Whether what may be served in these regions only may be served in a data hall.
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
    /// All of them.
    #[default]
    All,
    /// These.
    Only(BTreeSet<RegionName>),
}

impl AllowedRegions {
    /// By the words of a route and of an account, which both bind; an empty one binds nothing.
    pub fn of(route: &BTreeSet<RegionName>, account: Option<&BTreeSet<RegionName>>) -> Self {
        let account = account.filter(|regions| !regions.is_empty());
        match (route.is_empty(), account) {
            (true, None) => Self::All,
            (true, Some(account)) => Self::Only(account.clone()),
            (false, None) => Self::Only(route.clone()),
            (false, Some(account)) => Self::Only(route & account),
        }
    }

    /// Whether there is no such region.
    pub fn is_none(&self) -> bool {
        matches!(self, Self::Only(regions) if regions.is_empty())
    }
}
