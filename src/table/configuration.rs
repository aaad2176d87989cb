//! Configuration that operators replace as a unit: routes, services, client limits and
//! accounts, under one increasing version.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::ids::{ModelName, RegionName, ServiceName};
use crate::table::accounts::{AccountError, AccountList, AccountSpec, KeyDigest};

/// Whether requests of a route may be repeated, and whether responses are streamed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    Safe,
    /// Runs at most once per attempt of a client.
    Unsafe,
    /// Response is a stream of events.
    Streaming,
}

/// Settings of one route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteSpec {
    /// Route name.
    pub name: String,
    /// Value of the `Host` header that the route matches.
    pub host: String,
    /// Path prefix that the route matches; begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may be repeated or are streamed.
    pub kind: RouteKind,
    /// Maximum time that a request is held, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which a response has its full value, in milliseconds.
    pub latency_goal_ms: u64,
    /// Maximum gap between two events for a stream to be on time, in milliseconds.
    pub max_event_gap_ms: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Maximum number of replicas that one request is sent to.
    pub attempts: u32,
    /// Whether a broken stream may be resumed at another replica.
    pub resumable: bool,
    /// Whether callers need no key even if there are accounts.
    pub public: bool,
    /// Regions in which the route's requests may be served; empty for all.
    pub regions: BTreeSet<RegionName>,
    /// Services with their weights.
    pub split: Vec<(ServiceName, u32)>,
}

impl RouteSpec {
    /// Returns whether a request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// Selects the service of a request by weight, given a random number.
    pub fn pick(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self.split.iter().map(|(_, w)| u64::from(*w)).sum();
        let mut remaining = draw.checked_rem(total)?;
        for (service, weight) in &self.split {
            match remaining.checked_sub(u64::from(*weight)) {
                None => return Some(service),
                Some(rest) => remaining = rest,
            }
        }
        None
    }

    /// Returns the services that requests of the route are sent to.
    pub fn used_services(&self) -> impl Iterator<Item = &ServiceName> {
        let used = self.split.iter().filter(|(_, weight)| *weight > 0);
        used.map(|(service, _)| service)
    }

    /// Whether requests of the route are sent to a service.
    pub fn leads_to(&self, service: &ServiceName) -> bool {
        self.used_services().any(|used| used == service)
    }
}

/// Where a route matches and leads.
#[derive(PartialEq, Eq, Hash)]
struct RouteKey<'a> {
    host: String,
    prefix: &'a str,
    split: &'a [(ServiceName, u32)],
}

impl<'a> From<&'a RouteSpec> for RouteKey<'a> {
    fn from(route: &'a RouteSpec) -> Self {
        Self {
            host: route.host.to_ascii_lowercase(),
            prefix: &route.prefix,
            split: &route.split,
        }
    }
}

/// Path prefixes by host.
struct PrefixSet<'a>(HashMap<String, BTreeSet<&'a str>>);

impl<'a> PrefixSet<'a> {
    fn new(routes: impl Iterator<Item = &'a RouteSpec>) -> Self {
        let mut by_host: HashMap<String, BTreeSet<&str>> = HashMap::new();
        for route in routes {
            let prefixes = by_host.entry(route.host.to_ascii_lowercase()).or_default();
            prefixes.insert(&route.prefix);
        }
        Self(by_host)
    }

    /// Whether requests to one path may match a route and one of these prefixes.
    fn overlaps(&self, route: &RouteSpec) -> bool {
        let Some(prefixes) = self.0.get(&route.host.to_ascii_lowercase()) else {
            return false;
        };
        let own = route.prefix.as_str();
        let mut longer = prefixes.range(own..);
        let is_longer = longer.next().is_some_and(|prefix| prefix.starts_with(own));
        // Prefixes end with a slash.
        let mut shorter = own.match_indices('/').map(|(at, _)| &own[..=at]);
        is_longer || shorter.any(|prefix| prefixes.contains(prefix))
    }
}

/// Model offered by an engine service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineModel {
    /// Size of the weights, in MB.
    pub weights_mb: u64,
    /// Duration of a load from the weight store, in milliseconds.
    pub load_ms: u64,
    /// Duration of a load from a copy in the replica's host memory, in milliseconds.
    pub warm_ms: Option<u64>,
    /// Duration of a load from a copy on the replica's disk, in milliseconds.
    pub disk_ms: Option<u64>,
    /// Number of adapters, named `a1`, `a2` and so forth.
    pub adapters: u32,
    /// Size of each adapter, in MB.
    pub adapter_mb: u64,
}

/// Properties of a service's model engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Number of requests that a replica runs concurrently.
    pub slots: u32,
    /// Number of tokens that fit in a replica's KV memory.
    pub kv_tokens: u64,
    /// Capacity for weights and adapters, in MB.
    pub weights_mb: u64,
    /// Maximum number of adapters on a replica.
    pub adapter_slots: u32,
    /// Number of tokens per stream event.
    pub event_tokens: u32,
    /// Minimum interval between two loads from the weight store, in milliseconds.
    pub load_gap_ms: u64,
    /// Models by name.
    pub models: BTreeMap<ModelName, EngineModel>,
}

