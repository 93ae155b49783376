//! A small deployment in one process: a fake platform and nodes, which are configured by settings
//! files as in production.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use http::Method;
use sardinepick_lib::hash::Digest;
use sardinepick_lib::member::Vm;
use sardinepick_node::clock::BootClock;
use sardinepick_node::run::{Running, start};
use sardinepick_node::settings::Settings;
use tokio::time::{Instant, sleep};

use crate::caller::Caller;
use crate::platform::Platform;

/// The administrator's key in tests.
pub const ADMIN_KEY: &str = "admin-key";

/// The time after which waiting for a condition fails the test.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A loopback address that is unique to this process and call, so that concurrent tests do not
/// interfere.
pub fn own_ip() -> IpAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let process = std::process::id();
    let host = NEXT.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = process.to_be_bytes();
    let [_, _, _, host] = host.to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, host.max(1)))
}

/// The ports of [`free_address`]: below those that the system gives to sockets bound to port 0.
const FREE_PORTS: Range<u16> = 20_000..32_000;

/// An address with a port that is currently free for TCP and UDP. This process does not return it
/// again soon, and no socket that is bound to port 0 gets it.
pub fn free_address(ip: IpAddr) -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = NEXT.fetch_add(1, Ordering::Relaxed) % FREE_PORTS.len() as u32;
        let address = SocketAddr::new(ip, FREE_PORTS.start + number as u16);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// An address with port 0, on which a server gets any free port when it binds. Unlike with
/// [`free_address`], no other process can take the port first.
pub fn any_address() -> SocketAddr {
    SocketAddr::new(own_ip(), 0)
}

/// The parameters of a node, from which its settings file is generated.
#[derive(Clone, Debug)]
pub struct NodeOptions {
    /// The name of the node.
    pub name: String,
    /// The data centre that it is in.
    pub data_centre: String,
    /// The address for callers.
    pub front: SocketAddr,
    /// The address for other nodes.
    pub peer: SocketAddr,
    /// The address of the platform.
    pub platform: SocketAddr,
    /// Additional lines of the settings file.
    pub extra: String,
    /// Whether to use short periods, as suits tests, rather than the defaults.
    pub short_periods: bool,
}

impl NodeOptions {
    /// Parameters with free addresses.
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

    /// The content of the settings file.
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

    /// The node's entry in the VM list.
    pub fn vm(&self) -> Vm {
        let name = self.name.parse().expect("a valid node name");
        Vm { name, address: self.peer, leaving: false }
    }

    /// Starts the node in this process.
    ///
    /// # Panics
    /// The settings are invalid or an address is in use.
    pub async fn start(&self) -> Running {
        let settings = Settings::parse(&self.name, &self.ini()).expect("the settings are valid");
        start(settings, Arc::new(BootClock::default())).await.expect("the addresses are free")
    }
}

/// Waits until `condition` is true. `what` names it in the panic message.
///
/// # Panics
/// It is not true within [`WAIT_TIMEOUT`].
pub async fn wait_until<F: Future<Output = bool>>(what: &str, condition: impl Fn() -> F) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Waits until the node at `front` is ready.
pub async fn wait_ready(front: SocketAddr) {
    let caller = Caller::new("");
    wait_until("a node is ready", || {
        let caller = caller.clone();
        async move {
            let response = caller.fetch(front, Method::GET, "/readyz", &[], "").await;
            response.is_ok_and(|(status, _)| status.is_success())
        }
    })
    .await;
}

/// A fake platform with nodes.
pub struct Cluster {
    /// The address of the platform.
    pub platform: Platform,
    /// The parameters of the nodes, by index.
    pub node_options: Vec<NodeOptions>,
    /// The nodes by index; `None` for a stopped one.
    pub nodes: Vec<Option<Running>>,
    /// A client with the administrator's key.
    pub operator: Caller,
}

impl Cluster {
    /// Starts a platform and `count` nodes, spread over `data_centres` in turn, and applies `config` as the
    /// first change.
    ///
    /// # Panics
    /// A server does not start, or the change is refused.
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
        cluster.wait_for_membership().await;
        cluster.change(config).await;
        for plan in &cluster.node_options {
            wait_ready(plan.front).await;
        }
        cluster.wait_for_table().await;
        cluster
    }

    /// Waits until all nodes know each other.
    async fn wait_for_membership(&self) {
        let count = self.node_options.len();
        wait_until("the nodes know each other", || async {
            let running = self.nodes.iter().flatten();
            running.map(|n| n.node.members().active().count()).all(|known| known == count)
        })
        .await;
    }

    /// Waits until every node's owner table lists all running nodes.
    pub async fn wait_for_table(&self) {
        let count = self.nodes.iter().flatten().count();
        wait_until("the owner tables list all nodes", || async {
            let running = self.nodes.iter().flatten();
            running.map(|n| n.node.table.load().members().len()).all(|known| known == count)
        })
        .await;
    }

    /// Applies a change, waits until it is in force on all nodes and returns its generation.
    ///
    /// # Panics
    /// The change is refused.
    pub async fn change(&self, text: &str) -> u64 {
        let (status, value) = self.operator.command(self.front(0), text).await.expect("a node");
        assert!(status.is_success(), "{text}: {value}");
        let applied = &value["results"][0]["applied"];
        assert_eq!(applied["applied"], applied["nodes"], "not in force on all nodes: {value}");
        applied["generation"].as_u64().unwrap_or_default()
    }

    /// The address for callers of the node at index `at`.
    pub fn front(&self, at: usize) -> SocketAddr {
        self.node_options[at].front
    }

    /// The running node at index `at`.
    ///
    /// # Panics
    /// The node has been stopped.
    pub fn node(&self, at: usize) -> &Running {
        self.nodes[at].as_ref().expect("the node runs")
    }
}
