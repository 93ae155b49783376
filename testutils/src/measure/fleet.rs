//! A model of engines for simulations: an engine processes prompts one after the other at its prefill
//! rate and then generates output in one of its slots. The timing of a request is computed when it is
//! sent, so the model needs no events.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use sardinepick_lib::config::object::Role;
use sardinepick_lib::runner::{Prefix, Report};
use sardinepick_lib::unit::{TokenRate, Tokens};
use smallvec::SmallVec;

/// The number of prompt prefixes that an engine caches.
const CACHE_SIZE: usize = 24;

/// The speed of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// Prompt tokens per second.
    pub prefill: u32,
    /// Output tokens per second of one request.
    pub decode: u32,
    /// The number of requests that can generate output concurrently.
    pub slots: u32,
}

/// A request to an engine.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Prompt tokens.
    pub prompt: u32,
    /// Prompt tokens that a cached prefix saves.
    pub shared: u32,
    /// Output tokens.
    pub output: u32,
    /// The prefix of the prompt.
    pub prefix: Prefix,
}

/// The timing of a request.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// The time of the first token.
    pub first: Instant,
    /// The time of the last token.
    pub last: Instant,
}

/// A simulated engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// The speed.
    pub speed: Speed,
    prefill_busy_until: Instant,
    slots: Vec<Instant>,
    timings: SmallVec<[Timing; 32]>,
    cached_prefixes: VecDeque<Prefix>,
    /// Prompt tokens saved by the cache.
    pub saved_tokens: u64,
    /// Prompt tokens received.
    pub prompt_tokens: u64,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(speed: Speed, now: Instant) -> Self {
        Self {
            speed,
            prefill_busy_until: now,
            slots: vec![now; speed.slots as usize],
            timings: SmallVec::new(),
            cached_prefixes: VecDeque::new(),
            saved_tokens: 0,
            prompt_tokens: 0,
        }
    }

    /// Sends a request at `now` and returns its timing.
    pub fn send(&mut self, now: Instant, request: &Request) -> Timing {
        let hit = self.use_prefix(request.prefix);
        let saved_tokens = if hit { request.shared } else { 0 };
        self.prompt_tokens += u64::from(request.prompt);
        self.saved_tokens += u64::from(saved_tokens);
        let prompt = token_time(request.prompt - saved_tokens, self.speed.prefill);
        let ready = self.prefill_busy_until.max(now) + prompt;
        self.prefill_busy_until = ready;
        let output = token_time(request.output, self.speed.decode);
        let slot = self.slots.iter_mut().min().expect("an engine has slots");
        let first = ready.max(*slot);
        let last = first + output;
        *slot = last;
        let timing = Timing { first, last };
        self.timings.push(timing);
        timing
    }

    fn use_prefix(&mut self, prefix: Prefix) -> bool {
        let hit = self.cached_prefixes.iter().position(|p| *p == prefix);
        if let Some(at) = hit {
            self.cached_prefixes.remove(at);
        }
        self.cached_prefixes.push_back(prefix);
        if self.cached_prefixes.len() > CACHE_SIZE {
            self.cached_prefixes.pop_front();
        }
        hit.is_some()
    }

    /// The engine's load report at `now`.
    pub fn report(&mut self, now: Instant) -> Report {
        self.timings.retain(|c| c.last > now);
        let started = self.timings.iter().filter(|c| c.first <= now).count();
        let backlog = self.prefill_busy_until.saturating_duration_since(now).as_secs_f64();
        let tokens = backlog * f64::from(self.speed.prefill);
        Report {
            running: started as u32,
            waiting: (self.timings.len() - started) as u32,
            backlog: Tokens(tokens as u32),
            prefill_rate: TokenRate(self.speed.prefill),
            decode_rate: TokenRate(self.speed.decode),
            role: Role::Mixed,
            leaving: false,
        }
    }
}

/// The time for `tokens` at `rate` tokens per second.
pub fn token_time(tokens: u32, rate: u32) -> Duration {
    Duration::from_secs_f64(f64::from(tokens) / f64::from(rate))
}
