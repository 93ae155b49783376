//! A plain request's way: one runner after another, as far as it may be repeated.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::response::Parts;
use sardinepick_lib::fleet::gate::Reason;
use sardinepick_lib::fleet::health::Outcome;
use sardinepick_lib::fleet::load::Class;
use sardinepick_lib::fleet::place::{self, Question};
use sardinepick_lib::fleet::register::Share;
use sardinepick_lib::fleet::suspect::{ENDS, Reach};
use sardinepick_lib::id::RunnerId;
use sardinepick_platform::answer::{Verdict, classify};
use sardinepick_platform::runner::{Call, CallKind, request as call_request};
use smallvec::SmallVec;
use tokio::time::timeout;

use crate::serve::answer::{Body, Refusal, pass_on, whole};
use crate::serve::connection::{Answer, SendError};
use crate::serve::quarantine::{self, Admission};
use crate::serve::request::{End, Request, UnderWay};
use crate::serve::shared::Shared;
use crate::serve::ticket::{Step, Ticket};

/// The most calls for one request, those included that reached nobody.
const MOST_CALLS: u32 = 6;
/// How many mean answer times a runner may take before a request that may be repeated goes
/// elsewhere.
const PATIENCE: f64 = 5.0;
/// The largest answer that is held whole before it is passed on.
const LARGEST: usize = 16 << 20;

/// What one call came to.
enum Came {
    /// A whole answer of the runner.
    Whole(Parts, Bytes),
    /// The runner has not run it.
    NotRun {
        /// Whether a runner has read it, which counts as an arrival.
        arrived: bool,
    },
    /// It may have run.
    Doubt,
    /// It may have run; the runner's answer broke off.
    Cut,
    /// No sign within the time it was given.
    Silent,
}

/// Answers a plain request.
pub async fn answer(
    shared: &Arc<Shared>,
    request: &Request,
    _under_way: UnderWay,
) -> Response<Body> {
    let mut way = Way {
        shared,
        request,
        tried: SmallVec::new(),
        calls: 0,
        arrivals: 0,
        runs: 0,
        ends: 0,
        is_trial: false,
    };
    let end = way.run().await;
    if way.is_trial && way.runs == 0 && way.ends == 0 {
        quarantine::return_trial(shared, &request.fingerprint);
    }
    let runner = way.tried.last().map(RunnerId::as_str).unwrap_or_default();
    let mut line = End { runner, tries: way.calls, ..End::default() };
    match end {
        Ok((head, body)) => {
            quarantine::note_answered(shared, &request.fingerprint);
            shared.usage.note(request.account.as_ref());
            line.status = head.status.as_u16();
            line.outcome = if head.status.is_success() { "answered" } else { "failed" };
            let took = shared.clock.now().saturating_duration_since(request.arrived);
            let labels = [request.route.kind.into(), line.outcome];
            shared.metrics.first.with_label_values(&labels).observe(took.as_secs_f64());
            request.log_end(shared, &line);
            pass_on(&head, whole(body))
        }
        Err(refusal) => {
            line.status = refusal.status().as_u16();
            line.outcome = "refused";
            line.reason = refusal.reason();
            request.log_end(shared, &line);
            refusal.answer()
        }
    }
}

struct Way<'a> {
    shared: &'a Arc<Shared>,
    request: &'a Request,
    tried: SmallVec<[RunnerId; 4]>,
    /// Calls made.
    calls: u32,
    /// Calls that a runner has read, or may have.
    arrivals: u32,
    /// Calls that a runner has run, or may have.
    runs: u32,
    /// Ends of runners that count against it, as of the last under this attempt; none before.
    ends: usize,
    /// It runs to see whether runners still end under it.
    is_trial: bool,
}

