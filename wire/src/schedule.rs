//! The datagrams between a node that has a caller and the scheduler of a pool of runners, and those
//! between nodes that count the ends of runners under a request.
//!
//! They go by the same sockets as beats. Their first byte is nought, with which no beat begins: a
//! node that does not know them drops them.

use std::time::Duration;

use prost::Message as _;
use sardinepick_lib::fleet::cache::{Chain, ChainKey, Part, Progress};
use sardinepick_lib::fleet::engine::Work;
use sardinepick_lib::fleet::fingerprint::Fingerprint;
use sardinepick_lib::fleet::gate::Terms;
use sardinepick_lib::fleet::health::Outcome;
use sardinepick_lib::fleet::limit::Announced;
use sardinepick_lib::fleet::load::{CLASSES, Class, Load};
use sardinepick_lib::fleet::place::{Placement, Plan};
use sardinepick_lib::fleet::register::Reading;
use sardinepick_lib::fleet::runner::Tag;
use sardinepick_lib::fleet::scheduler::{Ask, Decision, Firmness, Lesson, Step};
use sardinepick_lib::fleet::suspect::{End, Reach};
use sardinepick_lib::id::{NodeId, RunnerId};

use crate::error::WireError;
use crate::fleet as pb;
use crate::limit;

/// The first byte, which is not one of a field's number.
pub const DATAGRAM_TYPE: u8 = 0;
/// The most loads in one report, at up to 41 bytes each.
pub const MAX_LOADS: usize = 16;
/// The most readings in one report, at up to 25 bytes each.
pub const MAX_READINGS: usize = 16;
/// The most lessons in one report, at up to 21 bytes each.
pub const MAX_LESSONS: usize = 12;

/// One datagram.
#[derive(Clone, Debug, PartialEq)]
pub enum Schedule {
    /// Asks where a request goes.
    Question {
        /// The number of the question at the node that asks.
        number: u64,
        /// That node.
        node: NodeId,
        /// What it asks.
        ask: Box<Ask>,
    },
    /// The answer to a question.
    Answer {
        /// Its number.
        number: u64,
        /// What is decided; none if the node that was asked does not know the service.
        decision: Option<Decision>,
    },
    /// What a node has under way and has learned.
    Report(Report),
    /// Tells a node that counts a request's ends of one more.
    Ended {
        /// The number of the question at the node that tells.
        number: u64,
        /// The request.
        request: Fingerprint,
        /// The end.
        end: End,
    },
    /// The answer to that.
    Counted {
        /// Its number.
        number: u64,
        /// How many ends count against the request.
        ends: u32,
    },
    /// Asks for a permit to send one request to a runner with a rate limit.
    Acquire {
        /// The number of the question at the node that asks.
        number: u64,
        /// The limit as that node knows it.
        limit: Announced,
    },
    /// The answer to that.
    Acquired {
        /// Its number.
        number: u64,
        /// When to ask again; none with a permit.
        wait: Option<Duration>,
    },
}

/// What a node has under way at runners, and what it has learned of them.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The node.
    pub node: NodeId,
    /// What it has under way, by runner, in place of what it last said.
    pub loads: Vec<(Tag, Load)>,
    /// Prompts that it has had read.
    pub readings: Vec<Reading>,
    /// What it has learned.
    pub lessons: Vec<(Tag, Lesson)>,
}

impl Schedule {
    /// The datagram as bytes.
    pub fn encode(&self) -> Vec<u8> {
        let body = match self {
            Schedule::Question { number, node, ask } => {
                pb::schedule::Body::Question(question(*number, node, ask))
            }
            Schedule::Answer { number, decision } => pb::schedule::Body::Answer(pb::Answer {
                number: *number,
                decision: Some(answer(decision.as_ref())),
            }),
            Schedule::Report(report) => pb::schedule::Body::Report(pb::Report {
                node: report.node.to_string(),
                loads: report.loads.iter().map(load).collect(),
                readings: report.readings.iter().map(reading).collect(),
                lessons: report.lessons.iter().map(lesson).collect(),
            }),
            Schedule::Ended { number, request, end } => pb::schedule::Body::Ended(pb::Ended {
                number: *number,
                request: request.as_bytes().to_vec(),
                life: end.life.0,
                events: end.reach.events,
                begun: end.reach.begun,
            }),
            Schedule::Counted { number, ends } => {
                pb::schedule::Body::Counted(pb::Counted { number: *number, ends: *ends })
            }
            Schedule::Acquire { number, limit } => pb::schedule::Body::Acquire(pb::Acquire {
                number: *number,
                limit: Some(limit::encode_limit(limit)),
            }),
            Schedule::Acquired { number, wait } => {
                let wait_us = wait.map(micros);
                pb::schedule::Body::Acquired(pb::Acquired { number: *number, wait_us })
            }
        };
        let mut bytes = vec![DATAGRAM_TYPE];
        let whole = pb::Schedule { body: Some(body) };
        whole.encode(&mut bytes).expect("a vector grows");
        bytes
    }

