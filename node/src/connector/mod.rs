//! Connections to runners, directly or through a peer.
//!
//! The decisions are made in [`sardinepick_lib::fleet::reachability`]. Only the way of a connection
//! differs: the request on it, and how it is accounted for, are the same.

mod attempt;
pub mod probe;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use rand::rngs::StdRng;
use sardinepick_lib::clock::Clock;
use sardinepick_lib::fleet::reachability::{MAX_RELAYS, Path, Reachability};
use sardinepick_lib::fleet::roster::Roster;
use sardinepick_lib::id::{NodeId, RunnerId};
use smallvec::SmallVec;

use crate::lock::lock;
use crate::relay;
use crate::serve::connection::{Answer, CallKey, Connections, Link, SendError, Way};
use crate::serve::delivery::Delivery;
use crate::serve::metrics::Metrics;

/// What a connector works with.
pub struct Handles {
    /// Pooled and direct connections.
    pub connections: Arc<Connections>,
    /// Connections through peers.
    pub relays: relay::Client,
    /// Which runners this node reaches.
    pub reachability: Arc<Mutex<Reachability>>,
    /// The peers.
    pub roster: Arc<Mutex<Roster>>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Metrics.
    pub metrics: Metrics,
}

/// Connects to runners.
pub struct Connector {
    handles: Handles,
    rng: Mutex<StdRng>,
    /// Whether some runners are reached only through peers.
    uses_peers: AtomicBool,
}

/// A runner at its address.
#[derive(Clone, Copy, Debug)]
struct Destination<'a> {
    runner: &'a RunnerId,
    address: SocketAddr,
}

/// A peer that may connect this node to a runner.
struct Peer {
    id: NodeId,
    address: SocketAddr,
}

impl Connector {
    /// Creates a connector that assumes that all runners are reached directly.
    pub fn new(handles: Handles, rng: StdRng) -> Self {
        Self { handles, rng: Mutex::new(rng), uses_peers: AtomicBool::new(false) }
    }

    /// Sends a request to a runner and waits for the head of its answer. Records in `delivery` that
    /// it is sent.
    ///
    /// # Errors
    /// There is no answer.
    pub async fn send(
        &self,
        runner: &RunnerId,
        address: SocketAddr,
        request: Request<Bytes>,
        delivery: Option<&Delivery>,
        may_send: impl Fn() -> bool,
    ) -> Result<Answer, SendError> {
        let key = CallKey::of(&request);
        let take_idle = || self.take_idle(address, key);
        let connect = async {
            let link = self.connect(Destination { runner, address }).await?;
            // The runner may have left while the connection was established.
            if !may_send() {
                return Err(SendError::Leaving { peer: address, runner: runner.clone() });
            }
            Ok(link)
        };
        let connections = &self.handles.connections;
        let answer = connections
            .send_over(address, request, Some(key), delivery, take_idle, connect)
            .await?;
        if answer.way() == Way::Direct {
            self.reachability().note_received(address, self.now());
        }
        Ok(answer)
    }

    /// The direct path to a runner.
    pub fn path(&self, address: SocketAddr) -> Path {
        self.reachability().path(address, self.now())
    }

    /// The number of runners that are reached only through peers.
    pub fn closed(&self) -> usize {
        self.reachability().closed()
    }

    /// Whether this node reaches no runner, so that the next connect will probably time out too.
    pub fn is_isolated(&self) -> bool {
        self.reachability().is_isolated(self.now())
    }

    /// Whether the failure of a call to a runner is probably one of the path between this node and
    /// the runner.
    pub fn is_path_failure(&self, address: SocketAddr) -> bool {
        let reachability = self.reachability();
        reachability.closed() > 0 && reachability.path(address, self.now()) != Path::Open
    }

    /// Records that a call to a runner has broken off or is overdue: other connections to it may be
    /// dead too.
    pub fn note_silent(&self, address: SocketAddr) {
        self.reachability().note_silent(address, self.now());
    }

    /// Closes idle connections to peers, and forgets runners that are not `wanted`.
    pub fn clean_up(&self, wanted: impl Fn(&SocketAddr) -> bool) {
        let now = self.now();
        self.update(|reachability| reachability.retain(wanted, now));
        self.close_unused_relays();
        let peers: Vec<SocketAddr> = {
            let roster = lock(&self.handles.roster);
            roster.present_records().map(|record| record.contact.peer).collect()
        };
        self.handles.relays.close_idle(|peer| peers.contains(peer));
    }

    /// Closes the idle connections through peers to runners that are reached directly, and those
    /// through peers that are not ready: they delay the stop of a peer that leaves.
    fn close_unused_relays(&self) {
        let connections = &self.handles.connections;
        let roster = lock(&self.handles.roster);
        connections.close_idle_relayed(|address, link| {
            is_peer_ready(&roster, link) && self.path(*address) == Path::Closed
        });
    }

    fn now(&self) -> Instant {
        self.handles.clock.now()
    }

    fn reachability(&self) -> MutexGuard<'_, Reachability> {
        lock(&self.handles.reachability)
    }

    /// Changes what is known of the paths, and reports when this node starts or stops to use peers.
    fn update<T>(&self, change: impl FnOnce(&mut Reachability) -> T) -> T {
        let (result, closed) = {
            let mut reachability = self.reachability();
            let result = change(&mut reachability);
            (result, reachability.closed())
        };
        self.handles.metrics.closed_paths.set(i64::try_from(closed).unwrap_or(i64::MAX));
        if self.uses_peers.swap(closed > 0, Ordering::Relaxed) != (closed > 0) {
            if closed > 0 {
                log::info!("runners are reached through peers");
            } else {
                log::info!("all runners are reached directly again");
            }
        }
        result
    }

    /// Takes an idle connection to a runner. Direct ones may be dead unless the path is open;
    /// connections through peers are used only while it is closed. One through a peer that leaves
    /// would be cut when the peer ends.
    fn take_idle(&self, address: SocketAddr, key: CallKey) -> Option<Link> {
        let connections = &self.handles.connections;
        match self.path(address) {
            Path::Open => connections.take_idle(address, Way::Direct, Some(key), |since| {
                self.reachability().may_reuse(address, since, self.now())
            }),
            Path::Unverified => None,
            Path::Closed => loop {
                let link = connections.take_idle(address, Way::Relayed, Some(key), |_| true)?;
                if is_peer_ready(&lock(&self.handles.roster), &link) {
                    return Some(link);
                }
            },
        }
    }

    /// Chooses the peers to ask for a connection to a runner.
    fn choose_peers(&self, address: SocketAddr) -> SmallVec<[Peer; MAX_RELAYS]> {
        let now = self.now();
        let roster = lock(&self.handles.roster);
        let contacts = roster.ready_contacts();
        let ids = contacts.iter().map(|contact| &contact.id);
        let chosen = self.reachability().relays(address, ids, now, &mut *lock(&self.rng));
        let peer = |id: NodeId| {
            let contact = contacts.iter().find(|contact| contact.id == id)?;
            Some(Peer { id, address: contact.peer })
        };
        chosen.into_iter().filter_map(peer).collect()
    }
}

/// Whether the peer that a connection was made through accepts connections.
fn is_peer_ready(roster: &Roster, link: &Link) -> bool {
    link.peer.as_ref().is_some_and(|peer| roster.is_ready(peer))
}
