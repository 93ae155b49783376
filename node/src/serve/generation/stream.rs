//! Running a generation at a runner, and passing its events on.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt as _;
use http::header::CONTENT_LENGTH;
use http::response::Parts;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Frame;
use sardinepick_lib::fleet::cache::Progress;
use sardinepick_lib::fleet::event::{Event, Splitter};
use sardinepick_lib::fleet::health::Outcome;
use sardinepick_lib::fleet::patience;
use sardinepick_lib::fleet::place::Placement;
use sardinepick_lib::fleet::register::Share;
use sardinepick_lib::fleet::scheduler::Lesson;
use sardinepick_lib::fleet::suspect::Reach;
use sardinepick_lib::id::{RunnerId, ServiceId};
use sardinepick_platform::answer::{Verdict, classify, is_stream};
use sardinepick_platform::runner::CallKind;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_stream::wrappers::ReceiverStream;

use super::{Caller, Came, LARGEST, Stop, Way, millis, send_head};
use crate::serve::answer::{pass_on, whole};
use crate::serve::connection::{Answer, Lease};
use crate::serve::plain::promises_not_run;
use crate::serve::quarantine;
use crate::serve::shared::Shared;
use crate::serve::ticket::{Step, Ticket};

/// How many events may wait for a slow caller before the runner is held back.
const EVENTS_AHEAD: usize = 64;
impl Way {
    /// Runs the request at a runner and passes its answer on.
    pub(super) async fn run_at(
        &mut self,
        id: &RunnerId,
        step: CallKind,
        share: Share,
        placement: &Placement,
    ) -> Result<Came, Stop> {
        self.pay()?;
        self.tried.push(id.clone());
        let left = self.request.left(self.shared.clock.now());
        let mut ticket = Ticket::new(&self.shared, id, Step::Run, share);
        self.calls += 1;
        let Some(address) = self.address(id) else { return Ok(Came::NotRun) };
        let is_whole = step == CallKind::Run;
        let fetch = placement.fetch.as_ref().filter(|_| is_whole);
        let fetch = fetch.and_then(|source| self.address(source));
        if is_whole {
            self.note_cached(&ticket, Progress::Begun);
        }
        let outgoing = self.outgoing(id, step, share.class, left, fetch);
        // A run that may be repeated is not left with a runner that gives no sign of life.
        let limit =
            if self.may_run_again() { left.min(self.silence(placement.first)) } else { left };
        self.runs += 1;
        self.arrivals += 1;
        let target = ticket.target(address);
        let sent = self.shared.dispatcher.send(target, &self.request.id, outgoing);
        let sent = tokio::select! {
            () = self.caller.left() => {
                if is_whole {
                    ticket.learn_in_vain(placement, placement.first);
                }
                return Ok(Came::CallerLeft);
            }
            sent = timeout(limit, sent) => sent,
        };
        let answer = match sent {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => {
                if !error.is_denied() {
                    ticket.conclude(Outcome::Broken);
                }
                log::info!(
                    request:% = self.request.id, runner:% = id, error:% = error,
                    unsent = error.proves_unsent(); "call failed"
                );
                if error.proves_unsent() {
                    self.runs -= 1;
                    self.arrivals -= 1;
                    return Ok(if error.is_denied() { Came::Denied } else { Came::NotRun });
                }
                self.note_broken(&ticket, false).await;
                return Ok(Came::Broken);
            }
            Err(_) => {
                ticket.conclude(Outcome::Broken);
                log::info!(
                    request:% = self.request.id, runner:% = id,
                    waited_ms = limit.as_millis() as u64; "runner silent"
                );
                let over = self.request.left(self.shared.clock.now()).is_zero();
                return Ok(if over { Came::Late } else { Came::Broken });
            }
        };
        match classify(answer.head.status, &answer.head.headers, id, &self.request.id) {
            Verdict::Ran if answer.head.status.is_success() && is_stream(&answer.head.headers) => {
                let placement = is_whole.then_some(placement);
                self.stream(&mut ticket, answer, placement).await
            }
            Verdict::Ran => self.answered(&mut ticket, answer).await,
            verdict @ (Verdict::NotRun | Verdict::OtherInstance) => {
                self.runs -= 1;
                let gone = verdict == Verdict::OtherInstance;
                ticket.conclude(if gone { Outcome::Gone } else { Outcome::Failed });
                log::info!(
                    request:% = self.request.id, runner:% = id,
                    status = answer.head.status.as_u16(); "runner did not run it"
                );
                answer.discard(LARGEST).await;
                Ok(Came::NotRun)
            }
            Verdict::Mismatched => {
                ticket.conclude(Outcome::Broken);
                log::warn!(request:% = self.request.id, runner:% = id; "answer to another request");
                Ok(Came::Broken)
            }
        }
    }

