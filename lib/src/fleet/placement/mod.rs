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

use self::affinity::{affinity_bonus, affinity_runners};
use self::candidate::{Candidate, candidates};
use self::prefill::{PrefillEstimate, PrefillInputs, estimate_prefill, find_cache_holder};
use self::roles::{assign_roles, prefill_candidates};
use super::engine::{Engine, Work};
use super::load::Class;
use super::model::Basis;
use super::pool::Pool;
use super::register::Register;
use super::version::Version;
use crate::id::{DataCentre, RunnerId, ServiceId};

mod affinity;
mod candidate;
mod prefill;
mod roles;

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
