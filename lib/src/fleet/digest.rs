//! Detects by the digests in heartbeats that the replicated state of nodes differs, so that they
//! compare it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::id::NodeId;

/// How long another node's digest must differ before the nodes compare, and the minimum time
/// between two comparisons. Updates reach all nodes within a tenth of it.
const MIN_DIFFERENCE: Duration = Duration::from_secs(1);
/// The maximum number of differing nodes that are tracked: many more than send heartbeats to one
/// node.
const MAX_TRACKED: usize = 64;

/// The nodes whose digests differ from this node's, and since when. Each node is timed separately,
/// as a node that has missed an update is the only one to differ.
#[derive(Clone, Debug, Default)]
pub struct Differences {
    since: HashMap<NodeId, Instant>,
    compared: Option<Instant>,
}

impl Differences {
    /// Records whether the digest of a node equals this node's. Returns whether it is time to
    /// compare with that node.
    pub fn note(&mut self, node: &NodeId, same: bool, now: Instant) -> bool {
        if same {
            self.since.remove(node);
            return false;
        }
        if self.since.len() >= MAX_TRACKED && !self.since.contains_key(node) {
            self.since.clear();
        }
        let lasts = |at: Instant| now.saturating_duration_since(at) >= MIN_DIFFERENCE;
        let since = *self.since.entry(node.clone()).or_insert(now);
        let due = lasts(since) && self.compared.is_none_or(lasts);
        if due {
            self.compared = Some(now);
        }
        due
    }
}
