//! Which nodes watch the store, how long their calls wait, and when failed calls are repeated.
//!
//! The first nodes by rank are elected: each node computes the same ones from its membership view,
//! without messages. As that view may be wrong, a node that no recent attestation reaches watches
//! the store as a substitute until one does ([`super::freshness`]).

use std::time::{Duration, Instant};

use super::freshness::Freshness;
use super::outage;
use super::roster::Roster;
use crate::id::NodeId;
use crate::rank;

/// The subject by which nodes are ranked for the tasks that need the store.
pub const SUBJECT: &str = "store";
/// The number of elected nodes. Each learns of a change on its own, so a silent path of one of them
/// delays no other node. More of them would cost one call more for each change.
pub const ELECTED: usize = 3;
/// The maximum number of nodes that are elected if the store refuses the first ones. If it refuses
/// a third of the nodes, the chance that the first twenty are all among them is one in three
/// billion.
pub const MAX_CANDIDATES: usize = 20;
/// How long a watch waits for a change. A longer wait costs fewer calls, but a node must learn of an
/// answer before it considers its copy stale ([`super::freshness::MAX_AGE`]).
pub const WAIT: Duration = Duration::from_millis(1_200);
/// During an outage, about this many substitutes repeat their calls as often as an elected node
/// does, and the others less often.
const SUBSTITUTES: usize = 4;
/// The longest pause of a substitute between failed calls.
const MAX_SUBSTITUTE_PAUSE: Duration = Duration::from_secs(2);

/// Why a node watches the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// It is one of the first by rank; so many elected nodes precede it.
    Elected(usize),
    /// No recent attestation covers its copy.
    Substitute,
}

/// The role of the node whose membership view is `roster`, for the kind of object that `freshness`
/// is about. `None` if it relies on other nodes.
pub fn role(roster: &Roster, freshness: &Freshness, now: Instant) -> Option<Role> {
    let mine = rank::weight(SUBJECT, &roster.me().contact.id);
    let precedes = |id: &&NodeId| rank::weight(SUBJECT, id) > mine;
    let served = roster.served().filter(precedes).count();
    let present = roster.ids().filter(precedes).count();
    if served < ELECTED && present < MAX_CANDIDATES {
        return Some(Role::Elected(served));
    }
    let nodes = roster.ids().count() + 1;
    freshness.is_stale(present as f64 / nodes as f64, now).then_some(Role::Substitute)
}

impl Role {
    /// How long the next watch waits for a change. `follows_change` is whether the last answer was
    /// a change or a list. All elected nodes receive a change at the same time; their waits then
    /// end at different times, which shortens the time between two answers.
    pub fn wait(self, follows_change: bool) -> Duration {
        match self {
            Role::Elected(before) if follows_change => {
                WAIT * (before.min(ELECTED - 1) as u32 + 1) / ELECTED as u32
            }
            Role::Elected(_) | Role::Substitute => WAIT,
        }
    }

    /// The pause after `failures` consecutive failed calls, of a node among `nodes`. It is
    /// randomized by `draw`, from 0 to 1.
    pub fn pause(self, failures: u32, nodes: usize, draw: f64) -> Duration {
        let pause = outage::pause(failures, draw);
        match self {
            Role::Elected(_) => pause,
            Role::Substitute => {
                let factor = (nodes as f64 / SUBSTITUTES as f64).max(1.0);
                pause.mul_f64(factor).min(MAX_SUBSTITUTE_PAUSE.mul_f64(0.5 + draw / 2.0))
            }
        }
    }
}
