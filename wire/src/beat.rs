//! Heartbeats: the datagrams by which the nodes of a deployment know of each other.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use prost::Message as _;
use sardinepick_lib::fleet::freshness::{Attestation, Attester};
use sardinepick_lib::fleet::limit::LimitReport;
use sardinepick_lib::fleet::register_digest::RegisterDigest;
use sardinepick_lib::fleet::roster::{Contact, Record, Standing, Status};
use sardinepick_lib::fleet::runner::Tag;
use sardinepick_lib::history::Era;
use sardinepick_lib::id::{ConfigVersion, Incarnation};

use crate::error::WireError;
use crate::fleet as pb;
use crate::limit;
use crate::mark::decode_mark;

/// The maximum size of a datagram, so that it fits into one packet.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// A heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// The sender's own membership record.
    pub sender: Record,
    /// The sender's status and the versions it has.
    pub status: Status,
    /// Whether the sender asks for an immediate heartbeat in return.
    pub wants_reply: bool,
    /// Runners that are switching stage by orders of the sender.
    pub switching: Vec<Tag>,
    /// A digest of the nodes that the sender considers present.
    pub roster_digest: u64,
    /// Records of other nodes that the sender has recently received.
    pub records: Vec<Record>,
    /// The digest of the sender's copy of the register; `None` from nodes of earlier versions.
    pub register_digest: Option<RegisterDigest>,
    /// Recent changes to the register of runners.
    pub register_update: Option<pb::Knowledge>,
    /// A digest of the sender's quarantined requests, or 0 if there are none.
    pub quarantine_digest: u64,
    /// Quarantine entries that the sender has recently received.
    pub quarantined: Vec<pb::Quarantined>,
    /// What the sender knows of prompt parts that crash runners.
    pub parts: Parts,
    /// The sender's estimate of the true time since the Unix epoch, if any.
    pub time: Option<Duration>,
    /// Rate limits announced by runners.
    pub limits: Vec<LimitReport>,
    /// Runners that have announced in a response that they are leaving.
    pub leaving: Vec<Tag>,
    /// The newest answers of the store that the sender's copies reflect.
    pub attestations: Attestations,
}

/// The newest answers of the store that a node's copies reflect, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Attestations {
    /// For the configuration.
    pub configuration: Option<Attestation>,
    /// For the register of runners.
    pub register: Option<Attestation>,
}

/// What a node knows of prompt parts that crash runners.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Parts {
    /// A digest of all its entries, or 0 if there are none.
    pub digest: u64,
    /// Whether it knows all entries that existed when it started.
    pub is_complete: bool,
    /// Entries that it has recently received.
    pub entries: Vec<pb::QuarantinedPart>,
}

impl Heartbeat {
    /// Encodes the heartbeat as a datagram.
    pub fn encode(&self) -> Vec<u8> {
        let sender = encode_record(&self.sender);
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
            records: self.records.iter().map(encode_record).collect(),
            register_digest: self.register_digest.map(|digest| digest.0),
            news: self.register_update.clone(),
            quarantine: self.quarantine_digest,
            quarantined: self.quarantined.clone(),
            part_digest: self.parts.digest,
            knows_parts: self.parts.is_complete,
            quarantined_parts: self.parts.entries.clone(),
            time_ms: self.time.map_or(0, |time| u64::try_from(time.as_millis()).unwrap_or(0)),
            leaving: self.leaving.iter().map(|tag| tag.0).collect(),
            rate_limits: self.limits.iter().map(limit::encode_limit).collect(),
            configuration_attestation: self.attestations.configuration.map(encode_attestation),
            register_attestation: self.attestations.register.map(encode_attestation),
        };
        beat.encode_to_vec()
    }

    /// Decodes a datagram. A heartbeat without an era is assumed to be of the era `present`.
    ///
    /// # Errors
    /// The bytes are not a heartbeat, or a field is invalid.
    pub fn decode(bytes: &[u8], present: Era) -> Result<Self, WireError> {
        let beat = pb::Beat::decode(bytes).map_err(|error| WireError::Decode(error.to_string()))?;
        let sender = decode_record(&pb::Record {
            node: beat.node,
            incarnation: beat.incarnation,
            data_centre: beat.data_centre,
            front: address_from_text(&beat.front, "front")?,
            peer: address_from_text(&beat.peer, "peer")?,
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
            records: decode_records(&beat.records)?,
            register_digest: beat.register_digest.map(RegisterDigest),
            register_update: beat.news,
            quarantine_digest: beat.quarantine,
            quarantined: beat.quarantined,
            parts: Parts {
                digest: beat.part_digest,
                is_complete: beat.knows_parts,
                entries: beat.quarantined_parts,
            },
            time: (beat.time_ms > 0).then(|| Duration::from_millis(beat.time_ms)),
            leaving: beat.leaving.into_iter().map(Tag).collect(),
            limits: limit::decode_limits(&beat.rate_limits)?,
            attestations: Attestations {
                configuration: beat.configuration_attestation.map(decode_attestation),
                register: beat.register_attestation.map(decode_attestation),
            },
        })
    }
}

