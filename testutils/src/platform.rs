//! A fake platform: the object API with revisions, conditional updates and watches, the VM list and
//! the weight store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use sardinepick_lib::member::Vm;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

use crate::server::{Aborted, Body, Server, json_response, read_body, text_response};

/// The largest size of a value in bytes.
pub const MAX_VALUE: usize = 1 << 20;

#[derive(Clone, Debug)]
struct Stored {
    revision: u64,
    value: Bytes,
}

/// The faults of the platform.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Aborts all calls.
    pub down: bool,
    /// Delays all calls by this time.
    pub delay: Duration,
    /// The number of further writes whose response is dropped after the write took effect.
    pub drop_responses: u32,
    /// The number of further watches that return at once without changes.
    pub miss_watches: u32,
}

/// The numbers of calls to the platform.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Calls {
    /// Reads, lists and reads of the VM list.
    pub reads: u64,
    /// Attempted writes.
    pub writes: u64,
    /// Started watches.
    pub watches: u64,
}

#[derive(Debug, Default)]
struct Inner {
    objects: BTreeMap<String, Stored>,
    revision: u64,
    vms: Vec<Vm>,
    faults: Faults,
    calls: Calls,
    weight_loads: u32,
}

/// A fake platform.
#[derive(Debug)]
pub struct Platform {
    inner: Arc<Mutex<Inner>>,
    changed: watch::Sender<u64>,
    server: Server,
}

/// An entry in the response to a list or watch.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct ObjectRevision {
    name: String,
    revision: u64,
}

impl Platform {
    /// Starts the platform at `address`.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let inner = Arc::new(Mutex::new(Inner::default()));
        let (changed, _) = watch::channel(0);
        let state = inner.clone();
        let sender = changed.clone();
        let server =
            Server::start(address, move |request| handle(state.clone(), sender.clone(), request))
                .await?;
        Ok(Self { inner, changed, server })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.inner.lock().expect("platform lock").faults = faults;
        self.changed.send_modify(|_| {});
    }

    /// Sets the VM list.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.inner.lock().expect("platform lock").vms = vms;
    }

    /// The numbers of calls so far.
    pub fn calls(&self) -> Calls {
        self.inner.lock().expect("platform lock").calls
    }

    /// The value of an object.
    pub fn object(&self, name: &str) -> Option<Bytes> {
        let inner = self.inner.lock().expect("platform lock");
        inner.objects.get(name).map(|o| o.value.clone())
    }

    /// The names of all objects that start with `prefix`.
    pub fn names(&self, prefix: &str) -> Vec<String> {
        let inner = self.inner.lock().expect("platform lock");
        inner.objects.keys().filter(|n| n.starts_with(prefix)).cloned().collect()
    }
}

type State = Arc<Mutex<Inner>>;
type Changed = watch::Sender<u64>;

async fn handle(
    state: State,
    changed: Changed,
    request: Request<Incoming>,
) -> Result<Response<Body>, Aborted> {
    let faults = state.lock().expect("platform lock").faults;
    if faults.down {
        return Err(Aborted);
    }
    tokio::time::sleep(faults.delay).await;
    let (parts, body) = request.into_parts();
    let path = parts.uri.path().to_owned();
    let query = parts.uri.query().unwrap_or_default().to_owned();
    if let Some(name) = path.strip_prefix("/v1/objects/") {
        let value = read_body(body).await?;
        return object(&state, &changed, &parts.method, name, &parts.headers, value);
    }
    match path.as_str() {
        "/v1/list" => Ok(list(&state, &parameter(&query, "prefix"))),
        "/v1/watch" => watch_objects(&state, &changed, &query).await,
        "/v1/vms" => {
            let mut inner = state.lock().expect("platform lock");
            inner.calls.reads += 1;
            Ok(json_response(StatusCode::OK, &inner.vms))
        }
        _ if path.starts_with("/v1/weights/") => {
            state.lock().expect("platform lock").weight_loads += 1;
            Ok(text_response(StatusCode::OK, "weights"))
        }
        _ => Ok(text_response(StatusCode::NOT_FOUND, "unknown path")),
    }
}

