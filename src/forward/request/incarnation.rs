//! Confirmation that a connection leads to the expected incarnation of a replica, before a stream is
//! continued on it. A replica that restarts under its id accepts requests that name the id, and the
//! view may not have the new incarnation yet.

use std::time::Duration;

use crate::forward::crashes::SentTo;
use crate::forward::dialect::StartTimeReport;
use crate::forward::head;
use crate::forward::upstream::{Connection, Exchange, OutgoingRequest};

use super::ForwardedRequest;

/// Time limit of the report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest report that is read, in bytes.
const MAX_REPORT_BYTES: usize = 256 * 1024;

impl ForwardedRequest<'_> {
    /// Returns the connection if the stream may be continued on it; `None` if the replica is not
    /// shown to be the expected incarnation. One connection leads to one incarnation, so what is
    /// shown holds for the request that follows.
    pub(super) async fn confirm_incarnation(
        &self,
        connection: Connection,
        sent: &SentTo,
    ) -> Option<Connection> {
        let expected_ms = sent.incarnation.started_ms;
        let report = self.core.names.start_time;
        match report.filter(|_| self.is_continuing() && expected_ms > 0) {
            None => Some(connection),
            Some(report) => {
                let reading = self.read_start_time(connection, sent, report);
                let read = tokio::time::timeout(REPORT_TIMEOUT, reading).await.ok()?;
                let (connection, started_ms) = read?;
                (started_ms == expected_ms).then_some(connection)
            }
        }
    }

    async fn read_start_time(
        &self,
        connection: Connection,
        sent: &SentTo,
        report: StartTimeReport,
    ) -> Option<(Connection, u64)> {
        let mut text = format!("GET {} HTTP/1.1\r\n", report.path);
        head::push_header(&mut text, "Host", &sent.address.to_string());
        let replica = sent.incarnation.id.as_str();
        head::push_header(&mut text, self.core.names.expect_replica, replica);
        text.push_str("Content-Length: 0\r\n\r\n");
        let request = OutgoingRequest {
            bytes: text.as_bytes(),
            method: "GET",
            identity: None,
            on_head: &|_| {},
        };
        let (mut exchange, head) = Exchange::send(connection, &request).await.ok()?;
        let mut body = Vec::new();
        while let Some(bytes) = exchange.next().await.ok()? {
            body.extend_from_slice(&bytes);
            if body.len() > MAX_REPORT_BYTES {
                return None;
            }
        }
        let started_ms = (report.read)(&body).filter(|_| head.status == 200)?;
        Some((exchange.finish()?, started_ms))
    }
}
