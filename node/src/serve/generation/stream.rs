//! Running a generation on a runner and forwarding its events.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::StreamExt as _;
use http::header::CONTENT_LENGTH;
use http::response::Parts;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Frame;
use sardinepick_lib::fleet::cache::Progress;
use sardinepick_lib::fleet::event::{Event, Splitter};
use sardinepick_lib::fleet::health::Outcome;
use sardinepick_lib::fleet::placement::Placement;
use sardinepick_lib::fleet::register::WorkCost;
use sardinepick_lib::fleet::scheduler::Observation;
use sardinepick_lib::fleet::suspect::RunProgress;
use sardinepick_lib::fleet::timeout;
use sardinepick_lib::id::{RunnerId, ServiceId};
use sardinepick_platform::answer::{Verdict, classify, is_stream};
use sardinepick_platform::runner::CallKind;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_stream::wrappers::ReceiverStream;

use super::{AttemptOutcome, Caller, GenerationTask, MAX_ANSWER_BYTES, Stop, millis, send_head};
use crate::serve::connection::{Answer, Lease};
use crate::serve::plain::promises_not_run;
use crate::serve::quarantine;
use crate::serve::reservation::{Reservation, Step};
use crate::serve::response::{forward_response, full_body};
use crate::serve::shared::Shared;

/// How many events are buffered for a slow caller before backpressure reaches the runner.
const EVENT_BUFFER: usize = 64;

impl GenerationTask {
    /// Runs the request on a runner and forwards its answer.
    pub(super) async fn run_on(
        &mut self,
        id: &RunnerId,
        kind: CallKind,
        cost: WorkCost,
        placement: &Placement,
    ) -> Result<AttemptOutcome, Stop> {
        self.take_retry_budget()?;
        self.tried.push(id.clone());
        let left = self.request.time_left(self.shared.clock.now());
        let mut reservation = Reservation::new(&self.shared, id, Step::Run, cost);
        self.calls += 1;
        let Some(address) = self.address(id) else { return Ok(AttemptOutcome::NotRun) };
        let is_whole = kind == CallKind::Run;
        let fetch = placement.fetch.as_ref().filter(|_| is_whole);
        let fetch = fetch.and_then(|source| self.address(source));
        if is_whole {
            self.note_cached(&reservation, Progress::Started);
        }
        let request = self.runner_request(id, kind, cost.class, left, fetch);
        // If the request may be retried, a runner that stays silent is given up early.
        let limit = if self.may_retry() {
            left.min(self.idle_timeout(placement.first_event))
        } else {
            left
        };
        self.runs += 1;
        self.arrivals += 1;
        let target = reservation.target(address);
        let sent = self.shared.dispatcher.send(target, &self.request.id, request);
        let sent = tokio::select! {
            () = self.caller.disconnected() => {
                if is_whole {
                    reservation.learn_abandoned(placement, placement.first_event);
                }
                return Ok(AttemptOutcome::CallerLeft);
            }
            sent = timeout(limit, sent) => sent,
        };
        let answer = match sent {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => {
                if !error.is_local() {
                    reservation.conclude(Outcome::Broken);
                }
                log::info!(
                    request:% = self.request.id, runner:% = id, error:% = error,
                    unsent = error.proves_unsent(); "call failed"
                );
                if error.proves_unsent() {
                    self.runs -= 1;
                    self.arrivals -= 1;
                    return Ok(if error.is_rate_limited() {
                        AttemptOutcome::Denied
                    } else {
                        AttemptOutcome::NotRun
                    });
                }
                self.note_broken(&reservation, false).await;
                return Ok(AttemptOutcome::Broken);
            }
            Err(_) => {
                reservation.conclude(Outcome::Broken);
                log::info!(
                    request:% = self.request.id, runner:% = id,
                    waited_ms = limit.as_millis() as u64; "runner silent"
                );
                let expired = self.request.time_left(self.shared.clock.now()).is_zero();
                return Ok(if expired { AttemptOutcome::Late } else { AttemptOutcome::Broken });
            }
        };
        match classify(answer.head.status, &answer.head.headers, id, &self.request.id) {
            Verdict::Ran if answer.head.status.is_success() && is_stream(&answer.head.headers) => {
                let placement = is_whole.then_some(placement);
                self.forward_stream(&mut reservation, answer, placement).await
            }
            Verdict::Ran => self.forward_plain(&mut reservation, answer).await,
            verdict @ (Verdict::NotRun | Verdict::OtherInstance) => {
                self.runs -= 1;
                let replaced = verdict == Verdict::OtherInstance;
                reservation.conclude(if replaced { Outcome::Gone } else { Outcome::Failed });
                log::info!(
                    request:% = self.request.id, runner:% = id,
                    status = answer.head.status.as_u16(); "runner did not run it"
                );
                answer.discard(MAX_ANSWER_BYTES).await;
                Ok(AttemptOutcome::NotRun)
            }
            Verdict::Mismatched => {
                reservation.conclude(Outcome::Broken);
                log::warn!(request:% = self.request.id, runner:% = id; "answer to another request");
                Ok(AttemptOutcome::Broken)
            }
        }
    }

