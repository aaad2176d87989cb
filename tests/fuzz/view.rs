//! Views of members that follow the log, under late, duplicated, reordered and lost pages from
//! lagging voters, restarts, and gaps longer than the journal.

use std::collections::BTreeMap;

use dunlinspring::consensus::claims::{ClaimKey, Settlement};
use dunlinspring::consensus::state::{Command, MAX_JOURNAL_LEN, MemberRole, SiteState, Stamped};
use dunlinspring::ids::*;
use dunlinspring::routing::view::{SiteView, SyncPage, page_after};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const MEMBERS: usize = 3;
const HOSTS: usize = 4;

#[derive(Clone, Debug)]
pub enum Step {
    /// Commits joins and losses of a host.
    Commit {
        host: usize,
        times: usize,
    },
    /// Commits more changes than the journal holds.
    Flood,
    /// Saves the current state as that of a lagging voter.
    Lag,
    Request {
        member: usize,
        lagging: bool,
    },
    Deliver {
        pick: usize,
        double: bool,
    },
    Lose {
        pick: usize,
    },
    Restart {
        member: usize,
    },
}

pub struct ViewScript;

impl ReferenceStateMachine for ViewScript {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let member = 0..MEMBERS;
        prop_oneof![
            30 => (0..HOSTS, 1usize..4).prop_map(|(host, times)| Step::Commit { host, times }),
            1 => Just(Step::Flood),
            5 => Just(Step::Lag),
            30 => (member.clone(), any::<bool>())
                .prop_map(|(member, lagging)| Step::Request { member, lagging }),
            40 => (any::<usize>(), any::<bool>())
                .prop_map(|(pick, double)| Step::Deliver { pick, double }),
            5 => any::<usize>().prop_map(|pick| Step::Lose { pick }),
            5 => member.prop_map(|member| Step::Restart { member }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

pub struct ViewWorld {
    state: SiteState,
    lagging: SiteState,
    /// The members at each position, recorded at the commit.
    expected: BTreeMap<Position, BTreeMap<HostName, Incarnation>>,
    views: Vec<SiteView>,
    in_flight: Vec<(usize, SyncPage)>,
}

impl ViewWorld {
    fn commit(&mut self, host: usize) {
        let position = Position(self.state.position.0 + 1);
        let host = HostName(format!("h{host}"));
        let command = match self.state.members.get(&host) {
            Some(member) if position.0.is_multiple_of(2) => Command::Lost(host, member.incarnation),
            _ => Command::Join(host, MemberRole::Entry, String::new(), HallName::from("x")),
        };
        let at_ms = position.0;
        self.state.apply(position, &Stamped { at_ms, command });
        let members = self.state.members.iter();
        let members = members.map(|(host, member)| (host.clone(), member.incarnation));
        self.expected.insert(position, members.collect());
    }

    fn check(&self) {
        for view in &self.views {
            let members = view.members.iter();
            let seen: BTreeMap<HostName, Incarnation> = members
                .map(|(host, member)| (host.clone(), member.incarnation))
                .collect();
            let expected = self
                .expected
                .get(&view.position)
                .cloned()
                .unwrap_or_default();
            assert_eq!(
                seen, expected,
                "a member's view at {} differs from the log",
                view.position
            );
        }
    }
}

/// If claims moved the position that members follow, members would take every control host
/// for one that withholds changes, and entries would become stale.
#[test]
fn claims_do_not_move_the_position_that_members_follow() {
    let mut state = SiteState::default();
    let join = Command::Join(
        HostName::from("h"),
        MemberRole::Entry,
        String::new(),
        HallName::from("x"),
    );
    let settle = Command::Settle(
        ClaimKey {
            partner: PartnerName::from("p"),
            key: CallKey::from("k"),
        },
        AttemptId {
            entry: Incarnation(1),
            number: 1,
        },
        Settlement::Unknown,
    );
    for (at, command) in [join, settle].into_iter().enumerate() {
        let at_ms = at as u64;
        state.apply(Position(at_ms + 1), &Stamped { at_ms, command });
    }
    assert_eq!(
        (state.position, state.changed()),
        (Position(2), Position(1))
    );
    assert_eq!(page_after(&state, Position(0)).to, Position(1));
}

pub struct ViewTest;

impl StateMachineTest for ViewTest {
    type SystemUnderTest = ViewWorld;
    type Reference = ViewScript;

    fn init_test((): &()) -> ViewWorld {
        ViewWorld {
            state: SiteState::default(),
            lagging: SiteState::default(),
            expected: BTreeMap::new(),
            views: vec![SiteView::default(); MEMBERS],
            in_flight: Vec::new(),
        }
    }

    fn apply(mut world: ViewWorld, (): &(), step: Step) -> ViewWorld {
        let before: Vec<Position> = world.views.iter().map(|view| view.position).collect();
        let mut restarted = None;
        match step {
            Step::Commit { host, times } => (0..times).for_each(|_| world.commit(host)),
            Step::Flood => (0..MAX_JOURNAL_LEN + 10).for_each(|at| world.commit(at % HOSTS)),
            Step::Lag => world.lagging = world.state.clone(),
            Step::Request { member, lagging } => {
                let state = match lagging {
                    true => &world.lagging,
                    false => &world.state,
                };
                let page = page_after(state, world.views[member].position);
                world.in_flight.push((member, page));
            }
            Step::Deliver { pick, double } if !world.in_flight.is_empty() => {
                let at = pick % world.in_flight.len();
                let (member, page) = match double {
                    true => world.in_flight[at].clone(),
                    false => world.in_flight.swap_remove(at),
                };
                world.views[member].follow(&page);
            }
            Step::Lose { pick } if !world.in_flight.is_empty() => {
                let at = pick % world.in_flight.len();
                world.in_flight.swap_remove(at);
            }
            Step::Deliver { .. } | Step::Lose { .. } => {}
            Step::Restart { member } => {
                world.views[member] = SiteView::default();
                restarted = Some(member);
            }
        }
        for (member, view) in world.views.iter().enumerate() {
            let back = view.position < before[member];
            assert!(
                !back || restarted == Some(member),
                "a member's position went backwards"
            );
        }
        world.check();
        world
    }

    fn teardown(mut world: ViewWorld, (): ()) {
        for view in &mut world.views {
            let page = page_after(&world.state, view.position);
            view.follow(&page);
            assert_eq!(
                view.position, world.state.position,
                "one page did not bring the view up to date"
            );
        }
        world.check();
    }
}

prop_state_machine! {
    #![proptest_config(super::config(150))]

    #[test]
    fn copies_follow_the_log_and_never_go_back(sequential 1..80 => ViewTest);
}
