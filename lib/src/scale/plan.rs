//! Which numbers of runners are ordered, by what is needed and what is there.
//!
//! Runners are billed by the second. Reclaimable ones cost a part of that, and all of a data centre's
//! may be taken back at once. So reclaimable ones carry the load, spread so that the loss of one data
//! centre's leaves what the load needs, and a few that cannot be taken back stay in each. A number is
//! lowered only once the runners that replace it serve.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::need::Needed;
use crate::id::DataCentre;

/// The bounds and prices of a service whose runners are ordered.
#[derive(Clone, Debug, PartialEq)]
pub struct Scaling {
    /// The fewest and the most runners in each data centre, of both kinds together.
    pub bounds: (u32, u32),
    /// How long a new runner takes to serve.
    pub boot: Duration,
    /// What a reclaimable runner costs against one that is not; none where there are none.
    pub reclaimable_price: Option<f64>,
    /// The price of a runner's second in each data centre.
    pub prices: Vec<(DataCentre, f64)>,
}

/// The kinds of runners.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// They stay until they are given back.
    Regular,
    /// They may be taken back.
    Reclaimable,
}

/// The runners of one data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Supply {
    /// Those of each kind that are there and do not leave: regular, and reclaimable.
    pub ready: [u32; 2],
    /// Those of them that take work.
    pub serving: [u32; 2],
}

/// One order: a number of runners of a kind in a data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// The place of the data centre in the list of prices.
    pub data_centre: usize,
    /// The kind.
    pub kind: Kind,
    /// How many.
    pub count: u32,
}

/// The share of the runners that cannot be taken back, and at least one in each data centre: what
/// still serves should all others be taken back at once.
const REGULAR_SHARE: f64 = 0.06;
/// How long after none were to be had in a data centre some are ordered there again.
const DRY: Duration = Duration::from_millis(2_000);
/// How much longer than a new runner takes to serve an order is waited for before it is repeated.
const LATE: Duration = Duration::from_millis(2_500);
/// The share of what is needed below which the runners that serve are too few, and regular ones are
/// ordered in place of reclaimable ones that are not to be had.
const SHORT: f64 = 0.8;

/// What was ordered last of one kind in one data centre.
#[derive(Clone, Copy, Debug, Default)]
struct Ordered {
    count: Option<u32>,
    at: Option<Instant>,
    dry: Option<Instant>,
}

/// What a plan is made from.
#[derive(Clone, Copy)]
struct Seen<'a> {
    now: Instant,
    scaling: &'a Scaling,
    supply: &'a [Supply],
}

/// The orders for one service.
#[derive(Debug, Default)]
pub struct Planner {
    ordered: Vec<[Ordered; 2]>,
}

impl Kind {
    fn index(self) -> usize {
        match self {
            Kind::Regular => 0,
            Kind::Reclaimable => 1,
        }
    }
}

impl Planner {
    /// The orders to give at `now`. `supply` has the runners by the places of the list of prices, and
    /// `needed` is how many have to serve, also while one data centre's reclaimable ones are away.
    pub fn plan(
        &mut self,
        now: Instant,
        scaling: &Scaling,
        supply: &[Supply],
        needed: Needed,
    ) -> SmallVec<[Order; 8]> {
        let need = needed.count;
        self.ordered.resize_with(scaling.prices.len(), Default::default);
        let mut orders = SmallVec::new();
        if supply.len() != scaling.prices.len() || supply.is_empty() || need == 0 {
            return orders;
        }
        let seen = Seen { now, scaling, supply };
        let goal = Goal::new(scaling, need);
        let serving: u32 = supply.iter().flat_map(|s| s.serving).sum();
        if scaling.reclaimable_price.is_some() {
            for (data_centre, runners) in supply.iter().enumerate() {
                let count = goal.reclaimable(scaling, runners);
                let wanted = Order { data_centre, kind: Kind::Reclaimable, count };
                self.raise(&seen, wanted, &mut orders);
            }
        }
        // What serves in their place may be given back for them.
        let instead: u32 = supply.iter().map(|s| s.serving[1]).sum();
        let spare = serving.saturating_sub(need).min(instead);
        let mut spare = if needed.steady { spare } else { 0 };
        for data_centre in scaling.by_price().into_iter().rev() {
            let have = supply[data_centre].ready[0];
            let fewer = have.saturating_sub(goal.regular).min(spare);
            if fewer > 0 && scaling.reclaimable_price.is_some() {
                spare -= fewer;
                let wanted = Order { data_centre, kind: Kind::Regular, count: have - fewer };
                self.order(now, wanted, &mut orders);
            }
        }
        if f64::from(serving) < f64::from(need) * SHORT {
            self.make_up(&seen, need - serving, &mut orders);
        }
        orders
    }

