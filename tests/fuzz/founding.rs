//! The naming of a founder under lost, late, doubled and reordered questions, tries that
//! overlap or are given up, and named hosts that end at any step and come back knowing
//! nothing: one name at most is ever agreed on.

use std::collections::{BTreeMap, BTreeSet};

use dunlinspring::consensus::paxos::{self, PaxosAcceptor, PaxosReply, PaxosRequest};
use dunlinspring::ids::{HostName, Incarnation};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

/// Hosts with a blank disk that ask to be named.
const ASKERS: usize = 4;
/// Most tries that are under way at once; older ones were given up.
const MAX_TRIES: usize = 6;
/// Tries without a fault until a majority must have agreed.
const CALM_TRIES: usize = 3;

#[derive(Clone, Debug)]
pub enum NamingStep {
    /// A named host begins a try for a host that asked it.
    Begin { relay: usize, asker: usize },
    /// A question or an answer arrives; a doubled one may arrive again.
    Deliver { pick: usize, double: bool },
    /// It is lost.
    Lose { pick: usize },
    /// A named host ends and comes back.
    Restart { relay: usize },
}

/// The number of named hosts, then steps that do not depend on the state.
pub struct NamingScript;

impl ReferenceStateMachine for NamingScript {
    type State = usize;
    type Transition = NamingStep;

    fn init_state() -> BoxedStrategy<usize> {
        prop_oneof![1 => Just(1usize), 2 => Just(2usize), 6 => Just(3usize)].boxed()
    }

    fn transitions(_: &usize) -> BoxedStrategy<NamingStep> {
        let picks = any::<usize>();
        prop_oneof![
            3 => (0usize..3, 0..ASKERS)
                .prop_map(|(relay, asker)| NamingStep::Begin { relay, asker }),
            14 => (picks, prop::bool::weighted(0.15))
                .prop_map(|(pick, double)| NamingStep::Deliver { pick, double }),
            1 => picks.prop_map(|pick| NamingStep::Lose { pick }),
            1 => (0usize..3).prop_map(|relay| NamingStep::Restart { relay }),
        ]
        .boxed()
    }

    fn apply(state: usize, _: &NamingStep) -> usize {
        state
    }
}

/// What a named host waits for: the answers to one question.
struct Try {
    relay: usize,
    asker: HostName,
    ask: PaxosRequest,
    answers: BTreeMap<usize, PaxosReply>,
}

#[derive(Clone)]
enum Letter {
    Ask {
        to: usize,
        number: usize,
        ask: PaxosRequest,
    },
    Answer {
        from: usize,
        number: usize,
        answer: PaxosReply,
    },
}

pub struct NamingWorld {
    /// None after a restart.
    books: Vec<Option<PaxosAcceptor>>,
    /// By the number of the question.
    tries: BTreeMap<usize, Try>,
    next: usize,
    bag: Vec<Letter>,
    agreed: BTreeSet<HostName>,
}

fn host(kind: &str, number: usize) -> HostName {
    HostName(format!("{kind}{number}"))
}

impl NamingWorld {
    fn new(relays: usize) -> Self {
        let named: BTreeSet<HostName> = (0..relays).map(|n| host("relay", n)).collect();
        let book = |n| Some(PaxosAcceptor::new(named.clone(), Incarnation(n as u64)));
        Self {
            books: (0..relays).map(book).collect(),
            tries: BTreeMap::new(),
            next: 0,
            bag: Vec::new(),
            agreed: BTreeSet::new(),
        }
    }

    fn begin(&mut self, relay: usize, asker: usize) {
        if let Some(book) = &mut self.books[relay] {
            let ask = book.prepare();
            self.ask_all(relay, host("asker", asker), ask);
        }
    }

