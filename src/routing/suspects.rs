//! Tracks contents and prompt parts during which replicas crashed: what the log holds of them, and
//! crashes under contents that this member observed and has not yet followed in the log.

use std::collections::BTreeMap;

use crate::consensus::crashes::{ContentStanding, CrashCounts, CrashReport};
use crate::consensus::part_crashes::{PartStanding, PartStandings};
use crate::ids::{ContentDigest, Position, ReplicaIncarnation};

/// Retry delay reported for a quarantined content, in milliseconds. A caller cannot resolve it, and
/// an operator needs minutes to examine it.
pub const QUARANTINE_RETRY_MS: u64 = 60_000;

/// Log position of a crash report; `None` until the log holds it.
type LoggedAt = Option<Position>;

/// Suspect contents and prompt parts known to one member.
#[derive(Debug, Default)]
pub struct SuspectIndex {
    logged: CrashCounts,
    /// Crashes that this member observed and has not followed in the log yet.
    observed: BTreeMap<ContentDigest, BTreeMap<ReplicaIncarnation, LoggedAt>>,
    parts: PartStandings,
}

impl SuspectIndex {
    /// Takes over the standings of prompt parts in the log. Returns whether they have changed.
    pub fn follow_parts(&mut self, parts: &PartStandings) -> bool {
        let changed = self.parts != *parts;
        if changed {
            self.parts = parts.clone();
        }
        changed
    }

    /// Returns the standings of prompt parts.
    pub fn parts(&self) -> &PartStandings {
        &self.parts
    }

    /// Whether no content is suspect, so that no request needs a digest.
    pub fn is_empty(&self) -> bool {
        self.logged.is_empty() && self.observed.is_empty()
    }

    /// Takes over the counts of the log at a position.
    pub fn follow(&mut self, position: Position, counts: &CrashCounts) {
        if self.logged != *counts {
            self.logged = counts.clone();
        }
        self.observed.retain(|_, replicas| {
            replicas.retain(|_, logged_at| logged_at.is_none_or(|at| at > position));
            !replicas.is_empty()
        });
    }

    /// Records a crash that this member observed, and its log position if the log holds it.
    pub fn record_crash(&mut self, report: &CrashReport, logged_at: LoggedAt) {
        for content in &report.contents {
            let replicas = self.observed.entry(*content).or_default();
            replicas.insert(report.replica.clone(), logged_at);
        }
    }

    /// Returns the standing of a content. Observed and logged crashes may be the same ones, so the
    /// higher count is used; the leader, which is asked before a suspect content runs, knows all of
    /// them.
    pub fn standing(&self, content: &ContentDigest) -> ContentStanding {
        let logged = self.logged.get(content).copied().unwrap_or(0);
        let observed = self.observed.get(content).map_or(0, BTreeMap::len);
        ContentStanding::of(logged.max(observed as u8))
    }
}

/// Verdict on a prompt by its parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PromptStanding {
    /// Nothing speaks against it.
    Free,
    /// These parts run one at a time over all entries.
    OneAtATime(Vec<ContentDigest>),
    /// Not sent, as this part is quarantined.
    Quarantined(ContentDigest),
    /// Not sent now: this part and another one are held, and a run would not tell which is guilty.
    HeldTogether(ContentDigest),
}

/// Returns the verdict on a prompt with these parts.
pub fn prompt_standing(standings: &PartStandings, parts: &[ContentDigest]) -> PromptStanding {
    if standings.is_empty() {
        return PromptStanding::Free;
    }
    let of = |part: &ContentDigest| {
        standings
            .get(part)
            .copied()
            .unwrap_or(PartStanding::Harmless)
    };
    let mut suspects: Vec<ContentDigest> = parts.to_vec();
    suspects.retain(|part| of(part) >= PartStanding::Suspect);
    let mut held = suspects
        .iter()
        .filter(|part| of(part) == PartStanding::Held);
    let barred = suspects
        .iter()
        .find(|part| of(part) == PartStanding::Barred);
    match (barred, held.next(), held.next()) {
        (Some(part), ..) => PromptStanding::Quarantined(*part),
        (None, Some(part), Some(_)) => PromptStanding::HeldTogether(*part),
        _ if suspects.is_empty() => PromptStanding::Free,
        _ => PromptStanding::OneAtATime(suspects),
    }
}
