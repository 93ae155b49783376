//! A simulation of membership and configuration distribution at different numbers of nodes. It steps
//! the real state machines in one loop on simulated time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use sardinepick_lib::config::chunk::Chunk;
use sardinepick_lib::config::head::{Head, Operation};
use sardinepick_lib::config::snapshot::Snapshot;
use sardinepick_lib::config_fetch::{Action, ConfigFetcher, Source};
use sardinepick_lib::hash::Digest;
use sardinepick_lib::id::{Generation, Incarnation, Name};
use sardinepick_lib::member::{Addresses, Members, Message, Outgoing, State, Status, Update};
use sardinepick_wire::gossip::Datagram;
use smol_str::SmolStr;

use super::figure::Figure;

const TICK: Duration = Duration::from_millis(100);
/// The size of the UDP and IP headers in bytes.
const HEADER_BYTES: usize = 28;
/// The number of data centres; the last two form the second region.
const DATA_CENTRES: usize = 5;
/// The number of nodes that a node notifies of a new generation.
const NOTIFY_COUNT: usize = 6;

enum Event {
    Tick(usize),
    Deliver { to: usize, source: SocketAddr, message: Box<Message> },
    Fetched { node: usize, from: usize, action: Action },
}

struct QueuedEvent {
    at: Instant,
    order: u64,
    event: Event,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl Eq for QueuedEvent {}
impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

struct Node {
    members: Members,
    spreader: ConfigFetcher,
    up: bool,
    paused_until: Option<Instant>,
    sent: u64,
    received: u64,
}

/// The simulated nodes and the network between them.
pub struct Simulation {
    now: Instant,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<QueuedEvent>>,
    order: u64,
    rng: StdRng,
    loss: f64,
    regions_partitioned: bool,
    store_calls: u64,
    published: Option<(Head, Vec<Chunk>)>,
}

fn address(at: usize) -> SocketAddr {
    let [_, _, high, low] = (at as u32 + 1).to_be_bytes();
    (Ipv4Addr::new(127, 1, high, low), 9000).into()
}

fn index(address: SocketAddr) -> usize {
    let SocketAddr::V4(v4) = address else { unreachable!("all addresses are IPv4") };
    let [_, _, high, low] = v4.ip().octets();
    usize::from(high) * 256 + usize::from(low) - 1
}

fn name(at: usize) -> Name {
    format!("entry-{at}").parse().expect("letters and digits make a name")
}

fn in_second_region(at: usize) -> bool {
    at % DATA_CENTRES >= 3
}

impl Simulation {
    /// Creates nodes that all know each other.
    pub fn new(count: usize) -> Self {
        let now = Instant::now();
        let update = |at: usize| Update {
            name: name(at),
            incarnation: Incarnation(1),
            serial: 1,
            state: State::Serving,
            addresses: Addresses { peer: address(at), front: address(at) },
            data_centre: format!("dc-{}", at % DATA_CENTRES).parse().expect("a valid name"),
        };
        let all: Vec<Update> = (0..count).map(update).collect();
        let node = |at: usize| {
            let mut members = Members::new(all[at].clone(), Vec::new());
            members.merge_updates(now, all.clone());
            let spreader = ConfigFetcher::default();
            Node { members, spreader, up: true, paused_until: None, sent: 0, received: 0 }
        };
        let mut simulation = Self {
            now,
            nodes: (0..count).map(node).collect(),
            queue: BinaryHeap::new(),
            order: 0,
            rng: StdRng::seed_from_u64(17),
            loss: 0.0,
            regions_partitioned: false,
            store_calls: 0,
            published: None,
        };
        for at in 0..count {
            let delay = TICK.mul_f64(simulation.rng.random());
            simulation.push(delay, Event::Tick(at));
        }
        simulation
    }

    fn push(&mut self, delay: Duration, event: Event) {
        self.order += 1;
        let item = QueuedEvent { at: self.now + delay, order: self.order, event };
        self.queue.push(Reverse(item));
    }

