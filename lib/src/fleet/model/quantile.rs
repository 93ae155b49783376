//! Quantiles of the prediction error.

/// The ninth decile of the logarithm of observed to predicted time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread(f64);

/// The quantile.
const LEVEL: f64 = 0.9;
/// The step by which the estimate rises when an observation exceeds it, relative to the level below
/// it: 100 observations change it by its usual size.
const GAIN: f64 = 0.02;
/// The estimate before anything has been observed: twice as long.
const INITIAL: f64 = 0.7;
/// The bounds of the estimate.
const RANGE: (f64, f64) = (0.05, 2.0);

impl Default for Spread {
    fn default() -> Self {
        Self(INITIAL)
    }
}

impl Spread {
    /// The estimate with this value.
    pub(super) fn of(log: f64) -> Self {
        Self(log.clamp(RANGE.0, RANGE.1))
    }

    /// The estimate.
    pub(super) fn log(self) -> f64 {
        self.0
    }

    /// The factor of the predicted time that nine of ten observations do not exceed.
    pub fn factor(self) -> f64 {
        self.0.exp()
    }

    /// Learns the logarithm of observed to predicted time.
    pub(super) fn learn(&mut self, error: f64) {
        let step = if error > self.0 { LEVEL } else { LEVEL - 1.0 };
        self.0 = (self.0 + step * GAIN).clamp(RANGE.0, RANGE.1);
    }
}
