//! Services whose streams may have begun under earlier routes, as stored in the log: what begins a
//! stream does not follow from the configuration in force until no such stream may be continued.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::ServiceName;
use crate::table::configuration::{self, Configuration};

/// Earlier routes to a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EarlierRoutes {
    /// Longest time for which a stream that began under them may be taken up, in milliseconds.
    pub keep_ms: u64,
    /// Whether they, or the present ones, led to other services too.
    pub is_moved: bool,
    /// Number of the latest change.
    pub changes: u64,
}

/// Earlier routes by service.
pub type EarlierRoutesByService = BTreeMap<ServiceName, EarlierRoutes>;

/// Services with earlier routes that may still matter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamHistory {
    by_service: EarlierRoutesByService,
    changes: u64,
}

impl StreamHistory {
    /// Returns the earlier routes by service.
    pub fn by_service(&self) -> &EarlierRoutesByService {
        &self.by_service
    }

    /// Whether routes to a service led elsewhere while streams that may still be continued began.
    pub fn is_moved(&self, service: &ServiceName) -> bool {
        let earlier = self.by_service.get(service);
        earlier.is_some_and(|earlier| earlier.is_moved)
    }

    /// Returns the time for which streams of a service may be continued under earlier routes, in
    /// milliseconds; 0 without any.
    pub fn keep_ms(&self, service: &ServiceName) -> u64 {
        let earlier = self.by_service.get(service);
        earlier.map_or(0, |earlier| earlier.keep_ms)
    }

    /// Records that a configuration replaces another one. Returns the services concerned: those
    /// whose routes lead elsewhere, and those whose streams may be continued for a shorter time.
    pub fn record(&mut self, before: &Configuration, after: &Configuration) -> Vec<ServiceName> {
        let moved = before.rerouted_services(after);
        let (earlier, later) = (before.longest_streams(), after.longest_streams());
        let is_shortened = |service: &ServiceName, longest_ms: u64| {
            later.get(service).copied().unwrap_or(0) < longest_ms
        };
        let shortened = earlier
            .iter()
            .filter(|(service, longest_ms)| is_shortened(service, **longest_ms))
            .map(|(service, _)| (*service).clone());
        let concerned: BTreeSet<ServiceName> = moved.iter().cloned().chain(shortened).collect();
        for service in &concerned {
            let longest_ms = [&earlier, &later].map(|longest| longest.get(service).copied());
            let longest_ms = longest_ms.into_iter().flatten().max().unwrap_or(0);
            self.changes += 1;
            let known = self.by_service.get(service);
            let routes = EarlierRoutes {
                keep_ms: configuration::memory_of_streams_ms(longest_ms).max(self.keep_ms(service)),
                is_moved: moved.contains(service) || known.is_some_and(|known| known.is_moved),
                changes: self.changes,
            };
            self.by_service.insert(service.clone(), routes);
        }
        concerned.into_iter().collect()
    }

    /// Records that no stream which began under the earlier routes of a service may be continued any
    /// more. Without effect if they have changed since. Returns whether it had one.
    pub fn settle(&mut self, service: &ServiceName, changes: u64) -> bool {
        let known = self.by_service.get(service);
        let is_current = known.is_some_and(|known| known.changes == changes);
        if is_current {
            self.by_service.remove(service);
        }
        is_current
    }
}
