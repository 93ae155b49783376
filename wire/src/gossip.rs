//! Datagrams of the membership protocol.

use std::net::SocketAddr;
use std::time::Duration;

use prost::Message as _;
use sardinepick_lib::id::{Generation, Incarnation, Name, Version};
use sardinepick_lib::member::{Addresses, Message, Purpose, State, Status, Update};

use crate::error::WireError;
use crate::generated as pb;
use crate::load::RunnerHash;

/// Runners that get no new work for a while, because they are about to become unavailable for a
/// planned change.
#[derive(Clone, Debug)]
pub struct Reserve {
    /// The hashes of the runners' names.
    pub runners: Vec<RunnerHash>,
    /// How long the runners get no new work.
    pub duration: Duration,
}

/// The content of a datagram.
#[derive(Clone, Debug)]
pub enum Datagram {
    /// A message of the membership protocol.
    Gossip(Box<Message>),
    /// The loads of runners.
    Loads(Vec<crate::load::Load>),
    /// Runners that get no new work for a while.
    Reserve(Reserve),
}

impl Datagram {
    /// Encodes the datagram.
    pub fn encode(&self) -> Vec<u8> {
        let body = match self {
            Datagram::Gossip(message) => pb::datagram::Body::Gossip(message.as_ref().into()),
            Datagram::Loads(loads) => pb::datagram::Body::Loads(pb::Loads {
                loads: loads.iter().map(pb::Load::from).collect(),
            }),
            Datagram::Reserve(reserve) => pb::datagram::Body::Reserve(pb::Reserve {
                runners: reserve.runners.iter().map(|r| r.0).collect(),
                for_ms: u32::try_from(reserve.duration.as_millis()).unwrap_or(u32::MAX),
            }),
        };
        pb::Datagram { body: Some(body) }.encode_to_vec()
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    /// The bytes are not a datagram, or a field is invalid.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        let datagram =
            pb::Datagram::decode(bytes).map_err(|error| WireError::Decode(error.to_string()))?;
        match datagram.body.ok_or(WireError::Missing("body"))? {
            pb::datagram::Body::Gossip(gossip) => {
                gossip.try_into().map(Box::new).map(Datagram::Gossip)
            }
            pb::datagram::Body::Reserve(reserve) => Ok(Datagram::Reserve(Reserve {
                runners: reserve.runners.into_iter().map(RunnerHash).collect(),
                duration: Duration::from_millis(u64::from(reserve.for_ms)),
            })),
            pb::datagram::Body::Loads(loads) => {
                let loads = loads.loads.into_iter().map(TryInto::try_into);
                loads.collect::<Result<_, _>>().map(Datagram::Loads)
            }
        }
    }
}

fn decode_name(text: &str) -> Result<Name, WireError> {
    text.parse().map_err(|_| WireError::Value("name"))
}

fn decode_address(text: &str) -> Result<SocketAddr, WireError> {
    text.parse().map_err(|_| WireError::Value("address"))
}

impl From<&Update> for pb::Update {
    fn from(update: &Update) -> Self {
        Self {
            name: update.name.to_string(),
            incarnation: update.incarnation.0,
            serial: update.serial,
            state: update.state as u32,
            peer_address: update.addresses.peer.to_string(),
            front_address: update.addresses.front.to_string(),
            data_centre: update.data_centre.to_string(),
        }
    }
}

impl TryFrom<pb::Update> for Update {
    type Error = WireError;

    fn try_from(update: pb::Update) -> Result<Self, WireError> {
        let state = u8::try_from(update.state).ok().and_then(State::from_repr);
        Ok(Self {
            name: decode_name(&update.name)?,
            incarnation: Incarnation(update.incarnation),
            serial: update.serial,
            state: state.ok_or(WireError::Value("state"))?,
            addresses: Addresses {
                peer: decode_address(&update.peer_address)?,
                front: decode_address(&update.front_address)?,
            },
            data_centre: decode_name(&update.data_centre)?,
        })
    }
}

impl From<&Message> for pb::Gossip {
    fn from(message: &Message) -> Self {
        let (purpose, target, relay) = match &message.purpose {
            Purpose::Ping => (pb::Purpose::Ping, String::new(), String::new()),
            Purpose::Ack => (pb::Purpose::Ack, String::new(), String::new()),
            Purpose::Gossip => (pb::Purpose::News, String::new(), String::new()),
            Purpose::Relay { target, address } => {
                (pb::Purpose::Relay, target.to_string(), address.to_string())
            }
        };
        Self {
            purpose: purpose.into(),
            sequence: message.sequence,
            from: message.from.to_string(),
            generation: message.status.generation.0,
            load: message.status.load,
            table: message.status.table.0,
            relay_target: target,
            relay_address: relay,
            news: message.updates.iter().map(pb::Update::from).collect(),
        }
    }
}

impl TryFrom<pb::Gossip> for Message {
    type Error = WireError;

    fn try_from(gossip: pb::Gossip) -> Result<Self, WireError> {
        let purpose = match gossip.purpose() {
            pb::Purpose::Ping => Purpose::Ping,
            pb::Purpose::Ack => Purpose::Ack,
            pb::Purpose::News => Purpose::Gossip,
            pb::Purpose::Relay => Purpose::Relay {
                target: decode_name(&gossip.relay_target)?,
                address: decode_address(&gossip.relay_address)?,
            },
            pb::Purpose::Unspecified => return Err(WireError::Missing("purpose")),
        };
        Ok(Self {
            purpose,
            sequence: gossip.sequence,
            from: decode_name(&gossip.from)?,
            status: Status {
                generation: Generation(gossip.generation),
                table: Version(gossip.table),
                load: gossip.load,
            },
            updates: gossip.news.into_iter().map(TryInto::try_into).collect::<Result<_, _>>()?,
        })
    }
}
