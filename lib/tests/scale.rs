//! Autoscaling: the number, kind and data centre of the runners that are ordered.

use std::time::{Duration, Instant};

use sardinepick_lib::scale::initial::assured;
use sardinepick_lib::scale::need::{CapacityEstimator, Policy, RequiredCapacity};
use sardinepick_lib::scale::plan::{Kind, Order, Planner, Scaling, Supply};
use sardinepick_lib::scale::record::{Evidence, Record, newest};

const S: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);

fn scaling(reclaimable: Option<f64>) -> Scaling {
    let price = |name: &str, price| (name.parse().expect("a data centre"), price);
    Scaling {
        bounds: (1, 70),
        boot_time: S * 4,
        reclaimable_price: reclaimable,
        prices: vec![price("a", 0.85), price("b", 1.2), price("c", 1.0), price("d", 1.1)],
    }
}

fn required(count: u32) -> RequiredCapacity {
    RequiredCapacity { count, load: 0, is_stable: true }
}

fn supply(regular: [u32; 4], reclaimable: [u32; 4]) -> Vec<Supply> {
    let in_data_centre = |at: usize| {
        let kinds = [regular[at], reclaimable[at]];
        Supply { ready: kinds, serving: kinds }
    };
    (0..4).map(in_data_centre).collect()
}

/// A simulated platform that executes orders. New runners serve after their boot time, removed ones
/// leave immediately.
struct Platform {
    runners: Vec<Supply>,
    booting: Vec<(Instant, usize, usize, u32)>,
    /// No reclaimable runners are available before this time.
    unavailable_until: Option<Instant>,
}

impl Platform {
    fn new(regular: u32) -> Self {
        Self { runners: supply([regular; 4], [0; 4]), booting: Vec::new(), unavailable_until: None }
    }

    fn step(&mut self, now: Instant) {
        let (ready, booting) =
            std::mem::take(&mut self.booting).into_iter().partition(|b| b.0 <= now);
        self.booting = booting;
        for (_, data_centre, kind, count) in Vec::from_iter::<Vec<_>>(ready) {
            self.runners[data_centre].ready[kind] += count;
            self.runners[data_centre].serving[kind] += count;
        }
    }

    /// Executes an order. Returns false if no runners are available.
    fn execute(&mut self, now: Instant, order: &Order) -> bool {
        let kind = usize::from(order.kind == Kind::Reclaimable);
        if kind == 1 && self.unavailable_until.is_some_and(|until| now < until) {
            return false;
        }
        let runners = &mut self.runners[order.data_centre];
        let booting: u32 = self
            .booting
            .iter()
            .filter(|b| (b.1, b.2) == (order.data_centre, kind))
            .map(|b| b.3)
            .sum();
        let current_count = runners.ready[kind] + booting;
        if order.count > current_count {
            self.booting.push((now + S * 4, order.data_centre, kind, order.count - current_count));
        } else {
            runners.ready[kind] = runners.ready[kind].min(order.count);
            runners.serving[kind] = runners.ready[kind];
        }
        true
    }

    fn reclaim(&mut self, data_centre: usize) {
        self.runners[data_centre].ready[1] = 0;
        self.runners[data_centre].serving[1] = 0;
    }

    fn serving(&self) -> u32 {
        self.runners.iter().flat_map(|s| s.serving).sum()
    }

    /// The price per second, relative to that of one regular runner.
    fn price(&self) -> f64 {
        let prices = [0.85, 1.2, 1.0, 1.1];
        let price_of = |(s, price): (&Supply, f64)| {
            (f64::from(s.ready[0]) + 0.22 * f64::from(s.ready[1])) * price
        };
        self.runners.iter().zip(prices).map(price_of).sum()
    }
}

/// Simulates `seconds` under the load `busy`. Returns the smallest number of runners that served and the
/// mean price.
fn simulate(
    platform: &mut Platform,
    estimator: &mut CapacityEstimator,
    start: Instant,
    seconds: u32,
    busy: impl Fn(f64) -> f64,
    mut event: impl FnMut(u32, &mut Platform, Instant),
) -> (u32, f64) {
    let scaling = scaling(Some(0.22));
    let mut planner = Planner::default();
    let (mut min_serving, mut price) = (u32::MAX, 0.0);
    let steps = seconds * 5;
    for step in 0..steps {
        let now = start + MS * 200 * step;
        platform.step(now);
        event(step, platform, now);
        let load = busy(f64::from(step) / 5.0);
        estimator.observe(now, load, assured(&platform.runners));
        let required = estimator.required(now);
        for order in planner.plan(now, &scaling, &platform.runners, required) {
            if !platform.execute(now, &order) {
                planner.record_unavailable(now, &order);
            }
        }
        min_serving = min_serving.min(platform.serving());
        price += platform.price() / f64::from(steps);
    }
    (min_serving, price)
}

