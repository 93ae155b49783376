//! The runners that are eligible for a request.

use super::Criteria;
use crate::fleet::engine::{Engine, Stage, prefill_time};
use crate::fleet::load::{Class, Load};
use crate::fleet::register::Register;
use crate::fleet::runner::Runner;

/// The cost of a runner at a failure rate of 1, in seconds: a failure counts as one lost second.
const FAILURE_COST: f64 = 1.0;
/// The range of the random cost, in seconds, by which nodes with the same view break ties
/// differently.
const TIE_BREAK_JITTER: f64 = 0.004;
/// The cost of a runner in another data centre, in seconds: the round trip and the price of the
/// traffic.
const CROSS_DATA_CENTRE_COST: f64 = 0.004;
/// The size of the prefill chunks that a runner interleaves with decode steps, in tokens.
const INTERLEAVED_TOKENS: u64 = 256;
/// The queue length of a decode runner, in requests per batch slot, from which it gets no more late
/// work, and from which it gets no other work while another runner is available. A runner rejects
/// whatever arrives when its queue is full, urgent or not, and each rejected call uses up retry
/// budget. Late work that waited for a second filled the queues in which urgent work would have
/// waited for one step.
const QUEUE_LIMITS: (f64, f64) = (2.0, 3.0);

/// An eligible runner and the load of all nodes on it.
pub(super) struct Candidate<'a> {
    pub(super) runner: &'a Runner,
    pub(super) load: Load,
}

pub(super) fn candidates<'a>(
    register: &'a Register,
    criteria: &Criteria<'a>,
) -> Vec<Candidate<'a>> {
    let may_run = |r: &&Runner| {
        !criteria.skip.contains(&r.entry.id)
            && criteria.version.is_none_or(|version| r.entry.version == *version)
    };
    let now = criteria.now;
    let usable = |r: &&Runner| {
        let has_reserved = criteria.continues && r.limit.has_reserved(now);
        r.accepts(now) || has_reserved && r.takes_work(now) && r.back_off.is_over(now)
    };
    let all = || register.of(criteria.service).filter(may_run);
    let with_load = |runner: &'a Runner| Candidate { runner, load: runner.load(criteria.now) };
    let in_pool = |r: &&Runner| criteria.pool.is_none_or(|pool| r.pool == pool);
    // Prefill runners alone can finish nothing.
    let can_finish = |eligible: &[Candidate<'_>]| {
        eligible.iter().any(|c| c.runner.entry.stage != Some(Stage::Prefill))
    };
    // A stream that is bound to a version goes on at once.
    let is_settled = |r: &&Runner| {
        criteria.version.is_some() || r.entry.stage.is_none() || !register.is_new_version(r)
    };
    let settled = all().filter(in_pool).filter(usable).filter(is_settled);
    let mut eligible: Vec<Candidate<'a>> = settled.map(with_load).collect();
    if !can_finish(&eligible) {
        eligible = all().filter(usable).map(with_load).collect();
    }
    if !can_finish(&eligible) {
        // A runner that is being probed after failures is better than a refusal.
        let open = |r: &&Runner| r.is_last_resort() && r.closed(criteria.now).is_none();
        eligible.extend(all().filter(open).filter(|r| !usable(r)).map(with_load));
    }
    eligible
}

impl Candidate<'_> {
    pub(super) fn cost(&self, criteria: &Criteria<'_>, draw: f64) -> f64 {
        let distance = if self.runner.entry.data_centre == *criteria.data_centre {
            0.0
        } else {
            CROSS_DATA_CENTRE_COST
        };
        self.runner.health.failure_rate() * FAILURE_COST + distance + draw * TIE_BREAK_JITTER
    }

    /// Whether the runner's queue is short enough for more work of `class`.
    pub(super) fn has_queue_room(&self, class: Class, engine: &Engine) -> bool {
        let limit = if class == Class::LATE { QUEUE_LIMITS.0 } else { QUEUE_LIMITS.1 };
        f64::from(self.load.total()) < limit * f64::from(engine.slots)
    }

    /// Whether no prompt is waiting or being prefilled on the runner.
    pub(super) fn is_idle(&self) -> bool {
        self.load.tokens_ahead(Class::LATE) == 0
    }

    /// The time from a prefilled prompt to the first event, in seconds: one step, plus one prefill
    /// chunk if the runner also prefills prompts.
    pub(super) fn first_event(&self) -> f64 {
        let interleaved = if self.is_idle() {
            0.0
        } else if self.runner.rates.is_some() {
            self.runner.prefill_time(&Load::default(), INTERLEAVED_TOKENS, 0)
        } else {
            prefill_time(Stage::Decode, INTERLEAVED_TOKENS, 0, 0)
        };
        self.runner.step(&self.load) + interleaved
    }
}
