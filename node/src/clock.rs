//! The machine's clock, counting the time in which the machine was suspended.
//!
//! A holder of a lease whose VM was suspended and resumed would find its lease still valid on a
//! clock that stands still meanwhile, and would give orders next to its successor.

use std::time::{Duration, Instant, SystemTime};

use rustix::time::{ClockId, clock_gettime};
use sardinepick_lib::clock::Clock;

/// A clock that counts suspension.
#[derive(Clone, Copy, Debug)]
pub struct Boot {
    base: Instant,
    start: Duration,
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or_default())
}

impl Default for Boot {
    fn default() -> Self {
        Self { base: Instant::now(), start: since_boot() }
    }
}

impl Clock for Boot {
    fn now(&self) -> Instant {
        self.base + since_boot().saturating_sub(self.start)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}
