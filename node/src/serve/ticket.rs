//! A place at a runner, given back when it is dropped, however the request ends.

use std::sync::Arc;
use std::time::{Duration, Instant};

use sardinepick_lib::fleet::health::Outcome;
use sardinepick_lib::fleet::register::Share;
use sardinepick_lib::id::RunnerId;

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
    step: Step,
    share: Share,
    began: Instant,
    read: bool,
    concluded: bool,
}

impl Ticket {
    /// Takes a place.
    pub fn new(shared: &Arc<Shared>, runner: &RunnerId, step: Step, share: Share) -> Self {
        let began = shared.clock.now();
        shared.register().begin(runner, share, began);
        Self {
            shared: shared.clone(),
            runner: runner.clone(),
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

    /// Notes that the prompt has been read.
    pub fn note_read(&mut self) {
        if !self.read {
            self.read = true;
            self.shared.register().note_read(&self.runner, self.share);
        }
    }

    /// Notes a sign of life of the runner.
    pub fn note_life(&self) {
        let now = self.shared.clock.now();
        if let Some(runner) = self.shared.register().get_mut(&self.runner) {
            runner.health.note_life(now);
        }
    }

    /// Notes what came of the work.
    pub fn conclude(&mut self, outcome: Outcome) {
        self.concluded = true;
        let now = self.shared.clock.now();
        if let Some(runner) = self.shared.register().get_mut(&self.runner) {
            runner.health.note(outcome, now);
        }
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
        let alive_since = {
            let mut register = self.shared.register();
            register.end(&self.runner, self.share);
            register.get(&self.runner).and_then(|r| r.health.last_life())
        };
        let silent = alive_since.is_none_or(|at| at < self.began);
        if !self.concluded && silent && self.held() >= VAIN {
            self.conclude(Outcome::Broken);
        }
    }
}
