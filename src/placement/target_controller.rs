//! The leader's controller for targets: member liveness, model moves and shares of row limits.
//!
//! Soft state only: a new leader starts with no state. It decides nothing based on silence until a
//! full grace period has passed.

use std::collections::{BTreeMap, BTreeSet};

use crate::admission::controller::TargetPlan;
use crate::consensus::state::{Command, HomePhase, HomeReport, SiteState};
use crate::ids::{HostName, Incarnation, ModelName, Position, RowId, TargetName, Term};
use crate::placement::moves::{self, DemandTracker, PlacementPolicy};
use crate::table::limits::{LimitClaim, ShareGrantor};
use crate::table::site::ModelKind;

/// Settings of the target controller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ControllerPolicy {
    /// Time without a heartbeat after which a member is lost, in milliseconds.
    pub loss_ms: u64,
    /// Lease of a target's plan, in milliseconds; shorter than `loss_ms`.
    pub lease_ms: u64,
    /// Time between placement rounds, in milliseconds.
    pub round_ms: u64,
    /// Placement settings.
    pub placement: PlacementPolicy,
}

/// State from the last heartbeat of a member.
#[derive(Clone, Debug)]
struct MemberState {
    incarnation: Incarnation,
    last_seen_ms: u64,
    position: Position,
    busy: BTreeMap<ModelName, f64>,
}

/// Heartbeat of an agent.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct AgentHeartbeat {
    /// Host of the agent, which is also the name of its target.
    pub host: HostName,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Log position that the agent follows.
    pub position: Position,
    /// Log position of the plan that the agent acts on.
    pub plan: Position,
    /// Models on the target, each with whether it is ready; `None` until the agent knows.
    pub holds: Option<BTreeMap<ModelName, bool>>,
    /// Number of queued and running requests of each model.
    pub busy: BTreeMap<ModelName, u32>,
    /// The agent is draining.
    pub leaving: bool,
    /// The agent has no work left and stops.
    pub stopped: bool,
}

/// Heartbeat of an entry.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct EntryHeartbeat {
    /// Host of the entry.
    pub host: HostName,
    /// Incarnation of the entry.
    pub incarnation: Incarnation,
    /// Log position that the entry follows.
    pub position: Position,
    /// Number of this heartbeat within the incarnation.
    pub number: u64,
    /// Claims on row limits.
    pub limits: BTreeMap<RowId, LimitClaim>,
    /// Number of requests of each model that were refused for overload since the last heartbeat.
    pub refused: BTreeMap<ModelName, u32>,
    /// The entry stops.
    pub stopped: bool,
}

/// Soft state of the leader.
#[derive(Debug)]
pub struct TargetController {
    policy: ControllerPolicy,
    term: Term,
    grace_start_ms: u64,
    member_states: BTreeMap<HostName, MemberState>,
    demand: DemandTracker,
    grantor: ShareGrantor,
    round_due_ms: u64,
    /// Hosts that the platform lists as leaving.
    platform_leaving: BTreeSet<HostName>,
    /// Time of the last call of [`Self::round`], which is made only while this leader can decide.
    decided_ms: u64,
    /// Log position of the last round's proposals; the next round waits for it.
    awaited_position: Position,
}

impl TargetController {
    /// Creates the controller of a new leader.
    pub fn new(policy: ControllerPolicy, state: &SiteState, term: Term, now_ms: u64) -> Self {
        Self {
            policy,
            term,
            grace_start_ms: now_ms,
            member_states: BTreeMap::new(),
            demand: DemandTracker::default(),
            grantor: ShareGrantor::new(state.site.limits, now_ms),
            round_due_ms: now_ms + policy.round_ms,
            platform_leaving: BTreeSet::new(),
            decided_ms: now_ms,
            awaited_position: Position(0),
        }
    }

    /// Returns the term of the leader.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Handles an agent's heartbeat. Returns the commands that follow from it.
    pub fn on_agent_heartbeat(
        &mut self,
        state: &SiteState,
        now_ms: u64,
        heartbeat: &AgentHeartbeat,
    ) -> Vec<Command> {
        if !is_current(state, &heartbeat.host, heartbeat.incarnation) {
            return Vec::new();
        }
        let busy = heartbeat.busy.iter();
        let busy = busy.map(|(model, count)| (model.clone(), f64::from(*count)));
        self.record_member(
            now_ms,
            &heartbeat.host,
            heartbeat.incarnation,
            heartbeat.position,
            busy.collect(),
        );
        let mut commands = membership_commands(
            state,
            &heartbeat.host,
            heartbeat.incarnation,
            heartbeat.leaving,
            heartbeat.stopped,
        );
        if let Some(holds) = &heartbeat.holds {
            commands.extend(home_reports(state, heartbeat, holds));
        }
        commands
    }

