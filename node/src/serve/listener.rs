//! Listening for callers, for the platform's questions, and for those who read the node's state.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use http::{Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use sardinepick_lib::account::directory::{Account, Directory};
use sardinepick_lib::fleet::roster::Standing;
use sardinepick_lib::id::Window;
use sardinepick_platform::caller::{LOOKUP_PATH, READINESS_PATH, lookup_response, read_lookup};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::serve::answer::{Body, Refusal, empty, json, whole};
use crate::serve::connection::prepare;
use crate::serve::shared::Shared;
use crate::serve::{quarantine, request};

/// How long callers may keep an answer where to connect. Some keep it three times as long. A stopping
/// node must have lost them all early enough to finish what they sent last.
const VALIDITY: Duration = Duration::from_secs(1);
/// The most addresses in an answer (platform's protocol).
const MOST_ADDRESSES: usize = 64;
/// How long to wait after a connection could not be accepted: without descriptors every try fails
/// at once.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// The least buffer for the head of a request; hyper takes no smaller one.
const LEAST_HEAD: usize = 8 << 10;

/// Where requests that are not run are released, each by its fingerprint.
const QUARANTINE: &str = "/quarantine/";

/// What a listener is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Port {
    /// Requests of callers.
    Front,
    /// Whether the node takes callers.
    Ready,
    /// Where callers connect.
    Lookup,
    /// Metrics and state.
    Metrics,
}

/// Tells connections to close: once it is true, each closes as soon as it is idle.
#[derive(Clone, Debug)]
pub struct Closing(watch::Receiver<bool>);

impl Closing {
    /// Follows a switch.
    pub fn of(switch: &watch::Sender<bool>) -> Self {
        Self(switch.subscribe())
    }

    /// Waits until connections are to close; for ever if the switch is gone without saying so.
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
                log::warn!(error:% = error; "accepting a connection");
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
        async move { Ok::<_, Infallible>(answer(&shared, port, request).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // The time for a head also bounds how long a connection is idle before it, so the longer
        // of the two is taken: callers use connections again up to four fifths of the idle time.
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout))
        .max_buf_size(limits.head.max(LEAST_HEAD) * 2);
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
        log::debug!(port:? = port, error:% = error; "a connection ended");
    }
}

async fn answer(shared: &Arc<Shared>, port: Port, request: Request<Incoming>) -> Response<Body> {
    let mut response = match port {
        Port::Front => request::answer(shared, request).await,
        Port::Ready if request.uri().path() == READINESS_PATH => {
            let ready = shared.is_ready();
            empty(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
        }
        Port::Lookup if request.uri().path() == LOOKUP_PATH => lookup(shared, &request),
        Port::Metrics if request.uri().path() == "/metrics" => {
            Response::new(whole(shared.metrics.text()))
        }
        Port::Metrics if request.uri().path() == "/state" => json(state(shared)),
        Port::Metrics if request.uri().path().starts_with(QUARANTINE) => release(shared, &request),
        Port::Ready | Port::Lookup | Port::Metrics => empty(StatusCode::NOT_FOUND),
    };
    if *shared.standing.borrow() == Standing::Leaving {
        // The caller's next request should go elsewhere.
        let close = http::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Has a request that is not run be run again: `DELETE` of its fingerprint.
fn release(shared: &Shared, request: &Request<Incoming>) -> Response<Body> {
    if request.method() != Method::DELETE {
        return empty(StatusCode::METHOD_NOT_ALLOWED);
    }
    let text = request.uri().path().trim_start_matches(QUARANTINE);
    match text.parse() {
        Ok(fingerprint) if quarantine::release(shared, &fingerprint) => empty(StatusCode::OK),
        Ok(_) => empty(StatusCode::NOT_FOUND),
        Err(error) => {
            let mut response = Response::new(whole(format!("{text:?}: {error}\n")));
            *response.status_mut() = StatusCode::BAD_REQUEST;
            response
        }
    }
}

fn lookup(shared: &Shared, request: &Request<Incoming>) -> Response<Body> {
    let lookup = match read_lookup(request.uri()) {
        Ok(lookup) => lookup,
        Err(error) => {
            log::info!(error:% = error; "look-up refused");
            return Refusal::Malformed.answer();
        }
    };
    let mut addresses = Vec::new();
    if shared.is_ready() {
        addresses.push(shared.me.front);
    }
    {
        let roster = shared.roster();
        addresses.extend(roster.fronts().iter().map(|contact| contact.front));
    }
    addresses.truncate(MOST_ADDRESSES);
    if addresses.is_empty() {
        log::info!(host:% = lookup.host; "look-up without an address");
        return empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    json(lookup_response(&addresses, VALIDITY.min(shared.settings.longest_validity)))
}

/// What the node believes, for people.
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
                "takes_work": runner.takes_work(now), "failing": runner.health.failing(),
                "pace": runner.pace.factor(), "own_requests": runner.own.requests,
                "all_requests": load.requests, "backlog": load.backlog,
                "cached_tokens": runner.cache.tokens(),
                "leaving": runner.is_leaving(), "said_leaving": runner.has_said_leaving(),
                "rate_limit": runner.limit.rate(),
                "opens_in_ms": runner.limit.opens_in(now).as_millis() as u64,
                "backs_off_ms": runner.back_off.ends_in(now).as_millis() as u64,
            })
        };
        register.runners().map(line).collect()
    };
    let nodes: Vec<String> =
        shared.roster().fronts().iter().map(|contact| contact.id.to_string()).collect();
    serde_json::json!({
        "node": shared.me.id, "standing": format!("{:?}", status.standing),
        "configuration": status.version, "register": status.register.to_string(), "store_era": shared.history.era(),
        "nodes_heard": nodes, "runners": runners, "quarantine": quarantine::state(shared),
        "accounts": accounts(shared), "duties": duties(shared),
    })
    .to_string()
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

/// Who has the duties of one node at a time, and the windows of usage that this node has ended.
fn duties(shared: &Shared) -> serde_json::Value {
    let lease = shared.tenure.status();
    let line = |(window, outcome): (Window, &str)| serde_json::json!({"window": window, "outcome": outcome});
    let windows: Vec<_> = shared.usage.last_windows().into_iter().map(line).collect();
    serde_json::json!({
        "holder": lease.holder, "number": lease.epoch, "left_ms": lease.left.as_millis() as u64,
        "windows": windows,
    })
}
