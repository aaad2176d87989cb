//! Newtypes for the names and numbers that cross module and process borders.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// Borrows the name as text.
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
    /// A partner: an organisation that owns rows of the table.
    PartnerName
);
name_type!(
    /// A client account of a whole configuration.
    AccountName
);
name_type!(
    /// A data hall: one failure domain of power and network.
    HallName
);
name_type!(
    /// A region: data halls near each other.
    RegionName
);
name_type!(
    /// A host that runs a process of the system.
    HostName
);
name_type!(
    /// A target: one model engine or plain service with memory of its own.
    TargetName
);
name_type!(
    /// A base model, adapter or plain service.
    ModelName
);
name_type!(
    /// A service that replicas register for.
    ServiceName
);
name_type!(
    /// A replica that registered itself. Some have another id in each life, others start
    /// again under the same: see [`ReplicaIncarnation`].
    ReplicaId
);
name_type!(
    /// A row of the table.
    RowId
);
name_type!(
    /// An operator's idempotency key for one edit.
    EditId
);
name_type!(
    /// A caller's idempotency key for one call that may not be repeated.
    CallKey
);

number_type!(
    /// An index of the replicated log. Also the version of whatever that entry changed.
    Position
);
number_type!(
    /// A term of leadership.
    Term
);
number_type!(
    /// The identity of one voter's disk. A replaced disk gets another.
    NodeId
);
number_type!(
    /// One life of an agent or entry: the log position at which it joined.
    Incarnation
);

/// One life of a replica. Some start again under the id that they had, and hold and know
/// nothing of before.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaIncarnation {
    /// Its id.
    pub id: ReplicaId,
    /// When this life began, in milliseconds since the epoch by its own clock; 0 where it
    /// does not tell, and has another id in each life.
    pub started_ms: u64,
}

impl fmt::Display for ReplicaIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.id, self.started_ms)
    }
}

/// Names what a request asks, the same for all its repeats.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ContentDigest(pub [u8; ContentDigest::LEN]);

impl ContentDigest {
    /// Its length in bytes: nobody finds a second content with the same name.
    pub const LEN: usize = 16;

    /// Reads what [`fmt::Display`] writes.
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

/// One try at running a request on one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The entry process that made the attempt.
    pub entry: Incarnation,
    /// Rises by one for each attempt of that process.
    pub number: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.entry, self.number)
    }
}
