//! Whether this node reaches runners directly, or only through a peer.
//!
//! A node can be partitioned from runners that its peers reach. It then opens the connection to the
//! runner through a peer. Reachability belongs to a pair of a node and a runner, so each node keeps
//! its own state, and learns only from its own attempts to connect: [`Dial`] decides on one
//! attempt, and its [`Outcome`] is recorded here.
//!
//! A direct path is closed only if a peer reached the runner when this node did not. A runner that
//! nobody reaches is probably down, which is for its health record to judge.
//!
//! A partition usually concerns all runners. Once this node suspects one, a path without direct
//! traffic since is unverified: pooled connections may be dead, and are not reused.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::Rng;
use smallvec::SmallVec;

pub use self::dial::{
    Action, Dial, MAX_RELAYS, NEXT_RELAY_DELAY, Outcome, RELAY_CONNECT_TIMEOUT, RELAY_DELAY,
};
use self::isolation::Isolation;
use self::path::DirectPath;
use self::peers::Peers;
use self::suspicion::Suspicion;
use crate::id::NodeId;

mod dial;
mod isolation;
mod path;
mod peers;
mod suspicion;

/// The minimum time between two direct probes of one node.
pub const PROBE_PERIOD: Duration = Duration::from_millis(300);
/// How long a probe of a closed path may take.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// The minimum time between two attempts that ask peers for a runner that nobody has reached, while
/// there are peers that have not been asked.
const NEXT_PEERS_PAUSE: Duration = Duration::from_millis(250);
/// The same once enough peers have failed for it.
const UNREACHABLE_PAUSE: Duration = Duration::from_secs(1);

/// The direct path from this node to a runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Path {
    /// In use, or never used.
    Open,
    /// It may be interrupted.
    Unverified,
    /// A peer has reached the runner when this node did not.
    Closed,
}

/// The reachability of runners from one node.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    paths: HashMap<SocketAddr, DirectPath>,
    peers: Peers,
    suspicion: Suspicion,
    isolation: Isolation,
    probed_at: Option<Instant>,
}

impl Reachability {
    /// The direct path to a runner.
    pub fn path(&self, address: SocketAddr, now: Instant) -> Path {
        let suspected_at = self.suspicion.at(now);
        match self.paths.get(&address) {
            Some(path) => path.state(suspected_at),
            None if suspected_at.is_some() => Path::Unverified,
            None => Path::Open,
        }
    }

    /// Whether a direct connection that has been idle since `idle_since` may be reused.
    pub fn may_reuse(&self, address: SocketAddr, idle_since: Instant, now: Instant) -> bool {
        let doubted = self.paths.get(&address).and_then(DirectPath::doubted_at);
        let doubted = doubted.max(self.suspicion.at(now));
        self.path(address, now) == Path::Open && doubted < Some(idle_since)
    }

    /// Whether this node connects to a runner on behalf of a peer.
    pub fn may_relay(&self, address: SocketAddr, now: Instant) -> bool {
        self.paths.get(&address).is_none_or(|path| path.may_relay(now))
    }

    /// Whether this node has lately reached no runner, while connects to several have timed out.
    /// The next connect will probably time out too.
    pub fn is_isolated(&self, now: Instant) -> bool {
        self.isolation.is_isolated(now)
    }

