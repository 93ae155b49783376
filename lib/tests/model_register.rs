//! Tests of the runner models of a register.

use std::time::{Duration, Instant};

use sardinepick_lib::fleet::balance::{self, Capacity, Demand, StageCounts};
use sardinepick_lib::fleet::engine::{Engine, Stage};
use sardinepick_lib::fleet::health::Outcome;
use sardinepick_lib::fleet::load::{Class, Load};
use sardinepick_lib::fleet::model::Basis;
use sardinepick_lib::fleet::register::{Change, Register};
use sardinepick_lib::fleet::route::Objectives;
use sardinepick_lib::fleet::runner::{Entry, Runner, State, Tag};
use sardinepick_lib::fleet::scheduler::Observation;
use sardinepick_lib::history::Point;
use sardinepick_lib::id::{RunnerId, StartTime};

const RUNNERS: usize = 6;
const MS: Duration = Duration::from_millis(1);

fn id(at: usize) -> RunnerId {
    format!("i-{at:x}").parse().expect("an id")
}

fn entry(at: usize, written: u64) -> Entry {
    Entry {
        id: id(at),
        born: Some(StartTime(1)),
        service: "telraad".parse().expect("an id"),
        address: "127.0.0.1:1".parse().expect("an address"),
        data_centre: "zaal-dom".parse().expect("an id"),
        state: State::Ready,
        stage: Some(Stage::Prefill),
        slots: 64,
        version: Default::default(),
        reclaimable: false,
        writes: written,
        at: Point::without_era(written),
    }
}

fn register() -> Register {
    let mut register = Register::default();
    (0..RUNNERS).for_each(|at| {
        register.apply(entry(at, 1));
    });
    register
}

fn runner(register: &Register, at: usize) -> &Runner {
    register.get(&id(at)).expect("known")
}

fn observation(fresh: u64, seen: f64, basis: bool) -> Observation {
    let made = Basis { fresh, ..Basis::none(Stage::Prefill) };
    let basis = basis.then_some(made);
    Observation::Prefill { predicted: 0.1, prefill: 0.05, seen, basis }
}

/// Lets each runner prefill prompts of several sizes at 40,000 tokens per second, `factors` times
/// as slowly.
fn teach(register: &mut Register, factors: [f64; RUNNERS], now: &mut Instant) {
    for round in 0..40_u64 {
        for (at, factor) in factors.iter().enumerate() {
            let fresh = 1_000 + round % 8 * 2_000;
            let seen = 0.02 + fresh as f64 / 40_000.0 * factor;
            register.learn(runner(register, at).entry.tag(), observation(fresh, seen, true), *now);
            *now += MS * 30;
        }
    }
}

fn prefill_time(runner: &Runner) -> f64 {
    runner.prefill_time(&Load::default(), 8_000, 0)
}

#[test]
fn learn_enabled_runners_answer_by_model() {
    let (mut register, mut now) = (register(), Instant::now());
    register.enable_models();
    teach(&mut register, [1.0, 1.0, 1.0, 1.0, 1.0, 3.0], &mut now);
    for (at, expected) in [(0, 0.2), (5, 0.6)] {
        let runner = runner(&register, at);
        let time = prefill_time(runner);
        assert!((time / expected - 1.0).abs() < 0.2, "{at}: {time} for {expected}");
        let rate = runner.prefill_rate();
        assert!((rate / (8_000.0 / expected) - 1.0).abs() < 0.25, "{at}: {rate}");
        let mut load = Load::default();
        load.backlog[1] = 8_000;
        load.prompts[1] = 1;
        let wait = runner.wait(&load, Class::of_rank(1));
        assert!((wait / expected - 1.0).abs() < 0.35, "{at}: {wait}");
    }
}

/// Guards against a node without the setting that predicts otherwise than before.
#[test]
fn learn_disabled_constants_answer() {
    let (mut register, mut now) = (register(), Instant::now());
    let before = prefill_time(runner(&register, 0));
    teach(&mut register, [1.0; RUNNERS], &mut now);
    let after = runner(&register, 0);
    assert!(after.rates.is_none() && register.models().is_none());
    assert_eq!(prefill_time(after), before * after.pace.factor());
    assert!(after.basis(&Load::default(), Class::LATE, 1_000, 0).is_none());
}

/// Guards against a runner that fails at once and so seems fast, which gets all work.
#[test]
fn learn_fast_with_errors_not_fast() {
    let (mut register, mut now) = (register(), Instant::now());
    register.enable_models();
    teach(&mut register, [1.0; RUNNERS], &mut now);
    let before = prefill_time(runner(&register, 2));
    let tag = runner(&register, 2).entry.tag();
    for n in 0..200 {
        let outcome = if n % 3 == 0 { Outcome::Answered } else { Outcome::Failed };
        register.learn(tag, Observation::Outcome(outcome), now);
        if outcome == Outcome::Answered {
            register.learn(tag, observation(8_000, 0.002, true), now);
        }
        now += MS * 20;
    }
    let after = prefill_time(runner(&register, 2));
    assert!(after > before * 0.8, "{after} after {before}");
}

