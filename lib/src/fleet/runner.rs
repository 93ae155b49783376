//! One runner as a node sees it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use strum::{Display, EnumString, IntoStaticStr};

use super::back_off::BackOff;
use super::cache::Cache;
use super::engine::{Engine, Pace, Stage, prefill_time, start_time, step_time};
use super::health::Record;
use super::limit::Limit;
use super::load::{Class, Load, Others};
use super::pool::Pool;
use crate::hash::stable_hash;
use crate::history::Point;
use crate::id::{DataCentre, RunnerId, ServiceId, StartTime};

/// Whether a runner takes new work, in its own words.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// It does.
    Ready,
    /// It is about to leave.
    Draining,
}

/// What the platform's register says of a runner.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its id, which it keeps when it starts again.
    pub id: RunnerId,
    /// When this life of it began; none where its deployment's runners do not say so.
    pub born: Option<StartTime>,
    /// Its service.
    pub service: ServiceId,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether it takes new work.
    pub state: State,
    /// Its stage, for model engines.
    pub stage: Option<Stage>,
    /// Requests at once.
    pub slots: u32,
    /// Whether it costs less and may be taken back.
    pub reclaimable: bool,
    /// How often the runner had written it, by its own count within this life.
    pub writes: u64,
    /// The change by which the entry came to be as it is.
    pub at: Point,
}

/// A hash of a runner's id and birth, by which nodes name one life of it to each other in few bytes.
/// What is told of a former life names no runner that is known, and so changes nothing. Two lives
/// with one tag would share a load report, which is a hint and no more.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Tag(pub u64);

impl Tag {
    /// The tag of one life of a runner.
    pub fn of(id: &RunnerId, born: Option<StartTime>) -> Self {
        let id = stable_hash(0, id.as_str().as_bytes());
        Self(born.map_or(id, |born| stable_hash(id, &born.0.to_le_bytes())))
    }
}

impl Entry {
    /// The tag of the life that the entry is of.
    pub fn tag(&self) -> Tag {
        Tag::of(&self.id, self.born)
    }

    /// Whether the store, back from a copy, shows with this entry no more than what the same life of the
    /// runner had written when it wrote `known`. Who leaves does not come back in that life.
    pub fn is_shown_again(&self, known: &Entry) -> bool {
        let same_life = self.id == known.id && self.born == known.born;
        let leaves = self.state == State::Draining && known.state == State::Ready;
        let returns = self.state == State::Ready && known.state == State::Draining;
        let wrote_no_more = self.writes <= known.writes;
        same_life && self.at.era > known.at.era && !leaves && (wrote_no_more || returns)
    }
}

/// One stay of a runner in this node's register: from when the node first heard of this life of it
/// until the life, or the entry, was gone. Work is counted to the stay in which it began, so that
/// what ends late is not taken off the next life's count, and no failure of the former one, answer,
/// or prompt that it had read is put down to the next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Stay {
    /// The runner.
    pub id: RunnerId,
    /// When its life began.
    pub born: Option<StartTime>,
    /// The number of the stay at this node.
    pub(super) number: u64,
}

/// A runner: its entry, and what this node knows besides.
#[derive(Clone, Debug)]
pub struct Runner {
    /// The platform's entry.
    pub entry: Entry,
    /// The number of its stay in this node's register.
    number: u64,
    /// The pool of its service that it belongs to.
    pub pool: Pool,
    /// Its health.
    pub health: Record,
    /// What this node has under way there.
    pub own: Load,
    /// What other nodes have under way there.
    pub others: Others,
    /// What it probably keeps of prompts.
    pub cache: Cache,
    /// How its speed differs from the model's.
    pub pace: Pace,
    /// The mean time of a plain answer, in seconds.
    pub answer_time: f64,
    /// The mean time for which a stream holds its place in the batch, in seconds.
    pub stream_time: f64,
    /// Until when it gets no new work, since it is on its way to another stage.
    pub reserved: Option<Instant>,
    /// Its rate limit.
    pub limit: Limit,
    /// Until when this node sends it nothing, by its own word.
    pub back_off: BackOff,
    /// Whether this life of it has said in an answer that it leaves.
    has_said_leaving: bool,
}

/// What closes a runner for a time, and for how long.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Closed {
    /// Its rate limit.
    RateLimit(Duration),
    /// It has refused a request of this node for so long.
    BackOff(Duration),
}

impl Closed {
    /// For how long.
    pub fn wait(self) -> Duration {
        match self {
            Closed::RateLimit(wait) | Closed::BackOff(wait) => wait,
        }
    }
}

/// What is assumed of a plain answer's time until some have come, in seconds (users' sheets: 15 ms
/// of work).
const FIRST_ANSWER_TIME: f64 = 0.015;
/// What is assumed of the time a stream takes until some have ended, in seconds: a start and a dozen
/// steps.
const FIRST_STREAM_TIME: f64 = 0.1;
/// The gain with which the mean times follow what is seen.
const ANSWER_GAIN: f64 = 0.1;
/// The tokens whose reading time gives the rate at which a backlog shrinks.
const RATE_SAMPLE: u64 = 8_192;

