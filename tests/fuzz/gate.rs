//! Requests, agents and engines under lost, late, doubled and reordered calls,
//! crashes and freezes of each, and late orders of agents and leaders replaced.

use std::collections::{BTreeMap, BTreeSet};

use dunlinspring::admission::controller::*;
use dunlinspring::admission::ledger::{
    EngineReport, OrderCheck, OrderSeq, ResidentInfo, RunningInfo,
};
use dunlinspring::admission::queue::QueuePolicy;
use dunlinspring::consensus::claims::{ClaimKey, ClaimRequest, ClaimStore, Settlement};
use dunlinspring::ids::*;
use dunlinspring::routing::lifecycle::*;
use dunlinspring::table::rows::Urgency;
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const TARGETS: usize = 2;
const CAPACITY: u64 = 100;
const MODELS: [(&str, u64); 3] = [("a", 40), ("b", 40), ("c", 30)];
const KV: u64 = 15;
const LEASE_MS: u64 = 100;
/// No call to an engine that does not check orders comes later than this.
const LATE_MS: u64 = 60;
const CALL_MS: u64 = 30;
const PIECES: u32 = 10;

#[derive(Clone, Debug)]
pub enum Step {
    Deliver {
        pick: usize,
        double: bool,
    },
    Lose {
        pick: usize,
        late: bool,
    },
    Wait {
        ms: u64,
    },
    Calm {
        rounds: usize,
    },
    Submit {
        model: usize,
        key: Option<usize>,
        target: usize,
        old_life: bool,
    },
    /// A flight's call is not answered in time.
    Timeout {
        pick: usize,
    },
    Patience {
        pick: usize,
    },
    /// The entry dies with all its flights.
    CrashEntry,
    CutStream {
        pick: usize,
    },
    CrashAgent {
        target: usize,
    },
    /// The agent stops in silence, and another takes its place.
    FreezeAgent {
        target: usize,
    },
    Thaw {
        target: usize,
    },
    CrashEngine {
        target: usize,
    },
    Plan {
        target: usize,
        want: usize,
    },
    /// A leader replaced long ago is heard again.
    OldPlan {
        target: usize,
        pick: usize,
    },
    Leave {
        target: usize,
    },
    /// The next claim's answer is lost, before or after it was recorded.
    LoseClaim {
        recorded: bool,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let target = 0..TARGETS;
    let key = prop::option::weighted(0.5, 0usize..4);
    prop_oneof![
        8 => (any::<usize>(), prop::bool::weighted(0.2))
            .prop_map(|(pick, double)| Step::Deliver { pick, double }),
        3 => (any::<usize>(), any::<bool>()).prop_map(|(pick, late)| Step::Lose { pick, late }),
        2 => (1u64..80).prop_map(|ms| Step::Wait { ms }),
        5 => (1usize..10).prop_map(|rounds| Step::Calm { rounds }),
        6 => (0..MODELS.len(), key, target.clone(), prop::bool::weighted(0.1)).prop_map(
            |(model, key, target, old_life)| Step::Submit { model, key, target, old_life }
        ),
        2 => any::<usize>().prop_map(|pick| Step::Timeout { pick }),
        1 => any::<usize>().prop_map(|pick| Step::Patience { pick }),
        1 => Just(Step::CrashEntry),
        2 => any::<usize>().prop_map(|pick| Step::CutStream { pick }),
        1 => target.clone().prop_map(|target| Step::CrashAgent { target }),
        1 => target.clone().prop_map(|target| Step::FreezeAgent { target }),
        1 => target.clone().prop_map(|target| Step::Thaw { target }),
        1 => target.clone().prop_map(|target| Step::CrashEngine { target }),
        4 => (target.clone(), 0usize..8).prop_map(|(target, want)| Step::Plan { target, want }),
        1 => (target.clone(), any::<usize>())
            .prop_map(|(target, pick)| Step::OldPlan { target, pick }),
        1 => target.prop_map(|target| Step::Leave { target }),
        1 => any::<bool>().prop_map(|recorded| Step::LoseClaim { recorded }),
    ]
}

pub struct GateScript;

impl ReferenceStateMachine for GateScript {
    type State = bool;
    type Transition = Step;

    /// Whether the first engine checks who orders it; the second never does.
    fn init_state() -> BoxedStrategy<bool> {
        any::<bool>().boxed()
    }

