//! Quarantine: requests that are no longer run because each runner that ran them has ended.
//!
//! A node that counts enough ends under a request proposes it to all nodes. The request runs
//! nowhere for a moment, while nodes that have answered it since can object, and other proposals
//! for the same ends arrive. If several requests were running when the same runners ended, the one
//! with the most ends accounts for them and the others are released. If none stands out, or many
//! are proposed at once, the runners are at fault and nothing is confirmed: refusing a good request
//! is worse than losing one more runner.
//!
//! A confirmed request is refused by all nodes. Entries are gossiped like roster records; a digest
//! shows nodes that they have missed some.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

pub use self::entry::{Entry, Stage};
use super::digest::Differences;
use super::fingerprint::Fingerprint;
use super::recent::Recent;
use super::suspect::{QUARANTINE_ENDS, Suspect};
use crate::hash::stable_hash;
use crate::id::NodeId;

mod entry;

/// How long a proposal waits for its decision: an update reaches 550 nodes in a tenth of a second,
/// and objections take the same time back.
pub const DECISION_DELAY: Duration = Duration::from_millis(300);
/// The maximum number of concurrent proposals without a common cause. When runners end by their own
/// fault, there are many.
const MAX_CONCURRENT: usize = 4;
/// The maximum number of proposals that a node makes while others are undecided.
const MAX_PROPOSED: usize = 16;
/// The number of ends that confirm a proposal even if another request was running at all of them.
const CERTAIN_ENDS: usize = 5;
/// How long a request is refused after the last change, and how long other entries are kept.
const RETENTION: Duration = Duration::from_secs(86_400);
/// How long before its expiry an entry is excluded from the digest, as nodes remove it at slightly
/// different times.
const DIGEST_MARGIN: Duration = Duration::from_secs(60);
/// The pauses after which a refused request is tried again, one for each trial. A trial may end one
/// more runner; a good request is refused no longer than until the trial.
const TRIAL_PAUSES: [Duration; 3] =
    [Duration::from_secs(30), Duration::from_secs(600), Duration::from_secs(1_800)];
/// The maximum number of entries.
const MAX_ENTRIES: usize = 1_024;
/// The maximum number of entries in one message, at up to 110 bytes each.
pub const MAX_ENTRIES_PER_MESSAGE: usize = 8;

#[derive(Clone, Debug)]
struct Tracked {
    entry: Entry,
    /// The number of trials since it was confirmed.
    trials: usize,
    /// The time of the last trial, and of the one before.
    tried: Instant,
    tried_before: Instant,
    /// How often this node has refused the request.
    refused: u64,
}

/// What a node does with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Disposition {
    /// It may run.
    Free,
    /// It waits for a decision.
    Undecided,
    /// It is refused.
    Refused,
}

/// The quarantine entries known to one node.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    entries: HashMap<Fingerprint, Tracked>,
    updates: VecDeque<Fingerprint>,
    answered: Recent,
    /// The nodes whose digests differ from this node's.
    differences: Differences,
}

impl Quarantine {
    /// What to do with a request.
    pub fn disposition(&self, request: &Fingerprint, now: Instant) -> Disposition {
        match self.get(request).filter(|entry| entry.is_active(now)) {
            None => Disposition::Free,
            Some(entry) if entry.stage == Stage::Confirmed => Disposition::Refused,
            Some(_) => Disposition::Undecided,
        }
    }

    /// The entry of a request.
    pub fn get(&self, request: &Fingerprint) -> Option<&Entry> {
        self.entries.get(request).map(|tracked| &tracked.entry)
    }

    /// Proposes a request by the ends under it. Returns `None` if there are too few ends, if the
    /// request is already proposed or confirmed, or if there are so many proposals that the runners
    /// must be at fault.
    pub fn propose(
        &mut self,
        request: Fingerprint,
        suspect: &Suspect,
        now: Instant,
    ) -> Option<Entry> {
        let known = self.get(&request);
        let is_active = known.is_some_and(|entry| entry.is_active(now));
        if suspect.ends().len() < QUARANTINE_ENDS
            || is_active
            || self.proposed(now).count() >= MAX_PROPOSED
        {
            return None;
        }
        let entry = Entry {
            request,
            serial: known.map_or(0, |entry| entry.serial).saturating_add(1),
            stage: Stage::Proposed,
            ends: suspect.ends().iter().map(|end| end.incarnation).collect(),
            begun: suspect.ends().iter().filter(|end| end.progress.begun).count() as u32,
            first: suspect.first(),
            since: now,
        };
        self.apply_entry(entry.clone(), now).then_some(entry)
    }

