//! Rate limits announced by runners: the requests per second that a runner accepts from all nodes
//! together.
//!
//! For each runner, one node grants permits from a token bucket, and the other nodes acquire a
//! permit for each request. A runner announces its limit in answers, to this node or another; the
//! latest announcement applies.

use std::collections::VecDeque;
use std::fmt;
use std::str::FromStr;
use std::time::{Duration, Instant};

use serde::{Serialize, Serializer};

use super::runner::Tag;
use crate::decimal::{self, DecimalError};

/// A rate in requests per second.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rate(f64);

/// The minimum rate, in requests per second. A runner that announces less still gets an occasional
/// request, as only its answers show that the limit is over.
const MIN_RATE: f64 = 0.25;
/// The maximum rate, in requests per second; more than any runner serves.
const MAX_RATE: f64 = 1e6;

impl Rate {
    /// Creates a rate, clamped to the supported range. Returns `None` if `per_second` is negative
    /// or not a number.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second >= 0.0).then(|| Self(per_second.clamp(MIN_RATE, MAX_RATE)))
    }

    /// The rate in requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl FromStr for Rate {
    type Err = DecimalError;

    fn from_str(text: &str) -> Result<Self, DecimalError> {
        let per_second = decimal::read(text)?;
        Rate::new(per_second).ok_or_else(|| DecimalError::NotANumber(text.to_owned()))
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl Serialize for Rate {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_f64(self.0)
    }
}

/// A token bucket.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    at: Instant,
}

/// The capacity of a bucket: a number of tokens, plus a number of seconds at its rate.
const BUCKET_CAPACITY: (f64, f64) = (1.0, 0.25);

impl Bucket {
    /// Creates an empty bucket: a node that starts to grant permits does not know what the previous
    /// grantor has granted last.
    fn new(now: Instant) -> Self {
        Self { tokens: 0.0, at: now }
    }

    /// Takes a token if there is one.
    fn take(&mut self, rate: f64, now: Instant) -> bool {
        let filled = now.saturating_duration_since(self.at).as_secs_f64() * rate;
        self.tokens = (self.tokens + filled).min(BUCKET_CAPACITY.0 + BUCKET_CAPACITY.1 * rate);
        self.at = now;
        let taken = self.tokens >= 1.0;
        if taken {
            self.tokens -= 1.0;
        }
        taken
    }

    /// The time until a token is available.
    fn wait(&self, rate: f64) -> Duration {
        Duration::from_secs_f64((1.0 - self.tokens).max(0.0) / rate)
    }
}

/// The last announcement of a runner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Announcement {
    /// The rate; `None` if the answer announced no limit.
    pub rate: Option<Rate>,
    /// When the answer arrived.
    pub at: Instant,
}

/// An announcement of a runner, as exchanged between nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// The incarnation of the runner.
    pub runner: Tag,
    /// The rate; `None` if the limit was lifted.
    pub rate: Option<Rate>,
    /// The age of the announcement.
    pub age: Duration,
}

/// A change of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// A limit was set or changed.
    Set(Rate),
    /// The limit was lifted.
    Lifted,
}

/// The rate limit of one incarnation of a runner, as known to one node.
#[derive(Clone, Debug, Default)]
pub struct Limit {
    /// The last announcement; `None` if the runner has never announced a limit.
    announcement: Option<Announcement>,
    /// The bucket from which this node grants permits, if it has granted any.
    bucket: Option<Bucket>,
    /// Expiry times of the tokens reserved for requests that have been placed.
    reserved: VecDeque<Instant>,
    /// The number of requests that were denied a permit and will ask again, which decreases at the
    /// granted rate.
    waiting: f64,
    /// Until when this node sends nothing to the runner.
    closed_until: Option<Instant>,
    /// Whether an answer has announced a limit that could not be parsed.
    has_malformed: bool,
}

/// How long a token stays reserved. A window in which the platform counts requests can exceed the
/// rate by what accumulates in this time.
const RESERVATION_TTL: Duration = Duration::from_secs(1);
/// The longest time after which a node that was denied a permit asks again.
const MAX_WAIT: Duration = Duration::from_secs(2);

impl Limit {
    /// The rate; `None` if there is no limit.
    pub fn rate(&self) -> Option<Rate> {
        self.announcement.and_then(|last| last.rate)
    }

    /// The last announcement; `None` if the runner has never announced a limit.
    pub fn announcement(&self) -> Option<Announcement> {
        self.announcement
    }

    /// Whether a request may be sent, as far as this node knows without asking for a permit.
    pub fn is_open(&self, now: Instant) -> bool {
        self.opens_in(now).is_zero()
    }

