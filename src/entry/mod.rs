//! The entry that reaches targets through agents. It serves the HTTP interfaces for callers and
//! operators.
//!
//! The steps of a request, decided by [`crate::routing::lifecycle`], become calls to agents and
//! control hosts. Depends on the pure modules and on `process`.

pub mod caller;
pub mod operator;
pub mod request_driver;
pub mod shell;
