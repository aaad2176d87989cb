//! Choice of a home for a stream that begins while a service runs several software versions.

mod support_place;
mod support_replicas;

use std::collections::{BTreeMap, BTreeSet};

use dunlinspring::admission::quote::QuoteReply;
use dunlinspring::consensus::directory::ReplicaRecord;
use dunlinspring::consensus::software_versions::{self, NamedVersions};
use dunlinspring::forward::replica_table::{
    Choice, ChoicePolicy, EngineBounds, LoadReport, Need, Quotes, ReplicaTable,
};
use dunlinspring::ids::{HallName, ModelName, ReplicaId, ServiceName, VersionName};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use support_place::flat_location;
use support_replicas::ready_replica;

const SLOTS: u32 = 64;
const HALLS: [&str; 2] = ["here", "there"];

fn need(id_hash: u64, begins_stream: bool) -> Need {
    Need {
        service: Some(ServiceName::from("llm")),
        model: Some(ModelName::from("m")),
        prompt_tokens: 100,
        tokens: 200,
        limit_ms: 1_000,
        id_hash,
        begins_stream,
        ..Need::default()
    }
}

fn home(number: usize, hall: &str) -> ReplicaRecord {
    ReplicaRecord {
        hall: HallName::from(hall),
        slots: SLOTS,
        models: BTreeMap::from([(ModelName::from("m"), BTreeSet::new())]),
        ..ready_replica(format!("r{number}").as_str(), "llm")
    }
}

/// Returns a table of homes whose replicas name these versions, all in one hall.
fn table(versions: &[&str]) -> ReplicaTable {
    let homes = (0..versions.len()).map(|number| home(number, HALLS[0]));
    table_of(homes.collect(), versions)
}

fn table_of(homes: Vec<ReplicaRecord>, versions: &[&str]) -> ReplicaTable {
    let names = homes.iter().zip(versions);
    let named: NamedVersions = names
        .map(|(home, version)| (home.incarnation(), VersionName::from(*version)))
        .collect();
    let homes = homes.into_iter().map(|home| (home.id.clone(), home));
    let mut table = ReplicaTable::new(ChoicePolicy::default(), flat_location(HALLS[0]));
    table.update_records(0, &homes.collect());
    table.update_versions(&named);
    table
}

fn choose(table: &ReplicaTable, need: &Need) -> Choice {
    table.choose(0, need, &BTreeSet::new(), EngineBounds::default())
}

/// Sends streams that all keep running. Returns the number at each home.
fn run_streams(table: &mut ReplicaTable, count: u64) -> BTreeMap<String, u32> {
    let mut sent = BTreeMap::new();
    for id_hash in 0..count {
        let need = need(id_hash, true);
        let Choice::Send(id) = choose(table, &need) else {
            panic!("no home for stream {id_hash}");
        };
        table.record_sent(0, &id, &need);
        table.record_response_start(&id, &need, 0, 10.0);
        *sent.entry(id.to_string()).or_default() += 1;
    }
    sent
}

#[test]
fn streams_prefer_a_version_at_which_another_home_can_continue_them() {
    let table = table(&["v1", "v1", "v2"]);
    let chosen = (0..100).map(|id_hash| choose(&table, &need(id_hash, true)));
    let at_sole_home = chosen.filter(|choice| *choice == Choice::Send(ReplicaId::from("r2")));
    assert_eq!(at_sole_home.count(), 0);
}

#[test]
fn quoted_streams_prefer_a_version_at_which_another_home_can_continue_them() {
    // The first home in the order that all entries share is the only one of its version.
    let ids = ["r0", "r1", "r2"];
    let table = table(&["v1"; 3]);
    let sole = table.homes_in_order(&need(1, true))[0].clone();
    let versions = ids.map(|id| if sole.as_str() == id { "v2" } else { "v1" });
    let table = self::table(&versions);
    let quote = QuoteReply {
        first_event_ms: Some(100),
        free_tokens: 50_000,
        ..QuoteReply::default()
    };
    let quotes = ids.map(|id| (ReplicaId::from(id), quote));
    let chosen = |quotes: &Quotes, begins_stream| {
        let (need, none) = (need(1, begins_stream), BTreeSet::new());
        table.choose_quoted(0, &need, &none, EngineBounds::default(), quotes)
    };
    let mut quotes = Quotes::from(quotes);
    let sole_home = Choice::Send(sole.clone());
    assert_eq!(chosen(&quotes, false), sole_home);
    assert_ne!(chosen(&quotes, true), sole_home);
    quotes.get_mut(&sole).unwrap().first_event_ms = Some(90);
    assert_eq!(chosen(&quotes, true), sole_home);
}