    /// Reads a datagram.
    ///
    /// # Errors
    /// The bytes are not one, or it says what it may not.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        let Some((&DATAGRAM_TYPE, bytes)) = bytes.split_first() else {
            return Err(WireError::Missing("mark"));
        };
        let whole =
            pb::Schedule::decode(bytes).map_err(|error| WireError::Decode(error.to_string()))?;
        match whole.body.ok_or(WireError::Missing("body"))? {
            pb::schedule::Body::Question(question) => read_question(&question),
            pb::schedule::Body::Answer(answer) => read_answer(&answer),
            pb::schedule::Body::Report(report) => Ok(Schedule::Report(Report {
                node: report.node.as_str().try_into().map_err(|_| WireError::Value("node"))?,
                loads: report.loads.iter().map(read_load).collect::<Result<_, _>>()?,
                readings: report.readings.iter().map(read_reading).collect(),
                lessons: report.lessons.iter().map(read_lesson).collect::<Result<_, _>>()?,
            })),
            pb::schedule::Body::Ended(ended) => {
                let request = ended.request.as_slice().try_into();
                let reach = Reach { events: ended.events.min(MOST_EVENTS), begun: ended.begun };
                Ok(Schedule::Ended {
                    number: ended.number,
                    request: request.map_err(|_| WireError::Value("request"))?,
                    end: End { life: Tag(ended.life), reach },
                })
            }
            pb::schedule::Body::Counted(counted) => {
                Ok(Schedule::Counted { number: counted.number, ends: counted.ends })
            }
            pb::schedule::Body::Acquire(acquire) => {
                let limit = acquire.limit.ok_or(WireError::Missing("limit"))?;
                let limit = limit::decode_limit(&limit)?;
                Ok(Schedule::Acquire { number: acquire.number, limit })
            }
            pb::schedule::Body::Acquired(acquired) => {
                let wait = acquired.wait_us.map(Duration::from_micros);
                Ok(Schedule::Acquired { number: acquired.number, wait })
            }
        }
    }
}

/// The most events of one answer that are believed; sums of such numbers stay in range.
const MOST_EVENTS: u64 = 1 << 40;

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn question(number: u64, node: &NodeId, ask: &Ask) -> pb::Question {
    let terms = &ask.terms;
    let (firmness, class, reader) = match &ask.step {
        Step::Start(firmness) => (*firmness, terms.class, None),
        Step::GoOn { reader, class } => (Firmness::New, *class, Some(reader.to_string())),
    };
    let part = |part: &Part| pb::Part {
        key: part.key.0,
        alone: if part.alone == part.key { 0 } else { part.alone.0 },
        tokens: part.tokens,
    };
    pb::Question {
        number,
        node: node.to_string(),
        service: ask.service.to_string(),
        data_centre: ask.data_centre.to_string(),
        class: class.index() as u32,
        objective_us: terms.objective.map(micros),
        left_us: micros(terms.left),
        patience_us: micros(terms.patience),
        returned: terms.returned,
        size: terms.size as f32,
        prompt: ask.work.prompt,
        output: ask.work.output,
        parts: ask.work.chain.0.iter().map(part).collect(),
        skip: ask.skip.iter().map(ToString::to_string).collect(),
        firmness: match firmness {
            Firmness::New => pb::Firmness::New,
            Firmness::HasRun => pb::Firmness::HasRun,
            Firmness::Streaming => pb::Firmness::Streaming,
        }
        .into(),
        reader,
    }
}

fn read_class(class: u32) -> Result<Class, WireError> {
    let rank = u8::try_from(class).map_err(|_| WireError::Value("class"))?;
    match usize::from(rank) {
        rank if rank == Class::LATE.index() => Ok(Class::LATE),
        rank if rank < CLASSES => Ok(Class::of_rank(rank as u8)),
        _ => Err(WireError::Value("class")),
    }
}

fn read_runner(id: &str) -> Result<RunnerId, WireError> {
    id.try_into().map_err(|_| WireError::Value("runner"))
}

