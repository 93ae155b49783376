//! The nodes of a site, and their requests.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use sardinepick_lib::fleet::reachability::{
    PROBE_PERIOD, PROBE_TIMEOUT, Path, RELAY_CONNECT_TIMEOUT, Reachability,
};
use sardinepick_lib::id::NodeId;

use crate::connection::Connection;
use crate::request::{Connect, Kind, Request, Started, State};
use crate::site::{Answers, Link, Site, TICK_MS, TICKS, ticks};

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    Reachability,
    /// Connects directly only.
    DirectOnly,
    /// Broken variant: a direct connect that fails closes the path.
    CloseWithoutPeer,
    /// Broken variant: pooled connections are reused on unverified paths.
    ReuseUnverified,
    /// Broken variant: closed paths are not probed.
    NoProbes,
    /// Broken variant: requests are sent even if the runner has left meanwhile.
    NoLookBeforeSending,
    /// Broken variant: a request whose connection has broken counts as not sent.
    RepeatBroken,
}

/// Sums of one or more schedules.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    pub answered: u64,
    pub failed: u64,
    /// Failed requests that were sent on a way that had changed unnoticed.
    pub excused: u64,
    /// Requests sent through a peer.
    pub relayed: u64,
    /// Connects asked of peers.
    pub asked: u64,
    pub dials: u64,
    pub probes: u64,
    /// Pairs of a node and a runner.
    pub pairs: u64,
}

impl Stats {
    pub fn add(&mut self, other: &Stats) {
        self.answered += other.answered;
        self.failed += other.failed;
        self.excused += other.excused;
        self.relayed += other.relayed;
        self.asked += other.asked;
        self.dials += other.dials;
        self.probes += other.probes;
        self.pairs += other.pairs;
    }
}

pub struct Node {
    process: Option<u32>,
    pub reachability: Reachability,
    /// By runner.
    pub idle: Vec<VecDeque<Connection>>,
    requests: Vec<Request>,
    probe: Option<Started>,
    probed_at: Option<usize>,
    /// When it last noticed that a connection was dead, by peer and runner.
    pub noticed: HashMap<(Option<usize>, usize), usize>,
    /// When it last closed a path while another one was closed.
    pub closed_second_at: Option<usize>,
}

impl Node {
    fn new(process: Option<u32>, runners: usize) -> Self {
        Self {
            process,
            reachability: Reachability::default(),
            idle: vec![VecDeque::new(); runners],
            requests: Vec::new(),
            probe: None,
            probed_at: None,
            noticed: HashMap::new(),
            closed_second_at: None,
        }
    }
}

/// A connect of a peer that times out.
struct Timeout {
    at: usize,
    peer: usize,
    process: Option<u32>,
    runner: usize,
}

pub struct World {
    pub policy: Policy,
    pub site: Site,
    pub rng: StdRng,
    start: Instant,
    pub nodes: Vec<Node>,
    pub names: Vec<NodeId>,
    timeouts: Vec<Timeout>,
    pub stats: Stats,
    pub violations: Vec<String>,
}

pub fn address(runner: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 1, runner as u8], 8_000))
}

impl World {
    pub fn new(policy: Policy, site: Site, seed: u64) -> Self {
        let runners = site.runners.len();
        let names = (0..site.nodes.len()).map(|n| format!("node-{n}").parse().expect("a name"));
        let pairs = (site.nodes.len() * runners) as u64;
        let stats = Stats { pairs, ..Stats::default() };
        Self {
            policy,
            rng: StdRng::seed_from_u64(!seed),
            start: Instant::now(),
            nodes: (0..site.nodes.len()).map(|_| Node::new(Some(0), runners)).collect(),
            names: names.collect(),
            timeouts: Vec::new(),
            stats,
            violations: Vec::new(),
            site,
        }
    }

    pub fn at(&self, now: usize) -> Instant {
        self.start + Duration::from_millis(now as u64 * TICK_MS)
    }

    /// Plays the schedule.
    pub fn play(&mut self) {
        for now in 0..TICKS {
            self.end_timeouts(now);
            for node in 0..self.nodes.len() {
                let process = self.site.nodes[node].at(now);
                if process != self.nodes[node].process {
                    self.nodes[node] = Node::new(process, self.site.runners.len());
                }
                if process.is_some() {
                    self.step_node(node, now);
                }
            }
        }
    }

    fn end_timeouts(&mut self, now: usize) {
        let at = self.at(now);
        for timeout in self.timeouts.extract_if(.., |timeout| timeout.at <= now) {
            let peer = &mut self.nodes[timeout.peer];
            if peer.process == timeout.process {
                peer.reachability.note_direct_failed(address(timeout.runner), at);
            }
        }
    }

    fn step_node(&mut self, node: usize, now: usize) {
        let mut requests = std::mem::take(&mut self.nodes[node].requests);
        if self.rng.random_range(0..60) < TICK_MS {
            requests.push(self.draw_request(now));
        }
        for request in &mut requests {
            self.step_request(node, request, now);
        }
        requests.retain(|request| !matches!(request.state, State::Ended));
        self.nodes[node].requests = requests;
        self.step_probe(node, now);
        if now.is_multiple_of(ticks(1_000)) {
            let runners = &self.site.runners;
            let wanted: Vec<SocketAddr> = (0..runners.len())
                .filter(|runner| runners[*runner].at(now).is_registered)
                .map(address)
                .collect();
            let at = self.at(now);
            self.nodes[node].reachability.retain(|address| wanted.contains(address), at);
        }
    }

