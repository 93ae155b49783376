//! A whole deployment in one process for tests: a store, runners and nodes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::LevelFilter;
use sardinepick_lib::clock::{Clock, System};
use sardinepick_lib::fleet::budget::Bounds;
use sardinepick_lib::fleet::holding::Resources;
use sardinepick_lib::hash::stable_hash;
use sardinepick_lib::scale::need::Policy;
use sardinepick_node::serve::metrics::Metrics;
use sardinepick_node::serve::run::{self, Running, Sockets};
use sardinepick_node::serve::settings::Settings;
use sardinepick_node::settings::LogFormat;
use serde_json::{Value, json};
use tokio::net::TcpListener;

use crate::cluster::{any_address, free_address, own_ip, wait_until};
use crate::fleet::caller::{Caller, Reply, RequestSpec};
use crate::fleet::crashing_runner::CrashingRunner;
use crate::fleet::link::Link;
use crate::fleet::network::{Fault, Network};
use crate::fleet::platform::Platform;
use crate::fleet::runner::{Kind, ReceivedRequest, Runner, Trigger};
use crate::fleet::spoiler::{Spoil, Spoiler};
use crate::fleet::store::Store;

/// The data centre of nodes and runners unless a test sets another.
pub const DEFAULT_DATA_CENTRE: &str = "zaal-dom";
/// The service that model engines run.
pub const MODEL_SERVICE: &str = "telraad";
/// The version of the software of runners unless a test sets another.
pub const DEFAULT_VERSION: &str = "v1";
/// The service that plain runners run.
pub const PLAIN_SERVICE: &str = "ontbijtbord";

/// The number of seed nodes in a node's settings, as on the platform.
pub const MAX_SEEDS: usize = 3;

/// The retry budget of nodes unless a test sets another: more than any test needs.
pub const DEFAULT_BUDGET: Bounds =
    Bounds { ratio: 0.2, allowance: 50.0, window: Duration::from_millis(20) };

/// A deployment.
pub struct Deployment {
    /// The store.
    pub store: Store,
    /// The runners, in order of their start.
    pub runners: Vec<Runner>,
    /// Runners that crash on one particular request.
    pub crashing_runners: Vec<CrashingRunner>,
    /// The nodes, in order of their start.
    pub nodes: Vec<Running>,
    /// The client for sending requests.
    pub caller: Caller,
    /// The fake platform endpoint, and the length of usage windows.
    pub platform: Option<(Platform, Duration)>,
    /// The retry budget in the settings of nodes.
    pub budget: Bounds,
    /// Whether nodes predict by the runner model.
    pub runner_model: bool,
    /// The limits in the settings of nodes.
    pub limits: Resources,
    /// Whether nodes share capacity fairly among client accounts.
    pub fair_shares: bool,
    /// The network between nodes and runners.
    pub network: Network,
}

fn route(name: &str, prefix: &str, kind: &str, service: &str, attempts: u32) -> Value {
    json!({
        "name": name, "host": "kitchen.example", "pathPrefix": prefix, "kind": kind,
        "timeoutMs": 3000, "targetLatencyMs": 500, "priority": 1, "service": service,
        "maxAttempts": attempts, "sticky": false, "resumable": kind == "streaming" && attempts > 1,
        "targetGapMs": 200,
    })
}

/// The default configuration. Its routes are `/board/` (idempotent), `/eggs/` (not idempotent),
/// `/count/` (a resumable stream) and `/tally/` (a stream that is not resumable).
pub fn configuration(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [
            route("board", "/board/", "idempotent", PLAIN_SERVICE, 3),
            route("eggs", "/eggs/", "non_idempotent", PLAIN_SERVICE, 1),
            route("count", "/count/", "streaming", MODEL_SERVICE, 3),
            route("tally", "/tally/", "streaming", MODEL_SERVICE, 1),
        ],
        "services": [
            {"name": MODEL_SERVICE, "healthPath": "/health", "maxConns": 100, "engine": {
                "slots": 64, "kvTokens": 800_000, "kvTokenBytes": 18_432, "linkMbps": 350_000.0,
                "handleTtlS": 5.0, "switchS": 3.0}},
            {"name": PLAIN_SERVICE, "healthPath": "/health", "maxConns": 96},
        ],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 65_536, "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000},
    })
}

/// A client account for [`with_accounts`]: its name, its API keys and its priority.
pub type AccountLine<'a> = (&'a str, &'a [&'a str], Option<u8>);

