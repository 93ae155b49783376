//! Outages of the platform's store, as seen by one node.
//!
//! During an outage the store hears from no runner and removes those that have been silent for
//! long. After it they return within about two seconds, so an entry that is missing then is
//! doubtful for that long; a runner whose entry disappears later has left. The first call that is
//! answered marks the end of the outage for all followers of the store: a follower whose own call
//! hangs beyond it must not extend the doubt, or a runner that has left meanwhile would get work
//! too late.

use std::time::{Duration, Instant};

/// How long after an outage a missing entry is doubtful. Entries return within about two seconds,
/// and a runner that leaves once the store has been available for three must get no work two
/// seconds later: 1.7 s after an end that was noticed 1.2 s late is still before that.
pub const DOUBT: Duration = Duration::from_millis(1_700);
/// The pause between calls after the first failure, and the longest pause; it doubles with each
/// failure.
const PAUSES: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(400));

/// Whether the store is unavailable.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outage {
    began: Option<Instant>,
    returned: Option<Instant>,
}

impl Outage {
    /// Records a failed call. Returns whether it is the first.
    pub fn note_failure(&mut self, now: Instant) -> bool {
        let first = self.began.is_none();
        self.began.get_or_insert(now);
        first
    }

    /// Records an answer. Returns the duration of the outage that it ends, if any.
    pub fn note_answer(&mut self, now: Instant) -> Option<Duration> {
        let began = self.began.take()?;
        self.returned = Some(now);
        Some(now.saturating_duration_since(began))
    }

    /// Until when an entry that is missing now is doubtful, if it is.
    pub fn doubt(&self, now: Instant) -> Option<Instant> {
        if self.began.is_some() {
            return Some(now + DOUBT);
        }
        self.returned.map(|at| at + DOUBT).filter(|until| *until > now)
    }
}

/// The pause before the next call after `failures` consecutive failures. It is randomized by
/// `draw`, from 0 to 1, as nodes that fail together must not retry together.
pub fn pause(failures: u32, draw: f64) -> Duration {
    let pause = PAUSES.0 * 2u32.saturating_pow(failures.saturating_sub(1).min(10));
    pause.min(PAUSES.1).mul_f64(0.5 + draw)
}
