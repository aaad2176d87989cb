//! Calls between the system's own processes.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::admission::controller::{AttemptStatus, RunRequest, TargetPlan};
use crate::consensus::claims::ClaimRecord;
use crate::consensus::crashes::CrashStore;
use crate::consensus::directory::HeartbeatStatus;
use crate::consensus::membership::LeaveStatus;
use crate::consensus::part_crashes::PartStore;
use crate::consensus::paxos::{PaxosReply, PaxosRequest};
use crate::consensus::raft::{LogUsage, RaftMessage};
use crate::consensus::software_versions::{ReplicaHeartbeat, VersionMix};
use crate::consensus::state::{Command, Reply, SiteState};
use crate::ids::{
    AccountName, AttemptId, HallName, HostName, Incarnation, NodeId, Position, ReplicaId, RowId,
    ServiceName, Term,
};
use crate::placement::advertised_limits::{LimitPage, LimitReport};
use crate::placement::congestion::{QueueReport, QueuedTokens};
use crate::placement::order::AdapterPlacement;
use crate::placement::replica_rates::{PermitReply, PermitRequest};
use crate::placement::report::{EntryReport, ReportReply};
use crate::placement::suspect_leases::{
    SuspectLeaseRelease, SuspectLeaseReply, SuspectLeaseRequest,
};
use crate::placement::target_controller::{AgentHeartbeat, EntryHeartbeat};
use crate::placement::unserved::UnservedSummary;
use crate::process::pages::{SyncReply, ValueSlice};
use crate::process::transfer::{PieceError, TransferId, ValuePiece};
use crate::routing::freshness::FreshnessProof;
use crate::routing::stream_origins::{OriginBatch, StreamKey, StreamOrigin};
use crate::table::accounts::QuotaSpec;
use crate::table::quota::{QuotaGrants, QuotaRequest, QuotaUsage};
use crate::table::rows::Row;

/// Protocol version. Incremented with each change of a type on the wire; peers with another
/// version are refused.
pub const PROTOCOL: u32 = 14;

/// Reason why a control host refused a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlRefusal {
    /// Another voter leads, at this address if known.
    NotLeader(Option<String>),
    /// No quorum confirmed the command in time: it may take effect or not.
    NoQuorum,
    /// The process is stopping.
    Stopping,
    /// The host serves as many callers as it can: another one may have capacity.
    Busy,
}

/// Reply to an agent's heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentHeartbeatReply {
    /// Complete plan for its target; `None` if its incarnation has ended and the agent must
    /// join again.
    pub plan: Option<TargetPlan>,
    /// Position of the last change that members follow.
    pub position: Position,
}

/// Reply to an entry's heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryHeartbeatReply {
    /// Shares of row limits above the floor.
    pub grants: BTreeMap<RowId, u32>,
    /// The entry's incarnation has ended: it must join again.
    pub rejoin: bool,
    /// Position of the last change that members follow.
    pub position: Position,
}

/// A row, and how many processes have its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowStatus {
    /// The row.
    pub row: Row,
    /// Number of processes that have its version.
    pub in_force: usize,
    /// Number of all processes.
    pub members: usize,
    /// Processes that do not have it yet, at most `MAX_LAGGING_NAMES`.
    pub lagging: Vec<HostName>,
    /// Targets on which the row's model is ready.
    pub homes: Vec<String>,
}

/// The table as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableStatus {
    /// Log position of the read.
    pub position: Position,
    /// Rows.
    pub rows: BTreeMap<RowId, RowStatus>,
}

/// A client account as shown to operators, with the number of its keys only.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountStatus {
    /// Name of the account.
    pub name: AccountName,
    /// Priority, if it has one.
    pub priority: Option<u32>,
    /// Number of keys.
    pub keys: usize,
    /// Limit; `None` if it has none.
    pub limit: Option<LimitStatus>,
}

/// Limit of an account.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitStatus {
    /// The configured quota.
    pub quota: QuotaSpec,
    /// Its usage, as far as this leader knows.
    pub usage: QuotaUsage,
}

/// Status of a voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlStatus {
    /// Its host.
    pub host: HostName,
    /// Identity of its disk.
    pub node: NodeId,
    /// Its term.
    pub term: Term,
    /// Host of the leader, as far as the voter knows.
    pub leader: Option<HostName>,
    /// Whether the voter may decide now.
    pub decides: bool,
    /// Identities of the voters' disks.
    pub voters: Vec<NodeId>,
    /// Log position that it has applied.
    pub position: Position,
    /// Live members.
    pub members: BTreeMap<HostName, crate::consensus::state::MemberInfo>,
    /// Number of moves so far.
    pub moves: u64,
    /// Number of claims kept.
    pub claims: usize,
    /// Models and adapters that are requested without being served, as the leader knows.
    pub unserved: UnservedSummary,
    /// Other voters whose messages this voter expects and does not receive.
    pub silent_voters: Vec<SilentVoter>,
    /// Sizes of the log in the voter's memory.
    pub log: LogUsage,
}

