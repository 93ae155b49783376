//! Marks and points of the store's history between nodes.

use sardinepick_lib::fleet::mark::Mark;
use sardinepick_lib::history::{Era, LAST_ERA, Point};

use crate::error::WireError;

/// Reads an era. A node of an earlier version names none; it is taken to be in the `present` one.
///
/// # Errors
/// It is larger than any that is believed.
pub fn decode_era(era: Option<u32>, present: Era) -> Result<Era, WireError> {
    let era = era.map_or(present, Era);
    if era > LAST_ERA { Err(WireError::Value("era")) } else { Ok(era) }
}

/// Reads a mark by its order and its era.
///
/// # Errors
/// Its era is not believed.
pub fn decode_mark(order: u64, era: Option<u32>, present: Era) -> Result<Mark, WireError> {
    Ok(Mark { era: decode_era(era, present)?, order })
}

/// Reads a point by its revision and its era.
///
/// # Errors
/// Its era is not believed.
pub fn decode_point(revision: u64, era: Option<u32>, present: Era) -> Result<Point, WireError> {
    Ok(Point::new(decode_era(era, present)?, revision))
}