fn read_question(question: &pb::Question) -> Result<Schedule, WireError> {
    let class = read_class(question.class)?;
    let firmness = match question.firmness() {
        pb::Firmness::New => Firmness::New,
        pb::Firmness::HasRun => Firmness::HasRun,
        pb::Firmness::Streaming => Firmness::Streaming,
    };
    let step = match &question.reader {
        Some(reader) => Step::GoOn { reader: read_runner(reader)?, class },
        None => Step::Start(firmness),
    };
    let part = |part: &pb::Part| {
        let alone = if part.alone == 0 { part.key } else { part.alone };
        let tokens = part.tokens.min(MOST_TOKENS);
        Part { key: ChainKey(part.key), alone: ChainKey(alone), tokens }
    };
    let text = |what| move |_| WireError::Value(what);
    let ask = Ask {
        service: question.service.as_str().try_into().map_err(|_| WireError::Value("service"))?,
        data_centre: question.data_centre.as_str().try_into().map_err(text("data centre"))?,
        terms: Terms {
            class,
            objective: question.objective_us.map(Duration::from_micros),
            left: Duration::from_micros(question.left_us),
            patience: Duration::from_micros(question.patience_us),
            returned: question.returned,
            size: f64::from(question.size),
        },
        work: Work {
            chain: Chain(question.parts.iter().map(part).collect()),
            prompt: question.prompt.min(MOST_TOKENS),
            output: question.output.min(MOST_TOKENS),
        },
        skip: question.skip.iter().map(|id| read_runner(id)).collect::<Result<_, _>>()?,
        step,
    };
    let node = question.node.as_str().try_into().map_err(|_| WireError::Value("node"))?;
    Ok(Schedule::Question { number: question.number, node, ask: Box::new(ask) })
}

fn answer(decision: Option<&Decision>) -> pb::answer::Decision {
    use pb::answer::Decision as Wire;
    match decision {
        None => Wire::Unknown(true),
        Some(Decision::NoRunner) => Wire::NoRunner(true),
        Some(Decision::RateLimited(wait)) => Wire::RateLimitedUs(micros(*wait)),
        Some(Decision::GoesOn(runner)) => Wire::GoesOn(runner.to_string()),
        Some(Decision::Placed { placement, class }) => Wire::Placed(placed(placement, *class)),
        Some(Decision::Late(placement)) => Wire::Late(placed(placement, Class::LATE)),
    }
}

fn placed(placement: &Placement, class: Class) -> pb::Placed {
    let (prefill, decode) = match &placement.plan {
        Plan::Whole { runner } => (String::new(), runner.to_string()),
        Plan::Split { prefill, decode } => (prefill.to_string(), decode.to_string()),
    };
    pb::Placed {
        class: class.index() as u32,
        prefill,
        decode,
        first: placement.first,
        read: placement.read,
        wait: placement.wait,
        fresh: placement.fresh,
        fetch: placement.fetch.as_ref().map(ToString::to_string).unwrap_or_default(),
    }
}

fn read_placed(placed: &pb::Placed) -> Result<(Placement, Class), WireError> {
    let decode = read_runner(&placed.decode)?;
    let plan = match placed.prefill.as_str() {
        "" => Plan::Whole { runner: decode },
        prefill => Plan::Split { prefill: read_runner(prefill)?, decode },
    };
    let seconds = [placed.first, placed.read, placed.wait];
    if !seconds.iter().all(|s| (0.0..MOST_SECONDS).contains(s)) {
        return Err(WireError::Value("seconds"));
    }
    let fetch = match placed.fetch.as_str() {
        "" => None,
        id => Some(read_runner(id)?),
    };
    let [first, read, wait] = seconds;
    let fresh = placed.fresh.min(MOST_TOKENS);
    let placement = Placement { plan, first, read, wait, fresh, fetch };
    Ok((placement, read_class(placed.class)?))
}

fn read_answer(answer: &pb::Answer) -> Result<Schedule, WireError> {
    use pb::answer::Decision as Wire;
    let decision = match answer.decision.as_ref().ok_or(WireError::Missing("decision"))? {
        Wire::Unknown(_) => None,
        Wire::NoRunner(_) => Some(Decision::NoRunner),
        Wire::RateLimitedUs(wait) => Some(Decision::RateLimited(Duration::from_micros(*wait))),
        Wire::GoesOn(runner) => Some(Decision::GoesOn(read_runner(runner)?)),
        Wire::Placed(placed) => {
            let (placement, class) = read_placed(placed)?;
            Some(Decision::Placed { placement, class })
        }
        Wire::Late(placed) => Some(Decision::Late(read_placed(placed)?.0)),
    };
    Ok(Schedule::Answer { number: answer.number, decision })
}

