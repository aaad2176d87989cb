//! Headers of replicas' answers that this system does not know: a word that is meant for it
//! would otherwise go unheard without a trace.

use std::collections::BTreeSet;

use crate::forward::dialect::HeaderNames;
use crate::forward::head::Header;

/// Names that are told apart; those beyond share [`OVERFLOW_NAME`].
const MAX_NAMES: usize = 32;
/// Longest name and value that is told, in bytes.
const MAX_SHOWN_BYTES: usize = 64;
/// The name of all headers beyond [`MAX_NAMES`].
const OVERFLOW_NAME: &str = "other";

/// Headers of HTTP itself that answers carry for callers and connections.
const HTTP_HEADERS: [&str; 27] = [
    "accept-ranges",
    "age",
    "allow",
    "cache-control",
    "connection",
    "content-disposition",
    "content-encoding",
    "content-language",
    "content-length",
    "content-location",
    "content-range",
    "content-type",
    "date",
    "etag",
    "expires",
    "keep-alive",
    "last-modified",
    "location",
    "pragma",
    "retry-after",
    "server",
    "set-cookie",
    "trailer",
    "transfer-encoding",
    "vary",
    "via",
    "www-authenticate",
];

/// An unknown header, as it is counted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownHeader {
    /// Its name in lower case.
    pub name: String,
    /// The beginning of its value.
    pub value: String,
    /// Nobody has sent one of this name before.
    pub is_new: bool,
}

/// The names that have come so far.
#[derive(Debug, Default)]
pub struct UnknownHeaders {
    names: BTreeSet<String>,
}

impl UnknownHeaders {
    /// Of an answer's headers, those that are not known.
    pub fn find(&mut self, names: &HeaderNames, headers: &[Header]) -> Vec<UnknownHeader> {
        let unknown = headers.iter().filter(|(name, _)| !is_known(names, name));
        let counted = unknown.map(|(name, value)| self.observe(name, value));
        counted.collect()
    }

    fn observe(&mut self, name: &str, value: &str) -> UnknownHeader {
        let mut name = truncated(name).to_ascii_lowercase();
        if !self.names.contains(&name) && self.names.len() >= MAX_NAMES {
            name = OVERFLOW_NAME.to_owned();
        }
        let is_new = self.names.insert(name.clone());
        UnknownHeader {
            name,
            value: truncated(value).to_owned(),
            is_new,
        }
    }
}

fn truncated(text: &str) -> &str {
    let ends = text
        .char_indices()
        .map(|(at, letter)| at + letter.len_utf8());
    let end = ends.take_while(|end| *end <= MAX_SHOWN_BYTES).last();
    &text[..end.unwrap_or(0)]
}

fn is_known(names: &HeaderNames, name: &str) -> bool {
    let own = [
        names.request_id,
        names.stamp,
        names.not_executed,
        names.load,
        names.leaving,
        names.limit,
    ];
    let mut known = own.iter().chain(&HTTP_HEADERS);
    known.any(|known| known.eq_ignore_ascii_case(name))
}
