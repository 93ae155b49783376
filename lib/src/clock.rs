//! A clock trait, so that tests and benchmarks can control time.

use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime};

/// A source of time.
pub trait Clock: Send + Sync {
    /// The monotonic time, for intervals.
    fn now(&self) -> Instant;

    /// The time of day, for records that people read. No decision depends on it.
    fn wall(&self) -> SystemTime;
}

/// The system clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct System;

impl Clock for System {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that only moves when told to.
#[derive(Debug)]
pub struct Manual {
    start: Instant,
    since: Mutex<Duration>,
}

impl Default for Manual {
    fn default() -> Self {
        Self { start: Instant::now(), since: Mutex::new(Duration::ZERO) }
    }
}

impl Manual {
    /// Moves the clock forward by `step`.
    pub fn advance(&self, step: Duration) {
        *self.since.lock().expect("clock lock") += step;
    }
}

impl Clock for Manual {
    fn now(&self) -> Instant {
        self.start + *self.since.lock().expect("clock lock")
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + *self.since.lock().expect("clock lock")
    }
}
