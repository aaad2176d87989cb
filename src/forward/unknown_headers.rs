//! Headers in replicas' responses that this system does not know. They are counted, so that a
//! header meant for this system is not ignored without a trace.

use std::collections::BTreeSet;

use crate::forward::dialect::HeaderNames;
use crate::forward::head::Header;

/// Most names that are counted separately; further ones share [`OVERFLOW_NAME`].
const MAX_NAMES: usize = 32;
/// Longest part of a name or value that is shown, in bytes.
const MAX_SHOWN_BYTES: usize = 64;
/// Label of all names beyond [`MAX_NAMES`].
const OVERFLOW_NAME: &str = "other";

/// Standard HTTP headers of responses, meant for callers and connections.
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

/// An unknown header, as counted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownHeader {
    /// Name in lower case.
    pub name: String,
    /// Start of the value.
    pub value: String,
    /// Whether this name was not seen before.
    pub is_new: bool,
}

/// Names seen so far.
#[derive(Debug, Default)]
pub struct UnknownHeaders {
    names: BTreeSet<String>,
}

impl UnknownHeaders {
    /// Returns the unknown headers of a response.
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
