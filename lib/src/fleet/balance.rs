//! Balances the stages of a service: how many runners prefill and how many decode.
//!
//! The case it handles is a mix of requests that needs more prefill than the prefill runners can
//! do, while decode runners, which prefill at less than half the speed, have tokens to generate
//! only part of the time. A change of stage costs an order and takes a runner out of service for
//! seconds, and its cache is lost. So changes are made only for lasting demand, few runners at a
//! time, and are not reversed soon.

use std::time::{Duration, Instant};

use super::engine::Stage;

/// The prefill capacity of a runner under load, in prompt tokens per second, where none is learned
/// (the rate in the reference specification including step times, at the speed of the slower
/// runners, with the idle gaps that keep waits short).
const PREFILL_RATE: f64 = 50_000.0;
/// The number of concurrent streams that one decode runner serves with pauses between events well
/// below the limits of the routes: with 48 streams a step takes about 8 ms.
const STREAMS_PER_RUNNER: f64 = 48.0;

/// What a runner can do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// The prefill rate of a prefill runner, in prompt tokens per second.
    pub prefill_rate: f64,
    /// The fraction of the time for which a prefill runner may be busy without its prompts waiting
    /// too long.
    pub utilisation: f64,
    /// The number of concurrent streams that one decode runner serves.
    pub streams: f64,
}

impl Default for Capacity {
    fn default() -> Self {
        Self { prefill_rate: PREFILL_RATE, utilisation: 1.0, streams: STREAMS_PER_RUNNER }
    }
}

/// The fraction of a decode runner's memory that streams may take on average.
const MEMORY_FRACTION: f64 = 0.6;
/// The minimum fraction of decode runners whatever the demand, so that others can continue the
/// streams of one that is lost.
const MIN_DECODE_FRACTION: f64 = 0.25;
/// The minimum number of decode runners.
const MIN_DECODE: usize = 2;
/// The maximum fraction of the runners that may change stage at the same time, and the number that
/// may do so in any case.
const MAX_SWITCHING: (f64, usize) = (0.2, 2);
/// The averaging period of the demand. The mix swings within three seconds (reference
/// specification), and a change takes as long, so it must not follow every swing.
const AVERAGING_PERIOD: Duration = Duration::from_secs(2);
/// The minimum time that a runner stays in a stage.
pub const DWELL: Duration = Duration::from_secs(15);
/// The time after a change in which none is made in the opposite direction. A fleet that has lost
/// runners is short of both stages in turn, and each change reduces its capacity further.
pub const REVERSAL_DELAY: Duration = Duration::from_secs(10);

/// The demand for a service, as seen by one node.
///
/// Streams count from their first event. Requests that wait for it do not show how many decode
/// runners are needed: they wait longer the fewer prefill runners there are, and adding decode
/// runners in response made the waits longer still.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    since: Option<Instant>,
    /// Prompt tokens since then, and the sum of the squares of the prompts' tokens.
    tokens: u64,
    squares: f64,
    /// Active streams.
    streams: u32,
    /// The memory that the streams take, in tokens.
    stream_memory: u64,
    /// Moving averages: prompt tokens and their squares per second, streams, and their memory.
    rate: f64,
    square_rate: f64,
    mean_streams: f64,
    mean_stream_memory: f64,
}

impl Demand {
    /// Records a request with `tokens` prompt tokens to prefill.
    pub fn note(&mut self, tokens: u64) {
        self.tokens += tokens;
        self.squares += (tokens as f64).powi(2);
    }

    /// Records the start of a stream that takes `tokens` of memory.
    pub fn begin(&mut self, tokens: u64) {
        self.streams += 1;
        self.stream_memory += tokens;
    }

    /// Records the end of a stream that started with `tokens`.
    pub fn end(&mut self, tokens: u64) {
        self.streams = self.streams.saturating_sub(1);
        self.stream_memory = self.stream_memory.saturating_sub(tokens);
    }

