//! Running a generation on a runner, and reading its events.

use std::sync::Arc;
use std::time::Instant;

use http::header::CONTENT_LENGTH;
use http::response::Parts;
use http_body_util::BodyExt as _;
use sardinepick_lib::fleet::cache::Progress;
use sardinepick_lib::fleet::event::{Event, MAX_EVENT_BYTES, Splitter};
use sardinepick_lib::fleet::health::Outcome;
use sardinepick_lib::fleet::part_quarantine::PROGRESS_EVENTS;
use sardinepick_lib::fleet::placement::Plan;
use sardinepick_lib::fleet::register::WorkCost;
use sardinepick_lib::fleet::scheduler::Observation;
use sardinepick_lib::fleet::version::Version;
use sardinepick_lib::id::{RunnerId, ServiceId};
use sardinepick_platform::answer::{Verdict, classify_run, is_stream};
use sardinepick_platform::runner::CallKind;

use super::attempt::{Failure, Placed, Prepared};
use super::attempts::Arrival;
use super::prefill::KvHandleGuard;
use super::{Generation, MAX_ANSWER_BYTES};
use crate::fair_share::StreamMeter;
use crate::part_quarantine;
use crate::serve::answer_body::Body;
use crate::serve::connection::Answer;
use crate::serve::execution::Proof;
use crate::serve::intake::{Space, UNRESERVED_BYTES};
use crate::serve::quarantine::{self, Trial};
use crate::serve::reservation::{Reservation, Step};
use crate::serve::shared::Shared;

impl Generation {
    /// Prefills the prompt of a placed attempt, and chooses the runner that goes on. If that has a
    /// rate limit, a permit is acquired before: a prompt that is prefilled for a run that is then
    /// not permitted is prefilled in vain.
    pub(super) async fn prepare(self: Arc<Self>, mut placed: Placed) -> Result<Prepared, Failure> {
        let (prefill, planned) = match &placed.placement.plan {
            Plan::Whole { runner } => (runner.clone(), runner.clone()),
            Plan::Split { prefill, decode } => (prefill.clone(), decode.clone()),
        };
        let permit = match self.shared.dispatcher.acquire(&planned).await {
            Ok(permit) => permit,
            Err(denied) => {
                let mut attempts = self.attempts();
                attempts.calls += 1;
                log::info!(
                    request:% = self.request.id, runner:% = planned, error:% = denied;
                    "prompt not prefilled"
                );
                attempts.tried.push(planned);
                return Err(Failure::Denied(None));
            }
        };
        let Some(handle) = self.prefill_on(&prefill, &mut placed).await? else {
            self.attempts().tried.push(prefill);
            return Err(Failure::NotRun);
        };
        let cache = KvHandleGuard::new(&self.shared, &prefill, handle);
        let runner = if permit.is_some() && self.is_usable(&planned) {
            planned
        } else {
            self.place_decode(placed.class, &prefill).await?
        };
        Ok(Prepared { placed, runner, cache: Some(cache), permit })
    }

    fn is_usable(&self, id: &RunnerId) -> bool {
        let now = self.now();
        self.shared.register().get(id).is_some_and(|r| r.takes_work(now) && r.back_off.is_over(now))
    }

    /// Chooses another runner for a prepared attempt whose runner did not permit the request.
    pub(super) async fn prepare_again(
        self: Arc<Self>,
        mut prepared: Prepared,
    ) -> Result<Prepared, Failure> {
        let Some(cache) = &prepared.cache else { return Err(Failure::NotRun) };
        prepared.runner = self.place_decode(prepared.placed.class, cache.runner()).await?;
        prepared.permit = None;
        Ok(prepared)
    }

