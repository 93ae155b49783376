//! The rate limit that a runner announces: the requests a second that it accepts from all nodes together.
//!
//! One node grants permits for a runner from a token bucket, the others acquire one for each request.
//! Announcements come in answers of the runner, to this node or another, and the latest holds.

use std::collections::VecDeque;
use std::fmt;
use std::str::FromStr;
use std::time::{Duration, Instant};

use serde::{Serialize, Serializer};

use super::runner::Tag;
use crate::decimal::{self, DecimalError};

/// Requests a second.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rate(f64);

/// The least rate that is kept to, in requests a second. A runner that announces less still gets a request
/// now and then: only its answers tell that the limit is over.
const LEAST: f64 = 0.25;
/// The highest rate that is kept to, in requests a second; more than any runner serves.
const MOST: f64 = 1e6;

impl Rate {
    /// A rate of so many requests a second, within the range that is kept to; none if it is no number.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second >= 0.0).then(|| Self(per_second.clamp(LEAST, MOST)))
    }

    /// Requests a second.
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

/// A token bucket: requests that may be sent at once, filled at a rate.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    at: Instant,
}

/// The requests that an idle bucket saves up: one, and so many seconds of its rate.
const BURST: (f64, f64) = (1.0, 0.25);

impl Bucket {
    /// An empty bucket: a node that begins to grant does not know what the one before it granted last.
    fn new(now: Instant) -> Self {
        Self { tokens: 0.0, at: now }
    }

    /// Takes a token if there is one.
    fn take(&mut self, rate: f64, now: Instant) -> bool {
        let filled = now.saturating_duration_since(self.at).as_secs_f64() * rate;
        self.tokens = (self.tokens + filled).min(BURST.0 + BURST.1 * rate);
        self.at = now;
        let takes = self.tokens >= 1.0;
        if takes {
            self.tokens -= 1.0;
        }
        takes
    }

    /// How long it is until there is a token.
    fn wait(&self, rate: f64) -> Duration {
        Duration::from_secs_f64((1.0 - self.tokens).max(0.0) / rate)
    }
}

/// What a runner last said of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Notice {
    /// The rate; none if the answer announced no limit.
    pub rate: Option<Rate>,
    /// When the answer came.
    pub at: Instant,
}

/// What a runner has announced, as nodes tell each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Announced {
    /// The life of the runner.
    pub runner: Tag,
    /// The rate; none if the limit is over.
    pub rate: Option<Rate>,
    /// How long ago it said so.
    pub age: Duration,
}

/// How a limit changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// It is there, or another one than before.
    Set(Rate),
    /// It is over.
    Lifted,
}

/// The rate limit of one life of a runner, as a node knows it.
#[derive(Clone, Debug, Default)]
pub struct Limit {
    /// What the runner last said; none while it has never announced a limit.
    notice: Option<Notice>,
    /// What this node grants from, if it has.
    bucket: Option<Bucket>,
    /// Tokens set aside for requests that were placed, each until when.
    reserved: VecDeque<Instant>,
    /// Requests that were refused a permit and are to come back, by the rate that works them off.
    waiting: f64,
    /// Until when this node sends the runner nothing.
    closed_until: Option<Instant>,
    /// Whether an answer has announced a limit that is no rate.
    has_malformed: bool,
}

/// For how long a token is set aside. A window of the users' rule sees up to this more of the rate.
const RESERVED: Duration = Duration::from_secs(1);
/// The longest time after which a node that was refused a permit asks again.
const LONGEST_WAIT: Duration = Duration::from_secs(2);

impl Limit {
    /// The rate; none if the runner takes what comes.
    pub fn rate(&self) -> Option<Rate> {
        self.notice.and_then(|notice| notice.rate)
    }

    /// What the runner last said; none while it has never announced a limit.
    pub fn notice(&self) -> Option<Notice> {
        self.notice
    }

    /// Whether a request may be sent there, as far as this node knows without a permit.
    pub fn is_open(&self, now: Instant) -> bool {
        self.opens_in(now).is_zero()
    }

    /// Whether a token is set aside there.
    pub fn has_reserved(&self, now: Instant) -> bool {
        self.reserved.back().is_some_and(|until| now < *until)
    }

