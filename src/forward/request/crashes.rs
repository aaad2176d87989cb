//! What a request has to do with replicas that ended under it, or under its repeats: its
//! content, its turn, and what becomes of a run that broke off.

use std::time::Duration;

use rand::Rng;

use crate::clock;
use crate::consensus::crashes::ContentStanding;
use crate::forward::own_answer::Refusal;
use crate::forward::suspect_leases::Clearance;
use crate::forward::upstream::ExchangeError;
use crate::ids::{ContentDigest, ReplicaId};
use crate::placement::turns::TurnAsk;
use crate::routing::content::{self, ContentParts};

use super::{AttemptOutcome, ForwardedRequest, request_host};

/// Longest time that a further attempt waits for what is found out of the replica that broke
/// off: one that ended shows within some 15 ms.
const INVESTIGATION_TIMEOUT: Duration = Duration::from_millis(250);

impl ForwardedRequest<'_> {
    /// Gets ready to run once more: first it is found out whether the replica ended under
    /// this request, which would then end the next one as well.
    pub(super) async fn rerun(&mut self) -> Result<(), Refusal> {
        if let Some(investigation) = self.investigation.take() {
            let _ = tokio::time::timeout(INVESTIGATION_TIMEOUT, investigation.finished()).await;
        }
        self.pay().await.map_err(Refusal::Quota)
    }

    /// Whether its content is sent no more.
    pub(super) fn is_quarantined(&mut self) -> bool {
        if self.core.crashes.has_no_suspects() {
            return false;
        }
        let content = self.content();
        let barred = self.core.crashes.standing(&content) == ContentStanding::Barred;
        if barred {
            self.log.content(content);
        }
        barred
    }

    /// Whether it may go to a replica, as far as its content is concerned.
    pub(super) async fn request_suspect_lease(&mut self, replica: &ReplicaId) -> Clearance {
        if self.core.crashes.has_no_suspects() {
            return Clearance::Go(None);
        }
        let content = self.content();
        let ask = TurnAsk {
            content,
            replica: replica.clone(),
            // Another one each time: the end of a turn that it had may still be on its way.
            ticket: rand::rng().random(),
            lasts_ms: self.left().as_millis() as u64,
            insists: self.shared_with_suspects.contains(replica),
        };
        let clearance = self.core.request_suspect_lease(ask).await;
        if !matches!(clearance, Clearance::Go(None)) {
            self.log.content(content);
        }
        clearance
    }

    /// Notes a run that is given up, as its caller left or its time went by.
    pub(super) fn abandon_run(&mut self) {
        if let Some(sent) = self.sent.take() {
            let content = self.content();
            self.core.abandon_run(sent, content);
        }
    }

    /// Ends its turn, if it had one, by what became of its try.
    pub(super) fn end_attempt(&mut self, outcome: &AttemptOutcome) {
        let completed = matches!(outcome, AttemptOutcome::Answered(_)) && self.log.is_answered();
        match outcome {
            AttemptOutcome::NotRun | AttemptOutcome::Misplaced => self.sent = None,
            _ if completed => self.sent = None,
            _ => self.abandon_run(),
        }
        match self.lease.take() {
            Some(mut lease) => {
                lease.completed = completed;
                lease.investigation = self.investigation.clone();
            }
            None if completed && !self.core.crashes.has_no_suspects() => {
                let content = self.content();
                self.core.clear_suspect(content);
            }
            None => {}
        }
    }

    /// The connection to a replica ended under a run.
    pub(super) fn handle_connection_lost(&mut self, error: &ExchangeError) {
        self.log.failed(error);
        if error.connection_lost() {
            if let Some(sent) = &self.sent {
                self.suspect_restart(&sent.incarnation.id);
            }
            self.investigate_crash();
        }
    }

    /// A replica may be another one by now, that has just started.
    pub(super) fn suspect_restart(&self, replica: &ReplicaId) {
        let now_ms = clock::monotonic_ms();
        self.core
            .replicas
            .borrow_mut()
            .suspect_restart(now_ms, replica);
    }

    /// Has it found out whether the replica ended under this run.
    pub(super) fn investigate_crash(&mut self) {
        let Some(sent) = self.sent.take() else {
            return;
        };
        self.core.count("dunlinspring_broken_runs_total", &[]);
        let content = self.content();
        self.log.content(content);
        self.investigation = self.core.investigate_crash(&sent, content);
    }

    /// What it asks, the same for all its repeats.
    pub(super) fn content(&mut self) -> ContentDigest {
        if let Some(content) = self.content {
            return content;
        }
        let headers = &self.request.head.headers;
        let caller = self.caller.as_ref().map(|caller| caller.account.as_str());
        let content = content::digest(&ContentParts {
            caller: caller.unwrap_or_default(),
            host: request_host(headers),
            target: &self.request.head.target,
            body: &self.request.body,
        });
        self.content = Some(content);
        content
    }
}
