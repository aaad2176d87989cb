//! Placement: every model keeps or regains a home, no target is assigned more than its
//! memory, and a settled site makes no further moves.

use std::collections::{BTreeMap, BTreeSet};

use dunlinspring::consensus::state::*;
use dunlinspring::ids::*;
use dunlinspring::placement::moves::{self, DemandTracker, PlacementPolicy};
use dunlinspring::table::limits::LimitPolicy;
use dunlinspring::table::packing;
use dunlinspring::table::rows::{RowChange, RowEdit, RowFields, Urgency};
use dunlinspring::table::site::{ModelKind, ModelSpec, SiteSpec, TargetSpec};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const TARGETS: usize = 5;
const BASES: usize = 7;
const ADAPTERS: usize = 4;
const SIZES_MIB: [u64; BASES] = [60, 45, 40, 40, 30, 25, 20];
const ADAPTER_MIB: u64 = 5;
const CAPACITY_MIB: u64 = 100;
/// Rounds within which a site with free capacity must have a home for every model.
const REPAIR_ROUNDS: usize = 80;

const POLICY: PlacementPolicy = PlacementPolicy {
    move_price: 1.0,
    spread: 2,
    by_demand: true,
};

#[derive(Clone, Debug)]
pub enum Step {
    /// Plans one round and completes the first `completed` ordered moves.
    Round {
        completed: usize,
    },
    Lose {
        target: usize,
    },
    Return {
        target: usize,
    },
    Leave {
        target: usize,
    },
    Put {
        model: usize,
    },
    Remove {
        model: usize,
    },
    Demand {
        model: usize,
        level: u32,
    },
}

pub struct PlaceScript;

