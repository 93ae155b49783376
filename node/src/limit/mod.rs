//! Distributed rate limiting: permits to send requests to runners with a rate limit, and gossip of the
//! limits.
//!
//! The node that schedules a runner's pool has the token bucket for the runner and grants permits from
//! it; other nodes acquire one before each request. A node grants only if by its own view it schedules
//! the pool, so that two nodes grant only while their views differ. In a partition each side grants its
//! part of the rate.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use sardinepick_lib::clock::Clock;
use sardinepick_lib::decimal::DecimalError;
use sardinepick_lib::fleet::limit::{Announced, Announcement, Change, Limit, Rate};
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

pub mod news;

/// The timeout of a request for a permit; that of a request to a scheduler.
const PATIENCE: Duration = scheduler::REPLY_TIMEOUT;
/// How long no permit is requested after a timeout, or from a node that does not grant by its own view.
/// The nodes' views agree within a second.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Who grants permits for the runners of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Grantor {
    /// This node, out of this part of the rate.
    Me(f64),
    /// Another, reached here.
    Other(SocketAddr),
}

/// No permit to send a request to a runner.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("no permit within the rate limit for {wait:?}")]
pub struct Denied {
    /// When to ask again.
    pub wait: Duration,
}

/// The rate limits of runners at one node.
pub struct Limiter {
    register: Arc<Mutex<Register>>,
    roster: Arc<Mutex<Roster>>,
    socket: OnceLock<Arc<UdpSocket>>,
    asked: Mutex<Pending<Result<(), Duration>>>,
    outbox: Mutex<Outbox>,
    /// Has gossip sent at once.
    wake: Arc<Notify>,
    clock: Arc<dyn Clock>,
    metrics: Metrics,
}

impl Limiter {
    /// A node that knows of no limits.
    pub fn new(
        register: Arc<Mutex<Register>>,
        roster: Arc<Mutex<Roster>>,
        wake: Arc<Notify>,
        clock: Arc<dyn Clock>,
        metrics: Metrics,
    ) -> Self {
        let (socket, asked, outbox) = (OnceLock::new(), Mutex::default(), Mutex::default());
        Self { register, roster, socket, asked, outbox, wake, clock, metrics }
    }

    /// Sets the socket by which other nodes are asked; until then they cannot be.
    pub fn set_socket(&self, socket: Arc<UdpSocket>) {
        // Set once, by the start of the node.
        let _ = self.socket.set(socket);
    }

    fn grantor(&self, service: &ServiceId, pool: Pool) -> Grantor {
        let roster = lock(&self.roster);
        let (me, others) = (roster.me(), roster.ready_contacts());
        let mine = (me.standing == Standing::Ready).then_some(&me.contact.id);
        let ids = others.iter().map(|contact| &contact.id).chain(mine);
        let first = scheduler::holder(service, pool, ids);
        match others.iter().find(|contact| Some(&contact.id) == first) {
            Some(contact) => Grantor::Other(contact.peer),
            None => Grantor::Me(roster.present_fraction()),
        }
    }

    /// Acquires a permit to send one request to a runner; granted at once where there is no limit.
    ///
    /// # Errors
    /// The rate is used up, or the grantor does not answer.
    pub async fn permit(&self, id: &RunnerId) -> Result<(), Denied> {
        let Some((tag, service, pool, notice)) = lock(&self.register).get(id).and_then(limited)
        else {
            return Ok(());
        };
        let (granted, by) = match self.grantor(&service, pool) {
            Grantor::Me(part) => (self.grant(tag, part), "here"),
            Grantor::Other(peer) => match self.ask(peer, tag, notice).await {
                Some(granted) => (granted, "grantor"),
                None => (Err(RETRY_PAUSE), "nobody"),
            },
        };
        let outcome = if granted.is_ok() { "granted" } else { "denied" };
        self.metrics.permits.with_label_values(&[outcome, by]).inc();
        granted.map_err(|wait| {
            let now = self.clock.now();
            if by != "here" {
                self.with_limit(tag, |limit| limit.note_denied(wait, now));
            }
            let wait_ms = wait.as_millis() as u64;
            log::debug!(runner:% = id, by = by, wait_ms = wait_ms; "permit denied");
            Denied { wait }
        })
    }

