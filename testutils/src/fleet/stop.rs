//! The planned stop of a node, as its callers observe it.

use std::time::Duration;

use tokio::time::Instant;

use crate::fleet::raw_caller::{End, RawReply};
use crate::fleet::runner::Runner;

/// A request that is written later than this after SIGTERM must not be cut (platform rules).
pub const LAST_CUT: Duration = Duration::from_secs(3);
/// How long after the grace period a cut belongs to the stop (platform rules).
const END_SLACK: Duration = Duration::from_secs(1);

/// A SIGTERM of a node.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// When the signal was sent.
    pub terminated: Instant,
    /// The grace period.
    pub grace: Duration,
}

/// A request that did not get a complete response.
#[derive(Clone, Copy, Debug)]
pub struct Loss<'a> {
    /// The request id.
    pub id: &'a str,
    /// When its last byte was written.
    pub written: Instant,
    /// What its caller received.
    pub reply: &'a RawReply,
    /// When the caller saw the end of the response.
    pub ended: Instant,
}

impl Stop {
    /// The beginning of the last sixth of the grace period.
    pub fn last_sixth(&self) -> Instant {
        self.terminated + self.grace.mul_f64(5.0 / 6.0)
    }

    /// Whether the node may cut this response. It may do so only in the last sixth of the grace period,
    /// while a runner still works on a request that was written early enough, and only if a part of the
    /// response had been sent, since the node can still refuse a request before that.
    pub fn excuses(&self, loss: &Loss<'_>, runners: &[Runner]) -> bool {
        let is_cut = matches!(loss.reply.end, End::Closed | End::Reset) && loss.reply.status != 0;
        let (from, until) = (self.last_sixth(), self.terminated + self.grace + END_SLACK);
        let is_early = loss.written <= self.terminated + LAST_CUT;
        let worked = || runners.iter().any(|runner| runner.worked_on_since(loss.id, from));
        is_cut && is_early && (from..until).contains(&loss.ended) && worked()
    }
}
