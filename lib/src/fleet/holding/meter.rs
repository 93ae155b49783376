//! The rate at which bytes are released.

use std::time::{Duration, Instant};

use super::unit::{Rate, Size};

/// The length of one count. The rate is that of the last full count and the current one, so that it
/// covers between one and two seconds: longer than the pauses of a stream, and short enough for a
/// retry delay.
const PERIOD: Duration = Duration::from_secs(1);

/// Measures a rate over the last one to two seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Meter {
    began: Option<Instant>,
    current: u64,
    last: u64,
}

impl Meter {
    /// Records bytes.
    pub fn note(&mut self, size: Size, now: Instant) {
        self.roll(now);
        self.current = self.current.saturating_add(size.0);
    }

    /// The rate.
    pub fn rate(&mut self, now: Instant) -> Rate {
        self.roll(now);
        let Some(began) = self.began else { return Rate::default() };
        let time = PERIOD + now.saturating_duration_since(began);
        Rate::of_bytes((self.last + self.current) as f64 / time.as_secs_f64())
    }

    fn roll(&mut self, now: Instant) {
        let began = *self.began.get_or_insert(now);
        let age = now.saturating_duration_since(began);
        if age < PERIOD {
            return;
        }
        self.last = if age < 2 * PERIOD { self.current } else { 0 };
        self.current = 0;
        self.began = Some(if age < 2 * PERIOD { began + PERIOD } else { now });
    }
}