    /// How long a runner may send nothing before the request is retried on another.
    fn idle_timeout(&self, predicted: f64) -> Duration {
        timeout::stall(self.request.route.pause, predicted)
    }

    /// Handles a response that is not a stream, usually an error of the runner itself.
    async fn forward_plain(
        &mut self,
        reservation: &mut Reservation,
        answer: Answer,
    ) -> Result<AttemptOutcome, Stop> {
        let Ok((head, body)) = answer.read(MAX_ANSWER_BYTES).await else {
            reservation.conclude(Outcome::Broken);
            self.note_broken(reservation, true).await;
            return Ok(AttemptOutcome::Broken);
        };
        let is_success = head.status.is_success();
        reservation.conclude(if is_success { Outcome::Answered } else { Outcome::Failed });
        if promises_not_run(head.status) {
            return Ok(AttemptOutcome::Broken);
        }
        if head.status.is_server_error() && self.may_retry() {
            self.error_answer = Some((head, body));
            return Ok(AttemptOutcome::Broken);
        }
        if let Caller::Waiting(sender) = &mut self.caller {
            send_head(sender, forward_response(&head, full_body(body)));
            return Ok(AttemptOutcome::Done(if is_success {
                Outcome::Answered
            } else {
                Outcome::Failed
            }));
        }
        Ok(AttemptOutcome::Broken)
    }