    /// Handles an entry's heartbeat. Returns the granted shares of row limits and the commands that
    /// follow from the heartbeat.
    pub fn on_entry_heartbeat(
        &mut self,
        state: &SiteState,
        now_ms: u64,
        heartbeat: &EntryHeartbeat,
    ) -> (BTreeMap<RowId, u32>, Vec<Command>) {
        if !is_current(state, &heartbeat.host, heartbeat.incarnation) {
            return (BTreeMap::new(), Vec::new());
        }
        let refused = heartbeat.refused.iter();
        let refused = refused.map(|(model, count)| (model.clone(), f64::from(*count)));
        self.record_member(
            now_ms,
            &heartbeat.host,
            heartbeat.incarnation,
            heartbeat.position,
            refused.collect(),
        );
        let new = self.grantor.is_new(heartbeat.incarnation, heartbeat.number);
        let mut grants = BTreeMap::new();
        for (row, claim) in heartbeat.limits.iter().filter(|_| new) {
            if let Some(known) = state.table.rows().get(row) {
                let fields = &known.fields;
                let share = self.grantor.grant(
                    now_ms,
                    heartbeat.incarnation,
                    row,
                    fields.max_running,
                    fields.patience_ms,
                    *claim,
                );
                grants.insert(row.clone(), share);
            }
        }
        let commands = membership_commands(
            state,
            &heartbeat.host,
            heartbeat.incarnation,
            false,
            heartbeat.stopped,
        );
        (grants, commands)
    }

    /// Updates the hosts that the platform lists as leaving. The list lags behind, so it only takes
    /// work away from hosts; heartbeats decide which members are alive or lost.
    pub fn on_leaving_hosts(&mut self, leaving: BTreeSet<HostName>) {
        self.platform_leaving = leaving;
    }

    /// Runs a round: lost members, leaving hosts and model moves.
    ///
    /// `wall_ms` is the clock that commands are stamped with.
    pub fn round(&mut self, state: &SiteState, now_ms: u64, wall_ms: u64) -> Vec<Command> {
        self.reset_silence_after_pause(now_ms);
        if now_ms < self.round_due_ms || state.position < self.awaited_position {
            return Vec::new();
        }
        self.round_due_ms = now_ms + self.policy.round_ms;
        self.member_states
            .retain(|host, member_state| is_current(state, host, member_state.incarnation));
        let mut commands = self.lost_members(state, now_ms);
        commands.extend(self.leaving_members(state));
        let mut sample: BTreeMap<ModelName, f64> = BTreeMap::new();
        for member_state in self.member_states.values() {
            for (model, busy) in &member_state.busy {
                *sample.entry(model.clone()).or_default() += busy;
            }
        }
        self.demand.sample(&sample);
        if self.is_past_grace_period(now_ms) {
            let moves = moves::plan(state, &self.policy.placement, &self.demand, wall_ms);
            commands.extend(
                moves
                    .into_iter()
                    .map(|step| Command::Move(step.target, step.model, step.kind)),
            );
        }
        commands
    }

    /// Sets the log position of the last round's last command.
    pub fn await_position(&mut self, position: Position) {
        self.awaited_position = position;
    }

    /// Returns the full plan for one target.
    pub fn target_plan(
        &self,
        state: &SiteState,
        target: &TargetName,
        heartbeat: &AgentHeartbeat,
    ) -> TargetPlan {
        TargetPlan {
            term: self.term,
            position: state.position,
            incarnation: heartbeat.incarnation,
            desired_models: planned_models(state, target, heartbeat),
            lease_ms: self.policy.lease_ms,
        }
    }

    /// Returns the number of members, and the hosts that do not follow the log up to `version` yet.
    pub fn in_force(&self, state: &SiteState, version: Position) -> (usize, Vec<HostName>) {
        let lagging = state
            .members
            .keys()
            .filter(|host| {
                let position = self
                    .member_states
                    .get(*host)
                    .map(|member_state| member_state.position);
                position.is_none_or(|position| position < version)
            })
            .cloned()
            .collect();
        (state.members.len(), lagging)
    }

    /// Restarts the grace period and all silence timers if this leader was suspended or cut off: it
    /// received no heartbeats meanwhile, which says nothing about the members.
    fn reset_silence_after_pause(&mut self, now_ms: u64) {
        if self.decided_ms + self.policy.loss_ms / 2 < now_ms {
            self.grace_start_ms = now_ms;
            for member_state in self.member_states.values_mut() {
                member_state.last_seen_ms = now_ms;
            }
        }
        self.decided_ms = now_ms;
    }

    /// Returns whether silence counts. A new leader has received no heartbeats yet and must not
    /// take that for loss.
    fn is_past_grace_period(&self, now_ms: u64) -> bool {
        now_ms >= self.grace_start_ms + self.policy.loss_ms
    }

