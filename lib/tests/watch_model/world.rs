//! The nodes, the store and the network of the model, on a simulated clock.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use sardinepick_lib::fleet::freshness::{Attestation, Attester, Freshness};
use sardinepick_lib::fleet::roster::{Contact, HEARTBEAT_PERIOD, Record, Roster, Standing, Status};
use sardinepick_lib::fleet::watch_role::{self, Role, SUBJECT};
use sardinepick_lib::id::{ConfigVersion, Incarnation};
use sardinepick_lib::rank;

pub const MS: Duration = Duration::from_millis(1);
/// The latency between two machines, which is one step of the simulated clock.
const STEP: Duration = Duration::from_millis(10);
/// The time after which a call to the store over a silent path fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// How long a node that has heard of a newer version takes to copy it.
const COPY_TIME: Duration = Duration::from_millis(60);
/// How long a node must have run and reached the store before the guarantee applies to it.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// The time in which a change must be in effect.
const BOUND: Duration = Duration::from_secs(2);
/// The calls per second that the store permits.
const MAX_RATE: usize = 2_000;

/// How nodes decide who watches the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// As implemented.
    Current,
    /// Only elected nodes watch.
    ElectedOnly,
    /// An attestation counts from when it is last received.
    NoAge,
}

/// A fault, or its end.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A node is killed.
    Kill { node: usize },
    /// A killed node starts again.
    Start { node: usize },
    /// A node does not run for a time.
    Freeze { node: usize, duration: Duration },
    /// The path from a node to the store fails.
    CutStore { node: usize, is_silent: bool },
    /// It works again.
    HealStore { node: usize },
    /// A node is moved to a part of the network that reaches no other.
    Part { node: usize, part: u32 },
    /// Each node is in a part of its own.
    Isolate,
    /// All nodes reach each other.
    Join,
}

#[derive(Clone, Copy, Debug)]
enum Call {
    /// No call before this time.
    Pause { until: Instant },
    /// A list, to be answered at a time.
    List { sent: Instant, at: Instant },
    /// A watch for changes after a version.
    Watch { from: u64, ends: Instant },
    /// A call over a path that has failed, until it times out.
    Hanging { until: Instant },
}

struct Node {
    roster: Roster,
    freshness: Freshness,
    incarnation: u64,
    role: Option<Role>,
    call: Call,
    follows_change: bool,
    failures: u32,
    copy: u64,
    /// A newer version, when it is copied, and from which node.
    copying: Option<(usize, Instant)>,
    next_heartbeat: Instant,
    is_up: bool,
    frozen_until: Option<Instant>,
    /// Whether the path to the store works; otherwise whether it fails silently.
    store_cut: Option<bool>,
    part: u32,
    /// Since when it has run and reached the store.
    stable_since: Instant,
    served: bool,
}

struct Heartbeat {
    from: usize,
    to: usize,
    part: u32,
    sender: Record,
    status: Status,
    records: Vec<Record>,
    wants_reply: bool,
    attestation: Option<Attestation>,
}

pub struct World {
    began: Instant,
    now: Instant,
    nodes: Vec<Node>,
    in_transit: Vec<Heartbeat>,
    /// The version of the store, and when each version was written.
    version: u64,
    changes: VecDeque<(u64, Instant)>,
    /// The longest time between two changes.
    pub change_period: Option<Duration>,
    next_change: Instant,
    /// The times of the calls of the last second, and the number of all.
    recent_calls: VecDeque<Instant>,
    calls: usize,
    violations: Vec<String>,
    policy: Policy,
    rng: StdRng,
}

fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (at >> 8) as u8, at as u8], 9_000))
}

fn contact(at: usize, incarnation: u64) -> Contact {
    Contact {
        id: format!("edge-{at}").parse().expect("an id"),
        incarnation: Incarnation(incarnation),
        data_centre: "hall-a".parse().expect("an id"),
        front: address(at),
        peer: address(at),
    }
}

