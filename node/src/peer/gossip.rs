//! The datagram socket: membership, and loads of runners that one node observes for others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use sardinepick_lib::config::object::Form;
use sardinepick_lib::id::Name;
use sardinepick_lib::member::{Outgoing, Status};
use sardinepick_lib::{role, supply};
use sardinepick_wire::gossip::{Datagram, Reserve};
use sardinepick_wire::load::{Load, MAX_LOADS_PER_DATAGRAM, RunnerHash};
use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval};

use crate::node::Node;
use crate::pool::Shared;
use crate::upstream::Peer;

/// How often the membership is looked after.
const TICK: Duration = Duration::from_millis(100);

/// The longest datagram.
const MAX_DATAGRAM: usize = 2048;

/// To how many nodes a new generation is told at once.
const TELL: usize = 6;

/// What a datagram costs beyond its content: the heads of UDP and IP.
const HEADS: usize = 28;

/// Runs the membership until the node stops.
pub async fn run(node: Arc<Node>, socket: Arc<UdpSocket>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        tokio::select! {
            () = node.stopped() => return,
            _ = ticks.tick() => tick(&node, &socket).await,
            received = socket.recv_from(&mut buffer) => match received {
                Ok((len, source)) => receive(&node, &socket, source, &buffer[..len]).await,
                Err(error) => log::warn!(error:% = error; "receiving a datagram"),
            },
        }
    }
}

fn status(node: &Node) -> Status {
    let load = u32::try_from(node.metrics.under_way.get()).unwrap_or(0);
    Status { generation: node.config.load().generation, table: node.table.load().newest(), load }
}

async fn tick(node: &Arc<Node>, socket: &UdpSocket) {
    let now = node.clock.now();
    let with = {
        let mut rng = node.rng();
        node.members().exchange_with(now, &mut *rng)
    };
    if let Some(with) = with {
        tokio::spawn(exchange(node.clone(), with));
    }
    let out = {
        let status = status(node);
        let mut rng = node.rng();
        let mut members = node.members();
        members.set_status(status);
        members.tick(now, &mut *rng)
    };
    send_all(node, socket, out).await;
}

/// Exchanges whole lists of the membership with another node.
async fn exchange(node: Arc<Node>, with: SocketAddr) {
    let all = node.members().all();
    match node.peers.members(with, &all).await {
        Ok(updates) => {
            let now = node.clock.now();
            node.members().take_all(now, updates);
        }
        Err(error) => log::debug!(error:% = error; "exchanging the membership"),
    }
}

/// Tells a few nodes at once that this node has a new generation.
pub async fn tell(node: &Node, socket: &UdpSocket) {
    let out = {
        let status = status(node);
        let mut rng = node.rng();
        let mut members = node.members();
        members.set_status(status);
        members.tell(TELL, &mut *rng)
    };
    send_all(node, socket, out).await;
}

async fn receive(node: &Node, socket: &UdpSocket, source: SocketAddr, bytes: &[u8]) {
    let datagram = match Datagram::decode(bytes) {
        Ok(datagram) => datagram,
        Err(error) => {
            log::debug!(peer:% = source, error:% = error; "dropping a datagram");
            return;
        }
    };
    count(node, kind(&datagram), "in", bytes.len());
    match datagram {
        Datagram::Gossip(message) => {
            let from = message.from.clone();
            let generation = message.status.generation;
            let table = message.status.table;
            let out = node.members().receive(node.clock.now(), source, *message);
            if generation > node.config.load().generation {
                node.spreader().hear(&from, generation);
                node.wanted.notify_one();
            }
            if table > node.table.load().newest() {
                node.table_wanted.hear(&from, table);
            }
            send_all(node, socket, out).await;
        }
        Datagram::Loads(loads) => take_loads(node, &loads),
        Datagram::Reserve(reserve) => take_reserve(node, &reserve),
    }
}

fn take_loads(node: &Node, loads: &[Load]) {
    for pool in node.pools() {
        for (runner, _) in pool.runners() {
            let hash = RunnerHash::from(&runner);
            if let Some(load) = loads.iter().find(|l| l.runner == hash) {
                pool.take_report(&runner, load.age, load.report);
            }
        }
    }
}

fn take_reserve(node: &Node, reserve: &Reserve) {
    let span = reserve.duration.min(LONGEST_RESERVE);
    for pool in node.pools() {
        for (runner, _) in pool.runners() {
            if reserve.runners.contains(&RunnerHash::from(&runner)) {
                pool.reserve(&runner, span);
            }
        }
    }
}

/// The longest time for which one message reserves a runner: whoever reserves must go on saying so.
const LONGEST_RESERVE: Duration = Duration::from_secs(10);