impl Way<'_> {
    async fn run(&mut self) -> Result<(Parts, Bytes), Refusal> {
        let mut failed: Option<(Parts, Bytes)> = None;
        loop {
            if !self.is_trial || self.runs > 0 || self.ends > 0 {
                match quarantine::admit(self.shared, self.request).await {
                    Admission::Refused => return Err(Refusal::Quarantined),
                    Admission::Trial if self.calls > 0 => return Err(Refusal::Quarantined),
                    Admission::Free if self.ends >= ENDS => return failed.ok_or(Refusal::Broken),
                    Admission::Free => {}
                    Admission::Trial => self.is_trial = true,
                }
            }
            let now = self.shared.clock.now();
            let left = self.request.left(now);
            if left.is_zero() {
                return failed.ok_or_else(|| self.give_up(Reason::Late));
            }
            let Some(choice) = self.choose() else {
                return failed.ok_or_else(|| self.give_up(Reason::NoRunner));
            };
            let terms = self.request.terms(now);
            if self.calls == 0 && !terms.on_time(choice.answer) && !terms.of_use(choice.answer, 0.0)
            {
                let after = terms.come_back(choice.answer, &mut *self.shared.rng());
                return Err(Refusal::NotRun(Reason::Late, after));
            }
            if self.arrivals > 0 && !self.shared.take_extra(&self.request.service) {
                return failed.ok_or_else(|| self.give_up(Reason::Budget));
            }
            self.calls += 1;
            let last = !self.is_repeatable() || self.runs + 1 >= self.request.route.most_attempts;
            match self.call(&choice.runner, left, last).await {
                Came::Whole(head, body) => {
                    let good = !head.status.is_server_error();
                    if good || !self.may_run_again() {
                        return Ok((head, body));
                    }
                    failed = Some((head, body));
                }
                Came::NotRun { arrived } => self.arrivals += u32::from(arrived),
                Came::Doubt | Came::Cut if self.may_run_again() => {}
                Came::Silent if self.may_run_again() => {}
                Came::Doubt | Came::Cut => return failed.ok_or(Refusal::Broken),
                Came::Silent => return failed.ok_or(Refusal::Late),
            }
            self.tried.push(choice.runner);
            if self.calls >= MOST_CALLS {
                return failed.ok_or_else(|| self.give_up(Reason::Shed));
            }
        }
    }

    /// Whether another run is allowed after one that has begun, or may have.
    fn may_run_again(&self) -> bool {
        self.is_repeatable() && self.runs < self.request.route.most_attempts
    }

    fn is_repeatable(&self) -> bool {
        self.request.route.kind.may_repeat()
    }

    /// The truth about a request that is given up.
    fn give_up(&self, reason: Reason) -> Refusal {
        if self.runs > 0 {
            return if reason == Reason::Late { Refusal::Late } else { Refusal::Broken };
        }
        self.request.refusal(self.shared, reason)
    }

    fn choose(&self) -> Option<place::Plain> {
        let question = Question {
            service: &self.request.service,
            pool: None,
            class: Class::of_rank(self.request.route.rank),
            home: &self.shared.me.data_centre,
            skip: &self.tried,
            goes_on: false,
            now: self.shared.clock.now(),
        };
        place::plain(&self.shared.register(), &question, &mut *self.shared.rng())
    }

    async fn call(&mut self, id: &RunnerId, left: Duration, last: bool) -> Came {
        let class = Class::of_rank(self.request.route.rank);
        let share = Share { class, fresh: 0, footprint: 0 };
        let mut ticket = Ticket::new(self.shared, id, Step::Plain, share);
        let Some((address, mean)) =
            self.shared.register().get(id).map(|r| (r.entry.address, r.answer_time))
        else {
            return Came::NotRun { arrived: false };
        };
        let request = self.request;
        let call = Call {
            runner: id,
            remaining: left,
            account: request.account.as_ref(),
            priority: None,
            kind: CallKind::Run,
            last_event: None,
            fetch_from: None,
        };
        let outgoing = call_request(
            &request.method,
            &request.uri,
            &request.headers,
            request.body.clone(),
            &call,
        );
        let objective = request.route.objective;
        let patience = Duration::from_secs_f64(mean * PATIENCE).max(objective / 2);
        let limit = if last { left } else { left.min(patience) };
        // From here on the request may run.
        self.runs += 1;
        let target = ticket.target(address);
        let sent = self.shared.dispatcher.send(target, &request.id, outgoing);
        match timeout(limit, async { self.finish(id, &ticket, sent.await?).await }).await {
            Ok(Ok(came)) => {
                let outcome = match &came {
                    Came::Whole(head, _) if head.status.is_server_error() => Outcome::Failed,
                    Came::Whole(..) => Outcome::Answered,
                    Came::NotRun { .. } => Outcome::Failed,
                    Came::Doubt | Came::Cut | Came::Silent => Outcome::Broken,
                };
                if let Came::Whole(..) = &came {
                    let held = ticket.held().as_secs_f64();
                    ticket.with_runner(|runner| runner.learn_answer(held));
                }
                match &came {
                    Came::NotRun { .. } => self.runs -= 1,
                    _ => self.arrivals += 1,
                }
                ticket.conclude(outcome);
                if let Came::Cut = came {
                    self.note_broken(&ticket, true).await;
                }
                came
            }
            Ok(Err(error)) => {
                if !error.is_denied() {
                    ticket.conclude(Outcome::Broken);
                }
                log::info!(
                    request:% = request.id, runner:% = id, address:% = address, error:% = error,
                    unsent = error.proves_unsent(); "call failed"
                );
                if error.proves_unsent() {
                    self.runs -= 1;
                    return Came::NotRun { arrived: false };
                }
                self.arrivals += 1;
                self.note_broken(&ticket, false).await;
                Came::Doubt
            }
            Err(_) => {
                self.arrivals += 1;
                ticket.conclude(Outcome::Broken);
                log::info!(
                    request:% = request.id, runner:% = id, address:% = address,
                    waited_ms = limit.as_millis() as u64; "call without an answer"
                );
                Came::Silent
            }
        }
    }

    /// Notes whether the runner of a call that broke off has ended under it.
    async fn note_broken(&mut self, ticket: &Ticket, begun: bool) {
        let reach = Reach { events: 0, begun };
        let ends = quarantine::count::note_broken(self.shared, ticket, self.request, reach).await;
        self.ends = self.ends.max(ends);
    }

    /// Judges an answer and reads it whole.
    async fn finish(
        &self,
        id: &RunnerId,
        ticket: &Ticket,
        answer: Answer,
    ) -> Result<Came, SendError> {
        let request = self.request;
        let verdict = classify(answer.head.status, &answer.head.headers, id, &request.id);
        match verdict {
            Verdict::Ran => {}
            Verdict::OtherInstance | Verdict::NotRun => {
                if verdict == Verdict::OtherInstance {
                    let now = self.shared.clock.now();
                    ticket.with_runner(|runner| runner.health.note(Outcome::Gone, now));
                }
                log::info!(
                    request:% = request.id, runner:% = id, status = answer.head.status.as_u16();
                    "runner did not run it"
                );
                answer.discard(LARGEST).await;
                return Ok(Came::NotRun { arrived: verdict == Verdict::NotRun });
            }
            Verdict::Mismatched => {
                log::warn!(request:% = request.id, runner:% = id; "answer to another request");
                return Ok(Came::Doubt);
            }
        }
        match answer.read(LARGEST).await {
            Ok((head, body)) => {
                if promises_not_run(head.status) {
                    // Only the runner's own word proves it, and it is missing.
                    return Ok(Came::Doubt);
                }
                Ok(Came::Whole(head, body))
            }
            Err(error) => {
                log::info!(request:% = request.id, runner:% = id, error:% = error; "answer cut");
                Ok(Came::Cut)
            }
        }
    }
}

/// Statuses that promise callers that a request has not run.
pub fn promises_not_run(status: http::StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}
