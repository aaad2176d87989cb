//! Origins of streams at an entry: those of its own streams, which it stores on control hosts while
//! a service runs several software versions, and those that it asks control hosts for.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use crate::clock;
use crate::consensus::software_versions::{SoftwareVersion, VersionMix};
use crate::forward::daemon::EntryCore;
use crate::forward::origin_questions::OriginQuestions;
use crate::ids::ServiceName;
use crate::process::{daemon, peers};
use crate::routing::route_changes::RouteChanges;
use crate::routing::stream_origins::{
    self, OriginBatch, OriginMemory, OriginSearch, OriginSource, OriginStep, StreamKey,
    StreamOrigin,
};
use crate::routing::view::SiteView;
use crate::table::configuration::Configuration;

/// Timeout of one call to a control host.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time after which an origin that could not be stored is dropped, in milliseconds: the client has
/// come back meanwhile.
const STORE_TIME_MS: u64 = 5_000;
/// Delay before a failed call to a control host is repeated.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Most origins in one call, and most streams whose origins are asked for in one.
pub(super) const MAX_BATCH_STREAMS: usize = 2_048;
/// Most origins that wait for one control host.
const MAX_QUEUED_STREAMS: usize = 16_384;
/// Origins are collected for the number of entries divided by this, in milliseconds, so that the
/// calls that control hosts receive do not grow with the number of entries.
const ENTRIES_PER_MS: u32 = 4;
/// Number of times that control hosts are asked for an origin.
const MAX_ASKS: u32 = 3;
/// The leader is asked for the time of a search divided by this, at most: control hosts may know the
/// origin while there is no leader.
const LEADER_TIME_DIVISOR: u32 = 2;
/// Age of the view from which origins are stored whatever it shows, in milliseconds: control hosts hold
/// their notices back for a second.
const OLD_VIEW_MS: u64 = 2_500;

/// Origin that waits to be stored.
#[derive(Debug)]
struct QueuedOrigin {
    queued_ms: u64,
    key: StreamKey,
    origin: StreamOrigin,
}

/// Origins that wait to be stored on a control host.
#[derive(Debug, Default)]
struct StoreQueue {
    streams: Vec<QueuedOrigin>,
    keep_ms: u64,
    /// Whether a task sends them.
    is_served: bool,
}

/// Origins of streams at one entry.
#[derive(Debug, Default)]
pub struct OriginKeeper {
    memory: RefCell<OriginMemory>,
    queues: RefCell<BTreeMap<String, StoreQueue>>,
    /// Software versions of services, as this entry knows.
    mixes: RefCell<BTreeMap<ServiceName, VersionMix>>,
    routes: RefCell<RouteChanges>,
    pub(super) questions: OriginQuestions,
    entries: Cell<u32>,
}

impl OriginKeeper {
    /// Sets the number of entries.
    pub fn set_entries(&self, entries: u32) {
        self.entries.set(entries);
    }

    /// Returns the first step of a search.
    fn first_step(&self, search: &OriginSearch) -> OriginStep {
        let memory = self.memory.borrow();
        let own = search.key.and_then(|key| memory.find(&key).cloned());
        let mixes = self.mixes.borrow();
        let routes = self.routes.borrow();
        let history = routes.history(&search.service, clock::monotonic_ms());
        search.first_step(own, mixes.get(&search.service), history)
    }

    /// Whether a service runs several versions, or is about to.
    fn is_mixed(&self, service: &ServiceName) -> bool {
        let mixes = self.mixes.borrow();
        mixes.get(service).is_some_and(VersionMix::is_mixed)
    }

    /// Whether the origins of a service's streams are stored, as they follow neither from the route
    /// nor from the version that serves.
    fn is_stored(&self, service: &ServiceName, now_ms: u64) -> bool {
        self.is_mixed(service) || self.routes.borrow().is_moved(service, now_ms)
    }

