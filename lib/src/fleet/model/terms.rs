//! The terms of an engine's time, and predictions from them.

use super::super::engine::{self, Stage};
use super::super::runner::Tag;
use super::basis::{Basis, Features, TERMS};
use super::{Deviation, Group, RunnerState, Spread};

/// The terms of an engine's time, in seconds per unit of their quantity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms(pub(super) Features);

/// The size from which the prior of the terms per token is derived.
const SAMPLE: u64 = 8_192;
/// The number of running requests from which the prior of the occupancy terms is derived.
const SAMPLE_RUNNING: u32 = 10;
/// The smallest prior of a term, in seconds, for a term that the constants do not have.
const MIN_PRIOR: f64 = 0.000_01;

impl Terms {
    /// The terms of the engine that the constants describe.
    pub fn prior(stage: Stage) -> Self {
        let thousands = SAMPLE as f64 / 1e3;
        let time = |tokens, cached, running| engine::prefill_time(stage, tokens, cached, running);
        let alone = time(SAMPLE, 0, 0);
        // The pairs of a cached prefix of the sample's size differ from those without by its square.
        let pair = (time(SAMPLE, SAMPLE, 0) - alone) / (thousands * thousands);
        let token = (alone - pair * thousands * thousands / 2.0) / thousands;
        let running = f64::from(SAMPLE_RUNNING);
        let interleaved = (time(SAMPLE, 0, SAMPLE_RUNNING) - alone) / running / thousands;
        let step = (engine::step_time(SAMPLE_RUNNING) - engine::step_time(0)) / running;
        let (start, step) = match stage {
            Stage::Prefill => (engine::startup_latency(), 0.0),
            Stage::Decode => (engine::startup_latency() + engine::step_time(0), step),
        };
        let prompt = engine::step_time(0);
        Self([start, token, pair, prompt, step, interleaved].map(|term| term.max(MIN_PRIOR)))
    }

    /// The time of work: the part that does not depend on the speed of the runner, and the part
    /// that does, in seconds.
    pub fn split(&self, basis: &Basis) -> (f64, f64) {
        let features = basis.features();
        let scaled: f64 = (1..TERMS).map(|i| self.0[i] * features[i]).sum();
        (self.0[0] + f64::from(basis.extra), scaled)
    }

    /// The time to prefill the prompts of `basis` on a runner of the usual speed, in seconds, without
    /// the step that yields the result.
    pub fn prefill(&self, basis: &Basis) -> f64 {
        let features = basis.features();
        [1, 2, 3, 5].iter().map(|&i| self.0[i] * features[i]).sum()
    }

    /// The prefill rate of a runner of the usual speed, in tokens per second.
    pub fn prefill_rate(&self, stage: Stage) -> f64 {
        let basis = Basis { fresh: SAMPLE, ..Basis::none(stage) };
        SAMPLE as f64 / self.prefill(&basis)
    }

    /// The time of one step with `running` requests on a runner of the usual speed, in seconds.
    pub fn step(&self, running: u32) -> f64 {
        self.0[3] + f64::from(running) * self.0[4]
    }

    /// The fixed time from the arrival of a prompt to its first result, in seconds.
    pub fn start(&self) -> f64 {
        self.0[0]
    }
}

/// What is known of the runners of one version, service and stage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// The terms of the service and stage.
    pub terms: Terms,
    /// The speed of the group.
    pub group: Group,
    /// The uncertainty of predictions.
    pub spread: Spread,
}

/// The predicted times of a piece of work on a runner, in seconds from now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Forecast {
    /// When its prefill starts.
    pub prefill_start: f64,
    /// When its prefill ends.
    pub prefill_end: f64,
    /// When the first event, or the result of the prefill, is there.
    pub first_event: f64,
    /// The time by which the first event is there in nine of ten cases.
    pub latest: f64,
}

impl Rates {
    /// The factor by which work takes longer on a runner with `deviation` than the terms say.
    pub fn factor(&self, deviation: &Deviation) -> f64 {
        deviation.factor(self.group)
    }

    /// The prefill time of the prompts of `basis` on the usual runner of the group, in seconds.
    pub fn usual_prefill_time(&self, basis: &Basis) -> f64 {
        self.terms.prefill(basis) * self.factor(&Deviation::default())
    }

    /// How much longer work takes on a runner with `deviation` than on the usual runner of the
    /// group.
    pub fn slowness(&self, deviation: &Deviation) -> f64 {
        self.factor(deviation) / self.factor(&Deviation::default())
    }

    /// What a successor starts with of a runner.
    pub fn runner_state(&self, deviation: &Deviation, runner: Tag) -> RunnerState {
        deviation.state(self.group, runner)
    }

    /// Adopts what another node has learned of a runner, unless this one has more evidence.
    pub fn adopt_runner(&self, deviation: &mut Deviation, state: &RunnerState) {
        deviation.adopt(self.group, state);
    }

    /// The predicted times of the work of `basis` on a runner with `deviation`.
    pub fn forecast(&self, deviation: &Deviation, basis: &Basis) -> Forecast {
        let factor = self.factor(deviation);
        let queued = Basis { fresh: 0, cached: 0, ..*basis };
        let prefill_start = self.terms.prefill(&queued) * factor;
        let (fixed, scaled) = self.terms.split(basis);
        let prefill_end = scaled * factor;
        let first_event = fixed + prefill_end;
        Forecast {
            prefill_start,
            prefill_end,
            first_event,
            latest: first_event * self.spread.factor(),
        }
    }
}
