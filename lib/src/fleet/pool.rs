//! Pools: partitions of the runners of a service, small enough for one node to track all work on
//! the runners of a pool.
//!
//! All nodes that know the same runners compute the same partition without communication. The
//! runners of each stage are ordered by a hash and split into equal parts. When a runner joins or
//! leaves, at most one other runner moves across each boundary, so most of what is known of a pool
//! stays valid.

use std::collections::{BTreeMap, HashMap};

use super::cache::ChainKey;
use super::engine::Stage;
use super::runner::Runner;
use crate::hash::stable_hash;
use crate::id::{RunnerId, ServiceId};

/// The maximum number of runners in a pool. Placement examines each of them, and one node receives
/// reports of all their work. Smaller pools would have too few runners of each stage to compensate
/// for a failure.
pub const MAX_RUNNERS: usize = 24;

/// A pool of a service, by its number.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Pool(pub u16);

/// The number of pools for a service with `runners` runners. It is a power of two, so that a change
/// of the number splits each pool in two or merges it with its neighbour.
pub fn count(runners: usize) -> u16 {
    let pools = runners.div_ceil(MAX_RUNNERS).max(1).next_power_of_two();
    u16::try_from(pools).unwrap_or(1 << 15)
}

impl Pool {
    /// The pool of a prompt, out of `pools`, by its affinity key.
    pub fn of_prompt(affinity_key: ChainKey, pools: u16) -> Self {
        // Uses the high bits of the key, so that doubling the number of pools splits each in two.
        Self(((u128::from(affinity_key.0) * u128::from(pools)) >> 64) as u16)
    }

    /// A hash of the pool, from which its scheduler is chosen.
    pub fn key(self, service: &ServiceId) -> u64 {
        stable_hash(stable_hash(u64::from(self.0), b"pool"), service.as_str().as_bytes())
    }
}

/// Assigns runners to the pools of their services and returns the number of pools of each service.
pub(super) fn assign(runners: &mut HashMap<RunnerId, Runner>) -> HashMap<ServiceId, u16> {
    type Order<'a> = BTreeMap<(Option<bool>, u64, RunnerId), &'a mut Runner>;
    let mut services: HashMap<ServiceId, Order<'_>> = HashMap::new();
    for runner in runners.values_mut() {
        let entry = &runner.entry;
        let stage = entry.stage.map(|stage| stage == Stage::Prefill);
        let key = (stage, stable_hash(0, entry.id.as_str().as_bytes()), entry.id.clone());
        services.entry(entry.service.clone()).or_default().insert(key, runner);
    }
    let pool_counts = services.into_iter().map(|(service, order)| {
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
    pool_counts.collect()
}