    /// Orders regular runners for those that are missing, where they cost least.
    fn make_up(&mut self, seen: &Seen<'_>, missing: u32, orders: &mut SmallVec<[Order; 8]>) {
        let mut missing = missing;
        for data_centre in seen.scaling.by_price() {
            let [regular, reclaimable] = seen.supply[data_centre].ready;
            let room = seen.scaling.bounds.1.saturating_sub(regular + reclaimable);
            let more = room.min(missing);
            missing -= more;
            if more > 0 {
                let wanted = Order { data_centre, kind: Kind::Regular, count: regular + more };
                self.raise(seen, wanted, orders);
            }
        }
    }

    /// Orders `count` runners where fewer serve, unless such an order is being carried out or none are
    /// to be had.
    fn raise(&mut self, seen: &Seen<'_>, wanted: Order, orders: &mut SmallVec<[Order; 8]>) {
        let Seen { now, scaling, supply } = *seen;
        let Order { data_centre, kind, count } = wanted;
        let last = self.ordered[data_centre][kind.index()];
        let within = |at: Option<Instant>, limit: Duration| {
            at.is_some_and(|at| now.saturating_duration_since(at) < limit)
        };
        if supply[data_centre].ready[kind.index()] >= count || within(last.dry, DRY) {
            return;
        }
        let is_same = last.count == Some(count);
        if is_same && within(last.at, scaling.boot + LATE) {
            return;
        }
        self.order(now, wanted, orders);
    }

    fn order(&mut self, now: Instant, wanted: Order, orders: &mut SmallVec<[Order; 8]>) {
        let Order { data_centre, kind, count } = wanted;
        let last = &mut self.ordered[data_centre][kind.index()];
        let recently = last.at.is_some_and(|at| now.saturating_duration_since(at) < LATE);
        if last.count == Some(count) && recently {
            return;
        }
        last.count = Some(count);
        last.at = Some(now);
        orders.push(wanted);
    }

    /// Notes that none were to be had.
    pub fn record_unavailable(&mut self, now: Instant, order: &Order) {
        let last = &mut self.ordered[order.data_centre][order.kind.index()];
        *last = Ordered { count: None, at: None, dry: Some(now) };
    }

    /// Notes that an order was not taken, or perhaps not: it is given again.
    pub fn record_failed(&mut self, order: &Order) {
        self.ordered[order.data_centre][order.kind.index()] = Ordered::default();
    }
}

/// What there should be in each data centre.
#[derive(Clone, Copy, Debug)]
struct Goal {
    regular: u32,
    reclaimable: u32,
}

impl Goal {
    fn new(scaling: &Scaling, need: u32) -> Self {
        let places = scaling.prices.len() as f64;
        let need = f64::from(need);
        let regular = (need * REGULAR_SHARE / places).ceil().max(f64::from(scaling.bounds.0));
        // Where one data centre's are away, the others' have to do.
        let others = (places - 1.0).max(1.0);
        let reclaimable = ((need - regular * places) / others).ceil().max(0.0);
        Self { regular: regular as u32, reclaimable: reclaimable as u32 }
    }

    /// How many reclaimable runners there should be in a data centre, within its bounds.
    fn reclaimable(&self, scaling: &Scaling, supply: &Supply) -> u32 {
        self.reclaimable.min(scaling.bounds.1.saturating_sub(supply.ready[0].max(self.regular)))
    }
}

impl Scaling {
    /// The places of the data centres, those with the lowest price first.
    fn by_price(&self) -> Vec<usize> {
        let mut places: Vec<usize> = (0..self.prices.len()).collect();
        places.sort_by(|a, b| self.prices[*a].1.total_cmp(&self.prices[*b].1));
        places
    }
}
