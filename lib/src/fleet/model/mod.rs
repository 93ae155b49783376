//! Learned prediction of the time that work takes on a runner.
//!
//! [`Model`] learns the terms of one service and stage; each of its groups (the runners of one
//! version) has a speed, and each runner a [`Deviation`] from its group. A level without evidence
//! has the value of the level above; the prior of the terms are the constants of
//! [`engine`](super::engine).

mod basis;
mod capacity;
mod deviation;
mod group;
mod models;
mod quantile;
mod regression;
mod state;
mod terms;

use super::engine::Stage;
use super::version::Version;
use crate::id::ServiceId;

pub use basis::Basis;
pub use deviation::Deviation;
pub use group::Group;
pub use models::{Models, Sample};
pub use quantile::Spread;
pub use state::{MAX_RUNNERS, RunnerState, State};
pub use terms::{Forecast, Rates, Terms};

use regression::Regression;

/// The model of one service and stage.
#[derive(Clone, Debug)]
pub struct Model {
    regression: Regression,
    groups: Vec<(Version, Group)>,
    spread: Spread,
    /// The number of recent observations.
    evidence: f64,
}

/// The maximum number of versions that are distinguished. A service has one, or two during a
/// release; of more, the one that was learned from first is dropped.
const MAX_GROUPS: usize = 4;

impl Model {
    /// The model of a stage before anything has been observed.
    pub fn new(stage: Stage) -> Self {
        Self {
            regression: Regression::new(&Terms::prior(stage)),
            groups: Vec::new(),
            spread: Spread::default(),
            evidence: 0.0,
        }
    }

    /// The terms of the service and stage.
    pub fn terms(&self) -> Terms {
        self.regression.terms()
    }

    /// The rates of the runners of a version that nothing else is known of.
    pub fn rates(&self, version: &Version) -> Rates {
        let group = self.groups.iter().find(|(v, _)| v == version);
        Rates {
            terms: self.regression.terms(),
            group: group.map(|(_, group)| *group).unwrap_or_default(),
            spread: self.spread,
        }
    }

    /// Learns from work of `basis` that took `seen` seconds on a runner of `version` with
    /// `deviation`.
    pub fn learn(
        &mut self,
        version: &Version,
        deviation: &mut Deviation,
        basis: &Basis,
        seen: f64,
    ) {
        if !seen.is_finite() || seen <= 0.0 {
            return;
        }
        let before = self.rates(version);
        let forecast = before.forecast(deviation, basis);
        self.spread.learn((seen / forecast.first_event).ln());
        let speed = deviation.factor(before.group);
        self.regression.learn(basis, speed, seen);
        self.evidence = self.evidence * regression::MEMORY + 1.0;
        let after = self.rates(version);
        let (fixed, scaled) = after.terms.split(basis);
        deviation.learn(after.group, &deviation::Sample { fixed, scaled, seen });
        self.group(version).learn(deviation.factor(after.group));
    }

    /// What a successor starts with, with what is known of `runners`.
    pub fn state(&self, service: &ServiceId, stage: Stage, runners: Vec<RunnerState>) -> State {
        State {
            service: service.clone(),
            stage,
            terms: self.terms().0.map(|term| term as f32),
            spread: self.spread.log() as f32,
            evidence: self.evidence as f32,
            runners,
        }
    }

    /// Adopts the terms of another node's model unless this one has more evidence. Returns whether
    /// it did.
    fn adopt(&mut self, state: &State) -> bool {
        let evidence = f64::from(state.evidence);
        // The evidence of a model in use is nearly constant, and differs in rounding.
        if evidence < self.evidence - 1.0 {
            return false;
        }
        self.regression.adopt(&Terms(state.terms.map(f64::from)));
        self.spread = Spread::of(f64::from(state.spread));
        self.evidence = evidence;
        true
    }

    fn group(&mut self, version: &Version) -> &mut Group {
        let at = self.groups.iter().position(|(v, _)| v == version).unwrap_or_else(|| {
            if self.groups.len() == MAX_GROUPS {
                self.groups.remove(0);
            }
            self.groups.push((version.clone(), Group::default()));
            self.groups.len() - 1
        });
        &mut self.groups[at].1
    }
}
