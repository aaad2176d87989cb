//! Handling of requests during which replicas crashed: the content digest, suspect leases, sound
//! runs, and runs whose connection was lost.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use rand::Rng;

use crate::clock;
use crate::consensus::crashes::ContentStanding;
use crate::forward::crashes::ExposedRuns;
use crate::forward::head::ResponseHead;
use crate::forward::own_answer::Refusal;
use crate::forward::sound_runs::BEGINNING;
use crate::forward::suspect_leases::{Clearance, Suspect};
use crate::forward::upstream::{Exchange, ExchangeError};
use crate::ids::{ContentDigest, ReplicaId};
use crate::placement::suspect_leases::SuspectLeaseRequest;
use crate::routing::content::{self, ContentParts};
use crate::routing::suspects::PromptStanding;

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

    /// Returns why the request is not sent now, if replicas crashed under its content or under parts
    /// of its prompt.
    pub(super) fn check_suspects(&mut self) -> Result<(), Refusal> {
        let core = self.core;
        match core.crashes.prompt_standing(&self.need.part_digests) {
            PromptStanding::Quarantined(part) => {
                self.log.part(part);
                return Err(Refusal::PartQuarantined);
            }
            PromptStanding::HeldTogether(part) => {
                self.log.part(part);
                return Err(Refusal::PartsHeld);
            }
            PromptStanding::Free | PromptStanding::OneAtATime(_) => {}
        }
        if core.crashes.has_no_suspects() {
            return Ok(());
        }
        let content = self.content();
        match core.crashes.standing(&content) {
            ContentStanding::Barred => {
                self.log.content(content);
                Err(Refusal::Quarantined)
            }
            _ => Ok(()),
        }
    }

    /// Requests leases for the replica if the content or parts of the prompt are suspect.
    pub(super) async fn request_suspect_leases(&mut self, replica: &ReplicaId) -> Clearance {
        let core = self.core;
        let mut suspects = Vec::new();
        if !core.crashes.has_no_suspects() {
            let content = self.content();
            match core.crashes.standing(&content) {
                ContentStanding::Harmless => {}
                ContentStanding::Barred => return Clearance::Quarantined,
                ContentStanding::Suspect(_) => suspects.push((Suspect::Content, content)),
            }
        }
        if let PromptStanding::OneAtATime(parts) =
            core.crashes.prompt_standing(&self.need.part_digests)
        {
            suspects.extend(parts.into_iter().map(|part| (Suspect::PromptPart, part)));
        }
        let mut leases = Vec::new();
        for (suspect, digest) in suspects {
            let request = SuspectLeaseRequest {
                content: digest,
                replica: replica.clone(),
                // A new ticket for each request: the release of an earlier lease may still be in
                // transit.
                ticket: rand::rng().random(),
                duration_ms: self.left().as_millis() as u64,
                no_free_replica: self.shared_with_suspects.contains(replica),
            };
            match suspect {
                Suspect::Content => self.log.content(digest),
                Suspect::PromptPart => self.log.part(digest),
            }
            match core.request_suspect_lease(suspect, request).await {
                Clearance::Go(granted) => leases.extend(granted),
                refused => return refused,
            }
        }
        Clearance::Go(leases)
    }

    /// Begins an attempt: nothing has come of its response.
    pub(super) fn begin_attempt(&mut self) {
        self.begun = None;
        self.is_sound = false;
        self.has_ended = false;
    }

    /// Withdraws an attempt whose response has not begun, as a part of its prompt was quarantined.
    pub(super) fn withdraw(&mut self) -> AttemptOutcome {
        self.core.count("dunlinspring_withdrawn_runs_total", &[]);
        self.log
            .note("withdrawn: a part of its prompt is quarantined");
        let _ = self.check_suspects();
        AttemptOutcome::Unknown
    }

    /// Records that a piece of the response came. A run that goes on after its beginning is sound.
    pub(super) fn record_progress(&mut self) {
        let begun = self.begun.get_or_insert_with(Instant::now);
        if !self.is_sound && begun.elapsed() >= BEGINNING {
            self.record_sound_run();
        }
    }

    fn record_sound_run(&mut self) {
        self.is_sound = true;
        let core = self.core;
        let mut leased = Vec::new();
        for lease in &mut self.leases {
            if let Some(part) = lease.part() {
                lease.completed = true;
                leased.push(part);
            }
        }
        // Other requests with these parts need not wait for the end of this one.
        self.leases.retain(|lease| lease.part().is_none());
        let others = self.need.part_digests.iter();
        core.record_sound_run(others.filter(|part| !leased.contains(part)));
    }

    /// Whether the response is complete. One without length or chunks ends with its connection, as
    /// it also does when its replica ends, and a success of this kind without any byte of a body may
    /// have been cut within its head.
    pub(super) async fn confirm_end(
        &mut self,
        exchange: &Exchange,
        head: &ResponseHead,
        is_empty: bool,
    ) -> bool {
        let is_delimited = exchange.is_delimited();
        let is_success = (200..300).contains(&head.status);
        let outlives = match &self.sent {
            _ if is_delimited => Some(true),
            Some(sent) => {
                let outlives = self.core.outlives_close(sent);
                clock::wait_until(self.until_ms, outlives).await.flatten()
            }
            None => None,
        };
        match outlives {
            Some(true) if is_success && is_empty && !is_delimited => {
                self.log.note("a success without length or body");
                false
            }
            Some(true) => {
                self.has_ended = true;
                if !self.is_sound && is_success {
                    self.record_sound_run();
                }
                true
            }
            Some(false) => {
                self.log.note("the replica ended with its response");
                self.investigate_crash();
                false
            }
            None => {
                self.log.note("not known whether the response is complete");
                false
            }
        }
    }

    /// What of the request may have crashed the replica.
    fn exposed(&mut self) -> ExposedRuns {
        let begins = self.begun.is_none_or(|begun| begun.elapsed() < BEGINNING);
        let parts = self.need.part_digests.iter().filter(|_| begins);
        let parts = parts.copied().collect();
        ExposedRuns {
            contents: BTreeSet::from([self.content()]),
            parts,
        }
    }

    /// Records that a run is abandoned because the caller left or the time ran out.
    pub(super) fn abandon_run(&mut self) {
        if let Some(sent) = self.sent.take() {
            let runs = self.exposed();
            self.core.abandon_run(sent, runs);
        }
    }

    /// Ends an attempt: releases its suspect leases, if any, according to the outcome.
    pub(super) fn end_attempt(&mut self, outcome: &AttemptOutcome) {
        let answered = matches!(outcome, AttemptOutcome::Answered(_)) && self.log.is_answered();
        let completed = answered && self.has_ended;
        match outcome {
            AttemptOutcome::NotRun | AttemptOutcome::Misplaced => self.sent = None,
            _ if completed => self.sent = None,
            _ => self.abandon_run(),
        }
        let mut clears = completed && !self.core.crashes.has_no_suspects();
        for mut lease in std::mem::take(&mut self.leases) {
            if lease.part().is_none() {
                lease.completed = completed;
                clears = false;
            }
            lease.investigation = self.investigation.clone();
        }
        if clears {
            let content = self.content();
            self.core.clear_suspect(content);
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
        let runs = self.exposed();
        let content = self.content();
        self.log.content(content);
        self.investigation = self.core.investigate_crash(&sent, runs);
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
