//! Back-off from a runner that has rejected a request with a retry delay.

use std::time::{Duration, Instant};

use crate::decimal::{self, DecimalError};

/// The longest back-off. No single answer takes a runner out of use for longer.
pub const MAX_BACK_OFF: Duration = Duration::from_secs(300);

/// Parses a retry delay in seconds, with optional fractions.
///
/// # Errors
/// Fails if the text is not a number of seconds.
pub fn parse(text: &str) -> Result<Duration, DecimalError> {
    let seconds = decimal::read(text)?;
    Ok(Duration::try_from_secs_f64(seconds).unwrap_or(MAX_BACK_OFF).min(MAX_BACK_OFF))
}

/// The time until which a node sends nothing to an incarnation of a runner.
#[derive(Clone, Copy, Debug, Default)]
pub struct BackOff {
    until: Option<Instant>,
    has_malformed: bool,
}

impl BackOff {
    /// Backs off for `after`. Of overlapping back-offs the later end applies. Returns whether this
    /// node was not backing off before.
    pub fn note(&mut self, after: Duration, now: Instant) -> bool {
        let begins = self.is_over(now);
        let until = now + after.min(MAX_BACK_OFF);
        self.until = Some(self.until.map_or(until, |other| other.max(until)));
        begins
    }

    /// Records a retry delay that could not be parsed. Returns whether it is the first.
    pub fn note_malformed(&mut self) -> bool {
        !std::mem::replace(&mut self.has_malformed, true)
    }

    /// Whether requests may be sent.
    pub fn is_over(&self, now: Instant) -> bool {
        self.ends_in(now).is_zero()
    }

    /// The time until requests may be sent.
    pub fn ends_in(&self, now: Instant) -> Duration {
        self.until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }
}
