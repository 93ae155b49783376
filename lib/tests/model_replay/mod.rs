//! Replays a load on a fleet of engines to a predictor.

pub mod engine;
pub mod predictor;

use std::collections::VecDeque;

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use sardinepick_lib::fleet::engine::Stage;
use sardinepick_lib::fleet::model::Basis;

use engine::{Engine, normal};
use predictor::Predictor;

/// How observations arrive.
#[derive(Clone, Copy, Debug, Default)]
pub struct Delivery {
    /// The fraction that is lost.
    pub lost: f64,
    /// The fraction that arrives twice.
    pub doubled: f64,
    /// The longest delay, in seconds.
    pub delay: f64,
}

/// A fleet and its load.
pub struct Replay {
    pub engine: Engine,
    pub stage: Stage,
    /// How much longer each runner takes.
    pub factors: Vec<f64>,
    /// Jobs per second and runner.
    pub rate: f64,
    /// The standard deviation of the logarithm of the time.
    pub noise: f64,
    /// The fraction of jobs during which the runner stalls for 0.5 s.
    pub stalls: f64,
    pub delivery: Delivery,
    pub rng: StdRng,
    pub now: f64,
    /// Observations that have not arrived yet: when they do, the runner, basis and time.
    pub pending: VecDeque<(f64, usize, Basis, f64)>,
}

/// The runners of one pool.
pub const RUNNERS: usize = 24;

impl Replay {
    pub fn new(engine: Engine, stage: Stage, seed: u64) -> Self {
        Self {
            engine,
            stage,
            factors: vec![1.0; RUNNERS],
            rate: 2.5,
            noise: 0.12,
            stalls: 0.005,
            delivery: Delivery::default(),
            rng: StdRng::seed_from_u64(seed),
            now: 0.0,
            pending: VecDeque::new(),
        }
    }

    /// Changes the speed of a runner, also for the work that it has begun.
    pub fn change(&mut self, runner: usize, factor: f64) {
        let change = factor / self.factors[runner];
        self.factors[runner] = factor;
        let now = self.now;
        let begun = self.pending.iter_mut().filter(|(at, r, ..)| *r == runner && *at > now);
        for (at, _, _, seen) in begun {
            let prolonged = (*at - now) * (change - 1.0);
            *at += prolonged;
            *seen += prolonged;
        }
    }

    /// Replays until `until`, and returns the errors.
    pub fn run(&mut self, predictor: &mut impl Predictor, until: f64) -> Errors {
        let mut errors = Errors::default();
        while self.now < until {
            self.now += 1.0 / (self.rate * self.factors.len() as f64);
            let job = engine::job(self.stage, self.factors.len(), &mut self.rng);
            let mut seen = self.engine.time(&job, self.factors[job.runner]);
            seen *= (normal(&mut self.rng) * self.noise).exp();
            if self.rng.random_bool(self.stalls) {
                seen += 0.5;
            }
            self.deliver(predictor);
            errors.0.push((job.runner, seen / predictor.predict(job.runner, &job.basis)));
            self.post(job.runner, job.basis, seen);
        }
        errors
    }

    /// An observation becomes known when the work has ended, unless it is lost.
    fn post(&mut self, runner: usize, basis: Basis, seen: f64) {
        if self.rng.random_bool(self.delivery.lost) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.delivery.doubled));
        for _ in 0..copies {
            let delay = self.delivery.delay * self.rng.random::<f64>();
            self.pending.push_back((self.now + seen + delay, runner, basis, seen));
        }
    }

    fn deliver(&mut self, predictor: &mut impl Predictor) {
        let now = self.now;
        let due = |(at, ..): &(f64, usize, Basis, f64)| *at <= now;
        let mut ready: Vec<_> = self.pending.iter().copied().filter(due).collect();
        self.pending.retain(|posted| !due(posted));
        ready.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, runner, basis, seen) in ready {
            predictor.learn(runner, &basis, seen);
        }
    }
}

/// The ratios of observed to predicted time, with their runners.
#[derive(Clone, Debug, Default)]
pub struct Errors(pub Vec<(usize, f64)>);

fn quantile(mut ratios: Vec<f64>, level: f64) -> f64 {
    ratios.sort_by(f64::total_cmp);
    ratios[((ratios.len() - 1) as f64 * level).round() as usize]
}

impl Errors {
    /// The fraction within a quarter of the prediction.
    pub fn close(&self) -> f64 {
        let close = self.0.iter().filter(|(_, ratio)| (0.75..=1.25).contains(ratio)).count();
        close as f64 / self.0.len() as f64
    }

    pub fn quantile(&self, level: f64) -> f64 {
        quantile(self.0.iter().map(|(_, ratio)| *ratio).collect(), level)
    }

    /// Those of one runner.
    pub fn of(&self, runner: usize) -> Errors {
        Errors(self.0.iter().copied().filter(|(r, _)| *r == runner).collect())
    }

    /// The lowest and highest median of a runner.
    pub fn medians(&self) -> (f64, f64) {
        let runners = self.0.iter().map(|(r, _)| *r).max().unwrap_or_default();
        let medians = (0..=runners).map(|r| self.of(r)).filter(|e| !e.0.is_empty());
        medians
            .map(|e| e.quantile(0.5))
            .fold((f64::MAX, 0.0), |(low, high): (f64, f64), m| (low.min(m), high.max(m)))
    }

    /// Asserts the thresholds of the requirements.
    pub fn assert_good(&self, what: &str) {
        let (low, high) = self.medians();
        let (close, p95) = (self.close(), self.quantile(0.95));
        assert!(
            close >= 0.8 && low >= 0.9 && high <= 1.15 && p95 <= 2.0,
            "{what}: within a quarter {close:.3}, medians {low:.2} to {high:.2}, p95 {p95:.2}"
        );
    }
}
