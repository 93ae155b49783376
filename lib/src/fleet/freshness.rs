//! How recently this node's copy of the store's objects is known to have been current.
//!
//! A few nodes watch the store, and the others rely on them. Whether a node is up, and what it has
//! said of itself, does not show that it still follows the store: it may have failed, be stalled or
//! have lost its path to the store a moment ago. So each answer of the store is attested by the
//! node that received it, and the attestation is passed on with heartbeats together with its age.
//! A node whose copy no recent attestation covers reads the store itself, whatever it believes of
//! the other nodes.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::hash::stable_hash;
use crate::id::{Incarnation, NodeId};

/// The age of the newest attestation from which a node reads the store itself. Changes of the
/// configuration and runners that leave must be in effect everywhere two seconds after the store
/// has acknowledged them.
pub const MAX_AGE: Duration = Duration::from_millis(1_500);
/// The time over which nodes that lack an attestation begin to read the store, by their rank: the
/// first one attests its answer to the others.
const MAX_DELAY: Duration = Duration::from_millis(250);
/// How long a newly learned attestation is included in heartbeats: at least one of them. If it is
/// lost, the receiver still learns of it from other nodes.
const PASS_ON_FOR: Duration = Duration::from_millis(250);
/// The maximum number of other nodes whose last attestation is remembered.
const MAX_TRACKED: usize = 8;

/// Identifies one incarnation of a node among those that attest answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Attester(pub u32);

impl Attester {
    /// The attester for one incarnation of a node.
    pub fn new(node: &NodeId, incarnation: Incarnation) -> Self {
        Self(stable_hash(incarnation.0, node.as_str().as_bytes()) as u32)
    }
}

/// That the store has answered a node that watches it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Attestation {
    /// The node that received the answer.
    pub attester: Attester,
    /// The number of the answer at that node.
    pub serial: u32,
    /// The time since the answer.
    pub age: Duration,
}

/// An attestation as it is kept.
#[derive(Clone, Copy, Debug)]
struct Kept {
    attester: Attester,
    serial: u32,
    /// When the store answered.
    answered: Instant,
    /// When this node learned of it.
    learned: Instant,
}

/// The attestations of one kind of object that a node knows.
#[derive(Clone, Debug)]
pub struct Freshness {
    me: Attester,
    /// The last answer to this node.
    own: Option<Kept>,
    /// The newest attestation of another node that covers this node's copy.
    other: Option<Kept>,
    /// The last attestations of other nodes, latest first.
    serials: SmallVec<[(Attester, u32); MAX_TRACKED]>,
    /// Since when this node expects attestations.
    since: Instant,
}

impl Freshness {
    /// Creates the state of a node that expects attestations from `now` on.
    pub fn new(me: Attester, now: Instant) -> Self {
        Self { me, own: None, other: None, serials: SmallVec::new(), since: now }
    }

    /// Restarts the time in which a node without any attestation expects the first one.
    pub fn expect_from(&mut self, now: Instant) {
        self.since = now;
    }

    /// Records an answer of the store to this node.
    pub fn note_answer(&mut self, now: Instant) {
        let serial = self.own.map_or(0, |own| own.serial) + 1;
        self.own = Some(Kept { attester: self.me, serial, answered: now, learned: now });
    }

    /// Applies an attestation received from another node. `covers` is whether this node's copy is
    /// at least as new as the sender's. Returns whether it is the newest of another node.
    pub fn apply(&mut self, received: Attestation, covers: bool, now: Instant) -> bool {
        if received.attester == self.me || !covers {
            return false;
        }
        // The age does not include the transit time, so an attestation that returns over another
        // path would appear younger.
        let known = self.serials.iter().position(|(attester, _)| *attester == received.attester);
        if let Some(at) = known {
            if self.serials[at].1 >= received.serial {
                return false;
            }
            self.serials.remove(at);
        }
        self.serials.truncate(MAX_TRACKED - 1);
        self.serials.insert(0, (received.attester, received.serial));
        let Some(answered) = now.checked_sub(received.age) else { return false };
        if self.other.is_some_and(|other| other.answered >= answered) {
            return false;
        }
        let Attestation { attester, serial, .. } = received;
        self.other = Some(Kept { attester, serial, answered, learned: now });
        true
    }

    /// The newest attestation that this node knows.
    pub fn newest(&self, now: Instant) -> Option<Attestation> {
        self.newest_kept().map(|kept| Attestation {
            attester: kept.attester,
            serial: kept.serial,
            age: now.saturating_duration_since(kept.answered),
        })
    }

    /// The attestation for a heartbeat: the newest, if this node has learned of it recently.
    pub fn to_pass_on(&self, now: Instant) -> Option<Attestation> {
        let learned = self.newest_kept()?.learned;
        let is_recent = now.saturating_duration_since(learned) <= PASS_ON_FOR;
        is_recent.then(|| self.newest(now)).flatten()
    }

    fn newest_kept(&self) -> Option<Kept> {
        [self.own, self.other].into_iter().flatten().max_by_key(|kept| kept.answered)
    }

    /// The time since the store's last answer that this node knows of, its own included; the time
    /// for which it has expected one if there is none.
    pub fn age(&self, now: Instant) -> Duration {
        let answered = self.newest_kept().map_or(self.since, |kept| kept.answered);
        now.saturating_duration_since(answered)
    }

    /// The time since the store's last answer to another node, likewise.
    pub fn age_of_others(&self, now: Instant) -> Duration {
        let answered = self.other.map_or(self.since, |other| other.answered);
        now.saturating_duration_since(answered)
    }

    /// Returns whether this node has learned of any answer of the store to another node.
    pub fn is_attested(&self) -> bool {
        self.other.is_some()
    }

    /// Returns whether this node must read the store itself, as no recent answer to another node
    /// covers its copy. `rank` is the node's place among those that would read it, as a fraction
    /// from 0 to 1.
    pub fn is_stale(&self, rank: f64, now: Instant) -> bool {
        self.age_of_others(now) > MAX_AGE + MAX_DELAY.mul_f64(rank.clamp(0.0, 1.0))
    }
}