/// Guards against a mixed fleet in which observations of nodes that do not know the basis are taken
/// for something else.
#[test]
fn learn_without_basis_ignored() {
    let (mut register, mut now) = (register(), Instant::now());
    register.enable_models();
    teach(&mut register, [1.0; RUNNERS], &mut now);
    let before = prefill_time(runner(&register, 0));
    let tag = runner(&register, 0).entry.tag();
    (0..100).for_each(|_| register.learn(tag, observation(8_000, 5.0, false), now));
    let elsewhere = Basis { fresh: 8_000, ..Basis::none(Stage::Decode) };
    let (predicted, prefill, basis) = (0.1, 0.1, Some(elsewhere));
    let other_stage = Observation::Prefill { predicted, prefill, seen: 5.0, basis };
    (0..100).for_each(|_| register.learn(tag, other_stage, now));
    assert_eq!(prefill_time(runner(&register, 0)), before);
}

/// Guards against a restarted runner that counts as slow, and against late observations of its
/// predecessor.
#[test]
fn apply_restart_deviation_dropped() {
    let (mut register, mut now) = (register(), Instant::now());
    register.enable_models();
    teach(&mut register, [1.0, 1.0, 1.0, 1.0, 1.0, 8.0], &mut now);
    let former = Tag::of(&id(5), Some(StartTime(1)));
    let restarted = Entry { born: Some(StartTime(2)), ..entry(5, 2) };
    assert_eq!(register.apply(restarted), Change::Restarted);
    (0..50).for_each(|_| register.learn(former, observation(8_000, 2.0, true), now));
    let time = prefill_time(runner(&register, 5));
    assert!(time < 0.4, "{time}");
}

fn engine() -> Engine {
    Engine {
        slots: 64,
        memory: 400_000,
        token_bytes: 18_432,
        link_rate: 350e9,
        handle_ttl: Duration::from_secs(5),
        switch: Duration::from_secs(3),
    }
}

/// A demand of `prompts` prompts of `tokens` per second.
fn demand(prompts: u64, tokens: u64) -> Demand {
    let (start, mut demand) = (Instant::now(), Demand::default());
    for n in 0..60 {
        demand.tick(start + MS * 250 * n);
        (0..prompts / 4).for_each(|_| demand.note(tokens));
    }
    demand
}

/// Long prompts were late: stages were planned with a prefill rate that the engines do not have, and
/// without the time that prompts wait for each other.
#[test]
fn capacity_learned_rate_planned_with() {
    let (mut register, mut now) = (register(), Instant::now());
    let service = "telraad".parse().expect("an id");
    let objectives = Objectives { first_event: MS * 600, pause: MS * 100 };
    let capacity = |register: &Register, demand: &Demand| {
        Capacity::learned(register, &service, &engine(), demand, objectives)
    };
    let (long, short) = (demand(4, 16_000), demand(40, 1_600));
    assert_eq!(capacity(&register, &long), None, "the models are not enabled");
    register.enable_models();
    teach(&mut register, [1.0; RUNNERS], &mut now);
    let by_long = capacity(&register, &long).expect("learned");
    let by_short = capacity(&register, &short).expect("learned");
    assert!((by_long.prefill_rate / 40_000.0 - 1.0).abs() < 0.25, "{by_long:?}");
    assert!(by_long.utilisation < by_short.utilisation, "{by_long:?} {by_short:?}");
    assert!(by_long.streams <= 48.0, "{by_long:?}");
    let counts = StageCounts { prefill: 2, decode: 12, ..StageCounts::default() };
    let constant = balance::decide(counts, &long, 1, 400_000, &Capacity::default());
    assert_eq!(constant, None, "64,000 tokens per second are planned for two runners");
    let change = balance::decide(counts, &long, 1, 400_000, &by_long).expect("a change");
    assert_eq!((change.to, change.count), (Stage::Prefill, 2));
    assert!(long.busy(1, &by_long) > 1.2 && long.busy(1, &by_long) < 2.2);
}

/// After the scheduler of a pool had ended, its successor predicted by the constants for seconds.
#[test]
fn adopt_state_successor_predicts_as_predecessor() {
    let (mut old, mut new, mut now) = (register(), register(), Instant::now());
    for register in [&mut old, &mut new] {
        register.enable_models();
        register.assign_pools();
    }
    teach(&mut old, [1.0, 1.0, 1.0, 1.0, 1.0, 3.0], &mut now);
    // The successor has seen little of its own.
    new.learn(runner(&new, 0).entry.tag(), observation(8_000, 0.21, true), now);
    let service = "telraad".parse().expect("an id");
    let states = old.model_states(&service, runner(&old, 0).pool);
    assert_eq!(states.len(), 1, "one stage has been observed");
    states.iter().for_each(|state| new.adopt_model_state(state));
    for at in 0..RUNNERS {
        let (was, is) = (prefill_time(runner(&old, at)), prefill_time(runner(&new, at)));
        assert!((is / was - 1.0).abs() < 0.05, "{at}: {is} after {was}");
    }
    // A state with less evidence changes nothing.
    let mut third = register();
    third.enable_models();
    third.assign_pools();
    third.learn(runner(&third, 0).entry.tag(), observation(8_000, 3.0, true), now);
    let before = prefill_time(runner(&new, 0));
    for state in third.model_states(&service, runner(&third, 0).pool) {
        new.adopt_model_state(&state);
    }
    assert_eq!(prefill_time(runner(&new, 0)), before);
}
