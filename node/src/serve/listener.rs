//! The HTTP listeners: for callers, for the platform's readiness checks, for look-ups, and for
//! metrics and state.

use std::net::SocketAddr;
use std::sync::Arc;

use http::{Method, Request, Response, StatusCode, header};
use sardinepick_lib::account::directory::{Account, Directory};
use sardinepick_lib::fleet::holding::Bounds;
use sardinepick_lib::fleet::reachability::Path;
use sardinepick_lib::fleet::roster::Standing;
use sardinepick_lib::id::Window;
use sardinepick_platform::caller::{LOOKUP_PATH, READINESS_PATH, lookup_response, read_lookup};
use socket2::SockRef;
use strum::IntoStaticStr;
use tokio::net::{TcpListener, TcpStream};

use crate::caller_connection::{self, Closing, Context, RequestBody, Table};
use crate::serve::response::{Body, Refusal, empty, full_body, json};
use crate::serve::shared::Shared;
use crate::serve::{accept, quarantine, request};

/// The maximum number of addresses in a look-up answer (platform protocol).
const MAX_ADDRESSES: usize = 64;
/// The send buffer of a caller's connection; the kernel doubles it. By itself it grows to several
/// megabytes. This is enough for 200 Mbit/s at a round trip of 5 ms.
const SEND_BUFFER_BYTES: usize = 64 << 10;

/// The receive buffer of a caller's connection; the kernel doubles it. By itself it grows to several
/// megabytes.
const RECEIVE_BUFFER_BYTES: usize = 32 << 10;
/// The maximum number of connections of each listener for the platform and operators.
const CONTROL_CONNECTIONS: u32 = 64;

/// The path prefix for releasing quarantined requests, followed by the fingerprint.
const QUARANTINE_PREFIX: &str = "/quarantine/";

/// The purpose of a listener.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
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

impl Port {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        self.into()
    }
}

/// Accepts connections until `closing`, and then those that the system has established.
pub async fn run(shared: Arc<Shared>, port: Port, listener: TcpListener, mut closing: Closing) {
    let acceptor = Acceptor::new(shared, port, closing.clone());
    limit_receive_buffer(&listener);
    loop {
        let (stream, peer) = tokio::select! {
            () = closing.wait() => break,
            accepted = accept::next(&listener) => accepted,
        };
        acceptor.open(stream, peer).await;
    }
    for (stream, peer) in accept::close(listener) {
        acceptor.open(stream, peer).await;
    }
}

/// Serves the connections of a listener.
struct Acceptor {
    shared: Arc<Shared>,
    port: Port,
    context: Context,
    table: Table,
}

impl Acceptor {
    fn new(shared: Arc<Shared>, port: Port, closing: Closing) -> Self {
        let context = Context {
            port: port.name(),
            clock: shared.clock.clone(),
            metrics: shared.metrics.clone(),
            limits: shared.limits.subscribe(),
            closing,
            max_head: (port != Port::Front).then_some(Bounds::CONTROL_HEAD),
        };
        let bounds = shared.holding.bounds();
        let limit = match port {
            Port::Front => bounds.connections,
            Port::Lookup => bounds.lookups,
            Port::Ready | Port::Metrics => CONTROL_CONNECTIONS,
        };
        let open = shared.metrics.caller_connections.with_label_values(&[port.name()]);
        let table = Table::new(limit, shared.clock.clone(), open);
        Self { shared, port, context, table }
    }

    /// Waits until another connection may be open, and serves it. Until then further callers wait in
    /// the queue of the listener.
    async fn open(&self, stream: TcpStream, peer: SocketAddr) {
        let weight = match self.context.max_head {
            Some(_) => 1,
            None => self.context.head_buffer().div_ceil(Bounds::CONNECTION_HEAD),
        };
        let slot = self.table.open(peer.ip(), u32::try_from(weight).unwrap_or(u32::MAX)).await;
        limit_send_buffer(&stream);
        let (shared, context, port) = (self.shared.clone(), self.context.clone(), self.port);
        tokio::spawn(async move {
            let handler = |request| handle(&shared, port, request);
            caller_connection::serve(context, stream, slot, handler).await;
        });
    }
}

/// Limits what the kernel holds of what has not been read. Accepted connections inherit it.
fn limit_receive_buffer(listener: &TcpListener) {
    if let Err(error) = SockRef::from(listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
        log::debug!(error:% = error; "cannot set the receive buffer size");
    }
}

/// Limits what the kernel holds for a caller that does not read: the ledger does not count it.
fn limit_send_buffer(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_send_buffer_size(SEND_BUFFER_BYTES) {
        log::debug!(error:% = error; "cannot set the send buffer size");
    }
}

async fn handle(shared: &Arc<Shared>, port: Port, request: Request<RequestBody>) -> Response<Body> {
    let mut response = match port {
        Port::Front => request::handle(shared, request).await,
        Port::Ready if request.uri().path() == READINESS_PATH => {
            let ready = shared.is_ready();
            empty(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
        }
        Port::Lookup if request.uri().path() == LOOKUP_PATH => lookup(shared, &request),
        Port::Metrics if request.uri().path() == "/metrics" => {
            shared.holding.update_gauges();
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

/// Releases a quarantined request or prompt part: `DELETE` of its fingerprint.
fn release(shared: &Shared, request: &Request<RequestBody>) -> Response<Body> {
    if request.method() != Method::DELETE {
        return empty(StatusCode::METHOD_NOT_ALLOWED);
    }
    let text = request.uri().path().trim_start_matches(QUARANTINE_PREFIX);
    match text.parse() {
        Ok(fingerprint) => {
            let is_request = quarantine::release(shared, &fingerprint);
            let is_part = shared.part_quarantine.release(&fingerprint.into());
            empty(if is_request || is_part { StatusCode::OK } else { StatusCode::NOT_FOUND })
        }
        Err(error) => {
            let mut response = Response::new(full_body(format!("{text:?}: {error}\n")));
            *response.status_mut() = StatusCode::BAD_REQUEST;
            response
        }
    }
}

fn lookup(shared: &Shared, request: &Request<RequestBody>) -> Response<Body> {
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
    json(lookup_response(&addresses, shared.settings.lookup_ttl()))
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
        "quarantined_parts": shared.part_quarantine.as_json(),
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
