//! The agent, one beside each target: carries out what [`crate::admission`] decides.
//!
//! Entries' calls and control's wishes enter; requests and orders to the target leave.
//! Uses the pure folders and `process`.

pub mod engine;
pub mod shell;
