//! The task of one generation: its attempts, and what reaches the caller.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::StatusCode;
use http::response::Parts;
use sardinepick_lib::fleet::admission::Reason;
use sardinepick_lib::fleet::event::Event;
use sardinepick_lib::fleet::handover::{Action, Handover, Stage};
use sardinepick_lib::fleet::health::Outcome;
use sardinepick_lib::fleet::holding::Purpose;
use sardinepick_lib::id::RunnerId;
use strum::IntoStaticStr;
use tokio::time::sleep;

use super::attempt::{Attempt, Failure, Prepared, Step};
use super::caller::{Caller, Sent};
use super::run::RunStep;
use super::{Generation, MAX_CALLS, MIN_TIME_LEFT, StopCause, millis, probe, version_text};
use crate::serve::execution::promises_not_run;
use crate::serve::in_progress::InProgress;
use crate::serve::quarantine;
use crate::serve::request::End;
use crate::serve::response::{Refusal, forward_response, full_body};

/// Why a request is moved to another runner.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
enum MoveCause {
    /// Its runner is silent, and answers others.
    Silent,
    /// Its runner is silent, and has left or does not answer a health check.
    Lost,
    /// Its call broke off.
    Broken,
}

/// How a generation has ended: with an answer, or without one because the caller has disconnected
/// or the request is refused.
type Ended = Result<Outcome, Option<(Refusal, StopCause)>>;

/// What a task waits for.
enum Wake {
    CallerLeft,
    Shed,
    Current(Step),
    Successor(Step),
    Probed(bool),
    Timer,
}

/// The task of one generation.
pub(super) struct GenerationTask {
    generation: Arc<Generation>,
    caller: Caller,
    current: Attempt,
    successor: Option<Attempt>,
    handover: Handover,
    /// The health check of the runner of a silent attempt.
    probe: Option<BoxFuture<'static, bool>>,
    /// Why the request is being moved.
    move_cause: Option<MoveCause>,
    last_event_at: Option<Instant>,
    /// An error response of a runner, kept while other runners are tried.
    error_answer: Option<(Parts, Bytes)>,
}

impl GenerationTask {
    /// Creates the task with its first attempt.
    pub fn new(generation: Arc<Generation>, caller: Caller) -> Self {
        let now = generation.now();
        let current = Attempt::place(&generation);
        let patience = generation.request.terms(now).patience;
        let handover = Handover::new(current.silence, patience, now);
        Self {
            generation,
            caller,
            current,
            successor: None,
            handover,
            probe: None,
            move_cause: None,
            last_event_at: None,
            error_answer: None,
        }
    }

    /// Serves the request to its end.
    pub async fn run(mut self, _in_progress: InProgress) {
        let ended = loop {
            if let Some(ended) = self.step().await {
                break ended;
            }
        };
        self.finish(ended).await;
    }

    async fn step(&mut self) -> Option<Ended> {
        let now = self.generation.now();
        let left = self.generation.request.time_left(now);
        let due = self.handover.due();
        let timer = due.map_or(left, |due| left.min(due.saturating_duration_since(now)));
        let wake = tokio::select! {
            woken = ended_by(&mut self.caller) => woken,
            step = self.current.next() => Wake::Current(step),
            step = next_of(self.successor.as_mut()) => Wake::Successor(step),
            alive = result_of(self.probe.as_mut()) => Wake::Probed(alive),
            () = sleep(timer) => Wake::Timer,
            () = self.generation.shared.shutdown.service_ended() => Wake::Timer,
        };
        match wake {
            Wake::CallerLeft => Some(Err(None)),
            Wake::Shed => Some(Err(Some(SHED))),
            Wake::Current(step) => self.on_current(step).await,
            Wake::Successor(step) => self.on_successor(step).await,
            Wake::Probed(alive) => {
                self.on_probed(alive);
                None
            }
            Wake::Timer => self.on_timer(),
        }
    }

    fn on_timer(&mut self) -> Option<Ended> {
        let generation = &self.generation;
        if generation.time_left().is_zero() {
            return Some(Err(Some(self.out_of_time())));
        }
        let may_move = self.may_move();
        match self.handover.poll(self.generation.now(), may_move) {
            Action::Prepare => self.prepare_successor(),
            Action::Drop => self.drop_successor("stayed"),
            Action::Promote => self.promote(),
            Action::None | Action::Send => {}
        }
        None
    }

    fn out_of_time(&self) -> (Refusal, StopCause) {
        let is_stopping = self.generation.shared.shutdown.is_service_over();
        let cause = if is_stopping { StopCause::Stopping } else { StopCause::Deadline };
        (self.generation.deadline_refusal(), cause)
    }

