//! The counts of all nodes as known to a collector.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use super::tally::{Message, NodeInstance, RETAINED_WINDOWS};
use super::window::{Counts, Windows};
use crate::id::{Incarnation, NodeId, Window};

/// The share of nodes whose counts may be missing from a window that is still reported. A reported
/// count may be off by 5 %, and the load is not spread evenly over the nodes.
pub const MAX_MISSING_SHARE: f64 = 0.03;
/// How long after its end a window waits for the counts of all nodes that are not silent.
const ALL_NODES_TIMEOUT: Duration = Duration::from_secs(3);
/// How long after its end a window waits for the missing share to fall to [`MAX_MISSING_SHARE`]. A
/// later report is of less use to the platform.
const MOST_NODES_TIMEOUT: Duration = Duration::from_millis(6_500);
/// How long after its end a window waits for counts of nodes that are present but were late to send
/// them, for instance because the collectors changed while the store was away.
const LATE_NODES_TIMEOUT: Duration = Duration::from_millis(9_200);
/// The time span of counts that a terminated node may not have sent: slightly more than the interval
/// between two messages.
const MAX_UNSENT: Duration = Duration::from_millis(300);
/// A node that has been silent for this long is considered terminated rather than partitioned.
const TERMINATED_AFTER: Duration = Duration::from_secs(20);

/// The maximum number of incarnations remembered per node: more than can start within the retained
/// windows.
const MAX_INCARNATIONS: usize = 16;

/// One incarnation of a node as known to this node and others. Times are durations since the Unix
/// epoch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeLifetime {
    /// The node.
    pub node: NodeId,
    /// The incarnation of the node.
    pub incarnation: Incarnation,
    /// When it started.
    pub started_at: Duration,
    /// When it was detected as silent; `None` while it is alive.
    pub lost_at: Option<Duration>,
}

/// What to do with a window that has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Settle and report it.
    Settle,
    /// Wait, as counts may still arrive.
    Wait,
    /// Do not report it, as the counts would be wrong.
    Skip,
}

/// The known total of a window.
#[derive(Clone, Debug, PartialEq)]
pub struct Total {
    /// The counts over all nodes.
    pub counts: Counts,
    /// The number of nodes.
    pub nodes: usize,
    /// The number of nodes whose counts may be missing; fractional where only the last part of a
    /// node's counts may be.
    pub missing: f64,
    /// Whether counts may still arrive from nodes that are neither silent nor replaced.
    pub is_awaited: bool,
}

impl Total {
    /// Decides what to do with the window at the time `after` its end.
    pub fn verdict(&self, after: Duration) -> Verdict {
        if self.missing == 0.0 {
            return Verdict::Settle;
        }
        let is_tolerable = self.missing <= self.nodes as f64 * MAX_MISSING_SHARE;
        match is_tolerable {
            true if after >= ALL_NODES_TIMEOUT || !self.is_awaited => Verdict::Settle,
            false if after >= LATE_NODES_TIMEOUT => Verdict::Skip,
            false if after >= MOST_NODES_TIMEOUT && !self.is_awaited => Verdict::Skip,
            _ => Verdict::Wait,
        }
    }
}

type CountsByInstance = HashMap<(NodeId, Incarnation), Counts>;

/// The state of one incarnation of a node.
#[derive(Clone, Copy, Debug, Default)]
struct InstanceState {
    /// When it started.
    started_at: Duration,
    /// When it was detected as silent; `None` while it is alive.
    silent_since: Option<Duration>,
    /// When the next incarnation of its node started.
    replaced_at: Option<Duration>,
    /// When its last message arrived.
    last_message_at: Option<Duration>,
    /// All its counts of the windows before this one have arrived.
    complete: Window,
}

impl InstanceState {
    /// Whether it is neither silent nor replaced by a later incarnation.
    fn is_present(&self) -> bool {
        self.silent_since.is_none() && self.replaced_at.is_none()
    }
}

/// The counts of all nodes. Times are durations since the Unix epoch.
#[derive(Debug)]
pub struct Collection {
    me: NodeInstance,
    /// When this node's own incarnation started.
    started_at: Duration,
    windows: BTreeMap<Window, CountsByInstance>,
    /// The incarnations of each node, oldest first.
    instances: HashMap<NodeId, BTreeMap<Incarnation, InstanceState>>,
}

impl Collection {
    /// An empty collection of the node `me`, whose incarnation started at `started_at`.
    pub fn new(me: NodeInstance, started_at: Duration) -> Self {
        Self { me, started_at, windows: BTreeMap::new(), instances: HashMap::new() }
    }

