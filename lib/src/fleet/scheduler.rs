//! Pool scheduling: the requests that a node sends to the scheduler of a pool, and the scheduler's
//! decisions.
//!
//! With hundreds of nodes, each of which handles a few requests per second, the load that one node
//! puts on a runner says nothing about how busy the runner is, and reports from other nodes are
//! older than the time a prompt takes to prefill. Therefore one node places all work of a pool; it
//! learns of every start and end.
//!
//! The node that asks keeps the responsibility for its request: only it knows whether the request
//! has run, may run again, or is late. The scheduler decides only where it runs.

use std::time::{Duration, Instant};

use rand::Rng;
use smallvec::SmallVec;

use super::admission::Terms;
use super::cache::Progress;
use super::engine::{Engine, Work, startup_latency};
use super::health::Outcome;
use super::holding::runner::Room;
use super::load::Class;
use super::model::Basis;
use super::placement::{self, Criteria, Placement, Plan, Plans};
use super::pool::Pool;
use super::register::{Register, WorkCost};
use super::runner::{Closed, Runner};
use super::share::{self, Account};
use super::version::Version;
use crate::hash::rendezvous_weight;
use crate::id::{DataCentre, NodeId, RunnerId, ServiceId};

/// The time in which the scheduler of a pool must reply before it is asked again, and then before
/// the asking node places the request by its own prediction. Nodes are at most a few milliseconds
/// apart, and a caller can spare one twentieth of the shortest objective of a generation.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(30);
/// The number of times a scheduler is asked.
pub const MAX_QUERIES: u32 = 2;
/// The number of consecutive unanswered queries after which another node takes over from a
/// scheduler. A single datagram may be lost.
pub const MAX_UNANSWERED: u32 = 2;
/// How long another node takes over. A node that was partitioned or stalled is back soon; one that
/// is gone has left the roster by then.
pub const TAKEOVER_PERIOD: Duration = Duration::from_secs(2);

/// A query to the scheduler of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Query {
    /// The service.
    pub service: ServiceId,
    /// The data centre of the asking node.
    pub data_centre: DataCentre,
    /// The admission terms of the request.
    pub terms: Terms,
    /// The engine work of the request.
    pub work: Work,
    /// Runners to exclude.
    pub skip: SmallVec<[RunnerId; 4]>,
    /// The version that the request is bound to.
    pub version: Option<Version>,
    /// The client account; [`Account::NONE`] if work of accounts is not shared.
    pub account: Account,
    /// How long the request has already waited at schedulers.
    pub waited: Duration,
    /// The step to be decided.
    pub step: Step,
}

impl Query {
    /// The query after the request has waited `wait` more.
    pub fn after(&self, wait: Duration) -> Self {
        let terms = self.terms.after(wait);
        Self { terms, waited: self.waited + wait, ..self.clone() }
    }
}

/// The step of a request that is to be decided.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Whether the request starts, and on which runners.
    Start(Firmness),
    /// On which runner the request continues after prefill.
    Continue {
        /// The runner that prefilled the prompt.
        prefill_runner: RunnerId,
        /// The class in which the request was started.
        class: Class,
    },
}

/// Whether a request may be refused or delayed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Firmness {
    /// It may be refused.
    New,
    /// It has already run: it is placed as late work rather than refused.
    HasRun,
    /// Its caller is already receiving the answer: it continues in its class.
    Streaming,
}

/// The scheduler's decision.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The request starts.
    Placed {
        /// The chosen runners.
        placement: Placement,
        /// The class in which it starts.
        class: Class,
    },
    /// The request continues on this runner after prefill.
    Continue(RunnerId),
    /// The request cannot be answered in time to be useful. The prediction determines when the
    /// caller should retry.
    Late(Placement),
    /// No runner of the service can run it.
    NoRunner,
    /// The rate limits of the eligible runners allow no request for this long.
    RateLimited(Duration),
    /// The request waits for a runner. The asking node asks again after this time, unless the final
    /// decision arrives before.
    Waiting(Duration),
    /// The share of the account does not allow the request in time.
    Refused {
        /// Why.
        reason: share::Reason,
        /// When the account can succeed.
        retry: Duration,
    },
}

impl Decision {
    /// The runners at which new work is placed. The request needs a permit from each that has a
    /// rate limit.
    pub fn placed(&self) -> SmallVec<[&RunnerId; 2]> {
        match self {
            Decision::Placed { placement, .. } => match &placement.plan {
                Plan::Whole { runner } => SmallVec::from_slice(&[runner]),
                Plan::Split { prefill, decode } => SmallVec::from_slice(&[prefill, decode]),
            },
            Decision::Continue(_)
            | Decision::Late(_)
            | Decision::NoRunner
            | Decision::RateLimited(_)
            | Decision::Waiting(_)
            | Decision::Refused { .. } => SmallVec::new(),
        }
    }

