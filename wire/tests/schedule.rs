//! Datagrams between nodes and the schedulers of runner pools.

use std::time::Duration;

use proptest::prelude::*;
use sardinepick_lib::fleet::admission::Terms;
use sardinepick_lib::fleet::cache::{Chain, ChainKey, Part, Progress};
use sardinepick_lib::fleet::engine::{Stage, Work};
use sardinepick_lib::fleet::fingerprint::Fingerprint;
use sardinepick_lib::fleet::health::Outcome;
use sardinepick_lib::fleet::limit::{LimitReport, Rate};
use sardinepick_lib::fleet::load::{CLASSES, Class, Load};
use sardinepick_lib::fleet::model::{Basis, MAX_RUNNERS, RunnerState, State};
use sardinepick_lib::fleet::part_quarantine::{Answer, Mark};
use sardinepick_lib::fleet::placement::{Placement, Plan};
use sardinepick_lib::fleet::register::PrefillReport;
use sardinepick_lib::fleet::runner::Tag;
use sardinepick_lib::fleet::scheduler::{Decision, Firmness, Observation, Query, Step};
use sardinepick_lib::fleet::share::{Account, Reason, Usage};
use sardinepick_lib::fleet::suspect::{RunProgress, RunnerEnd};
use sardinepick_lib::history::Era;
use sardinepick_lib::id::RunnerId;
use sardinepick_wire::beat::{Heartbeat, MAX_DATAGRAM_BYTES};
use sardinepick_wire::part_quarantine::{CrashReport, Message};
use sardinepick_wire::schedule::{
    MAX_LESSONS, MAX_LOADS, MAX_READINGS, MAX_SETTLEMENTS, Report, Schedule,
};

fn runner(name: &str) -> RunnerId {
    name.parse().expect("valid id")
}

fn query(step: Step) -> Query {
    let parts = [("5c1e07a2", 13_300), ("91bd3f06", 410), ("e4402b7d", 250)];
    Query {
        service: "tryckassistent".parse().expect("valid id"),
        data_centre: "zaal-hofvijver".parse().expect("valid id"),
        terms: Terms {
            class: Class::of_rank(2),
            objective: Some(Duration::from_micros(812_345)),
            left: Duration::from_millis(5_000),
            patience: Duration::from_millis(6_400),
            is_retry: true,
            size: 1.5,
        },
        work: Work { chain: Chain::new("m", parts.into_iter()), prompt: 13_960, output: 60 },
        skip: [runner("i-7f3a91c2"), runner("i-84cbbbb986")].into_iter().collect(),
        version: Some("v1.1".parse().expect("valid version")),
        account: Account(u64::MAX),
        waited: Duration::from_micros(98_765),
        step,
    }
}

fn placement(plan: Plan) -> Placement {
    let fetch = Some(runner("i-1"));
    Placement {
        plan,
        first_event: 0.25,
        prefill_end: 0.125,
        prefill_start: 0.0,
        prefill_tokens: 4_096,
        fetch,
        basis: Some(basis()),
    }
}

fn basis() -> Basis {
    Basis {
        stage: Stage::Decode,
        fresh: 400_000,
        cached: 400_000,
        ahead: 4_000_000,
        prompts: 190,
        running: 190,
        extra: 0.25,
    }
}

fn full_report() -> Report {
    let load = Load {
        requests: [90; CLASSES],
        backlog: [9_000; CLASSES],
        prompts: [9; CLASSES],
        tokens: 700_000,
    };
    let part = Part { key: ChainKey(u64::MAX), standalone_key: ChainKey(u64::MAX), tokens: 40_000 };
    let reading = |n| PrefillReport { runner: Tag(n), part, progress: Progress::Prefilled };
    let lesson =
        Observation::Prefill { predicted: 0.5, prefill: 0.125, seen: 0.25, basis: Some(basis()) };
    Report {
        node: "edge-zaal-hofvijver-17".parse().expect("valid id"),
        loads: (0..MAX_LOADS as u64).map(|n| (Tag(n), load)).collect(),
        readings: (0..MAX_READINGS as u64).map(reading).collect(),
        lessons: (0..MAX_LESSONS as u64).map(|n| (Tag(n), lesson)).collect(),
    }
}

fn round_trip(schedule: &Schedule) {
    let bytes = schedule.encode();
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
    assert_eq!(Schedule::decode(&bytes).expect("should decode"), *schedule);
    assert!(Heartbeat::decode(&bytes, Era(1)).is_err(), "must not decode as a heartbeat");
}