    /// How long a runner may be silent before the request goes on elsewhere.
    fn silence(&self, predicted: f64) -> Duration {
        patience::silence(self.request.route.pause, predicted)
    }

    /// Takes an answer that is no stream: a failure of the runner's, signed by it.
    async fn answered(&mut self, ticket: &mut Ticket, answer: Answer) -> Result<Came, Stop> {
        let Ok((head, body)) = answer.read(LARGEST).await else {
            ticket.conclude(Outcome::Broken);
            self.note_broken(ticket, true).await;
            return Ok(Came::Broken);
        };
        let good = head.status.is_success();
        ticket.conclude(if good { Outcome::Answered } else { Outcome::Failed });
        if promises_not_run(head.status) {
            return Ok(Came::Broken);
        }
        if head.status.is_server_error() && self.may_run_again() {
            self.failed = Some((head, body));
            return Ok(Came::Broken);
        }
        if let Caller::Waiting(sender) = &mut self.caller {
            send_head(sender, pass_on(&head, whole(body)));
            return Ok(Came::Done(if good { Outcome::Answered } else { Outcome::Failed }));
        }
        Ok(Came::Broken)
    }

    /// Passes events on until the answer is whole or breaks off.
    async fn stream(
        &mut self,
        ticket: &mut Ticket,
        answer: Answer,
        placement: Option<&Placement>,
    ) -> Result<Came, Stop> {
        let Answer { mut head, mut body, lease } = answer;
        // The length is that of one run; the caller may get the events of more than one.
        head.headers.remove(CONTENT_LENGTH);
        let mut splitter = Splitter::default();
        let mut first = true;
        let mut began = None;
        let mut streaming = None;
        loop {
            let left = self.request.left(self.shared.clock.now());
            let silence = if self.may_run_again() { self.silence(0.0).min(left) } else { left };
            let next = tokio::select! {
                () = self.caller.left() => {
                    if let Some(placement) = placement.filter(|_| first) {
                        ticket.learn_in_vain(placement, placement.first);
                    }
                    return Ok(Came::CallerLeft);
                }
                next = timeout(silence, body.frame()) => next,
            };
            let frame = match next {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) => {
                    let now = self.shared.clock.now();
                    if let Some(took) = began.map(|at| now.saturating_duration_since(at)) {
                        ticket.learn(Lesson::Stream(took.as_secs_f64()));
                    }
                    return self.ended(ticket, &head, &splitter, lease).await;
                }
                Ok(Some(Err(error))) => {
                    ticket.conclude(Outcome::Broken);
                    self.log_cut(ticket, &error.to_string());
                    self.note_broken(ticket, true).await;
                    return Ok(Came::Broken);
                }
                Err(_) => {
                    ticket.conclude(Outcome::Broken);
                    self.log_cut(ticket, "no sign of life");
                    let over = self.request.left(self.shared.clock.now()).is_zero();
                    return Ok(if over { Came::Late } else { Came::Broken });
                }
            };
            let Ok(data) = frame.into_data() else { continue };
            splitter.push(&data);
            while let Some(event) = splitter.next_event() {
                if first {
                    first = false;
                    if self.events == 0 {
                        self.shared.usage.note(self.request.account.as_ref());
                    }
                    began = Some(self.shared.clock.now());
                    streaming.get_or_insert_with(|| Streaming::new(self));
                    ticket.note_read();
                    if let Some(placement) = placement {
                        let held = ticket.held().as_secs_f64();
                        ticket.learn(placement.lesson(placement.first, held));
                    }
                    self.note_cached(ticket, Progress::Read);
                }
                ticket.note_life();
                if !self.pass(&head, event).await {
                    return Ok(Came::CallerLeft);
                }
            }
        }
    }

    /// Notes whether the runner of a call that broke off has ended under it.
    pub(super) async fn note_broken(&mut self, ticket: &Ticket, begun: bool) {
        let reach = Reach { events: self.events, begun };
        let ends = quarantine::count::note_broken(&self.shared, ticket, &self.request, reach).await;
        self.ends = self.ends.max(ends);
    }

    fn log_cut(&self, ticket: &Ticket, detail: &str) {
        log::info!(
            request:% = self.request.id, runner:% = ticket.runner(), error = detail,
            events = self.events; "stream broke off"
        );
    }

    /// Judges the end of a runner's stream.
    async fn ended(
        &mut self,
        ticket: &mut Ticket,
        head: &Parts,
        splitter: &Splitter,
        lease: Lease,
    ) -> Result<Came, Stop> {
        if !splitter.rest().is_empty() {
            ticket.conclude(Outcome::Broken);
            self.log_cut(ticket, "ended within an event");
            self.note_broken(ticket, true).await;
            return Ok(Came::Broken);
        }
        lease.give_back();
        ticket.conclude(Outcome::Answered);
        if let Caller::Waiting(sender) = &mut self.caller {
            // A stream without any event is whole all the same.
            send_head(sender, pass_on(head, whole(Bytes::new())));
        }
        Ok(Came::Done(Outcome::Answered))
    }

    /// Passes one event on; false if the caller has left.
    async fn pass(&mut self, head: &Parts, event: Event) -> bool {
        let now = self.shared.clock.now();
        self.events += 1;
        if event.id.is_some() {
            self.last_event = event.id;
        }
        let route = &self.request.route;
        match self.last_at.replace(now) {
            Some(last) => {
                let pause = now.saturating_duration_since(last).as_secs_f64();
                self.shared.metrics.pause.with_label_values(&[&route.name]).observe(pause);
            }
            None => {
                let took = now.saturating_duration_since(self.request.arrived).as_secs_f64();
                let labels = [route.kind.into(), "answered"];
                self.shared.metrics.first.with_label_values(&labels).observe(took);
                log::info!(
                    request:% = self.request.id, first_ms = millis(took), plan = self.plan;
                    "first event"
                );
            }
        }
        if let Caller::Waiting(sender) = &mut self.caller {
            let (events, receiver) = mpsc::channel(EVENTS_AHEAD);
            let body = StreamBody::new(ReceiverStream::new(receiver).boxed());
            send_head(sender, pass_on(head, body.boxed_unsync()));
            self.caller = Caller::Streaming(events);
        }
        match &self.caller {
            Caller::Streaming(events) => events.send(Ok(Frame::data(event.bytes))).await.is_ok(),
            Caller::Waiting(_) => false,
        }
    }
}

/// A stream under way, counted until it is dropped.
struct Streaming {
    shared: Arc<Shared>,
    service: ServiceId,
    tokens: u64,
}

impl Streaming {
    fn new(way: &Way) -> Self {
        let (shared, service) = (way.shared.clone(), way.request.service.clone());
        let tokens = way.work.footprint();
        shared.demand().entry(service.clone()).or_default().begin(tokens);
        Self { shared, service, tokens }
    }
}

impl Drop for Streaming {
    fn drop(&mut self) {
        if let Some(demand) = self.shared.demand().get_mut(&self.service) {
            demand.end(self.tokens);
        }
    }
}
