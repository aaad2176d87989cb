//! Names, of models and adapters, that are requested without being served, and for how long.
//!
//! Pure code with soft state. An entry records the requests that it refused ([`RefusedNames`]) and
//! reports their names, even of a single request: a caller that comes back may be refused by another
//! entry. The leader merges the reports of all entries ([`UnservedNames`]); a new leader learns the
//! same times from the next reports.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::ModelName;

/// Maximum number of names in a report of an entry.
pub const MAX_REPORTED_NAMES: usize = 32;
/// Maximum number of names that an entry or the leader keeps. Requests for further names are
/// refused as before, but these names do not age.
const MAX_NAMES: usize = 1_024;
/// Time after the last request for a name until it is forgotten, in milliseconds.
const FORGET_MS: u64 = 20_000;
/// Time between the first and the last refused request from which a name counts as unserved, in
/// milliseconds. Until then its callers may not have come back.
const MIN_UNSERVED_MS: u64 = 1_000;

/// A model, or an adapter of it, as requests name it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServedName {
    /// The model.
    pub model: ModelName,
    /// The adapter, if the request needs one.
    pub adapter: Option<String>,
}

impl fmt::Display for ServedName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.adapter {
            Some(adapter) => write!(f, "{}/{adapter}", self.model),
            None => write!(f, "{}", self.model),
        }
    }
}

/// A name that an entry has not served, as it reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NameWait {
    /// The name.
    pub name: ServedName,
    /// Time since the first refused request, in milliseconds.
    pub unserved_ms: u64,
    /// Time since the last refused request, in milliseconds.
    pub idle_ms: u64,
}

/// Refused requests for one name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusedSpan {
    /// Time of the first request that was refused since one was served, in milliseconds.
    pub since_ms: u64,
    /// Time of the last one, in milliseconds.
    pub last_ms: u64,
}

impl RefusedSpan {
    /// Whether requests have been refused for long enough that their callers came back.
    fn is_unserved(&self) -> bool {
        self.last_ms >= self.since_ms + MIN_UNSERVED_MS
    }

    fn is_current(&self, now_ms: u64) -> bool {
        self.last_ms + FORGET_MS > now_ms
    }
}

/// Spans by name, bounded.
type SpanMap = BTreeMap<ServedName, RefusedSpan>;

/// Extends the span of a name. A name that is new is left out if there are too many.
fn extend_span(spans: &mut SpanMap, name: &ServedName, since_ms: u64, last_ms: u64) {
    let has_room = spans.len() < MAX_NAMES;
    match spans.get_mut(name) {
        Some(span) => {
            span.since_ms = span.since_ms.min(since_ms);
            span.last_ms = span.last_ms.max(last_ms);
        }
        None if has_room => {
            spans.insert(name.clone(), RefusedSpan { since_ms, last_ms });
        }
        None => {}
    }
}

/// Names whose requests an entry refused and has not served since.
#[derive(Clone, Debug, Default)]
pub struct RefusedNames {
    spans: SpanMap,
    /// When the last report was made.
    reported_ms: u64,
}

impl RefusedNames {
    /// Records that a request for a name was refused.
    pub fn record_refusal(&mut self, now_ms: u64, name: &ServedName) {
        extend_span(&mut self.spans, name, now_ms, now_ms);
    }

    /// Records that a request for a name was served.
    pub fn record_service(&mut self, name: &ServedName) {
        self.spans.remove(name);
    }

    /// Returns names without service: those refused since the last report, then the others, of each
    /// those for longest first. Forgets names that are no longer requested.
    pub fn report(&mut self, now_ms: u64) -> Vec<NameWait> {
        let reported_ms = std::mem::replace(&mut self.reported_ms, now_ms);
        self.spans.retain(|_, span| span.is_current(now_ms));
        let mut unserved: Vec<_> = self.spans.iter().collect();
        unserved.sort_by_key(|(_, span)| (span.last_ms < reported_ms, span.since_ms));
        let first = unserved.into_iter().take(MAX_REPORTED_NAMES);
        let waits = first.map(|(name, span)| NameWait {
            name: name.clone(),
            unserved_ms: now_ms.saturating_sub(span.since_ms),
            idle_ms: now_ms.saturating_sub(span.last_ms),
        });
        waits.collect()
    }
}