    /// The runners that get work by the decision.
    fn chosen(&self) -> SmallVec<[&RunnerId; 2]> {
        match self {
            Decision::Continue(runner) => SmallVec::from_slice(&[runner]),
            other => other.placed(),
        }
    }

    /// The decision for work whose runners have no room for `wait`.
    fn delayed(self, wait: Duration) -> Self {
        match self {
            Decision::Placed { mut placement, .. } => {
                let wait = wait.as_secs_f64();
                placement.first_event += wait;
                placement.prefill_end += wait;
                placement.prefill_start += wait;
                Decision::Late(placement)
            }
            Decision::Continue(_) => Decision::RateLimited(wait),
            other => other,
        }
    }

    /// All runners that the decision names.
    pub fn runners(&self) -> SmallVec<[&RunnerId; 3]> {
        let mut runners: SmallVec<[&RunnerId; 3]> = self.placed().into_iter().collect();
        match self {
            Decision::Placed { placement, .. } => runners.extend(&placement.fetch),
            Decision::Continue(runner) => runners.push(runner),
            Decision::Late(_)
            | Decision::NoRunner
            | Decision::RateLimited(_)
            | Decision::Waiting(_)
            | Decision::Refused { .. } => {}
        }
        runners
    }

    /// The resources that the decided work takes of the runner on which it starts.
    pub fn cost(&self, work: &Work, step: &Step) -> Option<(&RunnerId, WorkCost)> {
        match (self, step) {
            (Decision::Placed { placement, class }, _) => {
                let (runner, footprint) = match &placement.plan {
                    Plan::Whole { runner } => (runner, work.footprint()),
                    Plan::Split { prefill, .. } => (prefill, work.prompt),
                };
                Some((
                    runner,
                    WorkCost { class: *class, prefill_tokens: placement.prefill_tokens, footprint },
                ))
            }
            (Decision::Continue(runner), Step::Continue { class, .. }) => Some((
                runner,
                WorkCost { class: *class, prefill_tokens: 0, footprint: work.footprint() },
            )),
            _ => None,
        }
    }
}

/// Makes the decision from what `register` knows of the pool.
pub fn decide<R: Rng>(
    register: &Register,
    query: &Query,
    engine: &Engine,
    now: Instant,
    rng: &mut R,
) -> Decision {
    decide_among(register, query, engine, Plans::Any, now, rng)
}

/// Makes the decision like [`decide`], among some of the plans.
pub fn decide_among<R: Rng>(
    register: &Register,
    query: &Query,
    engine: &Engine,
    plans: Plans,
    now: Instant,
    rng: &mut R,
) -> Decision {
    let pool = Some(register.pool_of(&query.service, &query.work));
    let continues = matches!(query.step, Step::Continue { .. });
    let criteria = |class| Criteria {
        continues,
        service: &query.service,
        pool,
        class,
        data_centre: &query.data_centre,
        skip: &query.skip,
        version: query.version.as_ref(),
        objective: query.terms.objective,
        now,
    };
    let no_placement = || {
        match register.closed(&query.service, now) {
            Some(Closed::RateLimit(wait)) => Decision::RateLimited(wait),
            // The back-off of this node from a runner does not apply to other nodes.
            Some(Closed::BackOff(_)) | None => Decision::NoRunner,
        }
    };
    let firmness = match &query.step {
        Step::Continue { prefill_runner, class } => {
            let next = placement::place_decode(
                register,
                &criteria(*class),
                engine,
                &query.work,
                prefill_runner,
                rng,
            );
            return next.map_or_else(no_placement, Decision::Continue);
        }
        Step::Start(firmness) => *firmness,
    };
    let mut place =
        |class| placement::place_among(register, &criteria(class), engine, &query.work, plans, rng);
    let terms = &query.terms;
    let Some(placement) = place(terms.class) else { return no_placement() };
    if firmness == Firmness::Streaming || terms.on_time(placement.first_event) {
        return Decision::Placed { placement, class: terms.class };
    }
    let is_useful = |first: f64, wait: f64| {
        if register.models().is_some() {
            terms.is_useful_by_forecast(first, wait)
        } else {
            terms.is_useful(first, wait)
        }
    };
    let is_acceptable =
        |p: &Placement| firmness != Firmness::New || is_useful(p.first_event, p.prefill_start);
    match place(Class::LATE).filter(is_acceptable) {
        Some(placement) => Decision::Placed { placement, class: Class::LATE },
        None => Decision::Late(placement),
    }
}

