//! Back-off from a runner that has rejected a request with a time to retry after.

use std::time::{Duration, Instant};

use crate::decimal::{self, DecimalError};

/// The longest time that is kept to. No one answer takes a runner away for longer.
pub const LONGEST: Duration = Duration::from_secs(300);

/// Reads a time to retry after, in seconds with fractions.
///
/// # Errors
/// It is no time in seconds.
pub fn read(text: &str) -> Result<Duration, DecimalError> {
    let seconds = decimal::read(text)?;
    Ok(Duration::try_from_secs_f64(seconds).unwrap_or(LONGEST).min(LONGEST))
}

/// Until when a node sends a life of a runner nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct BackOff {
    until: Option<Instant>,
    has_malformed: bool,
}

impl BackOff {
    /// Backs off for `after`. Of two answers the later end holds. True if this node was not backing off
    /// before.
    pub fn note(&mut self, after: Duration, now: Instant) -> bool {
        let begins = self.is_over(now);
        let until = now + after.min(LONGEST);
        self.until = Some(self.until.map_or(until, |other| other.max(until)));
        begins
    }

    /// Notes a time that cannot be read. True the first time.
    pub fn note_malformed(&mut self) -> bool {
        !std::mem::replace(&mut self.has_malformed, true)
    }

    /// Whether requests may be sent again.
    pub fn is_over(&self, now: Instant) -> bool {
        self.ends_in(now).is_zero()
    }

    /// How long it is until they may.
    pub fn ends_in(&self, now: Instant) -> Duration {
        self.until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }
}