    fn transitions(_: &bool) -> BoxedStrategy<Step> {
        step().boxed()
    }

    fn apply(checks: bool, _: &Step) -> bool {
        checks
    }
}

struct Run {
    call: EngineCall,
    pieces: u32,
    live: bool,
}

/// The plainest engine: takes what comes, and is checked at every step.
#[derive(Default)]
struct FakeEngine {
    checks: bool,
    boot: u64,
    fence: OrderSeq,
    run_fence: OrderSeq,
    resident: BTreeMap<ModelName, ResidentInfo>,
    runs: BTreeMap<AttemptId, Run>,
}

impl FakeEngine {
    fn used(&self) -> u64 {
        let models: u64 = self.resident.values().map(|info| info.mib).sum();
        let live = self.runs.values().filter(|run| run.live);
        models + live.map(|run| run.call.kv_mib).sum::<u64>()
    }

    fn order(&mut self, order: &EngineOrder) {
        if self.checks && (order.seq <= self.fence || order.boot != self.boot) {
            return;
        }
        self.fence = self.fence.max(order.seq);
        match &order.act {
            OrderAct::Fence => self.run_fence = self.run_fence.max(order.seq),
            OrderAct::Load(model, mib) => {
                let fresh = ResidentInfo {
                    mib: *mib,
                    ready: false,
                };
                self.resident.entry(model.clone()).or_insert(fresh);
            }
            OrderAct::Unload(model) => {
                self.resident.remove(model);
                for run in self
                    .runs
                    .values_mut()
                    .filter(|run| run.call.model == *model)
                {
                    run.live = false;
                }
            }
        }
    }

    fn report(&self) -> EngineReport {
        let live = self.runs.iter().filter(|(_, run)| run.live);
        EngineReport {
            boot: self.boot,
            fence: self.fence,
            run_fence: self.run_fence,
            resident: self.resident.clone(),
            running: live
                .map(|(id, run)| RunningInfo {
                    attempt: *id,
                    mib: run.call.kv_mib,
                })
                .collect(),
        }
    }

    fn go_on(&mut self) {
        for info in self.resident.values_mut() {
            info.ready = true;
        }
        for run in self.runs.values_mut().filter(|run| run.live) {
            run.pieces += 1;
            run.live = run.call.given + run.pieces < run.call.max_tokens;
        }
    }
}

struct Agent {
    gate: AdmissionController,
    order: Option<(EngineOrder, u64)>,
    report: Option<u64>,
}

#[derive(Clone, Debug)]
enum Call {
    Start(RunRequest),
    Pull(AttemptId, Incarnation, u32),
    Seal(AttemptId, Incarnation),
    Cancel(AttemptId),
}

#[derive(Clone, Debug)]
enum Message {
    ToAgent {
        target: usize,
        flight: usize,
        number: u64,
        call: Call,
    },
    ToFlight {
        flight: usize,
        number: u64,
        word: AttemptStatus,
    },
    Order {
        target: usize,
        life: Incarnation,
        order: EngineOrder,
        sent: u64,
        late: bool,
    },
    Run {
        target: usize,
        life: Incarnation,
        run: RunDispatch,
        sent: u64,
        late: bool,
    },
    AskReport {
        target: usize,
        life: Incarnation,
        asked: u64,
    },
    Report {
        target: usize,
        life: Incarnation,
        asked: u64,
        report: EngineReport,
    },
}

struct Stream {
    target: usize,
    life: Incarnation,
    attempt: AttemptId,
    next: u32,
    /// Closed, but its frozen agent has not seen that yet.
    cut: bool,
}

struct Flying {
    flight: RequestLifecycle,
    model: usize,
    key: Option<usize>,
    prompt: String,
    target: usize,
    old_life: bool,
    number: u64,
    asked: u64,
    waiting: bool,
    trials: BTreeSet<AttemptId>,
    pieces: Vec<String>,
    outcome: Option<RequestOutcome>,
    dropped: bool,
}

pub struct GateWorld {
    now: u64,
    engines: Vec<FakeEngine>,
    agents: Vec<Vec<Agent>>,
    frozen: Vec<BTreeSet<Incarnation>>,
    lives: Vec<Vec<Incarnation>>,
    plans: Vec<Vec<TargetPlan>>,
    bag: Vec<Message>,
    streams: Vec<Stream>,
    flights: Vec<Flying>,
    claims: ClaimStore,
    next_life: u64,
    next_attempt: u64,
    entry: Incarnation,
    position: u64,
    lose_claim: Option<bool>,
    /// Starts of each attempt and of each prompt, over all engines.
    ran: BTreeMap<AttemptId, u32>,
    prompts: BTreeMap<String, u32>,
    told_not_run: BTreeSet<AttemptId>,
}

fn piece(prompt: &str, index: u32) -> String {
    format!("{prompt}#{index};")
}

fn policy(check: OrderCheck) -> AdmissionPolicy {
    AdmissionPolicy {
        capacity_mib: CAPACITY,
        check,
        lease_ms: LEASE_MS,
        queue: QueuePolicy {
            slots: 3,
            batch_headroom: 1,
            refuse_early: true,
            ordered: true,
            limit: 8,
        },
    }
}

impl GateWorld {
    fn new(checks: bool) -> Self {
        let engine = |checks| FakeEngine {
            checks,
            boot: 1,
            ..FakeEngine::default()
        };
        let mut world = Self {
            now: 1000,
            engines: vec![engine(checks), engine(false)],
            agents: vec![Vec::new(), Vec::new()],
            frozen: vec![BTreeSet::new(); TARGETS],
            lives: vec![Vec::new(); TARGETS],
            plans: vec![Vec::new(); TARGETS],
            bag: Vec::new(),
            streams: Vec::new(),
            flights: Vec::new(),
            claims: ClaimStore::default(),
            next_life: 1,
            next_attempt: 1,
            entry: Incarnation(1),
            position: 1,
            lose_claim: None,
            ran: BTreeMap::new(),
            prompts: BTreeMap::new(),
            told_not_run: BTreeSet::new(),
        };
        for target in 0..TARGETS {
            world.start_agent(target);
            world.plan(target, 3);
        }
        world
    }

