//! The order of a model's homes, which all entries compute alike.

mod support_place;
mod support_replicas;

use std::collections::{BTreeMap, BTreeSet};

use dunlinspring::consensus::directory::{ReplicaPhase, ReplicaRecord};
use dunlinspring::forward::home_order;
use dunlinspring::forward::locality::{AllowedRegions, EntryLocation};
use dunlinspring::forward::prompt_parts;
use dunlinspring::forward::replica_table::{ChoicePolicy, Need, ReplicaTable};
use dunlinspring::ids::{HallName, ModelName, RegionName, ReplicaId, ServiceName};
use support_place::flat_location;
use support_replicas::ready_replica;

const HOMES: usize = 13;

fn ids() -> Vec<ReplicaId> {
    let ids = (0..HOMES).map(|number| ReplicaId(format!("replica-{number}")));
    ids.collect()
}

fn need(part: u32) -> Need {
    let header = format!("{part:x}:2520,{:x}:3780,0:2890", part + 1_000);
    Need {
        service: Some(ServiceName::from("llm")),
        model: Some(ModelName::from("m")),
        parts: prompt_parts::parse("m", None, &header),
        ..Need::default()
    }
}

fn records() -> BTreeMap<ReplicaId, ReplicaRecord> {
    let records = ids().into_iter().enumerate().map(|(number, id)| {
        let record = ReplicaRecord {
            hall: HallName(format!("hall-{}", number % 3)),
            models: BTreeMap::from([(ModelName::from("m"), BTreeSet::new())]),
            ..ready_replica(id.clone(), "llm")
        };
        (id, record)
    });
    records.collect()
}

fn table(location: EntryLocation, records: &BTreeMap<ReplicaId, ReplicaRecord>) -> ReplicaTable {
    let mut table = ReplicaTable::new(ChoicePolicy::default(), location);
    table.update_records(0, records);
    table
}

fn order(table: &ReplicaTable, need: &Need) -> Vec<ReplicaId> {
    table.homes_in_order(need).into_iter().cloned().collect()
}

/// Entries in different halls with different loads would send the same part to different homes.
#[test]
fn all_entries_compute_the_same_order() {
    let records = records();
    let one = table(flat_location("hall-0"), &records);
    let mut other = table(flat_location("hall-2"), &records);
    for part in 0..200 {
        let need = need(part);
        other.record_sent(0, &ids()[part as usize % HOMES], &need);
        let homes = order(&one, &need);
        assert_eq!(homes.len(), HOMES);
        assert_eq!(homes, order(&other, &need));
        let mut reversed = ids();
        reversed.reverse();
        let key = home_order::home_key(&need);
        let direct = home_order::in_order(key, reversed.iter());
        assert_eq!(homes, direct.into_iter().cloned().collect::<Vec<_>>());
    }
}

/// A home that leaves would make the others lose their cached parts.
#[test]
fn a_home_that_leaves_moves_no_other() {
    let mut left = records();
    left.remove(&ids()[4]);
    let (before, after) = (
        table(flat_location("hall-0"), &records()),
        table(flat_location("hall-0"), &left),
    );
    for part in 0..200 {
        let mut homes = order(&before, &need(part));
        homes.retain(|id| *id != ids()[4]);
        assert_eq!(homes, order(&after, &need(part)));
    }
}

/// One home would be the first for most parts.
#[test]
fn parts_spread_over_the_homes() {
    let table = table(flat_location("hall-0"), &records());
    let mut firsts: BTreeMap<ReplicaId, u32> = BTreeMap::new();
    let parts = 1_300;
    for part in 0..parts {
        *firsts
            .entry(order(&table, &need(part))[0].clone())
            .or_default() += 1;
    }
    assert_eq!(firsts.len(), HOMES);
    let mean = parts / HOMES as u32;
    for (id, count) in firsts {
        assert!((mean / 2..mean * 3 / 2).contains(&count), "{id}: {count}");
    }
}

/// Parts would be assumed at homes to which nothing is sent.
#[test]
fn only_homes_that_may_serve_the_request_are_in_the_order() {
    let mut records = records();
    let mut phases = records.values_mut();
    phases.next().unwrap().phase = ReplicaPhase::Draining;
    phases.next().unwrap().phase = ReplicaPhase::Silent;
    phases.next().unwrap().models.clear();
    let excluded: Vec<ReplicaId> = records.keys().take(3).cloned().collect();
    let regions = ["north", "north", "south"];
    let halls = (0..3).map(|hall| HallName(format!("hall-{hall}")));
    let regions = halls.zip(regions.map(RegionName::from)).collect();
    let location = EntryLocation::new(HallName::from("hall-0"), regions);
    let mut table = table(location, &records);
    let homes = order(&table, &need(1));
    assert_eq!(homes.len(), HOMES - 3);
    assert!(homes.iter().all(|id| !excluded.contains(id)));
    let mut north = need(1);
    north.regions = AllowedRegions::Only(BTreeSet::from([RegionName::from("north")]));
    let hall = |id: &ReplicaId| &records[id].hall;
    let expected: Vec<ReplicaId> = homes
        .iter()
        .filter(|id| *hall(id) != HallName::from("hall-2"))
        .cloned()
        .collect();
    assert_eq!(order(&table, &north), expected);
    table.update_evacuated(&BTreeSet::from([HallName::from("hall-2")]));
    assert_eq!(order(&table, &need(1)), expected);
}

/// Requests without shared parts would be asked of homes in an arbitrary order.
#[test]
fn without_shared_parts_the_model_gives_the_order() {
    let table = table(flat_location("hall-0"), &records());
    let bare = Need {
        parts: Vec::new(),
        ..need(1)
    };
    let (key, ids) = (home_order::name_key("m"), ids());
    let expected = home_order::in_order(key, ids.iter());
    assert_eq!(table.homes_in_order(&bare), expected);
    assert_ne!(table.homes_in_order(&need(1)), expected);
}
