//! Replicated state machine: site, table, claims, members and homes.

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};

use crate::consensus::claims::{ClaimKey, ClaimReply, ClaimRequest, ClaimStore, Settlement};
use crate::consensus::crash_causes::CrashCauses;
use crate::consensus::crashes::{ContentStanding, CrashCounts, CrashReport, CrashStore};
use crate::consensus::directory::{
    AdapterEffect, HeartbeatStatus, ReplicaDirectory, ReplicaPhase, ReplicaRecord,
};
use crate::consensus::part_crashes::{
    ObservedPartCrash, PartCrashReport, PartStanding, PartStandings, PartStore, SoundReport,
};
use crate::consensus::software_versions::{
    ReplicaHeartbeat, SoftwareVersion, VersionMix, VersionStore,
};
use crate::consensus::stream_history::{EarlierRoutes, StreamHistory};
use crate::ids::{
    AttemptId, ContentDigest, HallName, HostName, Incarnation, ModelName, NodeId, Position,
    ReplicaId, ReplicaIncarnation, ServiceName, TargetName, VersionName,
};
use crate::last_field;
use crate::table::configuration::{Configuration, ConfigurationRecord, WarmupSpec};
use crate::table::rows::{EditResult, RowEdit, TableStore};
use crate::table::site::SiteSpec;

/// Maximum number of journaled changes. Members that lag further behind get a snapshot.
pub const MAX_JOURNAL_LEN: usize = 4096;

/// Role of a member process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberRole {
    /// Accepts callers' requests.
    Entry,
    /// Controls one target.
    Agent,
}

/// Member process in its current incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Role of the process.
    pub role: MemberRole,
    /// Current incarnation.
    pub incarnation: Incarnation,
    /// Address on which it listens, as `ip:port`.
    pub address: String,
    /// Data hall of the process.
    pub hall: HallName,
    /// Whether it is draining and takes no new work.
    pub leaving: bool,
}

/// Lifecycle phase of a model on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HomePhase {
    /// Load ordered, not yet reported as resident.
    Loading,
    /// Resident: accepts requests.
    Ready,
    /// Unload ordered: no new requests.
    Unloading,
}

/// State of one model on one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeInfo {
    /// Lifecycle phase.
    pub phase: HomePhase,
    /// Log position of the order that led to this phase.
    pub order: Position,
}

/// Direction of a model move decided by placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MoveKind {
    /// Load the model.
    Load,
    /// Unload the model.
    Unload,
}

/// Finding of an agent's report about a home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HomeReport {
    /// The model is resident.
    Resident,
    /// The model is not on the target.
    Absent,
}

