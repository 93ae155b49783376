//! Datagrams between the node that serves a caller and the scheduler of a pool of runners, and
//! between nodes that count the runner terminations that occur during a request.
//!
//! They use the same sockets as heartbeats. Their first byte is 0, with which no heartbeat starts,
//! so nodes of versions that do not know them drop them.

use std::time::Duration;

use prost::Message as _;
use sardinepick_lib::fleet::admission::Terms;
use sardinepick_lib::fleet::cache::{Chain, ChainKey, Part, Progress};
use sardinepick_lib::fleet::engine::{Stage, Work};
use sardinepick_lib::fleet::fingerprint::Fingerprint;
use sardinepick_lib::fleet::health::Outcome;
use sardinepick_lib::fleet::limit::LimitReport;
use sardinepick_lib::fleet::load::{CLASSES, Class, Load};
use sardinepick_lib::fleet::model::{Basis, RunnerState, State};
use sardinepick_lib::fleet::placement::{Placement, Plan};
use sardinepick_lib::fleet::register::PrefillReport;
use sardinepick_lib::fleet::runner::Tag;
use sardinepick_lib::fleet::scheduler::{Decision, Firmness, Observation, Query, Step};
use sardinepick_lib::fleet::share::{Account, Usage};
use sardinepick_lib::fleet::stream_binding::{Binding, Known, Seen, StreamKey, Versions};
use sardinepick_lib::fleet::suspect::{RunProgress, RunnerEnd};
use sardinepick_lib::fleet::version::Version;
use sardinepick_lib::id::{NodeId, RunnerId, ServiceId};

use crate::error::WireError;
use crate::fleet as pb;
use crate::{limit, part_quarantine};

/// The first byte of a datagram, which is not a valid protobuf field key.
pub const DATAGRAM_TYPE: u8 = 0;
/// The maximum number of loads in a report, at up to 59 bytes each.
pub const MAX_LOADS: usize = 10;
/// The maximum number of prompt readings in a report, at up to 25 bytes each.
pub const MAX_READINGS: usize = 16;
/// The maximum number of observations in a report, at up to 55 bytes each.
pub const MAX_LESSONS: usize = 6;

/// The maximum number of settlements in a datagram, at up to 28 bytes each.
pub const MAX_SETTLEMENTS: usize = 32;

/// A datagram.
#[derive(Clone, Debug, PartialEq)]
pub enum Schedule {
    /// Queries a scheduler for the runner of a request.
    Query {
        /// The number of the query, unique at the requesting node.
        number: u64,
        /// The requesting node.
        node: NodeId,
        /// The request to place.
        query: Box<Query>,
    },
    /// Answers a [`Schedule::Query`].
    Answer {
        /// The number of the query.
        number: u64,
        /// The decision, or `None` if the answering node does not know the service.
        decision: Option<Decision>,
    },
    /// Reports a node's running work and its observations of runners.
    Report(Report),
    /// Reports a runner termination to the node that counts them for the request.
    Ended {
        /// The number of the datagram, unique at the reporting node.
        number: u64,
        /// The fingerprint of the request.
        request: Fingerprint,
        /// The termination.
        end: RunnerEnd,
    },
    /// Answers a [`Schedule::Ended`].
    Counted {
        /// The number of the datagram that it answers.
        number: u64,
        /// The number of terminations counted against the request.
        ends: u32,
    },
    /// Requests a permit to send a request to a runner with a rate limit.
    Acquire {
        /// The number of the datagram, unique at the requesting node.
        number: u64,
        /// The limit as the requesting node knows it.
        limit: LimitReport,
    },
    /// Tells a node what a stream is bound to.
    Bind(BindReport),
    /// Asks a node what a stream is bound to.
    FindBinding {
        /// The number of the datagram, unique at the asking node.
        number: u64,
        /// The stream.
        stream: StreamKey,
        /// The service that it belongs to if it has no binding; `None` if there are several.
        service: Option<ServiceId>,
        /// How old the stream may be.
        horizon: Duration,
    },
    /// Answers a [`Schedule::FindBinding`].
    FoundBinding {
        /// The number of the datagram that it answers.
        number: u64,
        /// What the node knows.
        found: Known,
    },
    /// Concerns a prompt part that crashes runners.
    Part(part_quarantine::Message),
    /// Hands what a scheduler has learned of runners to the node that would succeed it.
    ModelState(State),
    /// Reports what requests used that the receiving scheduler has let start.
    Settled {
        /// The reporting node.
        node: NodeId,
        /// The use by the number of the query, at most [`MAX_SETTLEMENTS`].
        usage: Vec<(u64, Usage)>,
    },
    /// Answers a [`Schedule::Acquire`].
    Acquired {
        /// The number of the datagram that it answers.
        number: u64,
        /// How long to wait before the next attempt, or `None` if the permit is granted.
        wait: Option<Duration>,
    },
}

