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
const ASSUMED_ENTRIES: u32 = 8;

/// The budgets of one entry, by service.
#[derive(Clone, Debug)]
pub struct ResendBudget {
    policy: ResendPolicy,
    entries: u32,
    saved: BTreeMap<ServiceName, f64>,
}

impl ResendBudget {
    /// Full budgets.
    pub fn new(policy: ResendPolicy) -> Self {
        Self {
            policy,
            entries: ASSUMED_ENTRIES,
            saved: BTreeMap::new(),
        }
    }

    /// How many entries share the slack.
    pub fn share_among(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    fn most(&self) -> f64 {
        // Less than one would never allow any.
        (self.policy.slack / f64::from(self.entries)).max(1.0)
    }

    /// Earns for a request.
    pub fn earn(&mut self, service: &ServiceName) {
        let most = self.most();
        let saved = self.saved.entry(service.clone()).or_insert(most);
        *saved = (*saved + self.policy.earned).min(most);
    }

    /// Spends one resend, if there is one.
    pub fn spend(&mut self, service: &ServiceName) -> bool {
        let most = self.most();
        let saved = self.saved.entry(service.clone()).or_insert(most);
        let enough = *saved >= 1.0;
        if enough {
            *saved -= 1.0;
        }
        enough
    }
}
