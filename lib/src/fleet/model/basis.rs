//! What a prediction is based on.

use super::super::engine::Stage;

/// The quantities from which the time of a piece of work on a runner is predicted. They go to the
/// node that runs the work with its placement and return with the observed time, so that the
/// observation is compared with what was known when it was predicted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Basis {
    /// The stage of the runner.
    pub stage: Stage,
    /// Tokens to prefill.
    pub fresh: u64,
    /// Prompt tokens that the runner has cached, or fetches.
    pub cached: u64,
    /// Tokens of other prompts that are prefilled before.
    pub ahead: u64,
    /// Prompts that are prefilled before.
    pub prompts: u32,
    /// Running requests.
    pub running: u32,
    /// The predicted time that the terms do not cover, in seconds: the transfer of a cached prefix
    /// and the wait for a batch slot.
    pub extra: f32,
}

/// The number of terms.
pub(super) const TERMS: usize = 6;

/// The value of each term's quantity for a piece of work.
pub(super) type Features = [f64; TERMS];

impl Basis {
    /// That of no work on an idle runner.
    pub fn none(stage: Stage) -> Self {
        Self { stage, fresh: 0, cached: 0, ahead: 0, prompts: 0, running: 0, extra: 0.0 }
    }

    /// Tokens that are prefilled until the work's own prompt has been prefilled.
    fn tokens(&self) -> f64 {
        (self.fresh + self.ahead) as f64
    }

    /// Millions of token pairs that attention covers. The sizes of the prompts ahead are not known
    /// one by one; they are assumed to be equal.
    fn pairs(&self) -> f64 {
        let (fresh, cached) = (self.fresh as f64, self.cached as f64);
        let ahead = self.ahead as f64;
        let mean = ahead / f64::from(self.prompts.max(1));
        (fresh * (cached + fresh / 2.0) + ahead * mean / 2.0) / 1e6
    }

    /// The quantities in the order of [`Terms`](super::Terms).
    pub(super) fn features(&self) -> Features {
        let (thousands, running) = (self.tokens() / 1e3, f64::from(self.running));
        [1.0, thousands, self.pairs(), f64::from(self.prompts), running, running * thousands]
    }
}
