//! Sizes and rates of held bytes.

use std::fmt;
use std::iter::Sum;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;

use crate::decimal::{self, DecimalError};

/// A number of bytes.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Size(pub u64);

impl Size {
    /// No bytes.
    pub const ZERO: Size = Size(0);

    /// Megabytes of 1,048,576 bytes.
    pub fn of_megabytes(megabytes: f64) -> Self {
        Self((megabytes * 1_048_576.0) as u64)
    }

    /// A fraction of the size.
    pub fn fraction(self, fraction: f64) -> Self {
        Self((self.0 as f64 * fraction) as u64)
    }

    /// The sum with another size.
    #[must_use]
    pub fn plus(self, other: Size) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// What remains without another size, at least zero.
    #[must_use]
    pub fn less(self, other: Size) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl From<usize> for Size {
    fn from(bytes: usize) -> Self {
        Self(bytes as u64)
    }
}

impl Sum for Size {
    fn sum<I: Iterator<Item = Size>>(sizes: I) -> Self {
        sizes.fold(Size::ZERO, Size::plus)
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Size {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

/// The rate of a link, in bytes per second. Its text is in megabits per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Rate(f64);

/// Bytes per second in a megabit per second.
const MEGABIT: f64 = 125_000.0;

impl Rate {
    /// A rate in bytes per second.
    pub fn of_bytes(per_second: f64) -> Self {
        Self(per_second)
    }

    /// A rate in megabits per second.
    pub fn of_megabits(per_second: f64) -> Self {
        Self(per_second * MEGABIT)
    }

    /// Bytes per second.
    pub fn bytes(self) -> f64 {
        self.0
    }

    /// A fraction of the rate.
    pub fn fraction(self, fraction: f64) -> Self {
        Self(self.0 * fraction)
    }

    /// How long the link takes for `size`.
    pub fn time(self, size: Size) -> Duration {
        let seconds = size.0 as f64 / self.0.max(1.0);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// What the link carries in `time`.
    pub fn size(self, time: Duration) -> Size {
        Size((self.0 * time.as_secs_f64()) as u64)
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        (self.0 / MEGABIT).fmt(f)
    }
}

impl FromStr for Rate {
    type Err = DecimalError;

    fn from_str(text: &str) -> Result<Self, DecimalError> {
        decimal::read(text).map(Self::of_megabits)
    }
}
