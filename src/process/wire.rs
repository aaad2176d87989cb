//! The calls between the system's own processes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::admission::controller::{AttemptStatus, RunRequest, TargetPlan};
use crate::consensus::claims::ClaimRecord;
use crate::consensus::crashes::CrashBook;
use crate::consensus::directory::{BeatNews, ReplicaRecord};
use crate::consensus::naming::{NamingAnswer, NamingAsk};
use crate::consensus::raft::RaftMessage;
use crate::consensus::state::{Command, Reply, SiteState};
use crate::ids::{
    AccountName, AttemptId, HallName, HostName, Incarnation, NodeId, Position, ReplicaId, RowId,
    Term,
};
use crate::placement::crowd::{CrowdReport, WaitingTokens};
use crate::placement::duties::{AgentBeat, EntryBeat};
use crate::placement::named_limits::{LimitPage, LimitReport};
use crate::placement::order::AdapterPlace;
use crate::placement::replica_rates::{PermitReply, PermitRequest};
use crate::placement::report::{EntryReport, ReportReply};
use crate::placement::turns::{TurnAnswer, TurnAsk, TurnEnd};
use crate::routing::freshness::FreshnessProof;
use crate::routing::view::SyncPage;
use crate::table::accounts::QuotaSpec;
use crate::table::configuration::ConfigurationRecord;
use crate::table::quota::{QuotaAsk, QuotaGrants, QuotaUsage};
use crate::table::rows::Row;

/// Raised with each change of a type on the wire; peers of other versions are refused.
pub const PROTOCOL: u32 = 9;

/// Why control did not do what was asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlRefusal {
    /// Another voter leads, at this address if known.
    NotLeader(Option<String>),
    /// No quorum confirmed it in time: it may or may not take effect.
    NoQuorum,
    /// The process stops.
    Stopping,
    /// It serves as many as it can: another one may have room.
    Busy,
}

/// The answer to an agent's beat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentOrders {
    /// The whole wish for its target; none where its life has ended: it must
    /// join again.
    pub plan: Option<TargetPlan>,
    /// The last change of what members follow.
    pub position: Position,
}

/// The answer to an entry's beat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryOrders {
    /// Shares of row limits above the floor.
    pub grants: BTreeMap<RowId, u32>,
    /// Its life has ended: it must join again.
    pub rejoin: bool,
    /// The last change of what members follow.
    pub position: Position,
}

/// A row with how far it is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowStatus {
    /// The row.
    pub row: Row,
    /// Processes that follow its version.
    pub in_force: usize,
    /// All processes.
    pub members: usize,
    /// The processes that do not, at most a few.
    pub lagging: Vec<HostName>,
    /// Ready homes of its model.
    pub homes: Vec<String>,
}

/// The table as operators read it back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableStatus {
    /// The log position it was read at.
    pub position: Position,
    /// The rows.
    pub rows: BTreeMap<RowId, RowStatus>,
}

/// A client account as operators read it; its keys are only counted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountStatus {
    /// Its name.
    pub name: AccountName,
    /// Its rank, where it has one.
    pub priority: Option<u32>,
    /// How many keys it has.
    pub keys: usize,
    /// None where it has no limit.
    pub limit: Option<LimitStatus>,
}

/// An account's limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitStatus {
    /// As configured.
    pub quota: QuotaSpec,
    /// As far as this leader knows.
    pub usage: QuotaUsage,
}

/// A voter's account of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlStatus {
    /// Its host.
    pub host: HostName,
    /// Its disk.
    pub node: NodeId,
    /// Its term.
    pub term: Term,
    /// The leader's host, as far as it knows.
    pub leader: Option<HostName>,
    /// Whether it may decide now.
    pub decides: bool,
    /// The voters' disks.
    pub voters: Vec<NodeId>,
    /// How far it has applied the log.
    pub position: Position,
    /// Members that live.
    pub members: BTreeMap<HostName, crate::consensus::state::MemberInfo>,
    /// Moves so far.
    pub moves: u64,
    /// Claims kept.
    pub claims: usize,
}

impl ControlStatus {
    /// The account of a host that keeps no log, or can no longer tell.
    pub fn without_log(host: HostName) -> Self {
        Self {
            host,
            node: NodeId(0),
            term: Term::default(),
            leader: None,
            decides: false,
            voters: Vec::new(),
            position: Position(0),
            members: BTreeMap::new(),
            moves: 0,
            claims: 0,
        }
    }
}

/// How far a control host has come, without the changes themselves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The data hall of this host.
    pub hall: HallName,
    /// The last change of what members follow.
    pub position: Position,
    /// How long this host has not heard from a leader, in milliseconds.
    pub leaderless_ms: u64,
    /// The control hosts that it knows.
    pub hosts: Vec<HostName>,
    /// Which configuration surely was the newest, and when; none where no leader has
    /// confirmed it.
    pub proof: Option<FreshnessProof>,
}

