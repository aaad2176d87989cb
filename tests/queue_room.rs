//! Room in the queues of plain services: which replicas without a free slot get a request.

mod support_place;
mod support_replicas;

use std::collections::{BTreeMap, BTreeSet};

use dunlinspring::forward::need::ChoicePolicy;
use dunlinspring::forward::replica_table::queue_room::QueueView;
use dunlinspring::forward::replica_table::{
    AttemptResult, Choice, EngineBounds, LoadReport, Need, ReplicaTable,
};
use dunlinspring::ids::{ReplicaId, ServiceName};
use dunlinspring::table::configuration::{RouteKind, RouteSpec};
use support_place::flat_location;
use support_replicas::ready_replica;

const SLOTS: u32 = 6;
/// Longest queue of the replicas that the users run.
const QUEUE: u32 = 24;
const REQUEST_MS: f64 = 30.0;
const ENTRIES: u32 = 26;
const NOW_MS: u64 = 10_000;

const QUEUE_ROOM: ChoicePolicy = policy(true);

const fn policy(queue_room: bool) -> ChoicePolicy {
    ChoicePolicy {
        running_cost: 0.1,
        hall_cost: 0.2,
        region_cost: 1.0,
        prefix_gain: 0.4,
        failure_cost: 8.0,
        fade_ms: 2_000,
        work_cost: 0.0,
        work_fade_ms: 200,
        eject_ms: 1_000,
        eject_max_ms: 8_000,
        apart_cost: 1.0,
        by_slack: false,
        room_part: 0.25,
        ordered_wait: Some(true),
        queue_room: Some(queue_room),
        ask_homes: 4,
    }
}

fn id() -> ReplicaId {
    ReplicaId::from("r")
}

fn need(limit_ms: u64) -> Need {
    Need {
        service: Some(ServiceName::from("plain")),
        limit_ms,
        ..Need::default()
    }
}

fn load(running: u32, waiting: u32) -> LoadReport {
    LoadReport {
        running,
        waiting,
        slots: SLOTS,
        work_percent: None,
    }
}

fn unmeasured(policy: ChoicePolicy) -> ReplicaTable {
    let mut table = ReplicaTable::new(policy, flat_location("here"));
    table.update_records(0, &BTreeMap::from([(id(), ready_replica(id(), "plain"))]));
    table
}

/// Serves one request in `took_ms` under the given load.
fn serve(table: &mut ReplicaTable, report: LoadReport, took_ms: f64) {
    let need = need(1_000);
    let tokens_ahead = table.record_sent(NOW_MS, &id(), &need);
    table.record_load(NOW_MS, &id(), report);
    table.record_response_start(&id(), &need, tokens_ahead, took_ms);
    table.record_end(NOW_MS, &id(), &need, true, AttemptResult::Good);
}

fn measured(policy: ChoicePolicy) -> ReplicaTable {
    let mut table = unmeasured(policy);
    table.set_entries(1);
    serve(&mut table, load(SLOTS, 0), REQUEST_MS);
    table
}

fn choose_at(table: &ReplicaTable, now_ms: u64, limit_ms: u64) -> Choice {
    let need = need(limit_ms);
    table.choose(now_ms, &need, &BTreeSet::new(), EngineBounds::default())
}

fn choose(table: &ReplicaTable, limit_ms: u64) -> Choice {
    choose_at(table, NOW_MS, limit_ms)
}

/// Guards against refusing requests that a replica would serve in time after a short queue, and
/// against sending requests that would be late.
#[test]
fn a_replica_without_a_free_slot_gets_what_it_serves_in_time() {
    let mut table = measured(QUEUE_ROOM);
    // Five wait: another request starts after one more of them, that is after 6 * 30 / 6 ms.
    table.record_load(NOW_MS, &id(), load(SLOTS, 5));
    assert_eq!(choose(&table, 120), Choice::Send(id()));
    assert_eq!(choose(&table, 60), Choice::Send(id()));
    assert_eq!(choose(&table, 59), Choice::Full);
    // It starts after 24 * 30 / 6 ms.
    table.record_load(NOW_MS, &id(), load(SLOTS, QUEUE - 1));
    assert_eq!(choose(&table, 120), Choice::Full);
    assert_eq!(choose(&table, 300), Choice::Send(id()));
}