    fn start_agent(&mut self, target: usize) {
        self.next_life += 1;
        let life = Incarnation(self.next_life);
        let check = match self.engines[target].checks {
            true => OrderCheck::Fenced,
            false => OrderCheck::LateBound(LATE_MS),
        };
        let gate = AdmissionController::new(life, policy(check), BTreeSet::new(), self.now);
        self.lives[target].push(life);
        self.agents[target].push(Agent {
            gate,
            order: None,
            report: None,
        });
    }

    fn agent(&mut self, target: usize, life: Incarnation) -> Option<&mut Agent> {
        if self.frozen[target].contains(&life) {
            return None;
        }
        let agents = self.agents[target].iter_mut();
        agents
            .into_iter()
            .find(|agent| agent.gate.incarnation() == life)
    }

    fn newest(&self, target: usize) -> Incarnation {
        *self.lives[target].last().unwrap()
    }

    fn plan(&mut self, target: usize, want: usize) {
        self.position += 1;
        let models = MODELS
            .iter()
            .enumerate()
            .filter(|(at, _)| want & (1 << at) != 0);
        let want = models.map(|(_, (model, mib))| (ModelName::from(*model), *mib));
        let plan = TargetPlan {
            term: Term(1 + self.position / 10),
            position: Position(self.position),
            incarnation: self.newest(target),
            desired_models: Some(want.collect()),
            lease_ms: LEASE_MS,
        };
        self.plans[target].push(plan.clone());
        let (now, life) = (self.now, plan.incarnation);
        if let Some(agent) = self.agent(target, life) {
            agent.gate.on_plan(now, plan);
        }
    }

    /// The newest plan again: what a beat brings.
    fn beat(&mut self, target: usize) {
        let life = self.newest(target);
        let now = self.now;
        let Some(mut plan) = self.plans[target].last().cloned() else {
            return;
        };
        let known = plan.incarnation == life;
        plan.incarnation = life;
        plan.desired_models = plan.desired_models.filter(|_| known);
        if let Some(agent) = self.agent(target, life) {
            agent.gate.on_plan(now, plan);
        }
    }

