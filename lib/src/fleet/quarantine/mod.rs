//! Quarantine: requests that are no longer run because each runner that ran them has ended.
//!
//! A node that counts enough ends under a request proposes it to all nodes. The request runs
//! nowhere for a moment, while nodes that have answered it since can object, and other proposals
//! for the same ends arrive. If one request has clearly more ends than all others that were running
//! when the same runners ended, it is confirmed and refused by all nodes.
//!
//! All others are restricted: they run in trials. Requests that share their ends are tried one after
//! the other in the whole deployment, so that the next end names one of them. A trial that makes
//! progress past the furthest end, or is answered, clears its request; one that ends its runner
//! confirms it.
//!
//! Ends are never taken off a request because another one accounts for them. A confirmed request
//! for whose ends another one accounts better is restricted again.
//!
//! Entries are gossiped like roster records; a digest shows nodes that they have missed some.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

pub use self::entry::{Entry, MAX_FAILED_TRIALS, Stage};
use super::digest::Differences;
use super::fingerprint::Fingerprint;
use super::recent::Recent;
use super::runner::Tag;
use super::suspect::{MAX_ENDS, MIN_PROGRESS, QUARANTINE_ENDS, RunnerEnd, Suspect};
use crate::hash::stable_hash;
use crate::id::NodeId;

mod entry;

