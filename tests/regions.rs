//! Regions: the replicas that a request may go to, and their distance from an entry.

mod support_replicas;

use std::collections::{BTreeMap, BTreeSet};

use dunlinspring::consensus::directory::ReplicaRecord;
use dunlinspring::forward::locality::{AllowedRegions, EntryLocation, HallDistance};
use dunlinspring::forward::need::ChoicePolicy;
use dunlinspring::forward::replica_table::{Choice, EngineBounds, Need, ReplicaTable};
use dunlinspring::ids::{HallName, RegionName, ReplicaId, ServiceName};
use support_replicas::ready_replica;

/// Halls `a1` and `a2` are in region `a`, `b1` in region `b`; `c1` is in no known region.
const HALLS: [(&str, &str); 3] = [("a1", "a"), ("a2", "a"), ("b1", "b")];

fn location() -> EntryLocation {
    let halls = HALLS.iter();
    let regions = halls.map(|(hall, region)| (HallName::from(*hall), RegionName::from(*region)));
    EntryLocation::new(HallName::from("a1"), regions.collect())
}

fn regions(names: &[&str]) -> BTreeSet<RegionName> {
    names.iter().map(|name| RegionName::from(*name)).collect()
}

fn record(hall: &str) -> (ReplicaId, ReplicaRecord) {
    let id = ReplicaId(format!("in-{hall}"));
    let record = ReplicaRecord {
        hall: HallName::from(hall),
        ..ready_replica(id.clone(), "plain")
    };
    (id, record)
}

fn need(allowed: AllowedRegions) -> Need {
    Need {
        service: Some(ServiceName::from("plain")),
        regions: allowed,
        ..Need::default()
    }
}

fn choose(halls: &[&str], allowed: AllowedRegions) -> Choice {
    let mut table = ReplicaTable::new(ChoicePolicy::default(), location());
    let records = halls.iter().map(|hall| record(hall));
    table.update_records(0, &records.collect());
    table.choose(0, &need(allowed), &BTreeSet::new(), EngineBounds::default())
}

fn sent_to(hall: &str) -> Choice {
    Choice::Send(ReplicaId(format!("in-{hall}")))
}

#[test]
fn the_regions_of_a_route_and_of_an_account_both_apply() {
    let of = |route: &[&str], account: &[&str]| {
        AllowedRegions::of(&regions(route), Some(&regions(account)))
    };
    let only = |names: &[&str]| AllowedRegions::Only(regions(names));
    assert_eq!(of(&[], &[]), AllowedRegions::All);
    assert_eq!(of(&["a"], &[]), only(&["a"]));
    assert_eq!(of(&[], &["b"]), only(&["b"]));
    assert_eq!(of(&["a", "b"], &["b", "c"]), only(&["b"]));
    assert!(of(&["a"], &["b"]).is_none() && !of(&[], &[]).is_none());
    let without_account = AllowedRegions::of(&regions(&["a"]), None);
    assert_eq!(without_account, only(&["a"]));
}

#[test]
fn a_request_goes_to_no_replica_outside_its_regions() {
    let only = |names: &[&str]| AllowedRegions::Only(regions(names));
    assert_eq!(choose(&["a1", "a2", "b1"], only(&["b"])), sent_to("b1"));
    assert_eq!(choose(&["a1", "a2"], only(&["b"])), Choice::Absent);
    assert_eq!(choose(&["a1", "b1"], only(&[])), Choice::Absent);
    // A hall without a known region is in none of the allowed ones.
    assert_eq!(choose(&["c1"], only(&["a", "b"])), Choice::Absent);
    assert_eq!(choose(&["c1"], AllowedRegions::All), sent_to("c1"));
}

#[test]
fn the_own_hall_is_preferred_to_the_own_region_and_that_to_others() {
    let all = || AllowedRegions::All;
    assert_eq!(choose(&["a1", "a2", "b1"], all()), sent_to("a1"));
    assert_eq!(choose(&["a2", "b1"], all()), sent_to("a2"));
    assert_eq!(
        choose(&["b1", "c1"], AllowedRegions::Only(regions(&["b"]))),
        sent_to("b1")
    );
    let location = location();
    let distance = |hall: &str| location.distance(&HallName::from(hall));
    assert_eq!(distance("a1"), HallDistance::SameHall);
    assert_eq!(distance("a2"), HallDistance::SameRegion);
    assert_eq!(distance("b1"), HallDistance::OtherRegion);
    assert_eq!(distance("c1"), HallDistance::OtherRegion);
    // Without regions all other halls count as near.
    let flat = EntryLocation::new(HallName::from("x"), BTreeMap::new());
    assert_eq!(
        flat.distance(&HallName::from("y")),
        HallDistance::SameRegion
    );
}
