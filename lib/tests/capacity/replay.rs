//! Replays the demand and the runners of reference load A (docs/LOAD.md) against the decisions of a
//! holder of the duties.

use std::time::{Duration, Instant};

use sardinepick_lib::scale::plan::{Kind, Order, Scaling, Supply};

pub const STEP: Duration = Duration::from_millis(200);
const RECLAIMABLE_PRICE: f64 = 0.22;
const BOOT_STEPS: u32 = 20;
/// The mean demand, as busy runners. With the alternation, the demand stays within 5 and 24 runners.
const MEAN_DEMAND: f64 = 15.0;
/// The averaging period of the observed demand (`fleet::balance`).
const AVERAGING_STEPS: f64 = 10.0;

pub fn scaling() -> Scaling {
    let price = |name: &str, price| (name.parse().expect("a data centre"), price);
    Scaling {
        bounds: (1, 30),
        boot_time: STEP * BOOT_STEPS,
        reclaimable_price: Some(RECLAIMABLE_PRICE),
        prices: vec![price("a", 1.0), price("b", 0.8), price("c", 1.25), price("d", 0.9)],
    }
}

/// What happens during a replay, in seconds from its start.
pub struct Events {
    pub length: u32,
    /// Demand is doubled for 5 s.
    pub bursts: &'static [u32],
    /// The reclaimable runners of the data centre with the given index are reclaimed; none are available
    /// there for 10 s.
    pub reclaims: &'static [(u32, usize)],
    /// The holder is killed; the next one makes its first decision after 4 s.
    pub kills: &'static [u32],
}

pub const LOAD_A: Events = Events {
    length: 180,
    bursts: &[40, 90, 140],
    reclaims: &[(60, 1), (120, 3)],
    kills: &[30, 50, 75, 100, 130],
};

/// The demand at `second`, as busy runners: two kinds that alternate every 2.8 s and every 15 s.
fn demand(second: f64, events: &Events) -> f64 {
    let factor = |period: f64, is_other: bool| {
        let is_high = ((second / period) as u32).is_multiple_of(2) != is_other;
        if is_high { 1.9 / 1.2 } else { 0.5 / 1.2 }
    };
    let kind = |share: f64, is_other| share * factor(2.8, is_other) * factor(15.0, is_other);
    let is_burst =
        events.bursts.iter().any(|at| (f64::from(*at)..f64::from(at + 5)).contains(&second));
    MEAN_DEMAND * (kind(0.6, false) + kind(0.4, true)) * if is_burst { 2.0 } else { 1.0 }
}

/// The holder of the duties.
pub trait Holder {
    /// Returns the orders at `now`.
    fn decide(&mut self, now: Instant, busy: f64, supply: &[Supply]) -> Vec<Order>;
    /// Records that an order failed for lack of runners.
    fn record_unavailable(&mut self, now: Instant, order: &Order);
    /// Another node takes over.
    fn replace(&mut self, now: Instant);
    /// The required number of runners.
    fn required(&self) -> u32;
}

/// The result of a replay.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Seconds of runners, weighted by price.
    pub cost: f64,
    /// The part of the cost for regular runners.
    pub regular_cost: f64,
    /// The demand that no runner served, in runner seconds.
    pub unmet: f64,
    /// The demand, in runner seconds.
    pub demand: f64,
    /// The number of regular runners that were ordered in addition to those present.
    pub regular_ordered: u32,
    /// The required number at the end of each holder.
    pub required: Vec<u32>,
    /// The smallest and the largest number of serving runners.
    pub serving: (u32, u32),
}

struct Fleet {
    runners: Vec<Supply>,
    /// When they serve, data centre, kind.
    booting: Vec<(u32, usize, usize)>,
    unavailable_until: [u32; 4],
}

impl Fleet {
    fn boot(&mut self, step: u32) {
        let runners = &mut self.runners;
        self.booting.retain(|(at, data_centre, kind)| {
            if *at <= step {
                runners[*data_centre].ready[*kind] += 1;
                runners[*data_centre].serving[*kind] += 1;
            }
            *at > step
        });
    }

