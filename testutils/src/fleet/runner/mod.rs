//! Fake runners: plain services and model engines.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use self::work::{Handler, handle};
use crate::fleet::signal::Signals;
use crate::fleet::store::Store;
use crate::server::Server;

pub use self::event::{event, event_of};
pub use self::trigger::Trigger;

mod event;
mod trigger;
mod work;

/// The faults of a runner.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Aborts a stream after this many events, in the middle of the next one.
    pub abort_after: Option<u64>,
    /// Refuses requests with the statement that they were not run.
    pub refuse: bool,
    /// Does not answer.
    pub hang: bool,
    /// Aborts the connection after running a request.
    pub drop_response: bool,
    /// Answers 500.
    pub respond_500: bool,
    /// Signs the response with the id of another request.
    pub wrong_request_id: bool,
    /// The time before a response, or to process a prompt.
    pub response_delay: Duration,
    /// The time between events of a stream.
    pub event_interval: Duration,
    /// Sends nothing for a time before the event with this id, and then goes on.
    pub stall: Option<(u64, Duration)>,
    /// Carries out orders, but aborts the connection before it answers them.
    pub drop_order_response: bool,
    /// The number of bytes added to a plain response, and to each event of a stream.
    pub padding: usize,
}

/// A request as a runner received it.
#[derive(Clone, Debug, Default)]
pub struct ReceivedRequest {
    /// The request id.
    pub id: String,
    /// The path and query.
    pub path: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether the runner ran it.
    pub ran: bool,
    /// When it arrived; `None` in a value that a test made.
    pub at: Option<Instant>,
}

/// An order as a runner received it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The lease holder that sent it.
    pub holder: String,
    /// The fencing token.
    pub token: u64,
    /// The requested stage.
    pub stage: String,
}

#[derive(Debug, Default)]
struct Inner {
    faults: Faults,
    signals: Signals,
    received: Vec<ReceivedRequest>,
    orders: Vec<Order>,
    handles: HashSet<String>,
    /// The token count of each cached prompt part, by id.
    cached_parts: HashMap<String, u64>,
    next_handle: u64,
    freed_handles: u64,
    running: u64,
    /// When the last work on each request ended, by request id; `None` while it goes on.
    work: HashMap<String, Option<Instant>>,
    stage: Option<String>,
    accepted_orders: u64,
    entry_state: &'static str,
    entry_writes: u64,
    /// The start time of this instance in milliseconds, on an arbitrary clock.
    started_at: u64,
    /// The requests on which it crashes.
    crash_trigger: Option<Trigger>,
    /// Notified when it starts to run such a request.
    crash_triggered: Arc<Notify>,
    /// Until when it neither reads nor sends anything.
    silent_until: Option<Instant>,
}

/// The start time of a runner's first instance.
const FIRST_START_MS: u64 = 1_764_000_000_000;

/// The properties of a runner.
#[derive(Clone, Debug)]
pub struct Kind {
    /// The service that it runs.
    pub service: String,
    /// The data centre that it is in.
    pub data_centre: String,
    /// The stage; only model engines have one.
    pub stage: Option<&'static str>,
    /// The number of events in each stream.
    pub events: u64,
    /// The version of its software.
    pub version: &'static str,
}

/// A fake runner.
#[derive(Clone, Debug)]
pub struct Runner {
    /// The runner id, which it keeps across restarts.
    pub id: String,
    kind: Kind,
    inner: Arc<Mutex<Inner>>,
    server: Arc<Server>,
    store: Store,
    /// The address in its entry, if it differs from the one it listens on.
    published_address: Arc<OnceLock<SocketAddr>>,
}

fn lock(inner: &Mutex<Inner>) -> std::sync::MutexGuard<'_, Inner> {
    inner.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Waits while the runner is silent.
async fn wait_while_silent(inner: &Mutex<Inner>) {
    loop {
        let until = lock(inner).silent_until;
        match until {
            Some(until) if until > Instant::now() => sleep_until(until).await,
            Some(_) | None => return,
        }
    }
}