/// Warm-up of a service's replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WarmupSpec {
    /// Minimum interval between two requests to a replica that warms up, from all callers
    /// together, in milliseconds.
    pub request_gap_ms: u64,
    /// Maximum duration of the warm-up, in milliseconds.
    pub lasts_ms: u64,
}

/// Settings of a service that replicas register for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Number of connections that a replica accepts from all callers together.
    pub max_connections: u32,
    /// Warm-up, if replicas take fewer requests while they warm up.
    pub warm_up: Option<WarmupSpec>,
    /// Engine properties, if the replicas are model engines.
    pub engine: Option<EngineSpec>,
}

/// Size and time limits on client connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time for a request head to arrive, in milliseconds.
    pub header_ms: u64,
    /// Maximum idle time of a connection, in milliseconds.
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

/// Complete configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version; increases with each change.
    pub version: u64,
    /// Routes of the site.
    pub routes: Vec<RouteSpec>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// Limits on clients.
    pub limits: ClientLimits,
    /// Client accounts; if absent, no key is needed.
    pub accounts: Option<AccountList>,
}

/// Reason why a configuration is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ConfigurationError {
    /// A route names an unknown service.
    #[snafu(display("route {route}: unknown service {service}"))]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Unknown service.
        service: ServiceName,
    },
    /// Two routes have the same host and prefix.
    #[snafu(display("route {route}: {host}{prefix} is taken by another route"))]
    DuplicatePrefix {
        /// Name of the later route.
        route: String,
        /// Host of both routes.
        host: String,
        /// Prefix of both routes.
        prefix: String,
    },
    /// All service weights of a route are 0.
    #[snafu(display("route {route}: the weights sum to 0"))]
    NoWeight {
        /// Name of the route.
        route: String,
    },
    /// A route's timeout is 0.
    #[snafu(display("route {route}: the timeout is 0"))]
    NoTimeout {
        /// Name of the route.
        route: String,
    },
    /// A prefix does not begin and end with a slash.
    #[snafu(display("route {route}: prefix {prefix:?} must begin and end with a slash"))]
    Prefix {
        /// Name of the route.
        route: String,
        /// Invalid prefix.
        prefix: String,
    },
    /// The parsed configuration takes more memory than the hosts that keep it can spare.
    #[snafu(display(
        "the configuration takes {bytes} bytes of memory, more than {MAX_HEAP_BYTES}"
    ))]
    TooLarge {
        /// Estimated size of its parsed form, in bytes.
        bytes: usize,
    },
    /// The accounts are invalid.
    #[snafu(display("{source}"), context(false))]
    Accounts {
        /// Cause.
        source: AccountError,
    },
}

/// Maximum size of the text of a configuration, in bytes.
pub const MAX_SOURCE_BYTES: usize = 4 * 1024 * 1024;
/// Maximum size of a parsed configuration in memory, in bytes: four times that of its text. Texts
/// of many short names take more.
pub const MAX_HEAP_BYTES: usize = 4 * MAX_SOURCE_BYTES;
/// Size of an allocation beyond its contents, in bytes.
const ALLOCATION_BYTES: usize = 16;

/// Time in which clients are expected to take up a broken stream, in milliseconds.
const RETURN_TIME_MS: u64 = 40_000;

/// Returns the time for which it must be known what began streams that last up to `longest_ms`, in
/// milliseconds.
pub fn memory_of_streams_ms(longest_ms: u64) -> u64 {
    longest_ms.saturating_mul(2).saturating_add(RETURN_TIME_MS)
}

impl Configuration {
    /// Time for which it must be known what began the streams of a service, in milliseconds: a
    /// client may take one up at its deadline, and again at the next one.
    pub fn stream_memory_ms(&self, service: &ServiceName) -> u64 {
        memory_of_streams_ms(self.longest_stream_ms(service))
    }

    /// Returns the longest time that a stream of each service may last, in milliseconds.
    pub fn longest_streams(&self) -> BTreeMap<&ServiceName, u64> {
        let mut longest = BTreeMap::new();
        for route in self.streaming_routes() {
            for (service, _) in &route.split {
                let known_ms = longest.entry(service).or_insert(0);
                *known_ms = route.timeout_ms.max(*known_ms);
            }
        }
        longest
    }

    /// Whether a streaming route leads to a service and to others.
    pub fn is_split(&self, service: &ServiceName) -> bool {
        self.streaming_routes()
            .any(|route| route.leads_to(service) && route.used_services().count() > 1)
    }

