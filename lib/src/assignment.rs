//! Assignment of runners and tasks to nodes.
//!
//! If every node received the load of all 1,600 runners each second, reports of about 24 bytes
//! would add up to 38 KB/s, three times a node's network budget. So each runner is used by a fixed
//! number of nodes, chosen by rendezvous hashing. The first of them, the observer, queries the
//! runner's load and forwards it to the others. When a node joins or leaves, only its own
//! assignments move.

use std::time::Duration;

use crate::hash::{rendezvous_weight, stable_hash};
use crate::id::Name;

/// How many nodes use one runner. With 550 nodes and 1,600 runners, a node uses 64 runners.
pub const NODES_PER_RUNNER: usize = 22;

const ASSIGNMENT_SEED: u64 = 0x7375_7070;

/// Determines the nodes that use `runner`, the observer first. The contents of `out` are replaced,
/// so that the caller can reuse its allocation.
pub fn assign_nodes<'a>(runner: &Name, nodes: &'a [Name], out: &mut Vec<&'a Name>) {
    let duty = stable_hash(ASSIGNMENT_SEED, runner.as_str().as_bytes());
    out.clear();
    out.extend(nodes.iter());
    out.sort_by_cached_key(|n| std::cmp::Reverse(rendezvous_weight(duty, n.as_str().as_bytes())));
    out.truncate(NODES_PER_RUNNER);
}

/// How often loads are queried and forwarded. `base` is the period in a small cluster. With
/// [`NODES_PER_RUNNER`] nodes per runner, a node sends and receives up to 14 KB/s at a period of
/// one second, which exceeds its budget; two seconds halve that. The choice of runners is equally
/// good with reports that are five seconds late as with one (docs/design/choosing.md).
pub fn load_period(nodes: usize, base: Duration) -> Duration {
    if nodes > NODES_PER_RUNNER { base * 2 } else { base }
}

/// The node in charge of a task among `nodes`, by rendezvous hashing.
pub fn duty_node<'a>(duty: &str, nodes: impl Iterator<Item = &'a Name>) -> Option<&'a Name> {
    let duty = stable_hash(ASSIGNMENT_SEED, duty.as_bytes());
    nodes.max_by_key(|n| rendezvous_weight(duty, n.as_str().as_bytes()))
}

/// The first `count` nodes for a task; the first one is in charge.
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
