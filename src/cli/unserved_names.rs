//! Models and adapters that were requested again and again over a day without ever being served, from
//! the logs of all entries.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::cli::log_line::LogLine;

/// Number of requests from which a name is listed.
const MIN_REQUESTS: u32 = 4;
/// Time between the first and the last of them from which a name is listed, in seconds.
const MIN_SPAN_S: f64 = 8.0;
/// Maximum number of names listed, those with the most requests first.
const MAX_LISTED: usize = 40;

/// Requests for one name.
#[derive(Clone, Copy, Debug)]
struct NameRequests {
    total: u32,
    answered: u32,
    first_s: f64,
    last_s: f64,
}

impl NameRequests {
    fn is_listed(&self) -> bool {
        self.total >= MIN_REQUESTS && self.last_s - self.first_s >= MIN_SPAN_S
    }
}

/// Returns the table of names that were never served, with how many were requested as often; `None`
/// if no name was. Times count from `start_s`.
pub(super) fn unserved_names(requests: &[LogLine], start_s: f64) -> Option<String> {
    let mut names: BTreeMap<&str, NameRequests> = BTreeMap::new();
    for line in requests {
        let Some(name) = line.field("model").filter(|name| !name.is_empty()) else {
            continue;
        };
        let at_s = line.at_s - line.number("took_ms") / 1_000.0 - start_s;
        let name = names.entry(name).or_insert(NameRequests {
            total: 0,
            answered: 0,
            first_s: at_s,
            last_s: at_s,
        });
        name.total += 1;
        name.answered += u32::from(line.field("outcome") == Some("answered"));
        name.first_s = name.first_s.min(at_s);
        name.last_s = name.last_s.max(at_s);
    }
    names.retain(|_, requests| requests.is_listed());
    let requested = names.len();
    let mut never: Vec<_> = names.into_iter().collect();
    never.retain(|(_, requests)| requests.answered == 0);
    if never.is_empty() {
        return None;
    }
    never.sort_by_key(|(name, requests)| (std::cmp::Reverse(requests.total), *name));
    let count = never.len();
    let mut text = format!("never served: {count} of {requested} names requested all along\n");
    for (name, requests) in never.into_iter().take(MAX_LISTED) {
        // Writing to a string does not fail.
        let _ = writeln!(
            text,
            "{name:<24} {:>4} requests, {:.1} to {:.1} s",
            requests.total, requests.first_s, requests.last_s
        );
    }
    Some(text)
}
