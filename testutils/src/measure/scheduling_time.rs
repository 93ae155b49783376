//! The time that a pool's scheduler takes for its decisions, on the clock of the machine.

use std::time::{Duration, Instant};

use rand::SeedableRng as _;
use rand::rngs::StdRng;
use sardinepick_lib::fleet::admission::Terms;
use sardinepick_lib::fleet::cache::Chain;
use sardinepick_lib::fleet::engine::{Engine, Stage, Work};
use sardinepick_lib::fleet::load::Class;
use sardinepick_lib::fleet::model::Basis;
use sardinepick_lib::fleet::register::Register;
use sardinepick_lib::fleet::runner::{Entry, State, Tag};
use sardinepick_lib::fleet::scheduler::{self, Firmness, Observation, Query, Step};
use sardinepick_lib::fleet::share::Account;
use sardinepick_lib::history::Point;
use sardinepick_lib::id::RunnerId;

use super::figure::Figure;

/// The runners of a pool, half of which prefill.
const RUNNERS: usize = 24;
const PLACEMENTS: u32 = 20_000;
const UPDATES: u32 = 500_000;
/// How often each measurement is repeated; the least counts, as other work on the machine only adds
/// to it.
const REPEATS: usize = 5;
const ENGINE: Engine = Engine {
    slots: 64,
    memory: 479_486,
    token_bytes: 18_432,
    link_rate: 350e9,
    handle_ttl: Duration::from_secs(5),
    switch: Duration::from_secs(3),
};

fn stage(at: usize) -> Stage {
    if at.is_multiple_of(2) { Stage::Prefill } else { Stage::Decode }
}

fn id(at: usize) -> RunnerId {
    format!("i-{at:x}").parse().expect("a valid id")
}

fn pool() -> Register {
    let mut register = Register::default();
    register.enable_models();
    for at in 0..RUNNERS {
        register.apply(Entry {
            id: id(at),
            born: None,
            service: "telraad".parse().expect("a valid id"),
            address: ([127, 0, 0, 1], 1).into(),
            data_centre: "zaal-dom".parse().expect("a valid id"),
            state: State::Ready,
            stage: Some(stage(at)),
            slots: 64,
            version: Default::default(),
            reclaimable: false,
            writes: 1,
            at: Point::without_era(1),
        });
    }
    register.assign_pools();
    register
}

fn query() -> Query {
    let parts = [("manual", 9_000), ("chapter", 400), ("question", 300)];
    Query {
        account: Account::NONE,
        waited: Duration::ZERO,
        service: "telraad".parse().expect("a valid id"),
        data_centre: "zaal-dom".parse().expect("a valid id"),
        terms: Terms {
            class: Class::of_rank(1),
            objective: Some(Duration::from_millis(800)),
            left: Duration::from_secs(5),
            patience: Duration::from_secs(3),
            is_retry: false,
            size: 1.0,
        },
        work: Work { chain: Chain::new("m", parts.into_iter()), prompt: 9_700, output: 60 },
        skip: Default::default(),
        version: None,
        step: Step::Start(Firmness::New),
    }
}

/// The time of one of `count` calls in microseconds.
fn least_time(count: u32, mut call: impl FnMut(u32)) -> f64 {
    let times = (0..REPEATS).map(|_| {
        let began = Instant::now();
        (0..count).for_each(&mut call);
        began.elapsed().as_secs_f64() * 1e6 / f64::from(count)
    });
    times.fold(f64::INFINITY, f64::min)
}

/// The time of a placement in a pool of 24 runners, and of an update of the model.
pub fn measure() -> Vec<Figure> {
    let (mut register, query, now) = (pool(), query(), Instant::now());
    let tags: Vec<(Tag, Stage)> =
        (0..RUNNERS).map(|at| (Tag::of(&id(at), None), stage(at))).collect();
    let update = least_time(UPDATES, |n| {
        let (tag, stage) = tags[n as usize % RUNNERS];
        let fresh = 500 + u64::from(n) % 16 * 1_000;
        let basis = Some(Basis { fresh, running: n % 40, ..Basis::none(stage) });
        let seen = 0.02 + fresh as f64 / 40_000.0;
        let observation = Observation::Prefill { predicted: 0.2, prefill: 0.1, seen, basis };
        // 40 observations a second.
        register.learn(tag, observation, now + Duration::from_millis(25) * n);
    });
    let mut rng = StdRng::seed_from_u64(1);
    let placement = least_time(PLACEMENTS, |_| {
        std::hint::black_box(scheduler::decide(&register, &query, &ENGINE, now, &mut rng));
    });
    vec![Figure::new("model.24.placement_us", placement), Figure::new("model.24.update_us", update)]
}
