//! Turns of suspect contents: an attempt asks the leader for its turn, and ends it once what
//! it did is known. See [`crate::placement::turns`].

use std::rc::Rc;
use std::time::Duration;

use crate::consensus::crashes::ContentStanding;
use crate::forward::crashes::CrashInvestigation;
use crate::forward::daemon::EntryCore;
use crate::ids::ContentDigest;
use crate::placement::turns::{TurnAnswer, TurnAsk, TurnEnd};
use crate::process::{crash_report, daemon};

/// Time for one question for a turn.
const LEASE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for the word that a content ran to its end.
const CLEAR_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The turn of one attempt; ends when it is dropped.
pub struct SuspectLeaseGuard {
    core: Rc<EntryCore>,
    end: TurnEnd,
    /// What is being found out of a replica that broke off under it.
    pub investigation: Option<Rc<CrashInvestigation>>,
    /// It ran to its end.
    pub completed: bool,
}

impl Drop for SuspectLeaseGuard {
    fn drop(&mut self) {
        let (core, end) = (self.core.clone(), self.end);
        let (investigation, completed) = (self.investigation.take(), self.completed);
        daemon::spawn_local(async move {
            // The next attempt must be decided by what this one has done.
            if let Some(investigation) = investigation {
                investigation.finished().await;
            }
            if completed {
                crash_report::clear_content(core.link(), CLEAR_TIMEOUT, end.content).await;
            }
            let ended = core
                .link()
                .decide("end_turn", LEASE_TIMEOUT, |client, context| async move {
                    client.end_turn(context, end).await
                })
                .await;
            if let Err(error) = ended {
                tracing::debug!(%error, content = %end.content, "the end of a turn was not heard");
            }
        });
    }
}

/// Whether a suspect's attempt may go to a replica.
pub enum Clearance {
    /// It may, for as long as this is held.
    Go(Option<SuspectLeaseGuard>),
    /// Not now.
    Wait,
    /// Another replica is better.
    Elsewhere,
    /// Not at all.
    Quarantined,
}

impl EntryCore {
    /// Asks whether an attempt of a content may go to a replica.
    pub async fn request_suspect_lease(self: &Rc<Self>, ask: TurnAsk) -> Clearance {
        match self.crashes.standing(&ask.content) {
            ContentStanding::Harmless => return Clearance::Go(None),
            ContentStanding::Barred => return Clearance::Quarantined,
            ContentStanding::Suspect(_) => {}
        }
        let end = TurnEnd {
            content: ask.content,
            ticket: ask.ticket,
        };
        let reply = self
            .link()
            .decide("turn", LEASE_TIMEOUT, |client, context| {
                let ask = ask.clone();
                async move { client.turn(context, ask).await }
            })
            .await;
        let lease = || SuspectLeaseGuard {
            core: self.clone(),
            end,
            investigation: None,
            completed: false,
        };
        match reply {
            Ok(TurnAnswer::Go) => Clearance::Go(Some(lease())),
            Ok(TurnAnswer::Wait) => Clearance::Wait,
            Ok(TurnAnswer::Elsewhere) => Clearance::Elsewhere,
            Ok(TurnAnswer::Barred) => Clearance::Quarantined,
            Err(error) => {
                tracing::debug!(%error, content = %end.content, "a turn was not asked");
                // It may have been given all the same.
                drop(lease());
                Clearance::Wait
            }
        }
    }

    /// A content ran to its end, and its replica lives.
    pub fn clear_suspect(self: &Rc<Self>, content: ContentDigest) {
        if matches!(self.crashes.standing(&content), ContentStanding::Suspect(_)) {
            let core = self.clone();
            daemon::spawn_local(async move {
                crash_report::clear_content(core.link(), CLEAR_TIMEOUT, content).await;
            });
        }
    }
}
