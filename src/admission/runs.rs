//! What entries, agents and engines tell each other of runs.

use serde::{Deserialize, Serialize};

use crate::admission::ledger::OrderSeq;
use crate::ids::{AttemptId, ContentDigest, Incarnation, ModelName, Position, RowId};
use crate::table::rows::Urgency;

/// What an entry asks to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// The agent's life that it is meant for.
    pub incarnation: Incarnation,
    /// The row.
    pub row: RowId,
    /// The row's version that the entry acted on.
    pub version: Position,
    /// The row's urgency.
    pub urgency: Urgency,
    /// The row's weight.
    pub weight: u32,
    /// Whether the run may not be repeated.
    pub at_most_once: bool,
    /// Patience left, in milliseconds.
    pub patience_ms: u64,
    /// What the engine or service is asked.
    pub call: EngineCall,
    /// Names what is asked, for all attempts of the same caller at it.
    pub content: ContentDigest,
}

/// What the engine or service is asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCall {
    /// Model, adapter or service.
    pub model: ModelName,
    /// The prompt, or the body of a service's call.
    pub prompt: String,
    /// The path of a service's call.
    pub path: Option<String>,
    /// Most pieces to generate.
    pub max_tokens: u32,
    /// Pieces that the caller already has from an attempt on another target.
    pub given: u32,
    /// KV memory needed, in MiB.
    pub kv_mib: u64,
}

/// Why a run was not taken. All of these prove that it did not and will not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefuseCause {
    /// The target is leaving.
    Leaving,
    /// The model is not resident here.
    NotHome,
    /// It would miss its patience.
    Overload,
    /// It waited past its patience.
    Expired,
    /// The attempt was sealed before it started.
    Sealed,
    /// Its caller cancelled it before it started.
    Cancelled,
    /// The entry acted on an older version of the row.
    Behind,
    /// The engine refused it before running.
    Engine,
    /// The agent has had no lease from control for a while.
    NoLease,
}

/// A proof that an attempt did not and will not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotRun {
    /// Why.
    pub cause: RefuseCause,
    /// When to come back, in milliseconds.
    pub retry_after_ms: u64,
}

/// How an answer ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// It is whole with this many pieces.
    Complete {
        /// Pieces from the first to the last.
        pieces: u32,
    },
    /// It did not run.
    NotRun(NotRun),
    /// It started, and its end was lost or it was cut off.
    Broken,
}

/// A part of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerPage {
    /// The attempt: a page of another is never mixed in.
    pub attempt: AttemptId,
    /// The index of the first piece.
    pub offset: u32,
    /// The pieces.
    pub pieces: Vec<String>,
    /// The end, once the pieces reach it.
    pub end: Option<RunEnd>,
}

/// What an agent says of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptStatus {
    /// It is queued, runs or ended; here is what there is.
    Page(AnswerPage),
    /// This life of the agent has not seen it.
    Unseen,
    /// It was meant for another life of the agent, which may have run it.
    OtherIncarnation(Incarnation),
}

/// A run to send to the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunDispatch {
    /// The attempt.
    pub attempt: AttemptId,
    /// What to ask.
    pub call: EngineCall,
    /// The urgency, passed on as the engine's priority.
    pub urgency: Urgency,
    /// The fence that it runs under.
    pub fence: OrderSeq,
    /// The engine's life that it is meant for.
    pub boot: u64,
}

/// What happened to a run at the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEvent {
    /// A piece came. Doubled and gapped ones are dropped.
    Piece {
        /// Its index.
        index: u32,
        /// Its text.
        text: String,
    },
    /// The engine told the end.
    Ended,
    /// The engine refused before running.
    Refused,
    /// The engine confirmed that it cancelled the run.
    Cancelled,
    /// The connection closed without an end.
    Lost,
}