    /// How long it is until a request may be sent there.
    pub fn opens_in(&self, now: Instant) -> Duration {
        let closed = self.closed_until.filter(|_| self.rate().is_some());
        closed.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Takes in what an answer of the runner announces, whose request was sent at `sent`.
    ///
    /// Answers overtake each other: only one to a request that was sent after the last notice came was
    /// certainly written after it. Of two whose order is not known the lower rate holds.
    pub fn note_answer(
        &mut self,
        named: Option<Rate>,
        sent: Instant,
        now: Instant,
    ) -> Option<Change> {
        let Some(last) = self.notice else {
            named?;
            return self.set(Notice { rate: named, at: now });
        };
        let follows = sent >= last.at;
        let rate = match (named, last.rate) {
            (Some(named), Some(was)) if !follows => Some(if named < was { named } else { was }),
            (None, Some(_)) if !follows => return None,
            _ => named,
        };
        self.set(Notice { rate, at: now })
    }

    /// Takes in what another node has heard from the runner.
    pub fn take_notice(&mut self, notice: Notice) -> Option<Change> {
        // Told back and forth, one announcement would seem newer by the time on the way.
        let is_new = notice.rate != self.rate();
        let is_newer = self.notice.is_none_or(|last| notice.at > last.at);
        if is_new && is_newer { self.set(notice) } else { None }
    }

    fn set(&mut self, notice: Notice) -> Option<Change> {
        let was = self.rate();
        self.notice = Some(notice);
        if notice.rate == was {
            return None;
        }
        (self.closed_until, self.waiting) = (None, 0.0);
        self.reserved.clear();
        Some(notice.rate.map_or(Change::Lifted, Change::Set))
    }

    /// Notes that an answer announces a limit that is no rate. True the first time.
    pub fn note_malformed(&mut self) -> bool {
        !std::mem::replace(&mut self.has_malformed, true)
    }

    /// Sets a token aside for a request that is placed there and is to ask for its permit soon, or
    /// once its prompt has been read elsewhere.
    pub fn reserve(&mut self, part: f64, now: Instant) {
        if self.rate().is_some() && self.take_token(part, now) {
            self.reserved.push_back(now + RESERVED);
        }
    }

    /// Takes a token of the part `part` of the rate if there is one. The runner is closed until the
    /// next one comes.
    fn take_token(&mut self, part: f64, now: Instant) -> bool {
        let Some(rate) = self.rate() else { return true };
        let rate = rate.per_second() * part;
        let bucket = self.bucket.get_or_insert_with(|| Bucket::new(now));
        let filled = now.saturating_duration_since(bucket.at).as_secs_f64() * rate;
        self.waiting = (self.waiting - filled).max(0.0);
        let taken = bucket.take(rate, now);
        self.closed_until = Some(now + bucket.wait(rate));
        taken
    }

    /// Takes the token that was set aside longest ago, if one is left.
    fn take_reserved(&mut self, now: Instant) -> bool {
        while let Some(until) = self.reserved.pop_front() {
            if now < until {
                return true;
            }
        }
        false
    }

    /// Grants a permit to send one request, out of the part `part` of the rate that this node may
    /// grant, or tells when to ask again. Those who have to wait are given different times.
    ///
    /// # Errors
    /// When to ask again.
    pub fn grant(&mut self, part: f64, now: Instant) -> Result<(), Duration> {
        let Some(rate) = self.rate() else { return Ok(()) };
        if self.take_reserved(now) || self.take_token(part, now) {
            return Ok(());
        }
        let rate = rate.per_second() * part;
        let wait = self.opens_in(now);
        let behind = Duration::try_from_secs_f64(self.waiting / rate).unwrap_or(LONGEST_WAIT);
        self.waiting = (self.waiting + 1.0).min(rate * LONGEST_WAIT.as_secs_f64());
        Err((wait + behind).min(LONGEST_WAIT.max(wait)))
    }

    /// Notes that no permit is to be had before `wait` is over.
    pub fn note_denied(&mut self, wait: Duration, now: Instant) {
        let until = now + wait.min(LONGEST_DENIAL);
        self.closed_until = Some(self.closed_until.map_or(until, |closed| closed.max(until)));
    }
}

/// The longest time for which another node's refusal of a permit is believed: that of the least rate.
const LONGEST_DENIAL: Duration = Duration::from_secs(8);
