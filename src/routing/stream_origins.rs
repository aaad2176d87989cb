//! What began a stream, so that it is continued only by the same software.
//!
//! Entries and control hosts keep the origins of recent streams; an entry that must know the origin
//! of a stream which began elsewhere asks control hosts for it. Pure: the caller passes in the time.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::consensus::software_versions::{SoftwareVersion, VersionMix};
use crate::ids::{ReplicaIncarnation, ServiceName};
use crate::routing::route_changes::RouteHistory;

/// Maximum number of origins in each of the two generations of an [`OriginMemory`].
pub const MAX_ORIGINS: usize = 65_536;
/// Number of control hosts at which an origin is stored.
pub const ORIGIN_COPIES: usize = 3;
/// Number of control hosts that are asked for an origin: the owners, and further ones in case an
/// owner was unreachable when the origin was stored.
pub const HOSTS_ASKED: usize = 5;

/// Identifies a stream: a digest of the account and of the id of the client's attempt that brought
/// its first event. A client cannot name the stream of another account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamKey([u8; 16]);

impl StreamKey {
    /// Returns the key of a stream; `account` is empty where callers need not identify themselves.
    pub fn new(account: &str, first_attempt: &str) -> Self {
        let mut hash = Sha256::new();
        hash.update((account.len() as u64).to_be_bytes());
        hash.update(account);
        hash.update(first_attempt);
        let full: [u8; 32] = hash.finalize().into();
        let mut short = [0; 16];
        short.copy_from_slice(&full[..16]);
        Self(short)
    }

    /// Returns the hosts that own the origin of the stream, the first one first: by rendezvous
    /// hashing, so that a host which joins or leaves changes the owners of its own share alone.
    pub fn owners<'a>(&self, hosts: &'a [String]) -> Vec<&'a String> {
        let weight = |host: &String| {
            let mut hash = crc32fast::Hasher::new();
            hash.update(&self.0);
            hash.update(host.as_bytes());
            hash.finalize()
        };
        let mut order: Vec<&String> = hosts.iter().collect();
        order.sort_by_cached_key(|host| (weight(host), *host));
        order
    }

    /// Returns the hosts on which the origin of the stream is stored.
    pub fn storing_hosts<'a>(&self, hosts: &'a [String]) -> impl Iterator<Item = &'a String> {
        self.owners(hosts).into_iter().take(ORIGIN_COPIES)
    }

    /// Returns the hosts that are asked for the origin of the stream.
    pub fn asked_hosts<'a>(&self, hosts: &'a [String]) -> impl Iterator<Item = &'a String> {
        self.owners(hosts).into_iter().take(HOSTS_ASKED)
    }
}

/// What began a stream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Service of the replica that sent the first event.
    pub service: ServiceName,
    /// Its software version.
    pub version: SoftwareVersion,
}

/// Origins of recent streams, bounded in number. They are kept in two generations, of which the
/// older one is dropped after a time or once the newer one is full.
#[derive(Clone, Debug, Default)]
pub struct OriginMemory {
    newer: Generation,
    older: Generation,
    rotated_ms: u64,
    /// Longest time for which an origin of the newer generation is kept, in milliseconds.
    keep_ms: u64,
    /// Each origin once: most streams share theirs.
    origins: BTreeSet<Arc<StreamOrigin>>,
}

/// Streams with their origins; `None` for a stream that was recorded with two.
type Generation = BTreeMap<StreamKey, Option<Arc<StreamOrigin>>>;

impl OriginMemory {
    /// Records an origin, and keeps it for at least `keep_ms` unless too many others follow. A
    /// stream that is recorded with two origins has none that is known.
    pub fn record(&mut self, now_ms: u64, keep_ms: u64, key: StreamKey, origin: &StreamOrigin) {
        self.keep_ms = self.keep_ms.max(keep_ms);
        self.rotate(now_ms);
        let known = self.newer.get(&key).or_else(|| self.older.get(&key));
        let kept = match known {
            Some(known) if known.as_deref() != Some(origin) => None,
            _ => Some(self.intern(origin)),
        };
        self.newer.insert(key, kept);
    }

    fn intern(&mut self, origin: &StreamOrigin) -> Arc<StreamOrigin> {
        match self.origins.get(origin) {
            Some(known) => known.clone(),
            None => {
                let origin = Arc::new(origin.clone());
                self.origins.insert(origin.clone());
                origin
            }
        }
    }

    /// Records all origins of a batch.
    pub fn record_batch(&mut self, now_ms: u64, batch: &OriginBatch) {
        for (origin, keys) in &batch.streams {
            for key in keys {
                self.record(now_ms, batch.keep_ms, *key, origin);
            }
        }
    }

