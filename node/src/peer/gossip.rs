//! The datagram socket: membership gossip, and runner loads that one node observes on behalf of
//! others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use sardinepick_lib::config::object::Form;
use sardinepick_lib::id::Name;
use sardinepick_lib::member::{Outgoing, Status};
use sardinepick_lib::{assignment, role};
use sardinepick_wire::gossip::{Datagram, Reserve};
use sardinepick_wire::load::{Load, MAX_LOADS_PER_DATAGRAM, RunnerHash};
use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval};

use crate::node::Node;
use crate::pool::SharedPool;
use crate::upstream::Peer;

/// How often the membership protocol runs.
const TICK: Duration = Duration::from_millis(100);

/// The size limit of a received datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// The number of nodes to which a new generation is announced immediately.
const ANNOUNCE_FANOUT: usize = 6;

/// The overhead of a datagram in bytes: the IP and UDP headers.
const HEADER_BYTES: usize = 28;

/// Runs the membership protocol until the node stops.
pub async fn run(node: Arc<Node>, socket: Arc<UdpSocket>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        tokio::select! {
            () = node.stopped() => return,
            _ = ticks.tick() => tick(&node, &socket).await,
            received = socket.recv_from(&mut buffer) => match received {
                Ok((len, source)) => receive(&node, &socket, source, &buffer[..len]).await,
                Err(error) => log::warn!(error:% = error; "failed to receive a datagram"),
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
    let partner = {
        let mut rng = node.rng();
        node.members().full_sync_peer(now, &mut *rng)
    };
    if let Some(partner) = partner {
        tokio::spawn(exchange(node.clone(), partner));
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

/// Exchanges full membership lists with another node.
async fn exchange(node: Arc<Node>, partner: SocketAddr) {
    let all = node.members().all_updates();
    match node.peers.members(partner, &all).await {
        Ok(updates) => {
            let now = node.clock.now();
            node.members().merge_updates(now, updates);
        }
        Err(error) => log::debug!(error:% = error; "membership exchange failed"),
    }
}

/// Announces this node's new generation to a few nodes immediately.
pub async fn announce_generation(node: &Node, socket: &UdpSocket) {
    let out = {
        let status = status(node);
        let mut rng = node.rng();
        let mut members = node.members();
        members.set_status(status);
        members.push_updates(ANNOUNCE_FANOUT, &mut *rng)
    };
    send_all(node, socket, out).await;
}

async fn receive(node: &Node, socket: &UdpSocket, source: SocketAddr, bytes: &[u8]) {
    let datagram = match Datagram::decode(bytes) {
        Ok(datagram) => datagram,
        Err(error) => {
            log::debug!(peer:% = source, error:% = error; "malformed datagram dropped");
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
                node.config_fetcher().on_advertised(&from, generation);
                node.fetch_requested.notify_one();
            }
            if table > node.table.load().newest() {
                node.newer_table.record(&from, table);
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
                pool.apply_report(&runner, load.age, load.report);
            }
        }
    }
}

fn take_reserve(node: &Node, reserve: &Reserve) {
    let span = reserve.duration.min(MAX_RESERVE);
    for pool in node.pools() {
        for (runner, _) in pool.runners() {
            if reserve.runners.contains(&RunnerHash::from(&runner)) {
                pool.reserve(&runner, span);
            }
        }
    }
}

/// The limit on how long one message reserves a runner; a longer reservation has to be repeated.
const MAX_RESERVE: Duration = Duration::from_secs(10);

/// Asks all nodes that use a runner to send it no new work for `span`.
pub async fn reserve(node: &Node, runner: &Name, span: Duration) {
    let nodes: Vec<Name> = node.members().active().cloned().collect();
    let mut sharing = Vec::new();
    assignment::assign_nodes(runner, &nodes, &mut sharing);
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
    bytes.inc_by((len + HEADER_BYTES) as u64);
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
        log::debug!(peer:% = to, error:% = error; "failed to send a datagram");
    }
}

/// Observes the runners for which this node is the first sharer, and sends their loads to the other
/// sharers, until the node stops.
pub async fn observe(node: Arc<Node>, socket: Arc<UdpSocket>) {
    let mut samples = interval(role::SAMPLE_PERIOD);
    samples.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last_asked: Option<Instant> = None;
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
                let period = assignment::load_period(nodes, node.settings.load_period);
                let now = node.clock.now();
                // A tick may come slightly early, so three quarters of the period are enough.
                if last_asked.is_none_or(|at| now >= at + period * 3 / 4) {
                    last_asked = Some(now);
                    observe_once(&node, &socket).await;
                }
            }
        }
    }
}

/// A runner that this node observes.
struct Observed {
    pool: SharedPool,
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
            assignment::assign_nodes(&runner, &nodes, &mut sharing);
            if sharing.first() == Some(&&node.settings.name) {
                let others = sharing.iter().skip(1).map(|n| (*n).clone()).collect();
                let peer = Peer { name: runner, address };
                found.push(Observed { pool: pool.clone(), peer, others });
            }
        }
    }
    found
}

/// Queries all observed runners concurrently, and sends each other sharer the loads it needs in as
/// few datagrams as possible: a datagram's headers are as long as a load.
async fn observe_once(node: &Arc<Node>, socket: &UdpSocket) {
    let queries = observed(node).into_iter().map(|observed| fetch_load(node, observed));
    let loads = futures_util::future::join_all(queries).await;
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

async fn fetch_load(node: &Node, observed: Observed) -> Option<(Vec<Name>, Load)> {
    let Observed { pool, peer, others } = observed;
    let sent = node.clock.now();
    let report = match node.engine.load(&peer).await {
        Ok(report) => report,
        Err(fault) => {
            log::debug!(runner:% = peer.name, error:% = fault; "failed to query a runner's load");
            return None;
        }
    };
    let age = node.clock.now().saturating_duration_since(sent) / 2;
    pool.apply_report(&peer.name, age, report);
    Some((others, Load { runner: RunnerHash::from(&peer.name), age, report }))
}
