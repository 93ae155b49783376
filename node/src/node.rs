//! One node: what its parts share.

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
use crate::front::plain;
use crate::metrics::Metrics;
use crate::peer::client::Peers;
use crate::pool::{Pool, Shared};
use crate::settings::Settings;
use crate::store::Store;
use crate::tables::Wanted;
use crate::upstream::Engine;

/// What the parts of a node share.
pub struct Node {
    /// The settings.
    pub settings: Settings,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// This life.
    pub incarnation: Incarnation,
    /// The platform.
    pub store: Arc<dyn Store>,
    /// Model engines.
    pub engine: Arc<dyn Engine>,
    /// The client for plain services.
    pub http: plain::Http,
    /// Metrics.
    pub metrics: Metrics,
    /// Calls to other nodes.
    pub peers: Peers,
    /// The configuration in force. A request takes it once and keeps it to its end.
    pub config: ArcSwap<Snapshot>,
    /// The table of key owners.
    pub table: ArcSwap<Table>,
    /// Who is known to have a newer table.
    pub table_wanted: Wanted,
    /// The authority over engines.
    pub authority: Authority,
    /// Signals that the configuration in force has changed.
    pub installed: Notify,
    /// Signals that there is something to fetch.
    pub wanted: Notify,
    socket: OnceLock<Arc<UdpSocket>>,
    members: Mutex<Members>,
    spreader: Mutex<ConfigFetcher>,
    register: Mutex<Register>,
    pools: Mutex<HashMap<Name, Shared>>,
    rng: Mutex<StdRng>,
    next_request: AtomicU64,
    next_claim: AtomicU64,
    stop: watch::Sender<bool>,
}

impl Node {
    /// A node that has not begun to work.
    pub fn new(
        settings: Settings,
        clock: Arc<dyn Clock>,
        store: Arc<dyn Store>,
        engine: Arc<dyn Engine>,
        metrics: Metrics,
    ) -> Self {
        let since = clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        let incarnation = Incarnation(u64::try_from(since.as_micros()).unwrap_or(u64::MAX));
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
            spreader: Mutex::new(ConfigFetcher::default()),
            register: Mutex::new(Register::new(me)),
            pools: Mutex::new(HashMap::new()),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
            next_request: AtomicU64::new(1),
            next_claim: AtomicU64::new(1),
            stop: watch::channel(false).0,
            socket: OnceLock::new(),
            config: ArcSwap::default(),
            table: ArcSwap::default(),
            table_wanted: Wanted::default(),
            authority: Authority::default(),
            installed: Notify::new(),
            wanted: Notify::new(),
            peers: Peers::new(metrics.clone()),
            http: plain::client(settings.connect_timeout),
            settings,
            clock,
            incarnation,
            store,
            engine,
            metrics,
        }
    }

    /// The socket for datagrams, once the node has begun to work.
    pub fn socket(&self) -> Option<&Arc<UdpSocket>> {
        self.socket.get()
    }

    /// Gives the node its socket for datagrams; a second one is left out.
    pub fn set_socket(&self, socket: Arc<UdpSocket>) {
        let _ = self.socket.set(socket);
    }

    /// The membership.
    pub fn members(&self) -> MutexGuard<'_, Members> {
        self.members.lock().expect("no holder of the members' lock panics")
    }

    /// The spreading of configurations.
    pub fn spreader(&self) -> MutexGuard<'_, ConfigFetcher> {
        self.spreader.lock().expect("no holder of the spreader's lock panics")
    }

    /// The records of keys that this node owns.
    pub fn register(&self) -> MutexGuard<'_, Register> {
        self.register.lock().expect("no holder of the register's lock panics")
    }

    /// Random numbers.
    pub fn rng(&self) -> MutexGuard<'_, StdRng> {
        self.rng.lock().expect("no holder of the random generator's lock panics")
    }

    /// A number for a request.
    pub fn next_request(&self) -> RequestId {
        RequestId(self.next_request.fetch_add(1, Ordering::Relaxed))
    }

    /// A number for a claim.
    pub fn next_claim(&self) -> u64 {
        self.next_claim.fetch_add(1, Ordering::Relaxed)
    }

    /// Tells all tasks to end.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Waits until the tasks are told to end.
    pub async fn stopped(&self) {
        let mut stop = self.stop.subscribe();
        // The sender lives as long as this node, so waiting cannot fail.
        let _ = stop.wait_for(|stop| *stop).await;
    }

    /// The pool of a service, if it is configured.
    pub fn pool(&self, service: &Name) -> Option<Shared> {
        self.pools.lock().expect("no holder of the pools' lock panics").get(service).cloned()
    }

    /// All pools.
    pub fn pools(&self) -> Vec<Shared> {
        let pools = self.pools.lock().expect("no holder of the pools' lock panics");
        pools.values().cloned().collect()
    }

    /// Fits the pools to the configuration in force and to the nodes that share the runners.
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
        *self.pools.lock().expect("no holder of the pools' lock panics") = pools;
    }

    /// The nodes that take callers.
    pub fn fronts(&self) -> Vec<ClientEndpoint> {
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

    /// Where another node is reached.
    pub fn peer_address(&self, name: &Name) -> Option<SocketAddr> {
        self.members().peer(name).map(|p| p.update.addresses.peer)
    }

    /// Whether callers should be sent here: this node has a configuration and is not leaving.
    pub fn is_ready(&self) -> bool {
        self.members().me().state == State::Serving
    }

    /// Whether this node serves the requests that come. One that leaves goes on serving: callers
    /// may keep an address that they were given before for as long as they were told.
    pub fn takes_requests(&self) -> bool {
        matches!(self.members().me().state, State::Serving | State::Leaving)
            && self.config.load().generation > Generation(0)
    }
}