    /// Whether the request may have another attempt.
    fn may_move(&self) -> bool {
        let generation = &self.generation;
        let may_run = self.current.stage() == Stage::Preparing || generation.may_run_again();
        may_run && !self.is_out_of_calls() && generation.time_left() >= MIN_TIME_LEFT
    }

    /// Prepares a successor for an attempt that is silent, and checks its runner unless that has
    /// answered something else meanwhile.
    fn prepare_successor(&mut self) {
        let generation = &self.generation;
        let heard = self.handover.heard();
        let answered = self
            .current
            .runner
            .as_ref()
            .map(|id| (id.clone(), probe::has_answered(&generation.shared, id, heard)));
        let mut cause = MoveCause::Silent;
        match answered {
            Some((_, None)) => {
                cause = MoveCause::Lost;
                self.handover.note_lost();
            }
            Some((id, Some(false))) if self.probe.is_none() => {
                self.probe = Some(Box::pin(probe::is_alive(generation.shared.clone(), id)));
            }
            Some((_, Some(_))) | None => {}
        }
        self.move_cause = Some(cause);
        let silent = generation.now().saturating_duration_since(heard);
        let stage: &'static str = self.current.stage().into();
        log::info!(
            request:% = generation.request.id, runner = runner_of(&self.current), stage = stage,
            waited_ms = silent.as_millis() as u64, events = generation.attempts().events,
            left_ms = generation.time_left().as_millis() as u64; "runner silent"
        );
        self.successor = Some(Attempt::place(generation));
    }

    fn on_probed(&mut self, alive: bool) {
        self.probe = None;
        if alive {
            return;
        }
        self.move_cause = self.move_cause.map(|_| MoveCause::Lost);
        self.handover.note_lost();
        if let Some(run) = self.current.run() {
            run.note_lost();
        }
    }

    /// Gives up the current attempt; the successor takes its place.
    fn promote(&mut self) {
        let Some(successor) = self.successor.take() else { return };
        let now = self.generation.now();
        log::info!(
            request:% = self.generation.request.id, from = runner_of(&self.current),
            to = runner_of(&successor), cause = self.move_cause.map_or("", Into::into),
            silent_ms = now.saturating_duration_since(self.handover.heard()).as_millis() as u64,
            events = self.generation.attempts().events; "request moved"
        );
        if self.move_cause == Some(MoveCause::Silent) {
            self.current.supersede();
        }
        self.note_move("moved");
        self.probe = None;
        self.handover.note_promoted(successor.stage(), successor.silence, now);
        self.current = successor;
    }

    /// Gives up the successor, which is not needed or too slow.
    fn drop_successor(&mut self, outcome: &'static str) {
        self.note_move(outcome);
        if let Some(successor) = self.successor.take() {
            successor.supersede();
        }
    }

    /// Counts the end of a move, or of an attempt to move.
    fn note_move(&mut self, outcome: &'static str) {
        if let Some(cause) = self.move_cause.take() {
            let labels = [cause.into(), outcome];
            self.generation.shared.metrics.moves.with_label_values(&labels).inc();
            log::info!(
                request:% = self.generation.request.id, cause = labels[0], outcome = outcome,
                runner = runner_of(&self.current); "move ended"
            );
        }
    }

    /// Records that the current attempt has advanced. A successor is no longer needed then.
    fn note_advanced(&mut self) {
        let (stage, silence) = (self.current.stage(), self.current.silence);
        if self.handover.note_advanced(stage, silence, self.generation.now()) {
            self.drop_successor("stayed");
        }
    }

    async fn on_current(&mut self, step: Step) -> Option<Ended> {
        match step {
            Step::Placed(placed) => {
                if let Some(prepared) = self.current.prepare(placed) {
                    self.current.send(prepared);
                }
                self.note_advanced();
                None
            }
            Step::Prepared(prepared) => {
                self.current.send(prepared);
                self.note_advanced();
                None
            }
            Step::Begun(step) | Step::Run(step) => self.on_run(step).await,
            Step::Failed(failure) => self.on_failure(failure),
        }
    }

    async fn on_run(&mut self, step: RunStep) -> Option<Ended> {
        match step {
            RunStep::Event(event) => {
                if !self.bind_to_current() {
                    return self.on_failure(Failure::Broken);
                }
                self.note_advanced();
                match self.forward_event(event).await {
                    Sent::Delivered => None,
                    Sent::Disconnected => Some(Err(None)),
                    Sent::TimedOut => Some(Err(Some(self.out_of_time()))),
                    Sent::Shed => Some(Err(Some(SHED))),
                }
            }
            RunStep::Complete => {
                self.note_advanced();
                self.note_move("moved");
                let generation = &self.generation;
                quarantine::note_answered(&generation.shared, &generation.request.fingerprint);
                if let Some(run) = self.current.run() {
                    // A stream without events is still complete.
                    self.caller.end_empty_stream(&run.head);
                }
                match self.caller.complete(self.generation.time_left()).await {
                    Sent::Delivered => Some(Ok(Outcome::Answered)),
                    Sent::Disconnected => Some(Err(None)),
                    Sent::TimedOut => Some(Err(Some(self.out_of_time()))),
                    Sent::Shed => Some(Err(Some(SHED))),
                }
            }
            RunStep::Broken { begun } => {
                if let Some(run) = self.current.run() {
                    run.note_broken(begun).await;
                }
                self.on_failure(Failure::Broken)
            }
        }
    }

