//! Messages between an entry and the agent beside a replica: quotes for requests, and notices of
//! what an entry sends to the replica.

use serde::{Deserialize, Serialize};

use crate::ids::{ModelName, ReplicaId};

/// Maximum number of shared parts of one prompt. Further parts count as the request's own.
pub const MAX_PROMPT_PARTS: usize = 8;

/// A shared part at the start of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// Hash of the model, the adapter, and all parts up to and including this one: cached tokens
    /// can be reused only if everything before them is the same.
    pub chain: u64,
    /// Prompt tokens up to the end of this part.
    pub end_tokens: u32,
}

/// What an agent needs to know of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunOutline {
    /// Request id, as the replica reports it.
    pub request: String,
    /// Model.
    pub model: ModelName,
    /// Adapter of the model.
    pub adapter: Option<String>,
    /// Shared parts of the prompt, in order; at most [`MAX_PROMPT_PARTS`].
    pub parts: Vec<PromptPart>,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens.
    pub answer_tokens: u32,
    /// Urgency at the replica; 0 is the most urgent.
    pub urgency: u8,
    /// Longest allowed gap between two events, in milliseconds; 0 for no limit.
    pub max_gap_ms: u32,
    /// Time until the caller gives up, in milliseconds.
    pub deadline_ms: u32,
}

/// Message from an entry to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentRequest {
    /// Asks what would happen to this request if it arrived now. Changes nothing.
    Quote {
        /// Chosen by the entry, returned in the reply.
        query: u64,
        /// Replica that the entry expects beside the agent.
        replica: ReplicaId,
        /// The request.
        run: RunOutline,
    },
    /// The entry sends this request to the replica now.
    Sent {
        /// The replica.
        replica: ReplicaId,
        /// The request.
        run: RunOutline,
    },
    /// The request is no longer at the replica.
    Ended {
        /// The replica.
        replica: ReplicaId,
        /// Request id.
        request: String,
    },
}

/// Reply of an agent to a quote request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuoteReply {
    /// Number from the quote request.
    pub query: u64,
    /// Predicted time from sending to the first event, in milliseconds; `None` until the agent
    /// has measured a prefill time.
    pub first_event_ms: Option<u32>,
    /// Prompt tokens of the request that are not cached at the replica.
    pub uncached_tokens: u32,
    /// Uncached tokens of all waiting requests.
    pub queued_tokens: u32,
    /// Streams at the replica whose allowed event gap the prefill of this request would probably
    /// exceed.
    pub late_streams: u32,
    /// Predicted longest event gap of the request's own stream, in milliseconds.
    pub gap_ms: u32,
    /// Requests that run at the replica.
    pub running: u32,
    /// Requests that wait at the replica.
    pub waiting: u32,
    /// Memory that running requests do not use, in tokens.
    pub free_tokens: u32,
    /// Age of the replica's report that the reply is based on, in milliseconds.
    pub report_age_ms: u32,
}
