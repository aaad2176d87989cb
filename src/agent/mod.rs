//! The agent, one beside each target: carries out the decisions of [`crate::admission`].
//!
//! Receives calls from entries and plans from control; sends runs and orders to the target.
//! Depends on the pure modules and on `process`.

pub mod engine;
pub mod shell;
