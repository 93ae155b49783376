//! The deviation of one runner from its group.

use super::super::runner::Tag;
use super::{Group, RunnerState};

/// How much longer work takes on a runner than the terms say, as a logarithm.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Deviation {
    log: f64,
    /// The weight of the observations so far.
    evidence: f64,
    /// The sum of the latest errors in one direction.
    run: f64,
}

/// One observation: its predicted time by the terms alone, and the observed time, in seconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    /// What does not depend on the runner's speed.
    pub(super) fixed: f64,
    /// What does.
    pub(super) scaled: f64,
    /// The observed time.
    pub(super) seen: f64,
}

/// The evidence that the value of the group counts for.
const INHERITED: f64 = 3.0;
/// The smallest evidence that is adopted from another node: one observation.
const MIN_EVIDENCE: f64 = 1.0;
/// The smallest gain of an observation.
const GAIN: f64 = 0.12;
/// The bound of the error of one observation, as a logarithm. A stall takes ten times as long as
/// predicted.
const ERROR_LIMIT: f64 = 0.5;
/// The error from which an observation counts towards a change; smaller ones are noise.
const NOISE: f64 = 0.25;
/// The largest error that counts towards a change, so that a single stall is none.
const RUN_LIMIT: f64 = 0.8;
/// The sum of errors in one direction from which the runner has changed: two observations with large
/// errors. A runner gets about two prompts a second, and a change must be followed within three
/// seconds.
const CHANGED: f64 = 1.2;
/// The gain and the bound of the error while the runner is changing.
const CHANGING: (f64, f64) = (0.8, 2.0);
/// The range of the factor.
const RANGE: (f64, f64) = (0.2, 12.0);

impl Deviation {
    /// The factor by which work takes longer than the terms say.
    pub fn factor(&self, group: Group) -> f64 {
        self.log(group).exp()
    }

    /// What a successor starts with.
    pub(super) fn state(&self, group: Group, runner: Tag) -> RunnerState {
        let (factor, evidence) = (self.log(group) as f32, self.evidence as f32);
        RunnerState { runner, factor, evidence }
    }

    /// Adopts what another node has learned of the runner, unless this one has more evidence.
    pub(super) fn adopt(&mut self, group: Group, state: &RunnerState) {
        let evidence = f64::from(state.evidence).min(INHERITED / GAIN);
        if evidence < self.evidence.max(MIN_EVIDENCE) {
            return;
        }
        self.evidence = evidence;
        self.set_log(group, f64::from(state.factor).clamp(RANGE.0.ln(), RANGE.1.ln()));
    }

    /// Sets the value that yields `target` together with what is inherited.
    fn set_log(&mut self, group: Group, target: f64) {
        let inherited = INHERITED / (INHERITED + self.evidence);
        self.log = (target - group.mean() * inherited) / (1.0 - inherited);
    }

    fn log(&self, group: Group) -> f64 {
        let inherited = INHERITED / (INHERITED + self.evidence);
        group.mean() * inherited + self.log * (1.0 - inherited)
    }

    /// Learns from an observation. Its weight is the part of the time that depends on the runner's
    /// speed.
    pub(super) fn learn(&mut self, group: Group, sample: &Sample) {
        let before = self.log(group);
        let scaled = sample.scaled * before.exp();
        if scaled <= 0.0 {
            return;
        }
        let weight = scaled / (sample.fixed + scaled);
        let error = (sample.seen / (sample.fixed + scaled)).ln();
        self.note_run(error * weight);
        let (gain, limit) = if self.run.abs() > CHANGED {
            CHANGING
        } else {
            (GAIN.max(1.0 / (self.evidence + INHERITED + 1.0)), ERROR_LIMIT)
        };
        let target =
            (before + error.clamp(-limit, limit) * gain * weight).clamp(RANGE.0.ln(), RANGE.1.ln());
        self.evidence = (self.evidence + weight).min(INHERITED / GAIN);
        self.set_log(group, target);
    }

    fn note_run(&mut self, error: f64) {
        let error = error.clamp(-RUN_LIMIT, RUN_LIMIT);
        if error.abs() < NOISE {
            self.run /= 2.0;
        } else if error * self.run < 0.0 {
            self.run = error;
        } else {
            self.run += error;
        }
    }
}
