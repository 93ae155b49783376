//! Tests of the model of runners on replayed loads.

mod model_replay;

use model_replay::engine::{A, B, Engine, REFERENCE};
use model_replay::predictor::{Learned, Paced, Predictor, Table};
use model_replay::{Delivery, RUNNERS, Replay};
use sardinepick_lib::fleet::engine::{Pace, Stage};

/// The time after which predictions must be good, and the time for which they are checked, in
/// seconds.
const WARM_UP: f64 = 5.0;
const CHECKED: f64 = 60.0;
const STAGES: [Stage; 2] = [Stage::Prefill, Stage::Decode];

/// Runners of three speeds.
fn uneven() -> Vec<f64> {
    (0..RUNNERS).map(|at| 1.0 / [0.6, 1.0, 1.6][at % 3]).collect()
}

/// Multiplies one term of an engine.
type Change = fn(&mut Engine, f64);

/// The reference engine with one term four times as large or small.
fn varied() -> Vec<(String, Engine)> {
    let change: [(&str, Change); 6] = [
        ("start", |e, f| e.start *= f),
        ("token", |e, f| e.token *= f),
        ("pairs", |e, f| e.pairs *= f),
        ("chunk", |e, f| e.chunk *= f),
        ("step", |e, f| e.step *= f),
        ("request", |e, f| e.request *= f),
    ];
    let mut engines = vec![("A".into(), A), ("B".into(), B)];
    for (name, change) in change {
        for factor in [0.25, 4.0] {
            let mut engine = REFERENCE;
            change(&mut engine, factor);
            engines.push((format!("{name} x {factor}"), engine));
        }
    }
    engines
}

fn replayed(mut replay: Replay, what: &str) {
    let mut learned = Learned::new(replay.stage, replay.factors.len());
    replay.run(&mut learned, WARM_UP);
    replay.run(&mut learned, WARM_UP + CHECKED).assert_good(what);
}

/// Predictions were wrong by a factor of two for every engine other than that of the constants.
#[test]
fn learn_engine_with_other_terms_predicted() {
    for stage in STAGES {
        for (name, engine) in varied() {
            replayed(Replay::new(engine, stage, 1), &format!("{stage} {name}"));
        }
    }
}

/// Prints the figures of `docs/design/runner-model.md`.
#[test]
#[ignore = "prints figures"]
fn learn_alternatives_compared() {
    fn figures(name: &str, mut replay: Replay, mut predictor: impl Predictor) {
        replay.run(&mut predictor, WARM_UP);
        let first = replay.run(&mut predictor, WARM_UP + 5.0);
        let errors = replay.run(&mut predictor, WARM_UP + CHECKED);
        let (low, high) = errors.medians();
        println!(
            "{name:8} 5-10s {:.3} then {:.3} medians {low:.2} {high:.2} p95 {:.2}",
            first.close(),
            errors.close(),
            errors.quantile(0.95)
        );
    }
    for stage in STAGES {
        for (name, engine) in varied() {
            for factors in [vec![1.0; RUNNERS], uneven()] {
                let replay =
                    || Replay { factors: factors.clone(), ..Replay::new(engine, stage, 1) };
                println!("{stage} {name} {:?}", &factors[..3]);
                figures("pace", replay(), Paced(vec![Pace::default(); RUNNERS]));
                figures("table", replay(), Table::default());
                figures("model", replay(), Learned::new(stage, RUNNERS));
            }
        }
    }
}

#[test]
fn learn_three_speeds_predicted() {
    for stage in STAGES {
        for (name, engine) in [("A", A), ("B", B)] {
            let replay = Replay { factors: uneven(), ..Replay::new(engine, stage, 2) };
            replayed(replay, &format!("{stage} {name}"));
        }
    }
}

/// Observations are datagrams: some are lost, some arrive twice, some late.
#[test]
fn learn_observations_lost_late_doubled_predicted() {
    let delivery = Delivery { lost: 0.3, doubled: 0.3, delay: 1.0 };
    for stage in STAGES {
        let replay = Replay { factors: uneven(), delivery, ..Replay::new(A, stage, 3) };
        replayed(replay, &format!("{stage}"));
    }
}

