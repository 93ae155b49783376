//! Admission of generation requests, and the choice of their runners.

use std::sync::Arc;
use std::time::{Duration, Instant};

use sardinepick_lib::fleet::admission::Reason;
use sardinepick_lib::fleet::load::Class;
use sardinepick_lib::fleet::part::PartId;
use sardinepick_lib::fleet::part_quarantine::Subject;
use sardinepick_lib::fleet::placement::{Placement, Plan};
use sardinepick_lib::fleet::scheduler::{self, Decision, Firmness, Step};
use sardinepick_lib::fleet::share;
use sardinepick_lib::fleet::suspect::QUARANTINE_ENDS;
use sardinepick_lib::id::{AccountId, RunnerId};

use smallvec::SmallVec;
use tokio::time::sleep;

use super::attempt::{Failure, Placed};
use super::{Generation, MIN_TIME_LEFT, StopCause, millis, version_text};
use crate::part_quarantine::{Admission, Permit};
use crate::serve::payment::Payment;
use crate::serve::quarantine::{self, Trial};
use crate::serve::reservation::Superseded;
use crate::serve::response::Refusal;
use crate::serve::scheduler as scheduling;

/// The maximum number of backed-off runners that a scheduling request lists for exclusion, at up to
/// 24 bytes each.
const MAX_EXCLUDED: usize = 12;

/// How long work that has begun waits for a runner with room: less than runners keep a prompt that
/// was prefilled for another one.
const MAX_ROOM_WAIT: Duration = Duration::from_secs(1);
/// How often it asks again: one twentieth of the wait, which is a few streams that end.
const ROOM_POLL_PERIOD: Duration = Duration::from_millis(50);

impl Generation {
    /// Requests a placement decision from the scheduler; `None` if the service has no engines.
    async fn decide(&self, step: Step) -> Option<Decision> {
        let engine = self.request.engine?;
        let decided = scheduling::decide(&self.shared, self.query(step), &engine).await;
        self.shared.metrics.placements.with_label_values(&[decided.by]).inc();
        if let Some(charge) = decided.charge {
            self.meter.set(charge);
        }
        Some(decided.decision)
    }

    fn query(&self, step: Step) -> scheduler::Query {
        let now = self.now();
        scheduler::Query {
            service: self.request.service.clone(),
            data_centre: self.shared.me.data_centre.clone(),
            terms: self.request.terms(now),
            work: self.work.clone(),
            skip: self.excluded_runners(now),
            version: self.attempts().version.clone(),
            account: self
                .shared
                .fair_share
                .account(self.request.account.as_ref().map(AccountId::as_str)),
            waited: Duration::ZERO,
            step,
        }
    }

    /// The runners to exclude from placement. A scheduler does not know which runners this node
    /// backs off from.
    fn excluded_runners(&self, now: Instant) -> SmallVec<[RunnerId; 4]> {
        let register = self.shared.register();
        let backed_off = register.backing_off(&self.request.service, now).take(MAX_EXCLUDED);
        let tried = self.attempts().tried.clone();
        tried.into_iter().chain(backed_off.cloned()).collect()
    }

    /// Chooses the decode runner for a prompt that has been processed.
    pub(super) async fn place_decode(
        &self,
        class: Class,
        prefill_runner: &RunnerId,
    ) -> Result<RunnerId, Failure> {
        let step = Step::Continue { prefill_runner: prefill_runner.clone(), class };
        match self.decide_in_time(step).await {
            Some(Decision::Continue(runner)) => Ok(runner),
            Some(Decision::RateLimited(wait)) => {
                Err(Failure::Stopped(self.rate_limit_refusal(wait), StopCause::RateLimit))
            }
            _ => Err(Failure::Stopped(self.final_refusal(self.no_runner()), StopCause::NoRunner)),
        }
    }