    fn latency(&mut self, a: usize, b: usize) -> Duration {
        let millis = if in_second_region(a) == in_second_region(b) { 1.5 } else { 12.0 };
        Duration::from_secs_f64(millis * (0.8 + 0.6 * self.rng.random::<f64>()) / 1000.0)
    }

    fn is_lost(&mut self, a: usize, b: usize) -> bool {
        let partitioned = self.regions_partitioned && in_second_region(a) != in_second_region(b);
        partitioned || (self.loss > 0.0 && self.rng.random_bool(self.loss))
    }

    /// Advances the simulation by `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.queue.peek().is_some_and(|Reverse(item)| item.at <= end) {
            let Reverse(item) = self.queue.pop().expect("just peeked");
            self.now = item.at;
            self.handle(item.event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(at) => {
                self.push(TICK, Event::Tick(at));
                let paused = self.nodes[at].paused_until.is_some_and(|until| self.now < until);
                if !self.nodes[at].up || paused {
                    return;
                }
                let generation = self.nodes[at].spreader.installed().head.generation;
                let status = Status { generation, ..Status::default() };
                self.nodes[at].members.set_status(status);
                let out = self.nodes[at].members.tick(self.now, &mut self.rng);
                self.send(at, out);
                self.exchange(at);
                self.fetch(at);
            }
            Event::Deliver { to, source, message } => {
                let paused = self.nodes[to].paused_until.is_some_and(|until| self.now < until);
                if !self.nodes[to].up || paused {
                    return;
                }
                let from = message.from.clone();
                let generation = message.status.generation;
                let out = self.nodes[to].members.receive(self.now, source, *message);
                self.nodes[to].spreader.on_advertised(&from, generation);
                self.send(to, out);
                self.fetch(to);
            }
            Event::Fetched { node, from, action } => self.fetched(node, from, &action),
        }
    }

    fn send(&mut self, from: usize, out: Vec<Outgoing>) {
        for Outgoing { to, message } in out {
            let target = index(to);
            let datagram = Datagram::Gossip(Box::new(message));
            let bytes = (datagram.encode().len() + HEADER_BYTES) as u64;
            self.nodes[from].sent += bytes;
            let Datagram::Gossip(message) = datagram else { unreachable!("just made") };
            if self.is_lost(from, target) {
                continue;
            }
            self.nodes[target].received += bytes;
            let delay = self.latency(from, target);
            let event = Event::Deliver { to: target, source: address(from), message };
            self.push(delay, event);
        }
    }

    /// Exchanges full member lists in both directions when the membership requests it. The call between the
    /// nodes takes no simulated time; its bytes are counted.
    fn exchange(&mut self, at: usize) {
        let Some(with) = self.nodes[at].members.full_sync_peer(self.now, &mut self.rng) else {
            return;
        };
        let other = index(with);
        if !self.nodes[other].up || self.is_lost(at, other) {
            return;
        }
        let (mine, theirs) =
            (self.nodes[at].members.all_updates(), self.nodes[other].members.all_updates());
        let bytes = ((mine.len() + theirs.len()) * MEMBER_ENTRY_BYTES) as u64;
        for node in [at, other] {
            self.nodes[node].sent += bytes / 2;
            self.nodes[node].received += bytes / 2;
        }
        self.nodes[other].members.merge_updates(self.now, mine);
        self.nodes[at].members.merge_updates(self.now, theirs);
    }

    fn fetch(&mut self, at: usize) {
        let Some(action) = self.nodes[at].spreader.poll(self.now) else { return };
        let source = match &action {
            Action::Head(source) | Action::Chunks(source, _) => source.clone(),
        };
        let from = match source {
            Source::Peer(peer) => {
                let text = peer.as_str().trim_start_matches("entry-").to_owned();
                text.parse().expect("names end in a number")
            }
            Source::Store => {
                self.store_calls += 1;
                at
            }
        };
        let delay = self.latency(at, from) * 2;
        self.push(delay, Event::Fetched { node: at, from, action });
    }

