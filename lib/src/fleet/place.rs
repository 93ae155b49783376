//! Where a request goes: the choice of runners by predicted first answer.
//!
//! A prompt can be read by a prefill runner and go on at a decode runner, or be read and answered
//! by one decode runner, more slowly. For each way the time until the first event is predicted from
//! what waits there, from what of the prompt is kept there, and from the runner's pace. To that the
//! reading time is added once more, as the delay that the work makes for others: without it a busy
//! fleet would read shared prompts again at every idle runner, and so make itself slower.

use std::time::Instant;

use rand::{Rng, RngExt as _};
use smallvec::SmallVec;
use strum::{Display, IntoStaticStr};

use super::engine::{Engine, Stage, Work, prefill_time, start_time};
use super::load::{Class, Load};
use super::pool::Pool;
use super::register::Register;
use super::runner::Runner;
use crate::hash::{rendezvous_weight, stable_hash};
use crate::id::{DataCentre, RunnerId, ServiceId};

/// The way a generation takes.
#[derive(Clone, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Plan {
    /// One runner reads and answers.
    Whole {
        /// It.
        runner: RunnerId,
    },
    /// One runner reads, another answers.
    Split {
        /// The one that reads.
        prefill: RunnerId,
        /// The one that answers.
        decode: RunnerId,
    },
}

/// A choice with what is predicted of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The way.
    pub plan: Plan,
    /// Until the first event, in seconds from now.
    pub first: f64,
    /// Until the prompt is read, in seconds from now.
    pub read: f64,
    /// Until the reading begins, in seconds from now.
    pub wait: f64,
    /// Prompt tokens to read.
    pub fresh: u64,
    /// The runner from which what is kept of the prompt is fetched, if that spares reading it.
    pub fetch: Option<RunnerId>,
}

/// What the choice is made for.
#[derive(Clone, Copy, Debug)]
pub struct Question<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// The pool of it whose runners come first; others are taken where none of it can be. None where
    /// all of them do.
    pub pool: Option<Pool>,
    /// The class in which the work would wait.
    pub class: Class,
    /// The data centre of this node.
    pub home: &'a DataCentre,
    /// Runners that are not to be taken.
    pub skip: &'a [RunnerId],
    /// Whether the work goes on from what was read elsewhere. For such work room within a rate limit
    /// was set aside when its reading was placed.
    pub goes_on: bool,
    /// The time.
    pub now: Instant,
}

/// How often its reading time is charged to a request for the delay it makes for others. At 2 instead
/// of 1, a fifth less is read again and 0.03 more worth is earned on the second of the users' sites.
const DELAY_OF_OTHERS: f64 = 2.0;
/// What a runner's failures add, in seconds for a share of one: as much as a lost second.
const FAILURE_COST: f64 = 1.0;
/// The runners that are the homes of a shared prompt, the first before the second. With two, the
/// load of one that is busy has a place to go where the prompt is probably kept too.
const HOMES: usize = 2;
/// The advantage of a prompt's first home, in seconds, and the share of the time to read what nobody
/// keeps of it that is added. With it all nodes begin a new prompt at one runner, also before they
/// have heard of each other's choice.
const HOME_ADVANTAGE: (f64, f64) = (0.04, 0.5);
/// The random part, in seconds, by which nodes with like pictures part at ties.
const DITHER: f64 = 0.004;
/// The fewest tokens that are fetched from another runner: what is read in the time that a transfer
/// takes to set up.
const LEAST_FETCH: u64 = 1_024;
/// What another data centre adds, in seconds: the way there and back, and its price in bytes.
const DISTANCE: f64 = 0.004;
/// The piece of a prompt that a runner reads between two steps.
const INTERLEAVED_TOKENS: u64 = 256;

struct Candidate<'a> {
    runner: &'a Runner,
    load: Load,
}

