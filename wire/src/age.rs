//! Times as ages, since the clocks of nodes differ.

use std::time::{Duration, Instant};

/// The maximum age that is sent: ten days.
const MAX_AGE: Duration = Duration::from_secs(864_000);

/// The age of `at` in milliseconds.
pub(crate) fn age_ms(at: Instant, now: Instant) -> u64 {
    duration_ms(now.saturating_duration_since(at))
}

/// An age in milliseconds.
pub(crate) fn duration_ms(age: Duration) -> u64 {
    u64::try_from(age.min(MAX_AGE).as_millis()).unwrap_or(u64::MAX)
}

/// The time that lies `age_ms` milliseconds before `now`, or `now` if the machine has not been up
/// for so long.
pub(crate) fn instant_before(now: Instant, age_ms: u64) -> Instant {
    now.checked_sub(Duration::from_millis(age_ms).min(MAX_AGE)).unwrap_or(now)
}
