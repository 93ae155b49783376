//! The counts of all nodes, as one that collects them has them.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use super::tally::{Message, NodeInstance, RETAINED_WINDOWS};
use super::window::{Counts, Windows};
use crate::id::{Incarnation, NodeId, Window};

/// The share of the nodes whose counts of a window may be missing for it still to be reported. A count
/// may be off by a twentieth, and nodes do not all count the same.
pub const MOST_MISSING: f64 = 0.03;
/// How long after its end a window waits for the counts of all nodes.
const FOR_ALL: Duration = Duration::from_secs(3);
/// How long after its end a window waits for the counts of nearly all nodes; what is later is of less
/// use to the platform.
const FOR_MOST: Duration = Duration::from_millis(6_500);
/// What a node that has ended had counted and not yet sent, in time: a little more than the pause
/// between two messages.
const UNSENT: Duration = Duration::from_millis(300);
/// A node that is silent for so long has ended, and not merely been cut off.
const ENDED: Duration = Duration::from_secs(20);

/// The most lives of one node that are remembered: more than start within the windows that are kept.
const MOST_LIVES: usize = 16;

/// One life of a node, as its own and other nodes know it. Times are since the start of 1970.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeLifetime {
    /// The node.
    pub node: NodeId,
    /// The life.
    pub incarnation: Incarnation,
    /// When it began.
    pub started_at: Duration,
    /// When it was found to be gone; none while it is there.
    pub lost_at: Option<Duration>,
}

/// What is to be done with a window that has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It is reported.
    Settle,
    /// Counts may still come.
    Wait,
    /// It is not reported, as it would be false.
    Skip,
}

/// A window as far as it is known.
#[derive(Clone, Debug, PartialEq)]
pub struct Total {
    /// The counts.
    pub counts: Counts,
    /// How many nodes there are.
    pub nodes: usize,
    /// Of how many of them counts may be missing; parts where only the last counts of one may.
    pub missing: f64,
}

impl Total {
    /// What is to be done `after` the end of the window.
    pub fn verdict(&self, after: Duration) -> Verdict {
        if self.missing == 0.0 {
            return Verdict::Settle;
        }
        let is_bearable = self.missing <= self.nodes as f64 * MOST_MISSING;
        match is_bearable {
            true if after >= FOR_ALL => Verdict::Settle,
            false if after >= FOR_MOST => Verdict::Skip,
            _ => Verdict::Wait,
        }
    }
}

type Lives = HashMap<(NodeId, Incarnation), Counts>;

/// What is known of a life.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    /// When it began.
    since: Duration,
    /// When it was found silent; none while it is there.
    silent: Option<Duration>,
    /// When the next life of its node began.
    replaced: Option<Duration>,
    /// When it last told its counts.
    heard: Option<Duration>,
    /// All its counts of the windows before this one are here.
    complete: Window,
}

/// The counts of all nodes. Times are since the start of 1970.
#[derive(Debug)]
pub struct Collection {
    me: NodeInstance,
    /// When this node's own life began.
    since: Duration,
    windows: BTreeMap<Window, Lives>,
    /// The lives of each node, oldest first.
    known: HashMap<NodeId, BTreeMap<Incarnation, Known>>,
}

impl Collection {
    /// An empty collection of a node whose life began at `since`.
    pub fn new(me: NodeInstance, since: Duration) -> Self {
        Self { me, since, windows: BTreeMap::new(), known: HashMap::new() }
    }

    /// Takes what one life of a node has counted. Counts only grow.
    pub fn apply(&mut self, from: &NodeInstance, message: Message, now: Duration) {
        let key = (from.node.clone(), from.incarnation);
        let lives = self.known.entry(from.node.clone()).or_default();
        let life = lives.entry(from.incarnation).or_default();
        life.heard = Some(now);
        life.complete = life.complete.max(message.complete);
        for count in message.counts {
            let lives = self.windows.entry(count.window).or_default();
            let known = lives.entry(key.clone()).or_default().entry(count.account).or_default();
            *known = count.requests.max(*known);
        }
    }

    /// Takes in which lives there are, and drops windows that are too old at `newest`.
    pub fn update_lifetimes(&mut self, newest: Window, lives: &[NodeLifetime]) {
        self.windows.retain(|window, _| window.0 + RETAINED_WINDOWS > newest.0);
        let nodes: HashSet<&NodeId> = lives.iter().map(|life| &life.node).collect();
        self.known.retain(|node, _| nodes.contains(node));
        for life in lives {
            let lives = self.known.entry(life.node.clone()).or_default();
            let known = lives.entry(life.incarnation).or_default();
            known.since = life.started_at;
            known.silent = life.lost_at;
            for former in lives.range_mut(..life.incarnation).map(|(_, former)| former) {
                former.replaced.get_or_insert(life.started_at);
            }
            while lives.len() > MOST_LIVES {
                lives.pop_first();
            }
        }
    }

    /// A window in all, at `now`. `own` is what this node has counted, `lives` are all that are known.
    pub fn total(
        &self,
        windows: Windows,
        window: Window,
        own: Option<&Counts>,
        lives: &[NodeLifetime],
        now: Duration,
    ) -> Total {
        let told = self.windows.get(&window);
        let mut counts = Counts::new();
        for one in told.into_iter().flat_map(HashMap::values).chain(own) {
            for (account, requests) in one {
                *counts.entry(account.clone()).or_default() += requests;
            }
        }
        let all = self.known.iter().flat_map(|(node, lives)| lives.iter().map(move |l| (node, l)));
        let is_me =
            |node: &NodeId, life: Incarnation| *node == self.me.node && life == self.me.incarnation;
        let others = all.filter(|(node, (incarnation, _))| !is_me(node, **incarnation));
        let of_known = others.map(|(_, (_, life))| missing(life, windows, window, now));
        let unknown = lives.iter().filter(|life| self.may_follow_unknown(windows, window, life));
        let missing = of_known.sum::<f64>() + unknown.count() as f64;
        Total { counts, nodes: lives.len(), missing }
    }

    /// Whether a life that began within a window or later may follow one that this node never knew, as
    /// it began that late itself.
    fn may_follow_unknown(&self, windows: Windows, window: Window, life: &NodeLifetime) -> bool {
        let start = windows.start(window);
        let is_first = || {
            let known = self.known.get(&life.node);
            known.is_none_or(|lives| lives.range(..life.incarnation).next().is_none())
        };
        life.started_at > start && self.since > start && is_first()
    }
}

/// Which part of a node's counts of a window may be missing, of one life of it.
fn missing(life: &Known, windows: Windows, window: Window, now: Duration) -> f64 {
    let (start, end) = (windows.start(window), windows.end(window));
    let silent_for_long = life.silent.filter(|since| now >= *since + ENDED);
    let ended = life.replaced.or(silent_for_long);
    let is_elsewhere = life.since >= end || ended.is_some_and(|ended| ended <= start);
    if life.complete > window || is_elsewhere {
        return 0.0;
    }
    let Some(ended) = ended else { return 1.0 };
    // From when it was last heard until the next life began it may have been cut off and have counted on.
    let from = life.heard.unwrap_or_default().max(start);
    let unheard = ended.min(end).saturating_sub(from).max(UNSENT);
    (unheard.as_secs_f64() / windows.length().as_secs_f64()).min(1.0)
}
