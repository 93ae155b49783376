//! The bindings of streams to versions, as known to one node and shared between nodes.
//!
//! A node that forwards the first event of a stream sends the binding to the nodes that hold it, in
//! datagrams that nobody waits for. It does so only while it cannot tell that one version alone has
//! served the service for as long as streams last. If a second version appears, the bindings that
//! were not sent are sent then.
//!
//! A node at which a stream is taken up asks the holders, unless it knows the binding itself.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use sardinepick_lib::clock::Clock;
use sardinepick_lib::fleet::register::Register;
use sardinepick_lib::fleet::roster::Roster;
use sardinepick_lib::fleet::stream_binding::history::History;
use sardinepick_lib::fleet::stream_binding::memory::{Added, Memory};
use sardinepick_lib::fleet::stream_binding::{
    ASKED, Binding, Evidence, HOLDERS, Seen, StreamKey, holders,
};
use sardinepick_lib::fleet::version::Version;
use sardinepick_lib::id::{NodeId, ServiceId};
use sardinepick_wire::schedule::{BindReport, FoundBinding, Schedule};
use smallvec::SmallVec;
use tokio::net::UdpSocket;
use tokio::time::timeout;

use crate::lock::lock;
use crate::serve::metrics::Metrics;
use crate::serve::pending::Pending;

/// How long a node has to reply to a question, for each attempt.
const REPLY_TIMEOUT: Duration = Duration::from_millis(25);
/// How often a question is sent. A datagram can be lost.
const SEND_ATTEMPTS: u32 = 2;
/// The maximum number of bindings that wait for a second version to appear; the oldest are dropped
/// first.
const MAX_UNSHARED: usize = 4_096;
/// The longest time for which a binding is remembered.
const MAX_LIFETIME: Duration = Duration::from_secs(600);

/// What a node has found out about a stream that is taken up.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Found {
    /// It is bound, as known to `source`, since this long ago.
    Bound(Binding, Source, Duration),
    /// It has no known binding, but one version alone has served the service.
    Only(Version),
    /// Its version is not known for sure.
    Unknown,
}

/// Which node knew a binding.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Source {
    /// This node.
    Local,
    /// A node that was asked.
    Peer,
}

/// A binding that has not been sent to other nodes.
#[derive(Clone, Debug)]
struct Unshared {
    stream: StreamKey,
    binding: Binding,
    since: Instant,
    until: Instant,
}

/// The bindings of streams.
pub struct StreamBindings {
    register: Arc<Mutex<Register>>,
    roster: Arc<Mutex<Roster>>,
    socket: OnceLock<Arc<UdpSocket>>,
    history: Mutex<History>,
    memory: Mutex<Memory>,
    unshared: Mutex<VecDeque<Unshared>>,
    questions: Mutex<Pending<FoundBinding>>,
    clock: Arc<dyn Clock>,
    metrics: Metrics,
}

impl StreamBindings {
    /// Creates an empty set of bindings.
    pub fn new(
        register: Arc<Mutex<Register>>,
        roster: Arc<Mutex<Roster>>,
        clock: Arc<dyn Clock>,
        metrics: Metrics,
    ) -> Self {
        Self {
            register,
            roster,
            socket: OnceLock::new(),
            history: Mutex::default(),
            memory: Mutex::default(),
            unshared: Mutex::default(),
            questions: Mutex::default(),
            clock,
            metrics,
        }
    }

    /// Sets the socket for messages to other nodes; until then none can be sent.
    pub fn set_socket(&self, socket: Arc<UdpSocket>) {
        // Set only once, when the node starts.
        let _ = self.socket.set(socket);
    }

    /// Records the versions of the registered runners, and shares bindings that were not shared
    /// while one version served alone. To be called several times a second.
    pub fn tick(&self) {
        self.observe();
        self.share_unshared();
        self.metrics.stream_bindings.set(i64::try_from(lock(&self.memory).len()).unwrap_or(0));
    }

    fn observe(&self) {
        let now = self.clock.now();
        let register = lock(&self.register);
        let runners = register.runners().filter(|runner| runner.entry.stage.is_some());
        let versions = runners.map(|runner| (&runner.entry.service, &runner.entry.version));
        lock(&self.history).observe(versions, now);
    }

