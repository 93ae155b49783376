//! A generation's way: the gate, a plan, the reading of the prompt, the stream of events.
//!
//! The way runs in a task of its own that holds all of its state. The caller's side gets the head of
//! the answer with the first event, so that a generation that fails before it still has a status of
//! its own; and then whole events only. When the caller leaves, the task ends and with it the
//! connection to the runner, which stops the work there.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::StreamExt as _;
use http::header::CONTENT_LENGTH;
use http::response::Parts;
use http::{Response, StatusCode};
use http_body_util::{BodyExt as _, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use sardinepick_lib::fleet::engine::Work;
use sardinepick_lib::fleet::event::{Event, Splitter};
use sardinepick_lib::fleet::gate::{Reason, urgency};
use sardinepick_lib::fleet::health::Outcome;
use sardinepick_lib::fleet::load::Class;
use sardinepick_lib::fleet::place::{self, Placement, Plan, Question};
use sardinepick_lib::fleet::register::{Reading, Share};
use sardinepick_lib::fleet::runner::Tag;
use sardinepick_lib::id::{RunnerId, ServiceId};
use sardinepick_platform::answer::{Verdict, is_stream, judge};
use sardinepick_platform::runner::{self, Call, Handle, Step as Ask, read_handle as decode_handle};
use smallvec::SmallVec;
use smol_str::SmolStr;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use tokio_stream::wrappers::ReceiverStream;

use crate::serve::answer::{Body, Cut, Refusal, pass_on, whole};
use crate::serve::connection::{Answer, Lease};
use crate::serve::plain::{CONNECT_LIMIT, promises_not_run};
use crate::serve::request::{End, Request, UnderWay};
use crate::serve::shared::Shared;
use crate::serve::ticket::{Step, Ticket};

/// How many events may wait for a slow caller before the runner is held back.
const EVENTS_AHEAD: usize = 64;
/// The most calls for one request, those included that reached nobody.
const MOST_CALLS: u32 = 8;
/// The shortest silence after which a stream goes on elsewhere. Shorter ones are common where a
/// runner reads a long prompt between two tokens.
const SILENCE: Duration = Duration::from_millis(1_000);
/// How many of the pauses that the route allows a runner may be silent, if that is longer.
const SILENT_PAUSES: f64 = 2.5;
/// How much later than predicted a prompt may be read before it is read elsewhere, as a factor and
/// a time besides.
const READ_SLACK: (f64, Duration) = (3.0, Duration::from_millis(400));
/// The largest answer that is no stream.
const LARGEST: usize = 1 << 20;
/// The least time left in which going on elsewhere can still be of use.
const LEAST_LEFT: Duration = Duration::from_millis(150);

/// Answers a generation.
pub async fn answer(shared: &Arc<Shared>, request: Request, under_way: UnderWay) -> Response<Body> {
    let (head, answer) = oneshot::channel();
    let way = Way {
        shared: shared.clone(),
        work: request.ask.work.clone().unwrap_or_default(),
        last_event: request.ask.last_event.clone(),
        request,
        caller: Caller::Waiting(Some(head)),
        tried: SmallVec::new(),
        calls: 0,
        arrivals: 0,
        has_read: false,
        runs: 0,
        doubt: false,
        events: 0,
        last_at: None,
        failed: None,
        plan: "none",
    };
    tokio::spawn(way.run(under_way));
    // The task answers in every case; if it ended by itself the request may have run.
    answer.await.unwrap_or_else(|_| Refusal::Broken.answer())
}

/// The caller's side.
enum Caller {
    /// It waits for the head.
    Waiting(Option<oneshot::Sender<Response<Body>>>),
    /// It gets events.
    Streaming(mpsc::Sender<Result<Frame<Bytes>, Cut>>),
}

impl Caller {
    /// Waits until the caller has left.
    async fn left(&mut self) {
        match self {
            Caller::Waiting(Some(head)) => head.closed().await,
            Caller::Waiting(None) => {}
            Caller::Streaming(events) => events.closed().await,
        }
    }
}

/// How one attempt ended.
enum Came {
    /// The whole answer has been passed on.
    Done(Outcome),
    /// The caller has left.
    CallerLeft,
    /// The runner has not run it; another may.
    NotRun,
    /// It may have run, and broke off.
    Broken,
    /// The time is over.
    Late,
}

/// What ends the way without a whole answer.
enum Stop {
    CallerLeft,
    Refuse(Refusal),
}

struct Way {
    shared: Arc<Shared>,
    request: Request,
    work: Work,
    /// The last event that the caller has.
    last_event: Option<SmolStr>,
    caller: Caller,
    tried: SmallVec<[RunnerId; 4]>,
    /// Calls made.
    calls: u32,
    /// Calls that a runner has got and that count towards the retry budget.
    arrivals: u32,
    /// A runner has read the prompt for another one.
    has_read: bool,
    /// Calls that a runner has run, or may have.
    runs: u32,
    /// A run may have begun and did not end whole.
    doubt: bool,
    events: u64,
    last_at: Option<Instant>,
    /// A runner's own answer of failure, kept while others are tried.
    failed: Option<(Parts, Bytes)>,
    plan: &'static str,
}

impl Way {
    async fn run(mut self, _under_way: UnderWay) {
        let end = loop {
            match self.attempt().await {
                Ok(Came::Done(outcome)) => break Ok(outcome),
                Ok(Came::CallerLeft) | Err(Stop::CallerLeft) => break Err(None),
                Err(Stop::Refuse(refusal)) => break Err(Some(refusal)),
                Ok(Came::Late) => break Err(Some(self.late())),
                Ok(Came::NotRun) => {}
                Ok(Came::Broken) => {
                    self.doubt = true;
                    if !self.may_run_again() {
                        break Err(Some(Refusal::Broken));
                    }
                }
            }
            if self.calls >= MOST_CALLS {
                break Err(Some(self.give_up(Reason::Shed)));
            }
        };
        self.finish(end).await;
    }

    /// Gives the caller the end of its answer, and writes it down.
    async fn finish(mut self, end: Result<Outcome, Option<Refusal>>) {
        let mut line = End { tries: self.calls, events: self.events, ..End::default() };
        match end {
            Ok(outcome) => {
                line.outcome = if outcome == Outcome::Answered { "answered" } else { "failed" };
                line.status = StatusCode::OK.as_u16();
            }
            Err(None) => line.outcome = "left",
            Err(Some(refusal)) => {
                line.outcome = "refused";
                line.reason = refusal.reason();
                line.status = refusal.status().as_u16();
                if let Caller::Streaming(_) = self.caller {
                    line.outcome = "cut";
                }
                match (&mut self.caller, self.failed.take()) {
                    (Caller::Waiting(head), Some((parts, body))) => {
                        line.outcome = "failed";
                        line.status = parts.status.as_u16();
                        send_head(head, pass_on(&parts, whole(body)));
                    }
                    (Caller::Waiting(head), None) => send_head(head, refusal.answer()),
                    (Caller::Streaming(events), _) => {
                        // If the caller has left meanwhile there is nobody to tell.
                        let _ = events.send(Err(Cut)).await;
                    }
                }
            }
        }
        line.runner = self.tried.last().map(RunnerId::as_str).unwrap_or_default();
        self.request.log_end(&self.shared, &line);
    }

    /// Whether another run is allowed after one that has begun, or may have.
    fn may_run_again(&self) -> bool {
        let route = &self.request.route;
        route.kind.may_repeat() && self.runs < route.most_attempts
    }

    /// The truth about a request whose time is over.
    fn late(&self) -> Refusal {
        if self.doubt || self.runs > 0 { Refusal::Late } else { Refusal::Expired }
    }

    /// The truth about a request that is given up.
    fn give_up(&self, reason: Reason) -> Refusal {
        if self.doubt || self.runs > 0 {
            return Refusal::Broken;
        }
        let terms = self.request.terms(self.shared.clock.now());
        Refusal::NotRun(reason, terms.come_back(0.0, &mut *self.shared.rng()))
    }

    fn question<'a>(&'a self, class: Class) -> Question<'a> {
        Question {
            service: &self.request.service,
            class,
            home: &self.shared.me.data_centre,
            skip: &self.tried,
            now: self.shared.clock.now(),
        }
    }

    fn place(&self, class: Class) -> Option<Placement> {
        let engine = self.request.engine?;
        let question = self.question(class);
        let register = self.shared.register();
        place::generation(&register, &question, &engine, &self.work, &mut *self.shared.rng())
    }

    /// Chooses the runner that goes on from a prompt that has been read.
    fn place_decode(&self, class: Class, reader: &RunnerId) -> Option<RunnerId> {
        let engine = self.request.engine?;
        let question = self.question(class);
        let register = self.shared.register();
        let rng = &mut *self.shared.rng();
        place::decode(&register, &question, &engine, &self.work, reader, rng)
    }

    /// Finds a plan and the class for it, or refuses.
    fn admit(&mut self) -> Result<(Placement, Class), Stop> {
        let now = self.shared.clock.now();
        let terms = self.request.terms(now);
        if terms.left < LEAST_LEFT && self.calls > 0 {
            return Err(Stop::Refuse(self.late()));
        }
        let Some(placement) = self.place(terms.class) else {
            return Err(Stop::Refuse(self.give_up(Reason::NoRunner)));
        };
        if self.calls == 0 {
            let mut demand = self.shared.demand();
            demand.entry(self.request.service.clone()).or_default().note(placement.fresh);
        }
        // A stream that has begun goes on in its class: the caller is reading it.
        if self.events > 0 || terms.on_time(placement.first) {
            return Ok((placement, terms.class));
        }
        let late = self.place(Class::LATE);
        let late = late.filter(|p| self.runs > 0 || terms.of_use(p.first, p.wait));
        match late {
            Some(placement) => Ok((placement, Class::LATE)),
            None => {
                let after = terms.come_back(placement.first, &mut *self.shared.rng());
                let refusal = match self.give_up(Reason::Late) {
                    Refusal::NotRun(reason, _) => Refusal::NotRun(reason, after),
                    other => other,
                };
                log::info!(
                    request:% = self.request.id, first_ms = millis(placement.first),
                    read_ms = millis(placement.read), fresh = placement.fresh,
                    left_ms = terms.left.as_millis() as u64,
                    objective_ms = terms.objective.map(|o| o.as_millis() as u64);
                    "gate refuses"
                );
                Err(Stop::Refuse(refusal))
            }
        }
    }

    async fn attempt(&mut self) -> Result<Came, Stop> {
        let (placement, class) = self.admit()?;
        self.plan = (&placement.plan).into();
        self.shared.metrics.plans.with_label_values(&[self.plan]).inc();
        log::info!(
            request:% = self.request.id, plan = self.plan, class = class.index(),
            prefill = prefill(&placement.plan), decode = decode(&placement.plan),
            first_ms = millis(placement.first), fresh = placement.fresh,
            prompt = self.work.prompt, attempt = self.calls + 1; "placed"
        );
        match &placement.plan {
            Plan::Whole { runner } => {
                let share =
                    Share { class, fresh: placement.fresh, footprint: self.work.footprint() };
                let runner = runner.clone();
                self.run_at(&runner, Ask::Run, share, &placement).await
            }
            Plan::Split { prefill, .. } => {
                let prefill = prefill.clone();
                self.split(&prefill, class, &placement).await
            }
        }
    }

    async fn split(
        &mut self,
        prefill: &RunnerId,
        class: Class,
        placement: &Placement,
    ) -> Result<Came, Stop> {
        let share = Share { class, fresh: placement.fresh, footprint: self.work.prompt };
        let Some(handle) = self.read_at(prefill, share, placement).await? else {
            self.tried.push(prefill.clone());
            return Ok(Came::NotRun);
        };
        let mut spare = SpareHandle::new(&self.shared, prefill, handle.clone());
        let Some(decode) = self.place_decode(class, prefill) else {
            return Err(Stop::Refuse(self.give_up(Reason::NoRunner)));
        };
        let share = Share { class, fresh: 0, footprint: self.work.footprint() };
        let came = self.run_at(&decode, Ask::RunFrom(handle), share, placement).await;
        // Once the run has been taken up the cache is the other runner's.
        if !matches!(came, Ok(Came::NotRun)) {
            spare.take();
        }
        came
    }

    /// Pays for one more arrival at a runner. A request's first is free, and so is the first reading
    /// of its prompt that a runner takes up; a second reading counts like a second run.
    fn pay(&mut self) -> Result<(), Stop> {
        if self.arrivals == 0 || self.shared.take_extra(&self.request.service) {
            return Ok(());
        }
        Err(Stop::Refuse(self.give_up(Reason::Budget)))
    }

    /// Has the prompt read at a prefill runner. None if it was not.
    async fn read_at(
        &mut self,
        id: &RunnerId,
        share: Share,
        placement: &Placement,
    ) -> Result<Option<Handle>, Stop> {
        self.pay()?;
        let left = self.request.left(self.shared.clock.now());
        let mut ticket = Ticket::new(&self.shared, id, Step::Read, share);
        self.calls += 1;
        let Some(address) = self.address(id) else { return Ok(None) };
        let outgoing = self.outgoing(id, Ask::Read, share.class, left);
        let slack = Duration::from_secs_f64(placement.read * READ_SLACK.0) + READ_SLACK.1;
        let limit = left.min(slack);
        let sent = self.shared.connections.send(address, outgoing, CONNECT_LIMIT);
        let request_id = self.request.id.clone();
        let reading = async {
            let answer = sent.await.map_err(|e| e.to_string())?;
            read_handle(id, &request_id, address, answer).await
        };
        let result = tokio::select! {
            () = self.caller.left() => return Err(Stop::CallerLeft),
            result = timeout(limit, reading) => result,
        };
        let result = result.unwrap_or_else(|_| Err(format!("no answer within {limit:?}")));
        match result {
            Ok(handle) => {
                self.arrivals += u32::from(self.has_read);
                self.has_read = true;
                ticket.conclude(Outcome::Answered);
                log::info!(
                    request:% = self.request.id, runner:% = id, fresh = placement.fresh,
                    predicted_ms = millis(placement.read),
                    held_ms = ticket.held().as_millis() as u64; "prompt read"
                );
                self.learn(id, placement.read, ticket.held());
                self.note_cached(id);
                Ok(Some(handle))
            }
            Err(detail) => {
                self.arrivals += 1;
                ticket.conclude(Outcome::Broken);
                log::info!(
                    request:% = self.request.id, runner:% = id, error = detail,
                    held_ms = ticket.held().as_millis() as u64; "prompt not read"
                );
                Ok(None)
            }
        }
    }

    fn address(&self, id: &RunnerId) -> Option<std::net::SocketAddr> {
        self.shared.register().get(id).map(|r| r.entry.address)
    }

    fn learn(&self, id: &RunnerId, predicted: f64, seen: Duration) {
        if let Some(runner) = self.shared.register().get_mut(id) {
            runner.pace.learn(predicted, seen.as_secs_f64());
        }
    }

    /// Notes that a runner keeps the prompt now, and tells the other nodes of its parts.
    fn note_cached(&self, id: &RunnerId) {
        let now = self.shared.clock.now();
        if let Some(runner) = self.shared.register().get_mut(id) {
            if let Some(engine) = self.request.engine {
                runner.cache.set_memory(engine.memory);
            }
            runner.cache.note(&self.work.chain, now);
        }
        let tag = Tag::of(id);
        // The last part is the request's own and of no use to others.
        let shared = self.work.chain.0.len().saturating_sub(1);
        let parts = self.work.chain.0[..shared].iter();
        self.shared.note_readings(parts.map(|part| Reading { runner: tag, part: *part }));
    }

    fn outgoing(
        &self,
        id: &RunnerId,
        step: Ask,
        class: Class,
        left: Duration,
    ) -> http::Request<Bytes> {
        let request = &self.request;
        let call = Call {
            runner: id,
            left,
            urgency: Some(urgency(class)),
            step,
            last_event: self.last_event.as_deref(),
        };
        let body = request.body.clone();
        runner::request(&request.method, &request.uri, &request.headers, body, &call)
    }

    /// Runs the request at a runner and passes its answer on.
    async fn run_at(
        &mut self,
        id: &RunnerId,
        step: Ask,
        share: Share,
        placement: &Placement,
    ) -> Result<Came, Stop> {
        self.pay()?;
        self.tried.push(id.clone());
        let left = self.request.left(self.shared.clock.now());
        let mut ticket = Ticket::new(&self.shared, id, Step::Run, share);
        self.calls += 1;
        let Some(address) = self.address(id) else { return Ok(Came::NotRun) };
        let is_whole = step == Ask::Run;
        let outgoing = self.outgoing(id, step, share.class, left);
        // A run that may be repeated is not left with a runner that gives no sign of life.
        let limit =
            if self.is_repeatable() { left.min(self.silence(placement.first)) } else { left };
        self.runs += 1;
        self.arrivals += 1;
        let sent = self.shared.connections.send(address, outgoing, CONNECT_LIMIT);
        let sent = tokio::select! {
            () = self.caller.left() => return Ok(Came::CallerLeft),
            sent = timeout(limit, sent) => sent,
        };
        let answer = match sent {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => {
                ticket.conclude(Outcome::Broken);
                log::info!(
                    request:% = self.request.id, runner:% = id, error:% = error,
                    unsent = error.proves_unsent(); "call failed"
                );
                if error.proves_unsent() {
                    self.runs -= 1;
                    self.arrivals -= 1;
                    return Ok(Came::NotRun);
                }
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
        match judge(answer.head.status, &answer.head.headers, id, &self.request.id) {
            Verdict::Ran if answer.head.status.is_success() && is_stream(&answer.head.headers) => {
                let predicted = is_whole.then_some(placement.first);
                self.stream(&mut ticket, answer, predicted).await
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
                if Limited::new(answer.body, LARGEST).collect().await.is_ok() {
                    answer.lease.give_back();
                }
                Ok(Came::NotRun)
            }
            Verdict::Foreign => {
                ticket.conclude(Outcome::Broken);
                log::warn!(request:% = self.request.id, runner:% = id; "answer to another request");
                Ok(Came::Broken)
            }
        }
    }

    fn is_repeatable(&self) -> bool {
        self.may_run_again()
    }

    /// How long a runner may be silent before the request goes on elsewhere.
    fn silence(&self, predicted: f64) -> Duration {
        let pauses = self.request.route.pause.mul_f64(SILENT_PAUSES);
        SILENCE.max(pauses) + Duration::from_secs_f64(predicted.clamp(0.0, 10.0))
    }

    /// Takes an answer that is no stream: a failure of the runner's, signed by it.
    async fn answered(&mut self, ticket: &mut Ticket, answer: Answer) -> Result<Came, Stop> {
        let Answer { head, body, lease } = answer;
        let Ok(body) = Limited::new(body, LARGEST).collect().await else {
            ticket.conclude(Outcome::Broken);
            return Ok(Came::Broken);
        };
        lease.give_back();
        let good = head.status.is_success();
        ticket.conclude(if good { Outcome::Answered } else { Outcome::Failed });
        if promises_not_run(head.status) {
            return Ok(Came::Broken);
        }
        if head.status.is_server_error() && self.may_run_again() {
            self.failed = Some((head, body.to_bytes()));
            return Ok(Came::Broken);
        }
        if let Caller::Waiting(sender) = &mut self.caller {
            send_head(sender, pass_on(&head, whole(body.to_bytes())));
            return Ok(Came::Done(if good { Outcome::Answered } else { Outcome::Failed }));
        }
        Ok(Came::Broken)
    }

    /// Passes events on until the answer is whole or breaks off.
    async fn stream(
        &mut self,
        ticket: &mut Ticket,
        answer: Answer,
        predicted: Option<f64>,
    ) -> Result<Came, Stop> {
        let Answer { mut head, mut body, lease } = answer;
        // The length is that of one run; the caller may get the events of more than one.
        head.headers.remove(CONTENT_LENGTH);
        let mut splitter = Splitter::default();
        let mut first = true;
        let mut streaming = None;
        loop {
            let left = self.request.left(self.shared.clock.now());
            let silence = if self.may_run_again() { self.silence(0.0).min(left) } else { left };
            let next = tokio::select! {
                () = self.caller.left() => return Ok(Came::CallerLeft),
                next = timeout(silence, body.frame()) => next,
            };
            let frame = match next {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) => return self.ended(ticket, &head, &splitter, lease).await,
                Ok(Some(Err(error))) => {
                    ticket.conclude(Outcome::Broken);
                    self.log_cut(ticket, &error.to_string());
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
                    streaming.get_or_insert_with(|| Streaming::new(self));
                    ticket.note_read();
                    let id = ticket.runner().clone();
                    if let Some(predicted) = predicted {
                        self.learn(&id, predicted, ticket.held());
                    }
                    self.note_cached(&id);
                }
                ticket.note_life();
                if !self.pass(&head, event).await {
                    return Ok(Came::CallerLeft);
                }
            }
        }
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

/// Gives the caller the head of its answer; if it has left, its end is noticed elsewhere.
fn send_head(head: &mut Option<oneshot::Sender<Response<Body>>>, response: Response<Body>) {
    if let Some(head) = head.take() {
        let _ = head.send(response);
    }
}

fn millis(seconds: f64) -> u64 {
    (seconds * 1e3) as u64
}

fn prefill(plan: &Plan) -> &str {
    match plan {
        Plan::Whole { .. } => "",
        Plan::Split { prefill, .. } => prefill.as_str(),
    }
}

fn decode(plan: &Plan) -> &str {
    match plan {
        Plan::Whole { runner } => runner.as_str(),
        Plan::Split { decode, .. } => decode.as_str(),
    }
}

/// Reads the answer of a runner that was to read a prompt.
async fn read_handle(
    runner: &RunnerId,
    request: &str,
    address: std::net::SocketAddr,
    answer: Answer,
) -> Result<Handle, String> {
    let verdict = judge(answer.head.status, &answer.head.headers, runner, request);
    let status = answer.head.status;
    let body: Result<_, _> = Limited::<Incoming>::new(answer.body, LARGEST).collect().await;
    let body = body.map_err(|e| format!("the answer broke off: {e}"))?.to_bytes();
    if verdict == Verdict::Foreign && status.is_success() {
        return Err("the answer is another's".to_owned());
    }
    answer.lease.give_back();
    if !status.is_success() {
        return Err(format!("status {status}"));
    }
    decode_handle(address, &body).map_err(|e| e.to_string())
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

/// A KV cache that nobody has taken yet. It is freed when it is dropped, so that it does not hold a
/// runner's memory until it lapses.
struct SpareHandle {
    shared: Arc<Shared>,
    runner: RunnerId,
    handle: Option<Handle>,
}

impl SpareHandle {
    fn new(shared: &Arc<Shared>, runner: &RunnerId, handle: Handle) -> Self {
        Self { shared: shared.clone(), runner: runner.clone(), handle: Some(handle) }
    }

    fn take(&mut self) {
        self.handle = None;
    }
}

impl Drop for SpareHandle {
    fn drop(&mut self) {
        let Some(handle) = self.handle.take() else { return };
        let (shared, runner) = (self.shared.clone(), self.runner.clone());
        tokio::spawn(async move {
            let request = runner::free(&handle, &runner);
            match shared.connections.send(handle.holder, request, CONNECT_LIMIT).await {
                Ok(answer) => {
                    if Limited::new(answer.body, LARGEST).collect().await.is_ok() {
                        answer.lease.give_back();
                    }
                }
                Err(error) => {
                    log::info!(runner:% = runner, error:% = error; "freeing a KV cache");
                }
            }
        });
    }
}
