//! Retry budgets: the retries of a row are limited to a share of its first attempts, so that the
//! loss of a data hall does not multiply the load on the other halls.

use std::collections::BTreeMap;

use crate::ids::RowId;

/// Budgets are counted in hundredths of a retry.
const HUNDREDTHS_PER_RETRY: u32 = 100;

/// Limits on the retries of a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Hundredths of a retry that each first attempt earns.
    pub earned_hundredths: u32,
    /// Maximum number of retries saved up.
    pub burst: u32,
}

/// Retry budgets of one entry, by row.
#[derive(Debug)]
pub struct RetryBudget {
    policy: RetryPolicy,
    rows: BTreeMap<RowId, u32>,
}

impl RetryBudget {
    /// Creates full budgets for all rows.
    pub fn new(policy: RetryPolicy) -> Self {
        Self {
            policy,
            rows: BTreeMap::new(),
        }
    }

    /// Adds what a first attempt of a row earns.
    pub fn earn(&mut self, row: &RowId) {
        let full = self.policy.burst * HUNDREDTHS_PER_RETRY;
        let tokens = self.rows.entry(row.clone()).or_insert(full);
        *tokens = (*tokens + self.policy.earned_hundredths).min(full);
    }

    /// Spends one retry of a row. Returns whether the budget had one.
    pub fn spend(&mut self, row: &RowId) -> bool {
        let full = self.policy.burst * HUNDREDTHS_PER_RETRY;
        let tokens = self.rows.entry(row.clone()).or_insert(full);
        match tokens.checked_sub(HUNDREDTHS_PER_RETRY) {
            Some(left) => {
                *tokens = left;
                true
            }
            None => false,
        }
    }

    /// Returns a retry of a row that was not used.
    pub fn refund(&mut self, row: &RowId) {
        let full = self.policy.burst * HUNDREDTHS_PER_RETRY;
        if let Some(tokens) = self.rows.get_mut(row) {
            *tokens = (*tokens + HUNDREDTHS_PER_RETRY).min(full);
        }
    }

    /// Removes rows that `keep` rejects.
    pub fn retain(&mut self, keep: impl Fn(&RowId) -> bool) {
        self.rows.retain(|row, _| keep(row));
    }
}