/// A runner that became slow kept getting prompts for seconds, and kept its bad name for longer.
#[test]
fn learn_runner_five_times_as_slow_followed_and_forgotten() {
    for seed in 0..10 {
        let mut replay = Replay { factors: uneven(), ..Replay::new(B, Stage::Prefill, seed) };
        let mut learned = Learned::new(Stage::Prefill, RUNNERS);
        replay.run(&mut learned, 20.0);
        let usual = replay.factors[7];
        for (factor, what) in [(usual * 5.0, "slow"), (usual, "recovered")] {
            replay.change(7, factor);
            let changed = replay.now;
            replay.run(&mut learned, changed + 3.0);
            let errors = replay.run(&mut learned, changed + 9.0);
            let median = errors.of(7).quantile(0.5);
            assert!((0.75..=1.25).contains(&median), "seed {seed} {what}: {median:.2}");
            let others = model_replay::Errors(errors.0.into_iter().filter(|e| e.0 != 7).collect());
            assert!(others.close() >= 0.8, "seed {seed} {what}: others {:.2}", others.close());
        }
    }
}

/// Within three seconds a slow runner completes only a few prompts, so one change in twenty may take
/// longer to follow; more would be a fault of the model.
#[test]
fn learn_changes_of_many_runners_nearly_all_followed() {
    let mut missed = 0;
    for seed in 0..60 {
        let mut replay = Replay { factors: uneven(), ..Replay::new(B, Stage::Prefill, seed) };
        let mut learned = Learned::new(Stage::Prefill, RUNNERS);
        replay.run(&mut learned, 20.0);
        let usual = replay.factors[7];
        for factor in [usual * 5.0, usual] {
            replay.change(7, factor);
            let changed = replay.now;
            replay.run(&mut learned, changed + 3.0);
            let median = replay.run(&mut learned, changed + 9.0).of(7).quantile(0.5);
            missed += u32::from(!(0.75..=1.25).contains(&median));
        }
    }
    assert!(missed <= 6, "{missed} of 120 changes not followed");
}

/// After a stall of one runner, its neighbours got its work for a while.
#[test]
fn learn_stall_forgotten() {
    for seed in 0..10 {
        let mut replay = Replay::new(B, Stage::Prefill, seed);
        let mut learned = Learned::new(Stage::Prefill, RUNNERS);
        replay.run(&mut learned, 20.0);
        replay.change(3, 20.0);
        replay.run(&mut learned, 21.0);
        replay.change(3, 1.0);
        replay.run(&mut learned, 24.0);
        let errors = replay.run(&mut learned, 30.0);
        let median = errors.of(3).quantile(0.5);
        assert!((0.75..=1.25).contains(&median), "seed {seed}: {median:.2}");
    }
}

/// The restarted runner was taken for as slow as its predecessor under the same id.
#[test]
fn restart_runner_speed_of_its_group() {
    let mut replay = Replay { factors: vec![2.0; RUNNERS], ..Replay::new(A, Stage::Prefill, 5) };
    replay.factors[0] = 10.0;
    let mut learned = Learned::new(Stage::Prefill, RUNNERS);
    replay.run(&mut learned, 20.0);
    learned.restart(0);
    replay.factors[0] = 2.0;
    let errors = replay.run(&mut learned, 22.0);
    let median = errors.of(0).quantile(0.5);
    assert!((0.7..=1.3).contains(&median), "{median:.2}");
}

/// Two schedulers each learn from a part of the observations while they disagree on the nodes.
#[test]
fn learn_half_of_observations_predicted() {
    let delivery = Delivery { lost: 0.5, ..Delivery::default() };
    let replay = Replay { factors: uneven(), delivery, ..Replay::new(A, Stage::Decode, 6) };
    replayed(replay, "half");
}

/// The bound by which admission refuses work must hold for as many as it says.
#[test]
fn forecast_latest_nine_of_ten() {
    let mut replay = Replay { factors: uneven(), ..Replay::new(A, Stage::Prefill, 7) };
    let mut learned = Learned::new(Stage::Prefill, RUNNERS);
    replay.run(&mut learned, 20.0);
    let spread = learned.model.rates(&learned.version).spread.factor();
    let errors = replay.run(&mut learned, 60.0);
    let within = errors.0.iter().filter(|(_, ratio)| *ratio <= spread).count();
    let fraction = within as f64 / errors.0.len() as f64;
    assert!((0.84..=0.96).contains(&fraction), "{fraction:.3} within a factor of {spread:.2}");
}
