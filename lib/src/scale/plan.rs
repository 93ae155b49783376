//! Decides how many runners to order in each data centre, from the required and the available
//! capacity.
//!
//! Runners are billed by the second. Reclaimable runners cost a fraction of the price of regular
//! ones, but the platform can reclaim all of those in a data centre at once. So reclaimable runners
//! carry the load, spread such that the loss of those of one data centre leaves the required
//! capacity ([`super::spread`]), and a few regular runners stay in each data centre. The number of
//! regular runners is lowered only once their replacements take work. Regular runners are ordered only
//! for load that the serving runners cannot carry.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::need::RequiredCapacity;
use super::record::Record;
use super::spread::Spread;
use crate::id::DataCentre;

/// The bounds and prices of a service that is scaled.
#[derive(Clone, Debug, PartialEq)]
pub struct Scaling {
    /// The minimum and maximum number of runners per data centre, of both kinds together.
    pub bounds: (u32, u32),
    /// The time from the order of a runner until it takes work.
    pub boot_time: Duration,
    /// The price of a reclaimable runner relative to a regular one; `None` where there are none.
    pub reclaimable_price: Option<f64>,
    /// The price of a runner per second in each data centre.
    pub prices: Vec<(DataCentre, f64)>,
}

/// The kind of a runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Stays until it is released.
    Regular,
    /// Can be reclaimed by the platform at any time.
    Reclaimable,
}

/// The runners of one data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Supply {
    /// The number of runners that are present and not leaving: regular, reclaimable.
    pub ready: [u32; 2],
    /// The number of those that take work.
    pub serving: [u32; 2],
}

/// An order that sets the number of runners of one kind in one data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// The index of the data centre in [`Scaling::prices`].
    pub data_centre: usize,
    /// The kind of runner.
    pub kind: Kind,
    /// The number of runners.
    pub count: u32,
}

/// How long after an order failed for lack of runners it is repeated in that data centre.
const UNAVAILABLE_RETRY_DELAY: Duration = Duration::from_millis(2_000);
/// How long to wait beyond the boot time before an order is repeated.
const ORDER_GRACE: Duration = Duration::from_millis(2_500);
/// The share of the serving runners that is released at most per [`RELEASE_PERIOD`], except regular
/// runners that reclaimable ones have replaced.
const MAX_RELEASED: f64 = 0.1;
/// The minimum time between two releases.
const RELEASE_PERIOD: Duration = Duration::from_secs(2);

/// The last order for one kind in one data centre.
#[derive(Clone, Copy, Debug, Default)]
struct LastOrder {
    count: Option<u32>,
    at: Option<Instant>,
    unavailable_at: Option<Instant>,
}

/// The inputs of a plan.
#[derive(Clone, Copy)]
struct Inputs<'a> {
    now: Instant,
    scaling: &'a Scaling,
    supply: &'a [Supply],
}

/// Plans the orders for one service.
#[derive(Debug, Default)]
pub struct Planner {
    last_orders: Vec<[LastOrder; 2]>,
    released_at: Option<Instant>,
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
    /// Takes over the orders on record. They count as placed at `now`, so that runners that are
    /// booting are not ordered again, and nothing is released at once.
    pub fn adopt(&mut self, now: Instant, scaling: &Scaling, record: &Record) {
        let last = |data_centre: &DataCentre, kind| {
            let count = record.order(data_centre, kind);
            LastOrder { count, at: count.map(|_| now), unavailable_at: None }
        };
        let kinds = |(data_centre, _): &(DataCentre, f64)| {
            [Kind::Regular, Kind::Reclaimable].map(|kind| last(data_centre, kind))
        };
        self.last_orders = scaling.prices.iter().map(kinds).collect();
        self.released_at = Some(now);
    }

