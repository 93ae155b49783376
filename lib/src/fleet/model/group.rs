//! The speed of the runners of one version.

/// How much longer work takes on the runners of a group than the terms say, as a logarithm, and how
/// much evidence there is.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Group {
    mean: f64,
    seen: u32,
}

/// The smallest gain of the mean: a group has dozens of runners with several observations a second.
const GAIN: f64 = 0.01;

impl Group {
    /// The logarithm of the factor of a runner of the group that nothing is known of.
    pub(super) fn mean(self) -> f64 {
        self.mean
    }

    /// Learns the factor of one of its runners.
    pub(super) fn learn(&mut self, factor: f64) {
        self.seen = self.seen.saturating_add(1);
        let gain = (1.0 / f64::from(self.seen + 1)).max(GAIN);
        self.mean += (factor.ln() - self.mean) * gain;
    }
}