    /// Requests a decision like [`Generation::decide`]. On nodes with limits, work that has begun
    /// waits for a runner with room: it would otherwise be lost.
    async fn decide_in_time(&self, step: Step) -> Option<Decision> {
        let has_begun = step != Step::Start(Firmness::New);
        let began = self.now();
        loop {
            let decision = self.decide(step.clone()).await;
            let waits = matches!(&decision, Some(Decision::Late(_) | Decision::RateLimited(_)));
            let waited = self.now().saturating_duration_since(began);
            let may_wait = has_begun && waited < MAX_ROOM_WAIT && self.time_left() > MIN_TIME_LEFT;
            if !waits || !may_wait {
                return decision;
            }
            sleep(ROOM_POLL_PERIOD).await;
        }
    }

    /// Refuses a request that has not run if the node stops before it can be served whole.
    pub(super) fn check_fits(&self) -> Result<(), Failure> {
        if self.attempts().execution.may_have_run() || self.request.fits(&self.shared) {
            return Ok(());
        }
        let refusal = self.request.refusal(&self.shared, Reason::Stopping);
        Err(Failure::Stopped(refusal, StopCause::Stopping))
    }

    fn firmness(&self) -> Firmness {
        let attempts = self.attempts();
        match (attempts.events, attempts.execution.runs()) {
            // A stream that has started keeps its class, since the caller is already reading it.
            (1.., _) => Firmness::Streaming,
            (0, 1..) => Firmness::HasRun,
            (0, 0) => Firmness::New,
        }
    }

    /// Places the request, and reserves its calls in the retry budget.
    pub(super) async fn place(self: Arc<Self>, superseded: Superseded) -> Result<Placed, Failure> {
        let trial = self.check_quarantine().await?;
        self.check_fits()?;
        let permit = self.check_parts(trial.is_some()).await?;
        let (placement, class) = self.admit().await?;
        let (placement, class, payment) = self.pay(placement, class)?;
        let placed = Placed { placement, class, payment, superseded, permit, trial };
        let placement = &placed.placement;
        let (plan, calls) = {
            let mut attempts = self.attempts();
            attempts.plan = (&placement.plan).into();
            attempts.register = self.shared.register_replica().version();
            (attempts.plan, attempts.calls)
        };
        self.shared.metrics.plans.with_label_values(&[plan]).inc();
        let (prefill, decode) = match &placement.plan {
            Plan::Whole { runner } => ("", runner.as_str()),
            Plan::Split { prefill, decode } => (prefill.as_str(), decode.as_str()),
        };
        let prefill_version = RunnerId::try_from(prefill).ok().and_then(|id| self.version_of(&id));
        let decode_version = RunnerId::try_from(decode).ok().and_then(|id| self.version_of(&id));
        let headers = &self.request.caller_headers;
        log::info!(
            request:% = self.request.id, plan = plan, class = placed.class.index(),
            prefill = prefill, decode = decode,
            prefill_version = version_text(prefill_version.as_ref()),
            decode_version = version_text(decode_version.as_ref()),
            resumes = headers.resumes.as_deref().unwrap_or_default(),
            last_event = headers.last_event.as_deref().unwrap_or_default(),
            first_ms = millis(placement.first_event), fresh = placement.prefill_tokens,
            fetch = placement.fetch.as_ref().map_or("", RunnerId::as_str),
            prompt = self.work.prompt, register:% = self.attempts().register,
            fingerprint:% = self.request.fingerprint, parts:% = self.request.part_list(),
            attempt = calls + 1; "placed"
        );
        Ok(placed)
    }

