//! Which peers to ask for a connection to a runner.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::{Rng, RngExt as _};
use smallvec::SmallVec;

use super::dial::MAX_RELAYS;
use crate::id::NodeId;

/// How long the result of asking a peer is remembered.
const RETENTION: Duration = Duration::from_secs(5);
/// The maximum number of peers that are remembered to have failed for one runner.
const MAX_FAILED: usize = 16;

/// The number of peers that must fail for a runner before it counts as unreachable for all.
const ENOUGH_FAILED: usize = 8;

/// What the results of asking a peer say of the next time, the best first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Prospect {
    /// It was the last to reach this runner.
    Best,
    /// It has reached a runner.
    Good,
    Unknown,
    /// It has failed for another runner.
    Poor,
    /// It has failed for this runner. The one that has failed least recently may reach it by now.
    Bad {
        failed_at: Instant,
    },
}

#[derive(Clone, Copy, Debug)]
struct Last {
    is_failure: bool,
    at: Instant,
}

/// The results of asking peers.
#[derive(Clone, Debug, Default)]
pub(super) struct Peers {
    last: HashMap<NodeId, Last>,
    /// The peer that last reached each runner.
    reached: HashMap<SocketAddr, (NodeId, Instant)>,
    failed: HashMap<SocketAddr, SmallVec<[(NodeId, Instant); 2]>>,
}

impl Peers {
    pub(super) fn note_relayed(&mut self, peer: &NodeId, address: SocketAddr, now: Instant) {
        self.last.insert(peer.clone(), Last { is_failure: false, at: now });
        self.reached.insert(address, (peer.clone(), now));
        if let Some(failed) = self.failed.get_mut(&address) {
            failed.retain(|(id, _)| id != peer);
        }
    }

    pub(super) fn note_failed(&mut self, peer: &NodeId, address: SocketAddr, now: Instant) {
        self.last.insert(peer.clone(), Last { is_failure: true, at: now });
        if self.reached.get(&address).is_some_and(|(id, _)| id == peer) {
            self.reached.remove(&address);
        }
        let failed = self.failed.entry(address).or_default();
        failed.retain(|(id, _)| id != peer);
        if failed.len() >= MAX_FAILED {
            failed.remove(0);
        }
        failed.push((peer.clone(), now));
    }

    /// The first peer is any without a failure, so that the load is spread; the second has reached
    /// a runner if possible.
    pub(super) fn choose<'a, R: Rng>(
        &self,
        address: SocketAddr,
        candidates: impl Iterator<Item = &'a NodeId>,
        now: Instant,
        rng: &mut R,
    ) -> SmallVec<[NodeId; MAX_RELAYS]> {
        let mut ranked: Vec<(Prospect, u64, &NodeId)> =
            candidates.map(|id| (self.prospect(id, address, now), rng.random(), id)).collect();
        let mut chosen = SmallVec::new();
        let rank = |(prospect, draw, _): &(Prospect, u64, _)| (*prospect, *draw);
        let first = |peer: &(Prospect, u64, _)| (peer.0.max(Prospect::Unknown), peer.1);
        if let Some(index) = (0..ranked.len()).min_by_key(|index| first(&ranked[*index])) {
            chosen.push(ranked.swap_remove(index).2.clone());
        }
        while chosen.len() < MAX_RELAYS {
            let next = (0..ranked.len()).min_by_key(|index| rank(&ranked[*index]));
            let Some(index) = next else { break };
            chosen.push(ranked.swap_remove(index).2.clone());
        }
        chosen
    }

    /// Whether another peer may reach a runner that some have failed to reach.
    pub(super) fn has_more<'a>(
        &self,
        address: SocketAddr,
        mut candidates: impl Iterator<Item = &'a NodeId>,
        now: Instant,
    ) -> bool {
        let failed = self.failed(address, now);
        failed.clone().count() < ENOUGH_FAILED
            && candidates.any(|peer| failed.clone().all(|(failed, _)| failed != peer))
    }

    /// The peers that have recently failed for a runner.
    fn failed(
        &self,
        address: SocketAddr,
        now: Instant,
    ) -> impl Iterator<Item = &(NodeId, Instant)> + Clone {
        let failed = self.failed.get(&address).into_iter().flatten();
        failed.filter(move |(_, at)| now < *at + RETENTION)
    }

    fn prospect(&self, peer: &NodeId, address: SocketAddr, now: Instant) -> Prospect {
        let failed = self.failed(address, now).find(|(failed, _)| failed == peer);
        if let Some((_, failed_at)) = failed {
            return Prospect::Bad { failed_at: *failed_at };
        }
        let reached = self.reached.get(&address).filter(|(_, at)| now < *at + RETENTION);
        if reached.is_some_and(|(reached, _)| reached == peer) {
            return Prospect::Best;
        }
        match self.last.get(peer).filter(|last| now < last.at + RETENTION) {
            Some(last) if last.is_failure => Prospect::Poor,
            Some(_) => Prospect::Good,
            None => Prospect::Unknown,
        }
    }

    pub(super) fn retain(&mut self, wanted: impl Fn(&SocketAddr) -> bool, now: Instant) {
        let is_recent = |at: Instant| now < at + RETENTION;
        self.last.retain(|_, last| is_recent(last.at));
        self.reached.retain(|address, (_, at)| wanted(address) && is_recent(*at));
        self.failed.retain(|address, failed| {
            failed.retain(|(_, at)| is_recent(*at));
            wanted(address) && !failed.is_empty()
        });
    }
}