    /// Records that a stream is bound, until `until`.
    pub fn bind(&self, stream: StreamKey, binding: &Binding, until: Instant) {
        let now = self.clock.now();
        let until = until.min(now + MAX_LIFETIME);
        let is_conclusive = {
            let mut history = lock(&self.history);
            history.note(&binding.service, &binding.version, now);
            history.note_deadline(&binding.service, until.saturating_duration_since(now));
            history.seen(&binding.service, Duration::ZERO, now).is_conclusive()
        };
        self.remember(stream, binding, now, until);
        let unshared = Unshared { stream, binding: binding.clone(), since: now, until };
        if is_conclusive {
            let mut waiting = lock(&self.unshared);
            while waiting.front().is_some_and(|first| first.until <= now)
                || waiting.len() >= MAX_UNSHARED
            {
                waiting.pop_front();
            }
            waiting.push_back(unshared);
        } else {
            self.share(&unshared, now);
        }
    }

    fn share_unshared(&self) {
        let now = self.clock.now();
        let due: VecDeque<Unshared> = {
            let history = lock(&self.history);
            let mut waiting = lock(&self.unshared);
            let is_due = |unshared: &Unshared| {
                !history.seen(&unshared.binding.service, Duration::ZERO, now).is_conclusive()
            };
            let (due, rest) = waiting.drain(..).filter(|u| now < u.until).partition(is_due);
            *waiting = rest;
            due
        };
        if !due.is_empty() {
            log::info!(streams = due.len(); "bindings of streams shared: another version serves");
        }
        for unshared in &due {
            self.share(unshared, now);
        }
    }

    /// Sends a binding to the nodes that hold it. Nobody waits for it: an event is due.
    fn share(&self, bound: &Unshared, now: Instant) {
        let Some(socket) = self.socket.get() else { return };
        let message = Schedule::Bind(BindReport {
            stream: bound.stream,
            binding: bound.binding.clone(),
            age: now.saturating_duration_since(bound.since),
            left: bound.until.saturating_duration_since(now),
        });
        let bytes = message.encode();
        for peer in self.holders::<HOLDERS>(bound.stream) {
            let outcome = match socket.try_send_to(&bytes, peer) {
                Ok(_) => "sent",
                Err(error) => {
                    log::debug!(peer:% = peer, error:% = error; "failed to send a binding");
                    "failed"
                }
            };
            self.metrics.schedule_bytes.with_label_values(&["sent"]).inc_by(bytes.len() as u64);
            self.metrics.stream_bindings_shared.with_label_values(&[outcome]).inc();
        }
    }

    fn remember(&self, stream: StreamKey, binding: &Binding, since: Instant, until: Instant) {
        let now = self.clock.now();
        match lock(&self.memory).add(stream, binding.clone(), since, until, now) {
            Added::New | Added::Known => {}
            Added::Evicting => {
                self.metrics.stream_bindings_evicted.inc();
                log::debug!("a binding of a stream was evicted: too many streams");
            }
            Added::Conflicting => {
                log::warn!(
                    account = stream.account, stream = stream.id, service:% = binding.service,
                    version:% = binding.version; "stream is bound to another version"
                );
            }
        }
    }

    /// The addresses of the first `N` holders of a stream, except this node.
    fn holders<const N: usize>(&self, stream: StreamKey) -> SmallVec<[SocketAddr; N]> {
        let roster = lock(&self.roster);
        let contacts = roster.ready_contacts();
        let me = &roster.me().contact.id;
        let nodes = contacts.iter().map(|contact| &contact.id).chain([me]);
        let address = |id: &NodeId| contacts.iter().find(|c| c.id == *id).map(|c| c.peer);
        holders::<N>(stream, nodes).into_iter().filter_map(address).collect()
    }

