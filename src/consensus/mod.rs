//! The replicated log and the state that follows from it: agreement between voters,
//! claims, the directory of replicas, who founds the site.
//!
//! Pure: messages, ticks and records read from disk enter; messages to send, records to
//! sync and replies come out. Uses `table` and [`crate::ids`]. The files and sockets
//! around it are in [`crate::control`].

pub mod claims;
pub mod crashes;
pub mod directory;
pub mod entries;
pub mod paxos;
pub mod raft;
pub mod replica;
pub mod state;
