//! The counts of all nodes, as one that collects them has them.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use super::tally::{Count, KEPT};
use super::window::{Counts, Windows};
use crate::id::{Incarnation, NodeId, Window};

/// The share of the nodes whose counts of a window may be lost for it still to be reported: a count
/// may be off by a twentieth.
pub const MOST_LOST: f64 = 0.05;

/// One life of a node, as its own and other nodes know it. Times are since the start of 1970.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Life {
    /// The node.
    pub node: NodeId,
    /// The life.
    pub incarnation: Incarnation,
    /// When it began.
    pub since: Duration,
    /// When it was found to be gone; none while it is there.
    pub gone: Option<Duration>,
}

/// A window as far as it is known.
#[derive(Clone, Debug, PartialEq)]
pub struct Total {
    /// The counts.
    pub counts: Counts,
    /// How many nodes there are.
    pub nodes: usize,
    /// Of how many of them counts may be lost.
    pub lost: usize,
}

impl Total {
    /// Whether it is known well enough to be reported.
    pub fn is_complete(&self) -> bool {
        self.lost as f64 <= self.nodes as f64 * MOST_LOST
    }
}

type Lives = HashMap<(NodeId, Incarnation), Counts>;

/// The counts of all nodes.
#[derive(Debug)]
pub struct Collection {
    /// When this node's own life began, since the start of 1970.
    since: Duration,
    windows: BTreeMap<Window, Lives>,
    /// The lives that are or were known, and whether they have told anything.
    known: HashMap<(NodeId, Incarnation), bool>,
}

impl Collection {
    /// An empty collection of a node whose life began at `since`, since the start of 1970.
    pub fn new(since: Duration) -> Self {
        Self { since, windows: BTreeMap::new(), known: HashMap::new() }
    }

    /// Takes what one life of a node has counted. Counts only grow.
    pub fn take(&mut self, node: &NodeId, incarnation: Incarnation, counts: Vec<Count>) {
        self.known.insert((node.clone(), incarnation), true);
        for Count { window, account, requests } in counts {
            let lives = self.windows.entry(window).or_default();
            let known = lives.entry((node.clone(), incarnation)).or_default();
            let known = known.entry(account).or_default();
            *known = requests.max(*known);
        }
    }

    /// Takes in which lives there are, and drops windows that are too old at `newest`.
    pub fn note(&mut self, newest: Window, lives: &[Life]) {
        self.windows.retain(|window, _| window.0 + KEPT > newest.0);
        let nodes: HashSet<&NodeId> = lives.iter().map(|life| &life.node).collect();
        self.known.retain(|(node, _), _| nodes.contains(node));
        for life in lives {
            self.known.entry((life.node.clone(), life.incarnation)).or_default();
        }
    }

    /// A window in all. `own` is what this node has counted, `lives` are all that are known.
    pub fn total(
        &self,
        windows: Windows,
        window: Window,
        own: Option<&Counts>,
        lives: &[Life],
    ) -> Total {
        let told = self.windows.get(&window);
        let mut counts = Counts::new();
        for one in told.into_iter().flat_map(HashMap::values).chain(own) {
            for (account, requests) in one {
                *counts.entry(account.clone()).or_default() += requests;
            }
        }
        let start = windows.start(window);
        let lost = lives.iter().filter(|life| self.may_be_lost(start, life)).count();
        Total { counts, nodes: lives.len(), lost }
    }

    /// Whether counts of a node in a window that began at `start` may have been lost: those of its
    /// present life, if that is gone, or of one before it.
    fn may_be_lost(&self, start: Duration, life: &Life) -> bool {
        let has_told = |incarnation| {
            self.known.get(&(life.node.clone(), incarnation)).copied().unwrap_or_default()
        };
        if life.gone.is_some_and(|gone| gone >= start) && !has_told(life.incarnation) {
            return true;
        }
        if life.since <= start {
            return false;
        }
        let of_node = self.known.keys().filter(|(node, _)| *node == life.node);
        let before = of_node.map(|(_, incarnation)| *incarnation).filter(|i| *i < life.incarnation);
        match before.max() {
            Some(before) => !has_told(before),
            // A node that is new, as far as one can know that was there before.
            None => self.since > start,
        }
    }
}