/// Command in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the site if the generation is newer.
    Site(SiteSpec),
    /// Applies an operator's edit.
    Edit(RowEdit),
    /// Claims a call that may run at most once.
    Claim(ClaimRequest),
    /// Records the outcome of a claim.
    Settle(ClaimKey, AttemptId, Settlement),
    /// Starts a new incarnation of a process. The previous one, if any, ends.
    Join(HostName, MemberRole, String, HallName),
    /// Continues an incarnation that was declared lost, unless another process has joined under
    /// the same host name since.
    Rejoin(HostName, MemberRole, String, HallName, Incarnation),
    /// Announces that a member will stop: planned by itself or reported by the platform for its
    /// host.
    Leave(HostName, Incarnation),
    /// Removes a member that was silent for too long, or that stopped.
    Lost(HostName, Incarnation),
    /// Starts a move of a model, decided by placement.
    Move(TargetName, ModelName, MoveKind),
    /// Completes a move by an agent's report, or adds a home that was not known.
    Home(TargetName, Incarnation, ModelName, HomeReport),
    /// Replaces the configuration if the version is newer.
    Configure(Box<ConfigurationRecord>),
    /// Stores the record of a replica that registered or reported a change.
    Replica(Box<ReplicaRecord>),
    /// Marks a replica that sent no heartbeat for too long.
    ReplicaSilent(ReplicaId),
    /// Ends an incarnation of a replica; does not affect a later one.
    ReplicaEnded(ReplicaIncarnation),
    /// Records that an order has loaded or unloaded an adapter.
    ReplicaAdapter(ReplicaId, ModelName, String, AdapterEffect),
    /// Records that an adapter is about to be ordered to load.
    ReplicaAdapterOrdered(ReplicaId, ModelName, String),
    /// Records that no order to load an adapter is in progress at a replica any more.
    ReplicaAdapterSettled(ReplicaId, ModelName, String),
    /// Records an order to unload a model from a replica.
    ReplicaUnload(ReplicaId, ModelName),
    /// Records an order to load a model into a replica.
    ReplicaLoad(ReplicaId, ModelName),
    /// Records that no order on a model is in progress at a replica any more.
    ReplicaSettled(ReplicaId, ModelName),
    /// Marks a replica as draining; it keeps serving for a while.
    ReplicaDrains(ReplicaId),
    /// Records the host of a voter's disk.
    VoterHost(NodeId, HostName),
    /// Records the crash of a replica and the contents it was running.
    Crashed(CrashReport),
    /// Records that a run of a content completed.
    ContentCleared(ContentDigest),
    /// Lifts the quarantine of a content or a prompt part at an operator's request.
    ContentLifted(ContentDigest),
    /// Stops sending requests to the replicas of a data hall, at an operator's request.
    Evacuate(HallName),
    /// Reopens an evacuated data hall, at an operator's request.
    Restore(HallName),
    /// Records the crash of a replica and the prompt parts whose requests had just begun there.
    PartsCrashed(PartCrashReport),
    /// Records sound runs of watched prompt parts.
    PartsSound(SoundReport),
    /// Stores the record of a replica that named its software version.
    VersionedReplica(Box<ReplicaRecord>, VersionName),
    /// Records that a service's replicas have run this version alone for longer than a stream may
    /// last, since its versions changed for the last time by this count.
    VersionSettled(ServiceName, SoftwareVersion, u64),
    /// Lets streams of a service begin at all of its software versions.
    VersionsOpened(ServiceName),
    /// The same as [`Command::PartsCrashed`], with the time of the crash.
    PartCrashObserved(ObservedPartCrash),
    /// Removes the host of a disk that votes no more.
    VoterHostGone(NodeId),
    /// Records that no stream of a service which began under earlier routes may be continued any
    /// more, since they changed for the last time by this count.
    EarlierRoutesSettled(ServiceName, u64),
}

/// Result of [`Command::Configure`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigureResult {
    /// The configuration is in force, now or already before.
    Held,
    /// A higher version is in force: nothing changed.
    Superseded,
    /// The version in force has different contents: nothing changed.
    Conflict,
}

/// Command with the proposer's clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamped {
    /// Leader's wall clock, in milliseconds since the epoch. The state's clock is the highest
    /// value so far, so it never goes back.
    pub at_ms: u64,
    /// The command.
    pub command: Command,
}

/// Encoded command without the proposer's clock, so that it can be passed on without being decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedCommand(pub Bytes);

impl EncodedCommand {
    /// Encodes a command.
    pub fn new(command: &Command) -> Self {
        let bytes = bincode::serialize(command).expect("commands encode into memory");
        Self(bytes.into())
    }

    /// Returns the encoded [`Stamped`] with this command: the clock, then the command.
    pub fn stamp(&self, at_ms: u64) -> Bytes {
        let clock = at_ms.to_le_bytes();
        let mut bytes = BytesMut::with_capacity(clock.len() + self.0.len());
        bytes.extend_from_slice(&clock);
        bytes.extend_from_slice(&self.0);
        bytes.freeze()
    }
}

/// Reply to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Empty reply.
    None,
    /// Reply to [`Command::Edit`].
    Edit(EditResult),
    /// Reply to [`Command::Claim`].
    Claim(ClaimReply),
    /// Reply to [`Command::Settle`]: whether the given outcome is the recorded one.
    Settled(bool),
    /// Reply to [`Command::Join`] and [`Command::Rejoin`].
    Joined(Incarnation),
    /// Reply to [`Command::Rejoin`]: another process has joined under the same host name.
    Replaced,
    /// Reply to [`Command::Configure`].
    Configured(ConfigureResult),
    /// Reply to [`Command::ContentLifted`]: whether the content was quarantined.
    Lifted(bool),
}

