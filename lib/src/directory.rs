//! The answer to callers that ask which addresses to use.

use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, RngExt as _};
use smallvec::SmallVec;

use crate::id::Name;

/// How long callers may keep an answer. A node that leaves goes on taking callers for this long
/// after it is out of the answers.
pub const VALIDITY: Duration = Duration::from_secs(20);

/// How many addresses an answer has.
pub const ADDRESSES_PER_ANSWER: usize = 3;

/// A node as callers can use it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClientEndpoint {
    /// The node.
    pub name: Name,
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Name,
    /// How many requests it has, as last heard.
    pub load: u32,
}

/// Picks addresses for a caller. Nodes of the caller's data centre come first; among equals the
/// better of two drawn at random wins, so that callers that ask in the same second are spread out
/// even though the loads are late.
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
