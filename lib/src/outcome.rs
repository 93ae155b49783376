//! The states of a request, and which actions and statements are allowed in each.
//!
//! Two guarantees depend on them: a refusal marked `not_run` is true, and a client gets exactly the
//! complete answer to its own request. For this a request is marked as sent before its first byte
//! can leave, and from then on only proof from the runner allows saying that it was not run.

use smol_str::SmolStr;
use strum::{Display, EnumString, IntoStaticStr};
use thiserror::Error;

use crate::id::{Attempt, Name};

/// Whether a refused request may have had an effect.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Run {
    /// No runner started it.
    NotRun,
    /// It may have had an effect.
    Unknown,
}

/// How a request may be retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryMode {
    /// Not at all once it was sent.
    Never,
    /// From the start.
    Idempotent,
    /// From the token at which it stopped.
    Resumable,
}

/// How an attempt failed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Fault {
    /// The connection failed; no byte of the request was sent.
    #[error("connecting to {peer}: {detail}")]
    Connect {
        /// The runner.
        peer: Name,
        /// The error of the transport.
        detail: SmolStr,
    },
    /// The runner refused the request without starting it.
    #[error("{peer} refused the request unstarted: {detail}")]
    Refused {
        /// The runner.
        peer: Name,
        /// The reason given by the runner.
        detail: SmolStr,
    },
    /// The response was interrupted or never arrived.
    #[error("answer of {peer} broke off: {detail}")]
    Interrupted {
        /// The runner.
        peer: Name,
        /// The error of the transport.
        detail: SmolStr,
    },
    /// The response does not match the request: a token is missing or the format is wrong.
    #[error("answer of {peer} does not fit: {detail}")]
    Invalid {
        /// The runner.
        peer: Name,
        /// What does not match.
        detail: SmolStr,
    },
}

impl Fault {
    /// Whether the fault proves that the attempt had no effect.
    pub fn proves_not_run(&self) -> bool {
        matches!(self, Fault::Connect { .. } | Fault::Refused { .. })
    }
}

/// The state of a request.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// Its head has been read.
    Received,
    /// It has been admitted.
    Admitted,
    /// A runner has been chosen.
    Bound,
    /// Bytes of it may have been sent.
    Sent,
    /// Part of the response has arrived.
    Streaming,
    /// The complete response has arrived.
    Done,
    /// It was refused.
    Refused,
}

/// What to do after a fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Retry from the start.
    Retry,
    /// Resume at another runner.
    Resume {
        /// The number of tokens that the client already has.
        from: u64,
    },
    /// Refuse the request.
    Refuse(Run),
}

/// What to do with a frame of a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Forward it to the client.
    Pass,
    /// Drop it: it belongs to an earlier attempt or was forwarded already.
    Drop,
    /// Fail the attempt: a token is missing.
    Gap,
}

/// The state machine of one request in a node.
#[derive(Clone, Debug)]
pub struct Request {
    state: State,
    repeat: RetryMode,
    attempt: Attempt,
    forwarded: u64,
    /// The current attempt has been sent and is not proved to be unstarted.
    sent: bool,
    /// An earlier attempt may have run.
    may_have_run: bool,
}

impl Request {
    /// Creates a request that has been received.
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

    /// The current state.
    pub fn state(&self) -> State {
        self.state
    }

    /// The current attempt.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// How many tokens have been forwarded to the client.
    pub fn forwarded(&self) -> u64 {
        self.forwarded
    }

    /// Records that the request was admitted.
    pub fn admit(&mut self) {
        debug_assert_eq!(self.state, State::Received);
        self.state = State::Admitted;
    }

    /// Records that a runner was chosen.
    pub fn bind(&mut self) {
        self.state = State::Bound;
    }

    /// Records that bytes may be sent from now on, and returns the number of the attempt.
    pub fn send(&mut self) -> Attempt {
        self.state = State::Sent;
        self.attempt = self.attempt.next();
        self.sent = true;
        self.attempt
    }

    /// Handles token `index` (from 0) of the response to `attempt`.
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

    /// Handles the final frame of the response to `attempt`.
    pub fn close(&mut self, attempt: Attempt) -> Verdict {
        if attempt != self.attempt || !matches!(self.state, State::Sent | State::Streaming) {
            return Verdict::Drop;
        }
        self.state = State::Done;
        Verdict::Pass
    }

    /// Handles `fault` of the current attempt. `granted` says whether the retry budget and the
    /// deadline allow another attempt.
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

    /// Ends the request without an answer and returns whether it may have run.
    pub fn refuse(&mut self) -> Run {
        self.state = State::Refused;
        if self.sent || self.may_have_run { Run::Unknown } else { Run::NotRun }
    }
}
