//! Outages of the platform's store, as one node sees them.
//!
//! While the store is away it hears no runner, and forgets those that are silent for long. When it
//! is back, so are they, within about two seconds. So an entry that is missing at its return is
//! doubted for that long; one that goes missing later has left. The first call that is answered
//! marks the return for all that follow the store: a follower whose own call hung on after it must
//! not doubt for longer, or a runner that left meanwhile would get work after its time.

use std::time::{Duration, Instant};

/// How long after the store's return a missing entry is doubted. Entries are back within about two
/// seconds, and a runner that leaves once the store has been calm for three must get nothing two
/// seconds later: 1.7 s after a return that was noticed 1.2 s late is still before that.
pub const DOUBT: Duration = Duration::from_millis(1_700);
/// The pauses after the first failure and after many, doubled from one to the next.
const PAUSES: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(400));

/// Whether the store is away.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outage {
    began: Option<Instant>,
    returned: Option<Instant>,
}

impl Outage {
    /// Notes a call without an answer; true if it is the first.
    pub fn note_failure(&mut self, now: Instant) -> bool {
        let first = self.began.is_none();
        self.began.get_or_insert(now);
        first
    }

    /// Notes an answer; gives how long the store was away if this ends an outage.
    pub fn note_answer(&mut self, now: Instant) -> Option<Duration> {
        let began = self.began.take()?;
        self.returned = Some(now);
        Some(now.saturating_duration_since(began))
    }

    /// Until when an entry that is missing now is doubted, if it is.
    pub fn doubt(&self, now: Instant) -> Option<Instant> {
        if self.began.is_some() {
            return Some(now + DOUBT);
        }
        self.returned.map(|at| at + DOUBT).filter(|until| *until > now)
    }
}

/// The pause before the next call after so many failures in a row. Nodes that fail together must
/// not come back together, so it is spread by a draw from 0 to 1.
pub fn pause(failures: u32, draw: f64) -> Duration {
    let pause = PAUSES.0 * 2u32.saturating_pow(failures.saturating_sub(1).min(10));
    pause.min(PAUSES.1).mul_f64(0.5 + draw)
}
