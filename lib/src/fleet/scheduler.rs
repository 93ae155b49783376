//! Scheduling: what a node asks of the one that schedules a pool, and what that one decides.
//!
//! The load it answers: hundreds of nodes, each with a few requests a second. What one of them has
//! under way at a runner says nothing of how busy the runner is, and what it hears of the others
//! is older than the time a prompt takes to be read. So a pool's work is placed by one node, which
//! hears of all of it as it begins and ends.
//!
//! The node that asks stays the one that answers for its request: whether it has run, may be run
//! again, or is late is known there alone. What is decided here is only where it goes.

use std::time::{Duration, Instant};

use rand::Rng;
use smallvec::SmallVec;

use super::cache::Progress;
use super::engine::{Engine, Work, start_time};
use super::gate::Terms;
use super::health::Outcome;
use super::load::Class;
use super::place::{self, Placement, Plan, Question};
use super::pool::Pool;
use super::register::{Register, Share};
use super::runner::{Closed, Runner};
use crate::hash::rendezvous_weight;
use crate::id::{DataCentre, NodeId, RunnerId, ServiceId};

/// How long the scheduler of a pool has to answer before it is asked once more, and then before the
/// node that asks places by its own prediction. Two nodes are at most a few milliseconds apart; a
/// twentieth of the shortest objective of a generation is what a caller can spare.
pub const PATIENCE: Duration = Duration::from_millis(30);
/// How often a scheduler is asked.
pub const TRIES: u32 = 2;
/// How many questions in a row a scheduler leaves unanswered before another takes its place. One
/// datagram can be lost.
pub const SILENCES: u32 = 2;
/// For how long another takes its place: a node that was cut off or held up is soon back, one that
/// is gone has left the roster by then.
pub const PASSED_OVER: Duration = Duration::from_secs(2);

/// What a request asks of the scheduler of its pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// The service.
    pub service: ServiceId,
    /// The data centre of the node that asks.
    pub data_centre: DataCentre,
    /// The request's terms at the gate.
    pub terms: Terms,
    /// What it asks of an engine.
    pub work: Work,
    /// Runners that are not to be taken.
    pub skip: SmallVec<[RunnerId; 4]>,
    /// What is to be decided.
    pub step: Step,
}

/// What is to be decided.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Whether the request starts, and where.
    Start(Firmness),
    /// Where a prompt that was read for it goes on.
    GoOn {
        /// The runner that has read it.
        reader: RunnerId,
        /// The class in which it was started.
        class: Class,
    },
}

/// How firmly a request is to be placed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Firmness {
    /// It may be refused.
    New,
    /// It has run: it is placed late rather than refused.
    HasRun,
    /// Its caller is reading the answer: it goes on in its class.
    Streaming,
}

/// What is decided.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// It starts.
    Placed {
        /// Where.
        placement: Placement,
        /// In which class.
        class: Class,
    },
    /// A prompt that was read goes on here.
    GoesOn(RunnerId),
    /// It cannot be in time to be of use. What was predicted tells when to come back.
    Late(Placement),
    /// No runner of the service can run it.
    NoRunner,
    /// The rate limits of the runners that could run it leave no room for so long.
    RateLimited(Duration),
}

impl Decision {
    /// The runners at which work is placed anew: it will ask for a permit at each with a rate limit.
    pub fn placed(&self) -> SmallVec<[&RunnerId; 2]> {
        match self {
            Decision::Placed { placement, .. } => match &placement.plan {
                Plan::Whole { runner } => SmallVec::from_slice(&[runner]),
                Plan::Split { prefill, decode } => SmallVec::from_slice(&[prefill, decode]),
            },
            Decision::GoesOn(_)
            | Decision::Late(_)
            | Decision::NoRunner
            | Decision::RateLimited(_) => SmallVec::new(),
        }
    }

    /// What the decided work takes of the runner that it begins at.
    pub fn share(&self, work: &Work, step: &Step) -> Option<(&RunnerId, Share)> {
        match (self, step) {
            (Decision::Placed { placement, class }, _) => {
                let (runner, footprint) = match &placement.plan {
                    Plan::Whole { runner } => (runner, work.footprint()),
                    Plan::Split { prefill, .. } => (prefill, work.prompt),
                };
                Some((runner, Share { class: *class, fresh: placement.fresh, footprint }))
            }
            (Decision::GoesOn(runner), Step::GoOn { class, .. }) => {
                Some((runner, Share { class: *class, fresh: 0, footprint: work.footprint() }))
            }
            _ => None,
        }
    }
}

