//! Confirmation that a connection leads to the expected incarnation of a replica. A replica that
//! restarts under its id accepts requests that name the id, and the view may not have the new
//! incarnation yet.
//!
//! A stream is continued only on a connection that is confirmed. A stream that begins is sent at once,
//! and its first event waits for the confirmation, which the replica is asked for meanwhile.

use std::time::Instant;

use crate::forward::crashes::SentTo;
use crate::forward::upstream::Connection;
use crate::routing::stream_origins::ConnectionProof;

use super::ForwardedRequest;

impl ForwardedRequest<'_> {
    /// Whether the next attempt requires a certain incarnation: a stream that is continued, or that
    /// begins and may be continued later, where replicas report their start time.
    fn requires_incarnation(&self, sent: &SentTo) -> bool {
        let is_reported = self.core.names.start_time.is_some() && sent.incarnation.started_ms > 0;
        is_reported && (self.is_continuing() || self.need.begins_stream)
    }

    /// Returns the connection if the request may be sent on it; `None` if the replica is not shown to
    /// be the expected incarnation.
    pub(super) async fn confirm_incarnation(
        &self,
        connection: Connection,
        sent: &SentTo,
    ) -> Option<Connection> {
        if !self.requires_incarnation(sent) {
            return Some(connection);
        }
        let opened = connection.opened();
        let may_send = match self.core.connection_proof(sent, opened) {
            ConnectionProof::Expected => true,
            ConnectionProof::Other => false,
            ConnectionProof::Unknown if self.is_continuing() => {
                self.core.await_connection_proof(sent, opened).await
            }
            ConnectionProof::Unknown => {
                self.core.ask_start_time(sent, opened);
                true
            }
        };
        may_send.then_some(connection)
    }

    /// Whether events on a connection opened at `opened` come from the expected incarnation, as far as
    /// the attempt requires it.
    pub(super) async fn has_expected_incarnation(&self, opened: Instant) -> bool {
        match &self.sent {
            Some(sent) if self.requires_incarnation(sent) => {
                self.core.await_connection_proof(sent, opened).await
            }
            _ => true,
        }
    }
}
