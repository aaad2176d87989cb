//! Forwarding of requests directly to replicas that register themselves.
//!
//! Data flows one way: [`client`] reads a request, [`request`] decides how to serve it using
//! [`replica_table`], and [`upstream`] sends it to a replica. [`own_answer`] builds the responses
//! that do not come from a replica. Parsing is in [`head`], [`chunked`] and [`events`], which do no
//! I/O.

pub mod agent_backoff;
pub mod agent_client;
pub mod answer_separation;
pub mod arrivals;
pub mod budget;
pub mod caller;
pub mod capacity_waiters;
pub mod chunked;
pub mod client;
pub mod client_bytes;
pub mod client_slots;
pub mod crashes;
pub mod daemon;
pub mod dialect;
pub mod events;
pub mod head;
pub mod home_order;
pub mod limits;
pub mod locality;
pub mod max_wait;
pub mod need;
pub mod origin_questions;
pub mod own_answer;
pub mod permits;
pub mod prefix_reuse;
pub mod prompt_parts;
pub mod queue_reports;
pub mod quotas;
mod replica_state;
pub mod replica_table;
pub mod request;
pub mod request_log;
pub mod sound_runs;
pub mod start_reports;
pub mod stream_origins;
pub mod suspect_leases;
pub mod unknown_headers;
pub mod upstream;
pub mod waiting_line;
