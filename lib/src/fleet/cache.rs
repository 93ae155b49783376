//! An estimate of the prompt prefixes that a runner has cached, from the prompts sent to it.
//!
//! A prompt is a chain of parts. A runner keeps the parts it has prefilled until memory runs out,
//! and evicts the least recently used ones first. Each node knows what it sent itself and is
//! informed of what others sent, so all nodes reach similar estimates without querying any runner.
//! The estimate is a hint: an error costs time, never an answer.
//!
//! A part counts as cached from the moment it is sent for prefill. Requests with a long common part
//! arrive close together; one that is sent to the runner that is prefilling the part waits for it
//! there, while another runner would prefill it a second time. Only parts whose prefill is complete
//! can be fetched by other runners.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::hash::stable_hash;

/// One part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Part {
    /// A hash of this part and all parts before it.
    pub key: ChainKey,
    /// A hash of this part alone, by which runners name the parts they have cached.
    pub standalone_key: ChainKey,
    /// The number of tokens in this part.
    pub tokens: u64,
}

impl Part {
    /// A part as a runner that has it cached names it, without the parts before it.
    pub fn standalone(model: &str, id: &str, tokens: u64) -> Self {
        let standalone_key = ChainKey::standalone(model, id);
        Self { key: standalone_key, standalone_key, tokens }
    }
}

/// A hash of a chain up to and including one part.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct ChainKey(pub u64);

impl ChainKey {
    /// The hash of a part without the parts before it.
    fn standalone(model: &str, id: &str) -> Self {
        Self(stable_hash(stable_hash(1, model.as_bytes()), id.as_bytes()))
    }
}

/// The parts of a prompt in order. Few prompts have more than four.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Chain(pub SmallVec<[Part; 4]>);

impl Chain {
    /// Creates a chain from the ids and sizes of its parts, for one model.
    pub fn new<'a>(model: &str, parts: impl Iterator<Item = (&'a str, u64)>) -> Self {
        let mut key = stable_hash(0, model.as_bytes());
        let parts = parts.map(|(id, tokens)| {
            key = stable_hash(key, id.as_bytes());
            Part { key: ChainKey(key), standalone_key: ChainKey::standalone(model, id), tokens }
        });
        Self(parts.collect())
    }

    /// The key of the last part that other requests may share, by which requests with the same long
    /// prompt are placed together. The first part is not specific enough: a few first parts are
    /// shared by whole categories of requests.
    pub fn affinity_key(&self) -> ChainKey {
        let shared = self.0.iter().rev().nth(1).or(self.0.first());
        shared.map(|part| part.key).unwrap_or_default()
    }

    /// The number of tokens in the parts that other requests may share: all but the last part,
    /// which is specific to the request.
    pub fn shared(&self) -> u64 {
        let shared = self.0.len().saturating_sub(1);
        self.0[..shared].iter().map(|part| part.tokens).sum()
    }
}

/// The prefill progress of a part on a runner.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Progress {
    /// Prefill has been requested.
    Started,
    /// Prefill is complete.
    Prefilled,
}

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u64,
    used: Instant,
    progress: Progress,
}

/// How long a part counts as cached while its prefill is not known to be complete. The caller of a
/// stream waits two seconds for the first event, so a prefill that takes longer has been cancelled.
const PENDING_TTL: Duration = Duration::from_millis(2_500);

/// The assumed memory of a runner until the configuration is known, in tokens.
const DEFAULT_MEMORY: u64 = 500_000;

impl Default for Cache {
    fn default() -> Self {
        Self { memory: DEFAULT_MEMORY, parts: HashMap::new(), tokens: 0 }
    }
}

/// The parts that one runner has cached, as far as is known.
#[derive(Clone, Debug)]
pub struct Cache {
    memory: u64,
    parts: HashMap<ChainKey, CachedPart>,
    tokens: u64,
}

impl Cache {
    /// The number of tokens at the start of `chain` that need no prefill on this runner.
    pub fn cached(&self, chain: &Chain, now: Instant) -> u64 {
        self.prefix_tokens(chain, |part| {
            part.progress == Progress::Prefilled
                || now.saturating_duration_since(part.used) < PENDING_TTL
        })
    }

    /// The number of tokens at the start of `chain` that are prefilled and can be fetched by
    /// another runner.
    pub fn fetchable(&self, chain: &Chain) -> u64 {
        self.prefix_tokens(chain, |part| part.progress == Progress::Prefilled)
    }

    fn prefix_tokens(&self, chain: &Chain, counts: impl Fn(&CachedPart) -> bool) -> u64 {
        let known = |part: &&Part| {
            let cached = self.parts.get(&part.key).or_else(|| self.parts.get(&part.standalone_key));
            cached.is_some_and(|cached| cached.tokens >= part.tokens && counts(cached))
        };
        chain.0.iter().take_while(known).map(|part| part.tokens).sum()
    }

    /// Sets the memory of the runner, in tokens.
    pub fn set_memory(&mut self, memory: u64) {
        self.memory = memory;
    }

    /// Records the progress of all parts of `chain`, and evicts parts that no longer fit into
    /// memory.
    pub fn note(&mut self, chain: &Chain, progress: Progress, now: Instant) {
        for part in &chain.0 {
            self.insert(part, progress, now);
        }
        self.evict();
    }

    /// Records the progress of one part, as reported by another node.
    pub fn note_part(&mut self, part: Part, progress: Progress, now: Instant) {
        self.insert(&part, progress, now);
        self.evict();
    }

    fn insert(&mut self, part: &Part, progress: Progress, now: Instant) {
        if part.standalone_key != part.key
            && let Some(standalone) = self.parts.remove(&part.standalone_key)
        {
            self.tokens -= standalone.tokens;
        }
        let before = self.parts.get(&part.key);
        let progress = before.map_or(progress, |part| part.progress.max(progress));
        let cached = CachedPart { tokens: part.tokens, used: now, progress };
        let before = self.parts.insert(part.key, cached);
        self.tokens = self.tokens + part.tokens - before.map_or(0, |part| part.tokens);
    }

    /// Evicts the least recently used parts. Frees a tenth of the memory beyond what is needed, so
    /// that the search for them is rare.
    fn evict(&mut self) {
        let memory = self.memory;
        if self.tokens <= memory {
            return;
        }
        let mut by_use: Vec<(Instant, ChainKey)> =
            self.parts.iter().map(|(key, part)| (part.used, *key)).collect();
        by_use.sort_unstable();
        for (_, key) in by_use {
            if self.tokens <= memory - memory / 10 {
                return;
            }
            if let Some(part) = self.parts.remove(&key) {
                self.tokens -= part.tokens;
            }
        }
    }

    /// Removes all parts, for a runner that has restarted.
    pub fn clear(&mut self) {
        self.parts.clear();
        self.tokens = 0;
    }

    /// The number of cached tokens.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }
}
