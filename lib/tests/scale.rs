//! Autoscaling: the number, kind and data centre of the runners that are ordered.

use std::time::{Duration, Instant};

use sardinepick_lib::scale::need::{CapacityEstimator, Policy, RequiredCapacity};
use sardinepick_lib::scale::plan::{Kind, Order, Planner, Scaling, Supply};

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
    RequiredCapacity { count, is_stable: true }
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
        let required = estimator.update(now, load, platform.serving());
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
    let mut estimator = CapacityEstimator::new(Policy::InitialCount);
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
    let mut estimator = CapacityEstimator::new(Policy::InitialCount);
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

#[test]
fn plan_all_reclaimed_regular_ordered() {
    let start = Instant::now();
    let mut platform = Platform::new(35);
    let mut estimator = CapacityEstimator::new(Policy::InitialCount);
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
        },
    );
    assert!(platform.serving() >= 112, "{} serving at the end", platform.serving());
}

/// Runners must not be released while the required number is not known yet.
#[test]
fn plan_not_stable_only_increases() {
    let mut planner = Planner::default();
    let unstable = RequiredCapacity { count: 20, is_stable: false };
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
    let mut estimator = CapacityEstimator::new(Policy::InitialCount);
    for n in 0..40 {
        assert!(!estimator.update(start + MS * 100 * n, 0.0, 3 * (n + 1)).is_stable);
    }
    let required = estimator.update(start + S * 6, 0.0, 120);
    assert_eq!(required, RequiredCapacity { count: 120, is_stable: true });
}

#[test]
fn update_peak_held_for_window() {
    let start = Instant::now();
    let mut estimator = CapacityEstimator::new(Policy::Peak);
    estimator.update(start, 0.0, 140);
    for n in 1..100 {
        let busy = if n == 30 { 60.0 } else { 20.0 };
        let required = estimator.update(start + S * n, busy, 140);
        let expected = match n {
            0..13 => 140,
            30..61 => 100,
            _ => 34,
        };
        assert_eq!(required.count, expected, "after {n} s");
    }
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
