//! The control hosts: voters with the log on their disks, relays without one, the calls of
//! replicas and operators, and the leader's orders.
//!
//! Heartbeats, configurations, votes and members' reports enter; acknowledgements, the
//! log's changes and orders to replicas leave. Uses the pure folders, `process`, and the
//! connections to replicas of [`crate::forward`].

pub mod bootstrap;
pub mod event;
pub mod journal;
pub mod order_dispatcher;
pub mod outbox;
pub mod registry;
pub mod relay;
pub mod shell;
pub mod voter;
