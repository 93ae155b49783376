//! Stand-ins for runners: plain services and model engines.

use std::collections::{HashMap, HashSet};
use std::future::pending;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::{Frame, Incoming};
use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};
use tokio_stream::wrappers::ReceiverStream;

use crate::fleet::signal::Signals;
use crate::fleet::store::Store;
use crate::server::{Body, Cut, Server, answer, full, json as json_answer, read};

/// How a runner fails.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// It breaks a stream off after so many events, within the next one.
    pub cut_after: Option<u64>,
    /// It says that it did not run what it is sent.
    pub sheds: bool,
    /// It never answers.
    pub hangs: bool,
    /// It breaks the connection off once it has run a request.
    pub loses_answers: bool,
    /// It answers with its own failure.
    pub fails: bool,
    /// It answers as if to another request.
    pub crosses: bool,
    /// How long it takes for an answer, or to read a prompt.
    pub takes: Duration,
    /// How long it takes between events.
    pub pause: Duration,
    /// It carries orders out and does not answer them.
    pub mute_orders: bool,
}

/// A request as a runner saw it.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Its id.
    pub id: String,
    /// Its path and query.
    pub path: String,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// Whether it ran.
    pub ran: bool,
    /// When it came; none in a request that was made up.
    pub at: Option<Instant>,
}

/// An order as a runner saw it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Who gave it.
    pub holder: String,
    /// Its fencing number.
    pub token: u64,
    /// The stage it asks for.
    pub stage: String,
}

#[derive(Debug, Default)]
struct Inner {
    faults: Faults,
    signals: Signals,
    seen: Vec<Seen>,
    orders: Vec<Order>,
    handles: HashSet<String>,
    /// The parts it keeps, by id, with their tokens.
    kept: HashMap<String, u64>,
    next_handle: u64,
    freed: u64,
    running: u64,
    stage: Option<String>,
    accepted: u64,
    state: &'static str,
    entry_writes: u64,
    /// When this life of it began, in milliseconds of no particular clock.
    born: u64,
    /// The body of the request under which it ends.
    ends_under: Option<Bytes>,
    /// Tells that it has begun to run that request.
    ends: Arc<Notify>,
}

/// When the first life of a runner began.
const FIRST_BORN: u64 = 1_764_000_000_000;

/// What a runner is.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Its service.
    pub service: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its stage, for model engines.
    pub stage: Option<&'static str>,
    /// How many events its streams have.
    pub events: u64,
}

/// A runner.
#[derive(Clone, Debug)]
pub struct Runner {
    /// Its id, which it keeps when it starts again.
    pub id: String,
    kind: Kind,
    inner: Arc<Mutex<Inner>>,
    server: Arc<Server>,
    store: Store,
    /// Where its entry says that it is, if not where it listens.
    shown: Arc<OnceLock<SocketAddr>>,
}

