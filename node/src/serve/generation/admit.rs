//! Admission of generation requests, and the choice of their runners.

use std::time::{Duration, Instant};

use sardinepick_lib::fleet::admission::Reason;
use sardinepick_lib::fleet::load::Class;
use sardinepick_lib::fleet::placement::Placement;
use sardinepick_lib::fleet::scheduler::{self, Decision, Firmness, Step};
use sardinepick_lib::fleet::suspect::QUARANTINE_ENDS;
use sardinepick_lib::id::RunnerId;

use smallvec::SmallVec;

use super::{GenerationTask, MIN_TIME_LEFT, Stop, StopCause, millis};
use crate::serve::quarantine::{self, Admission};
use crate::serve::response::Refusal;
use crate::serve::scheduler as scheduling;

/// The maximum number of backed-off runners that a scheduling request lists for exclusion, at up to
/// 24 bytes each.
const MAX_EXCLUDED: usize = 12;

impl GenerationTask {
    /// Requests a placement decision from the scheduler; `None` if the service has no engines.
    async fn decide(&self, step: Step) -> Option<Decision> {
        let engine = self.request.engine?;
        let now = self.shared.clock.now();
        let ask = scheduler::Query {
            service: self.request.service.clone(),
            data_centre: self.shared.me.data_centre.clone(),
            terms: self.request.terms(now),
            work: self.work.clone(),
            skip: self.excluded_runners(now),
            step,
        };
        let (decision, by) = scheduling::decide(&self.shared, ask, &engine).await;
        self.shared.metrics.placements.with_label_values(&[by]).inc();
        Some(decision)
    }

    /// The runners to exclude from placement. A scheduler does not know which runners this node
    /// backs off from.
    fn excluded_runners(&self, now: Instant) -> SmallVec<[RunnerId; 4]> {
        let register = self.shared.register();
        let backed_off = register.backing_off(&self.request.service, now).take(MAX_EXCLUDED);
        self.tried.iter().chain(backed_off).cloned().collect()
    }

    /// Chooses the decode runner for a prompt that has been processed.
    pub(super) async fn place_decode(
        &self,
        class: Class,
        prefill_runner: &RunnerId,
    ) -> Result<RunnerId, Stop> {
        match self.decide(Step::Continue { prefill_runner: prefill_runner.clone(), class }).await {
            Some(Decision::Continue(runner)) => Ok(runner),
            Some(Decision::RateLimited(wait)) => {
                Err(Stop::Refuse(self.rate_limit_refusal(wait), StopCause::RateLimit))
            }
            _ => Err(Stop::Refuse(self.final_refusal(Reason::NoRunner), StopCause::NoRunner)),
        }
    }

    /// Finds a placement and its class, or a refusal.
    pub(super) async fn admit(&mut self) -> Result<(Placement, Class), Stop> {
        let terms = self.request.terms(self.shared.clock.now());
        if terms.left < MIN_TIME_LEFT && self.calls > 0 {
            return Err(Stop::Refuse(self.deadline_refusal(), StopCause::Deadline));
        }
        let firmness = match (self.events, self.runs) {
            // A stream that has started keeps its class, since the caller is already reading it.
            (1.., _) => Firmness::Streaming,
            (0, 1..) => Firmness::HasRun,
            (0, 0) => Firmness::New,
        };
        match self.decide(Step::Start(firmness)).await {
            Some(Decision::Placed { placement, class }) => {
                self.record_demand(&placement);
                Ok((placement, class))
            }
            Some(Decision::Late(placement)) => {
                self.record_demand(&placement);
                Err(Stop::Refuse(self.late_refusal(&placement), StopCause::Gate))
            }
            Some(Decision::RateLimited(wait)) => {
                Err(Stop::Refuse(self.rate_limit_refusal(wait), StopCause::RateLimit))
            }
            _ => Err(Stop::Refuse(self.final_refusal(Reason::NoRunner), StopCause::NoRunner)),
        }
    }

    /// The refusal of a request that rate limits block for at least `wait`.
    fn rate_limit_refusal(&self, wait: Duration) -> Refusal {
        match self.final_refusal(Reason::RateLimited) {
            Refusal::NotRun(reason, _) => {
                let terms = self.request.terms(self.shared.clock.now());
                Refusal::NotRun(reason, terms.retry_delay_after(wait, &mut *self.shared.rng()))
            }
            other => other,
        }
    }

    fn record_demand(&self, placement: &Placement) {
        if self.calls == 0 {
            let mut demand = self.shared.demand();
            demand.entry(self.request.service.clone()).or_default().note(placement.prefill_tokens);
        }
    }

    /// The refusal of a request that cannot meet its deadline or latency objective.
    fn late_refusal(&self, placement: &Placement) -> Refusal {
        let terms = self.request.terms(self.shared.clock.now());
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
    /// until no runner is left.
    pub(super) async fn check_quarantine(&mut self) -> Result<(), Stop> {
        if self.is_trial && self.runs == 0 && self.crashes == 0 {
            return Ok(());
        }
        let admission = tokio::select! {
            () = self.caller.disconnected() => return Err(Stop::CallerLeft),
            admission = quarantine::admit(&self.shared, &self.request) => admission,
        };
        match admission {
            Admission::Refused => Err(Stop::Refuse(Refusal::Quarantined, StopCause::Quarantine)),
            Admission::Trial if self.calls > 0 => {
                Err(Stop::Refuse(Refusal::Quarantined, StopCause::Quarantine))
            }
            Admission::Free if self.crashes >= QUARANTINE_ENDS => {
                Err(Stop::Refuse(Refusal::Broken, StopCause::Quarantine))
            }
            Admission::Free => Ok(()),
            Admission::Trial => {
                self.is_trial = true;
                Ok(())
            }
        }
    }

    /// Takes one call from the retry budget. The first call of a request is free, and so is the
    /// first prefill that a runner accepts; a second prefill counts like a second run.
    pub(super) fn take_retry_budget(&mut self) -> Result<(), Stop> {
        if !self.is_trial && quarantine::is_refused(&self.shared, &self.request) {
            return Err(Stop::Refuse(Refusal::Quarantined, StopCause::Quarantine));
        }
        if self.arrivals == 0 || self.shared.take_extra_arrival(&self.request.service) {
            return Ok(());
        }
        Err(Stop::Refuse(self.final_refusal(Reason::Budget), StopCause::Budget))
    }
}
