//! The state that the parts of a node share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::UNIX_EPOCH;

use arc_swap::ArcSwap;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use sardinepick_lib::assignment;
use sardinepick_lib::claim::Register;
use sardinepick_lib::clock::Clock;
use sardinepick_lib::config::snapshot::Snapshot;
use sardinepick_lib::config_fetch::ConfigFetcher;
use sardinepick_lib::directory::ClientEndpoint;
use sardinepick_lib::hash::stable_hash;
use sardinepick_lib::id::{Generation, Incarnation, Name, RequestId};
use sardinepick_lib::member::{Addresses, Members, State, Update};
use sardinepick_lib::owner::{Member, Table};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};

use crate::authority::Authority;
use crate::front::body::Space;
use crate::http_client;
use crate::metrics::Metrics;
use crate::peer::client::Peers;
use crate::pool::{Pool, SharedPool};
use crate::settings::Settings;
use crate::store::Store;
use crate::tables::NewerTable;
use crate::upstream::Engine;

/// The shared state of a node.
pub struct Node {
    /// The settings.
    pub settings: Settings,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The client for the platform.
    pub store: Arc<dyn Store>,
    /// The client for model engines.
    pub engine: Arc<dyn Engine>,
    /// The client for plain services.
    pub http: http_client::Client,
    /// Metrics.
    pub metrics: Metrics,
    /// The client for other nodes.
    pub peers: Peers,
    /// The configuration in force. A request loads it once and uses it until it ends.
    pub config: ArcSwap<Snapshot>,
    /// The space for request bodies.
    pub bodies: Space,
    /// The table of key owners.
    pub table: ArcSwap<Table>,
    /// The node that last announced a newer table.
    pub newer_table: NewerTable,
    /// The control of engines.
    pub authority: Authority,
    /// Signals that the configuration in force has changed.
    pub installed: Notify,
    /// Signals that a newer configuration can be fetched.
    pub fetch_requested: Notify,
    socket: OnceLock<Arc<UdpSocket>>,
    members: Mutex<Members>,
    config_fetcher: Mutex<ConfigFetcher>,
    register: Mutex<Register>,
    pools: Mutex<HashMap<Name, SharedPool>>,
    rng: Mutex<StdRng>,
    next_request: AtomicU64,
    next_claim: AtomicU64,
    stop: watch::Sender<bool>,
}

