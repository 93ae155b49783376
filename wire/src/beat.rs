//! Beats: the datagrams by which nodes that serve together know of each other.

use prost::Message as _;
use sardinepick_lib::fleet::cache::{ChainKey, Part, Progress};
use sardinepick_lib::fleet::load::{CLASSES, Load};
use sardinepick_lib::fleet::register::Reading;
use sardinepick_lib::fleet::roster::{Contact, Standing, Status};
use sardinepick_lib::fleet::runner::Tag;
use sardinepick_lib::id::{ConfigVersion, Incarnation, Mark};

use crate::error::WireError;
use crate::fleet as pb;

/// The most bytes of a beat, so that it travels in one packet.
pub const MOST_BYTES: usize = 1_400;
/// The most loads in one datagram, at up to 41 bytes each.
pub const MOST_LOADS: usize = 20;
/// The most readings in one datagram, at up to 25 bytes each.
pub const MOST_READINGS: usize = 16;

/// One beat.
#[derive(Clone, Debug, PartialEq)]
pub struct Beat {
    /// The sender.
    pub contact: Contact,
    /// How it stands and what it knows.
    pub status: Status,
    /// What it has under way, by runner.
    pub loads: Vec<(Tag, Load)>,
    /// Prompts that it has had read since its last beat.
    pub readings: Vec<Reading>,
    /// Whether it wants a beat at once.
    pub answer: bool,
    /// Runners that are on their way to another stage, by the sender's orders.
    pub away: Vec<Tag>,
    /// Whether the loads go on from an earlier datagram of the same beat.
    pub more: bool,
}

impl Beat {
    /// The beat as bytes.
    pub fn encode(&self) -> Vec<u8> {
        let contact = &self.contact;
        let beat = pb::Beat {
            node: contact.id.to_string(),
            incarnation: contact.incarnation.0,
            data_centre: contact.data_centre.to_string(),
            front: contact.front.to_string(),
            peer: contact.peer.to_string(),
            standing: standing(self.status.standing).into(),
            version: self.status.version.0,
            register: self.status.register.0,
            loads: self.loads.iter().map(load).collect(),
            readings: self.readings.iter().map(reading).collect(),
            answer: self.answer,
            away: self.away.iter().map(|tag| tag.0).collect(),
            more: self.more,
            served: self.status.served,
        };
        beat.encode_to_vec()
    }

    /// Reads a beat.
    ///
    /// # Errors
    /// The bytes are not one, or it says what it may not.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        let beat = pb::Beat::decode(bytes).map_err(|error| WireError::Decode(error.to_string()))?;
        let status = Status {
            standing: match beat.standing() {
                pb::Standing::Starting => Standing::Starting,
                pb::Standing::Ready => Standing::Ready,
                pb::Standing::Leaving => Standing::Leaving,
            },
            version: ConfigVersion(beat.version),
            register: Mark(beat.register),
            served: beat.served,
        };
        let contact = Contact {
            id: beat.node.as_str().try_into().map_err(|_| WireError::Value("node"))?,
            incarnation: Incarnation(beat.incarnation),
            data_centre: beat
                .data_centre
                .as_str()
                .try_into()
                .map_err(|_| WireError::Value("data centre"))?,
            front: beat.front.parse().map_err(|_| WireError::Value("front"))?,
            peer: beat.peer.parse().map_err(|_| WireError::Value("peer"))?,
        };
        Ok(Self {
            contact,
            status,
            loads: beat.loads.iter().map(read_load).collect::<Result<_, _>>()?,
            readings: beat.readings.iter().map(read_reading).collect(),
            answer: beat.answer,
            away: beat.away.into_iter().map(Tag).collect(),
            more: beat.more,
        })
    }
}

fn standing(standing: Standing) -> pb::Standing {
    match standing {
        Standing::Starting => pb::Standing::Starting,
        Standing::Ready => pb::Standing::Ready,
        Standing::Leaving => pb::Standing::Leaving,
    }
}

fn load((tag, load): &(Tag, Load)) -> pb::Load {
    pb::Load {
        runner: tag.0,
        requests: load.requests.to_vec(),
        backlog: load.backlog.to_vec(),
        tokens: load.tokens,
        unread: load.unread.to_vec(),
    }
}

/// The most that is believed of one node's work at one runner; sums of such numbers stay in range.
const MOST_TOKENS: u64 = 1 << 40;
/// The most requests that are believed of one node at one runner.
const MOST_REQUESTS: u32 = 1 << 20;

fn read_load(load: &pb::Load) -> Result<(Tag, Load), WireError> {
    let whole = [load.backlog.len(), load.unread.len(), load.requests.len()];
    if whole != [CLASSES; 3] {
        return Err(WireError::Value("backlog"));
    }
    let mut backlog = [0; CLASSES];
    for (into, from) in backlog.iter_mut().zip(&load.backlog) {
        *into = (*from).min(MOST_TOKENS);
    }
    let mut unread = [0; CLASSES];
    for (into, from) in unread.iter_mut().zip(&load.unread) {
        *into = (*from).min(MOST_REQUESTS);
    }
    let mut requests = [0; CLASSES];
    for (into, from) in requests.iter_mut().zip(&load.requests) {
        *into = (*from).min(MOST_REQUESTS);
    }
    let tokens = load.tokens.min(MOST_TOKENS);
    Ok((Tag(load.runner), Load { requests, backlog, unread, tokens }))
}

fn reading(reading: &Reading) -> pb::Reading {
    pb::Reading {
        runner: reading.runner.0,
        part: reading.part.key.0,
        tokens: reading.part.tokens,
        begun: reading.progress == Progress::Begun,
    }
}

fn read_reading(reading: &pb::Reading) -> Reading {
    // A node that is told of a part counts it by the one name that it is told by.
    let key = ChainKey(reading.part);
    let part = Part { key, alone: key, tokens: reading.tokens.min(MOST_TOKENS) };
    let progress = if reading.begun { Progress::Begun } else { Progress::Read };
    Reading { runner: Tag(reading.runner), part, progress }
}
