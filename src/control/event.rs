//! Events of the voter's thread, and the handle that sends them.

use std::collections::BTreeSet;
use std::sync::mpsc::Sender;

use tokio::sync::oneshot;

use crate::consensus::claims::{ClaimKey, ClaimRecord};
use crate::consensus::crashes::CrashStore;
use crate::consensus::directory::HeartbeatStatus;
use crate::consensus::membership::LeaveStatus;
use crate::consensus::part_crashes::PartStore;
use crate::consensus::raft::RaftMessage;
use crate::consensus::software_versions::{ReplicaHeartbeat, VersionMix};
use crate::consensus::state::{Command, EncodedCommand, Reply};
use crate::ids::{HostName, NodeId, Position, ReplicaId, ServiceName, Term};
use crate::placement::advertised_limits::{LimitPage, LimitReport};
use crate::placement::congestion::{QueueReport, QueuedTokens};
use crate::placement::order::{AdapterPlacement, OrderOutcome, ReplicaOrder};
use crate::placement::replica_rates::{PermitReply, PermitRequest};
use crate::placement::report::{EntryReport, ReportReply};
use crate::placement::suspect_leases::{
    SuspectLeaseRelease, SuspectLeaseReply, SuspectLeaseRequest,
};
use crate::placement::target_controller::{AgentHeartbeat, EntryHeartbeat};
use crate::process::wire::{
    AccountStatus, AgentHeartbeatReply, ControlRefusal, ControlStatus, EntryHeartbeatReply,
    PositionUpdate, TableStatus,
};
use crate::routing::view::SyncPage;
use crate::table::configuration::ConfigurationRecord;
use crate::table::quota::{QuotaGrants, QuotaRequest};

/// Channel for the reply to an event.
pub type ReplySender<T> = oneshot::Sender<Result<T, ControlRefusal>>;

