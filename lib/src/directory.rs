//! The answer to clients that look up addresses.

use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, RngExt as _};
use smallvec::SmallVec;

use crate::id::Name;

/// How long clients may cache an answer. A leaving node accepts clients for this long after it is
/// no longer part of answers.
pub const VALIDITY: Duration = Duration::from_secs(20);

/// How many addresses an answer has.
pub const ADDRESSES_PER_ANSWER: usize = 3;

/// A node that clients can use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClientEndpoint {
    /// The node.
    pub name: Name,
    /// Its address for clients.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Name,
    /// The number of its requests, as last reported.
    pub load: u32,
}

/// Selects addresses for a client. Nodes in the client's data centre come first. Each address is
/// the less loaded of two random nodes, which spreads clients that ask in the same second although
/// the loads are delayed.
pub fn pick_addresses<R: Rng>(
    fronts: &[ClientEndpoint],
    data_centre: Option<&Name>,
    rng: &mut R,
) -> SmallVec<[SocketAddr; ADDRESSES_PER_ANSWER]> {
    let near = |f: &&ClientEndpoint| Some(&f.data_centre) == data_centre;
    let mut pool: Vec<&ClientEndpoint> = fronts.iter().filter(near).collect();
    let mut rest: Vec<&ClientEndpoint> = fronts.iter().filter(|f| !near(f)).collect();
    let mut picked = SmallVec::new();
    while picked.len() < ADDRESSES_PER_ANSWER {
        if pool.is_empty() {
            std::mem::swap(&mut pool, &mut rest);
        }
        if pool.is_empty() {
            break;
        }
        let a = rng.random_range(0..pool.len());
        let b = rng.random_range(0..pool.len());
        let at = if pool[a].load <= pool[b].load { a } else { b };
        picked.push(pool.swap_remove(at).address);
    }
    picked
}