    fn pump(&mut self, target: usize) {
        let now = self.now;
        let frozen = self.frozen[target].clone();
        let mut sent = Vec::new();
        for agent in &mut self.agents[target] {
            let life = agent.gate.incarnation();
            if frozen.contains(&life) {
                continue;
            }
            while let Some(run) = agent.gate.next_run(now) {
                sent.push(Message::Run {
                    target,
                    life,
                    run,
                    sent: now,
                    late: false,
                });
            }
            if let Some(order) = agent.gate.next_order(now) {
                agent.order = Some((order.clone(), now));
                sent.push(Message::Order {
                    target,
                    life,
                    order,
                    sent: now,
                    late: false,
                });
            }
            if agent.report.is_none_or(|asked| asked + CALL_MS < now) {
                agent.report = Some(now);
                sent.push(Message::AskReport {
                    target,
                    life,
                    asked: now,
                });
            }
        }
        self.bag.append(&mut sent);
    }

    /// Calls that were not answered in time.
    fn time_out(&mut self) {
        let now = self.now;
        let mut lost = Vec::new();
        for (target, agents) in self.agents.iter_mut().enumerate() {
            for agent in agents {
                let life = agent.gate.incarnation();
                let thawed = !self.frozen[target].contains(&life);
                let due = |(_, sent): &mut (EngineOrder, u64)| thawed && *sent + CALL_MS < now;
                if let Some((order, _)) = agent.order.take_if(due) {
                    agent.gate.order_closed(now, &order);
                    lost.push(order.seq);
                }
            }
        }
        for message in &mut self.bag {
            if let Message::Order { order, late, .. } = message {
                *late |= lost.contains(&order.seq);
            }
        }
        for at in 0..self.flights.len() {
            if self.flights[at].waiting && self.flights[at].asked + 2 * CALL_MS < now {
                self.event(at, RequestEvent::NoReply);
            }
        }
    }

    fn calm(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.now += 10;
            self.time_out();
            for target in 0..TARGETS {
                self.beat(target);
                self.pump(target);
            }
            for message in std::mem::take(&mut self.bag) {
                self.deliver(message);
            }
            for target in 0..TARGETS {
                self.engines[target].go_on();
            }
            self.read_streams();
            self.check();
        }
    }

    fn read_streams(&mut self) {
        for mut stream in std::mem::take(&mut self.streams) {
            let now = self.now;
            if stream.cut {
                self.lose_stream(stream);
                continue;
            }
            let engine = &self.engines[stream.target];
            let Some(run) = engine.runs.get(&stream.attempt) else {
                continue;
            };
            let (from, to) = (stream.next, run.pieces);
            let whole = run.call.given + run.pieces >= run.call.max_tokens;
            let (live, prompt, given) = (run.live, run.call.prompt.clone(), run.call.given);
            let Some(agent) = self.agent(stream.target, stream.life) else {
                self.streams.push(stream);
                continue;
            };
            // A resumed stream repeats the last piece.
            for index in from.saturating_sub(1)..to {
                let text = piece(&prompt, given + index);
                agent
                    .gate
                    .on_run_event(now, stream.attempt, RunEvent::Piece { index, text });
            }
            stream.next = to;
            match (whole, live) {
                (true, _) => {
                    agent
                        .gate
                        .on_run_event(now, stream.attempt, RunEvent::Ended);
                }
                (false, true) => self.streams.push(stream),
                (false, false) => self.lose_stream(stream),
            }
        }
    }