    /// Sends the request to the runner that runs it, and waits for the first event.
    pub(super) async fn start(
        self: Arc<Self>,
        mut prepared: Prepared,
    ) -> Result<(Run, RunStep), Failure> {
        self.check_not_quarantined(&mut prepared.placed).await?;
        self.check_fits()?;
        let Prepared { placed, runner: id, cache, permit } = &mut prepared;
        self.attempts().tried.push(id.clone());
        let is_whole = cache.is_none();
        let cost = WorkCost {
            class: placed.class,
            prefill_tokens: if is_whole { placed.placement.prefill_tokens } else { 0 },
            footprint: self.work.footprint(),
        };
        let mut reservation =
            Reservation::new(&self.shared, id, Step::Run, cost).part_of(&placed.superseded);
        self.attempts().calls += 1;
        let Some((address, version)) = self.address_and_version(id) else {
            return Err(Failure::NotRun);
        };
        let fetch = placed.placement.fetch.as_ref().filter(|_| is_whole);
        let fetch = fetch.and_then(|source| self.address(source));
        if is_whole {
            self.note_cached(&reservation, Progress::Started);
            reservation.expect(&placed.placement, placed.placement.first_event);
            reservation.meter_prefill(self.meter.prefill(placed.placement.prefill_start));
        }
        // Once a run may have started, its runner owns the KV cache.
        let handle = cache.as_mut().and_then(KvHandleGuard::disarm);
        let kind = handle.clone().map_or(CallKind::Run, CallKind::RunFromKv);
        let request = self.runner_request(id, kind, placed.class, fetch);
        let is_trial = placed.trial.is_some();
        let begun = self.attempts().execution.begin();
        self.request.progress.note_call(id);
        quarantine::note_call(&self.shared, &self.request, id, "run");
        if let Some(trial) = &mut placed.trial {
            trial.note_sent();
        }
        if let Some(permit) = &mut placed.permit {
            permit.note_sent();
        }
        let arrival = Arrival::of_run(&self, &mut placed.payment);
        let target = reservation.target(address);
        let sent =
            self.shared.dispatcher.send_permitted(target, *permit, &self.request.id, request);
        let answer = match sent.await {
            Ok(answer) => answer,
            Err(error) => {
                reservation.conclude_unanswered(&error);
                self.attempts().has_waited |= error.is_connect_timeout();
                let proof = error.proof();
                reservation.count_unanswered(proof);
                log::info!(
                    request:% = self.request.id, runner:% = id, error:% = error,
                    proof = proof.map_or(Proof::NONE, Into::into); "call failed"
                );
                let Some(proof) = proof else {
                    self.note_broken(&reservation, self.progress(false), 0, is_trial).await;
                    return Err(Failure::Broken);
                };
                arrival.waive();
                if let Some(trial) = &mut placed.trial {
                    trial.note_not_run();
                }
                self.attempts().execution.disprove(begun, proof);
                self.request.progress.note_not_run(id);
                if let Some(cache) = cache {
                    cache.rearm(handle);
                }
                if error.is_rate_limited() {
                    return Err(Failure::Denied(Some(Box::new(prepared))));
                }
                return Err(Failure::NotRun);
            }
        };
        drop(arrival);
        let verdict = classify_run(answer.head.status, &answer.head.headers, id, &self.request.id);
        if let Some(proof) = Proof::of_verdict(&verdict) {
            if let Some(trial) = &mut placed.trial {
                trial.note_not_run();
            }
            self.attempts().execution.disprove(begun, proof);
            self.request.progress.note_not_run(id);
            reservation.count_unanswered(Some(proof));
            let replaced = proof == Proof::OtherInstance;
            reservation.conclude(if replaced { Outcome::Gone } else { Outcome::Failed });
            log::info!(
                request:% = self.request.id, runner:% = id, status = answer.head.status.as_u16(),
                proof:% = proof, over:% = answer.ordinal(); "runner did not run it"
            );
            answer.discard();
            if let Some(cache) = cache {
                cache.rearm(handle);
            }
            return Err(Failure::NotRun);
        }
        match verdict {
            Verdict::Ran if answer.head.status.is_success() && is_stream(&answer.head.headers) => {
                let mut run = Run::new(self.clone(), reservation, answer, is_whole, version);
                run.permit = placed.permit.take();
                run.trial = placed.trial.take();
                let first = run.next().await;
                if let RunStep::Broken { begun } = first {
                    run.note_broken(begun).await;
                    return Err(Failure::Broken);
                }
                Ok((run, first))
            }
            Verdict::Ran => Err(self.read_plain(&mut reservation, answer, is_trial).await),
            Verdict::Unsigned | Verdict::Mismatched | Verdict::NotRun | Verdict::OtherInstance => {
                reservation.conclude(Outcome::Broken);
                reservation.count_unanswered(None);
                let reason = self.shared.connections.note_unusable(&verdict);
                log::warn!(
                    request:% = self.request.id, runner:% = id,
                    status = answer.head.status.as_u16(), over:% = answer.ordinal(); "{reason}"
                );
                Err(Failure::Broken)
            }
        }
    }

