//! Pooled connections to runners and to the store.
//!
//! A connection carries one request at a time. The connection that has been idle longest is reused
//! first: if a runner sends a second answer late, it arrives while the connection is idle, and the
//! client closes the connection. If it arrives later, where the answer to the next request is
//! expected, the id tells it apart; so a connection that has answered a call recently is not reused
//! for the same call.

use std::future::{Future, poll_fn};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::FutureExt as _;
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::Builder;
use hyper::ext::{ReasonPhrase, on_informational};
use hyper_util::rt::TokioIo;
use sardinepick_lib::clock::Clock;
use sardinepick_lib::id::RunnerId;
use sardinepick_platform::answer::{Verdict, answered_id, is_merged, keep_alive};
use socket2::SockRef;
use thiserror::Error;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Sleep, sleep, timeout};

use crate::framing::{self, Malformed};
use crate::limit::Denied;
use crate::serve::delivery::Delivery;
use crate::serve::dial::{Dial, Failure, Stream};
use crate::serve::execution::Proof;
use crate::serve::idle::Pool;
use crate::serve::intake::Intake;
use crate::serve::metrics::Metrics;

pub use crate::serve::answer::{Answer, Incomplete, ReadError};
pub use crate::serve::idle::{CallKey, Link, Ordinal, Way};

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
        /// Whether the time for the connect was used up.
        has_timed_out: bool,
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
    /// The response is malformed. The request may have run.
    #[error("malformed response from {peer} ({ordinal}): {malformed}")]
    Malformed {
        /// The remote address.
        peer: SocketAddr,
        /// The call that it answers.
        ordinal: Ordinal,
        /// What is wrong.
        malformed: Malformed,
    },
    /// The connection broke after something may have been sent.
    #[error("connection to {peer} broke ({ordinal}): {detail}")]
    Broken {
        /// The remote address.
        peer: SocketAddr,
        /// The call that broke.
        ordinal: Ordinal,
        /// The client's error.
        detail: String,
    },
}

impl SendError {
    /// Returns why the peer has certainly not received the request; `None` if it may have.
    pub fn proof(&self) -> Option<Proof> {
        match self {
            SendError::Connect { .. } => Some(Proof::NotConnected),
            SendError::Unsent { .. } => Some(Proof::Returned),
            SendError::RateLimited { .. } => Some(Proof::RateLimited),
            SendError::Leaving { .. } => Some(Proof::Leaving),
            SendError::Malformed { .. } | SendError::Broken { .. } => None,
        }
    }

    /// Returns whether the peer has certainly not received the request.
    pub fn proves_unsent(&self) -> bool {
        self.proof().is_some()
    }

    /// Returns whether the runner's rate limit denied the request.
    pub fn is_rate_limited(&self) -> bool {
        matches!(self, SendError::RateLimited { .. })
    }

    /// Returns whether this node itself did not send the request, which is no failure of the peer.
    pub fn is_local(&self) -> bool {
        matches!(self, SendError::RateLimited { .. } | SendError::Leaving { .. })
    }

