//! The entry that reaches targets through agents: callers and operators speak to it.
//!
//! HTTP enters; calls to agents and control leave, each a step of
//! [`crate::routing::lifecycle`]. Uses the pure folders and `process`.

pub mod caller;
pub mod operator;
pub mod request_driver;
pub mod shell;