    fn proposed(&self, now: Instant) -> impl Iterator<Item = &Entry> + Clone {
        let entries = self.entries.values().map(|tracked| &tracked.entry);
        entries.filter(move |entry| entry.stage == Stage::Proposed && entry.is_active(now))
    }

    /// Whether any proposal is undecided.
    pub fn has_undecided(&self, now: Instant) -> bool {
        self.proposed(now).next().is_some()
    }

    /// The proposals that are due for a decision.
    pub fn due(&self, now: Instant) -> Vec<Fingerprint> {
        let due = self.proposed(now).filter(|entry| now >= entry.since + DECISION_DELAY);
        due.map(|entry| entry.request).collect()
    }

    /// The decision on a proposal from everything known now; `None` if the request is not proposed.
    pub fn decide(&self, request: &Fingerprint, now: Instant) -> Option<Stage> {
        let entry = self.proposed(now).find(|entry| entry.request == *request)?;
        let stands_out = self.stands_out(entry, now);
        let at_once = self.proposed(now).filter(|other| self.stands_out(other, now)).count();
        let confirmed = stands_out && at_once <= MAX_CONCURRENT;
        Some(if confirmed { Stage::Confirmed } else { Stage::Withdrawn })
    }

    /// Whether enough ends of a proposal remain after removing those that another request accounts
    /// for as well or better.
    fn stands_out(&self, entry: &Entry, now: Instant) -> bool {
        let certain = entry.ends.len() >= CERTAIN_ENDS;
        let others = self.entries.values().map(|tracked| &tracked.entry).filter(|other| {
            let better = other.evidence() > entry.evidence();
            let as_well = other.evidence() == entry.evidence() && !certain;
            other.is_active(now) && other.request != entry.request && (better || as_well)
        });
        entry.unexplained_ends(&others) >= QUARANTINE_ENDS
    }

    /// The other requests under which at least as many of the same runners have ended.
    pub fn rivals(&self, request: &Fingerprint) -> Vec<Fingerprint> {
        let Some(entry) = self.get(request) else { return Vec::new() };
        let is_rival = |other: &&Entry| {
            let shares = other.ends.iter().any(|end| entry.ends.contains(end));
            other.request != *request && shares && other.ends.len() >= entry.ends.len()
        };
        self.entries().filter(is_rival).map(|other| other.request).collect()
    }

    /// Moves a request to a state that this node has decided. Returns `None` if it is in that state
    /// already or was not proposed.
    pub fn set(&mut self, request: &Fingerprint, stage: Stage, now: Instant) -> Option<Entry> {
        let entry = Entry { stage, since: now, ..self.get(request)?.clone() };
        self.apply_entry(entry.clone(), now).then_some(entry)
    }

    /// Applies an entry. Returns whether it is new, in which case it is passed on.
    pub fn apply_entry(&mut self, entry: Entry, now: Instant) -> bool {
        if now.saturating_duration_since(entry.since) >= RETENTION {
            return false;
        }
        let request = entry.request;
        match self.entries.get_mut(&request) {
            Some(tracked) if !entry.supersedes(&tracked.entry) => return false,
            Some(tracked) => {
                let confirmed = entry.stage == Stage::Confirmed;
                if confirmed {
                    (tracked.trials, tracked.tried, tracked.tried_before) =
                        (0, entry.since, entry.since);
                }
                tracked.entry = entry;
            }
            None => {
                if self.entries.len() >= MAX_ENTRIES {
                    self.make_room();
                }
                let (tried, tried_before) = (entry.since, entry.since);
                let tracked = Tracked { entry, trials: 0, tried, tried_before, refused: 0 };
                self.entries.insert(request, tracked);
            }
        }
        self.updates.retain(|other| *other != request);
        self.updates.push_back(request);
        true
    }

