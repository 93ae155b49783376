//! A reservation of a runner, released when dropped, however the request ends.
//!
//! A reservation belongs to one incarnation of the runner. If the runner restarts meanwhile, the
//! result of the work does not apply to the new incarnation and releases nothing there.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use sardinepick_lib::fleet::health::Outcome;
use sardinepick_lib::fleet::placement::Placement;
use sardinepick_lib::fleet::register::WorkCost;
use sardinepick_lib::fleet::runner::{Registration, Runner, Tag};
use sardinepick_lib::fleet::scheduler::Observation;
use sardinepick_lib::id::RunnerId;

use crate::dispatch::Target;
use crate::serve::shared::Shared;

/// How long a caller must have waited at a runner without a result for its disconnecting to count
/// as a failure of the runner. A hanging runner never fails by itself: its callers disconnect
/// first.
const ABANDONED_FAILURE_AFTER: Duration = Duration::from_millis(500);

/// The purpose of a call to a runner, for metrics.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Step {
    /// A plain request.
    Plain,
    /// Reading a prompt for another runner.
    Read,
    /// Running a generation.
    Run,
}

/// A reservation of a runner.
pub struct Ticket {
    shared: Arc<Shared>,
    runner: RunnerId,
    /// The incarnation of the runner that was reserved; `None` if the runner was not known.
    stay: Option<Registration>,
    step: Step,
    share: WorkCost,
    began: Instant,
    read: bool,
    concluded: bool,
}

impl Ticket {
    /// Reserves a runner.
    pub fn new(shared: &Arc<Shared>, runner: &RunnerId, step: Step, share: WorkCost) -> Self {
        let began = shared.clock.now();
        let stay = shared.register().begin(runner, share, began);
        if let Some(stay) = &stay {
            shared.scheduling.note_begun(Tag::of(&stay.id, stay.born));
        }
        Self {
            shared: shared.clone(),
            runner: runner.clone(),
            stay,
            step,
            share,
            began,
            read: false,
            concluded: false,
        }
    }

    /// The runner.
    pub fn runner(&self) -> &RunnerId {
        &self.runner
    }

    /// Returns how long the reservation has been held.
    pub fn held(&self) -> Duration {
        self.shared.clock.now().saturating_duration_since(self.began)
    }

    /// The incarnation of the runner that was reserved; `None` if the runner was not known.
    pub fn stay(&self) -> Option<&Registration> {
        self.stay.as_ref()
    }

    /// Returns the runner at its address as the target of a request.
    pub fn target(&self, address: SocketAddr) -> Target<'_> {
        Target { runner: &self.runner, stay: self.stay.as_ref(), address }
    }

    /// Updates the state of the runner if it is still in the reserved incarnation.
    pub fn with_runner<T>(&self, change: impl FnOnce(&mut Runner) -> T) -> Option<T> {
        let stay = self.stay.as_ref()?;
        self.shared.register().registered_mut(stay).map(change)
    }

    /// Records that the prompt has been read.
    pub fn note_read(&mut self) {
        if let Some(stay) = self.stay.as_ref().filter(|_| !self.read) {
            self.shared.register().note_prefilled(stay, self.share);
            self.shared.scheduling.note_change(Tag::of(&stay.id, stay.born));
        }
        self.read = true;
    }

    /// Records a measurement from the work, here and at the runner's scheduler.
    pub fn learn(&self, lesson: Observation) {
        let now = self.shared.clock.now();
        if let Some(tag) = self.with_runner(|runner| {
            runner.learn(lesson, now);
            runner.entry.tag()
        }) {
            self.shared.scheduling.note_lesson(tag, lesson);
        }
    }

    /// Records that the caller disconnected before an event that was predicted after `predicted`
    /// seconds: it takes at least the time waited so far. Without this, abandoned prompts would
    /// yield no measurement, and a runner that is too slow for them would keep getting them.
    pub fn learn_abandoned(&self, placement: &Placement, predicted: f64) {
        let held = self.held().as_secs_f64();
        if held > predicted {
            self.learn(placement.observation(predicted, held));
        }
    }

    /// Records a sign of life of the runner.
    pub fn note_life(&self) {
        let now = self.shared.clock.now();
        self.with_runner(|runner| runner.health.note_alive(now));
    }

    /// Records the outcome of the work.
    pub fn conclude(&mut self, outcome: Outcome) {
        self.concluded = true;
        self.learn(Observation::Outcome(outcome));
        let label = match outcome {
            Outcome::Answered => "answered",
            Outcome::Failed => "failed",
            Outcome::Broken => "broken",
            Outcome::Gone => "gone",
        };
        let labels = [self.runner.as_str(), self.step.into(), label];
        self.shared.metrics.runner_calls.with_label_values(&labels).inc();
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.note_read();
        if let Some(stay) = &self.stay {
            self.shared.register().end(stay, self.share);
            self.shared.scheduling.note_change(Tag::of(&stay.id, stay.born));
        }
        let alive_since = self.with_runner(|runner| runner.health.last_seen()).flatten();
        let silent = alive_since.is_none_or(|at| at < self.began);
        if !self.concluded && silent && self.held() >= ABANDONED_FAILURE_AFTER {
            self.conclude(Outcome::Broken);
        }
    }
}