    /// Returns the origin of a stream, if it is known.
    pub fn find(&self, key: &StreamKey) -> Option<&StreamOrigin> {
        let found = self.newer.get(key).or_else(|| self.older.get(key));
        found.and_then(Option::as_deref)
    }

    /// Returns the origins of streams in the order of their keys, `None` for those that are not known.
    pub fn find_all(&self, keys: &[StreamKey]) -> Vec<Option<StreamOrigin>> {
        let origins = keys.iter().map(|key| self.find(key).cloned());
        origins.collect()
    }

    /// Returns the known origins of a service's streams, the newer ones first.
    pub fn of_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (StreamKey, &'a StreamOrigin)> {
        let all = self.newer.iter().chain(&self.older);
        let known = all.filter_map(|(key, origin)| Some((*key, origin.as_deref()?)));
        known.filter(move |(_, origin)| origin.service == *service)
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }

    /// Returns whether no stream is kept.
    pub fn is_empty(&self) -> bool {
        self.newer.is_empty() && self.older.is_empty()
    }

    fn rotate(&mut self, now_ms: u64) {
        let is_due = now_ms >= self.rotated_ms.saturating_add(self.keep_ms);
        if is_due || self.newer.len() >= MAX_ORIGINS {
            self.rotated_ms = now_ms;
            self.older = std::mem::take(&mut self.newer);
            // Held by this set alone, no stream has the origin any more.
            self.origins.retain(|origin| Arc::strong_count(origin) > 1);
        }
    }
}

/// Origins that an entry stores on a control host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginBatch {
    /// How long they are kept at least, in milliseconds.
    pub keep_ms: u64,
    /// The streams of each origin.
    pub streams: BTreeMap<StreamOrigin, Vec<StreamKey>>,
}

/// Returns the services whose streams' origins must be stored.
pub fn mixed_services(mixes: &BTreeMap<ServiceName, VersionMix>) -> BTreeSet<ServiceName> {
    let mixed = mixes.iter().filter(|(_, mix)| mix.is_mixed());
    mixed.map(|(service, _)| service.clone()).collect()
}

/// Returns the version at which streams must begin, by a view's versions of their service; `None` if
/// they may begin at any.
fn beginning_version(mix: Option<&VersionMix>) -> Option<SoftwareVersion> {
    match mix {
        Some(VersionMix::Opening(first)) => Some(first.clone()),
        _ => None,
    }
}

/// How an entry knows what began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OriginSource {
    /// The stream was served by this entry.
    Own,
    /// One version alone serves, as the leader confirms.
    SoleVersion,
    /// A control host had it.
    Stored,
}

impl OriginSource {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::SoleVersion => "sole-version",
            Self::Stored => "stored",
        }
    }
}

/// Search for the origin of a stream that a client takes up.
#[derive(Clone, Debug)]
pub struct OriginSearch {
    /// The stream; `None` if the client does not name it.
    pub key: Option<StreamKey>,
    /// Service that the route names.
    pub service: ServiceName,
}

/// Next step of an [`OriginSearch`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OriginStep {
    /// The origin is known.
    Known(StreamOrigin, OriginSource),
    /// To ask control hosts for the origin once, before the leader: this entry has just started, and
    /// others stored the origins that a change of routes before its start concerned.
    AskHostsFirst(StreamKey),
    /// To ask the leader which versions serve: this entry's view may be old.
    AskLeader,
    /// To ask control hosts for the origin.
    AskHosts(StreamKey),
    /// The origin is unknown.
    Unknown,
}

impl OriginSearch {
    /// Returns the first step. `own` is the origin that this entry keeps, `mix` the versions of the
    /// service by its view, and `history` where the routes to the service led.
    pub fn first_step(
        &self,
        own: Option<StreamOrigin>,
        mix: Option<&VersionMix>,
        history: RouteHistory,
    ) -> OriginStep {
        match (own, history, self.key) {
            (Some(origin), _, _) => OriginStep::Known(origin, OriginSource::Own),
            (None, RouteHistory::Moved, _) => self.ask_hosts(),
            (None, _, _) if mix == Some(&VersionMix::Several) => self.ask_hosts(),
            (None, RouteHistory::Unaware, Some(key)) => OriginStep::AskHostsFirst(key),
            (None, _, _) => OriginStep::AskLeader,
        }
    }

    /// Returns the step after the replies of control hosts that were asked before the leader.
    pub fn after_first_hosts(&self, stored: Option<StreamOrigin>) -> OriginStep {
        match stored {
            Some(origin) => OriginStep::Known(origin, OriginSource::Stored),
            None => OriginStep::AskLeader,
        }
    }

