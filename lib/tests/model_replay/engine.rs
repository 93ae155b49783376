//! A generator of loads with the true times of engines.

use rand::rngs::StdRng;
use rand::{Rng as _, RngExt as _};
use sardinepick_lib::fleet::engine::Stage;
use sardinepick_lib::fleet::model::Basis;

/// The true parameters of an engine, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct Engine {
    pub start: f64,
    /// Per prompt token.
    pub token: f64,
    /// Per million token pairs.
    pub pairs: f64,
    pub chunk: f64,
    pub step: f64,
    /// Per step and running request.
    pub request: f64,
}

/// The engine that the constants describe.
pub const REFERENCE: Engine = Engine {
    start: 0.036,
    token: 1.0 / 112_000.0,
    pairs: 0.000_22,
    chunk: 1_024.0,
    step: 0.003_41,
    request: 0.000_1,
};

/// The engine of reference load A.
pub const A: Engine = Engine {
    start: 0.022,
    token: 1.0 / 36_700.0,
    pairs: 0.000_248,
    chunk: 2_048.0,
    step: 0.004_34,
    request: 0.000_151,
};

/// The engine of reference load B.
pub const B: Engine = Engine {
    start: 0.001,
    token: 1.0 / 63_900.0,
    pairs: 0.000_22,
    chunk: 1_024.0,
    step: 0.003_7,
    request: 0.000_019,
};

/// One prompt on a runner, and what is ahead of it.
#[derive(Clone, Debug)]
pub struct Job {
    pub runner: usize,
    pub basis: Basis,
    /// The sizes of the prompts ahead, which a scheduler knows only by their sum.
    ahead: Vec<f64>,
}

impl Engine {
    /// The time of one prompt on a runner that takes `factor` times as long.
    fn prompt(&self, stage: Stage, fresh: f64, cached: f64, running: f64) -> f64 {
        let (slow, chunk, running) = match stage {
            Stage::Prefill => (1.0, self.chunk, 0.0),
            Stage::Decode => (2.0, self.chunk / 4.0, running),
        };
        let pairs = fresh * (cached + fresh / 2.0) / 1e6 * self.pairs;
        let step = self.step + running * self.request;
        (fresh * self.token + pairs) * slow + (fresh / chunk).ceil() * step
    }

    /// The true time of a job on a runner that takes `factor` times as long, without noise.
    pub fn time(&self, job: &Job, factor: f64) -> f64 {
        let Basis { stage, fresh, cached, running, .. } = job.basis;
        let running = f64::from(running);
        let ahead: f64 = job.ahead.iter().map(|size| self.prompt(stage, *size, 0.0, running)).sum();
        let own = self.prompt(stage, fresh as f64, cached as f64, running);
        let last_step = match stage {
            Stage::Prefill => 0.0,
            Stage::Decode => self.step + running * self.request,
        };
        self.start + (ahead + own + last_step) * factor
    }
}

/// A normally distributed number.
pub fn normal(rng: &mut StdRng) -> f64 {
    (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0
}

/// The size of a prompt: mostly 1,500, 9,000 or 17,000 tokens, with a spread.
fn size(rng: &mut StdRng) -> f64 {
    let mean = [1_460.0, 9_200.0, 17_000.0][(rng.next_u32() % 3) as usize];
    (mean * (normal(rng) * 0.5 - 0.125).exp()).clamp(64.0, 60_000.0)
}

/// A random job on one of `runners`.
pub fn job(stage: Stage, runners: usize, rng: &mut StdRng) -> Job {
    let prompts = if rng.random_bool(0.4) { 0 } else { rng.random_range(1..=4) };
    let ahead: Vec<f64> = (0..prompts).map(|_| size(rng)).collect();
    let prompt = size(rng);
    let cached = if rng.random_bool(0.5) { prompt * rng.random_range(0.3..0.95) } else { 0.0 };
    let running = match stage {
        Stage::Prefill => prompts as u32 + 1,
        Stage::Decode => rng.random_range(0..48),
    };
    let basis = Basis {
        stage,
        fresh: (prompt - cached) as u64,
        cached: cached as u64,
        ahead: ahead.iter().sum::<f64>() as u64,
        prompts: prompts as u32,
        running,
        extra: 0.0,
    };
    Job { runner: rng.random_range(0..runners), basis, ahead }
}
