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

/// Why a node does not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The address for other nodes cannot be listened at.
    #[error("listening for other nodes at {address}: {source}")]
    Peer {
        /// The address.
        address: std::net::SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
    /// The address for callers cannot be listened at.
    #[error("listening for callers at {address}: {source}")]
    Callers {
        /// The address.
        address: std::net::SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
    /// The API cannot be served.
    #[error(transparent)]
    Front(#[from] FrontError),
}

/// A node at work.
pub struct Running {
    /// What its parts share.
    pub node: Arc<Node>,
    server: HttpServer<Context>,
    callers: JoinHandle<()>,
}

/// How a node stopped.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Stopped {
    /// Requests that were cut because the limit was over or a second signal came.
    pub cut: u64,
}

/// How often the queues are looked after.
const PUMP_PERIOD: Duration = Duration::from_millis(25);

/// How often a stopping node looks whether it is done.
const STOP_PERIOD: Duration = Duration::from_millis(50);

/// How long a stopping node waits for its leases to be given back.
const RELEASE_LIMIT: Duration = Duration::from_secs(3);

/// Starts a node.
///
/// # Errors
/// One of its addresses cannot be listened at.
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
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let socket = Arc::new(UdpSocket::bind(address).await.map_err(failed)?);
    let node = Arc::new(Node::new(settings, clock, store, engine, metrics));
    node.set_socket(socket.clone());
    let front_address = node.settings.front;
    let callers = TcpListener::bind(front_address)
        .await
        .map_err(|source| StartError::Callers { address: front_address, source })?;
    let server = front::start(&node)?;
    let callers = tokio::spawn(front::listener::run(node.clone(), callers, server.local_addr()));
    tokio::spawn(server::run(node.clone(), listener));
    tokio::spawn(gossip::run(node.clone(), socket.clone()));
    tokio::spawn(gossip::observe(node.clone(), socket.clone()));
    tokio::spawn(configuration::watch(node.clone()));
    tokio::spawn(configuration::fetch(node.clone(), socket));
    tokio::spawn(tables::run(node.clone()));
    tokio::spawn(authority::run(node.clone()));
    tokio::spawn(sweep::run(node.clone()));
    tokio::spawn(keep_members(node.clone()));
    tokio::spawn(pump(node.clone()));
    log::info!(
        node:% = node.settings.name, data_centre:% = node.settings.data_centre,
        front:% = node.settings.front, peer:% = node.settings.peer; "started"
    );
    Ok(Running { node, server, callers })
}

/// Looks after the queues until the node stops.
async fn pump(node: Arc<Node>) {
    loop {
        tokio::select! {
            () = node.stopped() => return,
            () = sleep(PUMP_PERIOD) => {}
        }
        for pool in node.pools() {
            pool.pump();
        }
    }
}

/// Reads the VM list, and fits the pools to the nodes that take part, until the node stops.
async fn keep_members(node: Arc<Node>) {
    let mut before = Vec::new();
    loop {
        match node.store.vms().await {
            Ok(vms) => {
                let now = node.clock.now();
                node.members().apply_vm_list(now, &vms);
            }
            Err(error) => log::debug!(error:% = error; "reading the VM list"),
        }
        let active: Vec<_> = node.members().active().cloned().collect();
        if active != before {
            log::info!(members = active.len(); "membership changed");
            before = active;
            node.configure_pools();
            let addresses: Vec<_> =
                node.members().peers().map(|p| p.update.addresses.peer).collect();
            node.peers.keep_only(&addresses);
        }
        tokio::select! {
            () = node.stopped() => return,
            () = sleep(list_period(before.len(), node.settings.list_period)) => {}
        }
    }
}

impl Running {
    /// Stops gracefully: leaves the listings, waits out the callers' validity, finishes what it
    /// has, and ends. `hurry` cuts this short.
    pub async fn stop(self, hurry: impl Future<Output = ()>) -> Stopped {
        let node = self.node.clone();
        log::info!(node:% = node.settings.name; "leaving");
        node.members().set_state(State::Leaving);
        let limit = Instant::now() + node.settings.shutdown_limit;
        let hurried = tokio::select! {
            () = hurry => true,
            () = finish(&node, limit) => false,
        };
        let cut = u64::try_from(node.metrics.under_way.get()).unwrap_or(0);
        if cut > 0 {
            log::warn!(requests = cut, hurried = hurried; "cutting requests");
        }
        node.stop();
        if let Err(error) = self.callers.await {
            log::warn!(error:% = error; "closing the callers' listener");
        }
        let closed = tokio::time::timeout(RELEASE_LIMIT, self.server.close()).await;
        if !matches!(closed, Ok(Ok(()))) {
            log::warn!("closing the API's server took too long");
        }
        log::info!(node:% = node.settings.name; "stopped");
        Stopped { cut }
    }

    /// Ends at once, as a killed process does as far as others can see.
    pub fn kill(self) {
        self.node.stop();
        self.callers.abort();
    }
}

/// Waits out the callers' validity and the requests under way, up to `limit`.
async fn finish(node: &Node, limit: Instant) {
    let validity = Instant::now() + node.settings.validity;
    let released = Instant::now() + RELEASE_LIMIT;
    loop {
        sleep(STOP_PERIOD).await;
        let now = Instant::now();
        let waiting: usize = node.pools().iter().map(|p| p.peek().queue).sum();
        let busy = node.metrics.under_way.get() > 0 || waiting > 0;
        let holding = node.authority.held() > 0 && now < released;
        if now >= limit || (now >= validity && !busy && !holding) {
            return;
        }
    }
}
