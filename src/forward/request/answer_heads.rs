//! What replicas announce in the heads of their responses, independent of the outcome of the
//! request: a backoff, that they are draining, or a rate limit.

use std::rc::Rc;

use crate::clock;
use crate::forward::crashes::SentTo;
use crate::forward::daemon::EntryCore;
use crate::forward::head::{self, ResponseHead};
use crate::forward::permits::RatePermit;
use crate::forward::replica_table::SendBlock;
use crate::ids::ReplicaId;
use crate::placement::advertised_limits::PermitStamp;
use crate::placement::advertised_rate::AdvertisedRate;
use crate::routing::backoff::{RequestedBackoff, SendSlot, SlotOutcome};

use super::ForwardedRequest;

/// Header with the time after which to retry, in seconds.
const RETRY_AFTER: &str = "retry-after";

/// Returns the unparsed `Retry-After` value.
pub(super) fn retry_after_text(head: &ResponseHead) -> Option<&str> {
    head::find(&head.headers, RETRY_AFTER)
}

/// Returns the backoff that a response requests. Only 429 and 503 request one.
fn requested_backoff(head: &ResponseHead) -> Option<RequestedBackoff> {
    let turned_away = matches!(head.status, 429 | 503);
    let values = head::find_all(&head.headers, RETRY_AFTER).filter(|_| turned_away);
    RequestedBackoff::parse(values)
}

/// Returns an observer that records what the replica announces in each response head.
pub(super) fn observer<'a>(
    core: &'a Rc<EntryCore>,
    sent: &SentTo,
    request: &'a str,
    permit: Option<PermitStamp>,
) -> impl Fn(&ResponseHead) + use<'a> {
    let incarnation = sent.incarnation.clone();
    move |head| {
        count_unknown(core, &incarnation.id, request, head);
        if let Some(rate) = advertised_rate(core, head) {
            // The permit proves when this request was sent, but not when that of a surplus response
            // was.
            let is_due = head::find(&head.headers, core.names.request_id) == Some(request);
            core.record_limit(&incarnation, rate, permit.filter(|_| is_due));
        }
        let now_ms = clock::monotonic_ms();
        if let Some(backoff) = requested_backoff(head) {
            core.replicas
                .borrow_mut()
                .back_off(now_ms, &incarnation.id, backoff);
            core.count("dunlinspring_pauses_asked_total", &[]);
            let (replica, status) = (&incarnation.id, head.status);
            tracing::info!(%replica, request, status, pause_ms = backoff.ms, "replica requested a backoff");
        }
        if head::find(&head.headers, core.names.leaving).is_none() {
            return;
        }
        let is_new = core
            .replicas
            .borrow_mut()
            .record_draining(now_ms, &incarnation);
        if is_new {
            core.pool.borrow_mut().forget(&incarnation.id);
            core.count("dunlinspring_replicas_leaving_total", &[]);
            let replica = &incarnation.id;
            tracing::info!(%replica, born_ms = incarnation.started_ms, request, "replica is shutting down");
        }
    }
}

/// Returns the rate limit that a response advertises.
fn advertised_rate(core: &EntryCore, head: &ResponseHead) -> Option<AdvertisedRate> {
    AdvertisedRate::parse(head::find_all(&head.headers, core.names.limit))
}

/// Counts unknown headers and logs one line for each new name.
fn count_unknown(core: &EntryCore, replica: &ReplicaId, request: &str, head: &ResponseHead) {
    let mut known = core.unknown_headers.borrow_mut();
    for header in known.find(&core.names, &head.headers) {
        let labels = [("name", header.name.as_str())];
        core.count("dunlinspring_unknown_headers_total", &labels);
        if header.is_new {
            let (name, value) = (&header.name, &header.value);
            tracing::info!(%replica, request, name, value, "unknown header in a replica's response");
        }
    }
}

impl ForwardedRequest<'_> {
    /// Makes the final check whether the replica may be sent to, right before the request is
    /// written.
    pub(super) fn claim(
        &mut self,
        sent: &SentTo,
        permit: Option<RatePermit>,
    ) -> Result<SendSlot, SendBlock> {
        let now_ms = clock::monotonic_ms();
        let mut replicas = self.core.replicas.borrow_mut();
        let claimed = replicas.claim(now_ms, &sent.incarnation, permit);
        drop(replicas);
        if let Err(block) = &claimed {
            self.core.count("dunlinspring_held_back_total", &[]);
            self.log
                .note(&format!("not sent to {}: {block:?}", sent.incarnation.id));
        }
        claimed
    }

    /// Records that a replica which took the request no longer advertises a limit.
    pub(super) fn record_end_of_limit(
        &self,
        head: &ResponseHead,
        permit: Option<PermitStamp>,
        end: SlotOutcome,
    ) {
        let names_limit = head::find(&head.headers, self.core.names.limit).is_some();
        match (permit, &self.sent) {
            (Some(permit), Some(sent)) if end == SlotOutcome::Accepted && !names_limit => {
                self.core.record_limit_end(&sent.incarnation, permit);
            }
            _ => {}
        }
    }
}
