//! Nodes, releases, callers and the network between nodes.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use sardinepick_lib::fleet::stream_binding::history::NEW_VERSION_DELAY;
use sardinepick_lib::fleet::stream_binding::{
    Binding, Bindings, Bound, Evidence, Known, StreamKey, holders, horizon_of, nodes_to_ask,
};
use sardinepick_lib::fleet::version::Version;
use sardinepick_lib::id::{Incarnation, NodeId, ServiceId};

/// How long a schedule lasts, and how often a node observes the register, in milliseconds.
const END_MS: u64 = 40_000;
const TICK_MS: u64 = 250;
/// The deadline of callers, from their first attempt.
const DEADLINE_MS: u64 = 5_000;
/// The timeouts of routes in schedules with a loss of all nodes. Some callers wait for as long.
const LOSS_TIMEOUTS_MS: [u64; 3] = [DEADLINE_MS, 14_000, 25_000];
/// How long a dead node is still believed to be ready.
const DETECTION_MS: u64 = 1_500;
/// How long a node waits for replies in all.
const REPLY_MS: u64 = 50;

/// What is broken on purpose.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Variant {
    /// Nothing.
    None,
    /// Bindings stay at the node that began the stream.
    NotShared,
    /// The only version of the register now is taken for that of all streams.
    NoHistory,
    /// A stream is bound to the version at which it was placed first.
    BoundAtPlacement,
    /// A stream of unknown version goes on at any.
    UnknownIsAny,
}

/// Sums over schedules.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stats {
    /// Streams taken up.
    pub taken_up: u64,
    /// Those that went on.
    pub went_on: u64,
    /// Those whose version was known from the history of versions.
    pub from_history: u64,
    /// Those that were refused because their version was not known.
    pub unknown: u64,
    /// Those that began before the last loss of all nodes, whose version had left by then.
    pub orphaned: u64,
}

impl Stats {
    /// Adds the sums of a schedule.
    pub fn add(&mut self, other: &Stats) {
        self.taken_up += other.taken_up;
        self.went_on += other.went_on;
        self.from_history += other.from_history;
        self.unknown += other.unknown;
        self.orphaned += other.orphaned;
    }
}

struct Node {
    id: NodeId,
    bindings: Bindings,
    alive: bool,
    died_at: u64,
    started_at: u64,
    frozen_until: u64,
    /// How far its copy of the register lags, and since when it stands still.
    lag: u64,
    stale_since: Option<u64>,
}

/// A stream of a caller.
#[derive(Clone, Debug)]
struct Stream {
    name: String,
    key: StreamKey,
    /// The version of its events so far.
    version: Option<Version>,
    began: u64,
    /// The deadline of its caller, since it began.
    deadline: u64,
    tries: u32,
}

enum Event {
    Tick(usize),
    Begin,
    Generated { node: usize, stream: Stream, placed: Version, runs: Version },
    Break { node: usize, stream: Stream },
    TakeUp { stream: Stream },
    Report { to: usize, bound: Bound },
    Release,
    Kill,
    Restart(usize),
    Freeze,
    Stale,
    Fresh(usize),
    Cut,
    Heal,
    Loss,
}

/// A schedule in progress.
pub struct World {
    variant: Variant,
    rng: StdRng,
    base: Instant,
    now: u64,
    order: u64,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<Event>>,
    nodes: Vec<Node>,
    /// The registered versions from each time on.
    registered: Vec<(u64, BTreeSet<Version>)>,
    versions: Vec<Version>,
    cut: BTreeSet<(usize, usize)>,
    loss: f64,
    /// The timeout of the route.
    timeout: u64,
    /// The share of callers whose deadline is the route's timeout.
    patient: f64,
    /// Whether callers take a stream up again that was refused.
    retries_refused: bool,
    /// When all nodes were lost.
    lost_at: u64,
    /// Until when a node was cut off, frozen or behind.
    disturbed_until: u64,
    streams: u64,
    /// Sums.
    pub stats: Stats,
    /// What must not happen.
    pub violations: Vec<String>,
}

fn service() -> ServiceId {
    "telraad".parse().expect("an id")
}