fn lock(inner: &Mutex<Inner>) -> std::sync::MutexGuard<'_, Inner> {
    inner.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Runner {
    /// Starts a runner and writes its entry.
    ///
    /// # Errors
    /// The address cannot be listened at.
    pub async fn start(
        id: &str,
        address: SocketAddr,
        kind: Kind,
        store: &Store,
    ) -> std::io::Result<Self> {
        Self::start_life(id, address, kind, store, FIRST_BORN).await
    }

    /// Ends as a killed process does and starts again under its id, at another address: it holds and
    /// knows nothing of before, and its counts start anew.
    ///
    /// # Errors
    /// The address cannot be listened at.
    pub async fn start_again(&self, address: SocketAddr) -> std::io::Result<Self> {
        self.kill();
        let born = lock(&self.inner).born + 1;
        Self::start_life(&self.id, address, self.kind.clone(), &self.store, born).await
    }

    async fn start_life(
        id: &str,
        address: SocketAddr,
        kind: Kind,
        store: &Store,
        born: u64,
    ) -> std::io::Result<Self> {
        let stage = kind.stage.map(str::to_owned);
        let inner = Inner { stage, state: "ready", born, ..Inner::default() };
        let inner = Arc::new(Mutex::new(inner));
        let work = Work { id: id.to_owned(), kind: kind.clone(), inner: inner.clone() };
        let work = Arc::new(work);
        let handler = move |request| handle(work.clone(), request);
        let server = Arc::new(Server::start(address, handler).await?);
        let shown = Arc::default();
        let runner = Self { id: id.to_owned(), kind, inner, server, store: store.clone(), shown };
        runner.write_entry();
        Ok(runner)
    }

    /// Has its entry say that it is elsewhere, as behind a proxy.
    pub fn show_at(&self, address: SocketAddr) {
        // Only the first call counts; a runner does not move.
        let _ = self.shown.set(address);
        self.write_entry();
    }

    /// Its service.
    pub fn service(&self) -> &str {
        &self.kind.service
    }

    /// Whether its streams are a model engine's.
    pub fn is_engine(&self) -> bool {
        self.kind.stage.is_some()
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Writes its entry in the store anew, as it does from time to time.
    pub fn write_entry(&self) {
        self.store.put("servers", &self.id, &self.entry());
    }

    /// Its entry as it would write it now.
    pub fn entry(&self) -> Value {
        let mut inner = lock(&self.inner);
        inner.entry_writes += 1;
        let address = self.shown.get().unwrap_or(&self.server.address).to_string();
        json!({
            "service": self.kind.service, "address": address,
            "zone": self.kind.data_centre, "version": "v1", "slots": 8,
            "state": inner.state, "coldRemainingMs": 0, "stage": inner.stage,
            "models": [], "seq": inner.entry_writes, "born": inner.born,
        })
    }

    /// Says that it is about to leave.
    pub fn drain(&self) {
        lock(&self.inner).state = "draining";
        self.write_entry();
    }

    /// Ends as a killed process does; its entry stays.
    pub fn kill(&self) {
        self.server.stop();
    }

    /// Makes it fail.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.inner).faults = faults;
    }

    /// Has all its answers carry these signals from now on, in place of those before.
    pub fn set_signals(&self, signals: Signals) {
        lock(&self.inner).signals = signals;
    }

    /// Has it end when it runs a request with this body.
    pub fn end_under(&self, body: Bytes) {
        lock(&self.inner).ends_under = Some(body);
    }

    /// Has whoever waits for its end hear of it now.
    pub fn tell_end(&self) {
        lock(&self.inner).ends.notify_one();
    }

    /// Waits until it has begun to run the request under which it ends.
    pub async fn ends(&self) {
        let ends = lock(&self.inner).ends.clone();
        ends.notified().await;
    }

    /// The requests it saw.
    pub fn seen(&self) -> Vec<Seen> {
        lock(&self.inner).seen.clone()
    }

    /// How often it ran requests with this id.
    pub fn ran(&self, id: &str) -> usize {
        lock(&self.inner).seen.iter().filter(|s| s.id == id && s.ran).count()
    }

    /// The orders it saw.
    pub fn orders(&self) -> Vec<Order> {
        lock(&self.inner).orders.clone()
    }

    /// Requests under way.
    pub fn running(&self) -> u64 {
        lock(&self.inner).running
    }

    /// KV caches that wait to be taken, and those that were freed.
    pub fn handles(&self) -> (usize, u64) {
        let inner = lock(&self.inner);
        (inner.handles.len(), inner.freed)
    }
}

/// In place of the next event's id: the stream breaks off.
const CUT: u64 = u64::MAX - 1;

/// The bytes of a stream's event.
pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

struct Work {
    id: String,
    kind: Kind,
    inner: Arc<Mutex<Inner>>,
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name).and_then(|v| v.to_str().ok()).map(str::to_owned)
}

async fn handle(work: Arc<Work>, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
    let mut response = respond(work.clone(), request).await?;
    lock(&work.inner).signals.sign(&mut response);
    Ok(response)
}

async fn respond(work: Arc<Work>, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
    let (head, body) = request.into_parts();
    let body = read(body).await?;
    if let Some(expected) = text(&head.headers, "expect-instance")
        && expected != work.id
    {
        return Ok(with_instance(answer(StatusCode::MISDIRECTED_REQUEST, ""), &work.id));
    }
    match (&head.method, head.uri.path()) {
        (&Method::GET, "/api/report") => return Ok(work.report()),
        (&Method::GET, "/api/kv-list") => return Ok(work.list_kept()),
        (&Method::POST, "/api/order") => return work.order(&body),
        (&Method::DELETE, path) if path.starts_with("/api/kv-handle/") => {
            let name = path.rsplit('/').next().unwrap_or_default().to_owned();
            let mut inner = lock(&work.inner);
            inner.freed += u64::from(inner.handles.remove(&name));
            return Ok(answer(StatusCode::OK, ""));
        }
        _ => {}
    }
    let seen = Seen {
        id: text(&head.headers, "request-id").unwrap_or_default(),
        path: head.uri.path_and_query().map_or_else(String::new, ToString::to_string),
        headers: head.headers,
        body,
        ran: false,
        at: Some(Instant::now()),
    };
    work.serve(seen).await
}

