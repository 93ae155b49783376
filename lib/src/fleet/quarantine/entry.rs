//! Quarantine entries, as exchanged between nodes.

use std::time::{Duration, Instant};

use smallvec::SmallVec;
use strum::{Display, IntoStaticStr};

use crate::fleet::fingerprint::Fingerprint;
use crate::fleet::runner::Tag;
use crate::fleet::suspect::MAX_ENDS;

/// How long a proposal without a decision keeps a request from running. After that, the nodes that
/// counted are gone, or have stalled and have no newer information, and the request is restricted.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(2);

/// The state of an entry. Of two states with the same serial the later one applies.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, IntoStaticStr, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "snake_case")]
pub enum Stage {
    /// The request does not run until the decision.
    Proposed,
    /// The request is refused.
    Confirmed,
    /// The request runs in trials, one at a time in the whole deployment.
    Restricted,
    /// The request runs again: it was answered or has made progress, or an operator has released it.
    Cleared,
}

impl Stage {
    /// Whether the platform's store has entries of this stage, for nodes that all start anew.
    pub fn is_stored(self) -> bool {
        matches!(self, Stage::Confirmed | Stage::Restricted)
    }
}

/// The maximum number of failed trials that an entry names.
pub const MAX_FAILED_TRIALS: usize = 2;
/// The pause after the first trial without a result. It doubles with each further one, which bounds
/// the number of trials in a day.
const FIRST_TRIAL_PAUSE: Duration = Duration::from_millis(100);
/// How often it doubles at most.
const MAX_PAUSE_DOUBLINGS: u32 = 20;

/// The quarantine entry of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The fingerprint of the request.
    pub request: Fingerprint,
    /// The number of the proposal. A later proposal supersedes an earlier one.
    pub serial: u32,
    /// The state of the entry.
    pub stage: Stage,
    /// The incarnations of runners that ended under the request.
    pub ends: SmallVec<[Tag; MAX_ENDS]>,
    /// The number of them at which its run had started.
    pub begun: u32,
    /// The furthest progress at any of them, in events that the caller had received.
    pub events: u64,
    /// Those of the runners that ended under a trial.
    pub failed_trials: SmallVec<[Tag; MAX_FAILED_TRIALS]>,
    /// The number of trials without a result.
    pub trials: u32,
    /// When the first of them ended.
    pub first: Instant,
    /// When the entry reached its state, or when the last trial without a result ended.
    pub since: Instant,
}

impl Entry {
    /// Whether it awaits its decision.
    pub(super) fn is_undecided(&self, now: Instant) -> bool {
        self.stage == Stage::Proposed && now < self.since + PROPOSAL_TIMEOUT
    }

    /// Whether it keeps the request from running freely.
    pub(super) fn is_active(&self) -> bool {
        self.stage != Stage::Cleared
    }

    /// Whether the evidence against the request is stronger than against another one, if `ends` of
    /// its ends count: there are more, or as many and only its own runs had all started.
    pub(super) fn is_stronger_than(&self, other: &Entry, ends: usize) -> bool {
        let others = other.ends.len();
        ends > others || ends == others && self.has_always_begun() && !other.has_always_begun()
    }

    fn has_always_begun(&self) -> bool {
        self.begun as usize >= self.ends.len()
    }

    /// What the request has in common with those that cannot be told apart from it: the first of the
    /// runners, in the order of their tags. Trials of a group run one after the other.
    pub fn group(&self) -> Option<Tag> {
        self.ends.iter().copied().min_by_key(|tag| tag.0)
    }

    /// When the next trial may begin.
    pub(super) fn next_trial(&self) -> Instant {
        match self.trials.checked_sub(1) {
            None => self.since,
            Some(doublings) => {
                self.since + FIRST_TRIAL_PAUSE * (1 << doublings.min(MAX_PAUSE_DOUBLINGS))
            }
        }
    }

    /// The number of its ends that are not ends of `others`.
    pub(super) fn unexplained_ends<'a>(
        &self,
        others: &(impl Iterator<Item = &'a Entry> + Clone),
    ) -> usize {
        let is_unexplained = |end: &&Tag| !others.clone().any(|other| other.ends.contains(end));
        self.ends.iter().filter(is_unexplained).count()
    }

    pub(super) fn supersedes(&self, other: &Entry) -> bool {
        let rank = |entry: &Entry| (entry.serial, entry.stage, entry.trials);
        rank(self) > rank(other)
    }
}
