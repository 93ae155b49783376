//! Idle connections.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use sardinepick_lib::clock::Clock;

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

/// A connection that carries no request.
pub struct Link {
    pub(super) sender: SendRequest<Full<Bytes>>,
    /// How it was made.
    pub way: Way,
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
    /// since when it is idle. Connections for which it does not are closed.
    pub(super) fn take(
        &self,
        address: SocketAddr,
        way: Way,
        may_reuse: impl Fn(Instant) -> bool,
    ) -> Option<Link> {
        let now = self.clock.now();
        let mut idle = lock(&self.idle);
        let queue = idle.get_mut(&(address, way))?;
        while let Some(next) = queue.pop_front() {
            if next.until > now && next.link.sender.is_ready() && may_reuse(next.since) {
                return Some(next.link);
            }
        }
        None
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
    pub(super) fn retain(&self, wanted: impl Fn(&SocketAddr, Way) -> bool) {
        lock(&self.idle).retain(|(address, way), _| wanted(address, *way));
    }
}
