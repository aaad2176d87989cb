//! What a request asks, under one short name: every attempt of the same caller at the same
//! thing has it, whatever id the attempt carries and whichever entry takes it.

use sha2::{Digest, Sha256};

use crate::ids::ContentDigest;

/// What two attempts have in common where the second repeats the first.
#[derive(Clone, Copy, Debug)]
pub struct ContentParts<'a> {
    /// The caller's account; empty where nobody has to say who it is.
    pub caller: &'a str,
    /// The host that is asked for.
    pub host: &'a str,
    /// The path with its query.
    pub target: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

/// Names a content. It is a part of a SHA-256 digest, so that nobody can give a content of
/// theirs the name of somebody else's, and the account is in it.
pub fn digest(parts: &ContentParts) -> ContentDigest {
    let mut hash = Sha256::new();
    let host = parts.host.to_ascii_lowercase();
    for part in [parts.caller, &host, parts.target] {
        // The length keeps a part's end from being taken for the next one's beginning.
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part.as_bytes());
    }
    hash.update(parts.body);
    let whole: [u8; 32] = hash.finalize().into();
    let mut short = [0; ContentDigest::LEN];
    short.copy_from_slice(&whole[..ContentDigest::LEN]);
    ContentDigest(short)
}
