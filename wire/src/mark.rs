//! Decoding of eras, marks and points of the store's history.

use sardinepick_lib::fleet::register_version::RegisterVersion;
use sardinepick_lib::history::{Era, MAX_ERA, Point};

use crate::error::WireError;

/// Decodes an era. Nodes of earlier versions send none and are assumed to be in the era `present`.
///
/// # Errors
/// The era is above [`MAX_ERA`].
pub fn decode_era(era: Option<u32>, present: Era) -> Result<Era, WireError> {
    let era = era.map_or(present, Era);
    if era > MAX_ERA { Err(WireError::Value("era")) } else { Ok(era) }
}

/// Decodes a mark from its order and era.
///
/// # Errors
/// The era is above [`MAX_ERA`].
pub fn decode_mark(
    order: u64,
    era: Option<u32>,
    present: Era,
) -> Result<RegisterVersion, WireError> {
    Ok(RegisterVersion { era: decode_era(era, present)?, order })
}

/// Decodes a point from its revision and era.
///
/// # Errors
/// The era is above [`MAX_ERA`].
pub fn decode_point(revision: u64, era: Option<u32>, present: Era) -> Result<Point, WireError> {
    Ok(Point::new(decode_era(era, present)?, revision))
}
