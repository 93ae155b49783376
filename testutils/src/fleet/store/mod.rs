//! A fake of the platform's object store.

mod backup;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::{HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

pub use self::backup::{Backup, LostWrites};

use self::backup::{Objects, Write};
use crate::server::{Aborted, Body, Server, json_response, read_body, text_response};

/// A fault of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Answers 503.
    Busy,
    /// Does not answer.
    Silent,
    /// Aborts connections.
    Reset,
}

/// The page size of lists.
const PAGE: usize = 50;
/// The number of events kept for watches.
const HISTORY: usize = 1_000;

#[derive(Clone, Debug)]
struct Event {
    revision: u64,
    kind: String,
    object: Value,
    tombstone: bool,
}

/// The header with the store's era.
const ERA: HeaderName = HeaderName::from_static("store-era");
/// The era of a store that has never been restored from a backup.
const FIRST_ERA: u64 = 1;

#[derive(Debug)]
struct Inner {
    objects: Objects,
    /// The writes of the operator and the runners, in order.
    writes: Vec<Write>,
    era: u64,
    /// Overrides the values of the era header.
    era_override: Option<Vec<String>>,
    events: VecDeque<Event>,
    /// Events up to this revision have been compacted.
    compacted: u64,
    revision: u64,
    fault: Fault,
    /// The number of further writes whose response is dropped after the write took effect.
    responses_to_drop: u32,
    calls: u64,
    refused: u64,
    /// The number of waiting watches by kind.
    watches: BTreeMap<String, usize>,
    /// A kind whose lists are empty.
    hidden: Option<String>,
    /// The kind whose objects can be neither read nor written.
    unavailable_kind: Option<String>,
    /// Calls per second; `None` for no limit.
    rate: Option<u32>,
    window: Option<(Instant, u32)>,
}

impl Default for Inner {
    fn default() -> Self {
        Self {
            era: FIRST_ERA,
            objects: Objects::new(),
            writes: Vec::new(),
            era_override: None,
            events: VecDeque::new(),
            compacted: 0,
            revision: 0,
            fault: Fault::None,
            responses_to_drop: 0,
            calls: 0,
            refused: 0,
            watches: BTreeMap::new(),
            hidden: None,
            unavailable_kind: None,
            rate: None,
            window: None,
        }
    }
}

/// The fake store.
#[derive(Clone, Debug)]
pub struct Store {
    inner: Arc<Mutex<Inner>>,
    changed: watch::Sender<u64>,
    server: Arc<Server>,
}

type State = (Arc<Mutex<Inner>>, watch::Sender<u64>);

fn lock(inner: &Mutex<Inner>) -> std::sync::MutexGuard<'_, Inner> {
    inner.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Store {
    /// Starts an empty store.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let inner = Arc::new(Mutex::new(Inner::default()));
        let changed = watch::Sender::new(0);
        let state: State = (inner.clone(), changed.clone());
        let handler = move |request| handle(state.clone(), request);
        let server = Arc::new(Server::start(address, handler).await?);
        Ok(Self { inner, changed, server })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Sets the fault.
    pub fn set_fault(&self, fault: Fault) {
        lock(&self.inner).fault = fault;
    }

    /// Drops the responses to the next `count` writes.
    pub fn drop_responses(&self, count: u32) {
        lock(&self.inner).responses_to_drop = count;
    }

    /// Makes the lists of a kind empty.
    pub fn hide(&self, kind: &str) {
        lock(&self.inner).hidden = Some(kind.to_owned());
    }

    /// Answers 503 to calls for single objects of a kind, or to none.
    pub fn set_unavailable_kind(&self, kind: Option<&str>) {
        lock(&self.inner).unavailable_kind = kind.map(str::to_owned);
    }

    /// Limits the calls per second.
    pub fn set_rate(&self, rate: u32) {
        lock(&self.inner).rate = Some(rate);
    }

    /// Discards the event history: watches from an earlier revision get 410.
    pub fn compact(&self) {
        let mut inner = lock(&self.inner);
        inner.compacted = inner.revision;
        inner.events.clear();
        drop(inner);
        self.changed.send_modify(|n| *n += 1);
    }

    /// The number of calls so far, and of those over the rate limit.
    pub fn call_counts(&self) -> (u64, u64) {
        let inner = lock(&self.inner);
        (inner.calls, inner.refused)
    }

    /// The revision of the last change.
    pub fn revision(&self) -> u64 {
        lock(&self.inner).revision
    }

    /// The number of watches of a kind that are waiting.
    pub fn watches(&self, kind: &str) -> usize {
        lock(&self.inner).watches.get(kind).copied().unwrap_or_default()
    }

    /// Writes an object on behalf of the operator or a runner.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) {
        let mut inner = lock(&self.inner);
        inner.writes.push(((kind.to_owned(), name.to_owned()), Some(spec.clone())));
        inner.put(kind, name, spec);
        drop(inner);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Removes an object on behalf of the operator or a runner.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut inner = lock(&self.inner);
        inner.writes.push(((kind.to_owned(), name.to_owned()), None));
        inner.remove(kind, name);
        drop(inner);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Adds the objects that nodes have written to another store.
    pub fn copy_own_kinds(&self, other: &Store) {
        let objects: Vec<_> = {
            let other = lock(&other.inner);
            let own = other.objects.iter().filter(|((kind, _), _)| kind.starts_with("sardinepick"));
            own.map(|(key, object)| (key.clone(), object["spec"].clone())).collect()
        };
        for ((kind, name), spec) in objects {
            lock(&self.inner).put(&kind, &name, &spec);
        }
    }

    /// The number of objects of a kind.
    pub fn count(&self, kind: &str) -> usize {
        lock(&self.inner).objects.keys().filter(|(of, _)| of == kind).count()
    }

    /// The spec of an object.
    pub fn get(&self, kind: &str, name: &str) -> Option<Value> {
        let inner = lock(&self.inner);
        let object = inner.objects.get(&(kind.to_owned(), name.to_owned()))?;
        Some(object["spec"].clone())
    }
}

