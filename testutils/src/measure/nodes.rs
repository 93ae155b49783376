//! Membership and the spreading of configurations at growing numbers of nodes: the core's own
//! state machines, stepped in one loop on a clock of its own.

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
/// The heads of UDP and IP.
const HEADS: usize = 28;
/// Data centres, of which the last two are the second region.
const DATA_CENTRES: usize = 5;
/// To how many nodes a new generation is told at once.
const TELL: usize = 6;

enum Event {
    Tick(usize),
    Deliver { to: usize, source: SocketAddr, message: Box<Message> },
    Fetched { node: usize, from: usize, action: Action },
}

struct Item {
    at: Instant,
    order: u64,
    event: Event,
}

impl PartialEq for Item {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl Eq for Item {}
impl PartialOrd for Item {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Item {
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

/// The nodes with the network between them.
pub struct World {
    now: Instant,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<Item>>,
    order: u64,
    rng: StdRng,
    loss: f64,
    cut_regions: bool,
    store_calls: u64,
    published: Option<(Head, Vec<Chunk>)>,
}

fn address(at: usize) -> SocketAddr {
    let [_, _, high, low] = (at as u32 + 1).to_be_bytes();
    (Ipv4Addr::new(127, 1, high, low), 9000).into()
}

fn index(address: SocketAddr) -> usize {
    let SocketAddr::V4(v4) = address else { unreachable!("all addresses are of version 4") };
    let [_, _, high, low] = v4.ip().octets();
    usize::from(high) * 256 + usize::from(low) - 1
}

fn name(at: usize) -> Name {
    format!("entry-{at}").parse().expect("letters and digits make a name")
}

fn region(at: usize) -> bool {
    at % DATA_CENTRES >= 3
}

impl World {
    /// Nodes that all know each other.
    pub fn new(count: usize) -> Self {
        let now = Instant::now();
        let update = |at: usize| Update {
            name: name(at),
            incarnation: Incarnation(1),
            serial: 1,
            state: State::Serving,
            addresses: Addresses { peer: address(at), front: address(at) },
            data_centre: format!("dc-{}", at % DATA_CENTRES).parse().expect("a right name"),
        };
        let all: Vec<Update> = (0..count).map(update).collect();
        let node = |at: usize| {
            let mut members = Members::new(all[at].clone(), Vec::new());
            members.merge_updates(now, all.clone());
            let spreader = ConfigFetcher::default();
            Node { members, spreader, up: true, paused_until: None, sent: 0, received: 0 }
        };
        let mut world = Self {
            now,
            nodes: (0..count).map(node).collect(),
            queue: BinaryHeap::new(),
            order: 0,
            rng: StdRng::seed_from_u64(17),
            loss: 0.0,
            cut_regions: false,
            store_calls: 0,
            published: None,
        };
        for at in 0..count {
            let delay = TICK.mul_f64(world.rng.random());
            world.push(delay, Event::Tick(at));
        }
        world
    }

    fn push(&mut self, delay: Duration, event: Event) {
        self.order += 1;
        let item = Item { at: self.now + delay, order: self.order, event };
        self.queue.push(Reverse(item));
    }

    fn latency(&mut self, a: usize, b: usize) -> Duration {
        let millis = if region(a) == region(b) { 1.5 } else { 12.0 };
        Duration::from_secs_f64(millis * (0.8 + 0.6 * self.rng.random::<f64>()) / 1000.0)
    }

    fn lost(&mut self, a: usize, b: usize) -> bool {
        let cut = self.cut_regions && region(a) != region(b);
        cut || (self.loss > 0.0 && self.rng.random_bool(self.loss))
    }

    /// Lets `span` pass.
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
            let bytes = (datagram.encode().len() + HEADS) as u64;
            self.nodes[from].sent += bytes;
            let Datagram::Gossip(message) = datagram else { unreachable!("just made") };
            if self.lost(from, target) {
                continue;
            }
            self.nodes[target].received += bytes;
            let delay = self.latency(from, target);
            let event = Event::Deliver { to: target, source: address(from), message };
            self.push(delay, event);
        }
    }

    /// Exchanges whole lists, both ways, where the membership asks for it. The call between the nodes
    /// is taken as one step; its bytes are counted.
    fn exchange(&mut self, at: usize) {
        let Some(with) = self.nodes[at].members.full_sync_peer(self.now, &mut self.rng) else {
            return;
        };
        let other = index(with);
        if !self.nodes[other].up || self.lost(at, other) {
            return;
        }
        let (mine, theirs) =
            (self.nodes[at].members.all_updates(), self.nodes[other].members.all_updates());
        let bytes = ((mine.len() + theirs.len()) * UPDATE_BYTES) as u64;
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
        if !has || !self.nodes[from].up || self.lost(at, from) {
            self.nodes[at].spreader.on_fetch_failed();
            return;
        }
        match action {
            Action::Head(_) => self.nodes[at].spreader.on_head(head),
            Action::Chunks(_, digests) => {
                let found = chunks.into_iter().filter(|c| digests.contains(&c.digest)).collect();
                let installed = self.nodes[at].spreader.on_chunks(found);
                if installed.expect("the chunks are right").is_some() {
                    self.tell(at);
                }
            }
        }
        self.fetch(at);
    }