/// The maximum number of runners without room that a decision passes over. Runners with room are
/// preferred anyway, so a second one is rarely found.
const MAX_FULL: usize = 8;

/// Makes the decision like [`decide_among`], but sends no runner more than it can hold: if none of
/// those that would be chosen has room, the work is late.
pub fn decide_within<R: Rng>(
    register: &Register,
    query: &Query,
    engine: &Engine,
    plans: Plans,
    room: Room<'_>,
    now: Instant,
    rng: &mut R,
) -> Decision {
    let wait_at = |id: &RunnerId| room.wait(register.get(id)?, &query.work, engine, now);
    let wait_for = |decision: &Decision| decision.chosen().into_iter().filter_map(wait_at).max();
    let first = decide_among(register, query, engine, plans, now, rng);
    let Some(mut wait) = wait_for(&first) else { return first };
    let is_full = |id: &&RunnerId| wait_at(id).is_some();
    let mut others = query.clone();
    if let Room::Share(_) = room {
        // Most runners are full for a node that decides alone.
        let all = register.of(&query.service).map(|runner| &runner.entry.id);
        others.skip.extend(all.filter(is_full).cloned());
    }
    let mut decision = first.clone();
    for _ in 0..MAX_FULL {
        others.skip.extend(decision.chosen().into_iter().filter(is_full).cloned());
        decision = decide_among(register, &others, engine, plans, now, rng);
        if decision.chosen().is_empty() {
            break;
        }
        match wait_for(&decision) {
            None => return decision,
            Some(other) => wait = wait.min(other),
        }
    }
    first.delayed(wait)
}

/// Records a decision made for another node: the work, until that node reports it, and the prompt
/// that the runner now starts to prefill, so that the next request with the same prompt is placed
/// there too.
pub fn note(
    register: &mut Register,
    node: &NodeId,
    query: &Query,
    decision: &Decision,
    engine: &Engine,
    now: Instant,
) {
    let Some((id, cost)) = decision.cost(&query.work, &query.step) else { return };
    register.note_placed(node, id, cost, now);
    if let Step::Start(_) = query.step
        && let Some(runner) = register.get_mut(id)
    {
        runner.cache.set_memory(engine.memory);
        runner.cache.note(&query.work.chain, Progress::Started, now);
    }
}

/// What is learned about a runner when a piece of work on it ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// The duration of a prefill, in seconds.
    Prefill {
        /// The predicted duration, including the wait.
        predicted: f64,
        /// The part of the prediction that is the prefill itself. The longer it is, the more weight
        /// the observation has for the runner's speed.
        prefill: f64,
        /// The observed duration.
        seen: f64,
        /// What the model based its prediction on. Nodes that do not know it omit it; the model
        /// learns nothing from such an observation.
        basis: Option<Basis>,
    },
    /// The duration of a stream from its first event to its last, in seconds.
    Stream(f64),
    /// The outcome of the work.
    Outcome(Outcome),
}

impl Placement {
    /// The observation from a first event, or a whole prompt, that was predicted to take
    /// `predicted` seconds and took `seen` seconds.
    pub fn observation(&self, predicted: f64, seen: f64) -> Observation {
        let prefill = (self.prefill_end - self.prefill_start - startup_latency()).max(0.0);
        Observation::Prefill { predicted, prefill, seen, basis: self.basis }
    }
}

impl Runner {
    /// Updates the estimates of the runner, without the model.
    pub fn learn(&mut self, observation: Observation, now: Instant) {
        match observation {
            Observation::Prefill { predicted, prefill, seen, .. } => {
                self.pace.learn(predicted, prefill, seen);
            }
            Observation::Stream(seconds) => self.learn_stream(seconds),
            Observation::Outcome(outcome) => self.health.note(outcome, now),
        }
    }
}

/// The scheduler of a pool: the node with the highest rendezvous weight. All nodes that know the
/// same nodes choose the same one.
pub fn choose_scheduler<'a>(
    service: &ServiceId,
    pool: Pool,
    nodes: impl Iterator<Item = &'a NodeId>,
) -> Option<&'a NodeId> {
    let key = pool.key(service);
    nodes.max_by_key(|id| rendezvous_weight(key, id.as_str().as_bytes()))
}
