//! Paxos agreement on the bootstrap host under lost, late, duplicated and reordered messages,
//! proposals that overlap or are given up, and acceptors that restart at any step without
//! their state: at most one host is ever chosen.

use std::collections::{BTreeMap, BTreeSet};

use dunlinspring::consensus::paxos::{self, PaxosAcceptor, PaxosReply, PaxosRequest};
use dunlinspring::ids::{HostName, Incarnation};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

/// Number of hosts with a blank disk that ask to be chosen.
const CANDIDATES: usize = 4;
/// Maximum number of concurrent proposals; older ones are given up.
const MAX_PROPOSALS: usize = 6;
/// Fault-free proposals within which a majority must have agreed.
const FAULT_FREE_PROPOSALS: usize = 3;

#[derive(Clone, Debug)]
pub enum PaxosStep {
    /// An acceptor host starts a proposal for a candidate.
    Begin { relay: usize, candidate: usize },
    /// Delivers a message; with `double` it also stays in flight.
    Deliver { pick: usize, double: bool },
    /// Loses a message.
    Lose { pick: usize },
    /// Restarts an acceptor without its state.
    Restart { relay: usize },
}

/// The state is the number of acceptors; steps do not depend on it.
pub struct PaxosScript;

impl ReferenceStateMachine for PaxosScript {
    type State = usize;
    type Transition = PaxosStep;

    fn init_state() -> BoxedStrategy<usize> {
        prop_oneof![1 => Just(1usize), 2 => Just(2usize), 6 => Just(3usize)].boxed()
    }

    fn transitions(_: &usize) -> BoxedStrategy<PaxosStep> {
        let picks = any::<usize>();
        prop_oneof![
            3 => (0usize..3, 0..CANDIDATES)
                .prop_map(|(relay, candidate)| PaxosStep::Begin { relay, candidate }),
            14 => (picks, prop::bool::weighted(0.15))
                .prop_map(|(pick, double)| PaxosStep::Deliver { pick, double }),
            1 => picks.prop_map(|pick| PaxosStep::Lose { pick }),
            1 => (0usize..3).prop_map(|relay| PaxosStep::Restart { relay }),
        ]
        .boxed()
    }

    fn apply(state: usize, _: &PaxosStep) -> usize {
        state
    }
}

/// One request that an acceptor host broadcast, with the replies so far.
struct Proposal {
    relay: usize,
    candidate: HostName,
    request: PaxosRequest,
    replies: BTreeMap<usize, PaxosReply>,
}

#[derive(Clone)]
enum Envelope {
    Request {
        to: usize,
        number: usize,
        request: PaxosRequest,
    },
    Reply {
        from: usize,
        number: usize,
        reply: PaxosReply,
    },
}

pub struct PaxosWorld {
    /// `None` after a restart.
    acceptors: Vec<Option<PaxosAcceptor>>,
    /// Proposals by request number.
    proposals: BTreeMap<usize, Proposal>,
    next: usize,
    in_flight: Vec<Envelope>,
    chosen: BTreeSet<HostName>,
}

fn host(kind: &str, number: usize) -> HostName {
    HostName(format!("{kind}{number}"))
}

impl PaxosWorld {
    fn new(relays: usize) -> Self {
        let hosts: BTreeSet<HostName> = (0..relays).map(|n| host("relay", n)).collect();
        let acceptor = |n| Some(PaxosAcceptor::new(hosts.clone(), Incarnation(n as u64)));
        Self {
            acceptors: (0..relays).map(acceptor).collect(),
            proposals: BTreeMap::new(),
            next: 0,
            in_flight: Vec::new(),
            chosen: BTreeSet::new(),
        }
    }

    fn begin(&mut self, relay: usize, candidate: usize) {
        if let Some(acceptor) = &mut self.acceptors[relay] {
            let request = acceptor.prepare();
            self.broadcast(relay, host("asker", candidate), request);
        }
    }

    fn broadcast(&mut self, relay: usize, candidate: HostName, request: PaxosRequest) {
        let number = self.next;
        self.next += 1;
        for to in 0..self.acceptors.len() {
            let request = request.clone();
            self.in_flight.push(Envelope::Request {
                to,
                number,
                request,
            });
        }
        let proposal = Proposal {
            relay,
            candidate,
            request,
            replies: BTreeMap::new(),
        };
        self.proposals.insert(number, proposal);
        while self.proposals.len() > MAX_PROPOSALS {
            self.proposals.pop_first();
        }
    }

