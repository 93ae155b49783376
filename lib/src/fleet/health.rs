//! The health of a runner, as derived from its answers alone.
//!
//! Health checks are unreliable in both directions, and cost requests; answers to real work are
//! reliable evidence. A runner that fails repeatedly gets one request at a time until one succeeds.
//! A runner that fails occasionally gets less work than others, through a penalty in placement.

use std::time::{Duration, Instant};

/// The outcome of one piece of work at a runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// An answer.
    Answered,
    /// An answer that reports a failure.
    Failed,
    /// No connection, an incomplete answer, or an answer to another request.
    Broken,
    /// Another runner answers at the address, or the runner announces that it is leaving.
    Gone,
}

/// The number of consecutive failures after which a runner is probed with one request at a time. A
/// single one can be a lost answer and two a coincidence; a runner that generally fails a seventh
/// of its requests fails three in a row once in 340.
const FAILURES_TO_PROBE: u32 = 3;
/// The pause before the first probe of a runner, and the longest one. The first is about the
/// restart time of a crashed runner; the longest keeps the lost capacity of a recovered runner
/// small.
const PROBE_PAUSE: (Duration, Duration) = (Duration::from_millis(400), Duration::from_secs(3));
/// The time that a probe may take before the next one.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// The gain of the failure rate: half of a lasting change is learned after 8 answers.
const FAILURE_RATE_GAIN: f64 = 0.083;

/// The failure history of one runner.
#[derive(Clone, Debug, Default)]
pub struct Record {
    consecutive_failures: u32,
    failure_rate: f64,
    probe_at: Option<Instant>,
    pause: Duration,
    gone: bool,
    last_seen: Option<Instant>,
}

impl Record {
    /// Records the outcome of one piece of work.
    pub fn note(&mut self, outcome: Outcome, now: Instant) {
        match outcome {
            Outcome::Answered => {
                self.consecutive_failures = 0;
                self.probe_at = None;
                self.pause = Duration::ZERO;
                self.failure_rate -= self.failure_rate * FAILURE_RATE_GAIN;
                self.last_seen = Some(now);
            }
            // A failure that the runner reports shows that it is alive: it lowers the runner's
            // share of work, and only silence or malformed answers lead to probing.
            Outcome::Failed => {
                self.failure_rate += (1.0 - self.failure_rate) * FAILURE_RATE_GAIN;
                self.last_seen = Some(now);
            }
            Outcome::Broken => {
                self.failure_rate += (1.0 - self.failure_rate) * FAILURE_RATE_GAIN;
                self.consecutive_failures += 1;
                if self.consecutive_failures >= FAILURES_TO_PROBE {
                    self.pause = (self.pause * 2).clamp(PROBE_PAUSE.0, PROBE_PAUSE.1);
                    self.probe_at = Some(now + self.pause);
                }
            }
            Outcome::Gone => self.gone = true,
        }
    }

    /// Records a sign of life, such as an event of a stream.
    pub fn note_alive(&mut self, now: Instant) {
        self.last_seen = Some(now);
    }

    /// When the runner last showed a sign of life.
    pub fn last_seen(&self) -> Option<Instant> {
        self.last_seen
    }

    /// Whether the runner may get new work.
    pub fn takes_work(&self, now: Instant) -> bool {
        !self.gone && self.probe_at.is_none_or(|at| now >= at)
    }

    /// Whether the runner has left or was replaced by another one.
    pub fn is_gone(&self) -> bool {
        self.gone
    }

    /// Records that work is sent. While a runner is probed, nothing more is sent until the outcome
    /// is known or the probe times out.
    pub fn note_sent(&mut self, now: Instant) {
        if self.probe_at.is_some() {
            self.probe_at = Some(now + PROBE_TIMEOUT);
        }
    }

    /// The rate of failures in recent work, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
