//! Data set by operators and the platform: rows, the site, configurations, row limits, client
//! accounts and their quotas, and the check that everything fits in memory.
//!
//! Pure: no sockets, files, threads or clocks; the caller passes in the time. Uses only
//! [`crate::ids`]. The inputs are edits and configurations; the outputs are validated values or
//! an error that names the field.

pub mod accounts;
pub mod configuration;
pub mod limits;
pub mod packing;
pub mod quota;
pub mod rows;
pub mod site;