/// Change of the state that members follow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The site was replaced.
    Site(SiteSpec),
    /// A row was stored or, with `None`, deleted.
    Row(crate::ids::RowId, Option<crate::table::rows::Row>),
    /// A member joined or changed or, with `None`, was lost.
    Member(HostName, Option<MemberInfo>),
    /// A home changed or, with `None`, ended.
    Home(TargetName, ModelName, Option<HomeInfo>),
    /// The configuration was replaced.
    Configuration(Arc<Configuration>),
    /// A replica was stored or, with `None`, ended.
    Replica(ReplicaId, Option<ReplicaRecord>),
    /// The crash counts of these contents changed.
    Contents(CrashCounts),
    /// A data hall was evacuated or reopened.
    Hall(HallName, HallStanding),
    /// The standings of these prompt parts changed.
    Parts(PartStandings),
    /// An incarnation named its software version.
    ReplicaVersion(ReplicaIncarnation, VersionName),
    /// The software versions of a service changed.
    VersionMix(ServiceName, VersionMix),
    /// The earlier routes to a service changed or, with `None`, matter no more.
    EarlierRoutes(ServiceName, Option<EarlierRoutes>),
}

/// Whether the replicas of a data hall receive requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HallStanding {
    /// Receives requests.
    Open,
    /// Evacuated by an operator: receives no requests.
    Evacuated,
}

/// Retention of answered edits, claims and suspect contents, in milliseconds.
pub const RETENTION_MS: u64 = 24 * 3600 * 1000;

/// Interval of pruning by the state's clock, in milliseconds: pruning scans all records.
const PRUNE_INTERVAL_MS: u64 = 60_000;

/// Replicated state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SiteState {
    /// Position of the last applied entry.
    pub position: Position,
    /// Highest proposer's clock, in milliseconds since the epoch.
    pub clock_ms: u64,
    /// Catalogue and targets.
    pub site: SiteSpec,
    /// Rows and answered edits.
    pub table: TableStore,
    /// Claims of calls that may run at most once.
    pub claims: ClaimStore,
    /// Members in their current incarnations.
    pub members: BTreeMap<HostName, MemberInfo>,
    /// Latest incarnation of each host that ever joined.
    pub incarnations: BTreeMap<HostName, Incarnation>,
    /// Homes by target.
    pub homes: BTreeMap<TargetName, BTreeMap<ModelName, HomeInfo>>,
    /// Number of loads and unloads ordered so far.
    pub moves: u64,
    /// Time of the last load order, by the state's clock.
    pub last_load_ms: u64,
    /// Configuration in force, once there is one.
    pub configuration: Option<Box<ConfigurationRecord>>,
    /// Self-registered replicas.
    pub replicas: ReplicaDirectory,
    /// Contents that were running when replicas crashed.
    pub crashes: CrashStore,
    /// Data halls whose replicas receive no requests.
    pub evacuated: BTreeSet<HallName>,
    /// Hosts of the voters' disks.
    pub voter_hosts: BTreeMap<NodeId, HostName>,
    /// Position of the last change that members follow. Other commands, such as claims, advance
    /// the log only.
    changed: Position,
    journal: VecDeque<(Position, Change)>,
    journal_from: Position,
    /// Prompt parts that ran when replicas crashed. Snapshots of earlier versions end before this
    /// field or one of the next.
    #[serde(deserialize_with = "last_field::read_or_default")]
    parts: PartStore,
    /// Software versions of the replicas.
    #[serde(deserialize_with = "last_field::read_or_default")]
    versions: VersionStore,
    /// Causes of recent crashes.
    #[serde(deserialize_with = "last_field::read_or_default")]
    crash_causes: CrashCauses,
    /// Earlier routes to services.
    #[serde(deserialize_with = "last_field::read_or_default")]
    streams: StreamHistory,
}

