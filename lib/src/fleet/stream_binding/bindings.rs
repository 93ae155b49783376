//! What one node knows of the bindings of streams.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::history::{History, Seen};
use super::memory::{Added, Memory};
use super::{Binding, StreamKey};
use crate::fleet::version::Version;
use crate::id::ServiceId;

/// The maximum number of bindings that wait for a second version to appear; the oldest are dropped
/// first.
const MAX_UNSHARED: usize = 4_096;
/// The longest time for which a binding is remembered.
const MAX_LIFETIME: Duration = Duration::from_secs(600);

/// A binding, and from when until when it is of use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Bound {
    /// The stream.
    pub stream: StreamKey,
    /// What it is bound to.
    pub binding: Binding,
    /// When it was bound.
    pub since: Instant,
    /// Until when the stream can be taken up.
    pub until: Instant,
}

/// What a node knows of a stream's binding.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Known {
    /// What it is bound to, and for how long it has been.
    Bound(Binding, Duration),
    /// The node has no binding for the stream; the versions of the service that it has seen.
    Unbound(Seen),
}

/// The bindings that one node knows, and the versions that it has seen.
#[derive(Clone, Debug, Default)]
pub struct Bindings {
    history: History,
    memory: Memory,
    /// Bindings that were not sent to other nodes because one version served alone.
    unshared: VecDeque<Bound>,
}

impl Bindings {
    /// Records the versions of the registered runners. To be called several times a second.
    pub fn observe<'a>(
        &mut self,
        runners: impl Iterator<Item = (&'a ServiceId, &'a Version)>,
        now: Instant,
    ) {
        self.history.observe(runners, now);
    }

    /// The number of bindings that are remembered.
    pub fn len(&self) -> usize {
        self.memory.len()
    }

    /// Whether no binding is remembered.
    pub fn is_empty(&self) -> bool {
        self.memory.is_empty()
    }

    /// Records that a stream of this node is bound from now on. Streams of its route can be taken
    /// up for `lifetime` after they began, or longer if its own deadline is later. Returns whether
    /// to send the binding to other nodes now.
    pub fn bind(&mut self, bound: Bound, lifetime: Duration, now: Instant) -> (Added, bool) {
        let bound = Bound { until: bound.until.min(now + MAX_LIFETIME), ..bound };
        let Binding { service, version } = &bound.binding;
        self.history.note(service, version, now);
        let left = bound.until.saturating_duration_since(now);
        self.history.note_deadline(service, left.max(lifetime));
        let is_shared = !self.history.is_conclusive(service, now);
        let added = self.remember(bound.clone(), now);
        if !is_shared {
            while self.unshared.front().is_some_and(|first| first.until <= now)
                || self.unshared.len() >= MAX_UNSHARED
            {
                self.unshared.pop_front();
            }
            self.unshared.push_back(bound);
        }
        (added, is_shared)
    }

    /// Takes the bindings that were not sent to other nodes and must be now, as another version of
    /// their service has appeared.
    pub fn take_due(&mut self, now: Instant) -> VecDeque<Bound> {
        let history = &self.history;
        let is_due = |bound: &Bound| !history.is_conclusive(&bound.binding.service, now);
        let unended = self.unshared.drain(..).filter(|bound| now < bound.until);
        let (due, rest) = unended.partition(is_due);
        self.unshared = rest;
        due
    }

    /// Remembers a binding.
    pub fn remember(&mut self, bound: Bound, now: Instant) -> Added {
        let until = bound.until.min(now + MAX_LIFETIME);
        self.memory.add(bound.stream, bound.binding, bound.since, until, now)
    }

    /// What is known of a stream's binding. `service` is the service that it belongs to if it has
    /// no binding; `None` if there are several. It may be as old as `horizon`, or older if callers
    /// of the service have had longer deadlines.
    pub fn find(
        &self,
        stream: StreamKey,
        service: Option<&ServiceId>,
        horizon: Duration,
        now: Instant,
    ) -> Known {
        if let Some((binding, age)) = self.memory.get(stream, now) {
            return Known::Bound(binding.clone(), age);
        }
        let seen = service.map(|service| self.history.seen(service, horizon, now));
        Known::Unbound(seen.unwrap_or_default())
    }

    /// The longest time for which a stream of a service can be taken up.
    pub fn horizon(&self, service: &ServiceId) -> Duration {
        self.history.horizon(service)
    }
}