    /// Applies a message from one incarnation of a node. Counts only grow.
    pub fn apply(&mut self, from: &NodeInstance, message: Message, now: Duration) {
        let key = (from.node.clone(), from.incarnation);
        let incarnations = self.instances.entry(from.node.clone()).or_default();
        let state = incarnations.entry(from.incarnation).or_default();
        state.last_message_at = Some(now);
        state.complete = state.complete.max(message.complete);
        for count in message.counts {
            let instances = self.windows.entry(count.window).or_default();
            let known = instances.entry(key.clone()).or_default().entry(count.account).or_default();
            *known = count.requests.max(*known);
        }
    }

    /// Updates the known incarnations, and drops windows that are no longer retained at `newest`.
    pub fn update_lifetimes(&mut self, newest: Window, lifetimes: &[NodeLifetime]) {
        self.windows.retain(|window, _| window.0 + RETAINED_WINDOWS > newest.0);
        let nodes: HashSet<&NodeId> = lifetimes.iter().map(|lifetime| &lifetime.node).collect();
        self.instances.retain(|node, _| nodes.contains(node));
        for lifetime in lifetimes {
            let incarnations = self.instances.entry(lifetime.node.clone()).or_default();
            let state = incarnations.entry(lifetime.incarnation).or_default();
            state.started_at = lifetime.started_at;
            state.silent_since = lifetime.lost_at;
            for former in incarnations.range_mut(..lifetime.incarnation).map(|(_, former)| former) {
                former.replaced_at.get_or_insert(lifetime.started_at);
            }
            while incarnations.len() > MAX_INCARNATIONS {
                incarnations.pop_first();
            }
        }
    }

    /// The total of a window at `now`. `own` are the counts of this node, and `lifetimes` are all known
    /// nodes.
    pub fn total(
        &self,
        windows: Windows,
        window: Window,
        own: Option<&Counts>,
        lifetimes: &[NodeLifetime],
        now: Duration,
    ) -> Total {
        let received = self.windows.get(&window);
        let mut counts = Counts::new();
        for one in received.into_iter().flat_map(HashMap::values).chain(own) {
            for (account, requests) in one {
                *counts.entry(account.clone()).or_default() += requests;
            }
        }
        let all =
            self.instances.iter().flat_map(|(node, states)| states.iter().map(move |s| (node, s)));
        let is_me = |node: &NodeId, incarnation: Incarnation| {
            *node == self.me.node && incarnation == self.me.incarnation
        };
        let others = all.filter(|(node, (incarnation, _))| !is_me(node, **incarnation));
        let mut is_awaited = false;
        let of_known = others.map(|(_, (_, state))| {
            let share = missing_share(state, windows, window, now);
            is_awaited |= share > 0.0 && state.is_present();
            share
        });
        let unknown =
            lifetimes.iter().filter(|lifetime| self.may_follow_unknown(windows, window, lifetime));
        let missing = of_known.sum::<f64>() + unknown.count() as f64;
        Total { counts, nodes: lifetimes.len(), missing, is_awaited }
    }

    /// Whether `lifetime` may have replaced an incarnation with counts in `window` that this node never
    /// learned of. This is possible when both it and this node started after the window began.
    fn may_follow_unknown(
        &self,
        windows: Windows,
        window: Window,
        lifetime: &NodeLifetime,
    ) -> bool {
        let start = windows.start(window);
        let is_first = || {
            let known = self.instances.get(&lifetime.node);
            known.is_none_or(|states| states.range(..lifetime.incarnation).next().is_none())
        };
        lifetime.started_at > start && self.started_at > start && is_first()
    }
}

/// The share of a window for which counts of one incarnation may be missing.
fn missing_share(state: &InstanceState, windows: Windows, window: Window, now: Duration) -> f64 {
    let (start, end) = (windows.start(window), windows.end(window));
    let terminated = state.silent_since.filter(|since| now >= *since + TERMINATED_AFTER);
    let ended_at = state.replaced_at.or(terminated);
    let is_elsewhere = state.started_at >= end || ended_at.is_some_and(|ended| ended <= start);
    if state.complete > window || is_elsewhere {
        return 0.0;
    }
    let Some(ended) = ended_at else { return 1.0 };
    // Between its last message and the start of the next incarnation it may have been partitioned
    // and have continued to count.
    let from = state.last_message_at.unwrap_or_default().max(start);
    let unreported = ended.min(end).saturating_sub(from).max(MAX_UNSENT);
    (unreported.as_secs_f64() / windows.length().as_secs_f64()).min(1.0)
}
