//! The versions of each service that a node has seen lately.
//!
//! A stream can be taken up until its caller's deadline. If one version alone has served the
//! service for longer than that, all its streams are bound to that version, and nobody needs to
//! remember them.

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

impl Seen {
    /// Whether any stream is certainly bound to the one version that was seen.
    pub fn is_conclusive(&self) -> bool {
        self.covers && matches!(self.versions, Versions::One(_))
    }
}

#[derive(Clone, Debug, Default)]
struct Service {
    /// Each version and when it was last seen.
    versions: SmallVec<[(Version, Instant); 2]>,
    /// Whether versions were dropped because there were too many.
    overflowed: bool,
    /// The longest deadline of the service's callers.
    longest: Duration,
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
    /// in it.
    pub fn observe<'a>(
        &mut self,
        runners: impl Iterator<Item = (&'a ServiceId, &'a Version)>,
        now: Instant,
    ) {
        let since = match self.observed {
            Some((since, last)) if now.saturating_duration_since(last) <= MAX_GAP => since,
            Some(_) | None => now,
        };
        self.observed = Some((since, now));
        for (service, version) in runners {
            self.note(service, version, now);
        }
        self.services.retain(|_, service| {
            service.versions.retain(|(_, at)| now.saturating_duration_since(*at) <= MAX_HORIZON);
            !service.versions.is_empty()
        });
    }

    /// Records that a runner of the version is registered, or has sent a first event.
    pub fn note(&mut self, service: &ServiceId, version: &Version, now: Instant) {
        if !self.services.contains_key(service) {
            if self.services.len() >= MAX_SERVICES {
                return;
            }
            self.services.insert(service.clone(), Service::default());
        }
        let Some(known) = self.services.get_mut(service) else { return };
        if let Some((_, at)) = known.versions.iter_mut().find(|(known, _)| known == version) {
            *at = (*at).max(now);
        } else if known.versions.len() < MAX_VERSIONS {
            known.versions.push((version.clone(), now));
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
        let longest = self.services.get(service).map(|s| s.longest).unwrap_or_default();
        MIN_HORIZON.max(longest + MIN_HORIZON / 2)
    }

    /// What has been seen of a service within `horizon`, or within its own horizon if that is
    /// longer.
    pub fn seen(&self, service: &ServiceId, horizon: Duration, now: Instant) -> Seen {
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
            .filter(|(_, at)| now.saturating_duration_since(*at) <= horizon)
            .map(|(version, _)| version);
        let versions = match (recent.next(), recent.next()) {
            _ if known.overflowed => Versions::Several,
            (None, _) => Versions::None,
            (Some(version), None) => Versions::One(version.clone()),
            (Some(_), Some(_)) => Versions::Several,
        };
        Seen { versions, covers }
    }
}
