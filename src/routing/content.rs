//! Identifies what may crash a replica by a short digest: the content of a request, or a part of its
//! prompt. All attempts of one caller at the same request share its content, whatever ID an attempt
//! has and whichever entry receives it. All requests to a service whose prompts hold a part share
//! that part, whatever else they hold.

use sha2::{Digest, Sha256};

use crate::ids::ContentDigest;

/// Parts of a request that are equal in all attempts at it.
#[derive(Clone, Copy, Debug)]
pub struct ContentParts<'a> {
    /// Account of the caller; empty where callers need not identify themselves.
    pub caller: &'a str,
    /// Requested host.
    pub host: &'a str,
    /// Path with query.
    pub target: &'a str,
    /// Complete body.
    pub body: &'a [u8],
}

/// Returns the digest of a content. It is a truncated SHA-256 over parts that include the account,
/// so that a caller cannot give a request the digest of another caller's request.
pub fn digest(parts: &ContentParts) -> ContentDigest {
    let mut hash = Sha256::new();
    let host = parts.host.to_ascii_lowercase();
    for part in [parts.caller, &host, parts.target] {
        // The length prefix keeps adjacent parts from running into each other.
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part.as_bytes());
    }
    hash.update(parts.body);
    shorten(hash)
}

/// Returns the digest of a part, by its id or text, that prompts to a service share. Accounts share it as well: a part
/// crashes replicas whoever sends it.
pub fn part_digest(service: &str, part: &str) -> ContentDigest {
    let mut hash = Sha256::new();
    // No host is this long, so that no content has the digest of a part.
    hash.update(u64::MAX.to_be_bytes());
    for text in [service, part] {
        hash.update((text.len() as u64).to_be_bytes());
        hash.update(text.as_bytes());
    }
    shorten(hash)
}

fn shorten(hash: Sha256) -> ContentDigest {
    let full: [u8; 32] = hash.finalize().into();
    let mut short = [0; ContentDigest::LEN];
    short.copy_from_slice(&full[..ContentDigest::LEN]);
    ContentDigest(short)
}
