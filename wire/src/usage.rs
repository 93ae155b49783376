//! The datagrams by which nodes tell each other how many requests of each account have begun.
//!
//! They go by the same sockets as beats, and have a first byte of their own.

use prost::Message as _;
use sardinepick_lib::id::{AccountId, Incarnation, NodeId, Window};
use sardinepick_lib::usage::tally::{Count, Message, NodeInstance};

use crate::error::WireError;
use crate::fleet as pb;

/// The first byte, which is not one of a field's number.
pub const DATAGRAM_TYPE: u8 = 1;

/// What a datagram says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Body {
    /// Counts.
    Counts(Message),
    /// That the message of this number has come.
    Acknowledged(u64),
}

/// One datagram.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Usage {
    /// The life of the node that sends it.
    pub sender: NodeInstance,
    /// What it says.
    pub body: Body,
}

impl Usage {
    /// The datagram as bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut whole = pb::Usage {
            node: self.sender.node.to_string(),
            incarnation: self.sender.incarnation.0,
            ..pb::Usage::default()
        };
        match &self.body {
            Body::Acknowledged(number) => (whole.number, whole.acknowledges) = (*number, true),
            Body::Counts(message) => {
                whole.number = message.number;
                whole.windows = windows(&message.counts);
                whole.complete = message.complete.0;
            }
        }
        let mut bytes = vec![DATAGRAM_TYPE];
        whole.encode(&mut bytes).expect("a vector grows");
        bytes
    }

    /// Reads a datagram.
    ///
    /// # Errors
    /// The bytes are not one, or it says what it may not.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        let Some((&DATAGRAM_TYPE, bytes)) = bytes.split_first() else {
            return Err(WireError::Missing("mark"));
        };
        let whole = pb::Usage::decode(bytes).map_err(|e| WireError::Decode(e.to_string()))?;
        let node = NodeId::try_from(whole.node.as_str()).map_err(|_| WireError::Value("node"))?;
        let sender = NodeInstance { node, incarnation: Incarnation(whole.incarnation) };
        let body = if whole.acknowledges {
            Body::Acknowledged(whole.number)
        } else {
            let counts = read_counts(&whole.windows)?;
            let complete = Window(whole.complete);
            Body::Counts(Message { number: whole.number, counts, complete })
        };
        Ok(Self { sender, body })
    }
}

/// Counts by window, which stand together in a message.
fn windows(counts: &[Count]) -> Vec<pb::WindowCounts> {
    let count = |count: &Count| pb::AccountCount {
        account: count.account.to_string(),
        requests: count.requests,
    };
    let same = counts.chunk_by(|a, b| a.window == b.window);
    same.map(|of| pb::WindowCounts {
        window: of[0].window.0,
        counts: of.iter().map(count).collect(),
    })
    .collect()
}

fn read_counts(windows: &[pb::WindowCounts]) -> Result<Vec<Count>, WireError> {
    let mut counts = Vec::new();
    for of in windows {
        for count in &of.counts {
            let account = AccountId::try_from(count.account.as_str());
            let account = account.map_err(|_| WireError::Value("account"))?;
            counts.push(Count { window: Window(of.window), account, requests: count.requests });
        }
    }
    Ok(counts)
}
