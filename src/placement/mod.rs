//! Placement of models and adapters: demand tracking, planning, and the leader's orders to
//! replicas.
//!
//! Pure code with soft state: a new leader starts with no state and rebuilds it from heartbeats.
//! Inputs are heartbeats and reports of entries; outputs are commands for the log and orders for
//! replicas. Uses `table`, `consensus` and `admission`.

pub mod adapters;
pub mod advertised_limits;
pub mod advertised_rate;
pub mod congestion;
pub mod demand;
pub mod fleet;
pub mod fleet_plan;
pub mod moves;
pub mod order;
pub mod preload;
pub mod rate_limit;
pub mod replica_rates;
pub mod report;
pub mod suspect_leases;
pub mod target_controller;
pub mod unserved;
pub mod version_settlement;