    /// Reads a response that is not a stream.
    async fn read_plain(
        &self,
        reservation: &mut Reservation,
        answer: Answer,
        is_trial: bool,
    ) -> Failure {
        let Ok((head, body)) = answer.read(MAX_ANSWER_BYTES).await else {
            reservation.conclude(Outcome::Broken);
            self.note_broken(reservation, self.progress(true), 0, is_trial).await;
            return Failure::Broken;
        };
        let is_success = head.status.is_success();
        if is_success {
            self.shared.part_quarantine.note_progress(&self.request.prompt);
        }
        reservation.conclude(if is_success { Outcome::Answered } else { Outcome::Failed });
        Failure::Answer(Box::new(head), body)
    }
}

/// How a run has advanced.
pub(super) enum RunStep {
    /// The next event of its stream.
    Event(Event),
    /// The stream is complete.
    Complete,
    /// The stream broke off.
    Broken {
        /// Whether the runner's own part of the connection was intact until then.
        begun: bool,
    },
}

/// A run whose runner has sent the head of its response.
pub(super) struct Run {
    generation: Arc<Generation>,
    reservation: Reservation,
    /// The head of the response, without the length of the body: the caller may receive events of
    /// several runs.
    pub head: Parts,
    body: Body,
    splitter: Splitter,
    /// Space for a large event.
    space: Option<Space>,
    is_whole: bool,
    started_at: Option<Instant>,
    /// The version of the runner's software, from its entry when the request was sent.
    pub version: Version,
    active_stream: Option<ActiveStream>,
    /// Measures the use of the stream from its first event.
    stream_meter: Option<StreamMeter>,
    /// The permit for the run until it has made progress, if a part of the prompt is restricted.
    permit: Option<part_quarantine::Permit>,
    /// The trial that the run is until it has made progress, if the request is restricted.
    trial: Option<Trial>,
    /// The number of events that the caller had received before the run.
    received_before: u64,
    /// The number of events so far.
    events: u64,
}

impl Run {
    fn new(
        generation: Arc<Generation>,
        reservation: Reservation,
        answer: Answer,
        is_whole: bool,
        version: Version,
    ) -> Self {
        let Answer { mut head, body, .. } = answer;
        head.headers.remove(CONTENT_LENGTH);
        let received_before = generation.attempts().received();
        Self {
            generation,
            reservation,
            head,
            body,
            splitter: Splitter::default(),
            space: None,
            is_whole,
            started_at: None,
            version,
            active_stream: None,
            stream_meter: None,
            permit: None,
            trial: None,
            received_before,
            events: 0,
        }
    }

