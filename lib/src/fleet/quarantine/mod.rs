//! Requests that are run no more, since each runner that ran them ended.
//!
//! A node that counts enough ends under a request proposes it to all. For a moment it is run nowhere,
//! while nodes object that have answered it since, and while other proposals for the same ends come
//! in. Of several requests that were there when the same runners ended, the one that was there most
//! often accounts for them, and the others are let go; where none stands out, or where many are
//! proposed at once, it is the runners that fail, and nothing is confirmed. To refuse a good request
//! is worse than to lose one more runner.
//!
//! What is confirmed is refused at all nodes. It passes from node to node as records of nodes do; a
//! digest shows to nodes that missed it that they did.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use self::answered::Answered;
pub use self::entry::{Entry, Stage};
use super::digest::Differences;
use super::fingerprint::Fingerprint;
use super::suspect::{ENDS, Suspect};
use crate::hash::stable_hash;
use crate::id::NodeId;

mod answered;
mod entry;

/// How long a proposal stands before it is decided: news reaches 550 nodes in a tenth of a second,
/// objections come back in another.
pub const DELIBERATION: Duration = Duration::from_millis(300);
/// How many requests may be proposed at once, none of which another accounts for. Where runners end by
/// a fault of their own many are.
const MOST_AT_ONCE: usize = 4;
/// The most proposals that a node makes while others stand.
const MOST_PROPOSED: usize = 16;
/// How many ends decide against a request even if another was at all of them too.
const BEYOND_CHANCE: usize = 5;
/// How long a request is refused after the last change, and other entries are kept.
const LIFE: Duration = Duration::from_secs(86_400);
/// How long before its end an entry no longer counts for the digest: nodes forget it at moments that
/// differ a little.
const DIGEST_MARGIN: Duration = Duration::from_secs(60);
/// After how long a refused request is tried once more, each time. A runner may end once more; a good
/// request is refused no longer than that.
const TRIALS: [Duration; 3] =
    [Duration::from_secs(30), Duration::from_secs(600), Duration::from_secs(1_800)];
/// The most entries that are kept.
const MOST: usize = 1_024;
/// The most entries that one message carries, at up to 110 bytes each.
pub const MOST_TOLD: usize = 8;

#[derive(Clone, Debug)]
struct Kept {
    entry: Entry,
    /// How often it has been tried since it was confirmed.
    trials: usize,
    /// When it was last tried, and when the time before that.
    tried: Instant,
    tried_before: Instant,
    /// How often it was refused here.
    refused: u64,
}

/// What a node does with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// It may run.
    Free,
    /// It is to wait until it is decided.
    Undecided,
    /// It is refused.
    Refused,
}

/// What one node knows of requests that are not run.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    kept: HashMap<Fingerprint, Kept>,
    news: VecDeque<Fingerprint>,
    answered: Answered,
    /// The nodes whose digests differ from this one's.
    differences: Differences,
}

impl Quarantine {
    /// How a request stands.
    pub fn standing(&self, request: &Fingerprint, now: Instant) -> Standing {
        match self.get(request).filter(|entry| entry.stands(now)) {
            None => Standing::Free,
            Some(entry) if entry.stage == Stage::Confirmed => Standing::Refused,
            Some(_) => Standing::Undecided,
        }
    }

    /// What is known of a request.
    pub fn get(&self, request: &Fingerprint) -> Option<&Entry> {
        self.kept.get(request).map(|kept| &kept.entry)
    }

    /// Proposes a request by the ends under it. None if there are too few, if it has been proposed
    /// already, or if so many are that the runners fail.
    pub fn propose(
        &mut self,
        request: Fingerprint,
        suspect: &Suspect,
        now: Instant,
    ) -> Option<Entry> {
        let known = self.get(&request);
        let stands = known.is_some_and(|entry| entry.stands(now));
        if suspect.ends().len() < ENDS || stands || self.proposed(now).count() >= MOST_PROPOSED {
            return None;
        }
        let entry = Entry {
            request,
            serial: known.map_or(0, |entry| entry.serial).saturating_add(1),
            stage: Stage::Proposed,
            ends: suspect.ends().iter().map(|end| end.life).collect(),
            begun: suspect.ends().iter().filter(|end| end.reach.begun).count() as u32,
            first: suspect.first(),
            since: now,
        };
        self.take(entry.clone(), now).then_some(entry)
    }

    fn proposed(&self, now: Instant) -> impl Iterator<Item = &Entry> + Clone {
        let entries = self.kept.values().map(|kept| &kept.entry);
        entries.filter(move |entry| entry.stage == Stage::Proposed && entry.stands(now))
    }

    /// Whether any proposal awaits its decision.
    pub fn is_deliberating(&self, now: Instant) -> bool {
        self.proposed(now).next().is_some()
    }

    /// The proposals whose time has come.
    pub fn due(&self, now: Instant) -> Vec<Fingerprint> {
        let due = self.proposed(now).filter(|entry| now >= entry.since + DELIBERATION);
        due.map(|entry| entry.request).collect()
    }

    /// What a proposal comes to, by all that is known now; none for what is no proposal.
    pub fn decide(&self, request: &Fingerprint, now: Instant) -> Option<Stage> {
        let entry = self.proposed(now).find(|entry| entry.request == *request)?;
        let stands_out = self.stands_out(entry, now);
        let at_once = self.proposed(now).filter(|other| self.stands_out(other, now)).count();
        let confirmed = stands_out && at_once <= MOST_AT_ONCE;
        Some(if confirmed { Stage::Confirmed } else { Stage::Withdrawn })
    }