fn encode_attestation(attestation: Attestation) -> pb::Attestation {
    pb::Attestation {
        attester: attestation.attester.0,
        serial: attestation.serial,
        age_ms: u32::try_from(attestation.age.as_millis()).unwrap_or(u32::MAX),
    }
}

fn decode_attestation(attestation: pb::Attestation) -> Attestation {
    Attestation {
        attester: Attester(attestation.attester),
        serial: attestation.serial,
        age: Duration::from_millis(attestation.age_ms.into()),
    }
}

/// Encodes a list of nodes, together with quarantined requests and prompt parts.
pub fn encode_nodes(
    records: &[Record],
    quarantined: Vec<pb::Quarantined>,
    parts: Parts,
) -> pb::Nodes {
    pb::Nodes {
        records: records.iter().map(encode_record).collect(),
        quarantined,
        quarantined_parts: parts.entries,
        knows_parts: parts.is_complete,
    }
}

/// The prompt parts of a list of nodes.
pub fn decode_parts(nodes: &pb::Nodes) -> Parts {
    let entries = nodes.quarantined_parts.clone();
    Parts { digest: 0, is_complete: nodes.knows_parts, entries }
}

/// Decodes a list of nodes.
///
/// # Errors
/// A record is invalid.
pub fn decode_nodes(nodes: &pb::Nodes) -> Result<Vec<Record>, WireError> {
    decode_records(&nodes.records)
}

/// Converts an address from its text form in a heartbeat to the binary form of a record.
fn address_from_text(text: &str, what: &'static str) -> Result<Vec<u8>, WireError> {
    text.parse().map(encode_address).map_err(|_| WireError::Value(what))
}

fn encode_address(address: SocketAddr) -> Vec<u8> {
    let mut bytes = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend(address.port().to_be_bytes());
    bytes
}

fn decode_address(bytes: &[u8]) -> Option<SocketAddr> {
    let (ip, port) = bytes.split_last_chunk::<2>()?;
    let ip = match ip.len() {
        4 => IpAddr::from(<[u8; 4]>::try_from(ip).ok()?),
        16 => IpAddr::from(<[u8; 16]>::try_from(ip).ok()?),
        _ => return None,
    };
    Some(SocketAddr::new(ip, u16::from_be_bytes(*port)))
}

fn decode_records(records: &[pb::Record]) -> Result<Vec<Record>, WireError> {
    records.iter().map(decode_record).collect()
}

fn encode_record(record: &Record) -> pb::Record {
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
        front: encode_address(contact.front),
        peer: encode_address(contact.peer),
        standing: standing.into(),
        served: record.served,
        serial: record.serial,
        silent: record.silent,
    }
}

fn decode_record(record: &pb::Record) -> Result<Record, WireError> {
    let data_centre = record.data_centre.as_str().try_into();
    Ok(Record {
        contact: Contact {
            id: record.node.as_str().try_into().map_err(|_| WireError::Value("node"))?,
            incarnation: Incarnation(record.incarnation),
            data_centre: data_centre.map_err(|_| WireError::Value("data centre"))?,
            front: decode_address(&record.front).ok_or(WireError::Value("front"))?,
            peer: decode_address(&record.peer).ok_or(WireError::Value("peer"))?,
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
