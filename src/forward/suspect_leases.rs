//! Leases for suspect contents: an attempt requests a lease from the leader and releases it once
//! its outcome is known. See [`crate::placement::suspect_leases`].

use std::rc::Rc;
use std::time::Duration;

use crate::consensus::crashes::ContentStanding;
use crate::forward::crashes::CrashInvestigation;
use crate::forward::daemon::EntryCore;
use crate::ids::ContentDigest;
use crate::placement::suspect_leases::{
    SuspectLeaseRelease, SuspectLeaseReply, SuspectLeaseRequest,
};
use crate::process::{crash_report, daemon};

/// Time limit of a call that requests or releases a lease.
const LEASE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time limit of the report that a content ran to completion.
const CLEAR_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The lease of one attempt, released on drop.
pub struct SuspectLeaseGuard {
    core: Rc<EntryCore>,
    end: SuspectLeaseRelease,
    /// Investigation of the replica that lost the connection during the attempt.
    pub investigation: Option<Rc<CrashInvestigation>>,
    /// Whether the attempt ran to completion.
    pub completed: bool,
}

impl Drop for SuspectLeaseGuard {
    fn drop(&mut self) {
        let (core, end) = (self.core.clone(), self.end);
        let (investigation, completed) = (self.investigation.take(), self.completed);
        daemon::spawn_local(async move {
            // The leader must know the outcome of this attempt before it grants the next lease.
            if let Some(investigation) = investigation {
                investigation.finished().await;
            }
            if completed {
                crash_report::clear_content(core.link(), CLEAR_TIMEOUT, end.content).await;
            }
            let ended = core
                .link()
                .call_leader("end_turn", LEASE_TIMEOUT, |client, context| async move {
                    client.end_turn(context, end).await
                })
                .await;
            if let Err(error) = ended {
                tracing::debug!(%error, content = %end.content, "release of a suspect lease failed");
            }
        });
    }
}

/// Whether an attempt may go to a replica.
pub enum Clearance {
    /// It may, while the lease is held. `None` if the content is not suspect.
    Go(Option<SuspectLeaseGuard>),
    /// Not now.
    Wait,
    /// Another replica should be preferred.
    Elsewhere,
    /// The content is quarantined.
    Quarantined,
}

impl EntryCore {
    /// Requests a lease to run a content on a replica, if the content is suspect.
    pub async fn request_suspect_lease(self: &Rc<Self>, request: SuspectLeaseRequest) -> Clearance {
        match self.crashes.standing(&request.content) {
            ContentStanding::Harmless => return Clearance::Go(None),
            ContentStanding::Barred => return Clearance::Quarantined,
            ContentStanding::Suspect(_) => {}
        }
        let end = SuspectLeaseRelease {
            content: request.content,
            ticket: request.ticket,
        };
        let reply = self
            .link()
            .call_leader("turn", LEASE_TIMEOUT, |client, context| {
                let request = request.clone();
                async move { client.turn(context, request).await }
            })
            .await;
        let lease = || SuspectLeaseGuard {
            core: self.clone(),
            end,
            investigation: None,
            completed: false,
        };
        match reply {
            Ok(SuspectLeaseReply::Granted) => Clearance::Go(Some(lease())),
            Ok(SuspectLeaseReply::Wait) => Clearance::Wait,
            Ok(SuspectLeaseReply::Elsewhere) => Clearance::Elsewhere,
            Ok(SuspectLeaseReply::Barred) => Clearance::Quarantined,
            Err(error) => {
                tracing::debug!(%error, content = %end.content, "request for a suspect lease failed");
                // The lease may have been granted nevertheless.
                drop(lease());
                Clearance::Wait
            }
        }
    }

    /// Reports that a content ran to completion on a replica, if the content is suspect.
    pub fn clear_suspect(self: &Rc<Self>, content: ContentDigest) {
        if matches!(self.crashes.standing(&content), ContentStanding::Suspect(_)) {
            let core = self.clone();
            daemon::spawn_local(async move {
                crash_report::clear_content(core.link(), CLEAR_TIMEOUT, content).await;
            });
        }
    }
}
