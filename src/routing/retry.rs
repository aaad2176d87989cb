//! Retry budgets: retries of a row are a share of its first attempts, so that
//! the loss of a hall cannot multiply the load on the others.

use std::collections::BTreeMap;

use crate::ids::RowId;

/// Tokens are counted in hundredths.
const HUNDREDTHS_PER_RETRY: u32 = 100;

/// How many retries a row may make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Hundredths of a retry that each first attempt earns.
    pub earned_hundredths: u32,
    /// Most retries saved up.
    pub burst: u32,
}

/// The budgets of one entry.
#[derive(Debug)]
pub struct RetryBudget {
    policy: RetryPolicy,
    rows: BTreeMap<RowId, u32>,
}

impl RetryBudget {
    /// Full budgets for all rows.
    pub fn new(policy: RetryPolicy) -> Self {
        Self {
            policy,
            rows: BTreeMap::new(),
        }
    }

    /// Earns for a first attempt.
    pub fn earn(&mut self, row: &RowId) {
        let full = self.policy.burst * HUNDREDTHS_PER_RETRY;
        let tokens = self.rows.entry(row.clone()).or_insert(full);
        *tokens = (*tokens + self.policy.earned_hundredths).min(full);
    }

    /// Spends one retry, if there is one.
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

    /// Forgets rows that `keep` no longer names.
    pub fn retain(&mut self, keep: impl Fn(&RowId) -> bool) {
        self.rows.retain(|row, _| keep(row));
    }
}