    /// Binds the stream to the version of the current run. Returns false if the run must not
    /// continue the stream; it has been given up then.
    fn bind_to_current(&mut self) -> bool {
        let generation = &self.generation;
        let Some(run) = self.current.run() else { return true };
        if !run.is_replaced() && generation.bind(&run.version) {
            return true;
        }
        run.reject();
        false
    }

    /// Goes on after the current attempt has failed.
    fn on_failure(&mut self, failure: Failure) -> Option<Ended> {
        match failure {
            Failure::Stopped(refusal, cause) => {
                self.note_move(cause.into());
                return Some(Err(Some((refusal, cause))));
            }
            Failure::Denied(Some(prepared))
                if prepared.cache.is_some() && !self.is_out_of_calls() =>
            {
                // The KV cache is kept for another decode runner.
                self.current.prepare_again(*prepared);
                self.note_advanced();
                return None;
            }
            Failure::Answer(head, body) => {
                if let Some(ended) = self.on_answer(*head, body) {
                    return Some(ended);
                }
            }
            Failure::NotRun | Failure::Denied(_) => {}
            Failure::Broken => {
                if let Some(ended) = self.on_broken() {
                    return Some(ended);
                }
            }
        }
        if self.successor.is_some() {
            self.promote();
            return None;
        }
        if self.is_out_of_calls() {
            let refusal = self.generation.final_refusal(Reason::Shed);
            return Some(Err(Some((refusal, StopCause::Calls))));
        }
        // Another runner would cost the caller another timeout.
        let has_waited = self.generation.attempts().has_waited;
        if has_waited && self.generation.shared.connector.is_isolated() {
            let refusal = self.generation.final_refusal(self.generation.no_runner());
            return Some(Err(Some((refusal, StopCause::NoRunner))));
        }
        self.current = Attempt::place(&self.generation);
        self.note_advanced();
        None
    }

    fn is_out_of_calls(&self) -> bool {
        self.generation.attempts().calls >= MAX_CALLS
    }

    fn on_broken(&mut self) -> Option<Ended> {
        self.move_cause.get_or_insert(MoveCause::Broken);
        if self.successor.is_none() && !self.generation.may_run_again() {
            self.note_move(StopCause::Attempts.into());
            return Some(Err(Some((Refusal::Broken, StopCause::Attempts))));
        }
        None
    }

    /// Passes on a response that is not a stream, unless the request may be tried again.
    fn on_answer(&mut self, head: Parts, body: Bytes) -> Option<Ended> {
        let is_success = head.status.is_success();
        if promises_not_run(head.status) {
            return self.on_broken();
        }
        if head.status.is_server_error() {
            if self.generation.may_run_again() {
                self.error_answer = Some((head, body));
                return self.on_broken();
            }
        } else {
            let generation = &self.generation;
            quarantine::note_answered(&generation.shared, &generation.request.fingerprint);
        }
        if self.caller.respond(forward_response(&head, full_body(body))) {
            return Some(Ok(if is_success { Outcome::Answered } else { Outcome::Failed }));
        }
        self.on_broken()
    }

    async fn on_successor(&mut self, step: Step) -> Option<Ended> {
        match step {
            Step::Placed(placed) => {
                let prepared = self.successor.as_mut().and_then(|next| next.prepare(placed));
                if let Some(prepared) = prepared {
                    self.on_successor_prepared(prepared);
                }
                None
            }
            Step::Prepared(prepared) => {
                self.on_successor_prepared(prepared);
                None
            }
            Step::Begun(step) | Step::Run(step) => {
                self.promote();
                self.on_run(step).await
            }
            Step::Failed(failure) => {
                self.on_successor_failed(&failure);
                None
            }
        }
    }

    fn on_successor_prepared(&mut self, prepared: Prepared) {
        let action = self.handover.note_prepared(prepared.first_event(), self.generation.now());
        match action {
            Action::Send | Action::Promote => {
                if let Some(successor) = &mut self.successor {
                    successor.send(prepared);
                }
                if action == Action::Promote {
                    self.promote();
                }
            }
            Action::Drop | Action::None | Action::Prepare => self.drop_successor("too_slow"),
        }
    }

