//! The cheapest spread of runners over the data centres.

use super::plan::{Scaling, Supply};

/// The share of regular runners, with at least one in each data centre. They keep serving when all
/// others are reclaimed at once.
const REGULAR_SHARE: f64 = 0.06;

/// The target number of runners.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Spread {
    /// Regular runners per data centre.
    pub regular: u32,
    /// Reclaimable runners by data centre.
    pub reclaimable: Vec<u32>,
}

impl Spread {
    /// Returns the cheapest spread with which `need` runners are left when the reclaimable ones of any
    /// one data centre are reclaimed. Where the bounds do not allow that, the spread is as even as
    /// they allow.
    pub fn new(scaling: &Scaling, supply: &[Supply], need: u32) -> Self {
        let data_centres = scaling.prices.len();
        let share = f64::from(need) * REGULAR_SHARE / data_centres as f64;
        let regular = share.ceil().max(f64::from(scaling.bounds.0)) as u32;
        let need = need.saturating_sub(regular * data_centres as u32);
        let room = |s: &Supply| scaling.bounds.1.saturating_sub(s.ready[0].max(regular));
        let rooms: Vec<u32> = supply.iter().map(room).collect();
        let others = (data_centres as u32 - 1).max(1);
        let order = scaling.by_price();
        let even = need.div_ceil(others);
        let most = need.min(scaling.bounds.1);
        let covering = (even..=most).filter_map(|most| fill(&order, &rooms, most, need + most));
        let cheapest = covering.min_by(|a, b| scaling.price(a).total_cmp(&scaling.price(b)));
        let reclaimable =
            cheapest.unwrap_or_else(|| rooms.iter().map(|room| even.min(*room)).collect());
        Self { regular, reclaimable }
    }
}

/// Distributes `total` runners over the data centres in `order`, at most `most` to each; `None` if
/// there is no room for them. With one data centre nothing covers its loss, and it gets `most`.
fn fill(order: &[usize], rooms: &[u32], most: u32, total: u32) -> Option<Vec<u32>> {
    let mut left = if order.len() > 1 { total } else { most };
    let mut counts = vec![0; rooms.len()];
    for index in order {
        counts[*index] = left.min(most).min(rooms[*index]);
        left -= counts[*index];
    }
    (left == 0).then_some(counts)
}
