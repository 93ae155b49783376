//! One attempt at a generation: placement, prefill, and the run that streams its events.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::response::Parts;
use sardinepick_lib::fleet::handover::Stage;
use sardinepick_lib::fleet::load::Class;
use sardinepick_lib::fleet::placement::{Placement, Plan};
use sardinepick_lib::fleet::timeout;
use sardinepick_lib::id::RunnerId;

use super::prefill::KvHandleGuard;
use super::run::{Run, RunStep};
use super::{Generation, StopCause};
use crate::limit::Permit;
use crate::part_quarantine;
use crate::serve::payment::Payment;
use crate::serve::quarantine::Trial;
use crate::serve::reservation::Superseded;
use crate::serve::response::Refusal;

type Work<T> = Pin<Box<dyn Future<Output = Result<T, Failure>> + Send>>;

/// Why an attempt has ended without a complete answer.
pub(super) enum Failure {
    /// It cannot be made.
    Stopped(Refusal, StopCause),
    /// The runner did not run the request; another may.
    NotRun,
    /// Nothing was sent because the runner's rate limit is exhausted. Another runner may run the
    /// request, with the prompt that has been prefilled, if one has.
    Denied(Option<Box<Prepared>>),
    /// The call failed after the request may have run.
    Broken,
    /// A complete response that is not a stream, usually an error of the runner itself.
    Answer(Box<Parts>, Bytes),
}

/// An attempt whose runners have been chosen and whose calls are paid for.
pub(super) struct Placed {
    pub placement: Placement,
    pub class: Class,
    pub payment: Payment,
    pub superseded: Superseded,
    /// The permit for the run, if a part of the prompt is restricted.
    pub permit: Option<part_quarantine::Permit>,
    /// The trial that the run is, if the request is restricted.
    pub trial: Option<Trial>,
}

/// An attempt that is ready to be sent to the runner that runs it.
pub(super) struct Prepared {
    pub placed: Placed,
    pub runner: RunnerId,
    /// The KV cache of the prompt, if another runner has prefilled it.
    pub cache: Option<KvHandleGuard>,
    /// The permit to send the request, if the runner has a rate limit.
    pub permit: Option<Permit>,
}

impl Prepared {
    /// When the first event is expected once the request is sent. A prefilled prompt needs a
    /// transfer and a step.
    pub fn first_event(&self) -> Duration {
        match self.cache {
            Some(_) => Duration::ZERO,
            None => {
                Duration::try_from_secs_f64(self.placed.placement.first_event).unwrap_or_default()
            }
        }
    }
}

/// How an attempt has advanced.
pub(super) enum Step {
    /// Its runners have been chosen.
    Placed(Placed),
    /// It is ready to be sent.
    Prepared(Prepared),
    /// The run has begun, with this as its first step.
    Begun(RunStep),
    /// The run has advanced.
    Run(RunStep),
    /// It has ended.
    Failed(Failure),
}

enum State {
    Placing(Work<Placed>),
    Preparing(Work<Prepared>),
    Sent(Work<(Run, RunStep)>),
    Running(Box<Run>),
    Ended,
}

/// An attempt in progress. Dropping it cancels its calls.
pub(super) struct Attempt {
    generation: Arc<Generation>,
    state: State,
    /// The runner that is working on it.
    pub runner: Option<RunnerId>,
    /// How long it may be silent in its stage.
    pub silence: Duration,
    superseded: Superseded,
}

impl Attempt {
    /// Starts an attempt by placing the request.
    pub fn place(generation: &Arc<Generation>) -> Self {
        let superseded = Superseded::default();
        let state = State::Placing(Box::pin(generation.clone().place(superseded.clone())));
        // Placement has timeouts of its own.
        let silence = generation.time_left();
        Self { generation: generation.clone(), state, runner: None, silence, superseded }
    }

    /// Starts the prefill of a placed attempt; one that needs none is ready at once.
    pub fn prepare(&mut self, placed: Placed) -> Option<Prepared> {
        match &placed.placement.plan {
            Plan::Whole { runner } => {
                let runner = runner.clone();
                Some(Prepared { placed, runner, cache: None, permit: None })
            }
            Plan::Split { prefill, .. } => {
                let left = self.generation.time_left();
                self.silence = timeout::prefill(placed.class, placed.placement.prefill_end, left);
                self.runner = Some(prefill.clone());
                self.state = State::Preparing(Box::pin(self.generation.clone().prepare(placed)));
                None
            }
        }
    }

    /// Chooses another decode runner for a prompt that has been prefilled.
    pub fn prepare_again(&mut self, prepared: Prepared) {
        self.silence = self.generation.time_left();
        self.state = State::Preparing(Box::pin(self.generation.clone().prepare_again(prepared)));
    }

    /// Sends the request to the runner that runs it.
    pub fn send(&mut self, prepared: Prepared) {
        let predicted = prepared.placed.placement.first_event;
        self.silence = timeout::stall(self.generation.request.route.pause, predicted);
        self.runner = Some(prepared.runner.clone());
        self.state = State::Sent(Box::pin(self.generation.clone().start(prepared)));
    }

    /// Records that another attempt has made this one unnecessary, before it is dropped.
    pub fn supersede(&self) {
        self.superseded.set();
    }

    /// The stage that it is in.
    pub fn stage(&self) -> Stage {
        match self.state {
            State::Placing(_) | State::Preparing(_) | State::Ended => Stage::Preparing,
            State::Sent(_) => Stage::Sent,
            State::Running(_) => Stage::Streaming,
        }
    }

    /// The run, once its first event has been received.
    pub fn run(&mut self) -> Option<&mut Run> {
        match &mut self.state {
            State::Running(run) => Some(run),
            State::Placing(_) | State::Preparing(_) | State::Sent(_) | State::Ended => None,
        }
    }

    /// Waits until it advances. Nothing is lost if the future is dropped.
    pub async fn next(&mut self) -> Step {
        let step = match &mut self.state {
            State::Placing(work) => work.await.map(Step::Placed),
            State::Preparing(work) => work.await.map(Step::Prepared),
            State::Sent(work) => match work.await {
                Ok((run, first)) => {
                    self.silence = timeout::stall(self.generation.request.route.pause, 0.0);
                    self.state = State::Running(Box::new(run));
                    return Step::Begun(first);
                }
                Err(failure) => Err(failure),
            },
            State::Running(run) => return Step::Run(run.next().await),
            State::Ended => std::future::pending().await,
        };
        self.state = State::Ended;
        step.unwrap_or_else(Step::Failed)
    }
}