#[test]
fn decode_settled_round_trip_and_bounds() {
    let node = "edge-zaal-hofvijver-17".parse().expect("valid id");
    let usage = Usage { prefill: 0.5, decode: 2.25, memory: 1e6 };
    let settlements = (0..MAX_SETTLEMENTS as u64).map(|n| (u64::MAX - n, usage)).collect();
    round_trip(&Schedule::Settled { node, usage: settlements });
    let node = "edge-1".parse().expect("valid id");
    let negative = vec![(1, Usage { prefill: -1.0, ..usage })];
    let bytes = Schedule::Settled { node, usage: negative }.encode();
    assert!(Schedule::decode(&bytes).is_err(), "a negative use would be a refund");
}

#[test]
fn decode_query_round_trip() {
    let go_on = Step::Continue { prefill_runner: runner("i-2"), class: Class::LATE };
    let steps = [Firmness::New, Firmness::HasRun, Firmness::Streaming].map(Step::Start);
    for step in steps {
        let node = "edge-zaal-hofvijver-17".parse().expect("valid id");
        round_trip(&Schedule::Query { number: 1 << 40, node, query: Box::new(query(step)) });
    }
    let Schedule::Query { query: decoded, .. } = Schedule::decode(
        &Schedule::Query {
            number: 1,
            node: "edge-1".parse().expect("valid id"),
            query: Box::new(query(go_on.clone())),
        }
        .encode(),
    )
    .expect("should decode") else {
        panic!("expected a query");
    };
    assert_eq!(decoded.step, go_on);
}

#[test]
fn decode_answer_round_trip() {
    let whole = placement(Plan::Whole { runner: runner("i-2") });
    let split = placement(Plan::Split { prefill: runner("i-2"), decode: runner("i-3") });
    let decisions = [
        None,
        Some(Decision::NoRunner),
        Some(Decision::RateLimited(Duration::from_millis(250))),
        Some(Decision::Waiting(Duration::from_millis(100))),
        Some(Decision::Refused { reason: Reason::Share, retry: Duration::from_millis(700) }),
        Some(Decision::Continue(runner("i-9"))),
        Some(Decision::Late(whole.clone())),
        Some(Decision::Placed { placement: whole, class: Class::LATE }),
        Some(Decision::Placed { placement: split, class: Class::of_rank(0) }),
    ];
    for decision in decisions {
        round_trip(&Schedule::Answer { number: 7, decision });
    }
    let plan = Plan::Whole { runner: runner("i-2") };
    let placement = Placement { basis: None, ..placement(plan) };
    let class = Class::of_rank(0);
    round_trip(&Schedule::Answer {
        number: 7,
        decision: Some(Decision::Placed { placement, class }),
    });
}

#[test]
fn decode_report_round_trip() {
    round_trip(&Schedule::Report(full_report()));
    let outcomes = [Outcome::Answered, Outcome::Failed, Outcome::Broken, Outcome::Gone];
    let lessons = outcomes.map(Observation::Outcome).into_iter().chain([Observation::Stream(0.5)]);
    let lessons = lessons.map(|lesson| (Tag(1), lesson)).collect();
    round_trip(&Schedule::Report(Report { lessons, ..full_report() }));
}

#[test]
fn decode_ended_round_trip() {
    let request = Fingerprint::of(&[b"a brief"]);
    for begun in [false, true] {
        let progress = RunProgress { events: 9, begun };
        let end = RunnerEnd { incarnation: Tag(u64::MAX), progress, is_trial: !begun };
        round_trip(&Schedule::Ended { number: 1 << 40, request, end });
    }
    round_trip(&Schedule::Counted { number: 1 << 40, ends: 3 });
}

#[test]
fn decode_part_message_round_trip() {
    let subject = Fingerprint::of(&[b"a part"]).into();
    let report = |sound| CrashReport {
        subject,
        incarnation: Tag(u64::MAX),
        begun: true,
        crashed: Duration::from_millis(12),
        sent: Duration::from_millis(97),
        sound,
        context: vec![Mark(1), Mark(u64::MAX)],
    };
    for sound in [None, Some(Duration::ZERO), Some(Duration::from_secs(9))] {
        let report = report(sound);
        round_trip(&Schedule::Part(Message::Crash { number: 1 << 40, report }));
    }
    round_trip(&Schedule::Part(Message::Noted { number: 1 << 40 }));
    for answer in [Answer::Granted(1 << 40), Answer::Busy, Answer::Refused, Answer::Free] {
        round_trip(&Schedule::Part(Message::Acquired { number: 7, answer }));
    }
    for covered in [false, true] {
        for group in [false, true] {
            let message = Message::Acquire { number: 7, subject, covered, group };
            round_trip(&Schedule::Part(message));
        }
    }
    round_trip(&Schedule::Part(Message::Return { subject, permit: 1 << 40 }));
}