    /// Reserves all calls of a placement in the retry budget, so that a prompt is not prefilled for
    /// a run that cannot be paid for. If the budget has fewer, a plan of a single call is used.
    fn pay(
        &self,
        placement: Placement,
        class: Class,
    ) -> Result<(Placement, Class, Payment), Failure> {
        let reserve = |plan: &Plan| {
            let calls = self.attempts().extra_arrivals(plan);
            Payment::reserve(&self.shared, &self.request.service, calls)
        };
        if let Some(payment) = reserve(&placement.plan) {
            return Ok((placement, class, payment));
        }
        let out_of_budget =
            || Failure::Stopped(self.final_refusal(Reason::Budget), StopCause::Budget);
        let engine = match (&placement.plan, self.request.engine) {
            (Plan::Split { .. }, Some(engine)) => engine,
            (Plan::Split { .. }, None) | (Plan::Whole { .. }, _) => return Err(out_of_budget()),
        };
        let query = self.query(Step::Start(self.firmness()));
        match scheduling::decide_single_call(&self.shared, &query, &engine) {
            Decision::Placed { placement, class } => {
                let payment = reserve(&placement.plan).ok_or_else(out_of_budget)?;
                Ok((placement, class, payment))
            }
            Decision::Continue(_)
            | Decision::Late(_)
            | Decision::NoRunner
            | Decision::RateLimited(_)
            | Decision::Waiting(_)
            | Decision::Refused { .. } => Err(out_of_budget()),
        }
    }

    /// Finds a placement and its class, or a refusal.
    async fn admit(&self) -> Result<(Placement, Class), Failure> {
        let terms = self.request.terms(self.now());
        if terms.left < MIN_TIME_LEFT && self.attempts().calls > 0 {
            return Err(Failure::Stopped(self.deadline_refusal(), StopCause::Deadline));
        }
        match self.decide_in_time(Step::Start(self.firmness())).await {
            Some(Decision::Placed { placement, class }) => {
                self.record_demand(&placement);
                Ok((placement, class))
            }
            Some(Decision::Late(placement)) => {
                self.record_demand(&placement);
                Err(Failure::Stopped(self.late_refusal(&placement), StopCause::Gate))
            }
            Some(Decision::RateLimited(wait)) => {
                Err(Failure::Stopped(self.rate_limit_refusal(wait), StopCause::RateLimit))
            }
            Some(Decision::Refused { reason, retry }) => {
                Err(Failure::Stopped(self.share_refusal(reason, retry), StopCause::Gate))
            }
            _ => Err(Failure::Stopped(self.final_refusal(self.no_runner()), StopCause::NoRunner)),
        }
    }

    /// The refusal of a request that waited in vain for its account's turn.
    fn share_refusal(&self, reason: share::Reason, retry: Duration) -> Refusal {
        let reason = match reason {
            share::Reason::Late => Reason::Late,
            share::Reason::Share | share::Reason::Full => Reason::Share,
        };
        match self.final_refusal(reason) {
            Refusal::NotRun(reason, _) => {
                let terms = self.request.terms(self.now());
                Refusal::NotRun(reason, terms.retry_delay_after(retry, &mut *self.shared.rng()))
            }
            other => other,
        }
    }

    /// The refusal of a request that rate limits block for at least `wait`.
    fn rate_limit_refusal(&self, wait: Duration) -> Refusal {
        match self.final_refusal(Reason::RateLimited) {
            Refusal::NotRun(reason, _) => {
                let terms = self.request.terms(self.now());
                Refusal::NotRun(reason, terms.retry_delay_after(wait, &mut *self.shared.rng()))
            }
            other => other,
        }
    }

    fn record_demand(&self, placement: &Placement) {
        if self.attempts().calls == 0 {
            let mut demand = self.shared.demand();
            demand.entry(self.request.service.clone()).or_default().note(placement.prefill_tokens);
        }
    }

    /// The refusal of a request that cannot meet its deadline or latency objective.
    fn late_refusal(&self, placement: &Placement) -> Refusal {
        let terms = self.request.terms(self.now());
        log::info!(
            request:% = self.request.id, first_ms = millis(placement.first_event),
            read_ms = millis(placement.prefill_end), fresh = placement.prefill_tokens,
            left_ms = terms.left.as_millis() as u64,
            objective_ms = terms.objective.map(|o| o.as_millis() as u64);
            "gate refuses"
        );
        let after = terms.retry_delay(placement.first_event, &mut *self.shared.rng());
        match self.final_refusal(Reason::Late) {
            Refusal::NotRun(reason, _) => Refusal::NotRun(reason, after),
            other => other,
        }
    }