/// Number of names without service, and the longest time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnservedSummary {
    /// Number of names.
    pub names: u64,
    /// Longest time without service of one of them, in milliseconds.
    pub longest_ms: u64,
}

/// Names that no entry serves, as the leader knows them.
#[derive(Clone, Debug, Default)]
pub struct UnservedNames {
    spans: SpanMap,
    /// When each name was last known to be served. Reports of entries that did not serve it since
    /// do not reach further back.
    served_ms: BTreeMap<ServedName, u64>,
}

impl UnservedNames {
    /// Takes over the names that an entry reports.
    pub fn record_report(&mut self, now_ms: u64, waits: &[NameWait]) {
        for wait in waits.iter().take(MAX_REPORTED_NAMES) {
            let since_ms = now_ms.saturating_sub(wait.unserved_ms);
            let last_ms = now_ms.saturating_sub(wait.idle_ms);
            self.record_refusals(&wait.name, since_ms, last_ms);
        }
    }

    /// Records that requests for a name were refused from `since_ms` to `last_ms`.
    pub fn record_refusals(&mut self, name: &ServedName, since_ms: u64, last_ms: u64) {
        let served_ms = self.served_ms.get(name).copied().unwrap_or(0);
        if last_ms > served_ms {
            extend_span(&mut self.spans, name, since_ms.max(served_ms), last_ms);
        }
    }

    /// Records that a name is served.
    pub fn record_service(&mut self, now_ms: u64, name: &ServedName) {
        self.spans.remove(name);
        self.served_ms.insert(name.clone(), now_ms);
    }

    /// Forgets names that are no longer requested, and those that `is_known` does not accept.
    pub fn prune(&mut self, now_ms: u64, is_known: impl Fn(&ServedName) -> bool) {
        let known =
            |name: &ServedName, span: &mut RefusedSpan| span.is_current(now_ms) && is_known(name);
        self.spans.retain(known);
        let recent = |served_ms: u64| served_ms + FORGET_MS > now_ms;
        self.served_ms.retain(|_, served_ms| recent(*served_ms));
    }

    /// Returns the time since which a name has gone without service, if it has for long enough.
    pub fn since_ms(&self, name: &ServedName) -> Option<u64> {
        let span = self.spans.get(name).filter(|span| span.is_unserved());
        span.map(|span| span.since_ms)
    }

    /// Returns the names without service, those for longest first, with the time since which.
    pub fn oldest_first(&self) -> Vec<(&ServedName, u64)> {
        let unserved = self.spans.iter().filter(|(_, span)| span.is_unserved());
        let mut unserved: Vec<_> = unserved.map(|(name, span)| (name, span.since_ms)).collect();
        unserved.sort_by_key(|(_, since_ms)| *since_ms);
        unserved
    }

    /// Returns the time since which requests for each model, or for an adapter of it, have been refused.
    pub fn models_since_ms(&self) -> BTreeMap<&ModelName, u64> {
        let mut models: BTreeMap<&ModelName, u64> = BTreeMap::new();
        for (name, span) in &self.spans {
            let since_ms = models.entry(&name.model).or_insert(span.since_ms);
            *since_ms = span.since_ms.min(*since_ms);
        }
        models
    }

    /// Returns the number of names without service, and the longest time.
    pub fn summary(&self, now_ms: u64) -> UnservedSummary {
        let unserved = self.spans.values().filter(|span| span.is_unserved());
        let ages = unserved.map(|span| now_ms.saturating_sub(span.since_ms));
        UnservedSummary {
            names: ages.clone().count() as u64,
            longest_ms: ages.max().unwrap_or(0),
        }
    }
}