    fn booting(&self, data_centre: usize, kind: usize) -> u32 {
        self.booting.iter().filter(|b| (b.1, b.2) == (data_centre, kind)).count() as u32
    }

    /// Executes an order. Returns how many runners it adds, `None` if none are available.
    fn execute(&mut self, step: u32, order: &Order) -> Option<u32> {
        let (data_centre, kind) = (order.data_centre, usize::from(order.kind == Kind::Reclaimable));
        if kind == 1 && step < self.unavailable_until[data_centre] {
            return None;
        }
        let have = self.runners[data_centre].ready[kind] + self.booting(data_centre, kind);
        let more = order.count.saturating_sub(have);
        self.booting.extend((0..more).map(|_| (step + BOOT_STEPS, data_centre, kind)));
        if order.count < have {
            self.booting.retain(|b| (b.1, b.2) != (data_centre, kind));
            let runners = &mut self.runners[data_centre];
            runners.ready[kind] = runners.ready[kind].min(order.count);
            runners.serving[kind] = runners.ready[kind];
        }
        Some(more)
    }

    /// The price per second of all runners and of the regular ones, including those that boot.
    fn price(&self) -> (f64, f64) {
        let (mut all, mut regular) = (0.0, 0.0);
        for (index, (_, price)) in scaling().prices.iter().enumerate() {
            let count =
                |kind| f64::from(self.runners[index].ready[kind] + self.booting(index, kind));
            regular += count(0) * price;
            all += (count(0) + count(1) * RECLAIMABLE_PRICE) * price;
        }
        (all, regular)
    }

    fn serving(&self) -> u32 {
        self.runners.iter().flat_map(|s| s.serving).sum()
    }
}

pub fn replay(start: Instant, holder: &mut impl Holder, events: &Events) -> Outcome {
    let initial = Supply { ready: [15, 0], serving: [15, 0] };
    let mut fleet =
        Fleet { runners: vec![initial; 4], booting: Vec::new(), unavailable_until: [0; 4] };
    let mut outcome = Outcome { serving: (u32::MAX, 0), ..Outcome::default() };
    let (mut observed, mut idle_until) = (0.0, 0);
    for step in 0..events.length * 5 {
        let (now, second) = (start + STEP * step, step / 5);
        fleet.boot(step);
        if step % 5 == 0 {
            for (_, data_centre) in events.reclaims.iter().filter(|(at, _)| *at == second) {
                fleet.runners[*data_centre].ready[1] = 0;
                fleet.runners[*data_centre].serving[1] = 0;
                fleet.booting.retain(|b| (b.1, b.2) != (*data_centre, 1));
                fleet.unavailable_until[*data_centre] = step + 50;
            }
            if events.kills.contains(&second) {
                outcome.required.push(holder.required());
                idle_until = step + 20;
                holder.replace(now);
            }
        }
        let demand = demand(f64::from(step) / 5.0, events);
        observed += (demand - observed) * (1.0 - (-1.0 / AVERAGING_STEPS).exp());
        if step >= idle_until && step % 2 == 0 {
            for order in holder.decide(now, observed, &fleet.runners) {
                match fleet.execute(step, &order) {
                    Some(more) if order.kind == Kind::Regular => outcome.regular_ordered += more,
                    Some(_) => {}
                    None => holder.record_unavailable(now, &order),
                }
            }
        }
        let (serving, (all, regular)) = (fleet.serving(), fleet.price());
        outcome.cost += all / 5.0;
        outcome.regular_cost += regular / 5.0;
        outcome.demand += demand / 5.0;
        outcome.unmet += (demand - f64::from(serving)).max(0.0) / 5.0;
        outcome.serving = (outcome.serving.0.min(serving), outcome.serving.1.max(serving));
    }
    outcome.required.push(holder.required());
    outcome
}