    /// Updates the averages.
    pub fn tick(&mut self, now: Instant) {
        let since = *self.since.get_or_insert(now);
        let passed = now.saturating_duration_since(since);
        if passed.is_zero() {
            return;
        }
        let observed = self.tokens as f64 / passed.as_secs_f64();
        let gain = 1.0 - (-passed.as_secs_f64() / AVERAGING_PERIOD.as_secs_f64()).exp();
        self.rate += (observed - self.rate) * gain;
        self.square_rate += (self.squares / passed.as_secs_f64() - self.square_rate) * gain;
        self.mean_streams += (f64::from(self.streams) - self.mean_streams) * gain;
        self.mean_stream_memory += (self.stream_memory as f64 - self.mean_stream_memory) * gain;
        self.tokens = 0;
        self.squares = 0.0;
        self.since = Some(now);
    }

    /// The number of runners that the demand would keep fully busy if each of `nodes` nodes sees
    /// the same share of it.
    pub fn busy(&self, nodes: usize, capacity: &Capacity) -> f64 {
        let prefill = self.rate / capacity.prefill_rate;
        (prefill + self.mean_streams / capacity.streams) * nodes as f64
    }

    /// The mean number of tokens that remain of the prompt in progress when another arrives at a
    /// busy runner: half of the mean size weighted by size.
    pub fn residual_tokens(&self) -> f64 {
        if self.rate > 0.0 { self.square_rate / self.rate / 2.0 } else { 0.0 }
    }

    /// Prompt tokens per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }
}

/// The number of runners of a service by stage, without those that are leaving or failing.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StageCounts {
    /// Prefill runners.
    pub prefill: usize,
    /// Decode runners.
    pub decode: usize,
    /// Runners that are changing to prefill.
    pub to_prefill: usize,
    /// Runners that are changing to decode.
    pub to_decode: usize,
}

/// A change of stage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Change {
    /// The new stage.
    pub to: Stage,
    /// The number of runners to change.
    pub count: usize,
    /// Whether streams cannot continue without the change.
    pub urgent: bool,
}

/// Decides on a change. `nodes` is the number of nodes that see the same share of the demand,
/// `memory` the memory of one runner in tokens, `capacity` what a runner can do.
pub fn decide(
    counts: StageCounts,
    demand: &Demand,
    nodes: usize,
    memory: u64,
    capacity: &Capacity,
) -> Option<Change> {
    let switching = counts.to_prefill + counts.to_decode;
    let all = counts.prefill + counts.decode + switching;
    if all <= MIN_DECODE || demand.rate <= 0.0 {
        return None;
    }
    let max_switching = ((all as f64 * MAX_SWITCHING.0) as usize).max(MAX_SWITCHING.1);
    let free = max_switching.saturating_sub(switching);
    let nodes = nodes as f64;
    let by_streams = demand.mean_streams * nodes / capacity.streams;
    let by_memory = demand.mean_stream_memory * nodes / (memory as f64 * MEMORY_FRACTION).max(1.0);
    let needed_decode = (by_streams.max(by_memory).ceil() as usize).max(MIN_DECODE);
    let decode = counts.decode + counts.to_decode;
    if needed_decode > decode && counts.prefill > 1 {
        // Without decode runners no request can be served, so the last change does not matter.
        let urgent = decode < MIN_DECODE;
        let missing = if urgent { MIN_DECODE - decode } else { 1 };
        let count = missing.min(counts.prefill - 1);
        return Some(Change { to: Stage::Decode, count, urgent });
    }
    let floor = (all as f64 * MIN_DECODE_FRACTION).ceil() as usize;
    let planned_rate = capacity.prefill_rate * capacity.utilisation;
    let needed_prefill = (demand.rate * nodes / planned_rate).ceil() as usize;
    let wanted = needed_prefill.min(all.saturating_sub(needed_decode.max(floor)));
    let spare = counts.decode.saturating_sub(needed_decode.max(floor));
    let have = counts.prefill + counts.to_prefill;
    let count = wanted.saturating_sub(have).min(free).min(spare);
    (count > 0).then_some(Change { to: Stage::Prefill, count, urgent: false })
}
