//! When this node may have been partitioned from many runners.

use std::time::{Duration, Instant};

/// The minimum time between two suspicions. It limits how often connections are opened anew.
const PERIOD: Duration = Duration::from_secs(1);

/// The suspicion of a partition: paths without direct traffic since are unverified.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Suspicion {
    last: Option<Instant>,
    /// The next one, for evidence that came within a period of the last.
    next: Option<Instant>,
}

impl Suspicion {
    /// The time of the last suspicion.
    pub(super) fn at(&self, now: Instant) -> Option<Instant> {
        self.next.filter(|next| now >= *next).or(self.last)
    }

    /// Records evidence of a partition.
    pub(super) fn note(&mut self, now: Instant) {
        self.last = self.at(now);
        let earliest = self.last.map(|last| last + PERIOD);
        match earliest.filter(|earliest| now < *earliest) {
            None => (self.last, self.next) = (Some(now), None),
            next => self.next = next,
        }
    }
}