fn candidates<'a>(register: &'a Register, question: &Question<'a>) -> Vec<Candidate<'a>> {
    let left = |r: &&Runner| !question.skip.contains(&r.entry.id);
    let now = question.now;
    let usable = |r: &&Runner| {
        let has_reserved = question.goes_on && r.limit.has_reserved(now);
        r.accepts(now) || has_reserved && r.takes_work(now) && r.back_off.is_over(now)
    };
    let all = || register.of(question.service).filter(left);
    let with_load = |runner: &'a Runner| Candidate { runner, load: runner.load(question.now) };
    let in_pool = |r: &&Runner| question.pool.is_none_or(|pool| r.pool == pool);
    let mut good: Vec<Candidate<'a>> =
        all().filter(in_pool).filter(usable).map(with_load).collect();
    if good.is_empty() {
        good = all().filter(usable).map(with_load).collect();
    }
    if good.is_empty() {
        // A runner on trial is still better than a refusal.
        let open = |r: &&Runner| r.is_last_resort() && r.closed(question.now).is_none();
        return all().filter(open).map(with_load).collect();
    }
    good
}

impl Candidate<'_> {
    fn cost(&self, question: &Question<'_>, draw: f64) -> f64 {
        let distance = if self.runner.entry.data_centre == *question.home { 0.0 } else { DISTANCE };
        self.runner.health.failing() * FAILURE_COST + distance + draw * DITHER
    }

    /// Whether its queue is short enough for work of `class`.
    fn is_open(&self, class: Class, engine: &Engine) -> bool {
        let most = if class == Class::LATE { FULL.0 } else { FULL.1 };
        f64::from(self.load.total()) < most * f64::from(engine.slots)
    }

    /// Whether no prompt waits there or is being read.
    fn is_idle(&self) -> bool {
        self.load.ahead(Class::LATE) == 0
    }

    /// Until the first event once the prompt is there, in seconds: one step, longer by a piece of a
    /// prompt where prompts are read too.
    fn first_event(&self) -> f64 {
        let piece = if self.is_idle() {
            0.0
        } else {
            prefill_time(Stage::Decode, INTERLEAVED_TOKENS, 0, 0)
        };
        self.runner.step(&self.load) + piece
    }
}

/// The reading of a prompt at one candidate.
struct Reading<'a, 'b> {
    at: &'b Candidate<'a>,
    /// Until it is read, in seconds.
    read: f64,
    /// Until it is begun, in seconds.
    wait: f64,
    fresh: u64,
    fetch: Option<&'b RunnerId>,
    /// What the choice compares, in seconds.
    rank: f64,
}

impl Reading<'_, '_> {
    fn placement(&self, plan: Plan, first: f64) -> Placement {
        let Self { read, wait, fresh, .. } = *self;
        Placement { plan, first, read, wait, fresh, fetch: self.fetch.cloned() }
    }
}

/// The runner that keeps most of a prompt, and how many tokens of it.
struct Keeper<'b> {
    runner: &'b Runner,
    tokens: u64,
}

/// Of the runners of the service, also those that take no new work now, the one that keeps most.
fn keeper<'b>(
    register: &'b Register,
    question: &Question<'b>,
    work: &Work,
    now: Instant,
) -> Option<Keeper<'b>> {
    let in_pool = |r: &&Runner| question.pool.is_none_or(|pool| r.pool == pool);
    let sound = register.of(question.service).filter(in_pool).filter(|r| r.takes_work(now));
    let kept = sound.map(|runner| Keeper { runner, tokens: runner.cache.fetchable(&work.chain) });
    kept.filter(|keeper| keeper.tokens > 0).max_by_key(|keeper| keeper.tokens)
}

/// What a request looks for at each candidate.
struct Search<'b> {
    work: &'b Work,
    engine: &'b Engine,
    keeper: Option<Keeper<'b>>,
}

fn reading<'a, 'b>(
    at: &'b Candidate<'a>,
    question: &Question<'_>,
    search: &'b Search<'b>,
    draw: f64,
) -> Reading<'a, 'b> {
    let work = search.work;
    let mut cached = at.runner.cache.cached(&work.chain, question.now).min(work.prompt);
    let (mut fetch, mut fetching) = (None, 0.0);
    if let Some(keeper) = &search.keeper
        && keeper.runner.entry.id != at.runner.entry.id
        && keeper.tokens >= cached + LEAST_FETCH
    {
        let near = keeper.runner.entry.data_centre == at.runner.entry.data_centre;
        fetching = search.engine.transfer_time(keeper.tokens - cached, near);
        cached = keeper.tokens.min(work.prompt);
        fetch = Some(&keeper.runner.entry.id);
    }
    let fresh = work.prompt - cached;
    let time = at.runner.reading(&at.load, fresh, cached) + fetching;
    let wait = at.runner.wait(&at.load, question.class);
    let read = wait + time + start_time();
    let rank = read + time * DELAY_OF_OTHERS + at.cost(question, draw);
    Reading { at, read, wait, fresh, fetch, rank }
}

