//! A fake of engines for measuring decisions: prompts one after the other at the engine's rate,
//! then output in one of its slots. The course of a request is settled when it is sent, so no
//! events need to be kept.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use sardinepick_lib::config::object::Role;
use sardinepick_lib::runner::{Prefix, Report};
use sardinepick_lib::unit::{TokenRate, Tokens};
use smallvec::SmallVec;

/// How many prompt prefixes an engine keeps.
const CACHED: usize = 24;

/// How fast an engine is.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// Prompt tokens a second.
    pub prefill: u32,
    /// Output tokens a second of one request.
    pub decode: u32,
    /// Requests that make output at once.
    pub slots: u32,
}

/// A request as an engine sees it.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Prompt tokens.
    pub prompt: u32,
    /// The part of the prompt that a cached prefix saves.
    pub shared: u32,
    /// Output tokens.
    pub output: u32,
    /// The start of the prompt.
    pub prefix: Prefix,
}

/// The course of a request.
#[derive(Clone, Copy, Debug)]
pub struct Course {
    /// When its first token comes.
    pub first: Instant,
    /// When its last token comes.
    pub last: Instant,
}

/// An engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// How fast it is.
    pub speed: Speed,
    prompts_until: Instant,
    slots: Vec<Instant>,
    courses: SmallVec<[Course; 32]>,
    cached: VecDeque<Prefix>,
    /// Prompt tokens that the cache saved.
    pub saved: u64,
    /// Prompt tokens that came.
    pub asked: u64,
}

impl Engine {
    /// An idle engine.
    pub fn new(speed: Speed, now: Instant) -> Self {
        Self {
            speed,
            prompts_until: now,
            slots: vec![now; speed.slots as usize],
            courses: SmallVec::new(),
            cached: VecDeque::new(),
            saved: 0,
            asked: 0,
        }
    }

    /// Takes a request at `now`.
    pub fn send(&mut self, now: Instant, job: &Job) -> Course {
        let hit = self.touch(job.prefix);
        let saved = if hit { job.shared } else { 0 };
        self.asked += u64::from(job.prompt);
        self.saved += u64::from(saved);
        let prompt = seconds(job.prompt - saved, self.speed.prefill);
        let ready = self.prompts_until.max(now) + prompt;
        self.prompts_until = ready;
        let output = seconds(job.output, self.speed.decode);
        let slot = self.slots.iter_mut().min().expect("an engine has slots");
        let first = ready.max(*slot);
        let last = first + output;
        *slot = last;
        let course = Course { first, last };
        self.courses.push(course);
        course
    }

    fn touch(&mut self, prefix: Prefix) -> bool {
        let hit = self.cached.iter().position(|p| *p == prefix);
        if let Some(at) = hit {
            self.cached.remove(at);
        }
        self.cached.push_back(prefix);
        if self.cached.len() > CACHED {
            self.cached.pop_front();
        }
        hit.is_some()
    }

    /// The engine's word of its load at `now`.
    pub fn report(&mut self, now: Instant) -> Report {
        self.courses.retain(|c| c.last > now);
        let begun = self.courses.iter().filter(|c| c.first <= now).count();
        let backlog = self.prompts_until.saturating_duration_since(now).as_secs_f64();
        let tokens = backlog * f64::from(self.speed.prefill);
        Report {
            running: begun as u32,
            waiting: (self.courses.len() - begun) as u32,
            backlog: Tokens(tokens as u32),
            prefill_rate: TokenRate(self.speed.prefill),
            decode_rate: TokenRate(self.speed.decode),
            role: Role::Mixed,
            leaving: false,
        }
    }
}

/// How long `tokens` take at `rate`.
pub fn seconds(tokens: u32, rate: u32) -> Duration {
    Duration::from_secs_f64(f64::from(tokens) / f64::from(rate))
}