impl World {
    /// Draws a schedule.
    pub fn new(variant: Variant, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let nodes = rng.random_range(2..=6);
        let versions: Vec<Version> = ["v1", "v2", "v3"][..rng.random_range(2..=3)]
            .iter()
            .map(|v| v.parse().expect("a version"))
            .collect();
        let loss = if rng.random_bool(0.5) { 0.0 } else { rng.random_range(0.0..0.1) };
        let node = |at: usize, rng: &mut StdRng| Node {
            id: format!("edge-{at}").parse().expect("a name"),
            bindings: Bindings::default(),
            alive: true,
            died_at: 0,
            started_at: 0,
            frozen_until: 0,
            lag: rng.random_range(0..400),
            stale_since: None,
        };
        let nodes: Vec<Node> = (0..nodes).map(|at| node(at, &mut rng)).collect();
        let first = versions.first().cloned().into_iter().collect();
        let mut world = Self {
            variant,
            base: Instant::now(),
            now: 0,
            order: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            nodes,
            registered: vec![(0, first)],
            versions,
            cut: BTreeSet::new(),
            loss,
            timeout: DEADLINE_MS,
            patient: 0.0,
            retries_refused: false,
            lost_at: 0,
            disturbed_until: 0,
            streams: 0,
            stats: Stats::default(),
            violations: Vec::new(),
            rng,
        };
        for at in 0..world.nodes.len() {
            world.at(at as u64 * 40, Event::Tick(at));
        }
        for _ in 0..60 {
            let at = world.rng.random_range(100..END_MS - DEADLINE_MS);
            world.at(at, Event::Begin);
        }
        for (count, event) in [(5, 0), (3, 1), (2, 2), (2, 3), (2, 4)] {
            for _ in 0..world.rng.random_range(0..=count) {
                let at = world.rng.random_range(500..END_MS);
                let event = match event {
                    0 => Event::Release,
                    1 => Event::Kill,
                    2 => Event::Freeze,
                    3 => Event::Stale,
                    _ => Event::Cut,
                };
                world.at(at, event);
            }
        }
        world
    }

    /// Draws a schedule in which all nodes are lost at least once, each time as the runners of all
    /// versions but one leave, and in which callers wait for longer.
    pub fn with_loss(variant: Variant, seed: u64) -> Self {
        let mut world = Self::new(variant, seed);
        world.timeout = LOSS_TIMEOUTS_MS[world.rng.random_range(0..LOSS_TIMEOUTS_MS.len())];
        world.patient = world.rng.random_range(0.1..1.0);
        world.retries_refused = true;
        for _ in 0..world.rng.random_range(1..=2) {
            let at = world.rng.random_range(2_000..END_MS / 2);
            world.at(at, Event::Loss);
        }
        world
    }

