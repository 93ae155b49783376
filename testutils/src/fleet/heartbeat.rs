//! A minimal heartbeat as another implementation of a node may send it: ready, with no optional content.

use std::net::SocketAddr;

use sardinepick_lib::fleet::register_version::RegisterVersion;
use sardinepick_lib::fleet::roster::{Contact, Record, Standing, Status};
use sardinepick_lib::id::{ConfigVersion, Incarnation, NodeId};
use sardinepick_wire::beat::{Attestations, Heartbeat, Parts};

use crate::fleet::deployment::DEFAULT_DATA_CENTRE;

/// The heartbeat of a ready node that uses `address` both for callers and for nodes and has the
/// configuration `version`.
pub fn ready(id: NodeId, address: SocketAddr, version: ConfigVersion) -> Heartbeat {
    let contact = Contact {
        id,
        incarnation: Incarnation(1),
        data_centre: DEFAULT_DATA_CENTRE.parse().expect("a data centre"),
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
        register_digest: None,
        register_update: None,
        quarantine_digest: 0,
        quarantined: Vec::new(),
        parts: Parts::default(),
        limits: Vec::new(),
        leaving: Vec::new(),
        attestations: Attestations::default(),
        time: None,
    }
}