    fn restart(&mut self, relay: usize) {
        self.acceptors[relay] = None;
        self.proposals.retain(|_, proposal| proposal.relay != relay);
    }

    fn deliver(&mut self, envelope: Envelope) {
        match envelope {
            Envelope::Request {
                to,
                number,
                request,
            } => {
                let acceptor = self.acceptors[to].as_mut();
                let reply =
                    acceptor.map_or(PaxosReply::Abstained, |acceptor| acceptor.respond(&request));
                let from = to;
                self.in_flight.push(Envelope::Reply {
                    from,
                    number,
                    reply,
                });
            }
            Envelope::Reply {
                from,
                number,
                reply,
            } => {
                if let Some(proposal) = self.proposals.get_mut(&number) {
                    proposal.replies.entry(from).or_insert(reply);
                    self.advance(number);
                }
            }
        }
    }

    /// Takes the next step of a proposal once a majority has granted its request; further
    /// replies are not waited for, as they may be lost.
    fn advance(&mut self, number: usize) {
        let proposal = &self.proposals[&number];
        let replies: Vec<PaxosReply> = proposal.replies.values().cloned().collect();
        let Some(acceptor) = &mut self.acceptors[proposal.relay] else {
            return;
        };
        if !acceptor.has_majority(&replies) {
            return;
        }
        let proposal = self.proposals.remove(&number).unwrap();
        match proposal.request.value.clone() {
            None => {
                let value = paxos::value_to_accept(&replies, &proposal.candidate);
                self.broadcast(
                    proposal.relay,
                    proposal.candidate,
                    proposal.request.accept(value),
                );
            }
            Some(value) => {
                self.chosen.insert(value);
                assert!(
                    self.chosen.len() <= 1,
                    "two bootstrap hosts: {:?}",
                    self.chosen
                );
            }
        }
    }

    /// Delivers all messages in order.
    fn run_fault_free(&mut self) {
        while !self.in_flight.is_empty() {
            let envelope = self.in_flight.remove(0);
            self.deliver(envelope);
        }
    }
}

pub struct PaxosTest;

impl StateMachineTest for PaxosTest {
    type SystemUnderTest = PaxosWorld;
    type Reference = PaxosScript;

    fn init_test(relays: &usize) -> PaxosWorld {
        PaxosWorld::new(*relays)
    }

    fn apply(mut world: PaxosWorld, _: &usize, step: PaxosStep) -> PaxosWorld {
        let relays = world.acceptors.len();
        match step {
            PaxosStep::Begin { relay, candidate } => world.begin(relay % relays, candidate),
            PaxosStep::Deliver { pick, double } if !world.in_flight.is_empty() => {
                let at = pick % world.in_flight.len();
                let envelope = match double {
                    true => world.in_flight[at].clone(),
                    false => world.in_flight.swap_remove(at),
                };
                world.deliver(envelope);
            }
            PaxosStep::Lose { pick } if !world.in_flight.is_empty() => {
                let at = pick % world.in_flight.len();
                world.in_flight.swap_remove(at);
            }
            PaxosStep::Deliver { .. } | PaxosStep::Lose { .. } => {}
            PaxosStep::Restart { relay } => world.restart(relay % relays),
        }
        world
    }

    fn teardown(mut world: PaxosWorld, _: usize) {
        world.run_fault_free();
        let open: Vec<usize> = (0..world.acceptors.len())
            .filter(|relay| world.acceptors[*relay].is_some())
            .collect();
        if open.len() * 2 <= world.acceptors.len() {
            return;
        }
        // With a majority of acceptors that kept their state, proposals succeed.
        for relay in open {
            for _ in 0..FAULT_FREE_PROPOSALS {
                world.begin(relay, 0);
                world.run_fault_free();
            }
        }
        assert_eq!(
            world.chosen.len(),
            1,
            "no bootstrap host after all faults ended"
        );
    }
}

prop_state_machine! {
    #![proptest_config(super::config(4000))]

    #[test]
    fn at_most_one_bootstrap_host_is_chosen(sequential 1..80 => PaxosTest);
}
