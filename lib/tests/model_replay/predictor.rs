//! The model, and the alternatives that it is compared with.

use std::collections::HashMap;

use sardinepick_lib::fleet::engine::{self, Pace, Stage};
use sardinepick_lib::fleet::model::{Basis, Deviation, Model};
use sardinepick_lib::fleet::version::Version;

/// Predicts the time to the first event, and learns from it.
pub trait Predictor {
    fn predict(&self, runner: usize, basis: &Basis) -> f64;
    fn learn(&mut self, runner: usize, basis: &Basis, seen: f64);
    /// Forgets what is known of one runner, which has restarted.
    fn restart(&mut self, runner: usize);
}

/// The model.
#[derive(Clone)]
pub struct Learned {
    pub model: Model,
    pub deviations: Vec<Deviation>,
    pub version: Version,
}

impl Learned {
    pub fn new(stage: Stage, runners: usize) -> Self {
        Self {
            model: Model::new(stage),
            deviations: vec![Deviation::default(); runners],
            version: Version::default(),
        }
    }
}

impl Predictor for Learned {
    fn predict(&self, runner: usize, basis: &Basis) -> f64 {
        self.model.rates(&self.version).forecast(&self.deviations[runner], basis).first_event
    }

    fn learn(&mut self, runner: usize, basis: &Basis, seen: f64) {
        self.model.learn(&self.version, &mut self.deviations[runner], basis, seen);
    }

    fn restart(&mut self, runner: usize) {
        self.deviations[runner] = Deviation::default();
    }
}

/// The time by the constants of the engine.
fn nominal(basis: &Basis) -> f64 {
    let Basis { stage, fresh, cached, ahead, prompts, running, .. } = *basis;
    let rate = 8_192.0 / engine::prefill_time(stage, 8_192, 0, running);
    let wait = ahead as f64 / rate + f64::from(prompts) * engine::step_time(0);
    let step = if stage == Stage::Decode { engine::step_time(running) } else { 0.0 };
    wait + engine::prefill_time(stage, fresh, cached, running) + step
}

/// The constants, and one factor by runner.
pub struct Paced(pub Vec<Pace>);

impl Predictor for Paced {
    fn predict(&self, runner: usize, basis: &Basis) -> f64 {
        nominal(basis) * self.0[runner].factor() + engine::startup_latency()
    }

    fn learn(&mut self, runner: usize, basis: &Basis, seen: f64) {
        let predicted = self.predict(runner, basis);
        let prefill = engine::prefill_time(basis.stage, basis.fresh, basis.cached, basis.running);
        self.0[runner].learn(predicted, prefill, seen);
    }

    fn restart(&mut self, runner: usize) {
        self.0[runner] = Pace::default();
    }
}

/// Factors by size, in powers of two of the tokens until the end of the prefill and of the occupancy,
/// and one factor by runner.
#[derive(Default)]
pub struct Table {
    factors: HashMap<(u32, u32), (f64, f64)>,
    runners: HashMap<usize, f64>,
}

fn cell(basis: &Basis) -> (u32, u32) {
    ((basis.fresh + basis.ahead).max(1).ilog2(), (basis.running + 1).ilog2())
}

impl Predictor for Table {
    fn predict(&self, runner: usize, basis: &Basis) -> f64 {
        let (factor, _) = self.factors.get(&cell(basis)).copied().unwrap_or_default();
        let runner = self.runners.get(&runner).copied().unwrap_or_default();
        (nominal(basis) + engine::startup_latency()) * (factor + runner).exp()
    }

    fn learn(&mut self, runner: usize, basis: &Basis, seen: f64) {
        let error = (seen / self.predict(runner, basis)).ln().clamp(-0.5, 0.5);
        let (factor, count) = self.factors.entry(cell(basis)).or_default();
        *count += 1.0;
        *factor += error * (1.0 / (*count + 1.0)).max(0.05);
        *self.runners.entry(runner).or_default() += error * 0.12;
    }

    fn restart(&mut self, runner: usize) {
        self.runners.remove(&runner);
    }
}
