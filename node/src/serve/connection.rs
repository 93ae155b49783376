//! Pooled connections to runners and to the store.
//!
//! A connection carries one request at a time. The connection that has been idle longest is reused
//! first: if a runner sends a second answer late, it arrives while the connection is idle, and the
//! client closes the connection before the stray bytes can be taken for the answer to another
//! request.

use std::collections::{HashMap, VecDeque};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::response::Parts;
use http::{Request, Response};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use sardinepick_lib::clock::Clock;
use sardinepick_lib::id::RunnerId;
use sardinepick_platform::answer::keep_alive;
use socket2::SockRef;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::limit::Denied;
use crate::serve::delivery::Delivery;
use crate::serve::dial::{Dial, Failure};
use crate::serve::metrics::Metrics;

/// Why a request got no answer.
#[derive(Debug, Error)]
pub enum SendError {
    /// The connection failed: nothing was sent.
    #[error("connecting to {peer}: {detail}")]
    Connect {
        /// The remote address.
        peer: SocketAddr,
        /// The system's error.
        detail: String,
    },
    /// A pooled connection had been closed before anything was sent.
    #[error("sending to {peer}: the connection had been closed")]
    Unsent {
        /// The remote address.
        peer: SocketAddr,
    },
    /// The runner's rate limit denied the request: nothing was sent.
    #[error("sending to {peer}: {denied}")]
    RateLimited {
        /// The remote address.
        peer: SocketAddr,
        /// When the limit may permit it.
        denied: Denied,
    },
    /// The runner has announced that it leaves, or has left the register, since it was chosen:
    /// nothing was sent.
    #[error("sending to {peer}: runner {runner} leaves or has left the register")]
    Leaving {
        /// The remote address.
        peer: SocketAddr,
        /// The runner.
        runner: RunnerId,
    },
    /// The connection broke after something may have been sent.
    #[error("connection to {peer} broke: {detail}")]
    Broken {
        /// The remote address.
        peer: SocketAddr,
        /// The client's error.
        detail: String,
    },
}

impl SendError {
    /// Returns whether the peer has certainly not received the request.
    pub fn proves_unsent(&self) -> bool {
        match self {
            SendError::Connect { .. }
            | SendError::Unsent { .. }
            | SendError::RateLimited { .. }
            | SendError::Leaving { .. } => true,
            SendError::Broken { .. } => false,
        }
    }

    /// Returns whether the runner's rate limit denied the request.
    pub fn is_rate_limited(&self) -> bool {
        matches!(self, SendError::RateLimited { .. })
    }

    /// Returns whether this node itself did not send the request, which is no failure of the peer.
    pub fn is_local(&self) -> bool {
        matches!(self, SendError::RateLimited { .. } | SendError::Leaving { .. })
    }
}

/// The result of probing an address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Probe {
    /// A process listens there.
    Accepted,
    /// The machine is up, and no process listens.
    Refused,
    /// No answer, which is inconclusive.
    Unknown,
}

/// The timeout for connecting to a runner. The one-way latency between data centres is at most a
/// few milliseconds, and a runner accepts within one.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

type Sender = SendRequest<Full<Bytes>>;

struct Idle {
    sender: Sender,
    until: std::time::Instant,
}

/// How long a connection is kept idle if the peer announces no timeout. Shorter than any known
/// peer's idle timeout, so that a request does not race with the peer's close.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// How much earlier than the peer's timeout an idle connection is closed.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// How long the kernel waits for sent bytes to be acknowledged before it aborts a connection: this
/// detects a silent path even when no answer is expected.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// The timeout of a probe: many times the round trip between data centres.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);
/// The maximum number of idle connections per address.
const MAX_IDLE: usize = 32;

/// The connections of this node.
pub struct Connections {
    idle: Mutex<HashMap<SocketAddr, VecDeque<Idle>>>,
    dial: Arc<dyn Dial>,
    clock: Arc<dyn Clock>,
    metrics: Metrics,
}

/// An answer whose body has not been read yet.
pub struct Answer {
    /// Its head.
    pub head: Parts,
    /// Its body.
    pub body: Incoming,
    /// The connection that it came over.
    pub lease: Lease,
}

/// The body of an answer is truncated.
#[derive(Debug, Error)]
#[error("answer truncated: {0}")]
pub struct Incomplete(String);

impl Answer {
    /// Reads the whole body, up to `max_bytes`, and returns the connection to the pool.
    ///
    /// # Errors
    /// The body is truncated or larger.
    pub async fn read(self, max_bytes: usize) -> Result<(Parts, Bytes), Incomplete> {
        let body = Limited::new(self.body, max_bytes).collect().await;
        let body = body.map_err(|error| Incomplete(error.to_string()))?;
        self.lease.return_to_pool();
        Ok((self.head, body.to_bytes()))
    }

    /// Reads the whole body like [`Answer::read`], with a limit on the time between its pieces
    /// instead of the whole: how long that takes depends on the size and the links.
    ///
    /// # Errors
    /// The body is truncated or larger, or nothing was received for too long.
    pub async fn read_with_idle_timeout(
        self,
        max_bytes: usize,
        idle_timeout: Duration,
    ) -> Result<(Parts, Bytes), Incomplete> {
        let (mut body, mut whole) = (Limited::new(self.body, max_bytes), BytesMut::new());
        loop {
            let frame = timeout(idle_timeout, body.frame()).await;
            let frame = frame.map_err(|_| Incomplete(format!("no data for {idle_timeout:?}")))?;
            let Some(frame) = frame else { break };
            let frame = frame.map_err(|error| Incomplete(error.to_string()))?;
            // Trailers are ignored.
            if let Ok(data) = frame.into_data() {
                whole.extend_from_slice(&data);
            }
        }
        self.lease.return_to_pool();
        Ok((self.head, whole.freeze()))
    }

