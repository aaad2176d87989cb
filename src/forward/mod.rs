//! The way of a request straight to a replica that registered itself.
//!
//! Data flows one way: [`client`] reads a request, [`request`] decides what
//! becomes of it by [`book`], and [`upstream`] carries it to a replica; [`own_answer`]
//! is what a caller gets that no replica answers. Parsing is in [`head`], [`chunked`] and
//! [`events`], all pure.

pub mod book;
pub mod budget;
pub mod caller;
pub mod chunked;
pub mod client;
pub mod crashes;
pub mod crowd;
pub mod daemon;
pub mod dialect;
pub mod events;
pub mod head;
pub mod limits;
pub mod need;
pub mod own_answer;
pub mod patience;
pub mod permits;
pub mod place;
pub mod quotas;
mod replica_note;
pub mod request;
pub mod request_log;
pub mod separation;
pub mod turns;
pub mod unknown_headers;
pub mod upstream;
