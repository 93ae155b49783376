//! Connections to runners and to the store, kept for reuse.
//!
//! One request at a time goes over a connection. The connection that has been idle longest is taken
//! first: a runner that sends a second answer late sends it while the connection is idle, and the
//! client closes it then, before the stray bytes can meet another request.

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
use sardinepick_platform::answer::keep_alive;
use socket2::SockRef;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::limit::Denied;
use crate::serve::metrics::Metrics;

/// Why there is no answer.
#[derive(Debug, Error)]
pub enum SendError {
    /// No connection could be made: nothing was sent.
    #[error("connecting to {peer}: {detail}")]
    Connect {
        /// The other side.
        peer: SocketAddr,
        /// What the system says.
        detail: String,
    },
    /// A kept connection had been closed before anything was sent.
    #[error("sending to {peer}: the connection had been closed")]
    Unsent {
        /// The other side.
        peer: SocketAddr,
    },
    /// The runner's rate limit leaves no room: nothing was sent.
    #[error("sending to {peer}: {denied}")]
    RateLimited {
        /// The other side.
        peer: SocketAddr,
        /// When there may be room.
        denied: Denied,
    },
    /// The connection broke after something may have been sent.
    #[error("answer of {peer} broke off: {detail}")]
    Broken {
        /// The other side.
        peer: SocketAddr,
        /// What the client says.
        detail: String,
    },
}

impl SendError {
    /// Whether it is certain that the other side has not got the request.
    pub fn proves_unsent(&self) -> bool {
        match self {
            SendError::Connect { .. }
            | SendError::Unsent { .. }
            | SendError::RateLimited { .. } => true,
            SendError::Broken { .. } => false,
        }
    }

    /// Whether it says nothing against the other side, which was not tried.
    pub fn is_denied(&self) -> bool {
        matches!(self, SendError::RateLimited { .. })
    }
}

/// What came of trying an address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Probe {
    /// Something listens there.
    Accepted,
    /// The machine is there, and nothing listens.
    Refused,
    /// There was no answer, which says nothing.
    Unknown,
}

/// How long a connection to a runner may take. One way between data centres is at most a few
/// milliseconds, and a runner takes one to accept.
pub const CONNECT_LIMIT: Duration = Duration::from_millis(250);

type Sender = SendRequest<Full<Bytes>>;

struct Idle {
    sender: Sender,
    until: std::time::Instant,
}

/// How long a connection is kept idle where the other side does not say. Shorter than any timeout
/// seen, so that a request does not meet the other side's close.
const DEFAULT_IDLE: Duration = Duration::from_secs(3);
/// How much earlier than the other side a connection is given up.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// How long the kernel waits for the acknowledgement of sent bytes before it gives a connection up:
/// a silent path is noticed even when nothing is expected to come back.
const UNACKNOWLEDGED: Duration = Duration::from_secs(3);
/// How long a refusal of a connection may take: many times the way between data centres and back.
const PROBE_LIMIT: Duration = Duration::from_millis(50);
/// The most idle connections that are kept to one address.
const MOST_IDLE: usize = 32;

/// All connections of this node.
pub struct Connections {
    idle: Mutex<HashMap<SocketAddr, VecDeque<Idle>>>,
    clock: Arc<dyn Clock>,
    metrics: Metrics,
}

/// An answer whose body is still to be read.
pub struct Answer {
    /// Its head.
    pub head: Parts,
    /// Its body.
    pub body: Incoming,
    /// The connection it came over.
    pub lease: Lease,
}

/// An answer's body did not come whole.
#[derive(Debug, Error)]
#[error("the answer broke off: {0}")]
pub struct Incomplete(String);

impl Answer {
    /// Reads the whole body, up to `most` bytes, and gives the connection back.
    ///
    /// # Errors
    /// The body did not come whole, or is larger.
    pub async fn read(self, most: usize) -> Result<(Parts, Bytes), Incomplete> {
        let body = Limited::new(self.body, most).collect().await;
        let body = body.map_err(|error| Incomplete(error.to_string()))?;
        self.lease.give_back();
        Ok((self.head, body.to_bytes()))
    }

    /// Reads the whole body as [`Answer::read`] does, as long as pieces of it come no further apart
    /// than `silence`: how long all of it takes depends on its size and the links.
    ///
    /// # Errors
    /// The body did not come whole, is larger, or nothing came for too long.
    pub async fn read_while_it_comes(
        self,
        most: usize,
        silence: Duration,
    ) -> Result<(Parts, Bytes), Incomplete> {
        let (mut body, mut whole) = (Limited::new(self.body, most), BytesMut::new());
        loop {
            let frame = timeout(silence, body.frame()).await;
            let frame = frame.map_err(|_| Incomplete(format!("nothing came for {silence:?}")))?;
            let Some(frame) = frame else { break };
            let frame = frame.map_err(|error| Incomplete(error.to_string()))?;
            // Trailers say nothing here.
            if let Ok(data) = frame.into_data() {
                whole.extend_from_slice(&data);
            }
        }
        self.lease.give_back();
        Ok((self.head, whole.freeze()))
    }

