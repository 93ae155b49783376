//! Hands what this node has learned of the runners of its pools to the nodes that would schedule the
//! pools after it.

use std::net::SocketAddr;
use std::sync::Arc;

use sardinepick_lib::fleet::model::State;
use sardinepick_lib::fleet::pool::Pool;
use sardinepick_lib::fleet::scheduler::choose_scheduler;
use sardinepick_lib::id::ServiceId;
use sardinepick_wire::schedule::Schedule;

use crate::serve::scheduler::{scheduled_pools, scheduler_of, transmit};
use crate::serve::shared::Shared;

/// Sends what has been learned of the pools that this node schedules.
pub(super) async fn send(shared: &Arc<Shared>) {
    if shared.register().models().is_none() {
        return;
    }
    for (service, pool) in scheduled_pools(shared) {
        let Some(peer) = successor(shared, &service, pool) else { continue };
        let states = shared.register().model_states(&service, pool);
        for state in states {
            transmit(shared, peer, &Schedule::ModelState(state)).await;
        }
    }
}

/// The address of the node that would schedule a pool without this one.
fn successor(shared: &Shared, service: &ServiceId, pool: Pool) -> Option<SocketAddr> {
    let roster = shared.roster();
    let contacts = roster.ready_contacts();
    let others = || contacts.iter().filter(|contact| contact.id != shared.me.id);
    let next = choose_scheduler(service, pool, others().map(|contact| &contact.id))?;
    others().find(|contact| contact.id == *next).map(|contact| contact.peer)
}

/// Adopts what the scheduler of a pool has learned. A node that schedules the pool itself has learned
/// more than one that does so by mistake.
pub(super) fn receive(shared: &Shared, state: &State) {
    let Some(runner) = state.runners.first() else { return };
    if scheduler_of(shared, runner.runner).is_some() {
        shared.register().adopt_model_state(state);
    }
}
