//! A deployment: a store, runners and nodes in one process, for tests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use log::LevelFilter;
use sardinepick_lib::clock::{Clock, System};
use sardinepick_lib::fleet::budget::Bounds;
use sardinepick_lib::hash::stable_hash;
use sardinepick_node::serve::metrics::Metrics;
use sardinepick_node::serve::run::{self, Running, Sockets};
use sardinepick_node::serve::settings::Settings;
use sardinepick_node::settings::LogFormat;
use serde_json::{Value, json};
use tokio::net::TcpListener;

use crate::cluster::{any_address, free_address, own_ip, wait_until};
use crate::fleet::caller::{Ask, Caller, Told};
use crate::fleet::link::Link;
use crate::fleet::platform::Platform;
use crate::fleet::runner::{Kind, Runner};
use crate::fleet::store::Store;
use crate::fleet::supervised::Supervised;

/// The data centre of nodes and runners that a test does not place itself.
pub const HOME: &str = "zaal-dom";
/// The service of model engines.
pub const MODEL: &str = "telraad";
/// The plain service.
pub const PLAIN: &str = "ontbijtbord";

/// How many nodes a node is told of by its settings, as on the platform.
const MOST_SEEDS: usize = 3;

/// A deployment.
pub struct Deployment {
    /// The store.
    pub store: Store,
    /// The runners, in the order of their start.
    pub runners: Vec<Runner>,
    /// Runners that end under a certain request.
    pub supervised: Vec<Supervised>,
    /// The nodes.
    pub nodes: Vec<Running>,
    /// A caller.
    pub caller: Caller,
    /// What takes the platform's calls, and the length of the windows of usage.
    pub platform: Option<(Platform, Duration)>,
}

fn route(name: &str, prefix: &str, kind: &str, service: &str, attempts: u32) -> Value {
    json!({
        "name": name, "host": "kitchen.example", "pathPrefix": prefix, "kind": kind,
        "timeoutMs": 3000, "targetLatencyMs": 500, "priority": 1, "service": service,
        "maxAttempts": attempts, "sticky": false, "resumable": kind == "streaming" && attempts > 1,
        "targetGapMs": 200,
    })
}

/// The configuration with the usual routes: `/board/` idempotent, `/eggs/` not, `/count/` a stream
/// that may be gone on with, `/tally/` one that may not.
pub fn configuration(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [
            route("board", "/board/", "idempotent", PLAIN, 3),
            route("eggs", "/eggs/", "non_idempotent", PLAIN, 1),
            route("count", "/count/", "streaming", MODEL, 3),
            route("tally", "/tally/", "streaming", MODEL, 1),
        ],
        "services": [
            {"name": MODEL, "healthPath": "/health", "maxConns": 100, "engine": {
                "slots": 64, "kvTokens": 800_000, "kvTokenBytes": 18_432, "linkMbps": 350_000.0,
                "handleTtlS": 5.0, "switchS": 3.0}},
            {"name": PLAIN, "healthPath": "/health", "maxConns": 96},
        ],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 65_536, "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000},
    })
}

/// An account for [`with_accounts`]: its name, its keys and its rank.
pub type AccountLine<'a> = (&'a str, &'a [&'a str], Option<u8>);

/// The usual configuration with client accounts.
pub fn with_accounts(version: u64, accounts: &[AccountLine<'_>]) -> Value {
    let mut whole = configuration(version);
    let line = |(name, keys, rank): &AccountLine<'_>| {
        let mut line = json!({"name": name, "apiKeys": keys});
        if let Some(rank) = rank {
            line["priority"] = json!(rank);
        }
        line
    };
    whole["tenants"] = accounts.iter().map(line).collect();
    whole
}

/// The usual configuration with so many routes besides, each of a host and a path of its own.
pub fn large_configuration(version: u64, routes: usize) -> Value {
    let mut whole = configuration(version);
    let more = (0..routes).map(|n| {
        let mut route = route(&format!("tenant-{n}"), "/", "idempotent", PLAIN, 3);
        // Names as hashes give them, which no code shortens.
        let name = stable_hash(n as u64, b"tenant");
        route["host"] = json!(format!("{name:x}.example"));
        route["pathPrefix"] = json!(format!("/{:x}/", name.rotate_left(17)));
        route
    });
    whole["routes"].as_array_mut().expect("it has routes").extend(more);
    whole
}

/// The settings of a node.
pub fn settings(name: &str, store: SocketAddr, seeds: Vec<SocketAddr>) -> Settings {
    let address = || free_address(own_ip());
    Settings {
        name: name.parse().expect("a name"),
        data_centre: HOME.parse().expect("a data centre"),
        front: address(),
        ready: address(),
        lookup: address(),
        peer: address(),
        metrics: address(),
        seeds,
        store,
        budget: Bounds { ratio: 0.2, allowance: 50.0, window: Duration::from_millis(20) },
        grace: Duration::from_secs(2),
        max_lookup_ttl: Duration::from_secs(5),
        call_gap: Duration::from_millis(300),
        platform: None,
        usage_window: None,
        log_level: LevelFilter::Info,
        log_format: LogFormat::Json,
    }
}

impl Deployment {
    /// A store with a configuration, and no runners or nodes yet.
    ///
    /// # Panics
    /// No address is free.
    pub async fn new() -> Self {
        let store = Store::start(any_address()).await.expect("a free address");
        store.put("config", "main", &configuration(1));
        let (runners, supervised, nodes) = (Vec::new(), Vec::new(), Vec::new());
        let platform = None;
        Self { store, runners, supervised, nodes, caller: Caller::default(), platform }
    }

