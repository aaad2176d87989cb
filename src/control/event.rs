//! What reaches the voter's thread, and the way there.

use std::collections::BTreeSet;
use std::sync::mpsc::Sender;

use tokio::sync::oneshot;

use crate::consensus::claims::{ClaimKey, ClaimRecord};
use crate::consensus::crashes::CrashBook;
use crate::consensus::directory::{BeatNews, ReplicaRecord};
use crate::consensus::raft::RaftMessage;
use crate::consensus::state::{Command, Reply};
use crate::ids::{HostName, NodeId, Position, ReplicaId, Term};
use crate::placement::crowd::{CrowdReport, WaitingTokens};
use crate::placement::duties::{AgentBeat, EntryBeat};
use crate::placement::named_limits::{LimitPage, LimitReport};
use crate::placement::order::{AdapterPlace, EngineOrder, OrderOutcome};
use crate::placement::replica_rates::{PermitReply, PermitRequest};
use crate::placement::report::{EntryReport, ReportReply};
use crate::placement::turns::{TurnAnswer, TurnAsk, TurnEnd};
use crate::process::wire::{
    AccountStatus, AgentHeartbeatReply, ControlRefusal, ControlStatus, EntryHeartbeatReply,
    PositionUpdate, TableStatus,
};
use crate::routing::view::SyncPage;
use crate::table::configuration::ConfigurationRecord;
use crate::table::quota::{QuotaAsk, QuotaGrants};

/// Where the answer to an event goes.
pub type ReplySender<T> = oneshot::Sender<Result<T, ControlRefusal>>;

/// What reaches the voter's thread.
pub enum ControlEvent {
    /// A message from a voter.
    Raft(NodeId, HostName, RaftMessage),
    /// A process with a blank disk asks to be made a voter.
    Enroll(NodeId, HostName, ReplySender<PositionUpdate>),
    /// Commit a command.
    Propose(Command, ReplySender<(Position, Reply)>),
    /// The changes after a cursor.
    Sync {
        /// The cursor.
        cursor: Position,
        /// How long to wait for a change, in milliseconds.
        wait_ms: u64,
        /// Only from a state that is surely the newest.
        fresh: bool,
        /// The asker.
        answer: ReplySender<SyncPage>,
    },
    /// An agent's beat.
    AgentHeartbeat(AgentBeat, ReplySender<AgentHeartbeatReply>),
    /// An entry's beat.
    EntryHeartbeat(EntryBeat, ReplySender<EntryHeartbeatReply>),
    /// The table.
    Table(ReplySender<TableStatus>),
    /// A claim.
    Claim(ClaimKey, ReplySender<Option<ClaimRecord>>),
    /// This voter's account of itself.
    Status(oneshot::Sender<ControlStatus>),
    /// Hosts that the platform's list names as leaving.
    LeavingHosts(BTreeSet<HostName>),
    /// How far this voter has come.
    PositionUpdate {
        /// Wait for a change after this.
        cursor: Position,
        /// How long to wait for it, in milliseconds.
        wait_ms: u64,
        /// The asker.
        answer: ReplySender<PositionUpdate>,
    },
    /// The configuration, from a state that is surely the newest.
    Configuration(ReplySender<Option<ConfigurationRecord>>),
    /// The version of the newest configuration; for the leader.
    Confirm(ReplySender<u64>),
    /// The leader confirmed that version, asked at a moment of this host's steady clock.
    Confirmed {
        /// The version; 0 for none.
        version: u64,
        /// When it was asked.
        asked_ms: u64,
    },
    /// An entry draws from quotas; for the leader.
    Quota(QuotaAsk, ReplySender<QuotaGrants>),
    /// All client accounts, for operators; for the leader.
    Accounts(ReplySender<Vec<AccountStatus>>),
    /// Replicas that a control host has heard; for the leader.
    ReplicasSeen(Vec<ReplicaId>, ReplySender<()>),
    /// An entry's report; for the leader.
    Report(EntryReport, ReplySender<ReportReply>),
    /// What an entry has waiting at replicas; for the leader.
    QueuedTokens(CrowdReport, ReplySender<WaitingTokens>),
    /// An entry's wish; for the leader.
    AdapterRequest(AdapterPlace, ReplySender<bool>),
    /// An entry asks for the turn of a suspect content; for the leader.
    SuspectLease(TurnAsk, ReplySender<TurnAnswer>),
    /// A turn has ended; for the leader.
    SuspectLeaseEnd(TurnEnd, ReplySender<()>),
    /// Whether one request may go to a replica that takes few; for the leader.
    Permit(PermitRequest, ReplySender<PermitReply>),
    /// What an entry heard of replicas' limits; for the leader.
    Limits(LimitReport, ReplySender<LimitPage>),
    /// The contents under which replicas ended, from a state that is surely the newest.
    Contents(ReplySender<CrashBook>),
    /// Whether an order of that term may leave now, and for how long.
    OrderPermit(Term, ReplySender<SendPermit>),
    /// An engine's answer to an order of this leader.
    OrderDone(EngineOrder, OrderOutcome),
    /// Compares a replica's heartbeat with what is committed here.
    Compare(Box<ReplicaRecord>, ReplySender<BeatNews>),
    /// Stop: hand over first.
    Stop(oneshot::Sender<()>),
}

impl ControlEvent {
    /// Whether it asks for a state that nothing newer can exist besides.
    pub(super) fn is_linearizable(&self) -> bool {
        match self {
            Self::Configuration(_)
            | Self::Table(_)
            | Self::Claim(..)
            | Self::Confirm(_)
            | Self::Contents(_)
            | Self::SuspectLease(..) => true,
            Self::Sync { fresh, .. } => *fresh,
            _ => false,
        }
    }
}

/// Leave to send an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendPermit {
    /// Until then no other leader decides, by [`crate::clock::monotonic_ms`]: the leader's lease as
    /// it was when this was given. Nothing of the order may leave later.
    pub until_ms: u64,
}

/// Sends events to the voter's thread.
#[derive(Clone)]
pub struct ControlHandle(pub Sender<ControlEvent>);

impl ControlHandle {
    /// Asks, and waits for the answer.
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

    /// Tells, and waits for nothing.
    pub fn notify(&self, event: ControlEvent) {
        let _ = self.0.send(event);
    }
}
