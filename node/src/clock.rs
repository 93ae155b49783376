//! The system clock, including time spent in suspension.
//!
//! With a clock that stops during suspension, the holder of a lease whose VM was suspended and
//! resumed would consider its lease still valid and send orders alongside its successor.

use std::time::{Duration, Instant, SystemTime};

use rustix::time::{ClockId, clock_gettime};
use sardinepick_lib::clock::Clock;

/// A monotonic clock that includes time in suspension.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    base: Instant,
    start: Duration,
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or_default())
}

impl Default for BootClock {
    fn default() -> Self {
        Self { base: Instant::now(), start: since_boot() }
    }
}

impl Clock for BootClock {
    fn now(&self) -> Instant {
        self.base + since_boot().saturating_sub(self.start)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}
