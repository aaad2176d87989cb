//! Orders to the engines of replicas that registered themselves, and what they answer.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{HostName, ModelName, ReplicaId, ReplicaLife, Term};

/// What an order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderKind {
    /// Bring the model or adapter in.
    Load,
    /// Take it out.
    Unload,
}

/// Tells an order apart in all logs: the leader's term, and a number within it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OrderId {
    /// The leader's term.
    pub term: Term,
    /// The number of the order in that term, from 1.
    pub number: u64,
}

impl fmt::Display for OrderId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.term, self.number)
    }
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Its number within the leader's term, from 1.
    pub number: u64,
    /// The replica that is meant.
    pub replica: ReplicaId,
    /// When its life that is meant began; see [`ReplicaLife`].
    pub started_ms: u64,
    /// Where it listens.
    pub address: SocketAddr,
    /// Who orders.
    pub holder: HostName,
    /// The fencing token: the leader's term.
    pub fence: Term,
    /// In or out.
    pub kind: OrderKind,
    /// The model.
    pub model: ModelName,
    /// The adapter, where not the model itself is meant.
    pub adapter: Option<String>,
}

impl EngineOrder {
    /// The replica's life that is meant.
    pub fn incarnation(&self) -> ReplicaLife {
        ReplicaLife {
            id: self.replica.clone(),
            born_ms: self.started_ms,
        }
    }

    /// Which order it is.
    pub fn id(&self) -> OrderId {
        OrderId {
            term: self.fence,
            number: self.number,
        }
    }
}

/// How an order ended at the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// It is being carried out.
    Taken,
    /// It holds already.
    Held,
    /// The engine is busy, its count of orders is another, or nothing was sent.
    Busy,
    /// Another holder has a higher fencing token.
    Fenced,
    /// The engine refuses it, or is another one.
    Refused,
    /// No answer: it may be carried out, or not.
    Unknown,
}

/// An adapter on a replica: wanted, used, or ordered there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AdapterPlacement {
    /// The replica.
    pub replica: ReplicaId,
    /// The base model, which is there.
    pub model: ModelName,
    /// The adapter.
    pub adapter: String,
}