impl ReferenceStateMachine for PlaceScript {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let target = 0..TARGETS;
        let model = 0..BASES + ADAPTERS;
        prop_oneof![
            10 => (0usize..4).prop_map(|completed| Step::Round { completed }),
            1 => target.clone().prop_map(|target| Step::Lose { target }),
            2 => target.clone().prop_map(|target| Step::Return { target }),
            1 => target.prop_map(|target| Step::Leave { target }),
            4 => model.clone().prop_map(|model| Step::Put { model }),
            2 => model.clone().prop_map(|model| Step::Remove { model }),
            2 => (model, 0u32..30).prop_map(|(model, level)| Step::Demand { model, level }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

pub struct PlaceWorld {
    state: SiteState,
    demand: DemandTracker,
    levels: BTreeMap<ModelName, f64>,
    edits: u64,
}

fn name(model: usize) -> ModelName {
    ModelName(format!("m{model:02}"))
}

fn target(number: usize) -> TargetName {
    TargetName(format!("t{number}"))
}

fn site() -> SiteSpec {
    let mut models = BTreeMap::new();
    for (number, size) in SIZES_MIB.iter().enumerate() {
        let spec = ModelSpec {
            kind: ModelKind::Base,
            weights_mib: *size,
            kv_kib_per_token: 0,
        };
        models.insert(name(number), spec);
    }
    for number in 0..ADAPTERS {
        let spec = ModelSpec {
            kind: ModelKind::Adapter(name(number)),
            weights_mib: ADAPTER_MIB,
            kv_kib_per_token: 0,
        };
        models.insert(name(BASES + number), spec);
    }
    let halls = ["x", "y", "z"];
    let spec = |number: usize| TargetSpec {
        hall: HallName::from(halls[number % halls.len()]),
        memory_mib: CAPACITY_MIB,
        kv_floor_mib: 0,
        accelerators: 1,
    };
    SiteSpec {
        generation: 1,
        spare_targets: 2,
        load_gap_ms: 0,
        loads_at_once: 3,
        limits: LimitPolicy::default(),
        models,
        targets: (0..TARGETS)
            .map(|number| (target(number), spec(number)))
            .collect(),
    }
}

impl PlaceWorld {
    fn run(&mut self, command: Command) -> Reply {
        let position = Position(self.state.position.0 + 1);
        let stamped = Stamped {
            at_ms: position.0 * 10,
            command,
        };
        self.state.apply(position, &stamped)
    }

    fn host(number: usize) -> HostName {
        HostName(target(number).0)
    }

    fn incarnation(&self, number: usize) -> Option<Incarnation> {
        let member = self.state.members.get(&Self::host(number));
        member.map(|member| member.incarnation)
    }

    fn join(&mut self, number: usize) {
        if self.incarnation(number).is_none() {
            let hall = HallName::from("x");
            let address = String::new();
            let role = MemberRole::Agent;
            self.run(Command::Join(Self::host(number), role, address, hall));
        }
    }

    fn ready_homes(&self) -> BTreeMap<ModelName, usize> {
        let mut ready = BTreeMap::new();
        for homes in self.state.homes.values() {
            for (model, home) in homes {
                if home.phase == HomePhase::Ready {
                    *ready.entry(model.clone()).or_default() += 1;
                }
            }
        }
        ready
    }

    fn wanted(&self) -> BTreeSet<ModelName> {
        let set = packing::resident_set(&self.state.site, self.state.table.models());
        set.into_iter().cloned().collect()
    }

    fn round(&mut self, completed: usize) -> usize {
        self.demand.sample(&self.levels);
        let before = self.ready_homes();
        let moves = moves::plan(&self.state, &POLICY, &self.demand, self.state.clock_ms);
        let count = moves.len();
        for step in moves {
            self.run(Command::Move(step.target, step.model, step.kind));
        }
        let after = self.ready_homes();
        for model in self.wanted() {
            let had = before.get(&model).copied().unwrap_or(0);
            let has = after.get(&model).copied().unwrap_or(0);
            assert!(had == 0 || has > 0, "a move took {model}'s last ready home");
        }
        self.check_capacity();
        self.complete_moves(completed);
        count
    }

    /// Reports the first `completed` ordered moves as done.
    fn complete_moves(&mut self, completed: usize) {
        let mut open = Vec::new();
        for (target, homes) in &self.state.homes {
            for (model, home) in homes {
                match home.phase {
                    HomePhase::Loading => {
                        open.push((target.clone(), model.clone(), HomeReport::Resident))
                    }
                    HomePhase::Unloading => {
                        open.push((target.clone(), model.clone(), HomeReport::Absent))
                    }
                    HomePhase::Ready => {}
                }
            }
        }
        for (target, model, report) in open.into_iter().take(completed) {
            let agent = self.state.agent_of(&target).map(|agent| agent.incarnation);
            if let Some(incarnation) = agent {
                self.run(Command::Home(target, incarnation, model, report));
            }
        }
    }

    fn check_capacity(&self) {
        for (target, homes) in &self.state.homes {
            let models = &self.state.site.models;
            let taken: u64 = homes.keys().map(|model| models[model].weights_mib).sum();
            assert!(
                taken <= CAPACITY_MIB,
                "{target} is assigned {taken} of {CAPACITY_MIB} MiB"
            );
            for model in homes.keys() {
                if let ModelKind::Adapter(base) = &models[model].kind {
                    let with = homes.contains_key(base);
                    assert!(with, "{model} is on {target} without its base model");
                }
            }
        }
    }

    fn homeless(&self) -> Vec<ModelName> {
        let ready = self.ready_homes();
        let wanted = self.wanted().into_iter();
        wanted.filter(|model| !ready.contains_key(model)).collect()
    }

    fn edit(&mut self, model: usize, put: bool) {
        self.edits += 1;
        let row = RowId(format!("row{model}"));
        let current = self.state.table.rows().get(&row).map(|row| row.version);
        let fields = RowFields {
            model: name(model),
            class: "class".to_owned(),
            urgency: Urgency::Standard,
            weight: 1,
            max_running: 1,
            patience_ms: 1,
            at_most_once: false,
            whole: false,
        };
        let edit = RowEdit {
            id: EditId(self.edits.to_string()),
            partner: PartnerName::from("p"),
            row,
            expected: current.unwrap_or_default(),
            change: match put {
                true => RowChange::Put(fields),
                false => RowChange::Delete,
            },
        };
        self.run(Command::Edit(edit));
    }
}

pub struct PlaceTest;

impl StateMachineTest for PlaceTest {
    type SystemUnderTest = PlaceWorld;
    type Reference = PlaceScript;

    fn init_test((): &()) -> PlaceWorld {
        let mut world = PlaceWorld {
            state: SiteState::default(),
            demand: DemandTracker::default(),
            levels: BTreeMap::new(),
            edits: 0,
        };
        world.run(Command::Site(site()));
        (0..TARGETS).for_each(|number| world.join(number));
        world
    }

    fn apply(mut world: PlaceWorld, (): &(), step: Step) -> PlaceWorld {
        match step {
            Step::Round { completed } => {
                world.round(completed);
            }
            Step::Lose { target } => {
                if let Some(incarnation) = world.incarnation(target) {
                    world.run(Command::Lost(PlaceWorld::host(target), incarnation));
                }
            }
            Step::Return { target } => world.join(target),
            Step::Leave { target } => {
                if let Some(incarnation) = world.incarnation(target) {
                    world.run(Command::Leave(PlaceWorld::host(target), incarnation));
                }
            }
            Step::Put { model } => world.edit(model, true),
            Step::Remove { model } => world.edit(model, false),
            Step::Demand { model, level } => {
                world.levels.insert(name(model), f64::from(level));
            }
        }
        world.check_capacity();
        world
    }

    fn teardown(mut world: PlaceWorld, (): ()) {
        // One target stays lost: tables are only accepted if the rest has capacity for them.
        for number in 0..TARGETS {
            if let Some(incarnation) = world.incarnation(number) {
                let leaving = world.state.members[&PlaceWorld::host(number)].leaving;
                if leaving {
                    world.run(Command::Lost(PlaceWorld::host(number), incarnation));
                }
            }
        }
        (1..TARGETS).for_each(|number| world.join(number));
        for _ in 0..REPAIR_ROUNDS {
            world.round(3);
        }
        let homeless = world.homeless();
        assert!(
            homeless.is_empty(),
            "no home for {homeless:?}: {:?}",
            world.state.homes
        );
        world.levels.clear();
        for _ in 0..2 * REPAIR_ROUNDS {
            world.round(3);
        }
        let late: usize = (0..REPAIR_ROUNDS).map(|_| world.round(3)).sum();
        assert_eq!(late, 0, "a settled site still makes moves");
    }
}

prop_state_machine! {
    #![proptest_config(super::config(1500))]

    #[test]
    fn every_model_keeps_or_regains_a_home(sequential 1..80 => PlaceTest);
}
