//! Where models and adapters live: demand, moves, and the leader's orders to replicas.
//!
//! Pure and soft: a leader starts with nothing and learns it again from heartbeats.
//! Heartbeats and entries' reports enter; commands for the log and orders come out. Uses
//! `table`, `consensus` and `admission`.

pub mod adapters;
pub mod congestion;
pub mod demand;
pub mod fleet;
pub mod fleet_plan;
pub mod moves;
pub mod named_limits;
pub mod named_rate;
pub mod order;
pub mod preload;
pub mod rate_limit;
pub mod replica_rates;
pub mod report;
pub mod suspect_leases;
pub mod target_controller;
