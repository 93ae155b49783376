//! Proofs that a call did not run.

use http::StatusCode;
use sardinepick_platform::answer::Verdict;
use strum::{Display, IntoStaticStr};

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
            Verdict::Ran | Verdict::Mismatched => None,
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

/// Returns whether a status tells callers that a request has not run.
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}
