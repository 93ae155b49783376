//! Model engines and the time their work takes.
//!
//! The model is that of an engine with continuous batching: each step generates one token for every
//! running request and prefills one chunk of a waiting prompt. The constants are those of the
//! reference specifications of both deployments. The deviation of a runner from them (its hardware,
//! contention, temporary slowness) is learned from its answers as a single factor, [`Pace`].

use std::time::Duration;

use strum::{Display, EnumString, IntoStaticStr};

use super::cache::Chain;

/// The stage of inference that a model runner serves.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, Hash, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Stage {
    /// It prefills prompts and hands their KV cache over.
    Prefill,
    /// It generates tokens; it can also prefill, more slowly.
    Decode,
}

/// The engine of a service, as configured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// The batch size: the maximum number of concurrent requests.
    pub slots: u32,
    /// Memory, in tokens.
    pub memory: u64,
    /// The size of the KV cache of one token, in bytes.
    pub token_bytes: u32,
    /// The bandwidth of the link between runners, in bits per second.
    pub link_rate: f64,
    /// How long a KV cache that was prefilled for another runner is kept.
    pub handle_ttl: Duration,
    /// How long a runner is unavailable while it changes its stage.
    pub switch: Duration,
}

/// The shortest step of an engine, in seconds (reference specification: 3.41 ms).
const MIN_STEP: f64 = 0.003_41;
/// The time that each running request adds to a step, in seconds (from the pauses under light
/// load).
const STEP_PER_REQUEST: f64 = 0.000_1;
/// Prefill rate, in tokens per second (reference specification: 112 per millisecond).
const PREFILL_RATE: f64 = 112_000.0;
/// The size of a prefill chunk, in tokens (reference specification).
const CHUNK: f64 = 1_024.0;
/// The time that attention over a long context adds, in seconds per million token pairs (from
/// the times to first token under light load).
const ATTENTION_PER_MILLION_PAIRS: f64 = 0.000_22;
/// How much slower a decode runner prefills (platform protocol: half the speed).
const DECODE_SLOWDOWN: f64 = 2.0;
/// The size of a prefill chunk on a decode runner, in tokens (platform protocol: a quarter).
const DECODE_CHUNK: f64 = CHUNK / 4.0;
/// The fixed latency from the arrival of a prompt to its first token, in seconds (the response time
/// of an idle engine to the shortest prompts, less the round trip).
const STARTUP_LATENCY: f64 = 0.036;
/// The time to set up a transfer between runners, in seconds (the time to the first event of an
/// idle engine after a prompt prefilled elsewhere, less the transfer).
const TRANSFER_SETUP: f64 = 0.010;

/// How long an engine takes to prefill `uncached` tokens after `cached` ones, in seconds.
pub fn prefill_time(stage: Stage, uncached: u64, cached: u64, running: u32) -> f64 {
    let (uncached, cached) = (uncached as f64, cached as f64);
    let pairs = uncached * (cached + uncached / 2.0) / 1e6;
    let attention = pairs * ATTENTION_PER_MILLION_PAIRS;
    match stage {
        Stage::Prefill => {
            uncached / PREFILL_RATE + attention + (uncached / CHUNK).ceil() * MIN_STEP
        }
        Stage::Decode => {
            let steps = (uncached / DECODE_CHUNK).ceil() * step_time(running);
            (uncached / PREFILL_RATE + attention) * DECODE_SLOWDOWN + steps
        }
    }
}

/// The duration of one step with `running` requests, in seconds.
pub fn step_time(running: u32) -> f64 {
    MIN_STEP + f64::from(running) * STEP_PER_REQUEST
}

/// The fixed delay before the first token of a prompt, in seconds.
pub fn startup_latency() -> f64 {
    STARTUP_LATENCY
}

impl Engine {
    /// The time to transfer the KV cache of `tokens` between runners, in seconds.
    pub fn transfer_time(&self, tokens: u64, same_data_centre: bool) -> f64 {
        let bits = tokens as f64 * f64::from(self.token_bytes) * 8.0;
        let distance_factor = if same_data_centre { 1.0 } else { 2.0 };
        TRANSFER_SETUP + bits / self.link_rate.max(1.0) * distance_factor
    }
}

/// The engine work of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Work {
    /// The parts of the prompt.
    pub chain: Chain,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// The maximum number of tokens to generate.
    pub output: u64,
}

impl Work {
    /// The memory that the request takes at a runner, in tokens.
    pub fn footprint(&self) -> u64 {
        self.prompt + self.output
    }
}

/// The slowdown of a runner relative to the engine model, learned from its answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace(f64);

/// The gain of the pace for a prompt whose prefill is long: half of a lasting change is learned
/// after seven answers. The gain of a shorter prefill is reduced in proportion to
/// [`FULL_GAIN_PREFILL`], as most of its error stems from the wait and the startup latency. With
/// the same gain for all, a runner that stalls once would count as slow and its neighbours would be
/// overloaded; with a low gain for all, long prompts would be started on slow engines where no
/// caller can wait for them.
const PACE_GAIN: f64 = 0.1;
/// The prefill time from which an answer has the full gain, in seconds: several times the startup
/// latency and a usual wait.
const FULL_GAIN_PREFILL: f64 = 0.4;
/// The range of the pace.
const PACE_RANGE: (f64, f64) = (0.3, 8.0);
/// The shortest prediction from which the pace is learned, in seconds; shorter ones are dominated
/// by noise.
const MIN_PREDICTION: f64 = 0.01;

impl Default for Pace {
    fn default() -> Self {
        Self(1.0)
    }
}

impl Pace {
    /// The factor by which work takes longer than the model predicts.
    pub fn factor(self) -> f64 {
        self.0
    }

    /// Learns from work that took `seen` seconds where `predicted` were expected, of which
    /// `prefill` were for its prefill.
    pub fn learn(&mut self, predicted: f64, prefill: f64, seen: f64) {
        if predicted < MIN_PREDICTION || seen <= 0.0 {
            return;
        }
        let ratio = (seen / predicted).clamp(0.2, 5.0);
        let gain = PACE_GAIN * (prefill / FULL_GAIN_PREFILL).clamp(0.0, 1.0);
        self.0 = (self.0 * ratio.powf(gain)).clamp(PACE_RANGE.0, PACE_RANGE.1);
    }
}
