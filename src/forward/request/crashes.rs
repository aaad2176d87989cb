//! Handling of requests during which replicas crashed: the content digest, the suspect lease, and
//! runs whose connection was lost.

use std::time::Duration;

use rand::Rng;

use crate::clock;
use crate::consensus::crashes::ContentStanding;
use crate::forward::own_answer::Refusal;
use crate::forward::suspect_leases::Clearance;
use crate::forward::upstream::ExchangeError;
use crate::ids::{ContentDigest, ReplicaId};
use crate::placement::suspect_leases::SuspectLeaseRequest;
use crate::routing::content::{self, ContentParts};

use super::{AttemptOutcome, ForwardedRequest, request_host};

/// How long a repeated attempt waits for the investigation of the replica that lost the connection:
/// a crashed one is found within about 15 ms.
const INVESTIGATION_TIMEOUT: Duration = Duration::from_millis(250);

impl ForwardedRequest<'_> {
    /// Prepares another run. Waits first for the result whether the replica crashed during this
    /// request, as the request would then crash the next replica as well.
    pub(super) async fn rerun(&mut self) -> Result<(), Refusal> {
        if let Some(investigation) = self.investigation.take() {
            let _ = tokio::time::timeout(INVESTIGATION_TIMEOUT, investigation.finished()).await;
        }
        self.pay().await.map_err(Refusal::Quota)
    }

    /// Whether the content is quarantined.
    pub(super) fn is_quarantined(&mut self) -> bool {
        if self.core.crashes.has_no_suspects() {
            return false;
        }
        let content = self.content();
        let quarantined = self.core.crashes.standing(&content) == ContentStanding::Barred;
        if quarantined {
            self.log.content(content);
        }
        quarantined
    }

    /// Requests a lease for the replica if the content is suspect.
    pub(super) async fn request_suspect_lease(&mut self, replica: &ReplicaId) -> Clearance {
        if self.core.crashes.has_no_suspects() {
            return Clearance::Go(None);
        }
        let content = self.content();
        let ask = SuspectLeaseRequest {
            content,
            replica: replica.clone(),
            // A new ticket for each request: the release of an earlier lease may still be in
            // transit.
            ticket: rand::rng().random(),
            duration_ms: self.left().as_millis() as u64,
            no_free_replica: self.shared_with_suspects.contains(replica),
        };
        let clearance = self.core.request_suspect_lease(ask).await;
        if !matches!(clearance, Clearance::Go(None)) {
            self.log.content(content);
        }
        clearance
    }

    /// Records that a run is abandoned because the caller left or the time ran out.
    pub(super) fn abandon_run(&mut self) {
        if let Some(sent) = self.sent.take() {
            let content = self.content();
            self.core.abandon_run(sent, content);
        }
    }

    /// Ends an attempt: releases its suspect lease, if any, according to the outcome.
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

    /// Handles a connection to a replica that was lost during a run.
    pub(super) fn handle_connection_lost(&mut self, error: &ExchangeError) {
        self.log.failed(error);
        if error.connection_lost() {
            if let Some(sent) = &self.sent {
                self.suspect_restart(&sent.incarnation.id);
            }
            self.investigate_crash();
        }
    }

    /// Records that a replica may have just restarted.
    pub(super) fn suspect_restart(&self, replica: &ReplicaId) {
        let now_ms = clock::monotonic_ms();
        self.core
            .replicas
            .borrow_mut()
            .suspect_restart(now_ms, replica);
    }

    /// Starts an investigation whether the replica crashed during this run.
    pub(super) fn investigate_crash(&mut self) {
        let Some(sent) = self.sent.take() else {
            return;
        };
        self.core.count("dunlinspring_broken_runs_total", &[]);
        let content = self.content();
        self.log.content(content);
        self.investigation = self.core.investigate_crash(&sent, content);
    }

    /// Returns the digest of the content, the same for all repeats of the request.
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
