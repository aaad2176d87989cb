//! Retry budget: each request earns a fraction of a resend, and each entry may save up its share of
//! the slack of all entries.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::ServiceName;

/// Limits on resends.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ResendPolicy {
    /// Resends that each request earns for its service.
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

/// Number of entries assumed until the leader reports it.
const DEFAULT_ENTRIES: u32 = 8;

/// Retry budgets of one entry, by service.
#[derive(Clone, Debug)]
pub struct ResendBudget {
    policy: ResendPolicy,
    entries: u32,
    balances: BTreeMap<ServiceName, f64>,
}

impl ResendBudget {
    /// Creates full budgets.
    pub fn new(policy: ResendPolicy) -> Self {
        Self {
            policy,
            entries: DEFAULT_ENTRIES,
            balances: BTreeMap::new(),
        }
    }

    /// Sets the number of entries that share the slack.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    fn capacity(&self) -> f64 {
        // A capacity below one would never allow a resend.
        (self.policy.slack / f64::from(self.entries)).max(1.0)
    }

    /// Earns the share of one request.
    pub fn earn(&mut self, service: &ServiceName) {
        let capacity = self.capacity();
        let balance = self.balances.entry(service.clone()).or_insert(capacity);
        *balance = (*balance + self.policy.earned).min(capacity);
    }

    /// Spends one resend and returns whether there was one.
    pub fn spend(&mut self, service: &ServiceName) -> bool {
        let capacity = self.capacity();
        let balance = self.balances.entry(service.clone()).or_insert(capacity);
        let enough = *balance >= 1.0;
        if enough {
            *balance -= 1.0;
        }
        enough
    }

    /// Returns a resend that was not used.
    pub fn refund(&mut self, service: &ServiceName) {
        let capacity = self.capacity();
        let balance = self.balances.entry(service.clone()).or_insert(capacity);
        *balance = (*balance + 1.0).min(capacity);
    }
}
