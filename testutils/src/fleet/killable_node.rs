//! A node in the test's process that can be killed, and whose incoming datagrams can be dropped.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use sardinepick_lib::clock::System;
use sardinepick_lib::fleet::watch_role::SUBJECT;
use sardinepick_lib::id::NodeId;
use sardinepick_lib::rank;
use sardinepick_node::serve::metrics::Metrics;
use sardinepick_node::serve::run::{self, Running, Sockets};
use sardinepick_node::serve::settings::Settings;
use sardinepick_node::serve::shared::Shared;
use tokio::net::UdpSocket;
use tokio::runtime::{Builder, Runtime};

use crate::cluster::any_address;
use crate::fleet::deployment::{Deployment, MAX_SEEDS};

/// Larger than any datagram between nodes.
const BUFFER_BYTES: usize = 64 << 10;

/// A node with a runtime of its own. Dropping it kills the node.
pub struct KillableNode {
    /// The node's state.
    pub shared: Arc<Shared>,
    /// The runtime of all of its tasks; `None` once it is shut down.
    runtime: Option<Runtime>,
    drops_datagrams: Arc<AtomicBool>,
    /// `None` once the node stops.
    running: Option<Running>,
}

impl KillableNode {
    /// Starts a node.
    ///
    /// # Errors
    /// An address cannot be bound.
    ///
    /// # Panics
    /// It does not start.
    pub async fn start(settings: Settings) -> io::Result<Self> {
        let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
        let drops_datagrams = Arc::new(AtomicBool::new(false));
        let drops = drops_datagrams.clone();
        let node = runtime.spawn(async move {
            let mut sockets = Sockets::bind(&settings).await.expect("free addresses");
            // The relay takes over the node's address for datagrams.
            let own = UdpSocket::bind(any_address()).await.expect("a free address");
            let server = own.local_addr().expect("a socket has an address");
            let public = std::mem::replace(&mut sockets.heartbeats, own);
            tokio::spawn(relay(public, server, drops));
            run::start_at(settings, Arc::new(System), Metrics::default(), sockets)
        });
        let running = node.await.expect("the node starts");
        let shared = running.shared.clone();
        Ok(Self { shared, runtime: Some(runtime), drops_datagrams, running: Some(running) })
    }

    /// Drops all datagrams to the node from now on, or none.
    pub fn drop_datagrams(&self, drops: bool) {
        self.drops_datagrams.store(drops, Ordering::Relaxed);
    }

    /// Stops the node gracefully, and then ends its tasks as the exit of its process does. Returns
    /// the number of aborted requests.
    ///
    /// # Panics
    /// The node is killed already.
    pub async fn stop(mut self) -> u64 {
        let running = self.running.take().expect("the node runs");
        let stopping = self.runtime.as_ref().expect("the node runs").spawn(running.stop());
        stopping.await.expect("no panic")
    }

    /// Ends all tasks of the node and closes its sockets.
    pub fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for KillableNode {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Names for nodes, by the order in which they would watch the store.
pub fn ranked_names(count: usize) -> Vec<NodeId> {
    let names = (0..count).map(|n| format!("edge-{n}").parse().expect("a name"));
    let mut names: Vec<NodeId> = names.collect();
    names.sort_by_key(|name| Reverse(rank::weight(SUBJECT, name)));
    names
}

/// Starts nodes one after the other. Their seeds are `seeds` and the nodes before them.
///
/// # Panics
/// A node does not start.
pub async fn start_nodes(
    deployment: &Deployment,
    names: &[NodeId],
    seeds: &[SocketAddr],
) -> Vec<KillableNode> {
    let mut nodes: Vec<KillableNode> = Vec::new();
    for name in names {
        let seeds = seeds.iter().copied().chain(peer_addresses(&nodes)).take(MAX_SEEDS).collect();
        let settings = deployment.settings(name.as_str(), seeds);
        nodes.push(KillableNode::start(settings).await.expect("free addresses"));
    }
    nodes
}

/// The addresses of nodes for other nodes.
pub fn peer_addresses(nodes: &[KillableNode]) -> Vec<SocketAddr> {
    nodes.iter().map(|node| node.shared.me.peer).collect()
}

/// Relays datagrams to a node, from one socket for each sender, and the node's replies back.
async fn relay(public: UdpSocket, server: SocketAddr, drops: Arc<AtomicBool>) {
    let public = Arc::new(public);
    let mut senders: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok((length, from)) = public.recv_from(&mut buffer).await {
        if drops.load(Ordering::Relaxed) {
            continue;
        }
        let socket = match senders.entry(from) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(entry) => {
                let socket = UdpSocket::bind(any_address()).await.expect("a free address");
                let socket = Arc::new(socket);
                tokio::spawn(relay_replies(socket.clone(), public.clone(), from));
                entry.insert(socket)
            }
        };
        if let Err(error) = socket.send_to(&buffer[..length], server).await {
            log::debug!(error:% = error; "cannot relay a datagram");
        }
    }
}

async fn relay_replies(socket: Arc<UdpSocket>, public: Arc<UdpSocket>, to: SocketAddr) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok((length, _)) = socket.recv_from(&mut buffer).await {
        if let Err(error) = public.send_to(&buffer[..length], to).await {
            log::debug!(error:% = error; "cannot relay a reply");
        }
    }
}
