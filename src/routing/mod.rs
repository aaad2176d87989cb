//! Where one request goes, what becomes of it, and what a member knows of the site.
//!
//! Pure: events of one request and changes of the log enter; steps to perform come out.
//! Uses `table`, `consensus`, `admission` and `placement`.

pub mod backoff;
pub mod content;
pub mod freshness;
pub mod lifecycle;
pub mod limited_peers;
pub mod permit_throttle;
pub mod refusals;
pub mod retry;
pub mod route;
pub mod suspects;
pub mod view;
pub mod warm_up;