    /// Has usage reported to the platform in windows of `window`.
    ///
    /// # Panics
    /// No address is free.
    pub async fn with_platform(mut self, window: Duration) -> Self {
        let platform = Platform::start(any_address()).await.expect("a free address");
        self.platform = Some((platform, window));
        self
    }

    /// The settings of a node of this deployment.
    pub fn settings(&self, name: &str, seeds: Vec<SocketAddr>) -> Settings {
        let settings = settings(name, self.store.address(), seeds);
        let platform = self.platform.as_ref();
        Settings {
            platform: platform.map(|(platform, _)| platform.address()),
            usage_window: platform.map(|(_, window)| *window),
            ..settings
        }
    }

    /// Adds runners of the plain service.
    pub async fn with_plain(mut self, count: usize) -> Self {
        for _ in 0..count {
            self.add_runner(PLAIN, None).await;
        }
        self
    }

    /// Adds model engines by stage.
    pub async fn with_engines(mut self, prefill: usize, decode: usize) -> Self {
        for _ in 0..prefill {
            self.add_runner(MODEL, Some("prefill")).await;
        }
        for _ in 0..decode {
            self.add_runner(MODEL, Some("decode")).await;
        }
        self
    }

    /// Adds nodes, and waits until all take callers and know each other.
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
    /// No address is free.
    pub async fn add_runner(&mut self, service: &str, stage: Option<&'static str>) -> Runner {
        let id = format!("i-{}", self.runners.len());
        let kind =
            Kind { service: service.to_owned(), data_centre: HOME.to_owned(), stage, events: 12 };
        let runner =
            Runner::start(&id, any_address(), kind, &self.store).await.expect("a free address");
        self.runners.push(runner.clone());
        runner
    }

    /// Adds runners that end under a request with `body` and are back after `pause`. They are not
    /// among [`Deployment::runners`], as each of their lives is a runner.
    ///
    /// # Panics
    /// No address is free.
    pub async fn add_supervised(
        &mut self,
        stage: Option<&'static str>,
        count: usize,
        body: &Bytes,
        pause: Duration,
    ) {
        let service = if stage.is_some() { MODEL } else { PLAIN }.to_owned();
        for _ in 0..count {
            let id = format!("s-{}", self.supervised.len());
            let (service, data_centre) = (service.clone(), HOME.to_owned());
            let kind = Kind { service, data_centre, stage, events: 12 };
            let runner =
                Supervised::start(&id, any_address(), kind, &self.store, body.clone(), pause).await;
            self.supervised.push(runner.expect("a free address"));
        }
    }

    /// How many lives of supervised runners have begun to read or run a request with `body`.
    pub fn ended_under(&self, body: &Bytes) -> usize {
        let lives = self.supervised.iter().flat_map(Supervised::lives);
        lives.filter(|life| life.seen().iter().any(|s| s.body == *body)).count()
    }

    /// Starts a node.
    ///
    /// # Panics
    /// It does not start.
    pub async fn add_node(&mut self, name: &str, seeds: Vec<SocketAddr>) {
        self.add_node_by(name, seeds, Arc::new(System)).await;
    }

    /// Starts a node that goes by a clock of its own.
    ///
    /// # Panics
    /// It does not start.
    pub async fn add_node_by(&mut self, name: &str, seeds: Vec<SocketAddr>, clock: Arc<dyn Clock>) {
        let settings = self.settings(name, seeds);
        let node = run::start(settings, clock, Metrics::default()).await.expect("free addresses");
        self.nodes.push(node);
    }

    /// Starts a node that reaches the store through a link of `rate` bytes a second.
    ///
    /// # Panics
    /// It does not start.
    pub async fn add_node_far(&mut self, name: &str, rate: f64) {
        let listener = TcpListener::bind(any_address()).await.expect("a free address");
        let address = listener.local_addr().expect("a listener has an address");
        Link::start(listener, self.store.address(), rate);
        let settings = settings(name, address, Vec::new());
        let node = run::start(settings, Arc::new(System), Metrics::default()).await;
        self.nodes.push(node.expect("free addresses"));
    }

    /// Starts a node whose answers to other nodes go through a link of `rate` bytes a second.
    ///
    /// # Panics
    /// It does not start.
    pub async fn add_node_behind(&mut self, name: &str, rate: f64) -> Link {
        let seeds = self.nodes.iter().map(|node| node.shared.me.peer).take(MOST_SEEDS).collect();
        let settings = settings(name, self.store.address(), seeds);
        let mut sockets = Sockets::bind(&settings).await.expect("free addresses");
        // Others reach the link at the node's address, and the link alone reaches the node.
        let behind = TcpListener::bind(any_address()).await.expect("a free address");
        let server = behind.local_addr().expect("a listener has an address");
        let link = Link::start(std::mem::replace(&mut sockets.peers, behind), server, rate);
        self.nodes.push(run::start_at(settings, Arc::new(System), Metrics::default(), sockets));
        link
    }

    /// Waits until all nodes take callers, hear each other, and know all runners.
    pub async fn wait_ready(&self) {
        let others = self.nodes.len().saturating_sub(1);
        let runners = self.runners.len() + self.supervised.len();
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

    /// Where callers reach a node.
    pub fn front(&self, at: usize) -> SocketAddr {
        self.nodes[at].shared.me.front
    }

    /// Sends a request to a node.
    pub async fn send(&self, at: usize, ask: &Ask<'_>) -> Told {
        self.caller.send(self.front(at), ask).await
    }

    /// Sends a request without anything unusual about it.
    pub async fn ask(&self, path: &str, id: &str) -> Told {
        self.send(0, &Ask::new(path, id)).await
    }

    /// How often a request ran, over all runners.
    pub fn ran(&self, id: &str) -> usize {
        self.runners.iter().map(|runner| runner.ran(id)).sum()
    }
}
