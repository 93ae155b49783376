//! The state that a node keeps for one runner.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use strum::{Display, EnumString, IntoStaticStr};

use super::back_off::BackOff;
use super::cache::Cache;
use super::engine::{Engine, Pace, Stage, prefill_time, startup_latency, step_time};
use super::health::Record;
use super::limit::Limit;
use super::load::{Class, Load, RemoteLoads};
use super::model::{Basis, Deviation, Forecast, Rates, RunnerState};
use super::pool::Pool;
use super::version::Version;
use crate::hash::stable_hash;
use crate::history::Point;
use crate::id::{DataCentre, RunnerId, ServiceId, StartTime};

/// The state that a runner reports for itself.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// It accepts new work.
    Ready,
    /// It is about to leave.
    Draining,
}

/// The entry of a runner in the platform's register.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The runner's id, which is kept over restarts.
    pub id: RunnerId,
    /// When this incarnation of the runner started; `None` in deployments whose runners do not
    /// report it.
    pub born: Option<StartTime>,
    /// The service it runs.
    pub service: ServiceId,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// The data centre it runs in.
    pub data_centre: DataCentre,
    /// The version of its software.
    pub version: Version,
    /// Whether it accepts new work.
    pub state: State,
    /// Its stage, for model engines.
    pub stage: Option<Stage>,
    /// The number of requests that it serves concurrently.
    pub slots: u32,
    /// Whether it is a cheaper instance that the platform may reclaim.
    pub reclaimable: bool,
    /// How often the runner has written its entry in this incarnation, by its own count.
    pub writes: u64,
    /// The store's change that produced this version of the entry.
    pub at: Point,
}

/// A hash of a runner's id and start time, by which nodes refer to one incarnation of it in few
/// bytes. A message about a former incarnation matches no known runner and has no effect. Two
/// incarnations with the same tag would share a load report, which is only a hint.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Tag(pub u64);

impl Tag {
    /// The tag of one incarnation of a runner.
    pub fn of(id: &RunnerId, born: Option<StartTime>) -> Self {
        let id = stable_hash(0, id.as_str().as_bytes());
        Self(born.map_or(id, |born| stable_hash(id, &born.0.to_le_bytes())))
    }
}

impl Entry {
    /// The tag of the incarnation that wrote the entry.
    pub fn tag(&self) -> Tag {
        Tag::of(&self.id, self.born)
    }

    /// Whether this entry, read from a store that was restored from a backup, contains nothing that
    /// the same incarnation wrote after `known`. A runner that leaves does not return in the same
    /// incarnation.
    pub fn is_replay_of(&self, known: &Entry) -> bool {
        let same_incarnation = self.id == known.id && self.born == known.born;
        let leaves = self.state == State::Draining && known.state == State::Ready;
        let returns = self.state == State::Ready && known.state == State::Draining;
        let wrote_no_more = self.writes <= known.writes;
        same_incarnation && self.at.era > known.at.era && !leaves && (wrote_no_more || returns)
    }
}

/// One registration of a runner at this node: from when the node first heard of an incarnation
/// until the incarnation or its entry was gone. Work is attributed to the registration in which it
/// started, so that work that ends late is not subtracted from the load of the next incarnation,
/// and failures, answers and prefilled prompts of the former one are not attributed to it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Registration {
    /// The runner's id.
    pub id: RunnerId,
    /// When the incarnation started.
    pub born: Option<StartTime>,
    /// The sequence number of the registration at this node.
    pub(super) number: u64,
}

/// A runner: its entry, and what this node knows about it.
#[derive(Clone, Debug)]
pub struct Runner {
    /// The entry in the platform's register.
    pub entry: Entry,
    /// The sequence number of the registration at this node.
    number: u64,
    /// The pool of its service that the runner is assigned to.
    pub pool: Pool,
    /// Failure history.
    pub health: Record,
    /// The outstanding work of this node.
    pub own: Load,
    /// The outstanding work of other nodes.
    pub others: RemoteLoads,
    /// The prompt prefixes that it probably has cached.
    pub cache: Cache,
    /// How its speed differs from the engine model.
    pub pace: Pace,
    /// What the model says of runners of its kind; `None` if the model is not enabled or the runner
    /// has no stage.
    pub rates: Option<Rates>,
    /// How its speed differs from them.
    pub deviation: Deviation,
    /// The mean time of a plain answer, in seconds.
    pub answer_time: f64,
    /// The mean time for which a stream holds its batch slot, in seconds.
    pub stream_time: f64,
    /// Until when it gets no new work because it is changing its stage.
    pub reserved: Option<Instant>,
    /// The rate limit it has announced.
    pub limit: Limit,
    /// The back-off of this node from it.
    pub back_off: BackOff,
    /// Whether this incarnation has announced in an answer that it is leaving.
    has_announced_leaving: bool,
}

