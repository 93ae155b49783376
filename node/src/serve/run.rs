//! Starting and stopping a serving node.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use sardinepick_lib::clock::Clock;
use sardinepick_lib::fleet::roster::Standing;
use sardinepick_lib::fleet::shutdown::Schedule;
use thiserror::Error;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use crate::caller_connection::Closing;
use crate::connector::probe;
use crate::serve::dial::{Dial, Tcp};
use crate::serve::in_progress::{Open, Report, Step};
use crate::serve::listener::{self, Port};
use crate::serve::metrics::Metrics;
use crate::serve::settings::Settings;
use crate::serve::shared::Shared;
use crate::serve::{
    copy, duty, fair_queue, heartbeat, join, order, peer, quarantine, scheduler, store_watch,
};
use crate::usage::sender::CountSender;

/// Why a node could not start.
#[derive(Debug, Error)]
#[error("listening for {what} at {address}: {source}")]
pub struct StartError {
    /// The purpose of the listener.
    what: &'static str,
    /// The address.
    address: SocketAddr,
    /// The system's error.
    source: std::io::Error,
}

/// A running node.
pub struct Running {
    /// The state shared by its tasks.
    pub shared: Arc<Shared>,
    closing: watch::Sender<bool>,
    /// Ends once the listener for callers is closed and the connections that waited are open.
    front: JoinHandle<()>,
    count_sender: CountSender,
}

/// How often a stopping node checks for requests in progress.
const STOP_CHECK_PERIOD: Duration = Duration::from_millis(20);

async fn listen(what: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|source| StartError { what, address, source })
}

/// The sockets of a node.
#[derive(Debug)]
pub struct Sockets {
    /// For callers.
    pub front: TcpListener,
    /// For readiness checks.
    pub ready: TcpListener,
    /// For look-ups.
    pub lookup: TcpListener,
    /// For metrics and state.
    pub metrics: TcpListener,
    /// For calls of other nodes.
    pub peers: TcpListener,
    /// For heartbeats and other datagrams.
    pub heartbeats: UdpSocket,
}

impl Sockets {
    /// Binds the sockets to the addresses in the settings.
    ///
    /// # Errors
    /// An address cannot be bound.
    pub async fn bind(settings: &Settings) -> Result<Self, StartError> {
        let address = settings.peer;
        let heartbeats = UdpSocket::bind(address).await;
        Ok(Self {
            front: listen("callers", settings.front).await?,
            ready: listen("the platform", settings.ready).await?,
            lookup: listen("look-ups", settings.lookup).await?,
            metrics: listen("metrics", settings.metrics).await?,
            peers: listen("other nodes", address).await?,
            heartbeats: heartbeats.map_err(|source| StartError {
                what: "heartbeats",
                address,
                source,
            })?,
        })
    }
}

/// Starts a node.
///
/// # Errors
/// An address cannot be bound.
pub async fn start(
    settings: Settings,
    clock: Arc<dyn Clock>,
    metrics: Metrics,
) -> Result<Running, StartError> {
    let sockets = Sockets::bind(&settings).await?;
    Ok(start_at(settings, clock, metrics, sockets))
}

/// Starts a node with sockets that are already bound.
pub fn start_at(
    settings: Settings,
    clock: Arc<dyn Clock>,
    metrics: Metrics,
    sockets: Sockets,
) -> Running {
    start_with_dial(settings, clock, metrics, sockets, Arc::new(Tcp))
}

