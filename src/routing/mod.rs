//! Routing and the lifecycle of one request, and a member's view of the site.
//!
//! Pure: takes the events of one request and the changes of the log, and returns the steps to
//! perform. Uses `table`, `consensus`, `admission` and `placement`.

pub mod backoff;
pub mod content;
pub mod freshness;
pub mod lifecycle;
pub mod limited_peers;
pub mod permit_throttle;
pub mod question_queue;
pub mod refusals;
pub mod retry;
pub mod route;
pub mod route_changes;
pub mod run_proof;
pub mod stream_origins;
pub mod suspects;
pub mod view;
pub mod warm_up;
