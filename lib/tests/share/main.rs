//! Tests of fair shares: on replayed loads, and of single rules of the queue.

mod policies;
mod queue;
mod replay;

use policies::{AtRunners, Deficit, Dominant, Shares, StartTime};
use replay::{Load, Outcome, Policy, in_burst, replay};

/// The part of a replay that is not counted, until the use of accounts is known, in seconds.
const WARM_UP: f64 = 10.0;

fn run(load: &Load, policy: &mut dyn Policy) -> Outcome {
    let counted = WARM_UP..load.seconds - 5.0;
    replay(&load.jobs(), policy, |at| counted.contains(&at))
}

fn report(name: &str, outcome: &Outcome) {
    let (within, least) = outcome.within_share();
    let (served, on_time) = outcome.by_kind();
    println!(
        "{name}: within {within:.3} least {least:.3} jain {:.3} capped {:.3} tenth {:.3} \
         inversion {:.3} idle {:.4} served {served:.3?} on time {on_time:.3?}",
        outcome.jain(),
        outcome.jain_of_capped(),
        outcome.worst_tenth(),
        outcome.inversion(),
        outcome.idle,
    );
}

/// Asserts the thresholds of docs/LOAD.md.
fn assert_fair(name: &str, outcome: &Outcome) {
    report(name, outcome);
    assert!(outcome.within_share().0 >= 0.95, "demand within the even share: {name}");
    assert!(outcome.jain() >= 0.95, "demand beyond the even share: {name}");
    assert!(outcome.jain_of_capped() >= 0.95, "demand beyond the water level: {name}");
    assert!(outcome.worst_tenth() >= 0.8, "worst tenth: {name}");
    assert!(outcome.idle < 0.02, "idle capacity while work waits: {name}");
    assert!(outcome.inversion() <= 0.02, "urgent kind below a less urgent one: {name}");
}

/// Prints the figures of docs/design/fair-shares.md, and guards the choice of the order: each
/// other one serves the urgent kind on time less often, or misses more of the even shares or of the
/// other kinds.
#[test]
fn orders_compared_on_same_load() {
    for uneven in [false, true] {
        let load = Load { uneven, ..Load::default() };
        let orders: [(&str, &mut dyn Policy); 4] = [
            ("start-time", &mut StartTime::default()),
            ("deficit", &mut Deficit::default()),
            ("dominant", &mut Dominant::default()),
            ("at runners", &mut AtRunners::default()),
        ];
        let chosen = run(&load, &mut Shares::default());
        report(&format!("uneven {uneven}, least recent use"), &chosen);
        for (name, policy) in orders {
            let other = run(&load, policy);
            report(&format!("uneven {uneven}, {name}"), &other);
            let is_better = |of: fn(&Outcome) -> f64| of(&chosen) > of(&other) + 0.01;
            let urgent: fn(&Outcome) -> f64 = |outcome| outcome.by_kind().1[0];
            let long: fn(&Outcome) -> f64 = |outcome| outcome.by_kind().1[2];
            assert!(is_better(urgent) || is_better(long), "{name} dominates");
        }
    }
}

#[test]
fn replay_steady_overload_fair() {
    for seed in 1..=4 {
        let load = Load { seed, ..Load::default() };
        let outcome = run(&load, &mut Shares::default());
        assert_fair(&format!("seed {seed}"), &outcome);
        assert!(outcome.within_share().1 >= 0.95, "an account within its share");
    }
}

/// Shares in a burst differ from those between bursts, so each is compared with its own level.
#[test]
fn replay_uneven_load_fair_in_bursts_and_between() {
    let jobs = Load { uneven: true, seconds: 1_200.0, ..Load::default() }.jobs();
    assert_fair("bursts", &replay(&jobs, &mut Shares::default(), in_burst));
    assert_fair("between", &replay(&jobs, &mut Shares::default(), |at| !in_burst(at)));
}

#[test]
fn replay_6800_accounts_fair() {
    let load = Load { accounts: 6_800, seconds: 4_000.0, ..Load::default() };
    assert_fair("6,800 accounts", &run(&load, &mut Shares::default()));
}

#[test]
fn replay_burst_of_one_account_leaves_others_their_shares() {
    let load = Load { burst: Some((40, 20.0)), ..Load::default() };
    let burst = |at| (205.0..395.0).contains(&at);
    assert_fair("burst", &replay(&load.jobs(), &mut Shares::default(), burst));
}

/// An account gains nothing from false costs, and loses nothing by announcing too much.
#[test]
fn replay_false_costs_charged_as_used() {
    for announced in [0.0, 0.1, 10.0] {
        let load = Load { falsehood: Some((0, announced)), ..Load::default() };
        let outcome = run(&load, &mut Shares::default());
        assert_fair(&format!("announces {announced} of its costs"), &outcome);
        let (liar, next) = (outcome.accounts[&0].used, outcome.accounts[&1].used);
        assert!((0.8..1.25).contains(&(liar / next)), "{liar} instead of {next}");
    }
}
