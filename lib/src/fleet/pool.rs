//! Pools: the parts into which the runners of a service are divided, so that one node can know all
//! that is under way at the runners it places work on.
//!
//! Every node that knows the same runners divides them alike, without asking. The runners of each
//! stage are ordered by a hash and cut into equal parts: a runner that comes or goes moves at most
//! one other over each cut, so most of what is known of a pool stays right.

use std::collections::{BTreeMap, HashMap};

use super::cache::ChainKey;
use super::engine::Stage;
use super::runner::Runner;
use crate::hash::stable_hash;
use crate::id::{RunnerId, ServiceId};

/// The most runners of a pool. Choosing looks at each of them, and their work is what one node
/// hears of; fewer would leave too few of each stage to make up for one that fails.
pub const MOST_RUNNERS: usize = 24;

/// One pool of a service, by its number.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Pool(pub u16);

/// How many pools a service with so many runners has: a power of two, so that with another number
/// each pool is cut in two, or joined with its neighbour.
pub fn count(runners: usize) -> u16 {
    let pools = runners.div_ceil(MOST_RUNNERS).max(1).next_power_of_two();
    u16::try_from(pools).unwrap_or(1 << 15)
}

impl Pool {
    /// The pool of a prompt, of `pools`, by the part of it that it meets others at.
    pub fn of_prompt(meeting: ChainKey, pools: u16) -> Self {
        // The key's high bits, so that with twice the pools each is cut in two.
        Self(((u128::from(meeting.0) * u128::from(pools)) >> 64) as u16)
    }

    /// A hash of the pool, for whom it falls to.
    pub fn key(self, service: &ServiceId) -> u64 {
        stable_hash(stable_hash(u64::from(self.0), b"pool"), service.as_str().as_bytes())
    }
}

/// Divides runners into the pools of their services, and gives the number of pools of each.
pub(super) fn divide(runners: &mut HashMap<RunnerId, Runner>) -> HashMap<ServiceId, u16> {
    type Order<'a> = BTreeMap<(Option<bool>, u64, RunnerId), &'a mut Runner>;
    let mut services: HashMap<ServiceId, Order<'_>> = HashMap::new();
    for runner in runners.values_mut() {
        let entry = &runner.entry;
        let stage = entry.stage.map(|stage| stage == Stage::Prefill);
        let key = (stage, stable_hash(0, entry.id.as_str().as_bytes()), entry.id.clone());
        services.entry(entry.service.clone()).or_default().insert(key, runner);
    }
    let divided = services.into_iter().map(|(service, order)| {
        let pools = count(order.len());
        let mut sizes: BTreeMap<Option<bool>, usize> = BTreeMap::new();
        for (stage, ..) in order.keys() {
            *sizes.entry(*stage).or_default() += 1;
        }
        let mut before: BTreeMap<Option<bool>, usize> = BTreeMap::new();
        for ((stage, ..), runner) in order {
            let rank = before.entry(stage).or_default();
            runner.pool = Pool((*rank * usize::from(pools) / sizes[&stage]) as u16);
            *rank += 1;
        }
        (service, pools)
    });
    divided.collect()
}
