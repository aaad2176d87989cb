//! Serving system for many models on fewer accelerators.
//!
//! Operators edit rows of a shared, replicated table; the system decides on which targets
//! models reside and which requests run, wait, or are refused. All decisions are made in a pure
//! core of plain structs, whose functions take the time and a message and return the actions to
//! perform. The daemons perform the I/O. See `docs/ARCHITECTURE.md` for a map of the modules.
//!
//! The decisions of every role can be driven through the library:
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
//! // A site with a single voter, an empty disk, and a simulated clock.
//! let own = NodeId(1);
//! let timing = RaftTiming { election_ms: 100, heartbeat_ms: 20 };
//! let image = LogReplica::bootstrap_image(BTreeSet::from([own]));
//! let mut replica = LogReplica::new(own, timing, image, 0, 7, 1000);
//!
//! // The voter starts an election after its timeout and becomes the leader.
//! replica.tick(300);
//! replica.finish(300);
//! let site = SiteSpec { generation: 1, ..SiteSpec::default() };
//! replica.propose(0, Command::Site(site)).unwrap();
//! let output = replica.finish(301);
//!
//! // Records must be synced before the reply is delivered. Along with the entry, the
//! // commit index before it is written.
//! assert!(matches!(output.records[..], [DiskRecord::Append(_), DiskRecord::Commit(_)]));
//! assert_eq!(output.replies.len(), 1);
//! assert_eq!(replica.newest(301).unwrap().site.generation, 1);
//! ```

#![warn(missing_docs)]

// Core: no sockets, clocks, threads or global random sources.
pub mod admission;
pub mod consensus;
pub mod ids;
pub mod last_field;
pub mod placement;
pub mod routing;
pub mod table;

// Shell: sockets, files, clocks and tasks around the core.
pub mod agent;
pub mod cli;
pub mod clock;
pub mod control;
pub mod entry;
pub mod forward;
pub mod process;

// Stand-ins for the platform's components, and a small complete site made of them.
pub mod standin;