fn lesson((tag, lesson): &(Tag, Lesson)) -> pb::Lesson {
    use pb::lesson::Kind;
    let kind = match lesson {
        Lesson::Reading { predicted, reading, seen } => Kind::Reading(pb::LearnedReading {
            predicted: *predicted as f32,
            reading: *reading as f32,
            seen: *seen as f32,
        }),
        Lesson::Stream(seconds) => Kind::Stream(*seconds as f32),
        Lesson::Outcome(outcome) => Kind::Outcome(
            match outcome {
                Outcome::Answered => pb::Outcome::Answered,
                Outcome::Failed => pb::Outcome::Failed,
                Outcome::Broken => pb::Outcome::Broken,
                Outcome::Gone => pb::Outcome::Gone,
            }
            .into(),
        ),
    };
    pb::Lesson { runner: tag.0, kind: Some(kind) }
}

fn read_lesson(lesson: &pb::Lesson) -> Result<(Tag, Lesson), WireError> {
    use pb::lesson::Kind;
    let seconds = |s: f32| match f64::from(s) {
        s if (0.0..MOST_SECONDS).contains(&s) => Ok(s),
        _ => Err(WireError::Value("seconds")),
    };
    let read = match lesson.kind.as_ref().ok_or(WireError::Missing("lesson"))? {
        Kind::Reading(reading) => Lesson::Reading {
            predicted: seconds(reading.predicted)?,
            reading: seconds(reading.reading)?,
            seen: seconds(reading.seen)?,
        },
        Kind::Stream(stream) => Lesson::Stream(seconds(*stream)?),
        Kind::Outcome(outcome) => Lesson::Outcome(match pb::Outcome::try_from(*outcome) {
            Ok(pb::Outcome::Answered) => Outcome::Answered,
            Ok(pb::Outcome::Failed) => Outcome::Failed,
            Ok(pb::Outcome::Broken) => Outcome::Broken,
            Ok(pb::Outcome::Gone) => Outcome::Gone,
            Err(_) => return Err(WireError::Value("outcome")),
        }),
    };
    Ok((Tag(lesson.runner), read))
}

/// The longest time that is believed, in seconds.
const MOST_SECONDS: f64 = 3_600.0;

fn load((tag, load): &(Tag, Load)) -> pb::Load {
    pb::Load {
        runner: tag.0,
        requests: load.requests.to_vec(),
        backlog: load.backlog.to_vec(),
        tokens: load.tokens,
        unread: load.unread.to_vec(),
    }
}

/// The most that is believed of one node's work at one runner; sums of such numbers stay in range.
const MOST_TOKENS: u64 = 1 << 40;
/// The most requests that are believed of one node at one runner.
const MOST_REQUESTS: u32 = 1 << 20;

fn read_load(load: &pb::Load) -> Result<(Tag, Load), WireError> {
    let whole = [load.backlog.len(), load.unread.len(), load.requests.len()];
    if whole != [CLASSES; 3] {
        return Err(WireError::Value("backlog"));
    }
    let mut backlog = [0; CLASSES];
    for (into, from) in backlog.iter_mut().zip(&load.backlog) {
        *into = (*from).min(MOST_TOKENS);
    }
    let mut unread = [0; CLASSES];
    for (into, from) in unread.iter_mut().zip(&load.unread) {
        *into = (*from).min(MOST_REQUESTS);
    }
    let mut requests = [0; CLASSES];
    for (into, from) in requests.iter_mut().zip(&load.requests) {
        *into = (*from).min(MOST_REQUESTS);
    }
    let tokens = load.tokens.min(MOST_TOKENS);
    Ok((Tag(load.runner), Load { requests, backlog, unread, tokens }))
}

fn reading(reading: &Reading) -> pb::Reading {
    pb::Reading {
        runner: reading.runner.0,
        part: reading.part.key.0,
        tokens: reading.part.tokens,
        begun: reading.progress == Progress::Begun,
    }
}

fn read_reading(reading: &pb::Reading) -> Reading {
    // A node that is told of a part counts it by the one name that it is told by.
    let key = ChainKey(reading.part);
    let part = Part { key, alone: key, tokens: reading.tokens.min(MOST_TOKENS) };
    let progress = if reading.begun { Progress::Begun } else { Progress::Read };
    Reading { runner: Tag(reading.runner), part, progress }
}