impl Runner {
    /// A runner of which only the entry is known, with the number of its stay in the register.
    pub fn new(entry: Entry, number: u64) -> Self {
        Self {
            entry,
            number,
            pool: Pool::default(),
            health: Record::default(),
            own: Load::default(),
            others: Others::default(),
            cache: Cache::default(),
            pace: Pace::default(),
            answer_time: FIRST_ANSWER_TIME,
            stream_time: FIRST_STREAM_TIME,
            reserved: None,
            limit: Limit::default(),
            back_off: BackOff::default(),
            has_said_leaving: false,
        }
    }

    /// Its stay in this node's register.
    pub fn stay(&self) -> Stay {
        Stay { id: self.entry.id.clone(), born: self.entry.born, number: self.number }
    }

    /// Whether it is still in the stay that `stay` tells of.
    pub fn is_in(&self, stay: &Stay) -> bool {
        self.number == stay.number
    }

    /// Whether new work may go there.
    pub fn takes_work(&self, now: Instant) -> bool {
        let reserved = self.reserved.is_some_and(|until| now < until);
        !self.is_leaving() && !reserved && self.health.takes_work(now)
    }

    /// Whether a request may be sent there now: it takes work, and nothing that it has said of itself
    /// closes it for a time.
    pub fn accepts(&self, now: Instant) -> bool {
        self.takes_work(now) && self.closed(now).is_none()
    }

    /// What closes it for a time though it takes work, and for how long; none if nothing does.
    pub fn closed(&self, now: Instant) -> Option<Closed> {
        let (limited, backs_off) = (self.limit.opens_in(now), self.back_off.ends_in(now));
        if backs_off > limited {
            return Some(Closed::BackOff(backs_off));
        }
        (!limited.is_zero()).then_some(Closed::RateLimit(limited))
    }

    /// Whether it could do work at all if no better one were left.
    pub fn is_last_resort(&self) -> bool {
        !self.is_leaving() && !self.health.is_gone()
    }

    /// Whether it leaves, by the register or by its own word.
    pub fn is_leaving(&self) -> bool {
        self.has_said_leaving || self.entry.state == State::Draining
    }

    /// Whether this life of it has said in an answer that it leaves.
    pub fn has_said_leaving(&self) -> bool {
        self.has_said_leaving
    }

    /// Notes that it has said in an answer that it leaves. True if that is new.
    pub fn note_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.has_said_leaving, true)
    }

    /// The rate at which it reads prompts, in tokens a second.
    pub fn prefill_rate(&self) -> f64 {
        let Some(stage) = self.entry.stage else { return 1.0 };
        let time = prefill_time(stage, RATE_SAMPLE, 0, self.own.total());
        RATE_SAMPLE as f64 / (time * self.pace.factor())
    }

    /// What all nodes together have under way there.
    pub fn load(&self, now: Instant) -> Load {
        let mut load = self.others.sum(now, self.prefill_rate());
        load.add(&self.own);
        load
    }

    /// How long new work of `class` waits before its prompt is begun, in seconds. Each prompt takes a
    /// step of its own, however short it is: twenty lookups of 300 tokens take as long as a prompt of
    /// twice their tokens.
    pub fn wait(&self, load: &Load, class: Class) -> f64 {
        let tokens = load.ahead(class) + load.begun(class);
        let steps = f64::from(load.prompts(class)) * step_time(0) * self.pace.factor();
        tokens as f64 / self.prefill_rate() + steps
    }

    /// How long it takes to read `fresh` tokens after `cached` ones once begun, in seconds.
    pub fn reading(&self, load: &Load, fresh: u64, cached: u64) -> f64 {
        let Some(stage) = self.entry.stage else { return 0.0 };
        prefill_time(stage, fresh, cached, load.total()) * self.pace.factor()
    }

    /// How long one step takes there, in seconds.
    pub fn step(&self, load: &Load) -> f64 {
        step_time(load.total()) * self.pace.factor()
    }

    /// Whether `tokens` more fit into its memory beside what is under way.
    pub fn has_room(&self, load: &Load, engine: &Engine, tokens: u64) -> bool {
        load.tokens + tokens <= engine.memory / 10 * 9
    }

    /// How long new work of `class` waits for a place in the batch of `slots`, in seconds. Less urgent
    /// work that waits is overtaken; less urgent work that runs keeps its place until it ends.
    pub fn wait_for_place(&self, load: &Load, class: Class, slots: u32) -> f64 {
        let ahead = (load.before(class) + 1).saturating_sub(slots);
        let ahead = ahead.max(u32::from(load.total() >= slots));
        f64::from(ahead) * self.stream_time / f64::from(slots.max(1))
    }

    /// Learns from a stream whose events took `seconds` from the first to the last.
    pub fn learn_stream(&mut self, seconds: f64) {
        self.stream_time += (seconds + start_time() - self.stream_time) * ANSWER_GAIN;
    }

    /// Learns from a plain answer that took `seconds`.
    pub fn learn_answer(&mut self, seconds: f64) {
        self.answer_time += (seconds - self.answer_time) * ANSWER_GAIN;
    }
}
