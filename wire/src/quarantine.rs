//! What nodes tell each other of requests that are not run.
//!
//! Times go as ages, since clocks differ.

use std::time::{Duration, Instant};

use sardinepick_lib::fleet::quarantine::{Entry, Stage};
use sardinepick_lib::fleet::runner::Tag;
use sardinepick_lib::fleet::suspect::MOST_ENDS;

use crate::error::WireError;
use crate::fleet as pb;

/// The longest age that is told, in milliseconds: ten days.
const LONGEST: u64 = 864_000_000;

fn age(of: Instant, now: Instant) -> u64 {
    u64::try_from(now.saturating_duration_since(of).as_millis()).unwrap_or(u64::MAX).min(LONGEST)
}

/// When something was that is so old; now, on a machine that has not run for so long.
fn before(now: Instant, age: u64) -> Instant {
    now.checked_sub(Duration::from_millis(age.min(LONGEST))).unwrap_or(now)
}

/// Entries for the wire.
pub fn encode_entries(entries: &[Entry], now: Instant) -> Vec<pb::Quarantined> {
    let one = |entry: &Entry| pb::Quarantined {
        request: entry.request.as_bytes().to_vec(),
        serial: entry.serial,
        stage: match entry.stage {
            Stage::Proposed => pb::Stage::Proposed,
            Stage::Confirmed => pb::Stage::Confirmed,
            Stage::Withdrawn => pb::Stage::Withdrawn,
            Stage::Cleared => pb::Stage::Cleared,
        }
        .into(),
        ends: entry.ends.iter().map(|life| life.0).collect(),
        begun: entry.begun,
        first_ms: age(entry.first, now),
        since_ms: age(entry.since, now),
    };
    entries.iter().map(one).collect()
}

/// Reads entries.
///
/// # Errors
/// One says what it may not.
pub fn decode_entries(entries: &[pb::Quarantined], now: Instant) -> Result<Vec<Entry>, WireError> {
    let one = |entry: &pb::Quarantined| {
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
            ends: entry.ends.iter().take(MOST_ENDS).map(|life| Tag(*life)).collect(),
            begun: entry.begun,
            first: before(now, entry.first_ms),
            since: before(now, entry.since_ms),
        })
    };
    entries.iter().map(one).collect()
}
