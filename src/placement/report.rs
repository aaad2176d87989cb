//! What an entry tells the leader of demand, and whether it can be true.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::ids::ModelName;
use crate::placement::named_limits::{LimitCursor, LimitPage};
use crate::placement::order::AdapterPlacement;

/// What an entry asks of the leader and tells it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EntryReport {
    /// The entry's host.
    pub host: String,
    /// Requests of each model under way, waiting or refused lately.
    pub busy: BTreeMap<ModelName, f64>,
    /// Adapters in use by replica.
    pub adapters: BTreeSet<AdapterPlacement>,
    /// The changes of replicas' limits that it has.
    pub limits: LimitCursor,
}

/// What the leader says to a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportReply {
    /// How many entries report.
    pub entries: u32,
    /// Changes of replicas' limits.
    pub limits: LimitPage,
}

/// A figure of an entry's report that cannot be true.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(display("field busy.{}: {value}", model.as_str()))]
pub struct ReportError {
    /// The model that it was told of.
    pub model: ModelName,
    /// What was told.
    pub value: f64,
}

impl EntryReport {
    /// Whether the figures can be true: one that is not would spoil the sum of all entries.
    pub fn check(&self) -> Result<(), ReportError> {
        let sound = |value: f64| value.is_finite() && value >= 0.0;
        match self.busy.iter().find(|(_, value)| !sound(**value)) {
            Some((model, value)) => Err(ReportError {
                model: model.clone(),
                value: *value,
            }),
            None => Ok(()),
        }
    }
}
