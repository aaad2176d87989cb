//! Replicas that start again under the id that they had: a later birth is another life, which
//! holds and knows nothing of before and numbers its heartbeats anew.

mod support_replicas;

use std::collections::{BTreeMap, BTreeSet};

use dunlinspring::consensus::directory::{
    AdapterEffect, BeatNews, ReplicaDirectory, ReplicaPhase, ReplicaRecord,
};
use dunlinspring::ids::{ModelName, ReplicaId};
use support_replicas::ready_replica;

/// Heartbeat `beat` of replica `r` in the life that began at `born_ms`.
fn heartbeat(born_ms: u64, beat: u64, models: &[&str]) -> ReplicaRecord {
    let models = models
        .iter()
        .map(|name| (ModelName::from(*name), BTreeSet::new()));
    ReplicaRecord {
        address: ([127, 0, 0, 1], 7).into(),
        slots: 8,
        models: models.collect::<BTreeMap<_, _>>(),
        beat,
        born_ms,
        ..ready_replica("r", "llm")
    }
}

fn id() -> ReplicaId {
    ReplicaId::from("r")
}

fn model(name: &str) -> ModelName {
    ModelName::from(name)
}

/// A directory that knows one heartbeat.
fn knowing(record: &ReplicaRecord) -> ReplicaDirectory {
    let mut directory = ReplicaDirectory::default();
    assert!(directory.put(record, 0).is_some());
    directory
}

fn known(directory: &ReplicaDirectory) -> &ReplicaRecord {
    &directory.records()[&id()]
}

#[test]
fn a_new_life_is_heard_though_its_numbers_begin_anew() {
    let mut directory = knowing(&heartbeat(1_000, 500, &["m", "n"]));
    let first = heartbeat(2_000, 1, &[]);
    assert_eq!(directory.news(&first, 0), BeatNews::New);
    directory.put(&first, 0);
    assert_eq!(known(&directory), &first);
}

#[test]
fn a_late_heartbeat_of_the_life_before_changes_nothing() {
    let mut directory = knowing(&heartbeat(2_000, 1, &[]));
    for late in [heartbeat(1_000, 500, &["m"]), heartbeat(0, 501, &["m"])] {
        assert_eq!(directory.news(&late, 0), BeatNews::Known);
        assert!(directory.put(&late, 0).is_none());
    }
    assert_eq!(known(&directory), &heartbeat(2_000, 1, &[]));
}

#[test]
fn a_replica_that_drained_takes_requests_in_its_next_life() {
    let mut directory = knowing(&heartbeat(1_000, 5, &["m"]));
    directory.drain(&id());
    assert_eq!(
        directory.news(&heartbeat(1_000, 6, &["m"]), 0),
        BeatNews::Known
    );
    directory.put(&heartbeat(2_000, 1, &["m"]), 0);
    assert_eq!(known(&directory).phase, ReplicaPhase::Ready);
}

#[test]
fn a_life_that_ended_stays_so_and_the_next_one_comes() {
    let mut directory = knowing(&heartbeat(1_000, 5, &["m"]));
    directory.end(&id());
    assert_eq!(
        directory.news(&heartbeat(1_000, 6, &["m"]), 0),
        BeatNews::Ended
    );
    assert_eq!(
        directory.news(&heartbeat(999, 900, &["m"]), 0),
        BeatNews::Ended
    );
    assert_eq!(directory.news(&heartbeat(2_000, 1, &[]), 0), BeatNews::New);
    assert!(directory.put(&heartbeat(2_000, 1, &[]), 0).is_some());
    directory.end(&id());
    assert_eq!(
        directory.news(&heartbeat(2_000, 2, &[]), 0),
        BeatNews::Ended
    );
}

#[test]
fn what_was_ordered_out_of_the_life_before_takes_no_room_in_the_next() {
    let mut directory = knowing(&heartbeat(1_000, 5, &["m", "n"]));
    directory.unload(&id(), &model("m"));
    directory.set_adapter(&id(), &model("n"), "a1", AdapterEffect::There, 0);
    directory.set_adapter(&id(), &model("n"), "a1", AdapterEffect::Goes, 0);
    directory.put(&heartbeat(2_000, 1, &[]), 0);
    assert_eq!(directory.leaving(&id()).count(), 0);
    assert_eq!(directory.adapters_ordered(&id()).count(), 0);
    // It is heard of all that it comes to hold by itself.
    directory.put(&heartbeat(2_000, 2, &["m", "n"]), 0);
    assert_eq!(known(&directory).models.len(), 2);
}

#[test]
fn what_was_ordered_into_the_life_before_takes_room_until_it_is_settled() {
    // The order may still be on its way, and the next life would carry it out: it has the
    // id that the order names, and may have taken as many.
    let mut directory = knowing(&heartbeat(1_000, 5, &["n"]));
    directory.load(&id(), &model("m"));
    directory.order_adapter(&id(), &model("n"), "a1");
    directory.put(&heartbeat(2_000, 1, &[]), 0);
    assert_eq!(directory.loading(&id()).collect::<Vec<_>>(), [&model("m")]);
    assert_eq!(directory.adapters_coming(&id()).count(), 1);
    directory.put(&heartbeat(2_000, 2, &["m"]), 0);
    assert_eq!(directory.loading(&id()).count(), 0);
}

#[test]
fn an_adapter_that_an_order_brought_before_is_not_there_after() {
    let mut directory = knowing(&heartbeat(1_000, 5, &["m"]));
    directory.set_adapter(&id(), &model("m"), "a1", AdapterEffect::There, 0);
    // Within the time in which an order's effect outweighs heartbeats.
    directory.put(&heartbeat(2_000, 1, &["m"]), 100);
    assert!(!known(&directory).holds_adapter(&model("m"), "a1"));
}
