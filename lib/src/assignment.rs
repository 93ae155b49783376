//! Which nodes use a runner, and which of them observes its load for the others.
//!
//! If every node heard of all 1,600 runners each second, reports of some 24 bytes would come to
//! 38 KB/s, three times what a node may spend. So each runner is used by a fixed number of nodes,
//! drawn by rendezvous hashing; the first of them asks the runner for its load and passes it on to
//! the others. When a node comes or goes, only its own places move.

use std::time::Duration;

use crate::hash::{rendezvous_weight, stable_hash};
use crate::id::Name;

/// How many nodes use one runner. With 550 nodes and 1,600 runners a node uses 64 runners.
pub const NODES_PER_RUNNER: usize = 22;

const ASSIGNMENT_SEED: u64 = 0x7375_7070;

/// The nodes that use `runner`, the observer first. `out` is emptied and filled, so that the
/// caller can keep its storage.
pub fn assign_nodes<'a>(runner: &Name, nodes: &'a [Name], out: &mut Vec<&'a Name>) {
    let duty = stable_hash(ASSIGNMENT_SEED, runner.as_str().as_bytes());
    out.clear();
    out.extend(nodes.iter());
    out.sort_by_cached_key(|n| std::cmp::Reverse(rendezvous_weight(duty, n.as_str().as_bytes())));
    out.truncate(NODES_PER_RUNNER);
}

/// How often loads are asked for and passed on, where few nodes do it every `base`. Where runners
/// have their full number of sharers, a node sends and receives up to 14 KB/s at a second's period,
/// more than it may; at two seconds it is half of that. The choice of runners does not suffer: it is
/// as good with reports five seconds late as with one (docs/design/choosing.md).
pub fn load_period(nodes: usize, base: Duration) -> Duration {
    if nodes > NODES_PER_RUNNER { base * 2 } else { base }
}

/// The node that has a duty among `nodes`, by rendezvous hashing.
pub fn duty_node<'a>(duty: &str, nodes: impl Iterator<Item = &'a Name>) -> Option<&'a Name> {
    let duty = stable_hash(ASSIGNMENT_SEED, duty.as_bytes());
    nodes.max_by_key(|n| rendezvous_weight(duty, n.as_str().as_bytes()))
}

/// The first `count` nodes for a duty, the first in charge.
pub fn duty_nodes<'a>(
    duty: &str,
    nodes: impl Iterator<Item = &'a Name>,
    count: usize,
) -> Vec<&'a Name> {
    let duty = stable_hash(ASSIGNMENT_SEED, duty.as_bytes());
    let mut ranked: Vec<&Name> = nodes.collect();
    ranked
        .sort_by_cached_key(|n| std::cmp::Reverse(rendezvous_weight(duty, n.as_str().as_bytes())));
    ranked.truncate(count);
    ranked
}
