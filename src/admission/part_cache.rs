//! Shared prompt parts that a replica has cached, as far as they are known from what was sent to
//! it. Pure.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::admission::quote::RunOutline;
use crate::ids::ModelName;

/// Maximum number of cached parts; bounds the memory of the agent.
pub const MAX_CACHED_PARTS: usize = 4_096;

/// Hash of a model's name. A collision only keeps parts of an unloaded model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ModelHash(u64);

impl ModelHash {
    fn of(model: &ModelName) -> Self {
        let mut hasher = DefaultHasher::new();
        model.hash(&mut hasher);
        Self(hasher.finish())
    }
}

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    model: ModelHash,
    /// Tokens of this part alone.
    tokens: u32,
    /// Sequence number of the last use; its key in `uses`.
    last_use: u64,
}

/// Least recently used cache of shared prompt parts, bounded by tokens and by
/// [`MAX_CACHED_PARTS`].
#[derive(Debug, Default)]
pub struct PartCache {
    parts: BTreeMap<u64, CachedPart>,
    /// Chain hashes by their last use.
    uses: BTreeMap<u64, u64>,
    use_count: u64,
    tokens: u64,
    /// Maximum number of tokens; `None` until a report shows the replica's memory.
    max_tokens: Option<u64>,
}

impl PartCache {
    /// Returns the number of cached parts.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Whether no part is cached.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns the tokens of all cached parts.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the prompt tokens of a request that are not cached. A part is reused only if
    /// every part before it is cached as well.
    pub fn uncached_tokens(&self, run: &RunOutline) -> u32 {
        let parts = run.parts.iter();
        let cached = parts.take_while(|part| self.parts.contains_key(&part.chain));
        let cached_tokens = cached.last().map_or(0, |part| part.end_tokens);
        run.prompt_tokens.saturating_sub(cached_tokens)
    }

    /// Records that a request with these parts was sent to the replica.
    pub fn touch(&mut self, run: &RunOutline) {
        let model = ModelHash::of(&run.model);
        // In reverse order, so that the deepest part, which is useless without the others, is
        // evicted first.
        for (index, part) in run.parts.iter().enumerate().rev() {
            let start = match index.checked_sub(1) {
                Some(previous) => run.parts[previous].end_tokens,
                None => 0,
            };
            let tokens = part.end_tokens.saturating_sub(start);
            self.insert(part.chain, model, tokens);
        }
        self.evict();
    }

    /// Sets the number of tokens that fit into the memory that runs do not use.
    pub fn limit(&mut self, max_tokens: u64) {
        self.max_tokens = Some(max_tokens);
        self.evict();
    }

    /// Forgets the parts of models that the replica does not hold.
    pub fn retain_models(&mut self, held: &[ModelName]) {
        let lost = |part: &CachedPart| !held.iter().any(|name| ModelHash::of(name) == part.model);
        let lost: Vec<u64> = self
            .parts
            .iter()
            .filter(|(_, part)| lost(part))
            .map(|(chain, _)| *chain)
            .collect();
        for chain in lost {
            self.remove(chain);
        }
    }

    fn insert(&mut self, chain: u64, model: ModelHash, tokens: u32) {
        self.remove(chain);
        self.use_count += 1;
        let last_use = self.use_count;
        self.tokens += u64::from(tokens);
        self.uses.insert(last_use, chain);
        let part = CachedPart {
            model,
            tokens,
            last_use,
        };
        self.parts.insert(chain, part);
    }

    fn remove(&mut self, chain: u64) {
        if let Some(part) = self.parts.remove(&chain) {
            self.uses.remove(&part.last_use);
            self.tokens -= u64::from(part.tokens);
        }
    }

    fn evict(&mut self) {
        let max_tokens = self.max_tokens.unwrap_or(u64::MAX);
        while self.parts.len() > MAX_CACHED_PARTS || self.tokens > max_tokens {
            match self.uses.first_key_value().map(|(_, chain)| *chain) {
                Some(chain) => self.remove(chain),
                None => return,
            }
        }
    }
}