    /// Whether a token is reserved.
    pub fn has_reserved(&self, now: Instant) -> bool {
        self.reserved.back().is_some_and(|until| now < *until)
    }

    /// The time until a request may be sent.
    pub fn opens_in(&self, now: Instant) -> Duration {
        let closed = self.closed_until.filter(|_| self.rate().is_some());
        closed.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Applies the limit announced in an answer to a request that was sent at `sent`.
    ///
    /// Answers can overtake each other: only an answer to a request sent after the last
    /// announcement arrived is certainly later than it. If the order of two answers is unknown, the
    /// lower rate applies.
    pub fn note_answer(
        &mut self,
        announced: Option<Rate>,
        sent: Instant,
        now: Instant,
    ) -> Option<Change> {
        let Some(last) = self.announcement else {
            announced?;
            return self.set(Announcement { rate: announced, at: now });
        };
        let follows = sent >= last.at;
        let rate = match (announced, last.rate) {
            (Some(announced), Some(was)) if !follows => {
                Some(if announced < was { announced } else { was })
            }
            (None, Some(_)) if !follows => return None,
            _ => announced,
        };
        self.set(Announcement { rate, at: now })
    }

    /// Applies an announcement that another node has received.
    pub fn take_announcement(&mut self, announcement: Announcement) -> Option<Change> {
        // Ages exclude the transit time, so an announcement that is passed back looks newer by it.
        let is_new = announcement.rate != self.rate();
        let is_newer = self.announcement.is_none_or(|last| announcement.at > last.at);
        if is_new && is_newer { self.set(announcement) } else { None }
    }

    fn set(&mut self, announcement: Announcement) -> Option<Change> {
        let was = self.rate();
        self.announcement = Some(announcement);
        if announcement.rate == was {
            return None;
        }
        (self.closed_until, self.waiting) = (None, 0.0);
        self.reserved.clear();
        Some(announcement.rate.map_or(Change::Lifted, Change::Set))
    }

    /// Records that an answer announced a limit that could not be parsed. Returns whether it is the
    /// first.
    pub fn note_malformed(&mut self) -> bool {
        !std::mem::replace(&mut self.has_malformed, true)
    }

    /// Reserves a token for a request that has been placed and will ask for its permit soon, or
    /// once its prompt has been prefilled elsewhere.
    pub fn reserve(&mut self, share: f64, now: Instant) {
        if self.rate().is_some() && self.take_token(share, now) {
            self.reserved.push_back(now + RESERVATION_TTL);
        }
    }

    /// Takes a token from the fraction `share` of the rate, if there is one. The runner is closed
    /// until the next token is available.
    fn take_token(&mut self, share: f64, now: Instant) -> bool {
        let Some(rate) = self.rate() else { return true };
        let rate = rate.per_second() * share;
        let bucket = self.bucket.get_or_insert_with(|| Bucket::new(now));
        let filled = now.saturating_duration_since(bucket.at).as_secs_f64() * rate;
        self.waiting = (self.waiting - filled).max(0.0);
        let taken = bucket.take(rate, now);
        self.closed_until = Some(now + bucket.wait(rate));
        taken
    }

    /// Takes the oldest reserved token that has not expired, if there is one.
    fn take_reserved(&mut self, now: Instant) -> bool {
        while let Some(until) = self.reserved.pop_front() {
            if now < until {
                return true;
            }
        }
        false
    }

    /// Grants a permit to send one request, out of the fraction `share` of the rate that this node
    /// may grant. Requesters that are denied one are given different times to ask again.
    ///
    /// # Errors
    /// Returns the time after which to ask again if there is no permit.
    pub fn grant(&mut self, share: f64, now: Instant) -> Result<(), Duration> {
        let Some(rate) = self.rate() else { return Ok(()) };
        if self.take_reserved(now) || self.take_token(share, now) {
            return Ok(());
        }
        let rate = rate.per_second() * share;
        let wait = self.opens_in(now);
        let behind = Duration::try_from_secs_f64(self.waiting / rate).unwrap_or(MAX_WAIT);
        self.waiting = (self.waiting + 1.0).min(rate * MAX_WAIT.as_secs_f64());
        Err((wait + behind).min(MAX_WAIT.max(wait)))
    }

    /// Records that no permit is available for `wait`.
    pub fn note_denied(&mut self, wait: Duration, now: Instant) {
        let until = now + wait.min(MAX_DENIAL);
        self.closed_until = Some(self.closed_until.map_or(until, |closed| closed.max(until)));
    }
}

/// The longest time for which another node's denial applies, derived from the minimum rate.
const MAX_DENIAL: Duration = Duration::from_secs(8);
