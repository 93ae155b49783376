//! Entries of the quarantine of prompt parts, as exchanged between nodes.

use std::time::{Duration, Instant};

use smallvec::SmallVec;
use strum::{Display, IntoStaticStr};

use super::evidence::{MAX_CRASHES, RETENTION};
use super::prompt::{Context, Mark, Subject};
use crate::fleet::runner::Tag;
use crate::hash::stable_hash;

/// How long a proposal without a decision holds requests back. After that, the nodes that counted
/// are gone, or have stalled and have no newer information.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a quarantined part is refused after the last change.
const QUARANTINE_RETENTION: Duration = Duration::from_secs(86_400);
/// The pauses before the trials of a quarantined part. A trial may crash one more runner; a sound
/// part is refused no longer than until the trial.
const TRIAL_PAUSES: [Duration; 3] =
    [Duration::from_secs(120), Duration::from_secs(600), Duration::from_secs(1_800)];

/// The maximum pause after a trial that has told nothing; it doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(200);
/// How often it doubles at most.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// The state of an entry. Of two states with the same serial the later one applies.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, IntoStaticStr, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "snake_case")]
pub enum Stage {
    /// Requests with the part run one at a time in the whole deployment.
    Restricted,
    /// Requests with the part wait for the decision.
    Proposed,
    /// Requests with the part are refused if they have everything in the context too; others run
    /// one at a time.
    Quarantined,
    /// As `Restricted`, after a trial that has told nothing to one of the nodes that count.
    Undecided,
    /// Requests with the part run: it has been answered, or an operator has released it.
    Cleared,
}

impl Stage {
    /// Whether requests run one at a time.
    pub fn is_restricted(self) -> bool {
        matches!(self, Stage::Restricted | Stage::Undecided)
    }

    /// Whether the platform's store has entries of this stage. Others are too many when many runners
    /// crash at once, and soon cleared.
    pub fn is_stored(self) -> bool {
        matches!(self, Stage::Proposed | Stage::Undecided | Stage::Quarantined)
    }
}

/// The incarnations of runners that crashed under a part.
pub type Crashes = SmallVec<[Tag; MAX_CRASHES]>;

/// The quarantine entry of a part.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The part.
    pub subject: Subject,
    /// The number of times that the part came under suspicion. A later one supersedes an earlier.
    pub serial: u32,
    /// The state of the entry.
    pub stage: Stage,
    /// The incarnations of runners that crashed.
    pub crashes: Crashes,
    /// What the runs had in common besides the part, without parts on which runs had made progress.
    pub context: Context,
    /// Whether a run on the part had ever made progress before the crashes.
    pub was_sound: bool,
    /// The number of failed trials that have told nothing, or of trials since it was quarantined.
    pub trials: u32,
    /// When the last trial began, or when it was quarantined.
    pub tried: Instant,
    /// When the first of the crashes was counted.
    pub first: Instant,
    /// When the entry reached its state; if it was cleared by progress, when that was made.
    pub since: Instant,
}

impl Entry {
    /// Whether it keeps requests from running freely.
    pub fn is_active(&self) -> bool {
        self.stage != Stage::Cleared
    }

    /// Whether requests wait for the decision on it.
    pub(super) fn is_undecided(&self, now: Instant) -> bool {
        self.stage == Stage::Proposed && now < self.since + PROPOSAL_TIMEOUT
    }

    /// Whether it has expired.
    pub(super) fn has_expired(&self, now: Instant, margin: Duration) -> bool {
        let retention = match self.stage {
            Stage::Quarantined => QUARANTINE_RETENTION,
            Stage::Restricted | Stage::Proposed | Stage::Undecided | Stage::Cleared => RETENTION,
        };
        now.saturating_duration_since(self.since) + margin >= retention
    }

    /// When the next trial is due; `None` if there is none.
    pub fn next_trial(&self) -> Option<Instant> {
        let pause = TRIAL_PAUSES.get(usize::try_from(self.trials).ok()?)?;
        Some(self.tried + *pause)
    }

    /// When the next run of a restricted part may begin. After a trial that has told nothing there is
    /// a pause that differs from part to part: two parts whose trials have crashed the same runner
    /// would otherwise be tried together again.
    pub(super) fn next_run(&self) -> Instant {
        if self.stage != Stage::Undecided {
            return self.since;
        }
        let doublings = self.trials.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
        let fraction = stable_hash(u64::from(self.serial), self.subject.fingerprint().as_bytes());
        let pause = FIRST_BACKOFF * (1 << doublings);
        self.since + pause.mul_f64(fraction as f64 / u64::MAX as f64)
    }

    /// Merges another node's entry of the same part. Returns whether this one has changed.
    pub(super) fn merge(&mut self, other: Entry) -> bool {
        let (mine, theirs) = ((self.serial, self.stage), (other.serial, other.stage));
        if theirs > mine {
            *self = other;
            return true;
        }
        if theirs < mine {
            return false;
        }
        let size = |entry: &Self| {
            (entry.context.len(), entry.crashes.len(), entry.trials, entry.was_sound)
        };
        let before = size(self);
        self.context.retain(|mark| other.context.contains(mark));
        for tag in other.crashes {
            if self.crashes.len() < MAX_CRASHES && !self.crashes.contains(&tag) {
                self.crashes.push(tag);
            }
        }
        if other.trials > self.trials {
            (self.trials, self.tried) = (other.trials, other.tried);
        }
        self.was_sound |= other.was_sound;
        before != size(self)
    }

    /// Whether the part is most probably sound still: a run had made progress before the crashes,
    /// and no trial has failed since.
    pub(super) fn is_probably_sound(&self) -> bool {
        self.was_sound && self.trials == 0 && self.stage.is_restricted()
    }

    /// Whether another part was in all of its runs.
    pub(super) fn has_in_context(&self, other: &Subject) -> bool {
        self.context.contains(&other.mark())
    }

    /// A hash of the entry for digests.
    pub(super) fn digest(&self) -> u64 {
        let state = u64::from(self.serial) << 16 | u64::from(self.trials) << 8 | self.stage as u64;
        let context = self.context.iter().fold(state, |sum, Mark(mark)| sum ^ mark.rotate_left(17));
        // Of many crashes, nodes may remember different ones.
        let crashes = (self.crashes.len() as u64) << 1 | u64::from(self.was_sound);
        let seed = context ^ crashes.rotate_left(48);
        stable_hash(seed, self.subject.fingerprint().as_bytes())
    }
}
