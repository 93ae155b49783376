//! When a caller's connection is closed.

use std::time::{Duration, Instant};

use strum::IntoStaticStr;

use super::State;
use crate::fleet::route::Limits;

/// How often a connection that is to close is checked for the end of a half read head.
const CLOSE_CHECK_PERIOD: Duration = Duration::from_millis(20);
/// How long an idle connection that is to close is kept: the request of a caller that has just
/// connected, or just read a response, may be on its way.
const CLOSE_DELAY: Duration = Duration::from_millis(200);
/// How long an expired connection is kept, so that bytes that have arrived meanwhile are read: a
/// process that was paused sees its timers before its sockets.
const RECHECK_DELAY: Duration = Duration::from_millis(2);
/// The shortest time between two checks.
const MIN_CHECK_PERIOD: Duration = Duration::from_millis(1);

/// Why a connection ended, as a metric label.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// The caller closed it, or the path to the caller failed.
    Caller,
    /// It was idle for as long as the configuration allows.
    IdleTimeout,
    /// The head of a request took longer than the configuration allows.
    HeadTimeout,
    /// The caller read nothing of its response for as long as a connection may be idle.
    NotReading,
    /// The node stops.
    Stopping,
    /// Another connection needed its place.
    Evicted,
}

/// What to do with a connection now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Nothing.
    Wait,
    /// Close it once its responses have been sent.
    Shutdown,
    /// Close it at once.
    Drop,
}

/// The decision when a connection is closed.
#[derive(Clone, Debug, Default)]
pub struct Close {
    is_requested: bool,
    is_evicted: bool,
    expired: Option<(State, Instant)>,
    begun: Option<Cause>,
}

impl Close {
    /// Records that the connection is to close as soon as it is idle.
    pub fn request(&mut self) {
        self.is_requested = true;
    }

    /// Records that the connection is to close now unless a request is in progress.
    pub fn evict(&mut self, state: State) -> bool {
        self.is_evicted = state.since().is_some();
        self.is_evicted
    }

    /// Whether the connection is to close as soon as it is idle.
    pub fn is_requested(&self) -> bool {
        self.is_requested
    }

    /// Why the connection has been closed, or [`Cause::Caller`] if this node did not close it.
    pub fn cause(&self) -> Cause {
        self.begun.unwrap_or(Cause::Caller)
    }

    /// Decides what to do with a connection in `state`.
    pub fn poll(&mut self, state: State, limits: Limits, now: Instant) -> Action {
        let is_expired = self.has_expired(state, limits, now);
        if self.is_evicted && state.since().is_some() {
            self.begun = Some(Cause::Evicted);
            return Action::Drop;
        }
        let (cause, action) = match state {
            State::Blocked(_) if is_expired => (Cause::NotReading, Action::Drop),
            State::ReadingHead(_) if is_expired => (Cause::HeadTimeout, Action::Drop),
            State::Idle(since) if self.is_requested && now >= since + CLOSE_DELAY => {
                (Cause::Stopping, Action::Shutdown)
            }
            State::Busy if self.is_requested => (Cause::Stopping, Action::Shutdown),
            State::Idle(_) if is_expired => (Cause::IdleTimeout, Action::Shutdown),
            State::Blocked(_) | State::ReadingHead(_) | State::Idle(_) | State::Busy => {
                return Action::Wait;
            }
        };
        if action == Action::Shutdown && self.begun.is_some() {
            return Action::Wait;
        }
        self.begun = Some(cause);
        action
    }

    /// How long until the next check. A state that begins meanwhile is checked no later than it
    /// expires.
    pub fn next_check(&self, state: State, limits: Limits, now: Instant) -> Duration {
        let shortest = limits.head_timeout.min(limits.idle_timeout);
        if self.begun.is_some() {
            return shortest.max(MIN_CHECK_PERIOD);
        }
        if self.is_requested {
            return CLOSE_CHECK_PERIOD;
        }
        let due = match self.expired {
            Some((_, at)) => Some(at + RECHECK_DELAY),
            None => state.expires_at(limits),
        };
        let left = due.map(|at| at.saturating_duration_since(now));
        left.map_or(shortest, |left| left.min(shortest)).max(MIN_CHECK_PERIOD)
    }

    /// Whether the state has expired, and has not changed since that was found.
    fn has_expired(&mut self, state: State, limits: Limits, now: Instant) -> bool {
        if state.expires_at(limits).is_none_or(|at| at > now) {
            self.expired = None;
            return false;
        }
        match self.expired {
            Some((expired, at)) if expired == state => now >= at + RECHECK_DELAY,
            Some(_) | None => {
                self.expired = Some((state, now));
                false
            }
        }
    }
}
