//! The budget for sending requests again: a share of the requests, plus this
//! entry's part of the slack that all entries have together.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::ServiceName;

/// How much may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ResendPolicy {
    /// Resends that each request earns its service.
    pub earned: f64,
    /// Resends that all entries together may save up for a service.
    pub slack: f64,
}

impl Default for ResendPolicy {
    fn default() -> Self {
        Self {
            earned: 0.15,
            slack: 26.0,
        }
    }
}

/// Entries assumed until the leader has told how many there are.
const DEFAULT_ENTRIES: u32 = 8;

/// The budgets of one entry, by service.
#[derive(Clone, Debug)]
pub struct ResendBudget {
    policy: ResendPolicy,
    entries: u32,
    balances: BTreeMap<ServiceName, f64>,
}

impl ResendBudget {
    /// Full budgets.
    pub fn new(policy: ResendPolicy) -> Self {
        Self {
            policy,
            entries: DEFAULT_ENTRIES,
            balances: BTreeMap::new(),
        }
    }

    /// How many entries share the slack.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    fn capacity(&self) -> f64 {
        // Less than one would never allow any.
        (self.policy.slack / f64::from(self.entries)).max(1.0)
    }

    /// Earns for a request.
    pub fn earn(&mut self, service: &ServiceName) {
        let capacity = self.capacity();
        let balance = self.balances.entry(service.clone()).or_insert(capacity);
        *balance = (*balance + self.policy.earned).min(capacity);
    }

    /// Spends one resend, if there is one.
    pub fn spend(&mut self, service: &ServiceName) -> bool {
        let capacity = self.capacity();
        let balance = self.balances.entry(service.clone()).or_insert(capacity);
        let enough = *balance >= 1.0;
        if enough {
            *balance -= 1.0;
        }
        enough
    }
}