    /// Returns whether the time for a connect was used up.
    pub fn is_connect_timeout(&self) -> bool {
        matches!(self, SendError::Connect { has_timed_out: true, .. })
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

/// How long a connection is kept idle if the peer announces no timeout. Shorter than any known
/// peer's idle timeout, so that a request does not race with the peer's close.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// How much earlier than the peer's timeout an idle connection is closed.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// How long the kernel waits for sent bytes to be acknowledged before it aborts a connection: this
/// detects a silent path even when no answer is expected.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// The read buffer of a connection. By itself it would grow to 400 KB. The head of an answer must fit
/// into it.
const READ_BUFFER: usize = 16 << 10;
/// The number of informational responses after which a call is given up.
const MAX_INFORMATIONAL: usize = 32;
/// How long the end of an answer waits for that of its request, without which what follows the
/// answer is not known: a runner may answer before it has read a request.
const END_TIMEOUT: Duration = Duration::from_millis(10);
/// The timeout of a probe: many times the round trip between data centres.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);

/// The connections of this node.
pub struct Connections {
    idle: Pool,
    /// The number of connections made.
    made: AtomicU64,
    dial: Arc<dyn Dial>,
    metrics: Metrics,
    /// Space for large answers.
    pub intake: Intake,
}

/// A connection in use. Dropping it closes the connection, which tells a runner to stop.
pub struct Lease {
    pub(super) connections: Arc<Connections>,
    pub(super) address: SocketAddr,
    pub(super) link: Link,
    idle_timeout: Option<Duration>,
    /// How long what follows the answer is still awaited, once that has to be awaited.
    patience: Option<Pin<Box<Sleep>>>,
}

impl Lease {
    /// Waits for what follows an answer at once. Nothing does if the connection is idle then.
    pub(super) fn poll_rest(&mut self, context: &mut Context<'_>) -> Poll<Bytes> {
        let is_idle = self.link.sender.poll_ready(context);
        if let Poll::Ready(Ok(())) = is_idle {
            return Poll::Ready(Bytes::new());
        }
        if is_idle.is_ready()
            && let Poll::Ready(rest) = Pin::new(&mut self.link.rest).poll(context)
        {
            return Poll::Ready(rest.unwrap_or_default());
        }
        let patience = self.patience.get_or_insert_with(|| Box::pin(sleep(END_TIMEOUT)));
        patience.as_mut().poll(context).map(|()| Bytes::new())
    }

    /// Counts a malformed answer.
    pub(super) fn note_malformed(&self, malformed: Malformed) {
        self.connections.note_malformed(malformed);
    }

    /// Returns the connection to the pool, once the whole answer has been read.
    pub fn return_to_pool(self) {
        let Some(keep) = self.idle_timeout.and_then(|t| t.checked_sub(IDLE_MARGIN)) else { return };
        self.connections.idle.put(self.address, self.link, keep);
    }
}

impl Connections {
    /// Creates an empty pool, whose connections `dial` opens.
    pub fn new(dial: Arc<dyn Dial>, clock: Arc<dyn Clock>, metrics: Metrics) -> Self {
        let (idle, made) = (Pool::new(clock), AtomicU64::new(0));
        Self { idle, made, dial, metrics, intake: Intake::default() }
    }

    /// Sends a request over a direct connection and waits for the head of its answer. `key`
    /// distinguishes its answer from others on the connection; `None` for a peer that sends one
    /// answer to each request. `connect_timeout` applies to a new connection.
    ///
    /// # Errors
    /// There is no answer.
    pub async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Bytes>,
        key: Option<CallKey>,
        connect_timeout: Duration,
    ) -> Result<Answer, SendError> {
        let take_idle = || self.take_idle(address, Way::Direct, key, |_| true);
        let connect = self.connect(address, connect_timeout);
        self.send_over(address, request, key, None, take_idle, connect).await
    }

    /// Sends a request over an idle connection, or over a new one if there is none, and waits for
    /// the head of its answer. `key` is as for [`Connections::send`]. Records in `delivery` that it
    /// is sent.
    ///
    /// # Errors
    /// There is no answer.
    pub async fn send_over(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Bytes>,
        key: Option<CallKey>,
        delivery: Option<&Delivery>,
        take_idle: impl Fn() -> Option<Link>,
        connect: impl Future<Output = Result<Link, SendError>>,
    ) -> Result<Answer, SendError> {
        let mut request = request.map(Full::new);
        let informational = Informational::watch(&mut request);
        let is_conditional = framing::is_conditional(&request);
        while let Some(mut link) = take_idle() {
            match exchange(address, &mut link, request, delivery, &informational).await {
                Ok(response) => return self.answer(address, link, key, is_conditional, response),
                // It is retried on the next connection.
                Err(Failed::Unsent(unsent)) => request = *unsent,
                Err(Failed::Sent(error)) => return Err(error),
            }
        }
        let mut link = connect.await?;
        match exchange(address, &mut link, request, delivery, &informational).await {
            Ok(response) => self.answer(address, link, key, is_conditional, response),
            Err(Failed::Unsent(_)) => Err(SendError::Unsent { peer: address }),
            Err(Failed::Sent(error)) => Err(error),
        }
    }

    fn answer(
        self: &Arc<Self>,
        address: SocketAddr,
        mut link: Link,
        key: Option<CallKey>,
        is_conditional: bool,
        response: Response<Incoming>,
    ) -> Result<Answer, SendError> {
        let (head, body) = response.into_parts();
        let broken = |detail: &str| {
            let detail = detail.to_owned();
            Err(SendError::Broken { peer: address, ordinal: link.ordinal, detail })
        };
        if let Err(malformed) = framing::check(&head, is_conditional) {
            self.note_malformed(malformed);
            return Err(SendError::Malformed { peer: address, ordinal: link.ordinal, malformed });
        }
        let reason = head.extensions.get::<ReasonPhrase>();
        if is_merged(reason.map_or(b"", ReasonPhrase::as_bytes), &head.headers) {
            self.metrics.foreign_answers.with_label_values(&["merged"]).inc();
            return broken("head of more than one response");
        }
        if let Some(key) = key {
            let foreign = foreign_kind(&head.headers, key, &link);
            if let Some(kind) = foreign {
                self.metrics.foreign_answers.with_label_values(&[kind]).inc();
            }
            if key == CallKey::WITHOUT_ID && foreign.is_some() {
                return broken("answer to another request");
            }
            link.note_answered(key);
        }
        let idle_timeout = keep_alive(&head.headers, DEFAULT_IDLE_TIMEOUT);
        let lease =
            Lease { connections: self.clone(), address, link, idle_timeout, patience: None };
        Ok(Answer::new(head, body, lease))
    }

    /// Counts an answer that is not used by its verdict, and returns the reason for logs.
    pub fn note_unusable(&self, verdict: &Verdict) -> &'static str {
        if *verdict == Verdict::Unsigned {
            self.metrics.malformed_answers.with_label_values(&["unsigned"]).inc();
            return "success without a signature";
        }
        "answer to another request"
    }