impl SiteState {
    /// Applies the command at `position`.
    pub fn apply(&mut self, position: Position, stamped: &Stamped) -> Reply {
        self.position = position;
        self.advance_clock(stamped.at_ms);
        match &stamped.command {
            Command::Site(site) => self.apply_site(site),
            Command::Edit(edit) => self.apply_edit(edit),
            Command::Claim(call) => Reply::Claim(self.claims.claim(position, self.clock_ms, call)),
            Command::Settle(key, attempt, end) => {
                Reply::Settled(self.claims.settle(key, *attempt, end))
            }
            Command::Join(host, role, address, hall) => {
                let incarnation = Incarnation(position.0);
                self.apply_join(host, *role, address, hall, incarnation)
            }
            Command::Rejoin(host, role, address, hall, joined) => match self.incarnations.get(host)
            {
                Some(newest) if newest == joined => {
                    self.apply_join(host, *role, address, hall, *joined)
                }
                _ => Reply::Replaced,
            },
            Command::Leave(host, incarnation) => self.apply_leave(host, *incarnation),
            Command::Lost(host, incarnation) => self.apply_lost(host, *incarnation),
            Command::Move(target, model, kind) => self.apply_move(target, model, *kind),
            Command::Home(target, incarnation, model, report) => {
                self.apply_home(target, *incarnation, model, *report)
            }
            Command::Configure(record) => Reply::Configured(self.apply_configuration(record)),
            Command::Replica(record) => self.apply_replica(record, None),
            Command::VersionedReplica(record, version) => self.apply_replica(record, Some(version)),
            Command::VersionsOpened(service) => {
                if self.versions.open(service) {
                    let mix = VersionMix::Several;
                    self.record_change(Change::VersionMix(service.clone(), mix));
                }
                Reply::None
            }
            Command::EarlierRoutesSettled(service, changes) => {
                if self.streams.settle(service, *changes) {
                    self.record_change(Change::EarlierRoutes(service.clone(), None));
                }
                Reply::None
            }
            Command::VersionSettled(service, version, changes) => {
                let records = self.replicas.records().values();
                if self.versions.settle(service, version, *changes, records) {
                    let mix = VersionMix::Sole(version.clone());
                    self.record_change(Change::VersionMix(service.clone(), mix));
                }
                Reply::None
            }
            Command::ReplicaSilent(id) => {
                if self.replicas.mark_silent(id) {
                    self.record_replica_change(id);
                }
                Reply::None
            }
            Command::ReplicaEnded(incarnation) => {
                if self.replicas.end_incarnation(incarnation) {
                    self.record_replica_change(&incarnation.id);
                }
                Reply::None
            }
            Command::ReplicaAdapter(id, model, adapter, effect) => {
                let clock_ms = self.clock_ms;
                if self
                    .replicas
                    .set_adapter(id, model, adapter, *effect, clock_ms)
                {
                    self.record_replica_change(id);
                }
                Reply::None
            }
            Command::ReplicaAdapterOrdered(id, model, adapter) => {
                self.replicas.record_adapter_order(id, model, adapter);
                Reply::None
            }
            Command::ReplicaAdapterSettled(id, model, adapter) => {
                self.replicas.settle_adapter(id, model, adapter);
                Reply::None
            }
            Command::ReplicaUnload(id, model) => {
                if self.replicas.record_unload(id, model) {
                    self.record_replica_change(id);
                }
                Reply::None
            }
            Command::ReplicaLoad(id, model) => {
                self.replicas.record_load(id, model);
                Reply::None
            }
            Command::ReplicaSettled(id, model) => {
                if self.replicas.settle(id, model) {
                    self.record_replica_change(id);
                }
                Reply::None
            }
            Command::ReplicaDrains(id) => {
                if self.replicas.mark_draining(id) {
                    self.record_replica_change(id);
                    self.remember_leaving(id);
                }
                Reply::None
            }
            Command::VoterHost(node, host) => {
                self.voter_hosts.retain(|_, known| known != host);
                self.voter_hosts.insert(*node, host.clone());
                Reply::None
            }
            Command::VoterHostGone(node) => {
                self.voter_hosts.remove(node);
                Reply::None
            }
            Command::Crashed(CrashReport { replica, .. })
            | Command::PartsCrashed(PartCrashReport { replica, .. })
            | Command::PartCrashObserved(ObservedPartCrash {
                report: PartCrashReport { replica, .. },
                ..
            }) if self.crash_causes.is_planned(replica) => Reply::None,
            Command::Crashed(report) => {
                let changed = self.crashes.record(report, self.clock_ms);
                self.record_content_changes(changed);
                Reply::None
            }
            Command::ContentCleared(content) => {
                if self.crashes.clear(content) {
                    self.record_content_changes(CrashCounts::from([(*content, 0)]));
                }
                Reply::None
            }
            Command::ContentLifted(digest) => {
                let content = self.crashes.lift(digest);
                if content {
                    let count = self.crashes.count(digest);
                    self.record_content_changes(CrashCounts::from([(*digest, count)]));
                }
                let changed = self.parts.lift(digest, self.clock_ms);
                let part = !changed.is_empty();
                self.record_part_changes(changed);
                Reply::Lifted(content || part)
            }
            Command::PartsCrashed(report) => {
                let changed = self.parts.record(report, self.clock_ms);
                self.record_part_changes(changed);
                Reply::None
            }
            Command::PartCrashObserved(crash) => {
                let at_ms = self.clock_ms.saturating_sub(crash.age_ms);
                let moment = self.crash_causes.record(&crash.report.replica, at_ms);
                let changed = self
                    .parts
                    .record_moment(&crash.report, &moment, self.clock_ms);
                self.record_part_changes(changed);
                Reply::None
            }
            Command::PartsSound(report) => {
                let changed = self.parts.record_sound(report, self.clock_ms);
                self.record_part_changes(changed);
                Reply::None
            }
            Command::Evacuate(hall) => {
                if self.evacuated.insert(hall.clone()) {
                    self.record_change(Change::Hall(hall.clone(), HallStanding::Evacuated));
                }
                Reply::None
            }
            Command::Restore(hall) => {
                if self.evacuated.remove(hall) {
                    self.mark_hall_cold(hall);
                    self.record_change(Change::Hall(hall.clone(), HallStanding::Open));
                }
                Reply::None
            }
        }
    }

