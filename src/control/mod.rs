//! The control plane: voters that keep the replicated log on their disks, relays that keep no
//! log, the calls of replicas and operators, and the leader's orders to engines.
//!
//! Receives heartbeats, configurations, votes and the reports of members; sends
//! acknowledgements, changes of the log and orders to replicas. Uses the pure modules,
//! `process`, and the connections to replicas of [`crate::forward`].

pub mod bootstrap;
pub mod event;
pub mod journal;
mod log_writer;
pub mod order_dispatcher;
pub mod origin_store;
pub mod outbox;
pub mod registry;
pub mod relay;
pub mod shell;
mod stall_monitor;
pub mod voter;
pub mod voter_watch;