    fn lose_stream(&mut self, stream: Stream) {
        let now = self.now;
        let (target, life, attempt) = (stream.target, stream.life, stream.attempt);
        let Some(agent) = self.agent(target, life) else {
            return self.streams.push(Stream {
                cut: true,
                ..stream
            });
        };
        let Some(from) = agent.gate.on_run_event(now, attempt, RunEvent::Lost) else {
            return;
        };
        let known = self.engines[target]
            .runs
            .get(&attempt)
            .is_some_and(|run| run.live);
        match known {
            true => self.streams.push(Stream {
                target,
                life,
                attempt,
                next: from,
                cut: false,
            }),
            false => {
                if let Some(agent) = self.agent(target, life) {
                    agent.gate.on_run_event(now, attempt, RunEvent::Refused);
                }
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::ToAgent {
                target,
                flight,
                number,
                call,
            } => {
                let life = match &call {
                    Call::Start(ask) => ask.incarnation,
                    Call::Pull(_, life, _) | Call::Seal(_, life) => *life,
                    Call::Cancel(_) => self.newest(target),
                };
                // A call goes to the address of that life, or of the newest one.
                let address = match self.agents[target]
                    .iter()
                    .any(|a| a.gate.incarnation() == life)
                {
                    true => life,
                    false => self.newest(target),
                };
                let Some(agent) = self.agent(target, address) else {
                    return;
                };
                let word = match call {
                    Call::Start(ask) => agent.gate.start(now, ask),
                    Call::Pull(attempt, life, from) => agent.gate.pull(now, attempt, life, from),
                    Call::Seal(attempt, life) => agent.gate.seal(now, attempt, life),
                    Call::Cancel(attempt) => {
                        if agent.gate.cancel(now, attempt) {
                            self.cancel_run(target, address, attempt);
                        }
                        return;
                    }
                };
                self.bag.push(Message::ToFlight {
                    flight,
                    number,
                    word,
                });
            }
            Message::ToFlight {
                flight,
                number,
                word,
            } => {
                let known = &self.flights[flight];
                if known.waiting && known.number == number {
                    self.event(flight, RequestEvent::Status(word));
                }
            }
            Message::Order {
                target,
                life,
                order,
                sent,
                late,
            } => {
                if !self.engines[target].checks && sent + LATE_MS < now {
                    return;
                }
                self.engines[target].order(&order);
                self.check();
                if let Some(agent) = self.agent(target, life).filter(|_| !late)
                    && agent.order.take().is_some()
                {
                    agent.gate.order_closed(now, &order);
                }
            }
            Message::Run {
                target,
                life,
                run,
                sent,
                late,
            } => self.deliver_run(target, life, run, sent, late),
            Message::AskReport {
                target,
                life,
                asked,
            } => {
                let report = self.engines[target].report();
                self.bag.push(Message::Report {
                    target,
                    life,
                    asked,
                    report,
                });
            }
            Message::Report {
                target,
                life,
                asked,
                report,
            } => {
                if let Some(agent) = self.agent(target, life)
                    && agent.report == Some(asked)
                {
                    agent.report = None;
                    agent.gate.on_report(&report, asked);
                }
            }
        }
    }

    fn deliver_run(
        &mut self,
        target: usize,
        life: Incarnation,
        run: RunDispatch,
        sent: u64,
        late: bool,
    ) {
        let now = self.now;
        let stream = Stream {
            target,
            life,
            attempt: run.attempt,
            next: 0,
            cut: false,
        };
        let engine = &mut self.engines[target];
        if !engine.checks && sent + LATE_MS < now {
            if !late {
                self.lose_stream(stream);
            }
            return;
        }
        let ready = engine
            .resident
            .get(&run.call.model)
            .is_some_and(|info| info.ready);
        let stale = run.fence < engine.run_fence || run.boot != engine.boot;
        let fenced = engine.checks && stale;
        // It knows a run again only while it goes on.
        let known = engine.runs.get(&run.attempt).is_some_and(|run| run.live);
        let accepted = ready && !fenced && !known;
        if accepted {
            *self.ran.entry(run.attempt).or_default() += 1;
            *self.prompts.entry(run.call.prompt.clone()).or_default() += 1;
            let fresh = Run {
                call: run.call.clone(),
                pieces: 0,
                live: true,
            };
            engine.runs.insert(run.attempt, fresh);
            assert!(
                !self.told_not_run.contains(&run.attempt),
                "ran after its caller was told that it did not run"
            );
            self.check();
        }
        let frozen = self.frozen[target].contains(&life);
        let alive = self.agent(target, life).is_some();
        if late || !(frozen || alive) {
            return;
        }
        match accepted || frozen {
            true => self.streams.push(Stream {
                cut: !accepted,
                ..stream
            }),
            false => {
                if let Some(agent) = self.agent(target, life) {
                    agent.gate.on_run_event(now, run.attempt, RunEvent::Refused);
                }
            }
        }
    }

    fn cancel_run(&mut self, target: usize, life: Incarnation, attempt: AttemptId) {
        let now = self.now;
        let Some(run) = self.engines[target].runs.get_mut(&attempt) else {
            return;
        };
        run.live = false;
        self.streams.retain(|stream| stream.attempt != attempt);
        if let Some(agent) = self.agent(target, life) {
            agent.gate.on_run_event(now, attempt, RunEvent::Cancelled);
        }
    }

    /// Loses a message; the sender sees its connection close. A late one may yet arrive.
    fn lose(&mut self, at: usize, late: bool) {
        let now = self.now;
        let mut message = self.bag.swap_remove(at);
        match &mut message {
            Message::Order {
                target,
                life,
                order,
                late: ghost,
                ..
            } if !*ghost => {
                *ghost = true;
                let (target, life, order) = (*target, *life, order.clone());
                if let Some(agent) = self.agent(target, life)
                    && agent.order.take().is_some()
                {
                    agent.gate.order_closed(now, &order);
                }
            }
            Message::Run {
                target,
                life,
                run,
                late: ghost,
                ..
            } if !*ghost => {
                *ghost = true;
                let stream = Stream {
                    target: *target,
                    life: *life,
                    attempt: run.attempt,
                    next: 0,
                    cut: false,
                };
                self.lose_stream(stream);
            }
            _ => {}
        }
        if late {
            self.bag.push(message);
        }
    }

    fn submit(&mut self, model: usize, key: Option<usize>, target: usize, old_life: bool) {
        let number = self.flights.len();
        let prompt = match key {
            Some(key) => format!("key{key}"),
            None => format!("ask{number}"),
        };
        let policy = AttemptPolicy {
            max_attempts: 3,
            max_timeouts: 2,
            at_most_once: key.is_some(),
        };
        self.flights.push(Flying {
            flight: RequestLifecycle::new(policy),
            model,
            key,
            prompt,
            target,
            old_life,
            number: 0,
            asked: 0,
            waiting: false,
            trials: BTreeSet::new(),
            pieces: Vec::new(),
            outcome: None,
            dropped: false,
        });
        self.drive(number);
    }

    fn event(&mut self, at: usize, event: RequestEvent) {
        let flying = &mut self.flights[at];
        if flying.dropped || flying.outcome.is_some() {
            return;
        }
        flying.waiting = false;
        let pieces = flying.flight.on(event);
        flying.pieces.extend(pieces);
        self.drive(at);
    }

    /// Performs steps until one waits for an agent.
    fn drive(&mut self, at: usize) {
        loop {
            let event = match self.flights[at].flight.step() {
                RequestStep::Choose { .. } => RequestEvent::Chosen(Some(self.choose(at))),
                RequestStep::Claim(trial) => self.claim(at, &trial),
                RequestStep::Settle(trial, end) => self.settle(at, &trial, end),
                RequestStep::Start(trial) => return self.call_start(at, &trial),
                RequestStep::Pull(trial, offset) => {
                    let call = Call::Pull(trial.id, trial.incarnation, offset);
                    return self.call(at, &trial, call);
                }
                RequestStep::Seal(trial) => {
                    let call = Call::Seal(trial.id, trial.incarnation);
                    return self.call(at, &trial, call);
                }
                RequestStep::Cancel(trial) => {
                    self.call(at, &trial, Call::Cancel(trial.id));
                    RequestEvent::Cancelled
                }
                RequestStep::Finish(outcome) => return self.finish(at, outcome),
            };
            let flying = &mut self.flights[at];
            flying.waiting = false;
            let pieces = flying.flight.on(event);
            flying.pieces.extend(pieces);
        }
    }

    fn choose(&mut self, at: usize) -> TargetAttempt {
        let number = self.next_attempt;
        self.next_attempt += 1;
        let flying = &mut self.flights[at];
        let target = flying.target;
        flying.target = (target + 1) % TARGETS;
        let lives = &self.lives[target];
        let incarnation = match flying.old_life {
            true => lives[0],
            false => *lives.last().unwrap(),
        };
        TargetAttempt {
            id: AttemptId {
                entry: self.entry,
                number,
            },
            target: TargetName(target.to_string()),
            incarnation,
        }
    }

    fn claim_key(&self, at: usize) -> ClaimKey {
        ClaimKey {
            partner: PartnerName::from("p"),
            key: CallKey(self.flights[at].prompt.clone()),
        }
    }

    fn claim(&mut self, at: usize, trial: &TargetAttempt) -> RequestEvent {
        let ask = ClaimRequest {
            key: self.claim_key(at),
            digest: [0; 32],
            attempt: trial.id,
            target: trial.target.clone(),
            incarnation: trial.incarnation,
            key_created_ms: None,
        };
        self.position += 1;
        match self.lose_claim.take() {
            Some(false) => RequestEvent::NoReply,
            lost => {
                let answer = self.claims.claim(Position(self.position), self.now, &ask);
                match lost {
                    Some(_) => RequestEvent::NoReply,
                    None => RequestEvent::Claimed(answer),
                }
            }
        }
    }

    fn settle(&mut self, at: usize, trial: &TargetAttempt, end: Settlement) -> RequestEvent {
        let key = self.claim_key(at);
        let end = match end {
            Settlement::Done { .. } => Settlement::Done {
                answer: Some(self.flights[at].pieces.concat()),
            },
            end => end,
        };
        match self.lose_claim.take() {
            Some(false) => RequestEvent::NoReply,
            lost => {
                let settled = self.claims.settle(&key, trial.id, &end);
                match settled && lost.is_none() {
                    true => RequestEvent::Settled,
                    false => RequestEvent::NoReply,
                }
            }
        }
    }

    fn call_start(&mut self, at: usize, trial: &TargetAttempt) {
        let flying = &self.flights[at];
        let ask = RunRequest {
            attempt: trial.id,
            incarnation: trial.incarnation,
            row: RowId::from("row"),
            version: Position(1),
            urgency: Urgency::Interactive,
            weight: 1,
            at_most_once: flying.key.is_some(),
            patience_ms: 400,
            call: EngineCall {
                model: ModelName::from(MODELS[flying.model].0),
                prompt: flying.prompt.clone(),
                path: None,
                max_tokens: PIECES,
                given: flying.flight.delivered(),
                kv_mib: KV,
            },
            content: ContentDigest([7; ContentDigest::LEN]),
        };
        self.call(at, trial, Call::Start(ask));
    }

    fn call(&mut self, at: usize, trial: &TargetAttempt, call: Call) {
        let now = self.now;
        let flying = &mut self.flights[at];
        flying.number += 1;
        flying.asked = now;
        flying.waiting = true;
        flying.trials.insert(trial.id);
        let message = Message::ToAgent {
            target: trial.target.as_str().parse().unwrap(),
            flight: at,
            number: flying.number,
            call,
        };
        self.bag.push(message);
    }

    fn finish(&mut self, at: usize, outcome: RequestOutcome) {
        let flying = &mut self.flights[at];
        let whole: String = (0..PIECES)
            .map(|index| piece(&flying.prompt, index))
            .collect();
        match &outcome {
            RequestOutcome::Done => {
                assert_eq!(
                    flying.pieces.concat(),
                    whole,
                    "a whole answer is not its own"
                );
            }
            RequestOutcome::Replayed(Some(answer)) => assert_eq!(*answer, whole),
            RequestOutcome::NotRun { .. } => {
                assert!(
                    flying.pieces.is_empty(),
                    "not run, but a part was delivered"
                );
                for trial in &flying.trials {
                    assert!(
                        !self.ran.contains_key(trial),
                        "told not run, but it had run"
                    );
                    self.told_not_run.insert(*trial);
                }
            }
            RequestOutcome::Replayed(None) | RequestOutcome::Unknown(_) => {}
        }
        flying.outcome = Some(outcome);
    }

    fn check(&self) {
        for engine in &self.engines {
            assert!(engine.used() <= CAPACITY, "memory is overcommitted");
        }
        for (attempt, starts) in &self.ran {
            assert!(*starts <= 1, "attempt {attempt} ran {starts} times");
        }
        for (prompt, starts) in &self.prompts {
            let once = prompt.starts_with("key");
            assert!(
                !once || *starts <= 1,
                "{prompt} may not be repeated and ran {starts} times"
            );
        }
    }

    fn crash_agent(&mut self, target: usize) {
        let life = self.newest(target);
        self.agents[target].retain(|agent| agent.gate.incarnation() != life);
        self.streams.retain(|stream| stream.life != life);
        self.frozen[target].remove(&life);
        self.start_agent(target);
    }

    fn crash_engine(&mut self, target: usize) {
        let engine = &mut self.engines[target];
        engine.boot += 1;
        engine.fence = OrderSeq::default();
        engine.run_fence = OrderSeq::default();
        engine.resident.clear();
        engine.runs.clear();
        let (here, rest): (Vec<Stream>, Vec<Stream>) = std::mem::take(&mut self.streams)
            .into_iter()
            .partition(|stream| stream.target == target);
        self.streams = rest;
        for stream in here {
            self.lose_stream(stream);
        }
    }
}

pub struct GateTest;

impl StateMachineTest for GateTest {
    type SystemUnderTest = GateWorld;
    type Reference = GateScript;

