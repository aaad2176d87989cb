//! Permits to send to replicas that warm up: asked of the leader for each request. See
//! [`crate::placement::warm_up`].

use std::time::Duration;

use crate::clock;
use crate::consensus::directory::ReplicaRecord;
use crate::forward::daemon::EntryCore;
use crate::ids::ReplicaId;
use crate::placement::warm_up::{PERMIT_MS, WarmupAnswer, WarmupAsk};

/// Time for one question; the permit that it brings would be over after it.
const ASK_TIME: Duration = Duration::from_millis(PERMIT_MS / 2);
/// Pause after a question that nobody answered, in milliseconds: other replicas are sent to
/// meanwhile.
const SILENT_MS: u64 = 300;

/// The permit to send one request to a replica that warms up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmupPermit {
    until_ms: u64,
}

impl WarmupPermit {
    /// Whether it may still be used.
    pub fn holds(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms
    }
}

impl EntryCore {
    /// The record of a replica that warms up; none where it is warm.
    pub fn cold_record(&self, replica: &ReplicaId) -> Option<ReplicaRecord> {
        let book = self.book.borrow();
        let cold = book.is_cold(clock::monotonic_ms(), replica);
        book.record(replica).filter(|_| cold).cloned()
    }

    /// Asks whether one request may go to a replica that warms up.
    pub async fn ask_warm_up(&self, record: &ReplicaRecord) -> Option<WarmupPermit> {
        let asked_ms = clock::monotonic_ms();
        let ask = WarmupAsk {
            replica: record.life(),
            service: record.service.clone(),
        };
        let asked = self
            .link()
            .decide("warm_up", ASK_TIME, |client, context| {
                let ask = ask.clone();
                async move { client.warm_up(context, ask).await }
            })
            .await;
        let (answer, wait_ms) = match asked {
            Ok(WarmupAnswer::Go) => ("go", None),
            Ok(WarmupAnswer::Wait(wait_ms)) => ("wait", Some(wait_ms)),
            Err(error) => {
                tracing::debug!(%error, replica = %record.id, "a permit to send was not asked for");
                ("none", Some(SILENT_MS))
            }
        };
        self.count("dunlinspring_warm_up_asks_total", &[("answer", answer)]);
        let Some(wait_ms) = wait_ms else {
            let until_ms = asked_ms + PERMIT_MS;
            return Some(WarmupPermit { until_ms });
        };
        let now_ms = clock::monotonic_ms();
        let mut book = self.book.borrow_mut();
        book.refuse_warm_up(now_ms, &record.id, wait_ms);
        None
    }
}
