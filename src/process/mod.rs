//! What every process shares: settings, command line, logs, metrics, connections between
//! processes and the calls on them, and following the log.
//!
//! May use the pure folders, never a folder of one program. The calls in [`wire`] are the
//! whole protocol between the system's own processes.

pub mod arguments;
pub mod auth;
pub mod crash_report;
pub mod daemon;
pub mod follow;
pub mod log_limit;
pub mod member;
pub mod metrics;
pub mod peers;
pub mod settings;
pub mod wire;