    fn tell(&mut self, at: usize) {
        let generation = self.nodes[at].spreader.installed().head.generation;
        self.nodes[at].members.set_status(Status { generation, ..Status::default() });
        let out = self.nodes[at].members.push_updates(TELL, &mut self.rng);
        self.send(at, out);
    }

    /// Publishes a generation, which two watchers of each data centre see in the store.
    fn publish(&mut self, generation: u64) {
        let (root, mut chunks) = Snapshot::default().chunks();
        let root = Chunk::write(&root);
        let operation = Operation {
            generation: Generation(generation),
            parent: None,
            root: root.digest,
            change: format!("{generation}.x").parse().expect("a right change id"),
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
            // A watch that returns, and the read of the head that follows it.
            self.store_calls += 2;
            self.nodes[at].spreader.on_head(head.clone());
            self.fetch(at);
        }
    }

    fn have(&self, generation: u64) -> f64 {
        let paused = |n: &Node| n.paused_until.is_some_and(|until| self.now < until);
        let up = self.nodes.iter().filter(|n| n.up && !paused(n));
        let have =
            up.clone().filter(|n| n.spreader.installed().head.generation.0 >= generation).count();
        have as f64 / up.count() as f64
    }

    /// The time until `holds`, looked at every 50 ms, up to a minute.
    fn time_until(&mut self, holds: impl Fn(&World) -> bool) -> f64 {
        const LOOK: Duration = Duration::from_millis(50);
        const MOST: u32 = 1200;
        for look in 0..MOST {
            if holds(self) {
                return f64::from(look) * LOOK.as_secs_f64();
            }
            self.run(LOOK);
        }
        f64::INFINITY
    }

    /// The part of pairs in which a living node takes the other for something. Of many nodes only some
    /// are asked.
    fn views(&self, of: impl Fn(usize) -> bool, state: State) -> f64 {
        let (mut yes, mut all) = (0_u64, 0_u64);
        let others: Vec<(usize, Name)> =
            (0..self.nodes.len()).filter(|o| of(*o)).map(|o| (o, name(o))).collect();
        let step = (self.nodes.len() / OBSERVERS).max(1);
        for (at, node) in self.nodes.iter().enumerate().step_by(step).filter(|(_, n)| n.up) {
            for (_, other) in others.iter().filter(|(o, _)| *o != at) {
                let seen = node.members.peer(other).map(|p| p.update.state);
                yes += u64::from(seen == Some(state));
                all += 1;
            }
        }
        yes as f64 / all.max(1) as f64
    }
}

/// How many nodes are asked for their view at the most, about.
const OBSERVERS: usize = 50;

/// The bytes of one line of a list, about.
const UPDATE_BYTES: usize = 70;

const SETTLE: Duration = Duration::from_secs(10);
const WATCHED: Duration = Duration::from_secs(30);

fn measure_count(count: usize) -> Vec<Figure> {
    let mut figures = Vec::new();
    let mut add = |name: &str, value: f64| {
        figures.push(Figure::new(format!("nodes.{count}.{name}"), value));
    };
    let mut world = World::new(count);
    world.run(SETTLE);
    let before: Vec<u64> = world.nodes.iter().map(|n| n.sent + n.received).collect();
    world.run(WATCHED);
    let after = world.nodes.iter().map(|n| n.sent + n.received);
    let spent: u64 = after.zip(before).map(|(a, b)| a - b).sum();
    add("gossip_bytes_per_s", spent as f64 / count as f64 / WATCHED.as_secs_f64());

    world.publish(1);
    let calls = world.store_calls;
    add("in_force_999_s", world.time_until(|w| w.have(1) >= 0.999));
    add("in_force_all_s", world.time_until(|w| w.have(1) >= 1.0));
    add("store_calls_per_change", world.store_calls as f64);
    add("store_calls_beyond_watchers", (world.store_calls - calls) as f64);

    world.loss = 0.02;
    let pause = world.now + Duration::from_secs(3);
    world.nodes[count / 2].paused_until = Some(pause);
    world.publish(2);
    add("in_force_999_lossy_s", world.time_until(|w| w.have(2) >= 0.999));
    world.run(WATCHED);
    let false_gone = world.views(|_| true, State::Gone);
    add("false_gone_part", false_gone);
    world.loss = 0.0;

    let victim = count - 1;
    world.nodes[victim].up = false;
    let gone = |w: &World| w.views(|o| o == victim, State::Gone) >= 0.999;
    add("detect_node_s", world.time_until(gone));

    world.nodes[victim].up = true;
    world.run(WATCHED);
    let lost = |at: usize| at.is_multiple_of(DATA_CENTRES);
    for at in (0..count).filter(|at| lost(*at)) {
        world.nodes[at].up = false;
    }
    let gone = |w: &World| w.views(lost, State::Gone) >= 0.999;
    add("detect_data_centre_s", world.time_until(gone));
    for at in (0..count).filter(|at| lost(*at)) {
        world.nodes[at].up = true;
    }
    world.run(WATCHED);

    world.cut_regions = true;
    world.run(WATCHED);
    world.publish(3);
    world.cut_regions = false;
    let healed = |w: &World| w.views(|_| true, State::Serving) >= 0.999;
    add("heal_regions_s", world.time_until(healed));
    add("reached_after_heal", world.have(3));
    figures
}

/// The figures; with those of 550 nodes, which take half a minute, if wanted.
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
