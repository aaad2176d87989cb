//! Messages about runs between entries, agents and engines.

use serde::{Deserialize, Serialize};

use crate::admission::ledger::OrderSeq;
use crate::ids::{AttemptId, ContentDigest, Incarnation, ModelName, Position, RowId, VersionName};
use crate::table::rows::Urgency;

/// Time after its first piece at which a run is sound, and until which it may be the cause of a
/// crash, in milliseconds.
pub const BEGINNING_MS: u64 = 400;

/// Request of an entry to start an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRequest {
    /// Attempt ID.
    pub attempt: AttemptId,
    /// Incarnation of the agent that it is for.
    pub incarnation: Incarnation,
    /// Row of the request.
    pub row: RowId,
    /// Version of the row that the entry used.
    pub version: Position,
    /// Urgency of the row.
    pub urgency: Urgency,
    /// Weight of the row.
    pub weight: u32,
    /// Whether the run must not be repeated.
    pub at_most_once: bool,
    /// Remaining wait limit of the caller, in milliseconds.
    pub patience_ms: u64,
    /// Call to the engine or service.
    pub call: EngineCall,
    /// Digest of the content, which all attempts of the caller at this request share.
    pub content: ContentDigest,
    /// Digests of the parts of its prompt that other requests may share.
    pub parts: Vec<ContentDigest>,
    /// Software that generated the pieces which the caller already has; `None` if it has none.
    pub continues: Option<EngineSoftware>,
}

/// Software of an engine's process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EngineSoftware {
    /// The version that the engine named.
    Named(VersionName),
    /// The engine named none: its version equals that of no other process.
    Unnamed {
        /// Incarnation of the engine's agent.
        agent: Incarnation,
        /// Boot ID of the process.
        boot: u64,
    },
}

/// Process of an engine that a stream comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineProcess {
    /// Boot ID.
    pub boot: u64,
    /// Software version, if the engine names one.
    pub version: Option<VersionName>,
}

impl EngineProcess {
    /// Returns the software of the process, whose agent has this incarnation.
    pub fn software(&self, agent: Incarnation) -> EngineSoftware {
        match &self.version {
            Some(version) => EngineSoftware::Named(version.clone()),
            None => EngineSoftware::Unnamed {
                agent,
                boot: self.boot,
            },
        }
    }
}

/// Call to the engine or service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCall {
    /// Model, adapter or service.
    pub model: ModelName,
    /// Prompt, or the body of a call to a service.
    pub prompt: String,
    /// Path of a call to a service.
    pub path: Option<String>,
    /// Maximum number of pieces to generate.
    pub max_tokens: u32,
    /// Number of pieces that the caller already has from an attempt on another target.
    pub given: u32,
    /// KV memory that the run needs, in MiB.
    pub kv_mib: u64,
}

/// Why a run was refused. Each cause proves that it did not and will not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefuseCause {
    /// The target is draining.
    Leaving,
    /// The model is not resident at the target.
    NotHome,
    /// The run would miss its deadline, or the queue is full.
    Overload,
    /// The run waited until its deadline passed.
    Expired,
    /// The attempt was sealed before it started.
    Sealed,
    /// The caller cancelled the attempt before it started.
    Cancelled,
    /// The entry used an older version of the row.
    Behind,
    /// The engine refused the run before starting it, or the agent has had no report from the
    /// engine for a while.
    Engine,
    /// The agent has had no lease from control for a while.
    NoLease,
    /// Another software version generated the pieces that the caller already has.
    OtherSoftware,
}

/// Proof that an attempt did not and will not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotRun {
    /// Cause.
    pub cause: RefuseCause,
    /// Time after which to retry, in milliseconds.
    pub retry_after_ms: u64,
}

/// How the response of an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// The response is complete.
    Complete {
        /// Total number of pieces.
        pieces: u32,
    },
    /// The attempt did not run.
    NotRun(NotRun),
    /// The attempt started, but its end was lost or it was cut off.
    Broken,
}

/// Part of the response of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerPage {
    /// Attempt ID; pages of different attempts are never combined.
    pub attempt: AttemptId,
    /// Index of the first piece.
    pub offset: u32,
    /// Pieces.
    pub pieces: Vec<String>,
    /// End of the response, once it is known.
    pub end: Option<RunEnd>,
    /// Software that generated the pieces; `None` if the engine does not name its process.
    pub software: Option<EngineSoftware>,
}

/// An agent's status of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptStatus {
    /// The attempt is queued, runs or has ended; holds the response so far.
    Page(AnswerPage),
    /// This incarnation of the agent has no record of the attempt.
    Unseen,
    /// The request was for another incarnation of the agent, which may have run the attempt. Holds
    /// the current one.
    OtherIncarnation(Incarnation),
}

/// Run to send to the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunDispatch {
    /// Attempt ID.
    pub attempt: AttemptId,
    /// Call to the engine.
    pub call: EngineCall,
    /// Urgency, passed on as the engine's priority.
    pub urgency: Urgency,
    /// Fence that the run is sent under.
    pub fence: OrderSeq,
    /// Boot ID of the engine incarnation that the run is for.
    pub boot: u64,
}

/// Event of a run at the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEvent {
    /// A stream of the run was opened, by this process of the engine if it names itself. A stream
    /// of other software than that of the pieces so far ends the run.
    Opened(Option<EngineProcess>),
    /// A piece arrived. Repeated pieces and pieces after a gap are dropped.
    Piece {
        /// Index of the piece.
        index: u32,
        /// Text of the piece.
        text: String,
    },
    /// The engine reported the end.
    Ended,
    /// The engine refused the run before starting it.
    Refused,
    /// The engine confirmed that it cancelled the run.
    Cancelled,
    /// The connection closed without an end.
    Lost,
}
