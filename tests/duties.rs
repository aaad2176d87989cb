//! Cases of the leader's target controller that no other test suite reaches.

use std::collections::BTreeMap;

use dunlinspring::consensus::state::{Command, MemberRole, MoveKind, SiteState, Stamped};
use dunlinspring::ids::*;
use dunlinspring::placement::moves::{self, DemandTracker, PlacementPolicy};
use dunlinspring::placement::target_controller::{
    AgentHeartbeat, ControllerPolicy, TargetController,
};
use dunlinspring::table::rows::{RowChange, RowEdit, RowFields, Urgency};
use dunlinspring::table::site::{ModelKind, ModelSpec, SiteSpec, TargetSpec};

const POLICY: ControllerPolicy = ControllerPolicy {
    loss_ms: 1000,
    lease_ms: 800,
    round_ms: 100,
    placement: PlacementPolicy {
        move_price: 1.0,
        spread: 2,
        by_demand: true,
    },
};

fn heartbeat() -> AgentHeartbeat {
    AgentHeartbeat {
        host: HostName::from("t1"),
        incarnation: Incarnation(1),
        position: Position(1),
        plan: Position(0),
        holds: None,
        busy: BTreeMap::new(),
        leaving: false,
        stopped: false,
    }
}

#[test]
fn a_leader_that_was_frozen_does_not_count_its_pause_as_silence_of_members() {
    let mut state = SiteState::default();
    let (host, hall) = (HostName::from("t1"), HallName::from("north"));
    let command = Command::Join(host.clone(), MemberRole::Agent, String::new(), hall);
    state.apply(Position(1), &Stamped { at_ms: 0, command });
    let mut controller = TargetController::new(POLICY, &state, Term(1), 0);
    let mut now_ms = 0;
    while now_ms < 3000 {
        now_ms += 100;
        controller.on_agent_heartbeat(&state, now_ms, &heartbeat());
        assert_eq!(controller.round(&state, now_ms, 0), [], "at {now_ms} ms");
    }
    // The leader is frozen for a minute, then resumes.
    now_ms += 60_000;
    assert_eq!(controller.round(&state, now_ms, 0), []);
    // The member sends no heartbeat from here on: only this silence counts.
    let resumed_ms = now_ms;
    let lost = loop {
        now_ms += 100;
        if let Some(command) = controller.round(&state, now_ms, 0).pop() {
            break command;
        }
        assert!(
            now_ms < resumed_ms + 10_000,
            "a silent member is never marked lost"
        );
    };
    assert_eq!(lost, Command::Lost(host, Incarnation(1)));
    assert!(now_ms > resumed_ms + POLICY.loss_ms);
}

/// The minimum gap between loads from the weight store was measured with the log's clock, so that
/// on an idle site the next load waited for a commit that never came. Found by code review.
#[test]
fn a_repair_does_not_wait_for_the_next_commit() {
    let mut state = SiteState::default();
    let model = |name: &str| ModelName::from(name);
    let spec = ModelSpec {
        kind: ModelKind::Base,
        weights_mib: 10,
        kv_kib_per_token: 0,
    };
    let target = TargetSpec {
        hall: HallName::from("north"),
        memory_mib: 100,
        kv_floor_mib: 0,
        accelerators: 1,
    };
    let site = SiteSpec {
        generation: 1,
        load_gap_ms: 714,
        loads_at_once: 15,
        models: BTreeMap::from([(model("a"), spec.clone()), (model("b"), spec)]),
        targets: BTreeMap::from([(TargetName::from("t1"), target)]),
        ..SiteSpec::default()
    };
    let (host, hall) = (HostName::from("t1"), HallName::from("north"));
    let mut commands = vec![
        Command::Site(site),
        Command::Join(host, MemberRole::Agent, String::new(), hall),
    ];
    for name in ["a", "b"] {
        commands.push(Command::Edit(RowEdit {
            id: EditId::from(name),
            partner: PartnerName::from("fiji"),
            row: RowId::from(name),
            expected: Position(0),
            change: RowChange::Put(RowFields {
                model: model(name),
                class: name.to_owned(),
                urgency: Urgency::Standard,
                weight: 1,
                max_running: 1,
                patience_ms: 1000,
                at_most_once: false,
                whole: false,
            }),
        }));
    }
    let load = Command::Move(TargetName::from("t1"), model("a"), MoveKind::Load);
    commands.push(load);
    for (at, command) in commands.into_iter().enumerate() {
        let position = Position(at as u64 + 1);
        let at_ms = 50_000;
        state.apply(position, &Stamped { at_ms, command });
    }
    // Nothing is committed from here on; only time passes.
    let demand = DemandTracker::default();
    let early = moves::plan(&state, &POLICY.placement, &demand, 50_700);
    assert_eq!(early, [], "before the end of the store's load gap");
    let due = moves::plan(&state, &POLICY.placement, &demand, 50_714);
    assert_eq!(due.len(), 1);
    assert_eq!((&due[0].model, due[0].kind), (&model("b"), MoveKind::Load));
}