/// Why a runner is closed to new requests, and for how long.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Closed {
    /// Its rate limit is exhausted.
    RateLimit(Duration),
    /// It rejected a request of this node and asked for this pause.
    BackOff(Duration),
}

impl Closed {
    /// How long the runner stays closed.
    pub fn wait(self) -> Duration {
        match self {
            Closed::RateLimit(wait) | Closed::BackOff(wait) => wait,
        }
    }
}

/// The assumed time of a plain answer until some have been seen, in seconds (reference
/// specification: 15 ms of work).
const INITIAL_ANSWER_TIME: f64 = 0.015;
/// The assumed time of a stream until some have ended, in seconds: the startup latency and a dozen
/// steps.
const INITIAL_STREAM_TIME: f64 = 0.1;
/// The gain of the moving averages of answer and stream times.
const TIME_GAIN: f64 = 0.1;
/// The prompt size from whose prefill time the prefill rate is derived, in tokens.
const RATE_SAMPLE: u64 = 8_192;

impl Runner {
    /// Creates a runner of which only the entry is known, with the sequence number of its
    /// registration.
    pub fn new(entry: Entry, number: u64) -> Self {
        Self {
            entry,
            number,
            pool: Pool::default(),
            health: Record::default(),
            own: Load::default(),
            others: RemoteLoads::default(),
            cache: Cache::default(),
            pace: Pace::default(),
            rates: None,
            deviation: Deviation::default(),
            answer_time: INITIAL_ANSWER_TIME,
            stream_time: INITIAL_STREAM_TIME,
            reserved: None,
            limit: Limit::default(),
            back_off: BackOff::default(),
            has_announced_leaving: false,
        }
    }

    /// The current registration at this node.
    pub fn registration(&self) -> Registration {
        Registration { id: self.entry.id.clone(), born: self.entry.born, number: self.number }
    }

    /// Whether `registration` is the current registration.
    pub fn is_current(&self, registration: &Registration) -> bool {
        self.number == registration.number
    }

    /// Whether it is eligible for new work.
    pub fn takes_work(&self, now: Instant) -> bool {
        let reserved = self.reserved.is_some_and(|until| now < until);
        !self.is_leaving() && !reserved && self.health.takes_work(now)
    }

    /// Whether a request may be sent now: it is eligible for work and not closed by a rate limit or
    /// back-off.
    pub fn accepts(&self, now: Instant) -> bool {
        self.takes_work(now) && self.closed(now).is_none()
    }

    /// What closes it to new requests, and for how long; `None` if nothing does.
    pub fn closed(&self, now: Instant) -> Option<Closed> {
        let (limited, backs_off) = (self.limit.opens_in(now), self.back_off.ends_in(now));
        if backs_off > limited {
            return Some(Closed::BackOff(backs_off));
        }
        (!limited.is_zero()).then_some(Closed::RateLimit(limited))
    }

    /// Whether it may be used if no better runner is left.
    pub fn is_last_resort(&self) -> bool {
        !self.is_leaving() && !self.health.is_gone()
    }

    /// Whether it is leaving, by its register entry or its own answers.
    pub fn is_leaving(&self) -> bool {
        self.has_announced_leaving || self.entry.state == State::Draining
    }

    /// Whether this incarnation has announced in an answer that it is leaving.
    pub fn has_announced_leaving(&self) -> bool {
        self.has_announced_leaving
    }

