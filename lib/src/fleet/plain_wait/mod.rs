//! How long a plain request waits for a slot when all usable runners have just rejected it.
//!
//! A runner with few slots rejects work for some milliseconds at a time. A request that no runner has
//! run waits about as long as it takes a slot to become free, and is tried again, as long as its answer
//! can still be in time. The time doubles with each rejection, since other requests wait for the same
//! slots.

use std::time::Duration;

/// The shortest and the longest mean time of one wait. A shorter one would cost a call without a
/// change at the runner; with a longer one several slots become free unnoticed.
const BOUNDS: (Duration, Duration) = (Duration::from_millis(2), Duration::from_millis(80));
/// The fraction of the mean by which a wait is shortened or extended at most, so that requests that
/// were rejected together do not return together.
const JITTER: f64 = 0.5;

/// The runner for which a request waits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slots {
    /// The number of slots.
    pub count: u32,
    /// The mean time of an answer, in seconds.
    pub answer_time: f64,
}

/// The waits of one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Wait {
    rounds: u32,
}

impl Wait {
    /// Returns the duration of the next wait, or `None` if the answer would not be in time
    /// afterwards. `left` is the time left, `draw` is random between 0 and 1.
    pub fn next(&mut self, left: Duration, slots: Slots, draw: f64) -> Option<Duration> {
        let until_free = slots.answer_time / f64::from(slots.count.max(1));
        let mean = until_free * f64::from(1_u32 << self.rounds.min(16));
        let mean = mean.clamp(BOUNDS.0.as_secs_f64(), BOUNDS.1.as_secs_f64());
        let wait = Duration::from_secs_f64(mean * (1.0 - JITTER + 2.0 * JITTER * draw));
        self.rounds += 1;
        let answer_time = Duration::try_from_secs_f64(slots.answer_time).unwrap_or(Duration::MAX);
        (wait.saturating_add(answer_time) <= left).then_some(wait)
    }
}
