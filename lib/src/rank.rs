//! Ranking of nodes for a task. Nodes that know the same members compute the same ranking.

use smallvec::SmallVec;

use crate::hash::{rendezvous_weight, stable_hash};
use crate::id::NodeId;

/// The weight of a node for a task; the highest comes first.
pub fn weight(duty: &str, node: &NodeId) -> u64 {
    rendezvous_weight(stable_hash(0, duty.as_bytes()), node.as_str().as_bytes())
}

/// The `count` highest ranked of `nodes` for a task, in order.
pub fn highest_ranked<T>(
    duty: &str,
    nodes: impl IntoIterator<Item = T>,
    id: impl Fn(&T) -> &NodeId,
    count: usize,
) -> SmallVec<[T; 2]> {
    highest_for_key(stable_hash(0, duty.as_bytes()), nodes, id, count)
}

/// The `count` highest ranked of `nodes` for a key, in order.
pub fn highest_for_key<T>(
    key: u64,
    nodes: impl IntoIterator<Item = T>,
    id: impl Fn(&T) -> &NodeId,
    count: usize,
) -> SmallVec<[T; 2]> {
    let mut ranked: SmallVec<[(u64, T); 4]> = SmallVec::new();
    for node in nodes {
        let weight = rendezvous_weight(key, id(&node).as_str().as_bytes());
        let index = ranked.iter().position(|(other, _)| *other < weight).unwrap_or(ranked.len());
        if index < count {
            ranked.insert(index, (weight, node));
            ranked.truncate(count);
        }
    }
    ranked.into_iter().map(|(_, node)| node).collect()
}
