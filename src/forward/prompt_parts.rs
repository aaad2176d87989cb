//! Shared parts at the start of prompts: parsing, and which of them were sent to a replica.
//!
//! Pure. A replica reuses cached tokens only if everything before them is the same, for the same
//! model and adapter. A part is therefore identified by a hash over all of these.

use std::collections::BTreeMap;

use sha2::{Digest, Sha256};

pub use crate::admission::quote::{MAX_PROMPT_PARTS, PromptPart};
use crate::forward::need::Need;
use crate::ids::ContentDigest;
use crate::routing::content;

/// Maximum number of shared parts of one prompt that are told apart when a replica crashes.
const MAX_PART_DIGESTS: usize = 16;
/// Prompts remembered for each replica.
const MAX_PROMPTS: usize = 256;

/// Parses the header that lists the parts of a prompt, `ID:TOKENS,ID:TOKENS,...` with the id in
/// hex, and returns the shared parts. The last part belongs to the request alone. A malformed
/// header has no shared parts.
pub fn parse(model: &str, adapter: Option<&str>, header: &str) -> Vec<PromptPart> {
    parse_parts(model, adapter, header).unwrap_or_default()
}

fn parse_parts(model: &str, adapter: Option<&str>, header: &str) -> Option<Vec<PromptPart>> {
    let (shared, own) = header.rsplit_once(',')?;
    parse_part(own)?;
    let mut hash = Sha256::new();
    push_text(&mut hash, model);
    // A model without an adapter is another one than a model with an adapter of an empty name.
    hash.update([u8::from(adapter.is_some())]);
    push_text(&mut hash, adapter.unwrap_or_default());
    let mut end_tokens = 0_u32;
    let mut parts = Vec::new();
    for text in shared.split(',') {
        let (id, tokens) = parse_part(text)?;
        end_tokens = end_tokens.checked_add(tokens)?;
        if parts.len() < MAX_PROMPT_PARTS {
            push_text(&mut hash, &id.to_ascii_lowercase());
            let chain = short_digest(&hash);
            parts.push(PromptPart { chain, end_tokens });
        }
    }
    Some(parts)
}

/// Returns the digests of the shared parts of a prompt to a service, each of which may crash a
/// replica whatever surrounds it. A malformed header has none.
pub fn digests(service: &str, header: &str) -> Vec<ContentDigest> {
    let shared = header.rsplit_once(',').map_or("", |(shared, _)| shared);
    let parts = shared.split(',').map(parse_part);
    let ids: Option<Vec<&str>> = parts.map(|part| part.map(|(id, _)| id)).collect();
    let ids = ids.unwrap_or_default().into_iter().take(MAX_PART_DIGESTS);
    ids.map(|id| content::part_digest(service, &id.to_ascii_lowercase()))
        .collect()
}

fn parse_part(text: &str) -> Option<(&str, u32)> {
    let (id, tokens) = text.trim().split_once(':')?;
    let is_hex = !id.is_empty() && id.bytes().all(|byte| byte.is_ascii_hexdigit());
    // A number may begin with a sign for the standard parser.
    let is_number = tokens.bytes().all(|byte| byte.is_ascii_digit());
    match is_hex && is_number {
        true => Some((id, tokens.parse().ok()?)),
        false => None,
    }
}

/// Adds a text with its length, which keeps adjacent texts from running into each other.
fn push_text(hash: &mut Sha256, text: &str) {
    hash.update((text.len() as u64).to_be_bytes());
    hash.update(text.as_bytes());
}

/// Returns the first 64 bits of the digest so far. They are the same in every process and build.
fn short_digest(hash: &Sha256) -> u64 {
    let full: [u8; 32] = hash.clone().finalize().into();
    let (first, _) = full.split_at(8);
    first
        .iter()
        .fold(0, |value, byte| value << 8 | u64::from(*byte))
}

/// Returns the number of shared tokens at the start of a request's prompt.
pub fn shared_tokens(need: &Need) -> u32 {
    need.parts.last().map_or(0, |part| part.end_tokens)
}

/// The prompts that were last sent to a replica, and their shared parts.
#[derive(Clone, Debug, Default)]
pub struct PromptMemory {
    /// By the hash of the deepest part.
    prompts: BTreeMap<u64, KnownPrompt>,
    /// Hash of the deepest part, by the time of the last use.
    by_use: BTreeMap<u64, u64>,
    parts: BTreeMap<u64, KnownPart>,
    uses: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct KnownPart {
    /// In how many of the prompts it is.
    prompts: u32,
    sent_ms: u64,
}

#[derive(Clone, Debug)]
struct KnownPrompt {
    last_use: u64,
    parts: Vec<u64>,
}

impl PromptMemory {
    /// Records that a prompt with these shared parts was sent.
    pub fn record(&mut self, now_ms: u64, parts: &[PromptPart]) {
        let Some(deepest) = parts.last().map(|part| part.chain) else {
            return;
        };
        self.uses += 1;
        match self.prompts.get_mut(&deepest) {
            Some(known) => {
                self.by_use.remove(&known.last_use);
                known.last_use = self.uses;
            }
            None => {
                let chains: Vec<u64> = parts.iter().map(|part| part.chain).collect();
                for chain in &chains {
                    self.parts.entry(*chain).or_default().prompts += 1;
                }
                let known = KnownPrompt {
                    last_use: self.uses,
                    parts: chains,
                };
                self.prompts.insert(deepest, known);
            }
        }
        self.by_use.insert(self.uses, deepest);
        for part in parts {
            if let Some(known) = self.parts.get_mut(&part.chain) {
                known.sent_ms = now_ms;
            }
        }
        if self.by_use.len() > MAX_PROMPTS {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let oldest = self.by_use.pop_first();
        let oldest = oldest.and_then(|(_, deepest)| self.prompts.remove(&deepest));
        for chain in oldest.into_iter().flat_map(|known| known.parts) {
            if let Some(known) = self.parts.get_mut(&chain) {
                known.prompts -= 1;
                if known.prompts == 0 {
                    self.parts.remove(&chain);
                }
            }
        }
    }

    /// Whether a prompt with exactly these shared parts is remembered.
    pub fn has_prompt(&self, parts: &[PromptPart]) -> bool {
        let deepest = parts.last();
        deepest.is_some_and(|part| self.prompts.contains_key(&part.chain))
    }

    /// Returns how many tokens at the start of a prompt with these shared parts were sent at or
    /// after `since_ms`.
    pub fn known_tokens(&self, parts: &[PromptPart], since_ms: u64) -> u32 {
        let is_known = |part: &&PromptPart| {
            let known = self.parts.get(&part.chain);
            known.is_some_and(|known| known.sent_ms >= since_ms)
        };
        let deepest = parts.iter().rev().find(is_known);
        deepest.map_or(0, |part| part.end_tokens)
    }
}
