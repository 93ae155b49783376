//! Which nodes come first for a duty, alike at all nodes that know the same others.

use smallvec::SmallVec;

use crate::hash::{rendezvous_weight, stable_hash};
use crate::id::NodeId;

/// The weight of a node for a duty; the node with the highest comes first.
pub fn weight(duty: &str, node: &NodeId) -> u64 {
    rendezvous_weight(stable_hash(0, duty.as_bytes()), node.as_str().as_bytes())
}

/// The first `count` of `nodes` for a duty, the very first in front.
pub fn highest_ranked<T>(
    duty: &str,
    nodes: impl IntoIterator<Item = T>,
    id: impl Fn(&T) -> &NodeId,
    count: usize,
) -> SmallVec<[T; 2]> {
    let mut first: SmallVec<[(u64, T); 4]> = SmallVec::new();
    for node in nodes {
        let weight = weight(duty, id(&node));
        let at = first.iter().position(|(other, _)| *other < weight).unwrap_or(first.len());
        if at < count {
            first.insert(at, (weight, node));
            first.truncate(count);
        }
    }
    first.into_iter().map(|(_, node)| node).collect()
}
