//! At-most-once execution: the records kept by the owner of an idempotency key.
//!
//! Before a node sends a request with a key to a runner, it claims the key at the key's owner. The
//! owner grants each key to one node only and keeps the outcome. A repeated request gets the stored
//! outcome, or `unknown` if the outcome is not known. A key whose owner is gone is never run again,
//! because the lost records may have said that it ran. The exception is a first attempt, which by
//! the client's statement has not been sent before: it is refused as not run, and the client may
//! look up the owner again.

use std::collections::{HashMap, VecDeque};

use smol_str::SmolStr;
use strum::{Display, IntoStaticStr};

use crate::id::{Attempt, Incarnation, Name, Version};
use crate::owner::{Member, Table};

/// A node process that claims keys.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Claimant {
    /// The node.
    pub name: Name,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The number of the claim within this incarnation. A claim whose answer was lost is repeated
    /// with the same number and granted again.
    pub serial: u64,
}

/// A claim on a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    /// The account and its key, joined so that the keys of accounts cannot collide.
    pub key: SmolStr,
    /// The client's attempt, starting at 1.
    pub attempt: Attempt,
    /// The version of the owner table at the client's first attempt.
    pub birth: Version,
    /// A hash of the request, to detect a key that is used for two requests.
    pub request: u64,
    /// The claimant.
    pub claimant: Claimant,
}

/// A runner's answer, kept for repeated requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: SmolStr,
    /// The body.
    pub body: Vec<u8>,
}

/// The outcome of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It ran; this is its complete answer.
    Answered(Answer),
    /// It ran; its answer was too large to keep.
    NotKept,
    /// It may have run.
    Unknown,
}

/// Why a claim is refused although no other claimant has the key.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Doubt {
    /// This process is not the owner of the key.
    NotOwner,
    /// The birth version is older than the records kept.
    TooOld,
    /// The birth version is newer than the owner's table.
    TooNew,
}

/// The decision about a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The claimant may send the request once.
    Run,
    /// Another claimant has the key.
    InProgress,
    /// The request has run with this outcome.
    Ended(Outcome),
    /// The account has used the key for a different request.
    OtherRequest,
    /// It cannot be determined whether the request has run.
    Doubt(Doubt),
}

#[derive(Clone, Debug)]
enum Record {
    Claimed(Claimant),
    Ended(Outcome),
}

#[derive(Clone, Debug)]
struct Entry {
    request: u64,
    record: Record,
}

/// The maximum total size of the answers that an owner keeps.
pub const MAX_KEPT_BYTES: usize = 32 << 20;

/// The largest answer that is kept.
pub const MAX_ANSWER_BYTES: usize = 64 << 10;

/// The records of one owner process.
#[derive(Debug)]
pub struct Register {
    me: Member,
    table: Table,
    entries: HashMap<Version, HashMap<SmolStr, Entry>>,
    kept_answers: VecDeque<(Version, SmolStr, usize)>,
    kept_bytes: usize,
}

impl Register {
    /// Creates the empty register of a process that has just started.
    pub fn new(me: Member) -> Self {
        Self {
            me,
            table: Table::default(),
            entries: HashMap::new(),
            kept_answers: VecDeque::new(),
            kept_bytes: 0,
        }
    }

    /// Applies a newer table and drops the records that no claim can reach any more.
    pub fn set_table(&mut self, table: &Table) {
        if table.newest() <= self.table.newest() {
            return;
        }
        self.table = table.clone();
        let floor = self.table.oldest();
        self.entries.retain(|version, _| *version >= floor);
        while self.kept_answers.front().is_some_and(|(version, ..)| *version < floor) {
            self.drop_oldest_answer();
        }
    }

    /// The number of keys with a record.
    pub fn len(&self) -> usize {
        self.entries.values().map(HashMap::len).sum()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn check_owner(&self, key: &str, birth: Version) -> Result<(), Doubt> {
        if birth < self.table.oldest() {
            return Err(Doubt::TooOld);
        }
        if birth > self.table.newest() {
            return Err(Doubt::TooNew);
        }
        let owner = self.table.owner(key, birth).ok_or(Doubt::NotOwner)?;
        let same = owner.name == self.me.name && owner.incarnation == self.me.incarnation;
        if same { Ok(()) } else { Err(Doubt::NotOwner) }
    }

    /// Decides about a claim.
    pub fn claim(&mut self, claim: &Claim) -> Verdict {
        if let Err(doubt) = self.check_owner(&claim.key, claim.birth) {
            return Verdict::Doubt(doubt);
        }
        let entries = self.entries.entry(claim.birth).or_default();
        let Some(entry) = entries.get(&claim.key) else {
            let record = Record::Claimed(claim.claimant.clone());
            entries.insert(claim.key.clone(), Entry { request: claim.request, record });
            return Verdict::Run;
        };
        if entry.request != claim.request {
            return Verdict::OtherRequest;
        }
        match &entry.record {
            Record::Claimed(claimant) if *claimant == claim.claimant => Verdict::Run,
            Record::Claimed(_) => Verdict::InProgress,
            Record::Ended(outcome) => Verdict::Ended(outcome.clone()),
        }
    }

    /// Records the outcome of a request that was granted to `claimant`.
    pub fn end(&mut self, key: &str, birth: Version, claimant: &Claimant, outcome: Outcome) {
        let Some(entry) = self.claimed_entry(key, birth, claimant) else { return };
        let size = match &outcome {
            Outcome::Answered(answer) => answer.body.len(),
            Outcome::NotKept | Outcome::Unknown => 0,
        };
        entry.record = Record::Ended(outcome);
        if size > 0 {
            self.kept_answers.push_back((birth, SmolStr::new(key), size));
            self.kept_bytes += size;
        }
        while self.kept_bytes > MAX_KEPT_BYTES {
            self.drop_oldest_answer();
        }
    }

    /// Releases a key that was granted to `claimant`, which has not sent the request and never
    /// will.
    pub fn release(&mut self, key: &str, birth: Version, claimant: &Claimant) {
        if self.claimed_entry(key, birth, claimant).is_some()
            && let Some(entries) = self.entries.get_mut(&birth)
        {
            entries.remove(key);
        }
    }

    fn claimed_entry(
        &mut self,
        key: &str,
        birth: Version,
        claimant: &Claimant,
    ) -> Option<&mut Entry> {
        let entry = self.entries.get_mut(&birth)?.get_mut(key)?;
        match &entry.record {
            Record::Claimed(holder) if holder == claimant => Some(entry),
            _ => None,
        }
    }

    /// Drops the body of the oldest answer. The record that the request ran is kept.
    fn drop_oldest_answer(&mut self) {
        let Some((version, key, size)) = self.kept_answers.pop_front() else { return };
        self.kept_bytes -= size;
        let entry = self.entries.get_mut(&version).and_then(|entries| entries.get_mut(&key));
        if let Some(entry) = entry {
            entry.record = Record::Ended(Outcome::NotKept);
        }
    }
}
