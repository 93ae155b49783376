//! Orders to engines: written down as an intent before they are sent, settled by whoever holds the
//! authority next.
//!
//! An order whose answer was lost, or whose sender died, may have taken effect or may still do so.
//! Sending another one blindly gives an engine conflicting orders. So every order is first an
//! intent in the store; a successor reads the intents, asks each engine what it runs, and finishes
//! what is open under a number of its own. An engine is asked and never assumed.

use std::fmt;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::config::object::{Fencing, Role};
use crate::history::Point;
use crate::id::Epoch;

/// The identity of an order; an engine does an order of the same identity once.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(pub SmolStr);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// What an engine is ordered to do.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// Its identity.
    pub id: Id,
    /// The fencing number of its sender.
    pub epoch: Epoch,
    /// The role to take.
    pub role: Role,
}

/// How far an intent has come.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The order may be sent or have been sent.
    Open,
    /// The engine has done it.
    Done,
}

/// The stored intent of one runner.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Intent {
    /// The order.
    pub order: Order,
    /// The role before it.
    pub from: Role,
    /// How far it has come.
    pub stage: Stage,
}

/// What an engine says of itself.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The role it works in, or is changing to.
    pub role: Role,
    /// It is away for a change.
    pub changing: bool,
    /// The last order that it took.
    pub last: Option<Id>,
    /// The highest fencing number that it has seen.
    pub fence: Epoch,
}

/// What a desk wants done.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Write the intent if the stored one has the expected revision.
    Write {
        /// The revision that the stored intent must have; none if there must be none.
        expected: Option<Point>,
        /// The intent.
        intent: Intent,
    },
    /// Read the intent.
    Read,
    /// Ask the engine for its condition.
    Query,
    /// Send the order.
    Send(Order),
}

/// What came of sending an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The engine took it.
    Accepted,
    /// The engine refused its fencing number.
    Fenced,
    /// No answer came: it may have been taken.
    Lost,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Step {
    /// The stored intent is not known under this authority.
    Unread,
    /// The engine must be asked, as an open intent may have been done.
    Unsettled,
    /// Nothing is open.
    Idle,
    /// A write of the intent is out; then what it says.
    Writing,
    /// The open intent is stored under this authority and may be sent.
    Ready,
    /// The order is out.
    Sent,
}

/// The orders to one runner as given by one node.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct OrderSender {
    fencing: Fencing,
    epoch: Option<Epoch>,
    revision: Option<Point>,
    intent: Option<Intent>,
    condition: Option<EngineStatus>,
    writing: Option<Intent>,
    wanted: Option<(Id, Role)>,
    step: Step,
    asked: Option<Instant>,
}

/// How long an engine that is away is left before it is asked again.
pub const ASK_AGAIN: Duration = Duration::from_millis(500);

impl OrderSender {
    /// A desk that knows nothing yet.
    pub fn new(fencing: Fencing) -> Self {
        Self {
            fencing,
            epoch: None,
            revision: None,
            intent: None,
            condition: None,
            writing: None,
            wanted: None,
            step: Step::Unread,
            asked: None,
        }
    }

    /// The runner's condition as last heard.
    pub fn condition(&self) -> Option<&EngineStatus> {
        self.condition.as_ref()
    }

    /// Whether an order is under way.
    pub fn is_busy(&self) -> bool {
        self.wanted.is_some() || !matches!(self.step, Step::Idle)
    }

    /// Whether the next thing to do is to send an order, for which the engine must be idle.
    pub fn is_about_to_send(&self) -> bool {
        self.step == Step::Ready
    }

    /// Asks for a role. Only one order is under way for a runner; false if it is not taken.
    pub fn request(&mut self, id: Id, role: Role) -> bool {
        if self.is_busy() {
            return false;
        }
        self.wanted = Some((id, role));
        true
    }