    fn draw_request(&mut self, now: usize) -> Request {
        let kinds = [Kind::Repeatable, Kind::AtMostOnce, Kind::Resumable];
        let kind = kinds[self.rng.random_range(0..kinds.len())];
        let (patience, work) = match kind {
            Kind::Resumable => (ticks(5_000), ticks(200)..ticks(1_500)),
            Kind::Repeatable | Kind::AtMostOnce => (ticks(2_500), ticks(10)..ticks(300)),
        };
        Request {
            kind,
            arrived: now,
            deadline: now + patience,
            not_before: now,
            work: self.rng.random_range(work),
            tries: vec![0; self.site.runners.len()],
            runs: 0,
            is_excused: false,
            prefers_last: self.rng.random_bool(0.05),
            state: State::Choosing,
        }
    }

    fn step_probe(&mut self, node: usize, now: usize) {
        let at = self.at(now);
        if let Some(probe) = self.nodes[node].probe
            && let Some(is_connected) = probe_result(probe, now)
        {
            let reachability = &mut self.nodes[node].reachability;
            match is_connected {
                true => reachability.note_connected(address(probe.connection.runner), at),
                false => reachability.note_probe_failed(address(probe.connection.runner), at),
            }
            self.nodes[node].probe = None;
        }
        if self.policy == Policy::NoProbes {
            return;
        }
        let Some(probed) = self.nodes[node].reachability.next_probe(at) else { return };
        let runner = (0..self.site.runners.len()).find(|runner| address(*runner) == probed);
        let runner = runner.expect("it is known");
        assert!(self.nodes[node].probe.is_none(), "probes end within a period");
        let last = self.nodes[node].probed_at.replace(now);
        if last.is_some_and(|last| now < last + ticks(PROBE_PERIOD.as_millis() as u64)) {
            self.violations.push(format!("node {node} probes too often"));
        }
        if self.path(node, runner, now) != Path::Closed {
            self.violations.push(format!("node {node} probes an open path"));
        }
        self.stats.probes += 1;
        self.nodes[node].probe = Some(self.connect(node, runner, now));
    }

    /// Starts a direct connect from a node to the address of a runner.
    pub fn connect(&mut self, node: usize, runner: usize, now: usize) -> Started {
        let state = self.site.runners[runner].at(now);
        let is_lost = self.rng.random_bool(self.site.loss[node][runner]);
        let connect = match (state.answers, self.site.links[node][runner].at(now)) {
            (_, Link::Hang | Link::OneWay) | (Answers::Silent, _) => Connect::Never,
            (_, Link::Reset | Link::RefuseNew) | (Answers::Refuses, _) => Connect::Failed,
            (Answers::Accepts, Link::Up) if is_lost => Connect::Never,
            (Answers::Accepts, Link::Up) => Connect::Connected,
        };
        let generation = state.generation;
        let connection =
            Connection { runner, generation, peer: None, established: now, idle_since: now };
        Started { connect, began: now, at: now + 1, connection }
    }

    /// Asks a peer to connect to the address of a runner.
    pub fn ask(&mut self, node: usize, peer: usize, runner: usize, now: usize) -> Started {
        self.stats.asked += 1;
        let at = self.at(now);
        let process = self.site.nodes[peer].at(now);
        let mut started = self.connect(peer, runner, now);
        started.connection.peer = Some((peer, process.unwrap_or_default()));
        let is_cut = self.site.peer_links[node][peer].at(now) != Link::Up;
        if is_cut || process.is_none() {
            let is_refused = !is_cut && self.rng.random_bool(0.5);
            started.connect = if is_refused { Connect::Failed } else { Connect::Never };
            return started;
        }
        let reachability = &mut self.nodes[peer].reachability;
        if !reachability.may_relay(address(runner), at) {
            started.connect = Connect::Failed;
            return started;
        }
        started.at = now + 2;
        match started.connect {
            Connect::Connected => reachability.note_connected(address(runner), at),
            Connect::Failed => reachability.note_direct_failed(address(runner), at),
            Connect::Never => {
                let limit = ticks(RELAY_CONNECT_TIMEOUT.as_millis() as u64);
                self.timeouts.push(Timeout { at: now + limit, peer, process, runner });
                (started.connect, started.at) = (Connect::Failed, now + limit + 1);
            }
        }
        started
    }

    /// The path as the policy sees it.
    pub fn path(&self, node: usize, runner: usize, now: usize) -> Path {
        match self.policy {
            Policy::DirectOnly => Path::Open,
            _ => self.nodes[node].reachability.path(address(runner), self.at(now)),
        }
    }
}

/// Whether a probe has connected; `None` while it may.
fn probe_result(probe: Started, now: usize) -> Option<bool> {
    let is_over = now >= probe.began + ticks(PROBE_TIMEOUT.as_millis() as u64);
    match probe.ended(now) {
        Some(connect) => Some(connect == Connect::Connected),
        None => is_over.then_some(false),
    }
}
