//! Leases for suspect contents and prompt parts: an attempt requests a lease from the leader and
//! releases it once its outcome is known. See [`crate::placement::suspect_leases`].

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use crate::consensus::crashes::ContentStanding;
use crate::consensus::part_crashes::SoundReport;
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
    suspect: Suspect,
    /// Investigation of the replica that lost the connection during the attempt.
    pub investigation: Option<Rc<CrashInvestigation>>,
    /// Whether the attempt ran to completion or, for a prompt part, beyond its beginning.
    pub completed: bool,
}

/// What a lease is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspect {
    /// The content of a request.
    Content,
    /// A part of its prompt.
    PromptPart,
}

impl SuspectLeaseGuard {
    /// Returns the prompt part that the lease is for, if any.
    pub fn part(&self) -> Option<ContentDigest> {
        (self.suspect == Suspect::PromptPart).then_some(self.end.content)
    }
}

impl Drop for SuspectLeaseGuard {
    fn drop(&mut self) {
        let (core, end, suspect) = (self.core.clone(), self.end, self.suspect);
        let (investigation, completed) = (self.investigation.take(), self.completed);
        daemon::spawn_local(async move {
            // The leader must know the outcome of this attempt before it grants the next lease.
            if let Some(investigation) = investigation {
                investigation.finished().await;
            }
            match suspect {
                _ if !completed => {}
                Suspect::Content => {
                    crash_report::clear_content(core.link(), CLEAR_TIMEOUT, end.content).await;
                }
                Suspect::PromptPart => {
                    let report = SoundReport {
                        runs: BTreeMap::from([(end.content, 1)]),
                        leased: BTreeSet::from([end.content]),
                    };
                    crash_report::report_sound_runs(core.link(), report).await;
                }
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
    /// It may, while the leases are held. Empty if nothing is suspect.
    Go(Vec<SuspectLeaseGuard>),
    /// Not now.
    Wait,
    /// Another replica should be preferred.
    Elsewhere,
    /// The content, or a part of the prompt, is quarantined.
    Quarantined,
}

impl EntryCore {
    /// Requests a lease to run a suspect content or prompt part on a replica.
    pub async fn request_suspect_lease(
        self: &Rc<Self>,
        suspect: Suspect,
        request: SuspectLeaseRequest,
    ) -> Clearance {
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
            suspect,
            investigation: None,
            completed: false,
        };
        match reply {
            Ok(SuspectLeaseReply::Granted) => Clearance::Go(vec![lease()]),
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
