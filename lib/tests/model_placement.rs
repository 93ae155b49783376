//! Tests of placement and admission by the runner model.

use std::time::{Duration, Instant};

use rand::SeedableRng as _;
use rand::rngs::StdRng;
use sardinepick_lib::fleet::admission::Terms;
use sardinepick_lib::fleet::cache::Chain;
use sardinepick_lib::fleet::engine::{Engine, Stage, Work};
use sardinepick_lib::fleet::load::{Class, Load};
use sardinepick_lib::fleet::model::Basis;
use sardinepick_lib::fleet::placement::Plan;
use sardinepick_lib::fleet::register::Register;
use sardinepick_lib::fleet::runner::{Entry, State};
use sardinepick_lib::fleet::scheduler::{self, Decision, Firmness, Observation, Query, Step};
use sardinepick_lib::fleet::share::Account;
use sardinepick_lib::history::Point;
use sardinepick_lib::id::{NodeId, RunnerId};

const MS: Duration = Duration::from_millis(1);
const ENGINE: Engine = Engine {
    slots: 64,
    memory: 479_486,
    token_bytes: 18_432,
    link_rate: 350e9,
    handle_ttl: Duration::from_secs(5),
    switch: Duration::from_secs(3),
};
/// The prefill runners, and after them the decode runners.
const PREFILL: usize = 9;
const RUNNERS: usize = 15;

fn id(at: usize) -> RunnerId {
    format!("i-{at:x}").parse().expect("an id")
}

/// How much longer a runner takes: three speeds.
fn factor(at: usize) -> f64 {
    1.0 / [0.6, 1.0, 1.6][at % 3]
}

/// A fleet of three speeds whose prefill runners do 40,000 tokens per second at the usual speed, and
/// what has been learned of it.
fn fleet(now: Instant) -> Register {
    let mut register = Register::default();
    register.enable_models();
    for at in 0..RUNNERS {
        register.apply(Entry {
            id: id(at),
            born: None,
            service: "telraad".parse().expect("an id"),
            address: "127.0.0.1:1".parse().expect("an address"),
            data_centre: "zaal-dom".parse().expect("an id"),
            state: State::Ready,
            stage: Some(if at < PREFILL { Stage::Prefill } else { Stage::Decode }),
            slots: 64,
            version: Default::default(),
            reclaimable: false,
            writes: 1,
            at: Point::without_era(1),
        });
    }
    register.assign_pools();
    for round in 0..60_u64 {
        for at in 0..RUNNERS {
            let runner = register.get(&id(at)).expect("known");
            let stage = runner.entry.stage.expect("it has one");
            let tag = runner.entry.tag();
            let fresh = 1_000 + round % 8 * 2_000;
            let rate = if stage == Stage::Prefill { 40_000.0 } else { 20_000.0 };
            let seen = 0.02 + fresh as f64 / rate * factor(at);
            let basis = Some(Basis { fresh, ..Basis::none(stage) });
            let observation = Observation::Prefill { predicted: 0.1, prefill: 0.1, seen, basis };
            register.learn(tag, observation, now + MS * 30 * (round as u32));
        }
    }
    register
}

fn query(name: &str, tokens: u64, objective: Duration) -> Query {
    Query {
        account: Account::NONE,
        waited: Duration::ZERO,
        service: "telraad".parse().expect("an id"),
        data_centre: "zaal-dom".parse().expect("an id"),
        terms: Terms {
            class: Class::of_rank(1),
            objective: Some(objective),
            left: MS * 5_000,
            patience: MS * 3_200,
            is_retry: false,
            size: 1.0,
        },
        work: Work {
            chain: Chain::new("m", [(name, tokens)].into_iter()),
            prompt: tokens,
            output: 60,
        },
        skip: Default::default(),
        version: None,
        step: Step::Start(Firmness::New),
    }
}

/// Decides and counts the placed work. Returns the place of the runner that prefills, and the class.
fn place(
    register: &mut Register,
    query: &Query,
    now: Instant,
    seed: u64,
) -> Option<(usize, Class)> {
    let node: NodeId = "edge-1".parse().expect("an id");
    let mut rng = StdRng::seed_from_u64(seed);
    let decision = scheduler::decide(register, query, &ENGINE, now, &mut rng);
    scheduler::note(register, &node, query, &decision, &ENGINE, now);
    let Decision::Placed { placement, class } = decision else { return None };
    let (Plan::Whole { runner } | Plan::Split { prefill: runner, .. }) = placement.plan;
    let at = (0..RUNNERS).find(|at| id(*at) == runner).expect("one of the fleet");
    Some((at, class))
}

/// Long prompts were late: they were placed on runners too slow for them while short ones took the
/// fast runners.
#[test]
fn decide_long_prompts_on_fast_runners() {
    let now = Instant::now();
    let (mut in_time, mut short_on_fast, count) = (0, 0, 40);
    for seed in 0..count {
        let mut register = fleet(now);
        for n in 0..4 {
            let short = query(&format!("s{seed}-{n}"), 1_500, MS * 1_000);
            let (at, _) = place(&mut register, &short, now, seed * 10 + n).expect("placed");
            short_on_fast += u32::from(at < PREFILL && factor(at) < 0.7);
        }
        // At the usual speed it takes 0.47 s, and with its uncertainty longer than the objective.
        let long = query(&format!("l{seed}"), 18_000, MS * 480);
        let (at, class) = place(&mut register, &long, now, seed).expect("placed");
        in_time += u32::from(factor(at) < 0.7 && class != Class::LATE);
    }
    assert!(in_time >= 38, "{in_time} of {count} long prompts on fast runners in time");
    assert!(short_on_fast <= 80, "{short_on_fast} of 160 short prompts on fast runners");
}

/// Callers were refused although their answer would have been there before they gave up, as a fixed
/// fraction of that time was allowed for the wait.
#[test]
fn decide_served_before_deadline_not_refused() {
    let now = Instant::now();
    let mut register = fleet(now);
    let node: NodeId = "edge-2".parse().expect("an id");
    let backlog = |register: &mut Register, tokens| {
        let load = |tokens| {
            let mut load = Load::default();
            load.backlog[1] = tokens;
            load.prompts[1] = 3;
            load.requests[1] = 3;
            load
        };
        for at in 0..RUNNERS {
            let runner = register.get(&id(at)).expect("known");
            // The same wait at each runner.
            let slow = if at < PREFILL { factor(at) } else { 2.0 * factor(at) };
            let (tag, tokens) = (runner.entry.tag(), (f64::from(tokens) / slow) as u64);
            register.apply_load_report(&node, &[(tag, load(tokens))], now);
        }
    };
    // Each runner is busy for a second, of which 0.2 times 3.2 s would be allowed; the objective has
    // passed by then.
    let work = query("a", 4_000, MS * 500);
    backlog(&mut register, 40_000_u32);
    let placed = place(&mut register, &work, now, 1);
    assert_eq!(placed.map(|(_, class)| class), Some(Class::LATE));
    backlog(&mut register, 160_000);
    assert_eq!(place(&mut register, &work, now, 1), None, "four seconds are too long");
}