/// What a stream is bound to, as nodes tell each other.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BindReport {
    /// The stream.
    pub stream: StreamKey,
    /// What it is bound to.
    pub binding: Binding,
    /// How long ago it was bound.
    pub age: Duration,
    /// For how long the binding is remembered.
    pub left: Duration,
}

/// A node's running work at runners and its observations of them.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The reporting node.
    pub node: NodeId,
    /// The node's load by runner, which replaces the load it last reported for that runner.
    pub loads: Vec<(Tag, Load)>,
    /// Prompts that runners prefill, or have prefilled, for the node.
    pub readings: Vec<PrefillReport>,
    /// The node's observations by runner.
    pub lessons: Vec<(Tag, Observation)>,
}

impl Schedule {
    /// Encodes the datagram.
    pub fn encode(&self) -> Vec<u8> {
        let body = match self {
            Schedule::Query { number, node, query } => {
                pb::schedule::Body::Question(encode_query(*number, node, query))
            }
            Schedule::Answer { number, decision } => pb::schedule::Body::Answer(pb::Answer {
                number: *number,
                decision: Some(encode_answer(decision.as_ref())),
            }),
            Schedule::Report(report) => pb::schedule::Body::Report(pb::Report {
                node: report.node.to_string(),
                loads: report.loads.iter().map(encode_load).collect(),
                readings: report.readings.iter().map(encode_reading).collect(),
                lessons: report.lessons.iter().map(encode_lesson).collect(),
            }),
            Schedule::Ended { number, request, end } => pb::schedule::Body::Ended(pb::Ended {
                number: *number,
                request: request.as_bytes().to_vec(),
                life: end.incarnation.0,
                events: end.progress.events,
                begun: end.progress.begun,
                trial: end.is_trial,
            }),
            Schedule::Counted { number, ends } => {
                pb::schedule::Body::Counted(pb::Counted { number: *number, ends: *ends })
            }
            Schedule::Acquire { number, limit } => pb::schedule::Body::Acquire(pb::Acquire {
                number: *number,
                limit: Some(limit::encode_limit(limit)),
            }),
            Schedule::Bind(report) => pb::schedule::Body::Bind(encode_bind(report)),
            Schedule::FindBinding { number, stream, service, horizon } => {
                pb::schedule::Body::FindBinding(pb::FindBinding {
                    number: *number,
                    stream: Some(encode_stream(*stream)),
                    service: service.as_ref().map(ToString::to_string).unwrap_or_default(),
                    horizon_ms: millis(*horizon),
                })
            }
            Schedule::FoundBinding { number, found } => {
                pb::schedule::Body::FoundBinding(encode_found(*number, found))
            }
            Schedule::Part(message) => {
                pb::schedule::Body::PartQuarantine(part_quarantine::encode(message))
            }
            Schedule::ModelState(state) => pb::schedule::Body::ModelState(encode_state(state)),
            Schedule::Settled { node, usage } => pb::schedule::Body::Settled(pb::Settled {
                node: node.to_string(),
                settlements: usage.iter().map(encode_settlement).collect(),
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

    /// Decodes a datagram.
    ///
    /// # Errors
    /// The bytes are not a datagram of this kind, or a field is invalid.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        let Some((&DATAGRAM_TYPE, bytes)) = bytes.split_first() else {
            return Err(WireError::Missing("datagram type"));
        };
        let whole =
            pb::Schedule::decode(bytes).map_err(|error| WireError::Decode(error.to_string()))?;
        match whole.body.ok_or(WireError::Missing("body"))? {
            pb::schedule::Body::Question(question) => decode_query(&question),
            pb::schedule::Body::Answer(answer) => decode_answer(&answer),
            pb::schedule::Body::Report(report) => Ok(Schedule::Report(Report {
                node: report.node.as_str().try_into().map_err(|_| WireError::Value("node"))?,
                loads: report.loads.iter().map(decode_load).collect::<Result<_, _>>()?,
                readings: report.readings.iter().map(decode_reading).collect(),
                lessons: report.lessons.iter().map(decode_lesson).collect::<Result<_, _>>()?,
            })),
            pb::schedule::Body::Ended(ended) => {
                let request = ended.request.as_slice().try_into();
                let progress =
                    RunProgress { events: ended.events.min(MAX_EVENTS), begun: ended.begun };
                Ok(Schedule::Ended {
                    number: ended.number,
                    request: request.map_err(|_| WireError::Value("request"))?,
                    end: RunnerEnd {
                        incarnation: Tag(ended.life),
                        progress,
                        is_trial: ended.trial,
                    },
                })
            }
            pb::schedule::Body::Settled(settled) => Ok(Schedule::Settled {
                node: settled.node.as_str().try_into().map_err(|_| WireError::Value("node"))?,
                usage: settled
                    .settlements
                    .iter()
                    .map(decode_settlement)
                    .collect::<Result<_, _>>()?,
            }),
            pb::schedule::Body::Counted(counted) => {
                Ok(Schedule::Counted { number: counted.number, ends: counted.ends })
            }
            pb::schedule::Body::Acquire(acquire) => {
                let limit = acquire.limit.ok_or(WireError::Missing("limit"))?;
                let limit = limit::decode_limit(&limit)?;
                Ok(Schedule::Acquire { number: acquire.number, limit })
            }
            pb::schedule::Body::Bind(bind) => decode_bind(&bind).map(Schedule::Bind),
            pb::schedule::Body::FindBinding(find) => {
                let service = Some(find.service.as_str()).filter(|service| !service.is_empty());
                let service = service.map(ServiceId::try_from).transpose();
                Ok(Schedule::FindBinding {
                    number: find.number,
                    stream: decode_stream(find.stream.as_ref())?,
                    service: service.map_err(|_| WireError::Value("service"))?,
                    horizon: Duration::from_millis(find.horizon_ms),
                })
            }
            pb::schedule::Body::FoundBinding(found) => {
                Ok(Schedule::FoundBinding { number: found.number, found: decode_found(&found)? })
            }
            pb::schedule::Body::PartQuarantine(message) => {
                part_quarantine::decode(&message).map(Schedule::Part)
            }
            pb::schedule::Body::ModelState(state) => decode_state(&state).map(Schedule::ModelState),
            pb::schedule::Body::Acquired(acquired) => {
                let wait = acquired.wait_us.map(Duration::from_micros);
                Ok(Schedule::Acquired { number: acquired.number, wait })
            }
        }
    }
}

/// The maximum accepted number of events of a response, which keeps sums in range.
const MAX_EVENTS: u64 = 1 << 40;

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn encode_stream(stream: StreamKey) -> pb::Stream {
    pb::Stream { account: stream.account, id: stream.id }
}

fn decode_stream(stream: Option<&pb::Stream>) -> Result<StreamKey, WireError> {
    let stream = stream.ok_or(WireError::Missing("stream"))?;
    Ok(StreamKey { account: stream.account, id: stream.id })
}

fn decode_version(version: &str) -> Result<Version, WireError> {
    version.parse().map_err(|_| WireError::Value("version"))
}

fn decode_binding(service: &str, version: &str) -> Result<Binding, WireError> {
    let service = service.try_into().map_err(|_| WireError::Value("service"))?;
    Ok(Binding { service, version: decode_version(version)? })
}

fn encode_bind(report: &BindReport) -> pb::Bind {
    pb::Bind {
        stream: Some(encode_stream(report.stream)),
        service: report.binding.service.to_string(),
        version: report.binding.version.to_string(),
        age_ms: millis(report.age),
        left_ms: millis(report.left),
    }
}

fn decode_bind(bind: &pb::Bind) -> Result<BindReport, WireError> {
    Ok(BindReport {
        stream: decode_stream(bind.stream.as_ref())?,
        binding: decode_binding(&bind.service, &bind.version)?,
        age: Duration::from_millis(bind.age_ms),
        left: Duration::from_millis(bind.left_ms),
    })
}

fn encode_found(number: u64, found: &Known) -> pb::FoundBinding {
    let empty = pb::FoundBinding { number, ..pb::FoundBinding::default() };
    match found {
        Known::Bound(binding, age) => pb::FoundBinding {
            service: Some(binding.service.to_string()),
            version: binding.version.to_string(),
            age_ms: millis(*age),
            ..empty
        },
        Known::Unbound(Seen { versions, covers }) => {
            let version = match versions {
                Versions::One(version) => Some(version),
                Versions::None | Versions::Several => None,
            };
            pb::FoundBinding {
                version: version.map(ToString::to_string).unwrap_or_default(),
                has_seen: version.is_some(),
                several: *versions == Versions::Several,
                covers: *covers,
                ..empty
            }
        }
    }
}

fn decode_found(found: &pb::FoundBinding) -> Result<Known, WireError> {
    if let Some(service) = &found.service {
        let binding = decode_binding(service, &found.version)?;
        return Ok(Known::Bound(binding, Duration::from_millis(found.age_ms)));
    }
    let versions = match (found.several, found.has_seen) {
        (true, _) => Versions::Several,
        (false, true) => Versions::One(decode_version(&found.version)?),
        (false, false) => Versions::None,
    };
    Ok(Known::Unbound(Seen { versions, covers: found.covers }))
}

fn encode_query(number: u64, node: &NodeId, query: &Query) -> pb::Question {
    let terms = &query.terms;
    let (firmness, class, reader) = match &query.step {
        Step::Start(firmness) => (*firmness, terms.class, None),
        Step::Continue { prefill_runner, class } => {
            (Firmness::New, *class, Some(prefill_runner.to_string()))
        }
    };
    let part = |part: &Part| pb::Part {
        key: part.key.0,
        alone: if part.standalone_key == part.key { 0 } else { part.standalone_key.0 },
        tokens: part.tokens,
    };
    pb::Question {
        number,
        node: node.to_string(),
        service: query.service.to_string(),
        data_centre: query.data_centre.to_string(),
        class: class.index() as u32,
        objective_us: terms.objective.map(micros),
        left_us: micros(terms.left),
        patience_us: micros(terms.patience),
        returned: terms.is_retry,
        size: terms.size as f32,
        prompt: query.work.prompt,
        output: query.work.output,
        parts: query.work.chain.0.iter().map(part).collect(),
        skip: query.skip.iter().map(ToString::to_string).collect(),
        firmness: match firmness {
            Firmness::New => pb::Firmness::New,
            Firmness::HasRun => pb::Firmness::HasRun,
            Firmness::Streaming => pb::Firmness::Streaming,
        }
        .into(),
        reader,
        version: query.version.as_ref().map(ToString::to_string),
        account: query.account.0,
        waited_us: micros(query.waited),
    }
}

fn decode_class(class: u32) -> Result<Class, WireError> {
    u8::try_from(class).ok().and_then(Class::at).ok_or(WireError::Value("class"))
}

fn decode_runner(id: &str) -> Result<RunnerId, WireError> {
    id.try_into().map_err(|_| WireError::Value("runner"))
}

fn decode_query(question: &pb::Question) -> Result<Schedule, WireError> {
    let class = decode_class(question.class)?;
    let firmness = match question.firmness() {
        pb::Firmness::New => Firmness::New,
        pb::Firmness::HasRun => Firmness::HasRun,
        pb::Firmness::Streaming => Firmness::Streaming,
    };
    let step = match &question.reader {
        Some(reader) => Step::Continue { prefill_runner: decode_runner(reader)?, class },
        None => Step::Start(firmness),
    };
    let part = |part: &pb::Part| {
        let alone = if part.alone == 0 { part.key } else { part.alone };
        let tokens = part.tokens.min(MAX_TOKENS);
        Part { key: ChainKey(part.key), standalone_key: ChainKey(alone), tokens }
    };
    let text = |what| move |_| WireError::Value(what);
    let query = Query {
        service: question.service.as_str().try_into().map_err(|_| WireError::Value("service"))?,
        data_centre: question.data_centre.as_str().try_into().map_err(text("data centre"))?,
        terms: Terms {
            class,
            objective: question.objective_us.map(Duration::from_micros),
            left: Duration::from_micros(question.left_us),
            patience: Duration::from_micros(question.patience_us),
            is_retry: question.returned,
            size: f64::from(question.size),
        },
        work: Work {
            chain: Chain(question.parts.iter().map(part).collect()),
            prompt: question.prompt.min(MAX_TOKENS),
            output: question.output.min(MAX_TOKENS),
        },
        skip: question.skip.iter().map(|id| decode_runner(id)).collect::<Result<_, _>>()?,
        version: question.version.as_deref().map(decode_version).transpose()?,
        account: Account(question.account),
        waited: Duration::from_micros(question.waited_us),
        step,
    };
    let node = question.node.as_str().try_into().map_err(|_| WireError::Value("node"))?;
    Ok(Schedule::Query { number: question.number, node, query: Box::new(query) })
}

fn encode_answer(decision: Option<&Decision>) -> pb::answer::Decision {
    use pb::answer::Decision as Wire;
    match decision {
        None => Wire::Unknown(true),
        Some(Decision::NoRunner) => Wire::NoRunner(true),
        Some(Decision::RateLimited(wait)) => Wire::RateLimitedUs(micros(*wait)),
        Some(Decision::Waiting(pause)) => Wire::WaitingUs(micros(*pause)),
        Some(Decision::Refused { reason, retry }) => {
            Wire::Refused(pb::Refused { reason: reason.to_string(), retry_us: micros(*retry) })
        }
        Some(Decision::Continue(runner)) => Wire::GoesOn(runner.to_string()),
        Some(Decision::Placed { placement, class }) => {
            Wire::Placed(encode_placed(placement, *class))
        }
        Some(Decision::Late(placement)) => Wire::Late(encode_placed(placement, Class::LATE)),
    }
}

fn encode_placed(placement: &Placement, class: Class) -> pb::Placed {
    let (prefill, decode) = match &placement.plan {
        Plan::Whole { runner } => (String::new(), runner.to_string()),
        Plan::Split { prefill, decode } => (prefill.to_string(), decode.to_string()),
    };
    pb::Placed {
        class: class.index() as u32,
        prefill,
        decode,
        first: placement.first_event,
        read: placement.prefill_end,
        wait: placement.prefill_start,
        fresh: placement.prefill_tokens,
        fetch: placement.fetch.as_ref().map(ToString::to_string).unwrap_or_default(),
        basis: placement.basis.as_ref().map(encode_basis),
    }
}

fn decode_placed(placed: &pb::Placed) -> Result<(Placement, Class), WireError> {
    let decode = decode_runner(&placed.decode)?;
    let plan = match placed.prefill.as_str() {
        "" => Plan::Whole { runner: decode },
        prefill => Plan::Split { prefill: decode_runner(prefill)?, decode },
    };
    let seconds = [placed.first, placed.read, placed.wait];
    if !seconds.iter().all(|s| (0.0..SECONDS_LIMIT).contains(s)) {
        return Err(WireError::Value("seconds"));
    }
    let fetch = match placed.fetch.as_str() {
        "" => None,
        id => Some(decode_runner(id)?),
    };
    let [first_event, prefill_end, prefill_start] = seconds;
    let prefill_tokens = placed.fresh.min(MAX_TOKENS);
    let basis = placed.basis.as_ref().map(decode_basis).transpose()?;
    let placement =
        Placement { plan, first_event, prefill_end, prefill_start, prefill_tokens, fetch, basis };
    Ok((placement, decode_class(placed.class)?))
}

fn encode_stage(stage: Stage) -> u32 {
    match stage {
        Stage::Prefill => 0,
        Stage::Decode => 1,
    }
}

fn decode_stage(stage: u32) -> Result<Stage, WireError> {
    match stage {
        0 => Ok(Stage::Prefill),
        1 => Ok(Stage::Decode),
        _ => Err(WireError::Value("stage")),
    }
}

fn encode_state(state: &State) -> pb::ModelState {
    let encode = |runner: &RunnerState| pb::RunnerDeviation {
        runner: runner.runner.0,
        factor: runner.factor,
        evidence: runner.evidence,
    };
    pb::ModelState {
        service: state.service.to_string(),
        stage: encode_stage(state.stage),
        terms: state.terms.to_vec(),
        spread: state.spread,
        evidence: state.evidence,
        runners: state.runners.iter().map(encode).collect(),
    }
}

fn decode_state(state: &pb::ModelState) -> Result<State, WireError> {
    let decode = |runner: &pb::RunnerDeviation| RunnerState {
        runner: Tag(runner.runner),
        factor: runner.factor,
        evidence: runner.evidence,
    };
    let decoded = State {
        service: state.service.as_str().try_into().map_err(|_| WireError::Value("service"))?,
        stage: decode_stage(state.stage)?,
        terms: state.terms.as_slice().try_into().map_err(|_| WireError::Value("terms"))?,
        spread: state.spread,
        evidence: state.evidence,
        runners: state.runners.iter().map(decode).collect(),
    };
    if decoded.is_valid() { Ok(decoded) } else { Err(WireError::Value("model state")) }
}

fn encode_basis(basis: &Basis) -> pb::Basis {
    pb::Basis {
        stage: encode_stage(basis.stage),
        fresh: basis.fresh,
        cached: basis.cached,
        ahead: basis.ahead,
        prompts: basis.prompts,
        running: basis.running,
        extra: basis.extra,
    }
}

fn decode_basis(basis: &pb::Basis) -> Result<Basis, WireError> {
    let stage = decode_stage(basis.stage)?;
    if !(0.0..SECONDS_LIMIT).contains(&f64::from(basis.extra)) {
        return Err(WireError::Value("seconds"));
    }
    Ok(Basis {
        stage,
        fresh: basis.fresh.min(MAX_TOKENS),
        cached: basis.cached.min(MAX_TOKENS),
        ahead: basis.ahead.min(MAX_TOKENS),
        prompts: basis.prompts.min(MAX_REQUESTS),
        running: basis.running.min(MAX_REQUESTS),
        extra: basis.extra,
    })
}

fn decode_answer(answer: &pb::Answer) -> Result<Schedule, WireError> {
    use pb::answer::Decision as Wire;
    let decision = match answer.decision.as_ref().ok_or(WireError::Missing("decision"))? {
        Wire::Unknown(_) => None,
        Wire::NoRunner(_) => Some(Decision::NoRunner),
        Wire::RateLimitedUs(wait) => Some(Decision::RateLimited(Duration::from_micros(*wait))),
        Wire::WaitingUs(pause) => Some(Decision::Waiting(Duration::from_micros(*pause))),
        Wire::Refused(refused) => Some(Decision::Refused {
            reason: refused.reason.parse().map_err(|_| WireError::Value("reason"))?,
            retry: Duration::from_micros(refused.retry_us),
        }),
        Wire::GoesOn(runner) => Some(Decision::Continue(decode_runner(runner)?)),
        Wire::Placed(placed) => {
            let (placement, class) = decode_placed(placed)?;
            Some(Decision::Placed { placement, class })
        }
        Wire::Late(placed) => Some(Decision::Late(decode_placed(placed)?.0)),
    };
    Ok(Schedule::Answer { number: answer.number, decision })
}

fn encode_settlement((number, usage): &(u64, Usage)) -> pb::Settlement {
    pb::Settlement {
        number: *number,
        prefill: usage.prefill as f32,
        decode: usage.decode as f32,
        memory: usage.memory as f32,
    }
}

fn decode_settlement(settlement: &pb::Settlement) -> Result<(u64, Usage), WireError> {
    let limited = |value: f32, limit: f64| match f64::from(value) {
        value if (0.0..limit).contains(&value) => Ok(value),
        _ => Err(WireError::Value("settlement")),
    };
    let usage = Usage {
        prefill: limited(settlement.prefill, SECONDS_LIMIT)?,
        decode: limited(settlement.decode, SECONDS_LIMIT)?,
        memory: limited(settlement.memory, MAX_TOKENS as f64 * SECONDS_LIMIT)?,
    };
    Ok((settlement.number, usage))
}

fn encode_lesson((tag, lesson): &(Tag, Observation)) -> pb::Lesson {
    use pb::lesson::Kind;
    let kind = match lesson {
        Observation::Prefill { predicted, prefill, seen, basis } => {
            Kind::Reading(pb::LearnedReading {
                predicted: *predicted as f32,
                reading: *prefill as f32,
                seen: *seen as f32,
                basis: basis.as_ref().map(encode_basis),
            })
        }
        Observation::Stream(seconds) => Kind::Stream(*seconds as f32),
        Observation::Outcome(outcome) => Kind::Outcome(
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

fn decode_lesson(lesson: &pb::Lesson) -> Result<(Tag, Observation), WireError> {
    use pb::lesson::Kind;
    let seconds = |s: f32| match f64::from(s) {
        s if (0.0..SECONDS_LIMIT).contains(&s) => Ok(s),
        _ => Err(WireError::Value("seconds")),
    };
    let read = match lesson.kind.as_ref().ok_or(WireError::Missing("lesson"))? {
        Kind::Reading(reading) => Observation::Prefill {
            predicted: seconds(reading.predicted)?,
            prefill: seconds(reading.reading)?,
            seen: seconds(reading.seen)?,
            basis: reading.basis.as_ref().map(decode_basis).transpose()?,
        },
        Kind::Stream(stream) => Observation::Stream(seconds(*stream)?),
        Kind::Outcome(outcome) => Observation::Outcome(match pb::Outcome::try_from(*outcome) {
            Ok(pb::Outcome::Answered) => Outcome::Answered,
            Ok(pb::Outcome::Failed) => Outcome::Failed,
            Ok(pb::Outcome::Broken) => Outcome::Broken,
            Ok(pb::Outcome::Gone) => Outcome::Gone,
            Err(_) => return Err(WireError::Value("outcome")),
        }),
    };
    Ok((Tag(lesson.runner), read))
}

/// The exclusive upper bound on received durations.
const SECONDS_LIMIT: f64 = 3_600.0;

fn encode_load((tag, load): &(Tag, Load)) -> pb::Load {
    pb::Load {
        runner: tag.0,
        requests: load.requests.to_vec(),
        backlog: load.backlog.to_vec(),
        tokens: load.tokens,
        unread: load.prompts.to_vec(),
    }
}

/// The maximum accepted number of tokens of a node at a runner, which keeps sums in range.
const MAX_TOKENS: u64 = 1 << 40;
/// The maximum accepted number of requests of a node at a runner.
const MAX_REQUESTS: u32 = 1 << 18;

fn decode_load(load: &pb::Load) -> Result<(Tag, Load), WireError> {
    let whole = [load.backlog.len(), load.unread.len(), load.requests.len()];
    if whole != [CLASSES; 3] {
        return Err(WireError::Value("backlog"));
    }
    let mut backlog = [0; CLASSES];
    for (into, from) in backlog.iter_mut().zip(&load.backlog) {
        *into = (*from).min(MAX_TOKENS);
    }
    let mut prompts = [0; CLASSES];
    for (into, from) in prompts.iter_mut().zip(&load.unread) {
        *into = (*from).min(MAX_REQUESTS);
    }
    let mut requests = [0; CLASSES];
    for (into, from) in requests.iter_mut().zip(&load.requests) {
        *into = (*from).min(MAX_REQUESTS);
    }
    let tokens = load.tokens.min(MAX_TOKENS);
    Ok((Tag(load.runner), Load { requests, backlog, prompts, tokens }))
}

fn encode_reading(reading: &PrefillReport) -> pb::Reading {
    pb::Reading {
        runner: reading.runner.0,
        part: reading.part.key.0,
        tokens: reading.part.tokens,
        begun: reading.progress == Progress::Started,
    }
}

fn decode_reading(reading: &pb::Reading) -> PrefillReport {
    // Only the chain key is sent, so it also stands in for the key of the part alone.
    let key = ChainKey(reading.part);
    let part = Part { key, standalone_key: key, tokens: reading.tokens.min(MAX_TOKENS) };
    let progress = if reading.begun { Progress::Started } else { Progress::Prefilled };
    PrefillReport { runner: Tag(reading.runner), part, progress }
}
