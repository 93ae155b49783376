//! The models of all services and stages, as a register keeps them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::super::engine::Stage;
use super::super::version::Version;
use super::{Basis, Deviation, Model, Rates, State};
use crate::id::ServiceId;

/// How often the rates of a model are copied to its runners: often enough that a prediction is a
/// few observations old at most, and rarely enough that an update costs little however many runners
/// there are.
const COPY_PERIOD: Duration = Duration::from_millis(20);
/// The failure rate of a runner from which answers that are faster than the terms predict are
/// ignored: a runner that fails at once has empty queues, and would seem fast.
const MAX_FAILURE_RATE: f64 = 0.05;

#[derive(Clone, Debug)]
struct Kept {
    model: Model,
    copied_at: Option<Instant>,
}

/// The models by service and stage.
#[derive(Clone, Debug, Default)]
pub struct Models(HashMap<(ServiceId, Stage), Kept>);

/// The observed time of a piece of work, and the runner that did it.
#[derive(Clone, Copy, Debug)]
pub struct Sample<'a> {
    /// The service of the runner.
    pub service: &'a ServiceId,
    /// The version of the runner.
    pub version: &'a Version,
    /// The runner's rate of failures in recent work.
    pub failure_rate: f64,
    /// What the prediction was based on.
    pub basis: &'a Basis,
    /// The observed time, in seconds.
    pub seen: f64,
}

impl Models {
    fn kept(&mut self, service: &ServiceId, stage: Stage) -> &mut Kept {
        self.0
            .entry((service.clone(), stage))
            .or_insert_with(|| Kept { model: Model::new(stage), copied_at: None })
    }

    /// The model of a service and stage, if something has been learned of it.
    pub fn get(&self, service: &ServiceId, stage: Stage) -> Option<&Model> {
        self.0.get(&(service.clone(), stage)).map(|kept| &kept.model)
    }

    /// The rates of the runners of a version.
    pub fn rates(&mut self, service: &ServiceId, stage: Stage, version: &Version) -> Rates {
        self.kept(service, stage).model.rates(version)
    }

    /// Adopts the terms that another node has learned, unless those of this node have more evidence.
    /// Returns whether it did.
    pub fn adopt(&mut self, state: &State) -> bool {
        self.kept(&state.service, state.stage).model.adopt(state)
    }

    /// Learns from a sample. Returns the rates of the version if they are due to be copied to its
    /// runners.
    pub fn learn(
        &mut self,
        sample: &Sample<'_>,
        deviation: &mut Deviation,
        now: Instant,
    ) -> Option<Rates> {
        let Sample { version, basis, seen, .. } = *sample;
        let kept = self.kept(sample.service, basis.stage);
        if sample.failure_rate > MAX_FAILURE_RATE {
            let usual = kept.model.rates(version).forecast(&Deviation::default(), basis);
            if seen < usual.first_event {
                return None;
            }
        }
        kept.model.learn(version, deviation, basis, seen);
        let since = kept.copied_at.map(|at| now.saturating_duration_since(at));
        let is_due = since.is_none_or(|since| since >= COPY_PERIOD);
        if is_due {
            kept.copied_at = Some(now);
        }
        is_due.then(|| kept.model.rates(version))
    }
}
