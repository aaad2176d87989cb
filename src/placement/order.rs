//! Orders to the engines of replicas that register themselves, and their outcomes.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{HostName, ModelName, ReplicaId, ReplicaIncarnation, Term};

/// Kind of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderKind {
    /// Loads the model or adapter.
    Load,
    /// Unloads the model or adapter.
    Unload,
}

/// Identifies an order in all logs by the leader's term and a number within it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OrderId {
    /// Term of the leader.
    pub term: Term,
    /// Number of the order within the term, from 1.
    pub number: u64,
}

impl fmt::Display for OrderId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.term, self.number)
    }
}

/// An order to the engine of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaOrder {
    /// Number of the order within the leader's term, from 1.
    pub number: u64,
    /// The replica that the order is for.
    pub replica: ReplicaId,
    /// Start time of the replica's incarnation that the order is for; see [`ReplicaIncarnation`].
    pub started_ms: u64,
    /// Address of the replica.
    pub address: SocketAddr,
    /// Host of the leader that sends the order.
    pub holder: HostName,
    /// Fencing token: the leader's term.
    pub fence: Term,
    /// Load or unload.
    pub kind: OrderKind,
    /// The model.
    pub model: ModelName,
    /// The adapter; `None` for an order on the model itself.
    pub adapter: Option<String>,
}

impl ReplicaOrder {
    /// Returns the incarnation of the replica that the order is for.
    pub fn incarnation(&self) -> ReplicaIncarnation {
        ReplicaIncarnation {
            id: self.replica.clone(),
            started_ms: self.started_ms,
        }
    }

    /// Returns the id of the order.
    pub fn id(&self) -> OrderId {
        OrderId {
            term: self.fence,
            number: self.number,
        }
    }
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// The engine has accepted the order and carries it out.
    Taken,
    /// The effect of the order already holds.
    Held,
    /// The engine is busy, or the order was not sent.
    Busy,
    /// The engine has taken another number of orders than the order expected, and reports that none
    /// is being executed.
    CountMismatch,
    /// The engine has accepted a higher fencing token from another holder.
    Fenced,
    /// The engine refused the order, or is not the replica that the order names.
    Refused,
    /// No response: the order may be carried out or not.
    Unknown,
}

/// An adapter at a replica, as requested, used or ordered there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AdapterPlacement {
    /// The replica.
    pub replica: ReplicaId,
    /// The base model, which the replica holds.
    pub model: ModelName,
    /// The adapter.
    pub adapter: String,
}