    /// Waits until it advances. Nothing is lost if the future is dropped.
    pub async fn next(&mut self) -> RunStep {
        loop {
            let event = match self.splitter.next_event() {
                Ok(event) => event,
                Err(error) => {
                    self.reservation.conclude(Outcome::Broken);
                    self.log_broken(&error.to_string());
                    return RunStep::Broken { begun: true };
                }
            };
            if let Some(event) = event {
                if self.started_at.is_none() {
                    self.note_started();
                }
                self.reservation.note_alive();
                self.events += 1;
                if self.events == PROGRESS_EVENTS {
                    self.note_progress();
                }
                if self.trial.is_some() {
                    self.note_trial_progress();
                }
                return RunStep::Event(event);
            }
            self.reserve_space().await;
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.splitter.push(&data);
                    }
                }
                Some(Err(error)) => {
                    self.reservation.conclude(Outcome::Broken);
                    self.log_broken(&error.to_string());
                    return RunStep::Broken { begun: true };
                }
                None => return self.finish(),
            }
        }
    }

    /// Reserves space for an event that turns out to be large, until it is complete.
    async fn reserve_space(&mut self) {
        if self.splitter.rest().len() <= UNRESERVED_BYTES {
            self.space = None;
        } else if self.space.is_none() {
            let intake = &self.generation.shared.connections.intake;
            self.space = Some(intake.reserve(MAX_EVENT_BYTES).await);
        }
    }

    /// Records the first event.
    fn note_started(&mut self) {
        let generation = &self.generation;
        self.started_at = Some(generation.now());
        self.active_stream = Some(ActiveStream::new(generation));
        self.stream_meter = Some(generation.meter.stream(generation.work.footprint()));
        self.reservation.note_prefilled();
        if self.is_whole {
            self.reservation.learn_expected();
        }
        generation.note_cached(&self.reservation, Progress::Prefilled);
    }

    /// Records that the run has made progress, so that the parts of its prompt crash no runners.
    fn note_progress(&mut self) {
        let generation = &self.generation;
        generation.shared.part_quarantine.note_progress(&generation.request.prompt);
        self.permit = None;
    }

    /// Ends the trial of a restricted request that has made progress past its furthest end.
    fn note_trial_progress(&mut self) {
        let generation = &self.generation;
        let received = self.received_before + self.events;
        let fingerprint = &generation.request.fingerprint;
        if quarantine::note_progress(&generation.shared, fingerprint, received) {
            self.trial = None;
        }
    }

    /// Decides whether a stream that ended is complete.
    fn finish(&mut self) -> RunStep {
        if let Some(at) = self.started_at {
            let took = self.generation.now().saturating_duration_since(at);
            self.reservation.learn(Observation::Stream(took.as_secs_f64()));
        }
        if !self.splitter.rest().is_empty() {
            self.reservation.conclude(Outcome::Broken);
            self.log_broken("ended within an event");
            return RunStep::Broken { begun: true };
        }
        self.body.return_connection();
        self.reservation.conclude(Outcome::Answered);
        if self.events < PROGRESS_EVENTS {
            self.note_progress();
        }
        RunStep::Complete
    }

    /// Whether another incarnation of the runner has been registered since the request was sent.
    /// That one may have received the request, and may have another version.
    pub fn is_replaced(&self) -> bool {
        let Some(registration) = self.reservation.registration() else { return false };
        let register = self.generation.shared.register();
        register.get(&registration.id).is_some_and(|r| r.entry.born != registration.born)
    }

    /// Gives the run up because its version is not that of the stream.
    pub fn reject(&mut self) {
        self.reservation.conclude(Outcome::Broken);
        self.log_broken("the stream is bound to another version");
    }

    /// Records that the runner is lost as far as this node can tell.
    pub fn note_lost(&mut self) {
        self.reservation.conclude(Outcome::Broken);
        self.log_broken("no answer to a health check");
    }

    /// Records a crash if the runner's process ended during the run.
    pub async fn note_broken(&self, begun: bool) {
        let (generation, is_trial) = (&self.generation, self.trial.is_some());
        let progress = generation.progress(begun);
        generation.note_broken(&self.reservation, progress, self.events, is_trial).await;
    }

    /// Logs that the stream broke off: how long it was silent, and how long ago the runner last
    /// answered anything of this node.
    fn log_broken(&self, detail: &str) {
        let generation = &self.generation;
        let now = generation.now();
        let since = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        let seen = self.reservation.with_runner(|runner| runner.health.last_seen()).flatten();
        log::info!(
            request:% = generation.request.id, runner:% = self.reservation.runner(),
            runner_version:% = self.version,
            error = detail, events = generation.attempts().events,
            runner_seen_ms = seen.map(since),
            left_ms = generation.request.time_left(now).as_millis() as u64; "stream broke off"
        );
    }
}

/// Counts a stream as active until it is dropped.
struct ActiveStream {
    shared: Arc<Shared>,
    service: ServiceId,
    tokens: u64,
}

impl ActiveStream {
    fn new(generation: &Generation) -> Self {
        let (shared, service) = (generation.shared.clone(), generation.request.service.clone());
        let tokens = generation.work.footprint();
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
