//! The leader's duties besides the log: who lives, what moves, who may use what.
//!
//! Soft state only: a new leader starts with none and decides nothing that
//! rests on silence until a whole grace time has passed.

use std::collections::{BTreeMap, BTreeSet};

use crate::admission::controller::TargetPlan;
use crate::consensus::state::{Command, HomePhase, HomeReport, SiteState};
use crate::ids::{HostName, Incarnation, ModelName, Position, RowId, TargetName, Term};
use crate::placement::moves::{self, DemandBook, PlacePolicy};
use crate::table::limits::{LimitClaim, ShareGrantor};
use crate::table::site::ModelKind;

/// Settings of the leader's duties.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DutyPolicy {
    /// Silence after which a member is lost, in milliseconds.
    pub loss_ms: u64,
    /// Lease of a target's plan, in milliseconds; shorter than `loss_ms`.
    pub lease_ms: u64,
    /// Time between placement rounds, in milliseconds.
    pub round_ms: u64,
    /// How models are placed.
    pub place: PlacePolicy,
}

/// What a member told last.
#[derive(Clone, Debug)]
struct MemberNote {
    life: Incarnation,
    heard_ms: u64,
    position: Position,
    busy: BTreeMap<ModelName, f64>,
}

/// An agent's beat.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct AgentBeat {
    /// The agent's host, which is also its target's name.
    pub host: HostName,
    /// Its life.
    pub life: Incarnation,
    /// How far it follows the log.
    pub position: Position,
    /// The position of the plan that it acts on.
    pub plan: Position,
    /// What its target holds; none until it knows.
    pub holds: Option<BTreeMap<ModelName, bool>>,
    /// Queued and running requests of each model.
    pub busy: BTreeMap<ModelName, u32>,
    /// It is leaving.
    pub leaving: bool,
    /// It has nothing left to do, and stops.
    pub stopped: bool,
}

/// An entry's beat.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct EntryBeat {
    /// The entry's host.
    pub host: HostName,
    /// Its life.
    pub life: Incarnation,
    /// How far it follows the log.
    pub position: Position,
    /// Number of this beat in its life.
    pub number: u64,
    /// Its claims on row limits.
    pub limits: BTreeMap<RowId, LimitClaim>,
    /// Requests of each model refused for overload since the last beat.
    pub refused: BTreeMap<ModelName, u32>,
    /// It stops.
    pub stopped: bool,
}

/// The leader's soft state.
#[derive(Debug)]
pub struct LeaderDuties {
    policy: DutyPolicy,
    term: Term,
    since_ms: u64,
    notes: BTreeMap<HostName, MemberNote>,
    demand: DemandBook,
    grantor: ShareGrantor,
    round_due_ms: u64,
    /// Hosts that the platform's list names as leaving.
    platform_leaving: BTreeSet<HostName>,
    /// When this leader last could decide.
    decided_ms: u64,
    /// Position of the last round's proposals: the next waits for them.
    pending: Position,
}

impl LeaderDuties {
    /// A new leader's duties.
    pub fn new(policy: DutyPolicy, state: &SiteState, term: Term, now_ms: u64) -> Self {
        Self {
            policy,
            term,
            since_ms: now_ms,
            notes: BTreeMap::new(),
            demand: DemandBook::default(),
            grantor: ShareGrantor::new(state.site.limits, now_ms),
            round_due_ms: now_ms + policy.round_ms,
            platform_leaving: BTreeSet::new(),
            decided_ms: now_ms,
            pending: Position(0),
        }
    }

    /// The term these duties belong to.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Takes an agent's beat; returns the commands that it proves.
    pub fn on_agent(&mut self, state: &SiteState, now_ms: u64, beat: &AgentBeat) -> Vec<Command> {
        if !is_current(state, &beat.host, beat.life) {
            return Vec::new();
        }
        let busy = beat.busy.iter();
        let busy = busy.map(|(model, count)| (model.clone(), f64::from(*count)));
        self.note(now_ms, &beat.host, beat.life, beat.position, busy.collect());
        let mut commands = member_ends(state, &beat.host, beat.life, beat.leaving, beat.stopped);
        if let Some(holds) = &beat.holds {
            commands.extend(home_reports(state, beat, holds));
        }
        commands
    }

