//! Whether a request may have run.
//!
//! From the moment at which a call may reach a runner, the request may have run. Only a [`Proof`] takes
//! that back, once for each call; a call that is cancelled or forgotten stays one that may have run.

use http::StatusCode;
use sardinepick_platform::answer::Verdict;
use strum::{Display, IntoStaticStr};

use crate::serve::response::Refusal;

/// Why a call that was begun has certainly not run. Without one of these it may have run.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Proof {
    /// No connection was established.
    NotConnected,
    /// The HTTP client returned the whole request: the connection had been closed.
    Returned,
    /// This node did not send it because of the runner's rate limit.
    RateLimited,
    /// This node did not send it because the runner leaves.
    Leaving,
    /// Its time was over before it was given to a connection.
    Overdue,
    /// The runner has rejected it.
    Rejected,
    /// Another instance is at the runner's address.
    OtherInstance,
}

impl Proof {
    /// The label of calls without a proof.
    pub const NONE: &'static str = "none";

    /// Returns the proof in the head of an answer, if it has one.
    pub fn of_verdict(verdict: &Verdict) -> Option<Self> {
        match verdict {
            Verdict::OtherInstance => Some(Proof::OtherInstance),
            Verdict::NotRun => Some(Proof::Rejected),
            Verdict::Ran | Verdict::Mismatched | Verdict::Unsigned => None,
        }
    }

    /// Whether the runner has read the request, which counts as an arrival.
    pub fn has_arrived(self) -> bool {
        match self {
            Proof::Rejected => true,
            Proof::NotConnected
            | Proof::Returned
            | Proof::RateLimited
            | Proof::Leaving
            | Proof::Overdue
            | Proof::OtherInstance => false,
        }
    }
}

/// The calls of one request that ran it, or may have.
#[derive(Debug, Default)]
pub struct Execution {
    runs: u32,
}

/// A call that may run. Dropping it changes nothing: the request may have run.
#[derive(Debug)]
#[must_use]
pub struct Begun(());

impl Execution {
    /// Records that a call may run from now on.
    pub fn begin(&mut self) -> Begun {
        self.runs += 1;
        Begun(())
    }

    /// Records that a call has certainly not run.
    pub fn disprove(&mut self, _: Begun, proof: Proof) {
        self.runs -= 1;
        log::debug!(proof:% = proof, runs = self.runs; "call did not run");
    }

    /// The number of calls in which a runner ran the request, or may have.
    pub fn runs(&self) -> u32 {
        self.runs
    }

    /// Whether the request runs, has run, or may have.
    pub fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Returns the refusal if it is true, or the one that says that the request may have run.
    pub fn truthful(&self, refusal: Refusal) -> Refusal {
        if !self.may_have_run() || !promises_not_run(refusal.status()) {
            return refusal;
        }
        log::error!(refusal:% = refusal, runs = self.runs; "refusal of a request that may have run");
        if refusal == Refusal::Expired { Refusal::Late } else { Refusal::Broken }
    }
}

/// Returns whether a status tells callers that a request has not run.
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}