/// An event for the voter's thread.
pub enum ControlEvent {
    /// A Raft message from another voter.
    Raft(NodeId, HostName, RaftMessage),
    /// A process with a blank disk requests to become a voter.
    Enroll(NodeId, HostName, ReplySender<PositionUpdate>),
    /// Commits a command.
    Propose(Command, ReplySender<(Position, Reply)>),
    /// Commits an encoded command.
    ProposeEncoded(EncodedCommand, ReplySender<(Position, Reply)>),
    /// Reads the changes after a cursor.
    Sync {
        /// Position of the last change that the caller has.
        cursor: Position,
        /// Longest wait for a change, in milliseconds.
        wait_ms: u64,
        /// Makes the read linearizable: only the leader replies, within its lease.
        fresh: bool,
        /// Receives the changes.
        answer: ReplySender<SyncPage>,
    },
    /// Heartbeat of an agent.
    AgentHeartbeat(AgentHeartbeat, ReplySender<AgentHeartbeatReply>),
    /// Heartbeat of an entry.
    EntryHeartbeat(EntryHeartbeat, ReplySender<EntryHeartbeatReply>),
    /// Reads the table; linearizable.
    Table(ReplySender<TableStatus>),
    /// Reads a claim; linearizable.
    Claim(ClaimKey, ReplySender<Option<ClaimRecord>>),
    /// Reads the status of this voter.
    Status(oneshot::Sender<ControlStatus>),
    /// Hosts that the platform lists as leaving.
    LeavingHosts(BTreeSet<HostName>),
    /// Reads the position of this voter, without the changes themselves.
    PositionUpdate {
        /// Waits for a change after this position.
        cursor: Position,
        /// Longest wait, in milliseconds.
        wait_ms: u64,
        /// Receives the position.
        answer: ReplySender<PositionUpdate>,
    },
    /// Reads the configuration as this voter has it.
    Configuration(ReplySender<Option<ConfigurationRecord>>),
    /// Reads the version of the newest configuration; linearizable, for the leader.
    Confirm(ReplySender<u64>),
    /// The leader has confirmed the version of the newest configuration.
    Confirmed {
        /// The version; 0 for none.
        version: u64,
        /// When the leader was queried, in milliseconds of this host's monotonic clock.
        sent_ms: u64,
    },
    /// An entry draws from quotas; for the leader.
    Quota(QuotaRequest, ReplySender<QuotaGrants>),
    /// Lists all client accounts, for operators; for the leader.
    Accounts(ReplySender<Vec<AccountStatus>>),
    /// Replicas that sent heartbeats to a control host; for the leader.
    ReplicasSeen(Vec<ReplicaId>, ReplySender<()>),
    /// Report of an entry; for the leader.
    Report(EntryReport, ReplySender<ReportReply>),
    /// Prompt tokens of an entry that wait at replicas; for the leader.
    QueuedTokens(QueueReport, ReplySender<QueuedTokens>),
    /// An entry requests an adapter at a replica; for the leader.
    AdapterRequest(AdapterPlacement, ReplySender<bool>),
    /// An entry requests the lease for one attempt of a suspect content; linearizable, for the
    /// leader.
    SuspectLease(SuspectLeaseRequest, ReplySender<SuspectLeaseReply>),
    /// Releases such a lease; for the leader.
    SuspectLeaseEnd(SuspectLeaseRelease, ReplySender<()>),
    /// Requests a permit for one request to a replica with a rate limit; for the leader.
    Permit(PermitRequest, ReplySender<PermitReply>),
    /// Rate limits of replicas that an entry has observed; for the leader.
    Limits(LimitReport, ReplySender<LimitPage>),
    /// Reads the contents during which replicas crashed; linearizable.
    Contents(ReplySender<CrashStore>),
    /// Reads the prompt parts that ran when replicas crashed; linearizable.
    Parts(ReplySender<PartStore>),
    /// Requests a permit to send an order of that term.
    OrderPermit(Term, ReplySender<SendPermit>),
    /// An order of this leader has ended with that outcome.
    OrderDone(ReplicaOrder, OrderOutcome),
    /// Returns which software versions a service runs; for the leader.
    VersionMix(ServiceName, ReplySender<Option<VersionMix>>),
    /// Compares a replica's heartbeat with the state that is committed here.
    Compare(Box<ReplicaHeartbeat>, ReplySender<HeartbeatStatus>),
    /// A voter is about to stop; for the leader.
    Leave(NodeId, ReplySender<LeaveStatus>),
    /// Hands over the leadership and takes no more proposals. The reply comes once another voter
    /// leads, or after a while.
    HandOver(oneshot::Sender<()>),
    /// Hands over the leadership and stops.
    Stop(oneshot::Sender<()>),
}

impl ControlEvent {
    /// Returns whether the event reads or checks the newest state. Such an event waits until
    /// this voter has applied all that is committed.
    pub(super) fn needs_newest(&self) -> bool {
        match self {
            Self::Table(_)
            | Self::Claim(..)
            | Self::Confirm(_)
            | Self::Contents(_)
            | Self::Parts(_)
            | Self::VersionMix(..)
            | Self::SuspectLease(..) => true,
            Self::Sync { fresh, .. } => *fresh,
            _ => false,
        }
    }
}

/// Permit to send an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendPermit {
    /// End of the leader's lease when the permit was given, by [`crate::clock::monotonic_ms`]:
    /// until then no other leader decides. No byte of the order may be sent later.
    pub until_ms: u64,
}

/// Sends events to the voter's thread.
#[derive(Clone)]
pub struct ControlHandle(pub Sender<ControlEvent>);

impl ControlHandle {
    /// Sends an event and waits for its reply.
    pub async fn request<T>(
        &self,
        make: impl FnOnce(ReplySender<T>) -> ControlEvent,
    ) -> Result<T, ControlRefusal> {
        let (answer, wait) = oneshot::channel();
        let sent = self.0.send(make(answer));
        match sent {
            Ok(()) => wait.await.unwrap_or(Err(ControlRefusal::Stopping)),
            Err(_) => Err(ControlRefusal::Stopping),
        }
    }

    /// Sends an event without waiting for a reply.
    pub fn notify(&self, event: ControlEvent) {
        let _ = self.0.send(event);
    }
}
