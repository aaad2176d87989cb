//! Requests, agents and engines under lost, late, duplicated and reordered calls, crashes of
//! entries, agents and engines, freezes of agents, and late orders and plans of replaced agents
//! and leaders.

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
const CAPACITY_MIB: u64 = 100;
const MODELS: [(&str, u64); 3] = [("a", 40), ("b", 40), ("c", 30)];
const KV_MIB: u64 = 15;
const LEASE_MS: u64 = 100;
/// Longest delay of a call to an engine that does not check orders, in milliseconds.
const MAX_CALL_DELAY_MS: u64 = 60;
const CALL_TIMEOUT_MS: u64 = 30;
const PIECES: u32 = 10;
/// Software version of all engines.
const VERSION: &str = "v1";

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
    FaultFree {
        rounds: usize,
    },
    Submit {
        model: usize,
        key: Option<usize>,
        target: usize,
        old_incarnation: bool,
    },
    /// A call of a request gets no reply in time.
    Timeout {
        pick: usize,
    },
    DeadlinePassed {
        pick: usize,
    },
    /// The entry crashes and drops all its requests.
    CrashEntry,
    CutStream {
        pick: usize,
    },
    CrashAgent {
        target: usize,
    },
    /// The agent freezes, and another one starts in its place.
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
    /// A plan of a replaced leader arrives late.
    OldPlan {
        target: usize,
        pick: usize,
    },
    Drain {
        target: usize,
    },
    /// The next call on a claim gets no reply; with `recorded` it took effect.
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
        5 => (1usize..10).prop_map(|rounds| Step::FaultFree { rounds }),
        6 => (0..MODELS.len(), key, target.clone(), prop::bool::weighted(0.1)).prop_map(
            |(model, key, target, old_incarnation)| Step::Submit { model, key, target, old_incarnation }
        ),
        2 => any::<usize>().prop_map(|pick| Step::Timeout { pick }),
        1 => any::<usize>().prop_map(|pick| Step::DeadlinePassed { pick }),
        1 => Just(Step::CrashEntry),
        2 => any::<usize>().prop_map(|pick| Step::CutStream { pick }),
        1 => target.clone().prop_map(|target| Step::CrashAgent { target }),
        1 => target.clone().prop_map(|target| Step::FreezeAgent { target }),
        1 => target.clone().prop_map(|target| Step::Thaw { target }),
        1 => target.clone().prop_map(|target| Step::CrashEngine { target }),
        4 => (target.clone(), 0usize..8).prop_map(|(target, want)| Step::Plan { target, want }),
        1 => (target.clone(), any::<usize>())
            .prop_map(|(target, pick)| Step::OldPlan { target, pick }),
        1 => target.prop_map(|target| Step::Drain { target }),
        1 => any::<bool>().prop_map(|recorded| Step::LoseClaim { recorded }),
    ]
}

pub struct AdmissionScript;

impl ReferenceStateMachine for AdmissionScript {
    type State = bool;
    type Transition = Step;

    /// Draws whether the first engine checks fences of orders; the second never does.
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

/// A simple engine whose memory use is checked at every step. With `checks` it ignores stale
/// orders.
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

    fn process(&self) -> EngineProcess {
        EngineProcess {
            boot: self.boot,
            version: Some(VersionName::from(VERSION)),
        }
    }

    fn report(&self) -> EngineReport {
        let live = self.runs.iter().filter(|(_, run)| run.live);
        EngineReport {
            boot: self.boot,
            fence: self.fence,
            run_fence: self.run_fence,
            version: Some(VERSION.to_owned()),
            resident: self.resident.clone(),
            running: live
                .map(|(id, run)| RunningInfo {
                    attempt: *id,
                    mib: run.call.kv_mib,
                })
                .collect(),
        }
    }

    fn make_progress(&mut self) {
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
    controller: AdmissionController,
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
        request: usize,
        number: u64,
        call: Call,
    },
    ToRequest {
        request: usize,
        number: u64,
        status: AttemptStatus,
    },
    Order {
        target: usize,
        incarnation: Incarnation,
        order: EngineOrder,
        sent: u64,
        late: bool,
    },
    Run {
        target: usize,
        incarnation: Incarnation,
        run: RunDispatch,
        sent: u64,
        late: bool,
    },
    ReportRequest {
        target: usize,
        incarnation: Incarnation,
        requested_at: u64,
    },
    Report {
        target: usize,
        incarnation: Incarnation,
        requested_at: u64,
        report: EngineReport,
    },
}

