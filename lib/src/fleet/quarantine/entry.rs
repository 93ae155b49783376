//! What nodes tell each other of one request that is not run, or was not.

use std::time::{Duration, Instant};

use smallvec::SmallVec;
use strum::{Display, IntoStaticStr};

use crate::fleet::fingerprint::Fingerprint;
use crate::fleet::runner::Tag;
use crate::fleet::suspect::MOST_ENDS;

/// How long a proposal that nobody decides keeps a request from being run: those who counted are gone
/// then, or were held up and know nothing newer.
const UNDECIDED: Duration = Duration::from_secs(2);

/// How far it has come with a request. Of two that are told with one serial the later one holds.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, IntoStaticStr, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "snake_case")]
pub enum Stage {
    /// It is not run until it is decided.
    Proposed,
    /// It is refused.
    Confirmed,
    /// It is run again; its ends still count.
    Withdrawn,
    /// It is run again: it has been answered, or an operator has released it.
    Cleared,
}

/// What nodes tell each other of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The request.
    pub request: Fingerprint,
    /// Which proposal of it this is. A later one outweighs an earlier one.
    pub serial: u32,
    /// How far it has come.
    pub stage: Stage,
    /// The lives of runners that ended under it.
    pub ends: SmallVec<[Tag; MOST_ENDS]>,
    /// At how many of them its run had begun.
    pub begun: u32,
    /// When the first of them ended.
    pub first: Instant,
    /// When it came to this stage.
    pub since: Instant,
}

impl Entry {
    /// Whether it keeps the request from being run.
    pub(super) fn stands(&self, now: Instant) -> bool {
        match self.stage {
            Stage::Proposed => now < self.since + UNDECIDED,
            Stage::Confirmed => true,
            Stage::Withdrawn | Stage::Cleared => false,
        }
    }

    /// How strongly the ends speak against it, beside others.
    pub(super) fn weight(&self) -> (usize, u32) {
        (self.ends.len(), self.begun)
    }

    /// How many of its ends are left without those of `others`.
    pub(super) fn beside<'a>(&self, others: &(impl Iterator<Item = &'a Entry> + Clone)) -> usize {
        let is_left = |life: &&Tag| !others.clone().any(|other| other.ends.contains(life));
        self.ends.iter().filter(is_left).count()
    }

    pub(super) fn outweighs(&self, other: &Entry) -> bool {
        (self.serial, self.stage) > (other.serial, other.stage)
    }
}