/// The default configuration with client accounts.
pub fn with_accounts(version: u64, accounts: &[AccountLine<'_>]) -> Value {
    let mut config = configuration(version);
    let line = |(name, keys, rank): &AccountLine<'_>| {
        let mut line = json!({"name": name, "apiKeys": keys});
        if let Some(rank) = rank {
            line["priority"] = json!(rank);
        }
        line
    };
    config["tenants"] = accounts.iter().map(line).collect();
    config
}

/// The default configuration with additional routes, each with its own host and path.
pub fn large_configuration(version: u64, routes: usize) -> Value {
    let mut config = configuration(version);
    let additional = (0..routes).map(|n| {
        let mut route = route(&format!("tenant-{n}"), "/", "idempotent", PLAIN_SERVICE, 3);
        // Hashes as names keep the configuration from compressing well.
        let name = stable_hash(n as u64, b"tenant");
        route["host"] = json!(format!("{name:x}.example"));
        route["pathPrefix"] = json!(format!("/{:x}/", name.rotate_left(17)));
        route
    });
    config["routes"].as_array_mut().expect("it has routes").extend(additional);
    config
}

/// Settings for a node at free addresses.
pub fn settings(name: &str, store: SocketAddr, seeds: Vec<SocketAddr>) -> Settings {
    let address = || free_address(own_ip());
    Settings {
        name: name.parse().expect("a name"),
        data_centre: DEFAULT_DATA_CENTRE.parse().expect("a data centre"),
        front: address(),
        ready: address(),
        lookup: address(),
        peer: address(),
        metrics: address(),
        seeds,
        store,
        budget: DEFAULT_BUDGET,
        grace: Duration::from_secs(2),
        max_lookup_ttl: Duration::from_secs(5),
        call_gap: Duration::from_millis(300),
        platform: None,
        usage_window: None,
        runner_model: false,
        capacity_policy: Policy::default(),
        limits: Resources::default(),
        fair_shares: false,
        log_level: LevelFilter::Info,
        log_format: LogFormat::Json,
    }
}

impl Deployment {
    /// Starts a store with the default configuration, without runners or nodes.
    ///
    /// # Panics
    /// No free address.
    pub async fn new() -> Self {
        let store = Store::start(any_address()).await.expect("a free address");
        store.put("config", "main", &configuration(1));
        let (runners, crashing_runners, nodes) = (Vec::new(), Vec::new(), Vec::new());
        let platform = None;
        let (caller, budget) = (Caller::default(), DEFAULT_BUDGET);
        let network = Network::default();
        Self {
            store,
            runners,
            crashing_runners,
            nodes,
            caller,
            platform,
            budget,
            runner_model: false,
            limits: Resources::default(),
            fair_shares: false,
            network,
        }
    }

    /// Starts a fake platform, to which nodes report usage in windows of `window`.
    ///
    /// # Panics
    /// No free address.
    pub async fn with_platform(mut self, window: Duration) -> Self {
        let platform = Platform::start(any_address()).await.expect("a free address");
        self.platform = Some((platform, window));
        self
    }

    /// Sets the retry budget of nodes that are started later.
    pub fn with_budget(self, budget: Bounds) -> Self {
        Self { budget, ..self }
    }

    /// Enables the runner model at nodes that are started later.
    pub fn with_runner_model(self) -> Self {
        Self { runner_model: true, ..self }
    }

    /// Sets the limits of nodes that are started later.
    pub fn with_limits(self, limits: Resources) -> Self {
        Self { limits, ..self }
    }

    /// Sets whether nodes that are started later share capacity fairly among client accounts.
    pub fn with_fair_shares(self, fair_shares: bool) -> Self {
        Self { fair_shares, ..self }
    }

    /// Settings for a node of this deployment.
    pub fn settings(&self, name: &str, seeds: Vec<SocketAddr>) -> Settings {
        let settings = settings(name, self.store.address(), seeds);
        let platform = self.platform.as_ref();
        Settings {
            platform: platform.map(|(platform, _)| platform.address()),
            usage_window: platform.map(|(_, window)| *window),
            budget: self.budget,
            runner_model: self.runner_model,
            limits: self.limits,
            fair_shares: self.fair_shares,
            ..settings
        }
    }

    /// Adds plain runners.
    pub async fn with_plain(mut self, count: usize) -> Self {
        for _ in 0..count {
            self.add_runner(PLAIN_SERVICE, None).await;
        }
        self
    }

