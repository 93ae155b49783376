//! Conversion of quarantine entries.

use std::time::Instant;

use sardinepick_lib::fleet::quarantine::{Entry, MAX_FAILED_TRIALS, Stage};
use sardinepick_lib::fleet::runner::Tag;
use sardinepick_lib::fleet::suspect::MAX_ENDS;

use crate::age::{age_ms, instant_before};
use crate::error::WireError;
use crate::fleet as pb;

/// Encodes quarantine entries.
pub fn encode_entries(entries: &[Entry], now: Instant) -> Vec<pb::Quarantined> {
    let convert = |entry: &Entry| pb::Quarantined {
        request: entry.request.as_bytes().to_vec(),
        serial: entry.serial,
        stage: match entry.stage {
            Stage::Proposed => pb::Stage::Proposed,
            Stage::Confirmed => pb::Stage::Confirmed,
            Stage::Restricted => pb::Stage::Restricted,
            Stage::Cleared => pb::Stage::Cleared,
        }
        .into(),
        ends: entry.ends.iter().map(|tag| tag.0).collect(),
        begun: entry.begun,
        events: entry.events,
        failed_trials: entry.failed_trials.iter().map(|tag| tag.0).collect(),
        trials: entry.trials,
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
        let failed = entry.failed_trials.iter().take(MAX_FAILED_TRIALS);
        Ok(Entry {
            request: request.map_err(|_| WireError::Value("request"))?,
            serial: entry.serial,
            stage: match pb::Stage::try_from(entry.stage) {
                Ok(pb::Stage::Proposed) => Stage::Proposed,
                Ok(pb::Stage::Confirmed) => Stage::Confirmed,
                Ok(pb::Stage::Restricted) => Stage::Restricted,
                Ok(pb::Stage::Cleared) => Stage::Cleared,
                Err(_) => return Err(WireError::Value("stage")),
            },
            ends: entry.ends.iter().take(MAX_ENDS).map(|tag| Tag(*tag)).collect(),
            begun: entry.begun,
            events: entry.events,
            failed_trials: failed.map(|tag| Tag(*tag)).collect(),
            trials: entry.trials,
            first: instant_before(now, entry.first_ms),
            since: instant_before(now, entry.since_ms),
        })
    };
    entries.iter().map(convert).collect()
}
