//! Distributed rate limiting: permits to send requests to runners with a rate limit, and gossip of
//! the limits.
//!
//! The node that schedules a runner's pool holds the runner's token bucket and grants permits from
//! it; other nodes acquire a permit before each request. A node grants only if by its own view it
//! schedules the pool, so that two nodes grant only while their views differ. In a partition each
//! side grants its share of the rate.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use sardinepick_lib::clock::Clock;
use sardinepick_lib::decimal::DecimalError;
use sardinepick_lib::fleet::limit::{Announcement, Change, Limit, LimitReport, Rate};
use sardinepick_lib::fleet::outbox::Outbox;
use sardinepick_lib::fleet::pool::Pool;
use sardinepick_lib::fleet::register::Register;
use sardinepick_lib::fleet::roster::{Roster, Standing};
use sardinepick_lib::fleet::runner::{Registration, Runner, Tag};
use sardinepick_lib::fleet::scheduler;
use sardinepick_lib::id::{RunnerId, ServiceId};
use sardinepick_wire::schedule::Schedule;
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::lock::lock;
use crate::serve::metrics::Metrics;
use crate::serve::pending::Pending;

pub mod gossip;

/// The timeout of a permit request. A grantor on a busy machine replies late; a permit that it
/// grants after the timeout is lost, and the runner's rate is not used.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(150);
/// How long a permit may be held before the request is sent, while its prompt is prefilled. A
/// window in which the platform counts requests can exceed the rate by what is granted in this time.
const PERMIT_TTL: Duration = Duration::from_secs(1);
/// How long no permit is requested after a timeout, or from a node that by its own view is not the
/// grantor. The nodes' views converge within a second.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Who grants permits for the runners of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Grantor {
    /// This node, from this share of the rate.
    Local(f64),
    /// The node at this address.
    Remote(SocketAddr),
}

/// A permit to send one request to a runner.
#[derive(Clone, Copy, Debug)]
pub struct Permit {
    runner: Tag,
    until: Instant,
}

impl Permit {
    /// Whether it permits a request to this incarnation of a runner now.
    pub fn covers(&self, runner: Tag, now: Instant) -> bool {
        self.runner == runner && now < self.until
    }
}

/// A permit was denied.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("no permit within the rate limit for {wait:?}")]
pub struct Denied {
    /// How long to wait before the next request for a permit.
    pub wait: Duration,
}

/// The rate limits of runners, as known to one node.
pub struct Limiter {
    register: Arc<Mutex<Register>>,
    roster: Arc<Mutex<Roster>>,
    socket: OnceLock<Arc<UdpSocket>>,
    requests: Mutex<Pending<Result<(), Duration>>>,
    outbox: Mutex<Outbox>,
    /// Triggers gossip without delay.
    wake: Arc<Notify>,
    clock: Arc<dyn Clock>,
    metrics: Metrics,
}

impl Limiter {
    /// Creates a limiter that knows no limits.
    pub fn new(
        register: Arc<Mutex<Register>>,
        roster: Arc<Mutex<Roster>>,
        wake: Arc<Notify>,
        clock: Arc<dyn Clock>,
        metrics: Metrics,
    ) -> Self {
        let (socket, requests, outbox) = (OnceLock::new(), Mutex::default(), Mutex::default());
        Self { register, roster, socket, requests, outbox, wake, clock, metrics }
    }

    /// Sets the socket for permit requests to other nodes; until then none can be sent.
    pub fn set_socket(&self, socket: Arc<UdpSocket>) {
        // Set only once, when the node starts.
        let _ = self.socket.set(socket);
    }

    fn grantor(&self, service: &ServiceId, pool: Pool) -> Grantor {
        let roster = lock(&self.roster);
        let (me, others) = (roster.me(), roster.ready_contacts());
        let mine = (me.standing == Standing::Ready).then_some(&me.contact.id);
        let ids = others.iter().map(|contact| &contact.id).chain(mine);
        let first = scheduler::choose_scheduler(service, pool, ids);
        match others.iter().find(|contact| Some(&contact.id) == first) {
            Some(contact) => Grantor::Remote(contact.peer),
            None => Grantor::Local(roster.present_fraction()),
        }
    }

    /// Acquires a permit to send one request to a runner; `None` if the runner has no limit.
    ///
    /// # Errors
    /// The rate is exhausted, or the grantor does not reply.
    pub async fn acquire(&self, id: &RunnerId) -> Result<Option<Permit>, Denied> {
        let Some((tag, service, pool, announcement)) =
            lock(&self.register).get(id).and_then(limit_of)
        else {
            return Ok(None);
        };
        let (granted, by) = match self.grantor(&service, pool) {
            Grantor::Local(fraction) => (self.grant(tag, fraction), "here"),
            Grantor::Remote(peer) => match self.request_permit(peer, tag, announcement).await {
                Some(granted) => (granted, "grantor"),
                None => (Err(RETRY_PAUSE), "nobody"),
            },
        };
        let outcome = if granted.is_ok() { "granted" } else { "denied" };
        self.metrics.permits.with_label_values(&[outcome, by]).inc();
        let now = self.clock.now();
        let permit = granted.map(|()| Some(Permit { runner: tag, until: now + PERMIT_TTL }));
        permit.map_err(|wait| {
            if by != "here" {
                self.with_limit(tag, |limit| limit.note_denied(wait, now));
            }
            let wait_ms = wait.as_millis() as u64;
            log::debug!(runner:% = id, by = by, wait_ms = wait_ms; "permit denied");
            Denied { wait }
        })
    }

