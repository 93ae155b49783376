//! Requests of callers, and their attempts to connect.

use std::collections::VecDeque;

use sardinepick_lib::fleet::reachability::Dial;

use crate::connection::Connection;
use crate::site::ticks;

/// The silence after which a request that may run again moves to another runner.
pub const SILENCE: usize = ticks(1_000);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    Repeatable,
    AtMostOnce,
    /// Its events are received one by one.
    Resumable,
}

/// How a connect ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Connect {
    Connected,
    Failed,
    Never,
}

/// A connect that has been started.
#[derive(Clone, Copy, Debug)]
pub struct Started {
    pub connect: Connect,
    pub began: usize,
    /// When it ends.
    pub at: usize,
    pub connection: Connection,
}

impl Started {
    /// How it has ended.
    pub fn ended(&self, now: usize) -> Option<Connect> {
        (self.at <= now && self.connect != Connect::Never).then_some(self.connect)
    }
}

/// An attempt to connect.
pub struct Dialing {
    pub dial: Dial,
    pub runner: usize,
    pub generation: u32,
    pub direct: Option<Started>,
    pub relays: Vec<Started>,
    /// The peers that have not been asked yet.
    pub peers: VecDeque<usize>,
}

pub enum State {
    Choosing,
    Dialing(Box<Dialing>),
    Sent { connection: Connection, at: usize, delivered: Option<usize>, heard: usize },
    Ended,
}

pub struct Request {
    pub kind: Kind,
    pub arrived: usize,
    pub deadline: usize,
    /// When the next runner may be chosen.
    pub not_before: usize,
    /// How long a runner works on it.
    pub work: usize,
    /// How often each runner has been chosen for it.
    pub tries: Vec<u32>,
    /// How many runners have received it.
    pub runs: u32,
    /// Whether it prefers the last runner, which others use last.
    pub prefers_last: bool,
    /// Whether it was sent on a way that has changed shortly before, or since, or of which the node
    /// could not know that it is dead.
    pub is_excused: bool,
    pub state: State,
}