    fn fetched(&mut self, at: usize, from: usize, action: &Action) {
        let Some((head, chunks)) = self.published.clone() else { return };
        let has = from == at || self.nodes[from].spreader.installed().head == head;
        if !has || !self.nodes[from].up || self.is_lost(at, from) {
            self.nodes[at].spreader.on_fetch_failed();
            return;
        }
        match action {
            Action::Head(_) => self.nodes[at].spreader.on_head(head),
            Action::Chunks(_, digests) => {
                let found = chunks.into_iter().filter(|c| digests.contains(&c.digest)).collect();
                let installed = self.nodes[at].spreader.on_chunks(found);
                if installed.expect("the chunks are valid").is_some() {
                    self.notify(at);
                }
            }
        }
        self.fetch(at);
    }

    fn notify(&mut self, at: usize) {
        let generation = self.nodes[at].spreader.installed().head.generation;
        self.nodes[at].members.set_status(Status { generation, ..Status::default() });
        let out = self.nodes[at].members.push_updates(NOTIFY_COUNT, &mut self.rng);
        self.send(at, out);
    }

    /// Publishes a generation, which two watchers per data centre see in the store.
    fn publish(&mut self, generation: u64) {
        let (root, mut chunks) = Snapshot::default().chunks();
        let root = Chunk::write(&root);
        let operation = Operation {
            generation: Generation(generation),
            parent: None,
            root: root.digest,
            change: format!("{generation}.x").parse().expect("a valid change id"),
            author: name(0),
            at: 0,
            text: SmolStr::default(),
            wrote: Vec::new(),
        };
        let operation_chunk = Chunk::write(&operation);
        let digest: Digest = operation_chunk.digest;
        let head = Head::default().advance(&operation, digest);
        chunks.extend([root, operation_chunk]);
        self.published = Some((head.clone(), chunks));
        for at in 0..(2 * DATA_CENTRES).min(self.nodes.len()) {
            // The watch returns, and the head is read.
            self.store_calls += 2;
            self.nodes[at].spreader.on_head(head.clone());
            self.fetch(at);
        }
    }

    fn fraction_with(&self, generation: u64) -> f64 {
        let paused = |n: &Node| n.paused_until.is_some_and(|until| self.now < until);
        let up = self.nodes.iter().filter(|n| n.up && !paused(n));
        let have =
            up.clone().filter(|n| n.spreader.installed().head.generation.0 >= generation).count();
        have as f64 / up.count() as f64
    }

    /// The time in seconds until `condition` is true, checked every 50 ms; infinite if it takes more than
    /// a minute.
    fn time_until(&mut self, condition: impl Fn(&Simulation) -> bool) -> f64 {
        const CHECK_INTERVAL: Duration = Duration::from_millis(50);
        const MAX_CHECKS: u32 = 1200;
        for check in 0..MAX_CHECKS {
            if condition(self) {
                return f64::from(check) * CHECK_INTERVAL.as_secs_f64();
            }
            self.run(CHECK_INTERVAL);
        }
        f64::INFINITY
    }

    /// The fraction of pairs of a running node and a selected other node in which the former sees the
    /// latter in `state`. With many nodes, only a sample of observers counts.
    fn fraction_seeing(&self, of: impl Fn(usize) -> bool, state: State) -> f64 {
        let (mut matching, mut all) = (0_u64, 0_u64);
        let others: Vec<(usize, Name)> =
            (0..self.nodes.len()).filter(|o| of(*o)).map(|o| (o, name(o))).collect();
        let step = (self.nodes.len() / MAX_OBSERVERS).max(1);
        for (at, node) in self.nodes.iter().enumerate().step_by(step).filter(|(_, n)| n.up) {
            for (_, other) in others.iter().filter(|(o, _)| *o != at) {
                let seen = node.members.peer(other).map(|p| p.update.state);
                matching += u64::from(seen == Some(state));
                all += 1;
            }
        }
        matching as f64 / all.max(1) as f64
    }
}

