//! A reservation of a runner, released when dropped, however the request ends.
//!
//! A reservation belongs to one incarnation of the runner. If the runner restarts meanwhile, the
//! result of the work does not apply to the new incarnation and releases nothing there.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use sardinepick_lib::fleet::health::Outcome;
use sardinepick_lib::fleet::placement::Placement;
use sardinepick_lib::fleet::register::WorkCost;
use sardinepick_lib::fleet::runner::{Registration, Runner, Tag};
use sardinepick_lib::fleet::scheduler::Observation;
use sardinepick_lib::id::RunnerId;

use crate::dispatch::Target;
use crate::fair_share::PrefillMeter;
use crate::serve::connection::SendError;
use crate::serve::delivery::Delivery;
use crate::serve::execution::Proof;
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
    /// Processing a prompt for a decode runner.
    #[strum(serialize = "read")]
    Prefill,
    /// Running a generation.
    Run,
}

/// A reservation of a runner.
pub struct Reservation {
    shared: Arc<Shared>,
    runner: RunnerId,
    /// The incarnation of the runner that was reserved; `None` if the runner was not known.
    registration: Option<Registration>,
    step: Step,
    cost: WorkCost,
    began: Instant,
    prefilled: bool,
    concluded: bool,
    /// The predicted time to the result, in seconds, and its placement, until something is learned
    /// from it.
    expected: Option<(Placement, f64)>,
    /// Whether another attempt has made the work unnecessary.
    superseded: Superseded,
    delivery: Delivery,
    prefill_meter: Option<PrefillMeter>,
}

/// Whether an attempt is cancelled because another one has made it unnecessary, which says nothing
/// of its runners. Shared by the attempt and its reservations.
#[derive(Clone, Debug, Default)]
pub struct Superseded(Arc<AtomicBool>);

impl Superseded {
    /// Records that the attempt is unnecessary.
    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

impl Reservation {
    /// Reserves a runner.
    pub fn new(shared: &Arc<Shared>, runner: &RunnerId, step: Step, cost: WorkCost) -> Self {
        let began = shared.clock.now();
        let registration = shared.register().begin(runner, cost, began);
        if let Some(registration) = &registration {
            shared.scheduling.note_begun(Tag::of(&registration.id, registration.born));
        }
        Self {
            shared: shared.clone(),
            runner: runner.clone(),
            registration,
            step,
            cost,
            began,
            prefilled: false,
            concluded: false,
            expected: None,
            superseded: Superseded::default(),
            delivery: Delivery::new(&shared.metrics.undelivered_reservations),
            prefill_meter: None,
        }
    }

    /// The reserved runner.
    pub fn runner(&self) -> &RunnerId {
        &self.runner
    }

    /// Returns how long the reservation has been held.
    pub fn held(&self) -> Duration {
        self.shared.clock.now().saturating_duration_since(self.began)
    }

    /// The incarnation of the runner that was reserved; `None` if the runner was not known.
    pub fn registration(&self) -> Option<&Registration> {
        self.registration.as_ref()
    }

    /// Returns the runner at its address as the target of a request.
    pub fn target(&self, address: SocketAddr) -> Target<'_> {
        let registration = self.registration.as_ref();
        Target { runner: &self.runner, registration, address, delivery: &self.delivery }
    }

    /// Whether the request may have been sent.
    pub fn is_sent(&self) -> bool {
        self.delivery.is_sent()
    }

    /// Counts the call as one that brought no answer of a run, with the proof that it did not run.
    pub fn count_unanswered(&self, proof: Option<Proof>) {
        let labels = [self.step.into(), proof.map_or(Proof::NONE, Into::into)];
        self.shared.metrics.unanswered_calls.with_label_values(&labels).inc();
    }

    /// Updates the state of the runner if it is still in the reserved incarnation.
    pub fn with_runner<T>(&self, change: impl FnOnce(&mut Runner) -> T) -> Option<T> {
        let registration = self.registration.as_ref()?;
        self.shared.register().registered_mut(registration).map(change)
    }

