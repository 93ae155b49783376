//! A generation's way: the gate, a plan, the reading of the prompt, the stream of events.
//!
//! The way runs in a task of its own that holds all of its state. The caller's side gets the head of
//! the answer with the first event, so that a generation that fails before it still has a status of
//! its own; and then whole events only. When the caller leaves, the task ends and with it the
//! connection to the runner, which stops the work there.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::response::Parts;
use http::{Response, StatusCode};
use hyper::body::Frame;
use sardinepick_lib::fleet::engine::Work;
use sardinepick_lib::fleet::gate::{Reason, urgency};
use sardinepick_lib::fleet::health::Outcome;
use sardinepick_lib::fleet::load::Class;
use sardinepick_lib::fleet::place::{Placement, Plan};
use sardinepick_lib::fleet::register::Share;
use sardinepick_lib::id::RunnerId;
use sardinepick_platform::runner::{self, Call, CallKind};
use smallvec::SmallVec;
use smol_str::SmolStr;
use tokio::sync::{mpsc, oneshot};

use self::read::SpareHandle;
use crate::serve::answer::{Body, Cut, Refusal, pass_on, whole};
use crate::serve::quarantine;
use crate::serve::request::{End, Request, UnderWay};
use crate::serve::shared::Shared;

/// The most calls for one request, those included that reached nobody.
const MOST_CALLS: u32 = 8;
/// The largest answer that is no stream.
const LARGEST: usize = 1 << 20;
/// The least time left in which going on elsewhere can still be of use.
const LEAST_LEFT: Duration = Duration::from_millis(150);

mod admit;
mod read;
mod stream;

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
        ends: 0,
        is_trial: false,
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
    /// Nothing was sent, since the runner's rate limit leaves no room; another may run it.
    Denied,
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
    /// Ends of runners that count against it, as of the last under this attempt; none before.
    ends: usize,
    /// It runs to see whether runners still end under it.
    is_trial: bool,
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
                Ok(Came::NotRun | Came::Denied) => {}
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
                quarantine::note_answered(&self.shared, &self.request.fingerprint);
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
        if self.is_trial && self.runs == 0 && self.ends == 0 {
            quarantine::return_trial(&self.shared, &self.request.fingerprint);
        }
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
        self.request.refusal(&self.shared, reason)
    }

    async fn attempt(&mut self) -> Result<Came, Stop> {
        self.pass_quarantine().await?;
        let (placement, class) = self.admit().await?;
        self.plan = (&placement.plan).into();
        self.shared.metrics.plans.with_label_values(&[self.plan]).inc();
        log::info!(
            request:% = self.request.id, plan = self.plan, class = class.index(),
            prefill = prefill(&placement.plan), decode = decode(&placement.plan),
            first_ms = millis(placement.first), fresh = placement.fresh,
            fetch = placement.fetch.as_ref().map_or("", RunnerId::as_str), prompt = self.work.prompt,
            fingerprint:% = self.request.fingerprint, attempt = self.calls + 1; "placed"
        );
        match &placement.plan {
            Plan::Whole { runner } => {
                let share =
                    Share { class, fresh: placement.fresh, footprint: self.work.footprint() };
                let runner = runner.clone();
                self.run_at(&runner, CallKind::Run, share, &placement).await
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
        let share = Share { class, fresh: 0, footprint: self.work.footprint() };
        let came = loop {
            let decode = self.place_decode(class, prefill).await?;
            match self.run_at(&decode, CallKind::RunFromKv(handle.clone()), share, placement).await
            {
                // What has been read waits for another runner.
                Ok(Came::Denied) if self.calls < MOST_CALLS => {}
                came => break came,
            }
        };
        // Once the run has been taken up the cache is the other runner's.
        if !matches!(came, Ok(Came::NotRun | Came::Denied)) {
            spare.take();
        }
        came
    }

    fn address(&self, id: &RunnerId) -> Option<SocketAddr> {
        self.shared.register().get(id).map(|r| r.entry.address)
    }

    fn outgoing(
        &self,
        id: &RunnerId,
        step: CallKind,
        class: Class,
        left: Duration,
        fetch: Option<SocketAddr>,
    ) -> http::Request<Bytes> {
        let request = &self.request;
        let call = Call {
            runner: id,
            remaining: left,
            account: request.account.as_ref(),
            priority: Some(urgency(class)),
            kind: step,
            last_event: self.last_event.as_deref(),
            fetch_from: fetch,
        };
        let body = request.body.clone();
        runner::request(&request.method, &request.uri, &request.headers, body, &call)
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