impl Inner {
    fn put(&mut self, kind: &str, name: &str, spec: &Value) -> Value {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(existing) = self.objects.get(&key)
            && existing["spec"] == *spec
        {
            return existing.clone();
        }
        self.revision += 1;
        let object = json!({
            "metadata": {"name": name, "revision": self.revision, "created": 1,
                "finalizers": [], "deleting": false},
            "spec": spec, "status": null,
        });
        self.objects.insert(key, object.clone());
        self.record_event(kind, object.clone(), false);
        object
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if let Some(object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) {
            self.revision += 1;
            self.record_event(kind, object, true);
        }
    }

    fn record_event(&mut self, kind: &str, object: Value, tombstone: bool) {
        let kind = kind.to_owned();
        self.events.push_back(Event { revision: self.revision, kind, object, tombstone });
        if self.events.len() > HISTORY
            && let Some(event) = self.events.pop_front()
        {
            self.compacted = event.revision;
        }
    }

    fn era_header_values(&self) -> Vec<HeaderValue> {
        let values = self.era_override.clone().unwrap_or_else(|| vec![self.era.to_string()]);
        let values = values.iter().filter_map(|value| HeaderValue::from_str(value).ok());
        values.collect()
    }

    /// Counts a call and returns whether it exceeds the rate limit.
    fn exceeds_rate(&mut self) -> bool {
        let Some(rate) = self.rate else { return false };
        let now = Instant::now();
        let (window_start, count) = self.window.get_or_insert((now, 0));
        if now.duration_since(*window_start) >= Duration::from_secs(1) {
            (*window_start, *count) = (now, 0);
        }
        *count += 1;
        *count > rate
    }

    fn events_since(&self, kind: &str, from: u64) -> Vec<Value> {
        let new = self.events.iter().filter(|e| e.kind == kind && e.revision > from);
        new.map(|e| json!({"tombstone": e.tombstone, "object": e.object})).collect()
    }
}

async fn handle(state: State, request: Request<Incoming>) -> Result<Response<Body>, Aborted> {
    let inner = state.0.clone();
    let mut response = respond(state, request).await?;
    for value in lock(&inner).era_header_values() {
        response.headers_mut().append(ERA, value);
    }
    Ok(response)
}

async fn respond(state: State, request: Request<Incoming>) -> Result<Response<Body>, Aborted> {
    let (inner, changed) = state;
    let (fault, limited) = {
        let mut inner = lock(&inner);
        inner.calls += 1;
        let limited = inner.exceeds_rate();
        inner.refused += u64::from(limited);
        (inner.fault, limited)
    };
    match fault {
        Fault::None if limited => return Ok(text_response(StatusCode::TOO_MANY_REQUESTS, "")),
        Fault::None => {}
        Fault::Busy => return Ok(text_response(StatusCode::SERVICE_UNAVAILABLE, "")),
        Fault::Silent => {
            sleep(Duration::from_secs(60)).await;
            return Err(Aborted);
        }
        Fault::Reset => return Err(Aborted),
    }
    let (head, body) = request.into_parts();
    let path = head.uri.path().trim_start_matches("/api/objects/").to_owned();
    let query = head.uri.query().unwrap_or_default().to_owned();
    let body = read_body(body).await?;
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    let (kind, name) = match path.split_once('/') {
        Some((kind, name)) => (kind.to_owned(), Some(name.to_owned())),
        None => (path, None),
    };
    let is_list = head.method == Method::GET && name.is_none();
    if !is_list && lock(&inner).unavailable_kind.as_ref() == Some(&kind) {
        return Ok(text_response(StatusCode::SERVICE_UNAVAILABLE, ""));
    }
    let response = match (&head.method, &name) {
        (&Method::GET, None) if parameter(&query, "watch").is_some() => {
            return watch_changes(&inner, &changed, &kind, &query).await;
        }
        (&Method::GET, None) => list(&lock(&inner), &kind, &query),
        (&Method::GET, Some(name)) => get(&lock(&inner), &kind, name),
        _ => {
            let response = write(&mut lock(&inner), &head.method, &kind, name.as_deref(), &body);
            changed.send_modify(|n| *n += 1);
            let mut inner = lock(&inner);
            if inner.responses_to_drop > 0 {
                inner.responses_to_drop -= 1;
                return Err(Aborted);
            }
            response
        }
    };
    Ok(response)
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
}

