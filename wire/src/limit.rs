//! What runners announce of themselves, on the wire.

use std::time::Duration;

use sardinepick_lib::fleet::limit::{Announced, Rate};
use sardinepick_lib::fleet::runner::Tag;

use crate::error::WireError;
use crate::fleet as pb;

/// The longest time since an announcement that is believed; sums of such times stay in range.
const LONGEST_AGE: Duration = Duration::from_secs(86_400);

/// What was announced, for the wire.
pub fn encode_limit(announced: &Announced) -> pb::RateLimit {
    pb::RateLimit {
        runner: announced.runner.0,
        rate: announced.rate.map(Rate::per_second),
        age_ms: u64::try_from(announced.age.as_millis()).unwrap_or(u64::MAX),
    }
}

/// Reads what was announced.
///
/// # Errors
/// Its rate is none.
pub fn decode_limit(limit: &pb::RateLimit) -> Result<Announced, WireError> {
    let rate = |per_second| Rate::new(per_second).ok_or(WireError::Value("rate"));
    Ok(Announced {
        runner: Tag(limit.runner),
        rate: limit.rate.map(rate).transpose()?,
        age: Duration::from_millis(limit.age_ms).min(LONGEST_AGE),
    })
}

/// Reads several.
///
/// # Errors
/// A rate is none.
pub fn decode_limits(limits: &[pb::RateLimit]) -> Result<Vec<Announced>, WireError> {
    limits.iter().map(decode_limit).collect()
}