struct Stream {
    target: usize,
    incarnation: Incarnation,
    attempt: AttemptId,
    next: u32,
    /// Whether it closed while its agent was frozen and has not seen that yet.
    cut: bool,
    /// Whether the agent knows which process it comes from.
    opened: bool,
}

struct ActiveRequest {
    lifecycle: RequestLifecycle,
    model: usize,
    key: Option<usize>,
    prompt: String,
    target: usize,
    old_incarnation: bool,
    number: u64,
    requested_at: u64,
    waiting: bool,
    attempts: BTreeSet<AttemptId>,
    pieces: Vec<String>,
    outcome: Option<RequestOutcome>,
    dropped: bool,
}

pub struct AdmissionWorld {
    now: u64,
    engines: Vec<FakeEngine>,
    agents: Vec<Vec<Agent>>,
    frozen: Vec<BTreeSet<Incarnation>>,
    incarnations: Vec<Vec<Incarnation>>,
    plans: Vec<Vec<TargetPlan>>,
    in_flight: Vec<Message>,
    streams: Vec<Stream>,
    requests: Vec<ActiveRequest>,
    claims: ClaimStore,
    next_incarnation: u64,
    next_attempt: u64,
    entry: Incarnation,
    position: u64,
    lose_claim: Option<bool>,
    /// Number of starts of each attempt, and below of each prompt, over all engines.
    attempt_starts: BTreeMap<AttemptId, u32>,
    prompt_starts: BTreeMap<String, u32>,
    reported_not_run: BTreeSet<AttemptId>,
}

fn piece(prompt: &str, index: u32) -> String {
    format!("{prompt}#{index};")
}