    /// Finds out what a stream is bound to. `service` is the service that it belongs to if it has
    /// no binding; `None` if there are several. It can be taken up for `left` at most.
    pub async fn find(
        &self,
        stream: StreamKey,
        service: Option<&ServiceId>,
        left: Duration,
    ) -> Found {
        let now = self.clock.now();
        if let Some((binding, age)) = lock(&self.memory).get(stream, now) {
            return Found::Bound(binding.clone(), Source::Local, age);
        }
        self.observe();
        let (horizon, own) = {
            let history = lock(&self.history);
            let horizon = service.map(|service| history.horizon(service)).unwrap_or_default();
            let horizon = horizon.max(left);
            (horizon, seen(&history, service, horizon, now))
        };
        let peers = self.holders::<ASKED>(stream);
        let mut evidence = Evidence::new(own, peers.len());
        let mut replies: FuturesUnordered<_> =
            peers.iter().map(|peer| self.ask(*peer, stream, service, horizon)).collect();
        while let Some(reply) = replies.next().await {
            match reply {
                Some(FoundBinding::Bound(binding, age)) => {
                    return Found::Bound(binding, Source::Peer, age);
                }
                Some(FoundBinding::Unbound(seen)) => evidence.add(seen),
                None => {}
            }
        }
        evidence.only_version().map_or(Found::Unknown, Found::Only)
    }

    async fn ask(
        &self,
        peer: SocketAddr,
        stream: StreamKey,
        service: Option<&ServiceId>,
        horizon: Duration,
    ) -> Option<FoundBinding> {
        let socket = self.socket.get()?;
        for _ in 0..SEND_ATTEMPTS {
            let (number, answer) = lock(&self.questions).register();
            let _question = Question { number, questions: &self.questions };
            let service = service.cloned();
            let message = Schedule::FindBinding { number, stream, service, horizon };
            self.send(socket, peer, &message).await;
            if let Ok(Ok(found)) = timeout(REPLY_TIMEOUT, answer).await {
                return Some(found);
            }
        }
        log::info!(peer:% = peer; "no reply to a question for the binding of a stream");
        None
    }

    async fn send(&self, socket: &UdpSocket, peer: SocketAddr, message: &Schedule) {
        let bytes = message.encode();
        self.metrics.schedule_bytes.with_label_values(&["sent"]).inc_by(bytes.len() as u64);
        if let Err(error) = socket.send_to(&bytes, peer).await {
            log::debug!(peer:% = peer, error:% = error; "failed to send a binding message");
        }
    }

    /// Remembers a binding that another node has sent.
    pub fn handle_report(&self, report: &BindReport) {
        let now = self.clock.now();
        let since = now.checked_sub(report.age).unwrap_or(now);
        let until = now + report.left.min(MAX_LIFETIME);
        self.remember(report.stream, &report.binding, since, until);
    }

    /// Answers another node's question.
    pub async fn handle_question(
        &self,
        from: SocketAddr,
        number: u64,
        stream: StreamKey,
        service: Option<ServiceId>,
        horizon: Duration,
    ) {
        let Some(socket) = self.socket.get() else { return };
        let now = self.clock.now();
        let known = lock(&self.memory).get(stream, now).map(|(b, age)| (b.clone(), age));
        let found = match known {
            Some((binding, age)) => FoundBinding::Bound(binding, age),
            None => {
                self.observe();
                let history = lock(&self.history);
                FoundBinding::Unbound(seen(&history, service.as_ref(), horizon, now))
            }
        };
        self.send(socket, from, &Schedule::FoundBinding { number, found }).await;
    }

    /// Handles the answer to a question of this node.
    pub fn handle_answer(&self, number: u64, found: FoundBinding) {
        lock(&self.questions).resolve(number, found);
    }
}

/// What this node has seen of a service; nothing if the service is not known.
fn seen(history: &History, service: Option<&ServiceId>, horizon: Duration, now: Instant) -> Seen {
    service.map(|service| history.seen(service, horizon, now)).unwrap_or_default()
}

/// A question that waits for its answer. Dropping it cancels the wait.
struct Question<'a> {
    number: u64,
    questions: &'a Mutex<Pending<FoundBinding>>,
}

impl Drop for Question<'_> {
    fn drop(&mut self) {
        lock(self.questions).cancel(self.number);
    }
}
