//! Code that all processes share: settings, command line, logs, metrics, connections between
//! processes and the calls on them, and replication of the log to members.
//!
//! May use the pure modules, but no module of a single program. The calls in [`wire`] are the
//! complete protocol between the system's own processes.

pub mod arguments;
pub mod auth;
pub mod call_trace;
pub mod crash_report;
pub mod daemon;
pub mod datagram;
pub mod follow;
pub mod log_limit;
pub mod member;
pub mod memory;
pub mod metrics;
pub mod pages;
pub mod peers;
pub mod read_limit;
pub mod settings;
pub mod transfer;
pub mod wire;
