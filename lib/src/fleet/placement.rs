//! Placement: chooses the runners for a request by predicted latency.
//!
//! A prompt can be prefilled by one runner and decoded by another, or prefilled and decoded by a
//! single decode runner, which is slower. For each option the time to the first event is predicted
//! from the runner's queue, the part of the prompt that it has cached, and its learned speed. The
//! prefill time is then added again with a weight, for the delay that the work causes for other
//! requests. Without that, a busy fleet would prefill shared prompts again on every idle runner and
//! slow itself down.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt as _};
use smallvec::SmallVec;
use strum::{Display, IntoStaticStr};

use super::engine::{Engine, Stage, Work, prefill_time, startup_latency};
use super::load::{Class, Load};
use super::model::{Basis, Forecast};
use super::pool::Pool;
use super::register::Register;
use super::runner::Runner;
use super::version::Version;
use crate::hash::{rendezvous_weight, stable_hash};
use crate::id::{DataCentre, RunnerId, ServiceId};

/// The runners chosen for a generation.
#[derive(Clone, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Plan {
    /// One runner prefills and decodes.
    Whole {
        /// The runner.
        runner: RunnerId,
    },
    /// One runner prefills, another decodes.
    Split {
        /// The runner that prefills the prompt.
        prefill: RunnerId,
        /// The runner that decodes the answer.
        decode: RunnerId,
    },
}

/// A chosen plan with its predicted timing.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The chosen runners.
    pub plan: Plan,
    /// Predicted time to the first event, in seconds from now.
    pub first_event: f64,
    /// Predicted time until the prompt has been prefilled, in seconds from now.
    pub prefill_end: f64,
    /// Predicted time until prefill starts, in seconds from now.
    pub prefill_start: f64,
    /// Prompt tokens to prefill.
    pub prefill_tokens: u64,
    /// The runner from which to fetch the KV cache of the prompt, if that saves prefill.
    pub fetch: Option<RunnerId>,
    /// What the model based the prediction on; `None` if it was not made by the model. It returns
    /// with the observed time.
    pub basis: Option<Basis>,
}

/// The parameters of a placement.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// The preferred pool of the service. Runners of other pools are used only if none of this one
    /// is available. `None` stands for all pools.
    pub pool: Option<Pool>,
    /// The class in which the work would be queued.
    pub class: Class,
    /// The data centre of this node.
    pub data_centre: &'a DataCentre,
    /// Runners to exclude.
    pub skip: &'a [RunnerId],
    /// The version that the work is bound to. `None` allows any, but only one for the whole plan.
    pub version: Option<&'a Version>,
    /// Whether the work continues from a prompt that another runner prefilled. Rate limit tokens
    /// for such work were reserved when its prefill was placed.
    pub continues: bool,
    /// The remaining time within which the first event is on time, if known. Considered by the model
    /// only.
    pub objective: Option<Duration>,
    /// The current time.
    pub now: Instant,
}

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
/// The cost of a runner at a failure rate of 1, in seconds: a failure counts as one lost second.
const FAILURE_COST: f64 = 1.0;
/// The number of runners that a shared prompt has affinity to, in order of preference. The second
/// one takes the overflow of the first and is likely to have the prompt cached too.
const AFFINITY_RUNNERS: usize = 2;
/// The cost reduction for the most preferred runner of a prompt: a constant in seconds, plus a
/// fraction of the time to prefill the shared part that no runner has cached. It makes all nodes
/// start a new prompt on the same runner, even before they have heard of each other's decisions.
const AFFINITY_BONUS: (f64, f64) = (0.04, 0.5);
/// The range of the random cost, in seconds, by which nodes with the same view break ties
/// differently.
const TIE_BREAK_JITTER: f64 = 0.004;
/// The smallest number of tokens worth fetching from another runner: what can be prefilled in the
/// time it takes to set up a transfer.
const MIN_FETCH_TOKENS: u64 = 1_024;
/// The cost of a runner in another data centre, in seconds: the round trip and the price of the
/// traffic.
const CROSS_DATA_CENTRE_COST: f64 = 0.004;
/// The size of the prefill chunks that a runner interleaves with decode steps, in tokens.
const INTERLEAVED_TOKENS: u64 = 256;

struct Candidate<'a> {
    runner: &'a Runner,
    load: Load,
}

