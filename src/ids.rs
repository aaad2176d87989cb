//! Newtypes for names and numbers that cross module and process boundaries.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.to_owned())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

name_type!(
    /// Name of a partner: an organisation that owns rows of the table.
    PartnerName
);
name_type!(
    /// Name of a client account in a configuration.
    AccountName
);
name_type!(
    /// Name of a data hall: one failure domain of power and network.
    HallName
);
name_type!(
    /// Name of a region: a group of data halls near each other.
    RegionName
);
name_type!(
    /// Name of a host that runs a process of the system.
    HostName
);
name_type!(
    /// Name of a target: one model engine or plain service with its own memory.
    TargetName
);
name_type!(
    /// Name of a base model, an adapter or a plain service.
    ModelName
);
name_type!(
    /// Name of a service that replicas register for.
    ServiceName
);
name_type!(
    /// Software version that replicas name; it has no order.
    VersionName
);
name_type!(
    /// Id of a self-registered replica. Depending on the replica, a restart yields a new id or
    /// reuses the old one; [`ReplicaIncarnation`] distinguishes the two runs.
    ReplicaId
);
name_type!(
    /// Id of a row of the table.
    RowId
);
name_type!(
    /// Operator's idempotency key for one edit.
    EditId
);
name_type!(
    /// Caller's idempotency key for one call that must not run more than once.
    CallKey
);

number_type!(
    /// Index in the replicated log. Also serves as the version of the data that the log entry
    /// changed.
    Position
);
number_type!(
    /// Raft leadership term.
    Term
);
number_type!(
    /// Identity of one voter's disk. A replacement disk gets a new one.
    NodeId
);
number_type!(
    /// One run of an agent or entry process, identified by the log position at which it joined.
    Incarnation
);

/// One run of a replica process. A restart may reuse the id, but keeps no state of the previous
/// run.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaIncarnation {
    /// Replica id.
    pub id: ReplicaId,
    /// Start time of this incarnation, in milliseconds since the epoch by the replica's clock;
    /// 0 where the replica does not report it and uses a new id for each incarnation instead.
    pub started_ms: u64,
}

impl fmt::Display for ReplicaIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.id, self.started_ms)
    }
}

/// Digest that identifies the content of a request, equal for all retries of it, or a part that
/// prompts share.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ContentDigest(pub [u8; ContentDigest::LEN]);

impl ContentDigest {
    /// Length in bytes, long enough to rule out collisions in practice.
    pub const LEN: usize = 16;

    /// Parses the output of [`fmt::Display`].
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.len() == Self::LEN * 2 && text.bytes().all(|b| b.is_ascii_hexdigit());
        let number = u128::from_str_radix(text, 16).ok().filter(|_| digits)?;
        Some(Self(number.to_be_bytes()))
    }
}

impl fmt::Display for ContentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl fmt::Debug for ContentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ContentDigest({self})")
    }
}

/// Identifies one attempt to run a request on one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// Entry process that made the attempt.
    pub entry: Incarnation,
    /// Counter that increases by one with each attempt of that process.
    pub number: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.entry, self.number)
    }
}
