//! Which nodes are handed what this node has learned of the runners of its pools.

use std::net::SocketAddr;

use sardinepick_lib::fleet::pool::Pool;
use sardinepick_lib::fleet::roster::Contact;
use sardinepick_lib::fleet::scheduler::choose_scheduler;
use sardinepick_lib::id::{NodeId, ServiceId};

/// The address of the node among `contacts` that would schedule a pool without the node `me`.
pub fn successor(
    contacts: &[&Contact],
    me: &NodeId,
    service: &ServiceId,
    pool: Pool,
) -> Option<SocketAddr> {
    let others = || contacts.iter().filter(|contact| contact.id != *me);
    let next = choose_scheduler(service, pool, others().map(|contact| &contact.id))?;
    others().find(|contact| contact.id == *next).map(|contact| contact.peer)
}
