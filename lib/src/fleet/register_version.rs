//! The version of a node's copy of the runner register.

use std::fmt;

use crate::history::{Era, Point};

/// The low bits of `order`, below the store's revision: they count corrections of copies that
/// differed although they had the same version.
const LOCAL_BITS: u32 = 16;

/// The version of a node's copy of the runner register: the era of the store, then an order within
/// the era that increases with the store's revision.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RegisterVersion {
    /// The era.
    pub era: Era,
    /// The order within the era; zero if nothing is known.
    pub order: u64,
}

impl RegisterVersion {
    /// The version for a change of the store.
    pub fn of(point: Point) -> Self {
        Self { era: point.era, order: point.revision.0 << LOCAL_BITS }
    }

    /// Returns this version or, if it is unknown, the version of a store without any change, which
    /// is later.
    pub fn or_first(self) -> Self {
        Self { order: self.order.max(1), ..self }
    }

    /// The store's change that the version belongs to.
    pub fn point(self) -> Point {
        Point::new(self.era, self.order >> LOCAL_BITS)
    }

    /// The next version.
    pub fn next(self) -> Self {
        Self { order: self.order + 1, ..self }
    }

    /// Whether nothing is known.
    pub fn is_unknown(self) -> bool {
        self.order == 0
    }
}

impl fmt::Display for RegisterVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.order)
    }
}
