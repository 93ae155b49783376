//! The planned stop of a node: until when it accepts connections, serves requests, and exists.
//!
//! Callers cache look-up answers, so requests arrive for a while after a node has begun to stop. The
//! node accepts those that it can serve whole in the rest of its grace period, and refuses the others
//! at once, so that their callers use another node. At the end of service, each request whose response
//! has not begun gets a refusal; the rest of the grace period is for sending it.

use std::time::{Duration, Instant};

/// The longest time for which callers may cache a look-up answer.
const MAX_LOOKUP_TTL: Duration = Duration::from_secs(1);
/// The number of such times in a grace period, at least.
const TTLS_PER_GRACE: u32 = 8;
/// How many such times a stopping node accepts streams by the time that others took. Some callers
/// cache an answer three times as long as they may; a tenth less leaves room for a signal that is
/// handled late.
const TTLS_OF_ESTIMATES: f64 = 2.7;
/// How many such times a stopping node accepts connections: until no caller has a cached answer, and
/// some more for connections on their way.
const TTLS_UNTIL_CLOSE: f64 = 3.36;
/// The fraction of the grace period after which service ends.
const SERVICE_FRACTION: f64 = 0.93;
/// The fraction of the grace period after which responses that are still being sent are cut.
const ABORT_FRACTION: f64 = 0.96;
/// The fraction of the grace period after which the node exits although its usage counts are not
/// acknowledged.
const EXIT_FRACTION: f64 = 0.98;
/// How many times as long as recent requests of its route a request may take.
const DURATION_MARGIN: u32 = 2;

/// How long callers may cache a look-up answer of nodes with this grace period, if the platform
/// allows `max`.
pub fn lookup_ttl(grace: Duration, max: Duration) -> Duration {
    MAX_LOOKUP_TTL.min(max).min(grace / TTLS_PER_GRACE)
}

/// What a stopping node knows of a request before it accepts it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Claim {
    /// The time until its deadline.
    pub allowed: Duration,
    /// The longest time that a request of its route is expected to take, by recent ones; `None` if
    /// nothing is known.
    pub longest: Option<Duration>,
    /// Whether the head of its response is sent before the rest is known.
    pub is_stream: bool,
}

/// The times of a planned stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Schedule {
    began: Instant,
    grace: Duration,
    lookup_ttl: Duration,
}

impl Schedule {
    /// The times of a stop that begins at `began`. The node is killed after `grace`; callers cache its
    /// look-up answers for `lookup_ttl`.
    pub fn new(began: Instant, grace: Duration, lookup_ttl: Duration) -> Self {
        Self { began, grace, lookup_ttl }
    }

    /// When the stop began.
    pub fn began(&self) -> Instant {
        self.began
    }

    /// When the node closes its listener, and connections as they become idle.
    pub fn close(&self) -> Instant {
        self.began + self.lookup_ttl.mul_f64(TTLS_UNTIL_CLOSE)
    }

    /// The deadline of all requests.
    pub fn service_end(&self) -> Instant {
        self.began + self.grace.mul_f64(SERVICE_FRACTION)
    }

    /// By when a handler has responded that was still busy at the end of service.
    pub fn response_due(&self) -> Instant {
        self.service_end() + self.abort().duration_since(self.service_end()) / 2
    }

    /// When responses that are still being sent are cut.
    pub fn abort(&self) -> Instant {
        self.began + self.grace.mul_f64(ABORT_FRACTION)
    }

    /// When the node exits at the latest.
    pub fn exit(&self) -> Instant {
        self.began + self.grace.mul_f64(EXIT_FRACTION)
    }

    /// Whether a request that arrives now can be served whole.
    ///
    /// Its deadline, or else the time that others took, has to be within the service time. A stream
    /// whose head has been sent can only be cut at the end of service, so once no caller should come
    /// any more, what others took is not enough for it.
    pub fn accepts(&self, claim: &Claim, now: Instant) -> bool {
        let left = self.service_end().saturating_duration_since(now);
        if claim.allowed <= left {
            return true;
        }
        let is_expected = now < self.began + self.lookup_ttl.mul_f64(TTLS_OF_ESTIMATES);
        let may_estimate = is_expected || !claim.is_stream;
        may_estimate && claim.longest.is_some_and(|longest| longest * DURATION_MARGIN <= left)
    }
}

/// The window of [`Durations`].
const DURATION_WINDOW: Duration = Duration::from_secs(10);

/// The longest time that recent requests took: of the current window and the one before.
#[derive(Clone, Copy, Debug, Default)]
pub struct Durations {
    current: Option<(Instant, Duration)>,
    previous: Option<Duration>,
}

impl Durations {
    /// Records that a request took `took`.
    pub fn note(&mut self, took: Duration, now: Instant) {
        self.current = Some(match self.current {
            Some((began, longest)) if now < began + DURATION_WINDOW => (began, longest.max(took)),
            _ => {
                self.previous = self.longest(now);
                (now, took)
            }
        });
    }

    /// The longest time; `None` if no request has ended within two windows.
    pub fn longest(&self, now: Instant) -> Option<Duration> {
        let (began, longest) = self.current?;
        let age = now.saturating_duration_since(began);
        if age < DURATION_WINDOW {
            return Some(longest).max(self.previous);
        }
        (age < 2 * DURATION_WINDOW).then_some(longest)
    }
}