    /// Whether enough of a proposal's ends remain that no other request accounts for better, or as
    /// well.
    fn stands_out(&self, entry: &Entry, now: Instant) -> bool {
        let certain = entry.ends.len() >= BEYOND_CHANCE;
        let others = self.kept.values().map(|kept| &kept.entry).filter(|other| {
            let better = other.weight() > entry.weight();
            let as_well = other.weight() == entry.weight() && !certain;
            other.stands(now) && other.request != entry.request && (better || as_well)
        });
        entry.beside(&others) >= ENDS
    }

    /// Brings a request to a stage that was decided here. None if it is there already or was not
    /// proposed.
    pub fn set(&mut self, request: &Fingerprint, stage: Stage, now: Instant) -> Option<Entry> {
        let entry = Entry { stage, since: now, ..self.get(request)?.clone() };
        self.take(entry.clone(), now).then_some(entry)
    }

    /// Takes in an entry. True if it is news, which is passed on.
    pub fn take(&mut self, entry: Entry, now: Instant) -> bool {
        if now.saturating_duration_since(entry.since) >= LIFE {
            return false;
        }
        let request = entry.request;
        match self.kept.get_mut(&request) {
            Some(kept) if !entry.outweighs(&kept.entry) => return false,
            Some(kept) => {
                let confirmed = entry.stage == Stage::Confirmed;
                if confirmed {
                    (kept.trials, kept.tried, kept.tried_before) = (0, entry.since, entry.since);
                }
                kept.entry = entry;
            }
            None => {
                if self.kept.len() >= MOST {
                    self.make_room();
                }
                let (tried, tried_before) = (entry.since, entry.since);
                let kept = Kept { entry, trials: 0, tried, tried_before, refused: 0 };
                self.kept.insert(request, kept);
            }
        }
        self.news.retain(|other| *other != request);
        self.news.push_back(request);
        true
    }

    /// What is refused stays as long as there is anything else.
    fn make_room(&mut self) {
        let order = |kept: &Kept| (kept.entry.stage == Stage::Confirmed, kept.entry.since);
        let least = self.kept.iter().min_by_key(|(_, kept)| order(kept));
        let least = least.map(|(request, _)| *request);
        least.map(|request| self.kept.remove(&request));
    }

    /// What goes with the next message.
    pub fn take_news(&mut self) -> Vec<Entry> {
        let some = self.news.len().min(MOST_TOLD);
        let some: Vec<Fingerprint> = self.news.drain(..some).collect();
        some.iter().filter_map(|request| self.get(request).cloned()).collect()
    }

    /// Whether there is anything that no message has carried yet.
    pub fn has_news(&self) -> bool {
        !self.news.is_empty()
    }

    /// All entries.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.kept.values().map(|kept| &kept.entry)
    }

    /// How often a request was refused here.
    pub fn refused(&self, request: &Fingerprint) -> u64 {
        self.kept.get(request).map_or(0, |kept| kept.refused)
    }

    /// Counts a refusal.
    pub fn note_refused(&mut self, request: &Fingerprint) {
        if let Some(kept) = self.kept.get_mut(request) {
            kept.refused += 1;
        }
    }

    /// Whether a refused request is to be tried once more, and notes that it is.
    pub fn begin_trial(&mut self, request: &Fingerprint, now: Instant) -> bool {
        let Some(kept) = self.kept.get_mut(request) else { return false };
        let pause = TRIALS.get(kept.trials);
        let due = pause.is_some_and(|pause| now >= kept.tried + *pause);
        if due && kept.entry.stage == Stage::Confirmed {
            kept.trials += 1;
            kept.tried_before = std::mem::replace(&mut kept.tried, now);
            return true;
        }
        false
    }

    /// Notes that a request that was to be tried has not run: the next one is.
    pub fn return_trial(&mut self, request: &Fingerprint) {
        if let Some(kept) = self.kept.get_mut(request)
            && let Some(before) = kept.trials.checked_sub(1)
        {
            kept.trials = before;
            kept.tried = kept.tried_before;
        }
    }

    /// Notes that a request was answered whole. True if that speaks for one that is not run.
    pub fn note_answered(&mut self, request: Fingerprint, now: Instant) -> bool {
        self.answered.note(request, now);
        self.standing(&request, now) != Standing::Free
    }

    /// Whether this node objects to an entry: it has answered the request since the first end.
    pub fn objects(&self, entry: &Entry) -> bool {
        let against = matches!(entry.stage, Stage::Proposed | Stage::Confirmed);
        against && self.answered.last(&entry.request).is_some_and(|at| at > entry.first)
    }

    /// Forgets what is long ago, and names it.
    pub fn expire(&mut self, now: Instant) -> Vec<Fingerprint> {
        let over = |kept: &Kept| now.saturating_duration_since(kept.entry.since) >= LIFE;
        let gone: Vec<Fingerprint> =
            self.kept.iter().filter(|(_, kept)| over(kept)).map(|(r, _)| *r).collect();
        self.kept.retain(|_, kept| !over(kept));
        gone
    }

    /// A digest of all entries; nought where there are none.
    pub fn digest(&self, now: Instant) -> u64 {
        let young =
            |entry: &&Entry| now.saturating_duration_since(entry.since) + DIGEST_MARGIN < LIFE;
        let one = |entry: &Entry| {
            let seed = u64::from(entry.serial) << 8 | entry.stage as u64;
            stable_hash(seed, entry.request.as_bytes())
        };
        self.entries().filter(young).fold(0, |sum, entry| sum ^ one(entry))
    }

    /// Compares another node's digest with this one's. True if they have differed for so long that
    /// lists should be compared.
    pub fn note_digest(&mut self, node: &NodeId, digest: u64, now: Instant) -> bool {
        let same = digest == self.digest(now);
        self.differences.note(node, same, now)
    }
}
