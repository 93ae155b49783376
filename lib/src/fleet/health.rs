//! The health of a runner, from its answers alone.
//!
//! A health check can lie in either direction, and asking costs; an answer to real work cannot lie
//! about whether it came. A runner that fails again and again gets one request at a time until one
//! succeeds; one that fails in part gets less than others, by a penalty in the choice.

use std::time::{Duration, Instant};

/// What came of one piece of work at a runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// An answer.
    Answered,
    /// An answer that says the work failed.
    Failed,
    /// No connection, no whole answer, or one that is not to the request.
    Broken,
    /// The runner is another one than was meant, or says that it leaves.
    Gone,
}

/// How many failures in a row put a runner on trial. One can be a lost answer, two chance; a runner
/// that fails a seventh of its requests by nature fails three in a row once in 340.
const FAILURES_TO_TRIAL: u32 = 3;
/// How long a runner is left alone before its first trial, and at the most. The first is about a
/// crashed runner's restart; the last keeps the loss of a returned runner short.
const TRIAL_PAUSE: (Duration, Duration) = (Duration::from_millis(400), Duration::from_secs(3));
/// How long one trial may take before the next.
const TRIAL_LIMIT: Duration = Duration::from_secs(1);
/// How fast the share of failures follows what is seen: half of a lasting change after 8 answers.
const SHARE_GAIN: f64 = 0.083;

/// The record of one runner.
#[derive(Clone, Debug, Default)]
pub struct Record {
    in_a_row: u32,
    share: f64,
    trial_at: Option<Instant>,
    pause: Duration,
    gone: bool,
    last_life: Option<Instant>,
}

impl Record {
    /// Takes in the outcome of one piece of work.
    pub fn note(&mut self, outcome: Outcome, now: Instant) {
        match outcome {
            Outcome::Answered => {
                self.in_a_row = 0;
                self.trial_at = None;
                self.pause = Duration::ZERO;
                self.share -= self.share * SHARE_GAIN;
                self.last_life = Some(now);
            }
            // An answer of failure is a sign of life: it lowers the runner's share of work, and
            // only silence or wrong bytes put it on trial.
            Outcome::Failed => {
                self.share += (1.0 - self.share) * SHARE_GAIN;
                self.last_life = Some(now);
            }
            Outcome::Broken => {
                self.share += (1.0 - self.share) * SHARE_GAIN;
                self.in_a_row += 1;
                if self.in_a_row >= FAILURES_TO_TRIAL {
                    self.pause = (self.pause * 2).clamp(TRIAL_PAUSE.0, TRIAL_PAUSE.1);
                    self.trial_at = Some(now + self.pause);
                }
            }
            Outcome::Gone => self.gone = true,
        }
    }

    /// Notes a sign of life, such as an event of a stream.
    pub fn note_life(&mut self, now: Instant) {
        self.last_life = Some(now);
    }

    /// When the runner last gave a sign of life.
    pub fn last_life(&self) -> Option<Instant> {
        self.last_life
    }

    /// Whether new work may go to the runner.
    pub fn takes_work(&self, now: Instant) -> bool {
        !self.gone && self.trial_at.is_none_or(|at| now >= at)
    }

    /// Whether the runner has left or is another one.
    pub fn is_gone(&self) -> bool {
        self.gone
    }

    /// Notes that work is sent. On trial, nothing more is sent until its outcome or the end of its
    /// time.
    pub fn note_sent(&mut self, now: Instant) {
        if self.trial_at.is_some() {
            self.trial_at = Some(now + TRIAL_LIMIT);
        }
    }

    /// The share of recent work that failed, from 0 to 1.
    pub fn failing(&self) -> f64 {
        self.share
    }
}