    fn init_test(checks: &bool) -> GateWorld {
        let mut world = GateWorld::new(*checks);
        world.calm(35);
        world
    }

    fn apply(mut world: GateWorld, _: &bool, step: Step) -> GateWorld {
        match step {
            Step::Deliver { pick, double } if !world.bag.is_empty() => {
                let at = pick % world.bag.len();
                // A connection does not double what goes to an engine.
                let twice = double && !matches!(world.bag[at], Message::Run { .. });
                let message = match twice {
                    true => world.bag[at].clone(),
                    false => world.bag.swap_remove(at),
                };
                world.deliver(message);
            }
            Step::Lose { pick, late } if !world.bag.is_empty() => {
                let at = pick % world.bag.len();
                world.lose(at, late);
            }
            Step::Deliver { .. } | Step::Lose { .. } => {}
            Step::Wait { ms } => {
                world.now += ms;
                world.time_out();
                for target in 0..TARGETS {
                    world.pump(target);
                }
            }
            Step::Calm { rounds } => world.calm(rounds),
            Step::Submit {
                model,
                key,
                target,
                old_life,
            } => world.submit(model, key, target, old_life),
            Step::Timeout { pick } if !world.flights.is_empty() => {
                let at = pick % world.flights.len();
                if world.flights[at].waiting {
                    world.event(at, RequestEvent::NoReply);
                }
            }
            Step::Patience { pick } if !world.flights.is_empty() => {
                let at = pick % world.flights.len();
                world.event(at, RequestEvent::DeadlinePassed);
            }
            Step::Timeout { .. } | Step::Patience { .. } => {}
            Step::CrashEntry => {
                for flying in &mut world.flights {
                    flying.dropped = true;
                    flying.waiting = false;
                }
                world.entry = Incarnation(world.entry.0 + 1);
                world.next_attempt = 1;
            }
            Step::CutStream { pick } if !world.streams.is_empty() => {
                let at = pick % world.streams.len();
                let stream = world.streams.swap_remove(at);
                world.lose_stream(stream);
            }
            Step::CutStream { .. } => {}
            Step::CrashAgent { target } => world.crash_agent(target),
            Step::FreezeAgent { target } => {
                let life = world.newest(target);
                world.frozen[target].insert(life);
                world.start_agent(target);
            }
            Step::Thaw { target } => world.frozen[target].clear(),
            Step::CrashEngine { target } => world.crash_engine(target),
            Step::Plan { target, want } => world.plan(target, want),
            Step::OldPlan { target, pick } => {
                let plans = &world.plans[target];
                let mut plan = plans[pick % plans.len()].clone();
                let (now, life) = (world.now, world.newest(target));
                let newest = plans.last().map(|plan| plan.position);
                let old = newest > Some(plan.position);
                plan.incarnation = life;
                if let Some(agent) = world.agent(target, life)
                    && agent.gate.plan_position() >= Position(1)
                {
                    let taken = agent.gate.on_plan(now, plan.clone());
                    let acts = agent.gate.plan_position();
                    assert!(
                        !(old && taken) || acts == plan.position,
                        "went back to an old plan"
                    );
                }
            }
            Step::Leave { target } => {
                let life = world.newest(target);
                if let Some(agent) = world.agent(target, life) {
                    agent.gate.drain();
                }
            }
            Step::LoseClaim { recorded } => world.lose_claim = Some(recorded),
        }
        world.check();
        world
    }

    fn teardown(mut world: GateWorld, _: bool) {
        // When all faults end, every flight must end, and new work must be done.
        world.lose_claim = None;
        for target in 0..TARGETS {
            world.frozen[target].clear();
            world.crash_agent(target);
            world.plan(target, 1);
        }
        world.calm(80);
        let first = world.flights.len();
        world.submit(0, None, 0, false);
        world.calm(60);
        for flying in world.flights.iter().filter(|flying| !flying.dropped) {
            assert!(flying.outcome.is_some(), "a request has no outcome");
        }
        let last = &world.flights[first].outcome;
        assert_eq!(
            *last,
            Some(RequestOutcome::Done),
            "no progress after all faults ended"
        );
    }
}

prop_state_machine! {
    #![proptest_config(super::config(4000))]

    #[test]
    fn outcomes_memory_and_runs_are_true(sequential 1..100 => GateTest);
}
