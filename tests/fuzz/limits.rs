//! Row limits over several entries: the sum of running requests never exceeds the limit under
//! lost, late and duplicated messages and changes of the leader.

use std::collections::BTreeMap;

use dunlinspring::ids::{Incarnation, RowId};
use dunlinspring::table::limits::{LimitClaim, LimitPolicy, ShareGrantor, ShareHolder};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const ENTRIES: usize = 3;
const LIMIT: u32 = 11;
const MAX_WAIT_MS: u64 = 200;
const POLICY: LimitPolicy = LimitPolicy {
    entries: ENTRIES as u32,
    lease_ms: 100,
};

#[derive(Clone, Debug)]
pub enum Step {
    Acquire { entry: usize, count: usize },
    Release { entry: usize },
    Request { entry: usize },
    Deliver { pick: usize, double: bool },
    Lose { pick: usize },
    Wait { ms: u64 },
    NewLeader,
}

pub struct LimitScript;

impl ReferenceStateMachine for LimitScript {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let entry = 0..ENTRIES;
        prop_oneof![
            4 => (entry.clone(), 1usize..8)
                .prop_map(|(entry, count)| Step::Acquire { entry, count }),
            3 => entry.clone().prop_map(|entry| Step::Release { entry }),
            4 => entry.prop_map(|entry| Step::Request { entry }),
            6 => (any::<usize>(), any::<bool>())
                .prop_map(|(pick, double)| Step::Deliver { pick, double }),
            1 => any::<usize>().prop_map(|pick| Step::Lose { pick }),
            3 => (1u64..90).prop_map(|ms| Step::Wait { ms }),
            1 => Just(Step::NewLeader),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

#[derive(Clone)]
enum Message {
    Request {
        entry: usize,
        number: u64,
        sent: u64,
        claims: BTreeMap<RowId, LimitClaim>,
    },
    Grant {
        entry: usize,
        number: u64,
        sent: u64,
        grants: BTreeMap<RowId, u32>,
    },
}

pub struct LimitWorld {
    now: u64,
    holders: Vec<ShareHolder>,
    grantor: ShareGrantor,
    /// Deadline of each running request of each entry.
    running: Vec<Vec<u64>>,
    in_flight: Vec<Message>,
    request_numbers: Vec<u64>,
}

fn row() -> RowId {
    RowId::from("row")
}

impl LimitWorld {
    fn deliver(&mut self, message: Message) {
        match message {
            Message::Request {
                entry,
                number,
                sent,
                claims,
            } => {
                let mut grants = BTreeMap::new();
                let incarnation = Incarnation(entry as u64);
                if !self.grantor.is_new(incarnation, number) {
                    return;
                }
                for (row, claim) in claims {
                    let share =
                        self.grantor
                            .grant(self.now, incarnation, &row, LIMIT, MAX_WAIT_MS, claim);
                    grants.insert(row, share);
                }
                self.in_flight.push(Message::Grant {
                    entry,
                    number,
                    sent,
                    grants,
                });
            }
            Message::Grant {
                entry,
                number,
                sent,
                grants,
            } => self.holders[entry].apply_grants(number, sent, &grants),
        }
    }

    fn expire(&mut self) {
        for (entry, running) in self.running.iter_mut().enumerate() {
            let now = self.now;
            let ended = running.extract_if(.., |until| *until <= now).count();
            (0..ended).for_each(|_| self.holders[entry].release(&row()));
        }
    }
}

pub struct LimitTest;

impl StateMachineTest for LimitTest {
    type SystemUnderTest = LimitWorld;
    type Reference = LimitScript;

    fn init_test((): &()) -> LimitWorld {
        LimitWorld {
            now: 1000,
            holders: (0..ENTRIES).map(|_| ShareHolder::new(POLICY)).collect(),
            grantor: ShareGrantor::new(POLICY, 0),
            running: vec![Vec::new(); ENTRIES],
            in_flight: Vec::new(),
            request_numbers: vec![0; ENTRIES],
        }
    }

    fn apply(mut world: LimitWorld, (): &(), step: Step) -> LimitWorld {
        match step {
            Step::Acquire { entry, count } => {
                for _ in 0..count {
                    if world.holders[entry].acquire(&row(), LIMIT, world.now) {
                        world.running[entry].push(world.now + MAX_WAIT_MS);
                    }
                }
            }
            Step::Release { entry } => {
                if world.running[entry].pop().is_some() {
                    world.holders[entry].release(&row());
                }
            }
            Step::Request { entry } => {
                let (number, claims) =
                    world.holders[entry].next_request(world.now, |_| Some(LIMIT));
                world.request_numbers[entry] = number;
                world.in_flight.push(Message::Request {
                    entry,
                    number,
                    sent: world.now,
                    claims,
                });
            }
            Step::Deliver { pick, double } if !world.in_flight.is_empty() => {
                let at = pick % world.in_flight.len();
                let message = match double {
                    true => world.in_flight[at].clone(),
                    false => world.in_flight.swap_remove(at),
                };
                world.deliver(message);
            }
            Step::Lose { pick } if !world.in_flight.is_empty() => {
                let at = pick % world.in_flight.len();
                world.in_flight.swap_remove(at);
            }
            Step::Deliver { .. } | Step::Lose { .. } => {}
            Step::Wait { ms } => world.now += ms,
            Step::NewLeader => world.grantor = ShareGrantor::new(POLICY, world.now),
        }
        world.expire();
        let sum: usize = world.running.iter().map(Vec::len).sum();
        assert!(sum <= LIMIT as usize, "{sum} run under a limit of {LIMIT}");
        world
    }
}

prop_state_machine! {
    #![proptest_config(super::config(20000))]

    #[test]
    fn the_sum_of_running_requests_stays_within_the_limit(sequential 1..120 => LimitTest);
}