    /// Advances the position past an entry without a command.
    pub fn skip(&mut self, position: Position) {
        self.position = position;
    }

    /// Returns the changes after `cursor`, oldest first; `None` if the journal no longer
    /// reaches back that far.
    pub fn changes_after(&self, cursor: Position) -> Option<Vec<Change>> {
        if cursor < self.journal_from {
            return None;
        }
        let start = self.journal.partition_point(|(at, _)| *at <= cursor);
        let changes = self.journal.iter().skip(start).map(|(_, change)| change);
        // Keep only the newest record of each replica.
        let mut newest = BTreeSet::new();
        let mut kept: Vec<Change> = changes
            .rev()
            .filter(|change| match change {
                Change::Replica(id, _) => newest.insert(id),
                _ => true,
            })
            .map(|change| self.with_contents(change))
            .collect();
        kept.reverse();
        Some(kept)
    }

    /// Returns a journaled change; one of the configuration has the contents in force.
    fn with_contents(&self, change: &Change) -> Change {
        match (change, &self.configuration) {
            (Change::Configuration(_), Some(record)) => {
                Change::Configuration(record.configuration.clone())
            }
            (change, _) => change.clone(),
        }
    }

    /// Returns the position of the last change that members follow; measures how far they lag.
    pub fn changed(&self) -> Position {
        self.changed
    }

    /// Returns the complete state that members follow, as changes from an empty state.
    pub fn all_changes(&self) -> Vec<Change> {
        let site = std::iter::once(Change::Site(self.site.clone()));
        let rows = self.table.rows().iter();
        let rows = rows.map(|(id, row)| Change::Row(id.clone(), Some(row.clone())));
        let members = self.members.iter();
        let members = members.map(|(host, m)| Change::Member(host.clone(), Some(m.clone())));
        let homes = self.homes.iter().flat_map(|(target, models)| {
            let change = |(model, home): (&ModelName, &HomeInfo)| {
                Change::Home(target.clone(), model.clone(), Some(*home))
            };
            models.iter().map(change)
        });
        let configuration = self.configuration.iter();
        let configuration =
            configuration.map(|record| Change::Configuration(record.configuration.clone()));
        let versions = self.versions.named().iter();
        let versions = versions.map(|(incarnation, version)| {
            Change::ReplicaVersion(incarnation.clone(), version.clone())
        });
        let mixes = self.versions.mixes().iter();
        let mixes = mixes.map(|(service, mix)| Change::VersionMix(service.clone(), mix.clone()));
        let replicas = self.replicas.records().iter();
        let replicas = replicas.map(|(id, r)| Change::Replica(id.clone(), Some(r.for_members())));
        // A replica's version precedes its record, so that no record is without one.
        let replicas = versions.chain(mixes).chain(replicas);
        let counts = Some(self.crashes.counts()).filter(|counts| !counts.is_empty());
        let contents = counts.map(Change::Contents);
        let parts = Some(self.parts.standings()).filter(|standings| !standings.is_empty());
        let parts = parts.map(Change::Parts);
        let halls = self.evacuated.iter().cloned();
        let halls = halls.map(|hall| Change::Hall(hall, HallStanding::Evacuated));
        let table = site.chain(rows).chain(members).chain(homes);
        let earlier = self.streams.by_service().iter();
        let earlier =
            earlier.map(|(service, routes)| Change::EarlierRoutes(service.clone(), Some(*routes)));
        let fleet = configuration.chain(earlier).chain(replicas).chain(halls);
        let suspects = contents.into_iter().chain(parts);
        table.chain(fleet).chain(suspects).collect()
    }

