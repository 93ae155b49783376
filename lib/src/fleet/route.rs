//! Routes and services, as one immutable configuration.

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;
use smol_str::SmolStr;
use strum::{Display, IntoStaticStr};

use super::engine::Engine;
use crate::account::directory::Directory;
use crate::history::Point;
use crate::id::{ConfigVersion, ServiceId};
use crate::scale::plan::Scaling;

/// What may be repeated of a request on a route, and what its answer looks like.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// May run once at the most.
    NonIdempotent,
    /// A stream of events that may be gone on with at another runner.
    ResumableStream,
    /// A stream of events that may run once at the most.
    Stream,
}

impl Kind {
    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::ResumableStream | Kind::Stream)
    }

    /// Whether a request may run again after a run that may have begun.
    pub fn may_repeat(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::ResumableStream)
    }
}

/// A service that a route leads to, with its share.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Its share, against the sum of all shares of the route.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name in logs and metrics.
    pub name: SmolStr,
    /// The host it serves, without a port, in lower case.
    pub host: SmolStr,
    /// The start of the paths it serves.
    pub prefix: SmolStr,
    /// What may be repeated.
    pub kind: Kind,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer is on time; for streams, the first event.
    pub objective: Duration,
    /// The longest pause between events for which a stream is on time.
    pub pause: Duration,
    /// Its rank, 0 the highest.
    pub rank: u8,
    /// Where it leads; never empty.
    pub targets: SmallVec<[Target; 2]>,
    /// How many runners one request may run at.
    pub most_attempts: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
}

impl Route {
    /// The service for a request, by a draw from 0 (inclusive) to 1 (exclusive).
    pub fn service(&self, draw: f64) -> &ServiceId {
        let whole: u32 = self.targets.iter().map(|t| t.weight).sum();
        let mut left = draw * f64::from(whole);
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return &target.service;
            }
        }
        &self.targets[self.targets.len() - 1].service
    }
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceId,
    /// The path of its runners' health check.
    pub health_path: SmolStr,
    /// How many connections one of its runners takes from all callers together.
    pub most_connections: u32,
    /// What its runners are if they are model engines.
    pub engine: Option<Engine>,
    /// Within which bounds its runners are ordered; none where they are not.
    pub scaling: Option<Scaling>,
}

/// What callers may send and how long they may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// The largest head of a request, in bytes.
    pub head: usize,
    /// The largest body of a request, in bytes.
    pub body: usize,
    /// How long the head of a request may take.
    pub head_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

/// Limits until the configuration tells others: those of the platform's example.
impl Default for Limits {
    fn default() -> Self {
        Self {
            head: 16 << 10,
            body: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A whole configuration. It is replaced as a whole and never changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Its version.
    pub version: ConfigVersion,
    /// The routes of each host, those with the longest prefixes first. A client account has a host of
    /// its own, so there are thousands: looked through one by one, 4,249 routes took 6 us a
    /// request on one core, by their host they take 0.05.
    routes: HashMap<SmolStr, Vec<Route>>,
    services: HashMap<ServiceId, Service>,
    /// The limits for callers.
    pub limits: Limits,
    /// The client accounts; none where requests need no key.
    pub accounts: Option<Directory>,
    /// The change of the store that made it; none until it is known.
    pub at: Point,
}

impl Configuration {
    /// A configuration of these parts.
    pub fn new(
        version: ConfigVersion,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: Limits,
    ) -> Self {
        let mut by_host: HashMap<SmolStr, Vec<Route>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), s)).collect();
        Self { version, routes: by_host, services, limits, accounts: None, at: Point::default() }
    }

    /// The route of a request: of those of its host, the one with the longest prefix of its path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = without_port(host);
        let routes = if host.bytes().any(|b| b.is_ascii_uppercase()) {
            self.routes.get(host.to_ascii_lowercase().as_str())
        } else {
            self.routes.get(host)
        };
        routes?.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// A service.
    pub fn service(&self, name: &ServiceId) -> Option<&Service> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// How many routes there are.
    pub fn routes(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}