    /// Adds model engines by stage.
    pub async fn with_engines(mut self, prefill: usize, decode: usize) -> Self {
        for _ in 0..prefill {
            self.add_runner(MODEL_SERVICE, Some("prefill")).await;
        }
        for _ in 0..decode {
            self.add_runner(MODEL_SERVICE, Some("decode")).await;
        }
        self
    }

    /// Adds nodes and waits until all are ready and know each other.
    ///
    /// # Panics
    /// A node does not start.
    pub async fn with_nodes(mut self, count: usize) -> Self {
        for at in 0..count {
            let seeds = self.nodes.iter().map(|node| node.shared.me.peer).collect();
            self.add_node(&format!("edge-{at}"), seeds).await;
        }
        self.wait_ready().await;
        self
    }

    /// Starts a runner.
    ///
    /// # Panics
    /// No free address.
    pub async fn add_runner(&mut self, service: &str, stage: Option<&'static str>) -> Runner {
        self.add_runner_of_version(service, stage, DEFAULT_VERSION).await
    }

    /// Starts a runner whose software has the given version.
    ///
    /// # Panics
    /// No free address.
    pub async fn add_runner_of_version(
        &mut self,
        service: &str,
        stage: Option<&'static str>,
        version: &'static str,
    ) -> Runner {
        let id = format!("i-{}", self.runners.len());
        let kind = Kind {
            service: service.to_owned(),
            data_centre: DEFAULT_DATA_CENTRE.to_owned(),
            stage,
            events: 12,
            version,
        };
        let runner =
            Runner::start(&id, any_address(), kind, &self.store).await.expect("a free address");
        self.runners.push(runner.clone());
        runner
    }

    /// Adds runners that crash on the requests of `trigger` and restart after `pause`. They are not part of
    /// [`Deployment::runners`], since each of their instances is a runner.
    ///
    /// # Panics
    /// No free address.
    pub async fn add_crashing_runners(
        &mut self,
        stage: Option<&'static str>,
        count: usize,
        trigger: &Trigger,
        pause: Duration,
    ) {
        let service = if stage.is_some() { MODEL_SERVICE } else { PLAIN_SERVICE }.to_owned();
        for _ in 0..count {
            let id = format!("s-{}", self.crashing_runners.len());
            let (service, data_centre) = (service.clone(), DEFAULT_DATA_CENTRE.to_owned());
            let kind = Kind { service, data_centre, stage, events: 12, version: DEFAULT_VERSION };
            let runner = CrashingRunner::start(
                &id,
                any_address(),
                kind,
                &self.store,
                trigger.clone(),
                pause,
            )
            .await;
            self.crashing_runners.push(runner.expect("a free address"));
        }
    }

    /// The number of instances of crashing runners that have received a request of `trigger`.
    pub fn crash_count(&self, trigger: &Trigger) -> usize {
        let lives = self.crashing_runners.iter().flat_map(CrashingRunner::instances);
        lives.filter(|life| life.received().iter().any(|s| trigger.matches(s))).count()
    }

    /// The requests of `trigger` that have reached runners, prefills and rejected ones among them,
    /// in the order of their arrival.
    pub fn reached(&self, trigger: &Trigger) -> Vec<ReceivedRequest> {
        let lives = self.crashing_runners.iter().flat_map(CrashingRunner::instances);
        let runners = self.runners.iter().cloned().chain(lives);
        let received = runners.flat_map(|runner| runner.received());
        let mut reached: Vec<_> = received.filter(|request| trigger.matches(request)).collect();
        reached.sort_by_key(|request| request.at);
        reached
    }

    /// Starts a node.
    ///
    /// # Panics
    /// It does not start.
    pub async fn add_node(&mut self, name: &str, seeds: Vec<SocketAddr>) {
        self.add_node_with_clock(name, seeds, Arc::new(System)).await;
    }

    /// Starts a node with the given clock.
    ///
    /// # Panics
    /// It does not start.
    pub async fn add_node_with_clock(
        &mut self,
        name: &str,
        seeds: Vec<SocketAddr>,
        clock: Arc<dyn Clock>,
    ) {
        let settings = self.settings(name, seeds);
        let sockets = Sockets::bind(&settings).await.expect("free addresses");
        let dial = self.network.dial_of(name);
        self.nodes.push(run::start_with_dial(settings, clock, Metrics::default(), sockets, dial));
    }