    /// Returns the agent that controls `target`: the one on the host of the same name.
    pub fn agent_of(&self, target: &TargetName) -> Option<&MemberInfo> {
        let host = HostName(target.0.clone());
        let member = self.members.get(&host)?;
        (member.role == MemberRole::Agent).then_some(member)
    }

    fn advance_clock(&mut self, at_ms: u64) {
        let last_ms = self.clock_ms;
        self.clock_ms = self.clock_ms.max(at_ms);
        let tried = self.parts.start_trials(self.clock_ms);
        self.record_part_changes(tried);
        if self.clock_ms / PRUNE_INTERVAL_MS == last_ms / PRUNE_INTERVAL_MS {
            return;
        }
        let before_ms = self.clock_ms.saturating_sub(RETENTION_MS);
        self.table.prune(before_ms);
        self.claims.prune(before_ms);
        let forgotten = self.crashes.prune(before_ms);
        self.record_content_changes(forgotten);
        let forgotten = self.parts.prune(before_ms, self.clock_ms);
        self.record_part_changes(forgotten);
    }

    fn record_part_changes(&mut self, changed: PartStandings) {
        if !changed.is_empty() {
            self.record_change(Change::Parts(changed));
        }
    }

    /// Returns the software versions of the replicas.
    pub fn versions(&self) -> &VersionStore {
        &self.versions
    }

    /// Returns the earlier routes to services.
    pub fn streams(&self) -> &StreamHistory {
        &self.streams
    }

    /// Returns the prompt parts that ran when replicas crashed.
    pub fn parts(&self) -> &PartStore {
        &self.parts
    }

    /// Returns the standing that decides on the suspect lease of a content or a prompt part.
    pub fn lease_standing(&self, digest: &ContentDigest) -> ContentStanding {
        match self.parts.standing(digest) {
            PartStanding::Harmless => ContentStanding::of(self.crashes.count(digest)),
            standing => standing.for_lease(),
        }
    }

    fn record_content_changes(&mut self, changed: CrashCounts) {
        if !changed.is_empty() {
            self.record_change(Change::Contents(changed));
        }
    }

    fn record_change(&mut self, change: Change) {
        self.changed = self.position;
        self.journal.push_back((self.position, change));
        while self.journal.len() > MAX_JOURNAL_LEN {
            if let Some((dropped, _)) = self.journal.pop_front() {
                self.journal_from = dropped;
            }
        }
    }

    fn apply_site(&mut self, site: &SiteSpec) -> Reply {
        if site.generation > self.site.generation {
            self.site = site.clone();
            self.record_change(Change::Site(site.clone()));
        }
        Reply::None
    }

    fn apply_configuration(&mut self, record: &ConfigurationRecord) -> ConfigureResult {
        let version = record.configuration.version;
        match &self.configuration {
            Some(held) if held.configuration.version > version => ConfigureResult::Superseded,
            Some(held) if held.configuration.version < version => self.configure(record),
            Some(held) if **held == *record => ConfigureResult::Held,
            Some(_) => ConfigureResult::Conflict,
            None => self.configure(record),
        }
    }

    fn configure(&mut self, record: &ConfigurationRecord) -> ConfigureResult {
        let before = self.configuration.as_ref();
        let before = before.map(|before| before.configuration.clone());
        let concerned = before.map(|before| self.streams.record(&before, &record.configuration));
        for service in concerned.into_iter().flatten() {
            let earlier = self.streams.by_service().get(&service).copied();
            self.record_change(Change::EarlierRoutes(service, earlier));
        }
        self.configuration = Some(Box::new(record.clone()));
        // Keep only the newest change, without its contents: members need the configuration in
        // force, which a snapshot would otherwise hold twice.
        let is_other = |change: &Change| !matches!(change, Change::Configuration(_));
        self.journal.retain(|(_, change)| is_other(change));
        self.record_change(Change::Configuration(Arc::default()));
        ConfigureResult::Held
    }

    /// Returns the effect of a heartbeat.
    pub fn compare_versioned(&self, heartbeat: &ReplicaHeartbeat) -> HeartbeatStatus {
        let status = self.compare_heartbeat(&heartbeat.record);
        let names_version = self.versions.is_new(heartbeat);
        let known = self.replicas.records().get(&heartbeat.record.id);
        let same = known.is_some_and(|known| known.incarnation() == heartbeat.record.incarnation());
        match status {
            HeartbeatStatus::Known if names_version && same => HeartbeatStatus::New,
            status => status,
        }
    }