    /// Takes an entry's beat; returns its grants and the commands that it proves.
    pub fn on_entry(
        &mut self,
        state: &SiteState,
        now_ms: u64,
        beat: &EntryBeat,
    ) -> (BTreeMap<RowId, u32>, Vec<Command>) {
        if !is_current(state, &beat.host, beat.life) {
            return (BTreeMap::new(), Vec::new());
        }
        let refused = beat.refused.iter();
        let refused = refused.map(|(model, count)| (model.clone(), f64::from(*count)));
        self.note(
            now_ms,
            &beat.host,
            beat.life,
            beat.position,
            refused.collect(),
        );
        let new = self.grantor.is_new(beat.life, beat.number);
        let mut grants = BTreeMap::new();
        for (row, claim) in beat.limits.iter().filter(|_| new) {
            if let Some(known) = state.table.rows().get(row) {
                let fields = &known.fields;
                let share = self.grantor.grant(
                    now_ms,
                    beat.life,
                    row,
                    fields.max_running,
                    fields.patience_ms,
                    *claim,
                );
                grants.insert(row.clone(), share);
            }
        }
        let commands = member_ends(state, &beat.host, beat.life, false, beat.stopped);
        (grants, commands)
    }

    /// Takes the platform's list of leaving hosts. It lags, so it only ever
    /// turns work away; life and loss are told by beats.
    pub fn on_platform(&mut self, leaving: BTreeSet<HostName>) {
        self.platform_leaving = leaving;
    }

    /// A round: losses, leaving hosts, and moves.
    ///
    /// `wall_ms` is the clock that commands are stamped with.
    pub fn round(&mut self, state: &SiteState, now_ms: u64, wall_ms: u64) -> Vec<Command> {
        self.excuse_silence(now_ms);
        if now_ms < self.round_due_ms || state.position < self.pending {
            return Vec::new();
        }
        self.round_due_ms = now_ms + self.policy.round_ms;
        self.notes
            .retain(|host, note| is_current(state, host, note.life));
        let mut commands = self.losses(state, now_ms);
        commands.extend(self.departures(state));
        let mut sample: BTreeMap<ModelName, f64> = BTreeMap::new();
        for note in self.notes.values() {
            for (model, busy) in &note.busy {
                *sample.entry(model.clone()).or_default() += busy;
            }
        }
        self.demand.sample(&sample);
        if self.is_settled(now_ms) {
            let moves = moves::plan(state, &self.policy.place, &self.demand, wall_ms);
            commands.extend(
                moves
                    .into_iter()
                    .map(|step| Command::Move(step.target, step.model, step.kind)),
            );
        }
        commands
    }

    /// Notes where the round's last command stands.
    pub fn await_position(&mut self, position: Position) {
        self.pending = position;
    }

    /// The whole wish for one target.
    pub fn target_plan(
        &self,
        state: &SiteState,
        target: &TargetName,
        beat: &AgentBeat,
    ) -> TargetPlan {
        TargetPlan {
            term: self.term,
            position: state.position,
            incarnation: beat.life,
            desired_models: wanted_models(state, target, beat),
            lease_ms: self.policy.lease_ms,
        }
    }

    /// How many members have a row's version in force, of how many, and who lags.
    pub fn in_force(&self, state: &SiteState, version: Position) -> (usize, Vec<HostName>) {
        let lagging = state
            .members
            .keys()
            .filter(|host| {
                let position = self.notes.get(*host).map(|note| note.position);
                position.is_none_or(|position| position < version)
            })
            .cloned()
            .collect();
        (state.members.len(), lagging)
    }

    /// A leader that was frozen or cut off heard nobody meanwhile: that says
    /// nothing of the members.
    fn excuse_silence(&mut self, now_ms: u64) {
        if self.decided_ms + self.policy.loss_ms / 2 < now_ms {
            self.since_ms = now_ms;
            for note in self.notes.values_mut() {
                note.heard_ms = now_ms;
            }
        }
        self.decided_ms = now_ms;
    }

