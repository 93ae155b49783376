//! The bindings of streams to versions, as known to one node and shared between nodes.
//!
//! A node that forwards the first event of a stream sends the binding to the nodes that hold it, in
//! datagrams that nobody waits for. It does so only while it cannot tell that one version alone has
//! served the service for as long as streams last. If a second version appears, the bindings that
//! were not sent are sent then.
//!
//! A node at which a stream is taken up asks the holders, unless it knows the binding itself.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use sardinepick_lib::clock::Clock;
use sardinepick_lib::fleet::register::Register;
use sardinepick_lib::fleet::roster::{Contact, Roster};
use sardinepick_lib::fleet::stream_binding::memory::Added;
use sardinepick_lib::fleet::stream_binding::{
    Binding, Bindings, Bound, Evidence, HOLDERS, Known, StreamKey, holders, horizon_of,
    nodes_to_ask,
};
use sardinepick_lib::fleet::version::Version;
use sardinepick_lib::id::{NodeId, ServiceId};
use sardinepick_wire::schedule::{BindReport, Schedule};
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

/// The bindings of streams.
pub struct StreamBindings {
    register: Arc<Mutex<Register>>,
    roster: Arc<Mutex<Roster>>,
    socket: OnceLock<Arc<UdpSocket>>,
    bindings: Mutex<Bindings>,
    questions: Mutex<Pending<Known>>,
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
            bindings: Mutex::default(),
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
        let now = self.clock.now();
        let due = lock(&self.bindings).take_due(now);
        if !due.is_empty() {
            log::info!(streams = due.len(); "bindings of streams shared: another version serves");
        }
        for bound in &due {
            self.share(bound, now);
        }
        let count = lock(&self.bindings).len();
        self.metrics.stream_bindings.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    fn observe(&self) {
        let now = self.clock.now();
        let mut register = lock(&self.register);
        register.settle_versions(now);
        let versions =
            register.runners().map(|runner| (&runner.entry.service, &runner.entry.version));
        lock(&self.bindings).observe(versions, now);
    }

    /// Records that a stream is bound from now on, until `until`. Streams of its route can be taken
    /// up for `lifetime` after they began.
    pub fn bind(&self, stream: StreamKey, binding: Binding, until: Instant, lifetime: Duration) {
        let now = self.clock.now();
        let bound = Bound { stream, binding, since: now, until };
        let (added, is_shared) = lock(&self.bindings).bind(bound.clone(), lifetime, now);
        self.note_added(added, &bound);
        if is_shared {
            self.share(&bound, now);
        }
    }

    /// Sends a binding to the nodes that hold it. Nobody waits for it: an event is due.
    fn share(&self, bound: &Bound, now: Instant) {
        let Some(socket) = self.socket.get() else { return };
        let message = Schedule::Bind(BindReport {
            stream: bound.stream,
            binding: bound.binding.clone(),
            age: now.saturating_duration_since(bound.since),
            left: bound.until.saturating_duration_since(now),
        });
        let bytes = message.encode();
        for peer in self.holders(bound.stream) {
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

    fn note_added(&self, added: Added, bound: &Bound) {
        match added {
            Added::New | Added::Known => {}
            Added::Evicting => {
                self.metrics.stream_bindings_evicted.inc();
                log::debug!("a binding of a stream was evicted: too many streams");
            }
            Added::Conflicting => {
                log::warn!(
                    account = bound.stream.account, stream = bound.stream.id,
                    service:% = bound.binding.service, version:% = bound.binding.version;
                    "stream is bound to another version"
                );
            }
        }
    }

    /// The addresses of the holders of a stream, except this node.
    fn holders(&self, stream: StreamKey) -> SmallVec<[SocketAddr; HOLDERS]> {
        let roster = lock(&self.roster);
        let contacts = roster.ready_contacts();
        let nodes = contacts.iter().copied().chain([&roster.me().contact]).map(|c| &c.id);
        let chosen = holders(stream, nodes);
        chosen.into_iter().filter_map(|id| peer_of(&contacts, id)).collect()
    }

    /// The addresses of the nodes to ask for the binding of a stream.
    fn nodes_to_ask(&self, stream: StreamKey) -> Vec<SocketAddr> {
        let roster = lock(&self.roster);
        let contacts = roster.ready_contacts();
        let nodes = contacts.iter().copied().chain([&roster.me().contact]);
        let chosen = nodes_to_ask(stream, nodes.map(|c| (&c.id, c.incarnation)));
        chosen.into_iter().filter_map(|id| peer_of(&contacts, id)).collect()
    }

    /// Finds out what a stream is bound to. `service` is the service that it belongs to if it has
    /// no binding; `None` if there are several. Streams of its route can be taken up for `lifetime`
    /// after they began.
    pub async fn find(
        &self,
        stream: StreamKey,
        service: Option<&ServiceId>,
        lifetime: Duration,
    ) -> Found {
        self.observe();
        let (known, horizon) = {
            let bindings = lock(&self.bindings);
            let horizon = service.map(|service| bindings.horizon(service)).unwrap_or_default();
            let horizon = horizon.max(horizon_of(lifetime));
            (bindings.find(stream, service, horizon, self.clock.now()), horizon)
        };
        let own = match known {
            Known::Bound(binding, age) => return Found::Bound(binding, Source::Local, age),
            Known::Unbound(seen) => seen,
        };
        let peers = self.nodes_to_ask(stream);
        let mut evidence = Evidence::new(own, peers.len());
        let mut replies: FuturesUnordered<_> =
            peers.iter().map(|peer| self.ask(*peer, stream, service, horizon)).collect();
        while let Some(reply) = replies.next().await {
            match reply {
                Some(Known::Bound(binding, age)) => {
                    return Found::Bound(binding, Source::Peer, age);
                }
                Some(Known::Unbound(seen)) => evidence.add(seen),
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
    ) -> Option<Known> {
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
        let bound = Bound {
            stream: report.stream,
            binding: report.binding.clone(),
            since: now.checked_sub(report.age).unwrap_or(now),
            until: now.checked_add(report.left).unwrap_or(now),
        };
        let added = lock(&self.bindings).remember(bound.clone(), now);
        self.note_added(added, &bound);
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
        self.observe();
        let now = self.clock.now();
        let found = lock(&self.bindings).find(stream, service.as_ref(), horizon, now);
        self.send(socket, from, &Schedule::FoundBinding { number, found }).await;
    }

    /// Handles the answer to a question of this node.
    pub fn handle_answer(&self, number: u64, found: Known) {
        lock(&self.questions).resolve(number, found);
    }
}

/// The address of a node for other nodes; `None` if it is not among `contacts`, as this node is not.
fn peer_of(contacts: &[&Contact], id: &NodeId) -> Option<SocketAddr> {
    contacts.iter().find(|contact| contact.id == *id).map(|contact| contact.peer)
}

/// A question that waits for its answer. Dropping it cancels the wait.
struct Question<'a> {
    number: u64,
    questions: &'a Mutex<Pending<Known>>,
}

impl Drop for Question<'_> {
    fn drop(&mut self) {
        lock(self.questions).cancel(self.number);
    }
}