    /// Returns the effect of a heartbeat, apart from its software version. One for a service that
    /// is not configured comes from an unrelated sender, and could end the replica whose address it
    /// names. A known replica is still observed after its service is removed from the configuration,
    /// as it must learn that it may shut down.
    pub fn compare_heartbeat(&self, record: &ReplicaRecord) -> HeartbeatStatus {
        let configured = self.configuration.as_ref().map(|held| &held.configuration);
        let named = configured.is_none_or(|c| c.services.contains_key(&record.service));
        let known = self.replicas.records().get(&record.id);
        let same = known.is_some_and(|known| known.service == record.service);
        match named || same {
            true => {
                let record = self.with_warm_up(record);
                self.replicas.compare_heartbeat(&record, self.clock_ms)
            }
            false => HeartbeatStatus::Foreign,
        }
    }

    /// Returns the warm-up of a service whose replicas take fewer requests while they warm up.
    pub fn warm_up(&self, service: &ServiceName) -> Option<WarmupSpec> {
        let configured = self.configuration.as_ref().map(|held| &held.configuration);
        configured?.services.get(service)?.warm_up
    }

    /// Limits the warm-up time of a record to the maximum of its service, and to 0 for a
    /// service without a warm-up: each heartbeat that reports one is committed.
    fn with_warm_up<'a>(&self, record: &'a ReplicaRecord) -> Cow<'a, ReplicaRecord> {
        let spec = self.warm_up(&record.service);
        let max_ms = spec.map_or(0, |spec| spec.lasts_ms);
        match record.cold_ms > max_ms {
            true => Cow::Owned(ReplicaRecord {
                cold_ms: max_ms,
                ..record.clone()
            }),
            false => Cow::Borrowed(record),
        }
    }

    /// Treats the replicas of a data hall as cold: they received no requests for a while, and
    /// those that have just become cold may not have reported it yet.
    fn mark_hall_cold(&mut self, hall: &HallName) {
        let records = self.replicas.records().values();
        let there = records.filter(|record| record.hall == *hall);
        let cold = there.filter_map(|record| {
            let spec = self.warm_up(&record.service)?;
            Some((record.id.clone(), spec.lasts_ms))
        });
        let cold: Vec<(ReplicaId, u64)> = cold.collect();
        for (id, cold_ms) in cold {
            if self.replicas.mark_cold(&id, cold_ms, self.clock_ms) {
                self.record_replica_change(&id);
            }
        }
    }

    fn apply_replica(&mut self, record: &ReplicaRecord, version: Option<&VersionName>) -> Reply {
        let record = self.with_warm_up(record).into_owned();
        if self.compare_heartbeat(&record) == HeartbeatStatus::Foreign {
            return Reply::None;
        }
        let before = self.member_record(&record.id);
        let replaced = self.replicas.put(&record, self.clock_ms);
        for id in replaced.iter().flatten() {
            self.record_replica_change(id);
        }
        let after = self.member_record(&record.id);
        let current = after.as_ref().map(ReplicaRecord::incarnation);
        if current == Some(record.incarnation()) {
            self.observe_version(&record, version);
        }
        if before != after {
            self.record_change(Change::Replica(record.id.clone(), after));
        }
        self.remember_leaving(&record.id);
        Reply::None
    }

    fn remember_leaving(&mut self, id: &ReplicaId) {
        let record = self.replicas.records().get(id);
        let record = record.filter(|record| record.phase == ReplicaPhase::Draining);
        if let Some(incarnation) = record.map(ReplicaRecord::incarnation) {
            self.crash_causes.leaves(&incarnation);
        }
    }

    /// Records the software version of a replica's current incarnation.
    fn observe_version(&mut self, record: &ReplicaRecord, version: Option<&VersionName>) {
        let incarnation = record.incarnation();
        if let Some(version) = version
            && self.versions.named().get(&incarnation) != Some(version)
        {
            self.versions.name(&incarnation, version);
            self.record_change(Change::ReplicaVersion(incarnation, version.clone()));
        }
        let version = self.versions.version(record);
        let mut others = self.replicas.records().values();
        let is_alone =
            !others.any(|other| other.service == record.service && other.id != record.id);
        let mix = self
            .versions
            .observe(&record.service, &version, is_alone)
            .cloned();
        if let Some(mix) = mix {
            self.record_change(Change::VersionMix(record.service.clone(), mix));
        }
    }

    fn member_record(&self, id: &ReplicaId) -> Option<ReplicaRecord> {
        let record = self.replicas.records().get(id);
        record.map(ReplicaRecord::for_members)
    }

    fn record_replica_change(&mut self, id: &ReplicaId) {
        let record = self.member_record(id);
        if record.is_none() {
            self.versions.forget(id);
        }
        self.record_change(Change::Replica(id.clone(), record));
    }

    fn apply_edit(&mut self, edit: &RowEdit) -> Reply {
        let before = self.table.rows().get(&edit.row).cloned();
        let answer = self
            .table
            .apply(&self.site, self.position, self.clock_ms, edit);
        let after = self.table.rows().get(&edit.row).cloned();
        if before != after {
            self.record_change(Change::Row(edit.row.clone(), after));
        }
        Reply::Edit(answer)
    }

    fn apply_join(
        &mut self,
        host: &HostName,
        role: MemberRole,
        address: &str,
        hall: &HallName,
        incarnation: Incarnation,
    ) -> Reply {
        self.incarnations.insert(host.clone(), incarnation);
        let member = MemberInfo {
            role,
            incarnation,
            address: address.to_owned(),
            hall: hall.clone(),
            leaving: false,
        };
        self.members.insert(host.clone(), member.clone());
        self.record_change(Change::Member(host.clone(), Some(member)));
        Reply::Joined(incarnation)
    }

    fn apply_leave(&mut self, host: &HostName, incarnation: Incarnation) -> Reply {
        if let Some(member) = self.members.get_mut(host)
            && member.incarnation == incarnation
            && !member.leaving
        {
            member.leaving = true;
            let change = Change::Member(host.clone(), Some(member.clone()));
            self.record_change(change);
        }
        Reply::None
    }

    fn apply_lost(&mut self, host: &HostName, incarnation: Incarnation) -> Reply {
        let current = self.members.get(host).map(|member| member.incarnation);
        if current == Some(incarnation) {
            self.members.remove(host);
            self.record_change(Change::Member(host.clone(), None));
            self.drop_homes(&TargetName(host.0.clone()));
        }
        Reply::None
    }

    /// Removes the homes of a lost target; its next agent reports what the target still holds.
    fn drop_homes(&mut self, target: &TargetName) {
        let homes = self.homes.remove(target).unwrap_or_default();
        for model in homes.into_keys() {
            self.record_change(Change::Home(target.clone(), model, None));
        }
    }

    fn apply_move(&mut self, target: &TargetName, model: &ModelName, kind: MoveKind) -> Reply {
        let current = self.homes.get(target).and_then(|h| h.get(model)).copied();
        let phase = match (kind, current.map(|home| home.phase)) {
            (MoveKind::Load, None | Some(HomePhase::Unloading)) => HomePhase::Loading,
            (MoveKind::Unload, Some(HomePhase::Loading | HomePhase::Ready)) => HomePhase::Unloading,
            _ => return Reply::None,
        };
        if phase == HomePhase::Loading {
            self.last_load_ms = self.clock_ms;
        }
        self.moves += 1;
        let order = self.position;
        self.set_home(target, model, Some(HomeInfo { phase, order }));
        Reply::None
    }

    fn apply_home(
        &mut self,
        target: &TargetName,
        incarnation: Incarnation,
        model: &ModelName,
        report: HomeReport,
    ) -> Reply {
        let agent_of = self.agent_of(target).map(|member| member.incarnation);
        if agent_of != Some(incarnation) {
            return Reply::None;
        }
        let current = self.homes.get(target).and_then(|h| h.get(model)).copied();
        let order = current.map_or(self.position, |home| home.order);
        let ready = HomeInfo {
            phase: HomePhase::Ready,
            order,
        };
        match (report, current.map(|home| home.phase)) {
            (HomeReport::Resident, None | Some(HomePhase::Loading)) => {
                self.set_home(target, model, Some(ready))
            }
            (HomeReport::Absent, Some(_)) => self.set_home(target, model, None),
            _ => {}
        }
        Reply::None
    }

    fn set_home(&mut self, target: &TargetName, model: &ModelName, home: Option<HomeInfo>) {
        let homes = self.homes.entry(target.clone()).or_default();
        match home {
            Some(info) => homes.insert(model.clone(), info),
            None => homes.remove(model),
        };
        self.record_change(Change::Home(target.clone(), model.clone(), home));
    }
}