    /// A new leader has heard nobody yet, and must not take that for loss.
    fn is_settled(&self, now_ms: u64) -> bool {
        now_ms >= self.since_ms + self.policy.loss_ms
    }

    fn note(
        &mut self,
        now_ms: u64,
        host: &HostName,
        life: Incarnation,
        position: Position,
        busy: BTreeMap<ModelName, f64>,
    ) {
        let note = MemberNote {
            life,
            heard_ms: now_ms,
            position,
            busy,
        };
        self.notes.insert(host.clone(), note);
    }

    fn losses(&mut self, state: &SiteState, now_ms: u64) -> Vec<Command> {
        if !self.is_settled(now_ms) {
            return Vec::new();
        }
        let mut commands = Vec::new();
        for (host, member) in &state.members {
            let note = self.notes.entry(host.clone()).or_insert(MemberNote {
                life: member.incarnation,
                heard_ms: now_ms,
                position: Position(0),
                busy: BTreeMap::new(),
            });
            if note.life != member.incarnation {
                note.life = member.incarnation;
                note.heard_ms = now_ms;
            }
            if note.heard_ms + self.policy.loss_ms < now_ms {
                commands.push(Command::Lost(host.clone(), member.incarnation));
            }
        }
        commands
    }

    fn departures(&self, state: &SiteState) -> Vec<Command> {
        let named = state.members.iter();
        let named =
            named.filter(|(host, member)| !member.leaving && self.platform_leaving.contains(*host));
        named
            .map(|(host, member)| Command::Leave(host.clone(), member.incarnation))
            .collect()
    }
}

fn is_current(state: &SiteState, host: &HostName, life: Incarnation) -> bool {
    let member = state.members.get(host);
    member.is_some_and(|member| member.incarnation == life)
}

fn member_ends(
    state: &SiteState,
    host: &HostName,
    life: Incarnation,
    leaving: bool,
    stopped: bool,
) -> Vec<Command> {
    let noted = state.members.get(host).is_some_and(|member| member.leaving);
    match (stopped, leaving) {
        (true, _) => vec![Command::Lost(host.clone(), life)],
        (false, true) if !noted => vec![Command::Leave(host.clone(), life)],
        _ => Vec::new(),
    }
}

/// The models to hold; none while the agent has not told what it holds, or
/// while that is not all in the log.
fn wanted_models(
    state: &SiteState,
    target: &TargetName,
    beat: &AgentBeat,
) -> Option<BTreeMap<ModelName, u64>> {
    let none = BTreeMap::new();
    let homes = state.homes.get(target).unwrap_or(&none);
    let catalogue = &state.site.models;
    let adopted = |model: &ModelName| homes.contains_key(model) || !catalogue.contains_key(model);
    let holds = beat.holds.as_ref()?;
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

/// What the agent's account proves of its homes, given the plan it acts on.
fn home_reports(
    state: &SiteState,
    beat: &AgentBeat,
    holds: &BTreeMap<ModelName, bool>,
) -> Vec<Command> {
    let target = TargetName(beat.host.0.clone());
    let none = BTreeMap::new();
    let homes = state.homes.get(&target).unwrap_or(&none);
    let report = |model: &ModelName, report: HomeReport| {
        Command::Home(target.clone(), beat.life, model.clone(), report)
    };
    let mut commands = Vec::new();
    for (model, ready) in holds {
        let phase = homes.get(model).map(|home| home.phase);
        let known = state.site.models.contains_key(model);
        match phase {
            // Also what is still loading: an unknown load is adopted, not undone.
            None if known => commands.push(report(model, HomeReport::Resident)),
            Some(HomePhase::Loading) if *ready => {
                commands.push(report(model, HomeReport::Resident));
            }
            _ => {}
        }
    }
    for (model, home) in homes {
        // An agent that has not seen the order yet proves nothing of it.
        let informed = beat.plan >= home.order;
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
