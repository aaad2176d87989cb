//! The configuration that operators hand over whole: routes, services and the
//! limits on what clients may send, under one rising version.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::ids::{ModelName, RegionName, ServiceName};
use crate::table::accounts::{AccountError, AccountList};

/// What may be repeated of a route's requests, and how they are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    Safe,
    /// At most once for each attempt of a client.
    Unsafe,
    /// Answered by a stream of events.
    Streaming,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteSpec {
    /// Its name.
    pub name: String,
    /// The `Host` it belongs to.
    pub host: String,
    /// The start of the paths it covers; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request is held, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer earns its full worth, in milliseconds.
    pub latency_goal_ms: u64,
    /// Longest pause between two events that is still in time, in milliseconds.
    pub max_event_gap_ms: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Most replicas that one request is sent to.
    pub attempts: u32,
    /// A broken stream may go on at another replica.
    pub resumable: bool,
    /// Callers need no key, also where there are accounts.
    pub public: bool,
    /// Regions in which its requests may be served; empty for all.
    pub regions: BTreeSet<RegionName>,
    /// Services and their weights.
    pub split: Vec<(ServiceName, u32)>,
}

impl RouteSpec {
    /// Whether a request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// The service for a request, by a number drawn for it.
    pub fn pick(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self.split.iter().map(|(_, w)| u64::from(*w)).sum();
        let mut left = draw.checked_rem(total)?;
        for (service, weight) in &self.split {
            match left.checked_sub(u64::from(*weight)) {
                None => return Some(service),
                Some(rest) => left = rest,
            }
        }
        None
    }
}

/// A model that an engine service offers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineModel {
    /// Size of its weights, in MB.
    pub weights_mb: u64,
    /// Time of a load from the weight store, in milliseconds.
    pub load_ms: u64,
    /// Time of a load from a copy in the replica's host memory, in milliseconds.
    pub warm_ms: Option<u64>,
    /// Time of a load from a copy on the replica's disk, in milliseconds.
    pub disk_ms: Option<u64>,
    /// Number of its adapters, named `a1`, `a2` and so forth.
    pub adapters: u32,
    /// Size of each adapter, in MB.
    pub adapter_mb: u64,
}

/// The engines of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests that a replica runs at once.
    pub slots: u32,
    /// Tokens that a replica's memory holds.
    pub kv_tokens: u64,
    /// Room for weights and adapters, in MB.
    pub weights_mb: u64,
    /// Most adapters on a replica.
    pub adapter_slots: u32,
    /// Tokens that one event of a stream holds.
    pub event_tokens: u32,
    /// Least time between two loads from the weight store, in milliseconds.
    pub load_gap_ms: u64,
    /// The models.
    pub models: BTreeMap<ModelName, EngineModel>,
}

/// How replicas of a service warm up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WarmupSpec {
    /// Least time between two requests to one that warms up, in milliseconds, from all
    /// callers together.
    pub request_gap_ms: u64,
    /// How long it takes at the longest, in milliseconds.
    pub lasts_ms: u64,
}

/// A service that replicas register for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Connections that a replica takes from all callers together.
    pub max_connections: u32,
    /// Present where replicas that warm up bear fewer requests.
    pub warm_up: Option<WarmupSpec>,
    /// Present where the replicas are model engines.
    pub engine: Option<EngineSpec>,
}

/// What a client may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Longest head of a request, in bytes.
    pub header_bytes: usize,
    /// Longest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time for a head to arrive, in milliseconds.
    pub header_ms: u64,
    /// Longest rest of a connection, in milliseconds.
    pub idle_ms: u64,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Rises with each change.
    pub version: u64,
    /// The routes.
    pub routes: Vec<RouteSpec>,
    /// The services.
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// Limits on clients.
    pub limits: ClientLimits,
    /// Client accounts; where there are none, nobody needs a key.
    pub accounts: Option<AccountList>,
}

