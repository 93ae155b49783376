//! Messages that nodes exchange about the members of the cluster.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use strum::{Display, EnumString, FromRepr, IntoStaticStr};

use crate::id::{Generation, Incarnation, Name, Version};

/// The state of a node. Between updates with the same serial the later state wins.
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
    /// It has no configuration yet and accepts no clients.
    Joining,
    /// It accepts clients.
    Serving,
    /// It finishes the requests that it has.
    Leaving,
    /// It did not answer a probe and may still refute the suspicion.
    Suspected,
    /// It has ended or cannot be reached by any node.
    Gone,
}

/// The addresses of a node.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Addresses {
    /// For other nodes, both datagrams and calls.
    pub peer: SocketAddr,
    /// For clients.
    pub front: SocketAddr,
}

/// An update about one node.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The node.
    pub name: Name,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// Incremented whenever the node announces a change of itself.
    pub serial: u32,
    /// Its state.
    pub state: State,
    /// Its addresses.
    pub addresses: Addresses,
    /// Its data centre.
    pub data_centre: Name,
}

impl Update {
    /// Whether this is newer than `other`, an update about the same node.
    pub fn supersedes(&self, other: &Update) -> bool {
        let rank = |u: &Update| (u.incarnation, u.serial, u.state);
        rank(self) > rank(other)
    }
}

/// The status that a node includes in every message.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The generation of the configuration in force.
    pub generation: Generation,
    /// The version of its owner table.
    pub table: Version,
    /// The number of its current requests.
    pub load: u32,
}

/// The purpose of a message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// Requests an acknowledgement.
    Ping,
    /// Acknowledges a ping.
    Ack,
    /// Asks the receiver to ping another node on behalf of the sender.
    Relay {
        /// The node to ping.
        target: Name,
        /// Its address.
        address: SocketAddr,
    },
    /// Only carries updates.
    Gossip,
}

/// A message between nodes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Message {
    /// Its purpose.
    pub purpose: Purpose,
    /// Matches an acknowledgement to its ping.
    pub sequence: u64,
    /// The sender.
    pub from: Name,
    /// The status of the sender.
    pub status: Status,
    /// Updates about nodes.
    pub updates: SmallVec<[Update; 4]>,
}

/// A message and its destination.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outgoing {
    /// The destination.
    pub to: SocketAddr,
    /// The message.
    pub message: Message,
}

/// An entry of the platform's VM list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Vm {
    /// The name of the VM, which is also that of its node.
    pub name: Name,
    /// The peer address of its node.
    pub address: SocketAddr,
    /// Whether the VM is being removed.
    pub leaving: bool,
}
