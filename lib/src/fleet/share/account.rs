//! The identity and weight of an account in a scheduler.

use crate::hash::stable_hash;

/// A client account, as a hash of its name. All keys of an account are one account. Two accounts
/// with the same hash would share one share.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Account(pub u64);

impl Account {
    /// Work without an account. It is treated as that of one more account.
    pub const NONE: Account = Account(0);

    /// The account with a name.
    pub fn of(name: &str) -> Self {
        Self(stable_hash(0, name.as_bytes()).max(1))
    }
}

/// The weight of an account's share relative to the others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weight(f64);

/// The range of a weight. A weight of zero would starve an account.
const WEIGHT_RANGE: (f64, f64) = (1e-3, 1e3);

impl Weight {
    /// Limits a weight to the accepted range; one that is not a number counts as 1.
    pub fn new(weight: f64) -> Self {
        if weight.is_nan() {
            Self::default()
        } else {
            Self(weight.clamp(WEIGHT_RANGE.0, WEIGHT_RANGE.1))
        }
    }

    /// The weight as a factor.
    pub fn factor(self) -> f64 {
        self.0
    }
}

impl Default for Weight {
    fn default() -> Self {
        Self(1.0)
    }
}