/// The parts that the runners of a service have while some read for others.
///
/// A runner that has begun a prompt reads it to its end, and what comes meanwhile, a KV cache from
/// elsewhere too, waits for its first token. One long prompt so delays every stream that begins at
/// its runner. Some decode runners therefore read nothing, and late work, which is mostly long, is
/// read by a part of the others alone.
struct Lanes<'a, 'b> {
    /// Decode runners, all of which can go on from what was read elsewhere.
    decode: Vec<&'b Candidate<'a>>,
    /// Those of them that read and answer too.
    whole: Vec<&'b Candidate<'a>>,
    /// Prefill runners for work that can be on time.
    prefill: Vec<&'b Candidate<'a>>,
    /// Prefill runners for late work; work that can be on time may go there too. Where they are busy,
    /// late work goes to idle ones of the others.
    late: Vec<&'b Candidate<'a>>,
}

/// The share of the decode runners that read nothing, and the share of all runners that they are at
/// the least. Two of nine carry the streams of the users' sheets at twice their usual rate with less
/// than 60 at once each.
const DECODE_ONLY: (f64, f64) = (0.4, 0.2);
/// The share of the reading that late work may take. In bursts a third of the tokens that are asked
/// for cannot be read in time.
const LATE_SHARE: f64 = 0.35;
/// How much longer late work waits at its own runners before it goes to an idle one of the others,
/// in seconds. There it may hold up work that could be on time, by half of its reading on average;
/// on a fleet whose other runners are idle for two thirds of the time, keeping it away altogether
/// made the runners for late work five times as busy as the rest.
const SPILL: f64 = 0.2;
/// The share of the other runners that late work leaves idle, for what can be on time.
const IDLE_RESERVE: f64 = 0.5;
/// From how many requests for each place in its batch on a decode runner is begun no more late work
/// at, and no other work while there is another. A runner turns away what comes when its queue is
/// full, urgent or not, and each such call spends of the retry budget: late work that waited for a
/// second filled the queues in which urgent work would have waited for a step.
const FULL: (f64, f64) = (2.0, 3.0);
/// What a decode runner reads against a prefill runner: half the speed in a quarter of the pieces.
const WHOLE_SPEED: f64 = 0.4;

fn lanes<'a, 'b>(
    all: &'b [Candidate<'a>],
    question: &Question<'_>,
    engine: &Engine,
    work: &Work,
) -> Lanes<'a, 'b> {
    // The same at every node that sees the same runners, whatever their number.
    let service = stable_hash(0, question.service.as_str().as_bytes());
    let of_stage = |stage| {
        let mut some: Vec<&Candidate<'_>> =
            all.iter().filter(|c| c.runner.entry.stage == Some(stage)).collect();
        some.sort_by_key(|c| rendezvous_weight(service, c.runner.entry.id.as_str().as_bytes()));
        some
    };
    let (mut prefill, mut whole) = (of_stage(Stage::Prefill), of_stage(Stage::Decode));
    let mut decode = whole.clone();
    if !prefill.is_empty() {
        let of_decode = (whole.len() as f64 * DECODE_ONLY.0).ceil();
        let of_all = ((whole.len() + prefill.len()) as f64 * DECODE_ONLY.1).ceil();
        let count = (of_decode.max(of_all) as usize).min(whole.len());
        whole.truncate(whole.len() - count);
    }
    let reads_whole = whole.len() as f64 * WHOLE_SPEED;
    let for_late = (prefill.len() as f64 + reads_whole) * LATE_SHARE - reads_whole;
    let count = (for_late.max(0.0).round() as usize).min(prefill.len().saturating_sub(1));
    let late = prefill.split_off(prefill.len() - count);
    let room = |c: &&Candidate<'_>| c.runner.has_room(&c.load, engine, work.footprint());
    prefer(&mut decode, room);
    if whole.is_empty() && late.is_empty() {
        whole.clone_from(&decode);
    }
    let open = |c: &&Candidate<'_>| c.is_open(question.class, engine);
    prefer(&mut decode, open);
    prefer(&mut whole, open);
    Lanes { decode, whole, prefill, late }
}

