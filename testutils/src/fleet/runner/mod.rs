//! Stand-ins for runners: plain services and model engines.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio::time::Instant;

use self::work::{Work, handle};
use crate::fleet::signal::Signals;
use crate::fleet::store::Store;
use crate::server::Server;

pub use self::event::event;

mod event;
mod work;

/// How a runner fails.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// It breaks a stream off after so many events, within the next one.
    pub abort_after: Option<u64>,
    /// It says that it did not run what it is sent.
    pub refuse: bool,
    /// It never answers.
    pub hang: bool,
    /// It breaks the connection off once it has run a request.
    pub drop_response: bool,
    /// It answers with its own failure.
    pub respond_500: bool,
    /// It answers as if to another request.
    pub wrong_request_id: bool,
    /// How long it takes for an answer, or to read a prompt.
    pub response_delay: Duration,
    /// How long it takes between events.
    pub event_interval: Duration,
    /// It carries orders out and does not answer them.
    pub drop_order_response: bool,
}

/// A request as a runner saw it.
#[derive(Clone, Debug, Default)]
pub struct ReceivedRequest {
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
    seen: Vec<ReceivedRequest>,
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
    pub async fn restart(&self, address: SocketAddr) -> std::io::Result<Self> {
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
    pub fn crash_on(&self, body: Bytes) {
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
    pub fn received(&self) -> Vec<ReceivedRequest> {
        lock(&self.inner).seen.clone()
    }

    /// How often it ran requests with this id.
    pub fn run_count(&self, id: &str) -> usize {
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

/// How often each request ran, over all runners.
pub fn runs(runners: &[Runner]) -> HashMap<String, usize> {
    let mut runs = HashMap::new();
    for runner in runners {
        for seen in runner.received() {
            *runs.entry(seen.id).or_insert(0) += usize::from(seen.ran);
        }
    }
    runs
}