    fn ask_all(&mut self, relay: usize, asker: HostName, ask: PaxosRequest) {
        let number = self.next;
        self.next += 1;
        for to in 0..self.books.len() {
            let ask = ask.clone();
            self.bag.push(Letter::Ask { to, number, ask });
        }
        let begun = Try {
            relay,
            asker,
            ask,
            answers: BTreeMap::new(),
        };
        self.tries.insert(number, begun);
        while self.tries.len() > MAX_TRIES {
            self.tries.pop_first();
        }
    }

    fn restart(&mut self, relay: usize) {
        self.books[relay] = None;
        self.tries.retain(|_, begun| begun.relay != relay);
    }

    fn deliver(&mut self, letter: Letter) {
        match letter {
            Letter::Ask { to, number, ask } => {
                let book = self.books[to].as_mut();
                let answer = book.map_or(PaxosReply::Abstained, |book| book.respond(&ask));
                let from = to;
                self.bag.push(Letter::Answer {
                    from,
                    number,
                    answer,
                });
            }
            Letter::Answer {
                from,
                number,
                answer,
            } => {
                if let Some(begun) = self.tries.get_mut(&number) {
                    begun.answers.entry(from).or_insert(answer);
                    self.go_on(number);
                }
            }
        }
    }

    /// Whoever asked acts as soon as a majority has granted: the rest may be lost.
    fn go_on(&mut self, number: usize) {
        let begun = &self.tries[&number];
        let answers: Vec<PaxosReply> = begun.answers.values().cloned().collect();
        let Some(book) = &mut self.books[begun.relay] else {
            return;
        };
        if !book.has_majority(&answers) {
            return;
        }
        let begun = self.tries.remove(&number).unwrap();
        match begun.ask.value.clone() {
            None => {
                let name = paxos::value_to_accept(&answers, &begun.asker);
                self.ask_all(begun.relay, begun.asker, begun.ask.accept(name));
            }
            Some(name) => {
                self.agreed.insert(name);
                assert!(self.agreed.len() <= 1, "two founders: {:?}", self.agreed);
            }
        }
    }

    /// Everything arrives, in order.
    fn calm(&mut self) {
        while !self.bag.is_empty() {
            let letter = self.bag.remove(0);
            self.deliver(letter);
        }
    }
}

pub struct NamingTest;

impl StateMachineTest for NamingTest {
    type SystemUnderTest = NamingWorld;
    type Reference = NamingScript;

    fn init_test(relays: &usize) -> NamingWorld {
        NamingWorld::new(*relays)
    }

    fn apply(mut world: NamingWorld, _: &usize, step: NamingStep) -> NamingWorld {
        let relays = world.books.len();
        match step {
            NamingStep::Begin { relay, asker } => world.begin(relay % relays, asker),
            NamingStep::Deliver { pick, double } if !world.bag.is_empty() => {
                let at = pick % world.bag.len();
                let letter = match double {
                    true => world.bag[at].clone(),
                    false => world.bag.swap_remove(at),
                };
                world.deliver(letter);
            }
            NamingStep::Lose { pick } if !world.bag.is_empty() => {
                let at = pick % world.bag.len();
                world.bag.swap_remove(at);
            }
            NamingStep::Deliver { .. } | NamingStep::Lose { .. } => {}
            NamingStep::Restart { relay } => world.restart(relay % relays),
        }
        world
    }

    fn teardown(mut world: NamingWorld, _: usize) {
        world.calm();
        let open: Vec<usize> = (0..world.books.len())
            .filter(|relay| world.books[*relay].is_some())
            .collect();
        if open.len() * 2 <= world.books.len() {
            return;
        }
        // With a majority that remembers, whoever asks is told.
        for relay in open {
            for _ in 0..CALM_TRIES {
                world.begin(relay, 0);
                world.calm();
            }
        }
        assert_eq!(world.agreed.len(), 1, "no founder after all faults ended");
    }
}

prop_state_machine! {
    #![proptest_config(super::config(4000))]

    #[test]
    fn one_founder_at_most_is_named(sequential 1..80 => NamingTest);
}