    /// Reserves tokens of runners where work has been placed, if this node is their grantor.
    pub fn reserve(&self, runners: &[&RunnerId]) {
        for id in runners {
            let limited = lock(&self.register).get(id).and_then(limit_of);
            let Some((tag, service, pool, _)) = limited else { continue };
            if let Grantor::Local(fraction) = self.grantor(&service, pool) {
                let now = self.clock.now();
                self.with_limit(tag, |limit| limit.reserve(fraction, now));
            }
        }
    }

    fn grant(&self, tag: Tag, fraction: f64) -> Result<(), Duration> {
        let now = self.clock.now();
        // No permits for a runner that is no longer known.
        self.with_limit(tag, |limit| limit.grant(fraction, now)).unwrap_or(Err(RETRY_PAUSE))
    }

    fn with_limit<T>(&self, tag: Tag, change: impl FnOnce(&mut Limit) -> T) -> Option<T> {
        lock(&self.register).by_tag_mut(tag).map(|runner| change(&mut runner.limit))
    }

    async fn request_permit(
        &self,
        peer: SocketAddr,
        runner: Tag,
        announcement: Announcement,
    ) -> Option<Result<(), Duration>> {
        let (number, answer) = lock(&self.requests).register();
        let age = self.clock.now().saturating_duration_since(announcement.at);
        let limit = LimitReport { runner, rate: announcement.rate, age };
        self.transmit(peer, &Schedule::Acquire { number, limit }).await;
        let answer = timeout(PERMIT_TIMEOUT, answer).await;
        lock(&self.requests).cancel(number);
        answer.ok()?.ok()
    }

    async fn transmit(&self, peer: SocketAddr, message: &Schedule) {
        let Some(socket) = self.socket.get() else { return };
        let bytes = message.encode();
        self.metrics.schedule_bytes.with_label_values(&["sent"]).inc_by(bytes.len() as u64);
        if let Err(error) = socket.send_to(&bytes, peer).await {
            log::debug!(peer:% = peer, error:% = error; "failed to send a permit message");
        }
    }

    /// Answers another node's permit request.
    pub async fn handle_request(&self, from: SocketAddr, number: u64, limit: LimitReport) {
        let entry = lock(&self.register).by_tag(limit.runner).map(service_and_pool);
        let wait = match entry.map(|(service, pool)| self.grantor(&service, pool)) {
            Some(Grantor::Local(fraction)) => {
                self.apply_gossip(&[limit], "permit request");
                self.grant(limit.runner, fraction).err()
            }
            Some(Grantor::Remote(_)) | None => Some(RETRY_PAUSE),
        };
        self.transmit(from, &Schedule::Acquired { number, wait }).await;
    }

    /// Handles the reply to a permit request.
    pub fn handle_reply(&self, number: u64, wait: Option<Duration>) {
        lock(&self.requests).resolve(number, wait.map_or(Ok(()), Err));
    }

    /// Applies the limit that a runner announces in its response to `request`, which was sent at
    /// `sent`.
    pub fn note_answer(
        &self,
        registration: &Registration,
        request: &str,
        sent: Instant,
        announced: Result<Option<Rate>, DecimalError>,
    ) {
        let now = self.clock.now();
        let tag = Tag::of(&registration.id, registration.born);
        let mut register = lock(&self.register);
        let Some(runner) = register.registered_mut(registration) else { return };
        let announced = match announced {
            Ok(announced) => announced,
            Err(error) => {
                if runner.limit.note_malformed() {
                    self.metrics.rate_limit_changes.with_label_values(&["malformed"]).inc();
                    log::warn!(
                        request = request, runner:% = registration.id, error:% = error;
                        "rate limit is not taken"
                    );
                }
                return;
            }
        };
        let change = runner.limit.note_answer(announced, sent, now);
        drop(register);
        if let Some(change) = change {
            log_change(&registration.id, change, request, "answer");
            self.note_change(tag, change);
        }
    }

    fn note_change(&self, tag: Tag, change: Change) {
        let label = match change {
            Change::Set(_) => "set",
            Change::Lifted => "lifted",
        };
        self.metrics.rate_limit_changes.with_label_values(&[label]).inc();
        lock(&self.outbox).push(tag, self.clock.now());
        self.wake.notify_one();
    }
}

fn service_and_pool(runner: &Runner) -> (ServiceId, Pool) {
    (runner.entry.service.clone(), runner.pool)
}

/// The identity, the pool and the limit of a rate-limited runner; `None` if it has no limit.
fn limit_of(runner: &Runner) -> Option<(Tag, ServiceId, Pool, Announcement)> {
    let announcement =
        runner.limit.announcement().filter(|announcement| announcement.rate.is_some())?;
    let (service, pool) = service_and_pool(runner);
    Some((runner.entry.tag(), service, pool, announcement))
}

fn log_change(id: &RunnerId, change: Change, request: &str, source: &str) {
    match change {
        Change::Set(rate) => {
            log::info!(runner:% = id, rate:% = rate, request = request, source = source; "rate limit set");
        }
        Change::Lifted => {
            log::info!(runner:% = id, request = request, source = source; "rate limit lifted");
        }
    }
}
