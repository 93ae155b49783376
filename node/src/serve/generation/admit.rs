//! Whether a generation may go to a runner, and to which.

use std::time::{Duration, Instant};

use sardinepick_lib::fleet::admission::Reason;
use sardinepick_lib::fleet::load::Class;
use sardinepick_lib::fleet::placement::Placement;
use sardinepick_lib::fleet::scheduler::{self, Decision, Firmness, Step};
use sardinepick_lib::fleet::suspect::QUARANTINE_ENDS;
use sardinepick_lib::id::RunnerId;

use smallvec::SmallVec;

use super::{LEAST_LEFT, Stop, Way, millis};
use crate::serve::answer::Refusal;
use crate::serve::quarantine::{self, Admission};
use crate::serve::scheduler as scheduling;

/// The most runners from which this node backs off that a scheduler is told not to take, at up to 24
/// bytes each.
const MOST_SKIPPED: usize = 12;

impl Way {
    /// Has it decided where the request goes; none if its service has no engines.
    async fn decide(&self, step: Step) -> Option<Decision> {
        let engine = self.request.engine?;
        let now = self.shared.clock.now();
        let ask = scheduler::Query {
            service: self.request.service.clone(),
            data_centre: self.shared.me.data_centre.clone(),
            terms: self.request.terms(now),
            work: self.work.clone(),
            skip: self.skipped(now),
            step,
        };
        let (decision, by) = scheduling::decide(&self.shared, ask, &engine).await;
        self.shared.metrics.decided.with_label_values(&[by]).inc();
        Some(decision)
    }

    /// The runners that are not to be taken: a scheduler does not know from whom this node backs off.
    fn skipped(&self, now: Instant) -> SmallVec<[RunnerId; 4]> {
        let register = self.shared.register();
        let others = register.backing_off(&self.request.service, now).take(MOST_SKIPPED);
        self.tried.iter().chain(others).cloned().collect()
    }

    /// Chooses the runner that goes on from a prompt that has been read.
    pub(super) async fn place_decode(
        &self,
        class: Class,
        reader: &RunnerId,
    ) -> Result<RunnerId, Stop> {
        match self.decide(Step::Continue { prefill_runner: reader.clone(), class }).await {
            Some(Decision::Continue(runner)) => Ok(runner),
            Some(Decision::RateLimited(wait)) => Err(Stop::Refuse(self.refuse_limited(wait))),
            _ => Err(Stop::Refuse(self.give_up(Reason::NoRunner))),
        }
    }

    /// Finds a plan and the class for it, or refuses.
    pub(super) async fn admit(&mut self) -> Result<(Placement, Class), Stop> {
        let terms = self.request.terms(self.shared.clock.now());
        if terms.left < LEAST_LEFT && self.calls > 0 {
            return Err(Stop::Refuse(self.late()));
        }
        let firmness = match (self.events, self.runs) {
            // A stream that has begun goes on in its class: the caller is reading it.
            (1.., _) => Firmness::Streaming,
            (0, 1..) => Firmness::HasRun,
            (0, 0) => Firmness::New,
        };
        match self.decide(Step::Start(firmness)).await {
            Some(Decision::Placed { placement, class }) => {
                self.note_demand(&placement);
                Ok((placement, class))
            }
            Some(Decision::Late(placement)) => {
                self.note_demand(&placement);
                Err(Stop::Refuse(self.refuse_late(&placement)))
            }
            Some(Decision::RateLimited(wait)) => Err(Stop::Refuse(self.refuse_limited(wait))),
            _ => Err(Stop::Refuse(self.give_up(Reason::NoRunner))),
        }
    }

    /// The refusal of a request for which rate limits leave no room for `wait`.
    fn refuse_limited(&self, wait: Duration) -> Refusal {
        match self.give_up(Reason::RateLimited) {
            Refusal::NotRun(reason, _) => {
                let terms = self.request.terms(self.shared.clock.now());
                Refusal::NotRun(reason, terms.retry_delay_after(wait, &mut *self.shared.rng()))
            }
            other => other,
        }
    }

    fn note_demand(&self, placement: &Placement) {
        if self.calls == 0 {
            let mut demand = self.shared.demand();
            demand.entry(self.request.service.clone()).or_default().note(placement.prefill_tokens);
        }
    }

    /// The refusal of a request that cannot be in time.
    fn refuse_late(&self, placement: &Placement) -> Refusal {
        let terms = self.request.terms(self.shared.clock.now());
        log::info!(
            request:% = self.request.id, first_ms = millis(placement.first_event),
            read_ms = millis(placement.prefill_end), fresh = placement.prefill_tokens,
            left_ms = terms.left.as_millis() as u64,
            objective_ms = terms.objective.map(|o| o.as_millis() as u64);
            "gate refuses"
        );
        let after = terms.retry_delay(placement.first_event, &mut *self.shared.rng());
        match self.give_up(Reason::Late) {
            Refusal::NotRun(reason, _) => Refusal::NotRun(reason, after),
            other => other,
        }
    }

    /// Makes sure that it may go to a runner. Without this a request that ends each runner that runs it
    /// would be sent on within its attempt, and again at other nodes, until none is left.
    pub(super) async fn pass_quarantine(&mut self) -> Result<(), Stop> {
        if self.is_trial && self.runs == 0 && self.ends == 0 {
            return Ok(());
        }
        let admission = tokio::select! {
            () = self.caller.left() => return Err(Stop::CallerLeft),
            admission = quarantine::admit(&self.shared, &self.request) => admission,
        };
        match admission {
            Admission::Refused => Err(Stop::Refuse(Refusal::Quarantined)),
            Admission::Trial if self.calls > 0 => Err(Stop::Refuse(Refusal::Quarantined)),
            Admission::Free if self.ends >= QUARANTINE_ENDS => Err(Stop::Refuse(Refusal::Broken)),
            Admission::Free => Ok(()),
            Admission::Trial => {
                self.is_trial = true;
                Ok(())
            }
        }
    }

    /// Pays for one more arrival at a runner. A request's first is free, and so is the first reading
    /// of its prompt that a runner takes up; a second reading counts like a second run.
    pub(super) fn pay(&mut self) -> Result<(), Stop> {
        if !self.is_trial && quarantine::is_refused(&self.shared, &self.request) {
            return Err(Stop::Refuse(Refusal::Quarantined));
        }
        if self.arrivals == 0 || self.shared.take_extra(&self.request.service) {
            return Ok(());
        }
        Err(Stop::Refuse(self.give_up(Reason::Budget)))
    }
}
