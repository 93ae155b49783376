//! Which connection is closed so that another one can be opened.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use super::State;

/// How long a connection must have been without progress to be closed for another one.
pub const MIN_EVICTION_AGE: Duration = Duration::from_secs(1);

/// An open connection.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Its number.
    pub number: u64,
    /// The address of its caller.
    pub address: IpAddr,
    /// What it is doing.
    pub state: State,
}

/// Chooses the connection that is closed: of the caller with the most connections, the one that has
/// been idle, or without progress, for the longest. A connection with a request in progress is not
/// closed unless its caller does not read.
pub fn choose(candidates: &[Candidate], now: Instant) -> Option<u64> {
    let mut counts: HashMap<IpAddr, usize> = HashMap::new();
    for candidate in candidates {
        *counts.entry(candidate.address).or_default() += 1;
    }
    let age = |candidate: &Candidate| {
        let since = candidate.state.since()?;
        let age = now.saturating_duration_since(since);
        (age >= MIN_EVICTION_AGE).then_some(age)
    };
    let eligible = candidates.iter().filter_map(|candidate| {
        let count = counts.get(&candidate.address).copied().unwrap_or(0);
        Some((count, age(candidate)?, candidate.number))
    });
    eligible.max().map(|(_, _, number)| number)
}