    fn on_successor_failed(&mut self, failure: &Failure) {
        let outcome = match failure {
            Failure::Stopped(_, cause) => (*cause).into(),
            Failure::NotRun => "not_run",
            Failure::Denied(_) => StopCause::RateLimit.into(),
            Failure::Broken | Failure::Answer(..) => "failed",
        };
        self.note_move(outcome);
        self.successor = None;
        self.handover.note_no_successor(self.generation.now());
    }

    /// Forwards one event, before the deadline.
    async fn forward_event(&mut self, event: Event) -> Sent {
        let generation = &self.generation;
        let (now, request) = (generation.now(), &generation.request);
        let number = {
            let mut attempts = generation.attempts();
            attempts.events += 1;
            if event.id.is_some() {
                attempts.last_event = event.id;
            }
            attempts.events
        };
        let metrics = &generation.shared.metrics;
        match self.last_event_at.replace(now) {
            Some(last) => {
                let pause = now.saturating_duration_since(last).as_secs_f64();
                metrics.event_pause.with_label_values(&[&request.route.name]).observe(pause);
            }
            None => {
                let took = now.saturating_duration_since(request.arrived).as_secs_f64();
                let labels = [request.route.kind.into(), "answered"];
                metrics.first_byte.with_label_values(&labels).observe(took);
                let version = generation.attempts().version.clone();
                log::info!(
                    request:% = request.id, first_ms = millis(took),
                    runner = runner_of(&self.current),
                    runner_version = version_text(version.as_ref()),
                    plan = generation.attempts().plan; "first event"
                );
            }
        }
        if number == 1 {
            generation.shared.usage.count_request(request.account.as_ref());
        }
        self.note_move("moved");
        if let Some(run) = self.current.run() {
            let generation = &self.generation;
            let holding = &generation.shared.holding;
            let hold = || holding.begin(generation.request.holder(Purpose::Stream));
            self.caller.begin_stream(&run.head, hold);
        }
        self.caller.send_event(event.bytes, self.generation.time_left()).await
    }

    /// Completes the caller's response and logs the outcome.
    async fn finish(mut self, ended: Ended) {
        let generation = self.generation.clone();
        let (shared, request) = (&generation.shared, &generation.request);
        let mut line = End::default();
        match ended {
            Ok(outcome) => {
                line.outcome = if outcome == Outcome::Answered { "answered" } else { "failed" };
                line.status = StatusCode::OK.as_u16();
            }
            Err(None) => line.outcome = "left",
            Err(Some((refusal, cause))) => {
                let refusal = generation.attempts().execution.truthful(refusal);
                line.outcome = "refused";
                line.stop_cause = cause.into();
                line.reason = refusal.reason();
                line.status = refusal.status().as_u16();
                if self.caller.is_streaming() {
                    line.outcome = "cut";
                } else if let Some((head, body)) = self.error_answer.take() {
                    line.outcome = "failed";
                    line.status = head.status.as_u16();
                    self.caller.respond(forward_response(&head, full_body(body)));
                } else {
                    self.caller.respond(refusal.response());
                }
            }
        }
        let last = generation.attempts().tried.last().cloned();
        let version = last.and_then(|id| generation.version_of(&id));
        line.runner_version = version_text(version.as_ref());
        let attempts = generation.attempts();
        (line.register, line.tries, line.events) =
            (attempts.register, attempts.calls, attempts.events);
        line.runs = attempts.execution.runs();
        line.runner = attempts.tried.last().map(RunnerId::as_str).unwrap_or_default();
        if attempts.is_unused_trial() {
            quarantine::return_trial(shared, &request.fingerprint);
        }
        request.log_end(shared, &line);
    }
}

/// The end of a stream that the node has no space for. It has run, and its caller sees a cut body.
const SHED: (Refusal, StopCause) = (Refusal::Broken, StopCause::NodeFull);

/// Waits until the caller has disconnected or what it has not read is shed.
async fn ended_by(caller: &mut Caller) -> Wake {
    if let Caller::Streaming(events, hold) = caller {
        return tokio::select! {
            () = events.closed() => Wake::CallerLeft,
            () = hold.shed() => Wake::Shed,
        };
    }
    caller.disconnected().await;
    Wake::CallerLeft
}

fn runner_of(attempt: &Attempt) -> &str {
    attempt.runner.as_ref().map_or("", RunnerId::as_str)
}

/// The next step of an attempt, if there is one.
async fn next_of(attempt: Option<&mut Attempt>) -> Step {
    match attempt {
        Some(attempt) => attempt.next().await,
        None => std::future::pending().await,
    }
}

async fn result_of(probe: Option<&mut BoxFuture<'static, bool>>) -> bool {
    match probe {
        Some(probe) => probe.await,
        None => std::future::pending().await,
    }
}
