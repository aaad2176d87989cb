//! A serving system for many models on fewer accelerators.
//!
//! Operators edit rows of a shared, replicated table; the system decides where
//! models live and which requests run, wait, or are refused. The decisions are
//! a pure core: plain structs whose functions take the time and a message and
//! return what is to be done. The daemons move the bytes. See
//! `docs/ARCHITECTURE.md` for the map of the modules.
//!
//! Any role's decisions can be driven by calling the library:
//!
//! ```
//! use std::collections::BTreeSet;
//!
//! use dunlinspring::ids::NodeId;
//! use dunlinspring::consensus::raft::{DiskRecord, RaftTiming};
//! use dunlinspring::consensus::replica::LogReplica;
//! use dunlinspring::table::site::SiteSpec;
//! use dunlinspring::consensus::state::Command;
//!
//! // A site with a single voter, an empty disk, and a clock of our own.
//! let own = NodeId(1);
//! let timing = RaftTiming { election_ms: 100, heartbeat_ms: 20 };
//! let image = LogReplica::founding_image(BTreeSet::from([own]));
//! let mut replica = LogReplica::new(own, timing, image, 0, 7, 1000);
//!
//! // It stands for election once its timeout has passed, and leads.
//! replica.tick(300);
//! replica.finish(300);
//! let site = SiteSpec { generation: 1, ..SiteSpec::default() };
//! replica.propose(0, Command::Site(site)).unwrap();
//! let output = replica.finish(301);
//!
//! // What must be synced comes first; the reply is given out after that.
//! // With the entry goes how far the log was committed before it.
//! assert!(matches!(output.records[..], [DiskRecord::Append(_), DiskRecord::Commit(_)]));
//! assert_eq!(output.replies.len(), 1);
//! assert_eq!(replica.linearizable_state(301).unwrap().site.generation, 1);
//! ```

#![warn(missing_docs)]

// The core: no sockets, clocks, threads or global random sources.
pub mod admission;
pub mod consensus;
pub mod ids;
pub mod placement;
pub mod routing;
pub mod table;

// The shell: sockets, files, clocks and tasks around the core.
pub mod agent;
pub mod cli;
pub mod clock;
pub mod control;
pub mod entry;
pub mod forward;
pub mod process;

// Small stand-ins for the platform's side, and a whole small site of them.
pub mod standin;