#[test]
fn decode_permit_round_trip() {
    let rate = Rate::new(6.7);
    let limit = LimitReport { runner: Tag(u64::MAX), rate, age: Duration::from_secs(80_000) };
    round_trip(&Schedule::Acquire { number: 1 << 40, limit });
    for wait in [None, Some(Duration::ZERO), Some(Duration::from_millis(250))] {
        round_trip(&Schedule::Acquired { number: 1 << 40, wait });
    }
}

#[test]
fn decode_excessive_load_bounded() {
    let mut excessive = full_report();
    excessive.loads[0].1.requests = [u32::MAX; CLASSES];
    excessive.loads[0].1.backlog = [u64::MAX; CLASSES];
    let decoded = Schedule::decode(&Schedule::Report(excessive).encode()).expect("should decode");
    let Schedule::Report(decoded) = decoded else { panic!("expected a report") };
    let sum: u64 = decoded.loads.iter().map(|(_, load)| load.backlog.iter().sum::<u64>()).sum();
    assert!(sum < u64::MAX / 1_000 && decoded.loads[0].1.total() < u32::MAX / 1_000);
}

/// Guards against a scheduler that places all requests at one runner because another node reported
/// an observed time that is not a finite number in range.
#[test]
fn decode_lesson_invalid_time_rejected() {
    for seen in [f64::NAN, f64::INFINITY, -1.0, 1e9] {
        let basis = None;
        let observation = Observation::Prefill { predicted: 0.5, prefill: 0.125, seen, basis };
        let lessons = vec![(Tag(1), observation)];
        let report = Report { lessons, ..full_report() };
        assert!(Schedule::decode(&Schedule::Report(report).encode()).is_err(), "{seen}");
    }
}

fn model_state() -> State {
    let runner = |n| RunnerState { runner: Tag(u64::MAX - n), factor: -0.47, evidence: 24.5 };
    State {
        service: "tryckassistent".parse().expect("valid id"),
        stage: Stage::Decode,
        terms: [0.036, 0.03, 0.000_4, 0.003, 0.000_1, 0.000_4],
        spread: 0.3,
        evidence: 199.5,
        runners: (0..MAX_RUNNERS as u64).map(runner).collect(),
    }
}

#[test]
fn decode_model_state_round_trip() {
    let state = Schedule::ModelState(model_state());
    assert!(state.encode().len() < 1_200, "{} bytes", state.encode().len());
    round_trip(&state);
}

/// Guards against a successor that predicts nothing of use for seconds, because of a state that no
/// model can have learned.
#[test]
fn decode_model_state_out_of_range_rejected() {
    let mut terms = model_state().terms;
    terms[1] = f32::NAN;
    let mut runners = model_state().runners;
    runners[0].factor = 1e9;
    let invalid = [
        State { terms, ..model_state() },
        State { terms: [1e9; 6], ..model_state() },
        State { terms: [0.0; 6], ..model_state() },
        State { spread: -1.0, ..model_state() },
        State { evidence: f32::INFINITY, ..model_state() },
        State { runners, ..model_state() },
        State { runners: vec![model_state().runners[1]; MAX_RUNNERS + 1], ..model_state() },
    ];
    for state in invalid {
        assert!(
            Schedule::decode(&Schedule::ModelState(state.clone()).encode()).is_err(),
            "{state:?}"
        );
    }
}

/// Guards against a model that learns from quantities that are not in range, of which no later
/// observation would correct it.
#[test]
fn decode_basis_out_of_range_rejected_or_bounded() {
    let report = |basis: Basis| {
        let observation =
            Observation::Prefill { predicted: 0.5, prefill: 0.1, seen: 0.2, basis: Some(basis) };
        let report = Report { lessons: vec![(Tag(1), observation)], ..full_report() };
        Schedule::decode(&Schedule::Report(report).encode())
    };
    for extra in [f32::NAN, f32::INFINITY, -1.0, 1e9] {
        assert!(report(Basis { extra, ..basis() }).is_err(), "{extra}");
    }
    let huge = Basis { fresh: u64::MAX, cached: u64::MAX, ahead: u64::MAX, ..basis() };
    let Ok(Schedule::Report(decoded)) = report(huge) else { panic!("expected a report") };
    let Observation::Prefill { basis: Some(decoded), .. } = decoded.lessons[0].1 else {
        panic!("expected a basis");
    };
    assert!(decoded.fresh < u64::MAX / 1_000 && decoded.ahead < u64::MAX / 1_000);
}

proptest! {
    #[test]
    fn decode_any_bytes_no_panic(mut bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = Schedule::decode(&bytes);
        bytes.insert(0, 0);
        let _ = Schedule::decode(&bytes);
    }
}
