//! Permits to send to rate-limited replicas, requested from the leader for each request. See
//! [`crate::placement::replica_rates`].

use std::time::Duration;

use crate::clock;
use crate::consensus::directory::ReplicaRecord;
use crate::forward::daemon::EntryCore;
use crate::ids::{ReplicaId, ReplicaIncarnation};
use crate::placement::advertised_limits::PermitStamp;
use crate::placement::rate_limit::PERMIT_VALIDITY_MS;
use crate::placement::replica_rates::{PermitRefusal, PermitReply, PermitRequest};
use crate::process::peers::PeerError;
use crate::routing::permit_throttle::PERMIT_REQUEST_TIMEOUT_MS;

/// Stands in for a missing reply: other replicas are used meanwhile.
const NO_REPLY: PermitRefusal = PermitRefusal {
    wait_ms: 300,
    rate: None,
};

/// Permit to send one request to a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RatePermit {
    /// The intended incarnation of the replica.
    pub replica: ReplicaIncarnation,
    /// End of validity, in milliseconds of the monotonic clock.
    pub until_ms: u64,
    /// When the leader granted it.
    pub stamp: PermitStamp,
}

impl RatePermit {
    /// Whether the permit is still valid, and for this replica.
    pub fn is_valid_for(&self, now_ms: u64, replica: &ReplicaIncarnation) -> bool {
        now_ms < self.until_ms && self.replica == *replica
    }
}

impl EntryCore {
    /// Returns the record of a replica that is rate limited; `None` if it is not.
    pub fn rate_limited_record(&self, replica: &ReplicaId) -> Option<ReplicaRecord> {
        let replicas = self.replicas.borrow();
        let limited = replicas.needs_permit(clock::monotonic_ms(), replica);
        replicas.record(replica).filter(|_| limited).cloned()
    }

    /// Requests a permit to send one request to a rate-limited replica.
    pub async fn request_permit(&self, record: &ReplicaRecord) -> Option<RatePermit> {
        let sent_ms = clock::monotonic_ms();
        let request = self.permit_request(sent_ms, record);
        self.replicas
            .borrow_mut()
            .permit_throttle_mut()
            .record_request(sent_ms, &record.id);
        let reply = self
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
        let granted = self.handle_reply(sent_ms, &request.replica, reply);
        // Other requests wait for this reply before they request a permit.
        self.notify_changed();
        granted.map(|stamp| RatePermit {
            replica: request.replica,
            until_ms: sent_ms + PERMIT_VALIDITY_MS,
            stamp,
        })
    }

    fn handle_reply(
        &self,
        sent_ms: u64,
        replica: &ReplicaIncarnation,
        reply: Result<PermitReply, PeerError>,
    ) -> Option<PermitStamp> {
        let now_ms = clock::monotonic_ms();
        let mut replicas = self.replicas.borrow_mut();
        if reply.is_ok() {
            replicas.limits_mut().acknowledge_limit(sent_ms, replica);
        }
        let throttle = replicas.permit_throttle_mut();
        let (answer, granted) = match reply {
            Ok(PermitReply::Granted(stamp)) => {
                throttle.record_grant(sent_ms, &replica.id);
                ("granted", Some(stamp))
            }
            Ok(PermitReply::Refused(refusal)) => {
                throttle.record_refusal(now_ms, sent_ms, &replica.id, refusal);
                ("wait", None)
            }
            Err(error) => {
                tracing::debug!(%error, %replica, "permit request failed");
                throttle.record_refusal(now_ms, sent_ms, &replica.id, NO_REPLY);
                ("none", None)
            }
        };
        self.count("dunlinspring_permits_asked_total", &[("answer", answer)]);
        granted
    }

    fn permit_request(&self, now_ms: u64, record: &ReplicaRecord) -> PermitRequest {
        let replicas = self.replicas.borrow();
        let (limits, replica) = (replicas.limits(), record.incarnation());
        PermitRequest {
            service: record.service.clone(),
            is_cold: replicas.is_cold(now_ms, &record.id),
            is_limited: limits.is_limited(&replica),
            observed: limits.latest_limit(now_ms, &replica),
            cursor: limits.cursor(),
            replica,
        }
    }
}
