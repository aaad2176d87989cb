//! The `dunlinspring` program: operators' commands, `explain`, the load generator and the demo
//! site. May use every other module.

pub mod accounts;
pub mod commands;
pub mod contents;
mod control;
pub mod daily_summary;
pub mod demo;
pub mod explain;
pub mod explain_target;
pub mod halls;
pub mod load;
mod log_line;
pub mod order_audit;
mod unserved_names;
pub mod versions;
