//! How new a node's knowledge of the register of runners is.

use std::fmt;

use crate::history::{Era, Point};

/// The bits of an order below the store's revision: room for what a node concludes by itself, such
/// as that an entry did not come back after an outage.
const OWN_BITS: u32 = 16;

/// How new a node's knowledge of the register is: by the era of the store, then by an order within it
/// that goes up with the store's revisions.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Mark {
    /// The era.
    pub era: Era,
    /// The order within the era; nought where nothing is known.
    pub order: u64,
}

impl Mark {
    /// The mark of a change in the store.
    pub fn of(point: Point) -> Self {
        Self { era: point.era, order: point.revision.0 << OWN_BITS }
    }

    /// The mark of a store in which nothing has changed: it is more than nothing known.
    pub fn at_least_first(self) -> Self {
        Self { order: self.order.max(1), ..self }
    }

    /// The store's change that the mark belongs to.
    pub fn point(self) -> Point {
        Point::new(self.era, self.order >> OWN_BITS)
    }

    /// The mark that follows this one.
    pub fn next(self) -> Self {
        Self { order: self.order + 1, ..self }
    }

    /// Whether it says that nothing is known.
    pub fn is_nothing(self) -> bool {
        self.order == 0
    }
}

impl fmt::Display for Mark {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.order)
    }
}