    /// Chooses the peers to ask for a connection to a runner, the first one first. While nobody
    /// reaches the runner, they are chosen for one attempt at a time.
    pub fn relays<'a, R: Rng>(
        &mut self,
        address: SocketAddr,
        candidates: impl Iterator<Item = &'a NodeId> + Clone,
        now: Instant,
        rng: &mut R,
    ) -> SmallVec<[NodeId; MAX_RELAYS]> {
        let unreachable_at = self.paths.get_mut(&address).map(|path| &mut path.unreachable_at);
        if let Some(Some(at)) = unreachable_at {
            let has_more = self.peers.has_more(address, candidates.clone(), now);
            if now < *at + if has_more { NEXT_PEERS_PAUSE } else { UNREACHABLE_PAUSE } {
                return SmallVec::new();
            }
            *at = now;
        }
        self.peers.choose(address, candidates, now, rng)
    }

    /// Records the outcome of an attempt to connect.
    pub fn note_outcome(&mut self, address: SocketAddr, outcome: Outcome, now: Instant) {
        match outcome {
            Outcome::Open => self.note_connected(address, now),
            Outcome::Closed { since } => self.note_closed(address, since, now),
            Outcome::Unreachable { since } => self.note_unreachable(address, since, now),
        }
    }

    /// Records that a direct connection was established.
    pub fn note_connected(&mut self, address: SocketAddr, now: Instant) {
        self.isolation.note_reached(now);
        if self.paths.entry(address).or_default().note_connected(now) {
            // The partition has probably healed for the other runners too.
            self.paths.values_mut().for_each(|path| path.release(now));
        }
    }

    /// Records that data was received over a direct connection. It says nothing of new connections,
    /// which can fail while old ones live on.
    pub fn note_received(&mut self, address: SocketAddr, now: Instant) {
        self.isolation.note_reached(now);
        self.paths.entry(address).or_default().note_received(now);
    }

    /// Records that an answer over a direct connection is overdue. Other connections to the runner
    /// may be dead too.
    pub fn note_silent(&mut self, address: SocketAddr, now: Instant) {
        self.paths.entry(address).or_default().note_silent(now);
    }

    /// Records that a direct connection could not be established, where no [`Outcome`] says more.
    pub fn note_direct_failed(&mut self, address: SocketAddr, now: Instant) {
        self.paths.entry(address).or_default().note_failed(now);
    }

    /// Records that a peer reached a runner when this node did not, with a connect that began at
    /// `since`. Does nothing if this node has connected since.
    pub fn note_closed(&mut self, address: SocketAddr, since: Instant, now: Instant) {
        // A lost segment can close one path.
        let is_second =
            self.paths.iter().any(|(other, path)| *other != address && path.is_closed());
        let path = self.paths.entry(address).or_default();
        if path.close(since, now) && is_second {
            self.suspicion.note(now);
        }
    }

    /// Records that a probe has failed.
    pub fn note_probe_failed(&mut self, address: SocketAddr, now: Instant) {
        let path = self.paths.get_mut(&address);
        if path.is_some_and(|path| path.note_probe_failed(now)) {
            self.suspicion.note(now);
        }
    }

    /// Records that neither this node nor a peer reached a runner, in an attempt that began at
    /// `since`. Does nothing if another attempt has succeeded since.
    pub fn note_unreachable(&mut self, address: SocketAddr, since: Instant, now: Instant) {
        self.paths.entry(address).or_default().note_unreachable(since, now);
    }

    /// Records that an attempt to connect that began at `since` has timed out.
    pub fn note_timed_out(&mut self, address: SocketAddr, since: Instant, now: Instant) {
        self.isolation.note_timed_out(address, since, now);
    }

    /// Records that a peer has connected this node to a runner.
    pub fn note_relayed(&mut self, peer: &NodeId, address: SocketAddr, now: Instant) {
        self.isolation.note_reached(now);
        self.paths.entry(address).or_default().note_relayed(now);
        self.peers.note_relayed(peer, address, now);
    }

    /// Records that a peer did not connect this node to a runner.
    pub fn note_relay_failed(&mut self, peer: &NodeId, address: SocketAddr, now: Instant) {
        self.peers.note_failed(peer, address, now);
    }

    /// The runner to probe with a direct connection now: the one on a closed path that was probed
    /// least recently.
    pub fn next_probe(&mut self, now: Instant) -> Option<SocketAddr> {
        if self.probed_at.is_some_and(|at| now < at + PROBE_PERIOD) {
            return None;
        }
        let closed = self.paths.iter_mut().filter(|(_, path)| path.is_closed());
        let (address, path) = closed.min_by_key(|(address, path)| (path.probed_at(), **address))?;
        path.note_probed(now);
        self.probed_at = Some(now);
        Some(*address)
    }

    /// Removes what is known of runners that are not `wanted`, and what is too old.
    pub fn retain(&mut self, wanted: impl Fn(&SocketAddr) -> bool, now: Instant) {
        self.paths.retain(|address, _| wanted(address));
        self.peers.retain(wanted, now);
    }

    /// The number of closed paths.
    pub fn closed(&self) -> usize {
        self.paths.values().filter(|path| path.is_closed()).count()
    }
}