    /// Longest time that a stream of a service may last, in milliseconds; 0 if it serves none.
    pub fn longest_stream_ms(&self, service: &ServiceName) -> u64 {
        let routes = self.routes.iter();
        let streams = routes.filter(|route| {
            route.kind == RouteKind::Streaming
                && route.split.iter().any(|(other, _)| other == service)
        });
        streams.map(|route| route.timeout_ms).max().unwrap_or(0)
    }

    /// Returns the services of streaming routes that lead to several services: the service which
    /// began a stream does not follow from its route.
    pub fn split_services(&self) -> BTreeSet<ServiceName> {
        let split = self.streaming_routes();
        let split = split.filter(|route| route.used_services().count() > 1);
        split.flat_map(RouteSpec::used_services).cloned().collect()
    }

    /// Returns the services of streaming routes that lead elsewhere in a later configuration, with
    /// those to which they lead there.
    pub fn rerouted_services(&self, later: &Self) -> BTreeSet<ServiceName> {
        let known: HashSet<RouteKey> = self.routes.iter().map(RouteKey::from).collect();
        let kept: HashSet<RouteKey> = later.routes.iter().map(RouteKey::from).collect();
        let removed = self.streaming_routes();
        let removed = removed.filter(|route| !kept.contains(&RouteKey::from(*route)));
        let added = later.streaming_routes();
        let added = added.filter(|route| !known.contains(&RouteKey::from(*route)));
        let changed = PrefixSet::new(removed.chain(added));
        let all = self.streaming_routes().chain(later.streaming_routes());
        let touched = all.filter(|route| changed.overlaps(route));
        touched
            .flat_map(RouteSpec::used_services)
            .cloned()
            .collect()
    }

    fn streaming_routes(&self) -> impl Iterator<Item = &RouteSpec> {
        let routes = self.routes.iter();
        routes.filter(|route| route.kind == RouteKind::Streaming)
    }

    /// Returns the approximate size of the configuration in memory, in bytes.
    pub fn heap_bytes(&self) -> usize {
        let text = |text: &str| size_of::<String>() + ALLOCATION_BYTES + text.len();
        let split = |split: &[(ServiceName, u32)]| -> usize {
            split.iter().map(|(name, _)| text(name.as_str())).sum()
        };
        let regions = |regions: &BTreeSet<RegionName>| -> usize {
            regions.iter().map(|region| text(region.as_str())).sum()
        };
        let routes = self.routes.iter().map(|route| {
            let texts = [&route.name, &route.host, &route.prefix];
            let texts: usize = texts.into_iter().map(|name| text(name)).sum();
            size_of::<RouteSpec>() + texts + regions(&route.regions) + split(&route.split)
        });
        let services = self.services.iter().map(|(name, service)| {
            let models = service
                .engine
                .iter()
                .flat_map(|engine| engine.models.keys());
            let models = models.map(|model| size_of::<EngineModel>() + text(model.as_str()));
            size_of::<ServiceSpec>() + text(name.as_str()) + models.sum::<usize>()
        });
        let accounts = self.accounts.iter().flat_map(|list| &list.accounts);
        let accounts = accounts.map(|account| {
            let keys = account.keys.len() * size_of::<KeyDigest>();
            size_of::<AccountSpec>()
                + text(account.name.as_str())
                + keys
                + regions(&account.regions)
        });
        routes.chain(services).chain(accounts).sum()
    }

    /// Checks constraints that the types do not express.
    pub fn check(&self) -> Result<(), ConfigurationError> {
        let bytes = self.heap_bytes();
        if bytes > MAX_HEAP_BYTES {
            return Err(ConfigurationError::TooLarge { bytes });
        }
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

/// Configuration together with the text that the operator sent, which can be read back. The
/// text contains keys: only hosts that store the log hold it, and debug output omits it. Copies
/// share both.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationRecord {
    /// Parsed configuration.
    pub configuration: Arc<Configuration>,
    /// Text as sent.
    pub source: Bytes,
}

impl fmt::Debug for ConfigurationRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConfigurationRecord")
            .field("configuration", &self.configuration)
            .field("source_bytes", &self.source.len())
            .finish()
    }
}

/// Number of ranks that [`slack_ranks`] distinguishes.
pub const SLACK_RANKS: u32 = 3;

/// Returns the slack rank of each route relative to the other routes of its service, by its
/// latency goal: 0 below twice the shortest goal, 1 below four times, else 2.
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

/// Index of routes by host, then by longest prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    by_host: HashMap<String, Vec<usize>>,
}

impl RouteIndex {
    /// Builds the index of a configuration's routes.
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

    /// Returns the index of the route for `host` (without a port) and `path`.
    pub fn find(&self, routes: &[RouteSpec], host: &str, path: &str) -> Option<usize> {
        let numbers = self.by_host.get(&host.to_ascii_lowercase())?;
        let mut numbers = numbers.iter().copied();
        numbers.find(|number| path.starts_with(&routes[*number].prefix))
    }
}