/// Why a configuration is not valid.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ConfigurationError {
    /// A route names a service that is not there.
    #[snafu(display("route {route}: unknown service {service}"))]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: ServiceName,
    },
    /// Two routes have the same host and prefix.
    #[snafu(display("route {route}: {host}{prefix} is taken by another route"))]
    DuplicatePrefix {
        /// The later route.
        route: String,
        /// The host.
        host: String,
        /// The prefix.
        prefix: String,
    },
    /// No service of a route has a weight.
    #[snafu(display("route {route}: the weights sum to 0"))]
    NoWeight {
        /// The route.
        route: String,
    },
    /// A route's timeout is 0.
    #[snafu(display("route {route}: the timeout is 0"))]
    NoTimeout {
        /// The route.
        route: String,
    },
    /// A prefix does not begin and end with a slash.
    #[snafu(display("route {route}: prefix {prefix:?} must begin and end with a slash"))]
    Prefix {
        /// The route.
        route: String,
        /// The prefix.
        prefix: String,
    },
    /// The accounts are not valid.
    #[snafu(display("{source}"), context(false))]
    Accounts {
        /// What is wrong.
        source: AccountError,
    },
}

impl Configuration {
    /// Checks what the form alone does not ensure.
    pub fn check(&self) -> Result<(), ConfigurationError> {
        if let Some(accounts) = &self.accounts {
            accounts.check()?;
        }
        let mut prefixes = BTreeSet::new();
        for route in &self.routes {
            self.check_route(route)?;
            if !prefixes.insert((route.host.to_ascii_lowercase(), &route.prefix)) {
                return Err(ConfigurationError::DuplicatePrefix {
                    route: route.name.clone(),
                    host: route.host.clone(),
                    prefix: route.prefix.clone(),
                });
            }
        }
        Ok(())
    }

    fn check_route(&self, route: &RouteSpec) -> Result<(), ConfigurationError> {
        let name = route.name.clone();
        let mut named = route.split.iter().map(|(service, _)| service);
        if let Some(service) = named.find(|service| !self.services.contains_key(*service)) {
            return Err(ConfigurationError::UnknownService {
                route: name,
                service: service.clone(),
            });
        }
        let well_formed = route.prefix.starts_with('/') && route.prefix.ends_with('/');
        match route {
            route if route.split.iter().all(|(_, weight)| *weight == 0) => {
                Err(ConfigurationError::NoWeight { route: name })
            }
            route if route.timeout_ms == 0 => Err(ConfigurationError::NoTimeout { route: name }),
            route if !well_formed => Err(ConfigurationError::Prefix {
                route: name,
                prefix: route.prefix.clone(),
            }),
            _ => Ok(()),
        }
    }
}

/// A configuration with the text that the operator sent, for reading it back. The text
/// names keys: only hosts that keep the log hold it, and it is not shown.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationRecord {
    /// As decided by.
    pub configuration: Configuration,
    /// As sent.
    pub source: Vec<u8>,
}

impl fmt::Debug for ConfigurationRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConfigurationRecord")
            .field("configuration", &self.configuration)
            .field("source_bytes", &self.source.len())
            .finish()
    }
}

/// Classes of slack that [`slack_ranks`] tells apart.
pub const SLACK_RANKS: u32 = 3;

/// How well each route can wait beside the others of its service, by its aim: 0 where it
/// is less than twice the shortest one, 1 where less than four times, else 2.
pub fn slack_ranks(routes: &[RouteSpec]) -> Vec<u32> {
    let service = |route: &RouteSpec| route.split.first().map(|(service, _)| service.clone());
    let mut shortest_ms: HashMap<Option<ServiceName>, u64> = HashMap::new();
    for route in routes {
        let known_ms = shortest_ms.entry(service(route)).or_insert(u64::MAX);
        *known_ms = route.latency_goal_ms.min(*known_ms);
    }
    let rank = |route: &RouteSpec| {
        let ratio = route.latency_goal_ms / shortest_ms[&service(route)].max(1);
        match ratio {
            0..2 => 0,
            2..4 => 1,
            _ => SLACK_RANKS - 1,
        }
    };
    routes.iter().map(rank).collect()
}

/// Finds the route of a request: by host, then by the longest prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    by_host: HashMap<String, Vec<usize>>,
}

impl RouteIndex {
    /// Indexes the routes of a configuration.
    pub fn new(routes: &[RouteSpec]) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (number, route) in routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(number);
        }
        for numbers in by_host.values_mut() {
            numbers.sort_by_key(|number| std::cmp::Reverse(routes[*number].prefix.len()));
        }
        Self { by_host }
    }

    /// The number of the route for `host` (without a port) and `path`.
    pub fn find(&self, routes: &[RouteSpec], host: &str, path: &str) -> Option<usize> {
        let numbers = self.by_host.get(&host.to_ascii_lowercase())?;
        let mut numbers = numbers.iter().copied();
        numbers.find(|number| path.starts_with(&routes[*number].prefix))
    }
}