/// Guards against an effect on deployments that did not ask for it, and against predictions from
/// nothing: without a measured time, a number of entries or a recent report, slots alone count.
#[test]
fn without_a_measurement_or_the_setting_a_replica_is_full_with_its_slots() {
    let busy = load(SLOTS, 1);
    let mut off = measured(policy(false));
    off.record_load(NOW_MS, &id(), busy);
    assert_eq!(choose(&off, 1_000), Choice::Full);
    // Without the setting, the entry needs a prefill-bound service.
    let mut by_default = measured(ChoicePolicy::default());
    by_default.record_load(NOW_MS, &id(), busy);
    assert_eq!(choose(&by_default, 1_000), Choice::Full);

    let mut unmeasured = unmeasured(QUEUE_ROOM);
    unmeasured.set_entries(1);
    unmeasured.record_load(NOW_MS, &id(), busy);
    assert_eq!(choose(&unmeasured, 1_000), Choice::Full);

    let mut alone = self::unmeasured(QUEUE_ROOM);
    serve(&mut alone, busy, REQUEST_MS);
    assert_eq!(choose(&alone, 1_000), Choice::Full);
    alone.set_entries(1);
    assert_eq!(choose(&alone, 1_000), Choice::Send(id()));

    // A report that has faded out says nothing about the queue; own requests alone fill the slots.
    let mut old = measured(QUEUE_ROOM);
    for _ in 0..SLOTS {
        old.record_sent(NOW_MS, &id(), &need(1_000));
    }
    let fade_ms = QUEUE_ROOM.fade_ms;
    assert_eq!(
        choose_at(&old, NOW_MS + fade_ms - 1, 1_000),
        Choice::Send(id())
    );
    assert_eq!(choose_at(&old, NOW_MS + fade_ms, 1_000), Choice::Full);
}

/// Guards against a measured time that grows with the queue, which would predict the queue twice.
#[test]
fn the_time_of_one_request_excludes_its_wait_at_the_replica() {
    let mut table = unmeasured(QUEUE_ROOM);
    table.set_entries(1);
    // With six waiting at six slots, half of the time was the wait.
    serve(&mut table, load(SLOTS, SLOTS), 2.0 * REQUEST_MS);
    assert_eq!(choose(&table, 60 + 5), Choice::Send(id()));
    assert_eq!(choose(&table, 60 + 4), Choice::Full);
}

/// Guards against sending to a replica whose queue is known to be full, and against taking its
/// queue as full for good.
#[test]
fn a_replica_that_refused_is_full_for_its_backoff_and_while_its_queue_is_as_long() {
    let mut table = measured(QUEUE_ROOM);
    let need = need(60_000);
    table.record_sent(NOW_MS, &id(), &need);
    table.record_load(NOW_MS, &id(), load(SLOTS, QUEUE));
    table.record_end(NOW_MS, &id(), &need, false, AttemptResult::Full);
    assert_eq!(choose(&table, 60_000), Choice::Full);
    let later_ms = NOW_MS + 200;
    assert_eq!(choose_at(&table, later_ms, 60_000), Choice::Full);
    table.record_load(later_ms, &id(), load(SLOTS, QUEUE - 2));
    assert_eq!(choose_at(&table, later_ms, 60_000), Choice::Send(id()));
}

fn route(latency_goal_ms: u64) -> RouteSpec {
    RouteSpec {
        name: latency_goal_ms.to_string(),
        host: "h.example".to_owned(),
        prefix: format!("/{latency_goal_ms}/"),
        kind: RouteKind::Safe,
        timeout_ms: 20_000,
        latency_goal_ms,
        max_event_gap_ms: 0,
        priority: 1,
        attempts: 2,
        resumable: false,
        public: false,
        regions: BTreeSet::new(),
        split: vec![(ServiceName::from("plain"), 1)],
    }
}

/// Guards against requests with a long target, or of a less urgent rank, that fill the queue of a
/// replica before urgent requests with a short target arrive: it serves them in order of arrival.
#[test]
fn urgent_requests_with_a_short_target_find_room_behind_all_others() {
    let mut table = measured(QUEUE_ROOM);
    table.update_routes(&[route(120), route(8_000)]);
    let urgent = need(120);
    let others = [1, 2].map(|urgency| Need {
        urgency,
        ..need(8_000)
    });
    for other in others {
        for waiting in 0..QUEUE {
            table.record_load(NOW_MS, &id(), load(SLOTS, waiting));
            let choose =
                |need| table.choose(NOW_MS, need, &BTreeSet::new(), EngineBounds::default());
            if choose(&other) == Choice::Send(id()) {
                let after = load(SLOTS, waiting + 1);
                table.record_load(NOW_MS, &id(), after);
                assert_eq!(
                    choose_at(&table, NOW_MS, urgent.limit_ms),
                    Choice::Send(id())
                );
            }
        }
    }
}

/// Guards against entries that all use the room in the same outdated report: together they would
/// exceed it by the number of entries.
#[test]
fn entries_keep_to_their_part_of_the_room_in_one_report() {
    for limit_ms in [60, 120, 300] {
        // A replica serves this many requests that arrive together within the latency target.
        let in_time = f64::from(SLOTS) * limit_ms as f64 / REQUEST_MS;
        let equal_part = in_time / f64::from(ENTRIES);
        let sent = (0..1_000).take_while(|own| {
            let view = QueueView {
                load: f64::from(SLOTS + own),
                own: *own,
                waiting: f64::from(*own),
                limit: None,
                slots: SLOTS,
                request_ms: REQUEST_MS,
                entries: ENTRIES,
            };
            view.has_room(limit_ms, 0)
        });
        let sent = sent.count() as f64;
        assert!(sent >= 1.0, "{limit_ms}");
        assert!(sent <= (2.0 * equal_part).max(1.0), "{limit_ms}: {sent}");
    }
}