    /// Records that the prompt has been processed.
    pub fn note_prefilled(&mut self) {
        if let Some(meter) = self.prefill_meter.take().filter(|_| self.is_sent()) {
            meter.record();
        }
        if let Some(registration) = self.registration.as_ref().filter(|_| !self.prefilled) {
            self.shared.register().note_prefilled(registration, self.cost);
            self.shared.scheduling.note_change(Tag::of(&registration.id, registration.born));
        }
        self.prefilled = true;
    }

    /// Records a measurement from the work, here and at the runner's scheduler.
    pub fn learn(&self, observation: Observation) {
        let now = self.shared.clock.now();
        if let Some(tag) = self.with_runner(|runner| runner.entry.tag()) {
            self.shared.register().learn(tag, observation, now);
            self.shared.scheduling.note_observation(tag, observation);
        }
    }

    /// Sets the flag of the attempt that the work is part of.
    pub fn part_of(mut self, superseded: &Superseded) -> Self {
        self.superseded = superseded.clone();
        self
    }

    /// Sets the time after which a result is predicted, in seconds.
    pub fn expect(&mut self, placement: &Placement, predicted: f64) {
        self.expected = Some((placement.clone(), predicted));
    }

    /// Measures the prefill until the prompt has been processed or the work ends.
    pub fn meter_prefill(&mut self, meter: PrefillMeter) {
        self.prefill_meter = Some(meter);
    }

    /// Records that the predicted result has arrived.
    pub fn learn_expected(&mut self) {
        if let Some((placement, predicted)) = self.expected.take() {
            self.learn(placement.observation(predicted, self.held().as_secs_f64()));
        }
    }

    /// Records that the work was given up before its predicted result: it takes at least the time
    /// waited so far. Without this, abandoned prompts would yield no measurement, and a runner that
    /// is too slow for them would keep getting them.
    fn learn_abandoned(&mut self) {
        let Some((placement, predicted)) = self.expected.take() else { return };
        let held = self.held().as_secs_f64();
        if held > predicted {
            self.learn(placement.observation(predicted, held));
        }
    }

    /// Records that the runner has sent something.
    pub fn note_alive(&self) {
        let now = self.shared.clock.now();
        self.with_runner(|runner| runner.health.note_alive(now));
    }

    /// Records the outcome of the work. A call that breaks off because this node does not reach the
    /// runner says nothing of the runner.
    pub fn conclude(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Broken if self.note_broken() => {
                self.concluded = true;
                self.count("cut");
            }
            Outcome::Broken | Outcome::Answered | Outcome::Failed | Outcome::Gone => {
                self.record(outcome);
            }
        }
    }

    /// Records that the request got no answer.
    pub fn conclude_unanswered(&mut self, error: &SendError) {
        match error {
            // No peer reaches the runner either.
            SendError::Connect { .. } => self.record(Outcome::Broken),
            _ if error.is_local() => {}
            _ => self.conclude(Outcome::Broken),
        }
    }

    /// Records that other connections to the runner may be dead. Returns whether this node probably
    /// does not reach it.
    fn note_broken(&self) -> bool {
        let Some(address) = self.with_runner(|runner| runner.entry.address) else { return false };
        let is_cut = self.shared.connector.is_path_failure(address);
        self.shared.connector.note_silent(address);
        is_cut
    }

    fn record(&mut self, outcome: Outcome) {
        self.concluded = true;
        self.learn(Observation::Outcome(outcome));
        self.count(match outcome {
            Outcome::Answered => "answered",
            Outcome::Failed => "failed",
            Outcome::Broken => "broken",
            Outcome::Gone => "gone",
        });
    }

    fn count(&self, label: &'static str) {
        let labels = [self.runner.as_str(), self.step.into(), label];
        self.shared.metrics.runner_calls.with_label_values(&labels).inc();
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if !self.concluded {
            self.learn_abandoned();
        }
        self.note_prefilled();
        if let Some(registration) = &self.registration {
            self.shared.register().end(registration, self.cost);
            self.shared.scheduling.note_change(Tag::of(&registration.id, registration.born));
        }
        let alive_since = self.with_runner(|runner| runner.health.last_seen()).flatten();
        let silent = alive_since.is_none_or(|at| at < self.began);
        let abandoned = !self.concluded && !self.superseded.is_set();
        if abandoned && silent && self.held() >= ABANDONED_FAILURE_AFTER {
            self.conclude(Outcome::Broken);
        }
    }
}
