//! The direct path from this node to one runner.

use std::time::{Duration, Instant};

use super::Path;

/// How long this node connects to a runner for no peer after it has failed to connect itself.
const REFUSAL_PERIOD: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, Default)]
struct Closed {
    probed_at: Option<Instant>,
    has_failed_probe: bool,
}

/// What is known of a direct path.
#[derive(Clone, Debug, Default)]
pub(super) struct DirectPath {
    closed: Option<Closed>,
    /// When the path was last found to be interrupted, or was assumed to have healed.
    doubted_at: Option<Instant>,
    /// When a direct connection was last established or has delivered data.
    verified_at: Option<Instant>,
    failed_at: Option<Instant>,
    /// When a direct connection was last established.
    connected_at: Option<Instant>,
    /// When a peer last reached the runner.
    relayed_at: Option<Instant>,
    /// When neither this node nor a peer reached the runner.
    pub(super) unreachable_at: Option<Instant>,
}

impl DirectPath {
    pub(super) fn state(&self, suspected_at: Option<Instant>) -> Path {
        if self.is_closed() {
            Path::Closed
        } else if self.verified_at < self.doubted_at.max(suspected_at) {
            Path::Unverified
        } else {
            Path::Open
        }
    }

    pub(super) fn is_closed(&self) -> bool {
        self.closed.is_some()
    }

    pub(super) fn doubted_at(&self) -> Option<Instant> {
        self.doubted_at
    }

    pub(super) fn probed_at(&self) -> Option<Instant> {
        self.closed.and_then(|closed| closed.probed_at)
    }

    pub(super) fn may_relay(&self, now: Instant) -> bool {
        !self.is_closed() && self.failed_at.is_none_or(|at| now >= at + REFUSAL_PERIOD)
    }

    /// Returns whether the path was closed.
    pub(super) fn note_connected(&mut self, now: Instant) -> bool {
        (self.verified_at, self.connected_at) = (Some(now), Some(now));
        (self.failed_at, self.unreachable_at) = (None, None);
        self.closed.take().is_some()
    }

    pub(super) fn note_received(&mut self, now: Instant) {
        self.verified_at = Some(now);
    }

    pub(super) fn note_silent(&mut self, now: Instant) {
        self.doubted_at = Some(now);
    }

    pub(super) fn note_failed(&mut self, now: Instant) {
        self.failed_at = Some(now);
    }

    pub(super) fn note_relayed(&mut self, now: Instant) {
        (self.relayed_at, self.unreachable_at) = (Some(now), None);
    }

    /// Closes the path, as a connect that began at `since` did not succeed. Returns whether it was
    /// open.
    pub(super) fn close(&mut self, since: Instant, now: Instant) -> bool {
        if self.is_closed() || self.connected_at > Some(since) {
            return false;
        }
        (self.closed, self.doubted_at) = (Some(Closed::default()), Some(now));
        self.failed_at = Some(now);
        true
    }

    /// Makes a closed path unverified.
    pub(super) fn release(&mut self, now: Instant) {
        if self.closed.take().is_some() {
            self.doubted_at = Some(now);
        }
    }

    /// Records that the runner was not reached by an attempt that began at `since`.
    pub(super) fn note_unreachable(&mut self, since: Instant, now: Instant) {
        if self.connected_at.max(self.relayed_at) > Some(since) {
            return;
        }
        self.release(now);
        (self.failed_at, self.unreachable_at) = (Some(now), Some(now));
    }

    pub(super) fn note_probed(&mut self, now: Instant) {
        if let Some(closed) = &mut self.closed {
            closed.probed_at = Some(now);
        }
    }

    /// Returns whether it is the first probe to fail since the path was closed.
    pub(super) fn note_probe_failed(&mut self, now: Instant) -> bool {
        self.failed_at = Some(now);
        let closed = self.closed.as_mut();
        closed.is_some_and(|closed| !std::mem::replace(&mut closed.has_failed_probe, true))
    }
}
