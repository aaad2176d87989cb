//! Whether the service that began a stream follows from the route of its requests, as one process
//! knows. Pure: the caller passes in the time.

use std::collections::{BTreeMap, BTreeSet};

use crate::consensus::software_versions::VersionMix;
use crate::consensus::state::SiteState;
use crate::consensus::stream_history::EarlierRoutesByService;
use crate::ids::ServiceName;
use crate::table::configuration::Configuration;

/// A change of the routes to a service.
#[derive(Clone, Copy, Debug)]
struct Rerouting {
    /// How long origins of the service's streams are kept, in milliseconds.
    keep_ms: u64,
    /// Until when a stream that began before may be taken up.
    until_ms: u64,
}

/// Where the routes to a service led while streams that may still be continued began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteHistory {
    /// To this service alone.
    Steady,
    /// Not known: this process has just started.
    Unaware,
    /// To this service and to others.
    Moved,
}

/// Changes of the routes to services.
#[derive(Clone, Debug, Default)]
pub struct RouteChanges {
    /// Services of routes that lead to several services.
    split: BTreeSet<ServiceName>,
    /// Services whose routes have led elsewhere.
    rerouted: BTreeMap<ServiceName, Rerouting>,
    /// Earlier routes that the log has.
    logged: EarlierRoutesByService,
    /// Until when a route may have led elsewhere without this process knowing of it.
    unaware_until_ms: u64,
}

impl RouteChanges {
    /// Records a configuration, `before` being the one that it replaces. Returns the services whose
    /// history is [`RouteHistory::Moved`] only from now on.
    pub fn update(
        &mut self,
        now_ms: u64,
        before: Option<&Configuration>,
        configuration: &Configuration,
    ) -> BTreeSet<ServiceName> {
        let split = configuration.split_services();
        let Some(before) = before else {
            let services = configuration.services.keys();
            let longest_ms = services.map(|service| configuration.stream_memory_ms(service));
            self.unaware_until_ms = now_ms.saturating_add(longest_ms.max().unwrap_or(0));
            self.split = split;
            return BTreeSet::new();
        };
        let rerouted = before.rerouted_services(configuration);
        let moved = rerouted.union(&split);
        let new = moved.filter(|service| !self.is_moved(service, now_ms));
        let new = new.cloned().collect();
        self.rerouted
            .retain(|_, rerouting| now_ms < rerouting.until_ms);
        for service in rerouted {
            let earlier_ms = before.stream_memory_ms(&service);
            let keep_ms = earlier_ms.max(configuration.stream_memory_ms(&service));
            let until_ms = now_ms.saturating_add(keep_ms);
            self.rerouted
                .insert(service, Rerouting { keep_ms, until_ms });
        }
        self.split = split;
        new
    }

    /// Sets the earlier routes that the log has. Returns the services whose history is
    /// [`RouteHistory::Moved`] only from now on.
    pub fn set_logged(
        &mut self,
        now_ms: u64,
        logged: &EarlierRoutesByService,
    ) -> BTreeSet<ServiceName> {
        let moved = logged.iter().filter(|(_, routes)| routes.is_moved);
        let new = moved.filter(|(service, _)| !self.is_moved(service, now_ms));
        let new = new.map(|(service, _)| service.clone()).collect();
        if self.logged != *logged {
            self.logged = logged.clone();
        }
        new
    }

    /// Returns where the routes to a service led.
    pub fn history(&self, service: &ServiceName, now_ms: u64) -> RouteHistory {
        match self.is_moved(service, now_ms) {
            true => RouteHistory::Moved,
            false if now_ms < self.unaware_until_ms => RouteHistory::Unaware,
            false => RouteHistory::Steady,
        }
    }

    /// Whether routes lead, or lately led, to this service and to others.
    pub fn is_moved(&self, service: &ServiceName, now_ms: u64) -> bool {
        let rerouting = self.rerouted.get(service);
        let logged = self.logged.get(service);
        self.split.contains(service)
            || logged.is_some_and(|routes| routes.is_moved)
            || rerouting.is_some_and(|rerouting| now_ms < rerouting.until_ms)
    }

    /// Time for which origins of a service's streams are kept because of a change of its routes, in
    /// milliseconds; 0 if there was none.
    pub fn keep_ms(&self, service: &ServiceName) -> u64 {
        let rerouting = self.rerouted.get(service);
        let known_ms = rerouting.map_or(0, |rerouting| rerouting.keep_ms);
        let logged = self.logged.get(service);
        logged.map_or(known_ms, |routes| routes.keep_ms.max(known_ms))
    }
}

/// Returns the versions of a service as a leader confirms them: nothing while a stream may return
/// that a route of the service led elsewhere, as its origin does not follow from them. An entry may
/// have learned of the change after the stream began.
pub fn confirmed_mix(state: &SiteState, service: &ServiceName) -> Option<VersionMix> {
    let record = state.configuration.as_ref();
    let is_split = record.is_some_and(|record| record.configuration.is_split(service));
    let is_moved = is_split || state.streams().is_moved(service);
    let mix = state.versions().mixes().get(service);
    mix.filter(|_| !is_moved).cloned()
}
