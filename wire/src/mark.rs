//! Marks and points of the store's history between nodes.

use sardinepick_lib::fleet::register_version::RegisterVersion;
use sardinepick_lib::history::{Era, MAX_ERA, Point};

use crate::error::WireError;

/// Reads an era. A node of an earlier version names none; it is taken to be in the `present` one.
///
/// # Errors
/// It is larger than any that is believed.
pub fn read_era(era: Option<u32>, present: Era) -> Result<Era, WireError> {
    let era = era.map_or(present, Era);
    if era > MAX_ERA { Err(WireError::Value("era")) } else { Ok(era) }
}

/// Reads a mark by its order and its era.
///
/// # Errors
/// Its era is not believed.
pub fn read_mark(order: u64, era: Option<u32>, present: Era) -> Result<RegisterVersion, WireError> {
    Ok(RegisterVersion { era: read_era(era, present)?, order })
}

/// Reads a point by its revision and its era.
///
/// # Errors
/// Its era is not believed.
pub fn read_point(revision: u64, era: Option<u32>, present: Era) -> Result<Point, WireError> {
    Ok(Point::new(read_era(era, present)?, revision))
}