    /// Sets the fault of the paths from the nodes at some indices to some runners.
    pub fn set_network_fault(&self, nodes: &[usize], runners: &[Runner], fault: Fault) {
        for node in nodes.iter().map(|at| &self.nodes[*at].shared.me.id) {
            for runner in runners {
                self.network.set(node.as_str(), runner.address(), fault);
            }
        }
    }

    /// Starts a node that reaches the store through a link of `rate` bytes per second.
    ///
    /// # Panics
    /// It does not start.
    pub async fn add_node_with_store_link(&mut self, name: &str, rate: f64) {
        let listener = TcpListener::bind(any_address()).await.expect("a free address");
        let address = listener.local_addr().expect("a listener has an address");
        Link::start(listener, self.store.address(), rate);
        let settings = settings(name, address, Vec::new());
        let node = run::start(settings, Arc::new(System), Metrics::default()).await;
        self.nodes.push(node.expect("free addresses"));
    }

    /// Starts a node whose responses to other nodes go through a link of `rate` bytes per second.
    ///
    /// # Panics
    /// It does not start.
    pub async fn add_node_with_peer_link(&mut self, name: &str, rate: f64) -> Link {
        let seeds = self.nodes.iter().map(|node| node.shared.me.peer).take(MAX_SEEDS).collect();
        let settings = settings(name, self.store.address(), seeds);
        let mut sockets = Sockets::bind(&settings).await.expect("free addresses");
        // The link takes over the node's address; the node listens on an address that only the link knows.
        let listener = TcpListener::bind(any_address()).await.expect("a free address");
        let server = listener.local_addr().expect("a listener has an address");
        let link = Link::start(std::mem::replace(&mut sockets.peers, listener), server, rate);
        self.nodes.push(run::start_at(settings, Arc::new(System), Metrics::default(), sockets));
        link
    }

    /// Waits until all nodes are ready and know all other nodes and all runners.
    pub async fn wait_ready(&self) {
        let others = self.nodes.len().saturating_sub(1);
        let runners = self.runners.len() + self.crashing_runners.len();
        wait_until("all nodes are ready", async || {
            self.nodes.iter().all(|node| {
                let shared = &node.shared;
                let heard = shared.roster().ready_contacts().len();
                shared.is_ready()
                    && heard >= others
                    && shared.register().runners().count() == runners
            })
        })
        .await;
    }

    /// Publishes the addresses of proxies in the entries of the runners, and waits until all nodes
    /// use them.
    pub async fn publish_proxies(&self, addresses: &[SocketAddr]) {
        for (runner, address) in self.runners.iter().zip(addresses) {
            runner.publish_address(*address);
        }
        wait_until("all nodes use the proxies", async || {
            self.nodes.iter().all(|node| {
                let register = node.shared.register();
                let used =
                    |address: &SocketAddr| register.runners().any(|r| r.entry.address == *address);
                addresses.iter().all(used)
            })
        })
        .await;
    }

    /// Puts a proxy that spoils responses in front of each runner, with `slots` each, and waits
    /// until all nodes use it. `choice` decides about each response of the runner at an index.
    ///
    /// # Panics
    /// No free address.
    pub async fn spoil<C>(&self, slots: usize, choice: impl Fn(usize) -> C) -> Vec<Spoiler>
    where
        C: FnMut(&str) -> Spoil + Send + 'static,
    {
        let mut spoilers = Vec::new();
        for (at, runner) in self.runners.iter().enumerate() {
            let spoiler = Spoiler::start(runner.address(), slots, choice(at)).await;
            spoilers.push(spoiler.expect("a free address"));
        }
        let addresses: Vec<SocketAddr> = spoilers.iter().map(|spoiler| spoiler.address).collect();
        self.publish_proxies(&addresses).await;
        spoilers
    }

    /// The address of a node for callers.
    pub fn front(&self, at: usize) -> SocketAddr {
        self.nodes[at].shared.me.front
    }

    /// Sends a request to the node at index `at`.
    pub async fn send(&self, at: usize, request: &RequestSpec<'_>) -> Reply {
        self.caller.send(self.front(at), request).await
    }

    /// Sends a request with default parameters to the first node.
    pub async fn send_default(&self, path: &str, id: &str) -> Reply {
        self.send(0, &RequestSpec::new(path, id)).await
    }

    /// How often a request ran across all runners.
    pub fn run_count(&self, id: &str) -> usize {
        self.runners.iter().map(|runner| runner.run_count(id)).sum()
    }
}