    /// Reads a body that nobody needs, so that the connection can be used again. One that does not
    /// come whole closes it.
    pub async fn discard(self, most: usize) {
        if let Err(error) = self.read(most).await {
            log::debug!(error:% = error; "discarding an answer");
        }
    }
}

/// A connection in use. Dropping it closes the connection, which tells a runner to stop.
pub struct Lease {
    connections: Arc<Connections>,
    address: SocketAddr,
    sender: Sender,
    keep: Option<Duration>,
}

impl Lease {
    /// Gives the connection back for reuse, once the whole answer has been read.
    pub fn give_back(self) {
        let Some(keep) = self.keep.and_then(|keep| keep.checked_sub(IDLE_MARGIN)) else { return };
        let until = self.connections.clock.now() + keep;
        let mut idle = self.connections.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let queue = idle.entry(self.address).or_default();
        if queue.len() < MOST_IDLE {
            queue.push_back(Idle { sender: self.sender, until });
        }
    }
}

impl Connections {
    /// No connections yet.
    pub fn new(clock: Arc<dyn Clock>, metrics: Metrics) -> Self {
        Self { idle: Mutex::new(HashMap::new()), clock, metrics }
    }

    /// Sends a request and waits for the head of its answer. `connecting` bounds the time for a new
    /// connection.
    ///
    /// # Errors
    /// There is no answer.
    pub async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Bytes>,
        connecting: Duration,
    ) -> Result<Answer, SendError> {
        let mut request = request.map(Full::new);
        while let Some(mut sender) = self.take_idle(address) {
            match sender.try_send_request(request).await {
                Ok(response) => return Ok(self.answer(address, sender, response)),
                Err(mut error) => match error.take_message() {
                    // Nothing of it had been sent: the next connection gets it.
                    Some(unsent) => request = unsent,
                    None => return Err(broken(address, error.error())),
                },
            }
        }
        let mut sender = self.connect(address, connecting).await?;
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
        let keep = keep_alive(&head.headers, DEFAULT_IDLE);
        let lease = Lease { connections: self.clone(), address, sender, keep };
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

    /// Closes idle connections whose time is over, and those to addresses not in `wanted`.
    pub fn tidy(&self, wanted: impl Fn(&SocketAddr) -> bool) {
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|address, queue| {
            queue.retain(|i| i.until > now && !i.sender.is_closed());
            !queue.is_empty() && wanted(address)
        });
    }

    /// Closes the idle connections to an address.
    pub fn forget(&self, address: SocketAddr) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
    }

    /// Tries whether anything listens at an address.
    pub async fn probe(&self, address: SocketAddr) -> Probe {
        self.metrics.connections.inc();
        match timeout(PROBE_LIMIT, TcpStream::connect(address)).await {
            Ok(Ok(_)) => Probe::Accepted,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Probe::Refused,
            Ok(Err(_)) | Err(_) => Probe::Unknown,
        }
    }

    async fn connect(&self, address: SocketAddr, limit: Duration) -> Result<Sender, SendError> {
        let failed = |detail: String| SendError::Connect { peer: address, detail };
        self.metrics.connections.inc();
        let stream = match timeout(limit, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(failed(error.to_string())),
            Err(_) => return Err(failed(format!("no answer within {limit:?}"))),
        };
        prepare(&stream);
        drop_unsent_at_close(&stream);
        let (sender, connection) =
            handshake(TokioIo::new(stream)).await.map_err(|e| failed(e.to_string()))?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(peer:% = address, error:% = error; "a connection ended");
            }
        });
        Ok(sender)
    }
}

fn broken(peer: SocketAddr, error: &hyper::Error) -> SendError {
    SendError::Broken { peer, detail: error.to_string() }
}

/// Has what has not been delivered dropped when the connection is closed.
///
/// A call that is given up while the path to its peer is cut leaves its bytes with the system, which
/// delivers them when the path is back: a runner got a request six seconds after its caller had left,
/// and more than two after the runner had said that it leaves. Closing with a reset takes them back.
fn drop_unsent_at_close(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::debug!(error:% = error; "setting a connection's end");
    }
}

/// Sets a connection so that small writes leave at once and a silent path is noticed.
pub fn prepare(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let set =
        stream.set_nodelay(true).and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED)));
    if let Err(error) = set {
        log::debug!(error:% = error; "setting a connection's options");
    }
}