impl Node {
    /// Creates a node that has not started yet.
    pub fn new(
        settings: Settings,
        clock: Arc<dyn Clock>,
        store: Arc<dyn Store>,
        engine: Arc<dyn Engine>,
        metrics: Metrics,
    ) -> Self {
        let since_epoch = clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        let incarnation = Incarnation(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX));
        let me = Member { name: settings.name.clone(), incarnation, address: settings.peer };
        let update = Update {
            name: settings.name.clone(),
            incarnation,
            serial: 0,
            state: State::Joining,
            addresses: Addresses { peer: settings.peer, front: settings.front },
            data_centre: settings.data_centre.clone(),
        };
        let seed = stable_hash(incarnation.0, settings.name.as_str().as_bytes());
        Self {
            members: Mutex::new(Members::new(update, settings.seeds.clone())),
            config_fetcher: Mutex::new(ConfigFetcher::default()),
            register: Mutex::new(Register::new(me)),
            pools: Mutex::new(HashMap::new()),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
            next_request: AtomicU64::new(1),
            next_claim: AtomicU64::new(1),
            stop: watch::channel(false).0,
            socket: OnceLock::new(),
            config: ArcSwap::default(),
            bodies: Space::new(settings.body_space.max(settings.max_body * 2)),
            table: ArcSwap::default(),
            newer_table: NewerTable::default(),
            authority: Authority::default(),
            installed: Notify::new(),
            fetch_requested: Notify::new(),
            peers: Peers::new(metrics.clone()),
            // Retries within the client would not be tracked in the states of requests.
            http: http_client::Client::new(settings.connect_timeout, false),
            settings,
            clock,
            incarnation,
            store,
            engine,
            metrics,
        }
    }

    /// Returns the socket for datagrams once the node has started.
    pub fn socket(&self) -> Option<&Arc<UdpSocket>> {
        self.socket.get()
    }

    /// Sets the socket for datagrams. A second call has no effect.
    pub fn set_socket(&self, socket: Arc<UdpSocket>) {
        let _ = self.socket.set(socket);
    }

    /// Locks the membership.
    pub fn members(&self) -> MutexGuard<'_, Members> {
        self.members.lock().expect("members lock poisoned")
    }

    /// Locks the configuration fetcher.
    pub fn config_fetcher(&self) -> MutexGuard<'_, ConfigFetcher> {
        self.config_fetcher.lock().expect("configuration fetcher lock poisoned")
    }

    /// Locks the records of the keys that this node owns.
    pub fn register(&self) -> MutexGuard<'_, Register> {
        self.register.lock().expect("register lock poisoned")
    }

    /// Locks the random number generator.
    pub fn rng(&self) -> MutexGuard<'_, StdRng> {
        self.rng.lock().expect("random number generator lock poisoned")
    }

    /// Returns a new request ID.
    pub fn next_request_id(&self) -> RequestId {
        RequestId(self.next_request.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns a new claim number.
    pub fn next_claim(&self) -> u64 {
        self.next_claim.fetch_add(1, Ordering::Relaxed)
    }

    /// Tells all tasks to stop.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Waits until [`Node::stop`] is called.
    pub async fn stopped(&self) {
        let mut stop = self.stop.subscribe();
        // The sender lives as long as this node, so the wait cannot fail.
        let _ = stop.wait_for(|stop| *stop).await;
    }

    /// Returns the pool of a service if it is configured.
    pub fn pool(&self, service: &Name) -> Option<SharedPool> {
        self.pools.lock().expect("pools lock poisoned").get(service).cloned()
    }

    /// Returns all pools.
    pub fn pools(&self) -> Vec<SharedPool> {
        let pools = self.pools.lock().expect("pools lock poisoned");
        pools.values().cloned().collect()
    }

    /// Updates the pools to the configuration in force and the nodes that share the runners.
    pub fn configure_pools(&self) {
        let snapshot = self.config.load_full();
        let nodes: Vec<Name> = self.members().active().cloned().collect();
        let count = u32::try_from(nodes.len()).unwrap_or(u32::MAX);
        let mut sharing = Vec::new();
        let mut pools = HashMap::new();
        for service in snapshot.services() {
            let pool = self.pool(&service.name).unwrap_or_else(|| {
                let seed = stable_hash(self.incarnation.0, service.name.as_str().as_bytes());
                Arc::new(Pool::new(service.name.clone(), self.clock.clone(), seed))
            });
            let mut mine = Vec::new();
            for runner in snapshot.runners(&service.name) {
                assignment::assign_nodes(&runner.name, &nodes, &mut sharing);
                if sharing.contains(&&self.settings.name) {
                    let shared = u32::try_from(sharing.len()).unwrap_or(u32::MAX);
                    mine.push((runner, shared));
                }
            }
            pool.configure(service, &mine, count, self.settings.queue);
            pools.insert(service.name.clone(), pool);
        }
        *self.pools.lock().expect("pools lock poisoned") = pools;
    }

    /// Returns the addresses of the nodes that accept clients.
    pub fn client_endpoints(&self) -> Vec<ClientEndpoint> {
        let members = self.members();
        let me = members.me();
        let load = u32::try_from(self.metrics.under_way.get()).unwrap_or(0);
        let front = |update: &Update, load| ClientEndpoint {
            name: update.name.clone(),
            address: update.addresses.front,
            data_centre: update.data_centre.clone(),
            load,
        };
        let mine = (me.state == State::Serving).then(|| front(me, load));
        let others = members.peers().filter(|p| p.accepts_clients());
        mine.into_iter().chain(others.map(|p| front(&p.update, p.status.load))).collect()
    }

    /// Returns the address of another node.
    pub fn peer_address(&self, name: &Name) -> Option<SocketAddr> {
        self.members().peer(name).map(|p| p.update.addresses.peer)
    }

    /// Returns whether clients should use this node: it has a configuration and is not leaving.
    pub fn is_ready(&self) -> bool {
        self.members().me().state == State::Serving
    }

    /// Returns whether this node serves requests. A leaving node continues to serve, since clients
    /// may have cached its address.
    pub fn accepts_requests(&self) -> bool {
        matches!(self.members().me().state, State::Serving | State::Leaving)
            && self.config.load().generation > Generation(0)
    }
}
