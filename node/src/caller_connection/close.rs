//! When a caller's connection is closed.

use std::time::{Duration, Instant};

use sardinepick_lib::fleet::route::Limits;
use strum::IntoStaticStr;

use super::activity::State;

/// How often a connection that is to close is checked for the end of a half read head.
const CLOSE_CHECK_PERIOD: Duration = Duration::from_millis(20);
/// The shortest time between two checks.
const MIN_CHECK_PERIOD: Duration = Duration::from_millis(1);

/// Why a connection ended, as a metric label.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Cause {
    /// The caller closed it, or the path to the caller failed.
    Caller,
    /// It was idle for as long as the configuration allows.
    IdleTimeout,
    /// The head of a request took longer than the configuration allows.
    HeadTimeout,
    /// The node stops.
    Stopping,
}

/// What to do with a connection now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Action {
    /// Nothing.
    Wait,
    /// Close it once its responses have been sent.
    Shutdown,
    /// Close it at once.
    Drop,
}

/// The decision when a connection is closed.
#[derive(Debug, Default)]
pub(super) struct Close {
    is_requested: bool,
    /// Why and since when it is being closed.
    begun: Option<(Cause, Instant)>,
}

impl Close {
    /// Records that the connection is to close as soon as it is idle.
    pub fn request(&mut self) {
        self.is_requested = true;
    }

    /// Whether the connection is to close as soon as it is idle.
    pub fn is_requested(&self) -> bool {
        self.is_requested
    }

    /// Why the connection has been closed, or `Cause::Caller` if this node did not close it.
    pub fn cause(&self) -> Cause {
        self.begun.map_or(Cause::Caller, |(cause, _)| cause)
    }

    /// Decides what to do with a connection in `state`.
    pub fn poll(&mut self, state: State, limits: Limits, now: Instant) -> Action {
        if let Some((_, since)) = self.begun {
            // A caller that does not read its last response must not keep the connection.
            let is_stuck = state != State::Busy && since + limits.idle_timeout <= now;
            return if is_stuck { Action::Drop } else { Action::Wait };
        }
        let is_expired = state.expires_at(limits).is_some_and(|at| at <= now);
        let (cause, action) = match state {
            State::ReadingHead(_) if is_expired => (Cause::HeadTimeout, Action::Drop),
            State::ReadingHead(_) => return Action::Wait,
            State::Idle(_) | State::Busy if self.is_requested => {
                (Cause::Stopping, Action::Shutdown)
            }
            State::Idle(_) if is_expired => (Cause::IdleTimeout, Action::Shutdown),
            State::Idle(_) | State::Busy => return Action::Wait,
        };
        self.begun = Some((cause, now));
        action
    }

    /// How long until the next check. A state that begins meanwhile is checked no later than it
    /// expires.
    pub fn next_check(&self, state: State, limits: Limits, now: Instant) -> Duration {
        if self.begun.is_some() {
            return limits.idle_timeout.max(MIN_CHECK_PERIOD);
        }
        if self.is_requested {
            return CLOSE_CHECK_PERIOD;
        }
        let shortest = limits.head_timeout.min(limits.idle_timeout);
        let left = state.expires_at(limits).map(|at| at.saturating_duration_since(now));
        left.map_or(shortest, |left| left.min(shortest)).max(MIN_CHECK_PERIOD)
    }
}
