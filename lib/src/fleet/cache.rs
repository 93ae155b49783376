//! What a runner probably keeps of prompts, from what was sent to it.
//!
//! A prompt is a chain of parts. A runner that has read a chain keeps it until memory runs out, the
//! least recently used first. Every node knows what it sent itself and hears what others sent, so
//! all come to like pictures without asking any runner. The picture is a hint: a wrong one costs
//! time, never an answer.

use std::collections::HashMap;
use std::time::Instant;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::hash::place;

/// One part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Part {
    /// A hash of this part and all before it.
    pub key: ChainKey,
    /// Tokens of this part alone.
    pub tokens: u64,
}

/// A hash of a chain's start up to one part.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct ChainKey(pub u64);

/// The parts of a prompt in order. Few prompts have more than four.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Chain(pub SmallVec<[Part; 4]>);

impl Chain {
    /// A chain from the ids and sizes of its parts, for one model.
    pub fn new<'a>(model: &str, parts: impl Iterator<Item = (&'a str, u64)>) -> Self {
        let mut key = place(0, model.as_bytes());
        let parts = parts.map(|(id, tokens)| {
            key = place(key, id.as_bytes());
            Part { key: ChainKey(key), tokens }
        });
        Self(parts.collect())
    }

    /// The first part, by which chains that share their start meet.
    pub fn root(&self) -> ChainKey {
        self.0.first().map(|part| part.key).unwrap_or_default()
    }

    /// Tokens of the parts that others may share: all but the last, which is the request's own.
    pub fn shared(&self) -> u64 {
        let own = self.0.len().saturating_sub(1);
        self.0[..own].iter().map(|part| part.tokens).sum()
    }
}

#[derive(Clone, Copy, Debug)]
struct Kept {
    tokens: u64,
    used: Instant,
}

/// What is assumed of a runner's memory until the configuration tells, in tokens.
const FIRST_MEMORY: u64 = 500_000;

impl Default for Cache {
    fn default() -> Self {
        Self { memory: FIRST_MEMORY, kept: HashMap::new(), tokens: 0 }
    }
}

/// What one runner probably keeps.
#[derive(Clone, Debug)]
pub struct Cache {
    memory: u64,
    kept: HashMap<ChainKey, Kept>,
    tokens: u64,
}

impl Cache {
    /// Tokens of the start of `chain` that need not be read again.
    pub fn cached(&self, chain: &Chain) -> u64 {
        let known = chain.0.iter().take_while(|part| self.kept.contains_key(&part.key));
        known.map(|part| part.tokens).sum()
    }

    /// Sets the memory of the runner, in tokens.
    pub fn set_memory(&mut self, memory: u64) {
        self.memory = memory;
    }

    /// Notes that the runner has read `chain` or is about to, and forgets what no longer fits.
    pub fn note(&mut self, chain: &Chain, now: Instant) {
        for part in &chain.0 {
            self.insert(part.key, part.tokens, now);
        }
        self.evict();
    }

    /// Notes one part of which another node says that the runner reads it.
    pub fn note_part(&mut self, part: Part, now: Instant) {
        self.insert(part.key, part.tokens, now);
        self.evict();
    }

    fn insert(&mut self, key: ChainKey, tokens: u64, now: Instant) {
        let before = self.kept.insert(key, Kept { tokens, used: now });
        self.tokens = self.tokens + tokens - before.map_or(0, |kept| kept.tokens);
    }

    /// Forgets the least recently used parts, a tenth more than needed so that the search for them
    /// is rare.
    fn evict(&mut self) {
        let memory = self.memory;
        if self.tokens <= memory {
            return;
        }
        let mut by_use: Vec<(Instant, ChainKey)> =
            self.kept.iter().map(|(key, kept)| (kept.used, *key)).collect();
        by_use.sort_unstable();
        for (_, key) in by_use {
            if self.tokens <= memory - memory / 10 {
                return;
            }
            if let Some(kept) = self.kept.remove(&key) {
                self.tokens -= kept.tokens;
            }
        }
    }

    /// Forgets everything, as a runner does that starts anew.
    pub fn clear(&mut self) {
        self.kept.clear();
        self.tokens = 0;
    }

    /// Tokens kept in all.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }
}
