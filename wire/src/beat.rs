//! Beats: the datagrams by which nodes that serve together know of each other.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use prost::Message as _;
use sardinepick_lib::fleet::limit::Announced;
use sardinepick_lib::fleet::roster::{Contact, Record, Standing, Status};
use sardinepick_lib::fleet::runner::Tag;
use sardinepick_lib::history::Era;
use sardinepick_lib::id::{ConfigVersion, Incarnation};

use crate::error::WireError;
use crate::fleet as pb;
use crate::limit;
use crate::mark::decode_mark;

/// The most bytes of a beat, so that it travels in one packet.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// One beat.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// What the sender says of itself.
    pub sender: Record,
    /// How it stands and what it knows.
    pub status: Status,
    /// Whether it wants a beat at once.
    pub wants_reply: bool,
    /// Runners that are on their way to another stage, by the sender's orders.
    pub switching: Vec<Tag>,
    /// A digest of the nodes that it knows to be there.
    pub roster_digest: u64,
    /// What it has newly heard of other nodes.
    pub records: Vec<Record>,
    /// What has newly changed in the register of runners.
    pub register_update: Option<pb::Knowledge>,
    /// A digest of the requests that it knows not to be run; nought where there are none.
    pub quarantine_digest: u64,
    /// What it has newly heard of such requests.
    pub quarantined: Vec<pb::Quarantined>,
    /// What it takes for the true time, since the start of 1970; none if it does not say.
    pub time: Option<Duration>,
    /// What it has heard of rate limits of runners.
    pub limits: Vec<Announced>,
    /// Runners that it has heard say in an answer that they leave.
    pub leaving: Vec<Tag>,
}

impl Heartbeat {
    /// The beat as bytes.
    pub fn encode(&self) -> Vec<u8> {
        let sender = record(&self.sender);
        let contact = &self.sender.contact;
        let beat = pb::Beat {
            node: sender.node,
            incarnation: sender.incarnation,
            data_centre: sender.data_centre,
            front: contact.front.to_string(),
            peer: contact.peer.to_string(),
            standing: sender.standing,
            served: sender.served,
            serial: sender.serial,
            version: self.status.version.0,
            register: self.status.register.order,
            era: Some(self.status.register.era.0),
            answer: self.wants_reply,
            away: self.switching.iter().map(|tag| tag.0).collect(),
            digest: self.roster_digest,
            records: self.records.iter().map(record).collect(),
            news: self.register_update.clone(),
            quarantine: self.quarantine_digest,
            quarantined: self.quarantined.clone(),
            time_ms: self.time.map_or(0, |time| u64::try_from(time.as_millis()).unwrap_or(0)),
            leaving: self.leaving.iter().map(|tag| tag.0).collect(),
            rate_limits: self.limits.iter().map(limit::encode_limit).collect(),
        };
        beat.encode_to_vec()
    }

    /// Reads a beat. One that names no era is taken to be of the `present` one.
    ///
    /// # Errors
    /// The bytes are not one, or it says what it may not.
    pub fn decode(bytes: &[u8], present: Era) -> Result<Self, WireError> {
        let beat = pb::Beat::decode(bytes).map_err(|error| WireError::Decode(error.to_string()))?;
        let sender = read_record(&pb::Record {
            node: beat.node,
            incarnation: beat.incarnation,
            data_centre: beat.data_centre,
            front: parsed(&beat.front, "front")?,
            peer: parsed(&beat.peer, "peer")?,
            standing: beat.standing,
            served: beat.served,
            serial: beat.serial,
            silent: false,
        })?;
        let status = Status {
            standing: sender.standing,
            version: ConfigVersion(beat.version),
            register: decode_mark(beat.register, beat.era, present)?,
            served: sender.served,
        };
        Ok(Self {
            sender,
            status,
            wants_reply: beat.answer,
            switching: beat.away.into_iter().map(Tag).collect(),
            roster_digest: beat.digest,
            records: read_records(&beat.records)?,
            register_update: beat.news,
            quarantine_digest: beat.quarantine,
            quarantined: beat.quarantined,
            time: (beat.time_ms > 0).then(|| Duration::from_millis(beat.time_ms)),
            leaving: beat.leaving.into_iter().map(Tag).collect(),
            limits: limit::decode_limits(&beat.rate_limits)?,
        })
    }
}

/// A list of nodes for the wire, and of requests that are not run.
pub fn encode_nodes(records: &[Record], quarantined: Vec<pb::Quarantined>) -> pb::Nodes {
    pb::Nodes { records: records.iter().map(record).collect(), quarantined }
}

/// Reads a list of nodes.
///
/// # Errors
/// It says what it may not.
pub fn decode_nodes(nodes: &pb::Nodes) -> Result<Vec<Record>, WireError> {
    read_records(&nodes.records)
}

/// An address that a beat names as text, as a record names it.
fn parsed(text: &str, what: &'static str) -> Result<Vec<u8>, WireError> {
    text.parse().map(address).map_err(|_| WireError::Value(what))
}

fn address(address: SocketAddr) -> Vec<u8> {
    let mut bytes = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend(address.port().to_be_bytes());
    bytes
}

fn read_address(bytes: &[u8]) -> Option<SocketAddr> {
    let (ip, port) = bytes.split_last_chunk::<2>()?;
    let ip = match ip.len() {
        4 => IpAddr::from(<[u8; 4]>::try_from(ip).ok()?),
        16 => IpAddr::from(<[u8; 16]>::try_from(ip).ok()?),
        _ => return None,
    };
    Some(SocketAddr::new(ip, u16::from_be_bytes(*port)))
}

fn read_records(records: &[pb::Record]) -> Result<Vec<Record>, WireError> {
    records.iter().map(read_record).collect()
}

fn record(record: &Record) -> pb::Record {
    let contact = &record.contact;
    let standing = match record.standing {
        Standing::Starting => pb::Standing::Starting,
        Standing::Ready => pb::Standing::Ready,
        Standing::Leaving => pb::Standing::Leaving,
    };
    pb::Record {
        node: contact.id.to_string(),
        incarnation: contact.incarnation.0,
        data_centre: contact.data_centre.to_string(),
        front: address(contact.front),
        peer: address(contact.peer),
        standing: standing.into(),
        served: record.served,
        serial: record.serial,
        silent: record.silent,
    }
}

fn read_record(record: &pb::Record) -> Result<Record, WireError> {
    let data_centre = record.data_centre.as_str().try_into();
    Ok(Record {
        contact: Contact {
            id: record.node.as_str().try_into().map_err(|_| WireError::Value("node"))?,
            incarnation: Incarnation(record.incarnation),
            data_centre: data_centre.map_err(|_| WireError::Value("data centre"))?,
            front: read_address(&record.front).ok_or(WireError::Value("front"))?,
            peer: read_address(&record.peer).ok_or(WireError::Value("peer"))?,
        },
        standing: match record.standing() {
            pb::Standing::Starting => Standing::Starting,
            pb::Standing::Ready => Standing::Ready,
            pb::Standing::Leaving => Standing::Leaving,
        },
        served: record.served,
        serial: record.serial,
        silent: record.silent,
    })
}
