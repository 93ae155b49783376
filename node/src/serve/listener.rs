//! The HTTP listeners: for callers, for the platform's readiness checks, for look-ups, and for
//! metrics and state.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use http::{Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use sardinepick_lib::account::directory::{Account, Directory};
use sardinepick_lib::fleet::reachability::Path;
use sardinepick_lib::fleet::roster::Standing;
use sardinepick_lib::id::Window;
use sardinepick_platform::caller::{LOOKUP_PATH, READINESS_PATH, lookup_response, read_lookup};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::serve::connection::prepare;
use crate::serve::response::{Body, Refusal, empty, full_body, json};
use crate::serve::shared::Shared;
use crate::serve::{quarantine, request};

/// How long callers may cache a look-up answer. Some cache it three times as long. They must have
/// dropped a stopping node early enough for it to finish their last requests.
const LOOKUP_TTL: Duration = Duration::from_secs(1);
/// The maximum number of addresses in a look-up answer (platform protocol).
const MAX_ADDRESSES: usize = 64;
/// The pause after a failed `accept`: without free file descriptors, each attempt fails at once.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// The minimum read buffer for the head of a request; hyper accepts no smaller one.
const MIN_HEAD_BUFFER_BYTES: usize = 8 << 10;

/// The path prefix for releasing quarantined requests, followed by the fingerprint.
const QUARANTINE_PREFIX: &str = "/quarantine/";

/// The purpose of a listener.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Port {
    /// Requests of callers.
    Front,
    /// Readiness checks.
    Ready,
    /// Look-ups of front addresses.
    Lookup,
    /// Metrics and state.
    Metrics,
}

/// Signals connections to close: once it is true, each connection closes as soon as it is idle.
#[derive(Clone, Debug)]
pub struct Closing(watch::Receiver<bool>);

impl Closing {
    /// Subscribes to a signal.
    pub fn of(switch: &watch::Sender<bool>) -> Self {
        Self(switch.subscribe())
    }

