//! Datagrams by which nodes tell each other how many requests of each account have started.
//!
//! They use the same sockets as heartbeats and are told apart by their first byte.

use prost::Message as _;
use sardinepick_lib::id::{AccountId, Incarnation, NodeId, Window};
use sardinepick_lib::usage::tally::{Count, Message, NodeInstance};

use crate::error::WireError;
use crate::fleet as pb;

/// The first byte of a datagram, which is not a valid protobuf field key.
pub const DATAGRAM_TYPE: u8 = 1;

/// The content of a datagram.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Body {
    /// Counts of requests.
    Counts(Message),
    /// Acknowledges the message with this number.
    Acknowledged(u64),
}

/// A datagram.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Usage {
    /// The sending instance of a node.
    pub sender: NodeInstance,
    /// The content.
    pub body: Body,
}

impl Usage {
    /// Encodes the datagram.
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
                whole.windows = encode_windows(&message.counts);
                whole.complete = message.complete.0;
            }
        }
        let mut bytes = vec![DATAGRAM_TYPE];
        whole.encode(&mut bytes).expect("a vector grows");
        bytes
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    /// The bytes are not a datagram of this kind, or a field is invalid.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        let Some((&DATAGRAM_TYPE, bytes)) = bytes.split_first() else {
            return Err(WireError::Missing("datagram type"));
        };
        let whole = pb::Usage::decode(bytes).map_err(|e| WireError::Decode(e.to_string()))?;
        let node = NodeId::try_from(whole.node.as_str()).map_err(|_| WireError::Value("node"))?;
        let sender = NodeInstance { node, incarnation: Incarnation(whole.incarnation) };
        let body = if whole.acknowledges {
            Body::Acknowledged(whole.number)
        } else {
            let counts = decode_counts(&whole.windows)?;
            let complete = Window(whole.complete);
            Body::Counts(Message { number: whole.number, counts, complete })
        };
        Ok(Self { sender, body })
    }
}

/// Groups counts by window. A message lists the counts of a window next to each other.
fn encode_windows(counts: &[Count]) -> Vec<pb::WindowCounts> {
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

fn decode_counts(windows: &[pb::WindowCounts]) -> Result<Vec<Count>, WireError> {
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
