//! Replicas that restart under the same id: a later start time is another incarnation, which
//! holds nothing of the previous one and numbers its heartbeats anew.

mod support_replicas;

use std::collections::{BTreeMap, BTreeSet};

use dunlinspring::consensus::directory::{
    AdapterEffect, HeartbeatStatus, ReplicaDirectory, ReplicaPhase, ReplicaRecord,
};
use dunlinspring::ids::{ModelName, ReplicaId};
use support_replicas::ready_replica;

/// Returns heartbeat `seq` of replica `r` in the incarnation started at `started_ms`.
fn heartbeat(started_ms: u64, seq: u64, models: &[&str]) -> ReplicaRecord {
    let models = models
        .iter()
        .map(|name| (ModelName::from(*name), BTreeSet::new()));
    ReplicaRecord {
        address: ([127, 0, 0, 1], 7).into(),
        slots: 8,
        models: models.collect::<BTreeMap<_, _>>(),
        seq,
        started_ms,
        ..ready_replica("r", "llm")
    }
}

fn id() -> ReplicaId {
    ReplicaId::from("r")
}

fn model(name: &str) -> ModelName {
    ModelName::from(name)
}

/// Returns a directory with one heartbeat.
fn directory_with(record: &ReplicaRecord) -> ReplicaDirectory {
    let mut directory = ReplicaDirectory::default();
    assert!(directory.put(record, 0).is_some());
    directory
}

fn known(directory: &ReplicaDirectory) -> &ReplicaRecord {
    &directory.records()[&id()]
}

#[test]
fn a_new_incarnation_is_accepted_though_its_numbers_restart() {
    let mut directory = directory_with(&heartbeat(1_000, 500, &["m", "n"]));
    let first = heartbeat(2_000, 1, &[]);
    assert_eq!(directory.compare_heartbeat(&first, 0), HeartbeatStatus::New);
    directory.put(&first, 0);
    assert_eq!(known(&directory), &first);
}

#[test]
fn a_late_heartbeat_of_the_previous_incarnation_changes_nothing() {
    let mut directory = directory_with(&heartbeat(2_000, 1, &[]));
    for late in [heartbeat(1_000, 500, &["m"]), heartbeat(0, 501, &["m"])] {
        assert_eq!(
            directory.compare_heartbeat(&late, 0),
            HeartbeatStatus::Known
        );
        assert!(directory.put(&late, 0).is_none());
    }
    assert_eq!(known(&directory), &heartbeat(2_000, 1, &[]));
}

#[test]
fn a_drained_replica_takes_requests_in_its_next_incarnation() {
    let mut directory = directory_with(&heartbeat(1_000, 5, &["m"]));
    directory.mark_draining(&id());
    assert_eq!(
        directory.compare_heartbeat(&heartbeat(1_000, 6, &["m"]), 0),
        HeartbeatStatus::Known
    );
    directory.put(&heartbeat(2_000, 1, &["m"]), 0);
    assert_eq!(known(&directory).phase, ReplicaPhase::Ready);
}

#[test]
fn an_ended_incarnation_stays_ended_and_the_next_is_accepted() {
    let mut directory = directory_with(&heartbeat(1_000, 5, &["m"]));
    directory.end(&id());
    assert_eq!(
        directory.compare_heartbeat(&heartbeat(1_000, 6, &["m"]), 0),
        HeartbeatStatus::Ended
    );
    assert_eq!(
        directory.compare_heartbeat(&heartbeat(999, 900, &["m"]), 0),
        HeartbeatStatus::Ended
    );
    assert_eq!(
        directory.compare_heartbeat(&heartbeat(2_000, 1, &[]), 0),
        HeartbeatStatus::New
    );
    assert!(directory.put(&heartbeat(2_000, 1, &[]), 0).is_some());
    directory.end(&id());
    assert_eq!(
        directory.compare_heartbeat(&heartbeat(2_000, 2, &[]), 0),
        HeartbeatStatus::Ended
    );
}

#[test]
fn unloads_of_the_previous_incarnation_do_not_apply_to_the_next() {
    let mut directory = directory_with(&heartbeat(1_000, 5, &["m", "n"]));
    directory.record_unload(&id(), &model("m"));
    directory.set_adapter(&id(), &model("n"), "a1", AdapterEffect::Present, 0);
    directory.set_adapter(&id(), &model("n"), "a1", AdapterEffect::Unloading, 0);
    directory.put(&heartbeat(2_000, 1, &[]), 0);
    assert_eq!(directory.unloading(&id()).count(), 0);
    assert_eq!(directory.adapters_ordered(&id()).count(), 0);
    // Heartbeats report everything that the new incarnation holds.
    directory.put(&heartbeat(2_000, 2, &["m", "n"]), 0);
    assert_eq!(known(&directory).models.len(), 2);
}

#[test]
fn loads_of_the_previous_incarnation_reserve_memory_until_settled() {
    // The order may still be in transit. The next incarnation would carry it out, as it has
    // the id in the order and may have taken the same number of orders.
    let mut directory = directory_with(&heartbeat(1_000, 5, &["n"]));
    directory.record_load(&id(), &model("m"));
    directory.record_adapter_order(&id(), &model("n"), "a1");
    directory.put(&heartbeat(2_000, 1, &[]), 0);
    assert_eq!(directory.loading(&id()).collect::<Vec<_>>(), [&model("m")]);
    assert_eq!(directory.adapters_loading(&id()).count(), 1);
    directory.put(&heartbeat(2_000, 2, &["m"]), 0);
    assert_eq!(directory.loading(&id()).count(), 0);
}

#[test]
fn an_adapter_loaded_before_a_restart_is_absent_after_it() {
    let mut directory = directory_with(&heartbeat(1_000, 5, &["m"]));
    directory.set_adapter(&id(), &model("m"), "a1", AdapterEffect::Present, 0);
    // Within the time in which the effect of an order takes precedence over heartbeats.
    directory.put(&heartbeat(2_000, 1, &["m"]), 100);
    assert!(!known(&directory).holds_adapter(&model("m"), "a1"));
}
