//! Quarantine entries, as exchanged between nodes.

use std::time::{Duration, Instant};

use smallvec::SmallVec;
use strum::{Display, IntoStaticStr};

use crate::fleet::fingerprint::Fingerprint;
use crate::fleet::runner::Tag;
use crate::fleet::suspect::MAX_ENDS;

/// How long a proposal without a decision keeps a request from running. After that, the nodes that
/// counted are gone, or have stalled and have no newer information.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(2);

/// The state of an entry. Of two states with the same serial the later one applies.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, IntoStaticStr, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "snake_case")]
pub enum Stage {
    /// The request does not run until the decision.
    Proposed,
    /// The request is refused.
    Confirmed,
    /// The request runs again; its ends still count.
    Withdrawn,
    /// The request runs again: it was answered, or an operator has released it.
    Cleared,
}

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
    /// When the first of them ended.
    pub first: Instant,
    /// When the entry reached its state.
    pub since: Instant,
}

impl Entry {
    /// Whether it keeps the request from running.
    pub(super) fn is_active(&self, now: Instant) -> bool {
        match self.stage {
            Stage::Proposed => now < self.since + PROPOSAL_TIMEOUT,
            Stage::Confirmed => true,
            Stage::Withdrawn | Stage::Cleared => false,
        }
    }

    /// How strong the evidence against the request is, for comparison with other entries.
    pub(super) fn evidence(&self) -> (usize, u32) {
        (self.ends.len(), self.begun)
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
        (self.serial, self.stage) > (other.serial, other.stage)
    }
}
