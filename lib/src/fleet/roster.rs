//! The nodes that serve together: who is there, who takes callers, who is heard.
//!
//! Nodes learn of one another from the platform's store once, at their start, and from then on from
//! each other's beats. A beat that stays away takes a node out of the answers to callers within
//! [`BEATS_MISSED`] beats; a node that leaves says so in a beat.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::id::{ConfigVersion, DataCentre, Incarnation, Mark, NodeId};

/// Beats that may be missed before a node is left out.
pub const BEATS_MISSED: u32 = 6;
/// The shortest time between beats. A load report of this age errs by a tenth of the objective.
pub const SHORTEST_BEAT: Duration = Duration::from_millis(100);
/// The most beats that one node takes in a second; more nodes beat more slowly. At 240 beats of
/// about 400 bytes a node receives 96 KB/s and spends about 0.8% of a core; at 120 a fleet of 67 nodes
/// and 140 runners earned 0.04 less worth on a quiet day, as loads were half a second old.
pub const MOST_BEATS: usize = 240;

/// For how many times the silence that takes a node out of the answers it is still sent every beat.
const GREETED_SILENCES: u32 = 5;

/// Beats that may be missed before another node takes over what a node does for all, and the
/// shortest silence after which it does.
const BEATS_FOR_DUTY: u32 = 2;
const SHORTEST_FOR_DUTY: Duration = Duration::from_millis(600);

/// How a node stands towards callers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Standing {
    /// It knows no configuration yet.
    #[default]
    Starting,
    /// It takes callers.
    Ready,
    /// It finishes what it has.
    Leaving,
}

/// A node as others know it.
#[derive(Clone, Debug, PartialEq)]
pub struct Contact {
    /// Its name.
    pub id: NodeId,
    /// Its process, by the time it started.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where callers reach it.
    pub front: SocketAddr,
    /// Where other nodes reach it.
    pub peer: SocketAddr,
}

/// What a beat says besides who sends it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Status {
    /// How the node stands.
    pub standing: Standing,
    /// The version of its configuration.
    pub version: ConfigVersion,
    /// How new its knowledge of the register of runners is.
    pub register: Mark,
    /// Whether the platform's store serves it.
    pub served: bool,
}

#[derive(Clone, Debug)]
struct Member {
    contact: Contact,
    status: Status,
    heard: Option<Instant>,
}

/// The other nodes.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    members: HashMap<NodeId, Member>,
}

/// The time between beats for a number of nodes.
pub fn beat_period(nodes: usize) -> Duration {
    let seconds = nodes as f64 / MOST_BEATS as f64;
    Duration::from_secs_f64(seconds).max(SHORTEST_BEAT)
}

impl Roster {
    /// Takes in a node that was read from the store or named by another; nothing is heard of it
    /// yet. True if it was not known.
    pub fn introduce(&mut self, contact: Contact) -> bool {
        match self.members.get_mut(&contact.id) {
            Some(member) if member.contact.incarnation >= contact.incarnation => false,
            _ => {
                let member = Member { contact, status: Status::default(), heard: None };
                self.members.insert(member.contact.id.clone(), member);
                true
            }
        }
    }

    /// Takes in a beat. True if the node was not known or has started anew.
    pub fn take_beat(&mut self, contact: Contact, status: Status, now: Instant) -> bool {
        let known = self.members.get(&contact.id);
        if known.is_some_and(|m| m.contact.incarnation > contact.incarnation) {
            return false;
        }
        let new = known.is_none_or(|m| m.contact.incarnation < contact.incarnation);
        let member = Member { contact, status, heard: Some(now) };
        self.members.insert(member.contact.id.clone(), member);
        new
    }

    /// All nodes that were ever known, this one not among them.
    pub fn known(&self) -> usize {
        self.members.len()
    }

    /// All nodes that are known, this one not among them.
    pub fn ids(&self) -> impl Iterator<Item = &NodeId> {
        self.members.keys()
    }

    /// Where all known nodes are reached.
    pub fn peers(&self) -> impl Iterator<Item = SocketAddr> {
        self.members.values().map(|m| m.contact.peer)
    }

    /// Where the nodes are reached that have been heard lately, however they stand.
    pub fn heard(&self, now: Instant) -> impl Iterator<Item = SocketAddr> {
        let silence = self.silence() * GREETED_SILENCES;
        let heard = move |m: &&Member| {
            m.heard.is_some_and(|at| now.saturating_duration_since(at) <= silence)
        };
        self.members.values().filter(heard).map(|m| m.contact.peer)
    }

    /// The nodes that the store serves, of those heard within the last few beats. A node that has
    /// gone must be missed sooner here than in the answers to callers: until then nobody may watch
    /// the store.
    pub fn served(&self, now: Instant) -> impl Iterator<Item = &NodeId> {
        let silence = (beat_period(self.members.len()) * BEATS_FOR_DUTY).max(SHORTEST_FOR_DUTY);
        let serving = move |m: &&Member| {
            let heard = m.heard.is_some_and(|at| now.saturating_duration_since(at) <= silence);
            heard && m.status.served
        };
        self.members.values().filter(serving).map(|m| &m.contact.id)
    }

    /// What a node said last of itself.
    pub fn status(&self, id: &NodeId) -> Option<Status> {
        self.members.get(id).map(|m| m.status)
    }

    fn silence(&self) -> Duration {
        beat_period(self.members.len()) * BEATS_MISSED
    }

    /// The nodes that take callers and have been heard.
    pub fn fronts(&self, now: Instant) -> Vec<&Contact> {
        let ready = self.heard_lately(now).filter(|m| m.status.standing == Standing::Ready);
        ready.map(|m| &m.contact).collect()
    }

    fn heard_lately(&self, now: Instant) -> impl Iterator<Item = &Member> {
        let silence = self.silence();
        let heard = move |m: &&Member| {
            m.heard.is_some_and(|at| now.saturating_duration_since(at) <= silence)
        };
        self.members.values().filter(heard)
    }

    /// The nodes heard lately that know a newer register than `mine`.
    pub fn with_newer_register(
        &self,
        mine: Mark,
        now: Instant,
    ) -> impl Iterator<Item = (&Contact, Status)> {
        let newer = self.heard_lately(now).filter(move |m| m.status.register > mine);
        newer.map(|m| (&m.contact, m.status))
    }

    /// The nodes heard lately that have a newer configuration than `mine`.
    pub fn with_newer_configuration(
        &self,
        mine: ConfigVersion,
        now: Instant,
    ) -> impl Iterator<Item = &Contact> {
        self.heard_lately(now).filter(move |m| m.status.version > mine).map(|m| &m.contact)
    }

    /// Forgets nodes that have been silent for `limit`, for good as far as this node knows.
    pub fn forget(&mut self, now: Instant, limit: Duration) -> Vec<NodeId> {
        let gone = |m: &Member| m.heard.is_some_and(|at| now.saturating_duration_since(at) > limit);
        let ids: Vec<NodeId> =
            self.members.iter().filter(|(_, m)| gone(m)).map(|(id, _)| id.clone()).collect();
        for id in &ids {
            self.members.remove(id);
        }
        ids
    }
}