/// Calls to control hosts.
#[tarpc::service]
pub trait ControlWire {
    /// A voter's message to another.
    async fn raft(from: NodeId, host: HostName, message: RaftMessage);
    /// A process with a blank disk asks to be made a voter. The leader acts on
    /// it; each host tells the control hosts that it knows.
    async fn enroll(node: NodeId, host: HostName) -> Result<Notice, ControlRefusal>;
    /// The changes after a cursor, waiting up to `wait_ms` for one. With
    /// `fresh`, only from a state that nothing newer can exist besides.
    async fn sync(cursor: Position, wait_ms: u64, fresh: bool) -> Result<SyncPage, ControlRefusal>;
    /// Commits a command.
    async fn propose(command: Command) -> Result<(Position, Reply), ControlRefusal>;
    /// An agent's beat.
    async fn agent_beat(beat: AgentBeat) -> Result<AgentOrders, ControlRefusal>;
    /// An entry's beat.
    async fn entry_beat(beat: EntryBeat) -> Result<EntryOrders, ControlRefusal>;
    /// The table, by a linearizable read.
    async fn table() -> Result<TableStatus, ControlRefusal>;
    /// Looks a claim up, by a linearizable read.
    async fn claim(
        key: crate::consensus::claims::ClaimKey,
    ) -> Result<Option<ClaimRecord>, ControlRefusal>;
    /// This voter's account of itself.
    async fn status() -> ControlStatus;
    /// How far this host has come, waiting up to `wait_ms` for a change after a cursor.
    async fn notice(cursor: Position, wait_ms: u64) -> Result<Notice, ControlRefusal>;
    /// The configuration, by a linearizable read.
    async fn configuration() -> Result<Option<ConfigurationRecord>, ControlRefusal>;
    /// The version of the newest configuration, 0 for none; only from a leader whose
    /// lease holds.
    async fn confirm() -> Result<u64, ControlRefusal>;
    /// An entry draws from the quotas of accounts; for the leader.
    async fn quota(ask: QuotaAsk) -> Result<QuotaGrants, ControlRefusal>;
    /// All client accounts, with what is drawn of their quotas; for the leader.
    async fn accounts() -> Result<Vec<AccountStatus>, ControlRefusal>;
    /// Replicas that another control host has heard; for the leader.
    async fn heard(ids: Vec<ReplicaId>) -> Result<(), ControlRefusal>;
    /// An entry's report on demand; for the leader.
    async fn report(report: EntryReport) -> Result<ReportReply, ControlRefusal>;
    /// What an entry has waiting at replicas; the leader tells which ones are crowded.
    async fn crowd(report: CrowdReport) -> Result<WaitingTokens, ControlRefusal>;
    /// An entry wants an adapter; the leader tells whether it comes soon.
    async fn wish(wish: AdapterPlace) -> Result<bool, ControlRefusal>;
    /// An entry asks for the turn of an attempt of a suspect content; for the leader.
    async fn turn(ask: TurnAsk) -> Result<TurnAnswer, ControlRefusal>;
    /// An attempt that had a turn has ended; for the leader.
    async fn end_turn(end: TurnEnd) -> Result<(), ControlRefusal>;
    /// Asks the leader whether one request may go to a replica that takes few.
    async fn permit(request: PermitRequest) -> Result<PermitReply, ControlRefusal>;
    /// What an entry heard of the limits that replicas name; for the leader.
    async fn limits(report: LimitReport) -> Result<LimitPage, ControlRefusal>;
    /// The contents under which replicas ended, by a linearizable read.
    async fn contents() -> Result<CrashBook, ControlRefusal>;
    /// Compares a replica's heartbeat with what is committed here; for hosts that
    /// keep no log.
    async fn compare(record: ReplicaRecord) -> Result<BeatNews, ControlRefusal>;
    /// Whether this host keeps the log on a disk of its own. It is answered before
    /// the site is founded: its founders are found by it.
    async fn keeps_log() -> bool;
    /// A host that keeps the log tells where it is, for hosts that keep none and know
    /// only each other.
    async fn announce(host: HostName);
    /// A host with a disk asks a named one without to have the only founder named,
    /// where no host that all were told of has a disk. The first that asks is named,
    /// and stays so.
    async fn appoint(host: HostName) -> Result<HostName, ControlRefusal>;
    /// The named hosts without a disk agree on the founder.
    async fn naming(ask: NamingAsk) -> NamingAnswer;
}

/// An agent's word with its load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentWord {
    /// What it says of the attempt.
    pub word: AttemptStatus,
    /// Queued and running requests.
    pub load: u32,
    /// How far the agent follows the log: an entry that is behind catches up.
    pub position: Position,
}

/// Calls to agents. Each carries the caller's position, so that an agent that
/// is behind catches up.
#[tarpc::service]
pub trait AgentWire {
    /// Starts an attempt, once.
    async fn start(position: Position, ask: RunRequest) -> AgentWord;
    /// The answer from a piece on, waiting up to `wait_ms` for one.
    async fn pull(attempt: AttemptId, life: Incarnation, offset: u32, wait_ms: u64) -> AgentWord;
    /// Ends an attempt that has not started.
    async fn seal(attempt: AttemptId, life: Incarnation) -> AgentWord;
    /// Ends an attempt whose caller has gone.
    async fn cancel(attempt: AttemptId);
}

/// Cuts a table's status from the newest state.
pub fn table_status(
    state: &SiteState,
    in_force: impl Fn(Position) -> (usize, Vec<HostName>),
) -> TableStatus {
    let rows = state.table.rows().iter().map(|(id, row)| {
        let (members, lagging) = in_force(row.version);
        let ready = state.homes.iter().filter(|(_, homes)| {
            let home = homes.get(&row.fields.model);
            home.is_some_and(|home| home.phase == crate::consensus::state::HomePhase::Ready)
        });
        let status = RowStatus {
            row: row.clone(),
            in_force: members - lagging.len(),
            members,
            lagging: lagging.into_iter().take(MAX_LAGGING).collect(),
            homes: ready.map(|(target, _)| target.0.clone()).collect(),
        };
        (id.clone(), status)
    });
    TableStatus {
        position: state.position,
        rows: rows.collect(),
    }
}

/// Most lagging processes named for one row.
const MAX_LAGGING: usize = 16;