    /// Removes the oldest entry, and confirmed entries last.
    fn make_room(&mut self) {
        let order =
            |tracked: &Tracked| (tracked.entry.stage == Stage::Confirmed, tracked.entry.since);
        let victim = self.entries.iter().min_by_key(|(_, tracked)| order(tracked));
        let victim = victim.map(|(request, _)| *request);
        victim.map(|request| self.entries.remove(&request));
    }

    /// Takes the entries for the next message.
    pub fn take_updates(&mut self) -> Vec<Entry> {
        let count = self.updates.len().min(MAX_ENTRIES_PER_MESSAGE);
        let requests: Vec<Fingerprint> = self.updates.drain(..count).collect();
        requests.iter().filter_map(|request| self.get(request).cloned()).collect()
    }

    /// Whether there is an entry that has not been sent in any message.
    pub fn has_updates(&self) -> bool {
        !self.updates.is_empty()
    }

    /// All entries.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().map(|tracked| &tracked.entry)
    }

    /// How often this node has refused a request.
    pub fn refused(&self, request: &Fingerprint) -> u64 {
        self.entries.get(request).map_or(0, |tracked| tracked.refused)
    }

    /// Counts a refusal.
    pub fn note_refused(&mut self, request: &Fingerprint) {
        if let Some(tracked) = self.entries.get_mut(request) {
            tracked.refused += 1;
        }
    }

    /// Whether a refused request is to be tried now. Records the trial if so.
    pub fn begin_trial(&mut self, request: &Fingerprint, now: Instant) -> bool {
        let Some(tracked) = self.entries.get_mut(request) else { return false };
        let pause = TRIAL_PAUSES.get(tracked.trials);
        let due = pause.is_some_and(|pause| now >= tracked.tried + *pause);
        if due && tracked.entry.stage == Stage::Confirmed {
            tracked.trials += 1;
            tracked.tried_before = std::mem::replace(&mut tracked.tried, now);
            return true;
        }
        false
    }

    /// Records that a request that was to be tried has not run, so that the next one is tried
    /// instead.
    pub fn return_trial(&mut self, request: &Fingerprint) {
        if let Some(tracked) = self.entries.get_mut(request)
            && let Some(before) = tracked.trials.checked_sub(1)
        {
            tracked.trials = before;
            tracked.tried = tracked.tried_before;
        }
    }

    /// Records that a request was answered completely. Returns whether it is proposed or refused.
    pub fn note_answered(&mut self, request: Fingerprint, now: Instant) -> bool {
        self.answered.note(request, now);
        self.disposition(&request, now) != Disposition::Free
    }

    /// Whether this node objects to an entry: it has answered the request since the first end.
    pub fn contradicts(&self, entry: &Entry) -> bool {
        let is_held = matches!(entry.stage, Stage::Proposed | Stage::Confirmed);
        is_held && self.answered.last(&entry.request).is_some_and(|at| at > entry.first)
    }

    /// Removes expired entries and returns their requests.
    pub fn expire(&mut self, now: Instant) -> Vec<Fingerprint> {
        let is_expired =
            |tracked: &Tracked| now.saturating_duration_since(tracked.entry.since) >= RETENTION;
        let expired: Vec<Fingerprint> = self
            .entries
            .iter()
            .filter(|(_, tracked)| is_expired(tracked))
            .map(|(r, _)| *r)
            .collect();
        self.entries.retain(|_, tracked| !is_expired(tracked));
        expired
    }

    /// A digest of all entries; zero if there are none.
    pub fn digest(&self, now: Instant) -> u64 {
        let included =
            |entry: &&Entry| now.saturating_duration_since(entry.since) + DIGEST_MARGIN < RETENTION;
        let one = |entry: &Entry| {
            let seed = u64::from(entry.serial) << 8 | entry.stage as u64;
            stable_hash(seed, entry.request.as_bytes())
        };
        self.entries().filter(included).fold(0, |sum, entry| sum ^ one(entry))
    }

    /// Compares another node's digest with this node's. Returns whether they have differed long
    /// enough to compare the entries.
    pub fn note_digest(&mut self, node: &NodeId, digest: u64, now: Instant) -> bool {
        let same = digest == self.digest(now);
        self.differences.note(node, same, now)
    }
}
