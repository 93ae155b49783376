//! How many runners of a service read prompts and how many make tokens.
//!
//! The load it answers: a mix whose prompts need more reading than the prefill runners can do, while
//! decode runners, which read less than half as fast, have tokens to make for a part of their time.
//! A change of stage costs an order and takes a runner away for seconds, with what it had cached, so
//! it is made only while the demand that calls for it lasts, one way for long, and a few runners at
//! a time.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::engine::Stage;

/// What a prefill runner reads under load, in prompt tokens a second (users' sheets' rate with its
/// steps, at the speed of the slower runners, and with the gaps that keep waits short).
const READ_RATE: f64 = 50_000.0;
/// Streams at once that one decode runner carries with pauses well within what routes allow: at 48
/// a step takes about 8 ms.
const STREAMS: f64 = 48.0;
/// The part of a decode runner's memory that streams may take on average.
const MEMORY_PART: f64 = 0.6;
/// The share of the runners that stay decode runners whatever the demand, so that the loss of one
/// leaves others to go on with its streams.
const LEAST_DECODE: f64 = 0.25;
/// The fewest of them.
const FEWEST_DECODE: usize = 2;
/// The share of the runners that may be away at once, and the number that may be in any case.
const AWAY: (f64, usize) = (0.2, 2);
/// How long demand is averaged. The mix swings within three seconds (users' sheets); a change takes
/// as long, so it must not follow every swing.
const AVERAGED: Duration = Duration::from_secs(2);
/// How long the most streams at once count.
const REMEMBERED: Duration = Duration::from_secs(15);
/// How long a runner keeps its stage at the least.
pub const DWELL: Duration = Duration::from_secs(15);

/// What is asked of a service.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    since: Option<Instant>,
    tokens: u64,
    /// Prompt tokens a second.
    rate: f64,
    streams: VecDeque<(Instant, f64, f64)>,
}

impl Demand {
    /// Notes a request whose prompt has `fresh` tokens to be read.
    pub fn note(&mut self, fresh: u64) {
        self.tokens += fresh;
    }

    /// Takes stock: `streams` run now, which hold `tokens` of memory.
    pub fn tick(&mut self, now: Instant, streams: f64, tokens: f64) {
        let since = *self.since.get_or_insert(now);
        let passed = now.saturating_duration_since(since);
        if !passed.is_zero() {
            let seen = self.tokens as f64 / passed.as_secs_f64();
            let gain = 1.0 - (-passed.as_secs_f64() / AVERAGED.as_secs_f64()).exp();
            self.rate += (seen - self.rate) * gain;
            self.tokens = 0;
            self.since = Some(now);
        }
        self.streams.push_back((now, streams, tokens));
        let old = |at: Instant| now.saturating_duration_since(at) > REMEMBERED;
        while self.streams.front().is_some_and(|(at, ..)| old(*at)) {
            self.streams.pop_front();
        }
    }

    /// Prompt tokens a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    fn most(&self, of: impl Fn(&(Instant, f64, f64)) -> f64) -> f64 {
        self.streams.iter().map(of).fold(0.0, f64::max)
    }
}

/// The runners of a service by stage. Those that leave or fail are not among them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Division {
    /// Prefill runners.
    pub prefill: usize,
    /// Decode runners.
    pub decode: usize,
    /// Runners on their way from one to the other, counted in neither.
    pub away: usize,
}

/// What to change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Change {
    /// The stage that runners are to take.
    pub to: Stage,
    /// How many.
    pub count: usize,
}

/// Decides on a change. `nodes` is how many nodes see a like part of the demand, `memory` a runner's
/// memory in tokens.
pub fn decide(division: Division, demand: &Demand, nodes: usize, memory: u64) -> Option<Change> {
    let all = division.prefill + division.decode + division.away;
    if all <= FEWEST_DECODE {
        return None;
    }
    let may_be_away = ((all as f64 * AWAY.0) as usize).max(AWAY.1);
    let free = may_be_away.saturating_sub(division.away);
    let by_streams = demand.most(|s| s.1) / STREAMS;
    let by_memory = demand.most(|s| s.2) / (memory as f64 * MEMORY_PART).max(1.0);
    let floor = (all as f64 * LEAST_DECODE).ceil() as usize;
    let decode = (by_streams.max(by_memory).ceil() as usize).max(floor).max(FEWEST_DECODE);
    if decode > division.decode + division.away && division.prefill > 1 {
        let count = (decode - division.decode - division.away).min(free).min(division.prefill - 1);
        return (count > 0).then_some(Change { to: Stage::Decode, count });
    }
    let needed = (demand.rate * nodes as f64 / READ_RATE).ceil() as usize;
    let wanted = needed.min(all.saturating_sub(decode));
    // Runners on their way are taken to become prefill runners, as nearly all changes make them.
    let have = division.prefill + division.away;
    let spare = division.decode.saturating_sub(decode);
    let count = wanted.saturating_sub(have).min(free).min(spare);
    (count > 0).then_some(Change { to: Stage::Prefill, count })
}
