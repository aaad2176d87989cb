//! Whether one target takes one attempt: its account of memory, its queue, which attempts
//! ran, and which orders its engine gets.
//!
//! Pure: reports, starts and wishes enter; what to send to the engine and what an entry
//! may be told come out. Uses `table` and [`crate::ids`].

pub mod controller;
pub mod ledger;
pub mod lost_runs;
pub mod orders;
pub mod queue;
pub mod runs;
