//! Finding out by the digests in beats that what nodes know differs, so that they compare it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::id::NodeId;

/// How long another node's digest must have differed, and the least pause between two comparisons.
/// What is new reaches all within a tenth of it.
const DIFFERENCE: Duration = Duration::from_secs(1);
/// The most nodes that are remembered to differ: many more than beat to one.
const MOST: usize = 64;

/// Which nodes' digests differ from this one's, and since when. Each node's is timed by itself: one
/// that has missed something says so alone, among many that have not.
#[derive(Clone, Debug, Default)]
pub struct Differences {
    since: HashMap<NodeId, Instant>,
    compared: Option<Instant>,
}

impl Differences {
    /// Notes whether the digest of a node is the same as this one's. True if it is time to compare
    /// with that node.
    pub fn note(&mut self, node: &NodeId, same: bool, now: Instant) -> bool {
        if same {
            self.since.remove(node);
            return false;
        }
        if self.since.len() >= MOST && !self.since.contains_key(node) {
            self.since.clear();
        }
        let lasts = |at: Instant| now.saturating_duration_since(at) >= DIFFERENCE;
        let since = *self.since.entry(node.clone()).or_insert(now);
        let due = lasts(since) && self.compared.is_none_or(lasts);
        if due {
            self.compared = Some(now);
        }
        due
    }
}
