//! Orders to engines, and control's wish for a target that they carry out.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::admission::ledger::OrderSeq;
use crate::ids::{Incarnation, ModelName, Position, Term};

/// An order to the engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Its place.
    pub seq: OrderSeq,
    /// The engine's life that it is meant for.
    pub boot: u64,
    /// What to do.
    pub act: OrderAct,
}

/// What an order does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderAct {
    /// Refuse lower orders, and runs under lower fences.
    Fence,
    /// Load a model of this many MiB.
    Load(ModelName, u64),
    /// Unload a model.
    Unload(ModelName),
}

/// Control's whole wish for one target, fenced by leadership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetPlan {
    /// The leader's term.
    pub term: Term,
    /// The log position it was made from.
    pub position: Position,
    /// The agent's life that it is meant for.
    pub incarnation: Incarnation,
    /// Models to hold, with their MiB; none until control has learned what the
    /// target holds, so that a new agent unloads nothing.
    pub desired_models: Option<BTreeMap<ModelName, u64>>,
    /// How long the agent may act on it, in milliseconds from when it asked.
    pub lease_ms: u64,
}