    /// Returns the step after the leader's reply; `None` if there was none.
    pub fn after_leader(&self, mix: Option<VersionMix>) -> OriginStep {
        match mix.as_ref().and_then(VersionMix::only_origin) {
            Some(version) => {
                let origin = StreamOrigin {
                    service: self.service.clone(),
                    version: version.clone(),
                };
                OriginStep::Known(origin, OriginSource::SoleVersion)
            }
            None => self.ask_hosts(),
        }
    }

    /// Returns the step after the replies of control hosts.
    pub fn after_hosts(&self, stored: Option<StreamOrigin>) -> OriginStep {
        match stored {
            Some(origin) => OriginStep::Known(origin, OriginSource::Stored),
            None => OriginStep::Unknown,
        }
    }

    /// Returns the step that asks control hosts, if the client names the stream.
    fn ask_hosts(&self) -> OriginStep {
        self.key.map_or(OriginStep::Unknown, OriginStep::AskHosts)
    }

    /// Returns the origin that binds the stream, if the route still leads to its service.
    pub fn required_origin(
        &self,
        origin: Option<StreamOrigin>,
        leads_to: impl Fn(&ServiceName) -> bool,
    ) -> Result<StreamOrigin, TakeUpRefusal> {
        match origin {
            None => Err(TakeUpRefusal::OriginUnknown),
            Some(origin) if !leads_to(&origin.service) => Err(TakeUpRefusal::VersionGone),
            Some(origin) => Ok(origin),
        }
    }
}

/// Reason why a stream is not continued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TakeUpRefusal {
    /// It is not known which software version began the stream.
    OriginUnknown,
    /// No replica of the software version that began the stream can continue it.
    VersionGone,
}

/// What the first event of an attempt means for the software version of its stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EventBinding {
    /// The stream has this version.
    Known(SoftwareVersion),
    /// The stream has the version of an incarnation that was replaced meanwhile, which must not be
    /// recorded: only the current answer may go on with it.
    Replaced(SoftwareVersion),
    /// The events must not be passed on.
    Rejected,
}

/// The run of a replica from which events of a stream come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventSource {
    /// Incarnation of the replica.
    pub incarnation: ReplicaIncarnation,
    /// Its software version, as known when the request was sent.
    pub version: SoftwareVersion,
}

/// What a replica reported of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartReport {
    /// Start time of the incarnation that answered, in milliseconds since the epoch.
    pub started_ms: u64,
    /// When the report was asked for.
    pub asked: Instant,
}

/// What is known of the incarnation of a replica that a connection leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionProof {
    /// It is the expected one.
    Expected,
    /// It is another one.
    Other,
    /// A report must be asked for.
    Unknown,
}

/// Returns what a replica's newest report shows of a connection that was opened at `opened`, and on
/// which requests are sent that expect the incarnation started at `expected_ms`.
///
/// A connection leads to one incarnation, and the incarnations under an id follow one another. The
/// one that answers was asked for its report after the connection was opened, so the connection does
/// not lead to a later one. Nor does it lead to an earlier one than the expected, which had ended
/// before the request was sent.
pub fn prove_connection(
    newest: Option<&StartReport>,
    expected_ms: u64,
    opened: Instant,
) -> ConnectionProof {
    match newest {
        Some(report) if report.started_ms > expected_ms => ConnectionProof::Other,
        Some(report) if report.asked <= opened => ConnectionProof::Unknown,
        Some(report) if report.started_ms == expected_ms => ConnectionProof::Expected,
        Some(_) => ConnectionProof::Other,
        None => ConnectionProof::Unknown,
    }
}

/// Returns the version that an attempt requires, as its replica is chosen and again as the request is
/// sent: `stream` is the version of a stream that has begun, `mix` the versions of the service.
pub fn required_version(
    stream: Option<&SoftwareVersion>,
    mix: Option<&VersionMix>,
) -> Option<SoftwareVersion> {
    stream.cloned().or_else(|| beginning_version(mix))
}

/// Whether a request may be sent to a replica of a version: the replica may have restarted at another
/// one since it was chosen. `required` is the version that the attempt requires.
pub fn may_send(required: Option<&SoftwareVersion>, version: &SoftwareVersion) -> bool {
    required.is_none_or(|required| required == version)
}

/// Binds a stream to the source of its events; `current` is what is registered now under the id of
/// the replica, and `required` the version that the attempt requires.
pub fn bind_events(
    required: Option<&SoftwareVersion>,
    source: &EventSource,
    current: Option<&EventSource>,
) -> EventBinding {
    let replaced = current.is_some_and(|current| current != source);
    match required {
        Some(_) if replaced => EventBinding::Rejected,
        _ if replaced => {
            EventBinding::Replaced(SoftwareVersion::Unnamed(source.incarnation.clone()))
        }
        _ => EventBinding::Known(source.version.clone()),
    }
}