impl Runner {
    /// Starts a runner and writes its entry.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(
        id: &str,
        address: SocketAddr,
        kind: Kind,
        store: &Store,
    ) -> std::io::Result<Self> {
        Self::start_instance(id, address, kind, store, FIRST_START_MS).await
    }

    /// Kills the runner and starts it under the same id at another address, with empty state and with
    /// counters at zero.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn restart(&self, address: SocketAddr) -> std::io::Result<Self> {
        self.kill();
        let started_at = lock(&self.inner).started_at + 1;
        Self::start_instance(&self.id, address, self.kind.clone(), &self.store, started_at).await
    }

    async fn start_instance(
        id: &str,
        address: SocketAddr,
        kind: Kind,
        store: &Store,
        started_at: u64,
    ) -> std::io::Result<Self> {
        let stage = kind.stage.map(str::to_owned);
        let inner = Inner { stage, entry_state: "ready", started_at, ..Inner::default() };
        let inner = Arc::new(Mutex::new(inner));
        let work = Handler { id: id.to_owned(), kind: kind.clone(), inner: inner.clone() };
        let work = Arc::new(work);
        let handler = move |request| handle(work.clone(), request);
        let server = Arc::new(Server::start(address, handler).await?);
        let published_address = Arc::default();
        let runner = Self {
            id: id.to_owned(),
            kind,
            inner,
            server,
            store: store.clone(),
            published_address,
        };
        runner.write_entry();
        Ok(runner)
    }

    /// Publishes another address in its entry, such as that of a proxy.
    pub fn publish_address(&self, address: SocketAddr) {
        // Only the first call has an effect: a runner does not change its address.
        let _ = self.published_address.set(address);
        self.write_entry();
    }

    /// The service that it runs.
    pub fn service(&self) -> &str {
        &self.kind.service
    }

    /// The version of its software.
    pub fn version(&self) -> &'static str {
        self.kind.version
    }

    /// Whether it is a model engine.
    pub fn is_engine(&self) -> bool {
        self.kind.stage.is_some()
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Writes its entry to the store, as runners do periodically.
    pub fn write_entry(&self) {
        self.store.put("servers", &self.id, &self.entry());
    }

    /// The entry as of now. Each call counts as a write of the entry.
    pub fn entry(&self) -> Value {
        let mut inner = lock(&self.inner);
        inner.entry_writes += 1;
        let address = self.published_address.get().unwrap_or(&self.server.address).to_string();
        json!({
            "service": self.kind.service, "address": address,
            "zone": self.kind.data_centre, "version": self.kind.version, "slots": 8,
            "state": inner.entry_state, "coldRemainingMs": 0, "stage": inner.stage,
            "models": [], "seq": inner.entry_writes, "born": inner.started_at,
        })
    }

    /// Marks its entry as draining.
    pub fn drain(&self) {
        lock(&self.inner).entry_state = "draining";
        self.write_entry();
    }

    /// Aborts all connections and stops listening, as a killed process does. The entry stays.
    pub fn kill(&self) {
        self.server.stop();
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.inner).faults = faults;
    }

    /// Handles nothing and sends nothing for a time, as a process that is suspended, and then goes on.
    /// Connections stay open.
    pub fn fall_silent(&self, duration: Duration) {
        lock(&self.inner).silent_until = Some(Instant::now() + duration);
    }

    /// Replaces the signals that all responses carry.
    pub fn set_signals(&self, signals: Signals) {
        lock(&self.inner).signals = signals;
    }

    /// Makes it crash on these requests.
    pub fn crash_on(&self, trigger: Trigger) {
        lock(&self.inner).crash_trigger = Some(trigger);
    }

    /// Makes it crash on no request.
    pub fn stop_crashing(&self) {
        lock(&self.inner).crash_trigger = None;
    }

    /// Reports a crash now, without a request.
    pub fn trigger_crash(&self) {
        lock(&self.inner).crash_triggered.notify_one();
    }

    /// Waits until it starts to run a request on which it crashes.
    pub async fn crash_triggered(&self) {
        let crash_triggered = lock(&self.inner).crash_triggered.clone();
        crash_triggered.notified().await;
    }

    /// The received requests.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        lock(&self.inner).received.clone()
    }

    /// How often it ran a request with this id.
    pub fn run_count(&self, id: &str) -> usize {
        lock(&self.inner).received.iter().filter(|s| s.id == id && s.ran).count()
    }

    /// The received orders.
    pub fn orders(&self) -> Vec<Order> {
        lock(&self.inner).orders.clone()
    }

    /// The number of requests in flight.
    pub fn running(&self) -> u64 {
        lock(&self.inner).running
    }

    /// Whether it has worked on a request with this id.
    pub fn has_worked_on(&self, id: &str) -> bool {
        lock(&self.inner).work.contains_key(id)
    }

    /// Whether it worked on a request with this id at some time after `since`.
    pub fn worked_on_since(&self, id: &str, since: Instant) -> bool {
        let inner = lock(&self.inner);
        inner.work.get(id).is_some_and(|ended| ended.is_none_or(|ended| ended > since))
    }

    /// The number of KV cache handles that wait to be fetched, and of those that were freed.
    pub fn handles(&self) -> (usize, u64) {
        let inner = lock(&self.inner);
        (inner.handles.len(), inner.freed_handles)
    }
}

/// How often each request ran across all runners, by request id.
pub fn run_counts(runners: &[Runner]) -> HashMap<String, usize> {
    let mut run_counts = HashMap::new();
    for runner in runners {
        for received in runner.received() {
            *run_counts.entry(received.id).or_insert(0) += usize::from(received.ran);
        }
    }
    run_counts
}
