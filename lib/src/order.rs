//! Role change orders to engines. Each is stored as an intent before it is sent, and is completed
//! by whichever node holds the lease next.
//!
//! An order whose answer was lost, or whose sender crashed, may or may not have taken effect, and
//! may still do so. Sending another order without checking can give an engine conflicting orders. A
//! new lease holder therefore reads the intents, queries each engine for its role, and completes
//! open intents under its own fencing token. It never assumes the state of an engine.

use std::fmt;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::config::object::{Fencing, Role};
use crate::history::Point;
use crate::id::Epoch;

/// The identity of an order. An engine executes each identity once.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(pub SmolStr);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A role change order to an engine.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// The identity.
    pub id: Id,
    /// The fencing token of the sender.
    pub epoch: Epoch,
    /// The new role.
    pub role: Role,
}

/// The progress of an intent.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The order may have been sent.
    Open,
    /// The engine has executed the order.
    Done,
}

/// The stored intent for one runner.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Intent {
    /// The order.
    pub order: Order,
    /// The role before the order.
    pub from: Role,
    /// The progress.
    pub stage: Stage,
}

/// The status reported by an engine.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The current role, or the one it is changing to.
    pub role: Role,
    /// Whether it is unavailable because of a role change.
    pub changing: bool,
    /// The last order that it accepted.
    pub last: Option<Id>,
    /// The highest fencing token that it has seen.
    pub fence: Epoch,
}

/// An operation that the caller of [`OrderSender`] has to perform.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Write the intent if the stored one has the expected revision.
    Write {
        /// The required revision of the stored intent; `None` if there must be none.
        expected: Option<Point>,
        /// The new intent.
        intent: Intent,
    },
    /// Read the stored intent.
    Read,
    /// Query the engine for its status.
    Query,
    /// Send the order.
    Send(Order),
}

/// The result of sending an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The engine accepted it.
    Accepted,
    /// The engine rejected its fencing token.
    Fenced,
    /// No answer arrived; the engine may have accepted it.
    Lost,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Step {
    /// The stored intent has not been read under the current fencing token.
    Unread,
    /// An open intent may have been executed; the engine must be queried.
    Unsettled,
    /// No intent is open.
    Idle,
    /// The intent is being written.
    Writing,
    /// The open intent is stored under the current fencing token and may be sent.
    Ready,
    /// The order has been sent and not answered.
    Sent,
}

/// Sends orders from one node to one runner.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct OrderSender {
    fencing: Fencing,
    epoch: Option<Epoch>,
    revision: Option<Point>,
    intent: Option<Intent>,
    status: Option<EngineStatus>,
    writing: Option<Intent>,
    requested: Option<(Id, Role)>,
    step: Step,
    queried_at: Option<Instant>,
}

/// How long to wait before querying an unavailable engine again.
pub const QUERY_RETRY: Duration = Duration::from_millis(500);

impl OrderSender {
    /// Creates a sender that has read no state yet.
    pub fn new(fencing: Fencing) -> Self {
        Self {
            fencing,
            epoch: None,
            revision: None,
            intent: None,
            status: None,
            writing: None,
            requested: None,
            step: Step::Unread,
            queried_at: None,
        }
    }

    /// The engine status as last reported.
    pub fn status(&self) -> Option<&EngineStatus> {
        self.status.as_ref()
    }

    /// Whether an order is in progress.
    pub fn is_busy(&self) -> bool {
        self.requested.is_some() || !matches!(self.step, Step::Idle)
    }

    /// Whether the next step is to send an order, for which the engine must be idle.
    pub fn is_about_to_send(&self) -> bool {
        self.step == Step::Ready
    }

    /// Requests a role change. Returns `false` if another one is in progress.
    pub fn request(&mut self, id: Id, role: Role) -> bool {
        if self.is_busy() {
            return false;
        }
        self.requested = Some((id, role));
        true
    }

    /// Returns the next action at `now`. `authority` is the fencing token of the lease at this
    /// moment, and `doubtful` says that an earlier lease holder may still be running.
    pub fn poll(
        &mut self,
        now: Instant,
        authority: Option<Epoch>,
        doubtful: bool,
    ) -> Option<Action> {
        let Some(epoch) = authority else {
            self.reset();
            return None;
        };
        if self.epoch != Some(epoch) {
            // Another holder may have acted in between, so the state is read again.
            self.reset();
            self.epoch = Some(epoch);
        }
        match self.step {
            Step::Unread => Some(Action::Read),
            Step::Unsettled => self.query(now),
            Step::Idle => self.start(now, epoch, doubtful),
            Step::Writing | Step::Sent => None,
            Step::Ready => self.send(epoch, doubtful),
        }
    }

