//! A small deployment in one process: a platform, stand-ins and nodes wired by settings files as a
//! deployment would be.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use http::Method;
use sardinepick_lib::hash::Digest;
use sardinepick_lib::member::Vm;
use sardinepick_node::clock::Boot;
use sardinepick_node::run::{Running, start};
use sardinepick_node::settings::Settings;
use tokio::time::{Instant, sleep};

use crate::caller::Caller;
use crate::platform::Platform;

/// The key that administers in tests.
pub const ADMIN_KEY: &str = "admin-key";

/// How long a condition is waited for before a test gives up.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// A loopback address of this process's own, so that tests that run at once do not meet.
pub fn own_ip() -> IpAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let process = std::process::id();
    let host = NEXT.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = process.to_be_bytes();
    let [_, _, _, host] = host.to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, host.max(1)))
}

/// An address with a port that is free for TCP and UDP.
///
/// # Panics
/// No port can be had.
pub fn free_address(ip: IpAddr) -> SocketAddr {
    loop {
        let listener = TcpListener::bind((ip, 0)).expect("a loopback address can be listened at");
        let address = listener.local_addr().expect("a listener has an address");
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// An address of this process's own at which a server that binds it gets whichever port is free. Unlike
/// one of [`free_address`], nobody can take it between the look and the use.
pub fn any_address() -> SocketAddr {
    SocketAddr::new(own_ip(), 0)
}

/// What the settings of a node are made of.
#[derive(Clone, Debug)]
pub struct NodeOptions {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// For callers.
    pub front: SocketAddr,
    /// For nodes.
    pub peer: SocketAddr,
    /// The platform.
    pub platform: SocketAddr,
    /// Further lines of the settings file.
    pub extra: String,
    /// Whether periods are short, as tests want them, or those of a deployment.
    pub short_periods: bool,
}

impl NodeOptions {
    /// A node with free addresses.
    pub fn new(name: &str, data_centre: &str, platform: SocketAddr) -> Self {
        let ip = own_ip();
        Self {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            front: free_address(ip),
            peer: free_address(ip),
            platform,
            extra: String::new(),
            short_periods: true,
        }
    }

    /// The settings file.
    pub fn ini(&self) -> String {
        let key = Digest::of(ADMIN_KEY.as_bytes());
        if !self.short_periods {
            return format!(
                "[node]\nname = {}\ndata_centre = {}\nfront = {}\npeer = {}\n\n\
                 [platform]\naddress = {}\n\n[administration]\nbootstrap_key = {key}\n\n\
                 [log]\nlevel = warn\n\n{}\n",
                self.name, self.data_centre, self.front, self.peer, self.platform, self.extra,
            );
        }
        format!(
            "[node]\nname = {}\ndata_centre = {}\nfront = {}\npeer = {}\n\n\
             [platform]\naddress = {}\ntimeout = 1s\nlist_period = 200ms\n\n\
             [administration]\nbootstrap_key = {key}\n\n\
             [limits]\nvalidity = 1s\nshutdown_limit = 20s\n\n\
             [upstream]\nload_period = 200ms\nlease_ttl = 2s\nlease_margin = 500ms\n\
             stall_timeout = 2s\n\n\
             [log]\nlevel = warn\n\n{}\n",
            self.name, self.data_centre, self.front, self.peer, self.platform, self.extra,
        )
    }

    /// The line of the VM list.
    pub fn vm(&self) -> Vm {
        let name = self.name.parse().expect("tests name nodes rightly");
        Vm { name, address: self.peer, leaving: false }
    }

    /// Starts the node as a task of this process.
    ///
    /// # Panics
    /// The settings are wrong or an address is taken.
    pub async fn start(&self) -> Running {
        let settings = Settings::parse(&self.name, &self.ini()).expect("the settings are right");
        start(settings, Arc::new(Boot::default())).await.expect("the addresses are free")
    }
}

/// Waits until `holds`.
///
/// # Panics
/// It does not hold within [`PATIENCE`].
pub async fn wait_until<F: Future<Output = bool>>(what: &str, holds: impl Fn() -> F) {
    let until = Instant::now() + PATIENCE;
    while !holds().await {
        assert!(Instant::now() < until, "waited in vain until {what}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Waits until a node takes requests.
pub async fn wait_ready(front: SocketAddr) {
    let caller = Caller::new("");
    wait_until("a node is ready", || {
        let caller = caller.clone();
        async move {
            let asked = caller.fetch(front, Method::GET, "/readyz", &[], "").await;
            asked.is_ok_and(|(status, _)| status.is_success())
        }
    })
    .await;
}

/// A platform with nodes.
pub struct Cluster {
    /// The platform.
    pub platform: Platform,
    /// The nodes' plans, in order.
    pub node_options: Vec<NodeOptions>,
    /// The nodes; `None` for one that has been stopped.
    pub nodes: Vec<Option<Running>>,
    /// An operator who administers.
    pub operator: Caller,
}

impl Cluster {
    /// Starts a platform and `count` nodes that know of each other, with `config` as the first
    /// change.
    ///
    /// # Panics
    /// Something does not start, or the change is refused.
    pub async fn start(count: usize, data_centres: &[&str], config: &str) -> Self {
        let platform = Platform::start(free_address(own_ip())).await.expect("a free address");
        let options = |at: usize| {
            let data_centre = data_centres[at % data_centres.len()];
            NodeOptions::new(&format!("entry-{}", at + 1), data_centre, platform.address())
        };
        let node_options: Vec<NodeOptions> = (0..count).map(options).collect();
        platform.set_vms(node_options.iter().map(NodeOptions::vm).collect());
        let mut nodes = Vec::new();
        for options in &node_options {
            nodes.push(Some(options.start().await));
        }
        let operator = Caller::new(ADMIN_KEY);
        let cluster = Self { platform, node_options, nodes, operator };
        cluster.wait_met().await;
        cluster.change(config).await;
        for plan in &cluster.node_options {
            wait_ready(plan.front).await;
        }
        cluster.wait_for_table().await;
        cluster
    }

    /// Waits until every node knows of every other.
    async fn wait_met(&self) {
        let count = self.node_options.len();
        wait_until("the nodes know each other", || async {
            let running = self.nodes.iter().flatten();
            running.map(|n| n.node.members().active().count()).all(|known| known == count)
        })
        .await;
    }

    /// Waits until every node has a table of owners that names all of them.
    pub async fn wait_for_table(&self) {
        let count = self.nodes.iter().flatten().count();
        wait_until("the table of owners names all nodes", || async {
            let running = self.nodes.iter().flatten();
            running.map(|n| n.node.table.load().members().len()).all(|known| known == count)
        })
        .await;
    }

    /// Makes a change and waits until it is in force everywhere.
    ///
    /// # Panics
    /// It is refused.
    pub async fn change(&self, text: &str) -> u64 {
        let (status, value) = self.operator.command(self.front(0), text).await.expect("a node");
        assert!(status.is_success(), "{text}: {value}");
        let applied = &value["results"][0]["applied"];
        assert_eq!(applied["applied"], applied["nodes"], "not in force everywhere: {value}");
        applied["generation"].as_u64().unwrap_or_default()
    }

    /// Where callers reach the node at `at`.
    pub fn front(&self, at: usize) -> SocketAddr {
        self.node_options[at].front
    }

    /// The running node at `at`.
    ///
    /// # Panics
    /// It has been stopped.
    pub fn node(&self, at: usize) -> &Running {
        self.nodes[at].as_ref().expect("the node runs")
    }
}