    /// Queues an origin for a control host. Returns whether a task to send it must be started.
    fn queue(&self, host: &str, keep_ms: u64, stream: QueuedOrigin) -> bool {
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(host.to_owned()).or_default();
        if queue.streams.len() < MAX_QUEUED_STREAMS {
            queue.streams.push(stream);
        }
        queue.keep_ms = queue.keep_ms.max(keep_ms);
        !std::mem::replace(&mut queue.is_served, true)
    }

    /// Takes the next origins for a control host, with the time for which they are kept; `None` if
    /// there are none, after which a new task must be started for later ones.
    fn take(&self, host: &str, now_ms: u64) -> Option<(u64, Vec<QueuedOrigin>)> {
        let mut queues = self.queues.borrow_mut();
        let queue = queues.get_mut(host)?;
        queue
            .streams
            .retain(|stream| stream.queued_ms + STORE_TIME_MS > now_ms);
        if queue.streams.is_empty() {
            queue.is_served = false;
            return None;
        }
        let count = queue.streams.len().min(MAX_BATCH_STREAMS);
        Some((queue.keep_ms, queue.streams.drain(..count).collect()))
    }

    fn put_back(&self, host: &str, mut streams: Vec<QueuedOrigin>) {
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(host.to_owned()).or_default();
        streams.append(&mut queue.streams);
        queue.streams = streams;
    }

    /// Time for which origins are collected before they are sent.
    fn collect_time(&self) -> Duration {
        Duration::from_millis(u64::from(self.entries.get() / ENTRIES_PER_MS))
    }
}

impl EntryCore {
    /// Records the origin of a stream that begins or is continued. While it does not follow from the
    /// view, it is also stored on control hosts, without waiting for them.
    pub fn record_origin(self: &Rc<Self>, key: StreamKey, origin: &StreamOrigin) {
        let keep_ms = self.stream_memory_ms(&origin.service);
        let now_ms = clock::monotonic_ms();
        let mut memory = self.origins.memory.borrow_mut();
        memory.record(now_ms, keep_ms, key, origin);
        drop(memory);
        if self.origins.is_stored(&origin.service, now_ms) || self.has_old_view() {
            self.store_origin(key, origin, keep_ms);
        }
    }

    /// Whether the view may lack replicas of another software version.
    pub(super) fn has_old_view(&self) -> bool {
        self.view_age_ms() > OLD_VIEW_MS
    }

    /// Updates which services are reached by routes that lead to several services, or lately led
    /// elsewhere. The origins of their earlier streams are stored.
    pub(super) fn update_rerouted(
        self: &Rc<Self>,
        before: Option<&Configuration>,
        configuration: &Configuration,
    ) {
        let now_ms = clock::monotonic_ms();
        let mut routes = self.origins.routes.borrow_mut();
        let moved = routes.update(now_ms, before, configuration);
        drop(routes);
        for service in moved {
            // Those of a service that runs several versions are stored already.
            if !self.origins.is_mixed(&service) {
                self.store_known(&service);
            }
        }
    }

    /// Updates the earlier routes that the log has. The origins of the earlier streams of services
    /// whose routes moved are stored.
    pub(super) fn update_earlier_routes(self: &Rc<Self>, view: &SiteView) {
        let now_ms = clock::monotonic_ms();
        let mut routes = self.origins.routes.borrow_mut();
        let moved = routes.set_logged(now_ms, &view.earlier_routes);
        drop(routes);
        for service in moved {
            if !self.origins.is_mixed(&service) {
                self.store_known(&service);
            }
        }
    }

    /// Stores the origins of the streams of a service that this entry has served.
    fn store_known(self: &Rc<Self>, service: &ServiceName) {
        let memory = self.origins.memory.borrow();
        let streams = memory.of_service(service);
        let streams: Vec<(StreamKey, StreamOrigin)> =
            streams.map(|(key, origin)| (key, origin.clone())).collect();
        drop(memory);
        tracing::info!(%service, streams = streams.len(), "origins of streams are stored");
        let keep_ms = self.stream_memory_ms(service);
        for (key, origin) in streams {
            self.store_origin(key, &origin, keep_ms);
        }
    }