/// A voter that has sent no message to another one for some time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilentVoter {
    /// Identity of its disk.
    pub node: NodeId,
    /// Its host, if known.
    pub host: Option<HostName>,
    /// Time since its last message, in milliseconds.
    pub silent_ms: u64,
}

impl fmt::Display for SilentVoter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.host {
            Some(host) => write!(f, "{host} for {} ms", self.silent_ms),
            None => write!(f, "disk {} for {} ms", self.node, self.silent_ms),
        }
    }
}

impl ControlStatus {
    /// Returns the status of a host that keeps no log, or whose voter has stopped.
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
            unserved: UnservedSummary::default(),
            silent_voters: Vec::new(),
            log: LogUsage::default(),
        }
    }

    /// Returns how many more voters may be lost before there is no quorum.
    pub fn bearable_losses(&self) -> usize {
        let live = self.voters.len() - self.silent_voters.len();
        live.saturating_sub(self.voters.len() / 2 + 1)
    }
}

/// Position of a control host in the log, without the changes themselves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PositionUpdate {
    /// Data hall of this host.
    pub hall: HallName,
    /// Position of the last change that members follow.
    pub position: Position,
    /// Time since this host last heard from a leader, in milliseconds.
    pub leaderless_ms: u64,
    /// Control hosts that this host knows.
    pub hosts: Vec<HostName>,
    /// Proof of which configuration was the newest, and when; `None` if no leader has confirmed
    /// one.
    pub proof: Option<FreshnessProof>,
}

/// Payloads of a message that were sent in pieces before it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DetachedPayloads {
    /// Transfer of all of them.
    pub transfer: TransferId,
    /// Length of each, in bytes.
    pub lens: Vec<usize>,
}

