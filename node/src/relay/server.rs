//! Forwarding connections of other nodes to runners.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::BytesMut;
use sardinepick_lib::clock::Clock;
use sardinepick_lib::fleet::reachability::{RELAY_CONNECT_TIMEOUT, Reachability};
use sardinepick_lib::fleet::register::Register;
use sardinepick_lib::fleet::roster::Standing;
use sardinepick_lib::id::{NodeId, RunnerId};
use sardinepick_wire::fleet::{RelayOpen, RelayPart};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _, split};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, watch};
use tokio::time::timeout;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Status, Streaming};

use super::{CHUNK_BYTES, MAX_RELAYS, RELAY_SIZE, holder};
use crate::holding::{Hold, Holding};
use crate::lock::lock;
use crate::serve::dial::{Dial, Stream};
use crate::serve::metrics::Metrics;

/// How long a node that calls may take to name the runner.
const OPEN_TIMEOUT: Duration = Duration::from_millis(250);
/// The maximum number of messages that wait to be sent on one connection.
const MAX_WAITING_PARTS: usize = 2;

/// Why a connection is not forwarded.
#[derive(Debug, Error)]
enum Refusal {
    /// The first message is missing or invalid.
    #[error("invalid request: {0}")]
    Malformed(String),
    /// This node is leaving.
    #[error("the node is leaving")]
    NodeLeaving,
    /// Too many connections are forwarded already.
    #[error("{MAX_RELAYS} connections are open")]
    Busy,
    /// The node holds as much as it may.
    #[error("the node holds as much as it may")]
    Full,
    /// The register has no such runner at this address.
    #[error("no runner {runner} at {address}")]
    Unknown { runner: RunnerId, address: SocketAddr },
    /// The runner accepts no new connections.
    #[error("runner {runner} leaves")]
    RunnerLeaving { runner: RunnerId },
    /// This node is known not to reach the runner.
    #[error("the path to {address} is closed")]
    PathClosed { address: SocketAddr },
    /// This node cannot reach the runner.
    #[error("connecting to {address}: {source}")]
    Unreachable { address: SocketAddr, source: io::Error },
    /// The runner does not answer this node.
    #[error("connecting to {address}: no answer within {limit:?}")]
    TimedOut { address: SocketAddr, limit: Duration },
}

impl Refusal {
    fn status(&self) -> Status {
        let message = self.to_string();
        match self {
            Refusal::Malformed(_) => Status::invalid_argument(message),
            Refusal::NodeLeaving => Status::aborted(message),
            Refusal::Busy | Refusal::Full => Status::resource_exhausted(message),
            Refusal::Unknown { .. } => Status::not_found(message),
            Refusal::RunnerLeaving { .. } => Status::failed_precondition(message),
            Refusal::PathClosed { .. } | Refusal::Unreachable { .. } | Refusal::TimedOut { .. } => {
                Status::unavailable(message)
            }
        }
    }

    /// The outcome as a metric label.
    fn outcome(&self) -> &'static str {
        match self {
            Refusal::Malformed(_) => "malformed",
            Refusal::NodeLeaving => "node_leaving",
            Refusal::Busy => "busy",
            Refusal::Full => "full",
            Refusal::Unknown { .. } => "unknown_runner",
            Refusal::RunnerLeaving { .. } => "runner_leaving",
            Refusal::PathClosed { .. } => "path_closed",
            Refusal::Unreachable { .. } | Refusal::TimedOut { .. } => "unreachable",
        }
    }
}

/// The answer of a call: data of the runner.
pub type Answer = ReceiverStream<Result<RelayPart, Status>>;
type Connection = Box<dyn Stream>;
type Parts = mpsc::Sender<Result<RelayPart, Status>>;

/// Forwards connections of other nodes to runners.
pub struct Server {
    register: Arc<Mutex<Register>>,
    reachability: Arc<Mutex<Reachability>>,
    dial: Arc<dyn Dial>,
    standing: watch::Receiver<Standing>,
    slots: Arc<Semaphore>,
    holding: Holding,
    clock: Arc<dyn Clock>,
    metrics: Metrics,
}