    fn note_malformed(&self, malformed: Malformed) {
        self.metrics.malformed_answers.with_label_values(&[malformed.label()]).inc();
    }

    /// Takes the connection that has been idle longest, if `may_reuse` permits that for the time
    /// since when it is idle. Connections for which it does not are closed. Those that have
    /// answered the call `key` recently are left for other calls.
    pub fn take_idle(
        &self,
        address: SocketAddr,
        way: Way,
        key: Option<CallKey>,
        may_reuse: impl Fn(Instant) -> bool,
    ) -> Option<Link> {
        self.idle.take(address, way, key, may_reuse)
    }

    /// Closes expired idle connections, and those to addresses that are not `wanted`.
    pub fn close_expired(&self, wanted: impl Fn(&SocketAddr) -> bool) {
        self.idle.close_expired(wanted);
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.retain(|other, _| *other != address);
    }

    /// Closes the idle connections through peers that are not `wanted`.
    pub fn close_idle_relayed(&self, wanted: impl Fn(&SocketAddr, &Link) -> bool) {
        self.idle.retain(|address, link| link.way == Way::Direct || wanted(address, link));
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

    async fn connect(&self, address: SocketAddr, limit: Duration) -> Result<Link, SendError> {
        match self.dial(address, limit).await {
            Ok(stream) => self.establish(address, Way::Direct, stream).await,
            Err(error) => {
                let has_timed_out = error.kind() == ErrorKind::TimedOut;
                Err(SendError::Connect { peer: address, detail: error.to_string(), has_timed_out })
            }
        }
    }

    /// Connects to an address directly, within `limit`.
    ///
    /// # Errors
    /// The address cannot be reached.
    pub async fn dial(&self, address: SocketAddr, limit: Duration) -> io::Result<Box<dyn Stream>> {
        self.metrics.connections.inc();
        let late = || io::Error::new(ErrorKind::TimedOut, format!("no answer within {limit:?}"));
        let connected = timeout(limit, self.dial.dial(address)).await;
        connected.unwrap_or_else(|_| Err(late())).inspect_err(|error| {
            self.note_connect_failed(address, error.into());
        })
    }

    /// Counts a direct connection that was not established.
    pub fn note_connect_failed(&self, address: SocketAddr, failure: Failure) {
        let labels = [&*address.to_string(), failure.into()];
        self.metrics.connect_failures.with_label_values(&labels).inc();
    }

    /// Prepares a connection to an address for requests.
    ///
    /// # Errors
    /// The connection cannot be used.
    pub async fn establish(
        &self,
        address: SocketAddr,
        way: Way,
        stream: Box<dyn Stream>,
    ) -> Result<Link, SendError> {
        let failed = |error: hyper::Error| {
            self.note_connect_failed(address, Failure::Other);
            let detail = error.to_string();
            SendError::Connect { peer: address, detail, has_timed_out: false }
        };
        let mut builder = Builder::new();
        builder.max_buf_size(READ_BUFFER);
        let handshake = builder.handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(failed)?;
        let (rest_sender, rest) = oneshot::channel();
        tokio::spawn(async move {
            let mut connection = connection;
            if let Err(error) = poll_fn(|context| connection.poll_without_shutdown(context)).await {
                log::debug!(peer:% = address, error:% = error; "connection closed");
            }
            let ended = connection.into_parts();
            // Nobody waits for it if the connection was idle.
            let _ = rest_sender.send(ended.read_buf);
            // If that would block, the connection is closed without it.
            if let Some(Err(error)) = ended.io.into_inner().shutdown().now_or_never() {
                log::debug!(peer:% = address, error:% = error; "connection not shut down");
            }
        });
        let connection = self.made.fetch_add(1, Ordering::Relaxed) + 1;
        Ok(Link::new(sender, rest, way, connection))
    }
}

/// Why a request brought no head of an answer.
enum Failed {
    /// Nothing of it was sent.
    Unsent(Box<Request<Full<Bytes>>>),
    /// It may have been sent.
    Sent(SendError),
}

/// Sends a request over a connection and waits for the head of its answer.
async fn exchange(
    peer: SocketAddr,
    link: &mut Link,
    request: Request<Full<Bytes>>,
    delivery: Option<&Delivery>,
    informational: &Informational,
) -> Result<Response<Incoming>, Failed> {
    delivery.inspect(|delivery| delivery.note_sent());
    link.note_sent();
    let ordinal = link.ordinal;
    let broken = |detail| Failed::Sent(SendError::Broken { peer, ordinal, detail });
    let sent = tokio::select! {
        sent = link.sender.try_send_request(request) => sent,
        () = informational.too_many() => {
            return Err(broken(format!("more than {MAX_INFORMATIONAL} informational responses")));
        }
    };
    sent.map_err(|mut error| match error.take_message() {
        Some(unsent) => {
            delivery.inspect(|delivery| delivery.note_unsent());
            Failed::Unsent(Box::new(unsent))
        }
        None => broken(error.error().to_string()),
    })
}

/// Counts the informational responses to a request. The HTTP client skips any number of them.
#[derive(Clone, Default)]
struct Informational(Arc<(AtomicUsize, Notify)>);

impl Informational {
    fn watch<B>(request: &mut Request<B>) -> Self {
        let watched = Self::default();
        let counting = watched.clone();
        on_informational(request, move |_| {
            let (count, too_many) = &*counting.0;
            if count.fetch_add(1, Ordering::Relaxed) == MAX_INFORMATIONAL {
                too_many.notify_one();
            }
        });
        watched
    }

    /// Waits until there are more than [`MAX_INFORMATIONAL`].
    async fn too_many(&self) {
        self.0.1.notified().await;
    }
}

/// Returns the kind of an answer that does not name the call `key`: a copy of an answer that the
/// connection has brought before, one without an id, or one to another request.
fn foreign_kind(headers: &HeaderMap, key: CallKey, link: &Link) -> Option<&'static str> {
    let named = answered_id(headers).map_or(CallKey::WITHOUT_ID, CallKey::of_id);
    if named == key {
        return None;
    }
    Some(match named {
        CallKey::WITHOUT_ID => "without_id",
        _ if link.may_confuse(named) => "repeated",
        _ => "other_request",
    })
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
