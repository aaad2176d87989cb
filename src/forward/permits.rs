//! Permits to send to replicas that take few requests: asked of the leader for each request.
//! See [`crate::placement::replica_rates`].

use std::time::Duration;

use crate::clock;
use crate::consensus::directory::ReplicaRecord;
use crate::forward::daemon::EntryCore;
use crate::ids::{ReplicaId, ReplicaIncarnation};
use crate::placement::named_limits::PermitStamp;
use crate::placement::rate_limit::PERMIT_VALIDITY_MS;
use crate::placement::replica_rates::{PermitRefusal, PermitReply, PermitRequest};
use crate::process::peers::PeerError;
use crate::routing::permit_throttle::PERMIT_REQUEST_TIMEOUT_MS;

/// What stands for an answer that nobody gave: other replicas are sent to
/// meanwhile.
const SILENT: PermitRefusal = PermitRefusal {
    wait_ms: 300,
    rate: None,
};

/// The permit to send one request to a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RatePermit {
    /// The replica, in the life that was meant.
    pub replica: ReplicaIncarnation,
    /// Until when it may be used, in milliseconds of the steady clock.
    pub until_ms: u64,
    /// When the leader gave it.
    pub stamp: PermitStamp,
}

impl RatePermit {
    /// Whether it may still be used for a replica.
    pub fn holds(&self, now_ms: u64, replica: &ReplicaIncarnation) -> bool {
        now_ms < self.until_ms && self.replica == *replica
    }
}

impl EntryCore {
    /// The record of a replica that takes few requests; none where it takes any number.
    pub fn limited_record(&self, replica: &ReplicaId) -> Option<ReplicaRecord> {
        let book = self.book.borrow();
        let limited = book.needs_permit(clock::monotonic_ms(), replica);
        book.record(replica).filter(|_| limited).cloned()
    }

    /// Asks whether one request may go to a replica that takes few.
    pub async fn ask_permit(&self, record: &ReplicaRecord) -> Option<RatePermit> {
        let asked_ms = clock::monotonic_ms();
        let request = self.permit_request(asked_ms, record);
        self.book
            .borrow_mut()
            .pace_mut()
            .record_request(asked_ms, &record.id);
        let asked = self
            .link()
            .call_leader(
                "permit",
                Duration::from_millis(PERMIT_REQUEST_TIMEOUT_MS),
                |client, context| {
                    let request = request.clone();
                    async move { client.permit(context, request).await }
                },
            )
            .await;
        let granted = self.take_reply(asked_ms, &request.replica, asked);
        // Others wait for the answer to ask for themselves.
        self.changed.notify_waiters();
        granted.map(|stamp| RatePermit {
            replica: request.replica,
            until_ms: asked_ms + PERMIT_VALIDITY_MS,
            stamp,
        })
    }

    fn take_reply(
        &self,
        asked_ms: u64,
        replica: &ReplicaIncarnation,
        asked: Result<PermitReply, PeerError>,
    ) -> Option<PermitStamp> {
        let now_ms = clock::monotonic_ms();
        let mut book = self.book.borrow_mut();
        if asked.is_ok() {
            book.limits_mut().acknowledge_limit(asked_ms, replica);
        }
        let pace = book.pace_mut();
        let (answer, granted) = match asked {
            Ok(PermitReply::Granted(stamp)) => {
                pace.record_grant(asked_ms, &replica.id);
                ("granted", Some(stamp))
            }
            Ok(PermitReply::Refused(refusal)) => {
                pace.record_refusal(now_ms, asked_ms, &replica.id, refusal);
                ("wait", None)
            }
            Err(error) => {
                tracing::debug!(%error, %replica, "a permit to send was not asked for");
                pace.record_refusal(now_ms, asked_ms, &replica.id, SILENT);
                ("none", None)
            }
        };
        self.count("dunlinspring_permits_asked_total", &[("answer", answer)]);
        granted
    }

    fn permit_request(&self, now_ms: u64, record: &ReplicaRecord) -> PermitRequest {
        let book = self.book.borrow();
        let (limits, replica) = (book.limits(), record.incarnation());
        PermitRequest {
            service: record.service.clone(),
            is_cold: book.is_cold(now_ms, &record.id),
            is_limited: limits.is_limited(&replica),
            observed: limits.latest_limit(now_ms, &replica),
            cursor: limits.cursor(),
            replica,
        }
    }
}
