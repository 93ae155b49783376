//! Opening connections to runners through peers.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use futures_util::future::BoxFuture;
use http::Uri;
use hyper_util::rt::TokioIo;
use sardinepick_lib::clock::Clock;
use sardinepick_lib::id::{NodeId, RunnerId};
use sardinepick_wire::fleet::fleet_client::FleetClient;
use sardinepick_wire::fleet::{RelayOpen, RelayPart};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_stream::wrappers::ReceiverStream;
use tonic::codegen::Service;
use tonic::transport::{Channel, Endpoint};

use super::{Error, RELAY_SIZE, SHARED_WINDOW_BYTES, Stream, WINDOW_BYTES, holder};
use crate::holding::Holding;
use crate::lock::lock;
use crate::serve::dial::{self, Dial};
use crate::serve::metrics::Metrics;

/// The timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The interval of keep-alives to a peer, and how long one may take to be answered.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a connection to a peer is kept that no connection has been opened through.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The maximum number of messages that wait to be sent on one connection.
const MAX_WAITING_PARTS: usize = 2;

/// Connects a channel to a peer. What has not been sent when the connection is closed is discarded:
/// the peer must not deliver a request that this node has given up.
#[derive(Clone)]
struct Connect {
    dial: Arc<dyn Dial>,
    peer: SocketAddr,
}

impl Service<Uri> for Connect {
    type Response = TokioIo<Box<dyn dial::Stream>>;
    type Error = io::Error;
    type Future = BoxFuture<'static, io::Result<Self::Response>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, _: Uri) -> Self::Future {
        let Connect { dial, peer } = self.clone();
        Box::pin(async move { dial.dial(peer).await.map(TokioIo::new) })
    }
}

struct Connected {
    client: FleetClient<Channel>,
    used_at: Instant,
}

/// The connections of this node to the peers that it reaches runners through.
pub struct Client {
    me: NodeId,
    dial: Arc<dyn Dial>,
    peers: Mutex<HashMap<SocketAddr, Connected>>,
    holding: Holding,
    clock: Arc<dyn Clock>,
    metrics: Metrics,
}

impl Client {
    /// Creates a client for the node `me`, whose connections to peers `dial` opens.
    pub fn new(
        me: NodeId,
        dial: Arc<dyn Dial>,
        holding: Holding,
        clock: Arc<dyn Clock>,
        metrics: Metrics,
    ) -> Self {
        Self { me, dial, peers: Mutex::default(), holding, clock, metrics }
    }

    /// Connects to a runner through `peer`, within `limit`.
    ///
    /// # Errors
    /// The peer cannot be reached, or does not connect to the runner.
    pub async fn open(
        &self,
        peer: SocketAddr,
        runner: &RunnerId,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<Stream, Error> {
        let opened = match timeout(limit, self.call(peer, runner, address, limit)).await {
            Ok(opened) => opened,
            Err(_) => Err(Error::TimedOut { peer, runner: address, limit }),
        };
        let outcome = opened.as_ref().map_or_else(Error::outcome, |_| "opened");
        self.metrics.relays_opened.with_label_values(&["client", outcome]).inc();
        if let Err(error) = &opened {
            log::info!(runner:% = runner, peer:% = peer, error:% = error; "relay not opened");
            if error.is_disconnected() {
                lock(&self.peers).remove(&peer);
            }
        }
        opened
    }

    async fn call(
        &self,
        peer: SocketAddr,
        runner: &RunnerId,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<Stream, Error> {
        let failed = |error: tonic::transport::Error| {
            let detail = error.to_string();
            Error::Disconnected { peer, runner: address, detail }
        };
        let mut client = self.connected(peer).map_err(failed)?;
        let open = RelayOpen {
            node: self.me.to_string(),
            runner: runner.to_string(),
            address: address.to_string(),
            limit_ms: u32::try_from(limit.as_millis()).unwrap_or(u32::MAX),
        };
        let (sender, receiver) = mpsc::channel(MAX_WAITING_PARTS);
        let first = RelayPart { open: Some(open), ..RelayPart::default() };
        let parts = tokio_stream::StreamExt::chain(
            tokio_stream::once(first),
            ReceiverStream::new(receiver),
        );
        let answer = client.relay(parts).await;
        let answer = answer.map_err(|status| Error::from_status(peer, address, &status))?;
        // The request that needs the connection has been accepted, so this is not refused.
        let hold = self.holding.begin(holder(self.me.clone()));
        hold.count(RELAY_SIZE);
        Ok(Stream::new(answer.into_inner(), sender, hold, self.metrics.clone()))
    }

    /// Returns the connection to a peer, which connects when it is first used.
    fn connected(&self, peer: SocketAddr) -> Result<FleetClient<Channel>, tonic::transport::Error> {
        let now = self.clock.now();
        let mut peers = lock(&self.peers);
        if let Some(connected) = peers.get_mut(&peer) {
            connected.used_at = now;
            return Ok(connected.client.clone());
        }
        let endpoint = Endpoint::from_shared(format!("http://{peer}"))?
            .connect_timeout(CONNECT_TIMEOUT)
            .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
            .keep_alive_while_idle(true)
            .initial_stream_window_size(WINDOW_BYTES)
            .initial_connection_window_size(SHARED_WINDOW_BYTES);
        let connect = Connect { dial: self.dial.clone(), peer };
        let client = FleetClient::new(endpoint.connect_with_connector_lazy(connect));
        peers.insert(peer, Connected { client: client.clone(), used_at: now });
        Ok(client)
    }

    /// Closes the connections to peers that are not `wanted` or have not been used for a while.
    /// Connections to runners that are open through them stay open.
    pub fn close_idle(&self, wanted: impl Fn(&SocketAddr) -> bool) {
        let now = self.clock.now();
        lock(&self.peers).retain(|peer, connected| {
            wanted(peer) && now.saturating_duration_since(connected.used_at) < IDLE_TIMEOUT
        });
    }
}
