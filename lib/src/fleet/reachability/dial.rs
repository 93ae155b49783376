//! One attempt to connect to a runner, directly and through peers.

use std::time::{Duration, Instant};

use super::Path;

/// How long a direct connect may take before a peer is asked as well: ten round trips between data
/// centres.
pub const RELAY_DELAY: Duration = Duration::from_millis(60);
/// How long a peer may take before the next one is asked as well.
pub const NEXT_RELAY_DELAY: Duration = Duration::from_millis(90);
/// How long a peer tries to connect. Its refusal arrives before the next peer is asked.
pub const RELAY_CONNECT_TIMEOUT: Duration = Duration::from_millis(75);
/// The maximum number of peers that are asked in one attempt.
pub const MAX_RELAYS: usize = 2;

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Connect directly.
    Direct,
    /// Ask the next peer as well.
    Relay,
    /// Wait for a connect to end, but no longer than until this time.
    Wait(Instant),
    /// Drop all connects: the attempt has failed.
    GiveUp,
}

/// What an attempt says of the direct path.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The runner was reached directly.
    Open,
    /// A peer reached the runner when this node did not.
    Closed {
        /// When the direct connect began.
        since: Instant,
    },
    /// Neither this node nor a peer reached the runner.
    Unreachable {
        /// When the attempt began.
        since: Instant,
    },
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Connect {
    NotStarted,
    Pending { since: Instant },
    Failed { since: Instant },
}

impl Connect {
    fn fail(&mut self) {
        if let Connect::Pending { since } = *self {
            *self = Connect::Failed { since };
        }
    }
}

/// The state of one attempt. The first connect that succeeds is used, and ends the attempt.
#[derive(Clone, Debug)]
pub struct Dial {
    path: Path,
    started: Instant,
    deadline: Instant,
    direct: Connect,
    /// When the last peer was asked.
    relay_asked: Option<Instant>,
    /// The number of peers that have been asked and have not answered.
    relays_pending: usize,
    /// The number of peers that may still be asked.
    relays_left: usize,
}

impl Dial {
    /// Creates the state of an attempt that starts at `now` and ends within `timeout`, for which up
    /// to `relays` peers can be asked.
    pub fn new(path: Path, relays: usize, timeout: Duration, now: Instant) -> Self {
        Self {
            path,
            started: now,
            deadline: now + timeout,
            direct: Connect::NotStarted,
            relay_asked: None,
            relays_pending: 0,
            relays_left: relays.min(MAX_RELAYS),
        }
    }

    /// Decides what to do now. [`Action::Direct`] and [`Action::Relay`] count as done, and the next
    /// call follows at once.
    pub fn poll(&mut self, now: Instant) -> Action {
        if now >= self.deadline {
            return Action::GiveUp;
        }
        let direct_due = self.direct_due();
        if direct_due.is_some_and(|due| now >= due) {
            self.direct = Connect::Pending { since: now };
            return Action::Direct;
        }
        let relay_due = self.relay_due();
        if relay_due.is_some_and(|due| now >= due) {
            self.relay_asked = Some(now);
            self.relays_pending += 1;
            self.relays_left -= 1;
            return Action::Relay;
        }
        let is_pending = matches!(self.direct, Connect::Pending { .. }) || self.relays_pending > 0;
        let due = direct_due.into_iter().chain(relay_due).min();
        if due.is_none() && !is_pending {
            return Action::GiveUp;
        }
        Action::Wait(due.map_or(self.deadline, |due| due.min(self.deadline)))
    }

    /// When to connect directly; `None` if it depends on the peers, or has been done.
    fn direct_due(&self) -> Option<Instant> {
        if self.direct != Connect::NotStarted {
            return None;
        }
        match (self.path, self.relay_asked) {
            (Path::Open | Path::Unverified, _) => Some(self.started),
            (Path::Closed, _) if self.relays_left > 0 => None,
            (Path::Closed, Some(at)) if self.relays_pending > 0 => Some(at + NEXT_RELAY_DELAY),
            (Path::Closed, _) => Some(self.started),
        }
    }

    /// When to ask the next peer; `None` if there is none.
    fn relay_due(&self) -> Option<Instant> {
        let has_direct_failed = matches!(self.direct, Connect::Failed { .. });
        let is_direct_awaited = self.path != Path::Closed && !has_direct_failed;
        match self.relay_asked {
            _ if self.relays_left == 0 => None,
            None if is_direct_awaited => Some(self.started + RELAY_DELAY),
            Some(at) if self.relays_pending > 0 => Some(at + NEXT_RELAY_DELAY),
            None | Some(_) => Some(self.started),
        }
    }

    /// The time that is left for the attempt.
    pub fn left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Records that the direct connect has failed.
    pub fn note_direct_failed(&mut self) {
        self.direct.fail();
    }

    /// Records that the connect through one of the peers has failed.
    pub fn note_relay_failed(&mut self) {
        self.relays_pending = self.relays_pending.saturating_sub(1);
    }

    /// What it says that the connect through a peer has succeeded first.
    pub fn relayed(&self, now: Instant) -> Option<Outcome> {
        match self.direct {
            Connect::Pending { since } if now < since + RELAY_DELAY => None,
            Connect::Pending { since } | Connect::Failed { since } => {
                Some(Outcome::Closed { since })
            }
            Connect::NotStarted => None,
        }
    }

    /// When the attempt began, if it has used up its time.
    pub fn timed_out(&self, now: Instant) -> Option<Instant> {
        (now >= self.deadline).then_some(self.started)
    }

    /// What it says that the attempt was given up; `None` if no peer was asked, so that all that is
    /// known is that the direct connect has failed.
    pub fn gave_up(&self) -> Option<Outcome> {
        let was_tried = self.relay_asked.is_some() && self.direct != Connect::NotStarted;
        was_tried.then_some(Outcome::Unreachable { since: self.started })
    }
}
