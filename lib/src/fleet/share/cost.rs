//! The cost of work, in time of one runner.

use std::iter::Sum;
use std::ops::{Add, Sub};

/// The largest cost that is accepted, in seconds. It keeps sums finite whatever is announced.
const MAX_COST: f64 = 3_600.0;

/// A cost, in seconds of one whole runner.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Cost(f64);

impl Cost {
    /// No cost.
    pub const ZERO: Cost = Cost(0.0);

    /// A cost in seconds, limited to the accepted range. One that is not a number counts as the
    /// largest.
    pub fn from_secs(seconds: f64) -> Self {
        if seconds.is_nan() { Self(MAX_COST) } else { Self(seconds.clamp(0.0, MAX_COST)) }
    }

    /// The cost in seconds.
    pub fn secs(self) -> f64 {
        self.0
    }
}

impl Add for Cost {
    type Output = Cost;

    fn add(self, other: Cost) -> Cost {
        Cost(self.0 + other.0)
    }
}

impl Sub for Cost {
    type Output = Cost;

    /// The difference, at least zero.
    fn sub(self, other: Cost) -> Cost {
        Cost((self.0 - other.0).max(0.0))
    }
}

impl Sum for Cost {
    fn sum<I: Iterator<Item = Cost>>(costs: I) -> Cost {
        costs.fold(Cost::ZERO, Add::add)
    }
}

/// What work used of runners, or is expected to use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// The time for which a runner prefilled its prompt, in seconds.
    pub prefill: f64,
    /// The time for which it held a batch slot, in seconds.
    pub decode: f64,
    /// The KV memory that it held over that time, in token seconds.
    pub memory: f64,
}

/// The capacity of one runner, as configured for its service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Runner {
    /// Batch slots.
    pub slots: u32,
    /// Memory, in tokens.
    pub memory: u64,
}

impl Usage {
    /// The cost at runners of a capacity. Prefill occupies a whole runner. A stream occupies one
    /// slot and part of the memory; the larger fraction of the two is what others cannot use.
    pub fn cost(&self, runner: Runner) -> Cost {
        let slot = self.decode / f64::from(runner.slots.max(1));
        let memory = self.memory / runner.memory.max(1) as f64;
        Cost::from_secs(self.prefill + slot.max(memory))
    }
}