    /// Reads and drops the body, so that the connection can be reused. If the body is truncated,
    /// the connection is closed.
    pub async fn discard(self, max_bytes: usize) {
        if let Err(error) = self.read(max_bytes).await {
            log::debug!(error:% = error; "cannot discard answer");
        }
    }
}

/// A connection in use. Dropping it closes the connection, which tells a runner to stop.
pub struct Lease {
    connections: Arc<Connections>,
    address: SocketAddr,
    sender: Sender,
    idle_timeout: Option<Duration>,
}

impl Lease {
    /// Returns the connection to the pool, once the whole answer has been read.
    pub fn return_to_pool(self) {
        let Some(keep) = self.idle_timeout.and_then(|t| t.checked_sub(IDLE_MARGIN)) else { return };
        let until = self.connections.clock.now() + keep;
        let mut idle = self.connections.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let queue = idle.entry(self.address).or_default();
        if queue.len() < MAX_IDLE {
            queue.push_back(Idle { sender: self.sender, until });
        }
    }
}

impl Connections {
    /// Creates an empty pool, whose connections `dial` opens.
    pub fn new(dial: Arc<dyn Dial>, clock: Arc<dyn Clock>, metrics: Metrics) -> Self {
        Self { idle: Mutex::new(HashMap::new()), dial, clock, metrics }
    }

    /// Sends a request and waits for the head of its answer. `connect_timeout` applies to a new
    /// connection.
    ///
    /// # Errors
    /// There is no answer.
    pub async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Bytes>,
        connect_timeout: Duration,
    ) -> Result<Answer, SendError> {
        self.send_reserved(address, request, connect_timeout, None).await
    }

    /// Sends a request like [`Connections::send`], and records in `delivery` that it is sent.
    ///
    /// # Errors
    /// There is no answer.
    pub async fn send_reserved(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Bytes>,
        connect_timeout: Duration,
        delivery: Option<&Delivery>,
    ) -> Result<Answer, SendError> {
        let mut request = request.map(Full::new);
        while let Some(mut sender) = self.take_idle(address) {
            delivery.inspect(|delivery| delivery.note_sent());
            match sender.try_send_request(request).await {
                Ok(response) => return Ok(self.answer(address, sender, response)),
                Err(mut error) => match error.take_message() {
                    // Nothing of it was sent: it is retried on the next connection.
                    Some(unsent) => {
                        delivery.inspect(|delivery| delivery.note_unsent());
                        request = unsent;
                    }
                    None => return Err(broken(address, error.error())),
                },
            }
        }
        let mut sender = self.connect(address, connect_timeout).await?;
        delivery.inspect(|delivery| delivery.note_sent());
        match sender.try_send_request(request).await {
            Ok(response) => Ok(self.answer(address, sender, response)),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(SendError::Unsent { peer: address }),
                None => Err(broken(address, error.error())),
            },
        }
    }

    fn answer(
        self: &Arc<Self>,
        address: SocketAddr,
        sender: Sender,
        response: Response<Incoming>,
    ) -> Answer {
        let (head, body) = response.into_parts();
        let idle_timeout = keep_alive(&head.headers, DEFAULT_IDLE_TIMEOUT);
        let lease = Lease { connections: self.clone(), address, sender, idle_timeout };
        Answer { head, body, lease }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let queue = idle.get_mut(&address)?;
        while let Some(next) = queue.pop_front() {
            if next.until > now && next.sender.is_ready() {
                return Some(next.sender);
            }
        }
        None
    }

    /// Closes expired idle connections, and those to addresses that are not `wanted`.
    pub fn close_expired(&self, wanted: impl Fn(&SocketAddr) -> bool) {
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|address, queue| {
            queue.retain(|i| i.until > now && !i.sender.is_closed());
            !queue.is_empty() && wanted(address)
        });
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
    }

    /// Checks whether a process listens at an address.
    pub async fn probe(&self, address: SocketAddr) -> Probe {
        self.metrics.connections.inc();
        match timeout(PROBE_TIMEOUT, self.dial.dial(address)).await {
            Ok(Ok(_)) => Probe::Accepted,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Probe::Refused,
            Ok(Err(_)) | Err(_) => Probe::Unknown,
        }
    }

    async fn connect(&self, address: SocketAddr, limit: Duration) -> Result<Sender, SendError> {
        let failed = |failure: Failure, detail: String| {
            let peer = address.to_string();
            let labels = [peer.as_str(), failure.into()];
            self.metrics.connect_failures.with_label_values(&labels).inc();
            SendError::Connect { peer: address, detail }
        };
        self.metrics.connections.inc();
        let stream = match timeout(limit, self.dial.dial(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(failed((&error).into(), error.to_string())),
            Err(_) => return Err(failed(Failure::Timeout, format!("no answer within {limit:?}"))),
        };
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(|e| failed(Failure::Other, e.to_string()))?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(peer:% = address, error:% = error; "connection closed");
            }
        });
        Ok(sender)
    }
}

fn broken(peer: SocketAddr, error: &hyper::Error) -> SendError {
    SendError::Broken { peer, detail: error.to_string() }
}

/// Configures a connection to send small writes at once and to detect a silent path.
pub fn prepare(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)));
    if let Err(error) = set {
        log::debug!(error:% = error; "cannot set socket options");
    }
}