    /// Waits until connections are to close; forever if the sender is dropped without the signal.
    async fn wait(&mut self) {
        if self.0.wait_for(|closing| *closing).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Accepts connections until `closing`.
pub async fn run(shared: Arc<Shared>, port: Port, listener: TcpListener, mut closing: Closing) {
    loop {
        let accepted = tokio::select! {
            () = closing.wait() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve(shared.clone(), port, stream, closing.clone()));
            }
            Err(error) => {
                log::warn!(error:% = error; "cannot accept connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(shared: Arc<Shared>, port: Port, stream: TcpStream, mut closing: Closing) {
    prepare(&stream);
    let limits = shared.configuration.load().as_ref().map(|c| c.limits).unwrap_or_default();
    let service = service_fn(|request| {
        let shared = shared.clone();
        async move { Ok::<_, Infallible>(handle(&shared, port, request).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // The header timeout also limits how long a connection may be idle before the head, so it
        // is the longer of the two: callers reuse connections for up to four fifths of the idle
        // timeout.
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout))
        .max_buf_size(limits.head.max(MIN_HEAD_BUFFER_BYTES) * 2);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = closing.wait() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!(port:? = port, error:% = error; "connection closed");
    }
}

async fn handle(shared: &Arc<Shared>, port: Port, request: Request<Incoming>) -> Response<Body> {
    let mut response = match port {
        Port::Front => request::handle(shared, request).await,
        Port::Ready if request.uri().path() == READINESS_PATH => {
            let ready = shared.is_ready();
            empty(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
        }
        Port::Lookup if request.uri().path() == LOOKUP_PATH => lookup(shared, &request),
        Port::Metrics if request.uri().path() == "/metrics" => {
            Response::new(full_body(shared.metrics.text()))
        }
        Port::Metrics if request.uri().path() == "/state" => json(state(shared)),
        Port::Metrics if request.uri().path().starts_with(QUARANTINE_PREFIX) => {
            release(shared, &request)
        }
        Port::Ready | Port::Lookup | Port::Metrics => empty(StatusCode::NOT_FOUND),
    };
    if *shared.standing.borrow() == Standing::Leaving {
        // Tells the caller to send its next request to another node.
        let close = http::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Releases a quarantined request: `DELETE` of its fingerprint.
fn release(shared: &Shared, request: &Request<Incoming>) -> Response<Body> {
    if request.method() != Method::DELETE {
        return empty(StatusCode::METHOD_NOT_ALLOWED);
    }
    let text = request.uri().path().trim_start_matches(QUARANTINE_PREFIX);
    match text.parse() {
        Ok(fingerprint) if quarantine::release(shared, &fingerprint) => empty(StatusCode::OK),
        Ok(_) => empty(StatusCode::NOT_FOUND),
        Err(error) => {
            let mut response = Response::new(full_body(format!("{text:?}: {error}\n")));
            *response.status_mut() = StatusCode::BAD_REQUEST;
            response
        }
    }
}

fn lookup(shared: &Shared, request: &Request<Incoming>) -> Response<Body> {
    let lookup = match read_lookup(request.uri()) {
        Ok(lookup) => lookup,
        Err(error) => {
            log::info!(error:% = error; "invalid look-up");
            return Refusal::Malformed.response();
        }
    };
    let mut addresses = Vec::new();
    if shared.is_ready() {
        addresses.push(shared.me.front);
    }
    {
        let roster = shared.roster();
        addresses.extend(roster.ready_contacts().iter().map(|contact| contact.front));
    }
    addresses.truncate(MAX_ADDRESSES);
    if addresses.is_empty() {
        log::info!(host:% = lookup.host; "no ready node for look-up");
        return empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    json(lookup_response(&addresses, LOOKUP_TTL.min(shared.settings.max_lookup_ttl)))
}

/// The node's state, for operators.
fn state(shared: &Shared) -> String {
    let now = shared.clock.now();
    let status = shared.status();
    let runners: Vec<serde_json::Value> = {
        let register = shared.register();
        let line = |runner: &sardinepick_lib::fleet::runner::Runner| {
            let load = runner.load(now);
            serde_json::json!({
                "id": runner.entry.id, "service": runner.entry.service,
                "address": runner.entry.address.to_string(),
                "data_centre": runner.entry.data_centre,
                "state": runner.entry.state.to_string(),
                "stage": runner.entry.stage.map(|s| s.to_string()),
                "takes_work": runner.takes_work(now), "failing": runner.health.failure_rate(),
                "pace": runner.pace.factor(), "own_requests": runner.own.requests,
                "all_requests": load.requests, "backlog": load.backlog,
                "cached_tokens": runner.cache.tokens(),
                "doubted_ms": register.doubted_until(&runner.entry.id).map(|until| {
                    until.saturating_duration_since(now).as_millis() as u64
                }),
                "leaving": runner.is_leaving(), "said_leaving": runner.has_announced_leaving(),
                "rate_limit": runner.limit.rate(),
                "opens_in_ms": runner.limit.opens_in(now).as_millis() as u64,
                "backs_off_ms": runner.back_off.ends_in(now).as_millis() as u64,
                "path": path_name(shared.connector.path(runner.entry.address)),
            })
        };
        register.runners().map(line).collect()
    };
    let nodes: Vec<String> =
        shared.roster().ready_contacts().iter().map(|contact| contact.id.to_string()).collect();
    serde_json::json!({
        "node": shared.me.id, "standing": format!("{:?}", status.standing),
        "configuration": status.version, "register": status.register.to_string(),
        "register_digest": shared.register_replica().digest().to_string(),
        "store_era": shared.era_tracker.era(),
        "nodes_heard": nodes, "runners": runners, "quarantine": quarantine::state(shared),
        "accounts": accounts(shared), "duties": duties(shared),
        "closed_paths": shared.connector.closed(),
        "relayed_connections": shared.metrics.relayed_connections.get(),
        "relays": shared.relay_server.open_count(),
    })
    .to_string()
}

/// How this node reaches a runner.
fn path_name(path: Path) -> &'static str {
    match path {
        Path::Open => "open",
        Path::Unverified => "unverified",
        Path::Closed => "closed",
    }
}

/// The client accounts, without their keys.
fn accounts(shared: &Shared) -> Vec<serde_json::Value> {
    let configuration = shared.configuration.load();
    let directory = configuration.as_ref().and_then(|c| c.accounts.as_ref());
    let line = |account: &Account| match account.rank {
        Some(rank) => serde_json::json!({"name": account.name, "rank": rank}),
        None => serde_json::json!({"name": account.name}),
    };
    directory.into_iter().flat_map(Directory::accounts).map(line).collect()
}

/// The holder of the duties lease, and the usage windows that this node has closed.
fn duties(shared: &Shared) -> serde_json::Value {
    let lease = shared.duty_lease.status();
    let line = |(window, outcome): (Window, &str)| serde_json::json!({"window": window, "outcome": outcome});
    let windows: Vec<_> = shared.usage.last_windows().into_iter().map(line).collect();
    serde_json::json!({
        "holder": lease.holder, "number": lease.epoch, "left_ms": lease.left.as_millis() as u64,
        "windows": windows,
    })
}