/// One of the connections that may be open, until it is dropped.
struct Slot {
    _permit: OwnedSemaphorePermit,
    _hold: Hold,
    metrics: Metrics,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.metrics.relays.dec();
    }
}

impl Server {
    /// Creates a server that connects to the runners in `register` by `dial`.
    pub fn new(
        register: Arc<Mutex<Register>>,
        reachability: Arc<Mutex<Reachability>>,
        dial: Arc<dyn Dial>,
        standing: watch::Receiver<Standing>,
        holding: Holding,
        clock: Arc<dyn Clock>,
        metrics: Metrics,
    ) -> Self {
        let slots = Arc::new(Semaphore::new(MAX_RELAYS));
        Self { register, reachability, dial, standing, slots, holding, clock, metrics }
    }

    /// The number of connections that are open.
    pub fn open_count(&self) -> usize {
        MAX_RELAYS.saturating_sub(self.slots.available_permits())
    }

    /// Connects to the runner that the first of `parts` names, and forwards until one side ends.
    ///
    /// # Errors
    /// The connection is refused, or the runner cannot be reached.
    pub async fn relay(&self, mut parts: Streaming<RelayPart>) -> Result<Answer, Status> {
        let opened = self.open(&mut parts).await;
        let outcome = opened.as_ref().map_or_else(Refusal::outcome, |_| "opened");
        self.metrics.relays_opened.with_label_values(&["server", outcome]).inc();
        let (runner, slot) = opened.map_err(|refusal| {
            log::info!(error:% = refusal; "relay refused");
            refusal.status()
        })?;
        let (answers, receiver) = mpsc::channel(MAX_WAITING_PARTS);
        let metrics = self.metrics.clone();
        tokio::spawn(async move {
            forward(runner, parts, answers, &metrics).await;
            drop(slot);
        });
        Ok(ReceiverStream::new(receiver))
    }

    async fn open(&self, parts: &mut Streaming<RelayPart>) -> Result<(Connection, Slot), Refusal> {
        let open = receive_open(parts).await?;
        let slot = self.acquire_slot(&open)?;
        let (runner, address) = decode(&open)?;
        self.check(runner, address)?;
        let limit = RELAY_CONNECT_TIMEOUT.min(Duration::from_millis(open.limit_ms.into()));
        let connected = self.connect(address, limit).await;
        let now = self.clock.now();
        let mut reachability = lock(&self.reachability);
        match connected {
            Ok(connection) => {
                reachability.note_connected(address, now);
                Ok((connection, slot))
            }
            Err(refusal) => {
                reachability.note_direct_failed(address, now);
                Err(refusal)
            }
        }
    }

    async fn connect(&self, address: SocketAddr, limit: Duration) -> Result<Connection, Refusal> {
        let connected = timeout(limit, self.dial.dial(address)).await;
        let connected = connected.map_err(|_| Refusal::TimedOut { address, limit })?;
        connected.map_err(|source| Refusal::Unreachable { address, source })
    }

    /// Counts a connection in what the node holds.
    fn hold(&self, open: &RelayOpen) -> Result<Hold, Refusal> {
        let node = open.node.parse::<NodeId>();
        let node = node.map_err(|error| Refusal::Malformed(error.to_string()))?;
        let hold = self.holding.begin(holder(node));
        hold.try_grow(RELAY_SIZE).map_err(|_| Refusal::Full)?;
        Ok(hold)
    }

    fn acquire_slot(&self, open: &RelayOpen) -> Result<Slot, Refusal> {
        let permit = self.slots.clone().try_acquire_owned().map_err(|_| Refusal::Busy)?;
        let hold = self.hold(open)?;
        self.metrics.relays.inc();
        Ok(Slot { _permit: permit, _hold: hold, metrics: self.metrics.clone() })
    }

