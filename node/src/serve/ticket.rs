//! A place at a runner, given back when it is dropped, however the request ends.
//!
//! The place is one in a single life of the runner. If the runner starts again meanwhile, what comes
//! of the work says nothing of its new life, and frees nothing there.

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

/// How long a caller may have waited in vain at a runner before its leaving counts against the
/// runner. A runner that hangs is never seen to fail: its callers leave first.
const VAIN: Duration = Duration::from_millis(500);

/// What a call to a runner is for, in metrics.
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

/// A place at a runner.
pub struct Ticket {
    shared: Arc<Shared>,
    runner: RunnerId,
    /// The life of the runner in which the place was taken; none if the runner was not known.
    stay: Option<Registration>,
    step: Step,
    share: WorkCost,
    began: Instant,
    read: bool,
    concluded: bool,
}

impl Ticket {
    /// Takes a place.
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

    /// How long the place has been held.
    pub fn held(&self) -> Duration {
        self.shared.clock.now().saturating_duration_since(self.began)
    }

    /// The life of the runner in which the place was taken; none if the runner was not known.
    pub fn stay(&self) -> Option<&Registration> {
        self.stay.as_ref()
    }

    /// The runner as a target of requests, at its address.
    pub fn target(&self, address: SocketAddr) -> Target<'_> {
        Target { runner: &self.runner, stay: self.stay.as_ref(), address }
    }

    /// Changes what is known of the runner, if it is still in the life in which the place was taken.
    pub fn with_runner<T>(&self, change: impl FnOnce(&mut Runner) -> T) -> Option<T> {
        let stay = self.stay.as_ref()?;
        self.shared.register().registered_mut(stay).map(change)
    }

    /// Notes that the prompt has been read.
    pub fn note_read(&mut self) {
        if let Some(stay) = self.stay.as_ref().filter(|_| !self.read) {
            self.shared.register().note_prefilled(stay, self.share);
            self.shared.scheduling.note_change(Tag::of(&stay.id, stay.born));
        }
        self.read = true;
    }

    /// Takes in what the work has taught of the runner, here and at its scheduler.
    pub fn learn(&self, lesson: Observation) {
        let now = self.shared.clock.now();
        if let Some(tag) = self.with_runner(|runner| {
            runner.learn(lesson, now);
            runner.entry.tag()
        }) {
            self.shared.scheduling.note_lesson(tag, lesson);
        }
    }

    /// Takes in that the caller has left before what was predicted in `predicted` seconds has come:
    /// it takes as long as that at the least. Prompts that are given up would else teach nothing, and
    /// a runner that is too slow for them would go on getting them.
    pub fn learn_in_vain(&self, placement: &Placement, predicted: f64) {
        let held = self.held().as_secs_f64();
        if held > predicted {
            self.learn(placement.observation(predicted, held));
        }
    }

    /// Notes a sign of life of the runner.
    pub fn note_life(&self) {
        let now = self.shared.clock.now();
        self.with_runner(|runner| runner.health.note_alive(now));
    }

    /// Notes what came of the work.
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
        self.shared.metrics.calls.with_label_values(&labels).inc();
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
        if !self.concluded && silent && self.held() >= VAIN {
            self.conclude(Outcome::Broken);
        }
    }
}