    fn record_member(
        &mut self,
        now_ms: u64,
        host: &HostName,
        incarnation: Incarnation,
        position: Position,
        busy: BTreeMap<ModelName, f64>,
    ) {
        let member_state = MemberState {
            incarnation,
            last_seen_ms: now_ms,
            position,
            busy,
        };
        self.member_states.insert(host.clone(), member_state);
    }

    fn lost_members(&mut self, state: &SiteState, now_ms: u64) -> Vec<Command> {
        if !self.is_past_grace_period(now_ms) {
            return Vec::new();
        }
        let mut commands = Vec::new();
        for (host, member) in &state.members {
            let member_state = self
                .member_states
                .entry(host.clone())
                .or_insert(MemberState {
                    incarnation: member.incarnation,
                    last_seen_ms: now_ms,
                    position: Position(0),
                    busy: BTreeMap::new(),
                });
            if member_state.incarnation != member.incarnation {
                member_state.incarnation = member.incarnation;
                member_state.last_seen_ms = now_ms;
            }
            if member_state.last_seen_ms + self.policy.loss_ms < now_ms {
                commands.push(Command::Lost(host.clone(), member.incarnation));
            }
        }
        commands
    }

    fn leaving_members(&self, state: &SiteState) -> Vec<Command> {
        let members = state.members.iter();
        let members = members
            .filter(|(host, member)| !member.leaving && self.platform_leaving.contains(*host));
        members
            .map(|(host, member)| Command::Leave(host.clone(), member.incarnation))
            .collect()
    }
}

fn is_current(state: &SiteState, host: &HostName, incarnation: Incarnation) -> bool {
    let member = state.members.get(host);
    member.is_some_and(|member| member.incarnation == incarnation)
}

fn membership_commands(
    state: &SiteState,
    host: &HostName,
    incarnation: Incarnation,
    leaving: bool,
    stopped: bool,
) -> Vec<Command> {
    let is_marked_leaving = state.members.get(host).is_some_and(|member| member.leaving);
    match (stopped, leaving) {
        (true, _) => vec![Command::Lost(host.clone(), incarnation)],
        (false, true) if !is_marked_leaving => vec![Command::Leave(host.clone(), incarnation)],
        _ => Vec::new(),
    }
}

/// Returns the models that the target is to hold, with their sizes in MiB; `None` until the agent
/// reports what it holds, and until the log lists all of that.
fn planned_models(
    state: &SiteState,
    target: &TargetName,
    heartbeat: &AgentHeartbeat,
) -> Option<BTreeMap<ModelName, u64>> {
    let none = BTreeMap::new();
    let homes = state.homes.get(target).unwrap_or(&none);
    let catalogue = &state.site.models;
    let adopted = |model: &ModelName| homes.contains_key(model) || !catalogue.contains_key(model);
    let holds = heartbeat.holds.as_ref()?;
    if !holds.keys().all(adopted) {
        return None;
    }
    let kept = homes.iter();
    let kept = kept.filter(|(_, home)| home.phase != HomePhase::Unloading);
    let sized = kept.filter_map(|(model, _)| {
        let spec = catalogue.get(model)?;
        Some((model.clone(), spec.weights_mib))
    });
    Some(sized.collect())
}

/// Returns the changes of homes that an agent's report proves, given the plan it acts on.
fn home_reports(
    state: &SiteState,
    heartbeat: &AgentHeartbeat,
    holds: &BTreeMap<ModelName, bool>,
) -> Vec<Command> {
    let target = TargetName(heartbeat.host.0.clone());
    let none = BTreeMap::new();
    let homes = state.homes.get(&target).unwrap_or(&none);
    let report = |model: &ModelName, report: HomeReport| {
        Command::Home(target.clone(), heartbeat.incarnation, model.clone(), report)
    };
    let mut commands = Vec::new();
    for (model, ready) in holds {
        let phase = homes.get(model).map(|home| home.phase);
        let known = state.site.models.contains_key(model);
        match phase {
            // Includes models that are still loading: an unknown load is adopted instead of undone.
            None if known => commands.push(report(model, HomeReport::Resident)),
            Some(HomePhase::Loading) if *ready => {
                commands.push(report(model, HomeReport::Resident));
            }
            _ => {}
        }
    }
    for (model, home) in homes {
        // A heartbeat from before the agent received the order proves nothing about its outcome.
        let informed = heartbeat.plan >= home.order;
        let absent = !holds.contains_key(model);
        let fixed = state
            .site
            .models
            .get(model)
            .is_some_and(|spec| matches!(spec.kind, ModelKind::Service(_)));
        match home.phase {
            HomePhase::Unloading | HomePhase::Ready if informed && absent && !fixed => {
                commands.push(report(model, HomeReport::Absent));
            }
            _ => {}
        }
    }
    commands
}