    fn reset(&mut self) {
        let requested = self.requested.take();
        *self = Self { requested, ..Self::new(self.fencing) };
    }

    fn query(&mut self, now: Instant) -> Option<Action> {
        let due = self.queried_at.is_none_or(|at| now >= at + QUERY_RETRY);
        if !due {
            return None;
        }
        self.queried_at = Some(now);
        Some(Action::Query)
    }

    /// Whether orders may be sent to this engine at all. An engine that ignores fencing tokens
    /// would execute a delayed order of an earlier holder after one of this node.
    fn may_order(&self, doubtful: bool) -> bool {
        self.fencing == Fencing::Checked || !doubtful
    }

    fn start(&mut self, now: Instant, epoch: Epoch, doubtful: bool) -> Option<Action> {
        self.requested.as_ref()?;
        if !self.may_order(doubtful) {
            return None;
        }
        let Some(status) = self.status.clone() else {
            return self.query(now);
        };
        if status.changing {
            self.status = None;
            return None;
        }
        let (id, role) = self.requested.take()?;
        if status.role == role {
            return None;
        }
        let order = Order { id, epoch, role };
        Some(self.write(Intent { order, from: status.role, stage: Stage::Open }))
    }

    fn write(&mut self, intent: Intent) -> Action {
        self.step = Step::Writing;
        self.writing = Some(intent.clone());
        Action::Write { expected: self.revision, intent }
    }

    fn send(&mut self, epoch: Epoch, doubtful: bool) -> Option<Action> {
        if !self.may_order(doubtful) {
            return None;
        }
        let order = self.intent.as_ref()?.order.clone();
        debug_assert_eq!(order.epoch, epoch);
        self.step = Step::Sent;
        self.status = None;
        Some(Action::Send(order))
    }

    /// Handles the stored intent.
    pub fn on_read(&mut self, found: Option<(Point, Intent)>) {
        let written = self.writing.take();
        let (revision, intent) = found.unzip();
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        let open = intent.as_ref().is_some_and(|i| i.stage == Stage::Open);
        let is_own = open && written.is_some() && written == intent;
        self.intent = intent;
        self.step = match (open, is_own) {
            (_, true) => Step::Ready,
            (true, false) => Step::Unsettled,
            (false, false) => Step::Idle,
        };
    }

    /// Handles the result of a write: its revision, or `None` on a conflict or a lost answer. In
    /// both of the latter cases the stored intent is read again to find out which write took
    /// effect.
    pub fn on_written(&mut self, revision: Option<Point>) {
        if self.step != Step::Writing {
            return;
        }
        let Some(revision) = revision else {
            self.step = Step::Unread;
            return;
        };
        self.revision = Some(revision);
        self.intent = self.writing.take();
        let open = self.intent.as_ref().is_some_and(|i| i.stage == Stage::Open);
        self.step = if open { Step::Ready } else { Step::Idle };
    }

    /// Handles the engine's status and resolves an open intent with it.
    pub fn on_status(&mut self, status: &EngineStatus) -> Option<Action> {
        self.status = Some(status.clone());
        if self.step != Step::Unsettled || status.changing {
            return None;
        }
        let epoch = self.epoch?;
        let mut intent = self.intent.clone()?;
        let done =
            status.last.as_ref() == Some(&intent.order.id) && status.role == intent.order.role;
        if done {
            intent.stage = Stage::Done;
            return Some(self.write(intent));
        }
        if intent.order.epoch == epoch {
            // This node's order was not accepted. Send it again under the same identity.
            self.step = Step::Ready;
            return None;
        }
        // The order of an earlier holder was not accepted and may still arrive late. Sending the
        // same order under this node's fencing token resolves this: the engine executes the
        // identity once, whichever arrives first, and an engine that checks tokens rejects the
        // earlier one from then on.
        intent.order.epoch = epoch;
        intent.from = status.role;
        Some(self.write(intent))
    }

    /// Handles the result of sending the order.
    pub fn on_answer(&mut self, answer: Answer) -> Option<Action> {
        if self.step != Step::Sent {
            return None;
        }
        match answer {
            Answer::Accepted => {
                let mut intent = self.intent.clone()?;
                intent.stage = Stage::Done;
                Some(self.write(intent))
            }
            Answer::Fenced => {
                // A later holder has reached the engine, so this node's authority is over.
                self.reset();
                None
            }
            Answer::Lost => {
                self.step = Step::Unsettled;
                self.queried_at = None;
                None
            }
        }
    }
}