/// The approximate maximum number of observers.
const MAX_OBSERVERS: usize = 50;

/// The approximate size of one entry of a member list in bytes.
const MEMBER_ENTRY_BYTES: usize = 70;

const SETTLE_TIME: Duration = Duration::from_secs(10);
const OBSERVATION_TIME: Duration = Duration::from_secs(30);

fn measure_count(count: usize) -> Vec<Figure> {
    let mut figures = Vec::new();
    let mut add = |name: &str, value: f64| {
        figures.push(Figure::new(format!("nodes.{count}.{name}"), value));
    };
    let mut simulation = Simulation::new(count);
    simulation.run(SETTLE_TIME);
    let before: Vec<u64> = simulation.nodes.iter().map(|n| n.sent + n.received).collect();
    simulation.run(OBSERVATION_TIME);
    let after = simulation.nodes.iter().map(|n| n.sent + n.received);
    let used: u64 = after.zip(before).map(|(a, b)| a - b).sum();
    add("gossip_bytes_per_s", used as f64 / count as f64 / OBSERVATION_TIME.as_secs_f64());

    simulation.publish(1);
    let calls = simulation.store_calls;
    add("in_force_999_s", simulation.time_until(|w| w.fraction_with(1) >= 0.999));
    add("in_force_all_s", simulation.time_until(|w| w.fraction_with(1) >= 1.0));
    add("store_calls_per_change", simulation.store_calls as f64);
    add("store_calls_beyond_watchers", (simulation.store_calls - calls) as f64);

    simulation.loss = 0.02;
    let pause = simulation.now + Duration::from_secs(3);
    simulation.nodes[count / 2].paused_until = Some(pause);
    simulation.publish(2);
    add("in_force_999_lossy_s", simulation.time_until(|w| w.fraction_with(2) >= 0.999));
    simulation.run(OBSERVATION_TIME);
    let false_gone = simulation.fraction_seeing(|_| true, State::Gone);
    add("false_gone_part", false_gone);
    simulation.loss = 0.0;

    let victim = count - 1;
    simulation.nodes[victim].up = false;
    let gone = |w: &Simulation| w.fraction_seeing(|o| o == victim, State::Gone) >= 0.999;
    add("detect_node_s", simulation.time_until(gone));

    simulation.nodes[victim].up = true;
    simulation.run(OBSERVATION_TIME);
    let lost = |at: usize| at.is_multiple_of(DATA_CENTRES);
    for at in (0..count).filter(|at| lost(*at)) {
        simulation.nodes[at].up = false;
    }
    let gone = |w: &Simulation| w.fraction_seeing(lost, State::Gone) >= 0.999;
    add("detect_data_centre_s", simulation.time_until(gone));
    for at in (0..count).filter(|at| lost(*at)) {
        simulation.nodes[at].up = true;
    }
    simulation.run(OBSERVATION_TIME);

    simulation.regions_partitioned = true;
    simulation.run(OBSERVATION_TIME);
    simulation.publish(3);
    simulation.regions_partitioned = false;
    let healed = |w: &Simulation| w.fraction_seeing(|_| true, State::Serving) >= 0.999;
    add("heal_regions_s", simulation.time_until(healed));
    add("reached_after_heal", simulation.fraction_with(3));
    figures
}

/// The figures about nodes. `with_largest` adds those of 550 nodes, which take half a minute.
pub fn measure(with_largest: bool) -> Vec<Figure> {
    let mut counts = vec![6, 9, 50, 150];
    if with_largest {
        counts.push(550);
    }
    std::thread::scope(|scope| {
        let threads: Vec<_> =
            counts.into_iter().map(|count| scope.spawn(move || measure_count(count))).collect();
        threads.into_iter().flat_map(|t| t.join().expect("measuring does not panic")).collect()
    })
}