    /// Checks that quarantine allows the request to run. Without this check a request that crashes
    /// every runner it reaches would be retried within its attempts, and again through other nodes,
    /// until no runner is left. Returns its trial if it is restricted.
    async fn check_quarantine(&self) -> Result<Option<Trial>, Failure> {
        if self.attempts().is_unused_trial() {
            return Ok(None);
        }
        let admission = quarantine::admit(&self.shared, &self.request).await;
        let mut attempts = self.attempts();
        match admission {
            quarantine::Admission::Refused => {
                Err(Failure::Stopped(Refusal::Quarantined, StopCause::Quarantine))
            }
            quarantine::Admission::Trial if attempts.calls > 0 => {
                Err(Failure::Stopped(Refusal::Quarantined, StopCause::Quarantine))
            }
            quarantine::Admission::Free if attempts.crashes >= QUARANTINE_ENDS => {
                Err(Failure::Stopped(Refusal::Broken, StopCause::Quarantine))
            }
            quarantine::Admission::Free => Ok(None),
            quarantine::Admission::Restricted(trial) => Ok(Some(trial)),
            quarantine::Admission::Trial => {
                attempts.is_trial = true;
                Ok(None)
            }
            quarantine::Admission::Undecided(after) => {
                drop(attempts);
                Err(self.quarantine_failure(Reason::Restricted, after))
            }
        }
    }

    /// The end of a request that quarantine does not let run now.
    fn quarantine_failure(&self, reason: Reason, after: Duration) -> Failure {
        let refusal = match self.final_refusal(reason) {
            Refusal::NotRun(reason, _) => Refusal::NotRun(reason, after),
            other => other,
        };
        Failure::Stopped(refusal, StopCause::Quarantine)
    }

    /// Checks that no part of the prompt is quarantined, and acquires a permit if one is restricted.
    /// Without this check a part that crashes runners would reach one runner after the other, in
    /// requests of which no two are alike. The trial of a restricted request does not wait for
    /// restricted parts: it is one run at a time already, and the same crashes may have restricted
    /// them.
    async fn check_parts(&self, is_trial: bool) -> Result<Option<Permit>, Failure> {
        let prompt = &self.request.prompt;
        if is_trial && !self.shared.part_quarantine.is_refused(prompt) {
            return Ok(None);
        }
        let may_try = !self.attempts().has_crashed;
        let quarantine = &self.shared.part_quarantine;
        let admission = quarantine.admit(prompt, self.time_left(), may_try).await;
        let (reason, after) = match admission {
            Admission::Free => return Ok(None),
            Admission::Permitted(permit) => return Ok(Some(permit)),
            Admission::Refused(subject, after) => {
                log::info!(
                    request:% = self.request.id, part:% = self.part_id(&subject),
                    fingerprint:% = subject; "quarantine of a prompt part refuses"
                );
                (Reason::PartQuarantined, after)
            }
            Admission::Undecided(after) => (Reason::PartRestricted, after),
        };
        Err(self.quarantine_failure(reason, after))
    }

    /// The id of a part as its caller names it.
    fn part_id(&self, subject: &Subject) -> &str {
        let request = &self.request;
        let at = request.prompt.subjects.iter().position(|known| known == subject);
        let id = at.and_then(|at| request.caller_headers.shared_parts.get(at));
        id.map_or("", PartId::as_str)
    }

    /// Checks immediately before a call that neither the request nor a part of its prompt has been
    /// quarantined or restricted since it was placed.
    pub(super) async fn check_not_quarantined(&self, placed: &mut Placed) -> Result<(), Failure> {
        let (shared, request) = (&self.shared, &self.request);
        let is_allowed = match &placed.trial {
            Some(trial) => trial.is_valid(),
            None => quarantine::is_free(shared, request),
        };
        if !is_allowed && !self.attempts().is_trial {
            // Another request of its group may be tried meanwhile.
            placed.trial = None;
            placed.trial = self.check_quarantine().await?;
        }
        if placed.permit.is_none() {
            placed.permit = self.check_parts(placed.trial.is_some()).await?;
        }
        Ok(())
    }
}
