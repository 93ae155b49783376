//! What a caller's connection is doing.

use std::time::{Duration, Instant};

use smol_str::SmolStr;

use crate::fleet::route::Limits;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// It waits for the first byte of a request, since this time.
    Idle(Instant),
    /// The head of a request is being read, since this time.
    ReadingHead(Instant),
    /// A request is in progress: its body is being read, or its response is not complete.
    Busy,
    /// Bytes wait for the caller to read earlier ones, which it last did at this time.
    Blocked(Instant),
}

impl State {
    /// Since when there has been no progress; `None` while a request is in progress.
    pub fn since(self) -> Option<Instant> {
        match self {
            State::Idle(since) | State::ReadingHead(since) | State::Blocked(since) => Some(since),
            State::Busy => None,
        }
    }

    /// When the state has lasted as long as `limits` allow; `None` if it has no limit.
    pub fn expires_at(self, limits: Limits) -> Option<Instant> {
        match self {
            State::Idle(since) | State::Blocked(since) => Some(since + limits.idle_timeout),
            State::ReadingHead(since) => Some(since + limits.head_timeout),
            State::Busy => None,
        }
    }
}

/// The number of an exchange of request and response on its connection.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ExchangeNumber(u64);

/// A request whose response is not complete.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Unanswered {
    /// Its id.
    pub request: SmolStr,
    /// When its head had been read.
    pub began: Instant,
}

/// The progress of the exchanges of one connection.
#[derive(Clone, Debug)]
pub struct Progress {
    exchange: ExchangeNumber,
    is_busy: bool,
    /// Whether the body of the request in progress has been read to its end.
    is_body_read: bool,
    idle_since: Instant,
    /// When the first byte of a head was read that is not complete.
    head_since: Option<Instant>,
    /// When bytes were last sent, if others wait.
    blocked_since: Option<Instant>,
    request: Option<Unanswered>,
    is_answered: bool,
}

impl Progress {
    /// The progress of a connection that has just been accepted.
    pub fn new(now: Instant) -> Self {
        Self {
            exchange: ExchangeNumber::default(),
            is_busy: false,
            is_body_read: true,
            idle_since: now,
            head_since: None,
            blocked_since: None,
            request: None,
            is_answered: true,
        }
    }

    /// What the connection is doing.
    pub fn state(&self) -> State {
        if let Some(since) = self.blocked_since {
            return State::Blocked(since);
        }
        if self.is_busy {
            return State::Busy;
        }
        self.head_since.map_or(State::Idle(self.idle_since), State::ReadingHead)
    }

    /// The last request and how long ago it was read, if its response is not complete or has not
    /// been sent.
    pub fn unanswered(&self, now: Instant) -> Option<(&Unanswered, Duration)> {
        let is_sent = self.is_answered && self.blocked_since.is_none();
        let request = self.request.as_ref().filter(|_| !is_sent)?;
        Some((request, now.saturating_duration_since(request.began)))
    }

    /// Records that bytes have been read. After the end of a body they belong to the next request.
    pub fn note_read(&mut self, now: Instant) {
        if !self.is_busy || self.is_body_read {
            self.head_since.get_or_insert(now);
        }
    }

    /// Records that bytes have been sent.
    pub fn note_sent(&mut self, now: Instant) {
        self.blocked_since = None;
        self.idle_since = now;
    }

    /// Records that bytes wait until the caller reads earlier ones.
    pub fn note_blocked(&mut self, now: Instant) {
        self.blocked_since.get_or_insert(now);
    }

    /// Records that the head of a request has been read.
    pub fn begin(&mut self, request: SmolStr, now: Instant) -> ExchangeNumber {
        self.exchange.0 += 1;
        self.is_busy = true;
        self.is_body_read = false;
        self.head_since = None;
        self.request = Some(Unanswered { request, began: now });
        self.is_answered = false;
        self.exchange
    }

    /// Records that the body of a request has been read to its end.
    pub fn note_body_read(&mut self, exchange: ExchangeNumber) {
        if exchange == self.exchange {
            self.is_body_read = true;
        }
    }

    /// Records that the response of a request is complete.
    pub fn note_answered(&mut self, exchange: ExchangeNumber) {
        if exchange == self.exchange {
            self.is_answered = true;
        }
    }

    /// Records that nothing of a request or its response is in use any more.
    pub fn end(&mut self, exchange: ExchangeNumber, now: Instant) {
        if exchange == self.exchange {
            self.is_busy = false;
            self.idle_since = now;
        }
    }
}
