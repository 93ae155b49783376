//! What a model engine is and how long its work takes.
//!
//! The time model is a batch engine's: each step makes one token for every running request and
//! reads one piece of a waiting prompt. The figures are those that the users' sheets give for both
//! deployments; what differs from them at a runner (its speed, its crowding, a slow spell) is
//! learned from its answers as one factor, [`Pace`].

use std::time::Duration;

use strum::{Display, EnumString, IntoStaticStr};

use super::cache::Chain;

/// What a model runner does with a prompt.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, Hash, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Stage {
    /// It reads prompts and hands their KV cache on.
    Prefill,
    /// It makes tokens; it can read prompts too, more slowly.
    Decode,
}

/// The engine of a service, as the configuration tells it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Requests at once.
    pub slots: u32,
    /// Memory, in tokens.
    pub memory: u64,
    /// The size of one token's KV cache, in bytes.
    pub token_bytes: u32,
    /// The link between runners, in bits a second.
    pub link_rate: f64,
    /// How long a KV cache that was read for another runner is kept.
    pub handle_ttl: Duration,
    /// How long a change of stage takes a runner away.
    pub switch: Duration,
}

/// The shortest step of an engine, in seconds (users' sheets: 3.41 ms).
const STEP: f64 = 0.003_41;
/// What each running request adds to a step, in seconds (fitted to pauses seen on calm days).
const STEP_PER_REQUEST: f64 = 0.000_1;
/// Prompt tokens read in a second (users' sheets: 112 a millisecond).
const PREFILL_RATE: f64 = 112_000.0;
/// The piece in which a prompt is read, in tokens (users' sheets).
const CHUNK: f64 = 1_024.0;
/// What attention over a long context adds, in seconds for a million pairs of tokens (fitted to
/// first tokens seen on calm days).
const MILLION_PAIRS: f64 = 0.000_22;
/// How much slower a decode runner reads a prompt (platform's protocol: half the speed).
const DECODE_SLOWDOWN: f64 = 2.0;
/// How much smaller its pieces are (platform's protocol: a quarter).
const DECODE_CHUNK: f64 = CHUNK / 4.0;
/// The fixed delay from the arrival of a prompt to its first token, in seconds (an idle engine's
/// answer to the shortest prompts, less the way there and back).
const START: f64 = 0.036;
/// Setting up one transfer between runners, in seconds (an idle engine's first event after a prompt
/// that was read elsewhere, less the transfer).
const TRANSFER_SETUP: f64 = 0.010;

/// How long an engine is busy with reading `fresh` tokens after `cached` ones, in seconds.
pub fn prefill_time(stage: Stage, fresh: u64, cached: u64, running: u32) -> f64 {
    let (fresh, cached) = (fresh as f64, cached as f64);
    let pairs = fresh * (cached + fresh / 2.0) / 1e6;
    let attention = pairs * MILLION_PAIRS;
    match stage {
        Stage::Prefill => fresh / PREFILL_RATE + attention + (fresh / CHUNK).ceil() * STEP,
        Stage::Decode => {
            let steps = (fresh / DECODE_CHUNK).ceil() * step_time(running);
            (fresh / PREFILL_RATE + attention) * DECODE_SLOWDOWN + steps
        }
    }
}

/// How long one step takes with `running` requests, in seconds.
pub fn step_time(running: u32) -> f64 {
    STEP + f64::from(running) * STEP_PER_REQUEST
}

/// The fixed delay before the first token of a prompt, in seconds.
pub fn start_time() -> f64 {
    START
}

impl Engine {
    /// How long the KV cache of `tokens` is on its way from runner to runner, in seconds.
    pub fn transfer_time(&self, tokens: u64, same_data_centre: bool) -> f64 {
        let bits = tokens as f64 * f64::from(self.token_bytes) * 8.0;
        let distance = if same_data_centre { 1.0 } else { 2.0 };
        TRANSFER_SETUP + bits / self.link_rate.max(1.0) * distance
    }
}

/// What a request asks of an engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Work {
    /// The parts of the prompt.
    pub chain: Chain,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// The most tokens that may be made.
    pub output: u64,
}

impl Work {
    /// The memory it takes at a runner, in tokens.
    pub fn footprint(&self) -> u64 {
        self.prompt + self.output
    }
}

/// How much slower a runner is than the model says, learned from its answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace(f64);

/// How fast the pace follows what is seen of a prompt that takes long to be read: half of a lasting
/// change after seven answers. A shorter one teaches less, by its share of [`LONG_READING`]: most of
/// its error is that of the wait before it and of the start. Where all taught as much, a runner that
/// had been held up once counted as slow and its neighbours were overrun (worth on a fleet of 20 runners
/// that lost a third of them 0.42 instead of 0.58), or, taught slowly, a slow engine's long prompts were
/// begun where no caller could wait for them.
const PACE_GAIN: f64 = 0.1;
/// The time to read a prompt, in seconds, from which an answer teaches all that one can: several times
/// the start and a usual wait.
const LONG_READING: f64 = 0.4;
/// The least and the most that is believed of a pace.
const PACE_RANGE: (f64, f64) = (0.3, 8.0);
/// The shortest predicted time from which a pace is learned, in seconds; below it noise rules.
const SHORTEST_LESSON: f64 = 0.01;

impl Default for Pace {
    fn default() -> Self {
        Self(1.0)
    }
}

impl Pace {
    /// The factor.
    pub fn factor(self) -> f64 {
        self.0
    }

    /// Learns from work that took `seen` where `predicted` was expected, of which `reading` was to be
    /// for reading its prompt, all in seconds.
    pub fn learn(&mut self, predicted: f64, reading: f64, seen: f64) {
        if predicted < SHORTEST_LESSON || seen <= 0.0 {
            return;
        }
        let ratio = (seen / predicted).clamp(0.2, 5.0);
        let gain = PACE_GAIN * (reading / LONG_READING).clamp(0.0, 1.0);
        self.0 = (self.0 * ratio.powf(gain)).clamp(PACE_RANGE.0, PACE_RANGE.1);
    }
}
