//! Conversion of rate limits that runners announce.

use std::time::Duration;

use sardinepick_lib::fleet::limit::{LimitReport, Rate};
use sardinepick_lib::fleet::runner::Tag;

use crate::error::WireError;
use crate::fleet as pb;

/// The maximum accepted age of an announcement, which keeps sums of ages in range.
const MAX_AGE: Duration = Duration::from_secs(86_400);

/// Encodes an announced rate limit.
pub fn encode_limit(announced: &LimitReport) -> pb::RateLimit {
    pb::RateLimit {
        runner: announced.runner.0,
        rate: announced.rate.map(Rate::per_second),
        age_ms: u64::try_from(announced.age.as_millis()).unwrap_or(u64::MAX),
    }
}

/// Decodes an announced rate limit.
///
/// # Errors
/// The rate is invalid.
pub fn decode_limit(limit: &pb::RateLimit) -> Result<LimitReport, WireError> {
    let rate = |per_second| Rate::new(per_second).ok_or(WireError::Value("rate"));
    Ok(LimitReport {
        runner: Tag(limit.runner),
        rate: limit.rate.map(rate).transpose()?,
        age: Duration::from_millis(limit.age_ms).min(MAX_AGE),
    })
}

/// Decodes several announced rate limits.
///
/// # Errors
/// A rate is invalid.
pub fn decode_limits(limits: &[pb::RateLimit]) -> Result<Vec<LimitReport>, WireError> {
    limits.iter().map(decode_limit).collect()
}
