//! What a scheduler hands to the node that would succeed it.

use super::super::engine::Stage;
use super::super::runner::Tag;
use super::Terms;
use super::basis::TERMS;
use crate::id::ServiceId;

/// The maximum number of runners in a state: those of one pool.
pub const MAX_RUNNERS: usize = 24;

/// What has been learned of one stage of a service in one pool.
#[derive(Clone, Debug, PartialEq)]
pub struct State {
    /// The service.
    pub service: ServiceId,
    /// The stage.
    pub stage: Stage,
    /// The terms.
    pub terms: [f32; TERMS],
    /// The logarithm of the factor of a prediction that nine of ten observations do not exceed.
    pub spread: f32,
    /// The number of recent observations.
    pub evidence: f32,
    /// The runners.
    pub runners: Vec<RunnerState>,
}

/// What has been learned of one runner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunnerState {
    /// The runner.
    pub runner: Tag,
    /// The logarithm of its factor.
    pub factor: f32,
    /// The weight of the observations of it.
    pub evidence: f32,
}

impl State {
    /// Whether all values are within their bounds, which no learned value exceeds.
    pub fn is_valid(&self) -> bool {
        let prior = Terms::prior(self.stage).0;
        let in_range = |(term, prior): (&f32, &f64)| {
            // The rounding to 32 bits may exceed a bound by its last digit.
            (0.01 * prior..=26.0 * prior).contains(&f64::from(*term))
        };
        self.terms.iter().zip(&prior).all(in_range)
            && (0.0..=2.1).contains(&self.spread)
            && (0.0..=1e4).contains(&self.evidence)
            && self.runners.len() <= MAX_RUNNERS
            && self.runners.iter().all(RunnerState::is_valid)
    }
}

impl RunnerState {
    fn is_valid(&self) -> bool {
        (-2.0..=3.0).contains(&self.factor) && (0.0..=100.0).contains(&self.evidence)
    }
}
