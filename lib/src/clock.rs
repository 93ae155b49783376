//! The clock as an interface, so that tests and benchmarks pass in a time of their own.

use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime};

/// Where a process takes its time from.
pub trait Clock: Send + Sync {
    /// The monotonic time, for intervals.
    fn now(&self) -> Instant;

    /// The time of day, for records that people read. No decision is taken on it.
    fn wall(&self) -> SystemTime;
}

/// The clock of the machine.
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

/// A clock that stands still until it is moved.
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
