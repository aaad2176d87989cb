//! The leader's duties that no suite reaches.

use std::collections::BTreeMap;

use dunlinspring::duties::{AgentBeat, DutyPolicy, LeaderDuties};
use dunlinspring::ids::*;
use dunlinspring::placement::PlacePolicy;
use dunlinspring::state::{Command, MemberRole, SiteState, Stamped};

const POLICY: DutyPolicy = DutyPolicy {
    loss_ms: 1000,
    lease_ms: 800,
    round_ms: 100,
    place: PlacePolicy {
        move_price: 1.0,
        spread: 2,
        by_demand: true,
    },
};

fn beat() -> AgentBeat {
    AgentBeat {
        host: HostName::from("t1"),
        life: Incarnation(1),
        position: Position(1),
        plan: Position(0),
        holds: None,
        busy: BTreeMap::new(),
        leaving: false,
        stopped: false,
    }
}

#[test]
fn a_leader_that_was_frozen_takes_its_own_silence_for_nothing() {
    let mut state = SiteState::default();
    let (host, hall) = (HostName::from("t1"), HallName::from("north"));
    let command = Command::Join(host.clone(), MemberRole::Agent, String::new(), hall);
    state.apply(Position(1), &Stamped { at_ms: 0, command });
    let mut duties = LeaderDuties::new(POLICY, &state, Term(1), 0);
    let mut now_ms = 0;
    while now_ms < 3000 {
        now_ms += 100;
        duties.on_agent(&state, now_ms, &beat());
        assert_eq!(duties.round(&state, now_ms), [], "at {now_ms} ms");
    }
    // It is frozen for a minute, and wakes.
    now_ms += 60_000;
    assert_eq!(duties.round(&state, now_ms), []);
    // The member stays silent from here on: only that counts.
    let woken_ms = now_ms;
    let lost = loop {
        now_ms += 100;
        if let Some(command) = duties.round(&state, now_ms).pop() {
            break command;
        }
        assert!(now_ms < woken_ms + 10_000, "a silent member is never lost");
    };
    assert_eq!(lost, Command::Lost(host, Incarnation(1)));
    assert!(now_ms > woken_ms + POLICY.loss_ms);
}
