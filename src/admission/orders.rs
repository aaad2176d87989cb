//! Orders to engines, and the plan of a target that they carry out.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::admission::ledger::OrderSeq;
use crate::ids::{Incarnation, ModelName, Position, Term};

/// Order to an engine. Its fields are shown in the engine's JSON and in log lines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Sequence of the order.
    pub seq: OrderSeq,
    /// Boot ID of the engine incarnation that the order is for.
    pub boot: u64,
    /// Action.
    pub act: OrderAct,
}

/// Action of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderAct {
    /// Refuse orders with a lower sequence, and runs under a lower fence.
    Fence,
    /// Load a model of this size in MiB.
    Load(ModelName, u64),
    /// Unload a model.
    Unload(ModelName),
}

/// Complete desired state of one target, fenced by the leader's term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetPlan {
    /// Term of the leader.
    pub term: Term,
    /// Log position that the plan was made from.
    pub position: Position,
    /// Incarnation of the agent that the plan is for.
    pub incarnation: Incarnation,
    /// Models to hold, with their MiB; `None` until control knows what the target holds, so that a
    /// new agent unloads nothing.
    pub desired_models: Option<BTreeMap<ModelName, u64>>,
    /// How long the agent may act on the plan, in milliseconds from its request.
    pub lease_ms: u64,
}