/// Starts a node like [`start_at`]. `dial` opens its connections to runners and the store.
pub fn start_with_dial(
    settings: Settings,
    clock: Arc<dyn Clock>,
    metrics: Metrics,
    sockets: Sockets,
    dial: Arc<dyn Dial>,
) -> Running {
    let ports = [
        (Port::Ready, sockets.ready),
        (Port::Lookup, sockets.lookup),
        (Port::Metrics, sockets.metrics),
    ];
    let socket = Arc::new(sockets.heartbeats);
    let shared = Arc::new(Shared::new(settings, clock, metrics, dial));
    shared.scheduling.set_socket(socket.clone());
    shared.limiter.set_socket(socket.clone());
    shared.stream_bindings.set_socket(socket.clone());
    shared.part_quarantine.set_socket(socket.clone());
    let (closing, always_open) = (watch::Sender::new(false), watch::Sender::new(false));
    let spawn_listener = |port, listener, switch| {
        tokio::spawn(listener::run(shared.clone(), port, listener, Closing::of(switch)))
    };
    let front = spawn_listener(Port::Front, sockets.front, &closing);
    for (port, listener) in ports {
        // The platform checks readiness until the process ends.
        spawn_listener(port, listener, &always_open);
    }
    tokio::spawn(peer::serve(shared.clone(), sockets.peers));
    tokio::spawn(peer::fetch_updates(shared.clone()));
    tokio::spawn(probe::run(shared.connector.clone()));
    tokio::spawn(copy::fetch_updates(shared.clone()));
    tokio::spawn(heartbeat::receive(shared.clone(), socket.clone()));
    tokio::spawn(heartbeat::send(shared.clone(), socket.clone()));
    tokio::spawn(store_watch::configuration(shared.clone()));
    tokio::spawn(store_watch::register(shared.clone()));
    tokio::spawn(scheduler::report(shared.clone()));
    if shared.settings.fair_shares {
        tokio::spawn(fair_queue::run(shared.clone()));
    }
    tokio::spawn(quarantine::run(shared.clone()));
    tokio::spawn(quarantine::store::run(shared.clone()));
    tokio::spawn(quarantine::store::write_again(shared.clone()));
    let parts = &shared.part_quarantine;
    tokio::spawn(parts.clone().run());
    tokio::spawn(parts.clone().write_changes());
    tokio::spawn(parts.clone().write_again(shared.era_tracker.clone()));
    let seeds = shared.settings.other_seeds().collect();
    tokio::spawn(parts.clone().read_while_isolated(seeds));
    tokio::spawn(join::join(shared.clone(), socket.clone()));
    tokio::spawn(store_watch::clean_up(shared.clone()));
    tokio::spawn(order::run(shared.clone()));
    let count_sender = duty::start(&shared, socket);
    log::info!(
        node:% = shared.me.id, data_centre:% = shared.me.data_centre, front:% = shared.me.front,
        peer:% = shared.me.peer, version = env!("CARGO_PKG_VERSION"); "started"
    );
    Running { shared, closing, front, count_sender }
}

impl Running {
    /// Reloads the settings and logs which of them take effect. Addresses and names only change at
    /// the next start, since connections and other nodes depend on them.
    pub fn reload(&self, file: &Path) {
        match Settings::read(file) {
            Ok(settings) => {
                log::set_max_level(settings.log_level);
                let rest = Settings { log_level: self.shared.settings.log_level, ..settings };
                let pending = rest != self.shared.settings;
                log::info!(log_level:% = log::max_level(), at_next_start = pending; "reloaded");
            }
            Err(error) => log::error!(error:% = error; "invalid settings"),
        }
    }

    /// Stops gracefully: removes the node from look-ups, keeps serving requests that still arrive and
    /// fit into the grace period, closes connections as they become idle, and returns when no request
    /// is in progress, all connections are closed and none is forwarded, or the grace period is over.
    /// Returns the number of aborted requests.
    pub async fn stop(self) -> u64 {
        let shared = self.shared;
        let clock = shared.clock.clone();
        let (grace, lookup_ttl) = (shared.settings.grace, shared.settings.lookup_ttl());
        let schedule = Schedule::new(clock.now(), grace, lookup_ttl);
        let open = shared.metrics.caller_connections.with_label_values(&[Port::Front.name()]);
        let report = Report::new(&shared.in_progress, &shared.metrics, schedule.began());
        let note = |step| {
            let relays = shared.relay_server.open_count();
            report.note(step, Open { connections: open.get(), relays }, clock.now());
        };
        let in_progress = || u64::try_from(shared.metrics.in_progress.get()).unwrap_or(0);
        log::info!(node:% = shared.me.id, under_way = in_progress(); "leaving");
        shared.shutdown.begin(schedule);
        shared.standing.send_replace(Standing::Leaving);
        shared.heartbeat_now.notify_one();
        sleep(schedule.close().saturating_duration_since(clock.now())).await;
        self.closing.send_replace(true);
        let left = schedule.service_end().saturating_duration_since(clock.now());
        match timeout(left, self.front).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => log::error!(error:% = error; "listener failed"),
            Err(_) => log::warn!("connections of the listener left at the end of service"),
        }
        note(Step::Close);
        // A response that is complete here may still be on its way into the caller's socket.
        let is_served =
            || in_progress() == 0 && open.get() == 0 && shared.relay_server.open_count() == 0;
        // The requests that end with the service are still in progress shortly before it.
        for (end, step) in [
            (schedule.service_end() - STOP_CHECK_PERIOD, Step::ServiceEnd),
            (schedule.abort(), Step::Abort),
        ] {
            while clock.now() < end && !is_served() {
                sleep(STOP_CHECK_PERIOD.min(end.saturating_duration_since(clock.now()))).await;
            }
            note(step);
        }
        let left = schedule.exit().saturating_duration_since(clock.now());
        self.count_sender.close(Instant::now() + left).await;
        note(Step::Exit);
        // A connection that is still open waits for its response, or for the rest of it.
        let left = in_progress().max(u64::try_from(open.get()).unwrap_or(0));
        let cut = shared.shutdown.aborted() + left;
        let took = clock.now().saturating_duration_since(schedule.began());
        log::info!(
            node:% = shared.me.id, cut = cut, connections = open.get(),
            relays = shared.relay_server.open_count(),
            took_ms = took.as_millis() as u64; "stopped"
        );
        cut
    }
}
