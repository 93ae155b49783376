//! The estimated prefill of a prompt on a runner.

use std::time::Instant;

use super::candidate::Candidate;
use super::{Criteria, Placement, Plan};
use crate::fleet::engine::{Engine, Stage, Work, startup_latency};
use crate::fleet::load::Class;
use crate::fleet::model::{Basis, Forecast};
use crate::fleet::register::Register;
use crate::fleet::runner::Runner;
use crate::fleet::version::Version;
use crate::id::RunnerId;

/// The weight of the prefill time in the cost of a placement, for the delay that the work causes
/// for other requests. With a lower weight, more prompts are prefilled again at a less loaded runner
/// instead of waiting for one that has them cached.
const QUEUEING_WEIGHT: f64 = 2.0;
/// The weight of the time by which the first event is late with a probability of a tenth. It
/// outweighs the delay of others, since work that is late is lost.
const TARDINESS_WEIGHT: f64 = 3.0;
/// The cost of a faster runner for work that has slack, as a fraction of the slack, at an advantage
/// of 1: short prompts wait this much longer elsewhere, so that the fast runners have room for the
/// long prompts that are in time nowhere else.
const HEADROOM_FRACTION: f64 = 0.1;
/// The smallest number of tokens worth fetching from another runner: what can be prefilled in the
/// time it takes to set up a transfer.
const MIN_FETCH_TOKENS: u64 = 1_024;

/// The estimated prefill of a prompt on one candidate.
pub(super) struct PrefillEstimate<'a, 'b> {
    pub(super) at: &'b Candidate<'a>,
    /// Time until the prompt has been prefilled, in seconds.
    pub(super) prefill_end: f64,
    /// Time until prefill starts, in seconds.
    pub(super) prefill_start: f64,
    pub(super) prefill_tokens: u64,
    pub(super) fetch: Option<&'b RunnerId>,
    pub(super) basis: Option<Basis>,
    /// The cost by which candidates are compared, in seconds.
    pub(super) rank: f64,
}

impl PrefillEstimate<'_, '_> {
    pub(super) fn placement(&self, plan: Plan, first_event: f64) -> Placement {
        let Self { prefill_end, prefill_start, prefill_tokens, .. } = *self;
        Placement {
            plan,
            first_event,
            prefill_end,
            prefill_start,
            prefill_tokens,
            fetch: self.fetch.cloned(),
            basis: self.basis,
        }
    }
}

/// The runner that has the longest prefix of a prompt cached, and the length of that prefix in
/// tokens.
pub(super) struct CacheHolder<'b> {
    pub(super) runner: &'b Runner,
    pub(super) tokens: u64,
}

/// Finds the runner of the service with the longest cached prefix, including runners that are
/// closed to new requests for now. A KV cache is of use to runners of the same version only.
pub(super) fn find_cache_holder<'b>(
    register: &'b Register,
    criteria: &Criteria<'b>,
    version: &Version,
    work: &Work,
    now: Instant,
) -> Option<CacheHolder<'b>> {
    let in_pool = |r: &&Runner| {
        criteria.pool.is_none_or(|pool| r.pool == pool) && r.entry.version == *version
    };
    let eligible = register.of(criteria.service).filter(in_pool).filter(|r| r.takes_work(now));
    let holders =
        eligible.map(|runner| CacheHolder { runner, tokens: runner.cache.fetchable(&work.chain) });
    holders.filter(|holder| holder.tokens > 0).max_by_key(|holder| holder.tokens)
}

/// The inputs of a prefill estimate that are the same for all candidates.
pub(super) struct PrefillInputs<'b> {
    pub(super) work: &'b Work,
    pub(super) engine: &'b Engine,
    pub(super) cache_holder: Option<CacheHolder<'b>>,
}

pub(super) fn estimate_prefill<'a, 'b>(
    at: &'b Candidate<'a>,
    criteria: &Criteria<'_>,
    inputs: &'b PrefillInputs<'b>,
    draw: f64,
) -> PrefillEstimate<'a, 'b> {
    let work = inputs.work;
    let mut cached = at.runner.cache.cached(&work.chain, criteria.now).min(work.prompt);
    let (mut fetch, mut fetching) = (None, 0.0);
    if let Some(holder) = &inputs.cache_holder
        && holder.runner.entry.id != at.runner.entry.id
        && holder.tokens >= cached + MIN_FETCH_TOKENS
    {
        let near = holder.runner.entry.data_centre == at.runner.entry.data_centre;
        fetching = inputs.engine.transfer_time(holder.tokens - cached, near);
        cached = holder.tokens.min(work.prompt);
        fetch = Some(&holder.runner.entry.id);
    }
    let prefill_tokens = work.prompt - cached;
    if let Some(basis) = at.runner.basis(&at.load, criteria.class, prefill_tokens, cached) {
        let basis = Basis { extra: fetching as f32, ..basis };
        return forecast_prefill(at, criteria, inputs, basis, fetch, draw);
    }
    let time = at.runner.prefill_time(&at.load, prefill_tokens, cached) + fetching;
    let prefill_start = at.runner.wait(&at.load, criteria.class);
    let prefill_end = prefill_start + time + startup_latency();
    let rank = prefill_end + time * QUEUEING_WEIGHT + at.cost(criteria, draw);
    let basis = None;
    PrefillEstimate { at, prefill_end, prefill_start, prefill_tokens, fetch, basis, rank }
}

/// Estimates a prefill by the model.
pub(super) fn forecast_prefill<'a, 'b>(
    at: &'b Candidate<'a>,
    criteria: &Criteria<'_>,
    inputs: &PrefillInputs<'_>,
    basis: Basis,
    fetch: Option<&'b RunnerId>,
    draw: f64,
) -> PrefillEstimate<'a, 'b> {
    let forecast = at.runner.forecast(&basis).unwrap_or_default();
    let (prefill_start, prefill_end) = (forecast.prefill_start, forecast.first_event);
    // The work delays others by its time on a runner of the usual speed. With its time on this
    // runner, all work would prefer the fast runners.
    let time = at.runner.usual_prefill_time(&basis);
    let objective = deadline_cost(at, criteria, inputs, &forecast);
    let rank = prefill_end + time * QUEUEING_WEIGHT + objective + at.cost(criteria, draw);
    let prefill_tokens = basis.fresh;
    PrefillEstimate {
        at,
        prefill_end,
        prefill_start,
        prefill_tokens,
        fetch,
        basis: Some(basis),
        rank,
    }
}

/// The cost of a forecast with respect to the objective of the work, in seconds.
pub(super) fn deadline_cost(
    at: &Candidate<'_>,
    criteria: &Criteria<'_>,
    inputs: &PrefillInputs<'_>,
    forecast: &Forecast,
) -> f64 {
    let Some(objective) = criteria.objective.filter(|_| criteria.class != Class::LATE) else {
        return 0.0;
    };
    let objective = objective.as_secs_f64();
    let transfer = match at.runner.entry.stage {
        Some(Stage::Prefill) => inputs.engine.transfer_time(inputs.work.prompt, true),
        Some(Stage::Decode) | None => 0.0,
    };
    let slack = objective - forecast.latest - transfer;
    if slack < 0.0 {
        return -slack * TARDINESS_WEIGHT;
    }
    let advantage = (1.0 - at.runner.slowness()).max(0.0);
    slack * advantage * HEADROOM_FRACTION
}
