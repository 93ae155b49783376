//! What a runner probably keeps of prompts, from what was sent to it.
//!
//! A prompt is a chain of parts. A runner that has read a chain keeps it until memory runs out, the
//! least recently used first. Every node knows what it sent itself and hears what others sent, so
//! all come to like pictures without asking any runner. The picture is a hint: a wrong one costs
//! time, never an answer.
//!
//! A part counts from the moment at which it is sent to be read. Requests that share a long part
//! come close together; one that goes where the part is being read waits for it there and reads
//! nothing twice, while another runner would read the same again. Only what has been read can be
//! fetched from elsewhere.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::hash::stable_hash;

/// One part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Part {
    /// A hash of this part and all before it.
    pub key: ChainKey,
    /// A hash of this part alone, by which runners name what they keep.
    pub alone: ChainKey,
    /// Tokens of this part alone.
    pub tokens: u64,
}

impl Part {
    /// A part as a runner names it that keeps it, without those before it.
    pub fn kept(model: &str, id: &str, tokens: u64) -> Self {
        let alone = ChainKey::alone(model, id);
        Self { key: alone, alone, tokens }
    }
}

/// A hash of a chain's start up to one part.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct ChainKey(pub u64);

impl ChainKey {
    /// The hash of a part without those before it.
    fn alone(model: &str, id: &str) -> Self {
        Self(stable_hash(stable_hash(1, model.as_bytes()), id.as_bytes()))
    }
}

/// The parts of a prompt in order. Few prompts have more than four.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Chain(pub SmallVec<[Part; 4]>);

impl Chain {
    /// A chain from the ids and sizes of its parts, for one model.
    pub fn new<'a>(model: &str, parts: impl Iterator<Item = (&'a str, u64)>) -> Self {
        let mut key = stable_hash(0, model.as_bytes());
        let parts = parts.map(|(id, tokens)| {
            key = stable_hash(key, id.as_bytes());
            Part { key: ChainKey(key), alone: ChainKey::alone(model, id), tokens }
        });
        Self(parts.collect())
    }

    /// The last part that others may share, by which requests with the same long prompt meet. The
    /// first part would not do: a few of them stand before the prompts of a whole kind of request.
    pub fn meeting(&self) -> ChainKey {
        let shared = self.0.iter().rev().nth(1).or(self.0.first());
        shared.map(|part| part.key).unwrap_or_default()
    }

    /// Tokens of the parts that others may share: all but the last, which is the request's own.
    pub fn shared(&self) -> u64 {
        let own = self.0.len().saturating_sub(1);
        self.0[..own].iter().map(|part| part.tokens).sum()
    }
}

/// How far a runner is with a part.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Progress {
    /// It has been told to read it.
    Begun,
    /// It has read it.
    Read,
}

#[derive(Clone, Copy, Debug)]
struct Kept {
    tokens: u64,
    used: Instant,
    progress: Progress,
}

/// How long a part counts that was begun and is not known to be read. A caller of a stream waits
/// two seconds for its first event, so a reading that takes longer has been broken off.
const BEGUN_LIFE: Duration = Duration::from_millis(2_500);

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
    /// Tokens of the start of `chain` that need not be read again there.
    pub fn cached(&self, chain: &Chain, now: Instant) -> u64 {
        self.start(chain, |kept| {
            kept.progress == Progress::Read || now.saturating_duration_since(kept.used) < BEGUN_LIFE
        })
    }

    /// Tokens of the start of `chain` that have been read there and can be fetched.
    pub fn fetchable(&self, chain: &Chain) -> u64 {
        self.start(chain, |kept| kept.progress == Progress::Read)
    }

    fn start(&self, chain: &Chain, counts: impl Fn(&Kept) -> bool) -> u64 {
        let known = |part: &&Part| {
            let kept = self.kept.get(&part.key).or_else(|| self.kept.get(&part.alone));
            kept.is_some_and(|kept| kept.tokens >= part.tokens && counts(kept))
        };
        chain.0.iter().take_while(known).map(|part| part.tokens).sum()
    }

    /// Sets the memory of the runner, in tokens.
    pub fn set_memory(&mut self, memory: u64) {
        self.memory = memory;
    }

    /// Notes how far the runner is with `chain`, and forgets what no longer fits.
    pub fn note(&mut self, chain: &Chain, progress: Progress, now: Instant) {
        for part in &chain.0 {
            self.insert(part, progress, now);
        }
        self.evict();
    }

    /// Notes one part of which another node says how far the runner is with it.
    pub fn note_part(&mut self, part: Part, progress: Progress, now: Instant) {
        self.insert(&part, progress, now);
        self.evict();
    }

    fn insert(&mut self, part: &Part, progress: Progress, now: Instant) {
        if part.alone != part.key
            && let Some(named) = self.kept.remove(&part.alone)
        {
            self.tokens -= named.tokens;
        }
        let before = self.kept.get(&part.key);
        let progress = before.map_or(progress, |kept| kept.progress.max(progress));
        let kept = Kept { tokens: part.tokens, used: now, progress };
        let before = self.kept.insert(part.key, kept);
        self.tokens = self.tokens + part.tokens - before.map_or(0, |kept| kept.tokens);
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