fn list(inner: &Inner, kind: &str, query: &str) -> Response<Body> {
    let after = parameter(query, "after").unwrap_or_default();
    let of_kind = inner.objects.iter().filter(|((k, name), _)| k == kind && name.as_str() > after);
    let is_hidden = inner.hidden.as_deref() == Some(kind);
    let all: Vec<&Value> = of_kind.map(|(_, object)| object).filter(|_| !is_hidden).collect();
    let items: Vec<&Value> = all.iter().take(PAGE).copied().collect();
    let body = json!({"items": items, "hasMore": all.len() > PAGE, "asOf": inner.revision});
    json_response(StatusCode::OK, &body)
}

fn get(inner: &Inner, kind: &str, name: &str) -> Response<Body> {
    match inner.objects.get(&(kind.to_owned(), name.to_owned())) {
        Some(object) => json_response(StatusCode::OK, object),
        None => text_response(StatusCode::NOT_FOUND, ""),
    }
}

fn write(
    inner: &mut Inner,
    method: &Method,
    kind: &str,
    name: Option<&str>,
    body: &Value,
) -> Response<Body> {
    let named = body["metadata"]["name"].as_str();
    let Some(name) = name.or(named).map(str::to_owned) else {
        return text_response(StatusCode::BAD_REQUEST, "");
    };
    let existing = inner.objects.get(&(kind.to_owned(), name.clone())).cloned();
    let expected = body["metadata"]["revision"].as_u64();
    let revision = existing.as_ref().and_then(|o| o["metadata"]["revision"].as_u64());
    match (method, existing) {
        (&Method::POST, Some(existing)) => json_response(StatusCode::CONFLICT, &existing),
        (&Method::PUT, None) => text_response(StatusCode::NOT_FOUND, ""),
        (&Method::PUT, Some(existing)) if expected.is_some() && expected != revision => {
            json_response(StatusCode::CONFLICT, &existing)
        }
        (&Method::POST | &Method::PUT, _) => {
            json_response(StatusCode::OK, &inner.put(kind, &name, &body["spec"]))
        }
        (&Method::DELETE, _) => {
            inner.remove(kind, &name);
            text_response(StatusCode::OK, "")
        }
        _ => text_response(StatusCode::METHOD_NOT_ALLOWED, ""),
    }
}

/// Counts a watch as waiting until it is dropped, also if the caller disconnects.
struct WaitingWatch<'a> {
    inner: &'a Mutex<Inner>,
    kind: &'a str,
}

impl<'a> WaitingWatch<'a> {
    fn new(inner: &'a Mutex<Inner>, kind: &'a str) -> Self {
        *lock(inner).watches.entry(kind.to_owned()).or_default() += 1;
        Self { inner, kind }
    }
}

impl Drop for WaitingWatch<'_> {
    fn drop(&mut self) {
        if let Some(count) = lock(self.inner).watches.get_mut(self.kind) {
            *count -= 1;
        }
    }
}

async fn watch_changes(
    inner: &Mutex<Inner>,
    changed: &watch::Sender<u64>,
    kind: &str,
    query: &str,
) -> Result<Response<Body>, Aborted> {
    let number = |name| parameter(query, name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
    let (from, wait) = (number("watch"), Duration::from_millis(number("waitMs").min(30_000)));
    let until = Instant::now() + wait;
    let mut changes = changed.subscribe();
    let _waiting = WaitingWatch::new(inner, kind);
    let era = lock(inner).era;
    loop {
        changes.borrow_and_update();
        {
            let inner = lock(inner);
            if inner.era != era {
                return Err(Aborted);
            }
            if from < inner.compacted || from > inner.revision {
                return Ok(text_response(StatusCode::GONE, ""));
            }
            let events = inner.events_since(kind, from);
            if !events.is_empty() || Instant::now() >= until {
                let body = json!({"events": events, "asOf": inner.revision});
                return Ok(json_response(StatusCode::OK, &body));
            }
        }
        let left = until.saturating_duration_since(Instant::now());
        // The next iteration handles both a change and the end of the wait.
        let _ = timeout(left, changes.changed()).await;
    }
}