impl Lanes<'_, '_> {
    /// Leaves out the decode runners whose queues are too long for work of `class`.
    fn close(&mut self, class: Class, engine: &Engine) {
        let open = |c: &&Candidate<'_>| c.is_open(class, engine);
        self.decode.retain(open);
        self.whole.retain(open);
    }
}

/// Leaves those that `suit`, if any does.
fn prefer<'a, 'b>(
    some: &mut Vec<&'b Candidate<'a>>,
    suit: impl FnMut(&&'b Candidate<'a>) -> bool + Copy,
) {
    if some.iter().any(suit) {
        some.retain(suit);
    }
}

/// The prefill runners that may read for work of a class, with what each costs besides in seconds.
fn readers<'a, 'b>(lanes: &Lanes<'a, 'b>, class: Class) -> Vec<(&'b Candidate<'a>, f64)> {
    let own = lanes.late.iter().map(|c| (*c, 0.0));
    if class != Class::LATE {
        return lanes.prefill.iter().map(|c| (*c, 0.0)).chain(own).collect();
    }
    let idle: Vec<_> = lanes.prefill.iter().filter(|c| c.is_idle()).map(|c| (*c, SPILL)).collect();
    let reserve = lanes.prefill.len() as f64 * IDLE_RESERVE;
    if idle.len() as f64 > reserve { own.chain(idle).collect() } else { own.collect() }
}

/// Chooses for a generation, or none if no runner of the service can run it.
pub fn generation<R: Rng>(
    register: &Register,
    question: &Question<'_>,
    engine: &Engine,
    work: &Work,
    rng: &mut R,
) -> Option<Placement> {
    let all = candidates(register, question);
    let mut lanes = lanes(&all, question, engine, work);
    if question.class == Class::LATE {
        lanes.close(Class::LATE, engine);
    }
    let readers = readers(&lanes, question.class);
    let homes = homes(readers.iter().map(|(candidate, _)| *candidate), work);
    let search = Search { work, engine, keeper: keeper(register, question, work, question.now) };
    let reader = readers
        .iter()
        .map(|(c, cost)| {
            let mut reading = reading(c, question, &search, rng.random());
            reading.rank += cost - home_advantage(&homes, &reading, &search);
            reading
        })
        .min_by(|a, b| a.rank.total_cmp(&b.rank));
    let split =
        reader.and_then(|reader| split(&reader, &lanes.decode, question, engine, work, rng));
    let whole = lanes
        .whole
        .iter()
        .map(|c| {
            let reading = reading(c, question, &search, rng.random());
            let first =
                c.first_event() + c.runner.wait_for_place(&c.load, question.class, engine.slots);
            (reading.rank + first, reading.read + first, reading)
        })
        .min_by(|a, b| a.0.total_cmp(&b.0));
    let whole = whole.map(|(rank, first, reading)| {
        let plan = Plan::Whole { runner: reading.at.runner.entry.id.clone() };
        (rank, reading.placement(plan, first))
    });
    match (split, whole) {
        (Some(split), Some(whole)) => Some(if split.0 <= whole.0 { split.1 } else { whole.1 }),
        (one, other) => one.or(other).map(|(_, placement)| placement),
    }
}

