//! The memory of a runner that a node may use without asking the scheduler of its pool.
//!
//! A node that decides alone does not know what the others send at the same time. If each keeps to
//! its share, all together never send a runner more than it can hold. A few nodes of each runner,
//! chosen by rendezvous hashing, have a large share, so that large work finds a runner at every
//! node; with equal shares it would find none at any.

use crate::hash::{rendezvous_weight, stable_hash};
use crate::id::{NodeId, RunnerId};

/// The number of nodes with a large share of a runner. With as many runners as nodes, one node in
/// 3,000 has a large share of none.
const MAIN_NODES: usize = 8;
/// The part of the memory that is divided among them; the other nodes share the rest.
const MAIN_PART: f64 = 0.8;

/// The fraction of a runner's memory that the node `me` may use, by its own count, while it decides
/// alone. `others` are all other nodes that may do so.
pub fn share<'a>(runner: &RunnerId, me: &NodeId, others: impl Iterator<Item = &'a NodeId>) -> f64 {
    let key = stable_hash(0, runner.as_str().as_bytes());
    let weight = |id: &NodeId| rendezvous_weight(key, id.as_str().as_bytes());
    let mine = weight(me);
    let (mut nodes, mut before) = (1, 0);
    for other in others {
        nodes += 1;
        before += usize::from((weight(other), other) > (mine, me));
    }
    if nodes <= MAIN_NODES {
        return 1.0 / nodes as f64;
    }
    if before < MAIN_NODES {
        MAIN_PART / MAIN_NODES as f64
    } else {
        (1.0 - MAIN_PART) / (nodes - MAIN_NODES) as f64
    }
}
