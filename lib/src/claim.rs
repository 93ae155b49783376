//! At most once: the records of the owner of request keys.
//!
//! Before a node sends a keyed request to a runner it claims the key at its owner; the owner
//! grants each key to one node only and keeps what came of it. A repeat is answered with the
//! outcome, or with `unknown` when that is the truth. A key whose owner is gone is never run
//! again, since the lost records may have said that it ran; only a first attempt, which by its
//! caller's word was sent nowhere before, is told that it was not run and may look up again.

use std::collections::{HashMap, VecDeque};

use smol_str::SmolStr;
use strum::{Display, IntoStaticStr};

use crate::id::{Attempt, Incarnation, Name, Version};
use crate::owner::{Member, Table};

/// A node that claims keys, in one of its lives.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Claimant {
    /// The node.
    pub name: Name,
    /// Its life.
    pub incarnation: Incarnation,
    /// The claim among those of this life; a claim whose answer was lost is repeated with the
    /// same number and granted again.
    pub serial: u64,
}

/// A claim to run the request of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    /// The account and its key, joined so that accounts cannot touch each other's.
    pub key: SmolStr,
    /// The caller's attempt, from 1.
    pub attempt: Attempt,
    /// The version under which the caller first sent the request.
    pub birth: Version,
    /// The digest of the request, so that a key is not used for two requests.
    pub request: u64,
    /// Who claims.
    pub claimant: Claimant,
}

/// What a runner answered, as it is kept for repeats.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: SmolStr,
    /// The body.
    pub body: Vec<u8>,
}

/// What came of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It ran and this is its whole answer.
    Answered(Answer),
    /// It ran; its answer was too large to keep.
    NotKept,
    /// It may have run.
    Unknown,
}

/// Why a claim is not granted although nobody has the key.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Doubt {
    /// This node, in this life, is not the owner of the key.
    NotOwner,
    /// The birth version is older than the records that are kept.
    TooOld,
    /// The birth version is newer than the table that the owner has.
    TooNew,
}

/// The decision about a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The claimant may send the request, once.
    Run,
    /// Another claimant has it.
    InProgress,
    /// It has been run; this came of it.
    Ended(Outcome),
    /// The key belongs to another request of the same account.
    OtherRequest,
    /// It cannot be known whether the key has been run.
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

/// The most bytes of answers that an owner keeps.
pub const MAX_KEPT_BYTES: usize = 32 << 20;

/// The largest answer that is kept.
pub const MAX_ANSWER_BYTES: usize = 64 << 10;

/// The records of one owner in one life.
#[derive(Debug)]
pub struct Register {
    me: Member,
    table: Table,
    entries: HashMap<Version, HashMap<SmolStr, Entry>>,
    kept_answers: VecDeque<(Version, SmolStr, usize)>,
    kept_bytes: usize,
}

impl Register {
    /// The empty register of a node that has just been started.
    pub fn new(me: Member) -> Self {
        Self {
            me,
            table: Table::default(),
            entries: HashMap::new(),
            kept_answers: VecDeque::new(),
            kept_bytes: 0,
        }
    }

    /// Takes in a newer table and drops the records that no claim can reach any more.
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

    /// How many keys have a record.
    pub fn len(&self) -> usize {
        self.entries.values().map(HashMap::len).sum()
    }

    /// Whether no key has a record.
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

    /// Judges a claim.
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

    /// Notes what came of a request that `claimant` was granted.
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

    /// Gives a key back that `claimant` was granted and has not sent, and will not send.
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

    /// Drops the body of the oldest answer; that the key has been run stays known.
    fn drop_oldest_answer(&mut self) {
        let Some((version, key, size)) = self.kept_answers.pop_front() else { return };
        self.kept_bytes -= size;
        let entry = self.entries.get_mut(&version).and_then(|entries| entries.get_mut(&key));
        if let Some(entry) = entry {
            entry.record = Record::Ended(Outcome::NotKept);
        }
    }
}