    /// Checks that connections to the runner may be forwarded: no other address is reachable
    /// through this node, and a runner that leaves gets no new connection.
    fn check(&self, runner: RunnerId, address: SocketAddr) -> Result<(), Refusal> {
        if *self.standing.borrow() == Standing::Leaving {
            return Err(Refusal::NodeLeaving);
        }
        let is_leaving = {
            let register = lock(&self.register);
            let known = register.get(&runner).filter(|known| known.entry.address == address);
            known.map(|known| !known.is_last_resort())
        };
        match is_leaving {
            None => return Err(Refusal::Unknown { runner, address }),
            Some(true) => return Err(Refusal::RunnerLeaving { runner }),
            Some(false) => {}
        }
        if !lock(&self.reachability).may_relay(address, self.clock.now()) {
            return Err(Refusal::PathClosed { address });
        }
        Ok(())
    }
}

async fn receive_open(parts: &mut Streaming<RelayPart>) -> Result<RelayOpen, Refusal> {
    let malformed = |detail: &str| Refusal::Malformed(detail.to_owned());
    let first = timeout(OPEN_TIMEOUT, parts.message()).await;
    let first = first.map_err(|_| malformed("no first message"))?;
    let first = first.map_err(|status| malformed(status.message()))?;
    first.and_then(|part| part.open).ok_or_else(|| malformed("no runner"))
}

fn decode(open: &RelayOpen) -> Result<(RunnerId, SocketAddr), Refusal> {
    let runner = open.runner.parse();
    let runner = runner.map_err(|_| Refusal::Malformed(format!("runner {:?}", open.runner)))?;
    let address = open.address.parse();
    let address = address.map_err(|_| Refusal::Malformed(format!("address {:?}", open.address)))?;
    Ok((runner, address))
}

/// Forwards until the runner's side ends or the calling node drops the call. Either way the
/// runner's connection is closed on return.
async fn forward(
    runner: Connection,
    parts: Streaming<RelayPart>,
    answers: Parts,
    metrics: &Metrics,
) {
    let (reader, writer) = split(runner);
    let abandoned = async {
        if let Err(error) = upload(parts, writer, metrics).await {
            log::debug!(error:% = error; "cannot forward to a runner");
            // What the runner has sent before is still delivered, and then its error.
            std::future::pending::<()>().await;
        }
    };
    tokio::select! {
        () = download(reader, &answers, metrics) => {}
        () = abandoned => {}
        () = answers.closed() => {}
    }
}

/// Forwards data to the runner. Returns when the calling node has dropped the call.
async fn upload(
    mut parts: Streaming<RelayPart>,
    mut writer: impl AsyncWrite + Unpin,
    metrics: &Metrics,
) -> io::Result<()> {
    let forwarded = metrics.relay_bytes.with_label_values(&["to_runner"]);
    loop {
        let part = match parts.message().await {
            Ok(Some(part)) => part,
            Ok(None) => return Ok(()),
            Err(status) => {
                log::debug!(error:% = status; "relay dropped by the calling node");
                return Ok(());
            }
        };
        writer.write_all(&part.data).await?;
        forwarded.inc_by(part.data.len() as u64);
        if part.end {
            writer.shutdown().await?;
        }
    }
}

/// Forwards data of the runner, and how it ends.
async fn download(mut reader: impl AsyncRead + Unpin, answers: &Parts, metrics: &Metrics) {
    let forwarded = metrics.relay_bytes.with_label_values(&["from_runner"]);
    let mut buffer = BytesMut::new();
    loop {
        buffer.reserve(CHUNK_BYTES);
        let mut chunk = (&mut reader).take(CHUNK_BYTES as u64);
        let part = match chunk.read_buf(&mut buffer).await {
            Ok(0) => Ok(RelayPart { end: true, ..RelayPart::default() }),
            Ok(length) => {
                forwarded.inc_by(length as u64);
                Ok(RelayPart { data: buffer.split().freeze(), ..RelayPart::default() })
            }
            Err(error) => Err(Status::aborted(format!("connection to the runner: {error}"))),
        };
        let is_last = !part.as_ref().is_ok_and(|part| !part.end);
        if answers.send(part).await.is_err() || is_last {
            return;
        }
    }
}
