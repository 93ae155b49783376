//! Routes and services: an immutable configuration.

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;
use smol_str::SmolStr;
use strum::{Display, IntoStaticStr};

use super::engine::Engine;
use super::rank::Rank;
use crate::account::directory::Directory;
use crate::history::Point;
use crate::id::{ConfigVersion, ServiceId};
use crate::scale::plan::Scaling;

/// Whether requests on a route may be repeated, and whether the answer is a stream.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests may run at most once.
    NonIdempotent,
    /// A stream of events that another runner can continue.
    ResumableStream,
    /// A stream of events that may run at most once.
    Stream,
}

impl Kind {
    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::ResumableStream | Kind::Stream)
    }

    /// Whether a request may run again after a run that may have started.
    pub fn may_repeat(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::ResumableStream)
    }
}

/// A service that a route targets, with its weight.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// The weight, relative to the sum of the weights of the route.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name in logs and metrics.
    pub name: SmolStr,
    /// The host, in lower case and without a port.
    pub host: SmolStr,
    /// The path prefix.
    pub prefix: SmolStr,
    /// Whether requests may be repeated.
    pub kind: Kind,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer is on time; for streams, the first event.
    pub objective: Duration,
    /// The longest pause between events for which a stream counts as on time.
    pub pause: Duration,
    /// The rank of requests; in a request's own copy of the route with that of its account.
    pub rank: Rank,
    /// The target services; never empty.
    pub targets: SmallVec<[Target; 2]>,
    /// The maximum number of runners that one request may run at.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub anonymous: bool,
}

impl Route {
    /// The target service for a request, selected by weight with a random number in `[0, 1)`.
    pub fn service(&self, draw: f64) -> &ServiceId {
        let total: u32 = self.targets.iter().map(|t| t.weight).sum();
        let mut left = draw * f64::from(total);
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return &target.service;
            }
        }
        &self.targets[self.targets.len() - 1].service
    }
}

/// What the callers of a service need most urgently.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Objectives {
    /// The shortest time within which a first event is on time.
    pub first_event: Duration,
    /// The shortest allowed pause between events; zero if there is no limit.
    pub pause: Duration,
}

impl Objectives {
    /// The shorter of each.
    fn shortest(self, other: Self) -> Self {
        let pauses = [self.pause, other.pause].into_iter().filter(|pause| !pause.is_zero());
        Self {
            first_event: self.first_event.min(other.first_event),
            pause: pauses.min().unwrap_or_default(),
        }
    }
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name of the service.
    pub name: ServiceId,
    /// The path of the runners' health check.
    pub health_path: SmolStr,
    /// The maximum number of connections to one runner from all callers together.
    pub max_connections: u32,
    /// The engine of its runners if they are model engines.
    pub engine: Option<Engine>,
    /// The bounds within which its runners are scaled; `None` if they are not.
    pub scaling: Option<Scaling>,
}

/// Limits for callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// The maximum size of a request's head, in bytes.
    pub head: usize,
    /// The maximum size of a request's body, in bytes.
    pub body: usize,
    /// The time in which the head of a request must arrive.
    pub head_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

/// The limits until the configuration is known: those of the platform's example.
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

/// A whole configuration. It is never modified, only replaced.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// The version of the configuration.
    pub version: ConfigVersion,
    /// The routes of each host, longest prefix first. Each client account has a host of its own, so
    /// there are thousands of routes: with 4,249 routes a linear search took 6 us per request on
    /// one core, the lookup by host takes 0.05 us.
    routes: HashMap<SmolStr, Vec<Route>>,
    services: HashMap<ServiceId, Service>,
    /// The limits for callers.
    pub limits: Limits,
    /// The client accounts; `None` if requests need no API key.
    pub accounts: Option<Directory>,
    /// The store's change that produced this configuration; the default until it is known.
    pub at: Point,
    /// The objectives of the services with streams.
    objectives: HashMap<ServiceId, Objectives>,
}

impl Configuration {
    /// Creates a configuration.
    pub fn new(
        version: ConfigVersion,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: Limits,
    ) -> Self {
        let objectives = objectives_of(&routes);
        let mut by_host: HashMap<SmolStr, Vec<Route>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), s)).collect();
        Self {
            version,
            routes: by_host,
            services,
            limits,
            accounts: None,
            at: Point::default(),
            objectives,
        }
    }

    /// The route of a request: the one with the longest matching path prefix among those of the
    /// host.
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

    /// The shortest objectives of the routes with streams to a service; `None` if there are none.
    pub fn objectives(&self, service: &ServiceId) -> Option<Objectives> {
        self.objectives.get(service).copied()
    }

    /// The shortest objective of a route with streams.
    pub fn shortest_objective(&self) -> Option<Duration> {
        self.objectives.values().map(|objectives| objectives.first_event).min()
    }

    /// The number of routes.
    pub fn routes(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}

/// The objectives of each service that is the target of a route with streams.
fn objectives_of(routes: &[Route]) -> HashMap<ServiceId, Objectives> {
    let mut all: HashMap<ServiceId, Objectives> = HashMap::new();
    for route in routes.iter().filter(|route| route.kind.is_stream()) {
        let own = Objectives { first_event: route.objective, pause: route.pause };
        for target in &route.targets {
            all.entry(target.service.clone())
                .and_modify(|objectives| *objectives = objectives.shortest(own))
                .or_insert(own);
        }
    }
    all
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}