    /// Updates which services run several software versions. The origins of a service's streams are
    /// stored once it does.
    pub(super) fn update_version_mixes(self: &Rc<Self>, view: &SiteView) {
        if *self.origins.mixes.borrow() == view.version_mixes {
            return;
        }
        let before = self.origins.mixes.replace(view.version_mixes.clone());
        let before = stream_origins::mixed_services(&before);
        let mixed = stream_origins::mixed_services(&view.version_mixes);
        for service in mixed.difference(&before) {
            tracing::info!(%service, "several software versions serve");
            self.store_known(service);
        }
        for service in before.difference(&mixed) {
            tracing::info!(%service, "one software version serves");
        }
    }

    /// Returns the software version that an attempt requires; `stream` is that of a stream which has
    /// begun. `None` for any.
    pub(super) fn required_version(
        &self,
        service: &ServiceName,
        stream: Option<&SoftwareVersion>,
    ) -> Option<SoftwareVersion> {
        let mixes = self.origins.mixes.borrow();
        stream_origins::required_version(stream, mixes.get(service))
    }

    fn stream_memory_ms(&self, service: &ServiceName) -> u64 {
        let routing = self.routing();
        let keep_ms = routing.map_or(0, |routing| routing.configuration.stream_memory_ms(service));
        keep_ms.max(self.origins.routes.borrow().keep_ms(service))
    }

    fn store_origin(self: &Rc<Self>, key: StreamKey, origin: &StreamOrigin, keep_ms: u64) {
        let now_ms = clock::monotonic_ms();
        let hosts = self.link().addresses();
        for host in key.storing_hosts(&hosts) {
            let stream = QueuedOrigin {
                queued_ms: now_ms,
                key,
                origin: origin.clone(),
            };
            if self.origins.queue(host, keep_ms, stream) {
                daemon::spawn_local(send_queued(self.clone(), host.clone()));
            }
        }
    }

    /// Returns what began a stream that a client takes up, and how that is known; `None` if it is
    /// not known.
    pub async fn find_origin(
        self: &Rc<Self>,
        search: &OriginSearch,
        timeout: Duration,
    ) -> Option<(StreamOrigin, OriginSource)> {
        let mut step = self.origins.first_step(search);
        let find = async {
            loop {
                step = match step {
                    OriginStep::Known(origin, source) => return Some((origin, source)),
                    OriginStep::AskHostsFirst(key) => {
                        search.after_first_hosts(self.ask_hosts(key, 1).await)
                    }
                    OriginStep::AskLeader => {
                        let timeout = timeout / LEADER_TIME_DIVISOR;
                        search.after_leader(self.ask_leader(&search.service, timeout).await)
                    }
                    OriginStep::AskHosts(key) => {
                        search.after_hosts(self.ask_hosts(key, MAX_ASKS).await)
                    }
                    OriginStep::Unknown => return None,
                };
            }
        };
        tokio::time::timeout(timeout, find).await.ok().flatten()
    }
}

/// Sends the origins that are queued for a control host until there are none.
async fn send_queued(core: Rc<EntryCore>, host: String) {
    loop {
        let pause = core.origins.collect_time();
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
        let Some((keep_ms, streams)) = core.origins.take(&host, clock::monotonic_ms()) else {
            return;
        };
        let mut batch = OriginBatch {
            keep_ms,
            ..OriginBatch::default()
        };
        for stream in &streams {
            let keys = batch.streams.entry(stream.origin.clone()).or_default();
            keys.push(stream.key);
        }
        let sent = core
            .link()
            .call_at(&host, "store_origins", |client| async move {
                client
                    .store_origins(peers::within(CALL_TIMEOUT), batch)
                    .await
            })
            .await;
        let result = if sent.is_ok() { "stored" } else { "failed" };
        let labels = [("result", result)];
        core.count("dunlinspring_origin_batches_total", &labels);
        if let Err(error) = sent {
            tracing::info!(%error, streams = streams.len(), "origins of streams not stored");
            core.origins.put_back(&host, streams);
            tokio::time::sleep(STORE_RETRY_DELAY).await;
        }
    }
}
