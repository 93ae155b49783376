//! The states of a request, and what may still be done or said in each.
//!
//! The promise is that a refusal which says `not_run` is true and that a caller gets exactly its
//! own whole answer. Both hang on one order of events: a request is *sent* before the first of its
//! bytes can leave, and from then on only the runner's own proof makes it not run.

use smol_str::SmolStr;
use strum::{Display, EnumString, IntoStaticStr};
use thiserror::Error;

use crate::id::{Attempt, Name};

/// Whether a refused request may have had an effect.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Run {
    /// It had none: no runner started it.
    NotRun,
    /// It may have had one.
    Unknown,
}

/// What may be done again with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryMode {
    /// Nothing once it was sent.
    Never,
    /// The whole of it.
    Idempotent,
    /// It goes on from the token at which it stopped.
    Resumable,
}

/// How an attempt failed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Fault {
    /// No connection: no byte of the request left.
    #[error("connection to {peer} failed: {detail}")]
    Connect {
        /// The runner.
        peer: Name,
        /// What the transport says.
        detail: SmolStr,
    },
    /// The runner says that it did not start the request.
    #[error("{peer} refused the request before starting it: {detail}")]
    Refused {
        /// The runner.
        peer: Name,
        /// What it says.
        detail: SmolStr,
    },
    /// The answer broke off, or never came.
    #[error("response of {peer} was interrupted: {detail}")]
    Broken {
        /// The runner.
        peer: Name,
        /// What the transport says.
        detail: SmolStr,
    },
    /// The answer is not one to this request: a token is missing, or the form is wrong.
    #[error("response of {peer} is invalid: {detail}")]
    Wrong {
        /// The runner.
        peer: Name,
        /// What does not fit.
        detail: SmolStr,
    },
}

impl Fault {
    /// Whether the fault proves that the attempt had no effect.
    pub fn proves_not_run(&self) -> bool {
        matches!(self, Fault::Connect { .. } | Fault::Refused { .. })
    }
}

/// Where a request is on its way.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// Its head has been read.
    Received,
    /// It may use the system.
    Admitted,
    /// A runner is chosen.
    Bound,
    /// Its bytes may have left.
    Sent,
    /// Part of its answer has come.
    Streaming,
    /// Its whole answer has come.
    Done,
    /// It was refused.
    Refused,
}

/// What to do after a fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Try again from the start.
    Retry,
    /// Go on from this token at another runner.
    Resume {
        /// Tokens that the caller already has.
        from: u64,
    },
    /// Give up and say so.
    Refuse(Run),
}

/// What to do with a frame of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Pass it to the caller.
    Pass,
    /// Drop it: it belongs to an older attempt or has been passed already.
    Drop,
    /// The answer has a gap: the attempt has failed.
    Gap,
}

/// One request's way through a node.
#[derive(Clone, Debug)]
pub struct Request {
    state: State,
    repeat: RetryMode,
    attempt: Attempt,
    forwarded: u64,
    /// The attempt under way has been sent and not been proved unstarted.
    sent: bool,
    /// An earlier attempt may have run.
    may_have_run: bool,
}

impl Request {
    /// A request that has been received.
    pub fn new(repeat: RetryMode) -> Self {
        Self {
            state: State::Received,
            repeat,
            attempt: Attempt(0),
            forwarded: 0,
            sent: false,
            may_have_run: false,
        }
    }

    /// Where the request is.
    pub fn state(&self) -> State {
        self.state
    }

    /// The attempt under way.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// How many tokens the caller has.
    pub fn forwarded(&self) -> u64 {
        self.forwarded
    }

    /// Notes that the request may use the system.
    pub fn admit(&mut self) {
        debug_assert_eq!(self.state, State::Received);
        self.state = State::Admitted;
    }

    /// Notes that a runner is chosen.
    pub fn bind(&mut self) {
        self.state = State::Bound;
    }

    /// Notes that bytes may leave from now on, and numbers the attempt.
    pub fn send(&mut self) -> Attempt {
        self.state = State::Sent;
        self.attempt = self.attempt.next();
        self.sent = true;
        self.attempt
    }

    /// Judges token `index` (from 0) of `attempt`'s answer.
    pub fn on_token(&mut self, attempt: Attempt, index: u64) -> Verdict {
        if attempt != self.attempt || !matches!(self.state, State::Sent | State::Streaming) {
            return Verdict::Drop;
        }
        if index < self.forwarded {
            return Verdict::Drop;
        }
        if index > self.forwarded {
            return Verdict::Gap;
        }
        self.state = State::Streaming;
        self.forwarded += 1;
        Verdict::Pass
    }

    /// Judges the closing frame of `attempt`'s answer.
    pub fn close(&mut self, attempt: Attempt) -> Verdict {
        if attempt != self.attempt || !matches!(self.state, State::Sent | State::Streaming) {
            return Verdict::Drop;
        }
        self.state = State::Done;
        Verdict::Pass
    }

    /// What to do after `fault` of the attempt under way. `granted` says whether the retry budget
    /// and the deadline allow another.
    pub fn on_fault(&mut self, fault: &Fault, granted: bool) -> NextStep {
        self.may_have_run |= self.sent && !fault.proves_not_run();
        self.sent = false;
        let repeatable = match self.repeat {
            RetryMode::Never => !self.may_have_run,
            RetryMode::Idempotent => self.forwarded == 0,
            RetryMode::Resumable => true,
        };
        if !granted || !repeatable {
            return NextStep::Refuse(self.refuse());
        }
        self.state = State::Admitted;
        match (self.repeat, self.forwarded) {
            (RetryMode::Resumable, from) if from > 0 => NextStep::Resume { from },
            _ => NextStep::Retry,
        }
    }

    /// Ends the request without an answer and says what may be said of it.
    pub fn refuse(&mut self) -> Run {
        self.state = State::Refused;
        if self.sent || self.may_have_run { Run::Unknown } else { Run::NotRun }
    }
}
