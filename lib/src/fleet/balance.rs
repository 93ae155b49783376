//! How many runners of a service read prompts and how many make tokens.
//!
//! The load it answers: a mix whose prompts need more reading than the prefill runners can do, while
//! decode runners, which read less than half as fast, have tokens to make for a part of their time.
//! A change of stage costs an order and takes a runner away for seconds, with what it had cached, so
//! it is made only while the demand that calls for it lasts, one way for long, and a few runners at
//! a time.

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
/// How long a runner keeps its stage at the least.
pub const DWELL: Duration = Duration::from_secs(15);
/// How long after a change one the other way is not made. A fleet that has lost runners is short of
/// both kinds by turns, and each change makes it shorter still.
pub const TURN_BACK: Duration = Duration::from_secs(10);

/// What is asked of a service, as one node sees it.
///
/// Streams count from their first event. What waits for one says nothing of how many decode runners
/// are needed: it waits longer the fewer prefill runners there are, and a fleet that answered waits
/// with more decode runners made them longer still.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    since: Option<Instant>,
    /// Prompt tokens since then.
    asked: u64,
    /// Streams under way.
    streams: u32,
    /// The memory they take, in tokens.
    held: u64,
    /// Averages: prompt tokens a second, streams, and their memory.
    rate: f64,
    mean_streams: f64,
    mean_held: f64,
}

impl Demand {
    /// Notes a request whose prompt has `fresh` tokens to be read.
    pub fn note(&mut self, fresh: u64) {
        self.asked += fresh;
    }

    /// Notes a stream that begins, with the memory it takes in tokens.
    pub fn begin(&mut self, tokens: u64) {
        self.streams += 1;
        self.held += tokens;
    }

    /// Notes the end of a stream that began with `tokens`.
    pub fn end(&mut self, tokens: u64) {
        self.streams = self.streams.saturating_sub(1);
        self.held = self.held.saturating_sub(tokens);
    }

    /// Takes stock.
    pub fn tick(&mut self, now: Instant) {
        let since = *self.since.get_or_insert(now);
        let passed = now.saturating_duration_since(since);
        if passed.is_zero() {
            return;
        }
        let seen = self.asked as f64 / passed.as_secs_f64();
        let gain = 1.0 - (-passed.as_secs_f64() / AVERAGED.as_secs_f64()).exp();
        self.rate += (seen - self.rate) * gain;
        self.mean_streams += (f64::from(self.streams) - self.mean_streams) * gain;
        self.mean_held += (self.held as f64 - self.mean_held) * gain;
        self.asked = 0;
        self.since = Some(now);
    }

    /// How many runners would be busy all the time if each of `nodes` nodes saw a like part.
    pub fn busy(&self, nodes: usize) -> f64 {
        (self.rate / READ_RATE + self.mean_streams / STREAMS) * nodes as f64
    }

    /// Prompt tokens a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }
}

/// The runners of a service by stage. Those that leave or fail are not among them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Division {
    /// Prefill runners.
    pub prefill: usize,
    /// Decode runners.
    pub decode: usize,
    /// Runners on their way to become prefill runners.
    pub to_prefill: usize,
    /// Runners on their way to become decode runners.
    pub to_decode: usize,
}

/// What to change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Change {
    /// The stage that runners are to take.
    pub to: Stage,
    /// How many.
    pub count: usize,
    /// Whether streams cannot go on without it.
    pub urgent: bool,
}

/// Decides on a change. `nodes` is how many nodes see a like part of the demand, `memory` a runner's
/// memory in tokens.
pub fn decide(division: Division, demand: &Demand, nodes: usize, memory: u64) -> Option<Change> {
    let away = division.to_prefill + division.to_decode;
    let all = division.prefill + division.decode + away;
    if all <= FEWEST_DECODE || demand.rate <= 0.0 {
        return None;
    }
    let may_be_away = ((all as f64 * AWAY.0) as usize).max(AWAY.1);
    let free = may_be_away.saturating_sub(away);
    let nodes = nodes as f64;
    let by_streams = demand.mean_streams * nodes / STREAMS;
    let by_memory = demand.mean_held * nodes / (memory as f64 * MEMORY_PART).max(1.0);
    let carrying = (by_streams.max(by_memory).ceil() as usize).max(FEWEST_DECODE);
    let decode = division.decode + division.to_decode;
    if carrying > decode && division.prefill > 1 {
        // Without decode runners nothing is served, whatever was changed last.
        let urgent = decode < FEWEST_DECODE;
        let missing = if urgent { FEWEST_DECODE - decode } else { 1 };
        let count = missing.min(division.prefill - 1);
        return Some(Change { to: Stage::Decode, count, urgent });
    }
    let floor = (all as f64 * LEAST_DECODE).ceil() as usize;
    let needed = (demand.rate * nodes / READ_RATE).ceil() as usize;
    let wanted = needed.min(all.saturating_sub(carrying.max(floor)));
    let spare = division.decode.saturating_sub(carrying.max(floor));
    let have = division.prefill + division.to_prefill;
    let count = wanted.saturating_sub(have).min(free).min(spare);
    (count > 0).then_some(Change { to: Stage::Prefill, count, urgent: false })
}