    /// Returns the orders to place at `now`. `supply` has the runners by data centre, in the order of
    /// [`Scaling::prices`]. `required` has to be served even while the reclaimable runners of one data
    /// centre are unavailable.
    pub fn plan(
        &mut self,
        now: Instant,
        scaling: &Scaling,
        supply: &[Supply],
        required: RequiredCapacity,
    ) -> SmallVec<[Order; 8]> {
        let need = required.count;
        self.last_orders.resize_with(scaling.prices.len(), Default::default);
        let mut orders = SmallVec::new();
        if supply.len() != scaling.prices.len() || supply.is_empty() || need == 0 {
            return orders;
        }
        let inputs = Inputs { now, scaling, supply };
        let target = Spread::new(scaling, supply, need);
        if scaling.reclaimable_price.is_some() {
            for (data_centre, count) in target.reclaimable.iter().copied().enumerate() {
                let wanted = Order { data_centre, kind: Kind::Reclaimable, count };
                self.increase(&inputs, wanted, &mut orders);
            }
            if required.is_stable {
                self.exchange(&inputs, &target, need, &mut orders);
                self.release(&inputs, &target, need, &mut orders);
            }
        }
        let expected = inputs.serving() + self.booting(&inputs);
        if expected < required.load {
            self.cover_shortage(&inputs, required.load - expected, &mut orders);
        }
        orders
    }

    /// Releases regular runners, in the most expensive data centres first, as far as reclaimable ones
    /// that already serve have replaced them.
    fn exchange(
        &mut self,
        inputs: &Inputs<'_>,
        target: &Spread,
        need: u32,
        orders: &mut SmallVec<[Order; 8]>,
    ) {
        let replacements: u32 = inputs.supply.iter().map(|s| s.serving[1]).sum();
        let spare = inputs.serving().saturating_sub(need).min(replacements);
        self.decrease(inputs, Kind::Regular, |_| target.regular, spare, orders);
    }

    /// Releases at most `spare` runners of a kind beyond the target of each data centre, in the most
    /// expensive data centres first. Returns whether any are released.
    fn decrease(
        &mut self,
        inputs: &Inputs<'_>,
        kind: Kind,
        target: impl Fn(usize) -> u32,
        spare: u32,
        orders: &mut SmallVec<[Order; 8]>,
    ) -> bool {
        let mut left = spare;
        for data_centre in inputs.scaling.by_price().into_iter().rev() {
            let have = inputs.supply[data_centre].ready[kind.index()];
            let fewer = have.saturating_sub(target(data_centre)).min(left);
            if fewer > 0 {
                left -= fewer;
                self.order(inputs.now, Order { data_centre, kind, count: have - fewer }, orders);
            }
        }
        left < spare
    }

    /// Releases reclaimable runners beyond the target gradually, in the most expensive data centres
    /// first, once as many serve as the target has.
    fn release(
        &mut self,
        inputs: &Inputs<'_>,
        target: &Spread,
        need: u32,
        orders: &mut SmallVec<[Order; 8]>,
    ) {
        let Inputs { now, supply, .. } = *inputs;
        let serving: u32 = supply.iter().map(|s| s.serving[1]).sum();
        let excess = serving.saturating_sub(target.reclaimable.iter().sum());
        let is_recent = |at: Instant| now.saturating_duration_since(at) < RELEASE_PERIOD;
        if self.released_at.is_some_and(is_recent) || inputs.serving() <= need {
            return;
        }
        let most = (f64::from(inputs.serving()) * MAX_RELEASED) as u32;
        let spare = excess.min(most.max(1));
        let target = |data_centre: usize| target.reclaimable[data_centre];
        if self.decrease(inputs, Kind::Reclaimable, target, spare, orders) {
            self.released_at = Some(inputs.now);
        }
    }

