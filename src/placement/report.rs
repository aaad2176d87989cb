//! Demand reports of entries and their validation.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::ids::ModelName;
use crate::placement::advertised_limits::{LimitCursor, LimitPage};
use crate::placement::order::AdapterPlacement;
use crate::placement::unserved::NameWait;

/// Periodic report of an entry to the leader.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EntryReport {
    /// Host of the entry.
    pub host: String,
    /// Number of requests of each model that are running, waiting or were refused lately.
    pub busy: BTreeMap<ModelName, f64>,
    /// Adapters in use, by replica.
    pub adapters: BTreeSet<AdapterPlacement>,
    /// Names that the entry has refused for longest without serving them.
    pub unserved: Vec<NameWait>,
    /// Changes of rate limits that the entry has.
    pub limits: LimitCursor,
}

/// Reply to a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportReply {
    /// Number of entries that report.
    pub entries: u32,
    /// Changes of rate limits.
    pub limits: LimitPage,
}

/// An invalid value in an entry's report.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(display("field busy.{}: {value} is not a finite number of at least 0", model.as_str()))]
pub struct ReportError {
    /// The model that the value is reported for.
    pub model: ModelName,
    /// The reported value.
    pub value: f64,
}

impl EntryReport {
    /// Checks that all values are valid: an invalid one would corrupt the sum over all entries.
    pub fn check(&self) -> Result<(), ReportError> {
        let is_valid = |value: f64| value.is_finite() && value >= 0.0;
        match self.busy.iter().find(|(_, value)| !is_valid(**value)) {
            Some((model, value)) => Err(ReportError {
                model: model.clone(),
                value: *value,
            }),
            None => Ok(()),
        }
    }
}
