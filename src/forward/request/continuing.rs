//! Continuation of streams: by this entry within one response, or by a client that takes up a stream
//! which was broken off before.

use std::time::{Duration, Instant};

use crate::consensus::software_versions::SoftwareVersion;
use crate::forward::crashes::SentTo;
use crate::forward::head;
use crate::forward::own_answer::Refusal;
use crate::ids::{ReplicaId, ReplicaIncarnation};
use crate::routing::stream_origins::{
    self, EventBinding, EventSource, OriginSearch, StreamKey, StreamOrigin, TakeUpRefusal,
};
use crate::table::configuration::RouteKind;

use super::ForwardedRequest;

/// The origin of a stream is looked up for the time left divided by this, at most.
const ORIGIN_TIME_DIVISOR: u32 = 3;
/// Longest time for which the origin of a stream is looked up: an election takes less.
const MAX_ORIGIN_TIME: Duration = Duration::from_millis(1_500);

/// Who continues a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Continuer {
    /// This entry, within one response.
    Entry,
    /// The client, by a new request.
    Client,
}

impl Continuer {
    fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Client => "client",
        }
    }
}

impl ForwardedRequest<'_> {
    /// Whether the client takes up a stream of which it has events.
    pub(super) fn is_take_up(&self) -> bool {
        let last = head::find(&self.request.head.headers, self.core.names.last_event);
        self.route.kind == RouteKind::Streaming && last.is_some_and(|id| !id.trim().is_empty())
    }

    /// Who continues a stream by the next attempt; `None` if the attempt begins one.
    fn continuer(&self) -> Option<Continuer> {
        match self.event_buffer.has_begun() {
            true => Some(Continuer::Entry),
            false if self.is_take_up() => Some(Continuer::Client),
            false => None,
        }
    }

    /// Whether the next attempt continues a stream.
    pub(super) fn is_continuing(&self) -> bool {
        self.continuer().is_some()
    }

    /// Whether a stream is continued and no replica of its service runs its software version.
    pub(super) fn version_is_gone(&self) -> bool {
        let (Some(service), Some(version)) = (&self.need.service, &self.need.version) else {
            return false;
        };
        self.is_continuing() && !self.core.replicas.borrow().runs_version(service, version)
    }

    /// Requires the software version of the stream, or the one at which streams begin.
    pub(super) fn require_version(&mut self) {
        if let (RouteKind::Streaming, Some(service)) = (self.route.kind, &self.need.service) {
            let is_continuing = self.is_continuing();
            let stream = self.need.version.as_ref().filter(|_| is_continuing);
            self.need.version = self.core.required_version(service, stream);
        }
    }

    /// Returns the source of events of an attempt that is sent now; `None` if the replica restarted
    /// since it was chosen, or if its version is not the one that is required by now.
    pub(super) fn event_source(&mut self, sent: &SentTo) -> Option<EventSource> {
        self.require_version();
        let required = self.need.version.as_ref();
        let source = self.registered_source(&sent.incarnation.id)?;
        let may_send = source.incarnation == sent.incarnation
            && stream_origins::may_send(required, &source.version);
        may_send.then_some(source)
    }

    /// Returns the run that is registered under the id of a replica.
    fn registered_source(&self, id: &ReplicaId) -> Option<EventSource> {
        let replicas = self.core.replicas.borrow();
        let (record, version) = replicas.record(id).zip(replicas.version(id))?;
        Some(EventSource {
            incarnation: record.incarnation(),
            version: version.clone(),
        })
    }

    /// Prepares an attempt that is sent now, and logs it if it continues a stream.
    pub(super) fn begin_source(&mut self, source: EventSource) {
        if let Some(continuer) = self.continuer() {
            self.log_continuation(continuer, &source.incarnation, &source.version);
        }
        self.source = Some(source);
    }

    /// Returns whether complete events of the current attempt, on a connection opened at `opened`, may
    /// be passed on, and records them if so: the stream would be continued after them.
    pub(super) async fn accept_events(&mut self, events: &[u8], opened: Instant) -> bool {
        let may_pass = self.accept_event_source(opened).await;
        if may_pass {
            self.event_buffer.record(events);
        }
        may_pass
    }

    /// Accepts the source of the current attempt's events. Its first event binds the stream to the
    /// software version, unless the replica was replaced since the request was sent.
    async fn accept_event_source(&mut self, opened: Instant) -> bool {
        let Some(source) = self.source.take() else {
            return true;
        };
        if !self.has_expected_incarnation(opened).await {
            return false;
        }
        let current = self.registered_source(&source.incarnation.id);
        let binding =
            stream_origins::bind_events(self.need.version.as_ref(), &source, current.as_ref());
        let (version, may_record) = match binding {
            EventBinding::Known(version) => (version, true),
            EventBinding::Replaced(version) => (version, false),
            EventBinding::Rejected => return false,
        };
        let origin = StreamOrigin {
            service: self.need.service.clone().unwrap_or_else(|| "".into()),
            version,
        };
        if let (Some(key), true) = (self.stream_key(), may_record) {
            self.core.record_origin(key, &origin);
        }
        self.need.version = Some(origin.version);
        self.first_source.get_or_insert(source);
        true
    }

    /// Key of the stream that this request begins or takes up; `None` if the client does not name
    /// the stream.
    fn stream_key(&self) -> Option<StreamKey> {
        let first_id = match self.is_take_up() {
            true => head::find(&self.request.head.headers, self.core.names.resumes)?,
            false => &self.id,
        };
        let account = self.caller.as_ref().map_or("", |c| c.account.as_str());
        Some(StreamKey::new(account, first_id))
    }

    /// Requires the software version that began the stream, if the client takes one up.
    pub(super) async fn require_origin(&mut self) -> Result<(), Refusal> {
        let (true, Some(service)) = (self.is_take_up(), self.need.service.clone()) else {
            return Ok(());
        };
        let timeout = (self.left() / ORIGIN_TIME_DIVISOR).min(MAX_ORIGIN_TIME);
        let search = OriginSearch {
            key: self.stream_key(),
            service,
        };
        let found = self.core.find_origin(&search, timeout).await;
        let source = found
            .as_ref()
            .map_or("unknown", |(_, source)| source.name());
        let labels = [("origin", source)];
        self.core.count("dunlinspring_take_ups_total", &labels);
        self.log
            .note(&format!("takes a stream up: origin {source}"));
        self.origin_source = Some(source);
        if let (Some(key), Some((origin, _))) = (search.key, &found) {
            self.core.record_origin(key, origin);
        }
        let found = found.map(|(origin, _)| origin);
        let origin = search.required_origin(found, |service| self.route.leads_to(service));
        let origin = origin.map_err(|refusal| match refusal {
            TakeUpRefusal::OriginUnknown => Refusal::OriginUnknown,
            TakeUpRefusal::VersionGone => Refusal::VersionGone,
        })?;
        self.need.version = Some(origin.version);
        match origin.service == search.service {
            true => Ok(()),
            // The digests of prompt parts include the service.
            false => {
                self.change_service(origin.service);
                self.check_suspects()
            }
        }
    }

    fn log_continuation(
        &self,
        continuer: Continuer,
        incarnation: &ReplicaIncarnation,
        version: &SoftwareVersion,
    ) {
        let first = self.need.version.as_ref();
        let matches = match first {
            Some(first) if first == version => "same",
            Some(_) => "other",
            None => "unknown",
        };
        let labels = [("by", continuer.name()), ("software", matches)];
        self.core
            .count("dunlinspring_stream_continuations_total", &labels);
        let headers = &self.request.head.headers;
        let header = |name| head::find(headers, name).unwrap_or_default();
        tracing::info!(
            request = self.id,
            by = continuer.name(),
            resumes = header(self.core.names.resumes),
            last_event = self
                .event_buffer
                .last_id()
                .unwrap_or_else(|| header(self.core.names.last_event)),
            first_replica = self.first_source.as_ref().map(|first| first.incarnation.to_string()),
            first_software = first.map(ToString::to_string),
            origin = self.origin_source.unwrap_or_default(),
            replica = %incarnation,
            software = %version,
            view_age_ms = self.core.view_age_ms(),
            "stream continues"
        );
    }
}