/// Has all nodes that use a runner give it no new work for `span`.
pub async fn reserve(node: &Node, runner: &Name, span: Duration) {
    let nodes: Vec<Name> = node.members().active().cloned().collect();
    let mut sharing = Vec::new();
    supply::sharers(runner, &nodes, &mut sharing);
    let reserve = Reserve { runners: vec![RunnerHash::from(runner)], duration: span };
    take_reserve(node, &reserve);
    let Some(socket) = node.socket() else { return };
    for other in sharing {
        if let Some(to) = node.peer_address(other) {
            send(node, socket, to, &Datagram::Reserve(reserve.clone())).await;
        }
    }
}

fn kind(datagram: &Datagram) -> &'static str {
    match datagram {
        Datagram::Gossip(_) => "gossip",
        Datagram::Loads(_) => "loads",
        Datagram::Reserve(_) => "reserve",
    }
}

fn count(node: &Node, kind: &str, direction: &str, len: usize) {
    let bytes = node.metrics.peer_bytes.with_label_values(&[kind, direction]);
    bytes.inc_by((len + HEADS) as u64);
}

async fn send_all(node: &Node, socket: &UdpSocket, out: Vec<Outgoing>) {
    for Outgoing { to, message } in out {
        send(node, socket, to, &Datagram::Gossip(Box::new(message))).await;
    }
}

async fn send(node: &Node, socket: &UdpSocket, to: SocketAddr, datagram: &Datagram) {
    let bytes = datagram.encode();
    count(node, kind(datagram), "out", bytes.len());
    if let Err(error) = socket.send_to(&bytes, to).await {
        log::debug!(peer:% = to, error:% = error; "sending a datagram");
    }
}

/// Observes the runners for which this node is the first sharer, and passes their loads on to the
/// other sharers, until the node stops.
pub async fn observe(node: Arc<Node>, socket: Arc<UdpSocket>) {
    let mut samples = interval(role::SAMPLE_PERIOD);
    samples.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut asked: Option<Instant> = None;
    let mut ticks = interval(node.settings.load_period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = node.stopped() => return,
            _ = samples.tick() => {
                for pool in node.pools() {
                    pool.sample_demand();
                }
            }
            _ = ticks.tick() => {
                let nodes = node.members().active().count();
                let period = supply::load_period(nodes, node.settings.load_period);
                let now = node.clock.now();
                // A tick may come a little early, so three quarters of the period must have passed.
                if asked.is_none_or(|at| now >= at + period * 3 / 4) {
                    asked = Some(now);
                    observe_once(&node, &socket).await;
                }
            }
        }
    }
}

/// A runner that this node observes.
struct Observed {
    pool: Shared,
    peer: Peer,
    others: Vec<Name>,
}

fn observed(node: &Node) -> Vec<Observed> {
    let nodes: Vec<Name> = node.members().active().cloned().collect();
    let snapshot = node.config.load_full();
    let mut sharing = Vec::new();
    let mut found = Vec::new();
    for pool in node.pools() {
        let is_model = snapshot.service(&pool.service).is_some_and(|s| s.form == Form::Model);
        if !is_model {
            continue;
        }
        for (runner, address) in pool.runners() {
            supply::sharers(&runner, &nodes, &mut sharing);
            if sharing.first() == Some(&&node.settings.name) {
                let others = sharing.iter().skip(1).map(|n| (*n).clone()).collect();
                let peer = Peer { name: runner, address };
                found.push(Observed { pool: pool.clone(), peer, others });
            }
        }
    }
    found
}

/// Asks each observed runner at once, and sends each other sharer what it needs in as few
/// datagrams as will do: the heads of a datagram are as long as a load.
async fn observe_once(node: &Arc<Node>, socket: &UdpSocket) {
    let asked = observed(node).into_iter().map(|observed| ask(node, observed));
    let loads = futures_util::future::join_all(asked).await;
    let mut by_node: BTreeMap<Name, Vec<Load>> = BTreeMap::new();
    for (others, load) in loads.into_iter().flatten() {
        for other in others {
            by_node.entry(other).or_default().push(load);
        }
    }
    for (name, loads) in by_node {
        let Some(to) = node.peer_address(&name) else { continue };
        for part in loads.chunks(MAX_LOADS_PER_DATAGRAM) {
            send(node, socket, to, &Datagram::Loads(part.to_vec())).await;
        }
    }
}

async fn ask(node: &Node, observed: Observed) -> Option<(Vec<Name>, Load)> {
    let Observed { pool, peer, others } = observed;
    let asked = node.clock.now();
    let report = match node.engine.load(&peer).await {
        Ok(report) => report,
        Err(fault) => {
            log::debug!(runner:% = peer.name, error:% = fault; "asking for the load");
            return None;
        }
    };
    let age = node.clock.now().saturating_duration_since(asked) / 2;
    pool.take_report(&peer.name, age, report);
    Some((others, Load { runner: RunnerHash::from(&peer.name), age, report }))
}