/// Regular runners must not be released before their reclaimable replacements serve.
#[test]
fn plan_reclaimable_first_then_fewer_regular() {
    let mut platform = Platform::new(35);
    let mut estimator = CapacityEstimator::new(Policy::Initial);
    let (min_serving, _) =
        simulate(&mut platform, &mut estimator, Instant::now(), 30, |_| 0.0, |_, _, _| {});
    assert!(min_serving >= 140, "{min_serving} served");
    let regular: u32 = platform.runners.iter().map(|s| s.ready[0]).sum();
    assert!((4..=16).contains(&regular), "{regular} regular runners left");
    assert!(platform.price() < 60.0, "{} per second", platform.price());
}

/// Enough runners must serve while all reclaimable ones of a data centre are reclaimed and none are
/// available for ten seconds, under a load that alternates every 2.8 s.
#[test]
fn plan_data_centre_reclaimed_enough_left() {
    let start = Instant::now();
    let mut platform = Platform::new(35);
    let mut estimator = CapacityEstimator::new(Policy::Initial);
    // Peaks of 66 busy runners, 1.9 times a mean of 35.
    let load = |t: f64| if ((t / 2.8) as u32).is_multiple_of(2) { 66.0 } else { 20.0 };
    let (min_serving, _) =
        simulate(&mut platform, &mut estimator, start, 80, load, |step, platform, now| {
            if step == 200 {
                platform.reclaim(2);
                platform.unavailable_until = Some(now + S * 10);
            }
        });
    assert!(min_serving >= 140, "{min_serving} served");
    assert!(platform.serving() >= 180, "{} serving at the end", platform.serving());
}

/// Guards against two faults after the loss of all reclaimable runners: load that no runner serves, and
/// regular runners at the full price beyond what the load needs (41 runners for a load of 30).
#[test]
fn plan_all_reclaimed_regular_ordered_for_load() {
    let start = Instant::now();
    let mut platform = Platform::new(35);
    let mut estimator = CapacityEstimator::new(Policy::Initial);
    let mut regular = Vec::new();
    simulate(
        &mut platform,
        &mut estimator,
        start,
        60,
        |_| 30.0,
        |step, platform, now| {
            if step == 200 {
                (0..4).for_each(|data_centre| platform.reclaim(data_centre));
                platform.unavailable_until = Some(now + S * 30);
            }
            regular.push(platform.runners.iter().map(|s| s.ready[0]).sum::<u32>());
        },
    );
    assert!(platform.serving() >= 41, "{} serving at the end", platform.serving());
    assert!(regular[200..].iter().all(|count| *count <= 41), "{regular:?}");
}

/// Guards against a service without observed load that keeps one runner when all others are reclaimed.
#[test]
fn required_load_unknown_shortage_covered() {
    let now = Instant::now();
    let mut estimator = CapacityEstimator::new(Policy::Measured);
    estimator.adopt(now, S * 1_000, &record(60, None));
    estimator.observe(now, 0.0, 4);
    let required = estimator.required(now);
    assert_eq!(required, RequiredCapacity { count: 60, load: 48, is_stable: true });
    let orders = Planner::default().plan(now, &scaling(None), &supply([1; 4], [0; 4]), required);
    assert_eq!(orders.iter().map(|order| order.count).sum::<u32>(), 45);
}

/// Guards against regular runners that are ordered although the load fits the runners that serve.
#[test]
fn plan_load_fits_no_regular_ordered() {
    let mut planner = Planner::default();
    let required = RequiredCapacity { count: 60, load: 37, is_stable: true };
    let orders = planner.plan(
        Instant::now(),
        &scaling(Some(0.22)),
        &supply([1; 4], [12, 0, 12, 9]),
        required,
    );
    assert!(orders.iter().all(|order| order.kind == Kind::Reclaimable), "{orders:?}");
}