/// Calls to control hosts.
#[tarpc::service]
pub trait ControlWire {
    /// Sends a Raft message to another voter.
    async fn raft(from: NodeId, host: HostName, message: RaftMessage);
    /// Sends a piece of a value that a later call refers to.
    async fn transfer(piece: ValuePiece) -> Result<(), PieceError>;
    /// Sends a Raft message whose payloads have been transferred.
    async fn raft_large(
        from: NodeId,
        host: HostName,
        message: RaftMessage,
        payloads: DetachedPayloads,
    );
    /// Requests that a process with a blank disk becomes a voter. Only the leader acts on it;
    /// every host replies with the control hosts that it knows.
    async fn enroll(node: NodeId, host: HostName) -> Result<PositionUpdate, ControlRefusal>;
    /// Returns the changes after a cursor, and waits up to `wait_ms` for one. With `fresh`, the
    /// read is linearizable.
    async fn sync(cursor: Position, wait_ms: u64, fresh: bool)
    -> Result<SyncReply, ControlRefusal>;
    /// Commits a command.
    async fn propose(command: Command) -> Result<(Position, Reply), ControlRefusal>;
    /// Commits an encoded command that has been transferred.
    async fn propose_large(transfer: TransferId) -> Result<(Position, Reply), ControlRefusal>;
    /// Sends an agent's heartbeat.
    async fn agent_beat(beat: AgentHeartbeat) -> Result<AgentHeartbeatReply, ControlRefusal>;
    /// Sends an entry's heartbeat.
    async fn entry_beat(beat: EntryHeartbeat) -> Result<EntryHeartbeatReply, ControlRefusal>;
    /// Reads the table; linearizable.
    async fn table() -> Result<TableStatus, ControlRefusal>;
    /// Reads a claim; linearizable.
    async fn claim(
        key: crate::consensus::claims::ClaimKey,
    ) -> Result<Option<ClaimRecord>, ControlRefusal>;
    /// Returns the status of this voter.
    async fn status() -> ControlStatus;
    /// Returns the position of this host, and waits up to `wait_ms` for a change after a
    /// cursor.
    async fn notice(cursor: Position, wait_ms: u64) -> Result<PositionUpdate, ControlRefusal>;
    /// Returns a slice of the text of the configuration with that version, from a host that has
    /// it.
    async fn configuration_text(version: u64, offset: u64) -> Result<ValueSlice, ControlRefusal>;
    /// Returns a slice of the encoded configuration that a page of this host left out.
    async fn configuration(version: u64, offset: u64) -> Result<ValueSlice, ControlRefusal>;
    /// Returns the version of the newest configuration, 0 for none; only from a leader whose
    /// lease is valid.
    async fn confirm() -> Result<u64, ControlRefusal>;
    /// Draws from the quotas of accounts, for an entry; for the leader.
    async fn quota(request: QuotaRequest) -> Result<QuotaGrants, ControlRefusal>;
    /// Lists all client accounts, with the usage of their quotas; for the leader.
    async fn accounts() -> Result<Vec<AccountStatus>, ControlRefusal>;
    /// Reports the replicas that sent heartbeats to another control host; for the leader.
    async fn heard(ids: Vec<ReplicaId>) -> Result<(), ControlRefusal>;
    /// Sends an entry's report on demand; for the leader.
    async fn report(report: EntryReport) -> Result<ReportReply, ControlRefusal>;
    /// Reports the prompt tokens of an entry that wait at replicas. The leader returns the most
    /// congested ones.
    async fn crowd(report: QueueReport) -> Result<QueuedTokens, ControlRefusal>;
    /// Requests an adapter at a replica, for an entry. The leader returns whether it will be
    /// loaded soon.
    async fn wish(request: AdapterPlacement) -> Result<bool, ControlRefusal>;
    /// Requests the lease for one attempt of a suspect content, for an entry; for the leader.
    async fn turn(request: SuspectLeaseRequest) -> Result<SuspectLeaseReply, ControlRefusal>;
    /// Releases the lease of an attempt that has ended; for the leader.
    async fn end_turn(end: SuspectLeaseRelease) -> Result<(), ControlRefusal>;
    /// Requests a permit for one request to a replica with a rate limit; for the leader.
    async fn permit(request: PermitRequest) -> Result<PermitReply, ControlRefusal>;
    /// Reports the rate limits that replicas advertise to an entry; for the leader.
    async fn limits(report: LimitReport) -> Result<LimitPage, ControlRefusal>;
    /// Reads the contents during which replicas crashed; linearizable.
    async fn contents() -> Result<CrashStore, ControlRefusal>;
    /// Compares a replica's heartbeat with the state that is committed here; for hosts that
    /// keep no log.
    async fn compare(heartbeat: ReplicaHeartbeat) -> Result<HeartbeatStatus, ControlRefusal>;
    /// Returns whether this host keeps the log on its own disk. Answered before the site
    /// exists, as the hosts that bootstrap it are found by this call.
    async fn keeps_log() -> bool;
    /// Announces a host that keeps the log, to hosts that keep none and only know each other.
    async fn announce(host: HostName);
    /// Requests that a configured host without a disk has the caller chosen as the only bootstrap
    /// host, used if none of the configured hosts has a disk. The first host that is chosen remains
    /// the bootstrap host.
    async fn appoint(host: HostName) -> Result<HostName, ControlRefusal>;
    /// Sends a Paxos request of the agreement on the bootstrap host to a configured host without
    /// a disk.
    async fn naming(request: PaxosRequest) -> PaxosReply;
    /// Stores the origins of streams on this host, whether or not it keeps the log.
    async fn store_origins(batch: OriginBatch);
    /// Returns the origins of streams in the order of their keys, `None` for those that this host has
    /// not stored.
    async fn find_origins(keys: Vec<StreamKey>) -> Vec<Option<StreamOrigin>>;
    /// Reads which software versions a service runs; linearizable.
    async fn version_mix(service: ServiceName) -> Result<Option<VersionMix>, ControlRefusal>;
    /// Reads the prompt parts that ran when replicas crashed; linearizable.
    async fn parts() -> Result<PartStore, ControlRefusal>;
    /// Announces that a voter is about to stop; for the leader.
    async fn leave(node: NodeId) -> Result<LeaveStatus, ControlRefusal>;
}

/// An agent's reply, with its load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentReply {
    /// Status of the attempt.
    pub status: AttemptStatus,
    /// Number of queued and running requests.
    pub load: u32,
    /// Log position of the agent, so that an entry that is behind catches up.
    pub position: Position,
}

/// Calls to agents. Starting an attempt carries the caller's position, so that an agent that is
/// behind catches up.
#[tarpc::service]
pub trait AgentWire {
    /// Starts an attempt, at most once.
    async fn start(position: Position, request: RunRequest) -> AgentReply;
    /// Returns the output from a piece on, and waits up to `wait_ms` for one.
    async fn pull(
        attempt: AttemptId,
        incarnation: Incarnation,
        offset: u32,
        wait_ms: u64,
    ) -> AgentReply;
    /// Ends an attempt that has not started, for good; returns the status of one that has.
    async fn seal(attempt: AttemptId, incarnation: Incarnation) -> AgentReply;
    /// Cancels an attempt whose caller has gone.
    async fn cancel(attempt: AttemptId);
}

/// Returns the status of the table in a state.
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
            lagging: lagging.into_iter().take(MAX_LAGGING_NAMES).collect(),
            homes: ready.map(|(target, _)| target.0.clone()).collect(),
        };
        (id.clone(), status)
    });
    TableStatus {
        position: state.position,
        rows: rows.collect(),
    }
}

/// Maximum number of lagging processes that are named for one row.
const MAX_LAGGING_NAMES: usize = 16;
