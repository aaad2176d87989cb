//! Admission of attempts at one target: memory accounting, the queue, attempts that have run, and
//! orders to the target's engine.
//!
//! Pure: takes reports, start requests and plans, and returns what to send to the engine and what
//! to reply to entries. Uses `table` and [`crate::ids`].

pub mod controller;
pub mod ledger;
pub mod lost_runs;
pub mod orders;
pub mod part_cache;
pub mod prefill_meter;
pub mod queue;
pub mod quote;
pub mod replica_load;
pub mod runs;