/// Runners must not be released while the required number is not known yet.
#[test]
fn plan_not_stable_only_increases() {
    let mut planner = Planner::default();
    let unstable = RequiredCapacity { count: 20, load: 0, is_stable: false };
    let orders =
        planner.plan(Instant::now(), &scaling(Some(0.22)), &supply([35; 4], [35; 4]), unstable);
    assert!(orders.is_empty(), "{orders:?}");
    let orders =
        planner.plan(Instant::now(), &scaling(Some(0.22)), &supply([5; 4], [0; 4]), unstable);
    assert!(orders.iter().all(|o| o.kind == Kind::Reclaimable) && orders.len() == 4);
}

/// The number of runners must not count as the initial one while runners are still starting.
#[test]
fn update_runners_still_starting_not_stable() {
    let start = Instant::now();
    let mut estimator = CapacityEstimator::new(Policy::Initial);
    for n in 0..40 {
        let now = start + MS * 100 * n;
        estimator.observe(now, 0.0, 3 * (n + 1));
        assert!(!estimator.required(now).is_stable);
    }
    estimator.observe(start + S * 6, 0.0, 120);
    let required = estimator.required(start + S * 6);
    assert_eq!(required, RequiredCapacity { count: 120, load: 96, is_stable: true });
}

/// Guards against a requirement that forgets a peak within the window, falls without evidence of 12 s,
/// or falls by more than a tenth in 2 s.
#[test]
fn required_peak_held_then_lowered_gradually() {
    let start = Instant::now();
    let mut estimator = CapacityEstimator::new(Policy::Measured);
    let mut counts = Vec::new();
    for n in 0..1_200 {
        let (now, second) = (start + MS * 200 * n, n / 5);
        estimator.observe(now, if (40..44).contains(&second) { 60.0 } else { 20.0 }, 140);
        counts.push(estimator.required(now).count);
    }
    assert!(counts[..60].iter().all(|count| *count == 140));
    for (at, count) in counts.iter().enumerate().skip(10) {
        let earlier = counts[at - 9];
        assert!(*count >= earlier - earlier / 10, "{earlier} then {count} after step {at}");
    }
    // 20 busy runners need 29, 60 need 80.
    assert!(counts[39 * 5] < 90 && counts[39 * 5] > 29, "{}", counts[39 * 5]);
    assert!(counts[43 * 5..99 * 5].iter().all(|count| *count >= 80));
    assert!((29..=31).contains(&counts[1_199]), "{}", counts[1_199]);
}

/// Guards against a requirement below what serves the load at present.
#[test]
fn required_load_rises_at_once() {
    let start = Instant::now();
    let mut estimator = CapacityEstimator::new(Policy::Measured);
    for n in 0..500 {
        estimator.observe(start + MS * 200 * n, 5.0, 20);
        estimator.required(start + MS * 200 * n);
    }
    let now = start + S * 100;
    estimator.observe(now, 30.0, 20);
    assert!(estimator.required(now).count >= 30, "{:?}", estimator.required(now));
}

fn record(required: u32, evidence: Option<Evidence>) -> Record {
    Record { serial: 3, initial: 60, required, evidence, orders: Vec::new() }
}

/// Guards against a new holder that lowers the requirement below a peak that an earlier holder has seen
/// within the window, and against one that counts older evidence.
#[test]
fn adopt_evidence_within_window_counts() {
    let (start, time) = (Instant::now(), S * 1_000);
    for (age, floor) in [(S * 10, true), (S * 61, false)] {
        let evidence = Evidence { load: 36.0, observed: S * 20, at: time - age };
        let mut estimator = CapacityEstimator::new(Policy::Measured);
        estimator.adopt(start, time, &record(48, Some(evidence)));
        let mut required = 0;
        for n in 0..95 {
            estimator.observe(start + MS * 200 * n, 10.0, 40);
            required = estimator.required(start + MS * 200 * n).count;
        }
        assert_eq!(required == 48, floor, "{required} after evidence {age:?} old");
    }
}

/// Guards against a requirement that changes because the holder of the duties changes.
#[test]
fn adopt_ten_holders_requirement_unchanged() {
    let start = Instant::now();
    let (mut stored, mut serving) = (None, supply([15; 4], [0; 4]));
    for n in 0..10 {
        let mut estimator = CapacityEstimator::new(Policy::Initial);
        if let Some(stored) = &stored {
            estimator.adopt(start, S * 1_000, stored);
        }
        for step in 0..20 {
            let now = start + S * 10 * n + MS * 400 * step;
            estimator.observe(now, 20.0, assured(&serving));
            estimator.required(now);
            stored = estimator.record(now, S * 1_000, stored.as_ref()).or(stored);
        }
        serving = supply([1; 4], [19 + n; 4]);
    }
    assert_eq!(stored.map(|record| record.required), Some(60));
}

