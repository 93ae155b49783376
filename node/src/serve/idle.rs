//! Idle connections.

use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use sardinepick_lib::clock::Clock;
use sardinepick_lib::hash::stable_hash;
use sardinepick_lib::id::NodeId;
use sardinepick_platform::runner::request_id;
use smallvec::SmallVec;
use tokio::sync::oneshot;

use crate::lock::lock;

/// The maximum number of idle connections per address and way.
const MAX_IDLE: usize = 32;

/// The way in which a connection was made.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Way {
    /// By this node itself.
    Direct,
    /// Through a peer.
    Relayed,
}

/// The number of answered calls that a connection remembers. A copy of an answer arrives where the
/// answer to the next request is expected; this leaves a margin for later ones.
const MAX_ANSWERED: usize = 8;

/// Distinguishes the answers to calls on a connection to a runner. An answer names the id of its
/// request; all calls without an id share one key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallKey(u64);

impl CallKey {
    /// The key of all calls without an id.
    pub const WITHOUT_ID: Self = Self(0);

    /// The key of a request to a runner.
    pub fn of<B>(request: &Request<B>) -> Self {
        request_id(request).map_or(Self::WITHOUT_ID, Self::of_id)
    }

    /// The key of a request with this id.
    pub fn of_id(id: &[u8]) -> Self {
        Self(stable_hash(1, id))
    }
}

/// Identifies a call in logs: the number of its connection in this process, and how many calls
/// that connection has carried with this one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Ordinal {
    connection: u64,
    call: u32,
}

impl fmt::Display for Ordinal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "connection {}, call {}", self.connection, self.call)
    }
}

/// A connection that carries no request.
pub struct Link {
    pub(super) sender: SendRequest<Full<Bytes>>,
    /// How it was made.
    pub way: Way,
    /// The peer that it was made through.
    pub peer: Option<NodeId>,
    /// The call that it carries, or carried last.
    pub ordinal: Ordinal,
    /// What had been read of the connection beyond its answers, once it has ended.
    pub(super) rest: oneshot::Receiver<Bytes>,
    /// The calls that were answered last.
    answered: SmallVec<[CallKey; MAX_ANSWERED]>,
}

impl Link {
    pub(super) fn new(
        sender: SendRequest<Full<Bytes>>,
        rest: oneshot::Receiver<Bytes>,
        way: Way,
        connection: u64,
    ) -> Self {
        let ordinal = Ordinal { connection, call: 0 };
        Self { sender, way, peer: None, ordinal, rest, answered: SmallVec::new() }
    }

    /// Records that a call is sent.
    pub(super) fn note_sent(&mut self) {
        self.ordinal.call += 1;
    }

    /// Records that a call was answered.
    pub(super) fn note_answered(&mut self, key: CallKey) {
        if self.answered.len() == MAX_ANSWERED {
            self.answered.remove(0);
        }
        self.answered.push(key);
    }

    /// Whether a copy of an earlier answer could be taken for the answer to a call.
    pub(super) fn may_confuse(&self, key: CallKey) -> bool {
        self.answered.contains(&key)
    }
}

struct Idle {
    link: Link,
    since: Instant,
    until: Instant,
}

/// The idle connections of a node.
pub(super) struct Pool {
    idle: Mutex<HashMap<(SocketAddr, Way), VecDeque<Idle>>>,
    clock: Arc<dyn Clock>,
}

impl Pool {
    pub(super) fn new(clock: Arc<dyn Clock>) -> Self {
        Self { idle: Mutex::default(), clock }
    }

    /// Adds a connection, to be kept for `keep`.
    pub(super) fn put(&self, address: SocketAddr, link: Link, keep: Duration) {
        let since = self.clock.now();
        let mut idle = lock(&self.idle);
        let queue = idle.entry((address, link.way)).or_default();
        if queue.len() < MAX_IDLE {
            queue.push_back(Idle { link, since, until: since + keep });
        }
    }

    /// Takes the connection that has been idle longest, if `may_reuse` permits that for the time
    /// since when it is idle. Connections for which it does not are closed. Those that have
    /// answered the call `key` recently are left for other calls.
    pub(super) fn take(
        &self,
        address: SocketAddr,
        way: Way,
        key: Option<CallKey>,
        may_reuse: impl Fn(Instant) -> bool,
    ) -> Option<Link> {
        let now = self.clock.now();
        let mut idle = lock(&self.idle);
        let queue = idle.get_mut(&(address, way))?;
        queue.retain(|idle| {
            idle.until > now && idle.link.sender.is_ready() && may_reuse(idle.since)
        });
        let at = queue.iter().position(|idle| !key.is_some_and(|key| idle.link.may_confuse(key)));
        queue.remove(at?).map(|idle| idle.link)
    }

    /// Closes expired connections, and those to addresses that are not `wanted`.
    pub(super) fn close_expired(&self, wanted: impl Fn(&SocketAddr) -> bool) {
        let now = self.clock.now();
        lock(&self.idle).retain(|(address, _), queue| {
            queue.retain(|idle| idle.until > now && !idle.link.sender.is_closed());
            !queue.is_empty() && wanted(address)
        });
    }

    /// Closes the connections that are not `wanted`.
    pub(super) fn retain(&self, wanted: impl Fn(&SocketAddr, &Link) -> bool) {
        lock(&self.idle).retain(|(address, _), queue| {
            queue.retain(|idle| wanted(address, &idle.link));
            !queue.is_empty()
        });
    }
}
