//! Continuation of streams: by this entry within one response, or by a client that takes up a stream
//! which was broken off before.

use crate::consensus::software_versions::SoftwareVersion;
use crate::forward::crashes::SentTo;
use crate::forward::head;
use crate::ids::ReplicaIncarnation;
use crate::table::configuration::RouteKind;

use super::ForwardedRequest;

/// The run of a replica from which events of a stream come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct EventSource {
    /// Incarnation of the replica.
    pub(super) incarnation: ReplicaIncarnation,
    /// Its software version, as known when the request was sent.
    pub(super) version: SoftwareVersion,
}

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
        self.route.kind == RouteKind::Streaming
            && head::find(&self.request.head.headers, self.core.names.last_event).is_some()
    }

    /// Who continues a stream by the next attempt; `None` if the attempt begins one.
    fn continuer(&self) -> Option<Continuer> {
        match self.event_buffer.last_id() {
            Some(_) => Some(Continuer::Entry),
            None if self.is_take_up() => Some(Continuer::Client),
            None => None,
        }
    }

    /// Prepares an attempt at a replica, and logs it if it continues a stream.
    pub(super) fn begin_source(&mut self, sent: &SentTo) {
        let incarnation = sent.incarnation.clone();
        let replicas = self.core.replicas.borrow();
        let version = match replicas.version(&incarnation.id) {
            Some(version) => version.clone(),
            None => SoftwareVersion::Unnamed(incarnation.clone()),
        };
        drop(replicas);
        if let Some(continuer) = self.continuer() {
            self.log_continuation(continuer, &incarnation, &version);
        }
        self.source = Some(EventSource {
            incarnation,
            version,
        });
    }

    /// Accepts the events that come from the current attempt. Its first event binds the stream to the
    /// software version, unless the replica was replaced since the request was sent. Returns whether
    /// the events may be passed on.
    pub(super) fn accept_event_source(&mut self) -> bool {
        let Some(source) = self.source.take() else {
            return true;
        };
        let replicas = self.core.replicas.borrow();
        let record = replicas.record(&source.incarnation.id);
        let replaced = record.is_some_and(|record| record.incarnation() != source.incarnation);
        drop(replicas);
        if replaced && self.need.version.is_some() {
            return false;
        }
        self.need.version = Some(match replaced {
            true => SoftwareVersion::Unnamed(source.incarnation.clone()),
            false => source.version.clone(),
        });
        self.first_source.get_or_insert(source);
        true
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
            replica = %incarnation,
            software = %version,
            view_age_ms = self.core.view_age_ms(),
            "stream continues"
        );
    }
}
