//! What reaches the voter's thread, and the way there.

use std::collections::BTreeSet;
use std::sync::mpsc::Sender;

use tokio::sync::oneshot;

use crate::consensus::claims::{ClaimKey, ClaimRecord};
use crate::consensus::crashes::CrashStore;
use crate::consensus::directory::{HeartbeatStatus, ReplicaRecord};
use crate::consensus::raft::RaftMessage;
use crate::consensus::state::{Command, Reply};
use crate::ids::{HostName, NodeId, Position, ReplicaId, Term};
use crate::placement::congestion::{QueueReport, QueuedTokens};
use crate::placement::named_limits::{LimitPage, LimitReport};
use crate::placement::order::{AdapterPlacement, EngineOrder, OrderOutcome};
use crate::placement::replica_rates::{PermitReply, PermitRequest};
use crate::placement::report::{EntryReport, ReportReply};
use crate::placement::suspect_leases::{
    SuspectLeaseRelease, SuspectLeaseReply, SuspectLeaseRequest,
};
use crate::placement::target_controller::{AgentHeartbeat, EntryHeartbeat};
use crate::process::wire::{
    AccountStatus, AgentOrders, ControlRefusal, ControlStatus, EntryOrders, Notice, TableStatus,
};
use crate::routing::view::SyncPage;
use crate::table::configuration::ConfigurationRecord;
use crate::table::quota::{QuotaGrants, QuotaRequest};

/// Where the answer to an event goes.
pub type Answer<T> = oneshot::Sender<Result<T, ControlRefusal>>;

/// What reaches the voter's thread.
pub enum ControlEvent {
    /// A message from a voter.
    Raft(NodeId, HostName, RaftMessage),
    /// A process with a blank disk asks to be made a voter.
    Enroll(NodeId, HostName, Answer<Notice>),
    /// Commit a command.
    Propose(Command, Answer<(Position, Reply)>),
    /// The changes after a cursor.
    Sync {
        /// The cursor.
        cursor: Position,
        /// How long to wait for a change, in milliseconds.
        wait_ms: u64,
        /// Only from a state that is surely the newest.
        fresh: bool,
        /// The asker.
        answer: Answer<SyncPage>,
    },
    /// An agent's beat.
    Agent(AgentHeartbeat, Answer<AgentOrders>),
    /// An entry's beat.
    Entry(EntryHeartbeat, Answer<EntryOrders>),
    /// The table.
    Table(Answer<TableStatus>),
    /// A claim.
    Claim(ClaimKey, Answer<Option<ClaimRecord>>),
    /// This voter's account of itself.
    Status(oneshot::Sender<ControlStatus>),
    /// Hosts that the platform's list names as leaving.
    Platform(BTreeSet<HostName>),
    /// How far this voter has come.
    Notice {
        /// Wait for a change after this.
        cursor: Position,
        /// How long to wait for it, in milliseconds.
        wait_ms: u64,
        /// The asker.
        answer: Answer<Notice>,
    },
    /// The configuration, from a state that is surely the newest.
    Configuration(Answer<Option<ConfigurationRecord>>),
    /// The version of the newest configuration; for the leader.
    Confirm(Answer<u64>),
    /// The leader confirmed that version, asked at a moment of this host's steady clock.
    Confirmed {
        /// The version; 0 for none.
        version: u64,
        /// When it was asked.
        asked_ms: u64,
    },
    /// An entry draws from quotas; for the leader.
    Quota(QuotaRequest, Answer<QuotaGrants>),
    /// All client accounts, for operators; for the leader.
    Accounts(Answer<Vec<AccountStatus>>),
    /// Replicas that a control host has heard; for the leader.
    Heard(Vec<ReplicaId>, Answer<()>),
    /// An entry's report; for the leader.
    Report(EntryReport, Answer<ReportReply>),
    /// What an entry has waiting at replicas; for the leader.
    Crowd(QueueReport, Answer<QueuedTokens>),
    /// An entry's wish; for the leader.
    Wish(AdapterPlacement, Answer<bool>),
    /// An entry asks for the turn of a suspect content; for the leader.
    Turn(SuspectLeaseRequest, Answer<SuspectLeaseReply>),
    /// A turn has ended; for the leader.
    TurnEnded(SuspectLeaseRelease, Answer<()>),
    /// Whether one request may go to a replica that takes few; for the leader.
    Permit(PermitRequest, Answer<PermitReply>),
    /// What an entry heard of replicas' limits; for the leader.
    Limits(LimitReport, Answer<LimitPage>),
    /// The contents under which replicas ended, from a state that is surely the newest.
    Contents(Answer<CrashStore>),
    /// Whether an order of that term may leave now, and for how long.
    MayOrder(Term, Answer<SendPermit>),
    /// An engine's answer to an order of this leader.
    Ordered(EngineOrder, OrderOutcome),
    /// Compares a replica's heartbeat with what is committed here.
    Compare(Box<ReplicaRecord>, Answer<HeartbeatStatus>),
    /// Stop: hand over first.
    Stop(oneshot::Sender<()>),
}

impl ControlEvent {
    /// Whether it asks for a state that nothing newer can exist besides.
    pub(super) fn reads_newest(&self) -> bool {
        match self {
            Self::Configuration(_)
            | Self::Table(_)
            | Self::Claim(..)
            | Self::Confirm(_)
            | Self::Contents(_)
            | Self::Turn(..) => true,
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
    pub async fn ask<T>(
        &self,
        make: impl FnOnce(Answer<T>) -> ControlEvent,
    ) -> Result<T, ControlRefusal> {
        let (answer, wait) = oneshot::channel();
        let sent = self.0.send(make(answer));
        match sent {
            Ok(()) => wait.await.unwrap_or(Err(ControlRefusal::Stopping)),
            Err(_) => Err(ControlRefusal::Stopping),
        }
    }

    /// Tells, and waits for nothing.
    pub fn tell(&self, event: ControlEvent) {
        let _ = self.0.send(event);
    }
}