    /// The number of reclaimable runners that have been ordered and do not exist yet. Regular ones
    /// would not take work any earlier.
    fn booting(&self, inputs: &Inputs<'_>) -> u32 {
        let limit = inputs.scaling.boot_time + ORDER_GRACE;
        let booting = |(last, supply): (&[LastOrder; 2], &Supply)| {
            let last = last[Kind::Reclaimable.index()];
            let is_recent = |at: Instant| inputs.now.saturating_duration_since(at) < limit;
            let count = last.count.filter(|_| last.at.is_some_and(is_recent)).unwrap_or_default();
            count.saturating_sub(supply.ready[1])
        };
        self.last_orders.iter().zip(inputs.supply).map(booting).sum()
    }

    /// Orders `missing` regular runners, in the cheapest data centres first.
    fn cover_shortage(
        &mut self,
        inputs: &Inputs<'_>,
        missing: u32,
        orders: &mut SmallVec<[Order; 8]>,
    ) {
        let mut missing = missing;
        for data_centre in inputs.scaling.by_price() {
            let [regular, reclaimable] = inputs.supply[data_centre].ready;
            let room = inputs.scaling.bounds.1.saturating_sub(regular + reclaimable);
            let more = room.min(missing);
            missing -= more;
            if more > 0 {
                let wanted = Order { data_centre, kind: Kind::Regular, count: regular + more };
                self.increase(inputs, wanted, orders);
            }
        }
    }

    /// Places an order that raises the number of runners, unless the same order is being carried out or
    /// runners were unavailable a moment ago.
    fn increase(&mut self, inputs: &Inputs<'_>, wanted: Order, orders: &mut SmallVec<[Order; 8]>) {
        let Inputs { now, scaling, supply } = *inputs;
        let Order { data_centre, kind, count } = wanted;
        let last = self.last_orders[data_centre][kind.index()];
        let within = |at: Option<Instant>, limit: Duration| {
            at.is_some_and(|at| now.saturating_duration_since(at) < limit)
        };
        if supply[data_centre].ready[kind.index()] >= count
            || within(last.unavailable_at, UNAVAILABLE_RETRY_DELAY)
        {
            return;
        }
        let is_same = last.count == Some(count);
        if is_same && within(last.at, scaling.boot_time + ORDER_GRACE) {
            return;
        }
        self.order(now, wanted, orders);
    }

    /// Places an order unless the same one was placed a moment ago.
    fn order(&mut self, now: Instant, wanted: Order, orders: &mut SmallVec<[Order; 8]>) {
        let Order { data_centre, kind, count } = wanted;
        let last = &mut self.last_orders[data_centre][kind.index()];
        let recently = last.at.is_some_and(|at| now.saturating_duration_since(at) < ORDER_GRACE);
        if last.count == Some(count) && recently {
            return;
        }
        last.count = Some(count);
        last.at = Some(now);
        orders.push(wanted);
    }

    /// Records that no runners were available for an order.
    pub fn record_unavailable(&mut self, now: Instant, order: &Order) {
        let last = &mut self.last_orders[order.data_centre][order.kind.index()];
        *last = LastOrder { count: None, at: None, unavailable_at: Some(now) };
    }

    /// Records that an order was not accepted, or may not have been, so that it is repeated.
    pub fn record_failed(&mut self, order: &Order) {
        self.last_orders[order.data_centre][order.kind.index()] = LastOrder::default();
    }
}

impl Inputs<'_> {
    /// The number of runners that take work.
    fn serving(&self) -> u32 {
        self.supply.iter().flat_map(|s| s.serving).sum()
    }
}

impl Scaling {
    /// The indexes of the data centres, cheapest first.
    pub(super) fn by_price(&self) -> Vec<usize> {
        let mut data_centres: Vec<usize> = (0..self.prices.len()).collect();
        data_centres.sort_by(|a, b| self.prices[*a].1.total_cmp(&self.prices[*b].1));
        data_centres
    }

    /// The price of `counts` runners by data centre, relative to the kind's price.
    pub(super) fn price(&self, counts: &[u32]) -> f64 {
        self.prices.iter().zip(counts).map(|((_, price), count)| price * f64::from(*count)).sum()
    }
}