fn policy(check: OrderCheck) -> AdmissionPolicy {
    AdmissionPolicy {
        capacity_mib: CAPACITY_MIB,
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

impl AdmissionWorld {
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
            incarnations: vec![Vec::new(); TARGETS],
            plans: vec![Vec::new(); TARGETS],
            in_flight: Vec::new(),
            streams: Vec::new(),
            requests: Vec::new(),
            claims: ClaimStore::default(),
            next_incarnation: 1,
            next_attempt: 1,
            entry: Incarnation(1),
            position: 1,
            lose_claim: None,
            attempt_starts: BTreeMap::new(),
            prompt_starts: BTreeMap::new(),
            reported_not_run: BTreeSet::new(),
        };
        for target in 0..TARGETS {
            world.start_agent(target);
            world.plan(target, 3);
        }
        world
    }

    fn start_agent(&mut self, target: usize) {
        self.next_incarnation += 1;
        let incarnation = Incarnation(self.next_incarnation);
        let check = match self.engines[target].checks {
            true => OrderCheck::Fenced,
            false => OrderCheck::LateBound(MAX_CALL_DELAY_MS),
        };
        let controller =
            AdmissionController::new(incarnation, policy(check), BTreeSet::new(), self.now);
        self.incarnations[target].push(incarnation);
        self.agents[target].push(Agent {
            controller,
            order: None,
            report: None,
        });
    }

    fn agent(&mut self, target: usize, incarnation: Incarnation) -> Option<&mut Agent> {
        if self.frozen[target].contains(&incarnation) {
            return None;
        }
        let agents = self.agents[target].iter_mut();
        agents
            .into_iter()
            .find(|agent| agent.controller.incarnation() == incarnation)
    }

    fn newest(&self, target: usize) -> Incarnation {
        *self.incarnations[target].last().unwrap()
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
        let (now, incarnation) = (self.now, plan.incarnation);
        if let Some(agent) = self.agent(target, incarnation) {
            agent.controller.on_plan(now, plan);
        }
    }

    /// Applies the newest plan again, as the leader does on a heartbeat.
    fn resend_plan(&mut self, target: usize) {
        let incarnation = self.newest(target);
        let now = self.now;
        let Some(mut plan) = self.plans[target].last().cloned() else {
            return;
        };
        let known = plan.incarnation == incarnation;
        plan.incarnation = incarnation;
        plan.desired_models = plan.desired_models.filter(|_| known);
        if let Some(agent) = self.agent(target, incarnation) {
            agent.controller.on_plan(now, plan);
        }
    }

    fn pump(&mut self, target: usize) {
        let now = self.now;
        let frozen = self.frozen[target].clone();
        let mut sent = Vec::new();
        for agent in &mut self.agents[target] {
            let incarnation = agent.controller.incarnation();
            if frozen.contains(&incarnation) {
                continue;
            }
            while let Some(run) = agent.controller.next_run(now) {
                sent.push(Message::Run {
                    target,
                    incarnation,
                    run,
                    sent: now,
                    late: false,
                });
            }
            if let Some(order) = agent.controller.next_order(now) {
                agent.order = Some((order.clone(), now));
                sent.push(Message::Order {
                    target,
                    incarnation,
                    order,
                    sent: now,
                    late: false,
                });
            }
            if agent
                .report
                .is_none_or(|requested_at| requested_at + CALL_TIMEOUT_MS < now)
            {
                agent.report = Some(now);
                sent.push(Message::ReportRequest {
                    target,
                    incarnation,
                    requested_at: now,
                });
            }
        }
        self.in_flight.append(&mut sent);
    }

    /// Ends calls that got no reply in time.
    fn expire_calls(&mut self) {
        let now = self.now;
        let mut lost = Vec::new();
        for (target, agents) in self.agents.iter_mut().enumerate() {
            for agent in agents {
                let incarnation = agent.controller.incarnation();
                let thawed = !self.frozen[target].contains(&incarnation);
                let due =
                    |(_, sent): &mut (EngineOrder, u64)| thawed && *sent + CALL_TIMEOUT_MS < now;
                if let Some((order, _)) = agent.order.take_if(due) {
                    agent.controller.order_closed(now, &order);
                    lost.push(order.seq);
                }
            }
        }
        for message in &mut self.in_flight {
            if let Message::Order { order, late, .. } = message {
                *late |= lost.contains(&order.seq);
            }
        }
        for at in 0..self.requests.len() {
            if self.requests[at].waiting
                && self.requests[at].requested_at + 2 * CALL_TIMEOUT_MS < now
            {
                self.event(at, RequestEvent::NoReply);
            }
        }
    }

    fn run_fault_free(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.now += 10;
            self.expire_calls();
            for target in 0..TARGETS {
                self.resend_plan(target);
                self.pump(target);
            }
            for message in std::mem::take(&mut self.in_flight) {
                self.deliver(message);
            }
            for target in 0..TARGETS {
                self.engines[target].make_progress();
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
            let process = Some(engine.process());
            let Some(agent) = self.agent(stream.target, stream.incarnation) else {
                self.streams.push(stream);
                continue;
            };
            if !std::mem::replace(&mut stream.opened, true) {
                agent
                    .controller
                    .on_run_event(now, stream.attempt, RunEvent::Opened(process));
            }
            // A resumed stream repeats its last piece.
            for index in from.saturating_sub(1)..to {
                let text = piece(&prompt, given + index);
                agent
                    .controller
                    .on_run_event(now, stream.attempt, RunEvent::Piece { index, text });
            }
            stream.next = to;
            match (whole, live) {
                (true, _) => {
                    agent
                        .controller
                        .on_run_event(now, stream.attempt, RunEvent::Ended);
                }
                (false, true) => self.streams.push(stream),
                (false, false) => self.lose_stream(stream),
            }
        }
    }

    fn lose_stream(&mut self, stream: Stream) {
        let now = self.now;
        let (target, incarnation, attempt) = (stream.target, stream.incarnation, stream.attempt);
        let Some(agent) = self.agent(target, incarnation) else {
            return self.streams.push(Stream {
                cut: true,
                ..stream
            });
        };
        let Some(from) = agent.controller.on_run_event(now, attempt, RunEvent::Lost) else {
            return;
        };
        let known = self.engines[target]
            .runs
            .get(&attempt)
            .is_some_and(|run| run.live);
        match known {
            true => self.streams.push(Stream {
                target,
                incarnation,
                attempt,
                next: from,
                opened: false,
                cut: false,
            }),
            false => {
                if let Some(agent) = self.agent(target, incarnation) {
                    agent
                        .controller
                        .on_run_event(now, attempt, RunEvent::Refused);
                }
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::ToAgent {
                target,
                request,
                number,
                call,
            } => {
                let incarnation = match &call {
                    Call::Start(run_request) => run_request.incarnation,
                    Call::Pull(_, incarnation, _) | Call::Seal(_, incarnation) => *incarnation,
                    Call::Cancel(_) => self.newest(target),
                };
                // A call goes to the address of that incarnation, or of the newest one.
                let address = match self.agents[target]
                    .iter()
                    .any(|a| a.controller.incarnation() == incarnation)
                {
                    true => incarnation,
                    false => self.newest(target),
                };
                let Some(agent) = self.agent(target, address) else {
                    return;
                };
                let status = match call {
                    Call::Start(run_request) => agent.controller.start(now, run_request),
                    Call::Pull(id, owner, from) => agent.controller.pull(now, id, owner, from),
                    Call::Seal(id, owner) => agent.controller.seal(now, id, owner),
                    Call::Cancel(attempt) => {
                        if agent.controller.cancel(now, attempt) {
                            self.cancel_run(target, address, attempt);
                        }
                        return;
                    }
                };
                self.in_flight.push(Message::ToRequest {
                    request,
                    number,
                    status,
                });
            }
            Message::ToRequest {
                request,
                number,
                status,
            } => {
                let known = &self.requests[request];
                if known.waiting && known.number == number {
                    self.event(request, RequestEvent::Status(status));
                }
            }
            Message::Order {
                target,
                incarnation,
                order,
                sent,
                late,
            } => {
                if !self.engines[target].checks && sent + MAX_CALL_DELAY_MS < now {
                    return;
                }
                self.engines[target].order(&order);
                self.check();
                if let Some(agent) = self.agent(target, incarnation).filter(|_| !late)
                    && agent.order.take().is_some()
                {
                    agent.controller.order_closed(now, &order);
                }
            }
            Message::Run {
                target,
                incarnation,
                run,
                sent,
                late,
            } => self.deliver_run(target, incarnation, run, sent, late),
            Message::ReportRequest {
                target,
                incarnation,
                requested_at,
            } => {
                let report = self.engines[target].report();
                self.in_flight.push(Message::Report {
                    target,
                    incarnation,
                    requested_at,
                    report,
                });
            }
            Message::Report {
                target,
                incarnation,
                requested_at,
                report,
            } => {
                if let Some(agent) = self.agent(target, incarnation)
                    && agent.report == Some(requested_at)
                {
                    agent.report = None;
                    agent.controller.on_report(&report, requested_at);
                }
            }
        }
    }

    fn deliver_run(
        &mut self,
        target: usize,
        incarnation: Incarnation,
        run: RunDispatch,
        sent: u64,
        late: bool,
    ) {
        let now = self.now;
        let stream = Stream {
            target,
            incarnation,
            attempt: run.attempt,
            next: 0,
            opened: false,
            cut: false,
        };
        let engine = &mut self.engines[target];
        if !engine.checks && sent + MAX_CALL_DELAY_MS < now {
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
        // The engine recognizes a repeated attempt only while it runs.
        let known = engine.runs.get(&run.attempt).is_some_and(|run| run.live);
        let accepted = ready && !fenced && !known;
        if accepted {
            *self.attempt_starts.entry(run.attempt).or_default() += 1;
            *self
                .prompt_starts
                .entry(run.call.prompt.clone())
                .or_default() += 1;
            let fresh = Run {
                call: run.call.clone(),
                pieces: 0,
                live: true,
            };
            engine.runs.insert(run.attempt, fresh);
            assert!(
                !self.reported_not_run.contains(&run.attempt),
                "an attempt ran after it was reported as not run"
            );
            self.check();
        }
        let frozen = self.frozen[target].contains(&incarnation);
        let alive = self.agent(target, incarnation).is_some();
        if late || !(frozen || alive) {
            return;
        }
        match accepted || frozen {
            true => self.streams.push(Stream {
                cut: !accepted,
                ..stream
            }),
            false => {
                if let Some(agent) = self.agent(target, incarnation) {
                    agent
                        .controller
                        .on_run_event(now, run.attempt, RunEvent::Refused);
                }
            }
        }
    }

    fn cancel_run(&mut self, target: usize, incarnation: Incarnation, attempt: AttemptId) {
        let now = self.now;
        let Some(run) = self.engines[target].runs.get_mut(&attempt) else {
            return;
        };
        run.live = false;
        self.streams.retain(|stream| stream.attempt != attempt);
        if let Some(agent) = self.agent(target, incarnation) {
            agent
                .controller
                .on_run_event(now, attempt, RunEvent::Cancelled);
        }
    }

    /// Loses a message; the sender sees its connection close. With `late` it still arrives later.
    fn lose(&mut self, at: usize, late: bool) {
        let now = self.now;
        let mut message = self.in_flight.swap_remove(at);
        match &mut message {
            Message::Order {
                target,
                incarnation,
                order,
                late: is_late,
                ..
            } if !*is_late => {
                *is_late = true;
                let (target, incarnation, order) = (*target, *incarnation, order.clone());
                if let Some(agent) = self.agent(target, incarnation)
                    && agent.order.take().is_some()
                {
                    agent.controller.order_closed(now, &order);
                }
            }
            Message::Run {
                target,
                incarnation,
                run,
                late: is_late,
                ..
            } if !*is_late => {
                *is_late = true;
                let stream = Stream {
                    target: *target,
                    incarnation: *incarnation,
                    attempt: run.attempt,
                    next: 0,
                    opened: false,
                    cut: false,
                };
                self.lose_stream(stream);
            }
            _ => {}
        }
        if late {
            self.in_flight.push(message);
        }
    }

    fn submit(&mut self, model: usize, key: Option<usize>, target: usize, old_incarnation: bool) {
        let number = self.requests.len();
        let prompt = match key {
            Some(key) => format!("key{key}"),
            None => format!("ask{number}"),
        };
        let policy = AttemptPolicy {
            max_attempts: 3,
            max_timeouts: 2,
            at_most_once: key.is_some(),
        };
        self.requests.push(ActiveRequest {
            lifecycle: RequestLifecycle::new(policy),
            model,
            key,
            prompt,
            target,
            old_incarnation,
            number: 0,
            requested_at: 0,
            waiting: false,
            attempts: BTreeSet::new(),
            pieces: Vec::new(),
            outcome: None,
            dropped: false,
        });
        self.drive(number);
    }

    fn event(&mut self, at: usize, event: RequestEvent) {
        let request = &mut self.requests[at];
        if request.dropped || request.outcome.is_some() {
            return;
        }
        request.waiting = false;
        let pieces = request.lifecycle.on(event);
        request.pieces.extend(pieces);
        self.drive(at);
    }

    /// Performs steps of a request until one waits for an agent or finishes it.
    fn drive(&mut self, at: usize) {
        loop {
            let event = match self.requests[at].lifecycle.step() {
                RequestStep::Choose { .. } => RequestEvent::Chosen(Some(self.choose(at))),
                RequestStep::Claim(attempt) => self.claim(at, &attempt),
                RequestStep::Settle(attempt, end) => self.settle(at, &attempt, end),
                RequestStep::Start(attempt) => return self.call_start(at, &attempt),
                RequestStep::Pull(attempt, offset) => {
                    let call = Call::Pull(attempt.id, attempt.incarnation, offset);
                    return self.call(at, &attempt, call);
                }
                RequestStep::Seal(attempt) => {
                    let call = Call::Seal(attempt.id, attempt.incarnation);
                    return self.call(at, &attempt, call);
                }
                RequestStep::Cancel(attempt) => {
                    self.call(at, &attempt, Call::Cancel(attempt.id));
                    RequestEvent::Cancelled
                }
                RequestStep::Finish(outcome) => return self.finish(at, outcome),
            };
            let request = &mut self.requests[at];
            request.waiting = false;
            let pieces = request.lifecycle.on(event);
            request.pieces.extend(pieces);
        }
    }

    fn choose(&mut self, at: usize) -> TargetAttempt {
        let number = self.next_attempt;
        self.next_attempt += 1;
        let request = &mut self.requests[at];
        let target = request.target;
        request.target = (target + 1) % TARGETS;
        let incarnations = &self.incarnations[target];
        let incarnation = match request.old_incarnation {
            true => incarnations[0],
            false => *incarnations.last().unwrap(),
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
            key: CallKey(self.requests[at].prompt.clone()),
        }
    }

    fn claim(&mut self, at: usize, attempt: &TargetAttempt) -> RequestEvent {
        let claim_request = ClaimRequest {
            key: self.claim_key(at),
            digest: [0; 32],
            attempt: attempt.id,
            target: attempt.target.clone(),
            incarnation: attempt.incarnation,
            key_created_ms: None,
        };
        self.position += 1;
        match self.lose_claim.take() {
            Some(false) => RequestEvent::NoReply,
            lost => {
                let answer = self
                    .claims
                    .claim(Position(self.position), self.now, &claim_request);
                match lost {
                    Some(_) => RequestEvent::NoReply,
                    None => RequestEvent::Claimed(answer),
                }
            }
        }
    }

    fn settle(&mut self, at: usize, attempt: &TargetAttempt, end: Settlement) -> RequestEvent {
        let key = self.claim_key(at);
        let end = match end {
            Settlement::Done { .. } => Settlement::Done {
                answer: Some(self.requests[at].pieces.concat()),
            },
            end => end,
        };
        match self.lose_claim.take() {
            Some(false) => RequestEvent::NoReply,
            lost => {
                let settled = self.claims.settle(&key, attempt.id, &end);
                match settled && lost.is_none() {
                    true => RequestEvent::Settled,
                    false => RequestEvent::NoReply,
                }
            }
        }
    }

    fn call_start(&mut self, at: usize, attempt: &TargetAttempt) {
        let request = &self.requests[at];
        let run_request = RunRequest {
            attempt: attempt.id,
            incarnation: attempt.incarnation,
            row: RowId::from("row"),
            version: Position(1),
            urgency: Urgency::Interactive,
            weight: 1,
            at_most_once: request.key.is_some(),
            patience_ms: 400,
            call: EngineCall {
                model: ModelName::from(MODELS[request.model].0),
                prompt: request.prompt.clone(),
                path: None,
                max_tokens: PIECES,
                given: request.lifecycle.delivered(),
                kv_mib: KV_MIB,
            },
            content: ContentDigest([7; ContentDigest::LEN]),
            parts: Vec::new(),
            continues: request.lifecycle.software().cloned(),
        };
        self.call(at, attempt, Call::Start(run_request));
    }

    fn call(&mut self, at: usize, attempt: &TargetAttempt, call: Call) {
        let now = self.now;
        let request = &mut self.requests[at];
        request.number += 1;
        request.requested_at = now;
        request.waiting = true;
        request.attempts.insert(attempt.id);
        let message = Message::ToAgent {
            target: attempt.target.as_str().parse().unwrap(),
            request: at,
            number: request.number,
            call,
        };
        self.in_flight.push(message);
    }

    fn finish(&mut self, at: usize, outcome: RequestOutcome) {
        let request = &mut self.requests[at];
        let whole: String = (0..PIECES)
            .map(|index| piece(&request.prompt, index))
            .collect();
        match &outcome {
            RequestOutcome::Done => {
                assert_eq!(
                    request.pieces.concat(),
                    whole,
                    "a completed response is not that of its prompt"
                );
            }
            RequestOutcome::Replayed(Some(answer)) => assert_eq!(*answer, whole),
            RequestOutcome::NotRun { .. } => {
                assert!(
                    request.pieces.is_empty(),
                    "reported as not run, but a part was delivered"
                );
                for attempt in &request.attempts {
                    assert!(
                        !self.attempt_starts.contains_key(attempt),
                        "reported as not run, but it had run"
                    );
                    self.reported_not_run.insert(*attempt);
                }
            }
            RequestOutcome::Replayed(None) | RequestOutcome::Unknown(_) => {}
        }
        request.outcome = Some(outcome);
    }

    fn check(&self) {
        for engine in &self.engines {
            assert!(
                engine.used() <= CAPACITY_MIB,
                "engine memory is overcommitted"
            );
        }
        for (attempt, starts) in &self.attempt_starts {
            assert!(*starts <= 1, "attempt {attempt} ran {starts} times");
        }
        for (prompt, starts) in &self.prompt_starts {
            let once = prompt.starts_with("key");
            assert!(
                !once || *starts <= 1,
                "at-most-once {prompt} ran {starts} times"
            );
        }
    }

    fn crash_agent(&mut self, target: usize) {
        let incarnation = self.newest(target);
        self.agents[target].retain(|agent| agent.controller.incarnation() != incarnation);
        self.streams
            .retain(|stream| stream.incarnation != incarnation);
        self.frozen[target].remove(&incarnation);
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

pub struct AdmissionTest;

impl StateMachineTest for AdmissionTest {
    type SystemUnderTest = AdmissionWorld;
    type Reference = AdmissionScript;

    fn init_test(checks: &bool) -> AdmissionWorld {
        let mut world = AdmissionWorld::new(*checks);
        world.run_fault_free(35);
        world
    }

    fn apply(mut world: AdmissionWorld, _: &bool, step: Step) -> AdmissionWorld {
        match step {
            Step::Deliver { pick, double } if !world.in_flight.is_empty() => {
                let at = pick % world.in_flight.len();
                // Runs are not duplicated: a connection to an engine does not repeat them.
                let twice = double && !matches!(world.in_flight[at], Message::Run { .. });
                let message = match twice {
                    true => world.in_flight[at].clone(),
                    false => world.in_flight.swap_remove(at),
                };
                world.deliver(message);
            }
            Step::Lose { pick, late } if !world.in_flight.is_empty() => {
                let at = pick % world.in_flight.len();
                world.lose(at, late);
            }
            Step::Deliver { .. } | Step::Lose { .. } => {}
            Step::Wait { ms } => {
                world.now += ms;
                world.expire_calls();
                for target in 0..TARGETS {
                    world.pump(target);
                }
            }
            Step::FaultFree { rounds } => world.run_fault_free(rounds),
            Step::Submit {
                model,
                key,
                target,
                old_incarnation,
            } => world.submit(model, key, target, old_incarnation),
            Step::Timeout { pick } if !world.requests.is_empty() => {
                let at = pick % world.requests.len();
                if world.requests[at].waiting {
                    world.event(at, RequestEvent::NoReply);
                }
            }
            Step::DeadlinePassed { pick } if !world.requests.is_empty() => {
                let at = pick % world.requests.len();
                world.event(at, RequestEvent::DeadlinePassed);
            }
            Step::Timeout { .. } | Step::DeadlinePassed { .. } => {}
            Step::CrashEntry => {
                for request in &mut world.requests {
                    request.dropped = true;
                    request.waiting = false;
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
                let incarnation = world.newest(target);
                world.frozen[target].insert(incarnation);
                world.start_agent(target);
            }
            Step::Thaw { target } => world.frozen[target].clear(),
            Step::CrashEngine { target } => world.crash_engine(target),
            Step::Plan { target, want } => world.plan(target, want),
            Step::OldPlan { target, pick } => {
                let plans = &world.plans[target];
                let mut plan = plans[pick % plans.len()].clone();
                let (now, incarnation) = (world.now, world.newest(target));
                let newest = plans.last().map(|plan| plan.position);
                let old = newest > Some(plan.position);
                plan.incarnation = incarnation;
                if let Some(agent) = world.agent(target, incarnation)
                    && agent.controller.plan_position() >= Position(1)
                {
                    let taken = agent.controller.on_plan(now, plan.clone());
                    let acts = agent.controller.plan_position();
                    assert!(
                        !(old && taken) || acts == plan.position,
                        "an agent returned to an older plan"
                    );
                }
            }
            Step::Drain { target } => {
                let incarnation = world.newest(target);
                if let Some(agent) = world.agent(target, incarnation) {
                    agent.controller.drain();
                }
            }
            Step::LoseClaim { recorded } => world.lose_claim = Some(recorded),
        }
        world.check();
        world
    }

    fn teardown(mut world: AdmissionWorld, _: bool) {
        // Once all faults end, every request must finish and a new one must complete.
        world.lose_claim = None;
        for target in 0..TARGETS {
            world.frozen[target].clear();
            world.crash_agent(target);
            world.plan(target, 1);
        }
        world.run_fault_free(80);
        let first = world.requests.len();
        world.submit(0, None, 0, false);
        world.run_fault_free(60);
        for request in world.requests.iter().filter(|request| !request.dropped) {
            assert!(request.outcome.is_some(), "a request never got an outcome");
        }
        let last = &world.requests[first].outcome;
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
    fn outcomes_memory_and_runs_stay_correct(sequential 1..100 => AdmissionTest);
}
