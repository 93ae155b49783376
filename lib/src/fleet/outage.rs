//! Outages of the platform's store, as seen by one node.
//!
//! During an outage the store hears from no runner and removes those that have been silent for
//! long. After it they return within about two seconds, so an entry that is missing then is
//! doubtful for that long; a runner whose entry disappears later has left. The first call that is
//! answered, to any node, marks the end of the outage for all followers of the store: one whose own
//! call hangs beyond it, or that makes no calls for a while, must not extend the doubt, or a runner
//! that has left meanwhile would get work too late. A node whose calls fail while other nodes are
//! answered has lost its own path.

use std::time::{Duration, Instant};

use super::freshness::MAX_AGE;

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
    /// This node's first failed call since it was last answered.
    failing_since: Option<Instant>,
    /// Its first failed call since any node was last answered.
    began: Option<Instant>,
    /// The store's last answer to another node, as far as known.
    attested: Option<Instant>,
    returned: Option<Instant>,
}

impl Outage {
    /// Records a failed call. Returns whether it is the first since an answer.
    pub fn note_failure(&mut self, now: Instant) -> bool {
        let first = self.failing_since.is_none();
        self.failing_since.get_or_insert(now);
        self.began.get_or_insert(now);
        first
    }

    /// Records an answer. Returns for how long this node's calls had failed, if they had.
    pub fn note_answer(&mut self, now: Instant) -> Option<Duration> {
        if self.began.is_some() {
            self.end(now);
        }
        let since = self.failing_since.take()?;
        Some(now.saturating_duration_since(since))
    }

    /// Records an answer of the store to another node, at `answered`.
    pub fn note_attested(&mut self, answered: Instant) {
        if self.began.is_some_and(|began| began < answered) {
            self.end(answered);
        }
        self.attested = self.attested.max(Some(answered));
    }

    fn end(&mut self, answered: Instant) {
        self.began = None;
        if !self.is_attested(answered) {
            self.returned = Some(answered);
        }
    }

    /// Whether the store answered another node so recently that it is not away.
    fn is_attested(&self, now: Instant) -> bool {
        self.attested.is_some_and(|at| now.saturating_duration_since(at) <= MAX_AGE)
    }

    /// Until when an entry that is missing now is doubtful, if it is.
    pub fn doubt(&self, now: Instant) -> Option<Instant> {
        if self.began.is_some() && !self.is_attested(now) {
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