    /// Sets tokens aside at runners where work has been placed, if this node grants for them.
    pub fn reserve(&self, runners: &[&RunnerId]) {
        for id in runners {
            let limited = lock(&self.register).get(id).and_then(limited);
            let Some((tag, service, pool, _)) = limited else { continue };
            if let Grantor::Me(part) = self.grantor(&service, pool) {
                let now = self.clock.now();
                self.with_limit(tag, |limit| limit.reserve(part, now));
            }
        }
    }

    fn grant(&self, tag: Tag, part: f64) -> Result<(), Duration> {
        let now = self.clock.now();
        // A runner that is not known any more gets nothing.
        self.with_limit(tag, |limit| limit.grant(part, now)).unwrap_or(Err(RETRY_PAUSE))
    }

    fn with_limit<T>(&self, tag: Tag, change: impl FnOnce(&mut Limit) -> T) -> Option<T> {
        lock(&self.register).by_tag_mut(tag).map(|runner| change(&mut runner.limit))
    }

    async fn ask(
        &self,
        peer: SocketAddr,
        runner: Tag,
        notice: Announcement,
    ) -> Option<Result<(), Duration>> {
        let (number, answer) = lock(&self.asked).register();
        let age = self.clock.now().saturating_duration_since(notice.at);
        let limit = Announced { runner, rate: notice.rate, age };
        self.transmit(peer, &Schedule::Acquire { number, limit }).await;
        let answer = timeout(PATIENCE, answer).await;
        lock(&self.asked).cancel(number);
        answer.ok()?.ok()
    }

    async fn transmit(&self, peer: SocketAddr, message: &Schedule) {
        let Some(socket) = self.socket.get() else { return };
        let bytes = message.encode();
        self.metrics.schedule_bytes.with_label_values(&["sent"]).inc_by(bytes.len() as u64);
        if let Err(error) = socket.send_to(&bytes, peer).await {
            log::debug!(peer:% = peer, error:% = error; "sending of a permit");
        }
    }

    /// Answers the request of another node for a permit.
    pub async fn answer(&self, from: SocketAddr, number: u64, limit: Announced) {
        let entry = lock(&self.register).by_tag(limit.runner).map(place);
        let wait = match entry.map(|(service, pool)| self.grantor(&service, pool)) {
            Some(Grantor::Me(part)) => {
                self.take(&[limit], "a node that asks");
                self.grant(limit.runner, part).err()
            }
            Some(Grantor::Other(_)) | None => Some(RETRY_PAUSE),
        };
        self.transmit(from, &Schedule::Acquired { number, wait }).await;
    }

    /// Takes the answer to a request for a permit.
    pub fn take_answer(&self, number: u64, wait: Option<Duration>) {
        lock(&self.asked).resolve(number, wait.map_or(Ok(()), Err));
    }

    /// Takes in what an answer of a runner announces, to the request `request` that was sent at `sent`.
    pub fn note_answer(
        &self,
        stay: &Registration,
        request: &str,
        sent: Instant,
        named: Result<Option<Rate>, DecimalError>,
    ) {
        let now = self.clock.now();
        let tag = Tag::of(&stay.id, stay.born);
        let mut register = lock(&self.register);
        let Some(runner) = register.registered_mut(stay) else { return };
        let named = match named {
            Ok(named) => named,
            Err(error) => {
                if runner.limit.note_malformed() {
                    self.metrics.limits.with_label_values(&["malformed"]).inc();
                    log::warn!(
                        request = request, runner:% = stay.id, error:% = error;
                        "rate limit is not taken"
                    );
                }
                return;
            }
        };
        let change = runner.limit.note_answer(named, sent, now);
        drop(register);
        if let Some(change) = change {
            log_change(&stay.id, change, request, "answer");
            self.note_change(tag, change);
        }
    }

    fn note_change(&self, tag: Tag, change: Change) {
        let label = match change {
            Change::Set(_) => "set",
            Change::Lifted => "lifted",
        };
        self.metrics.limits.with_label_values(&[label]).inc();
        lock(&self.outbox).push(tag, self.clock.now());
        self.wake.notify_one();
    }
}

fn place(runner: &Runner) -> (ServiceId, Pool) {
    (runner.entry.service.clone(), runner.pool)
}

/// What identifies a runner with a rate limit and its grantor; none where there is no limit.
fn limited(runner: &Runner) -> Option<(Tag, ServiceId, Pool, Announcement)> {
    let notice = runner.limit.announcement().filter(|notice| notice.rate.is_some())?;
    let (service, pool) = place(runner);
    Some((runner.entry.tag(), service, pool, notice))
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
