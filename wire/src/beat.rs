//! Beats: the datagrams by which nodes that serve together know of each other.

use prost::Message as _;
use sardinepick_lib::fleet::roster::{Contact, Standing, Status};
use sardinepick_lib::fleet::runner::Tag;
use sardinepick_lib::id::{ConfigVersion, Incarnation, Mark};

use crate::error::WireError;
use crate::fleet as pb;

/// The most bytes of a beat, so that it travels in one packet.
pub const MOST_BYTES: usize = 1_400;

/// One beat.
#[derive(Clone, Debug, PartialEq)]
pub struct Beat {
    /// The sender.
    pub contact: Contact,
    /// How it stands and what it knows.
    pub status: Status,
    /// Whether it wants a beat at once.
    pub answer: bool,
    /// Runners that are on their way to another stage, by the sender's orders.
    pub away: Vec<Tag>,
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
            answer: self.answer,
            away: self.away.iter().map(|tag| tag.0).collect(),
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
            answer: beat.answer,
            away: beat.away.into_iter().map(Tag).collect(),
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