fn with_instance(mut response: Response<Body>, id: &str) -> Response<Body> {
    if let Ok(id) = HeaderValue::from_str(id) {
        response.headers_mut().insert("instance-id", id);
    }
    response
}

/// Counts a request as under way until it is dropped.
struct Running(Arc<Mutex<Inner>>);

impl Running {
    fn new(inner: &Arc<Mutex<Inner>>) -> Self {
        lock(inner).running += 1;
        Self(inner.clone())
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        lock(&self.0).running -= 1;
    }
}

impl Work {
    fn report(&self) -> Response<Body> {
        let inner = lock(&self.inner);
        let body = json!({"stage": inner.stage, "models": [], "busy": false, "born": inner.born,
            "seq": inner.accepted, "queued": 0, "running": inner.running});
        json_answer(StatusCode::OK, &body)
    }

    fn list_kept(&self) -> Response<Body> {
        let inner = lock(&self.inner);
        let held: Vec<_> =
            inner.kept.iter().map(|(id, tokens)| json!(["", id, tokens, "m"])).collect();
        json_answer(StatusCode::OK, &json!({"epoch": inner.born, "next": 1, "held": held}))
    }

    /// Keeps the parts of a request's prompt.
    fn keep(&self, seen: &Seen) {
        let parts = text(&seen.headers, "prompt-prefix").unwrap_or_default();
        let parts = parts.split(',').filter_map(|part| part.split_once(':'));
        let parts = parts.filter_map(|(id, tokens)| Some((id.to_owned(), tokens.parse().ok()?)));
        lock(&self.inner).kept.extend(parts);
    }

    fn order(&self, body: &[u8]) -> Result<Response<Body>, Cut> {
        let order: Value = serde_json::from_slice(body).map_err(|_| Cut)?;
        let mut inner = lock(&self.inner);
        if order["expected"].as_u64().is_some_and(|expected| expected != inner.accepted) {
            return Ok(answer(StatusCode::CONFLICT, ""));
        }
        let stage = order["stage"].as_str().unwrap_or_default().to_owned();
        inner.orders.push(Order {
            holder: order["holder"].as_str().unwrap_or_default().to_owned(),
            token: order["fencingToken"].as_u64().unwrap_or_default(),
            stage: stage.clone(),
        });
        inner.accepted += 1;
        inner.stage = Some(stage);
        if inner.faults.mute_orders {
            return Err(Cut);
        }
        Ok(answer(StatusCode::ACCEPTED, ""))
    }

    fn refuse(&self, mut seen: Seen, status: StatusCode) -> Response<Body> {
        let mut response = answer(status, "");
        if let Ok(id) = HeaderValue::from_str(&seen.id) {
            response.headers_mut().insert("request-id", id);
        }
        response.headers_mut().insert("not-executed", HeaderValue::from_static("1"));
        seen.ran = false;
        lock(&self.inner).seen.push(seen);
        with_instance(response, &self.id)
    }