fn parameter(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(n, _)| *n == name).map(|(_, v)| v.to_owned()).next().unwrap_or_default()
}

fn object(
    state: &State,
    changed: &Changed,
    method: &Method,
    name: &str,
    headers: &HeaderMap,
    value: Bytes,
) -> Result<Response<Body>, Aborted> {
    let mut inner = state.lock().expect("platform lock");
    if method == Method::GET {
        inner.calls.reads += 1;
        return Ok(match inner.objects.get(name) {
            Some(stored) => with_revision(stored.value.clone(), stored.revision),
            None => text_response(StatusCode::NOT_FOUND, "no such object"),
        });
    }
    inner.calls.writes += 1;
    if value.len() > MAX_VALUE {
        return Ok(text_response(StatusCode::PAYLOAD_TOO_LARGE, "value larger than 1 MiB"));
    }
    let current = inner.objects.get(name).map(|o| o.revision);
    if !precondition_holds(headers, current) {
        return Ok(text_response(StatusCode::PRECONDITION_FAILED, "revision mismatch"));
    }
    inner.revision += 1;
    let revision = inner.revision;
    if method == Method::DELETE {
        inner.objects.remove(name);
    } else {
        inner.objects.insert(name.to_owned(), Stored { revision, value });
    }
    changed.send_replace(revision);
    if inner.faults.drop_responses > 0 {
        inner.faults.drop_responses -= 1;
        return Err(Aborted);
    }
    Ok(with_revision(Bytes::new(), revision))
}

fn precondition_holds(headers: &HeaderMap, current: Option<u64>) -> bool {
    let text = |name| headers.get(name).and_then(|v: &http::HeaderValue| v.to_str().ok());
    if text(http::header::IF_NONE_MATCH) == Some("*") {
        return current.is_none();
    }
    match text(http::header::IF_MATCH) {
        Some(revision) => current.is_some_and(|current| revision == current.to_string()),
        None => true,
    }
}

fn with_revision(value: Bytes, revision: u64) -> Response<Body> {
    let mut response = text_response(StatusCode::OK, value);
    response.headers_mut().insert(http::header::ETAG, revision.into());
    response
}

fn revisions_after(inner: &Inner, prefix: &str, after: u64) -> Vec<ObjectRevision> {
    let matching =
        inner.objects.iter().filter(|(n, o)| n.starts_with(prefix) && o.revision > after);
    matching.map(|(n, o)| ObjectRevision { name: n.clone(), revision: o.revision }).collect()
}

fn list(state: &State, prefix: &str) -> Response<Body> {
    let mut inner = state.lock().expect("platform lock");
    inner.calls.reads += 1;
    json_response(StatusCode::OK, &revisions_after(&inner, prefix, 0))
}

async fn watch_objects(
    state: &State,
    changed: &Changed,
    query: &str,
) -> Result<Response<Body>, Aborted> {
    let prefix = parameter(query, "prefix");
    let after = parameter(query, "after").parse().unwrap_or(0);
    let wait = Duration::from_millis(parameter(query, "timeout_ms").parse().unwrap_or(0));
    let deadline = Instant::now() + wait;
    let mut changes = changed.subscribe();
    {
        let mut inner = state.lock().expect("platform lock");
        inner.calls.watches += 1;
        if inner.faults.miss_watches > 0 {
            inner.faults.miss_watches -= 1;
            return Ok(json_response(StatusCode::OK, &Vec::<ObjectRevision>::new()));
        }
    }
    loop {
        changes.mark_unchanged();
        let found = {
            let inner = state.lock().expect("platform lock");
            if inner.faults.down {
                return Err(Aborted);
            }
            revisions_after(&inner, &prefix, after)
        };
        let left = deadline.saturating_duration_since(Instant::now());
        if !found.is_empty() || left.is_zero() {
            return Ok(json_response(StatusCode::OK, &found));
        }
        let _ = timeout(left, changes.changed()).await;
    }
}
