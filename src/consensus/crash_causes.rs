//! Causes of replica crashes other than what ran there, as far as the replicated log shows.
//!
//! The end of a replica that drains is planned, however late an entry observes it.
//!
//! A request crashes the replicas that it reaches one after the other. Many that crash at the same
//! moment have a cause in common, such as a loss of power or of the network.

use std::collections::{BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::ids::ReplicaIncarnation;

/// Number of replicas that crash at the same moment from which their crashes have another cause.
pub const MANY_CRASHES: usize = 4;
/// Longest time between two crashes of the same moment, in milliseconds.
const MOMENT_MS: u64 = 100;
/// Maximum number of remembered crashes.
const MAX_RECENT: usize = 1_024;
/// Maximum number of remembered replicas that are leaving or have left.
const MAX_LEAVING: usize = 1_024;

/// Crash of one replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RecentCrash {
    replica: ReplicaIncarnation,
    /// When it was observed, by the state's clock.
    at_ms: u64,
}

/// What the log knows of the causes of recent crashes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashCauses {
    /// In the order of their reports.
    recent: VecDeque<RecentCrash>,
    /// Replicas that drain or have drained, oldest first.
    leaving: VecDeque<ReplicaIncarnation>,
}

impl CrashCauses {
    /// Records that a replica drains: its end is planned.
    pub fn leaves(&mut self, replica: &ReplicaIncarnation) {
        if self.leaving.contains(replica) {
            return;
        }
        self.leaving.push_back(replica.clone());
        if self.leaving.len() > MAX_LEAVING {
            self.leaving.pop_front();
        }
    }

    /// Whether the end of a replica is planned.
    pub fn is_planned(&self, replica: &ReplicaIncarnation) -> bool {
        self.leaving.contains(replica)
    }

    /// Records a crash that was observed at a time by the state's clock. Returns the replicas that
    /// crashed at the same moment, with this one.
    pub fn record(
        &mut self,
        replica: &ReplicaIncarnation,
        at_ms: u64,
    ) -> BTreeSet<ReplicaIncarnation> {
        let mut recent = self.recent.iter();
        let known = recent.find(|crash| crash.replica == *replica);
        let at_ms = match known {
            Some(known) => known.at_ms,
            None => {
                self.recent.push_back(RecentCrash {
                    replica: replica.clone(),
                    at_ms,
                });
                at_ms
            }
        };
        if self.recent.len() > MAX_RECENT {
            self.recent.pop_front();
        }
        self.moment_of(at_ms)
    }

    /// Returns the most replicas that crashed within [`MOMENT_MS`] around a time.
    fn moment_of(&self, at_ms: u64) -> BTreeSet<ReplicaIncarnation> {
        let since = |start_ms: u64| {
            let moment = start_ms..=start_ms + MOMENT_MS;
            let recent = self.recent.iter();
            recent.filter(move |crash| moment.contains(&crash.at_ms))
        };
        let earliest_ms = at_ms.saturating_sub(MOMENT_MS);
        let starts = self.recent.iter().map(|crash| crash.at_ms);
        let starts = starts.filter(|start_ms| (earliest_ms..=at_ms).contains(start_ms));
        let start_ms = starts.max_by_key(|start_ms| since(*start_ms).count());
        let moment = start_ms.into_iter().flat_map(since);
        moment.map(|crash| crash.replica.clone()).collect()
    }
}
