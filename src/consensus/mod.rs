//! The replicated log and the state derived from it: consensus between voters, claims, the
//! directory of replicas, and the choice of the bootstrap host.
//!
//! Pure: the inputs are messages, ticks and records read from disk; the outputs are messages to
//! send, records to sync, and replies. Uses `table` and [`crate::ids`]. The surrounding file
//! and socket I/O is in [`crate::control`].

pub mod claims;
pub mod crash_causes;
pub mod crashes;
pub mod directory;
pub mod entries;
pub mod membership;
pub mod part_crashes;
pub mod paxos;
pub mod raft;
pub mod replica;
pub mod software_versions;
pub mod state;
pub mod stream_history;
pub mod write_queue;
