//! Connections of callers: how long they may be idle, when they are closed, and what is recorded
//! when one ends before the response to its request is complete.
//!
//! The limits are those of the configuration in force, not of the one in force when the connection
//! was accepted. A connection is closed only while it is idle: neither while a request is in
//! progress, nor once the first byte of its head has been read.

mod activity;
mod body;
mod table;

use std::convert::Infallible;
use std::future::Future;
use std::net::Ipv4Addr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use futures_util::FutureExt as _;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use sardinepick_lib::clock::Clock;
use sardinepick_lib::fleet::caller_connection::{Action, Cause, Close};
use sardinepick_lib::fleet::holding::Connection;
use sardinepick_lib::fleet::route::Limits;
use sardinepick_platform::caller::request_id;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

pub use self::body::{RequestBody, Source};
pub use self::table::{Slot, Table};

use self::activity::Activity;
use self::body::ResponseBody;
use crate::observed::Observed;
use crate::serve::metrics::Metrics;
use crate::serve::response::{Body, Refusal};

/// The minimum read buffer for the head of a request; hyper accepts no smaller one.
const MIN_HEAD_BUFFER_BYTES: usize = 8 << 10;

/// What the read buffer has beyond the maximum size of the headers: the request line, and the first
/// bytes of the body.
const HEAD_MARGIN_BYTES: usize = 4 << 10;

/// Signals connections to close: once it is true, each connection closes as soon as it is idle.
#[derive(Clone, Debug)]
pub struct Closing(watch::Receiver<bool>);

impl Closing {
    /// Subscribes to a signal.
    pub fn of(switch: &watch::Sender<bool>) -> Self {
        Self(switch.subscribe())
    }

    /// Waits until connections are to close; forever if the sender is dropped without the signal.
    pub async fn wait(&mut self) {
        if self.0.wait_for(|closing| *closing).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// What the connections of one listener share.
#[derive(Clone)]
pub struct Context {
    /// The name of the listener in logs and metrics.
    pub port: &'static str,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Metrics.
    pub metrics: Metrics,
    /// The limits in force.
    pub limits: watch::Receiver<Limits>,
    /// Signals that connections are to close.
    pub closing: Closing,
    /// The maximum size of a head; `None` for that of the limits in force.
    pub max_head: Option<usize>,
}

impl Context {
    /// The maximum size of the read buffer of a connection that is opened now.
    pub fn head_buffer(&self) -> usize {
        let head = self.max_head.unwrap_or_else(|| self.limits.borrow().head);
        head.max(MIN_HEAD_BUFFER_BYTES)
    }
}

/// Serves a connection until it ends. Each request is passed to `handler`.
pub async fn serve<F, R>(context: Context, stream: TcpStream, slot: Slot, handler: F)
where
    F: Fn(Request<RequestBody>) -> R,
    R: Future<Output = Response<Body>>,
{
    let source = source(&stream);
    let activity = slot.activity.clone();
    let service = service_fn(|request: Request<Incoming>| {
        let exchange = activity.begin(request_id(request.headers()).unwrap_or_default());
        let request = request.map(|body| RequestBody::new(body, exchange.clone(), source));
        // hyper keeps space for the future of a request in each connection, also in idle ones.
        let response = Box::pin(or_broken(handler(request)));
        async move {
            let response = response.await;
            Ok::<_, Infallible>(response.map(|body| ResponseBody::new(body, exchange)))
        }
    });
    let head_bytes = context.head_buffer() + HEAD_MARGIN_BYTES;
    let mut builder = http1::Builder::new();
    // The timer of hyper is set once for a connection and also ends a half read head.
    builder.header_read_timeout(None).max_buf_size(head_bytes);
    let io = TokioIo::new(Observed::new(stream, activity.clone()));
    let mut connection = std::pin::pin!(builder.serve_connection(io, service));
    let (mut limits, mut closing) = (context.limits.clone(), context.closing.clone());
    let mut close = Close::default();
    let result = loop {
        let (now, state, in_force) =
            (context.clock.now(), activity.state(), *limits.borrow_and_update());
        match close.poll(state, in_force, now) {
            Action::Wait => {}
            Action::Shutdown => connection.as_mut().graceful_shutdown(),
            Action::Drop => break Ok(()),
        }
        // Bytes that have arrived are read before the connection is closed.
        tokio::select! {
            biased;
            result = connection.as_mut() => break result,
            () = closing.wait(), if !close.is_requested() => close.request(),
            () = slot.evicted() => {
                if !close.evict(activity.state()) {
                    slot.keep();
                }
            }
            Ok(()) = limits.changed() => {}
            () = sleep(close.next_check(state, in_force, now)) => {}
        }
    };
    record_end(&context, &activity, close.cause(), &result);
}

/// The number of the last connection.
static LAST_CONNECTION: AtomicU64 = AtomicU64::new(0);

/// Returns the next connection number, and the address of the caller; an unspecified address if the
/// caller has disconnected already.
fn source(stream: &TcpStream) -> Source {
    let connection = Connection(LAST_CONNECTION.fetch_add(1, Ordering::Relaxed) + 1);
    let address = stream.peer_addr().map_or(Ipv4Addr::UNSPECIFIED.into(), |peer| peer.ip());
    Source { connection, address }
}

/// Returns the response of a handler, or one that promises nothing if the handler panics: the
/// connection would close without a response.
async fn or_broken(response: impl Future<Output = Response<Body>>) -> Response<Body> {
    AssertUnwindSafe(response).catch_unwind().await.unwrap_or_else(|_| {
        log::error!("handler of a request panicked");
        Refusal::Broken.response()
    })
}

/// Counts the end of a connection, and logs one that ended before the response was complete.
fn record_end(context: &Context, activity: &Activity, cause: Cause, result: &hyper::Result<()>) {
    let cause: &'static str = cause.into();
    let unanswered = activity.unanswered();
    let state = if unanswered.is_some() { "unanswered" } else { "idle" };
    context.metrics.caller_connection_ends.with_label_values(&[context.port, cause, state]).inc();
    let Some((unanswered, waited)) = unanswered else { return };
    let error = result.as_ref().err().map(ToString::to_string).unwrap_or_default();
    log::info!(
        port = context.port, request:% = unanswered.request, cause = cause, error = error,
        waited_ms = waited.as_millis() as u64; "connection ended before the response"
    );
}