#[test]
fn no_version_is_starved_of_streams() {
    for versions in [&["v1", "v2"][..], &["v1", "v1", "v2", "v2"]] {
        let sent = run_streams(&mut table(versions), 120);
        let least = sent.values().min().copied().unwrap_or(0);
        assert_eq!(sent.len(), versions.len());
        assert!(least as usize * versions.len() >= 108, "{sent:?}");
    }
    let sent = run_streams(&mut table(&["v1", "v1", "v1", "v2"]), 100);
    assert!(sent["r3"] >= 20, "{sent:?}");
}

/// Draws homes and their loads, and returns what is chosen for drawn requests.
fn drawn_choices(seed: u64, versions: &[&str], begins_stream: bool) -> Vec<Choice> {
    let mut random = SmallRng::seed_from_u64(seed);
    let count = random.random_range(1..9);
    let homes = (0..count).map(|number| home(number, HALLS[random.random_range(0..2)]));
    let homes: Vec<ReplicaRecord> = homes.collect();
    let named = &versions[..versions.len().min(count)];
    let mut table = table_of(homes, named);
    for number in 0..count {
        let report = LoadReport {
            running: random.random_range(0..SLOTS),
            waiting: random.random_range(0..4),
            slots: SLOTS,
            work_percent: None,
        };
        if random.random_bool(0.7) {
            let id = ReplicaId::from(format!("r{number}").as_str());
            table.record_load(0, &id, report);
        }
    }
    let hashes = (0..20).map(|_| random.random());
    let hashes: Vec<u64> = hashes.collect();
    let chosen = hashes
        .into_iter()
        .map(|id_hash| choose(&table, &need(id_hash, begins_stream)));
    chosen.collect()
}

#[test]
fn choices_are_the_same_on_one_version_and_for_plain_requests() {
    let mixed = ["v1", "v1", "v2", "v3", "v2", "v1", "v4", "v2"];
    let mut affected = 0;
    for seed in 0..500 {
        let unnamed = drawn_choices(seed, &[], false);
        let one_version = drawn_choices(seed, &["v1"; 8], true);
        assert_eq!(one_version, unnamed, "one version, seed {seed}");
        let none_named = drawn_choices(seed, &[], true);
        assert_eq!(none_named, unnamed, "no version named, seed {seed}");
        let plain = drawn_choices(seed, &mixed, false);
        assert_eq!(plain, unnamed, "plain requests, seed {seed}");
        affected += usize::from(drawn_choices(seed, &mixed, true) != unnamed);
    }
    assert!(affected > 0, "several versions change some choices");
}

#[test]
fn each_replica_has_the_version_that_the_log_names_for_its_incarnation() {
    const VIEWS: u64 = 2_000;
    let mut rng = SmallRng::seed_from_u64(1);
    let mut table = table_of(Vec::new(), &[]);
    let (mut homes, mut named) = (BTreeMap::new(), NamedVersions::new());
    for view in 0..VIEWS {
        let id = rng.random_range(0..12);
        let started_ms = rng.random_range(0..4);
        let record = ReplicaRecord {
            started_ms,
            ..home(id, HALLS[0])
        };
        match rng.random_range(0..6) {
            0 => drop(homes.remove(&record.id)),
            1 => drop(named.remove(&record.incarnation())),
            2 => named.clear(),
            3 => drop(homes.insert(record.id.clone(), record)),
            _ => {
                let name = format!("v{}", rng.random_range(0..3));
                named.insert(record.incarnation(), VersionName(name));
            }
        }
        let versions = |table: &ReplicaTable| {
            let all = table
                .ids()
                .map(|id| (id.clone(), table.version(id).cloned()));
            all.collect::<BTreeMap<_, _>>()
        };
        let before = versions(&table);
        let has_other_runs = table.update_records(view, &homes);
        let has_other_versions = table.update_versions(&named);
        let after = versions(&table);
        let expected = homes.iter().map(|(id, home)| {
            let version = software_versions::version_of(&named, home);
            (id.clone(), Some(version))
        });
        assert_eq!(after, expected.collect(), "view {view}");
        let changed = has_other_runs || has_other_versions;
        assert!(changed || before == after, "view {view}");
        // The same view changes nothing.
        assert!(!table.update_records(view, &homes) && !table.update_versions(&named));
    }
}