    fn at(&mut self, at: u64, event: Event) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order, self.events.len())));
        self.events.push(Some(event));
    }

    fn after(&mut self, range: std::ops::Range<u64>, event: Event) {
        let at = self.now + self.rng.random_range(range);
        self.at(at, event);
    }

    fn instant(&self, at: u64) -> Instant {
        self.base + Duration::from_millis(at)
    }

    /// Plays the schedule to its end.
    pub fn play(&mut self) {
        while let Some(Reverse((at, _, index))) = self.queue.pop() {
            if at > END_MS {
                return;
            }
            self.now = at;
            if let Some(event) = self.events[index].take() {
                self.handle(event);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(at) => self.tick(at),
            Event::Begin => self.begin(),
            Event::Generated { node, stream, placed, runs } => {
                self.first_event(node, stream, placed, runs);
            }
            Event::Break { node, stream } => self.break_off(node, stream),
            Event::TakeUp { stream } => self.take_up(stream),
            Event::Report { to, bound } => self.report(to, bound),
            Event::Release => self.release(),
            Event::Kill => self.kill(),
            Event::Restart(at) => self.restart(at),
            Event::Freeze => {
                let at = self.rng.random_range(0..self.nodes.len());
                self.nodes[at].frozen_until = self.now + self.rng.random_range(500..6_000);
                self.disturbed_until = self.disturbed_until.max(self.nodes[at].frozen_until);
            }
            Event::Stale => {
                let at = self.rng.random_range(0..self.nodes.len());
                self.nodes[at].stale_since = Some(self.now);
                let until = self.now + self.rng.random_range(1_000..12_000);
                self.disturbed_until = self.disturbed_until.max(until);
                self.at(until, Event::Fresh(at));
            }
            Event::Fresh(at) => self.nodes[at].stale_since = None,
            Event::Cut => {
                let at = self.rng.random_range(0..self.nodes.len());
                let others = (0..self.nodes.len()).filter(|other| *other != at);
                self.cut.extend(others.flat_map(|other| [(at, other), (other, at)]));
                let until = self.now + self.rng.random_range(500..6_000);
                self.disturbed_until = self.disturbed_until.max(until);
                self.at(until, Event::Heal);
            }
            Event::Heal => self.cut.clear(),
            Event::Loss => self.lose(),
        }
    }

    fn runs(&self, at: usize) -> bool {
        self.nodes[at].alive && self.now >= self.nodes[at].frozen_until
    }

    /// The versions in a node's copy of the register.
    fn view(&self, at: usize) -> &BTreeSet<Version> {
        let node = &self.nodes[at];
        let as_of = node.stale_since.unwrap_or(self.now).min(self.now.saturating_sub(node.lag));
        let known = self.registered.iter().rev().find(|(since, _)| *since <= as_of);
        known.map_or(&self.registered[0].1, |(_, versions)| versions)
    }

    fn observe(&mut self, at: usize) {
        let (service, now) = (service(), self.instant(self.now));
        let view = self.view(at).clone();
        self.nodes[at].bindings.observe(view.iter().map(|version| (&service, version)), now);
    }

    fn tick(&mut self, at: usize) {
        if self.runs(at) {
            self.observe(at);
            let now = self.instant(self.now);
            for bound in self.nodes[at].bindings.take_due(now) {
                self.share(at, &bound);
            }
        }
        self.at(self.now + TICK_MS, Event::Tick(at));
    }

    /// The nodes that are believed to be ready.
    fn ready(&self) -> Vec<usize> {
        let believed = |at: &usize| {
            let node = &self.nodes[*at];
            node.alive || self.now < node.died_at + DETECTION_MS
        };
        (0..self.nodes.len()).filter(believed).collect()
    }

    /// The nodes that a node knows, itself included.
    fn known(&self, me: usize) -> BTreeSet<usize> {
        self.ready().into_iter().chain([me]).collect()
    }

    fn indices(&self, ids: &[&NodeId], me: usize) -> Vec<usize> {
        let index = |id: &&NodeId| self.nodes.iter().position(|node| node.id == **id);
        ids.iter().filter_map(index).filter(|at| *at != me).collect()
    }

    fn holders(&self, me: usize, stream: StreamKey) -> Vec<usize> {
        let known = self.known(me);
        let ids = known.iter().map(|at| &self.nodes[*at].id);
        self.indices(&holders(stream, ids), me)
    }

    fn nodes_to_ask(&self, me: usize, stream: StreamKey) -> Vec<usize> {
        let known = self.known(me);
        let nodes = known.iter().map(|at| {
            let node = &self.nodes[*at];
            (&node.id, Incarnation(node.started_at))
        });
        self.indices(&nodes_to_ask(stream, nodes), me)
    }

    fn share(&mut self, from: usize, bound: &Bound) {
        if self.variant == Variant::NotShared {
            return;
        }
        for to in self.holders(from, bound.stream) {
            if !self.cut.contains(&(from, to)) && !self.is_lost() {
                self.after(1..20, Event::Report { to, bound: bound.clone() });
            }
        }
    }

    fn is_lost(&mut self) -> bool {
        self.loss > 0.0 && self.rng.random_bool(self.loss)
    }

    fn report(&mut self, to: usize, bound: Bound) {
        if !self.nodes[to].alive {
            return;
        }
        let thawed = self.nodes[to].frozen_until;
        if self.now < thawed {
            self.at(thawed, Event::Report { to, bound });
            return;
        }
        let now = self.instant(self.now);
        self.nodes[to].bindings.remember(bound, now);
    }

    fn any_node(&mut self) -> Option<usize> {
        let running: Vec<usize> = (0..self.nodes.len()).filter(|at| self.runs(*at)).collect();
        let at = self.rng.random_range(0..self.nodes.len().max(1));
        running.get(at % running.len().max(1)).copied()
    }

    /// Since when a version has been in a node's copy of the register.
    fn known_since(&self, node: usize, version: &Version) -> u64 {
        let mut since = self.now;
        for (at, versions) in self.registered.iter().rev() {
            if *at <= self.now && versions.contains(version) {
                since = *at;
            } else if *at <= self.now && since < self.now {
                break;
            }
        }
        if since == 0 { 0 } else { since + self.nodes[node].lag }
    }

    /// A version at which a node begins a stream: not one that has just appeared beside others.
    fn any_version(&mut self, node: usize) -> Option<Version> {
        let delay = NEW_VERSION_DELAY.as_millis() as u64;
        let is_settled = |version: &&Version| {
            let since = self.known_since(node, version);
            since == 0 || self.now >= since + delay
        };
        let mut view: Vec<Version> = self.view(node).iter().filter(is_settled).cloned().collect();
        if view.is_empty() {
            view = self.view(node).iter().cloned().collect();
        }
        let at = self.rng.random_range(0..view.len().max(1));
        view.get(at).cloned()
    }

    fn begin(&mut self) {
        self.streams += 1;
        let name = format!("r{}", self.streams);
        let key = StreamKey::new(None, &name);
        let is_patient = self.patient > 0.0 && self.rng.random_bool(self.patient);
        let deadline = if is_patient { self.timeout } else { DEADLINE_MS };
        let stream = Stream { name, key, version: None, began: self.now, deadline, tries: 0 };
        let Some(node) = self.any_node() else { return };
        let Some(placed) = self.any_version(node) else { return };
        // A run that brings no event may be followed by one of another version.
        let again = self.rng.random_bool(0.3);
        let runs = if again { self.any_version(node) } else { None };
        let runs = runs.unwrap_or_else(|| placed.clone());
        self.after(10..1_500, Event::Generated { node, stream, placed, runs });
    }

    fn first_event(&mut self, node: usize, mut stream: Stream, placed: Version, runs: Version) {
        if !self.runs(node) {
            return;
        }
        if stream.version.as_ref().is_some_and(|version| *version != runs) {
            self.violations.push(format!(
                "{} at {}: events of two versions, {:?} and {runs}",
                stream.name, self.now, stream.version
            ));
            return;
        }
        stream.version = Some(runs.clone());
        let version = if self.variant == Variant::BoundAtPlacement { placed } else { runs };
        let (now, until) = (self.instant(self.now), self.instant(stream.began + stream.deadline));
        let binding = Binding { service: service(), version };
        let bound = Bound { stream: stream.key, binding, since: now, until };
        let lifetime = Duration::from_millis(self.timeout);
        let (_, is_shared) = self.nodes[node].bindings.bind(bound.clone(), lifetime, now);
        if is_shared {
            self.share(node, &bound);
        }
        if self.rng.random_bool(0.7) {
            self.after(1..2_500, Event::Break { node, stream });
        }
    }

    /// The stream breaks off, also if its node has ended or is frozen.
    fn break_off(&mut self, _node: usize, mut stream: Stream) {
        stream.tries += 1;
        if stream.tries <= 2 {
            self.after(5..300, Event::TakeUp { stream });
        }
    }

    fn take_up(&mut self, stream: Stream) {
        if self.now + REPLY_MS >= stream.began + stream.deadline {
            return;
        }
        let Some(node) = self.any_node() else { return };
        self.stats.taken_up += 1;
        let has_left = stream.version.as_ref().is_some_and(|v| !self.view(node).contains(v));
        self.stats.orphaned += u64::from(stream.began < self.lost_at && has_left);
        let (found, promised) = self.find(node, &stream);
        let version = match (found, self.variant) {
            (Some(version), _) => version,
            (None, Variant::UnknownIsAny) => {
                let Some(version) = self.any_version(node) else { return };
                version
            }
            (None, _) => {
                self.stats.unknown += 1;
                if promised {
                    let told = format!("{} at {}: a binding was not found", stream.name, self.now);
                    self.violations.push(told);
                }
                if self.retries_refused {
                    self.after(100..3_000, Event::TakeUp { stream });
                }
                return;
            }
        };
        self.stats.went_on += 1;
        let (placed, runs) = (version.clone(), version);
        self.after(10..500, Event::Generated { node, stream, placed, runs });
    }

    /// What a stream is bound to as far as a node finds out, and whether it must find out: no
    /// datagram is lost, and the holders that were told have been in reach since.
    fn find(&mut self, node: usize, stream: &Stream) -> (Option<Version>, bool) {
        let (service, now) = (service(), self.instant(self.now));
        self.observe(node);
        let left = (stream.began + stream.deadline).saturating_sub(self.now);
        let lifetime = Duration::from_millis(left.max(self.timeout));
        let horizon = self.nodes[node].bindings.horizon(&service).max(horizon_of(lifetime));
        let known = self.nodes[node].bindings.find(stream.key, Some(&service), horizon, now);
        if self.variant == Variant::NoHistory
            && let Known::Unbound(_) = known
            && self.view(node).len() == 1
        {
            return (self.view(node).first().cloned(), false);
        }
        let own = match known {
            Known::Bound(binding, _) => return (Some(binding.version), true),
            Known::Unbound(seen) => seen,
        };
        let peers = self.nodes_to_ask(node, stream.key);
        let mut evidence = Evidence::new(own, peers.len());
        let mut bound = None;
        for peer in peers {
            let unreached = !self.runs(peer) || self.cut.contains(&(node, peer));
            if unreached || (self.is_lost() && self.is_lost()) {
                continue;
            }
            self.observe(peer);
            match self.nodes[peer].bindings.find(stream.key, Some(&service), horizon, now) {
                Known::Bound(binding, _) => bound = Some(binding.version),
                Known::Unbound(seen) => evidence.add(seen),
            }
        }
        if bound.is_some() {
            return (bound, true);
        }
        let only = evidence.only_version();
        self.stats.from_history += u64::from(only.is_some());
        (only, self.is_promised(stream))
    }

    /// Whether nothing has happened since before the stream began that may have cost its binding:
    /// no node was cut off, frozen or behind, and none was killed, or one while several versions
    /// served when the stream began. A node that is killed before it has seen a second version has
    /// told no other node of its streams.
    fn is_promised(&self, stream: &Stream) -> bool {
        let since = stream.began.saturating_sub(DETECTION_MS);
        let was_killed = |node: &&Node| !node.alive || (node.died_at >= since && node.died_at > 0);
        let killed = self.nodes.iter().filter(was_killed).count();
        let early = self.registered.iter().rev().find(|(at, _)| *at < since);
        let several = early.is_some_and(|(_, versions)| versions.len() > 1);
        self.loss == 0.0
            && self.disturbed_until < since
            && self.nodes.len() > 3
            && (killed == 0 || killed == 1 && several)
    }

    /// Brings a version, or takes one away, in any order.
    fn release(&mut self) {
        let mut registered = self.registered.last().map(|(_, v)| v.clone()).unwrap_or_default();
        let version = self.versions[self.rng.random_range(0..self.versions.len())].clone();
        if registered.len() > 1 && registered.contains(&version) {
            registered.remove(&version);
        } else {
            registered.insert(version);
        }
        self.registered.push((self.now, registered));
    }

    /// Kills one node, most of them, or all.
    fn kill(&mut self) {
        let share = [0.2, 0.6, 1.0][self.rng.random_range(0..3)];
        let first = self.rng.random_range(0..self.nodes.len());
        let count = ((self.nodes.len() as f64 * share).ceil() as usize).min(self.nodes.len());
        for at in (0..count).map(|n| (first + n) % self.nodes.len()).collect::<Vec<_>>() {
            self.kill_node(at);
        }
    }

    /// Kills all nodes, and takes all versions but one away before any node is back.
    fn lose(&mut self) {
        for at in 0..self.nodes.len() {
            self.kill_node(at);
        }
        self.lost_at = self.now;
        let only = self.versions[self.rng.random_range(0..self.versions.len())].clone();
        self.registered.push((self.now, [only].into_iter().collect()));
    }

    fn kill_node(&mut self, at: usize) {
        if self.nodes[at].alive {
            (self.nodes[at].alive, self.nodes[at].died_at) = (false, self.now);
            self.after(500..1_500, Event::Restart(at));
        }
    }

    fn restart(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        (node.alive, node.started_at, node.bindings) = (true, self.now, Bindings::default());
    }
}