    /// Records that it has announced in an answer that it is leaving. Returns whether this is new.
    pub fn note_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.has_announced_leaving, true)
    }

    /// Prefill rate, in tokens per second.
    pub fn prefill_rate(&self) -> f64 {
        let Some(stage) = self.entry.stage else { return 1.0 };
        let basis = Basis { fresh: RATE_SAMPLE, running: self.own.total(), ..Basis::none(stage) };
        if let Some(time) = self.scaled_time(&basis) {
            return RATE_SAMPLE as f64 / time;
        }
        let time = prefill_time(stage, RATE_SAMPLE, 0, self.own.total());
        RATE_SAMPLE as f64 / (time * self.pace.factor())
    }

    /// The outstanding work of all nodes together.
    pub fn load(&self, now: Instant) -> Load {
        let mut load = self.others.sum(now, self.prefill_rate());
        load.add(&self.own);
        load
    }

    /// How long new work of `class` waits before its prefill starts, in seconds. Each prompt takes
    /// at least one step, however short it is: twenty lookups of 300 tokens take as long as one
    /// prompt with twice their tokens.
    pub fn wait(&self, load: &Load, class: Class) -> f64 {
        if let Some(forecast) = self.basis(load, class, 0, 0).and_then(|b| self.forecast(&b)) {
            return forecast.prefill_start;
        }
        let tokens = load.tokens_ahead(class) + load.residual_prefill(class);
        let steps = f64::from(load.prompts_ahead(class)) * step_time(0) * self.pace.factor();
        tokens as f64 / self.prefill_rate() + steps
    }

    /// The prefill time of `uncached` tokens after `cached` ones, in seconds.
    pub fn prefill_time(&self, load: &Load, uncached: u64, cached: u64) -> f64 {
        let Some(stage) = self.entry.stage else { return 0.0 };
        let basis = Basis { fresh: uncached, cached, ..Basis::none(stage) };
        let basis = Basis { running: load.total(), ..basis };
        if let Some(time) = self.scaled_time(&basis) {
            return time;
        }
        prefill_time(stage, uncached, cached, load.total()) * self.pace.factor()
    }

    /// The duration of one step, in seconds.
    pub fn step(&self, load: &Load) -> f64 {
        if let Some(rates) = &self.rates {
            return rates.terms.step(load.total()) * rates.factor(&self.deviation);
        }
        step_time(load.total()) * self.pace.factor()
    }

    /// Whether `tokens` more fit into its memory.
    pub fn has_room(&self, load: &Load, engine: &Engine, tokens: u64) -> bool {
        load.tokens + tokens <= engine.memory / 10 * 9
    }

    /// How long new work of `class` waits for one of the `slots` of the batch, in seconds. It
    /// overtakes less urgent work that is waiting, but not less urgent work that is running.
    pub fn wait_for_slot(&self, load: &Load, class: Class, slots: u32) -> f64 {
        let ahead = (load.requests_ahead(class) + 1).saturating_sub(slots);
        let ahead = ahead.max(u32::from(load.total() >= slots));
        f64::from(ahead) * self.stream_time / f64::from(slots.max(1))
    }

    /// What a prediction for a prompt of `class` is based on, if it is made by the model.
    pub fn basis(&self, load: &Load, class: Class, uncached: u64, cached: u64) -> Option<Basis> {
        let stage = self.entry.stage.filter(|_| self.rates.is_some())?;
        Some(Basis {
            stage,
            fresh: uncached,
            cached,
            ahead: load.tokens_ahead(class) + load.residual_prefill(class),
            prompts: load.prompts_ahead(class),
            running: load.total(),
            extra: 0.0,
        })
    }

    /// The times that the model predicts, if it is enabled.
    pub fn forecast(&self, basis: &Basis) -> Option<Forecast> {
        self.rates.as_ref().map(|rates| rates.forecast(&self.deviation, basis))
    }

    /// The prefill time of the own prompt of `basis` on a runner of the usual speed, in seconds.
    pub fn usual_prefill_time(&self, basis: &Basis) -> f64 {
        let own = Basis { ahead: 0, prompts: 0, ..*basis };
        let time = self.rates.map_or(0.0, |rates| rates.usual_prefill_time(&own));
        time + f64::from(basis.extra)
    }

    /// How much longer its work takes than on the usual runner of its group; 1 without the model.
    pub fn slowness(&self) -> f64 {
        self.rates.map_or(1.0, |rates| rates.slowness(&self.deviation))
    }

    /// What the successor of its scheduler starts with; `None` without the model.
    pub fn model_state(&self) -> Option<RunnerState> {
        self.rates.map(|rates| rates.runner_state(&self.deviation, self.entry.tag()))
    }

    /// Adopts what another node has learned of it, unless this one has more evidence.
    pub fn adopt_model_state(&mut self, state: &RunnerState) {
        if let Some(rates) = &self.rates {
            rates.adopt_runner(&mut self.deviation, state);
        }
    }

    /// The part of the time of `basis` that depends on the speed of the runner, without that of a
    /// single step.
    fn scaled_time(&self, basis: &Basis) -> Option<f64> {
        let rates = self.rates.as_ref()?;
        Some(rates.terms.prefill(basis) * rates.factor(&self.deviation))
    }

    /// Learns from a stream that took `seconds` from its first event to its last.
    pub fn learn_stream(&mut self, seconds: f64) {
        let start = self.rates.map_or_else(startup_latency, |rates| rates.terms.start());
        self.stream_time += (seconds + start - self.stream_time) * TIME_GAIN;
    }

    /// Learns from a plain answer that took `seconds`.
    pub fn learn_answer(&mut self, seconds: f64) {
        self.answer_time += (seconds - self.answer_time) * TIME_GAIN;
    }
}
