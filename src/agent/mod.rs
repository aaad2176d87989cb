//! The agent, one beside each target: carries out the decisions of [`crate::admission`].
//!
//! Receives calls from entries and plans from control; sends runs and orders to the target.
//! Beside a replica that registers itself, [`replica_agent`] only reads its report and answers
//! quotes. Depends on the pure modules, on `process`, and on the parsers of `forward`.

pub mod engine;
pub mod replica_agent;
pub mod report_connection;
pub mod shell;
