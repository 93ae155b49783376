//! The beat of a node that is none of ours: it says that it is ready, and nothing more.

use std::net::SocketAddr;

use sardinepick_lib::fleet::register_version::RegisterVersion;
use sardinepick_lib::fleet::roster::{Contact, Record, Standing, Status};
use sardinepick_lib::id::{ConfigVersion, Incarnation, NodeId};
use sardinepick_wire::beat::Heartbeat;

use crate::fleet::deployment::HOME;

/// The beat of a node that is reached at `address` for everything and has a configuration of `version`.
pub fn ready(id: NodeId, address: SocketAddr, version: ConfigVersion) -> Heartbeat {
    let contact = Contact {
        id,
        incarnation: Incarnation(1),
        data_centre: HOME.parse().expect("a data centre"),
        front: address,
        peer: address,
    };
    let (standing, register, served) = (Standing::Ready, RegisterVersion::default(), true);
    Heartbeat {
        sender: Record { contact, standing, served, serial: 1, silent: false },
        status: Status { standing, version, register, served },
        wants_reply: false,
        switching: Vec::new(),
        roster_digest: 0,
        records: Vec::new(),
        register_update: None,
        quarantine_digest: 0,
        quarantined: Vec::new(),
        limits: Vec::new(),
        leaving: Vec::new(),
        time: None,
    }
}