fn index(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { unreachable!("all addresses are IPv4") };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

impl Node {
    fn new(at: usize, incarnation: u64, now: Instant) -> Self {
        let contact = contact(at, incarnation);
        let attester = Attester::new(&contact.id, contact.incarnation);
        let mut roster = Roster::new(contact);
        roster.set_own_state(Standing::Ready, true);
        Self {
            roster,
            freshness: Freshness::new(attester, now),
            incarnation,
            role: None,
            call: Call::Pause { until: now },
            follows_change: true,
            failures: 0,
            copy: 0,
            copying: None,
            next_heartbeat: now,
            is_up: true,
            frozen_until: None,
            store_cut: None,
            part: 0,
            stable_since: now,
            served: true,
        }
    }

    fn runs(&self) -> bool {
        self.is_up && self.frozen_until.is_none()
    }

    fn status(&self) -> Status {
        let version = ConfigVersion(self.copy);
        Status { standing: Standing::Ready, version, ..Status::default() }
    }
}

impl World {
    /// Creates nodes that know each other and have the first version.
    pub fn new(count: usize, seed: u64, policy: Policy) -> Self {
        // Ages are subtracted from it.
        let now = Instant::now() + Duration::from_secs(3_600);
        let mut rng = StdRng::seed_from_u64(seed);
        let mut nodes: Vec<Node> = (0..count).map(|at| Node::new(at, 1, now)).collect();
        let records: Vec<Record> = nodes.iter().map(|node| node.roster.me().clone()).collect();
        for (at, node) in nodes.iter_mut().enumerate() {
            for record in records.iter().enumerate().filter(|(other, _)| *other != at) {
                node.roster.apply_record(record.1, now);
            }
            while !node.roster.take_updates().is_empty() {}
            node.copy = 1;
            node.next_heartbeat = now + HEARTBEAT_PERIOD.mul_f64(rng.random());
        }
        Self {
            began: now,
            now,
            nodes,
            in_transit: Vec::new(),
            version: 1,
            changes: VecDeque::new(),
            change_period: Some(Duration::from_secs(2)),
            next_change: now,
            recent_calls: VecDeque::new(),
            calls: 0,
            violations: Vec::new(),
            policy,
            rng,
        }
    }

    /// The nodes in the order in which they are elected.
    pub fn by_rank(&self) -> Vec<usize> {
        let mut nodes: Vec<usize> = (0..self.nodes.len()).collect();
        nodes.sort_by_key(|at| Reverse(rank::weight(SUBJECT, &contact(*at, 1).id)));
        nodes
    }

    pub fn calls(&self) -> usize {
        self.calls
    }

    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Runs random faults, and returns the violations.
    pub fn run_random(mut self, duration: Duration) -> Vec<String> {
        self.run(MS * 2_000);
        let end = self.now + duration;
        while self.now < end {
            let pause = MS * self.rng.random_range(0..2_500);
            self.run(pause);
            // Faults often come together.
            let most = [1, 2, self.nodes.len()][self.rng.random_range(0..3)];
            let node = self.rng.random_range(0..self.nodes.len());
            let fault = self.random_fault(node);
            for at in 0..self.rng.random_range(1..=most) {
                let node = (node + at) % self.nodes.len();
                self.apply(fault.at(node));
            }
        }
        self.run(MS * 5_000);
        self.violations
    }

    fn random_fault(&mut self, node: usize) -> Fault {
        let duration = MS * self.rng.random_range(100..6_000);
        match self.rng.random_range(0..10) {
            0 => Fault::Kill { node },
            1 | 2 => Fault::Start { node },
            3 => Fault::Freeze { node, duration },
            4 => Fault::CutStore { node, is_silent: true },
            5 => Fault::CutStore { node, is_silent: false },
            6 => Fault::HealStore { node },
            7 => Fault::Part { node, part: self.rng.random_range(0..3) },
            8 => Fault::Isolate,
            _ => Fault::Join,
        }
    }

    pub fn apply(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::Kill { node } => self.nodes[node].is_up = false,
            Fault::Start { node } => self.start(node),
            Fault::Freeze { node, duration } => {
                self.nodes[node].frozen_until = Some(now + duration);
            }
            Fault::CutStore { node, is_silent } => {
                self.nodes[node].store_cut = Some(is_silent);
                let hangs = if is_silent { CALL_TIMEOUT } else { Duration::ZERO };
                let node = &mut self.nodes[node];
                node.call = match node.call {
                    Call::Watch { ends, .. } if is_silent => {
                        Call::Hanging { until: ends + CALL_TIMEOUT }
                    }
                    Call::List { .. } | Call::Watch { .. } => Call::Hanging { until: now + hangs },
                    other => other,
                };
            }
            Fault::HealStore { node } => {
                if self.nodes[node].store_cut.take().is_some() {
                    self.nodes[node].stable_since = now;
                }
            }
            Fault::Part { node, part } => self.nodes[node].part = part,
            Fault::Isolate => {
                self.nodes.iter_mut().zip(1_000..).for_each(|(node, part)| node.part = part);
            }
            Fault::Join => self.nodes.iter_mut().for_each(|node| node.part = 0),
        }
    }

    /// Starts a node that is down. It joins by the list of any node that it reaches.
    fn start(&mut self, at: usize) {
        if self.nodes[at].is_up {
            return;
        }
        let (store_cut, part) = (self.nodes[at].store_cut, self.nodes[at].part);
        let mut node = Node::new(at, self.nodes[at].incarnation + 1, self.now);
        (node.store_cut, node.part) = (store_cut, part);
        let reached = self.nodes.iter().find(|other| other.runs() && other.part == part);
        if let Some(other) = reached {
            for record in other.roster.records() {
                node.roster.apply_record(&record, self.now);
            }
            node.copy = other.copy;
        }
        self.nodes[at] = node;
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        self.change();
        for heartbeat in std::mem::take(&mut self.in_transit) {
            self.deliver(heartbeat);
        }
        for at in 0..self.nodes.len() {
            if self.nodes[at].frozen_until.is_some_and(|until| now >= until) {
                self.nodes[at].frozen_until = None;
                self.nodes[at].stable_since = now;
            }
            if self.nodes[at].runs() {
                self.send_heartbeats(at);
                self.copy(at);
                self.follow(at);
            }
        }
        self.check();
    }

    fn change(&mut self) {
        let Some(period) = self.change_period.filter(|_| self.now >= self.next_change) else {
            return;
        };
        self.version += 1;
        self.changes.push_back((self.version, self.now));
        self.next_change = self.now + period.mul_f64(self.rng.random());
    }

    fn send_heartbeats(&mut self, at: usize) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let is_due = now >= node.next_heartbeat;
        node.roster.set_own_state(Standing::Ready, node.served);
        if !is_due && !node.roster.has_updates() {
            return;
        }
        if is_due {
            node.next_heartbeat = now + HEARTBEAT_PERIOD;
        }
        let probed = node.roster.tick(now);
        let records = node.roster.take_updates();
        let watchers = node.roster.watchers().to_vec();
        let silent: Vec<SocketAddr> = node.roster.silent_addresses().collect();
        let heartbeat = |to: SocketAddr, records: &[Record], wants_reply| Heartbeat {
            from: at,
            to: index(to),
            part: node.part,
            sender: node.roster.me().clone(),
            status: node.status(),
            records: records.to_vec(),
            wants_reply,
            attestation: match self.policy {
                Policy::NoAge => node.freshness.newest(now),
                Policy::Current | Policy::ElectedOnly => node.freshness.to_pass_on(now),
            },
        };
        let mut sent: Vec<Heartbeat> =
            watchers.into_iter().map(|to| heartbeat(to, &records, false)).collect();
        sent.extend(probed.into_iter().map(|to| heartbeat(to, &[], true)));
        if is_due && !silent.is_empty() && self.rng.random_bool(0.2) {
            sent.push(heartbeat(silent[self.rng.random_range(0..silent.len())], &[], true));
        }
        self.in_transit.extend(sent);
    }

    fn deliver(&mut self, heartbeat: Heartbeat) {
        let (now, policy) = (self.now, self.policy);
        let Heartbeat { from, to, part, sender, status, records, wants_reply, attestation } =
            heartbeat;
        let node = &mut self.nodes[to];
        if !node.runs() || node.part != part || self.nodes[from].part != part {
            return;
        }
        let node = &mut self.nodes[to];
        node.roster.apply_heartbeat(&sender, status, now);
        for record in &records {
            node.roster.apply_record(record, now);
        }
        let correction = node.roster.superseding_record(&sender).cloned();
        if let Some(mut attestation) = attestation {
            if policy == Policy::NoAge {
                attestation.age = Duration::ZERO;
                attestation.serial = u32::try_from((now - self.began).as_millis()).unwrap_or(0);
            }
            let covers = node.copy >= status.version.0;
            node.freshness.apply(attestation, covers, now);
        }
        if status.version.0 > node.copy && node.copying.is_none() {
            node.copying = Some((from, now + COPY_TIME));
        }
        if wants_reply || correction.is_some() {
            let reply = Heartbeat {
                from: to,
                to: from,
                part,
                sender: node.roster.me().clone(),
                status: node.status(),
                records: correction.into_iter().collect(),
                wants_reply: false,
                attestation: node.freshness.newest(now),
            };
            self.in_transit.push(reply);
        }
    }

    fn copy(&mut self, at: usize) {
        let Some((from, until)) = self.nodes[at].copying else { return };
        if self.now < until {
            return;
        }
        let other = &self.nodes[from];
        let copied = if other.runs() && other.part == self.nodes[at].part { other.copy } else { 0 };
        let node = &mut self.nodes[at];
        node.copying = None;
        node.copy = node.copy.max(copied);
    }

    /// The node's calls to the store.
    fn follow(&mut self, at: usize) {
        let (now, version) = (self.now, self.version);
        let draw: f64 = self.rng.random();
        let node = &mut self.nodes[at];
        match node.call {
            Call::Pause { until } => {
                if now >= until {
                    self.call(at);
                }
            }
            Call::List { sent, at: answered } => {
                if now >= answered {
                    node.follows_change = true;
                    self.answer(at, version, sent);
                }
            }
            Call::Watch { from, ends } => {
                if version > from || now >= ends {
                    node.follows_change = version > from;
                    self.answer(at, version, now);
                }
            }
            Call::Hanging { until } => {
                if now >= until {
                    let role = node.role.unwrap_or(Role::Substitute);
                    node.served &= role == Role::Substitute;
                    node.failures += 1;
                    let count = node.roster.ids().count() + 1;
                    let pause = role.pause(node.failures, count, draw);
                    node.role = None;
                    node.call = Call::Pause { until: now + pause };
                }
            }
        }
    }

    fn answer(&mut self, at: usize, version: u64, answered: Instant) {
        let node = &mut self.nodes[at];
        (node.copy, node.failures, node.served) = (node.copy.max(version), 0, true);
        node.freshness.note_answer(answered);
        self.call(at);
    }

    /// Calls the store if the node must watch it.
    fn call(&mut self, at: usize) {
        let (now, policy) = (self.now, self.policy);
        let node = &mut self.nodes[at];
        let was_watching = node.role.is_some();
        node.role = watch_role::role(&node.roster, &node.freshness, now)
            .filter(|role| policy != Policy::ElectedOnly || *role != Role::Substitute);
        let Some(role) = node.role else {
            // As often as a node checks whether it must watch.
            node.call = Call::Pause { until: now + MS * 50 };
            return;
        };
        self.calls += 1;
        self.recent_calls.push_back(now);
        node.call = match (node.store_cut, was_watching) {
            (Some(true), _) => Call::Hanging { until: now + CALL_TIMEOUT },
            (Some(false), _) => Call::Hanging { until: now + STEP },
            (None, true) => {
                Call::Watch { from: node.copy, ends: now + role.wait(node.follows_change) }
            }
            (None, false) => Call::List { sent: now, at: now + STEP * 2 },
        };
    }

    fn check(&mut self) {
        let now = self.now;
        while self.recent_calls.front().is_some_and(|at| now - *at > Duration::from_secs(1)) {
            self.recent_calls.pop_front();
        }
        let limit = MAX_RATE * self.nodes.len().div_ceil(67);
        if self.recent_calls.len() > limit {
            self.violations.push(format!("{} calls in a second", self.recent_calls.len()));
        }
        let Some((version, _)) = self.changes.front().filter(|(_, at)| now > *at + BOUND) else {
            return;
        };
        for (at, node) in self.nodes.iter().enumerate() {
            let is_stable = node.runs()
                && node.store_cut.is_none()
                && now.saturating_duration_since(node.stable_since) > SETTLE_TIME + BOUND;
            if is_stable && node.copy < *version {
                self.violations.push(format!(
                    "node {at} has version {} instead of {version}, role {:?}",
                    node.copy, node.role
                ));
            }
        }
        self.changes.pop_front();
    }
}

impl Fault {
    /// The same fault of another node.
    fn at(self, node: usize) -> Self {
        match self {
            Fault::Kill { .. } => Fault::Kill { node },
            Fault::Start { .. } => Fault::Start { node },
            Fault::Freeze { duration, .. } => Fault::Freeze { node, duration },
            Fault::CutStore { is_silent, .. } => Fault::CutStore { node, is_silent },
            Fault::HealStore { .. } => Fault::HealStore { node },
            Fault::Part { part, .. } => Fault::Part { node, part },
            Fault::Isolate => Fault::Isolate,
            Fault::Join => Fault::Join,
        }
    }
}