/// Decides, by what `register` knows of the pool.
pub fn decide<R: Rng>(
    register: &Register,
    ask: &Ask,
    engine: &Engine,
    now: Instant,
    rng: &mut R,
) -> Decision {
    let pool = Some(register.pool_of(&ask.service, &ask.work));
    let goes_on = matches!(ask.step, Step::GoOn { .. });
    let question = |class| Question {
        goes_on,
        service: &ask.service,
        pool,
        class,
        home: &ask.data_centre,
        skip: &ask.skip,
        now,
    };
    let none = || {
        match register.closed(&ask.service, now) {
            Some(Closed::RateLimit(wait)) => Decision::RateLimited(wait),
            // From whom this node backs off says nothing of others.
            Some(Closed::BackOff(_)) | None => Decision::NoRunner,
        }
    };
    let firmness = match &ask.step {
        Step::GoOn { reader, class } => {
            let next = place::decode(register, &question(*class), engine, &ask.work, reader, rng);
            return next.map_or_else(none, Decision::GoesOn);
        }
        Step::Start(firmness) => *firmness,
    };
    let mut place = |class| place::generation(register, &question(class), engine, &ask.work, rng);
    let terms = &ask.terms;
    let Some(placement) = place(terms.class) else { return none() };
    if firmness == Firmness::Streaming || terms.on_time(placement.first) {
        return Decision::Placed { placement, class: terms.class };
    }
    let bearable = |p: &Placement| firmness != Firmness::New || terms.of_use(p.first, p.wait);
    match place(Class::LATE).filter(bearable) {
        Some(placement) => Decision::Placed { placement, class: Class::LATE },
        None => Decision::Late(placement),
    }
}

/// Counts what was decided for another node: the work, until that node tells of it, and the prompt
/// that a runner now begins to read, so that the next request with it goes there too.
pub fn note(
    register: &mut Register,
    node: &NodeId,
    ask: &Ask,
    decision: &Decision,
    engine: &Engine,
    now: Instant,
) {
    let Some((id, share)) = decision.share(&ask.work, &ask.step) else { return };
    register.note_placed(node, id, share, now);
    if let Step::Start(_) = ask.step
        && let Some(runner) = register.get_mut(id)
    {
        runner.cache.set_memory(engine.memory);
        runner.cache.note(&ask.work.chain, Progress::Begun, now);
    }
}

/// What the end of a piece of work teaches about its runner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Lesson {
    /// How long a prompt took to be read, in seconds.
    Reading {
        /// As it was predicted, with the wait.
        predicted: f64,
        /// The part of that for the reading itself. The longer it is, the more it tells of the
        /// runner's speed.
        reading: f64,
        /// As it was seen.
        seen: f64,
    },
    /// How long a stream took from its first event to its last, in seconds.
    Stream(f64),
    /// What came of it.
    Outcome(Outcome),
}

impl Placement {
    /// What it teaches that the first event, or the whole prompt, which was predicted in `predicted`
    /// seconds, took `seen` seconds.
    pub fn lesson(&self, predicted: f64, seen: f64) -> Lesson {
        let reading = (self.read - self.wait - start_time()).max(0.0);
        Lesson::Reading { predicted, reading, seen }
    }
}

impl Runner {
    /// Takes in what work has taught.
    pub fn learn(&mut self, lesson: Lesson, now: Instant) {
        match lesson {
            Lesson::Reading { predicted, reading, seen } => {
                self.pace.learn(predicted, reading, seen);
            }
            Lesson::Stream(seconds) => self.learn_stream(seconds),
            Lesson::Outcome(outcome) => self.health.note(outcome, now),
        }
    }
}

/// The node that schedules a pool: the one of highest weight. All nodes that know the same ones
/// choose the same.
pub fn holder<'a>(
    service: &ServiceId,
    pool: Pool,
    nodes: impl Iterator<Item = &'a NodeId>,
) -> Option<&'a NodeId> {
    let key = pool.key(service);
    nodes.max_by_key(|id| rendezvous_weight(key, id.as_str().as_bytes()))
}