/// Guards against a count of runners that takes the surplus for the loss of a data centre as required.
#[test]
fn assured_without_largest_reclaimable_group() {
    assert_eq!(assured(&supply([15; 4], [0; 4])), 60);
    assert_eq!(assured(&supply([1; 4], [19, 19, 19, 18])), 60);
}

/// Guards against a copy of the store that replaces a newer requirement in the holder's memory, and
/// against a memory that replaces what a later holder has written.
#[test]
fn newest_higher_serial_in_force() {
    let (older, newer) = (record(60, None), Record { serial: 4, ..record(48, None) });
    let both =
        |memory: &Record, stored: &Record| newest(Some(memory.clone()), Some(stored.clone()));
    assert_eq!(both(&newer, &older), Some(newer.clone()));
    assert_eq!(both(&older, &newer), Some(newer.clone()));
    let edited = record(70, None);
    assert_eq!(both(&older, &edited), Some(edited));
    assert_eq!(newest(Some(older.clone()), None), Some(older));
}

/// Guards against orders that a new holder repeats while the runners ordered by the last one boot.
#[test]
fn adopt_recorded_order_not_repeated() {
    let (now, scaling) = (Instant::now(), scaling(Some(0.22)));
    let supply = supply([15; 4], [0; 4]);
    let mut first = Planner::default();
    let mut record = record(60, None);
    for order in first.plan(now, &scaling, &supply, required(60)) {
        record.set_order(&scaling.prices[order.data_centre].0, order.kind, order.count);
    }
    assert!(!record.orders.is_empty());
    let mut second = Planner::default();
    second.adopt(now, &scaling, &record);
    assert!(second.plan(now + S, &scaling, &supply, required(60)).is_empty());
    assert!(!second.plan(now + S * 7, &scaling, &supply, required(60)).is_empty());
}

/// Guards against reclaimable runners that are released all at once, or below the target, when the
/// requirement falls.
#[test]
fn plan_excess_reclaimable_released_gradually() {
    let (start, scaling) = (Instant::now(), scaling(Some(0.22)));
    let mut platform = Platform::new(0);
    platform.runners = supply([1; 4], [19; 4]);
    let mut planner = Planner::default();
    let mut counts = vec![platform.serving()];
    for step in 0..60 {
        let now = start + MS * 500 * step;
        for order in planner.plan(now, &scaling, &platform.runners, required(40)) {
            platform.execute(now, &order);
        }
        counts.push(platform.serving());
    }
    assert!(counts.windows(4).all(|c| c[3] >= c[0] - c[0] / 10), "{counts:?}");
    assert_eq!(counts.last(), Some(&52));
}

/// Guards against runners in an expensive data centre that the spread does not require.
#[test]
fn plan_spread_cheapest_that_covers_loss() {
    let spread = |prices: [f64; 4]| {
        let mut scaling = scaling(Some(0.22));
        scaling.prices.iter_mut().zip(prices).for_each(|(entry, price)| entry.1 = price);
        let orders = Planner::default().plan(
            Instant::now(),
            &scaling,
            &supply([1; 4], [0; 4]),
            required(60),
        );
        let mut counts = [0; 4];
        orders.iter().for_each(|order| counts[order.data_centre] = order.count);
        counts
    };
    // 56 runners must be left without any one data centre.
    assert_eq!(spread([1.0, 0.8, 1.25, 0.9]), [19, 19, 18, 19]);
    assert_eq!(spread([1.0, 0.8, 3.0, 0.9]), [28, 28, 0, 28]);
}

#[test]
fn plan_no_reclaimable_no_order() {
    let mut planner = Planner::default();
    let orders =
        planner.plan(Instant::now(), &scaling(None), &supply([35; 4], [0; 4]), required(140));
    assert!(orders.is_empty(), "{orders:?}");
}

#[test]
fn plan_supply_unknown_no_order() {
    let mut planner = Planner::default();
    assert!(planner.plan(Instant::now(), &scaling(Some(0.22)), &[], required(140)).is_empty());
}

#[test]
fn plan_within_bounds() {
    let mut planner = Planner::default();
    let scaling = Scaling { bounds: (1, 40), ..scaling(Some(0.22)) };
    let orders = planner.plan(Instant::now(), &scaling, &supply([35; 4], [0; 4]), required(140));
    assert!(orders.iter().all(|o| o.kind == Kind::Reclaimable && o.count == 5), "{orders:?}");
}
