//! Starting and stopping a node.

use std::sync::Arc;
use std::time::Duration;

use dropshot::HttpServer;
use sardinepick_lib::clock::Clock;
use sardinepick_lib::member::{State, list_period};
use thiserror::Error;
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use crate::front::{self, Context, FrontError};
use crate::metrics::Metrics;
use crate::node::Node;
use crate::peer::{gossip, server};
use crate::settings::Settings;
use crate::store::HttpStore;
use crate::upstream::completions::Completions;
use crate::{authority, configuration, sweep, tables};

/// An error that prevents a node from starting.
#[derive(Debug, Error)]
pub enum StartError {
    /// The node cannot listen on its address for other nodes.
    #[error("failed to listen for other nodes on {address}: {source}")]
    Peer {
        /// The address.
        address: std::net::SocketAddr,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The node cannot listen on its address for clients.
    #[error("failed to listen for clients on {address}: {source}")]
    Clients {
        /// The address.
        address: std::net::SocketAddr,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The HTTP interface failed to start.
    #[error(transparent)]
    Front(#[from] FrontError),
}

/// A running node.
pub struct Running {
    /// The node's shared state.
    pub node: Arc<Node>,
    server: HttpServer<Context>,
    client_listener: JoinHandle<()>,
}

/// How a node has stopped.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Stopped {
    /// The number of requests that were aborted because of the shutdown limit or a second signal.
    pub cut: u64,
}

/// How often the admission queues are polled.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// How often a stopping node checks whether it has finished.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How long a stopping node waits for its leases to be released.
const LEASE_RELEASE_TIMEOUT: Duration = Duration::from_secs(3);

/// Starts a node.
///
/// # Errors
/// The node cannot listen on one of its addresses.
pub async fn start(settings: Settings, clock: Arc<dyn Clock>) -> Result<Running, StartError> {
    let metrics = Metrics::new();
    let store = Arc::new(HttpStore::new(
        settings.platform,
        settings.platform_timeout,
        metrics.store_calls.clone(),
    ));
    let engine = Arc::new(Completions::new(settings.connect_timeout, settings.stall_timeout));
    let address = settings.peer;
    let failed = |source| StartError::Peer { address, source };
    let peer_listener = TcpListener::bind(address).await.map_err(failed)?;
    let socket = Arc::new(UdpSocket::bind(address).await.map_err(failed)?);
    let node = Arc::new(Node::new(settings, clock, store, engine, metrics));
    node.set_socket(socket.clone());
    let front_address = node.settings.front;
    let client_listener = TcpListener::bind(front_address)
        .await
        .map_err(|source| StartError::Clients { address: front_address, source })?;
    let server = front::start(&node)?;
    let client_listener =
        tokio::spawn(front::listener::run(node.clone(), client_listener, server.local_addr()));
    tokio::spawn(server::run(node.clone(), peer_listener));
    tokio::spawn(gossip::run(node.clone(), socket.clone()));
    tokio::spawn(gossip::observe(node.clone(), socket.clone()));
    tokio::spawn(configuration::watch(node.clone()));
    tokio::spawn(configuration::fetch(node.clone(), socket));
    tokio::spawn(tables::run(node.clone()));
    tokio::spawn(authority::run(node.clone()));
    tokio::spawn(sweep::run(node.clone()));
    tokio::spawn(update_membership(node.clone()));
    tokio::spawn(poll_queues(node.clone()));
    log::info!(
        node:% = node.settings.name, data_centre:% = node.settings.data_centre,
        front:% = node.settings.front, peer:% = node.settings.peer; "started"
    );
    Ok(Running { node, server, client_listener })
}

/// Polls the admission queues until the node stops.
async fn poll_queues(node: Arc<Node>) {
    loop {
        tokio::select! {
            () = node.stopped() => return,
            () = sleep(QUEUE_POLL_INTERVAL) => {}
        }
        for pool in node.pools() {
            pool.poll_queue();
        }
    }
}

/// Reads the VM list and adapts the pools to the active nodes until the node stops.
async fn update_membership(node: Arc<Node>) {
    let mut previous = Vec::new();
    loop {
        match node.store.vms().await {
            Ok(vms) => {
                let now = node.clock.now();
                node.members().apply_vm_list(now, &vms);
            }
            Err(error) => log::debug!(error:% = error; "failed to read the VM list"),
        }
        let active: Vec<_> = node.members().active().cloned().collect();
        if active != previous {
            log::info!(members = active.len(); "membership changed");
            previous = active;
            node.configure_pools();
            let addresses: Vec<_> =
                node.members().peers().map(|p| p.update.addresses.peer).collect();
            node.peers.keep_only(&addresses);
        }
        tokio::select! {
            () = node.stopped() => return,
            () = sleep(list_period(previous.len(), node.settings.list_period)) => {}
        }
    }
}

impl Running {
    /// Stops gracefully: announces that the node is leaving, waits until the addresses that clients
    /// have cached expire, finishes the requests in progress, and stops. `abort` skips the waiting.
    pub async fn stop(self, abort: impl Future<Output = ()>) -> Stopped {
        let node = self.node.clone();
        log::info!(node:% = node.settings.name; "leaving");
        node.members().set_state(State::Leaving);
        let limit = Instant::now() + node.settings.shutdown_limit;
        let hurried = tokio::select! {
            () = abort => true,
            () = wait_finished(&node, limit) => false,
        };
        let cut = u64::try_from(node.metrics.under_way.get()).unwrap_or(0);
        if cut > 0 {
            log::warn!(requests = cut, hurried = hurried; "aborting requests");
        }
        node.stop();
        if let Err(error) = self.client_listener.await {
            log::warn!(error:% = error; "the listener for clients failed");
        }
        let closed = tokio::time::timeout(LEASE_RELEASE_TIMEOUT, self.server.close()).await;
        if !matches!(closed, Ok(Ok(()))) {
            log::warn!("the API server did not close in time");
        }
        log::info!(node:% = node.settings.name; "stopped");
        Stopped { cut }
    }

    /// Stops at once. To others this looks like a killed process.
    pub fn kill(self) {
        self.node.stop();
        self.client_listener.abort();
    }
}

/// Waits until the addresses that clients have cached expire and no requests are in progress, up to
/// `limit`.
async fn wait_finished(node: &Node, limit: Instant) {
    let expired = Instant::now() + node.settings.validity;
    let release_limit = Instant::now() + LEASE_RELEASE_TIMEOUT;
    loop {
        sleep(STOP_POLL_INTERVAL).await;
        let now = Instant::now();
        let queued: usize = node.pools().iter().map(|p| p.state().queue).sum();
        let busy = node.metrics.under_way.get() > 0 || queued > 0;
        let holds_leases = node.authority.held_leases() > 0 && now < release_limit;
        if now >= limit || (now >= expired && !busy && !holds_leases) {
            return;
        }
    }
}