fn split<R: Rng>(
    reader: &Reading<'_, '_>,
    decode: &[&Candidate<'_>],
    question: &Question<'_>,
    engine: &Engine,
    work: &Work,
    rng: &mut R,
) -> Option<(f64, Placement)> {
    let from = &reader.at.runner.entry;
    let (rank, first, maker) = maker(&from.data_centre, decode, question, engine, work, rng)?;
    let plan = Plan::Split { prefill: from.id.clone(), decode: maker.clone() };
    Some((reader.rank + rank, reader.placement(plan, reader.read + first)))
}

/// The runner that goes on soonest from what was read in the data centre `from`: its rank, the time
/// until the first event, and itself.
fn maker<'a, R: Rng>(
    from: &DataCentre,
    decode: &[&Candidate<'a>],
    question: &Question<'_>,
    engine: &Engine,
    work: &Work,
    rng: &mut R,
) -> Option<(f64, f64, &'a RunnerId)> {
    let ranked = decode.iter().map(|c| {
        let near = c.runner.entry.data_centre == *from;
        let wait = c.runner.wait(&c.load, question.class)
            + c.runner.wait_for_place(&c.load, question.class, engine.slots);
        let first = wait + c.first_event() + engine.transfer_time(work.prompt, near);
        (first + c.cost(question, rng.random()), first, &c.runner.entry.id)
    });
    ranked.min_by(|a, b| a.0.total_cmp(&b.0))
}

/// Chooses the runner that goes on from a prompt that has been read at `reader`. The reading takes
/// up to seconds, in which the runner that was planned may have begun to leave.
pub fn decode<R: Rng>(
    register: &Register,
    question: &Question<'_>,
    engine: &Engine,
    work: &Work,
    reader: &RunnerId,
    rng: &mut R,
) -> Option<RunnerId> {
    let all = candidates(register, question);
    let lanes = lanes(&all, question, engine, work);
    let from = &register.get(reader)?.entry.data_centre;
    let makers = if lanes.decode.is_empty() { &lanes.whole } else { &lanes.decode };
    maker(from, makers, question, engine, work, rng).map(|(.., id)| id.clone())
}

/// The homes of a shared prompt among runners, the first one first: the same at every node that sees
/// the same runners.
fn homes<'a>(
    runners: impl Iterator<Item = &'a Candidate<'a>>,
    work: &Work,
) -> SmallVec<[&'a RunnerId; HOMES]> {
    let meeting = work.chain.meeting().0;
    let mut homes: SmallVec<[(u64, &RunnerId); HOMES + 1]> = SmallVec::new();
    for candidate in runners {
        let id = &candidate.runner.entry.id;
        let weight = rendezvous_weight(meeting, id.as_str().as_bytes());
        let at = homes.partition_point(|(other, _)| *other > weight);
        if at < HOMES {
            homes.insert(at, (weight, id));
            homes.truncate(HOMES);
        }
    }
    homes.into_iter().map(|(_, id)| id).collect()
}

/// What a candidate is preferred by for being a home of the prompt, in seconds.
fn home_advantage(homes: &[&RunnerId], reading: &Reading<'_, '_>, search: &Search<'_>) -> f64 {
    let id = &reading.at.runner.entry.id;
    let Some(at) = homes.iter().position(|home| *home == id) else { return 0.0 };
    let kept = search.keeper.as_ref().map_or(0, |keeper| keeper.tokens);
    let missing = search.work.chain.shared().saturating_sub(kept);
    let time = prefill_time(Stage::Prefill, missing, kept, 0);
    let whole = HOME_ADVANTAGE.0 + HOME_ADVANTAGE.1 * time;
    whole * (1.0 - at as f64 / HOMES as f64)
}

/// A choice for a plain request.
#[derive(Clone, Debug, PartialEq)]
pub struct Plain {
    /// The runner.
    pub runner: RunnerId,
    /// Until the answer, in seconds from now.
    pub answer: f64,
}

/// Chooses for a plain request, or none if the service has no runner.
pub fn plain<R: Rng>(register: &Register, question: &Question<'_>, rng: &mut R) -> Option<Plain> {
    let all = candidates(register, question);
    let ranked = all.iter().map(|c| {
        let slots = f64::from(c.runner.entry.slots.max(1));
        let ahead = (f64::from(c.load.total()) + 1.0 - slots).max(0.0);
        let answer = c.runner.answer_time * (1.0 + ahead / slots);
        // Equal runners are told apart by how full they are, so that bursts spread.
        let fullness = f64::from(c.load.total()) / slots * c.runner.answer_time;
        (answer + fullness + c.cost(question, rng.random()), answer, c)
    });
    let (_, answer, best) = ranked.min_by(|a, b| a.0.total_cmp(&b.0))?;
    Some(Plain { runner: best.runner.entry.id.clone(), answer })
}
