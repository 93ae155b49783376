//! Whether this node reaches no runner at all.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

/// How long a timeout counts.
const PERIOD: Duration = Duration::from_secs(5);
/// The number of runners whose connects must have timed out: one or two may be down together.
const MIN_RUNNERS: usize = 3;

/// The connects that have timed out since a runner was last reached.
#[derive(Clone, Debug, Default)]
pub(super) struct Isolation {
    reached_at: Option<Instant>,
    /// The last timeout of each runner, the oldest first.
    timeouts: SmallVec<[(SocketAddr, Instant); MIN_RUNNERS]>,
}

impl Isolation {
    /// Records that a runner was reached, directly or through a peer.
    pub(super) fn note_reached(&mut self, now: Instant) {
        self.reached_at = Some(now);
        self.timeouts.clear();
    }

    /// Records that an attempt to connect that began at `since` has timed out.
    pub(super) fn note_timed_out(&mut self, address: SocketAddr, since: Instant, now: Instant) {
        if self.reached_at > Some(since) {
            return;
        }
        self.timeouts.retain(|(other, _)| *other != address);
        if self.timeouts.len() >= MIN_RUNNERS {
            self.timeouts.remove(0);
        }
        self.timeouts.push((address, now));
    }

    pub(super) fn is_isolated(&self, now: Instant) -> bool {
        self.timeouts.iter().filter(|(_, at)| now < *at + PERIOD).count() >= MIN_RUNNERS
    }
}