fn candidates<'a>(register: &'a Register, criteria: &Criteria<'a>) -> Vec<Candidate<'a>> {
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
    fn cost(&self, criteria: &Criteria<'_>, draw: f64) -> f64 {
        let distance = if self.runner.entry.data_centre == *criteria.data_centre {
            0.0
        } else {
            CROSS_DATA_CENTRE_COST
        };
        self.runner.health.failure_rate() * FAILURE_COST + distance + draw * TIE_BREAK_JITTER
    }

    /// Whether the runner's queue is short enough for more work of `class`.
    fn has_queue_room(&self, class: Class, engine: &Engine) -> bool {
        let limit = if class == Class::LATE { QUEUE_LIMITS.0 } else { QUEUE_LIMITS.1 };
        f64::from(self.load.total()) < limit * f64::from(engine.slots)
    }

    /// Whether no prompt is waiting or being prefilled on the runner.
    fn is_idle(&self) -> bool {
        self.load.tokens_ahead(Class::LATE) == 0
    }

    /// The time from a prefilled prompt to the first event, in seconds: one step, plus one prefill
    /// chunk if the runner also prefills prompts.
    fn first_event(&self) -> f64 {
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

/// The estimated prefill of a prompt on one candidate.
struct PrefillEstimate<'a, 'b> {
    at: &'b Candidate<'a>,
    /// Time until the prompt has been prefilled, in seconds.
    prefill_end: f64,
    /// Time until prefill starts, in seconds.
    prefill_start: f64,
    prefill_tokens: u64,
    fetch: Option<&'b RunnerId>,
    basis: Option<Basis>,
    /// The cost by which candidates are compared, in seconds.
    rank: f64,
}

impl PrefillEstimate<'_, '_> {
    fn placement(&self, plan: Plan, first_event: f64) -> Placement {
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
struct CacheHolder<'b> {
    runner: &'b Runner,
    tokens: u64,
}

/// Finds the runner of the service with the longest cached prefix, including runners that are
/// closed to new requests for now. A KV cache is of use to runners of the same version only.
fn find_cache_holder<'b>(
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
struct PrefillInputs<'b> {
    work: &'b Work,
    engine: &'b Engine,
    cache_holder: Option<CacheHolder<'b>>,
}

fn estimate_prefill<'a, 'b>(
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
fn forecast_prefill<'a, 'b>(
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
fn deadline_cost(
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

/// The candidates of a service by role.
///
/// A runner that has started a prompt prefills it to the end, and everything that arrives
/// meanwhile, including a KV cache from another runner, waits for its first token. One long prompt
/// thus delays every stream that starts on its runner. Therefore some decode runners do no prefill,
/// and late work, most of which is long, is prefilled by a subset of the other runners only.
struct Roles<'a, 'b> {
    /// Decode runners, all of which can continue from a prompt prefilled elsewhere.
    decode: Vec<&'b Candidate<'a>>,
    /// The decode runners that also prefill.
    whole: Vec<&'b Candidate<'a>>,
    /// Prefill runners for work that can be on time.
    prefill: Vec<&'b Candidate<'a>>,
    /// Prefill runners for late work; work that can be on time may use them too. When they are
    /// busy, late work goes to idle runners of `prefill`.
    late: Vec<&'b Candidate<'a>>,
}

/// The fraction of the decode runners that do no prefill, and their minimum as a fraction of all
/// runners. Two of nine carry the streams of the reference load at twice its usual rate with fewer
/// than 60 each.
const DECODE_ONLY: (f64, f64) = (0.4, 0.2);
/// The fraction of the prefill capacity that late work may use. In bursts, one third of the
/// requested tokens cannot be prefilled in time.
const LATE_PREFILL_SHARE: f64 = 0.35;
/// How much longer late work waits for the runners reserved for it before it goes to an idle one of
/// the others, in seconds. There it may delay work that could be on time, on average by half of its
/// prefill. Excluding late work altogether, on a fleet whose other runners were idle for two thirds
/// of the time, made the runners for late work five times as busy as the rest.
const SPILLOVER_WAIT: f64 = 0.2;
/// The fraction of the other prefill runners that late work leaves idle, for work that can be on
/// time.
const IDLE_RESERVE: f64 = 0.5;
/// The queue length of a decode runner, in requests per batch slot, from which it gets no more late
/// work, and from which it gets no other work while another runner is available. A runner rejects
/// whatever arrives when its queue is full, urgent or not, and each rejected call uses up retry
/// budget. Late work that waited for a second filled the queues in which urgent work would have
/// waited for one step.
const QUEUE_LIMITS: (f64, f64) = (2.0, 3.0);
/// The prefill speed of a decode runner relative to a prefill runner: half the speed in chunks of a
/// quarter of the size.
const DECODE_PREFILL_SPEED: f64 = 0.4;

fn assign_roles<'a, 'b>(
    all: &'b [Candidate<'a>],
    criteria: &Criteria<'_>,
    engine: &Engine,
    work: &Work,
) -> Roles<'a, 'b> {
    // The order is the same on all nodes that see the same runners, whatever their number.
    let service = stable_hash(0, criteria.service.as_str().as_bytes());
    let of_stage = |stage| {
        let mut matching: Vec<&Candidate<'_>> =
            all.iter().filter(|c| c.runner.entry.stage == Some(stage)).collect();
        matching.sort_by_key(|c| rendezvous_weight(service, c.runner.entry.id.as_str().as_bytes()));
        matching
    };
    let (mut prefill, mut whole) = (of_stage(Stage::Prefill), of_stage(Stage::Decode));
    let mut decode = whole.clone();
    if !prefill.is_empty() {
        let of_decode = (whole.len() as f64 * DECODE_ONLY.0).ceil();
        let of_all = ((whole.len() + prefill.len()) as f64 * DECODE_ONLY.1).ceil();
        let count = (of_decode.max(of_all) as usize).min(whole.len());
        whole.truncate(whole.len() - count);
    }
    // The decode runners that also prefill, expressed as a number of prefill runners.
    let whole_equivalent = whole.len() as f64 * DECODE_PREFILL_SPEED;
    let for_late =
        (prefill.len() as f64 + whole_equivalent) * LATE_PREFILL_SHARE - whole_equivalent;
    let count = (for_late.max(0.0).round() as usize).min(prefill.len().saturating_sub(1));
    let late = prefill.split_off(prefill.len() - count);
    let room = |c: &&Candidate<'_>| c.runner.has_room(&c.load, engine, work.footprint());
    retain_if_any(&mut decode, room);
    if whole.is_empty() && late.is_empty() {
        whole.clone_from(&decode);
    }
    let open = |c: &&Candidate<'_>| c.has_queue_room(criteria.class, engine);
    retain_if_any(&mut decode, open);
    retain_if_any(&mut whole, open);
    Roles { decode, whole, prefill, late }
}

impl Roles<'_, '_> {
    /// Removes the decode runners whose queues are too long for work of `class`.
    fn drop_full_queues(&mut self, class: Class, engine: &Engine) {
        let open = |c: &&Candidate<'_>| c.has_queue_room(class, engine);
        self.decode.retain(open);
        self.whole.retain(open);
    }
}

/// Keeps only the candidates that match, unless none does.
fn retain_if_any<'a, 'b>(
    candidates: &mut Vec<&'b Candidate<'a>>,
    matches: impl FnMut(&&'b Candidate<'a>) -> bool + Copy,
) {
    if candidates.iter().any(matches) {
        candidates.retain(matches);
    }
}

/// The prefill runners for work of a class, each with an additional cost in seconds.
fn prefill_candidates<'a, 'b>(
    roles: &Roles<'a, 'b>,
    class: Class,
) -> Vec<(&'b Candidate<'a>, f64)> {
    let own = roles.late.iter().map(|c| (*c, 0.0));
    if class != Class::LATE {
        return roles.prefill.iter().map(|c| (*c, 0.0)).chain(own).collect();
    }
    let idle: Vec<_> =
        roles.prefill.iter().filter(|c| c.is_idle()).map(|c| (*c, SPILLOVER_WAIT)).collect();
    let reserve = roles.prefill.len() as f64 * IDLE_RESERVE;
    if idle.len() as f64 > reserve { own.chain(idle).collect() } else { own.collect() }
}

/// Which plans are considered for a generation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Plans {
    /// All of them.
    Any,
    /// Those with a single call to a runner.
    Whole,
}

/// Chooses the runners for a generation. Returns `None` if no runner of the service can run it.
pub fn place_generation<R: Rng>(
    register: &Register,
    criteria: &Criteria<'_>,
    engine: &Engine,
    work: &Work,
    rng: &mut R,
) -> Option<Placement> {
    place_among(register, criteria, engine, work, Plans::Any, rng)
}

/// Chooses the runners for a generation like [`place_generation`], among some of the plans. All
/// runners of a plan have the same version: a KV cache that one version computed does not fit
/// another.
pub fn place_among<R: Rng>(
    register: &Register,
    criteria: &Criteria<'_>,
    engine: &Engine,
    work: &Work,
    plans: Plans,
    rng: &mut R,
) -> Option<Placement> {
    let groups = by_version(candidates(register, criteria));
    let mut best: Option<(f64, Placement)> = None;
    for all in &groups {
        let placed = place_in_version(register, all, criteria, engine, work, plans, rng);
        if let Some((rank, placement)) = placed
            && best.as_ref().is_none_or(|(lowest, _)| rank < *lowest)
        {
            best = Some((rank, placement));
        }
    }
    best.map(|(_, placement)| placement)
}

/// Groups candidates by the version of their software.
fn by_version(all: Vec<Candidate<'_>>) -> SmallVec<[Vec<Candidate<'_>>; 1]> {
    let mut groups: SmallVec<[Vec<Candidate<'_>>; 1]> = SmallVec::new();
    for candidate in all {
        let same = |group: &&mut Vec<Candidate<'_>>| {
            group.first().is_some_and(|c| c.runner.entry.version == candidate.runner.entry.version)
        };
        match groups.iter_mut().find(same) {
            Some(group) => group.push(candidate),
            None => groups.push(vec![candidate]),
        }
    }
    groups
}

/// Chooses the runners for a generation among candidates of one version. Returns them with their
/// cost, by which versions are compared.
fn place_in_version<R: Rng>(
    register: &Register,
    all: &[Candidate<'_>],
    criteria: &Criteria<'_>,
    engine: &Engine,
    work: &Work,
    plans: Plans,
    rng: &mut R,
) -> Option<(f64, Placement)> {
    let version = &all.first()?.runner.entry.version;
    let mut roles = assign_roles(all, criteria, engine, work);
    if criteria.class == Class::LATE {
        roles.drop_full_queues(Class::LATE, engine);
    }
    let prefill_candidates = prefill_candidates(&roles, criteria.class);
    let affinity_runners =
        affinity_runners(prefill_candidates.iter().map(|(candidate, _)| *candidate), work);
    let inputs = PrefillInputs {
        work,
        engine,
        cache_holder: find_cache_holder(register, criteria, version, work, criteria.now),
    };
    let best_prefill = prefill_candidates
        .iter()
        .map(|(c, cost)| {
            let mut estimate = estimate_prefill(c, criteria, &inputs, rng.random());
            estimate.rank += cost - affinity_bonus(&affinity_runners, &estimate, &inputs);
            estimate
        })
        .min_by(|a, b| a.rank.total_cmp(&b.rank));
    let split = best_prefill
        .filter(|_| plans == Plans::Any)
        .and_then(|prefill| split(&prefill, &roles.decode, criteria, engine, work, rng));
    let wholes =
        if plans == Plans::Whole && roles.whole.is_empty() { &roles.decode } else { &roles.whole };
    let whole = wholes
        .iter()
        .map(|c| {
            let mut estimate = estimate_prefill(c, criteria, &inputs, rng.random());
            let slot = c.runner.wait_for_slot(&c.load, criteria.class, engine.slots);
            let first = match &mut estimate.basis {
                // The model predicts the first event as a whole.
                Some(basis) => {
                    basis.extra += slot as f32;
                    slot
                }
                None => c.first_event() + slot,
            };
            (estimate.rank + first, estimate.prefill_end + first, estimate)
        })
        .min_by(|a, b| a.0.total_cmp(&b.0));
    let whole = whole.map(|(rank, first, estimate)| {
        let plan = Plan::Whole { runner: estimate.at.runner.entry.id.clone() };
        (rank, estimate.placement(plan, first))
    });
    match (split, whole) {
        (Some(split), Some(whole)) => Some(if split.0 <= whole.0 { split } else { whole }),
        (one, other) => one.or(other),
    }
}

fn split<R: Rng>(
    prefill: &PrefillEstimate<'_, '_>,
    decode: &[&Candidate<'_>],
    criteria: &Criteria<'_>,
    engine: &Engine,
    work: &Work,
    rng: &mut R,
) -> Option<(f64, Placement)> {
    let from = &prefill.at.runner.entry;
    let (rank, first, decode_runner) =
        soonest_decode_runner(&from.data_centre, decode, criteria, engine, work, rng)?;
    let plan = Plan::Split { prefill: from.id.clone(), decode: decode_runner.clone() };
    Some((prefill.rank + rank, prefill.placement(plan, prefill.prefill_end + first)))
}

/// Returns the runner that can continue soonest from a prompt prefilled in data centre `from`, with
/// its cost and the time to the first event.
fn soonest_decode_runner<'a, R: Rng>(
    from: &DataCentre,
    decode: &[&Candidate<'a>],
    criteria: &Criteria<'_>,
    engine: &Engine,
    work: &Work,
    rng: &mut R,
) -> Option<(f64, f64, &'a RunnerId)> {
    let ranked = decode.iter().map(|c| {
        let near = c.runner.entry.data_centre == *from;
        let wait = c.runner.wait(&c.load, criteria.class)
            + c.runner.wait_for_slot(&c.load, criteria.class, engine.slots);
        let first = wait + c.first_event() + engine.transfer_time(work.prompt, near);
        (first + c.cost(criteria, rng.random()), first, &c.runner.entry.id)
    });
    ranked.min_by(|a, b| a.0.total_cmp(&b.0))
}

/// Chooses the runner that continues from a prompt prefilled by `prefill_runner`. Prefill takes up
/// to several seconds, in which the runner planned for decoding may have started to drain. It has
/// the version of the prefill runner.
pub fn place_decode<R: Rng>(
    register: &Register,
    criteria: &Criteria<'_>,
    engine: &Engine,
    work: &Work,
    prefill_runner: &RunnerId,
    rng: &mut R,
) -> Option<RunnerId> {
    let prefill_entry = &register.get(prefill_runner)?.entry;
    let criteria = &Criteria { version: Some(&prefill_entry.version), ..*criteria };
    let all = candidates(register, criteria);
    let roles = assign_roles(&all, criteria, engine, work);
    let from = &prefill_entry.data_centre;
    let decode_runners = if roles.decode.is_empty() { &roles.whole } else { &roles.decode };
    soonest_decode_runner(from, decode_runners, criteria, engine, work, rng)
        .map(|(.., id)| id.clone())
}

/// The runners that a shared prompt has affinity to, most preferred first. All nodes that see the
/// same runners get the same result.
fn affinity_runners<'a>(
    runners: impl Iterator<Item = &'a Candidate<'a>>,
    work: &Work,
) -> SmallVec<[&'a RunnerId; AFFINITY_RUNNERS]> {
    let key = work.chain.affinity_key().0;
    let mut affinity_runners: SmallVec<[(u64, &RunnerId); AFFINITY_RUNNERS + 1]> = SmallVec::new();
    for candidate in runners {
        let id = &candidate.runner.entry.id;
        let weight = rendezvous_weight(key, id.as_str().as_bytes());
        let at = affinity_runners.partition_point(|(other, _)| *other > weight);
        if at < AFFINITY_RUNNERS {
            affinity_runners.insert(at, (weight, id));
            affinity_runners.truncate(AFFINITY_RUNNERS);
        }
    }
    affinity_runners.into_iter().map(|(_, id)| id).collect()
}

/// The cost reduction of a candidate that the prompt has affinity to, in seconds.
fn affinity_bonus(
    affinity_runners: &[&RunnerId],
    estimate: &PrefillEstimate<'_, '_>,
    inputs: &PrefillInputs<'_>,
) -> f64 {
    let id = &estimate.at.runner.entry.id;
    let Some(at) = affinity_runners.iter().position(|r| *r == id) else { return 0.0 };
    let cached = inputs.cache_holder.as_ref().map_or(0, |holder| holder.tokens);
    let missing = inputs.work.chain.shared().saturating_sub(cached);
    let time = if estimate.basis.is_some() {
        estimate.at.runner.prefill_time(&Load::default(), missing, cached)
    } else {
        prefill_time(Stage::Prefill, missing, cached, 0)
    };
    let full_bonus = AFFINITY_BONUS.0 + AFFINITY_BONUS.1 * time;
    full_bonus * (1.0 - at as f64 / AFFINITY_RUNNERS as f64)
}

/// The runner chosen for a plain request, which is one that does not generate tokens.
#[derive(Clone, Debug, PartialEq)]
pub struct Plain {
    /// The runner.
    pub runner: RunnerId,
    /// Predicted time to the answer, in seconds from now.
    pub answer: f64,
}

/// Chooses the runner for a plain request. Returns `None` if the service has no available runner.
pub fn place_plain<R: Rng>(
    register: &Register,
    criteria: &Criteria<'_>,
    rng: &mut R,
) -> Option<Plain> {
    let all = candidates(register, criteria);
    let ranked = all.iter().map(|c| {
        let slots = f64::from(c.runner.entry.slots.max(1));
        let ahead = (f64::from(c.load.total()) + 1.0 - slots).max(0.0);
        let answer = c.runner.answer_time * (1.0 + ahead / slots);
        // Among equal runners the least utilized one is chosen, so that bursts spread.
        let fullness = f64::from(c.load.total()) / slots * c.runner.answer_time;
        (answer + fullness + c.cost(criteria, rng.random()), answer, c)
    });
    let (_, answer, best) = ranked.min_by(|a, b| a.0.total_cmp(&b.0))?;
    Some(Plain { runner: best.runner.entry.id.clone(), answer })
}
