//! The versions of each service that a node has seen lately.
//!
//! A stream can be taken up until its caller's deadline. If one version alone has served the
//! service for longer than that, all its streams are bound to that version, and nobody needs to
//! remember them.
//!
//! No node uses a version as soon as it appears ([`NEW_VERSION_DELAY`]), and it counts here only
//! half of that time later. Meanwhile the nodes that began streams hear of it too, and share the
//! bindings that they kept to themselves.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::fleet::version::Version;
use crate::id::ServiceId;

/// The minimum age from which a stream is taken to have ended. A runner whose entry has been
/// removed delivers first events for some seconds more.
const MIN_HORIZON: Duration = Duration::from_secs(10);
/// The age up to which versions are remembered, and the longest deadline that is taken into
/// account.
const MAX_HORIZON: Duration = Duration::from_secs(600);
/// The time between two observations beyond which versions may have been missed between them, as
/// when the machine was suspended.
const MAX_GAP: Duration = Duration::from_secs(3);
/// How long no new stream is begun at a version that has appeared beside another.
pub const NEW_VERSION_DELAY: Duration = Duration::from_millis(1_600);
/// After which time it counts as seen. Nodes hear of a new version within the other half.
const COUNTED_AFTER: Duration = Duration::from_millis(800);
/// The maximum number of versions that are remembered of one service, and of services.
const MAX_VERSIONS: usize = 16;
const MAX_SERVICES: usize = 1_024;

/// The versions of a service that a node has seen.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Versions {
    /// None.
    #[default]
    None,
    /// Only this one.
    One(Version),
    /// More than one.
    Several,
}

/// What a node has seen of a service's versions since before any stream can have begun that is
/// still of use.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Seen {
    /// The versions.
    pub versions: Versions,
    /// Whether the node has observed the whole time.
    pub covers: bool,
}

#[derive(Clone, Debug)]
struct Sighting {
    version: Version,
    /// From when on it counts.
    counts_from: Instant,
    last: Instant,
}

#[derive(Clone, Debug, Default)]
struct Service {
    versions: SmallVec<[Sighting; 2]>,
    /// Whether versions were dropped because there were too many.
    overflowed: bool,
    /// The longest deadline of the service's callers.
    longest: Duration,
}

impl Service {
    fn horizon(&self) -> Duration {
        horizon_of(self.longest)
    }
}

/// The age from which streams are taken to have ended that can be taken up for `lifetime` after
/// they began.
pub fn horizon_of(lifetime: Duration) -> Duration {
    MIN_HORIZON.max(lifetime.saturating_add(MIN_HORIZON / 2))
}

/// The versions that a node has seen.
#[derive(Clone, Debug, Default)]
pub struct History {
    services: HashMap<ServiceId, Service>,
    /// Since when all versions have been observed, and the last observation.
    observed: Option<(Instant, Instant)>,
}

impl History {
    /// Records that the node has a register of runners at `now`, and the versions of the runners
    /// in it. Without runners nothing is recorded: the register may not have been read yet.
    pub fn observe<'a>(
        &mut self,
        runners: impl Iterator<Item = (&'a ServiceId, &'a Version)>,
        now: Instant,
    ) {
        let mut runners = runners.peekable();
        if runners.peek().is_none() {
            return;
        }
        let since = match self.observed {
            Some((since, last)) if now.saturating_duration_since(last) <= MAX_GAP => since,
            Some(_) | None => now,
        };
        // What is there at first may have been used for long by others.
        let delay = if since == now { Duration::ZERO } else { COUNTED_AFTER };
        self.observed = Some((since, now));
        for (service, version) in runners {
            self.note_from(service, version, now + delay, now);
        }
        self.services.retain(|_, service| {
            service.versions.retain(|seen| now.saturating_duration_since(seen.last) <= MAX_HORIZON);
            !service.versions.is_empty()
        });
    }

    /// Records that a runner of the version has sent a first event.
    pub fn note(&mut self, service: &ServiceId, version: &Version, now: Instant) {
        self.note_from(service, version, now, now);
    }

    fn note_from(
        &mut self,
        service: &ServiceId,
        version: &Version,
        counts_from: Instant,
        now: Instant,
    ) {
        if !self.services.contains_key(service) {
            if self.services.len() >= MAX_SERVICES {
                return;
            }
            self.services.insert(service.clone(), Service::default());
        }
        let Some(known) = self.services.get_mut(service) else { return };
        let horizon = known.horizon();
        if let Some(seen) = known.versions.iter_mut().find(|seen| seen.version == *version) {
            let was_away = now.saturating_duration_since(seen.last) > horizon;
            let before = if was_away { counts_from } else { seen.counts_from };
            seen.counts_from = before.min(counts_from);
            seen.last = seen.last.max(now);
        } else if known.versions.len() < MAX_VERSIONS {
            // The first version of a service may be used at once.
            let counts_from = if known.versions.is_empty() { now } else { counts_from };
            known.versions.push(Sighting { version: version.clone(), counts_from, last: now });
        } else {
            known.overflowed = true;
        }
    }

    /// Records the deadline of a caller of the service.
    pub fn note_deadline(&mut self, service: &ServiceId, deadline: Duration) {
        if let Some(service) = self.services.get_mut(service) {
            service.longest = service.longest.max(deadline.min(MAX_HORIZON));
        }
    }

    /// The longest time for which a stream of the service can be taken up.
    pub fn horizon(&self, service: &ServiceId) -> Duration {
        self.services.get(service).map_or(MIN_HORIZON, Service::horizon)
    }

    /// Whether all streams of a service are certainly bound to one version, and no other has
    /// appeared yet. This takes twice the horizon: other nodes may have seen a version, in a first
    /// event, for longer than it was registered.
    pub fn is_conclusive(&self, service: &ServiceId, now: Instant) -> bool {
        let horizon = self.horizon(service) * 2;
        let Seen { versions, covers } = self.seen_until(service, horizon, None, now);
        covers && matches!(versions, Versions::One(_))
    }

    /// What has been seen of a service within `horizon`, or within its own horizon if that is
    /// longer.
    pub fn seen(&self, service: &ServiceId, horizon: Duration, now: Instant) -> Seen {
        self.seen_until(service, horizon, Some(now), now)
    }

    /// What has been seen, of versions that count by `counted`, or of all.
    fn seen_until(
        &self,
        service: &ServiceId,
        horizon: Duration,
        counted: Option<Instant>,
        now: Instant,
    ) -> Seen {
        let horizon = horizon.max(self.horizon(service)).min(MAX_HORIZON);
        let covers = self.observed.is_some_and(|(since, last)| {
            now.saturating_duration_since(since) >= horizon
                && now.saturating_duration_since(last) <= MAX_GAP
        });
        let Some(known) = self.services.get(service) else {
            return Seen { versions: Versions::None, covers };
        };
        let mut recent = known
            .versions
            .iter()
            .filter(|seen| now.saturating_duration_since(seen.last) <= horizon)
            .filter(|seen| counted.is_none_or(|at| seen.counts_from <= at))
            .map(|seen| &seen.version);
        let versions = match (recent.next(), recent.next()) {
            _ if known.overflowed => Versions::Several,
            (None, _) => Versions::None,
            (Some(version), None) => Versions::One(version.clone()),
            (Some(_), Some(_)) => Versions::Several,
        };
        Seen { versions, covers }
    }
}
