//! When a generation moves from a runner that is silent to another one.
//!
//! Silence does not show that a runner is lost: a sound one is silent while it prefills a long
//! prompt between two tokens, or has preempted the request. Its attempt therefore goes on while a
//! second attempt, the successor, is prepared on another runner, and is given up only once the
//! successor has taken its place. If no successor can be had, the attempt goes on until the
//! caller's deadline.
//!
//! Two runners may work on one request only briefly. If neither has sent an event by then, the
//! successor is given up, unless the first runner is lost as far as this node can tell.

use std::time::{Duration, Instant};

use strum::IntoStaticStr;

/// How far an attempt has got.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Stage {
    /// Its runners are being chosen, or its prompt is being prefilled for another runner. No runner
    /// runs the request yet.
    Preparing,
    /// The request has been sent to the runner that runs it.
    Sent,
    /// Events have been received.
    Streaming,
}

/// What to do about the attempt and its successor.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Nothing.
    None,
    /// Prepare a successor.
    Prepare,
    /// Send the request to the runner of the successor, and keep reading from the attempt.
    Send,
    /// Give up the successor.
    Drop,
    /// Give up the attempt; the successor takes its place.
    Promote,
}

/// How long two runners may work on one request (platform rules: 400 ms). The rest covers the time
/// in which the end of a call reaches its runner.
pub const MAX_OVERLAP: Duration = Duration::from_millis(250);
/// The pause after which another successor is tried if there was none.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// The fraction of the caller's patience after which a silent runner counts as lost: the caller
/// leaves soon, and an event of this runner then has no reader.
const LOST_FRACTION: f64 = 0.75;

/// The successor of an attempt.
#[derive(Clone, Copy, Debug)]
enum Successor {
    None {
        /// None is prepared before.
        not_before: Instant,
    },
    Preparing,
    Sent {
        at: Instant,
    },
}

/// The state of an attempt and its successor.
#[derive(Clone, Debug)]
pub struct Handover {
    stage: Stage,
    /// When the attempt has last advanced.
    heard: Instant,
    /// How long it may be silent before a successor is prepared.
    silence: Duration,
    /// How long the caller waits without receiving anything.
    patience: Duration,
    is_lost: bool,
    successor: Successor,
}

impl Handover {
    /// Creates the state of an attempt that starts at `now` and may be silent for `silence`. Its
    /// caller waits for `patience` without receiving anything.
    pub fn new(silence: Duration, patience: Duration, now: Instant) -> Self {
        let successor = Successor::None { not_before: now };
        let stage = Stage::Preparing;
        Self { stage, heard: now, silence, patience, is_lost: false, successor }
    }

    /// The stage of the attempt.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// When the attempt has last advanced.
    pub fn heard(&self) -> Instant {
        self.heard
    }

    /// Whether a successor is being prepared or has been sent.
    pub fn has_successor(&self) -> bool {
        !matches!(self.successor, Successor::None { .. })
    }

    /// When to call [`Handover::poll`] next; `None` while it depends on the successor alone.
    pub fn due(&self) -> Option<Instant> {
        match self.successor {
            Successor::None { not_before } if self.is_lost => Some(not_before),
            Successor::None { not_before } => Some(not_before.max(self.heard + self.silence)),
            Successor::Preparing => None,
            Successor::Sent { at } => Some(at + MAX_OVERLAP),
        }
    }

    /// Decides what is due. `may_move` says whether the request may have another attempt.
    pub fn poll(&mut self, now: Instant, may_move: bool) -> Action {
        if self.due().is_none_or(|due| now < due) {
            return Action::None;
        }
        match self.successor {
            Successor::None { .. } if may_move => {
                self.successor = Successor::Preparing;
                Action::Prepare
            }
            Successor::None { .. } => {
                self.note_no_successor(now);
                Action::None
            }
            Successor::Sent { .. } if self.counts_as_lost(now) => Action::Promote,
            Successor::Sent { .. } => {
                self.note_no_successor(now);
                Action::Drop
            }
            Successor::Preparing => Action::None,
        }
    }

    /// Records that the attempt has advanced to `stage`, in which it may be silent for `silence`.
    /// Returns whether to give up the successor.
    pub fn note_advanced(&mut self, stage: Stage, silence: Duration, now: Instant) -> bool {
        let had_successor = self.has_successor();
        if had_successor {
            self.successor = Successor::None { not_before: now };
        }
        (self.stage, self.heard, self.silence, self.is_lost) = (stage, now, silence, false);
        had_successor
    }

    /// Records evidence that the attempt's runner is lost.
    pub fn note_lost(&mut self) {
        self.is_lost = true;
    }

    /// Records that a successor could not be had, or has failed.
    pub fn note_no_successor(&mut self, now: Instant) {
        self.successor = Successor::None { not_before: now + RETRY_PAUSE };
    }

    /// Records that the successor is ready to be sent, and that its first event is expected
    /// `expected` later. [`Action::Drop`] means that it would take longer than both may run.
    pub fn note_prepared(&mut self, expected: Duration, now: Instant) -> Action {
        if self.stage == Stage::Preparing {
            return Action::Promote;
        }
        // A lost attempt is kept too until the successor runs, as its runner may reject it.
        if expected > MAX_OVERLAP && !self.counts_as_lost(now) {
            self.note_no_successor(now);
            return Action::Drop;
        }
        self.successor = Successor::Sent { at: now };
        Action::Send
    }

    /// Records that the successor has taken the place of the attempt, in `stage`, in which it may be
    /// silent for `silence`.
    pub fn note_promoted(&mut self, stage: Stage, silence: Duration, now: Instant) {
        self.successor = Successor::None { not_before: now };
        self.note_advanced(stage, silence, now);
    }

    fn counts_as_lost(&self, now: Instant) -> bool {
        let silent = now.saturating_duration_since(self.heard);
        self.is_lost || silent >= self.patience.mul_f64(LOST_FRACTION)
    }
}