    fn sign(&self, response: &mut Response<Body>, id: &str) {
        let signature = format!("{}.{id}", self.id);
        let headers = response.headers_mut();
        for (name, value) in [("request-id", id), ("response-signature", signature.as_str())] {
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.insert(name, value);
            }
        }
    }

    async fn serve(self: Arc<Self>, mut seen: Seen) -> Result<Response<Body>, Cut> {
        let faults = lock(&self.inner).faults;
        if faults.sheds {
            return Ok(self.refuse(seen, StatusCode::SERVICE_UNAVAILABLE));
        }
        let running = Running::new(&self.inner);
        let reads = text(&seen.headers, "stage").as_deref() == Some("prefill");
        if faults.hangs {
            // A prompt that is only read is no run, also where it is read for ever.
            seen.ran = !reads;
            lock(&self.inner).seen.push(seen);
            sleep(Duration::from_secs(60)).await;
            return Err(Cut);
        }
        sleep(faults.takes).await;
        if reads {
            if self.ends_under(&seen) {
                lock(&self.inner).seen.push(seen);
                lock(&self.inner).ends.notify_one();
                return pending().await;
            }
            return Ok(self.read_prompt(seen));
        }
        if self.is_prefill() {
            return Ok(self.refuse(seen, StatusCode::MISDIRECTED_REQUEST));
        }
        seen.ran = true;
        let (id, from) = (seen.id.clone(), text(&seen.headers, "last-event-id"));
        let ends = self.ends_under(&seen);
        lock(&self.inner).seen.push(seen);
        if ends {
            return Ok(self.end(&id).await);
        }
        if faults.loses_answers {
            return Err(Cut);
        }
        let shown = if faults.crosses { "another" } else { id.as_str() };
        if faults.fails {
            let mut response = answer(StatusCode::INTERNAL_SERVER_ERROR, "failed");
            self.sign(&mut response, shown);
            return Ok(response);
        }
        let mut response = if self.kind.stage.is_some() {
            let first = from.and_then(|f| f.parse::<u64>().ok()).map_or(1, |last| last + 1);
            let body = self.events(first, faults, running);
            let mut response = Response::new(body);
            let kind = HeaderValue::from_static("text/event-stream");
            response.headers_mut().insert(header::CONTENT_TYPE, kind);
            response
        } else {
            Response::new(full(format!("answer to {id}")))
        };
        self.sign(&mut response, shown);
        Ok(response)
    }

    fn ends_under(&self, seen: &Seen) -> bool {
        lock(&self.inner).ends_under.as_ref() == Some(&seen.body)
    }

    /// Begins a run that gives nothing but, for a stream, its head.
    async fn end(&self, id: &str) -> Response<Body> {
        lock(&self.inner).ends.notify_one();
        if self.kind.stage.is_none() {
            return pending().await;
        }
        let mut response = Response::new(StreamBody::new(stream::pending()).boxed());
        let kind = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(header::CONTENT_TYPE, kind);
        self.sign(&mut response, id);
        response
    }

    fn is_prefill(&self) -> bool {
        lock(&self.inner).stage.as_deref() == Some("prefill")
    }

    fn read_prompt(&self, seen: Seen) -> Response<Body> {
        let id = seen.id.clone();
        self.keep(&seen);
        let mut inner = lock(&self.inner);
        inner.next_handle += 1;
        let handle = format!("h{}", inner.next_handle);
        inner.handles.insert(handle.clone());
        inner.seen.push(seen);
        let body = json!({"kvHandle": handle, "tokens": 1, "version": 1});
        let mut response = json_answer(StatusCode::OK, &body);
        if let Ok(id) = HeaderValue::from_str(&id) {
            response.headers_mut().insert("request-id", id);
        }
        response
    }

    fn events(&self, first: u64, faults: Faults, running: Running) -> Body {
        let last = self.kind.events;
        let step = move |(next, running): (u64, Running)| async move {
            if next == CUT {
                return Some((Err(Cut), (u64::MAX, running)));
            }
            if next > last {
                return None;
            }
            if next > first {
                sleep(faults.pause).await;
            }
            if faults.cut_after.is_some_and(|after| next > after) {
                // A part of the event leaves before the connection breaks.
                let part = Bytes::from(event(next)).slice(..6);
                return Some((Ok(Frame::data(part)), (CUT, running)));
            }
            let frame = Frame::data(Bytes::from(event(next)));
            Some((Ok(frame), (next + 1, running)))
        };
        let stream = stream::unfold((first, running), step);
        StreamBody::new(ReceiverStream::new(forward(stream))).boxed()
    }
}

/// Runs a stream in a task of its own, which ends when nobody reads it any more.
fn forward<S>(stream: S) -> tokio::sync::mpsc::Receiver<S::Item>
where
    S: futures_util::Stream<Item: Send> + Send + 'static,
{
    use futures_util::StreamExt as _;
    let (sender, receiver) = tokio::sync::mpsc::channel(1);
    tokio::spawn(async move {
        let mut stream = Box::pin(stream);
        loop {
            let next = tokio::select! {
                next = stream.next() => next,
                // The caller has left: the work stops.
                () = sender.closed() => return,
            };
            let Some(item) = next else { return };
            if sender.send(item).await.is_err() {
                return;
            }
        }
    });
    receiver
}

/// How often each request ran, over all runners.
pub fn runs(runners: &[Runner]) -> HashMap<String, usize> {
    let mut runs = HashMap::new();
    for runner in runners {
        for seen in runner.seen() {
            *runs.entry(seen.id).or_insert(0) += usize::from(seen.ran);
        }
    }
    runs
}