    /// Forwards events until the answer is complete or breaks off.
    async fn forward_stream(
        &mut self,
        reservation: &mut Reservation,
        answer: Answer,
        placement: Option<&Placement>,
    ) -> Result<AttemptOutcome, Stop> {
        let Answer { mut head, mut body, lease } = answer;
        // `Content-Length` covers one run, but the caller may receive events of several.
        head.headers.remove(CONTENT_LENGTH);
        let mut splitter = Splitter::default();
        let mut first = true;
        let mut started_at = None;
        let mut active_stream = None;
        loop {
            let left = self.request.time_left(self.shared.clock.now());
            let idle_timeout =
                if self.may_retry() { self.idle_timeout(0.0).min(left) } else { left };
            let next = tokio::select! {
                () = self.caller.disconnected() => {
                    if let Some(placement) = placement.filter(|_| first) {
                        reservation.learn_abandoned(placement, placement.first_event);
                    }
                    return Ok(AttemptOutcome::CallerLeft);
                }
                next = timeout(idle_timeout, body.frame()) => next,
            };
            let frame = match next {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) => {
                    let now = self.shared.clock.now();
                    if let Some(took) = started_at.map(|at| now.saturating_duration_since(at)) {
                        reservation.learn(Observation::Stream(took.as_secs_f64()));
                    }
                    return self.finish_stream(reservation, &head, &splitter, lease).await;
                }
                Ok(Some(Err(error))) => {
                    reservation.conclude(Outcome::Broken);
                    self.log_broken_stream(reservation, &error.to_string());
                    self.note_broken(reservation, true).await;
                    return Ok(AttemptOutcome::Broken);
                }
                Err(_) => {
                    reservation.conclude(Outcome::Broken);
                    self.log_broken_stream(reservation, "no sign of life");
                    let expired = self.request.time_left(self.shared.clock.now()).is_zero();
                    return Ok(if expired { AttemptOutcome::Late } else { AttemptOutcome::Broken });
                }
            };
            let Ok(data) = frame.into_data() else { continue };
            splitter.push(&data);
            while let Some(event) = splitter.next_event() {
                if first {
                    first = false;
                    if self.events == 0 {
                        self.shared.usage.count_request(self.request.account.as_ref());
                    }
                    started_at = Some(self.shared.clock.now());
                    active_stream.get_or_insert_with(|| ActiveStream::new(self));
                    reservation.note_prefilled();
                    if let Some(placement) = placement {
                        let held = reservation.held().as_secs_f64();
                        reservation.learn(placement.observation(placement.first_event, held));
                    }
                    self.note_cached(reservation, Progress::Prefilled);
                }
                reservation.note_alive();
                if !self.forward_event(&head, event).await {
                    return Ok(AttemptOutcome::CallerLeft);
                }
            }
        }
    }

    /// Records a crash if the runner's process ended during a call that broke off.
    pub(super) async fn note_broken(&mut self, reservation: &Reservation, begun: bool) {
        let progress = RunProgress { events: self.events, begun };
        let crashes =
            quarantine::count::note_broken(&self.shared, reservation, &self.request, progress)
                .await;
        self.crashes = self.crashes.max(crashes);
    }

    /// Logs that a stream broke off: how long it was silent, and how long ago the runner last
    /// answered anything of this node.
    fn log_broken_stream(&self, reservation: &Reservation, detail: &str) {
        let now = self.shared.clock.now();
        let since = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        let seen = reservation.with_runner(|runner| runner.health.last_seen()).flatten();
        log::info!(
            request:% = self.request.id, runner:% = reservation.runner(), error = detail,
            events = self.events, silent_ms = self.last_event_at.map(since),
            runner_seen_ms = seen.map(since),
            left_ms = self.request.time_left(now).as_millis() as u64; "stream broke off"
        );
    }

    /// Decides whether a stream that ended is complete.
    async fn finish_stream(
        &mut self,
        reservation: &mut Reservation,
        head: &Parts,
        splitter: &Splitter,
        lease: Lease,
    ) -> Result<AttemptOutcome, Stop> {
        if !splitter.rest().is_empty() {
            reservation.conclude(Outcome::Broken);
            self.log_broken_stream(reservation, "ended within an event");
            self.note_broken(reservation, true).await;
            return Ok(AttemptOutcome::Broken);
        }
        lease.return_to_pool();
        reservation.conclude(Outcome::Answered);
        if let Caller::Waiting(sender) = &mut self.caller {
            // A stream without events is still complete.
            send_head(sender, forward_response(head, full_body(Bytes::new())));
        }
        Ok(AttemptOutcome::Done(Outcome::Answered))
    }

    /// Forwards one event; false if the caller has disconnected.
    async fn forward_event(&mut self, head: &Parts, event: Event) -> bool {
        let now = self.shared.clock.now();
        self.events += 1;
        if event.id.is_some() {
            self.last_event = event.id;
        }
        let route = &self.request.route;
        match self.last_event_at.replace(now) {
            Some(last) => {
                let pause = now.saturating_duration_since(last).as_secs_f64();
                self.shared.metrics.event_pause.with_label_values(&[&route.name]).observe(pause);
            }
            None => {
                let took = now.saturating_duration_since(self.request.arrived).as_secs_f64();
                let labels = [route.kind.into(), "answered"];
                self.shared.metrics.first_byte.with_label_values(&labels).observe(took);
                log::info!(
                    request:% = self.request.id, first_ms = millis(took), plan = self.plan;
                    "first event"
                );
            }
        }
        if let Caller::Waiting(sender) = &mut self.caller {
            let (events, receiver) = mpsc::channel(EVENT_BUFFER);
            let body = StreamBody::new(ReceiverStream::new(receiver).boxed());
            send_head(sender, forward_response(head, body.boxed_unsync()));
            self.caller = Caller::Streaming(events);
        }
        match &self.caller {
            Caller::Streaming(events) => events.send(Ok(Frame::data(event.bytes))).await.is_ok(),
            Caller::Waiting(_) => false,
        }
    }
}

/// Counts a stream as active until it is dropped.
struct ActiveStream {
    shared: Arc<Shared>,
    service: ServiceId,
    tokens: u64,
}

impl ActiveStream {
    fn new(task: &GenerationTask) -> Self {
        let (shared, service) = (task.shared.clone(), task.request.service.clone());
        let tokens = task.work.footprint();
        shared.demand().entry(service.clone()).or_default().begin(tokens);
        Self { shared, service, tokens }
    }
}

impl Drop for ActiveStream {
    fn drop(&mut self) {
        if let Some(demand) = self.shared.demand().get_mut(&self.service) {
            demand.end(self.tokens);
        }
    }
}
