//! Permits to send to replicas that warm up: the leader counts out each replica's rate, over
//! all entries together.
//!
//! An entry asks for each request, right before it leaves, and may use the permit for
//! [`PERMIT_MS`] only: what a replica gets in any second is then bounded by its rate, whatever
//! happens to entries in between. Without a leader nobody sends to a replica that warms up.
//!
//! Pure, and soft state: a new leader waits until nothing that the one before gave can count
//! beside its own.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{ReplicaLife, ServiceName};
use crate::table::configuration::WarmupSpec;

/// How long a permit may be used from before it was asked for, in milliseconds: a call between
/// halls, and the opening of a connection.
pub const PERMIT_MS: u64 = 250;
/// The span in which arrivals at a replica are counted against its rate, in milliseconds.
const SPAN_MS: u64 = 1_000;
/// Requests that may go at once, where none went for a while.
const AT_ONCE: u64 = 2;
/// Replicas from which on those that are done are forgotten.
const MANY: usize = 64;

/// An entry asks to send one request to a replica that warms up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WarmupAsk {
    /// The replica.
    pub replica: ReplicaLife,
    /// Its service.
    pub service: ServiceName,
}

/// What the leader says to an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WarmupAnswer {
    /// One request may go there.
    Go,
    /// None may for so long, in milliseconds.
    Wait(u64),
}

/// The rates as one leader counts them out.
#[derive(Debug)]
pub struct WarmupDesk {
    opens_ms: u64,
    /// When the next request of each replica is due.
    due_ms: BTreeMap<ReplicaLife, u64>,
}

impl WarmupDesk {
    /// The desk of a leader that leads since `now_ms`.
    pub fn new(now_ms: u64) -> Self {
        Self {
            opens_ms: now_ms + SPAN_MS + PERMIT_MS,
            due_ms: BTreeMap::new(),
        }
    }

    /// Answers an ask for a replica with this rate.
    pub fn ask(&mut self, now_ms: u64, replica: &ReplicaLife, spec: WarmupSpec) -> WarmupAnswer {
        if now_ms < self.opens_ms {
            return WarmupAnswer::Wait(self.opens_ms - now_ms);
        }
        if self.due_ms.len() >= MANY {
            self.due_ms.retain(|_, due_ms| *due_ms > now_ms);
        }
        // As if requests had gone evenly until now, but for the few that may go at once.
        let ahead_ms = spec.request_gap_ms * (AT_ONCE - 1);
        let known_ms = self.due_ms.get(replica).copied().unwrap_or(0);
        let due_ms = known_ms.max(now_ms.saturating_sub(ahead_ms));
        if due_ms > now_ms {
            return WarmupAnswer::Wait(due_ms - now_ms);
        }
        let next_ms = due_ms.saturating_add(spec.request_gap_ms);
        self.due_ms.insert(replica.clone(), next_ms);
        WarmupAnswer::Go
    }
}