/// How long a proposal waits for its decision: an update reaches 550 nodes in a tenth of a second,
/// and objections take the same time back.
pub const DECISION_DELAY: Duration = Duration::from_millis(300);
/// The maximum number of concurrent proposals that stand out. When runners end by their own fault,
/// there are many, and none is confirmed without a trial.
const MAX_CONCURRENT: usize = 4;
/// The maximum number of undecided proposals. Further requests are restricted at once.
const MAX_PROPOSED: usize = 16;
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
    /// It waits for a decision, or for the next trial.
    Undecided,
    /// It may run if no other request of this group does.
    Restricted(Tag),
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
        let Some(entry) = self.get(request) else { return Disposition::Free };
        match entry.stage {
            Stage::Cleared => Disposition::Free,
            Stage::Confirmed => Disposition::Refused,
            Stage::Proposed if entry.is_undecided(now) => Disposition::Undecided,
            Stage::Proposed | Stage::Restricted if now < entry.next_trial() => {
                Disposition::Undecided
            }
            Stage::Proposed | Stage::Restricted => {
                entry.group().map_or(Disposition::Free, Disposition::Restricted)
            }
        }
    }

    /// Whether a run of a request that had passed `events` events on has made progress past the
    /// furthest end. It clears the request.
    pub fn has_progressed(&self, request: &Fingerprint, events: u64) -> bool {
        let entry = self.get(request).filter(|entry| entry.is_active());
        entry.is_some_and(|entry| events >= entry.events.saturating_add(MIN_PROGRESS))
    }

    /// Whether a request may run in trials.
    pub fn is_restricted(&self, request: &Fingerprint, now: Instant) -> bool {
        let is_restricted = |entry: &Entry| match entry.stage {
            Stage::Restricted => true,
            Stage::Proposed => !entry.is_undecided(now),
            Stage::Confirmed | Stage::Cleared => false,
        };
        self.get(request).is_some_and(is_restricted)
    }

    /// Records that a trial of a restricted request has ended without a result. Returns the entry to
    /// pass on; `None` if the request is no longer restricted.
    pub fn note_trial(&mut self, request: &Fingerprint, now: Instant) -> Option<Entry> {
        let known = self.get(request).filter(|_| self.is_restricted(request, now))?;
        let trials = known.trials.saturating_add(1);
        let entry = Entry { stage: Stage::Restricted, trials, since: now, ..known.clone() };
        self.apply_entry(entry.clone(), now).then_some(entry)
    }

    /// Whether a request does not run freely.
    pub fn is_active(&self, request: &Fingerprint) -> bool {
        self.get(request).is_some_and(Entry::is_active)
    }

    /// The entry of a request.
    pub fn get(&self, request: &Fingerprint) -> Option<&Entry> {
        self.entries.get(request).map(|tracked| &tracked.entry)
    }

    /// Proposes a request by the ends under it, or restricts it if there are too many proposals.
    /// Returns `None` if there are too few ends, if the request is already proposed or confirmed, or
    /// if it is restricted and there is no new end.
    pub fn propose(
        &mut self,
        request: Fingerprint,
        suspect: &Suspect,
        now: Instant,
    ) -> Option<Entry> {
        let known = self.get(&request).filter(|entry| entry.is_active());
        let new: Vec<&RunnerEnd> = suspect
            .ends()
            .iter()
            .filter(|end| known.is_none_or(|known| !known.ends.contains(&end.incarnation)))
            .collect();
        let is_decided = known.is_some_and(|known| {
            known.stage == Stage::Confirmed || known.is_undecided(now) || new.is_empty()
        });
        let mut ends = known.map(|known| known.ends.clone()).unwrap_or_default();
        ends.extend(new.iter().map(|end| end.incarnation).take(MAX_ENDS - ends.len()));
        if is_decided || ends.len() < QUARANTINE_ENDS {
            return None;
        }
        let mut failed_trials = known.map(|known| known.failed_trials.clone()).unwrap_or_default();
        let failed = new.iter().filter(|end| end.is_trial).map(|end| end.incarnation);
        failed_trials.extend(failed.take(MAX_FAILED_TRIALS - failed_trials.len()));
        let begun = suspect.ends().iter().filter(|end| end.progress.begun).count() as u32;
        let is_crowded = self.proposed(now).count() >= MAX_PROPOSED;
        let entry = Entry {
            request,
            serial: self.get(&request).map_or(0, |entry| entry.serial).saturating_add(1),
            stage: if is_crowded { Stage::Restricted } else { Stage::Proposed },
            ends,
            begun: begun.max(known.map_or(0, |known| known.begun)),
            events: suspect.furthest().max(known.map_or(0, |known| known.events)),
            failed_trials,
            trials: known.map_or(0, |known| known.trials),
            first: known.map_or(suspect.first(), |known| known.first.min(suspect.first())),
            since: now,
        };
        self.apply_entry(entry.clone(), now).then_some(entry)
    }

    fn proposed(&self, now: Instant) -> impl Iterator<Item = &Entry> + Clone {
        let entries = self.entries.values().map(|tracked| &tracked.entry);
        entries.filter(move |entry| entry.is_undecided(now))
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
        let at_once = self.proposed(now).filter(|other| self.stands_out(other)).count();
        let is_distinct = self.stands_out(entry) && at_once <= MAX_CONCURRENT;
        let confirmed = is_distinct || self.has_failed_alone(entry);
        Some(if confirmed { Stage::Confirmed } else { Stage::Restricted })
    }

    /// The other requests that are not cleared.
    fn others(&self, entry: &Entry) -> impl Iterator<Item = &Entry> + Clone {
        let others = self.entries.values().map(|tracked| &tracked.entry);
        others.filter(|other| other.is_active() && other.request != entry.request)
    }

    /// Whether enough ends of an entry remain after removing those that another request accounts for
    /// as well or better. Each removal may make the evidence as weak as that against others.
    fn stands_out(&self, entry: &Entry) -> bool {
        let mut left = entry.ends.len();
        loop {
            let others = self.others(entry).filter(|other| !entry.is_stronger_than(other, left));
            let remaining = entry.unexplained_ends(&others);
            if remaining == left || remaining < QUARANTINE_ENDS {
                return remaining >= QUARANTINE_ENDS;
            }
            left = remaining;
        }
    }

    /// Whether a runner has ended under a trial of a request and under no other suspect request.
    fn has_failed_alone(&self, entry: &Entry) -> bool {
        let is_shared = |end| self.others(entry).any(|other| other.ends.contains(end));
        entry.failed_trials.iter().any(|end| !is_shared(end))
    }

    /// Restricts the confirmed requests for whose ends other confirmed ones account better. Returns
    /// their entries.
    pub fn reconsider(&mut self, now: Instant) -> Vec<Entry> {
        let is_confirmed = |entry: &&Entry| entry.stage == Stage::Confirmed;
        let is_explained = |entry: &&Entry| {
            let others = self.others(entry).filter(is_confirmed);
            let stronger = others.filter(|other| other.is_stronger_than(entry, other.ends.len()));
            entry.unexplained_ends(&stronger) < QUARANTINE_ENDS && !self.has_failed_alone(entry)
        };
        let explained = self.entries().filter(is_confirmed).filter(is_explained);
        let explained: Vec<Fingerprint> = explained.map(|entry| entry.request).collect();
        explained.iter().filter_map(|request| self.set(request, Stage::Restricted, now)).collect()
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
                if entry.stage == Stage::Confirmed {
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
        self.is_active(&request)
    }

    /// Whether this node objects to an entry: it has answered the request since the first end.
    pub fn contradicts(&self, entry: &Entry) -> bool {
        entry.is_active() && self.answered.last(&entry.request).is_some_and(|at| at > entry.first)
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
            stable_hash(seed ^ u64::from(entry.trials) << 40, entry.request.as_bytes())
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