    /// What to do at `now` under `authority`, the fencing number that the lease gives at this
    /// moment. `doubtful` says that an earlier holder may still be at work.
    pub fn poll(
        &mut self,
        now: Instant,
        authority: Option<Epoch>,
        doubtful: bool,
    ) -> Option<Action> {
        let Some(epoch) = authority else {
            self.forget();
            return None;
        };
        if self.epoch != Some(epoch) {
            // Another holder may have been at work since: all is read and asked anew.
            self.forget();
            self.epoch = Some(epoch);
        }
        match self.step {
            Step::Unread => Some(Action::Read),
            Step::Unsettled => self.ask(now),
            Step::Idle => self.begin(now, epoch, doubtful),
            Step::Writing | Step::Sent => None,
            Step::Ready => self.send(epoch, doubtful),
        }
    }

    fn forget(&mut self) {
        let wanted = self.wanted.take();
        *self = Self { wanted, ..Self::new(self.fencing) };
    }

    fn ask(&mut self, now: Instant) -> Option<Action> {
        let due = self.asked.is_none_or(|at| now >= at + ASK_AGAIN);
        if !due {
            return None;
        }
        self.asked = Some(now);
        Some(Action::Query)
    }

    /// Whether orders may go to this engine at all. One that ignores fencing numbers would obey an
    /// earlier holder's late order after ours.
    fn may_order(&self, doubtful: bool) -> bool {
        self.fencing == Fencing::Checked || !doubtful
    }

    fn begin(&mut self, now: Instant, epoch: Epoch, doubtful: bool) -> Option<Action> {
        self.wanted.as_ref()?;
        if !self.may_order(doubtful) {
            return None;
        }
        let Some(condition) = self.condition.clone() else {
            return self.ask(now);
        };
        if condition.changing {
            self.condition = None;
            return None;
        }
        let (id, role) = self.wanted.take()?;
        if condition.role == role {
            return None;
        }
        let order = Order { id, epoch, role };
        Some(self.write(Intent { order, from: condition.role, stage: Stage::Open }))
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
        self.condition = None;
        Some(Action::Send(order))
    }

    /// Takes in the stored intent.
    pub fn on_read(&mut self, found: Option<(Point, Intent)>) {
        let settles = self.writing.take();
        let (revision, intent) = found.unzip();
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        let open = intent.as_ref().is_some_and(|i| i.stage == Stage::Open);
        let mine = open && settles.is_some() && settles == intent;
        self.intent = intent;
        self.step = match (open, mine) {
            (_, true) => Step::Ready,
            (true, false) => Step::Unsettled,
            (false, false) => Step::Idle,
        };
    }

    /// Takes in what came of a write: its revision, or `None` when it conflicted or no answer
    /// came. In both cases the stored intent is read again, which settles whose it is.
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

    /// Takes in the engine's word of itself, and settles an open intent by it.
    pub fn on_status(&mut self, condition: &EngineStatus) -> Option<Action> {
        self.condition = Some(condition.clone());
        if self.step != Step::Unsettled || condition.changing {
            return None;
        }
        let epoch = self.epoch?;
        let mut intent = self.intent.clone()?;
        let done = condition.last.as_ref() == Some(&intent.order.id)
            && condition.role == intent.order.role;
        if done {
            intent.stage = Stage::Done;
            return Some(self.write(intent));
        }
        if intent.order.epoch == epoch {
            // Our own order was not taken: send it once more, under the same identity.
            self.step = Step::Ready;
            return None;
        }
        // An earlier holder's order was not taken, and may still come late. Sending the same order
        // under our own number ends the matter: the engine does it once, whoever is first, and an
        // engine that checks numbers refuses the earlier one from then on.
        intent.order.epoch = epoch;
        intent.from = condition.role;
        Some(self.write(intent))
    }

    /// Takes in what came of sending the order.
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
                // A later holder has been at the engine: this authority is over.
                self.forget();
                None
            }
            Answer::Lost => {
                self.step = Step::Unsettled;
                self.asked = None;
                None
            }
        }
    }
}
