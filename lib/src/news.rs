//! What nodes tell each other about the nodes there are.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use strum::{Display, EnumString, FromRepr, IntoStaticStr};

use crate::id::{Generation, Incarnation, Name, Version};

/// The state of a node; a later one outweighs an earlier one of the same serial.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    EnumString,
    Eq,
    FromRepr,
    Hash,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
#[repr(u8)]
pub enum State {
    /// It has no configuration yet and takes no callers.
    Joining,
    /// It takes callers.
    Serving,
    /// It finishes what it has.
    Leaving,
    /// It did not answer and may object.
    Suspected,
    /// It has ended, or cannot be reached by anyone.
    Gone,
}

/// Where a node can be reached.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Addresses {
    /// For other nodes: datagrams and calls.
    pub peer: SocketAddr,
    /// For callers.
    pub front: SocketAddr,
}

/// News about one node.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The node.
    pub name: Name,
    /// Its life.
    pub incarnation: Incarnation,
    /// Goes up whenever the node itself says something new about itself.
    pub serial: u32,
    /// Its state.
    pub state: State,
    /// Where it can be reached.
    pub addresses: Addresses,
    /// Where it stands.
    pub data_centre: Name,
}

impl Update {
    /// Whether this is newer than `other`, which is about the same node.
    pub fn supersedes(&self, other: &Update) -> bool {
        let rank = |u: &Update| (u.incarnation, u.serial, u.state);
        rank(self) > rank(other)
    }
}

/// What a node says of itself with every message.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The generation that it has in force.
    pub generation: Generation,
    /// The version of the table of owners that it has.
    pub table: Version,
    /// How many requests it has.
    pub load: u32,
}

/// What a message is for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// Asks for an answer.
    Ping,
    /// Answers a ping.
    Ack,
    /// Asks the receiver to ping another.
    Relay {
        /// The node to ping.
        target: Name,
        /// Where it is.
        address: SocketAddr,
    },
    /// Only carries news.
    Gossip,
}

/// A message between nodes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Message {
    /// What it is for.
    pub purpose: Purpose,
    /// Matches an answer to its question.
    pub sequence: u64,
    /// Who sends it.
    pub from: Name,
    /// What the sender says of itself.
    pub status: Status,
    /// News.
    pub updates: SmallVec<[Update; 4]>,
}

/// A message with its address.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outgoing {
    /// Where to.
    pub to: SocketAddr,
    /// The message.
    pub message: Message,
}

/// One line of the platform's VM list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM, named as its node.
    pub name: Name,
    /// Where its node hears other nodes.
    pub address: SocketAddr,
    /// It is being taken away.
    pub leaving: bool,
}
