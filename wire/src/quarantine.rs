//! Conversion of quarantine entries.
//!
//! Times are sent as ages, because the clocks of nodes differ.

use std::time::{Duration, Instant};

use sardinepick_lib::fleet::quarantine::{Entry, Stage};
use sardinepick_lib::fleet::runner::Tag;
use sardinepick_lib::fleet::suspect::MAX_ENDS;

use crate::error::WireError;
use crate::fleet as pb;

/// The maximum age that is sent: ten days.
const MAX_AGE_MS: u64 = 864_000_000;

fn age_ms(of: Instant, now: Instant) -> u64 {
    u64::try_from(now.saturating_duration_since(of).as_millis()).unwrap_or(u64::MAX).min(MAX_AGE_MS)
}

/// The time that lies `age_ms` milliseconds before `now`, or `now` if the machine has not
/// been up for so long.
fn instant_before(now: Instant, age_ms: u64) -> Instant {
    now.checked_sub(Duration::from_millis(age_ms.min(MAX_AGE_MS))).unwrap_or(now)
}

/// Encodes quarantine entries.
pub fn encode_entries(entries: &[Entry], now: Instant) -> Vec<pb::Quarantined> {
    let convert = |entry: &Entry| pb::Quarantined {
        request: entry.request.as_bytes().to_vec(),
        serial: entry.serial,
        stage: match entry.stage {
            Stage::Proposed => pb::Stage::Proposed,
            Stage::Confirmed => pb::Stage::Confirmed,
            Stage::Withdrawn => pb::Stage::Withdrawn,
            Stage::Cleared => pb::Stage::Cleared,
        }
        .into(),
        ends: entry.ends.iter().map(|tag| tag.0).collect(),
        begun: entry.begun,
        first_ms: age_ms(entry.first, now),
        since_ms: age_ms(entry.since, now),
    };
    entries.iter().map(convert).collect()
}

/// Decodes quarantine entries.
///
/// # Errors
/// An entry has an invalid fingerprint or stage.
pub fn decode_entries(entries: &[pb::Quarantined], now: Instant) -> Result<Vec<Entry>, WireError> {
    let convert = |entry: &pb::Quarantined| {
        let request = entry.request.as_slice().try_into();
        Ok(Entry {
            request: request.map_err(|_| WireError::Value("request"))?,
            serial: entry.serial,
            stage: match pb::Stage::try_from(entry.stage) {
                Ok(pb::Stage::Proposed) => Stage::Proposed,
                Ok(pb::Stage::Confirmed) => Stage::Confirmed,
                Ok(pb::Stage::Withdrawn) => Stage::Withdrawn,
                Ok(pb::Stage::Cleared) => Stage::Cleared,
                Err(_) => return Err(WireError::Value("stage")),
            },
            ends: entry.ends.iter().take(MAX_ENDS).map(|tag| Tag(*tag)).collect(),
            begun: entry.begun,
            first: instant_before(now, entry.first_ms),
            since: instant_before(now, entry.since_ms),
        })
    };
    entries.iter().map(convert).collect()
}
