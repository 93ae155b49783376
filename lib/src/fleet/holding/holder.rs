//! Whom and what bytes are held for.

use std::fmt;
use std::net::IpAddr;

use strum::{Display, EnumCount, EnumIter, IntoStaticStr};

use crate::id::{AccountId, NodeId};

/// What bytes are held for.
#[derive(Clone, Copy, Debug, Display, EnumCount, EnumIter, Eq, Hash, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Purpose {
    /// The body of a request, until the request has ended.
    Body,
    /// A whole answer, until it has been sent.
    Answer,
    /// Events of a stream that its caller has not read.
    Stream,
    /// A connection relayed between nodes.
    Transfer,
}

/// Whom bytes are held for.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Owner {
    /// A client account.
    Account(AccountId),
    /// A caller without an account, by its address.
    Caller(IpAddr),
    /// Another node.
    Node(NodeId),
}

impl fmt::Display for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Owner::Account(id) => write!(f, "account {id}"),
            Owner::Caller(address) => write!(f, "caller {address}"),
            Owner::Node(id) => write!(f, "node {id}"),
        }
    }
}

/// A connection, by a number that is unique within the process.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Connection(pub u64);

/// What a holding belongs to.
#[derive(Clone, Debug)]
pub struct Holder {
    /// Whom it is for.
    pub owner: Owner,
    /// The connection that it arrived on or is sent on.
    pub connection: Connection,
    /// Its purpose.
    pub purpose: Purpose,
    /// The index of its class: less urgent requests have a higher one.
    pub class: usize,
}
